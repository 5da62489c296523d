#include "co_internal.h"

#include <stdlib.h>
#include <string.h>

/* The state of the core for operators and tests.  */

static void
fill_hosts (const struct co_core *core, struct co_status *status)
{
  status->hosts = talloc_zero_array (status, struct co_host_status,
                                     core->host_count + 1);
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];
      struct co_host_status *s;

      if (!host->configured)
        continue;
      s = &status->hosts[status->host_count++];
      s->name = host->name;
      s->pool = core->pools[host->pool]->name;
      s->target_pool = host->target_pool == CO_NO_INDEX
                           ? NULL
                           : core->pools[host->target_pool]->name;
      s->state = host->state;
      s->generation = host->generation;
      s->completed_order = host->completed_order;
      s->live = host->live;
      s->leaving = host->leaving;
      s->ejected = host->ejected_until != 0;
      s->running = host->running;
    }
}

static int
compare_zone_status (const void *a, const void *b)
{
  return strcmp (((const struct co_zone_status *)a)->name,
                 ((const struct co_zone_status *)b)->name);
}

/* Return the entry of the zone NAME in STATUS, which is added if there is
   none. POSITIONS holds name -> position + 1.  */
static struct co_zone_status *
find_or_add_zone (struct co_status *status, GHashTable *positions,
                  const char *name)
{
  int position = co_find_index (positions, name);

  if (position == CO_NO_INDEX)
    {
      position = (int)status->zone_count++;
      status->zones[position].name = name;
      g_hash_table_insert (positions, (char *)name,
                           GINT_TO_POINTER (position + 1));
    }
  return &status->zones[position];
}

/* Fill in the zones that configured hosts are in, and the evacuated zones
   without any.  */
static void
fill_zones (const struct co_core *core, struct co_status *status)
{
  GHashTable *positions = g_hash_table_new (g_str_hash, g_str_equal);

  status->zones = talloc_zero_array (status, struct co_zone_status,
                                     core->host_count + core->order_count + 1);
  for (uint32_t i = 0; i < core->host_count; i++)
    if (core->hosts[i]->configured)
      {
        struct co_zone_status *zone
            = find_or_add_zone (status, positions, core->hosts[i]->zone);

        zone->host_count++;
        zone->running += core->hosts[i]->running;
      }
  for (uint32_t i = 0; i < core->order_count; i++)
    {
      const struct co_maintenance_order *order = &core->orders[i];
      const char *name = co_evacuation_zone (order->scope, order->scope_name);

      if (name != NULL && order->state != CO_ORDER_CANCELLED)
        find_or_add_zone (status, positions, name)->evacuated = true;
    }
  g_hash_table_destroy (positions);
  if (status->zone_count > 1)
    qsort (status->zones, status->zone_count, sizeof *status->zones,
           compare_zone_status);
}

static void
fill_teams (const struct co_core *core, struct co_status *status)
{
  status->teams = talloc_zero_array (status, struct co_team_status,
                                     core->team_count + 1);
  for (uint32_t i = 0; i < core->team_count; i++)
    {
      const struct co_team *team = core->teams[i];
      struct co_team_status *s;
      int64_t held = co_quota_held (core->quotas[team->quota]);

      if (!team->configured)
        continue;
      s = &status->teams[status->team_count++];
      s->name = team->name;
      s->share = team->share;
      s->limit = team->limit;
      s->running = team->running;
      s->waiting = team->waiting;
      s->held_quota = held > 0 ? (uint32_t)held : 0;
    }
}

static void
fill_orders (const struct co_core *core, struct co_status *status)
{
  status->orders = talloc_zero_array (status, struct co_maintenance_status,
                                      core->order_count + 1);
  for (uint32_t i = 0; i < core->order_count; i++)
    {
      const struct co_maintenance_order *order = &core->orders[i];
      struct co_maintenance_status *s;

      if (co_evacuation_zone (order->scope, order->scope_name) != NULL)
        continue;
      s = &status->orders[status->order_count++];
      s->id = order->id;
      s->state = order->state;
      s->scope = order->scope;
      s->scope_name = order->scope_name;
      for (uint32_t h = 0; h < core->host_count; h++)
        if (co_order_includes_host (core, order, core->hosts[h]))
          {
            s->total++;
            if (core->hosts[h]->completed_order >= order->id)
              s->done++;
          }
    }
}

struct co_status *
co_core_summary (TALLOC_CTX *mem, const struct co_core *core, co_time now)
{
  struct co_status *status = talloc_zero (mem, struct co_status);

  status->log_version = core->log_version;
  status->fleet_version = core->fleet_version;
  status->view_version = core->view.version;
  status->member_count = core->view.member_count;
  status->departed_count = core->view.departed_count;
  status->has_lease
      = co_has_lease (core) && now - core->now < core->options.lease_duration;
  status->stopping = core->stopping;
  status->fleet_yaml = core->fleet_yaml;
  return status;
}

struct co_status *
co_core_status (TALLOC_CTX *mem, const struct co_core *core, co_time now)
{
  struct co_status *status = co_core_summary (mem, core, now);

  fill_hosts (core, status);
  fill_zones (core, status);
  fill_teams (core, status);
  fill_orders (core, status);
  return status;
}

bool
co_core_is_idle (const struct co_core *core)
{
  return g_hash_table_size (core->requests) == 0
         && core->orphaned_slots->len == 0;
}
