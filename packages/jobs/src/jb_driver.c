#include "jb_driver.h"

#include <inttypes.h>
#include <stdarg.h>

enum
{
  MAX_LOG_FIELDS = 24,
  NUMBER_SLOTS = 8,
  NUMBER_SIZE = 24
};

/* An order without its reply; a child of its owner.  */
struct pending
{
  struct jb_driver *driver;
  uint64_t number;
  enum jb_command_kind kind;
  jb_time sent;
  jb_reply_callback *done;
  void *data;
};

struct jb_driver
{
  const struct jb_driver_ops *effects;
  void *context;
  uint64_t last_number;
  GHashTable *pending;   /* number -> struct pending */
  jb_time store_failing; /* since then; 0: it is not */
  jb_time store_heard;   /* when it last answered; 0: never */
  jb_time store_back;    /* when it answered again after failing; 0: never */
  struct jb_metrics metrics;
};

static int
out_destroy (struct jb_driver *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, out->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct pending *)value)->driver = NULL;
  g_hash_table_destroy (out->pending);
  return 0;
}

struct jb_driver *
jb_driver_new (TALLOC_CTX *mem, const struct jb_driver_ops *effects,
               void *context)
{
  struct jb_driver *out = talloc_zero (mem, struct jb_driver);

  out->effects = effects;
  out->context = context;
  out->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (out, out_destroy);
  return out;
}

static int
pending_destroy (struct pending *pending)
{
  if (pending->driver != NULL)
    g_hash_table_remove (pending->driver->pending, &pending->number);
  return 0;
}

void
jb_driver_submit (struct jb_driver *out, TALLOC_CTX *owner, jb_time now,
                  const struct jb_command *order, jb_reply_callback *done,
                  void *data)
{
  struct pending *pending = talloc_zero (owner, struct pending);

  pending->driver = out;
  pending->number = ++out->last_number;
  pending->kind = order->kind;
  pending->sent = now;
  pending->done = done;
  pending->data = data;
  g_hash_table_insert (out->pending, &pending->number, pending);
  talloc_set_destructor (pending, pending_destroy);
  out->effects->submit (out->context, pending->number, order);
}

/* Note whether the store answers.  */
static void
note_store (struct jb_driver *out, jb_time now, const struct pending *pending,
            enum jb_reply_result result)
{
  bool good = result != JB_RESULT_REFUSED && result != JB_RESULT_UNKNOWN;

  if (pending->kind > JB_COMMAND_REPORT_WAVE)
    return;
  if (good && out->store_failing != 0)
    {
      out->store_back = now;
      jb_log (out, JB_LEVEL_INFO, "store-regained", "away_ms",
              jb_itoa ((now - out->store_failing) / JB_MS), NULL);
    }
  if (!good && out->store_failing == 0)
    jb_log (out, JB_LEVEL_WARN, "store-lost", "result", jb_itoa (result),
            NULL);
  if (good)
    {
      out->store_failing = 0;
      out->store_heard = now;
    }
  else if (out->store_failing == 0)
    out->store_failing = now;
}

jb_time
jb_driver_store_failing_since (const struct jb_driver *out)
{
  return out->store_failing;
}

jb_time
jb_driver_store_recovered_at (const struct jb_driver *out)
{
  return out->store_back;
}

jb_time
jb_driver_store_answered_at (const struct jb_driver *out)
{
  return out->store_heard;
}

void
jb_driver_receive_reply (struct jb_driver *out, jb_time now, uint64_t number,
                         const struct jb_reply *reply)
{
  struct pending *pending = g_hash_table_lookup (out->pending, &number);
  struct pending copy;

  if (pending == NULL)
    return;
  copy = *pending;
  talloc_free (pending);
  note_store (out, now, &copy, reply->result);
  copy.done (copy.data, now, copy.sent, reply);
}

void
jb_driver_send (struct jb_driver *out, uint64_t member,
                struct ba_bytes message)
{
  out->effects->send (out->context, member, message);
}

void
jb_driver_set_members (struct jb_driver *out,
                       const struct jb_member_address *members, uint32_t count)
{
  out->effects->members (out->context, members, count);
}

void
jb_driver_answer_call (struct jb_driver *out, uint64_t call,
                       const struct jb_answer *answer)
{
  out->effects->answer (out->context, call, answer);
}

void
jb_log (struct jb_driver *out, enum jb_level level, const char *event, ...)
{
  struct jb_log_field fields[MAX_LOG_FIELDS];
  uint32_t count = 0;
  const char *name;
  va_list args;

  va_start (args, event);
  while (count < MAX_LOG_FIELDS
         && (name = va_arg (args, const char *)) != NULL)
    {
      const char *value = va_arg (args, const char *);

      if (value == NULL)
        continue;
      fields[count].name = name;
      fields[count++].value = value;
    }
  va_end (args);
  out->effects->log (out->context, level, event, fields, count);
}

const char *
jb_itoa (int64_t number)
{
  static _Thread_local char slots[NUMBER_SLOTS][NUMBER_SIZE];
  static _Thread_local unsigned next;
  char *slot = slots[next++ % NUMBER_SLOTS];

  g_snprintf (slot, NUMBER_SIZE, "%" PRId64, number);
  return slot;
}

void
jb_count_event (struct jb_driver *out, enum jb_counter counter)
{
  out->metrics.counters[counter]++;
}

void
jb_observe_latency (struct jb_driver *out, enum jb_histogram histogram,
                    jb_time duration)
{
  unsigned bucket = 0;

  if (duration < 0)
    duration = 0;
  while (bucket < JB_HIST_BUCKET_COUNT - 1 && duration > (JB_MS << bucket))
    bucket++;
  out->metrics.buckets[histogram][bucket]++;
  out->metrics.sums_us[histogram] += (uint64_t)duration;
}

const struct jb_metrics *
jb_driver_metrics (const struct jb_driver *out)
{
  return &out->metrics;
}

const char *
jb_job_state_name (enum jb_job_state state)
{
  static const char *const names[]
      = { "pending", "running", "completed", "failed", "cancelled" };

  return names[state];
}

static const struct
{
  const char *name;
  const char *labels; /* or NULL */
} counter_names[JB_COUNTER_COUNT] = {
  [JB_COUNT_ACCEPTED] = { "jobs_handed_in", "outcome=\"accepted\"" },
  [JB_COUNT_SUBMITTED_AGAIN] = { "jobs_handed_in", "outcome=\"repeated\"" },
  [JB_COUNT_REFUSED] = { "jobs_handed_in", "outcome=\"refused\"" },
  [JB_COUNT_UNAVAILABLE] = { "jobs_handed_in", "outcome=\"unavailable\"" },
  [JB_COUNT_UNKNOWN] = { "jobs_handed_in", "outcome=\"unknown\"" },
  [JB_COUNT_BAD_KEY] = { "jobs_handed_in", "outcome=\"bad-key\"" },
  [JB_COUNT_NO_QUEUE] = { "jobs_handed_in", "outcome=\"no-queue\"" },
  [JB_COUNT_BAD_REQUEST] = { "jobs_handed_in", "outcome=\"bad-request\"" },
  [JB_COUNT_COMPLETED] = { "jobs_ended", "state=\"completed\"" },
  [JB_COUNT_FAILED] = { "jobs_ended", "state=\"failed\"" },
  [JB_COUNT_CANCELLED] = { "jobs_ended", "state=\"cancelled\"" },
  [JB_COUNT_STARTS] = { "starts", "outcome=\"started\"" },
  [JB_COUNT_START_NO_CAPACITY] = { "starts", "outcome=\"no-room\"" },
  [JB_COUNT_START_STALE_RUN] = { "starts", "outcome=\"old\"" },
  [JB_COUNT_START_LEASE_EXPIRED] = { "starts", "outcome=\"late\"" },
  [JB_COUNT_START_FENCED] = { "starts", "outcome=\"fenced\"" },
  [JB_COUNT_START_NO_TICKET] = { "starts", "outcome=\"no-ticket\"" },
  [JB_COUNT_START_UNHEALTHY] = { "starts", "outcome=\"ill\"" },
  [JB_COUNT_START_UNKNOWN] = { "starts", "outcome=\"unknown\"" },
  [JB_COUNT_END_DONE] = { "runs_ended", "how=\"done\"" },
  [JB_COUNT_END_FAILED] = { "runs_ended", "how=\"failed\"" },
  [JB_COUNT_END_STOPPED] = { "runs_ended", "how=\"stopped\"" },
  [JB_COUNT_END_LEASE_EXPIRED] = { "runs_ended", "how=\"lapsed\"" },
  [JB_COUNT_END_GANG_BROKEN] = { "runs_ended", "how=\"broken\"" },
  [JB_COUNT_END_GANG_INCOMPLETE] = { "runs_ended", "how=\"alone\"" },
  [JB_COUNT_END_VANISHED] = { "runs_ended", "how=\"vanished\"" },
  [JB_COUNT_PROBES_ANSWERED] = { "looks", "outcome=\"answered\"" },
  [JB_COUNT_PROBES_UNANSWERED] = { "looks", "outcome=\"lost\"" },
  [JB_COUNT_STORE_WRITES] = { "store_writes", "outcome=\"done\"" },
  [JB_COUNT_STORE_WRITES_UNKNOWN] = { "store_writes", "outcome=\"unknown\"" },
  [JB_COUNT_STORE_READS] = { "store_reads", NULL },
  [JB_COUNT_OWNERSHIP_CLAIMED] = { "duties", "change=\"taken\"" },
  [JB_COUNT_OWNERSHIP_LOST] = { "duties", "change=\"deposed\"" },
  [JB_COUNT_OWNERSHIP_RELEASED] = { "duties", "change=\"released\"" },
  [JB_COUNT_HOST_MOVES] = { "host_orders", "kind=\"move\"" },
  [JB_COUNT_HOST_MAINTENANCE] = { "host_orders", "kind=\"maintenance\"" },
};

static const char *const histogram_names[JB_HIST_COUNT] = {
  [JB_HIST_JOB_STORED] = "job_stored", [JB_HIST_JOB_STARTED] = "job_started",
  [JB_HIST_JOB_DONE] = "job_done",     [JB_HIST_STORE_WRITE] = "store_write",
  [JB_HIST_TASK_START] = "task_start", [JB_HIST_TAKEOVER] = "takeover",
};

static char *
expose_histogram (char *text, const struct jb_metrics *metrics, unsigned h)
{
  const char *name = histogram_names[h];
  uint64_t sum = 0;

  text = talloc_asprintf_append_buffer (
      text, "# TYPE dogwoodpulley_%s_seconds histogram\n", name);
  for (unsigned i = 0; i < JB_HIST_BUCKET_COUNT; i++)
    {
      sum += metrics->buckets[h][i];
      if (i < JB_HIST_BUCKET_COUNT - 1)
        text = talloc_asprintf_append_buffer (
            text, "dogwoodpulley_%s_seconds_bucket{le=\"%g\"} %" PRIu64 "\n",
            name, 0.001 * (1 << i), sum);
    }
  return talloc_asprintf_append_buffer (
      text,
      "dogwoodpulley_%s_seconds_bucket{le=\"+Inf\"} %" PRIu64 "\n"
      "dogwoodpulley_%s_seconds_sum %.6f\n"
      "dogwoodpulley_%s_seconds_count %" PRIu64 "\n",
      name, sum, name, (double)metrics->sums_us[h] / 1e6, name, sum);
}

char *
jb_metrics_format (TALLOC_CTX *mem, const struct jb_metrics *metrics)
{
  char *text = talloc_strdup (mem, "");
  const char *previous = "";

  for (unsigned i = 0; i < JB_COUNTER_COUNT; i++)
    {
      const char *name = counter_names[i].name;
      const char *labels = counter_names[i].labels;

      if (g_strcmp0 (previous, name) != 0)
        text = talloc_asprintf_append_buffer (
            text, "# TYPE dogwoodpulley_%s_total counter\n", name);
      previous = name;
      text = talloc_asprintf_append_buffer (
          text, "dogwoodpulley_%s_total%s%s%s %" PRIu64 "\n", name,
          labels != NULL ? "{" : "", labels != NULL ? labels : "",
          labels != NULL ? "}" : "", metrics->counters[i]);
    }
  for (unsigned i = 0; i < JB_HIST_COUNT; i++)
    text = expose_histogram (text, metrics, i);
  return text;
}
