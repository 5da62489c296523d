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

struct standin_answer
{
  unsigned status;
  const char *type;
  char *body; /* released with free() */
  size_t body_len;
  struct MHD_Response *response; /* instead of the body, or NULL */
  bool close;                    /* end the connection without an answer */
};

typedef void standin_handler (const struct standin_request *request,
                              struct standin_answer *answer);

/* Serve on ADDRESS, "IP:PORT", callers on this machine.  Return NULL when that
   is not possible.  */
struct MHD_Daemon *standin_start (const char *address,
                                  standin_handler *handler);

/* Serve on ADDRESS, "IP:PORT", until SIGTERM or SIGINT.  Return the exit
   status.  */
int standin_serve (const char *address, standin_handler *handler);

/* Return a header or query argument of the request, or "".  */
const char *standin_header (const struct standin_request *request,
                            const char *name);
const char *standin_query (const struct standin_request *request,
                           const char *name);

/* Set the answer to a copy of TEXT.  */
void standin_text (struct standin_answer *answer, unsigned status,
                   const char *type, const char *text);

#endif
