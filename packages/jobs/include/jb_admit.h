#ifndef JB_ADMIT_H
#define JB_ADMIT_H

/* Whether a job is accepted.

   Load that this answers: a turn of demand of several times what the pool
   holds.  What the valley after it drains is accepted; more would wait beyond
   any use, so it is refused at once, with the time when room is expected.  */

#include "jb_desc.h"

struct jb_admit_input
{
  const struct jb_desc *desc;
  int64_t waiting_work; /* accepted and not done; thousandths of cores * ms */
  int64_t room;         /* thousandths of cores for finite work */
  struct jb_amount largest; /* room of the largest backend server */
  uint32_t jobs;            /* accepted and not ended */
};

struct jb_admit
{
  bool accepted;
  int64_t retry_after_ms; /* when refused; 0: coming back is no use */
  const char *reason;     /* when refused; static */
};

struct jb_admit jb_admit (const struct jb_admit_input *input);

#endif
