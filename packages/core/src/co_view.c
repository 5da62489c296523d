#include "co_internal.h"

#include <string.h>

/* Membership and standing.

   The view is one row of the table service, changed by conditional writes
   only.  A member takes work only while it has standing: proof, not older
   than the standing time, that it is a member and that its configuration is
   current.  The proof is a read of the table or, while the table can't be
   reached, heartbeats of majorities at the same view.  */

static const co_time write_retry = 300 * CO_MILLISECOND;
static const co_time leave_patience = 5 * CO_SECOND;

void
co_view_init (struct co_core *core)
{
  core->phase = CO_PHASE_JOINING;
  core->next_poll_at = core->now;
}

int
co_peer_slot (const struct co_core *core, uint64_t incarnation)
{
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].incarnation == incarnation)
      return incarnation == 0 ? CO_NO_INDEX : i;
  return CO_NO_INDEX;
}

bool
co_is_member (const struct co_core *core, int slot)
{
  return slot != CO_NO_INDEX && core->peers[slot].incarnation != 0
         && core->peers[slot].is_member;
}

static bool
is_self (const struct co_core *core, uint64_t incarnation)
{
  return incarnation == core->options.incarnation;
}

static bool
view_has (const struct co_view *view, uint64_t incarnation)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    if (view->members[i].incarnation == incarnation)
      return true;
  return false;
}

static int
new_slot (struct co_core *core, uint64_t incarnation)
{
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].incarnation == 0)
      {
        memset (&core->peers[i], 0, sizeof core->peers[i]);
        core->peers[i].incarnation = incarnation;
        core->peers[i].first_seen = core->now;
        return i;
      }
  g_error ("more than %d members and departed members", CO_PEER_SLOT_COUNT);
}

/* Free the slot of a departed member that is settled everywhere.  */
static void
free_slot (struct co_core *core, int slot)
{
  struct co_peer *peer = &core->peers[slot];

  for (uint32_t i = 0; i < core->quota_count; i++)
    co_quota_forget_peer (core, (int)i, slot);
  for (uint32_t i = 0; i < core->pool_count; i++)
    {
      TALLOC_FREE (core->pools[i]->peer_running[slot]);
      core->pools[i]->requested_by_peer[slot] = 0;
    }
  for (uint32_t i = 0; i < core->team_count; i++)
    core->teams[i]->requested_by_peer[slot] = 0;
  talloc_free (peer->last_heartbeat);
  talloc_free (peer->reported_balances);
  memset (peer, 0, sizeof *peer);
}

/* Deep copy of VIEW by way of its encoding, owned by MEM.  */
static struct co_view
copy_view (TALLOC_CTX *mem, const struct co_view *view)
{
  struct co_view source = *view;
  struct co_view copy = { 0 };

  ba_codec_deep_copy (mem, co_view_serialize, &source, &copy);
  return copy;
}

/* Forget what a member that left the view told about its use.  */
static void
forget_usage (struct co_core *core, int slot)
{
  TALLOC_FREE (core->peers[slot].last_heartbeat);
  for (uint32_t i = 0; i < core->pool_count; i++)
    if (core->pools[i]->peer_running[slot] != NULL)
      memset (core->pools[i]->peer_running[slot], 0,
              core->team_capacity * sizeof (uint32_t));
}

static void
mark_departed (struct co_core *core, const struct co_departed_member *departed)
{
  int slot = co_peer_slot (core, departed->incarnation);

  if (slot == CO_NO_INDEX)
    slot = new_slot (core, departed->incarnation);
  if (core->peers[slot].is_member)
    forget_usage (core, slot);
  core->peers[slot].is_member = false;
  core->peers[slot].departure = departed->departure;
}

/* Make VIEW the present one.  */
static void
apply_view (struct co_core *core, const struct co_view *view)
{
  struct co_action *o;

  talloc_free (core->view.members);
  talloc_free (core->view.base);
  talloc_free (core->view.departed);
  core->view = copy_view (core, view);
  core->view_loaded = true;
  core->view_applied_at = core->now;
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      int slot = co_peer_slot (core, view->members[i].incarnation);

      if (slot == CO_NO_INDEX)
        slot = new_slot (core, view->members[i].incarnation);
      core->peers[slot].is_member = true;
    }
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member
        && !view_has (view, core->peers[i].incarnation))
      {
        forget_usage (core, i);
        core->peers[i].is_member = false;
      }
  for (uint32_t i = 0; i < view->departed_count; i++)
    mark_departed (core, &view->departed[i]);
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    core->peers[i].report_view_version = 0;
  co_increment_counter (core, CO_COUNTER_VIEW_CHANGES);
  o = co_add_action (core, CO_ACTION_VIEW_CHANGED);
  o->u.view = copy_view (core->outbox->mem, view);
  core->next_heartbeat_at = core->now;
  co_claim_view_changed (core);
}

static void
end_life (struct co_core *core, uint32_t outcome)
{
  core->phase = CO_PHASE_ENDED;
  co_add_action (core, outcome);
}

/* Write VIEW in place of the present one.  VIEW is owned by the caller.  */
static void
write_view (struct co_core *core, struct co_view *view)
{
  struct co_action *o;

  if (core->view_write_op_id != 0 || core->now < core->view_retry_at)
    return;
  view->version = core->view.version + 1;
  core->view_write_op_id = co_store_op_new (core, CO_STORE_OP_VIEW_WRITE, 0);
  talloc_free (core->proposed_view);
  core->proposed_view = talloc_zero (core, struct co_view);
  *core->proposed_view = copy_view (core->proposed_view, view);
  o = co_add_action (core, CO_ACTION_WRITE);
  o->u.write.op_id = core->view_write_op_id;
  o->u.write.row.partition = co_outbox_strdup (core, "view");
  o->u.write.row.sort_key = co_outbox_strdup (core, "current");
  o->u.write.row.version = view->version;
  o->u.write.expected_version = core->view.version;
  o->u.write.row.body
      = ba_codec_encode (core->outbox->mem, co_view_serialize, view);
}

/* Move member I of VIEW to its departed list.  */
static void
depart (struct co_view *view, uint32_t i, uint32_t how)
{
  g_assert (view->departed_count < CO_MAX_DEPARTED_COUNT);
  view->departed
      = talloc_realloc (NULL, view->departed, struct co_departed_member,
                        view->departed_count + 1);
  view->departed[view->departed_count].incarnation
      = view->members[i].incarnation;
  view->departed[view->departed_count].departure = how;
  view->departed[view->departed_count].peer_address
      = view->members[i].peer_address;
  view->departed_count++;
  view->member_count--;
  memmove (&view->members[i], &view->members[i + 1],
           (view->member_count - i) * sizeof *view->members);
}

static void
add_self (struct co_core *core, struct co_view *view)
{
  struct co_member *self;

  view->members = talloc_realloc (NULL, view->members, struct co_member,
                                  view->member_count + 1);
  self = &view->members[view->member_count++];
  self->incarnation = core->options.incarnation;
  self->name = (char *)core->options.name;
  self->zone = (char *)core->options.zone;
  self->peer_address = (char *)core->options.peer_address;
  self->admin_address = (char *)core->options.admin_address;
}

/* Join the view.  A member at the same address is an earlier process of this
   host: it is dead, for its address is taken.  */
static void
join (struct co_core *core)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_view next = copy_view (scratch, &core->view);

  for (uint32_t i = next.member_count; i-- > 0;)
    if (strcmp (next.members[i].peer_address, core->options.peer_address) == 0)
      depart (&next, i, CO_DEPARTED_REPLACED);
  for (uint32_t i = 0; i < next.departed_count; i++)
    if (next.departed[i].departure == CO_DEPARTED_EVICTED
        && g_strcmp0 (next.departed[i].peer_address,
                      core->options.peer_address)
               == 0)
      next.departed[i].departure = CO_DEPARTED_REPLACED;
  if (next.member_count < CO_MAX_MEMBER_COUNT)
    {
      add_self (core, &next);
      if (core->view.version == 0)
        {
          next.base = talloc_zero_array (scratch, uint64_t, 1);
          next.base[0] = core->options.incarnation;
          next.base_count = 1;
        }
      write_view (core, &next);
    }
  talloc_free (scratch);
}

void
co_schedule_poll (struct co_core *core)
{
  core->next_poll_at = core->now;
}

/* Take the row of the view that a poll read.  */
static void
take_view_row (struct co_core *core, const struct co_row *row)
{
  TALLOC_CTX *scratch;
  struct co_view view = { 0 };
  struct ba_codec io;

  if (row->version <= core->view.version)
    return;
  scratch = talloc_new (NULL);
  ba_codec_init_reader (&io, scratch, row->body);
  co_view_serialize (&io, &view);
  if (!ba_codec_is_complete (&io) || view.version != row->version)
    co_increment_counter (core, CO_COUNTER_INVALID_ROWS);
  else
    apply_view (core, &view);
  talloc_free (scratch);
}

void
co_view_poll_done (struct co_core *core, const struct co_event_poll_done *poll)
{
  core->table_unreachable = poll->result != CO_STORE_OK;
  if (core->table_unreachable || core->phase == CO_PHASE_ENDED)
    return;
  take_view_row (core, &poll->view_row);
  co_fleet_apply_rows (core, poll->log, poll->log_count);
  if (poll->log_count > 0
      && poll->log[poll->log_count - 1].version > core->log_version)
    return; /* an unreadable entry: the state is not current */
  if (poll->sent_at > core->table_read_at)
    core->table_read_at = poll->sent_at;
  core->view_loaded = true;
  if (view_has (&core->view, core->options.incarnation))
    {
      if (core->phase == CO_PHASE_JOINING)
        core->phase = CO_PHASE_MEMBER;
    }
  else if (core->phase == CO_PHASE_JOINING)
    join (core);
  else if (core->phase == CO_PHASE_LEAVING)
    end_life (core, CO_ACTION_STOPPED);
  else
    end_life (core, CO_ACTION_EVICTED);
}

void
co_view_write_done (struct co_core *core, uint32_t result)
{
  core->view_write_op_id = 0;
  if (result == CO_STORE_OK
      && core->proposed_view->version > core->view.version)
    apply_view (core, core->proposed_view);
  else
    core->view_retry_at = core->now + write_retry;
  TALLOC_FREE (core->proposed_view);
  co_schedule_poll (core);
}

bool
co_table_read_is_recent (const struct co_core *core)
{
  return core->table_read_at != 0
         && core->now - core->table_read_at <= core->options.lease_duration;
}

/* Return whether SLOT is this member or was heard from at the present view
   within the standing time.  */
static bool
is_near (const struct co_core *core, int slot)
{
  const struct co_peer *peer;

  if (slot == CO_NO_INDEX)
    return false;
  peer = &core->peers[slot];
  if (is_self (core, peer->incarnation))
    return true;
  return peer->is_member && peer->last_heartbeat_at != 0
         && core->now - peer->last_heartbeat_at <= core->options.lease_duration
         && peer->view_version == core->view.version;
}

/* Return whether majorities of both the members and the base satisfy TEST.  */
static bool
both_majorities (const struct co_core *core,
                 bool (*test) (const struct co_core *, int, uint64_t),
                 uint64_t argument)
{
  uint32_t members = 0;
  uint32_t base = 0;

  for (uint32_t i = 0; i < core->view.member_count; i++)
    {
      int slot = co_peer_slot (core, core->view.members[i].incarnation);

      if (test (core, slot, argument))
        members++;
    }
  for (uint32_t i = 0; i < core->view.base_count; i++)
    if (test (core, co_peer_slot (core, core->view.base[i]), argument))
      base++;
  return members * 2 > core->view.member_count
         && base * 2 > core->view.base_count;
}

static bool
test_near (const struct co_core *core, int slot,
           uint64_t argument G_GNUC_UNUSED)
{
  return is_near (core, slot);
}

static bool
test_acked (const struct co_core *core, int slot, uint64_t version)
{
  if (slot == CO_NO_INDEX)
    return false;
  if (is_self (core, core->peers[slot].incarnation))
    return core->log_version >= version;
  return is_near (core, slot) && core->peers[slot].log_version >= version;
}

bool
co_majority_has_log_version (const struct co_core *core, uint64_t log_version)
{
  return both_majorities (core, test_acked, log_version);
}

/* Return whether a peer has named a newer configuration than this member
   has.  */
static bool
is_behind (const struct co_core *core)
{
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member
        && core->peers[i].log_version > core->log_version)
      return true;
  return false;
}

bool
co_has_lease (const struct co_core *core)
{
  if (core->options.disabled & CO_DISABLE_LEASE)
    return core->phase != CO_PHASE_ENDED;
  if (core->phase != CO_PHASE_MEMBER && core->phase != CO_PHASE_LEAVING)
    return false;
  if (co_table_read_is_recent (core))
    return true;
  if (!core->table_unreachable || is_behind (core)
      || core->now - core->table_read_at > core->options.max_table_outage)
    return false;
  return both_majorities (core, test_near, 0);
}

bool
co_is_leader (const struct co_core *core)
{
  return core->phase == CO_PHASE_MEMBER && core->view.member_count > 0
         && is_self (core, core->view.members[0].incarnation);
}

/* The member that owns IDENTITY: the highest rendezvous weight.  */
uint64_t
co_claim_owner (const struct co_core *core, const char *identity)
{
  uint64_t owner = 0;
  uint64_t best = 0;

  for (uint32_t i = 0; i < core->view.member_count; i++)
    {
      uint64_t incarnation = core->view.members[i].incarnation;
      uint64_t weight = ba_hash_str (identity, incarnation);

      if (owner == 0 || weight > best)
        {
          best = weight;
          owner = incarnation;
        }
    }
  return owner;
}

bool
co_view_is_confirmed (const struct co_core *core)
{
  if (core->view.base_count != core->view.member_count)
    return false;
  for (uint32_t i = 0; i < core->view.base_count; i++)
    if (core->view.base[i] != core->view.members[i].incarnation)
      return false;
  return true;
}

/* Return whether the base member INCARNATION can't act on an older view: it
   knows the present one or its process is gone.  */
static bool
base_knows (const struct co_core *core, uint64_t incarnation)
{
  int slot = co_peer_slot (core, incarnation);

  if (is_self (core, incarnation))
    return true;
  if (slot == CO_NO_INDEX)
    return false;
  if (!core->peers[slot].is_member
      && core->peers[slot].departure != CO_DEPARTED_EVICTED)
    return true;
  return core->peers[slot].view_version >= core->view.version;
}

/* As lead, record that the present view is known by a majority of the base,
   or that those who don't know it have outlived every proof.  */
static void
confirm (struct co_core *core)
{
  uint32_t count = 0;
  struct co_view next = core->view;

  for (uint32_t i = 0; i < core->view.base_count; i++)
    if (base_knows (core, core->view.base[i]))
      count++;
  if (count * 2 <= core->view.base_count
      && core->now - core->view_applied_at
             <= core->options.max_table_outage + core->options.lease_duration)
    return;
  next.base = talloc_zero_array (core->outbox->mem, uint64_t,
                                 core->view.member_count);
  next.base_count = core->view.member_count;
  for (uint32_t i = 0; i < next.base_count; i++)
    next.base[i] = core->view.members[i].incarnation;
  write_view (core, &next);
}

/* Take members out that have been silent too long.  */
static void
evict_silent (struct co_core *core)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_view next = copy_view (scratch, &core->view);
  uint32_t evicted = 0;

  for (uint32_t i = next.member_count; i-- > 0;)
    {
      int slot = co_peer_slot (core, next.members[i].incarnation);
      const struct co_peer *peer = &core->peers[slot];
      co_time last = peer->last_heartbeat_at > peer->first_seen
                         ? peer->last_heartbeat_at
                         : peer->first_seen;

      if (is_self (core, peer->incarnation)
          || core->now - last <= core->options.eviction_timeout
          || next.departed_count == CO_MAX_DEPARTED_COUNT)
        continue;
      depart (&next, i, CO_DEPARTED_EVICTED);
      evicted++;
    }
  if (evicted > 0 && core->view_write_op_id == 0
      && core->now >= core->view_retry_at)
    {
      core->counters[CO_COUNTER_EVICTIONS] += evicted;
      write_view (core, &next);
    }
  talloc_free (scratch);
}

/* Return whether every ledger row that this member has read settles the
   departed member INCARNATION.  */
static bool
is_settled (const struct co_core *core, uint64_t incarnation)
{
  int slot = co_peer_slot (core, incarnation);

  return slot != CO_NO_INDEX
         && core->peers[slot].settled_shards
                == (1U << CO_LEDGER_SHARD_COUNT) - 1;
}

/* As lead, take settled members off the departed list.  */
static void
drop_departed (struct co_core *core)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_view next = copy_view (scratch, &core->view);
  uint32_t kept = 0;

  for (uint32_t i = 0; i < next.departed_count; i++)
    if (!is_settled (core, next.departed[i].incarnation))
      next.departed[kept++] = next.departed[i];
  if (kept < next.departed_count)
    {
      next.departed_count = kept;
      write_view (core, &next);
    }
  talloc_free (scratch);
}

static bool
in_departed (const struct co_core *core, uint64_t incarnation)
{
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    if (core->view.departed[i].incarnation == incarnation)
      return true;
  return false;
}

static void
free_settled_slots (struct co_core *core)
{
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    {
      const struct co_peer *peer = &core->peers[i];

      if (peer->incarnation != 0 && !peer->is_member
          && !is_self (core, peer->incarnation)
          && !in_departed (core, peer->incarnation)
          && is_settled (core, peer->incarnation))
        free_slot (core, i);
    }
}

/* Note when each departed member can no longer have standing.  */
static void
note_fenced (struct co_core *core)
{
  if (!co_view_is_confirmed (core))
    return;
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      int slot = co_peer_slot (core, core->view.departed[i].incarnation);
      struct co_peer *peer = &core->peers[slot];

      if (peer->lease_expires_at == 0)
        peer->lease_expires_at = peer->departure == CO_DEPARTED_EVICTED
                                     ? core->now + core->options.lease_duration
                                     : core->now;
    }
}

static void
poll_due (struct co_core *core)
{
  struct co_action *o;

  if (core->now < core->next_poll_at)
    return;
  core->next_poll_at = core->now + core->options.poll_interval;
  if (!core->snapshot_loaded)
    {
      co_snapshot_read (core);
      return;
    }
  o = co_add_action (core, CO_ACTION_POLL);
  o->u.poll_after_log_version = core->log_version;
}

void
co_begin_stop (struct co_core *core)
{
  if (core->stopping)
    return;
  core->stopping = true;
  core->stop_at = core->now + core->options.lame_duck_period;
  core->next_heartbeat_at = core->now;
}

/* Leave the view once nothing runs here.  */
static void
leave (struct co_core *core)
{
  TALLOC_CTX *scratch;
  struct co_view next;

  if (core->phase == CO_PHASE_JOINING)
    {
      end_life (core, CO_ACTION_STOPPED);
      return;
    }
  if (core->phase == CO_PHASE_MEMBER)
    {
      core->phase = CO_PHASE_LEAVING;
      core->stop_at = core->now;
      co_borrow_lend_all (core);
      return;
    }
  if (core->now - core->stop_at > leave_patience)
    {
      end_life (core, CO_ACTION_STOPPED);
      return;
    }
  scratch = talloc_new (NULL);
  next = copy_view (scratch, &core->view);
  for (uint32_t i = next.member_count; i-- > 0;)
    if (is_self (core, next.members[i].incarnation)
        && next.departed_count < CO_MAX_DEPARTED_COUNT)
      depart (&next, i, CO_DEPARTED_GRACEFUL);
  write_view (core, &next);
  talloc_free (scratch);
}

void
co_view_tick (struct co_core *core)
{
  bool standing;

  if (core->phase == CO_PHASE_ENDED)
    {
      /* Former fellows may wait to hear that this one knows it is out.  */
      if (core->now >= core->next_heartbeat_at)
        {
          core->next_heartbeat_at
              = core->now + core->options.heartbeat_interval;
          co_heartbeat_send (core);
        }
      return;
    }
  poll_due (core);
  standing = co_has_lease (core);
  if (core->had_lease && !standing)
    co_increment_counter (core, CO_COUNTER_LEASES_LOST);
  core->had_lease = standing;
  if (core->stopping && core->now >= core->stop_at
      && g_hash_table_size (core->requests) == 0
      && core->orphaned_slots->len == 0)
    leave (core);
  if (core->phase != CO_PHASE_MEMBER)
    return;
  if (core->now >= core->next_heartbeat_at)
    {
      core->next_heartbeat_at = core->now + core->options.heartbeat_interval;
      co_heartbeat_send (core);
    }
  note_fenced (core);
  free_settled_slots (core);
  if (!co_table_read_is_recent (core))
    return;
  evict_silent (core);
  if (co_is_leader (core) && !co_view_is_confirmed (core))
    confirm (core);
  else if (co_is_leader (core))
    drop_departed (core);
}
