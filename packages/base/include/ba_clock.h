#ifndef BA_CLOCK_H
#define BA_CLOCK_H

/* The clock of the event loops.  The decision code reads no clock: each event
   is passed to it with its time, so that recorded sessions can be
   replayed.  */

#include <stdint.h>

/* Return the time in microseconds since an arbitrary origin.  The clock is
   monotonic and includes the time during which the machine was suspended, so
   that a process finds its membership lease expired when the machine is
   resumed.  */
int64_t ba_clock_now_us (void);

#endif
