/* Tests of owners whose event loops are late, in virtual time.

   Expected load: what arrives at an owner waits for up to 1.1 s while its
   backlog is at the limit, or while the store does not answer for a moment, so
   that entry hosts forward a submission again before its first copy is
   handled.  One copy is then refused and another one accepted.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 10,
  JOB_COUNT = 200,
  /* Clients overestimate their tasks, so that room comes and goes at the limit
     of the backlog.  */
  DURATION_MS = 500,
  ESTIMATE_MS = 30000
};

#define JOB_INTERVAL (50 * JB_MS)
#define MIN_DELAY_MS 400
#define MAX_DELAY_MS 1100

/* The store is away for a part of each of these intervals.  */
#define STORE_INTERVAL (3 * JB_SECOND)
#define STORE_DOWN_TIME (1200 * JB_MS)

/* Submit jobs to a pool whose owner's event loop is late, by a time that
   changes, and check that no job runs that was refused.  Return the number of
   tasks that were started.  */
static uint32_t
run_with_late_owner (uint32_t seed, int64_t estimate_ms, bool store_fails)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 3,
                                .pools = 1,
                                .backends = 4,
                                .backend_cpu_milli = 12000 };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 4,
                                .cpu_milli = 1000,
                                .duration_ms = DURATION_MS,
                                .estimate_ms = estimate_ms };
  jb_time begin = world->now;
  int owner = jw_pool_owner (world, 0);
  uint32_t starts;

  CU_ASSERT_FATAL (owner >= 0);
  world->clients_give_up = true;
  for (uint32_t i = 0; i < JOB_COUNT; i++)
    {
      world->hosts[owner].event_delay
          = g_rand_int_range (world->random, MIN_DELAY_MS, MAX_DELAY_MS)
            * JB_MS;
      world->store_down
          = store_fails
            && (world->now - begin) % STORE_INTERVAL < STORE_DOWN_TIME;
      jw_submit_job (world, &job);
      jw_advance (world, JOB_INTERVAL);
    }
  world->hosts[owner].event_delay = 0;
  world->store_down = false;
  jw_advance (world, 30 * JB_SECOND);
  starts = world->task_starts;
  jw_check_and_free (world);
  return starts;
}

/* Clients were told that there is too much work, and their jobs ran.  */
static void
test_refused_jobs_run (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    CU_ASSERT (run_with_late_owner (seed, ESTIMATE_MS, false) > 0);
}

/* Clients were told that the store is away, and their jobs ran.  */
static void
test_unavailable_jobs_run (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    CU_ASSERT (run_with_late_owner (seed, DURATION_MS, true) > 0);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "refused jobs run", test_refused_jobs_run },
          { "unavailable jobs run", test_unavailable_jobs_run },
          { NULL, NULL } };

  return dp_test_main ("late event loops", tests);
}
