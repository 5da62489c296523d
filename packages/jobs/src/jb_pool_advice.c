/* Advice: on some queues only the service that keeps the policy knows which
   backend servers may run a step, and a start there carries its ticket.  The
   answer takes long and does not change, so one is asked for as soon as a step
   is known, for as many backend servers as are likely to be needed.  */

#include "jb_pool_internal.h"

#include <stdio.h>

/* Backend servers named in one question.  */
#define MOST_NAMED 30

#define ADVICE_TIMEOUT_MS 8000
#define ADVICE_RETRY (200 * JB_MS)

/* A ticket is not used in its last moments.  */
#define TICKET_MARGIN (100 * JB_MS)

/* A question under way.  The group may be gone when it is answered.  */
struct question
{
  struct jb_pool *pool;
  struct jb_task_ref ref;
};

static int
advice_destroy (struct jb_advice *advice)
{
  g_hash_table_destroy (advice->tickets);
  return 0;
}

static struct jb_advice *
get_advice (struct jb_task_group *group)
{
  if (group->advice == NULL)
    {
      group->advice = talloc_zero (group, struct jb_advice);
      group->advice->tickets
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      talloc_set_destructor (group->advice, advice_destroy);
    }
  return group->advice;
}

static void
advised (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct question *question = data;
  struct jb_pool *pool = question->pool;
  struct jb_job *job = g_hash_table_lookup (pool->jobs, question->ref.id);
  struct jb_task_group *group
      = job != NULL ? jb_job_find_group (job, question->ref.occurrence,
                                         question->ref.step)
                    : NULL;
  struct jb_advice *advice;

  (void)sent;
  talloc_free (question);
  if (group == NULL || group->advice == NULL)
    return;
  advice = group->advice;
  advice->request_in_flight = false;
  advice->retry_at = now + ADVICE_RETRY;
  if (reply->result != JB_RESULT_OK)
    {
      jb_log (pool->options.driver, JB_LEVEL_INFO, "advice-failed", "job",
              job->desc->id, "result", jb_itoa (reply->result), NULL);
      return;
    }
  advice->valid_until = now + reply->tickets_valid_ms * JB_MS - TICKET_MARGIN;
  for (uint32_t i = 0; i < reply->ticket_count; i++)
    g_hash_table_insert (advice->tickets,
                         g_strdup (reply->tickets[i].instance),
                         g_strdup (reply->tickets[i].ticket));
  pool->schedule_due = true;
}

static void
ask (struct jb_pool *pool, struct jb_task_group *group, jb_time now)
{
  struct jb_advice *advice = get_advice (group);
  const char *named[MOST_NAMED];
  struct question *question;
  struct jb_command order
      = { .kind = JB_COMMAND_GET_ADVICE, .timeout_ms = ADVICE_TIMEOUT_MS };
  char step[JB_TASK_NAME_SIZE];
  uint32_t count = MIN (pool->usable_count, MOST_NAMED);

  if (advice->request_in_flight || now < advice->retry_at || count == 0)
    return;
  for (uint32_t i = 0; i < count; i++)
    named[i] = pool->usable_backends[(advice->next_backend + i)
                                     % pool->usable_count]
                   ->instance;
  advice->next_backend += count;
  advice->request_in_flight = true;
  g_hash_table_remove_all (advice->tickets);
  question = talloc_zero (pool->duty, struct question);
  question->pool = pool;
  g_strlcpy (question->ref.id, group->job->desc->id, sizeof question->ref.id);
  question->ref.occurrence = group->occurrence;
  question->ref.step = group->step;
  snprintf (step, sizeof step, "%s.%u.%u", group->job->desc->id,
            group->occurrence, group->step);
  order.u.get_advice.step = step;
  order.u.get_advice.backends = named;
  order.u.get_advice.backend_count = count;
  jb_driver_submit (pool->options.driver, pool->duty, now, &order, advised,
                    question);
}

bool
jb_pool_advice_allows_start (struct jb_pool *pool, struct jb_task_group *group,
                             jb_time now)
{
  struct jb_advice *advice;

  if (!group->job->desc->needs_advice)
    return true;
  advice = get_advice (group);
  if (now < advice->valid_until && g_hash_table_size (advice->tickets) > 0)
    return true;
  ask (pool, group, now);
  return false;
}

void
jb_pool_discard_ticket (struct jb_task_group *group,
                        const struct jb_backend *backend)
{
  if (group->advice != NULL)
    g_hash_table_remove (group->advice->tickets, backend->instance);
}
