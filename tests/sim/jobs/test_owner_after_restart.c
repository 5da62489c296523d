/* Tests of owners that end a moment after backend servers of their pool have
   restarted under their instance names, in virtual time.

   Expected load: a few backend servers restart and are cut off soon after,
   while long tasks run, and the owner of their pool is stopped or killed.  */

#include "jw_test.h"

enum
{
  HOSTS = 4,
  BACKENDS = 6,
  RESTARTED = 3,
  TASKS = 8,
  SEEDS = 6
};

/* For longer than LONGER_LEASE_MS.  */
#define CUT_TIME (13 * JB_SECOND)

#define LONGER_LEASE_MS 10000

/* Longest time until the first run.  */
#define START_LIMIT (5 * JB_SECOND)

/* The owner isn't started again.  */
#define NO_RETURN (-1)

/* How long after the first run began the backend servers are cut off.  */
static const jb_time cut_delays[]
    = { 5 * JB_MS,   20 * JB_MS,  60 * JB_MS,  150 * JB_MS,
        300 * JB_MS, 600 * JB_MS, 900 * JB_MS, 1400 * JB_MS };

/* What becomes of the owner.  */
struct change
{
  bool is_planned;      /* it is stopped rather than killed */
  jb_time return_after; /* or NO_RETURN */
  bool no_restart;      /* of backend servers */
  jb_time cut_after;    /* how much later these are cut off */
  int64_t max_lease_ms; /* 0: JW_MAX_LEASE_MS */
};

/* Restart the backend servers, and submit a job of which some starts are
   computed for their former clocks.  Advance until one is carried out.  */
static void
start_tasks (struct jw_world *world, struct jw_backend **restarted,
             const struct change *change)
{
  static const struct jw_job_options job = { .step_count = 1,
                                             .tasks_per_step = TASKS,
                                             .cpu_milli = 1000,
                                             .duration_ms = 16000 };
  jb_time limit = world->now + START_LIMIT;
  uint32_t runs = 0;

  for (uint32_t i = 0; i < RESTARTED; i++)
    {
      restarted[i] = jw_find_backend (world, 0, i);
      if (!change->no_restart)
        jw_backend_restart (world, restarted[i]);
    }
  jw_submit_job (world, &job);
  while (runs == 0 && world->now < limit)
    {
      jw_advance (world, JB_MS);
      for (uint32_t i = 0; i < RESTARTED; i++)
        runs += restarted[i]->runs->len;
    }
  CU_ASSERT (runs > 0);
}

static void
set_unreachable (struct jw_backend **backends, bool unreachable)
{
  for (uint32_t i = 0; i < RESTARTED; i++)
    backends[i]->unreachable = unreachable;
}

static void
end_owner (struct jw_world *world, const struct change *change)
{
  int owner = jw_pool_owner (world, 0);

  CU_ASSERT_FATAL (owner >= 0);
  if (change->is_planned)
    {
      jw_host_stop (world, (uint32_t)owner);
      return;
    }
  jw_host_kill (world, (uint32_t)owner);
  if (change->return_after == NO_RETURN)
    return;
  jw_advance (world, change->return_after);
  jw_host_start (world, (uint32_t)owner);
}

static void
check_change (uint32_t seed, jb_time cut_delay, const struct change *change)
{
  struct jw_options options = { .seed = seed,
                                .hosts = HOSTS,
                                .pools = 1,
                                .backends = BACKENDS,
                                .backend_cpu_milli = 3000,
                                .max_lease_ms = change->max_lease_ms };
  struct jw_world *world = jw_create_world (&options);
  struct jw_backend *restarted[RESTARTED];

  start_tasks (world, restarted, change);
  jw_advance (world, cut_delay);
  if (change->cut_after == 0)
    set_unreachable (restarted, true);
  end_owner (world, change);
  jw_advance (world, change->cut_after);
  set_unreachable (restarted, true);
  jw_advance (world, CUT_TIME);
  set_unreachable (restarted, false);
  jw_advance (world, 30 * JB_SECOND);
  jw_check_and_free (world);
}

static void
check_all (const struct change *change)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    for (uint32_t i = 0; i < G_N_ELEMENTS (cut_delays); i++)
      check_change (seed, cut_delays[i], change);
}

/* A new incarnation takes a lease that was computed for the clock of the
   former one, and lasts as long as the platform allows.  The owner knows, and
   hands its pool over; the tasks ran twice in 48 of 48 cases.  */
static void
test_planned_stop (void)
{
  check_all (&(struct change){ .is_planned = true });
}

/* The same when the next process of the owner's host tells soon that the owner
   has ended; 35 to 42 of 48 cases.  */
static void
test_killed_and_back (void)
{
  check_all (&(struct change){ .return_after = 50 * JB_MS });
  check_all (&(struct change){ .return_after = 300 * JB_MS });
  check_all (&(struct change){ .return_after = 500 * JB_MS });
  check_all (&(struct change){ .return_after = 1000 * JB_MS });
}

static void
test_killed (void)
{
  check_all (&(struct change){ .return_after = NO_RETURN });
}

/* The lease of the new incarnation is longer than any wait for a silent
   backend server.  */
static void
test_longer_leases (void)
{
  check_all (
      &(struct change){ .is_planned = true, .max_lease_ms = LONGER_LEASE_MS });
  check_all (&(struct change){ .return_after = 300 * JB_MS,
                               .max_lease_ms = LONGER_LEASE_MS });
  check_all (&(struct change){ .return_after = NO_RETURN,
                               .max_lease_ms = LONGER_LEASE_MS });
}

/* The next owner has reached the backend servers before they are cut off.  It
   does not see the restart if its first list has the new incarnations.  */
static void
test_cut_off_from_next_owner (void)
{
  static const jb_time cuts[]
      = { 150 * JB_MS, 600 * JB_MS, 1500 * JB_MS, 2500 * JB_MS };

  for (size_t i = 0; i < G_N_ELEMENTS (cuts); i++)
    {
      check_all (&(struct change){ .is_planned = true,
                                   .cut_after = cuts[i],
                                   .max_lease_ms = LONGER_LEASE_MS });
      check_all (&(struct change){ .return_after = 300 * JB_MS,
                                   .cut_after = cuts[i],
                                   .max_lease_ms = LONGER_LEASE_MS });
    }
}

static void
test_without_restarts (void)
{
  check_all (&(struct change){ .is_planned = true, .no_restart = true });
  check_all (
      &(struct change){ .return_after = 300 * JB_MS, .no_restart = true });
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "the owner is stopped", test_planned_stop },
          { "the owner is killed and started again", test_killed_and_back },
          { "the owner is killed", test_killed },
          { "longer leases", test_longer_leases },
          { "cut off from the next owner", test_cut_off_from_next_owner },
          { "no backend server restarts", test_without_restarts },
          { NULL, NULL } };

  return dp_test_main ("owners that end after restarts", tests);
}
