/* Looks at backend servers: each extends the lease of all that runs there and
   lists what runs and what has ended.

   A look waits at the backend server for the next end, so an end is known at
   once and an idle backend server is not asked at all.  One that does not
   answer gets no further lease: when its last one has surely passed, its tasks
   are free to run elsewhere.  */

#include "jb_pool_internal.h"

#include <string.h>

/* An answer takes longer than the wait by at most: some are lost, and until
   the next look nothing is known of what ended.  */
#define LOOK_TIMEOUT_MS 250

/* Between two looks, so that ends close to each other come together.  */
#define LOOK_GAP (25 * JB_MS)

/* Between looks at one that does not answer.  */
#define SILENT_GAP (150 * JB_MS)
#define LAPSED_GAP (1000 * JB_MS)

/* The lease is extended at least as often while ends wait to be stored.  */
#define RENEW_PERIOD (1000 * JB_MS)

/* A backend server fails one job after the other, and does no other: it is
   not used for a while.  */
enum
{
  BAD_ENDS = 2
};
#define SUSPECT_PERIOD (3000 * JB_MS)

static void
forget_run (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  jb_task_unassign (task, now);
  pool->schedule_due = true;
  jb_pool_handle_run_update (pool, task, now);
}

void
jb_pool_lose_runs (struct jb_pool *pool, struct jb_backend *backend,
                   jb_time now, const char *reason)
{
  uint32_t count = backend->task_count;

  while (backend->tasks != NULL)
    {
      jb_count_event (pool->options.driver, JB_COUNT_END_VANISHED);
      forget_run (pool, backend->tasks, now);
    }
  if (count > 0)
    jb_log (pool->options.driver, JB_LEVEL_WARN, "runs-lost", "backend",
            backend->instance, "pool", pool->options.name, "runs",
            jb_itoa (count), "reason", reason, "last_answer_ms",
            jb_itoa ((now - backend->clock_received_at) / JB_MS), NULL);
}

/* ---- ends ---- */

/* Note a checkpoint: the newest one that was listed.  */
static void
note_checkpoint (struct jb_task *task, const char *checkpoint)
{
  if (checkpoint == NULL || checkpoint[0] == '\0'
      || g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return;
  talloc_free (task->checkpoint);
  task->checkpoint = talloc_strdup (task->group, checkpoint);
}

/* All tasks of a gang are done with the first of them.  */
static void
set_done (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  struct jb_task_group *group = task->group;

  if (!jb_task_step (task)->gang)
    jb_task_mark_done (task);
  for (uint32_t i = 0; jb_task_step (task)->gang && i < group->task_count; i++)
    jb_task_mark_done (&group->tasks[i]);
  jb_pool_mark_dirty (pool, group->job, now);
  jb_job_update_ready_groups (group->job, group->occurrence);
}

/* Learn how long tasks of the queue really take.  */
static void
learn_duration (struct jb_pool *pool, const struct jb_task *task, jb_time now)
{
  struct jb_queue_stats *stats
      = jb_pool_queue_stats (pool, task->group->job->desc->queue);
  int64_t estimate = jb_task_step (task)->estimate_ms;
  double ratio;

  if (estimate <= 0 || task->started_at == 0)
    return;
  ratio = (double)(now - task->started_at) / (double)(estimate * JB_MS);
  stats->duration_ratio
      = 0.95 * stats->duration_ratio + 0.05 * CLAMP (ratio, 0.1, 10);
}

static void
judge_backend (struct jb_pool *pool, struct jb_backend *backend,
               struct jb_task *task, enum jb_run_outcome how, jb_time now)
{
  if (how == JB_OUTCOME_DONE)
    {
      backend->consecutive_failed_jobs = 0;
      backend->last_failed_job = NULL;
      return;
    }
  if (how != JB_OUTCOME_FAILED
      || backend->last_failed_job == task->group->job->desc)
    return;
  backend->last_failed_job = task->group->job->desc;
  if (++backend->consecutive_failed_jobs < BAD_ENDS)
    return;
  backend->suspect_until = now + SUSPECT_PERIOD;
  jb_log (pool->options.driver, JB_LEVEL_WARN, "backend-suspected", "backend",
          backend->instance, "pool", pool->options.name, "reason",
          "it fails one job after the other", NULL);
}

static const char *
ending_name (enum jb_run_outcome how)
{
  static const char *const names[] = {
    [JB_OUTCOME_DONE] = "done",          [JB_OUTCOME_FAILED] = "failed",
    [JB_OUTCOME_STOPPED] = "stopped",    [JB_OUTCOME_LEASE_EXPIRED] = "lapsed",
    [JB_OUTCOME_GANG_BROKEN] = "broken", [JB_OUTCOME_GANG_INCOMPLETE] = "alone"
  };

  return names[how];
}

static void
count_end (struct jb_pool *pool, enum jb_run_outcome how)
{
  static const enum jb_counter counters[]
      = { [JB_OUTCOME_DONE] = JB_COUNT_END_DONE,
          [JB_OUTCOME_FAILED] = JB_COUNT_END_FAILED,
          [JB_OUTCOME_STOPPED] = JB_COUNT_END_STOPPED,
          [JB_OUTCOME_LEASE_EXPIRED] = JB_COUNT_END_LEASE_EXPIRED,
          [JB_OUTCOME_GANG_BROKEN] = JB_COUNT_END_GANG_BROKEN,
          [JB_OUTCOME_GANG_INCOMPLETE] = JB_COUNT_END_GANG_INCOMPLETE };

  jb_count_event (pool->options.driver, counters[how]);
}

/* Count a failed run, once however often it is listed, of the task or of its
   gang as a whole.  */
static void
note_failure (struct jb_pool *pool, struct jb_task *task, uint32_t run,
              jb_time now)
{
  struct jb_task *counted
      = jb_task_step (task)->gang ? &task->group->tasks[0] : task;

  if (jb_pool_has_disabled (pool, JB_SAFEGUARD_FAILED_RUNS)
      && counted->failures > 0
      && run < counted->failed_runs[counted->failures - 1])
    return;
  if (jb_task_record_failure (counted, run))
    jb_pool_mark_dirty (pool, task->group->job, now);
}

/* Return the task of JOB that REF names, or NULL.  An occurrence that has not
   come here is opened: a former holder, whose clock was ahead, started it.  */
static struct jb_task *
find_task (const struct jb_pool *pool, struct jb_job *job,
           const struct jb_task_ref *ref)
{
  while (!jb_pool_has_disabled (pool, JB_SAFEGUARD_OCCURRENCES)
         && job->ended_at == 0 && job->opened_occurrences <= ref->occurrence
         && job->opened_occurrences < job->desc->scheduled_occurrences)
    jb_job_open_next_occurrence (job);
  return jb_job_find_task (job, ref);
}

static void
take_end (struct jb_pool *pool, struct jb_backend *backend,
          const struct jb_ended_run *ended, jb_time now)
{
  struct jb_task_ref ref;
  struct jb_job *job;
  struct jb_task *task;
  bool lasts;

  count_end (pool, ended->outcome);
  if (!jb_task_ref_parse (ended->task, &ref))
    return;
  job = g_hash_table_lookup (pool->jobs, ref.id);
  task = job != NULL ? find_task (pool, job, &ref) : NULL;
  if (task == NULL)
    return;
  lasts = jb_task_step (task)->long_running;
  task->run = MAX (task->run, ended->run);
  task->ever_started = true;
  note_checkpoint (task, ended->checkpoint);
  judge_backend (pool, backend, task, ended->outcome, now);
  jb_log (pool->options.driver,
          ended->outcome == JB_OUTCOME_DONE ? JB_LEVEL_DEBUG : JB_LEVEL_INFO,
          "run-ended", "task", ended->task, "run", jb_itoa (ended->run),
          "backend", backend->instance, "how", ending_name (ended->outcome),
          NULL);
  if (ended->outcome == JB_OUTCOME_FAILED)
    task->last_failed_backend = backend;
  if (ended->outcome == JB_OUTCOME_FAILED && !lasts)
    note_failure (pool, task, ended->run, now);
  if (ended->outcome == JB_OUTCOME_DONE && !lasts && job->ended_at == 0)
    {
      if (task->backend == backend && task->run == ended->run)
        learn_duration (pool, task, now);
      set_done (pool, task, now);
    }
  if (task->state != JB_RUN_NONE && task->backend == backend
      && task->run == ended->run)
    forget_run (pool, task, now);
  else
    {
      if (task->done && task->state != JB_RUN_NONE)
        jb_pool_stop_run (pool, task, now, "another run is done");
      jb_pool_handle_run_update (pool, task, now);
    }
}

/* ---- what runs ---- */

static void
take_running (struct jb_pool *pool, struct jb_backend *backend,
              const struct jb_active_run *running, jb_time now)
{
  struct jb_task_ref ref;
  struct jb_job *job = NULL;
  struct jb_task *task = NULL;

  if (jb_task_ref_parse (running->task, &ref))
    job = g_hash_table_lookup (pool->jobs, ref.id);
  if (job != NULL && job->ended_at == 0)
    task = find_task (pool, job, &ref);
  if (task == NULL || task->done)
    {
      /* What is being stopped is listed until it has ended.  */
      if (task == NULL && job != NULL)
        task = jb_job_find_task (job, &ref);
      if (task == NULL || task->state != JB_RUN_STOPPING)
        jb_pool_stop_orphan (pool, backend, running->task, running->run, now);
      else
        task->listed_at = now;
      return;
    }
  if (task->state == JB_RUN_NONE && running->run >= task->run)
    {
      jb_task_assign (task, backend, JB_RUN_RUNNING);
      task->run = running->run;
      task->inherited = true;
      task->started_at = now;
      task->confirmed_at = now;
      jb_log (pool->options.driver, JB_LEVEL_INFO, "run-found", "task",
              running->task, "run", jb_itoa (running->run), "backend",
              backend->instance, NULL);
    }
  if (task->backend != backend || task->run != running->run)
    {
      jb_pool_stop_orphan (pool, backend, running->task, running->run, now);
      return;
    }
  if (task->state == JB_RUN_UNCONFIRMED || task->state == JB_RUN_STARTING)
    {
      task->state = JB_RUN_RUNNING;
      task->started_at = now;
      task->confirmed_at = now;
    }
  note_checkpoint (task, running->checkpoint);
  task->ready_percent = running->ready_percent;
  task->usage = running->usage;
  task->listed_at = now;
}

/* Runs on BACKEND that an answer to a look sent at SENT does not list are
   over, when the order on them had been answered before.  */
static void
drop_unlisted (struct jb_pool *pool, struct jb_backend *backend, jb_time sent,
               jb_time now)
{
  struct jb_task *next;

  for (struct jb_task *task = backend->tasks; task != NULL; task = next)
    {
      char name[JB_TASK_NAME_SIZE];

      next = task->next_on_backend;
      if (task->listed_at != now && task->state == JB_RUN_UNCONFIRMED
          && task->confirmed_at == 0 && sent >= task->last_attempt_at)
        jb_pool_stop_run (pool, task, now, "its start had no answer");
      if (task->listed_at == now || task->confirmed_at == 0
          || task->confirmed_at > sent)
        continue;
      jb_count_event (pool->options.driver, JB_COUNT_END_VANISHED);
      jb_log (pool->options.driver, JB_LEVEL_WARN, "run-vanished", "task",
              jb_task_name (task, name), "run", jb_itoa (task->run), "backend",
              backend->instance, NULL);
      forget_run (pool, task, now);
    }
}

/* ---- looks ---- */

struct look
{
  struct jb_pool *pool;
  struct jb_backend *backend;
  uint64_t acked;
  bool extends;
};

/* Everything that was known of BACKEND's present life is void.  */
static void
start_over (struct jb_pool *pool, struct jb_backend *backend, int64_t born_ms,
            jb_time now)
{
  jb_pool_lose_runs (pool, backend, now, "it has started again");
  backend->started_unix_ms = born_ms;
  backend->listed_end = 0;
  backend->stored_end = 0;
  backend->acked_end = 0;
  backend->lease_until_ms = 0;
  backend->probe_clock_ms = 0;
  backend->consecutive_failed_jobs = 0;
  backend->cordoned_until = 0;
}

static void
look_answered (struct jb_pool *pool, struct look *look, jb_time sent,
               jb_time now, const struct jb_reply *reply)
{
  struct jb_backend *backend = look->backend;

  jb_count_event (pool->options.driver, JB_COUNT_PROBES_ANSWERED);
  if (jb_backend_has_restarted (backend, reply->started_unix_ms))
    start_over (pool, backend, reply->started_unix_ms, now);
  if (backend->unanswered_probes > 1)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-regained", "backend",
            backend->instance, "pool", pool->options.name, NULL);
  /* Two looks may overtake each other: an older picture is worth nothing.  */
  if (reply->backend_clock_ms < backend->probe_clock_ms)
    return;
  backend->probe_clock_ms = reply->backend_clock_ms;
  jb_backend_record_clock (backend, now, reply->backend_clock_ms);
  backend->unanswered_probes = 0;
  backend->probed = true;
  if (backend->off_roster)
    {
      backend->off_roster = false;
      pool->roster_dirty = true;
    }
  backend->acked_end = MAX (backend->acked_end, look->acked);
  backend->orphan_seen_at = 0;
  for (uint32_t i = 0; i < reply->active_run_count; i++)
    take_running (pool, backend, &reply->active_runs[i], now);
  for (uint32_t i = 0; i < reply->ended_run_count; i++)
    if (reply->ended_runs[i].number > backend->listed_end)
      take_end (pool, backend, &reply->ended_runs[i], now);
  for (uint32_t i = 0; i < reply->ended_run_count; i++)
    backend->listed_end
        = MAX (backend->listed_end, reply->ended_runs[i].number);
  drop_unlisted (pool, backend, sent, now);
  jb_pool_throttle_backend (pool, backend, now);
  backend->next_probe = sent + LOOK_GAP;
  if (jb_pool_has_disabled (pool, JB_SAFEGUARD_STORE_BEFORE_ACK))
    backend->stored_end = backend->listed_end;
  jb_pool_mark_ends_stored (pool, now);
  jb_pool_check_scan (pool, now);
}

static void
look_failed (struct jb_pool *pool, struct jb_backend *backend, jb_time now)
{
  jb_count_event (pool->options.driver, JB_COUNT_PROBES_UNANSWERED);
  if (++backend->unanswered_probes == 2)
    jb_log (pool->options.driver, JB_LEVEL_WARN, "backend-silent", "backend",
            backend->instance, "pool", pool->options.name, "runs",
            jb_itoa (backend->task_count), "lapses_in_ms",
            jb_itoa ((jb_backend_leases_expire_at (backend) - now) / JB_MS),
            NULL);
  backend->next_probe = now + SILENT_GAP;
  if (backend->clock_received_at != 0
      && (jb_backend_leases_expired (backend, now)
          || jb_pool_has_disabled (pool, JB_SAFEGUARD_LEASE_EXPIRY)))
    {
      jb_pool_lose_runs (pool, backend, now, "its lease has passed");
      jb_pool_remove_from_roster (pool, backend);
      backend->next_probe = now + LAPSED_GAP;
    }
  else if (backend->clock_received_at == 0)
    backend->next_probe = now + LAPSED_GAP;
}

static void
look_done (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct look *look = data;
  struct jb_pool *pool = look->pool;
  struct jb_backend *backend = look->backend;

  backend->probes_in_flight--;
  if (reply->result == JB_RESULT_OK)
    look_answered (pool, look, sent, now, reply);
  else if (reply->result == JB_RESULT_GONE)
    {
      jb_pool_lose_runs (pool, backend, now, "another life is at its address");
      backend->next_probe = now + LAPSED_GAP;
      backend->unanswered_probes = MAX (backend->unanswered_probes, 2);
    }
  else if (reply->result == JB_RESULT_CONFLICT)
    {
      jb_ownership_verify (pool->duty, now);
      backend->next_probe = now + SILENT_GAP;
    }
  else
    look_failed (pool, backend, now);
  talloc_free (look);
}

/* Return whether a look is due at BACKEND at all.  */
static bool
is_of_interest (const struct jb_backend *backend)
{
  return !backend->probed || backend->task_count > 0
         || (backend->unanswered_probes > 0 && backend->listed)
         || backend->orphan_seen_at != 0
         || backend->stored_end > backend->acked_end
         || backend->listed_end > backend->stored_end;
}

static void
look_at (struct jb_pool *pool, struct jb_backend *backend, jb_time now)
{
  struct look *look = talloc_zero (backend, struct look);
  struct jb_command order = { .kind = JB_COMMAND_PROBE,
                              .timeout_ms = LOOK_TIMEOUT_MS,
                              .backend = { backend->address, backend->instance,
                                           jb_ownership_fence (pool->duty),
                                           backend->unanswered_probes > 0 } };

  look->pool = pool;
  look->backend = backend;
  look->acked = backend->stored_end;
  order.u.probe.acked_end = look->acked;
  /* One that is silent, or has left the list, gets no longer lease.  */
  if (backend->clock_received_at != 0 && backend->unanswered_probes == 0
      && backend->listed && jb_pool_may_command (pool, now))
    {
      look->extends = true;
      order.u.probe.lease_until_ms
          = jb_backend_grant_lease (backend, now, JB_RUN_LEASE_MS);
    }
  if (backend->unanswered_probes == 0 && backend->probed
      && backend->task_count > 0 && backend->listed_end == backend->stored_end
      && !backend->probe_urgent)
    {
      order.u.probe.wait_ms = JB_PROBE_WAIT_MS;
      order.timeout_ms += JB_PROBE_WAIT_MS;
    }
  backend->probes_in_flight++;
  backend->probe_urgent = false;
  jb_driver_submit (pool->options.driver, backend, now, &order, look_done,
                    look);
}

static jb_time
look_due (const struct jb_backend *backend)
{
  jb_time due = backend->next_probe;

  if (backend->probes_in_flight > (backend->probe_urgent ? 1U : 0U)
      || !is_of_interest (backend))
    return JB_NEVER;
  /* The ends that were listed are stored in a moment, and can then be
     acknowledged by the same look.  */
  if (backend->listed_end > backend->stored_end
      && backend->unanswered_probes == 0)
    due = MAX (due, backend->lease_sent_at + RENEW_PERIOD);
  return due;
}

void
jb_pool_send_probes (struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  if (pool->stage < JB_STAGE_SCANNING
      || jb_ownership_state (pool->duty) != JB_OWNERSHIP_HELD)
    return;
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (now >= look_due (backend))
        look_at (pool, backend, now);
    }
}

jb_time
jb_pool_probe_due (const struct jb_pool *pool)
{
  jb_time due = JB_NEVER;
  GHashTableIter iter;
  gpointer value;

  if (pool->stage < JB_STAGE_SCANNING)
    return JB_NEVER;
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    due = MIN (due, look_due (value));
  return due;
}
