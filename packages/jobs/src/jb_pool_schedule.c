/* Scheduling cycles, and the commands that start and stop tasks.

   A start without an answer may still be carried out later.  If the backend
   server does not list the run, the start is sent again: it has no further
   effect if the run is there by then.  Until the first one can't be carried
   out any more, the task starts nowhere else (jb_doubt.h).  */

#include "jb_pool_internal.h"

#include <string.h>

#define START_TIMEOUT_MS 300
#define STOP_TIMEOUT_MS 250

/* Delay before a stop without an answer is sent again.  */
#define STOP_RETRY_DELAY (250 * JB_MS)

/* How long nothing is started on a backend server that has refused a start.
   The first applies if it lacked capacity or saw the lease as expired, until a
   probe has reported what runs there and its clock.  The second applies to
   other reasons, until it may have recovered; after a stale run or a missing
   ticket there is no delay.  */
#define NO_CAPACITY_BACKOFF (150 * JB_MS)
#define UNHEALTHY_BACKOFF (1000 * JB_MS)

/* How long nothing is started on a backend server to which this host was too
   busy to send a start, or has no free connection.  */
#define NOT_SENT_BACKOFF (100 * JB_MS)

/* Nothing more is started on a backend server that has answered nothing for
   this time since a start was sent there: each such start may keep its task
   from starting elsewhere for long, if the backend server has failed.  */
#define MAX_AWAITED_TIME (150 * JB_MS)

enum
{
  MAX_STARTS_IN_FLIGHT = 64, /* per backend server, without an answer yet */
  MAX_STARTS_PER_CYCLE = 200
};

/* Minimum time between two scheduling cycles.  */
#define SCHEDULE_MIN_INTERVAL (4 * JB_MS)

/* Return whether runs on BACKEND that no job needs leave an unknown part of
   its capacity, and it does not refuse a task for which there is no room.  */
static bool
has_unknown_room (const struct jb_pool *pool, const struct jb_backend *backend)
{
  const struct jb_pool_settings *settings;

  if (backend->orphan_seen_at == 0)
    return false;
  settings = jb_catalog_find_pool (*pool->options.catalog, pool->options.name);
  return settings == NULL || !settings->rejects_overload;
}

/* Return whether BACKEND has restarted since the store last confirmed the
   ownership: it no longer refuses the commands of a former owner, and this
   host may be one.  While the store does not answer, the validity of the
   ownership (jb_pool_may_command) must do.  */
static bool
awaits_confirmation (const struct jb_pool *pool,
                     const struct jb_backend *backend)
{
  return jb_ownership_confirmed_at (pool->ownership) < backend->restart_seen_at
         && jb_ownership_failing_since (pool->ownership) == 0;
}

bool
jb_pool_backend_is_usable (const struct jb_pool *pool,
                           const struct jb_backend *backend, jb_time now)
{
  return !has_unknown_room (pool, backend) && backend->probed
         && backend->listed && backend->in_roster && !backend->draining
         && !awaits_confirmation (pool, backend)
         && backend->unanswered_probes == 0 && backend->clock_received_at != 0
         && now >= backend->unhealthy_until && now >= backend->suspect_until
         && now >= backend->cordoned_until
         && backend->starts_in_flight < MAX_STARTS_IN_FLIGHT
         && (backend->awaited_since == 0
             || now - backend->awaited_since < MAX_AWAITED_TIME)
         && jb_pool_zone_is_usable (pool, backend);
}

/* ---- stopping ---- */

/* A stop in flight.  */
struct stop_request
{
  struct jb_pool *pool;
  struct jb_backend *backend;
  uint32_t incarnation; /* of the backend server, as known when it was sent */
  uint64_t fence;
  struct jb_task_ref ref;
  uint32_t run;
};

struct jb_task *
jb_pool_find_run (const struct jb_pool *pool, const struct jb_task_ref *ref,
                  const struct jb_backend *backend, uint32_t run)
{
  struct jb_job *job = g_hash_table_lookup (pool->jobs, ref->id);
  struct jb_task *task = job != NULL ? jb_job_find_task (job, ref) : NULL;

  if (task == NULL || task->backend != backend || task->run != run)
    return NULL;
  return task;
}

static void
handle_stop_reply (void *data, jb_time now, jb_time sent_at,
                   const struct jb_reply *reply)
{
  struct stop_request *stop = data;
  struct jb_backend *backend = stop->backend;
  struct jb_task *task
      = jb_pool_find_run (stop->pool, &stop->ref, backend, stop->run);

  jb_pool_note_result (backend, now, &(struct jb_grant){ .sent_at = sent_at },
                       reply);
  if (stop->incarnation != backend->incarnation)
    {
      talloc_free (stop);
      return;
    }
  if (reply->result == JB_RESULT_GONE)
    jb_pool_clear_lost_runs (stop->pool, backend, now, JB_LOSS_REPLACED);
  else if (reply->result == JB_RESULT_CONFLICT
           && reply->refusal == JB_REFUSAL_FENCED)
    jb_pool_check_refused_fence (stop->pool, backend, stop->fence, now);
  else if ((reply->result == JB_RESULT_OK
            || reply->result == JB_RESULT_CONFLICT)
           && task != NULL)
    {
      jb_pool_close_run (stop->pool, task);
      task->confirmed_at = now;
      task->state = JB_RUN_STOPPING;
      backend->probe_urgent = true;
      backend->next_probe = MIN (backend->next_probe, now);
    }
  talloc_free (stop);
}

static void
send_stop (struct jb_pool *pool, struct jb_backend *backend, const char *name,
           uint32_t run, jb_time now)
{
  struct stop_request *stop = talloc_zero (backend, struct stop_request);
  struct jb_command command
      = { .kind = JB_COMMAND_STOP_TASK,
          .timeout_ms = STOP_TIMEOUT_MS,
          .backend
          = jb_pool_target (pool, backend, backend->unanswered_probes > 0),
          .u.stop_task = { name, run } };

  stop->pool = pool;
  stop->backend = backend;
  stop->incarnation = backend->incarnation;
  stop->fence = command.backend.fence;
  stop->run = run;
  if (!jb_task_ref_parse (name, &stop->ref))
    memset (&stop->ref, 0, sizeof stop->ref);
  jb_driver_submit (pool->options.driver, backend, now, &command,
                    handle_stop_reply, stop);
}

void
jb_pool_stop_orphaned_run (struct jb_pool *pool, struct jb_backend *backend,
                           const char *task, uint32_t run, jb_time now)
{
  backend->orphan_seen_at = now;
  pool->orphan_seen_at = now;
  if (!jb_pool_may_command (pool, now)
      || (backend->orphan_stopped_at != now
          && now - backend->orphan_stopped_at < STOP_RETRY_DELAY))
    return;
  backend->orphan_stopped_at = now;
  jb_log (pool->options.driver, JB_LEVEL_INFO, "run-orphaned", "task", task,
          "run", jb_itoa (run), "backend", backend->instance, "born",
          jb_itoa (backend->started_unix_ms), "generation",
          jb_itoa (jb_pool_generation_of_run (run)), "own_generation",
          jb_itoa (jb_ownership_generation (pool->ownership)), NULL);
  send_stop (pool, backend, task, run, now);
}

void
jb_pool_stop_run (struct jb_pool *pool, struct jb_task *task, jb_time now,
                  const char *reason)
{
  char name[JB_TASK_NAME_SIZE];

  if (task->state == JB_RUN_NONE || task->state == JB_RUN_STARTING)
    return; /* the start must be answered first */
  jb_task_name (task, name);
  if (task->state == JB_RUN_RUNNING)
    {
      task->state = JB_RUN_STOPPING;
      task->confirmed_at = 0;
      jb_log (pool->options.driver, JB_LEVEL_INFO, "run-stopped", "task", name,
              "run", jb_itoa (task->run), "backend", task->backend->instance,
              "reason", reason, NULL);
    }
  task->last_attempt_at = now;
  if (jb_pool_may_command (pool, now))
    send_stop (pool, task->backend, name, task->run, now);
}

void
jb_pool_resend_stops (struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (struct jb_task *task = ((struct jb_backend *)value)->tasks;
         task != NULL; task = task->next_on_backend)
      if (task->confirmed_at == 0 && task->state == JB_RUN_STOPPING
          && now - task->last_attempt_at >= STOP_RETRY_DELAY)
        jb_pool_stop_run (pool, task, now, "no answer yet");
}

void
jb_pool_clear_run (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  jb_pool_cancel_start (pool, task);
  jb_task_unassign (task, now);
  pool->schedule_due = true;
  jb_pool_handle_run_update (pool, task, now);
}

/* ---- starting ---- */

/* A start in flight.  */
struct start_request
{
  struct jb_pool *pool;
  struct jb_task *task; /* set when the reply is processed */
  struct jb_backend *backend;
  uint32_t incarnation; /* of the backend server, as known when it was sent */
  uint64_t fence;
  struct jb_task_ref ref;
  uint32_t run;
  jb_time sent_at;
  struct jb_grant grant;
};

static void
handle_start_refused (struct start_request *start, jb_time now,
                      const struct jb_reply *reply)
{
  struct jb_pool *pool = start->pool;
  struct jb_backend *backend = start->backend;
  enum jb_counter counter = JB_COUNT_START_UNHEALTHY;
  char name[JB_TASK_NAME_SIZE];

  switch (reply->refusal)
    {
    case JB_REFUSAL_NO_CAPACITY:
      counter = JB_COUNT_START_NO_CAPACITY;
      backend->unhealthy_until = now + NO_CAPACITY_BACKOFF;
      break;
    case JB_REFUSAL_STALE_RUN:
      counter = JB_COUNT_START_STALE_RUN;
      break;
    case JB_REFUSAL_LEASE_EXPIRED:
      counter = JB_COUNT_START_LEASE_EXPIRED;
      backend->unhealthy_until = now + NO_CAPACITY_BACKOFF;
      backend->probed = false; /* its clock is not the one that is known */
      backend->next_probe = now;
      break;
    case JB_REFUSAL_FENCED:
      counter = JB_COUNT_START_FENCED;
      if (jb_pool_check_refused_fence (pool, backend, start->fence, now))
        backend->unhealthy_until = now + UNHEALTHY_BACKOFF;
      break;
    case JB_REFUSAL_NO_TICKET:
      counter = JB_COUNT_START_NO_TICKET;
      jb_pool_discard_ticket (start->task->group, backend);
      break;
    default:
      backend->unhealthy_until = now + UNHEALTHY_BACKOFF;
      break;
    }
  jb_count_event (pool->options.driver, counter);
  jb_log (pool->options.driver, JB_LEVEL_INFO, "start-refused", "task",
          jb_task_name (start->task, name), "run", jb_itoa (start->run),
          "backend", backend->instance, "reason", jb_itoa (reply->refusal),
          "result", jb_itoa (reply->result), NULL);
}

/* Handle a start without an answer: it may be carried out later.  */
static void
handle_start_unknown (struct start_request *start, jb_time now,
                      const struct jb_reply *reply)
{
  char name[JB_TASK_NAME_SIZE];

  jb_log (start->pool->options.driver, JB_LEVEL_INFO, "start-unanswered",
          "task", jb_task_name (start->task, name), "run",
          jb_itoa (start->run), "backend", start->backend->instance,
          "sent_after_ms", jb_itoa (reply->sent_after_ms), "awaited_ms",
          jb_itoa (reply->awaited_ms), "resent", reply->resent ? "yes" : "no",
          "born", jb_itoa (start->backend->started_unix_ms), NULL);
  jb_count_event (start->pool->options.driver, JB_COUNT_START_UNKNOWN);
  if (jb_pool_has_disabled (start->pool, JB_SAFEGUARD_UNCONFIRMED_STARTS))
    {
      jb_pool_remember_given_up (start->pool, start->task, now,
                                 JB_LOSS_START_UNANSWERED);
      jb_pool_clear_run (start->pool, start->task, now);
      return;
    }
  start->task->state = JB_RUN_UNCONFIRMED;
  start->task->last_attempt_at = now;
  /* The next probe tells whether the run is active.  */
  start->backend->probe_urgent = true;
  start->backend->next_probe = MIN (start->backend->next_probe, now);
}

/* Handle a start that this host was too busy to send.  */
static void
handle_start_not_sent (struct start_request *start, jb_time now)
{
  struct jb_pool *pool = start->pool;
  char name[JB_TASK_NAME_SIZE];

  jb_count_event (pool->options.driver, JB_COUNT_START_NOT_SENT);
  jb_log (pool->options.driver, JB_LEVEL_INFO, "start-not-sent", "task",
          jb_task_name (start->task, name), "run", jb_itoa (start->run),
          "backend", start->backend->instance, NULL);
  start->backend->unhealthy_until
      = MAX (start->backend->unhealthy_until, now + NOT_SENT_BACKOFF);
  jb_pool_clear_run (pool, start->task, now);
}

/* The start was refused because the run has ended or was stopped already: an
   earlier start of it has been carried out.  The next probe lists the end.  */
static void
await_end (struct start_request *start, jb_time now)
{
  jb_pool_close_run (start->pool, start->task);
  start->task->state = JB_RUN_STOPPING;
  start->task->confirmed_at = now;
  start->backend->probe_urgent = true;
  start->backend->next_probe = MIN (start->backend->next_probe, now);
}

/* Record the clock in the answer to START, unless it is the clock of another
   incarnation.  */
static void
record_clock (struct start_request *start, jb_time now, jb_time sent_at,
              const struct jb_reply *reply)
{
  if (jb_backend_is_other_clock (start->backend, sent_at,
                                 reply->backend_clock_ms))
    jb_pool_suspect_restart (start->pool, start->backend, now);
  else
    jb_backend_record_clock (start->backend, now, reply->backend_clock_ms);
}

static void
handle_start_ok (struct start_request *start, jb_time now, jb_time sent_at,
                 const struct jb_reply *reply)
{
  struct jb_pool *pool = start->pool;
  struct jb_task *task = start->task;
  struct jb_job *job = task->group->job;
  char name[JB_TASK_NAME_SIZE];

  jb_count_event (pool->options.driver, JB_COUNT_STARTS);
  jb_observe_latency (pool->options.driver, JB_HIST_TASK_START, now - sent_at);
  if (task->started_at == 0)
    task->started_at = now;
  task->confirmed_at = now;
  task->state = JB_RUN_RUNNING;
  jb_job_note_begun (job);
  record_clock (start, now, sent_at, reply);
  start->backend->next_probe = MIN (start->backend->next_probe, now);
  if (!pool->first_start_observed)
    {
      pool->first_start_observed = true;
      jb_observe_latency (pool->options.driver, JB_HIST_TAKEOVER,
                          now - pool->loading_since);
    }
  if (!job->start_observed)
    {
      job->start_observed = true;
      jb_observe_latency (pool->options.driver, JB_HIST_JOB_STARTED,
                          now - job->received_at);
    }
  jb_log (pool->options.driver, JB_LEVEL_DEBUG, "run-started", "task",
          jb_task_name (task, name), "run", jb_itoa (task->run), "backend",
          start->backend->instance, NULL);
  jb_pool_handle_run_update (pool, task, now);
}

/* The run of START is active, but it was given up before this answer.  Leave
   the start in doubt, so that its task starts nowhere else until the backend
   server has listed the run.  */
static void
keep_in_doubt (const struct start_request *start, jb_time now)
{
  start->backend->probe_urgent = true;
  start->backend->next_probe = MIN (start->backend->next_probe, now);
}

/* Log REPLY to START, whose run has no task any more, or which was sent to the
   previous incarnation of the backend server.  */
static void
log_unclaimed_reply (const struct start_request *start, jb_time now,
                     const struct jb_reply *reply)
{
  char name[JB_TASK_NAME_SIZE];

  jb_log (start->pool->options.driver, JB_LEVEL_INFO, "start-reply-unclaimed",
          "task", jb_task_ref_name (&start->ref, name), "run",
          jb_itoa (start->run), "backend", start->backend->instance, "result",
          jb_itoa (reply->result), "age_ms",
          jb_itoa ((now - start->sent_at) / JB_MS), "restarted",
          start->incarnation != start->backend->incarnation ? "yes" : "no",
          NULL);
}

/* Return the result of a start with REPLY.  That the last of several sendings
   was refused does not tell what became of the others.  */
static enum jb_reply_result
start_result (const struct jb_reply *reply)
{
  return reply->resent && reply->result != JB_RESULT_OK
                 && reply->result != JB_RESULT_GONE
             ? JB_RESULT_UNKNOWN
             : reply->result;
}

/* Return whether START was not sent in time, as REPLY shows.  */
static bool
was_too_late (const struct start_request *start, jb_time now,
              const struct jb_reply *reply)
{
  return reply->result == JB_RESULT_NOT_SENT
         || (reply->refusal == JB_REFUSAL_LEASE_EXPIRED
             && now - start->sent_at > JB_START_LEASE_MS * JB_MS);
}

static void
handle_start_reply (void *data, jb_time now, jb_time sent_at,
                    const struct jb_reply *reply)
{
  struct start_request *start = data;
  struct jb_pool *pool = start->pool;
  struct jb_backend *backend = start->backend;
  struct jb_task *task
      = jb_pool_find_run (pool, &start->ref, backend, start->run);
  enum jb_reply_result result = start_result (reply);
  char name[JB_TASK_NAME_SIZE];

  backend->starts_in_flight--;
  jb_start_window_remove (&pool->start_window, now, start->sent_at,
                          was_too_late (start, now, reply));
  if (reply->result != JB_RESULT_UNKNOWN
      && (reply->result != JB_RESULT_NOT_SENT
          || backend->starts_in_flight == 0))
    backend->awaited_since = 0;
  jb_pool_note_result (backend, now, &start->grant, reply);
  jb_task_ref_name (&start->ref, name);
  jb_pool_start_returned (pool, name, start->run, backend, start->sent_at);
  if (reply->resent)
    jb_pool_start_resent (pool, name, start->run, backend, start->sent_at, now,
                          result == JB_RESULT_OK);
  if (result == JB_RESULT_OK && task == NULL)
    keep_in_doubt (start, now);
  else if (result != JB_RESULT_UNKNOWN
           && !(result == JB_RESULT_OK && reply->resent))
    jb_pool_start_answered (pool, name, start->run, backend, start->sent_at,
                            result == JB_RESULT_OK);
  start->task = task;
  if (task == NULL || start->incarnation != backend->incarnation)
    {
      /* The run ended before its start was answered, or in which incarnation
         of the backend server the start was carried out isn't known.  */
      log_unclaimed_reply (start, now, reply);
      talloc_free (start);
      return;
    }
  switch (result)
    {
    case JB_RESULT_OK:
      if (task->state == JB_RUN_STARTING || task->state == JB_RUN_RUNNING)
        handle_start_ok (start, now, sent_at, reply);
      break;
    case JB_RESULT_GONE:
      jb_pool_clear_lost_runs (pool, backend, now, JB_LOSS_REPLACED);
      backend->unhealthy_until = now + UNHEALTHY_BACKOFF;
      break;
    case JB_RESULT_UNKNOWN:
      if (task->state == JB_RUN_STARTING)
        handle_start_unknown (start, now, reply);
      break;
    case JB_RESULT_NOT_SENT:
      if (task->state == JB_RUN_STARTING)
        handle_start_not_sent (start, now);
      break;
    default:
      if (task->state == JB_RUN_STARTING)
        {
          handle_start_refused (start, now, reply);
          if (reply->backend_clock_ms > 0)
            record_clock (start, now, sent_at, reply);
          if (reply->refusal == JB_REFUSAL_STALE_RUN
              && jb_pool_find_doubt (pool, task) != NULL)
            await_end (start, now);
          else
            jb_pool_clear_run (pool, task, now);
        }
      break;
    }
  talloc_free (start);
}

/* Return the number of the next run of TASK.  A run that may still be started
   late keeps its number, also if a former owner has chosen that, so that it is
   the same one.  The members of a gang need a number that is new to all.  Only
   the first run of TASK by an owner has the first of the owner's numbers.  */
static uint32_t
next_run_number (const struct jb_pool *pool, struct jb_task *task)
{
  uint32_t first_of_owner = (jb_ownership_generation (pool->ownership) - 1)
                                * JB_RUN_NUMBERS_PER_OWNER
                            + 1 + task->sent_by_owner;
  const struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);

  if (doubt != NULL && doubt->run >= task->run && !doubt->run_closed
      && !jb_task_step (task)->gang)
    return doubt->run;
  return MAX (task->run + 1, first_of_owner);
}

void
jb_pool_send_start (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  struct jb_backend *backend = task->backend;
  struct start_request *start = talloc_zero (backend, struct start_request);
  char name[JB_TASK_NAME_SIZE];
  struct jb_command command
      = { .kind = JB_COMMAND_START_TASK, .timeout_ms = START_TIMEOUT_MS };

  /* An acknowledgement that was sent before and is carried out late must not
     follow this start after a restart: it would drop the end of its run.  */
  if (backend->open_acks > 0)
    jb_pool_raise_fence (pool, backend, now);
  command.backend = jb_pool_target (pool, backend, false);
  start->pool = pool;
  start->backend = backend;
  start->incarnation = backend->incarnation;
  start->fence = command.backend.fence;
  start->run = task->run;
  start->sent_at = now;
  task->sent_by_owner = true;
  backend->starts_in_flight++;
  jb_start_window_add (&pool->start_window);
  if (backend->awaited_since == 0)
    backend->awaited_since = now;
  jb_pool_note_start_sent (pool, task, now);
  command.u.start_task.task = jb_task_name (task, name);
  jb_task_ref_parse (name, &start->ref);
  command.u.start_task.run = task->run;
  command.u.start_task.spec = task->group->job->desc->spec;
  start->grant = jb_pool_grant_start (backend, now,
                                      &command.u.start_task.lease_until_ms);
  command.u.start_task.checkpoint = task->checkpoint;
  command.u.start_task.ticket = jb_task_group_ticket (task->group, backend);
  jb_driver_submit (pool->options.driver, backend, now, &command,
                    handle_start_reply, start);
}

/* TASK is started while a run of a previous owner may be active on a silent
   backend server.  Count what that may use until the scan has ended, also if
   TASK is done before.  */
static void
count_copy (struct jb_pool *pool, struct jb_task *task)
{
  struct jb_job *job = task->group->job;

  if (task->may_have_copy)
    return;
  task->may_have_copy = true;
  jb_count_event (pool->options.driver, JB_COUNT_COPIES_STARTED);
  if (job->desc->org != NULL)
    jb_resources_add (&jb_pool_get_job_usage (pool, job)->copies,
                      &jb_task_step (task)->resources);
}

/* Assign TASK to BACKEND as run number RUN, and start it there.  */
static void
assign_and_start (struct jb_pool *pool, struct jb_task *task,
                  struct jb_backend *backend, uint32_t run, jb_time now)
{
  struct jb_job *job = task->group->job;

  if (job->loaded_from_store || task->is_awaited)
    count_copy (pool, task);
  jb_task_assign (task, backend, JB_RUN_STARTING);
  task->run = run;
  if (job->desc->org != NULL)
    jb_resources_add (&jb_pool_get_job_usage (pool, job)->used,
                      &jb_task_step (task)->resources);
  jb_pool_queue_start (pool, task, now);
}

/* Return whether nothing that is started on BACKEND could stay there.  */
static bool
is_leaving (const struct jb_pool *pool, const struct jb_backend *backend,
            jb_time now)
{
  return backend->draining || !backend->listed || now < backend->cordoned_until
         || !jb_pool_zone_is_usable (pool, backend);
}

void
jb_pool_repeat_start (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  const struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);
  /* No start of it can be carried out any more.  */
  bool is_over = doubt == NULL
                 && !jb_takeover_may_start_copies (jb_task_step (task))
                 && !jb_pool_has_disabled (pool, JB_SAFEGUARD_DOUBT);

  if (task->group->job->ended_at != 0 || task->done || is_over
      || is_leaving (pool, task->backend, now))
    jb_pool_stop_run (pool, task, now, "its start was not answered");
  else if ((doubt == NULL || jb_pool_may_repeat (doubt, now))
           && jb_pool_backend_is_usable (pool, task->backend, now)
           && jb_pool_may_command (pool, now))
    {
      jb_count_event (pool->options.driver, JB_COUNT_STARTS_REPEATED);
      task->state = JB_RUN_STARTING;
      jb_pool_queue_start (pool, task, now);
    }
}

/* ---- scheduling ---- */

bool
jb_pool_may_have_other_run (const struct jb_pool *pool,
                            const struct jb_task *task, jb_time now)
{
  return task->other_run_seen_at != 0
         && now - task->other_run_seen_at
                <= jb_backend_lease_time (pool->options.bounds->max_lease_ms);
}

/* Return whether TASK may start now: it has no run, not even another one that
   was seen or that a former owner has left on a silent backend server.  */
static bool
is_startable (const struct jb_pool *pool, const struct jb_task *task,
              jb_time now)
{
  return task->state == JB_RUN_NONE && !task->done
         && (!task->is_awaited
             || jb_takeover_may_start_copies (jb_task_step (task)))
         && !jb_pool_may_have_other_run (pool, task, now);
}

/* Return whether GROUP, whose tasks fit nowhere, must be ranked with the
   others because it needs advice, or because it may be noticed that its
   organisation's share is used up.  Until all tasks that want to start have
   started, the use does not exceed the sum of both.  */
static bool
matters_without_room (struct jb_pool *pool, const struct jb_task_group *group)
{
  struct jb_job *job = group->job;

  if (job->desc->needs_advice)
    return true;
  if (pool->quota_blocked || job->desc->org == NULL)
    return false;
  return jb_task_group_step (group)->gang
         || !jb_pool_covers_demand (pool, job);
}

/* Return whether the tasks of CLASS may be started.  MAY_COPY says whether all
   backend servers that answer were probed, so that copies of runs on the
   others may be started.  */
static bool
is_released (const struct jb_waiting_class *class, bool may_copy)
{
  return !class->is_loaded || (may_copy && class->may_copy);
}

/* Add the groups of CLASS to CANDIDATES.  */
static void
add_candidates (const struct jb_waiting_class *class,
                struct jb_candidates *candidates, jb_time now)
{
  GArray *members = g_array_sized_new (
      FALSE, FALSE, sizeof (struct jb_candidate), class->groups->len);

  for (guint i = 0; i < class->groups->len; i++)
    {
      const struct jb_waiting_group *waiting = jb_waiting_class_get (class, i);
      struct jb_candidate candidate
          = { waiting->group, jb_pool_rank_waiting (waiting, now) };

      g_array_append_val (members, candidate);
    }
  jb_candidates_add_class (
      candidates, (struct jb_candidate *)(void *)members->data, members->len);
  g_array_free (members, TRUE);
}

/* Return the task groups with tasks to start, owned by the caller.  Those of
   classes for which it makes no difference are left out: with a long queue,
   most of them fit nowhere.  */
static struct jb_candidates *
collect_candidates (struct jb_pool *pool, struct jb_place_room *room,
                    jb_time now)
{
  struct jb_candidates *candidates = jb_candidates_new (pool);
  bool may_copy = jb_pool_answering_are_probed (pool);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->waiting_classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_waiting_class *class = value;
      struct jb_task_group *first = jb_waiting_class_first (class);

      if (is_released (class, may_copy)
          && (jb_place_has_room (room, &first->tasks[0], pool->usable_backends,
                                 pool->usable_count)
              || matters_without_room (pool, first)))
        add_candidates (class, candidates, now);
    }
  return candidates;
}

/* Return whether no other group of GROUP's class can start in this cycle,
   nor be noticed to need a larger share: since there is no room, or since the
   organisation's share is used up, which is noticed already.  What a start in
   doubt uses may be left out of the latter; a gang may raise fencing tokens;
   and lookahead learns from each group.  */
static bool
is_class_over (struct jb_pool *pool, const struct jb_task_group *group,
               const struct jb_place_room *room)
{
  const struct jb_waiting_class *class = group->waiting_class;

  if (class->gang || class->needs_advice || class->has_doubts
      || pool->lookahead != NULL)
    return false;
  if (jb_place_is_hopeless (room, &group->tasks[0]))
    return !matters_without_room (pool, group);
  return pool->quota_blocked
         && !jb_pool_check_share (pool, group->job, &class->resources);
}

void
jb_pool_collect_usable_backends (struct jb_pool *pool, jb_time now)
{
  const GPtrArray *backends = jb_pool_list_backends (pool);

  talloc_free (pool->usable_backends);
  pool->usable_backends
      = talloc_array (pool, struct jb_backend *, backends->len + 1);
  pool->usable_count = 0;
  for (guint i = 0; i < backends->len; i++)
    {
      struct jb_backend *backend = g_ptr_array_index (backends, i);

      if (!jb_pool_backend_is_usable (pool, backend, now))
        continue;
      jb_pool_limit_fill (pool, backend, now);
      pool->usable_backends[pool->usable_count++] = backend;
    }
}

/* Return the backend server to start TASK on, or NULL when there is none.
   ROOM is that of this cycle, in which free capacity does not grow.  */
static struct jb_backend *
choose_backend (struct jb_pool *pool, struct jb_task *task,
                struct jb_place_room *room, jb_time now)
{
  struct jb_backend *backend;

  if (jb_pool_find_doubt (pool, task) != NULL)
    return jb_pool_choose_in_doubt (pool, task, now);
  if (pool->lookahead != NULL)
    return jb_reserve_choose (pool->lookahead->reserve, task,
                              &pool->lookahead->rank, room, now);
  if (jb_place_is_hopeless (room, task))
    return NULL;
  backend = jb_place_choose (task, pool->usable_backends, pool->usable_count,
                             task->last_failed_backend, now);
  if (backend == NULL)
    jb_place_has_room (room, task, pool->usable_backends, pool->usable_count);
  return backend;
}

/* Note that GROUP needs RESOURCES in addition to the share, if there is room
   for TASK, one of its tasks.  */
static void
note_need (struct jb_pool *pool, const struct jb_task_group *group,
           const struct jb_task *task, const struct jb_resources *resources,
           struct jb_place_room *room)
{
  if (jb_place_has_room (room, task, pool->usable_backends,
                         pool->usable_count))
    jb_pool_note_need (pool, group->job, resources);
}

/* Start the tasks of GROUP that fit somewhere.  Return the number of started
   tasks.  ROOM is that of this cycle.  */
static uint32_t
start_group (struct jb_pool *pool, struct jb_task_group *group,
             struct jb_place_room *room, jb_time now)
{
  struct jb_resources resources = jb_task_group_step (group)->resources;
  uint32_t started = 0;

  for (uint32_t i = 0; i < group->task_count; i++)
    {
      struct jb_task *task = &group->tasks[i];
      struct jb_backend *backend;

      if (!is_startable (pool, task, now))
        continue;
      if (jb_pool_find_doubt (pool, task) != NULL)
        {
          if (!jb_pool_check_share_in_doubt (pool, group->job, &resources))
            break;
        }
      else if (!jb_pool_check_share (pool, group->job, &resources))
        {
          note_need (pool, group, task, &resources, room);
          break;
        }
      backend = choose_backend (pool, task, room, now);
      if (backend == NULL && task->in_doubt)
        continue;
      if (backend == NULL)
        break; /* the remaining tasks have the same size */
      assign_and_start (pool, task, backend, next_run_number (pool, task),
                        now);
      if (pool->lookahead != NULL)
        jb_reserve_task_started (pool->lookahead->reserve, task,
                                 &pool->lookahead->rank, now);
      started++;
    }
  return started;
}

/* Return the resources that COUNT tasks of GROUP need.  */
static struct jb_resources
sum_resources (const struct jb_task_group *group, uint32_t count)
{
  struct jb_resources resources = jb_task_group_step (group)->resources;

  resources.cpu_milli *= count;
  resources.memory_mb *= count;
  resources.accelerators *= count;
  return resources;
}

/* Return whether the gang GROUP may start within the share of its
   organisation.  What its members in doubt need is part of what the
   organisation uses.  ROOM is that of this cycle.  */
static bool
check_share_of_gang (struct jb_pool *pool, const struct jb_task_group *group,
                     struct jb_place_room *room)
{
  struct jb_resources all = sum_resources (group, group->task_count);
  struct jb_resources others;
  uint32_t in_doubt = 0;

  for (uint32_t i = 0; i < group->task_count; i++)
    in_doubt += jb_pool_find_doubt (pool, &group->tasks[i]) != NULL;
  others = sum_resources (group, group->task_count - in_doubt);
  if (in_doubt < group->task_count
      && !jb_pool_check_share (pool, group->job, &others))
    {
      note_need (pool, group, &group->tasks[0], &others, room);
      return false;
    }
  return jb_pool_check_share_in_doubt (pool, group->job, &all);
}

/* Start all tasks of the gang GROUP if all fit at the same time, else none.
   Return the number of started tasks.  ROOM is that of this cycle.  */
static uint32_t
start_gang (struct jb_pool *pool, struct jb_task_group *group,
            struct jb_place_room *room, jb_time now)
{
  /* What finds no room beside other tasks of the gang may find some after they
     were given up, so only what the first one finds counts for others.  */
  struct jb_place_room room_of_gang;
  struct jb_resources resources = sum_resources (group, group->task_count);
  uint32_t run = 0;
  uint32_t placed = 0;

  if (group->active_runs > 0) /* all previous runs must end first */
    return 0;
  for (uint32_t i = 0; i < group->task_count; i++)
    if (!is_startable (pool, &group->tasks[i], now)
        || !jb_pool_try_renumber (pool, &group->tasks[i], now))
      return 0;
  if (!check_share_of_gang (pool, group, room))
    return 0;
  while (placed < group->task_count)
    {
      struct jb_task *task = &group->tasks[placed];
      struct jb_backend *backend = choose_backend (
          pool, task, placed == 0 ? room : &room_of_gang, now);

      if (backend == NULL)
        break;
      if (placed == 0)
        room_of_gang = *room;
      run = MAX (run, next_run_number (pool, task));
      jb_task_assign (task, backend, JB_RUN_STARTING);
      placed++;
    }
  if (placed < group->task_count)
    {
      while (placed-- > 0)
        jb_task_unassign (&group->tasks[placed], now);
      return 0;
    }
  if (group->job->desc->org != NULL)
    jb_resources_add (&jb_pool_get_job_usage (pool, group->job)->used,
                      &resources);
  for (uint32_t i = 0; i < group->task_count; i++)
    {
      group->tasks[i].run = run;
      jb_pool_queue_start (pool, &group->tasks[i], now);
      if (pool->lookahead != NULL)
        jb_reserve_task_started (pool->lookahead->reserve, &group->tasks[i],
                                 &pool->lookahead->rank, now);
    }
  return group->task_count;
}

/* Insert CANDIDATE into the COUNT FIRST ones, which are ordered by rank and of
   which LIMIT are kept.  Return the new count.  */
static uint32_t
insert_candidate (struct jb_candidate *first, uint32_t count, uint32_t limit,
                  const struct jb_candidate *candidate)
{
  uint32_t i = count;

  if (count == limit
      && jb_candidate_compare (&first[count - 1], candidate) <= 0)
    return count;
  if (count == limit)
    i--;
  else
    count++;
  for (; i > 0 && jb_candidate_compare (&first[i - 1], candidate) > 0; i--)
    first[i] = first[i - 1];
  first[i] = *candidate;
  return count;
}

/* Reserve room for the first groups that still wait, if it is time for
   that.  */
static void
plan_reservations (struct jb_pool *pool, jb_time now)
{
  /* Some of them may not be able to get one.  */
  struct jb_candidate first[2 * JB_RESERVE_MAX];
  bool may_copy = jb_pool_answering_are_probed (pool);
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  if (!jb_pool_lookahead_plan (pool, now))
    return;
  jb_pool_update_sums (pool);
  g_hash_table_iter_init (&iter, pool->waiting_classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_waiting_class *class = value;

      for (guint i = 0;
           is_released (class, may_copy) && i < class->groups->len; i++)
        {
          const struct jb_waiting_group *waiting
              = jb_waiting_class_get (class, i);
          struct jb_candidate candidate = { .group = waiting->group };

          if (!jb_pool_may_reserve (pool, waiting->group, now))
            continue;
          candidate.rank = jb_pool_rank_waiting (waiting, now);
          count = insert_candidate (first, count, G_N_ELEMENTS (first),
                                    &candidate);
        }
    }
  for (uint32_t i = 0; i < count; i++)
    jb_pool_reserve (pool, first[i].group, &first[i].rank, now);
}

/* Rank the groups that have reservations.  */
static void
rank_reservations (struct jb_pool *pool, jb_time now)
{
  struct jb_reserve *reserve = pool->lookahead->reserve;

  for (uint32_t i = 0; i < jb_reserve_count (reserve); i++)
    {
      struct jb_reservation *reservation = jb_reserve_get (reserve, i);

      reservation->rank = jb_pool_rank_group (pool, reservation->group, now);
    }
}

/* Start tasks of CANDIDATES, the first ones first, until at least LIMIT are
   started.  Return their number.  ROOM is that of this cycle.  */
static uint32_t
start_candidates (struct jb_pool *pool, struct jb_candidates *candidates,
                  struct jb_place_room *room, uint32_t limit, jb_time now)
{
  const struct jb_candidate *candidate;
  uint32_t started = 0;

  while (started < limit
         && (candidate = jb_candidates_take (candidates)) != NULL)
    {
      struct jb_task_group *group = candidate->group;

      if (!jb_pool_ensure_advice (pool, group, now))
        continue;
      if (pool->lookahead != NULL)
        pool->lookahead->rank = candidate->rank;
      started += jb_task_group_step (group)->gang
                     ? start_gang (pool, group, room, now)
                     : start_group (pool, group, room, now);
      if (is_class_over (pool, group, room))
        jb_candidates_drop_class (candidates);
    }
  return started;
}

void
jb_pool_schedule (struct jb_pool *pool, jb_time now)
{
  struct jb_place_room room = { 0 };
  struct jb_candidates *candidates;
  uint32_t queued = jb_pool_count_queued_starts (pool);
  uint32_t limit = jb_start_window_room (&pool->start_window);
  uint32_t started;

  if (!pool->schedule_due || now < pool->next_schedule
      || queued >= MAX_STARTS_PER_CYCLE || !jb_pool_may_command (pool, now))
    return;
  pool->next_schedule = now + SCHEDULE_MIN_INTERVAL;
  if (queued >= limit)
    return;
  limit = MIN (limit - queued, MAX_STARTS_PER_CYCLE);
  pool->schedule_due = false;
  jb_pool_collect_usable_backends (pool, now);
  jb_pool_forget_needs (pool);
  if (pool->usable_count == 0)
    return;
  jb_pool_update_usage (pool);
  jb_pool_select_jobs (pool, now);
  jb_pool_update_sums (pool);
  if (jb_pool_lookahead_begin (pool, now))
    rank_reservations (pool, now);
  candidates = collect_candidates (pool, &room, now);
  started = start_candidates (pool, candidates, &room, limit, now);
  if (started >= limit)
    pool->schedule_due = true;
  else if (pool->lookahead != NULL)
    plan_reservations (pool, now);
  talloc_free (candidates);
}
