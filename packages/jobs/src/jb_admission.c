#include "jb_admission.h"

#include <glib.h>

/* Accepted work is done within so long at full use.  A turn of demand that
   asks for half as much again as the pool holds leaves 2.5 s of work behind
   after 5 s, and the valley after it lasts three times as long.  */
#define LONGEST_BACKLOG_MS 20000

/* Accepted jobs of one pool that have not ended; bounds memory.  */
#define MOST_JOBS 20000

#define SHORTEST_RETRY_MS 500

static bool
fits_somewhere (const struct jb_admission_input *input)
{
  for (uint32_t i = 0; i < input->desc->step_count; i++)
    {
      struct jb_resources amount = input->desc->steps[i].resources;

      if (input->desc->steps[i].best_effort)
        amount.cpu_milli = 0;
      if (!jb_resources_fit (&amount, &input->largest_backend))
        return false;
    }
  return true;
}

struct jb_admission
jb_admission_decide (const struct jb_admission_input *input)
{
  struct jb_admission result = { .accepted = true };
  int64_t drain_ms = input->unfinished_work / MAX (input->cpu_capacity, 1);
  bool known = input->largest_backend.cpu_milli > 0;

  if (known && !fits_somewhere (input))
    {
      result.accepted = false;
      result.reason = "no backend server is large enough for one of its tasks";
    }
  else if (input->active_jobs >= MOST_JOBS
           || (known && drain_ms > LONGEST_BACKLOG_MS
               && jb_job_desc_work (input->desc) > 0))
    {
      result.accepted = false;
      result.retry_after_ms
          = MAX (drain_ms - LONGEST_BACKLOG_MS, SHORTEST_RETRY_MS);
      result.reason = "more work has been accepted than is done in time";
    }
  return result;
}
