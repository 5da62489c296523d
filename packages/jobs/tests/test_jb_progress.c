/* Progress that is stored in several rows.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"
#include "jb_progress.h"

#include <string.h>

enum
{
  OCCURRENCE_COUNT = 6,
  STEP_TASKS = 300, /* of each of two steps; not a multiple of a segment */
  ROW_BYTES = 6000,
  ROWS_PER_WRITE = 3,
  ROUND_COUNT = 40
};

/* A job and the rows that are stored of it.  */
struct fixture
{
  TALLOC_CTX *mem;
  struct jb_job *job;
  GTree *rows; /* suffix of the key -> struct ba_bytes */
  GPtrArray *obsolete;
};

static struct jb_job *
make_job (TALLOC_CTX *mem)
{
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  struct jb_job *job;

  desc->id = talloc_strdup (desc, "0123456789abcdef");
  desc->queue = talloc_strdup (desc, "queue");
  desc->spec = talloc_strdup (desc, "spec");
  desc->step_count = 2;
  desc->steps = talloc_zero_array (desc, struct jb_step, 2);
  desc->steps[0].task_count = STEP_TASKS;
  desc->steps[1].task_count = STEP_TASKS;
  desc->steps[1].predecessor_count = 1;
  desc->steps[1].predecessors = talloc_zero_array (desc, uint32_t, 1);
  desc->scheduled_occurrences = OCCURRENCE_COUNT;
  CU_ASSERT_PTR_NULL (jb_job_desc_check (desc));
  job = jb_job_new (mem, desc);
  jb_job_open_next_occurrence (job);
  return job;
}

static gint
compare_suffixes (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
open_fixture (struct fixture *fixture)
{
  fixture->mem = talloc_new (NULL);
  fixture->job = make_job (fixture->mem);
  fixture->rows = g_tree_new_full (compare_suffixes, NULL, NULL, NULL);
  fixture->obsolete = g_ptr_array_new_with_free_func (g_free);
}

static void
close_fixture (struct fixture *fixture)
{
  g_tree_destroy (fixture->rows);
  g_ptr_array_free (fixture->obsolete, TRUE);
  talloc_free (fixture->mem);
}

/* Write what one transaction has room for.  Return whether all is stored.  */
static bool
write_rows (struct fixture *fixture)
{
  struct jb_progress_rows rows = { .max_count = ROWS_PER_WRITE,
                                   .max_bytes = 100 * ROW_BYTES,
                                   .max_row_bytes = ROW_BYTES,
                                   .obsolete = fixture->obsolete };
  bool is_complete;

  rows.rows
      = talloc_array (fixture->mem, struct jb_progress_row, ROWS_PER_WRITE);
  is_complete = jb_progress_collect (fixture->mem, fixture->job, &rows);
  for (uint32_t i = 0; i < rows.count; i++)
    {
      CU_ASSERT (rows.rows[i].value.len <= ROW_BYTES);
      g_tree_replace (fixture->rows, rows.rows[i].key_suffix,
                      talloc_memdup (fixture->mem, &rows.rows[i].value,
                                     sizeof rows.rows[i].value));
    }
  for (guint i = 0; i < fixture->obsolete->len; i++)
    CU_ASSERT_TRUE (g_tree_remove (fixture->rows,
                                   g_ptr_array_index (fixture->obsolete, i)));
  g_ptr_array_set_size (fixture->obsolete, 0);
  return is_complete;
}

static gboolean
load_row (gpointer key, gpointer value, gpointer data)
{
  struct jb_job *job = data;
  const struct ba_bytes *bytes = value;

  if (jb_progress_is_segment (key))
    CU_ASSERT_TRUE (jb_progress_load_segment (job, key, *bytes))
  else
    CU_ASSERT_TRUE (jb_job_apply_progress (job, *bytes))
  return FALSE;
}

/* Return the job as a new owner reads it.  */
static struct jb_job *
load_job (const struct fixture *fixture)
{
  struct jb_job *job = make_job (fixture->mem);

  g_tree_foreach (fixture->rows, load_row, job);
  return job;
}

static bool
is_same_progress (const struct fixture *fixture, struct jb_job *copy)
{
  struct ba_bytes a = jb_job_encode_progress (fixture->mem, fixture->job);
  struct ba_bytes b = jb_job_encode_progress (fixture->mem, copy);

  return a.len == b.len && memcmp (a.data, b.data, a.len) == 0;
}

/* Let some tasks of JOB make progress, and its occurrences.  */
static void
make_progress (struct jb_job *job, GRand *random)
{
  for (int i = 0; i < 250; i++)
    {
      struct jb_task_group *group = g_ptr_array_index (
          job->groups,
          (guint)g_rand_int_range (random, 0, (gint)job->groups->len));
      struct jb_task *task
          = &group->tasks[g_rand_int_range (random, 0, STEP_TASKS)];

      task->crashes = (uint32_t)g_rand_int_range (random, 0, 2);
      task->checkpoint = talloc_asprintf (
          group, "%08x%08x", g_rand_int (random), g_rand_int (random));
      if (g_rand_int_range (random, 0, 8) == 0)
        jb_task_record_failure (task, (uint32_t)i);
      if (g_rand_int_range (random, 0, 2) == 0)
        jb_task_mark_done (task);
    }
  if (job->opened_occurrences < OCCURRENCE_COUNT
      && g_rand_int_range (random, 0, 5) == 0)
    jb_job_open_next_occurrence (job);
  for (uint32_t step = 0; step < 2 && g_rand_int_range (random, 0, 3) == 0;
       step++)
    {
      struct jb_task_group *group
          = jb_job_find_group (job, job->dropped_occurrences, step);

      for (uint32_t i = 0; group != NULL && i < STEP_TASKS; i++)
        jb_task_mark_done (&group->tasks[i]);
    }
  if (job->opened_occurrences - job->dropped_occurrences > 1)
    jb_job_drop_done_occurrences (job);
}

/* Return whether a task that was done when BEFORE was complete isn't in
   COPY.  */
static bool
lacks_done_task (struct jb_job *before, struct jb_job *copy)
{
  for (guint i = 0; i < before->groups->len; i++)
    {
      const struct jb_task_group *group
          = g_ptr_array_index (before->groups, i);
      const struct jb_task_group *other
          = jb_job_find_group (copy, group->occurrence, group->step);

      if (other == NULL && group->occurrence >= copy->opened_occurrences)
        return true;
      for (uint32_t j = 0; other != NULL && j < group->task_count; j++)
        if (group->tasks[j].done && !other->tasks[j].done)
          return true;
    }
  return copy->dropped_occurrences < before->dropped_occurrences;
}

/* The rows that a new owner reads must hold the whole progress once all were
   written.  If its predecessor has only written some of them, they must hold
   at least what was complete before, since the ends of those runs may have
   been acknowledged.  */
static void
test_segments (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      struct fixture fixture;
      GRand *random = g_rand_new_with_seed (seed);
      struct jb_job *complete;

      open_fixture (&fixture);
      complete = load_job (&fixture);
      for (int i = 0; i < ROUND_COUNT; i++)
        {
          make_progress (fixture.job, random);
          while (!write_rows (&fixture))
            CU_ASSERT_FALSE (lacks_done_task (complete, load_job (&fixture)));
          complete = load_job (&fixture);
          CU_ASSERT_TRUE (is_same_progress (&fixture, complete));
          /* A new owner goes on with what it has read.  */
          if (i % 10 == 9)
            fixture.job = load_job (&fixture);
        }
      jb_progress_remove (fixture.job, fixture.obsolete);
      CU_ASSERT_EQUAL (g_tree_nnodes (fixture.rows),
                       (gint)fixture.obsolete->len + 1);
      g_rand_free (random);
      close_fixture (&fixture);
    }
}

/* A job of few tasks keeps the only row, which owners of previous versions
   read.  Only what has changed is written.  */
static void
test_written_rows (void)
{
  struct fixture fixture;
  struct jb_task_group *group;
  struct jb_progress_rows rows = { .max_count = 90,
                                   .max_bytes = 100 * ROW_BYTES,
                                   .max_row_bytes = ROW_BYTES };

  open_fixture (&fixture);
  rows.obsolete = fixture.obsolete;
  rows.rows = talloc_array (fixture.mem, struct jb_progress_row, 90);
  group = jb_job_find_group (fixture.job, 0, 0);
  jb_task_mark_done (&group->tasks[0]);
  CU_ASSERT_TRUE (jb_progress_collect (fixture.mem, fixture.job, &rows));
  CU_ASSERT_EQUAL (rows.count, 1);
  CU_ASSERT_STRING_EQUAL (rows.rows[0].key_suffix, JB_KEY_SUFFIX_PROGRESS);
  for (uint32_t i = 0; i < STEP_TASKS; i++)
    group->tasks[i].checkpoint = talloc_strdup (group, "0123456789abcdef");
  rows.count = 0;
  CU_ASSERT_TRUE (jb_progress_collect (fixture.mem, fixture.job, &rows));
  CU_ASSERT_EQUAL (rows.count, 4);
  jb_task_mark_done (&group->tasks[200]);
  rows.count = 0;
  CU_ASSERT_TRUE (jb_progress_collect (fixture.mem, fixture.job, &rows));
  CU_ASSERT_EQUAL (rows.count, 1);
  CU_ASSERT_STRING_EQUAL (rows.rows[0].key_suffix, ".p.1");
  close_fixture (&fixture);
}

/* A checkpoint that is as large as a row must not keep the rest of the
   progress from being stored.  */
static void
test_large_checkpoint (void)
{
  struct fixture fixture;
  struct jb_task_group *group;
  struct jb_job *copy;

  open_fixture (&fixture);
  group = jb_job_find_group (fixture.job, 0, 0);
  jb_task_mark_done (&group->tasks[0]);
  group->tasks[1].checkpoint = talloc_zero_array (group, char, ROW_BYTES + 1);
  memset (group->tasks[1].checkpoint, 'x', ROW_BYTES);
  while (!write_rows (&fixture))
    ;
  copy = load_job (&fixture);
  CU_ASSERT_TRUE (jb_job_find_group (copy, 0, 0)->tasks[0].done);
  CU_ASSERT_PTR_NULL (jb_job_find_group (copy, 0, 0)->tasks[1].checkpoint);
  close_fixture (&fixture);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "rows of segments hold the whole progress", test_segments },
          { "rows that are written", test_written_rows },
          { "a checkpoint as large as a row", test_large_checkpoint },
          { NULL, NULL } };

  return dp_test_main ("progress", tests);
}
