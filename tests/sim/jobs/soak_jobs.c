/* Runs simulations of the job scheduler with random load and faults, one for
   each seed: soak_jobs --seed 1 --runs 1000

   Without options that choose kinds of fault, of load or of deployment, each
   seed mixes JW_DEFAULT_MIX of them, as jw_mix_kinds does.  Before that was
   so, such commands had none: these seeds are repeated with --plain.

   Exit status 0 if no run has a violation.  */

#include "jw_mix.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct arguments
{
  struct jw_soak soak; /* what all seeds have in common */
  uint32_t seed;
  uint32_t runs;
  bool kinds_chosen;
  uint32_t mix; /* number of kinds that each seed draws */
};

static const struct argp_option options[] = {
  { "seed", 's', "N", 0, "First seed (1)", 0 },
  { "runs", 'r', "N", 0, "Number of seeds (100)", 0 },
  { "mix", 'x', "N", 0,
    "Let each seed have N of the kinds below: one pair after another, and "
    "others at random (5, if no kind is chosen)",
    0 },
  { "plain", 'P', NULL, 0, "Without any of the kinds below", 0 },
  { "off", 'o', "MASK", 0, "Safeguards to switch off (enum jb_safeguard)", 0 },
  { "verbose", 'v', NULL, 0, "Print the log lines of the entry hosts", 0 },
  { NULL, 0, NULL, 0, "Kinds of fault, of load and of deployment:", 0 },
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
  { "signals", 'i', NULL, 0,
    "Send signals to entry hosts, also to those that are frozen or stopping",
    0 },
  { "slow-replies", 'w', NULL, 0,
    "Let replies of the store and of backend servers, of which there are "
    "more, "
    "take up to 0.3 s",
    0 },
  { "late-hosts", 'd', NULL, 0,
    "Let the event loops of owners be up to 1.5 s late while their backlog is "
    "at its limit (not drawn by --mix)",
    0 },
  { "more-hosts", 'm', "N", 0, "Entry hosts beyond the usual 3 to 6 (0)", 0 },
  { "small-hosts", 'l', "N", 0,
    "Entry hosts with a small share of a processor, the others have a large "
    "one (0: all unknown)",
    0 },
  { 0 }
};

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  struct jw_soak *soak = &arguments->soak;

  switch (key)
    {
    case 's':
      arguments->seed = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'r':
      arguments->runs = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'o':
      soak->disabled_safeguards = (uint32_t)strtoul (value, NULL, 0);
      return 0;
    case 'v':
      soak->verbose = true;
      return 0;
    case 'x':
      arguments->mix = (uint32_t)strtoul (value, NULL, 10);
      if (arguments->mix < 2 || arguments->mix >= JW_KIND_COUNT)
        argp_error (state, "--mix takes 2 to %d", JW_KIND_COUNT - 1);
      return 0;
    case 'P':
      break;
    case 'a':
      soak->lookahead = true;
      break;
    case 't':
      soak->stall_one_host = true;
      break;
    case 'g':
      soak->no_overload_guard = true;
      break;
    case 'b':
      soak->restart_backends = true;
      break;
    case 'n':
      if (strcmp (value, "arrival") == 0)
        soak->late_leases = JW_LATE_LEASES_FROM_ARRIVAL;
      else if (strcmp (value, "until") == 0)
        soak->late_leases = JW_LATE_LEASES_UNTIL;
      else
        argp_error (state, "--late-grants: arrival or until, not '%s'", value);
      break;
    case 'c':
      soak->cut_groups = true;
      break;
    case 'q':
      soak->move_queues = true;
      break;
    case 'e':
      soak->evacuate_zones = true;
      break;
    case 'p':
      soak->speculative_steps = true;
      break;
    case 'i':
      soak->signal_series = true;
      break;
    case 'w':
      soak->slow_replies = true;
      break;
    case 'd':
      soak->late_hosts = true;
      break;
    case 'm':
      soak->more_hosts
          = MIN ((uint32_t)strtoul (value, NULL, 10), JW_MAX_HOST_COUNT - 6);
      break;
    case 'l':
      soak->small_hosts = MIN ((uint32_t)strtoul (value, NULL, 10), 3);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  arguments->kinds_chosen = true;
  return 0;
}

/* Print the first violation of SOAK with the command that repeats it.  */
static void
report_violations (const struct jw_soak *soak)
{
  char *kinds = jw_mix_describe (NULL, soak);

  printf ("seed %u: %u violations, first %s; soak_jobs%s --seed %u --runs 1",
          soak->seed, soak->violations, soak->first_violation, kinds,
          soak->seed);
  if (soak->disabled_safeguards != 0)
    printf (" --off 0x%x", soak->disabled_safeguards);
  printf ("\n");
  talloc_free (kinds);
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
  if (arguments.mix > 0 && arguments.kinds_chosen)
    {
      fprintf (stderr, "soak_jobs: --mix chooses the kinds: use it without "
                       "options that choose them\n");
      return EXIT_FAILURE;
    }
  if (arguments.mix == 0 && !arguments.kinds_chosen)
    arguments.mix = JW_DEFAULT_MIX;
  for (uint32_t i = 0; i < arguments.runs; i++)
    {
      struct jw_soak soak = arguments.soak;

      soak.seed = arguments.seed + i;
      if (arguments.mix > 0)
        jw_mix_kinds (&soak, JW_ALL_KINDS, arguments.mix);
      jw_soak_run (&soak);
      starts += soak.task_starts;
      if (soak.violations == 0)
        continue;
      failed_runs++;
      report_violations (&soak);
      fflush (stdout);
    }
  printf ("%u runs from seed %u, %lu task starts: %u runs with violations\n",
          arguments.runs, arguments.seed, (unsigned long)starts, failed_runs);
  return failed_runs == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
