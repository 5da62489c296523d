#include "sim_internal.h"

#include <string.h>

/* Checks of the guarantees against the state of the whole simulation.  The
   text of a violation begins with the name of the guarantee.  */

/* Longest time after the withdrawal of an API key was accepted within which
   requests with the key may still start.  */
static const co_time key_withdrawal_grace = 5 * CO_SECOND;
/* A node with a lease has applied every change that was accepted longer ago.
 */
static const co_time accepted_change_grace = 10 * CO_SECOND;
/* Longest time after a backend server was announced as leaving within which
   requests may still be sent to it.  */
static const co_time leaving_grace = 3 * CO_SECOND;
/* Longest time from the start of a request to its sending.  */
static const co_time max_send_delay = 500 * CO_MILLISECOND;
/* Longest additional delay of a duplicate message (sim_world.c).  */
static const co_time max_duplicate_delay = 2 * CO_SECOND;
/* Longest time for which the leader may not know that a host is down.  */
static const co_time host_list_lag = 3 * CO_SECOND;

void
sim_report_violation (struct sim_world *world, const char *format, ...)
{
  va_list args;
  char *text;

  world->totals.violations++;
  if (world->violation != NULL || world->options.count_violations_only)
    return;
  va_start (args, format);
  text = talloc_vasprintf (world, format, args);
  va_end (args);
  world->violation = talloc_asprintf (
      world, "at %.3f s: %s", (double)world->now / (double)CO_SECOND, text);
}

int
sim_change_zone (const struct co_change *change)
{
  const char *zone
      = change->type == CO_CHANGE_MAINTENANCE
            ? co_evacuation_zone (change->scope, change->scope_name)
            : NULL;

  /* The name of a zone ends with its index.  */
  return zone == NULL ? -1 : zone[strlen (zone) - 1] - '0';
}

int
sim_backend_zone (const struct sim_world *world, int backend)
{
  return world->options.zones == 0 ? 0 : backend % world->options.zones;
}

/* Return whether node I could not reach the table at some time since SINCE. */
static bool
was_cut_off (const struct sim_world *world, uint32_t i, co_time since)
{
  return world->table_down_until > since
         || world->nodes[i].table_unreachable_until > since;
}

/* Check that the zone of RUN's backend server was not evacuated by an order
   that was accepted long ago.  An entry host that has missed the order may
   start requests until its membership lease ends.  */
static void
check_zone (struct sim_world *world, const struct sim_run *run)
{
  const struct sim_zone *zone
      = &world->zones[sim_backend_zone (world, run->backend)];
  co_time grace = world->options.core.lease_duration + max_send_delay;

  /* A late duplicate of a heartbeat renews the lease of a member that can't
     reach the table.  */
  if (was_cut_off (world, run->node, zone->accepted_at))
    grace += max_duplicate_delay;
  if (zone->evacuated && zone->accepted_at != 0
      && world->now > zone->accepted_at + grace)
    sim_report_violation (
        world,
        "evacuation: %s was sent a request by node %u %.3f s after the "
        "evacuation of its zone was accepted",
        world->backends[run->backend].name, run->node,
        (double)(world->now - zone->accepted_at) / (double)CO_SECOND);
}

void
sim_check_start (struct sim_world *world, const struct sim_node *node,
                 int backend)
{
  const struct sim_zone *zone
      = &world->zones[sim_backend_zone (world, backend)];

  if (world->options.nodes_without_evacuations & 1u << node->index)
    return;
  if (zone->evacuated && node->log_version >= zone->version)
    sim_report_violation (world,
                          "evacuation: node %u started a request on %s at "
                          "version %d, which evacuates its zone",
                          node->index, world->backends[backend].name,
                          (int)zone->version);
}

void
sim_check_run_start (struct sim_world *world, const struct sim_run *run)
{
  const struct sim_call *call = run->attempt->call;
  const struct sim_backend *backend = &world->backends[run->backend];
  char resource[32];
  int64_t total;

  g_snprintf (resource, sizeof resource, "t/team%d", run->team);
  total = sim_ledger_total (world, resource);
  if (world->running[run->team] > total)
    sim_report_violation (world,
                          "upper limit: team%d runs %u requests with quota "
                          "for %d",
                          run->team, world->running[run->team], (int)total);
  if (backend->running > (uint32_t)world->options.slots_per_host)
    sim_report_violation (world,
                          "slots: backend server %s runs %u requests in %d "
                          "slots",
                          backend->name, backend->running,
                          world->options.slots_per_host);
  if (!call->idempotent && call->runs > 1)
    sim_report_violation (world, "at most once: %s ran %u times",
                          call->idempotency_key, call->runs);
  if (!(world->options.nodes_without_evacuations & 1u << run->node))
    check_zone (world, run);
  if (backend->state == CO_HOST_OUT)
    sim_report_violation (world, "drain: %s is out but was sent a request",
                          backend->name);
  if (backend->leaving_since != 0
      && world->now > backend->leaving_since + leaving_grace)
    sim_report_violation (
        world, "leaving: %s was sent a request %.1f s after it was announced",
        backend->name,
        (double)(world->now - backend->leaving_since) / (double)CO_SECOND);
  if (call->pool != backend->pool)
    sim_report_violation (world,
                          "move: %s of pool %d was sent a request of pool %d",
                          backend->name, backend->pool, call->pool);
  if (world->key_withdrawn_at[run->team][call->key_generation] != 0
      && world->now > world->key_withdrawn_at[run->team][call->key_generation]
                          + key_withdrawal_grace)
    sim_report_violation (
        world,
        "withdrawn key: a request started with team%d's key %.1f s after its "
        "withdrawal",
        run->team,
        (double)(world->now
                 - world->key_withdrawn_at[run->team][call->key_generation])
            / (double)CO_SECOND);
}

static int
find_backend (const struct sim_world *world, const char *name)
{
  for (int i = 0; i < world->backend_count; i++)
    if (strcmp (world->backends[i].name, name) == 0)
      return i;
  return -1;
}

/* Return the number of hosts of POOL that the leader may count as available:
   the active ones outside of evacuated zones, except those that have been down
   for longer than host_list_lag.  */
static int
count_available_hosts (const struct sim_world *world, int pool)
{
  int count = 0;

  for (int i = 0; i < world->backend_count; i++)
    {
      const struct sim_backend *backend = &world->backends[i];

      if (backend->pool == pool && backend->state == CO_HOST_ACTIVE
          && !world->zones[sim_backend_zone (world, i)].evacuated
          && !(backend->down
               && world->now - backend->down_since > host_list_lag))
        count++;
    }
  return count;
}

static void
record_committed_limits (struct sim_world *world, const char *text)
{
  struct cf_fleet *fleet = cf_fleet_parse (NULL, "fleet", text, NULL);

  for (int i = 0; i < SIM_TEAM_COUNT; i++)
    world->committed_limits[i] = fleet->teams[i].limit;
  talloc_free (fleet);
}

/* Apply the evacuation or restoration of ZONE, an index, in ENTRY.  */
static void
apply_evacuation (struct sim_world *world, int zone,
                  const struct co_log_entry *entry)
{
  struct sim_zone *changed = &world->zones[zone];
  bool evacuated = entry->change.order_state != CO_ORDER_CANCELLED;

  if (evacuated == changed->evacuated)
    return;
  changed->evacuated = evacuated;
  changed->version = entry->version;
  changed->accepted_at = 0;
  world->totals.evacuations += evacuated;
  world->totals.restorations += !evacuated;
}

void
sim_check_log_entry (struct sim_world *world, const struct co_log_entry *entry)
{
  const struct co_change *change = &entry->change;
  struct sim_backend *backend;
  uint32_t old;
  int index;

  if (entry->version != world->log_committed + 1)
    sim_report_violation (world, "log: version %d was committed after %d",
                          (int)entry->version, (int)world->log_committed);
  world->log_committed = entry->version;
  if (change->type == CO_CHANGE_FLEET)
    record_committed_limits (world, change->fleet_yaml);
  if (sim_change_zone (change) >= 0)
    apply_evacuation (world, sim_change_zone (change), entry);
  if (change->type != CO_CHANGE_HOST)
    return;
  index = find_backend (world, change->host);
  if (index < 0)
    return;
  backend = &world->backends[index];
  old = backend->state;
  backend->state = change->host_state;
  if (change->host_state == CO_HOST_OUT && backend->running > 0)
    sim_report_violation (world, "drain: %s is out with %u running",
                          backend->name, backend->running);
  if (change->host_state == CO_HOST_ACTIVE && change->pool != NULL)
    {
      if (backend->running > 0)
        sim_report_violation (world, "move: %s moved with %u running",
                              backend->name, backend->running);
      /* The name of a pool ends with its index.  */
      backend->pool = change->pool[strlen (change->pool) - 1] - '0';
      world->totals.moves++;
    }
  if ((change->host_state == CO_HOST_DRAINING
       || change->host_state == CO_HOST_MOVING)
      && old == CO_HOST_ACTIVE)
    {
      world->totals.drains++;
      if (!backend->down
          && count_available_hosts (world, backend->pool)
                 < (int)world->options.min_available)
        sim_report_violation (world,
                              "budget: pool%d has %d available hosts, but "
                              "needs %d",
                              backend->pool,
                              count_available_hosts (world, backend->pool),
                              (int)world->options.min_available);
    }
}

void
sim_check_node (struct sim_world *world, struct sim_node *node)
{
  struct co_status *status = co_core_summary (NULL, node->core, world->now);

  if (status->log_version < node->log_version)
    sim_report_violation (
        world, "configuration: node %u went back from version %d to %d",
        node->index, (int)node->log_version, (int)status->log_version);
  node->log_version = status->log_version;
  if (status->has_lease)
    for (uint32_t i = world->accepted_change_count; i-- > 0;)
      {
        if (world->now - world->accepted_changes[i].at
            <= accepted_change_grace)
          continue;
        if (status->log_version < world->accepted_changes[i].version)
          sim_report_violation (
              world,
              "configuration: node %u has version %d, but %d was accepted "
              "long ago",
              node->index, (int)status->log_version,
              (int)world->accepted_changes[i].version);
        break;
      }
  talloc_free (status);
  co_core_check_invariants (node->core);
}

void
sim_check_refusal (struct sim_world *world, const struct sim_attempt *attempt,
                   enum co_reason reason)
{
  if (attempt->has_final_answer)
    sim_report_violation (world, "answers: attempt %d got two final answers",
                          (int)attempt->id);
  if (co_reason_info (reason)->run == CO_RUN_NOT_RUN && attempt->runs_sent > 0)
    sim_report_violation (world,
                          "not run: %s was refused as %s, but it had been "
                          "sent to a backend server",
                          attempt->call->idempotency_key,
                          co_reason_info (reason)->name);
}

void
sim_check_all_answered (struct sim_world *world)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct sim_attempt *attempt = value;
      const struct sim_node *node = &world->nodes[attempt->node];

      if (!attempt->has_final_answer && node->core != NULL
          && node->incarnation == attempt->incarnation)
        sim_report_violation (world, "answers: %s got no answer from node %u",
                              attempt->call->idempotency_key, attempt->node);
    }
}
