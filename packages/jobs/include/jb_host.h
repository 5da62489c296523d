#ifndef JB_HOST_H
#define JB_HOST_H

/* All decisions of one entry host, as a deterministic state machine.  It does
   no input or output, reads no clock, and uses no threads and no random
   numbers: a driver passes it each event together with the time, and carries
   out its commands.  */

#include "jb_frontend.h"

struct jb_host_options
{
  const char *name;
  const char *zone;
  uint32_t cpu_share_milli; /* of one processor, in thousandths; 0: unknown */
  const char *address;      /* where peers connect to */
  uint64_t incarnation;     /* random number of this process */
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

/* Use changed BOUNDS from now on.  */
void jb_host_set_bounds (struct jb_host *host, const struct jb_bounds *bounds);

/* Process a client's CALL, which is borrowed, with the unique NUMBER; it is
   answered once.  */
void jb_host_receive_call (struct jb_host *host, jb_time now, uint64_t number,
                           const struct jb_call *call);

/* Process the encoded message BYTES, which is borrowed, from the member with
   incarnation FROM.  Return false if it can't be decoded.  */
bool jb_host_receive_message (struct jb_host *host, jb_time now, uint64_t from,
                              struct ba_bytes bytes);

/* Process the REPLY, which is borrowed, to the command with NUMBER.  */
void jb_host_receive_reply (struct jb_host *host, jb_time now, uint64_t number,
                            const struct jb_reply *reply);

/* Do everything that is due, and return when to be called next.  The driver
   calls this after each call of the functions above, too.  */
jb_time jb_host_run (struct jb_host *host, jb_time now);

/* Release all ownerships; calls are still answered.  */
void jb_host_stop (struct jb_host *host, jb_time now);

/* Return whether no call is left to be answered.  */
bool jb_host_is_idle (const struct jb_host *host);

/* Return whether clients may be directed to this host.  */
bool jb_host_is_ready (const struct jb_host *host, jb_time now);

/* Return whether this host owns the pool NAME.  */
bool jb_host_owns_pool (const struct jb_host *host, const char *name);

/* Return whether this host is the planner.  */
bool jb_host_is_planner (const struct jb_host *host);

/* Return the host's metrics, borrowed from it.  */
const struct jb_metrics *jb_host_metrics (const struct jb_host *host);

#endif
