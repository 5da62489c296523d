#ifndef JB_THROTTLE_H
#define JB_THROTTLE_H

/* Decides how fast best-effort tasks run beside services.

   Expected load: the interference with a service changes within seconds, and
   the tail latency of the service must not stay above its target.  So
   best-effort tasks are slowed down at once when the tail latency comes near
   the target, and sped up again in small steps while it is well below.  */

#include "jb_types.h"

struct jb_throttle_input
{
  uint32_t speed_percent; /* current speed */
  /* Tail latency of the service that is closest to, or most above, its
     target.  */
  int64_t tail_ms;
  int64_t target_ms;  /* of that service; 0: there is no service here */
  jb_time changed_at; /* when the speed was last changed; 0: never */
};

/* Return the new speed, in percent of full speed.  */
uint32_t jb_throttle_decide (const struct jb_throttle_input *input,
                             jb_time now);

#endif
