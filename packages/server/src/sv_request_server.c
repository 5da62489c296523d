#include "sv_request_server.h"

#include "ba_clock.h"
#include "ht_server.h"
#include "pl_platform.h"
#include "pr_peers.h"
#include "sv_admin.h"
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
  WATCH_MS = 100,
  HOST_LIST_MS = 1000,
  MAX_HOST_CONNECTIONS = 7, /* of the 64 to one backend, for 9 entry hosts */
  LAST_ANSWERS_MS = 2000,   /* for answers under way when all is decided */
  EXIT_FAILED_DUTY = 70
};

struct sv_request_server
{
  const struct cf_settings *settings;
  char *admin_token;
  char *peer_secret;
  char *platform_secret;
  struct sv_log *log;
  struct sv_core_loop *decider;
  struct sv_frontend *callers;
  struct sv_proxy *backends;
  struct sv_admin *admin;
  struct pr_peers *peers;
  struct pl_platform *platform;
  struct sv_supervisor *supervisor;
  int signals;          /* descriptor */
  _Atomic bool stopped; /* the core has nothing left to do */
};

/* ---- effects of the decision core ---- */

static void
do_refuse (void *context, const struct co_action_refuse *refuse)
{
  struct sv_request_server *d = context;
  char request[24];

  snprintf (request, sizeof request, "%" PRIu64, refuse->request_id);
  sv_log (d->log, CF_LOG_INFO, "refused", "request", request, "reason",
          co_reason_info (refuse->reason)->name, NULL);
  sv_response_send_problem (sv_frontend_http_server (d->callers),
                            refuse->request_id, refuse->reason,
                            refuse->retry_after_ms, NULL);
}

static void
do_start (void *context, const struct co_action_start *start, co_time decided)
{
  struct sv_request_server *d = context;
  char request[24];

  if (sv_log_is_enabled (d->log, CF_LOG_DEBUG))
    {
      snprintf (request, sizeof request, "%" PRIu64, start->request_id);
      sv_log (d->log, CF_LOG_DEBUG, "start", "request", request, "worker",
              start->host, NULL);
    }
  sv_proxy_forward (d->backends, start, decided);
}

static void
do_replay (void *context, const struct co_action_replay *replay)
{
  struct sv_request_server *d = context;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ht_field *fields;
  size_t count = sv_response_parse_headers (scratch, replay->headers, &fields);

  ht_call_respond (sv_frontend_http_server (d->callers), replay->request_id,
                   replay->http_status, fields, count, replay->body.data,
                   replay->body.len);
  talloc_free (scratch);
}

static void
do_forget (void *context, uint64_t request)
{
  struct sv_request_server *d = context;

  /* An answered call ignores this; one whose caller went away is still
     suspended and has to be let go.  */
  ht_call_respond (sv_frontend_http_server (d->callers), request, 499, NULL, 0,
                   NULL, 0);
}

static void
do_platform (void *context, const struct co_action *outcome)
{
  struct sv_request_server *d = context;

  d->platform->ops->submit (d->platform, outcome);
}

static void
do_send (void *context, const struct co_action_send *send)
{
  struct sv_request_server *d = context;

  pr_peers_send (d->peers, send->recipient, &send->message);
}

static void
do_view (void *context, const struct co_view *view)
{
  struct sv_request_server *d = context;
  char version[24];
  char members[12];

  snprintf (version, sizeof version, "%" PRIu64, view->version);
  snprintf (members, sizeof members, "%" PRIu32, view->member_count);
  sv_log (d->log, CF_LOG_INFO, "view", "version", version, "members", members,
          NULL);
  pr_peers_set_view (d->peers, view);
}

static void
do_changed (void *context, const struct co_action_change_done *changed)
{
  struct sv_request_server *d = context;

  sv_admin_send_change_result (d->admin, changed);
}

static void
do_status (void *context, uint64_t call, const struct co_status *status)
{
  struct sv_request_server *d = context;

  sv_admin_send_status (d->admin, call, status);
}

static void
do_identity (void *context, uint64_t incarnation)
{
  struct sv_request_server *d = context;

  pr_peers_set_incarnation (d->peers, incarnation);
}

static void
do_stopped (void *context)
{
  struct sv_request_server *d = context;

  atomic_store (&d->stopped, true);
}

static const struct sv_core_loop_handlers effects = {
  .refuse = do_refuse,
  .start = do_start,
  .replay = do_replay,
  .forget = do_forget,
  .platform = do_platform,
  .send = do_send,
  .view = do_view,
  .changed = do_changed,
  .status = do_status,
  .identity = do_identity,
  .stopped = do_stopped,
};

/* ---- construction ---- */

static void
emit_platform (void *context, struct co_event *event)
{
  struct sv_request_server *d = context;

  if (!sv_core_loop_push (d->decider, event))
    talloc_free (event); /* polled again; written rows are read again */
}

static bool
emit_peer (void *context, struct co_event *event)
{
  struct sv_request_server *d = context;

  return sv_core_loop_push (d->decider, event);
}

static void
take_drained (void *context, uint64_t call)
{
  struct sv_request_server *d = context;

  sv_proxy_resume (d->backends, call);
}

static char *
expose (void *context, TALLOC_CTX *mem)
{
  struct sv_request_server *d = context;
  struct ba_counter lost = { "dogwoodpulley_log_lost_total", NULL,
                             "Log lines lost because the ring was full",
                             sv_log_lost_count (d->log) };

  return talloc_asprintf (
      mem, "%s%s%s%s", ba_counter_format (mem, &lost, 1),
      sv_core_loop_metrics (d->decider, mem),
      sv_frontend_metrics (d->callers, mem),
      ba_counter_format (mem, pr_peers_counters (d->peers), PR_COUNTER_COUNT));
}

static void
fill_core_options (const struct cf_settings *s, struct co_options *core)
{
  co_options_init (core);
  core->name = s->name;
  core->zone = s->zone;
  core->peer_address = s->peer;
  core->admin_address = s->admin;
  core->lease_duration = s->timing.standing_ms * CO_MILLISECOND;
  core->heartbeat_interval = s->timing.heartbeat_ms * CO_MILLISECOND;
  core->poll_interval = s->timing.poll_ms * CO_MILLISECOND;
  core->eviction_timeout = s->timing.evict_ms * CO_MILLISECOND;
  core->lame_duck_period = s->timing.lame_duck_ms * CO_MILLISECOND;
  core->max_time_to_deadline = s->requests.max_deadline_ms * CO_MILLISECOND;
  core->max_request_count = (uint32_t)s->requests.max_requests;
}

static bool
read_secrets (struct sv_request_server *d, GError **error)
{
  const struct cf_settings *s = d->settings;

  d->admin_token = cf_settings_read_secret (d, s->admin_token_file, error);
  if (d->admin_token == NULL)
    return false;
  d->peer_secret = cf_settings_read_secret (d, s->secret_file, error);
  if (d->peer_secret == NULL)
    return false;
  d->platform_secret
      = cf_settings_read_secret (d, s->platform.secret_key_file, error);
  return d->platform_secret != NULL;
}

static bool
make_inner_duties (struct sv_request_server *d, GError **error)
{
  struct sv_core_loop_options decider = { .record = d->settings->record,
                                          .log = d->log,
                                          .effects = &effects,
                                          .context = d };
  struct sv_proxy_options backends
      = { .max_host_connections = MAX_HOST_CONNECTIONS, .log = d->log };
  struct pl_aws_options platform = { .settings = &d->settings->platform,
                                     .secret_key = d->platform_secret,
                                     .emit = emit_platform,
                                     .context = d };

  fill_core_options (d->settings, &decider.core);
  d->decider = sv_core_loop_new (d, &decider, error);
  if (d->decider == NULL)
    return false;
  backends.decider = d->decider;
  d->backends = sv_proxy_new (d, &backends);
  d->platform = pl_aws_new (d, &platform);
  return true;
}

static bool
make_outer_duties (struct sv_request_server *d, GError **error)
{
  struct pr_peers_options peers = { .address = d->settings->peer,
                                    .secret = d->peer_secret,
                                    .on_event = emit_peer,
                                    .context = d };
  struct sv_frontend_options callers = { .settings = d->settings,
                                         .decider = d->decider,
                                         .log = d->log,
                                         .drained = take_drained,
                                         .context = d };
  struct sv_admin_options admin = { .settings = d->settings,
                                    .token = d->admin_token,
                                    .decider = d->decider,
                                    .log = d->log,
                                    .expose = expose,
                                    .context = d };

  peers.incarnation = sv_core_loop_incarnation (d->decider);
  d->peers = pr_peers_new (d, &peers, error);
  if (d->peers == NULL)
    return false;
  d->callers = sv_frontend_new (d, &callers, error);
  if (d->callers == NULL)
    return false;
  sv_proxy_set_client_server (d->backends,
                              sv_frontend_http_server (d->callers));
  d->admin = sv_admin_new (d, &admin, error);
  return d->admin != NULL;
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

/* The order of starting: those that others write to come first.  */
static void
supervise (struct sv_request_server *d)
{
  const struct sv_thread_options children[] = {
    { "log", sv_log_run, sv_log_stop, d->log },
    { "platform", run_platform, stop_platform, d->platform },
    { "peers", run_peers, stop_peers, d->peers },
    { "backends-1", sv_proxy_thread_run, sv_proxy_thread_stop,
      sv_proxy_thread (d->backends, 0) },
    { "backends-2", sv_proxy_thread_run, sv_proxy_thread_stop,
      sv_proxy_thread (d->backends, 1) },
    { "decider", sv_core_loop_run, sv_core_loop_stop, d->decider },
  };

  d->supervisor = sv_supervisor_new (d);
  for (size_t i = 0; i < G_N_ELEMENTS (children); i++)
    sv_supervisor_add (d->supervisor, &children[i]);
}

/* Each caller takes a descriptor, and each started request another.  */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

/* Stop the HTTP threads before what they call into goes away.  */
static int
daemon_destroy (struct sv_request_server *d)
{
  TALLOC_FREE (d->admin);
  TALLOC_FREE (d->callers);
  return 0;
}

struct sv_request_server *
sv_request_server_new (TALLOC_CTX *mem, const struct cf_settings *settings,
                       GError **error)
{
  struct sv_request_server *d = talloc_zero (mem, struct sv_request_server);

  d->settings = settings;
  talloc_set_destructor (d, daemon_destroy);
  raise_descriptor_limit ();
  d->signals = sv_signals_open ();
  d->log = sv_log_new (d, &settings->log, settings->name);
  if (read_secrets (d, error) && make_inner_duties (d, error)
      && make_outer_duties (d, error))
    {
      supervise (d);
      return d;
    }
  talloc_free (d);
  return NULL;
}

/* ---- running ---- */

/* A planned stop: the core fails the balancer check, goes on for a while, and
   then refuses what is new.  A second signal changes nothing.  */
static void
begin_stop (struct sv_request_server *d)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);

  sv_log (d->log, CF_LOG_INFO, "stopping", NULL);
  event->type = CO_EVENT_STOP;
  sv_core_loop_push_blocking (d->decider, event);
}

/* Let answers that are on their way reach their callers.  */
static void
finish_answers (struct sv_request_server *d)
{
  struct ht_server *server = sv_frontend_http_server (d->callers);
  int64_t until = ba_clock_now_us () + LAST_ANSWERS_MS * 1000;

  ht_server_stop_accepting (server);
  while (ht_server_call_count (server) > 0 && ba_clock_now_us () < until)
    g_usleep (10000);
}

static void
list_hosts_when_due (struct sv_request_server *d, int64_t *next)
{
  int64_t now = ba_clock_now_us ();

  if (now < *next)
    return;
  *next = now + HOST_LIST_MS * 1000;
  d->platform->ops->list_hosts (d->platform);
}

int
sv_request_server_run (struct sv_request_server *d)
{
  struct pollfd p = { .fd = d->signals, .events = POLLIN };
  int64_t next_list = 0;
  bool stopping = false;
  const char *failed = NULL;

  sv_supervisor_start (d->supervisor);
  sv_log (d->log, CF_LOG_INFO, "started", "listen", d->settings->listen,
          "zone", d->settings->zone, "version", DP_VERSION, NULL);
  while (!atomic_load (&d->stopped) && failed == NULL)
    {
      struct signalfd_siginfo info;

      poll (&p, 1, WATCH_MS);
      while (read (p.fd, &info, sizeof info) == (ssize_t)sizeof info)
        if (info.ssi_signo == SIGHUP)
          sv_log (d->log, CF_LOG_INFO, "settings-kept", "reason",
                  "they are read at the start", NULL);
        else if (!stopping)
          {
            stopping = true;
            begin_stop (d);
          }
      list_hosts_when_due (d, &next_list);
      failed = sv_supervisor_check (d->supervisor);
    }
  if (failed != NULL)
    {
      /* Threads that hang can't be stopped: the process is replaced.  */
      fprintf (stderr, "dogwoodpulleyd: duty %s failed\n", failed);
      _exit (EXIT_FAILED_DUTY);
    }
  finish_answers (d);
  sv_log (d->log, CF_LOG_INFO, "stopped", NULL);
  TALLOC_FREE (d->admin);
  TALLOC_FREE (d->callers);
  sv_supervisor_stop (d->supervisor);
  close (p.fd);
  return EXIT_SUCCESS;
}
