#ifndef SV_REQUEST_SERVER_H
#define SV_REQUEST_SERVER_H

/* An entry host that forwards clients' requests to backend servers.  The
   decision core (co_core.h) runs on one thread; other threads do its input and
   output.  A supervisor watches these threads:

   platform    the table service, the object store and the list of hosts
   peers       messages from and to the other entry hosts
   backends-N  requests to backend servers
   decider     the decision core
   log         writes log lines

   The HTTP servers for clients and operators have threads of their own.  */

#include "cf_settings.h"

struct sv_request_server;

/* Create the request server for SETTINGS, which are borrowed, and open its
   sockets.  Return it, owned by MEM, or NULL with ERROR set.  A process can
   have only one.  */
struct sv_request_server *
sv_request_server_new (TALLOC_CTX *mem, const struct cf_settings *settings,
                       GError **error);

/* Serve until SIGTERM or SIGINT has been received and every request has been
   answered.  Return the exit status of the process.  When a thread has failed,
   end the process with status 70 instead of returning.  */
int sv_request_server_run (struct sv_request_server *server);

#endif
