#ifndef PS_LIVE_H
#define PS_LIVE_H

/* Real entry hosts around an emulated world: the world's store, backend
   servers and list of hosts are served over HTTP, its clients call over HTTP,
   and its faults on hosts are signals to processes.

   All of host I's addresses lie in 127.NETWORK.I+1.0/24, so that it is known
   whose request arrives, to cut a host off.  */

#include "jw_world.h"

struct ps_options
{
  const char *program;   /* dogwoodpulleyd */
  const char *directory; /* for settings files and logs */
  uint32_t network;      /* 1 to 254 */
};

struct ps_live;

/* Return a new stand-in, owned by MEM, or NULL when its port is taken.  Only
   one may exist.  Freeing it ends the processes that it started.  */
struct ps_live *ps_live_new (TALLOC_CTX *mem,
                             const struct ps_options *options);

/* What a world needs to be played with real processes.  */
const struct jw_external_hosts *ps_live_outside (const struct ps_live *live);
const char *ps_live_network (const struct ps_live *live);
uint32_t ps_live_port (const struct ps_live *live);

/* Take and give up the world's lock; a world runs under it.  */
void ps_live_lock (struct ps_live *live);
void ps_live_unlock (struct ps_live *live);

/* The world that requests reach from now on; NULL: none, they are broken off.
   Call it with the lock.  */
void ps_live_world (struct ps_live *live, struct jw_world *world);

/* Return the number of entry hosts that ended by themselves since the last
   call.  */
uint32_t ps_live_crashes (struct ps_live *live);

#endif
