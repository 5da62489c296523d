#include "co_internal.h"

#include <string.h>

/* Changes of the configuration: checked against the present state, written
   as the next entry of the log, and reported once a majority of the members
   has acknowledged them.

   The write succeeds only if nobody else has taken the version, so a change
   is always checked against exactly the state that it changes.  */

static const co_time write_patience = 5 * CO_SECOND;
static const co_time ack_patience = 10 * CO_SECOND;
static const co_time check_retry = 200 * CO_MILLISECOND;

enum
{
  HASH_DIGITS = 64,
  MAX_TOKEN = 200
};

/* ---- checks ---- */

static const struct cf_host *
find_source (const struct cf_fleet *fleet, const char *name)
{
  for (uint32_t i = 0; i < fleet->host_count; i++)
    if (strcmp (fleet->hosts[i].name, name) == 0)
      return &fleet->hosts[i];
  return NULL;
}

/* Hosts that move have left the pool they were configured with, so the file
   can't say where a known host is now: a different pool is an error.  */
static char *
check_homes (struct co_core *core, const struct cf_fleet *next)
{
  GHashTable *homes = g_hash_table_new (g_str_hash, g_str_equal);
  char *problem = NULL;

  for (uint32_t i = 0; core->fleet != NULL && i < core->fleet->host_count; i++)
    g_hash_table_insert (homes, core->fleet->hosts[i].name,
                         core->fleet->hosts[i].pool);
  for (uint32_t i = 0; i < next->host_count && problem == NULL; i++)
    {
      const char *old = g_hash_table_lookup (homes, next->hosts[i].name);

      if (old != NULL && strcmp (old, next->hosts[i].pool) != 0)
        problem = talloc_asprintf (
            core->outbox->mem,
            "host \"%s\" is configured in pool \"%s\": move it, don't apply "
            "pool \"%s\"",
            next->hosts[i].name, old, next->hosts[i].pool);
    }
  g_hash_table_destroy (homes);
  return problem;
}

/* A pool that still has hosts can't go away.  */
static char *
check_pools_kept (struct co_core *core, const struct cf_fleet *next)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];
      const char *pool = core->pools[host->pool]->name;

      if (host->configured && cf_fleet_find_pool (next, pool) < 0
          && find_source (next, host->name) != NULL)
        return talloc_asprintf (core->outbox->mem,
                                "pool \"%s\" is removed but host \"%s\" is in "
                                "it",
                                pool, host->name);
    }
  return NULL;
}

static uint32_t
check_fleet (struct co_core *core, const struct co_change *change,
             char **detail)
{
  GError *error = NULL;
  struct cf_fleet *fleet;

  if (change->expected_fleet_version != 0
      && change->expected_fleet_version != core->fleet_version)
    {
      *detail = talloc_asprintf (
          core->outbox->mem,
          "made from version %" G_GUINT64_FORMAT
          " of the fleet, which is now at %" G_GUINT64_FORMAT,
          change->expected_fleet_version, core->fleet_version);
      return CO_CHANGE_RESULT_CONFLICT;
    }
  fleet = cf_fleet_parse (core->outbox->mem, "fleet", change->fleet_yaml,
                          &error);
  if (fleet == NULL)
    {
      *detail = co_outbox_strdup (core, error->message);
      g_error_free (error);
      return CO_CHANGE_RESULT_INVALID;
    }
  *detail = check_homes (core, fleet);
  if (*detail == NULL)
    *detail = check_pools_kept (core, fleet);
  return *detail == NULL ? CO_CHANGE_RESULT_OK : CO_CHANGE_RESULT_INVALID;
}

/* Return why HOST can't go to CHANGE's state, or NULL.  */
static char *
check_transition (struct co_core *core, const struct co_host *host,
                  const struct co_change *change)
{
  int target = co_find_index (core->pool_index, change->pool);
  const char *now = co_host_state_name (host->state);
  bool allowed = false;

  if (change->pool != NULL
      && (target == CO_NO_INDEX || !core->pools[target]->configured))
    return talloc_asprintf (core->outbox->mem, "no pool \"%s\"", change->pool);
  switch (change->host_state)
    {
    case CO_HOST_DRAINING:
      allowed = host->state == CO_HOST_ACTIVE;
      break;
    case CO_HOST_MOVING:
      allowed = host->state == CO_HOST_ACTIVE && target != CO_NO_INDEX
                && target != host->pool;
      break;
    case CO_HOST_OUT:
      allowed = host->state == CO_HOST_DRAINING;
      break;
    case CO_HOST_ACTIVE:
      allowed = host->state != CO_HOST_ACTIVE
                && (target == CO_NO_INDEX
                    || (host->state == CO_HOST_MOVING
                        && target == host->target_pool));
      break;
    default:
      break;
    }
  if (allowed)
    return NULL;
  return talloc_asprintf (core->outbox->mem,
                          "host \"%s\" is %s in pool \"%s\" and can't become "
                          "%s",
                          host->name, now, core->pools[host->pool]->name,
                          co_host_state_name (change->host_state));
}

static uint32_t
check_host (struct co_core *core, const struct co_change *change,
            char **detail)
{
  int index = co_find_index (core->host_index, change->host);
  const struct co_host *host;

  if (index == CO_NO_INDEX || !core->hosts[index]->configured)
    {
      *detail = talloc_asprintf (core->outbox->mem, "no host \"%s\"",
                                 change->host);
      return CO_CHANGE_RESULT_INVALID;
    }
  host = core->hosts[index];
  if (change->new_generation != 0
      && change->new_generation != host->generation + 1)
    {
      *detail = talloc_asprintf (core->outbox->mem,
                                 "host \"%s\" was changed by somebody else",
                                 host->name);
      return CO_CHANGE_RESULT_CONFLICT;
    }
  *detail = check_transition (core, host, change);
  if (*detail != NULL)
    return CO_CHANGE_RESULT_INVALID;
  if (change->host_state != CO_HOST_DRAINING
      && change->host_state != CO_HOST_MOVING)
    return CO_CHANGE_RESULT_OK;
  if (!(core->options.disabled & CO_DISABLE_BUDGETS)
      && !co_host_list_fresh (core))
    {
      *detail = co_outbox_strdup (core, "the list of live hosts is too old to "
                                        "check the availability budget");
      return CO_CHANGE_RESULT_UNAVAILABLE;
    }
  if (!co_budget_allows_removal (core, host))
    {
      *detail = talloc_asprintf (
          core->outbox->mem,
          "the availability budget of pool \"%s\" does not allow it: %u hosts "
          "in use, at least %d needed",
          core->pools[host->pool]->name,
          core->pools[host->pool]->available_hosts,
          (int)core->pools[host->pool]->min_available);
      return CO_CHANGE_RESULT_INVALID;
    }
  return CO_CHANGE_RESULT_OK;
}

static bool
is_hash (const char *text)
{
  return strlen (text) == HASH_DIGITS
         && strspn (text, "0123456789abcdef") == HASH_DIGITS;
}

static uint32_t
check_key (struct co_core *core, const struct co_change *change, char **detail)
{
  const char *holder = g_hash_table_lookup (core->api_keys, change->key_hash);
  int team = co_find_index (core->team_index, change->team);

  if (!is_hash (change->key_hash))
    *detail = co_outbox_strdup (core, "the key's hash is not 64 hex digits");
  else if (change->team == NULL && holder == NULL)
    *detail = co_outbox_strdup (core, "no team has this key");
  else if (change->team != NULL
           && (team == CO_NO_INDEX || !core->teams[team]->configured))
    *detail
        = talloc_asprintf (core->outbox->mem, "no team \"%s\"", change->team);
  else if (change->team != NULL && holder != NULL)
    *detail = co_outbox_strdup (core, "the key is granted already");
  return *detail == NULL ? CO_CHANGE_RESULT_OK : CO_CHANGE_RESULT_INVALID;
}

static uint32_t
check_order (struct co_core *core, const struct co_change *change,
             char **detail)
{
  struct co_maintenance_order wanted
      = { .scope = change->scope, .scope_name = change->scope_name };

  if (change->order_id != 0)
    {
      for (uint32_t i = 0; i < core->order_count; i++)
        if (core->orders[i].id == change->order_id)
          {
            if (core->orders[i].state != CO_ORDER_CANCELLED)
              return CO_CHANGE_RESULT_OK;
            *detail = co_outbox_strdup (core, "the order is cancelled");
            return CO_CHANGE_RESULT_INVALID;
          }
      *detail = talloc_asprintf (
          core->outbox->mem, "no order %" G_GUINT64_FORMAT, change->order_id);
      return CO_CHANGE_RESULT_INVALID;
    }
  for (uint32_t i = 0; i < core->host_count; i++)
    if (co_order_includes_host (core, &wanted, core->hosts[i]))
      return CO_CHANGE_RESULT_OK;
  *detail = talloc_asprintf (core->outbox->mem, "no host is in \"%s\"",
                             change->scope_name);
  return CO_CHANGE_RESULT_INVALID;
}

static uint32_t
check (struct co_core *core, const struct co_change *change, char **detail)
{
  if (core->fleet == NULL && change->type != CO_CHANGE_FLEET)
    {
      *detail = co_outbox_strdup (core, "no fleet has been applied");
      return CO_CHANGE_RESULT_INVALID;
    }
  switch (change->type)
    {
    case CO_CHANGE_FLEET:
      return check_fleet (core, change, detail);
    case CO_CHANGE_HOST:
      return check_host (core, change, detail);
    case CO_CHANGE_API_KEY:
      return check_key (core, change, detail);
    default:
      return check_order (core, change, detail);
    }
}

/* ---- progress ---- */

static void
finish (struct co_core *core, struct co_pending_change *pending,
        uint32_t result, const char *detail)
{
  struct co_action *o;

  if (pending->change_id != 0)
    {
      o = co_add_action (core, CO_ACTION_CHANGE_DONE);
      o->u.change_done.change_id = pending->change_id;
      o->u.change_done.result = result;
      o->u.change_done.version = pending->entry.version;
      o->u.change_done.detail = talloc_strdup (core->outbox->mem, detail);
    }
  g_queue_remove (&core->pending_changes, pending);
  talloc_free (pending);
}

static void
write_entry (struct co_core *core, struct co_pending_change *pending)
{
  struct co_action *o = co_add_action (core, CO_ACTION_WRITE);

  pending->state = CO_PENDING_WRITING;
  o->u.write.op_id = co_store_op_new (core, CO_STORE_OP_LOG_WRITE, 0);
  o->u.write.row.partition = co_outbox_strdup (core, "log");
  o->u.write.row.sort_key = talloc_asprintf (
      core->outbox->mem, "%016" G_GINT64_MODIFIER "x", pending->entry.version);
  o->u.write.row.version = pending->entry.version;
  /* A planner's change is fenced: it fails once the view has changed.  */
  o->u.write.required_view_version
      = pending->change_id == 0 ? core->view.version : 0;
  o->u.write.row.body = ba_codec_encode (
      core->outbox->mem, co_log_entry_serialize, &pending->entry);
}

/* Begin PENDING: a repeat of a known token is not written again.  */
static void
begin (struct co_core *core, struct co_pending_change *pending)
{
  const guint64 *known
      = g_hash_table_lookup (core->change_tokens, pending->entry.token);
  char *detail = NULL;
  uint32_t result;

  if (known != NULL)
    {
      pending->entry.version = *known;
      pending->state = CO_PENDING_AWAITING_ACKS;
      return;
    }
  if (!co_table_read_is_recent (core))
    {
      if (core->now - pending->started_at > write_patience
          || pending->change_id == 0)
        finish (core, pending, CO_CHANGE_RESULT_UNAVAILABLE,
                "the table service can't be reached; nothing was written");
      return;
    }
  result = check (core, &pending->entry.change, &detail);
  if (result != CO_CHANGE_RESULT_OK)
    {
      finish (core, pending, result, detail);
      return;
    }
  pending->entry.version = core->log_version + 1;
  write_entry (core, pending);
}

static struct co_pending_change *
find_state (struct co_core *core, uint32_t state)
{
  for (GList *l = core->pending_changes.head; l != NULL; l = l->next)
    if (((struct co_pending_change *)l->data)->state == state)
      return l->data;
  return NULL;
}

/* Begin the next queued change when none is being written.  */
static void
begin_next (struct co_core *core)
{
  struct co_pending_change *pending;

  if (find_state (core, CO_PENDING_WRITING) != NULL
      || find_state (core, CO_PENDING_CHECKING_LOG) != NULL)
    return;
  pending = find_state (core, CO_PENDING_QUEUED);
  if (pending != NULL && core->now >= pending->retry_at)
    begin (core, pending);
}

static struct co_pending_change *
add_pending (struct co_core *core, uint64_t op, const char *token,
             const struct co_change *change)
{
  struct co_pending_change *pending
      = talloc_zero (core, struct co_pending_change);
  struct co_log_entry source = { .token = (char *)token, .change = *change };

  ba_codec_deep_copy (pending, co_log_entry_serialize, &source,
                      &pending->entry);
  pending->change_id = op;
  pending->started_at = core->now;
  g_queue_push_tail (&core->pending_changes, pending);
  return pending;
}

void
co_change_submit (struct co_core *core, const struct co_event_change *event)
{
  struct co_pending_change *pending
      = add_pending (core, event->change_id, event->token, &event->change);

  if (strlen (event->token) == 0 || strlen (event->token) > MAX_TOKEN)
    finish (core, pending, CO_CHANGE_RESULT_INVALID,
            "the change's token must have 1 to 200 characters");
  else
    begin_next (core);
}

/* Make a change of this core's own, unless it is under way.  */
void
co_change_propose (struct co_core *core, const char *token,
                   const struct co_change *change)
{
  for (GList *l = core->pending_changes.head; l != NULL; l = l->next)
    if (strcmp (((struct co_pending_change *)l->data)->entry.token, token)
        == 0)
      return;
  add_pending (core, 0, token, change);
}

void
co_change_write_done (struct co_core *core, uint32_t result)
{
  struct co_pending_change *pending = find_state (core, CO_PENDING_WRITING);

  if (pending == NULL)
    return;
  switch (result)
    {
    case CO_STORE_OK:
      pending->state = CO_PENDING_AWAITING_ACKS;
      co_fleet_apply_entry (core, &pending->entry);
      core->next_heartbeat_at = core->now;
      /* Nobody waits to hear of a change of the planner's.  */
      if (pending->change_id == 0)
        finish (core, pending, CO_CHANGE_RESULT_OK, NULL);
      begin_next (core);
      break;
    case CO_STORE_UNREACHABLE:
      if (!pending->write_uncertain)
        {
          pending->state = CO_PENDING_QUEUED;
          pending->retry_at = core->now + check_retry;
          break;
        }
      /* fall through */
    default:
      pending->write_uncertain |= result == CO_STORE_UNKNOWN;
      pending->state = CO_PENDING_CHECKING_LOG;
      pending->retry_at = core->now + check_retry;
      co_schedule_poll (core);
      break;
    }
}

/* The log was read: see what became of a write whose reply was lost or that
   met a conflict.  */
void
co_change_check_log (struct co_core *core)
{
  struct co_pending_change *pending
      = find_state (core, CO_PENDING_CHECKING_LOG);

  if (pending == NULL)
    return;
  if (g_hash_table_contains (core->change_tokens, pending->entry.token))
    pending->state = CO_PENDING_AWAITING_ACKS;
  else if (core->log_version >= pending->entry.version)
    {
      /* Another change took the version: this one can't be written under it
         any more, so it is checked and tried anew.  */
      pending->state = CO_PENDING_QUEUED;
      pending->write_uncertain = false;
    }
}

static void
tick_pending (struct co_core *core, struct co_pending_change *pending)
{
  co_time age = core->now - pending->started_at;
  char *detail = NULL;

  switch (pending->state)
    {
    case CO_PENDING_AWAITING_ACKS:
      if (co_majority_has_log_version (core, pending->entry.version))
        finish (core, pending, CO_CHANGE_RESULT_OK, NULL);
      else if (age > ack_patience)
        finish (core, pending, CO_CHANGE_RESULT_PENDING,
                "committed; not yet acknowledged by a majority of the entry "
                "hosts");
      break;
    case CO_PENDING_CHECKING_LOG:
      if (age > write_patience && pending->change_id != 0)
        finish (core, pending, CO_CHANGE_RESULT_UNKNOWN,
                "the table service did not confirm the write; repeat the "
                "command with the same token");
      else if (pending->change_id == 0 && !co_is_leader (core))
        finish (core, pending, CO_CHANGE_RESULT_UNKNOWN, NULL);
      else if (core->now >= pending->retry_at && co_table_read_is_recent (core)
               && check (core, &pending->entry.change, &detail)
                      == CO_CHANGE_RESULT_OK)
        /* The same entry at the same version: it can't be stored twice.  It
           is checked again because hosts may have failed meanwhile.  */
        write_entry (core, pending);
      break;
    case CO_PENDING_QUEUED:
      if (pending->change_id == 0 && !co_is_leader (core))
        finish (core, pending, CO_CHANGE_RESULT_UNAVAILABLE, NULL);
      break;
    default:
      break;
    }
}

void
co_change_tick (struct co_core *core)
{
  GList *next;

  for (GList *l = core->pending_changes.head; l != NULL; l = next)
    {
      next = l->next;
      tick_pending (core, l->data);
    }
  begin_next (core);
}
