#ifndef SV_EVENT_QUEUE_H
#define SV_EVENT_QUEUE_H

/* The queue of input for the decision code, between the threads that read and
   write (clients, admin, peers, HTTP client, main) and the event loop.

   A planned stop and new bounds come first, and are never dropped: of each,
   one may wait, the first stop and the newest bounds.

   Everything else waits in a ring for each class, of which sv_event_shares
   chooses the next.  Replies to commands are never dropped: before the event
   loop sends a command, it reserves the place of the reply, and doesn't send
   it if there is none.  Clients' calls, messages of peers and views that find
   their ring full are refused and counted.

   Order: replies to commands and messages of peers keep the order in which
   they arrived, since a host that claims a pool must know what it was told
   before.  Else the events of one class from one thread keep theirs, and
   between classes there is none: a message of a peer may be processed after a
   call or a stop that came later, as if the network had held it up, and a view
   or a stop before what came earlier.

   Expected load: some thousand events a second, at 10 us to 100 ms of
   processing time each.  While the event loop is late, a second of it brings
   up to 10,000 replies to an owner and as many messages to a coordinator in
   the largest fleet.  The rings take 0.8 MB.

   `push' is called by any thread, and all else, but for the counts, by the
   event loop alone.  */

#include "ba_bytes.h"
#include "jb_driver.h"
#include "jb_frontend.h"
#include "jb_view.h"
#include "sv_event_shares.h"

enum event_type
{
  EVENT_CLIENT_CALL,
  EVENT_COMMAND_REPLY,
  EVENT_PEER_MESSAGE,
  EVENT_VIEW_REQUEST,
  EVENT_STOP,
  EVENT_NEW_BOUNDS
};

enum
{
  /* Commands whose replies can wait at the same time.  */
  SV_EVENT_QUEUE_MAX_COMMANDS = 65535
};

/* Input of the decision code, queued for the event loop; a talloc chunk
   without parent.  Only the members that belong to the type are set.  */
struct event
{
  enum event_type type;
  /* Number of the call or command, or incarnation of the sending member.  */
  uint64_t number;
  struct jb_call call;
  struct jb_reply reply;
  struct ba_bytes message; /* from a peer */
  struct jb_bounds bounds;
  enum jb_view_topic topic;
  char *job_id;        /* for a view of one job, or NULL */
  jb_time received_at; /* when it was queued */
};

struct sv_event_queue;

/* Return a new queue, owned by MEM.  */
struct sv_event_queue *sv_event_queue_new (TALLOC_CTX *mem);

/* Queue EVENT, which has arrived at the time NOW, and take it over.  Return
   false, having freed it, when there is no room, which happens only to the
   classes that are refused.  A reply needs a reserved place.  Any thread.  */
bool sv_event_queue_push (struct sv_event_queue *queue, jb_time now,
                          struct event *event);

/* Reserve the place of the reply to a command that is about to be sent, until
   the reply is popped.  Return false if SV_EVENT_QUEUE_MAX_COMMANDS are
   reserved.  Release a place of a command that was not sent after all.  */
bool sv_event_queue_reserve_reply (struct sv_event_queue *queue);
void sv_event_queue_release_reply (struct sv_event_queue *queue);

/* Queue EVENT, the reply to a command that was not sent, without a place.  */
void sv_event_queue_push_unsent (struct sv_event_queue *queue, jb_time now,
                                 struct event *event);

/* Remove and return the next event, which is then the caller's, or return NULL
   if there is none.  */
struct event *sv_event_queue_pop (struct sv_event_queue *queue);

/* Record that EVENT was processed from START to END.  */
void sv_event_queue_record (struct sv_event_queue *queue,
                            const struct event *event, jb_time start,
                            jb_time end);

/* Return the name of CLASS in metrics and logs, a static string.  */
const char *sv_event_class_name (enum event_class class);

/* Return how many events of CLASS wait.  */
unsigned sv_event_queue_count (const struct sv_event_queue *queue,
                               enum event_class class);

/* Return how many events of CLASS, or of all classes, were refused because
   there was no room.  Any thread.  */
uint64_t sv_event_queue_refused (const struct sv_event_queue *queue,
                                 enum event_class class);
uint64_t sv_event_queue_dropped (const struct sv_event_queue *queue);

/* Return the metrics of the queue, owned by MEM.  Any thread.  */
char *sv_event_queue_format_metrics (const struct sv_event_queue *queue,
                                     TALLOC_CTX *mem);

/* The file descriptor that becomes readable when there are events; as in
   ba_ring.h.  `wake' is called by any thread.  */
int sv_event_queue_fd (const struct sv_event_queue *queue);
void sv_event_queue_reset_fd (struct sv_event_queue *queue);
void sv_event_queue_wake (struct sv_event_queue *queue);

#endif
