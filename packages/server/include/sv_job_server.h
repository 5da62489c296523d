#ifndef SV_JOB_SERVER_H
#define SV_JOB_SERVER_H

/* An entry host that accepts jobs.  The decision code (jb_host.h) runs on one
   thread; other threads do its input and output.  A supervisor watches these
   threads:

   outside   HTTP client for the store, the backend servers, the machines API
             and the policy service
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
  const char *readiness_address; /* for the load balancer's check */
  const char *admin_address;     /* for operators, or NULL */
  const char *peer_address;      /* for the other entry hosts */
  const char *peer_secret;       /* shared by the entry hosts */
  int64_t stop_grace_ms;         /* time for a planned stop, after which the
                                    process is killed */
  size_t max_body_bytes;         /* of a client's request */
  uint32_t cpu_share_milli;      /* thousandths of a core; 0: not known */
  unsigned max_connections;      /* of clients */
  size_t client_memory_bytes;    /* for their connections and bodies */
  struct jb_bounds bounds;
  struct cf_log_settings log;
};

struct sv_job_server_options
{
  const struct sv_job_server_settings *settings; /* borrowed until replaced */
  const struct sv_platform_adapter *adapter;
  const void *platform; /* passed to the functions of `adapter' */
  /* Load the settings again.  Return NULL when they have not changed, and NULL
     with ERROR set when the new ones can't be used, so that the former ones
     stay in force.  DATA is `reload_data'.  Called about once a second
     and after SIGHUP, on the thread that runs sv_job_server_run.  */
  const struct sv_job_server_settings *(*reload_settings) (void *data,
                                                           GError **error);
  void *reload_data;
};

struct sv_job_server;

/* Create a job server and open its sockets.  Return it, owned by MEM, or NULL
   with ERROR set.  A process can have only one.  */
struct sv_job_server *
sv_job_server_new (TALLOC_CTX *mem,
                   const struct sv_job_server_options *options,
                   GError **error);

/* Serve until a planned stop, which SIGTERM or SIGINT begins, is complete.
   Return the exit status of the process.  When a thread has failed, end the
   process with status 70 instead of returning.  */
int sv_job_server_run (struct sv_job_server *server);

#endif
