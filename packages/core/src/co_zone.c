#include "co_internal.h"

#include <string.h>

/* Evacuation of availability zones.  An evacuation is a maintenance order of a
   special scope (CO_EVACUATION_PREFIX), of which there is at most one for each
   zone: its state says whether the zone is evacuated.

   A host of an evacuated zone is not available: no request is started there,
   and it doesn't count towards the availability budget of its pool.  Its
   running requests end by themselves.  */

bool
co_zone_is_evacuated (const struct co_maintenance_order *orders,
                      uint32_t count, const char *zone)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const char *evacuated
          = co_evacuation_zone (orders[i].scope, orders[i].scope_name);

      if (evacuated != NULL && orders[i].state != CO_ORDER_CANCELLED
          && strcmp (evacuated, zone) == 0)
        return true;
    }
  return false;
}

/* Return a set of the names of the evacuated zones, to be released with
   g_hash_table_destroy.  The names are borrowed from the orders.  */
static GHashTable *
collect_evacuated_zones (const struct co_core *core)
{
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);

  if (core->options.disabled & CO_DISABLE_EVACUATIONS)
    return zones;
  for (uint32_t i = 0; i < core->order_count; i++)
    {
      const struct co_maintenance_order *order = &core->orders[i];
      const char *zone = co_evacuation_zone (order->scope, order->scope_name);

      if (zone != NULL
          && co_zone_is_evacuated (core->orders, core->order_count, zone))
        g_hash_table_add (zones, (char *)zone);
    }
  return zones;
}

void
co_zone_update_hosts (struct co_core *core)
{
  /* With the set, the time doesn't grow with hosts times orders.  */
  GHashTable *zones = collect_evacuated_zones (core);

  for (uint32_t i = 0; i < core->host_count; i++)
    {
      struct co_host *host = core->hosts[i];
      bool evacuated = g_hash_table_contains (zones, host->zone);

      if (evacuated == host->zone_evacuated)
        continue;
      host->zone_evacuated = evacuated;
      co_host_refresh (core, (int)i);
      core->pools[host->pool]->needs_dispatch = true;
    }
  g_hash_table_destroy (zones);
}

void
co_zone_report (struct co_core *core, const struct co_maintenance_order *order,
                uint64_t log_version)
{
  const char *zone = co_evacuation_zone (order->scope, order->scope_name);
  bool evacuated = order->state != CO_ORDER_CANCELLED;
  struct co_action *action;

  if (core->options.disabled & CO_DISABLE_EVACUATIONS)
    return;
  action = co_add_action (core, CO_ACTION_ZONE_CHANGED);
  co_increment_counter (core, evacuated ? CO_COUNTER_ZONES_EVACUATED
                                        : CO_COUNTER_ZONES_RESTORED);
  action->u.zone.zone = co_outbox_strdup (core, zone);
  action->u.zone.evacuated = evacuated;
  action->u.zone.log_version = log_version;
  for (uint32_t i = 0; i < core->host_count; i++)
    if (strcmp (core->hosts[i]->zone, zone) == 0)
      action->u.zone.running += core->hosts[i]->running;
}

void
co_zone_resolve_order (const struct co_core *core, struct co_change *change)
{
  if (change->type != CO_CHANGE_MAINTENANCE
      || co_evacuation_zone (change->scope, change->scope_name) == NULL)
    return;
  change->order_id = 0;
  for (uint32_t i = 0; i < core->order_count; i++)
    if (core->orders[i].scope == CO_SCOPE_ZONE
        && strcmp (core->orders[i].scope_name, change->scope_name) == 0)
      change->order_id = core->orders[i].id;
}

uint32_t
co_zone_check_change (struct co_core *core, const struct co_change *change,
                      char **detail)
{
  const char *zone = co_evacuation_zone (change->scope, change->scope_name);

  /* The hosts of an evacuated zone may all have been removed from the
     configuration; its evacuation can still be ended.  */
  if (change->order_id != 0)
    return CO_CHANGE_RESULT_OK;
  for (uint32_t i = 0; i < core->host_count; i++)
    if (core->hosts[i]->configured && strcmp (core->hosts[i]->zone, zone) == 0)
      return CO_CHANGE_RESULT_OK;
  *detail = talloc_asprintf (core->outbox->mem, "no zone \"%s\"", zone);
  return CO_CHANGE_RESULT_INVALID;
}

enum co_reason
co_zone_refusal_reason (const struct co_pool *pool, enum co_reason reason)
{
  return pool->usable_hosts == 0 && pool->evacuated_hosts > 0
             ? CO_REASON_ZONE_EVACUATED
             : reason;
}
