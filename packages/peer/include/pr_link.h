#ifndef PR_LINK_H
#define PR_LINK_H

/* Framed messages over TCP between the entry hosts; what is in them is up to
   the caller.

   Each process sends over connections that it opens itself and receives over
   those that it accepts.  The accepting side sends a challenge; the opening
   side answers with its incarnation and a keyed digest over the challenge, so
   only holders of the shared secret are heard.  A message that can't be sent
   is dropped: every protocol above heals from lost messages.  */

#include "ba_bytes.h"
#include "ba_counter.h"
#include "ba_error.h"

struct pr_link;

enum pr_counter
{
  PR_COUNTER_SENT,
  PR_COUNTER_SENT_BYTES,
  PR_COUNTER_RECEIVED,
  PR_COUNTER_RECEIVED_BYTES,
  PR_COUNTER_DROPPED,
  PR_COUNTER_BAD_FRAME,
  PR_COUNTER_BAD_SECRET,
  PR_COUNTER_BAD_VERSION,
  PR_COUNTER_OVERSIZED,
  PR_COUNTER_COUNT
};

/* What became of a message that was received.  */
enum pr_receive_result
{
  PR_RECEIVE_ACCEPTED,
  PR_RECEIVE_QUEUE_FULL, /* dropped: it can't be taken now */
  PR_RECEIVE_MALFORMED   /* the connection is closed */
};

struct pr_link_options
{
  const char *address; /* to listen on */
  const char *secret;
  uint64_t incarnation;
  /* Take BODY, which is borrowed.  Called on the link's thread.  */
  enum pr_receive_result (*on_message) (void *context, uint64_t from,
                                        struct ba_bytes body);
  void *context;
};

struct pr_member
{
  uint64_t incarnation;
  const char *address;
};

/* Start listening.  Return a new link owned by MEM, or NULL with ERROR set. */
struct pr_link *pr_link_new (TALLOC_CTX *mem,
                             const struct pr_link_options *options,
                             GError **error);

/* Send MESSAGE, which is borrowed, to the member TO.  Any thread.  */
void pr_link_send (struct pr_link *peers, uint64_t to,
                   struct ba_bytes message);

/* Connect to the COUNT MEMBERS, borrowed, and to nobody else.  Any thread.  */
void pr_link_set_members (struct pr_link *peers,
                          const struct pr_member *members, uint32_t count);

/* Send from now on as INCARNATION.  Any thread.  */
void pr_link_set_incarnation (struct pr_link *peers, uint64_t incarnation);

/* Serve until stopped, calling HEARTBEAT now and then.  */
void pr_link_run (struct pr_link *peers, void (*heartbeat) (void *),
                  void *context);
void pr_link_stop (struct pr_link *peers);

/* Return the counters, PR_COUNTER_COUNT of them.  Borrowed.  */
struct ba_counter *pr_link_counters (struct pr_link *peers);

#endif
