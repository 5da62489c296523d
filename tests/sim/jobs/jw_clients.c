/* Clients that hand jobs in, repeat what was not answered, and ask for states.
 */

#include "jw_world.h"

#include <stdio.h>
#include <string.h>

struct jw_call
{
  uint64_t number;
  struct jw_host *host;
  uint32_t life;
  enum jb_call_kind kind;
  struct jw_job *job;
};

static void send_call (struct jw_world *world, struct jw_job *job,
                       enum jb_call_kind kind);

struct again
{
  struct jw_job *job;
  enum jb_call_kind kind;
};

static void
call_again (struct jw_world *world, void *data)
{
  struct again *again = data;

  send_call (world, again->job, again->kind);
}

static void
retry_call (struct jw_world *world, struct jw_job *job, enum jb_call_kind kind,
            jb_time pause)
{
  struct again *again;

  if (++job->attempts > 40)
    return;
  again = talloc_zero (NULL, struct again);
  again->job = job;
  again->kind = kind;
  jw_at (world, world->now + pause, call_again, again);
}

/* The host of a call died, or froze, before it answered.  */
static void
call_lost (struct jw_world *world, void *data)
{
  uint64_t *number = data;
  struct jw_call *call = g_hash_table_lookup (world->calls, number);

  if (call == NULL)
    return;
  g_hash_table_remove (world->calls, number);
  if (call->kind == JB_CALL_SUBMIT)
    call->job->only_refused = false;
  if (call->kind != JB_CALL_QUERY)
    retry_call (world, call->job, call->kind, 100 * JB_MS);
  talloc_free (call);
}

static void
send_call (struct jw_world *world, struct jw_job *job, enum jb_call_kind kind)
{
  const struct jw_outside *outside = world->options.outside;
  uint32_t first = g_rand_int_range (world->random, 0, world->options.hosts);
  struct jw_host *host = NULL;
  struct jw_call *call;
  struct jb_call message = { .kind = kind,
                             .host = "queues.example",
                             .path = job->path,
                             .key = job->desc->org,
                             .deadline_ms = 3000,
                             .received_ms = world->now / JB_MS };

  for (uint32_t i = 0; i < world->options.hosts && host == NULL; i++)
    {
      struct jw_host *h = &world->hosts[(first + i) % world->options.hosts];

      if ((h->host != NULL || h->up) && !h->frozen)
        host = h;
    }
  if (host == NULL)
    {
      retry_call (world, job, kind, 300 * JB_MS);
      return;
    }
  call = talloc_zero (world, struct jw_call);
  call->number = ++world->last_call;
  call->host = host;
  call->life = host->life;
  call->kind = kind;
  call->job = job;
  g_hash_table_insert (world->calls, &call->number, call);
  jw_at (world, world->now + 3200 * JB_MS, call_lost,
         talloc_memdup (NULL, &call->number, sizeof call->number));
  if (kind == JB_CALL_SUBMIT)
    {
      message.desc = talloc_zero (call, struct jb_job_desc);
      ba_codec_deep_copy (message.desc, jb_job_desc_serialize, job->desc,
                          message.desc);
    }
  if (outside != NULL)
    {
      outside->call (outside->context, call->number, host->index, &message);
      return;
    }
  jb_host_receive_call (host->host, world->now, call->number, &message);
  jw_host_turn (host);
}

static void
take_state (struct jw_world *world, struct jw_job *job,
            const struct jb_answer *answer)
{
  job->shown = true;
  job->state = answer->state;
  if (answer->state == JB_JOB_FAILED && !job->hopeless && !world->sick)
    jw_break (world, "LOST", "job %s is shown as failed", job->desc->id);
  if (answer->state != JB_JOB_COMPLETED)
    return;
  for (uint32_t k = 0; k < MAX (job->desc->scheduled_occurrences, 1); k++)
    for (uint32_t i = 0; i < job->desc->step_count; i++)
      for (uint32_t j = 0; j < job->desc->steps[i].task_count; j++)
        {
          char name[64];

          snprintf (name, sizeof name, "%s.%u.%u.%u", job->desc->id, k, i, j);
          if (!jw_task (world, name)->done)
            jw_break (world, "MIXED", "%s is not done", name);
        }
}

void
jw_answer (struct jw_world *world, uint64_t number,
           const struct jb_answer *answer)
{
  struct jw_call *call = g_hash_table_lookup (world->calls, &number);
  struct jw_job *job;

  if (call == NULL)
    return;
  g_hash_table_remove (world->calls, &number);
  job = call->job;
  job->answered_at = world->now;
  switch (answer->kind)
    {
    case JB_ANSWER_ACCEPTED:
      job->accepted = true;
      job->only_refused = false;
      break;
    case JB_ANSWER_JOB_STATE:
      take_state (world, job, answer);
      break;
    case JB_ANSWER_CANCELLED:
      job->cancelled = world->now;
      break;
    case JB_ANSWER_NO_JOB:
      job->gone = true;
      if (job->accepted && call->kind == JB_CALL_QUERY && job->cancelled == 0
          && !job->cancel_sent)
        jw_break (world, "LOST", "job %s is not known", job->desc->id);
      break;
    case JB_ANSWER_REFUSED:
    case JB_ANSWER_UNAVAILABLE:
      if (call->kind != JB_CALL_QUERY)
        retry_call (world, job, call->kind, 400 * JB_MS);
      break;
    case JB_ANSWER_UNKNOWN:
      if (call->kind == JB_CALL_SUBMIT)
        job->only_refused = false;
      if (call->kind != JB_CALL_QUERY)
        retry_call (world, job, call->kind, 100 * JB_MS);
      break;
    default:
      jw_break (world, "ANSWER", "job %s was answered %d", job->desc->id,
                answer->kind);
      break;
    }
  talloc_free (call);
}

const char *
jw_submit (struct jw_world *world, const struct jw_job_options *options)
{
  struct jw_job *job = talloc_zero (world, struct jw_job);
  struct jb_job_desc *desc = talloc_zero (job, struct jb_job_desc);

  job->desc = desc;
  job->pool = options->pool;
  job->only_refused = true;
  job->hopeless = options->hopeless;
  desc->id = talloc_asprintf (desc, "%08x%08x", g_rand_int (world->random),
                              g_rand_int (world->random));
  desc->queue = talloc_asprintf (desc, "queue-%u", options->pool);
  desc->org = talloc_strdup (desc, options->key ? options->key : "key-0");
  desc->spec = talloc_asprintf (desc, "%d %d", (int)options->ms,
                                options->lasts      ? -1
                                : options->hopeless ? 1
                                                    : 0);
  desc->step_count = options->steps;
  desc->steps = talloc_zero_array (desc, struct jb_step, options->steps);
  for (uint32_t i = 0; i < options->steps; i++)
    {
      struct jb_step *step = &desc->steps[i];

      step->task_count = options->width;
      step->resources.cpu_milli = options->cpu;
      step->resources.memory_mb = 100;
      step->estimate_ms = options->ms;
      step->long_running = options->lasts;
      step->max_unavailable = options->may_miss;
      step->gang = options->gang;
      step->max_per_backend = options->lasts ? 1 : 0;
      step->predecessors = talloc_zero_array (desc, uint32_t, 1);
      step->predecessor_count = i > 0 ? 1 : 0;
      step->predecessors[0] = i > 0 ? i - 1 : 0;
    }
  desc->scheduled_occurrences = options->times;
  desc->interval_ms = options->interval_ms;
  desc->first_unix_ms = world->now / JB_MS + 500;
  job->path = talloc_asprintf (job, "/q%u/%s", options->pool, desc->id);
  g_hash_table_insert (world->jobs, desc->id, job);
  send_call (world, job, JB_CALL_SUBMIT);
  return desc->id;
}

struct jw_job *
jw_job (struct jw_world *world, const char *id)
{
  return g_hash_table_lookup (world->jobs, id);
}

void
jw_cancel (struct jw_world *world, const char *id)
{
  struct jw_job *job = jw_job (world, id);

  job->cancel_sent = true;
  job->attempts = 0;
  send_call (world, job, JB_CALL_CANCEL);
}

void
jw_ask_all (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct jw_job *)value)->accepted)
      send_call (world, value, JB_CALL_QUERY);
}

bool
jw_all_ended (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jw_job *job = value;

      if (job->accepted && !job->cancel_sent
          && !jb_job_desc_is_long_running (job->desc)
          && (!job->shown || job->state < JB_JOB_COMPLETED))
        return false;
    }
  return true;
}

void
jw_check_finished (struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  jw_ask_all (world);
  jw_run (world, 3 * JB_SECOND);
  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jw_job *job = value;
      bool lasts = jb_job_desc_is_long_running (job->desc);

      if (job->started && job->only_refused)
        jw_break (world, "REFUSED", "job %s started", job->desc->id);
      if (!job->accepted || job->cancel_sent)
        continue;
      if (!job->shown)
        jw_break (world, "LOST", "job %s: no answer", job->desc->id);
      else if (!lasts && job->state != JB_JOB_COMPLETED && !job->hopeless
               && !(world->sick && job->state == JB_JOB_FAILED))
        jw_break (world, "LOST", "job %s is %s", job->desc->id,
                  jb_job_state_name (job->state));
      else if (lasts
               && jw_running (world, job->desc->id)
                      < job->desc->steps[0].task_count)
        jw_break (world, "LOST", "job %s: %u of %u tasks at work",
                  job->desc->id, jw_running (world, job->desc->id),
                  job->desc->steps[0].task_count);
    }
}
