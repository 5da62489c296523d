#include "jb_place.h"

#include "jb_crash.h"

#include <string.h>

/* Penalties of running a task on a backend server, in decreasing order: each
   outweighs those below it.  */
#define PENALTY_AVOIDED_BACKEND 1e6
/* In another rack than the task's data, or than the other tasks of a colocated
   step.  */
#define PENALTY_REMOTE_RACK 1e4
/* For a long-running task, per task of the same step in the rack.  */
#define PENALTY_SAME_RACK 1e3
/* For a best-effort task, per service on the backend server.  */
#define PENALTY_BESIDE_SERVICE 1e2
/* For a best-effort task, per other such task on the backend server; for a
   long-running task, per best-effort task there.  */
#define PENALTY_PER_NEIGHBOUR 10
/* For a long-running task, on a backend server without services.  A backend
   server with a service can't be moved to another pool or switched off, so
   services of different steps share few of them.  */
#define PENALTY_NO_SERVICE 5

bool
jb_place_is_allowed (const struct jb_task *task,
                     const struct jb_backend *backend)
{
  const struct jb_step *step = jb_task_step (task);
  uint32_t same_step = 0;

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
      same_step++;
  return same_step < step->max_per_backend;
}

struct jb_resources
jb_place_required (const struct jb_task *task)
{
  struct jb_resources required = jb_task_step (task)->resources;

  if (jb_task_step (task)->best_effort)
    required.cpu_milli = 0;
  return required;
}

bool
jb_place_fits (const struct jb_task *task, const struct jb_backend *backend)
{
  struct jb_resources required = jb_place_required (task);
  struct jb_resources available = jb_backend_available (backend);

  return jb_resources_fit (&required, &available);
}

/* Return how many tasks of TASK's step run in BACKEND's rack.  */
static uint32_t
count_in_rack (const struct jb_task *task, const struct jb_backend *backend)
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

/* Count the services and best-effort tasks on BACKEND.  */
static void
count_tasks (const struct jb_backend *backend, uint32_t *services,
             uint32_t *best_effort_tasks)
{
  *services = 0;
  *best_effort_tasks = 0;
  for (const struct jb_task *t = backend->tasks; t != NULL;
       t = t->next_on_backend)
    {
      const struct jb_step *step = jb_task_step (t);

      if (step->best_effort)
        ++*best_effort_tasks;
      else if (step->long_running)
        ++*services;
    }
}

static double
free_share_squared (int64_t required, int64_t available, int64_t capacity)
{
  double share
      = capacity > 0 ? (double)(available - required) / (double)capacity : 0;

  return share * share;
}

double
jb_place_leftover (const struct jb_resources *required,
                   const struct jb_resources *available,
                   const struct jb_resources *capacity)
{
  return (free_share_squared (required->cpu_milli, available->cpu_milli,
                              capacity->cpu_milli)
          + free_share_squared (required->memory_mb, available->memory_mb,
                                capacity->memory_mb)
          + free_share_squared (required->accelerators,
                                available->accelerators,
                                capacity->accelerators))
         / 3;
}

/* Return the penalty of running TASK on BACKEND; the lowest wins.  The share
   of the CPU that is free there, at most 1, decides between equals: short
   tasks prefer the fullest backend server, all others the emptiest.  With
   BEST_FIT, for short tasks jb_place_leftover decides between equals.  */
static double
penalty (const struct jb_task *task, const struct jb_backend *backend,
         bool best_fit)
{
  const struct jb_step *step = jb_task_step (task);
  struct jb_resources available = jb_backend_available (backend);
  double result = 0;
  uint32_t services;
  uint32_t best_effort_tasks;

  count_tasks (backend, &services, &best_effort_tasks);
  if (step->data_rack != NULL
      && (backend->rack == NULL
          || strcmp (backend->rack, step->data_rack) != 0))
    result += PENALTY_REMOTE_RACK;
  if (step->colocate && task->group->active_runs > 0
      && count_in_rack (task, backend) == 0)
    result += PENALTY_REMOTE_RACK;
  if (step->best_effort)
    return result + PENALTY_BESIDE_SERVICE * services
           + PENALTY_PER_NEIGHBOUR * best_effort_tasks
           - (double)available.cpu_milli
                 / (double)(backend->capacity.cpu_milli + 1);
  if (step->long_running)
    return result + PENALTY_SAME_RACK * count_in_rack (task, backend)
           + PENALTY_PER_NEIGHBOUR * best_effort_tasks
           + (services == 0 ? PENALTY_NO_SERVICE : 0)
           - (double)available.cpu_milli
                 / (double)(backend->capacity.cpu_milli + 1);
  if (best_fit)
    return result
           + jb_place_leftover (&step->resources, &available,
                                &backend->capacity);
  return result
         + (double)available.cpu_milli
               / (double)(backend->capacity.cpu_milli + 1);
}

static struct jb_backend *
choose (const struct jb_task *task, struct jb_backend *const *backends,
        uint32_t count, const struct jb_backend *avoid, jb_time now,
        bool best_fit)
{
  struct jb_backend *best = NULL;
  double best_penalty = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct jb_backend *backend = backends[i];
      double candidate_penalty;

      if (!jb_place_fits (task, backend)
          || !jb_place_is_allowed (task, backend)
          || jb_crash_keeps_apart (task, backend, now))
        continue;
      candidate_penalty = penalty (task, backend, best_fit)
                          + (backend == avoid ? PENALTY_AVOIDED_BACKEND : 0);
      if (best == NULL || candidate_penalty < best_penalty)
        {
          best = backend;
          best_penalty = candidate_penalty;
        }
    }
  return best;
}

struct jb_backend *
jb_place_choose (const struct jb_task *task,
                 struct jb_backend *const *backends, uint32_t count,
                 const struct jb_backend *avoid, jb_time now)
{
  return choose (task, backends, count, avoid, now, false);
}

struct jb_backend *
jb_place_choose_best_fit (const struct jb_task *task,
                          struct jb_backend *const *backends, uint32_t count,
                          const struct jb_backend *avoid, jb_time now)
{
  return choose (task, backends, count, avoid, now, true);
}

/* ---- room ---- */

bool
jb_place_miss_covers (const struct jb_place_miss *miss,
                      const struct jb_resources *required, const char *label)
{
  return jb_resources_fit (&miss->required, required)
         && (miss->label == NULL
             || (label != NULL && strcmp (miss->label, label) == 0));
}

bool
jb_place_is_hopeless (const struct jb_place_room *room,
                      const struct jb_task *task)
{
  struct jb_resources required = jb_place_required (task);
  const char *label = jb_task_step (task)->required_label;

  for (uint32_t i = 0; i < room->miss_count; i++)
    if (jb_place_miss_covers (&room->misses[i], &required, label))
      return true;
  return false;
}

/* Add to ROOM that TASK fits nowhere.  */
static void
add_miss (struct jb_place_room *room, const struct jb_task *task)
{
  struct jb_place_miss miss
      = { jb_place_required (task), jb_task_step (task)->required_label };
  uint32_t kept = 0;

  /* The new miss makes those superfluous that it covers.  */
  for (uint32_t i = 0; i < room->miss_count; i++)
    if (!jb_place_miss_covers (&miss, &room->misses[i].required,
                               room->misses[i].label))
      room->misses[kept++] = room->misses[i];
  room->miss_count = kept;
  if (room->miss_count < JB_PLACE_MAX_MISSES)
    room->misses[room->miss_count++] = miss;
}

static bool
has_room_on (const struct jb_task *task, const struct jb_backend *backend)
{
  return jb_place_fits (task, backend)
         && jb_backend_has_label (backend,
                                  jb_task_step (task)->required_label);
}

bool
jb_place_has_room (struct jb_place_room *room, const struct jb_task *task,
                   struct jb_backend *const *backends, uint32_t count)
{
  if (room->hint < count && has_room_on (task, backends[room->hint]))
    return true;
  if (jb_place_is_hopeless (room, task))
    return false;
  for (uint32_t i = 0; i < count; i++)
    if (has_room_on (task, backends[i]))
      {
        room->hint = i;
        return true;
      }
  add_miss (room, task);
  return false;
}
