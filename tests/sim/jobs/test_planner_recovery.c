/* A new planner without a standstill: the time until hosts move after the loss
   of all entry hosts in a surge, and the guarantee ONE while planners are
   killed, frozen and cut off and commands to hosts are executed late.  */

#include "jw_test.h"

#include <string.h>

/* Time without entry hosts.  They return one after the other.  */
#define OUTAGE (1000 * JB_MS)
#define RETURN_INTERVAL (60 * JB_MS)

/* Longest time from the first entry host's return until a host moves.  Entry
   hosts claim nothing for 700 ms after their start.  */
#define MAX_TIME_TO_MOVE (1500 * JB_MS)

#define MAX_WAIT (8 * JB_SECOND)

static const struct jw_options fleet = { .hosts = 5,
                                         .pools = 3,
                                         .backends = 8,
                                         .backend_cpu_milli = 4000,
                                         .org_cpu_limit_milli = 90000 };

/* Ask for more of POOL than it has, for about DURATION.  */
static void
submit_surge (struct jw_world *world, uint32_t pool, jb_time duration)
{
  struct jw_job_options job = { .pool = pool,
                                .step_count = 1,
                                .tasks_per_step = 3,
                                .cpu_milli = 1000,
                                .duration_ms = 900 };
  jb_time end = world->now + duration;

  while (world->now < end)
    {
      jw_submit_job (world, &job);
      jw_advance (world, 50 * JB_MS);
    }
}

/* Let each pool have two surges in turn: the planner lends hosts only by its
   forecast of surges.  */
static void
submit_known_surges (struct jw_world *world)
{
  for (uint32_t i = 0; i < 2 * world->options.pools; i++)
    {
      submit_surge (world, i % world->options.pools, 1500 * JB_MS);
      jw_advance (world, 2 * JB_SECOND);
    }
}

/* Return when a host of the fleet was last commanded, 0 if never.  */
static jb_time
last_host_command (const struct jw_world *world)
{
  jb_time last = 0;

  for (guint i = 0; i < world->fleet->len; i++)
    {
      const struct jw_fleet_host *host = g_ptr_array_index (world->fleet, i);

      last = MAX (last, host->last_command_at);
    }
  return last;
}

static void
start_host (struct jw_world *world, void *data)
{
  jw_host_start (world, *(uint32_t *)data);
}

/* Kill all entry hosts in a surge.  Return the time from the first one's
   return until a host moves, at most MAX_WAIT.  */
static jb_time
time_to_move (uint32_t seed)
{
  struct jw_options options = fleet;
  struct jw_world *world;
  jb_time returned_at;
  jb_time result;

  options.seed = seed;
  world = jw_create_world (&options);
  submit_known_surges (world);
  /* All pools are idle for a while, and the next surge has just begun.  */
  jw_advance (world, 4 * JB_SECOND);
  CU_ASSERT (last_host_command (world) > 0);
  submit_surge (world, 0, 150 * JB_MS);
  for (uint32_t i = 0; i < options.hosts; i++)
    jw_host_kill (world, i);
  returned_at = world->now + OUTAGE;
  for (uint32_t i = 0; i < options.hosts; i++)
    {
      uint32_t *index = talloc (NULL, uint32_t);

      /* Other hosts return first with other seeds.  */
      *index = (i + seed) % options.hosts;
      jw_schedule (world, returned_at + i * RETURN_INTERVAL, start_host,
                   index);
    }
  jw_advance (world, OUTAGE);
  while (last_host_command (world) < returned_at
         && world->now < returned_at + MAX_WAIT)
    submit_surge (world, 0, 50 * JB_MS);
  result = world->now - returned_at;
  jw_advance (world, 60 * JB_SECOND);
  jw_check_and_free (world);
  return result;
}

static void
test_loss_of_all_hosts (void)
{
  for (uint32_t seed = 1; seed <= 12; seed++)
    {
      jb_time time = time_to_move (seed);

      if (time > MAX_TIME_TO_MOVE)
        fprintf (stderr, "seed %u: a host moves after %d ms\n", seed,
                 (int)(time / JB_MS));
      CU_ASSERT (time <= MAX_TIME_TO_MOVE);
    }
}

/* The end of a fault of the entry host INDEX.  */
struct fault_end
{
  uint32_t index;
};

static void
end_fault (struct jw_world *world, void *data)
{
  struct jw_host *host
      = &world->hosts[((const struct fault_end *)data)->index];

  host->store_unreachable = false;
  host->peers_unreachable = false;
  if (host->frozen)
    jw_host_set_frozen (world, host->index, false);
  jw_host_start (world, host->index);
}

/* Let the planner fail in the way of number KIND for DURATION.  */
static void
fail_planner (struct jw_world *world, uint32_t kind, jb_time duration)
{
  int planner = jw_find_planner (world);
  struct fault_end *end;

  if (planner < 0)
    return;
  switch (kind % 5)
    {
    case 0:
      jw_host_kill (world, (uint32_t)planner);
      break;
    case 1:
      jw_host_set_frozen (world, (uint32_t)planner, true);
      break;
    case 2:
      world->hosts[planner].store_unreachable = true;
      break;
    case 3:
      world->hosts[planner].peers_unreachable = true;
      break;
    default:
      world->hosts[planner].store_unreachable = true;
      world->hosts[planner].peers_unreachable = true;
      break;
    }
  end = talloc (NULL, struct fault_end);
  end->index = (uint32_t)planner;
  jw_schedule (world, world->now + duration, end_fault, end);
}

/* Let planners fail again and again during surges and a wave.  Return the
   number of violations of any rule, and set ONE_VIOLATIONS to that of ONE.
   LOSS_PERMILLE is of commands to hosts.  */
static uint32_t
run_failing_planners (uint32_t seed, uint32_t disabled_safeguards,
                      uint32_t loss_permille, uint32_t *one_violations)
{
  struct jw_options options = fleet;
  struct jw_world *world;
  uint32_t violations;

  options.seed = seed;
  options.disabled_safeguards = disabled_safeguards;
  world = jw_create_world (&options);
  world->loss_permille.host_commands = loss_permille;
  world->loss_permille.store_commands = loss_permille / 4;
  jw_start_wave (world, 3, 40000);
  for (uint32_t i = 0; i < 8; i++)
    {
      submit_surge (world, i % options.pools,
                    (300 + 37 * ((seed + i) % 17)) * JB_MS);
      fail_planner (world, seed + i,
                    (700 + 100 * ((seed * 3 + i) % 15)) * JB_MS);
      jw_advance (world, (200 + 50 * ((seed + 5 * i) % 13)) * JB_MS);
    }
  world->loss_permille.host_commands = 0;
  world->loss_permille.store_commands = 0;
  jw_advance (world, 40 * JB_SECOND);
  violations = world->violations;
  *one_violations = world->one_violations;
  if (violations > 0 && disabled_safeguards == 0)
    fprintf (stderr, "seed %u: %s\n", seed, world->first_violation);
  jw_world_free (world);
  return violations;
}

/* Planners that are killed, frozen or cut off may still have commands under
   way, or send some, when a successor commands hosts.  */
static void
test_failing_planners (void)
{
  uint32_t one_violations;

  for (uint32_t seed = 1; seed <= 30; seed++)
    CU_ASSERT_EQUAL (run_failing_planners (seed, 0, 0, &one_violations), 0);
}

/* Without the stored names the same runs command hosts of the predecessor too
   early.  */
static void
test_without_rows (void)
{
  uint32_t sum = 0;

  for (uint32_t seed = 1; seed <= 30; seed++)
    {
      uint32_t one_violations;

      (void)run_failing_planners (seed, JB_SAFEGUARD_COMMANDED_ROWS, 0,
                                  &one_violations);
      sum += one_violations;
    }
  CU_ASSERT (sum > 0);
}

/* Commands to hosts and writes are lost, or carried out late.  A host may then
   be taken down when its pool uses it again (ROSTER), which the planner can't
   prevent, so only ONE counts.  */
static void
test_late_commands (void)
{
  for (uint32_t seed = 1; seed <= 60; seed++)
    {
      uint32_t one_violations;

      (void)run_failing_planners (seed, 0, 200, &one_violations);
      CU_ASSERT_EQUAL (one_violations, 0);
    }
}

/* Kill the planner each time that it has commanded a host in a surge, and let
   another pool have the next surge.  When the first planner of the previous
   version is killed, a wave begins whose hosts must be maintained at once, so
   that the successor needs hosts that were just commanded.
   PREVIOUS_VERSION_HOSTS is as in struct jw_options.  Return the number of
   violations.  */
static uint32_t
run_planners_in_turn (uint32_t seed, uint32_t previous_version_hosts)
{
  struct jw_options options = fleet;
  struct jw_world *world;
  uint32_t violations;

  options.seed = seed;
  options.previous_version_hosts = previous_version_hosts;
  world = jw_create_world (&options);
  submit_known_surges (world);
  /* Let the names of these surges go, so that the successor of a planner of
     the previous version finds rows with few names.  */
  jw_advance (world, 6 * JB_SECOND);
  fail_planner (world, 0, 700 * JB_MS);
  jw_advance (world, 6 * JB_SECOND);
  for (uint32_t i = 0; i < 8; i++)
    {
      jb_time begun = world->now;
      jb_time wait = JB_SECOND;
      int planner;

      while (last_host_command (world) < begun
             && world->now < begun + 7 * JB_SECOND)
        submit_surge (world, i % options.pools, 50 * JB_MS);
      planner = jw_find_planner (world);
      if (planner >= 0 && (previous_version_hosts >> planner & 1) != 0
          && world->wave_version == 0)
        {
          jw_start_wave (world, 12, 3000);
          wait = 4 * JB_SECOND;
        }
      fail_planner (world, 0, 700 * JB_MS);
      jw_advance (world, wait);
    }
  jw_advance (world, 20 * JB_SECOND);
  violations = world->violations;
  if (violations > 0)
    fprintf (stderr, "seed %u: %s\n", seed, world->first_violation);
  jw_world_free (world);
  return violations;
}

/* A planner of the previous version writes no names, and rows that were
   written before it must not count as its own.  */
static void
test_both_versions (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    CU_ASSERT_EQUAL (run_planners_in_turn (seed, 1 + seed % 2), 0);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "hosts move after the loss of all entry hosts",
            test_loss_of_all_hosts },
          { "planners fail", test_failing_planners },
          { "planners fail, without stored names", test_without_rows },
          { "planners fail, with late commands", test_late_commands },
          { "planners fail, of both versions", test_both_versions },
          { NULL, NULL } };

  return dp_test_main ("recovery of the planner", tests);
}
