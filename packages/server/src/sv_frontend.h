#ifndef SV_FRONTEND_H
#define SV_FRONTEND_H

/* The HTTP server for clients: it validates their requests to queues, and
   passes them to the decision core as events.

   A request names its queue in the path, /q/QUEUE/..., and carries its API key
   as bearer token.  Optional headers are Idempotency-Key, Idempotent (true or
   false), Deadline-Ms and Queue-Priority (urgent or archive).  */

#include "ba_counter.h"
#include "sv_core_loop.h"

struct ht_server;
struct sv_frontend;

struct sv_frontend_options
{
  const struct cf_settings *settings;
  struct sv_core_loop *core_loop;
  struct sv_log *log;
  /* Called when the client of CALL can take more of a streamed response, or
     CALL has ended.  Any thread.  */
  void (*resume_response) (void *context, uint64_t call);
  void *context;
};

/* Start to serve clients.  Return a new front end owned by MEM, or NULL with
   ERROR set.  */
struct sv_frontend *sv_frontend_new (TALLOC_CTX *mem,
                                     const struct sv_frontend_options *options,
                                     GError **error);

/* Return the HTTP server on which clients' calls are answered, borrowed from
   FRONTEND.  */
struct ht_server *sv_frontend_http_server (struct sv_frontend *frontend);

/* Return the part of TARGET, the path and query of a request to a queue, that
   is forwarded to a backend server: the part after the queue's name, borrowed
   from TARGET, or "/" when nothing or only a query follows the name.  */
const char *sv_frontend_forwarded_path (const char *target);

/* Return the counters of the requests refused here, in the text exposition
   format, owned by MEM.  */
char *sv_frontend_format_metrics (struct sv_frontend *frontend,
                                  TALLOC_CTX *mem);

#endif
