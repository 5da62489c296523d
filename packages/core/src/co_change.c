#include "co_internal.h"

#include <string.h>

/* Changes of the configuration.  A change is checked against the current
   state, written as the next entry of the change log, and reported as
   committed once a majority of the members has acknowledged it.

   The write succeeds only if no other change has been written with the same
   version, so each change has been checked against exactly the state that it
   changes.  */

/* Counted from the submission of a change.  A change whose write is not
   confirmed in time is reported as unavailable or unknown, and a change that
   is not acknowledged in time as pending.  */
static const co_time write_timeout = 5 * CO_SECOND;
static const co_time ack_timeout = 10 * CO_SECOND;
/* Before an unconfirmed write is tried again.  */
static const co_time write_retry_delay = 200 * CO_MILLISECOND;

enum
{
  KEY_HASH_DIGIT_COUNT = 64, /* of a SHA-256 digest in hex */
  MAX_TOKEN_BYTES = 200
};

/* ---- checks ---- */

/* Return the host called NAME in FLEET, or NULL.  Borrowed from FLEET.  */
static const struct cf_host *
find_configured_host (const struct cf_fleet *fleet, const char *name)
{
  for (uint32_t i = 0; i < fleet->host_count; i++)
    if (strcmp (fleet->hosts[i].name, name) == 0)
      return &fleet->hosts[i];
  return NULL;
}

/* Return why a host that is already configured can't have the pool that
   NEXT_FLEET gives it, or NULL.  The configuration sets the pool of a host
   only when it adds the host.  Later the host may be moved, so a configured
   pool that differs from the previous one is an error.  The text is owned by
   the outbox, as are those of the other checks.  */
static char *
check_pools_unchanged (struct co_core *core, const struct cf_fleet *next_fleet)
{
  GHashTable *configured_pools = g_hash_table_new (g_str_hash, g_str_equal);
  char *detail = NULL;

  for (uint32_t i = 0; core->fleet != NULL && i < core->fleet->host_count; i++)
    g_hash_table_insert (configured_pools, core->fleet->hosts[i].name,
                         core->fleet->hosts[i].pool);
  for (uint32_t i = 0; i < next_fleet->host_count && detail == NULL; i++)
    {
      const char *old
          = g_hash_table_lookup (configured_pools, next_fleet->hosts[i].name);

      if (old != NULL && strcmp (old, next_fleet->hosts[i].pool) != 0)
        detail = talloc_asprintf (
            core->outbox->mem,
            "host \"%s\" is configured in pool \"%s\": move it, don't apply "
            "pool \"%s\"",
            next_fleet->hosts[i].name, old, next_fleet->hosts[i].pool);
    }
  g_hash_table_destroy (configured_pools);
  return detail;
}

/* Return why NEXT_FLEET can't remove a pool, or NULL.  A pool can't be removed
   while a host in it remains configured.  */
static char *
check_pools_kept (struct co_core *core, const struct cf_fleet *next_fleet)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];
      const char *pool = core->pools[host->pool]->name;

      if (host->configured && cf_fleet_find_pool (next_fleet, pool) < 0
          && find_configured_host (next_fleet, host->name) != NULL)
        return talloc_asprintf (core->outbox->mem,
                                "pool \"%s\" is removed but host \"%s\" is in "
                                "it",
                                pool, host->name);
    }
  return NULL;
}

/* Check CHANGE, which applies a fleet.  Return an enum co_change_result, as
   all checks of changes do, and unless it is CO_CHANGE_RESULT_OK, set *DETAIL
   to the reason.  */
static uint32_t
check_fleet_change (struct co_core *core, const struct co_change *change,
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
  *detail = check_pools_unchanged (core, fleet);
  if (*detail == NULL)
    *detail = check_pools_kept (core, fleet);
  return *detail == NULL ? CO_CHANGE_RESULT_OK : CO_CHANGE_RESULT_INVALID;
}

/* Return why HOST can't change to the state and pool of CHANGE, or NULL.  */
static char *
check_transition (struct co_core *core, const struct co_host *host,
                  const struct co_change *change)
{
  int target = co_find_index (core->pool_index, change->pool);
  const char *current_state = co_host_state_name (host->state);
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
                          host->name, current_state,
                          core->pools[host->pool]->name,
                          co_host_state_name (change->host_state));
}

/* Check CHANGE, which changes the state of a host: the host's generation, the
   transition and the availability budget of its pool.  */
static uint32_t
check_host_change (struct co_core *core, const struct co_change *change,
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
      && !co_host_list_is_recent (core))
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
      if (core->pools[host->pool]->evacuated_hosts > 0)
        *detail = talloc_asprintf_append (
            *detail, "; %u not in use because their zone is evacuated",
            core->pools[host->pool]->evacuated_hosts);
      return CO_CHANGE_RESULT_INVALID;
    }
  return CO_CHANGE_RESULT_OK;
}

/* Return whether TEXT is a SHA-256 digest in lower-case hex.  */
static bool
is_key_hash (const char *text)
{
  return strlen (text) == KEY_HASH_DIGIT_COUNT
         && strspn (text, "0123456789abcdef") == KEY_HASH_DIGIT_COUNT;
}

/* Check CHANGE, which grants an API key to a team or revokes it.  */
static uint32_t
check_key_change (struct co_core *core, const struct co_change *change,
                  char **detail)
{
  const char *granted_team
      = g_hash_table_lookup (core->api_keys, change->key_hash);
  int team = co_find_index (core->team_index, change->team);

  if (!is_key_hash (change->key_hash))
    *detail = co_outbox_strdup (core, "the key's hash is not 64 hex digits");
  else if (change->team == NULL && granted_team == NULL)
    *detail = co_outbox_strdup (core, "no team has this key");
  else if (change->team != NULL
           && (team == CO_NO_INDEX || !core->teams[team]->configured))
    *detail
        = talloc_asprintf (core->outbox->mem, "no team \"%s\"", change->team);
  else if (change->team != NULL && granted_team != NULL)
    *detail = co_outbox_strdup (core, "the key is granted already");
  return *detail == NULL ? CO_CHANGE_RESULT_OK : CO_CHANGE_RESULT_INVALID;
}

/* Check CHANGE, which adds a maintenance order or changes the state of
   one.  */
static uint32_t
check_order_change (struct co_core *core, const struct co_change *change,
                    char **detail)
{
  struct co_maintenance_order new_order
      = { .scope = change->scope, .scope_name = change->scope_name };

  if (co_evacuation_zone (change->scope, change->scope_name) != NULL)
    return co_zone_check_change (core, change, detail);
  if (change->order_id != 0)
    {
      for (uint32_t i = 0; i < core->order_count; i++)
        if (core->orders[i].id == change->order_id)
          {
            const char *zone = co_evacuation_zone (core->orders[i].scope,
                                                   core->orders[i].scope_name);

            if (zone != NULL)
              {
                *detail = talloc_asprintf (
                    core->outbox->mem,
                    "order %" G_GUINT64_FORMAT " is the evacuation of zone "
                    "\"%s\": evacuate or restore the zone",
                    change->order_id, zone);
                return CO_CHANGE_RESULT_INVALID;
              }
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
    if (co_order_includes_host (core, &new_order, core->hosts[i]))
      return CO_CHANGE_RESULT_OK;
  *detail = talloc_asprintf (core->outbox->mem, "no host is in \"%s\"",
                             change->scope_name);
  return CO_CHANGE_RESULT_INVALID;
}

/* Check CHANGE against the current state of the fleet.  */
static uint32_t
check_change (struct co_core *core, const struct co_change *change,
              char **detail)
{
  if (core->fleet == NULL && change->type != CO_CHANGE_FLEET)
    {
      *detail = co_outbox_strdup (core, "no fleet has been applied");
      return CO_CHANGE_RESULT_INVALID;
    }
  switch (change->type)
    {
    case CO_CHANGE_FLEET:
      return check_fleet_change (core, change, detail);
    case CO_CHANGE_HOST:
      return check_host_change (core, change, detail);
    case CO_CHANGE_API_KEY:
      return check_key_change (core, change, detail);
    default:
      return check_order_change (core, change, detail);
    }
}

/* ---- progress ---- */

/* Report RESULT and DETAIL, which may be NULL, to the driver if it submitted
   PENDING, and free PENDING.  */
static void
finish_change (struct co_core *core, struct co_pending_change *pending,
               uint32_t result, const char *detail)
{
  struct co_action *action;

  if (pending->change_id != 0)
    {
      action = co_add_action (core, CO_ACTION_CHANGE_DONE);
      action->u.change_done.change_id = pending->change_id;
      action->u.change_done.result = result;
      action->u.change_done.version = pending->entry.version;
      action->u.change_done.detail = talloc_strdup (core->outbox->mem, detail);
    }
  g_queue_remove (&core->pending_changes, pending);
  talloc_free (pending);
}

/* Emit the write of PENDING's entry to the log.  */
static void
write_log_entry (struct co_core *core, struct co_pending_change *pending)
{
  struct co_action *action = co_add_action (core, CO_ACTION_WRITE);

  pending->state = CO_PENDING_WRITING;
  action->u.write.op_id = co_store_op_new (core, CO_STORE_OP_LOG_WRITE, 0);
  action->u.write.row.partition = co_outbox_strdup (core, "log");
  action->u.write.row.sort_key = talloc_asprintf (
      core->outbox->mem, "%016" G_GINT64_MODIFIER "x", pending->entry.version);
  action->u.write.row.version = pending->entry.version;
  /* Changes that the leader proposes are fenced: their write fails once the
     view has changed.  */
  action->u.write.required_view_version
      = pending->change_id == 0 ? core->view.version : 0;
  action->u.write.row.body = ba_codec_encode (
      core->outbox->mem, co_log_entry_serialize, &pending->entry);
}

/* Check and write PENDING, or report why not.  A change whose token is already
   in the log is not written again; only its acknowledgement is awaited.  */
static void
start_change (struct co_core *core, struct co_pending_change *pending)
{
  const guint64 *known_version
      = g_hash_table_lookup (core->change_tokens, pending->entry.token);
  char *detail = NULL;
  uint32_t result;

  if (known_version != NULL)
    {
      pending->entry.version = *known_version;
      pending->state = CO_PENDING_AWAITING_ACKS;
      return;
    }
  if (!co_table_read_is_recent (core))
    {
      if (core->now - pending->started_at > write_timeout
          || pending->change_id == 0)
        finish_change (
            core, pending, CO_CHANGE_RESULT_UNAVAILABLE,
            "the table service can't be reached; nothing was written");
      return;
    }
  co_zone_resolve_order (core, &pending->entry.change);
  result = check_change (core, &pending->entry.change, &detail);
  if (result != CO_CHANGE_RESULT_OK)
    {
      finish_change (core, pending, result, detail);
      return;
    }
  pending->entry.version = core->log_version + 1;
  write_log_entry (core, pending);
}

/* Return the oldest pending change in STATE, or NULL.  */
static struct co_pending_change *
find_in_state (struct co_core *core, uint32_t state)
{
  for (GList *link = core->pending_changes.head; link != NULL;
       link = link->next)
    if (((struct co_pending_change *)link->data)->state == state)
      return link->data;
  return NULL;
}

/* Start the next queued change, unless another one is being written.  */
static void
start_next_change (struct co_core *core)
{
  struct co_pending_change *pending;

  if (find_in_state (core, CO_PENDING_WRITING) != NULL
      || find_in_state (core, CO_PENDING_CHECKING_LOG) != NULL)
    return;
  pending = find_in_state (core, CO_PENDING_QUEUED);
  if (pending != NULL && core->now >= pending->retry_at)
    start_change (core, pending);
}

/* Queue a copy of CHANGE and return it.  CHANGE_ID is the driver's id of the
   change, or 0 for a change that this core proposes as the leader.  */
static struct co_pending_change *
add_pending_change (struct co_core *core, uint64_t change_id,
                    const char *token, const struct co_change *change)
{
  struct co_pending_change *pending
      = talloc_zero (core, struct co_pending_change);
  struct co_log_entry source = { .token = (char *)token, .change = *change };

  ba_codec_deep_copy (pending, co_log_entry_serialize, &source,
                      &pending->entry);
  pending->change_id = change_id;
  pending->started_at = core->now;
  g_queue_push_tail (&core->pending_changes, pending);
  return pending;
}

void
co_change_submit (struct co_core *core, const struct co_event_change *event)
{
  struct co_pending_change *pending = add_pending_change (
      core, event->change_id, event->token, &event->change);

  if (strlen (event->token) == 0 || strlen (event->token) > MAX_TOKEN_BYTES)
    finish_change (core, pending, CO_CHANGE_RESULT_INVALID,
                   "the change's token must have 1 to 200 characters");
  else
    start_next_change (core);
}

void
co_change_propose (struct co_core *core, const char *token,
                   const struct co_change *change)
{
  for (GList *link = core->pending_changes.head; link != NULL;
       link = link->next)
    if (strcmp (((struct co_pending_change *)link->data)->entry.token, token)
        == 0)
      return;
  add_pending_change (core, 0, token, change);
}

void
co_change_write_done (struct co_core *core, uint32_t result)
{
  struct co_pending_change *pending = find_in_state (core, CO_PENDING_WRITING);

  if (pending == NULL)
    return;
  switch (result)
    {
    case CO_STORE_OK:
      pending->state = CO_PENDING_AWAITING_ACKS;
      co_fleet_apply_entry (core, &pending->entry);
      core->next_heartbeat_at = core->now;
      /* The driver doesn't wait for the acknowledgement of a change that the
         leader proposed.  */
      if (pending->change_id == 0)
        finish_change (core, pending, CO_CHANGE_RESULT_OK, NULL);
      start_next_change (core);
      break;
    case CO_STORE_UNREACHABLE:
      if (!pending->write_uncertain)
        {
          pending->state = CO_PENDING_QUEUED;
          pending->retry_at = core->now + write_retry_delay;
          break;
        }
      /* fall through */
    default:
      pending->write_uncertain |= result == CO_STORE_UNKNOWN;
      pending->state = CO_PENDING_CHECKING_LOG;
      pending->retry_at = core->now + write_retry_delay;
      co_schedule_poll (core);
      break;
    }
}

void
co_change_check_log (struct co_core *core)
{
  struct co_pending_change *pending
      = find_in_state (core, CO_PENDING_CHECKING_LOG);

  if (pending == NULL)
    return;
  if (g_hash_table_contains (core->change_tokens, pending->entry.token))
    pending->state = CO_PENDING_AWAITING_ACKS;
  else if (core->log_version >= pending->entry.version)
    {
      /* Another change has this version, so the write can't succeed any more:
         check the change again and write it with the next version.  */
      pending->state = CO_PENDING_QUEUED;
      pending->write_uncertain = false;
    }
}

/* Finish PENDING if it is acknowledged or has timed out, or write it again if
   its last write may have been lost.  */
static void
advance_change (struct co_core *core, struct co_pending_change *pending)
{
  co_time elapsed = core->now - pending->started_at;
  char *detail = NULL;

  switch (pending->state)
    {
    case CO_PENDING_AWAITING_ACKS:
      if (co_majority_has_log_version (core, pending->entry.version))
        finish_change (core, pending, CO_CHANGE_RESULT_OK, NULL);
      else if (elapsed > ack_timeout)
        finish_change (
            core, pending, CO_CHANGE_RESULT_PENDING,
            "committed; not yet acknowledged by a majority of the entry "
            "hosts");
      break;
    case CO_PENDING_CHECKING_LOG:
      if (elapsed > write_timeout && pending->change_id != 0)
        finish_change (
            core, pending, CO_CHANGE_RESULT_UNKNOWN,
            "the table service did not confirm the write; repeat the "
            "command with the same token");
      else if (pending->change_id == 0 && !co_is_leader (core))
        finish_change (core, pending, CO_CHANGE_RESULT_UNKNOWN, NULL);
      else if (core->now >= pending->retry_at && co_table_read_is_recent (core)
               && check_change (core, &pending->entry.change, &detail)
                      == CO_CHANGE_RESULT_OK)
        /* The entry has the same version as before, so it can't be stored
           twice.  It is checked again because hosts may have failed since.  */
        write_log_entry (core, pending);
      break;
    case CO_PENDING_QUEUED:
      if (pending->change_id == 0 && !co_is_leader (core))
        finish_change (core, pending, CO_CHANGE_RESULT_UNAVAILABLE, NULL);
      break;
    default:
      break;
    }
}

void
co_change_tick (struct co_core *core)
{
  GList *next;

  for (GList *link = core->pending_changes.head; link != NULL; link = next)
    {
      next = link->next;
      advance_change (core, link->data);
    }
  start_next_change (core);
}
