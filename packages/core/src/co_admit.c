#include "co_internal.h"

#include <string.h>

/* Whether a request is taken at all, and when to come back if not.  */

static const co_time shortest_retry = 50 * CO_MILLISECOND;
static const co_time longest_retry = 30 * CO_SECOND;
static const co_time settle_retry = 500 * CO_MILLISECOND;
static const double retry_jitter = 0.5; /* of the wait, added at random */

/* Find the team that REQUEST's key, or its open queue, gives it.  */
static enum co_reason
find_team (struct co_core *core, const struct co_event_request *event,
           const struct co_queue *queue, int *team)
{
  const char *name;

  if (event->key_hash == NULL)
    {
      *team = queue->open_team;
      return *team == CO_NO_INDEX ? CO_REASON_KEY_MISSING : CO_REASON_NONE;
    }
  name = g_hash_table_lookup (core->api_keys, event->key_hash);
  *team = co_find_index (core->team_index, name);
  if (*team == CO_NO_INDEX || !core->teams[*team]->configured)
    return CO_REASON_KEY_UNKNOWN;
  return CO_REASON_NONE;
}

/* Return the part of POOL that is TEAM's while the pool is full: its share
   among the teams that have work there.  */
static double
share_of_pool (const struct co_core *core, const struct co_pool *pool,
               int team)
{
  double all = 0;

  for (uint32_t t = 0; t < core->team_count; t++)
    if ((int)t == team || pool->own_running[t] > 0
        || co_backlog_length (&pool->backlogs[t]) > 0)
      all += (double)core->teams[t]->share;
  return (double)core->teams[team]->share / all;
}

/* Return how long REQUEST is expected to wait: what its team has waiting
   before it, at the pace of the team's part of the slots held here and of the
   team's rights.  */
co_time
co_estimate_wait (const struct co_core *core, const struct co_request *request)
{
  const struct co_pool *pool = core->pools[request->pool];
  const struct co_team *team = core->teams[request->team];
  const struct co_backlog *line = &pool->backlogs[request->team];
  const struct co_quota *right = core->quotas[team->quota];
  double members = core->view.member_count > 0 ? core->view.member_count : 1;
  double before
      = request->urgent ? line->urgent.length : co_backlog_length (line);
  double slots
      = (double)pool->held_slots * share_of_pool (core, pool, request->team);
  double rights = (double)co_quota_held (right);
  double pace;

  if (pool->waiting < pool->free_slots && co_quota_unused (right) > 0)
    return 0;
  /* What is not held yet can be borrowed: assume an even part at least.  */
  if (rights < (double)right->limit / members)
    rights = (double)right->limit / members;
  pace = slots < rights ? slots : rights;
  if (pace < 0.1)
    pace = 0.1;
  return (co_time)(before / pace * pool->mean_service_time);
}

/* Return whether TEAM has its part of QUEUE's places.  A team that floods the
   queue leaves the others theirs.  */
static bool
is_queue_full (const struct co_core *core, const struct co_queue *queue,
               int team)
{
  const struct co_pool *pool = core->pools[queue->pool];
  double part = (double)queue->max_waiting;

  if (!(core->options.disabled & CO_DISABLE_FAIR_SHARES))
    part *= share_of_pool (core, pool, team);
  return queue->waiting >= 2 * queue->max_waiting
         || (queue->waiting > 0
             && (double)co_backlog_length (&pool->backlogs[team]) >= part);
}

/* Return the milliseconds after which a caller refused for REASON should come
   back, spread at random so that callers don't return together.  */
uint32_t
co_retry_after_ms (struct co_core *core, enum co_reason reason, co_time wait)
{
  co_time after = wait;

  if (!co_reason_info (reason)->retryable)
    return 0;
  if (reason == CO_REASON_NO_LEASE || reason == CO_REASON_STOPPING
      || reason == CO_REASON_NO_HOST || reason == CO_REASON_CLAIM_UNAVAILABLE
      || reason == CO_REASON_NO_CONFIGURATION)
    after = settle_retry;
  if (after < shortest_retry)
    after = shortest_retry;
  after += (co_time)((double)after * retry_jitter
                     * g_rand_double (core->random));
  if (after > longest_retry)
    after = longest_retry;
  return (uint32_t)(after / CO_MILLISECOND);
}

/* Return the time by which REQUEST must start, or it is given up: early enough
   to be done by its deadline, and soon if it is urgent.  */
co_time
co_latest_start (const struct co_core *core, const struct co_request *request)
{
  const struct co_pool *pool = core->pools[request->pool];
  co_time latest = request->deadline - (co_time)pool->mean_service_time;
  co_time soon = request->arrived_at + core->options.max_urgent_wait;

  if (core->options.disabled & CO_DISABLE_EARLY_REFUSAL)
    return request->deadline;
  if (latest < request->arrived_at)
    latest
        = request->arrived_at + (request->deadline - request->arrived_at) / 2;
  return request->urgent && soon < latest ? soon : latest;
}

/* Check EVENT and fill in queue, pool, team, urgency and identity of
   REQUEST.  Return CO_REASON_NONE if it may wait for a start.  */
enum co_reason
co_admit (struct co_core *core, const struct co_event_request *event,
          struct co_request *request)
{
  enum co_reason reason;
  const struct co_queue *queue;
  const struct co_pool *pool;

  if (core->stopping && core->now >= core->stop_at)
    return CO_REASON_STOPPING;
  if (core->fleet == NULL)
    return CO_REASON_NO_CONFIGURATION;
  if (!co_has_lease (core))
    return CO_REASON_NO_LEASE;
  request->queue = co_find_index (core->queue_index, event->queue);
  if (request->queue == CO_NO_INDEX
      || !core->queues[request->queue]->configured)
    return CO_REASON_UNKNOWN_QUEUE;
  queue = core->queues[request->queue];
  request->pool = queue->pool;
  pool = core->pools[queue->pool];
  reason = find_team (core, event, queue, &request->team);
  if (reason != CO_REASON_NONE)
    return reason;
  request->urgent = (event->has_priority ? event->priority : queue->priority)
                    == CF_PRIORITY_URGENT;
  if (core->teams[request->team]->limit == 0)
    return CO_REASON_LIMIT_ZERO;
  if (request->deadline <= core->now)
    return CO_REASON_DEADLINE_PASSED;
  if (g_hash_table_size (core->requests) >= core->options.max_request_count)
    return CO_REASON_OVERLOADED;
  if (is_queue_full (core, queue, request->team))
    return CO_REASON_QUEUE_FULL;
  if (pool->usable_hosts == 0)
    return CO_REASON_NO_HOST;
  if (!(core->options.disabled & CO_DISABLE_EARLY_REFUSAL)
      && core->now + co_estimate_wait (core, request)
             > co_latest_start (core, request))
    return CO_REASON_WAIT_TOO_LONG;
  return CO_REASON_NONE;
}
