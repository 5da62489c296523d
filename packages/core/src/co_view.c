#include "co_internal.h"

#include <string.h>

/* Membership and the membership lease.

   The view is one row of the table service, changed by conditional writes
   only.  A member takes work only while it has a lease, which means that it
   has verified, no longer ago than the lease duration, that it is in the view
   and that its configuration is current.  The lease is renewed by reading the
   table or, while the table can't be reached, by heartbeats from majorities at
   the same view.  */

static const co_time view_write_retry_delay = 300 * CO_MILLISECOND;
static const co_time leave_timeout = 5 * CO_SECOND;

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
co_is_member (const struct co_core *core, int peer_slot)
{
  return peer_slot != CO_NO_INDEX && core->peers[peer_slot].incarnation != 0
         && core->peers[peer_slot].is_member;
}

static bool
is_self (const struct co_core *core, uint64_t incarnation)
{
  return incarnation == core->options.incarnation;
}

static bool
view_contains (const struct co_view *view, uint64_t incarnation)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    if (view->members[i].incarnation == incarnation)
      return true;
  return false;
}

static int
allocate_peer_slot (struct co_core *core, uint64_t incarnation)
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

/* Free the peer slot of a departed member that every ledger shard has
   settled.  */
static void
free_peer_slot (struct co_core *core, int peer_slot)
{
  struct co_peer *peer = &core->peers[peer_slot];

  for (uint32_t i = 0; i < core->quota_count; i++)
    co_quota_forget_peer (core, (int)i, peer_slot);
  for (uint32_t i = 0; i < core->pool_count; i++)
    {
      TALLOC_FREE (core->pools[i]->peer_running[peer_slot]);
      core->pools[i]->requested_by_peer[peer_slot] = 0;
    }
  for (uint32_t i = 0; i < core->team_count; i++)
    core->teams[i]->requested_by_peer[peer_slot] = 0;
  talloc_free (peer->last_heartbeat);
  talloc_free (peer->reported_balances);
  memset (peer, 0, sizeof *peer);
}

/* Return a deep copy of VIEW, whose arrays and strings are owned by MEM.  */
static struct co_view
copy_view (TALLOC_CTX *mem, const struct co_view *view)
{
  struct co_view source = *view;
  struct co_view copy = { 0 };

  ba_codec_deep_copy (mem, co_view_serialize, &source, &copy);
  return copy;
}

/* Discard the usage that the member at PEER_SLOT reported, because it has left
   the view.  */
static void
discard_usage (struct co_core *core, int peer_slot)
{
  TALLOC_FREE (core->peers[peer_slot].last_heartbeat);
  for (uint32_t i = 0; i < core->pool_count; i++)
    if (core->pools[i]->peer_running[peer_slot] != NULL)
      memset (core->pools[i]->peer_running[peer_slot], 0,
              core->team_capacity * sizeof (uint32_t));
}

/* Record that the member DEPARTED has left the view.  A peer slot is allocated
   if it has none.  */
static void
mark_departed (struct co_core *core, const struct co_departed_member *departed)
{
  int peer_slot = co_peer_slot (core, departed->incarnation);

  if (peer_slot == CO_NO_INDEX)
    peer_slot = allocate_peer_slot (core, departed->incarnation);
  if (core->peers[peer_slot].is_member)
    discard_usage (core, peer_slot);
  core->peers[peer_slot].is_member = false;
  core->peers[peer_slot].departure = departed->departure;
}

/* Make a copy of VIEW the current view.  */
static void
apply_view (struct co_core *core, const struct co_view *view)
{
  struct co_action *action;

  talloc_free (core->view.members);
  talloc_free (core->view.base);
  talloc_free (core->view.departed);
  core->view = copy_view (core, view);
  core->view_loaded = true;
  core->view_applied_at = core->now;
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      int peer_slot = co_peer_slot (core, view->members[i].incarnation);

      if (peer_slot == CO_NO_INDEX)
        peer_slot = allocate_peer_slot (core, view->members[i].incarnation);
      core->peers[peer_slot].is_member = true;
    }
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member
        && !view_contains (view, core->peers[i].incarnation))
      {
        discard_usage (core, i);
        core->peers[i].is_member = false;
      }
  for (uint32_t i = 0; i < view->departed_count; i++)
    mark_departed (core, &view->departed[i]);
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    core->peers[i].report_view_version = 0;
  co_increment_counter (core, CO_COUNTER_VIEW_CHANGES);
  action = co_add_action (core, CO_ACTION_VIEW_CHANGED);
  action->u.view = copy_view (core->outbox->mem, view);
  core->next_heartbeat_at = core->now;
  co_claim_view_changed (core);
}

static void
end_membership (struct co_core *core, uint32_t action_type)
{
  core->phase = CO_PHASE_ENDED;
  co_add_action (core, action_type);
}

/* Write VIEW in place of the current view, unless another write is in flight
   or has failed less than view_write_retry_delay ago.  The version of VIEW is
   set.  VIEW is copied.  */
static void
propose_view (struct co_core *core, struct co_view *view)
{
  struct co_action *action;

  if (core->view_write_op_id != 0 || core->now < core->view_retry_at)
    return;
  view->version = core->view.version + 1;
  core->view_write_op_id = co_store_op_new (core, CO_STORE_OP_VIEW_WRITE, 0);
  talloc_free (core->proposed_view);
  core->proposed_view = talloc_zero (core, struct co_view);
  *core->proposed_view = copy_view (core->proposed_view, view);
  action = co_add_action (core, CO_ACTION_WRITE);
  action->u.write.op_id = core->view_write_op_id;
  action->u.write.row.partition = co_outbox_strdup (core, "view");
  action->u.write.row.sort_key = co_outbox_strdup (core, "current");
  action->u.write.row.version = view->version;
  action->u.write.expected_version = core->view.version;
  action->u.write.row.body
      = ba_codec_encode (core->outbox->mem, co_view_serialize, view);
}

/* Move the member at position I of VIEW to the list of departed members.
   DEPARTURE, an enum co_departure, tells how it left.  */
static void
move_to_departed (struct co_view *view, uint32_t i, uint32_t departure)
{
  g_assert (view->departed_count < CO_MAX_DEPARTED_COUNT);
  view->departed
      = talloc_realloc (NULL, view->departed, struct co_departed_member,
                        view->departed_count + 1);
  view->departed[view->departed_count].incarnation
      = view->members[i].incarnation;
  view->departed[view->departed_count].departure = departure;
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

/* Propose a view with this member in it.  A member with the same peer address
   is an earlier process of this entry host, which must have ended because this
   process could take its address.  */
static void
join_view (struct co_core *core)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_view next = copy_view (scratch, &core->view);

  for (uint32_t i = next.member_count; i-- > 0;)
    if (strcmp (next.members[i].peer_address, core->options.peer_address) == 0)
      move_to_departed (&next, i, CO_DEPARTED_REPLACED);
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
      propose_view (core, &next);
    }
  talloc_free (scratch);
}

void
co_schedule_poll (struct co_core *core)
{
  core->next_poll_at = core->now;
}

/* Apply the view in ROW if it is newer than the current one.  */
static void
load_view_row (struct co_core *core, const struct co_row *row)
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
  load_view_row (core, &poll->view_row);
  co_fleet_apply_rows (core, poll->log, poll->log_count);
  if (poll->log_count > 0
      && poll->log[poll->log_count - 1].version > core->log_version)
    return; /* an entry can't be decoded: the state is not current */
  if (poll->sent_at > core->table_read_at)
    core->table_read_at = poll->sent_at;
  core->view_loaded = true;
  if (view_contains (&core->view, core->options.incarnation))
    {
      if (core->phase == CO_PHASE_JOINING)
        core->phase = CO_PHASE_MEMBER;
    }
  else if (core->phase == CO_PHASE_JOINING)
    join_view (core);
  else if (core->phase == CO_PHASE_LEAVING)
    end_membership (core, CO_ACTION_STOPPED);
  else
    end_membership (core, CO_ACTION_EVICTED);
}

void
co_view_write_done (struct co_core *core, uint32_t result)
{
  core->view_write_op_id = 0;
  if (result == CO_STORE_OK
      && core->proposed_view->version > core->view.version)
    apply_view (core, core->proposed_view);
  else
    core->view_retry_at = core->now + view_write_retry_delay;
  TALLOC_FREE (core->proposed_view);
  co_schedule_poll (core);
}

bool
co_table_read_is_recent (const struct co_core *core)
{
  return core->table_read_at != 0
         && core->now - core->table_read_at <= core->options.lease_duration;
}

/* Return whether PEER_SLOT is that of this member, or of a member from which a
   heartbeat arrived within the lease duration and which has the current
   view.  */
static bool
is_heard_at_current_view (const struct co_core *core, int peer_slot)
{
  const struct co_peer *peer;

  if (peer_slot == CO_NO_INDEX)
    return false;
  peer = &core->peers[peer_slot];
  if (is_self (core, peer->incarnation))
    return true;
  return peer->is_member && peer->last_heartbeat_at != 0
         && core->now - peer->last_heartbeat_at <= core->options.lease_duration
         && peer->view_version == core->view.version;
}

/* Return whether majorities of both the members and the base satisfy TEST,
   which is called with their peer slots and ARGUMENT.  */
static bool
both_majorities_satisfy (const struct co_core *core,
                         bool (*test) (const struct co_core *, int, uint64_t),
                         uint64_t argument)
{
  uint32_t members = 0;
  uint32_t base = 0;

  for (uint32_t i = 0; i < core->view.member_count; i++)
    {
      int peer_slot = co_peer_slot (core, core->view.members[i].incarnation);

      if (test (core, peer_slot, argument))
        members++;
    }
  for (uint32_t i = 0; i < core->view.base_count; i++)
    if (test (core, co_peer_slot (core, core->view.base[i]), argument))
      base++;
  return members * 2 > core->view.member_count
         && base * 2 > core->view.base_count;
}

/* Tests for both_majorities_satisfy.  */

static bool
test_heard (const struct co_core *core, int peer_slot,
            uint64_t argument G_GNUC_UNUSED)
{
  return is_heard_at_current_view (core, peer_slot);
}

static bool
test_has_log_version (const struct co_core *core, int peer_slot,
                      uint64_t version)
{
  if (peer_slot == CO_NO_INDEX)
    return false;
  if (is_self (core, core->peers[peer_slot].incarnation))
    return core->log_version >= version;
  return is_heard_at_current_view (core, peer_slot)
         && core->peers[peer_slot].log_version >= version;
}

bool
co_majority_has_log_version (const struct co_core *core, uint64_t log_version)
{
  return both_majorities_satisfy (core, test_has_log_version, log_version);
}

/* Return whether another member has applied more of the log than this one.  */
static bool
peer_has_newer_log (const struct co_core *core)
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
  if (!core->table_unreachable || peer_has_newer_log (core)
      || core->now - core->table_read_at > core->options.max_table_outage)
    return false;
  return both_majorities_satisfy (core, test_heard, 0);
}

bool
co_is_leader (const struct co_core *core)
{
  return core->phase == CO_PHASE_MEMBER && core->view.member_count > 0
         && is_self (core, core->view.members[0].incarnation);
}

/* The owner is the member with the highest weight, as in rendezvous
   hashing.  */
uint64_t
co_claim_owner (const struct co_core *core, const char *idempotency_key)
{
  uint64_t owner = 0;
  uint64_t best = 0;

  for (uint32_t i = 0; i < core->view.member_count; i++)
    {
      uint64_t incarnation = core->view.members[i].incarnation;
      uint64_t weight = ba_hash_str (idempotency_key, incarnation);

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

/* Return whether the base member INCARNATION can't act on an older view any
   more, because it knows the current one or its process has ended.  */
static bool
base_member_knows_view (const struct co_core *core, uint64_t incarnation)
{
  int peer_slot = co_peer_slot (core, incarnation);

  if (is_self (core, incarnation))
    return true;
  if (peer_slot == CO_NO_INDEX)
    return false;
  if (!core->peers[peer_slot].is_member
      && core->peers[peer_slot].departure != CO_DEPARTED_EVICTED)
    return true;
  return core->peers[peer_slot].view_version >= core->view.version;
}

/* As the leader, confirm the current view if a majority of the base knows it,
   or if max_table_outage plus the duration of a lease has passed since it was
   applied.  After that time, the lease of every member that doesn't know the
   view has expired, because heartbeats alone renew a lease for at most
   max_table_outage.  */
static void
confirm_view (struct co_core *core)
{
  uint32_t count = 0;
  struct co_view next = core->view;

  for (uint32_t i = 0; i < core->view.base_count; i++)
    if (base_member_knows_view (core, core->view.base[i]))
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
  propose_view (core, &next);
}

/* Evict the members that have been silent for longer than the timeout.  */
static void
evict_silent_members (struct co_core *core)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_view next = copy_view (scratch, &core->view);
  uint32_t evicted = 0;

  for (uint32_t i = next.member_count; i-- > 0;)
    {
      int peer_slot = co_peer_slot (core, next.members[i].incarnation);
      const struct co_peer *peer = &core->peers[peer_slot];
      co_time last = peer->last_heartbeat_at > peer->first_seen
                         ? peer->last_heartbeat_at
                         : peer->first_seen;

      if (is_self (core, peer->incarnation)
          || core->now - last <= core->options.eviction_timeout
          || next.departed_count == CO_MAX_DEPARTED_COUNT)
        continue;
      move_to_departed (&next, i, CO_DEPARTED_EVICTED);
      evicted++;
    }
  if (evicted > 0 && core->view_write_op_id == 0
      && core->now >= core->view_retry_at)
    {
      core->counters[CO_COUNTER_EVICTIONS] += evicted;
      propose_view (core, &next);
    }
  talloc_free (scratch);
}

/* Return whether the rows of all ledger shards, as read by this member, have
   settled the departed member INCARNATION.  */
static bool
is_settled_in_all_shards (const struct co_core *core, uint64_t incarnation)
{
  int peer_slot = co_peer_slot (core, incarnation);

  return peer_slot != CO_NO_INDEX
         && core->peers[peer_slot].settled_shards
                == (1U << CO_LEDGER_SHARD_COUNT) - 1;
}

/* As the leader, remove settled members from the list of departed members.  */
static void
remove_settled_members (struct co_core *core)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_view next = copy_view (scratch, &core->view);
  uint32_t kept_count = 0;

  for (uint32_t i = 0; i < next.departed_count; i++)
    if (!is_settled_in_all_shards (core, next.departed[i].incarnation))
      next.departed[kept_count++] = next.departed[i];
  if (kept_count < next.departed_count)
    {
      next.departed_count = kept_count;
      propose_view (core, &next);
    }
  talloc_free (scratch);
}

static bool
is_departed (const struct co_core *core, uint64_t incarnation)
{
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    if (core->view.departed[i].incarnation == incarnation)
      return true;
  return false;
}

static void
free_settled_peer_slots (struct co_core *core)
{
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    {
      const struct co_peer *peer = &core->peers[i];

      if (peer->incarnation != 0 && !peer->is_member
          && !is_self (core, peer->incarnation)
          && !is_departed (core, peer->incarnation)
          && is_settled_in_all_shards (core, peer->incarnation))
        free_peer_slot (core, i);
    }
}

/* Once the view without the departed members is confirmed, set the time at
   which the lease of each has expired.  Only an evicted member can still have
   a lease when the view is confirmed.  */
static void
set_lease_expiry (struct co_core *core)
{
  if (!co_view_is_confirmed (core))
    return;
  for (uint32_t i = 0; i < core->view.departed_count; i++)
    {
      int peer_slot = co_peer_slot (core, core->view.departed[i].incarnation);
      struct co_peer *peer = &core->peers[peer_slot];

      if (peer->lease_expires_at == 0)
        peer->lease_expires_at = peer->departure == CO_DEPARTED_EVICTED
                                     ? core->now + core->options.lease_duration
                                     : core->now;
    }
}

static void
poll_if_due (struct co_core *core)
{
  struct co_action *action;

  if (core->now < core->next_poll_at)
    return;
  core->next_poll_at = core->now + core->options.poll_interval;
  if (!core->snapshot_loaded)
    {
      co_snapshot_read (core);
      return;
    }
  action = co_add_action (core, CO_ACTION_POLL);
  action->u.poll_after_log_version = core->log_version;
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

/* Take the next step of leaving the view.  This member must have nothing
   running.  The first step lends all quota to the others; the following ones
   propose a view without this member, until it is in force or leave_timeout
   has passed.  */
static void
leave_view (struct co_core *core)
{
  TALLOC_CTX *scratch;
  struct co_view next;

  if (core->phase == CO_PHASE_JOINING)
    {
      end_membership (core, CO_ACTION_STOPPED);
      return;
    }
  if (core->phase == CO_PHASE_MEMBER)
    {
      core->phase = CO_PHASE_LEAVING;
      core->stop_at = core->now;
      co_borrow_lend_all (core);
      return;
    }
  if (core->now - core->stop_at > leave_timeout)
    {
      end_membership (core, CO_ACTION_STOPPED);
      return;
    }
  scratch = talloc_new (NULL);
  next = copy_view (scratch, &core->view);
  for (uint32_t i = next.member_count; i-- > 0;)
    if (is_self (core, next.members[i].incarnation)
        && next.departed_count < CO_MAX_DEPARTED_COUNT)
      move_to_departed (&next, i, CO_DEPARTED_GRACEFUL);
  propose_view (core, &next);
  talloc_free (scratch);
}

void
co_view_tick (struct co_core *core)
{
  bool has_lease;

  if (core->phase == CO_PHASE_ENDED)
    {
      /* The members may need to learn that this process knows a view
         without itself, so it keeps sending heartbeats.  */
      if (core->now >= core->next_heartbeat_at)
        {
          core->next_heartbeat_at
              = core->now + core->options.heartbeat_interval;
          co_heartbeat_send (core);
        }
      return;
    }
  poll_if_due (core);
  has_lease = co_has_lease (core);
  if (core->had_lease && !has_lease)
    co_increment_counter (core, CO_COUNTER_LEASES_LOST);
  core->had_lease = has_lease;
  if (core->stopping && core->now >= core->stop_at
      && g_hash_table_size (core->requests) == 0
      && core->orphaned_slots->len == 0)
    leave_view (core);
  if (core->phase != CO_PHASE_MEMBER)
    return;
  if (core->now >= core->next_heartbeat_at)
    {
      core->next_heartbeat_at = core->now + core->options.heartbeat_interval;
      co_heartbeat_send (core);
    }
  set_lease_expiry (core);
  free_settled_peer_slots (core);
  if (!co_table_read_is_recent (core))
    return;
  evict_silent_members (core);
  if (co_is_leader (core) && !co_view_is_confirmed (core))
    confirm_view (core);
  else if (co_is_leader (core))
    remove_settled_members (core);
}
