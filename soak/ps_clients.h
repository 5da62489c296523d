#ifndef PS_CLIENTS_H
#define PS_CLIENTS_H

/* Clients that keep connections to an entry host open while it stops, and send
   requests over them at random times until its process is gone.  Some have
   sent half of a request before.

   A request that was sent whole must be answered completely, or its connection
   must end at most 200 ms after its last byte was sent.  */

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

struct ps_clients;

struct ps_clients_result
{
  uint32_t answered;
  uint32_t closed;     /* before their request was sent, or soon after */
  uint32_t unanswered; /* against the rule */
  int64_t max_age_ms;  /* of these: the longest time until the connection
                          ended, or until the last check */
};

/* Open COUNT connections to ADDRESS and send a request over each, and after
   DELAY_US and during DURATION_US another one, on a thread of their own.  SEED
   determines when.  */
struct ps_clients *ps_clients_start (const struct sockaddr_in *address,
                                     uint32_t count, int64_t delay_us,
                                     int64_t duration_us, uint32_t seed);

/* Wait until each connection has ended or got its answer, at most a second
   after the duration.  Free CLIENTS and return what they have seen.  */
struct ps_clients_result ps_clients_finish (struct ps_clients *clients);

#endif
