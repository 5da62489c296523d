#include "jb_frontend.h"

#include "ba_hash.h"
#include "jb_progress.h"

#include <string.h>

/* A forwarded request is sent again if no reply arrives within this time.  */
#define RESEND_INTERVAL (500 * JB_MS)

/* A host that has replied that it does not own the pool, but still seems to,
   is sent a request again after this time: it hands the pool over, or its
   configuration is another one.  */
#define NOT_OWNER_RESEND_INTERVAL (20 * JB_MS)

/* A call is answered at the latest this long before the client's deadline, or
   after half of the time until the deadline if that is later.  */
#define ANSWER_MARGIN_MS 150

/* Deadline of a call that specifies none.  */
#define DEFAULT_DEADLINE_MS 3000

/* How long a call waits while the owner of its pool is not known.  A takeover
   by another host takes less.  */
#define MAX_WAIT_FOR_OWNER (1800 * JB_MS)

/* Time between two checks of the pending calls.  */
#define POLL_INTERVAL (20 * JB_MS)

enum
{
  /* Time after which a client should repeat a call that was answered
     JB_ANSWER_UNAVAILABLE.  */
  UNAVAILABLE_RETRY_AFTER_MS = 1000,
  /* Numbers of requests that belong to one call: one for each copy.  */
  MAX_REQUESTS_PER_CALL = 1 << 16
};

/* A copy of a request that was sent and not replied to.  */
struct open_copy
{
  uint64_t call;   /* number of the request */
  uint64_t owner;  /* incarnation of the host that it was sent to */
  bool may_accept; /* its receiver accepts a job that it doesn't know */
};

/* A call that has not been answered.  */
struct pending_call
{
  uint64_t number;
  struct jb_msg_request request;
  char *partition; /* of the request's pool in the store */
  jb_time received_at;
  jb_time deadline;   /* latest time to answer */
  uint64_t owner;     /* incarnation of the host that the request was last sent
                         to; 0: send it as soon as the owner is known */
  uint64_t not_owner; /* the last one that did not own the pool, or 0 */
  jb_time sent_at;    /* when it was last sent */
  bool was_forwarded; /* to any host, including this one */
  uint64_t first_call;   /* number of the first copy for the present target */
  uint32_t copy_count;   /* of these copies */
  jb_time first_sent_at; /* when the first of them was sent */
  struct open_copy *open_copies; /* for all targets */
  uint32_t open_count;
  /* Copies of a submission may have different outcomes, as room comes and goes
     at an owner, so a refusal is the answer only once no other copy can be
     accepted.  */
  bool is_refused;
  struct jb_answer refusal;
  uint64_t refused_call; /* number of the copy that it is the reply to */
  /* Copies up to this number may have been accepted by a host that released
     the pool meanwhile, so their refusal says nothing; 0: none.  */
  uint64_t released_call;
  uint32_t next_pool_index; /* catalog index of the next pool to try */
  /* The pool that the job is to be submitted to if no other one knows it;
     NULL: it is not searched.  */
  char *searched_for;
  uint64_t search_version; /* of the catalog when the search began */
  /* Of a JB_REQUEST_PENDING_COUNT: the sum of the replies so far, and whether
     all pools are asked, since the queue was moved.  */
  uint32_t pending;
  bool sums_pools;
};

struct jb_frontend
{
  struct jb_frontend_options options;
  /* Added to the number of a call in requests.  Each process numbers its calls
     from 1, and a reply to a former process of this host, which a host of the
     previous version may send here, must not answer a call of this one.  */
  uint64_t request_number_offset;
  jb_time answer_by; /* latest time to answer any call, because this host is
                        stopping; JB_NEVER: it is not */
  GHashTable *pending_calls; /* number -> struct pending_call */
};

static int
frontend_destroy (struct jb_frontend *frontend)
{
  g_hash_table_destroy (frontend->pending_calls);
  return 0;
}

struct jb_frontend *
jb_frontend_new (TALLOC_CTX *mem, const struct jb_frontend_options *options)
{
  struct jb_frontend *frontend = talloc_zero (mem, struct jb_frontend);
  char incarnation[24];

  frontend->options = *options;
  frontend->answer_by = JB_NEVER;
  g_snprintf (incarnation, sizeof incarnation, "%" G_GUINT64_FORMAT,
              options->incarnation);
  frontend->request_number_offset = ba_hash_str (incarnation, 0);
  frontend->pending_calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (frontend, frontend_destroy);
  return frontend;
}

void
jb_frontend_stop (struct jb_frontend *frontend, jb_time answer_by)
{
  frontend->answer_by = answer_by;
}

uint32_t
jb_frontend_pending_count (const struct jb_frontend *frontend)
{
  return g_hash_table_size (frontend->pending_calls);
}

/* Count an answer of KIND, except the kinds that only the pool's owner counts.
   The owner counts JB_ANSWER_UNAVAILABLE, too, if the answer is its own.  */
static void
count_answer (struct jb_frontend *frontend, enum jb_answer_kind kind)
{
  switch (kind)
    {
    case JB_ANSWER_NO_QUEUE:
      jb_count_event (frontend->options.driver, JB_COUNT_NO_QUEUE);
      break;
    case JB_ANSWER_BAD_KEY:
      jb_count_event (frontend->options.driver, JB_COUNT_BAD_KEY);
      break;
    case JB_ANSWER_BAD_REQUEST:
      jb_count_event (frontend->options.driver, JB_COUNT_BAD_REQUEST);
      break;
    case JB_ANSWER_UNAVAILABLE:
      jb_count_event (frontend->options.driver, JB_COUNT_UNAVAILABLE);
      break;
    case JB_ANSWER_UNKNOWN:
      jb_count_event (frontend->options.driver, JB_COUNT_UNKNOWN);
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
send_answer (struct jb_frontend *frontend, uint64_t number,
             const struct jb_answer *answer)
{
  count_answer (frontend, answer->kind);
  jb_driver_answer_call (frontend->options.driver, number, answer);
}

/* Answer CALL, which has NUMBER, without forwarding it.  */
static void
reject_call (struct jb_frontend *frontend, uint64_t number,
             const struct jb_call *call, enum jb_answer_kind kind,
             const char *reason)
{
  const struct jb_catalog *catalog = *frontend->options.catalog;
  struct jb_answer answer = { .kind = kind, .reason = reason };

  if (kind == JB_ANSWER_UNAVAILABLE)
    answer.retry_after_ms = UNAVAILABLE_RETRY_AFTER_MS;
  jb_log (frontend->options.driver, JB_LEVEL_INFO, "call-refused", "path",
          call->path, "answer", answer_name (kind), "reason", reason,
          "configuration",
          catalog != NULL ? jb_itoa ((int64_t)catalog->version) : NULL, NULL);
  send_answer (frontend, number, &answer);
}

static void
finish_call (struct jb_frontend *frontend, jb_time now,
             struct pending_call *pending_call, const struct jb_answer *answer)
{
  if (answer->kind != JB_ANSWER_JOB_STATE)
    jb_log (frontend->options.driver, JB_LEVEL_INFO, "call-answered", "job",
            pending_call->request.id, "kind",
            jb_itoa (pending_call->request.kind), "answer",
            answer_name (answer->kind), "reason", answer->reason, "ms",
            jb_itoa ((now - pending_call->received_at) / JB_MS), "open_copies",
            pending_call->open_count > 0 ? jb_itoa (pending_call->open_count)
                                         : NULL,
            NULL);
  send_answer (frontend, pending_call->number, answer);
  g_hash_table_remove (frontend->pending_calls, &pending_call->number);
  talloc_free (pending_call);
}

/* ---- forwarding ---- */

/* Forward the request of PENDING_CALL, which has been changed to KIND, to the
   owner of POOL from now on.  Replies to copies that were sent before say
   nothing about POOL.  */
static void
set_target (struct pending_call *pending_call, enum jb_request_kind kind,
            const char *pool)
{
  pending_call->request.kind = kind;
  pending_call->first_call = pending_call->request.call + 1;
  talloc_free (pending_call->request.pool);
  talloc_free (pending_call->partition);
  pending_call->request.pool = talloc_strdup (pending_call, pool);
  pending_call->partition = talloc_asprintf (pending_call, "pool/%s", pool);
  pending_call->owner = 0;
  pending_call->not_owner = 0;
  pending_call->copy_count = 0;
}

/* Return the incarnation of the host that owns the pool of PENDING_CALL, or 0
   if none is known.  */
static uint64_t
find_owner (struct jb_frontend *frontend, jb_time now,
            const struct pending_call *pending_call)
{
  const struct jb_member *member;

  if (frontend->options.owns_pool (frontend->options.data,
                                   pending_call->request.pool))
    return frontend->options.incarnation;
  member = jb_members_find_owner (frontend->options.members, now,
                                  pending_call->partition);
  return member != NULL ? member->incarnation : 0;
}

/* Give the request of PENDING_CALL, which is sent to OWNER, the number of a
   new copy, and log it if it was sent before.  */
static void
record_copy (struct jb_frontend *frontend, jb_time now,
             struct pending_call *pending_call, uint64_t owner)
{
  const struct jb_member *member;

  pending_call->request.call++;
  pending_call->open_copies
      = talloc_realloc (pending_call, pending_call->open_copies,
                        struct open_copy, pending_call->open_count + 1);
  pending_call->open_copies[pending_call->open_count++] = (struct open_copy){
    .call = pending_call->request.call,
    .owner = owner,
    .may_accept = pending_call->request.kind == JB_REQUEST_SUBMIT
                  || pending_call->request.kind == JB_REQUEST_SUBMIT_SEARCHED
  };
  pending_call->owner = owner;
  pending_call->sent_at = now;
  pending_call->was_forwarded = true;
  if (++pending_call->copy_count == 1)
    {
      pending_call->first_sent_at = now;
      return;
    }
  member = jb_members_find (frontend->options.members, owner);
  jb_count_event (frontend->options.driver, JB_COUNT_CALLS_REPEATED);
  jb_log (frontend->options.driver, JB_LEVEL_INFO, "call-repeated", "job",
          pending_call->request.id, "kind",
          jb_itoa (pending_call->request.kind), "pool",
          pending_call->request.pool, "owner",
          member != NULL ? member->name : "this host", "call",
          jb_itoa ((int64_t)pending_call->request.call), "copies",
          jb_itoa (pending_call->copy_count), "ms",
          jb_itoa ((now - pending_call->first_sent_at) / JB_MS), NULL);
}

/* Return whether all numbers for copies of PENDING_CALL are used.  */
static bool
has_used_all_numbers (const struct jb_frontend *frontend,
                      const struct pending_call *pending_call)
{
  return pending_call->request.call + 1 - frontend->request_number_offset
         >= (pending_call->number + 1) * MAX_REQUESTS_PER_CALL;
}

/* Return whether OWNER was sent the request of PENDING_CALL a short time
   ago.  */
static bool
was_just_sent (const struct pending_call *pending_call, jb_time now,
               uint64_t owner)
{
  jb_time age = now - pending_call->sent_at;

  return (owner == pending_call->owner && age < RESEND_INTERVAL)
         || (owner == pending_call->not_owner
             && age < NOT_OWNER_RESEND_INTERVAL);
}

/* Send the request of PENDING_CALL to the pool's owner if the owner is known
   and was not sent the request a short time ago.  Once a copy was
   refused, no further one is sent.  If this host is the owner, the call may be
   answered and PENDING_CALL freed.  */
static void
forward_call (struct jb_frontend *frontend, jb_time now,
              struct pending_call *pending_call)
{
  uint64_t owner = find_owner (frontend, now, pending_call);
  struct jb_msg message = { .type = JB_MSG_REQUEST };
  struct ba_bytes bytes;

  if (owner == 0 || pending_call->is_refused
      || has_used_all_numbers (frontend, pending_call)
      || was_just_sent (pending_call, now, owner))
    return;
  record_copy (frontend, now, pending_call, owner);
  if (owner == frontend->options.incarnation)
    {
      frontend->options.handle_local (frontend->options.data, now,
                                      &pending_call->request);
      return;
    }
  message.u.request = pending_call->request;
  bytes = jb_msg_encode (NULL, &message);
  jb_driver_send (frontend->options.driver, owner, bytes);
  talloc_free (bytes.data);
}

/* Add a valid CALL to QUEUE by ORG, which may be NULL, and forward it.  ID is
   that of a job, or empty if the call is about the queue.  */
static void
add_call (struct jb_frontend *frontend, jb_time now, uint64_t number,
          const struct jb_call *call, const struct jb_queue *queue,
          const struct jb_org *org, const char *id)
{
  struct pending_call *pending_call;
  struct jb_msg_request *request;
  int64_t deadline_ms
      = call->deadline_ms > 0 ? call->deadline_ms : DEFAULT_DEADLINE_MS;
  jb_time received_at = call->read_at != 0 ? call->read_at : now;
  jb_time deadline
      = received_at
        + MAX (deadline_ms - ANSWER_MARGIN_MS, deadline_ms / 2) * JB_MS;

  if (now >= deadline)
    {
      reject_call (frontend, number, call, JB_ANSWER_UNAVAILABLE,
                   "this host was late, and the time to answer is over");
      return;
    }
  pending_call = talloc_zero (frontend, struct pending_call);
  request = &pending_call->request;
  pending_call->number = number;
  pending_call->received_at = received_at;
  pending_call->deadline = deadline;
  request->call
      = frontend->request_number_offset + number * MAX_REQUESTS_PER_CALL;
  request->queue = talloc_strdup (pending_call, queue->name);
  if (*id != '\0')
    request->id = talloc_strdup (pending_call, id);
  switch (call->kind)
    {
    case JB_CALL_SUBMIT:
      {
        struct jb_job_desc desc = *call->desc;

        request->kind = JB_REQUEST_SUBMIT;
        request->desc = talloc_zero (pending_call, struct jb_job_desc);
        desc.id = request->id;
        desc.queue = request->queue;
        desc.org = org != NULL ? org->name : NULL;
        desc.received_unix_ms = call->received_ms;
        desc.priority = queue->priority;
        desc.max_attempts = queue->max_attempts;
        desc.stretch_milli = queue->stretch_milli;
        desc.due_margin_ms = queue->due_margin_ms;
        desc.needs_advice = queue->needs_advice;
        ba_codec_deep_copy (pending_call, jb_job_desc_serialize, &desc,
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
  set_target (pending_call, request->kind, queue->pool);
  g_hash_table_insert (frontend->pending_calls, &pending_call->number,
                       pending_call);
  forward_call (frontend, now, pending_call);
}

/* Return NULL when the job that CALL submits is valid, else an error message
   for the client.  */
static const char *
check_submission (const struct jb_frontend *frontend,
                  const struct jb_call *call)
{
  const char *error = call->desc_error;
  struct ba_bytes row;

  if (call->desc == NULL)
    return error != NULL ? error : "the description of the job is invalid";
  error = jb_job_desc_check (call->desc);
  if (error != NULL)
    return error;
  row = ba_codec_encode (NULL, jb_job_desc_serialize, call->desc);
  if (row.len > jb_progress_row_limit (frontend->options.bounds))
    error = "the description of the job is too large to be stored";
  talloc_free (row.data);
  return error;
}

void
jb_frontend_receive_call (struct jb_frontend *frontend, jb_time now,
                          uint64_t number, const struct jb_call *call)
{
  const struct jb_catalog *catalog = *frontend->options.catalog;
  const struct jb_queue *queue;
  const struct jb_org *org;
  const char *id;
  const char *desc_error;

  if (now >= frontend->answer_by)
    {
      reject_call (frontend, number, call, JB_ANSWER_UNAVAILABLE,
                   "this host is stopping");
      return;
    }
  if (catalog == NULL)
    {
      reject_call (frontend, number, call, JB_ANSWER_UNAVAILABLE,
                   "this host has no configuration yet");
      return;
    }
  queue = jb_catalog_match_queue (catalog, call->host, call->path);
  if (queue == NULL)
    {
      reject_call (frontend, number, call, JB_ANSWER_NO_QUEUE, NULL);
      return;
    }
  org = jb_catalog_find_org_by_key (catalog, call->key);
  if (org == NULL && !queue->allows_anonymous)
    {
      reject_call (frontend, number, call, JB_ANSWER_BAD_KEY, NULL);
      return;
    }
  id = call->path + strlen (queue->path_prefix);
  if (call->kind == JB_CALL_SUBMIT && call->desc != NULL)
    {
      call->desc->id = (char *)id;
      call->desc->queue = queue->name;
    }
  desc_error = call->kind == JB_CALL_SUBMIT ? check_submission (frontend, call)
                                            : NULL;
  if (desc_error != NULL)
    reject_call (frontend, number, call, JB_ANSWER_BAD_REQUEST, desc_error);
  else if (*id != '\0' && !jb_job_id_is_valid (id))
    reject_call (frontend, number, call, JB_ANSWER_NO_JOB, NULL);
  else if (*id == '\0' && call->kind == JB_CALL_CANCEL)
    reject_call (frontend, number, call, JB_ANSWER_BAD_REQUEST,
                 "a queue can't be cancelled");
  else
    add_call (frontend, now, number, call, queue, org, id);
}

/* ---- replies ---- */

/* Return the pool that the queue of PENDING_CALL belongs to now, borrowed, or
   NULL if there is no such queue any more.  */
static const char *
find_queue_pool (const struct jb_frontend *frontend,
                 const struct pending_call *pending_call)
{
  const struct jb_queue *queue = jb_catalog_find_queue (
      *frontend->options.catalog, pending_call->request.queue);

  return queue != NULL ? queue->pool : NULL;
}

/* Forward a request to the next pool because the last one does not know the
   job: the job's queue may have belonged to another pool when the job was
   submitted.  Return false if all pools have been tried.  */
static bool
try_next_pool (struct jb_frontend *frontend, jb_time now,
               struct pending_call *pending_call)
{
  const struct jb_catalog *catalog = *frontend->options.catalog;
  const char *asked = pending_call->request.kind == JB_REQUEST_SUBMIT_KNOWN
                          ? pending_call->searched_for
                          : find_queue_pool (frontend, pending_call);

  while (pending_call->next_pool_index < catalog->pool_count)
    {
      const struct jb_pool_settings *pool
          = &catalog->pools[pending_call->next_pool_index++];

      if (g_strcmp0 (pool->name, asked) == 0 || pool->standby)
        continue;
      set_target (pending_call, pending_call->request.kind, pool->name);
      forward_call (frontend, now, pending_call);
      return true;
    }
  return false;
}

static bool
is_submission (const struct pending_call *pending_call)
{
  return pending_call->request.kind == JB_REQUEST_SUBMIT
         || pending_call->request.kind == JB_REQUEST_SUBMIT_KNOWN
         || pending_call->request.kind == JB_REQUEST_SUBMIT_SEARCHED;
}

/* Go on with the submission PENDING_CALL, which no pool asked so far knows:
   ask the next pool, or if all others have been asked, submit it to the pool
   that its queue belongs to.  */
static void
continue_search (struct jb_frontend *frontend, jb_time now,
                 struct pending_call *pending_call)
{
  uint64_t version = (*frontend->options.catalog)->version;

  /* The pools of another version may have other indices.  */
  if (pending_call->search_version != version)
    pending_call->next_pool_index = 0;
  pending_call->search_version = version;
  pending_call->request.kind = JB_REQUEST_SUBMIT_KNOWN;
  if (try_next_pool (frontend, now, pending_call))
    return;
  set_target (pending_call, JB_REQUEST_SUBMIT_SEARCHED,
              pending_call->searched_for);
  forward_call (frontend, now, pending_call);
}

/* Begin to ask the other pools for the job of the submission PENDING_CALL.  */
static void
begin_search (struct jb_frontend *frontend, jb_time now,
              struct pending_call *pending_call)
{
  talloc_free (pending_call->searched_for);
  pending_call->searched_for
      = talloc_strdup (pending_call, pending_call->request.pool);
  pending_call->next_pool_index = 0;
  jb_log (frontend->options.driver, JB_LEVEL_INFO, "job-searched", "job",
          pending_call->request.id, "queue", pending_call->request.queue,
          "pool", pending_call->searched_for, "reason",
          "the queue was moved to the pool a short time ago", NULL);
  continue_search (frontend, now, pending_call);
}

/* Submit PENDING_CALL anew if its queue was moved to another pool since it was
   forwarded or since a search for its job began.  */
static void
follow_queue (struct jb_frontend *frontend, struct pending_call *pending_call)
{
  const char *pool = find_queue_pool (frontend, pending_call);
  const char *before = pending_call->request.kind == JB_REQUEST_SUBMIT
                           ? pending_call->request.pool
                           : pending_call->searched_for;

  if (!is_submission (pending_call) || pool == NULL
      || strcmp (pool, before) == 0)
    return;
  set_target (pending_call, JB_REQUEST_SUBMIT, pool);
}

/* Remove the copy of PENDING_CALL that has the number CALL.  Return the
   incarnation of the host that it was sent to, or 0 if there is none: the
   reply to it is a duplicate.  */
static uint64_t
close_copy (struct pending_call *pending_call, uint64_t call)
{
  for (uint32_t i = 0; i < pending_call->open_count; i++)
    {
      uint64_t owner = pending_call->open_copies[i].owner;

      if (pending_call->open_copies[i].call != call)
        continue;
      pending_call->open_copies[i]
          = pending_call->open_copies[--pending_call->open_count];
      return owner;
    }
  return 0;
}

/* Return the number of copies of PENDING_CALL that may still be accepted, or
   may have been.  */
static uint32_t
count_acceptable_copies (const struct pending_call *pending_call)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < pending_call->open_count; i++)
    count += pending_call->open_copies[i].may_accept;
  return count;
}

/* Answer the submission PENDING_CALL, of which a copy was refused, unless
   another one may be accepted.  */
static void
answer_if_refused (struct jb_frontend *frontend, jb_time now,
                   struct pending_call *pending_call)
{
  uint32_t count = count_acceptable_copies (pending_call);

  if (count == 0)
    {
      struct jb_answer refusal = pending_call->refusal;

      finish_call (frontend, now, pending_call, &refusal);
      return;
    }
  jb_log (frontend->options.driver, JB_LEVEL_INFO, "refusal-not-final", "job",
          pending_call->request.id, "answer",
          answer_name (pending_call->refusal.kind), "open_copies",
          jb_itoa (count), "ms",
          jb_itoa ((now - pending_call->received_at) / JB_MS), NULL);
}

/* Record that OWNER has replied JB_MSG_NOT_OWNER to the copy of PENDING_CALL
   that has the number CALL.  It may have accepted the job in memory and be
   writing it: an owner that releases its pool replies so.  The claim of the
   next owner fences that write, and it reads the rows after its claim, so it
   knows the job if it was written.  Its refusal is therefore true, but that of
   a copy sent to OWNER or to an owner before it is not.  */
static void
record_release (struct pending_call *pending_call, uint64_t call,
                uint64_t owner)
{
  for (uint32_t i = 0; i < pending_call->open_count; i++)
    if (pending_call->open_copies[i].owner == owner)
      call = MAX (call, pending_call->open_copies[i].call);
  pending_call->released_call = MAX (pending_call->released_call, call);
}

/* Handle the REPLY JB_MSG_NOT_OWNER of OWNER to a copy of PENDING_CALL.  */
static void
handle_not_owner (struct jb_frontend *frontend, jb_time now,
                  struct pending_call *pending_call, uint64_t owner,
                  const struct jb_msg_reply *reply)
{
  bool is_current = reply->call >= pending_call->first_call;

  record_release (pending_call, reply->call, owner);
  if (pending_call->is_refused)
    {
      if (pending_call->refused_call > pending_call->released_call)
        {
          answer_if_refused (frontend, now, pending_call);
          return;
        }
      pending_call->is_refused = false;
      pending_call->owner = 0;
      return;
    }
  if (!is_current || owner != pending_call->owner)
    return;
  pending_call->owner = 0;
  pending_call->not_owner = owner;
  if (reply->state == JB_MSG_REASON_SEARCH_POOLS
      && pending_call->request.kind == JB_REQUEST_SUBMIT)
    begin_search (frontend, now, pending_call);
  else
    follow_queue (frontend, pending_call);
}

/* Handle the REPLY of OWNER that it refuses a copy of the submission
   PENDING_CALL for its present target.  */
static void
handle_refusal (struct jb_frontend *frontend, jb_time now,
                struct pending_call *pending_call, uint64_t owner,
                const struct jb_msg_reply *reply)
{
  if (reply->call <= pending_call->released_call)
    {
      if (owner == pending_call->owner)
        pending_call->owner = 0;
      return;
    }
  pending_call->is_refused = true;
  pending_call->refused_call = reply->call;
  pending_call->refusal
      = (struct jb_answer){ .kind = reply->kind,
                            .retry_after_ms = reply->retry_after_ms };
  answer_if_refused (frontend, now, pending_call);
}

/* Add the REPLY to the count PENDING_CALL.  Return whether another pool has
   been asked; PENDING_CALL may be freed then.  */
static bool
sum_pending (struct jb_frontend *frontend, jb_time now,
             struct pending_call *pending_call,
             const struct jb_msg_reply *reply)
{
  pending_call->pending += reply->pending;
  pending_call->sums_pools
      = pending_call->sums_pools || reply->state == JB_MSG_REASON_SEARCH_POOLS;
  return pending_call->sums_pools
         && try_next_pool (frontend, now, pending_call);
}

void
jb_frontend_receive_reply (struct jb_frontend *frontend, jb_time now,
                           const struct jb_msg_reply *reply)
{
  uint64_t number = (reply->call - frontend->request_number_offset)
                    / MAX_REQUESTS_PER_CALL;
  struct pending_call *pending_call
      = g_hash_table_lookup (frontend->pending_calls, &number);
  struct jb_answer answer = { .kind = reply->kind,
                              .state = reply->state,
                              .pending = reply->pending,
                              .retry_after_ms = reply->retry_after_ms };
  uint64_t owner;
  bool is_current;

  if (pending_call == NULL)
    return;
  /* An accepted job is stored, so this is true of every copy, whatever became
     of the others.  */
  if (reply->kind == JB_ANSWER_ACCEPTED)
    {
      finish_call (frontend, now, pending_call, &answer);
      return;
    }
  owner = close_copy (pending_call, reply->call);
  is_current = reply->call >= pending_call->first_call;
  if (owner == 0)
    return;
  if (reply->kind == JB_MSG_NOT_OWNER)
    {
      handle_not_owner (frontend, now, pending_call, owner, reply);
      return;
    }
  if (is_current && is_submission (pending_call)
      && (reply->kind == JB_ANSWER_REFUSED
          || reply->kind == JB_ANSWER_UNAVAILABLE))
    {
      handle_refusal (frontend, now, pending_call, owner, reply);
      return;
    }
  if (pending_call->is_refused)
    {
      answer_if_refused (frontend, now, pending_call);
      return;
    }
  if (!is_current)
    return;
  if (reply->kind == JB_ANSWER_NO_JOB && is_submission (pending_call))
    {
      if (pending_call->request.kind == JB_REQUEST_SUBMIT_KNOWN)
        continue_search (frontend, now, pending_call);
      return;
    }
  if (reply->kind == JB_ANSWER_NO_JOB
      && try_next_pool (frontend, now, pending_call))
    return;
  if (reply->kind == JB_ANSWER_PENDING_COUNT)
    {
      if (sum_pending (frontend, now, pending_call, reply))
        return;
      answer.pending = pending_call->pending;
      answer.state = 0;
    }
  finish_call (frontend, now, pending_call, &answer);
}

/* ---- timeouts ---- */

/* Answer PENDING_CALL, for which no reply has arrived in time.  The result of
   a submission or cancellation that was forwarded is unknown, because it may
   have been carried out.  */
static void
time_out_call (struct jb_frontend *frontend, jb_time now,
               struct pending_call *pending_call)
{
  struct jb_answer answer = { .kind = JB_ANSWER_UNAVAILABLE,
                              .retry_after_ms = UNAVAILABLE_RETRY_AFTER_MS,
                              .reason = "nobody holds the pool" };

  /* What the other pools have is at least a part.  */
  if (pending_call->sums_pools)
    answer = (struct jb_answer){ .kind = JB_ANSWER_PENDING_COUNT,
                                 .pending = pending_call->pending };
  if (pending_call->was_forwarded
      && pending_call->request.kind != JB_REQUEST_QUERY
      && pending_call->request.kind != JB_REQUEST_PENDING_COUNT)
    {
      answer.kind = JB_ANSWER_UNKNOWN;
      answer.reason = pending_call->is_refused
                          ? "one copy of the request was refused, and another "
                            "one not answered"
                          : "the holder of the pool did not answer";
    }
  finish_call (frontend, now, pending_call, &answer);
}

static bool
has_timed_out (const struct jb_frontend *frontend,
               const struct pending_call *pending_call, jb_time now)
{
  return now >= MIN (pending_call->deadline, frontend->answer_by)
         || (!pending_call->was_forwarded
             && now - pending_call->received_at > MAX_WAIT_FOR_OWNER);
}

jb_time
jb_frontend_run (struct jb_frontend *frontend, jb_time now)
{
  GHashTableIter iter;
  gpointer value;
  GArray *call_numbers;

  if (g_hash_table_size (frontend->pending_calls) == 0)
    return JB_NEVER;
  /* Iterate over a copy of the calls' numbers, because forwarding a call to
     this host may answer calls and so change the table.  */
  call_numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_hash_table_iter_init (&iter, frontend->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (call_numbers, ((struct pending_call *)value)->number);
  for (guint i = 0; i < call_numbers->len; i++)
    {
      struct pending_call *pending_call = g_hash_table_lookup (
          frontend->pending_calls, &g_array_index (call_numbers, uint64_t, i));

      if (pending_call == NULL)
        continue;
      if (has_timed_out (frontend, pending_call, now))
        time_out_call (frontend, now, pending_call);
      else
        forward_call (frontend, now, pending_call);
    }
  g_array_free (call_numbers, TRUE);
  return now + POLL_INTERVAL;
}
