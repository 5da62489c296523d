#ifndef PR_PEERS_H
#define PR_PEERS_H

/* Messages between the decision cores of the entry hosts.  They are encoded as
   msgpack and sent over a link (pr_link.h).  */

#include "co_event.h"
#include "pr_link.h"

struct pr_peers;

struct pr_peers_options
{
  const char *address;  /* IP:PORT to listen on */
  const char *secret;   /* shared by all members */
  uint64_t incarnation; /* of this process */
  /* Take ownership of EVENT, a talloc chunk without a parent.  Return false,
     leaving EVENT with the caller, when there is no room for it now.  Called
     on the thread that runs pr_peers_run.  */
  bool (*on_event) (void *context, struct co_event *event);
  void *context;
};

/* Start listening.  Return a new object owned by MEM, or NULL with ERROR set.
   The strings of OPTIONS are borrowed for its lifetime.  */
struct pr_peers *pr_peers_new (TALLOC_CTX *mem,
                               const struct pr_peers_options *options,
                               GError **error);

/* Send MESSAGE, which is borrowed for the call, to the member with the
   incarnation TO.  MESSAGE is dropped when there is no established connection
   to TO, or too much data is buffered for it.  Any thread.  */
void pr_peers_send (struct pr_peers *peers, uint64_t to,
                    const struct co_msg *message);

/* Keep connections to the members of VIEW, which is borrowed for the call, and
   close those to other processes.  Any thread.  */
void pr_peers_set_view (struct pr_peers *peers, const struct co_view *view);

/* Set the incarnation of this process to INCARNATION, and make all connections
   to the members anew with it.  Any thread.  */
void pr_peers_set_incarnation (struct pr_peers *peers, uint64_t incarnation);

/* Serve until pr_peers_stop is called.  HEARTBEAT is called with CONTEXT every
   200 ms, to show that the thread is alive.  */
void pr_peers_run (struct pr_peers *peers, void (*heartbeat) (void *),
                   void *context);

/* Make pr_peers_run return.  Any thread.  */
void pr_peers_stop (struct pr_peers *peers);

/* Return the counters, PR_COUNTER_COUNT of them.  Borrowed.  */
struct ba_counter *pr_peers_counters (struct pr_peers *peers);

#endif
