/* The backend servers where something may run, kept in a row.  Nothing is
   started on one that is not in it, and one leaves it when all leases there
   have passed or its host was taken away.  So a successor looks at these, and
   needs no other, before it starts anything again; the platform's list may
   leave out some that run on.  */

#include "jb_pool_internal.h"

#define ROSTER_TABLE "roster"
#define ROSTER_KEY "backends"
#define STORE_TIMEOUT_MS 1500

enum
{
  MAX_BACKENDS = 100000,
  MAX_LABELS = 100
};

struct saved_backend
{
  char *instance;
  char *address;
  char *zone;
  uint32_t label_count;
  char **labels;
  struct jb_resources room;
  int64_t born_ms;
};

struct saved_roster
{
  uint32_t count;
  struct saved_backend *backends;
};

static void
saved_backend_code (struct ba_codec *io, struct saved_backend *backend)
{
  ba_codec_required_str (io, &backend->instance);
  ba_codec_required_str (io, &backend->address);
  ba_codec_required_str (io, &backend->zone);
  ba_codec_array (io, backend->labels, backend->label_count, MAX_LABELS,
                  ba_codec_required_str);
  jb_resources_serialize (io, &backend->room);
  ba_codec_i64 (io, &backend->born_ms);
}

static void
saved_roster_code (struct ba_codec *io, struct saved_roster *roster)
{
  ba_codec_array (io, roster->backends, roster->count, MAX_BACKENDS,
                  saved_backend_code);
}

void
jb_pool_read_roster (struct jb_pool *pool, jb_time now,
                     jb_reply_callback *done)
{
  struct jb_command order
      = { .kind = JB_COMMAND_READ,
          .timeout_ms = STORE_TIMEOUT_MS,
          .u.read = { ROSTER_TABLE, pool->partition, NULL } };

  jb_count_event (pool->options.driver, JB_COUNT_STORE_READS);
  jb_driver_submit (pool->options.driver, pool->duty, now, &order, done, pool);
}

static void
load_backend (struct jb_pool *pool, jb_time now,
              const struct saved_backend *saved)
{
  struct jb_backend_entry entry = { .instance = saved->instance,
                                    .address = saved->address,
                                    .zone = saved->zone,
                                    .labels = (const char **)saved->labels,
                                    .label_count = saved->label_count,
                                    .capacity = saved->room,
                                    .started_unix_ms = saved->born_ms };
  struct jb_backend *backend
      = g_hash_table_lookup (pool->backends, saved->instance);

  if (backend != NULL)
    {
      /* The platform's list was faster.  */
      backend->in_roster = true;
      return;
    }
  backend = jb_backend_new (pool, &entry);
  backend->idle_since = now;
  backend->listed = true;
  backend->listed_at = now;
  backend->in_roster = true;
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
      saved_roster_code (&io, &roster);
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

/* The instances that a transaction under way records.  */
struct recording
{
  struct jb_pool *pool;
  uint32_t count;
  char **instances;
};

static void
roster_written (void *data, jb_time now)
{
  struct recording *recording = data;
  struct jb_pool *pool = recording->pool;

  (void)now;
  pool->roster_write_in_flight = false;
  pool->schedule_due = true;
  for (uint32_t i = 0; i < recording->count; i++)
    {
      struct jb_backend *backend
          = g_hash_table_lookup (pool->backends, recording->instances[i]);

      if (backend != NULL && !backend->off_roster)
        backend->in_roster = true;
    }
  talloc_free (recording);
}

void
jb_pool_remove_from_roster (struct jb_pool *pool, struct jb_backend *backend)
{
  if (backend->off_roster)
    return;
  backend->off_roster = true;
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
  struct recording *recording;
  struct saved_roster roster = { 0 };
  GHashTableIter iter;
  gpointer value;

  if (!pool->roster_dirty || pool->roster_write_in_flight
      || pool->stage < JB_STAGE_SCANNING
      || jb_ownership_state (pool->duty) != JB_OWNERSHIP_HELD)
    return;
  pool->roster_dirty = false;
  pool->roster_write_in_flight = true;
  recording = talloc_zero (pool->duty, struct recording);
  recording->pool = pool;
  recording->instances = talloc_array (recording, char *, count + 1);
  roster.backends
      = talloc_zero_array (recording, struct saved_backend, count + 1);
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (backend->off_roster)
        continue;
      roster.backends[roster.count++]
          = (struct saved_backend){ .instance = backend->instance,
                                    .address = backend->address,
                                    .zone = backend->zone,
                                    .label_count = backend->label_count,
                                    .labels = backend->labels,
                                    .room = backend->capacity,
                                    .born_ms = backend->started_unix_ms };
      recording->instances[recording->count++]
          = talloc_strdup (recording, backend->instance);
    }
  row.value = ba_codec_encode (recording, saved_roster_code, &roster);
  jb_ownership_write (pool->duty, now, &row, 1, NULL, 0, roster_written,
                      recording);
}
