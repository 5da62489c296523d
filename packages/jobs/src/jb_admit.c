#include "jb_admit.h"

#include <glib.h>

/* Accepted work is done within so long at full use.  A turn of demand that
   asks for half as much again as the pool holds leaves 2.5 s of work behind
   after 5 s, and the valley after it lasts three times as long.  */
#define LONGEST_BACKLOG_MS 20000

/* Accepted jobs of one pool that have not ended; bounds memory.  */
#define MOST_JOBS 20000

#define SHORTEST_RETRY_MS 500

static bool
fits_somewhere (const struct jb_admit_input *input)
{
  for (uint32_t i = 0; i < input->desc->step_count; i++)
    {
      struct jb_amount amount = input->desc->steps[i].amount;

      if (input->desc->steps[i].fills)
        amount.cpu = 0;
      if (!jb_amount_fits (&amount, &input->largest))
        return false;
    }
  return true;
}

struct jb_admit
jb_admit (const struct jb_admit_input *input)
{
  struct jb_admit result = { .accepted = true };
  int64_t drain_ms = input->waiting_work / MAX (input->room, 1);
  bool known = input->largest.cpu > 0;

  if (known && !fits_somewhere (input))
    {
      result.accepted = false;
      result.reason = "no backend server is large enough for one of its tasks";
    }
  else if (input->jobs >= MOST_JOBS
           || (known && drain_ms > LONGEST_BACKLOG_MS
               && jb_desc_work (input->desc) > 0))
    {
      result.accepted = false;
      result.retry_after_ms
          = MAX (drain_ms - LONGEST_BACKLOG_MS, SHORTEST_RETRY_MS);
      result.reason = "more work has been accepted than is done in time";
    }
  return result;
}
