/* A crowd of clients that hold their connections: each one sends a request,
   or most of one, and stays open.

   Usage: crowd_client OPTIONS...  (see --help)

   Prints "opened" once each connection has been established, and then "sent
   SENT closed CLOSED" once each connection has sent all that it
   has to send or was closed by the server, and then holds the others open
   until a signal ends it.  */

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  POLL_INTERVAL_MS = 100,
  /* Bytes that a connection sends before it is another one's turn: with few,
     all bodies grow at the same time.  */
  MAX_SEND_BYTES = 16 * 1024,
  LARGE_CHUNK_BYTES = 32 * 1024,
  MISSING_BYTES = 16, /* that a body stops short of its end */
  HEADER_FIELD_BYTES = 1024
};

enum kind
{
  KIND_WHOLE,       /* complete requests */
  KIND_PIECES,      /* bodies of a known length that stop short of it */
  KIND_CHUNKS,      /* bodies in large chunks that stop short of their end */
  KIND_TINY_CHUNKS, /* bodies in chunks of one byte, the same */
  KIND_ANNOUNCED,   /* a Content-Length over the limit, and a part of it */
  KIND_OVER,        /* chunks without an end beyond the limit */
  KIND_HEADERS,     /* header fields without an end */
  KIND_COUNT
};

static const char *const kind_names[KIND_COUNT + 1]
    = { "whole",     "pieces", "chunks",  "tiny-chunks",
        "announced", "over",   "headers", NULL };

struct arguments
{
  struct sockaddr_in address;
  const char *path;
  const char *host;
  const char *header; /* one more field, or NULL */
  unsigned connection_count;
  enum kind kind;
  size_t bytes; /* of a body */
};

static const struct argp_option options[]
    = { { "address", 'a', "IP:PORT", 0, "Of the server", 0 },
        { "path", 'p', "PATH", 0, "Of the requests (/)", 0 },
        { "host", 'H', "NAME", 0, "Host field (example)", 0 },
        { "header", 'x', "NAME: VALUE", 0, "One more header field", 0 },
        { "connections", 'c', "N", 0, "Number of connections (100)", 0 },
        { "kind", 'k', "KIND", 0,
          "whole, pieces, chunks, tiny-chunks, announced, over or headers",
          0 },
        { "bytes", 'b', "N", 0, "Of a body (200000)", 0 },
        { 0 } };

static bool
parse_address (char *text, struct sockaddr_in *address)
{
  char *colon = strchr (text, ':');

  if (colon == NULL)
    return false;
  *colon = '\0';
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)atoi (colon + 1));
  return inet_pton (AF_INET, text, &address->sin_addr) == 1;
}

static bool
parse_kind (const char *name, enum kind *kind)
{
  for (int i = 0; i < KIND_COUNT; i++)
    if (strcmp (kind_names[i], name) == 0)
      {
        *kind = (enum kind)i;
        return true;
      }
  return false;
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'a':
      if (!parse_address (value, &arguments->address))
        argp_error (state, "--address takes IP:PORT");
      return 0;
    case 'p':
      arguments->path = value;
      return 0;
    case 'H':
      arguments->host = value;
      return 0;
    case 'x':
      arguments->header = value;
      return 0;
    case 'c':
      arguments->connection_count = (unsigned)strtoul (value, NULL, 10);
      return 0;
    case 'k':
      if (!parse_kind (value, &arguments->kind))
        argp_error (state, "unknown kind %s", value);
      return 0;
    case 'b':
      arguments->bytes = strtoul (value, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* ---- what each connection sends ---- */

/* Return a JSON text of LEN bytes: a job with as many empty steps as fit, the
   largest that a parser makes of so many bytes.  */
static GString *
create_body (size_t len)
{
  static const char end[] = "{}]}";
  GString *body = g_string_new ("{\"spec\":\"0 0\",\"steps\":[");

  while (body->len + strlen ("{},") + strlen (end) <= len)
    g_string_append (body, "{},");
  while (body->len + strlen (end) < len)
    g_string_append_c (body, ' ');
  g_string_append (body, end);
  return body;
}

static void
append_chunks (GString *request, const GString *body, size_t len,
               size_t chunk_len)
{
  for (size_t i = 0; i < len; i += chunk_len)
    {
      size_t part = MIN (chunk_len, len - i);

      g_string_append_printf (request, "%zx\r\n", part);
      g_string_append_len (request, body->str + i, (gssize)part);
      g_string_append (request, "\r\n");
    }
}

static GString *
create_request (const struct arguments *arguments)
{
  GString *request = g_string_new (NULL);
  GString *body = create_body (arguments->bytes);
  size_t len = body->len;

  g_string_append_printf (request, "POST %s HTTP/1.1\r\nHost: %s\r\n",
                          arguments->path, arguments->host);
  if (arguments->header != NULL)
    g_string_append_printf (request, "%s\r\n", arguments->header);
  switch (arguments->kind)
    {
    case KIND_WHOLE:
    case KIND_PIECES:
    case KIND_ANNOUNCED:
      g_string_append_printf (request, "Content-Length: %zu\r\n\r\n", len);
      if (arguments->kind == KIND_PIECES)
        len -= MISSING_BYTES;
      else if (arguments->kind == KIND_ANNOUNCED)
        len /= 2;
      g_string_append_len (request, body->str, (gssize)len);
      break;
    case KIND_CHUNKS:
    case KIND_TINY_CHUNKS:
    case KIND_OVER:
      g_string_append (request, "Transfer-Encoding: chunked\r\n\r\n");
      append_chunks (request, body, len,
                     arguments->kind == KIND_TINY_CHUNKS ? 1
                                                         : LARGE_CHUNK_BYTES);
      break;
    case KIND_HEADERS:
    case KIND_COUNT:
      for (size_t i = 0; i < len / HEADER_FIELD_BYTES; i++)
        {
          g_string_append_printf (request, "X-Field-%zu: ", i);
          for (size_t j = 0; j < HEADER_FIELD_BYTES; j++)
            g_string_append_c (request, 'x');
          g_string_append (request, "\r\n");
        }
      break;
    }
  g_string_free (body, TRUE);
  return request;
}

/* ---- connections ---- */

struct connection
{
  int fd; /* -1: closed */
  bool opened;
  size_t sent;
};

static void
open_connection (const struct arguments *arguments,
                 struct connection *connection)
{
  connection->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (connection->fd < 0
      || (connect (connection->fd, (struct sockaddr *)&arguments->address,
                   sizeof arguments->address)
              != 0
          && errno != EINPROGRESS))
    {
      perror ("crowd_client");
      exit (EXIT_FAILURE);
    }
}

static void
close_connection (struct connection *connection)
{
  close (connection->fd);
  connection->fd = -1;
}

/* Send the next part of REQUEST, and read what the server has sent.  */
static void
advance_connection (struct connection *connection, const GString *request,
                    short events)
{
  char response[4096];
  ssize_t count;

  connection->opened = true;
  if (events & (POLLERR | POLLHUP))
    {
      close_connection (connection);
      return;
    }
  if (events & POLLIN)
    {
      count = recv (connection->fd, response, sizeof response, 0);
      if (count == 0 || (count < 0 && errno != EAGAIN))
        {
          close_connection (connection);
          return;
        }
    }
  if (!(events & POLLOUT))
    return;
  count = send (connection->fd, request->str + connection->sent,
                MIN (request->len - connection->sent, MAX_SEND_BYTES),
                MSG_NOSIGNAL);
  if (count > 0)
    connection->sent += (size_t)count;
  else if (errno != EAGAIN)
    close_connection (connection);
}

static void
run (const struct arguments *arguments)
{
  unsigned count = arguments->connection_count;
  struct connection *connections = g_new0 (struct connection, count);
  struct pollfd *fds = g_new0 (struct pollfd, count);
  GString *request = create_request (arguments);
  bool opened_reported = false;
  bool reported = false;

  for (unsigned i = 0; i < count; i++)
    open_connection (arguments, &connections[i]);
  for (;;)
    {
      unsigned sending = 0;
      unsigned closed = 0;
      unsigned opened = 0;

      for (unsigned i = 0; i < count; i++)
        {
          bool unsent = connections[i].sent < request->len;

          fds[i].fd = connections[i].fd;
          fds[i].events = (short)(POLLIN | (unsent ? POLLOUT : 0));
          opened += connections[i].opened;
          closed += connections[i].fd < 0;
          sending += connections[i].fd >= 0 && unsent;
        }
      if (opened == count && !opened_reported)
        {
          printf ("opened\n");
          fflush (stdout);
          opened_reported = true;
        }
      if (sending == 0 && !reported)
        {
          printf ("sent %u closed %u\n", count - closed, closed);
          fflush (stdout);
          reported = true;
        }
      poll (fds, count, POLL_INTERVAL_MS);
      for (unsigned i = 0; i < count; i++)
        if (fds[i].fd >= 0 && fds[i].revents != 0)
          advance_connection (&connections[i], request, fds[i].revents);
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, "Clients that hold connections." };
  struct arguments arguments = {
    .path = "/", .host = "example", .connection_count = 100, .bytes = 200000
  };

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (arguments.address.sin_port == 0)
    {
      fprintf (stderr, "crowd_client: --address is needed\n");
      return EXIT_FAILURE;
    }
  run (&arguments);
  return EXIT_SUCCESS;
}
