#include "jb_throttle.h"

#include <glib.h>

/* Bounds of the service's tail latency, in percent of its target: above the
   first, the speed of best-effort tasks is halved; above the second, they
   pause; below the third, their speed is increased.  */
#define SLOW_DOWN_PERCENT 90
#define STOP_PERCENT 120
#define SPEED_UP_PERCENT 70

/* Increase of the speed in one step, in percent of full speed.  */
#define SPEED_STEP_PERCENT 15

/* A lower speed becomes 0.  */
#define MIN_SPEED_PERCENT 10

/* Minimum time since the last change before the speed is halved, or increased.
   The tail latency covers the last 500 ms, so it shows the full effect of a
   change after that time.  */
#define SLOW_DOWN_INTERVAL (600 * JB_MS)
#define SPEED_UP_INTERVAL (1500 * JB_MS)

uint32_t
jb_throttle_decide (const struct jb_throttle_input *input, jb_time now)
{
  int64_t tail_percent;

  if (input->target_ms <= 0)
    return 100;
  tail_percent = input->tail_ms * 100 / input->target_ms;
  if (tail_percent > STOP_PERCENT)
    return 0;
  if (tail_percent > SLOW_DOWN_PERCENT)
    {
      if (now - input->changed_at < SLOW_DOWN_INTERVAL)
        return input->speed_percent;
      return input->speed_percent / 2 < MIN_SPEED_PERCENT
                 ? 0
                 : input->speed_percent / 2;
    }
  if (tail_percent < SPEED_UP_PERCENT
      && now - input->changed_at >= SPEED_UP_INTERVAL)
    return MIN (input->speed_percent + SPEED_STEP_PERCENT, 100);
  return input->speed_percent;
}
