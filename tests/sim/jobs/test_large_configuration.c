/* Tests of configurations with thousands of queues in virtual time.

   Expected load: entry hosts of which most have a link of 10 Mbit/s, and a
   configuration that takes a second over such a link.  */

#include "jw_test.h"

#include <stdlib.h>

enum
{
  HOST_COUNT = 34,
  SMALL_HOST_COUNT = 26,
  QUEUES_BEFORE = 3050,
  QUEUES_ADDED = 1400
};

/* How long after its confirmation a version must be in force everywhere.  */
#define APPLY_TIME (3 * JB_SECOND)

/* Time from a version until its confirmation, when the next one follows.  */
#define CONFIRMATION_TIME (3700 * JB_MS)

/* How long after all hosts were started again they must serve.  */
#define RECOVERY_TIME (12 * JB_SECOND)

static struct jw_world *
create_world (uint32_t hosts, uint32_t small_hosts, uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = hosts,
                                .small_hosts = small_hosts,
                                .pools = 4,
                                .backends = 3,
                                .backend_cpu_milli = 8000 };

  return jw_create_world (&options);
}

/* Return how many hosts do not have the newest configuration.  */
static uint32_t
count_outdated (const struct jw_world *world)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < world->options.hosts; i++)
    count += world->hosts[i].host != NULL
             && jb_host_catalog_version (world->hosts[i].host)
                    < world->catalog->version;
  return count;
}

/* Return how many copies of a configuration the hosts have sent.  */
static uint64_t
count_copies (const struct jw_world *world)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < world->options.hosts; i++)
    count += jb_host_metrics (world->hosts[i].host)
                 ->counters[JB_COUNT_CATALOGS_SENT];
  return count;
}

/* Many queues are added, and another version follows at once.  */
static void
test_configuration_late_over_slow_links (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct jw_world *world
          = create_world (HOST_COUNT, SMALL_HOST_COUNT, seed);

      jw_add_queues (world, QUEUES_BEFORE);
      jw_advance (world, 30 * JB_SECOND);
      CU_ASSERT_EQUAL (count_outdated (world), 0);
      jw_add_queues (world, QUEUES_ADDED);
      jw_advance (world, CONFIRMATION_TIME);
      CU_ASSERT_EQUAL (count_outdated (world), 0);
      jw_bump_catalog_version (world);
      jw_advance (world, APPLY_TIME);
      CU_ASSERT_EQUAL (count_outdated (world), 0);
      /* No host gets more than one copy of each of the three versions.  */
      CU_ASSERT (count_copies (world) <= (uint64_t)3 * HOST_COUNT);
      jw_assert_and_free (world);
    }
}

/* All hosts are small, and all are started again at once.  */
static void
test_no_configuration_after_restart_over_slow_links (void)
{
  struct jw_world *world
      = create_world (SMALL_HOST_COUNT, SMALL_HOST_COUNT, 1);

  jw_add_queues (world, QUEUES_BEFORE + QUEUES_ADDED);
  jw_advance (world, 30 * JB_SECOND);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    jw_host_kill (world, i);
  jw_advance (world, 2 * JB_SECOND);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    jw_host_start (world, i);
  jw_advance (world, RECOVERY_TIME);
  CU_ASSERT_EQUAL (count_outdated (world), 0);
  for (uint32_t i = 0; i < world->options.pools; i++)
    CU_ASSERT (jw_pool_owner (world, i) >= 0);
  jw_assert_and_free (world);
}

/* Some small hosts get the configuration from the others only.  */
static void
test_configuration_late_without_store (void)
{
  struct jw_world *world = create_world (HOST_COUNT, SMALL_HOST_COUNT, 1);
  const uint32_t cut_off = SMALL_HOST_COUNT / 3;

  jw_add_queues (world, QUEUES_BEFORE);
  jw_advance (world, 30 * JB_SECOND);
  for (uint32_t i = 0; i < cut_off; i++)
    world->hosts[HOST_COUNT - 1 - i].store_unreachable = true;
  jw_add_queues (world, QUEUES_ADDED);
  jw_advance (world, APPLY_TIME);
  CU_ASSERT_EQUAL (count_outdated (world), 0);
  jw_assert_and_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "configuration late over slow links",
            test_configuration_late_over_slow_links },
          { "no configuration after a restart over slow links",
            test_no_configuration_after_restart_over_slow_links },
          { "configuration late without the store",
            test_configuration_late_without_store },
          { NULL, NULL } };

  return dp_test_main ("large configurations of jobs", tests);
}
