/* Tests of entry hosts that are killed and start again with calls in flight,
   in virtual time.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 5,
  RESTART_COUNT = 12,
  JOBS_PER_RESTART = 24
};

/* Delay of the store, and time until a host that starts has read the
   configuration from a store without delay.  The store answers the owner
   before the new process hears the owner's heartbeat.  */
#define STORE_DELAY (30 * JB_MS)
#define CONFIGURATION_TIME (12 * JB_MS)

static void
submit_jobs (struct jw_world *world)
{
  struct jw_job_options job = {
    .step_count = 1, .tasks_per_step = 1, .cpu_milli = 100, .duration_ms = 200
  };

  for (int i = 0; i < JOBS_PER_RESTART; i++)
    jw_submit_job (world, &job);
}

/* Lost jobs: an entry host that has started again takes replies to the calls
   of its former process for replies to its own calls, which have the same
   numbers, and answers that jobs are stored that are not.  */
static void
test_replies_to_former_process (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_options options = { .seed = seed,
                                    .hosts = 3,
                                    .pools = 1,
                                    .backends = 3,
                                    .backend_cpu_milli = 16000,
                                    .unbound_links = true };
      struct jw_world *world = jw_create_world (&options);
      int owner = jw_pool_owner (world, 0);

      CU_ASSERT_FATAL (owner >= 0);
      for (uint32_t i = 0; i < RESTART_COUNT; i++)
        {
          uint32_t restarted = ((uint32_t)owner + 1 + i % 2) % options.hosts;

          world->store_delay = STORE_DELAY;
          submit_jobs (world);
          jw_advance (world, 2 * JB_MS);
          world->store_delay = 0;
          jw_host_kill (world, restarted);
          jw_host_start (world, restarted);
          jw_advance (world, CONFIGURATION_TIME);
          submit_jobs (world);
          jw_advance (world, 700 * JB_MS);
        }
      jw_advance (world, 20 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "replies to a former process of an entry host",
            test_replies_to_former_process },
          { NULL, NULL } };

  return dp_test_main ("restarted entry hosts", tests);
}
