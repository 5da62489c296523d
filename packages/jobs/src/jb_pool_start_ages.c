/* How old the starts in doubt of a pool are (jb_pool_doubt.c), in a row that
   an owner leaves when it stops as planned.  Its successor would otherwise
   count them from the takeover.

   Expected load: a row of up to 500 entries in a handover, mostly none.  */

#include "jb_pool_internal.h"

struct saved_age
{
  char *task;
  uint32_t run;
  uint32_t age_ms; /* of the last start */
};

/* Ages of starts in doubt when the owner had sent its last command.  */
struct saved_ages
{
  uint32_t generation;
  uint32_t count;
  struct saved_age *ages;
};

static void
serialize_saved_age (struct ba_codec *io, struct saved_age *age)
{
  ba_codec_required_str (io, &age->task);
  ba_codec_u32 (io, &age->run);
  ba_codec_u32 (io, &age->age_ms);
}

static void
serialize_saved_ages (struct ba_codec *io, struct saved_ages *saved)
{
  ba_codec_u32 (io, &saved->generation);
  ba_codec_array (io, saved->ages, saved->count, JB_MAX_DOUBTS_PER_ROW,
                  serialize_saved_age);
}

struct age_collection
{
  struct saved_ages saved;
  uint32_t limit;
  jb_time now;
};

/* Add the age of DOUBT, unless a former owner may still send the start.  */
static bool
collect_age (void *data, struct jb_doubt *doubt)
{
  struct age_collection *collection = data;
  struct saved_ages *saved = &collection->saved;

  if (jb_doubt_sent_count (doubt) > 0 && doubt->sent_at <= collection->now
      && saved->count < collection->limit)
    saved->ages[saved->count++] = (struct saved_age){
      .task = doubt->task,
      .run = doubt->run,
      .age_ms = (uint32_t)((collection->now - doubt->sent_at) / JB_MS)
    };
  return false;
}

struct ba_bytes
jb_pool_encode_doubt_ages (const struct jb_pool *pool, TALLOC_CTX *mem,
                           jb_time now)
{
  struct age_collection collection
      = { .saved = { .generation = jb_ownership_generation (pool->ownership) },
          .limit = jb_pool_doubts_per_row (pool),
          .now = now };

  collection.saved.ages
      = talloc_array (mem, struct saved_age, collection.limit);
  jb_doubt_visit (jb_pool_doubt_table (pool), collect_age, &collection);
  return ba_codec_encode (mem, serialize_saved_ages, &collection.saved);
}

void
jb_pool_load_doubt_ages (struct jb_pool *pool, const struct jb_row *row,
                         jb_time now)
{
  struct saved_ages saved = { 0 };
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->value);
  serialize_saved_ages (&io, &saved);
  if (!ba_codec_is_complete (&io))
    jb_log (pool->options.driver, JB_LEVEL_ERROR, "row-unreadable", "table",
            JB_HANDOVER_TABLE, "pool", pool->options.name, "key", row->key,
            NULL);
  if (!ba_codec_is_complete (&io)
      || saved.generation + 1 != pool->predecessor.generation)
    saved.count = 0;
  for (uint32_t i = 0; i < saved.count; i++)
    {
      struct jb_doubt *doubt
          = jb_doubt_find (jb_pool_doubt_table (pool), saved.ages[i].task);

      if (doubt != NULL && doubt->run == saved.ages[i].run)
        jb_doubt_limit_age (doubt, now - saved.ages[i].age_ms * JB_MS);
    }
  talloc_free (scratch);
}
