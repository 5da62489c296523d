#include "co_internal.h"

#include <string.h>

/* Snapshots of the configuration, so that a fresh member reads a state and the
   few entries after it in place of the whole log.

   The lead writes one when the log has grown by enough entries.  The row's
   version is the log version that the snapshot stands for, so it never goes
   back; the write is fenced by the view.  */

static const co_time retry_interval = CO_SECOND;

struct host_state
{
  char *name;
  char *pool;
  char *target;
  uint32_t state;
  uint64_t generation, changed, maintained, cause, out_boot;
};

struct key_state
{
  char *hash;
  char *team;
};

struct token_state
{
  char *token;
  uint64_t version;
};

struct snapshot
{
  uint64_t log_version;
  uint64_t fleet_version;
  char *fleet;
  struct host_state *hosts;
  uint32_t host_count;
  struct key_state *keys;
  uint32_t key_count;
  struct co_maintenance_order *orders;
  uint32_t order_count;
  struct token_state *tokens; /* of changes that may be repeated */
  uint32_t token_count;
};

/* ---- encoding ---- */

static void
host_state_code (struct ba_codec *io, struct host_state *h)
{
  ba_codec_required_str (io, &h->name);
  ba_codec_required_str (io, &h->pool);
  ba_codec_str (io, &h->target);
  ba_codec_u32 (io, &h->state);
  ba_codec_u64 (io, &h->generation);
  ba_codec_u64 (io, &h->changed);
  ba_codec_u64 (io, &h->maintained);
  ba_codec_u64 (io, &h->cause);
  ba_codec_u64 (io, &h->out_boot);
  if (h->state >= CO_HOST_STATE_COUNT)
    io->failed = true;
}

static void
key_state_code (struct ba_codec *io, struct key_state *k)
{
  ba_codec_required_str (io, &k->hash);
  ba_codec_required_str (io, &k->team);
}

static void
order_code (struct ba_codec *io, struct co_maintenance_order *o)
{
  ba_codec_u64 (io, &o->id);
  ba_codec_u32 (io, &o->state);
  ba_codec_u32 (io, &o->scope);
  ba_codec_required_str (io, &o->scope_name);
  if (o->state >= CO_ORDER_STATE_COUNT || o->scope >= CO_SCOPE_COUNT)
    io->failed = true;
}

static void
token_state_code (struct ba_codec *io, struct token_state *t)
{
  ba_codec_required_str (io, &t->token);
  ba_codec_u64 (io, &t->version);
}

static void
snapshot_code (struct ba_codec *io, struct snapshot *s)
{
  ba_codec_u64 (io, &s->log_version);
  ba_codec_u64 (io, &s->fleet_version);
  ba_codec_str (io, &s->fleet);
  ba_codec_array (io, s->hosts, s->host_count, CO_MAX_ARRAY_COUNT,
                  host_state_code);
  ba_codec_array (io, s->keys, s->key_count, CO_MAX_ARRAY_COUNT,
                  key_state_code);
  ba_codec_array (io, s->orders, s->order_count, CO_MAX_ARRAY_COUNT,
                  order_code);
  ba_codec_array (io, s->tokens, s->token_count, CO_MAX_ARRAY_COUNT,
                  token_state_code);
}

/* ---- taking one ---- */

static void
take_hosts (const struct co_core *core, struct snapshot *s, TALLOC_CTX *mem)
{
  s->hosts = talloc_zero_array (mem, struct host_state, core->host_count + 1);
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];
      struct host_state *h = &s->hosts[s->host_count++];

      h->name = host->name;
      h->pool = core->pools[host->pool]->name;
      h->target = host->target_pool == CO_NO_INDEX
                      ? NULL
                      : core->pools[host->target_pool]->name;
      h->state = host->state;
      h->generation = host->generation;
      h->changed = host->changed_at_version;
      h->maintained = host->completed_order;
      h->cause = host->cause;
      h->out_boot = host->drained_boot_id;
    }
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (((const struct key_state *)a)->hash,
                 ((const struct key_state *)b)->hash);
}

/* The keys, sorted, so that equal states give equal snapshots.  */
static void
take_keys (const struct co_core *core, struct snapshot *s, TALLOC_CTX *mem)
{
  GHashTableIter iter;
  gpointer hash;
  gpointer team;

  s->keys = talloc_zero_array (mem, struct key_state,
                               g_hash_table_size (core->api_keys) + 1);
  g_hash_table_iter_init (&iter, core->api_keys);
  while (g_hash_table_iter_next (&iter, &hash, &team))
    {
      s->keys[s->key_count].hash = hash;
      s->keys[s->key_count++].team = team;
    }
  if (s->key_count > 1)
    qsort (s->keys, s->key_count, sizeof *s->keys, compare_keys);
}

static void
take_tokens (const struct co_core *core, struct snapshot *s, TALLOC_CTX *mem)
{
  s->tokens = talloc_zero_array (mem, struct token_state, CO_LOG_TAIL_COUNT);
  for (int i = 0; i < CO_LOG_TAIL_COUNT; i++)
    if (core->log_tail[i] != NULL)
      {
        s->tokens[s->token_count].token = core->log_tail[i]->token;
        s->tokens[s->token_count++].version = core->log_tail[i]->version;
      }
}

static struct ba_bytes
encode (const struct co_core *core, TALLOC_CTX *mem)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct snapshot s = { 0 };
  struct ba_bytes bytes;
  struct ba_codec io;

  s.log_version = core->log_version;
  s.fleet_version = core->fleet_version;
  s.fleet = core->fleet_text;
  s.orders = core->orders;
  s.order_count = core->order_count;
  take_hosts (core, &s, scratch);
  take_keys (core, &s, scratch);
  take_tokens (core, &s, scratch);
  ba_codec_init_writer (&io);
  snapshot_code (&io, &s);
  bytes = ba_codec_finish (&io, mem);
  talloc_free (scratch);
  return bytes;
}

/* ---- starting from one ---- */

static void
apply_host (struct co_core *core, const struct host_state *h)
{
  int index = co_find_index (core->host_index, h->name);
  int pool = co_find_index (core->pool_index, h->pool);
  struct co_host *host;

  if (index == CO_NO_INDEX || pool == CO_NO_INDEX)
    return; /* no longer configured */
  host = core->hosts[index];
  co_worker_remove_from_pool (core, index);
  host->pool = pool;
  host->target_pool = co_find_index (core->pool_index, h->target);
  host->state = h->state;
  host->generation = h->generation;
  host->changed_at_version = h->changed;
  host->completed_order = h->maintained;
  host->cause = h->cause;
  host->drained_boot_id = h->out_boot;
  co_worker_refresh (core, index);
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
apply_tokens (struct co_core *core, const struct snapshot *s)
{
  for (uint32_t i = 0; i < s->token_count; i++)
    {
      guint64 *version = g_new (guint64, 1);

      *version = s->tokens[i].version;
      g_hash_table_insert (core->change_tokens, g_strdup (s->tokens[i].token),
                           version);
    }
}

static bool
apply (struct co_core *core, const struct snapshot *s)
{
  struct co_log_entry fleet = { .version = s->fleet_version };

  if (s->fleet != NULL)
    {
      fleet.change.fleet_yaml = s->fleet;
      if (!co_fleet_apply_configuration (core, &fleet))
        return false;
    }
  for (uint32_t i = 0; i < s->host_count; i++)
    apply_host (core, &s->hosts[i]);
  for (uint32_t i = 0; i < s->key_count; i++)
    g_hash_table_insert (core->api_keys, g_strdup (s->keys[i].hash),
                         g_strdup (s->keys[i].team));
  apply_orders (core, s);
  apply_tokens (core, s);
  core->log_version = s->log_version;
  return true;
}

/* Take the snapshot in ROW, unless the log has been read already.  */
static void
take_row (struct co_core *core, const struct co_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct snapshot s = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->body);
  snapshot_code (&io, &s);
  core->snapshot_version = row->version;
  if (!ba_codec_is_complete (&io) || s.log_version != row->version
      || (core->log_version == 0 && !apply (core, &s)))
    co_increment_counter (
        core, CO_COUNTER_INVALID_ROWS); /* the log has everything */
  talloc_free (scratch);
}

/* ---- the row ---- */

void
co_snapshot_read (struct co_core *core)
{
  struct co_action *o;

  if (core->snapshot_read_pending)
    return;
  core->snapshot_read_pending = true;
  o = co_add_action (core, CO_ACTION_READ);
  o->u.read.op_id = co_store_op_new (core, CO_STORE_OP_SNAPSHOT_READ, 0);
  o->u.read.partition = co_outbox_strdup (core, "snapshot");
  o->u.read.after_sort_key = co_outbox_strdup (core, "");
}

void
co_snapshot_read_done (struct co_core *core,
                       const struct co_event_read_done *rows)
{
  core->snapshot_read_pending = false;
  core->table_unreachable = rows->result != CO_STORE_OK;
  if (rows->result != CO_STORE_OK)
    return;
  core->snapshot_loaded = true;
  if (rows->row_count > 0)
    take_row (core, &rows->rows[0]);
  co_schedule_poll (core);
}

void
co_snapshot_write_done (struct co_core *core, uint32_t result)
{
  core->snapshot_write_pending = false;
  core->snapshot_retry_at = core->now + retry_interval;
  if (result == CO_STORE_OK)
    core->snapshot_version = core->snapshot_proposed_version;
  else if (result != CO_STORE_UNREACHABLE)
    co_snapshot_read (core); /* to learn the version that is there */
}

/* As lead, write a snapshot when enough has changed.  */
void
co_snapshot_tick (struct co_core *core)
{
  struct co_action *o;

  if (!co_is_leader (core) || !co_table_read_is_recent (core)
      || core->snapshot_write_pending || core->snapshot_read_pending
      || core->now < core->snapshot_retry_at
      || core->log_version < core->snapshot_version
                                 + core->options.snapshot_interval_entries)
    return;
  core->snapshot_write_pending = true;
  core->snapshot_proposed_version = core->log_version;
  o = co_add_action (core, CO_ACTION_WRITE);
  o->u.write.op_id = co_store_op_new (core, CO_STORE_OP_SNAPSHOT_WRITE, 0);
  o->u.write.row.partition = co_outbox_strdup (core, "snapshot");
  o->u.write.row.sort_key = co_outbox_strdup (core, "current");
  o->u.write.row.version = core->log_version;
  o->u.write.row.body = encode (core, core->outbox->mem);
  o->u.write.expected_version = core->snapshot_version;
  o->u.write.required_view_version = core->view.version;
  co_increment_counter (core, CO_COUNTER_SNAPSHOTS);
}
