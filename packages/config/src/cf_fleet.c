#include "cf_fleet.h"

#include <inttypes.h>
#include <string.h>

enum
{
  MAX_POOL_MIN_AVAILABLE = 100000,
  MAX_TEAM_SHARE = 1000000,
  MAX_TEAM_LIMIT = 1000000,
  MAX_QUEUE_MAX_WAITING = 100000,
  DEFAULT_QUEUE_MAX_WAITING = 500,
  MAX_HOST_CORES = 4096,
  MAX_HOST_MEMORY_MB = 64 * 1024 * 1024,
  DEFAULT_HOST_MEMORY_MB = 1024,
  MAX_HOST_ACCELERATORS = 64,
  MAX_HOST_SLOTS = 64,
  DEFAULT_HOST_SLOTS = 8
};

static const char *const priority_choices[] = { "urgent", "archive", NULL };

/* The YAML key of a field is the name of its member.  */
#define FIELD(type, member) .key = #member, .offset = offsetof (type, member)
#define INTEGER(min_value, max_value, default_integer)                        \
  .type = CF_TYPE_INTEGER, .min = (min_value), .max = (max_value),            \
  .default_value = (default_integer)

static const struct cf_field pool_fields[] = {
  { FIELD (struct cf_pool, name), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_pool, min_available),
    INTEGER (0, MAX_POOL_MIN_AVAILABLE, 0) },
  { FIELD (struct cf_pool, spare), .type = CF_TYPE_BOOLEAN },
};

static const struct cf_field team_fields[] = {
  { FIELD (struct cf_team, name), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_team, share), INTEGER (1, MAX_TEAM_SHARE, 1) },
  { FIELD (struct cf_team, limit), INTEGER (0, MAX_TEAM_LIMIT, 0),
    .required = true },
};

static const struct cf_field queue_fields[] = {
  { FIELD (struct cf_queue, name), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_queue, pool), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_queue, open_team), .type = CF_TYPE_NAME },
  { FIELD (struct cf_queue, priority), .type = CF_TYPE_CHOICE,
    .choices = priority_choices },
  { FIELD (struct cf_queue, max_waiting),
    INTEGER (1, MAX_QUEUE_MAX_WAITING, DEFAULT_QUEUE_MAX_WAITING) },
};

static const struct cf_field host_fields[] = {
  { FIELD (struct cf_host, name), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_host, address), .type = CF_TYPE_ADDRESS,
    .required = true },
  { FIELD (struct cf_host, zone), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_host, rack), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_host, pool), .type = CF_TYPE_NAME, .required = true },
  { FIELD (struct cf_host, cores), INTEGER (1, MAX_HOST_CORES, 1) },
  { FIELD (struct cf_host, memory_mb),
    INTEGER (1, MAX_HOST_MEMORY_MB, DEFAULT_HOST_MEMORY_MB) },
  { FIELD (struct cf_host, accelerators),
    INTEGER (0, MAX_HOST_ACCELERATORS, 0) },
  { FIELD (struct cf_host, slots),
    INTEGER (1, MAX_HOST_SLOTS, DEFAULT_HOST_SLOTS) },
};

#define SCHEMA(noun, type, table)                                             \
  {                                                                           \
    noun, sizeof (type), table, sizeof (table) / sizeof (table)[0]            \
  }

static const struct cf_schema pool_schema
    = SCHEMA ("pool", struct cf_pool, pool_fields);
static const struct cf_schema team_schema
    = SCHEMA ("team", struct cf_team, team_fields);
static const struct cf_schema queue_schema
    = SCHEMA ("queue", struct cf_queue, queue_fields);
static const struct cf_schema host_schema
    = SCHEMA ("host", struct cf_host, host_fields);

#define LIST(member, count_member, item_schema)                               \
  FIELD (struct cf_fleet, member),                                            \
      .type = CF_TYPE_LIST, .required = true,                                 \
      .count_offset = offsetof (struct cf_fleet, count_member),               \
      .schema = &(item_schema)

static const struct cf_field fleet_fields[] = {
  { FIELD (struct cf_fleet, name), .type = CF_TYPE_NAME, .required = true },
  { LIST (pools, pool_count, pool_schema) },
  { LIST (teams, team_count, team_schema) },
  { LIST (queues, queue_count, queue_schema) },
  { LIST (hosts, host_count, host_schema) },
};

static const struct cf_schema fleet_schema
    = SCHEMA ("fleet", struct cf_fleet, fleet_fields);

int
cf_fleet_find_pool (const struct cf_fleet *fleet, const char *name)
{
  for (uint32_t i = 0; i < fleet->pool_count; i++)
    if (strcmp (fleet->pools[i].name, name) == 0)
      return (int)i;
  return -1;
}

int
cf_fleet_find_team (const struct cf_fleet *fleet, const char *name)
{
  for (uint32_t i = 0; i < fleet->team_count; i++)
    if (strcmp (fleet->teams[i].name, name) == 0)
      return (int)i;
  return -1;
}

/* Report names that are used more than once.  ITEMS is an array of COUNT
   structures of SIZE bytes each, whose first member is the name.  */
static void
check_unique (const char *noun, const void *items, uint32_t count, size_t size,
              struct cf_errors *errors)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < count; i++)
    {
      char *name;

      memcpy (&name, (const char *)items + i * size, sizeof name);
      if (!g_hash_table_add (seen, name))
        cf_errors_add (errors, 0, "%s \"%s\" is defined twice", noun, name);
    }
  g_hash_table_destroy (seen);
}

/* Report references of queues to pools and teams that don't exist.  */
static void
check_queues (const struct cf_fleet *fleet, struct cf_errors *errors)
{
  for (uint32_t i = 0; i < fleet->queue_count; i++)
    {
      const struct cf_queue *queue = &fleet->queues[i];

      if (cf_fleet_find_pool (fleet, queue->pool) < 0)
        cf_errors_add (errors, 0, "queue \"%s\": no pool \"%s\"", queue->name,
                       queue->pool);
      if (queue->open_team != NULL
          && cf_fleet_find_team (fleet, queue->open_team) < 0)
        cf_errors_add (errors, 0, "queue \"%s\": no team \"%s\"", queue->name,
                       queue->open_team);
    }
}

/* Report references of hosts to pools that don't exist, addresses that are
   used more than once, and pools with fewer hosts than their availability
   budget.  */
static void
check_hosts (const struct cf_fleet *fleet, struct cf_errors *errors)
{
  uint32_t *host_counts = g_new0 (uint32_t, fleet->pool_count + 1);
  GHashTable *addresses = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < fleet->host_count; i++)
    {
      const struct cf_host *host = &fleet->hosts[i];
      int pool = cf_fleet_find_pool (fleet, host->pool);

      if (pool < 0)
        cf_errors_add (errors, 0, "host \"%s\": no pool \"%s\"", host->name,
                       host->pool);
      else
        host_counts[pool]++;
      if (!g_hash_table_add (addresses, host->address))
        cf_errors_add (errors, 0, "host \"%s\": address %s is taken",
                       host->name, host->address);
    }
  for (uint32_t i = 0; i < fleet->pool_count; i++)
    if (fleet->pools[i].min_available > host_counts[i])
      cf_errors_add (errors, 0,
                     "pool \"%s\": min_available is %" PRId64
                     " but the pool has %" PRIu32 " hosts",
                     fleet->pools[i].name, fleet->pools[i].min_available,
                     host_counts[i]);
  g_hash_table_destroy (addresses);
  g_free (host_counts);
}

void
cf_fleet_check (const struct cf_fleet *fleet, struct cf_errors *errors)
{
  check_unique ("pool", fleet->pools, fleet->pool_count, sizeof *fleet->pools,
                errors);
  check_unique ("team", fleet->teams, fleet->team_count, sizeof *fleet->teams,
                errors);
  check_unique ("queue", fleet->queues, fleet->queue_count,
                sizeof *fleet->queues, errors);
  check_unique ("host", fleet->hosts, fleet->host_count, sizeof *fleet->hosts,
                errors);
  check_queues (fleet, errors);
  check_hosts (fleet, errors);
}

struct cf_fleet *
cf_fleet_parse (TALLOC_CTX *mem, const char *file, const char *text,
                GError **error)
{
  struct cf_fleet *fleet = talloc_zero (mem, struct cf_fleet);
  struct cf_errors errors = { file, NULL, 0 };

  cf_schema_decode (fleet, text, &fleet_schema, fleet, &errors);
  if (errors.count == 0)
    cf_fleet_check (fleet, &errors);
  if (cf_errors_finish (&errors, error))
    return fleet;
  talloc_free (fleet);
  return NULL;
}

char *
cf_fleet_to_yaml (TALLOC_CTX *mem, const struct cf_fleet *fleet)
{
  return cf_schema_to_yaml (mem, &fleet_schema, fleet);
}
