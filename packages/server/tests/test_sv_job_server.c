#include "sv_job_server.h"

#include "ba_clock.h"
#include "dp_socket.h"
#include "dp_test.h"
#include "sv_signals.h"

#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Runs a job server on loopback, sends it SIGTERM and requests of which the
   event loop is late to hear, and checks that each request that was read is
   answered: a stop that ends by the clock leaves those that wait in the queue
   of events.  The server has no store, so it refuses each call; the platform
   below makes the encoding of an answer, which the event loop does, slow.

   No check depends on how fast the machine is, except that answers must come
   before the grace period ends, when a process would be killed.  */

enum
{
  GRACE_MS = 4000,
  DRAIN_MS = 2000, /* from SIGTERM until the balancer has noticed */
  MAX_REQUEST_COUNT = 64
};

static const char *const first_half = "GET /%d HTTP/1.1\r\nHost: x\r\n";

static struct sockaddr_in client_address;
/* By the number in the path: whether the server has read the whole request. */
static _Atomic bool was_read[MAX_REQUEST_COUNT];
/* So many further answers take the event loop SLOW_ANSWER_MS each.  */
static _Atomic int slow_answer_count;
static _Atomic int slow_answer_ms;

/* ---- the platform ---- */

static struct sv_service_request *
encode_request (const void *platform, TALLOC_CTX *mem,
                const struct jb_command *command)
{
  (void)platform;
  (void)mem;
  (void)command;
  return NULL;
}

static void
decode_response (const void *platform, TALLOC_CTX *mem,
                 enum jb_command_kind kind, unsigned status, const char *body,
                 size_t len, struct jb_reply *reply)
{
  (void)platform;
  (void)mem;
  (void)kind;
  (void)status;
  (void)body;
  (void)len;
  reply->result = JB_RESULT_INVALID;
}

static bool
decode_client_request (const void *platform, TALLOC_CTX *mem,
                       const struct sv_client_request *request,
                       struct jb_call *call)
{
  long number = strtol (request->target + 1, NULL, 10);

  (void)platform;
  call->kind = JB_CALL_QUERY;
  call->path = talloc_strdup (mem, request->target);
  if (number >= 0 && number < MAX_REQUEST_COUNT)
    atomic_store (&was_read[number], true);
  return true;
}

static void
encode_client_response (const void *platform, TALLOC_CTX *mem,
                        const struct jb_answer *answer,
                        struct sv_client_response *response)
{
  (void)platform;
  (void)answer;
  if (atomic_fetch_sub (&slow_answer_count, 1) > 0)
    g_usleep ((gulong)atomic_load (&slow_answer_ms) * 1000);
  response->status = 503;
  response->body = talloc_strdup (mem, "refused\n");
  response->content_type = "text/plain";
}

static const struct sv_platform_adapter adapter
    = { .encode_request = encode_request,
        .decode_response = decode_response,
        .decode_client_request = decode_client_request,
        .encode_client_response = encode_client_response,
        .api_key_header = "X-Key",
        .deadline_header = "X-Deadline",
        .readiness_path = "/ready" };

/* ---- the server ---- */

static const struct sv_job_server_settings *
keep_settings (void *data, GError **error)
{
  (void)data;
  (void)error;
  return NULL;
}

static gpointer
run_server (gpointer data)
{
  return GINT_TO_POINTER (sv_job_server_run (data));
}

/* Start a server, which *SERVER is set to.  Return the thread that runs it. */
static GThread *
start_server (struct sv_job_server **server)
{
  static char client[32];
  static char readiness[32];
  static char peer[32];
  static struct sv_job_server_settings settings;
  struct sv_job_server_options options = { .settings = &settings,
                                           .adapter = &adapter,
                                           .reload_settings = keep_settings };
  GError *error = NULL;

  client_address = dp_choose_address (client, sizeof client);
  dp_choose_address (readiness, sizeof readiness);
  dp_choose_address (peer, sizeof peer);
  settings = (struct sv_job_server_settings){ .name = "entry-0",
                                              .zone = "zone",
                                              .client_address = client,
                                              .readiness_address = readiness,
                                              .peer_address = peer,
                                              .peer_secret = "secret",
                                              .stop_grace_ms = GRACE_MS,
                                              .max_body_bytes = 1000,
                                              .max_connections = 200,
                                              .client_memory_bytes = 20 << 20,
                                              .log.level = CF_LOG_WARN };
  for (int i = 0; i < MAX_REQUEST_COUNT; i++)
    atomic_store (&was_read[i], false);
  atomic_store (&slow_answer_count, 0);
  *server = sv_job_server_new (NULL, &options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (*server);
  return g_thread_new ("server", run_server, *server);
}

/* ---- clients ---- */

static void
send_first_half (int fd, int number)
{
  char *text = g_strdup_printf (first_half, number);

  dp_send_text (fd, text);
  g_free (text);
}

/* ---- tests ---- */

/* Requests that were begun before SIGTERM are completed when the host is about
   to be drained, while the event loop is held up until the grace period is
   over.  Each is answered before.  */
static void
test_late_event_loop (void)
{
  enum
  {
    COUNT = 20,
    SENT_BEFORE_DRAIN_MS = 300,
    LATE_MS = GRACE_MS
  };
  struct sv_job_server *server;
  GThread *thread = start_server (&server);
  int fds[COUNT];
  int64_t killed_at;
  int answered = 0;

  for (int i = 0; i < COUNT; i++)
    {
      fds[i] = dp_connect (&client_address);
      send_first_half (fds[i], i);
    }
  kill (getpid (), SIGTERM);
  killed_at = ba_clock_now_us () + GRACE_MS * JB_MS;
  g_usleep ((DRAIN_MS - SENT_BEFORE_DRAIN_MS) * 1000);
  atomic_store (&slow_answer_ms, LATE_MS);
  atomic_store (&slow_answer_count, 1);
  for (int i = 0; i < COUNT; i++)
    dp_send_text (fds[i], "\r\n");
  for (int i = 0; i < COUNT; i++)
    {
      answered += dp_receive_response (fds[i]) != 0;
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (answered, COUNT);
  CU_ASSERT_TRUE (ba_clock_now_us () < killed_at);
  CU_ASSERT_EQUAL (GPOINTER_TO_INT (g_thread_join (thread)), EXIT_SUCCESS);
  talloc_free (server);
}

/* Requests that were begun before SIGTERM are completed after the host has
   become idle, and the event loop is held up by the first of them.  */
static void
test_requests_after_drain (void)
{
  enum
  {
    COUNT = 20,
    SENT_AFTER_DRAIN_MS = 100,
    LATE_MS = 1000
  };
  struct sv_job_server *server;
  GThread *thread = start_server (&server);
  int fds[COUNT];
  int answered = 0;

  for (int i = 0; i < COUNT; i++)
    {
      fds[i] = dp_connect (&client_address);
      send_first_half (fds[i], i);
    }
  kill (getpid (), SIGTERM);
  g_usleep ((DRAIN_MS + SENT_AFTER_DRAIN_MS) * 1000);
  atomic_store (&slow_answer_ms, LATE_MS);
  atomic_store (&slow_answer_count, 1);
  for (int i = 0; i < COUNT; i++)
    dp_send_text (fds[i], "\r\n");
  for (int i = 0; i < COUNT; i++)
    {
      answered += dp_receive_response (fds[i]) != 0;
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (answered, COUNT);
  CU_ASSERT_EQUAL (GPOINTER_TO_INT (g_thread_join (thread)), EXIT_SUCCESS);
  talloc_free (server);
}

/* A client that keeps its connection open without a request, and sends one at
   a certain time after SIGTERM.  */
struct idle_client
{
  int fd;
  int number;
  int64_t send_at;
  bool answered;
};

static gpointer
run_idle_client (gpointer data)
{
  struct idle_client *client = data;
  int64_t now = ba_clock_now_us ();

  if (client->send_at > now)
    g_usleep ((gulong)(client->send_at - now));
  send_first_half (client->fd, client->number);
  dp_send_text (client->fd, "\r\n");
  client->answered = dp_receive_response (client->fd) != 0;
  return NULL;
}

/* Requests come over idle connections until the process is gone, and each
   answer takes the event loop so long that they form a queue.  Each is
   answered, or was not read.  */
static void
test_idle_connections (void)
{
  enum
  {
    COUNT = 60,
    ANSWER_MS = 15,
    STEP_MS = 10,
    FIRST_MS = DRAIN_MS - 250
  };
  struct sv_job_server *server;
  GThread *thread = start_server (&server);
  struct idle_client clients[COUNT];
  GThread *client_threads[COUNT];
  int64_t stop_at;

  for (int i = 0; i < COUNT; i++)
    {
      clients[i] = (struct idle_client){ .fd = dp_connect (&client_address),
                                         .number = i };
      send_first_half (clients[i].fd, MAX_REQUEST_COUNT);
      dp_send_text (clients[i].fd, "\r\n");
      CU_ASSERT_NOT_EQUAL (dp_receive_response (clients[i].fd), 0);
    }
  kill (getpid (), SIGTERM);
  stop_at = ba_clock_now_us ();
  atomic_store (&slow_answer_ms, ANSWER_MS);
  atomic_store (&slow_answer_count, COUNT);
  for (int i = 0; i < COUNT; i++)
    {
      clients[i].send_at = stop_at + (FIRST_MS + i * STEP_MS) * JB_MS;
      client_threads[i]
          = g_thread_new ("client", run_idle_client, &clients[i]);
    }
  for (int i = 0; i < COUNT; i++)
    g_thread_join (client_threads[i]);
  CU_ASSERT_EQUAL (GPOINTER_TO_INT (g_thread_join (thread)), EXIT_SUCCESS);
  for (int i = 0; i < COUNT; i++)
    {
      CU_ASSERT_TRUE (clients[i].answered || !atomic_load (&was_read[i]));
      close (clients[i].fd);
    }
  talloc_free (server);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "late event loop", test_late_event_loop },
    { "requests after the host is drained", test_requests_after_drain },
    { "requests over idle connections", test_idle_connections },
    { NULL, NULL },
  };

  sv_signals_block ();
  return dp_test_main ("job server", tests);
}
