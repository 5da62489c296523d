/* Tests of pools that a small entry host has claimed, in virtual time.

   Expected load: most entry hosts have a quarter of the processor share of the
   others.  After a loss of power they don't return in the order of their
   size, so the first one that is up claims what has no owner.  */

#include "jw_test.h"

enum
{
  HOST_COUNT = 12,
  SMALL_HOST_COUNT = 8,
  LARGE_HOST_COUNT = HOST_COUNT - SMALL_HOST_COUNT,
  POOL_COUNT = 4, /* without the standby pool */
  SEEDS = 5
};

/* How long after the return of the large hosts they must own all pools.  */
#define MOVE_TIME (10 * JB_SECOND)

static struct jw_world *
create_world (uint32_t small_hosts, uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = HOST_COUNT,
                                .small_hosts = small_hosts,
                                .pools = POOL_COUNT,
                                .backends = 6,
                                .backend_cpu_milli = 8000 };

  return jw_create_world (&options);
}

static void
kill_hosts (struct jw_world *world, uint32_t first, uint32_t count)
{
  for (uint32_t i = first; i < first + count; i++)
    jw_host_kill (world, i);
}

static void
start_hosts (struct jw_world *world, uint32_t first, uint32_t count)
{
  for (uint32_t i = first; i < first + count; i++)
    jw_host_start (world, i);
}

/* Submit jobs to all pools for DURATION.  */
static void
submit_for (struct jw_world *world, jb_time duration)
{
  jb_time end = world->now + duration;

  for (uint32_t i = 0; world->now < end; i++)
    {
      struct jw_job_options job = { .pool = i % POOL_COUNT,
                                    .step_count = 1,
                                    .tasks_per_step = 3,
                                    .cpu_milli = 1000,
                                    .duration_ms = 600 };

      jw_submit_job (world, &job);
      jw_advance (world, 50 * JB_MS);
    }
}

/* Kill all hosts.  The small ones return first.  */
static void
let_small_hosts_claim (struct jw_world *world)
{
  kill_hosts (world, 0, HOST_COUNT);
  jw_advance (world, 2 * JB_SECOND);
  start_hosts (world, LARGE_HOST_COUNT, SMALL_HOST_COUNT);
  submit_for (world, 5 * JB_SECOND);
}

/* Return how many pools a small host owns.  */
static uint32_t
count_pools_of_small_hosts (struct jw_world *world)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < POOL_COUNT; i++)
    count += jw_pool_owner (world, i) >= LARGE_HOST_COUNT;
  return count;
}

/* Return how many pools a large host owns.  */
static uint32_t
count_pools_of_large_hosts (struct jw_world *world)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < POOL_COUNT; i++)
    {
      int owner = jw_pool_owner (world, i);

      count += owner >= 0 && owner < LARGE_HOST_COUNT;
    }
  return count;
}

/* Return how often the hosts that are up have released a partition.  */
static uint64_t
count_releases (const struct jw_world *world)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < HOST_COUNT; i++)
    if (world->hosts[i].host != NULL)
      count += jb_host_metrics (world->hosts[i].host)
                   ->counters[JB_COUNT_OWNERSHIP_RELEASED];
  return count;
}

/* Hosts with four times the share of a processor are alive and own nothing.
   Each pool moves once, and the standby pool too.  */
static void
test_pool_stays_on_small_host (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_world *world = create_world (SMALL_HOST_COUNT, seed);

      let_small_hosts_claim (world);
      CU_ASSERT_EQUAL (count_pools_of_small_hosts (world), POOL_COUNT);
      start_hosts (world, 0, LARGE_HOST_COUNT);
      submit_for (world, MOVE_TIME);
      CU_ASSERT_EQUAL (count_pools_of_large_hosts (world), POOL_COUNT);
      submit_for (world, 10 * JB_SECOND);
      CU_ASSERT_EQUAL (count_pools_of_large_hosts (world), POOL_COUNT);
      CU_ASSERT_EQUAL (count_releases (world), POOL_COUNT + 1);
      jw_advance (world, 10 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* A small owner whose event loop is late again and again takes its own
   lateness for the silence of the large hosts.  */
static void
test_pool_stays_on_late_host (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_world *world = create_world (SMALL_HOST_COUNT, seed);
      jb_time end;

      let_small_hosts_claim (world);
      start_hosts (world, 0, LARGE_HOST_COUNT);
      end = world->now + MOVE_TIME;
      while (world->now < end)
        {
          int owner = jw_pool_owner (world, 0);

          if (owner >= LARGE_HOST_COUNT)
            jw_host_set_frozen (world, (uint32_t)owner, true);
          submit_for (world, 900 * JB_MS);
          if (owner >= LARGE_HOST_COUNT)
            jw_host_set_frozen (world, (uint32_t)owner, false);
          submit_for (world, 400 * JB_MS);
        }
      CU_ASSERT_EQUAL (count_pools_of_large_hosts (world), POOL_COUNT);
      jw_advance (world, 10 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* Large hosts that restart again and again don't attract pools.  */
static void
test_pools_move_to_restarting_hosts (void)
{
  struct jw_world *world = create_world (SMALL_HOST_COUNT, 1);

  let_small_hosts_claim (world);
  for (uint32_t i = 0; i < 6; i++)
    {
      start_hosts (world, 0, LARGE_HOST_COUNT);
      submit_for (world, 2500 * JB_MS);
      CU_ASSERT_EQUAL (count_pools_of_small_hosts (world), POOL_COUNT);
      kill_hosts (world, 0, LARGE_HOST_COUNT);
      submit_for (world, 500 * JB_MS);
    }
  CU_ASSERT_EQUAL (count_releases (world), 0);
  start_hosts (world, 0, LARGE_HOST_COUNT);
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* While no host reaches the store, nobody could claim a pool.  */
static void
test_pools_released_without_store (void)
{
  struct jw_world *world = create_world (SMALL_HOST_COUNT, 1);

  let_small_hosts_claim (world);
  start_hosts (world, 0, LARGE_HOST_COUNT);
  jw_advance (world, 2 * JB_SECOND);
  world->store_down = true;
  jw_advance (world, 8 * JB_SECOND);
  CU_ASSERT_EQUAL (count_pools_of_small_hosts (world), POOL_COUNT);
  world->store_down = false;
  jw_advance (world, MOVE_TIME);
  CU_ASSERT_EQUAL (count_pools_of_large_hosts (world), POOL_COUNT);
  jw_check_and_free (world);
}

/* The large hosts lose the store just when they should claim what was handed
   over, so small hosts claim it.  They don't try again at once.  */
static void
test_failed_handover_is_repeated_at_once (void)
{
  struct jw_world *world = create_world (SMALL_HOST_COUNT, 1);
  uint64_t releases;
  jb_time end;

  let_small_hosts_claim (world);
  start_hosts (world, 0, LARGE_HOST_COUNT);
  end = world->now + MOVE_TIME;
  while (world->now < end)
    {
      releases = count_releases (world);
      jw_advance (world, 5 * JB_MS);
      if (count_releases (world) == releases)
        continue;
      for (uint32_t i = 0; i < LARGE_HOST_COUNT; i++)
        world->hosts[i].store_unreachable = true;
      submit_for (world, JB_SECOND);
      for (uint32_t i = 0; i < LARGE_HOST_COUNT; i++)
        world->hosts[i].store_unreachable = false;
    }
  /* No more often than there are pools, with the standby pool.  */
  CU_ASSERT (count_releases (world) <= POOL_COUNT + 1);
  submit_for (world, 25 * JB_SECOND);
  CU_ASSERT_EQUAL (count_pools_of_large_hosts (world), POOL_COUNT);
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* A successor would wait for the leases of a backend server that does not
   answer, so the pool moves when it has left the roster.  */
static void
test_successor_waits_for_silent_backend (void)
{
  struct jw_world *world = create_world (SMALL_HOST_COUNT, 1);
  struct jw_backend *backend;
  jb_time end;

  let_small_hosts_claim (world);
  start_hosts (world, 0, LARGE_HOST_COUNT);
  submit_for (world, JB_SECOND);
  backend = jw_find_backend (world, 0, 0);
  CU_ASSERT_FATAL (backend != NULL);
  if (backend == NULL)
    return; /* for the static analysis */
  CU_ASSERT (jw_is_in_roster (world, backend->instance));
  backend->unreachable = true;
  end = world->now + MOVE_TIME;
  while (jw_pool_owner (world, 0) >= LARGE_HOST_COUNT && world->now < end)
    submit_for (world, 50 * JB_MS);
  CU_ASSERT_FALSE (jw_is_in_roster (world, backend->instance));
  submit_for (world, JB_SECOND);
  CU_ASSERT (jw_pool_owner (world, 0) >= 0);
  CU_ASSERT (jw_pool_owner (world, 0) < LARGE_HOST_COUNT);
  backend->unreachable = false;
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* Hosts that are alike hand nothing over, however unevenly the pools are
   spread: all small, or with unknown shares.  */
static void
test_pools_move_between_equal_hosts (void)
{
  static const uint32_t SMALL_HOSTS[] = { HOST_COUNT, 0 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (SMALL_HOSTS); i++)
    {
      struct jw_world *world = create_world (SMALL_HOSTS[i], 1);

      kill_hosts (world, 0, HOST_COUNT);
      jw_advance (world, 2 * JB_SECOND);
      jw_host_start (world, HOST_COUNT - 1);
      submit_for (world, 5 * JB_SECOND);
      start_hosts (world, 0, HOST_COUNT - 1);
      submit_for (world, 15 * JB_SECOND);
      for (uint32_t pool = 0; pool < POOL_COUNT; pool++)
        CU_ASSERT_EQUAL (jw_pool_owner (world, pool), HOST_COUNT - 1);
      CU_ASSERT_EQUAL (count_releases (world), 0);
      jw_advance (world, 10 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a pool stays on a small host", test_pool_stays_on_small_host },
          { "a pool stays on a small host that is late",
            test_pool_stays_on_late_host },
          { "pools move to hosts that restart",
            test_pools_move_to_restarting_hosts },
          { "pools are released while the store is down",
            test_pools_released_without_store },
          { "a failed hand-over is repeated at once",
            test_failed_handover_is_repeated_at_once },
          { "a successor waits for a silent backend server",
            test_successor_waits_for_silent_backend },
          { "pools move between equal hosts",
            test_pools_move_between_equal_hosts },
          { NULL, NULL } };

  return dp_test_main ("small owners", tests);
}
