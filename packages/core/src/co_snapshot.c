#include "co_internal.h"

#include <string.h>

/* Snapshots of the configuration.  A new member reads the snapshot and the few
   log entries after it instead of the whole log.

   The leader writes a snapshot when the log has grown by
   snapshot_interval_entries.  The version of the row is the log version of the
   snapshot, so it never decreases.  The write fails if the view has changed,
   so a former leader can't overwrite the row.  */

static const co_time write_retry_delay = CO_SECOND;

struct host_snapshot
{
  char *name;
  char *pool;
  char *target_pool; /* or NULL */
  uint32_t state;    /* enum co_host_state */
  uint64_t generation, changed_at_version, completed_order, cause,
      drained_boot_id;
};

struct api_key_snapshot
{
  char *hash;
  char *team;
};

struct change_token
{
  char *token;
  uint64_t version;
};

struct snapshot
{
  uint64_t log_version;
  uint64_t fleet_version;
  char *fleet_yaml; /* NULL: no fleet has been applied */
  struct host_snapshot *hosts;
  uint32_t host_count;
  struct api_key_snapshot *keys;
  uint32_t key_count;
  struct co_maintenance_order *orders;
  uint32_t order_count;
  struct change_token *tokens; /* of recent changes, to detect repeats */
  uint32_t token_count;
};

/* ---- encoding ---- */

static void
host_snapshot_serialize (struct ba_codec *io, struct host_snapshot *h)
{
  ba_codec_required_str (io, &h->name);
  ba_codec_required_str (io, &h->pool);
  ba_codec_str (io, &h->target_pool);
  ba_codec_u32 (io, &h->state);
  ba_codec_u64 (io, &h->generation);
  ba_codec_u64 (io, &h->changed_at_version);
  ba_codec_u64 (io, &h->completed_order);
  ba_codec_u64 (io, &h->cause);
  ba_codec_u64 (io, &h->drained_boot_id);
  if (h->state >= CO_HOST_STATE_COUNT)
    io->failed = true;
}

static void
api_key_snapshot_serialize (struct ba_codec *io, struct api_key_snapshot *k)
{
  ba_codec_required_str (io, &k->hash);
  ba_codec_required_str (io, &k->team);
}

static void
order_serialize (struct ba_codec *io, struct co_maintenance_order *order)
{
  ba_codec_u64 (io, &order->id);
  ba_codec_u32 (io, &order->state);
  ba_codec_u32 (io, &order->scope);
  ba_codec_required_str (io, &order->scope_name);
  if (order->state >= CO_ORDER_STATE_COUNT || order->scope >= CO_SCOPE_COUNT)
    io->failed = true;
}

static void
change_token_serialize (struct ba_codec *io, struct change_token *t)
{
  ba_codec_required_str (io, &t->token);
  ba_codec_u64 (io, &t->version);
}

static void
snapshot_serialize (struct ba_codec *io, struct snapshot *s)
{
  ba_codec_u64 (io, &s->log_version);
  ba_codec_u64 (io, &s->fleet_version);
  ba_codec_str (io, &s->fleet_yaml);
  ba_codec_array (io, s->hosts, s->host_count, CO_MAX_ARRAY_COUNT,
                  host_snapshot_serialize);
  ba_codec_array (io, s->keys, s->key_count, CO_MAX_ARRAY_COUNT,
                  api_key_snapshot_serialize);
  ba_codec_array (io, s->orders, s->order_count, CO_MAX_ARRAY_COUNT,
                  order_serialize);
  ba_codec_array (io, s->tokens, s->token_count, CO_MAX_ARRAY_COUNT,
                  change_token_serialize);
}

/* ---- making a snapshot ---- */

static void
collect_hosts (const struct co_core *core, struct snapshot *s, TALLOC_CTX *mem)
{
  s->hosts
      = talloc_zero_array (mem, struct host_snapshot, core->host_count + 1);
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];
      struct host_snapshot *h = &s->hosts[s->host_count++];

      h->name = host->name;
      h->pool = core->pools[host->pool]->name;
      h->target_pool = host->target_pool == CO_NO_INDEX
                           ? NULL
                           : core->pools[host->target_pool]->name;
      h->state = host->state;
      h->generation = host->generation;
      h->changed_at_version = host->changed_at_version;
      h->completed_order = host->completed_order;
      h->cause = host->cause;
      h->drained_boot_id = host->drained_boot_id;
    }
}

static int
compare_api_keys (const void *a, const void *b)
{
  return strcmp (((const struct api_key_snapshot *)a)->hash,
                 ((const struct api_key_snapshot *)b)->hash);
}

/* Collect the API keys.  They are sorted so that equal states give equal
   snapshots.  */
static void
collect_api_keys (const struct co_core *core, struct snapshot *s,
                  TALLOC_CTX *mem)
{
  GHashTableIter iter;
  gpointer hash;
  gpointer team;

  s->keys = talloc_zero_array (mem, struct api_key_snapshot,
                               g_hash_table_size (core->api_keys) + 1);
  g_hash_table_iter_init (&iter, core->api_keys);
  while (g_hash_table_iter_next (&iter, &hash, &team))
    {
      s->keys[s->key_count].hash = hash;
      s->keys[s->key_count++].team = team;
    }
  if (s->key_count > 1)
    qsort (s->keys, s->key_count, sizeof *s->keys, compare_api_keys);
}

static void
collect_change_tokens (const struct co_core *core, struct snapshot *s,
                       TALLOC_CTX *mem)
{
  s->tokens = talloc_zero_array (mem, struct change_token, CO_LOG_TAIL_COUNT);
  for (int i = 0; i < CO_LOG_TAIL_COUNT; i++)
    if (core->log_tail[i] != NULL)
      {
        s->tokens[s->token_count].token = core->log_tail[i]->token;
        s->tokens[s->token_count++].version = core->log_tail[i]->version;
      }
}

static struct ba_bytes
encode_snapshot (const struct co_core *core, TALLOC_CTX *mem)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct snapshot s = { 0 };
  struct ba_bytes bytes;
  struct ba_codec io;

  s.log_version = core->log_version;
  s.fleet_version = core->fleet_version;
  s.fleet_yaml = core->fleet_yaml;
  s.orders = core->orders;
  s.order_count = core->order_count;
  collect_hosts (core, &s, scratch);
  collect_api_keys (core, &s, scratch);
  collect_change_tokens (core, &s, scratch);
  ba_codec_init_writer (&io);
  snapshot_serialize (&io, &s);
  bytes = ba_codec_finish (&io, mem);
  talloc_free (scratch);
  return bytes;
}

/* ---- applying a snapshot ---- */

static void
apply_host_snapshot (struct co_core *core, const struct host_snapshot *h)
{
  int index = co_find_index (core->host_index, h->name);
  int pool = co_find_index (core->pool_index, h->pool);
  struct co_host *host;

  if (index == CO_NO_INDEX || pool == CO_NO_INDEX)
    return; /* the host or pool has been removed from the configuration */
  host = core->hosts[index];
  co_host_remove_from_pool (core, index);
  host->pool = pool;
  host->target_pool = co_find_index (core->pool_index, h->target_pool);
  host->state = h->state;
  host->generation = h->generation;
  host->changed_at_version = h->changed_at_version;
  host->completed_order = h->completed_order;
  host->cause = h->cause;
  host->drained_boot_id = h->drained_boot_id;
  co_host_refresh (core, index);
}

static void
apply_orders (struct co_core *core, const struct snapshot *s)
{
  core->orders = talloc_zero_array (core, struct co_maintenance_order,
                                    s->order_count + 1);
  core->order_count = s->order_count;
  for (uint32_t i = 0; i < s->order_count; i++)
    {
      core->orders[i] = s->orders[i];
      core->orders[i].completed_at_version = 0;
      core->orders[i].scope_name
          = talloc_strdup (core, s->orders[i].scope_name);
    }
}

static void
apply_change_tokens (struct co_core *core, const struct snapshot *s)
{
  for (uint32_t i = 0; i < s->token_count; i++)
    {
      guint64 *version = g_new (guint64, 1);

      *version = s->tokens[i].version;
      g_hash_table_insert (core->change_tokens, g_strdup (s->tokens[i].token),
                           version);
    }
}

/* Apply the state in S.  Return false, changing nothing, if its fleet can't be
   parsed.  */
static bool
apply_snapshot (struct co_core *core, const struct snapshot *s)
{
  struct co_log_entry entry = { .version = s->fleet_version };

  if (s->fleet_yaml != NULL)
    {
      entry.change.fleet_yaml = s->fleet_yaml;
      if (!co_fleet_apply_configuration (core, &entry))
        return false;
    }
  for (uint32_t i = 0; i < s->host_count; i++)
    apply_host_snapshot (core, &s->hosts[i]);
  for (uint32_t i = 0; i < s->key_count; i++)
    g_hash_table_insert (core->api_keys, g_strdup (s->keys[i].hash),
                         g_strdup (s->keys[i].team));
  apply_orders (core, s);
  apply_change_tokens (core, s);
  core->log_version = s->log_version;
  co_zone_update_hosts (core);
  for (uint32_t i = 0; i < core->order_count; i++)
    if (co_evacuation_zone (core->orders[i].scope, core->orders[i].scope_name)
            != NULL
        && core->orders[i].state != CO_ORDER_CANCELLED)
      co_zone_report (core, &core->orders[i], core->log_version);
  return true;
}

/* Apply the snapshot in ROW, unless part of the log has been applied
   already.  */
static void
load_snapshot_row (struct co_core *core, const struct co_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct snapshot s = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->body);
  snapshot_serialize (&io, &s);
  core->snapshot_version = row->version;
  if (!ba_codec_is_complete (&io) || s.log_version != row->version
      || (core->log_version == 0 && !apply_snapshot (core, &s)))
    /* The whole log is read instead.  */
    co_increment_counter (core, CO_COUNTER_INVALID_ROWS);
  talloc_free (scratch);
}

/* ---- reading and writing the row ---- */

void
co_snapshot_read (struct co_core *core)
{
  struct co_action *action;

  if (core->snapshot_read_pending)
    return;
  core->snapshot_read_pending = true;
  action = co_add_action (core, CO_ACTION_READ);
  action->u.read.op_id = co_store_op_new (core, CO_STORE_OP_SNAPSHOT_READ, 0);
  action->u.read.partition = co_outbox_strdup (core, "snapshot");
  action->u.read.after_sort_key = co_outbox_strdup (core, "");
}

void
co_snapshot_read_done (struct co_core *core,
                       const struct co_event_read_done *done)
{
  core->snapshot_read_pending = false;
  core->table_unreachable = done->result != CO_STORE_OK;
  if (done->result != CO_STORE_OK)
    return;
  core->snapshot_loaded = true;
  if (done->row_count > 0)
    load_snapshot_row (core, &done->rows[0]);
  co_schedule_poll (core);
}

void
co_snapshot_write_done (struct co_core *core, uint32_t result)
{
  core->snapshot_write_pending = false;
  core->snapshot_retry_at = core->now + write_retry_delay;
  if (result == CO_STORE_OK)
    core->snapshot_version = core->snapshot_proposed_version;
  else if (result != CO_STORE_UNREACHABLE)
    co_snapshot_read (core); /* to learn the stored version */
}

void
co_snapshot_tick (struct co_core *core)
{
  struct co_action *action;

  if (!co_is_leader (core) || !co_table_read_is_recent (core)
      || core->snapshot_write_pending || core->snapshot_read_pending
      || core->now < core->snapshot_retry_at
      || core->log_version < core->snapshot_version
                                 + core->options.snapshot_interval_entries)
    return;
  core->snapshot_write_pending = true;
  core->snapshot_proposed_version = core->log_version;
  action = co_add_action (core, CO_ACTION_WRITE);
  action->u.write.op_id
      = co_store_op_new (core, CO_STORE_OP_SNAPSHOT_WRITE, 0);
  action->u.write.row.partition = co_outbox_strdup (core, "snapshot");
  action->u.write.row.sort_key = co_outbox_strdup (core, "current");
  action->u.write.row.version = core->log_version;
  action->u.write.row.body = encode_snapshot (core, core->outbox->mem);
  action->u.write.expected_version = core->snapshot_version;
  action->u.write.required_view_version = core->view.version;
  co_increment_counter (core, CO_COUNTER_SNAPSHOTS);
}
