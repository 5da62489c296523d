#include "jb_forecast.h"

#include <glib.h>
#include <stdlib.h>

/* A surge starts when the demand rises above the first of these percentages of
   the pool's capacity, and ends when it falls below the second.  */
#define SURGE_START_PERCENT 60
#define SURGE_END_PERCENT 25

/* Surges are no longer expected when none has started for this multiple of the
   longest interval between two known ones.  */
#define PATTERN_END_FACTOR 2

void
jb_forecast_record (struct jb_forecast_pool *pool, jb_time now,
                    int64_t demand_cpu_milli, int64_t capacity_cpu_milli)
{
  if (capacity_cpu_milli <= 0)
    return;
  if (!pool->in_surge
      && demand_cpu_milli * 100 > capacity_cpu_milli * SURGE_START_PERCENT)
    {
      pool->in_surge = true;
      pool->previous_surge_start = pool->surge_start;
      pool->surge_start = now;
      pool->peak_cpu_milli = 0;
    }
  if (!pool->in_surge)
    return;
  pool->peak_cpu_milli = MAX (pool->peak_cpu_milli, demand_cpu_milli);
  if (demand_cpu_milli * 100 < capacity_cpu_milli * SURGE_END_PERCENT)
    {
      pool->in_surge = false;
      pool->surge_end = now;
    }
}

static int
compare_times (const void *a, const void *b)
{
  jb_time x = *(const jb_time *)a;
  jb_time y = *(const jb_time *)b;

  return x < y ? -1 : x > y;
}

/* The known surges of all pools together.  */
struct surge_pattern
{
  jb_time mean_interval;    /* between the starts of two consecutive ones, of
                               the same pool or of different ones; 0 if fewer
                               than two surges are known */
  jb_time longest_interval; /* as above */
  jb_time last_start;       /* of the newest one */
};

static struct surge_pattern
find_pattern (const struct jb_forecast_pool *pools, uint32_t count)
{
  struct surge_pattern pattern = { 0 };
  jb_time starts[2 * JB_FORECAST_MAX_POOLS];
  uint32_t n = 0;

  for (uint32_t i = 0; i < count && i < JB_FORECAST_MAX_POOLS; i++)
    {
      if (pools[i].surge_start != 0)
        starts[n++] = pools[i].surge_start;
      if (pools[i].previous_surge_start != 0)
        starts[n++] = pools[i].previous_surge_start;
    }
  if (n < 2)
    return pattern;
  qsort (starts, n, sizeof starts[0], compare_times);
  pattern.mean_interval = (starts[n - 1] - starts[0]) / (n - 1);
  pattern.last_start = starts[n - 1];
  for (uint32_t i = 1; i < n; i++)
    pattern.longest_interval
        = MAX (pattern.longest_interval, starts[i] - starts[i - 1]);
  return pattern;
}

jb_time
jb_forecast_next_surge (const struct jb_forecast_pool *pools, uint32_t count,
                        uint32_t index, jb_time now)
{
  const struct jb_forecast_pool *pool = &pools[index];
  struct surge_pattern pattern;

  if (pool->surge_start == 0)
    return JB_NEVER;
  pattern = find_pattern (pools, count);
  if (pattern.mean_interval == 0
      || now - pattern.last_start
             > PATTERN_END_FACTOR * pattern.longest_interval)
    return JB_NEVER;
  if (pool->previous_surge_start != 0)
    return pool->surge_start
           + (pool->surge_start - pool->previous_surge_start);
  return pool->surge_start + pattern.mean_interval * count;
}
