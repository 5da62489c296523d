#ifndef SV_BACKENDS_H
#define SV_BACKENDS_H

/* The backends' side: started requests are sent to backend servers and their
   answers given to the callers.

   A small answer is held until it is whole, so that a broken one can be
   repeated; a larger one streams through.  */

#include "sv_decider.h"

struct sv_backends;
struct ht_server;

struct sv_backends_options
{
  long max_host_connections; /* to one backend server */
  struct sv_decider *decider;
  struct sv_log *log;
};

/* Return new backends owned by MEM.  */
struct sv_backends *
sv_backends_new (TALLOC_CTX *mem, const struct sv_backends_options *options);

/* Set the server whose calls are answered.  Before the first start.  */
void sv_backends_callers (struct sv_backends *backends,
                          struct ht_server *callers);

/* Send a request that was started at DECIDED.  Any thread.  */
void sv_backends_start (struct sv_backends *backends,
                        const struct co_action_start *start, co_time decided);

/* The caller of CALL can take more of its streamed answer.  Any thread.  */
void sv_backends_drained (struct sv_backends *backends, uint64_t call);

/* Duties: the lanes share the hosts among them, so that the connections to one
   host are on one thread.  */
enum
{
  SV_BACKEND_LANES = 2
};

struct sv_backends_lane;

struct sv_backends_lane *sv_backends_lane (struct sv_backends *backends,
                                           unsigned lane);
void sv_backends_run (void *lane, void (*heartbeat) (void *), void *context);
void sv_backends_stop (void *lane);

#endif
