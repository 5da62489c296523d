#ifndef SV_ADMIN_H
#define SV_ADMIN_H

/* The operators' side: JSON over HTTP.

     GET  /healthz      200 while the balancer may send callers here
     GET  /metrics      counters in the text exposition format
     GET  /v1/status    the state of this entry host
     POST /v1/changes   one change of the configuration

   The last two need the operators' token as bearer token.  */

#include "sv_core_loop.h"

struct sv_admin;

struct sv_admin_options
{
  const struct cf_settings *settings;
  const char *token;
  struct sv_core_loop *decider;
  struct sv_log *log;
  /* Return the counters of the whole process, owned by MEM.  */
  char *(*expose) (void *context, TALLOC_CTX *mem);
  void *context;
};

struct sv_admin *sv_admin_new (TALLOC_CTX *mem,
                               const struct sv_admin_options *options,
                               GError **error);

/* Answer the call that asked for the status, or made a change.  */
void sv_admin_send_status (struct sv_admin *admin, uint64_t call,
                           const struct co_status *status);
void sv_admin_send_change_result (struct sv_admin *admin,
                                  const struct co_action_change_done *changed);

#endif
