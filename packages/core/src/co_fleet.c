#include "co_internal.h"

#include <string.h>

/* The state of the fleet: hosts, pools, teams, queues, API keys and
   maintenance orders, built from the entries of the change log.  Entries are
   applied in the order of their versions and each exactly once, so the state
   never returns to an earlier version.  */

/* Service time assumed for a pool that has answered nothing yet.  */
static const double initial_mean_service_time_us = 50 * CO_MILLISECOND;

enum
{
  INITIAL_TEAM_CAPACITY = 8 /* elements of the arrays indexed by team */
};

static void
free_live_host (gpointer data)
{
  struct co_live_host *live = data;

  g_free (live->name);
  g_free (live);
}

void
co_fleet_init (struct co_core *core)
{
  core->host_index = g_hash_table_new (g_str_hash, g_str_equal);
  core->pool_index = g_hash_table_new (g_str_hash, g_str_equal);
  core->team_index = g_hash_table_new (g_str_hash, g_str_equal);
  core->queue_index = g_hash_table_new (g_str_hash, g_str_equal);
  core->api_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->change_tokens
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->live_hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_live_host);
}

int
co_find_index (GHashTable *index, const char *name)
{
  gpointer value = name ? g_hash_table_lookup (index, name) : NULL;

  return GPOINTER_TO_INT (value) - 1;
}

static void
add_to_index (GHashTable *index, char *name, uint32_t position)
{
  g_hash_table_insert (index, name, GINT_TO_POINTER ((int)position + 1));
}

/* Grow the arrays of POOL that are indexed by team from OLD_SIZE elements to
   the current team capacity.  */
static void
grow_pool_team_arrays (struct co_core *core, struct co_pool *pool,
                       uint32_t old_size)
{
  uint32_t new_size = core->team_capacity;

  pool->backlogs
      = talloc_realloc (pool, pool->backlogs, struct co_backlog, new_size);
  pool->own_running
      = talloc_realloc (pool, pool->own_running, uint32_t, new_size);
  for (uint32_t i = old_size; i < new_size; i++)
    {
      g_queue_init (&pool->backlogs[i].urgent);
      g_queue_init (&pool->backlogs[i].archive);
      pool->own_running[i] = 0;
    }
  for (int peer_slot = 0; peer_slot < CO_PEER_SLOT_COUNT; peer_slot++)
    if (pool->peer_running[peer_slot] != NULL)
      {
        pool->peer_running[peer_slot] = talloc_realloc (
            pool, pool->peer_running[peer_slot], uint32_t, new_size);
        memset (pool->peer_running[peer_slot] + old_size, 0,
                (new_size - old_size) * sizeof (uint32_t));
      }
}

/* Add the pool that CONFIGURED describes, or update it.  */
static void
apply_pool (struct co_core *core, const struct cf_pool *configured)
{
  int i = co_find_index (core->pool_index, configured->name);
  struct co_pool *pool;

  if (i == CO_NO_INDEX)
    {
      pool = talloc_zero (core, struct co_pool);
      pool->name = talloc_strdup (pool, configured->name);
      for (int free_slots = 0; free_slots < CO_FREE_SLOT_LIST_COUNT;
           free_slots++)
        pool->hosts_by_free_slots[free_slots] = CO_NO_INDEX;
      pool->mean_service_time_us = initial_mean_service_time_us;
      grow_pool_team_arrays (core, pool, 0);
      core->pools = talloc_realloc (core, core->pools, struct co_pool *,
                                    core->pool_count + 1);
      core->pools[core->pool_count] = pool;
      add_to_index (core->pool_index, pool->name, core->pool_count++);
    }
  else
    pool = core->pools[i];
  pool->configured = true;
  pool->min_available = configured->min_available;
  pool->spare = configured->spare;
}

/* Add the team that CONFIGURED describes, or update it.  A new team has no
   units of quota until the ledger grants them.  */
static void
apply_team (struct co_core *core, const struct cf_team *configured)
{
  int i = co_find_index (core->team_index, configured->name);
  struct co_team *team;

  if (i == CO_NO_INDEX)
    {
      team = talloc_zero (core, struct co_team);
      team->name = talloc_strdup (team, configured->name);
      if (core->team_count == core->team_capacity)
        {
          uint32_t old_size = core->team_capacity;

          core->team_capacity
              = old_size ? old_size * 2 : INITIAL_TEAM_CAPACITY;
          core->teams = talloc_realloc (core, core->teams, struct co_team *,
                                        core->team_capacity);
          for (uint32_t p = 0; p < core->pool_count; p++)
            grow_pool_team_arrays (core, core->pools[p], old_size);
        }
      core->teams[core->team_count] = team;
      add_to_index (core->team_index, team->name, core->team_count++);
      team->quota = co_quota_find_or_add (core, "t", team->name, false);
    }
  else
    team = core->teams[i];
  team->configured = true;
  team->share = configured->share;
  team->limit = configured->limit;
  core->quotas[team->quota]->limit = configured->limit;
  core->quotas[team->quota]->owner
      = co_find_index (core->team_index, configured->name);
}

/* Add the queue that CONFIGURED describes, or update it.  */
static void
apply_queue (struct co_core *core, const struct cf_queue *configured)
{
  int i = co_find_index (core->queue_index, configured->name);
  struct co_queue *queue;

  if (i == CO_NO_INDEX)
    {
      queue = talloc_zero (core, struct co_queue);
      queue->name = talloc_strdup (queue, configured->name);
      core->queues = talloc_realloc (core, core->queues, struct co_queue *,
                                     core->queue_count + 1);
      core->queues[core->queue_count] = queue;
      add_to_index (core->queue_index, queue->name, core->queue_count++);
    }
  else
    queue = core->queues[i];
  queue->configured = true;
  queue->pool = co_find_index (core->pool_index, configured->pool);
  queue->open_team = co_find_index (core->team_index, configured->open_team);
  queue->priority = (uint32_t)configured->priority;
  queue->max_waiting = configured->max_waiting;
}

/* Set whether HOST is live and leaving, and its boot id, from the last list of
   live hosts.  Before the first list every host counts as live, because only
   the configuration is known.  */
static void
update_host_liveness (struct co_core *core, struct co_host *host)
{
  struct co_live_host *live
      = g_hash_table_lookup (core->live_hosts, host->name);

  host->live = live != NULL || !core->host_list_seen;
  host->leaving = live != NULL && live->leaving;
  if (live != NULL)
    host->boot_id = live->boot_id;
}

/* Add a host with the name and pool of CONFIGURED and return it.  */
static struct co_host *
add_host (struct co_core *core, const struct cf_host *configured)
{
  struct co_host *host = talloc_zero (core, struct co_host);
  int index = (int)core->host_count;

  host->name = talloc_strdup (host, configured->name);
  host->pool = co_find_index (core->pool_index, configured->pool);
  host->target_pool = CO_NO_INDEX;
  host->free_slot_list = CO_NO_INDEX;
  host->state = CO_HOST_ACTIVE;
  /* The array has a power of two as its size, which is doubled before the last
     element is used.  */
  if ((core->host_count & (core->host_count + 1)) == 0)
    core->hosts = talloc_realloc (core, core->hosts, struct co_host *,
                                  (core->host_count + 1) * 2);
  core->hosts[core->host_count] = host;
  add_to_index (core->host_index, host->name, core->host_count++);
  host->quota = co_quota_find_or_add (core, "h", host->name, true);
  core->quotas[host->quota]->owner = index;
  return host;
}

/* Add the host that CONFIGURED describes, or update it.  A known host stays in
   the pool that it is in.  */
static void
apply_host (struct co_core *core, const struct cf_host *configured)
{
  int i = co_find_index (core->host_index, configured->name);
  struct co_host *host
      = i == CO_NO_INDEX ? add_host (core, configured) : core->hosts[i];

  talloc_free (host->address);
  talloc_free (host->zone);
  talloc_free (host->rack);
  host->address = talloc_strdup (host, configured->address);
  host->zone = talloc_strdup (host, configured->zone);
  host->rack = talloc_strdup (host, configured->rack);
  host->configured = true;
  host->configured_pool = co_find_index (core->pool_index, configured->pool);
  core->quotas[host->quota]->limit = configured->slots;
  update_host_liveness (core, host);
}

/* Mark everything as not configured, before a new configuration is applied.
   What the new one doesn't contain keeps its index but gets the limit 0.  */
static void
mark_all_unconfigured (struct co_core *core)
{
  for (uint32_t i = 0; i < core->pool_count; i++)
    core->pools[i]->configured = false;
  for (uint32_t i = 0; i < core->queue_count; i++)
    core->queues[i]->configured = false;
  for (uint32_t i = 0; i < core->team_count; i++)
    {
      core->teams[i]->configured = false;
      core->quotas[core->teams[i]->quota]->limit = 0;
    }
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      core->hosts[i]->configured = false;
      core->quotas[core->hosts[i]->quota]->limit = 0;
    }
}

bool
co_fleet_apply_configuration (struct co_core *core,
                              const struct co_log_entry *entry)
{
  GError *error = NULL;
  struct cf_fleet *fleet
      = cf_fleet_parse (core, "fleet", entry->change.fleet_yaml, &error);

  if (fleet == NULL)
    {
      g_error_free (error);
      return false;
    }
  talloc_free (core->fleet);
  talloc_free (core->fleet_yaml);
  core->fleet = fleet;
  core->fleet_yaml = cf_fleet_to_yaml (core, fleet);
  core->fleet_version = entry->version;
  mark_all_unconfigured (core);
  for (uint32_t i = 0; i < fleet->pool_count; i++)
    apply_pool (core, &fleet->pools[i]);
  for (uint32_t i = 0; i < fleet->team_count; i++)
    apply_team (core, &fleet->teams[i]);
  for (uint32_t i = 0; i < fleet->queue_count; i++)
    apply_queue (core, &fleet->queues[i]);
  for (uint32_t i = 0; i < fleet->host_count; i++)
    apply_host (core, &fleet->hosts[i]);
  co_zone_update_hosts (core);
  for (uint32_t i = 0; i < core->host_count; i++)
    co_host_refresh (core, (int)i);
  for (uint32_t i = 0; i < core->pool_count; i++)
    core->pools[i]->needs_dispatch = true;
  /* Have the next tick update the ledger, which has to grant new quotas.  */
  core->next_periodic_at = core->now;
  return true;
}

/* Apply ENTRY, which changes the state of a host.  Return false, changing
   nothing, if its host or pool is not known.  */
static bool
apply_host_change (struct co_core *core, const struct co_log_entry *entry)
{
  const struct co_change *change = &entry->change;
  int index = co_find_index (core->host_index, change->host);
  int pool = co_find_index (core->pool_index, change->pool);
  struct co_host *host;

  if (index == CO_NO_INDEX || (change->pool != NULL && pool == CO_NO_INDEX))
    return false;
  host = core->hosts[index];
  co_host_remove_from_pool (core, index);
  if (change->host_state == CO_HOST_OUT)
    {
      host->drained_boot_id = host->boot_id;
      co_increment_counter (core, CO_COUNTER_DRAINS_DONE);
    }
  if (change->host_state == CO_HOST_ACTIVE && pool != CO_NO_INDEX)
    {
      host->pool = pool;
      co_increment_counter (core, CO_COUNTER_MOVES_DONE);
    }
  host->target_pool
      = change->host_state == CO_HOST_MOVING ? pool : CO_NO_INDEX;
  if (change->completed_order > host->completed_order)
    {
      host->completed_order = change->completed_order;
      co_increment_counter (core, CO_COUNTER_HOSTS_MAINTAINED);
    }
  host->cause = change->cause;
  host->state = change->host_state;
  host->generation++;
  host->changed_at_version = entry->version;
  co_host_refresh (core, index);
  core->pools[host->pool]->needs_dispatch = true;
  return true;
}

/* Apply CHANGE, which grants an API key to a team or revokes it.  Return false
   if the key to revoke is not known.  */
static bool
apply_key (struct co_core *core, const struct co_change *change)
{
  if (change->team == NULL)
    return g_hash_table_remove (core->api_keys, change->key_hash);
  g_hash_table_insert (core->api_keys, g_strdup (change->key_hash),
                       g_strdup (change->team));
  return true;
}

/* Bring the hosts up to date if ORDER, whose state the log entry VERSION has
   set, is an evacuation.  WAS_CANCELLED tells whether its former state was
   CO_ORDER_CANCELLED.  */
static void
update_evacuation (struct co_core *core,
                   const struct co_maintenance_order *order,
                   bool was_cancelled, uint64_t version)
{
  if (co_evacuation_zone (order->scope, order->scope_name) == NULL
      || was_cancelled == (order->state == CO_ORDER_CANCELLED))
    return;
  co_zone_update_hosts (core);
  co_zone_report (core, order, version);
}

/* Apply ENTRY, which adds a maintenance order or changes the state of one.
   Return false if the order to change is not known.  */
static bool
apply_order (struct co_core *core, const struct co_log_entry *entry)
{
  const struct co_change *change = &entry->change;
  struct co_maintenance_order *order;

  if (change->order_id == 0)
    {
      core->orders
          = talloc_realloc (core, core->orders, struct co_maintenance_order,
                            core->order_count + 1);
      order = &core->orders[core->order_count++];
      order->id = entry->version;
      order->state = change->order_state;
      order->completed_at_version = 0;
      order->scope = change->scope;
      order->scope_name = talloc_strdup (core, change->scope_name);
      update_evacuation (core, order, true, entry->version);
      return true;
    }
  for (uint32_t i = 0; i < core->order_count; i++)
    if (core->orders[i].id == change->order_id)
      {
        bool was_cancelled = core->orders[i].state == CO_ORDER_CANCELLED;

        core->orders[i].state = change->order_state;
        update_evacuation (core, &core->orders[i], was_cancelled,
                           entry->version);
        return true;
      }
  return false;
}

/* Return a deep copy of ENTRY, owned by MEM, made by encoding and decoding
   it.  */
static struct co_log_entry *
copy_entry (TALLOC_CTX *mem, const struct co_log_entry *entry)
{
  struct co_log_entry *copy = talloc_zero (mem, struct co_log_entry);
  struct co_log_entry original = *entry;

  ba_codec_deep_copy (copy, co_log_entry_serialize, &original, copy);
  return copy;
}

/* Store a copy of ENTRY in the log tail, in place of the oldest entry there,
   and remember its token.  */
static void
store_in_log_tail (struct co_core *core, const struct co_log_entry *entry)
{
  struct co_log_entry **tail_entry
      = &core->log_tail[entry->version % CO_LOG_TAIL_COUNT];
  guint64 *version = g_new (guint64, 1);

  if (*tail_entry != NULL)
    {
      g_hash_table_remove (core->change_tokens, (*tail_entry)->token);
      talloc_free (*tail_entry);
    }
  *tail_entry = copy_entry (core, entry);
  *version = entry->version;
  g_hash_table_insert (core->change_tokens, g_strdup (entry->token), version);
}

bool
co_fleet_apply_entry (struct co_core *core, const struct co_log_entry *entry)
{
  bool applied = false;

  if (entry->version != core->log_version + 1)
    return false;
  switch (entry->change.type)
    {
    case CO_CHANGE_FLEET:
      applied = co_fleet_apply_configuration (core, entry);
      break;
    case CO_CHANGE_HOST:
      applied = apply_host_change (core, entry);
      break;
    case CO_CHANGE_API_KEY:
      applied = apply_key (core, &entry->change);
      break;
    case CO_CHANGE_MAINTENANCE:
      applied = apply_order (core, entry);
      break;
    default:
      break;
    }
  if (!applied)
    co_increment_counter (core, CO_COUNTER_INVALID_ROWS);
  core->log_version = entry->version;
  store_in_log_tail (core, entry);
  co_increment_counter (core, CO_COUNTER_LOG_APPLIED);
  return true;
}

void
co_fleet_apply_rows (struct co_core *core, const struct co_row *rows,
                     uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      TALLOC_CTX *scratch = talloc_new (NULL);
      struct co_log_entry entry = { 0 };
      struct ba_codec io;

      ba_codec_init_reader (&io, scratch, rows[i].body);
      co_log_entry_serialize (&io, &entry);
      if (!ba_codec_is_complete (&io))
        co_increment_counter (core, CO_COUNTER_INVALID_ROWS);
      else
        co_fleet_apply_entry (core, &entry);
      talloc_free (scratch);
    }
  co_change_check_log (core);
}

void
co_fleet_apply_entries (struct co_core *core,
                        const struct co_log_entry *entries, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    co_fleet_apply_entry (core, &entries[i]);
  co_change_check_log (core);
}

void
co_fleet_send_entries (struct co_core *core, uint64_t recipient,
                       uint64_t after)
{
  struct co_msg *message;
  uint32_t count = 0;

  if (after >= core->log_version
      || core->log_version - after > CO_LOG_TAIL_COUNT)
    return;
  message = co_add_message (core, recipient, CO_MSG_LOG_ENTRIES);
  message->u.log_entries.items
      = talloc_zero_array (core->outbox->mem, struct co_log_entry,
                           (uint32_t)(core->log_version - after));
  for (uint64_t v = after + 1; v <= core->log_version; v++)
    {
      struct co_log_entry *copy = copy_entry (
          core->outbox->mem, core->log_tail[v % CO_LOG_TAIL_COUNT]);

      message->u.log_entries.items[count++] = *copy;
    }
  message->u.log_entries.count = count;
}

void
co_fleet_update_live_hosts (struct co_core *core,
                            const struct co_event_host_list *hosts)
{
  if (hosts->requested_at < core->host_list_requested_at)
    return; /* a list that was requested later has arrived already */
  core->host_list_seen = true;
  core->host_list_requested_at = hosts->requested_at;
  g_hash_table_remove_all (core->live_hosts);
  for (uint32_t i = 0; i < hosts->host_count; i++)
    {
      struct co_live_host *live = g_new (struct co_live_host, 1);

      *live = hosts->hosts[i];
      live->name = g_strdup (hosts->hosts[i].name);
      g_hash_table_replace (core->live_hosts, live->name, live);
    }
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      struct co_host *host = core->hosts[i];
      bool live = host->live;
      bool leaving = host->leaving;

      update_host_liveness (core, host);
      if (live != host->live || leaving != host->leaving)
        {
          co_host_refresh (core, (int)i);
          core->pools[host->pool]->needs_dispatch = true;
        }
    }
}

bool
co_host_list_is_recent (const struct co_core *core)
{
  return core->host_list_seen
         && core->now - core->host_list_requested_at
                <= core->options.lease_duration;
}

bool
co_host_is_available (const struct co_host *host)
{
  return co_host_is_in_service (host) && !host->zone_evacuated;
}

bool
co_host_is_in_service (const struct co_host *host)
{
  return host->configured && host->state == CO_HOST_ACTIVE && host->live
         && !host->leaving;
}
