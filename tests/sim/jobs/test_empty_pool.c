/* Tests of a pool all of whose hosts are gone, in virtual time: the planner
   has to give it a host for its jobs, or they wait for ever.

   Expected load: rare.  Hosts of a pool may be lent to another one in its
   surge, or lost together with a rack.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 5,
  HOST_COUNT = 5,
  BACKEND_COUNT = 4, /* of each pool */
  EMPTY_POOL = 1
};

/* Return a new simulation in which the hosts of a pool have failed for
   good.  */
static struct jw_world *
create_world_with_empty_pool (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = HOST_COUNT,
                                .pools = 2,
                                .backends = BACKEND_COUNT,
                                .backend_cpu_milli = 12000 };
  struct jw_world *world = jw_create_world (&options);
  struct jw_backend *backend;

  while ((backend = jw_find_backend (world, EMPTY_POOL, 0)) != NULL)
    jw_backend_crash (world, backend, true);
  jw_advance (world, 10 * JB_SECOND);
  return world;
}

/* Submit a job of one step with TASKS tasks to the empty pool, each of which
   needs CPU_MILLI, and check that it completes.  */
static void
check_job (struct jw_world *world, uint32_t tasks, int64_t cpu_milli,
           bool best_effort)
{
  struct jw_job_options job = { .pool = EMPTY_POOL,
                                .step_count = 1,
                                .tasks_per_step = tasks,
                                .cpu_milli = cpu_milli,
                                .best_effort = best_effort,
                                .duration_ms = 300 };

  jw_submit_job (world, &job);
  jw_advance (world, 15 * JB_SECOND);
  jw_check_and_free (world);
}

/* A job that needs less than half a host waits for ever, since half a host is
   rounded to none.  */
static void
test_small_job (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    check_job (create_world_with_empty_pool (seed), 1, 1000, false);
}

/* A job that needs no processor, or only what other tasks leave, waits for
   ever, since it takes no capacity.  */
static void
test_job_without_demand (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      check_job (create_world_with_empty_pool (seed), 3, 0, false);
      check_job (create_world_with_empty_pool (seed), 3, 1000, true);
    }
}

/* A new planner, which has had no report of the capacity of the pool's hosts,
   gives it none, and all jobs wait for ever.  */
static void
test_new_planner (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_world_with_empty_pool (seed);
      int planner = jw_find_planner (world);

      CU_ASSERT_FATAL (planner >= 0);
      jw_host_kill (world, (uint32_t)planner);
      jw_advance (world, 5 * JB_SECOND);
      check_job (world, 40, 1000, false);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a small job of an empty pool waits for ever", test_small_job },
          { "a job that takes no capacity waits for ever",
            test_job_without_demand },
          { "a new planner gives an empty pool no host", test_new_planner },
          { NULL, NULL } };

  return dp_test_main ("empty pool", tests);
}
