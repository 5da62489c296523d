#include "ht_server.h"

#include "ba_address.h"
#include "ba_clock.h"
#include "ht_admission.h"
#include "ht_body.h"

#include <glib.h>
#include <microhttpd.h>
#include <poll.h>
#include <errno.h>
#include <unistd.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  /* Unsent body data per response; one larger part is taken when there is
     none.  */
  MAX_STREAM_BUFFER_BYTES = 256 * 1024,
  STREAM_BLOCK_BYTES = 32 * 1024, /* read from that buffer at a time */
  IDLE_CONNECTION_TIMEOUT_S = 60,
  DISCONNECT_POLL_INTERVAL_MS = 100,
  /* Time for the whole header of a request.  It is sent at once, in one or a
     few packets, and its deadline is a few seconds.  */
  HEADER_TIMEOUT_S = 10,
  /* Time for the whole body: the longest deadline of a request, and the time
     that the largest body takes over the slowest link that is expected.  */
  BODY_TIMEOUT_S = 30,
  SLOWEST_BYTES_PER_S = 64 * 1024,
  /* A body that exceeds its limit without having announced it is read for so
     long, and to at most twice the limit, so that the client can get the
     response.  */
  DISCARD_TIMEOUT_S = 2,
  /* Far longer than clients that send a request at once take.  */
  STALLED_AFTER_S = 1,
  /* Allocated for each connection besides the memory for headers.  */
  CONNECTION_OVERHEAD_BYTES = 4096,
  /* Connections that are chosen to be closed, or were just accepted, beyond
     max_connections: so many that libmicrohttpd goes on accepting.  */
  SPARE_CONNECTIONS_PER_THREAD = 64,
  /* So many of them may be taken when a client that the kernel has accepted,
     or a request for a sweep, is passed to libmicrohttpd, which accepts
     further ones meanwhile.  */
  MAX_SPARE_FOR_CLIENTS = 16,
  MAX_SPARE_FOR_SWEEP = 32,
  /* A connection over which more arrives whenever libmicrohttpd has read is
     closed after so many times.  */
  MAX_SWEEPS = 3
};

enum call_phase
{
  PHASE_RECEIVING,         /* the request is being received */
  PHASE_AWAITING_RESPONSE, /* the connection is suspended until there is a
                              response */
  PHASE_RESPONSE_COMPLETE,
  PHASE_RESPONSE_STREAMING
};

/* An open connection, from the time at which libmicrohttpd accepts it until
   just before it closes the socket; protected by the server's lock.  */
struct connection
{
  struct ht_admitted admitted; /* must be first */
  int fd;
  struct call *call; /* whose request is received or answered, or NULL */
  bool answering;    /* the request of CALL is complete */
  bool shut_down;    /* no response can be sent any more */
  GList closing;     /* in the list of the server, DATA is this */
  unsigned sweeps;   /* that found something to read while it was in there */
};

struct call
{
  uint64_t id;
  struct ht_server *server;
  struct connection *client;
  int reference_count; /* the connection and threads that use the call;
                          protected by the server's lock */
  GMutex lock;
  struct MHD_Connection *connection; /* NULL once libmicrohttpd ended it */
  int fd;                            /* socket of the connection */
  enum call_phase phase;
  bool disconnect_reported; /* don't call `disconnected' any more */
  bool suspended; /* until there is a response; protected by `lock' */
  bool taken;     /* by who responds to it; protected by `lock' */
  bool given_up;  /* nobody may take it any more; protected by `lock' */
  bool too_large; /* max_body_bytes exceeded: BODY is empty */
  char *method;
  char *target;
  struct ht_body body; /* protected by the server's lock until the request is
                          complete */
  size_t body_limit;   /* max_body_bytes, or less if it was announced */
  size_t discarded_bytes; /* of a body that is too large, or whose connection
                             is to be closed */
  struct ht_request_copy *request; /* only its header fields are set */
  struct MHD_Response *response;
  unsigned status;
  /* State of a streamed response.  */
  GByteArray *stream;    /* buffered body data */
  size_t stream_offset;  /* bytes of STREAM already read */
  bool reader_suspended; /* the connection is suspended until there is data */
  bool writer_blocked;   /* an append was refused; call `writable' */
  bool body_ended;       /* no more data will be appended */
  bool body_complete;    /* it ended without being truncated */
};

struct ht_server
{
  struct ht_server_options options;
  struct MHD_Daemon *daemon;
  GMutex lock; /* protects CALLS, their reference counts, and what follows up
                  to REFUSING */
  struct ht_admission *admission;
  uint64_t rejections[HT_REJECTION_COUNT];
  GHashTable *calls;         /* ID -> call */
  unsigned connection_count; /* those to be closed included */
  GQueue closing;            /* connections that are to be closed */
  int sweep_socket;          /* that requests a sweep, or -1 */
  bool closing_all; /* close connections whose request is not complete */
  /* Accepted sockets that libmicrohttpd got and has not reported yet.  */
  GHashTable *added_sockets;
  bool refusing; /* give up each request */
  /* Used only by the thread that stops accepting.  */
  int listener; /* that libmicrohttpd uses no more, or -1 */
  bool listener_closed;
  _Atomic bool draining; /* close each connection after its response */
  _Atomic uint64_t last_id;
  _Atomic bool stopping;
  GThread *disconnect_watcher;
};

/* ---- limits of connections and memory ---- */

/* Count a client that is turned away because of REASON.  */
static void
count_rejection (struct ht_server *server, enum ht_rejection reason)
{
  g_mutex_lock (&server->lock);
  server->rejections[reason]++;
  g_mutex_unlock (&server->lock);
}

/* Return whether there is something to read from FD, or its end.  */
static bool
has_input (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };

  return poll (&p, 1, 0) > 0;
}

/* Return whether libmicrohttpd can be passed another socket while at most
   SPARE of the spare connections of a thread are taken.  Over its limit, its
   thread blocks for ever on a lock of its own (0.9.75).  The server must be
   locked.  */
static bool
has_room (const struct ht_server *server, unsigned spare)
{
  return server->connection_count + g_hash_table_size (server->added_sockets)
         < server->options.max_connections + server->options.threads * spare;
}

/* Have the thread of libmicrohttpd call sweep: it reports a new connection,
   whose other end is closed already.  Only on that thread a connection that
   has no complete request, and nothing to be read, can't be one whose request
   it has just read.  Return false if that fails.  The server must be
   locked.  */
static bool
request_sweep (struct ht_server *server)
{
  static const struct sockaddr address = { .sa_family = AF_UNIX };
  int sockets[2];

  if (server->sweep_socket >= 0)
    return true;
  if (!has_room (server, MAX_SPARE_FOR_SWEEP)
      || socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0,
                     sockets)
             != 0)
    return false;
  server->sweep_socket = sockets[0];
  if (MHD_add_connection (server->daemon, sockets[0], &address, sizeof address)
      != MHD_YES)
    server->sweep_socket = -1; /* it has closed the socket */
  close (sockets[1]);
  return server->sweep_socket >= 0;
}

static void
shut_down (struct connection *client)
{
  client->shut_down = true;
  shutdown (client->fd, SHUT_RDWR);
}

/* Have libmicrohttpd close the connection of ADMITTED.  If it has no request
   and something has arrived, that may be a whole request, which is read first
   and refused.  One that is receiving a request is closed at once, and its
   body freed: its thread may receive much more from others before it closes
   it, and a client that goes on sending would keep it open.  The server must
   be locked.  */
static void
begin_close (struct ht_server *server, struct ht_admitted *admitted)
{
  struct connection *client = (struct connection *)admitted;

  g_queue_push_tail_link (&server->closing, &client->closing);
  if (client->call != NULL)
    ht_body_clear (&client->call->body);
  if (client->call != NULL || !has_input (client->fd)
      || !request_sweep (server))
    shut_down (client);
}

/* Close the connections without a request, except those over which one is
   arriving, and with `closing_all' those whose request is not complete.  The
   server must be locked.  */
static void
close_unused (struct ht_server *server)
{
  GList *list
      = ht_admission_list_unused (server->admission, server->closing_all);

  for (GList *link = list; link != NULL; link = link->next)
    {
      struct connection *client = link->data;

      if (has_input (client->fd))
        continue;
      ht_admission_begin_close (server->admission, &client->admitted);
      begin_close (server, &client->admitted);
    }
  g_list_free (list);
}

/* Close the connections that are to be closed and whose request is still not
   complete.  Called on the thread of libmicrohttpd, with the server locked. */
static void
sweep (struct ht_server *server)
{
  bool again = false;

  server->sweep_socket = -1;
  for (GList *link = server->closing.head; link != NULL; link = link->next)
    {
      struct connection *client = link->data;

      if (client->answering)
        continue;
      if (client->sweeps < MAX_SWEEPS && has_input (client->fd))
        {
          client->sweeps++;
          again = true;
        }
      else
        shut_down (client);
    }
  if (atomic_load (&server->draining))
    close_unused (server);
  if (again)
    request_sweep (server);
}

/* Close the connections that there is no room for.  The server must be
   locked.  */
static void
close_victims (struct ht_server *server, int64_t now)
{
  struct ht_admitted *victim;
  enum ht_rejection reason;

  while ((victim = ht_admission_next_victim (server->admission, now, &reason))
         != NULL)
    {
      server->rejections[reason]++;
      begin_close (server, victim);
    }
}

void
ht_server_close_overdue (struct ht_server *server)
{
  int64_t now = ba_clock_now_us ();
  struct ht_admitted *overdue;

  g_mutex_lock (&server->lock);
  while ((overdue = ht_admission_next_overdue (server->admission, now))
         != NULL)
    {
      server->rejections[HT_REJECTION_TIMEOUT]++;
      begin_close (server, overdue);
    }
  g_mutex_unlock (&server->lock);
}

/* MHD_OPTION_NOTIFY_CONNECTION: libmicrohttpd has accepted CONNECTION, or is
   about to close its socket.  */
static void
connection_changed (void *context, struct MHD_Connection *connection,
                    void **socket_context,
                    enum MHD_ConnectionNotificationCode code)
{
  struct ht_server *server = context;
  struct connection *client = *socket_context;
  int64_t now = ba_clock_now_us ();
  int fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;

  g_mutex_lock (&server->lock);
  if (code == MHD_CONNECTION_NOTIFY_STARTED && fd == server->sweep_socket)
    sweep (server);
  else if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      client = g_new0 (struct connection, 1);
      client->fd = fd;
      client->closing.data = client;
      *socket_context = client;
      server->connection_count++;
      g_hash_table_remove (server->added_sockets, GINT_TO_POINTER (fd));
      ht_admission_open (server->admission, &client->admitted, now);
      close_victims (server, now);
    }
  else if (client != NULL)
    {
      if (client->admitted.state == HT_CONNECTION_CLOSING)
        g_queue_unlink (&server->closing, &client->closing);
      ht_admission_close (server->admission, &client->admitted);
      g_free (client);
      *socket_context = NULL;
      server->connection_count--;
    }
  g_mutex_unlock (&server->lock);
}

/* The connection of CALL enters STATE.  */
static void
enter_state (struct call *call, enum ht_connection_state state)
{
  struct ht_server *server = call->server;

  g_mutex_lock (&server->lock);
  ht_admission_enter (server->admission, &call->client->admitted, state,
                      ba_clock_now_us ());
  g_mutex_unlock (&server->lock);
}

/* What becomes of a complete request.  */
enum verdict
{
  VERDICT_RUN,     /* pass it to its handler */
  VERDICT_REFUSE,  /* there are too many requests */
  VERDICT_GIVE_UP, /* the process ends */
};

/* Let the connection of CALL, whose request is complete, wait for its
   response.  If there is no room for its body, or the connection was chosen to
   be closed while the request arrived, the request is not run.  */
static enum verdict
begin_wait (struct call *call)
{
  struct ht_server *server = call->server;
  struct ht_admitted *admitted = &call->client->admitted;
  enum verdict verdict = VERDICT_RUN;

  g_mutex_lock (&server->lock);
  if (!ht_admission_may_wait (server->admission, admitted))
    {
      verdict = VERDICT_REFUSE;
      server->rejections[HT_REJECTION_OVERLOADED]++;
      ht_admission_set_body (server->admission, admitted, 0);
    }
  call->client->answering = true;
  if (admitted->state == HT_CONNECTION_CLOSING)
    verdict = VERDICT_REFUSE;
  if (server->refusing
      || (verdict == VERDICT_REFUSE && atomic_load (&server->draining)
          && server->options.handlers->give_up != NULL))
    verdict = VERDICT_GIVE_UP;
  ht_admission_enter (server->admission, admitted, HT_CONNECTION_WAITING,
                      ba_clock_now_us ());
  g_mutex_unlock (&server->lock);
  return verdict;
}

void
ht_server_get_usage (struct ht_server *server, struct ht_server_usage *usage)
{
  g_mutex_lock (&server->lock);
  usage->connections = ht_admission_count (server->admission);
  usage->body_bytes = ht_admission_body_bytes (server->admission);
  memcpy (usage->rejections, server->rejections, sizeof usage->rejections);
  g_mutex_unlock (&server->lock);
}

const char *
ht_rejection_name (enum ht_rejection rejection)
{
  static const char *const names[]
      = { [HT_REJECTION_CONNECTIONS] = "connections",
          [HT_REJECTION_MEMORY] = "memory",
          [HT_REJECTION_TIMEOUT] = "timeout",
          [HT_REJECTION_TOO_LARGE] = "too-large",
          [HT_REJECTION_OVERLOADED] = "overloaded" };

  return names[rejection];
}

/* ---- calls ---- */

/* Append LEN bytes, for which there is room in the limit, to the body, and
   close connections if all bodies take too much.  The server must be
   locked.  */
static void
append_body (struct call *call, const void *data, size_t len)
{
  struct ht_server *server = call->server;
  struct ht_admitted *admitted = &call->client->admitted;
  size_t left = call->body_limit - call->body.len;

  ht_admission_set_body (server->admission, admitted,
                         ht_body_capacity_with (&call->body, len, left));
  close_victims (server, ba_clock_now_us ());
  if (admitted->state != HT_CONNECTION_CLOSING)
    ht_body_append (&call->body, data, len, left);
}

/* The body of CALL exceeds its limit: hold it no more.  The server must be
   locked.  */
static void
begin_discard (struct call *call)
{
  struct ht_server *server = call->server;
  struct ht_admitted *admitted = &call->client->admitted;

  call->too_large = true;
  server->rejections[HT_REJECTION_TOO_LARGE]++;
  ht_body_clear (&call->body);
  ht_admission_set_body (server->admission, admitted, 0);
  ht_admission_enter (server->admission, admitted, HT_CONNECTION_DISCARDING,
                      ba_clock_now_us ());
}

/* Drop a reference to CALL and free it with the last one.  */
static void
call_release (struct call *call)
{
  bool last;

  g_mutex_lock (&call->server->lock);
  last = --call->reference_count == 0;
  if (last)
    g_hash_table_remove (call->server->calls, &call->id);
  g_mutex_unlock (&call->server->lock);
  if (!last)
    return;
  ht_body_clear (&call->body);
  g_byte_array_free (call->stream, TRUE);
  g_mutex_clear (&call->lock);
  talloc_free (call);
}

/* Return the call with ID after adding a reference to it, or NULL.  */
static struct call *
call_acquire (struct ht_server *server, uint64_t id)
{
  struct call *call;

  g_mutex_lock (&server->lock);
  call = g_hash_table_lookup (server->calls, &id);
  if (call != NULL)
    call->reference_count++;
  g_mutex_unlock (&server->lock);
  return call;
}

/* MHD_OPTION_URI_LOG_CALLBACK: called first for each request, with the target
   as received.  libmicrohttpd passes the returned call as STATE to the other
   callbacks.  */
static void *
call_new (void *context, const char *target, struct MHD_Connection *connection)
{
  struct ht_server *server = context;
  struct call *call = talloc_zero (NULL, struct call);

  call->id = atomic_fetch_add (&server->last_id, 1) + 1;
  call->server = server;
  call->reference_count = 1;
  call->connection = connection;
  call->target = talloc_strdup (call, target);
  call->client = MHD_get_connection_info (connection,
                                          MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                     ->socket_context;
  call->body_limit = server->options.max_body_bytes;
  call->stream = g_byte_array_new ();
  call->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  g_mutex_init (&call->lock);
  g_mutex_lock (&server->lock);
  g_hash_table_insert (server->calls, &call->id, call);
  call->client->call = call;
  g_mutex_unlock (&server->lock);
  enter_state (call, HT_CONNECTION_HEADER);
  return call;
}

static enum MHD_Result
copy_field (void *context, enum MHD_ValueKind kind G_GNUC_UNUSED,
            const char *name, const char *value)
{
  struct ht_request_copy *copy = context;

  copy->fields = talloc_realloc (copy, copy->fields, struct ht_field,
                                 copy->field_count + 1);
  copy->fields[copy->field_count].name = talloc_strdup (copy, name);
  copy->fields[copy->field_count].value
      = talloc_strdup (copy, value ? value : "");
  copy->field_count++;
  return MHD_YES;
}

/* Return CALL, whose body is complete, in the form that handlers get.  Its
   pointers are borrowed from CALL.  */
static struct ht_call
call_view (struct call *call)
{
  struct ht_call view = { call->id, call->method, call->target,
                          ht_body_join (&call->body), call->body.len };

  return view;
}

/* Queue the response of CALL, and drop the call's own reference to it so that
   the connection is the only owner: a streamed response holds a reference to
   the call, so the two references would form a cycle.  */
static enum MHD_Result
queue_response (struct call *call)
{
  struct MHD_Response *response = call->response;
  enum MHD_Result result;

  if ((atomic_load (&call->server->draining)
       || call->client->admitted.state == HT_CONNECTION_CLOSING)
      && MHD_get_response_header (response, MHD_HTTP_HEADER_CONNECTION)
             == NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (call->connection, call->status, response);
  call->response = NULL;
  MHD_destroy_response (response);
  return result;
}

static const struct ht_field overload_fields[] = {
  { "Content-Type", "application/problem+json" },
  { "Retry-After", "1" },
  { "Dogwoodpulley-Reason", "overloaded" },
  { "Dogwoodpulley-Run", "not-run" },
};

static const char overload_body[]
    = "{\"title\": \"This entry host holds too many requests\", "
      "\"status\": 503, \"reason\": \"overloaded\", \"run\": \"not-run\", "
      "\"retry_after_ms\": 1000}\n";

static void
copy_header (struct call *call)
{
  call->request = talloc_zero (call, struct ht_request_copy);
  MHD_get_connection_values (call->connection, MHD_HEADER_KIND, copy_field,
                             call->request);
}

/* Have the handler respond to a request whose body announces more than the
   limit, and queue the response: libmicrohttpd then closes the connection
   without reading the body.  */
static enum MHD_Result
refuse_announced_body (struct call *call)
{
  struct ht_server *server = call->server;
  struct ht_call view = call_view (call);

  count_rejection (server, HT_REJECTION_TOO_LARGE);
  copy_header (call);
  g_mutex_lock (&server->lock);
  call->client->answering = true;
  g_mutex_unlock (&server->lock);
  enter_state (call, HT_CONNECTION_WAITING);
  g_mutex_lock (&call->lock);
  call->phase = PHASE_AWAITING_RESPONSE;
  g_mutex_unlock (&call->lock);
  server->options.handlers->too_large (server->options.context, &view);
  return call->response != NULL ? queue_response (call) : MHD_NO;
}

/* The header of the request is complete.  */
static enum MHD_Result
begin_body (struct call *call)
{
  const char *announced = MHD_lookup_connection_value (
      call->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  /* libmicrohttpd refuses what is not a number.  */
  guint64 length
      = announced != NULL ? g_ascii_strtoull (announced, NULL, 10) : 0;

  if (length > call->body_limit)
    return refuse_announced_body (call);
  if (announced != NULL)
    call->body_limit = (size_t)length;
  enter_state (call, HT_CONNECTION_BODY);
  return MHD_YES;
}

/* Receive LEN bytes of the body.  Those of a connection that is to be closed
   are read and dropped: if they complete the request, it is refused.  Fail if
   there are too many of these, or no response can be sent.  */
static enum MHD_Result
receive_body (struct call *call, const void *data, size_t len)
{
  struct ht_server *server = call->server;
  const struct ht_admitted *admitted = &call->client->admitted;
  bool open = true;

  g_mutex_lock (&server->lock);
  if (call->too_large || admitted->state == HT_CONNECTION_CLOSING)
    {
      call->discarded_bytes += len;
      open = !call->client->shut_down
             && call->discarded_bytes <= server->options.max_body_bytes;
    }
  else if (len <= call->body_limit - call->body.len)
    append_body (call, data, len);
  else
    begin_discard (call);
  g_mutex_unlock (&server->lock);
  return open ? MHD_YES : MHD_NO;
}

/* Give up CALL, whose connection is suspended, unless that was done before or
   it has a response.  One that was taken is given up only with TAKEN_TOO.
   Return whether it has been given up.  */
static bool
give_up (struct call *call, bool taken_too)
{
  const struct ht_server *server = call->server;
  bool given_up;
  bool taken;

  g_mutex_lock (&call->lock);
  taken = call->taken;
  given_up = call->connection != NULL && !call->given_up
             && call->phase == PHASE_AWAITING_RESPONSE
             && (taken_too || !taken);
  call->given_up |= given_up;
  g_mutex_unlock (&call->lock);
  if (given_up)
    server->options.handlers->give_up (server->options.context, call->id,
                                       taken);
  return given_up;
}

/* Suspend the connection and pass the complete request to its handler.  */
static enum MHD_Result
dispatch_request (struct call *call)
{
  struct ht_server *server = call->server;
  const struct ht_server_handlers *handlers = server->options.handlers;
  struct ht_call view;
  uint64_t id = call->id;
  enum verdict verdict = begin_wait (call);

  if (verdict != VERDICT_RUN)
    ht_body_clear (&call->body);
  view = call_view (call);
  copy_header (call);
  g_mutex_lock (&call->lock);
  call->phase = PHASE_AWAITING_RESPONSE;
  call->suspended = true;
  MHD_suspend_connection (call->connection);
  g_mutex_unlock (&call->lock);
  /* Another thread may respond, and thereby end the call, before the handler
     returns.  A reference keeps the call alive until then.  */
  call = call_acquire (server, id);
  if (call->too_large)
    handlers->too_large (server->options.context, &view);
  else if (verdict == VERDICT_GIVE_UP)
    give_up (call, false);
  else if (verdict == VERDICT_REFUSE
           || !handlers->request (server->options.context, &view))
    ht_call_respond (server, id, 503, overload_fields,
                     G_N_ELEMENTS (overload_fields), overload_body,
                     sizeof overload_body - 1);
  if (server->options.drop_bodies)
    ht_body_clear (&call->body);
  call_release (call);
  return MHD_YES;
}

/* Access handler of libmicrohttpd.  It is called first with the headers only,
   then for each part of the body, then once the body is complete and, when the
   connection was resumed, again to queue the response.  */
static enum MHD_Result
receive_request (void *context G_GNUC_UNUSED,
                 struct MHD_Connection *connection,
                 const char *url G_GNUC_UNUSED, const char *method,
                 const char *version G_GNUC_UNUSED, const char *data,
                 size_t *data_len, void **state)
{
  struct call *call = *state;
  size_t len = *data_len;

  (void)connection;
  if (call->method == NULL)
    {
      call->method = talloc_strdup (call, method);
      return begin_body (call);
    }
  if (len > 0)
    {
      *data_len = 0;
      return receive_body (call, data, len);
    }
  if (call->phase == PHASE_RECEIVING)
    return dispatch_request (call);
  if (call->response != NULL)
    return queue_response (call);
  return MHD_YES;
}

/* MHD_OPTION_NOTIFY_COMPLETED: the request was completed or its connection
   closed.  Drop the connection's reference to the call.  */
static void
call_ended (void *context, struct MHD_Connection *connection, void **state,
            enum MHD_RequestTerminationCode code)
{
  struct ht_server *server = context;
  struct call *call = *state;
  struct MHD_Response *unsent_response;
  bool report_disconnect;
  bool writable;

  (void)connection;
  (void)code;
  if (call == NULL)
    return;
  *state = NULL;
  g_mutex_lock (&call->lock);
  call->connection = NULL;
  report_disconnect
      = call->phase == PHASE_AWAITING_RESPONSE && !call->disconnect_reported;
  call->disconnect_reported = true;
  writable = call->writer_blocked;
  call->writer_blocked = false;
  unsent_response = call->response;
  call->response = NULL;
  g_mutex_unlock (&call->lock);
  if (unsent_response != NULL)
    MHD_destroy_response (unsent_response);
  g_mutex_lock (&server->lock);
  call->client->call = NULL;
  call->client->answering = false;
  ht_admission_set_body (server->admission, &call->client->admitted, 0);
  ht_admission_enter (server->admission, &call->client->admitted,
                      HT_CONNECTION_IDLE, ba_clock_now_us ());
  g_mutex_unlock (&server->lock);
  if (report_disconnect)
    server->options.handlers->disconnected (server->options.context, call->id);
  if (writable && server->options.handlers->writable != NULL)
    server->options.handlers->writable (server->options.context, call->id);
  call_release (call);
}

/* ---- responses ---- */

static void
add_fields (struct MHD_Response *response, const struct ht_field *fields,
            size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (fields[i].value != NULL)
      MHD_add_response_header (response, fields[i].name, fields[i].value);
}

/* Set the response of CALL and resume its connection.  Takes ownership of
   RESPONSE.  Return false when CALL already has a response or has ended.  */
static bool
set_response (struct call *call, unsigned status,
              struct MHD_Response *response, enum call_phase phase)
{
  bool set = false;

  g_mutex_lock (&call->lock);
  if (call->connection != NULL && call->phase == PHASE_AWAITING_RESPONSE)
    {
      call->response = response;
      call->status = status;
      call->phase = phase;
      set = true;
      if (call->suspended)
        MHD_resume_connection (call->connection);
      call->suspended = false;
    }
  g_mutex_unlock (&call->lock);
  if (!set)
    MHD_destroy_response (response);
  return set;
}

bool
ht_call_respond (struct ht_server *server, uint64_t id, unsigned status,
                 const struct ht_field *fields, size_t field_count,
                 const void *body, size_t len)
{
  struct call *call = call_acquire (server, id);
  struct MHD_Response *response;
  bool set;

  if (call == NULL)
    return false;
  response = MHD_create_response_from_buffer (len, (void *)body,
                                              MHD_RESPMEM_MUST_COPY);
  add_fields (response, fields, field_count);
  set = set_response (call, status, response, PHASE_RESPONSE_COMPLETE);
  call_release (call);
  return set;
}

/* Content reader callback of a streamed response.  Suspends the connection if
   there is no data.  */
static ssize_t
read_stream_body (void *context, uint64_t position G_GNUC_UNUSED, char *buffer,
                  size_t max)
{
  struct call *call = context;
  size_t left;
  ssize_t result;
  bool writable = false;

  g_mutex_lock (&call->lock);
  left = call->stream->len - call->stream_offset;
  if (left > 0)
    {
      result = (ssize_t)(left < max ? left : max);
      memcpy (buffer, call->stream->data + call->stream_offset,
              (size_t)result);
      call->stream_offset += (size_t)result;
      if (call->stream_offset == call->stream->len)
        {
          g_byte_array_set_size (call->stream, 0);
          call->stream_offset = 0;
          writable = call->writer_blocked;
          call->writer_blocked = false;
        }
    }
  else if (call->body_ended)
    result = call->body_complete ? MHD_CONTENT_READER_END_OF_STREAM
                                 : MHD_CONTENT_READER_END_WITH_ERROR;
  else
    {
      call->reader_suspended = true;
      MHD_suspend_connection (call->connection);
      result = 0;
    }
  g_mutex_unlock (&call->lock);
  if (writable && call->server->options.handlers->writable != NULL)
    call->server->options.handlers->writable (call->server->options.context,
                                              call->id);
  return result;
}

static void
release_stream_call (void *context)
{
  call_release (context);
}

bool
ht_call_begin_response (struct ht_server *server, uint64_t id, unsigned status,
                        const struct ht_field *fields, size_t field_count,
                        int64_t length)
{
  struct call *call = call_acquire (server, id);
  struct MHD_Response *response;

  if (call == NULL)
    return false;
  /* The response takes over the reference to the call.  */
  response = MHD_create_response_from_callback (
      length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length, STREAM_BLOCK_BYTES,
      read_stream_body, call, release_stream_call);
  add_fields (response, fields, field_count);
  return set_response (call, status, response, PHASE_RESPONSE_STREAMING);
}

/* Resume the connection if its content reader waits for data.  The call must
   be locked.  */
static void
resume_reader (struct call *call)
{
  if (!call->reader_suspended || call->connection == NULL)
    return;
  call->reader_suspended = false;
  MHD_resume_connection (call->connection);
}

bool
ht_call_append_body (struct ht_server *server, uint64_t id, const void *data,
                     size_t len)
{
  struct call *call = call_acquire (server, id);
  bool taken = true;

  if (call == NULL)
    return true;
  g_mutex_lock (&call->lock);
  if (call->connection != NULL)
    {
      size_t waiting = call->stream->len - call->stream_offset;

      taken = waiting == 0 || waiting + len <= MAX_STREAM_BUFFER_BYTES;
      if (taken)
        {
          g_byte_array_append (call->stream, data, (guint)len);
          resume_reader (call);
        }
      else
        call->writer_blocked = true;
    }
  g_mutex_unlock (&call->lock);
  call_release (call);
  return taken;
}

void
ht_call_end_response (struct ht_server *server, uint64_t id, bool complete)
{
  struct call *call = call_acquire (server, id);

  if (call == NULL)
    return;
  g_mutex_lock (&call->lock);
  call->body_ended = true;
  call->body_complete = complete;
  resume_reader (call);
  g_mutex_unlock (&call->lock);
  call_release (call);
}

bool
ht_call_take (struct ht_server *server, uint64_t id)
{
  struct call *call = call_acquire (server, id);
  bool taken;

  if (call == NULL)
    return false;
  g_mutex_lock (&call->lock);
  taken = call->connection != NULL && !call->given_up
          && call->phase == PHASE_AWAITING_RESPONSE;
  call->taken = taken;
  g_mutex_unlock (&call->lock);
  call_release (call);
  return taken;
}

char *
ht_call_get_header (struct ht_server *server, uint64_t id, TALLOC_CTX *mem,
                    const char *name)
{
  struct call *call = call_acquire (server, id);
  char *value = NULL;

  if (call == NULL)
    return NULL;
  for (size_t i = 0; call->request != NULL && i < call->request->field_count;
       i++)
    if (g_ascii_strcasecmp (call->request->fields[i].name, name) == 0)
      {
        value = talloc_strdup (mem, call->request->fields[i].value);
        break;
      }
  call_release (call);
  return value;
}

struct ht_request_copy *
ht_call_copy_request (struct ht_server *server, uint64_t id, TALLOC_CTX *mem)
{
  struct call *call = call_acquire (server, id);
  struct ht_request_copy *copy;

  if (call == NULL)
    return NULL;
  copy = talloc_zero (mem, struct ht_request_copy);
  copy->method = talloc_strdup (copy, call->method);
  copy->target = talloc_strdup (copy, call->target);
  copy->body
      = talloc_memdup (copy, ht_body_join (&call->body), call->body.len);
  copy->body_len = call->body.len;
  for (size_t i = 0; i < call->request->field_count; i++)
    copy_field (copy, MHD_HEADER_KIND, call->request->fields[i].name,
                call->request->fields[i].value);
  call_release (call);
  return copy;
}

/* ---- detection of closed connections ---- */

/* Return whether the peer of the socket FD has closed the connection, which
   libmicrohttpd does not detect while the connection is suspended.  */
static bool
peer_has_closed (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLRDHUP };

  return poll (&p, 1, 0) > 0
         && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Call `disconnected' for each waiting call whose client closed the
   connection.  */
static void
report_disconnects (struct ht_server *server)
{
  GArray *disconnected_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&server->lock);
  g_hash_table_iter_init (&iter, server->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct call *call = value;

      g_mutex_lock (&call->lock);
      if (call->phase == PHASE_AWAITING_RESPONSE && call->connection != NULL
          && !call->disconnect_reported && peer_has_closed (call->fd))
        {
          call->disconnect_reported = true;
          g_array_append_val (disconnected_ids, call->id);
        }
      g_mutex_unlock (&call->lock);
    }
  g_mutex_unlock (&server->lock);
  for (guint i = 0; i < disconnected_ids->len; i++)
    server->options.handlers->disconnected (
        server->options.context,
        g_array_index (disconnected_ids, uint64_t, i));
  g_array_free (disconnected_ids, TRUE);
}

static gpointer
disconnect_watcher_main (gpointer data)
{
  struct ht_server *server = data;

  while (!atomic_load (&server->stopping))
    {
      g_usleep (DISCONNECT_POLL_INTERVAL_MS * 1000);
      report_disconnects (server);
    }
  return NULL;
}

/* ---- the server ---- */

/* ---- the end of the server's work ---- */

static bool
has_room_for_client (struct ht_server *server)
{
  bool result;

  g_mutex_lock (&server->lock);
  result = has_room (server, MAX_SPARE_FOR_CLIENTS);
  g_mutex_unlock (&server->lock);
  return result;
}

/* Pass the accepted socket FD to libmicrohttpd, which closes it if it doesn't
   take it.  */
static void
add_socket (struct ht_server *server, int fd,
            const struct sockaddr_storage *address, socklen_t len)
{
  g_mutex_lock (&server->lock);
  g_hash_table_add (server->added_sockets, GINT_TO_POINTER (fd));
  g_mutex_unlock (&server->lock);
  if (MHD_add_connection (server->daemon, fd, (const struct sockaddr *)address,
                          len)
      == MHD_YES)
    return;
  g_mutex_lock (&server->lock);
  g_hash_table_remove (server->added_sockets, GINT_TO_POINTER (fd));
  g_mutex_unlock (&server->lock);
}

void
ht_server_stop_accepting (struct ht_server *server)
{
  struct sockaddr_storage address;
  socklen_t len = sizeof address;
  int fd;

  if (server->listener < 0)
    server->listener = MHD_quiesce_daemon (server->daemon);
  if (server->listener < 0 || server->listener_closed)
    return;
  while (has_room_for_client (server))
    {
      fd = accept4 (server->listener, (struct sockaddr *)&address, &len,
                    SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        {
          /* Refuse clients, but keep the descriptor: the thread of
             libmicrohttpd may still use it.  */
          server->listener_closed = true;
          shutdown (server->listener, SHUT_RDWR);
          return;
        }
      add_socket (server, fd, &address, len);
      len = sizeof address;
    }
}

/* Give up the calls that wait, and with TAKEN_TOO those that were taken.
   Return their number.  */
static unsigned
give_up_waiting (struct ht_server *server, bool taken_too)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  unsigned count = 0;
  GHashTableIter iter;
  gpointer key;

  g_mutex_lock (&server->lock);
  server->refusing = true;
  g_hash_table_iter_init (&iter, server->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_array_append_val (ids, *(uint64_t *)key);
  g_mutex_unlock (&server->lock);
  for (guint i = 0; i < ids->len; i++)
    {
      struct call *call
          = call_acquire (server, g_array_index (ids, uint64_t, i));

      if (call == NULL)
        continue;
      count += give_up (call, taken_too);
      call_release (call);
    }
  g_array_free (ids, TRUE);
  return count;
}

void
ht_server_drain (struct ht_server *server)
{
  atomic_store (&server->draining, true);
  ht_server_stop_accepting (server);
  g_mutex_lock (&server->lock);
  request_sweep (server);
  g_mutex_unlock (&server->lock);
}

unsigned
ht_server_refuse_requests (struct ht_server *server)
{
  ht_server_drain (server);
  return give_up_waiting (server, false);
}

unsigned
ht_server_give_up_calls (struct ht_server *server)
{
  g_mutex_lock (&server->lock);
  server->closing_all = true;
  g_mutex_unlock (&server->lock);
  ht_server_drain (server);
  return give_up_waiting (server, true);
}

unsigned
ht_server_connection_count (struct ht_server *server)
{
  unsigned count;

  g_mutex_lock (&server->lock);
  count = server->connection_count + g_hash_table_size (server->added_sockets);
  g_mutex_unlock (&server->lock);
  return count;
}

unsigned
ht_server_call_count (struct ht_server *server)
{
  unsigned count;

  g_mutex_lock (&server->lock);
  count = g_hash_table_size (server->calls);
  g_mutex_unlock (&server->lock);
  return count;
}

/* Resume all suspended connections.  libmicrohttpd requires that before it is
   stopped.  */
static void
resume_suspended_calls (struct ht_server *server)
{
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&server->lock);
  g_hash_table_iter_init (&iter, server->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct call *call = value;

      g_mutex_lock (&call->lock);
      if (call->connection != NULL
          && (call->suspended || call->reader_suspended))
        {
          call->suspended = false;
          call->phase = PHASE_RESPONSE_COMPLETE;
          call->reader_suspended = false;
          call->body_ended = true;
          MHD_resume_connection (call->connection);
        }
      g_mutex_unlock (&call->lock);
    }
  g_mutex_unlock (&server->lock);
}

static int
server_destructor (struct ht_server *server)
{
  atomic_store (&server->stopping, true);
  if (server->disconnect_watcher != NULL)
    g_thread_join (server->disconnect_watcher);
  resume_suspended_calls (server);
  MHD_stop_daemon (server->daemon);
  if (server->listener >= 0)
    close (server->listener);
  g_hash_table_destroy (server->calls);
  g_hash_table_destroy (server->added_sockets);
  g_mutex_clear (&server->lock);
  return 0;
}

static struct ht_admission *
create_admission (struct ht_server *server)
{
  const struct ht_server_options *options = &server->options;
  struct ht_admission_options admission
      = { .idle_timeout_us = IDLE_CONNECTION_TIMEOUT_S * G_USEC_PER_SEC,
          .header_timeout_us = HEADER_TIMEOUT_S * G_USEC_PER_SEC,
          .body_timeout_us
          = (BODY_TIMEOUT_S
             + (int64_t)(options->max_body_bytes / SLOWEST_BYTES_PER_S))
            * G_USEC_PER_SEC,
          .discard_timeout_us = DISCARD_TIMEOUT_S * G_USEC_PER_SEC,
          .stalled_after_us = STALLED_AFTER_S * G_USEC_PER_SEC };

  ht_admission_divide (&admission, options->memory_bytes,
                       options->header_memory_bytes
                           + CONNECTION_OVERHEAD_BYTES,
                       options->max_connections, options->max_body_bytes);
  server->options.max_connections = admission.max_connections;
  return ht_admission_new (server, &admission);
}

struct ht_server *
ht_server_new (TALLOC_CTX *mem, const struct ht_server_options *options,
               GError **error)
{
  struct ht_server *server = talloc_zero (mem, struct ht_server);
  struct sockaddr_in address;

  server->options = *options;
  server->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  server->added_sockets = g_hash_table_new (NULL, NULL);
  server->listener = -1;
  server->sweep_socket = -1;
  server->admission = create_admission (server);
  g_mutex_init (&server->lock);
  if (options->server_out != NULL)
    *options->server_out = server;
  if (ba_address_parse (options->address, &address))
    server->daemon = MHD_start_daemon (
        MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD
            | MHD_ALLOW_SUSPEND_RESUME,
        0, NULL, NULL, receive_request, server, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_THREAD_POOL_SIZE, options->threads,
        MHD_OPTION_CONNECTION_LIMIT,
        server->options.max_connections
            + options->threads * SPARE_CONNECTIONS_PER_THREAD,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, options->header_memory_bytes,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_CONNECTION_TIMEOUT_S,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_URI_LOG_CALLBACK,
        call_new, server, MHD_OPTION_NOTIFY_COMPLETED, call_ended, server,
        MHD_OPTION_NOTIFY_CONNECTION, connection_changed, server,
        MHD_OPTION_END);
  else
    errno = EINVAL;
  if (server->daemon == NULL)
    {
      g_set_error (error, BA_ERROR, BA_ERROR_IO, "can't listen on %s: %s",
                   options->address, g_strerror (errno));
      g_hash_table_destroy (server->calls);
      g_hash_table_destroy (server->added_sockets);
      g_mutex_clear (&server->lock);
      talloc_free (server);
      return NULL;
    }
  if (!options->no_disconnect_watch)
    server->disconnect_watcher
        = g_thread_new ("callers-watch", disconnect_watcher_main, server);
  talloc_set_destructor (server, server_destructor);
  return server;
}
