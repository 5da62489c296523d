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
grant_code (struct ba_io *io, struct co_grant *grant)
{
  ba_io_u64 (io, &grant->incarnation);
  ba_io_i64 (io, &grant->count);
}

static void
item_code (struct ba_io *io, struct co_ledger_item *item)
{
  ba_io_str (io, &item->resource);
  ba_io_array (io, item->grants, item->grant_count,
               CO_MAX_MEMBERS + CO_MAX_DEPARTED, grant_code);
  if (item->resource == NULL || strlen (item->resource) < 3)
    io->failed = true;
}

void
co_ledger_serialize (struct ba_io *io, struct co_ledger *ledger)
{
  ba_io_u64 (io, &ledger->version);
  ba_io_array (io, ledger->items, ledger->item_count, CO_MAX_ENTRIES,
               item_code);
  ba_io_array (io, ledger->settled, ledger->settled_count,
               MAX_SETTLED + CO_MAX_DEPARTED, ba_io_u64);
}

/* Return a new ledger decoded from BYTES, or NULL.  */
static struct co_ledger *
decode (TALLOC_CTX *mem, struct ba_bytes bytes)
{
  struct co_ledger *ledger = talloc_zero (mem, struct co_ledger);
  struct ba_io io;

  ba_io_reader (&io, ledger, bytes);
  co_ledger_serialize (&io, ledger);
  if (ba_io_ended (&io))
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
  for (int slot = 0; slot < CO_MEMBER_SLOTS; slot++)
    {
      struct co_peer *peer = &core->peers[slot];

      if (peer->incarnation == 0 || peer->member
          || (peer->settled & (1U << shard))
          || !is_settled_in (row, peer->incarnation))
        continue;
      peer->settled |= 1U << shard;
      for (uint32_t i = 0; i < core->right_count; i++)
        if (core->rights[i]->shard == shard)
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
      co_poll_now (core);
      return;
    }
  g_hash_table_remove_all (s->index);
  forget_settled (core, shard, row);
  for (uint32_t i = 0; i < row->item_count; i++)
    {
      const struct co_ledger_item *item = &row->items[i];
      bool slots = item->resource[0] == 'h';
      int index = co_quota_find_or_add (core, slots ? "h" : "t",
                                        item->resource + 2, slots);
      struct co_right *right = core->rights[index];

      g_hash_table_insert (s->index, item->resource,
                           GINT_TO_POINTER ((int)i + 1));
      right->burning = 0;
      right->grant = grant_of (item, self);
      right->total = item_total (item);
    }
  talloc_free (s->row);
  s->row = row;
  for (uint32_t i = 0; i < core->right_count; i++)
    if (core->rights[i]->shard == shard)
      co_quota_notify_changed (core, (int)i);
}

static void
send_read (struct co_core *core, int shard)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct co_outcome *o;

  if (s->reading || core->now < s->retry_at)
    return;
  s->reading = true;
  o = co_emit (core, CO_OUTCOME_READ);
  o->u.read.op = co_op_new (core, CO_OP_LEDGER_READ, shard);
  o->u.read.partition
      = talloc_asprintf (core->outbox->mem, "ledger/%d", shard);
  o->u.read.after = co_outbox_str (core, "");
}

/* Send, or send again, the write of the shard's next row.  */
static void
send_write (struct co_core *core, int shard)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct co_outcome *o = co_emit (core, CO_OUTCOME_WRITE);

  s->write_sent = true;
  o->u.write.op = co_op_new (core, CO_OP_LEDGER_WRITE, shard);
  o->u.write.row.partition
      = talloc_asprintf (core->outbox->mem, "ledger/%d", shard);
  o->u.write.row.sort = co_outbox_str (core, "current");
  o->u.write.row.version = s->writing->version;
  o->u.write.row.body
      = ba_io_encode (core->outbox->mem, co_ledger_serialize, s->writing);
  o->u.write.expected = s->writing->version - 1;
  o->u.write.guard_version = s->guard;
}

/* Drop a write that can't have happened or has been overtaken.  */
static void
drop_write (struct co_core *core, int shard)
{
  struct co_ledger_shard *s = &core->shards[shard];

  TALLOC_FREE (s->writing);
  s->unsure = false;
  s->checking = false;
  for (uint32_t i = 0; i < core->right_count; i++)
    if (core->rights[i]->shard == shard && core->rights[i]->burning != 0)
      {
        core->rights[i]->burning = 0;
        co_quota_notify_changed (core, (int)i);
      }
}

void
co_ledger_read_done (struct co_core *core, int shard,
                     const struct co_event_rows *rows)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct co_ledger *row;

  s->reading = false;
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
      co_count (core, CO_COUNTER_BAD_ROWS);
      return;
    }
  if (s->row != NULL && row->version <= s->row->version)
    {
      talloc_free (row);
      if (s->checking)
        drop_write (core, shard);
      else if (s->unsure && !s->write_sent)
        send_write (core, shard);
      return;
    }
  if (s->writing != NULL && row->version >= s->writing->version)
    drop_write (core, shard);
  adopt (core, shard, row);
}

void
co_ledger_write_done (struct co_core *core, int shard, uint32_t result)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct co_ledger *row = s->writing;

  s->write_sent = false;
  if (row == NULL)
    return;
  if (result == CO_STORE_UNKNOWN
      || (result == CO_STORE_UNREACHABLE && s->unsure))
    {
      s->unsure = true;
      return; /* the next read tells, or it is written again */
    }
  if (result == CO_STORE_OK)
    {
      s->writing = NULL;
      s->unsure = false;
      core->next_beat = core->now; /* tell the others */
      if (s->row == NULL || row->version > s->row->version)
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
  s->checking = true;
  s->unsure = false;
}

void
co_ledger_note_versions (struct co_core *core,
                         const struct co_msg_heartbeat *beat)
{
  for (uint32_t i = 0; i < beat->ledger_count && i < CO_LEDGER_SHARDS; i++)
    if (beat->ledgers[i] > core->shards[i].announced)
      core->shards[i].announced = beat->ledgers[i];
}

/* Return what this member has exchanged with departed ones, net.  */
static struct co_seal *
own_seals (const struct co_core *core, TALLOC_CTX *mem, uint32_t *count)
{
  struct co_seal *seals = talloc_zero_array (mem, struct co_seal, 1);
  uint32_t space = 1;

  *count = 0;
  for (int slot = 0; slot < CO_MEMBER_SLOTS; slot++)
    {
      const struct co_peer *peer = &core->peers[slot];

      if (peer->incarnation == 0 || peer->member)
        continue;
      for (uint32_t i = 0; i < core->right_count; i++)
        {
          const struct co_right *right = core->rights[i];
          int64_t net
              = (int64_t)right->received[slot] - (int64_t)right->sent[slot];

          if (net == 0)
            continue;
          if (*count == space)
            {
              space *= 2;
              seals = talloc_realloc (mem, seals, struct co_seal, space);
            }
          seals[*count].departed = peer->incarnation;
          seals[*count].resource = right->name;
          seals[*count].net = net;
          (*count)++;
        }
    }
  return seals;
}

static void
send_seals (struct co_core *core)
{
  int self = co_slot (core, core->options.incarnation);
  struct co_peer *peer = &core->peers[self];
  struct co_msg *m;

  if (peer->seal_version == core->view.version
      && core->now - peer->seals_sent < seal_interval)
    return;
  peer->seal_version = core->view.version;
  peer->seals_sent = core->now;
  m = co_send (core, core->view.members[0].incarnation, CO_MSG_SEALS);
  m->u.seals.view_version = core->view.version;
  m->u.seals.items = own_seals (core, core->outbox->mem, &m->u.seals.count);
}

void
co_ledger_receive_report (struct co_core *core, int slot,
                          const struct co_msg_seals *seals)
{
  struct co_peer *peer = &core->peers[slot];

  if (seals->view_version != core->view.version
      || peer->seal_version == core->view.version)
    return;
  talloc_free (peer->seals);
  peer->seals = talloc_zero_array (core, struct co_seal, seals->count + 1);
  peer->seal_count = seals->count;
  for (uint32_t i = 0; i < seals->count; i++)
    {
      peer->seals[i] = seals->items[i];
      peer->seals[i].resource
          = talloc_strdup (peer->seals, seals->items[i].resource);
    }
  peer->seal_version = core->view.version;
}

/* Return whether the departed members may be settled now.  */
static bool
may_settle (const struct co_core *core)
{
  bool wait = !(core->options.off & CO_OFF_RECLAIM_WAIT);

  if (core->view.departed_count == 0 || !co_view_confirmed (core))
    return false;
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      const struct co_departed *d = &core->view.departed[i];
      const struct co_peer *peer
          = &core->peers[co_slot (core, d->incarnation)];
      co_time rest
          = d->how == CO_DEPARTED_CLEAN ? 0 : core->options.max_deadline;

      if (wait && (peer->fenced == 0 || core->now < peer->fenced + rest))
        return false;
    }
  if (core->options.off & CO_OFF_SEALS)
    return true;
  for (uint32_t i = 0; i < core->view.member_count; i++)
    {
      uint64_t member = core->view.members[i].incarnation;

      if (member != core->options.incarnation
          && core->peers[co_slot (core, member)].seal_version
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
               GHashTable *index, uint64_t member, const struct co_seal *seals,
               uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      int item = co_find_index (index, seals[i].resource);

      if (item == CO_NONE || !to_settle (core, row, seals[i].departed))
        continue;
      grant_add (row, &row->items[item], member, seals[i].net);
      /* The counterpart: the departed member's balance.  */
      grant_add (row, &row->items[item], seals[i].departed, -seals[i].net);
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
  struct co_seal *seals;
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
      const struct co_peer *peer = &core->peers[co_slot (core, member)];

      if (member != core->options.incarnation)
        settle_member (core, row, index, member, peer->seals,
                       peer->seal_count);
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
  co_count (core, CO_COUNTER_SETTLEMENTS);
  return SETTLE_DONE;
}

/* Add resources that ROW lacks and raise totals below their limit.  */
static bool
add_and_raise (struct co_core *core, int shard, struct co_ledger *row,
               GHashTable *index)
{
  bool changed = false;

  for (uint32_t i = 0; i < core->right_count; i++)
    {
      const struct co_right *right = core->rights[i];
      int at;
      int64_t missing;

      if (right->shard != shard || right->owner == CO_NONE)
        continue;
      at = co_find_index (index, right->name);
      if (at == CO_NONE)
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

  for (uint32_t i = 0; i < core->right_count; i++)
    {
      struct co_right *right = core->rights[i];
      int64_t surplus = right->total - right->limit;
      int64_t part = co_quota_unused (right);
      int at;

      if (right->shard != shard || right->owner == CO_NONE || right->total < 0
          || surplus <= 0 || part <= 0)
        continue;
      at = co_find_index (index, right->name);
      if (at == CO_NONE)
        continue;
      if (part > surplus)
        part = surplus;
      right->burning = part;
      grant_add (row, &row->items[at], core->options.incarnation, -part);
      core->counters[CO_COUNTER_BURNED] += (uint64_t)part;
      changed = true;
    }
  return changed;
}

/* Work out the next row of SHARD and write it if it differs.  */
static void
consider_write (struct co_core *core, int shard)
{
  struct co_ledger_shard *s = &core->shards[shard];
  struct ba_bytes bytes
      = ba_io_encode (core->outbox->mem, co_ledger_serialize, s->row);
  struct co_ledger *next = decode (core, bytes);
  bool lead = co_is_lead (core);
  bool changed = false;

  if (lead)
    {
      enum settle_result settled = settle (core, next, s->index);

      if (settled == SETTLE_STALE)
        {
          s->announced = s->row->version + 1;
          talloc_free (next);
          return;
        }
      changed |= settled == SETTLE_DONE;
      changed |= add_and_raise (core, shard, next, s->index);
      /* An absent row is created, so that every shard can settle.  */
      changed |= s->row->version == 0;
    }
  if (!changed || !lead)
    changed |= burn (core, shard, next, s->index);
  if (!changed)
    {
      talloc_free (next);
      return;
    }
  next->version = s->row->version + 1;
  s->writing = next;
  s->guard = lead ? core->view.version : 0;
  send_write (core, shard);
}

/* Return the bit set of shards whose row may have to change.  */
static uint32_t
shards_to_write (const struct co_core *core)
{
  bool lead = co_is_lead (core);
  uint32_t needed = 0;

  if (lead && (core->view.departed_count > 0))
    return (1U << CO_LEDGER_SHARDS) - 1;
  for (uint32_t i = 0; i < core->right_count; i++)
    {
      const struct co_right *right = core->rights[i];

      if (right->owner == CO_NONE)
        continue;
      if ((lead && right->total < right->limit)
          || (right->total > right->limit && co_quota_unused (right) > 0))
        needed |= 1U << right->shard;
    }
  for (int i = 0; i < CO_LEDGER_SHARDS; i++)
    if (lead && core->shards[i].row != NULL
        && core->shards[i].row->version == 0)
      needed |= 1U << i;
  return needed;
}

void
co_ledger_tick (struct co_core *core)
{
  uint32_t needed;

  if (core->life != CO_LIFE_MEMBER)
    return;
  if (core->view.departed_count > 0 && !co_is_lead (core))
    send_seals (core);
  needed = shards_to_write (core);
  for (int i = 0; i < CO_LEDGER_SHARDS; i++)
    {
      struct co_ledger_shard *s = &core->shards[i];

      if (s->row == NULL || s->unsure || s->checking
          || s->announced > s->row->version)
        send_read (core, i);
      if (s->row != NULL && s->writing == NULL && (needed & (1U << i))
          && co_table_fresh (core))
        consider_write (core, i);
    }
}
