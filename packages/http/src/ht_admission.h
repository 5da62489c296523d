#ifndef HT_ADMISSION_H
#define HT_ADMISSION_H

/* Decides which of a server's connections are closed so that clients that hold
   them keep neither others out nor more memory than the server may have.  No
   input or output, clock or lock: times are arguments, in microseconds, and
   don't decrease.

   The memory of a server is divided: a part for each connection, which the
   HTTP library allocates, limits their number, and the rest is for the bodies
   of their requests.

   When there are too many connections, the one goes that has been longest
   without completing a request, and when the bodies need too much, the one
   among these that has a body.  Ordinary clients complete their requests
   within milliseconds, so it is one of those that stopped short, as long as
   fewer new ones come in that time than the server may have.  A connection
   that waits for its response is never closed: the request may run.  So those
   that wait may have half of the memory for bodies, and further requests are
   refused; otherwise they could keep all others out.

   Expected load: up to 2,000 connections, most of them idle or waiting, a few
   hundred requests a second; or as many, all of them stopped short.  */

#include "ht_server.h"

#include <glib.h>

enum
{
  /* A complete body is held twice: as received, and as parsed or in the
     request to a backend server.  */
  HT_BODY_COST = 2
};

struct ht_admission_options
{
  unsigned max_connections;
  size_t max_body_bytes; /* for all bodies together, each counted HT_BODY_COST
                            times */
  int64_t idle_timeout_us;    /* without the first line of a request */
  int64_t header_timeout_us;  /* from there to the end of the header */
  int64_t body_timeout_us;    /* from there to the end of the body */
  int64_t discard_timeout_us; /* from when a body exceeds its limit */
  /* A request that takes longer to arrive is taken to be held back: it goes
     before an idle connection.  */
  int64_t stalled_after_us;
};

enum ht_connection_state
{
  HT_CONNECTION_NEW,        /* without a request yet */
  HT_CONNECTION_HEADER,     /* the header of a request is arriving */
  HT_CONNECTION_BODY,       /* its body is arriving */
  HT_CONNECTION_DISCARDING, /* a body over the limit is arriving */
  HT_CONNECTION_WAITING,    /* the request is complete, its response not */
  HT_CONNECTION_IDLE,       /* all requests have their responses */
  HT_CONNECTION_CLOSING     /* chosen to be closed */
};

/* A connection; embedded in the caller's own record of it.  All members are
   private, except that the caller may read STATE.  */
struct ht_admitted
{
  enum ht_connection_state state;
  int64_t since;     /* accepted, or began its current request */
  int64_t deadline;  /* for the current state */
  size_t body_bytes; /* counted for its body */
  GList link;        /* in the list of its state, DATA is this */
};

struct ht_admission;

struct ht_admission *
ht_admission_new (TALLOC_CTX *mem, const struct ht_admission_options *options);

/* ADMITTED is a new connection.  */
void ht_admission_open (struct ht_admission *admission,
                        struct ht_admitted *admitted, int64_t now);

/* The connection has been closed, for whatever reason.  */
void ht_admission_close (struct ht_admission *admission,
                         struct ht_admitted *admitted);

/* The connection has entered STATE, one from HEADER to IDLE.  Without effect
   when it is to be closed.  */
void ht_admission_enter (struct ht_admission *admission,
                         struct ht_admitted *admitted,
                         enum ht_connection_state state, int64_t now);

/* The body of the connection's request occupies BYTES.  */
void ht_admission_set_body (struct ht_admission *admission,
                            struct ht_admitted *admitted, size_t bytes);

/* Return a connection that has to be closed because there are too many
   connections or bytes, or NULL.  Set REASON.  Call it again until it returns
   NULL.  The connection returned counts no more.  */
struct ht_admitted *ht_admission_next_victim (struct ht_admission *admission,
                                              int64_t now,
                                              enum ht_rejection *reason);

/* As ht_admission_next_victim, for a connection whose deadline has passed.  */
struct ht_admitted *ht_admission_next_overdue (struct ht_admission *admission,
                                               int64_t now);

/* Return the connections without a request, new or idle, and with RECEIVING
   those whose request is not complete, too: a list of struct ht_admitted that
   the caller frees with g_list_free.  */
GList *ht_admission_list_unused (const struct ht_admission *admission,
                                 bool receiving);

/* ADMITTED, which is not to be closed yet, is chosen to be closed.  It counts
   no more.  */
void ht_admission_begin_close (struct ht_admission *admission,
                               struct ht_admitted *admitted);

/* Return whether the connection, whose request is complete, may wait for its
   response, or has to be refused because of its body.  */
bool ht_admission_may_wait (const struct ht_admission *admission,
                            const struct ht_admitted *admitted);

/* Return the number of connections that are not to be closed, and the bytes
   counted for their bodies.  */
unsigned ht_admission_count (const struct ht_admission *admission);
size_t ht_admission_body_bytes (const struct ht_admission *admission);

/* Divide BYTES between connections, which take CONNECTION_BYTES each, and
   bodies: set MAX_CONNECTIONS of OPTIONS to at most LIMIT, and
   MAX_BODY_BYTES to what they leave, at least a quarter of BYTES and enough
   for two bodies of BODY_LIMIT bytes.  */
void ht_admission_divide (struct ht_admission_options *options, size_t bytes,
                          size_t connection_bytes, unsigned limit,
                          size_t body_limit);

#endif
