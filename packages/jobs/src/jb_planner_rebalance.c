/* Moves of hosts between pools, as jb_rebalance.h decides.  */

#include "jb_planner_internal.h"

#include "jb_rebalance.h"

#include <string.h>

/* A pool's load counts so long after it was told.  */
#define LOAD_VALID (800 * JB_MS)

#define DECIDE_PERIOD (100 * JB_MS)

/* A host that came is not sent on for a while.  */
#define SETTLE_PERIOD (1500 * JB_MS)

enum
{
  MAX_MOVES = 16, /* in one turn */
  MAX_POOLS = 10000
};

struct picture
{
  const struct jb_catalog *catalog;
  struct jb_rebalance_pool *pools;
  struct jb_rebalance_host *hosts;
  struct host **names;
  uint32_t host_count;
  uint32_t *listed; /* hosts of each pool, in any state */
};

/* Of a pool.  Times are Unix milliseconds, 0 for none.  */
struct saved_home
{
  char *pool;
  uint32_t hosts;
  int64_t rose;
  int64_t before;
  int64_t peak;
};

struct saved_homes
{
  uint32_t count;
  struct saved_home *homes;
};

static void
saved_home_code (struct ba_codec *io, struct saved_home *home)
{
  ba_codec_required_str (io, &home->pool);
  ba_codec_u32 (io, &home->hosts);
  ba_codec_i64 (io, &home->rose);
  ba_codec_i64 (io, &home->before);
  ba_codec_i64 (io, &home->peak);
}

static void
saved_homes_code (struct ba_codec *io, struct saved_homes *homes)
{
  ba_codec_array (io, homes->homes, homes->count, MAX_POOLS, saved_home_code);
}

static jb_time
from_unix (const struct jb_planner *planner, int64_t unix_ms)
{
  return unix_ms != 0 ? unix_ms * JB_MS - planner->wall : 0;
}

static int64_t
to_unix (const struct jb_planner *planner, jb_time time)
{
  return time != 0 ? (time + planner->wall) / JB_MS : 0;
}

void
jb_planner_load_pool_row (struct jb_planner *planner, const struct jb_row *row)
{
  struct saved_homes saved = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, planner, row->value);
  saved_homes_code (&io, &saved);
  if (!ba_codec_is_complete (&io))
    {
      jb_log (planner->options.driver, JB_LEVEL_ERROR, "row-unreadable",
              "table", "wave", "key", row->key, NULL);
      return;
    }
  for (uint32_t i = 0; i < saved.count; i++)
    {
      struct planner_pool *load
          = jb_planner_get_pool (planner, saved.homes[i].pool);

      load->home = saved.homes[i].hosts;
      load->turn.rose = from_unix (planner, saved.homes[i].rose);
      load->turn.before = from_unix (planner, saved.homes[i].before);
      load->turn.peak = saved.homes[i].peak;
    }
}

/* Keep the number of hosts that each pool had first, so that a successor does
   not take loans for its own, and when the pools had their turns.  */
static void
save_homes (struct jb_planner *planner, jb_time now)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_homes saved = { 0 };
  struct jb_row row = { .table = "wave",
                        .partition = JB_PLANNER_PARTITION,
                        .key = JB_PLANNER_POOL_ROW_KEY };
  GHashTableIter iter;
  gpointer value;

  planner->homes_dirty = false;
  saved.homes = talloc_array (scratch, struct saved_home,
                              g_hash_table_size (planner->loads) + 1);
  g_hash_table_iter_init (&iter, planner->loads);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct planner_pool *load = value;

      saved.homes[saved.count++] = (struct saved_home){
        load->name, load->home, to_unix (planner, load->turn.rose),
        to_unix (planner, load->turn.before), load->turn.peak
      };
    }
  row.value = ba_codec_encode (scratch, saved_homes_code, &saved);
  jb_ownership_write (planner->ownership, now, &row, 1, NULL, 0, NULL, NULL);
  talloc_free (scratch);
}

static uint32_t
pool_index (const struct jb_catalog *catalog, const char *name)
{
  uint32_t i = 0;

  while (i < catalog->pool_count
         && g_strcmp0 (catalog->pools[i].name, name) != 0)
    i++;
  return i;
}

static bool
is_idle (const struct planner_pool *load, const struct host *host)
{
  if (load == NULL || host->instance == NULL)
    return false;
  for (uint32_t i = 0; i < load->load.idle_count; i++)
    if (strcmp (load->load.idle[i], host->instance) == 0)
      return true;
  return false;
}

static void
draw_pools (struct jb_planner *planner, jb_time now, struct picture *picture)
{
  for (uint32_t i = 0; i < picture->catalog->pool_count; i++)
    {
      struct jb_rebalance_pool *pool = &picture->pools[i];
      const struct planner_pool *load = g_hash_table_lookup (
          planner->loads, picture->catalog->pools[i].name);

      pool->standby = picture->catalog->pools[i].standby;
      if (load == NULL || now - load->at > LOAD_VALID)
        continue;
      pool->known = true;
      pool->capacity_cpu_milli = load->load.capacity_cpu_milli;
      pool->finite_cpu_milli = load->load.running_cpu_milli;
      pool->long_running_cpu_milli = load->load.long_running_cpu_milli;
      pool->waiting_cpu_milli = load->load.waiting_cpu_milli;
      pool->arriving_cpu_milli = load->load.arriving_cpu_milli;
    }
}

static void
draw_host (struct jb_planner *planner, jb_time now, struct picture *picture,
           struct host *host)
{
  uint32_t at = pool_index (picture->catalog, host->pool);
  struct jb_rebalance_pool *pool;
  struct jb_rebalance_host *drawn;
  bool off;
  bool idle;

  if (at == picture->catalog->pool_count)
    return;
  pool = &picture->pools[at];
  picture->listed[at]++;
  if (host->aim == PURPOSE_MOVE && host->step == STEP_AWAY)
    {
      uint32_t to = pool_index (picture->catalog, host->target);

      if (to < picture->catalog->pool_count)
        picture->pools[to].incoming_hosts++;
      return;
    }
  if (host->aim == PURPOSE_MOVE)
    {
      uint32_t to = pool_index (picture->catalog, host->target);

      if (to < picture->catalog->pool_count)
        picture->pools[to].incoming_hosts++;
    }
  if (host->state == JB_HOST_UP)
    pool->hosts++;
  off = pool->standby && host->instance == NULL;
  idle = host->state == JB_HOST_UP
         && (off
             || is_idle (g_hash_table_lookup (planner->loads, host->pool),
                         host));
  if (!idle)
    host->idle_since = 0;
  else if (host->idle_since == 0)
    host->idle_since = now;
  picture->names[picture->host_count] = host;
  drawn = &picture->hosts[picture->host_count++];
  *drawn = (struct jb_rebalance_host){
    .pool = at,
    .idle = idle,
    .idle_since = host->idle_since,
    .available = host->aim == PURPOSE_NONE && host->step == STEP_IDLE
                 && host->state == JB_HOST_UP && now >= host->retry_at
                 && now - host->moved_at > SETTLE_PERIOD
  };
}

static void
draw_homes (struct jb_planner *planner, struct picture *picture)
{
  for (uint32_t i = 0; i < picture->catalog->pool_count; i++)
    {
      struct planner_pool *load
          = jb_planner_get_pool (planner, picture->catalog->pools[i].name);
      struct jb_rebalance_pool *pool = &picture->pools[i];

      if (load->home == 0 && picture->listed[i] > 0)
        {
          load->home = picture->listed[i];
          planner->homes_dirty = true;
        }
      if (load->load.host_cpu_milli > 0)
        load->host_cpu = load->load.host_cpu_milli;
      pool->home_hosts = load->home;
      pool->host_cpu_milli = load->host_cpu;
    }
}

/* What is known of the pools' turns.  */
static void
draw_turns (struct jb_planner *planner, jb_time now, struct picture *picture)
{
  struct jb_forecast_pool turns[JB_FORECAST_MAX_POOLS] = { 0 };
  uint32_t places[JB_FORECAST_MAX_POOLS];
  uint32_t count = 0;

  for (uint32_t i = 0;
       i < picture->catalog->pool_count && count < JB_FORECAST_MAX_POOLS; i++)
    {
      struct planner_pool *load
          = jb_planner_get_pool (planner, picture->catalog->pools[i].name);
      struct jb_rebalance_pool *pool = &picture->pools[i];
      bool in_turn = load->turn.in_turn;

      if (pool->standby)
        continue;
      if (pool->known)
        jb_forecast_record (
            &load->turn, now,
            MAX (pool->finite_cpu_milli + pool->waiting_cpu_milli,
                 pool->arriving_cpu_milli),
            (int64_t)pool->home_hosts * pool->host_cpu_milli);
      if (load->turn.in_turn != in_turn)
        planner->homes_dirty = true;
      turns[count] = load->turn;
      places[count++] = i;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      struct jb_rebalance_pool *pool = &picture->pools[places[i]];

      pool->next_surge = jb_forecast_next_surge (turns, count, i);
      pool->surge_predicted
          = pool->next_surge != JB_NEVER && !turns[i].in_turn;
      pool->surge_peak_cpu_milli = turns[i].peak;
    }
}

void
jb_planner_run_rebalance (struct jb_planner *planner, jb_time now)
{
  const struct jb_catalog *catalog = *planner->options.catalog;
  guint hosts = g_hash_table_size (planner->hosts);
  struct jb_host_move moves[MAX_MOVES];
  struct picture picture = { .catalog = catalog };
  GHashTableIter iter;
  gpointer value;
  uint32_t count;

  if (catalog == NULL || now < planner->next_moves
      || planner->list_whole < planner->claimed
      || !jb_planner_may_command (planner, now))
    return;
  planner->next_moves = now + DECIDE_PERIOD;
  picture.pools = g_new0 (struct jb_rebalance_pool, catalog->pool_count + 1);
  picture.hosts = g_new0 (struct jb_rebalance_host, hosts + 1);
  picture.names = g_new0 (struct host *, hosts + 1);
  picture.listed = g_new0 (uint32_t, catalog->pool_count + 1);
  draw_pools (planner, now, &picture);
  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    draw_host (planner, now, &picture, value);
  draw_homes (planner, &picture);
  draw_turns (planner, now, &picture);
  if (planner->homes_dirty)
    save_homes (planner, now);
  count
      = jb_rebalance_decide (picture.pools, catalog->pool_count, picture.hosts,
                             picture.host_count, now, moves, MAX_MOVES);
  for (uint32_t i = 0; i < count; i++)
    {
      struct host *host = picture.names[moves[i].host];

      talloc_free (host->target);
      host->target = talloc_strdup (host, catalog->pools[moves[i].to].name);
      jb_planner_begin_evacuation (planner, now, host, PURPOSE_MOVE);
    }
  g_free (picture.pools);
  g_free (picture.hosts);
  g_free (picture.names);
  g_free (picture.listed);
}
