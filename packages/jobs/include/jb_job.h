#ifndef JB_JOB_H
#define JB_JOB_H

/* The jobs of one pool: their occurrences, steps and tasks, what has been
   done of them, and where they run.  Tables only: nothing here decides.  */

#include "jb_backend.h"
#include "jb_job_desc.h"
#include "jb_driver.h"

#include <glib.h>

/* What is known of the present run of a task.  */
enum jb_run_state
{
  JB_RUN_NONE,        /* none */
  JB_RUN_STARTING,    /* the start has not been answered */
  JB_RUN_UNCONFIRMED, /* the start got no answer: it may run, or start later */
  JB_RUN_RUNNING,
  JB_RUN_STOPPING
};

struct jb_task
{
  struct jb_task_group *group;
  uint32_t index;
  bool done;
  bool ever_started; /* a run has been started at some time */
  uint32_t failures;
  uint32_t *failed_runs; /* their numbers: ends may be listed twice, and those
                            of several backend servers in any order */
  uint32_t run;          /* highest run number given out */
  enum jb_run_state state;
  struct jb_backend *backend; /* of the present run */
  const struct jb_backend
      *last_failed_backend;        /* of a run that failed; compared only */
  struct jb_task *next_on_backend; /* on the same backend */
  struct jb_task *previous_on_backend;
  jb_time
      confirmed_at;   /* an order on this run was answered then; 0: none was */
  jb_time started_at; /* when the start was answered, or the run was found */
  bool inherited;     /* a former holder started the run */
  jb_time ended_at;   /* when the last run ended; 0: there was none */
  jb_time last_attempt_at; /* last stop, for sending it again */
  jb_time listed_at;       /* when a look last listed the run */
  uint32_t ready_percent;
  uint32_t speed_percent; /* share of its work that it was told to do */
  jb_time speed_set_at;   /* when that was ordered; 0: never */
  int64_t usage;          /* see struct jb_active_run */
  jb_time
      over_target_since; /* its tail has been above its target; 0: it is not */
  char *checkpoint;      /* or NULL */
};

/* What a policy said of who may run a step.  */
struct jb_advice
{
  bool request_in_flight;
  jb_time retry_at;
  jb_time valid_until;
  GHashTable *tickets;   /* instance -> ticket */
  uint32_t next_backend; /* rotates over the backend servers */
};

/* The tasks of one step of one occurrence.  */
struct jb_task_group
{
  struct jb_job *job;
  uint32_t occurrence;
  uint32_t step;
  bool ready; /* its turn has come */
  uint32_t task_count;
  uint32_t done_count;
  uint32_t active_runs; /* tasks whose state is not JB_RUN_NONE */
  struct jb_task *tasks;
  struct jb_advice *advice; /* on who may run it, or NULL */
};

struct jb_job
{
  struct jb_job_desc *desc;
  enum jb_job_state state;
  bool stored;            /* accepted durably */
  bool end_stored;        /* its final state is durable */
  bool dirty;             /* it has changed since it was written */
  bool write_queued;      /* to be written */
  bool loaded_from_store; /* a former holder may have started its tasks */
  bool ever_started;      /* a task has started at some time */
  bool start_observed;    /* its first start was measured */
  bool is_inactive;       /* it has ended, and nothing of it runs */
  jb_time received_at;    /* by this host's clock */
  jb_time ended_at;       /* when it reached a final state; 0: it has not */
  jb_time due_at;         /* to be done by, or JB_NEVER */
  uint32_t dropped_occurrences; /* occurrences below this number are done */
  uint32_t opened_occurrences;  /* occurrences below this number have come */
  GPtrArray *groups;    /* of occurrences that have come and aren't dropped */
  uint32_t active_runs; /* of all its groups */
  struct jb_waiter *waiters;
};

/* Return a new job for DESC, which is stolen, owned by MEM.  */
struct jb_job *jb_job_new (TALLOC_CTX *mem, struct jb_job_desc *desc);

/* Return the number of occurrences of JOB, at least 1.  */
uint32_t jb_job_occurrence_count (const struct jb_job *job);

/* Let the next occurrence come: make its groups.  */
void jb_job_open_next_occurrence (struct jb_job *job);

/* Return a group, or NULL when it has not come or was dropped.  */
struct jb_task_group *jb_job_find_group (const struct jb_job *job,
                                         uint32_t occurrence, uint32_t step);

/* Open the groups of OCCURRENCE whose predecessors are done.  */
void jb_job_update_ready_groups (struct jb_job *job, uint32_t occurrence);

/* Return whether all occurrences of JOB are done.  */
bool jb_job_is_done (const struct jb_job *job);

/* Drop the groups of leading occurrences that are done.  */
void jb_job_drop_done_occurrences (struct jb_job *job);

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

/* Return the ticket that lets GROUP run on BACKEND, or NULL.  Borrowed.  */
const char *jb_task_group_ticket (const struct jb_task_group *group,
                                  const struct jb_backend *backend);

enum
{
  JB_TASK_NAME_SIZE = 64
};

/* Write the name of TASK, and return NAME.  */
char *jb_task_name (const struct jb_task *task, char name[JB_TASK_NAME_SIZE]);

/* The parts of a task's name.  */
struct jb_task_ref
{
  char id[JB_JOB_ID_DIGITS + 1];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
};

/* Return whether NAME is the name of a task, and fill REF.  */
bool jb_task_ref_parse (const char *name, struct jb_task_ref *ref);

/* Return the task of JOB that REF names, or NULL.  */
struct jb_task *jb_job_find_task (const struct jb_job *job,
                                  const struct jb_task_ref *ref);

/* Put TASK, without a run, on BACKEND with STATE.  */
void jb_task_assign (struct jb_task *task, struct jb_backend *backend,
                     enum jb_run_state state);

/* Take TASK off its backend: its run is over.  */
void jb_task_unassign (struct jb_task *task, jb_time now);

/* Mark TASK as done.  */
void jb_task_mark_done (struct jb_task *task);

/* Count the failure of RUN.  Return false when it had been counted.  */
bool jb_task_record_failure (struct jb_task *task, uint32_t run);

/* What is kept of an accepted job that has not ended.  */
struct ba_bytes jb_job_encode_progress (TALLOC_CTX *mem, struct jb_job *job);

/* Apply PROGRESS to JOB, which is new.  Return false, having done part of it,
   when it can't be read.  */
bool jb_job_apply_progress (struct jb_job *job, struct ba_bytes progress);

#endif
