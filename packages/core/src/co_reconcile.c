#include "co_internal.h"

#include <string.h>

/* The planner: a duty of the lead.  It completes drains and moves once no
   entry host can have anything running there, and works through maintenance
   orders within the availability budgets.  Its changes are fenced by the
   view, so a lead that was replaced while it was frozen changes nothing.  */

enum
{
  MAX_PROPOSALS = 16 /* changes of the planner under way at once */
};

static const co_time reboot_interval = 5 * CO_SECOND;

/* Return whether HOST may be taken out of its pool: the others must meet the
   budget.  That holds for a host that seems to be down as well, for the list
   lags and it may be back.  */
bool
co_budget_allows_removal (const struct co_core *core,
                          const struct co_host *host)
{
  const struct co_pool *pool = core->pools[host->pool];
  int64_t others = pool->available_hosts;

  if (core->options.disabled & CO_DISABLE_BUDGETS)
    return true;
  if (co_host_is_available (host))
    others--;
  return others >= pool->min_available;
}

/* Return whether the member at SLOT has acknowledged the last change of HOST
   and has nothing running there.  */
static bool
member_idle (const struct co_core *core, int slot, const struct co_host *host)
{
  const struct co_peer *peer = &core->peers[slot];

  if (peer->incarnation == core->options.incarnation)
    return host->running == 0;
  if (peer->last_heartbeat == NULL
      || peer->last_heartbeat->log_version < host->changed_at_version)
    return false;
  for (uint32_t i = 0; i < peer->last_heartbeat->drain_count; i++)
    if (strcmp (peer->last_heartbeat->drains[i].host, host->name) == 0)
      return false;
  return true;
}

/* Return whether nothing runs on HOST and nothing can start there.  */
static bool
is_idle (const struct co_core *core, const struct co_host *host)
{
  if (core->options.disabled & CO_DISABLE_DRAIN_WAIT)
    return true;
  if (core->view.departed_count > 0)
    return false; /* their requests may still be running */
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member && !member_idle (core, i, host))
      return false;
  return true;
}

static void
propose_host (struct co_core *core, const struct co_host *host, uint32_t state,
              const char *pool, uint64_t maintained, uint64_t cause)
{
  struct co_change change = { .type = CO_CHANGE_HOST };
  char *token;

  if (core->pending_changes.length >= MAX_PROPOSALS)
    return;
  change.host = host->name;
  change.host_state = state;
  change.pool = (char *)pool;
  change.new_generation = host->generation + 1;
  change.completed_order = maintained;
  change.cause = cause;
  token = talloc_asprintf (core->outbox->mem,
                           "auto/%s/%" G_GUINT64_FORMAT "/%s", host->name,
                           change.new_generation, co_host_state_name (state));
  co_change_propose (core, token, &change);
}

static void
complete (struct co_core *core, const struct co_host *host)
{
  if (host->state == CO_HOST_DRAINING && is_idle (core, host))
    propose_host (core, host, CO_HOST_OUT, NULL, 0, host->cause);
  else if (host->state == CO_HOST_MOVING && is_idle (core, host))
    propose_host (core, host, CO_HOST_ACTIVE,
                  core->pools[host->target_pool]->name, 0, host->cause);
}

/* Propose to move HOST to POOL because of CAUSE.  */
void
co_propose_move (struct co_core *core, int host, int pool, uint64_t cause)
{
  propose_host (core, core->hosts[host], CO_HOST_MOVING,
                core->pools[pool]->name, 0, cause);
}

/* Return whether HOST is one of those that ORDER is about.  */
bool
co_order_includes_host (const struct co_core *core,
                        const struct co_maintenance_order *order,
                        const struct co_host *host)
{
  if (!host->configured)
    return false;
  switch (order->scope)
    {
    case CO_SCOPE_POOL:
      return strcmp (core->pools[host->pool]->name, order->scope_name) == 0;
    case CO_SCOPE_RACK:
      return strcmp (host->rack, order->scope_name) == 0;
    default:
      return strcmp (host->zone, order->scope_name) == 0;
    }
}

/* Bring HOST, which ORDER has drained, back once it has booted.  */
static void
maintain_out (struct co_core *core, const struct co_maintenance_order *order,
              struct co_host *host)
{
  struct co_action *o;

  if (host->live && host->boot_id != host->drained_boot_id)
    {
      propose_host (core, host, CO_HOST_ACTIVE, NULL, order->id, 0);
      return;
    }
  if (host->boot_id != host->drained_boot_id || core->now < host->reboot_at)
    return;
  host->reboot_at = core->now + reboot_interval;
  o = co_add_action (core, CO_ACTION_REBOOT);
  o->u.reboot.host = co_outbox_strdup (core, host->name);
  o->u.reboot.boot_id = host->drained_boot_id;
}

/* Take the next step for HOST, which ORDER has not done.  */
static void
work_host (struct co_core *core, const struct co_maintenance_order *order,
           struct co_host *host)
{
  if (host->state == CO_HOST_OUT && host->cause == order->id)
    maintain_out (core, order, host);
  else if (host->state == CO_HOST_ACTIVE && order->state == CO_ORDER_RUNNING
           && co_budget_allows_removal (core, host))
    propose_host (core, host, CO_HOST_DRAINING, NULL, 0, order->id);
}

static void
work_order (struct co_core *core, struct co_maintenance_order *order)
{
  uint32_t left = 0;
  int pool = order->scope == CO_SCOPE_POOL
                 ? co_find_index (core->pool_index, order->scope_name)
                 : CO_NO_INDEX;

  if (core->pending_changes.length >= MAX_PROPOSALS)
    return;
  /* Nothing is left to do until a change brings a host into the scope.  */
  if (order->state == CO_ORDER_CANCELLED
      || (order->completed_at_version != 0
          && order->completed_at_version == core->log_version))
    return;
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      struct co_host *host = core->hosts[i];

      /* The pool's index spares most hosts the comparison of names.  */
      if (host->completed_order >= order->id
          || (pool != CO_NO_INDEX && host->pool != pool)
          || !co_order_includes_host (core, order, host))
        continue;
      left++;
      if (core->pending_changes.length < MAX_PROPOSALS)
        work_host (core, order, host);
    }
  order->completed_at_version = left == 0 ? core->log_version : 0;
}

void
co_reconcile_tick (struct co_core *core)
{
  if (!co_is_leader (core) || !co_table_read_is_recent (core)
      || core->stopping)
    return;
  for (uint32_t i = 0; i < core->host_count; i++)
    complete (core, core->hosts[i]);
  if (!co_host_list_fresh (core))
    return;
  for (uint32_t i = 0; i < core->order_count; i++)
    work_order (core, &core->orders[i]);
  co_rebalance_tick (core);
}
