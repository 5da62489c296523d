#ifndef SV_JOB_SERVER_H
#define SV_JOB_SERVER_H

/* An entry host that accepts jobs.  The decision code (jb_host.h) runs on one
   thread; others do the input and output around it.  A supervisor watches
   these threads:

   outside   HTTP client for the store, the backend servers and the machines
             API
   peers     messages from and to the other entry hosts
   decider   event loop; the only thread that calls the decision code
   log       writes log lines

   The HTTP servers for clients, the load balancer's check and operators have
   threads of their own.  */

#include "cf_settings.h"
#include "sv_platform_adapter.h"

/* Addresses have the form IP:PORT.  */
struct sv_job_server_settings
{
  const char *name;
  const char *zone;
  const char *client_address;    /* to listen on for clients */
  const char *readiness_address; /* for the balancer's check */
  const char *admin_address;     /* for operators, or NULL */
  const char *peer_address;      /* for the other entry hosts */
  const char *peer_secret;       /* shared by the entry hosts */
  int64_t stop_grace_ms;         /* time for a planned stop; not enforced */
  size_t max_body_bytes;         /* of a client's request */
  uint32_t cpu_share_milli;      /* of a core, in thousandths; 0: not known */
  unsigned max_connections;      /* of clients */
  struct jb_bounds bounds;
  struct cf_log_settings log;
};

struct sv_job_server_options
{
  const struct sv_job_server_settings *settings; /* borrowed until replaced */
  const struct sv_platform_adapter *adapter;
  const void *platform; /* passed to the functions of ADAPTER */
  /* Load the settings again.  Return NULL when they have not changed, and NULL
     with ERROR set when they can't be used; then the former ones stay in
     force.  DATA is RELOAD_DATA.  */
  const struct sv_job_server_settings *(*reload_settings) (void *data,
                                                           GError **error);
  void *reload_data;
};

struct sv_job_server;

/* Open the sockets of a job server.  Return it, owned by MEM, or NULL with
   ERROR set.  There is one in a process.  */
struct sv_job_server *
sv_job_server_new (TALLOC_CTX *mem,
                   const struct sv_job_server_options *options,
                   GError **error);

/* Serve until a planned stop by SIGTERM or SIGINT is complete.  Return the
   exit status of the process.  Does not return when a thread has failed: the
   process ends with status 70.  */
int sv_job_server_run (struct sv_job_server *server);

#endif
