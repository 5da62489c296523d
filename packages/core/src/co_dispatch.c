#include "co_internal.h"

#include <string.h>

/* Dispatch: requests from admission to their final answer.

   An admitted request waits in the backlog of its team in its pool.  When a
   host has a free slot, the next request comes from the team that runs the
   fewest requests in the pool relative to its share, counted over all entry
   hosts.  Urgent requests go before archive requests, and an archive request
   counts as urgent once it has waited for archive_promotion_delay.  */

static const co_time archive_promotion_delay = 2 * CO_SECOND;
/* Of claiming and, after that, of fetching the answer of another executor.  */
static const co_time claim_timeout = CO_SECOND;
/* Before a claim is requested again: without a reply, and after the reply that
   the owner can't decide yet.  */
static const co_time claim_resend_interval = 300 * CO_MILLISECOND;
static const co_time claim_retry_interval = 50 * CO_MILLISECOND;
/* Weight of the newest service time in the pool's decaying average.  */
static const double service_time_weight = 0.05;
/* Retries that each admitted request adds to the retry budget of its pool, and
   the most that the budget can hold.  They bound the load that retries
   add.  */
static const double retry_budget_per_request = 0.1;
static const double max_retry_budget = 10.0;

static void
free_request (gpointer data)
{
  struct co_request *request = data;

  if (request->timer != NULL)
    g_sequence_remove (request->timer);
  talloc_free (request);
}

void
co_dispatch_init (struct co_core *core)
{
  core->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          free_request);
  core->request_timers = g_sequence_new (NULL);
  core->orphaned_slots
      = g_array_new (FALSE, FALSE, sizeof (struct co_orphaned_slot));
}

struct co_request *
co_request_find (struct co_core *core, uint64_t id)
{
  return g_hash_table_lookup (core->requests, &id);
}

/* ---- timers ---- */

/* Return the time at which the current state of REQUEST times out or its claim
   has to be requested again.  */
static co_time
timer_due (const struct co_request *request)
{
  if (request->state == CO_REQUEST_WAITING)
    return request->latest_start;
  if (request->state == CO_REQUEST_CLAIMING
      && request->claim_resend_at < request->state_deadline)
    return request->claim_resend_at;
  return request->state_deadline;
}

/* Order requests by the time at which their timers are due, then by id.  */
static gint
compare_timers (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const struct co_request *first = a;
  const struct co_request *second = b;
  co_time first_due = timer_due (first);
  co_time second_due = timer_due (second);

  if (first_due != second_due)
    return first_due < second_due ? -1 : 1;
  return first->id < second->id ? -1 : first->id > second->id;
}

static void
stop_timer (struct co_request *request)
{
  if (request->timer == NULL)
    return;
  g_sequence_remove (request->timer);
  request->timer = NULL;
}

static void
start_timer (struct co_core *core, struct co_request *request)
{
  request->timer = g_sequence_insert_sorted (core->request_timers, request,
                                             compare_timers, NULL);
}

/* ---- backlogs ---- */

uint32_t
co_backlog_length (const struct co_backlog *backlog)
{
  return backlog->urgent.length + backlog->archive.length;
}

/* Return the queue, by priority, that REQUEST belongs to in its team's
   backlog.  */
static GQueue *
backlog_queue (struct co_core *core, const struct co_request *request)
{
  struct co_backlog *backlog
      = &core->pools[request->pool]->backlogs[request->team];

  return request->urgent ? &backlog->urgent : &backlog->archive;
}

/* Make REQUEST wait in its backlog, at the head if AT_HEAD.  */
static void
enqueue (struct co_core *core, struct co_request *request, bool at_head)
{
  request->state = CO_REQUEST_WAITING;
  request->latest_start = co_latest_start (core, request);
  request->backlog_link.data = request;
  if (at_head)
    g_queue_push_head_link (backlog_queue (core, request),
                            &request->backlog_link);
  else
    g_queue_push_tail_link (backlog_queue (core, request),
                            &request->backlog_link);
  core->pools[request->pool]->waiting++;
  core->pools[request->pool]->needs_dispatch = true;
  core->teams[request->team]->waiting++;
  core->queues[request->queue]->waiting++;
  start_timer (core, request);
}

/* Take REQUEST out of its backlog.  */
static void
dequeue (struct co_core *core, struct co_request *request)
{
  g_queue_unlink (backlog_queue (core, request), &request->backlog_link);
  core->pools[request->pool]->waiting--;
  core->teams[request->team]->waiting--;
  core->queues[request->queue]->waiting--;
  stop_timer (request);
}

/* ---- slots and quotas ---- */

/* Acquire a worker slot of HOST and a unit of the quota of TEAM.  */
static void
acquire_slot (struct co_core *core, int host, int team)
{
  struct co_pool *pool = core->pools[core->hosts[host]->pool];

  core->hosts[host]->running++;
  pool->running++;
  pool->own_running[team]++;
  core->teams[team]->running++;
  co_quota_acquire (core, core->hosts[host]->quota);
  co_quota_acquire (core, core->teams[team]->quota);
}

/* Undo acquire_slot.  POOL_INDEX is the pool that the host was in when the
   slot was acquired.  The slot and the unit may be lent to other members at
   once.  */
static void
release_slot (struct co_core *core, int host, int team, int pool_index)
{
  struct co_pool *pool = core->pools[pool_index];

  core->hosts[host]->running--;
  pool->running--;
  pool->own_running[team]--;
  core->teams[team]->running--;
  co_quota_release (core, core->hosts[host]->quota);
  co_quota_release (core, core->teams[team]->quota);
  pool->needs_dispatch = true;
  co_borrow_serve_team (core, team);
  co_borrow_serve_pool (core, pool_index);
}

static void
release_request_slot (struct co_core *core, struct co_request *request)
{
  release_slot (core, request->host, request->team, request->pool);
  request->host = CO_NO_INDEX;
}

/* Detach the slot and quota unit of REQUEST from it and keep them acquired
   until its deadline, because its backend server may still be running it.  */
static void
orphan_slot (struct co_core *core, struct co_request *request)
{
  struct co_orphaned_slot orphan
      = { request->host, request->team, request->pool, request->deadline };

  g_array_append_val (core->orphaned_slots, orphan);
  request->host = CO_NO_INDEX;
}

/* Release the orphaned slots whose deadline has passed.  */
static void
release_orphaned_slots (struct co_core *core)
{
  for (guint i = core->orphaned_slots->len; i-- > 0;)
    {
      struct co_orphaned_slot orphan
          = g_array_index (core->orphaned_slots, struct co_orphaned_slot, i);

      if (orphan.occupied_until > core->now)
        continue;
      g_array_remove_index_fast (core->orphaned_slots, i);
      release_slot (core, orphan.host, orphan.team, orphan.pool);
    }
}

/* ---- final answers ---- */

/* Tell the driver to refuse request ID.  WAIT is the expected wait, from which
   the time to retry after is derived.  */
static void
emit_refusal (struct co_core *core, uint64_t id, enum co_reason reason,
              co_time wait)
{
  struct co_action *action = co_add_action (core, CO_ACTION_REFUSE);

  action->u.refuse.request_id = id;
  action->u.refuse.reason = reason;
  action->u.refuse.retry_after_ms = co_retry_after_ms (core, reason, wait);
  core->refusals[reason]++;
}

/* Refuse REQUEST for REASON and free it.  If its caller has disconnected, the
   driver is told to forget it instead.  REQUEST must be in no backlog and hold
   no slot.  */
static void
refuse_request (struct co_core *core, struct co_request *request,
                enum co_reason reason)
{
  /* After an earlier attempt that was sent, the answer must not say "not run",
     whatever ended the last attempt.  */
  if (request->maybe_sent && co_reason_info (reason)->run == CO_RUN_NOT_RUN)
    reason = CO_REASON_BACKEND_BROKEN;
  if (request->caller_gone)
    co_add_action (core, CO_ACTION_FORGET)->u.forget_request_id = request->id;
  else
    emit_refusal (core, request->id, reason, co_estimate_wait (core, request));
  g_hash_table_remove (core->requests, &request->id);
}

/* Answer REQUEST with the cached answer of an earlier execution, and free
   REQUEST.  */
static void
replay_answer (struct co_core *core, struct co_request *request,
               uint32_t status, const char *headers, struct ba_bytes body)
{
  struct co_action *action = co_add_action (core, CO_ACTION_REPLAY);

  action->u.replay.request_id = request->id;
  action->u.replay.http_status = status;
  action->u.replay.headers = talloc_strdup (core->outbox->mem, headers);
  action->u.replay.body
      = ba_bytes_copy (core->outbox->mem, body.data, body.len);
  co_increment_counter (core, CO_COUNTER_REPLAYS);
  g_hash_table_remove (core->requests, &request->id);
}

/* If this member has executed or is executing a request with the idempotency
   key of REQUEST, give REQUEST its final answer, free it and return true.  It
   must be in no backlog and hold no slot.  */
static bool
answer_if_repeated (struct co_core *core, struct co_request *request)
{
  struct co_execution *execution;

  if (request->idempotency_key == NULL || request->idempotent)
    return false;
  execution = co_execution_find (core, request->idempotency_key);
  if (execution == NULL)
    return false;
  switch (execution->state)
    {
    case CO_EXECUTION_RUNNING:
      refuse_request (core, request, CO_REASON_DUPLICATE_RUNNING);
      return true;
    case CO_EXECUTION_UNKNOWN:
      refuse_request (core, request, CO_REASON_DUPLICATE_UNKNOWN);
      return true;
    case CO_EXECUTION_TOO_LARGE:
      refuse_request (core, request, CO_REASON_DUPLICATE_TOO_LARGE);
      return true;
    case CO_EXECUTION_ANSWERED:
      replay_answer (core, request, execution->http_status, execution->headers,
                     execution->body);
      return true;
    default:
      return false;
    }
}

/* ---- arrival ---- */

void
co_request_receive (struct co_core *core, const struct co_event_request *event)
{
  struct co_request *request = talloc_zero (core, struct co_request);
  enum co_reason reason;

  co_increment_counter (core, CO_COUNTER_REQUESTS);
  request->id = event->request_id;
  request->host = CO_NO_INDEX;
  request->avoid_host = CO_NO_INDEX;
  request->idempotent = event->idempotent;
  request->arrived_at = core->now;
  request->deadline = event->deadline;
  if (request->deadline > core->now + core->options.max_time_to_deadline)
    request->deadline = core->now + core->options.max_time_to_deadline;
  reason = co_admit (core, event, request);
  if (reason != CO_REASON_NONE)
    {
      co_time wait
          = reason == CO_REASON_QUEUE_FULL || reason == CO_REASON_WAIT_TOO_LONG
                ? co_estimate_wait (core, request)
                : 0;

      emit_refusal (core, event->request_id, reason, wait);
      talloc_free (request);
      return;
    }
  if (event->idempotency_key != NULL)
    request->idempotency_key
        = talloc_asprintf (request, "%s/%s", core->teams[request->team]->name,
                           event->idempotency_key);
  g_hash_table_insert (core->requests, &request->id, request);
  if (answer_if_repeated (core, request))
    return;
  core->pools[request->pool]->retry_budget += retry_budget_per_request;
  if (core->pools[request->pool]->retry_budget > max_retry_budget)
    core->pools[request->pool]->retry_budget = max_retry_budget;
  enqueue (core, request, false);
}

/* ---- choice of the next request ---- */

uint32_t
co_team_running_in_fleet (const struct co_core *core,
                          const struct co_pool *pool, int team)
{
  uint32_t running = pool->own_running[team];

  if (core->options.disabled & CO_DISABLE_FLEET_SHARES)
    return running;
  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    if (pool->peer_running[i] != NULL)
      running += pool->peer_running[i][team];
  return running;
}

static struct co_request *
queue_head (GQueue *queue)
{
  return queue->head ? queue->head->data : NULL;
}

/* Return the next request of BACKLOG, or NULL, and set *URGENT to whether it
   counts as urgent.  */
static struct co_request *
next_in_backlog (const struct co_core *core, struct co_backlog *backlog,
                 bool *urgent)
{
  struct co_request *oldest_urgent = queue_head (&backlog->urgent);
  struct co_request *oldest_archive = queue_head (&backlog->archive);
  bool archive_is_urgent
      = oldest_archive != NULL
        && core->now - oldest_archive->arrived_at >= archive_promotion_delay;

  *urgent = oldest_urgent != NULL || archive_is_urgent;
  if (oldest_urgent != NULL && archive_is_urgent)
    return oldest_archive->arrived_at < oldest_urgent->arrived_at
               ? oldest_archive
               : oldest_urgent;
  return oldest_urgent != NULL ? oldest_urgent : oldest_archive;
}

/* Return whether this member has an unused unit of the quota of TEAM.  */
static bool
has_team_quota (const struct co_core *core, int team)
{
  const struct co_quota *quota = core->quotas[core->teams[team]->quota];

  if (core->options.disabled & CO_DISABLE_QUOTA)
    return true;
  return co_quota_is_usable (core, quota) && co_quota_unused (quota) > 0;
}

/* Return the next request to start in the pool at POOL_INDEX, or NULL.  For
   teams that lack quota, ask other members for it.  */
static struct co_request *
choose_request (struct co_core *core, int pool_index)
{
  struct co_pool *pool = core->pools[pool_index];
  struct co_request *chosen = NULL;
  bool chosen_urgent = false;
  double chosen_rank = 0;

  for (uint32_t t = 0; t < core->team_count; t++)
    {
      bool urgent;
      struct co_request *candidate
          = next_in_backlog (core, &pool->backlogs[t], &urgent);
      double rank;

      if (candidate == NULL)
        continue;
      if (!has_team_quota (core, (int)t))
        {
          co_borrow_for_team (core, (int)t);
          continue;
        }
      if (core->options.disabled & CO_DISABLE_FAIR_SHARES)
        rank = (double)candidate->arrived_at;
      else
        rank = ((double)co_team_running_in_fleet (core, pool, (int)t) + 1.0)
               / (double)core->teams[t]->share;
      if (chosen == NULL || (urgent && !chosen_urgent)
          || (urgent == chosen_urgent && rank < chosen_rank))
        {
          chosen = candidate;
          chosen_urgent = urgent;
          chosen_rank = rank;
        }
    }
  return chosen;
}

/* ---- start ---- */

/* Tell the driver to send REQUEST to its host.  */
static void
send_to_host (struct co_core *core, struct co_request *request)
{
  const struct co_host *host = core->hosts[request->host];
  struct co_action *action = co_add_action (core, CO_ACTION_START);

  stop_timer (request);
  request->state = CO_REQUEST_RUNNING;
  request->started_at = core->now;
  request->attempt_count++;
  action->u.start.request_id = request->id;
  action->u.start.host = co_outbox_strdup (core, host->name);
  action->u.start.address = co_outbox_strdup (core, host->address);
  action->u.start.deadline = request->deadline;
  action->u.start.idempotent = request->idempotent;
  co_increment_counter (core, CO_COUNTER_STARTS);
}

/* Return whether REQUEST must be claimed before it is sent.  */
static bool
needs_claim (const struct co_core *core, const struct co_request *request)
{
  return request->idempotency_key != NULL && !request->idempotent
         && !request->claimed && !(core->options.disabled & CO_DISABLE_CLAIMS);
}

/* Ask the owner for the claim of REQUEST, and have the timer ask again after
   RESEND_AFTER, because the message or its reply may be lost.  REQUEST may be
   freed.  */
static void
ask_owner_for_claim (struct co_core *core, struct co_request *request,
                     co_time resend_after)
{
  stop_timer (request);
  request->claim_resend_at = core->now + resend_after;
  start_timer (core, request);
  co_claim_acquire (core, request);
}

/* Take REQUEST from its backlog and start it on HOST: send it, or ask for its
   claim first if it needs one.  A repeated request gets its final answer
   instead.  REQUEST may be freed.  */
static void
start_request (struct co_core *core, struct co_request *request, int host)
{
  dequeue (core, request);
  if (request->attempt_count == 0 && !request->claimed
      && answer_if_repeated (core, request))
    return;
  request->host = host;
  acquire_slot (core, host, request->team);
  if (request->idempotency_key != NULL && !request->idempotent)
    {
      co_execution_set_state (core, request->idempotency_key,
                              CO_EXECUTION_RUNNING);
      co_execution_find (core, request->idempotency_key)->request_id
          = request->id;
    }
  if (!needs_claim (core, request))
    {
      send_to_host (core, request);
      return;
    }
  request->state = CO_REQUEST_CLAIMING;
  request->state_deadline = core->now + claim_timeout;
  if (request->state_deadline > request->deadline)
    request->state_deadline = request->deadline;
  ask_owner_for_claim (core, request, claim_resend_interval);
}

/* Refuse and free REQUEST, whose current attempt has sent nothing.  Its slot
   and its claim are released.  */
static void
abort_request (struct co_core *core, struct co_request *request,
               enum co_reason reason)
{
  stop_timer (request);
  if (request->idempotency_key != NULL && !request->idempotent)
    {
      co_execution_set_state (core, request->idempotency_key,
                              CO_EXECUTION_NOT_RUN);
      if (request->claimed)
        co_claim_release (core, request->idempotency_key, request->id);
    }
  release_request_slot (core, request);
  refuse_request (core, request, reason);
}

/* Ask EXECUTOR, which holds the claim of REQUEST's idempotency key, for its
   answer.  The slot of REQUEST is released.  If EXECUTOR is not a member any
   more, REQUEST is refused and freed.  */
static void
fetch_answer (struct co_core *core, struct co_request *request,
              uint64_t executor)
{
  int executor_peer_slot = co_peer_slot (core, executor);
  struct co_msg *message;

  stop_timer (request);
  co_execution_set_state (core, request->idempotency_key,
                          CO_EXECUTION_NOT_RUN);
  release_request_slot (core, request);
  if (!co_is_member (core, executor_peer_slot))
    {
      refuse_request (core, request, CO_REASON_DUPLICATE_UNKNOWN);
      return;
    }
  request->state = CO_REQUEST_FETCHING;
  request->state_deadline = core->now + claim_timeout;
  start_timer (core, request);
  message = co_add_message (core, executor, CO_MSG_FETCH_ANSWER);
  message->u.fetch_answer.request_id = request->id;
  message->u.fetch_answer.idempotency_key
      = co_outbox_strdup (core, request->idempotency_key);
}

/* Have REQUEST, which holds the claim of its idempotency key and has not been
   sent, wait for another host than its current one.  */
static void
wait_for_another_host (struct co_core *core, struct co_request *request)
{
  stop_timer (request);
  release_request_slot (core, request);
  enqueue (core, request, true);
}

void
co_request_claim_decided (struct co_core *core, struct co_request *request,
                          uint32_t result, uint64_t executor)
{
  if (request->state != CO_REQUEST_CLAIMING)
    return;
  switch (result)
    {
    case CO_CLAIM_GRANTED:
      request->claimed = true;
      /* If the caller has disconnected, the reason is not used.  */
      if (request->caller_gone || !co_has_lease (core))
        abort_request (core, request, CO_REASON_NO_LEASE);
      else if (core->hosts[request->host]->zone_evacuated)
        wait_for_another_host (core, request);
      else
        send_to_host (core, request);
      break;
    case CO_CLAIM_TAKEN:
      fetch_answer (core, request, executor);
      break;
    default:
      if (core->table_unreachable)
        abort_request (core, request, CO_REASON_CLAIM_UNAVAILABLE);
      else
        {
          /* The owner can't decide yet, for example while the view is
             changing: ask again.  */
          stop_timer (request);
          request->claim_resend_at = core->now + claim_retry_interval;
          start_timer (core, request);
        }
      break;
    }
}

void
co_request_fetch_done (struct co_core *core, struct co_request *request,
                       const struct co_msg_fetch_reply *reply)
{
  if (request->state != CO_REQUEST_FETCHING)
    return;
  stop_timer (request);
  switch (reply->state)
    {
    case CO_EXECUTION_ANSWERED:
      replay_answer (core, request, reply->http_status, reply->headers,
                     reply->body);
      break;
    case CO_EXECUTION_RUNNING:
      refuse_request (core, request, CO_REASON_DUPLICATE_RUNNING);
      break;
    case CO_EXECUTION_TOO_LARGE:
      refuse_request (core, request, CO_REASON_DUPLICATE_TOO_LARGE);
      break;
    case CO_EXECUTION_UNKNOWN:
      refuse_request (core, request, CO_REASON_DUPLICATE_UNKNOWN);
      break;
    default:
      refuse_request (core, request, CO_REASON_CLAIM_UNAVAILABLE);
      break;
    }
}

/* Start requests of the pool at INDEX while this member has slots and quota
   for them, and ask other members for slots if requests still wait.  */
static void
dispatch_pool (struct co_core *core, int index)
{
  struct co_pool *pool = core->pools[index];
  struct co_request *request;

  pool->needs_dispatch = false;
  if (pool->waiting == 0)
    return;
  if (!co_has_lease (core))
    return;
  while ((request = choose_request (core, index)) != NULL)
    {
      int host = co_host_select (core, index, request->avoid_host);

      if (host == CO_NO_INDEX)
        break;
      start_request (core, request, host);
    }
  if (pool->waiting > 0)
    co_borrow_for_pool (core, index);
}

void
co_dispatch_pools (struct co_core *core)
{
  bool again = true;

  while (again)
    {
      again = false;
      for (uint32_t i = 0; i < core->pool_count; i++)
        if (core->pools[i]->needs_dispatch)
          {
            again = true;
            dispatch_pool (core, (int)i);
          }
    }
}

/* ---- results of attempts ---- */

/* Return whether the failed attempt of REQUEST may be retried; if so, take one
   retry from the pool's budget.  Set *REASON if the budget is used up.  */
static bool
take_retry_from_budget (struct co_core *core, const struct co_request *request,
                        enum co_reason *reason)
{
  struct co_pool *pool = core->pools[request->pool];

  if (request->caller_gone || request->attempt_count >= CO_MAX_ATTEMPT_COUNT
      || core->now >= request->deadline)
    return false;
  if (pool->retry_budget < 1.0)
    {
      *reason = CO_REASON_RETRY_BUDGET;
      return false;
    }
  pool->retry_budget -= 1.0;
  return true;
}

/* Handle an attempt that failed before anything was sent: retry it,
   preferably on another host, or refuse REQUEST and free it.  */
static void
handle_not_sent (struct co_core *core, struct co_request *request)
{
  enum co_reason reason = CO_REASON_CONNECT_FAILED;

  request->avoid_host = request->host;
  if (!take_retry_from_budget (core, request, &reason))
    {
      abort_request (core, request, reason);
      return;
    }
  co_increment_counter (core, CO_COUNTER_RETRIES_NOT_SENT);
  release_request_slot (core, request);
  enqueue (core, request, true);
}

/* Handle an attempt that was sent and got no whole answer, so that it may have
   run or still be running: retry it if REQUEST is idempotent and its caller
   has received nothing, or refuse REQUEST and free it.  */
static void
handle_broken (struct co_core *core, struct co_request *request,
               const struct co_event_attempt_done *done)
{
  enum co_reason reason = CO_REASON_BACKEND_BROKEN;
  bool retry = request->idempotent && !done->streamed
               && take_retry_from_budget (core, request, &reason);

  request->avoid_host = request->host;
  request->maybe_sent = true;
  if (request->idempotency_key != NULL && !request->idempotent)
    co_execution_set_state (core, request->idempotency_key,
                            CO_EXECUTION_UNKNOWN);
  if (core->now < request->deadline)
    orphan_slot (core, request);
  else
    release_request_slot (core, request);
  if (retry)
    {
      co_increment_counter (core, CO_COUNTER_RETRIES_IDEMPOTENT);
      enqueue (core, request, true);
      return;
    }
  refuse_request (core, request, CO_REASON_BACKEND_BROKEN);
}

/* Handle an attempt whose whole answer was received, which the driver has
   passed on to the caller, and free REQUEST.  */
static void
handle_answered (struct co_core *core, struct co_request *request,
                 const struct co_event_attempt_done *done)
{
  struct co_pool *pool = core->pools[request->pool];
  double service_time = (double)(core->now - request->started_at);

  pool->mean_service_time_us
      += service_time_weight * (service_time - pool->mean_service_time_us);
  if (request->idempotency_key != NULL && !request->idempotent)
    co_execution_cache_answer (core, request->idempotency_key, done);
  co_increment_counter (core, request->caller_gone ? CO_COUNTER_WASTED_ANSWERS
                                                   : CO_COUNTER_ANSWERS);
  release_request_slot (core, request);
  co_add_action (core, CO_ACTION_FORGET)->u.forget_request_id = request->id;
  g_hash_table_remove (core->requests, &request->id);
}

void
co_request_attempt_done (struct co_core *core,
                         const struct co_event_attempt_done *done)
{
  struct co_request *request = co_request_find (core, done->request_id);
  bool failed;

  if (request == NULL || request->state != CO_REQUEST_RUNNING)
    return;
  failed = done->result != CO_ATTEMPT_ANSWERED || done->http_status >= 500;
  co_host_record_result (core, request->host, failed);
  switch (done->result)
    {
    case CO_ATTEMPT_ANSWERED:
      handle_answered (core, request, done);
      break;
    case CO_ATTEMPT_NOT_SENT:
      handle_not_sent (core, request);
      break;
    case CO_ATTEMPT_TIMED_OUT:
      if (request->idempotency_key != NULL && !request->idempotent)
        co_execution_set_state (core, request->idempotency_key,
                                CO_EXECUTION_UNKNOWN);
      release_request_slot (core, request);
      refuse_request (core, request, CO_REASON_BACKEND_TIMEOUT);
      break;
    default:
      handle_broken (core, request, done);
      break;
    }
}

/* Refuse REQUEST, which is in its backlog, and free it.  If it has claimed its
   idempotency key, the claim is released.  */
static void
end_waiting (struct co_core *core, struct co_request *request,
             enum co_reason reason)
{
  dequeue (core, request);
  if (request->idempotency_key != NULL && !request->idempotent
      && (request->attempt_count > 0 || request->claimed))
    {
      co_execution_set_state (core, request->idempotency_key,
                              CO_EXECUTION_NOT_RUN);
      if (request->claimed)
        co_claim_release (core, request->idempotency_key, request->id);
    }
  refuse_request (core, request, reason);
}

void
co_request_caller_gone (struct co_core *core, uint64_t id)
{
  struct co_request *request = co_request_find (core, id);

  if (request == NULL)
    return;
  request->caller_gone = true;
  if (request->state == CO_REQUEST_WAITING)
    end_waiting (core, request, CO_REASON_NONE);
}

/* ---- timeouts ---- */

/* Handle every request whose timer is due.  */
static void
expire_timers (struct co_core *core)
{
  while (!g_sequence_is_empty (core->request_timers))
    {
      struct co_request *request
          = g_sequence_get (g_sequence_get_begin_iter (core->request_timers));

      if (timer_due (request) > core->now)
        return;
      switch (request->state)
        {
        case CO_REQUEST_WAITING:
          end_waiting (core, request,
                       co_zone_refusal_reason (core->pools[request->pool],
                                               core->now >= request->deadline
                                                   ? CO_REASON_DEADLINE_PASSED
                                                   : CO_REASON_WAIT_TOO_LONG));
          break;
        case CO_REQUEST_CLAIMING:
          if (core->now < request->state_deadline && !core->table_unreachable)
            ask_owner_for_claim (core, request, claim_resend_interval);
          else
            abort_request (core, request, CO_REASON_CLAIM_UNAVAILABLE);
          break;
        default: /* CO_REQUEST_FETCHING: the executor did not reply */
          stop_timer (request);
          refuse_request (core, request, CO_REASON_DUPLICATE_UNKNOWN);
          break;
        }
    }
}

/* Refuse all waiting requests for REASON.  */
static void
refuse_all_waiting (struct co_core *core, enum co_reason reason)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *waiting = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct co_request *)value)->state == CO_REQUEST_WAITING)
      g_ptr_array_add (waiting, value);
  for (guint i = 0; i < waiting->len; i++)
    end_waiting (core, g_ptr_array_index (waiting, i), reason);
  g_ptr_array_free (waiting, TRUE);
}

void
co_dispatch_tick (struct co_core *core)
{
  release_orphaned_slots (core);
  expire_timers (core);
  if (g_hash_table_size (core->requests) > 0 && !co_has_lease (core))
    refuse_all_waiting (core, CO_REASON_NO_LEASE);
  for (uint32_t i = 0; i < core->pool_count; i++)
    if (core->pools[i]->waiting > 0)
      core->pools[i]->needs_dispatch = true;
}
