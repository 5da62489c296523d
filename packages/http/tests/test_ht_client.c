#include "ht_client.h"

#include "ba_clock.h"

#include "dp_test.h"

#include <arpa/inet.h>
#include <glib.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Each test runs a client on its own thread against a server that handles each
   request by the action that the test sets for it.

   The client's clock stands still, and advances where a test says that time
   passes.  On a busy machine, threads of the client and of the server are held
   up anywhere, for longer than the timeouts.  */

enum
{
  STALL_MS = 2000,
  /* A response of ten parts at this interval takes longer than the timeout;
     the interval is far below the idle timeout.  */
  PART_COUNT = 10,
  PART_INTERVAL_MS = 200,
  SHORT_TIMEOUT_MS = 1000,
  /* A late thread takes longer for an iteration than a request's timeout, and
     the server responds soon after it has received the request.  */
  LATE_ITERATION_MS = 2500,
  RESPONSE_DELAY_MS = 50,
  MAX_SERVER_WAIT_MS = 60000,
  MAX_SOCKET_COUNT = 4096,
  CONNECTION_DELAY_MS = 2000, /* more than libcurl's connection timeout */
  FILLER_COUNT = 2,
  MANY_REQUESTS = 200, /* more than the client handles in one iteration */
  /* Above MANY_REQUESTS: with as many half-open connections as the backlog,
     the kernel sends SYN cookies, and may drop the end of a handshake.  */
  BACKLOG = 4 * MANY_REQUESTS,
  IDLE_TIMEOUT_MS = 5000,
  LONG_TIMEOUT_MS = 60000 /* never expires in these tests */
};

/* Of the server, which listens on a port that the kernel chooses: with a fixed
   one, the tests of two checkouts can't run at the same time.  */
static int port;
static char url[40];
static const char small_response[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Test: yes\r\n\r\nok";

/* What the server does with a request.  */
enum server_action
{
  ACTION_RESPOND,
  ACTION_RESPOND_LATER, /* after RESPONSE_DELAY_MS */
  ACTION_CLOSE,         /* read the request and close without sending a byte */
  ACTION_TRUNCATE,      /* announce a body of ten bytes, send two, close */
  ACTION_SLOW_BODY,     /* send the body in PART_COUNT parts of one byte */
  ACTION_BODY_STOPS,    /* announce a body of ten bytes, send two, keep the
                           connection open */
  ACTION_NO_RESPONSE,   /* keep the connection open without sending a byte */
  ACTION_RESPOND_WHEN_RELEASED, /* as soon as the test has called
                                   release_responses for it */
  ACTION_RESPOND_DURING_STALL /* stall the client's thread until the timeout of
                                 the request has expired, and respond while
                                 it is stalled */
};

/* The action for each request, in order, over all connections.  */
static enum server_action server_actions[MANY_REQUESTS];
static _Atomic int request_count; /* received by the server */
static _Atomic bool closing;      /* ends ACTION_NO_RESPONSE */
/* Number of requests, the first ones, for which ACTION_RESPOND_WHEN_RELEASED
   responds.  */
static _Atomic int released_count;
static _Atomic bool content_type_received;
/* Number of the probe among the requests that the server has received; -1:
   none.  */
static _Atomic int probe_position;
static _Atomic bool stall_requested;   /* the client's thread has to stall */
static _Atomic bool stall_reached;     /* the client's thread is stalled */
static _Atomic int64_t clock_us;       /* of the client; 0: it runs */
static _Atomic int iteration_delay_ms; /* of each iteration of the client */
static _Atomic int accepted_count;     /* connections that the server has */
static _Atomic int received_bytes;     /* of bodies, by the client */
/* Responses sent after RESPONSE_DELAY_MS or when released.  */
static _Atomic int late_response_count;
/* Number of connections for which a late client waits; 0: none.  */
static int awaited_count;
static int late_iteration_count; /* used only by the client's thread */
static int listening_fd;

/* Replaces the function of the library.  */
int64_t
ba_clock_now_us (void)
{
  int64_t now_us = atomic_load (&clock_us);

  return now_us != 0 ? now_us : g_get_monotonic_time ();
}

static void
advance_clock (int ms)
{
  atomic_fetch_add (&clock_us, (int64_t)ms * 1000);
}

/* Wait until COUNTER has reached AWAITED, but not for ever.  */
static void
await_count (const _Atomic int *counter, int awaited)
{
  for (int i = 0; i < MAX_SERVER_WAIT_MS && atomic_load (counter) < awaited;
       i++)
    g_usleep (1000);
}

/* Read a request with the body length given by its Content-Length.  Set
   IS_PROBE if its path is "/probe".  Return false when the client closed the
   connection.  */
static bool
read_request (int fd, bool *is_probe)
{
  char buffer[4096];
  size_t buffered = 0;

  for (;;)
    {
      ssize_t received
          = read (fd, buffer + buffered, sizeof buffer - 1 - buffered);
      char *end;
      char *length;
      size_t body = 0;

      if (received <= 0)
        return false;
      buffered += (size_t)received;
      buffer[buffered] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end == NULL)
        continue;
      *is_probe = g_str_has_prefix (buffer, "POST /probe ");
      length = strstr (buffer, "Content-Length: ");
      if (length != NULL && length < end)
        body = (size_t)atoi (length + strlen ("Content-Length: "));
      if (buffered < (size_t)(end + 4 - buffer) + body)
        continue;
      if (strstr (buffer, "Content-Type") != NULL)
        atomic_store (&content_type_received, true);
      return true;
    }
}

/* Send a response on FD, and wait until it has arrived at the client's socket:
   on a busy machine, that may be much later.  Return false when the client
   closed the connection.  */
static bool
respond (int fd)
{
  bool open = write (fd, small_response, strlen (small_response)) > 0;
  int unacknowledged_bytes = 1;

  while (open && ioctl (fd, SIOCOUTQ, &unacknowledged_bytes) == 0
         && unacknowledged_bytes > 0)
    g_usleep (1000);
  return open;
}

/* Stall the client's thread for STALL_MS and respond on FD meanwhile.  Return
   false when the client closed the connection.  */
static bool
respond_during_stall (int fd)
{
  bool open;

  atomic_store (&stall_requested, true);
  while (!atomic_load (&stall_reached))
    g_usleep (1000);
  open = respond (fd);
  advance_clock (STALL_MS);
  atomic_store (&stall_requested, false);
  return open;
}

/* Return false when the client closed the connection.  */
static bool
respond_slowly (int fd)
{
  static const char header[] = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
  bool open = write (fd, header, strlen (header)) > 0;

  for (int i = 0; open && i < PART_COUNT; i++)
    {
      advance_clock (PART_INTERVAL_MS);
      open = send (fd, "x", 1, MSG_NOSIGNAL) > 0;
      await_count (&received_bytes, i + 1);
    }
  return open;
}

static gpointer
connection_main (gpointer data)
{
  int fd = GPOINTER_TO_INT (data);
  bool open = true;
  bool is_probe;

  while (open && read_request (fd, &is_probe))
    {
      static const char truncated_response[]
          = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab";
      int position = atomic_fetch_add (&request_count, 1);

      if (is_probe)
        atomic_store (&probe_position, position);
      switch (server_actions[position])
        {
        case ACTION_RESPOND:
          open = write (fd, small_response, strlen (small_response)) > 0;
          break;
        case ACTION_RESPOND_LATER:
          g_usleep (RESPONSE_DELAY_MS * 1000);
          open = respond (fd);
          atomic_fetch_add (&late_response_count, 1);
          break;
        case ACTION_TRUNCATE:
          open = write (fd, truncated_response, strlen (truncated_response))
                 < 0;
          break;
        case ACTION_SLOW_BODY:
          open = respond_slowly (fd);
          break;
        case ACTION_CLOSE:
          open = false;
          break;
        case ACTION_BODY_STOPS:
          open = write (fd, truncated_response, strlen (truncated_response))
                 > 0;
          while (!atomic_load (&closing))
            g_usleep (10000);
          break;
        case ACTION_NO_RESPONSE:
          while (!atomic_load (&closing))
            g_usleep (10000);
          open = false;
          break;
        case ACTION_RESPOND_WHEN_RELEASED:
          while (position >= atomic_load (&released_count)
                 && !atomic_load (&closing))
            g_usleep (1000);
          open = respond (fd);
          atomic_fetch_add (&late_response_count, 1);
          break;
        case ACTION_RESPOND_DURING_STALL:
          open = respond_during_stall (fd);
          break;
        }
    }
  close (fd);
  return NULL;
}

static gpointer
server_main (gpointer data)
{
  (void)data;
  for (;;)
    {
      int fd = accept (listening_fd, NULL, NULL);

      if (fd < 0)
        return NULL;
      atomic_fetch_add (&accepted_count, 1);
      g_thread_unref (
          g_thread_new ("connection", connection_main, GINT_TO_POINTER (fd)));
    }
}

/* Return on how many connections the client has sent a request.  */
static int
count_sent_requests (void)
{
  int count = 0;

  for (int fd = 0; fd < MAX_SOCKET_COUNT; fd++)
    {
      struct sockaddr_in peer = { 0 };
      struct tcp_info info = { 0 };
      socklen_t peer_size = sizeof peer;
      socklen_t info_size = sizeof info;

      count
          += getpeername (fd, (struct sockaddr *)&peer, &peer_size) == 0
             && peer.sin_family == AF_INET && ntohs (peer.sin_port) == port
             && getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &info_size) == 0
             && info.tcpi_data_segs_out > 0;
    }
  return count;
}

/* Let the client be late by DELAY_MS.  It begins to connect in its first late
   iteration.  Before each further one, wait for the server, whose threads may
   get their processor later than the client: until it has all connections, and
   has responded to what was sent.  */
static void
delay_iteration (int delay_ms)
{
  late_iteration_count++;
  if (late_iteration_count > 1 && awaited_count > 0)
    {
      await_count (&accepted_count, awaited_count);
      await_count (&late_response_count, count_sent_requests ());
    }
  advance_clock (delay_ms);
}

/* Called in each iteration of the client's event loop.  Delays it, and stalls
   its thread while stall_requested is set.  */
static void
stall_iteration (void *context)
{
  int delay_ms = atomic_load (&iteration_delay_ms);

  (void)context;
  if (delay_ms > 0)
    delay_iteration (delay_ms);
  while (atomic_load (&stall_requested))
    {
      atomic_store (&stall_reached, true);
      g_usleep (1000);
    }
}

static gpointer
client_main (gpointer data)
{
  ht_client_run (data, stall_iteration, NULL);
  return NULL;
}

struct result
{
  _Atomic bool ended;
  enum ht_result result;
  unsigned status;
  unsigned sendings;
  GString *body;
  char *headers;
};

static void
record_headers (struct ht_exchange *exchange, void *context, unsigned status,
                int64_t length)
{
  struct result *r = context;

  (void)status;
  (void)length;
  r->headers = ht_exchange_response_headers (exchange, NULL);
}

static bool
record_body (struct ht_exchange *exchange, void *context, const void *data,
             size_t len)
{
  struct result *r = context;

  (void)exchange;
  g_string_append_len (r->body, data, (gssize)len);
  atomic_fetch_add (&received_bytes, (int)len);
  return true;
}

static void
record_result (struct ht_exchange *exchange, void *context,
               enum ht_result result, unsigned status)
{
  struct result *r = context;

  r->result = result;
  r->status = status;
  r->sendings = ht_exchange_times (exchange)->sendings;
  atomic_store (&r->ended, true);
}

static const struct ht_client_handlers handlers
    = { record_headers, record_body, record_result };
static struct ht_client *client;
static GThread *client_thread;
static GThread *server_thread;

/* Bind FD to a port of the loopback interface, and store its ADDRESS.  */
static void
bind_to_free_port (int fd, struct sockaddr_in *address)
{
  socklen_t size = sizeof *address;

  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  inet_pton (AF_INET, "127.0.0.1", &address->sin_addr);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)address, size), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (fd, (struct sockaddr *)address, &size),
                         0);
}

static void
set_up_with (const struct ht_client_options *options)
{
  struct sockaddr_in address;

  atomic_store (&released_count, 0);
  atomic_store (&content_type_received, false);
  atomic_store (&probe_position, -1);
  atomic_store (&request_count, 0);
  atomic_store (&closing, false);
  atomic_store (&stall_reached, false);
  atomic_store (&clock_us, g_get_monotonic_time ());
  atomic_store (&iteration_delay_ms, 0);
  atomic_store (&accepted_count, 0);
  atomic_store (&received_bytes, 0);
  atomic_store (&late_response_count, 0);
  awaited_count = 0;
  late_iteration_count = 0;
  memset (server_actions, 0, sizeof server_actions);
  listening_fd = socket (AF_INET, SOCK_STREAM, 0);
  bind_to_free_port (listening_fd, &address);
  port = ntohs (address.sin_port);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%d/x", port);
  listen (listening_fd, BACKLOG);
  server_thread = g_thread_new ("server", server_main, NULL);
  client = ht_client_new (NULL, options);
  client_thread = g_thread_new ("client", client_main, client);
}

static void
set_up (void)
{
  struct ht_client_options options = { .ring_capacity = 512 };

  set_up_with (&options);
}

static void
tear_down (void)
{
  atomic_store (&closing, true);
  ht_client_stop (client);
  g_thread_join (client_thread);
  talloc_free (client);
  shutdown (listening_fd, SHUT_RDWR);
  g_thread_join (server_thread);
  close (listening_fd);
}

/* Submit REQUEST and wait for its result.  */
static struct result
execute_request (const struct ht_request *request)
{
  struct result r = { .body = g_string_new (NULL) };

  CU_ASSERT_TRUE (ht_client_submit (client, request, &handlers, &r));
  while (!atomic_load (&r.ended))
    g_usleep (1000);
  return r;
}

static struct result
send_request (const char *method, const char *body, bool no_retry,
              const char *target_url, int64_t timeout_ms)
{
  struct ht_request request = { .method = method,
                                .url = target_url,
                                .body = body,
                                .body_len = strlen (body),
                                .timeout_ms = timeout_ms,
                                .no_retry = no_retry };

  return execute_request (&request);
}

static void
free_result (struct result *r)
{
  g_string_free (r->body, TRUE);
  talloc_free (r->headers);
}

/* Submit a POST to PATH without waiting for its result, R.  */
static void
submit_post (struct result *r, const char *path, int64_t timeout_ms,
             enum ht_priority priority)
{
  char *target_url = g_strdup_printf ("http://127.0.0.1:%d%s", port, path);
  struct ht_request request = { .method = "POST",
                                .url = target_url,
                                .body = "abc",
                                .body_len = 3,
                                .timeout_ms = timeout_ms,
                                .priority = priority };

  r->body = g_string_new (NULL);
  CU_ASSERT_TRUE (ht_client_submit (client, &request, &handlers, r));
  g_free (target_url);
}

static void
await_result (struct result *r)
{
  while (!atomic_load (&r->ended))
    g_usleep (1000);
}

/* Wait until the server has received COUNT requests.  */
static void
await_requests (int count)
{
  while (atomic_load (&request_count) < count)
    g_usleep (1000);
}

static void
test_complete_response (void)
{
  struct result r;

  set_up ();
  r = send_request ("POST", "abc", true, url, 5000);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_STRING_EQUAL (r.body->str, "ok");
  CU_ASSERT_EQUAL (g_strcmp0 (r.headers, "X-Test: yes\n"), 0);
  free_result (&r);
  tear_down ();
}

/* libcurl must not add a Content-Type to a body that has none.  */
static void
test_content_type_added (void)
{
  struct result r;

  set_up ();
  r = send_request ("POST", "abc", false, url, 5000);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_COMPLETE);
  CU_ASSERT_FALSE (atomic_load (&content_type_received));
  free_result (&r);
  tear_down ();
}

/* A request that was not sent must not be reported as possibly received, or
   the caller could not retry it safely.  */
static void
test_connection_refused (void)
{
  struct result r;

  set_up ();
  /* Nothing listens on this port.  */
  r = send_request ("POST", "abc", true, "http://127.0.0.1:19482/", 5000);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_NOT_SENT);
  free_result (&r);
  tear_down ();
}

static void
test_truncated_body (void)
{
  struct result r;

  set_up ();
  server_actions[0] = ACTION_TRUNCATE;
  r = send_request ("GET", "", false, url, 5000);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_INCOMPLETE);
  free_result (&r);
  tear_down ();
}

static void
test_timeout_after_sending (void)
{
  struct ht_request request = { .method = "POST",
                                .url = url,
                                .body = "abc",
                                .body_len = 3,
                                .timeout_ms = SHORT_TIMEOUT_MS,
                                .no_retry = true };
  struct result r = { .body = g_string_new (NULL) };

  set_up ();
  server_actions[0] = ACTION_NO_RESPONSE;
  CU_ASSERT_TRUE (ht_client_submit (client, &request, &handlers, &r));
  await_requests (1);
  CU_ASSERT_FALSE (atomic_load (&r.ended));
  advance_clock (SHORT_TIMEOUT_MS);
  await_result (&r);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_TIMEOUT);
  free_result (&r);
  tear_down ();
}

static void
submit_with_idle_timeout (struct result *r)
{
  struct ht_request request = { .method = "GET",
                                .url = url,
                                .body = "",
                                .timeout_ms = SHORT_TIMEOUT_MS,
                                .idle_timeout_ms = IDLE_TIMEOUT_MS };

  r->body = g_string_new (NULL);
  CU_ASSERT_TRUE (ht_client_submit (client, &request, &handlers, r));
}

/* A response that takes longer than the timeout counts while its parts keep
   arriving.  */
static void
test_large_response_given_up (void)
{
  struct result r = { 0 };

  set_up ();
  server_actions[0] = ACTION_SLOW_BODY;
  submit_with_idle_timeout (&r);
  await_result (&r);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (r.body->len, PART_COUNT);
  free_result (&r);
  tear_down ();
}

static void
test_response_stops_in_body (void)
{
  struct result r = { 0 };

  set_up ();
  server_actions[0] = ACTION_BODY_STOPS;
  submit_with_idle_timeout (&r);
  await_count (&received_bytes, 1);
  advance_clock (IDLE_TIMEOUT_MS - 1);
  g_usleep (RESPONSE_DELAY_MS * 1000);
  CU_ASSERT_FALSE (atomic_load (&r.ended));
  advance_clock (1);
  await_result (&r);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_TIMEOUT);
  free_result (&r);
  tear_down ();
}

/* A client that gets no CPU time reads its sockets late.  A response that
   arrived in time must count even if it is read after the timeout.  */
static void
test_response_during_stall (void)
{
  struct result r;

  set_up ();
  server_actions[0] = ACTION_RESPOND_DURING_STALL;
  r = send_request ("POST", "abc", true, url, STALL_MS);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_STRING_EQUAL (r.body->str, "ok");
  free_result (&r);
  tear_down ();
}

/* The same on a connection that was used before.  */
static void
test_response_during_stall_on_reused_connection (void)
{
  struct result r;

  set_up ();
  server_actions[1] = ACTION_RESPOND_DURING_STALL;
  r = send_request ("POST", "first", true, url, STALL_MS);
  free_result (&r);
  r = send_request ("POST", "abc", true, url, STALL_MS);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (r.status, 200);
  free_result (&r);
  tear_down ();
}

/* Stall the client's thread between two iterations.  */
static void
stall_client (void)
{
  atomic_store (&stall_requested, true);
  while (!atomic_load (&stall_reached))
    g_usleep (1000);
}

/* End the stall.  From the next iteration on, the client is late.  */
static void
resume_late_client (void)
{
  atomic_store (&iteration_delay_ms, LATE_ITERATION_MS);
  atomic_store (&stall_requested, false);
}

/* Submit COUNT requests to a late client, all of which it finds in its first
   iteration, and assert that all are complete.  */
static void
check_late_requests (int count)
{
  struct ht_request request = { .method = "POST",
                                .url = url,
                                .body = "abc",
                                .body_len = 3,
                                .timeout_ms = SHORT_TIMEOUT_MS,
                                .timeout_per_step = true,
                                .new_connection = true };
  struct result results[MANY_REQUESTS] = { 0 };

  set_up ();
  awaited_count = count;
  stall_client ();
  for (int i = 0; i < count; i++)
    {
      server_actions[i] = ACTION_RESPOND_LATER;
      results[i].body = g_string_new (NULL);
      CU_ASSERT_TRUE (
          ht_client_submit (client, &request, &handlers, &results[i]));
    }
  resume_late_client ();
  for (int i = 0; i < count; i++)
    {
      while (!atomic_load (&results[i].ended))
        g_usleep (1000);
      CU_ASSERT_EQUAL (results[i].result, HT_RESULT_COMPLETE);
      CU_ASSERT_EQUAL (results[i].status, 200);
      free_result (&results[i]);
    }
  tear_down ();
}

/* A client that gets little CPU time sends a request when its timeout has
   passed already.  It must not give the request up at once: the server
   executes it, and its response would be lost.  */
static void
test_request_given_up_when_sent (void)
{
  check_late_requests (1);
}

/* The same with so many requests that the client does not get to all of them
   in one iteration: it notices that it has connected only when the timeout
   expires.  */
static void
test_many_requests_given_up_when_sent (void)
{
  check_late_requests (MANY_REQUESTS);
}

/* Send a request whose connection is kept open, then a second one on the same
   connection, which the server closes without a response.  Return how often
   the server received the second request, and its result in RESULT.  */
static int
count_sends_on_closed_connection (const char *body, bool no_retry,
                                  enum ht_result *result)
{
  struct result r;
  int received;

  set_up ();
  server_actions[1] = ACTION_CLOSE;
  r = send_request ("POST", "first", no_retry, url, 5000);
  free_result (&r);
  r = send_request ("POST", body, no_retry, url, 5000);
  *result = r.result;
  received = atomic_load (&request_count) - 1;
  CU_ASSERT_EQUAL (r.sendings, received);
  free_result (&r);
  tear_down ();
  return received;
}

/* libcurl repeats a request on its own when a reused connection fails before
   the first byte of the response.  If it no longer did, test_no_retry would
   check nothing.  */
static void
test_libcurl_repeats_request (void)
{
  enum ht_result result;

  CU_ASSERT_EQUAL (count_sends_on_closed_connection ("", false, &result), 2);
  CU_ASSERT_EQUAL (result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (count_sends_on_closed_connection ("body", false, &result),
                   2);
  CU_ASSERT_EQUAL (result, HT_RESULT_COMPLETE);
}

/* A request with no_retry must reach the server at most once, although libcurl
   repeats requests on its own.  */
static void
test_no_retry (void)
{
  enum ht_result result;

  CU_ASSERT_EQUAL (count_sends_on_closed_connection ("body", true, &result),
                   1);
  CU_ASSERT_EQUAL (result, HT_RESULT_INCOMPLETE);
  CU_ASSERT_EQUAL (count_sends_on_closed_connection ("", true, &result), 1);
  CU_ASSERT_EQUAL (result, HT_RESULT_INCOMPLETE);
}

/* ---- more requests than connections ---- */

/* Wait until the client's thread has started to handle all requests that were
   submitted.  It does so in order, and nothing listens on this port.  */
static void
await_client (void)
{
  struct result r = send_request ("POST", "abc", true,
                                  "http://127.0.0.1:19482/", LONG_TIMEOUT_MS);

  CU_ASSERT_EQUAL (r.result, HT_RESULT_NOT_SENT);
  free_result (&r);
}

/* Have the server respond to the first COUNT requests only when their
   responses are released.  */
static void
hold_responses (int count)
{
  for (int i = 0; i < count; i++)
    server_actions[i] = ACTION_RESPOND_WHEN_RELEASED;
}

/* Have the server send the held responses to the first COUNT requests.  */
static void
release_responses (int count)
{
  atomic_store (&released_count, count);
}

/* Requests for which there is no connection are sent one after another as the
   connections become free.  */
static void
test_requests_wait_for_connections (void)
{
  struct ht_client_options options
      = { .ring_capacity = 64, .max_connections_per_server = 2 };
  struct result results[6] = { 0 };

  set_up_with (&options);
  hold_responses (2);
  for (int i = 0; i < 6; i++)
    submit_post (&results[i], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_requests (2);
  g_usleep (RESPONSE_DELAY_MS * 1000);
  CU_ASSERT_EQUAL (atomic_load (&request_count), 2);
  release_responses (2);
  for (int i = 0; i < 6; i++)
    {
      await_result (&results[i]);
      CU_ASSERT_EQUAL (results[i].result, HT_RESULT_COMPLETE);
      free_result (&results[i]);
    }
  CU_ASSERT_EQUAL (atomic_load (&request_count), 6);
  tear_down ();
}

/* A request whose timeout expires while it waits was not sent, and must not
   keep a later one from being sent.  */
static void
test_timeout_of_waiting_request (void)
{
  struct ht_client_options options
      = { .ring_capacity = 64, .max_connections_per_server = 1 };
  struct result results[3] = { 0 };

  set_up_with (&options);
  hold_responses (1);
  submit_post (&results[0], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_requests (1);
  submit_post (&results[1], "/start", SHORT_TIMEOUT_MS, HT_PRIORITY_LOW);
  submit_post (&results[2], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_client ();
  advance_clock (SHORT_TIMEOUT_MS);
  await_result (&results[1]);
  CU_ASSERT_EQUAL (results[1].result, HT_RESULT_NOT_SENT);
  release_responses (1);
  await_result (&results[0]);
  CU_ASSERT_EQUAL (results[0].result, HT_RESULT_COMPLETE);
  await_result (&results[2]);
  CU_ASSERT_EQUAL (results[2].result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (atomic_load (&request_count), 2);
  for (int i = 0; i < 3; i++)
    free_result (&results[i]);
  tear_down ();
}

/* A connection whose request was given up is free for the next one.  */
static void
test_waiting_behind_timeout (void)
{
  struct ht_client_options options
      = { .ring_capacity = 64, .max_connections_per_server = 1 };
  struct result results[2] = { 0 };

  set_up_with (&options);
  server_actions[0] = ACTION_NO_RESPONSE;
  submit_post (&results[0], "/start", SHORT_TIMEOUT_MS, HT_PRIORITY_LOW);
  submit_post (&results[1], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_requests (1);
  advance_clock (SHORT_TIMEOUT_MS);
  await_result (&results[0]);
  CU_ASSERT_EQUAL (results[0].result, HT_RESULT_TIMEOUT);
  await_result (&results[1]);
  CU_ASSERT_EQUAL (results[1].result, HT_RESULT_COMPLETE);
  for (int i = 0; i < 2; i++)
    free_result (&results[i]);
  tear_down ();
}

/* The queue for a server that answers slowly must not grow without bound.  */
static void
test_too_many_waiting_requests (void)
{
  struct ht_client_options options = { .ring_capacity = 64,
                                       .max_connections_per_server = 1,
                                       .max_waiting_per_server = 1 };
  struct result results[3] = { 0 };

  set_up_with (&options);
  hold_responses (1);
  submit_post (&results[0], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_requests (1);
  submit_post (&results[1], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  submit_post (&results[2], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_result (&results[2]);
  CU_ASSERT_EQUAL (results[2].result, HT_RESULT_NOT_SENT);
  CU_ASSERT_FALSE (atomic_load (&results[1].ended));
  release_responses (1);
  await_result (&results[0]);
  await_result (&results[1]);
  CU_ASSERT_EQUAL (results[1].result, HT_RESULT_COMPLETE);
  for (int i = 0; i < 3; i++)
    free_result (&results[i]);
  tear_down ();
}

/* A probe, which renews leases, must not wait behind starts, of which there
   may be hundreds.  One connection becomes free, so that the probe has to be
   the next request that the server receives.  With two free connections, the
   order in which the threads of the server handle the probe and the starts on
   the other connection would depend on the machine.  */
static void
test_probe_waits_behind_starts (void)
{
  struct ht_client_options options
      = { .ring_capacity = 64, .max_connections_per_server = 2 };
  struct result starts[5] = { 0 };
  struct result probe = { 0 };

  set_up_with (&options);
  hold_responses (2);
  for (int i = 0; i < 5; i++)
    submit_post (&starts[i], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_requests (2);
  submit_post (&probe, "/probe", LONG_TIMEOUT_MS, HT_PRIORITY_HIGH);
  await_client ();
  release_responses (1);
  await_result (&probe);
  CU_ASSERT_EQUAL (probe.result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (atomic_load (&probe_position), 2);
  free_result (&probe);
  release_responses (2);
  for (int i = 0; i < 5; i++)
    {
      await_result (&starts[i]);
      CU_ASSERT_EQUAL (starts[i].result, HT_RESULT_COMPLETE);
      free_result (&starts[i]);
    }
  tear_down ();
}

/* A probe must not wait for the response to a start either.  */
static void
test_probe_waits_for_response_to_start (void)
{
  struct ht_client_options options = { .ring_capacity = 64,
                                       .max_connections_per_server = 3,
                                       .reserved_connections_per_server = 1 };
  struct result starts[5] = { 0 };
  struct result probe = { 0 };

  set_up_with (&options);
  hold_responses (2);
  for (int i = 0; i < 5; i++)
    submit_post (&starts[i], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_requests (2);
  submit_post (&probe, "/probe", LONG_TIMEOUT_MS, HT_PRIORITY_HIGH);
  await_result (&probe);
  CU_ASSERT_EQUAL (probe.result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (atomic_load (&probe_position), 2);
  free_result (&probe);
  release_responses (2);
  for (int i = 0; i < 5; i++)
    {
      await_result (&starts[i]);
      CU_ASSERT_EQUAL (starts[i].result, HT_RESULT_COMPLETE);
      free_result (&starts[i]);
    }
  tear_down ();
}

/* Return a socket that listens on a port, stored in ADDRESS, and drops
   requests for connections until those are accepted that wait in its queue,
   which FILLERS fill.  */
static int
listen_with_full_queue (struct sockaddr_in *address, int fillers[FILLER_COUNT])
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  bind_to_free_port (fd, address);
  listen (fd, 0);
  for (int i = 0; i < FILLER_COUNT; i++)
    {
      fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (fillers[i], (struct sockaddr *)address, sizeof *address);
    }
  return fd;
}

/* The timeout of a step limits the connecting, not that of libcurl, which a
   late thread would exceed before it has looked whether the server accepts. */
static void
test_connecting_given_up_before_timeout (void)
{
  char busy_url[40];
  struct ht_request request = { .method = "POST",
                                .url = busy_url,
                                .body = "abc",
                                .body_len = 3,
                                .timeout_ms = LONG_TIMEOUT_MS,
                                .timeout_per_step = true };
  struct result r = { .body = g_string_new (NULL) };
  struct sockaddr_in address;
  int fillers[FILLER_COUNT];
  int fd;

  set_up ();
  /* So that libcurl's timer expires.  */
  atomic_store (&clock_us, 0);
  fd = listen_with_full_queue (&address, fillers);
  g_snprintf (busy_url, sizeof busy_url, "http://127.0.0.1:%d/x",
              ntohs (address.sin_port));
  CU_ASSERT_TRUE (ht_client_submit (client, &request, &handlers, &r));
  g_usleep (CONNECTION_DELAY_MS * 1000);
  CU_ASSERT_FALSE (atomic_load (&r.ended));
  while (!atomic_load (&r.ended))
    {
      int accepted = accept (fd, NULL, NULL);

      if (accepted >= 0)
        g_thread_unref (g_thread_new ("connection", connection_main,
                                      GINT_TO_POINTER (accepted)));
      else
        g_usleep (1000);
    }
  CU_ASSERT_EQUAL (r.result, HT_RESULT_COMPLETE);
  for (int i = 0; i < FILLER_COUNT; i++)
    close (fillers[i]);
  close (fd);
  free_result (&r);
  tear_down ();
}

/* A request whose timeout expired while it waited for a connection must not be
   sent by a late thread that looks for the response to another one.  */
static void
test_expired_request_sent_after_stall (void)
{
  struct ht_client_options options
      = { .ring_capacity = 64, .max_connections_per_server = 2 };
  struct ht_request request = { .method = "POST",
                                .url = url,
                                .body = "abc",
                                .body_len = 3,
                                .timeout_ms = SHORT_TIMEOUT_MS,
                                .timeout_per_step = true };
  struct result results[3] = { 0 };

  set_up_with (&options);
  server_actions[0] = ACTION_RESPOND_WHEN_RELEASED;
  server_actions[1] = ACTION_NO_RESPONSE;
  submit_post (&results[0], "/start", LONG_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_requests (1);
  submit_post (&results[1], "/start", SHORT_TIMEOUT_MS, HT_PRIORITY_LOW);
  await_requests (2);
  results[2].body = g_string_new (NULL);
  CU_ASSERT_TRUE (ht_client_submit (client, &request, &handlers, &results[2]));
  await_client ();
  /* The response is there in the first late iteration.  */
  stall_client ();
  release_responses (1);
  await_count (&late_response_count, 1);
  resume_late_client ();
  for (int i = 0; i < 3; i++)
    await_result (&results[i]);
  CU_ASSERT_EQUAL (results[0].result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (results[1].result, HT_RESULT_TIMEOUT);
  CU_ASSERT_EQUAL (results[2].result, HT_RESULT_NOT_SENT);
  CU_ASSERT_EQUAL (atomic_load (&request_count), 2);
  for (int i = 0; i < 3; i++)
    free_result (&results[i]);
  tear_down ();
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "complete response", test_complete_response },
    { "content type added", test_content_type_added },
    { "connection refused", test_connection_refused },
    { "connection closed within the body", test_truncated_body },
    { "timeout after sending", test_timeout_after_sending },
    { "large response given up", test_large_response_given_up },
    { "response stops within the body", test_response_stops_in_body },
    { "response during a stall is not lost", test_response_during_stall },
    { "response during a stall on a reused connection is not lost",
      test_response_during_stall_on_reused_connection },
    { "request given up as soon as it was sent",
      test_request_given_up_when_sent },
    { "many requests given up as soon as they were sent",
      test_many_requests_given_up_when_sent },
    { "libcurl repeats a request", test_libcurl_repeats_request },
    { "request with no_retry is sent once", test_no_retry },
    { "requests wait for connections", test_requests_wait_for_connections },
    { "timeout of a waiting request", test_timeout_of_waiting_request },
    { "request waits behind one that times out", test_waiting_behind_timeout },
    { "too many waiting requests", test_too_many_waiting_requests },
    { "probe waits behind starts", test_probe_waits_behind_starts },
    { "probe waits for the response to a start",
      test_probe_waits_for_response_to_start },
    { "connecting is given up before its timeout",
      test_connecting_given_up_before_timeout },
    { "an expired request is sent after a stall",
      test_expired_request_sent_after_stall },
    { NULL, NULL }
  };

  return dp_test_main ("ht_client", tests);
}
