#ifndef CF_FLEET_H
#define CF_FLEET_H

/* The fleet configuration that operators apply: pools of hosts, teams with
   shares and upper limits, and queues.  Keys are not part of it; they are
   granted and withdrawn one by one.  */

#include "cf_schema.h"

enum cf_priority
{
  CF_PRIORITY_URGENT,
  CF_PRIORITY_ARCHIVE
};

struct cf_pool
{
  char *name;
  int64_t min_available; /* availability budget: hosts that must be in use */
  bool spare;            /* lends hosts to the other pools */
};

struct cf_team
{
  char *name;
  int64_t share; /* weight while the fleet is full, at least 1 */
  int64_t limit; /* most requests running over the whole fleet */
};

struct cf_queue
{
  char *name;
  char *pool;
  char *open_team;     /* team of requests without a key, or NULL */
  int64_t priority;    /* enum cf_priority of requests that name none */
  int64_t max_waiting; /* requests waiting at one entry host */
};

struct cf_host
{
  char *name;
  char *address; /* of its backend server */
  char *zone;
  char *rack;
  char *pool; /* at first; later moves change it */
  int64_t cores;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t slots; /* requests that run at once */
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

/* Parse TEXT and check it whole: names are unique, references resolve and
   every budget can be met.  FILE names the text in messages.  Return a new
   fleet owned by MEM, or NULL with every error found in ERROR.  */
struct cf_fleet *cf_fleet_parse (TALLOC_CTX *mem, const char *file,
                                 const char *text, GError **error);

/* Return the canonical text of FLEET, owned by MEM.  */
char *cf_fleet_to_yaml (TALLOC_CTX *mem, const struct cf_fleet *fleet);

/* Check references and budgets of FLEET, adding errors to PROBLEMS.  */
void cf_fleet_check (const struct cf_fleet *fleet, struct cf_errors *problems);

/* Return the index of the pool or team called NAME, or -1.  */
int cf_fleet_find_pool (const struct cf_fleet *fleet, const char *name);
int cf_fleet_find_team (const struct cf_fleet *fleet, const char *name);

#endif
