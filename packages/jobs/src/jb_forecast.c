#include "jb_forecast.h"

#include <glib.h>
#include <stdlib.h>

/* A turn starts above, and ends below, these shares of a pool's room, in
   percent.  */
#define RISE_PERCENT 60
#define FALL_PERCENT 25

void
jb_forecast_record (struct jb_forecast_pool *pool, jb_time now, int64_t demand,
                    int64_t room)
{
  if (room <= 0)
    return;
  if (!pool->in_turn && demand * 100 > room * RISE_PERCENT)
    {
      pool->in_turn = true;
      pool->before = pool->rose;
      pool->rose = now;
      pool->peak = 0;
    }
  if (!pool->in_turn)
    return;
  pool->peak = MAX (pool->peak, demand);
  if (demand * 100 < room * FALL_PERCENT)
    {
      pool->in_turn = false;
      pool->fell = now;
    }
}

static int
compare_times (const void *a, const void *b)
{
  jb_time x = *(const jb_time *)a;
  jb_time y = *(const jb_time *)b;

  return x < y ? -1 : x > y;
}

/* Return the mean time from one pool's rise to the next one's, or 0.  */
static jb_time
mean_step (const struct jb_forecast_pool *pools, uint32_t count)
{
  jb_time rises[2 * JB_FORECAST_MAX_POOLS];
  uint32_t n = 0;

  for (uint32_t i = 0; i < count && i < JB_FORECAST_MAX_POOLS; i++)
    {
      if (pools[i].rose != 0)
        rises[n++] = pools[i].rose;
      if (pools[i].before != 0)
        rises[n++] = pools[i].before;
    }
  if (n < 2)
    return 0;
  qsort (rises, n, sizeof rises[0], compare_times);
  return (rises[n - 1] - rises[0]) / (n - 1);
}

jb_time
jb_forecast_next_surge (const struct jb_forecast_pool *pools, uint32_t count,
                        uint32_t at)
{
  const struct jb_forecast_pool *pool = &pools[at];
  jb_time step;

  if (pool->rose == 0)
    return JB_NEVER;
  if (pool->before != 0)
    return pool->rose + (pool->rose - pool->before);
  step = mean_step (pools, count);
  return step > 0 ? pool->rose + step * count : JB_NEVER;
}
