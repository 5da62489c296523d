#include "co_internal.h"

#include <string.h>

/* Heartbeats.  They tell the other members which view and configuration the
   sender has, and what it uses of the teams' limits and the pools' slots.  */

/* Append the usage of the team or pool NAME to ITEMS and increment *COUNT, the
   number of its elements, unless all figures are 0.  */
static void
append_usage (struct co_usage *items, uint32_t *count, const char *name,
              uint32_t running, uint32_t waiting, int64_t held)
{
  if (running == 0 && waiting == 0 && held <= 0)
    return;
  items[*count].name = (char *)name;
  items[*count].running = running;
  items[*count].waiting = waiting;
  items[*count].held_quota = held > 0 ? (uint32_t)held : 0;
  (*count)++;
}

/* Fill in the usage of each team.  POSITIONS[I] is set to the position in the
   list of the team at index I; it is meaningless for a team that is left
   out.  */
static void
fill_teams (struct co_core *core, struct co_msg_heartbeat *heartbeat,
            TALLOC_CTX *mem, uint32_t *positions)
{
  heartbeat->teams
      = talloc_zero_array (mem, struct co_usage, core->team_count + 1);
  for (uint32_t i = 0; i < core->team_count; i++)
    {
      const struct co_team *t = core->teams[i];

      positions[i] = heartbeat->team_count;
      append_usage (heartbeat->teams, &heartbeat->team_count, t->name,
                    t->running, t->waiting,
                    co_quota_held (core->quotas[t->quota]));
    }
}

static void
fill_pools (struct co_core *core, struct co_msg_heartbeat *heartbeat,
            TALLOC_CTX *mem, uint32_t *positions)
{
  heartbeat->pools
      = talloc_zero_array (mem, struct co_usage, core->pool_count + 1);
  for (uint32_t i = 0; i < core->pool_count; i++)
    {
      const struct co_pool *p = core->pools[i];

      positions[i] = heartbeat->pool_count;
      append_usage (heartbeat->pools, &heartbeat->pool_count, p->name,
                    p->running, p->waiting, p->held_slots);
    }
}

/* Fill in the lists of teams and pools and the number of requests that each
   team runs in each pool.  A team or a pool with running requests is always in
   its list.  */
static void
fill_running (struct co_core *core, struct co_msg_heartbeat *heartbeat,
              TALLOC_CTX *mem)
{
  uint32_t max_count = core->pool_count * core->team_count;
  uint32_t *team_positions
      = talloc_zero_array (mem, uint32_t, core->team_count + 1);
  uint32_t *pool_positions
      = talloc_zero_array (mem, uint32_t, core->pool_count + 1);

  fill_teams (core, heartbeat, mem, team_positions);
  fill_pools (core, heartbeat, mem, pool_positions);
  heartbeat->running
      = talloc_zero_array (mem, struct co_running_count, max_count + 1);
  for (uint32_t p = 0; p < core->pool_count; p++)
    for (uint32_t t = 0; t < core->team_count; t++)
      if (core->pools[p]->own_running[t] > 0)
        {
          struct co_running_count *r
              = &heartbeat->running[heartbeat->running_count++];

          r->pool_position = pool_positions[p];
          r->team_position = team_positions[t];
          r->count = core->pools[p]->own_running[t];
        }
}

/* Fill in the number of requests that still run on each host that takes no new
   work.  */
static void
fill_drains (struct co_core *core, struct co_msg_heartbeat *heartbeat,
             TALLOC_CTX *mem)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < core->host_count; i++)
    if (core->hosts[i]->state != CO_HOST_ACTIVE && core->hosts[i]->running > 0)
      count++;
  heartbeat->drains
      = talloc_zero_array (mem, struct co_drain_status, count + 1);
  for (uint32_t i = 0; i < core->host_count && count > 0; i++)
    if (core->hosts[i]->state != CO_HOST_ACTIVE && core->hosts[i]->running > 0)
      {
        struct co_drain_status *d
            = &heartbeat->drains[heartbeat->drain_count++];

        d->host = core->hosts[i]->name;
        d->running = core->hosts[i]->running;
      }
}

/* Fill HEARTBEAT with this member's state.  Names are borrowed from the core,
   which is safe because the driver encodes the message before the next
   step.  */
static void
fill_heartbeat (struct co_core *core, struct co_msg_heartbeat *heartbeat)
{
  TALLOC_CTX *mem = core->outbox->mem;

  heartbeat->view_version = core->view.version;
  heartbeat->log_version = core->log_version;
  heartbeat->stopping = core->stopping;
  fill_running (core, heartbeat, mem);
  fill_drains (core, heartbeat, mem);
  heartbeat->ledger_versions
      = talloc_zero_array (mem, uint64_t, CO_LEDGER_SHARD_COUNT);
  heartbeat->ledger_version_count = CO_LEDGER_SHARD_COUNT;
  for (int i = 0; i < CO_LEDGER_SHARD_COUNT; i++)
    heartbeat->ledger_versions[i] = core->shards[i].current_row
                                        ? core->shards[i].current_row->version
                                        : 0;
}

void
co_heartbeat_send (struct co_core *core)
{
  struct co_msg_heartbeat heartbeat = { 0 };

  fill_heartbeat (core, &heartbeat);
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member
        && core->peers[i].incarnation != core->options.incarnation)
      co_add_message (core, core->peers[i].incarnation, CO_MSG_HEARTBEAT)
          ->u.heartbeat
          = heartbeat;
}

/* Return a deep copy of HEARTBEAT, owned by CORE.  */
static struct co_msg_heartbeat *
copy_heartbeat (struct co_core *core, const struct co_msg_heartbeat *heartbeat)
{
  struct co_msg_heartbeat *copy = talloc_zero (core, struct co_msg_heartbeat);
  struct co_msg source
      = { .type = CO_MSG_HEARTBEAT, .u.heartbeat = *heartbeat };
  struct co_msg target = { 0 };

  ba_codec_deep_copy (copy, co_msg_serialize, &source, &target);
  *copy = target.u.heartbeat;
  return copy;
}

/* Replace the counts of requests that the member at PEER_SLOT runs, by team
   and pool.  Teams and pools that this member does not know are skipped.  */
static void
store_running_counts (struct co_core *core, int peer_slot,
                      const struct co_msg_heartbeat *heartbeat)
{
  for (uint32_t i = 0; i < core->pool_count; i++)
    if (core->pools[i]->peer_running[peer_slot] == NULL)
      core->pools[i]->peer_running[peer_slot]
          = talloc_zero_array (core->pools[i], uint32_t, core->team_capacity);
    else
      memset (core->pools[i]->peer_running[peer_slot], 0,
              core->team_capacity * sizeof (uint32_t));
  for (uint32_t i = 0; i < heartbeat->running_count; i++)
    {
      const struct co_running_count *r = &heartbeat->running[i];
      int pool;
      int team;

      if (r->pool_position >= heartbeat->pool_count
          || r->team_position >= heartbeat->team_count)
        continue;
      pool = co_find_index (core->pool_index,
                            heartbeat->pools[r->pool_position].name);
      team = co_find_index (core->team_index,
                            heartbeat->teams[r->team_position].name);
      if (pool != CO_NO_INDEX && team != CO_NO_INDEX)
        core->pools[pool]->peer_running[peer_slot][team] = r->count;
    }
}

void
co_heartbeat_note_view (struct co_core *core, int peer_slot, uint64_t version)
{
  if (version > core->peers[peer_slot].view_version)
    core->peers[peer_slot].view_version = version;
}

void
co_heartbeat_receive (struct co_core *core, int peer_slot,
                      const struct co_msg_heartbeat *heartbeat)
{
  struct co_peer *peer = &core->peers[peer_slot];

  peer->last_heartbeat_at = core->now;
  peer->log_version = heartbeat->log_version;
  talloc_free (peer->last_heartbeat);
  peer->last_heartbeat = copy_heartbeat (core, heartbeat);
  store_running_counts (core, peer_slot, heartbeat);
  if (heartbeat->log_version > core->log_version)
    {
      struct co_msg *message
          = co_add_message (core, peer->incarnation, CO_MSG_LOG_FETCH);

      message->u.log_fetch_after = core->log_version;
    }
}
