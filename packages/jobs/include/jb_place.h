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

/* Like jb_place_choose, but of otherwise equal backend servers a short task
   goes where it leaves the least of all resources free, not only of the
   processor.  */
struct jb_backend *
jb_place_choose_best_fit (const struct jb_task *task,
                          struct jb_backend *const *backends, uint32_t count,
                          const struct jb_backend *avoid, jb_time now);

/* Return how much of a backend server with CAPACITY and the free resources
   AVAILABLE is left when REQUIRED is taken: the mean of the squares of the
   free shares, from 0 to 1.  Squares let what is left of one resource alone
   count more than the same amount left of each.  */
double jb_place_leftover (const struct jb_resources *required,
                          const struct jb_resources *available,
                          const struct jb_resources *capacity);

/* Return what TASK requires to be free: no CPU if it is best-effort.  */
struct jb_resources jb_place_required (const struct jb_task *task);

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

/* Return whether MISS implies that what requires REQUIRED and LABEL fits
   nowhere either.  */
bool jb_place_miss_covers (const struct jb_place_miss *miss,
                           const struct jb_resources *required,
                           const char *label);

/* What is known of the room on a number of backend servers, as long as their
   free capacity does not grow: where a task found none, none that requires as
   much or more does.  With a long queue most tasks are found to fit nowhere
   without a search.  Initially all zero.  */
struct jb_place_room
{
  uint32_t hint; /* index of a backend server that has had room */
  uint32_t miss_count;
  struct jb_place_miss misses[JB_PLACE_MAX_MISSES];
};

/* Return whether ROOM shows that TASK fits on no backend server that it may
   run on, so that jb_place_choose would return NULL.  */
bool jb_place_is_hopeless (const struct jb_place_room *room,
                           const struct jb_task *task);

/* Return whether TASK fits on one of the COUNT BACKENDS that has its label,
   and update ROOM.  */
bool jb_place_has_room (struct jb_place_room *room, const struct jb_task *task,
                        struct jb_backend *const *backends, uint32_t count);

#endif
