#include "jb_throttle.h"

#include <glib.h>

/* Shares of the target, in percent: above the first the pace is halved, above
   the second filling tasks stand still, below the third they gain.  */
#define NEAR_PERCENT 90
#define OVER_PERCENT 120
#define EASY_PERCENT 70

/* Steps up, in percent of full speed.  */
#define STEP_UP 15

/* A pace below this is none.  */
#define LEAST 10

/* The tail is that of the last half second, so a change shows after one; and a
   gain is waited for longer than a loss.  */
#define CUT_PERIOD (600 * JB_MS)
#define GAIN_PERIOD (1500 * JB_MS)

uint32_t
jb_throttle_decide (const struct jb_throttle_input *input, jb_time now)
{
  int64_t share;

  if (input->target_ms <= 0)
    return 100;
  share = input->tail_ms * 100 / input->target_ms;
  if (share > OVER_PERCENT)
    return 0;
  if (share > NEAR_PERCENT)
    {
      if (now - input->changed_at < CUT_PERIOD)
        return input->speed_percent;
      return input->speed_percent / 2 < LEAST ? 0 : input->speed_percent / 2;
    }
  if (share < EASY_PERCENT && now - input->changed_at >= GAIN_PERIOD)
    return MIN (input->speed_percent + STEP_UP, 100);
  return input->speed_percent;
}
