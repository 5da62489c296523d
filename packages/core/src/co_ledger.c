#include "co_inspect.h"
#include "co_internal.h"

#include <string.h>

/* The ledger: how the rights of each resource are granted to members, as rows
   of the table service.  The sum of a resource's grants is the most that can
   run.  Rows change only by conditional writes:

   - the lead adds resources, raises totals, and settles departed members;
   - each member burns its own free rights while a total exceeds its limit.

   Settling takes the totals exchanged with departed members into the grants
   and gives what those still held to the members.  It is safe once every
   member has reported its totals after the departed were fenced, and every
   request that a departed member could have started has ended.  */

enum
{
  MAX_SETTLED = 64 /* departed members remembered in a row */
};

static const co_time seal_interval = CO_SECOND;
static const co_time read_retry = 500 * CO_MILLISECOND;

static void
grant_code (struct ba_codec *io, struct co_grant *grant)
{
  ba_codec_u64 (io, &grant->incarnation);
  ba_codec_i64 (io, &grant->count);
}

static void
item_code (struct ba_codec *io, struct co_ledger_item *item)
{
  ba_codec_str (io, &item->resource);
  ba_codec_array (io, item->grants, item->grant_count,
                  CO_MAX_MEMBER_COUNT + CO_MAX_DEPARTED_COUNT, grant_code);
  if (item->resource == NULL || strlen (item->resource) < 3)
    io->failed = true;
}

void
co_ledger_serialize (struct ba_codec *io, struct co_ledger *ledger)
{
  ba_codec_u64 (io, &ledger->version);
  ba_codec_array (io, ledger->items, ledger->item_count, CO_MAX_ARRAY_COUNT,
                  item_code);
  ba_codec_array (io, ledger->settled, ledger->settled_count,
                  MAX_SETTLED + CO_MAX_DEPARTED_COUNT, ba_codec_u64);
}

/* Return a new ledger decoded from BYTES, or NULL.  */
static struct co_ledger *
decode (TALLOC_CTX *mem, struct ba_bytes bytes)
{
  struct co_ledger *ledger = talloc_zero (mem, struct co_ledger);
  struct ba_codec io;

  ba_codec_init_reader (&io, ledger, bytes);
  co_ledger_serialize (&io, ledger);
  if (ba_codec_is_complete (&io))
    return ledger;
  talloc_free (ledger);
  return NULL;
}

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
  struct co_ledger *ledger = decode (NULL, body);
  int64_t total = 0;

  for (uint32_t i = 0; ledger != NULL && i < ledger->item_count; i++)
    if (strcmp (ledger->items[i].resource, resource) == 0)
      total += item_total (&ledger->items[i]);
  talloc_free (ledger);
  return total;
}

static int64_t
grant_of (const struct co_ledger_item *item, uint64_t incarnation)
{
  for (uint32_t i = 0; i < item->grant_count; i++)
    if (item->grants[i].incarnation == incarnation)
      return item->grants[i].count;
  return 0;
}

/* Add COUNT, which may be negative, to a member's grant in ITEM.  */
static void
grant_add (struct co_ledger *ledger, struct co_ledger_item *item,
           uint64_t incarnation, int64_t count)
{
  for (uint32_t i = 0; i < item->grant_count; i++)
    if (item->grants[i].incarnation == incarnation)
      {
        item->grants[i].count += count;
        return;
      }
  item->grants = talloc_realloc (ledger, item->grants, struct co_grant,
                                 item->grant_count + 1);
  item->grants[item->grant_count].incarnation = incarnation;
  item->grants[item->grant_count].count = count;
  item->grant_count++;
}

static void
grant_remove (struct co_ledger_item *item, uint64_t incarnation)
{
  for (uint32_t i = 0; i < item->grant_count; i++)
    if (item->grants[i].incarnation == incarnation)
      {
        item->grants[i] = item->grants[--item->grant_count];
        return;
      }
}

/* Split COUNT rights evenly over the members, the odd ones by turns.  */
static void
grant_spread (const struct co_core *core, struct co_ledger *ledger,
              struct co_ledger_item *item, int64_t count)
{
  uint32_t members = core->view.member_count > 0 ? core->view.member_count : 1;
  int64_t each = count / members;
  uint32_t odd = (uint32_t)(count % members);
  uint32_t first = (uint32_t)(ba_hash_str (item->resource, 1) % members);

  for (uint32_t i = 0; i < members; i++)
    {
      uint32_t turn = (i + members - first) % members;
      int64_t part = each + (turn < odd ? 1 : 0);

      if (part > 0)
        grant_add (ledger, item, core->view.members[i].incarnation, part);
    }
}

static bool
is_settled_in (const struct co_ledger *ledger, uint64_t incarnation)
{
  for (uint32_t i = 0; i < ledger->settled_count; i++)
    if (ledger->settled[i] == incarnation)
      return true;
  return false;
}

/* Drop the totals exchanged with members that ROW has settled.  The grants
   of the same row include them, so both change in one step.  */
static void
forget_settled (struct co_core *core, int shard, const struct co_ledger *row)
{
  for (int slot = 0; slot < CO_PEER_SLOT_COUNT; slot++)
    {
      struct co_peer *peer = &core->peers[slot];

      if (peer->incarnation == 0 || peer->is_member
          || (peer->settled_shards & (1U << shard))
          || !is_settled_in (row, peer->incarnation))
        continue;
      peer->settled_shards |= 1U << shard;
      for (uint32_t i = 0; i < core->quota_count; i++)
        if (core->quotas[i]->shard == shard)
          co_quota_forget_peer (core, (int)i, slot);
    }
}

/* Make ROW, which the shard takes over, the present row of SHARD.  */
static void
adopt (struct co_core *core, int shard, struct co_ledger *row)
{
  struct co_ledger_shard *s = &core->shards[shard];
  uint64_t self = core->options.incarnation;

  if (is_settled_in (row, self))
    {
      /* This member was taken out and does not know it yet.  Its balances are
         void, and it has nothing running any more.  */
      talloc_free (row);
      co_schedule_poll (core);
      return;
    }
  g_hash_table_remove_all (s->resource_index);
  forget_settled (core, shard, row);
  for (uint32_t i = 0; i < row->item_count; i++)
    {
      const struct co_ledger_item *item = &row->items[i];
      bool slots = item->resource[0] == 'h';
      int index = co_quota_find_or_add (core, slots ? "h" : "t",
                                        item->resource + 2, slots);
      struct co_quota *right = core->quotas[index];

      g_hash_table_insert (s->resource_index, item->resource,
                           GINT_TO_POINTER ((int)i + 1));
      right->retiring = 0;
      right->own_grant = grant_of (item, self);
      right->granted_total = item_total (item);
    }
  talloc_free (s->current_row);
  s->current_row = row;
  for (uint32_t i = 0; i < core->quota_count; i++)
    if (core->quotas[i]->shard == shard)
      co_quota_notify_changed (core, (int)i);
}

static void
send_read (struct co_core *core, int shard)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct co_action *o;

  if (s->read_pending || core->now < s->retry_at)
    return;
  s->read_pending = true;
  o = co_add_action (core, CO_ACTION_READ);
  o->u.read.op_id = co_store_op_new (core, CO_STORE_OP_LEDGER_READ, shard);
  o->u.read.partition
      = talloc_asprintf (core->outbox->mem, "ledger/%d", shard);
  o->u.read.after_sort_key = co_outbox_strdup (core, "");
}

/* Send, or send again, the write of the shard's next row.  */
static void
send_write (struct co_core *core, int shard)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct co_action *o = co_add_action (core, CO_ACTION_WRITE);

  s->write_pending = true;
  o->u.write.op_id = co_store_op_new (core, CO_STORE_OP_LEDGER_WRITE, shard);
  o->u.write.row.partition
      = talloc_asprintf (core->outbox->mem, "ledger/%d", shard);
  o->u.write.row.sort_key = co_outbox_strdup (core, "current");
  o->u.write.row.version = s->pending_row->version;
  o->u.write.row.body = ba_codec_encode (core->outbox->mem,
                                         co_ledger_serialize, s->pending_row);
  o->u.write.expected_version = s->pending_row->version - 1;
  o->u.write.required_view_version = s->required_view_version;
}

/* Drop a write that can't have happened or has been overtaken.  */
static void
drop_write (struct co_core *core, int shard)
{
  struct co_ledger_shard *s = &core->shards[shard];

  TALLOC_FREE (s->pending_row);
  s->write_uncertain = false;
  s->conflict_unresolved = false;
  for (uint32_t i = 0; i < core->quota_count; i++)
    if (core->quotas[i]->shard == shard && core->quotas[i]->retiring != 0)
      {
        core->quotas[i]->retiring = 0;
        co_quota_notify_changed (core, (int)i);
      }
}

void
co_ledger_read_done (struct co_core *core, int shard,
                     const struct co_event_read_done *rows)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct co_ledger *row;

  s->read_pending = false;
  s->retry_at = core->now + read_retry;
  if (rows->result != CO_STORE_OK)
    return;
  if (rows->row_count == 0)
    row = talloc_zero (core, struct co_ledger);
  else
    row = decode (core, rows->rows[0].body);
  if (row == NULL
      || (rows->row_count > 0 && row->version != rows->rows[0].version))
    {
      talloc_free (row);
      co_increment_counter (core, CO_COUNTER_INVALID_ROWS);
      return;
    }
  if (s->current_row != NULL && row->version <= s->current_row->version)
    {
      talloc_free (row);
      if (s->conflict_unresolved)
        drop_write (core, shard);
      else if (s->write_uncertain && !s->write_pending)
        send_write (core, shard);
      return;
    }
  if (s->pending_row != NULL && row->version >= s->pending_row->version)
    drop_write (core, shard);
  adopt (core, shard, row);
}

void
co_ledger_write_done (struct co_core *core, int shard, uint32_t result)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct co_ledger *row = s->pending_row;

  s->write_pending = false;
  if (row == NULL)
    return;
  if (result == CO_STORE_UNKNOWN
      || (result == CO_STORE_UNREACHABLE && s->write_uncertain))
    {
      s->write_uncertain = true;
      return; /* the next read tells, or it is written again */
    }
  if (result == CO_STORE_OK)
    {
      s->pending_row = NULL;
      s->write_uncertain = false;
      core->next_heartbeat_at = core->now; /* tell the others */
      if (s->current_row == NULL || row->version > s->current_row->version)
        adopt (core, shard, row);
      else
        talloc_free (row);
      return;
    }
  if (result == CO_STORE_UNREACHABLE)
    {
      drop_write (core, shard);
      return;
    }
  /* The conflict may be an earlier try of this write.  The next read tells:
     if the row has not changed then the guard failed, and no try that may
     still be under way can pass it.  */
  s->retry_at = core->now;
  s->conflict_unresolved = true;
  s->write_uncertain = false;
}

void
co_ledger_note_versions (struct co_core *core,
                         const struct co_msg_heartbeat *beat)
{
  for (uint32_t i = 0;
       i < beat->ledger_version_count && i < CO_LEDGER_SHARD_COUNT; i++)
    if (beat->ledger_versions[i] > core->shards[i].announced_version)
      core->shards[i].announced_version = beat->ledger_versions[i];
}

/* Return what this member has exchanged with departed ones, net.  */
static struct co_transfer_balance *
own_seals (const struct co_core *core, TALLOC_CTX *mem, uint32_t *count)
{
  struct co_transfer_balance *seals
      = talloc_zero_array (mem, struct co_transfer_balance, 1);
  uint32_t space = 1;

  *count = 0;
  for (int slot = 0; slot < CO_PEER_SLOT_COUNT; slot++)
    {
      const struct co_peer *peer = &core->peers[slot];

      if (peer->incarnation == 0 || peer->is_member)
        continue;
      for (uint32_t i = 0; i < core->quota_count; i++)
        {
          const struct co_quota *right = core->quotas[i];
          int64_t net = (int64_t)right->received_total[slot]
                        - (int64_t)right->sent_total[slot];

          if (net == 0)
            continue;
          if (*count == space)
            {
              space *= 2;
              seals = talloc_realloc (mem, seals, struct co_transfer_balance,
                                      space);
            }
          seals[*count].departed_incarnation = peer->incarnation;
          seals[*count].resource = right->name;
          seals[*count].net_received = net;
          (*count)++;
        }
    }
  return seals;
}

static void
send_seals (struct co_core *core)
{
  int self = co_peer_slot (core, core->options.incarnation);
  struct co_peer *peer = &core->peers[self];
  struct co_msg *m;

  if (peer->report_view_version == core->view.version
      && core->now - peer->report_sent_at < seal_interval)
    return;
  peer->report_view_version = core->view.version;
  peer->report_sent_at = core->now;
  m = co_add_message (core, core->view.members[0].incarnation,
                      CO_MSG_TRANSFER_REPORT);
  m->u.transfer_report.view_version = core->view.version;
  m->u.transfer_report.items
      = own_seals (core, core->outbox->mem, &m->u.transfer_report.count);
}

void
co_ledger_receive_report (struct co_core *core, int slot,
                          const struct co_msg_transfer_report *seals)
{
  struct co_peer *peer = &core->peers[slot];

  if (seals->view_version != core->view.version
      || peer->report_view_version == core->view.version)
    return;
  talloc_free (peer->reported_balances);
  peer->reported_balances
      = talloc_zero_array (core, struct co_transfer_balance, seals->count + 1);
  peer->reported_balance_count = seals->count;
  for (uint32_t i = 0; i < seals->count; i++)
    {
      peer->reported_balances[i] = seals->items[i];
      peer->reported_balances[i].resource
          = talloc_strdup (peer->reported_balances, seals->items[i].resource);
    }
  peer->report_view_version = core->view.version;
}

/* Return whether the departed members may be settled now.  */
static bool
may_settle (const struct co_core *core)
{
  bool wait = !(core->options.disabled & CO_DISABLE_RECLAIM_WAIT);

  if (core->view.departed_count == 0 || !co_view_is_confirmed (core))
    return false;
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      const struct co_departed_member *d = &core->view.departed[i];
      const struct co_peer *peer
          = &core->peers[co_peer_slot (core, d->incarnation)];
      co_time rest = d->departure == CO_DEPARTED_GRACEFUL
                         ? 0
                         : core->options.max_time_to_deadline;

      if (wait
          && (peer->lease_expires_at == 0
              || core->now < peer->lease_expires_at + rest))
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

static bool
to_settle (const struct co_core *core, const struct co_ledger *row,
           uint64_t incarnation)
{
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    if (core->view.departed[i].incarnation == incarnation)
      return !is_settled_in (row, incarnation);
  return false;
}

/* Take the reported totals of MEMBER into its grants.  */
static void
settle_member (const struct co_core *core, struct co_ledger *row,
               GHashTable *index, uint64_t member,
               const struct co_transfer_balance *seals, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      int item = co_find_index (index, seals[i].resource);

      if (item == CO_NO_INDEX
          || !to_settle (core, row, seals[i].departed_incarnation))
        continue;
      grant_add (row, &row->items[item], member, seals[i].net_received);
      /* The counterpart: the departed member's balance.  */
      grant_add (row, &row->items[item], seals[i].departed_incarnation,
                 -seals[i].net_received);
    }
}

/* Give what the departed members still hold of ITEM to the members.  Return
   false when that is less than nothing: the row is older than the reports, and
   its write would fail.  */
static bool
settle_rest (const struct co_core *core, struct co_ledger *row,
             struct co_ledger_item *item)
{
  int64_t rest = 0;

  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      uint64_t departed = core->view.departed[i].incarnation;

      if (!to_settle (core, row, departed))
        continue;
      rest += grant_of (item, departed);
      grant_remove (item, departed);
    }
  if (rest > 0)
    grant_spread (core, row, item, rest);
  return rest >= 0;
}

enum settle_result
{
  SETTLE_NOTHING,
  SETTLE_DONE,
  SETTLE_STALE /* the row has to be read again */
};

static enum settle_result
settle (struct co_core *core, struct co_ledger *row, GHashTable *index)
{
  uint32_t count;
  struct co_transfer_balance *seals;
  uint32_t fresh = 0;

  for (uint32_t i = 0; i < core->view.departed_count; i++)
    if (to_settle (core, row, core->view.departed[i].incarnation))
      fresh++;
  if (fresh == 0 || !may_settle (core))
    return SETTLE_NOTHING;
  seals = own_seals (core, row, &count);
  settle_member (core, row, index, core->options.incarnation, seals, count);
  for (uint32_t i = 0; i < core->view.member_count; i++)
    {
      uint64_t member = core->view.members[i].incarnation;
      const struct co_peer *peer = &core->peers[co_peer_slot (core, member)];

      if (member != core->options.incarnation)
        settle_member (core, row, index, member, peer->reported_balances,
                       peer->reported_balance_count);
    }
  for (uint32_t i = 0; i < row->item_count; i++)
    if (!settle_rest (core, row, &row->items[i]))
      return SETTLE_STALE;
  row->settled = talloc_realloc (row, row->settled, uint64_t,
                                 row->settled_count + fresh);
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      uint64_t departed = core->view.departed[i].incarnation;

      if (to_settle (core, row, departed))
        row->settled[row->settled_count++] = departed;
    }
  if (row->settled_count > MAX_SETTLED)
    {
      uint32_t surplus = row->settled_count - MAX_SETTLED;

      row->settled_count = MAX_SETTLED;
      memmove (row->settled, row->settled + surplus,
               MAX_SETTLED * sizeof *row->settled);
    }
  co_increment_counter (core, CO_COUNTER_SETTLEMENTS);
  return SETTLE_DONE;
}

/* Add resources that ROW lacks and raise totals below their limit.  */
static bool
add_and_raise (struct co_core *core, int shard, struct co_ledger *row,
               GHashTable *index)
{
  bool changed = false;

  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      const struct co_quota *right = core->quotas[i];
      int at;
      int64_t missing;

      if (right->shard != shard || right->owner == CO_NO_INDEX)
        continue;
      at = co_find_index (index, right->name);
      if (at == CO_NO_INDEX)
        {
          row->items = talloc_realloc (row, row->items, struct co_ledger_item,
                                       row->item_count + 1);
          at = (int)row->item_count++;
          memset (&row->items[at], 0, sizeof row->items[at]);
          row->items[at].resource = talloc_strdup (row, right->name);
          changed = true;
        }
      missing = right->limit - item_total (&row->items[at]);
      if (missing > 0)
        {
          grant_spread (core, row, &row->items[at], missing);
          changed = true;
        }
    }
  return changed;
}

/* Give up free rights of resources granted beyond their limit.  */
static bool
burn (struct co_core *core, int shard, struct co_ledger *row,
      GHashTable *index)
{
  bool changed = false;

  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      struct co_quota *right = core->quotas[i];
      int64_t surplus = right->granted_total - right->limit;
      int64_t part = co_quota_unused (right);
      int at;

      if (right->shard != shard || right->owner == CO_NO_INDEX
          || right->granted_total < 0 || surplus <= 0 || part <= 0)
        continue;
      at = co_find_index (index, right->name);
      if (at == CO_NO_INDEX)
        continue;
      if (part > surplus)
        part = surplus;
      right->retiring = part;
      grant_add (row, &row->items[at], core->options.incarnation, -part);
      core->counters[CO_COUNTER_QUOTA_RETIRED] += (uint64_t)part;
      changed = true;
    }
  return changed;
}

/* Work out the next row of SHARD and write it if it differs.  */
static void
consider_write (struct co_core *core, int shard)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct ba_bytes bytes = ba_codec_encode (
      core->outbox->mem, co_ledger_serialize, s->current_row);
  struct co_ledger *next = decode (core, bytes);
  bool lead = co_is_leader (core);
  bool changed = false;

  if (lead)
    {
      enum settle_result settled = settle (core, next, s->resource_index);

      if (settled == SETTLE_STALE)
        {
          s->announced_version = s->current_row->version + 1;
          talloc_free (next);
          return;
        }
      changed |= settled == SETTLE_DONE;
      changed |= add_and_raise (core, shard, next, s->resource_index);
      /* An absent row is created, so that every shard can settle.  */
      changed |= s->current_row->version == 0;
    }
  if (!changed || !lead)
    changed |= burn (core, shard, next, s->resource_index);
  if (!changed)
    {
      talloc_free (next);
      return;
    }
  next->version = s->current_row->version + 1;
  s->pending_row = next;
  s->required_view_version = lead ? core->view.version : 0;
  send_write (core, shard);
}

/* Return the bit set of shards whose row may have to change.  */
static uint32_t
shards_to_write (const struct co_core *core)
{
  bool lead = co_is_leader (core);
  uint32_t needed = 0;

  if (lead && (core->view.departed_count > 0))
    return (1U << CO_LEDGER_SHARD_COUNT) - 1;
  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      const struct co_quota *right = core->quotas[i];

      if (right->owner == CO_NO_INDEX)
        continue;
      if ((lead && right->granted_total < right->limit)
          || (right->granted_total > right->limit
              && co_quota_unused (right) > 0))
        needed |= 1U << right->shard;
    }
  for (int i = 0; i < CO_LEDGER_SHARD_COUNT; i++)
    if (lead && core->shards[i].current_row != NULL
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
    send_seals (core);
  needed = shards_to_write (core);
  for (int i = 0; i < CO_LEDGER_SHARD_COUNT; i++)
    {
      struct co_ledger_shard *s = &core->shards[i];

      if (s->current_row == NULL || s->write_uncertain
          || s->conflict_unresolved
          || s->announced_version > s->current_row->version)
        send_read (core, i);
      if (s->current_row != NULL && s->pending_row == NULL
          && (needed & (1U << i)) && co_table_read_is_recent (core))
        consider_write (core, i);
    }
}
