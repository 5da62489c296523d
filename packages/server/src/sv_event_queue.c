#include "sv_event_queue.h"

#include "ba_ring.h"

#include <inttypes.h>
#include <stdatomic.h>

enum
{
  /* The upper bounds of the buckets are 1, 2, 4 ... 8192 ms; the last bucket
     has none.  */
  WAIT_BUCKET_COUNT = 15
};

/* What waits of one class.  */
struct class_queue
{
  struct ba_ring *ring;
  struct event *head; /* taken from the ring, or NULL; event loop only */
  _Atomic uint64_t refused_count;
  /* How long its events have waited; the buckets are not cumulative.  */
  _Atomic uint64_t wait_buckets[WAIT_BUCKET_COUNT];
  _Atomic uint64_t wait_sum_us;
};

struct sv_event_queue
{
  struct class_queue classes[EVENT_CLASS_COUNT];
  /* What goes before all classes, or NULL.  */
  _Atomic (struct event *) stop;
  _Atomic (struct event *) new_bounds;
  GQueue unsent_replies;    /* to commands that were not sent */
  uint32_t reserved_places; /* in the ring of replies */
  struct sv_event_shares shares;
};

/* Capacity of each ring.  Each call and each view belongs to a connection, of
   which the settings and MAX_CONTROL_CONNECTIONS allow fewer as a rule.  */
static const unsigned ring_capacities[EVENT_CLASS_COUNT]
    = { [EVENT_CLASS_REPLY] = SV_EVENT_QUEUE_MAX_COMMANDS + 1,
        [EVENT_CLASS_CALL] = 16384,
        [EVENT_CLASS_PEER] = 16384,
        [EVENT_CLASS_VIEW] = 64 };

static const char *const class_names[EVENT_CLASS_COUNT]
    = { [EVENT_CLASS_REPLY] = "replies",
        [EVENT_CLASS_CALL] = "calls",
        [EVENT_CLASS_PEER] = "peers",
        [EVENT_CLASS_VIEW] = "views" };

/* Return the class of events of TYPE, or EVENT_CLASS_COUNT for those that go
   before all classes.  */
static enum event_class
class_of (enum event_type type)
{
  switch (type)
    {
    case EVENT_CLIENT_CALL:
      return EVENT_CLASS_CALL;
    case EVENT_COMMAND_REPLY:
      return EVENT_CLASS_REPLY;
    case EVENT_PEER_MESSAGE:
      return EVENT_CLASS_PEER;
    case EVENT_VIEW_REQUEST:
      return EVENT_CLASS_VIEW;
    default:
      return EVENT_CLASS_COUNT;
    }
}

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

  for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
    queue->classes[i].ring
        = i == 0 ? ba_ring_new (queue, ring_capacities[i])
                 : ba_ring_new_beside (queue, ring_capacities[i],
                                       queue->classes[0].ring);
  g_queue_init (&queue->unsent_replies);
  talloc_set_destructor (queue, queue_destroy);
  return queue;
}

/* ---- any thread ---- */

void
sv_event_queue_wake (struct sv_event_queue *queue)
{
  ba_ring_wake (queue->classes[0].ring);
}

/* Queue a planned stop, unless one waits already.  */
static void
push_stop (struct sv_event_queue *queue, struct event *event)
{
  struct event *none = NULL;

  if (!atomic_compare_exchange_strong (&queue->stop, &none, event))
    talloc_free (event);
}

bool
sv_event_queue_push (struct sv_event_queue *queue, jb_time now,
                     struct event *event)
{
  enum event_class class = class_of (event->type);

  event->received_at = now;
  if (class == EVENT_CLASS_COUNT)
    {
      if (event->type == EVENT_STOP)
        push_stop (queue, event);
      else
        talloc_free (atomic_exchange (&queue->new_bounds, event));
      sv_event_queue_wake (queue);
      return true;
    }
  if (ba_ring_push (queue->classes[class].ring, event))
    return true;
  g_assert (class != EVENT_CLASS_REPLY);
  atomic_fetch_add (&queue->classes[class].refused_count, 1);
  talloc_free (event);
  return false;
}

/* ---- event loop ---- */

bool
sv_event_queue_reserve_reply (struct sv_event_queue *queue)
{
  if (queue->reserved_places == SV_EVENT_QUEUE_MAX_COMMANDS)
    return false;
  queue->reserved_places++;
  return true;
}

void
sv_event_queue_release_reply (struct sv_event_queue *queue)
{
  g_assert (queue->reserved_places > 0);
  queue->reserved_places--;
}

void
sv_event_queue_push_unsent (struct sv_event_queue *queue, jb_time now,
                            struct event *event)
{
  event->received_at = now;
  g_queue_push_tail (&queue->unsent_replies, event);
  sv_event_queue_wake (queue);
}

/* Return the oldest event in the ring of CLASS, or NULL.  */
static struct event *
peek (struct sv_event_queue *queue, enum event_class class)
{
  struct class_queue *waiting = &queue->classes[class];

  if (waiting->head == NULL)
    waiting->head = ba_ring_pop (waiting->ring);
  return waiting->head;
}

static struct event *
pop_class (struct sv_event_queue *queue, enum event_class class)
{
  struct event *event = peek (queue, class);

  queue->classes[class].head = NULL;
  if (event != NULL && class == EVENT_CLASS_REPLY)
    sv_event_queue_release_reply (queue);
  return event;
}

/* Return which one of replies and messages of peers has the oldest event.  A
   host that claims a pool must know what peers sent it before: a reply must
   not overtake that.  */
static enum event_class
choose_oldest (struct sv_event_queue *queue)
{
  const struct event *reply = peek (queue, EVENT_CLASS_REPLY);
  const struct event *message = peek (queue, EVENT_CLASS_PEER);

  return message != NULL
                 && (reply == NULL
                     || message->received_at < reply->received_at)
             ? EVENT_CLASS_PEER
             : EVENT_CLASS_REPLY;
}

struct event *
sv_event_queue_pop (struct sv_event_queue *queue)
{
  struct event *event = atomic_exchange (&queue->stop, NULL);
  bool waiting[EVENT_CLASS_COUNT];
  enum event_class class;

  if (event == NULL)
    event = atomic_exchange (&queue->new_bounds, NULL);
  if (event != NULL)
    return event;
  for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
    waiting[i] = sv_event_queue_count (queue, i) > 0;
  class = sv_event_shares_choose (&queue->shares, waiting);
  if (class == EVENT_CLASS_COUNT)
    return NULL;
  if (class == EVENT_CLASS_REPLY && queue->unsent_replies.length > 0)
    return g_queue_pop_head (&queue->unsent_replies);
  if (class == EVENT_CLASS_REPLY || class == EVENT_CLASS_PEER)
    class = choose_oldest (queue);
  return pop_class (queue, class);
}

void
sv_event_queue_record (struct sv_event_queue *queue, const struct event *event,
                       jb_time start, jb_time end)
{
  enum event_class class = class_of (event->type);
  jb_time wait = MAX (start - event->received_at, 0);
  unsigned bucket = 0;

  if (class == EVENT_CLASS_COUNT)
    return;
  while (bucket < WAIT_BUCKET_COUNT - 1 && wait > (JB_MS << bucket))
    bucket++;
  atomic_fetch_add_explicit (&queue->classes[class].wait_buckets[bucket], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&queue->classes[class].wait_sum_us,
                             (uint64_t)wait, memory_order_relaxed);
  sv_event_shares_charge (&queue->shares, class, end - start);
}

int
sv_event_queue_fd (const struct sv_event_queue *queue)
{
  return ba_ring_fd (queue->classes[0].ring);
}

void
sv_event_queue_reset_fd (struct sv_event_queue *queue)
{
  ba_ring_reset_fd (queue->classes[0].ring);
}

/* ---- counts ---- */

const char *sv_event_class_name (enum event_class class)
{
  return class_names[class];
}

unsigned
sv_event_queue_count (const struct sv_event_queue *queue,
                      enum event_class class)
{
  unsigned count = ba_ring_count (queue->classes[class].ring);

  count += queue->classes[class].head != NULL;

  if (class == EVENT_CLASS_REPLY)
    count += queue->unsent_replies.length;
  return count;
}

uint64_t
sv_event_queue_refused (const struct sv_event_queue *queue,
                        enum event_class class)
{
  return atomic_load (&queue->classes[class].refused_count);
}

uint64_t
sv_event_queue_dropped (const struct sv_event_queue *queue)
{
  uint64_t count = 0;

  for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
    count += sv_event_queue_refused (queue, i);
  return count;
}

/* Append to TEXT the histogram of how long events of CLASS have waited.  */
static char *
format_waits (char *text, const struct class_queue *class, const char *name)
{
  uint64_t cumulative_count = 0;

  for (unsigned i = 0; i < WAIT_BUCKET_COUNT; i++)
    {
      cumulative_count += atomic_load (&class->wait_buckets[i]);
      if (i < WAIT_BUCKET_COUNT - 1)
        text = talloc_asprintf_append_buffer (
            text,
            "dogwoodpulley_event_wait_seconds_bucket{class=\"%s\",le=\"%g\"} "
            "%" PRIu64 "\n",
            name, 0.001 * (1 << i), cumulative_count);
    }
  return talloc_asprintf_append_buffer (
      text,
      "dogwoodpulley_event_wait_seconds_bucket{class=\"%s\",le=\"+Inf\"} "
      "%" PRIu64 "\n"
      "dogwoodpulley_event_wait_seconds_sum{class=\"%s\"} %.6f\n"
      "dogwoodpulley_event_wait_seconds_count{class=\"%s\"} %" PRIu64 "\n",
      name, cumulative_count, name,
      (double)atomic_load (&class->wait_sum_us) / 1e6, name, cumulative_count);
}

char *
sv_event_queue_format_metrics (const struct sv_event_queue *queue,
                               TALLOC_CTX *mem)
{
  char *text
      = talloc_asprintf (mem,
                         "# TYPE dogwoodpulley_events_dropped_total counter\n"
                         "dogwoodpulley_events_dropped_total %" PRIu64 "\n"
                         "# TYPE dogwoodpulley_events_refused_total counter\n",
                         sv_event_queue_dropped (queue));

  for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
    if (i != EVENT_CLASS_REPLY)
      text = talloc_asprintf_append_buffer (
          text,
          "dogwoodpulley_events_refused_total{class=\"%s\"} %" PRIu64 "\n",
          class_names[i], sv_event_queue_refused (queue, i));
  text = talloc_strdup_append_buffer (
      text, "# TYPE dogwoodpulley_events_waiting gauge\n");
  for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
    text = talloc_asprintf_append_buffer (
        text, "dogwoodpulley_events_waiting{class=\"%s\"} %u\n",
        class_names[i], ba_ring_count (queue->classes[i].ring));
  text = talloc_strdup_append_buffer (
      text, "# TYPE dogwoodpulley_event_wait_seconds histogram\n");
  for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
    text = format_waits (text, &queue->classes[i], class_names[i]);
  return text;
}
