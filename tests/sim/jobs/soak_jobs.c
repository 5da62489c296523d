/* Runs simulations of the job scheduler with random load and faults, one for
   each seed: soak_jobs --seed 1 --runs 1000

   Exit status 0 if no run has a violation.  */

#include "jw_soak.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct arguments
{
  uint32_t seed;
  uint32_t runs;
  uint32_t disabled_safeguards;
  bool lookahead;
  bool stalls;
  bool no_guard;
  bool restarts;
  enum jw_late_leases late_leases;
  bool group_cuts;
  bool queue_moves;
  bool evacuations;
  bool speculative;
  uint32_t more_hosts;
  uint32_t small_hosts;
  bool verbose;
};

static const struct argp_option options[] = {
  { "seed", 's', "N", 0, "First seed (1)", 0 },
  { "runs", 'r', "N", 0, "Number of seeds (100)", 0 },
  { "off", 'o', "MASK", 0, "Safeguards to switch off (enum jb_safeguard)", 0 },
  { "lookahead", 'a', NULL, 0, "Reserve room for tasks that wait for it", 0 },
  { "stalls", 't', NULL, 0, "Let one entry host stall again and again", 0 },
  { "no-guard", 'g', NULL, 0, "Let backend servers start what does not fit",
    0 },
  { "restarts", 'b', NULL, 0,
    "Restart backend servers under their names, with late commands", 0 },
  { "late-grants", 'n', "arrival|until", 0,
    "Grant leases late, for a time from their arrival or until the time that "
    "they ask for, while backend servers fall silent",
    0 },
  { "group-cuts", 'c', NULL, 0,
    "Cut groups of entry hosts off from the others and from the store", 0 },
  { "queue-moves", 'q', NULL, 0,
    "Move queues to other pools, and submit jobs again", 0 },
  { "evacuations", 'e', NULL, 0,
    "Evacuate availability zones, and take them back", 0 },
  { "speculative", 'p', NULL, 0, "Let a third of the jobs be speculative", 0 },
  { "more-hosts", 'm', "N", 0, "Entry hosts beyond the usual 3 to 6 (0)", 0 },
  { "small-hosts", 'l', "N", 0,
    "Entry hosts with a small share of a processor, the others have a large "
    "one (0: all unknown)",
    0 },
  { "verbose", 'v', NULL, 0, "Print the log lines of the entry hosts", 0 },
  { 0 }
};

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->seed = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'r':
      arguments->runs = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'o':
      arguments->disabled_safeguards = (uint32_t)strtoul (value, NULL, 0);
      return 0;
    case 'a':
      arguments->lookahead = true;
      return 0;
    case 't':
      arguments->stalls = true;
      return 0;
    case 'g':
      arguments->no_guard = true;
      return 0;
    case 'b':
      arguments->restarts = true;
      return 0;
    case 'n':
      if (strcmp (value, "arrival") == 0)
        arguments->late_leases = JW_LATE_LEASES_FROM_ARRIVAL;
      else if (strcmp (value, "until") == 0)
        arguments->late_leases = JW_LATE_LEASES_UNTIL;
      else
        argp_error (state, "--late-grants: arrival or until, not '%s'", value);
      return 0;
    case 'c':
      arguments->group_cuts = true;
      return 0;
    case 'q':
      arguments->queue_moves = true;
      return 0;
    case 'e':
      arguments->evacuations = true;
      return 0;
    case 'p':
      arguments->speculative = true;
      return 0;
    case 'm':
      arguments->more_hosts
          = MIN ((uint32_t)strtoul (value, NULL, 10), JW_MAX_HOST_COUNT - 6);
      return 0;
    case 'l':
      arguments->small_hosts = MIN ((uint32_t)strtoul (value, NULL, 10), 3);
      return 0;
    case 'v':
      arguments->verbose = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL,
          "Entry hosts with jobs under random load and faults." };
  struct arguments arguments = { .seed = 1, .runs = 100 };
  uint32_t failed_runs = 0;
  uint64_t starts = 0;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  for (uint32_t i = 0; i < arguments.runs; i++)
    {
      struct jw_soak soak
          = { .seed = arguments.seed + i,
              .disabled_safeguards = arguments.disabled_safeguards,
              .lookahead = arguments.lookahead,
              .stall_one_host = arguments.stalls,
              .no_overload_guard = arguments.no_guard,
              .restart_backends = arguments.restarts,
              .late_leases = arguments.late_leases,
              .cut_groups = arguments.group_cuts,
              .move_queues = arguments.queue_moves,
              .evacuate_zones = arguments.evacuations,
              .speculative_steps = arguments.speculative,
              .more_hosts = arguments.more_hosts,
              .small_hosts = arguments.small_hosts,
              .verbose = arguments.verbose };

      jw_soak_run (&soak);
      starts += soak.task_starts;
      if (soak.violations == 0)
        continue;
      failed_runs++;
      printf ("seed %u: %u violations, first %s\n", soak.seed, soak.violations,
              soak.first_violation);
    }
  printf ("%u runs from seed %u, %lu task starts: %u runs with violations\n",
          arguments.runs, arguments.seed, (unsigned long)starts, failed_runs);
  return failed_runs == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
