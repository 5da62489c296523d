#ifndef JB_RANK_H
#define JB_RANK_H

/* Decides the order of waiting jobs.

   Expected load: a pool is asked for more than its capacity for some seconds,
   and for almost nothing afterwards.  Not all jobs can be on time.  Among jobs
   of the same priority, those that still can go first, ordered by their latest
   start time.  Late jobs follow, ordered by their value relative to the work
   that remains, so that a job that has begun moves forward.  Jobs that are too
   late to be of value run when demand is low.  */

#include "jb_types.h"

enum jb_rank_class
{
  /* Is of value while it runs, so it is due at once.  */
  JB_RANK_LONG_RUNNING,
  JB_RANK_ON_TIME,    /* can still be on time */
  JB_RANK_DEFERRED,   /* could be on time, but others go first */
  JB_RANK_LATE,       /* can't be on time, but is of some value */
  JB_RANK_OVERDUE,    /* too late to be of value, but must still run */
  JB_RANK_BEST_EFFORT /* uses only idle capacity */
};

struct jb_rank_input
{
  bool long_running;
  bool best_effort;
  bool deferred; /* jb_select_on_time has deferred its job */
  uint32_t priority;
  int64_t total_work; /* of the job; thousandths of a core * ms */
  /* jb_rank_work_divisor of the work of the tasks that are not done.  */
  double work_divisor;
  int64_t queue_mean_work;  /* mean total_work of the jobs of its queue */
  int64_t critical_path_ms; /* from the step that waits to the job's end */
  jb_time received_at;
  jb_time due_at;
};

struct jb_rank
{
  uint32_t priority;
  enum jb_rank_class class;
  jb_time latest_start; /* a later start makes the job late */
  double value_density; /* value per remaining work; higher goes first */
  jb_time received_at;
};

/* Return what the value of a job with REMAINING_WORK, in thousandths of a core
   * ms, is divided by.  It takes much longer to compute than the rest of a
   rank.  */
double jb_rank_work_divisor (int64_t remaining_work);

/* Return the rank of the waiting job that INPUT describes.  */
struct jb_rank jb_rank_compute (const struct jb_rank_input *input,
                                jb_time now);

/* Return a negative number when A goes before B, a positive one when it goes
   after B, and 0 when they are equal.  */
int jb_rank_compare (const struct jb_rank *a, const struct jb_rank *b);

/* Return the value of a job with WORK in a queue whose jobs have MEAN_WORK; a
   job of mean work has the value 1.  */
double jb_rank_value (int64_t work, int64_t mean_work);

#endif
