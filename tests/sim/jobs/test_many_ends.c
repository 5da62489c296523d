/* Tests of backend servers on which more runs end than they list in one
   answer, because the store is away and no end is acknowledged, in virtual
   time.

   Expected load: hundreds of tasks of less than a second on each backend
   server.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 3,
  HOST_COUNT = 3,
  JOB_COUNT = 12,
  TASKS_PER_JOB = 200
};

#define OUTAGE (4500 * JB_MS)

static struct jw_world *
create_busy_world (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = HOST_COUNT,
                                .pools = 1,
                                .backends = 2,
                                .backend_cpu_milli = 300000 };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = TASKS_PER_JOB,
                                .cpu_milli = 1000,
                                .duration_ms = 500 };

  for (int i = 0; i < JOB_COUNT; i++)
    jw_submit_job (world, &job);
  jw_advance (world, 100 * JB_MS);
  return world;
}

/* Return the largest number of ends that a backend server keeps.  */
static guint
count_kept_ends (const struct jw_world *world)
{
  guint most = 0;

  for (guint i = 0; i < world->backends->len; i++)
    most = MAX (most, ((const struct jw_backend *)g_ptr_array_index (
                           world->backends, i))
                          ->ended_runs->len);
  return most;
}

/* Done tasks start again: their ends are beyond those that are listed, and the
   owner takes their runs for vanished.  */
static void
test_outage (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_busy_world (seed);

      world->store_down = true;
      jw_advance (world, OUTAGE);
      CU_ASSERT (count_kept_ends (world) > 500);
      world->store_down = false;
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The same for a new owner, which knows nothing of the ends that are not
   listed.  */
static void
test_takeover (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_busy_world (seed);
      int owner = jw_pool_owner (world, 0);

      CU_ASSERT_FATAL (owner >= 0);
      world->store_down = true;
      jw_advance (world, OUTAGE);
      jw_host_kill (world, (uint32_t)owner);
      world->store_down = false;
      jw_advance (world, 2 * JB_SECOND);
      jw_host_start (world, (uint32_t)owner);
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "more ends than an answer lists", test_outage },
          { "a takeover with more ends than an answer lists", test_takeover },
          { NULL, NULL } };

  return dp_test_main ("many ends", tests);
}
