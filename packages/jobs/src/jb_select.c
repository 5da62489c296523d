#include "jb_select.h"

#include <glib.h>
#include <stdlib.h>

/* Part of the capacity that jobs can use: the rest is lost because tasks don't
   fit together.  */
#define USABLE_PERCENT 90

static int
compare_due (const void *a, const void *b)
{
  const struct jb_select_job *x = *(struct jb_select_job *const *)a;
  const struct jb_select_job *y = *(struct jb_select_job *const *)b;

  return x->due_at < y->due_at ? -1 : x->due_at > y->due_at;
}

/* Return whether A is to be deferred before B.  */
static bool
goes_first (const struct jb_select_job *a, const struct jb_select_job *b)
{
  if (a->priority != b->priority)
    return a->priority > b->priority;
  return (double)a->remaining_work * b->value
         > (double)b->remaining_work * a->value;
}

/* Return the index of the job among the first COUNT JOBS that is to be
   deferred next, or COUNT if all are.  */
static uint32_t
find_next_deferred (struct jb_select_job *const *jobs, uint32_t count)
{
  uint32_t best = count;

  for (uint32_t i = 0; i < count; i++)
    if (!jobs[i]->deferred && jobs[i]->over_share
        && (best == count || goes_first (jobs[i], jobs[best])))
      best = i;
  return best;
}

uint32_t
jb_select_on_time (struct jb_select_job **jobs, uint32_t count,
                   int64_t capacity_cpu_milli, jb_time now)
{
  int64_t work = 0;
  uint32_t deferred = 0;

  qsort (jobs, count, sizeof *jobs, compare_due);
  for (uint32_t i = 0; i < count; i++)
    jobs[i]->deferred = false;
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t room = capacity_cpu_milli * USABLE_PERCENT / 100
                     * MAX (jobs[i]->due_at - now, 0) / JB_MS;

      work += jobs[i]->remaining_work;
      while (work > room)
        {
          uint32_t next = find_next_deferred (jobs, i + 1);

          if (next > i)
            break;
          jobs[next]->deferred = true;
          work -= jobs[next]->remaining_work;
          deferred++;
        }
    }
  return deferred;
}
