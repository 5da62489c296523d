#ifndef SV_REQUEST_SERVER_H
#define SV_REQUEST_SERVER_H

/* An entry host that places requests on backend servers.  The decision core
   runs on one thread; others do the input and output around it.  A supervisor
   watches these threads:

   platform    the table service, the object store and the list of hosts
   peers       messages from and to the other entry hosts
   backends-N  requests to backend servers
   decider     the decision core
   log         writes log lines

   The HTTP servers for clients and operators have threads of their own.  */

#include "cf_settings.h"

struct sv_request_server;

/* Create the request server for SETTINGS, which are borrowed, and open its
   sockets.  Return it, owned by MEM, or NULL with ERROR set.  There is one in
   a process.  */
struct sv_request_server *
sv_request_server_new (TALLOC_CTX *mem, const struct cf_settings *settings,
                       GError **error);

/* Serve until SIGTERM or SIGINT has been received and every request has been
   answered.  Return the exit status of the process.  Does not return when a
   thread has failed: the process ends with status 70.  */
int sv_request_server_run (struct sv_request_server *server);

#endif
