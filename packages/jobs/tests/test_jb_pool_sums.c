/* Test of the sums over the active jobs of a pool.  A sum that misses a change
   lets an owner refuse jobs that it has room for, or exceed the limit of an
   organisation.

   Expected load: a few changes between two events, with up to 10,000 jobs.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"
#include "ignoring_driver.h"

#include <string.h>

#define NOW (60 * JB_SECOND)

enum
{
  ORG_COUNT = 3,
  QUEUE_COUNT = 2,
  BACKEND_COUNT = 4,
  TASK_COUNT = 3,
  MAX_JOBS = 30,
  SEED_COUNT = 20,
  STEPS_PER_SEED = 400,
  LONG_BACKLOG = 1000
};

static const struct jb_driver_ops driver_ops
    = { .submit = ignore_command, .log = ignore_log };

static const struct jb_bounds bounds = { .max_lease_ms = 6000 };

static uint32_t first_step[] = { 0 };

struct fixture
{
  TALLOC_CTX *mem;
  GRand *random;
  struct jb_pool *pool;
  struct jb_backend *backends[BACKEND_COUNT];
  uint64_t job_count;
  jb_time now;
};

static uint32_t
random_below (struct fixture *fixture, uint32_t limit)
{
  return (uint32_t)g_rand_int_range (fixture->random, 0, (gint32)limit);
}

static struct fixture
set_up (uint32_t seed)
{
  struct fixture fixture
      = { talloc_new (NULL), g_rand_new_with_seed (seed), .now = NOW };
  struct jb_pool_options options
      = { .driver = jb_driver_new (fixture.mem, &driver_ops, NULL),
          .bounds = &bounds,
          .name = "p",
          .owner = "host",
          .incarnation = 1 };

  fixture.pool = jb_pool_new (fixture.mem, &options);
  for (uint32_t i = 0; i < BACKEND_COUNT; i++)
    {
      struct jb_backend_entry entry
          = { .instance = talloc_asprintf (fixture.mem, "i-%u", i),
              .address = "10.0.0.1:1",
              .zone = "a",
              .capacity = { 8000, 4000, 2 } };

      fixture.backends[i] = jb_backend_new (fixture.pool, &entry);
      jb_pool_add_backend (fixture.pool, fixture.backends[i]);
    }
  return fixture;
}

static void
tear_down (struct fixture *fixture)
{
  g_rand_free (fixture->random);
  talloc_free (fixture->mem);
}

/* Add a job of two steps, of which the second one often waits for the
   first.  */
static struct jb_job *
add_job (struct fixture *fixture)
{
  struct jb_job_desc *desc = talloc_zero (fixture->mem, struct jb_job_desc);
  uint32_t org = random_below (fixture, ORG_COUNT + 1);
  struct jb_job *job;

  desc->id = talloc_asprintf (desc, "%016llx",
                              (unsigned long long)++fixture->job_count);
  desc->queue
      = talloc_asprintf (desc, "queue%u", random_below (fixture, QUEUE_COUNT));
  desc->org = org < ORG_COUNT ? talloc_asprintf (desc, "org%u", org) : NULL;
  desc->spec = talloc_strdup (desc, "");
  desc->scheduled_occurrences = random_below (fixture, 3) == 0 ? 3 : 0;
  desc->step_count = 2;
  desc->steps = talloc_zero_array (desc, struct jb_step, desc->step_count);
  for (uint32_t i = 0; i < desc->step_count; i++)
    {
      struct jb_step *step = &desc->steps[i];

      step->task_count = 1 + random_below (fixture, TASK_COUNT);
      step->resources.cpu_milli = 500 * random_below (fixture, 4);
      step->resources.memory_mb = 100 * random_below (fixture, 4);
      step->estimate_ms = 1000 * random_below (fixture, 4);
      step->long_running = random_below (fixture, 5) == 0;
      step->best_effort = random_below (fixture, 5) == 0;
    }
  if (random_below (fixture, 3) > 0)
    {
      desc->steps[1].predecessors = first_step;
      desc->steps[1].predecessor_count = 1;
    }
  job = jb_job_new (fixture->pool, desc);
  job->stored = random_below (fixture, 4) > 0;
  job->loaded_from_store = job->stored && random_below (fixture, 5) == 0;
  jb_pool_add_job (fixture->pool, job);
  return job;
}

static struct jb_job *
random_job (struct fixture *fixture)
{
  const GPtrArray *jobs = fixture->pool->active_jobs;

  return g_ptr_array_index (jobs, random_below (fixture, jobs->len));
}

/* Return a task of JOB, or NULL if no occurrence is open.  */
static struct jb_task *
random_task (struct fixture *fixture, const struct jb_job *job)
{
  struct jb_task_group *group;

  if (job->groups->len == 0)
    return NULL;
  group = g_ptr_array_index (job->groups,
                             random_below (fixture, job->groups->len));
  return &group->tasks[random_below (fixture, group->task_count)];
}

/* Start TASK, and let its start be in doubt.  */
static void
start (struct fixture *fixture, struct jb_task *task)
{
  if (task->state != JB_RUN_NONE || task->done || !task->group->ready)
    return;
  jb_task_assign (task,
                  fixture->backends[random_below (fixture, BACKEND_COUNT)],
                  JB_RUN_STARTING);
  task->run++;
  jb_pool_begin_start (fixture->pool, task, fixture->now);
  jb_pool_note_start_sent (fixture->pool, task, fixture->now);
  if (random_below (fixture, 2) == 0)
    jb_job_note_begun (task->group->job);
}

/* Something happens to TASK of JOB.  */
static void
change_task (struct fixture *fixture, struct jb_job *job, struct jb_task *task,
             uint32_t event)
{
  const struct jb_doubt *doubt = jb_pool_find_doubt (fixture->pool, task);
  char name[JB_TASK_NAME_SIZE];

  switch (event)
    {
    case 0:
      start (fixture, task);
      break;
    case 1:
      if (task->state != JB_RUN_NONE)
        jb_task_unassign (task, fixture->now);
      break;
    case 2:
      jb_task_mark_done (task);
      jb_job_update_ready_groups (job, task->group->occurrence);
      break;
    default:
      if (doubt != NULL)
        jb_pool_start_answered (
            fixture->pool, jb_task_name (task, name), doubt->run,
            g_hash_table_lookup (fixture->pool->backends, doubt->instance),
            doubt->sent_at, false);
      break;
    }
}

/* Something happens to JOB, which may be freed.  */
static void
change_job (struct fixture *fixture, struct jb_job *job, uint32_t event)
{
  switch (event)
    {
    case 0:
      if (jb_job_can_open_occurrence (job)
          && job->opened_occurrences < jb_job_occurrence_count (job))
        jb_job_open_next_occurrence (job);
      break;
    case 1:
      jb_job_drop_done_occurrences (job);
      break;
    case 2:
      jb_takeover_await_tasks (job);
      break;
    case 3:
      jb_takeover_release_tasks (job);
      break;
    default:
      if (job->ended_at == 0 && random_below (fixture, 4) == 0)
        jb_pool_end_job (fixture->pool, job, JB_JOB_CANCELLED, fixture->now,
                         "cancelled");
      else if (!job->stored && job->active_runs == 0)
        jb_pool_refuse_job (fixture->pool, job);
      break;
    }
}

static void
change (struct fixture *fixture)
{
  struct jb_job *job;
  struct jb_task *task;

  fixture->now += JB_MS;
  if (fixture->pool->active_jobs->len == 0
      || (fixture->pool->active_jobs->len < MAX_JOBS
          && random_below (fixture, 4) == 0))
    {
      add_job (fixture);
      return;
    }
  job = random_job (fixture);
  task = random_task (fixture, job);
  if (task != NULL && random_below (fixture, 4) > 0)
    change_task (fixture, job, task, random_below (fixture, 4));
  else
    change_job (fixture, job, random_below (fixture, 5));
}

/* ---- the sums, from all tasks ---- */

struct expected
{
  struct jb_org_demand orgs[ORG_COUNT];
  uint32_t pending[QUEUE_COUNT];
  int64_t unfinished_work;
  int64_t waiting_cpu_milli;
  int64_t waiting_weight;
};

/* Add what TASK uses or wants to ORG.  */
static void
expect_usage (const struct jb_pool *pool, struct jb_task *task,
              struct jb_org_demand *org)
{
  const struct jb_resources *resources = &jb_task_step (task)->resources;
  const struct jb_job *job = task->group->job;
  bool is_open = !task->done && job->ended_at == 0;

  if (task->state != JB_RUN_NONE
      || (is_open
          && (job->loaded_from_store
              || (task->group->ready && task->is_awaited))))
    jb_resources_add (&org->used, resources);
  else if (!is_open || !task->group->ready)
    return;
  else if (jb_pool_find_doubt (pool, task) != NULL)
    {
      jb_resources_add (&org->used, resources);
      jb_resources_add (&org->in_doubt, resources);
    }
  else
    jb_resources_add (&org->wanted, resources);
}

static void
expect_work (const struct jb_task_group *group, struct expected *expected)
{
  const struct jb_step *step = jb_task_group_step (group);
  int64_t cpu_milli = step->best_effort ? 0 : step->resources.cpu_milli;
  int64_t undone = (int64_t)group->task_count - group->done_count;
  int64_t waiting = MAX (undone - group->active_runs, 0);

  if (!step->long_running)
    expected->unfinished_work
        += undone * step->resources.cpu_milli * step->estimate_ms;
  if (!group->ready)
    return;
  expected->waiting_cpu_milli += waiting * cpu_milli;
  expected->waiting_weight += waiting * MAX (cpu_milli, 1);
}

static struct expected
compute_expected (const struct jb_pool *pool)
{
  struct expected expected = { 0 };

  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      const struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      if (job->stored && job->ended_at == 0 && !job->has_begun)
        expected.pending[job->desc->queue[5] - '0']++;
      for (guint j = 0; j < job->groups->len; j++)
        {
          struct jb_task_group *group = g_ptr_array_index (job->groups, j);

          for (uint32_t k = 0; k < group->task_count; k++)
            if (job->desc->org != NULL)
              expect_usage (pool, &group->tasks[k],
                            &expected.orgs[job->desc->org[3] - '0']);
          if (job->ended_at == 0)
            expect_work (group, &expected);
        }
    }
  return expected;
}

static bool
is_equal (const struct jb_resources *a, const struct jb_resources *b)
{
  return memcmp (a, b, sizeof *a) == 0;
}

static void
check_sums (struct fixture *fixture)
{
  struct jb_pool *pool = fixture->pool;
  struct expected expected = compute_expected (pool);
  char name[16];

  CU_ASSERT_EQUAL (jb_pool_unfinished_work (pool), expected.unfinished_work);
  CU_ASSERT_EQUAL (jb_pool_waiting_cpu_milli (pool, false),
                   expected.waiting_cpu_milli);
  CU_ASSERT_EQUAL (jb_pool_waiting_cpu_milli (pool, true),
                   expected.waiting_weight);
  for (uint32_t i = 0; i < QUEUE_COUNT; i++)
    {
      snprintf (name, sizeof name, "queue%u", i);
      CU_ASSERT_EQUAL (jb_pool_count_pending (pool, name),
                       expected.pending[i]);
    }
  jb_pool_update_usage (pool);
  for (uint32_t i = 0; i < ORG_COUNT; i++)
    {
      const struct jb_pool_org_usage *usage;

      snprintf (name, sizeof name, "org%u", i);
      usage = jb_pool_get_org_usage (pool, name);
      CU_ASSERT_TRUE (is_equal (&usage->used, &expected.orgs[i].used));
      CU_ASSERT_TRUE (is_equal (&usage->in_doubt, &expected.orgs[i].in_doubt));
      CU_ASSERT_TRUE (is_equal (&usage->wanted, &expected.orgs[i].wanted));
    }
  CU_ASSERT_TRUE (jb_pool_sums_are_exact (pool));
}

/* A change that no sum takes up.  */
static void
test_random_changes (void)
{
  for (uint32_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct fixture fixture = set_up (seed);

      for (uint32_t i = 0; i < STEPS_PER_SEED; i++)
        {
          change (&fixture);
          if (random_below (&fixture, 3) > 0)
            check_sums (&fixture);
        }
      while (fixture.pool->active_jobs->len > 0)
        jb_pool_deactivate_job (fixture.pool, random_job (&fixture));
      check_sums (&fixture);
      tear_down (&fixture);
    }
}

/* An owner with a long backlog that goes over all jobs for each submission,
   report or scheduling cycle: its event loop is late by seconds where a host
   has an eighth of a core.  */
static void
test_unchanged_jobs_are_not_counted (void)
{
  struct fixture fixture = set_up (1);
  struct jb_pool *pool = fixture.pool;
  uint64_t counted;

  for (uint32_t i = 0; i < LONG_BACKLOG; i++)
    add_job (&fixture);
  check_sums (&fixture);
  counted = pool->sums.recount_count;
  CU_ASSERT_EQUAL (counted, LONG_BACKLOG);
  check_sums (&fixture);
  CU_ASSERT_EQUAL (pool->sums.recount_count, counted);
  jb_job_note_change (random_job (&fixture));
  check_sums (&fixture);
  CU_ASSERT_EQUAL (pool->sums.recount_count, counted + 1);
  tear_down (&fixture);
}

/* Whether an organisation is in a report must not depend on which other sum
   was needed before: until a new owner lists it, the planner reserves what the
   former one may have used.  */
static void
test_org_is_reported_if_counted_for_report (void)
{
  struct fixture fixture = set_up (1);
  struct jb_job *job = add_job (&fixture);

  while (job->desc->org == NULL)
    job = add_job (&fixture);
  /* The last one takes the place of the first one that is removed.  */
  while (fixture.pool->active_jobs->len > 1)
    jb_pool_deactivate_job (
        fixture.pool,
        g_ptr_array_index (
            fixture.pool->active_jobs,
            g_ptr_array_index (fixture.pool->active_jobs, 0) == job ? 1 : 0));
  jb_pool_unfinished_work (fixture.pool);
  CU_ASSERT_FALSE (jb_pool_get_job_usage (fixture.pool, job)->is_reported);
  jb_pool_update_usage (fixture.pool);
  CU_ASSERT_TRUE (jb_pool_get_job_usage (fixture.pool, job)->is_reported);
  jb_pool_deactivate_job (fixture.pool, job);
  jb_pool_update_usage (fixture.pool);
  CU_ASSERT_TRUE (job->org_usage->is_reported);
  CU_ASSERT_EQUAL (job->org_usage->counted_jobs, 0);
  tear_down (&fixture);
}

/* The work of many jobs exceeds 64 bits: a sum that overflows would let an
   owner accept any number of jobs.  */
static void
test_huge_work (void)
{
  struct fixture fixture = set_up (1);
  struct jb_job *job = NULL;

  for (uint32_t i = 0; i < LONG_BACKLOG; i++)
    {
      job = add_job (&fixture);
      job->desc->steps[0].long_running = false;
      job->desc->steps[0].resources.cpu_milli = INT64_C (1) << 26;
      job->desc->steps[0].estimate_ms = INT64_C (1) << 29;
      if (job->groups->len == 0)
        jb_job_open_next_occurrence (job);
    }
  CU_ASSERT_EQUAL (jb_pool_unfinished_work (fixture.pool), JB_MAX_JOB_WORK);
  while (fixture.pool->active_jobs->len > 0)
    jb_pool_deactivate_job (fixture.pool, random_job (&fixture));
  CU_ASSERT_EQUAL (jb_pool_unfinished_work (fixture.pool), 0);
  tear_down (&fixture);
}

/* A job whose start was refused has not begun: it left the count of pending
   jobs.  */
static void
test_refused_start (void)
{
  struct fixture fixture = set_up (1);
  struct jb_job *job = add_job (&fixture);
  const char *queue = job->desc->queue;
  struct jb_task *task;

  job->stored = true;
  job->loaded_from_store = false;
  if (job->groups->len == 0)
    jb_job_open_next_occurrence (job);
  task = &((struct jb_task_group *)g_ptr_array_index (job->groups, 0))
              ->tasks[0];
  jb_task_assign (task, fixture.backends[0], JB_RUN_STARTING);
  CU_ASSERT_EQUAL (jb_pool_count_pending (fixture.pool, queue), 1);
  jb_task_unassign (task, fixture.now);
  CU_ASSERT_EQUAL (jb_pool_count_pending (fixture.pool, queue), 1);
  jb_job_note_begun (job);
  CU_ASSERT_EQUAL (jb_pool_count_pending (fixture.pool, queue), 0);
  tear_down (&fixture);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "random changes", test_random_changes },
          { "unchanged jobs are not counted again",
            test_unchanged_jobs_are_not_counted },
          { "an organisation is reported once it was counted for that",
            test_org_is_reported_if_counted_for_report },
          { "huge work", test_huge_work },
          { "a refused start", test_refused_start },
          { NULL, NULL } };

  return dp_test_main ("sums over the active jobs of a pool", tests);
}
