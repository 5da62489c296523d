#include "ht_client.h"

#include "ba_clock.h"
#include "ba_ring.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
  MAX_EPOLL_EVENTS = 64,
  MAX_EPOLL_WAIT_MS = 200,
  MAX_IDLE_HANDLE_COUNT = 512,
  /* A body up to this size is sent together with the headers.  A larger one is
     sent in parts, so that the client notices that it is being sent.  */
  MAX_BODY_WITH_HEADERS_BYTES = 16384,
  CONNECT_TIMEOUT_MS = 1000
};

/* Longer than any exchange takes to connect; 0 would be libcurl's default.  */
#define NO_CONNECT_TIMEOUT_MS (24 * 60 * 60 * 1000L)

/* A message to the client's thread: start an exchange, or resume one.  */
struct command
{
  struct ht_exchange *exchange; /* exchange to start, or NULL */
  uint64_t exchange_id;         /* exchange to resume if EXCHANGE is NULL */
};

/* A server with requests that are in libcurl's hands or wait for a connection.
   libcurl could make them wait itself, but the time that it takes for each
   exchange grows with the number of its waiting handles, since it walks the
   list of them at the end of each exchange.  */
struct server
{
  char *authority;    /* host and port; owned */
  unsigned in_flight; /* exchanges that libcurl has */
  /* Exchanges of each priority, in order of arrival.  */
  GQueue waiting[HT_PRIORITY_COUNT];
};

struct ht_exchange
{
  uint64_t id;
  struct ht_client *client;
  struct server *server; /* NULL: connections are not limited */
  GList waiting_link;    /* in the server's queue while it waits */
  bool is_waiting;
  enum ht_priority priority;
  const struct ht_client_handlers *handlers;
  void *context;
  CURL *easy;
  curl_socket_t socket; /* socket that is monitored for this exchange, or
                           CURL_SOCKET_BAD */
  struct curl_slist *request_headers;
  char *method;
  char *url;
  char *sigv4;
  char *credentials;
  uint8_t *body;
  size_t body_len;  /* bytes */
  size_t body_sent; /* bytes that libcurl has read so far */
  int64_t start_before_us;
  int64_t timeout_ms;
  int64_t idle_timeout_ms; /* 0: none */
  bool timeout_per_step;
  int64_t deadline_us; /* ba_clock_now_us time */
  struct ht_exchange_times times;
  bool no_retry;
  bool new_connection;
  bool headers_reported;
  char error[CURL_ERROR_SIZE];
};

struct ht_client
{
  CURLM *multi;
  struct ba_ring *commands;
  int epoll_fd;
  int64_t timer_due_us;  /* when libcurl's timer expires; -1: not armed */
  GHashTable *exchanges; /* ID -> exchange; used only by the client's thread */
  GTree *deadlines;      /* the same exchanges, ordered by deadline */
  GHashTable *servers;   /* authority -> server */
  unsigned max_connections_per_server; /* 0: unlimited */
  /* Of these, those that only requests of high priority may use.  */
  unsigned reserved_connections_per_server;
  unsigned max_waiting_per_server; /* of each priority; 0: unlimited */
  /* Easy handles kept for reuse, because creating one is expensive.  */
  CURL *idle_handles[MAX_IDLE_HANDLE_COUNT];
  unsigned idle_handle_count;
  _Atomic uint64_t last_exchange_id;
  _Atomic bool stopping;
};

static pthread_once_t curl_init_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

/* CURLMOPT_TIMERFUNCTION: set libcurl's single timer.  libcurl calls this only
   when the time at which it is due changes, so the only other place that may
   change timer_due_us is where the expired timer is disarmed.  */
static int
timer_changed (CURLM *multi G_GNUC_UNUSED, long timeout_ms, void *data)
{
  struct ht_client *client = data;

  client->timer_due_us
      = timeout_ms < 0 ? -1 : ba_clock_now_us () + (int64_t)timeout_ms * 1000;
  return 0;
}

/* Set the deadline of E to DEADLINE_US if that is later.  */
static void
extend_deadline (struct ht_exchange *e, int64_t deadline_us)
{
  if (deadline_us <= e->deadline_us)
    return;
  g_tree_remove (e->client->deadlines, e);
  e->deadline_us = deadline_us;
  g_tree_insert (e->client->deadlines, e, e);
}

/* A step of E begins, such as connecting or sending a part: restart its
   timeout if that applies to each step.  */
static void
begin_step (struct ht_exchange *e)
{
  if (e->timeout_per_step)
    extend_deadline (e, ba_clock_now_us () + e->timeout_ms * 1000);
}

/* CURLMOPT_SOCKETFUNCTION: monitor FD with epoll for the events in WHAT.
   KNOWN is NULL unless FD is monitored already.  */
static int
socket_changed (CURL *easy, curl_socket_t fd, int what, void *data,
                void *known)
{
  struct ht_client *client = data;
  struct epoll_event event = { .data.fd = fd };
  struct ht_exchange *e = NULL;

  /* libcurl also uses internal handles, which have no exchange.  */
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&e);
  if (e != NULL && e->socket == CURL_SOCKET_BAD && what != CURL_POLL_REMOVE
      && e->times.sent_us == 0)
    begin_step (e);
  if (e != NULL)
    e->socket = what == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : fd;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (client->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  if (known != NULL)
    epoll_ctl (client->epoll_fd, EPOLL_CTL_MOD, fd, &event);
  else
    {
      epoll_ctl (client->epoll_fd, EPOLL_CTL_ADD, fd, &event);
      curl_multi_assign (client->multi, fd, client);
    }
  return 0;
}

/* Order exchanges by deadline, then by ID.  */
static gint
compare_deadlines (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ht_exchange *one = a;
  const struct ht_exchange *other = b;

  (void)data;
  if (one->deadline_us != other->deadline_us)
    return one->deadline_us < other->deadline_us ? -1 : 1;
  return (one->id > other->id) - (one->id < other->id);
}

static int
client_destructor (struct ht_client *client)
{
  for (unsigned i = 0; i < client->idle_handle_count; i++)
    curl_easy_cleanup (client->idle_handles[i]);
  curl_multi_cleanup (client->multi);
  g_hash_table_destroy (client->servers);
  g_tree_destroy (client->deadlines);
  g_hash_table_destroy (client->exchanges);
  close (client->epoll_fd);
  return 0;
}

struct ht_client *
ht_client_new (TALLOC_CTX *mem, const struct ht_client_options *options)
{
  struct ht_client *client = talloc_zero (mem, struct ht_client);
  struct epoll_event event = { .events = EPOLLIN };

  pthread_once (&curl_init_once, init_curl);
  client->multi = curl_multi_init ();
  client->commands = ba_ring_new (client, options->ring_capacity);
  client->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  client->timer_due_us = -1;
  client->exchanges = g_hash_table_new (g_int64_hash, g_int64_equal);
  client->deadlines = g_tree_new_full (compare_deadlines, NULL, NULL, NULL);
  client->servers = g_hash_table_new (g_str_hash, g_str_equal);
  client->max_connections_per_server
      = (unsigned)options->max_connections_per_server;
  client->reserved_connections_per_server
      = options->reserved_connections_per_server;
  client->max_waiting_per_server = options->max_waiting_per_server;
  event.data.fd = ba_ring_fd (client->commands);
  epoll_ctl (client->epoll_fd, EPOLL_CTL_ADD, event.data.fd, &event);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, socket_changed);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, timer_changed);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     options->max_connections_per_server);
  if (options->max_idle_connections > 0)
    curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                       options->max_idle_connections);
  talloc_set_destructor (client, client_destructor);
  return client;
}

static int
exchange_destructor (struct ht_exchange *exchange)
{
  if (exchange->easy != NULL)
    curl_easy_cleanup (exchange->easy);
  curl_slist_free_all (exchange->request_headers);
  return 0;
}

static void
add_header (struct ht_exchange *exchange, const char *name, const char *value)
{
  /* libcurl takes "NAME;" for a header with an empty value; it would omit
     "NAME:".  */
  char *line = *value != '\0' ? talloc_asprintf (NULL, "%s: %s", name, value)
                              : talloc_asprintf (NULL, "%s;", name);

  exchange->request_headers
      = curl_slist_append (exchange->request_headers, line);
  talloc_free (line);
}

/* Keep libcurl from adding a Content-Type of its own to a body for which
   REQUEST has none.  */
static void
suppress_content_type (struct ht_exchange *exchange,
                       const struct ht_request *request)
{
  for (size_t i = 0; i < request->header_count; i++)
    if (g_ascii_strcasecmp (request->headers[i].name, "Content-Type") == 0)
      return;
  exchange->request_headers
      = curl_slist_append (exchange->request_headers, "Content-Type:");
}

bool
ht_client_submit (struct ht_client *client, const struct ht_request *request,
                  const struct ht_client_handlers *handlers, void *context)
{
  struct command *command = talloc_zero (NULL, struct command);
  struct ht_exchange *e = talloc_zero (command, struct ht_exchange);

  e->id = atomic_fetch_add (&client->last_exchange_id, 1) + 1;
  e->client = client;
  e->handlers = handlers;
  e->context = context;
  e->method = talloc_strdup (e, request->method);
  e->url = talloc_strdup (e, request->url);
  e->sigv4 = talloc_strdup (e, request->sigv4);
  e->credentials = talloc_strdup (e, request->credentials);
  e->body = talloc_memdup (e, request->body, request->body_len);
  e->body_len = request->body_len;
  e->times.submitted_us = ba_clock_now_us ();
  e->start_before_us = request->start_before_us;
  e->timeout_ms = request->timeout_ms;
  e->idle_timeout_ms = request->idle_timeout_ms;
  e->timeout_per_step = request->timeout_per_step;
  e->priority = request->priority;
  e->no_retry = request->no_retry;
  e->new_connection = request->new_connection;
  talloc_set_destructor (e, exchange_destructor);
  for (size_t i = 0; i < request->header_count; i++)
    add_header (e, request->headers[i].name, request->headers[i].value);
  if (request->sigv4 == NULL)
    suppress_content_type (e, request);
  /* Replaces libcurl's own Expect header, so that it doesn't wait for "100
     Continue" before it sends the body.  */
  add_header (e, "Expect", "");
  command->exchange = e;
  if (ba_ring_push (client->commands, command))
    return true;
  talloc_free (command);
  return false;
}

void
ht_client_resume (struct ht_client *client, uint64_t exchange_id)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->exchange_id = exchange_id;
  /* If the ring is full, wait until the client's thread empties it, which it
     does in its next iteration.  */
  while (!ba_ring_push (client->commands, command))
    g_usleep (100);
}

const struct ht_exchange_times *
ht_exchange_times (const struct ht_exchange *exchange)
{
  return &exchange->times;
}

uint64_t
ht_exchange_id (const struct ht_exchange *exchange)
{
  return exchange->id;
}

/* The hop-by-hop headers, and Content-Length, which describes the framing of
   the body.  */
static const char *const hop_by_hop_headers[]
    = { "Connection",          "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "TE",         "Trailer",
        "Transfer-Encoding",   "Upgrade",    "Content-Length",
        "Proxy-Connection",    NULL };

bool
ht_header_is_hop_by_hop (const char *name)
{
  for (size_t i = 0; hop_by_hop_headers[i] != NULL; i++)
    if (g_ascii_strcasecmp (hop_by_hop_headers[i], name) == 0)
      return true;
  return false;
}

const char *
ht_exchange_error (const struct ht_exchange *exchange)
{
  return exchange->error[0] != '\0' ? exchange->error
                                    : "too late to send the request";
}

char *
ht_exchange_response_headers (struct ht_exchange *exchange, TALLOC_CTX *mem)
{
  char *text = talloc_strdup (mem, "");
  struct curl_header *header = NULL;

  while ((header
          = curl_easy_nextheader (exchange->easy, CURLH_HEADER, -1, header))
         != NULL)
    if (!ht_header_is_hop_by_hop (header->name))
      text = talloc_asprintf_append_buffer (text, "%s: %s\n", header->name,
                                            header->value);
  return text;
}

/* CURLOPT_PREREQFUNCTION: called once there is a connection, just before the
   request is sent.  */
static int
record_sending (void *data, char *peer_ip G_GNUC_UNUSED,
                char *own_ip G_GNUC_UNUSED, int peer_port G_GNUC_UNUSED,
                int own_port G_GNUC_UNUSED)
{
  struct ht_exchange *e = data;

  e->times.sent_us = ba_clock_now_us ();
  e->times.sendings++;
  begin_step (e);
  return CURL_PREREQFUNC_OK;
}

/* CURLOPT_READFUNCTION.  */
static size_t
read_request_body (char *buffer, size_t size, size_t count, void *data)
{
  struct ht_exchange *e = data;
  size_t left = e->body_len - e->body_sent;
  size_t part = size * count < left ? size * count : left;

  if (part > 0)
    memcpy (buffer, e->body + e->body_sent, part);
  e->body_sent += part;
  begin_step (e);
  return part;
}

/* CURLOPT_SEEKFUNCTION.  libcurl repeats a request when a reused connection
   fails before the response, for which it has to rewind the body.  Refusing
   that for a request that must not be repeated makes the transfer fail.  */
static int
seek_request_body (void *data, curl_off_t offset, int origin)
{
  struct ht_exchange *e = data;

  if (e->no_retry || origin != SEEK_SET || offset < 0
      || (size_t)offset > e->body_len)
    return CURL_SEEKFUNC_FAIL;
  e->body_sent = (size_t)offset;
  return CURL_SEEKFUNC_OK;
}

/* Call the `headers' handler unless it has been called.  */
static void
report_headers (struct ht_exchange *e)
{
  long status = 0;
  curl_off_t length = -1;

  if (e->headers_reported)
    return;
  e->headers_reported = true;
  curl_easy_getinfo (e->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (e->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  if (e->handlers->headers != NULL)
    e->handlers->headers (e, e->context, (unsigned)status, length);
}

/* CURLOPT_WRITEFUNCTION.  */
static size_t
receive_body (char *data, size_t size, size_t count, void *context)
{
  struct ht_exchange *e = context;

  report_headers (e);
  begin_step (e);
  if (e->idle_timeout_ms != 0)
    extend_deadline (e, ba_clock_now_us () + e->idle_timeout_ms * 1000);
  if (!e->handlers->body (e, e->context, data, size * count))
    return CURL_WRITEFUNC_PAUSE;
  return size * count;
}

/* Return whether the body of E is given to libcurl by CURLOPT_POSTFIELDS.
   libcurl then sends a small one in one piece with the headers, which saves a
   system call and an iteration for each request.  It rewinds such a body
   without the seek function, which enforces no_retry.  */
static bool
is_body_sent_with_headers (const struct ht_exchange *e)
{
  return e->sigv4 != NULL
         || (!e->no_retry && e->body_len > 0
             && e->body_len <= MAX_BODY_WITH_HEADERS_BYTES);
}

/* Set the options that depend on the method, the body, no_retry and
   new_connection.  */
static void
set_method_and_body (struct ht_exchange *e)
{
  bool has_body = e->body_len > 0 || strcmp (e->method, "POST") == 0
                  || strcmp (e->method, "PUT") == 0
                  || strcmp (e->method, "PATCH") == 0;

  if (strcmp (e->method, "HEAD") == 0)
    curl_easy_setopt (e->easy, CURLOPT_NOBODY, 1L);
  else if (has_body && is_body_sent_with_headers (e))
    {
      /* To sign, libcurl hashes the body, which it does only for a body given
         by CURLOPT_POSTFIELDS.  Then no_retry is enforced by a new connection
         below.  */
      curl_easy_setopt (e->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)e->body_len);
      curl_easy_setopt (e->easy, CURLOPT_POSTFIELDS,
                        e->body_len > 0 ? (const char *)e->body : "");
    }
  else if (has_body)
    {
      curl_easy_setopt (e->easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (e->easy, CURLOPT_INFILESIZE_LARGE,
                        (curl_off_t)e->body_len);
      curl_easy_setopt (e->easy, CURLOPT_READFUNCTION, read_request_body);
      curl_easy_setopt (e->easy, CURLOPT_READDATA, e);
      curl_easy_setopt (e->easy, CURLOPT_SEEKFUNCTION, seek_request_body);
      curl_easy_setopt (e->easy, CURLOPT_SEEKDATA, e);
    }
  if (strcmp (e->method, "HEAD") != 0)
    curl_easy_setopt (e->easy, CURLOPT_CUSTOMREQUEST, e->method);
  /* libcurl doesn't call the seek function if there is no body or the body was
     given by CURLOPT_POSTFIELDS.  Only a new connection prevents it from
     repeating such a request.  */
  if (e->new_connection
      || (e->no_retry && (e->body_len == 0 || e->sigv4 != NULL)))
    curl_easy_setopt (e->easy, CURLOPT_FRESH_CONNECT, 1L);
}

/* Return an easy handle with default options, reused if possible.  */
static CURL *
acquire_handle (struct ht_client *client)
{
  if (client->idle_handle_count > 0)
    return client->idle_handles[--client->idle_handle_count];
  return curl_easy_init ();
}

static void
release_handle (struct ht_client *client, CURL *easy)
{
  if (client->idle_handle_count == MAX_IDLE_HANDLE_COUNT)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  client->idle_handles[client->idle_handle_count++] = easy;
}

/* Hand E to libcurl, which starts it in its next iteration.  */
static void
add_to_libcurl (struct ht_exchange *e)
{
  struct ht_client *client = e->client;

  e->easy = acquire_handle (client);
  curl_easy_setopt (e->easy, CURLOPT_URL, e->url);
  curl_easy_setopt (e->easy, CURLOPT_PRIVATE, e);
  curl_easy_setopt (e->easy, CURLOPT_ERRORBUFFER, e->error);
  curl_easy_setopt (e->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (e->easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (e->easy, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (e->easy, CURLOPT_HTTPHEADER, e->request_headers);
  /* libcurl checks its timeout before the socket, so a late thread would give
     up connections that the server has accepted.  If the timeout applies to
     each step, it limits the connecting as well.  */
  curl_easy_setopt (e->easy, CURLOPT_CONNECTTIMEOUT_MS,
                    e->timeout_per_step ? NO_CONNECT_TIMEOUT_MS
                                        : (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (e->easy, CURLOPT_PREREQFUNCTION, record_sending);
  curl_easy_setopt (e->easy, CURLOPT_PREREQDATA, e);
  curl_easy_setopt (e->easy, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (e->easy, CURLOPT_WRITEDATA, e);
  if (e->sigv4 != NULL)
    {
      curl_easy_setopt (e->easy, CURLOPT_AWS_SIGV4, e->sigv4);
      curl_easy_setopt (e->easy, CURLOPT_USERPWD, e->credentials);
    }
  set_method_and_body (e);
  curl_multi_add_handle (client->multi, e->easy);
}

/* ---- waiting for a connection ---- */

/* Return the host and port in URL, owned by MEM.  */
static char *
url_authority (TALLOC_CTX *mem, const char *url)
{
  const char *scheme_end = strstr (url, "://");
  const char *authority = scheme_end != NULL ? scheme_end + 3 : url;

  return talloc_strndup (mem, authority, strcspn (authority, "/?#"));
}

/* Return the server that E is sent to, new if there is none.  */
static struct server *
find_server (struct ht_client *client, const struct ht_exchange *e)
{
  char *authority = url_authority (NULL, e->url);
  struct server *server = g_hash_table_lookup (client->servers, authority);

  if (server != NULL)
    {
      talloc_free (authority);
      return server;
    }
  server = talloc_zero (client, struct server);
  server->authority = talloc_steal (server, authority);
  g_hash_table_insert (client->servers, server->authority, server);
  return server;
}

/* Free SERVER if it has no requests.  */
static void
forget_idle_server (struct ht_client *client, struct server *server)
{
  if (server->in_flight > 0)
    return;
  for (int i = 0; i < HT_PRIORITY_COUNT; i++)
    if (!g_queue_is_empty (&server->waiting[i]))
      return;
  g_hash_table_remove (client->servers, server->authority);
  talloc_free (server);
}

/* Return whether a request of PRIORITY to SERVER may be sent now.  Those of
   the lowest priority leave the reserved connections free, but may use at
   least one.  */
static bool
has_free_connection (const struct ht_client *client,
                     const struct server *server, enum ht_priority priority)
{
  unsigned max = client->max_connections_per_server;
  unsigned reserved = MIN (client->reserved_connections_per_server, max - 1);

  return server->in_flight
         < (priority > HT_PRIORITY_LOW ? max : max - reserved);
}

/* Hand the waiting requests of SERVER to libcurl for which there is a
   connection: the highest priority first, each in order of arrival.  Those
   whose deadline has passed are left to expire_exchanges.  */
static void
send_waiting (struct ht_client *client, struct server *server)
{
  int64_t now_us = ba_clock_now_us ();

  for (int priority = HT_PRIORITY_COUNT - 1; priority >= 0; priority--)
    {
      GQueue *waiting = &server->waiting[priority];
      GList *next;

      for (GList *link = waiting->head;
           link != NULL
           && has_free_connection (client, server, (enum ht_priority)priority);
           link = next)
        {
          struct ht_exchange *e = link->data;

          next = link->next;
          if (e->deadline_us <= now_us)
            continue;
          g_queue_unlink (waiting, link);
          e->is_waiting = false;
          server->in_flight++;
          add_to_libcurl (e);
        }
    }
}

/* Take E, which ends, off its server's queue, or let the next request have its
   connection.  */
static void
leave_server (struct ht_exchange *e)
{
  struct server *server = e->server;

  if (server == NULL)
    return;
  e->server = NULL;
  if (e->is_waiting)
    g_queue_unlink (&server->waiting[e->priority], &e->waiting_link);
  else
    server->in_flight--;
  send_waiting (e->client, server);
  forget_idle_server (e->client, server);
}

/* End exchange E: call its `done' handler and free it.  */
static void
finish_exchange (struct ht_exchange *e, enum ht_result result, unsigned status)
{
  struct ht_client *client = e->client;

  if (e->easy != NULL)
    curl_multi_remove_handle (client->multi, e->easy);
  leave_server (e);
  g_hash_table_remove (client->exchanges, &e->id);
  g_tree_remove (client->deadlines, e);
  e->handlers->done (e, e->context, result, status);
  if (e->easy != NULL)
    release_handle (client, e->easy);
  e->easy = NULL;
  talloc_free (e);
}

/* Have E sent as soon as there is a connection to its server.  */
static void
send_or_wait (struct ht_client *client, struct ht_exchange *e)
{
  struct server *server = find_server (client, e);
  GQueue *waiting = &server->waiting[e->priority];

  if (client->max_waiting_per_server > 0
      && waiting->length >= client->max_waiting_per_server)
    {
      g_strlcpy (e->error, "too many requests wait for a connection",
                 sizeof e->error);
      e->times.expired_in_queue = true;
      finish_exchange (e, HT_RESULT_NOT_SENT, 0);
      return;
    }
  e->server = server;
  e->is_waiting = true;
  e->waiting_link.data = e;
  g_queue_push_tail_link (waiting, &e->waiting_link);
  send_waiting (client, server);
}

/* Start exchange E, which becomes owned by CLIENT.  */
static void
start_exchange (struct ht_client *client, struct ht_exchange *e)
{
  talloc_steal (client, e);
  e->socket = CURL_SOCKET_BAD;
  e->deadline_us = ba_clock_now_us () + e->timeout_ms * 1000;
  g_hash_table_insert (client->exchanges, &e->id, e);
  g_tree_insert (client->deadlines, e, e);
  if (e->start_before_us != 0 && ba_clock_now_us () > e->start_before_us)
    {
      e->times.expired_in_queue = true;
      finish_exchange (e, HT_RESULT_NOT_SENT, 0);
    }
  else if (client->max_connections_per_server > 0)
    send_or_wait (client, e);
  else
    add_to_libcurl (e);
}

static void
process_commands (struct ht_client *client)
{
  struct command *command;

  ba_ring_reset_fd (client->commands);
  while ((command = ba_ring_pop (client->commands)) != NULL)
    {
      if (command->exchange != NULL)
        start_exchange (client, command->exchange);
      else
        {
          struct ht_exchange *e
              = g_hash_table_lookup (client->exchanges, &command->exchange_id);

          if (e != NULL && e->easy != NULL)
            curl_easy_pause (e->easy, CURLPAUSE_CONT);
        }
      talloc_free (command);
    }
}

/* Return the result of exchange E, which ended with CODE.  */
static enum ht_result
exchange_result (const struct ht_exchange *e, CURLcode code)
{
  long bytes_sent = 0;

  if (e->easy == NULL)
    return HT_RESULT_NOT_SENT;
  if (code == CURLE_OK)
    return HT_RESULT_COMPLETE;
  curl_easy_getinfo (e->easy, CURLINFO_REQUEST_SIZE, &bytes_sent);
  if (bytes_sent == 0)
    return HT_RESULT_NOT_SENT;
  return code == CURLE_OPERATION_TIMEDOUT ? HT_RESULT_TIMEOUT
                                          : HT_RESULT_INCOMPLETE;
}

/* Finish the exchanges that libcurl reports as completed.  */
static void
process_completed (struct ht_client *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      struct ht_exchange *e;
      long status = 0;
      CURL *easy = message->easy_handle;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&e);
      curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
      if (code == CURLE_OK)
        report_headers (e);
      finish_exchange (e, exchange_result (e, code), (unsigned)status);
    }
}

/* Finish the exchanges whose deadline has passed.  libcurl's own timeout is
   not used because it takes precedence over data that is ready to be read: a
   thread that got no CPU time for a while would discard responses that had
   arrived in time.  Therefore the socket of each exchange is read before the
   exchange is finished.  */
static void
expire_exchanges (struct ht_client *client)
{
  GTreeNode *first;

  while ((first = g_tree_node_first (client->deadlines)) != NULL)
    {
      struct ht_exchange *e = g_tree_node_value (first);
      uint64_t id = e->id;
      int64_t deadline_us = e->deadline_us;
      int running;

      if (deadline_us > ba_clock_now_us ())
        return;
      if (e->socket != CURL_SOCKET_BAD)
        {
          curl_multi_socket_action (client->multi, e->socket, CURL_CSELECT_IN,
                                    &running);
          process_completed (client);
        }
      if (!g_hash_table_contains (client->exchanges, &id)
          || e->deadline_us != deadline_us)
        continue;
      e->times.expired_in_queue
          = e->socket == CURL_SOCKET_BAD && e->times.sent_us == 0;
      g_snprintf (e->error, sizeof e->error,
                  "no %s within %" G_GINT64_FORMAT " ms",
                  e->is_waiting ? "free connection" : "complete response",
                  e->timeout_ms);
      finish_exchange (e, exchange_result (e, CURLE_OPERATION_TIMEDOUT), 0);
    }
}

/* Return how long epoll_wait may block: until libcurl's timer or the first
   deadline, but at most MAX_EPOLL_WAIT_MS.  */
static int
epoll_timeout_ms (const struct ht_client *client)
{
  GTreeNode *first = g_tree_node_first (client->deadlines);
  int64_t wake_time_us = ba_clock_now_us () + MAX_EPOLL_WAIT_MS * 1000;

  if (client->timer_due_us >= 0)
    wake_time_us = MIN (wake_time_us, client->timer_due_us);
  if (first != NULL)
    {
      const struct ht_exchange *e = g_tree_node_value (first);

      wake_time_us = MIN (wake_time_us, e->deadline_us);
    }
  return (int)MAX ((wake_time_us - ba_clock_now_us () + 999) / 1000, 0);
}

/* Handle COUNT epoll events and libcurl's timer.  */
static void
process_events (struct ht_client *client, const struct epoll_event *events,
                int count)
{
  int running;

  for (int i = 0; i < count; i++)
    {
      int what = 0;

      if (events[i].data.fd == ba_ring_fd (client->commands))
        {
          process_commands (client);
          continue;
        }
      if (events[i].events & EPOLLIN)
        what |= CURL_CSELECT_IN;
      if (events[i].events & EPOLLOUT)
        what |= CURL_CSELECT_OUT;
      if (events[i].events & (EPOLLERR | EPOLLHUP))
        what |= CURL_CSELECT_ERR;
      curl_multi_socket_action (client->multi, events[i].data.fd, what,
                                &running);
    }
  if (client->timer_due_us >= 0 && ba_clock_now_us () >= client->timer_due_us)
    {
      client->timer_due_us = -1;
      curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0,
                                &running);
    }
}

void
ht_client_run (struct ht_client *client, void (*on_iteration) (void *),
               void *context)
{
  struct epoll_event events[MAX_EPOLL_EVENTS];

  while (!atomic_load (&client->stopping))
    {
      int count = epoll_wait (client->epoll_fd, events, MAX_EPOLL_EVENTS,
                              epoll_timeout_ms (client));

      on_iteration (context);
      process_events (client, events, count > 0 ? count : 0);
      process_completed (client);
      expire_exchanges (client);
    }
}

void
ht_client_stop (struct ht_client *client)
{
  atomic_store (&client->stopping, true);
  ba_ring_wake (client->commands);
}
