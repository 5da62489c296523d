#ifndef EXAMPLE_FLEET_H
#define EXAMPLE_FLEET_H

/* What the two example deployments have in common.  */

#include "dogwoodpulley.h"

struct example_pool
{
  const char *name;
  int hosts;
  int min_available;
  bool spare;
};

struct example_site
{
  const char *name;
  int network;   /* third byte of the backend servers' addresses */
  int64_t cores; /* of each host */
  int64_t memory_mb;
  const struct example_pool *services; /* ended by a NULL name */
  const struct dp_team *teams;         /* the same */
  const struct dp_queue *queues;       /* the same */
};

/* Print the configuration of SITE.  Return the exit status.  */
int example_print_fleet (const struct example_site *site);

#endif
