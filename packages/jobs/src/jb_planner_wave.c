/* Maintenance waves: collects the input of jb_wave_choose, starts the
   evacuation of the hosts that it returns, and reports to operators.  At any
   time no more hosts are away than the operator allows.  The names of the
   maintained hosts are stored in a row for each wave, so a successor can
   continue.  */

#include "jb_planner_internal.h"

#include "jb_wave.h"

#include <string.h>

/* Time before a wave is reported again, for example after a failure.  */
#define REPORT_RETRY_DELAY (300 * JB_MS)
#define REPORT_TIMEOUT_MS 1000

enum
{
  MAX_SAVED_HOST_COUNT = 100000 /* of a wave, in a decoded row */
};

/* Content of the row of a wave: the names of its maintained hosts.  */
struct saved_wave
{
  uint32_t count;
  char **hosts;
};

static void
serialize_saved_wave (struct ba_codec *io, struct saved_wave *saved)
{
  ba_codec_array (io, saved->hosts, saved->count, MAX_SAVED_HOST_COUNT,
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
  serialize_saved_wave (&io, &saved);
  if (!ba_codec_is_complete (&io))
    jb_log (planner->options.driver, JB_LEVEL_ERROR, "row-unreadable", "table",
            JB_PLANNER_TABLE, "key", row->key, NULL);
  for (uint32_t i = 0; !io.failed && i < saved.count; i++)
    g_ptr_array_add (names, saved.hosts[i]);
  g_hash_table_insert (planner->saved_waves, number, names);
}

void
jb_planner_restore_wave (struct jb_planner *planner, struct wave *wave)
{
  GPtrArray *names;

  if (wave->progress_loaded || !planner->rows_loaded)
    return;
  wave->progress_loaded = true;
  names = g_hash_table_lookup (planner->saved_waves, &wave->number);
  for (guint i = 0; names != NULL && i < names->len; i++)
    {
      char *name = g_ptr_array_index (names, i);

      if (g_hash_table_remove (wave->remaining_hosts, name))
        g_ptr_array_add (wave->maintained_hosts, name);
    }
}

void
jb_planner_add_wave (struct jb_planner *planner, jb_time seen_at,
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
  wave->seen_at = seen_at;
  wave->due = seen_at + entry->within_ms * JB_MS;
  wave->max_hosts_at_once = MAX (entry->max_hosts_at_once, 1);
  wave->remaining_hosts = g_hash_table_new (g_str_hash, g_str_equal);
  wave->maintained_hosts = g_ptr_array_new ();
  for (uint32_t i = 0; i < entry->host_count; i++)
    g_hash_table_add (wave->remaining_hosts,
                      talloc_strdup (wave, entry->hosts[i]));
  g_ptr_array_add (planner->waves, wave);
  jb_log (planner->options.driver, JB_LEVEL_INFO, "wave-added", "wave",
          jb_itoa ((int64_t)wave->number), "hosts",
          jb_itoa (entry->host_count), "at_once",
          jb_itoa (wave->max_hosts_at_once), "within_ms",
          jb_itoa (entry->within_ms), NULL);
  jb_planner_restore_wave (planner, wave);
}

/* Store the names of the maintained hosts of WAVE.  */
static void
save_wave (struct jb_planner *planner, jb_time now, const struct wave *wave)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_wave saved = { wave->maintained_hosts->len,
                              (char **)wave->maintained_hosts->pdata };
  struct jb_row row = { .table = JB_PLANNER_TABLE,
                        .partition = JB_PLANNER_PARTITION,
                        .key = jb_itoa ((int64_t)wave->number) };

  row.value = ba_codec_encode (scratch, serialize_saved_wave, &saved);
  jb_ownership_write (planner->ownership, now, &row, 1, NULL, 0, NULL, NULL);
  talloc_free (scratch);
}

void
jb_planner_record_maintained (struct jb_planner *planner, jb_time now,
                              struct fleet_host *host)
{
  struct wave *wave = host->wave;

  if (wave == NULL || !g_hash_table_remove (wave->remaining_hosts, host->name))
    return;
  g_ptr_array_add (wave->maintained_hosts, talloc_strdup (wave, host->name));
  save_wave (planner, now, wave);
}

/* ---- reports to operators ---- */

/* A report to operators that is in flight.  */
struct report
{
  struct jb_planner *planner;
  struct wave *wave;
  bool completed; /* false: the report says that the wave has started */
};

static void
wave_reported (void *data, jb_time now, jb_time sent_at,
               const struct jb_reply *reply)
{
  struct report *report = data;
  struct wave *wave = report->wave;

  (void)sent_at;
  wave->report_in_flight = false;
  wave->next_report = now + REPORT_RETRY_DELAY;
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

/* Report to operators that WAVE has started, or, after that has been reported,
   that it is completed.  */
static void
report_wave (struct jb_planner *planner, jb_time now, struct wave *wave)
{
  bool completed = g_hash_table_size (wave->remaining_hosts) == 0;
  struct jb_command command = { .kind = JB_COMMAND_REPORT_WAVE,
                                .timeout_ms = REPORT_TIMEOUT_MS,
                                .u.report_wave = { wave->number, completed } };
  struct report *report;

  if (wave->report_in_flight || now < wave->next_report || wave->completed
      || (wave->reported && !completed))
    return;
  report = talloc_zero (planner->ownership, struct report);
  report->planner = planner;
  report->wave = wave;
  report->completed = completed && wave->reported;
  command.u.report_wave.completed = report->completed;
  wave->report_in_flight = true;
  jb_count_event (planner->options.driver, JB_COUNT_STORE_WRITES);
  jb_driver_submit (planner->options.driver, planner->ownership, now, &command,
                    wave_reported, report);
}

/* ---- choice of hosts ---- */

/* The pools of all hosts of the fleet, as input of jb_wave_choose.  */
struct pool_table
{
  GHashTable *indices; /* name -> index + 1 */
  GArray *pools;       /* struct jb_wave_pool */
};

/* Return the fraction of POOL's CPU capacity that its running finite tasks and
   its waiting tasks need; it is above 1 if not all of them fit.  Running
   long-running tasks and all best-effort tasks don't count.  */
static double
pool_utilisation (const struct jb_planner *planner, const char *pool)
{
  const struct planner_pool *pool_info
      = g_hash_table_lookup (planner->pools, pool);

  if (pool_info == NULL || pool_info->load.capacity_cpu_milli == 0)
    return 0;
  return (double)(pool_info->load.finite_cpu_milli
                  + pool_info->load.waiting_cpu_milli)
         / (double)pool_info->load.capacity_cpu_milli;
}

/* Return the index in TABLE of the pool NAME, which is added if it is new.  */
static uint32_t
get_or_add_pool_index (const struct jb_planner *planner,
                       struct pool_table *table, const char *name)
{
  guint index = GPOINTER_TO_UINT (g_hash_table_lookup (table->indices, name));

  if (index == 0)
    {
      struct jb_wave_pool pool
          = { .utilisation = pool_utilisation (planner, name) };

      g_array_append_val (table->pools, pool);
      index = table->pools->len;
      g_hash_table_insert (table->indices, (gpointer)name,
                           GUINT_TO_POINTER (index));
    }
  return index - 1;
}

/* Fill TABLE from the hosts of the fleet.  */
static void
collect_pools (const struct jb_planner *planner, struct pool_table *table)
{
  GHashTableIter iter;
  gpointer value;

  table->indices = g_hash_table_new (g_str_hash, g_str_equal);
  table->pools = g_array_new (FALSE, FALSE, sizeof (struct jb_wave_pool));
  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_host *host = value;
      uint32_t index = get_or_add_pool_index (planner, table, host->pool);
      struct jb_wave_pool *pool
          = &g_array_index (table->pools, struct jb_wave_pool, index);

      pool->hosts++;
      if (host->phase != PHASE_NONE || host->state != JB_HOST_UP
          || jb_planner_is_in_evacuated_zone (planner, host))
        pool->unavailable++;
    }
}

/* Return whether the wave may take HOST out now; HOST may be NULL.  */
static bool
is_choosable (const struct fleet_host *host, jb_time now)
{
  return host != NULL && host->phase == PHASE_NONE && host->state == JB_HOST_UP
         && now >= host->retry_at;
}

/* Start evacuating up to LIMIT hosts of WAVE that are in evacuated zones, and
   return their number.  They count as unavailable already, so their pools lose
   nothing.  */
static uint32_t
begin_maintenance_in_zones (struct jb_planner *planner, jb_time now,
                            struct wave *wave, uint32_t limit)
{
  GHashTableIter iter;
  gpointer name;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, wave->remaining_hosts);
  while (count < limit && g_hash_table_iter_next (&iter, &name, NULL))
    {
      struct fleet_host *host = g_hash_table_lookup (planner->hosts, name);

      if (!is_choosable (host, now)
          || !jb_planner_is_in_evacuated_zone (planner, host)
          || !jb_planner_is_usable (planner, now, host, PURPOSE_MAINTENANCE))
        continue;
      host->wave = wave;
      jb_planner_begin_evacuation (planner, now, host, PURPOSE_MAINTENANCE);
      count++;
    }
  return count;
}

/* Start evacuating up to LIMIT hosts of WAVE.  TABLE is updated.  */
static void
begin_maintenance (struct jb_planner *planner, jb_time now, struct wave *wave,
                   struct pool_table *table, uint32_t limit)
{
  guint remaining = g_hash_table_size (wave->remaining_hosts);
  struct jb_wave_host *hosts = g_new (struct jb_wave_host, remaining + 1);
  struct fleet_host **fleet_hosts = g_new (struct fleet_host *, remaining + 1);
  uint32_t *chosen = g_new (uint32_t, limit + 1);
  struct jb_wave_time time = { wave->seen_at, wave->due };
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, wave->remaining_hosts);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      struct fleet_host *host = g_hash_table_lookup (planner->hosts, name);

      if (!is_choosable (host, now)
          || jb_planner_is_in_evacuated_zone (planner, host)
          || !jb_planner_is_usable (planner, now, host, PURPOSE_MAINTENANCE))
        continue;
      fleet_hosts[count] = host;
      hosts[count++] = (struct jb_wave_host){
        get_or_add_pool_index (planner, table, host->pool),
        host->instance == NULL || jb_planner_is_idle (planner, host)
      };
    }
  count = jb_wave_choose ((struct jb_wave_pool *)(void *)table->pools->data,
                          hosts, count, &time, now, chosen, limit);
  for (uint32_t i = 0; i < count; i++)
    {
      struct fleet_host *host = fleet_hosts[chosen[i]];

      host->wave = wave;
      jb_planner_begin_evacuation (planner, now, host, PURPOSE_MAINTENANCE);
    }
  g_free (hosts);
  g_free (fleet_hosts);
  g_free (chosen);
}

/* Return the number of hosts that are being maintained for WAVE, or soon will
   be, or are in maintenance for another reason.  A command of a predecessor
   for the maintenance of a host may still be executed.  */
static uint32_t
count_hosts_down (const struct jb_planner *planner, jb_time now,
                  const struct wave *wave)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_host *host = value;

      if (host->wave == wave || host->state == JB_HOST_MAINTENANCE
          || (g_hash_table_contains (wave->remaining_hosts, host->name)
              && jb_commanded_may_be_maintained (planner->commanded, now,
                                                 host->name)))
        count++;
    }
  return count;
}

/* Remove from WAVE the hosts that have left the fleet: a complete list of the
   hosts, started after the wave was seen and the planner's partition claimed,
   doesn't contain them.  */
static void
remove_departed_hosts (struct jb_planner *planner, jb_time now,
                       struct wave *wave)
{
  GHashTableIter iter;
  gpointer name;

  if (planner->complete_list_started_at
      < MAX (wave->seen_at, planner->claimed_at))
    return;
  g_hash_table_iter_init (&iter, wave->remaining_hosts);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (g_hash_table_lookup (planner->hosts, name) == NULL)
      {
        jb_log (planner->options.driver, JB_LEVEL_INFO, "host-left-fleet",
                "fleet_host", name, "wave", jb_itoa ((int64_t)wave->number),
                NULL);
        g_hash_table_iter_remove (&iter);
      }
  (void)now;
}

static void
run_wave (struct jb_planner *planner, jb_time now, struct wave *wave,
          struct pool_table *table)
{
  uint32_t down;

  if (wave->completed || !wave->progress_loaded)
    return;
  remove_departed_hosts (planner, now, wave);
  report_wave (planner, now, wave);
  if (planner->complete_list_started_at <= planner->claimed_at)
    return;
  down = count_hosts_down (planner, now, wave);
  if (down >= wave->max_hosts_at_once || !jb_planner_knows_zones (planner))
    return;
  down += begin_maintenance_in_zones (planner, now, wave,
                                      wave->max_hosts_at_once - down);
  if (down < wave->max_hosts_at_once)
    begin_maintenance (planner, now, wave, table,
                       MIN (wave->max_hosts_at_once - down,
                            g_hash_table_size (wave->remaining_hosts)));
}

void
jb_planner_run_waves (struct jb_planner *planner, jb_time now)
{
  struct pool_table table;

  if (planner->waves->len == 0)
    return;
  collect_pools (planner, &table);
  for (guint i = 0; i < planner->waves->len; i++)
    run_wave (planner, now, g_ptr_array_index (planner->waves, i), &table);
  g_hash_table_destroy (table.indices);
  g_array_free (table.pools, TRUE);
}
