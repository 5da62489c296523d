#include "sim_internal.h"

#include <string.h>

/* The promises, checked against the truth of the world.  */

static const co_time key_grace = 5 * CO_SECOND;
static const co_time force_grace = 10 * CO_SECOND;
static const co_time leaving_grace = 3 * CO_SECOND;
static const co_time failure_lag = 3 * CO_SECOND; /* of the host list */

void
sim_broken (struct sim_world *world, const char *format, ...)
{
  va_list args;
  char *text;

  world->totals.broken++;
  if (world->violation != NULL || world->options.tolerate)
    return;
  va_start (args, format);
  text = talloc_vasprintf (world, format, args);
  va_end (args);
  world->violation = talloc_asprintf (
      world, "at %.3f s: %s", (double)world->now / (double)CO_SECOND, text);
}

/* A request arrives at a worker.  */
void
sim_check_start (struct sim_world *world, const struct sim_run *run)
{
  const struct sim_call *call = run->attempt->call;
  const struct sim_worker *worker = &world->workers[run->worker];
  char resource[32];
  int64_t total;

  g_snprintf (resource, sizeof resource, "t/team%d", run->team);
  total = sim_ledger_total (world, resource);
  if (world->running[run->team] > total)
    sim_broken (world, "upper limit: team%d runs %u of %d", run->team,
                world->running[run->team], (int)total);
  if (worker->running > (uint32_t)world->options.slots)
    sim_broken (world, "slots: worker %s runs %u of %d", worker->name,
                worker->running, world->options.slots);
  if (!call->idempotent && call->runs > 1)
    sim_broken (world, "at most once: %s ran %u times", call->identity,
                call->runs);
  if (worker->state == CO_HOST_OUT)
    sim_broken (world, "drain: %s is out and was sent work", worker->name);
  if (worker->leaving_since != 0
      && world->now > worker->leaving_since + leaving_grace)
    sim_broken (world, "leaving: %s was sent work %.1f s after it was leaving",
                worker->name,
                (double)(world->now - worker->leaving_since)
                    / (double)CO_SECOND);
  if (call->pool != worker->pool)
    sim_broken (world, "move: %s of pool %d was sent work of pool %d",
                worker->name, worker->pool, call->pool);
  if (world->withdrawn_at[run->team][call->key] != 0
      && world->now > world->withdrawn_at[run->team][call->key] + key_grace)
    sim_broken (
        world, "withdrawn key: team%d's ran %.1f s later", run->team,
        (double)(world->now - world->withdrawn_at[run->team][call->key])
            / (double)CO_SECOND);
}

static int
find_worker (const struct sim_world *world, const char *name)
{
  for (int i = 0; i < world->worker_count; i++)
    if (strcmp (world->workers[i].name, name) == 0)
      return i;
  return -1;
}

/* Hosts of POOL that take work, not counting those that failed so long ago
   that the planner must know.  */
static int
available (const struct sim_world *world, int pool)
{
  int count = 0;

  for (int i = 0; i < world->worker_count; i++)
    {
      const struct sim_worker *w = &world->workers[i];

      if (w->pool == pool && w->state == CO_HOST_ACTIVE
          && !(w->gone && world->now - w->gone_since > failure_lag))
        count++;
    }
  return count;
}

static void
note_limits (struct sim_world *world, const char *text)
{
  struct cf_fleet *fleet = cf_fleet_parse (NULL, "fleet", text, NULL);

  for (int i = 0; i < SIM_TEAMS; i++)
    world->committed_limits[i] = fleet->teams[i].limit;
  talloc_free (fleet);
}

/* An entry of the log was committed.  */
void
sim_check_entry (struct sim_world *world, const struct co_log_entry *entry)
{
  const struct co_change *change = &entry->change;
  struct sim_worker *worker;
  uint32_t old;
  int index;

  if (entry->version != world->log_committed + 1)
    sim_broken (world, "log: version %d after %d", (int)entry->version,
                (int)world->log_committed);
  world->log_committed = entry->version;
  if (change->type == CO_CHANGE_FLEET)
    note_limits (world, change->fleet_yaml);
  if (change->type != CO_CHANGE_HOST)
    return;
  index = find_worker (world, change->host);
  if (index < 0)
    return;
  worker = &world->workers[index];
  old = worker->state;
  worker->state = change->host_state;
  if (change->host_state == CO_HOST_OUT && worker->running > 0)
    sim_broken (world, "drain: %s is out with %u running", worker->name,
                worker->running);
  if (change->host_state == CO_HOST_ACTIVE && change->pool != NULL)
    {
      if (worker->running > 0)
        sim_broken (world, "move: %s moved with %u running", worker->name,
                    worker->running);
      worker->pool = change->pool[strlen (change->pool) - 1] - '0';
      world->totals.moves++;
    }
  if ((change->host_state == CO_HOST_DRAINING
       || change->host_state == CO_HOST_MOVING)
      && old == CO_HOST_ACTIVE)
    {
      world->totals.drains++;
      if (!worker->gone
          && available (world, worker->pool)
                 < (int)world->options.min_available)
        sim_broken (world, "budget: pool%d has %d hosts of %d", worker->pool,
                    available (world, worker->pool),
                    (int)world->options.min_available);
    }
}

/* After a step of NODE.  */
void
sim_check_node (struct sim_world *world, struct sim_node *node)
{
  struct co_status *status = co_core_summary (NULL, node->core, world->now);

  if (status->log_version < node->log_version)
    sim_broken (world, "configuration: node %u went from %d back to %d",
                node->index, (int)node->log_version, (int)status->log_version);
  node->log_version = status->log_version;
  if (status->has_lease)
    for (uint32_t i = world->accepted_count; i-- > 0;)
      {
        if (world->now - world->accepted[i].at <= force_grace)
          continue;
        if (status->log_version < world->accepted[i].version)
          sim_broken (world,
                      "configuration: node %u has %d, %d was accepted long "
                      "ago",
                      node->index, (int)status->log_version,
                      (int)world->accepted[i].version);
        break;
      }
  talloc_free (status);
  co_core_check_invariants (node->core);
}

void
sim_check_refusal (struct sim_world *world, const struct sim_attempt *attempt,
                   enum co_reason reason)
{
  if (attempt->final)
    sim_broken (world, "answers: attempt %d got two final answers",
                (int)attempt->id);
  if (co_reason_info (reason)->run == CO_RUN_NOT_RUN && attempt->sent > 0)
    sim_broken (world, "not run: %s was refused as %s but sent",
                attempt->call->identity, co_reason_info (reason)->name);
}

/* Everything has settled: nobody may be left without an answer.  */
void
sim_check_end (struct sim_world *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct sim_attempt *attempt = value;
      const struct sim_node *node = &world->nodes[attempt->node];

      if (!attempt->final && node->core != NULL
          && node->incarnation == attempt->incarnation)
        sim_broken (world, "answers: %s got none from node %u",
                    attempt->call->identity, attempt->node);
    }
}
