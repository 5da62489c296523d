#include "ht_server.h"

#include "dp_socket.h"
#include "dp_test.h"

#include <glib.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

/* Ends of connections that the server decides on.  A request that it has read
   whole must be answered, also if its connection was to be closed.  Handlers
   hold up the server's only thread, so that what happens meanwhile does so in
   a known order.  */

enum
{
  MAX_CONNECTIONS = 4,
  CROWD = 100, /* clients of the last test */
  MAX_BODY_BYTES = 1000,
  HEADER_MEMORY_BYTES = 8192,
  HANG_TIMEOUT_S = 30 /* only keeps a test from hanging */
};

static struct sockaddr_in address;
static struct ht_server *server;
static _Atomic unsigned request_count; /* that reached the handler */
static _Atomic uint64_t last_id;
static _Atomic unsigned given_up_count;
static _Atomic bool thread_held; /* by the handler of "/hold" */

/* Respond at once, except to "/wait".  */
static bool
handle_request (void *context, const struct ht_call *call)
{
  (void)context;
  atomic_store (&last_id, call->id);
  atomic_fetch_add (&request_count, 1);
  while (strcmp (call->target, "/hold") == 0 && atomic_load (&thread_held))
    g_usleep (1000);
  if (strcmp (call->target, "/wait") != 0)
    ht_call_respond (server, call->id, 200, NULL, 0, "ok", 2);
  return true;
}

static void
handle_too_large (void *context, const struct ht_call *call)
{
  (void)context;
  ht_call_respond (server, call->id, 413, NULL, 0, "too large", 9);
}

static void
give_up (void *context, uint64_t id, bool taken)
{
  (void)context;
  atomic_fetch_add (&given_up_count, 1);
  ht_call_respond (server, id, taken ? 504 : 503, NULL, 0, "given up", 8);
}

static void
ignore_disconnect (void *context, uint64_t id)
{
  (void)context;
  (void)id;
}

static const struct ht_server_handlers handlers
    = { .request = handle_request,
        .too_large = handle_too_large,
        .disconnected = ignore_disconnect,
        .give_up = give_up };

static void
start_server (unsigned max_connections)
{
  char text[32];
  struct ht_server_options options
      = { .address = text,
          .threads = 1,
          .max_connections = max_connections,
          .max_body_bytes = MAX_BODY_BYTES,
          .header_memory_bytes = HEADER_MEMORY_BYTES,
          .memory_bytes = max_connections * 25000,
          .drop_bodies = true,
          .no_disconnect_watch = true,
          .handlers = &handlers,
          .server_out = &server };

  address = dp_choose_address (text, sizeof text);
  atomic_store (&request_count, 0);
  atomic_store (&given_up_count, 0);
  atomic_store (&thread_held, false);
  CU_ASSERT_PTR_NOT_NULL_FATAL (ht_server_new (NULL, &options, NULL));
}

static void
send_request (int fd, const char *target)
{
  char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", target);

  dp_send_text (fd, text);
  g_free (text);
}

/* Return a connection that has had a response, and is idle.  */
static int
open_idle (void)
{
  int fd = dp_connect (&address);

  send_request (fd, "/");
  CU_ASSERT_EQUAL (dp_receive_response (fd), 200);
  return fd;
}

static void
await_requests (unsigned count)
{
  while (atomic_load (&request_count) < count)
    g_usleep (1000);
}

/* Return a connection whose request holds up the server's thread.  */
static int
hold_thread (void)
{
  int fd = dp_connect (&address);
  unsigned count = atomic_load (&request_count);

  atomic_store (&thread_held, true);
  send_request (fd, "/hold");
  await_requests (count + 1);
  return fd;
}

/* An idle connection is chosen to be closed, since there is one too many, when
   a whole request has arrived over it.  The request is refused, and not
   run.  */
static void
test_victim_with_request (void)
{
  int idle[MAX_CONNECTIONS - 1];
  int held;
  int extra;

  start_server (MAX_CONNECTIONS);
  for (int i = 0; i < MAX_CONNECTIONS - 1; i++)
    idle[i] = open_idle ();
  held = hold_thread ();
  extra = dp_connect (&address);
  send_request (idle[0], "/");
  atomic_store (&thread_held, false);
  CU_ASSERT_EQUAL (dp_receive_response (held), 200);
  CU_ASSERT_EQUAL (dp_receive_response (idle[0]), 503);
  CU_ASSERT_EQUAL (atomic_load (&request_count), MAX_CONNECTIONS);
  for (int i = 0; i < MAX_CONNECTIONS - 1; i++)
    close (idle[i]);
  close (held);
  close (extra);
  TALLOC_FREE (server);
}

/* Call DRAIN until no connection is left.  */
static void
drain_until_empty (void (*drain) (struct ht_server *))
{
  do
    {
      drain (server);
      g_usleep (1000);
    }
  while (ht_server_connection_count (server) > 0);
}

/* A drained server closes the connections without a request, and answers what
   is half sent, what waits, and what comes over a connection that only the
   kernel has accepted; then it closes these, too.  */
static void
test_drain (void)
{
  int idle;
  int silent;
  int half_sent;
  int waiting;
  int held;
  int queued;

  start_server (2 * MAX_CONNECTIONS);
  idle = open_idle ();
  silent = dp_connect (&address);
  half_sent = dp_connect (&address);
  dp_send_text (half_sent, "GET /half HTTP/1.1\r\n");
  waiting = dp_connect (&address);
  send_request (waiting, "/wait");
  await_requests (2);
  held = hold_thread ();
  queued = dp_connect (&address);
  send_request (queued, "/queued");
  ht_server_drain (server);
  atomic_store (&thread_held, false);
  CU_ASSERT_TRUE (dp_receive_text (held, "Connection: close"));
  CU_ASSERT_TRUE (dp_is_closed (held));
  CU_ASSERT_TRUE (dp_receive_text (queued, "Connection: close"));
  CU_ASSERT_TRUE (dp_is_closed (idle));
  CU_ASSERT_TRUE (dp_is_closed (silent));
  ht_server_drain (server);
  dp_send_text (half_sent, "Host: x\r\n\r\n");
  CU_ASSERT_EQUAL (dp_receive_response (half_sent), 200);
  CU_ASSERT_TRUE (dp_is_closed (half_sent));
  while (ht_server_connection_count (server) > 1)
    g_usleep (1000);
  close (idle);
  close (silent);
  close (half_sent);
  close (held);
  close (queued);
  ht_server_give_up_calls (server);
  CU_ASSERT_EQUAL (dp_receive_response (waiting), 503);
  drain_until_empty (ht_server_drain);
  close (waiting);
  TALLOC_FREE (server);
}

/* A whole request that has arrived over an idle connection, but was not read,
   is answered.  */
static void
test_drain_with_input (void)
{
  int idle;
  int held;

  start_server (MAX_CONNECTIONS);
  idle = open_idle ();
  held = hold_thread ();
  send_request (idle, "/");
  ht_server_drain (server);
  atomic_store (&thread_held, false);
  CU_ASSERT_EQUAL (dp_receive_response (idle), 200);
  CU_ASSERT_EQUAL (dp_receive_response (held), 200);
  drain_until_empty (ht_server_drain);
  close (idle);
  close (held);
  TALLOC_FREE (server);
}

/* A call is run or given up, never both: one that was taken is given up only
   as unknown, and one that was given up can't be taken.  */
static void
test_give_up (void)
{
  uint64_t taken_id;
  uint64_t other_id;
  int taken;
  int other;
  int half_sent;

  start_server (MAX_CONNECTIONS);
  taken = dp_connect (&address);
  send_request (taken, "/wait");
  await_requests (1);
  taken_id = atomic_load (&last_id);
  CU_ASSERT_TRUE (ht_call_take (server, taken_id));
  other = dp_connect (&address);
  send_request (other, "/wait");
  await_requests (2);
  other_id = atomic_load (&last_id);
  half_sent = dp_connect (&address);
  dp_send_text (half_sent, "GET / HTTP/1.1\r\n");
  while (ht_server_call_count (server) < 3)
    g_usleep (1000);
  CU_ASSERT_EQUAL (ht_server_refuse_requests (server), 1);
  CU_ASSERT_EQUAL (dp_receive_response (other), 503);
  CU_ASSERT_FALSE (ht_call_take (server, other_id));
  dp_send_text (half_sent, "Host: x\r\n\r\n");
  CU_ASSERT_EQUAL (dp_receive_response (half_sent), 503);
  CU_ASSERT_EQUAL (atomic_load (&request_count), 2);
  CU_ASSERT_EQUAL (ht_server_give_up_calls (server), 1);
  CU_ASSERT_EQUAL (dp_receive_response (taken), 504);
  CU_ASSERT_FALSE (
      ht_call_respond (server, taken_id, 200, NULL, 0, "late", 4));
  close (taken);
  close (other);
  close (half_sent);
  drain_until_empty (ht_server_drain);
  TALLOC_FREE (server);
}

static void
give_up_calls (struct ht_server *drained)
{
  ht_server_give_up_calls (drained);
}

/* At the end, connections whose requests are not complete are closed.  */
static void
test_close_incomplete (void)
{
  int header;
  int body;

  start_server (MAX_CONNECTIONS);
  header = dp_connect (&address);
  dp_send_text (header, "GET / HTTP/1.1\r\n");
  body = dp_connect (&address);
  dp_send_text (body, "POST / HTTP/1.1\r\nHost: x\r\n"
                      "Content-Length: 10\r\n\r\nabc");
  while (ht_server_call_count (server) < 2)
    g_usleep (1000);
  drain_until_empty (give_up_calls);
  CU_ASSERT_TRUE (dp_is_closed (header));
  CU_ASSERT_TRUE (dp_is_closed (body));
  CU_ASSERT_EQUAL (atomic_load (&request_count), 0);
  close (header);
  close (body);
  TALLOC_FREE (server);
}

/* A client that sends a second request at a random time during the drain.  */
struct client
{
  int fd;
  gulong pause_us;
  unsigned status; /* of the response; 0: none */
};

static gpointer
run_client (gpointer data)
{
  struct client *client = data;

  g_usleep (client->pause_us);
  send_request (client->fd, "/");
  client->status = dp_receive_response (client->fd);
  return NULL;
}

/* Requests come over idle connections while these are closed.  Each one that
   was read is answered: the server has counted as many as got an answer.  */
static void
test_requests_during_drain (void)
{
  struct client clients[CROWD];
  GThread *threads[CROWD];
  GRand *rand = g_rand_new_with_seed (1);
  unsigned answered = 0;

  start_server (2 * CROWD);
  for (int i = 0; i < CROWD; i++)
    clients[i].fd = open_idle ();
  for (int i = 0; i < CROWD; i++)
    {
      clients[i].pause_us = (gulong)g_rand_int_range (rand, 0, 40000);
      threads[i] = g_thread_new ("client", run_client, &clients[i]);
    }
  g_usleep (20000);
  drain_until_empty (ht_server_drain);
  for (int i = 0; i < CROWD; i++)
    {
      g_thread_join (threads[i]);
      answered += clients[i].status != 0;
      close (clients[i].fd);
    }
  CU_ASSERT_EQUAL (answered + CROWD, atomic_load (&request_count)
                                         + atomic_load (&given_up_count));
  g_rand_free (rand);
  TALLOC_FREE (server);
}

/* More clients wait in the kernel's queue than libmicrohttpd has room for when
   the server stops accepting.  Guards against sockets that are passed to
   libmicrohttpd over its limit of connections: its thread then blocks for ever
   on a lock of its own, so that neither what was read is answered nor the
   server can be freed.  */
static void
test_drain_with_full_queue (void)
{
  int queued[CROWD];
  gint64 until;
  bool empty;
  int held;

  start_server (MAX_CONNECTIONS);
  held = hold_thread ();
  for (int i = 0; i < CROWD; i++)
    queued[i] = dp_connect (&address);
  ht_server_drain (server);
  atomic_store (&thread_held, false);
  until = g_get_monotonic_time () + HANG_TIMEOUT_S * G_USEC_PER_SEC;
  do
    {
      ht_server_drain (server);
      g_usleep (10000);
      empty = ht_server_connection_count (server) == 0;
    }
  while (!empty && g_get_monotonic_time () < until);
  CU_ASSERT_TRUE (empty);
  for (int i = 0; i < CROWD; i++)
    close (queued[i]);
  close (held);
  /* A thread that blocks can't be joined.  */
  if (empty)
    TALLOC_FREE (server);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "a victim with a request", test_victim_with_request },
    { "drain", test_drain },
    { "drain with a request that was not read", test_drain_with_input },
    { "calls given up", test_give_up },
    { "connections without a whole request", test_close_incomplete },
    { "drain with a full queue of clients", test_drain_with_full_queue },
    { "requests during a drain", test_requests_during_drain },
    { NULL, NULL },
  };

  return dp_test_main ("ends of connections", tests);
}
