#include "example_fleet.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  HOSTS_PER_RACK = 4,
  ZONE_COUNT = 3,
  BACKEND_PORT = 9000
};

/* Add a host of POOL to FLEET.  INDEX_IN_POOL and INDEX_IN_FLEET count from 0.
   Hosts are spread over the zones in turn.  A rack holds hosts of one zone, of
   any pool.  */
static void
add_host (dp_fleet *fleet, const struct example_site *site,
          const struct example_pool *pool, int index_in_pool,
          int index_in_fleet)
{
  char name[64];
  char address[64];
  char rack[16];
  char zone[2] = { (char)('a' + index_in_fleet % ZONE_COUNT), '\0' };
  struct dp_host host = { name,        address,         zone, rack, pool->name,
                          site->cores, site->memory_mb, 0,    0 };

  snprintf (name, sizeof name, "%s-%02d", pool->name, index_in_pool + 1);
  snprintf (address, sizeof address, "127.0.%d.%d:%d", site->network_byte,
            index_in_fleet + 1, BACKEND_PORT);
  snprintf (rack, sizeof rack, "%s%d", zone,
            index_in_fleet / (ZONE_COUNT * HOSTS_PER_RACK) + 1);
  dp_fleet_add_host (fleet, &host);
}

int
example_print_fleet (const struct example_site *site)
{
  dp_fleet *fleet = dp_fleet_new (site->name);
  GError *error = NULL;
  int host_index = 0;
  char *text;

  for (const struct example_pool *p = site->pools; p->name; p++)
    {
      struct dp_pool pool = { p->name, p->min_available, p->spare };

      dp_fleet_add_pool (fleet, &pool);
      for (int i = 0; i < p->host_count; i++)
        add_host (fleet, site, p, i, host_index++);
    }
  for (const struct dp_team *t = site->teams; t->name; t++)
    dp_fleet_add_team (fleet, t);
  for (const struct dp_queue *q = site->queues; q->name; q++)
    dp_fleet_add_queue (fleet, q);
  text = dp_fleet_print (fleet, &error);
  dp_fleet_free (fleet);
  if (text == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      return EXIT_FAILURE;
    }
  fputs (text, stdout);
  free (text);
  return EXIT_SUCCESS;
}
