#ifndef IGNORING_PLANNER_H
#define IGNORING_PLANNER_H

/* Functions of a planner's options that ignore what they are given, for tests
   that observe something else.  */

#include "jb_planner.h"

static inline void
ignore_evacuation (void *data, jb_time now,
                   const struct jb_msg_evacuate *evacuate)
{
  (void)data;
  (void)now;
  (void)evacuate;
}

static inline void
ignore_arrival (void *data, jb_time now, const char *pool)
{
  (void)data;
  (void)now;
  (void)pool;
}

static inline void
ignore_state (void *data)
{
  (void)data;
}

#endif
