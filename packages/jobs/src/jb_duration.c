#include "jb_duration.h"

#include <glib.h>
#include <math.h>

/* Weight of a new sample once there are more samples than its inverse; before,
   all samples count alike.  */
#define SAMPLE_WEIGHT 0.125

/* Limits of the ratio of one sample, so that a run that hung or a task that
   had nothing to do does not determine the mean.  */
#define MIN_RATIO 0.02
#define MAX_RATIO 50.0

/* Relative mean deviation that is assumed without samples, the mean for errors
   that are spread evenly up to 0.9 being 0.45.  */
#define UNKNOWN_DEVIATION 0.5

/* Limits of the share of its elapsed time that a run that is overdue is
   expected to take in addition.  */
#define MIN_OVERDUE_SHARE 0.0625
#define MAX_OVERDUE_SHARE 0.5

struct entry
{
  char *queue;
  uint32_t step;
  uint32_t samples; /* counted up to the inverse of SAMPLE_WEIGHT */
  double mean;      /* of the ratio of actual to declared run time */
  double deviation; /* mean deviation from that mean */
  GList link;       /* in `used' */
};

struct jb_duration_table
{
  GHashTable *entries; /* struct entry, its own key */
  GQueue used;         /* all entries, the most recently used one first */
};

static guint
hash_entry (gconstpointer key)
{
  const struct entry *entry = key;

  return g_str_hash (entry->queue) * 31 + entry->step;
}

static gboolean
entries_are_equal (gconstpointer a, gconstpointer b)
{
  const struct entry *x = a;
  const struct entry *y = b;

  return x->step == y->step && g_str_equal (x->queue, y->queue);
}

static int
table_destroy (struct jb_duration_table *table)
{
  g_hash_table_destroy (table->entries);
  return 0;
}

struct jb_duration_table *
jb_duration_new (TALLOC_CTX *mem)
{
  struct jb_duration_table *table
      = talloc_zero (mem, struct jb_duration_table);

  table->entries = g_hash_table_new (hash_entry, entries_are_equal);
  g_queue_init (&table->used);
  talloc_set_destructor (table, table_destroy);
  return table;
}

/* Return the entry of STEP in QUEUE, marked as the most recently used one, or
   NULL.  */
static struct entry *
find_entry (struct jb_duration_table *table, const char *queue, uint32_t step)
{
  struct entry key = { .queue = (char *)queue, .step = step };
  struct entry *entry = g_hash_table_lookup (table->entries, &key);

  if (entry == NULL)
    return NULL;
  g_queue_unlink (&table->used, &entry->link);
  g_queue_push_head_link (&table->used, &entry->link);
  return entry;
}

static void
drop_least_recently_used (struct jb_duration_table *table)
{
  struct entry *entry = g_queue_peek_tail (&table->used);

  g_queue_unlink (&table->used, &entry->link);
  g_hash_table_remove (table->entries, entry);
  talloc_free (entry);
}

static struct entry *
add_entry (struct jb_duration_table *table, const char *queue, uint32_t step)
{
  struct entry *entry;

  if (g_hash_table_size (table->entries) >= JB_DURATION_MAX_ENTRIES)
    drop_least_recently_used (table);
  entry = talloc_zero (table, struct entry);
  entry->queue = talloc_strdup (entry, queue);
  entry->step = step;
  entry->link.data = entry;
  g_hash_table_add (table->entries, entry);
  g_queue_push_head_link (&table->used, &entry->link);
  return entry;
}

void
jb_duration_record (struct jb_duration_table *table, const char *queue,
                    uint32_t step, int64_t declared_ms, jb_time actual)
{
  struct entry *entry;
  double ratio;
  double weight;

  if (declared_ms <= 0 || actual < 0)
    return;
  entry = find_entry (table, queue, step);
  if (entry == NULL)
    entry = add_entry (table, queue, step);
  ratio = CLAMP ((double)actual / (double)(declared_ms * JB_MS), MIN_RATIO,
                 MAX_RATIO);
  if (entry->samples < (uint32_t)(1 / SAMPLE_WEIGHT))
    entry->samples++;
  weight = 1.0 / entry->samples;
  if (entry->samples == 1)
    {
      entry->mean = ratio;
      entry->deviation = UNKNOWN_DEVIATION * ratio;
      return;
    }
  entry->deviation += weight * (fabs (ratio - entry->mean) - entry->deviation);
  entry->mean += weight * (ratio - entry->mean);
}

struct jb_duration
jb_duration_expect (struct jb_duration_table *table, const char *queue,
                    uint32_t step, int64_t declared_ms)
{
  const struct entry *entry = find_entry (table, queue, step);
  double declared = (double)(MAX (declared_ms, 0) * JB_MS);

  if (entry == NULL)
    return (struct jb_duration){ (jb_time)declared,
                                 (jb_time)(UNKNOWN_DEVIATION * declared) };
  return (struct jb_duration){ (jb_time)(entry->mean * declared),
                               (jb_time)(entry->deviation * declared) };
}

jb_time
jb_duration_remaining (const struct jb_duration *expected, jb_time elapsed)
{
  double share = expected->mean > 0
                     ? (double)expected->deviation / (double)expected->mean / 2
                     : MAX_OVERDUE_SHARE;
  jb_time overdue
      = (jb_time)(CLAMP (share, MIN_OVERDUE_SHARE, MAX_OVERDUE_SHARE)
                  * (double)MAX (elapsed, 0));

  return MAX (expected->mean - elapsed, overdue);
}

uint32_t
jb_duration_count (const struct jb_duration_table *table)
{
  return g_hash_table_size (table->entries);
}
