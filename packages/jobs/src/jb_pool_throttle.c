/* Filling tasks are paced by the tails of the serving tasks beside them.  */

#include "jb_pool_internal.h"

#include "jb_throttle.h"

#define PACE_TIMEOUT_MS 300

static void
pace_done (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct jb_pool *pool = data;

  (void)now;
  (void)sent;
  if (reply->result != JB_RESULT_OK)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "pace-not-set", "pool",
            pool->options.name, "result", jb_itoa (reply->result), NULL);
}

static void
order_pace (struct jb_pool *pool, struct jb_task *task, uint32_t percent,
            jb_time now)
{
  struct jb_backend *backend = task->backend;
  char name[JB_TASK_NAME_SIZE];
  struct jb_command order
      = { .kind = JB_COMMAND_SET_SPEED,
          .timeout_ms = PACE_TIMEOUT_MS,
          .backend = { backend->address, backend->instance,
                       jb_ownership_fence (pool->duty), false },
          .u.set_speed = { jb_task_name (task, name), task->run, percent } };

  jb_log (pool->options.driver, JB_LEVEL_INFO, "pace-set", "task", name,
          "backend", backend->instance, "before",
          jb_itoa (task->speed_percent), "percent", jb_itoa (percent), NULL);
  task->speed_percent = percent;
  task->speed_set_at = now;
  jb_driver_submit (pool->options.driver, backend, now, &order, pace_done,
                    pool);
}

void
jb_pool_throttle_backend (struct jb_pool *pool, struct jb_backend *backend,
                          jb_time now)
{
  struct jb_throttle_input input = { 0 };

  if (!jb_pool_may_command (pool, now))
    return;
  for (const struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    {
      const struct jb_step *step = jb_task_step (task);

      if (!step->long_running || step->best_effort || step->tail_target_ms <= 0
          || task->state != JB_RUN_RUNNING)
        continue;
      if (input.target_ms == 0
          || task->usage * input.target_ms
                 > input.tail_ms * step->tail_target_ms)
        {
          input.tail_ms = task->usage;
          input.target_ms = step->tail_target_ms;
        }
    }
  for (struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    {
      uint32_t percent;

      if (!jb_task_step (task)->best_effort || task->state != JB_RUN_RUNNING)
        continue;
      input.speed_percent = task->speed_percent;
      input.changed_at = task->speed_set_at;
      percent = jb_throttle_decide (&input, now);
      /* What the backend server does after a takeover is not known here: it
         is told once.  */
      if (percent != task->speed_percent)
        order_pace (pool, task, percent, now);
    }
}
