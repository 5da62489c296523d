#ifndef JW_TEST_H
#define JW_TEST_H

/* Helpers of the tests that run simulations.  */

#include "dp_test.h"
#include "jw_soak.h"
#include "jw_world.h"

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
