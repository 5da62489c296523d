#include "ht_server.h"

#include "dp_socket.h"
#include "dp_test.h"

#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Each test starts a server with small limits on a port that the kernel
   chooses, and sends it requests over sockets of its own.  No test depends on
   how fast they are answered.  */

enum
{
  MAX_CONNECTIONS = 4,
  MAX_BODY_BYTES = 20000,
  HEADER_MEMORY_BYTES = 8192
};

static char address[32];
static struct sockaddr_in socket_address;
static struct ht_server *server;
static _Atomic unsigned request_count; /* that reached the handler */
static _Atomic uint64_t last_id;
static _Atomic size_t last_body_len;
static _Atomic bool respond_at_once;

static bool
handle_request (void *context, const struct ht_call *call)
{
  (void)context;
  atomic_store (&last_body_len, call->body_len);
  atomic_store (&last_id, call->id);
  atomic_fetch_add (&request_count, 1);
  if (atomic_load (&respond_at_once))
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
ignore_disconnect (void *context, uint64_t id)
{
  (void)context;
  (void)id;
}

static const struct ht_server_handlers handlers
    = { .request = handle_request,
        .too_large = handle_too_large,
        .disconnected = ignore_disconnect };

static void
start_server (void)
{
  struct ht_server_options options
      = { .address = address,
          .threads = 1,
          .max_connections = MAX_CONNECTIONS,
          .max_body_bytes = MAX_BODY_BYTES,
          .header_memory_bytes = HEADER_MEMORY_BYTES,
          /* So little that only two of the largest bodies fit.  */
          .memory_bytes = 100 * 1000,
          .drop_bodies = true,
          .no_disconnect_watch = true,
          .handlers = &handlers,
          .server_out = &server };

  socket_address = dp_choose_address (address, sizeof address);
  atomic_store (&request_count, 0);
  atomic_store (&respond_at_once, true);
  CU_ASSERT_PTR_NOT_NULL_FATAL (ht_server_new (NULL, &options, NULL));
}

static void
stop_server (void)
{
  TALLOC_FREE (server);
}

static void
send_body (int fd, size_t len)
{
  char *body = g_strnfill (len, 'x');

  dp_send_text (fd, body);
  g_free (body);
}

/* Send the header of a request whose body has LEN bytes.  */
static void
send_header (int fd, size_t len)
{
  char *text = g_strdup_printf (
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n", len);

  dp_send_text (fd, text);
  g_free (text);
}

static void
send_chunks (int fd, size_t count, size_t chunk_len)
{
  char *chunk = g_strnfill (chunk_len, 'x');
  char *text = g_strdup_printf ("%zx\r\n%s\r\n", chunk_len, chunk);

  for (size_t i = 0; i < count; i++)
    dp_send_text (fd, text);
  g_free (text);
  g_free (chunk);
}

static uint64_t
rejection_count (enum ht_rejection reason)
{
  struct ht_server_usage usage;

  ht_server_get_usage (server, &usage);
  return usage.rejections[reason];
}

/* The largest body is received whole, in one part, in several and in chunks,
   one request after the other on one connection.  */
static void
test_largest_body (void)
{
  int fd;

  start_server ();
  fd = dp_connect (&socket_address);
  send_header (fd, MAX_BODY_BYTES);
  send_body (fd, MAX_BODY_BYTES);
  CU_ASSERT_TRUE (dp_receive_text (fd, "ok"));
  CU_ASSERT_EQUAL (atomic_load (&last_body_len), MAX_BODY_BYTES);
  dp_send_text (fd, "POST / HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
  send_chunks (fd, MAX_BODY_BYTES / 10, 10);
  dp_send_text (fd, "0\r\n\r\n");
  CU_ASSERT_TRUE (dp_receive_text (fd, "ok"));
  CU_ASSERT_EQUAL (atomic_load (&last_body_len), MAX_BODY_BYTES);
  dp_send_text (fd, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (dp_receive_text (fd, "ok"));
  CU_ASSERT_EQUAL (atomic_load (&last_body_len), 0);
  CU_ASSERT_EQUAL (atomic_load (&request_count), 3);
  close (fd);
  stop_server ();
}

/* A body that announces more than the limit is refused before it is sent, and
   its connection closed.  */
static void
test_announced_body (void)
{
  int fd;

  start_server ();
  fd = dp_connect (&socket_address);
  send_header (fd, MAX_BODY_BYTES + 1);
  CU_ASSERT_TRUE (dp_receive_text (fd, " 413 "));
  CU_ASSERT_TRUE (dp_is_closed (fd));
  CU_ASSERT_EQUAL (rejection_count (HT_REJECTION_TOO_LARGE), 1);
  CU_ASSERT_EQUAL (atomic_load (&request_count), 0);
  close (fd);
  stop_server ();
}

/* A chunked body that ends little above the limit is refused with a response;
   one that goes on is not read to its end.  */
static void
test_chunked_body (void)
{
  int fd;

  start_server ();
  fd = dp_connect (&socket_address);
  dp_send_text (fd, "POST / HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
  send_chunks (fd, 1, MAX_BODY_BYTES + 1);
  dp_send_text (fd, "0\r\n\r\n");
  CU_ASSERT_TRUE (dp_receive_text (fd, " 413 "));
  close (fd);
  fd = dp_connect (&socket_address);
  dp_send_text (fd, "POST / HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
  send_chunks (fd, 40, MAX_BODY_BYTES / 10);
  CU_ASSERT_TRUE (dp_is_closed (fd));
  CU_ASSERT_EQUAL (rejection_count (HT_REJECTION_TOO_LARGE), 2);
  CU_ASSERT_EQUAL (atomic_load (&request_count), 0);
  close (fd);
  stop_server ();
}

/* While bodies of waiting requests take half of the memory for bodies, a
   further one is refused, and has not reached the handler.  */
static void
test_waiting_bodies (void)
{
  int first;
  int second;

  start_server ();
  atomic_store (&respond_at_once, false);
  first = dp_connect (&socket_address);
  second = dp_connect (&socket_address);
  send_header (first, MAX_BODY_BYTES);
  send_body (first, MAX_BODY_BYTES);
  while (atomic_load (&request_count) == 0)
    g_usleep (1000);
  send_header (second, MAX_BODY_BYTES);
  send_body (second, MAX_BODY_BYTES);
  CU_ASSERT_TRUE (dp_receive_text (second, "Dogwoodpulley-Run: not-run"));
  CU_ASSERT_EQUAL (atomic_load (&request_count), 1);
  CU_ASSERT_EQUAL (rejection_count (HT_REJECTION_OVERLOADED), 1);
  ht_call_respond (server, atomic_load (&last_id), 200, NULL, 0, "ok", 2);
  CU_ASSERT_TRUE (dp_receive_text (first, "ok"));
  close (first);
  close (second);
  stop_server ();
}

/* When stalled requests have all connections, the oldest of them goes, and the
   next client is served.  */
static void
test_stalled_connections (void)
{
  int stalled[MAX_CONNECTIONS];
  int fd;

  start_server ();
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    {
      stalled[i] = dp_connect (&socket_address);
      send_header (stalled[i], 100);
    }
  fd = dp_connect (&socket_address);
  send_header (fd, 2);
  send_body (fd, 2);
  CU_ASSERT_TRUE (dp_receive_text (fd, "ok"));
  CU_ASSERT_TRUE (dp_is_closed (stalled[0]));
  CU_ASSERT_EQUAL (rejection_count (HT_REJECTION_CONNECTIONS), 1);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    close (stalled[i]);
  close (fd);
  stop_server ();
}

/* Nothing is counted for connections that have ended.  They are closed once
   the server has read what they sent: libmicrohttpd sees an end that arrives
   with the last bytes only when the connection times out.  */
static void
test_usage_after_end (void)
{
  enum
  {
    CLIENT_COUNT = 2,
    SENT_BYTES = 5000
  };
  struct ht_server_usage usage;
  int fds[CLIENT_COUNT];

  start_server ();
  for (int i = 0; i < CLIENT_COUNT; i++)
    {
      fds[i] = dp_connect (&socket_address);
      send_header (fds[i], MAX_BODY_BYTES);
      send_body (fds[i], SENT_BYTES);
    }
  do
    {
      g_usleep (1000);
      ht_server_get_usage (server, &usage);
    }
  while (usage.body_bytes < (size_t)2 * CLIENT_COUNT * SENT_BYTES);
  CU_ASSERT_EQUAL (usage.connections, CLIENT_COUNT);
  for (int i = 0; i < CLIENT_COUNT; i++)
    close (fds[i]);
  do
    {
      g_usleep (1000);
      ht_server_get_usage (server, &usage);
    }
  while (usage.connections > 0);
  CU_ASSERT_EQUAL (usage.body_bytes, 0);
  stop_server ();
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "largest body", test_largest_body },
    { "announced body over the limit", test_announced_body },
    { "chunked body over the limit", test_chunked_body },
    { "bodies of waiting requests", test_waiting_bodies },
    { "stalled connections", test_stalled_connections },
    { "usage after the end", test_usage_after_end },
    { NULL, NULL },
  };

  return dp_test_main ("HTTP server", tests);
}
