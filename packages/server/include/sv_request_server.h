#ifndef SV_REQUEST_SERVER_H
#define SV_REQUEST_SERVER_H

/* One entry host: all duties under a supervisor.  */

#include "cf_settings.h"

struct sv_request_server;

/* Build the daemon for SETTINGS, which are borrowed, and open its sockets.
   Return it, owned by MEM, or NULL with ERROR set.  */
struct sv_request_server *
sv_request_server_new (TALLOC_CTX *mem, const struct cf_settings *settings,
                       GError **error);

/* Serve until SIGTERM or SIGINT has been received and every request has been
   answered.  Return the exit status of the process.  */
int sv_request_server_run (struct sv_request_server *daemon);

#endif
