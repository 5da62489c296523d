/* A host and the planner: the host claims that duty, tells its holder of the
   pools held here, and carries the planner's wishes to the pools' holders.  */

#include "jb_host_internal.h"

/* A host that is on its way to a pool arrives within.  */
#define COMING_PERIOD (3500 * JB_MS)

/* Between two words on a pool's load to the planner.  */
#define LOAD_PERIOD (200 * JB_MS)

static const struct jb_member *
holder_of (struct jb_host *host, jb_time now, const char *pool)
{
  char *part = talloc_asprintf (NULL, "pool/%s", pool);
  const struct jb_member *member
      = jb_members_find_owner (host->members, now, part);

  talloc_free (part);
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

/* Empty a host of a pool that is held here.  Return whether it is empty.  */
static bool
clear_here (struct jb_host *host, jb_time now,
            const struct jb_msg_evacuate *clear)
{
  struct pool_slot *held = jb_host_find_slot (host, clear->pool);

  if (held == NULL || !jb_host_slot_is_owned (held))
    return false;
  if (clear->taken)
    {
      jb_pool_handle_host_removed (held->pool, now, clear->instance);
      return false;
    }
  return jb_pool_evacuate_backend (held->pool, now, clear->instance);
}

static void
ask_clear (void *data, jb_time now, const struct jb_msg_evacuate *clear)
{
  struct jb_host *host = data;
  const struct jb_member *member;
  struct jb_msg message = { .type = JB_MSG_EVACUATE, .u.clear = *clear };
  struct jb_msg_evacuate_status cleared
      = { .pool = clear->pool, .instance = clear->instance };

  if (jb_host_owns_pool (host, clear->pool))
    {
      cleared.empty = clear_here (host, now, clear);
      if (!clear->taken)
        jb_planner_handle_evacuate_status (host->planner, now, &cleared);
      return;
    }
  member = holder_of (host, now, clear->pool);
  if (member != NULL)
    send_message (host, member->incarnation, &message);
}

void
jb_host_handle_evacuate (struct jb_host *host, jb_time now, uint64_t from,
                         const struct jb_msg_evacuate *clear)
{
  struct jb_msg message = { .type = JB_MSG_EVACUATE_STATUS };

  message.u.cleared.pool = clear->pool;
  message.u.cleared.instance = clear->instance;
  message.u.cleared.empty = clear_here (host, now, clear);
  if (!clear->taken)
    send_message (host, from, &message);
}

/* A host is on its way to a pool that is held here: look for it in time.  */
void
jb_host_handle_arrival (struct jb_host *host, jb_time now, const char *pool)
{
  if (jb_host_owns_pool (host, pool))
    host->list_often_until = now + COMING_PERIOD;
}

static void
tell_coming (void *data, jb_time now, const char *pool)
{
  struct jb_host *host = data;
  const struct jb_member *member = holder_of (host, now, pool);
  struct jb_msg message = { .type = JB_MSG_HOST_ARRIVING };

  jb_host_handle_arrival (host, now, pool);
  message.u.coming.pool = (char *)pool;
  if (member != NULL)
    send_message (host, member->incarnation, &message);
}

static void
give_shares (void *data, jb_time now, const struct jb_msg_shares *shares)
{
  struct jb_host *host = data;
  struct pool_slot *held = jb_host_find_slot (host, shares->pool);
  const struct jb_member *member;
  struct jb_msg message = { .type = JB_MSG_QUOTA_SHARES, .u.shares = *shares };

  if (held != NULL && jb_host_slot_is_owned (held))
    {
      jb_pool_handle_shares (held->pool, now, shares);
      return;
    }
  member = holder_of (host, now, shares->pool);
  if (member != NULL)
    send_message (host, member->incarnation, &message);
}

void
jb_host_handle_shares (struct jb_host *host, jb_time now,
                       const struct jb_msg_shares *shares)
{
  struct pool_slot *held = jb_host_find_slot (host, shares->pool);

  if (held != NULL && jb_host_slot_is_owned (held))
    jb_pool_handle_shares (held->pool, now, shares);
}

/* Tell the planner what organisations use of the pools held here.  */
void
jb_host_send_usages (struct jb_host *host, jb_time now)
{
  const struct jb_member *planner
      = jb_members_find_owner (host->members, now, JB_PLANNER_PARTITION);
  bool here = host->planner != NULL && jb_planner_is_owner (host->planner);

  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);
      struct jb_msg message = { .type = JB_MSG_QUOTA_USAGE };
      TALLOC_CTX *scratch;

      if (!jb_host_slot_is_owned (held) || (!here && planner == NULL))
        continue;
      scratch = talloc_new (NULL);
      if (jb_pool_report_usage (held->pool, scratch, now,
                                here ? jb_planner_fence (host->planner)
                                     : jb_members_owner_fence (
                                         host->members, JB_PLANNER_PARTITION),
                                &message.u.usage))
        {
          if (here)
            jb_planner_handle_usage (host->planner, now, &message.u.usage);
          else
            send_message (host, planner->incarnation, &message);
        }
      talloc_free (scratch);
    }
}

static void
planner_changed (void *data)
{
  struct jb_host *host = data;

  host->beat_due = true;
}

static void
claim_plan (struct jb_host *host, jb_time now)
{
  struct jb_planner_options options
      = { .driver = host->driver,
          .bounds = &host->options.bounds,
          .catalog = &host->catalog,
          .holder = host->options.name,
          .incarnation = host->options.incarnation,
          .released = jb_members_owner_released (host->members, now,
                                                 JB_PLANNER_PARTITION),
          .clear = ask_clear,
          .coming = tell_coming,
          .shares = give_shares,
          .changed = planner_changed,
          .data = host };

  host->planner = jb_planner_new (host, &options);
  jb_planner_set_unix_origin (host->planner, host->wall);
  for (guint i = 0; i < host->waves->len; i++)
    {
      struct requested_wave *wave = g_ptr_array_index (host->waves, i);

      jb_planner_add_wave (host->planner, wave->seen, &wave->entry);
    }
  jb_planner_claim (host->planner, now);
  host->beat_due = true;
}

void
jb_host_elect_planner (struct jb_host *host, jb_time now, jb_time heard_by)
{
  if (host->planner != NULL && jb_planner_is_owner (host->planner))
    {
      if (jb_members_superseding_fence (host->members, now,
                                        JB_PLANNER_PARTITION,
                                        jb_planner_fence (host->planner))
          != 0)
        jb_planner_release (host->planner, now, "a peer has a higher fence");
      else
        jb_planner_confirm_ownership (host->planner, now, heard_by);
    }
  if (host->planner != NULL || host->stopping || now < host->next_plan
      || host->catalog == NULL || !jb_host_store_reachable (host, now))
    return;
  if (jb_members_should_claim (host->members, now, JB_PLANNER_PARTITION,
                               jb_host_ownership_count (host)))
    claim_plan (host, now);
}

/* Tell the planner of the load of the pools held here.  */
void
jb_host_send_loads (struct jb_host *host, jb_time now)
{
  const struct jb_member *planner;
  bool here = host->planner != NULL && jb_planner_is_owner (host->planner);

  if (now < host->next_load)
    return;
  host->next_load = now + LOAD_PERIOD;
  planner = jb_members_find_owner (host->members, now, JB_PLANNER_PARTITION);
  for (guint i = 0; i < host->pools->len; i++)
    {
      struct pool_slot *held = g_ptr_array_index (host->pools, i);
      struct jb_msg message = { .type = JB_MSG_POOL_LOAD };
      TALLOC_CTX *scratch;

      if (!jb_host_slot_is_owned (held) || (!here && planner == NULL))
        continue;
      scratch = talloc_new (NULL);
      jb_pool_get_load (held->pool, scratch, now, &message.u.load);
      if (here)
        jb_planner_handle_load (host->planner, now, &message.u.load);
      else
        send_message (host, planner->incarnation, &message);
      talloc_free (scratch);
    }
}
