/* Throttles best-effort tasks according to the tail latency of the services on
   the same backend server.  */

#include "jb_pool_internal.h"

#include "jb_throttle.h"

#define SET_SPEED_TIMEOUT_MS 300

/* A change of speed in flight.  */
struct set_speed_request
{
  struct jb_pool *pool;
  struct jb_backend *backend;
  struct jb_task_ref ref;
  uint32_t run;
  uint32_t previous_percent;
  jb_time previous_set_at;
};

static void
handle_set_speed_reply (void *data, jb_time now, jb_time sent_at,
                        const struct jb_reply *reply)
{
  struct set_speed_request *request = data;
  struct jb_pool *pool = request->pool;
  struct jb_task *task
      = jb_pool_find_run (pool, &request->ref, request->backend, request->run);

  (void)now;
  if (reply->result != JB_RESULT_OK)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "set-speed-failed", "pool",
            pool->options.name, "result", jb_itoa (reply->result), NULL);
  /* Nothing has changed, so the change is decided again.  */
  if (reply->result != JB_RESULT_OK && reply->result != JB_RESULT_UNKNOWN
      && task != NULL && task->speed_set_at == sent_at)
    {
      task->speed_percent = request->previous_percent;
      task->speed_set_at = request->previous_set_at;
    }
  talloc_free (request);
}

static void
send_set_speed (struct jb_pool *pool, struct jb_task *task,
                uint32_t speed_percent, jb_time now)
{
  struct jb_backend *backend = task->backend;
  struct set_speed_request *request
      = talloc_zero (backend, struct set_speed_request);
  char name[JB_TASK_NAME_SIZE];
  struct jb_command command
      = { .kind = JB_COMMAND_SET_SPEED,
          .timeout_ms = SET_SPEED_TIMEOUT_MS,
          .backend = jb_pool_target (pool, backend, false),
          .u.set_speed
          = { jb_task_name (task, name), task->run, speed_percent } };

  jb_log (pool->options.driver, JB_LEVEL_INFO, "speed-set", "task", name,
          "backend", backend->instance, "previous_percent",
          jb_itoa (task->speed_percent), "percent", jb_itoa (speed_percent),
          NULL);
  request->pool = pool;
  request->backend = backend;
  jb_task_ref_parse (name, &request->ref);
  request->run = task->run;
  request->previous_percent = task->speed_percent;
  request->previous_set_at = task->speed_set_at;
  task->speed_percent = speed_percent;
  task->speed_set_at = now;
  jb_driver_submit (pool->options.driver, backend, now, &command,
                    handle_set_speed_reply, request);
}

void
jb_pool_throttle_backend (struct jb_pool *pool, struct jb_backend *backend,
                          jb_time now)
{
  struct jb_throttle_input input = { 0 };

  if (!jb_pool_may_command (pool, now))
    return;
  /* Find the service with the highest tail latency relative to its target.  */
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
      uint32_t speed_percent;

      if (!jb_task_step (task)->best_effort || task->state != JB_RUN_RUNNING)
        continue;
      input.speed_percent = task->speed_percent;
      input.changed_at = task->speed_set_at;
      speed_percent = jb_throttle_decide (&input, now);
      /* After a takeover the speed that the previous owner set is unknown.  It
         is taken for full speed, so the first command follows when a lower
         speed is needed.  */
      if (speed_percent != task->speed_percent)
        send_set_speed (pool, task, speed_percent, now);
    }
}
