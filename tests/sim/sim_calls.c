#include "sim_internal.h"

#include "ba_hash.h"

#include <math.h>
#include <string.h>

/* Callers, which retry until they are answered or give up, and backend
   servers, which run the requests that nodes send them.  */

/* After this time without an answer, a caller retries.  */
static const co_time attempt_timeout = 2 * CO_SECOND;
/* From an attempt at a node that is down or stopping to the next one.  */
static const co_time reconnect_delay = 50 * CO_MILLISECOND;
/* From an attempt to the deadline of its request.  */
static const co_time time_to_deadline = 2 * CO_SECOND;
/* How long callers of random requests retry.  */
static const co_time caller_patience = 20 * CO_SECOND;
/* A node that was frozen between the start of a request and its sending for
   longer than this doesn't send it.  */
static const co_time max_send_delay = 500 * CO_MILLISECOND;
static const co_time burst_length = 3 * CO_SECOND;

enum
{
  URGENT_PERCENT = 70, /* of random requests */
  SLOW_RUN_PERCENT = 5,
  SLOW_RUN_FACTOR = 10, /* service time of slow runs, relative to others */
  BROKEN_CONNECTION_PERCENT = 1 /* of runs, when faults are injected */
};

char *
sim_key_hash (TALLOC_CTX *mem, int team, int generation)
{
  char text[32];

  g_snprintf (text, sizeof text, "key-%d-%d", team, generation);
  return ba_hash_sha256_hex (mem, text);
}

/* ---- callers ---- */

/* Schedule a retry of CALL at AT.  It is void if another attempt is counted
   before then.  */
static void
schedule_retry (struct sim_world *world, struct sim_call *call, co_time at)
{
  struct sim_item *item = sim_schedule (world, at, SIM_ITEM_RETRY, 0);

  item->data = call;
  item->number = call->attempts;
}

static uint32_t
pick_node (struct sim_world *world)
{
  if (world->options.skewed_load
      && g_rand_int_range (world->random, 0, 10) < 8)
    return 0;
  return (uint32_t)g_rand_int_range (world->random, 0,
                                     (gint32)world->options.nodes);
}

static void
send_attempt_to (struct sim_world *world, struct sim_call *call,
                 uint32_t index)
{
  struct sim_node *node = &world->nodes[index];
  struct sim_attempt *attempt;
  struct sim_item *item;
  struct co_event *event;

  call->attempts++;
  world->totals.attempts++;
  if (node->core == NULL || node->stopping)
    {
      schedule_retry (world, call, world->now + reconnect_delay);
      return;
    }
  attempt = talloc_zero (world, struct sim_attempt);
  attempt->id = ++world->next_id;
  attempt->incarnation = node->incarnation;
  attempt->node = index;
  attempt->started_at = world->now;
  attempt->call = call;
  g_hash_table_insert (world->attempts, &attempt->id, attempt);
  item = sim_schedule (world,
                       world->now + sim_random_time (world, 0, CO_MILLISECOND),
                       SIM_ITEM_CORE_EVENT, index);
  item->incarnation = node->incarnation;
  event = talloc_zero (item, struct co_event);
  item->event = event;
  event->type = CO_EVENT_REQUEST;
  event->u.request.request_id = attempt->id;
  event->u.request.queue = talloc_asprintf (event, "queue%d", call->pool);
  event->u.request.key_hash
      = sim_key_hash (event, call->team, call->key_generation);
  event->u.request.idempotency_key
      = talloc_strdup (event, call->idempotency_key);
  event->u.request.idempotent = call->idempotent;
  event->u.request.has_priority = true;
  event->u.request.priority
      = call->urgent ? CF_PRIORITY_URGENT : CF_PRIORITY_ARCHIVE;
  event->u.request.deadline = world->now + time_to_deadline;
  schedule_retry (world, call, world->now + attempt_timeout);
}

void
sim_send_attempt (struct sim_world *world, struct sim_call *call)
{
  if (call->ended)
    return;
  if (world->now >= call->gives_up_at)
    {
      call->ended = true;
      world->totals.given_up++;
      return;
    }
  send_attempt_to (world, call,
                   world->options.sticky ? call->node : pick_node (world));
}

static struct sim_call *
new_call (struct sim_world *world, int team, int pool, bool idempotent,
          bool urgent, co_time patience)
{
  struct sim_call *call = talloc_zero (world, struct sim_call);

  call->number = ++world->totals.requests;
  call->idempotency_key = talloc_asprintf (call, "call%d", (int)call->number);
  call->team = team;
  call->pool = pool;
  call->key_generation = world->key_generation[team];
  call->idempotent = idempotent;
  call->urgent = urgent;
  call->arrived_at = world->now;
  call->gives_up_at = world->now + patience;
  g_ptr_array_add (world->calls, call);
  return call;
}

void
sim_send_request (struct sim_world *world, uint32_t i, int team, int pool,
                  bool idempotent, bool urgent, co_time patience)
{
  struct sim_call *call
      = new_call (world, team, pool, idempotent, urgent, patience);

  call->node = i;
  send_attempt_to (world, call, i);
}

/* Demand alternates between bursts of 3 s at three times the configured rate
   and 9 s at a third of it.  Requests within each arrive at random.  */
void
sim_next_arrival (struct sim_world *world)
{
  bool burst = (world->now / burst_length) % 4 == 0;
  double rate_per_s = world->options.requests_per_s * (burst ? 3.0 : 0.33);
  double gap_s = -log (1.0 - g_rand_double (world->random)) / rate_per_s;
  int team = g_rand_int_range (world->random, 0, SIM_TEAM_COUNT);
  int pool = g_rand_int_range (world->random, 0, SIM_POOL_COUNT);
  bool idempotent = g_rand_int_range (world->random, 0, 100)
                    < world->options.idempotent_percent;
  bool urgent = g_rand_int_range (world->random, 0, 100) < URGENT_PERCENT;

  if (world->settling)
    return;
  sim_send_attempt (world, new_call (world, team, pool, idempotent, urgent,
                                     caller_patience));
  sim_schedule (world, world->now + (co_time)(gap_s * (double)CO_SECOND) + 1,
                SIM_ITEM_ARRIVAL, 0);
}

/* End CALL, unless it has ended, and count it in OUTCOME_TOTAL.  */
static void
end_call (struct sim_call *call, uint64_t *outcome_total)
{
  if (call->ended)
    return;
  call->ended = true;
  (*outcome_total)++;
}

void
sim_receive_answer (struct sim_world *world, uint64_t id)
{
  struct sim_attempt *attempt = g_hash_table_lookup (world->attempts, &id);

  if (attempt == NULL)
    return;
  if (attempt->has_final_answer)
    sim_report_violation (world, "answers: attempt %d got two final answers",
                          (int)id);
  attempt->has_final_answer = true;
  if (attempt->call->ended)
    world->totals.wasted_runs++;
  end_call (attempt->call, &world->totals.answered);
}

void
sim_receive_refusal (struct sim_world *world, uint64_t id,
                     const struct co_action_refuse *refuse)
{
  struct sim_attempt *attempt = g_hash_table_lookup (world->attempts, &id);
  const struct co_reason_info *info = co_reason_info (refuse->reason);
  struct sim_call *call;

  world->totals.reasons[refuse->reason]++;
  if (attempt == NULL)
    return;
  sim_check_refusal (world, attempt, refuse->reason);
  attempt->has_final_answer = true;
  call = attempt->call;
  if (call->ended)
    return;
  if (refuse->retry_after_ms > 0)
    {
      /* Counting an attempt cancels the retry after attempt_timeout.  */
      call->attempts++;
      schedule_retry (world, call,
                      world->now
                          + (co_time)refuse->retry_after_ms * CO_MILLISECOND);
    }
  else if (info->run == CO_RUN_UNKNOWN)
    end_call (call, &world->totals.unknown);
  else
    end_call (call, &world->totals.refused);
}

/* ---- backend servers ---- */

static int
find_backend (const struct sim_world *world, const char *name)
{
  for (int i = 0; i < world->backend_count; i++)
    if (strcmp (world->backends[i].name, name) == 0)
      return i;
  g_error ("no backend server %s", name);
}

/* Report at AT to the node of RUN that its attempt ended with RESULT and, if
   that is CO_ATTEMPT_ANSWERED, with HTTP_STATUS.  */
static void
report_attempt_done (struct sim_world *world, const struct sim_run *run,
                     uint32_t result, uint32_t http_status, co_time at)
{
  struct sim_item *item
      = sim_schedule (world, at, SIM_ITEM_CORE_EVENT, run->node);
  struct co_event *event = talloc_zero (item, struct co_event);

  item->incarnation = run->incarnation;
  item->event = event;
  event->type = CO_EVENT_ATTEMPT_DONE;
  event->u.attempt_done.request_id = run->attempt->id;
  event->u.attempt_done.result = result;
  event->u.attempt_done.http_status = http_status;
  if (result == CO_ATTEMPT_ANSWERED)
    {
      event->u.attempt_done.has_whole_body = true;
      event->u.attempt_done.headers
          = talloc_strdup (event, "Content-Type: t\n");
      event->u.attempt_done.body = ba_bytes_copy (event, "ok", 2);
    }
}

void
sim_start_run (struct sim_world *world, struct sim_node *node,
               const struct co_action_start *start)
{
  struct sim_attempt *attempt
      = g_hash_table_lookup (world->attempts, &start->request_id);
  struct sim_run *run = talloc_zero (world, struct sim_run);
  struct sim_item *item = sim_schedule (
      world, world->now + sim_random_time (world, 0, CO_MILLISECOND / 2),
      SIM_ITEM_SEND_RUN, node->index);

  g_assert (attempt != NULL);
  run->attempt = attempt;
  run->incarnation = node->incarnation;
  run->node = node->index;
  run->backend = find_backend (world, start->host);
  sim_check_start (world, node, run->backend);
  run->team = attempt->call->team;
  run->deadline = start->deadline;
  item->incarnation = node->incarnation;
  item->data = run;
  item->number = (uint64_t)world->now;
}

/* Return a random service time, exponentially distributed except for the slow
   runs.  */
static co_time
random_service_time (struct sim_world *world)
{
  double mean = (double)world->options.mean_service_time;
  double service = -log (1.0 - g_rand_double (world->random)) * mean;

  if (g_rand_int_range (world->random, 0, 100) < SLOW_RUN_PERCENT)
    service *= SLOW_RUN_FACTOR;
  return (co_time)service + CO_MILLISECOND;
}

void
sim_send_run (struct sim_world *world, struct sim_item *item)
{
  struct sim_run *run = item->data;
  struct sim_backend *backend = &world->backends[run->backend];
  struct sim_item *end;
  co_time service;

  if (world->now - (co_time)item->number > max_send_delay || backend->down)
    {
      report_attempt_done (world, run, CO_ATTEMPT_NOT_SENT, 0, world->now);
      return;
    }
  run->running = true;
  run->attempt->runs_sent++;
  run->attempt->call->runs++;
  world->running[run->team]++;
  backend->running++;
  world->totals.runs++;
  if (run->attempt->call->urgent)
    {
      co_time wait = world->now - run->attempt->started_at;

      g_array_append_val (world->urgent_attempt_waits, wait);
      wait = world->now - run->attempt->call->arrived_at;
      g_array_append_val (world->urgent_call_waits, wait);
    }
  sim_check_run_start (world, run);
  service = backend->failing ? CO_MILLISECOND : random_service_time (world);
  if (world->now + service > run->deadline)
    service = run->deadline - world->now;
  if (service < 0)
    service = 0;
  end = sim_schedule (world, world->now + service, SIM_ITEM_RUN_END,
                      run->node);
  end->data = run;
  if (world->options.faults
      && g_rand_int_range (world->random, 0, 100) < BROKEN_CONNECTION_PERCENT)
    {
      /* The node's connection breaks, but the backend server continues.  */
      report_attempt_done (world, run, CO_ATTEMPT_BROKEN, 0,
                           world->now + service / 2);
      run->incarnation = 0;
    }
}

void
sim_run_end (struct sim_world *world, struct sim_item *item)
{
  struct sim_run *run = item->data;
  struct sim_backend *backend = &world->backends[run->backend];
  bool late = world->now >= run->deadline;

  world->running[run->team]--;
  backend->running--;
  run->running = false;
  if (run->incarnation == 0)
    return;
  if (backend->down)
    report_attempt_done (world, run, CO_ATTEMPT_BROKEN, 0, world->now);
  else if (late)
    report_attempt_done (world, run, CO_ATTEMPT_TIMED_OUT, 0, world->now);
  else
    {
      world->totals.failed_answers += backend->failing;
      report_attempt_done (world, run, CO_ATTEMPT_ANSWERED,
                           backend->failing ? 500 : 200, world->now);
    }
}
