/* Runs simulations with random load, faults and changes, one for each seed:
   soak --seed N --runs M [--off MASK] [--nodes N] [--seconds N] [--verbose]

   Exit status 0 if no run has a violation.  */

#include "sim_world.h"

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct arguments
{
  uint32_t seed, runs, disabled;
  uint32_t nodes; /* 0: by the seed */
  int seconds;
  bool verbose;
};

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "First seed (1)", 0 },
        { "runs", 'r', "N", 0, "Number of seeds (20)", 0 },
        { "off", 'x', "MASK", 0,
          "Mechanisms to turn off (enum co_disable_flag)", 0 },
        { "nodes", 'n', "N", 0, "Number of entry hosts (3 to 5, by the seed)",
          0 },
        { "seconds", 't', "N", 0, "Virtual time of load and faults (30)", 0 },
        { "verbose", 'v', NULL, 0, "Print the totals of each run", 0 },
        { 0 } };

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
    case 'x':
      arguments->disabled = (uint32_t)strtoul (value, NULL, 0);
      return 0;
    case 'n':
      arguments->nodes = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 't':
      arguments->seconds = atoi (value);
      return 0;
    case 'v':
      arguments->verbose = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = { options, parse_option, NULL,
                                  "Randomised simulations in virtual time." };

int
main (int argc, char **argv)
{
  struct arguments arguments
      = { .seed = 1, .runs = 20, .nodes = 0, .seconds = 30 };
  struct sim_totals sum = { 0 };
  uint32_t violations = 0;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  for (uint32_t i = 0; i < arguments.runs; i++)
    {
      struct sim_options sim_options;
      struct sim_totals totals;
      char *violation;

      sim_options_init (&sim_options);
      sim_options.seed = arguments.seed + i;
      sim_options.disabled = arguments.disabled;
      sim_options.nodes
          = arguments.nodes ? arguments.nodes : 3 + sim_options.seed % 3;
      sim_options.pool1_lends_hosts = sim_options.seed % 2;
      sim_options.duration = arguments.seconds * CO_SECOND;
      violation = sim_run (NULL, &sim_options, &totals);
      if (violation != NULL)
        {
          violations++;
          printf ("seed %u: %s\n", sim_options.seed, violation);
        }
      else if (arguments.verbose)
        printf ("seed %u: %" PRIu64 " requests, %" PRIu64 " answered, %" PRIu64
                " refused, %" PRIu64 " unknown, %" PRIu64 " given up\n",
                sim_options.seed, totals.requests, totals.answered,
                totals.refused, totals.unknown, totals.given_up);
      talloc_free (violation);
      sum.requests += totals.requests;
      sum.attempts += totals.attempts;
      sum.answered += totals.answered;
      sum.refused += totals.refused;
      sum.unknown += totals.unknown;
      sum.given_up += totals.given_up;
      sum.runs += totals.runs;
      sum.faults += totals.faults;
      sum.kills += totals.kills;
      sum.freezes += totals.freezes;
      sum.partitions += totals.partitions;
      sum.outages += totals.outages;
      sum.lost_replies += totals.lost_replies;
      sum.duplicates += totals.duplicates;
      sum.drops += totals.drops;
      sum.changes += totals.changes;
      sum.changes_accepted += totals.changes_accepted;
      sum.drains += totals.drains;
      sum.moves += totals.moves;
      for (int r = 0; r < CO_REASON_COUNT; r++)
        sum.reasons[r] += totals.reasons[r];
    }
  printf ("%u runs: %" PRIu64 " requests, %" PRIu64 " attempts, %" PRIu64
          " answered, %" PRIu64 " refused, %" PRIu64 " unknown, %" PRIu64
          " given up, %" PRIu64 " runs\n",
          arguments.runs, sum.requests, sum.attempts, sum.answered,
          sum.refused, sum.unknown, sum.given_up, sum.runs);
  printf ("%" PRIu64 " faults: %" PRIu64 " kills, %" PRIu64
          " freezes, %" PRIu64 " partitions, %" PRIu64 " outages, %" PRIu64
          " lost replies, %" PRIu64 " duplicates, %" PRIu64 " drops; %" PRIu64
          " changes (%" PRIu64 " accepted), %" PRIu64 " drains, %" PRIu64
          " moves\n",
          sum.faults, sum.kills, sum.freezes, sum.partitions, sum.outages,
          sum.lost_replies, sum.duplicates, sum.drops, sum.changes,
          sum.changes_accepted, sum.drains, sum.moves);
  for (int i = 0; i < CO_REASON_COUNT; i++)
    if (sum.reasons[i] > 0)
      printf ("%s %" PRIu64 "\n", co_reason_info (i)->name, sum.reasons[i]);
  printf ("%u violations\n", violations);
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
