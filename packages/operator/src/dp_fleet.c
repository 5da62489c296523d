#include "dogwoodpulley.h"

#include "cf_fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  DEFAULT_QUEUE_MAX_WAITING = 500,
  DEFAULT_HOST_MEMORY_MB = 1024,
  DEFAULT_HOST_SLOTS = 8
};

struct dp_fleet
{
  struct cf_fleet *fleet;
};

dp_fleet *
dp_fleet_new (const char *name)
{
  dp_fleet *fleet = talloc_zero (NULL, dp_fleet);

  fleet->fleet = talloc_zero (fleet, struct cf_fleet);
  fleet->fleet->name = talloc_strdup (fleet, name);
  return fleet;
}

void
dp_fleet_free (dp_fleet *fleet)
{
  talloc_free (fleet);
}

/* Return VALUE, or DEFAULT_VALUE if VALUE is 0.  */
static int64_t
or_default (int64_t value, int64_t default_value)
{
  return value != 0 ? value : default_value;
}

void
dp_fleet_add_pool (dp_fleet *fleet, const struct dp_pool *pool)
{
  struct cf_fleet *f = fleet->fleet;
  struct cf_pool *p;

  f->pools = talloc_realloc (f, f->pools, struct cf_pool, f->pool_count + 1);
  p = &f->pools[f->pool_count++];
  p->name = talloc_strdup (f, pool->name);
  p->min_available = pool->min_available;
  p->spare = pool->spare;
}

void
dp_fleet_add_team (dp_fleet *fleet, const struct dp_team *team)
{
  struct cf_fleet *f = fleet->fleet;
  struct cf_team *t;

  f->teams = talloc_realloc (f, f->teams, struct cf_team, f->team_count + 1);
  t = &f->teams[f->team_count++];
  t->name = talloc_strdup (f, team->name);
  t->share = or_default (team->share, 1);
  t->limit = team->limit;
}

void
dp_fleet_add_queue (dp_fleet *fleet, const struct dp_queue *queue)
{
  struct cf_fleet *f = fleet->fleet;
  struct cf_queue *q;

  f->queues
      = talloc_realloc (f, f->queues, struct cf_queue, f->queue_count + 1);
  q = &f->queues[f->queue_count++];
  q->name = talloc_strdup (f, queue->name);
  q->pool = talloc_strdup (f, queue->pool);
  q->open_team = talloc_strdup (f, queue->open_team);
  q->priority = queue->archive ? CF_PRIORITY_ARCHIVE : CF_PRIORITY_URGENT;
  q->max_waiting = or_default (queue->max_waiting, DEFAULT_QUEUE_MAX_WAITING);
}

void
dp_fleet_add_host (dp_fleet *fleet, const struct dp_host *host)
{
  struct cf_fleet *f = fleet->fleet;
  struct cf_host *h;

  f->hosts = talloc_realloc (f, f->hosts, struct cf_host, f->host_count + 1);
  h = &f->hosts[f->host_count++];
  h->name = talloc_strdup (f, host->name);
  h->address = talloc_strdup (f, host->address);
  h->zone = talloc_strdup (f, host->zone);
  h->rack = talloc_strdup (f, host->rack);
  h->pool = talloc_strdup (f, host->pool);
  h->cores = or_default (host->cores, 1);
  h->memory_mb = or_default (host->memory_mb, DEFAULT_HOST_MEMORY_MB);
  h->accelerators = host->accelerators;
  h->slots = or_default (host->slots, DEFAULT_HOST_SLOTS);
}

dp_fleet *
dp_fleet_load (const char *file, GError **error)
{
  dp_fleet *fleet;
  char *text;

  if (!g_file_get_contents (file, &text, NULL, error))
    return NULL;
  fleet = talloc_zero (NULL, dp_fleet);
  fleet->fleet = cf_fleet_parse (fleet, file, text, error);
  g_free (text);
  if (fleet->fleet != NULL)
    return fleet;
  talloc_free (fleet);
  return NULL;
}

/* Parses the text that it returns, so that a fleet built in C is checked
   exactly as entry hosts check one.  */
char *
dp_fleet_print (const dp_fleet *fleet, GError **error)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  char *text = cf_fleet_to_yaml (scratch, fleet->fleet);
  char *copy = NULL;

  if (cf_fleet_parse (scratch, fleet->fleet->name, text, error) != NULL)
    copy = strdup (text);
  talloc_free (scratch);
  return copy;
}
