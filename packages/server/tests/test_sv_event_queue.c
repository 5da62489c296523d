/* Tests of the queue between the input/output threads and the event loop.
   They guard against a planned stop, new bounds or replies that are lost while
   clients or other hosts send more than this host can process, and against one
   kind of input that keeps the others waiting.  */

#include "sv_event_queue.h"

#include "dp_test.h"

#include <glib.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>

enum
{
  FLOOD_COUNT = 100000, /* more than any ring holds */
  PUSHES_PER_THREAD = 50000
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

/* A command whose reply is lost stays in flight for ever, and with it the
   watch of the configuration or the list of the backend servers.  */
static void
test_replies_are_kept (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);
  unsigned reserved = 0;
  unsigned replies = 0;
  int type;

  fill (queue, EVENT_PEER_MESSAGE);
  while (reserved <= FLOOD_COUNT && sv_event_queue_reserve_reply (queue))
    reserved++;
  CU_ASSERT_EQUAL (reserved, SV_EVENT_QUEUE_MAX_COMMANDS);
  for (unsigned i = 0; i < reserved; i++)
    CU_ASSERT_TRUE_FATAL (push (queue, EVENT_COMMAND_REPLY, i));
  sv_event_queue_push_unsent (queue, 0, new_event (EVENT_COMMAND_REPLY, 0));
  while ((type = pop_type (queue)) >= 0)
    replies += type == EVENT_COMMAND_REPLY;
  CU_ASSERT_EQUAL (replies, SV_EVENT_QUEUE_MAX_COMMANDS + 1);
  CU_ASSERT_TRUE (sv_event_queue_reserve_reply (queue));
  sv_event_queue_release_reply (queue);
  talloc_free (queue);
}

/* Of settings that are loaded while the event loop is late, the last ones must
   be in force; a second signal must not put off the stop.  */
static void
test_repeated_control_events (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);
  struct event *event;

  push (queue, EVENT_NEW_BOUNDS, 1);
  push (queue, EVENT_STOP, 1);
  push (queue, EVENT_NEW_BOUNDS, 2);
  push (queue, EVENT_STOP, 2);
  event = sv_event_queue_pop (queue);
  CU_ASSERT_EQUAL (event->type, EVENT_STOP);
  CU_ASSERT_EQUAL (event->number, 1);
  talloc_free (event);
  event = sv_event_queue_pop (queue);
  CU_ASSERT_EQUAL (event->type, EVENT_NEW_BOUNDS);
  CU_ASSERT_EQUAL (event->number, 2);
  talloc_free (event);
  CU_ASSERT_EQUAL (pop_type (queue), -1);
  talloc_free (queue);
}

/* A call must not wait behind thousands of peer messages, nor a heartbeat
   behind thousands of calls, and each class must keep its order: a heartbeat
   tells that what its sender sent before has been processed.  */
static void
test_classes_take_turns (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);
  uint64_t next[EVENT_NEW_BOUNDS + 1] = { 0 };
  bool ordered = true;
  struct event *event;

  for (unsigned i = 0; i < 5000; i++)
    push (queue, EVENT_PEER_MESSAGE, i);
  for (unsigned i = 0; i < 50; i++)
    push (queue, EVENT_CLIENT_CALL, i);
  for (jb_time now = 0; next[EVENT_CLIENT_CALL] < 50; now += JB_MS)
    {
      event = sv_event_queue_pop (queue);
      ordered = ordered && event->number == next[event->type]++;
      sv_event_queue_record (queue, event, now, now + JB_MS);
      talloc_free (event);
    }
  CU_ASSERT_TRUE (ordered);
  CU_ASSERT_TRUE (next[EVENT_PEER_MESSAGE] >= 49);
  CU_ASSERT_TRUE (next[EVENT_PEER_MESSAGE] <= 51);
  talloc_free (queue);
}

/* A host that claims a pool reads replies of the store.  It must know what
   peers had told it before them of starts in doubt, or tasks would run
   twice.  */
static void
test_replies_keep_place_among_messages (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);
  jb_time last = 0;
  bool ordered = true;

  for (unsigned i = 0; i < 1000; i++)
    if (i % 10 == 9)
      {
        CU_ASSERT_TRUE_FATAL (sv_event_queue_reserve_reply (queue));
        sv_event_queue_push (queue, i + 1, new_event (EVENT_COMMAND_REPLY, i));
      }
    else
      sv_event_queue_push (queue, i + 1, new_event (EVENT_PEER_MESSAGE, i));
  for (unsigned i = 0; i < 1000; i++)
    {
      struct event *event = sv_event_queue_pop (queue);

      CU_ASSERT_PTR_NOT_NULL_FATAL (event);
      ordered = ordered && event->received_at > last;
      last = event->received_at;
      sv_event_queue_record (queue, event, 0, JB_MS);
      talloc_free (event);
    }
  CU_ASSERT_TRUE (ordered);
  talloc_free (queue);
}

/* An event of any class must wake the event loop.  */
static void
test_wake_up (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);
  struct pollfd p = { .fd = sv_event_queue_fd (queue), .events = POLLIN };

  for (unsigned type = 0; type <= EVENT_NEW_BOUNDS; type++)
    {
      CU_ASSERT_EQUAL (poll (&p, 1, 0), 0);
      if (type == EVENT_COMMAND_REPLY)
        sv_event_queue_reserve_reply (queue);
      push (queue, type, 0);
      CU_ASSERT_EQUAL (poll (&p, 1, 0), 1);
      sv_event_queue_reset_fd (queue);
    }
  sv_event_queue_push_unsent (queue, 0, new_event (EVENT_COMMAND_REPLY, 0));
  CU_ASSERT_EQUAL (poll (&p, 1, 0), 1);
  talloc_free (queue);
}

static void
test_metrics (void)
{
  struct sv_event_queue *queue = sv_event_queue_new (NULL);
  struct event *event;
  char *text;

  fill (queue, EVENT_CLIENT_CALL);
  event = sv_event_queue_pop (queue);
  sv_event_queue_record (queue, event, 3 * JB_MS, 4 * JB_MS);
  talloc_free (event);
  text = sv_event_queue_format_metrics (queue, queue);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "dogwoodpulley_events_dropped_total 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text, "dogwoodpulley_events_refused_total{class=\"calls\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "dogwoodpulley_events_waiting{class=\"calls\"} 16382\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "_wait_seconds_bucket{class=\"calls\",le=\"0.002\"} 0\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "_wait_seconds_bucket{class=\"calls\",le=\"0.004\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "_wait_seconds_sum{class=\"calls\"} 0.003000\n"));
  talloc_free (queue);
}

/* Threads push each class while the event loop pops: what is neither refused
   nor popped is lost.  */
static struct sv_event_queue *shared_queue;
static _Atomic unsigned taken_count;
static _Atomic unsigned running_count;

static gpointer
push_many (gpointer data)
{
  enum event_type type = GPOINTER_TO_UINT (data);

  for (unsigned i = 0; i < PUSHES_PER_THREAD; i++)
    atomic_fetch_add (&taken_count, push (shared_queue, type, i));
  push (shared_queue, EVENT_STOP, type);
  push (shared_queue, EVENT_NEW_BOUNDS, type);
  atomic_fetch_sub (&running_count, 1);
  return NULL;
}

static void
test_many_threads (void)
{
  static const enum event_type types[]
      = { EVENT_CLIENT_CALL, EVENT_PEER_MESSAGE, EVENT_VIEW_REQUEST,
          EVENT_COMMAND_REPLY };
  GThread *threads[G_N_ELEMENTS (types)];
  uint64_t next[EVENT_NEW_BOUNDS + 1] = { 0 };
  unsigned popped = 0;
  unsigned stops = 0;
  unsigned bounds = 0;
  bool ordered = true;
  bool ended = false;

  shared_queue = sv_event_queue_new (NULL);
  for (unsigned i = 0; i < PUSHES_PER_THREAD; i++)
    sv_event_queue_reserve_reply (shared_queue);
  atomic_store (&running_count, G_N_ELEMENTS (types));
  for (unsigned i = 0; i < G_N_ELEMENTS (types); i++)
    threads[i] = g_thread_new ("push", push_many, GUINT_TO_POINTER (types[i]));
  while (!ended)
    {
      struct event *event;

      /* What was pushed before the last thread ended is popped below.  */
      ended = atomic_load (&running_count) == 0;
      while ((event = sv_event_queue_pop (shared_queue)) != NULL)
        {
          if (event->type == EVENT_STOP)
            stops++;
          else if (event->type == EVENT_NEW_BOUNDS)
            bounds++;
          else
            {
              /* Numbers of events that were refused are missing.  */
              ordered = ordered && event->number >= next[event->type];
              next[event->type] = event->number + 1;
              popped++;
            }
          sv_event_queue_record (shared_queue, event, 0, 10);
          talloc_free (event);
        }
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (types); i++)
    g_thread_join (threads[i]);
  CU_ASSERT_TRUE (ordered);
  CU_ASSERT_EQUAL (popped, atomic_load (&taken_count));
  CU_ASSERT_EQUAL (popped + sv_event_queue_dropped (shared_queue),
                   PUSHES_PER_THREAD * G_N_ELEMENTS (types));
  CU_ASSERT_EQUAL (next[EVENT_COMMAND_REPLY], PUSHES_PER_THREAD);
  CU_ASSERT_TRUE (stops >= 1 && stops <= G_N_ELEMENTS (types));
  CU_ASSERT_TRUE (bounds >= 1 && bounds <= G_N_ELEMENTS (types));
  talloc_free (shared_queue);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "a stop is kept when the queue is full", test_stop_is_kept },
    { "new bounds are kept when the queue is full", test_new_bounds_are_kept },
    { "a full ring of one class leaves room for others",
      test_full_ring_of_others },
    { "replies are kept when the queue is full", test_replies_are_kept },
    { "repeated stops and bounds", test_repeated_control_events },
    { "classes take turns and keep their order", test_classes_take_turns },
    { "replies keep their place among messages",
      test_replies_keep_place_among_messages },
    { "each event wakes the event loop", test_wake_up },
    { "metrics", test_metrics },
    { "many threads", test_many_threads },
    { NULL, NULL }
  };

  return dp_test_main ("sv_event_queue", tests);
}
