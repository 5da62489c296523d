/* Test of which hosts a new planner may command at once.

   Expected load: a planner fails during a surge, while some hosts are being
   moved and others are maintained.  Two planners must not command the same
   host within the lease of a command, nor may a late command follow one of the
   successor; the other hosts must be usable at once.  */

#include "dp_test.h"
#include "jb_commanded.h"

#include <string.h>

#define NOW (60 * JB_SECOND)
#define LEASE (3 * JB_SECOND)
#define VALIDITY (1800 * JB_MS)
/* When a command that was sent at the end of the predecessor's validity is
   executed late, and its lease has expired.  */
#define LATEST (VALIDITY + JB_COMMANDED_LATE_EXECUTION + LEASE)

enum
{
  MAX_ROWS = 64
};

/* The rows of the store.  */
struct store
{
  TALLOC_CTX *mem;
  struct jb_row rows[MAX_ROWS];
  uint32_t count;
};

static struct jb_row *
find_row (struct store *store, const char *key)
{
  for (uint32_t i = 0; i < store->count; i++)
    if (strcmp (store->rows[i].key, key) == 0)
      return &store->rows[i];
  return NULL;
}

/* Write what COMMANDED has to write at NOW.  Return the number of the write.
 */
static uint64_t
write_rows (struct store *store, struct jb_commanded *commanded, jb_time now)
{
  struct jb_commanded_rows rows
      = jb_commanded_take_rows (commanded, store->mem, now);

  for (uint32_t i = 0; i < rows.set_count; i++)
    {
      struct jb_row *row = find_row (store, rows.set[i].key);

      if (row == NULL)
        row = &store->rows[store->count++];
      *row = rows.set[i];
    }
  for (uint32_t i = 0; i < rows.removed_count; i++)
    {
      struct jb_row *row = find_row (store, rows.removed[i].key);

      *row = store->rows[--store->count];
    }
  return rows.write;
}

static void
write_and_commit (struct store *store, struct jb_commanded *commanded,
                  jb_time now)
{
  jb_commanded_handle_commit (commanded, write_rows (store, commanded, now));
}

/* Return the table of the planner with GENERATION, which claims at NOW and has
   read the rows of STORE.  */
static struct jb_commanded *
claim (struct store *store, uint32_t generation, jb_time now)
{
  struct jb_commanded_options options = { .claimed_at = now,
                                          .generation = generation,
                                          .lease = LEASE,
                                          .predecessor_validity = VALIDITY };
  struct jb_commanded *commanded = jb_commanded_new (store->mem);

  for (uint32_t i = 0; i < store->count; i++)
    CU_ASSERT (jb_commanded_load_row (commanded, &store->rows[i]));
  jb_commanded_begin (commanded, &options);
  return commanded;
}

static jb_time
wait_for_move (const struct jb_commanded *commanded, const char *host)
{
  return jb_commanded_usable_from (commanded, host, false) - NOW;
}

static jb_time
wait_for_maintenance (const struct jb_commanded *commanded, const char *host)
{
  return jb_commanded_usable_from (commanded, host, true) - NOW;
}

/* A successor that finds no rows doesn't know which hosts were commanded by a
   predecessor of a previous version, and waits for all.  The first planner has
   no predecessor.  */
static void
test_never_written (void)
{
  struct store store = { .mem = talloc_new (NULL) };

  CU_ASSERT_EQUAL (wait_for_move (claim (&store, 1, NOW), "a"), 0);
  CU_ASSERT_EQUAL (wait_for_move (claim (&store, 2, NOW), "a"),
                   VALIDITY + LEASE);
  talloc_free (store.mem);
}

/* "None" differs from "never written": a predecessor that has commanded no
   host has written an empty row.  */
static void
test_none (void)
{
  struct store store = { .mem = talloc_new (NULL) };

  write_and_commit (&store, claim (&store, 1, NOW), NOW);
  CU_ASSERT_EQUAL (wait_for_move (claim (&store, 2, NOW), "a"), 0);
  talloc_free (store.mem);
}

/* Rows that remain from before a planner of a previous version don't tell what
   that one has commanded.  */
static void
test_version_between (void)
{
  struct store store = { .mem = talloc_new (NULL) };
  struct jb_commanded *third;

  write_and_commit (&store, claim (&store, 1, NOW), NOW);
  third = claim (&store, 3, NOW);
  CU_ASSERT_EQUAL (wait_for_move (third, "a"), VALIDITY + LEASE);
  /* A successor of the third within that time must wait too, and one after
     that time must not.  */
  write_and_commit (&store, third, NOW);
  CU_ASSERT_EQUAL (wait_for_move (claim (&store, 4, NOW), "a"),
                   VALIDITY + LEASE);
  CU_ASSERT (
      jb_commanded_is_write_due (third, NOW + VALIDITY + LEASE + JB_MS));
  write_and_commit (&store, third, NOW + VALIDITY + LEASE + JB_MS);
  CU_ASSERT_EQUAL (wait_for_move (claim (&store, 4, NOW), "a"), 0);
  talloc_free (store.mem);
}

/* A host may be commanded only when its name is durable, however long the
   reply of the write is lost.  */
static void
test_commit (void)
{
  struct store store = { .mem = talloc_new (NULL) };
  struct jb_commanded *commanded = claim (&store, 1, NOW);
  uint64_t first;
  uint64_t second;

  CU_ASSERT (jb_commanded_is_write_due (commanded, NOW));
  first = write_rows (&store, commanded, NOW);
  CU_ASSERT_FALSE (jb_commanded_is_write_due (commanded, NOW));
  jb_commanded_name_host (commanded, "a", false);
  CU_ASSERT (jb_commanded_is_write_due (commanded, NOW));
  second = write_rows (&store, commanded, NOW);
  jb_commanded_handle_commit (commanded, first);
  CU_ASSERT_FALSE (jb_commanded_is_committed (commanded, "a"));
  jb_commanded_handle_commit (commanded, second);
  CU_ASSERT (jb_commanded_is_committed (commanded, "a"));
  CU_ASSERT_FALSE (jb_commanded_is_committed (commanded, "b"));
  talloc_free (store.mem);
}

/* Hosts that were not named are usable at once, and those that were, when no
   command of the predecessor can follow one of the successor within the
   lease.  */
static void
test_states (void)
{
  struct store store = { .mem = talloc_new (NULL) };
  struct jb_commanded *first = claim (&store, 1, NOW);
  struct jb_commanded *second;

  jb_commanded_name_host (first, "named", true);
  jb_commanded_name_host (first, "moved", false);
  jb_commanded_name_host (first, "settled", true);
  jb_commanded_name_host (first, "unanswered", true);
  write_and_commit (&store, first, NOW);
  jb_commanded_record_sent (first, NOW, "settled");
  jb_commanded_record_sent (first, NOW, "unanswered");
  jb_commanded_record_answer (first, NOW, "settled", false);
  jb_commanded_release_host (first, "settled");
  CU_ASSERT_FALSE (jb_commanded_is_write_due (first, NOW + JB_MS));
  /* That a command was not answered is written at once.  */
  jb_commanded_record_answer (first, NOW, "unanswered", true);
  CU_ASSERT (jb_commanded_is_write_due (first, NOW + JB_MS));
  write_and_commit (&store, first, NOW + JB_MS);
  second = claim (&store, 2, NOW);
  CU_ASSERT_EQUAL (jb_commanded_count_inherited (second), 4);
  CU_ASSERT_EQUAL (wait_for_move (second, "other"), 0);
  CU_ASSERT_EQUAL (wait_for_maintenance (second, "other"), 0);
  CU_ASSERT_EQUAL (wait_for_maintenance (second, "named"), VALIDITY + LEASE);
  CU_ASSERT_EQUAL (wait_for_move (second, "moved"), LATEST);
  CU_ASSERT_EQUAL (wait_for_maintenance (second, "settled"), LEASE);
  CU_ASSERT_EQUAL (wait_for_move (second, "settled"), LEASE);
  CU_ASSERT_EQUAL (wait_for_maintenance (second, "unanswered"), LATEST);
  /* For the limit of a wave, they count as long as they aren't usable.  */
  CU_ASSERT (jb_commanded_may_be_maintained (second, NOW, "named"));
  CU_ASSERT_FALSE (jb_commanded_may_be_maintained (second, NOW, "moved"));
  CU_ASSERT_FALSE (jb_commanded_may_be_maintained (second, NOW, "settled"));
  CU_ASSERT_FALSE (jb_commanded_may_be_maintained (
      second, NOW + VALIDITY + LEASE, "named"));
  talloc_free (store.mem);
}

/* A settled host must not be commanded again before its name is written again:
   a successor would wait only for the first command.  */
static void
test_second_command (void)
{
  struct store store = { .mem = talloc_new (NULL) };
  struct jb_commanded *first = claim (&store, 1, NOW);

  jb_commanded_name_host (first, "a", false);
  write_and_commit (&store, first, NOW);
  jb_commanded_record_sent (first, NOW, "a");
  jb_commanded_record_answer (first, NOW, "a", false);
  jb_commanded_release_host (first, "a");
  CU_ASSERT_FALSE (jb_commanded_is_committed (first, "a"));
  /* Not yet stored as settled, so nothing has to be written.  */
  jb_commanded_name_host (first, "a", false);
  CU_ASSERT (jb_commanded_is_committed (first, "a"));
  jb_commanded_release_host (first, "a");
  CU_ASSERT (jb_commanded_is_write_due (first, NOW + JB_SECOND));
  write_and_commit (&store, first, NOW + JB_SECOND);
  CU_ASSERT_EQUAL (wait_for_move (claim (&store, 2, NOW), "a"), LEASE);
  jb_commanded_name_host (first, "a", false);
  CU_ASSERT_FALSE (jb_commanded_is_committed (first, "a"));
  write_and_commit (&store, first, NOW + JB_SECOND);
  CU_ASSERT (jb_commanded_is_committed (first, "a"));
  CU_ASSERT_EQUAL (wait_for_move (claim (&store, 2, NOW), "a"), LATEST);
  talloc_free (store.mem);
}

/* The first planner's commands may still be executed when a second planner has
   failed as well, so a third one must wait for them.  */
static void
test_two_predecessors (void)
{
  struct store store = { .mem = talloc_new (NULL) };
  struct jb_commanded *first = claim (&store, 1, NOW);
  struct jb_commanded *second;
  struct jb_commanded *third;

  jb_commanded_name_host (first, "a", false);
  write_and_commit (&store, first, NOW);
  second = claim (&store, 2, NOW);
  jb_commanded_name_host (second, "b", false);
  write_and_commit (&store, second, NOW);
  third = claim (&store, 3, NOW);
  CU_ASSERT_EQUAL (wait_for_move (third, "a"), LATEST);
  CU_ASSERT_EQUAL (wait_for_move (third, "b"), LATEST);
  CU_ASSERT_EQUAL (wait_for_move (third, "c"), 0);
  talloc_free (store.mem);
}

/* Names are kept for the lease of the last command, and before that for the
   late execution of one without an answer.  They are then removed, so that
   neither the rows nor the hosts that a successor waits for grow without
   bound.  */
static void
test_removal (void)
{
  struct store store = { .mem = talloc_new (NULL) };
  struct jb_commanded *first = claim (&store, 1, NOW);
  struct jb_commanded *second;
  jb_time sent_at = NOW + JB_SECOND;

  jb_commanded_name_host (first, "a", false);
  jb_commanded_name_host (first, "answered", false);
  jb_commanded_name_host (first, "given-up", false);
  write_and_commit (&store, first, NOW);
  jb_commanded_record_sent (first, sent_at, "a");
  jb_commanded_record_sent (first, sent_at, "answered");
  jb_commanded_record_answer (first, sent_at, "a", true);
  jb_commanded_record_answer (first, sent_at, "answered", false);
  jb_commanded_release_host (first, "a");
  jb_commanded_release_host (first, "answered");
  jb_commanded_release_host (first, "given-up");
  write_and_commit (&store, first, sent_at + LEASE - JB_MS);
  CU_ASSERT_EQUAL (jb_commanded_count (first), 2);
  write_and_commit (&store, first, sent_at + LEASE);
  CU_ASSERT_EQUAL (jb_commanded_count (first), 1);
  write_and_commit (&store, first,
                    sent_at + JB_COMMANDED_LATE_EXECUTION + LEASE - JB_MS);
  CU_ASSERT_EQUAL (jb_commanded_count (first), 1);
  second = claim (&store, 2, NOW);
  write_and_commit (&store, first,
                    sent_at + JB_COMMANDED_LATE_EXECUTION + LEASE);
  CU_ASSERT_EQUAL (jb_commanded_count (first), 0);
  /* An inherited name goes when it makes no one wait any more.  */
  write_and_commit (&store, second, NOW + LEASE - JB_MS);
  CU_ASSERT_EQUAL (jb_commanded_count (second), 1);
  write_and_commit (&store, second, NOW + LATEST);
  CU_ASSERT_EQUAL (jb_commanded_count (second), 0);
  talloc_free (store.mem);
}

/* With many hosts there are several rows, all of which a successor needs, and
   rows without names are removed.  */
static void
test_many_hosts (void)
{
  struct store store = { .mem = talloc_new (NULL) };
  struct jb_commanded *first = claim (&store, 1, NOW);
  struct jb_commanded *second;

  for (int i = 0; i < 3000; i++)
    jb_commanded_name_host (first, talloc_asprintf (store.mem, "h%d", i),
                            false);
  write_and_commit (&store, first, NOW);
  CU_ASSERT (store.count >= 3 && store.count < MAX_ROWS);
  second = claim (&store, 2, NOW);
  for (int i = 0; i < 3000; i++)
    CU_ASSERT_EQUAL (
        wait_for_move (second, talloc_asprintf (store.mem, "h%d", i)), LATEST);
  /* A change rewrites the rows concerned only.  */
  jb_commanded_name_host (first, "one-more", false);
  CU_ASSERT_EQUAL (jb_commanded_take_rows (first, store.mem, NOW).set_count,
                   1);
  for (int i = 0; i < 3000; i++)
    jb_commanded_release_host (first, talloc_asprintf (store.mem, "h%d", i));
  jb_commanded_release_host (first, "one-more");
  write_and_commit (&store, first, NOW);
  CU_ASSERT_EQUAL (store.count, 1);
  CU_ASSERT_EQUAL (wait_for_move (claim (&store, 2, NOW), "h1"), 0);
  talloc_free (store.mem);
}

/* A row that can't be decoded may have named any host.  */
static void
test_unreadable_row (void)
{
  struct store store = { .mem = talloc_new (NULL) };
  struct jb_commanded *second = jb_commanded_new (store.mem);
  struct jb_commanded_options options = { NOW, 2, LEASE, VALIDITY };
  struct jb_row row
      = { .table = JB_COMMANDED_TABLE, .key = JB_COMMANDED_KEY ".1" };

  write_and_commit (&store, claim (&store, 1, NOW), NOW);
  CU_ASSERT (jb_commanded_load_row (second, &store.rows[0]));
  CU_ASSERT_FALSE (jb_commanded_load_row (second, &row));
  jb_commanded_begin (second, &options);
  CU_ASSERT_EQUAL (wait_for_move (second, "a"), VALIDITY + LEASE);
  talloc_free (store.mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "rows that were never written", test_never_written },
          { "a predecessor that commanded no host", test_none },
          { "a predecessor of a previous version", test_version_between },
          { "a name counts when it is durable", test_commit },
          { "the wait depends on what is known", test_states },
          { "a host is commanded again", test_second_command },
          { "a successor of a successor", test_two_predecessors },
          { "names are removed", test_removal },
          { "many hosts", test_many_hosts },
          { "an unreadable row", test_unreadable_row },
          { NULL, NULL } };

  return dp_test_main ("hosts that may be commanded", tests);
}
