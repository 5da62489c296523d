#ifndef JB_JOB_DESC_H
#define JB_JOB_DESC_H

/* Job descriptions: what a client submits.  A job consists of steps, and a
   step of a number of equal tasks.  */

#include "jb_types.h"

enum
{
  JB_JOB_ID_DIGITS = 16, /* hexadecimal digits */
  JB_MAX_STEPS_PER_JOB = 64,
  JB_MAX_TASKS_PER_STEP = 4096,
  JB_MAX_OCCURRENCES = 100000, /* of a scheduled job */
  /* Tasks of all open occurrences of a scheduled job, unless one alone has
     more: about 20 MB.  */
  JB_MAX_OPEN_TASKS = 65536,
  JB_MAX_SPEC_BYTES = 4000, /* without the final NUL */
  JB_MAX_ATTEMPTS = 100000  /* of a task */
};

/* Work of one occurrence of a job, as jb_job_desc_work returns it: 20 million
   hours of a core.  */
#define JB_MAX_JOB_WORK (INT64_C (1) << 56)

/* A step: a number of equal tasks.  */
struct jb_step
{
  uint32_t task_count;
  struct jb_resources resources; /* of each task */
  int64_t estimate_ms;           /* estimated run time of a task */
  uint32_t predecessor_count;
  /* Indexes of earlier steps that must be done before this one starts.  */
  uint32_t *predecessors;
  /* A task can be resumed from its last checkpoint.  */
  bool can_checkpoint;
  /* The tasks can only work while all of them run.  */
  bool gang;
  /* The tasks are slower when they run in more than one rack.  */
  bool colocate;
  /* Label that the backend server must have, or NULL.  */
  char *required_label;
  /* Rack that holds the data of the tasks, or NULL.  */
  char *data_rack;
  /* Maximum number of tasks of this step on one backend server; 0: no
     limit.  */
  uint32_t max_per_backend;
  /* Copies of a task may run in parallel.  */
  bool speculative;
  /* The tasks are services: they run until the job is cancelled.  */
  bool long_running;
  /* The image that the tasks run, or NULL.  */
  char *image;
  /* Target for the tail latency of the requests that a service answers; 0:
     none.  */
  int64_t tail_target_ms;
  /* The tasks only use cores that others leave idle.  */
  bool best_effort;
  /* Disruption budget: tasks that may be unavailable at the same time; 0: no
     limit.  */
  uint32_t max_unavailable;
};

struct jb_job_desc
{
  char *id;    /* JB_JOB_ID_DIGITS digits */
  char *queue; /* name of the queue */
  char *org;   /* name of the organisation, or NULL for an anonymous
                  request */
  char *spec;  /* passed to the backend servers unchanged */
  uint32_t step_count;
  struct jb_step *steps;
  /* Number of occurrences of a scheduled job; 0: not scheduled, it runs
     once.  */
  uint32_t scheduled_occurrences;
  int64_t first_unix_ms;    /* Unix time of the first occurrence */
  int64_t interval_ms;      /* from one occurrence to the next */
  int64_t received_unix_ms; /* Unix time when the job was submitted */
  /* Settings of its queue when the job was submitted.  The job is due when its
     critical path * stretch_milli / 1000 + due_margin_ms have passed since its
     submission.  */
  uint32_t priority;
  uint32_t max_attempts;
  uint32_t stretch_milli;
  int64_t due_margin_ms;
  /* The policy service decides which backend servers may run a step.  */
  bool needs_advice;
};

/* Encode DESC to IO, or decode it from IO if it is a reader.  Decoded strings
   and arrays are owned by the memory context of IO.  */
void jb_job_desc_serialize (struct ba_codec *io, struct jb_job_desc *desc);

/* Return NULL when DESC is valid, else an error message for the client, a
   static string in the terms of the client API.  */
const char *jb_job_desc_check (const struct jb_job_desc *desc);

/* Return whether ID has the form of a job ID.  */
bool jb_job_id_is_valid (const char *id);

/* Return the work of STEP, or of all steps of one occurrence: the CPU that the
   tasks use times their estimated run time, in thousandths of a core times
   milliseconds.  Long-running steps count as 0.  INT64_MAX stands for any work
   that doesn't fit.  */
int64_t jb_step_work (const struct jb_step *step);
int64_t jb_job_desc_work (const struct jb_job_desc *desc);

/* Return the length of the longest chain of dependent steps that begins with
   the step with index STEP, in milliseconds of estimated run time.  */
int64_t jb_job_desc_critical_path_from_step_ms (const struct jb_job_desc *desc,
                                                uint32_t step);

/* Return the length of the critical path of one occurrence, in milliseconds of
   estimated run time.  */
int64_t jb_job_desc_critical_path_ms (const struct jb_job_desc *desc);

/* Return whether any step of DESC is long-running.  */
bool jb_job_desc_is_long_running (const struct jb_job_desc *desc);

#endif
