/* Tests of tasks that crash the backend servers that start them, in virtual
   time.

   Expected load: a tenth of the jobs of a pool have such a task for ten
   seconds.  */

#include "jw_test.h"

#include <stdlib.h>
#include <string.h>

enum
{
  JOB_COUNT = 150,
  CRASHING_JOB_INTERVAL = 10, /* every tenth job has a task that crashes */
  KILL_OWNER_AT_JOB = 100
};

#define JOB_INTERVAL (70 * JB_MS)

struct outcome
{
  uint32_t crashing_failed; /* jobs with a crashing task, shown as failed */
  uint32_t others_failed;   /* jobs without */
};

static struct outcome
count_failed_jobs (const struct jw_world *world)
{
  struct outcome outcome = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jw_job *job = value;

      if (!job->state_known || job->state != JB_JOB_FAILED)
        continue;
      if (job->crashes_backends)
        outcome.crashing_failed++;
      else
        outcome.others_failed++;
    }
  return outcome;
}

/* Run the load with SEED.  If KILL_OWNER, the owner of the pool is killed in
   the middle of it.  */
static struct outcome
run_load (uint32_t seed, bool kill_owner)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 5,
                                .pools = 1,
                                .backends = 9,
                                .backend_cpu_milli = 16000 };
  struct jw_world *world = jw_create_world (&options);
  struct outcome outcome;

  for (uint32_t i = 0; i < JOB_COUNT; i++)
    {
      struct jw_job_options job
          = { .step_count = 2,
              .tasks_per_step = 6,
              .cpu_milli = 1000,
              .duration_ms = 600,
              .crashes_backends = i % CRASHING_JOB_INTERVAL == 0 };

      jw_submit_job (world, &job);
      jw_advance (world, JOB_INTERVAL);
      if (kill_owner && i == KILL_OWNER_AT_JOB
          && jw_pool_owner (world, 0) >= 0)
        jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
    }
  jw_advance (world, 40 * JB_SECOND);
  jw_check_final_states (world);
  outcome = count_failed_jobs (world);
  jw_assert_and_free (world);
  return outcome;
}

static void
test_task_crashes_server_after_server (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct outcome outcome = run_load (seed, false);

      printf ("%u of others failed ", outcome.others_failed);
      CU_ASSERT_EQUAL (outcome.crashing_failed,
                       JOB_COUNT / CRASHING_JOB_INTERVAL);
    }
}

static void
test_crashes_forgotten_by_new_owner (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    CU_ASSERT_EQUAL (run_load (seed, true).crashing_failed,
                     JOB_COUNT / CRASHING_JOB_INTERVAL);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a task crashes server after server",
            test_task_crashes_server_after_server },
          { "crashes forgotten by the new owner",
            test_crashes_forgotten_by_new_owner },
          { NULL, NULL } };

  return dp_test_main ("tasks that crash backend servers", tests);
}
