#ifndef PR_LINK_H
#define PR_LINK_H

/* Framed messages over TCP between the entry hosts.  The link doesn't
   interpret the content of the messages.

   Each process sends over connections that it opens itself and receives over
   those that it accepts.  The accepting side sends a challenge.  The opening
   side answers with its incarnation and a keyed digest of the challenge, so
   that only processes that know the shared secret are accepted.  The challenge
   names the process that sends it, so that a message reaches only the process
   that it is for, not one that was started at its address later.

   A message that can't be sent is dropped.  The protocols that use the link
   recover from lost messages.  What waits for connections is bounded for each
   connection, and, but for small messages, for all of them together.

   Calls from other threads are queued for the link's thread.  When the queue,
   which has room for 8191 calls, is full, a call of any kind is dropped and
   counted as PR_COUNTER_DROPPED.  */

#include "ba_bytes.h"
#include "ba_counter.h"
#include "ba_error.h"

struct pr_link;

/* Counters of a link.  */
enum pr_counter
{
  PR_COUNTER_SENT,
  PR_COUNTER_SENT_BYTES,
  PR_COUNTER_RECEIVED,
  PR_COUNTER_RECEIVED_BYTES,
  /* Messages and calls that were dropped.  */
  PR_COUNTER_DROPPED,
  /* Connections that were closed because of what the other side sent.  */
  PR_COUNTER_BAD_FRAME,
  PR_COUNTER_BAD_SECRET,
  PR_COUNTER_BAD_VERSION,
  PR_COUNTER_OVERSIZED,
  /* Connections that were closed because they were meant for a former process
     at the address, or for a former incarnation of this process.  */
  PR_COUNTER_FORMER_PROCESS,
  PR_COUNTER_COUNT
};

/* What the receiver did with a message.  */
enum pr_receive_result
{
  PR_RECEIVE_ACCEPTED,
  PR_RECEIVE_QUEUE_FULL, /* dropped: the receiver's queue is full */
  PR_RECEIVE_MALFORMED   /* not a message: the link closes the connection */
};

struct pr_link_options
{
  const char *address;  /* IP:PORT to listen on */
  const char *secret;   /* shared by all members */
  uint64_t incarnation; /* of this process */
  /* Receive the message BODY, which is borrowed, from the process with the
     incarnation FROM.  Called on the link's thread.  */
  enum pr_receive_result (*on_message) (void *context, uint64_t from,
                                        struct ba_bytes body);
  void *context;
};

struct pr_member
{
  uint64_t incarnation;
  const char *address; /* IP:PORT */
};

/* Start listening.  Return a new link owned by MEM, or NULL with ERROR set.
   The strings of OPTIONS are borrowed for the life of the link.  */
struct pr_link *pr_link_new (TALLOC_CTX *mem,
                             const struct pr_link_options *options,
                             GError **error);

/* Send MESSAGE, which is borrowed for the call, to the member with the
   incarnation TO.  MESSAGE is dropped and counted when there is no established
   connection to TO, or too much data is buffered.  Any thread.  */
void pr_link_send (struct pr_link *link, uint64_t to, struct ba_bytes message);

/* Keep connections to the COUNT MEMBERS, which are borrowed for the call, and
   close those to other processes.  This process itself and members whose
   address can't be parsed are left out.  Any thread.  */
void pr_link_set_members (struct pr_link *link,
                          const struct pr_member *members, uint32_t count);

/* Set the incarnation of this process to INCARNATION, and make all connections
   to the members anew with it.  What members still send to the former
   incarnation is not received any more.  Any thread.  */
void pr_link_set_incarnation (struct pr_link *link, uint64_t incarnation);

/* Serve until pr_link_stop is called.  HEARTBEAT is called with CONTEXT every
   200 ms, to show that the thread is alive.  */
void pr_link_run (struct pr_link *link, void (*heartbeat) (void *),
                  void *context);

/* Make pr_link_run return.  Any thread.  */
void pr_link_stop (struct pr_link *link);

/* Return the counters, PR_COUNTER_COUNT of them.  Borrowed.  */
struct ba_counter *pr_link_counters (struct pr_link *link);

/* Return how many bytes wait for connections.  Any thread.  */
size_t pr_link_buffered_bytes (struct pr_link *link);

#endif
