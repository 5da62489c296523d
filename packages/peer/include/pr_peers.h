#ifndef PR_PEERS_H
#define PR_PEERS_H

/* Messages between the decision cores of the entry hosts, over a link.  */

#include "co_event.h"
#include "pr_link.h"

struct pr_peers;

struct pr_peers_options
{
  const char *address; /* to listen on */
  const char *secret;
  uint64_t incarnation; /* of this process */
  /* Take ownership of EVENT, a talloc chunk without a parent.  Return false,
     leaving it to the caller, if it can't be taken now.  Called on the peers'
     thread.  */
  bool (*on_event) (void *context, struct co_event *event);
  void *context;
};

/* Start listening.  Return new peers owned by MEM, or NULL with ERROR set.
   The strings of OPTIONS are borrowed for the life of the peers.  */
struct pr_peers *pr_peers_new (TALLOC_CTX *mem,
                               const struct pr_peers_options *options,
                               GError **error);

/* Send MESSAGE, which is borrowed for the call, to the member with the
   incarnation TO.  It is dropped if there is no connection to TO.  Any
   thread.  */
void pr_peers_send (struct pr_peers *peers, uint64_t to,
                    const struct co_msg *message);

/* Connect to the members of VIEW, which is borrowed for the call, and to
   nobody else.  Any thread.  */
void pr_peers_set_view (struct pr_peers *peers, const struct co_view *view);

/* Make all connections again, with INCARNATION as this process's own.  Any
   thread.  */
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
