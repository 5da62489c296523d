#ifndef BA_CLOCK_H
#define BA_CLOCK_H

/* The clock that drivers give to the decision core.  */

#include <stdint.h>

/* Return microseconds since an arbitrary origin.  The clock never goes back
   and goes on while the machine is suspended, so that a process that was
   paused finds its proofs of membership too old.  */
int64_t ba_clock_now_us (void);

#endif
