#ifndef JB_ADMISSION_H
#define JB_ADMISSION_H

/* Decides whether a job is accepted.

   Expected load: surges that demand several times the capacity of the pool.
   Jobs are accepted as long as the backlog can be worked off in the quiet time
   after the surge.  Any further job would wait until it is of no use, so it is
   refused at once, with the time after which capacity is expected.  */

#include "jb_job_desc.h"

struct jb_admission_input
{
  const struct jb_job_desc *desc;
  /* Work that was accepted and is not done; thousandths of a core * ms.  */
  int64_t unfinished_work;
  int64_t capacity_cpu_milli; /* of all reachable backend servers */
  /* Largest capacity of a backend server in each dimension; 0: unknown.  */
  struct jb_resources largest_backend;
  uint32_t active_jobs; /* accepted and not ended */
};

struct jb_admission
{
  bool accepted;
  int64_t retry_after_ms; /* if refused; 0: a retry can't succeed */
  const char *reason;     /* if refused: for the log, a static string */
};

/* Return whether the job of INPUT is accepted, and if not why and when to
   retry.  */
struct jb_admission
jb_admission_decide (const struct jb_admission_input *input);

#endif
