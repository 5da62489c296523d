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

enum
{
  JB_PLACE_MAX_MISSES = 16
};

/* What a task required that fitted on no backend server with the label.  */
struct jb_place_miss
{
  struct jb_resources required;
  const char *label; /* borrowed from the step; NULL: any backend server */
};

/* The misses since the free capacity of any of the backend servers last grew:
   where a task found no room, none that requires as much or more does.  With a
   long queue most tasks are found to fit nowhere without a search.  */
struct jb_place_misses
{
  uint32_t count;
  struct jb_place_miss entries[JB_PLACE_MAX_MISSES];
};

/* Return whether MISSES show that TASK fits on no backend server that it may
   run on, so that jb_place_choose would return NULL.  */
bool jb_place_is_hopeless (const struct jb_place_misses *misses,
                           const struct jb_task *task);

/* Add TASK, for which jb_place_choose has returned NULL, to MISSES if it fits
   on none of the COUNT BACKENDS that have its label.  */
void jb_place_add_miss (struct jb_place_misses *misses,
                        const struct jb_task *task,
                        struct jb_backend *const *backends, uint32_t count);

#endif
