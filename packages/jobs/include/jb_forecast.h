#ifndef JB_FORECAST_H
#define JB_FORECAST_H

/* Forecast of when each pool's next surge of demand starts.

   Expected load: one pool after the other has a surge of demand, and nearly no
   demand until its next one.  The start times of each pool's last two surges
   are kept.  After two surges, the next one is expected after the interval
   between them.  After a single surge, the next one is expected when every
   other pool has had its turn: after as many mean intervals between the known
   surges of all pools as there are pools.  A pool that has had no surge has no
   forecast, and none has one when no surge has started anywhere for much
   longer than between the known ones.  */

#include "jb_types.h"

enum
{
  JB_FORECAST_MAX_POOLS = 64
};

/* Demand history of a pool.  */
struct jb_forecast_pool
{
  bool in_surge;
  jb_time surge_start;          /* of the last surge; 0: there was none */
  jb_time previous_surge_start; /* of the one before; 0: there was none */
  jb_time surge_end;            /* of the last surge; 0: there was none */
  int64_t peak_cpu_milli;       /* highest demand during the last surge */
};

/* Record that the demand for CPU in POOL is DEMAND_CPU_MILLI now and its
   capacity CAPACITY_CPU_MILLI, both in thousandths of a core.  A pool without
   capacity is not recorded.  */
void jb_forecast_record (struct jb_forecast_pool *pool, jb_time now,
                         int64_t demand_cpu_milli, int64_t capacity_cpu_milli);

/* Return when the next surge of POOLS[INDEX] is expected to start, which may
   be before NOW, or JB_NEVER if there is no forecast.  COUNT is the number of
   POOLS.  */
jb_time jb_forecast_next_surge (const struct jb_forecast_pool *pools,
                                uint32_t count, uint32_t index, jb_time now);

#endif
