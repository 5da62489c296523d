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
  struct co_order *orders;
  uint32_t order_count;
  struct token_state *tokens; /* of changes that may be repeated */
  uint32_t token_count;
};

/* ---- encoding ---- */

static void
host_state_code (struct ba_io *io, struct host_state *h)
{
  ba_io_name (io, &h->name);
  ba_io_name (io, &h->pool);
  ba_io_str (io, &h->target);
  ba_io_u32 (io, &h->state);
  ba_io_u64 (io, &h->generation);
  ba_io_u64 (io, &h->changed);
  ba_io_u64 (io, &h->maintained);
  ba_io_u64 (io, &h->cause);
  ba_io_u64 (io, &h->out_boot);
  if (h->state >= CO_HOST_STATES)
    io->failed = true;
}

static void
key_state_code (struct ba_io *io, struct key_state *k)
{
  ba_io_name (io, &k->hash);
  ba_io_name (io, &k->team);
}

static void
order_code (struct ba_io *io, struct co_order *o)
{
  ba_io_u64 (io, &o->order);
  ba_io_u32 (io, &o->state);
  ba_io_u32 (io, &o->scope);
  ba_io_name (io, &o->scope_name);
  if (o->state >= CO_ORDER_STATES || o->scope >= CO_SCOPES)
    io->failed = true;
}

static void
token_state_code (struct ba_io *io, struct token_state *t)
{
  ba_io_name (io, &t->token);
  ba_io_u64 (io, &t->version);
}

static void
snapshot_code (struct ba_io *io, struct snapshot *s)
{
  ba_io_u64 (io, &s->log_version);
  ba_io_u64 (io, &s->fleet_version);
  ba_io_str (io, &s->fleet);
  ba_io_array (io, s->hosts, s->host_count, CO_MAX_ENTRIES, host_state_code);
  ba_io_array (io, s->keys, s->key_count, CO_MAX_ENTRIES, key_state_code);
  ba_io_array (io, s->orders, s->order_count, CO_MAX_ENTRIES, order_code);
  ba_io_array (io, s->tokens, s->token_count, CO_MAX_ENTRIES,
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
      h->target
          = host->target == CO_NONE ? NULL : core->pools[host->target]->name;
      h->state = host->state;
      h->generation = host->generation;
      h->changed = host->changed;
      h->maintained = host->maintained;
      h->cause = host->cause;
      h->out_boot = host->out_boot;
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
                               g_hash_table_size (core->keys) + 1);
  g_hash_table_iter_init (&iter, core->keys);
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
  s->tokens = talloc_zero_array (mem, struct token_state, CO_LOG_TAIL);
  for (int i = 0; i < CO_LOG_TAIL; i++)
    if (core->tail[i] != NULL)
      {
        s->tokens[s->token_count].token = core->tail[i]->token;
        s->tokens[s->token_count++].version = core->tail[i]->version;
      }
}

static struct ba_bytes
encode (const struct co_core *core, TALLOC_CTX *mem)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct snapshot s = { 0 };
  struct ba_bytes bytes;
  struct ba_io io;

  s.log_version = core->log_version;
  s.fleet_version = core->fleet_version;
  s.fleet = core->fleet_text;
  s.orders = core->orders;
  s.order_count = core->order_count;
  take_hosts (core, &s, scratch);
  take_keys (core, &s, scratch);
  take_tokens (core, &s, scratch);
  ba_io_writer (&io);
  snapshot_code (&io, &s);
  bytes = ba_io_finish (&io, mem);
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

  if (index == CO_NONE || pool == CO_NONE)
    return; /* no longer configured */
  host = core->hosts[index];
  co_worker_remove_from_pool (core, index);
  host->pool = pool;
  host->target = co_find_index (core->pool_index, h->target);
  host->state = h->state;
  host->generation = h->generation;
  host->changed = h->changed;
  host->maintained = h->maintained;
  host->cause = h->cause;
  host->out_boot = h->out_boot;
  co_worker_refresh (core, index);
}

static void
apply_orders (struct co_core *core, const struct snapshot *s)
{
  core->orders = talloc_zero_array (core, struct co_order, s->order_count + 1);
  core->order_count = s->order_count;
  for (uint32_t i = 0; i < s->order_count; i++)
    {
      core->orders[i] = s->orders[i];
      core->orders[i].done_at = 0;
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
      g_hash_table_insert (core->tokens, g_strdup (s->tokens[i].token),
                           version);
    }
}

static bool
apply (struct co_core *core, const struct snapshot *s)
{
  struct co_entry fleet = { .version = s->fleet_version };

  if (s->fleet != NULL)
    {
      fleet.change.text = s->fleet;
      if (!co_fleet_apply_configuration (core, &fleet))
        return false;
    }
  for (uint32_t i = 0; i < s->host_count; i++)
    apply_host (core, &s->hosts[i]);
  for (uint32_t i = 0; i < s->key_count; i++)
    g_hash_table_insert (core->keys, g_strdup (s->keys[i].hash),
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
  struct ba_io io;

  ba_io_reader (&io, scratch, row->body);
  snapshot_code (&io, &s);
  core->snapshot_version = row->version;
  if (!ba_io_ended (&io) || s.log_version != row->version
      || (core->log_version == 0 && !apply (core, &s)))
    co_count (core, CO_COUNTER_BAD_ROWS); /* the log has everything */
  talloc_free (scratch);
}

/* ---- the row ---- */

void
co_snapshot_read (struct co_core *core)
{
  struct co_outcome *o;

  if (core->snapshot_reading)
    return;
  core->snapshot_reading = true;
  o = co_emit (core, CO_OUTCOME_READ);
  o->u.read.op = co_op_new (core, CO_OP_SNAPSHOT_READ, 0);
  o->u.read.partition = co_outbox_str (core, "snapshot");
  o->u.read.after = co_outbox_str (core, "");
}

void
co_snapshot_rows (struct co_core *core, const struct co_event_rows *rows)
{
  core->snapshot_reading = false;
  core->table_down = rows->result != CO_STORE_OK;
  if (rows->result != CO_STORE_OK)
    return;
  core->snapshot_loaded = true;
  if (rows->row_count > 0)
    take_row (core, &rows->rows[0]);
  co_poll_now (core);
}

void
co_snapshot_written (struct co_core *core, uint32_t result)
{
  core->snapshot_writing = false;
  core->snapshot_retry = core->now + retry_interval;
  if (result == CO_STORE_OK)
    core->snapshot_version = core->snapshot_proposed;
  else if (result != CO_STORE_UNREACHABLE)
    co_snapshot_read (core); /* to learn the version that is there */
}

/* As lead, write a snapshot when enough has changed.  */
void
co_snapshot_tick (struct co_core *core)
{
  struct co_outcome *o;

  if (!co_is_lead (core) || !co_table_fresh (core) || core->snapshot_writing
      || core->snapshot_reading || core->now < core->snapshot_retry
      || core->log_version
             < core->snapshot_version + core->options.snapshot_every)
    return;
  core->snapshot_writing = true;
  core->snapshot_proposed = core->log_version;
  o = co_emit (core, CO_OUTCOME_WRITE);
  o->u.write.op = co_op_new (core, CO_OP_SNAPSHOT_WRITE, 0);
  o->u.write.row.partition = co_outbox_str (core, "snapshot");
  o->u.write.row.sort = co_outbox_str (core, "current");
  o->u.write.row.version = core->log_version;
  o->u.write.row.body = encode (core, core->outbox->mem);
  o->u.write.expected = core->snapshot_version;
  o->u.write.guard_version = core->view.version;
  co_count (core, CO_COUNTER_SNAPSHOTS);
}
