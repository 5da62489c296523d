/* Backend servers, which run tasks under leases measured on clocks of their
   own, and the fleet's list of the hosts that they run on.  */

#include "jw_world.h"

#include "jb_job.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOSTS_PER_PAGE = 3,
  MAX_LISTED_ENDS = 500, /* in an answer; the others follow when these are
                            acknowledged */
  ADDRESS_COUNT = 250    /* later backend servers reuse the addresses */
};

/* How long a task takes to end after it was told to stop.  A long-running one,
   which has more state to save, takes almost max_stop_ms (jw_host_start).  */
#define TASK_STOP_TIME (60 * JB_MS)
#define LONG_RUNNING_TASK_STOP_TIME (450 * JB_MS)

/* How long after its start a task is ready.  */
#define READY_DELAY (300 * JB_MS)

/* How long after its start a task crashes its backend server.  */
#define CRASH_DELAY (10 * JB_MS)

/* How long a host is down.  */
#define MAINTENANCE_TIME (2000 * JB_MS)
#define HOST_MOVE_TIME (1500 * JB_MS)
#define CRASH_RECOVERY_TIME (3 * JB_SECOND)

/* How long the members of a gang wait for the last one to start.  */
#define GANG_TIMEOUT (3 * JB_SECOND)

/* Shortest time between commands of two planners to a host: command_lease_ms
   of the entry hosts (jw_host_start).  */
#define COMMAND_LEASE (3 * JB_SECOND)

/* Return a talloc chunk that holds POINTER, as data of an event handler.  */
static void *
box_pointer (void *pointer)
{
  void **chunk = talloc (NULL, void *);

  *chunk = pointer;
  return chunk;
}

int64_t
jw_backend_clock_ms (const struct jw_backend *backend, jb_time now)
{
  return (int64_t)((double)(now - backend->clock_origin) * backend->clock_rate
                   / JB_MS);
}

struct jw_backend *
jw_backend_add (struct jw_world *world, struct jw_fleet_host *host)
{
  struct jw_backend *backend = talloc_zero (world, struct jw_backend);

  backend->instance = talloc_asprintf (backend, "b-%u", ++world->last_backend);
  backend->address = talloc_asprintf (backend, "%s.%u:%u",
                                      world->options.network_prefix != NULL
                                          ? world->options.network_prefix
                                          : "10.0.0",
                                      world->last_backend % ADDRESS_COUNT,
                                      MAX (world->options.backend_port, 1));
  if (host->kept_address != NULL)
    backend->address = talloc_steal (backend, host->kept_address);
  host->kept_address = NULL;
  backend->host = talloc_strdup (backend, host->name);
  backend->zone = host->zone;
  backend->pool = host->pool;
  backend->up = true;
  backend->cpu_milli = world->options.backend_cpu_milli;
  backend->former_cpu_milli = backend->cpu_milli;
  backend->started_unix_ms = world->now / JB_MS + world->last_backend;
  backend->clock_rate
      = 0.985 + 0.001 * g_rand_int_range (world->random, 0, 20);
  backend->clock_origin = world->now - 1000 * JB_SECOND;
  backend->runs = g_ptr_array_new ();
  backend->ended_runs = g_ptr_array_new ();
  backend->waiting_probes = g_ptr_array_new ();
  backend->closed_runs = g_hash_table_new (g_str_hash, g_str_equal);
  g_ptr_array_add (world->backends, backend);
  host->backend = backend;
  host->state = JB_HOST_UP;
  return backend;
}

struct jw_backend *
jw_find_backend (struct jw_world *world, uint32_t pool, uint32_t index)
{
  for (guint i = 0; i < world->fleet->len; i++)
    {
      struct jw_fleet_host *host = g_ptr_array_index (world->fleet, i);

      if (host->pool == pool && host->backend != NULL && index-- == 0)
        return host->backend;
    }
  return NULL;
}

const char *
jw_zone_name (uint32_t zone)
{
  static const char *const names[JW_ZONE_COUNT]
      = { "zone-0", "zone-1", "zone-2" };

  return names[zone];
}

uint32_t
jw_count_running_in_zone (struct jw_world *world, uint32_t zone)
{
  uint32_t count = 0;

  for (guint i = 0; i < world->backends->len; i++)
    {
      const struct jw_backend *backend
          = g_ptr_array_index (world->backends, i);

      if (backend->up && backend->zone == jw_zone_name (zone))
        count += backend->runs->len;
    }
  return count;
}

/* ---- probes ---- */

/* A probe that is answered when a run ends, or when its time is up.  */
struct waiting_probe
{
  struct jw_host *host;
  uint32_t epoch;
  uint64_t number;
  struct jw_backend *backend;
  bool answered;
};

/* Fill in the reply to a probe: the clock, the active runs and the ended runs
   that are not acknowledged.  */
static void
list_runs (const struct jw_world *world, const struct jw_backend *backend,
           struct jb_reply *reply)
{
  guint count = MIN (backend->ended_runs->len, MAX_LISTED_ENDS);

  reply->backend_clock_ms = jw_backend_clock_ms (backend, world->now);
  reply->started_unix_ms = backend->started_unix_ms;
  reply->active_runs = talloc_zero_array (reply->mem, struct jb_active_run,
                                          backend->runs->len + 1);
  for (guint i = 0; i < backend->runs->len; i++)
    {
      const struct jw_task_run *run = g_ptr_array_index (backend->runs, i);

      reply->active_runs[reply->active_run_count++] = (struct jb_active_run){
        .task = talloc_strdup (reply->mem, run->task),
        .run = run->run,
        .ready_percent = world->now - run->started_at >= READY_DELAY ? 100 : 0
      };
    }
  reply->more_ended_runs = backend->ended_runs->len > count;
  reply->ended_runs
      = talloc_zero_array (reply->mem, struct jb_ended_run, count + 1);
  for (guint i = 0; i < count; i++)
    {
      const struct jw_ended_run *ended
          = g_ptr_array_index (backend->ended_runs, i);

      reply->ended_runs[reply->ended_run_count++]
          = (struct jb_ended_run){ .number = ended->number,
                                   .task
                                   = talloc_strdup (reply->mem, ended->task),
                                   .run = ended->run,
                                   .outcome = ended->outcome };
    }
}

static void
answer_probe (struct jw_world *world, struct waiting_probe *probe)
{
  struct jb_reply reply = { .result = JB_RESULT_OK };

  if (probe->answered)
    return;
  probe->answered = true;
  g_ptr_array_remove (probe->backend->waiting_probes, probe);
  if (!probe->backend->up || probe->backend->unreachable)
    return;
  reply.mem = talloc_new (NULL);
  list_runs (world, probe->backend, &reply);
  jw_schedule_reply (
      probe->host, probe->epoch, probe->number,
      world->now + JW_ONE_WAY_LATENCY_US + world->backend_reply_delay, &reply);
}

static void
probe_timed_out (struct jw_world *world, void *data)
{
  answer_probe (world, data);
}

static void
answer_waiting_probes (struct jw_world *world, struct jw_backend *backend)
{
  while (backend->waiting_probes->len > 0)
    answer_probe (world, g_ptr_array_index (backend->waiting_probes, 0));
}

/* ---- runs ---- */

/* Return run NUMBER of TASK on BACKEND, or NULL if it is not active there.  */
static struct jw_task_run *
find_run (const struct jw_backend *backend, const char *task, uint32_t number)
{
  for (guint i = 0; i < backend->runs->len; i++)
    {
      struct jw_task_run *run = g_ptr_array_index (backend->runs, i);

      if (strcmp (run->task, task) == 0 && run->run == number)
        return run;
    }
  return NULL;
}

/* From now on, refuse to start runs of TASK up to number RUN.  */
static void
close_run (struct jw_backend *backend, const char *task, uint32_t run)
{
  uint32_t highest
      = GPOINTER_TO_UINT (g_hash_table_lookup (backend->closed_runs, task));

  g_hash_table_insert (backend->closed_runs, talloc_strdup (backend, task),
                       GUINT_TO_POINTER (MAX (highest, run)));
}

static void
remove_run (struct jw_world *world, struct jw_backend *backend,
            struct jw_task_run *run)
{
  struct jw_task *task = jw_get_task (world, run->task);

  task->active_runs--;
  if (task->ready_at != 0 && world->now >= task->ready_at
      && task->stop_requested_at < run->started_at)
    task->last_ready_at = world->now;
  task->ready_at = 0;
  task->unready_since = world->now;
  backend->used_cpu_milli -= 1000;
  g_ptr_array_remove (backend->runs, run);
}

static void
end_run (struct jw_world *world, struct jw_backend *backend,
         struct jw_task_run *run, enum jb_run_outcome outcome)
{
  struct jw_ended_run *ended = talloc_zero (backend, struct jw_ended_run);

  ended->number = ++backend->last_end_number;
  ended->task = talloc_strdup (ended, run->task);
  ended->run = run->run;
  ended->outcome = outcome;
  ended->ended_at = world->now;
  g_ptr_array_add (backend->ended_runs, ended);
  jw_trace_backend (world, backend, false,
                    "end %" PRIu64 " task=%s run=%u outcome=%d", ended->number,
                    ended->task, ended->run, outcome);
  close_run (backend, run->task, run->run);
  remove_run (world, backend, run);
  jw_check_run_end (world, backend, ended, false);
  answer_waiting_probes (world, backend);
}

/* A scheduled end of a run.  It is void if the run has ended before or its end
   was scheduled anew.  */
struct scheduled_end
{
  struct jw_backend *backend;
  char *task;
  uint32_t run;
  uint64_t serial;
  enum jb_run_outcome outcome;
};

static void
apply_scheduled_end (struct jw_world *world, void *data)
{
  struct scheduled_end *end = data;
  struct jw_task_run *run = find_run (end->backend, end->task, end->run);

  if (end->backend->up && run != NULL && run->end_serial == end->serial)
    end_run (world, end->backend, run, end->outcome);
}

static void
schedule_end (struct jw_world *world, struct jw_backend *backend,
              struct jw_task_run *run, jb_time after,
              enum jb_run_outcome outcome)
{
  struct scheduled_end *end = talloc_zero (NULL, struct scheduled_end);

  run->end_serial = ++world->serial;
  end->backend = backend;
  end->task = talloc_strdup (end, run->task);
  end->run = run->run;
  end->serial = run->end_serial;
  end->outcome = outcome;
  jw_schedule (world, world->now + after, apply_scheduled_end, end);
}

/* End all runs if the lease has expired.  */
static void
check_lease_expiry (struct jw_world *world, void *data)
{
  struct jw_backend *backend = *(void **)data;

  if (!backend->up
      || jw_backend_clock_ms (backend, world->now) < backend->lease_until_ms)
    return;
  backend->lapsed_at = world->now;
  while (backend->runs->len > 0)
    end_run (world, backend, g_ptr_array_index (backend->runs, 0),
             JB_OUTCOME_LEASE_EXPIRED);
}

/* Extend the lease to UNTIL_MS on the clock of BACKEND, but to the longest
   lease from now at most, unless it is longer already.  */
static void
extend_lease (struct jw_world *world, struct jw_backend *backend,
              int64_t until_ms)
{
  int64_t left;

  until_ms = MIN (until_ms, jw_backend_clock_ms (backend, world->now)
                                + world->options.max_lease_ms);
  if (until_ms <= backend->lease_until_ms)
    return;
  backend->lease_until_ms = until_ms;
  left = until_ms - jw_backend_clock_ms (backend, world->now);
  if (world->delivering_delayed_command)
    jw_trace_backend (world, backend, true, "lease extended by %" PRId64 " ms",
                      left);
  jw_schedule (world,
               world->now
                   + (jb_time)((double)left * JB_MS / backend->clock_rate)
                   + JB_MS,
               check_lease_expiry, box_pointer (backend));
}

/* ---- commands ---- */

struct jw_backend *
jw_find_target (struct jw_world *world, const struct jb_backend_target *target)
{
  for (guint i = world->backends->len; i-- > 0;)
    {
      struct jw_backend *backend = g_ptr_array_index (world->backends, i);

      if (strcmp (backend->address, target->address) == 0)
        return backend;
    }
  return NULL;
}

static bool
is_gang_task (struct jw_world *world, const char *name)
{
  struct jb_task_ref ref;
  struct jw_job *job;

  if (!jb_task_ref_parse (name, &ref))
    return false;
  job = jw_find_job (world, ref.id);
  return job != NULL && job->desc->steps[ref.step].gang;
}

/* If all members of the gang of task NAME have started run NUMBER, let them
   end together after DURATION_MS.  Otherwise those that have started give up
   after GANG_TIMEOUT, unless the last one starts first.  */
static void
schedule_gang_ends (struct jw_world *world, const char *name, uint32_t number,
                    int duration_ms)
{
  struct jb_task_ref ref;
  struct jw_task_run *runs[JB_MAX_TASKS_PER_STEP];
  uint32_t count = 0;
  uint32_t wanted;

  jb_task_ref_parse (name, &ref);
  wanted = jw_find_job (world, ref.id)->desc->steps[ref.step].task_count;
  for (uint32_t i = 0; i < wanted; i++)
    {
      char member[64];

      snprintf (member, sizeof member, "%s.%u.%u.%u", ref.id, ref.occurrence,
                ref.step, i);
      for (guint j = 0; j < world->backends->len; j++)
        {
          struct jw_backend *backend = g_ptr_array_index (world->backends, j);
          struct jw_task_run *run
              = backend->up ? find_run (backend, member, number) : NULL;

          if (run != NULL)
            runs[count++] = run;
        }
    }
  for (uint32_t i = 0; count == wanted && i < count; i++)
    schedule_end (world, runs[i]->backend, runs[i], duration_ms * JB_MS,
                  JB_OUTCOME_DONE);
  if (count < wanted)
    for (uint32_t i = 0; i < count; i++)
      schedule_end (world, runs[i]->backend, runs[i], GANG_TIMEOUT,
                    JB_OUTCOME_GANG_INCOMPLETE);
}

static void
crash_under_task (struct jw_world *world, void *data)
{
  jw_backend_crash_in_place (world, *(void **)data);
}

static bool
is_first_task (const char *name)
{
  struct jb_task_ref ref;

  return jb_task_ref_parse (name, &ref) && ref.step == 0 && ref.index == 0;
}

/* The specification of a task, written by jw_submit_job, is its duration in
   milliseconds and its behaviour.  */
static void
start_task (struct jw_world *world, struct jw_backend *backend,
            const struct jb_command *command, struct jb_reply *reply)
{
  const struct jb_command_start_task *from = &command->u.start_task;
  struct jw_task_run *run = find_run (backend, from->task, from->run);
  uint32_t highest_closed_run = GPOINTER_TO_UINT (
      g_hash_table_lookup (backend->closed_runs, from->task));
  int duration_ms = 0;
  /* 0: completes, 1: fails, 2: the first task crashes its backend server,
     -1: runs until stopped.  */
  int behaviour = 0;

  reply->backend_clock_ms = jw_backend_clock_ms (backend, world->now);
  /* A run that is there already is no reason to accept a lease that is over.
   */
  if (run != NULL && from->lease_until_ms > reply->backend_clock_ms)
    {
      extend_lease (world, backend, from->lease_until_ms);
      return;
    }
  reply->result = JB_RESULT_CONFLICT;
  if (world->options.needs_advice && from->ticket == NULL)
    {
      reply->refusal = JB_REFUSAL_NO_TICKET;
      jw_report_violation (world, "TICKET", "%s starts without a ticket",
                           from->task);
      return;
    }
  if (from->run <= highest_closed_run)
    {
      reply->refusal = JB_REFUSAL_STALE_RUN;
      extend_lease (world, backend, from->lease_until_ms);
      return;
    }
  if (from->lease_until_ms <= reply->backend_clock_ms)
    {
      reply->refusal = JB_REFUSAL_LEASE_EXPIRED;
      return;
    }
  /* Another run of the task does not keep this one from starting.  */
  if (!world->options.no_overload_guard
      && (int64_t)(backend->runs->len + 1) * 1000 > backend->cpu_milli)
    {
      reply->refusal = JB_REFUSAL_NO_CAPACITY;
      extend_lease (world, backend, from->lease_until_ms);
      return;
    }
  reply->result = JB_RESULT_OK;
  jw_trace_backend (world, backend, true, "start task=%s run=%u", from->task,
                    from->run);
  jw_check_task_start (world, backend, command);
  sscanf (from->spec, "%d %d", &duration_ms, &behaviour);
  run = talloc_zero (backend, struct jw_task_run);
  run->task = talloc_strdup (run, from->task);
  run->run = from->run;
  run->started_at = world->now;
  run->backend = backend;
  g_ptr_array_add (backend->runs, run);
  jw_get_task (world, from->task)->ready_at = world->now + READY_DELAY;
  extend_lease (world, backend, from->lease_until_ms);
  if (behaviour == 2 && is_first_task (from->task))
    jw_schedule (world, world->now + CRASH_DELAY, crash_under_task,
                 box_pointer (backend));
  else if (is_gang_task (world, from->task))
    schedule_gang_ends (world, from->task, from->run, duration_ms);
  else if (behaviour == 1 || backend->fails_all_runs)
    schedule_end (world, backend, run, duration_ms * JB_MS / 4,
                  JB_OUTCOME_FAILED);
  else if (behaviour != -1 && !backend->hangs)
    schedule_end (world, backend, run,
                  duration_ms * JB_MS
                      * g_rand_int_range (world->random, 70, 130) / 100,
                  JB_OUTCOME_DONE);
}

static void
stop_task (struct jw_world *world, struct jw_backend *backend,
           const struct jb_command *command, struct jb_reply *reply)
{
  struct jw_task_run *run = find_run (backend, command->u.stop_task.task,
                                      command->u.stop_task.run);

  reply->backend_clock_ms = jw_backend_clock_ms (backend, world->now);
  close_run (backend, command->u.stop_task.task, command->u.stop_task.run);
  if (run == NULL || run->stopping)
    return;
  run->stopping = true;
  jw_check_disruption (world, backend, run->task);
  schedule_end (world, backend, run,
                jw_task_is_long_running (world, run->task)
                    ? LONG_RUNNING_TASK_STOP_TIME
                    : TASK_STOP_TIME,
                JB_OUTCOME_STOPPED);
}

/* Extend the lease and drop the ended runs that COMMAND, a probe,
   acknowledges.  */
static void
apply_probe (struct jw_world *world, struct jw_backend *backend,
             const struct jb_command *command)
{
  extend_lease (world, backend, command->u.probe.lease_until_ms);
  while (backend->ended_runs->len > 0)
    {
      struct jw_ended_run *first = g_ptr_array_index (backend->ended_runs, 0);

      if (first->number > command->u.probe.acked_end)
        break;
      jw_trace_backend (
          world, backend, true,
          "acknowledged %" PRIu64 " of %" PRIu64 " task=%s run=%u",
          first->number, command->u.probe.acked_end, first->task, first->run);
      jw_check_run_end (world, backend, first, true);
      g_ptr_array_remove_index (backend->ended_runs, 0);
    }
}

/* Return whether COMMAND reaches BACKEND and its fencing token is not stale.
   If so, record the token; if not, set the result in REPLY.  */
static bool
admit_command (const struct jw_world *world, struct jw_backend *backend,
               const struct jb_command *command, struct jb_reply *reply)
{
  if (backend == NULL || !backend->up)
    {
      reply->result = JB_RESULT_REFUSED;
      return false;
    }
  /* A late lease has reached it before it became unreachable.  */
  if (backend->unreachable && !world->delivering_late_lease)
    {
      reply->result = JB_RESULT_UNKNOWN;
      return false;
    }
  if (strcmp (backend->instance, command->backend.instance) != 0)
    {
      reply->result = JB_RESULT_GONE;
      return false;
    }
  if (command->backend.fence < backend->fencing_token)
    {
      reply->result = JB_RESULT_CONFLICT;
      reply->refusal = JB_REFUSAL_FENCED;
      return false;
    }
  backend->fencing_token = command->backend.fence;
  return true;
}

void
jw_backend_execute (struct jw_world *world, const struct jb_command *command,
                    struct jb_reply *reply)
{
  struct jw_backend *backend = jw_find_target (world, &command->backend);

  reply->result = JB_RESULT_OK;
  if (!admit_command (world, backend, command, reply))
    return;
  switch (command->kind)
    {
    case JB_COMMAND_START_TASK:
      start_task (world, backend, command, reply);
      break;
    case JB_COMMAND_STOP_TASK:
      stop_task (world, backend, command, reply);
      break;
    case JB_COMMAND_PROBE:
      apply_probe (world, backend, command);
      list_runs (world, backend, reply);
      break;
    default:
      reply->backend_clock_ms = jw_backend_clock_ms (backend, world->now);
      break;
    }
}

bool
jw_backend_defer_probe (struct jw_world *world, struct jw_host *host,
                        uint64_t number, const struct jb_command *command)
{
  struct jw_backend *backend = jw_find_target (world, &command->backend);
  struct jb_reply reply = { 0 };
  struct waiting_probe *probe;

  if (command->u.probe.wait_ms == 0
      || !admit_command (world, backend, command, &reply))
    return false;
  apply_probe (world, backend, command);
  if (backend->ended_runs->len > 0)
    return false;
  probe = talloc_zero (NULL, struct waiting_probe);
  probe->host = host;
  probe->epoch = host->epoch;
  probe->number = number;
  probe->backend = backend;
  g_ptr_array_add (backend->waiting_probes, probe);
  jw_schedule (world, world->now + command->u.probe.wait_ms * JB_MS,
               probe_timed_out, probe);
  return true;
}

/* ---- the fleet ---- */

static void
drop_all_runs (struct jw_world *world, struct jw_backend *backend)
{
  while (backend->runs->len > 0)
    remove_run (world, backend, g_ptr_array_index (backend->runs, 0));
  backend->up = false;
  backend->ended_at = world->now;
}

/* The host is up again, with a new backend server.  */
static void
return_host (struct jw_world *world, void *data)
{
  jw_backend_add (world, *(void **)data);
}

void
jw_backend_set_capacity (struct jw_world *world, struct jw_backend *backend,
                         int64_t cpu_milli)
{
  backend->former_cpu_milli = backend->cpu_milli;
  backend->cpu_milli = cpu_milli;
  backend->capacity_changed_at = world->now;
}

/* Count a crash for all tasks that run on BACKEND.  */
static void
count_crashes (struct jw_world *world, const struct jw_backend *backend)
{
  for (guint i = 0; i < backend->runs->len; i++)
    {
      const struct jw_task_run *run = g_ptr_array_index (backend->runs, i);

      jw_get_task (world, run->task)->crashes++;
    }
}

void
jw_backend_restart (struct jw_world *world, struct jw_backend *backend)
{
  if (!backend->up)
    return;
  count_crashes (world, backend);
  drop_all_runs (world, backend);
  backend->up = true;
  backend->ended_at = 0;
  for (guint i = 0; i < backend->waiting_probes->len; i++)
    ((struct waiting_probe *)g_ptr_array_index (backend->waiting_probes, i))
        ->answered
        = true;
  g_ptr_array_set_size (backend->waiting_probes, 0);
  g_ptr_array_set_size (backend->ended_runs, 0);
  g_hash_table_remove_all (backend->closed_runs);
  backend->started_unix_ms
      = MAX (backend->started_unix_ms + 1, world->now / JB_MS);
  jw_trace_backend (world, backend, false, "restart");
  backend->clock_origin = world->now;
  backend->fencing_token = 0;
  backend->lease_until_ms = 0;
  backend->last_end_number = 0;
}

void
jw_backend_crash (struct jw_world *world, struct jw_backend *backend,
                  bool permanently)
{
  count_crashes (world, backend);
  drop_all_runs (world, backend);
  for (guint i = 0; i < world->fleet->len; i++)
    {
      struct jw_fleet_host *host = g_ptr_array_index (world->fleet, i);

      if (host->backend != backend)
        continue;
      host->backend = NULL;
      host->state = JB_HOST_DOWN;
      if (!permanently)
        jw_schedule (world, world->now + CRASH_RECOVERY_TIME, return_host,
                     box_pointer (host));
    }
}

void
jw_backend_crash_in_place (struct jw_world *world, struct jw_backend *backend)
{
  if (!backend->up)
    return;
  for (guint i = 0; i < world->fleet->len; i++)
    {
      struct jw_fleet_host *host = g_ptr_array_index (world->fleet, i);

      if (host->backend == backend)
        host->kept_address = talloc_strdup (host, backend->address);
    }
  jw_backend_crash (world, backend, false);
}

void
jw_fleet_init (struct jw_world *world)
{
  for (uint32_t pool = 0; pool < world->options.pools; pool++)
    for (uint32_t i = 0; i < world->options.backends; i++)
      {
        struct jw_fleet_host *host = talloc_zero (world, struct jw_fleet_host);

        host->name = talloc_asprintf (host, "m-%u-%u", pool, i);
        host->zone = jw_zone_name (i % JW_ZONE_COUNT);
        host->pool = pool;
        g_ptr_array_add (world->fleet, host);
        jw_backend_add (world, host);
      }
}

/* Fill in REPLY with the page of the list of hosts that begins at index PAGE,
   or with the first one.  Pages are small, so that an entry host which reads
   only the first one would take the other hosts for removed.  */
static void
list_hosts (struct jw_world *world, const char *page, struct jb_reply *reply)
{
  guint i = page != NULL ? (guint)atoi (page) : 0;
  guint end = MIN (i + HOSTS_PER_PAGE, world->fleet->len);

  reply->hosts = talloc_zero_array (reply->mem, struct jb_host_entry,
                                    HOSTS_PER_PAGE + 1);
  if (end < world->fleet->len)
    reply->next_page = talloc_asprintf (reply->mem, "%u", end);
  for (; i < end; i++)
    {
      const struct jw_fleet_host *host = g_ptr_array_index (world->fleet, i);

      reply->hosts[reply->host_count++] = (struct jb_host_entry){
        .host = host->name,
        .pool = world->catalog->pools[host->pool].name,
        .instance = host->backend != NULL ? host->backend->instance : NULL,
        .state = host->state,
        .zone = host->zone
      };
    }
}

/* Check that a new planner sends commands to HOST only with a higher fencing
   token than the last planner, and not within COMMAND_LEASE after the last
   planner's last command.  */
static void
check_host_command (struct jw_world *world, struct jw_fleet_host *host,
                    const struct jb_command_host *command)
{
  if (host->last_planner != NULL
      && strcmp (host->last_planner, command->owner) != 0
      && (command->fence <= host->last_fencing_token
          || world->now - host->last_command_at < COMMAND_LEASE))
    jw_report_violation (world, "ONE",
                         "%s gets a command of %s too soon after one of %s, "
                         "or with a stale fencing token",
                         host->name, command->owner, host->last_planner);
  talloc_free (host->last_planner);
  host->last_planner = talloc_strdup (host, command->owner);
  host->last_fencing_token = command->fence;
  host->last_command_at = world->now;
}

/* Carry out a command to move or maintain a host.  A host that was already
   maintained is not taken down for maintenance again.  */
static void
take_host_down (struct jw_world *world, const struct jb_command *command,
                struct jb_reply *reply)
{
  bool is_move = command->kind == JB_COMMAND_MOVE_HOST;
  struct jw_fleet_host *host = NULL;
  uint32_t down_count = 0;

  for (guint i = 0; i < world->fleet->len; i++)
    {
      struct jw_fleet_host *h = g_ptr_array_index (world->fleet, i);

      down_count += h->state == JB_HOST_MAINTENANCE;
      if (strcmp (h->name, command->u.host.host) == 0)
        host = h;
    }
  reply->result = JB_RESULT_INVALID;
  if (host == NULL)
    return;
  check_host_command (world, host, &command->u.host);
  reply->result = JB_RESULT_OK;
  if (!is_move && host->maintained)
    return;
  reply->result = JB_RESULT_CONFLICT;
  reply->refusal = JB_REFUSAL_HOST_NOT_UP;
  if (host->state != JB_HOST_UP)
    return;
  reply->result = JB_RESULT_OK;
  if (!is_move && down_count >= world->wave.max_hosts_at_once)
    jw_report_violation (world, "LIMIT",
                         "a host is taken down for maintenance although %u "
                         "are down already",
                         down_count);
  if (host->backend != NULL
      && jw_is_in_roster (world, host->backend->instance))
    jw_report_violation (world, "ROSTER",
                         "%s is taken down although %s is in the roster",
                         host->name, host->backend->instance);
  while (host->backend != NULL && host->backend->runs->len > 0)
    {
      struct jw_task_run *run = g_ptr_array_index (host->backend->runs, 0);

      jw_check_disruption (world, host->backend, run->task);
      remove_run (world, host->backend, run);
    }
  if (host->backend != NULL)
    drop_all_runs (world, host->backend);
  host->backend = NULL;
  host->state = is_move ? JB_HOST_MOVING : JB_HOST_MAINTENANCE;
  host->maintained = host->maintained || !is_move;
  for (uint32_t i = 0; is_move && i <= world->options.pools; i++)
    if (strcmp (world->catalog->pools[i].name, command->u.host.target_pool)
        == 0)
      host->pool = i;
  jw_schedule (world,
               world->now + (is_move ? HOST_MOVE_TIME : MAINTENANCE_TIME),
               return_host, box_pointer (host));
}

/* The simulated policy lets a step run on backend servers with an even number.
 */
static void
give_advice (const struct jb_command_get_advice *command,
             struct jb_reply *reply)
{
  reply->tickets_valid_ms = 3000;
  reply->tickets = talloc_zero_array (reply->mem, struct jb_ticket,
                                      command->backend_count + 1);
  for (uint32_t i = 0; i < command->backend_count; i++)
    {
      const char *instance = command->backends[i];

      if ((instance[strlen (instance) - 1] - '0') % 2 == 0)
        reply->tickets[reply->ticket_count++]
            = (struct jb_ticket){ talloc_strdup (reply->mem, instance),
                                  "ticket" };
    }
}

void
jw_fleet_execute (struct jw_world *world, const struct jb_command *command,
                  struct jb_reply *reply)
{
  reply->result = JB_RESULT_OK;
  if (command->kind == JB_COMMAND_LIST_HOSTS)
    list_hosts (world, command->u.read.first_key, reply);
  else if (command->kind == JB_COMMAND_MOVE_HOST
           || command->kind == JB_COMMAND_MAINTAIN_HOST)
    take_host_down (world, command, reply);
  else if (command->kind == JB_COMMAND_GET_ADVICE)
    give_advice (&command->u.get_advice, reply);
  else
    reply->result = JB_RESULT_INVALID;
}

void
jw_start_wave (struct jw_world *world, uint32_t max_hosts_at_once,
               int64_t within_ms)
{
  world->wave.wave = 1;
  world->wave.max_hosts_at_once = max_hosts_at_once;
  world->wave.within_ms = within_ms;
  world->wave.hosts
      = talloc_array (world, const char *, world->fleet->len + 1);
  for (guint i = 0; i < world->fleet->len; i += 2)
    world->wave.hosts[world->wave.host_count++]
        = ((struct jw_fleet_host *)g_ptr_array_index (world->fleet, i))->name;
  world->wave_version = ++world->version;
}

uint32_t
jw_count_running_tasks (struct jw_world *world, const char *id)
{
  uint32_t count = 0;

  for (guint i = 0; i < world->backends->len; i++)
    {
      const struct jw_backend *backend
          = g_ptr_array_index (world->backends, i);

      for (guint j = 0; backend->up && j < backend->runs->len; j++)
        {
          const struct jw_task_run *run = g_ptr_array_index (backend->runs, j);

          count += g_str_has_prefix (run->task, id);
        }
    }
  return count;
}
