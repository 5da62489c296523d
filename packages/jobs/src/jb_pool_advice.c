/* Placement advice: for jobs of some queues an external policy service decides
   which backend servers may run a step, and a start must carry its ticket for
   the backend server.  The service is slow and its answer about a step does
   not change, so advice is requested as soon as a step is ready to start, for
   as many backend servers as are likely to be needed.  */

#include "jb_pool_internal.h"

#include <stdio.h>

/* Maximum number of backend servers in one request.  */
#define MAX_BACKENDS_PER_REQUEST 30

#define ADVICE_TIMEOUT_MS 8000
#define ADVICE_RETRY_DELAY (200 * JB_MS)

/* Tickets are not used any more when they expire within this time.  */
#define TICKET_EXPIRY_MARGIN (100 * JB_MS)

/* A request in flight.  The task group is looked up again when the answer
   arrives, since it may have been freed.  */
struct advice_request
{
  struct jb_pool *pool;
  struct jb_task_ref ref; /* of the group; the task index is not used */
};

static int
advice_destroy (struct jb_advice *advice)
{
  g_hash_table_destroy (advice->tickets);
  return 0;
}

/* Return the advice of GROUP, which is created on first use.  */
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
handle_advice (void *data, jb_time now, jb_time sent_at,
               const struct jb_reply *reply)
{
  struct advice_request *request = data;
  struct jb_pool *pool = request->pool;
  struct jb_job *job = g_hash_table_lookup (pool->jobs, request->ref.id);
  struct jb_task_group *group
      = job != NULL ? jb_job_find_group (job, request->ref.occurrence,
                                         request->ref.step)
                    : NULL;
  struct jb_advice *advice;

  (void)sent_at;
  talloc_free (request);
  if (group == NULL || group->advice == NULL)
    return;
  advice = group->advice;
  advice->request_in_flight = false;
  advice->retry_at = now + ADVICE_RETRY_DELAY;
  if (reply->result != JB_RESULT_OK)
    {
      jb_log (pool->options.driver, JB_LEVEL_INFO, "advice-failed", "job",
              job->desc->id, "result", jb_itoa (reply->result), NULL);
      return;
    }
  advice->valid_until
      = now + reply->tickets_valid_ms * JB_MS - TICKET_EXPIRY_MARGIN;
  for (uint32_t i = 0; i < reply->ticket_count; i++)
    g_hash_table_insert (advice->tickets,
                         g_strdup (reply->tickets[i].instance),
                         g_strdup (reply->tickets[i].ticket));
  pool->schedule_due = true;
}

/* Request advice for GROUP about the next usable backend servers, unless a
   request is in flight or the last one was a short time ago.  */
static void
request_advice (struct jb_pool *pool, struct jb_task_group *group, jb_time now)
{
  struct jb_advice *advice = get_advice (group);
  const char *instances[MAX_BACKENDS_PER_REQUEST];
  struct advice_request *request;
  struct jb_command command
      = { .kind = JB_COMMAND_GET_ADVICE, .timeout_ms = ADVICE_TIMEOUT_MS };
  char step[JB_TASK_NAME_SIZE];
  uint32_t count = MIN (pool->usable_count, MAX_BACKENDS_PER_REQUEST);

  if (advice->request_in_flight || now < advice->retry_at || count == 0)
    return;
  for (uint32_t i = 0; i < count; i++)
    instances[i] = pool->usable_backends[(advice->next_backend + i)
                                         % pool->usable_count]
                       ->instance;
  advice->next_backend += count;
  advice->request_in_flight = true;
  g_hash_table_remove_all (advice->tickets);
  request = talloc_zero (pool->ownership, struct advice_request);
  request->pool = pool;
  g_strlcpy (request->ref.id, group->job->desc->id, sizeof request->ref.id);
  request->ref.occurrence = group->occurrence;
  request->ref.step = group->step;
  snprintf (step, sizeof step, "%s.%u.%u", group->job->desc->id,
            group->occurrence, group->step);
  command.u.get_advice.step = step;
  command.u.get_advice.backends = instances;
  command.u.get_advice.backend_count = count;
  jb_driver_submit (pool->options.driver, pool->ownership, now, &command,
                    handle_advice, request);
}

bool
jb_pool_ensure_advice (struct jb_pool *pool, struct jb_task_group *group,
                       jb_time now)
{
  struct jb_advice *advice;

  if (!group->job->desc->needs_advice)
    return true;
  advice = get_advice (group);
  if (now < advice->valid_until && g_hash_table_size (advice->tickets) > 0)
    return true;
  request_advice (pool, group, now);
  return false;
}

void
jb_pool_discard_ticket (struct jb_task_group *group,
                        const struct jb_backend *backend)
{
  if (group->advice != NULL)
    g_hash_table_remove (group->advice->tickets, backend->instance);
}
