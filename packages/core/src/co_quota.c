#include "co_internal.h"

#include <string.h>

/* Quotas: how many requests this member may run at once for a team, or on a
   host.  The quota of a team is called "t/TEAM", that of a host "h/HOST"; the
   latter counts the host's worker slots.

   The ledger grants units of each quota to members, and members lend units to
   each other.  For each pair of members, a transfer message carries the total
   ever sent, which only grows, so a lost or repeated message does no harm.  A
   member holds

     grant + sum of received - sum of sent - retiring

   units, where "retiring" are units that it is giving up in a ledger write.  A
   sender lowers its own balance before its message leaves, so the sum over all
   members never exceeds the sum of the grants, whatever happens to the
   messages.  */

enum
{
  HOST_SHARD_COUNT = CO_LEDGER_SHARD_COUNT - 1,
  UNACKED_WORD_BITS = 64 /* of each element of co_quota.unacked */
};

/* Return the ledger shard of the quota called NAME: teams share the first, and
   hosts are spread over the others by hash.  */
static int
shard_of (const char *name, bool is_host_slots)
{
  if (!is_host_slots)
    return 0;
  return 1 + (int)(ba_hash_str (name, 0) % HOST_SHARD_COUNT);
}

int
co_quota_find_or_add (struct co_core *core, const char *prefix,
                      const char *name, bool is_host_slots)
{
  char *full_name = talloc_asprintf (core, "%s/%s", prefix, name);
  int index = co_find_index (core->quota_index, full_name);
  struct co_quota *quota;

  if (index != CO_NO_INDEX)
    {
      talloc_free (full_name);
      return index;
    }
  quota = talloc_zero (core, struct co_quota);
  quota->name = talloc_steal (quota, full_name);
  quota->is_host_slots = is_host_slots;
  quota->owner = CO_NO_INDEX;
  quota->shard = shard_of (full_name, is_host_slots);
  quota->granted_total = -1;
  /* The array has a power of two as its size, which is doubled before the last
     element is used.  */
  if ((core->quota_count & (core->quota_count + 1)) == 0)
    core->quotas = talloc_realloc (core, core->quotas, struct co_quota *,
                                   (core->quota_count + 1) * 2);
  index = (int)core->quota_count++;
  core->quotas[index] = quota;
  g_hash_table_insert (core->quota_index, quota->name,
                       GINT_TO_POINTER (index + 1));
  return index;
}

int64_t
co_quota_held (const struct co_quota *quota)
{
  return quota->own_grant - quota->retiring + quota->net_received;
}

int64_t
co_quota_unused (const struct co_quota *quota)
{
  return co_quota_held (quota) - quota->in_use;
}

bool
co_quota_is_usable (const struct co_core *core, const struct co_quota *quota)
{
  if (core->options.disabled & CO_DISABLE_QUOTA)
    return true;
  return quota->granted_total >= 0 && quota->granted_total <= quota->limit;
}

void
co_quota_notify_changed (struct co_core *core, int index)
{
  struct co_quota *quota = core->quotas[index];

  if (quota->owner == CO_NO_INDEX)
    return;
  if (quota->is_host_slots)
    {
      co_host_refresh (core, quota->owner);
      core->pools[core->hosts[quota->owner]->pool]->needs_dispatch = true;
      return;
    }
  for (uint32_t p = 0; p < core->pool_count; p++)
    if (core->pools[p]->waiting > 0)
      core->pools[p]->needs_dispatch = true;
}

void
co_quota_acquire (struct co_core *core, int index)
{
  struct co_quota *quota = core->quotas[index];

  quota->in_use++;
  if (!(core->options.disabled & CO_DISABLE_QUOTA))
    g_assert_cmpint (quota->in_use, <=, co_quota_held (quota));
  if (quota->is_host_slots && quota->owner != CO_NO_INDEX)
    co_host_refresh (core, quota->owner);
}

void
co_quota_release (struct co_core *core, int index)
{
  struct co_quota *quota = core->quotas[index];

  g_assert_cmpint (quota->in_use, >, 0);
  quota->in_use--;
  co_quota_notify_changed (core, index);
}

/* Return whether the member at PEER_SLOT has not acknowledged the total of
   QUOTA that this member has lent to it.  */
static bool
is_unacked (const struct co_quota *quota, int peer_slot)
{
  return (quota->unacked[peer_slot / UNACKED_WORD_BITS]
          >> (peer_slot % UNACKED_WORD_BITS))
         & 1;
}

static void
set_unacked (struct co_quota *quota, int peer_slot, bool unacked)
{
  uint64_t bit = UINT64_C (1) << (peer_slot % UNACKED_WORD_BITS);

  if (unacked)
    quota->unacked[peer_slot / UNACKED_WORD_BITS] |= bit;
  else
    quota->unacked[peer_slot / UNACKED_WORD_BITS] &= ~bit;
}

/* Queue the quota at INDEX, so that the total lent to the member at PEER_SLOT
   is sent to it at the end of the step.  */
static void
queue_total (struct co_core *core, int index, int peer_slot)
{
  struct co_quota *quota = core->quotas[index];

  set_unacked (quota, peer_slot, true);
  if (quota->send_queued)
    return;
  quota->send_queued = true;
  g_array_append_val (core->quotas_to_send, index);
}

void
co_quota_lend (struct co_core *core, int index, int peer_slot, int64_t count)
{
  struct co_quota *quota = core->quotas[index];

  g_assert (co_is_member (core, peer_slot));
  g_assert_cmpint (count, >, 0);
  g_assert_cmpint (count, <=, co_quota_unused (quota));
  quota->sent_total[peer_slot] += (uint32_t)count;
  quota->net_received -= count;
  core->counters[CO_COUNTER_QUOTA_LENT] += (uint64_t)count;
  queue_total (core, index, peer_slot);
  co_quota_notify_changed (core, index);
}

/* Send the unacknowledged totals of the queued quotas to the member at
   PEER_SLOT, in one message.  */
static void
send_queued_totals (struct co_core *core, int peer_slot)
{
  TALLOC_CTX *mem = core->outbox->mem;
  struct co_quota_transfer *items = NULL;
  struct co_msg *message;
  uint32_t count = 0;

  for (guint i = 0; i < core->quotas_to_send->len; i++)
    {
      struct co_quota *quota
          = core->quotas[g_array_index (core->quotas_to_send, int, i)];

      if (!is_unacked (quota, peer_slot))
        continue;
      if (items == NULL)
        items = talloc_zero_array (mem, struct co_quota_transfer,
                                   core->quotas_to_send->len);
      items[count].resource = quota->name;
      items[count++].total_sent = quota->sent_total[peer_slot];
    }
  if (count == 0)
    return;
  message = co_add_message (core, core->peers[peer_slot].incarnation,
                            CO_MSG_TRANSFERS);
  message->u.transfers.items = items;
  message->u.transfers.count = count;
}

void
co_quota_send_transfers (struct co_core *core)
{
  if (core->quotas_to_send->len == 0)
    return;
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member)
      send_queued_totals (core, i);
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
      struct co_quota *quota = core->quotas[i];

      if ((quota->unacked[0] | quota->unacked[1]) == 0 || quota->send_queued)
        continue;
      quota->send_queued = true;
      g_array_append_val (core->quotas_to_send, i);
    }
}

void
co_quota_receive_transfers (struct co_core *core, int peer_slot,
                            const struct co_msg_transfers *transfers)
{
  struct co_msg *ack;

  for (uint32_t i = 0; i < transfers->count; i++)
    {
      const struct co_quota_transfer *transfer = &transfers->items[i];
      bool is_host_slots = transfer->resource[0] == 'h';
      int index;
      struct co_quota *quota;

      if (strlen (transfer->resource) < CO_MIN_RESOURCE_NAME_BYTES
          || transfer->resource[1] != '/')
        continue;
      index = co_quota_find_or_add (core, is_host_slots ? "h" : "t",
                                    transfer->resource + 2, is_host_slots);
      quota = core->quotas[index];
      if (transfer->total_sent <= quota->received_total[peer_slot])
        continue;
      core->counters[CO_COUNTER_QUOTA_RECEIVED]
          += transfer->total_sent - quota->received_total[peer_slot];
      quota->net_received
          += (int64_t)transfer->total_sent - quota->received_total[peer_slot];
      quota->received_total[peer_slot] = transfer->total_sent;
      co_quota_notify_changed (core, index);
    }
  ack = co_add_message (core, core->peers[peer_slot].incarnation,
                        CO_MSG_TRANSFERS_ACK);
  ack->u.transfers = *transfers;
}

void
co_quota_receive_acks (struct co_core *core, int peer_slot,
                       const struct co_msg_transfers *transfers)
{
  for (uint32_t i = 0; i < transfers->count; i++)
    {
      int index
          = co_find_index (core->quota_index, transfers->items[i].resource);

      if (index != CO_NO_INDEX
          && core->quotas[index]->sent_total[peer_slot]
                 == transfers->items[i].total_sent)
        set_unacked (core->quotas[index], peer_slot, false);
    }
}

void
co_quota_forget_peer (struct co_core *core, int index, int peer_slot)
{
  struct co_quota *quota = core->quotas[index];

  quota->net_received -= (int64_t)quota->received_total[peer_slot]
                         - quota->sent_total[peer_slot];
  quota->sent_total[peer_slot] = 0;
  quota->received_total[peer_slot] = 0;
  set_unacked (quota, peer_slot, false);
}
