/* How long a pool starts nothing after its holder died, and after the store
   returned, in virtual time: measure_takeover --seeds 100.  Fails when the
   median is over the goal.  */

#include "jw_world.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

/* From an owner's death, and from the store's return, to the next start.  */
#define DEATH_GOAL_MS 1500
#define RETURN_GOAL_MS 1000
#define NO_GOAL (LONGEST / JB_MS)

#define LOAD_GAP (40 * JB_MS)
#define LONGEST (20 * JB_SECOND)

enum
{
  MAX_SEEDS = 10000
};

enum kind
{
  KIND_KILLED, /* the holder is killed */
  KIND_FROZEN, /* it stands still for good */
  KIND_CUT,    /* it reaches the store no more */
  KIND_STORE,  /* the store was away for some seconds */
  KIND_BOTH,   /* and the holder died meanwhile */
  KINDS
};

static const struct
{
  const char *name;
  int64_t goal_ms;
} kinds[KINDS]
    = { [KIND_KILLED] = { "holder killed", DEATH_GOAL_MS },
        [KIND_FROZEN] = { "holder frozen", DEATH_GOAL_MS },
        [KIND_CUT] = { "holder cut from the store", NO_GOAL },
        [KIND_STORE] = { "store returned", RETURN_GOAL_MS },
        [KIND_BOTH] = { "store returned, holder dead", RETURN_GOAL_MS } };

static const struct jw_job_options load
    = { .pool = 0, .steps = 1, .width = 2, .cpu = 1000, .ms = 300 };

/* Hand in work for DURATION.  */
static void
load_for (struct jw_world *world, jb_time duration)
{
  jb_time end = world->now + duration;

  while (world->now < end)
    {
      jw_submit (world, &load);
      jw_run (world, MIN (LOAD_GAP, end - world->now));
    }
}

/* Hand in work until a task starts that was not under way before.  Return how
   long that took.  */
static jb_time
until_start (struct jw_world *world, jb_time settle)
{
  jb_time begun = world->now;
  uint32_t starts;

  load_for (world, settle);
  starts = world->starts;
  while (world->starts == starts && world->now - begun < LONGEST)
    load_for (world, 5 * JB_MS);
  return world->now - begun;
}

static void
disturb (struct jw_world *world, enum kind kind)
{
  int holder = MAX (jw_holder (world, 0), 0);

  switch (kind)
    {
    case KIND_KILLED:
      jw_host_kill (world, (uint32_t)holder);
      break;
    case KIND_FROZEN:
      jw_host_freeze (world, (uint32_t)holder, true);
      break;
    case KIND_CUT:
      world->hosts[holder].cut_store = true;
      break;
    default:
      world->store_down = true;
      load_for (world, JB_SECOND);
      if (kind == KIND_BOTH)
        jw_host_kill (world, (uint32_t)holder);
      load_for (world, 3 * JB_SECOND);
      world->store_down = false;
      break;
    }
}

static jb_time
measure (enum kind kind, uint32_t seed)
{
  struct jw_options options = {
    .seed = seed, .hosts = 5, .pools = 2, .backends = 6, .backend_cpu = 16000
  };
  struct jw_world *world = jw_world_new (&options);
  jb_time result;

  jw_run (world, 4 * JB_SECOND);
  load_for (world, JB_SECOND + seed % 50 * 20 * JB_MS);
  disturb (world, kind);
  /* Orders that were on their way arrive within a few ms.  */
  result = until_start (world, 5 * JB_MS);
  jw_world_free (world);
  return result;
}

static int
compare (const void *a, const void *b)
{
  jb_time x = *(const jb_time *)a;
  jb_time y = *(const jb_time *)b;

  return (x > y) - (x < y);
}

static const struct argp_option options[]
    = { { "seeds", 's', "N", 0, "Number of seeds (100)", 0 }, { 0 } };

static error_t
parse (int key, char *value, struct argp_state *state)
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
      = { options, parse, NULL, "Takeover times in virtual time." };
  static jb_time times[MAX_SEEDS];
  uint32_t seeds = 100;
  bool good = true;

  argp_parse (&argp, argc, argv, 0, NULL, &seeds);
  printf ("%-28s %8s %8s %8s  goal for half\n", "ms to the next start", "half",
          "95%", "most");
  for (enum kind kind = 0; kind < KINDS; kind++)
    {
      jb_time half;

      for (uint32_t i = 0; i < seeds; i++)
        times[i] = measure (kind, i + 1);
      qsort (times, seeds, sizeof times[0], compare);
      half = times[seeds / 2];
      good = good && half <= kinds[kind].goal_ms * JB_MS;
      printf ("%-28s %8ld %8ld %8ld  %ld\n", kinds[kind].name,
              (long)(half / JB_MS),
              (long)(times[MIN (seeds - 1, seeds * 95 / 100)] / JB_MS),
              (long)(times[seeds - 1] / JB_MS), (long)kinds[kind].goal_ms);
    }
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
