#ifndef JB_DOUBT_H
#define JB_DOUBT_H

/* The starts of a pool that are in doubt: they were not answered, so the
   backend server may still carry them out.

   A command without an answer may be executed JB_MAX_COMMAND_DELAY after it
   was sent.  What the backend server has answered meanwhile proves little: it
   may restart under its instance name, and its next incarnation knows neither
   the stops nor the fencing tokens of the former one, and has another clock
   for leases.  So a task with a start in doubt is only started on the backend
   server of that start, where a former run ends with the incarnation, until

   - the run was listed by the backend server, if only one start of it was
     sent: a command is executed at most once;
   - or the start can't be carried out any more, and the backend server was
     asked for its runs after that;
   - or, if it does not answer, the longest lease has expired since then, with
     all that grants without an answer may have added to it;
   - or its instance will not come back: it is replaced, or about to leave.

   An end of a run whose task has another start in doubt is held back: it is
   not acknowledged before.  The backend server may lose it by a restart, and
   run the task once more.

   A run is closed when its backend server has said that it can't be started
   there any more, since it has ended or was stopped.  A start is barred on a
   backend server that has answered a command with a higher fencing token. Both
   hold for that incarnation only.

   Expected load: none while nothing fails.  While half of the starts get no
   answer, 1,000 tasks of a pool.  */

#include "jb_lease.h"
#include "jb_types.h"

#include <glib.h>
#include <talloc.h>

/* Longest time after which a command that was not answered is carried out.  */
#define JB_MAX_COMMAND_DELAY (12500 * JB_MS)

enum
{
  JB_MAX_STARTS_IN_DOUBT = 12 /* of one task */
};

/* What a successor is told of an entry.  */
struct jb_doubt_entry
{
  char *task;
  char *instance;
  uint32_t run;
  uint32_t sent;
};

void jb_doubt_entry_serialize (struct ba_codec *io,
                               struct jb_doubt_entry *entry);

/* Commands with a lease to the backend server INSTANCE without an answer.  */
struct jb_open_grants
{
  char *instance;
  uint32_t grants;       /* as a number of full leases */
  uint32_t remaining_ms; /* until all leases there have expired */
};

void jb_open_grants_serialize (struct ba_codec *io,
                               struct jb_open_grants *grants);

struct jb_doubt
{
  char *task;     /* name */
  char *instance; /* of the backend server */
  uint32_t run;   /* number in the start that was sent last */
  uint32_t sent;  /* starts that may still be carried out */
  /* When they were sent, in ascending order: of the last ones, if there were
     more.  */
  jb_time sent_times[JB_MAX_STARTS_IN_DOUBT];
  jb_time first_sent_at; /* of run number `run' */
  /* Some are not counted any more, because their time is over, or one was sent
     more than once.  Which start has led to a run that is listed isn't known
     then.  */
  bool is_ambiguous;
  /* A start of run number `run' has succeeded, so that the run is listed does
     not tell of another one.  */
  bool succeeded;
  /* Run number `run' has ended or was stopped, so a start of the task needs a
     higher one.  */
  bool run_closed;
  bool run_failed; /* it has failed, although a start of it is in doubt */
  jb_time sent_at; /* of the start that was sent last */
  bool is_queued;  /* that one is counted already, and waits to be sent */
  /* When the last start was sent whose result isn't known yet, which may be
     that it was sent more than once; 0: there is none.  */
  jb_time in_flight_since;
  bool stored; /* a row that lists it was queued */
  bool shared; /* the row is stored */
  bool told;   /* the other hosts were sent it */
};

struct jb_doubt_table;

struct jb_doubt_table *jb_doubt_table_new (TALLOC_CTX *mem);

/* Return the number of tasks with starts in doubt.  */
uint32_t jb_doubt_count (const struct jb_doubt_table *table);

/* Return the entry of TASK, borrowed until it is removed, or NULL.  */
struct jb_doubt *jb_doubt_find (const struct jb_doubt_table *table,
                                const char *task);

/* Record that a start of run number RUN of TASK on INSTANCE is sent, not after
   SENT_AT.  Return the entry.  */
struct jb_doubt *jb_doubt_add (struct jb_doubt_table *table, const char *task,
                               uint32_t run, const char *instance,
                               jb_time sent_at);

/* Record that the last start of DOUBT, which was queued, is sent at NOW.  */
void jb_doubt_send (struct jb_doubt *doubt, jb_time now);

/* Return what a successor is told of DOUBT, with strings owned by MEM.  If
   other starts of the run have succeeded or expired, one more counts: that the
   run is listed then doesn't settle it.  */
struct jb_doubt_entry jb_doubt_get_entry (TALLOC_CTX *mem,
                                          const struct jb_doubt *doubt);

/* Return how many starts of DOUBT may be carried out: all but a queued one. */
uint32_t jb_doubt_sent_count (const struct jb_doubt *doubt);

/* Record that the start of run number RUN of TASK on INSTANCE that was sent at
   SENT_AT has SUCCEEDED, was refused or was not sent, so it is not carried out
   later.  Return whether that was the last one in doubt.  */
bool jb_doubt_answer (struct jb_doubt_table *table, const char *task,
                      uint32_t run, const char *instance, jb_time sent_at,
                      bool succeeded);

/* The command with the start of run number RUN of TASK on INSTANCE that was
   sent at SENT_AT has a result, which may be that it was not answered.  */
void jb_doubt_note_result (struct jb_doubt_table *table, const char *task,
                           uint32_t run, const char *instance,
                           jb_time sent_at);

/* Record that the start of run number RUN of TASK on INSTANCE that was sent at
   SENT_AT has been sent more than once, not after NOW, and that one sending
   has SUCCEEDED.  The others may still be carried out.  */
void jb_doubt_note_resent (struct jb_doubt_table *table, const char *task,
                           uint32_t run, const char *instance, jb_time sent_at,
                           jb_time now, bool succeeded);

/* Record that the last start of DOUBT, of TABLE, which was queued, won't be
   sent.  DOUBT is freed if no other start was.  */
void jb_doubt_cancel (struct jb_doubt_table *table, struct jb_doubt *doubt);

/* Record that INSTANCE has listed run number RUN of TASK.  Return whether
   nothing of TASK is in doubt any more because of that.  */
bool jb_doubt_settle (struct jb_doubt_table *table, const char *task,
                      uint32_t run, const char *instance);

/* No start of DOUBT was sent after SENT_AT, which was not known before.  */
void jb_doubt_limit_age (struct jb_doubt *doubt, jb_time sent_at);

/* Stop counting those starts of DOUBT, except the last one, that can't be
   carried out any more at NOW.  */
void jb_doubt_expire_starts (struct jb_doubt *doubt, jb_time now);

/* Return when the starts of DOUBT can't be carried out any more.  */
jb_time jb_doubt_until (const struct jb_doubt *doubt);

/* Return whether nothing of DOUBT can be active at NOW beside what the answer
   to a probe sent at ASKED_AT has listed, 0 if there was none.  MAX_LEASE_MS
   is the longest lease of the backend server, on its clock, and LEASE the one
   that its owner bounds, or NULL.  */
bool jb_doubt_is_over (const struct jb_doubt *doubt, jb_time now,
                       jb_time asked_at, int64_t max_lease_ms,
                       const struct jb_lease *lease);

/* Remove DOUBT from TABLE, and free it.  */
void jb_doubt_remove (struct jb_doubt_table *table, struct jb_doubt *doubt);

/* Call VISIT for each entry, and remove those for which it returns true.  */
void jb_doubt_visit (struct jb_doubt_table *table,
                     bool (*visit) (void *data, struct jb_doubt *doubt),
                     void *data);

#endif
