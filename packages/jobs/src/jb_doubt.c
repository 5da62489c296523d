#include "jb_doubt.h"

#include "jb_backend.h"

#include <string.h>

void
jb_doubt_entry_serialize (struct ba_codec *io, struct jb_doubt_entry *entry)
{
  ba_codec_required_str (io, &entry->task);
  ba_codec_required_str (io, &entry->instance);
  ba_codec_u32 (io, &entry->run);
  ba_codec_u32 (io, &entry->sent);
}

void
jb_open_grants_serialize (struct ba_codec *io, struct jb_open_grants *grants)
{
  ba_codec_required_str (io, &grants->instance);
  ba_codec_u32 (io, &grants->grants);
  ba_codec_u32 (io, &grants->remaining_ms);
}

struct jb_doubt_table
{
  GHashTable *entries; /* task name -> struct jb_doubt */
};

static int
table_destroy (struct jb_doubt_table *table)
{
  g_hash_table_destroy (table->entries);
  return 0;
}

struct jb_doubt_table *
jb_doubt_table_new (TALLOC_CTX *mem)
{
  struct jb_doubt_table *table = talloc_zero (mem, struct jb_doubt_table);

  table->entries = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (table, table_destroy);
  return table;
}

uint32_t
jb_doubt_count (const struct jb_doubt_table *table)
{
  return g_hash_table_size (table->entries);
}

struct jb_doubt *
jb_doubt_find (const struct jb_doubt_table *table, const char *task)
{
  return g_hash_table_lookup (table->entries, task);
}

/* Stop counting the start with INDEX of those of DOUBT.  */
static void
drop_start (struct jb_doubt *doubt, uint32_t index)
{
  doubt->sent--;
  memmove (&doubt->sent_times[index], &doubt->sent_times[index + 1],
           (doubt->sent - index) * sizeof *doubt->sent_times);
  if (doubt->sent > 0)
    doubt->sent_at = doubt->sent_times[doubt->sent - 1];
}

struct jb_doubt *
jb_doubt_add (struct jb_doubt_table *table, const char *task, uint32_t run,
              const char *instance, jb_time sent_at)
{
  struct jb_doubt *doubt = jb_doubt_find (table, task);

  if (doubt == NULL)
    {
      doubt = talloc_zero (table, struct jb_doubt);
      doubt->task = talloc_strdup (doubt, task);
      g_hash_table_insert (table->entries, doubt->task, doubt);
    }
  if (g_strcmp0 (doubt->instance, instance) != 0)
    {
      talloc_free (doubt->instance);
      doubt->instance = talloc_strdup (doubt, instance);
    }
  if (doubt->run != run)
    {
      doubt->run_closed = false;
      doubt->run_failed = false;
      doubt->succeeded = false;
      doubt->is_ambiguous = false;
      doubt->first_sent_at = sent_at;
      doubt->in_flight_since = 0;
    }
  doubt->run = run;
  doubt->sent_at = MAX (doubt->sent_at, sent_at);
  if (doubt->sent == JB_MAX_STARTS_IN_DOUBT)
    drop_start (doubt, 0);
  doubt->sent_times[doubt->sent++] = doubt->sent_at;
  doubt->stored = false;
  doubt->shared = false;
  doubt->told = false;
  return doubt;
}

void
jb_doubt_send (struct jb_doubt *doubt, jb_time now)
{
  doubt->sent_at = MAX (doubt->sent_at, now);
  doubt->sent_times[doubt->sent - 1] = doubt->sent_at;
  doubt->is_queued = false;
  doubt->in_flight_since = doubt->sent_at;
}

struct jb_doubt_entry
jb_doubt_get_entry (TALLOC_CTX *mem, const struct jb_doubt *doubt)
{
  return (struct jb_doubt_entry){
    .task = talloc_strdup (mem, doubt->task),
    .instance = talloc_strdup (mem, doubt->instance),
    .run = doubt->run,
    .sent = doubt->sent + (doubt->succeeded || doubt->is_ambiguous)
  };
}

uint32_t
jb_doubt_sent_count (const struct jb_doubt *doubt)
{
  return doubt->sent - doubt->is_queued;
}

static struct jb_doubt *
find_start (const struct jb_doubt_table *table, const char *task, uint32_t run,
            const char *instance)
{
  struct jb_doubt *doubt = jb_doubt_find (table, task);

  return doubt != NULL && doubt->run == run
                 && strcmp (doubt->instance, instance) == 0
             ? doubt
             : NULL;
}

void
jb_doubt_remove (struct jb_doubt_table *table, struct jb_doubt *doubt)
{
  g_hash_table_remove (table->entries, doubt->task);
  talloc_free (doubt);
}

bool
jb_doubt_answer (struct jb_doubt_table *table, const char *task, uint32_t run,
                 const char *instance, jb_time sent_at, bool succeeded)
{
  struct jb_doubt *doubt = find_start (table, task, run, instance);
  uint32_t index = 0;

  if (doubt == NULL)
    return false;
  doubt->succeeded = doubt->succeeded || succeeded;
  while (index < doubt->sent && doubt->sent_times[index] != sent_at)
    index++;
  drop_start (doubt, index < doubt->sent ? index : 0);
  if (doubt->sent > 0)
    return false;
  jb_doubt_remove (table, doubt);
  return true;
}

void
jb_doubt_note_result (struct jb_doubt_table *table, const char *task,
                      uint32_t run, const char *instance, jb_time sent_at)
{
  struct jb_doubt *doubt = find_start (table, task, run, instance);

  if (doubt != NULL && doubt->in_flight_since <= sent_at)
    doubt->in_flight_since = 0;
}

void
jb_doubt_note_resent (struct jb_doubt_table *table, const char *task,
                      uint32_t run, const char *instance, jb_time sent_at,
                      jb_time now, bool succeeded)
{
  struct jb_doubt *doubt = find_start (table, task, run, instance);

  if (doubt == NULL)
    return;
  doubt->is_ambiguous = true;
  doubt->succeeded = doubt->succeeded || succeeded;
  /* They remain in ascending order.  */
  for (uint32_t i = 0; i < doubt->sent; i++)
    if (doubt->sent_times[i] >= sent_at)
      doubt->sent_times[i] = MAX (doubt->sent_times[i], now);
  doubt->sent_at = doubt->sent_times[doubt->sent - 1];
}

void
jb_doubt_cancel (struct jb_doubt_table *table, struct jb_doubt *doubt)
{
  doubt->is_queued = false;
  drop_start (doubt, doubt->sent - 1);
  if (doubt->sent == 0)
    jb_doubt_remove (table, doubt);
}

bool
jb_doubt_settle (struct jb_doubt_table *table, const char *task, uint32_t run,
                 const char *instance)
{
  struct jb_doubt *doubt = find_start (table, task, run, instance);

  /* Which of several starts was carried out isn't known.  */
  if (doubt == NULL || doubt->sent != 1 || doubt->is_queued
      || doubt->in_flight_since != 0 || doubt->succeeded
      || doubt->is_ambiguous)
    return false;
  jb_doubt_remove (table, doubt);
  return true;
}

void
jb_doubt_limit_age (struct jb_doubt *doubt, jb_time sent_at)
{
  for (uint32_t i = 0; i < doubt->sent; i++)
    doubt->sent_times[i] = MIN (doubt->sent_times[i], sent_at);
  doubt->sent_at = MIN (doubt->sent_at, sent_at);
  doubt->first_sent_at = MIN (doubt->first_sent_at, sent_at);
}

void
jb_doubt_expire_starts (struct jb_doubt *doubt, jb_time now)
{
  while (doubt->sent > 1 && now >= doubt->sent_times[0] + JB_MAX_COMMAND_DELAY)
    {
      drop_start (doubt, 0);
      doubt->is_ambiguous = true;
    }
}

jb_time
jb_doubt_until (const struct jb_doubt *doubt)
{
  return doubt->sent_at + JB_MAX_COMMAND_DELAY;
}

bool
jb_doubt_is_over (const struct jb_doubt *doubt, jb_time now, jb_time asked_at,
                  int64_t max_lease_ms, const struct jb_lease *lease)
{
  jb_time until = jb_doubt_until (doubt);
  jb_time end = until + jb_backend_lease_time (max_lease_ms);

  if (lease != NULL)
    end = jb_lease_end (lease, end);
  return now >= until && (asked_at >= until || now >= end);
}

void
jb_doubt_visit (struct jb_doubt_table *table,
                bool (*visit) (void *data, struct jb_doubt *doubt), void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (visit (data, value))
      {
        g_hash_table_iter_remove (&iter);
        talloc_free (value);
      }
}
