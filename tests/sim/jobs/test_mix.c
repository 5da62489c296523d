/* Guards against pairs of kinds of fault that no run plays: faults that need
   two kinds were missed while each was played alone.  */

#include "jw_mix.h"

#include "dp_test.h"

/* All pairs but that of the two kinds of late grants.  */
#define PAIR_COUNT (JW_KIND_COUNT * (JW_KIND_COUNT - 1) / 2 - 1)

static void
test_successive_seeds_play_each_pair (void)
{
  static const uint32_t first_seeds[] = { 1, 4294960000U };
  TALLOC_CTX *mem = talloc_new (NULL);

  CU_ASSERT_EQUAL (jw_mix_pair_count (JW_ALL_KINDS), PAIR_COUNT);
  for (size_t i = 0; i < G_N_ELEMENTS (first_seeds); i++)
    {
      GHashTable *played = g_hash_table_new (g_str_hash, g_str_equal);

      for (uint32_t j = 0; j < PAIR_COUNT; j++)
        {
          struct jw_soak soak = { .seed = first_seeds[i] + j };

          jw_mix_kinds (&soak, JW_ALL_KINDS, 2);
          g_hash_table_add (played, jw_mix_describe (mem, &soak));
        }
      CU_ASSERT_EQUAL (g_hash_table_size (played), PAIR_COUNT);
      g_hash_table_destroy (played);
    }
  talloc_free (mem);
}

static void
test_mix_has_only_allowed_kinds (void)
{
  const uint32_t allowed
      = 1U << JW_KIND_RESTARTS | 1U << JW_KIND_LATE_GRANTS_UNTIL
        | 1U << JW_KIND_LATE_GRANTS_FROM_ARRIVAL | 1U << JW_KIND_STALLS;

  /* More kinds are asked for than can be played together.  */
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct jw_soak soak = { .seed = seed };

      jw_mix_kinds (&soak, allowed, 4);
      CU_ASSERT (soak.restart_backends && soak.stall_one_host);
      CU_ASSERT_NOT_EQUAL (soak.late_leases, JW_LATE_LEASES_NONE);
      CU_ASSERT (!soak.cut_groups && !soak.signal_series);
      CU_ASSERT_EQUAL (soak.more_hosts + soak.small_hosts, 0);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "successive seeds play each pair",
            test_successive_seeds_play_each_pair },
          { "a mix has only allowed kinds", test_mix_has_only_allowed_kinds },
          { NULL, NULL } };

  return dp_test_main ("mixed kinds of fault", tests);
}
