#ifndef JB_PLACE_H
#define JB_PLACE_H

/* Where a task runs.

   Load that this answers: tasks of very different sizes on few backend
   servers.  Short tasks go where they leave least room over, so that a large
   one still finds room elsewhere; lasting ones are spread over racks, since a
   rack fails as a whole; filling ones keep away from those that they would
   disturb.  */

#include "jb_job.h"

/* Return whether TASK may run on BACKEND: its labels, and how many of its step
   run there.  Room is not looked at.  */
bool jb_place_allowed (const struct jb_task *task,
                       const struct jb_backend *backend);

/* Return the backend of BACKENDS, all fit for work, where TASK goes, or NULL
   when there is no room for it.  AVOID, or NULL, is taken only when there is
   no other.  */
struct jb_backend *jb_place_choose (const struct jb_task *task,
                                    struct jb_backend *const *backends,
                                    uint32_t count,
                                    const struct jb_backend *avoid);

/* Return whether TASK fits into what is left of BACKEND's room.  */
bool jb_place_fits (const struct jb_task *task,
                    const struct jb_backend *backend);

#endif
