#include "co_internal.h"

/* Who lends rights to whom.

   A member whose requests wait for a right asks the member that, by the last
   heartbeats, has the most free ones.  A member that is asked lends what it
   does not need itself; when everybody needs more than there is, rights go
   towards a split in proportion to demand.  */

static const co_time want_interval = 20 * CO_MILLISECOND;
static const co_time want_lifetime = 500 * CO_MILLISECOND;

enum
{
  SLOTS_AT_LEAST = 2 /* slots a member asks for at once, to save messages */
};

static const struct co_usage *
find_usage (const struct co_peer *peer, bool slots, const char *name)
{
  const struct co_usage *items;
  uint32_t count;

  if (peer->last_heartbeat == NULL)
    return NULL;
  items = slots ? peer->last_heartbeat->pools : peer->last_heartbeat->teams;
  count = slots ? peer->last_heartbeat->pool_count
                : peer->last_heartbeat->team_count;
  for (uint32_t i = 0; i < count; i++)
    if (g_strcmp0 (items[i].name, name) == 0)
      return &items[i];
  return NULL;
}

/* Return the member with the most free rights of NAME; failing that, the one
   that holds most above its demand.  */
static int
best_lender (const struct co_core *core, bool slots, const char *name)
{
  int best = CO_NO_INDEX;
  int64_t best_spare = 0;

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    {
      const struct co_peer *peer = &core->peers[i];
      const struct co_usage *usage;
      int64_t spare;

      if (!peer->is_member || peer->incarnation == core->options.incarnation)
        continue;
      usage = find_usage (peer, slots, name);
      if (usage == NULL || usage->held_quota == 0)
        continue;
      spare = (int64_t)usage->held_quota - usage->running - usage->waiting;
      if (best == CO_NO_INDEX || spare > best_spare)
        {
          best = i;
          best_spare = spare;
        }
    }
  return best;
}

static void
send_want (struct co_core *core, bool slots, const char *name, int64_t count)
{
  int lender = best_lender (core, slots, name);
  struct co_msg *m;

  if (lender == CO_NO_INDEX || (core->options.disabled & CO_DISABLE_BORROWING))
    return;
  m = co_add_message (core, core->peers[lender].incarnation,
                      CO_MSG_QUOTA_REQUEST);
  m->u.quota_request.for_pool = slots;
  m->u.quota_request.name = (char *)name;
  m->u.quota_request.count = (uint32_t)count;
  co_increment_counter (core, CO_COUNTER_QUOTA_REQUESTS);
}

/* Ask for rights of TEAM when its requests wait for them.  */
void
co_borrow_for_team (struct co_core *core, int index)
{
  struct co_team *team = core->teams[index];
  struct co_quota *right = core->quotas[team->quota];
  int64_t need = (int64_t)team->waiting - co_quota_unused (right);

  if (need <= 0 || core->now - team->quota_requested_at < want_interval)
    return;
  team->quota_requested_at = core->now;
  send_want (core, false, team->name, need);
}

/* Ask for worker slots in POOL when requests wait for them.  */
void
co_borrow_for_pool (struct co_core *core, int index)
{
  struct co_pool *pool = core->pools[index];
  int64_t need = (int64_t)pool->waiting - pool->free_slots;

  if (need <= 0 || core->now - pool->quota_requested_at < want_interval)
    return;
  pool->quota_requested_at = core->now;
  send_want (core, true, pool->name,
             need < SLOTS_AT_LEAST ? SLOTS_AT_LEAST : need);
}

/* Return this member's part of HELD_ALL rights in proportion to demand, and
   at SLOT the same of that member.  */
static void
fair_parts (const struct co_core *core, bool slots, const char *name,
            int64_t own_held, int64_t own_demand, int slot, int64_t want,
            double *own_part, double *its_part, int64_t *its_held)
{
  int64_t held = own_held;
  int64_t demand = own_demand;
  int64_t its_demand = want;

  *its_held = 0;
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    {
      const struct co_usage *usage;

      if (!core->peers[i].is_member
          || core->peers[i].incarnation == core->options.incarnation)
        continue;
      usage = find_usage (&core->peers[i], slots, name);
      if (i == slot)
        {
          its_demand += usage ? usage->running : 0;
          *its_held = usage ? usage->held_quota : 0;
          demand += its_demand;
          held += *its_held;
        }
      else if (usage != NULL)
        {
          demand += usage->running + usage->waiting;
          held += usage->held_quota;
        }
    }
  if (demand == 0)
    demand = 1;
  *own_part = (double)held * (double)own_demand / (double)demand;
  *its_part = (double)held * (double)its_demand / (double)demand;
}

/* Return how many of FREE_RIGHTS to lend to SLOT, which wants WANT.  */
static int64_t
amount (const struct co_core *core, bool slots, const char *name,
        int64_t free_rights, int64_t waiting, int64_t running, int64_t held,
        int slot, int64_t want)
{
  int64_t spare = free_rights - waiting;
  int64_t its_held;
  double own_part;
  double its_part;

  if (spare > 0)
    return spare < want ? spare : want;
  fair_parts (core, slots, name, held, running + waiting, slot, want,
              &own_part, &its_part, &its_held);
  if ((double)held - own_part < 1.0 || its_part - (double)its_held < 1.0)
    return 0;
  return free_rights > 0 ? 1 : 0;
}

static void
lend_team (struct co_core *core, int index, int slot)
{
  struct co_team *team = core->teams[index];
  struct co_quota *right = core->quotas[team->quota];
  int64_t count;

  if (!co_quota_is_usable (core, right))
    return;
  count = amount (core, false, team->name, co_quota_unused (right),
                  team->waiting, right->in_use, co_quota_held (right), slot,
                  team->requested_by_peer[slot]);
  if (count > co_quota_unused (right))
    count = co_quota_unused (right);
  if (count <= 0)
    return;
  team->requested_by_peer[slot] -= count;
  co_quota_lend (core, team->quota, slot, count);
}

static void
lend_slots (struct co_core *core, int index, int slot)
{
  struct co_pool *pool = core->pools[index];
  int64_t count = amount (core, true, pool->name, pool->free_slots,
                          pool->waiting, pool->running, pool->held_slots, slot,
                          pool->requested_by_peer[slot]);

  for (; count > 0; count--)
    {
      int host = co_worker_select (core, index, CO_NO_INDEX);

      if (host == CO_NO_INDEX
          || co_quota_unused (core->quotas[core->hosts[host]->quota]) <= 0)
        return;
      pool->requested_by_peer[slot]--;
      co_quota_lend (core, core->hosts[host]->quota, slot, 1);
    }
}

void
co_borrow_handle_request (struct co_core *core, int slot,
                          const struct co_msg_quota_request *want)
{
  if (core->options.disabled & CO_DISABLE_BORROWING)
    return;
  if (want->for_pool)
    {
      int pool = co_find_index (core->pool_index, want->name);

      if (pool == CO_NO_INDEX)
        return;
      core->pools[pool]->requested_by_peer[slot] = want->count;
      core->pools[pool]->peer_request_expires_at[slot]
          = core->now + want_lifetime;
      lend_slots (core, pool, slot);
    }
  else
    {
      int team = co_find_index (core->team_index, want->name);

      if (team == CO_NO_INDEX)
        return;
      core->teams[team]->requested_by_peer[slot] = want->count;
      core->teams[team]->peer_request_expires_at[slot]
          = core->now + want_lifetime;
      lend_team (core, team, slot);
    }
}

/* Serve remembered wants for TEAM after a right of it became free.  */
void
co_borrow_serve_team (struct co_core *core, int index)
{
  struct co_team *team = core->teams[index];

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (team->requested_by_peer[i] > 0
        && team->peer_request_expires_at[i] >= core->now
        && co_is_member (core, i))
      lend_team (core, index, i);
}

void
co_borrow_serve_pool (struct co_core *core, int index)
{
  struct co_pool *pool = core->pools[index];

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (pool->requested_by_peer[i] > 0
        && pool->peer_request_expires_at[i] >= core->now
        && co_is_member (core, i))
      lend_slots (core, index, i);
}

/* Lend everything to the other members, in turn, before leaving.  */
void
co_borrow_lend_all (struct co_core *core)
{
  int others[CO_PEER_SLOT_COUNT];
  int count = 0;

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member
        && core->peers[i].incarnation != core->options.incarnation)
      others[count++] = i;
  if (count == 0)
    return;
  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      int64_t left = co_quota_unused (core->quotas[i]);

      for (int turn = (int)i; left > 0; turn++)
        {
          int64_t part = (left + count - 1) / count;

          co_quota_lend (core, (int)i, others[turn % count], part);
          left -= part;
        }
    }
}
