#ifndef CM_EXPLORE_H
#define CM_EXPLORE_H

/* Breadth-first search of all states of the model that can be reached.

   Expected load: a million states of 116 bytes.  */

#include "cm_model.h"

#include <stddef.h>
#include <talloc.h>

struct cm_result
{
  size_t states;
  enum cm_violation violation;
  uint32_t step_count; /* of the shortest trace to VIOLATION */
  bool is_complete;    /* all states were reached, or a violation */
};

/* Explore the model, up to MAX_STATES states or the first violation, and print
   its shortest trace if PRINTS_TRACE.  */
struct cm_result cm_explore (const struct cm_options *options,
                             size_t max_states, bool prints_trace);

#endif
