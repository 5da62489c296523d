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
  jb_task_clear (task, now);
  pool->schedule_due = true;
  jb_pool_run_over (pool, task, now);
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
            jb_itoa ((now - backend->clock_at) / JB_MS), NULL);
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
  struct jb_group *group = task->group;

  if (!jb_task_step (task)->gang)
    jb_task_set_done (task);
  for (uint32_t i = 0; jb_task_step (task)->gang && i < group->count; i++)
    jb_task_set_done (&group->tasks[i]);
  jb_pool_mark (pool, group->job, now);
  jb_job_advance (group->job, group->occurrence);
}

/* Learn how long tasks of the queue really take.  */
static void
learn_duration (struct jb_pool *pool, const struct jb_task *task, jb_time now)
{
  struct jb_queue_stats *stats
      = jb_pool_queue (pool, task->group->job->desc->queue);
  int64_t estimate = jb_task_step (task)->estimate_ms;
  double ratio;

  if (estimate <= 0 || task->started == 0)
    return;
  ratio = (double)(now - task->started) / (double)(estimate * JB_MS);
  stats->stretch = 0.95 * stats->stretch + 0.05 * CLAMP (ratio, 0.1, 10);
}

static void
judge_backend (struct jb_pool *pool, struct jb_backend *backend,
               struct jb_task *task, enum jb_ending how, jb_time now)
{
  if (how == JB_ENDING_DONE)
    {
      backend->bad_ends = 0;
      backend->bad_job = NULL;
      return;
    }
  if (how != JB_ENDING_FAILED || backend->bad_job == task->group->job->desc)
    return;
  backend->bad_job = task->group->job->desc;
  if (++backend->bad_ends < BAD_ENDS)
    return;
  backend->suspect_until = now + SUSPECT_PERIOD;
  jb_log (pool->options.driver, JB_LEVEL_WARN, "backend-suspected", "backend",
          backend->instance, "pool", pool->options.name, "reason",
          "it fails one job after the other", NULL);
}

static const char *
ending_name (enum jb_ending how)
{
  static const char *const names[]
      = { [JB_ENDING_DONE] = "done",       [JB_ENDING_FAILED] = "failed",
          [JB_ENDING_STOPPED] = "stopped", [JB_ENDING_LAPSED] = "lapsed",
          [JB_ENDING_BROKEN] = "broken",   [JB_ENDING_ALONE] = "alone" };

  return names[how];
}

static void
count_end (struct jb_pool *pool, enum jb_ending how)
{
  static const enum jb_counter counters[]
      = { [JB_ENDING_DONE] = JB_COUNT_END_DONE,
          [JB_ENDING_FAILED] = JB_COUNT_END_FAILED,
          [JB_ENDING_STOPPED] = JB_COUNT_END_STOPPED,
          [JB_ENDING_LAPSED] = JB_COUNT_END_LEASE_EXPIRED,
          [JB_ENDING_BROKEN] = JB_COUNT_END_GANG_BROKEN,
          [JB_ENDING_ALONE] = JB_COUNT_END_GANG_INCOMPLETE };

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

  if (jb_pool_is_off (pool, JB_OFF_FAILED_RUNS) && counted->failures > 0
      && run < counted->failed_runs[counted->failures - 1])
    return;
  if (jb_task_fail (counted, run))
    jb_pool_mark (pool, task->group->job, now);
}

/* Return the task of JOB that REF names, or NULL.  An occurrence that has not
   come here is opened: a former holder, whose clock was ahead, started it.  */
static struct jb_task *
find_task (const struct jb_pool *pool, struct jb_job *job,
           const struct jb_task_ref *ref)
{
  while (!jb_pool_is_off (pool, JB_OFF_OCCURRENCES) && job->ended == 0
         && job->opened <= ref->occurrence && job->opened < job->desc->times)
    jb_job_open_next (job);
  return jb_job_task (job, ref);
}

static void
take_end (struct jb_pool *pool, struct jb_backend *backend,
          const struct jb_ended *ended, jb_time now)
{
  struct jb_task_ref ref;
  struct jb_job *job;
  struct jb_task *task;
  bool lasts;

  count_end (pool, ended->how);
  if (!jb_task_ref_parse (ended->task, &ref))
    return;
  job = g_hash_table_lookup (pool->jobs, ref.id);
  task = job != NULL ? find_task (pool, job, &ref) : NULL;
  if (task == NULL)
    return;
  lasts = jb_task_step (task)->lasts;
  task->run = MAX (task->run, ended->run);
  task->begun = true;
  note_checkpoint (task, ended->checkpoint);
  judge_backend (pool, backend, task, ended->how, now);
  jb_log (pool->options.driver,
          ended->how == JB_ENDING_DONE ? JB_LEVEL_DEBUG : JB_LEVEL_INFO,
          "run-ended", "task", ended->task, "run", jb_itoa (ended->run),
          "backend", backend->instance, "how", ending_name (ended->how), NULL);
  if (ended->how == JB_ENDING_FAILED)
    task->last_backend = backend;
  if (ended->how == JB_ENDING_FAILED && !lasts)
    note_failure (pool, task, ended->run, now);
  if (ended->how == JB_ENDING_DONE && !lasts && job->ended == 0)
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
      jb_pool_run_over (pool, task, now);
    }
}

/* ---- what runs ---- */

static void
take_running (struct jb_pool *pool, struct jb_backend *backend,
              const struct jb_running *running, jb_time now)
{
  struct jb_task_ref ref;
  struct jb_job *job = NULL;
  struct jb_task *task = NULL;

  if (jb_task_ref_parse (running->task, &ref))
    job = g_hash_table_lookup (pool->jobs, ref.id);
  if (job != NULL && job->ended == 0)
    task = find_task (pool, job, &ref);
  if (task == NULL || task->done)
    {
      /* What is being stopped is listed until it has ended.  */
      if (task == NULL && job != NULL)
        task = jb_job_task (job, &ref);
      if (task == NULL || task->state != JB_RUN_STOPPING)
        jb_pool_stop_foreign (pool, backend, running->task, running->run, now);
      else
        task->listed_at = now;
      return;
    }
  if (task->state == JB_RUN_NONE && running->run >= task->run)
    {
      jb_task_place (task, backend, JB_RUN_RUNNING);
      task->run = running->run;
      task->inherited = true;
      task->started = now;
      task->settled = now;
      jb_log (pool->options.driver, JB_LEVEL_INFO, "run-found", "task",
              running->task, "run", jb_itoa (running->run), "backend",
              backend->instance, NULL);
    }
  if (task->backend != backend || task->run != running->run)
    {
      jb_pool_stop_foreign (pool, backend, running->task, running->run, now);
      return;
    }
  if (task->state == JB_RUN_UNSURE || task->state == JB_RUN_STARTING)
    {
      task->state = JB_RUN_RUNNING;
      task->started = now;
      task->settled = now;
    }
  note_checkpoint (task, running->checkpoint);
  task->percent = running->percent;
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

      next = task->next;
      if (task->listed_at != now && task->state == JB_RUN_UNSURE
          && task->settled == 0 && sent >= task->ordered)
        jb_pool_stop_run (pool, task, now, "its start had no answer");
      if (task->listed_at == now || task->settled == 0 || task->settled > sent)
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
  backend->born_ms = born_ms;
  backend->listed_end = 0;
  backend->stored_end = 0;
  backend->acked_end = 0;
  backend->until_ms = 0;
  backend->look_clock_ms = 0;
  backend->bad_ends = 0;
  backend->closed_until = 0;
}

static void
look_answered (struct jb_pool *pool, struct look *look, jb_time sent,
               jb_time now, const struct jb_reply *reply)
{
  struct jb_backend *backend = look->backend;

  jb_count_event (pool->options.driver, JB_COUNT_PROBES_ANSWERED);
  if (jb_backend_reborn (backend, reply->born_ms))
    start_over (pool, backend, reply->born_ms, now);
  if (backend->silent > 1)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-regained", "backend",
            backend->instance, "pool", pool->options.name, NULL);
  /* Two looks may overtake each other: an older picture is worth nothing.  */
  if (reply->clock_ms < backend->look_clock_ms)
    return;
  backend->look_clock_ms = reply->clock_ms;
  jb_backend_clock (backend, now, reply->clock_ms);
  backend->silent = 0;
  backend->reached = true;
  if (backend->emptied)
    {
      backend->emptied = false;
      pool->roster_dirty = true;
    }
  backend->acked_end = MAX (backend->acked_end, look->acked);
  backend->foreign_at = 0;
  for (uint32_t i = 0; i < reply->running_count; i++)
    take_running (pool, backend, &reply->running[i], now);
  for (uint32_t i = 0; i < reply->ended_count; i++)
    if (reply->ended[i].number > backend->listed_end)
      take_end (pool, backend, &reply->ended[i], now);
  for (uint32_t i = 0; i < reply->ended_count; i++)
    backend->listed_end = MAX (backend->listed_end, reply->ended[i].number);
  drop_unlisted (pool, backend, sent, now);
  jb_pool_pace (pool, backend, now);
  backend->next_look = sent + LOOK_GAP;
  if (jb_pool_is_off (pool, JB_OFF_STORE_FIRST))
    backend->stored_end = backend->listed_end;
  jb_pool_settle_ends (pool, now);
  jb_pool_scan_check (pool, now);
}

static void
look_failed (struct jb_pool *pool, struct jb_backend *backend, jb_time now)
{
  jb_count_event (pool->options.driver, JB_COUNT_PROBES_UNANSWERED);
  if (++backend->silent == 2)
    jb_log (pool->options.driver, JB_LEVEL_WARN, "backend-silent", "backend",
            backend->instance, "pool", pool->options.name, "runs",
            jb_itoa (backend->task_count), "lapses_in_ms",
            jb_itoa ((jb_backend_lapses_at (backend) - now) / JB_MS), NULL);
  backend->next_look = now + SILENT_GAP;
  if (backend->clock_at != 0
      && (jb_backend_lapsed (backend, now)
          || jb_pool_is_off (pool, JB_OFF_LEASE_END)))
    {
      jb_pool_lose_runs (pool, backend, now, "its lease has passed");
      jb_pool_off_record (pool, backend);
      backend->next_look = now + LAPSED_GAP;
    }
  else if (backend->clock_at == 0)
    backend->next_look = now + LAPSED_GAP;
}

static void
look_done (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct look *look = data;
  struct jb_pool *pool = look->pool;
  struct jb_backend *backend = look->backend;

  backend->looks_out--;
  if (reply->result == JB_OK)
    look_answered (pool, look, sent, now, reply);
  else if (reply->result == JB_GONE)
    {
      jb_pool_lose_runs (pool, backend, now, "another life is at its address");
      backend->next_look = now + LAPSED_GAP;
      backend->silent = MAX (backend->silent, 2);
    }
  else if (reply->result == JB_CONFLICT)
    {
      jb_ownership_verify (pool->duty, now);
      backend->next_look = now + SILENT_GAP;
    }
  else
    look_failed (pool, backend, now);
  talloc_free (look);
}

/* Return whether a look is due at BACKEND at all.  */
static bool
is_of_interest (const struct jb_backend *backend)
{
  return !backend->reached || backend->task_count > 0
         || (backend->silent > 0 && backend->listed)
         || backend->foreign_at != 0
         || backend->stored_end > backend->acked_end
         || backend->listed_end > backend->stored_end;
}

static void
look_at (struct jb_pool *pool, struct jb_backend *backend, jb_time now)
{
  struct look *look = talloc_zero (backend, struct look);
  struct jb_order order
      = { .kind = JB_ORDER_HOLD,
          .timeout_ms = LOOK_TIMEOUT_MS,
          .target = { backend->address, backend->instance,
                      jb_ownership_fence (pool->duty), backend->silent > 0 } };

  look->pool = pool;
  look->backend = backend;
  look->acked = backend->stored_end;
  order.u.hold.acked = look->acked;
  /* One that is silent, or has left the list, gets no longer lease.  */
  if (backend->clock_at != 0 && backend->silent == 0 && backend->listed
      && jb_pool_stands (pool, now))
    {
      look->extends = true;
      order.u.hold.until_ms = jb_backend_lease (backend, now, JB_LEASE_MS);
    }
  if (backend->silent == 0 && backend->reached && backend->task_count > 0
      && backend->listed_end == backend->stored_end && !backend->look_urgent)
    {
      order.u.hold.wait_ms = JB_LOOK_WAIT_MS;
      order.timeout_ms += JB_LOOK_WAIT_MS;
    }
  backend->looks_out++;
  backend->look_urgent = false;
  jb_driver_submit (pool->options.driver, backend, now, &order, look_done,
                    look);
}

static jb_time
look_due (const struct jb_backend *backend)
{
  jb_time due = backend->next_look;

  if (backend->looks_out > (backend->look_urgent ? 1U : 0U)
      || !is_of_interest (backend))
    return JB_NEVER;
  /* The ends that were listed are stored in a moment, and can then be
     acknowledged by the same look.  */
  if (backend->listed_end > backend->stored_end && backend->silent == 0)
    due = MAX (due, backend->last_lease + RENEW_PERIOD);
  return due;
}

void
jb_pool_look_all (struct jb_pool *pool, jb_time now)
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
jb_pool_look_due (const struct jb_pool *pool)
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
