/* Measures of the decisions, each against a baseline, in virtual time: the
   same seed gives the same figures on every machine.

   Prints one table: measure, policy, figure, baseline, figure, ratio, seed. */

#include "sim_world.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  SEED = 7,
  STEP_MS = 10
};

static void
row (const char *measure, const char *policy, double value,
     const char *baseline, double base, const char *unit)
{
  printf ("| %-44s | %-22s | %9.3f | %-24s | %9.3f | %7.2f | %s |\n", measure,
          policy, value, baseline, base, base != 0 ? value / base : NAN, unit);
}

static struct sim_options
quiet_options (void)
{
  struct sim_options o;

  sim_options_init (&o);
  o.seed = SEED;
  o.faults = o.load = o.operators = false;
  o.hosts_per_pool = 10;
  o.slots_per_host = 8;
  o.min_available = 0;
  o.mean_service_time = 100 * CO_MILLISECOND;
  for (int i = 0; i < SIM_TEAM_COUNT; i++)
    o.limits[i] = 1000;
  return o;
}

/* A source of requests: RATE a second for TEAM at NODE, by a generator of its
   own.  */
struct source
{
  GRand *random;
  uint32_t node;
  int team;
  double rate;
};

static void
feed (struct sim_world *world, const struct source *sources, int count,
      co_time patience)
{
  for (int i = 0; i < count; i++)
    {
      double mean = sources[i].rate * STEP_MS / 1000.0;
      int requests = (int)mean;

      if (g_rand_double (sources[i].random) < mean - requests)
        requests++;
      for (int r = 0; r < requests; r++)
        sim_send_request (world, sources[i].node, sources[i].team, 0, true,
                          true, patience);
    }
}

/* ---- shares ---- */

/* Return the largest distance of a team from its share of what runs, in
   percentage points, averaged over 20 s while the pool is full.  One entry
   host gets most of the demand, and the team with the smallest share asks for
   most.  */
static double
share_error (uint32_t off, bool lose_node)
{
  static const double demand[SIM_TEAM_COUNT] = { 2000, 1200, 1000, 1000 };
  struct sim_options o = quiet_options ();
  struct source sources[SIM_TEAM_COUNT * 3];
  GRand *random = g_rand_new_with_seed (SEED);
  struct sim_world *world;
  double sum[SIM_TEAM_COUNT] = { 0 };
  double all = 0;
  double worst = 0;
  int count = 0;

  o.disabled = off;
  world = sim_world_new (NULL, &o);
  for (int t = 0; t < SIM_TEAM_COUNT; t++)
    for (uint32_t n = 0; n < 3; n++)
      {
        static const double parts[3] = { 0.7, 0.2, 0.1 };
        uint32_t node = (n + (uint32_t)t) % 3;

        sources[count++]
            = (struct source){ random, node, t, demand[t] * parts[n] };
      }
  sim_run_until (world, 3 * CO_SECOND);
  for (co_time t = 3 * CO_SECOND; t < 32 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      if (lose_node && t == 6 * CO_SECOND)
        sim_kill_node (world, 2, -1);
      feed (world, sources, count, CO_SECOND);
      sim_run_until (world, t);
      if (t < 12 * CO_SECOND)
        continue;
      for (int team = 0; team < SIM_TEAM_COUNT; team++)
        {
          sum[team] += sim_running_count (world, team);
          all += sim_running_count (world, team);
        }
    }
  for (int t = 0; t < SIM_TEAM_COUNT; t++)
    {
      double error = fabs (sum[t] / all - (t + 1) / 10.0) * 100;

      worst = error > worst ? error : worst;
    }
  talloc_free (world);
  g_rand_free (random);
  return worst;
}

static void
measure_shares (void)
{
  double fair = share_error (0, false);

  row ("share error, full pool, uneven demand", "fleet shares", fair,
       "first come, first served", share_error (CO_DISABLE_FAIR_SHARES, false),
       "points");
  row ("share error, full pool, uneven demand", "fleet shares", fair,
       "fair per entry host", share_error (CO_DISABLE_FLEET_SHARES, false),
       "points");
  row ("share error, one entry host lost", "fleet shares",
       share_error (0, true), "fair per entry host",
       share_error (CO_DISABLE_FLEET_SHARES, true), "points");
}

/* ---- limits and slots ---- */

/* Part of a limit of 12 that is used when all demand is at one host.  */
static double
usable_limit (uint32_t off)
{
  struct sim_options o = quiet_options ();
  GRand *random = g_rand_new_with_seed (SEED);
  struct source source = { random, 0, 0, 400 };
  struct sim_world *world;
  double sum = 0;
  int samples = 0;

  o.disabled = off;
  o.sticky = true;
  o.limits[0] = 12;
  world = sim_world_new (NULL, &o);
  sim_run_until (world, 3 * CO_SECOND);
  for (co_time t = 3 * CO_SECOND; t < 12 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      feed (world, &source, 1, CO_SECOND);
      sim_run_until (world, t);
      if (t < 4 * CO_SECOND)
        continue;
      sum += sim_running_count (world, 0);
      samples++;
    }
  talloc_free (world);
  g_rand_free (random);
  return sum / samples / 12;
}

/* Mean wait for a start, in milliseconds, when bursts of five times the mean
   reach one entry host after the other.  */
static double
burst_wait (uint32_t off)
{
  struct sim_options o = quiet_options ();
  GRand *random = g_rand_new_with_seed (SEED);
  struct sim_world *world;
  const co_time *waits;
  uint32_t count;
  double sum = 0;

  o.disabled = off;
  o.sticky = true;
  world = sim_world_new (NULL, &o);
  sim_run_until (world, 3 * CO_SECOND);
  for (co_time t = 3 * CO_SECOND; t < 32 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      uint32_t burst = (uint32_t)(t / (3 * CO_SECOND)) % 3;

      for (uint32_t n = 0; n < 3; n++)
        {
          struct source source = { random, n, 1, n == burst ? 500.0 : 5.0 };

          feed (world, &source, 1, 10 * CO_SECOND);
        }
      sim_run_until (world, t);
    }
  sim_run_until (world, 45 * CO_SECOND);
  waits = sim_urgent_waits (world, true, &count);
  for (uint32_t i = 0; i < count; i++)
    sum += (double)waits[i];
  talloc_free (world);
  g_rand_free (random);
  return sum / count / CO_MILLISECOND;
}

/* Seconds from the death of an entry host until its rights are back.  */
static double
reclaim_time (void)
{
  struct sim_options o = quiet_options ();
  GRand *random = g_rand_new_with_seed (SEED);
  struct source source = { random, 2, 0, 400 };
  struct sim_world *world;
  co_time killed = 6 * CO_SECOND;
  co_time back = 0;

  o.limits[0] = 30;
  /* The product's own times, not the shorter ones of the randomised runs.  */
  co_options_init (&o.core);
  world = sim_world_new (NULL, &o);
  for (co_time t = 4 * CO_SECOND; t < killed; t += STEP_MS * CO_MILLISECOND)
    {
      feed (world, &source, 1, CO_SECOND);
      sim_run_until (world, t);
    }
  g_rand_free (random);
  sim_kill_node (world, 2, -1);
  for (co_time t = killed; t < killed + 120 * CO_SECOND && back == 0;
       t += 100 * CO_MILLISECOND)
    {
      int64_t held = 0;

      sim_run_until (world, t);
      for (uint32_t n = 0; n < 2; n++)
        {
          struct co_status *s
              = co_core_status (NULL, sim_node_core (world, n), t);

          held += s->teams[0].held_quota;
          talloc_free (s);
        }
      if (held == 30)
        back = t;
    }
  talloc_free (world);
  return (double)(back - killed) / CO_SECOND;
}

static void
measure_limits (void)
{
  row ("limit usable, demand at one entry host", "lent rights",
       usable_limit (0), "static split", usable_limit (CO_DISABLE_BORROWING),
       "part");
  row ("wait for a start, bursts in turn", "lent slots", burst_wait (0),
       "static split", burst_wait (CO_DISABLE_BORROWING), "ms");
  row ("dead member's rights back (deadline 30 s)", "seals and wait",
       reclaim_time (), "longest deadline", 30, "s");
}

/* ---- overload ---- */

struct overload
{
  double goodput; /* of the pool's capacity */
  double wait_99; /* s, urgent */
  double waste;   /* part of the runs whose answer nobody got */
};

/* Five times the pool's capacity for 30 s.  */
static struct overload
overload (uint32_t off)
{
  struct sim_options o = quiet_options ();
  GRand *random = g_rand_new_with_seed (SEED);
  double capacity;
  struct source sources[3];
  struct sim_world *world;
  const struct sim_totals *totals;
  const co_time *waits;
  uint32_t count;
  uint32_t at;
  uint64_t answered;
  struct overload result;

  o.disabled = off;
  world = sim_world_new (NULL, &o);
  /* One run in twenty is ten times as long.  */
  capacity = o.hosts_per_pool * o.slots_per_host
             / ((double)o.mean_service_time / CO_SECOND * (0.95 + 0.5));
  for (uint32_t n = 0; n < 3; n++)
    sources[n] = (struct source){ random, n, (int)n, capacity * 5 / 3 };
  sim_run_until (world, 3 * CO_SECOND);
  answered = sim_totals (world)->answered;
  for (co_time t = 3 * CO_SECOND; t < 32 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      feed (world, sources, 3, 2 * CO_SECOND);
      sim_run_until (world, t);
    }
  totals = sim_totals (world);
  result.goodput = (double)(totals->answered - answered) / 29 / capacity;
  result.waste = (double)totals->wasted_runs / (double)totals->runs;
  waits = sim_urgent_waits (world, false, &count);
  at = count * 99 / 100;
  result.wait_99 = (double)waits[at] / CO_SECOND;
  talloc_free (world);
  g_rand_free (random);
  return result;
}

static void
measure_overload (void)
{
  struct overload with = overload (0);
  struct overload without = overload (CO_DISABLE_EARLY_REFUSAL);

  row ("goodput at five times the capacity, 30 s", "early refusal",
       with.goodput, "waiting", without.goodput, "part of capacity");
  row ("urgent start, 99th percentile, overload", "early refusal",
       with.wait_99, "waiting", without.wait_99, "s");
  row ("runs whose answer nobody got, overload", "early refusal", with.waste,
       "waiting", without.waste, "part");
}

/* Part of the answers that are failures while one of ten workers fails all
   that it starts, at once.  */
static double
failing_worker (uint32_t off)
{
  struct sim_options o = quiet_options ();
  GRand *random = g_rand_new_with_seed (SEED);
  struct source source = { random, 0, 1, 200 };
  struct sim_world *world;
  double part;

  o.disabled = off;
  world = sim_world_new (NULL, &o);
  sim_run_until (world, 3 * CO_SECOND);
  sim_backend_set_failing (world, 3, true);
  for (co_time t = 3 * CO_SECOND; t < 22 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      feed (world, &source, 1, 2 * CO_SECOND);
      sim_run_until (world, t);
    }
  part = (double)sim_totals (world)->failed_answers
         / (double)sim_totals (world)->runs;
  talloc_free (world);
  g_rand_free (random);
  return part;
}

/* ---- drains and configuration ---- */

/* Broken drains: hosts taken out with requests running, or sent work when
   out.  */
static double
drains_cut (uint32_t off, double *per_drain)
{
  struct sim_totals sum = { 0 };

  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct sim_options o;
      struct sim_totals totals;

      sim_options_init (&o);
      o.seed = seed;
      o.faults = false;
      o.disabled = off;
      o.count_violations_only = true;
      talloc_free (sim_run (NULL, &o, &totals));
      sum.violations += totals.violations;
      sum.drains += totals.drains;
    }
  *per_drain = (double)sum.violations / (double)sum.drains;
  return (double)sum.violations;
}

/* Seconds until a change is in force on every entry host.  */
static double
roll_out (void)
{
  struct sim_options o = quiet_options ();
  struct sim_world *world;
  struct co_change change = { .type = CO_CHANGE_API_KEY };
  co_time begun = 6 * CO_SECOND;
  co_time t = begun;
  bool everywhere = false;

  o.nodes = 5;
  co_options_init (&o.core);
  world = sim_world_new (NULL, &o);
  sim_run_until (world, begun);
  change.key_hash = talloc_strdup (
      world,
      "0123456789012345678901234567890123456789012345678901234567890123");
  change.team = "team0";
  sim_send_change (world, 1, &change);
  while (!everywhere && t < begun + 20 * CO_SECOND)
    {
      t += CO_MILLISECOND;
      sim_run_until (world, t);
      everywhere = true;
      for (uint32_t n = 0; n < 5; n++)
        {
          struct co_status *s
              = co_core_summary (NULL, sim_node_core (world, n), t);

          everywhere = everywhere && s->log_version == 6;
          talloc_free (s);
        }
    }
  talloc_free (world);
  return (double)(t - begun) / CO_SECOND;
}

/* Seconds to reboot all ten hosts of a pool that needs MIN_AVAILABLE.  */
static double
maintenance (int64_t min_available)
{
  struct sim_options o = quiet_options ();
  struct sim_world *world;
  struct co_change change = { .type = CO_CHANGE_MAINTENANCE };
  co_time begun = 6 * CO_SECOND;
  co_time t = begun;
  uint32_t done = 0;

  o.min_available = min_available;
  world = sim_world_new (NULL, &o);
  sim_run_until (world, begun);
  change.scope = CO_SCOPE_POOL;
  change.scope_name = "pool0";
  sim_send_change (world, 1, &change);
  while (done < 10 && t < begun + 300 * CO_SECOND)
    {
      struct co_status *s;

      t += 50 * CO_MILLISECOND;
      sim_run_until (world, t);
      s = co_core_status (NULL, sim_node_core (world, 0), t);
      done = s->order_count > 0 ? s->orders[0].done : 0;
      talloc_free (s);
    }
  talloc_free (world);
  return (double)(t - begun) / CO_SECOND;
}

static void
measure_changes (void)
{
  double with_rate;
  double without_rate;

  drains_cut (0, &with_rate);
  drains_cut (CO_DISABLE_DRAIN_WAIT, &without_rate);
  row ("requests cut off or misplaced for each drain", "wait for everybody",
       with_rate, "no wait", without_rate, "requests");
  row ("configuration change in force everywhere", "log and heartbeats",
       roll_out (), "allowed", 10, "s");
  row ("maintenance of 10 hosts, 7 needed", "as the budget allows",
       maintenance (7), "one at a time", maintenance (9), "s");
  row ("failed answers, one of ten workers fails", "taken out",
       failing_worker (0), "left in", failing_worker (CO_DISABLE_EJECTION),
       "part");
}

/* ---- capacity between pools ---- */

struct balance
{
  double answered; /* part of the requests */
  double moves;
  double lent; /* mean number of hosts lent */
};

/* Three minutes of load on a pool of five hosts beside a spare pool of five:
   in bursts of five times the mean for 3 s, a twentieth of it between; or high
   for a minute, then low.  */
static struct balance
balance (uint32_t off, bool bursts)
{
  struct sim_options o = quiet_options ();
  GRand *random = g_rand_new_with_seed (SEED);
  struct sim_world *world;
  struct balance result = { 0 };
  int samples = 0;

  o.disabled = off;
  o.hosts_per_pool = 5;
  o.pool1_lends_hosts = true;
  world = sim_world_new (NULL, &o);
  sim_run_until (world, 3 * CO_SECOND);
  for (co_time t = 3 * CO_SECOND; t < 183 * CO_SECOND;
       t += STEP_MS * CO_MILLISECOND)
    {
      bool high = bursts ? t / (3 * CO_SECOND) % 5 == 0 : t < 63 * CO_SECOND;
      double rate = high ? 450.0 : 5.0;

      for (uint32_t n = 0; n < 3; n++)
        {
          struct source source = { random, n, (int)n, rate / 3 };

          feed (world, &source, 1, 2 * CO_SECOND);
        }
      sim_run_until (world, t);
      result.lent += sim_pool_host_count (world, 0) - o.hosts_per_pool;
      samples++;
    }
  result.lent /= samples;
  result.answered = (double)sim_totals (world)->answered
                    / (double)sim_totals (world)->requests;
  result.moves = (double)sim_totals (world)->moves;
  talloc_free (world);
  g_rand_free (random);
  return result;
}

static void
measure_balance (void)
{
  struct balance steady = balance (0, false);
  struct balance none = balance (CO_DISABLE_REBALANCING, false);
  struct balance bursts = balance (0, true);
  struct balance nervous = balance (CO_DISABLE_HYSTERESIS, true);

  row ("answered, a minute above capacity", "spare hosts lent",
       steady.answered, "never lent", none.answered, "part");
  row ("moves, a minute above capacity", "spare hosts lent", steady.moves,
       "never lent", none.moves, "moves");
  row ("buffer in use, a minute above capacity", "spare hosts lent",
       steady.lent, "never lent", none.lent, "hosts");
  row ("moves in bursts, 3 minutes", "average over 20 s", bursts.moves,
       "load of the moment", nervous.moves, "moves");
  row ("answered in bursts", "average over 20 s", bursts.answered,
       "load of the moment", nervous.answered, "part");
}

int
main (void)
{
  printf ("| %-44s | %-22s | %9s | %-24s | %9s | %7s | unit |\n", "measure",
          "policy", "figure", "baseline", "figure", "ratio");
  printf ("|---|---|---|---|---|---|---|\n");
  measure_shares ();
  measure_limits ();
  measure_overload ();
  measure_changes ();
  measure_balance ();
  printf ("seed %d; virtual time; the same figures on every run\n", SEED);
  return 0;
}
