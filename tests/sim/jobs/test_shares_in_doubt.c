/* Tests of starts in doubt that no longer fit in the limit of their
   organisation, in virtual time.

   Expected load: a few starts that are not answered, whose owner loses its
   pool.  */

#include "jw_test.h"

enum
{
  SEEDS = 6,
  HOSTS = 3,
  BACKENDS = 8,
  TASKS_IN_DOUBT = 4
};

#define FORMER_LIMIT_MILLI 12000
#define TASK_DURATION_MS 2000

/* Time in which the tasks of a job are started.  */
#define START_TIME (1 * JB_SECOND)

/* Time in which the next owner has claimed the pool and knows its runs, also
   if it waits for leases of the former one to expire.  */
#define TAKEOVER_TIME (12 * JB_SECOND)

/* Time in which the next owner has learned of the starts of the former one,
   and has tried to send them.  */
#define LEARN_TIME (3 * JB_SECOND)

/* Time in which the tasks in doubt have run, two at a time, after others of
   their organisation were stopped.  Starts by the former owner are in doubt
   for 16 s.  */
#define RUN_TIME (8 * JB_SECOND)

/* Return a simulation in which OTHER_TASKS tasks of job OTHER are running.  */
static struct jw_world *
create_world (uint32_t seed, uint32_t other_tasks, const char **other)
{
  struct jw_options options = { .seed = seed,
                                .hosts = HOSTS,
                                .pools = 1,
                                .backends = BACKENDS,
                                .backend_cpu_milli = 4000,
                                .org_cpu_limit_milli = FORMER_LIMIT_MILLI };
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = other_tasks,
                                .cpu_milli = 1000,
                                .long_running = true,
                                .max_unavailable = 1 };
  struct jw_world *world = jw_create_world (&options);

  if (other_tasks == 0)
    return world;
  *other = jw_submit_job (world, &job);
  jw_advance (world, START_TIME);
  CU_ASSERT_EQUAL_FATAL (jw_count_running_tasks (world, *other), other_tasks);
  return world;
}

/* Lower the limit of each organisation to LIMIT_MILLI.  */
static void
lower_limit (struct jw_world *world, int64_t limit_milli)
{
  struct jb_catalog *catalog = world->catalog;

  for (uint32_t i = 0; i < catalog->org_count; i++)
    catalog->orgs[i].limit.cpu_milli = limit_milli;
  world->options.org_cpu_limit_milli = limit_milli;
  jw_bump_catalog_version (world);
}

/* Submit a job with TASKS_IN_DOUBT tasks, no start of which reaches its
   backend server, and advance until it is accepted.  Return the index of the
   owner of the pool.  */
static uint32_t
submit_unanswered (struct jw_world *world, bool gang, const char **id)
{
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = TASKS_IN_DOUBT,
                                .cpu_milli = 1000,
                                .duration_ms = TASK_DURATION_MS,
                                .gang = gang };
  jb_time limit = world->now + START_TIME;
  int owner = jw_pool_owner (world, 0);

  CU_ASSERT_FATAL (owner >= 0);
  world->hosts[owner].backends_unreachable = true;
  *id = jw_submit_job (world, &job);
  while (!jw_find_job (world, *id)->accepted && world->now < limit)
    jw_advance (world, JB_MS);
  CU_ASSERT_FATAL (jw_find_job (world, *id)->accepted);
  return (uint32_t)owner;
}

/* Starts above the limit: the next owner finds stored starts in doubt, while
   other tasks use up the share.  */
static void
test_stored_starts (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      const char *other;
      const char *id;
      struct jw_world *world = create_world (seed, BACKENDS, &other);
      uint32_t owner = submit_unanswered (world, false, &id);

      jw_advance (world, START_TIME);
      lower_limit (world, BACKENDS * 1000);
      jw_host_kill (world, owner);
      jw_advance (world, TAKEOVER_TIME);
      CU_ASSERT_EQUAL (jw_count_running_tasks (world, other), BACKENDS);
      CU_ASSERT_EQUAL (jw_count_running_tasks (world, id), 0);
      jw_cancel_job (world, other);
      jw_advance (world, RUN_TIME);
      jw_check_and_free (world);
    }
}

/* Starts above the limit: the former owner, which did not reach the store,
   tells the next one of starts in doubt after that one has let other tasks use
   up its share.  */
static void
test_starts_told_late (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      const char *other;
      const char *id;
      struct jw_world *world = create_world (seed, BACKENDS, &other);
      uint32_t owner = submit_unanswered (world, false, &id);

      jw_cut_group (world, owner, HOSTS - 1);
      lower_limit (world, BACKENDS * 1000);
      jw_advance (world, TAKEOVER_TIME);
      CU_ASSERT_EQUAL (jw_count_running_tasks (world, other), BACKENDS);
      CU_ASSERT_EQUAL (jw_count_running_tasks (world, id), 0);
      jw_cut_group (world, 0, 0);
      world->hosts[owner].backends_unreachable = false;
      jw_advance (world, LEARN_TIME);
      CU_ASSERT_EQUAL (jw_count_running_tasks (world, id), 0);
      jw_cancel_job (world, other);
      jw_advance (world, RUN_TIME);
      jw_check_and_free (world);
    }
}

/* A standstill: starts in doubt use up the share by themselves, so that none
   of them is sent until they are no longer in doubt.  */
static void
test_only_starts_in_doubt (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      const char *id;
      struct jw_world *world = create_world (seed, 0, NULL);
      uint32_t owner = submit_unanswered (world, false, &id);

      jw_advance (world, START_TIME);
      lower_limit (world, TASKS_IN_DOUBT / 2 * 1000);
      jw_host_kill (world, owner);
      jw_advance (world, RUN_TIME);
      jw_check_and_free (world);
    }
}

/* A gang whose starts are in doubt is counted twice: it waits until twice its
   size fits in the share.  */
static void
test_gang_in_doubt (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      const char *id;
      struct jw_world *world = create_world (seed, 0, NULL);
      uint32_t owner = submit_unanswered (world, true, &id);

      jw_advance (world, START_TIME);
      lower_limit (world, TASKS_IN_DOUBT * 1000 + 500);
      jw_host_kill (world, owner);
      jw_advance (world, RUN_TIME);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "stored starts", test_stored_starts },
          { "starts told late", test_starts_told_late },
          { "only starts in doubt", test_only_starts_in_doubt },
          { "a gang in doubt", test_gang_in_doubt },
          { NULL, NULL } };

  return dp_test_main ("shares in doubt", tests);
}
