#ifndef JB_CRASH_H
#define JB_CRASH_H

/* Which tasks cause crashes of backend servers, and when to give up.

   A crash takes all runs of a backend server with it, and nothing tells which
   of them caused it.  A task that crashes each backend server that starts it
   usually does so soon, so a run that has lasted for a while is less
   suspicious.  A task whose run was lost early in a crash is a suspect: its
   next run is isolated from others that have just started, so that a second
   crash can be attributed to it.  Then the crashes no longer count against the
   other tasks that were lost in them.

   Expected load: a tenth of the jobs of a pool have such a task, and each
   crash takes a dozen runs of other jobs with it.  The jobs of the latter must
   not fail, and few backend servers may crash for each of the former.  */

#include "jb_job.h"

/* What is known of a run when its backend server crashed.  */
enum jb_crash_phase
{
  JB_CRASH_UNCONFIRMED, /* its start was not answered, so it may not have been
                           started */
  JB_CRASH_EARLY,
  JB_CRASH_LATE /* it had lasted for JB_CRASH_EARLY_MS */
};

enum
{
  /* A run that a probe lists this long after its start is proven not to crash
     its backend server at once.  */
  JB_CRASH_EARLY_MS = 250
};

/* Return the phase of the current run of TASK.  A long-running task is in an
   early phase until it is ready.  */
enum jb_crash_phase jb_crash_phase_of (const struct jb_task *task);

/* Count a crash of the backend server of a run of TASK in PHASE.  */
void jb_crash_record (struct jb_task *task, enum jb_crash_phase phase);

/* Another task caused a crash that was counted for TASK in PHASE: it is no
   reason to suspect TASK any more.  */
void jb_crash_retract (struct jb_task *task, enum jb_crash_phase phase);

/* Forget the crashes of TASK, whose current run has shown that it does not
   crash its backend server.  Return whether there were any.  */
bool jb_crash_clear (struct jb_task *task);

/* Return whether TASK must not be started any more, because too many backend
   servers have crashed under it.  */
bool jb_crash_gives_up (const struct jb_task *task);

/* Return whether BACKEND has a run of a suspect that is not proven yet.  */
bool jb_crash_has_probation (const struct jb_backend *backend);

/* Return whether TASK must not be started on BACKEND at NOW, so that a crash
   there can be attributed to one task: an unproven run of a suspect is there,
   or TASK is a suspect and other runs are unproven.  The latter ends some time
   after the last run of TASK, since a busy pool may have no other backend
   server.  The members of a gang are not kept apart from each other.  */
bool jb_crash_keeps_apart (const struct jb_task *task,
                           const struct jb_backend *backend, jb_time now);

#endif
