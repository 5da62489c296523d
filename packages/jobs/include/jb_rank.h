#ifndef JB_RANK_H
#define JB_RANK_H

/* Order of waiting jobs.

   Load that this answers: a pool is asked for more than it holds for some
   seconds, and for next to nothing afterwards.  Not all jobs can be on time.
   Those that still can go first, the ones that earn most for the room that
   they take before the others; a job that has begun needs less and so moves
   forward.  What is late anyway fills the valley.  */

#include "jb_types.h"

enum jb_rank_class
{
  JB_RANK_LONG_RUNNING, /* earns as long as it runs, and is owed at once */
  JB_RANK_ON_TIME,      /* can still be on time */
  JB_RANK_LATE,         /* can still earn a little */
  JB_RANK_OVERDUE,      /* earns nothing, but is owed */
  JB_RANK_BEST_EFFORT   /* takes only what is left */
};

struct jb_rank_input
{
  bool long_running;
  bool best_effort;
  uint32_t priority;
  int64_t total_work;      /* of the job; thousandths of cores times ms */
  int64_t remaining_work;  /* of what has not been done */
  int64_t queue_mean_work; /* of the jobs of its queue */
  int64_t critical_path_ms;
  jb_time received_at;
  jb_time due_at;
};

struct jb_rank
{
  uint32_t priority;
  enum jb_rank_class class;
  jb_time latest_start; /* to be on time */
  double value_density; /* for the room it takes; higher goes first */
  jb_time received_at;
};

struct jb_rank jb_rank_compute (const struct jb_rank_input *input,
                                jb_time now);

/* Compare as qsort does: what goes first is less.  */
int jb_rank_compare (const struct jb_rank *a, const struct jb_rank *b);

/* Return what a job of WORK is worth, where MEAN_WORK is that of its queue. */
double jb_rank_value (int64_t work, int64_t mean_work);

#endif
