#include "jb_select.h"

#include <glib.h>
#include <stdlib.h>

/* Part of the capacity that jobs can use: the rest is lost because tasks don't
   fit together.  */
#define USABLE_PERCENT 90

/* A job in the order in which jobs are due.  */
struct due_job
{
  jb_time due_at;
  uint32_t index;
};

static int
compare_due (const void *a, const void *b)
{
  const struct due_job *x = a;
  const struct due_job *y = b;

  if (x->due_at != y->due_at)
    return x->due_at < y->due_at ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
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

/* Return the one of the first COUNT jobs in ORDER that is to be deferred next,
   or NULL if none may be.  */
static struct jb_select_job *
find_next_deferred (struct jb_select_job *jobs, const struct due_job *order,
                    uint32_t count)
{
  struct jb_select_job *best = NULL;

  for (uint32_t i = 0; i < count; i++)
    {
      struct jb_select_job *job = &jobs[order[i].index];

      if (!job->deferred && job->over_share
          && (best == NULL || goes_first (job, best)))
        best = job;
    }
  return best;
}

uint32_t
jb_select_on_time (struct jb_select_job *jobs, uint32_t count,
                   int64_t capacity_cpu_milli, jb_time now)
{
  struct due_job *order = g_new (struct due_job, count + 1);
  int64_t work = 0;
  uint32_t deferred = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      jobs[i].deferred = false;
      order[i] = (struct due_job){ jobs[i].due_at, i };
    }
  qsort (order, count, sizeof *order, compare_due);
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t room = capacity_cpu_milli * USABLE_PERCENT / 100
                     * MAX (order[i].due_at - now, 0) / JB_MS;
      struct jb_select_job *next = NULL;

      work += jobs[order[i].index].remaining_work;
      while (work > room
             && (next = find_next_deferred (jobs, order, i + 1)) != NULL)
        {
          next->deferred = true;
          work -= next->remaining_work;
          deferred++;
        }
    }
  g_free (order);
  return deferred;
}
