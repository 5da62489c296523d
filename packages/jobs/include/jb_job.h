#ifndef JB_JOB_H
#define JB_JOB_H

/* The jobs of one pool: their occurrences, steps and tasks, their progress,
   and where they run.  These are data structures only; decisions are made
   elsewhere.  */

#include "jb_backend.h"
#include "jb_job_desc.h"
#include "jb_driver.h"
#include "jb_duration.h"

#include <glib.h>

/* What is known about the current run of a task.  */
enum jb_run_state
{
  JB_RUN_NONE,
  JB_RUN_STARTING, /* the start has not been answered yet */
  /* The start was not answered in time: the run may be active, or may still be
     started later.  */
  JB_RUN_UNCONFIRMED,
  JB_RUN_RUNNING,
  JB_RUN_STOPPING /* to be stopped; active until its end is reported */
};

enum
{
  /* Each owner of the pool numbers runs from a multiple of this plus 1, so
     that run numbers rise from owner to owner without being stored.  */
  JB_RUN_NUMBERS_PER_OWNER = 10000
};

struct jb_task
{
  struct jb_task_group *group;
  uint32_t index; /* among the tasks of its step */
  bool done;      /* a run has succeeded */
  bool ever_started;
  uint32_t failures; /* number of failed runs */
  /* Numbers of the failed runs.  Each of them counts once, though a backend
     server may report an end twice, and different backend servers report ends
     in any order.  */
  uint32_t *failed_runs;
  /* Backend servers that crashed while a run was or may have been there,
     except those that crashed in a wave late in the run; and those of them
     that crashed early in a run since the last proven one, neither in a wave
     nor because of another task (jb_crash.h).  */
  uint32_t crashes;
  uint32_t early_crashes;
  uint32_t run; /* highest run number used so far */
  /* Number of another run that a probe has listed as active, and when one last
     did; 0: none, or it has ended since.  */
  uint32_t other_run;
  jb_time other_run_seen_at;
  enum jb_run_state state;
  struct jb_backend *backend; /* of the current run, or NULL */
  /* Where the last failed run was, or NULL.  Compared only, never
     dereferenced: it may have been freed.  */
  const struct jb_backend *last_failed_backend;
  struct jb_task *next_on_backend; /* list of the tasks on the same backend */
  struct jb_task *previous_on_backend;
  /* When a start or stop of the current run was confirmed; 0: not yet.  */
  jb_time confirmed_at;
  /* When the start of the current run was confirmed, or a probe first listed
     the run.  */
  jb_time started_at;
  bool run_proven; /* the current run has lasted for JB_CRASH_EARLY_MS */
  bool inherited;  /* a previous owner started the current run */
  /* This owner has sent a start, which may have had the number of a previous
     owner's.  */
  bool sent_by_owner;
  /* No run of a previous owner can be anywhere but where one was found
     (jb_takeover.h).  */
  bool is_located;
  /* A start of it may be in doubt: its entry in the pool's table tells
     (jb_doubt.h).  */
  bool in_doubt;
  /* A previous owner has left it on a backend server that is silent.  */
  bool is_awaited;
  /* It was started although a previous owner's run may be active on a silent
     backend server.  */
  bool may_have_copy;
  jb_time ended_at; /* when the last run ended; 0: there was none */
  /* When a stop was last sent, or the start timed out.  */
  jb_time last_attempt_at;
  jb_time reported_at;    /* when a probe last listed the current run */
  uint32_t ready_percent; /* warm-up progress of the current run; 100: ready */
  uint32_t speed_percent; /* speed that was set, in percent of full speed */
  jb_time speed_set_at;   /* 0: never */
  /* Of a service with a latency target its tail latency in milliseconds, of
     any other task the CPU that it uses, in thousandths of a core.  */
  int64_t usage;
  /* Since when its tail latency exceeds its target; 0: it does not.  */
  jb_time over_target_since;
  char *checkpoint; /* newest one, or NULL */
  /* The newest one when a crash was last counted, or NULL.  */
  char *crash_checkpoint;
};

/* The answer of the policy service about which backend servers may run a
   step.  */
struct jb_advice
{
  bool request_in_flight;
  jb_time retry_at;    /* earliest time of the next request */
  jb_time valid_until; /* when the tickets expire */
  GHashTable *tickets; /* instance -> ticket */
  /* Position of the next request's first backend server; requests rotate
     through the usable ones.  */
  uint32_t next_backend;
};

struct jb_waiting_class;

/* The tasks of one step in one occurrence of a job.  */
struct jb_task_group
{
  struct jb_job *job;
  uint32_t occurrence; /* counted from 0 */
  uint32_t step;       /* index in the job's description */
  bool ready;          /* all preceding steps are done */
  uint32_t task_count;
  uint32_t done_count;
  uint32_t active_runs; /* tasks whose state is not JB_RUN_NONE */
  struct jb_task *tasks;
  struct jb_advice *advice; /* NULL until advice is needed */
  /* jb_job_desc_critical_path_from_step_ms of its step; JB_NEVER: not worked
     out yet.  */
  int64_t critical_path_ms;
  /* jb_rank_work_divisor of the work that remained when it was last ranked; 0:
     never.  */
  int64_t ranked_work;
  double work_divisor;
  /* With lookahead: the expected run time of a task, until when it is not
     looked up again, and until when no room is reserved.  */
  struct jb_duration expected;
  jb_time expected_until;
  jb_time no_reservation_until;
  /* The class of the groups that wait to be started like this one
     (jb_pool_waiting.c), and its index there; NULL: it does not wait.  */
  struct jb_waiting_class *waiting_class;
  uint32_t waiting_index;
};

struct jb_queue_stats;
struct jb_pool_org_usage;

/* What a job contributes to the sums of its pool (jb_pool_sums.c).  */
struct jb_job_demand
{
  /* For its organisation: what its tasks use that run or may run, of that what
     those without a run use that a start in doubt may give one, and what those
     want that are ready to start.  */
  struct jb_resources used;
  struct jb_resources in_doubt;
  struct jb_resources wanted;
  /* Thousandths of a core * ms that are not done, at most JB_MAX_JOB_WORK.  */
  int64_t unfinished_work;
  /* CPU that its tasks want that are ready to start, in thousandths of a core;
     and the same with at least one for each task, also if it is
     best-effort.  */
  int64_t waiting_cpu_milli;
  int64_t waiting_weight;
  bool is_pending; /* it is accepted, and no task has been started */
  bool has_doubts; /* in_doubt isn't nothing */
  bool is_counted; /* false: the job is in no sum */
};

struct jb_job
{
  struct jb_job_desc *desc;
  enum jb_job_state state;
  bool stored;       /* the description is durable: the job is accepted */
  bool end_stored;   /* the final state is durable */
  bool dirty;        /* changed since it was last written */
  bool write_queued; /* waits in the pool's list of dirty jobs */
  /* It was read from the store, and a previous owner may have started tasks
     that no probe has found yet.  */
  bool loaded_from_store;
  bool ever_started;   /* a task has been started at some time */
  bool has_begun;      /* a task has had a run, as far as is known */
  bool start_observed; /* the latency of its first start was measured */
  bool is_inactive;    /* it has ended and has no active runs */
  jb_time received_at; /* when it was submitted, by the driver's clock */
  jb_time ended_at;    /* when it reached its final state; 0: not yet */
  jb_time due_at;      /* it is late after this time; JB_NEVER: never */
  /* Number of leading occurrences that are done and were dropped.  */
  uint32_t dropped_occurrences;
  /* Number of occurrences whose start time has come, as far as
     jb_job_can_open_occurrence allowed.  */
  uint32_t opened_occurrences;
  /* Task groups of the opened occurrences that were not dropped, ordered by
     occurrence and step.  */
  GPtrArray *groups;
  /* Its progress in the store, if that is in several rows (jb_progress.h).  */
  struct jb_progress *progress;
  uint32_t active_runs; /* of all its groups */
  int64_t total_work;   /* jb_job_desc_work of its description */
  /* jb_select_on_time has deferred it, because its organisation uses more than
     its share of a pool that can't finish all jobs on time.  */
  bool deferred;
  /* Statistics of its queue, and the usage of its organisation, borrowed from
     the pool.  NULL until they are needed.  */
  struct jb_queue_stats *queue_stats;
  struct jb_pool_org_usage *org_usage;
  struct jb_waiter *waiters; /* clients that wait for a write to the store */
  /* Its index in the pool's active jobs, what it was last counted with in the
     sums over them, and the list of those that have changed since, borrowed
     from the pool; NULL if it is not active.  */
  uint32_t active_index;
  struct jb_job_demand demand;
  GPtrArray *changed_jobs;
  bool is_changed; /* it is in that list */
};

/* Return a new job, owned by MEM, that takes over the ownership of DESC.  No
   occurrence is open yet.  */
struct jb_job *jb_job_new (TALLOC_CTX *mem, struct jb_job_desc *desc);

/* Something has changed that the demand of JOB or the ranks of its groups
   depend on: the groups, which
   of them are ready, the tasks that are done, run, are awaited or have a start
   in doubt, or whether JOB is stored, was loaded, has started, is deferred or
   has ended.  The functions below call this.  */
void jb_job_note_change (struct jb_job *job);

/* A task of JOB has had a run.  */
void jb_job_note_begun (struct jb_job *job);

/* Return the number of occurrences of JOB, at least 1.  */
uint32_t jb_job_occurrence_count (const struct jb_job *job);

/* Return whether the tasks of one more occurrence of JOB may be opened beside
   those of the open ones, within JB_MAX_OPEN_TASKS.  If not, it is opened when
   an earlier one is done.  */
bool jb_job_can_open_occurrence (const struct jb_job *job);

/* Open the occurrences up to OCCURRENCE, which was started before, as far as
   jb_job_can_open_occurrence allows.  */
void jb_job_open_occurrences_up_to (struct jb_job *job, uint32_t occurrence);

/* Open the next occurrence of JOB: create its task groups.  */
void jb_job_open_next_occurrence (struct jb_job *job);

/* Return the longest chain of steps that begins with GROUP's, in milliseconds
   of estimated run time.  */
int64_t jb_task_group_critical_path_ms (struct jb_task_group *group);

/* Return the group of STEP in OCCURRENCE, borrowed from JOB, or NULL when
   there is no such step, or the occurrence has not been opened or was
   dropped.  */
struct jb_task_group *jb_job_find_group (const struct jb_job *job,
                                         uint32_t occurrence, uint32_t step);

/* Mark the groups of OCCURRENCE whose preceding steps are done as ready.  */
void jb_job_update_ready_groups (struct jb_job *job, uint32_t occurrence);

/* Return whether all occurrences of JOB are done.  */
bool jb_job_is_done (const struct jb_job *job);

/* Drop the leading occurrences of JOB that are done and have no active runs,
   and free their groups.  */
void jb_job_drop_done_occurrences (struct jb_job *job);

/* Return the description of the step that a group or task belongs to.
   Borrowed.  */
static inline const struct jb_step *
jb_task_group_step (const struct jb_task_group *group)
{
  return &group->job->desc->steps[group->step];
}

static inline const struct jb_step *
jb_task_step (const struct jb_task *task)
{
  return jb_task_group_step (task->group);
}

/* Return the ticket that allows GROUP to run on BACKEND, or NULL.
   Borrowed.  */
const char *jb_task_group_ticket (const struct jb_task_group *group,
                                  const struct jb_backend *backend);

enum
{
  JB_TASK_NAME_SIZE = 64 /* in bytes, with the final NUL */
};

/* Write the name of TASK, ID.OCCURRENCE.STEP.INDEX, to NAME, and return
   NAME.  */
char *jb_task_name (const struct jb_task *task, char name[JB_TASK_NAME_SIZE]);

/* A parsed task name.  */
struct jb_task_ref
{
  char id[JB_JOB_ID_DIGITS + 1];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
};

/* Write the name that REF identifies to NAME, and return NAME.  */
char *jb_task_ref_name (const struct jb_task_ref *ref,
                        char name[JB_TASK_NAME_SIZE]);

/* Parse the task name NAME into REF.  Return whether NAME is valid; if not,
   the content of REF is unspecified.  */
bool jb_task_ref_parse (const char *name, struct jb_task_ref *ref);

/* Return the task of JOB that REF identifies, or NULL.  Borrowed.  REF's job
   ID is ignored.  */
struct jb_task *jb_job_find_task (const struct jb_job *job,
                                  const struct jb_task_ref *ref);

/* Assign a new run of TASK, which must have none, to BACKEND in state STATE,
   and reserve the task's resources there.  */
void jb_task_assign (struct jb_task *task, struct jb_backend *backend,
                     enum jb_run_state state);

/* Remove TASK, whose run ended at NOW, from its backend and release the
   reserved resources.  */
void jb_task_unassign (struct jb_task *task, jb_time now);

/* Mark TASK as done and count it in its group, unless that was done
   before.  */
void jb_task_mark_done (struct jb_task *task);

/* Count the failure of the run of TASK with number RUN.  Return false when it
   was counted before.  */
bool jb_task_record_failure (struct jb_task *task, uint32_t run);

/* Return the progress of JOB, encoded for the store, owned by MEM.  */
struct ba_bytes jb_job_encode_progress (TALLOC_CTX *mem, struct jb_job *job);

/* Replace the groups of JOB, which must not have any runs, by those that the
   encoded PROGRESS describes.  Return false when PROGRESS is invalid; JOB is
   unchanged then.  */
bool jb_job_apply_progress (struct jb_job *job, struct ba_bytes progress);

enum
{
  JB_JOB_SEGMENT_TASKS = 128
};

/* The tasks of a job, numbered from its first occurrence and step on, are
   divided into segments of JB_JOB_SEGMENT_TASKS.  Return the number of the
   first segment with a task of an open occurrence, and the number after the
   last one.  */
uint64_t jb_job_first_segment (const struct jb_job *job);
uint64_t jb_job_segments_end (const struct jb_job *job);

/* Return the progress of JOB's tasks in SEGMENT, owned by MEM, without the
   checkpoints that are longer than MAX_CHECKPOINT_BYTES.  Set IS_EMPTY to
   whether none of them has made any.  */
struct ba_bytes jb_job_encode_segment (TALLOC_CTX *mem,
                                       const struct jb_job *job,
                                       uint64_t segment,
                                       size_t max_checkpoint_bytes,
                                       bool *is_empty);

/* Return the progress of JOB without that of its tasks, owned by MEM.  */
struct ba_bytes jb_job_encode_occurrences (TALLOC_CTX *mem,
                                           const struct jb_job *job);

/* Add to JOB, which must not have any runs, what the encoded SEGMENT tells of
   the tasks of open occurrences.  Return false when SEGMENT is invalid; JOB is
   unchanged then.  */
bool jb_job_apply_segment (struct jb_job *job, struct ba_bytes segment);

#endif
