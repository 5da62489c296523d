#ifndef SV_SUPERVISOR_H
#define SV_SUPERVISOR_H

/* A supervisor of threads.

   Threads start in the order in which they were added and stop in the reverse
   order.  A thread whose main function returns without having been told to
   stop is started again, unless that happens too often.  A thread that sends
   no heartbeat for too long hangs, and can't be restarted from outside.  In
   both cases the supervisor reports that the process should end, so that it is
   replaced.  */

#include <stdbool.h>
#include <talloc.h>

/* Main function of a thread.  It calls HEARTBEAT with HEARTBEAT_CONTEXT now
   and then, and returns after the stop function was called.  CONTEXT is that
   of struct sv_thread_options.  */
typedef void sv_thread_main (void *context, void (*heartbeat) (void *),
                             void *heartbeat_context);

struct sv_thread_options
{
  const char *name; /* borrowed */
  sv_thread_main *run;
  void (*stop) (void *context); /* called on the supervisor's thread */
  void *context;                /* of both functions */
};

struct sv_supervisor;

/* Return a new supervisor without threads, owned by MEM.  */
struct sv_supervisor *sv_supervisor_new (TALLOC_CTX *mem);

/* Add a thread, at most 16.  To be called before sv_supervisor_start.  */
void sv_supervisor_add (struct sv_supervisor *supervisor,
                        const struct sv_thread_options *options);

/* Start all threads.  */
void sv_supervisor_start (struct sv_supervisor *supervisor);

/* Check the threads once, and restart those that have returned.  Return NULL,
   or the name of a thread because of which the process should end.  When more
   than 5 seconds have passed since the last call, the whole process is taken
   to have been paused, and missing heartbeats don't count.  */
const char *sv_supervisor_check (struct sv_supervisor *supervisor);

/* Stop and join all threads.  */
void sv_supervisor_stop (struct sv_supervisor *supervisor);

#endif
