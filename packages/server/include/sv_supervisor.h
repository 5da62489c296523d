#ifndef SV_SUPERVISOR_H
#define SV_SUPERVISOR_H

/* A supervisor of threads.

   Threads start in the order in which they were added and stop in the reverse
   order.  A thread whose main function returns without having been told to
   stop is started again, at most 5 times in a minute.  A thread that sends no
   heartbeat for 30 seconds is taken to hang, and can't be restarted from
   outside.  When a thread hangs or returns too often, the supervisor reports
   that the process should end, so that it is replaced.  */

#include <stdbool.h>
#include <talloc.h>

/* Main function of a thread.  It must call HEARTBEAT with HEARTBEAT_CONTEXT at
   least every 30 seconds, and return after the stop function was called.
   CONTEXT is that of struct sv_thread_options.  */
typedef void sv_thread_main (void *context, void (*heartbeat) (void *),
                             void *heartbeat_context);

struct sv_thread_options
{
  const char *name; /* borrowed */
  sv_thread_main *run;
  void (*stop) (void *context); /* called on the supervisor's thread */
  void *context;                /* passed to both functions */
};

struct sv_supervisor;

/* Return a new supervisor without threads, owned by MEM.  */
struct sv_supervisor *sv_supervisor_new (TALLOC_CTX *mem);

/* Add a thread; there can be at most 16.  To be called before
   sv_supervisor_start.  */
void sv_supervisor_add (struct sv_supervisor *supervisor,
                        const struct sv_thread_options *options);

/* Start all threads.  */
void sv_supervisor_start (struct sv_supervisor *supervisor);

/* Check the threads once, and restart those that have returned.  Return NULL,
   or the name of a thread that has failed, so that the process should end.
   When more than 5 seconds have passed since the last call, the whole process
   is taken to have been paused, and missing heartbeats are ignored.  */
const char *sv_supervisor_check (struct sv_supervisor *supervisor);

/* Stop and join all threads.  */
void sv_supervisor_stop (struct sv_supervisor *supervisor);

#endif
