#ifndef SV_JOB_SERVER_H
#define SV_JOB_SERVER_H

/* One entry host that takes jobs: duties as threads under a supervisor around
   the decisions of jb_host.h.

   callers   HTTP of clients, the balancer's check and operators
   outside   HTTP to the store, backend servers and the host list
   peers     messages of the other entry hosts
   decider   the only thread that decides
   log       writes lines  */

#include "cf_settings.h"
#include "sv_platform_adapter.h"

struct sv_job_server_settings
{
  const char *name;
  const char *zone;
  const char *listen; /* for clients */
  const char *ready;  /* for the balancer's check */
  const char *admin;  /* for operators, or NULL */
  const char *peer;
  const char *secret; /* shared by the entry hosts */
  int64_t grace_ms;   /* after which a planned stop is cut short */
  size_t max_body;    /* bytes of a client's request */
  uint32_t processor; /* its share of one, in thousandths; 0: not known */
  unsigned max_connections;
  struct jb_bounds bounds;
  struct cf_log_settings log;
};

struct sv_job_server_options
{
  const struct sv_job_server_settings
      *settings; /* borrowed until the next load */
  const struct sv_platform_adapter *wire;
  const void *platform; /* handed to the functions of `wire' */
  /* Load the settings again.  Return NULL, having logged why with ERROR, when
     they can't be used: the former ones stay.  */
  const struct sv_job_server_settings *(*reload) (void *data, GError **error);
  void *data;
};

struct sv_job_server;

/* Open the sockets.  Return a new process' duties, owned by MEM, or NULL with
   ERROR set.  */
struct sv_job_server *
sv_job_server_new (TALLOC_CTX *mem,
                   const struct sv_job_server_options *options,
                   GError **error);

/* Serve until SIGTERM or SIGINT.  Return the exit status.  */
int sv_job_server_run (struct sv_job_server *jobs);

#endif
