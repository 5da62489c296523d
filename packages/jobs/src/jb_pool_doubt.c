/* Starts in doubt (jb_doubt.h) of a pool: where their tasks may start, and
   which ends of runs are not acknowledged.  */

#include "jb_pool_internal.h"

#include "jb_takeover.h"

#include <string.h>

/* An end of a run on one incarnation of INSTANCE that is not acknowledged
   while a start of TASK is in doubt.  */
struct held_end
{
  char *task;
  char *instance;
  uint32_t incarnation;
  uint64_t number;
};

struct jb_pool_doubts
{
  struct jb_doubt_table *table;
  GPtrArray *held_ends; /* struct held_end */
};

static int
doubts_destroy (struct jb_pool_doubts *doubts)
{
  g_ptr_array_free (doubts->held_ends, TRUE);
  return 0;
}

struct jb_pool_doubts *
jb_pool_doubts_new (TALLOC_CTX *mem)
{
  struct jb_pool_doubts *doubts = talloc_zero (mem, struct jb_pool_doubts);

  doubts->table = jb_doubt_table_new (doubts);
  doubts->held_ends = g_ptr_array_new ();
  talloc_set_destructor (doubts, doubts_destroy);
  return doubts;
}

/* ---- starts ---- */

static bool
is_disabled (const struct jb_pool *pool)
{
  return jb_pool_has_disabled (pool, JB_SAFEGUARD_DOUBT);
}

void
jb_pool_begin_start (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  char name[JB_TASK_NAME_SIZE];

  if (is_disabled (pool) || jb_takeover_may_start_copies (jb_task_step (task)))
    return;
  jb_doubt_add (pool->doubts->table, jb_task_name (task, name), task->run,
                task->backend->instance, now);
  task->in_doubt = true;
  task->backend->doubt_count++;
}

void
jb_pool_start_answered (struct jb_pool *pool, const char *task, uint32_t run,
                        const struct jb_backend *backend, bool succeeded)
{
  jb_doubt_answer (pool->doubts->table, task, run, backend->instance,
                   succeeded);
}

struct jb_doubt *
jb_pool_find_doubt (const struct jb_pool *pool, struct jb_task *task)
{
  char name[JB_TASK_NAME_SIZE];
  struct jb_doubt *doubt;

  if (!task->in_doubt)
    return NULL;
  doubt = jb_doubt_find (pool->doubts->table, jb_task_name (task, name));
  task->in_doubt = doubt != NULL;
  return doubt;
}

struct jb_backend *
jb_pool_choose_in_doubt (const struct jb_pool *pool, struct jb_task *task,
                         jb_time now)
{
  const struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);
  struct jb_backend *backend
      = doubt != NULL ? g_hash_table_lookup (pool->backends, doubt->instance)
                      : NULL;

  if (backend == NULL || !jb_pool_backend_is_usable (pool, backend, now))
    return NULL;
  return jb_place_choose (task, &backend, 1, NULL, now);
}

/* Return whether BACKEND has answered a command with a fencing token that is
   higher than that of the starts of DOUBT, and so refuses them as long as it
   doesn't restart.  */
static bool
is_barred (const struct jb_backend *backend, const struct jb_doubt *doubt)
{
  return doubt->until - JB_MAX_COMMAND_DELAY < backend->fence_raised_at
         && backend->asked_at >= backend->fence_raised_at;
}

bool
jb_pool_may_renumber (struct jb_pool *pool, struct jb_task *task, jb_time now)
{
  const struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);
  struct jb_backend *backend
      = doubt != NULL ? g_hash_table_lookup (pool->backends, doubt->instance)
                      : NULL;

  if (doubt == NULL || (doubt->run == task->run && doubt->run_closed))
    return true;
  if (backend == NULL)
    return false;
  if (doubt->until - JB_MAX_COMMAND_DELAY >= backend->fence_raised_at)
    {
      jb_pool_raise_fence (pool, backend, now);
      backend->probe_urgent = true;
      backend->next_probe = MIN (backend->next_probe, now);
    }
  return is_barred (backend, doubt);
}

void
jb_pool_close_run (struct jb_pool *pool, struct jb_task *task)
{
  struct jb_doubt *doubt = jb_pool_find_doubt (pool, task);

  if (doubt != NULL && doubt->run == task->run)
    doubt->run_closed = true;
}

/* ---- reports of backend servers ---- */

void
jb_pool_run_listed (struct jb_pool *pool, const struct jb_backend *backend,
                    const char *task, uint32_t run)
{
  if (jb_doubt_count (pool->doubts->table) > 0)
    jb_doubt_settle (pool->doubts->table, task, run, backend->instance);
}

/* If a start of the task NAME is in doubt, do not acknowledge end NUMBER on
   BACKEND before that is over.  */
static void
hold_end (struct jb_pool *pool, struct jb_backend *backend, const char *name,
          uint64_t number)
{
  struct held_end *held;

  if (jb_doubt_find (pool->doubts->table, name) == NULL)
    return;
  held = talloc_zero (pool->doubts, struct held_end);
  held->task = talloc_strdup (held, name);
  held->instance = talloc_strdup (held, backend->instance);
  held->incarnation = backend->incarnation;
  held->number = number;
  g_ptr_array_add (pool->doubts->held_ends, held);
  if (backend->held_from == 0 || number < backend->held_from)
    backend->held_from = number;
}

void
jb_pool_end_listed (struct jb_pool *pool, struct jb_backend *backend,
                    const struct jb_ended_run *ended_run)
{
  struct jb_task_ref ref;
  struct jb_job *job;
  struct jb_task_group *group;
  struct jb_doubt *doubt;

  jb_pool_run_listed (pool, backend, ended_run->task, ended_run->run);
  if (jb_doubt_count (pool->doubts->table) == 0
      || !jb_task_ref_parse (ended_run->task, &ref))
    return;
  doubt = jb_doubt_find (pool->doubts->table, ended_run->task);
  if (doubt != NULL && doubt->run == ended_run->run)
    doubt->run_closed = true;
  if (ended_run->outcome != JB_OUTCOME_DONE
      && ended_run->outcome != JB_OUTCOME_FAILED)
    return;
  job = g_hash_table_lookup (pool->jobs, ref.id);
  group
      = job != NULL ? jb_job_find_group (job, ref.occurrence, ref.step) : NULL;
  if (group == NULL || !jb_task_group_step (group)->gang)
    {
      hold_end (pool, backend, ended_run->task, ended_run->number);
      return;
    }
  /* It is the end of all members.  */
  for (ref.index = 0; ref.index < group->task_count; ref.index++)
    {
      char name[JB_TASK_NAME_SIZE];

      hold_end (pool, backend, jb_task_ref_name (&ref, name),
                ended_run->number);
    }
}

uint64_t
jb_pool_ackable_end (const struct jb_backend *backend)
{
  if (backend->held_from != 0 && backend->held_from <= backend->stored_end)
    return backend->held_from - 1;
  return backend->stored_end;
}

/* ---- the end of doubt ---- */

struct visit
{
  struct jb_pool *pool;
  const char *address;
  const char *instance;
  jb_time now;
};

static bool
is_at_instance (void *data, struct jb_doubt *doubt)
{
  const struct visit *visit = data;

  return strcmp (doubt->instance, visit->instance) == 0;
}

static bool
is_at_address (void *data, struct jb_doubt *doubt)
{
  const struct visit *visit = data;
  const struct jb_backend *backend
      = g_hash_table_lookup (visit->pool->backends, doubt->instance);

  return backend != NULL && strcmp (backend->address, visit->address) == 0
         && !is_at_instance (data, doubt);
}

void
jb_pool_drop_doubts_at (struct jb_pool *pool, const char *address,
                        const char *instance)
{
  struct visit visit
      = { .pool = pool, .address = address, .instance = instance };

  jb_doubt_visit (pool->doubts->table, is_at_address, &visit);
}

void
jb_pool_drop_doubts (struct jb_pool *pool, const char *instance)
{
  struct visit visit = { .pool = pool, .instance = instance };

  jb_doubt_visit (pool->doubts->table, is_at_instance, &visit);
  pool->schedule_due = true;
}

/* Return whether BACKEND is gone, since nobody hears it, or will be before it
   could restart once more: it drains, and has restarted since the start of
   DOUBT was sent and answered a command that bars that.  */
static bool
is_gone (const struct jb_backend *backend, const struct jb_doubt *doubt,
         jb_time now)
{
  if (backend->draining && is_barred (backend, doubt)
      && doubt->until - JB_MAX_COMMAND_DELAY < backend->restart_seen_at)
    return true;
  return !backend->listed
         && backend->unanswered_probes >= JB_SILENT_AFTER_PROBES
         && jb_backend_leases_have_expired (backend, now);
}

/* Remove DOUBT if it is over, else count it at its backend server.  */
static bool
expire_doubt (void *data, struct jb_doubt *doubt)
{
  const struct visit *visit = data;
  struct jb_pool *pool = visit->pool;
  struct jb_backend *backend
      = g_hash_table_lookup (pool->backends, doubt->instance);

  if (jb_doubt_is_over (doubt, visit->now,
                        backend != NULL ? backend->asked_at : 0,
                        pool->options.bounds->max_lease_ms)
      || (backend != NULL && is_gone (backend, doubt, visit->now)))
    return true;
  if (backend != NULL)
    backend->doubt_count++;
  return false;
}

/* Forget the held ends that may be acknowledged now, and set from which number
   on ends are held at each backend server.  */
static void
release_ends (struct jb_pool *pool)
{
  GPtrArray *held_ends = pool->doubts->held_ends;

  for (guint i = held_ends->len; i-- > 0;)
    {
      struct held_end *held = g_ptr_array_index (held_ends, i);
      struct jb_backend *backend
          = g_hash_table_lookup (pool->backends, held->instance);

      if (backend == NULL || backend->incarnation != held->incarnation
          || jb_doubt_find (pool->doubts->table, held->task) == NULL)
        talloc_free (g_ptr_array_remove_index_fast (held_ends, i));
      else if (backend->held_from == 0 || held->number < backend->held_from)
        backend->held_from = held->number;
    }
}

void
jb_pool_expire_doubts (struct jb_pool *pool, jb_time now)
{
  struct visit visit = { .pool = pool, .now = now };
  const GPtrArray *backends = jb_pool_list_backends (pool);

  for (guint i = 0; i < backends->len; i++)
    {
      struct jb_backend *backend = g_ptr_array_index (backends, i);

      backend->doubt_count = 0;
      backend->held_from = 0;
    }
  jb_doubt_visit (pool->doubts->table, expire_doubt, &visit);
  release_ends (pool);
}
