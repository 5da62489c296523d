/* Closed-loop HTTP load generator: each persistent connection sends its next
   request when it has received the response to the previous one.

   Usage: http_load http://IP:PORT/PATH CONNECTIONS SECONDS [API_KEY]

   Prints the requests per second, the median latency and the 99th percentile
   of the latency, both in microseconds.  It exits with a failure if a
   connection closes or a response has a status other than 200.

   It uses sockets without an HTTP library to take little processor time, since
   it shares the machine with the server that it measures.  */

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_CONNECTION_COUNT = 256,
  RESPONSE_BUFFER_BYTES = 8192
};

struct connection
{
  int fd;
  gint64 sent_at_us;
  size_t buffered_bytes; /* of the response received so far */
  char buffer[RESPONSE_BUFFER_BYTES];
};

static struct connection connections[MAX_CONNECTION_COUNT];
static char request[2048]; /* the same for all connections */
static size_t request_len;
static GArray *latencies_us;

static void
send_request (struct connection *connection)
{
  connection->sent_at_us = g_get_monotonic_time ();
  connection->buffered_bytes = 0;
  if (write (connection->fd, request, request_len) != (ssize_t)request_len)
    exit (EXIT_FAILURE);
}

/* Return whether the buffer of CONNECTION holds a complete response.  Exit if
   its status isn't 200.  */
static int
is_response_complete (struct connection *connection)
{
  char *header_end;
  char *length_header;

  connection->buffer[connection->buffered_bytes] = '\0';
  header_end = strstr (connection->buffer, "\r\n\r\n");
  if (header_end == NULL)
    return 0;
  if (strncmp (connection->buffer, "HTTP/1.1 200", 12) != 0)
    {
      fprintf (stderr, "response status is not 200: %.300s\n",
               connection->buffer);
      exit (EXIT_FAILURE);
    }
  length_header = strstr (connection->buffer, "Content-Length: ");
  return length_header != NULL
         && connection->buffered_bytes
                >= (size_t)(header_end + 4 - connection->buffer)
                       + strtoul (length_header + 16, NULL, 10);
}

static void
read_response (struct connection *connection)
{
  ssize_t received_bytes
      = read (connection->fd, connection->buffer + connection->buffered_bytes,
              RESPONSE_BUFFER_BYTES - 1 - connection->buffered_bytes);
  gint64 latency_us;

  if (received_bytes <= 0)
    {
      fprintf (stderr, "connection closed\n");
      exit (EXIT_FAILURE);
    }
  connection->buffered_bytes += (size_t)received_bytes;
  if (!is_response_complete (connection))
    return;
  latency_us = g_get_monotonic_time () - connection->sent_at_us;
  g_array_append_val (latencies_us, latency_us);
  send_request (connection);
}

static gint
compare_latencies (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return x < y ? -1 : x > y;
}

static int
connect_to (const char *host, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int enabled = 1;

  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, host, &address.sin_addr);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    exit (EXIT_FAILURE);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return fd;
}

int
main (int argc, char **argv)
{
  char host[64];
  char path[256] = "/";
  int port;
  int connection_count;
  int epoll_fd = epoll_create1 (0);
  gint64 started_at_us;
  gint64 stop_at_us;

  if (argc < 4
      || sscanf (argv[1], "http://%63[^:]:%d%255s", host, &port, path) < 2)
    return EXIT_FAILURE;
  connection_count = atoi (argv[2]);
  if (connection_count < 1 || connection_count > MAX_CONNECTION_COUNT)
    return EXIT_FAILURE;
  request_len = (size_t)g_snprintf (
      request, sizeof request,
      "PUT %s HTTP/1.1\r\nHost: %s\r\n%s%s%sContent-Length: 2\r\n\r\nhi", path,
      host, argc > 4 ? "Authorization: Bearer " : "", argc > 4 ? argv[4] : "",
      argc > 4 ? "\r\n" : "");
  latencies_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  started_at_us = g_get_monotonic_time ();
  stop_at_us = started_at_us + (gint64)(atof (argv[3]) * 1e6);
  for (int i = 0; i < connection_count; i++)
    {
      struct epoll_event event = { .events = EPOLLIN, .data.u32 = (guint)i };

      connections[i].fd = connect_to (host, port);
      epoll_ctl (epoll_fd, EPOLL_CTL_ADD, connections[i].fd, &event);
      send_request (&connections[i]);
    }
  while (g_get_monotonic_time () < stop_at_us)
    {
      struct epoll_event events[MAX_CONNECTION_COUNT];
      int ready_count
          = epoll_wait (epoll_fd, events, MAX_CONNECTION_COUNT, 100);

      for (int i = 0; i < ready_count; i++)
        read_response (&connections[events[i].data.u32]);
    }
  g_array_sort (latencies_us, compare_latencies);
  if (latencies_us->len == 0)
    return EXIT_FAILURE;
  printf (
      "%.0f %d %d\n",
      (double)latencies_us->len
          / ((double)(g_get_monotonic_time () - started_at_us) / 1e6),
      (int)g_array_index (latencies_us, gint64, latencies_us->len / 2),
      (int)g_array_index (latencies_us, gint64,
                          latencies_us->len - 1 - latencies_us->len / 100));
  return EXIT_SUCCESS;
}
