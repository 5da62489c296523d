#ifndef JB_JOB_H
#define JB_JOB_H

/* The jobs of one pool: their occurrences, steps and tasks, their progress,
   and where they run.  These are data structures only; decisions are made
   elsewhere.  */

#include "jb_backend.h"
#include "jb_job_desc.h"
#include "jb_driver.h"

#include <glib.h>

/* What is known about the current run of a task.  */
enum jb_run_state
{
  JB_RUN_NONE,
  JB_RUN_STARTING, /* the start has not been answered */
  /* The start was not answered in time: it may be running or start later.  */
  JB_RUN_UNCONFIRMED,
  JB_RUN_RUNNING,
  JB_RUN_STOPPING
};

struct jb_task
{
  struct jb_task_group *group;
  uint32_t index;
  bool done;
  bool ever_started;
  uint32_t failures;
  /* Numbers of the failed runs, to count each of them once: backend servers
     may report an end twice, and different ones in any order.  */
  uint32_t *failed_runs;
  uint32_t run; /* highest run number used so far */
  enum jb_run_state state;
  struct jb_backend *backend; /* of the current run, or NULL */
  /* Compared only, never dereferenced.  */
  const struct jb_backend *last_failed_backend;
  struct jb_task *next_on_backend; /* list of the tasks on the same backend */
  struct jb_task *previous_on_backend;
  /* When a start or stop of the current run was confirmed; 0: not yet.  */
  jb_time confirmed_at;
  jb_time started_at; /* when the start was confirmed or the run found */
  bool inherited;     /* a previous owner started the current run */
  jb_time ended_at;   /* when the last run ended; 0: there was none */
  /* When a stop was last sent, or the start timed out.  */
  jb_time last_attempt_at;
  jb_time reported_at; /* when a probe last listed the current run */
  uint32_t ready_percent;
  uint32_t speed_percent; /* speed that was set, in percent of full speed */
  jb_time speed_set_at;   /* 0: never */
  int64_t usage;          /* see struct jb_active_run */
  /* Since when its tail exceeds its target; 0: it does not.  */
  jb_time over_target_since;
  char *checkpoint; /* newest one, or NULL */
};

/* The answer of the policy service about which backend servers may run a
   step.  */
struct jb_advice
{
  bool request_in_flight;
  jb_time retry_at;
  jb_time valid_until;
  GHashTable *tickets;   /* instance -> ticket */
  uint32_t next_backend; /* rotates through the usable backends */
};

/* The tasks of one step in one occurrence of a job.  */
struct jb_task_group
{
  struct jb_job *job;
  uint32_t occurrence;
  uint32_t step;
  bool ready; /* all preceding steps are done */
  uint32_t task_count;
  uint32_t done_count;
  uint32_t active_runs; /* tasks whose state is not JB_RUN_NONE */
  struct jb_task *tasks;
  struct jb_advice *advice; /* or NULL before it is requested */
};

struct jb_job
{
  struct jb_job_desc *desc;
  enum jb_job_state state;
  bool stored;       /* the description is durable: the job is accepted */
  bool end_stored;   /* the final state is durable */
  bool dirty;        /* changed since it was last written */
  bool write_queued; /* in the list of jobs to write */
  /* Read from the store, and a previous owner may have started its tasks.  */
  bool loaded_from_store;
  bool ever_started;   /* a task has been started at some time */
  bool start_observed; /* the latency of its first start was measured */
  bool is_inactive;    /* it has ended and has no active runs */
  jb_time received_at; /* by this host's clock */
  jb_time ended_at;    /* when it reached its final state; 0: not yet */
  jb_time due_at;      /* when it is late, or JB_NEVER */
  /* Number of leading occurrences that are done and were dropped.  */
  uint32_t dropped_occurrences;
  /* Number of occurrences whose start time has come.  */
  uint32_t opened_occurrences;
  /* Task groups of the opened occurrences that were not dropped, ordered by
     occurrence and step.  */
  GPtrArray *groups;
  uint32_t active_runs; /* of all its groups */
  struct jb_waiter *waiters;
};

/* Return a new job for DESC, which is stolen.  The job is owned by MEM.  */
struct jb_job *jb_job_new (TALLOC_CTX *mem, struct jb_job_desc *desc);

/* Return the number of occurrences of JOB, at least 1.  */
uint32_t jb_job_occurrence_count (const struct jb_job *job);

/* Open the next occurrence of JOB: create its task groups.  */
void jb_job_open_next_occurrence (struct jb_job *job);

/* Return the group of STEP in OCCURRENCE, or NULL when the occurrence has not
   been opened or was dropped.  */
struct jb_task_group *jb_job_find_group (const struct jb_job *job,
                                         uint32_t occurrence, uint32_t step);

/* Mark those groups of OCCURRENCE as ready whose preceding steps are done.  */
void jb_job_update_ready_groups (struct jb_job *job, uint32_t occurrence);

/* Return whether all occurrences of JOB are done.  */
bool jb_job_is_done (const struct jb_job *job);

/* Drop leading occurrences that are done and have no active runs.  */
void jb_job_drop_done_occurrences (struct jb_job *job);

/* Return the description of the step that a group or task belongs to.  */
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

/* Parse the task name NAME into REF.  Return whether it is valid.  */
bool jb_task_ref_parse (const char *name, struct jb_task_ref *ref);

/* Return the task of JOB that REF identifies, or NULL.  */
struct jb_task *jb_job_find_task (const struct jb_job *job,
                                  const struct jb_task_ref *ref);

/* Assign TASK, which must not have a run, to BACKEND with STATE and reserve
   its resources.  */
void jb_task_assign (struct jb_task *task, struct jb_backend *backend,
                     enum jb_run_state state);

/* Remove TASK from its backend because its run is over at NOW.  */
void jb_task_unassign (struct jb_task *task, jb_time now);

/* Mark TASK as done.  */
void jb_task_mark_done (struct jb_task *task);

/* Count the failure of run number RUN.  Return false when it was counted
   before.  */
bool jb_task_record_failure (struct jb_task *task, uint32_t run);

/* Return the stored form of the progress of JOB, owned by MEM.  */
struct ba_bytes jb_job_encode_progress (TALLOC_CTX *mem, struct jb_job *job);

/* Restore PROGRESS into JOB, which must be new.  Return false when PROGRESS is
   invalid; JOB is unchanged then.  */
bool jb_job_apply_progress (struct jb_job *job, struct ba_bytes progress);

#endif
