/* The expected run times of tasks.  */

#include "dp_test.h"
#include "jb_duration.h"

#include <stdio.h>

/* A new queue has no samples: another expectation than the declared time, or
   none, would let reservations for its first jobs fail.  */
static void
test_declared (void)
{
  struct jb_duration_table *table = jb_duration_new (NULL);
  struct jb_duration expected = jb_duration_expect (table, "q", 0, 800);

  CU_ASSERT_EQUAL (expected.mean, 800 * JB_MS);
  CU_ASSERT_EQUAL (expected.deviation, 400 * JB_MS);
  CU_ASSERT_EQUAL (jb_duration_count (table), 0);
  talloc_free (table);
}

/* Declared times that are wrong by ten in either direction must be corrected
   within a few runs, and those of one step must not change another's.  */
static void
test_learned (void)
{
  static const jb_time actual[] = { 100 * JB_MS, 10000 * JB_MS };

  for (int i = 0; i < 2; i++)
    {
      struct jb_duration_table *table = jb_duration_new (NULL);
      struct jb_duration expected;

      for (int j = 0; j < 4; j++)
        jb_duration_record (table, "q", 1, 1000, actual[i]);
      expected = jb_duration_expect (table, "q", 1, 500);
      CU_ASSERT_EQUAL (expected.mean, actual[i] / 2);
      CU_ASSERT (expected.deviation < expected.mean / 4);
      expected = jb_duration_expect (table, "q", 0, 500);
      CU_ASSERT_EQUAL (expected.mean, 500 * JB_MS);
      expected = jb_duration_expect (table, "p", 1, 500);
      CU_ASSERT_EQUAL (expected.mean, 500 * JB_MS);
      talloc_free (table);
    }
}

/* When the run times of a step change, the old ones must be forgotten, and a
   single run that hangs must not determine the mean.  */
static void
test_change (void)
{
  struct jb_duration_table *table = jb_duration_new (NULL);
  struct jb_duration expected;

  for (int i = 0; i < 100; i++)
    jb_duration_record (table, "q", 0, 1000, 1000 * JB_MS);
  for (int i = 0; i < 40; i++)
    jb_duration_record (table, "q", 0, 1000, 2000 * JB_MS);
  expected = jb_duration_expect (table, "q", 0, 1000);
  CU_ASSERT (expected.mean > 1950 * JB_MS);
  jb_duration_record (table, "q", 0, 1000, 100000 * JB_SECOND);
  expected = jb_duration_expect (table, "q", 0, 1000);
  CU_ASSERT (expected.mean < 9000 * JB_MS);
  jb_duration_record (table, "q", 0, 0, JB_SECOND);
  jb_duration_record (table, "q", 2, -5, JB_SECOND);
  CU_ASSERT_EQUAL (jb_duration_count (table), 1);
  talloc_free (table);
}

/* A run that is overdue must not be expected to end at once again and again:
   the longer it has lasted, the longer it is expected to take.  */
static void
test_overdue (void)
{
  struct jb_duration expected = { 1000 * JB_MS, 200 * JB_MS };
  jb_time previous = 0;

  CU_ASSERT_EQUAL (jb_duration_remaining (&expected, 0), 1000 * JB_MS);
  CU_ASSERT_EQUAL (jb_duration_remaining (&expected, 400 * JB_MS),
                   600 * JB_MS);
  for (jb_time elapsed = 1000 * JB_MS; elapsed < 20 * JB_SECOND;
       elapsed += 500 * JB_MS)
    {
      jb_time remaining = jb_duration_remaining (&expected, elapsed);

      CU_ASSERT (remaining > previous);
      previous = remaining;
    }
  expected = (struct jb_duration){ 0, 0 };
  CU_ASSERT (jb_duration_remaining (&expected, JB_SECOND) > 0);
}

/* Queues with names that never come again must not take more and more memory,
   nor push out a queue that is in use.  */
static void
test_bounded (void)
{
  struct jb_duration_table *table = jb_duration_new (NULL);

  jb_duration_record (table, "used", 0, 1000, 500 * JB_MS);
  for (int i = 0; i < 3 * JB_DURATION_MAX_ENTRIES; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "queue-%d", i);
      jb_duration_record (table, name, 0, 1000, 2000 * JB_MS);
      CU_ASSERT_EQUAL (jb_duration_expect (table, "used", 0, 1000).mean,
                       500 * JB_MS);
    }
  CU_ASSERT_EQUAL (jb_duration_count (table), JB_DURATION_MAX_ENTRIES);
  CU_ASSERT_EQUAL (jb_duration_expect (table, "queue-0", 0, 1000).mean,
                   1000 * JB_MS);
  talloc_free (table);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "the declared time without samples", test_declared },
          { "declared times that are wrong by ten", test_learned },
          { "run times that change, and a run that hangs", test_change },
          { "runs that are overdue", test_overdue },
          { "the least recently used entries are dropped", test_bounded },
          { NULL, NULL } };

  return dp_test_main ("expected run times", tests);
}
