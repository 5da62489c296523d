#include "sim_internal.h"

#include "ba_hash.h"

#include <math.h>
#include <string.h>

/* Callers that retry until they are answered, and the workers that run what
   they are sent.  */

static const co_time attempt_patience = 2 * CO_SECOND;
static const co_time reconnect = 50 * CO_MILLISECOND;
static const co_time request_deadline = 2 * CO_SECOND;
static const co_time send_patience = 500 * CO_MILLISECOND;

enum
{
  SLOW_PERCENT = 5, /* of runs, ten times as long as declared */
  BROKEN_PERCENT = 1
};

char *
sim_key_hash (TALLOC_CTX *mem, int team, int generation)
{
  char text[32];

  g_snprintf (text, sizeof text, "key-%d-%d", team, generation);
  return ba_hash_sha256_hex (mem, text);
}

/* ---- callers ---- */

static void
retry_at (struct sim_world *world, struct sim_call *call, co_time at)
{
  struct sim_item *item = sim_schedule (world, at, SIM_RETRY, 0);

  item->data = call;
  item->number = call->attempts;
}

static uint32_t
pick_node (struct sim_world *world)
{
  if (world->options.uneven && g_rand_int_range (world->random, 0, 10) < 8)
    return 0;
  return (uint32_t)g_rand_int_range (world->random, 0,
                                     (gint32)world->options.nodes);
}

static void
attempt_at (struct sim_world *world, struct sim_call *call, uint32_t index)
{
  struct sim_node *node = &world->nodes[index];
  struct sim_attempt *attempt;
  struct sim_item *item;
  struct co_event *event;

  call->attempts++;
  world->totals.attempts++;
  if (node->core == NULL || node->stopping)
    {
      retry_at (world, call, world->now + reconnect);
      return;
    }
  attempt = talloc_zero (world, struct sim_attempt);
  attempt->id = ++world->next_id;
  attempt->incarnation = node->incarnation;
  attempt->node = index;
  attempt->begun = world->now;
  attempt->call = call;
  g_hash_table_insert (world->attempts, &attempt->id, attempt);
  item = sim_schedule (world,
                       world->now + sim_random_time (world, 0, CO_MILLISECOND),
                       SIM_EVENT, index);
  item->incarnation = node->incarnation;
  event = talloc_zero (item, struct co_event);
  item->event = event;
  event->type = CO_EVENT_REQUEST;
  event->u.request.request_id = attempt->id;
  event->u.request.queue = talloc_asprintf (event, "queue%d", call->pool);
  event->u.request.key_hash = sim_key_hash (event, call->team, call->key);
  event->u.request.idempotency_key = talloc_strdup (event, call->identity);
  event->u.request.idempotent = call->idempotent;
  event->u.request.has_priority = true;
  event->u.request.priority
      = call->urgent ? CF_PRIORITY_URGENT : CF_PRIORITY_ARCHIVE;
  event->u.request.deadline = world->now + request_deadline;
  retry_at (world, call, world->now + attempt_patience);
}

void
sim_attempt (struct sim_world *world, struct sim_call *call)
{
  if (call->ended)
    return;
  if (world->now >= call->give_up)
    {
      call->ended = true;
      world->totals.given_up++;
      return;
    }
  attempt_at (world, call,
              world->options.sticky ? call->node : pick_node (world));
}

static struct sim_call *
new_call (struct sim_world *world, int team, int pool, bool idempotent,
          bool urgent, co_time patience)
{
  struct sim_call *call = talloc_zero (world, struct sim_call);

  call->number = ++world->totals.requests;
  call->identity = talloc_asprintf (call, "call%d", (int)call->number);
  call->team = team;
  call->pool = pool;
  call->key = world->key[team];
  call->idempotent = idempotent;
  call->urgent = urgent;
  call->arrived = world->now;
  call->give_up = world->now + patience;
  g_ptr_array_add (world->calls, call);
  return call;
}

void
sim_request (struct sim_world *world, uint32_t i, int team, int pool,
             bool idempotent, bool urgent, co_time patience)
{
  struct sim_call *call
      = new_call (world, team, pool, idempotent, urgent, patience);

  call->node = i;
  attempt_at (world, call, i);
}

/* A new request arrives, and the next one is drawn.  Demand comes in turns:
   five times the mean, then a twentieth of it.  */
void
sim_arrival (struct sim_world *world)
{
  bool burst = (world->now / (3 * CO_SECOND)) % 4 == 0;
  double rate = world->options.rate * (burst ? 3.0 : 0.33);
  double gap = -log (1.0 - g_rand_double (world->random)) / rate;
  int team = g_rand_int_range (world->random, 0, SIM_TEAMS);
  int pool = g_rand_int_range (world->random, 0, SIM_POOLS);
  bool idempotent = g_rand_int_range (world->random, 0, 100)
                    < world->options.idempotent_percent;
  bool urgent = g_rand_int_range (world->random, 0, 100) < 70;

  if (world->settling)
    return;
  sim_attempt (
      world, new_call (world, team, pool, idempotent, urgent, 20 * CO_SECOND));
  sim_schedule (world, world->now + (co_time)(gap * (double)CO_SECOND) + 1,
                SIM_ARRIVAL, 0);
}

static void
end_call (struct sim_call *call, uint64_t *count)
{
  if (call->ended)
    return;
  call->ended = true;
  (*count)++;
}

void
sim_answered (struct sim_world *world, uint64_t id)
{
  struct sim_attempt *attempt = g_hash_table_lookup (world->attempts, &id);

  if (attempt == NULL)
    return;
  if (attempt->final)
    sim_broken (world, "answers: attempt %d got two final answers", (int)id);
  attempt->final = true;
  if (attempt->call->ended)
    world->totals.wasted++;
  end_call (attempt->call, &world->totals.answered);
}

void
sim_refused (struct sim_world *world, uint64_t id,
             const struct co_action_refuse *refuse)
{
  struct sim_attempt *attempt = g_hash_table_lookup (world->attempts, &id);
  const struct co_reason_info *info = co_reason_info (refuse->reason);
  struct sim_call *call;

  world->totals.reasons[refuse->reason]++;
  if (attempt == NULL)
    return;
  sim_check_refusal (world, attempt, refuse->reason);
  attempt->final = true;
  call = attempt->call;
  if (call->ended)
    return;
  if (refuse->retry_after_ms > 0)
    {
      /* Later attempts make this wake-up void.  */
      call->attempts++;
      retry_at (world, call,
                world->now + (co_time)refuse->retry_after_ms * CO_MILLISECOND);
    }
  else if (info->run == CO_RUN_UNKNOWN)
    end_call (call, &world->totals.unknown);
  else
    end_call (call, &world->totals.refused);
}

/* ---- workers ---- */

static int
worker_at (const struct sim_world *world, const char *name)
{
  for (int i = 0; i < world->worker_count; i++)
    if (strcmp (world->workers[i].name, name) == 0)
      return i;
  g_error ("no worker %s", name);
}

static void
report (struct sim_world *world, const struct sim_run *run, uint32_t done,
        uint32_t status, co_time at)
{
  struct sim_item *item = sim_schedule (world, at, SIM_EVENT, run->node);
  struct co_event *event = talloc_zero (item, struct co_event);

  item->incarnation = run->incarnation;
  item->event = event;
  event->type = CO_EVENT_ATTEMPT_DONE;
  event->u.attempt_done.request_id = run->attempt->id;
  event->u.attempt_done.result = done;
  event->u.attempt_done.http_status = status;
  if (done == CO_ATTEMPT_ANSWERED)
    {
      event->u.attempt_done.has_whole_body = true;
      event->u.attempt_done.headers
          = talloc_strdup (event, "Content-Type: t\n");
      event->u.attempt_done.body = ba_bytes_copy (event, "ok", 2);
    }
}

/* A core decided to start a request: it leaves the node a little later.  */
void
sim_start (struct sim_world *world, struct sim_node *node,
           const struct co_action_start *start)
{
  struct sim_attempt *attempt
      = g_hash_table_lookup (world->attempts, &start->request_id);
  struct sim_run *run = talloc_zero (world, struct sim_run);
  struct sim_item *item = sim_schedule (
      world, world->now + sim_random_time (world, 0, CO_MILLISECOND / 2),
      SIM_SEND_RUN, node->index);

  g_assert (attempt != NULL);
  run->attempt = attempt;
  run->incarnation = node->incarnation;
  run->node = node->index;
  run->worker = worker_at (world, start->host);
  run->team = attempt->call->team;
  run->deadline = start->deadline;
  item->incarnation = node->incarnation;
  item->data = run;
  item->number = (uint64_t)world->now;
}

static co_time
draw_service (struct sim_world *world)
{
  double mean = (double)world->options.service;
  double service = -log (1.0 - g_rand_double (world->random)) * mean;

  if (g_rand_int_range (world->random, 0, 100) < SLOW_PERCENT)
    service *= 10;
  return (co_time)service + CO_MILLISECOND;
}

/* A request leaves its node and reaches the worker.  */
void
sim_send_run (struct sim_world *world, struct sim_item *item)
{
  struct sim_run *run = item->data;
  struct sim_worker *worker = &world->workers[run->worker];
  struct sim_item *end;
  co_time service;

  if (world->now - (co_time)item->number > send_patience || worker->gone)
    {
      report (world, run, CO_ATTEMPT_NOT_SENT, 0, world->now);
      return;
    }
  run->running = true;
  run->attempt->sent++;
  run->attempt->call->runs++;
  world->running[run->team]++;
  worker->running++;
  world->totals.runs++;
  if (run->attempt->call->urgent)
    {
      co_time wait = world->now - run->attempt->begun;

      g_array_append_val (world->urgent_waits, wait);
      wait = world->now - run->attempt->call->arrived;
      g_array_append_val (world->call_waits, wait);
    }
  sim_check_start (world, run);
  service = worker->fails ? CO_MILLISECOND : draw_service (world);
  if (world->now + service > run->deadline)
    service = run->deadline - world->now;
  if (service < 0)
    service = 0;
  end = sim_schedule (world, world->now + service, SIM_RUN_END, run->node);
  end->data = run;
  if (world->options.faults
      && g_rand_int_range (world->random, 0, 100) < BROKEN_PERCENT)
    {
      /* The connection breaks and the worker goes on.  */
      report (world, run, CO_ATTEMPT_BROKEN, 0, world->now + service / 2);
      run->incarnation = 0;
    }
}

void
sim_run_end (struct sim_world *world, struct sim_item *item)
{
  struct sim_run *run = item->data;
  struct sim_worker *worker = &world->workers[run->worker];
  bool late = world->now >= run->deadline;

  world->running[run->team]--;
  worker->running--;
  run->running = false;
  if (run->incarnation == 0)
    return;
  if (worker->gone)
    report (world, run, CO_ATTEMPT_BROKEN, 0, world->now);
  else if (late)
    report (world, run, CO_ATTEMPT_TIMED_OUT, 0, world->now);
  else
    {
      world->totals.failed_answers += worker->fails;
      report (world, run, CO_ATTEMPT_ANSWERED, worker->fails ? 500 : 200,
              world->now);
    }
}
