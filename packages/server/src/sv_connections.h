#ifndef SV_CONNECTIONS_H
#define SV_CONNECTIONS_H

/* Watches the connections of the HTTP servers of a process: closes those whose
   clients take too long, and reports whom the servers have turned away.  */

#include "ht_server.h"
#include "sv_log.h"

/* A server, and what was last logged about it.  */
struct sv_connections
{
  /* Where the pointer to the server is, or NULL while there is none.  */
  struct ht_server *const *server;
  const char *name; /* in metrics and logs, static */
  uint64_t logged[HT_REJECTION_COUNT];
};

/* Close overdue connections of the COUNT servers in LIST, and log one line for
   each server that has turned clients away since the last call.  Return the
   memory that closed connections had to the system.  To be called
   about once a second, always by the same thread.  */
void sv_connections_check (struct sv_connections *list, size_t count,
                           struct sv_log *log);

/* Return the metrics of the COUNT servers in LIST, owned by MEM.  Any
   thread.  */
char *sv_connections_format_metrics (const struct sv_connections *list,
                                     size_t count, TALLOC_CTX *mem);

#endif
