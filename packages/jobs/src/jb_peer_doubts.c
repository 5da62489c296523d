#include "jb_peer_doubts.h"

#include "jb_backend.h"

#include <string.h>

/* Time between two searches for entries that are over.  */
#define EXPIRY_INTERVAL (1000 * JB_MS)

/* Bound on the age of a start in a message.  */
#define MAX_AGE_MS 3600000

struct jb_peer_doubts
{
  GHashTable *entries; /* a set of struct jb_peer_doubt, by pool and task */
  jb_time next_expiry;
};

static guint
hash_entry (gconstpointer key)
{
  const struct jb_peer_doubt *doubt = key;

  return g_str_hash (doubt->entry.task) ^ g_str_hash (doubt->pool);
}

static gboolean
entries_equal (gconstpointer a, gconstpointer b)
{
  const struct jb_peer_doubt *x = a;
  const struct jb_peer_doubt *y = b;

  return strcmp (x->entry.task, y->entry.task) == 0
         && strcmp (x->pool, y->pool) == 0;
}

static int
table_destroy (struct jb_peer_doubts *table)
{
  g_hash_table_destroy (table->entries);
  return 0;
}

struct jb_peer_doubts *
jb_peer_doubts_new (TALLOC_CTX *mem)
{
  struct jb_peer_doubts *table = talloc_zero (mem, struct jb_peer_doubts);

  table->entries = g_hash_table_new (hash_entry, entries_equal);
  talloc_set_destructor (table, table_destroy);
  return table;
}

uint32_t
jb_peer_doubts_count (const struct jb_peer_doubts *table)
{
  return g_hash_table_size (table->entries);
}

/* Return whether the entry OTHER of the same task replaces DOUBT.  */
static bool
is_newer (const struct jb_peer_doubt *other, const struct jb_peer_doubt *doubt)
{
  return other->generation > doubt->generation
         || (other->generation == doubt->generation
             && other->sent_at >= doubt->sent_at);
}

/* Add a copy of ADDED.  Return false if the table is full.  */
static bool
add_entry (struct jb_peer_doubts *table, const struct jb_peer_doubt *added)
{
  struct jb_peer_doubt *doubt = g_hash_table_lookup (table->entries, added);

  if (doubt != NULL && !is_newer (added, doubt))
    return true;
  if (doubt != NULL)
    {
      g_hash_table_remove (table->entries, doubt);
      talloc_free (doubt);
    }
  else if (g_hash_table_size (table->entries) >= JB_PEER_DOUBTS_MAX)
    return false;
  doubt = talloc_zero (table, struct jb_peer_doubt);
  *doubt = *added;
  doubt->pool = talloc_strdup (doubt, added->pool);
  doubt->entry.task = talloc_strdup (doubt, added->entry.task);
  doubt->entry.instance = talloc_strdup (doubt, added->entry.instance);
  g_hash_table_add (table->entries, doubt);
  return true;
}

uint32_t
jb_peer_doubts_add (struct jb_peer_doubts *table, jb_time now,
                    const struct jb_msg_doubts *message)
{
  uint32_t ignored = 0;

  for (uint32_t i = 0; i < message->count; i++)
    {
      const struct jb_msg_doubt *listed = &message->entries[i];
      struct jb_peer_doubt added
          = { .pool = message->pool,
              .entry = listed->entry,
              .generation = listed->generation,
              .sent_at = now - CLAMP (listed->age_ms, 0, MAX_AGE_MS) * JB_MS };

      if (!add_entry (table, &added))
        ignored++;
    }
  return ignored;
}

void
jb_peer_doubts_expire (struct jb_peer_doubts *table, jb_time now,
                       int64_t max_lease_ms)
{
  jb_time max_age
      = JB_MAX_COMMAND_DELAY + jb_backend_lease_time (max_lease_ms);
  GHashTableIter iter;
  gpointer key;

  if (now < table->next_expiry || g_hash_table_size (table->entries) == 0)
    return;
  table->next_expiry = now + EXPIRY_INTERVAL;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (now - ((struct jb_peer_doubt *)key)->sent_at > max_age)
      {
        g_hash_table_iter_remove (&iter);
        talloc_free (key);
      }
}

void
jb_peer_doubts_visit (
    const struct jb_peer_doubts *table, const char *pool, uint32_t generation,
    void (*visit) (void *data, const struct jb_peer_doubt *doubt), void *data)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct jb_peer_doubt *doubt = key;

      if (doubt->generation < generation && strcmp (doubt->pool, pool) == 0)
        visit (data, doubt);
    }
}
