/* Tests of entry hosts that stop as planned while clients keep using them, in
   virtual time.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 6,
  HOST_COUNT = 4,
  JOBS_PER_STEP = 3
};

#define STEP (40 * JB_MS)

/* Delay of a store that lets a submission take about a second.  */
#define STORE_DELAY (450 * JB_MS)

static struct jw_world *
create_world (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = HOST_COUNT,
                                .pools = 2,
                                .backends = 4,
                                .backend_cpu_milli = 16000 };

  return jw_create_world (&options);
}

/* Submit jobs for DURATION.  */
static void
submit_for (struct jw_world *world, jb_time duration)
{
  struct jw_job_options job = {
    .step_count = 1, .tasks_per_step = 1, .cpu_milli = 100, .duration_ms = 200
  };

  for (jb_time end = world->now + duration; world->now < end;)
    {
      for (uint32_t i = 0; i < JOBS_PER_STEP; i++)
        {
          job.pool = i % 2;
          jw_submit_job (world, &job);
        }
      jw_advance (world, STEP);
    }
}

/* Calls cut off: while the store is slow, a host that stops always has calls
   that wait, and new ones come over open connections until it ends.  */
static void
test_slow_store (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_world (seed);

      world->store_delay = STORE_DELAY;
      submit_for (world, JB_SECOND);
      for (uint32_t i = 0; i < HOST_COUNT; i++)
        {
          jw_host_stop (world, i);
          submit_for (world, 4 * JB_SECOND);
          jw_host_start (world, i);
          submit_for (world, JB_SECOND);
        }
      world->store_delay = 0;
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The same for a host that must wait for owners that have changed: one after
   another stops or is killed.  */
static void
test_owners_change (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_world (seed);

      for (uint32_t i = 0; i < 2 * HOST_COUNT; i++)
        {
          int owner = jw_pool_owner (world, i % 2);
          uint32_t stopped = i % HOST_COUNT;
          uint32_t killed = owner >= 0 && (uint32_t)owner != stopped
                                ? (uint32_t)owner
                                : (stopped + 1) % HOST_COUNT;

          jw_host_stop (world, stopped);
          submit_for (world, 1500 * JB_MS);
          jw_host_kill (world, killed);
          submit_for (world, 1500 * JB_MS);
          jw_host_start (world, stopped);
          jw_host_start (world, killed);
          submit_for (world, JB_SECOND);
        }
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "planned stops while the store is slow", test_slow_store },
          { "planned stops while owners change", test_owners_change },
          { NULL, NULL } };

  return dp_test_main ("planned stops", tests);
}
