#ifndef JB_THROTTLE_H
#define JB_THROTTLE_H

/* How fast filling tasks work beside tasks that serve.

   Load that this answers: what disturbs a serving task changes within seconds,
   and its tail must not stay above its target.  So filling tasks are slowed
   down at once when the tail comes near the target, and let go again in small
   steps while there is room.  */

#include "jb_types.h"

struct jb_throttle_input
{
  uint32_t speed_percent; /* pace now */
  int64_t tail_ms;    /* of the serving task that is closest to its target */
  int64_t target_ms;  /* of that task; 0: none serves here */
  jb_time changed_at; /* when the pace was last changed; 0: never */
};

/* Return the pace from now on, in percent.  */
uint32_t jb_throttle_decide (const struct jb_throttle_input *input,
                             jb_time now);

#endif
