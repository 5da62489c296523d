/* The roster: a stored row that lists the backend servers where tasks may run.
   Nothing is started on a backend server that is not in the roster.  A backend
   server enters it after its first answer to a probe, and leaves it when
   nothing can run there any more, since all leases there have expired or its
   host was removed.  So a new owner only
   needs to probe the backend servers in the roster before it starts any task
   again.  The platform's list is no substitute: it may lack backend servers
   that still run tasks.  */

#include "jb_pool_internal.h"

#define ROSTER_TABLE "roster"
#define ROSTER_KEY "backends"
#define STORE_READ_TIMEOUT_MS 1500

enum
{
  MAX_ROSTER_BACKENDS = 100000,
  MAX_LABELS_PER_BACKEND = 100
};

/* The stored form of a backend server, and of the roster.  */
struct saved_backend
{
  char *instance;
  char *address;
  char *zone;
  uint32_t label_count;
  char **labels;
  struct jb_resources capacity;
  int64_t started_unix_ms;
};

struct saved_roster
{
  uint32_t count;
  struct saved_backend *backends;
};

static void
serialize_saved_backend (struct ba_codec *io, struct saved_backend *backend)
{
  ba_codec_required_str (io, &backend->instance);
  ba_codec_required_str (io, &backend->address);
  ba_codec_required_str (io, &backend->zone);
  ba_codec_array (io, backend->labels, backend->label_count,
                  MAX_LABELS_PER_BACKEND, ba_codec_required_str);
  jb_resources_serialize (io, &backend->capacity);
  ba_codec_i64 (io, &backend->started_unix_ms);
}

static void
serialize_saved_roster (struct ba_codec *io, struct saved_roster *roster)
{
  ba_codec_array (io, roster->backends, roster->count, MAX_ROSTER_BACKENDS,
                  serialize_saved_backend);
}

void
jb_pool_read_roster (struct jb_pool *pool, jb_time now,
                     jb_reply_callback *callback)
{
  struct jb_command command
      = { .kind = JB_COMMAND_READ,
          .timeout_ms = STORE_READ_TIMEOUT_MS,
          .u.read = { ROSTER_TABLE, pool->partition, NULL } };

  jb_count_event (pool->options.driver, JB_COUNT_STORE_READS);
  jb_driver_submit (pool->options.driver, pool->ownership, now, &command,
                    callback, pool);
}

static void
load_backend (struct jb_pool *pool, jb_time now,
              const struct saved_backend *saved)
{
  struct jb_backend_entry entry
      = { .instance = saved->instance,
          .address = saved->address,
          .zone = saved->zone,
          .labels = (const char **)saved->labels,
          .label_count = saved->label_count,
          .capacity = saved->capacity,
          .started_unix_ms = saved->started_unix_ms };
  struct jb_backend *backend
      = g_hash_table_lookup (pool->backends, saved->instance);

  if (backend != NULL)
    {
      /* The platform's list, which contains it, arrived before the roster.  */
      backend->in_roster = true;
      backend->inherited = true;
      return;
    }
  backend = jb_backend_new (pool, &entry);
  backend->idle_since = now;
  backend->listed = true;
  backend->listed_at = now;
  backend->in_roster = true;
  backend->inherited = true;
  g_hash_table_insert (pool->backends, backend->instance, backend);
}

bool
jb_pool_load_roster (struct jb_pool *pool, jb_time now,
                     const struct jb_reply *reply)
{
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      struct saved_roster roster = { 0 };
      TALLOC_CTX *scratch = talloc_new (NULL);
      struct ba_codec io;

      ba_codec_init_reader (&io, scratch, reply->rows[i].value);
      serialize_saved_roster (&io, &roster);
      if (!ba_codec_is_complete (&io))
        {
          jb_log (pool->options.driver, JB_LEVEL_ERROR, "row-unreadable",
                  "table", ROSTER_TABLE, "pool", pool->options.name, NULL);
          talloc_free (scratch);
          return false;
        }
      for (uint32_t j = 0; j < roster.count; j++)
        load_backend (pool, now, &roster.backends[j]);
      talloc_free (scratch);
    }
  return true;
}

/* A write of the roster in flight, with the backend servers that it
   contains.  */
struct roster_write
{
  struct jb_pool *pool;
  uint32_t count;
  char **instances;
};

static void
handle_roster_written (void *data, jb_time now)
{
  struct roster_write *roster_write = data;
  struct jb_pool *pool = roster_write->pool;

  (void)now;
  pool->roster_write_in_flight = false;
  pool->schedule_due = true;
  for (uint32_t i = 0; i < roster_write->count; i++)
    {
      struct jb_backend *backend
          = g_hash_table_lookup (pool->backends, roster_write->instances[i]);

      if (backend != NULL && !backend->excluded_from_roster)
        backend->in_roster = true;
    }
  talloc_free (roster_write);
}

void
jb_pool_remove_from_roster (struct jb_pool *pool, struct jb_backend *backend)
{
  if (backend->excluded_from_roster)
    return;
  backend->excluded_from_roster = true;
  backend->in_roster = false;
  pool->roster_dirty = true;
}

void
jb_pool_write_roster (struct jb_pool *pool, jb_time now)
{
  guint count = g_hash_table_size (pool->backends);
  struct jb_row row = { .table = ROSTER_TABLE,
                        .partition = pool->partition,
                        .key = ROSTER_KEY };
  struct roster_write *roster_write;
  struct saved_roster roster = { 0 };
  GHashTableIter iter;
  gpointer value;

  if (!pool->roster_dirty || pool->roster_write_in_flight
      || pool->stage < JB_STAGE_SCANNING
      || jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return;
  pool->roster_dirty = false;
  pool->roster_write_in_flight = true;
  roster_write = talloc_zero (pool->ownership, struct roster_write);
  roster_write->pool = pool;
  roster_write->instances = talloc_array (roster_write, char *, count + 1);
  roster.backends
      = talloc_zero_array (roster_write, struct saved_backend, count + 1);
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (backend->excluded_from_roster
          || (!backend->in_roster && !backend->probed))
        continue;
      roster.backends[roster.count++]
          = (struct saved_backend){ .instance = backend->instance,
                                    .address = backend->address,
                                    .zone = backend->zone,
                                    .label_count = backend->label_count,
                                    .labels = backend->labels,
                                    .capacity = backend->capacity,
                                    .started_unix_ms
                                    = backend->started_unix_ms };
      roster_write->instances[roster_write->count++]
          = talloc_strdup (roster_write, backend->instance);
    }
  row.value = ba_codec_encode (roster_write, serialize_saved_roster, &roster);
  jb_ownership_write (pool->ownership, now, &row, 1, NULL, 0,
                      handle_roster_written, roster_write);
}
