/* Tests of starts that were not answered, and that their owner could not store
   because the store did not answer it: the next owner knows them all the same,
   in virtual time.  */

#include "jw_test.h"

enum
{
  SEEDS = 6
};

/* How late the start is carried out.  */
#define START_DELAY (8 * JB_SECOND)

/* Time between the start and the end of its owner.  */
#define OUTAGE_TIME (500 * JB_MS)

/* Time in which a host that has started is heard by the others, but these
   don't claim the pool of one that has ended.  */
#define RELAY_TIME (800 * JB_MS)

/* A cut of this length lasts until the list has shown that the backend server
   drains.  */
#define CUT_TIME (1500 * JB_MS)

/* Longest time to wait for a condition.  */
#define WAIT_LIMIT (6 * JB_SECOND)

/* Return a new simulation in which a start of a task that lasts DURATION_MS
   was just sent, and will be carried out late.  Set OWNER to the host that has
   sent it.  */
static struct jw_world *
create_world (uint32_t seed, uint32_t hosts, int64_t duration_ms,
              uint32_t *owner)
{
  struct jw_options options = { .seed = seed,
                                .hosts = hosts,
                                .pools = 1,
                                .backends = 6,
                                .backend_cpu_milli = 8000 };
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 1,
                                .cpu_milli = 1000,
                                .duration_ms = duration_ms };
  struct jw_world *world = jw_create_world (&options);
  jb_time limit = world->now + WAIT_LIMIT;

  CU_ASSERT_FATAL (jw_pool_owner (world, 0) >= 0);
  *owner = (uint32_t)jw_pool_owner (world, 0);
  world->delayed_command
      = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                     .delay = START_DELAY };
  jw_submit_job (world, &job);
  while (world->delayed_command.backend == NULL && world->now < limit)
    jw_advance (world, JB_MS);
  CU_ASSERT_PTR_NOT_NULL_FATAL (world->delayed_command.backend);
  return world;
}

/* Restart the backend server of the late start immediately before that is
   carried out, and let everything end.  */
static void
restart_before_late_start (struct jw_world *world)
{
  struct jw_backend *backend = world->delayed_command.backend;

  jw_advance (world, world->delayed_command.delivered_at - world->now - JB_MS);
  backend->draining = false;
  jw_backend_restart (world, backend);
  jw_advance (world, 25 * JB_SECOND);
}

/* Two runs at the same time: the next owner doesn't know of the start, and
   starts the task elsewhere.  */
static void
test_task_moves (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      uint32_t owner;
      struct jw_world *world = create_world (seed, 3, 9000, &owner);
      struct jw_backend *backend = world->delayed_command.backend;

      world->hosts[owner].store_unreachable = true;
      backend->draining = true;
      backend->unreachable = true;
      jw_advance (world, OUTAGE_TIME);
      CU_ASSERT (jw_sum_counter (world, JB_COUNT_DOUBT_MESSAGES_SENT) > 0);
      jw_host_kill (world, owner);
      jw_advance (world, CUT_TIME);
      backend->unreachable = false;
      restart_before_late_start (world);
      jw_check_and_free (world);
    }
}

/* A start after the end `done`: the next owner doesn't know of the start, and
   acknowledges the end of the run that the repeated start has led to.  */
static void
test_task_ends (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      uint32_t owner;
      struct jw_world *world = create_world (seed, 3, 1500, &owner);

      world->hosts[owner].store_unreachable = true;
      jw_advance (world, OUTAGE_TIME);
      jw_host_kill (world, owner);
      restart_before_late_start (world);
      jw_check_and_free (world);
    }
}

/* The same when the owner releases the pool, and claims it again itself since
   the only other host ends.  */
static void
test_owner_claims_again (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      uint32_t owner;
      struct jw_world *world = create_world (seed, 2, 4000, &owner);
      jb_time limit = world->now + WAIT_LIMIT;

      world->hosts[owner].store_unreachable = true;
      while (jw_pool_owner (world, 0) == (int)owner && world->now < limit)
        jw_advance (world, JB_MS);
      CU_ASSERT (jw_pool_owner (world, 0) != (int)owner);
      jw_host_kill (world, 1 - owner);
      world->hosts[owner].store_unreachable = false;
      restart_before_late_start (world);
      CU_ASSERT_EQUAL (jw_pool_owner (world, 0), (int)owner);
      jw_check_and_free (world);
    }
}

/* The same when the next owner was not up while the owner sent its message,
   and another host, which ends before it could claim the pool, passes that
   on.  */
static void
test_successor_starts_later (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      uint32_t owner;
      struct jw_world *world = create_world (seed, 3, 1500, &owner);
      uint32_t relay = (owner + 1) % 3;
      uint32_t successor = (owner + 2) % 3;

      world->hosts[owner].store_unreachable = true;
      jw_host_kill (world, successor);
      jw_advance (world, OUTAGE_TIME);
      jw_host_kill (world, owner);
      jw_host_start (world, successor);
      jw_advance (world, RELAY_TIME);
      CU_ASSERT_NOT_EQUAL (jw_pool_owner (world, 0), (int)relay);
      jw_host_kill (world, relay);
      restart_before_late_start (world);
      CU_ASSERT_EQUAL (jw_pool_owner (world, 0), (int)successor);
      jw_check_and_free (world);
    }
}

/* While the store answers, the rows are enough: no message is sent, also when
   the pool is handed over.  */
static void
test_no_messages_with_store (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      uint32_t owner;
      struct jw_world *world = create_world (seed, 3, 1500, &owner);

      jw_advance (world, OUTAGE_TIME);
      jw_host_stop (world, owner);
      jw_advance (world, 100 * JB_MS);
      CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_DOUBT_MESSAGES_SENT),
                       0);
      restart_before_late_start (world);
      CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_DOUBT_MESSAGES_SENT),
                       0);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a task moves after a takeover", test_task_moves },
          { "a task ends after a takeover", test_task_ends },
          { "the owner claims its pool again", test_owner_claims_again },
          { "the next owner starts later", test_successor_starts_later },
          { "no messages while the store answers",
            test_no_messages_with_store },
          { NULL, NULL } };

  return dp_test_main ("starts in doubt without the store", tests);
}
