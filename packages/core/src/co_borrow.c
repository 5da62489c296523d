#include "co_internal.h"

/* Borrowing of quota between members.

   A member whose requests wait for units of a quota asks the member that, by
   the last heartbeats, has the largest surplus of them.  The member that is
   asked lends what it doesn't need itself.  If it has no surplus, it lends one
   unit at a time until the units are split in proportion to demand.  */

/* Between this member's requests for the same team or pool.  */
static const co_time quota_request_interval = 20 * CO_MILLISECOND;
/* How long a request of another member is remembered.  */
static const co_time quota_request_lifetime = 500 * CO_MILLISECOND;

enum
{
  /* Fewest worker slots that a member asks for, to save messages.  */
  MIN_SLOT_REQUEST_COUNT = 2
};

/* Return the usage of NAME, a pool if IS_POOL and else a team, in the last
   heartbeat of PEER, or NULL if there is none.  Borrowed from PEER.  */
static const struct co_usage *
find_usage (const struct co_peer *peer, bool is_pool, const char *name)
{
  const struct co_usage *items;
  uint32_t count;

  if (peer->last_heartbeat == NULL)
    return NULL;
  items = is_pool ? peer->last_heartbeat->pools : peer->last_heartbeat->teams;
  count = is_pool ? peer->last_heartbeat->pool_count
                  : peer->last_heartbeat->team_count;
  for (uint32_t i = 0; i < count; i++)
    if (g_strcmp0 (items[i].name, name) == 0)
      return &items[i];
  return NULL;
}

/* Return the peer slot of the other member whose held units of NAME exceed
   its demand by the most, even if none has a surplus, or CO_NO_INDEX if no
   other member holds any.  */
static int
choose_lender (const struct co_core *core, bool is_pool, const char *name)
{
  int best_slot = CO_NO_INDEX;
  int64_t largest_surplus = 0;

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    {
      const struct co_peer *peer = &core->peers[i];
      const struct co_usage *usage;
      int64_t surplus;

      if (!peer->is_member || peer->incarnation == core->options.incarnation)
        continue;
      usage = find_usage (peer, is_pool, name);
      if (usage == NULL || usage->held_quota == 0)
        continue;
      surplus = (int64_t)usage->held_quota - usage->running - usage->waiting;
      if (best_slot == CO_NO_INDEX || surplus > largest_surplus)
        {
          best_slot = i;
          largest_surplus = surplus;
        }
    }
  return best_slot;
}

/* Ask the member that choose_lender returns for COUNT units of NAME.  */
static void
send_quota_request (struct co_core *core, bool is_pool, const char *name,
                    int64_t count)
{
  int lender = choose_lender (core, is_pool, name);
  struct co_msg *message;

  if (lender == CO_NO_INDEX || (core->options.disabled & CO_DISABLE_BORROWING))
    return;
  message = co_add_message (core, core->peers[lender].incarnation,
                            CO_MSG_QUOTA_REQUEST);
  message->u.quota_request.for_pool = is_pool;
  message->u.quota_request.name = (char *)name;
  message->u.quota_request.count = (uint32_t)count;
  co_increment_counter (core, CO_COUNTER_QUOTA_REQUESTS);
}

void
co_borrow_for_team (struct co_core *core, int index)
{
  struct co_team *team = core->teams[index];
  struct co_quota *quota = core->quotas[team->quota];
  int64_t shortfall = (int64_t)team->waiting - co_quota_unused (quota);

  if (shortfall <= 0
      || core->now - team->quota_requested_at < quota_request_interval)
    return;
  team->quota_requested_at = core->now;
  send_quota_request (core, false, team->name, shortfall);
}

void
co_borrow_for_pool (struct co_core *core, int index)
{
  struct co_pool *pool = core->pools[index];
  int64_t shortfall = (int64_t)pool->waiting - pool->free_slots;

  if (shortfall <= 0
      || core->now - pool->quota_requested_at < quota_request_interval)
    return;
  pool->quota_requested_at = core->now;
  send_quota_request (
      core, true, pool->name,
      shortfall < MIN_SLOT_REQUEST_COUNT ? MIN_SLOT_REQUEST_COUNT : shortfall);
}

/* Compute a split of the units of NAME, as held by all members, in proportion
   to demand.  OWN_HELD and OWN_DEMAND are those of this member; REQUESTED is
   the number of units that the member at peer slot BORROWER has asked for.
   Store in *OWN_FAIR and *BORROWER_FAIR what this member and the borrower
   would hold after the split, and in *BORROWER_HELD what the borrower holds by
   its last heartbeat.  */
static void
fair_split (const struct co_core *core, bool is_pool, const char *name,
            int64_t own_held, int64_t own_demand, int borrower,
            int64_t requested, double *own_fair, double *borrower_fair,
            int64_t *borrower_held)
{
  int64_t held = own_held;
  int64_t demand = own_demand;
  int64_t borrower_demand = requested;

  *borrower_held = 0;
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    {
      const struct co_usage *usage;

      if (!core->peers[i].is_member
          || core->peers[i].incarnation == core->options.incarnation)
        continue;
      usage = find_usage (&core->peers[i], is_pool, name);
      if (i == borrower)
        {
          borrower_demand += usage ? usage->running : 0;
          *borrower_held = usage ? usage->held_quota : 0;
          demand += borrower_demand;
          held += *borrower_held;
        }
      else if (usage != NULL)
        {
          demand += usage->running + usage->waiting;
          held += usage->held_quota;
        }
    }
  if (demand == 0)
    demand = 1;
  *own_fair = (double)held * (double)own_demand / (double)demand;
  *borrower_fair = (double)held * (double)borrower_demand / (double)demand;
}

/* Return how many units of NAME to lend to the member at peer slot BORROWER,
   which asked for REQUESTED units.  UNUSED and HELD are the units that this
   member doesn't use and that it holds in all; WAITING and RUNNING count its
   requests.  */
static int64_t
units_to_lend (const struct co_core *core, bool is_pool, const char *name,
               int64_t unused, int64_t waiting, int64_t running, int64_t held,
               int borrower, int64_t requested)
{
  int64_t surplus = unused - waiting;
  int64_t borrower_held;
  double own_fair;
  double borrower_fair;

  if (surplus > 0)
    return surplus < requested ? surplus : requested;
  fair_split (core, is_pool, name, held, running + waiting, borrower,
              requested, &own_fair, &borrower_fair, &borrower_held);
  if ((double)held - own_fair < 1.0
      || borrower_fair - (double)borrower_held < 1.0)
    return 0;
  return unused > 0 ? 1 : 0;
}

/* Lend to the member at peer slot BORROWER what it has asked for of the quota
   of the team at INDEX, as far as this member can spare it.  */
static void
lend_team_quota (struct co_core *core, int index, int borrower)
{
  struct co_team *team = core->teams[index];
  struct co_quota *quota = core->quotas[team->quota];
  int64_t count;

  if (!co_quota_is_usable (core, quota))
    return;
  count = units_to_lend (core, false, team->name, co_quota_unused (quota),
                         team->waiting, quota->in_use, co_quota_held (quota),
                         borrower, team->requested_by_peer[borrower]);
  if (count > co_quota_unused (quota))
    count = co_quota_unused (quota);
  if (count <= 0)
    return;
  team->requested_by_peer[borrower] -= count;
  co_quota_lend (core, team->quota, borrower, count);
}

/* As lend_team_quota, for worker slots of the pool at INDEX.  Slots are lent
   one by one, each from the host with the most free ones.  */
static void
lend_pool_slots (struct co_core *core, int index, int borrower)
{
  struct co_pool *pool = core->pools[index];
  int64_t count = units_to_lend (
      core, true, pool->name, pool->free_slots, pool->waiting, pool->running,
      pool->held_slots, borrower, pool->requested_by_peer[borrower]);

  for (; count > 0; count--)
    {
      int host = co_host_select (core, index, CO_NO_INDEX);

      if (host == CO_NO_INDEX
          || co_quota_unused (core->quotas[core->hosts[host]->quota]) <= 0)
        return;
      pool->requested_by_peer[borrower]--;
      co_quota_lend (core, core->hosts[host]->quota, borrower, 1);
    }
}

void
co_borrow_handle_request (struct co_core *core, int borrower,
                          const struct co_msg_quota_request *request)
{
  if (core->options.disabled & CO_DISABLE_BORROWING)
    return;
  if (request->for_pool)
    {
      int pool = co_find_index (core->pool_index, request->name);

      if (pool == CO_NO_INDEX)
        return;
      core->pools[pool]->requested_by_peer[borrower] = request->count;
      core->pools[pool]->peer_request_expires_at[borrower]
          = core->now + quota_request_lifetime;
      lend_pool_slots (core, pool, borrower);
    }
  else
    {
      int team = co_find_index (core->team_index, request->name);

      if (team == CO_NO_INDEX)
        return;
      core->teams[team]->requested_by_peer[borrower] = request->count;
      core->teams[team]->peer_request_expires_at[borrower]
          = core->now + quota_request_lifetime;
      lend_team_quota (core, team, borrower);
    }
}

void
co_borrow_serve_team (struct co_core *core, int index)
{
  struct co_team *team = core->teams[index];

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (team->requested_by_peer[i] > 0
        && team->peer_request_expires_at[i] >= core->now
        && co_is_member (core, i))
      lend_team_quota (core, index, i);
}

void
co_borrow_serve_pool (struct co_core *core, int index)
{
  struct co_pool *pool = core->pools[index];

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (pool->requested_by_peer[i] > 0
        && pool->peer_request_expires_at[i] >= core->now
        && co_is_member (core, i))
      lend_pool_slots (core, index, i);
}

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
      int64_t unlent = co_quota_unused (core->quotas[i]);

      for (int next = (int)i; unlent > 0; next++)
        {
          int64_t chunk = (unlent + count - 1) / count;

          co_quota_lend (core, (int)i, others[next % count], chunk);
          unlent -= chunk;
        }
    }
}
