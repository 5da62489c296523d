/* The decision functions: ranking, admission, quotas, forecasts, host moves,
   hand-overs, throttling and placement.  */

#include "dp_test.h"
#include "jb_admission.h"
#include "jb_handover.h"
#include "jb_quota.h"
#include "jb_rebalance.h"
#include "jb_throttle.h"
#include "jb_place.h"
#include "jb_rank.h"
#include "jb_forecast.h"
#include "jb_wave.h"

#include <string.h>

/* Return the rank at NOW of a job that was received at time 0 and has not
   begun, in a queue of mean work 1000000.  */
static struct jb_rank
rank_of (int64_t work, int64_t critical_path_ms, jb_time due_at, jb_time now)
{
  struct jb_rank_input input = { .total_work = work,
                                 .work_divisor = jb_rank_work_divisor (work),
                                 .queue_mean_work = 1000000,
                                 .critical_path_ms = critical_path_ms,
                                 .due_at = due_at };

  return jb_rank_compute (&input, now);
}

/* Of two jobs that can be on time, the one with the earlier latest start must
   go first, or it becomes late.  A job that can't be on time must not delay
   them.  */
static void
test_rank (void)
{
  jb_time now = 10 * JB_SECOND;
  struct jb_rank tight = rank_of (1000000, 1000, 12 * JB_SECOND, now);
  struct jb_rank loose = rank_of (1000000, 1000, 15 * JB_SECOND, now);
  struct jb_rank late = rank_of (1000, 3000, 12 * JB_SECOND, now);

  CU_ASSERT (jb_rank_compare (&tight, &loose) < 0);
  CU_ASSERT (jb_rank_compare (&loose, &late) < 0);
  CU_ASSERT_EQUAL (late.class, JB_RANK_LATE);
}

/* Of two late jobs the small one must go first, since it has more value for
   the capacity that it needs.  The value of a large job is limited.  */
static void
test_rank_late (void)
{
  jb_time now = 10 * JB_SECOND;
  struct jb_rank small = rank_of (200000, 5000, 9 * JB_SECOND, now);
  struct jb_rank large = rank_of (4000000, 5000, 9 * JB_SECOND, now);

  CU_ASSERT (jb_rank_compare (&small, &large) < 0);
  CU_ASSERT_DOUBLE_EQUAL (jb_rank_value (1000000, 1000000), 1.0, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (jb_rank_value (100000000, 1000000), 4.0, 1e-9);
}

static struct jb_step one_step
    = { .task_count = 4, .resources = { 1000, 100, 0 }, .estimate_ms = 1000 };

/* A job that can't be done in time must be refused with a time to retry, and a
   job that never fits with none, else its client retries forever.  */
static void
test_admission (void)
{
  struct jb_job_desc desc = {
    .id = "0123456789abcdef", .spec = "", .step_count = 1, .steps = &one_step
  };
  struct jb_admission_input input = { .desc = &desc,
                                      .unfinished_work = 10000000,
                                      .capacity_cpu_milli = 10000,
                                      .largest_backend = { 4000, 4000, 0 } };
  struct jb_admission admission = jb_admission_decide (&input);

  CU_ASSERT_TRUE (admission.accepted);
  /* The backlog is longer than allowed.  */
  input.unfinished_work = 10000LL * 60000;
  admission = jb_admission_decide (&input);
  CU_ASSERT_FALSE (admission.accepted);
  CU_ASSERT (admission.retry_after_ms >= 30000);
  /* A task is too large for any backend server.  */
  input.unfinished_work = 0;
  input.largest_backend.cpu_milli = 500;
  admission = jb_admission_decide (&input);
  CU_ASSERT_FALSE (admission.accepted);
  CU_ASSERT_EQUAL (admission.retry_after_ms, 0);
}

/* When an organisation gets a quota, the owners of its pools still have
   unlimited shares.  Their sum must not overflow: that would leave a part to
   assign, and the quota is exceeded.  */
static void
test_new_quota (void)
{
  enum
  {
    POOL_COUNT = 6
  };
  struct jb_resources quota = { 10000, 0, 0 };
  struct jb_quota_pool pools[POOL_COUNT] = { 0 };

  for (int i = 0; i < POOL_COUNT - 1; i++)
    pools[i].highest_share.cpu_milli = JB_QUOTA_UNLIMITED;
  pools[POOL_COUNT - 1].wanted.cpu_milli = 5000;
  jb_quota_divide (&quota, pools, POOL_COUNT, 0);
  CU_ASSERT_EQUAL (pools[POOL_COUNT - 1].share.cpu_milli, 0);
}

/* The shares that the owners of the pools may have in force must never add up
   to more than the quota, also while a reduced share is not acknowledged.  */
static void
test_quota (void)
{
  struct jb_resources quota = { 10000, 0, 0 };
  struct jb_quota_pool pools[3]
      = { { .used = { 2000, 0, 0 }, .highest_share = { 8000, 0, 0 } },
          { .used = { 1000, 0, 0 },
            .wanted = { 9000, 0, 0 },
            .highest_share = { 1000, 0, 0 } },
          { .highest_share = { 1000, 0, 0 } } };

  jb_quota_divide (&quota, pools, 3, 0);
  /* The first pool's share is reduced.  The second gains nothing until the
     first has acknowledged that.  */
  CU_ASSERT (pools[0].share.cpu_milli < 8000);
  CU_ASSERT_EQUAL (pools[1].share.cpu_milli, 1000);
  CU_ASSERT_EQUAL (pools[1].share.memory_mb, JB_QUOTA_UNLIMITED);
  pools[0].highest_share = pools[0].share;
  jb_quota_divide (&quota, pools, 3, 0);
  CU_ASSERT (pools[1].share.cpu_milli > 6000);
  CU_ASSERT (pools[0].highest_share.cpu_milli + pools[1].share.cpu_milli
                 + pools[2].highest_share.cpu_milli
             <= 10000);
}

/* A standstill: equal parts of the limit that are smaller than the next start
   of each pool.  Of the pools that have been blocked for the same time the
   first ones get room, and then the one that has waited since.  */
static void
test_quota_of_large_starts (void)
{
  enum
  {
    POOL_COUNT = 4
  };
  struct jb_resources quota = { 8000, 0, 0 };
  struct jb_quota_pool pools[POOL_COUNT] = { 0 };

  for (int i = 0; i < POOL_COUNT; i++)
    {
      pools[i].wanted.cpu_milli = 9600;
      pools[i].needed.cpu_milli = 2400;
    }
  jb_quota_divide (&quota, pools, POOL_COUNT, 0);
  for (int i = 0; i < POOL_COUNT; i++)
    {
      bool is_first = i < POOL_COUNT - 1;

      CU_ASSERT_EQUAL (pools[i].share.cpu_milli, is_first ? 2400 : 0);
      pools[i].highest_share = pools[i].share;
      if (!is_first)
        continue;
      pools[i].used.cpu_milli = 2400;
      pools[i].wanted.cpu_milli -= 2400;
      pools[i].blocked_since = JB_MS;
    }
  /* A task has ended.  The pool may not start another one.  */
  pools[1].used.cpu_milli = 0;
  jb_quota_divide (&quota, pools, POOL_COUNT, JB_SECOND);
  CU_ASSERT (pools[1].share.cpu_milli < 2400);
  pools[1].highest_share = pools[1].share;
  jb_quota_divide (&quota, pools, POOL_COUNT, JB_SECOND);
  CU_ASSERT_EQUAL (pools[POOL_COUNT - 1].share.cpu_milli, 2400);
}

/* A pool that uses most of its part may claim room for a start only after a
   while, and one that needs more than the limit may not at all: it would keep
   the others from starting.  */
static void
test_quota_claims (void)
{
  struct jb_resources quota = { 8000, 0, 0 };
  struct jb_quota_pool pools[2] = { { .used = { 3000, 0, 0 },
                                      .wanted = { 6000, 0, 0 },
                                      .needed = { 2000, 0, 0 },
                                      .highest_share = { 3000, 0, 0 } },
                                    { .used = { 3000, 0, 0 },
                                      .wanted = { 9000, 0, 0 },
                                      .needed = { 6000, 0, 0 },
                                      .highest_share = { 3000, 0, 0 } } };

  jb_quota_divide (&quota, pools, 2, JB_QUOTA_CLAIM_DELAY - 1);
  CU_ASSERT_EQUAL (pools[0].share.cpu_milli, 4000);
  CU_ASSERT_EQUAL (pools[1].share.cpu_milli, 4000);
  jb_quota_divide (&quota, pools, 2, JB_QUOTA_CLAIM_DELAY);
  CU_ASSERT_EQUAL (pools[0].share.cpu_milli, 5000);
  CU_ASSERT_EQUAL (pools[1].share.cpu_milli, 3000);
}

/* Surges that come to the pools in turn must be forecast from the second round
   on.  Without records no surge is forecast.  */
static void
test_forecast (void)
{
  struct jb_forecast_pool pools[3] = { { 0 } };

  for (int second = 1; second <= 33; second++)
    for (int i = 0; i < 3; i++)
      jb_forecast_record (&pools[i], second * JB_SECOND,
                          second % 15 / 5 == i ? 900 : 40, 1000);
  CU_ASSERT_EQUAL (jb_forecast_next_surge (pools, 3, 0, 33 * JB_SECOND),
                   45 * JB_SECOND);
  CU_ASSERT_EQUAL (jb_forecast_next_surge (pools, 3, 1, 33 * JB_SECOND),
                   35 * JB_SECOND);
  /* The last surge started at 30 s, 5 s after the one before.  */
  CU_ASSERT_EQUAL (jb_forecast_next_surge (pools, 3, 0, 40 * JB_SECOND),
                   45 * JB_SECOND);
  CU_ASSERT_EQUAL (jb_forecast_next_surge (pools, 3, 0, 41 * JB_SECOND),
                   JB_NEVER);
  memset (pools, 0, sizeof pools);
  CU_ASSERT_EQUAL (jb_forecast_next_surge (pools, 3, 1, 33 * JB_SECOND),
                   JB_NEVER);
}

static const struct jb_rebalance_pool idle_pool
    = { .known = true,
        .capacity_cpu_milli = 90000,
        .hosts = 9,
        .home_hosts = 9,
        .host_cpu_milli = 10000 };

/* A pool in need must get hosts of the standby pool first, and none of a pool
   that may need them itself.  */
static void
test_rebalance (void)
{
  struct jb_rebalance_pool pools[3]
      = { idle_pool,
          idle_pool,
          { .standby = true, .hosts = 2, .host_cpu_milli = 10000 } };
  struct jb_rebalance_host hosts[4]
      = { { .pool = 1, .idle = true, .available = true },
          { .pool = 1, .idle = true, .available = true },
          { .pool = 2, .idle = true, .available = true },
          { .pool = 2, .idle = true, .available = true } };
  struct jb_host_move moves[8];
  uint32_t count;

  pools[0].finite_cpu_milli = 90000;
  pools[0].waiting_cpu_milli = 40000;
  count = jb_rebalance_decide (pools, 3, hosts, 4, 10 * JB_SECOND, moves, 8);
  CU_ASSERT_EQUAL (count, 2);
  CU_ASSERT_EQUAL (hosts[moves[0].host].pool, 2);
  CU_ASSERT_EQUAL (hosts[moves[1].host].pool, 2);
  /* A pool whose next surge is forecast to be far away gives hosts, too.  */
  pools[1].surge_predicted = true;
  pools[1].next_surge = 30 * JB_SECOND;
  count = jb_rebalance_decide (pools, 3, hosts, 4, 10 * JB_SECOND, moves, 8);
  CU_ASSERT_EQUAL (count, 4);
}

/* A pool with fewer hosts than its home hosts, where enough CPU is free for
   the tasks that wait, gets hosts back if they go on waiting: they may need
   more memory than the hosts have left, or hosts without other tasks of their
   step.  */
static void
test_rebalance_unplaceable (void)
{
  struct jb_rebalance_pool pools[2]
      = { idle_pool,
          { .standby = true, .hosts = 2, .host_cpu_milli = 10000 } };
  struct jb_rebalance_host hosts[2]
      = { { .pool = 1, .idle = true, .available = true },
          { .pool = 1, .idle = true, .available = true } };
  struct jb_host_move moves[4];

  pools[0].home_hosts = pools[0].hosts + 2;
  pools[0].waiting_cpu_milli = 2000;
  pools[0].waiting_since = 9800 * JB_MS;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 0);
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 11 * JB_SECOND, moves, 4), 1);
  pools[0].incoming_hosts = 2;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 11 * JB_SECOND, moves, 4), 0);
}

/* A pool with waiting tasks must not give hosts away, however much capacity it
   has free: a long-running task may be waiting for a further host in this
   pool.  */
static void
test_rebalance_waiting (void)
{
  struct jb_rebalance_pool pools[2] = { idle_pool, idle_pool };
  struct jb_rebalance_host hosts[2]
      = { { .pool = 1, .idle = true, .available = true },
          { .pool = 1, .idle = true, .available = true } };
  struct jb_host_move moves[4];

  pools[0].finite_cpu_milli = 90000;
  pools[0].waiting_cpu_milli = 20000;
  pools[1].surge_predicted = true;
  pools[1].next_surge = 30 * JB_SECOND;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 2);
  pools[1].waiting_cpu_milli = 1000;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 0);
}

/* A pool without any backend server must get a host for its waiting tasks,
   although no report has told the capacity of its hosts (a new planner doesn't
   know it), although its tasks need less than half a host, and although it
   never had hosts and all others are home hosts of their pool.  Otherwise its
   jobs wait for ever.  */
static void
test_rebalance_empty_pool (void)
{
  struct jb_rebalance_pool pools[2] = { { .known = true,
                                          .home_hosts = 4,
                                          .waiting_cpu_milli = 200000,
                                          .waiting_since = 9 * JB_SECOND },
                                        idle_pool };
  struct jb_rebalance_host hosts[2]
      = { { .pool = 1, .idle = true, .available = true },
          { .pool = 1, .idle = true, .available = true } };
  struct jb_host_move moves[4];

  pools[1].home_hosts = 5;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 1);
  CU_ASSERT_EQUAL (moves[0].to, 0);
  pools[0].host_cpu_milli = 10000;
  pools[0].waiting_cpu_milli = 1000;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 1);
  pools[0].home_hosts = 0;
  pools[1].home_hosts = 9;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 1);
  /* Not before the tasks have waited for a while, not while a host is on its
     way, and not the last host of another pool.  */
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 9500 * JB_MS, moves, 4), 0);
  pools[0].incoming_hosts = 1;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 0);
  pools[0].incoming_hosts = 0;
  pools[1].hosts = 1;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 0);
}

/* A pool whose long-running tasks take up all its hosts must get a host for a
   waiting task of less than half a host: no task ends that would make room. */
static void
test_rebalance_full_pool (void)
{
  struct jb_rebalance_pool pools[2]
      = { idle_pool,
          { .standby = true, .hosts = 2, .host_cpu_milli = 10000 } };
  struct jb_rebalance_host hosts[2]
      = { { .pool = 1, .idle = true, .available = true },
          { .pool = 1, .idle = true, .available = true } };
  struct jb_host_move moves[4];

  pools[0].long_running_cpu_milli = 90000;
  pools[0].waiting_cpu_milli = 1000;
  pools[0].waiting_since = 9 * JB_SECOND;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 1);
  pools[0].long_running_cpu_milli = 80000;
  pools[0].finite_cpu_milli = 10000;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 0);
}

/* Hosts must move to a pool before a forecast surge begins, and to the standby
   pool when the next surge is far away.  */
static void
test_rebalance_ahead (void)
{
  struct jb_rebalance_pool pools[2]
      = { idle_pool,
          { .standby = true, .hosts = 4, .host_cpu_milli = 10000 } };
  struct jb_rebalance_host hosts[2]
      = { { .pool = 1, .idle = true, .available = true },
          { .pool = 0, .idle = true, .available = true } };
  struct jb_host_move moves[4];

  pools[0].surge_predicted = true;
  pools[0].next_surge = 12 * JB_SECOND;
  pools[0].surge_peak_cpu_milli = 120000;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 1);
  CU_ASSERT_EQUAL (moves[0].to, 0);
  pools[0].next_surge = 30 * JB_SECOND;
  CU_ASSERT_EQUAL (
      jb_rebalance_decide (pools, 2, hosts, 2, 10 * JB_SECOND, moves, 4), 1);
  CU_ASSERT_EQUAL (moves[0].to, 1);
}

/* The speed of best-effort tasks must be reduced at once when the tail latency
   is too high, else the service misses its target, and increased slowly.  */
static void
test_throttle (void)
{
  struct jb_throttle_input input
      = { .speed_percent = 100, .tail_ms = 95, .target_ms = 100 };
  jb_time now = 10 * JB_SECOND;

  CU_ASSERT_EQUAL (jb_throttle_decide (&input, now), 50);
  input.tail_ms = 150;
  CU_ASSERT_EQUAL (jb_throttle_decide (&input, now), 0);
  input.speed_percent = 0;
  input.tail_ms = 30;
  input.changed_at = now - 100 * JB_MS;
  CU_ASSERT_EQUAL (jb_throttle_decide (&input, now), 0);
  input.changed_at = now - 2 * JB_SECOND;
  CU_ASSERT_EQUAL (jb_throttle_decide (&input, now), 15);
  input.target_ms = 0;
  CU_ASSERT_EQUAL (jb_throttle_decide (&input, now), 100);
}

/* Return the name of the host that gets a pool of OWNER, or "" if it stays. */
static const char *
successor (const struct jb_handover_host *owner,
           const struct jb_handover_host *hosts, uint32_t count,
           jb_time last_handover_at)
{
  const struct jb_handover_host *chosen = jb_handover_choose (
      owner, hosts, count, last_handover_at, 60 * JB_SECOND);

  return chosen != NULL ? chosen->name : "";
}

/* A pool moves to the host with the most processor time left, if that is much
   more than the owner has.  */
static void
test_handover (void)
{
  static const struct jb_handover_host owner
      = { .cpu_share_milli = 120, .ownership_count = 1, .may_claim = true };
  struct jb_handover_host hosts[]
      = { { .name = "small", .cpu_share_milli = 120, .may_claim = true },
          { .name = "busy",
            .cpu_share_milli = 500,
            .ownership_count = 1,
            .may_claim = true },
          { .name = "idle", .cpu_share_milli = 500, .may_claim = true } };

  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 3, 0), "idle");
  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 2, 0), "busy");
  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 1, 0), "");
  /* A third of 500 is a gain, a quarter is not.  */
  hosts[1].ownership_count = 2;
  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 2, 0), "busy");
  hosts[1].ownership_count = 3;
  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 2, 0), "");
}

/* A host gets no pool before it has been alive for long, nor while it could
   not claim one.  */
static void
test_handover_to_unready_host (void)
{
  static const struct jb_handover_host owner
      = { .cpu_share_milli = 120, .ownership_count = 1, .may_claim = true };
  struct jb_handover_host host
      = { .name = "large", .cpu_share_milli = 500, .may_claim = true };

  host.alive_since = 56001 * JB_MS;
  CU_ASSERT_STRING_EQUAL (successor (&owner, &host, 1, 0), "");
  host.alive_since = 56000 * JB_MS;
  CU_ASSERT_STRING_EQUAL (successor (&owner, &host, 1, 0), "large");
  host.may_claim = false;
  CU_ASSERT_STRING_EQUAL (successor (&owner, &host, 1, 0), "");
}

/* An owner hands pools over one after the other.  */
static void
test_handover_interval (void)
{
  struct jb_handover_host owner
      = { .cpu_share_milli = 120, .ownership_count = 2, .may_claim = true };
  struct jb_handover_host hosts[]
      = { { .name = "large", .cpu_share_milli = 500, .may_claim = true },
          { .name = "other", .cpu_share_milli = 120, .may_claim = true } };

  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 2, 57001 * JB_MS), "");
  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 2, 57000 * JB_MS),
                          "large");
  hosts[1].is_claiming = true;
  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 2, 0), "");
  hosts[1].is_claiming = false;
  owner.is_claiming = true;
  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 2, 0), "");
  owner.is_claiming = false;
  owner.may_claim = false;
  CU_ASSERT_STRING_EQUAL (successor (&owner, hosts, 2, 0), "");
}

/* Hosts with nearly the same share, or an unknown one, keep their pools
   however many they have.  */
static void
test_handover_between_equals (void)
{
  struct jb_handover_host owner
      = { .cpu_share_milli = 500, .ownership_count = 20, .may_claim = true };
  struct jb_handover_host host
      = { .name = "other", .cpu_share_milli = 500, .may_claim = true };

  CU_ASSERT_STRING_EQUAL (successor (&owner, &host, 1, 0), "");
  host.cpu_share_milli = 999;
  CU_ASSERT_STRING_EQUAL (successor (&owner, &host, 1, 0), "");
  host.cpu_share_milli = 1000;
  CU_ASSERT_STRING_EQUAL (successor (&owner, &host, 1, 0), "other");
  host.cpu_share_milli = 0;
  CU_ASSERT_STRING_EQUAL (successor (&owner, &host, 1, 0), "");
  host.cpu_share_milli = 1000;
  owner.cpu_share_milli = 0;
  CU_ASSERT_STRING_EQUAL (successor (&owner, &host, 1, 0), "");
}

/* Return a backend server in RACK, which is also its instance, with CPU in
   thousandths of a core.  */
static struct jb_backend *
make_backend (TALLOC_CTX *mem, const char *rack, int64_t cpu)
{
  const char *labels[] = { "kind", rack };
  struct jb_backend_entry entry = { .instance = rack,
                                    .pool = "pool",
                                    .address = "10.0.0.1:1",
                                    .zone = "zone",
                                    .labels = labels,
                                    .label_count = 2,
                                    .capacity = { cpu, 100000, 0 } };

  return jb_backend_new (mem, &entry);
}

/* Return a job with a copy of STEP as its only step, and one occurrence, which
   is open.  */
static struct jb_job *
make_job (TALLOC_CTX *mem, const struct jb_step *step)
{
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  struct jb_job *job;

  desc->id = talloc_strdup (desc, "0123456789abcdef");
  desc->queue = talloc_strdup (desc, "queue");
  desc->spec = talloc_strdup (desc, "");
  desc->step_count = 1;
  desc->steps = talloc_memdup (desc, step, sizeof *step);
  job = jb_job_new (mem, desc);
  jb_job_open_next_occurrence (job);
  return job;
}

/* A short task must go to the smaller backend server, so that a large task
   still fits on the other.  A long-running task must avoid the racks of the
   other tasks of its step, which may fail together.  Required labels and the
   limit per backend server must be respected.  */
static void
test_place (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_backend *large = make_backend (mem, "r1", 8000);
  struct jb_backend *small = make_backend (mem, "r2", 2000);
  struct jb_backend *all[] = { large, small };
  struct jb_step step = one_step;
  struct jb_job *job = make_job (mem, &step);
  struct jb_task *tasks = jb_job_find_group (job, 0, 0)->tasks;

  CU_ASSERT_PTR_EQUAL (jb_place_choose (&tasks[0], all, 2, NULL, 0), small);
  CU_ASSERT_PTR_EQUAL (jb_place_choose (&tasks[0], all, 2, small, 0), large);
  step.required_label = "r1";
  job = make_job (mem, &step);
  tasks = jb_job_find_group (job, 0, 0)->tasks;
  CU_ASSERT_PTR_EQUAL (jb_place_choose (&tasks[0], all, 2, NULL, 0), large);
  step.required_label = NULL;
  step.long_running = true;
  step.max_per_backend = 1;
  job = make_job (mem, &step);
  tasks = jb_job_find_group (job, 0, 0)->tasks;
  jb_task_assign (&tasks[0], large, JB_RUN_RUNNING);
  CU_ASSERT_PTR_EQUAL (jb_place_choose (&tasks[1], all, 2, NULL, 0), small);
  jb_task_assign (&tasks[1], small, JB_RUN_RUNNING);
  CU_ASSERT_PTR_NULL (jb_place_choose (&tasks[2], all, 2, NULL, 0));
  talloc_free (mem);
}

/* A wave of hosts in a pool in a surge, a calm one and a standby pool: idle
   hosts come first, those of the standby pool before others, each pool spares
   a quarter of its hosts, and the surge keeps its hosts.  When the time runs
   out, no pool keeps more than half of its hosts.  */
static void
test_wave (void)
{
  static const struct jb_wave_pool initial_pools[]
      = { { .hosts = 8, .utilisation = 0.9 },
          { .hosts = 8, .utilisation = 0.1 },
          { .hosts = 8 } };
  static const struct jb_wave_host hosts[]
      = { { 0, true }, { 0, true }, { 0, true }, { 1, false }, { 1, false },
          { 1, true }, { 2, true }, { 2, true }, { 2, true } };
  static const struct jb_wave_time wave = { 0, 30 * JB_SECOND };
  struct jb_wave_pool pools[G_N_ELEMENTS (initial_pools)];
  uint32_t chosen[G_N_ELEMENTS (hosts)];

  memcpy (pools, initial_pools, sizeof pools);
  CU_ASSERT_EQUAL (jb_wave_choose (pools, hosts, G_N_ELEMENTS (hosts), &wave,
                                   10 * JB_SECOND, chosen,
                                   G_N_ELEMENTS (chosen)),
                   4);
  CU_ASSERT_EQUAL (chosen[0], 6);
  CU_ASSERT_EQUAL (chosen[1], 7);
  CU_ASSERT_EQUAL (chosen[2], 5);
  CU_ASSERT_EQUAL (chosen[3], 3);
  memcpy (pools, initial_pools, sizeof pools);
  CU_ASSERT_EQUAL (jb_wave_choose (pools, hosts, G_N_ELEMENTS (hosts), &wave,
                                   25 * JB_SECOND, chosen,
                                   G_N_ELEMENTS (chosen)),
                   9);
  CU_ASSERT_EQUAL (pools[0].unavailable, 3);
  memcpy (pools, initial_pools, sizeof pools);
  CU_ASSERT_EQUAL (jb_wave_choose (pools, hosts, G_N_ELEMENTS (hosts), &wave,
                                   10 * JB_SECOND, chosen, 3),
                   3);
}

/* What fits nowhere shows that others fit nowhere either, but only those that
   require as much of everything, and have the same label if it has one.  */
static void
test_place_misses (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_backend *large = make_backend (mem, "r1", 8000);
  struct jb_backend *small = make_backend (mem, "r2", 2000);
  struct jb_backend *all[] = { large, small };
  struct jb_place_room room = { 0 };
  struct jb_step step = one_step;
  struct jb_job *job = make_job (mem, &step);
  struct jb_task *task = jb_job_find_group (job, 0, 0)->tasks;
  /* The copy of the step in the job.  */
  struct jb_step *used = job->desc->steps;
  struct jb_resources required = step.resources;

  /* A task that fits somewhere is no miss, whatever keeps it away.  */
  CU_ASSERT_TRUE (jb_place_has_room (&room, task, all, 2));
  CU_ASSERT_EQUAL (room.miss_count, 0);
  /* A miss with a label counts for the same label only.  */
  used->resources.cpu_milli = 4000;
  used->required_label = "r2";
  CU_ASSERT_FALSE (jb_place_has_room (&room, task, all, 2));
  CU_ASSERT_EQUAL (room.miss_count, 1);
  CU_ASSERT_TRUE (jb_place_is_hopeless (&room, task));
  used->required_label = "r1";
  CU_ASSERT_FALSE (jb_place_is_hopeless (&room, task));
  used->required_label = NULL;
  CU_ASSERT_FALSE (jb_place_is_hopeless (&room, task));
  /* A miss without a label replaces those that require more.  */
  used->resources.cpu_milli = 9000;
  CU_ASSERT_FALSE (jb_place_has_room (&room, task, all, 2));
  CU_ASSERT_EQUAL (room.miss_count, 2);
  used->resources.cpu_milli = 8500;
  CU_ASSERT_FALSE (jb_place_is_hopeless (&room, task));
  CU_ASSERT_FALSE (jb_place_has_room (&room, task, all, 2));
  CU_ASSERT_EQUAL (room.miss_count, 2);
  used->required_label = "r1";
  CU_ASSERT_TRUE (jb_place_is_hopeless (&room, task));
  /* Less of one resource may fit.  */
  used->resources.cpu_milli = required.cpu_milli;
  CU_ASSERT_FALSE (jb_place_is_hopeless (&room, task));
  /* A best-effort task requires no CPU.  */
  used->resources.cpu_milli = 9000;
  used->best_effort = true;
  CU_ASSERT_FALSE (jb_place_is_hopeless (&room, task));
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "jobs that can be on time go first", test_rank },
    { "small late jobs go first", test_rank_late },
    { "jobs that can't be done are refused", test_admission },
    { "shares stay within the quota", test_quota },
    { "shares hold whole starts", test_quota_of_large_starts },
    { "claims on a quota", test_quota_claims },
    { "a quota is new while pools have unlimited shares", test_new_quota },
    { "recurring surges are forecast", test_forecast },
    { "hosts move to a pool in need", test_rebalance },
    { "no host moves away while tasks wait", test_rebalance_waiting },
    { "tasks that fit on no host left get hosts back",
      test_rebalance_unplaceable },
    { "a pool without backend servers gets a host",
      test_rebalance_empty_pool },
    { "a pool full of long-running tasks gets a host",
      test_rebalance_full_pool },
    { "hosts move ahead of a surge", test_rebalance_ahead },
    { "idle hosts of calm pools are maintained first", test_wave },
    { "best-effort tasks slow down for services", test_throttle },
    { "pools move to hosts with more processor time", test_handover },
    { "pools don't move to hosts that can't claim them",
      test_handover_to_unready_host },
    { "pools move one after the other", test_handover_interval },
    { "pools don't move between equal hosts", test_handover_between_equals },
    { "placement by size, rack, label and limit", test_place },
    { "tasks that fit nowhere, as earlier ones show", test_place_misses },
    { NULL, NULL }
  };

  return dp_test_main ("policies of jobs", tests);
}
