#ifndef JB_ADMISSION_H
#define JB_ADMISSION_H

/* Whether a job is accepted.

   Load that this answers: a turn of demand of several times what the pool
   holds.  What the valley after it drains is accepted; more would wait beyond
   any use, so it is refused at once, with the time when room is expected.  */

#include "jb_job_desc.h"

struct jb_admission_input
{
  const struct jb_job_desc *desc;
  int64_t
      unfinished_work;  /* accepted and not done; thousandths of cores * ms */
  int64_t cpu_capacity; /* thousandths of cores for finite work */
  struct jb_resources largest_backend; /* room of the largest backend server */
  uint32_t active_jobs;                /* accepted and not ended */
};

struct jb_admission
{
  bool accepted;
  int64_t retry_after_ms; /* when refused; 0: coming back is no use */
  const char *reason;     /* when refused; static */
};

struct jb_admission
jb_admission_decide (const struct jb_admission_input *input);

#endif
