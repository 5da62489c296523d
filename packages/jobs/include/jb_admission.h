#ifndef JB_ADMISSION_H
#define JB_ADMISSION_H

/* Decides whether a job is accepted.

   Expected load: surges that demand several times the capacity of the pool.  A
   backlog that the quiet time after the surge can work off is accepted.  Any
   more would wait until it is of no use, so it is refused at once, with the
   time when capacity is expected.  */

#include "jb_job_desc.h"

struct jb_admission_input
{
  const struct jb_job_desc *desc;
  /* Accepted and not done; thousandths of a core * ms.  */
  int64_t unfinished_work;
  int64_t capacity_cpu_milli; /* for jobs that end, in thousandths of a core */
  /* Capacity of the largest backend server; 0: unknown.  */
  struct jb_resources largest_backend;
  uint32_t active_jobs; /* accepted and not ended */
};

struct jb_admission
{
  bool accepted;
  int64_t retry_after_ms; /* when refused; 0: a retry can't succeed */
  const char *reason;     /* when refused; a static string */
};

/* Return whether the job of INPUT is accepted, and if not why and when to
   retry.  */
struct jb_admission
jb_admission_decide (const struct jb_admission_input *input);

#endif
