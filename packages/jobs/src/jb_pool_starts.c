/* Starts that wait until a successor would know of them.

   A start may be carried out long after its owner has ended, so a successor
   must know of each one.  Before it is sent, a witness is told, which is
   another entry host.  Each list for it replaces the one before, and has the
   starts to be sent, and those that were sent and neither answered nor listed
   in the rows of starts in doubt (jb_pool_doubt.c).  If the witness has not
   answered for CONFIRMED_TIME, a start waits for its answer.  A new owner asks
   all hosts; a witness that was asked keeps nothing of former owners any more.
   The name of the witness is stored (jb_pool_witness.c), so that the new owner
   knows whose answer it needs.

   If the witness does not answer, rows of the store take its place for a
   while.  Since a write of the owner fails after another host has claimed the
   pool, an owner that doesn't know of the claim can only send what its
   successor has read.

   While the store does not answer, the other hosts are told of the start
   first.  It is sent when their heartbeats show that they have heard this host
   after that, and so know of the start, and that none has claimed the pool.
   If they have not heard it for a while before, they are told again.

   Expected load: while many tasks start, a message of up to 2 KB for each
   scheduling cycle, or a row each 20 ms.  A start waits up to 10 ms, with the
   store 12 to 25 ms, and without both 200 to 400 ms, for two heartbeats.  */

#include "jb_pool_internal.h"

#include <string.h>

/* Time between two lists that ask the witness for a reply, and time for it. */
#define REPLY_INTERVAL (20 * JB_MS)
#define WITNESS_TIMEOUT (40 * JB_MS)

/* How long after a list that the witness has answered it is taken to receive
   what it is sent.  */
#define CONFIRMED_TIME (80 * JB_MS)

/* How long the store is used after the witness has not answered.  */
#define WITNESS_BACKOFF (1000 * JB_MS)

/* Time between two writes, so that one lists several starts.  */
#define WRITE_INTERVAL (20 * JB_MS)

/* Time between two checks of whether all starts of the rows have been
   answered, and from a list to one that names less because commands have been
   answered.  A successor would take what is still named for open.  */
#define REMOVAL_CHECK_INTERVAL (20 * JB_MS)
#define SHRINK_DELAY (5 * JB_MS)

/* How much later than a message the last heartbeat that another host has
   heard must be sent: the time of that is known up to twice the latency.  */
#define HEARTBEAT_MARGIN (40 * JB_MS)

/* Time between two checks of whether the other hosts have heard this one.  */
#define CONFIRMATION_INTERVAL (20 * JB_MS)

enum
{
  MAX_ROWS = 20
};

struct queued_start
{
  struct jb_task_ref ref;
  char *instance;
  uint32_t run;
  jb_time sent_to_all_at; /* when all other hosts were told of it; 0: never */
};

struct jb_pool_starts
{
  GPtrArray *queued;   /* struct queued_start: neither told nor in a row yet */
  GPtrArray *told;     /* those that the witness is told of */
  uint64_t witness;    /* that was told last; 0: none */
  uint64_t serial;     /* of the last list */
  uint32_t told_count; /* starts and grants in that */
  jb_time told_at;
  jb_time waiting_since; /* of the first start in `told' */
  bool has_changed;      /* commands have been answered since the last check */
  bool lacks_lease;      /* a list is due because of a long lease */
  /* The last list that asked for a reply, and when the last such list was
     sent that was answered; 0: none.  */
  uint64_t asked_serial;
  jb_time asked_at;
  jb_time confirmed_at;
  jb_time no_witness_until; /* it has not answered */
  GPtrArray *writing;       /* those in the rows that are being written */
  bool write_in_flight;
  jb_time write_since; /* when that write was queued */
  uint32_t row_count;  /* rows that are stored or being written */
};

static int
starts_destroy (struct jb_pool_starts *starts)
{
  g_ptr_array_free (starts->queued, TRUE);
  g_ptr_array_free (starts->told, TRUE);
  g_ptr_array_free (starts->writing, TRUE);
  return 0;
}

struct jb_pool_starts *
jb_pool_starts_new (TALLOC_CTX *mem)
{
  struct jb_pool_starts *starts = talloc_zero (mem, struct jb_pool_starts);

  starts->queued = g_ptr_array_new ();
  starts->told = g_ptr_array_new ();
  starts->writing = g_ptr_array_new ();
  talloc_set_destructor (starts, starts_destroy);
  return starts;
}

void
jb_pool_queue_start (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  struct queued_start *start;
  char name[JB_TASK_NAME_SIZE];

  if (!jb_pool_begin_start (pool, task, now))
    {
      jb_pool_send_start (pool, task, now);
      return;
    }
  start = talloc_zero (pool->starts, struct queued_start);
  jb_task_ref_parse (jb_task_name (task, name), &start->ref);
  start->instance = talloc_strdup (start, task->backend->instance);
  start->run = task->run;
  g_ptr_array_add (pool->starts->queued, start);
}

uint32_t
jb_pool_count_queued_starts (const struct jb_pool *pool)
{
  return pool->starts->queued->len;
}

/* ---- sending ---- */

/* Send START, or give its task free again if it can't be sent now.  */
static void
send_start (struct jb_pool *pool, const struct queued_start *start,
            jb_time now)
{
  struct jb_backend *backend
      = g_hash_table_lookup (pool->backends, start->instance);
  struct jb_task *task
      = backend != NULL
            ? jb_pool_find_run (pool, &start->ref, backend, start->run)
            : NULL;
  const struct jb_doubt *doubt
      = task != NULL ? jb_pool_find_doubt (pool, task) : NULL;

  if (doubt == NULL || !doubt->is_queued || doubt->run != start->run
      || strcmp (doubt->instance, start->instance) != 0)
    {
      /* What was known of the start has been dropped with its backend
         server.  */
      if (task != NULL && doubt == NULL && task->state == JB_RUN_STARTING)
        jb_pool_clear_run (pool, task, now);
      return;
    }
  if (task->state != JB_RUN_STARTING)
    jb_pool_cancel_start (pool, task);
  else if (task->done || task->group->job->ended_at != 0
           || !jb_pool_may_command (pool, now)
           || !jb_pool_backend_is_usable (pool, backend, now))
    jb_pool_clear_run (pool, task, now);
  else
    jb_pool_send_start (pool, task, now);
}

/* Send all of STARTS, and clear the array.  */
static void
send_starts (struct jb_pool *pool, GPtrArray *starts, jb_time now)
{
  for (guint i = 0; i < starts->len; i++)
    {
      send_start (pool, g_ptr_array_index (starts, i), now);
      talloc_free (g_ptr_array_index (starts, i));
    }
  g_ptr_array_set_size (starts, 0);
}

/* ---- rows ---- */

static void
handle_rows_written (void *data, jb_time now)
{
  struct jb_pool *pool = data;

  pool->starts->write_in_flight = false;
  jb_pool_note_witness_stored (pool);
  send_starts (pool, pool->starts->writing, now);
}

struct collection
{
  TALLOC_CTX *mem;
  struct jb_saved_doubts saved;
  uint32_t limit;
};

/* Add DOUBT to the rows if no other row lists it.  */
static bool
collect_doubt (void *data, struct jb_doubt *doubt)
{
  struct collection *collection = data;
  struct jb_saved_doubts *saved = &collection->saved;

  if (doubt->shared || saved->count == collection->limit)
    return false;
  saved->doubts[saved->count++] = jb_doubt_get_entry (collection->mem, doubt);
  return false;
}

static struct jb_row
row_named (struct jb_pool *pool, TALLOC_CTX *mem, uint32_t number)
{
  return (struct jb_row){ .table = JB_HANDOVER_TABLE,
                          .partition = pool->partition,
                          .key = talloc_asprintf (
                              mem, JB_KEY_PREFIX_STARTS "%02u", number) };
}

/* Replace the rows by those that list what is to be sent or was sent and is
   not in other rows, and remove those that are not needed any more.  With them
   the name of the witness is replaced, if that is due: what only the former
   one keeps is in the rows.  */
static void
write_rows (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_starts *starts = pool->starts;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_row set[MAX_ROWS + 1];
  struct jb_row removed[MAX_ROWS];
  uint32_t per_row = jb_pool_doubts_per_row (pool);
  struct collection collection
      = { .mem = scratch, .limit = per_row * MAX_ROWS };
  GPtrArray *emptied = starts->writing;
  uint32_t set_count = 0;
  uint32_t removed_count = 0;

  collection.saved.doubts
      = talloc_array (scratch, struct jb_doubt_entry, collection.limit);
  jb_doubt_visit (jb_pool_doubt_table (pool), collect_doubt, &collection);
  for (uint32_t first = 0; first < collection.saved.count; first += per_row)
    {
      struct jb_saved_doubts part
          = { .count = MIN (collection.saved.count - first, per_row),
              .doubts = &collection.saved.doubts[first] };

      set[set_count] = row_named (pool, scratch, set_count);
      set[set_count++].value
          = ba_codec_encode (scratch, jb_saved_doubts_serialize, &part);
    }
  for (uint32_t i = set_count; i < starts->row_count; i++)
    removed[removed_count++] = row_named (pool, scratch, i);
  starts->row_count = set_count;
  if (jb_pool_witness_row_is_due (pool))
    jb_pool_encode_witness_row (pool, scratch, &set[set_count++]);
  starts->writing = starts->queued;
  starts->queued = emptied;
  starts->write_in_flight = true;
  starts->write_since = now;
  jb_ownership_write (pool->ownership, now, set, set_count, removed,
                      removed_count, handle_rows_written, pool);
  talloc_free (scratch);
}

static bool
count_unshared (void *data, struct jb_doubt *doubt)
{
  *(uint32_t *)data += !doubt->shared;
  return false;
}

/* Return whether each start has been answered or is listed in another row.  */
static bool
is_empty (const struct jb_pool *pool)
{
  uint32_t count = 0;

  jb_doubt_visit (jb_pool_doubt_table (pool), count_unshared, &count);
  return count == 0;
}

/* ---- the witness ---- */

static uint32_t
sum_grants (const struct jb_open_grants *grants, uint32_t count)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += grants[i].grants;
  return sum;
}

/* Return whether the next list asks for a reply: the last one that did was
   answered a while ago, or won't be.  */
static bool
witness_may_be_asked (const struct jb_pool_starts *starts, jb_time now)
{
  bool is_answered = starts->confirmed_at == starts->asked_at;

  return now >= starts->asked_at
                    + (is_answered ? REPLY_INTERVAL : WITNESS_TIMEOUT);
}

/* Tell the witness what is to be sent or was sent and is in no row, with the
   grants to the backend servers DUE, which may be NULL.  Return false if there
   is none, or there is too much for a message.  */
static bool
tell_witness (struct jb_pool *pool, jb_time now, const GPtrArray *due)
{
  struct jb_pool_starts *starts = pool->starts;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct collection collection
      = { .mem = scratch, .limit = JB_MSG_MAX_DOUBTS };
  struct jb_msg_starts message
      = { .pool = (char *)pool->options.name,
          .generation = jb_ownership_generation (pool->ownership),
          .serial = starts->serial + 1 };
  uint64_t witness = jb_pool_witness (pool);

  collection.saved.doubts
      = talloc_array (scratch, struct jb_doubt_entry, collection.limit);
  jb_doubt_visit (jb_pool_doubt_table (pool), collect_doubt, &collection);
  message.count = collection.saved.count;
  message.entries = collection.saved.doubts;
  message.grants
      = talloc_array (scratch, struct jb_open_grants, JB_MSG_MAX_GRANTS);
  message.grant_count = jb_pool_list_open_grants (
      pool, now, due, message.grants, JB_MSG_MAX_GRANTS);
  message.wants_reply
      = message.count > 0
        && (starts->asked_at == 0 || witness_may_be_asked (starts, now));
  if (message.count == collection.limit)
    witness = 0;
  if (witness != 0)
    pool->options.tell_starts (pool->options.data, witness, &message);
  if (witness != starts->witness)
    {
      starts->confirmed_at = 0;
      starts->asked_at = 0;
    }
  starts->witness = witness;
  starts->lacks_lease = false;
  starts->serial++;
  starts->told_count
      = message.count + sum_grants (message.grants, message.grant_count);
  starts->told_at = now;
  if (message.wants_reply)
    {
      starts->asked_at = now;
      starts->asked_serial = starts->serial;
    }
  talloc_free (scratch);
  return witness != 0;
}

/* Return whether the store answers, as far as this owner knows.  */
static bool
store_answers (const struct jb_pool *pool, jb_time now)
{
  return jb_ownership_failing_since (pool->ownership) == 0
         && !(pool->starts->write_in_flight
              && now >= pool->starts->write_since + JB_STORE_SILENCE);
}

/* Move all of FROM to the end of TO.  */
static void
move_starts (GPtrArray *to, GPtrArray *from)
{
  for (guint i = 0; i < from->len; i++)
    g_ptr_array_add (to, g_ptr_array_index (from, i));
  g_ptr_array_set_size (from, 0);
}

/* Return whether the witness can be told now.  */
static bool
has_witness (const struct jb_pool *pool, jb_time now)
{
  return jb_pool_witness (pool) != 0 && now >= pool->starts->no_witness_until
         && store_answers (pool, now);
}

/* Return whether starts that the witness knows of may be sent.  */
static bool
uses_witness (const struct jb_pool *pool, jb_time now)
{
  return has_witness (pool, now) && jb_pool_witness_is_stored (pool);
}

/* Return whether the last list names more than is open now.  */
static bool
is_list_too_long (struct jb_pool *pool, jb_time now)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_open_grants *grants
      = talloc_array (scratch, struct jb_open_grants, JB_MSG_MAX_GRANTS);
  uint32_t count
      = jb_pool_list_open_grants (pool, now, NULL, grants, JB_MSG_MAX_GRANTS);

  count = sum_grants (grants, count);
  jb_doubt_visit (jb_pool_doubt_table (pool), count_unshared, &count);
  talloc_free (scratch);
  return count < pool->starts->told_count;
}

void
jb_pool_tell_grants (struct jb_pool *pool, jb_time now, const GPtrArray *due)
{
  if (has_witness (pool, now))
    tell_witness (pool, now, due);
}

static bool
is_witness_confirmed (const struct jb_pool_starts *starts, jb_time now)
{
  return starts->confirmed_at != 0
         && now < starts->confirmed_at + CONFIRMED_TIME;
}

/* Tell the witness of the starts that wait, and send them if it has answered a
   short time ago.  Return when to call this next, or JB_NEVER.  */
static jb_time
run_witness (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_starts *starts = pool->starts;

  if (starts->told->len > 0 && now >= starts->waiting_since + WITNESS_TIMEOUT)
    {
      starts->no_witness_until = now + WITNESS_BACKOFF;
      move_starts (starts->queued, starts->told);
    }
  if (!uses_witness (pool, now))
    return starts->told->len > 0 ? starts->waiting_since + WITNESS_TIMEOUT
                                 : JB_NEVER;
  if (starts->queued->len > 0)
    {
      if (!tell_witness (pool, now, NULL))
        {
          starts->no_witness_until = now + WITNESS_BACKOFF;
          return JB_NEVER;
        }
      if (starts->told->len == 0)
        starts->waiting_since = now;
      move_starts (starts->told, starts->queued);
      if (is_witness_confirmed (starts, now))
        send_starts (pool, starts->told, now);
    }
  if (starts->lacks_lease)
    tell_witness (pool, now, NULL);
  if (starts->told->len > 0)
    return starts->waiting_since + WITNESS_TIMEOUT;
  if (starts->told_count == 0 || !starts->has_changed)
    return JB_NEVER;
  if (now < starts->told_at + SHRINK_DELAY)
    return starts->told_at + SHRINK_DELAY;
  starts->has_changed = false;
  if (is_list_too_long (pool, now))
    tell_witness (pool, now, NULL);
  return JB_NEVER;
}

void
jb_pool_note_list_changed (struct jb_pool *pool)
{
  pool->starts->has_changed = true;
}

void
jb_pool_note_lease_unlisted (struct jb_pool *pool)
{
  pool->starts->serial++;
  pool->starts->lacks_lease = true;
}

uint64_t
jb_pool_list_serial (const struct jb_pool *pool)
{
  return pool->starts->serial;
}

void
jb_pool_handle_starts_kept (struct jb_pool *pool, jb_time now, uint64_t from,
                            const struct jb_msg_starts *kept)
{
  struct jb_pool_starts *starts = pool->starts;

  if (kept->generation != jb_ownership_generation (pool->ownership)
      || from != starts->witness || kept->serial != starts->asked_serial)
    return;
  starts->confirmed_at = starts->asked_at;
  /* Later lists are on their way behind the one that was answered.  */
  if (is_witness_confirmed (starts, now))
    send_starts (pool, starts->told, now);
}

/* ---- without the store ---- */

/* Return from when on starts are sent without the store: since when it has not
   answered, or JB_NEVER while it does.  */
static jb_time
sent_without_store_from (const struct jb_pool *pool)
{
  const struct jb_pool_starts *starts = pool->starts;

  if (pool->options.send_doubts == NULL)
    return JB_NEVER;
  if (jb_ownership_failing_since (pool->ownership) != 0)
    return 0;
  return starts->write_in_flight ? starts->write_since + JB_STORE_SILENCE
                                 : JB_NEVER;
}

/* Send those of STARTS that all other hosts know of, and remove them.  Return
   whether the others were not told of all that remain.  */
static bool
send_confirmed (struct jb_pool *pool, GPtrArray *starts, jb_time now)
{
  bool tells = false;

  for (guint i = 0; i < starts->len;)
    {
      struct queued_start *start = g_ptr_array_index (starts, i);

      tells = tells || start->sent_to_all_at == 0;
      if (start->sent_to_all_at == 0
          || pool->unclaimed_until < start->sent_to_all_at + HEARTBEAT_MARGIN)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (starts, i);
      send_start (pool, start, now);
      talloc_free (start);
    }
  return tells;
}

static void
note_told (const GPtrArray *starts, jb_time now)
{
  for (guint i = 0; i < starts->len; i++)
    {
      struct queued_start *start = g_ptr_array_index (starts, i);

      if (start->sent_to_all_at == 0)
        start->sent_to_all_at = now;
    }
}

static void
note_untold (const GPtrArray *starts)
{
  for (guint i = 0; i < starts->len; i++)
    {
      struct queued_start *start = g_ptr_array_index (starts, i);

      start->sent_to_all_at = 0;
    }
}

void
jb_pool_repeat_queued_starts (struct jb_pool *pool)
{
  note_untold (pool->starts->writing);
  note_untold (pool->starts->queued);
}

/* Tell the other hosts of the starts that wait, and send those that they know
   of.  Return when to do that next, or JB_NEVER.  */
static jb_time
send_without_store (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_starts *starts = pool->starts;
  bool tells_writing = send_confirmed (pool, starts->writing, now);
  bool tells_queued = send_confirmed (pool, starts->queued, now);

  if ((tells_writing || tells_queued) && now >= pool->next_doubt_message)
    {
      jb_pool_send_all_doubts (pool, now);
      note_told (starts->writing, now);
      note_told (starts->queued, now);
    }
  return starts->queued->len + starts->writing->len > 0
             ? now + CONFIRMATION_INTERVAL
             : JB_NEVER;
}

jb_time
jb_pool_run_starts (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_starts *starts = pool->starts;
  jb_time next_write = starts->write_since + WRITE_INTERVAL;
  jb_time without_store_from = sent_without_store_from (pool);
  jb_time due;

  if (jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return JB_NEVER;
  if (pool->stage >= JB_STAGE_SCANNING && now >= starts->no_witness_until)
    jb_pool_update_witness (pool, now, true);
  due = run_witness (pool, now);
  /* A successor does not need one that takes no part: all is in rows then.  */
  if (now < starts->no_witness_until)
    jb_pool_update_witness (pool, now, false);
  if (uses_witness (pool, now) && starts->queued->len > 0)
    return due;
  if (!starts->write_in_flight
      && (starts->queued->len > 0 || jb_pool_witness_row_is_due (pool)))
    {
      if (now < next_write)
        return MIN (due, next_write);
      write_rows (pool, now);
    }
  else if (!starts->write_in_flight && starts->row_count > 0)
    {
      if (is_empty (pool))
        write_rows (pool, now);
      else
        due = MIN (due, now + REMOVAL_CHECK_INTERVAL);
    }
  if (now < without_store_from)
    return MIN (due, without_store_from);
  return MIN (due, send_without_store (pool, now));
}

void
jb_pool_cancel_queued_starts (struct jb_pool *pool)
{
  GPtrArray *arrays[]
      = { pool->starts->queued, pool->starts->told, pool->starts->writing };

  for (size_t i = 0; i < G_N_ELEMENTS (arrays); i++)
    {
      for (guint j = 0; j < arrays[i]->len; j++)
        {
          struct queued_start *start = g_ptr_array_index (arrays[i], j);
          struct jb_job *job = g_hash_table_lookup (pool->jobs, start->ref.id);
          struct jb_task *task
              = job != NULL ? jb_job_find_task (job, &start->ref) : NULL;

          if (task != NULL)
            jb_pool_cancel_start (pool, task);
          talloc_free (start);
        }
      g_ptr_array_set_size (arrays[i], 0);
    }
}

void
jb_pool_remove_start_rows (struct jb_pool *pool, jb_time now)
{
  if (pool->starts->row_count > 0 && is_empty (pool))
    write_rows (pool, now);
}

void
jb_pool_forget_told_starts (struct jb_pool *pool, jb_time now)
{
  if (pool->starts->told_count > 0 && is_empty (pool))
    tell_witness (pool, now, NULL);
}

/* ---- what a former owner has left ---- */

bool
jb_pool_handle_left_starts (struct jb_pool *pool, jb_time now,
                            const struct jb_msg_starts *starts)
{
  /* The former owner may send them again until then.  */
  jb_time sent_at = MAX (now, pool->predecessor_until);
  bool is_changed = false;

  if (starts->generation > jb_ownership_generation (pool->ownership))
    {
      jb_ownership_verify (pool->ownership, now);
      return false;
    }
  if (starts->generation == jb_ownership_generation (pool->ownership)
      || pool->stage == JB_STAGE_NOT_OWNED)
    return true;
  jb_pool_add_left_grants (pool, now, starts);
  for (uint32_t i = 0; i < starts->count; i++)
    if (pool->stage < JB_STAGE_SCANNING)
      jb_pool_add_left_start (pool, &starts->entries[i], sent_at);
    else if (jb_pool_take_up_start (pool, now, &starts->entries[i], sent_at))
      is_changed = true;
  jb_log (pool->options.driver, JB_LEVEL_INFO, "starts-told", "pool",
          pool->options.name, "tasks", jb_itoa (starts->count), "backends",
          jb_itoa (starts->grant_count), "generation",
          jb_itoa (starts->generation), NULL);
  if (is_changed)
    jb_pool_log_doubts (pool);
  return true;
}

void
jb_pool_load_starts (struct jb_pool *pool, const struct jb_row *row,
                     jb_time now)
{
  struct jb_saved_doubts saved = { 0 };
  TALLOC_CTX *scratch = talloc_new (NULL);

  pool->starts->row_count++;
  jb_pool_read_saved_doubts (pool, scratch, row, &saved);
  for (uint32_t i = 0; i < saved.count; i++)
    jb_pool_add_left_start (pool, &saved.doubts[i],
                            MAX (now, pool->predecessor_until));
  talloc_free (scratch);
}
