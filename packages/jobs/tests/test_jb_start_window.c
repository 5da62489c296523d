#include "jb_start_window.h"

#include "dp_test.h"

#include <glib.h>

/* Guards against starts that are decided on faster than they can be sent, so
   that most of them are too late.  */

enum
{
  MAX_QUEUE = 4096
};

/* Sends one start each COST; a start that has waited for longer than LIFETIME
   takes as long, and is late.  */
#define COST (2 * JB_MS)
#define LIFETIME (500 * JB_MS)
#define DURATION (20 * JB_SECOND)

struct sender
{
  jb_time queue[MAX_QUEUE]; /* when each was submitted */
  uint32_t head;
  uint32_t count;
  uint32_t in_time;
  uint32_t late;
};

/* Submit as many starts as there is room for, but at most LIMIT.  */
static void
submit (struct sender *sender, struct jb_start_window *window, jb_time now,
        uint32_t limit)
{
  uint32_t room = MIN (jb_start_window_room (window), limit);

  for (; room > 0 && sender->count < MAX_QUEUE; room--)
    {
      sender->queue[(sender->head + sender->count++) % MAX_QUEUE] = now;
      jb_start_window_add (window);
    }
}

static void
send_next (struct sender *sender, struct jb_start_window *window, jb_time now)
{
  jb_time submitted_at;
  bool is_late;

  if (sender->count == 0)
    return;
  submitted_at = sender->queue[sender->head];
  sender->head = (sender->head + 1) % MAX_QUEUE;
  sender->count--;
  is_late = now - submitted_at > LIFETIME;
  sender->late += is_late;
  sender->in_time += !is_late;
  jb_start_window_remove (window, now, submitted_at, is_late);
}

/* More starts wait than can be sent: nearly all that are sent are in time, and
   the sender is never idle.  */
static void
test_more_than_can_be_sent (void)
{
  static struct sender sender;
  struct jb_start_window window = { 0 };

  for (jb_time now = COST; now <= DURATION; now += COST)
    {
      submit (&sender, &window, now, 200);
      send_next (&sender, &window, now);
    }
  CU_ASSERT_EQUAL (sender.in_time + sender.late, DURATION / COST);
  CU_ASSERT (sender.late < sender.in_time / 10);
}

/* Starts in flight stay far below the limit: they are not held up.  */
static void
test_few_starts (void)
{
  static struct sender sender;
  struct jb_start_window window = { 0 };

  for (jb_time now = COST; now <= DURATION; now += COST)
    {
      submit (&sender, &window, now, 1);
      CU_ASSERT_EQUAL (window.in_flight, 1);
      send_next (&sender, &window, now);
    }
  CU_ASSERT_EQUAL (sender.late, 0);
  CU_ASSERT (jb_start_window_room (&window) >= 250);
}

/* Starts that were in flight together halve the limit once.  */
static void
test_late_together (void)
{
  struct jb_start_window window = { 0 };

  for (int i = 0; i < 100; i++)
    jb_start_window_add (&window);
  for (int i = 0; i < 100; i++)
    jb_start_window_remove (&window, JB_SECOND + i, JB_MS, true);
  CU_ASSERT_EQUAL (jb_start_window_room (&window), 50);
  jb_start_window_add (&window);
  jb_start_window_remove (&window, 3 * JB_SECOND, 2 * JB_SECOND, true);
  CU_ASSERT_EQUAL (jb_start_window_room (&window), 8);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "more starts than can be sent", test_more_than_can_be_sent },
          { "few starts", test_few_starts },
          { "starts that are late together", test_late_together },
          { NULL, NULL } };

  return dp_test_main ("starts in flight", tests);
}
