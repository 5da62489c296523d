#ifndef SV_SUPERVISOR_H
#define SV_SUPERVISOR_H

/* A supervisor of threads, one for each duty.

   Children start in the order in which they were added and stop in the
   reverse order.  One whose run function returns unasked is started again,
   unless that happens too often; one whose heartbeat stands still for too
   long can't be mended from outside.  In both cases the supervisor reports
   that the process should end, to be replaced.  */

#include <stdbool.h>
#include <talloc.h>

typedef void sv_thread_main (void *context, void (*heartbeat) (void *),
                             void *heartbeat_context);

struct sv_thread_options
{
  const char *name;
  sv_thread_main *run;          /* the duty; returns after stop */
  void (*stop) (void *context); /* called on the supervisor's thread */
  void *context;
};

struct sv_supervisor;

/* Return a new supervisor without children, owned by MEM.  */
struct sv_supervisor *sv_supervisor_new (TALLOC_CTX *mem);

/* Add a child.  NAME is borrowed.  */
void sv_supervisor_add (struct sv_supervisor *supervisor,
                        const struct sv_thread_options *options);

void sv_supervisor_start (struct sv_supervisor *supervisor);

/* Look after the children once.  Return NULL, or the name of a child because
   of which the process should end.  */
const char *sv_supervisor_check (struct sv_supervisor *supervisor);

/* Stop and join all children.  */
void sv_supervisor_stop (struct sv_supervisor *supervisor);

#endif
