#ifndef SV_PROXY_H
#define SV_PROXY_H

/* The backends' side: started requests are sent to backend servers and their
   answers given to the callers.

   A small answer is held until it is whole, so that a broken one can be
   repeated; a larger one streams through.  */

#include "sv_core_loop.h"

struct sv_proxy;
struct ht_server;

struct sv_proxy_options
{
  long max_host_connections; /* to one backend server */
  struct sv_core_loop *decider;
  struct sv_log *log;
};

/* Return new backends owned by MEM.  */
struct sv_proxy *sv_proxy_new (TALLOC_CTX *mem,
                               const struct sv_proxy_options *options);

/* Set the server whose calls are answered.  Before the first start.  */
void sv_proxy_set_client_server (struct sv_proxy *backends,
                                 struct ht_server *callers);

/* Send a request that was started at DECIDED.  Any thread.  */
void sv_proxy_forward (struct sv_proxy *backends,
                       const struct co_action_start *start, co_time decided);

/* The caller of CALL can take more of its streamed answer.  Any thread.  */
void sv_proxy_resume (struct sv_proxy *backends, uint64_t call);

/* Duties: the lanes share the hosts among them, so that the connections to one
   host are on one thread.  */
enum
{
  SV_PROXY_THREAD_COUNT = 2
};

struct sv_proxy_thread;

struct sv_proxy_thread *sv_proxy_thread (struct sv_proxy *backends,
                                         unsigned lane);
void sv_proxy_thread_run (void *lane, void (*heartbeat) (void *),
                          void *context);
void sv_proxy_thread_stop (void *lane);

#endif
