#ifndef BA_COUNTER_H
#define BA_COUNTER_H

/* Counters of one process, read while other threads add to them.  */

#include <stdatomic.h>
#include <stdint.h>
#include <talloc.h>

struct ba_counter
{
  const char *name;   /* metric name, static */
  const char *labels; /* label list without braces, or NULL; static */
  const char *help;   /* one line, static */
  _Atomic uint64_t value;
};

/* Return COUNT counters in the text exposition format read by monitoring
   systems; counters of one name must be adjacent.  Owned by MEM.  */
char *ba_counter_format (TALLOC_CTX *mem, struct ba_counter *counters,
                         size_t count);

#endif
