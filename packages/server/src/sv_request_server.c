#include "sv_request_server.h"

#include "ba_clock.h"
#include "ht_server.h"
#include "pl_platform.h"
#include "pr_peers.h"
#include "sv_admin.h"
#include "sv_connections.h"
#include "sv_response.h"
#include "sv_proxy.h"
#include "sv_frontend.h"
#include "sv_core_loop.h"
#include "sv_log.h"
#include "sv_signals.h"
#include "sv_supervisor.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

enum
{
  SUPERVISION_INTERVAL_MS = 100,
  HOST_LIST_INTERVAL_MS = 1000,
  CONNECTION_CHECK_INTERVAL_MS = 1000,
  /* A backend server accepts 64 connections, shared by 9 entry hosts.  */
  MAX_CONNECTIONS_PER_BACKEND = 7,
  /* At the end of a planned stop, the wait for responses in flight.  */
  RESPONSE_FLUSH_MS = 2000,
  RESPONSE_FLUSH_POLL_US = 10000, /* sleep between two checks for open calls */
  HTTP_CLIENT_CLOSED_REQUEST = 499, /* no standard status; no client gets it */
  EXIT_THREAD_FAILED = 70
};

struct sv_request_server
{
  const struct cf_settings *settings;
  char *admin_token;
  char *peer_secret;
  char *platform_secret_key;
  struct sv_log *log;
  struct sv_core_loop *core_loop;
  struct sv_frontend *frontend;
  struct sv_proxy *proxy;
  struct sv_admin *admin;
  struct ht_server *http_servers[2]; /* of `frontend' and `admin' */
  struct sv_connections connections[2];
  struct pr_peers *peers;
  struct pl_platform *platform;
  struct sv_supervisor *supervisor;
  int signal_fd;
  _Atomic bool stopped; /* the core has nothing left to do */
};

/* ---- handlers of the core's actions ---- */

static void
refuse_request (void *context, const struct co_action_refuse *refuse)
{
  struct sv_request_server *server = context;
  char request[24];

  snprintf (request, sizeof request, "%" PRIu64, refuse->request_id);
  sv_log (server->log, CF_LOG_INFO, "refused", "request", request, "reason",
          co_reason_info (refuse->reason)->name, NULL);
  sv_response_send_problem (sv_frontend_http_server (server->frontend),
                            refuse->request_id, refuse->reason,
                            refuse->retry_after_ms, NULL);
}

static void
start_request (void *context, const struct co_action_start *start, co_time now)
{
  struct sv_request_server *server = context;
  char request[24];

  if (sv_log_is_enabled (server->log, CF_LOG_DEBUG))
    {
      snprintf (request, sizeof request, "%" PRIu64, start->request_id);
      sv_log (server->log, CF_LOG_DEBUG, "start", "request", request,
              "backend", start->host, NULL);
    }
  sv_proxy_forward (server->proxy, start, now);
}

static void
replay_answer (void *context, const struct co_action_replay *replay)
{
  struct sv_request_server *server = context;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ht_field *fields;
  size_t count = sv_response_parse_headers (scratch, replay->headers, &fields);

  ht_call_respond (sv_frontend_http_server (server->frontend),
                   replay->request_id, replay->http_status, fields, count,
                   replay->body.data, replay->body.len);
  talloc_free (scratch);
}

static void
forget_request (void *context, uint64_t request)
{
  struct sv_request_server *server = context;

  /* If the call is unanswered, its client has disconnected; the connection is
     still suspended, and only an answer makes the HTTP server release it.  For
     an answered call this does nothing.  */
  ht_call_respond (sv_frontend_http_server (server->frontend), request,
                   HTTP_CLIENT_CLOSED_REQUEST, NULL, 0, NULL, 0);
}

static void
submit_to_platform (void *context, const struct co_action *action)
{
  struct sv_request_server *server = context;

  server->platform->ops->submit (server->platform, action);
}

static void
send_to_peer (void *context, const struct co_action_send *send)
{
  struct sv_request_server *server = context;

  pr_peers_send (server->peers, send->recipient, &send->message);
}

static void
handle_view_change (void *context, const struct co_view *view)
{
  struct sv_request_server *server = context;
  char version[24];
  char members[12];

  snprintf (version, sizeof version, "%" PRIu64, view->version);
  snprintf (members, sizeof members, "%" PRIu32, view->member_count);
  sv_log (server->log, CF_LOG_INFO, "view", "version", version, "members",
          members, NULL);
  pr_peers_set_view (server->peers, view);
}

static void
answer_change (void *context, const struct co_action_change_done *changed)
{
  struct sv_request_server *server = context;

  sv_admin_send_change_result (server->admin, changed);
}

static void
answer_status (void *context, uint64_t call, const struct co_status *status)
{
  struct sv_request_server *server = context;

  sv_admin_send_status (server->admin, call, status);
}

static void
handle_new_incarnation (void *context, uint64_t incarnation)
{
  struct sv_request_server *server = context;

  pr_peers_set_incarnation (server->peers, incarnation);
}

static void
handle_core_stopped (void *context)
{
  struct sv_request_server *server = context;

  atomic_store (&server->stopped, true);
}

static const struct sv_core_loop_handlers core_handlers = {
  .refuse_request = refuse_request,
  .start_request = start_request,
  .replay_answer = replay_answer,
  .forget_request = forget_request,
  .submit_to_platform = submit_to_platform,
  .send_to_peer = send_to_peer,
  .view_changed = handle_view_change,
  .answer_change = answer_change,
  .answer_status = answer_status,
  .incarnation_changed = handle_new_incarnation,
  .stopped = handle_core_stopped,
};

/* ---- construction ---- */

static void
push_platform_event (void *context, struct co_event *event)
{
  struct sv_request_server *server = context;

  if (!sv_core_loop_push (server->core_loop, event))
    talloc_free (event); /* the core polls again and reads rows again, also
                            those that it has written */
}

static bool
push_peer_event (void *context, struct co_event *event)
{
  struct sv_request_server *server = context;

  return sv_core_loop_push (server->core_loop, event);
}

static void
resume_response (void *context, uint64_t call)
{
  struct sv_request_server *server = context;

  sv_proxy_resume (server->proxy, call);
}

static char *
format_metrics (void *context, TALLOC_CTX *mem)
{
  struct sv_request_server *server = context;
  struct ba_counter lost_lines = { "dogwoodpulley_log_lost_total", NULL,
                                   "Log lines lost because the ring was full",
                                   sv_log_lost_count (server->log) };

  return talloc_asprintf (
      mem, "%s%s%s%s%s", ba_counter_format (mem, &lost_lines, 1),
      sv_core_loop_format_metrics (server->core_loop, mem),
      sv_frontend_format_metrics (server->frontend, mem),
      ba_counter_format (mem, pr_peers_counters (server->peers),
                         PR_COUNTER_COUNT),
      sv_connections_format_metrics (server->connections,
                                     G_N_ELEMENTS (server->connections), mem));
}

static void
fill_core_options (const struct cf_settings *settings, struct co_options *core)
{
  co_options_init (core);
  core->name = settings->name;
  core->zone = settings->zone;
  core->peer_address = settings->peer;
  core->admin_address = settings->admin;
  core->lease_duration = settings->timing.standing_ms * CO_MILLISECOND;
  core->heartbeat_interval = settings->timing.heartbeat_ms * CO_MILLISECOND;
  core->poll_interval = settings->timing.poll_ms * CO_MILLISECOND;
  core->eviction_timeout = settings->timing.evict_ms * CO_MILLISECOND;
  core->lame_duck_period = settings->timing.lame_duck_ms * CO_MILLISECOND;
  core->max_time_to_deadline
      = settings->requests.max_deadline_ms * CO_MILLISECOND;
  core->max_request_count = (uint32_t)settings->requests.max_requests;
}

static bool
read_secrets (struct sv_request_server *server, GError **error)
{
  const struct cf_settings *settings = server->settings;

  server->admin_token
      = cf_settings_read_secret (server, settings->admin_token_file, error);
  if (server->admin_token == NULL)
    return false;
  server->peer_secret
      = cf_settings_read_secret (server, settings->secret_file, error);
  if (server->peer_secret == NULL)
    return false;
  server->platform_secret_key = cf_settings_read_secret (
      server, settings->platform.secret_key_file, error);
  return server->platform_secret_key != NULL;
}

static bool
create_core_proxy_and_platform (struct sv_request_server *server,
                                GError **error)
{
  struct sv_core_loop_options core_loop
      = { .record_file = server->settings->record,
          .log = server->log,
          .handlers = &core_handlers,
          .context = server };
  struct sv_proxy_options proxy
      = { .max_connections_per_backend = MAX_CONNECTIONS_PER_BACKEND,
          .log = server->log };
  struct pl_aws_options platform = { .settings = &server->settings->platform,
                                     .secret_key = server->platform_secret_key,
                                     .emit = push_platform_event,
                                     .context = server };

  fill_core_options (server->settings, &core_loop.core);
  server->core_loop = sv_core_loop_new (server, &core_loop, error);
  if (server->core_loop == NULL)
    return false;
  proxy.core_loop = server->core_loop;
  server->proxy = sv_proxy_new (server, &proxy);
  server->platform = pl_aws_new (server, &platform);
  return true;
}

static bool
create_peers_and_http_servers (struct sv_request_server *server,
                               GError **error)
{
  struct pr_peers_options peers = { .address = server->settings->peer,
                                    .secret = server->peer_secret,
                                    .on_event = push_peer_event,
                                    .context = server };
  struct sv_frontend_options frontend = { .settings = server->settings,
                                          .core_loop = server->core_loop,
                                          .log = server->log,
                                          .resume_response = resume_response,
                                          .context = server };
  struct sv_admin_options admin = { .settings = server->settings,
                                    .token = server->admin_token,
                                    .core_loop = server->core_loop,
                                    .log = server->log,
                                    .format_metrics = format_metrics,
                                    .context = server };

  peers.incarnation = sv_core_loop_incarnation (server->core_loop);
  server->peers = pr_peers_new (server, &peers, error);
  if (server->peers == NULL)
    return false;
  server->connections[0]
      = (struct sv_connections){ &server->http_servers[0], "clients", { 0 } };
  server->connections[1]
      = (struct sv_connections){ &server->http_servers[1], "admin", { 0 } };
  server->frontend = sv_frontend_new (server, &frontend, error);
  if (server->frontend == NULL)
    return false;
  server->http_servers[0] = sv_frontend_http_server (server->frontend);
  sv_proxy_set_client_server (server->proxy,
                              sv_frontend_http_server (server->frontend));
  server->admin = sv_admin_new (server, &admin, error);
  if (server->admin == NULL)
    return false;
  server->http_servers[1] = sv_admin_http_server (server->admin);
  return true;
}

static void
run_platform (void *context, void (*heartbeat) (void *), void *data)
{
  struct pl_platform *platform = context;

  platform->ops->run (platform, heartbeat, data);
}

static void
stop_platform (void *context)
{
  struct pl_platform *platform = context;

  platform->ops->stop (platform);
}

static void
run_peers (void *context, void (*heartbeat) (void *), void *data)
{
  pr_peers_run (context, heartbeat, data);
}

static void
stop_peers (void *context)
{
  pr_peers_stop (context);
}

/* Add the threads in the order in which they start.  The core's thread comes
   last, after those that carry out its actions.  Events that these pass to the
   core before it runs wait in its ring.  */
static void
create_supervisor (struct sv_request_server *server)
{
  const struct sv_thread_options threads[] = {
    { "log", sv_log_run, sv_log_stop, server->log },
    { "platform", run_platform, stop_platform, server->platform },
    { "peers", run_peers, stop_peers, server->peers },
    { "backends-1", sv_proxy_thread_run, sv_proxy_thread_stop,
      sv_proxy_get_thread (server->proxy, 0) },
    { "backends-2", sv_proxy_thread_run, sv_proxy_thread_stop,
      sv_proxy_get_thread (server->proxy, 1) },
    { "decider", sv_core_loop_run, sv_core_loop_stop, server->core_loop },
  };

  server->supervisor = sv_supervisor_new (server);
  for (size_t i = 0; i < G_N_ELEMENTS (threads); i++)
    sv_supervisor_add (server->supervisor, &threads[i]);
}

/* Raise the limit of open files to the highest allowed, because each client
   needs a descriptor, and each request at a backend server another one.  */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

/* Free the HTTP servers, and so stop their threads, before the objects that
   these threads use.  */
static int
request_server_destroy (struct sv_request_server *server)
{
  TALLOC_FREE (server->admin);
  TALLOC_FREE (server->frontend);
  return 0;
}

struct sv_request_server *
sv_request_server_new (TALLOC_CTX *mem, const struct cf_settings *settings,
                       GError **error)
{
  struct sv_request_server *server
      = talloc_zero (mem, struct sv_request_server);

  server->settings = settings;
  talloc_set_destructor (server, request_server_destroy);
  raise_descriptor_limit ();
  server->signal_fd = sv_signals_open ();
  server->log = sv_log_new (server, &settings->log, settings->name);
  if (read_secrets (server, error)
      && create_core_proxy_and_platform (server, error)
      && create_peers_and_http_servers (server, error))
    {
      create_supervisor (server);
      return server;
    }
  talloc_free (server);
  return NULL;
}

/* ---- running ---- */

/* Begin a planned stop: the core fails the load balancer's check, accepts
   requests for a while longer, and then refuses new ones.  */
static void
begin_stop (struct sv_request_server *server)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);

  sv_log (server->log, CF_LOG_INFO, "stopping", NULL);
  event->type = CO_EVENT_STOP;
  sv_core_loop_push_blocking (server->core_loop, event);
}

/* Accept no more clients, and wait until all have their responses and none is
   connected, at most RESPONSE_FLUSH_MS: requests may come over the connections
   that are open.  */
static void
flush_responses (struct sv_request_server *server)
{
  struct ht_server *http_server = sv_frontend_http_server (server->frontend);
  int64_t until = ba_clock_now_us () + RESPONSE_FLUSH_MS * 1000;

  do
    {
      ht_server_drain (http_server);
      g_usleep (RESPONSE_FLUSH_POLL_US);
    }
  while (ht_server_connection_count (http_server) > 0
         && ba_clock_now_us () < until);
}

/* Request the list of hosts if the time NEXT_DUE_US has come, and set the next
   time.  */
static void
list_hosts_if_due (struct sv_request_server *server, int64_t *next_due_us)
{
  int64_t now = ba_clock_now_us ();

  if (now < *next_due_us)
    return;
  *next_due_us = now + HOST_LIST_INTERVAL_MS * 1000;
  server->platform->ops->list_hosts (server->platform);
}

/* Check the connections of clients if the time NEXT_DUE_US has come, and set
   the next time.  */
static void
check_connections_if_due (struct sv_request_server *server,
                          int64_t *next_due_us)
{
  int64_t now = ba_clock_now_us ();

  if (now < *next_due_us)
    return;
  *next_due_us = now + CONNECTION_CHECK_INTERVAL_MS * 1000;
  sv_connections_check (server->connections,
                        G_N_ELEMENTS (server->connections), server->log);
}

int
sv_request_server_run (struct sv_request_server *server)
{
  struct pollfd signal_poll = { .fd = server->signal_fd, .events = POLLIN };
  int64_t next_host_list_us = 0;
  int64_t next_connection_check_us = 0;
  bool stopping = false;
  const char *failed_thread = NULL;

  sv_supervisor_start (server->supervisor);
  sv_log (server->log, CF_LOG_INFO, "started", "listen",
          server->settings->listen, "zone", server->settings->zone, "version",
          DP_VERSION, NULL);
  while (!atomic_load (&server->stopped) && failed_thread == NULL)
    {
      struct signalfd_siginfo info;

      poll (&signal_poll, 1, SUPERVISION_INTERVAL_MS);
      while (read (signal_poll.fd, &info, sizeof info) == (ssize_t)sizeof info)
        if (info.ssi_signo == SIGHUP)
          sv_log (server->log, CF_LOG_INFO, "settings-not-reloaded", "reason",
                  "settings are read only at the start", NULL);
        else if (!stopping)
          {
            stopping = true;
            begin_stop (server);
          }
      list_hosts_if_due (server, &next_host_list_us);
      check_connections_if_due (server, &next_connection_check_us);
      failed_thread = sv_supervisor_check (server->supervisor);
    }
  if (failed_thread != NULL)
    {
      /* A thread that hangs can't be stopped, so end the process, which must
         then be replaced.  */
      fprintf (stderr,
               "dogwoodpulleyd: thread %s hangs or has returned too often; "
               "ending the process\n",
               failed_thread);
      _exit (EXIT_THREAD_FAILED);
    }
  flush_responses (server);
  sv_log (server->log, CF_LOG_INFO, "stopped", NULL);
  TALLOC_FREE (server->admin);
  TALLOC_FREE (server->frontend);
  sv_supervisor_stop (server->supervisor);
  close (signal_poll.fd);
  return EXIT_SUCCESS;
}
