/* Exhaustive fault injection into the quota transfer protocol.

   Three entry hosts share one team's limit of 3.  Demand moves from one to
   the next, so that quota is lent, retired and reclaimed.  The program runs
   the same simulation once for every way of placing one or two faults at the
   steps of the protocol: each message about quota and each write of the
   ledger.  The entry hosts run the decision core itself, not a model of it.

   Usage: explore [--pairs] [--part I --parts N] [--off MASK]

   Exit status 0 if no run has a violation.  */

#include "sim_world.h"

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct arguments
{
  bool pairs;
  uint32_t part, parts, disabled;
};

static const struct argp_option options[]
    = { { "pairs", 'p', NULL, 0, "Two faults instead of one", 0 },
        { "part", 'i', "I", 0, "Part to run, counted from 0 (0)", 0 },
        { "parts", 'n', "N", 0, "Number of parts, for parallel runs (1)", 0 },
        { "off", 'x', "MASK", 0,
          "Mechanisms to turn off (enum co_disable_flag)", 0 },
        { 0 } };

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'p':
      arguments->pairs = true;
      return 0;
    case 'i':
      arguments->part = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'n':
      arguments->parts = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'x':
      arguments->disabled = (uint32_t)strtoul (value, NULL, 0);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp
    = { options, parse_option, NULL,
        "Inject every single fault, or every pair of faults." };

/* Send NODE more requests of team 0 at once than the team's limit.  */
static void
send_requests (struct sim_world *world, uint32_t node)
{
  for (int i = 0; i < 6; i++)
    sim_send_request (world, node, 0, 0, true, true, 4 * CO_SECOND);
}

/* Run the scenario with the faults of PLAN.  Return the violation, owned by
   the caller, or NULL.  */
static char *
run_scenario (const struct sim_fault_plan *plan, uint32_t disabled,
              struct sim_totals *totals)
{
  struct sim_options sim_options;
  struct sim_world *world;

  sim_options_init (&sim_options);
  sim_options.faults = sim_options.load = sim_options.operators = false;
  sim_options.disabled = disabled;
  sim_options.limits[0] = 3;
  sim_options.limits[1] = sim_options.limits[2] = sim_options.limits[3] = 0;
  sim_options.hosts_per_pool = 1;
  sim_options.slots_per_host = 6;
  sim_options.min_available = 0;
  sim_options.mean_service_time = 250 * CO_MILLISECOND;
  sim_options.settle_time = 25 * CO_SECOND;
  memcpy (sim_options.planned_faults, plan, sizeof sim_options.planned_faults);
  world = sim_world_new (NULL, &sim_options);
  sim_run_until (world, 3 * CO_SECOND);
  send_requests (world, 0);
  sim_run_until (world, 4 * CO_SECOND);
  send_requests (world, 1);
  sim_set_limit (world, 0, 2);
  sim_run_until (world, 5 * CO_SECOND);
  send_requests (world, 2);
  sim_set_limit (world, 0, 3);
  sim_run_until (world, 7 * CO_SECOND);
  return sim_finish (NULL, world, totals);
}

struct result
{
  uint64_t runs, violations;
};

static void
run_and_count (const struct sim_fault_plan *plan, uint32_t disabled,
               struct result *result)
{
  struct sim_totals totals;
  char *violation = run_scenario (plan, disabled, &totals);

  result->runs++;
  if (violation == NULL)
    return;
  result->violations++;
  printf ("steps %u and %u, faults %d and %d: %s\n", plan[0].step,
          plan[1].step, plan[0].fault, plan[1].fault, violation);
  talloc_free (violation);
}

/* Run the scenario with the first fault of PLAN and each choice of a second
   one at a later step.  */
static void
run_with_second_faults (struct sim_fault_plan *plan, uint32_t steps,
                        uint32_t disabled, struct result *result)
{
  for (uint32_t step = plan[0].step + 1; step <= steps; step++)
    for (int fault = SIM_FAULT_DROP; fault < SIM_FAULT_TYPE_COUNT; fault++)
      {
        plan[1].step = step;
        plan[1].fault = (enum sim_fault_type)fault;
        run_and_count (plan, disabled, result);
      }
  plan[1].fault = SIM_FAULT_NONE;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { .parts = 1 };
  struct sim_fault_plan plan[SIM_MAX_PLANNED_FAULTS] = { 0 };
  struct sim_totals totals;
  struct result result = { 0 };
  uint32_t steps;

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  /* A run without faults gives the number of steps.  */
  talloc_free (run_scenario (plan, arguments.disabled, &totals));
  steps = (uint32_t)totals.transfer_steps;
  for (uint32_t first = 1; first <= steps; first++)
    {
      if (first % arguments.parts != arguments.part)
        continue;
      for (int fault = SIM_FAULT_DROP; fault < SIM_FAULT_TYPE_COUNT; fault++)
        {
          plan[0].step = first;
          plan[0].fault = (enum sim_fault_type)fault;
          run_and_count (plan, arguments.disabled, &result);
          if (arguments.pairs)
            run_with_second_faults (plan, steps, arguments.disabled, &result);
        }
    }
  printf ("%u steps, %" PRIu64 " runs, %" PRIu64 " violations\n", steps,
          result.runs, result.violations);
  return result.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
