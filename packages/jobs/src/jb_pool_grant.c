/* Grants of leases to backend servers.

   Each grant that is not answered lengthens the time for which the runs of a
   silent backend server may go on (jb_lease.h).  So there are few: four probes
   in 3 s to each backend server with tasks that is listed and has just
   answered another command, and at most one of them without an answer.  Starts
   carry a short lease where the runs have a lease already.

   The backend servers of a pool are granted leases in two groups.

   Expected load: 120 grants a second for each pool.  */

#include "jb_pool_internal.h"

enum
{
  GRANT_GROUPS = 2
};

/* Time between two grants to a backend server.  With 1 s, a successor has up
   to 1 s less to extend the leases, and crashes of backend servers are counted
   too late for the budget of a task that causes them.  */
#define GRANT_INTERVAL (750 * JB_MS)

/* Time between the grants of two groups.  */
#define GROUP_INTERVAL (GRANT_INTERVAL / GRANT_GROUPS)

/* A group leaves out those that were granted a lease less than this ago, by a
   start.  */
#define MIN_GRANT_AGE (GRANT_INTERVAL / 2)

/* A backend server whose last grant is this old is granted one apart from its
   group: it was due with it, but did not answer then.  */
#define MAX_GRANT_AGE (2 * GRANT_INTERVAL - GROUP_INTERVAL / 2)

/* A grant without an answer counts as lost after this time if commands that
   were sent later have been answered.  */
#define GRANT_RETRY_DELAY (100 * JB_MS)

/* A backend server is granted a lease only this soon after it has answered. So
   one that has crashed or is cut off has hardly ever a grant without an
   answer, which would double the time until its tasks start elsewhere.  */
#define RECENT_ANSWER_TIME (100 * JB_MS)

/* Long polls are answered this long before the group of the backend server is
   due.  One that would be shorter than MIN_POLL_WAIT lasts until the next
   time.  */
#define POLL_LEAD (20 * JB_MS)
#define MIN_POLL_WAIT (100 * JB_MS)

/* Time for which a lease must last for a start not to extend it.  It is long
   enough for the next grant.  */
#define MIN_LEASE_LEFT (1200 * JB_MS)

struct jb_grant
jb_pool_grant_full (struct jb_backend *backend, jb_time now, int64_t *until_ms)
{
  struct jb_grant grant = { .sent_at = now, .is_full = true };

  *until_ms
      = jb_backend_grant_lease (backend, now, JB_RUN_LEASE_MS, &grant.number);
  backend->grant_sent_at = now;
  backend->grant_open = true;
  backend->grant_due = false;
  return grant;
}

struct jb_grant
jb_pool_grant_start (struct jb_backend *backend, jb_time now,
                     int64_t *until_ms)
{
  struct jb_grant grant = { .sent_at = now };
  bool has_lease = backend->granted_at != 0
                   && now + MIN_LEASE_LEFT
                          <= backend->granted_at + JB_RUN_LEASE_MS * JB_MS;

  if (!has_lease && !backend->grant_open)
    return jb_pool_grant_full (backend, now, until_ms);
  *until_ms = jb_backend_grant_lease (backend, now, JB_START_LEASE_MS,
                                      &grant.number);
  return grant;
}

void
jb_pool_note_result (struct jb_backend *backend, jb_time now,
                     const struct jb_grant *grant,
                     const struct jb_reply *reply)
{
  /* Another sending may still be carried out.  */
  uint64_t answered_grant = reply->resent ? 0 : grant->number;

  if (reply->resent)
    jb_lease_resend (backend->lease, grant->number, now);
  switch (reply->result)
    {
    case JB_RESULT_UNKNOWN:
      return;
    case JB_RESULT_NOT_SENT:
    case JB_RESULT_REFUSED:
      if (reply->resent)
        return;
      if (grant->number != 0)
        jb_lease_remove_grant (backend->lease, grant->number);
      if (grant->is_full && grant->sent_at == backend->grant_sent_at)
        backend->grant_open = false;
      return;
    default:
      backend->answered_at = now;
      jb_lease_answer (backend->lease, answered_grant, now);
      if (grant->sent_at >= backend->grant_sent_at)
        backend->grant_open = false;
      if (grant->is_full && reply->result == JB_RESULT_OK)
        backend->granted_at = MAX (backend->granted_at, grant->sent_at);
    }
}

/* Return the group of BACKEND.  */
static uint32_t
group_of (const struct jb_backend *backend)
{
  return g_str_hash (backend->instance) % GRANT_GROUPS;
}

/* Return whether BACKEND is granted leases at all: it has tasks, is listed,
   and answers.  */
static bool
needs_grants (const struct jb_backend *backend)
{
  return backend->task_count + backend->doubt_count > 0 && backend->listed
         && backend->probed && backend->clock_received_at != 0
         && backend->unanswered_probes == 0;
}

/* Return when BACKEND is due for a grant apart from its group.  */
static jb_time
overdue_at (const struct jb_backend *backend)
{
  if (backend->grant_due)
    return 0;
  if (backend->grant_sent_at > backend->granted_at)
    return backend->grant_sent_at + GRANT_RETRY_DELAY;
  return backend->granted_at + MAX_GRANT_AGE;
}

jb_time
jb_pool_collect_due_grants (struct jb_pool *pool, jb_time now, GPtrArray *due)
{
  const GPtrArray *backends = jb_pool_list_backends (pool);
  bool is_group_due = now >= pool->next_grants;
  jb_time next;

  if (is_group_due)
    {
      pool->grant_group = (pool->grant_group + 1) % GRANT_GROUPS;
      pool->next_grants = now + GROUP_INTERVAL;
    }
  next = pool->next_grants;
  for (guint i = 0; i < backends->len; i++)
    {
      struct jb_backend *backend = g_ptr_array_index (backends, i);

      if (!needs_grants (backend) || backend->grant_open
          || backend->grant_in_flight)
        continue;
      if (is_group_due && group_of (backend) == pool->grant_group
          && now - backend->granted_at >= MIN_GRANT_AGE)
        backend->grant_due = true;
      if (now < overdue_at (backend))
        next = MIN (next, overdue_at (backend));
      else if (now - backend->answered_at <= RECENT_ANSWER_TIME)
        g_ptr_array_add (due, backend);
    }
  return next;
}

int64_t
jb_pool_poll_wait_ms (const struct jb_pool *pool,
                      const struct jb_backend *backend, jb_time now)
{
  jb_time wait = pool->next_grants - POLL_LEAD - now;

  if (group_of (backend) == pool->grant_group)
    wait += GROUP_INTERVAL;
  if (wait < MIN_POLL_WAIT)
    wait += GRANT_INTERVAL;
  return CLAMP (wait, MIN_POLL_WAIT, JB_PROBE_WAIT_MS * JB_MS) / JB_MS;
}

jb_time
jb_pool_send_grants (struct jb_pool *pool, jb_time now)
{
  GPtrArray *due;
  jb_time next;

  if (pool->stage < JB_STAGE_SCANNING || pool->handover_since != 0
      || jb_ownership_state (pool->ownership) != JB_OWNERSHIP_HELD
      || !jb_pool_may_command (pool, now))
    return JB_NEVER;
  due = g_ptr_array_new ();
  next = jb_pool_collect_due_grants (pool, now, due);
  if (due->len > 0)
    jb_pool_tell_grants (pool, now, due);
  for (guint i = 0; i < due->len; i++)
    jb_pool_send_grant (pool, g_ptr_array_index (due, i), now);
  g_ptr_array_free (due, TRUE);
  return next;
}
