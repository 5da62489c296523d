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
  RING_CAPACITY = 65536,
  HOLD_LIMIT
  = CO_MAX_CACHED_BODY_BYTES /* bytes of an answer held until it is whole */
};

/* A start that is carried out later than this after it was decided is not
   carried out: the proof of membership it rests on may be too old.  */
static const int64_t start_patience = 500000; /* microseconds */

struct sv_proxy_thread
{
  struct ht_client *client;
};

/* An exchange that waits for its caller.  */
struct paused
{
  uint64_t call;
  uint64_t serial;
  struct sv_proxy_thread *lane;
};

struct sv_proxy
{
  struct sv_proxy_options options;
  struct sv_proxy_thread lanes[SV_PROXY_THREAD_COUNT];
  struct ht_server *callers;
  GMutex lock;
  GHashTable *paused; /* call -> struct paused */
};

/* One request at a backend server.  */
struct run
{
  struct sv_proxy *backends;
  struct sv_proxy_thread *lane;
  uint64_t call;
  char *host;
  unsigned status;
  int64_t length;
  char *headers;
  GByteArray *held;
  bool streaming;
};

static int
run_destroy (struct run *run)
{
  g_byte_array_free (run->held, TRUE);
  return 0;
}

static void
take_headers (struct ht_exchange *exchange, void *context, unsigned status,
              int64_t length)
{
  struct run *run = context;

  run->status = status;
  run->length = length;
  run->headers = ht_exchange_response_headers (exchange, run);
}

/* Begin to stream: what was held goes first.  */
static void
begin_stream (struct run *run)
{
  struct ht_field *fields;
  size_t count = sv_response_parse_headers (run, run->headers, &fields);

  run->streaming = true;
  ht_call_begin_response (run->backends->callers, run->call, run->status,
                          fields, count, run->length);
  if (run->held->len > 0)
    ht_call_append_body (run->backends->callers, run->call, run->held->data,
                         run->held->len);
  g_byte_array_set_size (run->held, 0);
}

/* Append to the stream, or note that the exchange waits for room.  The note
   comes first: room may be made at any moment.  */
static bool
stream (struct run *run, struct ht_exchange *exchange, const void *data,
        size_t len)
{
  struct sv_proxy *b = run->backends;
  struct paused *paused = g_new (struct paused, 1);
  bool taken;

  paused->call = run->call;
  paused->serial = ht_exchange_id (exchange);
  paused->lane = run->lane;
  g_mutex_lock (&b->lock);
  g_hash_table_replace (b->paused, &paused->call, paused);
  g_mutex_unlock (&b->lock);
  taken = ht_call_append_body (b->callers, run->call, data, len);
  if (taken)
    {
      g_mutex_lock (&b->lock);
      g_hash_table_remove (b->paused, &run->call);
      g_mutex_unlock (&b->lock);
    }
  return taken;
}

static bool
take_body (struct ht_exchange *exchange, void *context, const void *data,
           size_t len)
{
  struct run *run = context;

  if (!run->streaming && run->held->len + len <= HOLD_LIMIT)
    {
      g_byte_array_append (run->held, data, (guint)len);
      return true;
    }
  if (!run->streaming)
    begin_stream (run);
  return stream (run, exchange, data, len);
}

static uint32_t
done_of (enum ht_result result)
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

/* Give the caller its whole answer at once, without waiting for the
   decider.  */
static void
answer (struct run *run)
{
  struct ht_field *fields;
  size_t count = sv_response_parse_headers (run, run->headers, &fields);

  ht_call_respond (run->backends->callers, run->call, run->status, fields,
                   count, run->held->data, run->held->len);
}

static void
report (struct run *run, enum ht_result result)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);

  event->type = CO_EVENT_ATTEMPT_DONE;
  event->u.attempt_done.request_id = run->call;
  event->u.attempt_done.result = done_of (result);
  event->u.attempt_done.streamed = run->streaming;
  event->u.attempt_done.http_status = run->status;
  if (result == HT_RESULT_COMPLETE && !run->streaming)
    {
      event->u.attempt_done.has_whole_body = true;
      event->u.attempt_done.headers = talloc_strdup (event, run->headers);
      event->u.attempt_done.body
          = ba_bytes_copy (event, run->held->data, run->held->len);
    }
  sv_core_loop_push_blocking (run->backends->options.decider, event);
}

static void
log_end (const struct run *run, struct ht_exchange *exchange,
         enum ht_result result)
{
  static const char *const words[] = { [HT_RESULT_COMPLETE] = "answered",
                                       [HT_RESULT_NOT_SENT] = "not-sent",
                                       [HT_RESULT_INCOMPLETE] = "broken",
                                       [HT_RESULT_TIMEOUT] = "timeout" };
  enum cf_log_level level
      = result == HT_RESULT_COMPLETE ? CF_LOG_DEBUG : CF_LOG_WARN;
  char call[24];

  if (!sv_log_is_enabled (run->backends->options.log, level))
    return;
  snprintf (call, sizeof call, "%" PRIu64, run->call);
  sv_log (run->backends->options.log, level, "done", "request", call, "worker",
          run->host, "result", words[result], "cause",
          result == HT_RESULT_COMPLETE || exchange == NULL
              ? NULL
              : ht_exchange_error (exchange),
          NULL);
}

static void
take_done (struct ht_exchange *exchange, void *context, enum ht_result result,
           unsigned status)
{
  struct run *run = context;
  struct sv_proxy *b = run->backends;

  (void)status;
  if (run->streaming)
    {
      ht_call_end_response (b->callers, run->call,
                            result == HT_RESULT_COMPLETE);
      g_mutex_lock (&b->lock);
      g_hash_table_remove (b->paused, &run->call);
      g_mutex_unlock (&b->lock);
    }
  else if (result == HT_RESULT_COMPLETE)
    answer (run);
  log_end (run, exchange, result);
  report (run, result);
  talloc_free (run);
}

static const struct ht_client_handlers handlers = {
  .headers = take_headers,
  .body = take_body,
  .done = take_done,
};

struct sv_proxy *
sv_proxy_new (TALLOC_CTX *mem, const struct sv_proxy_options *options)
{
  struct sv_proxy *b = talloc_zero (mem, struct sv_proxy);
  struct ht_client_options client
      = { .ring_capacity = RING_CAPACITY,
          .max_host_connections = options->max_host_connections };

  b->options = *options;
  for (int i = 0; i < SV_PROXY_THREAD_COUNT; i++)
    b->lanes[i].client = ht_client_new (b, &client);
  b->paused
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_mutex_init (&b->lock);
  return b;
}

void
sv_proxy_set_client_server (struct sv_proxy *backends,
                            struct ht_server *callers)
{
  backends->callers = callers;
}

/* Headers of the caller that a backend server is not given.  The key is the
   fleet's business, and the rest is written anew.  */
static bool
is_private (const char *name)
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
fill_headers (struct run *run, const struct ht_request_copy *copy,
              int64_t left_ms, struct ht_request *request)
{
  struct ht_header *headers
      = talloc_array (run, struct ht_header, copy->field_count + 1);

  for (size_t i = 0; i < copy->field_count; i++)
    if (!is_private (copy->fields[i].name))
      {
        headers[request->header_count].name = copy->fields[i].name;
        headers[request->header_count++].value = copy->fields[i].value;
      }
  headers[request->header_count].name = "Deadline-Ms";
  headers[request->header_count++].value
      = talloc_asprintf (run, "%" PRId64, left_ms);
  request->headers = headers;
}

void
sv_proxy_forward (struct sv_proxy *backends,
                  const struct co_action_start *start, co_time decided)
{
  struct run *run = talloc_zero (NULL, struct run);
  struct ht_request_copy *copy
      = ht_call_copy_request (backends->callers, start->request_id, run);
  int64_t left_ms = (start->deadline - decided) / 1000;
  struct ht_request request = { 0 };

  run->backends = backends;
  run->lane
      = &backends
             ->lanes[ba_hash_str (start->address, 0) % SV_PROXY_THREAD_COUNT];
  run->call = start->request_id;
  run->host = talloc_strdup (run, start->host);
  run->held = g_byte_array_new ();
  talloc_set_destructor (run, run_destroy);
  if (copy == NULL)
    {
      take_done (NULL, run, HT_RESULT_NOT_SENT, 0);
      return;
    }
  request.method = copy->method;
  request.url = talloc_asprintf (run, "http://%s%s", start->address,
                                 sv_frontend_forwarded_path (copy->target));
  fill_headers (run, copy, left_ms, &request);
  request.body = copy->body;
  request.body_len = copy->body_len;
  request.send_before_us = decided + start_patience;
  request.timeout_ms = left_ms > 0 ? left_ms : 1;
  request.no_retry = !start->idempotent;
  if (!ht_client_submit (run->lane->client, &request, &handlers, run))
    take_done (NULL, run, HT_RESULT_NOT_SENT, 0);
}

void
sv_proxy_resume (struct sv_proxy *b, uint64_t call)
{
  struct paused *found;
  struct paused copy = { 0 };

  g_mutex_lock (&b->lock);
  found = g_hash_table_lookup (b->paused, &call);
  if (found != NULL)
    copy = *found;
  g_hash_table_remove (b->paused, &call);
  g_mutex_unlock (&b->lock);
  if (copy.lane != NULL)
    ht_client_resume (copy.lane->client, copy.serial);
}

struct sv_proxy_thread *
sv_proxy_thread (struct sv_proxy *backends, unsigned lane)
{
  return &backends->lanes[lane];
}

void
sv_proxy_thread_run (void *data, void (*heartbeat) (void *), void *context)
{
  struct sv_proxy_thread *lane = data;

  ht_client_run (lane->client, heartbeat, context);
}

void
sv_proxy_thread_stop (void *data)
{
  struct sv_proxy_thread *lane = data;

  ht_client_stop (lane->client);
}
