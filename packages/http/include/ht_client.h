#ifndef HT_CLIENT_H
#define HT_CLIENT_H

/* Asynchronous HTTP client on top of libcurl's multi interface, run by one
   thread.

   Requests are submitted from any thread.  All handlers are called on the
   thread that runs ht_client_run.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* How an exchange ended.  After HT_RESULT_NOT_SENT, the server can't have
   received the request; after the others it may have.  */
enum ht_result
{
  HT_RESULT_COMPLETE,   /* the complete response was received */
  HT_RESULT_NOT_SENT,   /* no byte of the request left this host */
  HT_RESULT_INCOMPLETE, /* at least part of the request was sent, but no
                           complete response was received */
  HT_RESULT_TIMEOUT     /* as HT_RESULT_INCOMPLETE, and the reason is that the
                           timeout expired */
};

/* One request and its response.  */
struct ht_exchange;

/* When the steps of an exchange took place, in ba_clock_now_us time.  */
struct ht_exchange_times
{
  int64_t submitted_us;
  int64_t sent_us; /* when libcurl began to send the request; 0: it did not */
  /* How often it did: it repeats a request when a reused connection fails, as
     long as no_retry is not set.  */
  unsigned sendings;
  /* The time was over before the client began to connect, because its thread
     was late or all connections to the server were in use, or too many
     requests waited for one.  So the result, HT_RESULT_NOT_SENT, says nothing
     about the server.  */
  bool expired_in_queue;
};

struct ht_client_handlers
{
  /* Called once, when the status line and all response headers were received:
     before the first part of the body or, if there is none, at the end of a
     complete exchange.  LENGTH is the length of the body in bytes, or -1 if it
     is unknown.  May be NULL.  */
  void (*headers) (struct ht_exchange *exchange, void *context,
                   unsigned status, int64_t length);
  /* Called for each received part of the body: LEN bytes at DATA, borrowed.
     Return false to pause the exchange; the same bytes are passed again after
     ht_client_resume.  */
  bool (*body) (struct ht_exchange *exchange, void *context, const void *data,
                size_t len);
  /* Called once, at the end of the exchange, but not for exchanges that are
     still in flight when ht_client_run returns.  STATUS is the HTTP status; 0
     if none was received or the exchange timed out.  EXCHANGE is freed when
     the handler has returned.  */
  void (*done) (struct ht_exchange *exchange, void *context,
                enum ht_result result, unsigned status);
};

struct ht_header
{
  const char *name;
  const char *value;
};

/* Requests of a higher priority are sent first.  Those of HT_PRIORITY_LOW
   don't use the reserved connections.  */
enum ht_priority
{
  HT_PRIORITY_LOW,
  HT_PRIORITY_NORMAL,
  HT_PRIORITY_HIGH,
  HT_PRIORITY_COUNT
};

/* A request to submit.  All pointers are borrowed until ht_client_submit
   returns.  */
struct ht_request
{
  const char *method;
  const char *url;
  const struct ht_header *headers;
  size_t header_count;
  const void *body;
  size_t body_len;         /* bytes */
  int64_t start_before_us; /* ba_clock_now_us time after which the client's
                              thread doesn't start the request, but ends it
                              with HT_RESULT_NOT_SENT; 0: no limit.  Not
                              checked again while the request waits for a
                              connection.  */
  int64_t timeout_ms;      /* for the exchange as a whole, or for each step of
                              it */
  enum ht_priority priority; /* among the requests that wait for a connection
                                to the same server */
  bool timeout_per_step;   /* the timeout starts anew when the client begins to
                              connect and whenever it sends or receives a part,
                              so that the server has timeout_ms for each step,
                              however late the client is */
  int64_t idle_timeout_ms; /* if not 0, the exchange goes on after timeout_ms
                              while parts of the response's body arrive, the
                              next one at most this long after the last */
  bool no_retry;           /* send at most once: libcurl must not repeat the
                              request when a reused connection fails */
  bool new_connection;     /* don't reuse an idle connection */
  const char *sigv4; /* CURLOPT_AWS_SIGV4 provider string, or NULL to send
                        the request unsigned */
  const char *credentials; /* "ID:SECRET" to sign with; NULL if sigv4 is */
};

struct ht_client_options
{
  unsigned ring_capacity; /* capacity of the queue of submitted requests; a
                             power of two */
  long max_connections_per_server; /* 0: unlimited; further requests wait */
  /* Of these, those that requests of the lowest priority leave free; at least
     one remains for them.  */
  unsigned reserved_connections_per_server;
  /* Requests of each priority that may wait for a connection to a server;
     further ones end with HT_RESULT_NOT_SENT.  0: unlimited.  */
  unsigned max_waiting_per_server;
  long max_idle_connections; /* kept open for reuse; 0: libcurl's default */
};

struct ht_client;

/* Return a new client owned by MEM.  */
struct ht_client *ht_client_new (TALLOC_CTX *mem,
                                 const struct ht_client_options *options);

/* Queue a copy of REQUEST.  HANDLERS is borrowed until the exchange ends;
   CONTEXT is passed to each handler.  Return false, without calling any
   handler, when the queue is full.  May be called from any thread.  */
bool ht_client_submit (struct ht_client *client,
                       const struct ht_request *request,
                       const struct ht_client_handlers *handlers,
                       void *context);

/* Resume the exchange whose body handler returned false.  The exchange is
   identified by its ID because it may have ended in the meantime; the call
   then has no effect.  May be called from any thread but that of
   ht_client_run, because it waits while the queue is full.  */
void ht_client_resume (struct ht_client *client, uint64_t exchange_id);

/* Return the ID of EXCHANGE, unique within its client.  */
uint64_t ht_exchange_id (const struct ht_exchange *exchange);

/* Return the times of EXCHANGE, borrowed from it.  */
const struct ht_exchange_times *
ht_exchange_times (const struct ht_exchange *exchange);

/* Return the end-to-end headers of the response, one "NAME: VALUE" line each,
   owned by MEM.  Called only from the `headers' handler.  */
char *ht_exchange_response_headers (struct ht_exchange *exchange,
                                    TALLOC_CTX *mem);

/* Return a message that says why EXCHANGE failed; never NULL.  Borrowed from
   EXCHANGE.  */
const char *ht_exchange_error (const struct ht_exchange *exchange);

/* Return whether the header NAME is a hop-by-hop header or describes the
   framing of the body, so that a proxy must not forward it.  */
bool ht_header_is_hop_by_hop (const char *name);

/* Process requests until ht_client_stop is called.  Each iteration of the
   event loop waits at most 200 ms and calls ON_ITERATION with CONTEXT, so that
   a watchdog can detect a blocked thread.  */
void ht_client_run (struct ht_client *client, void (*on_iteration) (void *),
                    void *context);

/* Make ht_client_run return.  May be called from any thread.  */
void ht_client_stop (struct ht_client *client);

#endif
