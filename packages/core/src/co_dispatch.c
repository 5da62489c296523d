#include "co_internal.h"

#include <string.h>

/* Requests from admission to their final answer.

   A request waits in the line of its team in its pool.  When a slot is free,
   the next start goes to the team that is furthest below its share of what
   runs in the pool over the whole fleet; urgent requests go before archive
   ones, and an archive request that has waited long counts as urgent.  */

static const co_time archive_age = 2 * CO_SECOND;
static const co_time claim_patience = CO_SECOND;
static const co_time claim_resend = 300 * CO_MILLISECOND;
static const co_time claim_retry = 50 * CO_MILLISECOND;
static const double service_weight = 0.05;   /* of the newest service time */
static const double retry_earned = 0.1;      /* retries per request */
static const double retry_budget_max = 10.0; /* retries saved up at most */

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

static co_time
timer_of (const struct co_request *request)
{
  if (request->state == CO_REQUEST_WAITING)
    return request->latest_start;
  if (request->state == CO_REQUEST_CLAIMING
      && request->claim_resend_at < request->state_deadline)
    return request->claim_resend_at;
  return request->state_deadline;
}

static gint
compare_timers (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const struct co_request *x = a;
  const struct co_request *y = b;
  co_time s = timer_of (x);
  co_time t = timer_of (y);

  if (s != t)
    return s < t ? -1 : 1;
  return x->id < y->id ? -1 : x->id > y->id;
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

/* ---- lines ---- */

uint32_t
co_backlog_length (const struct co_backlog *line)
{
  return line->urgent.length + line->archive.length;
}

static GQueue *
line_of (struct co_core *core, const struct co_request *request)
{
  struct co_backlog *line
      = &core->pools[request->pool]->backlogs[request->team];

  return request->urgent ? &line->urgent : &line->archive;
}

static void
enter_line (struct co_core *core, struct co_request *request, bool first)
{
  request->state = CO_REQUEST_WAITING;
  request->latest_start = co_latest_start (core, request);
  request->backlog_link.data = request;
  if (first)
    g_queue_push_head_link (line_of (core, request), &request->backlog_link);
  else
    g_queue_push_tail_link (line_of (core, request), &request->backlog_link);
  core->pools[request->pool]->waiting++;
  core->pools[request->pool]->needs_dispatch = true;
  core->teams[request->team]->waiting++;
  core->queues[request->queue]->waiting++;
  start_timer (core, request);
}

static void
leave_line (struct co_core *core, struct co_request *request)
{
  g_queue_unlink (line_of (core, request), &request->backlog_link);
  core->pools[request->pool]->waiting--;
  core->teams[request->team]->waiting--;
  core->queues[request->queue]->waiting--;
  stop_timer (request);
}

/* ---- slots and rights ---- */

static void
occupy (struct co_core *core, int host, int team)
{
  struct co_pool *pool = core->pools[core->hosts[host]->pool];

  core->hosts[host]->running++;
  pool->running++;
  pool->own_running[team]++;
  core->teams[team]->running++;
  co_quota_acquire (core, core->hosts[host]->quota);
  co_quota_acquire (core, core->teams[team]->quota);
}

/* Undo occupy.  POOL is the one the host was in at the time.  */
static void
vacate (struct co_core *core, int host, int team, int pool_index)
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
release (struct co_core *core, struct co_request *request)
{
  vacate (core, request->host, request->team, request->pool);
  request->host = CO_NO_INDEX;
}

/* Keep slot and right of REQUEST taken until its deadline: its backend server
   may still be running it.  */
static void
linger (struct co_core *core, struct co_request *request)
{
  struct co_orphaned_slot l
      = { request->host, request->team, request->pool, request->deadline };

  g_array_append_val (core->orphaned_slots, l);
  request->host = CO_NO_INDEX;
}

static void
end_lingers (struct co_core *core)
{
  for (guint i = core->orphaned_slots->len; i-- > 0;)
    {
      struct co_orphaned_slot l
          = g_array_index (core->orphaned_slots, struct co_orphaned_slot, i);

      if (l.occupied_until > core->now)
        continue;
      g_array_remove_index_fast (core->orphaned_slots, i);
      vacate (core, l.host, l.team, l.pool);
    }
}

/* ---- ends ---- */

static void
emit_refusal (struct co_core *core, uint64_t id, enum co_reason reason,
              co_time wait)
{
  struct co_action *o = co_add_action (core, CO_ACTION_REFUSE);

  o->u.refuse.request_id = id;
  o->u.refuse.reason = reason;
  o->u.refuse.retry_after_ms = co_retry_after_ms (core, reason, wait);
  core->refusals[reason]++;
}

/* Give REQUEST, which is on no line and holds nothing, its final answer.  */
static void
refuse (struct co_core *core, struct co_request *request,
        enum co_reason reason)
{
  /* Whatever ends a repeated attempt: the first one may have run.  */
  if (request->maybe_sent && co_reason_info (reason)->run == CO_RUN_NOT_RUN)
    reason = CO_REASON_BACKEND_BROKEN;
  if (request->caller_gone)
    co_add_action (core, CO_ACTION_FORGET)->u.forget_request_id = request->id;
  else
    emit_refusal (core, request->id, reason, co_estimate_wait (core, request));
  g_hash_table_remove (core->requests, &request->id);
}

static void
replay (struct co_core *core, struct co_request *request, uint32_t status,
        const char *headers, struct ba_bytes body)
{
  struct co_action *o = co_add_action (core, CO_ACTION_REPLAY);

  o->u.replay.request_id = request->id;
  o->u.replay.http_status = status;
  o->u.replay.headers = talloc_strdup (core->outbox->mem, headers);
  o->u.replay.body = ba_bytes_copy (core->outbox->mem, body.data, body.len);
  co_increment_counter (core, CO_COUNTER_REPLAYS);
  g_hash_table_remove (core->requests, &request->id);
}

/* If the identity of REQUEST is known here, answer from memory and return
   true.  REQUEST is on no line and holds nothing.  */
static bool
answer_repeat (struct co_core *core, struct co_request *request)
{
  struct co_execution *kept;

  if (request->idempotency_key == NULL || request->idempotent)
    return false;
  kept = co_execution_find (core, request->idempotency_key);
  if (kept == NULL)
    return false;
  switch (kept->state)
    {
    case CO_EXECUTION_RUNNING:
      refuse (core, request, CO_REASON_DUPLICATE_RUNNING);
      return true;
    case CO_EXECUTION_UNKNOWN:
      refuse (core, request, CO_REASON_DUPLICATE_UNKNOWN);
      return true;
    case CO_EXECUTION_TOO_LARGE:
      refuse (core, request, CO_REASON_DUPLICATE_TOO_LARGE);
      return true;
    case CO_EXECUTION_ANSWERED:
      replay (core, request, kept->http_status, kept->headers, kept->body);
      return true;
    default:
      return false;
    }
}

/* ---- admission ---- */

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
  if (answer_repeat (core, request))
    return;
  core->pools[request->pool]->retry_budget += retry_earned;
  if (core->pools[request->pool]->retry_budget > retry_budget_max)
    core->pools[request->pool]->retry_budget = retry_budget_max;
  enter_line (core, request, false);
}

/* ---- choice of the next request ---- */

/* Return the requests that TEAM runs in POOL over the whole fleet, as far as
   the members' heartbeats tell.  */
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
first_of (GQueue *line)
{
  return line->head ? line->head->data : NULL;
}

/* Return the request of TEAM that goes first, and whether it counts as
   urgent.  */
static struct co_request *
first_of_team (const struct co_core *core, struct co_backlog *line,
               bool *urgent)
{
  struct co_request *u = first_of (&line->urgent);
  struct co_request *a = first_of (&line->archive);
  bool aged = a != NULL && core->now - a->arrived_at >= archive_age;

  *urgent = u != NULL || aged;
  if (u != NULL && aged)
    return a->arrived_at < u->arrived_at ? a : u;
  return u != NULL ? u : a;
}

static bool
has_right (const struct co_core *core, int team)
{
  const struct co_quota *right = core->quotas[core->teams[team]->quota];

  if (core->options.disabled & CO_DISABLE_QUOTA)
    return true;
  return co_quota_is_usable (core, right) && co_quota_unused (right) > 0;
}

/* Return the next request of POOL to start, or NULL.  */
static struct co_request *
next_request (struct co_core *core, int pool_index)
{
  struct co_pool *pool = core->pools[pool_index];
  struct co_request *best = NULL;
  bool best_urgent = false;
  double best_order = 0;

  for (uint32_t t = 0; t < core->team_count; t++)
    {
      bool urgent;
      struct co_request *r = first_of_team (core, &pool->backlogs[t], &urgent);
      double order;

      if (r == NULL)
        continue;
      if (!has_right (core, (int)t))
        {
          co_borrow_for_team (core, (int)t);
          continue;
        }
      if (core->options.disabled & CO_DISABLE_FAIR_SHARES)
        order = (double)r->arrived_at;
      else
        order = ((double)co_team_running_in_fleet (core, pool, (int)t) + 1.0)
                / (double)core->teams[t]->share;
      if (best == NULL || (urgent && !best_urgent)
          || (urgent == best_urgent && order < best_order))
        {
          best = r;
          best_urgent = urgent;
          best_order = order;
        }
    }
  return best;
}

/* ---- start ---- */

static void
send_out (struct co_core *core, struct co_request *request)
{
  const struct co_host *host = core->hosts[request->host];
  struct co_action *o = co_add_action (core, CO_ACTION_START);

  stop_timer (request);
  request->state = CO_REQUEST_RUNNING;
  request->started_at = core->now;
  request->attempt_count++;
  o->u.start.request_id = request->id;
  o->u.start.host = co_outbox_strdup (core, host->name);
  o->u.start.address = co_outbox_strdup (core, host->address);
  o->u.start.deadline = request->deadline;
  o->u.start.idempotent = request->idempotent;
  co_increment_counter (core, CO_COUNTER_STARTS);
}

static bool
needs_claim (const struct co_core *core, const struct co_request *request)
{
  return request->idempotency_key != NULL && !request->idempotent
         && !request->claimed && !(core->options.disabled & CO_DISABLE_CLAIMS);
}

/* Ask for the claim of REQUEST, and again after RESEND: the question or its
   answer may get lost, and asking twice does no harm.  */
static void
ask_claim (struct co_core *core, struct co_request *request, co_time resend)
{
  stop_timer (request);
  request->claim_resend_at = core->now + resend;
  start_timer (core, request);
  co_claim_acquire (core, request);
}

/* Start REQUEST, which is on a line, on HOST.  */
static void
start (struct co_core *core, struct co_request *request, int host)
{
  leave_line (core, request);
  if (request->attempt_count == 0 && answer_repeat (core, request))
    return;
  request->host = host;
  occupy (core, host, request->team);
  if (request->idempotency_key != NULL && !request->idempotent)
    {
      co_execution_set_state (core, request->idempotency_key,
                              CO_EXECUTION_RUNNING);
      co_execution_find (core, request->idempotency_key)->request_id
          = request->id;
    }
  if (!needs_claim (core, request))
    {
      send_out (core, request);
      return;
    }
  request->state = CO_REQUEST_CLAIMING;
  request->state_deadline = core->now + claim_patience;
  if (request->state_deadline > request->deadline)
    request->state_deadline = request->deadline;
  ask_claim (core, request, claim_resend);
}

/* Give up REQUEST before anything of it was sent.  It holds a slot.  */
static void
give_up (struct co_core *core, struct co_request *request,
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
  release (core, request);
  refuse (core, request, reason);
}

static void
fetch (struct co_core *core, struct co_request *request, uint64_t executor)
{
  int slot = co_peer_slot (core, executor);
  struct co_msg *m;

  stop_timer (request);
  co_execution_set_state (core, request->idempotency_key,
                          CO_EXECUTION_NOT_RUN);
  release (core, request);
  if (!co_is_member (core, slot))
    {
      refuse (core, request, CO_REASON_DUPLICATE_UNKNOWN);
      return;
    }
  request->state = CO_REQUEST_FETCHING;
  request->state_deadline = core->now + claim_patience;
  start_timer (core, request);
  m = co_add_message (core, executor, CO_MSG_FETCH_ANSWER);
  m->u.fetch_answer.request_id = request->id;
  m->u.fetch_answer.idempotency_key
      = co_outbox_strdup (core, request->idempotency_key);
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
      if (request->caller_gone || !co_has_lease (core))
        give_up (core, request, CO_REASON_NO_LEASE);
      else
        send_out (core, request);
      break;
    case CO_CLAIM_TAKEN:
      fetch (core, request, executor);
      break;
    default:
      if (core->table_unreachable)
        give_up (core, request, CO_REASON_CLAIM_UNAVAILABLE);
      else
        {
          /* The view is changing: the owner will soon be ready.  */
          stop_timer (request);
          request->claim_resend_at = core->now + claim_retry;
          start_timer (core, request);
        }
      break;
    }
}

/* Take the executor's answer about an identity that it has claimed.  */
void
co_request_fetch_done (struct co_core *core, struct co_request *request,
                       const struct co_msg_fetch_reply *answer)
{
  if (request->state != CO_REQUEST_FETCHING)
    return;
  stop_timer (request);
  switch (answer->state)
    {
    case CO_EXECUTION_ANSWERED:
      replay (core, request, answer->http_status, answer->headers,
              answer->body);
      break;
    case CO_EXECUTION_RUNNING:
      refuse (core, request, CO_REASON_DUPLICATE_RUNNING);
      break;
    case CO_EXECUTION_TOO_LARGE:
      refuse (core, request, CO_REASON_DUPLICATE_TOO_LARGE);
      break;
    case CO_EXECUTION_UNKNOWN:
      refuse (core, request, CO_REASON_DUPLICATE_UNKNOWN);
      break;
    default:
      refuse (core, request, CO_REASON_CLAIM_UNAVAILABLE);
      break;
    }
}

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
  while ((request = next_request (core, index)) != NULL)
    {
      int host = co_worker_select (core, index, request->avoid_host);

      if (host == CO_NO_INDEX)
        break;
      start (core, request, host);
    }
  if (pool->waiting > 0)
    co_borrow_for_pool (core, index);
}

/* Start what can be started in the pools that changed.  */
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

/* ---- results ---- */

/* Whether a failed attempt of REQUEST may be repeated, using up budget.  */
static bool
may_retry (struct co_core *core, const struct co_request *request,
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

static void
done_not_sent (struct co_core *core, struct co_request *request)
{
  enum co_reason reason = CO_REASON_CONNECT_FAILED;

  request->avoid_host = request->host;
  if (!may_retry (core, request, &reason))
    {
      give_up (core, request, reason);
      return;
    }
  co_increment_counter (core, CO_COUNTER_RETRIES_NOT_SENT);
  release (core, request);
  enter_line (core, request, true);
}

static void
done_broken (struct co_core *core, struct co_request *request,
             const struct co_event_attempt_done *done)
{
  enum co_reason reason = CO_REASON_BACKEND_BROKEN;
  bool repeat = request->idempotent && !done->streamed
                && may_retry (core, request, &reason);

  request->avoid_host = request->host;
  request->maybe_sent = true;
  if (request->idempotency_key != NULL && !request->idempotent)
    co_execution_set_state (core, request->idempotency_key,
                            CO_EXECUTION_UNKNOWN);
  if (core->now < request->deadline)
    linger (core, request);
  else
    release (core, request);
  if (repeat)
    {
      co_increment_counter (core, CO_COUNTER_RETRIES_IDEMPOTENT);
      enter_line (core, request, true);
      return;
    }
  refuse (core, request, CO_REASON_BACKEND_BROKEN);
}

static void
done_answered (struct co_core *core, struct co_request *request,
               const struct co_event_attempt_done *done)
{
  struct co_pool *pool = core->pools[request->pool];
  double took = (double)(core->now - request->started_at);

  pool->mean_service_time += service_weight * (took - pool->mean_service_time);
  if (request->idempotency_key != NULL && !request->idempotent)
    co_execution_store_answer (core, request->idempotency_key, done);
  co_increment_counter (core, request->caller_gone ? CO_COUNTER_WASTED_ANSWERS
                                                   : CO_COUNTER_ANSWERS);
  release (core, request);
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
  co_worker_record_result (core, request->host, failed);
  switch (done->result)
    {
    case CO_ATTEMPT_ANSWERED:
      done_answered (core, request, done);
      break;
    case CO_ATTEMPT_NOT_SENT:
      done_not_sent (core, request);
      break;
    case CO_ATTEMPT_TIMED_OUT:
      if (request->idempotency_key != NULL && !request->idempotent)
        co_execution_set_state (core, request->idempotency_key,
                                CO_EXECUTION_UNKNOWN);
      release (core, request);
      refuse (core, request, CO_REASON_BACKEND_TIMEOUT);
      break;
    default:
      done_broken (core, request, done);
      break;
    }
}

/* End REQUEST, which waits on a line, without running it.  */
static void
abandon (struct co_core *core, struct co_request *request,
         enum co_reason reason)
{
  leave_line (core, request);
  if (request->idempotency_key != NULL && !request->idempotent
      && request->attempt_count > 0)
    {
      co_execution_set_state (core, request->idempotency_key,
                              CO_EXECUTION_NOT_RUN);
      if (request->claimed)
        co_claim_release (core, request->idempotency_key, request->id);
    }
  refuse (core, request, reason);
}

void
co_request_caller_gone (struct co_core *core, uint64_t id)
{
  struct co_request *request = co_request_find (core, id);

  if (request == NULL)
    return;
  request->caller_gone = true;
  if (request->state == CO_REQUEST_WAITING)
    abandon (core, request, CO_REASON_NONE);
}

/* ---- time ---- */

static void
expire (struct co_core *core)
{
  while (!g_sequence_is_empty (core->request_timers))
    {
      struct co_request *request
          = g_sequence_get (g_sequence_get_begin_iter (core->request_timers));

      if (timer_of (request) > core->now)
        return;
      switch (request->state)
        {
        case CO_REQUEST_WAITING:
          abandon (core, request,
                   core->now >= request->deadline ? CO_REASON_DEADLINE_PASSED
                                                  : CO_REASON_WAIT_TOO_LONG);
          break;
        case CO_REQUEST_CLAIMING:
          if (core->now < request->state_deadline && !core->table_unreachable)
            ask_claim (core, request, claim_resend);
          else
            give_up (core, request, CO_REASON_CLAIM_UNAVAILABLE);
          break;
        default:
          stop_timer (request);
          refuse (core, request, CO_REASON_DUPLICATE_UNKNOWN);
          break;
        }
    }
}

/* A member without standing starts nothing, so what waits is refused.  */
static void
refuse_waiting (struct co_core *core, enum co_reason reason)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *waiting = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct co_request *)value)->state == CO_REQUEST_WAITING)
      g_ptr_array_add (waiting, value);
  for (guint i = 0; i < waiting->len; i++)
    abandon (core, g_ptr_array_index (waiting, i), reason);
  g_ptr_array_free (waiting, TRUE);
}

void
co_dispatch_tick (struct co_core *core)
{
  end_lingers (core);
  expire (core);
  if (g_hash_table_size (core->requests) > 0 && !co_has_lease (core))
    refuse_waiting (core, CO_REASON_NO_LEASE);
  for (uint32_t i = 0; i < core->pool_count; i++)
    if (core->pools[i]->waiting > 0)
      core->pools[i]->needs_dispatch = true;
}
