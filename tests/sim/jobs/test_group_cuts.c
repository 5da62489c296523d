/* Tests of entry hosts that are cut off together from the others and from the
   store, and of an outage of the store for all of them, in virtual time.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 8,
  TASK_COUNT = 24,
  SILENT_BACKEND_COUNT = 4
};

/* When backend servers fall silent after the cut, and for how long: until the
   next owner has started their tasks elsewhere.  */
#define SILENCE_DELAY (900 * JB_MS)
#define SILENCE (6500 * JB_MS)

/* Return a simulation of HOST_COUNT entry hosts with tasks running that take
   longer than any cut.  */
static struct jw_world *
create_busy_world (uint32_t seed, uint32_t host_count)
{
  struct jw_options options = { .seed = seed,
                                .hosts = host_count,
                                .pools = 1,
                                .backends = 6,
                                .backend_cpu_milli = 8000 };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = TASK_COUNT,
                                .cpu_milli = 1000,
                                .duration_ms = 20000 };

  jw_submit_job (world, &job);
  jw_advance (world, JB_SECOND);
  CU_ASSERT_EQUAL (world->task_starts, TASK_COUNT);
  return world;
}

/* Two owners of a pool: COUNT of HOST_COUNT entry hosts, the owner among them,
   are cut off together for CUT_TIME.  They hear each other, while the others
   claim the pool.  */
static void
cut_owner_off (uint32_t host_count, uint32_t count, jb_time cut_time)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_busy_world (seed, host_count);
      int owner = jw_pool_owner (world, 0);

      CU_ASSERT_FATAL (owner >= 0);
      jw_cut_group (world, (uint32_t)owner, count);
      jw_advance (world, SILENCE_DELAY);
      for (uint32_t i = 0; i < SILENT_BACKEND_COUNT; i++)
        jw_find_backend (world, 0, i)->unreachable = true;
      /* Which owner reaches them first depends on the moment.  */
      jw_advance (world, SILENCE + seed * 50 * JB_MS);
      for (uint32_t i = 0; i < SILENT_BACKEND_COUNT; i++)
        jw_find_backend (world, 0, i)->unreachable = false;
      jw_advance (world,
                  cut_time - SILENCE_DELAY - SILENCE - seed * 50 * JB_MS);
      jw_cut_group (world, 0, 0);
      jw_advance (world, 40 * JB_SECOND);
      jw_check_and_free (world);
    }
}

static void
test_minority_cut_off (void)
{
  cut_owner_off (6, 2, 11 * JB_SECOND);
}

/* As when a zone of three is cut off for longer than a row stays valid.  */
static void
test_zone_cut_off (void)
{
  cut_owner_off (18, 6, 11 * JB_SECOND);
}

/* The others are the minority, and claim when the rows of the group that is
   cut off are no longer renewed.  */
static void
test_majority_cut_off (void)
{
  cut_owner_off (6, 4, 11 * JB_SECOND);
}

/* Runs lost in an outage of the store, although no other host can claim the
   pool meanwhile: the owner has to extend their leases.  */
static void
test_outage_for_all (void)
{
  static const uint32_t host_counts[] = { 6, 18 };

  for (size_t i = 0; i < G_N_ELEMENTS (host_counts); i++)
    {
      struct jw_world *world = create_busy_world (1, host_counts[i]);

      world->store_down = true;
      jw_advance (world, 11 * JB_SECOND);
      world->store_down = false;
      jw_advance (world, 40 * JB_SECOND);
      CU_ASSERT_EQUAL (world->task_starts, TASK_COUNT);
      jw_check_and_free (world);
    }
}

/* The same in a shorter outage while one host is down.  */
static void
test_outage_with_host_down (void)
{
  struct jw_world *world = create_busy_world (1, 6);
  uint32_t other = ((uint32_t)jw_pool_owner (world, 0) + 1) % 6;

  world->store_down = true;
  jw_host_kill (world, other);
  jw_advance (world, 4 * JB_SECOND);
  world->store_down = false;
  jw_host_start (world, other);
  jw_advance (world, 40 * JB_SECOND);
  CU_ASSERT_EQUAL (world->task_starts, TASK_COUNT);
  jw_check_and_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a minority with the owner is cut off", test_minority_cut_off },
          { "a zone with the owner is cut off", test_zone_cut_off },
          { "a majority with the owner is cut off", test_majority_cut_off },
          { "an outage of the store for all hosts", test_outage_for_all },
          { "an outage of the store while a host is down",
            test_outage_with_host_down },
          { NULL, NULL } };

  return dp_test_main ("group cuts", tests);
}
