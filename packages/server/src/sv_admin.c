#include "sv_admin.h"

#include "ht_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SERVER_THREAD_COUNT = 1,
  MAX_CONNECTIONS = 64,
  MAX_BODY_BYTES = 16 * 1024 * 1024,
  HEADER_MEMORY_BYTES = 32 * 1024, /* for each connection */
  /* For all connections and bodies: two of the largest bodies, each with what
     is parsed of it, and the headers.  */
  MEMORY_BYTES = 68 * 1024 * 1024,
  HTTP_CLIENT_CLOSED_REQUEST = 499 /* no standard status; no client gets it */
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

/* Answer call ID with the JSON text of ROOT, which is released.  */
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
copy_text_member (TALLOC_CTX *mem, json_t *root, const char *name)
{
  return talloc_strdup (mem, json_string_value (json_object_get (root, name)));
}

static uint64_t
get_number_member (json_t *root, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (root, name));
}

/* Return the index of the string NAME of ROOT in WORDS, which ends with NULL,
   or -1 when the string is absent or not in WORDS.  */
static int
find_word_member (json_t *root, const char *name, const char *const *words)
{
  const char *word = json_string_value (json_object_get (root, name));

  for (int i = 0; word != NULL && words[i] != NULL; i++)
    if (strcmp (words[i], word) == 0)
      return i;
  return -1;
}

/* Names of enum values, indexed by the value.  Each list ends with NULL.  */
static const char *const change_type_names[]
    = { "fleet", "host", "key", "order", NULL };
static const char *const host_state_names[]
    = { "active", "draining", "out", "moving", NULL };
static const char *const order_state_names[]
    = { "running", "paused", "cancelled", NULL };
static const char *const scope_names[] = { "pool", "rack", "zone", NULL };

/* Fill CHANGE, which evacuates or restores a zone, from ROOT, like
   decode_change.  */
static const char *
decode_zone_change (TALLOC_CTX *mem, json_t *root, struct co_change *change)
{
  static const char *const zone_states[] = { "restored", "evacuated", NULL };
  const char *zone = json_string_value (json_object_get (root, "zone"));
  int state = find_word_member (root, "state", zone_states);

  if (zone == NULL)
    return "zone: expected a name";
  if (state < 0)
    return "state: expected evacuated or restored";
  co_change_init_evacuation (mem, change, zone, state == 1);
  return NULL;
}

/* Fill CHANGE, whose parts are owned by MEM, from ROOT.  Return NULL, or a
   message for the operator that says what is wrong with ROOT.  */
static const char *
decode_change (TALLOC_CTX *mem, json_t *root, struct co_change *change)
{
  int type = find_word_member (root, "type", change_type_names);
  const char *type_name = json_string_value (json_object_get (root, "type"));
  int word;

  if (g_strcmp0 (type_name, "zone") == 0)
    return decode_zone_change (mem, root, change);
  if (type < 0)
    return "type: expected fleet, host, key, order or zone";
  change->type = (uint32_t)type;
  change->expected_fleet_version = get_number_member (root, "base");
  change->fleet_yaml = copy_text_member (mem, root, "text");
  change->host = copy_text_member (mem, root, "host");
  change->pool = copy_text_member (mem, root, "pool");
  change->new_generation = get_number_member (root, "generation");
  change->key_hash = copy_text_member (mem, root, "key_hash");
  change->team = copy_text_member (mem, root, "team");
  change->order_id = get_number_member (root, "order");
  change->scope_name = copy_text_member (mem, root, "scope_name");
  switch (type)
    {
    case CO_CHANGE_FLEET:
      return change->fleet_yaml ? NULL : "text: expected the fleet as YAML";
    case CO_CHANGE_HOST:
      word = find_word_member (root, "state", host_state_names);
      change->host_state = word < 0 ? 0 : (uint32_t)word;
      /* Operators can't set a host to `out': the leader does so at the end of
         a drain, when all entry hosts have acknowledged it.  */
      if (word < 0 || word == CO_HOST_OUT)
        return "state: expected active, draining or moving";
      return change->host ? NULL : "host: expected a name";
    case CO_CHANGE_API_KEY:
      return change->key_hash ? NULL : "key_hash: expected a digest";
    default:
      word = find_word_member (root, "state", order_state_names);
      change->order_state = word < 0 ? 0 : (uint32_t)word;
      if (word < 0)
        return "state: expected running, paused or cancelled";
      word = find_word_member (root, "scope", scope_names);
      change->scope = word < 0 ? 0 : (uint32_t)word;
      if (change->order_id == 0 && (word < 0 || change->scope_name == NULL))
        return "scope: expected pool, rack or zone, with scope_name";
      if (change->scope_name == NULL)
        change->scope_name = talloc_strdup (mem, "");
      if (co_evacuation_zone (change->scope, change->scope_name) != NULL)
        return "scope_name: expected a name";
      return NULL;
    }
}

static bool
handle_change (struct sv_admin *admin, const struct ht_call *call)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);
  json_t *root = json_loadb (call->body, call->body_len, 0, NULL);
  const char *problem = "expected a JSON object";

  event->type = CO_EVENT_CHANGE;
  event->u.change.change_id = call->id;
  if (json_is_object (root))
    {
      event->u.change.token = copy_text_member (event, root, "token");
      problem = decode_change (event, root, &event->u.change.change);
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
  if (sv_core_loop_push (admin->options.core_loop, event))
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
string_or_null (const char *text)
{
  return text ? json_string (text) : json_null ();
}

static json_t *
encode_hosts (const struct co_status *status)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < status->host_count; i++)
    {
      const struct co_host_status *host = &status->hosts[i];

      json_array_append_new (
          list, json_pack ("{s:s,s:s,s:o,s:s,s:I,s:I,s:b,s:b,s:b,s:i}", "name",
                           host->name, "pool", host->pool, "target",
                           string_or_null (host->target_pool), "state",
                           co_host_state_name (host->state), "generation",
                           (json_int_t)host->generation, "maintained",
                           (json_int_t)host->completed_order, "live",
                           host->live, "leaving", host->leaving, "ejected",
                           host->ejected, "running", (int)host->running));
    }
  return list;
}

static json_t *
encode_zones (const struct co_status *status)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < status->zone_count; i++)
    {
      const struct co_zone_status *zone = &status->zones[i];

      json_array_append_new (
          list,
          json_pack ("{s:s,s:i,s:i,s:s}", "name", zone->name, "hosts",
                     (int)zone->host_count, "running", (int)zone->running,
                     "state", zone->evacuated ? "evacuated" : "in-use"));
    }
  return list;
}

static json_t *
encode_teams (const struct co_status *status)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < status->team_count; i++)
    {
      const struct co_team_status *team = &status->teams[i];

      json_array_append_new (
          list,
          json_pack ("{s:s,s:I,s:I,s:i,s:i,s:i}", "name", team->name, "share",
                     (json_int_t)team->share, "limit", (json_int_t)team->limit,
                     "running", (int)team->running, "waiting",
                     (int)team->waiting, "held", (int)team->held_quota));
    }
  return list;
}

static json_t *
encode_orders (const struct co_status *status)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < status->order_count; i++)
    {
      const struct co_maintenance_status *order = &status->orders[i];

      json_array_append_new (
          list, json_pack ("{s:I,s:s,s:s,s:s,s:i,s:i}", "order",
                           (json_int_t)order->id, "state",
                           order_state_names[order->state], "scope",
                           scope_names[order->scope], "scope_name",
                           order->scope_name, "total", (int)order->total,
                           "done", (int)order->done));
    }
  return list;
}

void
sv_admin_send_status (struct sv_admin *admin, uint64_t call,
                      const struct co_status *status)
{
  json_t *root = json_pack (
      "{s:s,s:s,s:I,s:I,s:I,s:i,s:i,s:b,s:b,s:o,s:o,s:o,s:o,s:o}", "name",
      admin->options.settings->name, "zone", admin->options.settings->zone,
      "log_version", (json_int_t)status->log_version, "fleet_version",
      (json_int_t)status->fleet_version, "view_version",
      (json_int_t)status->view_version, "members", (int)status->member_count,
      "departed", (int)status->departed_count, "standing", status->has_lease,
      "stopping", status->stopping, "fleet",
      string_or_null (status->fleet_yaml), "hosts", encode_hosts (status),
      "zones", encode_zones (status), "teams", encode_teams (status), "orders",
      encode_orders (status));

  answer_json (admin, call, 200, root);
}

/* ---- requests ---- */

/* Return whether A equals B.  The time that this takes doesn't depend on where
   they differ, so it doesn't help to guess a secret.  */
static bool
secrets_are_equal (const char *a, const char *b)
{
  size_t len = strlen (a);
  unsigned char difference = len != strlen (b);

  for (size_t i = 0; i < len && i < strlen (b); i++)
    difference |= (unsigned char)(a[i] ^ b[i]);
  return difference == 0;
}

/* Return whether call ID carries the operators' token.  */
static bool
is_authorized (struct sv_admin *admin, uint64_t id)
{
  static const char scheme[] = "Bearer ";
  TALLOC_CTX *scratch = talloc_new (NULL);
  char *value
      = ht_call_get_header (admin->server, id, scratch, "Authorization");
  bool authorized
      = value != NULL && strncmp (value, scheme, strlen (scheme)) == 0
        && secrets_are_equal (value + strlen (scheme), admin->options.token);

  talloc_free (scratch);
  return authorized;
}

static bool
handle_request (void *context, const struct ht_call *call)
{
  struct sv_admin *admin = context;
  bool ready;
  char *text;

  if (strcmp (call->target, "/healthz") == 0)
    {
      ready = sv_core_loop_is_ready (admin->options.core_loop);
      answer_text (admin, call->id, ready ? 200 : 503, "text/plain",
                   ready ? "ready\n" : "not ready\n");
    }
  else if (strcmp (call->target, "/metrics") == 0)
    {
      text = admin->options.format_metrics (admin->options.context, NULL);
      answer_text (admin, call->id, 200, "text/plain; version=0.0.4", text);
      talloc_free (text);
    }
  else if (!is_authorized (admin, call->id))
    answer_error (admin, call->id, 401, "unauthorized",
                  "the operators' token is missing or wrong");
  else if (strcmp (call->target, "/v1/status") == 0
           && strcmp (call->method, "GET") == 0)
    return sv_core_loop_request_status (admin->options.core_loop, call->id);
  else if (strcmp (call->target, "/v1/changes") == 0
           && strcmp (call->method, "POST") == 0)
    return handle_change (admin, call);
  else
    answer_error (admin, call->id, 404, "invalid", "no such resource");
  return true;
}

static void
handle_too_large (void *context, const struct ht_call *call)
{
  answer_error (context, call->id, 413, "invalid", "the body is too large");
}

static void
handle_disconnect (void *context, uint64_t id)
{
  struct sv_admin *admin = context;

  /* A submitted change is still carried out.  The answer can't be received,
     but only an answer makes the HTTP server release the connection.  */
  answer_error (admin, id, HTTP_CLIENT_CLOSED_REQUEST, "unknown",
                "the caller went away");
}

static const struct ht_server_handlers handlers = {
  .request = handle_request,
  .too_large = handle_too_large,
  .disconnected = handle_disconnect,
};

struct ht_server *
sv_admin_http_server (struct sv_admin *admin)
{
  return admin->server;
}

struct sv_admin *
sv_admin_new (TALLOC_CTX *mem, const struct sv_admin_options *options,
              GError **error)
{
  struct sv_admin *admin = talloc_zero (mem, struct sv_admin);
  struct ht_server_options server = {
    .address = options->settings->admin,
    .threads = SERVER_THREAD_COUNT,
    .max_connections = MAX_CONNECTIONS,
    .max_body_bytes = MAX_BODY_BYTES,
    .header_memory_bytes = HEADER_MEMORY_BYTES,
    .memory_bytes = MEMORY_BYTES,
    .drop_bodies = true,
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
