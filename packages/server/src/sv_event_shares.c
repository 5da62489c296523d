#include "sv_event_shares.h"

#include <glib.h>

/* By how much the processing time of each class counts.  */
static const int64_t cost_factors[EVENT_CLASS_COUNT]
    = { [EVENT_CLASS_REPLY] = 1,
        [EVENT_CLASS_CALL] = 1,
        [EVENT_CLASS_PEER] = 1,
        [EVENT_CLASS_VIEW] = 4 };

enum event_class
sv_event_shares_choose (struct sv_event_shares *shares, const bool waiting[])
{
  enum event_class chosen = EVENT_CLASS_COUNT;

  for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
    {
      if (!waiting[i])
        continue;
      /* What a class left unused while it had no events doesn't count.  */
      shares->charged_us[i] = MAX (shares->charged_us[i], shares->clock_us);
      if (chosen == EVENT_CLASS_COUNT
          || shares->charged_us[i] < shares->charged_us[chosen])
        chosen = i;
    }
  if (chosen != EVENT_CLASS_COUNT)
    shares->clock_us = shares->charged_us[chosen];
  return chosen;
}

void
sv_event_shares_charge (struct sv_event_shares *shares, enum event_class class,
                        int64_t cost_us)
{
  /* At least 1, so that events too short to be measured take turns, too.  */
  shares->charged_us[class] += MAX (cost_us, 1) * cost_factors[class];
}
