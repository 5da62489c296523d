#ifndef HT_SERVER_H
#define HT_SERVER_H

/* HTTP server on top of libmicrohttpd.  The connection of a request that waits
   for its response is suspended, so waiting requests occupy no thread.

   A request and its response together are a call.  All threads refer to a call
   by its ID; every function that takes an ID may be called from any thread and
   does nothing when that call has ended.

   The memory and the connections of a server are bounded; src/ht_admission.h
   says which client is turned away.  */

#include "ba_error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct ht_server;

/* Why a client was turned away.  */
enum ht_rejection
{
  HT_REJECTION_CONNECTIONS, /* closed: too many connections */
  HT_REJECTION_MEMORY,      /* closed: too many bytes */
  HT_REJECTION_TIMEOUT,     /* closed: the request took too long to arrive, or
                               none came */
  HT_REJECTION_TOO_LARGE,   /* the body was over the limit */
  HT_REJECTION_OVERLOADED,  /* refused as not run: too many bytes in requests
                               that wait for their responses */
  HT_REJECTION_COUNT
};

/* A completely received request that waits for its response.  The pointers are
   borrowed.  */
struct ht_call
{
  uint64_t id;
  const char *method;
  const char *target; /* path and query, as received */
  const void *body;
  size_t body_len; /* bytes */
};

struct ht_server_handlers
{
  /* A complete request was received.  Called on a server thread; CALL is
     borrowed until the handler returns.  Return false to have the request
     refused with status 503, reason `overloaded'.  */
  bool (*request) (void *context, const struct ht_call *call);
  /* Called instead of `request' if the request body is larger than
     max_body_bytes.  The handler has to respond to the call before it
     returns.  The body of CALL is empty.  */
  void (*too_large) (void *context, const struct ht_call *call);
  /* The client of a call that waits for its response has closed the
     connection.  Called on a server thread or on the thread that polls for
     closed connections, at most once per call.  */
  void (*disconnected) (void *context, uint64_t id);
  /* The buffer of a streamed response body, which ht_call_append_body found
     full, has room again, or the call has ended.  Called on a server thread.
     May be NULL.  */
  void (*writable) (void *context, uint64_t id);
  /* Respond to call ID, which the server gives up because the process ends:
     nobody has taken it (ht_call_take) and nobody can any more, or if it was
     TAKEN, its response has not come in time.  Called on any thread.  May be
     NULL if ht_server_refuse_requests is not called.  */
  void (*give_up) (void *context, uint64_t id, bool taken);
};

struct ht_server_options
{
  const char *address; /* IPv4 address and port to listen on */
  unsigned threads;    /* number of threads that serve connections */
  unsigned max_connections;
  size_t max_body_bytes;      /* of a request body */
  size_t header_memory_bytes; /* for request headers, per connection */
  /* For the headers and bodies of all requests together; at most three
     quarters of it limit the number of connections.  */
  size_t memory_bytes;
  bool drop_bodies;         /* free the body of a request when its handler has
                               returned; ht_call_copy_request then finds none */
  bool no_disconnect_watch; /* don't poll waiting connections for a closed
                               peer; `disconnected' is then called only
                               when libmicrohttpd ends the call */
  const struct ht_server_handlers *handlers; /* borrowed */
  void *context;                             /* passed to each handler */
  struct ht_server **server_out; /* if not NULL, set to the new server before
                                    the first handler is called */
};

/* Start to listen and serve.  Return a new server owned by MEM, or NULL with
   ERROR set.  Freeing the server closes all connections.  */
struct ht_server *ht_server_new (TALLOC_CTX *mem,
                                 const struct ht_server_options *options,
                                 GError **error);

/* Stop accepting connections, except those that the kernel has accepted
   already; if there is no room for all of these, the rest when this is called
   again.  Open connections are still served.  */
void ht_server_stop_accepting (struct ht_server *server);

/* The end of a server's work, so that no request is read and left without a
   response; each function does what the one before it does.  They are to be
   called again every few milliseconds, by the same thread, until
   ht_server_connection_count is 0: connections become idle again, and requests
   may arrive until then.  A connection that is closed gets no request read, or
   the one that is read whole meanwhile is given up.

   ht_server_drain: stop accepting, close each connection after its response,
   and close those without a request.

   ht_server_refuse_requests: give up the requests that nobody has taken, and
   those that come.

   ht_server_give_up_calls: give up taken calls, too, and close the connections
   whose request is not complete.

   The last two return the number of calls that were given up, of those
   that waited.  */
void ht_server_drain (struct ht_server *server);
unsigned ht_server_refuse_requests (struct ht_server *server);
unsigned ht_server_give_up_calls (struct ht_server *server);

/* Return the number of connections that are open or are being closed, or were
   accepted and not passed to the server's thread yet.  */
unsigned ht_server_connection_count (struct ht_server *server);

/* Close the connections whose clients take too long to send a request.  To be
   called about once a second, by any thread.  */
void ht_server_close_overdue (struct ht_server *server);

/* What a server holds, and whom it has turned away since it started.  */
struct ht_server_usage
{
  unsigned connections;
  size_t body_bytes; /* of requests, each byte counted twice */
  uint64_t rejections[HT_REJECTION_COUNT];
};

void ht_server_get_usage (struct ht_server *server,
                          struct ht_server_usage *usage);

/* Return the name of REJECTION in metrics and logs, a static string.  */
const char *ht_rejection_name (enum ht_rejection rejection);

/* Return the number of calls that have not ended.  */
unsigned ht_server_call_count (struct ht_server *server);

/* Claim call ID for the caller, who is then going to respond to it.  Return
   false when the call was given up or has ended: it must not be run.  */
bool ht_call_take (struct ht_server *server, uint64_t id);

/* Return the value of the request header NAME, matched without regard to case,
   as a copy owned by MEM.  Return NULL when the request of call ID has no such
   header or the call has ended.  */
char *ht_call_get_header (struct ht_server *server, uint64_t id,
                          TALLOC_CTX *mem, const char *name);

/* A header field of a request or response.  */
struct ht_field
{
  const char *name;
  const char *value;
};

/* A copy of a completely received request.  */
struct ht_request_copy
{
  char *method;
  char *target; /* path and query, as received */
  struct ht_field *fields;
  size_t field_count;
  uint8_t *body;
  size_t body_len; /* bytes */
};

/* Return a copy of the request of call ID, owned by MEM, or NULL when the call
   has ended.  */
struct ht_request_copy *ht_call_copy_request (struct ht_server *server,
                                              uint64_t id, TALLOC_CTX *mem);

/* Send the complete response to call ID: STATUS, the FIELD_COUNT header fields
   in FIELDS and LEN bytes at BODY.  Fields with a NULL value are omitted.  All
   data is copied.  Return false when the call already has a response or has
   ended.  */
bool ht_call_respond (struct ht_server *server, uint64_t id, unsigned status,
                      const struct ht_field *fields, size_t field_count,
                      const void *body, size_t len);

/* Start a streamed response: as ht_call_respond, but the body is sent by
   ht_call_append_body and ended by ht_call_end_response.  LENGTH is the length
   of the body in bytes, or -1 if it is not known.  */
bool ht_call_begin_response (struct ht_server *server, uint64_t id,
                             unsigned status, const struct ht_field *fields,
                             size_t field_count, int64_t length);

/* Append LEN bytes at DATA to the body of a streamed response.  Return false,
   without taking any byte, while the buffer of data not yet sent to the client
   is full; the `writable' handler is called once there is room.  When the call
   has ended, drop the data and return true.  */
bool ht_call_append_body (struct ht_server *server, uint64_t id,
                          const void *data, size_t len);

/* End the body of a streamed response.  Unless COMPLETE, close the connection
   so that the client sees that the response is truncated.  */
void ht_call_end_response (struct ht_server *server, uint64_t id,
                           bool complete);

#endif
