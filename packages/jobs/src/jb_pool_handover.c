/* What an owner of a pool leaves to its successor, in rows of a table of its
   own.  Each row holds the generation of the owner that wrote it, so that a
   successor doesn't take the row of an earlier owner for its predecessor's.
   Owners of previous versions neither write nor read these rows.

   An owner that stops as planned stores what may run on the backend servers
   that don't answer it.  From the moment at which it collects that, it sends
   no command, so the row also tells that it has sent its last one.  The row is
   in the last transaction, after all changes of jobs: a successor that finds
   it also knows each end of a run that this owner has processed.  */

#include "jb_pool_internal.h"

#include <string.h>

/* Written once no owner before the one that writes it can send commands.  */
#define SETTLED_KEY "settled"
/* Written by an owner that stops as planned.  */
#define RUNS_KEY "runs"
/* Written by each owner that stops as planned: ages of the starts in doubt.
   Its key follows those of the rows with the starts.  */
#define START_AGES_KEY "start-ages"

#define STORE_READ_TIMEOUT_MS 1500

/* The pool is released when its last transaction is committed, or after this
   time.  */
#define MAX_HANDOVER_TIME (150 * JB_MS)

enum
{
  /* About 60 KB.  With more, no row is written.  */
  MAX_HANDOVER_TASKS = 2000,
  MAX_HANDOVER_BACKENDS = 1000
};

struct saved_settled
{
  uint32_t generation;
};

struct saved_handover
{
  uint32_t generation;
  bool settled;
  uint32_t silent_count;
  struct jb_silent_backend *silent;
};

static void
serialize_saved_settled (struct ba_codec *io, struct saved_settled *saved)
{
  ba_codec_u32 (io, &saved->generation);
}

static void
serialize_silent_backend (struct ba_codec *io,
                          struct jb_silent_backend *silent)
{
  ba_codec_required_str (io, &silent->instance);
  ba_codec_array (io, silent->tasks, silent->task_count, MAX_HANDOVER_TASKS,
                  ba_codec_required_str);
}

static void
serialize_saved_handover (struct ba_codec *io, struct saved_handover *saved)
{
  ba_codec_u32 (io, &saved->generation);
  ba_codec_bool (io, &saved->settled);
  ba_codec_array (io, saved->silent, saved->silent_count,
                  MAX_HANDOVER_BACKENDS, serialize_silent_backend);
}

/* ---- reading ---- */

static void
load_settled (struct jb_pool *pool, struct ba_bytes value)
{
  struct saved_settled saved = { 0 };
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, value);
  serialize_saved_settled (&io, &saved);
  if (ba_codec_is_complete (&io))
    pool->predecessor.settled_generation = saved.generation;
  talloc_free (scratch);
}

static void
load_runs (struct jb_pool *pool, jb_time now, struct ba_bytes value)
{
  struct saved_handover saved = { 0 };
  TALLOC_CTX *mem = talloc_new (pool);
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, value);
  serialize_saved_handover (&io, &saved);
  if (!ba_codec_is_complete (&io)
      || (saved.generation + 1 != pool->predecessor.generation
          && !jb_pool_has_disabled (pool, JB_SAFEGUARD_HANDOVER_GENERATION)))
    {
      talloc_free (mem);
      return;
    }
  pool->predecessor.has_handed_over = true;
  if (saved.settled)
    pool->predecessor.settled_generation = pool->predecessor.generation - 1;
  pool->silent = saved.silent;
  pool->silent_count = saved.silent_count;
  jb_log (pool->options.driver, JB_LEVEL_INFO, "handover-read", "pool",
          pool->options.name, "silent", jb_itoa (saved.silent_count), "ms",
          jb_itoa ((now - pool->loading_since) / JB_MS), NULL);
}

static void read_page (struct jb_pool *pool, jb_time now,
                       const char *first_key);

static void
handle_rows (void *data, jb_time now, jb_time sent_at,
             const struct jb_reply *reply)
{
  struct jb_pool *pool = data;

  (void)sent_at;
  if (pool->stage != JB_STAGE_LOADING)
    return;
  /* Without the rows, starts in doubt are not known.  */
  if (reply->result != JB_RESULT_OK)
    {
      jb_log (pool->options.driver, JB_LEVEL_WARN, "store-read-failed", "pool",
              pool->options.name, NULL);
      jb_pool_release (pool, now, "the pool's rows can't be read");
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      const struct jb_row *row = &reply->rows[i];

      if (strcmp (row->key, SETTLED_KEY) == 0)
        load_settled (pool, row->value);
      else if (g_str_has_prefix (row->key, JB_KEY_PREFIX_DOUBTS))
        jb_pool_load_doubts (pool, row, now);
      else if (g_str_has_prefix (row->key, JB_KEY_PREFIX_STARTS))
        jb_pool_load_starts (pool, row, now);
      else if (strcmp (row->key, JB_KEY_WITNESSES) == 0)
        jb_pool_load_witnesses (pool, row);
      else if (strcmp (row->key, JB_KEY_LEASES) == 0)
        jb_pool_load_leases (pool, row, now);
      else if (strcmp (row->key, JB_KEY_RESTARTS) == 0)
        jb_pool_load_restarts (pool, now);
    }
  /* It may raise the generation above that of the other row.  */
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (strcmp (reply->rows[i].key, RUNS_KEY) == 0)
      load_runs (pool, now, reply->rows[i].value);
    else if (strcmp (reply->rows[i].key, START_AGES_KEY) == 0)
      jb_pool_load_doubt_ages (pool, &reply->rows[i], now);
  if (reply->next_page != NULL)
    {
      read_page (pool, now, reply->next_page);
      return;
    }
  pool->handover_read = true;
  jb_pool_query_awaited_witnesses (pool, now);
  jb_pool_finish_loading_if_complete (pool, now);
}

static void
read_page (struct jb_pool *pool, jb_time now, const char *first_key)
{
  struct jb_command command
      = { .kind = JB_COMMAND_READ,
          .timeout_ms = STORE_READ_TIMEOUT_MS,
          .u.read = { JB_HANDOVER_TABLE, pool->partition, first_key } };

  jb_count_event (pool->options.driver, JB_COUNT_STORE_READS);
  jb_driver_submit (pool->options.driver, pool->ownership, now, &command,
                    handle_rows, pool);
}

void
jb_pool_read_handover (struct jb_pool *pool, jb_time now)
{
  read_page (pool, now, NULL);
}

bool
jb_pool_left_runs_are_known (const struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  if (!pool->predecessor.has_handed_over)
    return false;
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;
      bool is_listed = false;

      if (!jb_pool_awaits_backend (backend))
        continue;
      for (uint32_t i = 0; i < pool->silent_count && !is_listed; i++)
        is_listed = strcmp (pool->silent[i].instance, backend->instance) == 0;
      if (!is_listed)
        return false;
    }
  return true;
}

struct jb_task *
jb_pool_find_left_task (const struct jb_pool *pool, const char *name)
{
  struct jb_task_ref ref;
  struct jb_job *job = jb_task_ref_parse (name, &ref)
                           ? g_hash_table_lookup (pool->jobs, ref.id)
                           : NULL;

  if (job == NULL || job->ended_at != 0)
    return NULL;
  jb_job_open_occurrences_up_to (job, ref.occurrence);
  return jb_job_find_task (job, &ref);
}

uint32_t
jb_pool_mark_awaited_tasks (struct jb_pool *pool)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < pool->silent_count; i++)
    {
      const struct jb_silent_backend *silent = &pool->silent[i];
      const struct jb_backend *backend
          = g_hash_table_lookup (pool->backends, silent->instance);
      bool is_awaited = backend != NULL && jb_pool_awaits_backend (backend)
                        && (pool->stage == JB_STAGE_SCANNING
                            || jb_pool_is_held_backend (pool, backend));

      for (uint32_t j = 0; j < silent->task_count; j++)
        {
          struct jb_task *task
              = jb_pool_find_left_task (pool, silent->tasks[j]);

          if (task == NULL)
            continue;
          if (task->is_awaited != (is_awaited && !task->done))
            jb_job_note_change (task->group->job);
          task->is_awaited = is_awaited && !task->done;
          count += task->is_awaited;
        }
    }
  return count;
}

/* ---- writing ---- */

void
jb_pool_write_settled (struct jb_pool *pool, jb_time now)
{
  TALLOC_CTX *scratch;
  struct saved_settled saved = { jb_ownership_generation (pool->ownership) };
  struct jb_row row = { .table = JB_HANDOVER_TABLE,
                        .partition = pool->partition,
                        .key = SETTLED_KEY };

  if (pool->settled_written || pool->stage < JB_STAGE_SCANNING
      || now < pool->predecessor_until
      || jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return;
  pool->settled_written = true;
  scratch = talloc_new (NULL);
  row.value = ba_codec_encode (scratch, serialize_saved_settled, &saved);
  jb_ownership_write (pool->ownership, now, &row, 1, NULL, 0, NULL, NULL);
  talloc_free (scratch);
}

/* Return whether a successor may find BACKEND silent as this owner does,
   whether it is not known what runs there, or whether that may go on for
   longer than a successor expects if it is silent then.  */
static bool
is_silent (const struct jb_backend *backend, jb_time now)
{
  return backend->unanswered_probes > 0 || !backend->probed
         || backend->may_get_old_commands
         || jb_pool_has_long_lease (backend, now);
}

/* Add the tasks that may run on BACKEND to SAVED, whose array has room.
   Return their number.  */
static uint32_t
add_silent_backend (TALLOC_CTX *mem, const struct jb_backend *backend,
                    struct saved_handover *saved)
{
  struct jb_silent_backend *silent = &saved->silent[saved->silent_count++];

  silent->instance = backend->instance;
  silent->tasks = talloc_array (mem, char *, backend->task_count + 1);
  for (const struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    {
      char name[JB_TASK_NAME_SIZE];

      silent->tasks[silent->task_count++]
          = talloc_strdup (mem, jb_task_name (task, name));
    }
  return silent->task_count;
}

/* Return whether a run of a task may be active that is not the task's current
   one.  Where it is isn't known.  */
static bool
has_other_runs (const struct jb_pool *pool, jb_time now)
{
  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      const struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      for (guint j = 0; j < job->groups->len; j++)
        {
          const struct jb_task_group *group
              = g_ptr_array_index (job->groups, j);

          for (uint32_t k = 0; k < group->task_count; k++)
            if (!group->tasks[k].done
                && jb_pool_may_have_other_run (pool, &group->tasks[k], now))
              return true;
        }
    }
  return false;
}

static void
release (struct jb_pool *pool, jb_time now)
{
  jb_pool_release (pool, now, pool->handover_reason);
}

static void
handle_runs_written (void *data, jb_time now)
{
  struct jb_pool *pool = data;

  if (pool->stage == JB_STAGE_NOT_OWNED)
    return;
  jb_pool_forget_told_starts (pool, now);
  release (pool, now);
}

static bool
has_doubts (const struct jb_pool *pool)
{
  return jb_doubt_count (jb_pool_doubt_table (pool)) > 0;
}

/* Queue the last transaction.  */
static void
write_last_rows (struct jb_pool *pool, jb_time now)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_row row
      = { .table = JB_HANDOVER_TABLE, .partition = pool->partition };
  struct jb_row rows[2];
  uint32_t count = 0;

  if (has_doubts (pool))
    {
      row.key = START_AGES_KEY;
      row.value = jb_pool_encode_doubt_ages (pool, scratch, now);
      rows[count++] = row;
    }
  if (pool->handover_runs.len > 0)
    {
      row.key = RUNS_KEY;
      row.value = pool->handover_runs;
      rows[count++] = row;
    }
  jb_ownership_write (pool->ownership, now, rows, count, NULL, 0,
                      handle_runs_written, pool);
  talloc_free (scratch);
}

/* Encode what may run on silent backend servers.  Return whether a row can
   hold it.  */
static bool
collect_runs (struct jb_pool *pool, jb_time now)
{
  const GPtrArray *backends = jb_pool_list_backends (pool);
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_handover saved
      = { .generation = jb_ownership_generation (pool->ownership),
          .settled = now >= pool->predecessor_until };
  uint32_t task_count = 0;
  bool fits;

  saved.silent = talloc_zero_array (scratch, struct jb_silent_backend,
                                    backends->len + 1);
  for (guint i = 0; i < backends->len; i++)
    if (is_silent (g_ptr_array_index (backends, i), now))
      task_count += add_silent_backend (
          scratch, g_ptr_array_index (backends, i), &saved);
  fits = task_count <= MAX_HANDOVER_TASKS
         && saved.silent_count <= MAX_HANDOVER_BACKENDS
         && !has_other_runs (pool, now) && !jb_pool_holds_tasks (pool);
  if (fits)
    pool->handover_runs
        = ba_codec_encode (pool, serialize_saved_handover, &saved);
  jb_log (pool->options.driver, JB_LEVEL_INFO, "handover-begun", "pool",
          pool->options.name, "silent", jb_itoa (saved.silent_count), "tasks",
          jb_itoa (task_count), "row", fits ? "yes" : "no", "to_write",
          jb_itoa (pool->dirty_jobs->len), "reason", pool->handover_reason,
          NULL);
  talloc_free (scratch);
  return fits;
}

void
jb_pool_hand_over (struct jb_pool *pool, jb_time now, const char *reason)
{
  if (jb_pool_is_handing_over (pool))
    return;
  pool->handover_reason = talloc_strdup (pool, reason);
  jb_pool_cancel_queued_starts (pool);
  if (!jb_pool_may_command (pool, now)
      || !((pool->stage == JB_STAGE_ACTIVE && collect_runs (pool, now))
           || has_doubts (pool)))
    {
      release (pool, now);
      return;
    }
  pool->handover_since = now;
  jb_pool_run_handover (pool, now);
}

bool
jb_pool_is_handing_over (const struct jb_pool *pool)
{
  return pool->handover_since != 0 && pool->stage != JB_STAGE_NOT_OWNED;
}

jb_time
jb_pool_run_handover (struct jb_pool *pool, jb_time now)
{
  jb_time deadline = pool->handover_since + MAX_HANDOVER_TIME;

  if (now >= deadline)
    {
      release (pool, now);
      return JB_NEVER;
    }
  /* All changes go before the row, since what is queued is executed in
     order.  */
  if (pool->dirty_jobs->len > 0)
    {
      pool->dirty_since = 1; /* the batch is due at once */
      jb_pool_write_dirty_jobs (pool, now);
    }
  if (pool->dirty_jobs->len == 0 && !pool->handover_row_queued)
    {
      pool->handover_row_queued = true;
      jb_pool_write_all_doubts (pool, now);
      jb_pool_remove_start_rows (pool, now);
      jb_pool_write_last_leases (pool, now);
      write_last_rows (pool, now);
    }
  return deadline;
}
