/* Checks of the guarantees, by what backend servers observe.  Those by the
   answers to clients are in jw_clients.c.  */

#include "jw_world.h"

#include "jb_job.h"

#include <stdio.h>
#include <string.h>

/* Longest time after the acknowledgement of a cancellation within which tasks
   of the job may still start.  */
#define START_AFTER_CANCEL_TIME (3 * JB_SECOND)

/* How long after its start a run of a cancelled job may last that a backend
   server started late: time to find it (contactMs) and to stop it (max_stop_ms
   of the entry hosts, jw_host_start).  */
#define LATE_RUN_TIME (3 * JB_SECOND + 500 * JB_MS)

/* A task counts as unavailable once it has not been ready for this long, for
   any reason.  */
#define UNAVAILABLE_AFTER_TIME (4500 * JB_MS)

/* How long a backend server's former, larger capacity counts.  */
#define CAPACITY_GRACE (4500 * JB_MS)

/* An organisation may exceed its limit by a tenth, and by the task that
   starts.  */
#define MAX_ORG_USAGE_PERCENT 110

/* Time after the order to evacuate a zone from which nothing may be started
   there, and by how much it is longer while the store refuses some hosts.  */
#define EVACUATION_TIME (5000 * JB_MS)
#define EVACUATION_TIME_WHILE_REFUSED (6000 * JB_MS)

/* A host must know of an order if it ran and the store answered it for this
   long.  */
#define UNDISTURBED_TIME (4000 * JB_MS)

/* How often it is checked which hosts are disturbed.  */
#define DISTURBANCE_INTERVAL (20 * JB_MS)

struct jw_task *
jw_get_task (struct jw_world *world, const char *name)
{
  struct jw_task *task = g_hash_table_lookup (world->tasks, name);

  if (task == NULL)
    {
      task = talloc_zero (world, struct jw_task);
      g_hash_table_insert (world->tasks, talloc_strdup (task, name), task);
    }
  return task;
}

/* Return the step of task NAME, or NULL if there is none.  Set REF to the
   parts of the name and JOB to the task's job.  */
static const struct jb_step *
find_step (struct jw_world *world, const char *name, struct jw_job **job,
           struct jb_task_ref *ref)
{
  if (!jb_task_ref_parse (name, ref))
    return NULL;
  *job = jw_find_job (world, ref->id);
  if (*job == NULL || ref->step >= (*job)->desc->step_count)
    return NULL;
  return &(*job)->desc->steps[ref->step];
}

bool
jw_task_is_long_running (struct jw_world *world, const char *name)
{
  struct jb_task_ref ref;
  struct jw_job *job = NULL;
  const struct jb_step *step = find_step (world, name, &job, &ref);

  return step != NULL && step->long_running;
}

/* Check that all tasks of the preceding steps are done.  */
static void
check_predecessors (struct jw_world *world, const struct jw_job *job,
                    const struct jb_task_ref *ref)
{
  const struct jb_step *step = &job->desc->steps[ref->step];

  for (uint32_t i = 0; i < step->predecessor_count; i++)
    {
      uint32_t predecessor = step->predecessors[i];

      for (uint32_t j = 0; j < job->desc->steps[predecessor].task_count; j++)
        {
          char name[64];

          snprintf (name, sizeof name, "%s.%u.%u.%u", ref->id, ref->occurrence,
                    predecessor, j);
          if (!jw_get_task (world, name)->done)
            jw_report_violation (world, "ORDER", "%s.%u starts before %s",
                                 ref->id, ref->step, name);
        }
    }
}

/* Return the processor time that running tasks of JOB's organisation reserve,
   in thousandths of a core.  */
static int64_t
sum_org_running_cpu_milli (struct jw_world *world, const struct jw_job *job)
{
  int64_t sum = 0;

  for (guint i = 0; i < world->backends->len; i++)
    {
      const struct jw_backend *backend
          = g_ptr_array_index (world->backends, i);

      for (guint j = 0; backend->up && j < backend->runs->len; j++)
        {
          const struct jw_task_run *run = g_ptr_array_index (backend->runs, j);
          struct jb_task_ref ref;
          struct jw_job *other = NULL;
          const struct jb_step *step
              = find_step (world, run->task, &other, &ref);

          if (step != NULL && strcmp (other->desc->org, job->desc->org) == 0)
            sum += step->resources.cpu_milli;
        }
    }
  return sum;
}

static void
check_capacity (struct jw_world *world, const struct jw_backend *backend,
                const char *name)
{
  int64_t limit = backend->cpu_milli;
  int64_t used = 1000;

  if (world->now - backend->capacity_changed_at < CAPACITY_GRACE)
    limit = MAX (limit, backend->former_cpu_milli);
  used += (int64_t)backend->runs->len * 1000;
  if (used > limit)
    jw_report_violation (world, "LIMIT", "%s starts on %s: %d of %d", name,
                         backend->instance, (int)used, (int)limit);
}

static bool
is_up (const struct jw_host *host)
{
  return host->host != NULL || host->up;
}

static bool
is_refused_by_store (const struct jw_host *host)
{
  const struct jw_world *world = host->world;

  return host->store_unreachable || host->in_cut_group || world->store_down
         || world->loss_permille.store_commands > 0;
}

static bool
is_disturbed (const struct jw_host *host)
{
  return !is_up (host) || host->frozen || is_refused_by_store (host);
}

static void
record_disturbances (struct jw_world *world, void *data)
{
  (void)data;
  for (uint32_t i = 0; i < world->options.hosts; i++)
    {
      struct jw_host *host = &world->hosts[i];

      if (is_disturbed (host))
        host->disturbed_at = world->now;
      if (is_up (host) && is_refused_by_store (host))
        world->store_refused_at = world->now;
    }
  jw_schedule (world, world->now + DISTURBANCE_INTERVAL, record_disturbances,
               NULL);
}

void
jw_watch_disturbances (struct jw_world *world)
{
  if (!world->watches_disturbances)
    record_disturbances (world, NULL);
  world->watches_disturbances = true;
}

void
jw_check_evacuation (struct jw_world *world, const struct jw_host *host,
                     const struct jb_command *command)
{
  const struct jw_backend *backend = jw_find_target (world, &command->backend);

  for (uint32_t i = 0; backend != NULL && i < JW_ZONE_COUNT; i++)
    {
      const struct jw_zone *zone = &world->zones[i];
      jb_time bound = EVACUATION_TIME;

      if (!zone->evacuated || backend->zone != zone->name)
        continue;
      if (world->store_refused_at >= zone->ordered_at)
        bound += EVACUATION_TIME_WHILE_REFUSED;
      if (world->now > zone->ordered_at + bound
          && world->now >= host->disturbed_at + UNDISTURBED_TIME)
        jw_report_violation (world, "EVAC", "%s sends a start of %s to %s",
                             host->name, command->u.start_task.task,
                             backend->instance);
    }
}

/* A run of a cancelled job that a backend server started late.  */
struct late_run
{
  struct jw_backend *backend;
  char *task;
  uint32_t run;
  jb_time started_at;
  int owner; /* index of the owner of the pool when last checked, or -1 */
  /* When the run was started, or when the owner last changed, was disturbed or
     could not reach the backend server.  */
  jb_time disturbed_at;
};

static bool
is_still_running (const struct late_run *late)
{
  for (guint i = 0; i < late->backend->runs->len; i++)
    {
      const struct jw_task_run *run
          = g_ptr_array_index (late->backend->runs, i);

      if (strcmp (run->task, late->task) == 0 && run->run == late->run
          && run->started_at == late->started_at)
        return true;
    }
  return false;
}

/* Return whether the pool has the same owner as before, which is not disturbed
   and reaches BACKEND.  */
static bool
can_owner_stop (struct jw_world *world, const struct jw_backend *backend,
                int former_owner, int owner)
{
  const struct jw_host *host;

  if (owner < 0 || owner != former_owner || backend->unreachable
      || backend->unlisted || world->loss_permille.backend_commands > 0)
    return false;
  host = &world->hosts[owner];
  return !is_disturbed (host) && !host->backends_unreachable
         && !host->too_busy;
}

/* Check that a late run ends within LATE_RUN_TIME in which the same owner of
   the pool could stop it.  */
static void
check_late_run (struct jw_world *world, void *data)
{
  const struct late_run *late = data;
  struct late_run *next;

  if (!is_still_running (late))
    return;
  next = talloc_memdup (NULL, late, sizeof *late);
  next->task = talloc_strdup (next, late->task);
  next->owner = jw_pool_owner (world, late->backend->pool);
  if (!can_owner_stop (world, late->backend, late->owner, next->owner))
    next->disturbed_at = world->now;
  if (world->now > next->disturbed_at + LATE_RUN_TIME)
    {
      jw_report_violation (world, "UNASKED",
                           "%s, started late after its job was cancelled, "
                           "still runs on %s",
                           late->task, late->backend->instance);
      talloc_free (next);
      return;
    }
  jw_schedule (world, world->now + DISTURBANCE_INTERVAL, check_late_run, next);
}

/* Watch the run that BACKEND starts late on COMMAND.  */
static void
watch_late_run (struct jw_world *world, struct jw_backend *backend,
                const struct jb_command *command)
{
  struct late_run *late = talloc_zero (NULL, struct late_run);

  late->backend = backend;
  late->task = talloc_strdup (late, command->u.start_task.task);
  late->run = command->u.start_task.run;
  late->started_at = world->now;
  late->owner = jw_pool_owner (world, backend->pool);
  late->disturbed_at = world->now;
  jw_schedule (world, world->now + DISTURBANCE_INTERVAL, check_late_run, late);
}

/* Check the start of a task of JOB, which may have been cancelled.  The bound
   on starts after a cancellation does not apply to starts that are carried out
   late: these must not run on.  */
static void
check_cancellation (struct jw_world *world, struct jw_backend *backend,
                    const struct jb_command *command, const struct jw_job *job)
{
  if (job->cancelled_at == 0)
    return;
  if (world->delivering_delayed_command)
    watch_late_run (world, backend, command);
  else if (world->now > job->cancelled_at + START_AFTER_CANCEL_TIME)
    jw_report_violation (world, "UNASKED",
                         "%s starts after its job was cancelled",
                         command->u.start_task.task);
}

void
jw_check_task_start (struct jw_world *world, struct jw_backend *backend,
                     const struct jb_command *command)
{
  const char *name = command->u.start_task.task;
  struct jw_task *task = jw_get_task (world, name);
  struct jb_task_ref ref;
  struct jw_job *job = NULL;
  const struct jb_step *step = find_step (world, name, &job, &ref);

  check_capacity (world, backend, name);
  world->task_starts++;
  task->last_started_at = world->now;
  task->active_runs++;
  if (step == NULL)
    {
      jw_report_violation (world, "UNASKED", "%s belongs to no job", name);
      return;
    }
  if (step->required_label != NULL
      && g_strcmp0 (backend->label, step->required_label) != 0)
    jw_report_violation (world, "ROUTE", "%s starts on %s without its label",
                         name, backend->instance);
  if (!job->started && job->only_refused && job->open_submissions == 0)
    jw_report_violation (world, "REFUSED",
                         "%s starts although its job was refused", name);
  job->started = true;
  if (strcmp (command->u.start_task.spec, job->desc->spec) != 0)
    jw_report_violation (world, "UNASKED",
                         "%s starts with a specification other than its job's",
                         name);
  check_cancellation (world, backend, command, job);
  if (task->active_runs > 1 && !step->speculative)
    jw_report_violation (world, "TWICE", "%s runs twice", name);
  if (task->done && !step->long_running)
    world->starts_after_done++;
  if (task->done_acked && !step->long_running && !step->speculative)
    jw_report_violation (world, "TWICE", "%s starts after it was done", name);
  if (!step->long_running && task->acked_failures >= JW_MAX_ATTEMPTS)
    jw_report_violation (world, "BUDGET", "%s starts after %u failures", name,
                         task->acked_failures);
  if (job->crashes_backends && ref.step == 0 && ref.index == 0
      && task->crashes >= JW_MAX_CRASHES
      && ++task->starts_after_crashes >= JW_MAX_STARTS_AFTER_CRASHES)
    jw_report_violation (world, "BUDGET",
                         "%s starts again after %u crashed backend servers",
                         name, task->crashes);
  check_predecessors (world, job, &ref);
  if (world->options.org_cpu_limit_milli > 0
      && sum_org_running_cpu_milli (world, job)
             > world->options.org_cpu_limit_milli * MAX_ORG_USAGE_PERCENT
                   / 100)
    jw_report_violation (world, "QUOTA",
                         "%s starts above its organisation's limit", name);
}

bool
jw_may_give_up_job (struct jw_world *world, const struct jw_job *job)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, world->tasks);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_str_has_prefix (key, job->desc->id)
        && ((const struct jw_task *)value)->crashes
               >= JW_MIN_CRASHES_TO_GIVE_UP)
      return true;
  return false;
}

void
jw_check_run_end (struct jw_world *world, const struct jw_backend *backend,
                  const struct jw_ended_run *ended, bool acked)
{
  struct jw_task *task = jw_get_task (world, ended->task);
  struct jb_task_ref ref;
  struct jw_job *job = NULL;
  const struct jb_step *step = find_step (world, ended->task, &job, &ref);
  uint32_t count = step != NULL && step->gang ? step->task_count : 1;

  if (ended->outcome == JB_OUTCOME_FAILED && acked)
    task->acked_failures++;
  if (ended->outcome != JB_OUTCOME_DONE)
    return;
  if (acked && step != NULL && !step->long_running && !step->speculative
      && task->last_started_at > ended->ended_at
      && backend->lapsed_at < ended->ended_at)
    jw_report_violation (world, "TWICE",
                         "%s started after it was done on %s, whose lease has "
                         "not expired",
                         ended->task, backend->instance);
  /* A gang completes as a whole: when one member is done, all of them are.  */
  for (uint32_t i = 0; i < count; i++)
    {
      char name[64];

      snprintf (name, sizeof name, "%s.%u.%u.%u", ref.id, ref.occurrence,
                ref.step, count > 1 ? i : ref.index);
      task = jw_get_task (world, name);
      task->done = true;
      task->done_acked = task->done_acked || acked;
    }
}

void
jw_check_disruption (struct jw_world *world, struct jw_backend *backend,
                     const char *name)
{
  struct jb_task_ref ref;
  struct jw_job *job = NULL;
  const struct jb_step *step = find_step (world, name, &job, &ref);
  struct jw_task *task = jw_get_task (world, name);
  uint32_t unavailable = 0;

  /* The limit applies to ready tasks that an entry host decides to stop, not
     to those of cancelled jobs or draining backend servers, nor to commands
     that arrive late.  */
  if (step == NULL || step->max_unavailable == 0 || job->cancel_sent
      || world->delivering_delayed_command || backend->draining
      || task->ready_at == 0 || world->now < task->ready_at)
    return;
  task->stop_requested_at = world->now;
  for (uint32_t i = 0; i < step->task_count; i++)
    {
      char other[64];
      const struct jw_task *t;

      if (i == ref.index)
        continue;
      snprintf (other, sizeof other, "%s.%u.%u.%u", ref.id, ref.occurrence,
                ref.step, i);
      t = jw_get_task (world, other);
      /* A task that was told to stop counts as unavailable, even while it
         still runs.  Any other task that isn't ready counts only after
         UNAVAILABLE_AFTER_TIME.  */
      if (t->ready_at != 0 && t->stop_requested_at >= t->ready_at)
        unavailable++;
      else if (t->ready_at == 0 || world->now < t->ready_at)
        unavailable
            += t->stop_requested_at > t->last_ready_at
               || world->now - t->unready_since >= UNAVAILABLE_AFTER_TIME;
    }
  if (unavailable >= step->max_unavailable)
    jw_report_violation (world, "AVAIL",
                         "%s is stopped while %u others are unavailable", name,
                         unavailable);
}
