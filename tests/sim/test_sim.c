/* Entry hosts in virtual time keep the guarantees under random load, faults
   and changes of the configuration.  */

#include "sim_world.h"

#include "dp_test.h"

#include <stdio.h>
#include <string.h>

enum
{
  MAX_SEEDS_PER_MECHANISM = 200
};

/* Run the simulations of SEED_COUNT seeds from FIRST_SEED on without the
   mechanisms DISABLED (enum co_disable_flag).  Return the number of violations
   whose text contains GUARANTEE; print the others.  */
static int
count_violations (uint32_t first_seed, uint32_t seed_count, uint32_t disabled,
                  const char *guarantee)
{
  int count = 0;

  for (uint32_t seed = first_seed; seed < first_seed + seed_count; seed++)
    {
      struct sim_options options;
      struct sim_totals totals;
      char *violation;

      sim_options_init (&options);
      options.seed = seed;
      options.disabled = disabled;
      options.nodes = 3 + seed % 3;
      options.pool1_lends_hosts = seed % 2;
      violation = sim_run (NULL, &options, &totals);
      if (violation != NULL && strstr (violation, guarantee) != NULL)
        count++;
      else if (violation != NULL)
        printf ("seed %u: %s\n", seed, violation);
      talloc_free (violation);
    }
  return count;
}

/* No guarantee is violated while all mechanisms are in use.  */
static void
test_guarantees_hold (void)
{
  CU_ASSERT_EQUAL (count_violations (1, 60, 0, ""), 0);
}

/* Seeds that violated a guarantee in the past.  */
static void
test_former_violations (void)
{
  static const uint32_t seeds[] = { 257,  260,  367,  600,  621,  639, 998,
                                    1013, 1068, 1152, 1288, 1440, 1564 };

  for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
    CU_ASSERT_EQUAL (count_violations (seeds[i], 1, 0, ""), 0);
}

/* Return whether one of the first MAX_SEEDS_PER_MECHANISM seeds has a
   violation whose text contains GUARANTEE when the mechanisms DISABLED are
   off.  */
static bool
finds_violation (uint32_t disabled, const char *guarantee)
{
  bool found = false;

  for (uint32_t seed = 1; seed <= MAX_SEEDS_PER_MECHANISM && !found; seed++)
    found = count_violations (seed, 1, disabled, guarantee) > 0;
  return found;
}

/* Each mechanism is needed: without it, the guarantee that it protects is
   violated, and the simulation detects that.  The texts are parts of those in
   sim_check.c.  */
static void
test_mechanisms_are_needed (void)
{
  CU_ASSERT_TRUE (finds_violation (CO_DISABLE_CLAIMS, "at most once"));
  CU_ASSERT_TRUE (finds_violation (CO_DISABLE_QUOTA, "upper limit"));
  CU_ASSERT_TRUE (finds_violation (CO_DISABLE_DRAIN_WAIT, " running"));
  CU_ASSERT_TRUE (finds_violation (CO_DISABLE_BUDGETS, "budget"));
  CU_ASSERT_TRUE (finds_violation (CO_DISABLE_RECLAIM_WAIT, " runs "));
  CU_ASSERT_TRUE (finds_violation (CO_DISABLE_TRANSFER_REPORTS, " runs "));
  CU_ASSERT_TRUE (finds_violation (CO_DISABLE_LEASE, "configuration"));
}

static uint64_t
snapshot_count (struct sim_world *world, uint32_t node)
{
  return co_core_counter (sim_node_core (world, node), CO_COUNTER_SNAPSHOTS);
}

/* An entry host that was frozen when a backend server was announced as leaving
   must not send it requests afterwards, although its last host list shows the
   backend server in use.  */
static void
test_leaving_while_frozen (void)
{
  struct sim_options options;
  struct sim_world *world;

  sim_options_init (&options);
  options.faults = options.load = options.operators = false;
  options.limits[0] = 100;
  world = sim_world_new (NULL, &options);
  sim_run_until (world, 5 * CO_SECOND);
  sim_freeze_node (world, 0, 6 * CO_SECOND);
  sim_backend_announce_leave (world, 1, 60 * CO_SECOND);
  for (co_time t = 11 * CO_SECOND; t < 12 * CO_SECOND;
       t += 20 * CO_MILLISECOND)
    {
      sim_run_until (world, t);
      sim_send_request (world, 0, 0, 0, true, true, CO_SECOND);
    }
  CU_ASSERT_PTR_NULL (sim_violation (world));
  if (sim_violation (world) != NULL)
    printf ("%s\n", sim_violation (world));
  talloc_free (world);
}

/* A new member must start from a snapshot and read only the log entries after
   it, not the whole log.  */
static void
test_new_member_reads_snapshot (void)
{
  struct sim_options options;
  struct sim_world *world;
  struct co_status *old;
  struct co_status *new_member;
  uint64_t node2_snapshots;

  sim_options_init (&options);
  options.faults = false;
  options.requests_per_s = 5;
  world = sim_world_new (NULL, &options);
  sim_run_until (world, 25 * CO_SECOND);
  node2_snapshots = snapshot_count (world, 2);
  sim_kill_node (world, 2, CO_SECOND);
  sim_run_until (world, 30 * CO_SECOND);
  old = co_core_summary (NULL, sim_node_core (world, 0), sim_now (world));
  new_member
      = co_core_summary (NULL, sim_node_core (world, 2), sim_now (world));
  CU_ASSERT_TRUE (snapshot_count (world, 0) + snapshot_count (world, 1)
                      + node2_snapshots
                  > 0);
  CU_ASSERT_TRUE (old->log_version
                  > 2 * options.core.snapshot_interval_entries);
  CU_ASSERT_EQUAL (new_member->log_version, old->log_version);
  CU_ASSERT_TRUE (
      co_core_counter (sim_node_core (world, 2), CO_COUNTER_LOG_APPLIED)
      < 2 * options.core.snapshot_interval_entries);
  talloc_free (old);
  talloc_free (new_member);
  talloc_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "guarantees hold", test_guarantees_hold },
          { "former violations", test_former_violations },
          { "mechanisms are needed", test_mechanisms_are_needed },
          { "leaving while frozen", test_leaving_while_frozen },
          { "new member reads snapshot", test_new_member_reads_snapshot },
          { NULL, NULL } };

  return dp_test_main ("entry hosts in virtual time", tests);
}
