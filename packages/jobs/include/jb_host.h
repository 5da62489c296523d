#ifndef JB_HOST_H
#define JB_HOST_H

/* All decisions of one entry host.  No input or output, clock, thread or
   random number: a driver feeds it what happens, with the time, and carries
   out its orders.  */

#include "jb_frontend.h"

struct jb_host_options
{
  const char *name;
  const char *zone;
  uint32_t
      cpu_share_milli; /* its share of one, in thousandths; 0: not known */
  const char *address; /* for peers */
  uint64_t incarnation;
  struct jb_bounds bounds;
};

struct jb_host;

/* Return a new host owned by MEM.  EFFECTS is borrowed.  */
struct jb_host *jb_host_new (TALLOC_CTX *mem, jb_time now,
                             const struct jb_host_options *options,
                             const struct jb_driver_ops *effects,
                             void *context);

/* Note the time of day: the Unix time of the clock's origin.  */
void jb_host_set_unix_origin (struct jb_host *host, jb_time origin);

/* Take over changed bounds.  */
void jb_host_set_bounds (struct jb_host *host, const struct jb_bounds *bounds);

/* A client's call has arrived; it is answered once.  */
void jb_host_receive_call (struct jb_host *host, jb_time now, uint64_t number,
                           const struct jb_call *call);

/* A message of the member FROM has arrived.  Return false when it can't be
   read.  */
bool jb_host_receive_message (struct jb_host *host, jb_time now, uint64_t from,
                              struct ba_bytes message);

/* The reply to the order NUMBER has arrived.  */
void jb_host_receive_reply (struct jb_host *host, jb_time now, uint64_t number,
                            const struct jb_reply *reply);

/* Do what is due, and return when to be called next.  To be called after each
   of the above.  */
jb_time jb_host_run (struct jb_host *host, jb_time now);

/* Give up all duties; calls are still answered.  */
void jb_host_stop (struct jb_host *host, jb_time now);

/* Return whether nothing is left to be answered.  */
bool jb_host_is_idle (const struct jb_host *host);

/* Return whether clients may be sent here.  */
bool jb_host_is_ready (const struct jb_host *host, jb_time now);

/* Return whether this host holds the pool NAME, or the planner's duty.  */
bool jb_host_owns_pool (const struct jb_host *host, const char *name);
bool jb_host_is_planner (const struct jb_host *host);

const struct jb_metrics *jb_host_metrics (const struct jb_host *host);

#endif
