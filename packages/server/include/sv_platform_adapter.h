#ifndef SV_PLATFORM_ADAPTER_H
#define SV_PLATFORM_ADAPTER_H

/* What an adapter to a platform provides: how orders become HTTP requests, how
   their answers become replies, and the same for the calls of clients.  The
   functions are called on any thread and keep nothing.  */

#include "ht_client.h"
#include "jb_host.h"

struct sv_service_request
{
  const char *method;
  const char *url;
  struct ht_header headers[6];
  size_t header_count;
  const char *body; /* or NULL */
  size_t body_len;
  bool once; /* carrying it out twice would not be the same */
};

struct sv_client_request
{
  const char *method;
  const char *target;   /* path and query */
  const char *host;     /* header; or NULL */
  const char *key;      /* header; or NULL */
  const char *deadline; /* header; or NULL */
  const void *body;
  size_t body_len;
  int64_t received_ms; /* Unix time */
};

struct sv_client_response
{
  unsigned status;
  char *body; /* or NULL */
  const char *content_type;
  int64_t retry_after_s; /* 0: not said */
};

struct sv_platform_adapter
{
  /* Return the request that carries out ORDER, owned by MEM; NULL when this
     platform has no such thing.  */
  struct sv_service_request *(*encode) (const void *platform, TALLOC_CTX *mem,
                                        const struct jb_command *order);
  /* Fill REPLY, owned by MEM, from the whole answer to an order of KIND.  */
  void (*decode) (const void *platform, TALLOC_CTX *mem,
                  enum jb_command_kind kind, unsigned status, const char *body,
                  size_t len, struct jb_reply *reply);
  /* Fill CALL, owned by MEM.  Return false when the method is unknown.  */
  bool (*call) (const void *platform, TALLOC_CTX *mem,
                const struct sv_client_request *in, struct jb_call *call);
  void (*answer) (const void *platform, TALLOC_CTX *mem,
                  const struct jb_answer *answer,
                  struct sv_client_response *out);
  const char *key_header; /* names of headers of clients' calls */
  const char *deadline_header;
  const char *ready_path; /* of the balancer's check */
};

#endif
