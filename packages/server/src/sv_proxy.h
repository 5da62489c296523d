#ifndef SV_PROXY_H
#define SV_PROXY_H

/* Forwards the requests that the decision core starts to backend servers, and
   the responses to the clients.

   A small response is buffered until it is complete, so that the request can
   be retried when the response breaks off; a larger one is streamed.  */

#include "sv_core_loop.h"

struct sv_proxy;
struct ht_server;

struct sv_proxy_options
{
  long max_connections_per_backend;
  struct sv_core_loop *core_loop;
  struct sv_log *log;
};

/* Return a new proxy owned by MEM.  */
struct sv_proxy *sv_proxy_new (TALLOC_CTX *mem,
                               const struct sv_proxy_options *options);

/* Set the HTTP server whose calls are answered.  To be called before the first
   request is forwarded.  */
void sv_proxy_set_client_server (struct sv_proxy *proxy,
                                 struct ht_server *client_server);

/* Forward the request of START to its backend server.  The core decided the
   start at the time DECIDED_AT.  Any thread.  */
void sv_proxy_forward (struct sv_proxy *proxy,
                       const struct co_action_start *start,
                       co_time decided_at);

/* Resume the streamed response to CALL, if it is paused.  To be called when
   the client can take more of it, or CALL has ended.  Any thread.  */
void sv_proxy_resume (struct sv_proxy *proxy, uint64_t call);

/* Each backend server is assigned to one of these threads by its address, so
   that all connections to it are on one thread.  */
enum
{
  SV_PROXY_THREAD_COUNT = 2
};

struct sv_proxy_thread;

/* Return thread INDEX.  Borrowed from PROXY.  */
struct sv_proxy_thread *sv_proxy_get_thread (struct sv_proxy *proxy,
                                             unsigned index);

/* Thread functions for the supervisor.  DATA is a struct sv_proxy_thread.  */
void sv_proxy_thread_run (void *data, void (*heartbeat) (void *),
                          void *context);
void sv_proxy_thread_stop (void *data);

#endif
