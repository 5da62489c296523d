/* What an owner of a pool leaves to its successor, in rows of a table of its
   own.  Each row holds the generation of the owner that wrote it, so that a
   successor doesn't take the row of an earlier owner for its predecessor's.
   Owners of previous versions neither write nor read these rows.  */

#include "jb_pool_internal.h"

#include <string.h>

#define HANDOVER_TABLE "handover"
/* Written once no owner before the one that writes it can send commands.  */
#define SETTLED_KEY "settled"

#define STORE_READ_TIMEOUT_MS 1500

struct saved_settled
{
  uint32_t generation;
};

static void
serialize_saved_settled (struct ba_codec *io, struct saved_settled *saved)
{
  ba_codec_u32 (io, &saved->generation);
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
handle_rows (void *data, jb_time now, jb_time sent_at,
             const struct jb_reply *reply)
{
  struct jb_pool *pool = data;

  (void)sent_at;
  /* Without the rows, this owner waits as long as after any predecessor.  */
  for (uint32_t i = 0; reply->result == JB_RESULT_OK && i < reply->row_count;
       i++)
    if (strcmp (reply->rows[i].key, SETTLED_KEY) == 0)
      load_settled (pool, reply->rows[i].value);
  pool->handover_read = true;
  jb_pool_finish_loading_if_complete (pool, now);
}

void
jb_pool_read_handover (struct jb_pool *pool, jb_time now)
{
  struct jb_command command
      = { .kind = JB_COMMAND_READ,
          .timeout_ms = STORE_READ_TIMEOUT_MS,
          .u.read = { HANDOVER_TABLE, pool->partition, NULL } };

  jb_count_event (pool->options.driver, JB_COUNT_STORE_READS);
  jb_driver_submit (pool->options.driver, pool->ownership, now, &command,
                    handle_rows, pool);
}

/* ---- writing ---- */

void
jb_pool_write_settled (struct jb_pool *pool, jb_time now)
{
  TALLOC_CTX *scratch;
  struct saved_settled saved = { jb_ownership_generation (pool->ownership) };
  struct jb_row row = { .table = HANDOVER_TABLE,
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
