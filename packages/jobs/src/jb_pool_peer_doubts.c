/* Starts in doubt that the owner of a pool can't store, because the store does
   not answer it: it sends them to the other hosts, and the next owner adds
   those that it has received.  */

#include "jb_pool_internal.h"

#include <string.h>

/* Time between two messages, so that one lists several starts.  */
#define MESSAGE_INTERVAL (40 * JB_MS)

struct collection
{
  struct jb_msg_doubts *message;
  uint32_t generation;
  jb_time now;
  jb_time sent_before; /* only starts that were sent before */
  bool is_incomplete;  /* others remain */
};

/* Add DOUBT to the message if it belongs there.  */
static bool
collect_doubt (void *data, struct jb_doubt *doubt)
{
  struct collection *collection = data;
  struct jb_msg_doubts *message = collection->message;

  if (doubt->shared || doubt->told)
    return false;
  if (message->count == JB_MSG_MAX_DOUBTS
      || doubt->sent_at >= collection->sent_before)
    {
      collection->is_incomplete = true;
      return false;
    }
  doubt->told = true;
  message->entries[message->count++] = (struct jb_msg_doubt){
    .entry = jb_doubt_get_entry (message->entries, doubt),
    .generation = collection->generation,
    .age_ms = (collection->now - doubt->sent_at) / JB_MS
  };
  return false;
}

/* Send the next message, of starts that were sent before SENT_BEFORE.  Return
   whether it is the last one.  */
static bool
send_message (struct jb_pool *pool, jb_time now, jb_time sent_before)
{
  struct jb_msg_doubts message = { .pool = (char *)pool->options.name };
  struct collection collection
      = { .message = &message,
          .generation = jb_ownership_generation (pool->ownership),
          .now = now,
          .sent_before = sent_before };

  message.entries
      = talloc_array (NULL, struct jb_msg_doubt, JB_MSG_MAX_DOUBTS);
  jb_doubt_visit (jb_pool_doubt_table (pool), collect_doubt, &collection);
  if (message.count > 0)
    {
      jb_log (pool->options.driver, JB_LEVEL_INFO, "starts-in-doubt-sent",
              "pool", pool->options.name, "tasks", jb_itoa (message.count),
              "generation", jb_itoa (collection.generation), NULL);
      pool->options.send_doubts (pool->options.data, now, &message);
    }
  talloc_free (message.entries);
  return !collection.is_incomplete;
}

jb_time
jb_pool_send_doubts (struct jb_pool *pool, jb_time now)
{
  jb_time row_pending_since = jb_pool_doubt_row_pending_since (pool);

  if (pool->options.send_doubts == NULL
      || jb_doubt_count (jb_pool_doubt_table (pool)) == 0
      || jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD)
    return JB_NEVER;
  if (jb_ownership_failing_since (pool->ownership) == 0)
    {
      if (row_pending_since == 0)
        return JB_NEVER;
      if (now < row_pending_since + JB_STORE_SILENCE)
        return row_pending_since + JB_STORE_SILENCE;
    }
  if (now < pool->next_doubt_message)
    return pool->next_doubt_message;
  pool->next_doubt_message = now + MESSAGE_INTERVAL;
  return send_message (pool, now, now - JB_STORE_DOUBT_AFTER)
             ? JB_NEVER
             : pool->next_doubt_message;
}

void
jb_pool_send_all_doubts (struct jb_pool *pool, jb_time now)
{
  if (pool->options.send_doubts == NULL)
    return;
  pool->next_doubt_message = now + MESSAGE_INTERVAL;
  while (!send_message (pool, now, JB_NEVER))
    ;
}

static bool
mark_untold (void *data, struct jb_doubt *doubt)
{
  (void)data;
  doubt->told = false;
  return false;
}

void
jb_pool_repeat_doubts (struct jb_pool *pool)
{
  jb_doubt_visit (jb_pool_doubt_table (pool), mark_untold, NULL);
}

static void
load_doubt (void *data, const struct jb_peer_doubt *peer_doubt)
{
  /* A row may list it, too.  The former owner has told of each start before it
     was sent, so the number of starts is exact.  */
  jb_pool_add_left_start (data, &peer_doubt->entry, peer_doubt->sent_at);
}

void
jb_pool_load_peer_doubts (struct jb_pool *pool)
{
  if (pool->options.peer_doubts == NULL
      || jb_pool_has_disabled (pool, JB_SAFEGUARD_DOUBT))
    return;
  jb_peer_doubts_visit (pool->options.peer_doubts, pool->options.name,
                        jb_ownership_generation (pool->ownership), load_doubt,
                        pool);
}

void
jb_pool_handle_peer_doubts (struct jb_pool *pool, jb_time now,
                            jb_time arrived_at,
                            const struct jb_msg_doubts *message)
{
  uint32_t generation = jb_ownership_generation (pool->ownership);
  bool is_changed = false;

  /* What came before was loaded with the rows.  */
  if (pool->stage < JB_STAGE_SCANNING
      || jb_pool_has_disabled (pool, JB_SAFEGUARD_DOUBT))
    return;
  for (uint32_t i = 0; i < message->count; i++)
    {
      const struct jb_msg_doubt *listed = &message->entries[i];

      if (listed->generation < generation
          && jb_pool_take_up_start (pool, now, &listed->entry,
                                    arrived_at - listed->age_ms * JB_MS))
        is_changed = true;
    }
  if (is_changed)
    jb_pool_log_doubts (pool);
}
