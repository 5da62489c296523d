#ifndef JB_SELECT_H
#define JB_SELECT_H

/* Decides which waiting jobs a pool tries to finish on time when it can't
   finish all of them.

   Expected load: a surge in which a pool is asked for more than it holds.  If
   a flood of one organisation were ordered with the others by when jobs are
   due, all would be late.  So jobs of organisations above their share are
   deferred until the others fit, the one with the most work for its value
   first (as Moore and Hodgson's rule has it for all jobs).  */

#include "jb_types.h"

struct jb_select_job
{
  uint32_t priority; /* 0 is the highest */
  jb_time due_at;
  int64_t remaining_work; /* thousandths of a core * ms */
  double value;           /* of the job if it is on time */
  bool over_share;        /* its organisation uses more than its share */
  bool deferred;          /* result: it is not expected to be on time */
};

/* Set `deferred' of the COUNT JOBS, of which each could be on time if it had
   the pool for itself, for a pool that works on them with CAPACITY_CPU_MILLI
   thousandths of a core from NOW on.  Return the number of deferred jobs.  */
uint32_t jb_select_on_time (struct jb_select_job *jobs, uint32_t count,
                            int64_t capacity_cpu_milli, jb_time now);

#endif
