#ifndef HT_CLIENT_H
#define HT_CLIENT_H

/* Asynchronous HTTP requests by libcurl multi, on one thread of their own.

   Requests are submitted from any thread.  All handlers are called on the
   client's thread.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* How much is known about a request that got no whole answer.  */
enum ht_result
{
  HT_RESULT_COMPLETE,   /* a whole answer was received */
  HT_RESULT_NOT_SENT,   /* no byte of the request left this host */
  HT_RESULT_INCOMPLETE, /* sent, in part at least, and no whole answer came */
  HT_RESULT_TIMEOUT     /* as HT_RESULT_INCOMPLETE, because the time was up */
};

struct ht_exchange;

struct ht_client_handlers
{
  /* The status line and headers are complete.  LENGTH is that of the body,
     or -1 if it is not known.  May be NULL.  */
  void (*headers) (struct ht_exchange *exchange, void *context,
                   unsigned status, int64_t length);
  /* LEN bytes of the body.  Return false to be given them again after
     ht_client_resume.  */
  bool (*body) (struct ht_exchange *exchange, void *context, const void *data,
                size_t len);
  /* The end.  EXCHANGE is gone afterwards.  */
  void (*done) (struct ht_exchange *exchange, void *context,
                enum ht_result result, unsigned status);
};

struct ht_header
{
  const char *name;
  const char *value;
};

struct ht_request
{
  const char *method;
  const char *url;
  const struct ht_header *headers;
  size_t header_count;
  const void *body;
  size_t body_len;
  int64_t send_before_us; /* ba_clock_now_us time after which it must not be
                       sent; 0: any */
  int64_t timeout_ms;     /* of the whole exchange */
  bool no_retry;          /* must never be sent twice, by the library either */
  bool new_connection;    /* over a new connection */
  const char *sigv4;      /* CURLOPT_AWS_SIGV4 provider string, or NULL */
  const char *credentials; /* "ID:SECRET" for signing, or NULL */
};

struct ht_client_options
{
  unsigned ring_capacity;    /* submitted requests not yet taken */
  long max_host_connections; /* to one server; 0: no bound */
  long max_idle_connections; /* idle, for use again; 0: as the library does */
};

struct ht_client;

/* Return a new client owned by MEM.  */
struct ht_client *ht_client_new (TALLOC_CTX *mem,
                                 const struct ht_client_options *options);

/* Submit a copy of REQUEST.  Return false, calling no handler, when too many
   are waiting to be taken.  HANDLERS is borrowed until the end.  */
bool ht_client_submit (struct ht_client *client,
                       const struct ht_request *request,
                       const struct ht_client_handlers *handlers,
                       void *context);

/* Go on with EXCHANGE, whose body handler returned false.  Any thread; the
   exchange is named by its serial number because it may have ended.  */
void ht_client_resume (struct ht_client *client, uint64_t serial);

/* Return the serial number of EXCHANGE, unique in the client.  */
uint64_t ht_exchange_id (const struct ht_exchange *exchange);

/* Return the end-to-end headers of the answer as "NAME: VALUE" lines, owned
   by MEM.  Call it from the `headers' handler.  */
char *ht_exchange_response_headers (struct ht_exchange *exchange,
                                    TALLOC_CTX *mem);

/* Return what went wrong with EXCHANGE, for people; never NULL.  Borrowed.  */
const char *ht_exchange_error (const struct ht_exchange *exchange);

/* Return whether the header NAME belongs to one connection, or frames the
   body, and must not be passed on.  */
bool ht_header_is_hop_by_hop (const char *name);

/* Serve requests until ht_client_stop.  HEARTBEAT is called now and then.  */
void ht_client_run (struct ht_client *client, void (*heartbeat) (void *),
                    void *context);

/* End ht_client_run.  Any thread.  */
void ht_client_stop (struct ht_client *client);

#endif
