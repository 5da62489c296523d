/* Clients that submit, cancel and query jobs.  They retry submissions and
   cancellations that were refused or not answered, and check the answers.  */

#include "jw_world.h"

#include <stdio.h>
#include <string.h>

/* Longer than the deadline of a call.  */
#define CALL_TIMEOUT (3200 * JB_MS)

/* Delays before a retry.  */
#define UNANSWERED_RETRY_DELAY (100 * JB_MS)
#define REFUSED_RETRY_DELAY (400 * JB_MS)
#define NO_HOST_RETRY_DELAY (300 * JB_MS)

/* A call that was sent less than this before its entry host ended as planned
   may remain without an answer.  */
#define CUT_OFF_SLACK (200 * JB_MS)

enum
{
  CALL_DEADLINE_MS = 3000,
  MAX_RETRIES = 40
};

/* A call that waits for its turn in the event loop of its entry host.  */
struct queued_call
{
  struct jw_host *host;
  uint32_t epoch;
  uint64_t number;
  struct jb_call call;
};

struct jw_call
{
  uint64_t key;
  enum jb_call_kind kind;
  struct jw_job *job;
  jb_time sent_at;
};

uint64_t
jw_call_key (const struct jw_host *host, uint64_t number)
{
  return (uint64_t)host->index << 56 | (uint64_t)host->epoch << 32 | number;
}

static void send_call (struct jw_world *world, struct jw_job *job,
                       enum jb_call_kind kind);

struct scheduled_retry
{
  struct jw_job *job;
  enum jb_call_kind kind;
};

static void
send_retry (struct jw_world *world, void *data)
{
  struct scheduled_retry *retry = data;

  send_call (world, retry->job, retry->kind);
}

static void
retry_call (struct jw_world *world, struct jw_job *job, enum jb_call_kind kind,
            jb_time delay)
{
  struct scheduled_retry *retry;

  if (++job->retries > MAX_RETRIES)
    return;
  retry = talloc_zero (NULL, struct scheduled_retry);
  retry->job = job;
  retry->kind = kind;
  jw_schedule (world, world->now + delay, send_retry, retry);
}

/* Give up waiting for the answer to a call, for example because its entry host
   was killed or frozen, and retry the call unless it is a query.  */
static void
call_timed_out (struct jw_world *world, void *data)
{
  uint64_t *key = data;
  struct jw_call *call = g_hash_table_lookup (world->calls, key);

  if (call == NULL)
    return;
  g_hash_table_remove (world->calls, key);
  if (call->kind == JB_CALL_SUBMIT)
    {
      call->job->open_submissions--;
      call->job->only_refused = false;
    }
  if (call->kind != JB_CALL_QUERY)
    retry_call (world, call->job, call->kind, UNANSWERED_RETRY_DELAY);
  talloc_free (call);
}

static void
handle_queued_call (struct jw_world *world, void *data)
{
  const struct queued_call *queued = data;
  struct jw_host *host = queued->host;

  if (host->host == NULL || host->epoch != queued->epoch)
    return;
  jb_host_receive_call (host->host, world->now, queued->number, &queued->call);
  jw_host_run (host);
}

/* Let HOST, whose event loop is late, handle its last call at WHEN, which is
   CALL.  Its description is moved.  */
static void
queue_call (struct jw_world *world, struct jw_host *host,
            const struct jb_call *call, jb_time when)
{
  struct queued_call *queued = talloc_zero (NULL, struct queued_call);

  queued->host = host;
  queued->epoch = host->epoch;
  queued->number = host->last_call;
  queued->call = *call;
  talloc_steal (queued, call->desc);
  jw_schedule (world, when, handle_queued_call, queued);
}

/* Send a call about JOB to a random entry host that is up and not frozen.  */
static void
send_call (struct jw_world *world, struct jw_job *job, enum jb_call_kind kind)
{
  const struct jw_external_hosts *external_hosts
      = world->options.external_hosts;
  uint32_t first = g_rand_int_range (world->random, 0, world->options.hosts);
  struct jw_host *host = NULL;
  struct jw_call *call;
  struct jb_call message = { .kind = kind,
                             .host = "queues.example",
                             .path = job->path,
                             .key = job->desc->org,
                             .deadline_ms = CALL_DEADLINE_MS,
                             .received_ms = world->now / JB_MS };
  jb_time when;

  for (uint32_t i = 0; i < world->options.hosts && host == NULL; i++)
    {
      struct jw_host *h = &world->hosts[(first + i) % world->options.hosts];

      if ((h->host != NULL || h->up) && !h->frozen)
        host = h;
    }
  if (host == NULL)
    {
      retry_call (world, job, kind, NO_HOST_RETRY_DELAY);
      return;
    }
  call = talloc_zero (world, struct jw_call);
  call->key = jw_call_key (host, ++host->last_call);
  call->kind = kind;
  call->job = job;
  call->sent_at = world->now;
  g_hash_table_insert (world->calls, &call->key, call);
  jw_schedule (world, world->now + CALL_TIMEOUT, call_timed_out,
               talloc_memdup (NULL, &call->key, sizeof call->key));
  if (kind == JB_CALL_SUBMIT)
    {
      job->open_submissions++;
      message.desc = talloc_zero (call, struct jb_job_desc);
      ba_codec_deep_copy (message.desc, jb_job_desc_serialize, job->desc,
                          message.desc);
    }
  if (external_hosts != NULL)
    {
      external_hosts->send_call (external_hosts->context, call->key,
                                 host->index, &message);
      return;
    }
  when = jw_host_handling_time (host);
  if (when > world->now)
    {
      queue_call (world, host, &message, when);
      return;
    }
  jb_host_receive_call (host->host, world->now, host->last_call, &message);
  jw_host_run (host);
}

static bool
is_call_to (const struct jw_call *call, const struct jw_host *host)
{
  return call->key >> 32 == jw_call_key (host, 0) >> 32;
}

bool
jw_has_calls (struct jw_world *world, const struct jw_host *host)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_call_to (value, host))
      return true;
  return false;
}

void
jw_check_calls_answered (struct jw_world *world, const struct jw_host *host)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jw_call *call = value;

      if (is_call_to (call, host)
          && world->now - call->sent_at > CUT_OFF_SLACK)
        jw_report_violation (world, "LOST",
                             "%s has stopped without an answer to a call for "
                             "job %s, sent %d ms before",
                             host->name, call->job->desc->id,
                             (int)((world->now - call->sent_at) / JB_MS));
    }
}

static void
check_job_state (struct jw_world *world, struct jw_job *job,
                 const struct jb_answer *answer)
{
  job->state_known = true;
  job->state = answer->state;
  if (answer->state == JB_JOB_FAILED && !job->always_fails
      && !world->backends_fail_runs && !jw_may_give_up_job (world, job))
    jw_report_violation (world, "LOST",
                         "job %s is reported as failed, but its tasks don't "
                         "fail",
                         job->desc->id);
  if (answer->state != JB_JOB_COMPLETED)
    return;
  for (uint32_t k = 0; k < MAX (job->desc->scheduled_occurrences, 1); k++)
    for (uint32_t i = 0; i < job->desc->step_count; i++)
      for (uint32_t j = 0; j < job->desc->steps[i].task_count; j++)
        {
          char name[64];

          snprintf (name, sizeof name, "%s.%u.%u.%u", job->desc->id, k, i, j);
          if (!jw_get_task (world, name)->done)
            jw_report_violation (world, "MIXED",
                                 "the job of %s is reported as completed, but "
                                 "the task is not done",
                                 name);
        }
}

void
jw_receive_answer (struct jw_world *world, uint64_t key,
                   const struct jb_answer *answer)
{
  struct jw_call *call = g_hash_table_lookup (world->calls, &key);
  struct jw_job *job;

  if (call == NULL)
    return;
  g_hash_table_remove (world->calls, &key);
  job = call->job;
  job->answered_at = world->now;
  if (call->kind == JB_CALL_SUBMIT)
    job->open_submissions--;
  switch (answer->kind)
    {
    case JB_ANSWER_ACCEPTED:
      job->accepted = true;
      job->only_refused = false;
      break;
    case JB_ANSWER_JOB_STATE:
      check_job_state (world, job, answer);
      break;
    case JB_ANSWER_CANCELLED:
      job->cancelled_at = world->now;
      break;
    case JB_ANSWER_NO_JOB:
      job->not_found = true;
      if (job->accepted && call->kind == JB_CALL_QUERY
          && job->cancelled_at == 0 && !job->cancel_sent)
        jw_report_violation (world, "LOST",
                             "job %s is unknown, although it was accepted",
                             job->desc->id);
      break;
    case JB_ANSWER_REFUSED:
    case JB_ANSWER_UNAVAILABLE:
      if (call->kind == JB_CALL_CANCEL
          || (call->kind == JB_CALL_SUBMIT && !world->clients_give_up))
        retry_call (world, job, call->kind, REFUSED_RETRY_DELAY);
      break;
    case JB_ANSWER_UNKNOWN:
      if (call->kind == JB_CALL_SUBMIT)
        job->only_refused = false;
      if (call->kind != JB_CALL_QUERY)
        retry_call (world, job, call->kind, UNANSWERED_RETRY_DELAY);
      break;
    default:
      jw_report_violation (world, "ANSWER", "job %s was answered with kind %d",
                           job->desc->id, answer->kind);
      break;
    }
  talloc_free (call);
}

const char *
jw_submit_job (struct jw_world *world, const struct jw_job_options *options)
{
  struct jw_job *job = talloc_zero (world, struct jw_job);
  struct jb_job_desc *desc = talloc_zero (job, struct jb_job_desc);
  guint32 low;

  job->desc = desc;
  job->pool = options->pool;
  job->only_refused = true;
  job->always_fails = options->always_fails;
  job->crashes_backends = options->crashes_backends;
  low = g_rand_int (world->random);
  desc->id
      = talloc_asprintf (desc, "%08x%08x", g_rand_int (world->random), low);
  desc->queue = talloc_asprintf (desc, "queue-%u", options->pool);
  /* On the client's side, the API key stands for the organisation.  */
  desc->org
      = talloc_strdup (desc, options->api_key ? options->api_key : "key-0");
  desc->spec = talloc_asprintf (desc, "%d %d", (int)options->duration_ms,
                                options->long_running       ? -1
                                : options->crashes_backends ? 2
                                : options->always_fails     ? 1
                                                            : 0);
  desc->step_count = options->step_count;
  desc->steps = talloc_zero_array (desc, struct jb_step, options->step_count);
  for (uint32_t i = 0; i < options->step_count; i++)
    {
      struct jb_step *step = &desc->steps[i];

      step->task_count = options->tasks_per_step;
      step->resources.cpu_milli = options->cpu_milli;
      step->resources.memory_mb = 100;
      step->estimate_ms = options->estimate_ms > 0 ? options->estimate_ms
                                                   : options->duration_ms;
      step->long_running = options->long_running;
      step->best_effort = options->best_effort;
      step->max_unavailable = options->max_unavailable;
      step->gang = options->gang;
      step->required_label = talloc_strdup (desc, options->required_label);
      step->speculative = options->speculative && i == 0;
      step->max_per_backend = options->long_running ? 1 : 0;
      step->predecessors = talloc_zero_array (desc, uint32_t, 1);
      step->predecessor_count = i > 0 ? 1 : 0;
      step->predecessors[0] = i > 0 ? i - 1 : 0;
    }
  desc->scheduled_occurrences = options->occurrence_count;
  desc->interval_ms = options->interval_ms;
  desc->first_unix_ms = world->now / JB_MS + 500;
  job->path = talloc_asprintf (job, "/q%u/%s", options->pool, desc->id);
  g_hash_table_insert (world->jobs, desc->id, job);
  send_call (world, job, JB_CALL_SUBMIT);
  return desc->id;
}

void
jw_resubmit_job (struct jw_world *world, const char *id)
{
  send_call (world, jw_find_job (world, id), JB_CALL_SUBMIT);
}

struct jw_job *
jw_find_job (struct jw_world *world, const char *id)
{
  return g_hash_table_lookup (world->jobs, id);
}

void
jw_cancel_job (struct jw_world *world, const char *id)
{
  struct jw_job *job = jw_find_job (world, id);

  job->cancel_sent = true;
  job->retries = 0;
  send_call (world, job, JB_CALL_CANCEL);
}

void
jw_query_all_jobs (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct jw_job *)value)->accepted)
      send_call (world, value, JB_CALL_QUERY);
}

/* Return whether every task of JOB, a long-running one, runs.  */
static bool
do_all_tasks_run (struct jw_world *world, const struct jw_job *job)
{
  return jw_count_running_tasks (world, job->desc->id)
         >= job->desc->steps[0].task_count;
}

bool
jw_have_all_jobs_settled (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jw_job *job = value;

      if (!job->accepted || job->cancel_sent)
        continue;
      if (jb_job_desc_is_long_running (job->desc)
              ? !do_all_tasks_run (world, job)
              : !job->state_known || job->state < JB_JOB_COMPLETED)
        return false;
    }
  return true;
}

void
jw_check_final_states (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  jw_query_all_jobs (world);
  jw_advance (world, 3 * JB_SECOND);
  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jw_job *job = value;
      bool long_running = jb_job_desc_is_long_running (job->desc);

      if (job->started && job->only_refused)
        jw_report_violation (world, "REFUSED",
                             "job %s started although it was refused",
                             job->desc->id);
      if (!job->accepted || job->cancel_sent)
        continue;
      if (!job->state_known)
        jw_report_violation (world, "LOST",
                             "job %s: no query for its state was answered",
                             job->desc->id);
      else if (!long_running && job->state != JB_JOB_COMPLETED
               && !job->always_fails
               && !(job->state == JB_JOB_FAILED
                    && jw_may_give_up_job (world, job))
               && !(world->backends_fail_runs && job->state == JB_JOB_FAILED))
        jw_report_violation (world, "LOST",
                             "job %s is %s instead of completed",
                             job->desc->id, jb_job_state_name (job->state));
      else if (long_running && !do_all_tasks_run (world, job))
        jw_report_violation (world, "LOST", "job %s: %u of %u tasks run",
                             job->desc->id,
                             jw_count_running_tasks (world, job->desc->id),
                             job->desc->steps[0].task_count);
    }
}
