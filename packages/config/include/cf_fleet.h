#ifndef CF_FLEET_H
#define CF_FLEET_H

/* The fleet configuration that operators apply: pools, the hosts in them,
   teams with their shares and limits, and queues.  API keys are not part of
   it; they are granted and withdrawn individually.  */

#include "cf_schema.h"

enum cf_priority
{
  CF_PRIORITY_URGENT,
  CF_PRIORITY_ARCHIVE /* the request can wait */
};

struct cf_pool
{
  char *name;
  int64_t min_available; /* availability budget: number of hosts that must
                            stay in use */
  bool spare;            /* its hosts may be lent to other pools */
};

struct cf_team
{
  char *name;
  int64_t share; /* weight of the team while the fleet is full; at least 1 */
  int64_t limit; /* maximum number of running requests in the whole fleet */
};

struct cf_queue
{
  char *name;
  char *pool;
  char *open_team;  /* team to which requests without an API key are charged;
                       NULL: such requests are refused */
  int64_t priority; /* enum cf_priority of requests that do not specify one */
  int64_t max_waiting; /* waiting requests per entry host that the teams divide
                          by their shares; at most twice as many may wait */
};

struct cf_host
{
  char *name;
  char *address; /* of its backend server, such as "127.0.0.1:80" */
  char *zone;
  char *rack;
  char *pool; /* initial pool; the host may be moved later */
  int64_t cores;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t slots; /* maximum number of concurrently running requests */
};

struct cf_fleet
{
  char *name;
  struct cf_pool *pools;
  uint32_t pool_count;
  struct cf_team *teams;
  uint32_t team_count;
  struct cf_queue *queues;
  uint32_t queue_count;
  struct cf_host *hosts;
  uint32_t host_count;
};

/* Parse the YAML in TEXT and check it: names and addresses are unique, pools
   and teams that are referred to exist, and each pool has enough hosts for its
   availability budget.  Error messages name the file FILE.  Return a new
   fleet owned by MEM, or NULL with all errors found in ERROR.  */
struct cf_fleet *cf_fleet_parse (TALLOC_CTX *mem, const char *file,
                                 const char *text, GError **error);

/* Return FLEET as canonical YAML text, owned by MEM.  */
char *cf_fleet_to_yaml (TALLOC_CTX *mem, const struct cf_fleet *fleet);

/* Check names, addresses, references and availability budgets in FLEET like
   cf_fleet_parse, and add the errors to ERRORS.  The ranges of values are not
   checked.  */
void cf_fleet_check (const struct cf_fleet *fleet, struct cf_errors *errors);

/* Return the index of the pool or team with NAME in its array, or -1.  */
int cf_fleet_find_pool (const struct cf_fleet *fleet, const char *name);
int cf_fleet_find_team (const struct cf_fleet *fleet, const char *name);

#endif
