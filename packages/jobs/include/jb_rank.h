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
  JB_RANK_LASTING, /* earns as long as it runs, and is owed at once */
  JB_RANK_ON_TIME, /* can still be on time */
  JB_RANK_LATE,    /* can still earn a little */
  JB_RANK_OVERDUE, /* earns nothing, but is owed */
  JB_RANK_FILLING  /* takes only what is left */
};

struct jb_rank_input
{
  bool lasts;
  bool fills;
  uint32_t priority;
  int64_t work;      /* of the job; thousandths of cores times ms */
  int64_t work_left; /* of what has not been done */
  int64_t mean_work; /* of the jobs of its queue */
  int64_t chain_left_ms;
  jb_time received;
  jb_time objective;
};

struct jb_rank
{
  uint32_t priority;
  enum jb_rank_class class;
  jb_time latest_start; /* to be on time */
  double worth;         /* for the room it takes; higher goes first */
  jb_time received;
};

struct jb_rank jb_rank (const struct jb_rank_input *input, jb_time now);

/* Compare as qsort does: what goes first is less.  */
int jb_rank_compare (const struct jb_rank *a, const struct jb_rank *b);

/* Return what a job of WORK is worth, where MEAN_WORK is that of its queue. */
double jb_rank_worth (int64_t work, int64_t mean_work);

#endif
