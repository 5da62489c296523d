/* Maintenance waves.  A wave's hosts are taken pool by pool from where the
   load is lowest, so many at once as the operator allows, and no more than a
   share of a pool.  Which ones have had their maintenance is kept in a row. */

#include "jb_planner_internal.h"

#include <string.h>

/* Of a pool's hosts, at most one in so many is away at once, but always one.
 */
#define POOL_SHARE 4

#define REPORT_RETRY (300 * JB_MS)
#define REPORT_TIMEOUT_MS 1000

/* In the last third of its time a wave no longer waits for a valley.  */
#define HURRY_SHARE 3

enum
{
  MAX_HOSTS = 100000
};

struct saved_wave
{
  uint32_t count;
  char **hosts;
};

static void
saved_wave_code (struct ba_codec *io, struct saved_wave *saved)
{
  ba_codec_array (io, saved->hosts, saved->count, MAX_HOSTS,
                  ba_codec_required_str);
}

void
jb_planner_load_wave_row (struct jb_planner *planner, const struct jb_row *row)
{
  uint64_t *number = talloc (planner, uint64_t);
  struct saved_wave saved = { 0 };
  GPtrArray *names = g_ptr_array_new ();
  struct ba_codec io;

  *number = g_ascii_strtoull (row->key, NULL, 10);
  ba_codec_init_reader (&io, planner, row->value);
  saved_wave_code (&io, &saved);
  if (!ba_codec_is_complete (&io))
    jb_log (planner->options.driver, JB_LEVEL_ERROR, "row-unreadable", "table",
            "wave", "key", row->key, NULL);
  for (uint32_t i = 0; !io.failed && i < saved.count; i++)
    g_ptr_array_add (names, saved.hosts[i]);
  g_hash_table_insert (planner->saved, number, names);
}

void
jb_planner_restore_wave (struct jb_planner *planner, struct wave *wave)
{
  GPtrArray *names;

  if (wave->loaded || !planner->loaded)
    return;
  wave->loaded = true;
  names = g_hash_table_lookup (planner->saved, &wave->number);
  for (guint i = 0; names != NULL && i < names->len; i++)
    {
      char *name = g_ptr_array_index (names, i);

      if (g_hash_table_remove (wave->remaining_hosts, name))
        g_ptr_array_add (wave->maintained_hosts, name);
    }
}

void
jb_planner_add_wave (struct jb_planner *planner, jb_time seen,
                     const struct jb_wave_entry *entry)
{
  struct wave *wave;

  for (guint i = 0; i < planner->waves->len; i++)
    {
      wave = g_ptr_array_index (planner->waves, i);
      if (wave->number == entry->wave)
        return;
    }
  wave = talloc_zero (planner, struct wave);
  wave->number = entry->wave;
  wave->seen = seen;
  wave->due = seen + entry->within_ms * JB_MS;
  wave->max_hosts_at_once = MAX (entry->max_hosts_at_once, 1);
  wave->remaining_hosts = g_hash_table_new (g_str_hash, g_str_equal);
  wave->maintained_hosts = g_ptr_array_new ();
  for (uint32_t i = 0; i < entry->host_count; i++)
    g_hash_table_add (wave->remaining_hosts,
                      talloc_strdup (wave, entry->hosts[i]));
  g_ptr_array_add (planner->waves, wave);
  jb_log (planner->options.driver, JB_LEVEL_INFO, "wave-found", "wave",
          jb_itoa ((int64_t)wave->number), "hosts",
          jb_itoa (entry->host_count), "at_once",
          jb_itoa (wave->max_hosts_at_once), "within_ms",
          jb_itoa (entry->within_ms), NULL);
  jb_planner_restore_wave (planner, wave);
}

static void
save_wave (struct jb_planner *planner, jb_time now, const struct wave *wave)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_wave saved = { wave->maintained_hosts->len,
                              (char **)wave->maintained_hosts->pdata };
  struct jb_row row = { .table = "wave",
                        .partition = JB_PLANNER_PARTITION,
                        .key = jb_itoa ((int64_t)wave->number) };

  row.value = ba_codec_encode (scratch, saved_wave_code, &saved);
  jb_ownership_write (planner->ownership, now, &row, 1, NULL, 0, NULL, NULL);
  talloc_free (scratch);
}

void
jb_planner_record_maintained (struct jb_planner *planner, jb_time now,
                              struct host *host)
{
  struct wave *wave = host->wave;

  if (wave == NULL || !g_hash_table_remove (wave->remaining_hosts, host->name))
    return;
  g_ptr_array_add (wave->maintained_hosts, talloc_strdup (wave, host->name));
  save_wave (planner, now, wave);
}

/* ---- telling operators ---- */

struct report
{
  struct jb_planner *planner;
  struct wave *wave;
  bool completed;
};

static void
reported (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct report *report = data;
  struct wave *wave = report->wave;

  (void)sent;
  wave->reporting = false;
  wave->next_report = now + REPORT_RETRY;
  if (reply->result == JB_RESULT_OK)
    {
      wave->reported = true;
      wave->completed = report->completed;
      jb_log (report->planner->options.driver, JB_LEVEL_INFO, "wave-reported",
              "wave", jb_itoa ((int64_t)wave->number), "state",
              report->completed ? "completed" : "running", NULL);
    }
  talloc_free (report);
}

static void
report_wave (struct jb_planner *planner, jb_time now, struct wave *wave)
{
  bool completed = g_hash_table_size (wave->remaining_hosts) == 0;
  struct jb_command order = { .kind = JB_COMMAND_REPORT_WAVE,
                              .timeout_ms = REPORT_TIMEOUT_MS,
                              .u.report_wave = { wave->number, completed } };
  struct report *report;

  if (wave->reporting || now < wave->next_report || wave->completed
      || (wave->reported && !completed))
    return;
  report = talloc_zero (planner->ownership, struct report);
  report->planner = planner;
  report->wave = wave;
  report->completed = completed && wave->reported;
  order.u.report_wave.completed = report->completed;
  wave->reporting = true;
  jb_count_event (planner->options.driver, JB_COUNT_STORE_WRITES);
  jb_driver_submit (planner->options.driver, planner->ownership, now, &order,
                    reported, report);
}

/* ---- which hosts next ---- */

/* Return how full POOL is, 1 when its tasks use all of its room; those that
   wait count, too.  */
static double
pool_pressure (const struct jb_planner *planner, const char *pool)
{
  const struct planner_pool *load = g_hash_table_lookup (planner->loads, pool);

  if (load == NULL || load->load.capacity_cpu_milli == 0)
    return 0;
  return (double)(load->load.running_cpu_milli + load->load.waiting_cpu_milli)
         / (double)load->load.capacity_cpu_milli;
}

static uint32_t
count_hosts (const struct jb_planner *planner, const char *pool, bool busy)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct host *host = value;

      if (g_strcmp0 (host->pool, pool) == 0
          && (!busy || host->step != STEP_IDLE || host->state != JB_HOST_UP))
        count++;
    }
  return count;
}

/* Return the number of WAVE's hosts that are down for it, or may be.  */
static uint32_t
count_down (const struct jb_planner *planner, const struct wave *wave)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct host *host = value;

      if (host->wave == wave || host->state == JB_HOST_MAINTENANCE)
        count++;
    }
  return count;
}

static bool
pool_has_room (const struct jb_planner *planner, const char *pool)
{
  const struct jb_catalog *catalog = *planner->options.catalog;
  const struct jb_pool_settings *settings
      = catalog != NULL ? jb_catalog_find_pool (catalog, pool) : NULL;
  uint32_t all = count_hosts (planner, pool, false);

  if (settings != NULL && settings->standby)
    return true;
  return count_hosts (planner, pool, true) < MAX (all / POOL_SHARE, 1);
}

static bool
is_idle_instance (const struct jb_planner *planner, const struct host *host)
{
  const struct planner_pool *load
      = g_hash_table_lookup (planner->loads, host->pool);

  if (host->instance == NULL)
    return true;
  for (uint32_t i = 0; load != NULL && i < load->load.idle_count; i++)
    if (strcmp (load->load.idle[i], host->instance) == 0)
      return true;
  return false;
}

/* Return the host of WAVE to take next, or NULL.  */
static struct host *
choose_host (struct jb_planner *planner, jb_time now, struct wave *wave)
{
  bool hurry = now > wave->due - (wave->due - wave->seen) / HURRY_SHARE;
  GHashTableIter iter;
  gpointer name;
  struct host *best = NULL;
  double best_pressure = 0;

  g_hash_table_iter_init (&iter, wave->remaining_hosts);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      struct host *host = g_hash_table_lookup (planner->hosts, name);
      double pressure;

      if (host == NULL || host->step != STEP_IDLE || host->state != JB_HOST_UP
          || now < host->retry_at || !pool_has_room (planner, host->pool))
        continue;
      pressure = pool_pressure (planner, host->pool);
      if (!hurry && pressure > 0.7)
        continue;
      if (!is_idle_instance (planner, host))
        pressure += 0.2;
      if (best == NULL || pressure < best_pressure)
        {
          best = host;
          best_pressure = pressure;
        }
    }
  return best;
}

/* Hosts that have left the fleet need no maintenance.  */
static void
drop_gone (struct jb_planner *planner, jb_time now, struct wave *wave)
{
  GHashTableIter iter;
  gpointer name;

  if (planner->list_whole < MAX (wave->seen, planner->claimed))
    return;
  g_hash_table_iter_init (&iter, wave->remaining_hosts);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (g_hash_table_lookup (planner->hosts, name) == NULL)
      {
        jb_log (planner->options.driver, JB_LEVEL_INFO, "host-left",
                "fleet_host", name, "wave", jb_itoa ((int64_t)wave->number),
                NULL);
        g_hash_table_iter_remove (&iter);
      }
  (void)now;
}

static void
run_wave (struct jb_planner *planner, jb_time now, struct wave *wave)
{
  uint32_t down;

  if (wave->completed || !wave->loaded)
    return;
  drop_gone (planner, now, wave);
  report_wave (planner, now, wave);
  down = count_down (planner, wave);
  while (down < wave->max_hosts_at_once
         && planner->list_whole > planner->claimed)
    {
      struct host *host = choose_host (planner, now, wave);

      if (host == NULL)
        break;
      host->wave = wave;
      jb_planner_begin_evacuation (planner, now, host, PURPOSE_MAINTENANCE);
      down++;
    }
}

void
jb_planner_run_waves (struct jb_planner *planner, jb_time now)
{
  for (guint i = 0; i < planner->waves->len; i++)
    run_wave (planner, now, g_ptr_array_index (planner->waves, i));
}
