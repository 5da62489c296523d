#include "sv_event_queue.h"

#include "ba_ring.h"

#include <stdatomic.h>

enum
{
  RING_CAPACITY = 16384
};

struct sv_event_queue
{
  struct ba_ring *ring;
  _Atomic uint64_t dropped_count; /* because the ring was full */
};

/* Free the events that nobody will process.  */
static int
queue_destroy (struct sv_event_queue *queue)
{
  struct event *event;

  while ((event = sv_event_queue_pop (queue)) != NULL)
    talloc_free (event);
  return 0;
}

struct sv_event_queue *
sv_event_queue_new (TALLOC_CTX *mem)
{
  struct sv_event_queue *queue = talloc_zero (mem, struct sv_event_queue);

  queue->ring = ba_ring_new (queue, RING_CAPACITY);
  talloc_set_destructor (queue, queue_destroy);
  return queue;
}

bool
sv_event_queue_push (struct sv_event_queue *queue, jb_time now,
                     struct event *event)
{
  event->received_at = now;
  if (ba_ring_push (queue->ring, event))
    return true;
  atomic_fetch_add (&queue->dropped_count, 1);
  talloc_free (event);
  return false;
}

struct event *
sv_event_queue_pop (struct sv_event_queue *queue)
{
  return ba_ring_pop (queue->ring);
}

uint64_t
sv_event_queue_dropped (const struct sv_event_queue *queue)
{
  return atomic_load (&queue->dropped_count);
}

int
sv_event_queue_fd (const struct sv_event_queue *queue)
{
  return ba_ring_fd (queue->ring);
}

void
sv_event_queue_reset_fd (struct sv_event_queue *queue)
{
  ba_ring_reset_fd (queue->ring);
}

void
sv_event_queue_wake (struct sv_event_queue *queue)
{
  ba_ring_wake (queue->ring);
}
