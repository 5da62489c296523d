#ifndef SV_FRONTEND_H
#define SV_FRONTEND_H

/* The callers' side: HTTP requests to queues become events for the decider.

   A request names its queue in the path, /q/QUEUE/..., and gives its key as
   bearer token.  Optional headers: Idempotency-Key, Idempotent (true or
   false), Deadline-Ms, Queue-Priority (urgent or archive).  */

#include "ba_counter.h"
#include "sv_core_loop.h"

struct ht_server;
struct sv_frontend;

struct sv_frontend_options
{
  const struct cf_settings *settings;
  struct sv_core_loop *decider;
  struct sv_log *log;
  /* There is room again for a streamed answer.  */
  void (*drained) (void *context, uint64_t call);
  void *context;
};

/* Start serving callers.  Return new callers owned by MEM, or NULL with ERROR
   set.  */
struct sv_frontend *sv_frontend_new (TALLOC_CTX *mem,
                                     const struct sv_frontend_options *options,
                                     GError **error);

/* Return the HTTP server.  Borrowed.  */
struct ht_server *sv_frontend_http_server (struct sv_frontend *callers);

/* Return the part of TARGET that a backend server is given: what follows the
   queue's name.  Borrowed from TARGET, or "/".  */
const char *sv_frontend_forwarded_path (const char *target);

/* Return the counters of refusals made here, owned by MEM.  */
char *sv_frontend_metrics (struct sv_frontend *callers, TALLOC_CTX *mem);

#endif
