#include "dp_test.h"
#include "jb_msg.h"
#include "jb_work.h"

#include <string.h>

static struct jb_job *
make (TALLOC_CTX *mem, uint32_t times)
{
  struct jb_desc *desc = talloc_zero (mem, struct jb_desc);
  struct jb_job *job;

  desc->id = talloc_strdup (desc, "0123456789abcdef");
  desc->queue = talloc_strdup (desc, "queue");
  desc->spec = talloc_strdup (desc, "spec");
  desc->step_count = 2;
  desc->steps = talloc_zero_array (desc, struct jb_step, 2);
  desc->steps[0].count = 3;
  desc->steps[1].count = 2;
  desc->steps[1].after_count = 1;
  desc->steps[1].after = talloc_zero_array (desc, uint32_t, 1);
  desc->times = times;
  CU_ASSERT_PTR_NULL (jb_desc_check (desc));
  job = jb_job_new (mem, desc);
  jb_job_open_next (job);
  return job;
}

static void
finish_step (struct jb_job *job, uint32_t occurrence, uint32_t step)
{
  struct jb_group *group = jb_job_group (job, occurrence, step);

  for (uint32_t i = 0; i < group->count; i++)
    jb_task_set_done (&group->tasks[i]);
  jb_job_advance (job, occurrence);
}

static void
test_steps (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make (mem, 0);

  CU_ASSERT_TRUE (jb_job_group (job, 0, 0)->open);
  CU_ASSERT_FALSE (jb_job_group (job, 0, 1)->open);
  finish_step (job, 0, 0);
  CU_ASSERT_TRUE (jb_job_group (job, 0, 1)->open);
  CU_ASSERT_FALSE (jb_job_done (job));
  finish_step (job, 0, 1);
  CU_ASSERT_TRUE (jb_job_done (job));
  talloc_free (mem);
}

/* Progress comes back as it was, on a job whose first occurrence has been
   opened already, too.  */
static void
test_progress (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make (mem, 4);
  struct jb_job *copy = make (mem, 4);
  struct jb_task *task;

  jb_job_open_next (job);
  finish_step (job, 0, 0);
  task = &jb_job_group (job, 1, 0)->tasks[2];
  task->checkpoint = talloc_strdup (job, "saved");
  CU_ASSERT_TRUE (jb_task_fail (task, 7));
  CU_ASSERT_TRUE (jb_task_fail (task, 3));
  CU_ASSERT_FALSE (jb_task_fail (task, 7));
  CU_ASSERT_TRUE (jb_progress_apply (copy, jb_progress_encode (mem, job)));
  CU_ASSERT_EQUAL (copy->opened, 2);
  CU_ASSERT_EQUAL (copy->groups->len, 4);
  CU_ASSERT_EQUAL (jb_job_group (copy, 0, 0)->done, 3);
  CU_ASSERT_TRUE (jb_job_group (copy, 0, 1)->open);
  task = &jb_job_group (copy, 1, 0)->tasks[2];
  CU_ASSERT_EQUAL (task->failures, 2);
  CU_ASSERT_STRING_EQUAL (task->checkpoint, "saved");
  CU_ASSERT_FALSE (jb_task_fail (task, 3));
  finish_step (copy, 0, 1);
  jb_job_trim (copy);
  CU_ASSERT_EQUAL (copy->done_upto, 1);
  CU_ASSERT_PTR_NULL (jb_job_group (copy, 0, 0));
  CU_ASSERT_PTR_NOT_NULL (jb_job_group (copy, 1, 0));
  talloc_free (mem);
}

static void
test_names (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make (mem, 0);
  char name[JB_TASK_NAME_SIZE];
  struct jb_task_ref ref;

  jb_task_name (&jb_job_group (job, 0, 1)->tasks[1], name);
  CU_ASSERT_STRING_EQUAL (name, "0123456789abcdef.0.1.1");
  CU_ASSERT_TRUE (jb_task_ref_parse (name, &ref));
  CU_ASSERT_PTR_EQUAL (jb_job_task (job, &ref),
                       &jb_job_group (job, 0, 1)->tasks[1]);
  CU_ASSERT_FALSE (jb_task_ref_parse ("0123456789abcdef.0.1", &ref));
  CU_ASSERT_FALSE (jb_task_ref_parse ("0123.0.1.1", &ref));
  CU_ASSERT_FALSE (jb_task_ref_parse ("0123456789abcdef.0.1.1x", &ref));
  CU_ASSERT_FALSE (jb_desc_is_id ("0123456789abcdeg"));
  talloc_free (mem);
}

/* A lease has passed only when it has on the slowest clock, and asking again
   moves that.  */
static void
test_leases (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_backend_entry entry
      = { .instance = "b", .pool = "p", .address = "10.0.0.1:1", .zone = "z" };
  struct jb_backend *backend = jb_backend_new (mem, &entry);
  jb_time now = 100 * JB_SECOND;

  jb_backend_clock (backend, now, 5000);
  CU_ASSERT_EQUAL (jb_backend_lease (backend, now, 3000), 8000);
  CU_ASSERT_FALSE (jb_backend_lapsed (backend, now + 3050 * JB_MS));
  CU_ASSERT_TRUE (jb_backend_lapsed (backend, now + 3200 * JB_MS));
  jb_backend_lease (backend, now + JB_SECOND, 3000);
  CU_ASSERT_FALSE (jb_backend_lapsed (backend, now + 3200 * JB_MS));
  backend->born_ms = 10;
  CU_ASSERT_FALSE (jb_backend_reborn (backend, 0));
  CU_ASSERT_TRUE (jb_backend_reborn (backend, 11));
  talloc_free (mem);
}

static void
test_messages (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make (mem, 0);
  struct jb_msg message = { .type = JB_MSG_REQUEST };
  struct ba_bytes bytes;
  struct jb_msg *back;
  struct jb_desc *desc;

  message.u.request.call = 7;
  message.u.request.pool = "pool";
  message.u.request.id = job->desc->id;
  message.u.request.desc = job->desc;
  bytes = jb_msg_encode (mem, &message);
  back = jb_msg_decode (mem, bytes);
  CU_ASSERT_PTR_NOT_NULL_FATAL (back);
  if (back == NULL)
    return; /* clang-tidy does not know that the assertion ends the test */
  desc = back->u.request.desc;
  CU_ASSERT_PTR_NOT_NULL_FATAL (desc);
  if (desc == NULL)
    return;
  CU_ASSERT_EQUAL (desc->steps[1].after[0], 0);
  CU_ASSERT_STRING_EQUAL (desc->spec, "spec");
  for (size_t len = 0; len < bytes.len; len++)
    {
      struct ba_bytes part = { bytes.data, len };

      CU_ASSERT_PTR_NULL (jb_msg_decode (mem, part));
    }
  talloc_free (mem);
}

static void
test_catalog (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_catalog *catalog = talloc_zero (mem, struct jb_catalog);
  struct jb_queue queues[] = {
    { .name = "a", .host = "x.example", .prefix = "/a/", .pool = "p" },
    { .name = "ab", .host = "x.example", .prefix = "/a/b/", .pool = "p" },
    { .name = "y", .host = "y.example", .prefix = "/a/", .pool = "p" }
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
  static const struct dp_test tests[] = { { "steps in turn", test_steps },
                                          { "progress", test_progress },
                                          { "names of tasks", test_names },
                                          { "leases", test_leases },
                                          { "messages", test_messages },
                                          { "catalog", test_catalog },
                                          { NULL, NULL } };

  return dp_test_main ("tables of jobs", tests);
}
