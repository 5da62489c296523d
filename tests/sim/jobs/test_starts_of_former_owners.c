/* Tests of starts that their owner sends just before it ends or loses its
   pool, and that are carried out by the next incarnation of their backend
   server, in virtual time.

   Expected load: one start without an answer.  */

#include "jw_test.h"

enum
{
  SEEDS = 6,
  HOSTS = 5,
  MANY_JOBS = 40
};

#define TASK_DURATION_MS 9000

/* How late the start is carried out, and when its backend server restarts:
   the next owner has started the task elsewhere by then.  */
#define START_DELAY (9 * JB_SECOND)
#define RESTART_TIME (8900 * JB_MS)

/* Time within which a pool whose owner was killed is claimed, and how long
   another host is cut off from then on: longer than a takeover without other
   faults.  */
#define MAX_CLAIM_TIME (3 * JB_SECOND)
#define CUT_TIME (2 * JB_SECOND)

/* Time from the claim of the next owner until the former one can reach the
   others again, and from then until one of its starts is delayed, so that the
   next one has started its tasks; and the delay, within the next one's run of
   the task.  */
#define HEAL_DELAY (60 * JB_MS)
#define SHORT_START_DELAY (1 * JB_SECOND)

/* Time in which the second task of a job starts.  */
#define NEXT_START_TIME (4 * JB_SECOND)

static struct jw_world *
create_world (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = HOSTS,
                                .pools = 1,
                                .backends = 6,
                                .backend_cpu_milli = 8000 };

  return jw_create_world (&options);
}

/* Delay the next start, and submit a task.  */
static void
submit_delayed_task (struct jw_world *world)
{
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 1,
                                .cpu_milli = 1000,
                                .duration_ms = TASK_DURATION_MS };

  world->delayed_command
      = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                     .delay = START_DELAY };
  jw_submit_job (world, &job);
}

/* Advance until the start was sent, for LIMIT at most.  Return its backend
   server.  */
static struct jw_backend *
wait_for_start (struct jw_world *world, jb_time limit)
{
  jb_time until = world->now + limit;

  while (world->delayed_command.backend == NULL && world->now < until)
    jw_advance (world, JB_MS);
  return world->delayed_command.backend;
}

/* Restart BACKEND just before the start arrives, and let everything end.  */
static void
restart_and_finish (struct jw_world *world, struct jw_backend *backend)
{
  jb_time sent_at = world->delayed_command.delivered_at - START_DELAY;

  jw_advance (world, sent_at + RESTART_TIME - world->now);
  jw_backend_restart (world, backend);
  jw_advance (world, 40 * JB_SECOND);
  jw_check_and_free (world);
}

/* Two runs at the same time: the owner is killed before it has stored a start
   that it has sent.  */
static void
test_owner_killed_after_start (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_world *world = create_world (seed);
      int owner = jw_pool_owner (world, 0);
      struct jw_backend *backend;

      CU_ASSERT_FATAL (owner >= 0);
      submit_delayed_task (world);
      backend = wait_for_start (world, JB_SECOND);
      CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      jw_host_kill (world, (uint32_t)owner);
      restart_and_finish (world, backend);
    }
}

/* Advance until a host has claimed the pool.  Return its index.  */
static int
wait_for_claim (struct jw_world *world)
{
  jb_time until = world->now + MAX_CLAIM_TIME;

  while (jw_pool_owner (world, 0) < 0 && world->now < until)
    jw_advance (world, JB_MS);
  return jw_pool_owner (world, 0);
}

/* Advance until another host than OWNER has claimed the pool.  Return whether
   one has.  */
static bool
wait_for_next_owner (struct jw_world *world, uint32_t owner)
{
  jb_time until = world->now + MAX_CLAIM_TIME;

  for (; world->now < until; jw_advance (world, JB_MS))
    for (uint32_t i = 0; i < HOSTS; i++)
      if (i != owner && jb_host_owns_pool (world->hosts[i].host, "pool-0"))
        return true;
  return false;
}

/* The same, and while the next owner takes the pool over, another entry host,
   perhaps the witness, is cut off from the others: what it keeps arrives after
   the task could have been started elsewhere.  */
static void
test_host_cut_off_in_takeover (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    for (uint32_t distance = 1; distance < HOSTS; distance++)
      {
        struct jw_world *world = create_world (seed);
        int owner = jw_pool_owner (world, 0);
        struct jw_host *other;
        struct jw_backend *backend;

        CU_ASSERT_FATAL (owner >= 0);
        submit_delayed_task (world);
        backend = wait_for_start (world, JB_SECOND);
        CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
        if (backend == NULL)
          return; /* clang-tidy does not know that the assertion ends the test
                   */
        jw_host_kill (world, (uint32_t)owner);
        CU_ASSERT_FATAL (wait_for_claim (world) >= 0);
        other = &world->hosts[((uint32_t)owner + distance) % HOSTS];
        other->peers_unreachable = true;
        jw_advance (world, CUT_TIME);
        other->peers_unreachable = false;
        restart_and_finish (world, backend);
      }
}

/* The same with an owner that is cut off from the store and from all hosts but
   one, which may be its witness: it sends a start before it notices that.  */
static void
test_owner_cut_off_with_another_host (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    for (uint32_t distance = 1; distance < HOSTS; distance++)
      {
        struct jw_world *world = create_world (seed);
        int owner = jw_pool_owner (world, 0);
        struct jw_job_options job = { .step_count = 2,
                                      .tasks_per_step = 1,
                                      .cpu_milli = 1000,
                                      .duration_ms = 1500 };
        struct jw_host *other;
        struct jw_backend *backend;

        CU_ASSERT_FATAL (owner >= 0);
        other = &world->hosts[((uint32_t)owner + distance) % HOSTS];
        jw_submit_job (world, &job);
        jw_advance (world, JB_SECOND);
        world->hosts[owner].in_cut_group = true;
        other->in_cut_group = true;
        world->delayed_command
            = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                           .delay = START_DELAY };
        backend = wait_for_start (world, JB_SECOND);
        jw_advance (world, CUT_TIME);
        world->hosts[owner].in_cut_group = false;
        other->in_cut_group = false;
        if (backend != NULL)
          restart_and_finish (world, backend);
        else
          jw_world_free (world);
      }
}

/* The same with an owner that is cut off from the store and from the other
   hosts, while one of them claims its pool.  */
static void
test_owner_cut_off (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_world *world = create_world (seed);
      struct jw_job_options job = { .step_count = 2,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 1000,
                                    .duration_ms = 1500 };
      int owner = jw_pool_owner (world, 0);
      struct jw_backend *backend;

      CU_ASSERT_FATAL (owner >= 0);
      jw_submit_job (world, &job);
      jw_advance (world, JB_SECOND);
      jw_cut_group (world, (uint32_t)owner, 1);
      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                         .delay = START_DELAY };
      backend = wait_for_start (world, JB_SECOND);
      if (backend != NULL)
        restart_and_finish (world, backend);
      else
        jw_world_free (world);
    }
}

/* Submit jobs whose first tasks end in the first half second after the claim
   of the next owner, if the owner is cut off a second after that.  */
static void
submit_many_jobs (struct jw_world *world)
{
  for (int i = 0; i < MANY_JOBS; i++)
    {
      struct jw_job_options job = { .step_count = 2,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 100,
                                    .duration_ms = 1600 + 16 * i };

      jw_submit_job (world, &job);
    }
}

/* The same with an owner that reaches all hosts again a moment after another
   one has claimed the pool and started its tasks.  It has told them of starts
   while it was cut off, and must not take that for received because they hear
   it now.  */
static void
check_healed_cut (uint32_t seed, uint32_t distance)
{
  struct jw_world *world = create_world (seed);
  struct jw_delayed_command *delayed = &world->delayed_command;
  int owner = jw_pool_owner (world, 0);
  struct jw_host *other;

  CU_ASSERT_FATAL (owner >= 0);
  other = &world->hosts[((uint32_t)owner + distance) % HOSTS];
  submit_many_jobs (world);
  jw_advance (world, JB_SECOND);
  world->hosts[owner].in_cut_group = true;
  other->in_cut_group = true;
  CU_ASSERT_FATAL (wait_for_next_owner (world, (uint32_t)owner));
  jw_advance (world, HEAL_DELAY);
  world->hosts[owner].in_cut_group = false;
  other->in_cut_group = false;
  jw_advance (world, HEAL_DELAY);
  *delayed = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                          .delay = SHORT_START_DELAY };
  if (wait_for_start (world, JB_SECOND) != NULL)
    {
      jw_advance (world, delayed->delivered_at - JB_MS - world->now);
      jw_backend_restart (world, delayed->backend);
    }
  jw_advance (world, 20 * JB_SECOND);
  jw_check_and_free (world);
}

static void
test_owner_heard_again_after_claim (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    for (uint32_t distance = 1; distance < HOSTS; distance++)
      check_healed_cut (seed, distance);
}

/* The same if no host reaches the store, and the owner is killed soon after it
   has sent the start.  */
static void
test_owner_killed_in_outage (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_world *world = create_world (seed);
      struct jw_job_options job = { .step_count = 2,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 1000,
                                    .duration_ms = 1500 };
      int owner = jw_pool_owner (world, 0);
      struct jw_backend *backend;

      CU_ASSERT_FATAL (owner >= 0);
      jw_submit_job (world, &job);
      jw_advance (world, JB_SECOND);
      world->store_down = true;
      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                         .delay = START_DELAY };
      backend = wait_for_start (world, NEXT_START_TIME);
      CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      jw_advance (world, 2 * JB_MS);
      jw_host_kill (world, (uint32_t)owner);
      jw_advance (world, JB_SECOND);
      world->store_down = false;
      restart_and_finish (world, backend);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "owner killed after a start", test_owner_killed_after_start },
          { "host cut off in the takeover", test_host_cut_off_in_takeover },
          { "owner cut off with another host",
            test_owner_cut_off_with_another_host },
          { "owner cut off", test_owner_cut_off },
          { "owner heard again after a claim",
            test_owner_heard_again_after_claim },
          { "owner killed in an outage", test_owner_killed_in_outage },
          { NULL, NULL } };

  return dp_test_main ("starts of former owners", tests);
}
