#ifndef BA_COUNTER_H
#define BA_COUNTER_H

/* Metric counters of a process.  Any thread may increment a counter while
   another one reads it.  */

#include <stdatomic.h>
#include <stdint.h>
#include <talloc.h>

struct ba_counter
{
  const char *name;   /* metric name, static */
  const char *labels; /* labels without the braces, or NULL; static */
  const char *help;   /* one line of help text, static */
  _Atomic uint64_t value;
};

/* Return the COUNT counters in the Prometheus text exposition format, owned by
   MEM.  Counters with the same name must be adjacent.  */
char *ba_counter_format (TALLOC_CTX *mem, struct ba_counter *counters,
                         size_t count);

#endif
