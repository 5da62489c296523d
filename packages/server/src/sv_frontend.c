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
  MAX_IDENTITY = 200,
  CALLER_THREADS = 2
};

static const char queue_prefix[] = "/q/";
static const char health_path[] = "/healthz";

struct sv_frontend
{
  struct sv_frontend_options options;
  struct ht_server *server;
  struct ba_counter refusals[CO_REASON_COUNT];
};

static void
refuse (struct sv_frontend *callers, uint64_t id, enum co_reason reason,
        const char *detail)
{
  atomic_fetch_add (&callers->refusals[reason].value, 1);
  sv_log (callers->options.log, CF_LOG_INFO, "refused", "reason",
          co_reason_info (reason)->name, "detail", detail, NULL);
  sv_response_send_problem (callers->server, id, reason, 0, detail);
}

const char *
sv_frontend_forwarded_path (const char *target)
{
  const char *rest = target + strlen (queue_prefix);

  rest += strcspn (rest, "/?");
  return *rest == '/' ? rest : "/";
}

/* Return the queue's name in TARGET, or NULL.  */
static char *
queue_of (TALLOC_CTX *mem, const char *target)
{
  const char *name = target + strlen (queue_prefix);
  size_t len;

  if (strncmp (target, queue_prefix, strlen (queue_prefix)) != 0)
    return NULL;
  len = strcspn (name, "/?");
  return len > 0 ? talloc_strndup (mem, name, len) : NULL;
}

/* A request being checked.  */
struct parse
{
  struct sv_frontend *callers;
  uint64_t id;
  struct co_event *event;
  enum co_reason reason;
  const char *detail;
};

static char *
header (struct parse *p, const char *name)
{
  return ht_call_get_header (p->callers->server, p->id, p->event, name);
}

static void
fail (struct parse *p, enum co_reason reason, const char *detail)
{
  if (p->reason != CO_REASON_NONE)
    return;
  p->reason = reason;
  p->detail = detail;
}

static void
parse_key (struct parse *p)
{
  static const char scheme[] = "Bearer ";
  char *value = header (p, "Authorization");

  if (value == NULL)
    return;
  if (g_ascii_strncasecmp (value, scheme, strlen (scheme)) != 0)
    fail (p, CO_REASON_BAD_REQUEST, "Authorization: expected a bearer token");
  else
    p->event->u.request.key_hash
        = ba_hash_sha256_hex (p->event, value + strlen (scheme));
  /* The key itself is not kept any longer than this.  */
  memset (value, 0, strlen (value));
}

static void
parse_deadline (struct parse *p)
{
  const struct cf_request_settings *settings
      = &p->callers->options.settings->requests;
  char *value = header (p, "Deadline-Ms");
  int64_t deadline = settings->default_deadline_ms;
  char *end;

  if (value != NULL)
    {
      errno = 0;
      deadline = strtoll (value, &end, 10);
      if (errno != 0 || end == value || *end != '\0' || deadline < 1
          || deadline > settings->max_deadline_ms)
        fail (p, CO_REASON_BAD_DEADLINE,
              talloc_asprintf (p->event,
                               "Deadline-Ms: expected an integer from 1 to "
                               "%" G_GINT64_FORMAT,
                               settings->max_deadline_ms));
    }
  p->event->u.request.deadline = ba_clock_now_us () + deadline * 1000;
}

static void
parse_priority (struct parse *p)
{
  char *value = header (p, "Queue-Priority");

  if (value == NULL)
    return;
  p->event->u.request.has_priority = true;
  if (strcmp (value, "urgent") == 0)
    p->event->u.request.priority = CF_PRIORITY_URGENT;
  else if (strcmp (value, "archive") == 0)
    p->event->u.request.priority = CF_PRIORITY_ARCHIVE;
  else
    fail (p, CO_REASON_BAD_REQUEST,
          "Queue-Priority: expected urgent or archive");
}

/* By RFC 9110, section 9.2.2, unless a header says otherwise.  */
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

static void
parse_idempotence (struct parse *p, const char *method)
{
  char *value = header (p, "Idempotent");

  p->event->u.request.idempotent = is_idempotent_method (method);
  if (value == NULL)
    return;
  if (strcmp (value, "true") == 0)
    p->event->u.request.idempotent = true;
  else if (strcmp (value, "false") == 0)
    p->event->u.request.idempotent = false;
  else
    fail (p, CO_REASON_BAD_REQUEST, "Idempotent: expected true or false");
}

static void
parse_identity (struct parse *p)
{
  char *value = header (p, "Idempotency-Key");

  if (value == NULL)
    return;
  if (*value == '\0' || strlen (value) > MAX_IDENTITY)
    fail (p, CO_REASON_BAD_REQUEST,
          "Idempotency-Key: expected 1 to 200 characters");
  for (const char *c = value; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c))
      fail (p, CO_REASON_BAD_REQUEST,
            "Idempotency-Key: expected visible ASCII characters");
  p->event->u.request.idempotency_key = value;
}

static void
answer_health (struct sv_frontend *callers, uint64_t id)
{
  bool ready = sv_core_loop_ready (callers->options.decider);
  const char *body = ready ? "ready\n" : "not ready\n";
  struct ht_field field = { "Content-Type", "text/plain" };

  ht_call_respond (callers->server, id, ready ? 200 : 503, &field, 1, body,
                   strlen (body));
}

static bool
take_request (void *context, const struct ht_call *call)
{
  struct sv_frontend *callers = context;
  struct co_event *event;
  struct parse p = { callers, call->id, NULL, CO_REASON_NONE, NULL };

  if (strcmp (call->target, health_path) == 0)
    {
      answer_health (callers, call->id);
      return true;
    }
  event = talloc_zero (NULL, struct co_event);
  p.event = event;
  event->type = CO_EVENT_REQUEST;
  event->u.request.request_id = call->id;
  event->u.request.queue = queue_of (event, call->target);
  if (event->u.request.queue == NULL)
    fail (&p, CO_REASON_UNKNOWN_QUEUE, "expected a path /q/QUEUE/...");
  parse_key (&p);
  parse_deadline (&p);
  parse_priority (&p);
  parse_idempotence (&p, call->method);
  parse_identity (&p);
  if (p.reason == CO_REASON_NONE
      && sv_core_loop_push (callers->options.decider, event))
    return true;
  if (p.reason != CO_REASON_NONE)
    refuse (callers, call->id, p.reason, p.detail);
  else
    atomic_fetch_add (&callers->refusals[CO_REASON_OVERLOADED].value, 1);
  talloc_free (event);
  return p.reason != CO_REASON_NONE;
}

static void
take_too_large (void *context, const struct ht_call *call)
{
  refuse (context, call->id, CO_REASON_BODY_TOO_LARGE, NULL);
}

static void
take_gone (void *context, uint64_t id)
{
  struct sv_frontend *callers = context;
  struct co_event *event = talloc_zero (NULL, struct co_event);

  event->type = CO_EVENT_CALLER_GONE;
  event->u.caller_gone = id;
  if (!sv_core_loop_push (callers->options.decider, event))
    talloc_free (event); /* the answer will find nobody */
}

static void
take_drained (void *context, uint64_t id)
{
  struct sv_frontend *callers = context;

  callers->options.drained (callers->options.context, id);
}

static const struct ht_server_handlers handlers = {
  .request = take_request,
  .too_large = take_too_large,
  .disconnected = take_gone,
  .writable = take_drained,
};

struct ht_server *
sv_frontend_http_server (struct sv_frontend *callers)
{
  return callers->server;
}

char *
sv_frontend_metrics (struct sv_frontend *callers, TALLOC_CTX *mem)
{
  return ba_counter_format (mem, callers->refusals, CO_REASON_COUNT);
}

struct sv_frontend *
sv_frontend_new (TALLOC_CTX *mem, const struct sv_frontend_options *options,
                 GError **error)
{
  struct sv_frontend *callers = talloc_zero (mem, struct sv_frontend);
  const struct cf_settings *settings = options->settings;
  struct ht_server_options server = { .address = settings->listen };

  callers->options = *options;
  for (int i = 0; i < CO_REASON_COUNT; i++)
    {
      callers->refusals[i].name = "dogwoodpulley_caller_refusals_total";
      callers->refusals[i].labels = talloc_asprintf (callers, "reason=\"%s\"",
                                                     co_reason_info (i)->name);
      callers->refusals[i].help
          = "Requests refused before they reached the decider";
    }
  server.threads = CALLER_THREADS;
  server.max_connections = (unsigned)settings->requests.max_requests;
  server.max_body_bytes = (size_t)settings->requests.max_body_kb * 1024;
  server.header_memory_bytes = (size_t)settings->requests.max_header_kb * 1024;
  server.handlers = &handlers;
  server.context = callers;
  server.server_out = &callers->server;
  callers->server = ht_server_new (callers, &server, error);
  if (callers->server != NULL)
    return callers;
  talloc_free (callers);
  return NULL;
}
