#include "sv_proxy.h"

#include "ba_clock.h"
#include "ba_hash.h"
#include "ht_client.h"
#include "ht_server.h"
#include "sv_response.h"
#include "sv_frontend.h"

#include <inttypes.h>
#include <string.h>

enum
{
  REQUEST_RING_CAPACITY = 65536,
  /* A response with a larger body is streamed.  */
  MAX_BUFFERED_BYTES = CO_MAX_CACHED_BODY_BYTES
};

/* A request must not be sent later than this after the core decided to start
   it, because the membership lease that the decision relied on may have
   expired.  */
static const int64_t max_start_delay_us = 500000;

struct sv_proxy_thread
{
  struct ht_client *client;
};

/* A streamed response that is paused until its client can take more data.  */
struct paused_stream
{
  uint64_t call;
  uint64_t exchange_id; /* with the backend server */
  struct sv_proxy_thread *thread;
};

struct sv_proxy
{
  struct sv_proxy_options options;
  struct sv_proxy_thread threads[SV_PROXY_THREAD_COUNT];
  struct ht_server *client_server;
  GMutex lock;
  GHashTable *paused_streams; /* call -> struct paused_stream; under lock */
};

/* A request that is sent to a backend server.  Once it is submitted, only its
   `thread' uses it.  */
struct attempt
{
  struct sv_proxy *proxy;
  struct sv_proxy_thread *thread;
  uint64_t call;
  char *host; /* of the backend server */
  unsigned response_status;
  int64_t response_body_len; /* bytes; -1: not known */
  char *response_headers;    /* "NAME: VALUE" lines */
  GByteArray *buffered_body; /* of the response, before it is streamed */
  bool streaming;            /* part of the response was sent to the client */
};

static int
attempt_destroy (struct attempt *attempt)
{
  g_byte_array_free (attempt->buffered_body, TRUE);
  return 0;
}

static void
handle_response_headers (struct ht_exchange *exchange, void *context,
                         unsigned status, int64_t length)
{
  struct attempt *attempt = context;

  attempt->response_status = status;
  attempt->response_body_len = length;
  attempt->response_headers = ht_exchange_response_headers (exchange, attempt);
}

/* Begin to stream the response, starting with the buffered part.  */
static void
begin_streaming (struct attempt *attempt)
{
  struct ht_field *fields;
  size_t count = sv_response_parse_headers (attempt, attempt->response_headers,
                                            &fields);

  attempt->streaming = true;
  ht_call_begin_response (attempt->proxy->client_server, attempt->call,
                          attempt->response_status, fields, count,
                          attempt->response_body_len);
  if (attempt->buffered_body->len > 0)
    ht_call_append_body (attempt->proxy->client_server, attempt->call,
                         attempt->buffered_body->data,
                         attempt->buffered_body->len);
  g_byte_array_set_size (attempt->buffered_body, 0);
}

/* Append to the streamed response.  Return false when the client can't take
   more data now; sv_proxy_resume continues the stream later.  The stream is
   entered as paused beforehand, because the client may be ready again, and
   sv_proxy_resume be called, before ht_call_append_body has returned.  */
static bool
append_to_stream (struct attempt *attempt, struct ht_exchange *exchange,
                  const void *data, size_t len)
{
  struct sv_proxy *proxy = attempt->proxy;
  struct paused_stream *paused = g_new (struct paused_stream, 1);
  bool appended;

  paused->call = attempt->call;
  paused->exchange_id = ht_exchange_id (exchange);
  paused->thread = attempt->thread;
  g_mutex_lock (&proxy->lock);
  g_hash_table_replace (proxy->paused_streams, &paused->call, paused);
  g_mutex_unlock (&proxy->lock);
  appended
      = ht_call_append_body (proxy->client_server, attempt->call, data, len);
  if (appended)
    {
      g_mutex_lock (&proxy->lock);
      g_hash_table_remove (proxy->paused_streams, &attempt->call);
      g_mutex_unlock (&proxy->lock);
    }
  return appended;
}

static bool
handle_response_body (struct ht_exchange *exchange, void *context,
                      const void *data, size_t len)
{
  struct attempt *attempt = context;

  if (!attempt->streaming
      && attempt->buffered_body->len + len <= MAX_BUFFERED_BYTES)
    {
      g_byte_array_append (attempt->buffered_body, data, (guint)len);
      return true;
    }
  if (!attempt->streaming)
    begin_streaming (attempt);
  return append_to_stream (attempt, exchange, data, len);
}

static uint32_t
result_to_attempt_result (enum ht_result result)
{
  switch (result)
    {
    case HT_RESULT_COMPLETE:
      return CO_ATTEMPT_ANSWERED;
    case HT_RESULT_NOT_SENT:
      return CO_ATTEMPT_NOT_SENT;
    case HT_RESULT_TIMEOUT:
      return CO_ATTEMPT_TIMED_OUT;
    default:
      return CO_ATTEMPT_BROKEN;
    }
}

/* Send the buffered response to the client now, without waiting for the
   decision core.  */
static void
send_buffered_response (struct attempt *attempt)
{
  struct ht_field *fields;
  size_t count = sv_response_parse_headers (attempt, attempt->response_headers,
                                            &fields);

  ht_call_respond (attempt->proxy->client_server, attempt->call,
                   attempt->response_status, fields, count,
                   attempt->buffered_body->data, attempt->buffered_body->len);
}

static void
report_attempt_done (struct attempt *attempt, enum ht_result result)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);

  event->type = CO_EVENT_ATTEMPT_DONE;
  event->u.attempt_done.request_id = attempt->call;
  event->u.attempt_done.result = result_to_attempt_result (result);
  event->u.attempt_done.streamed = attempt->streaming;
  event->u.attempt_done.http_status = attempt->response_status;
  if (result == HT_RESULT_COMPLETE && !attempt->streaming)
    {
      event->u.attempt_done.has_whole_body = true;
      event->u.attempt_done.headers
          = talloc_strdup (event, attempt->response_headers);
      event->u.attempt_done.body = ba_bytes_copy (
          event, attempt->buffered_body->data, attempt->buffered_body->len);
    }
  sv_core_loop_push_blocking (attempt->proxy->options.core_loop, event);
}

static void
log_result (const struct attempt *attempt, struct ht_exchange *exchange,
            enum ht_result result)
{
  static const char *const result_names[]
      = { [HT_RESULT_COMPLETE] = "answered",
          [HT_RESULT_NOT_SENT] = "not-sent",
          [HT_RESULT_INCOMPLETE] = "broken",
          [HT_RESULT_TIMEOUT] = "timeout" };
  enum cf_log_level level
      = result == HT_RESULT_COMPLETE ? CF_LOG_DEBUG : CF_LOG_WARN;
  char call[24];

  if (!sv_log_is_enabled (attempt->proxy->options.log, level))
    return;
  snprintf (call, sizeof call, "%" PRIu64, attempt->call);
  sv_log (attempt->proxy->options.log, level, "done", "request", call,
          "backend", attempt->host, "result", result_names[result], "cause",
          result == HT_RESULT_COMPLETE || exchange == NULL
              ? NULL
              : ht_exchange_error (exchange),
          NULL);
}

/* Finish the attempt CONTEXT, and free it.  EXCHANGE is NULL when the request
   could not be submitted.  */
static void
handle_response_end (struct ht_exchange *exchange, void *context,
                     enum ht_result result, unsigned status)
{
  struct attempt *attempt = context;
  struct sv_proxy *proxy = attempt->proxy;

  (void)status;
  if (attempt->streaming)
    {
      ht_call_end_response (proxy->client_server, attempt->call,
                            result == HT_RESULT_COMPLETE);
      g_mutex_lock (&proxy->lock);
      g_hash_table_remove (proxy->paused_streams, &attempt->call);
      g_mutex_unlock (&proxy->lock);
    }
  else if (result == HT_RESULT_COMPLETE)
    send_buffered_response (attempt);
  log_result (attempt, exchange, result);
  report_attempt_done (attempt, result);
  talloc_free (attempt);
}

static const struct ht_client_handlers handlers = {
  .headers = handle_response_headers,
  .body = handle_response_body,
  .done = handle_response_end,
};

struct sv_proxy *
sv_proxy_new (TALLOC_CTX *mem, const struct sv_proxy_options *options)
{
  struct sv_proxy *proxy = talloc_zero (mem, struct sv_proxy);
  struct ht_client_options client
      = { .ring_capacity = REQUEST_RING_CAPACITY,
          .max_connections_per_server = options->max_connections_per_backend };

  proxy->options = *options;
  for (int i = 0; i < SV_PROXY_THREAD_COUNT; i++)
    proxy->threads[i].client = ht_client_new (proxy, &client);
  proxy->paused_streams
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_mutex_init (&proxy->lock);
  return proxy;
}

void
sv_proxy_set_client_server (struct sv_proxy *proxy,
                            struct ht_server *client_server)
{
  proxy->client_server = client_server;
}

/* Return whether the client's header NAME is not forwarded to a backend
   server.  The key and the priority are meant for the entry hosts only; the
   other ones belong to one connection or are set anew.  */
static bool
is_not_forwarded (const char *name)
{
  static const char *const names[]
      = { "Authorization", "Host",           "Expect",
          "Deadline-Ms",   "Queue-Priority", NULL };

  if (ht_header_is_hop_by_hop (name))
    return true;
  for (size_t i = 0; names[i] != NULL; i++)
    if (g_ascii_strcasecmp (names[i], name) == 0)
      return true;
  return false;
}

static void
fill_request_headers (struct attempt *attempt,
                      const struct ht_request_copy *client_request,
                      int64_t remaining_ms, struct ht_request *request)
{
  struct ht_header *headers = talloc_array (attempt, struct ht_header,
                                            client_request->field_count + 1);

  for (size_t i = 0; i < client_request->field_count; i++)
    if (!is_not_forwarded (client_request->fields[i].name))
      {
        headers[request->header_count].name = client_request->fields[i].name;
        headers[request->header_count++].value
            = client_request->fields[i].value;
      }
  headers[request->header_count].name = "Deadline-Ms";
  headers[request->header_count++].value
      = talloc_asprintf (attempt, "%" PRId64, remaining_ms);
  request->headers = headers;
}

void
sv_proxy_forward (struct sv_proxy *proxy, const struct co_action_start *start,
                  co_time decided_at)
{
  struct attempt *attempt = talloc_zero (NULL, struct attempt);
  struct ht_request_copy *client_request = ht_call_copy_request (
      proxy->client_server, start->request_id, attempt);
  int64_t remaining_ms = (start->deadline - decided_at) / 1000;
  struct ht_request request = { 0 };

  attempt->proxy = proxy;
  attempt->thread = &proxy->threads[ba_hash_str (start->address, 0)
                                    % SV_PROXY_THREAD_COUNT];
  attempt->call = start->request_id;
  attempt->host = talloc_strdup (attempt, start->host);
  attempt->buffered_body = g_byte_array_new ();
  talloc_set_destructor (attempt, attempt_destroy);
  if (client_request == NULL) /* the call has ended */
    {
      handle_response_end (NULL, attempt, HT_RESULT_NOT_SENT, 0);
      return;
    }
  request.method = client_request->method;
  request.url
      = talloc_asprintf (attempt, "http://%s%s", start->address,
                         sv_frontend_forwarded_path (client_request->target));
  fill_request_headers (attempt, client_request, remaining_ms, &request);
  request.body = client_request->body;
  request.body_len = client_request->body_len;
  request.start_before_us = decided_at + max_start_delay_us;
  request.timeout_ms = remaining_ms > 0 ? remaining_ms : 1;
  request.no_retry = !start->idempotent;
  if (!ht_client_submit (attempt->thread->client, &request, &handlers,
                         attempt))
    handle_response_end (NULL, attempt, HT_RESULT_NOT_SENT, 0);
}

void
sv_proxy_resume (struct sv_proxy *proxy, uint64_t call)
{
  struct paused_stream *found;
  struct paused_stream stream = { 0 };

  g_mutex_lock (&proxy->lock);
  found = g_hash_table_lookup (proxy->paused_streams, &call);
  if (found != NULL)
    stream = *found;
  g_hash_table_remove (proxy->paused_streams, &call);
  g_mutex_unlock (&proxy->lock);
  if (stream.thread != NULL)
    ht_client_resume (stream.thread->client, stream.exchange_id);
}

struct sv_proxy_thread *
sv_proxy_get_thread (struct sv_proxy *proxy, unsigned index)
{
  return &proxy->threads[index];
}

void
sv_proxy_thread_run (void *data, void (*heartbeat) (void *), void *context)
{
  struct sv_proxy_thread *thread = data;

  ht_client_run (thread->client, heartbeat, context);
}

void
sv_proxy_thread_stop (void *data)
{
  struct sv_proxy_thread *thread = data;

  ht_client_stop (thread->client);
}
