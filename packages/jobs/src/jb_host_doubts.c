/* Starts in doubt that owners could not store: this host keeps those that it
   has received or sent, and passes them on to a host that may have missed
   them, because it has just started or was cut off.

   A process is sent each change of an entry once.  What it may not have
   received, because it was cut off again before it has shown that it hears
   this host, is sent once more.  Sending all entries after each silence made
   the event loops of all hosts late, and a coordinator whose loop is late
   takes its members for silent.

   Expected load: a new process every second, and thousands of entries.  */

#include "jb_host_internal.h"

#include <string.h>

/* Time between two portions.  */
#define PORTION_INTERVAL (10 * JB_MS)

/* A member has received what was sent it this long before it has heard this
   host: more than a message takes, so that it has heard one that was sent
   later.  */
#define CONFIRMATION_MARGIN (500 * JB_MS)

enum
{
  /* Entries in a portion, about 10 KB: a few milliseconds on the smallest
     hosts.  A new process has 5,000 entries after 200 ms.  */
  PORTION_SIZE = 250,
  /* So many are sent at once if the event loop is late: a new process may
     claim a pool 0.7 s after its start, and must have the entries by then.  */
  MAX_PORTIONS_AT_ONCE = 8
};

/* What was passed on to a member.  */
struct doubt_relay
{
  uint64_t incarnation;
  uint64_t sent_change;      /* the last one that was sent */
  uint64_t confirmed_change; /* the last one that it has received */
  jb_time sent_at;           /* when something was last sent */
  bool is_queued;
};

struct jb_doubt_relays
{
  GHashTable *members; /* incarnation -> struct doubt_relay */
  GQueue queue;        /* struct doubt_relay, to be sent entries */
  jb_time next_portion;
};

void
jb_host_keep_doubts (struct jb_host *host, jb_time arrived_at,
                     const struct jb_msg_doubts *message)
{
  uint32_t ignored
      = jb_peer_doubts_add (host->peer_doubts, arrived_at, message);

  if (ignored > 0)
    jb_log (host->driver, JB_LEVEL_WARN, "starts-in-doubt-ignored", "pool",
            message->pool, "tasks", jb_itoa (ignored), "reason",
            "the table is full", NULL);
}

void
jb_host_handle_doubts (struct jb_host *host, jb_time now, jb_time arrived_at,
                       const struct jb_msg_doubts *message)
{
  jb_host_keep_doubts (host, arrived_at, message);
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *slot = g_ptr_array_index (host->pools, i);

      if (strcmp (slot->name, message->pool) == 0
          && jb_host_slot_is_owned (slot))
        jb_pool_handle_peer_doubts (slot->pool, now, arrived_at, message);
    }
}

void
jb_host_send_doubts (void *data, jb_time now,
                     const struct jb_msg_doubts *doubts)
{
  struct jb_host *host = data;
  struct jb_msg message = { .type = JB_MSG_DOUBTS, .u.doubts = *doubts };
  struct ba_bytes bytes = jb_msg_encode (NULL, &message);

  jb_count_event (host->driver, JB_COUNT_DOUBT_MESSAGES_SENT);
  jb_members_send_to_all (host->members, bytes);
  /* This host may claim the pool again itself.  */
  jb_host_keep_doubts (host, now, doubts);
  talloc_free (bytes.data);
}

/* ---- passing entries on ---- */

static int
relays_destroy (struct jb_doubt_relays *relays)
{
  g_hash_table_destroy (relays->members);
  g_queue_clear (&relays->queue);
  return 0;
}

struct jb_doubt_relays *
jb_doubt_relays_new (TALLOC_CTX *mem)
{
  struct jb_doubt_relays *relays = talloc_zero (mem, struct jb_doubt_relays);

  relays->members = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&relays->queue);
  talloc_set_destructor (relays, relays_destroy);
  return relays;
}

/* Forget what was passed on to processes that are no members any more.  */
static void
forget_former_members (struct jb_host *host)
{
  struct jb_doubt_relays *relays = host->doubt_relays;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, relays->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct doubt_relay *relay = value;

      if (jb_members_find (host->members, relay->incarnation) != NULL)
        continue;
      g_hash_table_iter_remove (&iter);
      g_queue_remove (&relays->queue, relay);
      talloc_free (relay);
    }
}

static struct doubt_relay *
get_or_add_relay (struct jb_host *host, uint64_t incarnation)
{
  struct jb_doubt_relays *relays = host->doubt_relays;
  struct doubt_relay *relay
      = g_hash_table_lookup (relays->members, &incarnation);

  if (relay != NULL)
    return relay;
  forget_former_members (host);
  relay = talloc_zero (relays, struct doubt_relay);
  relay->incarnation = incarnation;
  g_hash_table_insert (relays->members, &relay->incarnation, relay);
  return relay;
}

void
jb_host_confirm_doubts (struct jb_host *host, uint64_t from, jb_time heard_at)
{
  struct doubt_relay *relay
      = g_hash_table_lookup (host->doubt_relays->members, &from);

  if (relay != NULL && !relay->is_queued
      && heard_at >= relay->sent_at + CONFIRMATION_MARGIN)
    relay->confirmed_change = relay->sent_change;
}

void
jb_host_relay_doubts (struct jb_host *host, uint64_t to, bool is_new)
{
  GQueue *queue = &host->doubt_relays->queue;
  struct doubt_relay *relay
      = g_hash_table_lookup (host->doubt_relays->members, &to);

  /* The silence may have begun before the member had received the rest.  */
  if (relay != NULL)
    relay->sent_change = relay->confirmed_change;
  if (jb_peer_doubts_count (host->peer_doubts) == 0
      || !jb_members_is_coordinator (host->members))
    return;
  relay = get_or_add_relay (host, to);
  if (relay->is_queued
      || relay->sent_change == jb_peer_doubts_last_change (host->peer_doubts))
    return;
  if (g_queue_is_empty (queue))
    host->doubt_relays->next_portion
        = MAX (host->doubt_relays->next_portion, host->now);
  relay->is_queued = true;
  /* A new process knows nothing yet, and may claim a pool soon.  */
  if (is_new)
    g_queue_push_head (queue, relay);
  else
    g_queue_push_tail (queue, relay);
}

/* Send the member TO those of the COUNT DOUBTS that are of the pool of the
   first one, and remove them from the list.  Return how many remain.  */
static uint32_t
send_pool_doubts (struct jb_host *host, jb_time now, uint64_t to,
                  const struct jb_peer_doubt **doubts, uint32_t count)
{
  struct jb_msg_doubt entries[PORTION_SIZE];
  char *pool = doubts[0]->pool;
  struct jb_msg message = { .type = JB_MSG_DOUBTS,
                            .u.doubts = { .pool = pool, .entries = entries } };
  struct ba_bytes bytes;
  uint32_t remaining = 0;

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (doubts[i]->pool, pool) == 0)
      entries[message.u.doubts.count++]
          = (struct jb_msg_doubt){ .entry = doubts[i]->entry,
                                   .generation = doubts[i]->generation,
                                   .age_ms
                                   = (now - doubts[i]->sent_at) / JB_MS };
    else
      doubts[remaining++] = doubts[i];
  bytes = jb_msg_encode (NULL, &message);
  jb_count_event (host->driver, JB_COUNT_DOUBT_MESSAGES_SENT);
  jb_driver_send (host->driver, to, bytes);
  talloc_free (bytes.data);
  return remaining;
}

/* Send the member of RELAY up to LIMIT entries that it needs.  Return their
   number.  */
static uint32_t
send_portion (struct jb_host *host, jb_time now, struct doubt_relay *relay,
              uint32_t limit)
{
  const struct jb_peer_doubt *doubts[PORTION_SIZE];
  uint32_t count = jb_peer_doubts_list_changes (
      host->peer_doubts, &relay->sent_change, doubts, limit);
  uint32_t remaining = count;

  relay->sent_at = now;
  while (remaining > 0)
    remaining
        = send_pool_doubts (host, now, relay->incarnation, doubts, remaining);
  return count;
}

jb_time
jb_host_run_relays (struct jb_host *host, jb_time now)
{
  struct jb_doubt_relays *relays = host->doubt_relays;
  jb_time late;
  uint32_t limit;

  if (g_queue_is_empty (&relays->queue))
    return JB_NEVER;
  if (now < relays->next_portion)
    return relays->next_portion;
  late = now - relays->next_portion;
  limit = PORTION_SIZE
          * (uint32_t)CLAMP (late / PORTION_INTERVAL, 1, MAX_PORTIONS_AT_ONCE);
  relays->next_portion = now + PORTION_INTERVAL;
  while (limit > 0 && !g_queue_is_empty (&relays->queue))
    {
      struct doubt_relay *relay = g_queue_peek_head (&relays->queue);

      uint32_t portion = MIN (limit, PORTION_SIZE);
      uint32_t sent = send_portion (host, now, relay, portion);

      limit -= sent;
      if (sent == portion)
        continue; /* it may need more */
      relay->is_queued = false;
      g_queue_pop_head (&relays->queue);
    }
  return g_queue_is_empty (&relays->queue) ? JB_NEVER : relays->next_portion;
}
