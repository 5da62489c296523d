/* The link between an entry host and the planner.  Every host reports the
   pools that it owns to the planner and carries out the planner's requests for
   them.  One host claims the planner's partition, and passes the requests of
   its planner to the owners of the pools.  */

#include "jb_host_internal.h"

/* Time within which a host that is moving to a pool arrives there.  */
#define MAX_ARRIVAL_TIME (3500 * JB_MS)

/* Time between two reports of a pool's load to the planner.  */
#define LOAD_REPORT_INTERVAL (200 * JB_MS)

/* Return the member that owns POOL, borrowed, or NULL if the pool's owner is
   this host or not known.  */
static const struct jb_member *
find_pool_owner (struct jb_host *host, jb_time now, const char *pool)
{
  char *partition = talloc_asprintf (NULL, "pool/%s", pool);
  const struct jb_member *member
      = jb_members_find_owner (host->members, now, partition);

  talloc_free (partition);
  return member;
}

static void
send_message (struct jb_host *host, uint64_t member,
              const struct jb_msg *message)
{
  struct ba_bytes bytes = jb_msg_encode (NULL, message);

  jb_driver_send (host->driver, member, bytes);
  talloc_free (bytes.data);
}

/* Carry out the request EVACUATE if this host owns its pool.  Return whether
   the host to be evacuated is empty; false if that can't be told here.  */
static bool
evacuate_own_backend (struct jb_host *host, jb_time now,
                      const struct jb_msg_evacuate *evacuate)
{
  struct pool_slot *slot = jb_host_find_slot (host, evacuate->pool);

  if (slot == NULL || !jb_host_slot_is_owned (slot))
    return false;
  if (evacuate->host_removed)
    {
      jb_pool_handle_host_removed (slot->pool, now, evacuate->instance);
      return false;
    }
  return jb_pool_evacuate_backend (slot->pool, now, evacuate->instance);
}

/* Pass the request EVACUATE of this host's planner to the owner of its pool,
   which may be this host.  It is dropped if the owner is not known.  */
static void
request_evacuation (void *data, jb_time now,
                    const struct jb_msg_evacuate *evacuate)
{
  struct jb_host *host = data;
  const struct jb_member *member;
  struct jb_msg message = { .type = JB_MSG_EVACUATE, .u.evacuate = *evacuate };
  struct jb_msg_evacuate_status status
      = { .pool = evacuate->pool, .instance = evacuate->instance };

  if (jb_host_owns_pool (host, evacuate->pool))
    {
      status.empty = evacuate_own_backend (host, now, evacuate);
      if (!evacuate->host_removed)
        jb_planner_handle_evacuate_status (host->planner, now, &status);
      return;
    }
  member = find_pool_owner (host, now, evacuate->pool);
  if (member != NULL)
    send_message (host, member->incarnation, &message);
}

void
jb_host_handle_evacuate (struct jb_host *host, jb_time now, uint64_t from,
                         const struct jb_msg_evacuate *evacuate)
{
  struct jb_msg message = { .type = JB_MSG_EVACUATE_STATUS };

  message.u.evacuate_status.pool = evacuate->pool;
  message.u.evacuate_status.instance = evacuate->instance;
  message.u.evacuate_status.empty = evacuate_own_backend (host, now, evacuate);
  if (!evacuate->host_removed)
    send_message (host, from, &message);
}

void
jb_host_report_evacuated (void *data, jb_time now, struct jb_pool *pool,
                          const char *instance)
{
  struct jb_host *host = data;
  struct jb_msg message
      = { .type = JB_MSG_EVACUATE_STATUS,
          .u.evacuate_status = { .pool = (char *)jb_pool_name (pool),
                                 .instance = (char *)instance,
                                 .empty = true } };
  const struct jb_member *planner;

  if (host->planner != NULL && jb_planner_is_owner (host->planner))
    {
      jb_planner_handle_evacuate_status (host->planner, now,
                                         &message.u.evacuate_status);
      return;
    }
  planner = jb_members_find_owner (host->members, now, JB_PLANNER_PARTITION);
  if (planner != NULL)
    send_message (host, planner->incarnation, &message);
}

void
jb_host_handle_arrival (struct jb_host *host, jb_time now, const char *pool)
{
  if (jb_host_owns_pool (host, pool))
    host->frequent_lists_until = now + MAX_ARRIVAL_TIME;
}

/* Tell the owner of POOL, which may be this host, that a host is moving to
   it.  */
static void
notify_arrival (void *data, jb_time now, const char *pool)
{
  struct jb_host *host = data;
  const struct jb_member *member = find_pool_owner (host, now, pool);
  struct jb_msg message = { .type = JB_MSG_HOST_ARRIVING };

  jb_host_handle_arrival (host, now, pool);
  message.u.host_arriving.pool = (char *)pool;
  if (member != NULL)
    send_message (host, member->incarnation, &message);
}

/* Pass SHARES of this host's planner to the owner of their pool, which may be
   this host.  If the owner is not known, they are dropped; the planner sends
   them again.  */
static void
send_shares (void *data, jb_time now, const struct jb_msg_shares *shares)
{
  struct jb_host *host = data;
  struct pool_slot *slot = jb_host_find_slot (host, shares->pool);
  const struct jb_member *member;
  struct jb_msg message = { .type = JB_MSG_QUOTA_SHARES, .u.shares = *shares };

  if (slot != NULL && jb_host_slot_is_owned (slot))
    {
      jb_pool_handle_shares (slot->pool, now, shares);
      return;
    }
  member = find_pool_owner (host, now, shares->pool);
  if (member != NULL)
    send_message (host, member->incarnation, &message);
}

void
jb_host_handle_shares (struct jb_host *host, jb_time now,
                       const struct jb_msg_shares *shares)
{
  struct pool_slot *slot = jb_host_find_slot (host, shares->pool);

  if (slot != NULL && jb_host_slot_is_owned (slot))
    jb_pool_handle_shares (slot->pool, now, shares);
}

/* Report to PLANNER what organisations use of the pool of SLOT, and what they
   need in order to start more, if that is due.  PLANNER is NULL if this host
   is the planner.  */
static void
send_usage (struct jb_host *host, const struct pool_slot *slot,
            const struct jb_member *planner, jb_time now)
{
  struct jb_msg usage = { .type = JB_MSG_QUOTA_USAGE };
  struct jb_msg needs = { .type = JB_MSG_QUOTA_NEEDS };
  TALLOC_CTX *scratch = talloc_new (NULL);
  uint64_t fence
      = planner == NULL
            ? jb_planner_fence (host->planner)
            : jb_members_owner_fence (host->members, JB_PLANNER_PARTITION);

  if (jb_pool_report_usage (slot->pool, scratch, now, fence, &usage.u.usage))
    {
      /* Before the usage, so that the limits are divided once.  */
      if (jb_pool_report_needs (slot->pool, scratch, &needs.u.needs))
        {
          if (planner == NULL)
            jb_planner_handle_needs (host->planner, now, &needs.u.needs);
          else
            send_message (host, planner->incarnation, &needs);
        }
      if (planner == NULL)
        jb_planner_handle_usage (host->planner, now, &usage.u.usage);
      else
        send_message (host, planner->incarnation, &usage);
    }
  talloc_free (scratch);
}

void
jb_host_send_usages (struct jb_host *host, jb_time now)
{
  const struct jb_member *planner
      = jb_members_find_owner (host->members, now, JB_PLANNER_PARTITION);
  bool is_planner
      = host->planner != NULL && jb_planner_is_owner (host->planner);

  for (guint i = 0; i < host->pools->len; i++)
    {
      const struct pool_slot *slot = g_ptr_array_index (host->pools, i);

      if (jb_host_slot_is_owned (slot) && (is_planner || planner != NULL))
        send_usage (host, slot, is_planner ? NULL : planner, now);
    }
}

static void
planner_state_changed (void *data)
{
  struct jb_host *host = data;

  host->heartbeat_due = true;
}

static bool
has_process_ended (void *data, const char *name, uint64_t incarnation)
{
  struct jb_host *host = data;

  return jb_members_has_process_ended (host->members, name, incarnation);
}

static void
claim_planner (struct jb_host *host, jb_time now)
{
  struct jb_planner_options options
      = { .driver = host->driver,
          .bounds = &host->options.bounds,
          .catalog = &host->catalog,
          .zones = host->zones,
          .owner = host->options.name,
          .incarnation = host->options.incarnation,
          .has_process_ended = has_process_ended,
          .request_evacuation = request_evacuation,
          .notify_arrival = notify_arrival,
          .send_shares = send_shares,
          .state_changed = planner_state_changed,
          .data = host };

  if (jb_members_has_owner_released (host->members, now, JB_PLANNER_PARTITION))
    options.released_incarnation
        = jb_members_last_owner (host->members, JB_PLANNER_PARTITION);
  host->planner = jb_planner_new (host, &options);
  jb_planner_set_unix_origin (host->planner, host->unix_origin);
  for (guint i = 0; i < host->waves->len; i++)
    {
      struct requested_wave *wave = g_ptr_array_index (host->waves, i);

      jb_planner_add_wave (host->planner, wave->seen_at, &wave->entry);
    }
  jb_planner_claim (host->planner, now);
  host->heartbeat_due = true;
}

void
jb_host_check_planner_ownership (struct jb_host *host, jb_time now,
                                 jb_time unclaimed_until)
{
  if (host->planner != NULL && jb_planner_is_owner (host->planner))
    {
      if (jb_members_superseding_fence (host->members, now,
                                        JB_PLANNER_PARTITION,
                                        jb_planner_fence (host->planner))
          != 0)
        jb_planner_release (host->planner, now, "a peer has a higher fence");
      else
        jb_planner_confirm_ownership (host->planner, now, unclaimed_until);
    }
  if (host->planner != NULL || host->stopping || now < host->next_planner_claim
      || host->catalog == NULL || !jb_host_can_reach_store (host, now))
    return;
  if (jb_members_should_claim (host->members, now, JB_PLANNER_PARTITION,
                               jb_host_ownership_count (host)))
    claim_planner (host, now);
}

void
jb_host_send_loads (struct jb_host *host, jb_time now)
{
  const struct jb_member *planner;
  bool is_planner
      = host->planner != NULL && jb_planner_is_owner (host->planner);

  if (now < host->next_load_report)
    return;
  host->next_load_report = now + LOAD_REPORT_INTERVAL;
  planner = jb_members_find_owner (host->members, now, JB_PLANNER_PARTITION);
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *slot = g_ptr_array_index (host->pools, i);
      struct jb_msg message = { .type = JB_MSG_POOL_LOAD };
      TALLOC_CTX *scratch;

      if (!jb_host_slot_is_owned (slot) || (!is_planner && planner == NULL))
        continue;
      scratch = talloc_new (NULL);
      jb_pool_get_load (slot->pool, scratch, now, &message.u.load);
      if (is_planner)
        jb_planner_handle_load (host->planner, now, &message.u.load);
      else
        send_message (host, planner->incarnation, &message);
      talloc_free (scratch);
    }
}
