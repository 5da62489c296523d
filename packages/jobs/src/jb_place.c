#include "jb_place.h"

#include <string.h>

/* Penalties that order the choices; each outweighs those below it.  */
#define PENALTY_AVOID 1e6
#define PENALTY_FAR 1e4     /* away from the data, or from the others */
#define PENALTY_RACK 1e3    /* a further lasting task in the same rack */
#define PENALTY_SERVING 1e2 /* a filling task beside one that serves */
#define PENALTY_CROWD 10

bool
jb_place_allowed (const struct jb_task *task, const struct jb_backend *backend)
{
  const struct jb_step *step = jb_task_step (task);
  uint32_t same = 0;

  if (!jb_backend_has_label (backend, step->required_label))
    return false;
  if (task->group->job->desc->needs_advice
      && jb_task_group_ticket (task->group, backend) == NULL)
    return false;
  if (step->max_per_backend == 0)
    return true;
  for (const struct jb_task *t = backend->tasks; t != NULL;
       t = t->next_on_backend)
    if (t->group == task->group)
      same++;
  return same < step->max_per_backend;
}

bool
jb_place_fits (const struct jb_task *task, const struct jb_backend *backend)
{
  struct jb_resources amount = jb_task_step (task)->resources;
  struct jb_resources left = jb_backend_available (backend);

  if (jb_task_step (task)->best_effort)
    amount.cpu_milli = 0;
  return jb_resources_fit (&amount, &left);
}

/* Count the tasks of TASK's step that run in BACKEND's rack.  */
static uint32_t
same_rack (const struct jb_task *task, const struct jb_backend *backend)
{
  const struct jb_task_group *group = task->group;
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->task_count; i++)
    {
      const struct jb_backend *other = group->tasks[i].backend;

      if (other != NULL && backend->rack != NULL && other->rack != NULL
          && strcmp (other->rack, backend->rack) == 0)
        count++;
    }
  return count;
}

static void
count_tasks (const struct jb_backend *backend, uint32_t *serving,
             uint32_t *filling)
{
  *serving = 0;
  *filling = 0;
  for (const struct jb_task *t = backend->tasks; t != NULL;
       t = t->next_on_backend)
    {
      const struct jb_step *step = jb_task_step (t);

      if (step->best_effort)
        ++*filling;
      else if (step->long_running)
        ++*serving;
    }
}

/* Return how little BACKEND suits TASK; lower is better.  */
static double
penalty (const struct jb_task *task, const struct jb_backend *backend)
{
  const struct jb_step *step = jb_task_step (task);
  struct jb_resources left = jb_backend_available (backend);
  double result = 0;
  uint32_t serving;
  uint32_t filling;

  count_tasks (backend, &serving, &filling);
  if (step->data_rack != NULL
      && (backend->rack == NULL
          || strcmp (backend->rack, step->data_rack) != 0))
    result += PENALTY_FAR;
  if (step->colocate && task->group->active_runs > 0
      && same_rack (task, backend) == 0)
    result += PENALTY_FAR;
  if (step->best_effort)
    return result + PENALTY_SERVING * serving + PENALTY_CROWD * filling
           - (double)left.cpu_milli
                 / (double)(backend->capacity.cpu_milli + 1);
  if (step->long_running)
    return result + PENALTY_RACK * same_rack (task, backend)
           + PENALTY_CROWD * (serving + filling)
           - (double)left.cpu_milli
                 / (double)(backend->capacity.cpu_milli + 1);
  return result
         + (double)left.cpu_milli / (double)(backend->capacity.cpu_milli + 1);
}

struct jb_backend *
jb_place_choose (const struct jb_task *task,
                 struct jb_backend *const *backends, uint32_t count,
                 const struct jb_backend *avoid)
{
  struct jb_backend *best = NULL;
  double best_penalty = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct jb_backend *backend = backends[i];
      double p;

      if (!jb_place_fits (task, backend) || !jb_place_allowed (task, backend))
        continue;
      p = penalty (task, backend) + (backend == avoid ? PENALTY_AVOID : 0);
      if (best == NULL || p < best_penalty)
        {
          best = backend;
          best_penalty = p;
        }
    }
  return best;
}
