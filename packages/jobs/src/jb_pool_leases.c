/* Leases that may still be granted late, by commands of a former owner.

   A command with a lease that is not answered may be carried out up to
   JB_MAX_COMMAND_DELAY later, and its lease may count from then.  So an owner
   stores the names of the backend servers that it has sent such commands to,
   in one row, with how many; the witness of its starts (jb_pool_starts.c) is
   told of them before they are sent.  A successor that finds one of them
   silent waits for the leases of these commands, one after the other, before
   it starts the tasks that may run there.  All other tasks start as after any
   takeover.  That the platform doesn't list a backend server ends no wait: it
   may be cut off and carry out what it has received.

   A backend server that has restarted under its name may have a lease that is
   longer than those that owners ask for: a command that was computed for the
   clock of its previous incarnation asks for a time far ahead on the new one,
   and gets the longest lease that the platform allows.  Its owner knows when
   it sees the restart.  Long leases are passed on in the same way.

   Expected load: no row and no entry in most pools; while many commands are
   late, all of 85 backend servers, with a row of 2 KB each 10 s.  After a
   restart an entry for a few seconds.  */

#include "jb_pool_internal.h"

#include <string.h>

/* Time between two checks, so that one row lists several new backend servers,
   and between two that only leave some out.  */
#define ROW_INTERVAL (250 * JB_MS)

/* Time after which a command with a lease counts as unanswered.  */
#define LATE_AFTER (25 * JB_MS)
#define SHRINK_INTERVAL (10 * JB_SECOND)

enum
{
  MAX_LATE_BACKENDS = 1000 /* in a row; about 24 KB */
};

/* A backend server that may grant a lease late.  */
struct late_backend
{
  char *instance;
  uint32_t grants; /* commands without an answer */
  jb_time until;   /* when their leases have expired, however late they are */
  /* When the long lease that it may have expires; 0: it has none.  */
  jb_time long_until;
  /* If a former owner has sent some: until when they may have extended a lease
     that it had confirmed, else 0.  */
  jb_time held_until;
  /* In the last row that was queued.  */
  uint32_t stored_grants;
  jb_time stored_long_until;
};

struct jb_pool_leases
{
  GHashTable *late;      /* instance -> struct late_backend */
  uint32_t stored_count; /* in the row; 0: there is no row */
  bool write_in_flight;
  jb_time next_check;
  jb_time written_at;
  bool holds_tasks; /* some wait */
  /* Of the predecessor: of its newest list that a witness has told, and of the
     last one before its row; 0: there is none.  */
  uint64_t list_serial;
  uint64_t row_serial;
};

struct saved_leases
{
  uint64_t list_serial; /* of the owner's last list for its witness */
  uint32_t count;
  struct jb_open_grants *backends;
};

static void
serialize_saved_leases (struct ba_codec *io, struct saved_leases *saved)
{
  ba_codec_u64 (io, &saved->list_serial);
  ba_codec_array (io, saved->backends, saved->count, MAX_LATE_BACKENDS,
                  jb_open_grants_serialize);
}

static int
leases_destroy (struct jb_pool_leases *leases)
{
  g_hash_table_destroy (leases->late);
  return 0;
}

struct jb_pool_leases *
jb_pool_leases_new (TALLOC_CTX *mem)
{
  struct jb_pool_leases *leases = talloc_zero (mem, struct jb_pool_leases);

  leases->late = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (leases, leases_destroy);
  return leases;
}

/* ---- the row ---- */

/* Return the entry of INSTANCE, a new one if there was none, with GRANTS whose
   leases have expired at UNTIL.  */
static struct late_backend *
add_late_backend (struct jb_pool_leases *leases, const char *instance,
                  uint32_t grants, jb_time until)
{
  struct late_backend *late = g_hash_table_lookup (leases->late, instance);

  if (late == NULL)
    {
      late = talloc_zero (leases, struct late_backend);
      late->instance = talloc_strdup (late, instance);
      g_hash_table_insert (leases->late, late->instance, late);
    }
  late->grants = MAX (late->grants, grants);
  late->until = MAX (late->until, until);
  return late;
}

/* Return the number of full leases that are as long as all grants to BACKEND
   without an answer that were sent before SENT_BEFORE, rounded up except for
   the margins of single ones.  */
static uint32_t
count_open_grants (const struct jb_backend *backend, jb_time now,
                   jb_time sent_before)
{
  jb_time full = jb_backend_lease_time (JB_RUN_LEASE_MS);
  jb_time margins = full / 8;

  return (uint32_t)((jb_lease_open_length (backend->lease, now, sent_before)
                     + full - 1 - margins)
                    / full);
}

/* Return when the leases of commands that were sent at SENT_AT have expired,
   however late they arrive, and at whichever incarnation.  */
static jb_time
late_leases_end (const struct jb_pool *pool, jb_time sent_at)
{
  return sent_at + JB_MAX_COMMAND_DELAY
         + jb_backend_lease_time (pool->options.bounds->max_lease_ms);
}

/* Return when the lease of BACKEND expires if a successor wouldn't expect one
   that lasts as long at NOW, else 0.  */
static jb_time
long_lease_end (const struct jb_backend *backend, jb_time now)
{
  jb_time until = jb_lease_confirmed_until (backend->lease);
  jb_time expected = now + jb_backend_lease_time (JB_RUN_LEASE_MS)
                     + JB_LEASE_MARGIN_MS * JB_MS;

  return until > expected ? until : 0;
}

bool
jb_pool_has_long_lease (const struct jb_backend *backend, jb_time now)
{
  return long_lease_end (backend, now) != 0;
}

void
jb_pool_note_long_lease (struct jb_pool *pool)
{
  pool->leases->next_check = 0;
  jb_pool_note_lease_unlisted (pool);
}

/* Add the backend servers with a command with a lease that has had no answer
   for MIN_AGE, and those with a long lease.  Return when the next one has, or
   JB_NEVER.  */
static jb_time
add_own_backends (struct jb_pool *pool, jb_time now, jb_time min_age)
{
  const GPtrArray *backends = jb_pool_list_backends (pool);
  jb_time next = JB_NEVER;

  for (guint i = 0; i < backends->len; i++)
    {
      const struct jb_backend *backend = g_ptr_array_index (backends, i);
      jb_time since = jb_lease_waiting_since (backend->lease, now);
      jb_time long_until = long_lease_end (backend, now);

      if (since != 0 && now < since + min_age)
        next = MIN (next, since + min_age);
      else if (since != 0)
        add_late_backend (pool->leases, backend->instance,
                          count_open_grants (backend, now, now - min_age + 1),
                          late_leases_end (pool, now));
      if (long_until != 0)
        add_late_backend (pool->leases, backend->instance, 0, long_until)
            ->long_until
            = long_until;
    }
  return next;
}

/* Callback of g_hash_table_foreach_remove: free the entry VALUE if its leases
   have expired.  Return whether they have.  */
static gboolean
free_if_expired (gpointer key, gpointer value, gpointer data)
{
  struct late_backend *late = value;

  (void)key;
  if (*(jb_time *)data <= late->until)
    return FALSE;
  talloc_free (late);
  return TRUE;
}

/* Return whether the row lacks a backend server, or lists so many in vain that
   it should be written anew.  */
static bool
is_outdated (const struct jb_pool_leases *leases, jb_time now)
{
  uint32_t count = g_hash_table_size (leases->late);
  GHashTableIter iter;
  gpointer value;

  if (count < leases->stored_count
      && (count == 0 || now >= leases->written_at + SHRINK_INTERVAL))
    return true;
  g_hash_table_iter_init (&iter, leases->late);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct late_backend *late = value;

      if (late->grants > late->stored_grants
          || late->long_until > late->stored_long_until)
        return true;
    }
  return false;
}

/* Return how many milliseconds remain from NOW to UNTIL, rounded up; 0 if that
   has passed.  */
static uint32_t
remaining_ms (jb_time until, jb_time now)
{
  return until > now ? (uint32_t)((until - now) / JB_MS) + 1 : 0;
}

static void
handle_row_written (void *data, jb_time now)
{
  struct jb_pool *pool = data;

  (void)now;
  pool->leases->write_in_flight = false;
}

/* Write the row, or remove it if there is nothing to list.  */
static void
write_row (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_leases *leases = pool->leases;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_leases saved = { 0 };
  struct jb_row row = { .table = JB_HANDOVER_TABLE,
                        .partition = pool->partition,
                        .key = JB_KEY_LEASES };
  GHashTableIter iter;
  gpointer value;
  bool is_empty;

  saved.backends
      = talloc_array (scratch, struct jb_open_grants, MAX_LATE_BACKENDS);
  g_hash_table_iter_init (&iter, leases->late);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct late_backend *late = value;

      late->stored_grants = late->grants;
      late->stored_long_until = late->long_until;
      if (saved.count < MAX_LATE_BACKENDS)
        saved.backends[saved.count++] = (struct jb_open_grants){
          .instance = late->instance,
          .grants = late->grants,
          .remaining_ms = remaining_ms (late->long_until, now)
        };
    }
  saved.list_serial = jb_pool_list_serial (pool);
  is_empty = saved.count == 0;
  row.value = ba_codec_encode (scratch, serialize_saved_leases, &saved);
  leases->stored_count = saved.count;
  leases->written_at = now;
  leases->write_in_flight = true;
  jb_ownership_write (pool->ownership, now, &row, !is_empty, &row, is_empty,
                      handle_row_written, pool);
  jb_log (pool->options.driver, JB_LEVEL_INFO, "late-leases-stored", "pool",
          pool->options.name, "backends", jb_itoa (saved.count), NULL);
  talloc_free (scratch);
}

jb_time
jb_pool_write_leases (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_leases *leases = pool->leases;
  jb_time next;

  if (leases->write_in_flight || pool->stage < JB_STAGE_SCANNING
      || jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return JB_NEVER;
  if (now < leases->next_check)
    return leases->next_check;
  next = add_own_backends (pool, now, LATE_AFTER);
  g_hash_table_foreach_remove (leases->late, free_if_expired, &now);
  if (is_outdated (leases, now))
    {
      leases->next_check = now + ROW_INTERVAL;
      write_row (pool, now);
    }
  else if (leases->stored_count > 0)
    next = MIN (next, now + ROW_INTERVAL);
  return next;
}

void
jb_pool_write_last_leases (struct jb_pool *pool, jb_time now)
{
  add_own_backends (pool, now, 0);
  if (is_outdated (pool->leases, now))
    write_row (pool, now);
}

/* Add the grants of LEFT, which a former owner has sent before SENT_BEFORE,
   and hold tasks for their backend server until HELD_UNTIL.  */
static struct late_backend *
add_left_grants (struct jb_pool *pool, const struct jb_open_grants *left,
                 jb_time sent_before, jb_time held_until)
{
  jb_time until = late_leases_end (pool, sent_before);
  struct late_backend *late
      = add_late_backend (pool->leases, left->instance, left->grants, until);
  struct jb_backend *backend
      = g_hash_table_lookup (pool->backends, left->instance);

  late->held_until = MAX (late->held_until, MIN (held_until, until));
  if (backend != NULL)
    jb_lease_confirm (backend->lease, late->held_until);
  return late;
}

void
jb_pool_expect_left_lease (struct jb_pool *pool, struct jb_backend *backend,
                           jb_time now, int64_t clock_ms)
{
  const struct late_backend *late
      = g_hash_table_lookup (pool->leases->late, backend->instance);
  int64_t max_lease_ms = pool->options.bounds->max_lease_ms;
  bool is_young = clock_ms < JB_MAX_COMMAND_DELAY / JB_MS + max_lease_ms;

  jb_backend_expect_lease (backend, now,
                           is_young ? max_lease_ms : JB_RUN_LEASE_MS);
  if (late != NULL)
    jb_lease_confirm (backend->lease, late->held_until);
}

void
jb_pool_add_left_grants (struct jb_pool *pool, jb_time now,
                         const struct jb_msg_starts *list)
{
  jb_time sent_before = MAX (now, pool->predecessor_until);
  bool is_of_predecessor
      = list->generation + 1 == pool->predecessor.generation;
  GHashTableIter iter;
  gpointer value;

  if (is_of_predecessor && list->serial < pool->leases->list_serial)
    return;
  /* It is complete, so it replaces what is older.  */
  g_hash_table_iter_init (&iter, pool->leases->late);
  while (is_of_predecessor && list->serial >= pool->leases->row_serial
         && g_hash_table_iter_next (&iter, NULL, &value))
    ((struct late_backend *)value)->held_until = 0;
  for (uint32_t i = 0; i < list->grant_count; i++)
    add_left_grants (pool, &list->grants[i], sent_before,
                     now + list->grants[i].remaining_ms * JB_MS);
  if (is_of_predecessor)
    pool->leases->list_serial = list->serial;
}

uint32_t
jb_pool_list_open_grants (struct jb_pool *pool, jb_time now,
                          const GPtrArray *due, struct jb_open_grants *grants,
                          uint32_t limit)
{
  const GPtrArray *backends = jb_pool_list_backends (pool);
  jb_time full = jb_backend_lease_time (JB_RUN_LEASE_MS);
  uint32_t count = 0;

  for (guint i = 0; i < backends->len && count < limit; i++)
    {
      struct jb_backend *backend = g_ptr_array_index (backends, i);
      const struct late_backend *late
          = g_hash_table_lookup (pool->leases->late, backend->instance);
      bool is_due
          = due != NULL && g_ptr_array_find ((GPtrArray *)due, backend, NULL);
      uint32_t open = count_open_grants (backend, now, JB_NEVER) + is_due;
      jb_time until = late != NULL ? late->held_until : 0;

      if (open > 0 || jb_pool_has_long_lease (backend, now))
        until = MAX (until, MAX (jb_backend_leases_expire_at (backend), now)
                                + (is_due ? full : 0));
      if (until > now)
        grants[count++] = (struct jb_open_grants){
          .instance = backend->instance,
          .grants = open > 0 || late == NULL ? open : late->grants,
          .remaining_ms = remaining_ms (until, now)
        };
    }
  return count;
}

void
jb_pool_load_leases (struct jb_pool *pool, const struct jb_row *row,
                     jb_time now)
{
  struct saved_leases saved = { 0 };
  TALLOC_CTX *scratch = talloc_new (NULL);
  bool is_replaced;
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->value);
  serialize_saved_leases (&io, &saved);
  if (!ba_codec_is_complete (&io))
    {
      jb_log (pool->options.driver, JB_LEVEL_ERROR, "row-unreadable", "table",
              JB_HANDOVER_TABLE, "pool", pool->options.name, "key", row->key,
              NULL);
      saved.count = 0;
    }
  pool->leases->row_serial = saved.list_serial;
  is_replaced = pool->leases->list_serial != 0
                && pool->leases->list_serial >= saved.list_serial;
  /* An unreadable row, too, is removed when nothing can be late any more.  */
  pool->leases->stored_count = MAX (saved.count, 1);
  pool->leases->written_at = now;
  for (uint32_t i = 0; i < saved.count; i++)
    {
      /* The predecessor sends the last ones before predecessor_until, and they
         extend the lease that it had confirmed one after the other.  */
      jb_time full = jb_backend_lease_time (JB_RUN_LEASE_MS);
      jb_time sent_before = MAX (now, pool->predecessor_until);
      jb_time confirmed = MAX (sent_before + full,
                               now + saved.backends[i].remaining_ms * JB_MS);
      jb_time extended = confirmed + (jb_time)saved.backends[i].grants * full;
      struct late_backend *late = add_left_grants (
          pool, &saved.backends[i], sent_before, is_replaced ? 0 : extended);

      late->stored_grants
          = MAX (late->stored_grants, saved.backends[i].grants);
    }
  jb_log (pool->options.driver, JB_LEVEL_INFO, "late-leases-read", "pool",
          pool->options.name, "backends", jb_itoa (saved.count), NULL);
  talloc_free (scratch);
}

/* ---- tasks that wait ---- */

bool
jb_pool_is_held_backend (const struct jb_pool *pool,
                         const struct jb_backend *backend)
{
  const struct late_backend *late
      = pool->leases->holds_tasks
            ? g_hash_table_lookup (pool->leases->late, backend->instance)
            : NULL;

  return late != NULL && late->held_until != 0
         && jb_pool_awaits_backend (backend);
}

bool
jb_pool_holds_tasks (const struct jb_pool *pool)
{
  return pool->leases->holds_tasks;
}

/* Return the number of backend servers that tasks wait for, and set UNTIL to
   when they wait at most.  */
static uint32_t
count_held_backends (struct jb_pool *pool, jb_time now, jb_time *until)
{
  const GPtrArray *backends = jb_pool_list_backends (pool);
  uint32_t count = 0;

  *until = now;
  for (guint i = 0; i < backends->len; i++)
    {
      const struct jb_backend *backend = g_ptr_array_index (backends, i);
      struct late_backend *late
          = g_hash_table_lookup (pool->leases->late, backend->instance);

      if (late != NULL && now > late->held_until)
        late->held_until = 0;
      if (late == NULL || !jb_pool_is_held_backend (pool, backend))
        continue;
      *until = MAX (*until, late->held_until);
      count++;
    }
  return count;
}

void
jb_pool_hold_tasks (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_leases *leases = pool->leases;
  uint32_t backend_count;
  uint32_t task_count = 0;
  jb_time until;

  leases->holds_tasks = true;
  backend_count = count_held_backends (pool, now, &until);
  leases->holds_tasks = backend_count > 0;
  if (backend_count == 0)
    return;
  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      if (job->loaded_from_store && job->ended_at == 0)
        task_count += jb_takeover_await_tasks (job);
    }
  jb_log (pool->options.driver, JB_LEVEL_WARN, "late-leases-awaited", "pool",
          pool->options.name, "backends", jb_itoa (backend_count), "tasks",
          jb_itoa (task_count), "at_most_ms", jb_itoa ((until - now) / JB_MS),
          NULL);
}

void
jb_pool_release_held_tasks (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_leases *leases = pool->leases;
  jb_time until;

  if (!leases->holds_tasks || count_held_backends (pool, now, &until) > 0)
    return;
  leases->holds_tasks = false;
  pool->awaited_tasks = 0;
  pool->schedule_due = true;
  jb_pool_forget_copies (pool);
  for (guint i = 0; i < pool->active_jobs->len; i++)
    jb_takeover_release_tasks (g_ptr_array_index (pool->active_jobs, i));
  jb_log (pool->options.driver, JB_LEVEL_INFO, "late-leases-over", "pool",
          pool->options.name, "ms",
          jb_itoa ((now - pool->loading_since) / JB_MS), NULL);
}
