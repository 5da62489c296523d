/* Tests of jobs whose progress is larger than a row of the store, in virtual
   time.

   Expected load: a job of thousands of tasks, of which all are at work at the
   same time, while the owner of its pool is stopped or killed.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 2,
  HOST_COUNT = 3,
  BACKEND_COUNT = 4,
  BACKEND_CPU_MILLI = 500000,
  /* About 6 bytes for each task that is done: twice or more a row.  */
  TASK_COUNT = 4000,
  TASK_CPU_MILLI = 1000,
  OTHER_COUNT = 20
};

static struct jw_world *
create_world (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = HOST_COUNT,
                                .pools = 1,
                                .backends = BACKEND_COUNT,
                                .backend_cpu_milli = BACKEND_CPU_MILLI };

  return jw_create_world (&options);
}

static const char *
submit_wide_job (struct jw_world *world)
{
  struct jw_job_options job = { .step_count = 2,
                                .tasks_per_step = TASK_COUNT / 2,
                                .cpu_milli = TASK_CPU_MILLI,
                                .duration_ms = 3000 };

  return jw_submit_job (world, &job);
}

/* Return the number of rows of the job ID in the store.  */
static uint32_t
count_rows (const struct jw_world *world, const char *id)
{
  return jw_count_rows (world, "job", id);
}

/* The store refuses the progress of the job, and with it everything that the
   owner of the pool stores later.  */
static void
test_completion (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_world (seed);
      const char *id = submit_wide_job (world);

      jw_advance (world, 25 * JB_SECOND);
      jw_check_final_states (world);
      CU_ASSERT_EQUAL (count_rows (world, id), 1);
      jw_assert_and_free (world);
    }
}

/* The cancelling is not acknowledged, since the owner can't store it, and the
   next owner starts the job again.  */
static void
test_cancelling (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_world (seed);
      const char *id = submit_wide_job (world);

      jw_advance (world, 4 * JB_SECOND);
      jw_cancel_job (world, id);
      jw_advance (world, 3 * JB_SECOND);
      CU_ASSERT (jw_find_job (world, id)->cancelled_at != 0);
      jw_host_stop (world, (uint32_t)jw_pool_owner (world, 0));
      jw_advance (world, 15 * JB_SECOND);
      jw_check_final_states (world);
      CU_ASSERT_EQUAL (count_rows (world, id), 1);
      jw_assert_and_free (world);
    }
}

/* The next owner doesn't read all rows of the progress, and starts tasks again
   that are done.  The second takeover is during the writing of the rows.  */
static void
test_takeover (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_world (seed);
      const char *id = submit_wide_job (world);

      for (uint32_t i = 0; i < 2; i++)
        {
          uint32_t owner;

          jw_advance (world, (3400 + 300 * seed) * JB_MS);
          CU_ASSERT_FATAL (jw_pool_owner (world, 0) >= 0);
          owner = (uint32_t)jw_pool_owner (world, 0);
          jw_host_kill (world, owner);
          jw_advance (world, 2 * JB_SECOND);
          jw_host_start (world, owner);
        }
      jw_advance (world, 30 * JB_SECOND);
      jw_check_final_states (world);
      CU_ASSERT_EQUAL (count_rows (world, id), 1);
      jw_assert_and_free (world);
    }
}

/* A job whose description the store refuses is accepted, and the pool waits
   for that transaction for ever.  */
static void
test_large_description (void)
{
  struct jw_world *world = create_world (1);
  struct jw_host *host = &world->hosts[0];
  struct jb_step step
      = { .task_count = 1, .resources = { .cpu_milli = 1000 } };
  struct jb_job_desc desc
      = { .spec = (char *)"100 0", .step_count = 1, .steps = &step };
  struct jb_call call = { .kind = JB_CALL_SUBMIT,
                          .host = "queues.example",
                          .path = "/q0/0123456789abcdef",
                          .key = "key-0",
                          .deadline_ms = 5000,
                          .received_ms = world->now / JB_MS,
                          .desc = &desc };
  char label[JW_MAX_ROW_BYTES + 1];

  memset (label, 'x', sizeof label - 1);
  label[sizeof label - 1] = '\0';
  step.required_label = label;
  jb_host_receive_call (host->host, world->now, ++host->last_call, &call);
  jw_host_run (host);
  CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_BAD_REQUEST), 1);
  jw_advance (world, JB_SECOND);
  CU_ASSERT_EQUAL (count_rows (world, "0123456789abcdef"), 0);
  jw_assert_and_free (world);
}

/* Return the ID of a job of short tasks, submitted beside others, while the
   store refuses its row with KEY_SUFFIX.  */
static const char *
submit_beside_others (struct jw_world *world, const char *key_suffix)
{
  struct jw_job_options job = { .step_count = 3,
                                .tasks_per_step = 10,
                                .cpu_milli = 1000,
                                .duration_ms = 300 };
  const char *id = NULL;

  for (int i = 0; i <= OTHER_COUNT; i++)
    {
      const char *submitted = jw_submit_job (world, &job);

      if (i == OTHER_COUNT / 2)
        id = submitted;
    }
  world->refused_key = talloc_asprintf (world, "%s%s", id, key_suffix);
  return id;
}

/* A row that the store refuses, for a limit that isn't known, keeps all jobs
   of the pool from being stored.  */
static void
test_refused_progress (void)
{
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct jw_world *world = create_world (seed);
      const char *id = submit_beside_others (world, ".p");

      jw_advance (world, 10 * JB_SECOND);
      CU_ASSERT (world->refused_writes > 0 && world->refused_writes < 20);
      jw_find_job (world, id)->always_fails = true;
      jw_check_final_states (world);
      CU_ASSERT_EQUAL (jw_find_job (world, id)->state, JB_JOB_FAILED);
      jw_assert_and_free (world);
    }
}

static void
test_refused_description (void)
{
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct jw_world *world = create_world (seed);
      const char *id = submit_beside_others (world, ".d");

      jw_advance (world, 10 * JB_SECOND);
      CU_ASSERT (world->refused_writes > 0);
      CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_ACCEPTED), OTHER_COUNT);
      CU_ASSERT_FALSE (jw_find_job (world, id)->accepted);
      CU_ASSERT_FALSE (jw_find_job (world, id)->started);
      jw_check_final_states (world);
      CU_ASSERT_EQUAL (count_rows (world, id), 0);
      jw_assert_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "a job with more progress than a row holds ends", test_completion },
    { "a job with more progress than a row holds is cancelled",
      test_cancelling },
    { "progress in several rows outlasts its owners", test_takeover },
    { "a job with a description larger than a row is refused",
      test_large_description },
    { "the store refuses the progress of a job", test_refused_progress },
    { "the store refuses the description of a job", test_refused_description },
    { NULL, NULL }
  };

  return dp_test_main ("wide jobs", tests);
}
