/* The owner of a pool: requests of clients, the state of jobs, the list of
   backend servers, and the periodic work, which calls the functions of the
   other files jb_pool_*.c.  */

#include "jb_pool_internal.h"

#include "jb_admission.h"
#include "jb_crash.h"

#include <math.h>
#include <string.h>

/* Interval of the periodic checks for conditions that no event reports.  */
#define SWEEP_INTERVAL (200 * JB_MS)

/* How long a backend server that is missing from the lists still counts as
   listed.  Entries expire while the store is unavailable, and are back a
   moment after it has recovered.  */
#define UNLISTED_GRACE_PERIOD (2500 * JB_MS)

/* If the other hosts have not heard this one for longer than this, which is
   more than two heartbeat intervals, what it sent them meanwhile may be
   lost.  */
#define MAX_HEARD_GAP (500 * JB_MS)

/* Time since the store last confirmed the ownership after which it is asked to
   confirm it again.  */
#define OWNERSHIP_VERIFY_AFTER (800 * JB_MS)

/* New jobs are refused when writes to the store have failed for longer than
   this.  */
#define STORE_FAILURE_TOLERANCE (300 * JB_MS)

/* How long after its scheduled time an occurrence starts, so that it never
   starts early.  */
#define OCCURRENCE_START_MARGIN_MS 15

/* How long ended jobs are kept beyond the promised retention time
   (jb_bounds.job_retention_ms).  */
#define JOB_RETENTION_MARGIN_MS 30000

/* Time constant of the exponential decay of recently submitted work.  */
#define ARRIVAL_DECAY_TIME (1000 * JB_MS)

enum
{
  MAX_DEFERRED_REQUESTS = 2000, /* that wait for the rows to be read */
  /* All are removed in one transaction, one row each.  */
  MAX_JOBS_REMOVED_PER_SWEEP = 40,
  /* Assumed mean work of the jobs of a queue before its first job.  */
  DEFAULT_MEAN_WORK_CPU_MILLI_MS = 4000000,
  /* The mean work of a queue is a moving average over about so many jobs.  */
  MEAN_WORK_WINDOW_JOBS = 16,
  /* Delay before a retry that is suggested to a client whose job was refused
     because the store fails.  */
  UNAVAILABLE_RETRY_AFTER_MS = 1000
};

static void
handle_claim_result (void *data, jb_time now, bool held)
{
  struct jb_pool *pool = data;

  if (held)
    jb_pool_begin_takeover (pool, now);
  pool->options.state_changed (pool->options.data, pool);
}

static void dismiss_requests (struct jb_pool *pool);

void
jb_pool_handle_ownership_lost (void *data, jb_time now)
{
  struct jb_pool *pool = data;

  (void)now;
  dismiss_requests (pool);
  pool->stage = JB_STAGE_NOT_OWNED;
  pool->options.state_changed (pool->options.data, pool);
}

static int
pool_destroy (struct jb_pool *pool)
{
  /* Free the ownership first, which withdraws its commands in flight: their
     callbacks refer to jobs and backend servers.  */
  TALLOC_FREE (pool->ownership);
  g_hash_table_destroy (pool->backends);
  g_hash_table_destroy (pool->jobs);
  g_hash_table_destroy (pool->queue_stats);
  g_hash_table_destroy (pool->queues);
  g_hash_table_destroy (pool->org_usages);
  g_hash_table_destroy (pool->empty_zones);
  g_ptr_array_free (pool->backend_list, TRUE);
  g_ptr_array_free (pool->active_jobs, TRUE);
  jb_pool_sums_clear (pool);
  jb_pool_waiting_clear (pool);
  g_ptr_array_free (pool->dirty_jobs, TRUE);
  g_ptr_array_free (pool->obsolete_keys, TRUE);
  g_ptr_array_free (pool->deferred_requests, TRUE);
  g_ptr_array_free (pool->losses, TRUE);
  return 0;
}

struct jb_pool *
jb_pool_new (TALLOC_CTX *mem, const struct jb_pool_options *options)
{
  struct jb_pool *pool = talloc_zero (mem, struct jb_pool);
  struct jb_ownership_options ownership_options
      = { .driver = options->driver,
          .owner = options->owner,
          .incarnation = options->incarnation,
          .on_claimed = handle_claim_result,
          .on_lost = jb_pool_handle_ownership_lost,
          .data = pool };

  pool->options = *options;
  pool->options.name = talloc_strdup (pool, options->name);
  pool->partition = talloc_asprintf (pool, "pool/%s", options->name);
  ownership_options.partition = pool->partition;
  pool->ownership = jb_ownership_new (pool, &ownership_options);
  pool->backends = g_hash_table_new (g_str_hash, g_str_equal);
  pool->backend_list = g_ptr_array_new ();
  pool->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  pool->queue_stats = g_hash_table_new (g_str_hash, g_str_equal);
  pool->queues = g_hash_table_new (g_int64_hash, g_int64_equal);
  pool->org_usages = g_hash_table_new (g_str_hash, g_str_equal);
  pool->empty_zones
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  pool->active_jobs = g_ptr_array_new ();
  jb_pool_sums_init (pool);
  jb_pool_waiting_init (pool);
  pool->dirty_jobs = g_ptr_array_new ();
  pool->obsolete_keys = g_ptr_array_new_with_free_func (g_free);
  pool->deferred_requests = g_ptr_array_new ();
  pool->losses = g_ptr_array_new ();
  pool->doubts = jb_pool_doubts_new (pool);
  pool->starts = jb_pool_starts_new (pool);
  pool->witnesses = jb_pool_witnesses_new (pool);
  pool->leases = jb_pool_leases_new (pool);
  talloc_set_destructor (pool, pool_destroy);
  return pool;
}

const char *
jb_pool_partition (const struct jb_pool *pool)
{
  return pool->partition;
}

const char *
jb_pool_name (const struct jb_pool *pool)
{
  return pool->options.name;
}

void
jb_pool_claim (struct jb_pool *pool, jb_time now)
{
  jb_ownership_claim (pool->ownership, now);
}

enum jb_ownership_state
jb_pool_ownership_state (const struct jb_pool *pool)
{
  return jb_ownership_state (pool->ownership);
}

bool
jb_pool_has_ended (const struct jb_pool *pool)
{
  return pool->stage == JB_STAGE_NOT_OWNED
         && jb_ownership_state (pool->ownership) != JB_OWNERSHIP_CLAIMING;
}

uint64_t
jb_pool_fence (const struct jb_pool *pool)
{
  return jb_ownership_fence (pool->ownership);
}

jb_time
jb_pool_store_failing_since (const struct jb_pool *pool)
{
  return jb_ownership_failing_since (pool->ownership);
}

void
jb_pool_confirm_ownership (struct jb_pool *pool, jb_time now,
                           jb_time unclaimed_until)
{
  if (now >= jb_pool_ownership_valid_until (pool))
    return;
  if (unclaimed_until > pool->unclaimed_until + MAX_HEARD_GAP)
    {
      jb_pool_repeat_doubts (pool);
      jb_pool_repeat_queued_starts (pool);
    }
  pool->unclaimed_until = MAX (pool->unclaimed_until, unclaimed_until);
}

void
jb_pool_set_unix_origin (struct jb_pool *pool, jb_time unix_origin)
{
  pool->unix_origin = unix_origin;
}

/* ---- replies to requests ---- */

static void
send_reply (struct jb_pool *pool, uint64_t member, uint64_t call,
            uint32_t kind, uint32_t state, uint32_t pending,
            int64_t retry_after_ms)
{
  struct jb_msg_reply message = { call, kind, state, pending, retry_after_ms };

  pool->options.reply (pool->options.data, member, &message);
}

void
jb_pool_answer_waiters (struct jb_pool *pool, struct jb_job *job, jb_time now)
{
  struct jb_waiter **link = &job->waiters;

  (void)now;
  while (*link != NULL)
    {
      struct jb_waiter *waiter = *link;
      bool cancel = waiter->kind == JB_REQUEST_CANCEL;

      if (cancel ? !job->end_stored : !job->stored)
        {
          link = &waiter->next;
          continue;
        }
      *link = waiter->next;
      if (!cancel)
        send_reply (pool, waiter->member, waiter->call, JB_ANSWER_ACCEPTED, 0,
                    0, 0);
      else
        send_reply (pool, waiter->member, waiter->call,
                    job->state == JB_JOB_CANCELLED ? JB_ANSWER_CANCELLED
                                                   : JB_ANSWER_NO_JOB,
                    0, 0, 0);
      talloc_free (waiter);
    }
}

static void
add_waiter (struct jb_job *job, uint64_t member,
            const struct jb_msg_request *request)
{
  struct jb_waiter *waiter = talloc_zero (job, struct jb_waiter);

  waiter->member = member;
  waiter->call = request->call;
  waiter->kind = request->kind;
  waiter->next = job->waiters;
  job->waiters = waiter;
}

/* Reply that this host does not own the pool to all requests that wait: for a
   row to be written, or for the rows to be read.  */
static void
dismiss_requests (struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_job *job = value;

      for (struct jb_waiter *w = job->waiters; w != NULL; w = w->next)
        send_reply (pool, w->member, w->call, JB_MSG_NOT_OWNER, 0, 0, 0);
      job->waiters = NULL;
    }
  for (guint i = 0; i < pool->deferred_requests->len; i++)
    {
      struct jb_deferred_request *deferred
          = g_ptr_array_index (pool->deferred_requests, i);

      send_reply (pool, deferred->member, deferred->message->u.request.call,
                  JB_MSG_NOT_OWNER, 0, 0, 0);
      talloc_free (deferred);
    }
  g_ptr_array_set_size (pool->deferred_requests, 0);
}

void
jb_pool_release (struct jb_pool *pool, jb_time now, const char *reason)
{
  if (jb_ownership_state (pool->ownership) == JB_OWNERSHIP_HELD)
    {
      jb_count_event (pool->options.driver, JB_COUNT_OWNERSHIP_RELEASED);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "duty-released", "duty",
              pool->partition, "fence",
              jb_itoa ((int64_t)jb_ownership_fence (pool->ownership)),
              "reason", reason, NULL);
    }
  (void)now;
  jb_pool_cancel_queued_starts (pool);
  dismiss_requests (pool);
  pool->stage = JB_STAGE_NOT_OWNED;
  pool->options.state_changed (pool->options.data, pool);
}

/* ---- jobs ---- */

struct jb_queue_stats *
jb_pool_get_queue_stats (struct jb_pool *pool, const char *name)
{
  struct jb_queue_stats *stats = g_hash_table_lookup (pool->queue_stats, name);

  if (stats == NULL)
    {
      stats = talloc_zero (pool, struct jb_queue_stats);
      stats->mean_work = DEFAULT_MEAN_WORK_CPU_MILLI_MS;
      stats->duration_ratio = 1;
      g_hash_table_insert (pool->queue_stats, talloc_strdup (stats, name),
                           stats);
    }
  return stats;
}

/* Compute when JOB was received and is due, by the driver's clock.  */
static void
compute_local_times (struct jb_pool *pool, struct jb_job *job)
{
  const struct jb_job_desc *desc = job->desc;

  job->received_at = desc->received_unix_ms * JB_MS - pool->unix_origin;
  job->due_at
      = job->received_at
        + (jb_job_desc_critical_path_ms (desc) * desc->stretch_milli / 1000
           + desc->due_margin_ms)
              * JB_MS;
}

void
jb_pool_add_job (struct jb_pool *pool, struct jb_job *job)
{
  g_hash_table_insert (pool->jobs, job->desc->id, job);
  if (job->ended_at != 0)
    return;
  compute_local_times (pool, job);
  if (job->desc->scheduled_occurrences == 0)
    jb_job_open_next_occurrence (job);
  jb_pool_activate_job (pool, job);
}

void
jb_pool_refuse_job (struct jb_pool *pool, struct jb_job *job)
{
  for (const struct jb_waiter *w = job->waiters; w != NULL; w = w->next)
    send_reply (pool, w->member, w->call,
                w->kind == JB_REQUEST_CANCEL ? JB_ANSWER_NO_JOB
                                             : JB_ANSWER_REFUSED,
                0, 0, UNAVAILABLE_RETRY_AFTER_MS);
  jb_count_event (pool->options.driver, JB_COUNT_REFUSED);
  jb_log (pool->options.driver, JB_LEVEL_WARN, "job-refused", "job",
          job->desc->id, "queue", job->desc->queue, "reason",
          "the store refuses it", NULL);
  g_hash_table_remove (pool->jobs, job->desc->id);
  jb_pool_deactivate_job (pool, job);
  g_ptr_array_remove (pool->dirty_jobs, job);
  talloc_free (job);
}

void
jb_pool_open_due_occurrences (struct jb_pool *pool, struct jb_job *job,
                              jb_time now)
{
  const struct jb_job_desc *desc = job->desc;
  int64_t unix_ms = (now + pool->unix_origin) / JB_MS;

  while (job->opened_occurrences < desc->scheduled_occurrences
         && jb_job_can_open_occurrence (job)
         && unix_ms >= desc->first_unix_ms
                           + job->opened_occurrences * desc->interval_ms
                           + OCCURRENCE_START_MARGIN_MS)
    {
      jb_job_open_next_occurrence (job);
      pool->schedule_due = true;
    }
}

static void
stop_all_runs (struct jb_pool *pool, struct jb_job *job, jb_time now,
               const char *reason)
{
  for (guint i = 0; i < job->groups->len; i++)
    {
      struct jb_task_group *group = g_ptr_array_index (job->groups, i);

      for (uint32_t j = 0; group->active_runs > 0 && j < group->task_count;
           j++)
        jb_pool_stop_run (pool, &group->tasks[j], now, reason);
    }
}

void
jb_pool_end_job (struct jb_pool *pool, struct jb_job *job,
                 enum jb_job_state state, jb_time now, const char *reason)
{
  static const enum jb_counter counters[]
      = { [JB_JOB_COMPLETED] = JB_COUNT_COMPLETED,
          [JB_JOB_FAILED] = JB_COUNT_FAILED,
          [JB_JOB_CANCELLED] = JB_COUNT_CANCELLED };

  job->state = state;
  job->ended_at = now;
  jb_job_note_change (job);
  jb_count_event (pool->options.driver, counters[state]);
  if (state == JB_JOB_COMPLETED)
    jb_observe_latency (pool->options.driver, JB_HIST_JOB_DONE,
                        now - job->received_at);
  jb_log (pool->options.driver, JB_LEVEL_INFO, "job-ended", "job",
          job->desc->id, "queue", job->desc->queue, "state",
          jb_job_state_name (state), "reason", reason, "ms",
          jb_itoa ((now - job->received_at) / JB_MS), "late_ms",
          jb_itoa ((now - job->due_at) / JB_MS), NULL);
  jb_pool_mark_dirty (pool, job, now);
  stop_all_runs (pool, job, now, reason);
}

/* Remove JOB from the active jobs if it has ended and has no active runs.  */
static void
deactivate_ended_job (struct jb_pool *pool, struct jb_job *job)
{
  if (job->ended_at == 0 || job->active_runs > 0 || job->is_inactive)
    return;
  job->is_inactive = true;
  jb_pool_deactivate_job (pool, job);
}

void
jb_pool_handle_run_update (struct jb_pool *pool, struct jb_task *task,
                           jb_time now)
{
  struct jb_job *job = task->group->job;
  const struct jb_step *step = jb_task_step (task);
  const struct jb_task *failure_counter
      = step->gang ? &task->group->tasks[0] : task;

  if (job->ended_at != 0)
    {
      if (task->state != JB_RUN_NONE)
        jb_pool_stop_run (pool, task, now, "its job has ended");
      deactivate_ended_job (pool, job);
      return;
    }
  if (jb_crash_gives_up (task) && !task->done)
    {
      jb_pool_attribute_crashes (pool, task, now);
      jb_pool_end_job (pool, job, JB_JOB_FAILED, now,
                       "too many backend servers have crashed under a task");
    }
  else if (!step->long_running && job->desc->max_attempts > 0
           && failure_counter->failures >= job->desc->max_attempts
           && !task->done)
    jb_pool_end_job (pool, job, JB_JOB_FAILED, now,
                     "a task has failed too often");
  else if (jb_job_is_done (job))
    jb_pool_end_job (pool, job, JB_JOB_COMPLETED, now, NULL);
  else if (job->desc->scheduled_occurrences > 1)
    jb_job_drop_done_occurrences (job);
  deactivate_ended_job (pool, job);
}

/* ---- requests ---- */

/* Add the capacity of all reachable backend servers to SUM, and raise LARGEST
   to the largest capacity of one of them, in each dimension.  These are the
   listed ones that answer probes and are not being evacuated for a command to
   their host, whether or not tasks may be started on them now.  Those of an
   evacuated zone count for LARGEST only: a job that fits on them only can wait
   until the zone is taken back.  */
static void
sum_capacity (const struct jb_pool *pool, jb_time now,
              struct jb_resources *sum, struct jb_resources *largest)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (!backend->listed
          || backend->unanswered_probes >= JB_SILENT_AFTER_PROBES
          || now < backend->cordoned_until)
        continue;
      if (!jb_pool_is_in_evacuated_zone (pool, backend))
        jb_resources_add (sum, &backend->capacity);
      largest->cpu_milli
          = MAX (largest->cpu_milli, backend->capacity.cpu_milli);
      largest->memory_mb
          = MAX (largest->memory_mb, backend->capacity.memory_mb);
      largest->accelerators
          = MAX (largest->accelerators, backend->capacity.accelerators);
    }
}

static struct jb_admission
check_admission (struct jb_pool *pool, jb_time now,
                 const struct jb_job_desc *desc)
{
  struct jb_resources capacity = { 0 };
  struct jb_admission_input input
      = { .desc = desc,
          .unfinished_work = jb_pool_unfinished_work (pool),
          .active_jobs = pool->active_jobs->len };

  sum_capacity (pool, now, &capacity, &input.largest_backend);
  input.capacity_cpu_milli = capacity.cpu_milli;
  return jb_admission_decide (&input);
}

/* Return how many thousandths of a core the recently submitted work would keep
   busy.  Work submitted ARRIVAL_DECAY_TIME ago counts 1/e.  */
static int64_t
recent_cpu_demand (const struct jb_pool *pool, jb_time now)
{
  double age = (double)(now - pool->arrived_work_at) / ARRIVAL_DECAY_TIME;

  return (int64_t)(pool->arrived_work * exp (-age) * JB_MS
                   / ARRIVAL_DECAY_TIME);
}

static void
record_arrival (struct jb_pool *pool, jb_time now, int64_t work)
{
  double age = (double)(now - pool->arrived_work_at) / ARRIVAL_DECAY_TIME;

  pool->arrived_work = pool->arrived_work * exp (-age) + (double)work;
  pool->arrived_work_at = now;
}

static void
handle_submit (struct jb_pool *pool, jb_time now, uint64_t member,
               const struct jb_msg_request *request)
{
  struct jb_job *job = g_hash_table_lookup (pool->jobs, request->id);
  struct jb_queue_stats *stats;
  struct jb_admission decision;
  struct jb_job_desc *desc;
  jb_time failing_since = jb_ownership_failing_since (pool->ownership);

  if (job != NULL)
    {
      jb_count_event (pool->options.driver, JB_COUNT_SUBMITTED_AGAIN);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "job-submitted-again",
              "job", request->id, "stored", job->stored ? "yes" : "no", "call",
              jb_itoa ((int64_t)request->call), NULL);
      add_waiter (job, member, request);
      jb_pool_answer_waiters (pool, job, now);
      return;
    }
  if (request->kind == JB_REQUEST_SUBMIT_KNOWN)
    {
      send_reply (pool, member, request->call,
                  jb_pool_has_given_queue_up (pool, request->queue)
                      ? JB_ANSWER_NO_JOB
                      : JB_MSG_NOT_OWNER,
                  0, 0, 0);
      return;
    }
  /* The sender's configuration and this host's are not of the same version.
   */
  if (!jb_pool_has_queue (pool, request->queue))
    {
      send_reply (pool, member, request->call, JB_MSG_NOT_OWNER, 0, 0, 0);
      return;
    }
  if (request->kind == JB_REQUEST_SUBMIT
      && jb_pool_is_queue_new (pool, now, request->queue))
    {
      send_reply (pool, member, request->call, JB_MSG_NOT_OWNER,
                  JB_MSG_REASON_SEARCH_POOLS, 0, 0);
      return;
    }
  if (failing_since != 0 && now - failing_since > STORE_FAILURE_TOLERANCE)
    {
      jb_count_event (pool->options.driver, JB_COUNT_UNAVAILABLE);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "job-unavailable", "job",
              request->id, "reason", "the store does not answer", "since_ms",
              jb_itoa ((now - failing_since) / JB_MS), "call",
              jb_itoa ((int64_t)request->call), NULL);
      send_reply (pool, member, request->call, JB_ANSWER_UNAVAILABLE, 0, 0,
                  UNAVAILABLE_RETRY_AFTER_MS);
      return;
    }
  decision = check_admission (pool, now, request->desc);
  if (!decision.accepted)
    {
      jb_count_event (pool->options.driver, JB_COUNT_REFUSED);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "job-refused", "job",
              request->id, "queue", request->desc->queue, "reason",
              decision.reason, "retry_after_ms",
              jb_itoa (decision.retry_after_ms), "call",
              jb_itoa ((int64_t)request->call), NULL);
      send_reply (pool, member, request->call, JB_ANSWER_REFUSED, 0, 0,
                  decision.retry_after_ms);
      return;
    }
  desc = talloc_zero (pool, struct jb_job_desc);
  ba_codec_deep_copy (desc, jb_job_desc_serialize, request->desc, desc);
  job = jb_job_new (pool, desc);
  jb_pool_add_job (pool, job);
  stats = jb_pool_get_queue_stats (pool, desc->queue);
  if (!jb_job_desc_is_long_running (desc))
    stats->mean_work = (stats->mean_work * (MEAN_WORK_WINDOW_JOBS - 1)
                        + jb_job_desc_work (desc))
                       / MEAN_WORK_WINDOW_JOBS;
  record_arrival (pool, now, jb_job_desc_work (desc));
  add_waiter (job, member, request);
  jb_pool_mark_dirty (pool, job, now);
}

/* Return the state of JOB that clients may see: a final state only once it is
   durable.  */
static enum jb_job_state
visible_state (const struct jb_job *job)
{
  if (job->end_stored)
    return job->state;
  return job->ever_started ? JB_JOB_RUNNING : JB_JOB_PENDING;
}

static void
handle_query (struct jb_pool *pool, uint64_t member,
              const struct jb_msg_request *request)
{
  struct jb_job *job = g_hash_table_lookup (pool->jobs, request->id);

  if (job == NULL || !job->stored)
    send_reply (pool, member, request->call, JB_ANSWER_NO_JOB, 0, 0, 0);
  else
    send_reply (pool, member, request->call, JB_ANSWER_JOB_STATE,
                visible_state (job), 0, 0);
}

static void
handle_cancel (struct jb_pool *pool, jb_time now, uint64_t member,
               const struct jb_msg_request *request)
{
  struct jb_job *job = g_hash_table_lookup (pool->jobs, request->id);

  if (job == NULL)
    {
      send_reply (pool, member, request->call, JB_ANSWER_NO_JOB, 0, 0, 0);
      return;
    }
  add_waiter (job, member, request);
  if (job->ended_at == 0)
    {
      jb_pool_end_job (pool, job, JB_JOB_CANCELLED, now, "cancelled");
      deactivate_ended_job (pool, job);
    }
  jb_pool_answer_waiters (pool, job, now);
}

static void
handle_pending_count (struct jb_pool *pool, jb_time now, uint64_t member,
                      const struct jb_msg_request *request)
{
  uint32_t pending = jb_pool_count_pending (pool, request->queue);
  bool is_new = jb_pool_is_queue_new (pool, now, request->queue);

  send_reply (pool, member, request->call, JB_ANSWER_PENDING_COUNT,
              is_new ? JB_MSG_REASON_SEARCH_POOLS : 0, pending, 0);
}

static void
defer_request (struct jb_pool *pool, uint64_t member,
               const struct jb_msg_request *request)
{
  struct jb_deferred_request *deferred
      = talloc_zero (pool, struct jb_deferred_request);
  struct jb_msg message = { .type = JB_MSG_REQUEST, .u.request = *request };

  deferred->member = member;
  deferred->message
      = jb_msg_decode (deferred, jb_msg_encode (deferred, &message));
  g_ptr_array_add (pool->deferred_requests, deferred);
}

void
jb_pool_handle_request (struct jb_pool *pool, jb_time now, uint64_t member,
                        const struct jb_msg_request *request)
{
  if (jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD
      || jb_pool_is_handing_over (pool))
    {
      send_reply (pool, member, request->call, JB_MSG_NOT_OWNER, 0, 0, 0);
      return;
    }
  if (pool->stage == JB_STAGE_LOADING)
    {
      if (pool->deferred_requests->len < MAX_DEFERRED_REQUESTS)
        defer_request (pool, member, request);
      return;
    }
  if (!jb_pool_may_command (pool, now))
    {
      /* The ownership has expired: another host may have taken over, so an
         answer could be wrong.  */
      jb_ownership_verify (pool->ownership, now);
      return;
    }
  switch ((enum jb_request_kind)request->kind)
    {
    case JB_REQUEST_SUBMIT:
    case JB_REQUEST_SUBMIT_KNOWN:
    case JB_REQUEST_SUBMIT_SEARCHED:
      handle_submit (pool, now, member, request);
      break;
    case JB_REQUEST_QUERY:
      handle_query (pool, member, request);
      break;
    case JB_REQUEST_CANCEL:
      handle_cancel (pool, now, member, request);
      break;
    case JB_REQUEST_PENDING_COUNT:
      handle_pending_count (pool, now, member, request);
      break;
    case JB_REQUEST_KIND_COUNT:
      break;
    }
}

/* ---- backend servers ---- */

void
jb_pool_add_backend (struct jb_pool *pool, struct jb_backend *backend)
{
  g_hash_table_insert (pool->backends, backend->instance, backend);
  g_ptr_array_set_size (pool->backend_list, 0);
}

const GPtrArray *
jb_pool_list_backends (struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  if (pool->backend_list->len == 0)
    {
      g_hash_table_iter_init (&iter, pool->backends);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        g_ptr_array_add (pool->backend_list, value);
    }
  return pool->backend_list;
}

static void
update_backend (struct jb_pool *pool, jb_time now,
                const struct jb_backend_entry *entry)
{
  struct jb_backend *backend
      = g_hash_table_lookup (pool->backends, entry->instance);

  if (backend == NULL)
    {
      backend = jb_backend_new (pool, entry);
      backend->incarnation = pool->last_incarnation;
      backend->fence = jb_pool_last_fence (pool);
      backend->idle_since = now;
      jb_pool_add_backend (pool, backend);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-found", "backend",
              entry->instance, "pool", pool->options.name, "rack",
              backend->rack, NULL);
      pool->schedule_due = true;
      jb_pool_confirm_losses (pool, entry->address, entry->instance, now);
    }
  if (!backend->draining && entry->draining)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-draining", "backend",
            entry->instance, "pool", pool->options.name, "runs",
            jb_itoa (backend->task_count), NULL);
  if (jb_backend_has_restarted (backend, entry->started_unix_ms))
    {
      /* If a probe confirms the restart, all runs there have ended.  */
      backend->next_probe = now;
      backend->probed = false;
    }
  if (jb_backend_update (backend, entry, now))
    {
      jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-relabelled",
              "backend", entry->instance, "pool", pool->options.name, "labels",
              jb_itoa (backend->label_count), "born",
              jb_itoa (entry->started_unix_ms), NULL);
      pool->schedule_due = true;
    }
  backend->listed_at = now;
  backend->list_number = pool->list_number;
  backend->missing_since = 0;
}

/* Callback of g_hash_table_foreach_remove: free the backend server VALUE if it
   left the list at least 2 * UNLISTED_GRACE_PERIOD ago, runs nothing, can't
   carry out a start late, and has no starts or probes in flight.  Return
   whether it was freed.  */
static gboolean
free_if_gone (gpointer key, gpointer value, gpointer data)
{
  struct jb_backend *backend = value;
  jb_time now = *(jb_time *)data;

  (void)key;
  if (backend->listed || backend->task_count > 0 || backend->doubt_count > 0
      || backend->starts_in_flight > 0 || backend->probes_in_flight > 0
      || backend->grant_in_flight
      || now - backend->listed_at < 2 * UNLISTED_GRACE_PERIOD)
    return FALSE;
  talloc_free (backend);
  return TRUE;
}

/* Unlist the backend servers that complete lists have not contained for a
   while, the newest of them just received, and free those that are gone.  */
static void
unlist_missing_backends (struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (backend->list_number == pool->list_number || !backend->listed)
        continue;
      if (backend->missing_since == 0)
        backend->missing_since = now;
      if (now - backend->missing_since > UNLISTED_GRACE_PERIOD)
        {
          backend->listed = false;
          jb_log (pool->options.driver, JB_LEVEL_WARN, "backend-unlisted",
                  "backend", backend->instance, "pool", pool->options.name,
                  "runs", jb_itoa (backend->task_count), NULL);
        }
    }
  if (pool->write_batch == NULL
      && g_hash_table_foreach_remove (pool->backends, free_if_gone, &now) > 0)
    {
      g_ptr_array_set_size (pool->backend_list, 0);
      pool->roster_dirty = true;
    }
}

void
jb_pool_handle_backend_page (struct jb_pool *pool, jb_time now,
                             const struct jb_backend_page *page)
{
  if (pool->stage == JB_STAGE_NOT_OWNED)
    return;
  if (page->first)
    {
      pool->list_number++;
      pool->list_requested_at = page->list_requested_at;
    }
  for (uint32_t i = 0; i < page->count; i++)
    if (strcmp (page->entries[i].pool, pool->options.name) == 0)
      update_backend (pool, now, &page->entries[i]);
  if (page->last && pool->list_number > 0
      && pool->list_requested_at == page->list_requested_at)
    unlist_missing_backends (pool, now);
  jb_pool_finish_scan_if_complete (pool, now);
}

void
jb_pool_get_load (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                  struct jb_msg_load *load)
{
  GHashTableIter iter;
  gpointer value;
  struct jb_resources capacity = { 0 };
  struct jb_resources largest = { 0 };

  memset (load, 0, sizeof *load);
  load->pool = (char *)pool->options.name;
  sum_capacity (pool, now, &capacity, &largest);
  load->capacity_cpu_milli = capacity.cpu_milli;
  load->host_cpu_milli = largest.cpu_milli;
  load->idle_instances
      = talloc_array (mem, char *, g_hash_table_size (pool->backends) + 1);
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (jb_pool_backend_is_usable (pool, backend, now)
          && backend->task_count == 0)
        load->idle_instances[load->idle_instance_count++] = backend->instance;
      for (struct jb_task *task = backend->tasks; task != NULL;
           task = task->next_on_backend)
        {
          const struct jb_step *step = jb_task_step (task);

          if (step->best_effort)
            continue;
          if (step->long_running)
            load->long_running_cpu_milli += step->resources.cpu_milli;
          else
            load->finite_cpu_milli += step->resources.cpu_milli;
        }
    }
  load->waiting_cpu_milli
      = jb_pool_waiting_cpu_milli (pool, capacity.cpu_milli <= 0);
  load->unfinished_work_cpu_milli_ms = jb_pool_unfinished_work (pool);
  load->arriving_cpu_milli = recent_cpu_demand (pool, now);
}

/* ---- periodic work ---- */

/* Remove jobs whose retention time after their end has passed.  */
static void
remove_expired_jobs (struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;
  struct jb_row removed[MAX_JOBS_REMOVED_PER_SWEEP];
  TALLOC_CTX *scratch = talloc_new (NULL);
  uint32_t count = 0;
  jb_time retention
      = (pool->options.bounds->job_retention_ms + JOB_RETENTION_MARGIN_MS)
        * JB_MS;

  g_hash_table_iter_init (&iter, pool->jobs);
  while (count < MAX_JOBS_REMOVED_PER_SWEEP
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_job *job = value;

      if (!job->end_stored || job->active_runs > 0 || job->write_queued
          || job->waiters != NULL || now - job->ended_at < retention)
        continue;
      removed[count++] = (struct jb_row){ .table = JB_JOB_TABLE,
                                          .partition = pool->partition,
                                          .key = talloc_asprintf (
                                              scratch, "%s%s", job->desc->id,
                                              JB_KEY_SUFFIX_END) };
      jb_pool_deactivate_job (pool, job);
      g_hash_table_iter_remove (&iter);
      talloc_free (job);
    }
  if (count > 0)
    jb_ownership_write (pool->ownership, now, NULL, 0, removed, count, NULL,
                        NULL);
  talloc_free (scratch);
}

/* Check for conditions that no event reports: once per SWEEP_INTERVAL, also if
   called more often.  */
static void
sweep (struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  if (now < pool->next_sweep)
    return;
  pool->next_sweep = now + SWEEP_INTERVAL;
  pool->schedule_due = true;
  if (pool->stage < JB_STAGE_SCANNING)
    return;
  jb_pool_finish_scan_if_complete (pool, now);
  jb_pool_release_held_tasks (pool, now);
  pool->release_check_due = true;
  jb_pool_resend_stops (pool, now);
  jb_pool_end_cordons (pool, now);
  jb_pool_expire_losses (pool, now);
  jb_pool_expire_doubts (pool, now);
  jb_pool_expire_restarts (pool, now);
  if (now - jb_ownership_confirmed_at (pool->ownership)
          > OWNERSHIP_VERIFY_AFTER
      || pool->restart_seen_at > jb_ownership_confirmed_at (pool->ownership))
    jb_ownership_verify (pool->ownership, now);
  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      if (job->ended_at == 0 && job->stored)
        jb_pool_open_due_occurrences (pool, job, now);
    }
  if (pool->stage == JB_STAGE_ACTIVE)
    {
      g_hash_table_iter_init (&iter, pool->backends);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (((struct jb_backend *)value)->draining)
          jb_pool_move_long_running (pool, value, now,
                                     "its backend server is draining");
      jb_pool_leave_zones (pool, now);
      if (pool->write_batch == NULL
          && !jb_ownership_has_pending_writes (pool->ownership))
        remove_expired_jobs (pool, now);
    }
}

jb_time
jb_pool_run (struct jb_pool *pool, jb_time now)
{
  jb_time due;

  if (jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return JB_NEVER;
  due = jb_ownership_run (pool->ownership, now);
  if (jb_pool_is_handing_over (pool))
    return MIN (due, jb_pool_run_handover (pool, now));
  jb_pool_query_witnesses (pool, now);
  due = MIN (due, jb_pool_query_awaited_witnesses (pool, now));
  jb_pool_check_predecessor (pool, now);
  jb_pool_write_settled (pool, now);
  jb_pool_update_queues (pool, now);
  sweep (pool, now);
  due = MIN (due, jb_pool_release_loaded_jobs (pool, now));
  jb_pool_schedule (pool, now);
  jb_pool_write_roster (pool, now);
  /* Before rows of starts are removed, on whose runs the leases are.  */
  due = MIN (due, jb_pool_write_leases (pool, now));
  due = MIN (due, jb_pool_run_starts (pool, now));
  due = MIN (due, jb_pool_write_doubts (pool, now));
  due = MIN (due, jb_pool_send_doubts (pool, now));
  jb_pool_write_dirty_jobs (pool, now);
  due = MIN (due, jb_pool_send_grants (pool, now));
  due = MIN (due, jb_pool_send_probes (pool, now));
  if (pool->schedule_due)
    due = MIN (due, pool->next_schedule);
  due = MIN (due, pool->next_sweep);
  if (pool->stage >= JB_STAGE_SCANNING)
    due = MIN (due, jb_pool_usage_report_due_at (pool));
  return MIN (due, jb_pool_write_due_at (pool));
}
