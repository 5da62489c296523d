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
  MAX_EVENTS = 64,
  LONGEST_WAIT_MS = 200,
  IDLE_HANDLES = 64,
  CONNECT_TIMEOUT_MS = 1000
};

/* A request on its way to the client's thread, or a wish to resume.  */
struct command
{
  struct ht_exchange *exchange; /* NULL: resume */
  uint64_t serial;
};

struct ht_exchange
{
  uint64_t serial;
  struct ht_client *client;
  const struct ht_client_handlers *handlers;
  void *context;
  CURL *easy;
  curl_socket_t socket; /* that libcurl watches for it */
  struct curl_slist *headers;
  char *method;
  char *url;
  char *sigv4;
  char *credentials;
  uint8_t *body;
  size_t body_len;
  size_t body_sent;
  int64_t send_before_us;
  int64_t timeout_ms;
  int64_t deadline; /* ba_clock_now_us time */
  bool no_retry;
  bool new_connection;
  bool headers_seen;
  char error[CURL_ERROR_SIZE];
};

struct ht_client
{
  CURLM *multi;
  struct ba_ring *commands;
  int epoll;
  int64_t timer_at;         /* when libcurl wants to be called; -1: never */
  GHashTable *exchanges;    /* serial -> exchange; client's thread only */
  GTree *deadlines;         /* the same, those that are up first */
  CURL *idle[IDLE_HANDLES]; /* for use again: making one is dear */
  unsigned idle_count;
  _Atomic uint64_t last_serial;
  _Atomic bool stopping;
};

static pthread_once_t curl_ready = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

/* libcurl keeps the time of its one timer and calls this only when that
   changes, so nothing else may touch timer_at.  */
static int
timer_changed (CURLM *multi G_GNUC_UNUSED, long timeout_ms, void *data)
{
  struct ht_client *client = data;

  client->timer_at
      = timeout_ms < 0 ? -1 : ba_clock_now_us () + (int64_t)timeout_ms * 1000;
  return 0;
}

static int
socket_changed (CURL *easy, curl_socket_t fd, int what, void *data,
                void *known)
{
  struct ht_client *client = data;
  struct epoll_event event = { .data.fd = fd };
  struct ht_exchange *e = NULL;

  /* Handles of libcurl's own have none.  */
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&e);
  if (e != NULL)
    e->socket = what == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : fd;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (client->epoll, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  if (known != NULL)
    epoll_ctl (client->epoll, EPOLL_CTL_MOD, fd, &event);
  else
    {
      epoll_ctl (client->epoll, EPOLL_CTL_ADD, fd, &event);
      curl_multi_assign (client->multi, fd, client);
    }
  return 0;
}

static gint
compare_deadlines (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ht_exchange *one = a;
  const struct ht_exchange *other = b;

  (void)data;
  if (one->deadline != other->deadline)
    return one->deadline < other->deadline ? -1 : 1;
  return (one->serial > other->serial) - (one->serial < other->serial);
}

static int
client_destroy (struct ht_client *client)
{
  for (unsigned i = 0; i < client->idle_count; i++)
    curl_easy_cleanup (client->idle[i]);
  curl_multi_cleanup (client->multi);
  g_tree_destroy (client->deadlines);
  g_hash_table_destroy (client->exchanges);
  close (client->epoll);
  return 0;
}

struct ht_client *
ht_client_new (TALLOC_CTX *mem, const struct ht_client_options *options)
{
  struct ht_client *client = talloc_zero (mem, struct ht_client);
  struct epoll_event event = { .events = EPOLLIN };

  pthread_once (&curl_ready, init_curl);
  client->multi = curl_multi_init ();
  client->commands = ba_ring_new (client, options->ring_capacity);
  client->epoll = epoll_create1 (EPOLL_CLOEXEC);
  client->timer_at = -1;
  client->exchanges = g_hash_table_new (g_int64_hash, g_int64_equal);
  client->deadlines = g_tree_new_full (compare_deadlines, NULL, NULL, NULL);
  event.data.fd = ba_ring_fd (client->commands);
  epoll_ctl (client->epoll, EPOLL_CTL_ADD, event.data.fd, &event);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, socket_changed);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, timer_changed);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     options->max_host_connections);
  if (options->max_idle_connections > 0)
    curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                       options->max_idle_connections);
  talloc_set_destructor (client, client_destroy);
  return client;
}

static int
exchange_destroy (struct ht_exchange *exchange)
{
  if (exchange->easy != NULL)
    curl_easy_cleanup (exchange->easy);
  curl_slist_free_all (exchange->headers);
  return 0;
}

static void
add_header (struct ht_exchange *exchange, const char *name, const char *value)
{
  /* An empty value is written with a semicolon, or libcurl drops it.  */
  char *line = *value != '\0' ? talloc_asprintf (NULL, "%s: %s", name, value)
                              : talloc_asprintf (NULL, "%s;", name);

  exchange->headers = curl_slist_append (exchange->headers, line);
  talloc_free (line);
}

bool
ht_client_submit (struct ht_client *client, const struct ht_request *request,
                  const struct ht_client_handlers *handlers, void *context)
{
  struct command *command = talloc_zero (NULL, struct command);
  struct ht_exchange *e = talloc_zero (command, struct ht_exchange);

  e->serial = atomic_fetch_add (&client->last_serial, 1) + 1;
  e->client = client;
  e->handlers = handlers;
  e->context = context;
  e->method = talloc_strdup (e, request->method);
  e->url = talloc_strdup (e, request->url);
  e->sigv4 = talloc_strdup (e, request->sigv4);
  e->credentials = talloc_strdup (e, request->credentials);
  e->body = talloc_memdup (e, request->body, request->body_len);
  e->body_len = request->body_len;
  e->send_before_us = request->send_before_us;
  e->timeout_ms = request->timeout_ms;
  e->no_retry = request->no_retry;
  e->new_connection = request->new_connection;
  talloc_set_destructor (e, exchange_destroy);
  for (size_t i = 0; i < request->header_count; i++)
    add_header (e, request->headers[i].name, request->headers[i].value);
  /* Neither wait for "100 Continue" nor let libcurl name a form type.  */
  add_header (e, "Expect", "");
  command->exchange = e;
  if (ba_ring_push (client->commands, command))
    return true;
  talloc_free (command);
  return false;
}

void
ht_client_resume (struct ht_client *client, uint64_t serial)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->serial = serial;
  /* A full ring is drained within a turn of the client's thread.  */
  while (!ba_ring_push (client->commands, command))
    g_usleep (100);
}

uint64_t
ht_exchange_id (const struct ht_exchange *exchange)
{
  return exchange->serial;
}

static const char *const hop_headers[]
    = { "Connection",          "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "TE",         "Trailer",
        "Transfer-Encoding",   "Upgrade",    "Content-Length",
        "Proxy-Connection",    NULL };

bool
ht_header_is_hop_by_hop (const char *name)
{
  for (size_t i = 0; hop_headers[i] != NULL; i++)
    if (g_ascii_strcasecmp (hop_headers[i], name) == 0)
      return true;
  return false;
}

const char *
ht_exchange_error (const struct ht_exchange *e)
{
  return e->error[0] != '\0' ? e->error : "too late to send";
}

char *
ht_exchange_response_headers (struct ht_exchange *e, TALLOC_CTX *mem)
{
  char *text = talloc_strdup (mem, "");
  struct curl_header *header = NULL;

  while ((header = curl_easy_nextheader (e->easy, CURLH_HEADER, -1, header))
         != NULL)
    if (!ht_header_is_hop_by_hop (header->name))
      text = talloc_asprintf_append_buffer (text, "%s: %s\n", header->name,
                                            header->value);
  return text;
}

static size_t
send_body (char *buffer, size_t size, size_t count, void *data)
{
  struct ht_exchange *e = data;
  size_t left = e->body_len - e->body_sent;
  size_t part = size * count < left ? size * count : left;

  if (part > 0)
    memcpy (buffer, e->body + e->body_sent, part);
  e->body_sent += part;
  return part;
}

/* libcurl sends a request again when a reused connection dies before the
   answer, and for that it rewinds the body.  Refusing makes it give up.  */
static int
seek_body (void *data, curl_off_t offset, int origin)
{
  struct ht_exchange *e = data;

  if (e->no_retry || origin != SEEK_SET || offset < 0
      || (size_t)offset > e->body_len)
    return CURL_SEEKFUNC_FAIL;
  e->body_sent = (size_t)offset;
  return CURL_SEEKFUNC_OK;
}

static void
report_headers (struct ht_exchange *e)
{
  long status = 0;
  curl_off_t length = -1;

  if (e->headers_seen)
    return;
  e->headers_seen = true;
  curl_easy_getinfo (e->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (e->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  if (e->handlers->headers != NULL)
    e->handlers->headers (e, e->context, (unsigned)status, length);
}

static size_t
take_body (char *data, size_t size, size_t count, void *context)
{
  struct ht_exchange *e = context;

  report_headers (e);
  if (!e->handlers->body (e, e->context, data, size * count))
    return CURL_WRITEFUNC_PAUSE;
  return size * count;
}

static void
set_method (struct ht_exchange *e)
{
  bool has_body = e->body_len > 0 || strcmp (e->method, "POST") == 0
                  || strcmp (e->method, "PUT") == 0
                  || strcmp (e->method, "PATCH") == 0;

  if (strcmp (e->method, "HEAD") == 0)
    curl_easy_setopt (e->easy, CURLOPT_NOBODY, 1L);
  else if (has_body && e->sigv4 != NULL)
    {
      /* Signing hashes the body, which libcurl does for this kind only.  The
         read function still supplies it where it has to be sent once.  */
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
      curl_easy_setopt (e->easy, CURLOPT_READFUNCTION, send_body);
      curl_easy_setopt (e->easy, CURLOPT_READDATA, e);
      curl_easy_setopt (e->easy, CURLOPT_SEEKFUNCTION, seek_body);
      curl_easy_setopt (e->easy, CURLOPT_SEEKDATA, e);
    }
  if (strcmp (e->method, "HEAD") != 0)
    curl_easy_setopt (e->easy, CURLOPT_CUSTOMREQUEST, e->method);
  /* Without a body there is nothing to rewind, and libcurl would send it
     again: only a fresh connection prevents that.  */
  if (e->new_connection
      || (e->no_retry && (e->body_len == 0 || e->sigv4 != NULL)))
    curl_easy_setopt (e->easy, CURLOPT_FRESH_CONNECT, 1L);
}

static CURL *
get_handle (struct ht_client *client)
{
  if (client->idle_count > 0)
    return client->idle[--client->idle_count];
  return curl_easy_init ();
}

static void
put_handle (struct ht_client *client, CURL *easy)
{
  if (client->idle_count == IDLE_HANDLES)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  client->idle[client->idle_count++] = easy;
}

static void
finish (struct ht_exchange *e, enum ht_result result, unsigned status)
{
  struct ht_client *client = e->client;

  if (e->easy != NULL)
    curl_multi_remove_handle (client->multi, e->easy);
  g_hash_table_remove (client->exchanges, &e->serial);
  g_tree_remove (client->deadlines, e);
  e->handlers->done (e, e->context, result, status);
  if (e->easy != NULL)
    put_handle (client, e->easy);
  e->easy = NULL;
  talloc_free (e);
}

static void
begin (struct ht_client *client, struct ht_exchange *e)
{
  talloc_steal (client, e);
  e->socket = CURL_SOCKET_BAD;
  e->deadline = ba_clock_now_us () + e->timeout_ms * 1000;
  g_hash_table_insert (client->exchanges, &e->serial, e);
  g_tree_insert (client->deadlines, e, e);
  if (e->send_before_us != 0 && ba_clock_now_us () > e->send_before_us)
    {
      finish (e, HT_RESULT_NOT_SENT, 0);
      return;
    }
  e->easy = get_handle (client);
  curl_easy_setopt (e->easy, CURLOPT_URL, e->url);
  curl_easy_setopt (e->easy, CURLOPT_PRIVATE, e);
  curl_easy_setopt (e->easy, CURLOPT_ERRORBUFFER, e->error);
  curl_easy_setopt (e->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (e->easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (e->easy, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (e->easy, CURLOPT_HTTPHEADER, e->headers);
  curl_easy_setopt (e->easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (e->easy, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (e->easy, CURLOPT_WRITEDATA, e);
  if (e->sigv4 != NULL)
    {
      curl_easy_setopt (e->easy, CURLOPT_AWS_SIGV4, e->sigv4);
      curl_easy_setopt (e->easy, CURLOPT_USERPWD, e->credentials);
    }
  set_method (e);
  curl_multi_add_handle (client->multi, e->easy);
}

static void
take_commands (struct ht_client *client)
{
  struct command *command;

  ba_ring_reset_fd (client->commands);
  while ((command = ba_ring_pop (client->commands)) != NULL)
    {
      if (command->exchange != NULL)
        begin (client, command->exchange);
      else
        {
          struct ht_exchange *e
              = g_hash_table_lookup (client->exchanges, &command->serial);

          if (e != NULL)
            curl_easy_pause (e->easy, CURLPAUSE_CONT);
        }
      talloc_free (command);
    }
}

/* Work out what is certain about an exchange that ended with CODE.  */
static enum ht_result
classify (const struct ht_exchange *e, CURLcode code)
{
  long sent = 0;

  if (code == CURLE_OK)
    return HT_RESULT_COMPLETE;
  curl_easy_getinfo (e->easy, CURLINFO_REQUEST_SIZE, &sent);
  if (sent == 0)
    return HT_RESULT_NOT_SENT;
  return code == CURLE_OPERATION_TIMEDOUT ? HT_RESULT_TIMEOUT
                                          : HT_RESULT_INCOMPLETE;
}

static void
take_results (struct ht_client *client)
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
      finish (e, classify (e, code), (unsigned)status);
    }
}

/* End what has no answer at its deadline.  libcurl's own timeout would come
   before what it has not read yet, and a thread that got no processor time for
   a while would throw good answers away: so each is read first.  */
static void
expire (struct ht_client *client)
{
  GTreeNode *first;

  while ((first = g_tree_node_first (client->deadlines)) != NULL)
    {
      struct ht_exchange *e = g_tree_node_value (first);
      uint64_t serial = e->serial;
      int running;

      if (e->deadline > ba_clock_now_us ())
        return;
      if (e->socket != CURL_SOCKET_BAD)
        {
          curl_multi_socket_action (client->multi, e->socket, CURL_CSELECT_IN,
                                    &running);
          take_results (client);
        }
      if (!g_hash_table_contains (client->exchanges, &serial))
        continue;
      g_snprintf (e->error, sizeof e->error,
                  "no whole answer within %" G_GINT64_FORMAT " ms",
                  e->timeout_ms);
      finish (e, classify (e, CURLE_OPERATION_TIMEDOUT), 0);
    }
}

static int
wait_time (const struct ht_client *client)
{
  GTreeNode *first = g_tree_node_first (client->deadlines);
  int64_t until = ba_clock_now_us () + LONGEST_WAIT_MS * 1000;

  if (client->timer_at >= 0)
    until = MIN (until, client->timer_at);
  if (first != NULL)
    {
      const struct ht_exchange *e = g_tree_node_value (first);

      until = MIN (until, e->deadline);
    }
  return (int)MAX ((until - ba_clock_now_us () + 999) / 1000, 0);
}

static void
take_sockets (struct ht_client *client, const struct epoll_event *events,
              int count)
{
  int running;

  for (int i = 0; i < count; i++)
    {
      int what = 0;

      if (events[i].data.fd == ba_ring_fd (client->commands))
        {
          take_commands (client);
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
  if (client->timer_at >= 0 && ba_clock_now_us () >= client->timer_at)
    {
      client->timer_at = -1;
      curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0,
                                &running);
    }
}

void
ht_client_run (struct ht_client *client, void (*heartbeat) (void *),
               void *context)
{
  struct epoll_event events[MAX_EVENTS];

  while (!atomic_load (&client->stopping))
    {
      int count
          = epoll_wait (client->epoll, events, MAX_EVENTS, wait_time (client));

      heartbeat (context);
      take_sockets (client, events, count > 0 ? count : 0);
      take_results (client);
      expire (client);
    }
}

void
ht_client_stop (struct ht_client *client)
{
  atomic_store (&client->stopping, true);
  ba_ring_wake (client->commands);
}
