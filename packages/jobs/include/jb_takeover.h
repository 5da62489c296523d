#ifndef JB_TAKEOVER_H
#define JB_TAKEOVER_H

/* Decides which jobs a new owner of a pool may go on with while some backend
   servers have not answered it.

   A job that was read from the store may have tasks that a former owner
   started on a backend server that is silent now.  All of them have certainly
   ended 3.6 s after the last command of a former owner.  Until then, only what
   can't have been started there may be started.

   A run that is listed by a backend server after the last command of a former
   owner is the only one of its task, and its task is not done.  So a former
   owner can't have started steps behind it.  A run that was listed before
   proves less: a former owner that still holds a probe open may learn how the
   run ends, and act on that.

   Expected load: 5,000 loaded jobs of a few steps with 8 tasks on average, and
   one silent backend server among 85.  */

#include "jb_job.h"

/* Record that a probe which was sent at ASKED_AT has listed the current run of
   TASK as active.  Former owners send no commands after PREDECESSOR_UNTIL.
   A run that is not the first one of its owner proves nothing: an earlier run
   may be done, which a former owner may know.  */
void jb_takeover_record_active (struct jb_task *task, jb_time asked_at,
                                jb_time predecessor_until);

/* Return whether no task of JOB that is to be started can have been started by
   a former owner.  This is not true while an occurrence of JOB is not open: a
   former owner whose clock is ahead may have opened it.  */
bool jb_takeover_may_release (const struct jb_job *job);

#endif
