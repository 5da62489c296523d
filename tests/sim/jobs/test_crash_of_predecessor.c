/* Tests of backend servers that follow one that crashed at the same address,
   in virtual time.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 10,
  IDLE_BACKENDS = 8
};

/* Time after which the next backend servers answer, and until which their
   predecessors are listed.  */
#define RECOVERY_TIME (3100 * JB_MS)
#define LISTED_TIME (8 * JB_SECOND)

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

/* A job fails although none of its runs has: the backend servers of an idle
   pool crash, the next ones at their addresses answer the starts that were
   meant for the first ones, and each of these starts counts as a crash.  */
static void
test_starts_answered_by_successors (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_options options = { .seed = seed,
                                    .hosts = 1,
                                    .pools = 1,
                                    .backends = IDLE_BACKENDS,
                                    .backend_cpu_milli = 16000 };
      struct jw_world *world = jw_create_world (&options);
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 4,
                                    .cpu_milli = 1000,
                                    .duration_ms = 500 };
      const char *id;

      jw_advance (world, JB_SECOND);
      for (uint32_t i = 0; i < IDLE_BACKENDS; i++)
        {
          struct jw_fleet_host *host = g_ptr_array_index (world->fleet, i);
          struct jw_backend *crashed = host->backend;

          jw_backend_crash_in_place (world, crashed);
          crashed->ended_at = world->now + LISTED_TIME;
        }
      jw_advance (world, RECOVERY_TIME);
      id = jw_submit_job (world, &job);
      jw_advance (world, 20 * JB_SECOND);
      CU_ASSERT_EQUAL (
          jb_host_metrics (world->hosts[0].host)->counters[JB_COUNT_FAILED],
          0);
      jw_query_all_jobs (world);
      jw_advance (world, JB_SECOND);
      CU_ASSERT_EQUAL (jw_find_job (world, id)->state, JB_JOB_COMPLETED);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a cut counts as a crash after a crash at the same address",
            test_cut_counts_as_crash },
          { "starts are answered by the next backend servers",
            test_starts_answered_by_successors },
          { NULL, NULL } };

  return dp_test_main ("crash of a predecessor", tests);
}
