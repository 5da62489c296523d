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
  core->timers = g_sequence_new (NULL);
  core->lingers = g_array_new (FALSE, FALSE, sizeof (struct co_linger));
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
    return request->start_by;
  if (request->state == CO_REQUEST_CLAIMING
      && request->ask_at < request->step_by)
    return request->ask_at;
  return request->step_by;
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
  request->timer
      = g_sequence_insert_sorted (core->timers, request, compare_timers, NULL);
}

/* ---- lines ---- */

uint32_t
co_backlog_length (const struct co_line *line)
{
  return line->urgent.length + line->archive.length;
}

static GQueue *
line_of (struct co_core *core, const struct co_request *request)
{
  struct co_line *line = &core->pools[request->pool]->lines[request->team];

  return request->urgent ? &line->urgent : &line->archive;
}

static void
enter_line (struct co_core *core, struct co_request *request, bool first)
{
  request->state = CO_REQUEST_WAITING;
  request->start_by = co_latest_start (core, request);
  request->link.data = request;
  if (first)
    g_queue_push_head_link (line_of (core, request), &request->link);
  else
    g_queue_push_tail_link (line_of (core, request), &request->link);
  core->pools[request->pool]->waiting++;
  core->pools[request->pool]->dirty = true;
  core->teams[request->team]->waiting++;
  core->queues[request->queue]->waiting++;
  start_timer (core, request);
}

static void
leave_line (struct co_core *core, struct co_request *request)
{
  g_queue_unlink (line_of (core, request), &request->link);
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
  pool->own[team]++;
  core->teams[team]->running++;
  co_quota_acquire (core, core->hosts[host]->right);
  co_quota_acquire (core, core->teams[team]->right);
}

/* Undo occupy.  POOL is the one the host was in at the time.  */
static void
vacate (struct co_core *core, int host, int team, int pool_index)
{
  struct co_pool *pool = core->pools[pool_index];

  core->hosts[host]->running--;
  pool->running--;
  pool->own[team]--;
  core->teams[team]->running--;
  co_quota_release (core, core->hosts[host]->right);
  co_quota_release (core, core->teams[team]->right);
  pool->dirty = true;
  co_borrow_serve_team (core, team);
  co_borrow_serve_pool (core, pool_index);
}

static void
release (struct co_core *core, struct co_request *request)
{
  vacate (core, request->host, request->team, request->pool);
  request->host = CO_NONE;
}

/* Keep slot and right of REQUEST taken until its deadline: its backend server
   may still be running it.  */
static void
linger (struct co_core *core, struct co_request *request)
{
  struct co_linger l
      = { request->host, request->team, request->pool, request->deadline };

  g_array_append_val (core->lingers, l);
  request->host = CO_NONE;
}

static void
end_lingers (struct co_core *core)
{
  for (guint i = core->lingers->len; i-- > 0;)
    {
      struct co_linger l = g_array_index (core->lingers, struct co_linger, i);

      if (l.until > core->now)
        continue;
      g_array_remove_index_fast (core->lingers, i);
      vacate (core, l.host, l.team, l.pool);
    }
}

/* ---- ends ---- */

static void
emit_refusal (struct co_core *core, uint64_t id, enum co_reason reason,
              co_time wait)
{
  struct co_outcome *o = co_emit (core, CO_OUTCOME_REFUSE);

  o->u.refuse.request = id;
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
  if (request->sent && co_reason_info (reason)->run == CO_RUN_NOT_RUN)
    reason = CO_REASON_BACKEND_BROKEN;
  if (request->gone)
    co_emit (core, CO_OUTCOME_FORGET)->u.forget = request->id;
  else
    emit_refusal (core, request->id, reason, co_estimate_wait (core, request));
  g_hash_table_remove (core->requests, &request->id);
}

static void
replay (struct co_core *core, struct co_request *request, uint32_t status,
        const char *headers, struct ba_bytes body)
{
  struct co_outcome *o = co_emit (core, CO_OUTCOME_REPLAY);

  o->u.replay.request = request->id;
  o->u.replay.status = status;
  o->u.replay.headers = talloc_strdup (core->outbox->mem, headers);
  o->u.replay.body = ba_bytes_copy (core->outbox->mem, body.data, body.len);
  co_count (core, CO_COUNTER_REPLAYS);
  g_hash_table_remove (core->requests, &request->id);
}

/* If the identity of REQUEST is known here, answer from memory and return
   true.  REQUEST is on no line and holds nothing.  */
static bool
answer_repeat (struct co_core *core, struct co_request *request)
{
  struct co_kept *kept;

  if (request->identity == NULL || request->idempotent)
    return false;
  kept = co_execution_find (core, request->identity);
  if (kept == NULL)
    return false;
  switch (kept->kept)
    {
    case CO_KEPT_RUNNING:
      refuse (core, request, CO_REASON_DUPLICATE_RUNNING);
      return true;
    case CO_KEPT_UNKNOWN:
      refuse (core, request, CO_REASON_DUPLICATE_UNKNOWN);
      return true;
    case CO_KEPT_TOO_LARGE:
      refuse (core, request, CO_REASON_DUPLICATE_TOO_LARGE);
      return true;
    case CO_KEPT_ANSWER:
      replay (core, request, kept->status, kept->headers, kept->body);
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

  co_count (core, CO_COUNTER_REQUESTS);
  request->id = event->request;
  request->host = CO_NONE;
  request->avoid = CO_NONE;
  request->idempotent = event->idempotent;
  request->arrived = core->now;
  request->deadline = event->deadline;
  if (request->deadline > core->now + core->options.max_deadline)
    request->deadline = core->now + core->options.max_deadline;
  reason = co_admit (core, event, request);
  if (reason != CO_REASON_NONE)
    {
      co_time wait
          = reason == CO_REASON_QUEUE_FULL || reason == CO_REASON_WAIT_TOO_LONG
                ? co_estimate_wait (core, request)
                : 0;

      emit_refusal (core, event->request, reason, wait);
      talloc_free (request);
      return;
    }
  if (event->identity != NULL)
    request->identity = talloc_asprintf (
        request, "%s/%s", core->teams[request->team]->name, event->identity);
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
  uint32_t running = pool->own[team];

  if (core->options.off & CO_OFF_FLEET_SHARES)
    return running;
  for (int i = 0; i < CO_MEMBER_SLOTS; i++)
    if (pool->seen[i] != NULL)
      running += pool->seen[i][team];
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
first_of_team (const struct co_core *core, struct co_line *line, bool *urgent)
{
  struct co_request *u = first_of (&line->urgent);
  struct co_request *a = first_of (&line->archive);
  bool aged = a != NULL && core->now - a->arrived >= archive_age;

  *urgent = u != NULL || aged;
  if (u != NULL && aged)
    return a->arrived < u->arrived ? a : u;
  return u != NULL ? u : a;
}

static bool
has_right (const struct co_core *core, int team)
{
  const struct co_right *right = core->rights[core->teams[team]->right];

  if (core->options.off & CO_OFF_RIGHTS)
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
      struct co_request *r = first_of_team (core, &pool->lines[t], &urgent);
      double order;

      if (r == NULL)
        continue;
      if (!has_right (core, (int)t))
        {
          co_borrow_for_team (core, (int)t);
          continue;
        }
      if (core->options.off & CO_OFF_SHARES)
        order = (double)r->arrived;
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
  struct co_outcome *o = co_emit (core, CO_OUTCOME_START);

  stop_timer (request);
  request->state = CO_REQUEST_RUNNING;
  request->started = core->now;
  request->attempts++;
  o->u.start.request = request->id;
  o->u.start.host = co_outbox_str (core, host->name);
  o->u.start.address = co_outbox_str (core, host->address);
  o->u.start.deadline = request->deadline;
  o->u.start.idempotent = request->idempotent;
  co_count (core, CO_COUNTER_STARTS);
}

static bool
needs_claim (const struct co_core *core, const struct co_request *request)
{
  return request->identity != NULL && !request->idempotent && !request->claimed
         && !(core->options.off & CO_OFF_CLAIMS);
}

/* Ask for the claim of REQUEST, and again after RESEND: the question or its
   answer may get lost, and asking twice does no harm.  */
static void
ask_claim (struct co_core *core, struct co_request *request, co_time resend)
{
  stop_timer (request);
  request->ask_at = core->now + resend;
  start_timer (core, request);
  co_claim_acquire (core, request);
}

/* Start REQUEST, which is on a line, on HOST.  */
static void
start (struct co_core *core, struct co_request *request, int host)
{
  leave_line (core, request);
  if (request->attempts == 0 && answer_repeat (core, request))
    return;
  request->host = host;
  occupy (core, host, request->team);
  if (request->identity != NULL && !request->idempotent)
    {
      co_execution_set_state (core, request->identity, CO_KEPT_RUNNING);
      co_execution_find (core, request->identity)->op = request->id;
    }
  if (!needs_claim (core, request))
    {
      send_out (core, request);
      return;
    }
  request->state = CO_REQUEST_CLAIMING;
  request->step_by = core->now + claim_patience;
  if (request->step_by > request->deadline)
    request->step_by = request->deadline;
  ask_claim (core, request, claim_resend);
}

/* Give up REQUEST before anything of it was sent.  It holds a slot.  */
static void
give_up (struct co_core *core, struct co_request *request,
         enum co_reason reason)
{
  stop_timer (request);
  if (request->identity != NULL && !request->idempotent)
    {
      co_execution_set_state (core, request->identity, CO_KEPT_NOT_RUN);
      if (request->claimed)
        co_claim_release (core, request->identity, request->id);
    }
  release (core, request);
  refuse (core, request, reason);
}

static void
fetch (struct co_core *core, struct co_request *request, uint64_t executor)
{
  int slot = co_slot (core, executor);
  struct co_msg *m;

  stop_timer (request);
  co_execution_set_state (core, request->identity, CO_KEPT_NOT_RUN);
  release (core, request);
  if (!co_is_member (core, slot))
    {
      refuse (core, request, CO_REASON_DUPLICATE_UNKNOWN);
      return;
    }
  request->state = CO_REQUEST_FETCHING;
  request->step_by = core->now + claim_patience;
  start_timer (core, request);
  m = co_send (core, executor, CO_MSG_FETCH);
  m->u.fetch.op = request->id;
  m->u.fetch.identity = co_outbox_str (core, request->identity);
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
      if (request->gone || !co_standing (core))
        give_up (core, request, CO_REASON_NO_STANDING);
      else
        send_out (core, request);
      break;
    case CO_CLAIM_TAKEN:
      fetch (core, request, executor);
      break;
    default:
      if (core->table_down)
        give_up (core, request, CO_REASON_CLAIM_UNAVAILABLE);
      else
        {
          /* The view is changing: the owner will soon be ready.  */
          stop_timer (request);
          request->ask_at = core->now + claim_retry;
          start_timer (core, request);
        }
      break;
    }
}

/* Take the executor's answer about an identity that it has claimed.  */
void
co_request_fetch_done (struct co_core *core, struct co_request *request,
                       const struct co_msg_answer *answer)
{
  if (request->state != CO_REQUEST_FETCHING)
    return;
  stop_timer (request);
  switch (answer->kept)
    {
    case CO_KEPT_ANSWER:
      replay (core, request, answer->status, answer->headers, answer->body);
      break;
    case CO_KEPT_RUNNING:
      refuse (core, request, CO_REASON_DUPLICATE_RUNNING);
      break;
    case CO_KEPT_TOO_LARGE:
      refuse (core, request, CO_REASON_DUPLICATE_TOO_LARGE);
      break;
    case CO_KEPT_UNKNOWN:
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

  pool->dirty = false;
  if (pool->waiting == 0)
    return;
  if (!co_standing (core))
    return;
  while ((request = next_request (core, index)) != NULL)
    {
      int host = co_worker_select (core, index, request->avoid);

      if (host == CO_NONE)
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
        if (core->pools[i]->dirty)
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

  if (request->gone || request->attempts >= CO_ATTEMPTS
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

  request->avoid = request->host;
  if (!may_retry (core, request, &reason))
    {
      give_up (core, request, reason);
      return;
    }
  co_count (core, CO_COUNTER_RETRY_NOT_SENT);
  release (core, request);
  enter_line (core, request, true);
}

static void
done_broken (struct co_core *core, struct co_request *request,
             const struct co_event_done *done)
{
  enum co_reason reason = CO_REASON_BACKEND_BROKEN;
  bool repeat = request->idempotent && !done->streamed
                && may_retry (core, request, &reason);

  request->avoid = request->host;
  request->sent = true;
  if (request->identity != NULL && !request->idempotent)
    co_execution_set_state (core, request->identity, CO_KEPT_UNKNOWN);
  if (core->now < request->deadline)
    linger (core, request);
  else
    release (core, request);
  if (repeat)
    {
      co_count (core, CO_COUNTER_RETRY_IDEMPOTENT);
      enter_line (core, request, true);
      return;
    }
  refuse (core, request, CO_REASON_BACKEND_BROKEN);
}

static void
done_answered (struct co_core *core, struct co_request *request,
               const struct co_event_done *done)
{
  struct co_pool *pool = core->pools[request->pool];
  double took = (double)(core->now - request->started);

  pool->service_time += service_weight * (took - pool->service_time);
  if (request->identity != NULL && !request->idempotent)
    co_execution_store_answer (core, request->identity, done);
  co_count (core, request->gone ? CO_COUNTER_WASTED : CO_COUNTER_ANSWERS);
  release (core, request);
  co_emit (core, CO_OUTCOME_FORGET)->u.forget = request->id;
  g_hash_table_remove (core->requests, &request->id);
}

void
co_request_attempt_done (struct co_core *core,
                         const struct co_event_done *done)
{
  struct co_request *request = co_request_find (core, done->request);
  bool failed;

  if (request == NULL || request->state != CO_REQUEST_RUNNING)
    return;
  failed = done->done != CO_DONE_ANSWERED || done->status >= 500;
  co_worker_record_result (core, request->host, failed);
  switch (done->done)
    {
    case CO_DONE_ANSWERED:
      done_answered (core, request, done);
      break;
    case CO_DONE_NOT_SENT:
      done_not_sent (core, request);
      break;
    case CO_DONE_TIMEOUT:
      if (request->identity != NULL && !request->idempotent)
        co_execution_set_state (core, request->identity, CO_KEPT_UNKNOWN);
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
  if (request->identity != NULL && !request->idempotent
      && request->attempts > 0)
    {
      co_execution_set_state (core, request->identity, CO_KEPT_NOT_RUN);
      if (request->claimed)
        co_claim_release (core, request->identity, request->id);
    }
  refuse (core, request, reason);
}

void
co_request_caller_gone (struct co_core *core, uint64_t id)
{
  struct co_request *request = co_request_find (core, id);

  if (request == NULL)
    return;
  request->gone = true;
  if (request->state == CO_REQUEST_WAITING)
    abandon (core, request, CO_REASON_NONE);
}

/* ---- time ---- */

static void
expire (struct co_core *core)
{
  while (!g_sequence_is_empty (core->timers))
    {
      struct co_request *request
          = g_sequence_get (g_sequence_get_begin_iter (core->timers));

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
          if (core->now < request->step_by && !core->table_down)
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
  if (g_hash_table_size (core->requests) > 0 && !co_standing (core))
    refuse_waiting (core, CO_REASON_NO_STANDING);
  for (uint32_t i = 0; i < core->pool_count; i++)
    if (core->pools[i]->waiting > 0)
      core->pools[i]->dirty = true;
}
