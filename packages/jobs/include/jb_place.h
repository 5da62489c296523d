#ifndef JB_PLACE_H
#define JB_PLACE_H

/* Decides where a task runs.

   Expected load: tasks of very different sizes on few backend servers.  Short
   tasks go where they leave the least capacity free, so that a large task
   still fits elsewhere.  Long-running tasks are spread over racks, since a
   rack fails as a whole.  Best-effort tasks avoid services, which they would
   disturb.  */

#include "jb_job.h"

/* Return whether TASK may run on BACKEND: it has the required label and, if
   the job needs advice, a ticket, and the step's limit of tasks per backend
   server is not reached there.  Free capacity is not considered.  */
bool jb_place_is_allowed (const struct jb_task *task,
                          const struct jb_backend *backend);

/* Return the best of the COUNT usable BACKENDS to start TASK on at NOW, or
   NULL when it may not run on any of them, fits on none, or must wait for one
   where a crash could be attributed to it (jb_crash.h).  AVOID, which may be
   NULL, is only chosen when there is no other.  */
struct jb_backend *jb_place_choose (const struct jb_task *task,
                                    struct jb_backend *const *backends,
                                    uint32_t count,
                                    const struct jb_backend *avoid,
                                    jb_time now);

/* Return whether TASK fits into the free capacity of BACKEND.  */
bool jb_place_fits (const struct jb_task *task,
                    const struct jb_backend *backend);

#endif
