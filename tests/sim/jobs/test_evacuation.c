/* Evacuations of availability zones in the simulation, with the failures that
   may come between an order and its effect.  */

#include "jw_test.h"

/* Within this time of an order nothing is started in the zone any more.  */
#define ORDER_TIME (5 * JB_SECOND)

enum
{
  EVACUATED = 1 /* index of the zone */
};

static struct jw_world *
create_world (uint32_t seed, uint32_t hosts, uint32_t disabled_safeguards)
{
  struct jw_options options = { .seed = seed,
                                .hosts = hosts,
                                .pools = 2,
                                .backends = 6,
                                .backend_cpu_milli = 8000,
                                .disabled_safeguards = disabled_safeguards };

  return jw_create_world (&options);
}

/* Submit a job with tasks of DURATION_MS to POOL.  */
static void
submit (struct jw_world *world, uint32_t pool, uint32_t tasks,
        int64_t duration_ms)
{
  struct jw_job_options job = { .pool = pool,
                                .step_count = 1,
                                .tasks_per_step = tasks,
                                .cpu_milli = 1000,
                                .duration_ms = duration_ms };

  jw_submit_job (world, &job);
}

/* Submit small jobs to both pools for DURATION.  */
static void
advance_with_load (struct jw_world *world, jb_time duration)
{
  jb_time end = world->now + duration;

  while (world->now < end)
    {
      submit (world, world->now / (100 * JB_MS) % 2, 4, 300);
      jw_advance (world, 100 * JB_MS);
    }
}

/* Tasks of a zone must not start there after an order, and must start there
   again after its removal.  */
static void
test_order_and_removal (void)
{
  struct jw_world *world = create_world (1, 3, 0);

  advance_with_load (world, JB_SECOND);
  jw_evacuate_zone (world, EVACUATED);
  advance_with_load (world, ORDER_TIME);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  advance_with_load (world, 5 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  jw_restore_zone (world, EVACUATED);
  jw_advance (world, 2 * JB_SECOND);
  submit (world, 0, 24, 1000);
  submit (world, 0, 24, 1000);
  jw_advance (world, 500 * JB_MS);
  CU_ASSERT (jw_count_running_in_zone (world, EVACUATED) > 0);
  jw_advance (world, 3 * JB_SECOND);
  jw_check_and_free (world);
}

/* The emulator's check must find starts in an evacuated zone.  */
static void
test_check (void)
{
  struct jw_world *world = create_world (1, 3, JB_SAFEGUARD_ZONES);

  jw_evacuate_zone (world, EVACUATED);
  advance_with_load (world, ORDER_TIME + JB_SECOND);
  CU_ASSERT (world->violations > 0);
  CU_ASSERT (g_str_has_prefix (world->first_violation, "EVAC"));
  jw_world_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "nothing starts between an order and its removal",
            test_order_and_removal },
          { "the check finds starts without the safeguard", test_check },
          { NULL, NULL } };

  return dp_test_main ("evacuations of zones", tests);
}
