/* Tests of the queue between the input/output threads and the event loop.
   They guard against a planned stop, new bounds or replies that are lost while
   clients or other hosts send more than this host can process, and against one
   kind of input that keeps the others waiting.  */

#include "sv_event_queue.h"

#include "dp_test.h"

#include <glib.h>

enum
{
  FLOOD_COUNT = 100000 /* more than any ring holds */
};

static struct event *
new_event (enum event_type type, uint64_t number)
{
  struct event *event = talloc_zero (NULL, struct event);

  event->type = type;
  event->number = number;
  return event;
}

static bool
push (struct sv_event_queue *queue, enum event_type type, uint64_t number)
{
  return sv_event_queue_push (queue, 0, new_event (type, number));
}

/* Push events of TYPE until they are refused.  Return how many were taken.  */
static unsigned
fill (struct sv_event_queue *queue, enum event_type type)
{
  unsigned count = 0;

  while (count < FLOOD_COUNT && push (queue, type, count))
    count++;
  CU_ASSERT_TRUE (count < FLOOD_COUNT);
  return count;
}

/* Pop an event.  Return its type, or -1 if there is none.  */
static int
pop_type (struct sv_event_queue *queue)
{
  struct event *event = sv_event_queue_pop (queue);
  int type = event != NULL ? (int)event->type : -1;

  talloc_free (event);
  return type;
}

/* A planned stop that is lost never begins, and the process is killed at the
   end of its grace period with the calls that it has read.  */
static void
test_stop_is_kept (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);

  fill (queue, EVENT_PEER_MESSAGE);
  fill (queue, EVENT_CLIENT_CALL);
  CU_ASSERT_TRUE (push (queue, EVENT_STOP, 0));
  CU_ASSERT_EQUAL (pop_type (queue), EVENT_STOP);
  talloc_free (queue);
}

static void
test_new_bounds_are_kept (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);

  fill (queue, EVENT_PEER_MESSAGE);
  fill (queue, EVENT_CLIENT_CALL);
  CU_ASSERT_TRUE (push (queue, EVENT_NEW_BOUNDS, 0));
  CU_ASSERT_EQUAL (pop_type (queue), EVENT_NEW_BOUNDS);
  talloc_free (queue);
}

/* Other hosts that send too much must not keep clients out, nor the other way
   round.  */
static void
test_full_ring_of_others (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);

  fill (queue, EVENT_PEER_MESSAGE);
  CU_ASSERT_TRUE (push (queue, EVENT_CLIENT_CALL, 1));
  CU_ASSERT_TRUE (push (queue, EVENT_VIEW_REQUEST, 1));
  CU_ASSERT_FALSE (push (queue, EVENT_PEER_MESSAGE, 1));
  fill (queue, EVENT_CLIENT_CALL);
  CU_ASSERT_EQUAL (sv_event_queue_dropped (queue), 3);
  talloc_free (queue);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a stop is kept when the queue is full", test_stop_is_kept },
          { "new bounds are kept when the queue is full",
            test_new_bounds_are_kept },
          { "a full ring of one class leaves room for others",
            test_full_ring_of_others },
          { NULL, NULL } };

  return dp_test_main ("sv_event_queue", tests);
}
