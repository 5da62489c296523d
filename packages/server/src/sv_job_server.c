#include "sv_job_server.h"

#include "ba_clock.h"
#include "ba_ring.h"
#include "ht_server.h"
#include "jb_view.h"
#include "pr_link.h"
#include "sv_connections.h"
#include "sv_log.h"
#include "sv_signals.h"
#include "sv_stop.h"
#include "sv_supervisor.h"

#include <errno.h>
#include <jansson.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

enum
{
  EVENT_RING_CAPACITY = 16384,
  MAX_EVENTS_PER_ITERATION = 64, /* between two calls of jb_host_run */
  HTTP_CLIENT_RING_CAPACITY = 8192,
  MAX_CONNECTIONS_PER_SERVER = 6, /* to one backend server or the store */
  /* Of these, those that starts leave free for what is urgent.  */
  RESERVED_CONNECTIONS_PER_SERVER = 1,
  MAX_WAITING_PER_SERVER = 1024,   /* requests that wait for a connection */
  MAX_IDLE_CONNECTIONS = 1024,     /* kept open for reuse */
  HEADER_MEMORY_BYTES = 32 * 1024, /* for each connection */
  MAX_CONTROL_CONNECTIONS = 32,    /* to the readiness and the admin server
                                      each */
  /* For the connections to each of these; their requests have no body.  */
  CONTROL_MEMORY_BYTES = 2 * 1024 * 1024,
  SUPERVISION_INTERVAL_MS = 500,
  MAX_EVENT_WAIT_MS = 1000,
  SETTINGS_CHECK_INTERVAL_MS = 1000,
  STOP_CHECK_INTERVAL_MS = 20, /* between two steps of a planned stop */
  /* A client is told to repeat a call that was given up after this time.  */
  GIVEN_UP_RETRY_AFTER_MS = 1000,
  MAX_LOG_LINES_PER_SECOND = 200, /* for each log event */
  EXIT_THREAD_FAILED = 70
};

/* When a thread has failed, the longest time to wait for the answers to reach
   their clients.  */
#define MAX_FAILURE_FLUSH (1000 * JB_MS)

/* An iteration of the event loop that takes longer is late: meanwhile no
   answer is read, and no lease is extended.  */
#define LATE_ITERATION_TIME (250 * JB_MS)

enum event_type
{
  EVENT_CLIENT_CALL,
  EVENT_COMMAND_REPLY,
  EVENT_PEER_MESSAGE,
  EVENT_VIEW_REQUEST,
  EVENT_NEW_BOUNDS
};

/* Input of the decision code, queued for the event loop; a talloc chunk
   without parent.  Only the members that belong to the type are set.  */
struct event
{
  enum event_type type;
  /* Number of the call or command, or incarnation of the sending member.  */
  uint64_t number;
  struct jb_call call;
  struct jb_reply reply;
  struct ba_bytes message; /* from a peer */
  struct jb_bounds bounds;
  enum jb_view_topic topic;
  char *job_id; /* for a view of one job, or NULL */
};

struct sv_job_server
{
  struct sv_job_server_options options;
  struct sv_log *log;
  /* Name of a log event -> struct log_rate_limit; event loop only.  */
  GHashTable *log_limits;
  struct ht_server *client_server;
  struct ht_server *readiness_server;
  struct ht_server *admin_server;       /* or NULL */
  struct sv_connections connections[3]; /* of these servers */
  struct ht_client *http_client;
  struct pr_link *peer_link;
  struct ba_ring *event_ring;
  struct jb_host *host; /* the decision code; event loop only */
  struct sv_supervisor *supervisor;
  int signal_fd;
  /* The planned stop, set before STOPPING.  It is no event, because the queue
     of events may be full.  */
  struct sv_stop stop;
  _Atomic bool stopping;
  bool stop_begun;           /* event loop only */
  jb_time host_stopped_at;   /* as seen by the main thread, or 0 */
  _Atomic bool host_stopped; /* the decision code has nothing left to do */
  _Atomic bool ready;
  /* Calls that were answered only because the process was about to end.  */
  _Atomic uint64_t given_up_count;
  _Atomic bool event_loop_stopping;
  GMutex metrics_lock;
  struct jb_metrics metrics; /* copy of the decision code's; under the lock */
  /* Events dropped because the ring was full.  */
  _Atomic uint64_t dropped_event_count;
  /* Iterations of the event loop longer than LATE_ITERATION_TIME.  */
  _Atomic uint64_t late_iteration_count;
};

/* Queue EVENT for the event loop.  Return false, having freed it, when the
   ring is full.  Any thread.  */
static bool
push_event (struct sv_job_server *server, struct event *event)
{
  if (ba_ring_push (server->event_ring, event))
    return true;
  atomic_fetch_add (&server->dropped_event_count, 1);
  talloc_free (event);
  return false;
}

static int64_t
unix_time_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* ---- commands ---- */

/* A command that waits for its response.  Once its request is submitted, only
   the HTTP client's thread uses it.  */
struct pending_command
{
  struct sv_job_server *server;
  uint64_t number;
  enum jb_command_kind kind;
  GByteArray *body; /* of the response, as far as received */
};

static bool
append_response_body (struct ht_exchange *exchange, void *context,
                      const void *data, size_t len)
{
  struct pending_command *pending = context;

  (void)exchange;
  g_byte_array_append (pending->body, data, (guint)len);
  return true;
}

/* Set REPLY to say that EXCHANGE, which ended with RESULT, got no answer.  */
static void
set_unanswered (struct jb_reply *reply, const struct ht_exchange *exchange,
                enum ht_result result)
{
  const struct ht_exchange_times *times = ht_exchange_times (exchange);

  if (result != HT_RESULT_NOT_SENT)
    reply->result = JB_RESULT_UNKNOWN;
  else
    reply->result
        = times->expired_in_queue ? JB_RESULT_NOT_SENT : JB_RESULT_REFUSED;

  reply->sent_after_ms = -1;
  if (times->sent_us == 0)
    return;
  reply->sent_after_ms = (times->sent_us - times->submitted_us) / JB_MS;
  reply->awaited_ms = (ba_clock_now_us () - times->sent_us) / JB_MS;
}

static void
complete_command (struct ht_exchange *exchange, void *context,
                  enum ht_result result, unsigned status)
{
  struct pending_command *pending = context;
  struct sv_job_server *server = pending->server;
  struct event *event = talloc_zero (NULL, struct event);

  event->type = EVENT_COMMAND_REPLY;
  event->number = pending->number;
  event->reply.mem = event;
  if (result == HT_RESULT_COMPLETE)
    server->options.adapter->decode_response (
        server->options.platform, event, pending->kind, status,
        (const char *)pending->body->data, pending->body->len, &event->reply);
  else
    set_unanswered (&event->reply, exchange, result);
  event->reply.resent = ht_exchange_times (exchange)->sendings > 1;
  push_event (server, event);
  g_byte_array_free (pending->body, TRUE);
  talloc_free (pending);
}

static const struct ht_client_handlers command_response_handlers
    = { .body = append_response_body, .done = complete_command };

/* Reply RESULT to the command NUMBER, for which no request was submitted.  */
static void
reply_without_sending (struct sv_job_server *server, uint64_t number,
                       enum jb_reply_result result)
{
  struct event *event = talloc_zero (NULL, struct event);

  event->type = EVENT_COMMAND_REPLY;
  event->number = number;
  event->reply.mem = event;
  event->reply.result = result;
  event->reply.sent_after_ms = -1;
  push_event (server, event);
}

/* Return the priority of a command of KIND.  Probes renew leases and report
   ends, and nothing else tells whether a backend server is silent, so they go
   before stops, and both before starts, of which there may be hundreds.
   Commands that share no server with starts are equal among themselves; with
   the lowest priority, they would leave a connection unused.  */
static enum ht_priority
command_priority (enum jb_command_kind kind)
{
  switch (kind)
    {
    case JB_COMMAND_PROBE:
      return HT_PRIORITY_HIGH;
    case JB_COMMAND_START_TASK:
    case JB_COMMAND_SET_SPEED:
      return HT_PRIORITY_LOW;
    default:
      return HT_PRIORITY_NORMAL;
    }
}

static void
submit_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  struct sv_job_server *server = context;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct sv_service_request *encoded
      = server->options.adapter->encode_request (server->options.platform,
                                                 scratch, command);
  struct pending_command *pending;
  struct ht_request request
      = { .timeout_ms = command->timeout_ms,
          .priority = command_priority (command->kind),
          .timeout_per_step = true,
          .start_before_us = ba_clock_now_us () + command->timeout_ms * JB_MS,
          .idle_timeout_ms
          = jb_command_is_read (command->kind) ? JB_READ_IDLE_TIMEOUT_MS : 0,
          .new_connection = command->backend.new_connection };

  if (encoded == NULL)
    {
      reply_without_sending (server, number, JB_RESULT_INVALID);
      talloc_free (scratch);
      return;
    }
  request.method = encoded->method;
  request.url = encoded->url;
  request.headers = encoded->headers;
  request.header_count = encoded->header_count;
  request.body = encoded->body;
  request.body_len = encoded->body_len;
  request.no_retry = encoded->send_once;
  pending = talloc_zero (NULL, struct pending_command);
  pending->server = server;
  pending->number = number;
  pending->kind = command->kind;
  pending->body = g_byte_array_new ();
  if (!ht_client_submit (server->http_client, &request,
                         &command_response_handlers, pending))
    {
      g_byte_array_free (pending->body, TRUE);
      talloc_free (pending);
      reply_without_sending (server, number, JB_RESULT_NOT_SENT);
    }
  talloc_free (scratch);
}

/* ---- peers ---- */

static void
send_to_member (void *context, uint64_t member, struct ba_bytes message)
{
  struct sv_job_server *server = context;

  pr_link_send (server->peer_link, member, message);
}

static void
set_members (void *context, const struct jb_member_address *members,
             uint32_t count)
{
  struct sv_job_server *server = context;
  struct pr_member *copies = talloc_array (NULL, struct pr_member, count + 1);

  for (uint32_t i = 0; i < count; i++)
    copies[i]
        = (struct pr_member){ members[i].incarnation, members[i].address };
  pr_link_set_members (server->peer_link, copies, count);
  talloc_free (copies);
}

static enum pr_receive_result
queue_peer_message (void *context, uint64_t from, struct ba_bytes body)
{
  struct sv_job_server *server = context;
  struct event *event = talloc_zero (NULL, struct event);

  event->type = EVENT_PEER_MESSAGE;
  event->number = from;
  event->message = ba_bytes_copy (event, body.data, body.len);
  return push_event (server, event) ? PR_RECEIVE_ACCEPTED
                                    : PR_RECEIVE_QUEUE_FULL;
}

/* ---- requests of clients ---- */

static void
answer_client (void *context, uint64_t call, const struct jb_answer *answer)
{
  struct sv_job_server *server = context;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct sv_client_response response = { 0 };
  struct ht_field fields[3];
  size_t count = 0;
  char seconds[24];

  server->options.adapter->encode_client_response (server->options.platform,
                                                   scratch, answer, &response);
  if (response.body != NULL)
    fields[count++]
        = (struct ht_field){ "Content-Type", response.content_type };
  if (response.retry_after_s > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                  response.retry_after_s);
      fields[count++] = (struct ht_field){ "Retry-After", seconds };
    }
  if (atomic_load (&server->stopping))
    fields[count++] = (struct ht_field){ "Connection", "close" };
  ht_call_respond (server->client_server, call, response.status, fields, count,
                   response.body != NULL ? response.body : "",
                   response.body != NULL ? strlen (response.body) : 0);
  talloc_free (scratch);
}

/* Answer CALL, which the HTTP server gives up because the process ends.  */
static void
give_up_call (void *context, uint64_t call, bool taken)
{
  struct jb_answer answer
      = { .kind = taken ? JB_ANSWER_UNKNOWN : JB_ANSWER_UNAVAILABLE,
          .retry_after_ms = taken ? 0 : GIVEN_UP_RETRY_AFTER_MS,
          .reason = "this host is stopping" };

  answer_client (context, call, &answer);
}

static void
answer_text (struct ht_server *http_server, uint64_t call, unsigned status,
             const char *text)
{
  static const struct ht_field fields[]
      = { { "Content-Type", "text/plain; charset=utf-8" } };

  ht_call_respond (http_server, call, status, fields, 1, text, strlen (text));
}

static bool
queue_client_call (void *context, const struct ht_call *call)
{
  struct sv_job_server *server = context;
  const struct sv_platform_adapter *adapter = server->options.adapter;
  struct event *event = talloc_zero (NULL, struct event);
  struct sv_client_request request = { .method = call->method,
                                       .target = call->target,
                                       .body = call->body,
                                       .body_len = call->body_len,
                                       .received_ms = unix_time_ms () };

  event->type = EVENT_CLIENT_CALL;
  event->number = call->id;
  request.host_header
      = ht_call_get_header (server->client_server, call->id, event, "Host");
  request.api_key = ht_call_get_header (server->client_server, call->id, event,
                                        adapter->api_key_header);
  request.deadline_header = ht_call_get_header (
      server->client_server, call->id, event, adapter->deadline_header);
  if (!adapter->decode_client_request (server->options.platform, event,
                                       &request, &event->call))
    {
      answer_text (server->client_server, call->id, 405, "unknown method\n");
      talloc_free (event);
      return true;
    }
  return push_event (server, event);
}

static void
reject_large_readiness_request (void *context, const struct ht_call *call)
{
  struct sv_job_server *server = context;

  answer_text (server->readiness_server, call->id, 413,
               "the body is too large\n");
}

static void
reject_large_admin_request (void *context, const struct ht_call *call)
{
  struct sv_job_server *server = context;

  answer_text (server->admin_server, call->id, 413, "the body is too large\n");
}

static void
reject_large_client_request (void *context, const struct ht_call *call)
{
  struct sv_job_server *server = context;

  answer_text (server->client_server, call->id, 413,
               "the body is too large\n");
}

static void
ignore_disconnect (void *context, uint64_t id)
{
  struct sv_job_server *server = context;

  /* A submitted job runs even if its client has disconnected; its answer is
     then dropped.  */
  (void)server;
  (void)id;
}

static const struct ht_server_handlers client_handlers
    = { .request = queue_client_call,
        .too_large = reject_large_client_request,
        .disconnected = ignore_disconnect,
        .give_up = give_up_call };

static bool
handle_readiness_check (void *context, const struct ht_call *call)
{
  struct sv_job_server *server = context;
  bool is_known_path
      = strcmp (call->target, server->options.adapter->readiness_path) == 0;
  bool ready
      = atomic_load (&server->ready) && !atomic_load (&server->stopping);

  answer_text (server->readiness_server, call->id,
               !is_known_path ? 404
               : ready        ? 200
                              : 503,
               ready ? "ready\n" : "not ready\n");
  return true;
}

static const struct ht_server_handlers readiness_handlers
    = { .request = handle_readiness_check,
        .too_large = reject_large_readiness_request,
        .disconnected = ignore_disconnect };

/* If CALL requests "/view/TOPIC" or "/view/TOPIC/ID", have the event loop
   answer it.  Return false for any other path or an unknown TOPIC.  */
static bool
queue_view_request (struct sv_job_server *server, const struct ht_call *call)
{
  gchar **parts = g_strsplit (call->target, "/", 4);
  struct event *event = NULL;

  for (unsigned topic = 0;
       g_strv_length (parts) >= 3 && strcmp (parts[1], "view") == 0
       && topic < JB_VIEW_TOPIC_COUNT;
       topic++)
    if (strcmp (parts[2], jb_view_topic_name (topic)) == 0)
      {
        event = talloc_zero (NULL, struct event);
        event->type = EVENT_VIEW_REQUEST;
        event->number = call->id;
        event->topic = topic;
        event->job_id = talloc_strdup (event, parts[3]);
      }
  g_strfreev (parts);
  if (event == NULL)
    return false;
  if (!push_event (server, event))
    answer_text (server->admin_server, call->id, 503, "too busy\n");
  return true;
}

static bool
handle_admin_request (void *context, const struct ht_call *call)
{
  struct sv_job_server *server = context;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_metrics metrics;
  char *text;

  if (queue_view_request (server, call))
    {
      talloc_free (scratch);
      return true;
    }
  if (strcmp (call->target, "/metrics") != 0)
    {
      answer_text (server->admin_server, call->id, 404, "no such page\n");
      talloc_free (scratch);
      return true;
    }
  g_mutex_lock (&server->metrics_lock);
  metrics = server->metrics;
  g_mutex_unlock (&server->metrics_lock);
  text = jb_metrics_format (scratch, &metrics);
  text = talloc_asprintf_append_buffer (
      text,
      "# TYPE dogwoodpulley_log_lost_total counter\n"
      "dogwoodpulley_log_lost_total %" G_GUINT64_FORMAT "\n"
      "# TYPE dogwoodpulley_events_dropped_total counter\n"
      "dogwoodpulley_events_dropped_total %" G_GUINT64_FORMAT "\n"
      "# TYPE dogwoodpulley_late_iterations_total counter\n"
      "dogwoodpulley_late_iterations_total %" G_GUINT64_FORMAT "\n"
      "# TYPE dogwoodpulley_calls_given_up_total counter\n"
      "dogwoodpulley_calls_given_up_total %" G_GUINT64_FORMAT "\n"
      "# TYPE dogwoodpulley_peer_buffered_bytes gauge\n"
      "dogwoodpulley_peer_buffered_bytes %" G_GSIZE_FORMAT "\n",
      sv_log_lost_count (server->log),
      atomic_load (&server->dropped_event_count),
      atomic_load (&server->late_iteration_count),
      atomic_load (&server->given_up_count),
      pr_link_buffered_bytes (server->peer_link));
  text = talloc_strdup_append_buffer (
      text, ba_counter_format (scratch, pr_link_counters (server->peer_link),
                               PR_COUNTER_COUNT));
  text = talloc_strdup_append_buffer (
      text, sv_connections_format_metrics (server->connections,
                                           G_N_ELEMENTS (server->connections),
                                           scratch));
  answer_text (server->admin_server, call->id, 200, text);
  talloc_free (scratch);
  return true;
}

static const struct ht_server_handlers admin_handlers
    = { .request = handle_admin_request,
        .too_large = reject_large_admin_request,
        .disconnected = ignore_disconnect };

/* ---- log ---- */

/* Number of lines of one log event in the current second.  */
struct log_rate_limit
{
  jb_time window_start; /* of the second */
  uint32_t written;
  uint32_t dropped;
};

/* Count a line of EVENT.  Return whether it may be written, or must be dropped
   because EVENT has reached its limit in the current second.  The number of
   dropped lines is logged before the first line of a later second.  */
static bool
count_log_line (struct sv_job_server *server, const char *event)
{
  struct log_rate_limit *limit
      = g_hash_table_lookup (server->log_limits, event);
  jb_time now = ba_clock_now_us ();
  char dropped[24];

  if (limit == NULL)
    {
      limit = talloc_zero (server, struct log_rate_limit);
      g_hash_table_insert (server->log_limits, (char *)event, limit);
    }
  if (now - limit->window_start >= JB_SECOND)
    {
      if (limit->dropped > 0)
        {
          g_snprintf (dropped, sizeof dropped, "%u", limit->dropped);
          sv_log (server->log, CF_LOG_WARN, "log-lines-dropped",
                  "dropped_event", event, "count", dropped, NULL);
        }
      *limit = (struct log_rate_limit){ .window_start = now };
    }
  if (limit->written >= MAX_LOG_LINES_PER_SECOND)
    {
      limit->dropped++;
      return false;
    }
  limit->written++;
  return true;
}

static void
log_event (void *context, enum jb_level level, const char *event,
           const struct jb_log_field *fields, uint32_t count)
{
  struct sv_job_server *server = context;

  if (sv_log_is_enabled (server->log, (enum cf_log_level)level)
      && count_log_line (server, event))
    sv_log_fields (server->log, (enum cf_log_level)level, event, fields,
                   count);
}

static const struct jb_driver_ops driver_ops = { .submit = submit_command,
                                                 .send = send_to_member,
                                                 .set_members = set_members,
                                                 .answer = answer_client,
                                                 .log = log_event };

/* ---- event loop (thread `decider') ---- */

/* Begin a planned stop if there is a request for it.  Of the grace period,
   only what is left counts: the event loop may be late.  */
static void
begin_stop_if_requested (struct sv_job_server *server, jb_time now)
{
  jb_time killed_at;

  if (server->stop_begun || !atomic_load (&server->stopping))
    return;
  server->stop_begun = true;
  killed_at = server->stop.requested_at + server->stop.grace;
  jb_host_stop (server->host, now, MAX (killed_at - now, 0));
}

static json_t *
encode_view_line (const struct jb_view_line *line)
{
  json_t *object = json_pack ("{s:s}", "kind", line->kind);

  for (uint32_t i = 0; i < line->count; i++)
    json_object_set_new (object, line->fields[i].name,
                         json_string (line->fields[i].value));
  return object;
}

static void
answer_view_request (struct sv_job_server *server, jb_time now,
                     const struct event *event)
{
  static const struct ht_field fields[]
      = { { "Content-Type", "application/json" } };
  struct jb_view view = { .mem = talloc_new (NULL) };
  json_t *lines = json_array ();
  json_t *root;
  char *text;

  jb_host_view (server->host, now, event->topic, event->job_id, &view);
  for (uint32_t i = 0; i < view.count; i++)
    json_array_append_new (lines, encode_view_line (&view.lines[i]));
  root = json_pack ("{s:s,s:o}", "host", server->options.settings->name,
                    "lines", lines);
  text = json_dumps (root, JSON_COMPACT);
  ht_call_respond (server->admin_server, event->number, 200, fields, 1, text,
                   strlen (text));
  free (text);
  json_decref (root);
  talloc_free (view.mem);
}

static void
process_event (struct sv_job_server *server, jb_time now, struct event *event)
{
  switch (event->type)
    {
    case EVENT_CLIENT_CALL:
      if (ht_call_take (server->client_server, event->number))
        jb_host_receive_call (server->host, now, event->number, &event->call);
      break;
    case EVENT_COMMAND_REPLY:
      jb_host_receive_reply (server->host, now, event->number, &event->reply);
      break;
    case EVENT_PEER_MESSAGE:
      if (!jb_host_receive_message (server->host, now, event->number,
                                    event->message))
        sv_log (server->log, CF_LOG_WARN, "message-unreadable", NULL);
      break;
    case EVENT_VIEW_REQUEST:
      answer_view_request (server, now, event);
      break;
    case EVENT_NEW_BOUNDS:
      jb_host_set_bounds (server->host, &event->bounds);
      break;
    }
  talloc_free (event);
}

/* Copy the readiness, the end of a planned stop and the metrics to where other
   threads read them.  */
static void
publish_state (struct sv_job_server *server, jb_time now)
{
  atomic_store (&server->ready, jb_host_is_ready (server->host, now));
  if (jb_host_has_stopped (server->host))
    atomic_store (&server->host_stopped, true);
  g_mutex_lock (&server->metrics_lock);
  server->metrics = *jb_host_metrics (server->host);
  g_mutex_unlock (&server->metrics_lock);
}

/* Count and log an iteration of the event loop that began at START, processed
   EVENT_COUNT events until PROCESSED_AT, and is late.  */
static void
report_late_iteration (struct sv_job_server *server, jb_time start,
                       jb_time processed_at, uint32_t event_count)
{
  jb_time now = ba_clock_now_us ();
  const struct jb_log_field fields[]
      = { { "ms", jb_itoa ((now - start) / JB_MS) },
          { "events", jb_itoa (event_count) },
          { "events_ms", jb_itoa ((processed_at - start) / JB_MS) } };

  if (now - start < LATE_ITERATION_TIME)
    return;
  atomic_fetch_add (&server->late_iteration_count, 1);
  log_event (server, JB_LEVEL_WARN, "event-loop-late", fields,
             G_N_ELEMENTS (fields));
}

static void
run_event_loop (void *data, void (*heartbeat) (void *), void *context)
{
  struct sv_job_server *server = data;
  struct pollfd p
      = { .fd = ba_ring_fd (server->event_ring), .events = POLLIN };
  jb_time wakeup = 0;

  while (!atomic_load (&server->event_loop_stopping))
    {
      jb_time now = ba_clock_now_us ();
      int64_t wait_ms
          = CLAMP ((wakeup - now + JB_MS - 1) / JB_MS, 0, MAX_EVENT_WAIT_MS);
      struct event *event;
      uint32_t processed = 0;
      jb_time start;

      poll (&p, 1, (int)wait_ms);
      heartbeat (context);
      ba_ring_reset_fd (server->event_ring);
      start = ba_clock_now_us ();
      now = start;
      jb_host_set_unix_origin (server->host, unix_time_ms () * JB_MS - now);
      begin_stop_if_requested (server, now);
      /* Take a new time for each event, because events arrive while others are
         processed.  If the time of a reply was before its arrival, the clock
         of the backend server would seem to be further ahead than it is, and a
         lease would last longer there than calculated here.  */
      while (processed < MAX_EVENTS_PER_ITERATION
             && (event = ba_ring_pop (server->event_ring)) != NULL)
        {
          process_event (server, ba_clock_now_us (), event);
          processed++;
        }
      now = ba_clock_now_us ();
      wakeup = jb_host_run (server->host, now);
      if (processed == MAX_EVENTS_PER_ITERATION)
        wakeup = now; /* don't wait: the ring may hold more events, and its
                         descriptor was reset */
      publish_state (server, now);
      report_late_iteration (server, start, now, processed);
    }
}

static void
stop_event_loop (void *data)
{
  struct sv_job_server *server = data;

  atomic_store (&server->event_loop_stopping, true);
  ba_ring_wake (server->event_ring);
}

static void
run_http_client (void *data, void (*heartbeat) (void *), void *context)
{
  ht_client_run (data, heartbeat, context);
}

static void
stop_http_client (void *data)
{
  ht_client_stop (data);
}

static void
run_peers (void *data, void (*heartbeat) (void *), void *context)
{
  pr_link_run (data, heartbeat, context);
}

static void
stop_peers (void *data)
{
  pr_link_stop (data);
}

/* ---- construction ---- */

static struct ht_server *
open_server (struct sv_job_server *server, const char *address,
             unsigned max_connections, size_t max_body_bytes,
             size_t memory_bytes, const struct ht_server_handlers *handlers,
             struct ht_server **server_out, GError **error)
{
  struct ht_server_options options
      = { .address = address,
          .threads = 1,
          .max_connections = max_connections,
          .max_body_bytes = max_body_bytes,
          .header_memory_bytes = HEADER_MEMORY_BYTES,
          .memory_bytes = memory_bytes,
          .drop_bodies = true,
          .no_disconnect_watch = true,
          .handlers = handlers,
          .context = server,
          .server_out = server_out };

  return ht_server_new (server, &options, error);
}

/* Free the HTTP servers, and so stop their threads, before the objects that
   these threads use, and the events that nobody processes any more.  */
static int
job_server_destroy (struct sv_job_server *server)
{
  struct event *event;

  TALLOC_FREE (server->admin_server);
  TALLOC_FREE (server->readiness_server);
  TALLOC_FREE (server->client_server);
  while ((event = ba_ring_pop (server->event_ring)) != NULL)
    talloc_free (event);
  g_hash_table_destroy (server->log_limits);
  return 0;
}

static bool
open_servers (struct sv_job_server *server, GError **error)
{
  const struct sv_job_server_settings *settings = server->options.settings;

  if (open_server (server, settings->client_address, settings->max_connections,
                   settings->max_body_bytes, settings->client_memory_bytes,
                   &client_handlers, &server->client_server, error)
      == NULL)
    return false;
  if (open_server (server, settings->readiness_address,
                   MAX_CONTROL_CONNECTIONS, 0, CONTROL_MEMORY_BYTES,
                   &readiness_handlers, &server->readiness_server, error)
      == NULL)
    return false;
  if (settings->admin_address != NULL
      && open_server (server, settings->admin_address, MAX_CONTROL_CONNECTIONS,
                      0, CONTROL_MEMORY_BYTES, &admin_handlers,
                      &server->admin_server, error)
             == NULL)
    return false;
  return true;
}

static bool
create_host (struct sv_job_server *server, GError **error)
{
  const struct sv_job_server_settings *settings = server->options.settings;
  struct jb_host_options options
      = { .name = settings->name,
          .zone = settings->zone,
          .cpu_share_milli = settings->cpu_share_milli,
          .address = settings->peer_address,
          .bounds = settings->bounds };
  struct pr_link_options link = { .address = settings->peer_address,
                                  .secret = settings->peer_secret,
                                  .on_message = queue_peer_message,
                                  .context = server };

  if (getrandom (&options.incarnation, sizeof options.incarnation, 0)
      != sizeof options.incarnation)
    {
      g_set_error (error, BA_ERROR, BA_ERROR_IO,
                   "can't get a random number for the incarnation: %s",
                   g_strerror (errno));
      return false;
    }
  link.incarnation = options.incarnation;
  server->peer_link = pr_link_new (server, &link, error);
  if (server->peer_link == NULL)
    return false;
  server->host = jb_host_new (server, ba_clock_now_us (), &options,
                              &driver_ops, server);
  return true;
}

static void
create_supervisor (struct sv_job_server *server)
{
  const struct sv_thread_options threads[]
      = { { "log", sv_log_run, sv_log_stop, server->log },
          { "outside", run_http_client, stop_http_client,
            server->http_client },
          { "peers", run_peers, stop_peers, server->peer_link },
          { "decider", run_event_loop, stop_event_loop, server } };

  server->supervisor = sv_supervisor_new (server);
  for (size_t i = 0; i < G_N_ELEMENTS (threads); i++)
    sv_supervisor_add (server->supervisor, &threads[i]);
}

struct sv_job_server *
sv_job_server_new (TALLOC_CTX *mem,
                   const struct sv_job_server_options *options, GError **error)
{
  struct sv_job_server *server = talloc_zero (mem, struct sv_job_server);
  struct ht_client_options client
      = { .ring_capacity = HTTP_CLIENT_RING_CAPACITY,
          .max_connections_per_server = MAX_CONNECTIONS_PER_SERVER,
          .reserved_connections_per_server = RESERVED_CONNECTIONS_PER_SERVER,
          .max_waiting_per_server = MAX_WAITING_PER_SERVER,
          .max_idle_connections = MAX_IDLE_CONNECTIONS };

  server->options = *options;
  g_mutex_init (&server->metrics_lock);
  talloc_set_destructor (server, job_server_destroy);
  server->signal_fd = sv_signals_open ();
  server->log
      = sv_log_new (server, &options->settings->log, options->settings->name);
  /* The keys are not copied: names of log events are string literals.  */
  server->log_limits = g_hash_table_new (g_str_hash, g_str_equal);
  server->event_ring = ba_ring_new (server, EVENT_RING_CAPACITY);
  server->http_client = ht_client_new (server, &client);
  server->connections[0]
      = (struct sv_connections){ &server->client_server, "clients", { 0 } };
  server->connections[1] = (struct sv_connections){ &server->readiness_server,
                                                    "readiness",
                                                    { 0 } };
  server->connections[2]
      = (struct sv_connections){ &server->admin_server, "admin", { 0 } };
  if (!create_host (server, error) || !open_servers (server, error))
    {
      talloc_free (server);
      return NULL;
    }
  create_supervisor (server);
  return server;
}

/* ---- running ---- */

/* Load the settings again.  When they have changed, have the event loop set
   the new bounds; addresses and connection limits stay as they were at the
   start.  */
static void
reload_settings (struct sv_job_server *server)
{
  GError *error = NULL;
  const struct sv_job_server_settings *settings
      = server->options.reload_settings (server->options.reload_data, &error);
  struct event *event;

  if (settings == NULL && error == NULL)
    return; /* unchanged */
  if (settings == NULL)
    {
      sv_log (server->log, CF_LOG_ERROR, "settings-rejected", "reason",
              error != NULL ? error->message : "unknown", NULL);
      g_clear_error (&error);
      return;
    }
  server->options.settings = settings;
  sv_log (server->log, CF_LOG_INFO, "settings-loaded", NULL);
  event = talloc_zero (NULL, struct event);
  event->type = EVENT_NEW_BOUNDS;
  event->bounds = settings->bounds;
  push_event (server, event);
}

static void
handle_signal (struct sv_job_server *server, uint32_t number)
{
  if (number == SIGHUP)
    reload_settings (server);
  if (number == SIGHUP || atomic_load (&server->stopping))
    return;
  sv_log (server->log, CF_LOG_INFO, "stopping", NULL);
  server->stop
      = (struct sv_stop){ ba_clock_now_us (),
                          server->options.settings->stop_grace_ms * JB_MS };
  atomic_store (&server->stopping, true);
  ba_ring_wake (server->event_ring);
}

/* Count and log COUNT calls that were given up.  */
static void
report_given_up (struct sv_job_server *server, unsigned count)
{
  if (count == 0)
    return;
  atomic_fetch_add (&server->given_up_count, count);
  sv_log (server->log, CF_LOG_WARN, "calls-given-up", "count", jb_itoa (count),
          "connections",
          jb_itoa (ht_server_connection_count (server->client_server)), NULL);
}

/* Go on with a planned stop.  Return whether it is complete.  */
static bool
continue_stop (struct sv_job_server *server)
{
  jb_time now = ba_clock_now_us ();
  struct sv_stop_state state
      = { .host_stopped = atomic_load (&server->host_stopped),
          .connections = ht_server_connection_count (server->client_server),
          .peer_bytes = pr_link_buffered_bytes (server->peer_link) };

  if (state.host_stopped && server->host_stopped_at == 0)
    server->host_stopped_at = now;
  state.host_stopped_at = server->host_stopped_at;
  switch (sv_stop_decide (&server->stop, now, &state))
    {
    case SV_STOP_SERVE:
      break;
    case SV_STOP_DRAIN:
      ht_server_drain (server->client_server);
      break;
    case SV_STOP_REFUSE:
      ht_server_refuse_requests (server->client_server);
      break;
    case SV_STOP_GIVE_UP:
      report_given_up (server,
                       ht_server_give_up_calls (server->client_server));
      break;
    case SV_STOP_END:
      sv_log (server->log, CF_LOG_INFO, "stopped", "ms",
              jb_itoa ((now - server->stop.requested_at) / JB_MS),
              "connections", jb_itoa (state.connections), "calls_given_up",
              jb_itoa ((int64_t)atomic_load (&server->given_up_count)),
              "host_stopped", state.host_stopped ? "yes" : "no", NULL);
      return true;
    }
  return false;
}

/* The thread NAME hangs or has returned too often.  One that hangs can't be
   stopped, so answer the calls and end the process, which must then be
   replaced.  */
static void
end_after_failure (struct sv_job_server *server, const char *name)
{
  jb_time until = ba_clock_now_us () + MAX_FAILURE_FLUSH;

  fprintf (stderr,
           "dogwoodpulleyd: thread %s hangs or has returned too often; "
           "ending the process\n",
           name);
  do
    {
      report_given_up (server,
                       ht_server_give_up_calls (server->client_server));
      g_usleep (STOP_CHECK_INTERVAL_MS * 1000);
    }
  while (ht_server_connection_count (server->client_server) > 0
         && ba_clock_now_us () < until);
  _exit (EXIT_THREAD_FAILED);
}

int
sv_job_server_run (struct sv_job_server *server)
{
  const struct sv_job_server_settings *settings = server->options.settings;
  struct pollfd p = { .fd = server->signal_fd, .events = POLLIN };
  const char *failed_thread = NULL;
  jb_time next_settings_check = 0;
  int interval_ms = SUPERVISION_INTERVAL_MS;
  bool stopped = false;

  sv_supervisor_start (server->supervisor);
  sv_log (server->log, CF_LOG_INFO, "started", "listen",
          settings->client_address, "zone", settings->zone, "version",
          DP_VERSION, NULL);
  while (!stopped && failed_thread == NULL)
    {
      struct signalfd_siginfo info;

      poll (&p, 1, interval_ms);
      while (read (p.fd, &info, sizeof info) == (ssize_t)sizeof info)
        handle_signal (server, info.ssi_signo);
      if (ba_clock_now_us () >= next_settings_check)
        {
          next_settings_check
              = ba_clock_now_us () + SETTINGS_CHECK_INTERVAL_MS * JB_MS;
          reload_settings (server);
          sv_connections_check (server->connections,
                                G_N_ELEMENTS (server->connections),
                                server->log);
        }
      failed_thread = sv_supervisor_check (server->supervisor);
      if (!atomic_load (&server->stopping))
        continue;
      interval_ms = STOP_CHECK_INTERVAL_MS;
      stopped = continue_stop (server);
    }
  if (failed_thread != NULL)
    end_after_failure (server, failed_thread);
  /* The event loop uses the servers.  */
  sv_supervisor_stop (server->supervisor);
  TALLOC_FREE (server->client_server);
  TALLOC_FREE (server->readiness_server);
  TALLOC_FREE (server->admin_server);
  close (server->signal_fd);
  return EXIT_SUCCESS;
}
