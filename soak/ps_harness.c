/* The threads of the HTTP server and of the HTTP client enter the simulation
   under the harness's lock.  The simulation's own thread holds it, except
   while it waits for a request, an answer or the next event (wait_until).  */

#include "ps_harness.h"

#include "ht_client.h"
#include "pf_standin.h"
#include "standin_http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  BASE_PORT = 18400, /* the port is the sum of this and the network */
  /* Last bytes of the addresses that belong to one entry host.  */
  STORE_ADDRESS_BYTE = 254,
  HOST_ADDRESS_BYTE = 253,
  CALL_TIMEOUT_MS = 3100,
  /* Of each period, a slow entry host runs only so long.  */
  SLOW_PERIOD_MS = 100,
  SLOW_RUN_MS = 12,
  CLIENT_RING_CAPACITY = 1024
};

/* Time that a planned stop of an entry host may take.  */
#define HOST_STOP_GRACE_S 2.0

/* A request that was sent less than this before its entry host closed the
   connection, as part of a planned stop, may remain without an answer.  */
#define CUT_OFF_SLACK (200 * JB_MS)

/* An HTTP request of an entry host that waits for the simulation's reply.  */
struct pending_request
{
  uint64_t number;
  uint32_t host; /* index of the entry host */
  const struct jb_command *command;
  GCond done_changed;
  bool done;       /* replied to, or given up at the simulation's end */
  unsigned status; /* 0: close the connection without a response */
  char *body;      /* released with free() */
};

struct ps_harness
{
  struct ps_options options;
  struct jw_external_hosts external_hosts;
  char *network;
  GMutex lock;
  GCond activity; /* a request or an answer has arrived */
  struct jw_world *world;
  int64_t clock_offset; /* Unix time minus monotonic time, us */
  uint64_t last_number;
  GHashTable *pending_requests; /* number -> struct pending_request */
  struct MHD_Daemon *http_server;
  struct ht_client *http_client;
  GThread *client_thread;
  GThread *slow_thread;
  uint32_t slow_host; /* index, or JW_MAX_HOST_COUNT */
  bool closing;
  pid_t pids[JW_MAX_HOST_COUNT]; /* 0: not started */
  bool stop_requested[JW_MAX_HOST_COUNT];
  jb_time started_at[JW_MAX_HOST_COUNT];
  jb_time stop_requested_at[JW_MAX_HOST_COUNT];
  /* The process was told to stop while it was being loaded, that is before its
     main function blocked SIGTERM.  */
  bool stopped_while_loading[JW_MAX_HOST_COUNT];
  int64_t log_size_at_start[JW_MAX_HOST_COUNT]; /* bytes */
  /* The process was frozen, or killed before the time for its planned stop had
     passed.  */
  bool disturbed[JW_MAX_HOST_COUNT];
  uint32_t crash_count; /* since the last ps_harness_take_crash_count */
};

/* Request handlers get no context argument.  */
static struct ps_harness *the_harness;

/* Return the Unix time in microseconds.  It is derived from the monotonic
   clock, so it doesn't jump when the system clock is set.  */
static jb_time
unix_now (const struct ps_harness *harness)
{
  return g_get_monotonic_time () + harness->clock_offset;
}

/* ---- requests of entry hosts ---- */

static const char *
find_query (void *data, const char *name)
{
  return standin_get_query (data, name);
}

static const char *
find_header (void *data, const char *name)
{
  return standin_get_header (data, name);
}

/* Return the index of the entry host that sent a request to ADDRESS, and write
   the simulation's address of the same backend server to WORLD_ADDRESS, which
   has SIZE bytes.  */
static uint32_t
find_sender (const struct ps_harness *harness, const char *address,
             char *world_address, size_t size)
{
  unsigned host = 1;
  unsigned last = 0;

  sscanf (address, "127.%*u.%u.%u", &host, &last);
  snprintf (world_address, size, "%s.%u:%u", harness->network, last,
            ps_harness_backend_port (harness));
  return host > 0 && host <= JW_MAX_HOST_COUNT ? host - 1 : 0;
}

/* Submit the command of PENDING to the simulation and wait for the reply.  The
   caller holds the lock.  */
static void
execute_request (struct ps_harness *harness, struct pending_request *pending)
{
  pending->number = ++harness->last_number;
  g_cond_init (&pending->done_changed);
  g_hash_table_insert (harness->pending_requests, &pending->number, pending);
  harness->world->now = MAX (harness->world->now, unix_now (harness));
  jw_submit_command (&harness->world->hosts[pending->host], pending->number,
                     pending->command);
  g_cond_signal (&harness->activity);
  while (!pending->done)
    g_cond_wait (&pending->done_changed, &harness->lock);
  g_hash_table_remove (harness->pending_requests, &pending->number);
  g_cond_clear (&pending->done_changed);
}

static void
handle_request (const struct standin_request *request,
                struct standin_response *answer)
{
  struct ps_harness *harness = the_harness;
  TALLOC_CTX *mem = talloc_new (NULL);
  struct pf_standin_request in
      = { request->method, request->path, request->body,  request->body_len,
          find_query,      find_header,   (void *)request };
  struct jb_command command;
  struct pending_request pending = { .command = &command };
  char world_address[64];

  if (!pf_standin_decode_request (mem, &in, &command))
    {
      standin_set_text (answer, 404, "text/plain", "no such path\n");
      talloc_free (mem);
      return;
    }
  pending.host = find_sender (harness, standin_get_header (request, "Host"),
                              world_address, sizeof world_address);
  command.backend.address = world_address;
  g_mutex_lock (&harness->lock);
  if (harness->world != NULL && pending.host < harness->world->options.hosts)
    execute_request (harness, &pending);
  g_mutex_unlock (&harness->lock);
  answer->close_connection = pending.status == 0;
  answer->status = pending.status;
  answer->content_type = "application/json";
  answer->body = pending.body;
  answer->body_len = pending.body != NULL ? strlen (pending.body) : 0;
  talloc_free (mem);
}

/* Replace the addresses of backend servers in REPLY by those that entry host
   HOST uses.  */
static void
rewrite_addresses (const struct ps_harness *harness, uint32_t host,
                   const struct jb_reply *reply)
{
  for (uint32_t i = 0; i < reply->backend_count; i++)
    {
      unsigned last = 0;

      sscanf (reply->backends[i].address, "127.%*u.0.%u", &last);
      reply->backends[i].address = talloc_asprintf (
          reply->mem, "127.%u.%u.%u:%u", harness->options.network, host + 1,
          last, ps_harness_backend_port (harness));
    }
}

static void
deliver_reply (void *context, uint64_t number, const struct jb_reply *reply)
{
  struct ps_harness *harness = context;
  struct pending_request *pending
      = g_hash_table_lookup (harness->pending_requests, &number);

  if (pending == NULL || pending->done)
    return;
  rewrite_addresses (harness, pending->host, reply);
  pending->body = strdup (pf_standin_encode_response (
      reply->mem, pending->command, reply, &pending->status));
  pending->done = true;
  g_cond_signal (&pending->done_changed);
}

/* ---- calls of clients ---- */

struct call
{
  struct ps_harness *harness;
  struct jw_world *world;
  uint64_t number;
  enum jb_call_kind kind;
  uint32_t host; /* index of the entry host */
  jb_time sent_at;
  GByteArray *body;
};

/* Check that CALL, whose connection was closed without an answer, was not cut
   off by a planned stop.  */
static void
check_cut_off (const struct ps_harness *harness, const struct call *call)
{
  uint32_t host = call->host;
  jb_time age = unix_now (harness) - call->sent_at;

  if (harness->stop_requested[host] && !harness->disturbed[host]
      && call->sent_at >= harness->started_at[host] && age > CUT_OFF_SLACK
      && age < CALL_TIMEOUT_MS * JB_MS)
    jw_report_violation (call->world, "LOST",
                         "entry-%u has stopped without an answer to a call "
                         "that was sent %d ms before",
                         host, (int)(age / JB_MS));
}

static bool
receive_call_body (struct ht_exchange *exchange, void *context,
                   const void *data, size_t len)
{
  struct call *call = context;

  (void)exchange;
  g_byte_array_append (call->body, data, (guint)len);
  return true;
}

static void
receive_call_end (struct ht_exchange *exchange, void *context,
                  enum ht_result result, unsigned status)
{
  struct call *call = context;
  struct ps_harness *harness = call->harness;
  struct jb_answer answer;

  (void)exchange;
  pf_standin_decode_answer (
      NULL, call->kind, result == HT_RESULT_COMPLETE ? status : 0,
      (const char *)call->body->data, call->body->len, &answer);
  g_mutex_lock (&harness->lock);
  if (harness->world == call->world)
    {
      call->world->now = MAX (call->world->now, unix_now (harness));
      if (result != HT_RESULT_COMPLETE && result != HT_RESULT_NOT_SENT)
        check_cut_off (harness, call);
      jw_receive_answer (call->world, call->number, &answer);
    }
  g_cond_signal (&harness->activity);
  g_mutex_unlock (&harness->lock);
  g_byte_array_free (call->body, TRUE);
  g_free (call);
}

static const struct ht_client_handlers call_handlers
    = { .body = receive_call_body, .done = receive_call_end };

static void
send_call (void *context, uint64_t number, uint32_t index,
           const struct jb_call *client_call)
{
  struct ps_harness *harness = context;
  TALLOC_CTX *mem = talloc_new (NULL);
  struct call *call = g_new0 (struct call, 1);
  struct ht_header headers[]
      = { { "Host", client_call->host },
          { pf_standin_api_key_header, client_call->key },
          { "Content-Type", "application/json" } };
  struct ht_request request
      = { .method = pf_standin_client_method (client_call->kind),
          .headers = headers,
          .header_count = G_N_ELEMENTS (headers),
          .timeout_ms = CALL_TIMEOUT_MS,
          .no_retry = true };

  call->harness = harness;
  call->world = harness->world;
  call->number = number;
  call->kind = client_call->kind;
  call->host = index;
  call->sent_at = unix_now (harness);
  call->body = g_byte_array_new ();
  request.url = talloc_asprintf (
      mem, "http://127.%u.%u.%d:%d%s", harness->options.network, index + 1,
      HOST_ADDRESS_BYTE, PF_STANDIN_CLIENT_PORT, client_call->path);
  if (client_call->desc != NULL)
    {
      request.body = pf_standin_encode_job (mem, client_call->desc);
      request.body_len = strlen (request.body);
    }
  if (!ht_client_submit (harness->http_client, &request, &call_handlers, call))
    {
      /* The simulated client takes the call for lost when its time is up.  */
      g_byte_array_free (call->body, TRUE);
      g_free (call);
    }
  talloc_free (mem);
}

static void
ignore_iteration (void *context)
{
  (void)context;
}

static gpointer
client_main (gpointer data)
{
  ht_client_run (data, ignore_iteration, NULL);
  return NULL;
}

/* ---- processes ---- */

static char *
host_file_path (const struct ps_harness *harness, uint32_t index,
                const char *suffix)
{
  return g_strdup_printf ("%s/entry-%u.%s", harness->options.directory, index,
                          suffix);
}

static void
write_settings (const struct ps_harness *harness, uint32_t index,
                const char *file)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  char *prefix = talloc_asprintf (mem, "127.%u.%u", harness->options.network,
                                  index + 1);
  char *store = talloc_asprintf (mem, "%s.%d:%u", prefix, STORE_ADDRESS_BYTE,
                                 ps_harness_backend_port (harness));
  struct pf_standin_node node
      = { .name = talloc_asprintf (mem, "entry-%u", index),
          .zone = "zone",
          .ip = talloc_asprintf (mem, "%s.%d", prefix, HOST_ADDRESS_BYTE),
          .store_address = store,
          .machines_address = store,
          .grace_s = HOST_STOP_GRACE_S,
          .memory_mb = harness->options.memory_mb,
          .max_descriptors = harness->options.max_descriptors };
  GError *error = NULL;

  if (!g_file_set_contents (file, pf_standin_encode_settings (mem, &node), -1,
                            &error))
    {
      fprintf (stderr, "process_soak: can't write the settings file: %s\n",
               error->message);
      exit (EXIT_FAILURE);
    }
  talloc_free (mem);
}

/* Return the size of the log of entry host INDEX in bytes.  */
static int64_t
get_log_size (const struct ps_harness *harness, uint32_t index)
{
  char *log = host_file_path (harness, index, "log");
  GStatBuf status = { 0 };
  int64_t size = g_stat (log, &status) == 0 ? status.st_size : 0;

  g_free (log);
  return size;
}

/* Return whether the main thread of process PID blocks SIGNAL_NUMBER.  The
   program does so first thing in main, and keeps it blocked; a signal that
   arrives before that, while the program is being loaded, ends the process.
   Loading takes longer, the less processor time the process gets.  */
static bool
is_signal_blocked (pid_t pid, int signal_number)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  char *text = NULL;
  const char *line = NULL;
  guint64 blocked = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    line = strstr (text, "\nSigBlk:");
  if (line != NULL)
    blocked = g_ascii_strtoull (line + strlen ("\nSigBlk:"), NULL, 16);
  g_free (text);
  g_free (path);
  return (blocked >> (signal_number - 1) & 1) != 0;
}

/* If the process of entry host INDEX has ended, collect its status, and count
   a crash unless it was stopped or killed.  OPTIONS as for waitpid.  */
static void
reap_host (struct ps_harness *harness, uint32_t index, int options)
{
  int status;

  if (harness->pids[index] == 0
      || waitpid (harness->pids[index], &status, options)
             != harness->pids[index])
    return;
  harness->pids[index] = 0;
  if (harness->stop_requested[index] && WIFEXITED (status)
      && WEXITSTATUS (status) == 0)
    return;
  if (WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL)
    return;
  if (WIFSIGNALED (status)
      && (WTERMSIG (status) == SIGTERM || WTERMSIG (status) == SIGHUP)
      && harness->stopped_while_loading[index]
      && get_log_size (harness, index) == harness->log_size_at_start[index])
    return;
  harness->crash_count++;
  fprintf (stderr,
           "process_soak: entry-%u ended unexpectedly with wait status %d\n",
           index, status);
}

static void
start_host (void *context, uint32_t index)
{
  struct ps_harness *harness = context;
  char *settings = host_file_path (harness, index, "json");
  char *log = host_file_path (harness, index, "log");
  char *variable = g_strconcat ("DOGWOODPULLEY_NODE_FILE=", settings, NULL);
  char *arguments[] = { (char *)harness->options.program, "--jobs", NULL };
  char *environment[] = { variable, NULL };
  posix_spawn_file_actions_t actions;
  posix_spawnattr_t attributes;
  sigset_t none;
  int error;

  write_settings (harness, index, settings);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_init (&attributes);
  sigemptyset (&none);
  posix_spawnattr_setsigmask (&attributes, &none);
  posix_spawnattr_setflags (&attributes, POSIX_SPAWN_SETSIGMASK);
  harness->stop_requested[index] = false;
  harness->disturbed[index] = false;
  harness->stopped_while_loading[index] = false;
  harness->log_size_at_start[index] = get_log_size (harness, index);
  harness->started_at[index] = unix_now (harness);
  error = posix_spawn (&harness->pids[index], harness->options.program,
                       &actions, &attributes, arguments, environment);
  if (error != 0)
    {
      fprintf (stderr, "process_soak: can't start %s: %s\n",
               harness->options.program, strerror (error));
      exit (EXIT_FAILURE);
    }
  posix_spawn_file_actions_destroy (&actions);
  posix_spawnattr_destroy (&attributes);
  g_free (settings);
  g_free (log);
  g_free (variable);
}

static void
signal_host (void *context, uint32_t index, int signal_number)
{
  struct ps_harness *harness = context;

  reap_host (harness, index, WNOHANG);
  if (harness->pids[index] == 0)
    return;
  if (signal_number == SIGHUP
      && !is_signal_blocked (harness->pids[index], SIGHUP))
    return;
  if (signal_number == SIGTERM)
    {
      harness->stop_requested[index] = true;
      harness->stop_requested_at[index] = unix_now (harness);
      if (!is_signal_blocked (harness->pids[index], SIGTERM))
        harness->stopped_while_loading[index] = true;
      /* A host must handle several signals in a row.  */
      kill (harness->pids[index], SIGHUP);
      kill (harness->pids[index], SIGTERM);
    }
  if (signal_number == SIGSTOP
      || (signal_number == SIGKILL
          && (!harness->stop_requested[index]
              || unix_now (harness) - harness->stop_requested_at[index]
                     < (jb_time)(HOST_STOP_GRACE_S * JB_SECOND))))
    harness->disturbed[index] = true;
  kill (harness->pids[index], signal_number);
  if (signal_number == SIGKILL)
    reap_host (harness, index, 0);
}

struct sockaddr_in
ps_harness_client_address (const struct ps_harness *harness, uint32_t index)
{
  char *text = g_strdup_printf ("127.%u.%u.%d", harness->options.network,
                                index + 1, HOST_ADDRESS_BYTE);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (PF_STANDIN_CLIENT_PORT) };

  address.sin_addr.s_addr = inet_addr (text);
  g_free (text);
  return address;
}

/* Send SIGNAL_NUMBER to the process of entry host INDEX, if there is one.  The
   caller holds the lock, so it isn't reaped meanwhile.  */
static void
signal_slow_host (const struct ps_harness *harness, uint32_t index,
                  int signal_number)
{
  if (index < JW_MAX_HOST_COUNT && harness->pids[index] != 0)
    kill (harness->pids[index], signal_number);
}

static gpointer
slow_main (gpointer data)
{
  struct ps_harness *harness = data;
  bool closing = false;

  while (!closing)
    {
      uint32_t host;

      g_mutex_lock (&harness->lock);
      host = harness->slow_host;
      signal_slow_host (harness, host, SIGSTOP);
      g_mutex_unlock (&harness->lock);
      g_usleep ((SLOW_PERIOD_MS - SLOW_RUN_MS) * 1000);
      g_mutex_lock (&harness->lock);
      signal_slow_host (harness, host, SIGCONT);
      closing = harness->closing;
      g_mutex_unlock (&harness->lock);
      g_usleep (SLOW_RUN_MS * 1000);
    }
  return NULL;
}

void
ps_harness_set_slow_host (struct ps_harness *harness, uint32_t index)
{
  harness->slow_host = index;
  if (harness->slow_thread == NULL)
    harness->slow_thread = g_thread_new ("slow-host", slow_main, harness);
}

uint32_t
ps_harness_take_crash_count (struct ps_harness *harness)
{
  uint32_t crash_count;

  for (uint32_t i = 0; i < JW_MAX_HOST_COUNT; i++)
    reap_host (harness, i, WNOHANG);
  crash_count = harness->crash_count;
  harness->crash_count = 0;
  return crash_count;
}

/* ---- time ---- */

static jb_time
wait_until (void *context, jb_time until)
{
  struct ps_harness *harness = context;

  if (until > unix_now (harness))
    g_cond_wait_until (&harness->activity, &harness->lock,
                       until - harness->clock_offset);
  return unix_now (harness);
}

void
ps_harness_lock (struct ps_harness *harness)
{
  g_mutex_lock (&harness->lock);
}

void
ps_harness_unlock (struct ps_harness *harness)
{
  g_mutex_unlock (&harness->lock);
}

void
ps_harness_set_world (struct ps_harness *harness, struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  harness->world = world;
  g_hash_table_iter_init (&iter, harness->pending_requests);
  while (world == NULL && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pending_request *pending = value;

      pending->done = true;
      g_cond_signal (&pending->done_changed);
    }
}

/* ---- construction ---- */

static int
harness_destroy (struct ps_harness *harness)
{
  ps_harness_lock (harness);
  ps_harness_set_world (harness, NULL);
  harness->closing = true;
  ps_harness_unlock (harness);
  if (harness->slow_thread != NULL)
    g_thread_join (harness->slow_thread);
  for (uint32_t i = 0; i < JW_MAX_HOST_COUNT; i++)
    signal_host (harness, i, SIGKILL);
  if (harness->client_thread != NULL)
    {
      ht_client_stop (harness->http_client);
      g_thread_join (harness->client_thread);
    }
  if (harness->http_server != NULL)
    MHD_stop_daemon (harness->http_server);
  g_hash_table_destroy (harness->pending_requests);
  g_mutex_clear (&harness->lock);
  g_cond_clear (&harness->activity);
  the_harness = NULL;
  return 0;
}

struct ps_harness *
ps_harness_new (TALLOC_CTX *mem, const struct ps_options *options)
{
  struct ps_harness *harness = talloc_zero (mem, struct ps_harness);
  struct ht_client_options client_options
      = { .ring_capacity = CLIENT_RING_CAPACITY };
  char address[32];

  harness->options = *options;
  harness->slow_host = JW_MAX_HOST_COUNT;
  harness->network = talloc_asprintf (harness, "127.%u.0", options->network);
  harness->external_hosts
      = (struct jw_external_hosts){ .context = harness,
                                    .wait_until = wait_until,
                                    .start_host = start_host,
                                    .signal_host = signal_host,
                                    .send_call = send_call,
                                    .deliver_reply = deliver_reply };
  g_mutex_init (&harness->lock);
  g_cond_init (&harness->activity);
  harness->clock_offset = g_get_real_time () - g_get_monotonic_time ();
  harness->pending_requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (harness, harness_destroy);
  the_harness = harness;
  snprintf (address, sizeof address, "0.0.0.0:%u",
            ps_harness_backend_port (harness));
  harness->http_server = standin_start_server (address, handle_request);
  if (harness->http_server == NULL)
    {
      talloc_free (harness);
      return NULL;
    }
  harness->http_client = ht_client_new (harness, &client_options);
  harness->client_thread
      = g_thread_new ("clients", client_main, harness->http_client);
  return harness;
}

const struct jw_external_hosts *
ps_harness_external_hosts (const struct ps_harness *harness)
{
  return &harness->external_hosts;
}

const char *
ps_harness_network_prefix (const struct ps_harness *harness)
{
  return harness->network;
}

uint32_t
ps_harness_backend_port (const struct ps_harness *harness)
{
  return BASE_PORT + harness->options.network;
}
