#ifndef JB_REBALANCE_H
#define JB_REBALANCE_H

/* Which hosts change their pool.

   Load that this answers: the pools' demand rises and falls by turns.  In its
   turn a pool is asked for half as much again as it holds for some seconds,
   while the others stand idle.  A host that is moved is away for a moment and
   costs about as much as it does in a second of standing in a pool, so it is
   worth moving for work that fills it for longer than that, and worth parking
   in a standby pool, where it costs nothing, when it is not needed for some
   seconds.  */

#include "jb_types.h"

struct jb_rebalance_pool
{
  bool standby;
  bool known;                     /* its load has been told a moment ago */
  int64_t capacity_cpu_milli;     /* thousandths of cores */
  int64_t finite_cpu_milli;       /* of these by finite tasks */
  int64_t long_running_cpu_milli; /* by lasting tasks */
  int64_t waiting_cpu_milli;      /* asked for by tasks whose turn has come */
  uint32_t hosts;                 /* up, in it */
  uint32_t home_hosts;          /* hosts that it has when nobody is in need */
  uint32_t incoming_hosts;      /* hosts on their way to it */
  int64_t host_cpu_milli;       /* of one host */
  bool surge_predicted;         /* its next turn is expected at a known time */
  jb_time next_surge;           /* that time */
  int64_t surge_peak_cpu_milli; /* demand in its last turn */
  int64_t
      arriving_cpu_milli; /* work that is handed in, as cores that it fills */
};

struct jb_rebalance_host
{
  uint32_t pool; /* index */
  bool idle;     /* nothing runs there, or it is off */
  jb_time idle_since;
  bool available; /* not wanted for anything else */
};

struct jb_host_move
{
  uint32_t host; /* index */
  uint32_t to;   /* index of a pool */
};

/* Decide on moves of HOSTS between POOLS.  Write at most LIMIT of them to
   MOVES and return their number.  */
uint32_t jb_rebalance_decide (const struct jb_rebalance_pool *pools,
                              uint32_t pool_count,
                              const struct jb_rebalance_host *hosts,
                              uint32_t host_count, jb_time now,
                              struct jb_host_move *moves, uint32_t limit);

#endif
