#include "jb_throttle.h"

#include <glib.h>

/* Shares of the target, in percent: above the first the pace is halved, above
   the second filling tasks stand still, below the third they gain.  */
#define SLOW_DOWN_PERCENT 90
#define STOP_PERCENT 120
#define SPEED_UP_PERCENT 70

/* Steps up, in percent of full speed.  */
#define SPEED_STEP_PERCENT 15

/* A pace below this is none.  */
#define MIN_SPEED_PERCENT 10

/* The tail is that of the last half second, so a change shows after one; and a
   gain is waited for longer than a loss.  */
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
