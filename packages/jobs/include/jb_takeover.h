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

/* What a new owner knows about the owner before it.  */
struct jb_takeover_predecessor
{
  jb_time claimed_at;  /* when the new owner's claim succeeded */
  uint32_t generation; /* of the new owner; 1: there was no other one */
  /* Its process is known to have ended.  */
  bool has_ended;
  /* It has stored, after its last command, what may run on the backend servers
     that did not answer it.  */
  bool has_handed_over;
  /* Generation of the last owner that stored that no owner before it could
     send commands any more; 0: none has.  */
  uint32_t settled_generation;
};

/* Return the time after which no former owner sends commands, as known at NOW.
   Without any knowledge it is VALIDITY after the claim, for which an ownership
   may be valid without the store.  That the predecessor's process has ended
   does not suffice: if it owned the pool for a shorter time, the owner before
   it may still send commands.  */
jb_time
jb_takeover_commands_end (const struct jb_takeover_predecessor *predecessor,
                          jb_time validity, jb_time now);

/* Record that a probe which was sent at ASKED_AT has listed the current run of
   TASK as active.  Former owners send no commands after PREDECESSOR_UNTIL.
   A run that is not the first one of its owner proves nothing: an earlier run
   may be done, which a former owner may know.  */
void jb_takeover_record_active (struct jb_task *task, jb_time asked_at,
                                jb_time predecessor_until);

/* Return whether the tasks of STEP, of which copies may run in parallel, need
   not wait for silent backend servers.  The members of a gang must run
   together, and copies of a service would use its place for long, so those
   wait.  */
bool jb_takeover_may_start_copies (const struct jb_step *step);

/* Return whether no task of JOB that is to be started can have been started by
   a former owner.  This is not true while an occurrence of JOB is not open: a
   former owner whose clock is ahead may have opened it.  */
bool jb_takeover_may_release (const struct jb_job *job);

/* Mark the tasks of JOB as awaited that a former owner may have started on a
   silent backend server.  Return their number.  */
uint32_t jb_takeover_await_tasks (struct jb_job *job);

/* Undo that.  */
void jb_takeover_release_tasks (struct jb_job *job);

#endif
