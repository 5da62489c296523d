/* Which queues belong to the pool, and since when, in rows beside those of the
   jobs.

   An operator may move a queue to another pool.  A submission that is repeated
   then reaches the new pool's owner, which doesn't know the job: the former
   pool does.  So an owner accepts a job of a queue that has belonged to its
   pool for less than the retention time of jobs only after the other pools
   have been asked for it.  The rows tell a new owner, which may not have seen
   the former configurations.

   A pool's owner that says that it doesn't know a job must not accept it
   later, from an entry host with an older configuration.  It says so only once
   it has stored that the queue doesn't belong to its pool any more, so no
   successor accepts the job without asking the others either.

   Owners of previous versions neither write nor read these rows, and a pool
   that no host has claimed before has none.  A pool without them has owned its
   queues from the start, except for those that this process has seen in
   another pool, or without one.  */

#include "jb_pool_internal.h"

#include "ba_hash.h"

#include <string.h>

/* Key of the first row; the others are this, a dot and the number of the row.
   Those of jobs are longer.  */
#define QUEUES_KEY "queues"

enum
{
  /* Of at most 18 bytes each.  */
  QUEUES_PER_ROW = 400,
  /* Queues beyond them count as new for the next owner.  */
  MAX_QUEUE_ROWS = JB_OWNERSHIP_MAX_WRITE_ROWS / 2
};

/* A queue of the pool.  */
struct pool_queue
{
  uint64_t name_hash;
  int64_t since_unix_ms; /* 0: from the start */
  bool listed;           /* in the catalog that is being applied */
};

struct saved_queues
{
  uint32_t count;
  struct pool_queue *queues;
};

static void
serialize_pool_queue (struct ba_codec *io, struct pool_queue *queue)
{
  ba_codec_u64 (io, &queue->name_hash);
  ba_codec_i64 (io, &queue->since_unix_ms);
}

static void
serialize_saved_queues (struct ba_codec *io, struct saved_queues *saved)
{
  ba_codec_array (io, saved->queues, saved->count, QUEUES_PER_ROW,
                  serialize_pool_queue);
}

static struct pool_queue *
add_queue (struct jb_pool *pool, uint64_t name_hash, int64_t since_unix_ms)
{
  struct pool_queue *queue = talloc_zero (pool, struct pool_queue);

  queue->name_hash = name_hash;
  queue->since_unix_ms = since_unix_ms;
  g_hash_table_insert (pool->queues, &queue->name_hash, queue);
  return queue;
}

bool
jb_pool_is_queues_key (const char *key)
{
  return g_str_has_prefix (key, QUEUES_KEY);
}

bool
jb_pool_load_queues (struct jb_pool *pool, const struct jb_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_queues saved = { 0 };
  struct ba_codec io;
  bool is_valid;

  ba_codec_init_reader (&io, scratch, row->value);
  serialize_saved_queues (&io, &saved);
  is_valid = ba_codec_is_complete (&io);
  for (uint32_t i = 0; is_valid && i < saved.count; i++)
    if (g_hash_table_lookup (pool->queues, &saved.queues[i].name_hash) == NULL)
      add_queue (pool, saved.queues[i].name_hash,
                 saved.queues[i].since_unix_ms);
  pool->queue_row_count++;
  talloc_free (scratch);
  return is_valid;
}

static void
handle_queues_stored (void *data, jb_time now)
{
  struct jb_pool *pool = data;

  (void)now;
  pool->queue_writes_in_flight--;
}

/* Write all queues, and remove the rows that are not needed any more.  */
static void
write_queues (struct jb_pool *pool, jb_time now)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_row set[MAX_QUEUE_ROWS];
  struct jb_row removed[MAX_QUEUE_ROWS];
  struct saved_queues saved
      = { .queues
          = talloc_array (scratch, struct pool_queue, QUEUES_PER_ROW) };
  uint32_t count = 0;
  uint32_t removed_count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->queues);
  do
    {
      saved.count = 0;
      while (saved.count < QUEUES_PER_ROW
             && g_hash_table_iter_next (&iter, NULL, &value))
        saved.queues[saved.count++] = *(const struct pool_queue *)value;
      set[count] = (struct jb_row){
        .table = JB_JOB_TABLE,
        .partition = pool->partition,
        .key = count == 0 ? QUEUES_KEY
                          : talloc_asprintf (scratch, QUEUES_KEY ".%u", count),
        .value = ba_codec_encode (scratch, serialize_saved_queues, &saved)
      };
      count++;
    }
  while (saved.count == QUEUES_PER_ROW && count < MAX_QUEUE_ROWS);
  for (uint32_t i = count; i < MIN (pool->queue_row_count, MAX_QUEUE_ROWS);
       i++)
    removed[removed_count++]
        = (struct jb_row){ .table = JB_JOB_TABLE,
                           .partition = pool->partition,
                           .key
                           = talloc_asprintf (scratch, QUEUES_KEY ".%u", i) };
  pool->queue_row_count = count;
  pool->queue_writes_in_flight++;
  jb_ownership_write (pool->ownership, now, set, count, removed, removed_count,
                      handle_queues_stored, pool);
  talloc_free (scratch);
}

/* Callback of g_hash_table_foreach_remove: free the queue VALUE if the catalog
   doesn't list it for the pool any more.  */
static gboolean
free_if_unlisted (gpointer key, gpointer value, gpointer data)
{
  struct pool_queue *queue = value;

  (void)key;
  (void)data;
  if (queue->listed)
    return FALSE;
  talloc_free (queue);
  return TRUE;
}

static bool
is_unmoved (const struct jb_pool *pool, const struct jb_queue *queue)
{
  uint64_t hash = jb_catalog_hash_assignment (queue);

  return pool->options.unmoved_queues != NULL
         && g_hash_table_contains (pool->options.unmoved_queues, &hash);
}

void
jb_pool_update_queues (struct jb_pool *pool, jb_time now)
{
  const struct jb_catalog *catalog = *pool->options.catalog;
  bool is_first = pool->queues_version == 0;
  bool has_rows = pool->queue_row_count > 0;
  bool changed = is_first && !has_rows;
  int64_t since_unix_ms = (now + pool->unix_origin) / JB_MS;
  GHashTableIter iter;
  gpointer value;

  if (pool->stage < JB_STAGE_SCANNING || catalog == NULL
      || catalog->version == pool->queues_version
      || jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return;
  pool->queues_version = catalog->version;
  g_hash_table_iter_init (&iter, pool->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct pool_queue *)value)->listed = false;
  for (uint32_t i = 0; i < catalog->queue_count; i++)
    {
      uint64_t name_hash = ba_hash_str (catalog->queues[i].name, 0);
      struct pool_queue *queue;

      if (strcmp (catalog->queues[i].pool, pool->options.name) != 0)
        continue;
      queue = g_hash_table_lookup (pool->queues, &name_hash);
      if (queue == NULL)
        {
          bool had_from_start = is_first && !has_rows
                                && is_unmoved (pool, &catalog->queues[i]);

          queue = add_queue (pool, name_hash,
                             had_from_start ? 0 : since_unix_ms);
          changed = true;
        }
      queue->listed = true;
    }
  if (g_hash_table_foreach_remove (pool->queues, free_if_unlisted, NULL) > 0)
    changed = true;
  if (changed)
    write_queues (pool, now);
}

bool
jb_pool_has_queue (const struct jb_pool *pool, const char *name)
{
  uint64_t name_hash = ba_hash_str (name, 0);

  return g_hash_table_lookup (pool->queues, &name_hash) != NULL;
}

bool
jb_pool_has_given_queue_up (const struct jb_pool *pool, const char *name)
{
  const struct jb_catalog *catalog = *pool->options.catalog;

  return !jb_pool_has_queue (pool, name) && pool->queue_writes_in_flight == 0
         && catalog != NULL && catalog->version == pool->queues_version
         && jb_catalog_find_queue (catalog, name) != NULL;
}

bool
jb_pool_is_queue_new (const struct jb_pool *pool, jb_time now,
                      const char *name)
{
  uint64_t name_hash = ba_hash_str (name, 0);
  const struct pool_queue *queue
      = g_hash_table_lookup (pool->queues, &name_hash);
  int64_t unix_ms = (now + pool->unix_origin) / JB_MS;

  return queue == NULL
         || (queue->since_unix_ms != 0
             && unix_ms - queue->since_unix_ms
                    < pool->options.bounds->job_retention_ms);
}
