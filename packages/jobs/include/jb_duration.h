#ifndef JB_DURATION_H
#define JB_DURATION_H

/* Expected run times of tasks, learned from the runs that have ended.

   Expected load: the declared run times are off by up to 0.9 of themselves,
   and the tasks of one step of a queue are off alike.  So the ratio of actual
   to declared run time is kept for each queue and step index.  */

#include "jb_types.h"

enum
{
  /* Number of queues' steps that are kept; the least recently used one is
     dropped.  */
  JB_DURATION_MAX_ENTRIES = 1024
};

struct jb_duration_table;

/* An expected run time and its mean deviation.  */
struct jb_duration
{
  jb_time mean;
  jb_time deviation;
};

/* Return a new table without samples, owned by MEM.  */
struct jb_duration_table *jb_duration_new (TALLOC_CTX *mem);

/* Record in TABLE that a run of a task of step number STEP in QUEUE, with the
   declared run time DECLARED_MS, has taken ACTUAL.  A declared run time that
   is not positive is ignored.  */
void jb_duration_record (struct jb_duration_table *table, const char *queue,
                         uint32_t step, int64_t declared_ms, jb_time actual);

/* Return the expected run time of a task with the declared run time
   DECLARED_MS.  Without samples it is the declared time, with a mean deviation
   of half of it.  */
struct jb_duration jb_duration_expect (struct jb_duration_table *table,
                                       const char *queue, uint32_t step,
                                       int64_t declared_ms);

/* Return how much longer a run is expected to take that was expected to take
   EXPECTED and has lasted for ELAPSED.  When it has lasted longer than that,
   the remaining time is a share of ELAPSED, which depends on the relative
   deviation.  */
jb_time jb_duration_remaining (const struct jb_duration *expected,
                               jb_time elapsed);

/* Return the number of entries of TABLE.  */
uint32_t jb_duration_count (const struct jb_duration_table *table);

#endif
