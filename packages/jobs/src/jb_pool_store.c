/* What must last of a pool's jobs is written in groups: whatever changed while
   the transaction before was under way goes into the next one.  */

#include "jb_pool_internal.h"

/* From the first change to the transaction, so that changes share one.  */
#define FLUSH_DELAY (8 * JB_MS)

enum
{
  MAX_FLUSH_JOBS = 28 /* of at most three rows each */
};

enum written_kind
{
  WRITTEN_DESC,
  WRITTEN_PROGRESS,
  WRITTEN_END
};

struct written_job
{
  struct jb_job *job;
  enum written_kind kind;
};

struct noted_end
{
  struct jb_backend *backend;
  uint64_t end;
};

/* A transaction under way.  */
struct jb_write_batch
{
  struct jb_pool *pool;
  jb_time begun;
  uint32_t job_count;
  struct written_job jobs[MAX_FLUSH_JOBS];
  uint32_t end_count;
  struct noted_end *ends;
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
         uint32_t *count, const struct jb_job *job, const char *kind,
         struct ba_bytes value)
{
  struct jb_row *row = &rows[(*count)++];

  *row
      = (struct jb_row){ .table = JB_JOB_TABLE, .partition = pool->partition };
  row->key = talloc_asprintf (mem, "%s%s", job->desc->id, kind);
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

/* Remember up to where the ends of the backends are covered once all that is
   dirty now is durable.  */
static void
note_ends (struct jb_pool *pool, struct jb_write_batch *flush)
{
  GHashTableIter iter;
  gpointer value;

  flush->ends = talloc_array (flush, struct noted_end,
                              g_hash_table_size (pool->backends) + 1);
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (backend->listed_end > backend->stored_end)
        flush->ends[flush->end_count++]
            = (struct noted_end){ backend, backend->listed_end };
    }
}

static void
job_written (struct jb_pool *pool, const struct written_job *written,
             jb_time now)
{
  struct jb_job *job = written->job;

  switch (written->kind)
    {
    case WRITTEN_DESC:
      job->stored = true;
      jb_count_event (pool->options.driver, JB_COUNT_ACCEPTED);
      jb_observe_latency (pool->options.driver, JB_HIST_JOB_STORED,
                          now - job->received_at);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "job-accepted", "job",
              job->desc->id, "queue", job->desc->queue, "organisation",
              job->desc->org, "work",
              jb_itoa (jb_job_desc_work (job->desc) / 1000000), "ms",
              jb_itoa ((now - job->received_at) / JB_MS), NULL);
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

static void
flush_written (void *data, jb_time now)
{
  struct jb_write_batch *flush = data;
  struct jb_pool *pool = flush->pool;

  pool->write_batch = NULL;
  for (uint32_t i = 0; i < flush->job_count; i++)
    job_written (pool, &flush->jobs[i], now);
  for (uint32_t i = 0; i < flush->end_count; i++)
    {
      struct jb_backend *backend = flush->ends[i].backend;

      backend->stored_end = MAX (backend->stored_end, flush->ends[i].end);
      backend->next_probe = MIN (backend->next_probe, now);
    }
  talloc_free (flush);
  jb_pool_mark_ends_stored (pool, now);
}

void
jb_pool_mark_ends_stored (struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  if (pool->write_batch != NULL || pool->dirty_jobs->len > 0)
    return;
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (backend->listed_end <= backend->stored_end)
        continue;
      backend->stored_end = backend->listed_end;
      backend->next_probe = MIN (backend->next_probe, now);
    }
}

void
jb_pool_write_dirty_jobs (struct jb_pool *pool, jb_time now)
{
  struct jb_row set[MAX_FLUSH_JOBS];
  struct jb_row removed[2 * MAX_FLUSH_JOBS];
  uint32_t set_count = 0;
  uint32_t removed_count = 0;
  struct ba_bytes nothing = { NULL, 0 };
  struct jb_write_batch *flush;

  if (pool->write_batch != NULL || now < jb_pool_write_due (pool)
      || jb_ownership_state (pool->duty) != JB_OWNERSHIP_HELD)
    return;
  flush = talloc_zero (pool->duty, struct jb_write_batch);
  flush->pool = pool;
  flush->begun = now;
  while (pool->dirty_jobs->len > 0 && flush->job_count < MAX_FLUSH_JOBS)
    {
      struct jb_job *job = g_ptr_array_index (pool->dirty_jobs, 0);
      struct written_job *written = &flush->jobs[flush->job_count++];

      g_ptr_array_remove_index (pool->dirty_jobs, 0);
      job->write_queued = false;
      job->dirty = false;
      written->job = job;
      if (job->ended_at != 0)
        {
          written->kind = WRITTEN_END;
          add_row (pool, flush, set, &set_count, job, JB_KEY_SUFFIX_END,
                   encode_end (flush, job));
          add_row (pool, flush, removed, &removed_count, job,
                   JB_KEY_SUFFIX_DESC, nothing);
          add_row (pool, flush, removed, &removed_count, job,
                   JB_KEY_SUFFIX_PROGRESS, nothing);
        }
      else if (!job->stored)
        {
          written->kind = WRITTEN_DESC;
          add_row (pool, flush, set, &set_count, job, JB_KEY_SUFFIX_DESC,
                   ba_codec_encode (flush, jb_job_desc_serialize, job->desc));
        }
      else
        {
          written->kind = WRITTEN_PROGRESS;
          add_row (pool, flush, set, &set_count, job, JB_KEY_SUFFIX_PROGRESS,
                   jb_job_encode_progress (flush, job));
        }
    }
  if (pool->dirty_jobs->len == 0)
    {
      note_ends (pool, flush);
      pool->dirty_since = 0;
    }
  pool->write_batch = flush;
  jb_ownership_write (pool->duty, now, set, set_count, removed, removed_count,
                      flush_written, flush);
}

jb_time
jb_pool_write_due (const struct jb_pool *pool)
{
  if (pool->write_batch != NULL || pool->dirty_jobs->len == 0)
    return JB_NEVER;
  return pool->dirty_since + FLUSH_DELAY;
}
