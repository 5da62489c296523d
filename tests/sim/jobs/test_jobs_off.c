/* Each safeguard is needed: without it, a simulation violates the guarantee
   that it protects; with it, the same seed has no violation.  */

#include "jw_test.h"

#include <string.h>

static const struct
{
  uint32_t disabled_safeguards; /* enum jb_safeguard */
  uint32_t seed;
  const char *rule; /* as the first violation names it */
  bool evacuate_zones;
  bool restart_backends;
} cases[]
    = { { JB_SAFEGUARD_ROSTER, 7, "TWICE" },
        { JB_SAFEGUARD_FAILED_RUNS, 12, "BUDGET" },
        { JB_SAFEGUARD_OCCURRENCES, 1, "TWICE" },
        { JB_SAFEGUARD_UNCONFIRMED_STARTS | JB_SAFEGUARD_DOUBT, 14, "TWICE" },
        { JB_SAFEGUARD_STORE_BEFORE_ACK, 5, "TWICE" },
        { JB_SAFEGUARD_QUOTA_SHARES, 3, "QUOTA" },
        { JB_SAFEGUARD_DISRUPTION_BUDGET, 14, "AVAIL" },
        { JB_SAFEGUARD_LEASE_EXPIRY, 2, "TWICE" },
        { JB_SAFEGUARD_COMMANDED_ROWS, 2630, "ONE" },
        { JB_SAFEGUARD_HANDOVER_GENERATION, 251, "TWICE" },
        { JB_SAFEGUARD_ZONES, 5, "EVAC", true },
        { JB_SAFEGUARD_DOUBT, 8, "TWICE", false, true } };

static void
test_safeguards_off (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct jw_soak soak
          = { .seed = cases[i].seed,
              .evacuate_zones = cases[i].evacuate_zones,
              .restart_backends = cases[i].restart_backends,
              .disabled_safeguards = cases[i].disabled_safeguards };

      jw_soak_run (&soak);
      CU_ASSERT (soak.violations > 0);
      if (strncmp (soak.first_violation, cases[i].rule, strlen (cases[i].rule))
          != 0)
        fprintf (stderr, "without safeguard %x: %s\n",
                 cases[i].disabled_safeguards, soak.first_violation);
      CU_ASSERT (
          strncmp (soak.first_violation, cases[i].rule, strlen (cases[i].rule))
          == 0);
    }
}

static void
test_safeguards_on (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct jw_soak soak = { .seed = cases[i].seed,
                              .evacuate_zones = cases[i].evacuate_zones,
                              .restart_backends = cases[i].restart_backends };

      jw_soak_run (&soak);
      CU_ASSERT_EQUAL (soak.violations, 0);
    }
}

/* Seeds that violated a guarantee in the past; the commits that added them
   describe the causes.  */
static const uint32_t regressions[]
    = { 8,    24,   30,   36,   42,   61,   125,     157,     260,
        341,  408,  410,  418,  528,  705,  714,     804,     847,
        910,  1221, 1336, 1496, 2181, 2250, 2328,    2355,    2430,
        2728, 3177, 3406, 5002, 5067, 5603, 1000523, 1000768, 40000167 };

static void
test_regressions (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (regressions); i++)
    {
      struct jw_soak soak = { .seed = regressions[i] };

      jw_assert_soak (&soak);
    }
}

/* One host stalls again and again, as if it were short of processor time.  */
static void
test_stalls (void)
{
  for (uint32_t seed = 1; seed <= 12; seed++)
    {
      struct jw_soak soak = { .seed = seed, .stall_one_host = true };

      jw_assert_soak (&soak);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a safeguard switched off causes violations",
            test_safeguards_off },
          { "no violations with all safeguards", test_safeguards_on },
          { "former violations", test_regressions },
          { "a host stalls again and again", test_stalls },
          { NULL, NULL } };

  return dp_test_main ("safeguards of jobs", tests);
}
