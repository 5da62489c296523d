/* Tests of how long a new owner of a pool starts no task of loaded jobs while
   one backend server is silent, and of TWICE meanwhile, in virtual time.

   Expected load: 12 backend servers, of which one stops answering when the
   owner fails, and jobs of two steps whose first tasks run at that time.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 12,
  JOB_COUNT = 24
};

#define JOB_INTERVAL (40 * JB_MS)
#define MAX_WAIT (12 * JB_SECOND)

/* Start commands that are in flight arrive within this time.  */
#define IN_FLIGHT_TIME (5 * JB_MS)

/* Return a world in which jobs run whose first steps end one after the
   other.  */
static struct jw_world *
create_busy_world (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 5,
                                .pools = 1,
                                .backends = 12,
                                .backend_cpu_milli = 16000 };
  struct jw_world *world = jw_create_world (&options);

  for (uint32_t i = 0; i < JOB_COUNT; i++)
    {
      struct jw_job_options job = { .step_count = 2,
                                    .tasks_per_step = 2,
                                    .cpu_milli = 1000,
                                    .duration_ms = 1200 + 120 * i };

      jw_submit_job (world, &job);
      jw_advance (world, JOB_INTERVAL);
    }
  return world;
}

/* Return how long it takes until the next task starts.  */
static jb_time
time_to_next_start (struct jw_world *world)
{
  jb_time begun;
  uint32_t starts;

  jw_advance (world, IN_FLIGHT_TIME);
  begun = world->now;
  starts = world->task_starts;
  while (world->task_starts == starts && world->now - begun < MAX_WAIT)
    jw_advance (world, 5 * JB_MS);
  return world->now - begun;
}

/* The owner is killed and does not return, and one backend server is silent.
   All loaded jobs waited for the leases there: 6.5 s after the kill.  */
static void
test_killed_owner (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_busy_world (seed);
      jb_time wait;

      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      wait = time_to_next_start (world);
      CU_ASSERT (wait <= 3600 * JB_MS);
      jw_advance (world, 25 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The killed owner returns at once as another process, which tells that the
   former one sends no commands.  The pool started nothing for 6.4 s after the
   kill.  */
static void
test_restarted_owner (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_busy_world (seed);
      uint32_t owner = (uint32_t)jw_pool_owner (world, 0);
      jb_time begun = world->now;

      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      jw_host_kill (world, owner);
      jw_advance (world, 100 * JB_MS);
      jw_host_start (world, owner);
      jw_advance (world, 900 * JB_MS);
      time_to_next_start (world);
      CU_ASSERT (world->now - begun <= 2200 * JB_MS);
      jw_advance (world, 25 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "loaded jobs go on after the owner was killed",
            test_killed_owner },
          { "loaded jobs go on after the owner was restarted",
            test_restarted_owner },
          { NULL, NULL } };

  return dp_test_main ("pool takeover", tests);
}
