#include "jb_frontend.h"

#include <string.h>

/* A request without a reply is sent again.  */
#define REPEAT_PERIOD (500 * JB_MS)

/* The answer leaves so long before the client's deadline.  */
#define ANSWER_MARGIN_MS 150

/* Deadline of calls that name none.  */
#define DEFAULT_DEADLINE_MS 3000

/* Without a holder that is known, a call waits for one no longer than this: a
   takeover takes less.  */
#define LONGEST_UNHELD (1800 * JB_MS)

#define RUN_PERIOD (20 * JB_MS)

enum
{
  RETRY_UNAVAILABLE_MS = 1000
};

struct waiting
{
  uint64_t number;
  struct jb_msg_request request;
  char *part;
  jb_time received;
  jb_time deadline;
  uint64_t holder; /* the request was sent to it last; 0: to nobody */
  jb_time sent;
  bool ever_sent;
  uint32_t asked; /* pools that said that they have no such job */
};

struct jb_frontend
{
  struct jb_frontend_options options;
  GHashTable *waiting; /* number -> struct waiting */
};

static int
entry_destroy (struct jb_frontend *entry)
{
  g_hash_table_destroy (entry->waiting);
  return 0;
}

struct jb_frontend *
jb_frontend_new (TALLOC_CTX *mem, const struct jb_frontend_options *options)
{
  struct jb_frontend *entry = talloc_zero (mem, struct jb_frontend);

  entry->options = *options;
  entry->waiting = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (entry, entry_destroy);
  return entry;
}

uint32_t
jb_frontend_pending_count (const struct jb_frontend *entry)
{
  return g_hash_table_size (entry->waiting);
}

static void
count_answer (struct jb_frontend *entry, enum jb_answer_kind kind)
{
  switch (kind)
    {
    case JB_ANSWER_NO_QUEUE:
      jb_count_event (entry->options.driver, JB_COUNT_NO_QUEUE);
      break;
    case JB_ANSWER_BAD_KEY:
      jb_count_event (entry->options.driver, JB_COUNT_BAD_KEY);
      break;
    case JB_ANSWER_BAD_REQUEST:
      jb_count_event (entry->options.driver, JB_COUNT_BAD_REQUEST);
      break;
    case JB_ANSWER_UNAVAILABLE:
      jb_count_event (entry->options.driver, JB_COUNT_UNAVAILABLE);
      break;
    case JB_ANSWER_UNKNOWN:
      jb_count_event (entry->options.driver, JB_COUNT_UNKNOWN);
      break;
    default:
      break;
    }
}

static const char *
answer_name (enum jb_answer_kind kind)
{
  static const char *const names[] = { [JB_ANSWER_ACCEPTED] = "accepted",
                                       [JB_ANSWER_JOB_STATE] = "state",
                                       [JB_ANSWER_CANCELLED] = "cancelled",
                                       [JB_ANSWER_PENDING_COUNT] = "pending",
                                       [JB_ANSWER_NO_JOB] = "no-job",
                                       [JB_ANSWER_NO_QUEUE] = "no-queue",
                                       [JB_ANSWER_BAD_KEY] = "bad-key",
                                       [JB_ANSWER_BAD_REQUEST] = "bad-request",
                                       [JB_ANSWER_REFUSED] = "refused",
                                       [JB_ANSWER_UNAVAILABLE] = "unavailable",
                                       [JB_ANSWER_UNKNOWN] = "unknown" };

  return names[kind];
}

static void
answer (struct jb_frontend *entry, uint64_t number,
        const struct jb_answer *answered)
{
  count_answer (entry, answered->kind);
  jb_driver_answer_call (entry->options.driver, number, answered);
}

/* Answer a call that is not passed on.  */
static void
answer_now (struct jb_frontend *entry, uint64_t number,
            const struct jb_call *call, enum jb_answer_kind kind,
            const char *reason)
{
  const struct jb_catalog *catalog = *entry->options.catalog;
  struct jb_answer answered = { .kind = kind, .reason = reason };

  if (kind == JB_ANSWER_UNAVAILABLE)
    answered.retry_after_ms = RETRY_UNAVAILABLE_MS;
  jb_log (entry->options.driver, JB_LEVEL_INFO, "call-refused", "path",
          call->path, "answer", answer_name (kind), "reason", reason,
          "configuration",
          catalog != NULL ? jb_itoa ((int64_t)catalog->version) : NULL, NULL);
  answer (entry, number, &answered);
}

static void
finish (struct jb_frontend *entry, jb_time now, struct waiting *waiting,
        const struct jb_answer *answered)
{
  if (answered->kind != JB_ANSWER_JOB_STATE)
    jb_log (entry->options.driver, JB_LEVEL_INFO, "call-answered", "job",
            waiting->request.id, "kind", jb_itoa (waiting->request.kind),
            "answer", answer_name (answered->kind), "reason", answered->reason,
            "ms", jb_itoa ((now - waiting->received) / JB_MS), NULL);
  answer (entry, waiting->number, answered);
  g_hash_table_remove (entry->waiting, &waiting->number);
  talloc_free (waiting);
}

/* ---- passing on ---- */

/* Return the incarnation of the host that holds WAITING's pool, or 0.  */
static uint64_t
find_holder (struct jb_frontend *entry, jb_time now,
             const struct waiting *waiting)
{
  const struct jb_member *member;

  if (entry->options.holds (entry->options.data, waiting->request.pool))
    return entry->options.incarnation;
  member = jb_members_find_owner (entry->options.members, now, waiting->part);
  return member != NULL ? member->incarnation : 0;
}

/* Send the request to the holder, unless that was done a moment ago.  WAITING
   may be gone afterwards.  */
static void
pass_on (struct jb_frontend *entry, jb_time now, struct waiting *waiting)
{
  uint64_t holder = find_holder (entry, now, waiting);
  struct jb_msg message
      = { .type = JB_MSG_REQUEST, .u.request = waiting->request };
  struct ba_bytes bytes;

  if (holder == 0
      || (holder == waiting->holder && now - waiting->sent < REPEAT_PERIOD))
    return;
  waiting->holder = holder;
  waiting->sent = now;
  waiting->ever_sent = true;
  if (holder == entry->options.incarnation)
    {
      entry->options.local (entry->options.data, now, &waiting->request);
      return;
    }
  bytes = jb_msg_encode (NULL, &message);
  jb_driver_send (entry->options.driver, holder, bytes);
  talloc_free (bytes.data);
}

static void
enqueue (struct jb_frontend *entry, jb_time now, uint64_t number,
         const struct jb_call *call, const struct jb_queue *queue,
         const struct jb_org *org, const char *id)
{
  struct waiting *waiting = talloc_zero (entry, struct waiting);
  struct jb_msg_request *request = &waiting->request;
  int64_t deadline_ms
      = call->deadline_ms > 0 ? call->deadline_ms : DEFAULT_DEADLINE_MS;

  waiting->number = number;
  waiting->received = now;
  waiting->deadline
      = now + MAX (deadline_ms - ANSWER_MARGIN_MS, deadline_ms / 2) * JB_MS;
  waiting->part = talloc_asprintf (waiting, "pool/%s", queue->pool);
  request->call = number;
  request->pool = talloc_strdup (waiting, queue->pool);
  request->queue = talloc_strdup (waiting, queue->name);
  if (*id != '\0')
    request->id = talloc_strdup (waiting, id);
  switch (call->kind)
    {
    case JB_CALL_SUBMIT:
      {
        struct jb_job_desc desc = *call->desc;

        request->kind = JB_REQUEST_SUBMIT;
        request->desc = talloc_zero (waiting, struct jb_job_desc);
        desc.id = request->id;
        desc.queue = request->queue;
        desc.org = org != NULL ? org->name : NULL;
        desc.received_unix_ms = call->received_ms;
        desc.priority = queue->priority;
        desc.max_attempts = queue->max_attempts;
        desc.stretch_milli = queue->stretch_milli;
        desc.due_margin_ms = queue->due_margin_ms;
        desc.needs_advice = queue->needs_advice;
        ba_codec_deep_copy (waiting, jb_job_desc_serialize, &desc,
                            request->desc);
        break;
      }
    case JB_CALL_QUERY:
      request->kind
          = request->id != NULL ? JB_REQUEST_QUERY : JB_REQUEST_PENDING_COUNT;
      break;
    case JB_CALL_CANCEL:
      request->kind = JB_REQUEST_CANCEL;
      break;
    }
  g_hash_table_insert (entry->waiting, &waiting->number, waiting);
  pass_on (entry, now, waiting);
}

void
jb_frontend_receive_call (struct jb_frontend *entry, jb_time now,
                          uint64_t number, const struct jb_call *call)
{
  const struct jb_catalog *catalog = *entry->options.catalog;
  const struct jb_queue *queue;
  const struct jb_org *org;
  const char *id;

  if (catalog == NULL)
    {
      answer_now (entry, number, call, JB_ANSWER_UNAVAILABLE,
                  "this host has no configuration yet");
      return;
    }
  queue = jb_catalog_match_queue (catalog, call->host, call->path);
  if (queue == NULL)
    {
      answer_now (entry, number, call, JB_ANSWER_NO_QUEUE, NULL);
      return;
    }
  org = jb_catalog_find_org_by_key (catalog, call->key);
  if (org == NULL && !queue->allows_anonymous)
    {
      answer_now (entry, number, call, JB_ANSWER_BAD_KEY, NULL);
      return;
    }
  id = call->path + strlen (queue->path_prefix);
  if (call->kind == JB_CALL_SUBMIT && call->desc != NULL)
    {
      call->desc->id = (char *)id;
      call->desc->queue = queue->name;
    }
  if (call->kind == JB_CALL_SUBMIT
      && (call->desc == NULL || jb_job_desc_check (call->desc) != NULL))
    answer_now (entry, number, call, JB_ANSWER_BAD_REQUEST,
                call->desc == NULL ? call->desc_error
                                   : jb_job_desc_check (call->desc));
  else if (*id != '\0' && !jb_job_id_is_valid (id))
    answer_now (entry, number, call, JB_ANSWER_NO_JOB, NULL);
  else if (*id == '\0' && call->kind == JB_CALL_CANCEL)
    answer_now (entry, number, call, JB_ANSWER_BAD_REQUEST,
                "a queue can't be cancelled");
  else
    enqueue (entry, now, number, call, queue, org, id);
}

/* ---- replies ---- */

/* The pool does not know the job: one whose queue had another pool before may
   be known there.  Return whether there is one left to ask.  */
static bool
ask_next_pool (struct jb_frontend *entry, jb_time now, struct waiting *waiting)
{
  const struct jb_catalog *catalog = *entry->options.catalog;
  const struct jb_queue *queue
      = jb_catalog_find_queue (catalog, waiting->request.queue);

  while (waiting->asked < catalog->pool_count)
    {
      const struct jb_pool_settings *pool = &catalog->pools[waiting->asked++];

      if ((queue != NULL && strcmp (pool->name, queue->pool) == 0)
          || pool->standby)
        continue;
      talloc_free (waiting->request.pool);
      talloc_free (waiting->part);
      waiting->request.pool = talloc_strdup (waiting, pool->name);
      waiting->part = talloc_asprintf (waiting, "pool/%s", pool->name);
      waiting->holder = 0;
      pass_on (entry, now, waiting);
      return true;
    }
  return false;
}

void
jb_frontend_receive_reply (struct jb_frontend *entry, jb_time now,
                           const struct jb_msg_reply *reply)
{
  struct waiting *waiting = g_hash_table_lookup (entry->waiting, &reply->call);
  struct jb_answer answered = { .kind = reply->kind,
                                .state = reply->state,
                                .pending = reply->pending,
                                .retry_after_ms = reply->retry_after_ms };

  if (waiting == NULL)
    return;
  if (reply->kind == JB_MSG_NOT_OWNER)
    {
      waiting->holder = 0;
      return;
    }
  if (reply->kind == JB_ANSWER_NO_JOB
      && waiting->request.kind != JB_REQUEST_SUBMIT
      && ask_next_pool (entry, now, waiting))
    return;
  finish (entry, now, waiting, &answered);
}

/* ---- time ---- */

static void
give_up (struct jb_frontend *entry, jb_time now, struct waiting *waiting)
{
  struct jb_answer answered = { .kind = JB_ANSWER_UNAVAILABLE,
                                .retry_after_ms = RETRY_UNAVAILABLE_MS,
                                .reason = "nobody holds the pool" };

  if (waiting->ever_sent && waiting->request.kind != JB_REQUEST_QUERY
      && waiting->request.kind != JB_REQUEST_PENDING_COUNT)
    {
      answered.kind = JB_ANSWER_UNKNOWN;
      answered.reason = "the holder of the pool did not answer";
    }
  finish (entry, now, waiting, &answered);
}

static bool
is_hopeless (const struct waiting *waiting, jb_time now)
{
  return now >= waiting->deadline
         || (!waiting->ever_sent && now - waiting->received > LONGEST_UNHELD);
}

jb_time
jb_frontend_run (struct jb_frontend *entry, jb_time now)
{
  GHashTableIter iter;
  gpointer value;
  GArray *numbers;

  if (g_hash_table_size (entry->waiting) == 0)
    return JB_NEVER;
  /* Passing one on may answer others, so the table is not walked directly. */
  numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_iter_init (&iter, entry->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (numbers, ((struct waiting *)value)->number);
  for (guint i = 0; i < numbers->len; i++)
    {
      struct waiting *waiting = g_hash_table_lookup (
          entry->waiting, &g_array_index (numbers, uint64_t, i));

      if (waiting == NULL)
        continue;
      if (is_hopeless (waiting, now))
        give_up (entry, now, waiting);
      else
        pass_on (entry, now, waiting);
    }
  g_array_free (numbers, TRUE);
  return now + RUN_PERIOD;
}
