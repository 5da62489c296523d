#include "jb_progress.h"

#include "ba_hash.h"

#include <inttypes.h>
#include <stdio.h>

#define KEY_SUFFIX_ONLY ".p"
#define KEY_SUFFIX_SEGMENT KEY_SUFFIX_ONLY "."

enum
{
  DEFAULT_ROW_BYTES = 65536
};

/* A row of a segment in the store.  */
struct stored_segment
{
  uint64_t number;
  uint64_t value_hash;
};

struct jb_progress
{
  GHashTable *segments; /* set of struct stored_segment, by number */
  /* Of the row of the occurrences; 0: it isn't stored, there may be the only
     row instead.  */
  uint64_t occurrences_hash;
};

size_t
jb_progress_row_limit (const struct jb_bounds *bounds)
{
  size_t limit
      = bounds->max_row_bytes != 0 ? bounds->max_row_bytes : DEFAULT_ROW_BYTES;

  return limit / 4 * 3;
}

static void
divide (struct jb_job *job)
{
  job->progress = g_new0 (struct jb_progress, 1);
  job->progress->segments
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

static bool
has_room (const struct jb_progress_rows *rows)
{
  return rows->count < rows->max_count && rows->bytes <= rows->max_bytes;
}

static void
add_row (TALLOC_CTX *mem, struct jb_progress_rows *rows,
         const char *key_suffix, struct ba_bytes value)
{
  rows->rows[rows->count++] = (struct jb_progress_row){
    .key_suffix = talloc_strdup (mem, key_suffix), .value = value
  };
  rows->bytes += value.len;
}

static gchar *
format_segment_suffix (uint64_t number)
{
  return g_strdup_printf (KEY_SUFFIX_SEGMENT "%" PRIu64, number);
}

/* Return the value of the row of segment NUMBER.  Long checkpoints are left
   out if it would be too large otherwise: the tasks start from the beginning
   if their backend server and the owner of the pool are both lost.  */
static struct ba_bytes
encode_segment (TALLOC_CTX *mem, const struct jb_job *job, uint64_t number,
                size_t max_row_bytes, bool *is_empty, bool *is_reduced)
{
  struct ba_bytes value
      = jb_job_encode_segment (mem, job, number, SIZE_MAX, is_empty);

  *is_reduced = value.len > max_row_bytes;
  if (!*is_reduced)
    return value;
  talloc_free (value.data);
  return jb_job_encode_segment (
      mem, job, number, max_row_bytes / JB_JOB_SEGMENT_TASKS / 2, is_empty);
}

/* Add the row of segment NUMBER unless it is stored as it is.  Return false if
   there is no room.  */
static bool
collect_segment (TALLOC_CTX *mem, struct jb_job *job, uint64_t number,
                 struct jb_progress_rows *rows)
{
  struct stored_segment *stored
      = g_hash_table_lookup (job->progress->segments, &number);
  bool is_empty;
  bool is_reduced;
  struct ba_bytes value = encode_segment (
      mem, job, number, rows->max_row_bytes, &is_empty, &is_reduced);
  uint64_t hash = ba_hash_bytes (value.data, value.len, 0);
  gchar *key_suffix;

  if (stored != NULL ? stored->value_hash == hash : is_empty)
    {
      talloc_free (value.data);
      return true;
    }
  if (!has_room (rows))
    {
      talloc_free (value.data);
      return false;
    }
  if (stored == NULL)
    {
      stored = g_new0 (struct stored_segment, 1);
      stored->number = number;
      g_hash_table_add (job->progress->segments, stored);
    }
  stored->value_hash = hash;
  rows->reduced_count += is_reduced;
  key_suffix = format_segment_suffix (number);
  add_row (mem, rows, key_suffix, value);
  g_free (key_suffix);
  return true;
}

/* Add the row of the occurrences unless it is stored as it is.  Return false
   if there is no room.  */
static bool
collect_occurrences (TALLOC_CTX *mem, struct jb_job *job,
                     struct jb_progress_rows *rows)
{
  struct ba_bytes value = jb_job_encode_occurrences (mem, job);
  uint64_t hash = ba_hash_bytes (value.data, value.len, 0);

  if (job->progress->occurrences_hash == hash)
    return true;
  if (!has_room (rows))
    return false;
  job->progress->occurrences_hash = hash;
  add_row (mem, rows, KEY_SUFFIX_ONLY, value);
  return true;
}

/* Add the suffixes of the keys of the segments below FIRST, which are stored,
   to OBSOLETE.  */
static void
remove_segments (struct jb_job *job, uint64_t first, GPtrArray *obsolete)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, job->progress->segments);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct stored_segment *stored = key;

      if (stored->number >= first)
        continue;
      g_ptr_array_add (obsolete, format_segment_suffix (stored->number));
      g_hash_table_iter_remove (&iter);
    }
}

bool
jb_progress_collect (TALLOC_CTX *mem, struct jb_job *job,
                     struct jb_progress_rows *rows)
{
  uint64_t first = jb_job_first_segment (job);
  uint64_t end = jb_job_segments_end (job);
  bool was_divided;

  if (job->progress == NULL)
    {
      struct ba_bytes value = jb_job_encode_progress (mem, job);

      if (value.len <= rows->max_row_bytes)
        {
          add_row (mem, rows, KEY_SUFFIX_ONLY, value);
          return true;
        }
      talloc_free (value.data);
      divide (job);
    }
  was_divided = job->progress->occurrences_hash != 0;
  if (was_divided && !collect_occurrences (mem, job, rows))
    return false;
  for (uint64_t i = first; i < end; i++)
    if (!collect_segment (mem, job, i, rows))
      return false;
  if (!was_divided && !collect_occurrences (mem, job, rows))
    return false;
  remove_segments (job, first, rows->obsolete);
  return true;
}

void
jb_progress_forget (struct jb_job *job)
{
  GHashTableIter iter;
  gpointer key;

  if (job->progress == NULL)
    return;
  job->progress->occurrences_hash = 0;
  g_hash_table_iter_init (&iter, job->progress->segments);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    ((struct stored_segment *)key)->value_hash = 0;
}

void
jb_progress_remove (struct jb_job *job, GPtrArray *obsolete)
{
  if (job->progress != NULL)
    remove_segments (job, UINT64_MAX, obsolete);
}

bool
jb_progress_is_segment (const char *key_suffix)
{
  return g_str_has_prefix (key_suffix, KEY_SUFFIX_SEGMENT);
}

/* Return the hash of the row of JOB's occurrences if that was loaded, and no
   segment yet, or 0 if the only row was loaded.  */
static uint64_t
find_occurrences_hash (struct jb_job *job)
{
  struct ba_bytes loaded = jb_job_encode_progress (NULL, job);
  struct ba_bytes occurrences = jb_job_encode_occurrences (NULL, job);
  uint64_t hash = ba_hash_bytes (occurrences.data, occurrences.len, 0);

  if (loaded.len != occurrences.len)
    hash = 0;
  talloc_free (loaded.data);
  talloc_free (occurrences.data);
  return hash;
}

bool
jb_progress_load_segment (struct jb_job *job, const char *key_suffix,
                          struct ba_bytes value)
{
  struct stored_segment *stored;
  uint64_t number;
  int used = 0;

  if (sscanf (key_suffix, KEY_SUFFIX_SEGMENT "%" SCNu64 "%n", &number, &used)
          != 1
      || key_suffix[used] != '\0')
    return false;
  if (job->progress == NULL)
    {
      uint64_t occurrences_hash = find_occurrences_hash (job);

      divide (job);
      job->progress->occurrences_hash = occurrences_hash;
    }
  if (!jb_job_apply_segment (job, value))
    return false;
  stored = g_new0 (struct stored_segment, 1);
  stored->number = number;
  stored->value_hash = ba_hash_bytes (value.data, value.len, 0);
  g_hash_table_add (job->progress->segments, stored);
  return true;
}

void
jb_progress_free (struct jb_job *job)
{
  if (job->progress == NULL)
    return;
  g_hash_table_destroy (job->progress->segments);
  g_free (job->progress);
  job->progress = NULL;
}
