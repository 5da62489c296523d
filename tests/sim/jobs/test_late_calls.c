/* Tests of calls that have waited for a late event loop, in virtual time.

   Expected load: an entry host with an eighth of a processor, whose event loop
   reaches calls up to some seconds after they were read.  */

#include "jw_test.h"

#define DEADLINE_MS 3000
#define JOB_ID "0123456789abcdef"

/* Have host 0 of WORLD process the submission of a job that it read at the
   time READ_AT.  No backend server has the label that its task requires, since
   the simulation doesn't know the job.  */
static void
receive_submission (struct jw_world *world, jb_time read_at)
{
  struct jw_host *host = &world->hosts[0];
  struct jb_step step = { .task_count = 1,
                          .resources = { .cpu_milli = 1000 },
                          .required_label = (char *)"none" };
  struct jb_job_desc desc
      = { .spec = (char *)"100 0", .step_count = 1, .steps = &step };
  struct jb_call call = { .kind = JB_CALL_SUBMIT,
                          .host = "queues.example",
                          .path = "/q0/" JOB_ID,
                          .key = "key-0",
                          .deadline_ms = DEADLINE_MS,
                          .read_at = read_at,
                          .received_ms = read_at / JB_MS,
                          .desc = &desc };

  jb_host_receive_call (host->host, world->now, ++host->last_call, &call);
  jw_host_run (host);
}

static struct jw_world *
create_world (void)
{
  struct jw_options options = {
    .seed = 1, .hosts = 3, .pools = 1, .backends = 4, .backend_cpu_milli = 8000
  };

  return jw_create_world (&options);
}

/* The client has given up: a job that is accepted now would run without its
   client knowing it, and the processor time is missing for other calls.  */
static void
test_call_after_deadline (void)
{
  struct jw_world *world = create_world ();

  receive_submission (world, world->now - DEADLINE_MS * JB_MS);
  CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_UNAVAILABLE), 1);
  jw_advance (world, 2 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_ACCEPTED), 0);
  CU_ASSERT_EQUAL (jw_count_rows (world, "job", JOB_ID), 0);
  jw_assert_and_free (world);
}

/* A deadline that counts from when the event loop gets to the call is over
   before the answer comes.  */
static void
test_answer_at_deadline (void)
{
  struct jw_world *world = create_world ();
  uint64_t count;

  world->store_down = true;
  receive_submission (world, world->now - 2000 * JB_MS);
  jw_advance (world, 800 * JB_MS);
  count = jw_sum_counter (world, JB_COUNT_UNAVAILABLE)
          + jw_sum_counter (world, JB_COUNT_UNKNOWN);
  CU_ASSERT_EQUAL (count, 0);
  jw_advance (world, 200 * JB_MS);
  count = jw_sum_counter (world, JB_COUNT_UNAVAILABLE)
          + jw_sum_counter (world, JB_COUNT_UNKNOWN);
  CU_ASSERT_EQUAL (count, 1);
  jw_assert_and_free (world);
}

/* A call that is processed in time is carried out.  */
static void
test_call_before_deadline (void)
{
  struct jw_world *world = create_world ();

  receive_submission (world, world->now - 1000 * JB_MS);
  jw_advance (world, 1 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_ACCEPTED), 1);
  CU_ASSERT_EQUAL (jw_count_rows (world, "job", JOB_ID), 1);
  jw_assert_and_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a call after its deadline is not carried out",
            test_call_after_deadline },
          { "the deadline counts from when the call was read",
            test_answer_at_deadline },
          { "a call before its deadline", test_call_before_deadline },
          { NULL, NULL } };

  return dp_test_main ("late_calls", tests);
}
