#ifndef SV_ADMIN_H
#define SV_ADMIN_H

/* The HTTP API for operators of a request server.

     GET  /healthz      200 while the load balancer may send clients here, else
                        503; plain text
     GET  /metrics      metrics in the text exposition format
     GET  /v1/status    the state of this entry host, as JSON
     POST /v1/changes   submits a configuration change, as JSON

   The last two require the operators' token as bearer token.  */

#include "sv_core_loop.h"

struct sv_admin;

struct sv_admin_options
{
  const struct cf_settings *settings;
  const char *token; /* shared by the operators */
  struct sv_core_loop *core_loop;
  struct sv_log *log;
  /* Return the metrics of the whole process in the text exposition format,
     owned by MEM.  */
  char *(*format_metrics) (void *context, TALLOC_CTX *mem);
  void *context;
};

/* Start to serve operators.  Return the new server, owned by MEM, or NULL with
   ERROR set.  */
struct sv_admin *sv_admin_new (TALLOC_CTX *mem,
                               const struct sv_admin_options *options,
                               GError **error);

/* Return the HTTP server for operators, borrowed from ADMIN.  */
struct ht_server *sv_admin_http_server (struct sv_admin *admin);

/* Answer CALL, which requested the status, with STATUS.  */
void sv_admin_send_status (struct sv_admin *admin, uint64_t call,
                           const struct co_status *status);

/* Answer the call that submitted a change with the result CHANGED.  */
void sv_admin_send_change_result (struct sv_admin *admin,
                                  const struct co_action_change_done *changed);

#endif
