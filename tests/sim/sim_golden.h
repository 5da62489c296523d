#ifndef SIM_GOLDEN_H
#define SIM_GOLDEN_H

/* The simulations whose recorded sessions are kept as golden files in
   tests/golden.  */

#include "sim_world.h"

struct sim_golden
{
  const char *name; /* of the file, without .session; NULL ends the list */
  uint32_t seed;
  /* As in struct sim_options.  */
  co_time duration, settle_time;
  bool faults, operators;
  double requests_per_s;
};

extern const struct sim_golden sim_golden_list[];

/* Run GOLDEN's simulation and set SESSION to the recorded session of node 0's
   first core, owned by MEM.  Return false if there was a violation.  */
bool sim_golden_record (TALLOC_CTX *mem, const struct sim_golden *golden,
                        struct ba_bytes *session);

#endif
