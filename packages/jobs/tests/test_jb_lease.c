/* Test of the bound of a backend server's lease.  Each end that is later than
   the bound would be two runs of a task at the same time.  */

#include "dp_test.h"
#include "jb_doubt.h"
#include "jb_lease.h"

#include <glib.h>

#define SENT_AT (100 * JB_SECOND)
#define LENGTH (3500 * JB_MS)
#define SHORT_LENGTH (500 * JB_MS)

/* The exhaustive search: its grants are sent in SEND_STEP, and each is carried
   out at one of ARRIVALS times or is lost.  */
#define SEND_STEP (1500 * JB_MS)
#define LATE_STEP (4000 * JB_MS)

enum
{
  MAX_GRANTS = 4,
  SENDINGS = 4,    /* multiples of SEND_STEP at which a grant is sent */
  ARRIVALS = 6,    /* multiples of LATE_STEP, and JB_MAX_COMMAND_DELAY; lost */
  ANSWER_KINDS = 3 /* none, at once, when the owner no longer stands still */
};

/* An owner that stands still reads all answers at this time.  */
#define READ_AT (SENT_AT + SENDINGS * SEND_STEP + JB_SECOND)

/* A grant of the search, and what becomes of it.  */
struct course
{
  jb_time sent_at;
  jb_time length;
  jb_time arrives_at; /* 0: it is lost */
  jb_time read_at;    /* when the owner reads its answer; 0: never */
  uint64_t number;
};

/* Nothing was granted.  */
static void
test_no_grant (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);

  CU_ASSERT_EQUAL (jb_lease_end (lease, 0), 0);
  CU_ASSERT_EQUAL (jb_lease_end (lease, SENT_AT), SENT_AT);
  CU_ASSERT_EQUAL (jb_lease_waiting_since (lease, SENT_AT), 0);
  talloc_free (lease);
}

/* A lease that was answered lasts for its length from the answer.  */
static void
test_answered (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);
  uint64_t number = jb_lease_add_grant (lease, SENT_AT, LENGTH);

  jb_lease_answer (lease, number, SENT_AT + JB_MS);
  CU_ASSERT_EQUAL (jb_lease_end (lease, 0), SENT_AT + JB_MS + LENGTH);
  CU_ASSERT_EQUAL (jb_lease_waiting_since (lease, SENT_AT), 0);
  talloc_free (lease);
}

/* A grant without an answer extends the lease at its end, however late an
   owner looks.  */
static void
test_unanswered (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);
  jb_time confirmed = SENT_AT + JB_SECOND;

  jb_lease_confirm (lease, confirmed);
  jb_lease_add_grant (lease, SENT_AT, LENGTH);
  CU_ASSERT_EQUAL (jb_lease_end (lease, 0), confirmed + LENGTH);
  CU_ASSERT_EQUAL (jb_lease_waiting_since (lease, SENT_AT), SENT_AT);
  CU_ASSERT_EQUAL (
      jb_lease_waiting_since (lease, SENT_AT + JB_MAX_COMMAND_DELAY + 1), 0);
  talloc_free (lease);
}

/* A grant can't be carried out after JB_MAX_COMMAND_DELAY.  */
static void
test_latest_arrival (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);

  jb_lease_add_grant (lease, SENT_AT, LENGTH);
  CU_ASSERT_EQUAL (jb_lease_end (lease, SENT_AT + 20 * JB_SECOND),
                   SENT_AT + 20 * JB_SECOND);
  CU_ASSERT_EQUAL (jb_lease_end (lease, SENT_AT + JB_MAX_COMMAND_DELAY),
                   SENT_AT + JB_MAX_COMMAND_DELAY + LENGTH);
  talloc_free (lease);
}

/* The backend server answers another command: the grant before may have been
   carried out, and may not have been.  */
static void
test_other_answer (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);
  jb_time answered_at = SENT_AT + 5 * JB_SECOND;

  jb_lease_confirm (lease, SENT_AT + JB_SECOND);
  jb_lease_add_grant (lease, SENT_AT, LENGTH);
  jb_lease_answer (lease, 0, answered_at);
  CU_ASSERT_EQUAL (jb_lease_confirmed_until (lease), answered_at + LENGTH);
  CU_ASSERT_EQUAL (jb_lease_end (lease, 0), answered_at + 2 * LENGTH);
  talloc_free (lease);
}

/* A grant that was not sent extends nothing.  */
static void
test_not_sent (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);

  jb_lease_confirm (lease, SENT_AT);
  jb_lease_remove_grant (lease, jb_lease_add_grant (lease, SENT_AT, LENGTH));
  CU_ASSERT_EQUAL (jb_lease_end (lease, 0), SENT_AT);
  talloc_free (lease);
}

/* Dropping grants that have expired does not shorten the chain.  */
static void
test_expired (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);
  jb_time later = SENT_AT + 12 * JB_SECOND;
  jb_time end;

  jb_lease_confirm (lease, SENT_AT + 11 * JB_SECOND);
  jb_lease_add_grant (lease, SENT_AT, LENGTH);
  jb_lease_add_grant (lease, later, SHORT_LENGTH);
  end = jb_lease_end (lease, 0);
  CU_ASSERT_EQUAL (end, SENT_AT + 11 * JB_SECOND + LENGTH + SHORT_LENGTH);
  jb_lease_remove_grant (
      lease, jb_lease_add_grant (lease, later + JB_SECOND, LENGTH));
  CU_ASSERT_EQUAL (jb_lease_end (lease, 0), end);
  talloc_free (lease);
}

/* After a restart, grants without an answer may last longer; the order of
   their latest ends changes with that.  */
static void
test_lengthened (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);
  jb_time confirmed = SENT_AT + 12 * JB_SECOND;

  jb_lease_confirm (lease, confirmed);
  jb_lease_add_grant (lease, SENT_AT, LENGTH);
  jb_lease_add_grant (lease, SENT_AT + JB_SECOND, SHORT_LENGTH);
  jb_lease_lengthen (lease, LENGTH);
  CU_ASSERT_EQUAL (jb_lease_end (lease, 0),
                   SENT_AT + JB_SECOND + JB_MAX_COMMAND_DELAY + LENGTH);
  talloc_free (lease);
}

/* ---- the exhaustive search ---- */

static int
compare_arrivals (const void *a, const void *b)
{
  const struct course *left = *(struct course *const *)a;
  const struct course *right = *(struct course *const *)b;

  return left->arrives_at < right->arrives_at   ? -1
         : left->arrives_at > right->arrives_at ? 1
                                                : 0;
}

/* Return the end of the lease that lasts until END once the grants COURSES
   have been carried out.  */
static jb_time
actual_end (const struct course *courses, uint32_t count, jb_time end)
{
  const struct course *order[MAX_GRANTS];

  for (uint32_t i = 0; i < count; i++)
    order[i] = &courses[i];
  qsort (order, count, sizeof (const struct course *), compare_arrivals);
  for (uint32_t i = 0; i < count; i++)
    if (order[i]->arrives_at != 0 && order[i]->arrives_at <= end)
      end = MAX (end, order[i]->arrives_at + order[i]->length);
  return end;
}

/* Let an owner see COURSES in the order of the times, with a lease that was
   confirmed until END.  Return its bound.  */
static jb_time
bounded_end (struct course *courses, uint32_t count, jb_time end)
{
  struct jb_lease *lease = jb_lease_new (NULL);
  jb_time last = READ_AT + JB_MAX_COMMAND_DELAY;
  jb_time bound;

  jb_lease_confirm (lease, end);
  for (jb_time now = SENT_AT; now <= last; now += 500 * JB_MS)
    {
      for (uint32_t i = 0; i < count; i++)
        if (courses[i].sent_at == now)
          courses[i].number
              = jb_lease_add_grant (lease, now, courses[i].length);
      for (uint32_t i = 0; i < count; i++)
        if (courses[i].read_at == now)
          jb_lease_answer (lease, courses[i].number, now);
    }
  bound = jb_lease_end (lease, 0);
  talloc_free (lease);
  return bound;
}

/* Let COURSE be the CHOICE-th one for a grant.  Return whether it exists: only
   a grant that was carried out is answered.  */
static bool
choose_course (struct course *course, uint32_t choice)
{
  uint32_t arrival = choice % ARRIVALS;
  uint32_t sending = choice / ARRIVALS % SENDINGS;
  uint32_t answer = choice / ARRIVALS / SENDINGS % ANSWER_KINDS;
  uint32_t length = choice / ARRIVALS / SENDINGS / ANSWER_KINDS;
  jb_time delay = MIN (arrival * LATE_STEP, JB_MAX_COMMAND_DELAY);

  course->sent_at = SENT_AT + sending * SEND_STEP;
  course->length = length == 0 ? LENGTH : SHORT_LENGTH;
  course->arrives_at = arrival == ARRIVALS - 1 ? 0 : course->sent_at + delay;
  course->read_at = answer == 0 ? 0 : answer == 1 ? course->sent_at : READ_AT;
  if (answer == 0)
    return true;
  return course->arrives_at != 0 && course->arrives_at <= course->read_at;
}

/* Compare the bound with the actual end for all courses of COUNT grants.
   Return how many were compared.  */
static uint32_t
search (uint32_t count)
{
  static const jb_time confirmed[]
      = { SENT_AT, SENT_AT + 2 * JB_SECOND, SENT_AT + 12 * JB_SECOND };
  const uint32_t choices = ARRIVALS * SENDINGS * ANSWER_KINDS * 2;
  uint32_t total = 1;
  uint32_t compared = 0;
  uint32_t exceeded = 0;

  for (uint32_t i = 0; i < count; i++)
    total *= choices;
  for (uint32_t all = 0; all < total; all++)
    {
      struct course courses[MAX_GRANTS];
      uint32_t rest = all;
      bool exists = true;

      for (uint32_t i = 0; exists && i < count; i++)
        {
          exists = choose_course (&courses[i], rest % choices);
          rest /= choices;
          /* The order of the grants among themselves does not matter.  */
          exists = exists
                   && (i == 0 || courses[i].sent_at >= courses[i - 1].sent_at);
        }
      for (uint32_t i = 0; exists && i < G_N_ELEMENTS (confirmed); i++)
        {
          compared++;
          exceeded += actual_end (courses, count, confirmed[i])
                      > bounded_end (courses, count, confirmed[i]);
        }
    }
  CU_ASSERT_EQUAL (exceeded, 0);
  return compared;
}

/* No order of arrivals and answers ends a lease after the bound.  */
static void
test_all_orders (void)
{
  CU_ASSERT (search (1) > 0);
  CU_ASSERT (search (2) > 0);
  CU_ASSERT (search (3) > 0);
}

/* A grant that was sent again may be carried out later by as much.  */
static void
test_resent (void)
{
  struct jb_lease *lease = jb_lease_new (NULL);
  jb_time resent_at = SENT_AT + JB_SECOND;
  uint64_t number = jb_lease_add_grant (lease, SENT_AT, LENGTH);

  jb_lease_resend (lease, number, resent_at);
  CU_ASSERT_EQUAL (
      jb_lease_waiting_since (lease, SENT_AT + JB_MAX_COMMAND_DELAY + 1),
      resent_at);
  CU_ASSERT_EQUAL (
      jb_lease_waiting_since (lease, resent_at + JB_MAX_COMMAND_DELAY + 1), 0);
  jb_lease_resend (lease, number + 1, resent_at + JB_SECOND);
  CU_ASSERT_EQUAL (jb_lease_waiting_since (lease, resent_at), resent_at);
  talloc_free (lease);
}

/* The bound is not wider than needed: some order of three grants without
   answers reaches it.  */
static void
test_reached (void)
{
  struct course courses[]
      = { { .sent_at = SENT_AT, .length = LENGTH },
          { .sent_at = SENT_AT, .length = SHORT_LENGTH },
          { .sent_at = SENT_AT + SEND_STEP, .length = SHORT_LENGTH } };
  jb_time confirmed = SENT_AT + 12 * JB_SECOND;
  jb_time bound = bounded_end (courses, 3, confirmed);

  courses[0].arrives_at = SENT_AT + JB_MAX_COMMAND_DELAY;
  courses[1].arrives_at = confirmed;
  courses[2].arrives_at = courses[2].sent_at + JB_MAX_COMMAND_DELAY;
  CU_ASSERT_EQUAL (actual_end (courses, 3, confirmed), bound);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "no grant", test_no_grant },
          { "answered", test_answered },
          { "unanswered", test_unanswered },
          { "the latest arrival", test_latest_arrival },
          { "the answer to another command", test_other_answer },
          { "not sent", test_not_sent },
          { "expired grants", test_expired },
          { "lengthened grants", test_lengthened },
          { "sent again", test_resent },
          { "all orders", test_all_orders },
          { "the bound is reached", test_reached },
          { NULL, NULL } };

  return dp_test_main ("leases", tests);
}
