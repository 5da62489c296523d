#include "jb_peer_doubts.h"

#include "jb_backend.h"

#include <string.h>

/* Time between two searches for entries that are over.  */
#define EXPIRY_INTERVAL (1000 * JB_MS)

/* Bound on the age of a start in a message.  */
#define MAX_AGE_MS 3600000

/* An entry of the same content is passed on again only if its time is this
   much later.  What several hosts pass on differs by the time that a message
   takes.  */
#define SAME_TIME_TOLERANCE (20 * JB_MS)

/* The entries of one pool.  */
struct pool_doubts
{
  char *name;
  GHashTable *entries; /* task name -> struct kept_doubt */
};

struct kept_doubt
{
  struct jb_peer_doubt doubt; /* the pool's name is that of `pool' */
  struct pool_doubts *pool;
  uint64_t serial;        /* of the last change */
  jb_time sent_at_change; /* `sent_at' as of the last change */
  GSequenceIter *position;
};

struct jb_peer_doubts
{
  GHashTable *pools;  /* name -> struct pool_doubts, those with entries */
  GSequence *changes; /* all entries, in the order of their last changes */
  uint64_t last_serial;
  jb_time next_expiry;
};

static int
pool_destroy (struct pool_doubts *pool)
{
  g_hash_table_destroy (pool->entries);
  return 0;
}

static int
table_destroy (struct jb_peer_doubts *table)
{
  g_hash_table_destroy (table->pools);
  g_sequence_free (table->changes);
  return 0;
}

struct jb_peer_doubts *
jb_peer_doubts_new (TALLOC_CTX *mem)
{
  struct jb_peer_doubts *table = talloc_zero (mem, struct jb_peer_doubts);

  table->pools = g_hash_table_new (g_str_hash, g_str_equal);
  table->changes = g_sequence_new (NULL);
  talloc_set_destructor (table, table_destroy);
  return table;
}

uint32_t
jb_peer_doubts_count (const struct jb_peer_doubts *table)
{
  return (uint32_t)g_sequence_get_length (table->changes);
}

static struct pool_doubts *
get_or_add_pool (struct jb_peer_doubts *table, const char *name)
{
  struct pool_doubts *pool = g_hash_table_lookup (table->pools, name);

  if (pool != NULL)
    return pool;
  pool = talloc_zero (table, struct pool_doubts);
  pool->name = talloc_strdup (pool, name);
  pool->entries = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (pool, pool_destroy);
  g_hash_table_insert (table->pools, pool->name, pool);
  return pool;
}

static void
remove_pool_if_empty (struct jb_peer_doubts *table, struct pool_doubts *pool)
{
  if (g_hash_table_size (pool->entries) > 0)
    return;
  g_hash_table_remove (table->pools, pool->name);
  talloc_free (pool);
}

static void
remove_entry (struct jb_peer_doubts *table, struct kept_doubt *kept)
{
  struct pool_doubts *pool = kept->pool;

  g_hash_table_remove (pool->entries, kept->doubt.entry.task);
  g_sequence_remove (kept->position);
  talloc_free (kept);
  remove_pool_if_empty (table, pool);
}

/* Return whether the entry OTHER of the same task replaces DOUBT.  */
static bool
is_newer (const struct jb_peer_doubt *other, const struct jb_peer_doubt *doubt)
{
  return other->generation > doubt->generation
         || (other->generation == doubt->generation
             && other->sent_at >= doubt->sent_at);
}

static bool
has_same_content (const struct jb_peer_doubt *a, const struct jb_peer_doubt *b)
{
  return a->generation == b->generation && a->entry.run == b->entry.run
         && a->entry.sent == b->entry.sent
         && strcmp (a->entry.instance, b->entry.instance) == 0;
}

static void
note_change (struct jb_peer_doubts *table, struct kept_doubt *kept)
{
  kept->serial = ++table->last_serial;
  kept->sent_at_change = kept->doubt.sent_at;
}

/* Replace the content of KEPT by that of ADDED, if that is newer.  */
static void
update_entry (struct jb_peer_doubts *table, struct kept_doubt *kept,
              const struct jb_peer_doubt *added)
{
  struct jb_peer_doubt *doubt = &kept->doubt;
  bool is_same = has_same_content (added, doubt);

  if (!is_newer (added, doubt))
    return;
  doubt->sent_at = added->sent_at;
  if (is_same && added->sent_at - kept->sent_at_change <= SAME_TIME_TOLERANCE)
    return;
  doubt->generation = added->generation;
  doubt->entry.run = added->entry.run;
  doubt->entry.sent = added->entry.sent;
  if (strcmp (doubt->entry.instance, added->entry.instance) != 0)
    {
      talloc_free (doubt->entry.instance);
      doubt->entry.instance = talloc_strdup (kept, added->entry.instance);
    }
  note_change (table, kept);
  g_sequence_move (kept->position, g_sequence_get_end_iter (table->changes));
}

/* Add a copy of ADDED, which is of POOL.  Return false if the table is
   full.  */
static bool
add_entry (struct jb_peer_doubts *table, struct pool_doubts *pool,
           const struct jb_peer_doubt *added)
{
  struct kept_doubt *kept
      = g_hash_table_lookup (pool->entries, added->entry.task);

  if (kept != NULL)
    {
      update_entry (table, kept, added);
      return true;
    }
  if (jb_peer_doubts_count (table) >= JB_PEER_DOUBTS_MAX)
    return false;
  kept = talloc_zero (table, struct kept_doubt);
  kept->pool = pool;
  kept->doubt = *added;
  kept->doubt.pool = pool->name;
  kept->doubt.entry.task = talloc_strdup (kept, added->entry.task);
  kept->doubt.entry.instance = talloc_strdup (kept, added->entry.instance);
  note_change (table, kept);
  kept->position = g_sequence_append (table->changes, kept);
  g_hash_table_insert (pool->entries, kept->doubt.entry.task, kept);
  return true;
}

uint32_t
jb_peer_doubts_add (struct jb_peer_doubts *table, jb_time now,
                    const struct jb_msg_doubts *message)
{
  struct pool_doubts *pool = get_or_add_pool (table, message->pool);
  uint32_t ignored = 0;

  for (uint32_t i = 0; i < message->count; i++)
    {
      const struct jb_msg_doubt *listed = &message->entries[i];
      struct jb_peer_doubt added
          = { .entry = listed->entry,
              .generation = listed->generation,
              .sent_at = now - CLAMP (listed->age_ms, 0, MAX_AGE_MS) * JB_MS };

      if (!add_entry (table, pool, &added))
        ignored++;
    }
  remove_pool_if_empty (table, pool);
  return ignored;
}

void
jb_peer_doubts_expire (struct jb_peer_doubts *table, jb_time now,
                       int64_t max_lease_ms)
{
  jb_time max_age
      = JB_MAX_COMMAND_DELAY + jb_backend_lease_time (max_lease_ms);
  GSequenceIter *iter = g_sequence_get_begin_iter (table->changes);

  if (now < table->next_expiry || g_sequence_iter_is_end (iter))
    return;
  table->next_expiry = now + EXPIRY_INTERVAL;
  while (!g_sequence_iter_is_end (iter))
    {
      struct kept_doubt *kept = g_sequence_get (iter);

      iter = g_sequence_iter_next (iter);
      if (now - kept->doubt.sent_at > max_age)
        remove_entry (table, kept);
    }
}

uint64_t
jb_peer_doubts_last_change (const struct jb_peer_doubts *table)
{
  return table->last_serial;
}

static int
compare_serials (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct kept_doubt *x = a;
  const struct kept_doubt *y = b;

  (void)data;
  return x->serial < y->serial ? -1 : x->serial > y->serial;
}

uint32_t
jb_peer_doubts_list_changes (const struct jb_peer_doubts *table,
                             uint64_t *after,
                             const struct jb_peer_doubt **doubts,
                             uint32_t limit)
{
  struct kept_doubt key = { .serial = *after };
  GSequenceIter *iter
      = g_sequence_search (table->changes, &key, compare_serials, NULL);
  uint32_t count = 0;

  while (count < limit && !g_sequence_iter_is_end (iter))
    {
      const struct kept_doubt *kept = g_sequence_get (iter);

      doubts[count++] = &kept->doubt;
      *after = kept->serial;
      iter = g_sequence_iter_next (iter);
    }
  return count;
}

void
jb_peer_doubts_visit (
    const struct jb_peer_doubts *table, const char *pool, uint32_t generation,
    void (*visit) (void *data, const struct jb_peer_doubt *doubt), void *data)
{
  const struct pool_doubts *doubts = g_hash_table_lookup (table->pools, pool);
  GHashTableIter iter;
  gpointer value;

  if (doubts == NULL)
    return;
  g_hash_table_iter_init (&iter, doubts->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct kept_doubt *kept = value;

      if (kept->doubt.generation < generation)
        visit (data, &kept->doubt);
    }
}
