/* The handle of a driver: commands in flight, state of the store, log lines
   and metrics.  */

#include "jb_driver.h"

#include <inttypes.h>
#include <stdarg.h>

/* Minimum time between two log lines about skipped entries of one list.  */
#define SKIPPED_LOG_INTERVAL (10 * JB_SECOND)

enum
{
  MAX_LOG_FIELD_COUNT = 24,
  NUMBER_BUFFER_COUNT = 10, /* of jb_itoa */
  NUMBER_BUFFER_BYTES = 24  /* holds any int64_t */
};

/* A command whose reply has not arrived.  It is a talloc child of the owner
   given to jb_driver_submit.  */
struct in_flight_command
{
  struct jb_driver *driver;
  uint64_t number;
  enum jb_command_kind kind;
  jb_time sent_at;
  jb_reply_callback *callback;
  void *data;
};

struct jb_driver
{
  const struct jb_driver_ops *ops;
  void *context;
  uint64_t last_number;
  GHashTable *in_flight;       /* number -> struct in_flight_command */
  jb_time store_failing_since; /* 0: the last call was answered */
  jb_time store_answered_at;   /* 0: never */
  jb_time store_recovered_at;  /* 0: never */
  /* When skipped entries may be logged again, by the kind of command.  */
  jb_time next_skipped_log[JB_COMMAND_KIND_COUNT];
  struct jb_metrics metrics;
};

static int
driver_destroy (struct jb_driver *driver)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, driver->in_flight);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct in_flight_command *)value)->driver = NULL;
  g_hash_table_destroy (driver->in_flight);
  return 0;
}

struct jb_driver *
jb_driver_new (TALLOC_CTX *mem, const struct jb_driver_ops *ops, void *context)
{
  struct jb_driver *driver = talloc_zero (mem, struct jb_driver);

  driver->ops = ops;
  driver->context = context;
  driver->in_flight = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (driver, driver_destroy);
  return driver;
}

static int
in_flight_destroy (struct in_flight_command *in_flight)
{
  if (in_flight->driver != NULL)
    g_hash_table_remove (in_flight->driver->in_flight, &in_flight->number);
  return 0;
}

void
jb_driver_submit (struct jb_driver *driver, TALLOC_CTX *owner, jb_time now,
                  const struct jb_command *command,
                  jb_reply_callback *callback, void *data)
{
  struct in_flight_command *in_flight
      = talloc_zero (owner, struct in_flight_command);

  in_flight->driver = driver;
  in_flight->number = ++driver->last_number;
  in_flight->kind = command->kind;
  in_flight->sent_at = now;
  in_flight->callback = callback;
  in_flight->data = data;
  g_hash_table_insert (driver->in_flight, &in_flight->number, in_flight);
  talloc_set_destructor (in_flight, in_flight_destroy);
  driver->ops->submit (driver->context, in_flight->number, command);
}

/* Record whether the store answered, if the command IN_FLIGHT went to the
   store.  */
static void
record_store_result (struct jb_driver *driver, jb_time now,
                     const struct in_flight_command *in_flight,
                     enum jb_reply_result result)
{
  bool answered = result != JB_RESULT_REFUSED && result != JB_RESULT_UNKNOWN;

  if (in_flight->kind > JB_COMMAND_REPORT_WAVE || result == JB_RESULT_NOT_SENT)
    return;
  if (answered && driver->store_failing_since != 0)
    {
      driver->store_recovered_at = now;
      jb_log (driver, JB_LEVEL_INFO, "store-recovered", "failing_ms",
              jb_itoa ((now - driver->store_failing_since) / JB_MS), NULL);
    }
  if (!answered && driver->store_failing_since == 0)
    jb_log (driver, JB_LEVEL_WARN, "store-not-answering", "result",
            jb_itoa (result), NULL);
  if (answered)
    {
      driver->store_failing_since = 0;
      driver->store_answered_at = now;
    }
  else if (driver->store_failing_since == 0)
    driver->store_failing_since = now;
}

void
jb_driver_report_store_silence (struct jb_driver *driver, jb_time now)
{
  if (driver->store_failing_since != 0)
    return;
  driver->store_failing_since = now;
  jb_log (driver, JB_LEVEL_WARN, "store-not-answering", "result",
          jb_itoa (JB_RESULT_UNKNOWN), NULL);
}

jb_time
jb_driver_store_failing_since (const struct jb_driver *driver)
{
  return driver->store_failing_since;
}

jb_time
jb_driver_store_recovered_at (const struct jb_driver *driver)
{
  return driver->store_recovered_at;
}

jb_time
jb_driver_store_answered_at (const struct jb_driver *driver)
{
  return driver->store_answered_at;
}

/* Count the entries that REPLY to a command of KIND left out, and log them
   unless that was done a short time ago: lists are read again and again.  */
static void
record_skipped_entries (struct jb_driver *driver, jb_time now,
                        enum jb_command_kind kind,
                        const struct jb_reply *reply)
{
  /* Indexed by enum jb_command_kind.  */
  static const char *const lists[]
      = { [JB_COMMAND_WRITE] = "rows",
          [JB_COMMAND_READ] = "rows",
          [JB_COMMAND_WATCH_CONFIG] = "operators-orders",
          [JB_COMMAND_LIST_BACKENDS] = "backend-servers",
          [JB_COMMAND_REPORT_WAVE] = "rows",
          [JB_COMMAND_START_TASK] = "runs",
          [JB_COMMAND_STOP_TASK] = "runs",
          [JB_COMMAND_PROBE] = "runs",
          [JB_COMMAND_SET_SPEED] = "runs",
          [JB_COMMAND_GET_ADVICE] = "advice",
          [JB_COMMAND_LIST_HOSTS] = "hosts",
          [JB_COMMAND_MOVE_HOST] = "hosts",
          [JB_COMMAND_MAINTAIN_HOST] = "hosts" };

  if (reply->skipped_count == 0)
    return;
  jb_count_events (driver, JB_COUNT_ENTRIES_SKIPPED, reply->skipped_count);
  if (now < driver->next_skipped_log[kind])
    return;
  driver->next_skipped_log[kind] = now + SKIPPED_LOG_INTERVAL;
  jb_log (driver, JB_LEVEL_WARN, "entries-skipped", "list", lists[kind],
          "count", jb_itoa (reply->skipped_count), "first", reply->skipped_key,
          NULL);
}

void
jb_driver_receive_reply (struct jb_driver *driver, jb_time now,
                         uint64_t number, const struct jb_reply *reply)
{
  struct in_flight_command *in_flight
      = g_hash_table_lookup (driver->in_flight, &number);
  struct in_flight_command copy;

  if (in_flight == NULL)
    return;
  copy = *in_flight;
  talloc_free (in_flight);
  record_store_result (driver, now, &copy, reply->result);
  record_skipped_entries (driver, now, copy.kind, reply);
  copy.callback (copy.data, now, copy.sent_at, reply);
}

void
jb_driver_send (struct jb_driver *driver, uint64_t member,
                struct ba_bytes message)
{
  driver->ops->send (driver->context, member, message);
}

void
jb_driver_set_members (struct jb_driver *driver,
                       const struct jb_member_address *members, uint32_t count)
{
  driver->ops->set_members (driver->context, members, count);
}

void
jb_driver_answer_call (struct jb_driver *driver, uint64_t call,
                       const struct jb_answer *answer)
{
  driver->ops->answer (driver->context, call, answer);
}

void
jb_log (struct jb_driver *driver, enum jb_level level, const char *event, ...)
{
  struct jb_log_field fields[MAX_LOG_FIELD_COUNT];
  uint32_t count = 0;
  const char *name;
  va_list args;

  va_start (args, event);
  while (count < MAX_LOG_FIELD_COUNT
         && (name = va_arg (args, const char *)) != NULL)
    {
      const char *value = va_arg (args, const char *);

      if (value == NULL)
        continue;
      fields[count].name = name;
      fields[count++].value = value;
    }
  va_end (args);
  driver->ops->log (driver->context, level, event, fields, count);
}

const char *
jb_itoa (int64_t number)
{
  static _Thread_local char buffers[NUMBER_BUFFER_COUNT][NUMBER_BUFFER_BYTES];
  static _Thread_local unsigned next_index;
  char *buffer = buffers[next_index++ % NUMBER_BUFFER_COUNT];

  g_snprintf (buffer, NUMBER_BUFFER_BYTES, "%" PRId64, number);
  return buffer;
}

void
jb_count_event (struct jb_driver *driver, enum jb_counter counter)
{
  driver->metrics.counters[counter]++;
}

void
jb_count_events (struct jb_driver *driver, enum jb_counter counter,
                 uint64_t number)
{
  driver->metrics.counters[counter] += number;
}

void
jb_observe_latency (struct jb_driver *driver, enum jb_histogram histogram,
                    jb_time duration)
{
  unsigned bucket = 0;

  if (duration < 0)
    duration = 0;
  while (bucket < JB_HIST_BUCKET_COUNT - 1 && duration > (JB_MS << bucket))
    bucket++;
  driver->metrics.buckets[histogram][bucket]++;
  driver->metrics.sums_us[histogram] += (uint64_t)duration;
}

const struct jb_metrics *
jb_driver_metrics (const struct jb_driver *driver)
{
  return &driver->metrics;
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
  [JB_COUNT_CALLS_REPEATED] = { "calls_repeated", NULL },
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
  [JB_COUNT_START_NOT_SENT] = { "starts", "outcome=\"not-sent\"" },
  [JB_COUNT_START_UNKNOWN] = { "starts", "outcome=\"unknown\"" },
  [JB_COUNT_STARTS_REPEATED] = { "starts_repeated", NULL },
  [JB_COUNT_END_DONE] = { "runs_ended", "how=\"done\"" },
  [JB_COUNT_END_FAILED] = { "runs_ended", "how=\"failed\"" },
  [JB_COUNT_END_STOPPED] = { "runs_ended", "how=\"stopped\"" },
  [JB_COUNT_END_LEASE_EXPIRED] = { "runs_ended", "how=\"lapsed\"" },
  [JB_COUNT_END_GANG_BROKEN] = { "runs_ended", "how=\"broken\"" },
  [JB_COUNT_END_GANG_INCOMPLETE] = { "runs_ended", "how=\"alone\"" },
  [JB_COUNT_END_VANISHED] = { "runs_ended", "how=\"vanished\"" },
  [JB_COUNT_PROBES_ANSWERED] = { "looks", "outcome=\"answered\"" },
  [JB_COUNT_PROBES_UNANSWERED] = { "looks", "outcome=\"lost\"" },
  [JB_COUNT_PROBES_NOT_SENT] = { "looks", "outcome=\"not-sent\"" },
  [JB_COUNT_BACKENDS_CRASHED] = { "backends_crashed", NULL },
  [JB_COUNT_LATE_RUNS_RESTARTED] = { "late_runs", "restarted=\"yes\"" },
  [JB_COUNT_LATE_RUNS_SAME] = { "late_runs", "restarted=\"no\"" },
  [JB_COUNT_GIVEN_UP_RUNS_DROPPED] = { "given_up_runs_dropped", NULL },
  [JB_COUNT_STORE_WRITES] = { "store_writes", "outcome=\"done\"" },
  [JB_COUNT_STORE_WRITES_UNKNOWN] = { "store_writes", "outcome=\"unknown\"" },
  [JB_COUNT_STORE_READS] = { "store_reads", NULL },
  [JB_COUNT_CATALOG_READS_FAILED] = { "configuration_reads_failed", NULL },
  [JB_COUNT_CATALOGS_SENT] = { "configuration_copies_sent", NULL },
  [JB_COUNT_DOUBT_MESSAGES_SENT] = { "doubt_messages_sent", NULL },
  [JB_COUNT_OWNERSHIP_CLAIMED] = { "duties", "change=\"taken\"" },
  [JB_COUNT_OWNERSHIP_LOST] = { "duties", "change=\"deposed\"" },
  [JB_COUNT_OWNERSHIP_RELEASED] = { "duties", "change=\"released\"" },
  [JB_COUNT_HOST_MOVES] = { "host_orders", "kind=\"move\"" },
  [JB_COUNT_HOST_MAINTENANCE] = { "host_orders", "kind=\"maintenance\"" },
  [JB_COUNT_ZONES_EVACUATED] = { "zone_orders", "kind=\"evacuate\"" },
  [JB_COUNT_ZONES_RESTORED] = { "zone_orders", "kind=\"restore\"" },
  [JB_COUNT_COMMANDED_WRITES] = { "commanded_host_writes", NULL },
  [JB_COUNT_COMMANDED_INHERITED] = { "commanded_hosts_inherited", NULL },
  [JB_COUNT_QUOTA_WAITS_SHORT] = { "quota_waits", "predecessor=\"ended\"" },
  [JB_COUNT_QUOTA_WAITS_FULL] = { "quota_waits", "predecessor=\"unknown\"" },
  [JB_COUNT_COPIES_STARTED] = { "speculative_copies", NULL },
  [JB_COUNT_LOADED_JOBS_RELEASED]
  = { "loaded_jobs", "released=\"after-scan\"" },
  [JB_COUNT_LOADED_JOBS_RELEASED_EARLY]
  = { "loaded_jobs", "released=\"early\"" },
  [JB_COUNT_RESERVATIONS_MADE] = { "reservations", "event=\"made\"" },
  [JB_COUNT_RESERVATIONS_KEPT] = { "reservations", "event=\"kept\"" },
  [JB_COUNT_RESERVATIONS_BROKEN] = { "reservations", "event=\"broken\"" },
  [JB_COUNT_RESERVATIONS_WITHDRAWN]
  = { "reservations", "event=\"withdrawn\"" },
  [JB_COUNT_PLACED_IN_GAPS] = { "placed_in_gaps", NULL },
  [JB_COUNT_RESERVED_IDLE_CORE_MS] = { "reserved_idle_core_ms", NULL },
  [JB_COUNT_JOBS_DEFERRED] = { "jobs_deferred", NULL },
  [JB_COUNT_ENTRIES_SKIPPED] = { "entries_skipped", NULL },
};

static const char *const histogram_names[JB_HIST_COUNT] = {
  [JB_HIST_JOB_STORED] = "job_stored",
  [JB_HIST_JOB_STARTED] = "job_started",
  [JB_HIST_JOB_DONE] = "job_done",
  [JB_HIST_STORE_WRITE] = "store_write",
  [JB_HIST_TASK_START] = "task_start",
  [JB_HIST_TAKEOVER] = "takeover",
  [JB_HIST_PLANNER_TAKEOVER] = "planner_takeover",
};

static char *
format_histogram (char *text, const struct jb_metrics *metrics,
                  unsigned histogram)
{
  const char *name = histogram_names[histogram];
  uint64_t cumulative_count = 0;

  text = talloc_asprintf_append_buffer (
      text, "# TYPE dogwoodpulley_%s_seconds histogram\n", name);
  for (unsigned i = 0; i < JB_HIST_BUCKET_COUNT; i++)
    {
      cumulative_count += metrics->buckets[histogram][i];
      if (i < JB_HIST_BUCKET_COUNT - 1)
        text = talloc_asprintf_append_buffer (
            text, "dogwoodpulley_%s_seconds_bucket{le=\"%g\"} %" PRIu64 "\n",
            name, 0.001 * (1 << i), cumulative_count);
    }
  return talloc_asprintf_append_buffer (
      text,
      "dogwoodpulley_%s_seconds_bucket{le=\"+Inf\"} %" PRIu64 "\n"
      "dogwoodpulley_%s_seconds_sum %.6f\n"
      "dogwoodpulley_%s_seconds_count %" PRIu64 "\n",
      name, cumulative_count, name, (double)metrics->sums_us[histogram] / 1e6,
      name, cumulative_count);
}

char *
jb_metrics_format (TALLOC_CTX *mem, const struct jb_metrics *metrics)
{
  char *text = talloc_strdup (mem, "");
  const char *previous_name = "";

  for (unsigned i = 0; i < JB_COUNTER_COUNT; i++)
    {
      const char *name = counter_names[i].name;
      const char *labels = counter_names[i].labels;

      if (g_strcmp0 (previous_name, name) != 0)
        text = talloc_asprintf_append_buffer (
            text, "# TYPE dogwoodpulley_%s_total counter\n", name);
      previous_name = name;
      text = talloc_asprintf_append_buffer (
          text, "dogwoodpulley_%s_total%s%s%s %" PRIu64 "\n", name,
          labels != NULL ? "{" : "", labels != NULL ? labels : "",
          labels != NULL ? "}" : "", metrics->counters[i]);
    }
  for (unsigned i = 0; i < JB_HIST_COUNT; i++)
    text = format_histogram (text, metrics, i);
  return text;
}
