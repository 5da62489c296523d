/* Tests of backend servers whose capacity shrinks and grows again while they
   run, and that start what does not fit, in virtual time.

   Expected load: a pool that is busy all the time; half of its backend servers
   lose most of their capacity for some seconds.  */

#include "jw_test.h"

#include <stdlib.h>

enum
{
  BACKEND_COUNT = 4,
  FULL_CPU_MILLI = 8000,
  SHRUNK_CPU_MILLI = 2000,
  ROUNDS = 3
};

static void
submit_for (struct jw_world *world, jb_time duration)
{
  for (jb_time end = world->now + duration; world->now < end;)
    {
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 6,
                                    .cpu_milli = 1000,
                                    .duration_ms = 800 };

      jw_submit_job (world, &job);
      jw_advance (world, 200 * JB_MS);
    }
}

/* Change the capacity of every second backend server.  */
static void
set_capacities (struct jw_world *world, int64_t cpu_milli)
{
  for (uint32_t i = 0; i < BACKEND_COUNT; i += 2)
    {
      struct jw_backend *backend = jw_find_backend (world, 0, i);

      if (backend != NULL)
        jw_backend_set_capacity (world, backend, cpu_milli);
    }
}

static void
run_load (uint32_t seed, bool kill_owner)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 5,
                                .pools = 1,
                                .backends = BACKEND_COUNT,
                                .backend_cpu_milli = FULL_CPU_MILLI,
                                .no_overload_guard = true };
  struct jw_world *world = jw_create_world (&options);

  for (int round = 0; round < ROUNDS; round++)
    {
      submit_for (world, 3 * JB_SECOND);
      set_capacities (world, SHRUNK_CPU_MILLI);
      submit_for (world, 2 * JB_SECOND);
      if (kill_owner && jw_pool_owner (world, 0) >= 0)
        {
          uint32_t owner = (uint32_t)jw_pool_owner (world, 0);

          jw_host_kill (world, owner);
          jw_advance (world, 3 * JB_SECOND);
          jw_host_start (world, owner);
        }
      submit_for (world, 6 * JB_SECOND);
      set_capacities (world, FULL_CPU_MILLI);
    }
  jw_advance (world, 30 * JB_SECOND);
  jw_check_and_free (world);
}

static void
test_start_over_shrunk_capacity (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    run_load (seed, false);
}

static void
test_shrunk_capacity_across_owners (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    run_load (seed, true);
}

/* Random faults: a new owner finds runs that no job needs, which take room
   until they have stopped.  */
static void
test_start_beside_orphaned_runs (void)
{
  static const uint32_t seeds[]
      = { 17000114, 17000116, 17000123, 17000135, 17000141 };

  for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
    {
      struct jw_soak soak = { .seed = seeds[i], .no_overload_guard = true };

      jw_assert_soak (&soak);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a start over the shrunk capacity",
            test_start_over_shrunk_capacity },
          { "a start of the next owner over the shrunk capacity",
            test_shrunk_capacity_across_owners },
          { "a start beside orphaned runs", test_start_beside_orphaned_runs },
          { NULL, NULL } };

  return dp_test_main ("backend servers with changing capacity", tests);
}
