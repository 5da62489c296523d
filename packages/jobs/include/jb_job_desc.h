#ifndef JB_JOB_DESC_H
#define JB_JOB_DESC_H

/* What a client handed in: a job of steps, each of a number of tasks.  */

#include "jb_types.h"

enum
{
  JB_JOB_ID_DIGITS = 16, /* hexadecimal digits of a job's ID */
  JB_MAX_STEPS_PER_JOB = 64,
  JB_MAX_TASKS_PER_STEP = 4096, /* of one step */
  JB_MAX_OCCURRENCES = 100000,
  JB_MAX_SPEC_BYTES = 4000 /* bytes */
};

struct jb_step
{
  uint32_t task_count; /* tasks */
  struct jb_resources resources;
  int64_t estimate_ms;
  uint32_t predecessor_count;
  uint32_t *predecessors; /* earlier steps that must be done first */
  bool can_checkpoint;    /* a task can be resumed from its last checkpoint */
  bool gang;              /* the tasks work only together */
  bool colocate;          /* slower on more than one rack */
  char *required_label;   /* label of the backend server, or NULL */
  char *data_rack;        /* rack where the data is, or NULL */
  uint32_t max_per_backend; /* at most so many on one backend server; 0: any */
  bool speculative;         /* copies may run in parallel */
  bool long_running;        /* runs until the job is cancelled */
  char *image;              /* what the tasks run, or NULL */
  int64_t tail_target_ms;   /* of the tail of a lasting task's own answers; 0:
                               none */
  bool best_effort;         /* takes only what others leave unused */
  uint32_t
      max_unavailable; /* tasks that may be away at once; 0: not promised */
};

struct jb_job_desc
{
  char *id;    /* JB_JOB_ID_DIGITS digits */
  char *queue; /* name */
  char *org;   /* name, or NULL on an open queue */
  char *spec;
  uint32_t step_count;
  struct jb_step *steps;
  uint32_t scheduled_occurrences; /* occurrences; 0: not scheduled */
  int64_t first_unix_ms;          /* Unix time of the first */
  int64_t interval_ms;            /* between two */
  int64_t received_unix_ms;       /* Unix time when it was handed in */
  /* what its queue said then */
  uint32_t priority;
  uint32_t max_attempts;
  uint32_t stretch_milli;
  int64_t due_margin_ms;
  bool needs_advice; /* a policy says which backend servers may run a step */
};

void jb_job_desc_serialize (struct ba_codec *io, struct jb_job_desc *desc);

/* Return NULL when DESC makes sense, else what is wrong with it: static, for
   people, and naming the field by the product's own terms.  */
const char *jb_job_desc_check (const struct jb_job_desc *desc);

/* Return whether ID is the ID of a job.  */
bool jb_job_id_is_valid (const char *id);

/* Return the work of STEP, or of all steps, of one occurrence, in thousandths
   of a core times milliseconds; lasting steps count nothing.  */
int64_t jb_step_work (const struct jb_step *step);
int64_t jb_job_desc_work (const struct jb_job_desc *desc);

/* Return the longest chain of estimated work from STEP to the end, in
   milliseconds.  */
int64_t jb_job_desc_critical_path_from_ms (const struct jb_job_desc *desc,
                                           uint32_t step);

/* Return the longest chain of one occurrence, in milliseconds.  */
int64_t jb_job_desc_critical_path_ms (const struct jb_job_desc *desc);

/* Return whether a step lasts.  */
bool jb_job_desc_is_long_running (const struct jb_job_desc *desc);

#endif
