/* Test of the starts that may still be carried out.  Each case in which a
   start stays in doubt guards against a task that runs twice.  */

#include "dp_test.h"
#include "jb_backend.h"
#include "jb_doubt.h"

#include <string.h>

#define TASK "0123456789abcdef.0.0.0"
#define SENT_AT (10 * JB_SECOND)

enum
{
  MAX_LEASE_MS = 6000,
  RUN = 20001
};

static struct jb_doubt_table *
table_with_starts (uint32_t count)
{
  struct jb_doubt_table *table = jb_doubt_table_new (NULL);

  for (uint32_t i = 0; i < count; i++)
    jb_doubt_add (table, TASK, RUN, "i-1", SENT_AT + i * JB_SECOND);
  return table;
}

/* A start that was answered can't be carried out again.  */
static void
test_answered (void)
{
  struct jb_doubt_table *table = table_with_starts (1);

  jb_doubt_answer (table, TASK, RUN, "i-1", SENT_AT, true);
  CU_ASSERT_PTR_NULL (jb_doubt_find (table, TASK));
  CU_ASSERT_EQUAL (jb_doubt_count (table), 0);
  talloc_free (table);
}

/* The answer to one start says nothing about an earlier one.  */
static void
test_repeat_answered (void)
{
  struct jb_doubt_table *table = table_with_starts (2);

  jb_doubt_answer (table, TASK, RUN, "i-1", SENT_AT, true);
  CU_ASSERT_PTR_NOT_NULL (jb_doubt_find (table, TASK));
  /* The run that is listed is that of the answered start.  */
  jb_doubt_settle (table, TASK, RUN, "i-1");
  CU_ASSERT_PTR_NOT_NULL (jb_doubt_find (table, TASK));
  talloc_free (table);
}

/* A start that was refused does not prolong the doubt of the one before.  */
static void
test_repeat_refused (void)
{
  struct jb_doubt_table *table = table_with_starts (2);

  jb_doubt_answer (table, TASK, RUN, "i-1", SENT_AT + JB_SECOND, false);
  CU_ASSERT_EQUAL (jb_doubt_until (jb_doubt_find (table, TASK)),
                   SENT_AT + JB_MAX_COMMAND_DELAY);
  talloc_free (table);
}

/* Of a start that was sent twice, one sending may still be carried out, and
   the run that is listed may be that of the other.  */
static void
test_resent (void)
{
  struct jb_doubt_table *table = table_with_starts (2);
  const struct jb_doubt *doubt = jb_doubt_find (table, TASK);
  jb_time resent_at = SENT_AT + 3 * JB_SECOND;

  jb_doubt_note_resent (table, TASK, RUN, "i-1", SENT_AT + JB_SECOND,
                        resent_at, false);
  CU_ASSERT_EQUAL (jb_doubt_until (doubt), resent_at + JB_MAX_COMMAND_DELAY);
  jb_doubt_answer (table, TASK, RUN, "i-1", SENT_AT, false);
  jb_doubt_settle (table, TASK, RUN, "i-1");
  CU_ASSERT_PTR_EQUAL (jb_doubt_find (table, TASK), doubt);
  CU_ASSERT_EQUAL (jb_doubt_get_entry (table, doubt).sent, 2);
  CU_ASSERT_FALSE (doubt->succeeded);
  jb_doubt_note_resent (table, TASK, RUN, "i-1", resent_at, resent_at, true);
  CU_ASSERT_TRUE (doubt->succeeded);
  talloc_free (table);
}

/* A run that is listed settles the only start of it.  */
static void
test_listed (void)
{
  struct jb_doubt_table *table = table_with_starts (1);

  jb_doubt_settle (table, TASK, RUN + 1, "i-1");
  jb_doubt_settle (table, TASK, RUN, "i-2");
  CU_ASSERT_PTR_NOT_NULL (jb_doubt_find (table, TASK));
  jb_doubt_settle (table, TASK, RUN, "i-1");
  CU_ASSERT_PTR_NULL (jb_doubt_find (table, TASK));
  talloc_free (table);
}

/* A start may turn out to have been sent twice after its run was listed.  */
static void
test_listed_in_flight (void)
{
  struct jb_doubt_table *table = table_with_starts (1);

  jb_doubt_send (jb_doubt_find (table, TASK), SENT_AT);
  jb_doubt_settle (table, TASK, RUN, "i-1");
  CU_ASSERT_PTR_NOT_NULL (jb_doubt_find (table, TASK));
  jb_doubt_note_result (table, TASK, RUN, "i-1", SENT_AT);
  jb_doubt_settle (table, TASK, RUN, "i-1");
  CU_ASSERT_PTR_NULL (jb_doubt_find (table, TASK));
  talloc_free (table);
}

/* Starts whose time is over don't count, but one that is listed doesn't settle
   those that are left: it may be the run of an expired one.  */
static void
test_expired_starts (void)
{
  struct jb_doubt_table *table = table_with_starts (JB_MAX_STARTS_IN_DOUBT);
  struct jb_doubt *doubt = jb_doubt_find (table, TASK);
  jb_time first_over = SENT_AT + JB_MAX_COMMAND_DELAY;

  jb_doubt_expire_starts (doubt, first_over - 1);
  CU_ASSERT_EQUAL (doubt->sent, JB_MAX_STARTS_IN_DOUBT);
  jb_doubt_expire_starts (doubt, first_over + 2 * JB_SECOND);
  CU_ASSERT_EQUAL (doubt->sent, JB_MAX_STARTS_IN_DOUBT - 3);
  jb_doubt_expire_starts (doubt, first_over + 60 * JB_SECOND);
  CU_ASSERT_EQUAL (doubt->sent, 1);
  jb_doubt_settle (table, TASK, RUN, "i-1");
  CU_ASSERT_PTR_NOT_NULL (jb_doubt_find (table, TASK));
  jb_doubt_answer (table, TASK, RUN, "i-1", SENT_AT, true);
  CU_ASSERT_PTR_NULL (jb_doubt_find (table, TASK));
  talloc_free (table);
}

/* Which of two starts has led to a run that is listed isn't known.  */
static void
test_listed_after_repeat (void)
{
  struct jb_doubt_table *table = table_with_starts (2);

  jb_doubt_settle (table, TASK, RUN, "i-1");
  CU_ASSERT_PTR_NOT_NULL (jb_doubt_find (table, TASK));
  /* A refused repeat has started nothing, so it is the first one's.  */
  jb_doubt_answer (table, TASK, RUN, "i-1", SENT_AT, false);
  jb_doubt_settle (table, TASK, RUN, "i-1");
  CU_ASSERT_PTR_NULL (jb_doubt_find (table, TASK));
  talloc_free (table);
}

/* An answer that belongs to a former run settles nothing.  */
static void
test_answer_of_former_run (void)
{
  struct jb_doubt_table *table = table_with_starts (1);
  struct jb_doubt *doubt = jb_doubt_find (table, TASK);

  doubt->run_closed = true;
  doubt = jb_doubt_add (table, TASK, RUN + 1, "i-1", SENT_AT);
  CU_ASSERT_FALSE (doubt->run_closed);
  CU_ASSERT_EQUAL (doubt->sent, 2);
  jb_doubt_answer (table, TASK, RUN, "i-1", SENT_AT, true);
  CU_ASSERT_EQUAL (doubt->sent, 2);
  talloc_free (table);
}

/* A start is in doubt until it can't be carried out any more; on a backend
   server that does not answer, until a run that it began at the last moment
   has ended.  */
static void
test_until (void)
{
  struct jb_doubt_table *table = table_with_starts (1);
  const struct jb_doubt *doubt = jb_doubt_find (table, TASK);
  jb_time until = SENT_AT + JB_MAX_COMMAND_DELAY;
  jb_time lease = jb_backend_lease_time (MAX_LEASE_MS);

  CU_ASSERT (lease > MAX_LEASE_MS * JB_MS * 102 / 100);
  CU_ASSERT_FALSE (
      jb_doubt_is_over (doubt, until - 1, until - 1, MAX_LEASE_MS, NULL));
  CU_ASSERT_FALSE (
      jb_doubt_is_over (doubt, until, until - 1, MAX_LEASE_MS, NULL));
  CU_ASSERT_TRUE (jb_doubt_is_over (doubt, until, until, MAX_LEASE_MS, NULL));
  CU_ASSERT_FALSE (
      jb_doubt_is_over (doubt, until + lease - 1, 0, MAX_LEASE_MS, NULL));
  CU_ASSERT_TRUE (
      jb_doubt_is_over (doubt, until + lease, 0, MAX_LEASE_MS, NULL));
  talloc_free (table);
}

/* A grant that was sent after the start extends the run that this began at the
   last moment, also once the grant itself can't be carried out any more.  */
static void
test_until_after_grant (void)
{
  struct jb_doubt_table *table = table_with_starts (1);
  const struct jb_doubt *doubt = jb_doubt_find (table, TASK);
  struct jb_lease *granted = jb_lease_new (NULL);
  jb_time granted_at = SENT_AT + 5 * JB_SECOND;
  jb_time end = granted_at + JB_MAX_COMMAND_DELAY + 4 * JB_SECOND;

  jb_lease_add_grant (granted, granted_at, 4 * JB_SECOND);
  CU_ASSERT_FALSE (
      jb_doubt_is_over (doubt, end - 1, 0, MAX_LEASE_MS, granted));
  jb_lease_remove_grant (
      granted, jb_lease_add_grant (
                   granted, granted_at + JB_MAX_COMMAND_DELAY + 1, JB_SECOND));
  CU_ASSERT_FALSE (
      jb_doubt_is_over (doubt, end - 1, 0, MAX_LEASE_MS, granted));
  CU_ASSERT_TRUE (jb_doubt_is_over (doubt, end, 0, MAX_LEASE_MS, granted));
  talloc_free (granted);
  talloc_free (table);
}

static bool
is_on (void *data, struct jb_doubt *doubt)
{
  return strcmp (doubt->instance, data) == 0;
}

static void
test_remove_if (void)
{
  struct jb_doubt_table *table = table_with_starts (1);

  jb_doubt_add (table, "0123456789abcdef.0.0.1", RUN, "i-2", SENT_AT);
  jb_doubt_visit (table, is_on, "i-1");
  CU_ASSERT_PTR_NULL (jb_doubt_find (table, TASK));
  CU_ASSERT_EQUAL (jb_doubt_count (table), 1);
  talloc_free (table);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "answered", test_answered },
          { "the answer to a repeat", test_repeat_answered },
          { "repeat refused", test_repeat_refused },
          { "starts whose time is over", test_expired_starts },
          { "sent twice", test_resent },
          { "listed in flight", test_listed_in_flight },
          { "listed", test_listed },
          { "listed after a repeat", test_listed_after_repeat },
          { "the answer to a former run", test_answer_of_former_run },
          { "until when", test_until },
          { "until when after a grant", test_until_after_grant },
          { "removal", test_remove_if },
          { NULL, NULL } };

  return dp_test_main ("starts in doubt", tests);
}
