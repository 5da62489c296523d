/* Tests of an owner that gets too little CPU time, in virtual time.

   Expected load: the owner can't send its commands for somewhat longer than
   the lease of the runs, while the backend servers go on.  */

#include "jw_test.h"

enum
{
  SEED_COUNT = 10,
  JOB_COUNT = 30
};

#define JOB_INTERVAL (100 * JB_MS)
#define BUSY_TIME (5 * JB_SECOND)

/* While answers get lost, and the owner stalls after that.  */
#define LOSS_TIME (100 * JB_MS)
#define STALL_TIME (4500 * JB_MS)

/* Return a world with HOSTS entry hosts and jobs that run.  */
static struct jw_world *
create_busy_world (uint32_t seed, uint32_t hosts)
{
  struct jw_options options = { .seed = seed,
                                .hosts = hosts,
                                .pools = 1,
                                .backends = 9,
                                .backend_cpu_milli = 16000 };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 6,
                                .cpu_milli = 1000,
                                .duration_ms = 1000 };

  for (uint32_t i = 0; i < JOB_COUNT; i++)
    {
      jw_submit_job (world, &job);
      jw_advance (world, JOB_INTERVAL);
    }
  return world;
}

/* Let the owner go on, and return the number of starts of tasks that were
   done.  */
static uint32_t
count_starts_after_done (struct jw_world *world)
{
  uint32_t count;

  jw_advance (world, 15 * JB_SECOND);
  count = world->starts_after_done;
  jw_check_and_free (world);
  return count;
}

/* Let the owner of the pool be too busy to send probes.  */
static uint32_t
run_with_busy_owner (uint32_t seed)
{
  struct jw_world *world = create_busy_world (seed, 5);
  int owner = jw_pool_owner (world, 0);

  CU_ASSERT_FATAL (owner >= 0);
  world->hosts[owner].too_busy = true;
  jw_advance (world, BUSY_TIME);
  world->hosts[owner].too_busy = false;
  return count_starts_after_done (world);
}

/* Let the only entry host stall, so that it learns that a probe was not
   answered when the lease has expired.  */
static uint32_t
run_with_stalled_owner (uint32_t seed)
{
  struct jw_world *world = create_busy_world (seed, 1);

  world->loss_permille.backend_commands = 1000;
  jw_advance (world, LOSS_TIME);
  world->loss_permille.backend_commands = 0;
  jw_host_set_frozen (world, 0, true);
  jw_advance (world, STALL_TIME);
  jw_host_set_frozen (world, 0, false);
  return count_starts_after_done (world);
}

/* Backend servers were not asked whether their runs had ended, but taken for
   silent.  */
static void
test_done_tasks_started_again (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    CU_ASSERT_EQUAL (run_with_busy_owner (seed), 0);
}

/* One probe without an answer, sent before the lease expired, was enough to
   give up runs.  */
static void
test_done_tasks_started_after_stall (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    CU_ASSERT_EQUAL (run_with_stalled_owner (seed), 0);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "done tasks started again by a busy owner",
            test_done_tasks_started_again },
          { "done tasks started again after a stall",
            test_done_tasks_started_after_stall },
          { NULL, NULL } };

  return dp_test_main ("late owner", tests);
}
