#include "jb_planner_internal.h"

#include <string.h>

/* Standing without confirmation, as of holders of pools.  */
#define STANDING (1800 * JB_MS)

/* A planner that has not written for so long asks whether it is still that. */
#define VERIFY_PERIOD (800 * JB_MS)

/* Between two lists of hosts: while something is away, and otherwise.  */
#define LIST_BUSY (250 * JB_MS)
#define LIST_CALM (2000 * JB_MS)

#define ASK_PERIOD (200 * JB_MS)

/* An answer that a host is empty counts so long after it was asked for: the
   holder keeps the host empty for longer.  */
#define EMPTY_VALID (700 * JB_MS)

/* A host that can't be emptied is left alone for a while.  */
#define CLEAR_PATIENCE (6000 * JB_MS)
#define RETRY_PAUSE (1500 * JB_MS)
#define BUSY_PAUSE (500 * JB_MS)

/* A host that is not back so long after its order is given up waiting for. */
#define AWAY_PATIENCE (15 * JB_SECOND)

#define ORDER_TIMEOUT_MS 1000
#define STORE_TIMEOUT_MS 1000
#define RUN_PERIOD (50 * JB_MS)

#define WAVE_TABLE "wave"

static void claimed (void *data, jb_time now, bool held);

static void
deposed (void *data, jb_time now)
{
  struct jb_planner *planner = data;

  (void)now;
  planner->over = true;
  planner->options.changed (planner->options.data);
}

static int
planner_destroy (struct jb_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  TALLOC_FREE (planner->ownership);
  for (guint i = 0; i < planner->waves->len; i++)
    {
      struct wave *wave = g_ptr_array_index (planner->waves, i);

      g_hash_table_destroy (wave->remaining_hosts);
      g_ptr_array_free (wave->maintained_hosts, TRUE);
    }
  g_hash_table_iter_init (&iter, planner->saved);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_free (value, TRUE);
  g_ptr_array_free (planner->waves, TRUE);
  g_hash_table_destroy (planner->saved);
  g_hash_table_destroy (planner->hosts);
  g_hash_table_destroy (planner->loads);
  g_hash_table_iter_init (&iter, planner->usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_destroy (((struct pool_quota *)value)->orgs);
  g_hash_table_destroy (planner->usages);
  return 0;
}

struct jb_planner *
jb_planner_new (TALLOC_CTX *mem, const struct jb_planner_options *options)
{
  struct jb_planner *planner = talloc_zero (mem, struct jb_planner);
  struct jb_ownership_options duty = { .driver = options->driver,
                                       .partition = JB_PLANNER_PARTITION,
                                       .owner = options->holder,
                                       .incarnation = options->incarnation,
                                       .on_claimed = claimed,
                                       .on_lost = deposed,
                                       .data = planner };

  planner->options = *options;
  planner->options.holder = talloc_strdup (planner, options->holder);
  planner->ownership = jb_ownership_new (planner, &duty);
  planner->hosts = g_hash_table_new (g_str_hash, g_str_equal);
  planner->loads = g_hash_table_new (g_str_hash, g_str_equal);
  planner->usages = g_hash_table_new (g_str_hash, g_str_equal);
  planner->saved = g_hash_table_new (g_int64_hash, g_int64_equal);
  planner->waves = g_ptr_array_new ();
  talloc_set_destructor (planner, planner_destroy);
  return planner;
}

void
jb_planner_claim (struct jb_planner *planner, jb_time now)
{
  jb_ownership_claim (planner->ownership, now);
}

bool
jb_planner_is_owner (const struct jb_planner *planner)
{
  return !planner->over
         && jb_ownership_state (planner->ownership) == JB_OWNERSHIP_HELD;
}

bool
jb_planner_has_ended (const struct jb_planner *planner)
{
  return planner->over;
}

uint64_t
jb_planner_fence (const struct jb_planner *planner)
{
  return jb_ownership_fence (planner->ownership);
}

static jb_time
standing_until (const struct jb_planner *planner)
{
  return MAX (planner->confirmed,
              jb_ownership_confirmed_at (planner->ownership))
         + STANDING;
}

void
jb_planner_confirm_ownership (struct jb_planner *planner, jb_time now,
                              jb_time heard)
{
  if (now < standing_until (planner))
    planner->confirmed = MAX (planner->confirmed, heard);
}

void
jb_planner_release (struct jb_planner *planner, jb_time now,
                    const char *reason)
{
  (void)now;
  jb_count_event (planner->options.driver, JB_COUNT_OWNERSHIP_RELEASED);
  jb_log (planner->options.driver, JB_LEVEL_INFO, "duty-released", "duty",
          JB_PLANNER_PARTITION, "reason", reason, NULL);
  planner->over = true;
  planner->options.changed (planner->options.data);
}

/* ---- taking over ---- */

static void
rows_read (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct jb_planner *planner = data;

  (void)sent;
  if (reply->result != JB_RESULT_OK)
    {
      jb_planner_release (planner, now, "its rows can't be read");
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (strcmp (reply->rows[i].key, JB_PLANNER_POOL_ROW_KEY) == 0)
      jb_planner_load_pool_row (planner, &reply->rows[i]);
    else
      jb_planner_load_wave_row (planner, &reply->rows[i]);
  planner->loaded = true;
  for (guint i = 0; i < planner->waves->len; i++)
    jb_planner_restore_wave (planner, g_ptr_array_index (planner->waves, i));
}

static void
claimed (void *data, jb_time now, bool held)
{
  struct jb_planner *planner = data;
  struct jb_command order
      = { .kind = JB_COMMAND_READ,
          .timeout_ms = STORE_TIMEOUT_MS,
          .u.read = { WAVE_TABLE, JB_PLANNER_PARTITION, NULL } };

  planner->over = !held;
  planner->claimed = now;
  if (held)
    {
      jb_count_event (planner->options.driver, JB_COUNT_STORE_READS);
      jb_driver_submit (planner->options.driver, planner->ownership, now,
                        &order, rows_read, planner);
    }
  planner->options.changed (planner->options.data);
}

bool
jb_planner_may_command (const struct jb_planner *planner, jb_time now)
{
  jb_time wait = jb_ownership_generation (planner->ownership) > 1
                         && !(planner->options.bounds->disabled_safeguards
                              & JB_SAFEGUARD_COMMAND_LEASE)
                     ? planner->options.bounds->command_lease_ms * JB_MS
                     : 0;

  /* Two holders must not take turns in a short time.  */
  return jb_planner_is_owner (planner) && planner->loaded
         && now >= planner->claimed + wait && now < standing_until (planner);
}

/* ---- the list of hosts ---- */

static void
set_text (TALLOC_CTX *mem, char **field, const char *text)
{
  if (g_strcmp0 (*field, text) == 0)
    return;
  talloc_free (*field);
  *field = talloc_strdup (mem, text);
}

static bool
is_standby (const struct jb_planner *planner, const char *pool)
{
  const struct jb_catalog *catalog = *planner->options.catalog;
  const struct jb_pool_settings *settings
      = catalog != NULL ? jb_catalog_find_pool (catalog, pool) : NULL;

  return settings != NULL && settings->standby;
}

/* Return whether HOST runs nothing because it is off.  */
static bool
is_off (const struct jb_planner *planner, const struct host *host)
{
  return host->instance == NULL && host->state == JB_HOST_UP
         && is_standby (planner, host->pool);
}

/* A host that was away is back: its backend server is another one.  */
static void
take_back (struct jb_planner *planner, jb_time now, struct host *host)
{
  if (host->step != STEP_AWAY || host->state != JB_HOST_UP)
    return;
  /* A host of a standby pool has no backend server.  */
  if (host->old_instance != NULL || !is_standby (planner, host->pool))
    if (host->instance == NULL
        || g_strcmp0 (host->instance, host->old_instance) == 0)
      return;
  jb_log (planner->options.driver, JB_LEVEL_INFO, "host-back", "fleet_host",
          host->name, "pool", host->pool, "backend",
          host->instance != NULL ? host->instance : "", "away_ms",
          jb_itoa ((now - host->since) / JB_MS), NULL);
  if (host->aim == PURPOSE_MOVE)
    host->moved_at = now;
  host->wave = NULL;
  host->aim = PURPOSE_NONE;
  host->step = STEP_IDLE;
}

static void
take_host (struct jb_planner *planner, jb_time now, jb_time sent,
           const struct jb_host_entry *entry)
{
  struct host *host = g_hash_table_lookup (planner->hosts, entry->host);

  if (host == NULL)
    {
      host = talloc_zero (planner, struct host);
      host->name = talloc_strdup (host, entry->host);
      g_hash_table_insert (planner->hosts, host->name, host);
    }
  host->listed_at = sent;
  /* An older list says nothing of an order given since.  */
  if (host->step >= STEP_ORDERED && host->since > sent)
    return;
  set_text (host, &host->pool, entry->pool);
  set_text (host, &host->instance, entry->instance);
  set_text (host, &host->rack, entry->rack);
  host->state = entry->state;
  take_back (planner, now, host);
}

static void
forget_unlisted (struct jb_planner *planner, jb_time sent)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct host *host = value;

      if (host->listed_at >= sent || host->step >= STEP_ORDERED)
        continue;
      g_hash_table_iter_remove (&iter);
      talloc_free (host);
    }
}

static void list_page (struct jb_planner *planner, jb_time now);

static void
hosts_listed (void *data, jb_time now, jb_time sent,
              const struct jb_reply *reply)
{
  struct jb_planner *planner = data;

  planner->listing = false;
  if (reply->result != JB_RESULT_OK)
    {
      TALLOC_FREE (planner->next_page);
      return;
    }
  if (planner->next_page == NULL)
    planner->list_sent = sent;
  for (uint32_t i = 0; i < reply->host_count; i++)
    take_host (planner, now, planner->list_sent, &reply->hosts[i]);
  set_text (planner, &planner->next_page, reply->next_page);
  if (planner->next_page != NULL)
    list_page (planner, now);
  else
    {
      planner->list_whole = planner->list_sent;
      forget_unlisted (planner, planner->list_sent);
    }
}

static void
list_page (struct jb_planner *planner, jb_time now)
{
  struct jb_command order = { .kind = JB_COMMAND_LIST_HOSTS,
                              .timeout_ms = ORDER_TIMEOUT_MS,
                              .u.read = { NULL, NULL, planner->next_page } };

  planner->listing = true;
  jb_driver_submit (planner->options.driver, planner->ownership, now, &order,
                    hosts_listed, planner);
}

static bool
any_away (const struct jb_planner *planner)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct host *)value)->step >= STEP_ORDERED)
      return true;
  return false;
}

static void
list_hosts (struct jb_planner *planner, jb_time now)
{
  if (planner->listing || now < planner->next_list)
    return;
  planner->next_list = now + (any_away (planner) ? LIST_BUSY : LIST_CALM);
  list_page (planner, now);
}

/* ---- orders ---- */

void
jb_planner_abandon_host (struct host *host, jb_time now, jb_time pause)
{
  host->aim = PURPOSE_NONE;
  host->step = STEP_IDLE;
  host->wave = NULL;
  host->retry_at = now + pause;
}

void
jb_planner_begin_evacuation (struct jb_planner *planner, jb_time now,
                             struct host *host, enum host_purpose aim)
{
  host->aim = aim;
  host->step = STEP_EVACUATING;
  host->since = now;
  host->asked = 0;
  host->empty_at = 0;
  jb_log (planner->options.driver, JB_LEVEL_INFO, "host-wanted", "fleet_host",
          host->name, "pool", host->pool, "backend",
          host->instance != NULL ? host->instance : "", "for",
          aim == PURPOSE_MOVE ? "move" : "maintenance", "to",
          aim == PURPOSE_MOVE ? host->target : NULL, NULL);
}

struct host_order
{
  struct jb_planner *planner;
  char *host;
};

static void
order_carried_out (struct jb_planner *planner, jb_time now, struct host *host)
{
  struct jb_msg_evacuate taken
      = { .pool = host->pool, .instance = host->instance, .taken = true };

  host->step = STEP_AWAY;
  host->since = now;
  set_text (host, &host->old_instance, host->instance);
  planner->next_list
      = now
        + (host->aim == PURPOSE_MOVE ? planner->options.bounds->host_move_ms
                                     : planner->options.bounds->maintenance_ms)
              * JB_MS
        + LIST_BUSY / 4;
  planner->options.coming (planner->options.data, now,
                           host->aim == PURPOSE_MOVE ? host->target
                                                     : host->pool);
  jb_count_event (planner->options.driver, host->aim == PURPOSE_MOVE
                                               ? JB_COUNT_HOST_MOVES
                                               : JB_COUNT_HOST_MAINTENANCE);
  jb_log (planner->options.driver, JB_LEVEL_INFO, "host-taken", "fleet_host",
          host->name, "pool", host->pool, "for",
          host->aim == PURPOSE_MOVE ? "move" : "maintenance", NULL);
  if (host->instance != NULL)
    planner->options.clear (planner->options.data, now, &taken);
  if (host->aim == PURPOSE_MAINTENANCE)
    jb_planner_record_maintained (planner, now, host);
}

static void
order_done (void *data, jb_time now, jb_time sent,
            const struct jb_reply *reply)
{
  struct host_order *order = data;
  struct jb_planner *planner = order->planner;
  struct host *host = g_hash_table_lookup (planner->hosts, order->host);

  (void)sent;
  talloc_free (order);
  if (host == NULL || host->step != STEP_ORDERED)
    return;
  if (reply->result == JB_RESULT_OK)
    {
      order_carried_out (planner, now, host);
      return;
    }
  jb_log (planner->options.driver, JB_LEVEL_WARN, "host-order-failed",
          "fleet_host", host->name, "result", jb_itoa (reply->result),
          "reason", jb_itoa (reply->refusal), NULL);
  if (reply->result == JB_RESULT_CONFLICT
      && reply->refusal == JB_REFUSAL_FENCED)
    jb_ownership_verify (planner->ownership, now);
  if (reply->result == JB_RESULT_UNKNOWN)
    /* It may have been carried out; the same order again tells.  */
    host->step = STEP_EVACUATING;
  else
    jb_planner_abandon_host (host, now, BUSY_PAUSE);
}

static void
give_order (struct jb_planner *planner, jb_time now, struct host *host)
{
  struct host_order *data
      = talloc_zero (planner->ownership, struct host_order);
  struct jb_command order
      = { .kind = host->aim == PURPOSE_MOVE ? JB_COMMAND_MOVE_HOST
                                            : JB_COMMAND_MAINTAIN_HOST,
          .timeout_ms = ORDER_TIMEOUT_MS,
          .u.host = { .host = host->name,
                      .target_pool = host->target,
                      .wave = host->wave != NULL ? host->wave->number : 0,
                      .owner = planner->options.holder,
                      .fence = jb_ownership_fence (planner->ownership) } };

  data->planner = planner;
  data->host = talloc_strdup (data, host->name);
  host->step = STEP_ORDERED;
  host->since = now;
  jb_driver_submit (planner->options.driver, planner->ownership, now, &order,
                    order_done, data);
}

void
jb_planner_handle_evacuate_status (
    struct jb_planner *planner, jb_time now,
    const struct jb_msg_evacuate_status *cleared)
{
  GHashTableIter iter;
  gpointer value;

  (void)now;
  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct host *host = value;

      if (host->step == STEP_EVACUATING
          && g_strcmp0 (host->instance, cleared->instance) == 0)
        host->empty_at = cleared->empty ? host->asked : 0;
    }
}

static void
run_host (struct jb_planner *planner, jb_time now, struct host *host)
{
  if (host->step == STEP_AWAY && now - host->since > AWAY_PATIENCE)
    jb_planner_abandon_host (host, now, RETRY_PAUSE);
  if (host->step != STEP_EVACUATING)
    return;
  if (is_off (planner, host))
    {
      if (jb_planner_may_command (planner, now))
        give_order (planner, now, host);
      return;
    }
  if (now - host->since > CLEAR_PATIENCE || host->state != JB_HOST_UP
      || host->instance == NULL)
    {
      jb_log (planner->options.driver, JB_LEVEL_INFO, "host-not-emptied",
              "fleet_host", host->name, "pool", host->pool, "ms",
              jb_itoa ((now - host->since) / JB_MS), NULL);
      jb_planner_abandon_host (host, now, RETRY_PAUSE);
      return;
    }
  if (host->empty_at != 0 && now - host->empty_at < EMPTY_VALID
      && jb_planner_may_command (planner, now))
    {
      give_order (planner, now, host);
      return;
    }
  if (now - host->asked >= ASK_PERIOD)
    {
      struct jb_msg_evacuate clear
          = { .pool = host->pool, .instance = host->instance };

      host->asked = now;
      host->empty_at = 0;
      planner->options.clear (planner->options.data, now, &clear);
    }
}

struct planner_pool *
jb_planner_get_pool (struct jb_planner *planner, const char *name)
{
  struct planner_pool *entry = g_hash_table_lookup (planner->loads, name);

  if (entry == NULL)
    {
      entry = talloc_zero (planner, struct planner_pool);
      entry->name = talloc_strdup (entry, name);
      g_hash_table_insert (planner->loads, entry->name, entry);
    }
  return entry;
}

void
jb_planner_set_unix_origin (struct jb_planner *planner, jb_time origin)
{
  planner->wall = origin;
}

void
jb_planner_handle_load (struct jb_planner *planner, jb_time now,
                        const struct jb_msg_load *load)
{
  struct planner_pool *entry = jb_planner_get_pool (planner, load->pool);

  entry->at = now;
  talloc_free (entry->load.idle);
  entry->load = *load;
  entry->load.pool = entry->name;
  entry->load.idle = talloc_array (entry, char *, load->idle_count + 1);
  for (uint32_t i = 0; i < load->idle_count; i++)
    entry->load.idle[i] = talloc_strdup (entry->load.idle, load->idle[i]);
}

jb_time
jb_planner_run (struct jb_planner *planner, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  if (!jb_planner_is_owner (planner) || !planner->loaded)
    return JB_NEVER;
  jb_ownership_run (planner->ownership, now);
  if (now - jb_ownership_confirmed_at (planner->ownership) > VERIFY_PERIOD)
    jb_ownership_verify (planner->ownership, now);
  list_hosts (planner, now);
  jb_planner_run_quotas (planner, now);
  jb_planner_run_waves (planner, now);
  jb_planner_run_rebalance (planner, now);
  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    run_host (planner, now, value);
  return now + RUN_PERIOD;
}
