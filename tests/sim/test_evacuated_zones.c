/* Evacuation of zones: no request starts on a host of an evacuated zone, the
   hosts there count as unavailable for availability budgets, and evacuations
   survive snapshots, also those of earlier versions.  */

#include "sim_world.h"

#include "dp_test.h"

#include <stdio.h>
#include <string.h>

/* Between requests to each node.  At 20 ms, a pool with one of three zones
   evacuated is overloaded, and a restarted node gets no slots.  */
static const co_time send_interval = 60 * CO_MILLISECOND;

enum
{
  ZONE_COUNT = 3,
  MAX_SEEDS_WITHOUT_MECHANISM = 20
};

/* Set OPTIONS to a fleet in ZONE_COUNT zones without random load, faults and
   changes.  */
static void
init_options (struct sim_options *options)
{
  sim_options_init (options);
  options->faults = options->load = options->operators = false;
  options->zones = ZONE_COUNT;
  options->min_available = 0;
  options->limits[0] = 100;
}

/* Report the violation in WORLD, if there is one, and free WORLD.  */
static void
finish (struct sim_world *world)
{
  CU_ASSERT_PTR_NULL (sim_violation (world));
  if (sim_violation (world) != NULL)
    printf ("%s\n", sim_violation (world));
  talloc_free (world);
}

/* Return the number of requests that run in ZONE from node I, and set
 *EVACUATED to whether it knows that ZONE is evacuated.  */
static uint32_t
zone_running (struct sim_world *world, uint32_t i, int zone, bool *evacuated)
{
  struct co_status *status
      = co_core_status (NULL, sim_node_core (world, i), sim_now (world));
  uint32_t running = 0;
  char name[16];

  *evacuated = false;
  g_snprintf (name, sizeof name, "z%d", zone);
  for (uint32_t z = 0; z < status->zone_count; z++)
    if (strcmp (status->zones[z].name, name) == 0)
      {
        running = status->zones[z].running;
        *evacuated = status->zones[z].evacuated;
      }
  talloc_free (status);
  return running;
}

static bool
knows_evacuation (struct sim_world *world, uint32_t i, int zone)
{
  bool evacuated;

  zone_running (world, i, zone, &evacuated);
  return evacuated;
}

/* Send requests for POOL, which the callers retry for PATIENCE, to all nodes
   until UNTIL.  */
static void
send_patient_requests (struct sim_world *world, int pool, bool idempotent,
                       co_time patience, co_time until)
{
  while (sim_now (world) < until
         && sim_run_until (world, sim_now (world) + send_interval))
    for (uint32_t i = 0; i < 3; i++)
      sim_send_request (world, i, 0, pool, idempotent, true, patience);
}

static void
send_requests (struct sim_world *world, int pool, co_time until)
{
  send_patient_requests (world, pool, true, CO_SECOND, until);
}

static uint32_t
running_total (struct sim_world *world, int zone)
{
  uint32_t total = 0;
  bool evacuated;

  for (uint32_t i = 0; i < 3; i++)
    total += zone_running (world, i, zone, &evacuated);
  return total;
}

/* Guards against requests that are started in an evacuated zone, are cut off
   there, or are not started there again after it was restored.  */
static void
test_nothing_starts (void)
{
  struct sim_options options;
  struct sim_world *world;

  init_options (&options);
  world = sim_world_new (NULL, &options);
  send_requests (world, 0, 6 * CO_SECOND);
  CU_ASSERT_TRUE (running_total (world, 1) > 0);
  sim_set_evacuated (world, 0, 1, true);
  send_requests (world, 0, 12 * CO_SECOND);
  CU_ASSERT_EQUAL (running_total (world, 1), 0);
  CU_ASSERT_TRUE (running_total (world, 0) > 0);
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT_TRUE (knows_evacuation (world, i, 1));
      CU_ASSERT_EQUAL (co_core_counter (sim_node_core (world, i),
                                        CO_COUNTER_ZONES_EVACUATED),
                       1);
    }
  sim_set_evacuated (world, 2, 1, false);
  send_requests (world, 0, 15 * CO_SECOND);
  CU_ASSERT_TRUE (running_total (world, 1) > 0);
  CU_ASSERT_EQUAL (
      co_core_counter (sim_node_core (world, 0), CO_COUNTER_ZONES_RESTORED),
      1);
  CU_ASSERT_EQUAL (sim_totals (world)->wasted_runs, 0);
  finish (world);
}

/* Guards against refusals that don't name the evacuation, and against requests
   that wait for a host and are then not refused or not started.  */
static void
test_all_zones_evacuated (void)
{
  struct sim_options options;
  struct sim_world *world;
  const uint64_t *reasons;
  uint64_t answered;

  init_options (&options);
  world = sim_world_new (NULL, &options);
  reasons = sim_totals (world)->reasons;
  send_requests (world, 0, 5 * CO_SECOND);
  CU_ASSERT_EQUAL (reasons[CO_REASON_ZONE_EVACUATED], 0);
  for (int zone = 0; zone < ZONE_COUNT; zone++)
    sim_set_evacuated (world, 0, zone, true);
  send_requests (world, 0, 8 * CO_SECOND);
  CU_ASSERT_TRUE (reasons[CO_REASON_ZONE_EVACUATED] > 0);
  CU_ASSERT_EQUAL (reasons[CO_REASON_NO_HOST], 0);
  answered = sim_totals (world)->answered;
  sim_set_evacuated (world, 0, 0, false);
  send_requests (world, 0, 12 * CO_SECOND);
  CU_ASSERT_TRUE (sim_totals (world)->answered > answered);
  finish (world);
}

/* Guards against a drain that takes the capacity that an evacuation has taken
   already.  */
static void
test_budget_counts_evacuated_hosts (void)
{
  struct sim_options options;
  struct sim_world *world;
  struct co_change change
      = { .type = CO_CHANGE_HOST, .host_state = CO_HOST_DRAINING };
  struct co_status *status;
  uint64_t drains;

  init_options (&options);
  options.hosts_per_pool = 6;
  options.min_available = 4;
  world = sim_world_new (NULL, &options);
  sim_run_until (world, 5 * CO_SECOND);
  /* Hosts 0 and 3 of pool 0 are in zone 0: four others remain.  */
  sim_set_evacuated (world, 0, 0, true);
  sim_run_until (world, 8 * CO_SECOND);
  status = co_core_status (NULL, sim_node_core (world, 0), sim_now (world));
  drains = sim_totals (world)->drains;
  change.host = talloc_strdup (status, status->hosts[1].name);
  sim_send_change (world, 0, &change);
  sim_run_until (world, 10 * CO_SECOND);
  CU_ASSERT_EQUAL (sim_totals (world)->drains, drains);
  /* A host of the evacuated zone is counted as unavailable only once.  */
  change.host = talloc_strdup (status, status->hosts[0].name);
  sim_send_change (world, 0, &change);
  sim_run_until (world, 12 * CO_SECOND);
  CU_ASSERT_EQUAL (sim_totals (world)->drains, drains + 1);
  talloc_free (status);
  finish (world);
}

/* Guards against an order that is accepted for a zone without hosts, and
   against one that fails since the zone has that state already.  */
static void
test_repeated_and_unknown (void)
{
  struct sim_options options;
  struct sim_world *world;
  uint64_t accepted;

  init_options (&options);
  world = sim_world_new (NULL, &options);
  sim_run_until (world, 5 * CO_SECOND);
  accepted = sim_totals (world)->changes_accepted;
  sim_set_evacuated (world, 0, ZONE_COUNT, true);
  sim_run_until (world, 6 * CO_SECOND);
  CU_ASSERT_EQUAL (sim_totals (world)->changes_accepted, accepted);
  /* Two operators at once, and order and removal in quick succession.  */
  sim_set_evacuated (world, 0, 1, true);
  sim_set_evacuated (world, 1, 1, true);
  sim_set_evacuated (world, 2, 2, true);
  sim_set_evacuated (world, 2, 2, false);
  sim_run_until (world, 10 * CO_SECOND);
  CU_ASSERT_EQUAL (sim_totals (world)->changes_accepted, accepted + 4);
  CU_ASSERT_EQUAL (sim_totals (world)->evacuations, 2);
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT_TRUE (knows_evacuation (world, i, 1));
      CU_ASSERT_FALSE (knows_evacuation (world, i, 2));
    }
  finish (world);
}

/* Guards against a request that was claiming its idempotency key for a host
   when the zone of that host was evacuated, and that is then taken for a
   repeat of itself, or refused without the release of its claim, so that its
   repeats are refused as well.  */
static void
test_requests_being_claimed (void)
{
  struct sim_options options;
  struct sim_world *world;
  const struct sim_totals *totals;

  init_options (&options);
  world = sim_world_new (NULL, &options);
  totals = sim_totals (world);
  sim_run_until (world, 5 * CO_SECOND);
  for (int round = 0; round < 24; round++)
    {
      bool all = round % 4 == 3;

      for (int zone = 0; zone < ZONE_COUNT; zone++)
        if (all || zone == round % 4)
          sim_set_evacuated (world, 0, zone, true);
      /* When no zone is left, some requests wait until they are refused.  */
      send_patient_requests (world, 0, false, 20 * CO_SECOND,
                             sim_now (world) + (all ? 3 : 1) * CO_SECOND);
      for (int zone = 0; zone < ZONE_COUNT; zone++)
        sim_set_evacuated (world, 1, zone, false);
      send_patient_requests (world, 0, false, 20 * CO_SECOND,
                             sim_now (world) + CO_SECOND);
    }
  sim_run_until (world, sim_now (world) + 25 * CO_SECOND);
  CU_ASSERT_TRUE (totals->requests > 1000);
  CU_ASSERT_EQUAL (totals->given_up, 0);
  CU_ASSERT_EQUAL (totals->refused, 0);
  CU_ASSERT_EQUAL (totals->answered + totals->unknown, totals->requests);
  finish (world);
}

/* Make COUNT changes that alter nothing for hosts, so that the leader writes
   snapshots.  */
static void
grow_log (struct sim_world *world, int count)
{
  struct co_change change = { .type = CO_CHANGE_MAINTENANCE,
                              .order_state = CO_ORDER_PAUSED,
                              .scope = CO_SCOPE_POOL };
  char pool[] = "pool1";

  change.scope_name = pool;
  for (int i = 0; i < count; i++)
    {
      sim_send_change (world, 0, &change);
      sim_run_until (world, sim_now (world) + 500 * CO_MILLISECOND);
    }
}

/* Restart the other nodes, so that node 0 is the one that joined first.  */
static void
make_node_0_leader (struct sim_world *world)
{
  sim_run_until (world, 5 * CO_SECOND);
  sim_kill_node (world, 1, CO_SECOND);
  sim_run_until (world, 10 * CO_SECOND);
  sim_kill_node (world, 2, CO_SECOND);
  sim_run_until (world, 15 * CO_SECOND);
}

/* Evacuate a zone, have the leader write a snapshot, and restart a node that
   reads it.  NODES_WITHOUT_EVACUATIONS are of an earlier version.  */
static void
restart_from_snapshot (uint32_t nodes_without_evacuations)
{
  struct sim_options options;
  struct sim_world *world;

  init_options (&options);
  options.nodes_without_evacuations = nodes_without_evacuations;
  world = sim_world_new (NULL, &options);
  make_node_0_leader (world);
  sim_set_evacuated (world, 2, 1, true);
  sim_set_evacuated (world, 2, 2, true);
  sim_set_evacuated (world, 2, 2, false);
  grow_log (world, 30);
  CU_ASSERT_TRUE (
      co_core_counter (sim_node_core (world, 0), CO_COUNTER_SNAPSHOTS) > 0);
  sim_kill_node (world, 2, CO_SECOND);
  send_requests (world, 0, sim_now (world) + 12 * CO_SECOND);
  CU_ASSERT_TRUE (
      co_core_counter (sim_node_core (world, 2), CO_COUNTER_LOG_APPLIED) < 16);
  CU_ASSERT_TRUE (co_core_counter (sim_node_core (world, 2), CO_COUNTER_STARTS)
                  > 0);
  CU_ASSERT_TRUE (knows_evacuation (world, 2, 1));
  CU_ASSERT_FALSE (knows_evacuation (world, 2, 2));
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (
        co_core_counter (sim_node_core (world, i), CO_COUNTER_INVALID_ROWS),
        0);
  sim_set_evacuated (world, 2, 1, false);
  sim_run_until (world, sim_now (world) + 2 * CO_SECOND);
  CU_ASSERT_FALSE (knows_evacuation (world, 2, 1));
  finish (world);
}

/* Guards against a snapshot without the evacuations.  */
static void
test_snapshot (void)
{
  restart_from_snapshot (0);
}

/* Guards against an entry that an earlier version can't decode or apply, which
   would stop its log, and against the loss of evacuations in the snapshots
   that an earlier version writes.  */
static void
test_snapshot_of_earlier_version (void)
{
  restart_from_snapshot (1u << 0 | 1u << 1);
}

/* Run the random simulation of SEED with evacuations but without the
   mechanisms DISABLED, and count its evacuations in *EVACUATIONS.  Return
   whether there was a violation whose text contains GUARANTEE; print it
   unless mechanisms are disabled.  */
static bool
violates (uint32_t seed, uint32_t disabled, const char *guarantee,
          uint64_t *evacuations)
{
  struct sim_options options;
  struct sim_totals totals;
  char *violation;
  bool found;

  sim_options_init (&options);
  options.seed = seed;
  options.disabled = disabled;
  options.nodes = 3 + seed % 3;
  options.pool1_lends_hosts = seed % 2;
  options.zones = ZONE_COUNT;
  options.evacuations = true;
  violation = sim_run (NULL, &options, &totals);
  *evacuations += totals.evacuations;
  found = violation != NULL && strstr (violation, guarantee) != NULL;
  if (violation != NULL && disabled == 0)
    printf ("seed %u: %s\n", seed, violation);
  talloc_free (violation);
  return found;
}

/* Guards against a guarantee that faults and evacuations break together, such
   as a start by an entry host that was cut off or whose request waited for its
   claim.  */
static void
test_random_evacuations (void)
{
  uint64_t evacuations = 0;

  for (uint32_t seed = 1; seed <= 60; seed++)
    CU_ASSERT_FALSE (violates (seed, 0, "", &evacuations));
  CU_ASSERT_TRUE (evacuations > 60);
}

/* Guards against a check that finds nothing: when evacuations are ignored, it
   must find a start in an evacuated zone.  */
static void
test_check_finds_starts (void)
{
  uint64_t evacuations = 0;
  bool found = false;

  for (uint32_t seed = 1; seed <= MAX_SEEDS_WITHOUT_MECHANISM && !found;
       seed++)
    found = violates (seed, CO_DISABLE_EVACUATIONS,
                      "evacuation: ", &evacuations);
  CU_ASSERT_TRUE (found);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "nothing starts in an evacuated zone", test_nothing_starts },
    { "all zones evacuated", test_all_zones_evacuated },
    { "budgets count evacuated hosts", test_budget_counts_evacuated_hosts },
    { "repeated and unknown orders", test_repeated_and_unknown },
    { "requests that are being claimed", test_requests_being_claimed },
    { "snapshot", test_snapshot },
    { "snapshot of an earlier version", test_snapshot_of_earlier_version },
    { "random evacuations", test_random_evacuations },
    { "the check finds starts", test_check_finds_starts },
    { NULL, NULL }
  };

  return dp_test_main ("evacuation of zones", tests);
}
