#include "co_inspect.h"
#include "co_internal.h"

#include <string.h>

/* The ledger: how many units of each quota are granted to each member.  It is
   stored in the table service, in one row for each shard.  In the ledger a
   quota is called a resource.  The sum of a resource's grants bounds the
   requests that can run at once.  Rows change only by conditional writes:

   - the leader adds resources, raises totals, and settles departed members;
   - each member retires its own unused units while a total exceeds its limit.

   Settling a departed member adds what the members have received from it, less
   what they have sent to it, to their grants, and grants the units that it
   still held to the members.  It is safe once every member has reported its
   transfers after the departed member was fenced, and every request that the
   departed member could have started has ended.  */

enum
{
  MAX_SETTLED_COUNT = 64 /* most recently settled members, listed in a row */
};

/* Between transfer reports for the same view.  */
static const co_time report_interval = CO_SECOND;
/* From the end of a read of a row to its next read, unless a write of the row
   meets a conflict in between.  */
static const co_time min_read_interval = 500 * CO_MILLISECOND;

static void
grant_serialize (struct ba_codec *io, struct co_grant *grant)
{
  ba_codec_u64 (io, &grant->incarnation);
  ba_codec_i64 (io, &grant->count);
}

static void
ledger_item_serialize (struct ba_codec *io, struct co_ledger_item *item)
{
  ba_codec_str (io, &item->resource);
  ba_codec_array (io, item->grants, item->grant_count,
                  CO_MAX_MEMBER_COUNT + CO_MAX_DEPARTED_COUNT,
                  grant_serialize);
  if (item->resource == NULL
      || strlen (item->resource) < CO_MIN_RESOURCE_NAME_BYTES)
    io->failed = true;
}

void
co_ledger_row_serialize (struct ba_codec *io, struct co_ledger_row *row)
{
  ba_codec_u64 (io, &row->version);
  ba_codec_array (io, row->items, row->item_count, CO_MAX_ARRAY_COUNT,
                  ledger_item_serialize);
  ba_codec_array (io, row->settled, row->settled_count,
                  MAX_SETTLED_COUNT + CO_MAX_DEPARTED_COUNT, ba_codec_u64);
}

/* Return a new ledger row decoded from BYTES and owned by MEM, or NULL if
   BYTES can't be decoded.  */
static struct co_ledger_row *
decode_row (TALLOC_CTX *mem, struct ba_bytes bytes)
{
  struct co_ledger_row *row = talloc_zero (mem, struct co_ledger_row);
  struct ba_codec io;

  ba_codec_init_reader (&io, row, bytes);
  co_ledger_row_serialize (&io, row);
  if (ba_codec_is_complete (&io))
    return row;
  talloc_free (row);
  return NULL;
}

/* Return the sum of the grants of ITEM.  */
static int64_t
item_total (const struct co_ledger_item *item)
{
  int64_t total = 0;

  for (uint32_t i = 0; i < item->grant_count; i++)
    total += item->grants[i].count;
  return total;
}

int64_t
co_ledger_row_total (struct ba_bytes body, const char *resource)
{
  struct co_ledger_row *row = decode_row (NULL, body);
  int64_t total = 0;

  for (uint32_t i = 0; row != NULL && i < row->item_count; i++)
    if (strcmp (row->items[i].resource, resource) == 0)
      total += item_total (&row->items[i]);
  talloc_free (row);
  return total;
}

/* Return the units of ITEM that are granted to the member INCARNATION.  */
static int64_t
granted_to (const struct co_ledger_item *item, uint64_t incarnation)
{
  for (uint32_t i = 0; i < item->grant_count; i++)
    if (item->grants[i].incarnation == incarnation)
      return item->grants[i].count;
  return 0;
}

/* Add COUNT, which may be negative, to the grant of the member INCARNATION in
   ITEM, which belongs to ROW.  */
static void
add_to_grant (struct co_ledger_row *row, struct co_ledger_item *item,
              uint64_t incarnation, int64_t count)
{
  for (uint32_t i = 0; i < item->grant_count; i++)
    if (item->grants[i].incarnation == incarnation)
      {
        item->grants[i].count += count;
        return;
      }
  item->grants = talloc_realloc (row, item->grants, struct co_grant,
                                 item->grant_count + 1);
  item->grants[item->grant_count].incarnation = incarnation;
  item->grants[item->grant_count].count = count;
  item->grant_count++;
}

static void
remove_grant (struct co_ledger_item *item, uint64_t incarnation)
{
  for (uint32_t i = 0; i < item->grant_count; i++)
    if (item->grants[i].incarnation == incarnation)
      {
        item->grants[i] = item->grants[--item->grant_count];
        return;
      }
}

/* Grant COUNT units of ITEM to the members, split evenly.  Which members get
   the remainder depends on the resource's name, so that no member is favoured
   for all resources.  */
static void
grant_evenly (const struct co_core *core, struct co_ledger_row *row,
              struct co_ledger_item *item, int64_t count)
{
  uint32_t members = core->view.member_count > 0 ? core->view.member_count : 1;
  int64_t each = count / members;
  uint32_t remainder = (uint32_t)(count % members);
  uint32_t first = (uint32_t)(ba_hash_str (item->resource, 1) % members);

  for (uint32_t i = 0; i < members; i++)
    {
      uint32_t place = (i + members - first) % members;
      int64_t units = each + (place < remainder ? 1 : 0);

      if (units > 0)
        add_to_grant (row, item, core->view.members[i].incarnation, units);
    }
}

/* Return whether the departed member INCARNATION is settled in ROW.  */
static bool
is_settled_in (const struct co_ledger_row *row, uint64_t incarnation)
{
  for (uint32_t i = 0; i < row->settled_count; i++)
    if (row->settled[i] == incarnation)
      return true;
  return false;
}

/* Drop the totals exchanged with members that are settled in ROW, the new row
   of SHARD.  The grants of ROW include these totals, so both must change
   together.  */
static void
forget_settled (struct co_core *core, int shard,
                const struct co_ledger_row *row)
{
  for (int peer_slot = 0; peer_slot < CO_PEER_SLOT_COUNT; peer_slot++)
    {
      struct co_peer *peer = &core->peers[peer_slot];

      if (peer->incarnation == 0 || peer->is_member
          || (peer->settled_shards & (1U << shard))
          || !is_settled_in (row, peer->incarnation))
        continue;
      peer->settled_shards |= 1U << shard;
      for (uint32_t i = 0; i < core->quota_count; i++)
        if (core->quotas[i]->shard == shard)
          co_quota_forget_peer (core, (int)i, peer_slot);
    }
}

/* Make ROW, which is owned by the core from now on, the current row of SHARD,
   and update the quotas of the shard.  */
static void
set_current_row (struct co_core *core, int shard, struct co_ledger_row *row)
{
  struct co_ledger_shard *state = &core->shards[shard];
  uint64_t own_incarnation = core->options.incarnation;

  if (is_settled_in (row, own_incarnation))
    {
      /* This member was evicted and doesn't know it yet.  Its grants are no
         longer valid, and it has nothing running.  */
      talloc_free (row);
      co_schedule_poll (core);
      return;
    }
  g_hash_table_remove_all (state->resource_index);
  forget_settled (core, shard, row);
  for (uint32_t i = 0; i < row->item_count; i++)
    {
      const struct co_ledger_item *item = &row->items[i];
      bool is_host_slots = item->resource[0] == 'h';
      int index = co_quota_find_or_add (core, is_host_slots ? "h" : "t",
                                        item->resource + 2, is_host_slots);
      struct co_quota *quota = core->quotas[index];

      g_hash_table_insert (state->resource_index, item->resource,
                           GINT_TO_POINTER ((int)i + 1));
      quota->retiring = 0;
      quota->own_grant = granted_to (item, own_incarnation);
      quota->granted_total = item_total (item);
    }
  talloc_free (state->current_row);
  state->current_row = row;
  for (uint32_t i = 0; i < core->quota_count; i++)
    if (core->quotas[i]->shard == shard)
      co_quota_notify_changed (core, (int)i);
}

/* Read the row of SHARD, unless a read is in flight or the last one was too
   recent.  */
static void
read_row (struct co_core *core, int shard)
{
  struct co_ledger_shard *state = &core->shards[shard];
  struct co_action *action;

  if (state->read_pending || core->now < state->retry_at)
    return;
  state->read_pending = true;
  action = co_add_action (core, CO_ACTION_READ);
  action->u.read.op_id
      = co_store_op_new (core, CO_STORE_OP_LEDGER_READ, shard);
  action->u.read.partition
      = talloc_asprintf (core->outbox->mem, "ledger/%d", shard);
  action->u.read.after_sort_key = co_outbox_strdup (core, "");
}

/* Write SHARD's pending row, for the first time or again.  */
static void
write_row (struct co_core *core, int shard)
{
  struct co_ledger_shard *state = &core->shards[shard];
  struct co_action *action = co_add_action (core, CO_ACTION_WRITE);

  state->write_pending = true;
  action->u.write.op_id
      = co_store_op_new (core, CO_STORE_OP_LEDGER_WRITE, shard);
  action->u.write.row.partition
      = talloc_asprintf (core->outbox->mem, "ledger/%d", shard);
  action->u.write.row.sort_key = co_outbox_strdup (core, "current");
  action->u.write.row.version = state->pending_row->version;
  action->u.write.row.body = ba_codec_encode (
      core->outbox->mem, co_ledger_row_serialize, state->pending_row);
  action->u.write.expected_version = state->pending_row->version - 1;
  action->u.write.required_view_version = state->required_view_version;
}

/* Discard the pending row of SHARD, whose write has not happened or has been
   superseded by another one, and undo the retirement of units in it.  */
static void
discard_write (struct co_core *core, int shard)
{
  struct co_ledger_shard *state = &core->shards[shard];

  TALLOC_FREE (state->pending_row);
  state->write_uncertain = false;
  state->conflict_unresolved = false;
  for (uint32_t i = 0; i < core->quota_count; i++)
    if (core->quotas[i]->shard == shard && core->quotas[i]->retiring != 0)
      {
        core->quotas[i]->retiring = 0;
        co_quota_notify_changed (core, (int)i);
      }
}

void
co_ledger_read_done (struct co_core *core, int shard,
                     const struct co_event_read_done *done)
{
  struct co_ledger_shard *state = &core->shards[shard];
  struct co_ledger_row *row;

  state->read_pending = false;
  state->retry_at = core->now + min_read_interval;
  if (done->result != CO_STORE_OK)
    return;
  if (done->row_count == 0)
    row = talloc_zero (core, struct co_ledger_row);
  else
    row = decode_row (core, done->rows[0].body);
  if (row == NULL
      || (done->row_count > 0 && row->version != done->rows[0].version))
    {
      talloc_free (row);
      co_increment_counter (core, CO_COUNTER_INVALID_ROWS);
      return;
    }
  if (state->current_row != NULL
      && row->version <= state->current_row->version)
    {
      talloc_free (row);
      if (state->conflict_unresolved)
        discard_write (core, shard);
      else if (state->write_uncertain && !state->write_pending)
        write_row (core, shard);
      return;
    }
  if (state->pending_row != NULL
      && row->version >= state->pending_row->version)
    discard_write (core, shard);
  set_current_row (core, shard, row);
}

void
co_ledger_write_done (struct co_core *core, int shard, uint32_t result)
{
  struct co_ledger_shard *state = &core->shards[shard];
  struct co_ledger_row *row = state->pending_row;

  state->write_pending = false;
  if (row == NULL)
    return;
  if (result == CO_STORE_UNKNOWN
      || (result == CO_STORE_UNREACHABLE && state->write_uncertain))
    {
      state->write_uncertain = true;
      return; /* the next read shows whether it happened, or repeats it */
    }
  if (result == CO_STORE_OK)
    {
      state->pending_row = NULL;
      state->write_uncertain = false;
      core->next_heartbeat_at = core->now; /* announce the new version */
      if (state->current_row == NULL
          || row->version > state->current_row->version)
        set_current_row (core, shard, row);
      else
        talloc_free (row);
      return;
    }
  if (result == CO_STORE_UNREACHABLE)
    {
      discard_write (core, shard);
      return;
    }
  /* The conflict may be with an earlier attempt of the same write.  The next
     read shows that: if the row has not changed, then the view has, and no
     attempt that may still be in flight can succeed.  */
  state->retry_at = core->now;
  state->conflict_unresolved = true;
  state->write_uncertain = false;
}

void
co_ledger_note_versions (struct co_core *core,
                         const struct co_msg_heartbeat *heartbeat)
{
  for (uint32_t i = 0;
       i < heartbeat->ledger_version_count && i < CO_LEDGER_SHARD_COUNT; i++)
    if (heartbeat->ledger_versions[i] > core->shards[i].announced_version)
      core->shards[i].announced_version = heartbeat->ledger_versions[i];
}

/* Return, for each departed member and quota, the units that this member has
   received from the departed member less those that it has sent to it, except
   where the difference is 0.  The array is owned by MEM, and *COUNT is set to
   its length.  */
static struct co_transfer_balance *
collect_transfers (const struct co_core *core, TALLOC_CTX *mem,
                   uint32_t *count)
{
  struct co_transfer_balance *transfers
      = talloc_zero_array (mem, struct co_transfer_balance, 1);
  uint32_t capacity = 1;

  *count = 0;
  for (int peer_slot = 0; peer_slot < CO_PEER_SLOT_COUNT; peer_slot++)
    {
      const struct co_peer *peer = &core->peers[peer_slot];

      if (peer->incarnation == 0 || peer->is_member)
        continue;
      for (uint32_t i = 0; i < core->quota_count; i++)
        {
          const struct co_quota *quota = core->quotas[i];
          int64_t net = (int64_t)quota->received_total[peer_slot]
                        - (int64_t)quota->sent_total[peer_slot];

          if (net == 0)
            continue;
          if (*count == capacity)
            {
              capacity *= 2;
              transfers = talloc_realloc (
                  mem, transfers, struct co_transfer_balance, capacity);
            }
          transfers[*count].departed_incarnation = peer->incarnation;
          transfers[*count].resource = quota->name;
          transfers[*count].net_received = net;
          (*count)++;
        }
    }
  return transfers;
}

/* Report this member's transfers with departed members to the leader: at once
   for a new view, and repeatedly every report_interval, because a message may
   be lost.  */
static void
send_transfer_report (struct co_core *core)
{
  int own_peer_slot = co_peer_slot (core, core->options.incarnation);
  struct co_peer *peer = &core->peers[own_peer_slot];
  struct co_msg *message;

  if (peer->report_view_version == core->view.version
      && core->now - peer->report_sent_at < report_interval)
    return;
  peer->report_view_version = core->view.version;
  peer->report_sent_at = core->now;
  message = co_add_message (core, core->view.members[0].incarnation,
                            CO_MSG_TRANSFER_REPORT);
  message->u.transfer_report.view_version = core->view.version;
  message->u.transfer_report.items = collect_transfers (
      core, core->outbox->mem, &message->u.transfer_report.count);
}

void
co_ledger_receive_report (struct co_core *core, int peer_slot,
                          const struct co_msg_transfer_report *report)
{
  struct co_peer *peer = &core->peers[peer_slot];

  if (report->view_version != core->view.version
      || peer->report_view_version == core->view.version)
    return;
  talloc_free (peer->reported_balances);
  peer->reported_balances = talloc_zero_array (
      core, struct co_transfer_balance, report->count + 1);
  peer->reported_balance_count = report->count;
  for (uint32_t i = 0; i < report->count; i++)
    {
      peer->reported_balances[i] = report->items[i];
      peer->reported_balances[i].resource
          = talloc_strdup (peer->reported_balances, report->items[i].resource);
    }
  peer->report_view_version = core->view.version;
}

/* Return whether the departed members may be settled now: the view is
   confirmed, their leases and the requests that they started have ended, and
   every member has reported its transfers.  */
static bool
can_settle (const struct co_core *core)
{
  bool wait_for_running = !(core->options.disabled & CO_DISABLE_RECLAIM_WAIT);

  if (core->view.departed_count == 0 || !co_view_is_confirmed (core))
    return false;
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      const struct co_departed_member *departed = &core->view.departed[i];
      const struct co_peer *peer
          = &core->peers[co_peer_slot (core, departed->incarnation)];
      co_time max_run_time = departed->departure == CO_DEPARTED_GRACEFUL
                                 ? 0
                                 : core->options.max_time_to_deadline;

      if (wait_for_running
          && (peer->lease_expires_at == 0
              || core->now < peer->lease_expires_at + max_run_time))
        return false;
    }
  if (core->options.disabled & CO_DISABLE_TRANSFER_REPORTS)
    return true;
  for (uint32_t i = 0; i < core->view.member_count; i++)
    {
      uint64_t member = core->view.members[i].incarnation;

      if (member != core->options.incarnation
          && core->peers[co_peer_slot (core, member)].report_view_version
                 != core->view.version)
        return false;
    }
  return true;
}

/* Return whether INCARNATION is a departed member that is not settled in
   ROW.  */
static bool
needs_settling (const struct co_core *core, const struct co_ledger_row *row,
                uint64_t incarnation)
{
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    if (core->view.departed[i].incarnation == incarnation)
      return !is_settled_in (row, incarnation);
  return false;
}

/* Add the COUNT transfers that MEMBER has reported to its grants in ROW, and
   subtract them from the grants of the departed members.  INDEX holds the
   positions of ROW's items by resource.  */
static void
apply_transfers (const struct co_core *core, struct co_ledger_row *row,
                 GHashTable *index, uint64_t member,
                 const struct co_transfer_balance *transfers, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      int item = co_find_index (index, transfers[i].resource);

      if (item == CO_NO_INDEX
          || !needs_settling (core, row, transfers[i].departed_incarnation))
        continue;
      add_to_grant (row, &row->items[item], member, transfers[i].net_received);
      add_to_grant (row, &row->items[item], transfers[i].departed_incarnation,
                    -transfers[i].net_received);
    }
}

/* Grant the units of ITEM that departed members still hold to the members.
   Return false if their number is negative, which means that ROW is older than
   the reports, so that writing it would fail.  */
static bool
redistribute_departed (const struct co_core *core, struct co_ledger_row *row,
                       struct co_ledger_item *item)
{
  int64_t reclaimed = 0;

  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      uint64_t departed = core->view.departed[i].incarnation;

      if (!needs_settling (core, row, departed))
        continue;
      reclaimed += granted_to (item, departed);
      remove_grant (item, departed);
    }
  if (reclaimed > 0)
    grant_evenly (core, row, item, reclaimed);
  return reclaimed >= 0;
}

enum settle_result
{
  SETTLE_UNCHANGED,
  SETTLE_CHANGED,
  SETTLE_STALE /* the row has to be read again */
};

/* Settle in ROW the departed members that are not settled there, if that may
   be done now.  INDEX holds the positions of ROW's items by resource.  */
static enum settle_result
settle_departed (struct co_core *core, struct co_ledger_row *row,
                 GHashTable *index)
{
  uint32_t count;
  struct co_transfer_balance *transfers;
  uint32_t unsettled_count = 0;

  for (uint32_t i = 0; i < core->view.departed_count; i++)
    if (needs_settling (core, row, core->view.departed[i].incarnation))
      unsettled_count++;
  if (unsettled_count == 0 || !can_settle (core))
    return SETTLE_UNCHANGED;
  transfers = collect_transfers (core, row, &count);
  apply_transfers (core, row, index, core->options.incarnation, transfers,
                   count);
  for (uint32_t i = 0; i < core->view.member_count; i++)
    {
      uint64_t member = core->view.members[i].incarnation;
      const struct co_peer *peer = &core->peers[co_peer_slot (core, member)];

      if (member != core->options.incarnation)
        apply_transfers (core, row, index, member, peer->reported_balances,
                         peer->reported_balance_count);
    }
  for (uint32_t i = 0; i < row->item_count; i++)
    if (!redistribute_departed (core, row, &row->items[i]))
      return SETTLE_STALE;
  row->settled = talloc_realloc (row, row->settled, uint64_t,
                                 row->settled_count + unsettled_count);
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      uint64_t departed = core->view.departed[i].incarnation;

      if (needs_settling (core, row, departed))
        row->settled[row->settled_count++] = departed;
    }
  if (row->settled_count > MAX_SETTLED_COUNT)
    {
      uint32_t surplus = row->settled_count - MAX_SETTLED_COUNT;

      row->settled_count = MAX_SETTLED_COUNT;
      memmove (row->settled, row->settled + surplus,
               MAX_SETTLED_COUNT * sizeof *row->settled);
    }
  co_increment_counter (core, CO_COUNTER_SETTLEMENTS);
  return SETTLE_CHANGED;
}

/* Add the quotas of SHARD that ROW lacks, and raise the totals that are below
   their quota's limit.  INDEX holds the positions of ROW's items by resource.
   Return whether ROW has changed.  */
static bool
add_and_raise_quotas (struct co_core *core, int shard,
                      struct co_ledger_row *row, GHashTable *index)
{
  bool changed = false;

  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      const struct co_quota *quota = core->quotas[i];
      int item;
      int64_t shortfall;

      if (quota->shard != shard || quota->owner == CO_NO_INDEX)
        continue;
      item = co_find_index (index, quota->name);
      if (item == CO_NO_INDEX)
        {
          row->items = talloc_realloc (row, row->items, struct co_ledger_item,
                                       row->item_count + 1);
          item = (int)row->item_count++;
          memset (&row->items[item], 0, sizeof row->items[item]);
          row->items[item].resource = talloc_strdup (row, quota->name);
          changed = true;
        }
      shortfall = quota->limit - item_total (&row->items[item]);
      if (shortfall > 0)
        {
          grant_evenly (core, row, &row->items[item], shortfall);
          changed = true;
        }
    }
  return changed;
}

/* Retire unused units of this member in ROW where the total granted exceeds
   the quota's limit.  INDEX holds the positions of ROW's items by resource.
   Return whether ROW has changed.  */
static bool
retire_surplus (struct co_core *core, int shard, struct co_ledger_row *row,
                GHashTable *index)
{
  bool changed = false;

  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      struct co_quota *quota = core->quotas[i];
      int64_t surplus = quota->granted_total - quota->limit;
      int64_t units = co_quota_unused (quota);
      int item;

      if (quota->shard != shard || quota->owner == CO_NO_INDEX
          || quota->granted_total < 0 || surplus <= 0 || units <= 0)
        continue;
      item = co_find_index (index, quota->name);
      if (item == CO_NO_INDEX)
        continue;
      if (units > surplus)
        units = surplus;
      quota->retiring = units;
      add_to_grant (row, &row->items[item], core->options.incarnation, -units);
      core->counters[CO_COUNTER_QUOTA_RETIRED] += (uint64_t)units;
      changed = true;
    }
  return changed;
}

/* Compute the next row of SHARD and write it if it differs from the current
   one.  */
static void
write_row_if_changed (struct co_core *core, int shard)
{
  struct co_ledger_shard *state = &core->shards[shard];
  struct ba_bytes bytes = ba_codec_encode (
      core->outbox->mem, co_ledger_row_serialize, state->current_row);
  struct co_ledger_row *next = decode_row (core, bytes);
  bool is_leader = co_is_leader (core);
  bool changed = false;

  if (is_leader)
    {
      enum settle_result settled
          = settle_departed (core, next, state->resource_index);

      if (settled == SETTLE_STALE)
        {
          state->announced_version = state->current_row->version + 1;
          talloc_free (next);
          return;
        }
      changed |= settled == SETTLE_CHANGED;
      changed
          |= add_and_raise_quotas (core, shard, next, state->resource_index);
      /* Create an absent row, because departed members have to be settled in
         every shard.  */
      changed |= state->current_row->version == 0;
    }
  if (!changed || !is_leader)
    changed |= retire_surplus (core, shard, next, state->resource_index);
  if (!changed)
    {
      talloc_free (next);
      return;
    }
  next->version = state->current_row->version + 1;
  state->pending_row = next;
  state->required_view_version = is_leader ? core->view.version : 0;
  write_row (core, shard);
}

/* Return the shards whose row may have to change, as a bit set.  */
static uint32_t
shards_to_write (const struct co_core *core)
{
  bool is_leader = co_is_leader (core);
  uint32_t needed = 0;

  if (is_leader && (core->view.departed_count > 0))
    return (1U << CO_LEDGER_SHARD_COUNT) - 1;
  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      const struct co_quota *quota = core->quotas[i];

      if (quota->owner == CO_NO_INDEX)
        continue;
      if ((is_leader && quota->granted_total < quota->limit)
          || (quota->granted_total > quota->limit
              && co_quota_unused (quota) > 0))
        needed |= 1U << quota->shard;
    }
  for (int i = 0; i < CO_LEDGER_SHARD_COUNT; i++)
    if (is_leader && core->shards[i].current_row != NULL
        && core->shards[i].current_row->version == 0)
      needed |= 1U << i;
  return needed;
}

void
co_ledger_tick (struct co_core *core)
{
  uint32_t needed;

  if (core->phase != CO_PHASE_MEMBER)
    return;
  if (core->view.departed_count > 0 && !co_is_leader (core))
    send_transfer_report (core);
  needed = shards_to_write (core);
  for (int i = 0; i < CO_LEDGER_SHARD_COUNT; i++)
    {
      struct co_ledger_shard *state = &core->shards[i];

      if (state->current_row == NULL || state->write_uncertain
          || state->conflict_unresolved
          || state->announced_version > state->current_row->version)
        read_row (core, i);
      if (state->current_row != NULL && state->pending_row == NULL
          && (needed & (1U << i)) && co_table_read_is_recent (core))
        write_row_if_changed (core, i);
    }
}
