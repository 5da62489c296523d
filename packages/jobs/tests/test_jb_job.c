/* The data of jobs: task groups and their progress, task names, leases of
   backend servers, messages that carry a job, and the catalog.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"
#include "jb_msg.h"
#include "jb_job.h"

#include <string.h>

/* Return a job with OCCURRENCE_COUNT occurrences, of which the first is open.
   Its step 1, with 2 tasks, depends on step 0, with 3 tasks.  */
static struct jb_job *
make_job (TALLOC_CTX *mem, uint32_t occurrence_count)
{
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  struct jb_job *job;

  desc->id = talloc_strdup (desc, "0123456789abcdef");
  desc->queue = talloc_strdup (desc, "queue");
  desc->spec = talloc_strdup (desc, "spec");
  desc->step_count = 2;
  desc->steps = talloc_zero_array (desc, struct jb_step, 2);
  desc->steps[0].task_count = 3;
  desc->steps[1].task_count = 2;
  desc->steps[1].predecessor_count = 1;
  desc->steps[1].predecessors = talloc_zero_array (desc, uint32_t, 1);
  desc->scheduled_occurrences = occurrence_count;
  CU_ASSERT_PTR_NULL (jb_job_desc_check (desc));
  job = jb_job_new (mem, desc);
  jb_job_open_next_occurrence (job);
  return job;
}

static void
finish_step (struct jb_job *job, uint32_t occurrence, uint32_t step)
{
  struct jb_task_group *group = jb_job_find_group (job, occurrence, step);

  for (uint32_t i = 0; i < group->task_count; i++)
    jb_task_mark_done (&group->tasks[i]);
  jb_job_update_ready_groups (job, occurrence);
}

/* A step must not start before the steps that it depends on are done, and a
   job must not end before its last step is.  */
static void
test_steps (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_job (mem, 0);

  CU_ASSERT_TRUE (jb_job_find_group (job, 0, 0)->ready);
  CU_ASSERT_FALSE (jb_job_find_group (job, 0, 1)->ready);
  finish_step (job, 0, 0);
  CU_ASSERT_TRUE (jb_job_find_group (job, 0, 1)->ready);
  CU_ASSERT_FALSE (jb_job_is_done (job));
  finish_step (job, 0, 1);
  CU_ASSERT_TRUE (jb_job_is_done (job));
  talloc_free (mem);
}

/* A new owner that reads stored progress must know the same done tasks, failed
   runs and checkpoints as the previous one, also if the first occurrence of
   the job is open already.  A failed run that was stored must not count
   twice.  */
static void
test_progress (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_job (mem, 4);
  struct jb_job *copy = make_job (mem, 4);
  struct jb_task *task;

  jb_job_open_next_occurrence (job);
  finish_step (job, 0, 0);
  task = &jb_job_find_group (job, 1, 0)->tasks[2];
  task->checkpoint = talloc_strdup (job, "saved");
  CU_ASSERT_TRUE (jb_task_record_failure (task, 7));
  CU_ASSERT_TRUE (jb_task_record_failure (task, 3));
  CU_ASSERT_FALSE (jb_task_record_failure (task, 7));
  jb_job_find_group (job, 1, 0)->tasks[1].crashes = 3;
  jb_job_find_group (job, 1, 0)->tasks[1].early_crashes = 1;
  CU_ASSERT_TRUE (
      jb_job_apply_progress (copy, jb_job_encode_progress (mem, job)));
  CU_ASSERT_EQUAL (copy->opened_occurrences, 2);
  CU_ASSERT_EQUAL (copy->groups->len, 4);
  CU_ASSERT_EQUAL (jb_job_find_group (copy, 0, 0)->done_count, 3);
  CU_ASSERT_TRUE (jb_job_find_group (copy, 0, 1)->ready);
  task = &jb_job_find_group (copy, 1, 0)->tasks[2];
  CU_ASSERT_EQUAL (task->failures, 2);
  CU_ASSERT_STRING_EQUAL (task->checkpoint, "saved");
  CU_ASSERT_FALSE (jb_task_record_failure (task, 3));
  CU_ASSERT_EQUAL (task->crashes, 0);
  task = &jb_job_find_group (copy, 1, 0)->tasks[1];
  CU_ASSERT_EQUAL (task->crashes, 3);
  CU_ASSERT_EQUAL (task->early_crashes, 1);
  finish_step (copy, 0, 1);
  jb_job_drop_done_occurrences (copy);
  CU_ASSERT_EQUAL (copy->dropped_occurrences, 1);
  CU_ASSERT_PTR_NULL (jb_job_find_group (copy, 0, 0));
  CU_ASSERT_PTR_NOT_NULL (jb_job_find_group (copy, 1, 0));
  talloc_free (mem);
}

/* A task name that a backend server reports must lead to the task that it was
   made from.  Names that are too short or too long must be rejected.  */
static void
test_names (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_job (mem, 0);
  char name[JB_TASK_NAME_SIZE];
  struct jb_task_ref ref;

  jb_task_name (&jb_job_find_group (job, 0, 1)->tasks[1], name);
  CU_ASSERT_STRING_EQUAL (name, "0123456789abcdef.0.1.1");
  CU_ASSERT_TRUE (jb_task_ref_parse (name, &ref));
  CU_ASSERT_PTR_EQUAL (jb_job_find_task (job, &ref),
                       &jb_job_find_group (job, 0, 1)->tasks[1]);
  CU_ASSERT_FALSE (jb_task_ref_parse ("0123456789abcdef.0.1", &ref));
  CU_ASSERT_FALSE (jb_task_ref_parse ("0123.0.1.1", &ref));
  CU_ASSERT_FALSE (jb_task_ref_parse ("0123456789abcdef.0.1.1x", &ref));
  CU_ASSERT_FALSE (jb_job_id_is_valid ("0123456789abcdeg"));
  talloc_free (mem);
}

static bool
leases_have_expired (const struct jb_backend *backend, jb_time now)
{
  return now > jb_backend_leases_expire_at (backend);
}

/* A task must not be started elsewhere while it may still run under its lease:
   a lease has expired only when it has on the slowest allowed clock, and each
   request for a longer lease counts, answered or not.  A start time that was
   not reported is no sign of a restart.  */
static void
test_leases (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_backend_entry entry
      = { .instance = "b", .pool = "p", .address = "10.0.0.1:1", .zone = "z" };
  struct jb_backend *backend = jb_backend_new (mem, &entry);
  jb_time now = 100 * JB_SECOND;
  uint64_t grant = 0;

  jb_backend_record_clock (backend, now, 5000);
  CU_ASSERT_EQUAL (jb_backend_grant_lease (backend, now, 3000, &grant), 8000);
  jb_lease_answer (backend->lease, grant, now);
  CU_ASSERT_FALSE (leases_have_expired (backend, now + 3050 * JB_MS));
  CU_ASSERT_TRUE (leases_have_expired (backend, now + 3200 * JB_MS));
  CU_ASSERT_EQUAL (
      jb_backend_grant_lease (backend, now + JB_SECOND, 3000, &grant), 9000);
  CU_ASSERT_FALSE (leases_have_expired (backend, now + 3200 * JB_MS));
  CU_ASSERT_FALSE (leases_have_expired (backend, now + 6200 * JB_MS));
  CU_ASSERT_TRUE (leases_have_expired (backend, now + 6300 * JB_MS));
  backend->started_unix_ms = 10;
  CU_ASSERT_FALSE (jb_backend_has_restarted (backend, 0));
  CU_ASSERT_TRUE (jb_backend_has_restarted (backend, 11));
  talloc_free (mem);
}

/* A message must be decoded as it was encoded.  One that was cut off anywhere
   must be rejected.  */
static void
test_messages (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_job (mem, 0);
  struct jb_msg message = { .type = JB_MSG_REQUEST };
  struct ba_bytes bytes;
  struct jb_msg *decoded;
  struct jb_job_desc *desc;

  message.u.request.call = 7;
  message.u.request.pool = "pool";
  message.u.request.id = job->desc->id;
  message.u.request.desc = job->desc;
  bytes = jb_msg_encode (mem, &message);
  decoded = jb_msg_decode (mem, bytes);
  CU_ASSERT_PTR_NOT_NULL_FATAL (decoded);
  if (decoded == NULL)
    return; /* clang-tidy does not know that the assertion ends the test */
  desc = decoded->u.request.desc;
  CU_ASSERT_PTR_NOT_NULL_FATAL (desc);
  if (desc == NULL)
    return;
  CU_ASSERT_EQUAL (desc->steps[1].predecessors[0], 0);
  CU_ASSERT_STRING_EQUAL (desc->spec, "spec");
  for (size_t len = 0; len < bytes.len; len++)
    {
      struct ba_bytes part = { bytes.data, len };

      CU_ASSERT_PTR_NULL (jb_msg_decode (mem, part));
    }
  talloc_free (mem);
}

/* The work of a job is part of sums and products of the owner's: a job whose
   work is too large for them must be refused.  */
static void
test_work (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job_desc *desc = make_job (mem, 0)->desc;
  struct jb_step *step = &desc->steps[0];

  step->resources.cpu_milli = 64000;
  step->estimate_ms = 24 * 60 * 60 * 1000;
  CU_ASSERT_PTR_NULL (jb_job_desc_check (desc));
  CU_ASSERT_EQUAL (jb_job_desc_work (desc), 3 * step->estimate_ms * 64000);
  step->resources.cpu_milli = JB_MAX_AMOUNT;
  step->estimate_ms = JB_MAX_DURATION_MS;
  CU_ASSERT_PTR_NOT_NULL (jb_job_desc_check (desc));
  step->task_count = JB_MAX_TASKS_PER_STEP;
  CU_ASSERT_EQUAL (jb_job_desc_work (desc), INT64_MAX);
  desc->steps[1] = *step;
  CU_ASSERT_EQUAL (jb_job_desc_work (desc), INT64_MAX);
  CU_ASSERT_PTR_NOT_NULL (jb_job_desc_check (desc));
  step->long_running = true;
  desc->steps[1].long_running = true;
  CU_ASSERT_PTR_NULL (jb_job_desc_check (desc));
  step->estimate_ms++;
  CU_ASSERT_PTR_NOT_NULL (jb_job_desc_check (desc));
  talloc_free (mem);
}

static uint32_t
count_open_tasks (const struct jb_job *job)
{
  uint32_t count = 0;

  for (guint i = 0; i < job->groups->len; i++)
    count += ((struct jb_task_group *)g_ptr_array_index (job->groups, i))
                 ->task_count;
  return count;
}

/* All occurrences of a scheduled job may be due at once, such as those of one
   with an interval of 0.  Opened at once, their tasks would use up the
   memory.  */
static void
test_open_occurrences (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_pool *pool = talloc_zero (mem, struct jb_pool);
  struct jb_job *job = make_job (mem, JB_MAX_OCCURRENCES);
  uint32_t opened;

  jb_pool_open_due_occurrences (pool, job, JB_SECOND);
  opened = job->opened_occurrences;
  CU_ASSERT_TRUE (opened > 1000);
  CU_ASSERT_TRUE (count_open_tasks (job) <= 65536);
  jb_pool_open_due_occurrences (pool, job, JB_SECOND);
  CU_ASSERT_EQUAL (job->opened_occurrences, opened);
  finish_step (job, 0, 0);
  finish_step (job, 0, 1);
  jb_job_drop_done_occurrences (job);
  jb_pool_open_due_occurrences (pool, job, JB_SECOND);
  CU_ASSERT_EQUAL (job->opened_occurrences, opened + 1);
  talloc_free (mem);
}

/* A backend server that reports a run of the last occurrence must not get all
   of them opened.  */
static void
test_open_reported_occurrence (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_job (mem, JB_MAX_OCCURRENCES);

  jb_job_open_occurrences_up_to (job, 9);
  CU_ASSERT_EQUAL (job->opened_occurrences, 10);
  jb_job_open_occurrences_up_to (job, JB_MAX_OCCURRENCES - 1);
  CU_ASSERT_TRUE (count_open_tasks (job) <= 65536);
  talloc_free (mem);
}

/* A request must go to the queue with the longest matching path prefix on its
   host, and an API key must identify its organisation only.  */
static void
test_catalog (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_catalog *catalog = talloc_zero (mem, struct jb_catalog);
  struct jb_queue queues[] = {
    { .name = "a", .host = "x.example", .path_prefix = "/a/", .pool = "p" },
    { .name = "ab", .host = "x.example", .path_prefix = "/a/b/", .pool = "p" },
    { .name = "y", .host = "y.example", .path_prefix = "/a/", .pool = "p" }
  };
  char *keys[] = { "k1", "k2" };
  struct jb_org orgs[] = { { .name = "o", .keys = keys, .key_count = 2 } };

  catalog->queues = queues;
  catalog->queue_count = 3;
  catalog->orgs = orgs;
  catalog->org_count = 1;
  jb_catalog_index_keys (catalog);
  CU_ASSERT_STRING_EQUAL (
      jb_catalog_match_queue (catalog, "X.example:80", "/a/b/c")->name, "ab");
  CU_ASSERT_STRING_EQUAL (
      jb_catalog_match_queue (catalog, "y.example", "/a/b/c")->name, "y");
  CU_ASSERT_PTR_NULL (jb_catalog_match_queue (catalog, "x.example", "/c/"));
  CU_ASSERT_PTR_NULL (jb_catalog_match_queue (catalog, NULL, "/a/"));
  CU_ASSERT_STRING_EQUAL (jb_catalog_find_org_by_key (catalog, "k2")->name,
                          "o");
  CU_ASSERT_PTR_NULL (jb_catalog_find_org_by_key (catalog, "k3"));
  CU_ASSERT_PTR_NULL (jb_catalog_find_org_by_key (catalog, NULL));
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a step waits for the steps that it depends on", test_steps },
          { "stored progress is restored", test_progress },
          { "task names are parsed and checked", test_names },
          { "leases expire on the slowest allowed clock", test_leases },
          { "truncated messages are rejected", test_messages },
          { "the work of a job is bounded", test_work },
          { "the open occurrences of a job are bounded",
            test_open_occurrences },
          { "occurrences opened for a reported run are bounded",
            test_open_reported_occurrence },
          { "catalog finds queues and organisations", test_catalog },
          { NULL, NULL } };

  return dp_test_main ("data structures of jobs", tests);
}
