#ifndef PS_HARNESS_H
#define PS_HARNESS_H

/* Connects a simulation (jw_world.h) with entry hosts that run as processes:
   its store, backend servers and list of hosts are served over HTTP, its
   clients send calls over HTTP, and its faults on entry hosts are signals to
   processes.

   All addresses that entry host I uses, its own included, are in
   127.NETWORK.I+1.0/24.  So the address that a request is sent to tells which
   host sent it, and a single host can be cut off.  */

#include "jw_world.h"

#include <netinet/in.h>

struct ps_options
{
  const char *program;   /* path of dogwoodpulleyd */
  const char *directory; /* for settings files and logs */
  uint32_t network;      /* second byte of all addresses, 1 to 254 */
  /* Limits in the settings of each entry host.  */
  uint32_t memory_mb;
  uint32_t max_descriptors;
};

struct ps_harness;

/* Return a new harness, owned by MEM, or NULL if its port is in use.  Only one
   may exist at a time.  Freeing it kills the processes that it started.  */
struct ps_harness *ps_harness_new (TALLOC_CTX *mem,
                                   const struct ps_options *options);

/* Return the values for struct jw_options, borrowed.  */
const struct jw_external_hosts *
ps_harness_external_hosts (const struct ps_harness *harness);
const char *ps_harness_network_prefix (const struct ps_harness *harness);
uint32_t ps_harness_backend_port (const struct ps_harness *harness);

/* Acquire and release the lock under which a simulation runs.  */
void ps_harness_lock (struct ps_harness *harness);
void ps_harness_unlock (struct ps_harness *harness);

/* Set the simulation that handles requests.  With NULL, the connections of
   pending and of later requests are closed without a response.  The caller
   holds the lock.  */
void ps_harness_set_world (struct ps_harness *harness, struct jw_world *world);

/* Return the address at which entry host INDEX serves clients.  */
struct sockaddr_in ps_harness_client_address (const struct ps_harness *harness,
                                              uint32_t index);

/* From now on let entry host INDEX run only 12 ms in each 100 ms, as one does
   that has an eighth of a core; with JW_MAX_HOST_COUNT, none.  It is not
   counted as disturbed: it must keep all rules.  The caller holds the lock. */
void ps_harness_set_slow_host (struct ps_harness *harness, uint32_t index);

/* Return the number of entry hosts that crashed since the last call: that
   ended although they were neither stopped nor killed, or that failed while
   they stopped.  */
uint32_t ps_harness_take_crash_count (struct ps_harness *harness);

#endif
