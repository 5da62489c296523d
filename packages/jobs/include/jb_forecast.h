#ifndef JB_FORECAST_H
#define JB_FORECAST_H

/* Forecast of the pools' next surges of demand.

   Expected load: the pools are in high demand one after the other, and in next
   to none in between.  The start times of each pool's last two surges are
   kept.  A pool that has had two surges is expected to have the next one after
   the same interval.  One that has had a single surge is expected to have the
   next one when each of the other pools has had its surge, assuming the mean
   interval between the surges seen so far.  No surge is expected of a pool
   that has not had one.  */

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
  int64_t peak_cpu_milli;       /* highest demand in the last surge */
};

/* Record that the demand for POOL, whose capacity is CAPACITY_CPU_MILLI, is
   DEMAND_CPU_MILLI now, both in thousandths of a core.  */
void jb_forecast_record (struct jb_forecast_pool *pool, jb_time now,
                         int64_t demand_cpu_milli, int64_t capacity_cpu_milli);

/* Return when the next surge of POOLS[INDEX] is expected to start, or JB_NEVER
   if that is unknown.  COUNT is the number of POOLS.  */
jb_time jb_forecast_next_surge (const struct jb_forecast_pool *pools,
                                uint32_t count, uint32_t index);

#endif
