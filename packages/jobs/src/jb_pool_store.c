/* Writes the durable state of a pool's jobs in batches, one transaction at a
   time: what changes while a batch is in flight goes into the next one.

   Expected load: the store takes half a second for a transaction while
   hundreds of jobs make progress.  Clients wait for new and for ended jobs, so
   these are written before the progress of others.  */

#include "jb_pool_internal.h"

#include "jb_progress.h"

/* Delay from the first change to its batch, so that several changes share a
   transaction.  */
#define WRITE_BATCH_DELAY (8 * JB_MS)

enum
{
  ROWS_PER_ENDED_JOB = 3, /* one to write, two to delete */
  /* A batch with more bytes than this gets no further job.  A transaction may
     have 1 MB, as text that is a third longer than its content.  */
  MAX_BATCH_BYTES = 500000
};

/* Unit of work in the log: a core for one second.  */
#define CPU_MILLI_MS_PER_CORE_SECOND 1000000

/* What a batch contains of a job.  */
enum written_kind
{
  WRITTEN_DESCRIPTION,
  WRITTEN_PROGRESS,
  WRITTEN_END
};

struct written_job
{
  struct jb_job *job;
  enum written_kind kind;
};

/* The ends of runs in one incarnation of `backend' up to number `end_number'
   are durable once the batch is written.  */
struct covered_end
{
  struct jb_backend *backend;
  uint32_t incarnation;
  uint64_t end_number;
};

/* A write batch in flight.  */
struct jb_write_batch
{
  struct jb_pool *pool;
  jb_time created_at;
  uint32_t job_count;
  struct written_job jobs[JB_OWNERSHIP_MAX_WRITE_ROWS];
  uint32_t removal_count; /* of the pool's obsolete rows */
  uint32_t end_count;
  struct covered_end *ends;
};

void
jb_pool_mark_dirty (struct jb_pool *pool, struct jb_job *job, jb_time now)
{
  job->dirty = true;
  if (job->write_queued)
    return;
  job->write_queued = true;
  g_ptr_array_add (pool->dirty_jobs, job);
  if (pool->dirty_since == 0)
    pool->dirty_since = now;
}

static void
add_row (struct jb_pool *pool, TALLOC_CTX *mem, struct jb_row *rows,
         uint32_t *count, const struct jb_job *job, const char *key_suffix,
         struct ba_bytes value)
{
  struct jb_row *row = &rows[(*count)++];

  *row
      = (struct jb_row){ .table = JB_JOB_TABLE, .partition = pool->partition };
  row->key = talloc_asprintf (mem, "%s%s", job->desc->id, key_suffix);
  row->value = value;
}

static struct ba_bytes
encode_end (TALLOC_CTX *mem, const struct jb_job *job)
{
  uint32_t state = job->state;
  struct ba_codec io;

  ba_codec_init_writer (&io);
  ba_codec_enum (&io, &state, JB_JOB_CANCELLED + 1);
  ba_codec_required_str (&io, &job->desc->queue);
  return ba_codec_finish (&io, mem);
}

/* Record in BATCH, which contains the last dirty jobs, the ends of runs that
   are durable once it is written.  */
static void
record_covered_ends (struct jb_pool *pool, struct jb_write_batch *batch)
{
  GHashTableIter iter;
  gpointer value;

  batch->ends = talloc_array (batch, struct covered_end,
                              g_hash_table_size (pool->backends) + 1);
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (backend->processed_end > backend->stored_end)
        batch->ends[batch->end_count++]
            = (struct covered_end){ backend, backend->incarnation,
                                    backend->processed_end };
    }
}

static void
handle_job_written (struct jb_pool *pool, const struct written_job *written,
                    jb_time now)
{
  struct jb_job *job = written->job;

  switch (written->kind)
    {
    case WRITTEN_DESCRIPTION:
      job->stored = true;
      jb_job_note_change (job);
      jb_count_event (pool->options.driver, JB_COUNT_ACCEPTED);
      jb_observe_latency (pool->options.driver, JB_HIST_JOB_STORED,
                          now - job->received_at);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "job-accepted", "job",
              job->desc->id, "queue", job->desc->queue, "organisation",
              job->desc->org, "work",
              jb_itoa (jb_job_desc_work (job->desc)
                       / CPU_MILLI_MS_PER_CORE_SECOND),
              "ms", jb_itoa ((now - job->received_at) / JB_MS), NULL);
      pool->schedule_due = true;
      break;
    case WRITTEN_PROGRESS:
      break;
    case WRITTEN_END:
      job->stored = true;
      job->end_stored = true;
      break;
    }
  jb_pool_answer_waiters (pool, job, now);
}

/* Forget the obsolete rows that BATCH has removed.  */
static void
finish_removals (struct jb_pool *pool, const struct jb_write_batch *batch)
{
  if (batch->removal_count > 0)
    g_ptr_array_remove_range (pool->obsolete_keys, 0, batch->removal_count);
}

/* The store has refused what was written of a job as invalid, because of a
   limit that this owner doesn't know.  */
static void
handle_job_refused (struct jb_pool *pool, const struct written_job *written,
                    jb_time now)
{
  struct jb_job *job = written->job;

  if (job->ended_at != 0)
    jb_pool_mark_dirty (pool, job, now);
  else if (written->kind == WRITTEN_DESCRIPTION)
    jb_pool_refuse_job (pool, job);
  else
    jb_pool_end_job (pool, job, JB_JOB_FAILED, now,
                     "the store refuses its progress");
}

/* The store has refused a batch as invalid.  Write its jobs one by one, or if
   there was only one, end that, so that the others can be written.  */
static void
handle_batch_refused (void *data, jb_time now)
{
  struct jb_write_batch *batch = data;
  struct jb_pool *pool = batch->pool;

  pool->write_batch = NULL;
  if (batch->job_count == 0)
    finish_removals (pool, batch);
  else if (batch->job_count == 1)
    handle_job_refused (pool, &batch->jobs[0], now);
  else
    pool->single_batches = batch->job_count;
  for (uint32_t i = 0; batch->job_count > 1 && i < batch->job_count; i++)
    {
      jb_progress_forget (batch->jobs[i].job);
      jb_pool_mark_dirty (pool, batch->jobs[i].job, now);
    }
  talloc_free (batch);
}

static void
handle_batch_written (void *data, jb_time now)
{
  struct jb_write_batch *batch = data;
  struct jb_pool *pool = batch->pool;

  finish_removals (pool, batch);
  pool->write_batch = NULL;
  for (uint32_t i = 0; i < batch->job_count; i++)
    handle_job_written (pool, &batch->jobs[i], now);
  for (uint32_t i = 0; i < batch->end_count; i++)
    {
      struct jb_backend *backend = batch->ends[i].backend;

      if (batch->ends[i].incarnation != backend->incarnation)
        continue;
      backend->stored_end
          = MAX (backend->stored_end, batch->ends[i].end_number);
      backend->next_probe = MIN (backend->next_probe, now);
    }
  talloc_free (batch);
  jb_pool_mark_ends_stored (pool, now);
  /* Queue the next batch now, so that it shares a transaction with what waits
     to be written already.  */
  jb_pool_write_dirty_jobs (pool, now);
}

void
jb_pool_mark_ends_stored (struct jb_pool *pool, jb_time now)
{
  const GPtrArray *backends = jb_pool_list_backends (pool);

  if (pool->write_batch != NULL || pool->dirty_jobs->len > 0)
    return;
  for (guint i = 0; i < backends->len; i++)
    {
      struct jb_backend *backend = g_ptr_array_index (backends, i);

      if (backend->processed_end <= backend->stored_end)
        continue;
      backend->stored_end = backend->processed_end;
      backend->next_probe = MIN (backend->next_probe, now);
    }
}

guint
jb_pool_find_next_write (const GPtrArray *dirty_jobs)
{
  for (guint i = 0; i < dirty_jobs->len; i++)
    {
      const struct jb_job *job = g_ptr_array_index (dirty_jobs, i);

      if (!job->stored || job->ended_at != 0)
        return i;
    }
  return 0;
}

/* The rows of a batch that is being filled.  */
struct batch_rows
{
  struct jb_row set[JB_OWNERSHIP_MAX_WRITE_ROWS];
  struct jb_row removed[JB_OWNERSHIP_MAX_WRITE_ROWS];
  uint32_t set_count;
  uint32_t removed_count;
  size_t bytes; /* of the rows to write */
};

static void
add_set_row (struct jb_pool *pool, struct jb_write_batch *batch,
             struct batch_rows *rows, const struct jb_job *job,
             const char *key_suffix, struct ba_bytes value)
{
  add_row (pool, batch, rows->set, &rows->set_count, job, key_suffix, value);
  rows->bytes += value.len;
}

/* Add the keys of the rows of JOB whose suffixes are in SUFFIXES to those that
   are to be removed.  */
static void
add_obsolete_rows (struct jb_pool *pool, const struct jb_job *job,
                   const GPtrArray *suffixes)
{
  for (guint i = 0; i < suffixes->len; i++)
    jb_pool_remove_row (
        pool,
        g_strconcat (job->desc->id,
                     (const char *)g_ptr_array_index (suffixes, i), NULL));
}

static void
add_end (struct jb_pool *pool, struct jb_write_batch *batch,
         struct batch_rows *rows, struct jb_job *job)
{
  struct ba_bytes no_value = { NULL, 0 };
  GPtrArray *suffixes = g_ptr_array_new_with_free_func (g_free);

  add_set_row (pool, batch, rows, job, JB_KEY_SUFFIX_END,
               encode_end (batch, job));
  add_row (pool, batch, rows->removed, &rows->removed_count, job,
           JB_KEY_SUFFIX_DESC, no_value);
  add_row (pool, batch, rows->removed, &rows->removed_count, job,
           JB_KEY_SUFFIX_PROGRESS, no_value);
  jb_progress_remove (job, suffixes);
  add_obsolete_rows (pool, job, suffixes);
  g_ptr_array_free (suffixes, TRUE);
}

/* Add what fits of JOB's progress.  Return false if there is more.  */
static bool
add_progress (struct jb_pool *pool, struct jb_write_batch *batch,
              struct batch_rows *rows, struct jb_job *job)
{
  struct jb_progress_rows progress
      = { .max_count = JB_OWNERSHIP_MAX_WRITE_ROWS - rows->set_count
                       - rows->removed_count,
          .max_bytes = MAX_BATCH_BYTES - rows->bytes,
          .max_row_bytes = jb_progress_row_limit (pool->options.bounds),
          .obsolete = g_ptr_array_new_with_free_func (g_free) };
  bool is_complete;

  progress.rows
      = talloc_array (batch, struct jb_progress_row, progress.max_count);
  is_complete = jb_progress_collect (batch, job, &progress);
  if (progress.reduced_count > 0)
    jb_log (pool->options.driver, JB_LEVEL_WARN, "checkpoints-not-stored",
            "job", job->desc->id, "reason", "they are too large for a row",
            "rows", jb_itoa (progress.reduced_count), NULL);
  for (uint32_t i = 0; i < progress.count; i++)
    add_set_row (pool, batch, rows, job, progress.rows[i].key_suffix,
                 progress.rows[i].value);
  add_obsolete_rows (pool, job, progress.obsolete);
  g_ptr_array_free (progress.obsolete, TRUE);
  return is_complete;
}

/* Add JOB to BATCH.  Return false if it has to be continued in the next
   one.  */
static bool
add_job (struct jb_pool *pool, struct jb_write_batch *batch,
         struct batch_rows *rows, struct jb_job *job)
{
  struct written_job *written = &batch->jobs[batch->job_count++];

  written->job = job;
  if (job->ended_at != 0)
    {
      written->kind = WRITTEN_END;
      add_end (pool, batch, rows, job);
      return true;
    }
  if (!job->stored)
    {
      written->kind = WRITTEN_DESCRIPTION;
      add_set_row (pool, batch, rows, job, JB_KEY_SUFFIX_DESC,
                   ba_codec_encode (batch, jb_job_desc_serialize, job->desc));
      return true;
    }
  written->kind = WRITTEN_PROGRESS;
  return add_progress (pool, batch, rows, job);
}

/* Remove as many of the obsolete rows as there is room for.  */
static void
add_removals (struct jb_pool *pool, struct jb_write_batch *batch,
              struct batch_rows *rows)
{
  while (batch->removal_count < pool->obsolete_keys->len
         && rows->set_count + rows->removed_count
                < JB_OWNERSHIP_MAX_WRITE_ROWS)
    rows->removed[rows->removed_count++]
        = (struct jb_row){ .table = JB_JOB_TABLE,
                           .partition = pool->partition,
                           .key = g_ptr_array_index (pool->obsolete_keys,
                                                     batch->removal_count++) };
}

void
jb_pool_remove_row (struct jb_pool *pool, gchar *key)
{
  g_ptr_array_add (pool->obsolete_keys, key);
}

void
jb_pool_write_dirty_jobs (struct jb_pool *pool, jb_time now)
{
  struct batch_rows rows;
  struct jb_write_batch *batch;
  uint32_t max_jobs
      = pool->single_batches > 0 ? 1 : JB_OWNERSHIP_MAX_WRITE_ROWS;
  bool is_complete = true;

  if (pool->write_batch != NULL || now < jb_pool_write_due_at (pool)
      || jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return;
  rows.set_count = 0;
  rows.removed_count = 0;
  rows.bytes = 0;
  batch = talloc_zero (pool->ownership, struct jb_write_batch);
  batch->pool = pool;
  batch->created_at = now;
  while (pool->dirty_jobs->len > 0 && is_complete
         && batch->job_count < max_jobs
         && rows.set_count + rows.removed_count + ROWS_PER_ENDED_JOB
                <= JB_OWNERSHIP_MAX_WRITE_ROWS
         && rows.bytes < MAX_BATCH_BYTES)
    {
      guint index = jb_pool_find_next_write (pool->dirty_jobs);
      struct jb_job *job = g_ptr_array_index (pool->dirty_jobs, index);

      is_complete = add_job (pool, batch, &rows, job);
      if (is_complete)
        {
          g_ptr_array_remove_index (pool->dirty_jobs, index);
          job->write_queued = false;
          job->dirty = false;
        }
    }
  if (pool->single_batches > 0)
    pool->single_batches--;
  else
    add_removals (pool, batch, &rows);
  if (pool->dirty_jobs->len == 0)
    {
      record_covered_ends (pool, batch);
      pool->dirty_since = 0;
    }
  pool->write_batch = batch;
  /* The end of a job is written until it is stored: it may have been
     cancelled, and must not start again.  */
  jb_ownership_write_unless_invalid (
      pool->ownership, now, rows.set, rows.set_count, rows.removed,
      rows.removed_count, handle_batch_written,
      batch->job_count == 1 && batch->jobs[0].kind == WRITTEN_END
          ? NULL
          : handle_batch_refused,
      batch);
}

jb_time
jb_pool_write_due_at (const struct jb_pool *pool)
{
  if (pool->write_batch != NULL
      || (pool->dirty_jobs->len == 0 && pool->obsolete_keys->len == 0))
    return JB_NEVER;
  return pool->dirty_since + WRITE_BATCH_DELAY;
}
