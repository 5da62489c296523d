#ifndef SV_EVENT_QUEUE_H
#define SV_EVENT_QUEUE_H

/* The queue of input for the decision code, between the threads that read and
   write (clients, admin, peers, HTTP client, main) and the event loop.  */

#include "ba_bytes.h"
#include "jb_driver.h"
#include "jb_frontend.h"
#include "jb_view.h"

enum event_type
{
  EVENT_CLIENT_CALL,
  EVENT_COMMAND_REPLY,
  EVENT_PEER_MESSAGE,
  EVENT_VIEW_REQUEST,
  EVENT_STOP,
  EVENT_NEW_BOUNDS
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
  jb_time grace; /* of a planned stop */
  enum jb_view_topic topic;
  char *job_id;        /* for a view of one job, or NULL */
  jb_time received_at; /* when it was queued */
};

struct sv_event_queue;

/* Return a new queue, owned by MEM.  */
struct sv_event_queue *sv_event_queue_new (TALLOC_CTX *mem);

/* Queue EVENT, which has arrived at the time NOW, and take it over.  Return
   false, having freed it, when there is no room.  Any thread.  */
bool sv_event_queue_push (struct sv_event_queue *queue, jb_time now,
                          struct event *event);

/* Remove and return the next event, which is then the caller's, or return NULL
   if there is none.  Event loop only.  */
struct event *sv_event_queue_pop (struct sv_event_queue *queue);

/* Return how many events were dropped because there was no room.  */
uint64_t sv_event_queue_dropped (const struct sv_event_queue *queue);

/* The file descriptor that becomes readable when there are events; as in
   ba_ring.h.  */
int sv_event_queue_fd (const struct sv_event_queue *queue);
void sv_event_queue_reset_fd (struct sv_event_queue *queue);
void sv_event_queue_wake (struct sv_event_queue *queue);

#endif
