#include "sv_admin.h"

#include "ht_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ADMIN_THREADS = 1,
  MAX_CONNECTIONS = 64,
  MAX_BODY = 16 * 1024 * 1024,
  HEADER_MEMORY = 32 * 1024
};

struct sv_admin
{
  struct sv_admin_options options;
  struct ht_server *server;
};

static void
answer_text (struct sv_admin *admin, uint64_t id, unsigned status,
             const char *type, const char *text)
{
  struct ht_field field = { "Content-Type", type };

  ht_call_respond (admin->server, id, status, &field, 1, text, strlen (text));
}

/* Answer with ROOT, which is released.  */
static void
answer_json (struct sv_admin *admin, uint64_t id, unsigned status,
             json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT | JSON_PRESERVE_ORDER);

  answer_text (admin, id, status, "application/json", text);
  free (text);
  json_decref (root);
}

static void
answer_error (struct sv_admin *admin, uint64_t id, unsigned status,
              const char *result, const char *detail)
{
  answer_json (admin, id, status,
               json_pack ("{s:s,s:s}", "result", result, "detail", detail));
}

/* ---- changes ---- */

static char *
text_member (TALLOC_CTX *mem, json_t *root, const char *name)
{
  return talloc_strdup (mem, json_string_value (json_object_get (root, name)));
}

static uint64_t
number_member (json_t *root, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (root, name));
}

/* Return the index of the member's word in WORDS, or -1.  */
static int
word_member (json_t *root, const char *name, const char *const *words)
{
  const char *word = json_string_value (json_object_get (root, name));

  for (int i = 0; word != NULL && words[i] != NULL; i++)
    if (strcmp (words[i], word) == 0)
      return i;
  return -1;
}

static const char *const change_words[]
    = { "fleet", "host", "key", "order", NULL };
static const char *const state_words[]
    = { "active", "draining", "out", "moving", NULL };
static const char *const order_words[]
    = { "running", "paused", "cancelled", NULL };
static const char *const scope_words[] = { "pool", "rack", "zone", NULL };

/* Fill CHANGE from ROOT.  Return NULL, or what is wrong.  */
static const char *
parse_change (TALLOC_CTX *mem, json_t *root, struct co_change *change)
{
  int type = word_member (root, "type", change_words);
  int word;

  if (type < 0)
    return "type: expected fleet, host, key or order";
  change->type = (uint32_t)type;
  change->expected_fleet_version = number_member (root, "base");
  change->fleet_yaml = text_member (mem, root, "text");
  change->host = text_member (mem, root, "host");
  change->pool = text_member (mem, root, "pool");
  change->new_generation = number_member (root, "generation");
  change->key_hash = text_member (mem, root, "key_hash");
  change->team = text_member (mem, root, "team");
  change->order_id = number_member (root, "order");
  change->scope_name = text_member (mem, root, "scope_name");
  switch (type)
    {
    case CO_CHANGE_FLEET:
      return change->fleet_yaml ? NULL : "text: expected the fleet as YAML";
    case CO_CHANGE_HOST:
      word = word_member (root, "state", state_words);
      change->host_state = word < 0 ? 0 : (uint32_t)word;
      /* Only the planner completes drains, after everybody's acknowledgement.
       */
      if (word < 0 || word == CO_HOST_OUT)
        return "state: expected active, draining or moving";
      return change->host ? NULL : "host: expected a name";
    case CO_CHANGE_API_KEY:
      return change->key_hash ? NULL : "key_hash: expected a digest";
    default:
      word = word_member (root, "state", order_words);
      change->order_state = word < 0 ? 0 : (uint32_t)word;
      if (word < 0)
        return "state: expected running, paused or cancelled";
      word = word_member (root, "scope", scope_words);
      change->scope = word < 0 ? 0 : (uint32_t)word;
      if (change->order_id == 0 && (word < 0 || change->scope_name == NULL))
        return "scope: expected pool, rack or zone, with scope_name";
      if (change->scope_name == NULL)
        change->scope_name = talloc_strdup (mem, "");
      return NULL;
    }
}

static bool
take_change (struct sv_admin *admin, const struct ht_call *call)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);
  json_t *root = json_loadb (call->body, call->body_len, 0, NULL);
  const char *problem = "expected a JSON object";

  event->type = CO_EVENT_CHANGE;
  event->u.change.change_id = call->id;
  if (json_is_object (root))
    {
      event->u.change.token = text_member (event, root, "token");
      problem = parse_change (event, root, &event->u.change.change);
      if (problem == NULL && event->u.change.token == NULL)
        problem = "token: expected a text";
    }
  json_decref (root);
  if (problem != NULL)
    {
      answer_error (admin, call->id, 400, "invalid", problem);
      talloc_free (event);
      return true;
    }
  if (sv_core_loop_push (admin->options.decider, event))
    return true;
  talloc_free (event);
  return false;
}

void
sv_admin_send_change_result (struct sv_admin *admin,
                             const struct co_action_change_done *changed)
{
  static const unsigned statuses[CO_CHANGE_RESULT_COUNT] = {
    [CO_CHANGE_RESULT_OK] = 200,      [CO_CHANGE_RESULT_CONFLICT] = 409,
    [CO_CHANGE_RESULT_INVALID] = 422, [CO_CHANGE_RESULT_UNAVAILABLE] = 503,
    [CO_CHANGE_RESULT_UNKNOWN] = 504, [CO_CHANGE_RESULT_PENDING] = 202
  };
  json_t *root = json_pack ("{s:s,s:I}", "result",
                            co_change_result_name (changed->result), "version",
                            (json_int_t)changed->version);

  if (changed->detail != NULL)
    json_object_set_new (root, "detail", json_string (changed->detail));
  sv_log (admin->options.log, CF_LOG_INFO, "change", "result",
          co_change_result_name (changed->result), "detail", changed->detail,
          NULL);
  answer_json (admin, changed->change_id, statuses[changed->result], root);
}

/* ---- status ---- */

static json_t *
optional (const char *text)
{
  return text ? json_string (text) : json_null ();
}

static json_t *
hosts_json (const struct co_status *status)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < status->host_count; i++)
    {
      const struct co_host_status *h = &status->hosts[i];

      json_array_append_new (
          list, json_pack ("{s:s,s:s,s:o,s:s,s:I,s:I,s:b,s:b,s:b,s:i}", "name",
                           h->name, "pool", h->pool, "target",
                           optional (h->target_pool), "state",
                           co_host_state_name (h->state), "generation",
                           (json_int_t)h->generation, "maintained",
                           (json_int_t)h->completed_order, "live", h->live,
                           "leaving", h->leaving, "ejected", h->ejected,
                           "running", (int)h->running));
    }
  return list;
}

static json_t *
teams_json (const struct co_status *status)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < status->team_count; i++)
    {
      const struct co_team_status *t = &status->teams[i];

      json_array_append_new (
          list,
          json_pack ("{s:s,s:I,s:I,s:i,s:i,s:i}", "name", t->name, "share",
                     (json_int_t)t->share, "limit", (json_int_t)t->limit,
                     "running", (int)t->running, "waiting", (int)t->waiting,
                     "held", (int)t->held_quota));
    }
  return list;
}

static json_t *
orders_json (const struct co_status *status)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < status->order_count; i++)
    {
      const struct co_maintenance_status *o = &status->orders[i];

      json_array_append_new (
          list,
          json_pack ("{s:I,s:s,s:s,s:s,s:i,s:i}", "order", (json_int_t)o->id,
                     "state", order_words[o->state], "scope",
                     scope_words[o->scope], "scope_name", o->scope_name,
                     "total", (int)o->total, "done", (int)o->done));
    }
  return list;
}

void
sv_admin_send_status (struct sv_admin *admin, uint64_t call,
                      const struct co_status *s)
{
  json_t *root = json_pack (
      "{s:s,s:s,s:I,s:I,s:I,s:i,s:i,s:b,s:b,s:o,s:o,s:o,s:o}", "name",
      admin->options.settings->name, "zone", admin->options.settings->zone,
      "log_version", (json_int_t)s->log_version, "fleet_version",
      (json_int_t)s->fleet_version, "view_version",
      (json_int_t)s->view_version, "members", (int)s->member_count, "departed",
      (int)s->departed_count, "standing", s->has_lease, "stopping",
      s->stopping, "fleet", optional (s->fleet_text), "hosts", hosts_json (s),
      "teams", teams_json (s), "orders", orders_json (s));

  answer_json (admin, call, 200, root);
}

/* ---- requests ---- */

/* Compare without telling by the time taken where the texts differ.  */
static bool
same_secret (const char *a, const char *b)
{
  size_t len = strlen (a);
  unsigned char difference = len != strlen (b);

  for (size_t i = 0; i < len && i < strlen (b); i++)
    difference |= (unsigned char)(a[i] ^ b[i]);
  return difference == 0;
}

static bool
is_authorized (struct sv_admin *admin, uint64_t id)
{
  static const char scheme[] = "Bearer ";
  TALLOC_CTX *scratch = talloc_new (NULL);
  char *value
      = ht_call_get_header (admin->server, id, scratch, "Authorization");
  bool good = value != NULL && strncmp (value, scheme, strlen (scheme)) == 0
              && same_secret (value + strlen (scheme), admin->options.token);

  talloc_free (scratch);
  return good;
}

static bool
take_request (void *context, const struct ht_call *call)
{
  struct sv_admin *admin = context;
  bool ready;
  char *text;

  if (strcmp (call->target, "/healthz") == 0)
    {
      ready = sv_core_loop_ready (admin->options.decider);
      answer_text (admin, call->id, ready ? 200 : 503, "text/plain",
                   ready ? "ready\n" : "not ready\n");
    }
  else if (strcmp (call->target, "/metrics") == 0)
    {
      text = admin->options.expose (admin->options.context, NULL);
      answer_text (admin, call->id, 200, "text/plain; version=0.0.4", text);
      talloc_free (text);
    }
  else if (!is_authorized (admin, call->id))
    answer_error (admin, call->id, 401, "unauthorized",
                  "the operators' token is missing or wrong");
  else if (strcmp (call->target, "/v1/status") == 0
           && strcmp (call->method, "GET") == 0)
    return sv_core_loop_request_status (admin->options.decider, call->id);
  else if (strcmp (call->target, "/v1/changes") == 0
           && strcmp (call->method, "POST") == 0)
    return take_change (admin, call);
  else
    answer_error (admin, call->id, 404, "invalid", "no such resource");
  return true;
}

static void
take_too_large (void *context, const struct ht_call *call)
{
  answer_error (context, call->id, 413, "invalid", "the body is too large");
}

static void
take_gone (void *context, uint64_t id)
{
  struct sv_admin *admin = context;

  /* A change goes on without its caller; the connection is let go.  */
  answer_error (admin, id, 499, "unknown", "the caller went away");
}

static const struct ht_server_handlers handlers = {
  .request = take_request,
  .too_large = take_too_large,
  .disconnected = take_gone,
};

struct sv_admin *
sv_admin_new (TALLOC_CTX *mem, const struct sv_admin_options *options,
              GError **error)
{
  struct sv_admin *admin = talloc_zero (mem, struct sv_admin);
  struct ht_server_options server = {
    .address = options->settings->admin,
    .threads = ADMIN_THREADS,
    .max_connections = MAX_CONNECTIONS,
    .max_body_bytes = MAX_BODY,
    .header_memory_bytes = HEADER_MEMORY,
    .handlers = &handlers,
    .context = admin,
    .server_out = &admin->server,
  };

  admin->options = *options;
  admin->server = ht_server_new (admin, &server, error);
  if (admin->server != NULL)
    return admin;
  talloc_free (admin);
  return NULL;
}
