/* Tests of limits whose equal division among the pools leaves parts that are
   smaller than what is to be started, in virtual time.

   Expected load: an organisation's limit is lowered to a tenth of what it
   sends to several pools at once.  */

#include "jw_test.h"

enum
{
  SEEDS = 5,
  POOLS = 4,
  JOBS_PER_POOL = 4,
  FORMER_LIMIT_MILLI = 80000
};

/* Time in which the shares are divided again, and by which a start may be late
   since its pool isn't first.  */
#define TURN_TIME (3 * JB_SECOND)

static struct jw_world *
create_world (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 4,
                                .pools = POOLS,
                                .backends = 4,
                                .backend_cpu_milli = 16000,
                                .org_cpu_limit_milli = FORMER_LIMIT_MILLI };

  return jw_create_world (&options);
}

/* Lower the limit of each organisation to LIMIT_MILLI, and let all hosts know
   that.  */
static void
lower_limit (struct jw_world *world, int64_t limit_milli)
{
  struct jb_catalog *catalog = world->catalog;

  for (uint32_t i = 0; i < catalog->org_count; i++)
    catalog->orgs[i].limit.cpu_milli = limit_milli;
  world->options.org_cpu_limit_milli = limit_milli;
  jw_bump_catalog_version (world);
  jw_advance (world, 6 * JB_SECOND);
}

/* Submit JOBS_PER_POOL jobs of one step to each pool.  */
static void
submit_to_all_pools (struct jw_world *world, const struct jw_job_options *job)
{
  for (uint32_t i = 0; i < POOLS * JOBS_PER_POOL; i++)
    {
      struct jw_job_options copy = *job;

      copy.pool = i % POOLS;
      copy.step_count = 1;
      jw_submit_job (world, &copy);
    }
}

static void
assert_all_done (struct jw_world *world)
{
  jw_query_all_jobs (world);
  jw_advance (world, JB_SECOND);
  CU_ASSERT (jw_have_all_jobs_settled (world));
  jw_check_and_free (world);
}

/* A standstill: each of four pools has a quarter of the limit, which is less
   than a task needs, so that nothing starts though three tasks fit.  */
static void
test_tasks_larger_than_parts (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_job_options job
          = { .tasks_per_step = 1, .cpu_milli = 2400, .duration_ms = 1300 };
      struct jw_world *world = create_world (seed);

      lower_limit (world, 8000);
      submit_to_all_pools (world, &job);
      /* Three at a time.  */
      jw_advance (world,
                  (POOLS * JOBS_PER_POOL + 2) / 3 * 1300 * JB_MS + TURN_TIME);
      assert_all_done (world);
    }
}

/* The same with gangs, whose tasks fit and which don't.  */
static void
test_gangs_larger_than_parts (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_job_options job = { .tasks_per_step = 4,
                                    .cpu_milli = 1000,
                                    .duration_ms = 600,
                                    .gang = true };
      struct jw_world *world = create_world (seed);

      lower_limit (world, 7000);
      submit_to_all_pools (world, &job);
      jw_advance (world, POOLS * JOBS_PER_POOL * 800 * JB_MS + TURN_TIME);
      assert_all_done (world);
    }
}

/* Starvation: a pool with a backlog of small tasks uses all but its part, and
   what is left doesn't hold the large task of another pool.  */
static void
test_large_task_beside_small_ones (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_job_options small = { .step_count = 1,
                                      .tasks_per_step = 200,
                                      .cpu_milli = 1000,
                                      .duration_ms = 800 };
      struct jw_job_options large = { .pool = 1,
                                      .step_count = 1,
                                      .tasks_per_step = 1,
                                      .cpu_milli = 10000,
                                      .duration_ms = 5000 };
      struct jw_world *world = create_world (seed);
      const char *id;

      lower_limit (world, 15000);
      jw_submit_job (world, &small);
      jw_advance (world, 2 * JB_SECOND);
      id = jw_submit_job (world, &large);
      jw_advance (world, TURN_TIME);
      CU_ASSERT_EQUAL (jw_count_running_tasks (world, id), 1);
      jw_advance (world, 30 * JB_SECOND);
      assert_all_done (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "tasks larger than equal parts", test_tasks_larger_than_parts },
          { "gangs larger than equal parts", test_gangs_larger_than_parts },
          { "a large task beside small ones",
            test_large_task_beside_small_ones },
          { NULL, NULL } };

  return dp_test_main ("divided limits", tests);
}
