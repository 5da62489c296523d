#include "co_internal.h"

#include <string.h>

/* Heartbeats: what members tell each other of their view, their configuration
   and their use.  */

/* Append the use of one team or pool to ITEMS unless there is none.  */
static void
add_usage (struct co_usage *items, uint32_t *count, const char *name,
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

/* Fill in the use of each team, and in AT the place of each in the list.  */
static void
fill_teams (struct co_core *core, struct co_msg_heartbeat *beat,
            TALLOC_CTX *mem, uint32_t *at)
{
  beat->teams = talloc_zero_array (mem, struct co_usage, core->team_count + 1);
  for (uint32_t i = 0; i < core->team_count; i++)
    {
      const struct co_team *t = core->teams[i];

      at[i] = beat->team_count;
      add_usage (beat->teams, &beat->team_count, t->name, t->running,
                 t->waiting, co_quota_held (core->quotas[t->quota]));
    }
}

static void
fill_pools (struct co_core *core, struct co_msg_heartbeat *beat,
            TALLOC_CTX *mem, uint32_t *at)
{
  beat->pools = talloc_zero_array (mem, struct co_usage, core->pool_count + 1);
  for (uint32_t i = 0; i < core->pool_count; i++)
    {
      const struct co_pool *p = core->pools[i];

      at[i] = beat->pool_count;
      add_usage (beat->pools, &beat->pool_count, p->name, p->running,
                 p->waiting, p->held_slots);
    }
}

/* Fill in what each team runs in each pool.  What runs is on both lists.  */
static void
fill_running (struct co_core *core, struct co_msg_heartbeat *beat,
              TALLOC_CTX *mem)
{
  uint32_t space = core->pool_count * core->team_count;
  uint32_t *team_at = talloc_zero_array (mem, uint32_t, core->team_count + 1);
  uint32_t *pool_at = talloc_zero_array (mem, uint32_t, core->pool_count + 1);

  fill_teams (core, beat, mem, team_at);
  fill_pools (core, beat, mem, pool_at);
  beat->running = talloc_zero_array (mem, struct co_running_count, space + 1);
  for (uint32_t p = 0; p < core->pool_count; p++)
    for (uint32_t t = 0; t < core->team_count; t++)
      if (core->pools[p]->own_running[t] > 0)
        {
          struct co_running_count *r = &beat->running[beat->running_count++];

          r->pool_position = pool_at[p];
          r->team_position = team_at[t];
          r->count = core->pools[p]->own_running[t];
        }
}

static void
fill_drains (struct co_core *core, struct co_msg_heartbeat *beat,
             TALLOC_CTX *mem)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < core->host_count; i++)
    if (core->hosts[i]->state != CO_HOST_ACTIVE && core->hosts[i]->running > 0)
      count++;
  beat->drains = talloc_zero_array (mem, struct co_drain_status, count + 1);
  for (uint32_t i = 0; i < core->host_count && count > 0; i++)
    if (core->hosts[i]->state != CO_HOST_ACTIVE && core->hosts[i]->running > 0)
      {
        struct co_drain_status *d = &beat->drains[beat->drain_count++];

        d->host = core->hosts[i]->name;
        d->running = core->hosts[i]->running;
      }
}

/* Fill BEAT with this member's state.  Names are borrowed from the core: the
   driver encodes the message before the next step.  */
static void
fill_beat (struct co_core *core, struct co_msg_heartbeat *beat)
{
  TALLOC_CTX *mem = core->outbox->mem;

  beat->view_version = core->view.version;
  beat->log_version = core->log_version;
  beat->stopping = core->stopping;
  fill_running (core, beat, mem);
  fill_drains (core, beat, mem);
  beat->ledger_versions
      = talloc_zero_array (mem, uint64_t, CO_LEDGER_SHARD_COUNT);
  beat->ledger_version_count = CO_LEDGER_SHARD_COUNT;
  for (int i = 0; i < CO_LEDGER_SHARD_COUNT; i++)
    beat->ledger_versions[i] = core->shards[i].current_row
                                   ? core->shards[i].current_row->version
                                   : 0;
}

void
co_heartbeat_send (struct co_core *core)
{
  struct co_msg_heartbeat beat = { 0 };

  fill_beat (core, &beat);
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member
        && core->peers[i].incarnation != core->options.incarnation)
      co_add_message (core, core->peers[i].incarnation, CO_MSG_HEARTBEAT)
          ->u.heartbeat
          = beat;
}

/* Keep a copy of BEAT, owned by the core.  */
static struct co_msg_heartbeat *
copy_beat (struct co_core *core, const struct co_msg_heartbeat *beat)
{
  struct co_msg_heartbeat *copy = talloc_zero (core, struct co_msg_heartbeat);
  struct co_msg source = { .type = CO_MSG_HEARTBEAT, .u.heartbeat = *beat };
  struct co_msg target = { 0 };

  ba_codec_deep_copy (copy, co_msg_serialize, &source, &target);
  *copy = target.u.heartbeat;
  return copy;
}

static void
take_running (struct co_core *core, int slot,
              const struct co_msg_heartbeat *beat)
{
  for (uint32_t i = 0; i < core->pool_count; i++)
    if (core->pools[i]->peer_running[slot] == NULL)
      core->pools[i]->peer_running[slot]
          = talloc_zero_array (core->pools[i], uint32_t, core->team_capacity);
    else
      memset (core->pools[i]->peer_running[slot], 0,
              core->team_capacity * sizeof (uint32_t));
  for (uint32_t i = 0; i < beat->running_count; i++)
    {
      const struct co_running_count *r = &beat->running[i];
      int pool;
      int team;

      if (r->pool_position >= beat->pool_count
          || r->team_position >= beat->team_count)
        continue;
      pool = co_find_index (core->pool_index,
                            beat->pools[r->pool_position].name);
      team = co_find_index (core->team_index,
                            beat->teams[r->team_position].name);
      if (pool != CO_NO_INDEX && team != CO_NO_INDEX)
        core->pools[pool]->peer_running[slot][team] = r->count;
    }
}

/* Note the view that the process at SLOT, a member or a departed one, knows.
   One that knows a view without itself has ended.  */
void
co_heartbeat_note_view (struct co_core *core, int slot, uint64_t version)
{
  if (version > core->peers[slot].view_version)
    core->peers[slot].view_version = version;
}

void
co_heartbeat_receive (struct co_core *core, int slot,
                      const struct co_msg_heartbeat *beat)
{
  struct co_peer *peer = &core->peers[slot];

  peer->last_heartbeat_at = core->now;
  peer->log_version = beat->log_version;
  talloc_free (peer->last_heartbeat);
  peer->last_heartbeat = copy_beat (core, beat);
  take_running (core, slot, beat);
  if (beat->log_version > core->log_version)
    {
      struct co_msg *m
          = co_add_message (core, peer->incarnation, CO_MSG_LOG_FETCH);

      m->u.log_fetch_after = core->log_version;
    }
}
