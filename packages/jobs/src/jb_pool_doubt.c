/* Starts in doubt (jb_doubt.h) of a pool: where their tasks may start, which
   ends of runs are not acknowledged, and the rows from which a successor
   learns of them.

   A row lists the starts that were not answered for JB_STORE_DOUBT_AFTER, far
   longer than most answers take.  It is removed when none of them can have an
   effect any more.  Until then the rows of jb_pool_starts.c list them.  What
   the store does not take is sent to the other hosts
   (jb_pool_peer_doubts.c).  */

#include "jb_pool_internal.h"

#include "jb_progress.h"
#include "jb_takeover.h"

#include <string.h>

/* Time between two rows, so that one lists several starts.  */
#define ROW_INTERVAL (40 * JB_MS)

/* Time between starts of a task after JB_MAX_QUICK_STARTS of them.  */
#define REPEAT_INTERVAL (1000 * JB_MS)

/* Time after the first start of a run after which no further ones are sent.
   While orders are late, a full backend server refuses them unseen.  */
#define MAX_REPEAT_TIME (60 * JB_SECOND)

enum
{
  BYTES_PER_ENTRY = 80, /* of a row; upper bound of the usual size */
  /* A backend server lists 500 ends that were not acknowledged.  With so many
     all are, so that none is missing in an answer.  */
  MAX_HELD_ENDS = 300
};

/* A row in the store, removed after UNTIL.  */
struct doubt_row
{
  char *key;
  jb_time until;
};

/* An end of a run on one incarnation of INSTANCE that is not acknowledged
   while a start of TASK is in doubt.  */
struct held_end
{
  char *task;
  char *instance;
  uint32_t incarnation;
  uint64_t number;
};

struct jb_pool_doubts
{
  struct jb_doubt_table *table;
  GPtrArray *held_ends; /* struct held_end */
  GPtrArray *rows;      /* struct doubt_row, in the order of their age */
  uint32_t row_number;  /* of the last one of this owner */
  uint32_t writes_in_flight;
  jb_time write_since; /* when the first of these was queued */
  jb_time next_row;    /* earliest time of the next row */
};

void
jb_saved_doubts_serialize (struct ba_codec *io, struct jb_saved_doubts *saved)
{
  ba_codec_array (io, saved->doubts, saved->count, JB_MAX_DOUBTS_PER_ROW,
                  jb_doubt_entry_serialize);
}

static int
doubts_destroy (struct jb_pool_doubts *doubts)
{
  g_ptr_array_free (doubts->held_ends, TRUE);
  g_ptr_array_free (doubts->rows, TRUE);
  return 0;
}

uint32_t
jb_pool_doubts_per_row (const struct jb_pool *pool)
{
  return (uint32_t)CLAMP (jb_progress_row_limit (pool->options.bounds)
                              / BYTES_PER_ENTRY,
                          1, JB_MAX_DOUBTS_PER_ROW);
}

struct jb_pool_doubts *
jb_pool_doubts_new (TALLOC_CTX *mem)
{
  struct jb_pool_doubts *doubts = talloc_zero (mem, struct jb_pool_doubts);

  doubts->table = jb_doubt_table_new (doubts);
  doubts->held_ends = g_ptr_array_new ();
  doubts->rows = g_ptr_array_new ();
  talloc_set_destructor (doubts, doubts_destroy);
  return doubts;
}

/* ---- starts ---- */

static bool
is_disabled (const struct jb_pool *pool)
{
  return jb_pool_has_disabled (pool, JB_SAFEGUARD_DOUBT);
}

bool
jb_pool_begin_start (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  char name[JB_TASK_NAME_SIZE];

  if (is_disabled (pool) || jb_takeover_may_start_copies (jb_task_step (task)))
    return false;
  jb_doubt_add (pool->doubts->table, jb_task_name (task, name), task->run,
                task->backend->instance, now)
      ->is_queued
      = true;
  task->in_doubt = true;
  return true;
}

void
jb_pool_note_start_sent (struct jb_pool *pool, struct jb_task *task,
                         jb_time now)
{
  struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);

  if (doubt == NULL || !doubt->is_queued)
    return;
  jb_doubt_send (doubt, now);
  task->backend->doubt_count += doubt->sent == 1;
}

bool
jb_pool_is_start_unsent (const struct jb_pool *pool, struct jb_task *task)
{
  const struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);

  return doubt != NULL && doubt->is_queued && jb_doubt_sent_count (doubt) == 0;
}

void
jb_pool_cancel_start (struct jb_pool *pool, struct jb_task *task)
{
  struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);

  if (doubt != NULL && doubt->is_queued)
    jb_doubt_cancel (pool->doubts->table, doubt);
}

/* Nothing of a task is in doubt on BACKEND any more if IS_LAST.  */
static void
count_settled (struct jb_backend *backend, bool is_last)
{
  if (is_last && backend->doubt_count > 0)
    backend->doubt_count--;
}

void
jb_pool_start_answered (struct jb_pool *pool, const char *task, uint32_t run,
                        struct jb_backend *backend, jb_time sent_at,
                        bool succeeded)
{
  count_settled (backend,
                 jb_doubt_answer (pool->doubts->table, task, run,
                                  backend->instance, sent_at, succeeded));
  jb_pool_note_list_changed (pool);
}

void
jb_pool_start_returned (struct jb_pool *pool, const char *task, uint32_t run,
                        const struct jb_backend *backend, jb_time sent_at)
{
  jb_doubt_note_result (pool->doubts->table, task, run, backend->instance,
                        sent_at);
}

void
jb_pool_start_resent (struct jb_pool *pool, const char *task, uint32_t run,
                      const struct jb_backend *backend, jb_time sent_at,
                      jb_time now, bool succeeded)
{
  jb_doubt_note_resent (pool->doubts->table, task, run, backend->instance,
                        sent_at, now, succeeded);
}

struct jb_doubt *
jb_pool_find_doubt (const struct jb_pool *pool, struct jb_task *task)
{
  char name[JB_TASK_NAME_SIZE];
  struct jb_doubt *doubt;

  if (!task->in_doubt)
    return NULL;
  doubt = jb_doubt_find (pool->doubts->table, jb_task_name (task, name));
  task->in_doubt = doubt != NULL;
  return doubt;
}

/* Return whether TASK may be started beside the starts of DOUBT.  The same
   number is the same run.  A backend server refuses these starts if their
   number is closed there, but after a restart it carries them out, and one
   with a new number as well: so a new one waits where restarts occur, and
   everywhere if the run has failed.  Others may not have run at all, and would
   be lost time for their jobs.  */
static bool
may_start_beside (const struct jb_pool *pool, const struct jb_task *task,
                  const struct jb_doubt *doubt, jb_time now)
{
  return (!doubt->run_closed && doubt->run >= task->run)
         || (!doubt->run_failed && !jb_pool_restarts_occur (pool, now));
}

bool
jb_pool_may_repeat (const struct jb_doubt *doubt, jb_time now)
{
  /* If none has been carried out by now, the task had better go elsewhere.  */
  if (now - doubt->first_sent_at >= MAX_REPEAT_TIME)
    return false;
  return doubt->sent < JB_MAX_QUICK_STARTS
         || (doubt->sent < JB_MAX_STARTS_IN_DOUBT
             && now - doubt->sent_at >= REPEAT_INTERVAL);
}

struct jb_backend *
jb_pool_choose_in_doubt (const struct jb_pool *pool, struct jb_task *task,
                         jb_time now)
{
  const struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);
  struct jb_backend *backend
      = doubt != NULL ? g_hash_table_lookup (pool->backends, doubt->instance)
                      : NULL;

  if (backend == NULL || !jb_pool_may_repeat (doubt, now)
      || !may_start_beside (pool, task, doubt, now)
      || !jb_pool_backend_is_usable (pool, backend, now))
    return NULL;
  return jb_place_choose (task, &backend, 1, NULL, now);
}

/* Return whether BACKEND has answered a command with a fencing token that is
   higher than that of the starts of DOUBT, and so refuses them as long as it
   doesn't restart.  */
static bool
is_barred (const struct jb_backend *backend, const struct jb_doubt *doubt)
{
  return doubt->sent_at < backend->fence_raised_at
         && backend->asked_at >= backend->fence_raised_at;
}

bool
jb_pool_try_renumber (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  const struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);
  struct jb_backend *backend
      = doubt != NULL ? g_hash_table_lookup (pool->backends, doubt->instance)
                      : NULL;

  if (doubt == NULL || (doubt->run == task->run && doubt->run_closed))
    return true;
  if (backend == NULL || jb_pool_restarts_occur (pool, now))
    return false;
  if (doubt->sent_at >= backend->fence_raised_at)
    {
      jb_pool_raise_fence (pool, backend, now);
      backend->probe_urgent = true;
      backend->next_probe = MIN (backend->next_probe, now);
    }
  return is_barred (backend, doubt);
}

void
jb_pool_close_run (struct jb_pool *pool, struct jb_task *task)
{
  struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);

  if (doubt != NULL && doubt->run == task->run)
    doubt->run_closed = true;
}

/* ---- reports of backend servers ---- */

void
jb_pool_run_listed (struct jb_pool *pool, struct jb_backend *backend,
                    const char *task, uint32_t run)
{
  if (jb_doubt_count (pool->doubts->table) > 0)
    count_settled (backend, jb_doubt_settle (pool->doubts->table, task, run,
                                             backend->instance));
}

/* If a start of the task NAME is in doubt, do not acknowledge end NUMBER on
   BACKEND before that is over.  */
static void
hold_end (struct jb_pool *pool, struct jb_backend *backend, const char *name,
          uint64_t number)
{
  struct held_end *held;

  if (jb_doubt_find (pool->doubts->table, name) == NULL)
    return;
  held = talloc_zero (pool->doubts, struct held_end);
  held->task = talloc_strdup (held, name);
  held->instance = talloc_strdup (held, backend->instance);
  held->incarnation = backend->incarnation;
  held->number = number;
  g_ptr_array_add (pool->doubts->held_ends, held);
  if (backend->held_from == 0 || number < backend->held_from)
    backend->held_from = number;
}

void
jb_pool_end_listed (struct jb_pool *pool, struct jb_backend *backend,
                    const struct jb_ended_run *ended_run)
{
  struct jb_task_ref ref;
  struct jb_job *job;
  struct jb_task_group *group;
  struct jb_doubt *doubt;

  jb_pool_run_listed (pool, backend, ended_run->task, ended_run->run);
  if (jb_doubt_count (pool->doubts->table) == 0
      || !jb_task_ref_parse (ended_run->task, &ref))
    return;
  doubt = jb_doubt_find (pool->doubts->table, ended_run->task);
  if (doubt != NULL && doubt->run == ended_run->run)
    {
      doubt->run_closed = true;
      doubt->run_failed = ended_run->outcome == JB_OUTCOME_FAILED;
    }
  if (ended_run->outcome != JB_OUTCOME_DONE
      && ended_run->outcome != JB_OUTCOME_FAILED)
    return;
  job = g_hash_table_lookup (pool->jobs, ref.id);
  group
      = job != NULL ? jb_job_find_group (job, ref.occurrence, ref.step) : NULL;
  if (group == NULL || !jb_task_group_step (group)->gang)
    {
      hold_end (pool, backend, ended_run->task, ended_run->number);
      return;
    }
  /* It is the end of all members.  */
  for (ref.index = 0; ref.index < group->task_count; ref.index++)
    {
      char name[JB_TASK_NAME_SIZE];

      hold_end (pool, backend, jb_task_ref_name (&ref, name),
                ended_run->number);
    }
}

uint64_t
jb_pool_ackable_end (const struct jb_backend *backend)
{
  uint64_t held_from = backend->held_from;

  /* An acknowledgement that is carried out late must not follow a start after
     a restart: it would drop the end of its run.  */
  if (backend->doubt_count > 0)
    held_from = backend->acked_end + 1;
  if (held_from != 0 && held_from <= backend->stored_end
      && backend->processed_end - held_from < MAX_HELD_ENDS)
    return held_from - 1;
  return backend->stored_end;
}

bool
jb_pool_holds_ends (const struct jb_backend *backend)
{
  return jb_pool_ackable_end (backend) < backend->stored_end;
}

/* ---- the end of doubt ---- */

struct visit
{
  struct jb_pool *pool;
  const char *address;
  const char *instance;
  jb_time now;
};

static bool
is_at_instance (void *data, struct jb_doubt *doubt)
{
  const struct visit *visit = data;

  return strcmp (doubt->instance, visit->instance) == 0;
}

static bool
is_at_address (void *data, struct jb_doubt *doubt)
{
  const struct visit *visit = data;
  const struct jb_backend *backend
      = g_hash_table_lookup (visit->pool->backends, doubt->instance);

  return backend != NULL && strcmp (backend->address, visit->address) == 0
         && !is_at_instance (data, doubt);
}

void
jb_pool_drop_doubts_at (struct jb_pool *pool, const char *address,
                        const char *instance)
{
  struct visit visit
      = { .pool = pool, .address = address, .instance = instance };

  jb_doubt_visit (pool->doubts->table, is_at_address, &visit);
}

void
jb_pool_drop_doubts (struct jb_pool *pool, const char *instance)
{
  struct visit visit = { .pool = pool, .instance = instance };

  jb_doubt_visit (pool->doubts->table, is_at_instance, &visit);
  pool->schedule_due = true;
}

/* Return whether BACKEND, the one of DOUBT, will be gone before it could
   restart once more: it drains, and has restarted since the start was sent and
   answered a command that bars that.  That it is only missing in the
   platform's list proves nothing: it may be cut off and carry out what it has
   received.  BACKEND is NULL if it isn't known.  */
static bool
is_leaving (const struct jb_backend *backend, const struct jb_doubt *doubt)
{
  return backend != NULL && backend->draining && is_barred (backend, doubt)
         && doubt->sent_at < backend->restart_seen_at;
}

/* Return the longest lease that a late start may get.  Its time is one of the
   clock of the incarnation that it was sent to, and far in the future for the
   next one.  */
static int64_t
longest_late_lease_ms (const struct jb_pool *pool, jb_time now)
{
  return jb_pool_restarts_occur (pool, now)
             ? pool->options.bounds->max_lease_ms
             : JB_RUN_LEASE_MS;
}

/* Log that DOUBT ends.  That BACKEND has answered after all its starts is the
   usual case.  */
static void
log_end (const struct jb_pool *pool, const struct jb_backend *backend,
         const struct jb_doubt *doubt, jb_time now, const char *reason)
{
  bool is_usual
      = backend != NULL && backend->asked_at >= jb_doubt_until (doubt);

  jb_log (pool->options.driver, is_usual ? JB_LEVEL_DEBUG : JB_LEVEL_INFO,
          "start-doubt-ended", "task", doubt->task, "run",
          jb_itoa (doubt->run), "backend", doubt->instance, "sent",
          jb_itoa (doubt->sent), "age_ms",
          jb_itoa ((now - doubt->sent_at) / JB_MS), "reason", reason, NULL);
}

/* Remove DOUBT if it is over, else count it at its backend server.  */
static bool
expire_doubt (void *data, struct jb_doubt *doubt)
{
  const struct visit *visit = data;
  struct jb_pool *pool = visit->pool;
  struct jb_backend *backend
      = g_hash_table_lookup (pool->backends, doubt->instance);

  jb_doubt_expire_starts (doubt, visit->now);
  if (doubt->is_queued && jb_doubt_sent_count (doubt) == 0)
    return false;
  if (jb_doubt_is_over (doubt, visit->now,
                        backend != NULL ? backend->asked_at : 0,
                        longest_late_lease_ms (pool, visit->now),
                        backend != NULL ? backend->lease : NULL))
    {
      log_end (pool, backend, doubt, visit->now,
               "its starts can't be carried out");
      return true;
    }
  if (is_leaving (backend, doubt))
    {
      log_end (pool, backend, doubt, visit->now,
               "its backend server is leaving");
      return true;
    }
  if (backend != NULL && jb_doubt_sent_count (doubt) > 0)
    backend->doubt_count++;
  return false;
}

/* Forget the held ends that may be acknowledged now, and set from which number
   on ends are held at each backend server.  */
static void
release_ends (struct jb_pool *pool)
{
  GPtrArray *held_ends = pool->doubts->held_ends;

  for (guint i = held_ends->len; i-- > 0;)
    {
      struct held_end *held = g_ptr_array_index (held_ends, i);
      struct jb_backend *backend
          = g_hash_table_lookup (pool->backends, held->instance);

      if (backend == NULL || backend->incarnation != held->incarnation
          || jb_doubt_find (pool->doubts->table, held->task) == NULL)
        talloc_free (g_ptr_array_remove_index_fast (held_ends, i));
      else if (backend->held_from == 0 || held->number < backend->held_from)
        backend->held_from = held->number;
    }
}

void
jb_pool_expire_doubts (struct jb_pool *pool, jb_time now)
{
  struct visit visit = { .pool = pool, .now = now };
  const GPtrArray *backends = jb_pool_list_backends (pool);

  for (guint i = 0; i < backends->len; i++)
    {
      struct jb_backend *backend = g_ptr_array_index (backends, i);

      backend->doubt_count = 0;
      backend->held_from = 0;
    }
  jb_doubt_visit (pool->doubts->table, expire_doubt, &visit);
  release_ends (pool);
}

/* ---- rows ---- */

static char *
row_key (TALLOC_CTX *mem, uint32_t generation, uint32_t number)
{
  return talloc_asprintf (mem, JB_KEY_PREFIX_DOUBTS "%010u.%010u", generation,
                          number);
}

static void
remember_row (struct jb_pool *pool, const char *key, jb_time now)
{
  struct doubt_row *row = talloc_zero (pool->doubts, struct doubt_row);

  row->key = talloc_strdup (row, key);
  row->until = now + JB_MAX_COMMAND_DELAY
               + jb_backend_lease_time (pool->options.bounds->max_lease_ms);
  g_ptr_array_add (pool->doubts->rows, row);
}

struct collection
{
  TALLOC_CTX *mem;
  struct jb_saved_doubts saved;
  uint32_t limit;
  jb_time sent_before; /* only starts that were sent before */
  bool is_incomplete;  /* others remain */
};

/* Add DOUBT to the row if it belongs there.  */
static bool
collect_doubt (void *data, struct jb_doubt *doubt)
{
  struct collection *collection = data;
  struct jb_saved_doubts *saved = &collection->saved;

  if (doubt->stored || jb_doubt_sent_count (doubt) == 0)
    return false;
  if (saved->count == collection->limit
      || doubt->sent_at >= collection->sent_before)
    {
      collection->is_incomplete = true;
      return false;
    }
  doubt->stored = true;
  saved->doubts[saved->count++] = jb_doubt_get_entry (collection->mem, doubt);
  return false;
}

static bool
mark_shared (void *data, struct jb_doubt *doubt)
{
  (void)data;
  doubt->shared = doubt->shared || doubt->stored;
  return false;
}

static void
handle_rows_written (void *data, jb_time now)
{
  struct jb_pool *pool = data;

  (void)now;
  if (--pool->doubts->writes_in_flight == 0)
    jb_doubt_visit (pool->doubts->table, mark_shared, NULL);
}

/* Move the keys of the rows that list nothing any more to REMOVED.  Return
   their number.  */
static uint32_t
take_expired_rows (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                   struct jb_row *removed, uint32_t limit)
{
  GPtrArray *rows = pool->doubts->rows;
  uint32_t count = 0;

  while (count < limit && rows->len > 0
         && now > ((struct doubt_row *)g_ptr_array_index (rows, 0))->until)
    {
      struct doubt_row *row = g_ptr_array_remove_index (rows, 0);

      removed[count++]
          = (struct jb_row){ .table = JB_HANDOVER_TABLE,
                             .partition = pool->partition,
                             .key = talloc_steal (mem, row->key) };
      talloc_free (row);
    }
  return count;
}

/* Queue the next row, of starts that were sent before SENT_BEFORE, and remove
   expired ones.  Return whether it lists all of the starts.  */
static bool
write_row (struct jb_pool *pool, jb_time now, jb_time sent_before)
{
  struct jb_pool_doubts *doubts = pool->doubts;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_row removed[JB_OWNERSHIP_MAX_WRITE_ROWS];
  struct collection collection = { .mem = scratch,
                                   .limit = jb_pool_doubts_per_row (pool),
                                   .sent_before = sent_before };
  struct jb_row row
      = { .table = JB_HANDOVER_TABLE, .partition = pool->partition };
  uint32_t removed_count = take_expired_rows (pool, scratch, now, removed,
                                              JB_OWNERSHIP_MAX_WRITE_ROWS - 1);

  collection.saved.doubts
      = talloc_array (scratch, struct jb_doubt_entry, collection.limit);
  jb_doubt_visit (doubts->table, collect_doubt, &collection);
  if (collection.saved.count > 0)
    {
      row.key = row_key (scratch, jb_ownership_generation (pool->ownership),
                         ++doubts->row_number);
      row.value = ba_codec_encode (scratch, jb_saved_doubts_serialize,
                                   &collection.saved);
      remember_row (pool, row.key, now);
    }
  if (collection.saved.count + removed_count > 0)
    {
      if (doubts->writes_in_flight++ == 0)
        doubts->write_since = now;
      jb_ownership_write (pool->ownership, now, &row,
                          collection.saved.count > 0, removed, removed_count,
                          handle_rows_written, pool);
    }
  talloc_free (scratch);
  return !collection.is_incomplete;
}

jb_time
jb_pool_write_doubts (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_doubts *doubts = pool->doubts;
  const struct doubt_row *oldest
      = doubts->rows->len > 0 ? g_ptr_array_index (doubts->rows, 0) : NULL;

  if (doubts->writes_in_flight > 0
      || (jb_doubt_count (doubts->table) == 0
          && (oldest == NULL || now <= oldest->until))
      || jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return JB_NEVER;
  if (now < doubts->next_row)
    return doubts->next_row;
  doubts->next_row = now + ROW_INTERVAL;
  return write_row (pool, now, now - JB_STORE_DOUBT_AFTER) ? JB_NEVER
                                                           : doubts->next_row;
}

jb_time
jb_pool_doubt_row_pending_since (const struct jb_pool *pool)
{
  return pool->doubts->writes_in_flight > 0 ? pool->doubts->write_since : 0;
}

struct jb_doubt_table *
jb_pool_doubt_table (const struct jb_pool *pool)
{
  return pool->doubts->table;
}

static bool
mark_unstored (void *data, struct jb_doubt *doubt)
{
  (void)data;
  doubt->stored = false;
  return false;
}

void
jb_pool_write_all_doubts (struct jb_pool *pool, jb_time now)
{
  GPtrArray *rows = pool->doubts->rows;
  guint old_count = rows->len;
  bool is_complete = false;

  for (guint i = 0; i < old_count; i++)
    ((struct doubt_row *)g_ptr_array_index (rows, i))->until = 0;
  jb_doubt_visit (pool->doubts->table, mark_unstored, NULL);
  /* Each transaction adds one row and removes some of the old ones, which are
     the first.  */
  while (!is_complete
         || (rows->len > 0
             && ((struct doubt_row *)g_ptr_array_index (rows, 0))->until == 0))
    is_complete = write_row (pool, now, JB_NEVER);
}

void
jb_pool_read_saved_doubts (struct jb_pool *pool, TALLOC_CTX *mem,
                           const struct jb_row *row,
                           struct jb_saved_doubts *saved)
{
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, row->value);
  jb_saved_doubts_serialize (&io, saved);
  if (ba_codec_is_complete (&io))
    return;
  jb_log (pool->options.driver, JB_LEVEL_ERROR, "row-unreadable", "table",
          JB_HANDOVER_TABLE, "pool", pool->options.name, "key", row->key,
          NULL);
  saved->count = 0;
}

struct jb_doubt *
jb_pool_add_left_start (struct jb_pool *pool,
                        const struct jb_doubt_entry *entry, jb_time sent_at)
{
  struct jb_doubt_table *table = pool->doubts->table;
  struct jb_doubt *doubt = jb_doubt_find (table, entry->task);

  /* A later owner has sent a start with a higher number.  */
  if (is_disabled (pool) || (doubt != NULL && doubt->run > entry->run))
    return NULL;
  while (doubt == NULL || doubt->run != entry->run
         || strcmp (doubt->instance, entry->instance) != 0
         || doubt->sent < MIN (entry->sent, JB_MAX_STARTS_IN_DOUBT))
    doubt = jb_doubt_add (table, entry->task, entry->run, entry->instance,
                          sent_at);
  return doubt;
}

void
jb_pool_load_doubts (struct jb_pool *pool, const struct jb_row *row,
                     jb_time now)
{
  /* The former owner may have sent the starts again since it wrote the row. */
  jb_time sent_at = MAX (now, pool->predecessor_until);
  struct jb_saved_doubts saved = { 0 };
  TALLOC_CTX *scratch = talloc_new (NULL);

  jb_pool_read_saved_doubts (pool, scratch, row, &saved);
  remember_row (pool, row->key, sent_at);
  for (uint32_t i = 0; i < saved.count; i++)
    {
      struct jb_doubt *doubt
          = jb_pool_add_left_start (pool, &saved.doubts[i], sent_at);

      if (doubt == NULL)
        continue;
      /* That a run is listed doesn't tell which start it is.  */
      doubt->succeeded = true;
      doubt->stored = true;
      doubt->shared = true;
    }
  talloc_free (scratch);
}

/* Return whether DOUBT, of a former owner, has one start, and no other one can
   have led to a run.  */
static bool
is_only_start (const struct jb_pool *pool, const struct jb_doubt *doubt)
{
  return pool->stage != JB_STAGE_ACTIVE && doubt->sent == 1
         && !doubt->is_queued && !doubt->succeeded && !doubt->is_ambiguous;
}

/* Mark the task of DOUBT, if its job goes on.  Return whether the only start
   of DOUBT was carried out: its task is done.  */
static bool
mark_task (void *data, struct jb_doubt *doubt)
{
  struct jb_pool *pool = data;
  struct jb_task *task = jb_pool_find_left_task (pool, doubt->task);
  const struct jb_job *job;
  struct jb_task_ref ref;

  if (task != NULL)
    {
      task->in_doubt = true;
      jb_job_note_change (task->group->job);
      return task->done && is_only_start (pool, doubt);
    }
  job = jb_task_ref_parse (doubt->task, &ref)
            ? g_hash_table_lookup (pool->jobs, ref.id)
            : NULL;
  return job != NULL && job->state == JB_JOB_COMPLETED
         && is_only_start (pool, doubt);
}

/* Return whether all that ENTRY tells is in DOUBT, of the same task, or
   NULL.  */
static bool
is_known (const struct jb_doubt *doubt, const struct jb_doubt_entry *entry)
{
  return doubt != NULL
         && (doubt->run > entry->run
             || (doubt->run == entry->run
                 && strcmp (doubt->instance, entry->instance) == 0
                 && doubt->sent >= MIN (entry->sent, JB_MAX_STARTS_IN_DOUBT)));
}

bool
jb_pool_take_up_start (struct jb_pool *pool, jb_time now,
                       const struct jb_doubt_entry *entry, jb_time sent_at)
{
  struct jb_doubt_table *table = pool->doubts->table;
  struct visit visit = { .pool = pool, .now = now };
  struct jb_doubt *doubt = jb_doubt_find (table, entry->task);
  struct jb_backend *backend
      = g_hash_table_lookup (pool->backends, entry->instance);
  bool is_counted = doubt != NULL && backend != NULL
                    && jb_doubt_sent_count (doubt) > 0
                    && strcmp (doubt->instance, entry->instance) == 0;

  if (is_known (doubt, entry))
    return false;
  doubt = jb_pool_add_left_start (pool, entry, sent_at);
  if (doubt == NULL)
    return false;
  /* expire_doubt counts it.  */
  if (is_counted && backend->doubt_count > 0)
    backend->doubt_count--;
  if (mark_task (pool, doubt) || expire_doubt (&visit, doubt))
    {
      jb_doubt_remove (table, doubt);
      return false;
    }
  return true;
}

void
jb_pool_log_doubts (const struct jb_pool *pool)
{
  if (jb_doubt_count (pool->doubts->table) > 0)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "starts-in-doubt", "pool",
            pool->options.name, "tasks",
            jb_itoa (jb_doubt_count (pool->doubts->table)), NULL);
}

void
jb_pool_mark_tasks_in_doubt (struct jb_pool *pool, jb_time now)
{
  jb_pool_load_peer_doubts (pool);
  jb_doubt_visit (pool->doubts->table, mark_task, pool);
  jb_pool_expire_doubts (pool, now);
  jb_pool_log_doubts (pool);
}
