#include "jb_admission.h"

#include <glib.h>

/* Longest accepted backlog, as the time that the pool needs to work it off
   with its whole capacity.  A surge that asks for 1.5 times the capacity for 5
   s leaves a backlog of 2.5 s, and the quiet time after it lasts three times
   as long.  */
#define MAX_BACKLOG_MS 20000

/* Maximum number of accepted jobs of a pool that have not ended; bounds the
   memory that they use.  */
#define MAX_ACTIVE_JOBS 20000

#define MIN_RETRY_AFTER_MS 500

/* Return whether a task of each step fits on the largest backend server.  */
static bool
fits_largest_backend (const struct jb_admission_input *input)
{
  for (uint32_t i = 0; i < input->desc->step_count; i++)
    {
      struct jb_resources required = input->desc->steps[i].resources;

      if (input->desc->steps[i].best_effort)
        required.cpu_milli = 0;
      if (!jb_resources_fit (&required, &input->largest_backend))
        return false;
    }
  return true;
}

struct jb_admission
jb_admission_decide (const struct jb_admission_input *input)
{
  struct jb_admission result = { .accepted = true };
  int64_t backlog_ms
      = input->unfinished_work / MAX (input->capacity_cpu_milli, 1);
  bool capacity_known = input->largest_backend.cpu_milli > 0;

  if (capacity_known && !fits_largest_backend (input))
    {
      result.accepted = false;
      result.reason = "no backend server is large enough for one of its tasks";
    }
  else if (input->active_jobs >= MAX_ACTIVE_JOBS
           || (capacity_known && backlog_ms > MAX_BACKLOG_MS
               && jb_job_desc_work (input->desc) > 0))
    {
      result.accepted = false;
      result.retry_after_ms
          = MAX (backlog_ms - MAX_BACKLOG_MS, MIN_RETRY_AFTER_MS);
      result.reason
          = "accepted work can't be done in time: the backlog is too long";
    }
  return result;
}
