#include "ht_client.h"

#include "dp_test.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server that does exactly what a test says, and a client on a thread.  */

enum
{
  PORT = 39481,
  STALL_MS = 2000
};

static const char url[] = "http://127.0.0.1:39481/x";
static const char small_answer[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Test: yes\r\n\r\nok";

/* What the server does with each request, in order, over all connections.  */
enum deed
{
  DEED_ANSWER,
  DEED_CLOSE, /* take the request and close without a byte */
  DEED_CUT,   /* promise ten bytes, send two, close */
  DEED_SILENT,
  DEED_STALL /* answer while the client's thread stands still, until the time
                of the request is up */
};

static enum deed deeds[8];
static _Atomic int requests; /* taken by the server */
static _Atomic bool closing;
static _Atomic bool stalled; /* the client's thread is to stand still */
static _Atomic bool halted;  /* it does */
static int listener;

/* Read a request whose body is as long as its Content-Length says.  */
static bool
read_request (int fd)
{
  char buffer[4096];
  size_t have = 0;

  for (;;)
    {
      ssize_t got = read (fd, buffer + have, sizeof buffer - 1 - have);
      char *end;
      char *length;
      size_t body = 0;

      if (got <= 0)
        return false;
      have += (size_t)got;
      buffer[have] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end == NULL)
        continue;
      length = strstr (buffer, "Content-Length: ");
      if (length != NULL && length < end)
        body = (size_t)atoi (length + strlen ("Content-Length: "));
      if (have >= (size_t)(end + 4 - buffer) + body)
        return true;
    }
}

/* Answer on FD while the client's thread stands still for STALL_MS.  */
static bool
answer_in_stall (int fd)
{
  bool open;

  atomic_store (&stalled, true);
  while (!atomic_load (&halted))
    g_usleep (1000);
  open = write (fd, small_answer, strlen (small_answer)) > 0;
  g_usleep (STALL_MS * 1000);
  atomic_store (&stalled, false);
  return open;
}

static gpointer
connection_main (gpointer data)
{
  int fd = GPOINTER_TO_INT (data);
  bool open = true;

  while (open && read_request (fd))
    {
      static const char cut[]
          = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab";

      switch (deeds[atomic_fetch_add (&requests, 1)])
        {
        case DEED_ANSWER:
          open = write (fd, small_answer, strlen (small_answer)) > 0;
          break;
        case DEED_CUT:
          open = write (fd, cut, strlen (cut)) < 0;
          break;
        case DEED_CLOSE:
          open = false;
          break;
        case DEED_SILENT:
          while (!atomic_load (&closing))
            g_usleep (10000);
          open = false;
          break;
        case DEED_STALL:
          open = answer_in_stall (fd);
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
      int fd = accept (listener, NULL, NULL);

      if (fd < 0)
        return NULL;
      g_thread_unref (
          g_thread_new ("connection", connection_main, GINT_TO_POINTER (fd)));
    }
}

static void
stall_beat (void *context)
{
  (void)context;
  while (atomic_load (&stalled))
    {
      atomic_store (&halted, true);
      g_usleep (1000);
    }
}

static gpointer
client_main (gpointer data)
{
  ht_client_run (data, stall_beat, NULL);
  return NULL;
}

struct result
{
  _Atomic bool ended;
  enum ht_result result;
  unsigned status;
  GString *body;
  char *headers;
};

static void
take_headers (struct ht_exchange *exchange, void *context, unsigned status,
              int64_t length)
{
  struct result *r = context;

  (void)status;
  (void)length;
  r->headers = ht_exchange_response_headers (exchange, NULL);
}

static bool
take_body (struct ht_exchange *exchange, void *context, const void *data,
           size_t len)
{
  struct result *r = context;

  (void)exchange;
  g_string_append_len (r->body, data, (gssize)len);
  return true;
}

static void
take_done (struct ht_exchange *exchange, void *context, enum ht_result result,
           unsigned status)
{
  struct result *r = context;

  (void)exchange;
  r->result = result;
  r->status = status;
  atomic_store (&r->ended, true);
}

static const struct ht_client_handlers handlers
    = { take_headers, take_body, take_done };
static struct ht_client *client;
static GThread *client_thread;
static GThread *server_thread;

static void
start (void)
{
  struct sockaddr_in in = { .sin_family = AF_INET, .sin_port = htons (PORT) };
  struct ht_client_options options = { .ring_capacity = 64 };
  int one = 1;

  atomic_store (&requests, 0);
  atomic_store (&closing, false);
  atomic_store (&halted, false);
  memset (deeds, 0, sizeof deeds);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  inet_pton (AF_INET, "127.0.0.1", &in.sin_addr);
  CU_ASSERT_EQUAL_FATAL (bind (listener, (struct sockaddr *)&in, sizeof in),
                         0);
  listen (listener, 16);
  server_thread = g_thread_new ("server", server_main, NULL);
  client = ht_client_new (NULL, &options);
  client_thread = g_thread_new ("client", client_main, client);
}

static void
stop (void)
{
  atomic_store (&closing, true);
  ht_client_stop (client);
  g_thread_join (client_thread);
  talloc_free (client);
  shutdown (listener, SHUT_RDWR);
  g_thread_join (server_thread);
  close (listener);
}

static struct result
ask (const char *method, const char *body, bool once, const char *where,
     int64_t timeout_ms)
{
  struct ht_request request = { .method = method,
                                .url = where,
                                .body = body,
                                .body_len = strlen (body),
                                .timeout_ms = timeout_ms,
                                .no_retry = once };
  struct result r = { .body = g_string_new (NULL) };

  CU_ASSERT_TRUE (ht_client_submit (client, &request, &handlers, &r));
  while (!atomic_load (&r.ended))
    g_usleep (1000);
  return r;
}

static void
drop (struct result *r)
{
  g_string_free (r->body, TRUE);
  talloc_free (r->headers);
}

static void
test_answer (void)
{
  struct result r;

  start ();
  r = ask ("POST", "abc", true, url, 5000);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_STRING_EQUAL (r.body->str, "ok");
  CU_ASSERT_STRING_EQUAL (r.headers, "X-Test: yes\n");
  drop (&r);
  stop ();
}

static void
test_nothing_listens (void)
{
  struct result r;

  start ();
  r = ask ("POST", "abc", true, "http://127.0.0.1:39482/", 5000);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_NOT_SENT);
  drop (&r);
  stop ();
}

static void
test_cut_body_is_broken (void)
{
  struct result r;

  start ();
  deeds[0] = DEED_CUT;
  r = ask ("GET", "", false, url, 5000);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_INCOMPLETE);
  drop (&r);
  stop ();
}

static void
test_timeout_after_sending (void)
{
  struct result r;

  start ();
  deeds[0] = DEED_SILENT;
  r = ask ("POST", "abc", true, url, 100);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_TIMEOUT);
  drop (&r);
  stop ();
}

/* A host short of processor time comes to its sockets late.  What was answered
   in time is there, and counts.  */
static void
test_answer_during_stall (void)
{
  struct result r;

  start ();
  deeds[0] = DEED_STALL;
  r = ask ("POST", "abc", true, url, STALL_MS);
  CU_ASSERT_EQUAL (r.result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_STRING_EQUAL (r.body->str, "ok");
  drop (&r);
  stop ();
}

/* Make a connection that is kept, then have the server close it on the next
   request.  Return how often that one was sent.  */
static int
sends_on_dead_connection (const char *body, bool once, enum ht_result *result)
{
  struct result r;
  int sent;

  start ();
  deeds[1] = DEED_CLOSE;
  r = ask ("POST", "first", once, url, 5000);
  drop (&r);
  r = ask ("POST", body, once, url, 5000);
  *result = r.result;
  drop (&r);
  sent = atomic_load (&requests) - 1;
  stop ();
  return sent;
}

/* The trap: libcurl repeats a request on its own when a kept connection dies
   before the first byte of the answer.  */
static void
test_library_repeats_by_itself (void)
{
  enum ht_result result;

  CU_ASSERT_EQUAL (sends_on_dead_connection ("", false, &result), 2);
  CU_ASSERT_EQUAL (result, HT_RESULT_COMPLETE);
  CU_ASSERT_EQUAL (sends_on_dead_connection ("body", false, &result), 2);
  CU_ASSERT_EQUAL (result, HT_RESULT_COMPLETE);
}

static void
test_once_is_sent_once (void)
{
  enum ht_result result;

  CU_ASSERT_EQUAL (sends_on_dead_connection ("body", true, &result), 1);
  CU_ASSERT_EQUAL (result, HT_RESULT_INCOMPLETE);
  CU_ASSERT_EQUAL (sends_on_dead_connection ("", true, &result), 1);
  CU_ASSERT_EQUAL (result, HT_RESULT_INCOMPLETE);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "answer", test_answer },
          { "nothing listens", test_nothing_listens },
          { "cut body is broken", test_cut_body_is_broken },
          { "timeout after sending", test_timeout_after_sending },
          { "answer during a stall", test_answer_during_stall },
          { "the library repeats by itself", test_library_repeats_by_itself },
          { "once is sent once", test_once_is_sent_once },
          { NULL, NULL } };

  return dp_test_main ("ht_client", tests);
}
