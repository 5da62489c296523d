/* Test of the commands that throttle best-effort tasks.

   Expected load: an owner of a pool that is too busy to send some of its
   commands in time.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"
#include "ignoring_driver.h"

#define NOW (60 * JB_SECOND)

struct fixture
{
  struct jb_driver *driver;
  uint64_t last_command; /* number of the newest command */
  uint32_t speeds_set;   /* number of commands that set a speed */
};

static void
record_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  struct fixture *fixture = context;

  fixture->last_command = number;
  if (command->kind == JB_COMMAND_SET_SPEED)
    fixture->speeds_set++;
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
    = { .submit = record_command, .log = ignore_log };

static void
reply (struct fixture *fixture, jb_time now, enum jb_reply_result result)
{
  struct jb_reply message = { .result = result, .version = 7 };

  jb_driver_receive_reply (fixture->driver, now, fixture->last_command,
                           &message);
}

/* Return a job with a service and a best-effort task.  */
static struct jb_job *
create_job (TALLOC_CTX *mem)
{
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  struct jb_job *job;

  desc->id = talloc_strdup (desc, "0123456789abcdef");
  desc->step_count = 2;
  desc->steps = talloc_zero_array (desc, struct jb_step, 2);
  desc->steps[0] = (struct jb_step){ .task_count = 1,
                                     .long_running = true,
                                     .tail_target_ms = 100 };
  desc->steps[1] = (struct jb_step){ .task_count = 1,
                                     .long_running = true,
                                     .best_effort = true };
  job = jb_job_new (mem, desc);
  jb_job_open_next_occurrence (job);
  return job;
}

/* A best-effort task whose pause was not sent works on beside a service that
   is over its target.  */
static void
test_pause_not_sent (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { 0 };
  struct jb_backend_entry entry
      = { .instance = "i-1", .address = "10.0.0.1:1", .zone = "z" };
  struct jb_backend *backend = jb_backend_new (mem, &entry);
  struct jb_pool *pool = talloc_zero (mem, struct jb_pool);
  struct jb_job *job = create_job (mem);
  struct jb_task_group *service = g_ptr_array_index (job->groups, 0);
  struct jb_task_group *best_effort = g_ptr_array_index (job->groups, 1);
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "host",
                                          .incarnation = 1,
                                          .on_claimed = ignore_claim,
                                          .on_lost = ignore_loss };

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  pool->options.driver = fixture.driver;
  pool->options.name = "pool";
  pool->stage = JB_STAGE_ACTIVE;
  pool->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (pool->jobs, job->desc->id, job);
  pool->ownership = jb_ownership_new (pool, &options);
  jb_ownership_claim (pool->ownership, NOW);
  reply (&fixture, NOW, JB_RESULT_OK);
  reply (&fixture, NOW, JB_RESULT_OK);
  jb_task_assign (&service->tasks[0], backend, JB_RUN_RUNNING);
  jb_task_assign (&best_effort->tasks[0], backend, JB_RUN_RUNNING);
  service->tasks[0].usage = 200;
  jb_pool_throttle_backend (pool, backend, NOW);
  CU_ASSERT_EQUAL (fixture.speeds_set, 1);
  reply (&fixture, NOW + 300 * JB_MS, JB_RESULT_NOT_SENT);
  jb_pool_throttle_backend (pool, backend, NOW + JB_SECOND);
  CU_ASSERT_EQUAL (fixture.speeds_set, 2);
  g_hash_table_destroy (pool->jobs);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a pause that was not sent is sent again", test_pause_not_sent },
          { NULL, NULL } };

  return dp_test_main ("throttling of a pool", tests);
}
