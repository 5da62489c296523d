/* Measures in virtual time how long a pool starts no task after its owner
   failed, after a store outage ended, and after its owner, a small host,
   handed it over: measure_takeover --seeds 100

   Exit status 0 if no median exceeds its goal.  */

#include "jw_world.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

/* Longest median time from the owner's failure, or from the end of the store
   outage, to the start of the next task.  */
#define OWNER_FAILURE_GOAL_MS 1500
#define STORE_RETURN_GOAL_MS 1000
/* The same from the moment at which the owner has released the pool.  */
#define HANDOVER_GOAL_MS 300
/* Always met, since no measured time exceeds MAX_WAIT.  */
#define NO_GOAL_MS (MAX_WAIT / JB_MS)

#define SUBMIT_INTERVAL (40 * JB_MS)
/* A measurement without a start ends after this time.  */
#define MAX_WAIT (20 * JB_SECOND)

enum
{
  MAX_SEEDS = 10000
};

enum fault_kind
{
  FAULT_OWNER_KILLED,
  FAULT_OWNER_FROZEN,            /* and never resumes */
  FAULT_OWNER_CUT_OFF,           /* the owner no longer reaches the store */
  FAULT_STORE_DOWN,              /* for 4 s */
  FAULT_STORE_DOWN_OWNER_KILLED, /* the owner is killed during the outage */
  FAULT_SMALL_OWNER,             /* it hands the pool over */
  FAULT_KIND_COUNT
};

static const struct
{
  const char *name;
  int64_t goal_ms;
} faults[FAULT_KIND_COUNT]
    = { [FAULT_OWNER_KILLED] = { "owner killed", OWNER_FAILURE_GOAL_MS },
        [FAULT_OWNER_FROZEN] = { "owner frozen", OWNER_FAILURE_GOAL_MS },
        [FAULT_OWNER_CUT_OFF] = { "owner cut off from the store", NO_GOAL_MS },
        [FAULT_STORE_DOWN] = { "store returned", STORE_RETURN_GOAL_MS },
        [FAULT_STORE_DOWN_OWNER_KILLED]
        = { "store returned, owner dead", STORE_RETURN_GOAL_MS },
        [FAULT_SMALL_OWNER] = { "handed over", HANDOVER_GOAL_MS } };

static const struct jw_job_options load = { .pool = 0,
                                            .step_count = 1,
                                            .tasks_per_step = 2,
                                            .cpu_milli = 1000,
                                            .duration_ms = 300 };

/* Submit jobs for DURATION.  */
static void
submit_for (struct jw_world *world, jb_time duration)
{
  jb_time end = world->now + duration;

  while (world->now < end)
    {
      jw_submit_job (world, &load);
      jw_advance (world, MIN (SUBMIT_INTERVAL, end - world->now));
    }
}

/* Submit jobs until a task starts, for at most MAX_WAIT.  Ignore starts within
   IN_FLIGHT_TIME, whose commands may have been sent before the fault.  Return
   how long it took, MAX_WAIT if no task started.  */
static jb_time
time_to_next_start (struct jw_world *world, jb_time in_flight_time)
{
  jb_time begun = world->now;
  uint32_t starts;

  submit_for (world, in_flight_time);
  starts = world->task_starts;
  while (world->task_starts == starts && world->now - begun < MAX_WAIT)
    submit_for (world, 5 * JB_MS);
  return world->now - begun;
}

/* Let a small host claim the pool while the only large one is down, and wait
   until it hands the pool over.  */
static void
wait_for_handover (struct jw_world *world)
{
  jb_time end;

  jw_host_kill (world, 0);
  submit_for (world, 3 * JB_SECOND);
  jw_host_start (world, 0);
  end = world->now + MAX_WAIT;
  for (uint32_t ms = 0; jw_pool_owner (world, 0) >= 0 && world->now < end;
       ms++)
    {
      if (ms % (SUBMIT_INTERVAL / JB_MS) == 0)
        jw_submit_job (world, &load);
      jw_advance (world, JB_MS);
    }
}

static void
inject_fault (struct jw_world *world, enum fault_kind kind)
{
  int owner = MAX (jw_pool_owner (world, 0), 0);

  switch (kind)
    {
    case FAULT_OWNER_KILLED:
      jw_host_kill (world, (uint32_t)owner);
      break;
    case FAULT_OWNER_FROZEN:
      jw_host_set_frozen (world, (uint32_t)owner, true);
      break;
    case FAULT_OWNER_CUT_OFF:
      world->hosts[owner].store_unreachable = true;
      break;
    case FAULT_SMALL_OWNER:
      wait_for_handover (world);
      break;
    default:
      world->store_down = true;
      submit_for (world, JB_SECOND);
      if (kind == FAULT_STORE_DOWN_OWNER_KILLED)
        jw_host_kill (world, (uint32_t)owner);
      submit_for (world, 3 * JB_SECOND);
      world->store_down = false;
      break;
    }
}

/* Return the time from the fault to the next start in the simulation of SEED.
   The load before the fault is up to 1 s longer for some seeds, so that the
   faults come at different moments.  */
static jb_time
measure_wait (enum fault_kind kind, uint32_t seed)
{
  struct jw_options options
      = { .seed = seed,
          .hosts = 5,
          .small_hosts = kind == FAULT_SMALL_OWNER ? 4 : 0,
          .pools = 2,
          .backends = 6,
          .backend_cpu_milli = 16000 };
  struct jw_world *world = jw_world_new (&options);
  jb_time result;

  jw_advance (world, 4 * JB_SECOND);
  submit_for (world, JB_SECOND + seed % 50 * 20 * JB_MS);
  inject_fault (world, kind);
  /* Start commands that are in flight arrive within 5 ms.  */
  result = time_to_next_start (world, 5 * JB_MS);
  jw_world_free (world);
  return result;
}

static int
compare_times (const void *a, const void *b)
{
  jb_time x = *(const jb_time *)a;
  jb_time y = *(const jb_time *)b;

  return (x > y) - (x < y);
}

static const struct argp_option options[]
    = { { "seeds", 's', "N", 0, "Number of seeds (100)", 0 }, { 0 } };

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  uint32_t *seeds = state->input;

  if (key != 's')
    return ARGP_ERR_UNKNOWN;
  *seeds = (uint32_t)strtoul (value, NULL, 10);
  if (*seeds < 1 || *seeds > MAX_SEEDS)
    argp_error (state, "--seeds takes 1 to %d", (int)MAX_SEEDS);
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, "Takeover times in virtual time." };
  static jb_time times[MAX_SEEDS];
  uint32_t seeds = 100;
  bool goals_met = true;

  argp_parse (&argp, argc, argv, 0, NULL, &seeds);
  printf ("%-28s %8s %8s %8s  median goal\n", "ms to the next start", "median",
          "95%", "max");
  for (enum fault_kind kind = 0; kind < FAULT_KIND_COUNT; kind++)
    {
      jb_time median;

      for (uint32_t i = 0; i < seeds; i++)
        times[i] = measure_wait (kind, i + 1);
      qsort (times, seeds, sizeof times[0], compare_times);
      median = times[seeds / 2];
      goals_met = goals_met && median <= faults[kind].goal_ms * JB_MS;
      printf ("%-28s %8ld %8ld %8ld  %ld\n", faults[kind].name,
              (long)(median / JB_MS),
              (long)(times[MIN (seeds - 1, seeds * 95 / 100)] / JB_MS),
              (long)(times[seeds - 1] / JB_MS), (long)faults[kind].goal_ms);
    }
  return goals_met ? EXIT_SUCCESS : EXIT_FAILURE;
}
