#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

/* A small blocking HTTP server for stand-ins: one thread a connection.  */

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

struct standin_request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  const char *body; /* NUL-terminated */
  size_t body_len;
};

struct standin_response
{
  unsigned status;
  const char *content_type;
  char *body; /* released with free() */
  size_t body_len;
  struct MHD_Response *mhd_response; /* instead of the body, or NULL */
  bool close_connection;             /* send no response */
};

typedef void standin_handler (const struct standin_request *request,
                              struct standin_response *answer);

/* Serve on ADDRESS, "IP:PORT", callers on this machine.  Return NULL when that
   is not possible.  */
struct MHD_Daemon *standin_start_server (const char *address,
                                         standin_handler *handler);

/* Serve on ADDRESS, "IP:PORT", until SIGTERM or SIGINT.  Return the exit
   status.  */
int standin_run_server (const char *address, standin_handler *handler);

/* Return a header or query argument of the request, or "".  */
const char *standin_get_header (const struct standin_request *request,
                                const char *name);
const char *standin_get_query (const struct standin_request *request,
                               const char *name);

/* Set the answer to a copy of TEXT.  */
void standin_set_text (struct standin_response *answer, unsigned status,
                       const char *type, const char *text);

#endif
