#ifndef HT_SERVER_H
#define HT_SERVER_H

/* HTTP requests from callers, by libmicrohttpd with suspended connections: a
   request that waits holds no thread.

   A call is known to other threads by its number.  Every function that takes
   a number does nothing when the call has ended.  */

#include "ba_error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct ht_server;

/* One request, complete and waiting for its answer.  Borrowed pointers.  */
struct ht_call
{
  uint64_t id;
  const char *method;
  const char *target; /* path and query, as received */
  const void *body;
  size_t body_len;
};

struct ht_server_handlers
{
  /* A whole request has arrived.  Called on a server thread; CALL is
     borrowed for the duration.  Return false to have it refused as
     overloaded.  */
  bool (*request) (void *context, const struct ht_call *call);
  /* The body exceeds the largest size.  The handler answers the call.  */
  void (*too_large) (void *context, const struct ht_call *call);
  /* The caller of a waiting call went away.  */
  void (*disconnected) (void *context, uint64_t id);
  /* There is room again for the body of a streamed answer.  May be NULL.  */
  void (*writable) (void *context, uint64_t id);
};

struct ht_server_options
{
  const char *address; /* IPv4 address and port */
  unsigned threads;    /* serving connections */
  unsigned max_connections;
  size_t max_body_bytes;      /* bytes of a request body */
  size_t header_memory_bytes; /* bytes for the headers of one connection */
  bool no_disconnect_watch; /* the `gone' handler is called only at the end */
  const struct ht_server_handlers *handlers; /* borrowed */
  void *context;
  struct ht_server **server_out; /* set before the first handler is called */
};

/* Start serving.  Return a new server owned by MEM, or NULL with ERROR set.
   Freeing it closes all connections.  */
struct ht_server *ht_server_new (TALLOC_CTX *mem,
                                 const struct ht_server_options *options,
                                 GError **error);

/* Stop accepting connections; those that are open go on, and are closed
   after their present answer.  */
void ht_server_stop_accepting (struct ht_server *server);

/* Return the number of calls that have not ended.  */
unsigned ht_server_call_count (struct ht_server *server);

/* Return a header of the call ID, or NULL, as a copy owned by MEM.  */
char *ht_call_get_header (struct ht_server *server, uint64_t id,
                          TALLOC_CTX *mem, const char *name);

struct ht_field
{
  const char *name;
  const char *value;
};

/* Return the call's request: its method, target, headers and body, as a copy
   owned by MEM.  */
struct ht_request_copy
{
  char *method;
  char *target;
  struct ht_field *fields;
  size_t field_count;
  uint8_t *body;
  size_t body_len;
};

struct ht_request_copy *ht_call_copy_request (struct ht_server *server,
                                              uint64_t id, TALLOC_CTX *mem);

/* Give the call its whole answer.  Return false when it already has one or
   has ended.  */
bool ht_call_respond (struct ht_server *server, uint64_t id, unsigned status,
                      const struct ht_field *fields, size_t field_count,
                      const void *body, size_t len);

/* Begin an answer whose body follows in parts; LENGTH is -1 if it is not
   known.  */
bool ht_call_begin_response (struct ht_server *server, uint64_t id,
                             unsigned status, const struct ht_field *fields,
                             size_t field_count, int64_t length);

/* Append to the body.  Return false, having taken nothing, while too much of
   it waits for the caller; the `drained' handler says when to go on.  For a
   call that has ended the data is dropped and true returned.  */
bool ht_call_append_body (struct ht_server *server, uint64_t id,
                          const void *data, size_t len);

/* End the body.  Unless WHOLE, the connection is closed so that the caller
   sees that the answer is cut short.  */
void ht_call_end_response (struct ht_server *server, uint64_t id, bool whole);

#endif
