/* Runs that this owner has given up, so that their tasks may start again.  One
   that a backend server lists after that is logged and counted: two runs of
   its task may be active.  No decision depends on this table.  */

#include "jb_pool_internal.h"

#include <string.h>

/* How long a run is remembered.  A call without an answer may be carried out
   seconds later; simulations delay calls by up to 12 s.  */
#define GIVEN_UP_LIFETIME (20 * JB_SECOND)

enum
{
  /* Largest number of runs that are remembered.  */
  MAX_GIVEN_UP_RUNS = 1024
};

/* A run that was given up.  */
struct given_up_run
{
  char *task; /* NULL: it has been listed since */
  char *backend;
  int64_t born; /* Unix time (ms) of the start of the incarnation that the run
                   was meant for; 0: not known */
  uint32_t run;
  enum jb_loss_cause cause;
  jb_time given_up_at;
  jb_time lease_expired_at; /* as this owner counted it */
};

/* A ring of runs, the oldest first.  */
struct jb_given_up_table
{
  struct given_up_run runs[MAX_GIVEN_UP_RUNS];
  uint32_t first;
  uint32_t count;
};

static struct given_up_run *
run_at (struct jb_given_up_table *table, uint32_t index)
{
  return &table->runs[(table->first + index) % MAX_GIVEN_UP_RUNS];
}

static void
clear_entry (struct given_up_run *entry)
{
  TALLOC_FREE (entry->task);
  TALLOC_FREE (entry->backend);
}

static void
remove_oldest (struct jb_given_up_table *table)
{
  clear_entry (run_at (table, 0));
  table->first = (table->first + 1) % MAX_GIVEN_UP_RUNS;
  table->count--;
}

/* Forget runs that were given up too long before NOW, or were listed.  */
static void
expire_entries (struct jb_given_up_table *table, jb_time now)
{
  while (table->count > 0
         && (run_at (table, 0)->task == NULL
             || now - run_at (table, 0)->given_up_at > GIVEN_UP_LIFETIME))
    remove_oldest (table);
}

void
jb_pool_remember_given_up (struct jb_pool *pool, const struct jb_task *task,
                           jb_time now, enum jb_loss_cause cause)
{
  const struct jb_backend *backend = task->backend;
  struct jb_given_up_table *table = pool->given_up;
  struct given_up_run *entry;
  char name[JB_TASK_NAME_SIZE];

  if (table == NULL)
    {
      table = talloc_zero (pool, struct jb_given_up_table);
      pool->given_up = table;
    }
  expire_entries (table, now);
  if (table->count == MAX_GIVEN_UP_RUNS)
    {
      jb_count_event (pool->options.driver, JB_COUNT_GIVEN_UP_RUNS_DROPPED);
      remove_oldest (table);
    }
  entry = run_at (table, table->count++);
  entry->task = talloc_strdup (table, jb_task_name (task, name));
  entry->backend = talloc_strdup (table, backend->instance);
  /* After a restart, what is lost was meant for the former incarnation.  */
  entry->born = cause == JB_LOSS_RESTARTED ? backend->former_started_unix_ms
                                           : backend->started_unix_ms;
  entry->run = task->run;
  entry->cause = cause;
  entry->given_up_at = now;
  entry->lease_expired_at = jb_backend_leases_expire_at (backend);
}

static struct given_up_run *
find_entry (struct jb_given_up_table *table, const struct jb_backend *backend,
            const char *task, uint32_t run)
{
  for (uint32_t i = 0; i < table->count; i++)
    {
      struct given_up_run *entry = run_at (table, i);

      if (entry->task != NULL && entry->run == run
          && strcmp (entry->task, task) == 0
          && strcmp (entry->backend, backend->instance) == 0)
        return entry;
    }
  return NULL;
}

static void
report_late_run (struct jb_pool *pool, const struct jb_backend *backend,
                 const struct given_up_run *entry, const char *listed,
                 bool restarted, jb_time now)
{
  bool lease_expired = entry->cause == JB_LOSS_LEASE_EXPIRED;

  jb_count_event (pool->options.driver, restarted
                                            ? JB_COUNT_LATE_RUNS_RESTARTED
                                            : JB_COUNT_LATE_RUNS_SAME);
  jb_log (pool->options.driver, JB_LEVEL_WARN, "run-late", "task", entry->task,
          "run", jb_itoa (entry->run), "backend", entry->backend, "listed",
          listed, "after_ms", jb_itoa ((now - entry->given_up_at) / JB_MS),
          "why", jb_pool_loss_cause_text (entry->cause), "lease_over_ms",
          lease_expired ? jb_itoa ((now - entry->lease_expired_at) / JB_MS)
                        : NULL,
          "restarted", restarted ? "yes" : "no", "born",
          jb_itoa (backend->started_unix_ms), "former_born",
          jb_itoa (entry->born), "generation",
          jb_itoa (jb_pool_generation_of_run (entry->run)), "own_generation",
          jb_itoa (jb_ownership_generation (pool->ownership)), NULL);
}

void
jb_pool_check_late_run (struct jb_pool *pool, const struct jb_backend *backend,
                        const char *task, uint32_t run,
                        const enum jb_run_outcome *outcome, jb_time now)
{
  struct jb_given_up_table *table = pool->given_up;
  struct given_up_run *entry;
  bool restarted;

  if (table == NULL)
    return;
  expire_entries (table, now);
  entry = find_entry (table, backend, task, run);
  if (entry == NULL)
    return;
  restarted = jb_backend_has_restarted (backend, entry->born);
  /* A run that was given up with its lease has ended when the backend server
     answers again: that end is expected.  */
  if (outcome == NULL || restarted || entry->cause != JB_LOSS_LEASE_EXPIRED)
    report_late_run (pool, backend, entry,
                     outcome != NULL ? jb_run_outcome_name (*outcome)
                                     : "active",
                     restarted, now);
  clear_entry (entry);
}
