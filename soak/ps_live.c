#include "ps_live.h"

#include "ht_client.h"
#include "pf_standin.h"
#include "standin_http.h"

#include <errno.h>
#include <fcntl.h>
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
  FIRST_PORT = 18400, /* and the network's number */
  STORE_ADDRESS = 254,
  HOST_ADDRESS = 253,
  CALL_TIMEOUT_MS = 3100,
  CLIENT_RING = 1024
};

#define HOST_GRACE_S 2.0

/* Before a program's first statement nothing holds signals back; within so
   long of its start it is in the loader's hands.  */
#define LOADING (100 * JB_MS)

/* A request of an entry host that waits for the world's reply.  */
struct slot
{
  uint64_t number;
  uint32_t host;
  const struct jb_command *order;
  GCond done_now;
  bool done;
  unsigned status; /* 0: break the connection off */
  char *body;      /* for free() */
};

struct ps_live
{
  struct ps_options options;
  struct jw_outside outside;
  char *network;
  GMutex lock;
  GCond arrived;
  struct jw_world *world;
  int64_t clock_offset; /* Unix time less the steady clock, us */
  uint64_t last_number;
  GHashTable *slots; /* number -> struct slot */
  struct MHD_Daemon *front;
  struct ht_client *clients;
  GThread *client_thread;
  pid_t hosts[JW_MAX_HOSTS]; /* 0: not started */
  bool told_to_stop[JW_MAX_HOSTS];
  jb_time started[JW_MAX_HOSTS];
  jb_time told[JW_MAX_HOSTS];
  uint32_t crashes;
};

static struct ps_live *the_live; /* handlers of requests have no context */

static jb_time
now_of (const struct ps_live *live)
{
  return g_get_monotonic_time () + live->clock_offset;
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

/* Return whose request came to ADDRESS, and make that the world's address of
   the same backend server.  */
static uint32_t
find_host (const struct ps_live *live, const char *address, char *plain,
           size_t size)
{
  unsigned host = 1;
  unsigned last = 0;

  sscanf (address, "127.%*u.%u.%u", &host, &last);
  snprintf (plain, size, "%s.%u:%u", live->network, last, ps_live_port (live));
  return host > 0 && host <= JW_MAX_HOSTS ? host - 1 : 0;
}

static void
wait_for_reply (struct ps_live *live, struct slot *slot)
{
  slot->number = ++live->last_number;
  g_cond_init (&slot->done_now);
  g_hash_table_insert (live->slots, &slot->number, slot);
  live->world->now = MAX (live->world->now, now_of (live));
  jw_submit_order (&live->world->hosts[slot->host], slot->number, slot->order);
  g_cond_signal (&live->arrived);
  while (!slot->done)
    g_cond_wait (&slot->done_now, &live->lock);
  g_hash_table_remove (live->slots, &slot->number);
  g_cond_clear (&slot->done_now);
}

static void
serve (const struct standin_request *request, struct standin_response *answer)
{
  struct ps_live *live = the_live;
  TALLOC_CTX *mem = talloc_new (NULL);
  struct pf_standin_request in
      = { request->method, request->path, request->body,  request->body_len,
          find_query,      find_header,   (void *)request };
  struct jb_command order;
  struct slot slot = { .order = &order };
  char plain[64];

  if (!pf_standin_decode_request (mem, &in, &order))
    {
      standin_set_text (answer, 404, "text/plain", "no such path\n");
      talloc_free (mem);
      return;
    }
  slot.host = find_host (live, standin_get_header (request, "Host"), plain,
                         sizeof plain);
  order.backend.address = plain;
  g_mutex_lock (&live->lock);
  if (live->world != NULL && slot.host < live->world->options.hosts)
    wait_for_reply (live, &slot);
  g_mutex_unlock (&live->lock);
  answer->close_connection = slot.status == 0;
  answer->status = slot.status;
  answer->content_type = "application/json";
  answer->body = slot.body;
  answer->body_len = slot.body != NULL ? strlen (slot.body) : 0;
  talloc_free (mem);
}

/* Each entry host sees the backend servers at addresses of its own.  */
static void
readdress (const struct ps_live *live, uint32_t host,
           const struct jb_reply *reply)
{
  for (uint32_t i = 0; i < reply->backend_count; i++)
    {
      unsigned last = 0;

      sscanf (reply->backends[i].address, "127.%*u.0.%u", &last);
      reply->backends[i].address = talloc_asprintf (
          reply->mem, "127.%u.%u.%u:%u", live->options.network, host + 1, last,
          ps_live_port (live));
    }
}

static void
take_reply (void *context, uint64_t number, const struct jb_reply *reply)
{
  struct ps_live *live = context;
  struct slot *slot = g_hash_table_lookup (live->slots, &number);

  if (slot == NULL || slot->done)
    return;
  readdress (live, slot->host, reply);
  slot->body = strdup (pf_standin_encode_response (reply->mem, slot->order,
                                                   reply, &slot->status));
  slot->done = true;
  g_cond_signal (&slot->done_now);
}

/* ---- calls of clients ---- */

struct call
{
  struct ps_live *live;
  struct jw_world *world;
  uint64_t number;
  enum jb_call_kind kind;
  GByteArray *body;
};

static bool
call_body (struct ht_exchange *exchange, void *context, const void *data,
           size_t len)
{
  struct call *call = context;

  (void)exchange;
  g_byte_array_append (call->body, data, (guint)len);
  return true;
}

static void
call_done (struct ht_exchange *exchange, void *context, enum ht_result result,
           unsigned status)
{
  struct call *call = context;
  struct ps_live *live = call->live;
  struct jb_answer answer;

  (void)exchange;
  pf_standin_decode_answer (
      NULL, call->kind, result == HT_RESULT_COMPLETE ? status : 0,
      (const char *)call->body->data, call->body->len, &answer);
  g_mutex_lock (&live->lock);
  if (live->world == call->world)
    {
      call->world->now = MAX (call->world->now, now_of (live));
      jw_answer (call->world, call->number, &answer);
    }
  g_cond_signal (&live->arrived);
  g_mutex_unlock (&live->lock);
  g_byte_array_free (call->body, TRUE);
  g_free (call);
}

static const struct ht_client_handlers call_handlers
    = { .body = call_body, .done = call_done };

static void
send_call (void *context, uint64_t number, uint32_t index,
           const struct jb_call *from)
{
  struct ps_live *live = context;
  TALLOC_CTX *mem = talloc_new (NULL);
  struct call *call = g_new0 (struct call, 1);
  struct ht_header headers[] = { { "Host", from->host },
                                 { pf_standin_api_key_header, from->key },
                                 { "Content-Type", "application/json" } };
  struct ht_request request
      = { .method = pf_standin_client_method (from->kind),
          .headers = headers,
          .header_count = G_N_ELEMENTS (headers),
          .timeout_ms = CALL_TIMEOUT_MS,
          .no_retry = true };

  call->live = live;
  call->world = live->world;
  call->number = number;
  call->kind = from->kind;
  call->body = g_byte_array_new ();
  request.url = talloc_asprintf (
      mem, "http://127.%u.%u.%d:%d%s", live->options.network, index + 1,
      HOST_ADDRESS, PF_STANDIN_CLIENT_PORT, from->path);
  if (from->desc != NULL)
    {
      request.body = pf_standin_encode_job (mem, from->desc);
      request.body_len = strlen (request.body);
    }
  if (!ht_client_submit (live->clients, &request, &call_handlers, call))
    {
      /* The world takes it for lost in its time.  */
      g_byte_array_free (call->body, TRUE);
      g_free (call);
    }
  talloc_free (mem);
}

static void
no_beat (void *context)
{
  (void)context;
}

static gpointer
client_main (gpointer data)
{
  ht_client_run (data, no_beat, NULL);
  return NULL;
}

/* ---- processes ---- */

static char *
host_file (const struct ps_live *live, uint32_t index, const char *suffix)
{
  return g_strdup_printf ("%s/entry-%u.%s", live->options.directory, index,
                          suffix);
}

static void
write_settings (const struct ps_live *live, uint32_t index, const char *file)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  char *prefix
      = talloc_asprintf (mem, "127.%u.%u", live->options.network, index + 1);
  char *store = talloc_asprintf (mem, "%s.%d:%u", prefix, STORE_ADDRESS,
                                 ps_live_port (live));
  struct pf_standin_node node
      = { .name = talloc_asprintf (mem, "entry-%u", index),
          .zone = "zone",
          .ip = talloc_asprintf (mem, "%s.%d", prefix, HOST_ADDRESS),
          .store_address = store,
          .machines_address = store,
          .grace_s = HOST_GRACE_S };
  GError *error = NULL;

  if (!g_file_set_contents (file, pf_standin_encode_settings (mem, &node), -1,
                            &error))
    {
      fprintf (stderr, "process_soak: %s\n", error->message);
      exit (EXIT_FAILURE);
    }
  talloc_free (mem);
}

/* Take note of the end of host INDEX, if it has ended.  */
static void
reap (struct ps_live *live, uint32_t index, int options)
{
  int status;

  if (live->hosts[index] == 0
      || waitpid (live->hosts[index], &status, options) != live->hosts[index])
    return;
  live->hosts[index] = 0;
  if (live->told_to_stop[index] && WIFEXITED (status)
      && WEXITSTATUS (status) == 0)
    return;
  if (WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL)
    return;
  if (live->told_to_stop[index] && WIFSIGNALED (status)
      && live->told[index] - live->started[index] < LOADING)
    return;
  live->crashes++;
  fprintf (stderr, "process_soak: entry-%u ended by itself: status %d\n",
           index, status);
}

static void
start_host (void *context, uint32_t index)
{
  struct ps_live *live = context;
  char *settings = host_file (live, index, "json");
  char *log = host_file (live, index, "log");
  char *variable = g_strconcat ("DOGWOODPULLEY_NODE_FILE=", settings, NULL);
  char *arguments[] = { (char *)live->options.program, "--jobs", NULL };
  char *environment[] = { variable, NULL };
  posix_spawn_file_actions_t actions;
  posix_spawnattr_t attributes;
  sigset_t none;
  int error;

  write_settings (live, index, settings);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_init (&attributes);
  sigemptyset (&none);
  posix_spawnattr_setsigmask (&attributes, &none);
  posix_spawnattr_setflags (&attributes, POSIX_SPAWN_SETSIGMASK);
  live->told_to_stop[index] = false;
  live->started[index] = now_of (live);
  error = posix_spawn (&live->hosts[index], live->options.program, &actions,
                       &attributes, arguments, environment);
  if (error != 0)
    {
      fprintf (stderr, "process_soak: %s: %s\n", live->options.program,
               strerror (error));
      exit (EXIT_FAILURE);
    }
  posix_spawn_file_actions_destroy (&actions);
  posix_spawnattr_destroy (&attributes);
  g_free (settings);
  g_free (log);
  g_free (variable);
}

static void
signal_host (void *context, uint32_t index, int number)
{
  struct ps_live *live = context;

  reap (live, index, WNOHANG);
  if (live->hosts[index] == 0)
    return;
  if (number == SIGTERM)
    {
      live->told_to_stop[index] = true;
      live->told[index] = now_of (live);
      /* Signals come in series.  */
      kill (live->hosts[index], SIGHUP);
      kill (live->hosts[index], SIGTERM);
    }
  kill (live->hosts[index], number);
  if (number == SIGKILL)
    reap (live, index, 0);
}

uint32_t
ps_live_crashes (struct ps_live *live)
{
  uint32_t crashes;

  for (uint32_t i = 0; i < JW_MAX_HOSTS; i++)
    reap (live, i, WNOHANG);
  crashes = live->crashes;
  live->crashes = 0;
  return crashes;
}

/* ---- time ---- */

static jb_time
pass_time (void *context, jb_time until)
{
  struct ps_live *live = context;

  if (until > now_of (live))
    g_cond_wait_until (&live->arrived, &live->lock,
                       until - live->clock_offset);
  return now_of (live);
}

void
ps_live_lock (struct ps_live *live)
{
  g_mutex_lock (&live->lock);
}

void
ps_live_unlock (struct ps_live *live)
{
  g_mutex_unlock (&live->lock);
}

void
ps_live_world (struct ps_live *live, struct jw_world *world)
{
  GHashTableIter iter;
  gpointer value;

  live->world = world;
  g_hash_table_iter_init (&iter, live->slots);
  while (world == NULL && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct slot *slot = value;

      slot->done = true;
      g_cond_signal (&slot->done_now);
    }
}

/* ---- making ---- */

static int
live_destroy (struct ps_live *live)
{
  ps_live_lock (live);
  ps_live_world (live, NULL);
  ps_live_unlock (live);
  for (uint32_t i = 0; i < JW_MAX_HOSTS; i++)
    signal_host (live, i, SIGKILL);
  if (live->client_thread != NULL)
    {
      ht_client_stop (live->clients);
      g_thread_join (live->client_thread);
    }
  if (live->front != NULL)
    MHD_stop_daemon (live->front);
  g_hash_table_destroy (live->slots);
  g_mutex_clear (&live->lock);
  g_cond_clear (&live->arrived);
  the_live = NULL;
  return 0;
}

struct ps_live *
ps_live_new (TALLOC_CTX *mem, const struct ps_options *options)
{
  struct ps_live *live = talloc_zero (mem, struct ps_live);
  struct ht_client_options clients = { .ring_capacity = CLIENT_RING };
  char address[32];

  live->options = *options;
  live->network = talloc_asprintf (live, "127.%u.0", options->network);
  live->outside = (struct jw_outside){ .context = live,
                                       .wait = pass_time,
                                       .start = start_host,
                                       .signal = signal_host,
                                       .call = send_call,
                                       .reply = take_reply };
  g_mutex_init (&live->lock);
  g_cond_init (&live->arrived);
  live->clock_offset = g_get_real_time () - g_get_monotonic_time ();
  live->slots = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (live, live_destroy);
  the_live = live;
  snprintf (address, sizeof address, "0.0.0.0:%u", ps_live_port (live));
  live->front = standin_start_server (address, serve);
  if (live->front == NULL)
    {
      talloc_free (live);
      return NULL;
    }
  live->clients = ht_client_new (live, &clients);
  live->client_thread = g_thread_new ("clients", client_main, live->clients);
  return live;
}

const struct jw_outside *
ps_live_outside (const struct ps_live *live)
{
  return &live->outside;
}

const char *
ps_live_network (const struct ps_live *live)
{
  return live->network;
}

uint32_t
ps_live_port (const struct ps_live *live)
{
  return FIRST_PORT + live->options.network;
}
