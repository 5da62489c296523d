/* The witnesses of the starts of a pool (jb_pool_starts.c): which one its
   owner has, and which ones of former owners have not told yet what they keep.

   A start that was sent a moment before its owner has ended may be known to
   the witness alone, and the witness may be cut off, or stand still, when the
   next owner asks it.  So an owner stores which witness it has before it
   relies on it.  The next owner asks that one until it replies, and does not
   end its scan before, as if a backend server were silent: until the process
   of the witness has ended, or all leases of the former owner have expired.

   Expected load: a row after each takeover and each change of the witness; a
   message each QUERY_INTERVAL while a witness is awaited.  */

#include "jb_pool_internal.h"

#include <string.h>

/* Time between two choices of the witness, each of which looks at all
   members.  */
#define CHOICE_INTERVAL (20 * JB_MS)

/* Time between two queries to a witness that does not reply.  */
#define QUERY_INTERVAL (50 * JB_MS)

enum
{
  MAX_WITNESSES = 100 /* in the row: of so many owners in a row */
};

struct witness
{
  char *name;
  uint64_t incarnation; /* 0: there is none */
};

struct jb_pool_witnesses
{
  GPtrArray *awaited; /* struct witness, of former owners */
  struct witness own; /* of this owner */
  uint64_t writing;   /* incarnation of the own one in the last row */
  uint64_t stored;    /* the same once that is stored, 0 before */
  bool row_is_due;    /* the row is out of date */
  jb_time next_choice;
  jb_time next_query;
};

struct saved_witnesses
{
  uint32_t count;
  struct witness *witnesses;
};

static void
serialize_witness (struct ba_codec *io, struct witness *witness)
{
  ba_codec_required_str (io, &witness->name);
  ba_codec_u64 (io, &witness->incarnation);
}

static void
serialize_saved_witnesses (struct ba_codec *io, struct saved_witnesses *saved)
{
  ba_codec_array (io, saved->witnesses, saved->count, MAX_WITNESSES,
                  serialize_witness);
}

static int
witnesses_destroy (struct jb_pool_witnesses *witnesses)
{
  g_ptr_array_free (witnesses->awaited, TRUE);
  return 0;
}

struct jb_pool_witnesses *
jb_pool_witnesses_new (TALLOC_CTX *mem)
{
  struct jb_pool_witnesses *witnesses
      = talloc_zero (mem, struct jb_pool_witnesses);

  witnesses->awaited = g_ptr_array_new ();
  talloc_set_destructor (witnesses, witnesses_destroy);
  return witnesses;
}

/* ---- the witness of this owner ---- */

void
jb_pool_update_witness (struct jb_pool *pool, jb_time now, bool is_allowed)
{
  struct jb_pool_witnesses *witnesses = pool->witnesses;
  const char *name = NULL;
  uint64_t incarnation = 0;

  if (pool->options.choose_witness == NULL
      || (is_allowed && now < witnesses->next_choice))
    return;
  witnesses->next_choice = now + CHOICE_INTERVAL;
  if (is_allowed)
    incarnation = pool->options.choose_witness (pool->options.data, now,
                                                pool->options.name, &name);
  if (incarnation == witnesses->own.incarnation)
    return;
  TALLOC_FREE (witnesses->own.name);
  witnesses->own.name = talloc_strdup (witnesses, name);
  witnesses->own.incarnation = incarnation;
  witnesses->row_is_due = true;
}

uint64_t
jb_pool_witness (const struct jb_pool *pool)
{
  return pool->witnesses->own.incarnation;
}

bool
jb_pool_witness_is_stored (const struct jb_pool *pool)
{
  return pool->witnesses->own.incarnation == pool->witnesses->stored;
}

bool
jb_pool_witness_row_is_due (const struct jb_pool *pool)
{
  return pool->witnesses->row_is_due;
}

void
jb_pool_encode_witness_row (struct jb_pool *pool, TALLOC_CTX *mem,
                            struct jb_row *row)
{
  struct jb_pool_witnesses *witnesses = pool->witnesses;
  struct saved_witnesses saved
      = { .witnesses = talloc_array (mem, struct witness, MAX_WITNESSES) };

  if (witnesses->own.incarnation != 0)
    saved.witnesses[saved.count++] = witnesses->own;
  for (guint i = 0; i < witnesses->awaited->len && saved.count < MAX_WITNESSES;
       i++)
    saved.witnesses[saved.count++]
        = *(struct witness *)g_ptr_array_index (witnesses->awaited, i);
  *row = (struct jb_row){ .table = JB_HANDOVER_TABLE,
                          .partition = pool->partition,
                          .key = JB_KEY_WITNESSES,
                          .value = ba_codec_encode (
                              mem, serialize_saved_witnesses, &saved) };
  witnesses->row_is_due = false;
  witnesses->writing = witnesses->own.incarnation;
  witnesses->stored = 0;
}

void
jb_pool_note_witness_stored (struct jb_pool *pool)
{
  pool->witnesses->stored = pool->witnesses->writing;
}

/* ---- those of former owners ---- */

static void
await_witness (struct jb_pool *pool, const struct witness *witness)
{
  struct jb_pool_witnesses *witnesses = pool->witnesses;
  struct witness *awaited = talloc_zero (witnesses, struct witness);

  awaited->name = talloc_strdup (awaited, witness->name);
  awaited->incarnation = witness->incarnation;
  g_ptr_array_add (witnesses->awaited, awaited);
}

void
jb_pool_load_witnesses (struct jb_pool *pool, const struct jb_row *row)
{
  struct saved_witnesses saved = { 0 };
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->value);
  serialize_saved_witnesses (&io, &saved);
  if (!ba_codec_is_complete (&io))
    {
      jb_log (pool->options.driver, JB_LEVEL_ERROR, "row-unreadable", "table",
              JB_HANDOVER_TABLE, "pool", pool->options.name, "key", row->key,
              NULL);
      saved.count = 0;
    }
  pool->witnesses->row_is_due = true;
  /* What this process keeps itself was added at the claim.  */
  for (uint32_t i = 0; i < saved.count; i++)
    if (saved.witnesses[i].incarnation != pool->options.incarnation)
      await_witness (pool, &saved.witnesses[i]);
  talloc_free (scratch);
}

/* Await the witness with INDEX no longer.  The row still names it, so the next
   one is stored together with the starts that it has told.  */
static void
remove_awaited (struct jb_pool_witnesses *witnesses, guint index)
{
  talloc_free (g_ptr_array_remove_index_fast (witnesses->awaited, index));
  witnesses->row_is_due = true;
}

jb_time
jb_pool_query_awaited_witnesses (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_witnesses *witnesses = pool->witnesses;

  if (witnesses->awaited->len == 0)
    return JB_NEVER;
  if (now < witnesses->next_query)
    return witnesses->next_query;
  witnesses->next_query = now + QUERY_INTERVAL;
  for (guint i = 0; i < witnesses->awaited->len; i++)
    {
      const struct witness *witness
          = g_ptr_array_index (witnesses->awaited, i);

      pool->options.query_starts (pool->options.data, now, pool->options.name,
                                  pool->predecessor.generation,
                                  witness->incarnation);
    }
  return witnesses->next_query;
}

void
jb_pool_handle_starts_left (struct jb_pool *pool, jb_time now, uint64_t from,
                            const struct jb_msg_starts_left *left)
{
  struct jb_pool_witnesses *witnesses = pool->witnesses;

  if (left->starts.generation != 0
      && !jb_pool_handle_left_starts (pool, now, &left->starts))
    return;
  if (left->query_generation != jb_ownership_generation (pool->ownership)
      || !left->is_last)
    return;
  for (guint i = witnesses->awaited->len; i-- > 0;)
    {
      const struct witness *witness
          = g_ptr_array_index (witnesses->awaited, i);

      if (witness->incarnation == from)
        remove_awaited (witnesses, i);
    }
  jb_pool_finish_scan_if_complete (pool, now);
}

bool
jb_pool_awaits_witness (struct jb_pool *pool, jb_time now)
{
  struct jb_pool_witnesses *witnesses = pool->witnesses;

  /* An owner that hands its pool over stores all starts.  */
  if (pool->predecessor.has_handed_over || now >= pool->scan_until)
    return false;
  for (guint i = witnesses->awaited->len; i-- > 0;)
    {
      const struct witness *witness
          = g_ptr_array_index (witnesses->awaited, i);

      if (pool->options.has_process_ended (pool->options.data, witness->name,
                                           witness->incarnation))
        {
          remove_awaited (witnesses, i);
          jb_pool_watch_for_restarts (pool, now);
        }
    }
  return witnesses->awaited->len > 0;
}

void
jb_pool_forget_awaited_witnesses (struct jb_pool *pool, jb_time now)
{
  GPtrArray *awaited = pool->witnesses->awaited;

  while (awaited->len > 0)
    {
      const struct witness *witness
          = g_ptr_array_index (awaited, awaited->len - 1);

      if (!pool->predecessor.has_handed_over)
        {
          jb_log (pool->options.driver, JB_LEVEL_WARN, "witness-silent",
                  "pool", pool->options.name, "member", witness->name, NULL);
          jb_pool_watch_for_restarts (pool, now);
        }
      remove_awaited (pool->witnesses, awaited->len - 1);
    }
}
