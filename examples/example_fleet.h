#ifndef EXAMPLE_FLEET_H
#define EXAMPLE_FLEET_H

/* Common code of the two example sites: builds the configuration of a fleet
   with the library and prints it.  */

#include "dogwoodpulley.h"

struct example_pool
{
  const char *name;
  int host_count;
  int min_available; /* hosts that must stay available */
  bool spare;        /* its hosts may be lent to other pools */
};

struct example_site
{
  const char *name;
  int network_byte;  /* third byte of the backend servers' addresses */
  int64_t cores;     /* of each backend server */
  int64_t memory_mb; /* of each backend server */
  const struct example_pool *pools; /* ended by a NULL name */
  const struct dp_team *teams;      /* ended by a NULL name */
  const struct dp_queue *queues;    /* ended by a NULL name */
};

/* Print the configuration of SITE as YAML to standard output.  Return the exit
   status of the program: EXIT_FAILURE, with a message on standard error, if
   the configuration is invalid.  */
int example_print_fleet (const struct example_site *site);

#endif
