#include "sv_frontend.h"

#include "ba_clock.h"
#include "ba_hash.h"
#include "ht_server.h"
#include "sv_response.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_IDEMPOTENCY_KEY_BYTES = 200,
  SERVER_THREAD_COUNT = 2,
  /* Part of the machine's memory for connections and bodies of requests.  The
     rest is for the core, responses and what the allocator keeps.  */
  MEMORY_EIGHTHS = 3
};

static const char queue_prefix[] = "/q/";
static const char health_path[] = "/healthz";

struct sv_frontend
{
  struct sv_frontend_options options;
  struct ht_server *http_server;
  struct ba_counter refusals[CO_REASON_COUNT]; /* by enum co_reason */
};

/* Refuse call ID for REASON.  DETAIL, or NULL, explains it to the client.  */
static void
refuse (struct sv_frontend *frontend, uint64_t id, enum co_reason reason,
        const char *detail)
{
  atomic_fetch_add (&frontend->refusals[reason].value, 1);
  sv_log (frontend->options.log, CF_LOG_INFO, "refused", "reason",
          co_reason_info (reason)->name, "detail", detail, NULL);
  sv_response_send_problem (frontend->http_server, id, reason, 0, detail);
}

const char *
sv_frontend_forwarded_path (const char *target)
{
  const char *rest = target + strlen (queue_prefix);

  rest += strcspn (rest, "/?");
  return *rest == '/' ? rest : "/";
}

/* Return the name of the queue in TARGET, owned by MEM, or NULL when TARGET is
   not a path of a queue.  */
static char *
parse_queue_name (TALLOC_CTX *mem, const char *target)
{
  const char *name = target + strlen (queue_prefix);
  size_t len;

  if (strncmp (target, queue_prefix, strlen (queue_prefix)) != 0)
    return NULL;
  len = strcspn (name, "/?");
  return len > 0 ? talloc_strndup (mem, name, len) : NULL;
}

/* The validation of a request, which fills an event from its headers.  */
struct validation
{
  struct sv_frontend *frontend;
  uint64_t id; /* of the call */
  struct co_event *event;
  /* The first failure, or CO_REASON_NONE.  */
  enum co_reason reason;
  const char *detail; /* of the failure */
};

static char *
copy_header (struct validation *validation, const char *name)
{
  return ht_call_get_header (validation->frontend->http_server, validation->id,
                             validation->event, name);
}

static void
set_refusal (struct validation *validation, enum co_reason reason,
             const char *detail)
{
  if (validation->reason != CO_REASON_NONE)
    return;
  validation->reason = reason;
  validation->detail = detail;
}

static void
parse_authorization (struct validation *validation)
{
  static const char scheme[] = "Bearer ";
  char *value = copy_header (validation, "Authorization");

  if (value == NULL)
    return;
  if (g_ascii_strncasecmp (value, scheme, strlen (scheme)) != 0)
    set_refusal (validation, CO_REASON_BAD_REQUEST,
                 "Authorization: expected a bearer token");
  else
    validation->event->u.request.key_hash
        = ba_hash_sha256_hex (validation->event, value + strlen (scheme));
  /* Only the hash is needed: erase the key from memory.  */
  memset (value, 0, strlen (value));
}

static void
parse_deadline (struct validation *validation)
{
  const struct cf_request_settings *settings
      = &validation->frontend->options.settings->requests;
  char *value = copy_header (validation, "Deadline-Ms");
  int64_t deadline_ms = settings->default_deadline_ms;
  char *end;

  if (value != NULL)
    {
      errno = 0;
      deadline_ms = strtoll (value, &end, 10);
      if (errno != 0 || end == value || *end != '\0' || deadline_ms < 1
          || deadline_ms > settings->max_deadline_ms)
        set_refusal (
            validation, CO_REASON_BAD_DEADLINE,
            talloc_asprintf (validation->event,
                             "Deadline-Ms: expected an integer from 1 to "
                             "%" G_GINT64_FORMAT,
                             settings->max_deadline_ms));
    }
  validation->event->u.request.deadline
      = ba_clock_now_us () + deadline_ms * 1000;
}

static void
parse_priority (struct validation *validation)
{
  char *value = copy_header (validation, "Queue-Priority");

  if (value == NULL)
    return;
  validation->event->u.request.has_priority = true;
  if (strcmp (value, "urgent") == 0)
    validation->event->u.request.priority = CF_PRIORITY_URGENT;
  else if (strcmp (value, "archive") == 0)
    validation->event->u.request.priority = CF_PRIORITY_ARCHIVE;
  else
    set_refusal (validation, CO_REASON_BAD_REQUEST,
                 "Queue-Priority: expected urgent or archive");
}

/* Return whether METHOD is idempotent by RFC 9110, section 9.2.2.  */
static bool
is_idempotent_method (const char *method)
{
  static const char *const methods[]
      = { "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE", NULL };

  for (size_t i = 0; methods[i] != NULL; i++)
    if (strcmp (methods[i], method) == 0)
      return true;
  return false;
}

/* The header Idempotent overrides what the method implies.  */
static void
parse_idempotence (struct validation *validation, const char *method)
{
  char *value = copy_header (validation, "Idempotent");

  validation->event->u.request.idempotent = is_idempotent_method (method);
  if (value == NULL)
    return;
  if (strcmp (value, "true") == 0)
    validation->event->u.request.idempotent = true;
  else if (strcmp (value, "false") == 0)
    validation->event->u.request.idempotent = false;
  else
    set_refusal (validation, CO_REASON_BAD_REQUEST,
                 "Idempotent: expected true or false");
}

static void
parse_idempotency_key (struct validation *validation)
{
  char *value = copy_header (validation, "Idempotency-Key");

  if (value == NULL)
    return;
  if (*value == '\0' || strlen (value) > MAX_IDEMPOTENCY_KEY_BYTES)
    set_refusal (validation, CO_REASON_BAD_REQUEST,
                 "Idempotency-Key: expected 1 to 200 characters");
  for (const char *c = value; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c))
      set_refusal (validation, CO_REASON_BAD_REQUEST,
                   "Idempotency-Key: expected visible ASCII characters");
  validation->event->u.request.idempotency_key = value;
}

static void
answer_health_check (struct sv_frontend *frontend, uint64_t id)
{
  bool ready = sv_core_loop_is_ready (frontend->options.core_loop);
  const char *body = ready ? "ready\n" : "not ready\n";
  struct ht_field field = { "Content-Type", "text/plain" };

  ht_call_respond (frontend->http_server, id, ready ? 200 : 503, &field, 1,
                   body, strlen (body));
}

static bool
handle_request (void *context, const struct ht_call *call)
{
  struct sv_frontend *frontend = context;
  struct co_event *event;
  struct validation validation
      = { frontend, call->id, NULL, CO_REASON_NONE, NULL };

  if (strcmp (call->target, health_path) == 0)
    {
      answer_health_check (frontend, call->id);
      return true;
    }
  event = talloc_zero (NULL, struct co_event);
  validation.event = event;
  event->type = CO_EVENT_REQUEST;
  event->u.request.request_id = call->id;
  event->u.request.queue = parse_queue_name (event, call->target);
  if (event->u.request.queue == NULL)
    set_refusal (&validation, CO_REASON_UNKNOWN_QUEUE,
                 "expected a path /q/QUEUE/...");
  parse_authorization (&validation);
  parse_deadline (&validation);
  parse_priority (&validation);
  parse_idempotence (&validation, call->method);
  parse_idempotency_key (&validation);
  if (validation.reason == CO_REASON_NONE
      && sv_core_loop_push (frontend->options.core_loop, event))
    return true;
  if (validation.reason != CO_REASON_NONE)
    refuse (frontend, call->id, validation.reason, validation.detail);
  else /* the ring is full: returning false makes the HTTP server refuse */
    atomic_fetch_add (&frontend->refusals[CO_REASON_OVERLOADED].value, 1);
  talloc_free (event);
  return validation.reason != CO_REASON_NONE;
}

static void
handle_too_large (void *context, const struct ht_call *call)
{
  refuse (context, call->id, CO_REASON_BODY_TOO_LARGE, NULL);
}

static void
handle_disconnect (void *context, uint64_t id)
{
  struct sv_frontend *frontend = context;
  struct co_event *event = talloc_zero (NULL, struct co_event);

  event->type = CO_EVENT_CALLER_GONE;
  event->u.caller_gone = id;
  if (!sv_core_loop_push (frontend->options.core_loop, event))
    talloc_free (event); /* harmless: the answer will be dropped */
}

static void
handle_writable (void *context, uint64_t id)
{
  struct sv_frontend *frontend = context;

  frontend->options.resume_response (frontend->options.context, id);
}

static const struct ht_server_handlers handlers = {
  .request = handle_request,
  .too_large = handle_too_large,
  .disconnected = handle_disconnect,
  .writable = handle_writable,
};

struct ht_server *
sv_frontend_http_server (struct sv_frontend *frontend)
{
  return frontend->http_server;
}

char *
sv_frontend_format_metrics (struct sv_frontend *frontend, TALLOC_CTX *mem)
{
  return ba_counter_format (mem, frontend->refusals, CO_REASON_COUNT);
}

struct sv_frontend *
sv_frontend_new (TALLOC_CTX *mem, const struct sv_frontend_options *options,
                 GError **error)
{
  struct sv_frontend *frontend = talloc_zero (mem, struct sv_frontend);
  const struct cf_settings *settings = options->settings;
  struct ht_server_options http_server = { .address = settings->listen };

  frontend->options = *options;
  for (int i = 0; i < CO_REASON_COUNT; i++)
    {
      frontend->refusals[i].name = "dogwoodpulley_caller_refusals_total";
      frontend->refusals[i].labels = talloc_asprintf (
          frontend, "reason=\"%s\"", co_reason_info (i)->name);
      frontend->refusals[i].help
          = "Requests refused before they reached the decider";
    }
  http_server.threads = SERVER_THREAD_COUNT;
  http_server.max_connections = (unsigned)settings->requests.max_requests;
  http_server.max_body_bytes = (size_t)settings->requests.max_body_kb * 1024;
  http_server.header_memory_bytes
      = (size_t)settings->requests.max_header_kb * 1024;
  http_server.memory_bytes = (size_t)settings->requests.memory_mb * 1024 * 1024
                             / 8 * MEMORY_EIGHTHS;
  http_server.handlers = &handlers;
  http_server.context = frontend;
  http_server.server_out = &frontend->http_server;
  frontend->http_server = ht_server_new (frontend, &http_server, error);
  if (frontend->http_server != NULL)
    return frontend;
  talloc_free (frontend);
  return NULL;
}
