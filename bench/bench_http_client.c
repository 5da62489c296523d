/* Benchmark of the HTTP client: processor time of its thread for each
   exchange, by the number of requests submitted at once to each server and of
   idle connections kept.  The servers are one thread of this program that
   listens on many loopback addresses and answers at once.

   Usage: bench_http_client [REQUESTS_PER_SERVER]

   Prints a Markdown table, or one row of it for REQUESTS_PER_SERVER, to
   profile it.  Times depend on the machine, so compare the ratios within one
   run.  */

#include "ht_client.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  SERVER_COUNT = 80,
  SERVER_PORT = 19483,
  EXCHANGE_COUNT = 20480, /* of each row, at most */
  MAX_ROW_TIME_MS = 8000, /* no further batch is submitted after this */
  MAX_CONNECTIONS_PER_SERVER = 6,
  RING_CAPACITY = 8192,
  TIMEOUT_MS = 30000,
  MAX_EVENTS = 64,
  MAX_SOCKETS = 4096
};

/* ---- servers ---- */

static int server_epoll_fd;
static _Atomic uint64_t accept_count;
static bool is_listener[MAX_SOCKETS]; /* by descriptor; server thread only */

static void
watch_socket (int fd)
{
  struct epoll_event event = { .events = EPOLLIN, .data.fd = fd };

  g_assert (fd >= 0 && fd < MAX_SOCKETS);
  epoll_ctl (server_epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static void
open_servers (void)
{
  int enable = 1;

  server_epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  for (int i = 0; i < SERVER_COUNT; i++)
    {
      struct sockaddr_in address
          = { .sin_family = AF_INET,
              .sin_port = htons (SERVER_PORT),
              .sin_addr.s_addr = htonl (0x7f004001U + (uint32_t)i) };
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
          || listen (fd, 64) != 0)
        {
          perror ("can't listen");
          exit (EXIT_FAILURE);
        }
      is_listener[fd] = true;
      watch_socket (fd);
    }
}

/* Read what has arrived on FD and answer if it is the end of a request.  The
   body of each request ends in "}", and comes with or after the headers, which
   contain none.  */
static void
serve_connection (int fd)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 34\r\n\r\n{\"nowMs\":1234567890,\"state\":\"run\"}";
  char buffer[4096];
  ssize_t received = read (fd, buffer, sizeof buffer);

  if (received <= 0)
    {
      close (fd);
      return;
    }
  if (buffer[received - 1] == '}'
      && write (fd, response, sizeof response - 1) < 0)
    close (fd);
}

static gpointer
run_servers (gpointer data)
{
  struct epoll_event events[MAX_EVENTS];
  int enable = 1;

  (void)data;
  for (;;)
    {
      int count = epoll_wait (server_epoll_fd, events, MAX_EVENTS, -1);

      for (int i = 0; i < count; i++)
        if (is_listener[events[i].data.fd])
          {
            int fd = accept (events[i].data.fd, NULL, NULL);

            atomic_fetch_add (&accept_count, 1);
            setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
            watch_socket (fd);
          }
        else
          serve_connection (events[i].data.fd);
    }
  return NULL;
}

/* ---- client ---- */

static _Atomic uint32_t done_count;
static _Atomic uint32_t failed_count;

static bool
ignore_body (struct ht_exchange *exchange, void *context, const void *data,
             size_t len)
{
  (void)exchange;
  (void)context;
  (void)data;
  (void)len;
  return true;
}

static void
count_result (struct ht_exchange *exchange, void *context,
              enum ht_result result, unsigned status)
{
  (void)exchange;
  (void)context;
  if (result != HT_RESULT_COMPLETE || status != 200)
    atomic_fetch_add (&failed_count, 1);
  atomic_fetch_add (&done_count, 1);
}

static void
ignore_iteration (void *context)
{
  (void)context;
}

static void *
run_client (void *data)
{
  ht_client_run (data, ignore_iteration, NULL);
  return NULL;
}

static double
clock_seconds (clockid_t clock)
{
  struct timespec time;

  clock_gettime (clock, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void
submit_request (struct ht_client *client, int server)
{
  static const struct ht_client_handlers handlers
      = { .body = ignore_body, .done = count_result };
  static const struct ht_header headers[]
      = { { "Content-Type", "application/json" },
          { "X-Expect-Instance", "i-0123456789" } };
  static const char body[]
      = "{\"task\": \"0123456789abcdef.0.0.22\", \"run\": "
        "10001, \"untilMs\": 1234567890, \"fence\": 12}";
  char url[64];
  struct ht_request request = { .method = "POST",
                                .url = url,
                                .headers = headers,
                                .header_count = G_N_ELEMENTS (headers),
                                .body = body,
                                .body_len = sizeof body - 1,
                                .timeout_ms = TIMEOUT_MS };

  g_snprintf (url, sizeof url, "http://127.0.64.%d:%d/run-start", server + 1,
              SERVER_PORT);
  while (!ht_client_submit (client, &request, &handlers, NULL))
    g_usleep (100);
}

/* Submit PER_SERVER requests to each server at once and wait for all results,
   again and again, and print a row.  */
static void
measure_row (int per_server, long max_idle_connections)
{
  struct ht_client_options options
      = { .ring_capacity = RING_CAPACITY,
          .max_connections_per_server = MAX_CONNECTIONS_PER_SERVER,
          .max_idle_connections = max_idle_connections };
  struct ht_client *client = ht_client_new (NULL, &options);
  pthread_t thread;
  clockid_t thread_clock;
  uint32_t submitted = 0;
  uint64_t accepted = atomic_load (&accept_count);
  double start = clock_seconds (CLOCK_MONOTONIC);
  double submit_cpu_s = 0;
  double client_cpu_s;
  double wall_s;

  atomic_store (&done_count, 0);
  atomic_store (&failed_count, 0);
  pthread_create (&thread, NULL, run_client, client);
  pthread_getcpuclockid (thread, &thread_clock);
  while (submitted < EXCHANGE_COUNT
         && clock_seconds (CLOCK_MONOTONIC) - start < MAX_ROW_TIME_MS / 1e3)
    {
      double before = clock_seconds (CLOCK_THREAD_CPUTIME_ID);

      for (int i = 0; i < per_server; i++)
        for (int server = 0; server < SERVER_COUNT; server++)
          submit_request (client, server);
      submit_cpu_s += clock_seconds (CLOCK_THREAD_CPUTIME_ID) - before;
      submitted += (uint32_t)(per_server * SERVER_COUNT);
      while (atomic_load (&done_count) < submitted)
        g_usleep (200);
    }
  wall_s = clock_seconds (CLOCK_MONOTONIC) - start;
  client_cpu_s = clock_seconds (thread_clock);
  printf ("| %d | %ld | %u | %u | %.1f | %.1f | %.0f | %u |\n", per_server,
          max_idle_connections, submitted, atomic_load (&failed_count),
          client_cpu_s * 1e6 / submitted, submit_cpu_s * 1e6 / submitted,
          submitted / wall_s,
          (unsigned)(atomic_load (&accept_count) - accepted));
  fflush (stdout);
  ht_client_stop (client);
  pthread_join (thread, NULL);
  talloc_free (client);
}

int
main (int argc, char **argv)
{
  static const int per_server[] = { 1, 6, 16, 64 };
  static const long max_idle_connections[] = { 64, 1024 };

  open_servers ();
  g_thread_unref (g_thread_new ("servers", run_servers, NULL));
  printf ("| requests at once to each of %d servers | idle connections kept "
          "| exchanges | failed | client's thread us/exchange | submission "
          "us/exchange | exchanges/s | new connections |\n"
          "|---|---|---|---|---|---|---|---|\n",
          SERVER_COUNT);
  if (argc == 2)
    {
      measure_row (atoi (argv[1]), max_idle_connections[1]);
      return EXIT_SUCCESS;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (max_idle_connections); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (per_server); j++)
      measure_row (per_server[j], max_idle_connections[i]);
  return EXIT_SUCCESS;
}
