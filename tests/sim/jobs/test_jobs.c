/* Tests of the job scheduler in virtual time.  Most inject a fault that has
   violated a guarantee in the past, or could do so.  Set JW_VERBOSE to see the
   log lines of the entry hosts.  */

#include "jb_view.h"
#include "jw_test.h"

#include <stdlib.h>
#include <string.h>

static const struct jw_options small_fleet = {
  .seed = 1, .hosts = 5, .pools = 2, .backends = 4, .backend_cpu_milli = 8000
};

static const struct jw_job_options short_job = { .pool = 0,
                                                 .step_count = 2,
                                                 .tasks_per_step = 4,
                                                 .cpu_milli = 1000,
                                                 .duration_ms = 600 };

/* Submit COUNT short jobs, GAP apart, to all pools in turn.  Every tenth one
   fails.  */
static void
submit_many (struct jw_world *world, uint32_t count, jb_time gap)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct jw_job_options job = short_job;

      job.pool = i % world->options.pools;
      job.always_fails = i % 10 == 9;
      jw_submit_job (world, &job);
      jw_advance (world, gap);
    }
}

/* Without faults, at least nine tenths of all tasks start, and all jobs end in
   the right state.  The second step of every tenth job can't start, since its
   first step always fails.  */
static void
test_no_faults (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);

  submit_many (world, 30, 100 * JB_MS);
  jw_advance (world, 8 * JB_SECOND);
  CU_ASSERT (world->task_starts >= 30 * 8 * 9 / 10);
  jw_check_and_free (world);
}

/* The owner of a pool is killed while tasks run and jobs are being
   submitted.  */
static void
test_owner_killed (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);

  for (int round = 0; round < 4; round++)
    {
      int owner;

      submit_many (world, 6, 50 * JB_MS);
      owner = jw_pool_owner (world, 0);
      CU_ASSERT_FATAL (owner >= 0);
      jw_host_kill (world, (uint32_t)owner);
      submit_many (world, 4, 100 * JB_MS);
      jw_advance (world, 2 * JB_SECOND);
      jw_host_start (world, (uint32_t)owner);
      jw_advance (world, 2 * JB_SECOND);
    }
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* A frozen owner resumes after another host has taken over its pool.  */
static void
test_owner_frozen (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);
  int owner;

  submit_many (world, 10, 50 * JB_MS);
  owner = jw_pool_owner (world, 0);
  jw_host_set_frozen (world, (uint32_t)owner, true);
  submit_many (world, 10, 200 * JB_MS);
  jw_advance (world, 2 * JB_SECOND);
  jw_host_set_frozen (world, (uint32_t)owner, false);
  submit_many (world, 10, 50 * JB_MS);
  jw_advance (world, 12 * JB_SECOND);
  jw_check_and_free (world);
}

/* The owner can't reach the store while the other hosts can.  */
static void
test_owner_cut_off_from_store (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);
  int owner;

  submit_many (world, 6, 50 * JB_MS);
  owner = jw_pool_owner (world, 0);
  world->hosts[owner].store_unreachable = true;
  submit_many (world, 20, 200 * JB_MS);
  CU_ASSERT_NOT_EQUAL (jw_pool_owner (world, 0), owner);
  world->hosts[owner].store_unreachable = false;
  jw_advance (world, 12 * JB_SECOND);
  jw_check_and_free (world);
}

/* During a store outage the entries of all backend servers expire, and backend
   servers renew them only some time after the outage.  A new owner must not
   conclude that the pool is idle and start its tasks again.  */
static void
test_registrations_expire (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);
  struct jw_job_options long_running_job = { .pool = 0,
                                             .step_count = 1,
                                             .tasks_per_step = 4,
                                             .cpu_milli = 1000,
                                             .duration_ms = 500,
                                             .long_running = true,
                                             .max_unavailable = 1 };
  uint32_t starts;

  jw_submit_job (world, &long_running_job);
  jw_advance (world, 3 * JB_SECOND);
  starts = world->task_starts;
  world->store_down = true;
  for (guint i = 0; i < world->backends->len; i++)
    ((struct jw_backend *)g_ptr_array_index (world->backends, i))->unlisted
        = true;
  jw_advance (world, 4500 * JB_MS);
  world->store_down = false;
  jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
  jw_advance (world, 2 * JB_SECOND);
  for (guint i = 0; i < world->backends->len; i++)
    ((struct jw_backend *)g_ptr_array_index (world->backends, i))->unlisted
        = false;
  jw_advance (world, 6 * JB_SECOND);
  CU_ASSERT_EQUAL (world->task_starts, starts);
  jw_check_and_free (world);
}

/* The recovery phase of the soak must not end while a task of a long-running
   job waits for a start in doubt: the job is not settled until all its tasks
   run.  */
static void
test_long_running_jobs_settle (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);
  struct jw_job_options long_running_job = { .pool = 0,
                                             .step_count = 1,
                                             .tasks_per_step = 3,
                                             .cpu_milli = 1000,
                                             .duration_ms = 500,
                                             .long_running = true,
                                             .max_unavailable = 1 };

  jw_submit_job (world, &long_running_job);
  jw_advance (world, 2 * JB_SECOND);
  CU_ASSERT (jw_have_all_jobs_settled (world));
  jw_backend_crash (world, jw_find_backend (world, 0, 0), false);
  jw_backend_crash (world, jw_find_backend (world, 0, 1), false);
  CU_ASSERT_FALSE (jw_have_all_jobs_settled (world));
  jw_advance (world, 20 * JB_SECOND);
  CU_ASSERT (jw_have_all_jobs_settled (world));
  jw_check_and_free (world);
}

/* While no entry host reaches the store, pools must keep their owners, also
   afterwards.  */
static void
test_store_outage (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);
  int owner;

  submit_many (world, 10, 50 * JB_MS);
  owner = jw_pool_owner (world, 0);
  world->store_down = true;
  submit_many (world, 20, 200 * JB_MS);
  CU_ASSERT_EQUAL (jw_pool_owner (world, 0), owner);
  world->store_down = false;
  jw_advance (world, 4 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_pool_owner (world, 0), owner);
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* Several backend servers list failed runs of one task, and a new owner reads
   the lists in any order.  Each failure must be counted once.  */
static void
test_failures_out_of_order (void)
{
  for (uint32_t seed = 1; seed <= 12; seed++)
    {
      struct jw_options options = small_fleet;
      struct jw_job_options job = short_job;
      struct jw_world *world;
      int owner;

      options.seed = seed;
      world = jw_create_world (&options);
      job.always_fails = true;
      job.tasks_per_step = 6;
      job.duration_ms = 400;
      jw_submit_job (world, &job);
      jw_advance (world, (100 + 35 * seed) * JB_MS);
      owner = jw_pool_owner (world, 0);
      world->hosts[owner].store_unreachable = true;
      jw_advance (world, 4 * JB_SECOND);
      world->hosts[owner].store_unreachable = false;
      jw_advance (world, 6 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* All entry hosts are killed while occurrences of a scheduled job run.  The
   new owner gets reports of the ends of these runs before it has opened the
   occurrences, and they must count nevertheless.  */
static void
test_schedule_across_restart (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);
  struct jw_job_options job = short_job;

  job.step_count = 1;
  job.occurrence_count = 6;
  job.interval_ms = 1500;
  jw_submit_job (world, &job);
  jw_advance (world, 3 * JB_SECOND);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    jw_host_kill (world, i);
  jw_advance (world, 1200 * JB_MS);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    jw_host_start (world, i);
  jw_advance (world, 20 * JB_SECOND);
  jw_check_and_free (world);
}

/* Some commands to backend servers get no reply.  Half of these are carried
   out nevertheless, some of them late.  */
static void
test_commands_lost (void)
{
  for (uint32_t seed = 1; seed <= 6; seed++)
    {
      struct jw_options options = small_fleet;
      struct jw_world *world;

      options.seed = seed;
      world = jw_create_world (&options);
      world->loss_permille.backend_commands = 120;
      submit_many (world, 40, 120 * JB_MS);
      world->loss_permille.backend_commands = 0;
      jw_advance (world, 14 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The same for commands to the store.  */
static void
test_writes_lost (void)
{
  for (uint32_t seed = 1; seed <= 6; seed++)
    {
      struct jw_options options = small_fleet;
      struct jw_world *world;

      options.seed = seed;
      world = jw_create_world (&options);
      world->loss_permille.store_commands = 250;
      submit_many (world, 40, 150 * JB_MS);
      world->loss_permille.store_commands = 0;
      jw_advance (world, 14 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* Backend servers that run tasks become unreachable and return; meanwhile the
   owner is killed.  */
static void
test_backends_unreachable (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);

  submit_many (world, 8, 40 * JB_MS);
  for (uint32_t i = 0; i < 2; i++)
    jw_find_backend (world, 0, i)->unreachable = true;
  jw_advance (world, 700 * JB_MS);
  jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
  submit_many (world, 10, 200 * JB_MS);
  jw_advance (world, 4 * JB_SECOND);
  for (uint32_t i = 0; i < 2; i++)
    jw_find_backend (world, 0, i)->unreachable = false;
  jw_advance (world, 12 * JB_SECOND);
  jw_check_and_free (world);
}

/* A maintenance wave completes in time while jobs run, and the long-running
   job keeps its limit on unavailable tasks.  */
static void
test_wave (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);
  struct jw_job_options long_running_job = { .pool = 0,
                                             .step_count = 1,
                                             .tasks_per_step = 3,
                                             .cpu_milli = 1000,
                                             .duration_ms = 500,
                                             .long_running = true,
                                             .max_unavailable = 1 };

  jw_submit_job (world, &long_running_job);
  jw_advance (world, 2 * JB_SECOND);
  jw_start_wave (world, 2, 20000);
  submit_many (world, 40, 200 * JB_MS);
  jw_advance (world, 8 * JB_SECOND);
  CU_ASSERT (world->wave_completed);
  jw_check_and_free (world);
}

/* The planner is killed in the middle of a maintenance wave.  */
static void
test_wave_planner_killed (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct jw_options options = small_fleet;
      struct jw_world *world;
      int planner;

      options.seed = seed;
      world = jw_create_world (&options);
      jw_start_wave (world, 2, 20000);
      jw_advance (world, (300 + 400 * seed) * JB_MS);
      planner = jw_find_planner (world);
      CU_ASSERT_FATAL (planner >= 0);
      jw_host_kill (world, (uint32_t)planner);
      jw_advance (world, 25 * JB_SECOND);
      CU_ASSERT (world->wave_completed);
      jw_check_and_free (world);
    }
}

/* Return whether the host of a backend server of POOL is in maintenance.  */
static bool
is_any_host_maintained (const struct jw_world *world, uint32_t pool)
{
  for (guint i = 0; i < world->fleet->len; i++)
    {
      const struct jw_fleet_host *host = g_ptr_array_index (world->fleet, i);

      if (host->pool == pool && host->state == JB_HOST_MAINTENANCE)
        return true;
    }
  return false;
}

/* The owner of a pool is killed while a host of the pool is maintained.  The
   host's backend server has left the roster but is still listed, and the new
   owner must not wait for the expiry of leases there.  */
static void
test_owner_killed_in_wave (void)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct jw_job_options job = short_job;
      struct jw_options options = small_fleet;
      struct jw_world *world;
      int owner;

      options.seed = seed;
      world = jw_create_world (&options);
      jw_start_wave (world, 2, 20000);
      while (!is_any_host_maintained (world, 0))
        jw_advance (world, 50 * JB_MS);
      job.step_count = 4;
      jw_submit_job (world, &job);
      jw_advance (world, 300 * JB_MS);
      owner = jw_pool_owner (world, 0);
      CU_ASSERT_FATAL (owner >= 0);
      jw_host_kill (world, (uint32_t)owner);
      /* Some probes are lost, so the new owner has read the list of backend
         servers before it has probed all that answer.  */
      world->loss_permille.backend_commands = 300;
      jw_advance (world, 1500 * JB_MS);
      world->loss_permille.backend_commands = 0;
      /* The takeover takes 1.1 s and some lost probes, and the job at most
         2.4 s more.  */
      jw_advance (world, 3 * JB_SECOND);
      jw_query_all_jobs (world);
      jw_advance (world, 500 * JB_MS);
      CU_ASSERT (jw_have_all_jobs_settled (world));
      jw_advance (world, 12 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* The planner is cut off from the other entry hosts in a maintenance wave, but
   still reaches the store and commands hosts until it learns that another one
   has taken over.  The other one must not command a host within the lease of
   its last command.  */
static void
test_wave_planner_cut_off (void)
{
  for (uint32_t seed = 1; seed <= 40; seed++)
    {
      struct jw_options options = small_fleet;
      struct jw_world *world;
      int planner;

      options.seed = seed;
      options.backends = 8;
      world = jw_create_world (&options);
      jw_start_wave (world, 2, 20000);
      jw_advance (world, (200 + 37 * seed) * JB_MS);
      planner = jw_find_planner (world);
      CU_ASSERT_FATAL (planner >= 0);
      world->hosts[planner].peers_unreachable = true;
      submit_many (world, 40, 150 * JB_MS);
      world->hosts[planner].peers_unreachable = false;
      jw_advance (world, 20 * JB_SECOND);
      CU_ASSERT (world->wave_completed);
      jw_check_and_free (world);
    }
}

static bool
is_any_task_stopping (const struct jw_world *world)
{
  for (guint i = 0; i < world->backends->len; i++)
    {
      const struct jw_backend *backend
          = g_ptr_array_index (world->backends, i);

      for (guint j = 0; backend->up && j < backend->runs->len; j++)
        if (((struct jw_task_run *)g_ptr_array_index (backend->runs, j))
                ->stopping)
          return true;
    }
  return false;
}

/* The owner of a pool stops after it has told a long-running task to stop,
   while the task still runs.  The new owner must drain further hosts and finds
   all tasks running, but it must not stop a second one.  */
static void
test_owner_stopped_during_moves (void)
{
  static const struct jw_job_options long_running_job
      = { .pool = 0,
          .step_count = 1,
          .tasks_per_step = 6,
          .cpu_milli = 1000,
          .duration_ms = 500,
          .long_running = true,
          .max_unavailable = 1 };

  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct jw_options options = small_fleet;
      struct jw_world *world;
      int owner;

      options.seed = seed;
      options.backends = 8;
      options.reorder_messages = true;
      options.pools = 1;
      world = jw_create_world (&options);
      jw_submit_job (world, &long_running_job);
      jw_advance (world, 2 * JB_SECOND);
      jw_start_wave (world, 4, 25000);
      for (int i = 0; i < 1500 && !is_any_task_stopping (world); i++)
        jw_advance (world, 10 * JB_MS);
      CU_ASSERT (is_any_task_stopping (world));
      owner = jw_pool_owner (world, 0);
      CU_ASSERT_FATAL (owner >= 0);
      jw_host_stop (world, (uint32_t)owner);
      jw_advance (world, 20 * JB_SECOND);
      CU_ASSERT (world->wave_completed);
      jw_check_and_free (world);
    }
}

/* Return the lines of all entry hosts about TOPIC.  */
static struct jb_view
get_view (struct jw_world *world, enum jb_view_topic topic, const char *id)
{
  struct jb_view view = { .mem = talloc_new (world) };

  for (uint32_t i = 0; i < world->options.hosts; i++)
    if (world->hosts[i].host != NULL)
      jb_host_view (world->hosts[i].host, world->now, topic, id, &view);
  return view;
}

/* Views tell operators why a job waits: for capacity, for its organisation's
   limit, or for earlier steps.  */
static void
test_operators_views (void)
{
  struct jw_options options = small_fleet;
  struct jw_job_options job = short_job;
  struct jw_world *world;
  struct jb_view view;
  const char *id;

  options.backends = 1;
  options.backend_cpu_milli = 4000;
  options.org_cpu_limit_milli = 3000;
  world = jw_create_world (&options);
  job.tasks_per_step = 4;
  job.duration_ms = 4000;
  id = jw_submit_job (world, &job);
  jw_advance (world, JB_SECOND);
  view = get_view (world, JB_VIEW_OWNERS, NULL);
  CU_ASSERT (jw_view_has (&view, "duty", "duty", "plan"));
  CU_ASSERT (jw_view_has (&view, "duty", "duty", "pool/pool-0"));
  view = get_view (world, JB_VIEW_EXPLAIN, id);
  CU_ASSERT (jw_view_has (&view, "job", "running", "3"));
  CU_ASSERT (jw_view_has (&view, "step", "turn", "waits for earlier steps"));
  CU_ASSERT (
      jw_view_has (&view, "reason", "reason",
                   "the pool's share of its organisation's limit is used"));
  job.api_key = "key-1";
  job.cpu_milli = 3000;
  id = jw_submit_job (world, &job);
  jw_advance (world, JB_SECOND);
  view = get_view (world, JB_VIEW_EXPLAIN, id);
  CU_ASSERT (jw_view_has (&view, "reason", "reason",
                          "no allowed backend server has so much room left"));
  view = get_view (world, JB_VIEW_JOBS, NULL);
  CU_ASSERT_EQUAL (view.count, 2);
  view = get_view (world, JB_VIEW_JOB, "0000000000000000");
  CU_ASSERT_EQUAL (view.count, 0);
  jw_world_free (world);
}

/* An organisation's demand alternates between pools.  It must stay within its
   limit over all pools, also when the planner or a pool owner is killed.  */
static void
test_org_limit (void)
{
  struct jw_options options = small_fleet;
  struct jw_world *world;

  options.org_cpu_limit_milli = 6000;
  world = jw_create_world (&options);
  for (uint32_t round = 0; round < 6; round++)
    {
      for (uint32_t i = 0; i < 8; i++)
        {
          struct jw_job_options job = short_job;

          job.pool = round % 2;
          job.step_count = 1;
          jw_submit_job (world, &job);
          jw_advance (world, 30 * JB_MS);
        }
      if (round == 2)
        jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      if (round == 4)
        for (uint32_t i = 0; i < options.hosts; i++)
          if (world->hosts[i].host != NULL
              && jb_host_is_planner (world->hosts[i].host))
            jw_host_kill (world, i);
      jw_advance (world, 1500 * JB_MS);
    }
  jw_advance (world, 20 * JB_SECOND);
  CU_ASSERT (world->task_starts >= 6 * 8 * 4);
  jw_check_and_free (world);
}

/* Cancelled jobs must end, also when the owner of their pool is killed.  */
static void
test_cancel (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);
  const char *ids[12];

  for (uint32_t i = 0; i < 12; i++)
    {
      struct jw_job_options job = short_job;

      job.duration_ms = 2000;
      ids[i] = jw_submit_job (world, &job);
      jw_advance (world, 30 * JB_MS);
    }
  for (uint32_t i = 0; i < 12; i++)
    {
      jw_cancel_job (world, ids[i]);
      if (i == 6)
        jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      jw_advance (world, 20 * JB_MS);
    }
  jw_advance (world, 6 * JB_SECOND);
  for (uint32_t i = 0; i < 12; i++)
    {
      CU_ASSERT (jw_find_job (world, ids[i])->cancelled_at != 0);
      CU_ASSERT_EQUAL (jw_count_running_tasks (world, ids[i]), 0);
    }
  jw_check_and_free (world);
}

/* The entry hosts are stopped gracefully and restarted one after another,
   under load.  No job may be lost.  */
static void
test_rolling_restart (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);

  for (uint32_t i = 0; i < world->options.hosts; i++)
    {
      jw_host_stop (world, i);
      submit_many (world, 8, 150 * JB_MS);
      jw_advance (world, 2 * JB_SECOND);
      jw_host_start (world, i);
      jw_advance (world, 500 * JB_MS);
    }
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* Steps whose tasks must all run at the same time complete, also when many of
   them are submitted.  */
static void
test_gangs (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);

  for (uint32_t i = 0; i < 12; i++)
    {
      struct jw_job_options job = short_job;

      job.gang = true;
      job.step_count = 1;
      jw_submit_job (world, &job);
      jw_advance (world, 150 * JB_MS);
    }
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* A backend server on which every task fails must not fail the jobs.  */
static void
test_failing_backend (void)
{
  struct jw_world *world = jw_create_world (&small_fleet);

  jw_find_backend (world, 0, 1)->fails_all_runs = true;
  submit_many (world, 30, 150 * JB_MS);
  jw_find_backend (world, 0, 1)->fails_all_runs = false;
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* A policy decides which backend servers may run a step, and starts must carry
   its tickets.  */
static void
test_advice (void)
{
  struct jw_options options = small_fleet;
  struct jw_world *world;

  options.needs_advice = true;
  world = jw_create_world (&options);
  submit_many (world, 20, 150 * JB_MS);
  jw_advance (world, 12 * JB_SECOND);
  CU_ASSERT (world->task_starts >= 20 * 8 * 9 / 10);
  jw_check_and_free (world);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "no faults", test_no_faults },
    { "the owner is killed", test_owner_killed },
    { "the owner is frozen", test_owner_frozen },
    { "the owner is cut off from the store", test_owner_cut_off_from_store },
    { "registrations expire in a store outage", test_registrations_expire },
    { "long-running jobs settle", test_long_running_jobs_settle },
    { "store outage", test_store_outage },
    { "failures are listed in any order", test_failures_out_of_order },
    { "scheduled jobs across a restart", test_schedule_across_restart },
    { "commands are lost", test_commands_lost },
    { "writes are lost", test_writes_lost },
    { "backend servers are unreachable", test_backends_unreachable },
    { "views for operators", test_operators_views },
    { "maintenance wave", test_wave },
    { "the planner is killed in a wave", test_wave_planner_killed },
    { "the owner is killed in a wave", test_owner_killed_in_wave },
    { "the planner is cut off from its peers in a wave",
      test_wave_planner_cut_off },
    { "the owner stops while it moves long-running tasks",
      test_owner_stopped_during_moves },
    { "organisation limits over all pools", test_org_limit },
    { "cancellation", test_cancel },
    { "rolling restart", test_rolling_restart },
    { "gangs", test_gangs },
    { "a backend server that fails every task", test_failing_backend },
    { "advice: starts need tickets", test_advice },
    { NULL, NULL }
  };

  return dp_test_main ("jobs in virtual time", tests);
}
