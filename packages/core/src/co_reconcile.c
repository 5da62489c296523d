#include "co_internal.h"

#include <string.h>

/* Reconciliation of the hosts' states with the drains, moves and maintenance
   that operators ordered.  Only the leader does it.

   The leader completes the drain or move of a host once no entry host can have
   anything running there, and works through maintenance orders within the
   availability budgets of the pools.  The writes of its changes succeed only
   while the view has not changed, so a leader that was replaced while its
   process was suspended changes nothing.  */

enum
{
  /* No further change is proposed while this many are pending.  */
  MAX_PENDING_CHANGE_COUNT = 16
};

/* Between two requests to reboot the same host.  */
static const co_time reboot_retry_interval = 5 * CO_SECOND;

/* The budget is also checked for a host that seems to be down, because the
   list of live hosts may be out of date and the host up again.  */
bool
co_budget_allows_removal (const struct co_core *core,
                          const struct co_host *host)
{
  const struct co_pool *pool = core->pools[host->pool];
  int64_t remaining = pool->available_hosts;

  if (core->options.disabled & CO_DISABLE_BUDGETS)
    return true;
  if (co_host_is_available (host))
    remaining--;
  return remaining >= pool->min_available;
}

/* Return whether the member at PEER_SLOT has applied the last change of HOST's
   state, so that it starts nothing more there, and has nothing running
   there.  */
static bool
is_member_done_with (const struct co_core *core, int peer_slot,
                     const struct co_host *host)
{
  const struct co_peer *peer = &core->peers[peer_slot];

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
is_drained (const struct co_core *core, const struct co_host *host)
{
  if (core->options.disabled & CO_DISABLE_DRAIN_WAIT)
    return true;
  if (core->view.departed_count > 0)
    return false; /* requests of departed members may still be running */
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (core->peers[i].is_member && !is_member_done_with (core, i, host))
      return false;
  return true;
}

/* Propose to change HOST to STATE.  POOL, COMPLETED_ORDER and CAUSE are as in
   struct co_change.  The token is the same for every proposal of the same
   change, so that it is written once.  */
static void
propose_host_change (struct co_core *core, const struct co_host *host,
                     uint32_t state, const char *pool,
                     uint64_t completed_order, uint64_t cause)
{
  struct co_change change = { .type = CO_CHANGE_HOST };
  char *token;

  if (core->pending_changes.length >= MAX_PENDING_CHANGE_COUNT)
    return;
  change.host = host->name;
  change.host_state = state;
  change.pool = (char *)pool;
  change.new_generation = host->generation + 1;
  change.completed_order = completed_order;
  change.cause = cause;
  token = talloc_asprintf (core->outbox->mem,
                           "auto/%s/%" G_GUINT64_FORMAT "/%s", host->name,
                           change.new_generation, co_host_state_name (state));
  co_change_propose (core, token, &change);
}

/* Propose the end of HOST's drain or move if it is drained.  */
static void
complete_drain_or_move (struct co_core *core, const struct co_host *host)
{
  if (host->state == CO_HOST_DRAINING && is_drained (core, host))
    propose_host_change (core, host, CO_HOST_OUT, NULL, 0, host->cause);
  else if (host->state == CO_HOST_MOVING && is_drained (core, host))
    propose_host_change (core, host, CO_HOST_ACTIVE,
                         core->pools[host->target_pool]->name, 0, host->cause);
}

void
co_propose_move (struct co_core *core, int host, int pool, uint64_t cause)
{
  propose_host_change (core, core->hosts[host], CO_HOST_MOVING,
                       core->pools[pool]->name, 0, cause);
}

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

/* Propose to put HOST, which ORDER has drained, back in service if it has
   rebooted and is live.  If it has not rebooted, request the reboot, and
   request it again after reboot_retry_interval.  */
static void
reboot_or_reactivate (struct co_core *core,
                      const struct co_maintenance_order *order,
                      struct co_host *host)
{
  struct co_action *action;

  if (host->live && host->boot_id != host->drained_boot_id)
    {
      propose_host_change (core, host, CO_HOST_ACTIVE, NULL, order->id, 0);
      return;
    }
  if (host->boot_id != host->drained_boot_id || core->now < host->reboot_at)
    return;
  host->reboot_at = core->now + reboot_retry_interval;
  action = co_add_action (core, CO_ACTION_REBOOT);
  action->u.reboot.host = co_outbox_strdup (core, host->name);
  action->u.reboot.boot_id = host->drained_boot_id;
}

/* Take the next step of the maintenance of HOST by ORDER.  */
static void
advance_host (struct co_core *core, const struct co_maintenance_order *order,
              struct co_host *host)
{
  if (host->state == CO_HOST_OUT && host->cause == order->id)
    reboot_or_reactivate (core, order, host);
  else if (host->state == CO_HOST_ACTIVE && order->state == CO_ORDER_RUNNING
           && co_budget_allows_removal (core, host))
    propose_host_change (core, host, CO_HOST_DRAINING, NULL, 0, order->id);
}

/* Take the next step for each host that has not completed ORDER.  */
static void
advance_order (struct co_core *core, struct co_maintenance_order *order)
{
  uint32_t unfinished = 0;
  int pool = order->scope == CO_SCOPE_POOL
                 ? co_find_index (core->pool_index, order->scope_name)
                 : CO_NO_INDEX;

  if (core->pending_changes.length >= MAX_PENDING_CHANGE_COUNT)
    return;
  /* An order that was completed at this log version has nothing to do until a
     later change brings another host into its scope.  */
  if (order->state == CO_ORDER_CANCELLED
      || co_evacuation_zone (order->scope, order->scope_name) != NULL
      || (order->completed_at_version != 0
          && order->completed_at_version == core->log_version))
    return;
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      struct co_host *host = core->hosts[i];

      /* Comparing pool indices first avoids most comparisons of names.  */
      if (host->completed_order >= order->id
          || (pool != CO_NO_INDEX && host->pool != pool)
          || !co_order_includes_host (core, order, host))
        continue;
      unfinished++;
      if (core->pending_changes.length < MAX_PENDING_CHANGE_COUNT)
        advance_host (core, order, host);
    }
  order->completed_at_version = unfinished == 0 ? core->log_version : 0;
}

void
co_reconcile_tick (struct co_core *core)
{
  if (!co_is_leader (core) || !co_table_read_is_recent (core)
      || core->stopping)
    return;
  for (uint32_t i = 0; i < core->host_count; i++)
    complete_drain_or_move (core, core->hosts[i]);
  if (!co_host_list_is_recent (core))
    return;
  for (uint32_t i = 0; i < core->order_count; i++)
    advance_order (core, &core->orders[i]);
  co_rebalance_tick (core);
}
