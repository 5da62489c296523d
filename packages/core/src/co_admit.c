#include "co_internal.h"

#include <string.h>

/* Admission control: whether a request may wait for a start, how long it may
   wait, and when a refused caller should retry.  */

static const co_time min_retry_after = 50 * CO_MILLISECOND;
static const co_time max_retry_after = 30 * CO_SECOND;
/* Instead of the expected wait, for refusals that are not caused by too many
   requests, such as those without a lease.  */
static const co_time recovery_retry_after = 500 * CO_MILLISECOND;
/* Largest random addition to a retry delay, as a fraction of it.  */
static const double retry_jitter_fraction = 0.5;

/* Lower bound on the requests that can run in parallel.  It keeps the
   estimated wait finite while this member holds no slots or quota.  */
static const double min_concurrency = 0.1;

/* Store in *TEAM the index of the team that EVENT's API key belongs to or,
   without a key, of QUEUE's open team.  Return CO_REASON_NONE, or the
   reason to refuse the request.  */
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

/* Return the fraction, 0 to 1, of POOL that TEAM may use while the pool is
   full: its share divided by the sum of the shares of TEAM and of the other
   teams that have requests of this entry host running or waiting there.  */
static double
team_share_of_pool (const struct co_core *core, const struct co_pool *pool,
                    int team)
{
  double total_share = 0;

  for (uint32_t t = 0; t < core->team_count; t++)
    if ((int)t == team || pool->own_running[t] > 0
        || co_backlog_length (&pool->backlogs[t]) > 0)
      total_share += (double)core->teams[t]->share;
  return (double)core->teams[team]->share / total_share;
}

/* The estimate is the number of the team's requests that are ahead of REQUEST,
   divided by the number that can run in parallel and multiplied by the pool's
   average service time.  The requests in parallel are bounded by the team's
   share of the slots and by the quota of the team, both as held by this
   member.  */
co_time
co_estimate_wait (const struct co_core *core, const struct co_request *request)
{
  const struct co_pool *pool = core->pools[request->pool];
  const struct co_team *team = core->teams[request->team];
  const struct co_backlog *backlog = &pool->backlogs[request->team];
  const struct co_quota *quota = core->quotas[team->quota];
  double members = core->view.member_count > 0 ? core->view.member_count : 1;
  double ahead
      = request->urgent ? backlog->urgent.length : co_backlog_length (backlog);
  double slots = (double)pool->held_slots
                 * team_share_of_pool (core, pool, request->team);
  double quota_units = (double)co_quota_held (quota);
  double concurrency;

  if (pool->waiting < pool->free_slots && co_quota_unused (quota) > 0)
    return 0;
  /* Quota that is not held yet can be borrowed from other members: assume at
     least an even split of the team's limit.  */
  if (quota_units < (double)quota->limit / members)
    quota_units = (double)quota->limit / members;
  concurrency = slots < quota_units ? slots : quota_units;
  if (concurrency < min_concurrency)
    concurrency = min_concurrency;
  return (co_time)(ahead / concurrency * pool->mean_service_time_us);
}

/* Return whether TEAM may not add a request to QUEUE, because its requests
   that wait for the queue's pool fill its share of max_waiting or because
   twice max_waiting requests wait in the queue.  The share leaves room for the
   other teams when one floods the queue.  It doesn't bind a team without
   waiting requests, nor any team while the queue is empty.  */
static bool
has_filled_queue_share (const struct co_core *core,
                        const struct co_queue *queue, int team)
{
  const struct co_pool *pool = core->pools[queue->pool];
  double allowance = (double)queue->max_waiting;

  if (!(core->options.disabled & CO_DISABLE_FAIR_SHARES))
    allowance *= team_share_of_pool (core, pool, team);
  return queue->waiting >= 2 * queue->max_waiting
         || (queue->waiting > 0
             && (double)co_backlog_length (&pool->backlogs[team])
                    >= allowance);
}

uint32_t
co_retry_after_ms (struct co_core *core, enum co_reason reason, co_time wait)
{
  co_time after = wait;

  if (!co_reason_info (reason)->retryable)
    return 0;
  if (reason == CO_REASON_NO_LEASE || reason == CO_REASON_STOPPING
      || reason == CO_REASON_NO_HOST || reason == CO_REASON_CLAIM_UNAVAILABLE
      || reason == CO_REASON_NO_CONFIGURATION
      || reason == CO_REASON_ZONE_EVACUATED)
    after = recovery_retry_after;
  if (after < min_retry_after)
    after = min_retry_after;
  after += (co_time)((double)after * retry_jitter_fraction
                     * g_rand_double (core->random));
  if (after > max_retry_after)
    after = max_retry_after;
  return (uint32_t)(after / CO_MILLISECOND);
}

/* The latest start leaves the pool's average service time before the deadline.
   If that would be before the arrival, it is halfway between the arrival and
   the deadline.  For an urgent request, it is at most max_urgent_wait after
   the arrival.  */
co_time
co_latest_start (const struct co_core *core, const struct co_request *request)
{
  const struct co_pool *pool = core->pools[request->pool];
  co_time latest = request->deadline - (co_time)pool->mean_service_time_us;
  co_time latest_urgent = request->arrived_at + core->options.max_urgent_wait;

  if (core->options.disabled & CO_DISABLE_EARLY_REFUSAL)
    return request->deadline;
  if (latest < request->arrived_at)
    latest
        = request->arrived_at + (request->deadline - request->arrived_at) / 2;
  return request->urgent && latest_urgent < latest ? latest_urgent : latest;
}

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
  if (has_filled_queue_share (core, queue, request->team))
    return CO_REASON_QUEUE_FULL;
  if (pool->usable_hosts == 0)
    return co_zone_refusal_reason (pool, CO_REASON_NO_HOST);
  if (!(core->options.disabled & CO_DISABLE_EARLY_REFUSAL)
      && core->now + co_estimate_wait (core, request)
             > co_latest_start (core, request))
    return CO_REASON_WAIT_TOO_LONG;
  return CO_REASON_NONE;
}
