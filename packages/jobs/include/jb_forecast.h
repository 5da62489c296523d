#ifndef JB_FORECAST_H
#define JB_FORECAST_H

/* When a pool's demand is expected to rise next.

   Load that this answers: pools are asked for much by turns, and for next to
   nothing in between.  The times of the rises are remembered.  A pool that has
   had two expects the next after the same time; one that has had one expects
   it when each of the others has had its turn, as long as the others' turns
   have been.  Nothing is expected of a pool that has not had a turn.  */

#include "jb_types.h"

enum
{
  JB_FORECAST_MAX_POOLS = 64
};

struct jb_forecast_pool
{
  bool in_turn;
  jb_time rose;   /* start of the last turn; 0: there was none */
  jb_time before; /* start of the one before; 0: there was none */
  jb_time fell;   /* end of the last turn; 0: there was none */
  int64_t peak;   /* highest demand in the last turn */
};

/* Note that POOL is asked for DEMAND where it holds ROOM, both in thousandths
   of cores.  */
void jb_forecast_record (struct jb_forecast_pool *pool, jb_time now,
                         int64_t demand, int64_t room);

/* Return when the next turn of POOLS[AT] is expected; JB_NEVER: it is not
   known.  */
jb_time jb_forecast_next_surge (const struct jb_forecast_pool *pools,
                                uint32_t count, uint32_t at);

#endif
