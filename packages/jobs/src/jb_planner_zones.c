/* What the planner does about hosts of evacuated availability zones: they are
   no use to any pool, and are no loss while they are maintained.  */

#include "jb_planner_internal.h"

bool
jb_planner_knows_zones (const struct jb_planner *planner)
{
  return planner->options.zones == NULL
         || jb_zones_are_known (planner->options.zones);
}

bool
jb_planner_is_in_evacuated_zone (const struct jb_planner *planner,
                                 const struct fleet_host *host)
{
  return planner->options.zones != NULL && host->zone != NULL
         && jb_zones_is_evacuated (planner->options.zones, host->zone);
}

void
jb_planner_abandon_move (struct jb_planner *planner, jb_time now,
                         struct fleet_host *host)
{
  if (host->purpose == PURPOSE_MOVE && host->phase == PHASE_EVACUATING
      && !host->command_unanswered)
    jb_planner_abandon_host (planner, now, host, 0);
}
