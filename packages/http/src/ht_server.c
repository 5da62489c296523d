#include "ht_server.h"

#include "ba_address.h"

#include <glib.h>
#include <microhttpd.h>
#include <poll.h>
#include <errno.h>
#include <unistd.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Unsent body data per response; one larger part is taken when there is
     none.  */
  MAX_STREAM_BUFFER_BYTES = 256 * 1024,
  STREAM_BLOCK_BYTES = 32 * 1024, /* read from that buffer at a time */
  IDLE_CONNECTION_TIMEOUT_S = 60,
  DISCONNECT_POLL_INTERVAL_MS = 100
};

enum call_phase
{
  PHASE_RECEIVING,         /* the request is being received */
  PHASE_AWAITING_RESPONSE, /* the connection is suspended until there is a
                              response */
  PHASE_RESPONSE_COMPLETE,
  PHASE_RESPONSE_STREAMING
};

struct call
{
  uint64_t id;
  struct ht_server *server;
  int reference_count; /* the connection and threads that use the call;
                          protected by the server's lock */
  GMutex lock;
  struct MHD_Connection *connection; /* NULL once libmicrohttpd ended it */
  int fd;                            /* socket of the connection */
  enum call_phase phase;
  bool disconnect_reported; /* don't call `disconnected' any more */
  bool too_large;           /* max_body_bytes exceeded: BODY is incomplete */
  char *method;
  char *target;
  GByteArray *body;
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
  GMutex lock;       /* protects CALLS and their reference counts */
  GHashTable *calls; /* ID -> call */
  _Atomic uint64_t last_id;
  _Atomic bool stopping;
  GThread *disconnect_watcher;
};

/* ---- calls ---- */

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
  g_byte_array_free (call->body, TRUE);
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
  call->body = g_byte_array_new ();
  call->stream = g_byte_array_new ();
  call->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  g_mutex_init (&call->lock);
  g_mutex_lock (&server->lock);
  g_hash_table_insert (server->calls, &call->id, call);
  g_mutex_unlock (&server->lock);
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

/* Return CALL in the form that handlers get.  Its pointers are borrowed from
   CALL.  */
static struct ht_call
call_view (const struct call *call)
{
  struct ht_call view = { call->id, call->method, call->target,
                          call->body->data, call->body->len };

  return view;
}

/* Queue the response of CALL, and drop the call's own reference to it so that
   the connection is the only owner: a streamed response holds a reference to
   the call, so the two references would form a cycle.  */
static enum MHD_Result
queue_response (struct call *call)
{
  struct MHD_Response *response = call->response;
  enum MHD_Result result
      = MHD_queue_response (call->connection, call->status, response);

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

/* Suspend the connection and pass the complete request to its handler.  */
static enum MHD_Result
dispatch_request (struct call *call)
{
  struct ht_server *server = call->server;
  const struct ht_server_handlers *handlers = server->options.handlers;
  struct ht_call view = call_view (call);
  uint64_t id = call->id;

  call->request = talloc_zero (call, struct ht_request_copy);
  MHD_get_connection_values (call->connection, MHD_HEADER_KIND, copy_field,
                             call->request);
  g_mutex_lock (&call->lock);
  call->phase = PHASE_AWAITING_RESPONSE;
  MHD_suspend_connection (call->connection);
  g_mutex_unlock (&call->lock);
  /* Another thread may respond, and thereby end the call, before the handler
     returns.  A reference keeps the call alive until then.  */
  call = call_acquire (server, id);
  if (call->too_large)
    handlers->too_large (server->options.context, &view);
  else if (!handlers->request (server->options.context, &view))
    ht_call_respond (server, id, 503, overload_fields,
                     G_N_ELEMENTS (overload_fields), overload_body,
                     sizeof overload_body - 1);
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

  (void)connection;
  if (call->method == NULL)
    {
      call->method = talloc_strdup (call, method);
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      size_t room = call->server->options.max_body_bytes - call->body->len;

      if (*data_len > room)
        call->too_large = true;
      else if (!call->too_large)
        g_byte_array_append (call->body, (const guint8 *)data,
                             (guint)*data_len);
      *data_len = 0;
      return MHD_YES;
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
      MHD_resume_connection (call->connection);
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
  copy->body = talloc_memdup (copy, call->body->data, call->body->len);
  copy->body_len = call->body->len;
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

void
ht_server_stop_accepting (struct ht_server *server)
{
  int fd = MHD_quiesce_daemon (server->daemon);

  if (fd >= 0)
    close (fd);
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
          && (call->phase == PHASE_AWAITING_RESPONSE
              || call->reader_suspended))
        {
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
  g_hash_table_destroy (server->calls);
  g_mutex_clear (&server->lock);
  return 0;
}

struct ht_server *
ht_server_new (TALLOC_CTX *mem, const struct ht_server_options *options,
               GError **error)
{
  struct ht_server *server = talloc_zero (mem, struct ht_server);
  struct sockaddr_in address;

  server->options = *options;
  server->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_mutex_init (&server->lock);
  if (options->server_out != NULL)
    *options->server_out = server;
  if (ba_address_parse (options->address, &address))
    server->daemon = MHD_start_daemon (
        MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD
            | MHD_ALLOW_SUSPEND_RESUME,
        0, NULL, NULL, receive_request, server, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_THREAD_POOL_SIZE, options->threads,
        MHD_OPTION_CONNECTION_LIMIT, options->max_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, options->header_memory_bytes,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_CONNECTION_TIMEOUT_S,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_URI_LOG_CALLBACK,
        call_new, server, MHD_OPTION_NOTIFY_COMPLETED, call_ended, server,
        MHD_OPTION_END);
  else
    errno = EINVAL;
  if (server->daemon == NULL)
    {
      g_set_error (error, BA_ERROR, BA_ERROR_IO, "can't listen on %s: %s",
                   options->address, g_strerror (errno));
      g_hash_table_destroy (server->calls);
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
