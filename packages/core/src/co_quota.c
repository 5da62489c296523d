#include "co_internal.h"

#include <string.h>

/* Rights: how many requests this member may run for a team, or on a host.

   The ledger grants rights to members; members lend them to each other with
   totals that only grow.  What a member holds is

     grant + sum of received - sum of sent - burning

   A sender lowers its own balance before the message leaves, so the sum over
   all members never exceeds the sum of the grants, whatever happens to the
   messages.  */

enum
{
  HOST_SHARDS = CO_LEDGER_SHARD_COUNT - 1
};

static int
shard_of (const char *name, bool slots)
{
  if (!slots)
    return 0;
  return 1 + (int)(ba_hash_str (name, 0) % HOST_SHARDS);
}

/* Find the right called PREFIX/NAME, or add it.  */
int
co_quota_find_or_add (struct co_core *core, const char *prefix,
                      const char *name, bool slots)
{
  char *full = talloc_asprintf (core, "%s/%s", prefix, name);
  int index = co_find_index (core->quota_index, full);
  struct co_quota *right;

  if (index != CO_NO_INDEX)
    {
      talloc_free (full);
      return index;
    }
  right = talloc_zero (core, struct co_quota);
  right->name = talloc_steal (right, full);
  right->is_host_slots = slots;
  right->owner = CO_NO_INDEX;
  right->shard = shard_of (full, slots);
  right->granted_total = -1;
  if ((core->quota_count & (core->quota_count + 1)) == 0)
    core->quotas = talloc_realloc (core, core->quotas, struct co_quota *,
                                   (core->quota_count + 1) * 2);
  index = (int)core->quota_count++;
  core->quotas[index] = right;
  g_hash_table_insert (core->quota_index, right->name,
                       GINT_TO_POINTER (index + 1));
  return index;
}

int64_t
co_quota_held (const struct co_quota *right)
{
  return right->own_grant - right->retiring + right->net_received;
}

int64_t
co_quota_unused (const struct co_quota *right)
{
  return co_quota_held (right) - right->in_use;
}

/* Return whether rights of RIGHT may be used: while more are granted than
   the configuration allows, the surplus is burned first.  */
bool
co_quota_is_usable (const struct co_core *core, const struct co_quota *right)
{
  if (core->options.disabled & CO_DISABLE_QUOTA)
    return true;
  return right->granted_total >= 0 && right->granted_total <= right->limit;
}

/* Tell the parts that depend on RIGHT that its balance changed.  */
void
co_quota_notify_changed (struct co_core *core, int index)
{
  struct co_quota *right = core->quotas[index];

  if (right->owner == CO_NO_INDEX)
    return;
  if (right->is_host_slots)
    {
      co_worker_refresh (core, right->owner);
      core->pools[core->hosts[right->owner]->pool]->needs_dispatch = true;
      return;
    }
  for (uint32_t p = 0; p < core->pool_count; p++)
    if (core->pools[p]->waiting > 0)
      core->pools[p]->needs_dispatch = true;
}

void
co_quota_acquire (struct co_core *core, int index)
{
  struct co_quota *right = core->quotas[index];

  right->in_use++;
  if (!(core->options.disabled & CO_DISABLE_QUOTA))
    g_assert_cmpint (right->in_use, <=, co_quota_held (right));
  if (right->is_host_slots && right->owner != CO_NO_INDEX)
    co_worker_refresh (core, right->owner);
}

void
co_quota_release (struct co_core *core, int index)
{
  struct co_quota *right = core->quotas[index];

  g_assert_cmpint (right->in_use, >, 0);
  right->in_use--;
  co_quota_notify_changed (core, index);
}

static bool
get_dirty (const struct co_quota *right, int slot)
{
  return (right->unacked[slot / 64] >> (slot % 64)) & 1;
}

static void
set_dirty (struct co_quota *right, int slot, bool dirty)
{
  uint64_t bit = UINT64_C (1) << (slot % 64);

  if (dirty)
    right->unacked[slot / 64] |= bit;
  else
    right->unacked[slot / 64] &= ~bit;
}

/* Note that the total for SLOT has to be sent.  */
static void
queue_send (struct co_core *core, int index, int slot)
{
  struct co_quota *right = core->quotas[index];

  set_dirty (right, slot, true);
  if (right->send_queued)
    return;
  right->send_queued = true;
  g_array_append_val (core->quotas_to_send, index);
}

/* Lend COUNT free rights to the member at SLOT.  */
void
co_quota_lend (struct co_core *core, int index, int slot, int64_t count)
{
  struct co_quota *right = core->quotas[index];

  g_assert (co_is_member (core, slot));
  g_assert_cmpint (count, >, 0);
  g_assert_cmpint (count, <=, co_quota_unused (right));
  right->sent_total[slot] += (uint32_t)count;
  right->net_received -= count;
  core->counters[CO_COUNTER_QUOTA_LENT] += (uint64_t)count;
  queue_send (core, index, slot);
  co_quota_notify_changed (core, index);
}

/* Send the totals for SLOT of the rights that are queued.  */
static void
send_totals (struct co_core *core, int slot)
{
  TALLOC_CTX *mem = core->outbox->mem;
  struct co_quota_transfer *items = NULL;
  struct co_msg *m;
  uint32_t count = 0;

  for (guint i = 0; i < core->quotas_to_send->len; i++)
    {
      struct co_quota *right
          = core->quotas[g_array_index (core->quotas_to_send, int, i)];

      if (!get_dirty (right, slot))
        continue;
      if (items == NULL)
        items = talloc_zero_array (mem, struct co_quota_transfer,
                                   core->quotas_to_send->len);
      items[count].resource = right->name;
      items[count++].total_sent = right->sent_total[slot];
    }
  if (count == 0)
    return;
  m = co_add_message (core, core->peers[slot].incarnation, CO_MSG_TRANSFERS);
  m->u.transfers.items = items;
  m->u.transfers.count = count;
}

/* Send what the present step lent.  Unacknowledged totals stay dirty and are
   sent again by co_quota_queue_unacked.  */
void
co_quota_send_transfers (struct co_core *core)
{
  if (core->quotas_to_send->len == 0)
    return;
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member)
      send_totals (core, i);
  for (guint i = 0; i < core->quotas_to_send->len; i++)
    core->quotas[g_array_index (core->quotas_to_send, int, i)]->send_queued
        = false;
  g_array_set_size (core->quotas_to_send, 0);
}

void
co_quota_queue_unacked (struct co_core *core)
{
  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      struct co_quota *right = core->quotas[i];

      if ((right->unacked[0] | right->unacked[1]) == 0 || right->send_queued)
        continue;
      right->send_queued = true;
      g_array_append_val (core->quotas_to_send, i);
    }
}

void
co_quota_receive_transfers (struct co_core *core, int slot,
                            const struct co_msg_transfers *transfers)
{
  struct co_msg *seen;

  for (uint32_t i = 0; i < transfers->count; i++)
    {
      const struct co_quota_transfer *t = &transfers->items[i];
      bool slots = t->resource[0] == 'h';
      int index;
      struct co_quota *right;

      if (strlen (t->resource) < 3 || t->resource[1] != '/')
        continue;
      index = co_quota_find_or_add (core, slots ? "h" : "t", t->resource + 2,
                                    slots);
      right = core->quotas[index];
      if (t->total_sent <= right->received_total[slot])
        continue;
      core->counters[CO_COUNTER_QUOTA_RECEIVED]
          += t->total_sent - right->received_total[slot];
      right->net_received
          += (int64_t)t->total_sent - right->received_total[slot];
      right->received_total[slot] = t->total_sent;
      co_quota_notify_changed (core, index);
    }
  seen = co_add_message (core, core->peers[slot].incarnation,
                         CO_MSG_TRANSFERS_ACK);
  seen->u.transfers = *transfers;
}

void
co_quota_transfers_acked (struct co_core *core, int slot,
                          const struct co_msg_transfers *transfers)
{
  for (uint32_t i = 0; i < transfers->count; i++)
    {
      int index
          = co_find_index (core->quota_index, transfers->items[i].resource);

      if (index != CO_NO_INDEX
          && core->quotas[index]->sent_total[slot]
                 == transfers->items[i].total_sent)
        set_dirty (core->quotas[index], slot, false);
    }
}

/* Drop the totals exchanged with the departed member at SLOT: the ledger has
   taken them into the grants.  */
void
co_quota_forget_peer (struct co_core *core, int index, int slot)
{
  struct co_quota *right = core->quotas[index];

  right->net_received
      -= (int64_t)right->received_total[slot] - right->sent_total[slot];
  right->sent_total[slot] = 0;
  right->received_total[slot] = 0;
  set_dirty (right, slot, false);
}
