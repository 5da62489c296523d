/* Moves of hosts between pools: collects the input of jb_rebalance_decide,
   starts the moves that it returns, and stores the pools' home hosts and
   demand history for a successor.  */

#include "jb_planner_internal.h"

#include "jb_rebalance.h"

#include <string.h>

/* A report of a pool's load is valid for this long after its arrival.  */
#define LOAD_VALIDITY (800 * JB_MS)

/* Time between two rebalancings.  */
#define REBALANCE_INTERVAL (100 * JB_MS)

/* A host is not moved again before this time has passed after a move.  */
#define MIN_STAY_IN_POOL (1500 * JB_MS)

enum
{
  MAX_MOVE_COUNT = 16,         /* per rebalancing */
  MAX_SAVED_POOL_COUNT = 10000 /* in a decoded row */
};

/* Input of jb_rebalance_decide.  */
struct rebalance_input
{
  const struct jb_catalog *catalog;
  struct jb_rebalance_pool *pools;
  struct jb_rebalance_host *hosts;
  struct fleet_host **fleet_hosts; /* in the order of `hosts' */
  uint32_t host_count;
  uint32_t *listed_counts; /* number of hosts of each pool, in any state */
};

/* What is stored about a pool.  Times are Unix milliseconds, 0 for none.  */
struct saved_pool
{
  char *pool;
  uint32_t home_hosts;
  int64_t surge_start_unix_ms;
  int64_t previous_surge_start_unix_ms;
  int64_t peak_cpu_milli;
};

/* Content of the row JB_PLANNER_POOL_ROW_KEY.  */
struct saved_pools
{
  uint32_t count;
  struct saved_pool *pools;
};

static void
serialize_saved_pool (struct ba_codec *io, struct saved_pool *saved)
{
  ba_codec_required_str (io, &saved->pool);
  ba_codec_u32 (io, &saved->home_hosts);
  ba_codec_i64 (io, &saved->surge_start_unix_ms);
  ba_codec_i64 (io, &saved->previous_surge_start_unix_ms);
  ba_codec_i64 (io, &saved->peak_cpu_milli);
}

static void
serialize_saved_pools (struct ba_codec *io, struct saved_pools *saved)
{
  ba_codec_array (io, saved->pools, saved->count, MAX_SAVED_POOL_COUNT,
                  serialize_saved_pool);
}

/* Return the driver's time for the Unix time UNIX_MS; 0 remains 0.  */
static jb_time
from_unix_ms (const struct jb_planner *planner, int64_t unix_ms)
{
  return unix_ms != 0 ? unix_ms * JB_MS - planner->unix_origin : 0;
}

/* Return the Unix time in milliseconds for the driver's TIME; 0 remains 0.  */
static int64_t
to_unix_ms (const struct jb_planner *planner, jb_time time)
{
  return time != 0 ? (time + planner->unix_origin) / JB_MS : 0;
}

void
jb_planner_load_pool_row (struct jb_planner *planner, const struct jb_row *row)
{
  struct saved_pools saved = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, planner, row->value);
  serialize_saved_pools (&io, &saved);
  if (!ba_codec_is_complete (&io))
    {
      jb_log (planner->options.driver, JB_LEVEL_ERROR, "row-unreadable",
              "table", JB_PLANNER_TABLE, "key", row->key, NULL);
      return;
    }
  for (uint32_t i = 0; i < saved.count; i++)
    {
      struct planner_pool *pool_info
          = jb_planner_get_or_add_pool (planner, saved.pools[i].pool);

      pool_info->home_hosts = saved.pools[i].home_hosts;
      pool_info->history.surge_start
          = from_unix_ms (planner, saved.pools[i].surge_start_unix_ms);
      pool_info->history.previous_surge_start = from_unix_ms (
          planner, saved.pools[i].previous_surge_start_unix_ms);
      pool_info->history.peak_cpu_milli = saved.pools[i].peak_cpu_milli;
    }
}

/* Store the demand history of each pool and its number of home hosts, so that
   a successor does not mistake borrowed hosts for home hosts.  */
static void
save_pools (struct jb_planner *planner, jb_time now)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_pools saved = { 0 };
  struct jb_row row = { .table = JB_PLANNER_TABLE,
                        .partition = JB_PLANNER_PARTITION,
                        .key = JB_PLANNER_POOL_ROW_KEY };
  GHashTableIter iter;
  gpointer value;

  planner->pool_row_dirty = false;
  saved.pools = talloc_array (scratch, struct saved_pool,
                              g_hash_table_size (planner->pools) + 1);
  g_hash_table_iter_init (&iter, planner->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct planner_pool *pool_info = value;

      saved.pools[saved.count++] = (struct saved_pool){
        pool_info->name, pool_info->home_hosts,
        to_unix_ms (planner, pool_info->history.surge_start),
        to_unix_ms (planner, pool_info->history.previous_surge_start),
        pool_info->history.peak_cpu_milli
      };
    }
  row.value = ba_codec_encode (scratch, serialize_saved_pools, &saved);
  jb_ownership_write (planner->ownership, now, &row, 1, NULL, 0, NULL, NULL);
  talloc_free (scratch);
}

/* Return the index of the pool NAME in CATALOG, or the number of pools if
   there is no such pool.  */
static uint32_t
pool_index (const struct jb_catalog *catalog, const char *name)
{
  uint32_t i = 0;

  while (i < catalog->pool_count
         && g_strcmp0 (catalog->pools[i].name, name) != 0)
    i++;
  return i;
}

/* Add the pools of the catalog with their last reported loads.  */
static void
add_pools (struct jb_planner *planner, jb_time now,
           struct rebalance_input *input)
{
  for (uint32_t i = 0; i < input->catalog->pool_count; i++)
    {
      struct jb_rebalance_pool *pool = &input->pools[i];
      const struct planner_pool *pool_info = g_hash_table_lookup (
          planner->pools, input->catalog->pools[i].name);

      pool->standby = input->catalog->pools[i].standby;
      if (pool_info == NULL
          || now - pool_info->load_received_at > LOAD_VALIDITY)
        continue;
      pool->known = true;
      pool->capacity_cpu_milli = pool_info->load.capacity_cpu_milli;
      pool->finite_cpu_milli = pool_info->load.finite_cpu_milli;
      pool->long_running_cpu_milli = pool_info->load.long_running_cpu_milli;
      pool->waiting_cpu_milli = pool_info->load.waiting_cpu_milli;
      pool->waiting_since = pool_info->waiting_since;
      pool->arriving_cpu_milli = pool_info->load.arriving_cpu_milli;
    }
}

/* Add HOST and count it in its pool, or in its target pool if it is to move.
   One of an evacuated zone is counted in none.  A host that is being evacuated
   for a move must not count in its pool: a pool would give away more hosts
   than it can spare, while it still seems to have them.  */
static void
add_host (struct jb_planner *planner, jb_time now,
          struct rebalance_input *input, struct fleet_host *host)
{
  uint32_t pool_number = pool_index (input->catalog, host->pool);
  struct jb_rebalance_pool *pool;
  struct jb_rebalance_host *entry;
  bool is_off;
  bool idle;

  if (pool_number == input->catalog->pool_count)
    return;
  pool = &input->pools[pool_number];
  input->listed_counts[pool_number]++;
  if (jb_planner_is_in_evacuated_zone (planner, host))
    {
      jb_planner_abandon_move (planner, now, host);
      host->idle_since = 0;
      return;
    }
  if (host->purpose == PURPOSE_MOVE)
    {
      uint32_t to = pool_index (input->catalog, host->target_pool);

      if (to < input->catalog->pool_count)
        input->pools[to].incoming_hosts++;
      if (host->phase == PHASE_AWAY)
        return;
    }
  else if (host->state == JB_HOST_UP)
    pool->hosts++;
  /* A predecessor has moved it, and it is listed in its new pool.  */
  else if (host->state == JB_HOST_MOVING && host->purpose == PURPOSE_NONE)
    pool->incoming_hosts++;
  is_off = pool->standby && host->instance == NULL;
  idle = host->state == JB_HOST_UP
         && (is_off || jb_planner_is_idle (planner, host));
  if (!idle)
    host->idle_since = 0;
  else if (host->idle_since == 0)
    host->idle_since = now;
  input->fleet_hosts[input->host_count] = host;
  entry = &input->hosts[input->host_count++];
  *entry = (struct jb_rebalance_host){
    .pool = pool_number,
    .idle = idle,
    .idle_since = host->idle_since,
    .available = host->purpose == PURPOSE_NONE && host->phase == PHASE_NONE
                 && host->state == JB_HOST_UP && now >= host->retry_at
                 && jb_planner_is_usable (planner, now, host, PURPOSE_MOVE)
                 && now - host->moved_at > MIN_STAY_IN_POOL
  };
}

/* Add the number of each pool's home hosts and the capacity of one host.  A
   pool has as many home hosts as it had hosts when it was first listed.  */
static void
add_home_hosts (struct jb_planner *planner, struct rebalance_input *input)
{
  for (uint32_t i = 0; i < input->catalog->pool_count; i++)
    {
      struct planner_pool *pool_info = jb_planner_get_or_add_pool (
          planner, input->catalog->pools[i].name);
      struct jb_rebalance_pool *pool = &input->pools[i];

      if (pool_info->home_hosts == 0 && input->listed_counts[i] > 0)
        {
          pool_info->home_hosts = input->listed_counts[i];
          planner->pool_row_dirty = true;
        }
      if (pool_info->load.host_cpu_milli > 0)
        pool_info->host_cpu_milli = pool_info->load.host_cpu_milli;
      pool->home_hosts = pool_info->home_hosts;
      pool->host_cpu_milli = pool_info->host_cpu_milli;
    }
}

/* Record the current demand of the pools, and add the forecasts of their next
   surges.  */
static void
add_forecasts (struct jb_planner *planner, jb_time now,
               struct rebalance_input *input)
{
  struct jb_forecast_pool histories[JB_FORECAST_MAX_POOLS] = { 0 };
  uint32_t pool_numbers[JB_FORECAST_MAX_POOLS];
  uint32_t count = 0;

  for (uint32_t i = 0;
       i < input->catalog->pool_count && count < JB_FORECAST_MAX_POOLS; i++)
    {
      struct planner_pool *pool_info = jb_planner_get_or_add_pool (
          planner, input->catalog->pools[i].name);
      struct jb_rebalance_pool *pool = &input->pools[i];
      bool was_in_surge = pool_info->history.in_surge;

      if (pool->standby)
        continue;
      if (pool->known)
        jb_forecast_record (
            &pool_info->history, now,
            MAX (pool->finite_cpu_milli + pool->waiting_cpu_milli,
                 pool->arriving_cpu_milli),
            (int64_t)pool->home_hosts * pool->host_cpu_milli);
      if (pool_info->history.in_surge != was_in_surge)
        planner->pool_row_dirty = true;
      histories[count] = pool_info->history;
      pool_numbers[count++] = i;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      struct jb_rebalance_pool *pool = &input->pools[pool_numbers[i]];

      pool->next_surge = jb_forecast_next_surge (histories, count, i, now);
      pool->surge_predicted
          = pool->next_surge != JB_NEVER && !histories[i].in_surge;
      pool->surge_peak_cpu_milli = histories[i].peak_cpu_milli;
    }
}

void
jb_planner_run_rebalance (struct jb_planner *planner, jb_time now)
{
  const struct jb_catalog *catalog = *planner->options.catalog;
  guint hosts = g_hash_table_size (planner->hosts);
  struct jb_host_move moves[MAX_MOVE_COUNT];
  struct rebalance_input input = { .catalog = catalog };
  GHashTableIter iter;
  gpointer value;
  uint32_t count;

  if (catalog == NULL || now < planner->next_rebalance
      || !jb_planner_knows_zones (planner)
      || planner->complete_list_started_at < planner->claimed_at
      || !jb_planner_may_command (planner, now))
    return;
  planner->next_rebalance = now + REBALANCE_INTERVAL;
  input.pools = g_new0 (struct jb_rebalance_pool, catalog->pool_count + 1);
  input.hosts = g_new0 (struct jb_rebalance_host, hosts + 1);
  input.fleet_hosts = g_new0 (struct fleet_host *, hosts + 1);
  input.listed_counts = g_new0 (uint32_t, catalog->pool_count + 1);
  add_pools (planner, now, &input);
  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_host (planner, now, &input, value);
  add_home_hosts (planner, &input);
  add_forecasts (planner, now, &input);
  if (planner->pool_row_dirty)
    save_pools (planner, now);
  count = jb_rebalance_decide (input.pools, catalog->pool_count, input.hosts,
                               input.host_count, now, moves, MAX_MOVE_COUNT);
  for (uint32_t i = 0; i < count; i++)
    {
      struct fleet_host *host = input.fleet_hosts[moves[i].host];

      talloc_free (host->target_pool);
      host->target_pool
          = talloc_strdup (host, catalog->pools[moves[i].to].name);
      jb_planner_begin_evacuation (planner, now, host, PURPOSE_MOVE);
    }
  g_free (input.pools);
  g_free (input.hosts);
  g_free (input.fleet_hosts);
  g_free (input.listed_counts);
}
