/* Runs that were lost with their backend server.

   When a backend server does not answer until its leases have expired, it may
   have crashed or be cut off.  A crash shows when another instance answers at
   its address, or the same one after a restart, which may be later.  */

#include "jb_crash.h"
#include "jb_pool_internal.h"

#include <string.h>

/* How long a crash of a silent backend server may take to show, and how long
   the runs of one that has crashed are remembered.  */
#define LOSS_LIFETIME (15 * JB_SECOND)
#define CRASH_LIFETIME (30 * JB_SECOND)

/* A run that was lost with its backend server.  */
struct lost_run
{
  struct jb_task_ref ref;
  enum jb_crash_phase phase;
};

/* The runs that were lost with a backend server that may have crashed, or has
   crashed.  */
struct jb_loss
{
  char *instance;
  char *address;
  jb_time heard_at; /* last answer */
  jb_time lost_at;
  bool is_crash;
  bool in_wave; /* of crashes */
  uint32_t count;
  struct lost_run *runs;
};

const char *
jb_pool_loss_cause_text (enum jb_loss_cause cause)
{
  static const char *const texts[]
      = { [JB_LOSS_START_UNANSWERED] = "its start was not answered",
          [JB_LOSS_UNLISTED] = "it was not listed any more",
          [JB_LOSS_LEASE_EXPIRED] = "its lease has expired",
          [JB_LOSS_REPLACED] = "another instance answers at its address",
          [JB_LOSS_RESTARTED] = "the backend server has restarted" };

  return texts[cause];
}

static struct jb_task *
find_task (const struct jb_pool *pool, const struct lost_run *run)
{
  struct jb_job *job = g_hash_table_lookup (pool->jobs, run->ref.id);

  return job != NULL && job->ended_at == 0 ? jb_job_find_task (job, &run->ref)
                                           : NULL;
}

static void
remove_loss (struct jb_pool *pool, guint index)
{
  talloc_free (g_ptr_array_remove_index (pool->losses, index));
}

/* Return whether the run of TASK is lost by CAUSE: after a restart, all but
   those that the answer processed at NOW lists; if its lease has expired, not
   while its start is in flight, which may have opened another.  */
static bool
is_lost (const struct jb_pool *pool, struct jb_task *task,
         enum jb_loss_cause cause, jb_time now)
{
  if (cause == JB_LOSS_LEASE_EXPIRED)
    return task->state != JB_RUN_STARTING
           || jb_pool_is_start_unsent (pool, task);
  return cause != JB_LOSS_RESTARTED || task->reported_at != now;
}

/* Return whether the run of TASK, which is lost by CAUSE, may have been on its
   backend server when that crashed.  If another instance answers while the
   first start of the run awaits its answer, the crash was before: none takes
   so little time to be replaced.  */
static bool
may_have_crashed (const struct jb_task *task, enum jb_loss_cause cause)
{
  return cause != JB_LOSS_REPLACED || task->state != JB_RUN_STARTING
         || task->last_attempt_at != 0;
}

/* Remember the runs on BACKEND that are lost by CAUSE and may have crashed
   it.  */
static void
add_loss (struct jb_pool *pool, const struct jb_backend *backend, jb_time now,
          enum jb_loss_cause cause)
{
  struct jb_loss *loss = talloc_zero (pool, struct jb_loss);

  loss->instance = talloc_strdup (loss, backend->instance);
  loss->address = talloc_strdup (loss, backend->address);
  loss->heard_at = backend->clock_received_at;
  loss->lost_at = now;
  loss->runs = talloc_array (loss, struct lost_run, backend->task_count);
  for (struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    {
      struct lost_run *run = &loss->runs[loss->count];
      char name[JB_TASK_NAME_SIZE];

      if (!is_lost (pool, task, cause, now) || !may_have_crashed (task, cause)
          || jb_pool_is_start_unsent (pool, task))
        continue;
      run->phase = jb_crash_phase_of (task);
      if (jb_task_ref_parse (jb_task_name (task, name), &run->ref))
        loss->count++;
    }
  if (loss->count == 0)
    talloc_free (loss);
  else
    g_ptr_array_add (pool->losses, loss);
}

/* Return whether LOSS belongs to a wave.  The others may not be known to have
   crashed yet: they are silent, or were so until their leases expired.  */
static bool
is_in_wave (const struct jb_pool *pool, const struct jb_loss *loss)
{
  jb_time *others = talloc_array (
      NULL, jb_time, pool->losses->len + g_hash_table_size (pool->backends));
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;
  bool result;

  for (guint i = 0; i < pool->losses->len; i++)
    {
      const struct jb_loss *other = g_ptr_array_index (pool->losses, i);

      if (other != loss)
        others[count++] = other->heard_at;
    }
  /* One whose runs are lost has no tasks.  */
  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (backend->unanswered_probes >= JB_SILENT_AFTER_PROBES
          && backend->task_count > 0)
        others[count++] = backend->clock_received_at;
    }
  result = jb_crash_is_wave (loss->heard_at, others, count);
  talloc_free (others);
  return result;
}

/* The backend server of LOSS has crashed: count that for its runs.  */
static void
record_crash (struct jb_pool *pool, struct jb_loss *loss, jb_time now)
{
  loss->is_crash = true;
  loss->in_wave = is_in_wave (pool, loss);
  jb_count_event (pool->options.driver, JB_COUNT_BACKENDS_CRASHED);
  jb_log (pool->options.driver, JB_LEVEL_WARN, "backend-crashed", "backend",
          loss->instance, "pool", pool->options.name, "runs",
          jb_itoa (loss->count), "lost_ms",
          jb_itoa ((now - loss->lost_at) / JB_MS), "wave",
          loss->in_wave ? "yes" : "no", NULL);
  for (uint32_t i = 0; i < loss->count; i++)
    {
      struct jb_task *task = find_task (pool, &loss->runs[i]);

      if (task == NULL || task->done)
        continue;
      jb_crash_record (task, loss->runs[i].phase, loss->in_wave);
      jb_pool_mark_dirty (pool, task->group->job, now);
    }
}

/* Return whether one of the runs of LOSS was one of TASK.  */
static bool
contains_task (const struct jb_pool *pool, const struct jb_loss *loss,
               const struct jb_task *task)
{
  for (uint32_t i = 0; i < loss->count; i++)
    if (find_task (pool, &loss->runs[i]) == task)
      return true;
  return false;
}

void
jb_pool_attribute_crashes (struct jb_pool *pool, const struct jb_task *task,
                           jb_time now)
{
  for (guint i = pool->losses->len; i-- > 0;)
    {
      struct jb_loss *loss = g_ptr_array_index (pool->losses, i);

      if (!loss->is_crash || !contains_task (pool, loss, task))
        continue;
      for (uint32_t j = 0; j < loss->count; j++)
        {
          struct jb_task *other = find_task (pool, &loss->runs[j]);

          if (other == NULL || other == task)
            continue;
          jb_crash_retract (other, loss->runs[j].phase, loss->in_wave);
          jb_pool_mark_dirty (pool, other->group->job, now);
        }
      remove_loss (pool, i);
    }
}

/* Order tasks by descending number of crashes.  */
static int
compare_crashes (const void *a, const void *b)
{
  const struct jb_task *x = *(struct jb_task *const *)a;
  const struct jb_task *y = *(struct jb_task *const *)b;

  return (x->crashes < y->crashes) - (x->crashes > y->crashes);
}

/* Give up the tasks of the crash LOSS that have too many crashes, those with
   the most first: the others may then have fewer.  */
static void
give_up_tasks (struct jb_pool *pool, const struct jb_loss *loss, jb_time now)
{
  GPtrArray *tasks = g_ptr_array_new ();

  for (uint32_t i = 0; i < loss->count; i++)
    {
      struct jb_task *task = find_task (pool, &loss->runs[i]);

      if (task != NULL && jb_crash_gives_up (task))
        g_ptr_array_add (tasks, task);
    }
  g_ptr_array_sort (tasks, compare_crashes);
  for (guint i = 0; i < tasks->len; i++)
    jb_pool_handle_run_update (pool, g_ptr_array_index (tasks, i), now);
  g_ptr_array_free (tasks, TRUE);
}

/* Count the crashes of silent backend servers at ADDRESS: if SAME, of
   INSTANCE, else of all others.  */
static void
confirm_losses (struct jb_pool *pool, const char *address,
                const char *instance, bool same, jb_time now)
{
  for (guint i = pool->losses->len; i-- > 0;)
    {
      struct jb_loss *loss = g_ptr_array_index (pool->losses, i);

      if (loss->is_crash || strcmp (loss->address, address) != 0
          || (strcmp (loss->instance, instance) == 0) != same)
        continue;
      record_crash (pool, loss, now);
      give_up_tasks (pool, loss, now);
      /* This may have removed LOSS and others.  */
      i = MIN (i, pool->losses->len);
    }
}

void
jb_pool_confirm_losses (struct jb_pool *pool, const char *address,
                        const char *instance, jb_time now)
{
  confirm_losses (pool, address, instance, false, now);
  jb_pool_drop_doubts_at (pool, address, instance);
}

void
jb_pool_dismiss_losses (struct jb_pool *pool, const char *instance)
{
  for (guint i = pool->losses->len; i-- > 0;)
    {
      const struct jb_loss *loss = g_ptr_array_index (pool->losses, i);

      if (!loss->is_crash && strcmp (loss->instance, instance) == 0)
        remove_loss (pool, i);
    }
}

void
jb_pool_expire_losses (struct jb_pool *pool, jb_time now)
{
  for (guint i = pool->losses->len; i-- > 0;)
    {
      const struct jb_loss *loss = g_ptr_array_index (pool->losses, i);

      if (now - loss->lost_at
          > (loss->is_crash ? CRASH_LIFETIME : LOSS_LIFETIME))
        remove_loss (pool, i);
    }
}

void
jb_pool_clear_lost_runs (struct jb_pool *pool, struct jb_backend *backend,
                         jb_time now, enum jb_loss_cause cause)
{
  struct jb_task *next;
  uint32_t count = 0;
  /* A backend server that leaves ends the runs that it still has.  */
  bool is_planned = backend->draining || now < backend->cordoned_until;

  for (struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    count += is_lost (pool, task, cause, now);
  if (count > 0 && !is_planned)
    add_loss (pool, backend, now, cause);
  for (struct jb_task *task = backend->tasks; task != NULL; task = next)
    {
      char name[JB_TASK_NAME_SIZE];

      next = task->next_on_backend;
      if (!is_lost (pool, task, cause, now))
        continue;
      jb_count_event (pool->options.driver, JB_COUNT_END_VANISHED);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "run-lost", "task",
              jb_task_name (task, name), "run", jb_itoa (task->run), "backend",
              backend->instance, "crashes", jb_itoa (task->crashes), NULL);
      jb_pool_remember_given_up (pool, task, now, cause);
      jb_pool_clear_run (pool, task, now);
    }
  if (count > 0)
    jb_log (pool->options.driver, JB_LEVEL_WARN, "runs-lost", "backend",
            backend->instance, "pool", pool->options.name, "runs",
            jb_itoa (count), "reason", jb_pool_loss_cause_text (cause),
            "last_answer_ms",
            jb_itoa ((now - backend->clock_received_at) / JB_MS), "born",
            jb_itoa (backend->started_unix_ms), NULL);
  if (cause == JB_LOSS_REPLACED)
    jb_pool_drop_doubts (pool, backend->instance);
  if (cause != JB_LOSS_LEASE_EXPIRED)
    confirm_losses (pool, backend->address, backend->instance, true, now);
  /* If it was replaced, nothing tells by which of the others.  */
  if (cause == JB_LOSS_RESTARTED)
    confirm_losses (pool, backend->address, backend->instance, false, now);
}
