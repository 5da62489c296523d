/* The planner: claims its partition, keeps the list of the hosts of the fleet,
   and takes hosts out of their pools for moves and maintenance.  */

#include "jb_planner_internal.h"

#include <string.h>

/* The ownership is valid for this long after its last confirmation, like that
   of a pool.  */
#define OWNERSHIP_VALIDITY (1800 * JB_MS)

/* A planner whose ownership the store has not confirmed for this long asks the
   store to confirm it.  */
#define OWNERSHIP_VERIFY_AFTER (800 * JB_MS)

/* Time between two lists of the hosts: while a host is expected to return, and
   otherwise.  */
#define HOST_LIST_INTERVAL_AWAY (250 * JB_MS)
#define HOST_LIST_INTERVAL (2000 * JB_MS)

/* A host is listed as having returned this long after it should have.  */
#define RETURN_MARGIN (60 * JB_MS)

/* Time between two requests to a pool's owner to evacuate a host.  */
#define EVACUATION_REQUEST_INTERVAL (200 * JB_MS)

/* A reply that a host is empty is valid for this long after the request was
   sent.  The pool's owner starts nothing on the host for longer than that.  */
#define EMPTY_ANSWER_VALIDITY (700 * JB_MS)

/* An evacuation that takes longer than this is given up.  */
#define MAX_EVACUATION_TIME (6000 * JB_MS)

/* Delay before a host is chosen again: after its evacuation was given up, and
   after a command to it failed.  */
#define EVACUATION_RETRY_DELAY (1500 * JB_MS)
#define COMMAND_RETRY_DELAY (500 * JB_MS)

/* The planner stops waiting for a host that has not returned this long after
   the command.  */
#define MAX_AWAY_TIME (15 * JB_SECOND)

/* A host that is up with the same backend server so long after its maintenance
   was confirmed has not been taken down.  */
#define MIN_DOWN_TIME (250 * JB_MS)

#define COMMAND_TIMEOUT_MS 1000 /* of a command to a host, and of a list */
#define STORE_TIMEOUT_MS 1000   /* of a call to the store */

/* Time between two runs of the planner.  */
#define POLL_INTERVAL (50 * JB_MS)

static void handle_claim_result (void *data, jb_time now, bool held);

static void
handle_ownership_lost (void *data, jb_time now)
{
  struct jb_planner *planner = data;

  (void)now;
  planner->has_ended = true;
  planner->options.state_changed (planner->options.data);
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
  g_hash_table_iter_init (&iter, planner->saved_waves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_free (value, TRUE);
  g_ptr_array_free (planner->waves, TRUE);
  g_hash_table_destroy (planner->saved_waves);
  g_hash_table_destroy (planner->hosts);
  g_hash_table_iter_init (&iter, planner->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_destroy (((struct planner_pool *)value)->idle_instances);
  g_hash_table_destroy (planner->pools);
  g_hash_table_iter_init (&iter, planner->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_destroy (((struct pool_quota *)value)->orgs);
  g_hash_table_destroy (planner->quotas);
  return 0;
}

struct jb_planner *
jb_planner_new (TALLOC_CTX *mem, const struct jb_planner_options *options)
{
  struct jb_planner *planner = talloc_zero (mem, struct jb_planner);
  struct jb_ownership_options ownership
      = { .driver = options->driver,
          .partition = JB_PLANNER_PARTITION,
          .owner = options->owner,
          .incarnation = options->incarnation,
          .on_claimed = handle_claim_result,
          .on_lost = handle_ownership_lost,
          .data = planner };

  planner->options = *options;
  planner->options.owner = talloc_strdup (planner, options->owner);
  planner->ownership = jb_ownership_new (planner, &ownership);
  planner->hosts = g_hash_table_new (g_str_hash, g_str_equal);
  planner->commanded = jb_commanded_new (planner);
  planner->pools = g_hash_table_new (g_str_hash, g_str_equal);
  planner->quotas = g_hash_table_new (g_str_hash, g_str_equal);
  planner->saved_waves = g_hash_table_new (g_int64_hash, g_int64_equal);
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
  return !planner->has_ended
         && jb_ownership_state (planner->ownership) == JB_OWNERSHIP_HELD;
}

bool
jb_planner_has_ended (const struct jb_planner *planner)
{
  return planner->has_ended;
}

uint64_t
jb_planner_fence (const struct jb_planner *planner)
{
  return jb_ownership_fence (planner->ownership);
}

static jb_time
ownership_valid_until (const struct jb_planner *planner)
{
  return MAX (planner->unclaimed_until,
              jb_ownership_confirmed_at (planner->ownership))
         + OWNERSHIP_VALIDITY;
}

void
jb_planner_confirm_ownership (struct jb_planner *planner, jb_time now,
                              jb_time unclaimed_until)
{
  if (now < ownership_valid_until (planner))
    planner->unclaimed_until = MAX (planner->unclaimed_until, unclaimed_until);
}

void
jb_planner_release (struct jb_planner *planner, jb_time now,
                    const char *reason)
{
  (void)now;
  jb_count_event (planner->options.driver, JB_COUNT_OWNERSHIP_RELEASED);
  jb_log (planner->options.driver, JB_LEVEL_INFO, "duty-released", "duty",
          JB_PLANNER_PARTITION, "reason", reason, NULL);
  planner->has_ended = true;
  planner->options.state_changed (planner->options.data);
}

/* ---- takeover ---- */

static void read_rows (struct jb_planner *planner, jb_time now,
                       const char *table, const char *first_key);

/* All rows have been read: continue where the predecessor ended.  */
static void
begin_planning (struct jb_planner *planner, jb_time now)
{
  const struct jb_bounds *bounds = planner->options.bounds;
  struct jb_commanded_options options
      = { .claimed_at = planner->claimed_at,
          .generation = jb_ownership_generation (planner->ownership),
          .lease = bounds->disabled_safeguards & JB_SAFEGUARD_COMMAND_LEASE
                       ? 0
                       : bounds->command_lease_ms * JB_MS,
          .predecessor_validity = OWNERSHIP_VALIDITY };

  jb_commanded_begin (planner->commanded, &options);
  planner->rows_loaded = true;
  for (uint32_t i = 0; i < jb_commanded_count_inherited (planner->commanded);
       i++)
    jb_count_event (planner->options.driver, JB_COUNT_COMMANDED_INHERITED);
  jb_log (planner->options.driver,
          jb_commanded_is_known (planner->commanded) ? JB_LEVEL_INFO
                                                     : JB_LEVEL_WARN,
          "planner-started", "commanded_hosts",
          jb_itoa (jb_commanded_count_inherited (planner->commanded)),
          "others_wait_ms",
          jb_itoa ((jb_commanded_others_usable_from (planner->commanded)
                    - planner->claimed_at)
                   / JB_MS),
          "read_ms", jb_itoa ((now - planner->claimed_at) / JB_MS), NULL);
  for (guint i = 0; i < planner->waves->len; i++)
    jb_planner_restore_wave (planner, g_ptr_array_index (planner->waves, i));
}

static void
rows_read (void *data, jb_time now, jb_time sent_at,
           const struct jb_reply *reply)
{
  struct jb_planner *planner = data;

  (void)sent_at;
  if (reply->result != JB_RESULT_OK)
    {
      jb_planner_release (planner, now, "the planner's rows can't be read");
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (strcmp (reply->rows[i].key, JB_PLANNER_POOL_ROW_KEY) == 0)
      jb_planner_load_pool_row (planner, &reply->rows[i]);
    else
      jb_planner_load_wave_row (planner, &reply->rows[i]);
  if (reply->next_page != NULL)
    read_rows (planner, now, JB_PLANNER_TABLE, reply->next_page);
  else
    read_rows (planner, now, JB_COMMANDED_TABLE, NULL);
}

static void
commanded_rows_read (void *data, jb_time now, jb_time sent_at,
                     const struct jb_reply *reply)
{
  struct jb_planner *planner = data;

  (void)sent_at;
  if (reply->result != JB_RESULT_OK)
    {
      jb_planner_release (planner, now, "the planner's rows can't be read");
      return;
    }
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (!jb_commanded_load_row (planner->commanded, &reply->rows[i]))
      jb_log (planner->options.driver, JB_LEVEL_ERROR, "row-unreadable",
              "table", JB_COMMANDED_TABLE, "key", reply->rows[i].key, NULL);
  if (reply->next_page != NULL)
    read_rows (planner, now, JB_COMMANDED_TABLE, reply->next_page);
  else
    begin_planning (planner, now);
}

/* Read the rows of TABLE, one of the planner's two, from FIRST_KEY on, or all
   of them if it is NULL.  */
static void
read_rows (struct jb_planner *planner, jb_time now, const char *table,
           const char *first_key)
{
  struct jb_command command
      = { .kind = JB_COMMAND_READ,
          .timeout_ms = STORE_TIMEOUT_MS,
          .u.read = { table, JB_PLANNER_PARTITION, first_key } };

  jb_count_event (planner->options.driver, JB_COUNT_STORE_READS);
  jb_driver_submit (planner->options.driver, planner->ownership, now, &command,
                    strcmp (table, JB_COMMANDED_TABLE) == 0
                        ? commanded_rows_read
                        : rows_read,
                    planner);
}

static void
handle_claim_result (void *data, jb_time now, bool held)
{
  struct jb_planner *planner = data;

  planner->has_ended = !held;
  planner->claimed_at = now;
  if (held)
    {
      jb_planner_check_predecessor (planner, now);
      read_rows (planner, now, JB_PLANNER_TABLE, NULL);
    }
  planner->options.state_changed (planner->options.data);
}

bool
jb_planner_may_command (const struct jb_planner *planner, jb_time now)
{
  return jb_planner_is_owner (planner) && planner->rows_loaded
         && now >= jb_commanded_others_usable_from (planner->commanded)
         && now < ownership_valid_until (planner);
}

bool
jb_planner_is_usable (const struct jb_planner *planner, jb_time now,
                      const struct fleet_host *host, enum host_purpose purpose)
{
  return planner->rows_loaded
         && now >= jb_commanded_usable_from (planner->commanded, host->name,
                                             purpose == PURPOSE_MAINTENANCE);
}

/* Return whether a command may be sent to HOST now: a successor would wait for
   it.  */
static bool
may_command_host (const struct jb_planner *planner, jb_time now,
                  const struct fleet_host *host)
{
  return jb_planner_may_command (planner, now)
         && jb_planner_is_usable (planner, now, host, host->purpose)
         && (jb_commanded_is_committed (planner->commanded, host->name)
             || (planner->options.bounds->disabled_safeguards
                 & JB_SAFEGUARD_COMMANDED_ROWS));
}

/* ---- the list of hosts ---- */

static void
replace_string (TALLOC_CTX *mem, char **field, const char *value)
{
  if (g_strcmp0 (*field, value) == 0)
    return;
  talloc_free (*field);
  *field = talloc_strdup (mem, value);
}

bool
jb_planner_is_standby (const struct jb_planner *planner, const char *pool)
{
  const struct jb_catalog *catalog = *planner->options.catalog;
  const struct jb_pool_settings *settings
      = catalog != NULL ? jb_catalog_find_pool (catalog, pool) : NULL;

  return settings != NULL && settings->standby;
}

/* Return whether HOST is switched off in a standby pool, and so runs
   nothing.  */
static bool
is_off (const struct jb_planner *planner, const struct fleet_host *host)
{
  return host->instance == NULL && host->state == JB_HOST_UP
         && jb_planner_is_standby (planner, host->pool);
}

/* Return whether the list requested at SENT_AT shows that the maintenance of
   HOST, whose command was confirmed, had been done before, for a former
   planner that did not record it: the same backend server is up.  */
static bool
was_maintained_before (const struct fleet_host *host, jb_time sent_at)
{
  return host->purpose == PURPOSE_MAINTENANCE && host->instance != NULL
         && sent_at - host->phase_started_at > MIN_DOWN_TIME;
}

/* End the move or maintenance of HOST, listed in a list requested at SENT_AT,
   if it has returned: it is up, and its backend server is another instance
   than when the command was executed, or nothing was left to be done.  */
static void
handle_return (struct jb_planner *planner, jb_time now, jb_time sent_at,
               struct fleet_host *host)
{
  if (host->phase != PHASE_AWAY || host->state != JB_HOST_UP)
    return;
  /* A host that was switched off when it was commanded, and is in a standby
     pool, has no backend server to wait for.  */
  if (host->instance_at_command != NULL
      || !jb_planner_is_standby (planner, host->pool))
    if (host->instance == NULL
        || (g_strcmp0 (host->instance, host->instance_at_command) == 0
            && !was_maintained_before (host, sent_at)))
      return;
  jb_log (planner->options.driver, JB_LEVEL_INFO, "host-returned",
          "fleet_host", host->name, "pool", host->pool, "backend",
          host->instance != NULL ? host->instance : "", "away_ms",
          jb_itoa ((now - host->phase_started_at) / JB_MS), NULL);
  if (host->purpose == PURPOSE_MOVE)
    host->moved_at = now;
  jb_commanded_release_host (planner->commanded, host->name);
  host->wave = NULL;
  host->purpose = PURPOSE_NONE;
  host->phase = PHASE_NONE;
}

/* Update the host of ENTRY, which is from a list requested at SENT_AT.  Add
   the host if it is new.  */
static void
update_host (struct jb_planner *planner, jb_time now, jb_time sent_at,
             const struct jb_host_entry *entry)
{
  struct fleet_host *host = g_hash_table_lookup (planner->hosts, entry->host);

  if (host == NULL)
    {
      host = talloc_zero (planner, struct fleet_host);
      host->name = talloc_strdup (host, entry->host);
      g_hash_table_insert (planner->hosts, host->name, host);
    }
  host->listed_at = sent_at;
  /* Ignore what a list says that was requested before the last command: it
     does not show the effect of the command.  */
  if (host->phase >= PHASE_COMMANDED && host->phase_started_at > sent_at)
    return;
  replace_string (host, &host->pool, entry->pool);
  replace_string (host, &host->instance, entry->instance);
  replace_string (host, &host->rack, entry->rack);
  replace_string (host, &host->zone, entry->zone);
  host->state = entry->state;
  handle_return (planner, now, sent_at, host);
}

/* Remove the hosts that a complete list, requested at SENT_AT, does not
   contain, unless a command to them was sent or executed.  */
static void
remove_unlisted_hosts (struct jb_planner *planner, jb_time sent_at)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fleet_host *host = value;

      if (host->listed_at >= sent_at || host->phase >= PHASE_COMMANDED)
        continue;
      g_hash_table_iter_remove (&iter);
      talloc_free (host);
    }
}

static void list_page (struct jb_planner *planner, jb_time now);

static void
hosts_listed (void *data, jb_time now, jb_time sent_at,
              const struct jb_reply *reply)
{
  struct jb_planner *planner = data;

  planner->list_in_flight = false;
  if (reply->result != JB_RESULT_OK)
    {
      TALLOC_FREE (planner->next_page);
      return;
    }
  if (planner->next_page == NULL)
    planner->list_started_at = sent_at;
  for (uint32_t i = 0; i < reply->host_count; i++)
    update_host (planner, now, planner->list_started_at, &reply->hosts[i]);
  replace_string (planner, &planner->next_page, reply->next_page);
  if (planner->next_page != NULL)
    list_page (planner, now);
  else
    {
      planner->complete_list_started_at = planner->list_started_at;
      remove_unlisted_hosts (planner, planner->list_started_at);
    }
}

static void
list_page (struct jb_planner *planner, jb_time now)
{
  struct jb_command command = { .kind = JB_COMMAND_LIST_HOSTS,
                                .timeout_ms = COMMAND_TIMEOUT_MS,
                                .u.read = { NULL, NULL, planner->next_page } };

  planner->list_in_flight = true;
  jb_driver_submit (planner->options.driver, planner->ownership, now, &command,
                    hosts_listed, planner);
}

/* Return when HOST, whose command is in flight or executed, is expected to be
   listed as having returned.  */
static jb_time
expected_return (const struct jb_planner *planner,
                 const struct fleet_host *host)
{
  const struct jb_bounds *bounds = planner->options.bounds;

  return host->phase_started_at
         + (host->purpose == PURPOSE_MOVE ? bounds->host_move_ms
                                          : bounds->maintenance_ms)
               * JB_MS
         + RETURN_MARGIN;
}

/* Return when the next list of the hosts is due.  */
static jb_time
host_list_due_at (const struct jb_planner *planner)
{
  jb_time earliest = planner->list_requested_at + HOST_LIST_INTERVAL_AWAY;
  jb_time due = planner->list_requested_at + HOST_LIST_INTERVAL;
  GHashTableIter iter;
  gpointer value;

  if (planner->list_requested_at == 0)
    return 0;
  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct fleet_host *)value)->phase >= PHASE_COMMANDED)
      due = MIN (due, MAX (earliest, expected_return (planner, value)));
  return due;
}

static void
list_hosts (struct jb_planner *planner, jb_time now)
{
  if (planner->list_in_flight || now < host_list_due_at (planner))
    return;
  planner->list_requested_at = now;
  list_page (planner, now);
}

/* ---- commands to hosts ---- */

void
jb_planner_abandon_host (struct jb_planner *planner, jb_time now,
                         struct fleet_host *host, jb_time delay)
{
  jb_commanded_release_host (planner->commanded, host->name);
  host->purpose = PURPOSE_NONE;
  host->phase = PHASE_NONE;
  host->wave = NULL;
  host->retry_at = now + delay;
}

void
jb_planner_begin_evacuation (struct jb_planner *planner, jb_time now,
                             struct fleet_host *host,
                             enum host_purpose purpose)
{
  host->purpose = purpose;
  host->phase = PHASE_EVACUATING;
  host->phase_started_at = now;
  host->command_unanswered = false;
  host->evacuation_requested_at = 0;
  host->empty_as_of = 0;
  if (!(planner->options.bounds->disabled_safeguards
        & JB_SAFEGUARD_COMMANDED_ROWS))
    jb_commanded_name_host (planner->commanded, host->name,
                            purpose == PURPOSE_MAINTENANCE);
  jb_log (planner->options.driver, JB_LEVEL_INFO, "host-evacuation-started",
          "fleet_host", host->name, "pool", host->pool, "backend",
          host->instance != NULL ? host->instance : "", "for",
          purpose == PURPOSE_MOVE ? "move" : "maintenance", "to",
          purpose == PURPOSE_MOVE ? host->target_pool : NULL, NULL);
}

/* A command to a host that is in flight.  */
struct host_command
{
  struct jb_planner *planner;
  char *host;
};

/* The command to HOST was executed: wait for its return, and tell the owners
   of the pools concerned.  */
static void
host_command_executed (struct jb_planner *planner, jb_time now,
                       struct fleet_host *host)
{
  struct jb_msg_evacuate removal = { .pool = host->pool,
                                     .instance = host->instance,
                                     .host_removed = true };

  /* Until the host has returned, nothing more is sent to it.  */
  jb_commanded_release_host (planner->commanded, host->name);
  host->phase = PHASE_AWAY;
  host->phase_started_at = now;
  replace_string (host, &host->instance_at_command, host->instance);
  planner->options.notify_arrival (
      planner->options.data, now,
      host->purpose == PURPOSE_MOVE ? host->target_pool : host->pool);
  jb_count_event (planner->options.driver, host->purpose == PURPOSE_MOVE
                                               ? JB_COUNT_HOST_MOVES
                                               : JB_COUNT_HOST_MAINTENANCE);
  jb_log (planner->options.driver, JB_LEVEL_INFO, "host-taken-out",
          "fleet_host", host->name, "pool", host->pool, "for",
          host->purpose == PURPOSE_MOVE ? "move" : "maintenance", NULL);
  if (host->instance != NULL)
    planner->options.request_evacuation (planner->options.data, now, &removal);
  if (host->purpose == PURPOSE_MAINTENANCE)
    jb_planner_record_maintained (planner, now, host);
}

static void
host_command_replied (void *data, jb_time now, jb_time sent_at,
                      const struct jb_reply *reply)
{
  struct host_command *command = data;
  struct jb_planner *planner = command->planner;
  struct fleet_host *host
      = g_hash_table_lookup (planner->hosts, command->host);

  (void)sent_at;
  jb_commanded_record_answer (planner->commanded, now, command->host,
                              reply->result == JB_RESULT_UNKNOWN);
  talloc_free (command);
  if (host == NULL || host->phase != PHASE_COMMANDED)
    return;
  if (reply->result == JB_RESULT_OK)
    {
      host_command_executed (planner, now, host);
      return;
    }
  jb_log (planner->options.driver, JB_LEVEL_WARN, "host-command-failed",
          "fleet_host", host->name, "result", jb_itoa (reply->result),
          "reason", jb_itoa (reply->refusal), NULL);
  if (reply->result == JB_RESULT_CONFLICT
      && reply->refusal == JB_REFUSAL_FENCED)
    jb_ownership_verify (planner->ownership, now);
  if (reply->result == JB_RESULT_UNKNOWN)
    {
      /* The command may have been executed.  Send it again, unchanged, to find
         out.  */
      host->phase = PHASE_EVACUATING;
      host->command_unanswered = true;
    }
  else
    jb_planner_abandon_host (planner, now, host, COMMAND_RETRY_DELAY);
}

static void
send_host_command (struct jb_planner *planner, jb_time now,
                   struct fleet_host *host)
{
  struct host_command *data
      = talloc_zero (planner->ownership, struct host_command);
  struct jb_command command
      = { .kind = host->purpose == PURPOSE_MOVE ? JB_COMMAND_MOVE_HOST
                                                : JB_COMMAND_MAINTAIN_HOST,
          .timeout_ms = COMMAND_TIMEOUT_MS,
          .u.host = { .host = host->name,
                      .target_pool = host->target_pool,
                      .wave = host->wave != NULL ? host->wave->number : 0,
                      .owner = planner->options.owner,
                      .fence = jb_ownership_fence (planner->ownership) } };

  data->planner = planner;
  data->host = talloc_strdup (data, host->name);
  host->phase = PHASE_COMMANDED;
  host->phase_started_at = now;
  if (planner->first_command_at == 0)
    {
      planner->first_command_at = now;
      jb_observe_latency (planner->options.driver, JB_HIST_PLANNER_TAKEOVER,
                          now - planner->claimed_at);
      jb_log (planner->options.driver, JB_LEVEL_INFO, "planner-first-command",
              "fleet_host", host->name, "ms_since_claim",
              jb_itoa ((now - planner->claimed_at) / JB_MS), NULL);
    }
  jb_commanded_record_sent (planner->commanded, now, host->name);
  jb_driver_submit (planner->options.driver, planner->ownership, now, &command,
                    host_command_replied, data);
}

void
jb_planner_handle_evacuate_status (struct jb_planner *planner, jb_time now,
                                   const struct jb_msg_evacuate_status *status)
{
  GHashTableIter iter;
  gpointer value;

  (void)now;
  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fleet_host *host = value;

      if (host->phase == PHASE_EVACUATING
          && g_strcmp0 (host->instance, status->instance) == 0)
        host->empty_as_of = status->empty ? host->evacuation_requested_at : 0;
    }
}

/* Do what is due for HOST: ask the owner of its pool to evacuate it, and send
   the command when it is empty.  */
static void
run_host (struct jb_planner *planner, jb_time now, struct fleet_host *host)
{
  if (host->phase == PHASE_AWAY
      && now - host->phase_started_at > MAX_AWAY_TIME)
    jb_planner_abandon_host (planner, now, host, EVACUATION_RETRY_DELAY);
  if (host->phase != PHASE_EVACUATING)
    return;
  /* Nothing runs on a host that is off, or that is not up after a command to
     it was not answered, so there is nothing to evacuate.  */
  if (is_off (planner, host)
      || (host->command_unanswered && host->state != JB_HOST_UP))
    {
      if (may_command_host (planner, now, host))
        send_host_command (planner, now, host);
      return;
    }
  if (now - host->phase_started_at > MAX_EVACUATION_TIME
      || host->state != JB_HOST_UP || host->instance == NULL)
    {
      jb_log (planner->options.driver, JB_LEVEL_INFO, "host-evacuation-failed",
              "fleet_host", host->name, "pool", host->pool, "ms",
              jb_itoa ((now - host->phase_started_at) / JB_MS), NULL);
      jb_planner_abandon_host (planner, now, host, EVACUATION_RETRY_DELAY);
      return;
    }
  if (host->empty_as_of != 0 && now - host->empty_as_of < EMPTY_ANSWER_VALIDITY
      && may_command_host (planner, now, host))
    {
      send_host_command (planner, now, host);
      return;
    }
  if (now - host->evacuation_requested_at >= EVACUATION_REQUEST_INTERVAL)
    {
      struct jb_msg_evacuate evacuate
          = { .pool = host->pool, .instance = host->instance };

      host->evacuation_requested_at = now;
      host->empty_as_of = 0;
      planner->options.request_evacuation (planner->options.data, now,
                                           &evacuate);
    }
}

/* ---- names of commanded hosts ---- */

/* A write of names that is in flight.  */
struct name_write
{
  struct jb_planner *planner;
  uint64_t number;
};

static void
names_written (void *data, jb_time now)
{
  struct name_write *write = data;

  (void)now;
  jb_commanded_handle_commit (write->planner->commanded, write->number);
  talloc_free (write);
}

/* Store the names of the hosts that may be commanded, if that is due.  */
static void
write_commanded_hosts (struct jb_planner *planner, jb_time now)
{
  TALLOC_CTX *scratch;
  struct jb_commanded_rows rows;
  struct name_write *write;
  uint32_t set = 0;
  uint32_t removed = 0;

  if (jb_ownership_state (planner->ownership) != JB_OWNERSHIP_HELD
      || !jb_commanded_is_write_due (planner->commanded, now))
    return;
  scratch = talloc_new (NULL);
  rows = jb_commanded_take_rows (planner->commanded, scratch, now);
  for (uint32_t i = 0; i < rows.set_count; i++)
    rows.set[i].partition = JB_PLANNER_PARTITION;
  for (uint32_t i = 0; i < rows.removed_count; i++)
    rows.removed[i].partition = JB_PLANNER_PARTITION;
  write = talloc_zero (planner->ownership, struct name_write);
  write->planner = planner;
  write->number = rows.write;
  jb_count_event (planner->options.driver, JB_COUNT_COMMANDED_WRITES);
  do
    {
      uint32_t set_count
          = MIN (rows.set_count - set, JB_OWNERSHIP_MAX_WRITE_ROWS);
      uint32_t removed_count = MIN (rows.removed_count - removed,
                                    JB_OWNERSHIP_MAX_WRITE_ROWS - set_count);
      bool last = set + set_count == rows.set_count
                  && removed + removed_count == rows.removed_count;

      jb_ownership_write (planner->ownership, now, rows.set + set, set_count,
                          rows.removed + removed, removed_count,
                          last ? names_written : NULL, write);
      set += set_count;
      removed += removed_count;
    }
  while (set < rows.set_count || removed < rows.removed_count);
  talloc_free (scratch);
}

struct planner_pool *
jb_planner_get_or_add_pool (struct jb_planner *planner, const char *name)
{
  struct planner_pool *pool = g_hash_table_lookup (planner->pools, name);

  if (pool == NULL)
    {
      pool = talloc_zero (planner, struct planner_pool);
      pool->name = talloc_strdup (pool, name);
      pool->idle_instances
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (planner->pools, pool->name, pool);
    }
  return pool;
}

void
jb_planner_set_unix_origin (struct jb_planner *planner, jb_time unix_origin)
{
  planner->unix_origin = unix_origin;
}

void
jb_planner_handle_load (struct jb_planner *planner, jb_time now,
                        const struct jb_msg_load *load)
{
  struct planner_pool *pool = jb_planner_get_or_add_pool (planner, load->pool);

  if (load->waiting_cpu_milli == 0)
    pool->waiting_since = 0;
  else if (pool->waiting_since == 0)
    pool->waiting_since = now;
  pool->load_received_at = now;
  pool->load = *load;
  pool->load.pool = pool->name;
  pool->load.idle_instances = NULL;
  g_hash_table_remove_all (pool->idle_instances);
  for (uint32_t i = 0; i < load->idle_instance_count; i++)
    g_hash_table_add (pool->idle_instances,
                      g_strdup (load->idle_instances[i]));
}

bool
jb_planner_is_idle (const struct jb_planner *planner,
                    const struct fleet_host *host)
{
  const struct planner_pool *pool
      = g_hash_table_lookup (planner->pools, host->pool);

  return pool != NULL && host->instance != NULL
         && g_hash_table_contains (pool->idle_instances, host->instance);
}

jb_time
jb_planner_run (struct jb_planner *planner, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  if (!jb_planner_is_owner (planner) || !planner->rows_loaded)
    return JB_NEVER;
  jb_ownership_run (planner->ownership, now);
  if (now - jb_ownership_confirmed_at (planner->ownership)
      > OWNERSHIP_VERIFY_AFTER)
    jb_ownership_verify (planner->ownership, now);
  list_hosts (planner, now);
  jb_planner_run_quotas (planner, now);
  /* Moves first: the hosts that a surge needs must not be maintained now.  */
  jb_planner_run_rebalance (planner, now);
  jb_planner_run_waves (planner, now);
  /* One write names all hosts whose evacuation has begun above.  It is sent
     before the requests to evacuate them, and takes no longer.  */
  write_commanded_hosts (planner, now);
  g_hash_table_iter_init (&iter, planner->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    run_host (planner, now, value);
  return now + POLL_INTERVAL;
}
