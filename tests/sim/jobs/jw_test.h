#ifndef JW_TEST_H
#define JW_TEST_H

/* Helpers of the tests that run simulations.  */

#include "dp_test.h"
#include "jb_view.h"
#include "jw_soak.h"
#include "jw_world.h"

#include <stdlib.h>
#include <string.h>

/* Return a new simulation, after time for the entry hosts to claim all pools.
   It prints the log lines of the entry hosts if JW_VERBOSE is set.  */
static inline struct jw_world *
jw_create_world (const struct jw_options *options)
{
  struct jw_options copy = *options;
  struct jw_world *world;

  copy.verbose = getenv ("JW_VERBOSE") != NULL;
  world = jw_world_new (&copy);
  jw_advance (world, 4 * JB_SECOND);
  return world;
}

/* Return a new simulation in which a start of a task that lasts DURATION_MS
   was sent WAIT ago, is not answered and will be carried out DELAY after it
   was sent.  Set BACKEND to the backend server that it was sent to.  */
static inline struct jw_world *
jw_create_late_start (uint32_t seed, int64_t duration_ms, jb_time delay,
                      jb_time wait, struct jw_backend **backend)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 3,
                                .pools = 1,
                                .backends = 6,
                                .backend_cpu_milli = 8000 };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 1,
                                .cpu_milli = 1000,
                                .duration_ms = duration_ms };

  world->delayed_command
      = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                     .delay = delay };
  jw_submit_job (world, &job);
  jw_advance (world, wait);
  *backend = world->delayed_command.backend;
  CU_ASSERT_PTR_NOT_NULL_FATAL (*backend);
  return world;
}

/* Return the value of COUNTER summed over the entry hosts that are up.  */
static inline uint64_t
jw_sum_counter (const struct jw_world *world, enum jb_counter counter)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < world->options.hosts; i++)
    if (world->hosts[i].host != NULL)
      sum += jb_host_metrics (world->hosts[i].host)->counters[counter];
  return sum;
}

/* Return whether VIEW has a line of KIND with the field NAME, and VALUE in it
   unless that is NULL.  */
static inline bool
jw_view_has (const struct jb_view *view, const char *kind, const char *name,
             const char *value)
{
  for (uint32_t i = 0; i < view->count; i++)
    for (uint32_t j = 0; j < view->lines[i].count; j++)
      if (strcmp (view->lines[i].kind, kind) == 0
          && strcmp (view->lines[i].fields[j].name, name) == 0
          && (value == NULL
              || strcmp (view->lines[i].fields[j].value, value) == 0))
        return true;
  return false;
}

/* Assert that WORLD has seen no violation, and free it.  */
static inline void
jw_assert_and_free (struct jw_world *world)
{
  if (world->violations > 0)
    fprintf (stderr, "%u violations, first: %s\n", world->violations,
             world->first_violation);
  CU_ASSERT_EQUAL (world->violations, 0);
  jw_world_free (world);
}

/* Check the final states of all jobs, too.  */
static inline void
jw_check_and_free (struct jw_world *world)
{
  jw_check_final_states (world);
  jw_assert_and_free (world);
}

/* Run SOAK and assert that there is no violation.  */
static inline void
jw_assert_soak (struct jw_soak *soak)
{
  jw_soak_run (soak);
  if (soak->violations > 0)
    fprintf (stderr, "seed %u: %s\n", soak->seed, soak->first_violation);
  CU_ASSERT_EQUAL (soak->violations, 0);
}

#endif
