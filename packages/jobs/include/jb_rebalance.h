#ifndef JB_REBALANCE_H
#define JB_REBALANCE_H

/* Rebalancing: decides which hosts move to another pool.

   Expected load: one pool after the other has a surge of demand.  During its
   surge, the demand in a pool is 1.5 times its capacity for some seconds,
   while the other pools are idle.  A host that moves is unavailable for a
   moment, and a move costs about as much as having the host in a pool for a
   second.  So a move pays off if there is work for the host for longer than
   that, and a host that is not needed for some seconds is parked: moved to a
   standby pool, where it costs nothing.  */

#include "jb_types.h"

/* State of a pool.  CPU amounts are in thousandths of a core.  */
struct jb_rebalance_pool
{
  bool standby;                   /* its hosts are switched off */
  bool known;                     /* its load was reported recently */
  int64_t capacity_cpu_milli;     /* of its backend servers */
  int64_t finite_cpu_milli;       /* used by tasks that end by themselves */
  int64_t long_running_cpu_milli; /* used by tasks that run until cancelled */
  int64_t waiting_cpu_milli;      /* wanted by tasks that are ready to start */
  jb_time waiting_since; /* since when any task has been waiting; 0: none is */
  uint32_t hosts;        /* number of hosts that are up in it */
  uint32_t home_hosts;   /* number when it was first listed */
  uint32_t incoming_hosts;      /* number that are moving to it */
  int64_t host_cpu_milli;       /* capacity of one host; 0: unknown */
  bool surge_predicted;         /* not in a surge, and next_surge is known */
  jb_time next_surge;           /* when it is expected to start */
  int64_t surge_peak_cpu_milli; /* highest demand in its last surge */
  int64_t arriving_cpu_milli;   /* see struct jb_msg_load */
};

struct jb_rebalance_host
{
  uint32_t pool;      /* index of its pool */
  bool idle;          /* nothing runs there, or it is switched off */
  jb_time idle_since; /* if `idle' */
  bool available;     /* up, and may be moved now */
};

struct jb_host_move
{
  uint32_t host; /* index of the host */
  uint32_t to;   /* index of the target pool */
};

/* Decide on moves of the HOST_COUNT HOSTS between the POOL_COUNT POOLS.  Write
   at most LIMIT of them to MOVES and return their number.  */
uint32_t jb_rebalance_decide (const struct jb_rebalance_pool *pools,
                              uint32_t pool_count,
                              const struct jb_rebalance_host *hosts,
                              uint32_t host_count, jb_time now,
                              struct jb_host_move *moves, uint32_t limit);

#endif
