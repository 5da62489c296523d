/* Tests of how long a new owner of a pool starts no task of loaded jobs while
   one backend server is silent, and of TWICE meanwhile, in virtual time.

   Expected load: 12 backend servers, of which one stops answering when the
   owner fails, and jobs of two steps whose first tasks run at that time.  */

#include "jb_view.h"
#include "jw_test.h"

#include <string.h>

enum
{
  SEED_COUNT = 12,
  JOB_COUNT = 24
};

#define JOB_INTERVAL (40 * JB_MS)
#define MAX_WAIT (12 * JB_SECOND)

/* Start commands that are in flight arrive within this time.  */
#define IN_FLIGHT_TIME (5 * JB_MS)

/* Return a world in which jobs run whose first steps end one after the
   other.  */
static struct jw_world *
create_busy_world (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 5,
                                .pools = 1,
                                .backends = 12,
                                .backend_cpu_milli = 16000 };
  struct jw_world *world = jw_create_world (&options);

  for (uint32_t i = 0; i < JOB_COUNT; i++)
    {
      struct jw_job_options job = { .step_count = 2,
                                    .tasks_per_step = 2,
                                    .cpu_milli = 1000,
                                    .duration_ms = 1200 + 120 * i };

      jw_submit_job (world, &job);
      jw_advance (world, JOB_INTERVAL);
    }
  return world;
}

/* Return how long it takes until the next task starts.  */
static jb_time
time_to_next_start (struct jw_world *world)
{
  jb_time begun;
  uint32_t starts;

  jw_advance (world, IN_FLIGHT_TIME);
  begun = world->now;
  starts = world->task_starts;
  while (world->task_starts == starts && world->now - begun < MAX_WAIT)
    jw_advance (world, 5 * JB_MS);
  return world->now - begun;
}

/* The owner is killed and does not return, and one backend server is silent.
   All loaded jobs waited for the leases there: 6.5 s after the kill.  */
static void
test_killed_owner (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_busy_world (seed);
      jb_time wait;

      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      wait = time_to_next_start (world);
      CU_ASSERT (wait <= 3600 * JB_MS);
      jw_advance (world, 25 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The killed owner returns at once as another process, which tells that the
   former one sends no commands.  The pool started nothing for 6.4 s after the
   kill.  */
static void
test_restarted_owner (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_busy_world (seed);
      uint32_t owner = (uint32_t)jw_pool_owner (world, 0);
      jb_time begun = world->now;

      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      jw_host_kill (world, owner);
      jw_advance (world, 100 * JB_MS);
      jw_host_start (world, owner);
      jw_advance (world, 900 * JB_MS);
      time_to_next_start (world);
      CU_ASSERT (world->now - begun <= 2200 * JB_MS);
      jw_advance (world, 25 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The owner is stopped as planned, and a backend server that answered it is
   silent for the successor.  The pool started nothing for 5.7 s.  */
static void
test_stopped_owner_and_new_silence (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_busy_world (seed);
      jb_time wait;

      jw_host_stop (world, (uint32_t)jw_pool_owner (world, 0));
      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      wait = time_to_next_start (world);
      CU_ASSERT (wait <= 2200 * JB_MS);
      jw_advance (world, 25 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* Return the backend server with the most runs.  */
static struct jw_backend *
find_busiest (struct jw_world *world, uint32_t count)
{
  struct jw_backend *busiest = jw_find_backend (world, 0, 0);

  for (uint32_t i = 1; i < count; i++)
    if (jw_find_backend (world, 0, i)->runs->len > busiest->runs->len)
      busiest = jw_find_backend (world, 0, i);
  return busiest;
}

/* Operators see how many jobs wait for which backend server, and since when,
   and later that none does.  */
static void
test_view_of_waiting_jobs (void)
{
  struct jw_world *world = create_busy_world (1);
  struct jw_backend *silent = find_busiest (world, 12);
  struct jb_view view = { .mem = talloc_new (NULL) };
  int owner;

  silent->unreachable = true;
  jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
  jw_advance (world, 2 * JB_SECOND);
  owner = jw_pool_owner (world, 0);
  CU_ASSERT_FATAL (owner >= 0);
  jb_host_view (world->hosts[owner].host, world->now, JB_VIEW_POOLS, NULL,
                &view);
  CU_ASSERT (jw_view_has (&view, "pool", "awaited", "1"));
  CU_ASSERT (jw_view_has (&view, "pool", "awaited_first", silent->instance));
  CU_ASSERT (jw_view_has (&view, "pool", "waiting_jobs", NULL));
  CU_ASSERT (jw_view_has (&view, "pool", "waiting_ms", NULL));
  jw_advance (world, 10 * JB_SECOND);
  view.count = 0;
  jb_host_view (world->hosts[owner].host, world->now, JB_VIEW_POOLS, NULL,
                &view);
  CU_ASSERT (jw_view_has (&view, "pool", "stage", "active"));
  CU_ASSERT_FALSE (jw_view_has (&view, "pool", "awaited", NULL));
  talloc_free (view.mem);
  jw_advance (world, 15 * JB_SECOND);
  jw_check_and_free (world);
}

/* ---- jobs that have not started ---- */

enum
{
  SMALL_HOST_COUNT = 4,
  LARGE_HOST = 0
};

/* Share of the commands to backend servers that are not answered, of which a
   quarter is carried out up to MAX_DELAY_MS later.  */
#define LOSS_PERMILLE 150
#define MAX_DELAY_MS 6000

#define TASK_MS 900
/* Longer than a takeover.  */
#define LONG_TASK_MS 4000

/* Submit jobs of one step, with tasks of TASK_MS, for DURATION, of which some
   wait.  */
static void
submit_for (struct jw_world *world, jb_time duration, int64_t task_ms)
{
  jb_time end = world->now + duration;
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 2,
                                .cpu_milli = 1000,
                                .duration_ms = task_ms };

  while (world->now < end)
    {
      jw_submit_job (world, &job);
      jw_advance (world, JOB_INTERVAL);
    }
}

/* Return a world with a pool that is full, so that jobs wait.  */
static struct jw_world *
create_full_world (uint32_t seed, uint32_t small_hosts)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 5,
                                .small_hosts = small_hosts,
                                .pools = 1,
                                .backends = 12,
                                .backend_cpu_milli = 3000,
                                .max_delay_ms = MAX_DELAY_MS };
  struct jw_world *world = jw_create_world (&options);

  submit_for (world, 2 * JB_SECOND, TASK_MS);
  return world;
}

/* A backend server falls silent, and a second later the owner is stopped. Jobs
   that had not started waited for the leases on that backend server, 5.7 s.
   Commands may be carried out late if LATE.  */
static void
run_stop_with_waiting_jobs (uint32_t seed, bool late)
{
  struct jw_world *world = create_full_world (seed, 0);
  jb_time wait;

  if (late)
    world->loss_permille.backend_commands = LOSS_PERMILLE;
  jw_find_backend (world, 0, seed % 12)->unreachable = true;
  submit_for (world, JB_SECOND, TASK_MS);
  jw_host_stop (world, (uint32_t)jw_pool_owner (world, 0));
  world->loss_permille.backend_commands = 0;
  wait = time_to_next_start (world);
  CU_ASSERT (wait <= 300 * JB_MS);
  jw_advance (world, 30 * JB_SECOND);
  jw_check_and_free (world);
}

static void
test_stop_with_waiting_jobs (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    run_stop_with_waiting_jobs (seed, false);
}

static void
test_stop_with_late_commands (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    run_stop_with_waiting_jobs (seed, true);
}

/* Commands to backend servers are lost or carried out late, one backend server
   is silent, and the owner is killed.  */
static void
test_kill_with_late_commands (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_full_world (seed, 0);

      world->loss_permille.backend_commands = LOSS_PERMILLE;
      submit_for (world, JB_SECOND, TASK_MS);
      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      jw_advance (world, 2 * JB_SECOND);
      world->loss_permille.backend_commands = 0;
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* Let a small host claim the pool, and wait until it hands the pool over to
   the large one, which returns.  */
static void
wait_for_handover (struct jw_world *world)
{
  jb_time end;

  jw_host_kill (world, LARGE_HOST);
  submit_for (world, 3 * JB_SECOND, TASK_MS);
  jw_host_start (world, LARGE_HOST);
  end = world->now + MAX_WAIT;
  for (uint32_t ms = 0; jw_pool_owner (world, 0) >= 0 && world->now < end;
       ms++)
    {
      if (ms % 100 == 0)
        submit_for (world, JB_MS, TASK_MS);
      jw_advance (world, JB_MS);
    }
  CU_ASSERT (world->now < end);
}

/* A small owner hands the pool over, and then a backend server is silent.  The
   jobs of one step wait for the leases there, but not for the validity of the
   former owner's ownership: 5.6 s before.  */
static void
test_handover_with_new_silence (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_full_world (seed, SMALL_HOST_COUNT);

      wait_for_handover (world);
      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      CU_ASSERT (time_to_next_start (world) <= 4000 * JB_MS);
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* As before, while commands to backend servers are lost or carried out
   late.  */
static void
test_handover_with_late_commands (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_full_world (seed, SMALL_HOST_COUNT);

      world->loss_permille.backend_commands = LOSS_PERMILLE / 5;
      wait_for_handover (world);
      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      jw_advance (world, 2 * JB_SECOND);
      world->loss_permille.backend_commands = 0;
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The store is away while the owner stops, so that what it leaves can't be
   stored.  The successor waits for all that may run.  */
static void
test_stop_without_store (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_full_world (seed, 0);

      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      submit_for (world, 500 * JB_MS, TASK_MS);
      world->store_down = true;
      jw_host_stop (world, (uint32_t)jw_pool_owner (world, 0));
      jw_advance (world, JB_SECOND);
      world->store_down = false;
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The answers of the store are lost while the owner stops.  */
static void
test_stop_with_lost_answers (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_full_world (seed, 0);

      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      submit_for (world, 500 * JB_MS, TASK_MS);
      world->loss_permille.store_commands = 700;
      jw_host_stop (world, (uint32_t)jw_pool_owner (world, 0));
      jw_advance (world, 600 * JB_MS);
      world->loss_permille.store_commands = 0;
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* An owner leaves what may run on a silent backend server.  Its successor
   starts more there before it is silent again, and is killed.  Return the
   number of violations with DISABLED_SAFEGUARDS.  */
static uint32_t
run_with_old_row (uint32_t seed, uint32_t disabled_safeguards)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 5,
                                .pools = 1,
                                .backends = 12,
                                .backend_cpu_milli = 3000,
                                .disabled_safeguards = disabled_safeguards };
  struct jw_world *world = jw_create_world (&options);
  struct jw_backend *backend = jw_find_backend (world, 0, seed % 12);
  uint32_t violations;

  backend->unreachable = true;
  submit_for (world, JB_SECOND, TASK_MS);
  jw_host_stop (world, (uint32_t)jw_pool_owner (world, 0));
  submit_for (world, 500 * JB_MS, TASK_MS);
  backend->unreachable = false;
  submit_for (world, 3 * JB_SECOND, LONG_TASK_MS);
  backend->unreachable = true;
  jw_host_kill (world, (uint32_t)MAX (jw_pool_owner (world, 0), 0));
  jw_advance (world, 30 * JB_SECOND);
  jw_check_final_states (world);
  violations = world->violations;
  if (violations > 0)
    CU_ASSERT (strncmp (world->first_violation, "TWICE", 5) == 0);
  jw_world_free (world);
  return violations;
}

/* What an owner has left is not used after the next owner.  */
static void
test_row_of_earlier_owner (void)
{
  uint32_t violations = 0;

  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      CU_ASSERT_EQUAL (run_with_old_row (seed, 0), 0);
      violations += run_with_old_row (seed, JB_SAFEGUARD_HANDOVER_GENERATION);
    }
  CU_ASSERT (violations > 0);
}

/* ---- speculative steps ---- */

/* Return how many tasks the entry hosts have started beside runs of a former
   owner.  */
static uint64_t
count_copies (const struct jw_world *world)
{
  uint64_t copies = 0;

  for (uint32_t i = 0; i < world->options.hosts; i++)
    if (world->hosts[i].host != NULL)
      copies += jb_host_metrics (world->hosts[i].host)
                    ->counters[JB_COUNT_COPIES_STARTED];
  return copies;
}

/* The owner is killed while a backend server is silent and jobs of a
   speculative step and another one wait.  The first steps need not wait: they
   did until 6.5 s after the kill.  */
static void
test_speculative_steps (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_world *world = create_full_world (seed, 0);
      struct jw_job_options job = { .step_count = 2,
                                    .tasks_per_step = 2,
                                    .cpu_milli = 1000,
                                    .duration_ms = TASK_MS,
                                    .speculative = true };
      jb_time begun;

      for (uint32_t i = 0; i < JOB_COUNT; i++)
        {
          jw_submit_job (world, &job);
          jw_advance (world, JOB_INTERVAL);
        }
      begun = world->now;
      jw_find_backend (world, 0, seed % 12)->unreachable = true;
      jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      time_to_next_start (world);
      CU_ASSERT (world->now - begun <= 1900 * JB_MS);
      jw_advance (world, 30 * JB_SECOND);
      CU_ASSERT (count_copies (world) > 0);
      jw_check_and_free (world);
    }
}

/* Half of an organisation's tasks run on a backend server that is silent after
   the owner was killed.  Their copies count for its limit beside them when
   other jobs start.  */
static void
test_copies_within_limit (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct jw_options options = { .seed = seed,
                                    .hosts = 5,
                                    .pools = 1,
                                    .backends = 6,
                                    .backend_cpu_milli = 12000,
                                    .org_cpu_limit_milli = 40000 };
      struct jw_world *world = jw_create_world (&options);
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 2,
                                    .cpu_milli = 1000,
                                    .duration_ms = 6000,
                                    .speculative = true };

      for (uint32_t i = 0; i < 12; i++)
        jw_submit_job (world, &job);
      jw_advance (world, 500 * JB_MS);
      find_busiest (world, options.backends)->unreachable = true;
      jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      jw_advance (world, 2500 * JB_MS);
      CU_ASSERT (count_copies (world) > 0);
      for (uint32_t i = 0; i < 12; i++)
        jw_submit_job (world, &job);
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "loaded jobs go on after the owner was killed",
            test_killed_owner },
          { "loaded jobs go on after the owner was restarted",
            test_restarted_owner },
          { "loaded jobs go on after a planned stop and a new silence",
            test_stopped_owner_and_new_silence },
          { "jobs that have not started go on after a planned stop",
            test_stop_with_waiting_jobs },
          { "planned stop with late commands", test_stop_with_late_commands },
          { "kill with late commands", test_kill_with_late_commands },
          { "handover with a new silence", test_handover_with_new_silence },
          { "handover with late commands", test_handover_with_late_commands },
          { "planned stop while the store is away", test_stop_without_store },
          { "planned stop with lost answers", test_stop_with_lost_answers },
          { "what an earlier owner has left", test_row_of_earlier_owner },
          { "view of waiting jobs", test_view_of_waiting_jobs },
          { "speculative steps don't wait", test_speculative_steps },
          { "copies within a limit", test_copies_within_limit },
          { NULL, NULL } };

  return dp_test_main ("pool takeover", tests);
}
