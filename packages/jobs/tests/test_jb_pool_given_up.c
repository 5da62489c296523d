/* Test of the runs that an owner has given up and that are listed later.

   Expected load: backend servers that carry out starts seconds later, and
   racks that fall silent.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"
#include "ignoring_driver.h"

#include <stdio.h>
#include <string.h>

#define NOW (60 * JB_SECOND)

enum
{
  MAX_RUNS = 1024, /* that are remembered */
  BORN = 1000,
  NEXT_BORN = 2000
};

struct fixture
{
  TALLOC_CTX *mem;
  struct jb_driver *driver;
  struct jb_pool *pool;
  struct jb_backend *backend;
  struct jb_task *task; /* which has run 20001 */
  char name[JB_TASK_NAME_SIZE];
  uint32_t line_count; /* number of lines `run-late' */
  /* The fields of the last one, each followed by a space.  */
  char line[512];
};

static void
record_log (void *context, enum jb_level level, const char *event,
            const struct jb_log_field *fields, uint32_t count)
{
  struct fixture *fixture = context;
  size_t length = 0;

  (void)level;
  if (strcmp (event, "run-late") != 0)
    return;
  fixture->line_count++;
  for (uint32_t i = 0; i < count && length < sizeof fixture->line; i++)
    length += (size_t)snprintf (fixture->line + length,
                                sizeof fixture->line - length, "%s=%s ",
                                fields[i].name, fields[i].value);
}

static void
ignore_claim (void *data, jb_time now, bool held)
{
  (void)data;
  (void)now;
  (void)held;
}

static void
ignore_loss (void *data, jb_time now)
{
  (void)data;
  (void)now;
}

static const struct jb_driver_ops driver_ops
    = { .submit = ignore_command, .log = record_log };

/* Return a job with a task.  */
static struct jb_job *
create_job (TALLOC_CTX *mem)
{
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  struct jb_job *job;

  desc->id = talloc_strdup (desc, "0123456789abcdef");
  desc->step_count = 1;
  desc->steps = talloc_zero_array (desc, struct jb_step, 1);
  desc->steps[0].task_count = 1;
  job = jb_job_new (mem, desc);
  jb_job_open_next_occurrence (job);
  return job;
}

static void
set_up (struct fixture *fixture)
{
  struct jb_backend_entry entry = { .instance = "i-1",
                                    .address = "10.0.0.1:1",
                                    .zone = "z",
                                    .started_unix_ms = BORN };
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "host",
                                          .incarnation = 1,
                                          .on_claimed = ignore_claim,
                                          .on_lost = ignore_loss };
  struct jb_task_group *group;

  memset (fixture, 0, sizeof *fixture);
  fixture->mem = talloc_new (NULL);
  fixture->driver = jb_driver_new (fixture->mem, &driver_ops, fixture);
  fixture->backend = jb_backend_new (fixture->mem, &entry);
  fixture->pool = talloc_zero (fixture->mem, struct jb_pool);
  fixture->pool->options.driver = fixture->driver;
  options.driver = fixture->driver;
  fixture->pool->ownership = jb_ownership_new (fixture->pool, &options);
  group = g_ptr_array_index (create_job (fixture->mem)->groups, 0);
  fixture->task = &group->tasks[0];
  jb_task_assign (fixture->task, fixture->backend, JB_RUN_STARTING);
  fixture->task->run = 2 * JB_RUN_NUMBERS_PER_OWNER + 1;
  jb_task_name (fixture->task, fixture->name);
}

static void
give_up (struct fixture *fixture, enum jb_loss_cause cause, jb_time now)
{
  jb_pool_remember_given_up (fixture->pool, fixture->task, now, cause);
}

/* The backend server lists the run of the task: as active if OUTCOME is
   NULL.  */
static void
list (struct fixture *fixture, const enum jb_run_outcome *outcome, jb_time now)
{
  jb_pool_check_late_run (fixture->pool, fixture->backend, fixture->name,
                          fixture->task->run, outcome, now);
}

static uint64_t
count_of (const struct fixture *fixture, enum jb_counter counter)
{
  return jb_driver_metrics (fixture->driver)->counters[counter];
}

static void
assert_late (const struct fixture *fixture, uint32_t restarted, uint32_t same)
{
  CU_ASSERT_EQUAL (count_of (fixture, JB_COUNT_LATE_RUNS_RESTARTED),
                   restarted);
  CU_ASSERT_EQUAL (count_of (fixture, JB_COUNT_LATE_RUNS_SAME), same);
  CU_ASSERT_EQUAL (fixture->line_count, restarted + same);
}

static void
assert_field (const struct fixture *fixture, const char *field)
{
  if (strstr (fixture->line, field) == NULL)
    fprintf (stderr, "no '%s' in '%s'\n", field, fixture->line);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture->line, field));
}

/* A run that the next incarnation carries out must not look like one that the
   same incarnation carries out.  */
static void
test_next_incarnation (void)
{
  struct fixture fixture;

  set_up (&fixture);
  give_up (&fixture, JB_LOSS_START_UNANSWERED, NOW);
  fixture.backend->started_unix_ms = NEXT_BORN;
  list (&fixture, NULL, NOW + 3 * JB_SECOND);
  assert_late (&fixture, 1, 0);
  assert_field (&fixture, "listed=active after_ms=3000 "
                          "why=its start was not answered restarted=yes "
                          "born=2000 former_born=1000 generation=3 ");
  list (&fixture, NULL, NOW + 4 * JB_SECOND);
  assert_late (&fixture, 1, 0);
  talloc_free (fixture.mem);
}

/* What a restart has lost was meant for the former incarnation, though the
   next one is known when it is given up.  */
static void
test_lost_by_restart (void)
{
  struct fixture fixture;

  set_up (&fixture);
  fixture.backend->started_unix_ms = NEXT_BORN;
  fixture.backend->former_started_unix_ms = BORN;
  give_up (&fixture, JB_LOSS_RESTARTED, NOW);
  list (&fixture, &(enum jb_run_outcome){ JB_OUTCOME_DONE }, NOW + JB_SECOND);
  assert_late (&fixture, 1, 0);
  assert_field (&fixture, "listed=done ");
  talloc_free (fixture.mem);
}

/* A run that is active after the end of its lease must be seen; one that has
   ended with its lease is no late run.  */
static void
test_lease_over (void)
{
  struct fixture fixture;

  set_up (&fixture);
  jb_backend_record_clock (fixture.backend, NOW - 10 * JB_SECOND, 500);
  jb_backend_expect_lease (fixture.backend, NOW - 10 * JB_SECOND, 4850);
  give_up (&fixture, JB_LOSS_LEASE_EXPIRED, NOW);
  list (&fixture, &(enum jb_run_outcome){ JB_OUTCOME_LEASE_EXPIRED },
        NOW + JB_SECOND);
  assert_late (&fixture, 0, 0);
  give_up (&fixture, JB_LOSS_LEASE_EXPIRED, NOW);
  list (&fixture, NULL, NOW + JB_SECOND);
  assert_late (&fixture, 0, 1);
  /* The lease of 4.9 s with its margin lasts 5 s on a slow clock.  */
  assert_field (&fixture, "why=its lease has expired lease_over_ms=6000 "
                          "restarted=no ");
  talloc_free (fixture.mem);
}

/* Neither old runs nor more than the bound are remembered, and those that are
   dropped are counted.  */
static void
test_bounds (void)
{
  struct fixture fixture;
  uint32_t first_run;

  set_up (&fixture);
  give_up (&fixture, JB_LOSS_UNLISTED, NOW);
  list (&fixture, NULL, NOW + 21 * JB_SECOND);
  assert_late (&fixture, 0, 0);
  first_run = fixture.task->run;
  for (uint32_t i = 0; i < MAX_RUNS + 2; i++, fixture.task->run++)
    give_up (&fixture, JB_LOSS_UNLISTED, NOW + 30 * JB_SECOND);
  CU_ASSERT_EQUAL (count_of (&fixture, JB_COUNT_GIVEN_UP_RUNS_DROPPED), 2);
  fixture.task->run = first_run + 1;
  list (&fixture, NULL, NOW + 31 * JB_SECOND);
  assert_late (&fixture, 0, 0);
  fixture.task->run = first_run + 2;
  list (&fixture, NULL, NOW + 31 * JB_SECOND);
  assert_late (&fixture, 0, 1);
  talloc_free (fixture.mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late run in the next incarnation", test_next_incarnation },
          { "a late run that a restart has lost", test_lost_by_restart },
          { "a run after the end of its lease", test_lease_over },
          { "the number and age of the runs are bounded", test_bounds },
          { NULL, NULL } };

  return dp_test_main ("runs that were given up", tests);
}
