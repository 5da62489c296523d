/* Probes of backend servers: the answer lists the active and the ended runs.

   A probe is a long poll: the backend server answers when a run ends, or after
   JB_PROBE_WAIT_MS, so an end is known at once.  A backend server without runs
   is not probed.  The lease of all runs there is extended by probes of its
   own, without a wait (jb_pool_grant.c).  A backend server that does not
   answer gets no further lease: once its last lease has certainly expired, and
   a probe that was sent after that was not answered, its tasks may be started
   elsewhere.  */

#include "jb_crash.h"
#include "jb_pool_internal.h"
#include "jb_takeover.h"

#include <string.h>

/* Time for an answer in addition to the requested delay.  It is short, since
   some answers are lost, and then ended runs are unknown until the next
   probe.  */
#define PROBE_TIMEOUT_MS 250

/* Minimum time between two probes of a backend server, so that one answer
   reports all ends of runs that are close to each other.  */
#define PROBE_MIN_INTERVAL (25 * JB_MS)

/* The same while ends must not be acknowledged: each answer lists them.  */
#define HELD_INTERVAL (50 * JB_MS)

/* Time within which a command is answered as long as nothing fails.  */
#define USUAL_ANSWER_TIME (20 * JB_MS)

/* Delay of the next probe of a backend server that does not answer, before and
   after its lease has expired.  */
#define UNANSWERED_RETRY_INTERVAL (150 * JB_MS)
#define EXPIRED_RETRY_INTERVAL (1000 * JB_MS)

/* The same while it is watched for a restart: a late start may follow that at
   once.  */
#define WATCHED_RETRY_INTERVAL (25 * JB_MS)

/* How long a probe waits for an end of a run meanwhile.  A restart may leave
   it without an answer.  */
#define WATCHED_WAIT_MS 250

/* While reported ends of runs wait to be stored, the next probe waits as well,
   so that it can acknowledge them, but at most for this time after the last
   one.  */
#define MAX_PROBE_INTERVAL (1000 * JB_MS)

/* A backend server gets no starts for SUSPECT_PERIOD after this number of
   different jobs failed there in a row, without a success between.  */
enum
{
  SUSPECT_AFTER_FAILED_JOBS = 2
};
#define SUSPECT_PERIOD (3000 * JB_MS)

/* Weight of the newest task in the moving average of a queue's ratios of
   actual to estimated run time, and the bounds of a single ratio.  */
#define DURATION_RATIO_WEIGHT 0.05
#define MIN_DURATION_RATIO 0.1
#define MAX_DURATION_RATIO 10

/* ---- ended runs ---- */

/* Record CHECKPOINT as the newest one of TASK, unless it is NULL or empty.  */
static void
update_checkpoint (struct jb_task *task, const char *checkpoint)
{
  if (checkpoint == NULL || checkpoint[0] == '\0'
      || g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return;
  talloc_free (task->checkpoint);
  task->checkpoint = talloc_strdup (task->group, checkpoint);
}

/* Mark TASK as done, or if it belongs to a gang, all tasks of the gang.  */
static void
mark_done (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  struct jb_task_group *group = task->group;

  if (!jb_task_step (task)->gang)
    jb_task_mark_done (task);
  for (uint32_t i = 0; jb_task_step (task)->gang && i < group->task_count; i++)
    jb_task_mark_done (&group->tasks[i]);
  jb_pool_mark_dirty (pool, group->job, now);
  jb_job_update_ready_groups (group->job, group->occurrence);
}

/* Update the mean ratio of actual to estimated run time of TASK's queue after
   the current run of TASK has succeeded.  */
static void
update_duration_ratio (struct jb_pool *pool, const struct jb_task *task,
                       jb_time now)
{
  struct jb_queue_stats *stats
      = jb_pool_get_queue_stats (pool, task->group->job->desc->queue);
  int64_t estimate = jb_task_step (task)->estimate_ms;
  double ratio;

  if (estimate <= 0 || task->started_at == 0)
    return;
  ratio = (double)(now - task->started_at) / (double)(estimate * JB_MS);
  stats->duration_ratio
      = (1 - DURATION_RATIO_WEIGHT) * stats->duration_ratio
        + DURATION_RATIO_WEIGHT
              * CLAMP (ratio, MIN_DURATION_RATIO, MAX_DURATION_RATIO);
}

/* Count the different jobs that failed on BACKEND in a row, and start nothing
   there for a while when there are too many.  */
static void
update_backend_health (struct jb_pool *pool, struct jb_backend *backend,
                       struct jb_task *task, enum jb_run_outcome outcome,
                       jb_time now)
{
  if (outcome == JB_OUTCOME_DONE)
    {
      backend->consecutive_failed_jobs = 0;
      backend->last_failed_job = NULL;
      return;
    }
  if (outcome != JB_OUTCOME_FAILED
      || backend->last_failed_job == task->group->job->desc)
    return;
  backend->last_failed_job = task->group->job->desc;
  if (++backend->consecutive_failed_jobs < SUSPECT_AFTER_FAILED_JOBS)
    return;
  backend->suspect_until = now + SUSPECT_PERIOD;
  jb_log (pool->options.driver, JB_LEVEL_WARN, "backend-suspected", "backend",
          backend->instance, "pool", pool->options.name, "reason",
          "different jobs failed there in a row", NULL);
}

const char *
jb_run_outcome_name (enum jb_run_outcome outcome)
{
  static const char *const names[] = {
    [JB_OUTCOME_DONE] = "done",          [JB_OUTCOME_FAILED] = "failed",
    [JB_OUTCOME_STOPPED] = "stopped",    [JB_OUTCOME_LEASE_EXPIRED] = "lapsed",
    [JB_OUTCOME_GANG_BROKEN] = "broken", [JB_OUTCOME_GANG_INCOMPLETE] = "alone"
  };

  return names[outcome];
}

static void
count_run_end (struct jb_pool *pool, enum jb_run_outcome outcome)
{
  static const enum jb_counter counters[]
      = { [JB_OUTCOME_DONE] = JB_COUNT_END_DONE,
          [JB_OUTCOME_FAILED] = JB_COUNT_END_FAILED,
          [JB_OUTCOME_STOPPED] = JB_COUNT_END_STOPPED,
          [JB_OUTCOME_LEASE_EXPIRED] = JB_COUNT_END_LEASE_EXPIRED,
          [JB_OUTCOME_GANG_BROKEN] = JB_COUNT_END_GANG_BROKEN,
          [JB_OUTCOME_GANG_INCOMPLETE] = JB_COUNT_END_GANG_INCOMPLETE };

  jb_count_event (pool->options.driver, counters[outcome]);
}

/* Count the failure of a run of TASK, once however often it is reported.
   Failures in a gang are counted at its first task.  */
static void
record_failure (struct jb_pool *pool, struct jb_task *task, uint32_t run,
                jb_time now)
{
  struct jb_task *failure_counter
      = jb_task_step (task)->gang ? &task->group->tasks[0] : task;

  if (jb_pool_has_disabled (pool, JB_SAFEGUARD_FAILED_RUNS)
      && failure_counter->failures > 0
      && run < failure_counter->failed_runs[failure_counter->failures - 1])
    return;
  if (jb_task_record_failure (failure_counter, run))
    jb_pool_mark_dirty (pool, task->group->job, now);
}

/* Return the task of JOB that REF, reported by a backend server, identifies,
   or NULL.  If its occurrence is not open yet, it is opened: a previous owner,
   whose clock was ahead, has started it.  */
static struct jb_task *
open_and_find_task (const struct jb_pool *pool, struct jb_job *job,
                    const struct jb_task_ref *ref)
{
  if (!jb_pool_has_disabled (pool, JB_SAFEGUARD_OCCURRENCES)
      && job->ended_at == 0)
    jb_job_open_occurrences_up_to (job, ref->occurrence);
  return jb_job_find_task (job, ref);
}

/* Process ENDED_RUN, which BACKEND reported.  */
static void
process_ended_run (struct jb_pool *pool, struct jb_backend *backend,
                   const struct jb_ended_run *ended_run, jb_time now)
{
  struct jb_task_ref ref;
  struct jb_job *job;
  struct jb_task *task;
  bool long_running;

  count_run_end (pool, ended_run->outcome);
  jb_pool_end_listed (pool, backend, ended_run);
  if (!jb_task_ref_parse (ended_run->task, &ref))
    return;
  job = g_hash_table_lookup (pool->jobs, ref.id);
  task = job != NULL ? open_and_find_task (pool, job, &ref) : NULL;
  if (task == NULL || task->backend != backend || task->run != ended_run->run)
    jb_pool_check_late_run (pool, backend, ended_run->task, ended_run->run,
                            &ended_run->outcome, now);
  if (task == NULL)
    return;
  long_running = jb_task_step (task)->long_running;
  if (ended_run->run == task->other_run)
    task->other_run_seen_at = 0;
  task->run = MAX (task->run, ended_run->run);
  task->ever_started = true;
  jb_job_note_begun (job);
  update_checkpoint (task, ended_run->checkpoint);
  update_backend_health (pool, backend, task, ended_run->outcome, now);
  jb_log (pool->options.driver,
          ended_run->outcome == JB_OUTCOME_DONE ? JB_LEVEL_DEBUG
                                                : JB_LEVEL_INFO,
          "run-ended", "task", ended_run->task, "run",
          jb_itoa (ended_run->run), "backend", backend->instance, "outcome",
          jb_run_outcome_name (ended_run->outcome), "born",
          jb_itoa (backend->started_unix_ms), NULL);
  if (ended_run->outcome == JB_OUTCOME_FAILED)
    task->last_failed_backend = backend;
  if (ended_run->outcome == JB_OUTCOME_FAILED && !long_running)
    record_failure (pool, task, ended_run->run, now);
  if (ended_run->outcome == JB_OUTCOME_DONE && !long_running
      && job->ended_at == 0)
    {
      if (task->backend == backend && task->run == ended_run->run)
        {
          update_duration_ratio (pool, task, now);
          jb_pool_record_duration (pool, task, now);
        }
      mark_done (pool, task, now);
    }
  if (task->state != JB_RUN_NONE && task->backend == backend
      && task->run == ended_run->run)
    jb_pool_clear_run (pool, task, now);
  else
    {
      if (task->done && task->state != JB_RUN_NONE)
        jb_pool_stop_run (pool, task, now, "another run of the task is done");
      jb_pool_handle_run_update (pool, task, now);
    }
}

/* ---- active runs ---- */

/* Process ACTIVE_RUN, which BACKEND reported in the answer to a probe sent at
   SENT_AT: update its task, or stop the run when no job needs it.  */
static void
process_active_run (struct jb_pool *pool, struct jb_backend *backend,
                    const struct jb_active_run *active_run, jb_time sent_at,
                    jb_time now)
{
  struct jb_task_ref ref;
  struct jb_job *job = NULL;
  struct jb_task *task = NULL;

  jb_pool_run_listed (pool, backend, active_run->task, active_run->run);
  if (jb_task_ref_parse (active_run->task, &ref))
    job = g_hash_table_lookup (pool->jobs, ref.id);
  if (job != NULL && job->ended_at == 0)
    task = open_and_find_task (pool, job, &ref);
  if (task == NULL || task->backend != backend || task->run != active_run->run)
    jb_pool_check_late_run (pool, backend, active_run->task, active_run->run,
                            NULL, now);
  if (task == NULL || task->done)
    {
      /* A run that was told to stop is listed until it has ended.  */
      if (task == NULL && job != NULL)
        task = jb_job_find_task (job, &ref);
      if (task != NULL && task->backend == backend
          && task->run == active_run->run)
        {
          task->reported_at = now;
          if (task->state != JB_RUN_STOPPING)
            {
              task->state = JB_RUN_RUNNING; /* its start was carried out */
              jb_pool_stop_run (pool, task, now, "no job needs it");
            }
        }
      else if (task == NULL || task->state != JB_RUN_STOPPING)
        jb_pool_stop_orphaned_run (pool, backend, active_run->task,
                                   active_run->run, now);
      else
        task->reported_at = now;
      return;
    }
  if (task->state == JB_RUN_NONE && active_run->run >= task->run)
    {
      jb_task_assign (task, backend, JB_RUN_RUNNING);
      task->run = active_run->run;
      task->inherited = true;
      task->started_at = now;
      jb_job_note_begun (job);
      task->confirmed_at = now;
      jb_log (pool->options.driver, JB_LEVEL_INFO, "run-found", "task",
              active_run->task, "run", jb_itoa (active_run->run), "backend",
              backend->instance, "born", jb_itoa (backend->started_unix_ms),
              NULL);
    }
  if (task->backend != backend || task->run != active_run->run)
    {
      task->other_run = active_run->run;
      task->other_run_seen_at = now;
      jb_pool_stop_orphaned_run (pool, backend, active_run->task,
                                 active_run->run, now);
      return;
    }
  if (task->state == JB_RUN_UNCONFIRMED || task->state == JB_RUN_STARTING)
    {
      task->state = JB_RUN_RUNNING;
      task->started_at = now;
      jb_job_note_begun (job);
      task->confirmed_at = now;
    }
  if (job->loaded_from_store)
    jb_takeover_record_active (
        task, sent_at,
        jb_pool_has_disabled (pool, JB_SAFEGUARD_LISTED_AFTER_COMMANDS)
            ? 0
            : pool->predecessor_until);
  update_checkpoint (task, active_run->checkpoint);
  if (task->started_at != 0
      && now - task->started_at >= JB_CRASH_EARLY_MS * JB_MS
      && jb_crash_prove (task))
    jb_pool_mark_dirty (pool, job, now);
  task->ready_percent = active_run->ready_percent;
  if (jb_task_step (task)->long_running && task->ready_percent >= 100
      && jb_crash_clear (task))
    jb_pool_mark_dirty (pool, job, now);
  task->usage = active_run->usage;
  task->reported_at = now;
}

/* Clear the runs on BACKEND that are missing from the answer to a probe sent
   at SENT_AT, if the last command for the run had been answered before that.
   Start the missing runs whose start was not answered again.  */
static void
clear_unlisted_runs (struct jb_pool *pool, struct jb_backend *backend,
                     jb_time sent_at, jb_time now)
{
  struct jb_task *next;

  for (struct jb_task *task = backend->tasks; task != NULL; task = next)
    {
      char name[JB_TASK_NAME_SIZE];

      next = task->next_on_backend;
      if (task->reported_at != now && task->state == JB_RUN_UNCONFIRMED
          && task->confirmed_at == 0 && sent_at >= task->last_attempt_at)
        jb_pool_repeat_start (pool, task, now);
      if (task->reported_at == now || task->confirmed_at == 0
          || task->confirmed_at > sent_at)
        continue;
      jb_count_event (pool->options.driver, JB_COUNT_END_VANISHED);
      jb_log (pool->options.driver, JB_LEVEL_WARN, "run-vanished", "task",
              jb_task_name (task, name), "run", jb_itoa (task->run), "backend",
              backend->instance, "born", jb_itoa (backend->started_unix_ms),
              NULL);
      jb_pool_remember_given_up (
          pool, task, now,
          task->started_at == 0 ? JB_LOSS_START_UNANSWERED : JB_LOSS_UNLISTED);
      jb_pool_clear_run (pool, task, now);
    }
}

/* ---- probes ---- */

/* A probe in flight.  */
struct probe
{
  struct jb_pool *pool;
  struct jb_backend *backend;
  uint32_t incarnation; /* of the backend server, as known when it was sent */
  uint64_t fence;
  uint64_t acked_end;    /* number of the last end that it acknowledges */
  struct jb_grant grant; /* of the full lease, or none */
  jb_time wait;          /* for its answer, as requested */
};

void
jb_pool_suspect_restart (struct jb_pool *pool, struct jb_backend *backend,
                         jb_time now)
{
  backend->probed = false;
  backend->probe_urgent = true;
  backend->next_probe = now;
  /* A lease on the former clock is as long as possible on the new one.  */
  jb_backend_expect_other_clock (backend, now,
                                 pool->options.bounds->max_lease_ms);
  jb_pool_note_long_lease (pool);
}

/* BACKEND has restarted, as REPLY shows: discard what is known about its
   previous incarnation.  Commands that were sent to that may have been carried
   out in the new one, such as starts, and still may be, until it has seen the
   raised fencing token.  So all runs stay where they are until it has answered
   with that.  */
static void
begin_incarnation (struct jb_pool *pool, struct jb_backend *backend,
                   jb_time now, const struct jb_reply *reply)
{
  jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-restarted", "backend",
          backend->instance, "pool", pool->options.name, "runs",
          jb_itoa (backend->task_count), "born",
          jb_itoa (reply->started_unix_ms), "former_born",
          jb_itoa (backend->started_unix_ms), NULL);
  backend->former_started_unix_ms = backend->started_unix_ms;
  jb_pool_raise_fence (pool, backend, now);
  backend->incarnation = ++pool->last_incarnation;
  backend->may_get_old_commands = true;
  backend->restart_seen_at = now;
  jb_pool_note_restart (pool, now);
  jb_ownership_verify (pool->ownership, now);
  backend->started_unix_ms = reply->started_unix_ms;
  backend->processed_end = 0;
  backend->stored_end = 0;
  backend->acked_end = 0;
  backend->ends_listed = false;
  backend->held_from = 0;
  backend->awaited_since = 0;
  backend->granted_at = 0;
  backend->grant_sent_at = 0;
  backend->grant_open = false;
  backend->grant_due = false;
  backend->probe_clock_ms = 0;
  backend->consecutive_failed_jobs = 0;
  backend->cordoned_until = 0;
  backend->orphan_seen_at = 0;
  backend->unanswered_probes = 0;
  jb_backend_record_clock (backend, now, reply->backend_clock_ms);
  jb_pool_suspect_restart (pool, backend, now);
  /* It doesn't know of any stop.  */
  for (struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    if (task->state == JB_RUN_STOPPING)
      task->confirmed_at = 0;
}

/* BACKEND has answered for the first time after a restart: what was sent to
   its previous incarnation can't be carried out any more.  Clear the runs that
   the answer, which was processed, doesn't list.  */
static void
finish_restart (struct jb_pool *pool, struct jb_backend *backend, jb_time now)
{
  backend->may_get_old_commands = false;
  jb_backend_expect_lease (backend, now, pool->options.bounds->max_lease_ms);
  jb_pool_note_long_lease (pool);
  jb_pool_clear_lost_runs (pool, backend, now, JB_LOSS_RESTARTED);
}

static void
handle_probe_ok (struct jb_pool *pool, struct probe *probe, jb_time sent_at,
                 jb_time now, const struct jb_reply *reply)
{
  struct jb_backend *backend = probe->backend;

  jb_count_event (pool->options.driver, JB_COUNT_PROBES_ANSWERED);
  if (backend->unanswered_probes >= JB_SILENT_AFTER_PROBES)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-answers-again",
            "backend", backend->instance, "pool", pool->options.name, NULL);
  if (jb_backend_has_restarted (backend, reply->started_unix_ms))
    {
      begin_incarnation (pool, backend, now, reply);
      return;
    }
  if (pool->losses->len > 0 && !backend->may_get_old_commands)
    jb_pool_dismiss_losses (pool, backend->instance);
  /* Answers to two probes may arrive in the wrong order: ignore this one if a
     newer one was processed.  */
  if (reply->backend_clock_ms < backend->probe_clock_ms)
    return;
  backend->probe_clock_ms = reply->backend_clock_ms;
  if (backend->clock_received_at == 0)
    jb_pool_expect_left_lease (pool, backend, now, reply->backend_clock_ms);
  jb_backend_record_clock (backend, now, reply->backend_clock_ms);
  backend->unanswered_probes = 0;
  backend->awaited_since = 0;
  backend->probe_answered_at = now;
  backend->asked_at = sent_at;
  if (!backend->probed && !backend->in_roster)
    pool->roster_dirty = true;
  backend->probed = true;
  backend->ends_listed = backend->ends_listed || !reply->more_ended_runs;
  jb_pool_notice_host_kept (pool, backend, sent_at);
  if (backend->excluded_from_roster && now >= backend->cordoned_until)
    jb_pool_return_to_roster (pool, backend);
  backend->acked_end = MAX (backend->acked_end, probe->acked_end);
  backend->orphan_seen_at = 0;
  for (uint32_t i = 0; i < reply->active_run_count; i++)
    process_active_run (pool, backend, &reply->active_runs[i], sent_at, now);
  for (uint32_t i = 0; i < reply->ended_run_count; i++)
    if (reply->ended_runs[i].number > backend->processed_end)
      process_ended_run (pool, backend, &reply->ended_runs[i], now);
  for (uint32_t i = 0; i < reply->ended_run_count; i++)
    backend->processed_end
        = MAX (backend->processed_end, reply->ended_runs[i].number);
  /* With more ends than are listed, a run that isn't listed may have ended. It
     is listed once those before it have been acknowledged.  */
  if (!reply->more_ended_runs)
    {
      if (backend->may_get_old_commands)
        finish_restart (pool, backend, now);
      clear_unlisted_runs (pool, backend, sent_at, now);
    }
  jb_pool_throttle_backend (pool, backend, now);
  backend->next_probe
      = sent_at
        + (jb_pool_holds_ends (backend) ? HELD_INTERVAL : PROBE_MIN_INTERVAL);
  if (jb_pool_has_disabled (pool, JB_SAFEGUARD_STORE_BEFORE_ACK))
    backend->stored_end = backend->processed_end;
  jb_pool_mark_ends_stored (pool, now);
  jb_pool_finish_scan_if_complete (pool, now);
  pool->release_check_due = true;
}

static void
handle_probe_failure (struct jb_pool *pool, const struct probe *probe,
                      jb_time now, jb_time sent_at,
                      const struct jb_reply *reply)
{
  struct jb_backend *backend = probe->backend;
  /* Two probes that were in flight side by side have met one silence.  */
  bool counts
      = backend->unanswered_probes == 0 || sent_at >= backend->unanswered_at;

  jb_log (pool->options.driver, JB_LEVEL_INFO, "probe-unanswered", "backend",
          backend->instance, "runs", jb_itoa (backend->task_count),
          "unanswered", jb_itoa (backend->unanswered_probes + counts),
          "age_ms", jb_itoa ((now - sent_at) / JB_MS), "sent_after_ms",
          jb_itoa (reply->sent_after_ms), "awaited_ms",
          jb_itoa (reply->awaited_ms), "lease_expires_in_ms",
          jb_itoa ((jb_backend_leases_expire_at (backend) - now) / JB_MS),
          NULL);
  jb_count_event (pool->options.driver, JB_COUNT_PROBES_UNANSWERED);
  if (counts && ++backend->unanswered_probes == JB_SILENT_AFTER_PROBES)
    jb_log (pool->options.driver, JB_LEVEL_WARN, "backend-silent", "backend",
            backend->instance, "pool", pool->options.name, "runs",
            jb_itoa (backend->task_count), "lease_expires_in_ms",
            jb_itoa ((jb_backend_leases_expire_at (backend) - now) / JB_MS),
            NULL);
  if (counts)
    {
      backend->unanswered_at = now;
      backend->next_probe = now + UNANSWERED_RETRY_INTERVAL;
    }
  /* The next probe does not wait for the long poll beside the grant.  */
  if (probe->grant.number != 0)
    backend->probe_urgent = true;
  /* Only a probe that was sent after the lease had expired tells that nothing
     is there any more: others may be old, if this host was late.  */
  if (backend->clock_received_at != 0
      && (sent_at > jb_backend_leases_expire_at (backend)
          || jb_pool_has_disabled (pool, JB_SAFEGUARD_LEASE_EXPIRY)))
    {
      jb_pool_clear_lost_runs (pool, backend, now, JB_LOSS_LEASE_EXPIRED);
      if (backend->task_count == 0)
        {
          jb_pool_remove_from_roster (pool, backend);
          backend->next_probe = now + EXPIRED_RETRY_INTERVAL;
        }
    }
  /* During the scan jobs wait for its answer, which may just have been lost.
   */
  else if (backend->clock_received_at == 0
           && !(pool->stage == JB_STAGE_SCANNING
                && jb_pool_awaits_backend (backend))
           && !jb_pool_is_held_backend (pool, backend))
    backend->next_probe = now + EXPIRED_RETRY_INTERVAL;
  if (jb_pool_is_watched (pool, backend, now))
    backend->next_probe = now + WATCHED_RETRY_INTERVAL;
}

/* A probe of BACKEND was not sent in time: send one at once.  Only one that
   was sent tells whether BACKEND is silent.  */
static void
handle_probe_not_sent (struct jb_pool *pool, struct jb_backend *backend,
                       jb_time now, jb_time sent_at)
{
  jb_count_event (pool->options.driver, JB_COUNT_PROBES_NOT_SENT);
  jb_log (pool->options.driver, JB_LEVEL_INFO, "probe-not-sent", "backend",
          backend->instance, "runs", jb_itoa (backend->task_count), "age_ms",
          jb_itoa ((now - sent_at) / JB_MS), "lease_expires_in_ms",
          jb_itoa ((jb_backend_leases_expire_at (backend) - now) / JB_MS),
          NULL);
  backend->next_probe = now;
}

static void
handle_probe_reply (void *data, jb_time now, jb_time sent_at,
                    const struct jb_reply *reply)
{
  struct probe *probe = data;
  struct jb_pool *pool = probe->pool;
  struct jb_backend *backend = probe->backend;

  if (probe->grant.number != 0)
    {
      backend->grant_in_flight = false;
      jb_pool_note_list_changed (pool);
    }
  else
    backend->probes_in_flight--;
  if (probe->acked_end != 0 && reply->result != JB_RESULT_UNKNOWN
      && !reply->resent && probe->fence == jb_pool_fence_at (pool, backend))
    backend->open_acks--;
  jb_pool_note_result (backend, now, &probe->grant, reply);
  if (probe->incarnation != backend->incarnation)
    {
      talloc_free (probe);
      return;
    }
  if (reply->result == JB_RESULT_OK)
    handle_probe_ok (pool, probe, sent_at, now, reply);
  else if (reply->result == JB_RESULT_GONE)
    {
      jb_pool_clear_lost_runs (pool, backend, now, JB_LOSS_REPLACED);
      jb_pool_remove_from_roster (pool, backend);
      backend->next_probe = now + EXPIRED_RETRY_INTERVAL;
      backend->unanswered_probes
          = MAX (backend->unanswered_probes, JB_SILENT_AFTER_PROBES);
      jb_pool_finish_scan_if_complete (pool, now);
    }
  else if (reply->result == JB_RESULT_CONFLICT)
    {
      backend->next_probe = now;
      if (jb_pool_check_refused_fence (pool, backend, probe->fence, now))
        backend->next_probe += UNANSWERED_RETRY_INTERVAL;
    }
  else if (reply->result == JB_RESULT_NOT_SENT)
    handle_probe_not_sent (pool, backend, now, sent_at);
  else
    handle_probe_failure (pool, probe, now, sent_at, reply);
  talloc_free (probe);
}

/* Return whether BACKEND needs to be probed: it has never been probed, it may
   have runs or carry out starts late, it is listed but does not answer or has
   not since its zone was taken back, it has reported ends of runs that are not
   acknowledged yet, or it is watched for a restart.  */
static bool
needs_probing (const struct jb_pool *pool, const struct jb_backend *backend,
               jb_time now)
{
  return !backend->probed || backend->task_count > 0
         || backend->doubt_count > 0 || jb_pool_awaits_answer (pool, backend)
         || (backend->unanswered_probes > 0 && backend->listed)
         || backend->orphan_seen_at != 0
         || jb_pool_ackable_end (backend) > backend->acked_end
         || backend->processed_end > backend->stored_end
         || jb_pool_is_watched (pool, backend, now);
}

/* Return a new probe of BACKEND that is sent with the fencing token FENCE.  */
static struct probe *
new_probe (struct jb_pool *pool, struct jb_backend *backend, uint64_t fence,
           jb_time now)
{
  struct probe *probe = talloc_zero (backend, struct probe);

  probe->pool = pool;
  probe->backend = backend;
  probe->incarnation = backend->incarnation;
  probe->fence = fence;
  probe->grant.sent_at = now;
  return probe;
}

void
jb_pool_send_grant (struct jb_pool *pool, struct jb_backend *backend,
                    jb_time now)
{
  struct jb_command command
      = { .kind = JB_COMMAND_PROBE,
          .timeout_ms = PROBE_TIMEOUT_MS,
          .backend = jb_pool_target (pool, backend, false) };
  struct probe *probe = new_probe (pool, backend, command.backend.fence, now);

  probe->grant
      = jb_pool_grant_full (backend, now, &command.u.probe.lease_until_ms);
  backend->grant_in_flight = true;
  jb_driver_submit (pool->options.driver, backend, now, &command,
                    handle_probe_reply, probe);
}

static void
send_probe (struct jb_pool *pool, struct jb_backend *backend, jb_time now)
{
  struct probe *probe;
  struct jb_command command
      = { .kind = JB_COMMAND_PROBE,
          .timeout_ms = PROBE_TIMEOUT_MS,
          .backend
          = jb_pool_target (pool, backend, backend->unanswered_probes > 0) };

  probe = new_probe (pool, backend, command.backend.fence, now);
  /* A backend server that has not answered may have restarted: then the
     number would acknowledge ends of its next incarnation, which nobody has
     seen.  A probe that is carried out late may do that, too: it has the
     number only if that is news.  */
  if (backend->probed && backend->unanswered_probes == 0
      && jb_pool_ackable_end (backend) > backend->acked_end)
    probe->acked_end = jb_pool_ackable_end (backend);
  command.u.probe.acked_end = probe->acked_end;
  backend->open_acks += probe->acked_end != 0;
  if (backend->unanswered_probes == 0 && backend->probed
      && (backend->task_count + backend->doubt_count > 0
          || jb_pool_is_watched (pool, backend, now))
      && backend->processed_end == backend->stored_end
      && !jb_pool_holds_ends (backend) && !backend->probe_urgent)
    {
      command.u.probe.wait_ms
          = jb_crash_has_probation (backend)
                ? JB_CRASH_EARLY_MS
                : jb_pool_poll_wait_ms (pool, backend, now);
      if (jb_pool_is_watched (pool, backend, now))
        command.u.probe.wait_ms
            = MIN (command.u.probe.wait_ms, WATCHED_WAIT_MS);
      probe->wait = command.u.probe.wait_ms * JB_MS;
      command.timeout_ms += command.u.probe.wait_ms;
    }
  backend->probes_in_flight++;
  backend->probe_sent_at = now;
  backend->probe_urgent = false;
  jb_driver_submit (pool->options.driver, backend, now, &command,
                    handle_probe_reply, probe);
}

/* Return when to send a probe to BACKEND beside the one in flight because its
   runs can be given up after that, or JB_NEVER.  */
static jb_time
last_probe_due_at (const struct jb_backend *backend)
{
  jb_time expired_at = jb_backend_leases_expire_at (backend) + JB_MS;

  if (backend->probes_in_flight > 1 || backend->unanswered_probes == 0
      || backend->task_count == 0 || backend->clock_received_at == 0
      || backend->probe_sent_at >= expired_at)
    return JB_NEVER;
  return expired_at;
}

/* Return when the next probe of BACKEND is due, or JB_NEVER.  */
static jb_time
probe_due_at (const struct jb_pool *pool, const struct jb_backend *backend,
              jb_time now)
{
  jb_time due = backend->next_probe;

  if (!needs_probing (pool, backend, now))
    return JB_NEVER;
  if (backend->probes_in_flight > (backend->probe_urgent ? 1U : 0U))
    return last_probe_due_at (backend);
  /* The reported ends will be stored in a moment, and the probe can then
     acknowledge them.  */
  if (backend->processed_end > backend->stored_end
      && backend->unanswered_probes == 0)
    due = MAX (due, backend->probe_sent_at + MAX_PROBE_INTERVAL);
  /* So will the starts, and the probe can then acknowledge ends.  */
  if (backend->starts_in_flight > 0 && backend->unanswered_probes == 0
      && backend->stored_end > backend->acked_end)
    due = MAX (due, backend->awaited_since + USUAL_ANSWER_TIME);
  return due;
}

jb_time
jb_pool_send_probes (struct jb_pool *pool, jb_time now)
{
  bool may_send = jb_ownership_state (pool->ownership) == JB_OWNERSHIP_HELD
                  && pool->handover_since == 0;
  jb_time next = JB_NEVER;
  const GPtrArray *backends = jb_pool_list_backends (pool);

  if (pool->stage < JB_STAGE_SCANNING)
    return JB_NEVER;
  for (guint i = 0; i < backends->len; i++)
    {
      struct jb_backend *backend = g_ptr_array_index (backends, i);
      jb_time due = probe_due_at (pool, backend, now);

      if (may_send && now >= due)
        {
          send_probe (pool, backend, now);
          due = probe_due_at (pool, backend, now);
        }
      next = MIN (next, due);
    }
  return next;
}
