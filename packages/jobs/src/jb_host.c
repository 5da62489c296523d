#include "jb_host_internal.h"

#include <string.h>

/* A look at what operators wrote waits so long for a change.  Shorter than a
   configuration may take to be in force, since the connection may have gone
   silent.  */
#define WATCH_WAIT_MS 1200
#define WATCH_TIMEOUT_MS 500      /* more than the wait */
#define WATCH_PAUSE (150 * JB_MS) /* after a failure */

/* Between two lists of backend servers, while a pool is held.  */
#define LIST_PERIOD (1000 * JB_MS)
#define LIST_TIMEOUT_MS 800

/* Between two lists while a host is on its way to a pool.  */
#define LIST_OFTEN (250 * JB_MS)

/* Between two looks at who holds what.  */
#define ELECT_PERIOD (50 * JB_MS)
#define CLAIM_PAUSE (300 * JB_MS)

/* A holder whose writes have failed for so long gives up, if another host
   reaches the store.  */
#define STORE_PATIENCE (500 * JB_MS)

/* Something is asked of the store more often than this.  */
#define STORE_SILENCE (2500 * JB_MS)

/* Others have been answered while this host was not for so long: the store is
   not just back.  */
#define RETURN_PATIENCE (900 * JB_MS)

/* A member that still has an older configuration so long after this host got
   a newer one is sent it.  */
#define CATALOG_PATIENCE (400 * JB_MS)

struct pool_slot *
jb_host_find_slot (const struct jb_host *host, const char *name)
{
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);

      if (strcmp (held->name, name) == 0)
        return held;
    }
  return NULL;
}

bool
jb_host_slot_is_owned (const struct pool_slot *held)
{
  return held->pool != NULL && !jb_pool_has_ended (held->pool)
         && jb_pool_ownership_state (held->pool) == JB_OWNERSHIP_HELD;
}

/* ---- requests and replies ---- */

static bool
holds (void *data, const char *name)
{
  struct pool_slot *held = jb_host_find_slot (data, name);

  return held != NULL && jb_host_slot_is_owned (held);
}

static void
take_request (struct jb_host *host, jb_time now, uint64_t from,
              const struct jb_msg_request *request)
{
  struct pool_slot *held = jb_host_find_slot (host, request->pool);
  struct jb_msg reply
      = { .type = JB_MSG_REPLY,
          .u.reply = { .call = request->call, .kind = JB_MSG_NOT_OWNER } };
  struct ba_bytes bytes;

  if (held != NULL && jb_host_slot_is_owned (held))
    {
      jb_pool_handle_request (held->pool, now, from, request);
      return;
    }
  if (from == host->options.incarnation)
    return;
  bytes = jb_msg_encode (NULL, &reply);
  jb_driver_send (host->driver, from, bytes);
  talloc_free (bytes.data);
}

static void
take_own_request (void *data, jb_time now,
                  const struct jb_msg_request *request)
{
  struct jb_host *host = data;

  take_request (host, now, host->options.incarnation, request);
}

static void
send_reply (void *data, uint64_t member, const struct jb_msg_reply *reply)
{
  struct jb_host *host = data;
  struct jb_msg message = { .type = JB_MSG_REPLY, .u.reply = *reply };
  struct ba_bytes bytes;

  if (member == host->options.incarnation)
    {
      jb_frontend_receive_reply (host->entry, host->now, reply);
      return;
    }
  bytes = jb_msg_encode (NULL, &message);
  jb_driver_send (host->driver, member, bytes);
  talloc_free (bytes.data);
}

static void
pool_changed (void *data, struct jb_pool *pool)
{
  struct jb_host *host = data;

  host->beat_due = true;
  if (!jb_pool_has_ended (pool))
    host->next_list = 0;
}

/* ---- configuration ---- */

static void
take_catalog (struct jb_host *host, jb_time now, struct jb_catalog *catalog,
              const char *from)
{
  if (host->catalog != NULL && catalog->version <= host->catalog->version)
    return;
  jb_log (host->driver, JB_LEVEL_INFO, "configuration-taken", "version",
          jb_itoa ((int64_t)catalog->version), "before",
          host->catalog != NULL ? jb_itoa ((int64_t)host->catalog->version)
                                : NULL,
          "from", from, "queues", jb_itoa (catalog->queue_count), NULL);
  jb_catalog_index_keys (catalog);
  talloc_free ((void *)host->catalog);
  host->catalog = talloc_steal (host, catalog);
  host->catalog_since = now;
  host->beat_due = true;
  for (uint32_t i = 0; i < catalog->pool_count; i++)
    if (jb_host_find_slot (host, catalog->pools[i].name) == NULL)
      {
        struct pool_slot *held = talloc_zero (host, struct pool_slot);

        held->name = talloc_strdup (held, catalog->pools[i].name);
        g_ptr_array_add (host->pools, held);
      }
}

static void
take_wave (struct jb_host *host, jb_time now,
           const struct jb_wave_entry *entry)
{
  struct requested_wave *wave;

  for (guint i = 0; i < host->waves->len; i++)
    if (((struct requested_wave *)g_ptr_array_index (host->waves, i))
            ->entry.wave
        == entry->wave)
      return;
  wave = talloc_zero (host, struct requested_wave);
  wave->seen = now;
  wave->entry = *entry;
  wave->entry.hosts = talloc_array (wave, const char *, entry->host_count + 1);
  for (uint32_t i = 0; i < entry->host_count; i++)
    wave->entry.hosts[i] = talloc_strdup (wave, entry->hosts[i]);
  g_ptr_array_add (host->waves, wave);
  if (host->planner != NULL)
    jb_planner_add_wave (host->planner, wave->seen, &wave->entry);
}

static void
watch_done (void *data, jb_time now, jb_time sent,
            const struct jb_reply *reply)
{
  struct jb_host *host = data;

  (void)sent;
  host->watching = false;
  host->next_watch = now;
  if (reply->result == JB_RESULT_GONE)
    {
      jb_log (host->driver, JB_LEVEL_INFO, "history-gone", "after",
              jb_itoa ((int64_t)host->watched), NULL);
      host->watched = 0;
      return;
    }
  if (reply->result != JB_RESULT_OK)
    {
      host->next_watch = now + WATCH_PAUSE;
      return;
    }
  host->watched = reply->version;
  if (reply->catalog != NULL)
    take_catalog (host, now, reply->catalog, "store");
  for (uint32_t i = 0; i < reply->wave_count; i++)
    take_wave (host, now, &reply->waves[i]);
}

static void
watch (struct jb_host *host, jb_time now)
{
  struct jb_command order
      = { .kind = JB_COMMAND_WATCH_CONFIG, .timeout_ms = WATCH_TIMEOUT_MS };

  if (host->watching || now < host->next_watch)
    return;
  host->watching = true;
  order.u.watch_config.after_version = host->watched;
  if (host->watched != 0)
    {
      order.u.watch_config.wait_ms = WATCH_WAIT_MS;
      order.timeout_ms += WATCH_WAIT_MS;
    }
  jb_count_event (host->driver, JB_COUNT_STORE_READS);
  jb_driver_submit (host->driver, host, now, &order, watch_done, host);
}

struct catalog_visit
{
  struct jb_host *host;
  struct ba_bytes bytes;
};

static void
send_catalog (void *data, const struct jb_member *member)
{
  struct catalog_visit *visit = data;
  struct jb_host *host = visit->host;

  if (member->catalog_version < host->catalog->version)
    jb_driver_send (host->driver, member->incarnation, visit->bytes);
}

static void
has_older (void *data, const struct jb_member *member)
{
  struct catalog_visit *visit = data;

  if (member->catalog_version < visit->host->catalog->version)
    visit->bytes.len = 1;
}

/* Send the configuration to members that lag behind: the store may not answer
   them.  */
static void
spread_catalog (struct jb_host *host, jb_time now)
{
  struct catalog_visit visit = { .host = host };
  struct jb_msg message = { .type = JB_MSG_CATALOG };

  if (host->catalog == NULL || now - host->catalog_since < CATALOG_PATIENCE
      || now - host->catalog_sent < CATALOG_PATIENCE)
    return;
  jb_members_foreach_alive (host->members, now, has_older, &visit);
  if (visit.bytes.len == 0)
    return;
  host->catalog_sent = now;
  message.u.catalog = *host->catalog;
  visit.bytes = jb_msg_encode (NULL, &message);
  jb_members_foreach_alive (host->members, now, send_catalog, &visit);
  talloc_free (visit.bytes.data);
}

/* ---- backend servers ---- */

static void
backends_listed (void *data, jb_time now, jb_time sent,
                 const struct jb_reply *reply)
{
  struct jb_host *host = data;

  host->listing = false;
  if (reply->result != JB_RESULT_OK)
    return;
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);

      if (held->pool != NULL)
        jb_pool_handle_backend_list (held->pool, now, sent, reply->backends,
                                     reply->backend_count);
    }
}

uint32_t
jb_host_ownership_count (const struct jb_host *host)
{
  uint32_t count = host->planner != NULL ? 1 : 0;

  for (guint i = 0; i < host->pools->len; i++)
    if (((struct pool_slot *)g_ptr_array_index (host->pools, i))->pool != NULL)
      count++;
  return count;
}

static void
list_backends (struct jb_host *host, jb_time now)
{
  struct jb_command order
      = { .kind = JB_COMMAND_LIST_BACKENDS, .timeout_ms = LIST_TIMEOUT_MS };

  if (host->listing || now < host->next_list
      || jb_host_ownership_count (host) == 0)
    return;
  host->listing = true;
  host->next_list
      = now + (now < host->list_often_until ? LIST_OFTEN : LIST_PERIOD);
  jb_count_event (host->driver, JB_COUNT_STORE_READS);
  jb_driver_submit (host->driver, host, now, &order, backends_listed, host);
}

/* ---- duties ---- */

bool
jb_host_store_reachable (const struct jb_host *host, jb_time now)
{
  jb_time failing = jb_driver_store_failing_since (host->driver);

  return (failing == 0 || now - failing < STORE_PATIENCE / 2)
         && now - jb_driver_store_answered_at (host->driver) < STORE_SILENCE;
}

static void
free_lost_duties (struct jb_host *host, jb_time now)
{
  if (host->planner != NULL && jb_planner_has_ended (host->planner))
    {
      TALLOC_FREE (host->planner);
      host->next_plan = now + CLAIM_PAUSE;
      host->beat_due = true;
    }
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);

      if (held->pool == NULL || !jb_pool_has_ended (held->pool))
        continue;
      TALLOC_FREE (held->pool);
      held->next_claim = now + CLAIM_PAUSE;
      host->beat_due = true;
    }
}

static void
claim (struct jb_host *host, jb_time now, struct pool_slot *held)
{
  struct jb_pool_options options = { .driver = host->driver,
                                     .bounds = &host->options.bounds,
                                     .catalog = &host->catalog,
                                     .name = held->name,
                                     .owner = host->options.name,
                                     .incarnation = host->options.incarnation,
                                     .reply = send_reply,
                                     .state_changed = pool_changed,
                                     .data = host };

  held->pool = jb_pool_new (host, &options);
  jb_pool_set_unix_origin (held->pool, host->wall);
  jb_pool_claim (held->pool, now);
  host->beat_due = true;
}

/* The latest answer of the store to a member.  */
static void
latest_answer (void *data, const struct jb_member *member)
{
  jb_time *latest = data;

  if (member->store_reachable && !member->stopping)
    *latest = MAX (*latest, member->store_heard);
}

/* Give up what this host can't do while another can.  */
static void
release_if_cut_off (struct jb_host *host, jb_time now)
{
  jb_time latest = 0;
  bool elsewhere;
  jb_time failing = jb_driver_store_failing_since (host->driver);

  jb_members_foreach_alive (host->members, now, latest_answer, &latest);
  if (failing == 0 || latest < failing + STORE_PATIENCE)
    {
      host->cut_since = 0;
      return;
    }
  /* When the store was away for all, others may hear of its return first.  */
  if (host->cut_since == 0)
    host->cut_since = now;
  elsewhere = now - host->cut_since > RETURN_PATIENCE;
  for (guint i = 0; elsewhere && i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);

      if (jb_host_slot_is_owned (held))
        jb_pool_release (held->pool, now, "the store is out of reach");
    }
  if (elsewhere && host->planner != NULL
      && jb_planner_is_owner (host->planner))
    jb_planner_release (host->planner, now, "the store is out of reach");
}

static void
elect (struct jb_host *host, jb_time now)
{
  jb_time heard_by;

  if (now < host->next_elect)
    return;
  host->next_elect = now + ELECT_PERIOD;
  release_if_cut_off (host, now);
  heard_by = jb_driver_store_failing_since (host->driver) != 0
                 ? jb_members_last_heard_by_peer (host->members)
                 : 0;
  jb_host_elect_planner (host, now, heard_by);
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);
      const char *part;
      char *text;

      if (jb_host_slot_is_owned (held))
        {
          part = jb_pool_partition (held->pool);
          jb_pool_set_unix_origin (held->pool, host->wall);
          if (jb_members_superseding_fence (host->members, now, part,
                                            jb_pool_fence (held->pool))
              == 0)
            jb_pool_confirm_ownership (held->pool, now, heard_by);
          else
            jb_pool_release (held->pool, now, "a peer has a higher fence");
        }
      if (held->pool != NULL || host->stopping || now < held->next_claim
          || !jb_host_store_reachable (host, now))
        continue;
      text = talloc_asprintf (NULL, "pool/%s", held->name);
      if (jb_members_should_claim (host->members, now, text,
                                   jb_host_ownership_count (host)))
        claim (host, now, held);
      talloc_free (text);
    }
}

/* ---- beats ---- */

static void
say (struct jb_host *host, jb_time now, jb_time *next)
{
  struct jb_self_status self
      = { .stopping = host->stopping,
          .store_reachable = jb_host_store_reachable (host, now),
          .catalog_version = host->catalog ? host->catalog->version : 0 };
  struct jb_msg_ownership *duties
      = talloc_array (NULL, struct jb_msg_ownership, host->pools->len + 1);

  if (host->planner != NULL && !jb_planner_has_ended (host->planner))
    duties[self.ownership_count++]
        = (struct jb_msg_ownership){ JB_PLANNER_PARTITION,
                                     jb_planner_is_owner (host->planner)
                                         ? jb_planner_fence (host->planner)
                                         : 0 };
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);

      if (held->pool != NULL && !jb_pool_has_ended (held->pool))
        duties[self.ownership_count++] = (struct jb_msg_ownership){
          (char *)jb_pool_partition (held->pool),
          jb_host_slot_is_owned (held) ? jb_pool_fence (held->pool) : 0
        };
    }
  self.ownerships = duties;
  if (jb_driver_store_answered_at (host->driver) != 0)
    self.store_answer_age_ms
        = (now - jb_driver_store_answered_at (host->driver)) / JB_MS;
  if (host->beat_due)
    {
      host->beat_due = false;
      jb_members_send_heartbeat (host->members, now, &self);
    }
  *next = MIN (*next, jb_members_run (host->members, now, &self));
  talloc_free (duties);
}

/* ---- what the driver calls ---- */

static int
host_destroy (struct jb_host *host)
{
  g_ptr_array_free (host->pools, TRUE);
  g_ptr_array_free (host->waves, TRUE);
  return 0;
}

struct jb_host *
jb_host_new (TALLOC_CTX *mem, jb_time now,
             const struct jb_host_options *options,
             const struct jb_driver_ops *effects, void *context)
{
  struct jb_host *host = talloc_zero (mem, struct jb_host);
  struct jb_members_options members
      = { .name = options->name,
          .address = options->address,
          .zone = options->zone,
          .cpu_share_milli = options->cpu_share_milli,
          .incarnation = options->incarnation };
  struct jb_frontend_options entry = { .incarnation = options->incarnation,
                                       .catalog = &host->catalog,
                                       .holds = holds,
                                       .local = take_own_request,
                                       .data = host };

  host->options = *options;
  host->options.name = talloc_strdup (host, options->name);
  host->options.zone = talloc_strdup (host, options->zone);
  host->options.address = talloc_strdup (host, options->address);
  host->now = now;
  host->pools = g_ptr_array_new ();
  host->waves = g_ptr_array_new ();
  host->driver = jb_driver_new (host, effects, context);
  members.driver = host->driver;
  host->members = jb_members_new (host, now, &members);
  entry.driver = host->driver;
  entry.members = host->members;
  host->entry = jb_frontend_new (host, &entry);
  talloc_set_destructor (host, host_destroy);
  return host;
}

void
jb_host_set_unix_origin (struct jb_host *host, jb_time origin)
{
  host->wall = origin;
}

void
jb_host_set_bounds (struct jb_host *host, const struct jb_bounds *bounds)
{
  host->options.bounds = *bounds;
}

void
jb_host_receive_call (struct jb_host *host, jb_time now, uint64_t number,
                      const struct jb_call *call)
{
  host->now = now;
  jb_frontend_receive_call (host->entry, now, number, call);
}

bool
jb_host_receive_message (struct jb_host *host, jb_time now, uint64_t from,
                         struct ba_bytes bytes)
{
  struct jb_msg *message = jb_msg_decode (NULL, bytes);

  host->now = now;
  if (message == NULL)
    return false;
  switch ((enum jb_msg_type)message->type)
    {
    case JB_MSG_HEARTBEAT:
      jb_members_receive_heartbeat (host->members, now, from,
                                    &message->u.beat);
      break;
    case JB_MSG_REQUEST:
      take_request (host, now, from, &message->u.request);
      break;
    case JB_MSG_REPLY:
      jb_frontend_receive_reply (host->entry, now, &message->u.reply);
      break;
    case JB_MSG_CATALOG:
      {
        struct jb_catalog *catalog = talloc_zero (NULL, struct jb_catalog);

        ba_codec_deep_copy (catalog, jb_catalog_serialize, &message->u.catalog,
                            catalog);
        take_catalog (host, now, catalog, "peer");
        if (host->catalog != catalog)
          talloc_free (catalog);
        break;
      }
    case JB_MSG_EVACUATE:
      jb_host_handle_evacuate (host, now, from, &message->u.clear);
      break;
    case JB_MSG_EVACUATE_STATUS:
      if (host->planner != NULL)
        jb_planner_handle_evacuate_status (host->planner, now,
                                           &message->u.cleared);
      break;
    case JB_MSG_POOL_LOAD:
      if (host->planner != NULL)
        jb_planner_handle_load (host->planner, now, &message->u.load);
      break;
    case JB_MSG_HOST_ARRIVING:
      jb_host_handle_arrival (host, now, message->u.coming.pool);
      break;
    case JB_MSG_QUOTA_USAGE:
      if (host->planner != NULL)
        jb_planner_handle_usage (host->planner, now, &message->u.usage);
      break;
    case JB_MSG_QUOTA_SHARES:
      jb_host_handle_shares (host, now, &message->u.shares);
      break;
    case JB_MSG_TYPE_COUNT:
      break;
    }
  talloc_free (message);
  return true;
}

void
jb_host_receive_reply (struct jb_host *host, jb_time now, uint64_t number,
                       const struct jb_reply *reply)
{
  host->now = now;
  jb_driver_receive_reply (host->driver, now, number, reply);
}

jb_time
jb_host_run (struct jb_host *host, jb_time now)
{
  jb_time next = JB_NEVER;

  host->now = now;
  free_lost_duties (host, now);
  elect (host, now);
  watch (host, now);
  list_backends (host, now);
  spread_catalog (host, now);
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);

      if (held->pool != NULL)
        next = MIN (next, jb_pool_run (held->pool, now));
    }
  jb_host_send_loads (host, now);
  jb_host_send_usages (host, now);
  if (host->planner != NULL)
    next = MIN (next, jb_planner_run (host->planner, now));
  next = MIN (next, jb_frontend_run (host->entry, now));
  free_lost_duties (host, now);
  say (host, now, &next);
  next = MIN (next, host->next_elect);
  if (!host->watching)
    next = MIN (next, host->next_watch);
  if (!host->listing && jb_host_ownership_count (host) > 0)
    next = MIN (next, host->next_list);
  return MAX (next, now + JB_MS);
}

void
jb_host_stop (struct jb_host *host, jb_time now)
{
  host->now = now;
  host->stopping = true;
  host->beat_due = true;
  if (host->planner != NULL && jb_planner_is_owner (host->planner))
    jb_planner_release (host->planner, now, "this host stops");
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);

      if (jb_host_slot_is_owned (held))
        jb_pool_release (held->pool, now, "this host stops");
    }
}

bool
jb_host_is_idle (const struct jb_host *host)
{
  return jb_frontend_pending_count (host->entry) == 0;
}

bool
jb_host_is_ready (const struct jb_host *host, jb_time now)
{
  return host->catalog != NULL && !host->stopping
         && (jb_host_store_reachable (host, now)
             || jb_members_count_alive (host->members, now) > 0);
}

bool
jb_host_owns_pool (const struct jb_host *host, const char *name)
{
  return holds ((void *)host, name);
}

bool
jb_host_is_planner (const struct jb_host *host)
{
  return host->planner != NULL && jb_planner_is_owner (host->planner);
}

const struct jb_metrics *
jb_host_metrics (const struct jb_host *host)
{
  return jb_driver_metrics (host->driver);
}
