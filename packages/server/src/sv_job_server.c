#include "sv_job_server.h"

#include "ba_clock.h"
#include "ba_ring.h"
#include "ht_server.h"
#include "jb_view.h"
#include "pr_link.h"
#include "sv_log.h"
#include "sv_signals.h"
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
  EVENT_RING = 16384,
  EVENTS_A_TURN = 64, /* before what is due is done */
  OUTSIDE_RING = 8192,
  MAX_HOST_CONNECTIONS = 6, /* to one backend server, or to the store */
  KEPT_CONNECTIONS = 1024,  /* idle, for use again */
  HEADER_MEMORY = 32 * 1024,
  ADMIN_CONNECTIONS = 32,
  WATCH_MS = 500,
  MAX_WAIT_MS = 1000,
  SETTINGS_MS = 1000, /* between looks whether the settings have changed */
  LOG_BUDGET = 200,   /* lines of one event a second */
  EXIT_FAILED_DUTY = 70
};

/* A planned stop: the balancer needs so long to send no more callers here. */
#define LAME_DUCK (2200 * JB_MS)

/* Answers under way have so long to reach their callers.  */
#define LAST_ANSWERS (250 * JB_MS)

enum event_type
{
  EVENT_CALL,
  EVENT_REPLY,
  EVENT_MESSAGE,
  EVENT_VIEW,
  EVENT_STOP,
  EVENT_BOUNDS
};

/* Handed to the decider; a talloc chunk without parent.  */
struct event
{
  enum event_type type;
  uint64_t number; /* of the call or order, or the sending member */
  struct jb_call call;
  struct jb_reply reply;
  struct ba_bytes message;
  struct jb_bounds bounds;
  enum jb_view_topic topic;
  char *id; /* of the job that is to be shown, or NULL */
};

struct sv_job_server
{
  struct sv_job_server_options options;
  struct sv_log *log;
  GHashTable *budgets; /* event -> struct log_budget; decider only */
  struct ht_server *callers;
  struct ht_server *readiness;
  struct ht_server *admin;
  struct ht_client *outside;
  struct pr_link *peers;
  struct ba_ring *events;
  struct jb_host *host; /* decider only */
  struct sv_supervisor *supervisor;
  int signals;
  jb_time stop_at; /* decider only: when it may end; 0: it goes on */
  _Atomic bool ready;
  _Atomic bool closing; /* answers close their connections */
  _Atomic bool stopped;
  _Atomic bool stopping_decider;
  GMutex metrics_lock;
  struct jb_metrics metrics; /* a copy */
  _Atomic uint64_t dropped;  /* events for which the ring had no room */
};

static bool
push (struct sv_job_server *jobs, struct event *event)
{
  if (ba_ring_push (jobs->events, event))
    return true;
  atomic_fetch_add (&jobs->dropped, 1);
  talloc_free (event);
  return false;
}

static int64_t
unix_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* ---- orders ---- */

/* An order on its way; belongs to the outside thread.  */
struct exchange
{
  struct sv_job_server *jobs;
  uint64_t number;
  enum jb_command_kind kind;
  GByteArray *body;
};

static bool
order_body (struct ht_exchange *ht, void *context, const void *data,
            size_t len)
{
  struct exchange *exchange = context;

  (void)ht;
  g_byte_array_append (exchange->body, data, (guint)len);
  return true;
}

static void
order_done (struct ht_exchange *ht, void *context, enum ht_result result,
            unsigned status)
{
  struct exchange *exchange = context;
  struct sv_job_server *jobs = exchange->jobs;
  struct event *event = talloc_zero (NULL, struct event);

  (void)ht;
  event->type = EVENT_REPLY;
  event->number = exchange->number;
  event->reply.mem = event;
  if (result == HT_RESULT_COMPLETE)
    jobs->options.wire->decode (jobs->options.platform, event, exchange->kind,
                                status, (const char *)exchange->body->data,
                                exchange->body->len, &event->reply);
  else
    event->reply.result
        = result == HT_RESULT_NOT_SENT ? JB_RESULT_REFUSED : JB_RESULT_UNKNOWN;
  push (jobs, event);
  g_byte_array_free (exchange->body, TRUE);
  talloc_free (exchange);
}

static const struct ht_client_handlers order_handlers
    = { .body = order_body, .done = order_done };

/* The order can't be given at all.  */
static void
refuse_order (struct sv_job_server *jobs, uint64_t number,
              enum jb_reply_result result)
{
  struct event *event = talloc_zero (NULL, struct event);

  event->type = EVENT_REPLY;
  event->number = number;
  event->reply.mem = event;
  event->reply.result = result;
  push (jobs, event);
}

static void
do_submit (void *context, uint64_t number, const struct jb_command *order)
{
  struct sv_job_server *jobs = context;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct sv_service_request *wire
      = jobs->options.wire->encode (jobs->options.platform, scratch, order);
  struct exchange *exchange;
  struct ht_request request
      = { .timeout_ms = order->timeout_ms,
          .new_connection = order->backend.new_connection };

  if (wire == NULL)
    {
      refuse_order (jobs, number, JB_RESULT_INVALID);
      talloc_free (scratch);
      return;
    }
  request.method = wire->method;
  request.url = wire->url;
  request.headers = wire->headers;
  request.header_count = wire->header_count;
  request.body = wire->body;
  request.body_len = wire->body_len;
  request.no_retry = wire->once;
  exchange = talloc_zero (NULL, struct exchange);
  exchange->jobs = jobs;
  exchange->number = number;
  exchange->kind = order->kind;
  exchange->body = g_byte_array_new ();
  if (!ht_client_submit (jobs->outside, &request, &order_handlers, exchange))
    {
      g_byte_array_free (exchange->body, TRUE);
      talloc_free (exchange);
      refuse_order (jobs, number, JB_RESULT_REFUSED);
    }
  talloc_free (scratch);
}

/* ---- peers ---- */

static void
do_send (void *context, uint64_t member, struct ba_bytes message)
{
  struct sv_job_server *jobs = context;

  pr_link_send (jobs->peers, member, message);
}

static void
do_members (void *context, const struct jb_member_address *members,
            uint32_t count)
{
  struct sv_job_server *jobs = context;
  struct pr_member *copies = talloc_array (NULL, struct pr_member, count + 1);

  for (uint32_t i = 0; i < count; i++)
    copies[i]
        = (struct pr_member){ members[i].incarnation, members[i].address };
  pr_link_set_members (jobs->peers, copies, count);
  talloc_free (copies);
}

static enum pr_receive_result
take_message (void *context, uint64_t from, struct ba_bytes body)
{
  struct sv_job_server *jobs = context;
  struct event *event = talloc_zero (NULL, struct event);

  event->type = EVENT_MESSAGE;
  event->number = from;
  event->message = ba_bytes_copy (event, body.data, body.len);
  return push (jobs, event) ? PR_RECEIVE_ACCEPTED : PR_RECEIVE_QUEUE_FULL;
}

/* ---- calls of clients ---- */

static void
do_answer (void *context, uint64_t call, const struct jb_answer *answer)
{
  struct sv_job_server *jobs = context;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct sv_client_response wire = { 0 };
  struct ht_field fields[3];
  size_t count = 0;
  char retry[24];

  jobs->options.wire->answer (jobs->options.platform, scratch, answer, &wire);
  if (wire.body != NULL)
    fields[count++] = (struct ht_field){ "Content-Type", wire.content_type };
  if (wire.retry_after_s > 0)
    {
      g_snprintf (retry, sizeof retry, "%" G_GINT64_FORMAT,
                  wire.retry_after_s);
      fields[count++] = (struct ht_field){ "Retry-After", retry };
    }
  if (atomic_load (&jobs->closing))
    fields[count++] = (struct ht_field){ "Connection", "close" };
  ht_call_respond (jobs->callers, call, wire.status, fields, count,
                   wire.body != NULL ? wire.body : "",
                   wire.body != NULL ? strlen (wire.body) : 0);
  talloc_free (scratch);
}

static void
answer_plain (struct ht_server *server, uint64_t call, unsigned status,
              const char *text)
{
  static const struct ht_field fields[]
      = { { "Content-Type", "text/plain; charset=utf-8" } };

  ht_call_respond (server, call, status, fields, 1, text, strlen (text));
}

static bool
take_call (void *context, const struct ht_call *call)
{
  struct sv_job_server *jobs = context;
  const struct sv_platform_adapter *wire = jobs->options.wire;
  struct event *event = talloc_zero (NULL, struct event);
  struct sv_client_request in = { .method = call->method,
                                  .target = call->target,
                                  .body = call->body,
                                  .body_len = call->body_len,
                                  .received_ms = unix_ms () };

  event->type = EVENT_CALL;
  event->number = call->id;
  in.host = ht_call_get_header (jobs->callers, call->id, event, "Host");
  in.key
      = ht_call_get_header (jobs->callers, call->id, event, wire->key_header);
  in.deadline = ht_call_get_header (jobs->callers, call->id, event,
                                    wire->deadline_header);
  if (!wire->call (jobs->options.platform, event, &in, &event->call))
    {
      answer_plain (jobs->callers, call->id, 405, "unknown method\n");
      talloc_free (event);
      return true;
    }
  return push (jobs, event);
}

static void
check_too_large (void *context, const struct ht_call *call)
{
  struct sv_job_server *jobs = context;

  answer_plain (jobs->readiness, call->id, 413, "the body is too large\n");
}

static void
admin_too_large (void *context, const struct ht_call *call)
{
  struct sv_job_server *jobs = context;

  answer_plain (jobs->admin, call->id, 413, "the body is too large\n");
}

static void
call_too_large (void *context, const struct ht_call *call)
{
  struct sv_job_server *jobs = context;

  answer_plain (jobs->callers, call->id, 413, "the body is too large\n");
}

static void
call_gone (void *context, uint64_t id)
{
  struct sv_job_server *jobs = context;

  /* A job that was handed in stays; its answer goes nowhere.  */
  (void)jobs;
  (void)id;
}

static const struct ht_server_handlers call_handlers = {
  .request = take_call, .too_large = call_too_large, .disconnected = call_gone
};

static bool
take_check (void *context, const struct ht_call *call)
{
  struct sv_job_server *jobs = context;
  bool known = strcmp (call->target, jobs->options.wire->ready_path) == 0;
  bool ready = atomic_load (&jobs->ready);

  answer_plain (jobs->readiness, call->id,
                !known  ? 404
                : ready ? 200
                        : 503,
                ready ? "ready\n" : "not ready\n");
  return true;
}

static const struct ht_server_handlers check_handlers
    = { .request = take_check,
        .too_large = check_too_large,
        .disconnected = call_gone };

/* Have the decider answer CALL for "/view/TOPIC" or "/view/TOPIC/ID".  Return
   false when there is no such topic.  */
static bool
take_view (struct sv_job_server *jobs, const struct ht_call *call)
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
        event->type = EVENT_VIEW;
        event->number = call->id;
        event->topic = topic;
        event->id = talloc_strdup (event, parts[3]);
      }
  g_strfreev (parts);
  if (event == NULL)
    return false;
  if (!push (jobs, event))
    answer_plain (jobs->admin, call->id, 503, "too busy\n");
  return true;
}

static bool
take_admin (void *context, const struct ht_call *call)
{
  struct sv_job_server *jobs = context;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_metrics metrics;
  char *text;

  if (take_view (jobs, call))
    {
      talloc_free (scratch);
      return true;
    }
  if (strcmp (call->target, "/metrics") != 0)
    {
      answer_plain (jobs->admin, call->id, 404, "no such page\n");
      talloc_free (scratch);
      return true;
    }
  g_mutex_lock (&jobs->metrics_lock);
  metrics = jobs->metrics;
  g_mutex_unlock (&jobs->metrics_lock);
  text = jb_metrics_format (scratch, &metrics);
  text = talloc_asprintf_append_buffer (
      text,
      "# TYPE dogwoodpulley_log_lost_total counter\n"
      "dogwoodpulley_log_lost_total %" G_GUINT64_FORMAT "\n"
      "# TYPE dogwoodpulley_events_dropped_total counter\n"
      "dogwoodpulley_events_dropped_total %" G_GUINT64_FORMAT "\n",
      sv_log_lost_count (jobs->log), atomic_load (&jobs->dropped));
  answer_plain (jobs->admin, call->id, 200, text);
  talloc_free (scratch);
  return true;
}

static const struct ht_server_handlers admin_handlers
    = { .request = take_admin,
        .too_large = admin_too_large,
        .disconnected = call_gone };

/* ---- log ---- */

/* Lines of one event in one second.  */
struct log_budget
{
  jb_time window; /* start of the present second */
  uint32_t lines;
  uint32_t dropped;
};

/* Return whether another line of EVENT is within its budget.  What was dropped
   is said when the next second begins.  */
static bool
within_budget (struct sv_job_server *jobs, const char *event)
{
  struct log_budget *budget = g_hash_table_lookup (jobs->budgets, event);
  jb_time now = ba_clock_now_us ();
  char dropped[24];

  if (budget == NULL)
    {
      budget = talloc_zero (jobs, struct log_budget);
      g_hash_table_insert (jobs->budgets, (char *)event, budget);
    }
  if (now - budget->window >= JB_SECOND)
    {
      if (budget->dropped > 0)
        {
          g_snprintf (dropped, sizeof dropped, "%u", budget->dropped);
          sv_log (jobs->log, CF_LOG_WARN, "log-lines-dropped", "of", event,
                  "count", dropped, NULL);
        }
      *budget = (struct log_budget){ .window = now };
    }
  if (budget->lines >= LOG_BUDGET)
    {
      budget->dropped++;
      return false;
    }
  budget->lines++;
  return true;
}

static void
do_log (void *context, enum jb_level level, const char *event,
        const struct jb_log_field *fields, uint32_t count)
{
  struct sv_job_server *jobs = context;

  if (sv_log_is_enabled (jobs->log, (enum cf_log_level)level)
      && within_budget (jobs, event))
    sv_log_fields (jobs->log, (enum cf_log_level)level, event, fields, count);
}

static const struct jb_driver_ops effects = { .submit = do_submit,
                                              .send = do_send,
                                              .members = do_members,
                                              .answer = do_answer,
                                              .log = do_log };

/* ---- the decider ---- */

static void
begin_stop (struct sv_job_server *jobs, jb_time now)
{
  if (jobs->stop_at != 0)
    return;
  jobs->stop_at = now + LAME_DUCK;
  atomic_store (&jobs->ready, false);
  atomic_store (&jobs->closing, true);
  jb_host_stop (jobs->host, now);
}

static json_t *
line_json (const struct jb_view_line *line)
{
  json_t *object = json_pack ("{s:s}", "kind", line->kind);

  for (uint32_t i = 0; i < line->count; i++)
    json_object_set_new (object, line->fields[i].name,
                         json_string (line->fields[i].value));
  return object;
}

static void
answer_view (struct sv_job_server *jobs, jb_time now,
             const struct event *event)
{
  static const struct ht_field fields[]
      = { { "Content-Type", "application/json" } };
  struct jb_view view = { .mem = talloc_new (NULL) };
  json_t *lines = json_array ();
  json_t *root;
  char *text;

  jb_host_view (jobs->host, now, event->topic, event->id, &view);
  for (uint32_t i = 0; i < view.count; i++)
    json_array_append_new (lines, line_json (&view.lines[i]));
  root = json_pack ("{s:s,s:o}", "host", jobs->options.settings->name, "lines",
                    lines);
  text = json_dumps (root, JSON_COMPACT);
  ht_call_respond (jobs->admin, event->number, 200, fields, 1, text,
                   strlen (text));
  free (text);
  json_decref (root);
  talloc_free (view.mem);
}

static void
take_event (struct sv_job_server *jobs, jb_time now, struct event *event)
{
  switch (event->type)
    {
    case EVENT_CALL:
      jb_host_receive_call (jobs->host, now, event->number, &event->call);
      break;
    case EVENT_REPLY:
      jb_host_receive_reply (jobs->host, now, event->number, &event->reply);
      break;
    case EVENT_MESSAGE:
      if (!jb_host_receive_message (jobs->host, now, event->number,
                                    event->message))
        sv_log (jobs->log, CF_LOG_WARN, "message-unreadable", NULL);
      break;
    case EVENT_VIEW:
      answer_view (jobs, now, event);
      break;
    case EVENT_STOP:
      begin_stop (jobs, now);
      break;
    case EVENT_BOUNDS:
      jb_host_set_bounds (jobs->host, &event->bounds);
      break;
    }
  talloc_free (event);
}

static void
publish (struct sv_job_server *jobs, jb_time now)
{
  atomic_store (&jobs->ready,
                jobs->stop_at == 0 && jb_host_is_ready (jobs->host, now));
  if (jobs->stop_at != 0 && now >= jobs->stop_at
      && jb_host_is_idle (jobs->host))
    atomic_store (&jobs->stopped, true);
  g_mutex_lock (&jobs->metrics_lock);
  jobs->metrics = *jb_host_metrics (jobs->host);
  g_mutex_unlock (&jobs->metrics_lock);
}

static void
run_decider (void *data, void (*heartbeat) (void *), void *context)
{
  struct sv_job_server *jobs = data;
  struct pollfd p = { .fd = ba_ring_fd (jobs->events), .events = POLLIN };
  jb_time next = 0;

  while (!atomic_load (&jobs->stopping_decider))
    {
      jb_time now = ba_clock_now_us ();
      int64_t wait = CLAMP ((next - now + JB_MS - 1) / JB_MS, 0, MAX_WAIT_MS);
      struct event *event;
      uint32_t taken = 0;

      poll (&p, 1, (int)wait);
      heartbeat (context);
      ba_ring_reset_fd (jobs->events);
      now = ba_clock_now_us ();
      jb_host_set_unix_origin (jobs->host, unix_ms () * JB_MS - now);
      /* Events go on arriving meanwhile.  A time before an event's would put
         a backend server's clock ahead, and its lease would last longer than
         is thought here.  */
      while (taken < EVENTS_A_TURN
             && (event = ba_ring_pop (jobs->events)) != NULL)
        {
          take_event (jobs, ba_clock_now_us (), event);
          taken++;
        }
      now = ba_clock_now_us ();
      next = jb_host_run (jobs->host, now);
      if (taken == EVENTS_A_TURN)
        next = now; /* there may be more, and the ring's signal is cleared */
      publish (jobs, now);
    }
}

static void
stop_decider (void *data)
{
  struct sv_job_server *jobs = data;

  atomic_store (&jobs->stopping_decider, true);
  ba_ring_wake (jobs->events);
}

static void
run_outside (void *data, void (*heartbeat) (void *), void *context)
{
  ht_client_run (data, heartbeat, context);
}

static void
stop_outside (void *data)
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
open_server (struct sv_job_server *jobs, const char *address,
             unsigned max_connections, size_t max_body,
             const struct ht_server_handlers *handlers,
             struct ht_server **self, GError **error)
{
  struct ht_server_options options = { .address = address,
                                       .threads = 1,
                                       .max_connections = max_connections,
                                       .max_body_bytes = max_body,
                                       .header_memory_bytes = HEADER_MEMORY,
                                       .no_disconnect_watch = true,
                                       .handlers = handlers,
                                       .context = jobs,
                                       .server_out = self };

  return ht_server_new (jobs, &options, error);
}

static int
jobs_destroy (struct sv_job_server *jobs)
{
  TALLOC_FREE (jobs->admin);
  TALLOC_FREE (jobs->readiness);
  TALLOC_FREE (jobs->callers);
  g_hash_table_destroy (jobs->budgets);
  return 0;
}

static bool
open_servers (struct sv_job_server *jobs, GError **error)
{
  const struct sv_job_server_settings *settings = jobs->options.settings;

  if (open_server (jobs, settings->listen, settings->max_connections,
                   settings->max_body, &call_handlers, &jobs->callers, error)
      == NULL)
    return false;
  if (open_server (jobs, settings->ready, ADMIN_CONNECTIONS, 0,
                   &check_handlers, &jobs->readiness, error)
      == NULL)
    return false;
  return settings->admin == NULL
         || open_server (jobs, settings->admin, ADMIN_CONNECTIONS, 0,
                         &admin_handlers, &jobs->admin, error)
                != NULL;
}

static bool
make_host (struct sv_job_server *jobs, GError **error)
{
  const struct sv_job_server_settings *settings = jobs->options.settings;
  struct jb_host_options host = { .name = settings->name,
                                  .zone = settings->zone,
                                  .cpu_share_milli = settings->processor,
                                  .address = settings->peer,
                                  .bounds = settings->bounds };
  struct pr_link_options link = { .address = settings->peer,
                                  .secret = settings->secret,
                                  .on_message = take_message,
                                  .context = jobs };

  if (getrandom (&host.incarnation, sizeof host.incarnation, 0)
      != sizeof host.incarnation)
    {
      g_set_error (error, BA_ERROR, BA_ERROR_IO, "no random number: %s",
                   g_strerror (errno));
      return false;
    }
  link.incarnation = host.incarnation;
  jobs->peers = pr_link_new (jobs, &link, error);
  if (jobs->peers == NULL)
    return false;
  jobs->host = jb_host_new (jobs, ba_clock_now_us (), &host, &effects, jobs);
  return true;
}

static void
supervise (struct sv_job_server *jobs)
{
  const struct sv_thread_options children[]
      = { { "log", sv_log_run, sv_log_stop, jobs->log },
          { "outside", run_outside, stop_outside, jobs->outside },
          { "peers", run_peers, stop_peers, jobs->peers },
          { "decider", run_decider, stop_decider, jobs } };

  jobs->supervisor = sv_supervisor_new (jobs);
  for (size_t i = 0; i < G_N_ELEMENTS (children); i++)
    sv_supervisor_add (jobs->supervisor, &children[i]);
}

struct sv_job_server *
sv_job_server_new (TALLOC_CTX *mem,
                   const struct sv_job_server_options *options, GError **error)
{
  struct sv_job_server *jobs = talloc_zero (mem, struct sv_job_server);
  struct ht_client_options outside
      = { .ring_capacity = OUTSIDE_RING,
          .max_host_connections = MAX_HOST_CONNECTIONS,
          .max_idle_connections = KEPT_CONNECTIONS };

  jobs->options = *options;
  g_mutex_init (&jobs->metrics_lock);
  talloc_set_destructor (jobs, jobs_destroy);
  jobs->signals = sv_signals_open ();
  jobs->log
      = sv_log_new (jobs, &options->settings->log, options->settings->name);
  /* Events are literals, so their names outlive the table.  */
  jobs->budgets = g_hash_table_new (g_str_hash, g_str_equal);
  jobs->events = ba_ring_new (jobs, EVENT_RING);
  jobs->outside = ht_client_new (jobs, &outside);
  if (!make_host (jobs, error) || !open_servers (jobs, error))
    {
      talloc_free (jobs);
      return NULL;
    }
  supervise (jobs);
  return jobs;
}

/* ---- running ---- */

static void
reload (struct sv_job_server *jobs)
{
  GError *error = NULL;
  const struct sv_job_server_settings *settings
      = jobs->options.reload (jobs->options.data, &error);
  struct event *event;

  if (settings == NULL && error == NULL)
    return; /* unchanged */
  if (settings == NULL)
    {
      sv_log (jobs->log, CF_LOG_ERROR, "settings-rejected", "reason",
              error != NULL ? error->message : "unknown", NULL);
      g_clear_error (&error);
      return;
    }
  jobs->options.settings = settings;
  sv_log (jobs->log, CF_LOG_INFO, "settings-loaded", NULL);
  event = talloc_zero (NULL, struct event);
  event->type = EVENT_BOUNDS;
  event->bounds = settings->bounds;
  push (jobs, event);
}

static void
take_signal (struct sv_job_server *jobs, uint32_t number)
{
  struct event *event;

  if (number == SIGHUP)
    {
      reload (jobs);
      return;
    }
  sv_log (jobs->log, CF_LOG_INFO, "stopping", NULL);
  event = talloc_zero (NULL, struct event);
  event->type = EVENT_STOP;
  push (jobs, event);
}

/* Let answers that are on their way reach their callers.  */
static void
finish_answers (struct sv_job_server *jobs)
{
  int64_t until = ba_clock_now_us () + LAST_ANSWERS;

  ht_server_stop_accepting (jobs->callers);
  while (ba_clock_now_us () < until)
    g_usleep (20000);
}

int
sv_job_server_run (struct sv_job_server *jobs)
{
  const struct sv_job_server_settings *settings = jobs->options.settings;
  struct pollfd p = { .fd = jobs->signals, .events = POLLIN };
  const char *failed = NULL;
  jb_time next_settings = 0;

  sv_supervisor_start (jobs->supervisor);
  sv_log (jobs->log, CF_LOG_INFO, "started", "listen", settings->listen,
          "zone", settings->zone, "version", DP_VERSION, NULL);
  while (!atomic_load (&jobs->stopped) && failed == NULL)
    {
      struct signalfd_siginfo info;

      poll (&p, 1, WATCH_MS);
      while (read (p.fd, &info, sizeof info) == (ssize_t)sizeof info)
        take_signal (jobs, info.ssi_signo);
      if (ba_clock_now_us () >= next_settings)
        {
          next_settings = ba_clock_now_us () + SETTINGS_MS * JB_MS;
          reload (jobs);
        }
      failed = sv_supervisor_check (jobs->supervisor);
    }
  if (failed != NULL)
    {
      /* Threads that hang can't be stopped: the process is replaced.  */
      fprintf (stderr, "dogwoodpulleyd: duty %s failed\n", failed);
      _exit (EXIT_FAILED_DUTY);
    }
  finish_answers (jobs);
  sv_log (jobs->log, CF_LOG_INFO, "stopped", NULL);
  TALLOC_FREE (jobs->admin);
  TALLOC_FREE (jobs->readiness);
  TALLOC_FREE (jobs->callers);
  sv_supervisor_stop (jobs->supervisor);
  close (jobs->signals);
  return EXIT_SUCCESS;
}
