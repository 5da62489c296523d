/* Measurements of scheduling policies, each against a baseline, in the
   simulator.  Time is virtual, so the same seed gives the same figures on
   every machine.

   Prints a Markdown table with a row for each measurement: its name, the
   policy and its figure, the baseline and its figure, the ratio of the two,
   and the unit.  */

#include "sim_world.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  RANDOM_SEED = 7,
  STEP_MS = 10, /* virtual time between two batches of requests */
  /* Entries in the log of a new simulation: the fleet and a key per team.  */
  INITIAL_LOG_VERSION = 1 + SIM_TEAM_COUNT
};

/* Print a row of the table, with the ratio of VALUE to BASELINE_VALUE.  */
static void
print_row (const char *measure, const char *policy, double value,
           const char *baseline, double baseline_value, const char *unit)
{
  printf ("| %-44s | %-22s | %9.3f | %-24s | %9.3f | %7.2f | %s |\n", measure,
          policy, value, baseline, baseline_value,
          baseline_value != 0 ? value / baseline_value : NAN, unit);
}

/* Return options of a simulation without faults, operators and background
   load, and with team limits too high to take effect.  */
static struct sim_options
fault_free_options (void)
{
  struct sim_options options;

  sim_options_init (&options);
  options.seed = RANDOM_SEED;
  options.faults = options.load = options.operators = false;
  options.hosts_per_pool = 10;
  options.slots_per_host = 8;
  options.min_available = 0;
  options.mean_service_time = 100 * CO_MILLISECOND;
  for (int i = 0; i < SIM_TEAM_COUNT; i++)
    options.limits[i] = 1000;
  return options;
}

/* A source of requests of TEAM that arrive at the entry host NODE.  RAND is
   borrowed.  */
struct request_source
{
  GRand *rand;
  uint32_t node;
  int team;
  double requests_per_s;
};

/* Send the requests of the COUNT SOURCES for the next STEP_MS of virtual time.
   Callers give up after PATIENCE.  */
static void
generate_requests (struct sim_world *world,
                   const struct request_source *sources, int count,
                   co_time patience)
{
  for (int i = 0; i < count; i++)
    {
      double mean_requests = sources[i].requests_per_s * STEP_MS / 1000.0;
      int request_count = (int)mean_requests;

      if (g_rand_double (sources[i].rand) < mean_requests - request_count)
        request_count++;
      for (int r = 0; r < request_count; r++)
        sim_send_request (world, sources[i].node, sources[i].team, 0, true,
                          true, patience);
    }
}

/* ---- fair shares ---- */

/* Return the largest deviation of a team's fraction of the running requests
   from its share, in percentage points, averaged over 20 s with a full pool.
   Demand is uneven: 70 % of a team's requests arrive at one entry host, and
   the team with the smallest share sends the most.  With KILL_NODE, the third
   entry host is killed at 6 s.  */
static double
measure_share_error (uint32_t disabled_mechanisms, bool kill_node)
{
  static const double requests_per_s[SIM_TEAM_COUNT]
      = { 2000, 1200, 1000, 1000 };
  struct sim_options options = fault_free_options ();
  struct request_source sources[SIM_TEAM_COUNT * 3];
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  struct sim_world *world;
  double running_sum[SIM_TEAM_COUNT] = { 0 };
  double running_total = 0;
  double max_error = 0;
  int count = 0;

  options.disabled = disabled_mechanisms;
  world = sim_world_new (NULL, &options);
  for (int t = 0; t < SIM_TEAM_COUNT; t++)
    for (uint32_t n = 0; n < 3; n++)
      {
        static const double node_fractions[3] = { 0.7, 0.2, 0.1 };
        uint32_t node = (n + (uint32_t)t) % 3;

        sources[count++]
            = (struct request_source){ rand, node, t,
                                       requests_per_s[t] * node_fractions[n] };
      }
  sim_run_until (world, 3 * CO_SECOND);
  for (co_time t = 3 * CO_SECOND; t < 32 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      if (kill_node && t == 6 * CO_SECOND)
        sim_kill_node (world, 2, -1);
      generate_requests (world, sources, count, CO_SECOND);
      sim_run_until (world, t);
      if (t < 12 * CO_SECOND)
        continue;
      for (int team = 0; team < SIM_TEAM_COUNT; team++)
        {
          running_sum[team] += sim_running_count (world, team);
          running_total += sim_running_count (world, team);
        }
    }
  for (int t = 0; t < SIM_TEAM_COUNT; t++)
    {
      /* The shares of the four teams are 1, 2, 3 and 4.  */
      double error
          = fabs (running_sum[t] / running_total - (t + 1) / 10.0) * 100;

      max_error = error > max_error ? error : max_error;
    }
  talloc_free (world);
  g_rand_free (rand);
  return max_error;
}

static void
report_shares (void)
{
  double fleet_shares_error = measure_share_error (0, false);

  print_row ("share error, full pool, uneven demand", "shares over the fleet",
             fleet_shares_error, "first come, first served",
             measure_share_error (CO_DISABLE_FAIR_SHARES, false),
             "percentage points");
  print_row ("share error, full pool, uneven demand", "shares over the fleet",
             fleet_shares_error, "shares per entry host",
             measure_share_error (CO_DISABLE_FLEET_SHARES, false),
             "percentage points");
  print_row ("share error, one entry host lost", "shares over the fleet",
             measure_share_error (0, true), "shares per entry host",
             measure_share_error (CO_DISABLE_FLEET_SHARES, true),
             "percentage points");
}

/* ---- team limits and slots ---- */

/* Return the fraction of a team limit of 12 that is in use when all requests
   arrive at one entry host.  */
static double
measure_usable_limit_fraction (uint32_t disabled_mechanisms)
{
  struct sim_options options = fault_free_options ();
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  struct request_source source = { rand, 0, 0, 400 };
  struct sim_world *world;
  double running_sum = 0;
  int samples = 0;

  options.disabled = disabled_mechanisms;
  options.sticky = true;
  options.limits[0] = 12;
  world = sim_world_new (NULL, &options);
  sim_run_until (world, 3 * CO_SECOND);
  for (co_time t = 3 * CO_SECOND; t < 12 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      generate_requests (world, &source, 1, CO_SECOND);
      sim_run_until (world, t);
      if (t < 4 * CO_SECOND)
        continue;
      running_sum += sim_running_count (world, 0);
      samples++;
    }
  talloc_free (world);
  g_rand_free (rand);
  return running_sum / samples / 12;
}

/* Return the mean time in milliseconds that requests wait for their start,
   while each entry host in turn gets a burst of 500 requests per second for
   3 s, and the others get 5 per second.  */
static double
measure_burst_wait_ms (uint32_t disabled_mechanisms)
{
  struct sim_options options = fault_free_options ();
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  struct sim_world *world;
  const co_time *waits;
  uint32_t count;
  double wait_sum = 0;

  options.disabled = disabled_mechanisms;
  options.sticky = true;
  world = sim_world_new (NULL, &options);
  sim_run_until (world, 3 * CO_SECOND);
  for (co_time t = 3 * CO_SECOND; t < 32 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      uint32_t burst_node = (uint32_t)(t / (3 * CO_SECOND)) % 3;

      for (uint32_t n = 0; n < 3; n++)
        {
          struct request_source source
              = { rand, n, 1, n == burst_node ? 500.0 : 5.0 };

          generate_requests (world, &source, 1, 10 * CO_SECOND);
        }
      sim_run_until (world, t);
    }
  sim_run_until (world, 45 * CO_SECOND);
  waits = sim_urgent_waits (world, true, &count);
  for (uint32_t i = 0; i < count; i++)
    wait_sum += (double)waits[i];
  talloc_free (world);
  g_rand_free (rand);
  return wait_sum / count / CO_MILLISECOND;
}

/* Return the time in seconds from the kill of an entry host until the two
   others hold its quota.  */
static double
measure_reclaim_time_s (void)
{
  struct sim_options options = fault_free_options ();
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  struct request_source source = { rand, 2, 0, 400 };
  struct sim_world *world;
  co_time killed_at = 6 * CO_SECOND;
  co_time reclaimed_at = 0;

  options.limits[0] = 30;
  /* Use the default timing of the product, not the shorter one of the
     randomised simulator runs.  */
  co_options_init (&options.core);
  world = sim_world_new (NULL, &options);
  for (co_time t = 4 * CO_SECOND; t < killed_at; t += STEP_MS * CO_MILLISECOND)
    {
      generate_requests (world, &source, 1, CO_SECOND);
      sim_run_until (world, t);
    }
  g_rand_free (rand);
  sim_kill_node (world, 2, -1);
  for (co_time t = killed_at;
       t < killed_at + 120 * CO_SECOND && reclaimed_at == 0;
       t += 100 * CO_MILLISECOND)
    {
      int64_t held_quota = 0;

      sim_run_until (world, t);
      for (uint32_t n = 0; n < 2; n++)
        {
          struct co_status *status
              = co_core_status (NULL, sim_node_core (world, n), t);

          held_quota += status->teams[0].held_quota;
          talloc_free (status);
        }
      if (held_quota == 30)
        reclaimed_at = t;
    }
  talloc_free (world);
  return (double)(reclaimed_at - killed_at) / CO_SECOND;
}

static void
report_limits (void)
{
  print_row ("limit usable, demand at one entry host", "lending of quota",
             measure_usable_limit_fraction (0), "static split",
             measure_usable_limit_fraction (CO_DISABLE_BORROWING), "fraction");
  print_row ("wait for start, burst at each host in turn", "lending of slots",
             measure_burst_wait_ms (0), "static split",
             measure_burst_wait_ms (CO_DISABLE_BORROWING), "ms");
  print_row ("dead member's quota reclaimed, deadline 30 s",
             "wait and peer reports", measure_reclaim_time_s (),
             "longest deadline", 30, "s");
}

/* ---- overload ---- */

struct overload_result
{
  double goodput;         /* answered, as a fraction of the capacity */
  double wait_p99_s;      /* of urgent requests, until their start */
  double wasted_fraction; /* of the runs: those whose caller had given up */
};

/* Run a simulation in which callers send five times the requests that the pool
   can run, for 29 s.  */
static struct overload_result
run_overload (uint32_t disabled_mechanisms)
{
  struct sim_options options = fault_free_options ();
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  double capacity;
  struct request_source sources[3];
  struct sim_world *world;
  const struct sim_totals *totals;
  const co_time *waits;
  uint32_t count;
  uint32_t p99_index;
  uint64_t answered_before;
  struct overload_result result;

  options.disabled = disabled_mechanisms;
  world = sim_world_new (NULL, &options);
  /* In the simulator, one run in twenty takes ten times the usual time, so the
     mean is 0.95 + 10 / 20 times the option.  */
  capacity = options.hosts_per_pool * options.slots_per_host
             / ((double)options.mean_service_time / CO_SECOND * (0.95 + 0.5));
  for (uint32_t n = 0; n < 3; n++)
    sources[n] = (struct request_source){ rand, n, (int)n, capacity * 5 / 3 };
  sim_run_until (world, 3 * CO_SECOND);
  answered_before = sim_totals (world)->answered;
  for (co_time t = 3 * CO_SECOND; t < 32 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      generate_requests (world, sources, 3, 2 * CO_SECOND);
      sim_run_until (world, t);
    }
  totals = sim_totals (world);
  result.goodput
      = (double)(totals->answered - answered_before) / 29 / capacity;
  result.wasted_fraction = (double)totals->wasted_runs / (double)totals->runs;
  waits = sim_urgent_waits (world, false, &count);
  p99_index = count * 99 / 100;
  result.wait_p99_s = (double)waits[p99_index] / CO_SECOND;
  talloc_free (world);
  g_rand_free (rand);
  return result;
}

static void
report_overload (void)
{
  struct overload_result with_refusal = run_overload (0);
  struct overload_result without_refusal
      = run_overload (CO_DISABLE_EARLY_REFUSAL);

  print_row ("goodput at five times the capacity, 30 s", "early refusal",
             with_refusal.goodput, "waiting in the queue",
             without_refusal.goodput, "fraction of capacity");
  print_row ("urgent start, 99th percentile, overload", "early refusal",
             with_refusal.wait_p99_s, "waiting in the queue",
             without_refusal.wait_p99_s, "s");
  print_row ("runs finished after caller left, overload", "early refusal",
             with_refusal.wasted_fraction, "waiting in the queue",
             without_refusal.wasted_fraction, "fraction");
}

/* Return the fraction of the runs that fail while one of ten backend servers
   answers every request with an error after 1 ms.  */
static double
measure_failed_fraction (uint32_t disabled_mechanisms)
{
  struct sim_options options = fault_free_options ();
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  struct request_source source = { rand, 0, 1, 200 };
  struct sim_world *world;
  double failed_fraction;

  options.disabled = disabled_mechanisms;
  world = sim_world_new (NULL, &options);
  sim_run_until (world, 3 * CO_SECOND);
  sim_backend_set_failing (world, 3, true);
  for (co_time t = 3 * CO_SECOND; t < 22 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      generate_requests (world, &source, 1, 2 * CO_SECOND);
      sim_run_until (world, t);
    }
  failed_fraction = (double)sim_totals (world)->failed_answers
                    / (double)sim_totals (world)->runs;
  talloc_free (world);
  g_rand_free (rand);
  return failed_fraction;
}

/* ---- drains and configuration changes ---- */

/* Return the number of drain violations in 20 randomised runs: a host is taken
   out of service while requests run on it, or gets requests afterwards.  Set
   *VIOLATIONS_PER_DRAIN to that number divided by the number of drains.  */
static double
count_drain_violations (uint32_t disabled_mechanisms,
                        double *violations_per_drain)
{
  struct sim_totals sum = { 0 };

  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct sim_options options;
      struct sim_totals totals;

      sim_options_init (&options);
      options.seed = seed;
      options.faults = false;
      options.disabled = disabled_mechanisms;
      options.count_violations_only = true;
      talloc_free (sim_run (NULL, &options, &totals));
      sum.violations += totals.violations;
      sum.drains += totals.drains;
    }
  *violations_per_drain = (double)sum.violations / (double)sum.drains;
  return (double)sum.violations;
}

/* Return the time in seconds until all five entry hosts have applied a
   configuration change.  */
static double
measure_rollout_s (void)
{
  struct sim_options options = fault_free_options ();
  struct sim_world *world;
  struct co_change change = { .type = CO_CHANGE_API_KEY };
  co_time started_at = 6 * CO_SECOND;
  co_time t = started_at;
  bool applied_everywhere = false;

  options.nodes = 5;
  co_options_init (&options.core);
  world = sim_world_new (NULL, &options);
  sim_run_until (world, started_at);
  change.key_hash = talloc_strdup (
      world,
      "0123456789012345678901234567890123456789012345678901234567890123");
  change.team = "team0";
  sim_send_change (world, 1, &change);
  while (!applied_everywhere && t < started_at + 20 * CO_SECOND)
    {
      t += CO_MILLISECOND;
      sim_run_until (world, t);
      applied_everywhere = true;
      for (uint32_t n = 0; n < 5; n++)
        {
          struct co_status *status
              = co_core_summary (NULL, sim_node_core (world, n), t);

          applied_everywhere
              = applied_everywhere
                && status->log_version == INITIAL_LOG_VERSION + 1;
          talloc_free (status);
        }
    }
  talloc_free (world);
  return (double)(t - started_at) / CO_SECOND;
}

/* Return the time in seconds to reboot all ten hosts of a pool, of which
   MIN_AVAILABLE must stay available.  */
static double
measure_maintenance_s (int64_t min_available)
{
  struct sim_options options = fault_free_options ();
  struct sim_world *world;
  struct co_change change = { .type = CO_CHANGE_MAINTENANCE };
  co_time started_at = 6 * CO_SECOND;
  co_time t = started_at;
  uint32_t done_host_count = 0;

  options.min_available = min_available;
  world = sim_world_new (NULL, &options);
  sim_run_until (world, started_at);
  change.scope = CO_SCOPE_POOL;
  change.scope_name = "pool0";
  sim_send_change (world, 1, &change);
  while (done_host_count < 10 && t < started_at + 300 * CO_SECOND)
    {
      struct co_status *status;

      t += 50 * CO_MILLISECOND;
      sim_run_until (world, t);
      status = co_core_status (NULL, sim_node_core (world, 0), t);
      done_host_count = status->order_count > 0 ? status->orders[0].done : 0;
      talloc_free (status);
    }
  talloc_free (world);
  return (double)(t - started_at) / CO_SECOND;
}

static void
report_changes (void)
{
  double with_wait;
  double without_wait;

  count_drain_violations (0, &with_wait);
  count_drain_violations (CO_DISABLE_DRAIN_WAIT, &without_wait);
  print_row ("requests cut off or misplaced for each drain",
             "wait for all members", with_wait, "no wait", without_wait,
             "requests");
  print_row ("configuration change in force everywhere", "log and heartbeats",
             measure_rollout_s (), "allowed time", 10, "s");
  print_row ("maintenance of 10 hosts, 7 needed", "as the budget allows",
             measure_maintenance_s (7), "one at a time",
             measure_maintenance_s (9), "s");
  print_row ("failed responses, one of ten backends fails",
             "taken out of service", measure_failed_fraction (0),
             "left in service", measure_failed_fraction (CO_DISABLE_EJECTION),
             "fraction");
}

/* ---- rebalancing between pools ---- */

struct rebalancing_result
{
  double answered;   /* fraction of the requests */
  double moves;      /* number of moves of a host between pools */
  double lent_hosts; /* mean number of hosts lent */
};

/* Simulate three minutes of load on a pool of five hosts that can borrow the
   five hosts of a spare pool.  The load is 450 requests per second for the
   first minute, or with BURSTS for 3 s of every 15 s, and otherwise 5 requests
   per second.  */
static struct rebalancing_result
run_rebalancing (uint32_t disabled_mechanisms, bool bursts)
{
  struct sim_options options = fault_free_options ();
  GRand *rand = g_rand_new_with_seed (RANDOM_SEED);
  struct sim_world *world;
  struct rebalancing_result result = { 0 };
  int samples = 0;

  options.disabled = disabled_mechanisms;
  options.hosts_per_pool = 5;
  options.pool1_lends_hosts = true;
  world = sim_world_new (NULL, &options);
  sim_run_until (world, 3 * CO_SECOND);
  for (co_time t = 3 * CO_SECOND; t < 183 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      bool is_high
          = bursts ? t / (3 * CO_SECOND) % 5 == 0 : t < 63 * CO_SECOND;
      double requests_per_s = is_high ? 450.0 : 5.0;

      for (uint32_t n = 0; n < 3; n++)
        {
          struct request_source source
              = { rand, n, (int)n, requests_per_s / 3 };

          generate_requests (world, &source, 1, 2 * CO_SECOND);
        }
      sim_run_until (world, t);
      result.lent_hosts
          += sim_pool_host_count (world, 0) - options.hosts_per_pool;
      samples++;
    }
  result.lent_hosts /= samples;
  result.answered = (double)sim_totals (world)->answered
                    / (double)sim_totals (world)->requests;
  result.moves = (double)sim_totals (world)->moves;
  talloc_free (world);
  g_rand_free (rand);
  return result;
}

static void
report_rebalancing (void)
{
  struct rebalancing_result with_lending = run_rebalancing (0, false);
  struct rebalancing_result without_lending
      = run_rebalancing (CO_DISABLE_REBALANCING, false);
  struct rebalancing_result bursts = run_rebalancing (0, true);
  struct rebalancing_result without_hysteresis
      = run_rebalancing (CO_DISABLE_HYSTERESIS, true);

  print_row ("answered, a minute above capacity", "spare hosts lent",
             with_lending.answered, "never lent", without_lending.answered,
             "fraction");
  print_row ("moves, a minute above capacity", "spare hosts lent",
             with_lending.moves, "never lent", without_lending.moves, "moves");
  print_row ("hosts lent, a minute above capacity", "spare hosts lent",
             with_lending.lent_hosts, "never lent", without_lending.lent_hosts,
             "hosts");
  print_row ("moves in bursts, 3 minutes", "average over 20 s", bursts.moves,
             "current load", without_hysteresis.moves, "moves");
  print_row ("answered in bursts", "average over 20 s", bursts.answered,
             "current load", without_hysteresis.answered, "fraction");
}

int
main (void)
{
  printf ("| %-44s | %-22s | %9s | %-24s | %9s | %7s | unit |\n", "measure",
          "policy", "figure", "baseline", "figure", "ratio");
  printf ("|---|---|---|---|---|---|---|\n");
  report_shares ();
  report_limits ();
  report_overload ();
  report_changes ();
  report_rebalancing ();
  printf ("seed %d; virtual time: the same figures on every run\n",
          RANDOM_SEED);
  return 0;
}
