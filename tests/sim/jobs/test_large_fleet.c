/* Tests of fleets with many entry hosts in virtual time.

   Expected load: fleets of up to some hundred entry hosts, most of them small.
   What an ordinary host pays for knowing the others must not grow with their
   number, and the loss of any hosts at once must be survived.  */

#include "jw_test.h"

#include <stdlib.h>

/* Most bytes that an ordinary host may exchange with others per second while
   there is no work.  */
#define MAX_CONTROL_BYTES_PER_S 7000

static struct jw_world *
create_world (uint32_t hosts, uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = hosts,
                                .pools = 4,
                                .backends = 3,
                                .backend_cpu_milli = 8000 };

  return jw_create_world (&options);
}

static void
submit_many (struct jw_world *world, uint32_t count, jb_time gap)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct jw_job_options job = { .pool = i % world->options.pools,
                                    .step_count = 2,
                                    .tasks_per_step = 4,
                                    .cpu_milli = 1000,
                                    .duration_ms = 600 };

      jw_submit_job (world, &job);
      jw_advance (world, gap);
    }
}

static bool
is_coordinator (const struct jw_world *world, uint32_t index)
{
  return world->hosts[index].host != NULL
         && jb_host_is_coordinator (world->hosts[index].host);
}

static uint32_t
count_coordinators (const struct jw_world *world)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < world->options.hosts; i++)
    count += is_coordinator (world, i);
  return count;
}

/* Return whether the host INDEX is no coordinator and owns nothing.  */
static bool
is_ordinary (const struct jw_world *world, uint32_t index)
{
  const struct jb_host *host = world->hosts[index].host;
  bool is_owner = host != NULL && jb_host_is_planner (host);

  for (uint32_t i = 0; host != NULL && i < world->options.pools; i++)
    is_owner
        = is_owner || jb_host_owns_pool (host, world->catalog->pools[i].name);
  return host != NULL && !is_owner && !is_coordinator (world, index);
}

static uint32_t
count_owned_pools (struct jw_world *world)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < world->options.pools; i++)
    count += jw_pool_owner (world, i) >= 0;
  return count;
}

/* Return the largest number of bytes per second that an ordinary host of an
   idle fleet of HOSTS exchanges with others.  */
static uint64_t
measure_ordinary_bytes (uint32_t hosts)
{
  static const int SECONDS = 10;
  struct jw_world *world = create_world (hosts, 1);
  uint64_t largest = 0;

  CU_ASSERT (count_coordinators (world) <= 9);
  for (uint32_t i = 0; i < hosts; i++)
    world->hosts[i].sent_bytes = world->hosts[i].received_bytes = 0;
  jw_advance (world, SECONDS * JB_SECOND);
  for (uint32_t i = 0; i < hosts; i++)
    if (is_ordinary (world, i))
      largest = MAX (largest, world->hosts[i].sent_bytes
                                  + world->hosts[i].received_bytes);
  jw_check_and_free (world);
  return largest / (uint64_t)SECONDS;
}

/* An ordinary host exchanges few bytes, however many hosts there are.  */
static void
test_control_bytes (void)
{
  uint64_t of_16 = measure_ordinary_bytes (16);
  uint64_t of_64 = measure_ordinary_bytes (64);

  printf ("%u and %u bytes a second of 16 and 64 hosts ", (unsigned)of_16,
          (unsigned)of_64);
  CU_ASSERT (of_16 > 0);
  CU_ASSERT (of_64 <= MAX_CONTROL_BYTES_PER_S);
  CU_ASSERT (of_64 <= of_16 + of_16 / 10);
}

/* All coordinators, and so all owners, are killed at the same moment.  */
static void
test_coordinators_killed (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct jw_world *world = create_world (40, seed);
      uint32_t killed = 0;

      submit_many (world, 12, 50 * JB_MS);
      for (uint32_t i = 0; i < world->options.hosts; i++)
        if (is_coordinator (world, i))
          {
            jw_host_kill (world, i);
            killed++;
          }
      CU_ASSERT (killed >= 5);
      CU_ASSERT_EQUAL (count_owned_pools (world), 0);
      submit_many (world, 12, 250 * JB_MS);
      CU_ASSERT_EQUAL (count_owned_pools (world), world->options.pools);
      CU_ASSERT (count_coordinators (world) >= 5);
      submit_many (world, 12, 50 * JB_MS);
      jw_advance (world, 12 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* All coordinators lose the store while the other hosts reach it.  */
static void
test_coordinators_cut_off_from_store (void)
{
  struct jw_world *world = create_world (40, 1);

  submit_many (world, 12, 50 * JB_MS);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    world->hosts[i].store_unreachable = is_coordinator (world, i);
  submit_many (world, 24, 250 * JB_MS);
  CU_ASSERT_EQUAL (count_owned_pools (world), world->options.pools);
  for (uint32_t i = 0; i < world->options.pools; i++)
    CU_ASSERT_FALSE (world->hosts[jw_pool_owner (world, i)].store_unreachable);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    world->hosts[i].store_unreachable = false;
  jw_advance (world, 12 * JB_SECOND);
  jw_check_and_free (world);
}

/* Three of four hosts are killed at once, and started again later.  */
static void
test_most_hosts_killed (void)
{
  for (uint32_t seed = 1; seed <= 3; seed++)
    {
      struct jw_world *world = create_world (40, seed);

      submit_many (world, 12, 50 * JB_MS);
      for (uint32_t i = 0; i < world->options.hosts; i++)
        if ((i + seed) % 4 != 0)
          jw_host_kill (world, i);
      submit_many (world, 24, 250 * JB_MS);
      for (uint32_t i = 0; i < world->options.hosts; i++)
        if (world->hosts[i].host == NULL)
          jw_host_start (world, i);
      submit_many (world, 12, 250 * JB_MS);
      CU_ASSERT_EQUAL (count_owned_pools (world), world->options.pools);
      jw_advance (world, 12 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* A pool has so many backend servers that their roster does not fit into one
   row of the store.  A new owner takes it over with the tasks that run.  */
static void
test_large_roster (void)
{
  struct jw_options options = { .seed = 1,
                                .hosts = 3,
                                .pools = 1,
                                .backends = 250,
                                .backend_cpu_milli = 2000,
                                .verbose = getenv ("JW_VERBOSE") != NULL };
  struct jw_world *world = jw_world_new (&options);
  int owner;

  jw_advance (world, 6 * JB_SECOND);
  submit_many (world, 30, 20 * JB_MS);
  owner = jw_pool_owner (world, 0);
  CU_ASSERT_FATAL (owner >= 0);
  jw_host_kill (world, (uint32_t)owner);
  submit_many (world, 30, 100 * JB_MS);
  jw_advance (world, 8 * JB_SECOND);
  CU_ASSERT (world->task_starts >= 60 * 8);
  jw_check_and_free (world);
}

/* Many jobs that arrive together are stored in few transactions.  When the
   store is slow, a pool accepts no more jobs than fit into its transactions,
   which follow each other.  */
static void
test_batches_of_jobs (void)
{
  enum
  {
    JOB_COUNT = 250
  };
  struct jw_job_options job = {
    .step_count = 1, .tasks_per_step = 1, .cpu_milli = 1000, .duration_ms = 400
  };
  struct jw_world *world = create_world (3, 1);
  uint64_t version = world->version;

  for (uint32_t i = 0; i < JOB_COUNT; i++)
    jw_submit_job (world, &job);
  jw_advance (world, 250 * JB_MS);
  /* Three for the jobs; in the same time, each of the three hosts may renew
     its row.  */
  CU_ASSERT (world->version - version <= 3 + 3);
  jw_advance (world, 30 * JB_SECOND);
  jw_check_and_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "control bytes of an ordinary host", test_control_bytes },
          { "all coordinators are killed", test_coordinators_killed },
          { "all coordinators lose the store",
            test_coordinators_cut_off_from_store },
          { "a roster that fills several rows", test_large_roster },
          { "jobs that arrive together", test_batches_of_jobs },
          { "most hosts are killed", test_most_hosts_killed },
          { NULL, NULL } };

  return dp_test_main ("large fleets", tests);
}
