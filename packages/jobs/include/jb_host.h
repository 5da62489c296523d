#ifndef JB_HOST_H
#define JB_HOST_H

/* The decision logic of an entry host, a deterministic state machine.  It does
   no input or output, reads no clock, starts no thread and draws no random
   numbers: a driver passes it each event together with the time, and executes
   its commands.  So a simulation can replay it exactly.

   It joins the members, applies the configuration, claims pools and the
   planner's partition, and passes calls, messages and replies to the modules
   that handle them.

   A host is not thread-safe: all functions must be called by one thread, or
   serialized by the caller.  */

#include "jb_frontend.h"

struct jb_host_options
{
  const char *name;
  const char *zone;
  uint32_t cpu_share_milli; /* of one processor, in thousandths; 0: unknown */
  const char *address;      /* where peers connect to */
  uint64_t incarnation;     /* random number that identifies this process */
  struct jb_bounds bounds;
};

struct jb_host;

/* Return a new host owned by MEM.  The strings of OPTIONS are copied.  OPS is
   borrowed; its functions are called with CONTEXT.  */
struct jb_host *jb_host_new (TALLOC_CTX *mem, jb_time now,
                             const struct jb_host_options *options,
                             const struct jb_driver_ops *ops, void *context);

/* Set the Unix time of the driver clock's origin, in microseconds.  */
void jb_host_set_unix_origin (struct jb_host *host, jb_time unix_origin);

/* Replace the durations and limits given in the options by BOUNDS, which is
   copied.  */
void jb_host_set_bounds (struct jb_host *host, const struct jb_bounds *bounds);

/* Process a client's CALL, which is borrowed, with the unique NUMBER; it is
   answered once.  */
void jb_host_receive_call (struct jb_host *host, jb_time now, uint64_t number,
                           const struct jb_call *call);

/* Process the encoded message BYTES, which is borrowed, from the member with
   incarnation FROM.  It arrived at ARRIVED_AT, and may have waited for this
   call until NOW: that this host is late doesn't show that the member was
   silent.  Messages of one member must be passed in the order in which it sent
   them.  Return false if it can't be decoded.  */
bool jb_host_receive_message (struct jb_host *host, jb_time now,
                              jb_time arrived_at, uint64_t from,
                              struct ba_bytes bytes);

/* Process the REPLY, which is borrowed, to the command with NUMBER.  */
void jb_host_receive_reply (struct jb_host *host, jb_time now, uint64_t number,
                            const struct jb_reply *reply);

/* Do everything that is due, and return the time of the next call.  The driver
   also calls this after each call of the functions above.  */
jb_time jb_host_run (struct jb_host *host, jb_time now);

/* Release all partitions that this host owns, pools as soon as what a
   successor needs is stored (jb_pool_hand_over), and claim none any more; a
   claim that is in flight is not withdrawn.  Calls are still accepted and
   answered, each before the process must have ended, GRACE from now.  Does
   nothing if this host is stopping already.  */
void jb_host_stop (struct jb_host *host, jb_time now, jb_time grace);

/* Return the time that the load balancer gets to notice that a host is
   stopping, for which there is GRACE.  Then the host is drained: connections
   of clients need not be accepted any more.  Over those that are open, calls
   may still come.  */
jb_time jb_host_drain_time (jb_time grace);

/* Return whether a planned stop is complete: this host was drained, had
   answered all calls and handed no pool over, or had no more time for that.
   Calls that come now are refused at once.  */
bool jb_host_has_stopped (const struct jb_host *host);

/* Return whether a load balancer may direct clients to this host: it has a
   configuration, is not stopping, and reaches the store or a peer.  */
bool jb_host_is_ready (const struct jb_host *host, jb_time now);

/* Return the version of the configuration in force, or 0 if there is none.  */
uint64_t jb_host_catalog_version (const struct jb_host *host);

/* Return whether this host owns the pool NAME.  */
bool jb_host_owns_pool (const struct jb_host *host, const char *name);

/* Return whether this host is a coordinator: it exchanges heartbeats with all
   entry hosts, and may claim partitions.  */
bool jb_host_is_coordinator (const struct jb_host *host);

/* Return whether this host owns the planner's partition.  */
bool jb_host_is_planner (const struct jb_host *host);

/* Return the host's metrics, borrowed from it.  */
const struct jb_metrics *jb_host_metrics (const struct jb_host *host);

#endif
