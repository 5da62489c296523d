#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

/* A small HTTP server for programs and tests that stand in for backend servers
   and for the platform.  It handles each connection in a thread, and serves
   only clients on this machine.  */

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

struct standin_request
{
  struct MHD_Connection *connection;
  const char *method;
  const char *path;
  const char *body; /* NUL-terminated, empty if the request has none */
  size_t body_len;
};

struct standin_response
{
  unsigned status;
  const char *content_type;
  char *body; /* allocated with malloc; the server frees it */
  size_t body_len;
  struct MHD_Response *mhd_response; /* used instead of body unless NULL */
  bool close_connection;             /* instead of sending a response */
};

/* Handle REQUEST, which is valid only during the call, by filling in RESPONSE.
   It is initialised with status 200 and zeros.  Runs in the thread of the
   connection, so calls may be concurrent.  */
typedef void standin_handler (const struct standin_request *request,
                              struct standin_response *response);

/* Start a server on ADDRESS, "IP:PORT", in threads of its own.  HANDLER serves
   the whole process: it replaces that of servers started before.  The process
   ignores SIGPIPE afterwards.  Return the server, which the caller stops with
   MHD_stop_daemon, or NULL if it can't listen.  */
struct MHD_Daemon *standin_start_server (const char *address,
                                         standin_handler *handler);

/* Serve on ADDRESS, "IP:PORT", until SIGTERM or SIGINT.  Return the exit
   status of the program: EXIT_FAILURE if it can't listen.  */
int standin_run_server (const char *address, standin_handler *handler);

/* Return the value of header NAME or of query argument NAME, or "" if REQUEST
   has none.  Borrowed from REQUEST.  */
const char *standin_get_header (const struct standin_request *request,
                                const char *name);
const char *standin_get_query (const struct standin_request *request,
                               const char *name);

/* Set the status, the content type (NULL: no such header) and the body, a copy
   of TEXT.  CONTENT_TYPE must outlive RESPONSE.  */
void standin_set_text (struct standin_response *response, unsigned status,
                       const char *content_type, const char *text);

#endif
