#ifndef JB_REBALANCE_H
#define JB_REBALANCE_H

/* Rebalancing: decides which hosts move to another pool.

   Expected load: the pools are in high demand one after the other.  During its
   surge a pool is asked for half as much again as its capacity for some
   seconds, while the other pools stand idle.  A host that moves is unavailable
   for a moment, and a move costs about as much as a second of being in a pool.
   So a host is worth moving for work that fills it for longer than that, and
   worth parking in a standby pool, where it costs nothing, when it is not
   needed for some seconds.  */

#include "jb_types.h"

/* State of a pool.  CPU amounts are in thousandths of a core.  */
struct jb_rebalance_pool
{
  bool standby;                   /* its hosts are off and cost nothing */
  bool known;                     /* its load was reported recently */
  int64_t capacity_cpu_milli;     /* of its backend servers */
  int64_t finite_cpu_milli;       /* used by tasks that end by themselves */
  int64_t long_running_cpu_milli; /* used by tasks that run until cancelled */
  int64_t waiting_cpu_milli;      /* wanted by tasks that are ready to start */
  uint32_t hosts;                 /* that are up in it */
  uint32_t home_hosts;     /* that belong to it, without borrowed ones */
  uint32_t incoming_hosts; /* that are moving to it */
  int64_t host_cpu_milli;  /* capacity of one of its hosts */
  bool surge_predicted;    /* it is in no surge, and next_surge is known */
  jb_time next_surge;      /* expected start */
  int64_t surge_peak_cpu_milli; /* highest demand in its last surge */
  int64_t arriving_cpu_milli;   /* that recently submitted work would fill */
};

struct jb_rebalance_host
{
  uint32_t pool; /* index */
  bool idle;     /* nothing runs there, or it is off */
  jb_time idle_since;
  bool available; /* up, and with no move or maintenance under way */
};

struct jb_host_move
{
  uint32_t host; /* index */
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
