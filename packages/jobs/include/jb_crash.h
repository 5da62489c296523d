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

   When several backend servers crash within a short time, one task can't have
   caused that: such a wave is the platform's.  Its crashes raise no suspicion,
   and don't count at all for runs that are proven not to crash their backend
   server at once.  For the others they count to the higher limit, as a task
   may by chance crash its backend server during a wave, and must be given up
   in the end.

   Crashes before the newest checkpoint of a task don't count either: a long
   task that saves its progress outlives several backend servers, and the
   work between two checkpoints bounds how often that can be.  A task that
   crashes its backend server at some point of its work doesn't get past it.

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
  JB_CRASH_EARLY_MS = 250,
  /* This number of backend servers that were last heard within this time of
     one of them have crashed in a wave.  Both are a compromise: where tasks
     crash two backend servers a second, some of these crashes coincide.  */
  JB_CRASH_WAVE_SIZE = 3,
  JB_CRASH_WAVE_MS = 100
};

/* Return the phase of the current run of TASK.  A long-running task is in an
   early phase until it is ready.  */
enum jb_crash_phase jb_crash_phase_of (const struct jb_task *task);

/* Return whether a backend server that was last heard at HEARD_AT has crashed
   in a wave, if OTHERS, of which there are COUNT, were last heard when they
   crashed or fell silent.  */
bool jb_crash_is_wave (jb_time heard_at, const jb_time *others,
                       uint32_t count);

/* Count a crash of the backend server of a run of TASK in PHASE.  IN_WAVE:
   other backend servers crashed at the same time.  The crashes before are
   forgotten if TASK has a new checkpoint since.  */
void jb_crash_record (struct jb_task *task, enum jb_crash_phase phase,
                      bool in_wave);

/* Another task caused a crash that was counted for TASK in PHASE, IN_WAVE or
   not: it is no reason to suspect TASK any more.  */
void jb_crash_retract (struct jb_task *task, enum jb_crash_phase phase,
                       bool in_wave);

/* The current run of TASK has lasted for JB_CRASH_EARLY_MS: it is proven, and
   if TASK is not long-running, it is no suspect any more.  Return whether it
   was one.  */
bool jb_crash_prove (struct jb_task *task);

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
