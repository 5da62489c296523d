#ifndef PR_PEERS_H
#define PR_PEERS_H

/* Messages of the decision core between the entry hosts, over a link.  */

#include "co_event.h"
#include "pr_link.h"

struct pr_peers;

struct pr_peers_options
{
  const char *address; /* to listen on */
  const char *secret;
  uint64_t incarnation;
  /* Take over EVENT, a talloc chunk without parent.  Return false, leaving
     it, when it can't be taken now.  Called on the peers' thread.  */
  bool (*on_event) (void *context, struct co_event *event);
  void *context;
};

/* Start listening.  Return new peers owned by MEM, or NULL with ERROR set.  */
struct pr_peers *pr_peers_new (TALLOC_CTX *mem,
                               const struct pr_peers_options *options,
                               GError **error);

/* Send MESSAGE to the member TO.  Borrowed.  Any thread.  */
void pr_peers_send (struct pr_peers *peers, uint64_t to,
                    const struct co_msg *message);

/* Connect to the members of VIEW and to nobody else.  Any thread.  */
void pr_peers_set_view (struct pr_peers *peers, const struct co_view *view);

/* Send from now on as INCARNATION.  Any thread.  */
void pr_peers_set_incarnation (struct pr_peers *peers, uint64_t incarnation);

/* Serve until stopped, calling HEARTBEAT now and then.  */
void pr_peers_run (struct pr_peers *peers, void (*heartbeat) (void *),
                   void *context);
void pr_peers_stop (struct pr_peers *peers);

/* Return the counters, PR_COUNTER_COUNT of them.  Borrowed.  */
struct ba_counter *pr_peers_counters (struct pr_peers *peers);

#endif
