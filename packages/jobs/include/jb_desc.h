#ifndef JB_DESC_H
#define JB_DESC_H

/* What a client handed in: a job of steps, each of a number of tasks.  */

#include "jb_types.h"

enum
{
  JB_ID_LEN = 16, /* hexadecimal digits of a job's ID */
  JB_MAX_STEPS = 64,
  JB_MAX_TASKS = 4096, /* of one step */
  JB_MAX_TIMES = 100000,
  JB_MAX_SPEC = 4000 /* bytes */
};

struct jb_step
{
  uint32_t count; /* tasks */
  struct jb_amount amount;
  int64_t estimate_ms;
  uint32_t after_count;
  uint32_t *after;   /* earlier steps that must be done first */
  bool checkpoints;  /* a task can be resumed from its last checkpoint */
  bool gang;         /* the tasks work only together */
  bool colocate;     /* slower on more than one rack */
  char *requires;    /* label of the backend server, or NULL */
  char *near;        /* rack where the data is, or NULL */
  uint32_t apart;    /* at most so many on one backend server; 0: any */
  bool speculative;  /* copies may run in parallel */
  bool lasts;        /* runs until the job is cancelled */
  char *image;       /* what the tasks run, or NULL */
  int64_t target_ms; /* of the tail of a lasting task's own answers; 0: none */
  bool fills;        /* takes only what others leave unused */
  uint32_t may_miss; /* tasks that may be away at once; 0: not promised */
};

struct jb_desc
{
  char *id;    /* JB_ID_LEN digits */
  char *queue; /* name */
  char *org;   /* name, or NULL on an open queue */
  char *spec;
  uint32_t step_count;
  struct jb_step *steps;
  uint32_t times;      /* occurrences; 0: not scheduled */
  int64_t first_ms;    /* Unix time of the first */
  int64_t interval_ms; /* between two */
  int64_t received_ms; /* Unix time when it was handed in */
  /* what its queue said then */
  uint32_t priority;
  uint32_t max_attempts;
  uint32_t stretch_milli;
  int64_t target_ms;
  bool advised; /* a policy says which backend servers may run a step */
};

void jb_desc_code (struct ba_io *io, struct jb_desc *desc);

/* Return NULL when DESC makes sense, else what is wrong with it: static, for
   people, and naming the field by the product's own terms.  */
const char *jb_desc_check (const struct jb_desc *desc);

/* Return whether ID is the ID of a job.  */
bool jb_desc_is_id (const char *id);

/* Return the work of STEP, or of all steps, of one occurrence, in thousandths
   of a core times milliseconds; lasting steps count nothing.  */
int64_t jb_step_work (const struct jb_step *step);
int64_t jb_desc_work (const struct jb_desc *desc);

/* Return the longest chain of estimated work from STEP to the end, in
   milliseconds.  */
int64_t jb_desc_chain (const struct jb_desc *desc, uint32_t step);

/* Return the longest chain of one occurrence, in milliseconds.  */
int64_t jb_desc_longest (const struct jb_desc *desc);

/* Return whether a step lasts.  */
bool jb_desc_lasts (const struct jb_desc *desc);

#endif
