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
  MAX_BODY_BYTES = 1000,
  HEADER_MEMORY_BYTES = 8192
};

static struct sockaddr_in address;
static struct ht_server *server;
static _Atomic unsigned request_count; /* that reached the handler */
static _Atomic uint64_t last_id;
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
  char text[32];
  struct ht_server_options options
      = { .address = text,
          .threads = 1,
          .max_connections = MAX_CONNECTIONS,
          .max_body_bytes = MAX_BODY_BYTES,
          .header_memory_bytes = HEADER_MEMORY_BYTES,
          .memory_bytes = 100 * 1000,
          .drop_bodies = true,
          .no_disconnect_watch = true,
          .handlers = &handlers,
          .server_out = &server };

  address = dp_choose_address (text, sizeof text);
  atomic_store (&request_count, 0);
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

  start_server ();
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

int
main (void)
{
  static const struct dp_test tests[] = {
    { "a victim with a request", test_victim_with_request },
    { NULL, NULL },
  };

  return dp_test_main ("ends of connections", tests);
}
