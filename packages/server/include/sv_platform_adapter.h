#ifndef SV_PLATFORM_ADAPTER_H
#define SV_PLATFORM_ADAPTER_H

/* The interface between a job server and the protocols of a platform.  An
   adapter encodes commands of the decision code as HTTP requests to the
   platform's services and decodes the responses into replies; for clients it
   decodes requests and encodes answers.  */

#include "ht_client.h"
#include "jb_host.h"

/* An HTTP request to a service of the platform.  */
struct sv_service_request
{
  const char *method;
  const char *url;
  struct ht_header headers[6];
  size_t header_count;
  const char *body; /* or NULL */
  size_t body_len;
  bool send_once; /* must not be repeated: the result could differ */
};

/* An HTTP request of a client.  */
struct sv_client_request
{
  const char *method;
  const char *target;          /* path and query */
  const char *host_header;     /* or NULL */
  const char *api_key;         /* header api_key_header, or NULL */
  const char *deadline_header; /* header deadline_header, or NULL */
  const void *body;
  size_t body_len;
  int64_t received_ms; /* Unix time */
};

/* The HTTP response to a client.  */
struct sv_client_response
{
  unsigned status;
  char *body;               /* or NULL */
  const char *content_type; /* of the body */
  int64_t retry_after_s;    /* for the Retry-After header; 0: none */
};

/* The functions are called on any thread and keep no pointer to their
   arguments, except where they borrow one.  PLATFORM is the one given in
   struct sv_job_server_options.  */
struct sv_platform_adapter
{
  /* Return the request that carries out COMMAND, owned by MEM, or NULL when
     the platform has no service for it.  */
  struct sv_service_request *(*encode_request) (
      const void *platform, TALLOC_CTX *mem, const struct jb_command *command);
  /* Fill REPLY, whose parts are owned by MEM, from the complete response to a
     command of KIND: its STATUS and LEN bytes of BODY.  */
  void (*decode_response) (const void *platform, TALLOC_CTX *mem,
                           enum jb_command_kind kind, unsigned status,
                           const char *body, size_t len,
                           struct jb_reply *reply);
  /* Fill CALL, whose new parts are owned by MEM, from REQUEST, whose strings
     it borrows.  Return false when the method is unknown.  */
  bool (*decode_client_request) (const void *platform, TALLOC_CTX *mem,
                                 const struct sv_client_request *request,
                                 struct jb_call *call);
  /* Fill RESPONSE, whose body is owned by MEM, from ANSWER.  */
  void (*encode_client_response) (const void *platform, TALLOC_CTX *mem,
                                  const struct jb_answer *answer,
                                  struct sv_client_response *response);
  const char *api_key_header;  /* name of the header with a client's key */
  const char *deadline_header; /* name of the header with its deadline */
  const char *readiness_path;  /* path that the load balancer checks */
};

#endif
