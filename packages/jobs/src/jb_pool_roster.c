/* The roster: stored rows that list the backend servers where tasks may run.
   A row is limited in size, so each holds some of them, and all are written in
   one transaction.
   Nothing is started on a backend server that is not in the roster.  A backend
   server enters it after its first answer to a probe, and leaves it when
   nothing can run there any more, since all leases there have expired or its
   host was removed.  So a new owner only
   needs to probe the backend servers in the roster before it starts any task
   again.  The platform's list is no substitute: it may lack backend servers
   that still run tasks.  */

#include "jb_pool_internal.h"

#define ROSTER_TABLE "roster"
/* Key of the first row; the others are this, a dot and the number of the
   row.  */
#define ROSTER_KEY "backends"
#define STORE_READ_TIMEOUT_MS 1500

enum
{
  MAX_ROSTER_BACKENDS = 100000,
  /* Small enough for the row with about 250 bytes for each.  */
  ROSTER_BACKENDS_PER_ROW = 200,
  /* A pool that needs more has too many backend servers for one owner.  */
  MAX_ROSTER_ROWS = JB_OWNERSHIP_MAX_WRITE_ROWS / 2
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
                  JB_MAX_LABELS_PER_BACKEND, ba_codec_required_str);
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
  backend->incarnation = pool->last_incarnation;
  backend->fence = jb_pool_last_fence (pool);
  backend->idle_since = now;
  backend->listed = true;
  backend->listed_at = now;
  backend->in_roster = true;
  backend->inherited = true;
  jb_pool_add_backend (pool, backend);
}

bool
jb_pool_load_roster (struct jb_pool *pool, jb_time now,
                     const struct jb_reply *reply)
{
  pool->roster_row_count = reply->row_count;
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
  uint64_t exclusions; /* that it takes into account */
};

/* Report the cordoned backend servers that the roster lacks now.  */
static void
report_evacuated_backends (struct jb_pool *pool, jb_time now,
                           uint64_t exclusions_before)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (now < backend->cordoned_until
          && backend->exclusion > exclusions_before
          && jb_pool_is_out_of_roster (pool, backend))
        pool->options.evacuated (pool->options.data, now, pool,
                                 backend->instance);
    }
}

static void
handle_roster_written (void *data, jb_time now)
{
  struct roster_write *roster_write = data;
  struct jb_pool *pool = roster_write->pool;
  uint64_t exclusions_before = pool->stored_exclusions;

  pool->roster_write_in_flight = false;
  pool->stored_exclusions = roster_write->exclusions;
  pool->schedule_due = true;
  for (uint32_t i = 0; i < roster_write->count; i++)
    {
      struct jb_backend *backend
          = g_hash_table_lookup (pool->backends, roster_write->instances[i]);

      if (backend != NULL && !backend->excluded_from_roster)
        backend->in_roster = true;
    }
  talloc_free (roster_write);
  if (pool->stored_exclusions > exclusions_before)
    report_evacuated_backends (pool, now, exclusions_before);
}

bool
jb_pool_is_out_of_roster (const struct jb_pool *pool,
                          const struct jb_backend *backend)
{
  return backend->excluded_from_roster
         && backend->exclusion <= pool->stored_exclusions;
}

void
jb_pool_return_to_roster (struct jb_pool *pool, struct jb_backend *backend)
{
  backend->excluded_from_roster = false;
  pool->roster_dirty = true;
}

void
jb_pool_remove_from_roster (struct jb_pool *pool, struct jb_backend *backend)
{
  if (backend->excluded_from_roster)
    return;
  backend->excluded_from_roster = true;
  backend->exclusion = ++pool->exclusions;
  backend->in_roster = false;
  pool->roster_dirty = true;
}

/* Return whether BACKEND belongs in the roster.  */
static bool
belongs_in_roster (const struct jb_backend *backend)
{
  return !backend->excluded_from_roster
         && (backend->in_roster || backend->probed);
}

static char *
roster_key (TALLOC_CTX *mem, uint32_t row)
{
  return row == 0 ? talloc_strdup (mem, ROSTER_KEY)
                  : talloc_asprintf (mem, ROSTER_KEY ".%u", row);
}

/* Write the COUNT BACKENDS as the roster, and delete the rows that the last
   roster had in addition.  The rows are encoded in memory of MEM.  */
static void
write_roster_rows (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                   struct saved_backend *backends, uint32_t count,
                   struct roster_write *roster_write)
{
  struct jb_row set[MAX_ROSTER_ROWS];
  struct jb_row removed[MAX_ROSTER_ROWS];
  uint32_t set_count = 0;
  uint32_t removed_count = 0;

  for (uint32_t first = 0; first == 0 || first < count;
       first += ROSTER_BACKENDS_PER_ROW)
    {
      struct saved_roster saved
          = { MIN (count - first, ROSTER_BACKENDS_PER_ROW), &backends[first] };

      set[set_count] = (struct jb_row){
        .table = ROSTER_TABLE,
        .partition = pool->partition,
        .key = roster_key (mem, set_count),
        .value = ba_codec_encode (mem, serialize_saved_roster, &saved)
      };
      set_count++;
    }
  for (uint32_t i = set_count; i < pool->roster_row_count; i++)
    removed[removed_count++] = (struct jb_row){ .table = ROSTER_TABLE,
                                                .partition = pool->partition,
                                                .key = roster_key (mem, i) };
  pool->roster_row_count = set_count;
  jb_ownership_write (pool->ownership, now, set, set_count, removed,
                      removed_count, handle_roster_written, roster_write);
}

void
jb_pool_write_roster (struct jb_pool *pool, jb_time now)
{
  guint limit = MIN (g_hash_table_size (pool->backends),
                     MAX_ROSTER_ROWS * ROSTER_BACKENDS_PER_ROW);
  struct roster_write *roster_write;
  struct saved_backend *backends;
  uint32_t count = 0;
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
  roster_write->exclusions = pool->exclusions;
  roster_write->instances = talloc_array (roster_write, char *, limit + 1);
  backends = talloc_zero_array (roster_write, struct saved_backend, limit + 1);
  /* Those that are in the roster already first: tasks may run there.  */
  for (int in_roster = 1; in_roster >= 0; in_roster--)
    {
      g_hash_table_iter_init (&iter, pool->backends);
      while (count < limit && g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct jb_backend *backend = value;

          if (!belongs_in_roster (backend)
              || backend->in_roster != (in_roster == 1))
            continue;
          backends[count++]
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
    }
  write_roster_rows (pool, roster_write, now, backends, count, roster_write);
}
