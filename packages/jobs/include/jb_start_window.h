#ifndef JB_START_WINDOW_H
#define JB_START_WINDOW_H

/* Decides how many starts an owner has in flight.

   A small host decides on starts faster than it can send them.  Those that
   wait for too long are not sent any more, or their leases are over when they
   arrive, and the work on them is lost: with ever more of them, none arrives
   in time.  So the limit is halved when a start was too late, once for all
   starts that were in flight then, and grows by one for each limit of starts
   that were not.

   Expected load: 5 to 20 starts in flight; hundreds at a takeover or when a
   burst of jobs arrives, and as many as there is room for on a host whose
   processor is busy.  */

#include "jb_types.h"

struct jb_start_window
{
  uint32_t in_flight;
  double limit;       /* of starts in flight; 0: not limited yet */
  jb_time reduced_at; /* when the limit was last halved */
};

/* Return how many more starts may be sent.  */
uint32_t jb_start_window_room (const struct jb_start_window *window);

/* Count a start that is sent.  */
void jb_start_window_add (struct jb_start_window *window);

/* Count the end of a start that was sent at SENT_AT.  IS_LATE says that it was
   not sent in time.  */
void jb_start_window_remove (struct jb_start_window *window, jb_time now,
                             jb_time sent_at, bool is_late);

#endif
