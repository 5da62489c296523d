/* Tests of backend servers that follow one that crashed at the same address,
   in virtual time.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 10
};

/* A backend server crashes, and the next one at its address is cut off for
   longer than a lease while the first one is still listed.  Return the number
   of crashes that the owner counts.  */
static uint64_t
count_crashes (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 1,
                                .pools = 1,
                                .backends = 3,
                                .backend_cpu_milli = 16000 };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 20,
                                .cpu_milli = 1000,
                                .duration_ms = 12000 };
  struct jw_fleet_host *host = g_ptr_array_index (world->fleet, 0);
  struct jw_backend *crashed = host->backend;
  uint64_t count;

  jw_submit_job (world, &job);
  jw_advance (world, JB_SECOND);
  host->kept_address = talloc_strdup (host, crashed->address);
  jw_backend_crash (world, crashed, false);
  crashed->ended_at = world->now + 30 * JB_SECOND;
  jw_advance (world, 4 * JB_SECOND);
  jw_submit_job (world, &job);
  jw_advance (world, JB_SECOND);
  host->backend->unreachable = true;
  jw_advance (world, 5 * JB_SECOND);
  host->backend->unreachable = false;
  jw_advance (world, 25 * JB_SECOND);
  count = jb_host_metrics (world->hosts[0].host)
              ->counters[JB_COUNT_BACKENDS_CRASHED];
  jw_check_and_free (world);
  return count;
}

static void
test_cut_counts_as_crash (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    CU_ASSERT_EQUAL (count_crashes (seed), 1);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a cut counts as a crash after a crash at the same address",
            test_cut_counts_as_crash },
          { NULL, NULL } };

  return dp_test_main ("crash of a predecessor", tests);
}
