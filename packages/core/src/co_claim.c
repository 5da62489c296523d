#include "co_internal.h"

#include <string.h>

/* At-most-once execution of requests that have an idempotency key.

   Each key, which includes the name of the team, is owned by one of the
   members.  Before a non-idempotent request is sent to a host, the member that
   executes it, the executor, asks the owner of its key for a claim.  The owner
   makes claims durable in batches: a journal row in the table service holds
   many claims, and its write succeeds only while the view is the one in which
   the owner granted them.  So the write that makes a claim durable also fences
   a former owner, and a new owner that reads the journal after the view has
   changed finds every claim that was granted before.

   The executor remembers how the execution for each key ended and caches small
   answers, so that a repeated request gets the same answer and is not executed
   again.  */

enum
{
  MAX_QUEUED_RECORD_COUNT = 4096 /* waiting for a journal write */
};

static const co_time journal_retry_interval = 300 * CO_MILLISECOND;

static void
free_talloc (gpointer data)
{
  talloc_free (data);
}

void
co_claim_init (struct co_core *core)
{
  core->executions
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_talloc);
  core->claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_talloc);
  g_queue_init (&core->execution_order);
  g_queue_init (&core->claim_order);
  g_queue_init (&core->unwritten_claims);
}

/* ---- executions known to the executor ---- */

struct co_execution *
co_execution_find (struct co_core *core, const char *idempotency_key)
{
  return g_hash_table_lookup (core->executions, idempotency_key);
}

static void
drop_cached_answer (struct co_core *core, struct co_execution *execution)
{
  core->cached_answer_bytes -= execution->body.len;
  TALLOC_FREE (execution->body.data);
  execution->body.len = 0;
  TALLOC_FREE (execution->headers);
}

void
co_execution_set_state (struct co_core *core, const char *idempotency_key,
                        uint32_t state)
{
  struct co_execution *execution = co_execution_find (core, idempotency_key);

  if (execution == NULL)
    {
      execution = talloc_zero (core, struct co_execution);
      execution->idempotency_key = talloc_strdup (execution, idempotency_key);
      g_hash_table_insert (core->executions, execution->idempotency_key,
                           execution);
      g_queue_push_tail (&core->execution_order, execution);
    }
  else
    drop_cached_answer (core, execution);
  execution->state = state;
  /* Owners keep a claim for claim_retention.  Keeping the execution twice as
     long ensures that while a claim exists, its executor knows how the
     execution ended.  */
  execution->expires_at = core->now + 2 * core->options.claim_retention;
}

void
co_execution_cache_answer (struct co_core *core, const char *idempotency_key,
                           const struct co_event_attempt_done *done)
{
  struct co_execution *execution;

  if (!done->has_whole_body || done->body.len > CO_MAX_CACHED_BODY_BYTES
      || core->cached_answer_bytes + done->body.len
             > core->options.max_cached_answer_bytes)
    {
      co_execution_set_state (core, idempotency_key, CO_EXECUTION_TOO_LARGE);
      return;
    }
  co_execution_set_state (core, idempotency_key, CO_EXECUTION_ANSWERED);
  execution = co_execution_find (core, idempotency_key);
  execution->http_status = done->http_status;
  execution->headers = talloc_strdup (execution, done->headers);
  execution->body = ba_bytes_copy (execution, done->body.data, done->body.len);
  core->cached_answer_bytes += done->body.len;
}

/* Forget executions that have expired.  They are queued in the order in which
   they were added, so one whose expiry was extended since also delays the
   removal of those behind it.  */
static void
expire_executions (struct co_core *core)
{
  struct co_execution *execution;

  while ((execution = g_queue_peek_head (&core->execution_order)) != NULL
         && execution->expires_at <= core->now
         && execution->state != CO_EXECUTION_RUNNING)
    {
      g_queue_pop_head (&core->execution_order);
      drop_cached_answer (core, execution);
      g_hash_table_remove (core->executions, execution->idempotency_key);
    }
}

/* ---- claims, at the owner ---- */

/* Record that EXECUTOR, or nobody if 0, holds the claim of IDEMPOTENCY_KEY for
   its request REQUEST_ID.  VIEW_VERSION is the version of the view in which
   that was decided; a decision in an earlier view doesn't replace one in a
   later view.  */
static void
set_claim (struct co_core *core, const char *idempotency_key,
           uint64_t executor, uint64_t request_id, uint64_t view_version,
           bool durable)
{
  struct co_claim *claim = g_hash_table_lookup (core->claims, idempotency_key);

  if (claim == NULL)
    {
      claim = talloc_zero (core, struct co_claim);
      claim->idempotency_key = talloc_strdup (claim, idempotency_key);
      g_hash_table_insert (core->claims, claim->idempotency_key, claim);
      g_queue_push_tail (&core->claim_order, claim);
    }
  else if (claim->view_version > view_version)
    return;
  claim->executor = executor;
  claim->request_id = request_id;
  claim->view_version = view_version;
  claim->durable = durable;
  claim->expires_at = core->now + core->options.claim_retention;
}

/* Forget claims that have expired.  They are queued like executions.  */
static void
expire_claims (struct co_core *core)
{
  struct co_claim *claim;

  while ((claim = g_queue_peek_head (&core->claim_order)) != NULL
         && claim->expires_at <= core->now)
    {
      g_queue_pop_head (&core->claim_order);
      g_hash_table_remove (core->claims, claim->idempotency_key);
    }
}

/* Send RESULT, an enum co_claim_result, for REQUEST_ID to the member TO, which
   may be this one.  EXECUTOR is the holder of the claim.  */
static void
send_claim_result (struct co_core *core, uint64_t to, uint64_t request_id,
                   uint32_t result, uint64_t executor)
{
  struct co_msg *message;

  if (to == core->options.incarnation)
    {
      struct co_request *request = co_request_find (core, request_id);

      if (request != NULL)
        co_request_claim_decided (core, request, result, executor);
      return;
    }
  message = co_add_message (core, to, CO_MSG_CLAIM_REPLY);
  message->u.claim_reply.request_id = request_id;
  message->u.claim_reply.result = result;
  message->u.claim_reply.executor = executor;
}

/* Queue a record for the journal: a claim or, if RELEASED, its release.  */
static void
queue_record (struct co_core *core, const char *idempotency_key,
              uint64_t executor, bool released, uint64_t request_id)
{
  struct co_claim_record *record = talloc_zero (core, struct co_claim_record);

  record->idempotency_key = talloc_strdup (record, idempotency_key);
  record->executor = executor;
  record->released = released;
  record->request_id = request_id;
  g_queue_push_tail (&core->unwritten_claims, record);
}

/* Return whether the claims of all earlier views have been read from the
   journal, so that this member may decide as owner.  */
static bool
is_journal_current (const struct co_core *core)
{
  return core->journal_read_version == core->view.version
         && core->view.version > 0;
}

/* As the owner, decide whether EXECUTOR gets the claim of IDEMPOTENCY_KEY for
   its request REQUEST_ID.  The result is sent now or, for a new claim, once
   the claim is durable.  */
static void
decide_claim (struct co_core *core, uint64_t executor, uint64_t request_id,
              const char *idempotency_key)
{
  struct co_claim *claim = g_hash_table_lookup (core->claims, idempotency_key);

  if (!is_journal_current (core) || core->table_unreachable
      || co_claim_owner (core, idempotency_key) != core->options.incarnation
      || core->unwritten_claims.length >= MAX_QUEUED_RECORD_COUNT)
    {
      send_claim_result (core, executor, request_id, CO_CLAIM_UNAVAILABLE, 0);
      return;
    }
  if (claim != NULL && claim->executor != 0 && claim->expires_at > core->now)
    {
      if (claim->executor != executor)
        send_claim_result (core, executor, request_id, CO_CLAIM_TAKEN,
                           claim->executor);
      else if (claim->durable)
        {
          /* From now on only REQUEST_ID can release the claim: a release by
             the earlier request that held it may still be in flight.  */
          claim->request_id = request_id;
          send_claim_result (core, executor, request_id, CO_CLAIM_GRANTED,
                             executor);
        }
      else /* not durable yet: the executor asks again */
        send_claim_result (core, executor, request_id, CO_CLAIM_UNAVAILABLE,
                           0);
      return;
    }
  set_claim (core, idempotency_key, executor, request_id, core->view.version,
             false);
  queue_record (core, idempotency_key, executor, false, request_id);
}

/* As the owner, release the claim of IDEMPOTENCY_KEY if EXECUTOR holds it for
   its request REQUEST_ID.  */
static void
release_as_owner (struct co_core *core, uint64_t executor, uint64_t request_id,
                  const char *idempotency_key)
{
  struct co_claim *claim = g_hash_table_lookup (core->claims, idempotency_key);

  if (claim == NULL || claim->executor != executor
      || claim->request_id != request_id || !claim->durable
      || !is_journal_current (core))
    return;
  set_claim (core, idempotency_key, 0, 0, core->view.version, true);
  queue_record (core, idempotency_key, executor, true, 0);
  co_increment_counter (core, CO_COUNTER_CLAIM_RELEASES);
}

/* Encode or decode RECORD in the direction of IO.  */
static void
claim_record_serialize (struct ba_codec *io, struct co_claim_record *record)
{
  ba_codec_str (io, &record->idempotency_key);
  ba_codec_u64 (io, &record->executor);
  ba_codec_u64 (io, &record->request_id);
  ba_codec_bool (io, &record->released);
  if (record->idempotency_key == NULL)
    io->failed = true;
}

/* Write the current batch as a journal row, for the first time or again.  */
static void
write_batch (struct co_core *core)
{
  struct co_action *action = co_add_action (core, CO_ACTION_WRITE);
  struct ba_codec io;

  core->claim_batch_write_pending = true;
  action->u.write.op_id = co_store_op_new (core, CO_STORE_OP_JOURNAL_WRITE, 0);
  action->u.write.row.partition = co_outbox_strdup (core, "journal");
  action->u.write.row.sort_key = talloc_asprintf (
      core->outbox->mem,
      "%016" G_GINT64_MODIFIER "x/%016" G_GINT64_MODIFIER
      "x/%016" G_GINT64_MODIFIER "x",
      core->claim_batch_view_version, core->options.incarnation,
      core->claim_batch_sequence);
  action->u.write.row.version = 1;
  action->u.write.required_view_version = core->claim_batch_view_version;
  action->u.write.lifetime_s
      = (uint32_t)(2 * core->options.claim_retention / CO_SECOND);
  ba_codec_init_writer (&io);
  ba_codec_u64 (&io, &core->claim_batch_view_version);
  ba_codec_count (&io, &core->claim_batch_count, CO_MAX_CLAIM_BATCH_COUNT);
  for (uint32_t i = 0; i < core->claim_batch_count; i++)
    claim_record_serialize (&io, core->claim_batch[i]);
  action->u.write.row.body = ba_codec_finish (&io, core->outbox->mem);
}

/* Make the next batch of the queued records and write it, unless a batch is
   being written.  */
static void
start_next_batch (struct co_core *core)
{
  if (core->claim_batch_count > 0 || core->unwritten_claims.length == 0
      || !is_journal_current (core))
    return;
  core->claim_batch = talloc_zero_array (core, struct co_claim_record *,
                                         CO_MAX_CLAIM_BATCH_COUNT);
  while (core->claim_batch_count < CO_MAX_CLAIM_BATCH_COUNT
         && core->unwritten_claims.length > 0)
    core->claim_batch[core->claim_batch_count++]
        = g_queue_pop_head (&core->unwritten_claims);
  core->claim_batch_view_version = core->view.version;
  core->claim_batch_sequence++;
  co_increment_counter (core, CO_COUNTER_CLAIM_BATCHES);
  write_batch (core);
}

/* Send RESULT, an enum co_claim_result, for the claims of the current batch
   and free it.  */
static void
finish_batch (struct co_core *core, uint32_t result)
{
  struct co_claim_record **batch = core->claim_batch;
  uint32_t count = core->claim_batch_count;

  core->claim_batch = NULL;
  core->claim_batch_count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      struct co_claim_record *record = batch[i];
      struct co_claim *claim
          = g_hash_table_lookup (core->claims, record->idempotency_key);

      if (record->released)
        continue;
      if (claim != NULL && claim->executor == record->executor)
        {
          claim->durable = result == CO_CLAIM_GRANTED;
          if (result != CO_CLAIM_GRANTED)
            claim->executor = 0;
        }
      if (result == CO_CLAIM_GRANTED)
        co_increment_counter (core, CO_COUNTER_CLAIMS);
      send_claim_result (core, record->executor, record->request_id, result,
                         record->executor);
    }
  for (uint32_t i = 0; i < count; i++)
    talloc_free (batch[i]);
  talloc_free (batch);
}

/* Refuse the claims that wait for a journal write.  None of them is stored,
   and queued releases are dropped.  */
static void
refuse_queued_claims (struct co_core *core)
{
  struct co_claim_record *record;

  while ((record = g_queue_pop_head (&core->unwritten_claims)) != NULL)
    {
      struct co_claim *claim
          = g_hash_table_lookup (core->claims, record->idempotency_key);

      if (!record->released && claim != NULL
          && claim->executor == record->executor)
        claim->executor = 0;
      if (!record->released)
        send_claim_result (core, record->executor, record->request_id,
                           CO_CLAIM_UNAVAILABLE, 0);
      talloc_free (record);
    }
}

void
co_claim_journal_write_done (struct co_core *core, uint32_t result)
{
  core->claim_batch_write_pending = false;
  if (core->claim_batch_count == 0)
    return;
  if (result == CO_STORE_OK)
    finish_batch (core, CO_CLAIM_GRANTED);
  else if (result == CO_STORE_UNREACHABLE && core->claim_batch_retry_at == 0)
    finish_batch (core, CO_CLAIM_UNAVAILABLE);
  else if (result == CO_STORE_CONFLICT && core->claim_batch_retry_at == 0)
    {
      /* The view has changed: this member may no longer be the owner.  */
      finish_batch (core, CO_CLAIM_UNAVAILABLE);
      co_schedule_poll (core);
    }
  else if (result == CO_STORE_CONFLICT)
    {
      /* An earlier attempt to write the batch may have succeeded.  Only the
         journal shows that, so no claim is decided until it has been read
         again.  */
      finish_batch (core, CO_CLAIM_UNKNOWN);
      if (core->journal_read_version >= core->claim_batch_view_version)
        core->journal_read_version = core->claim_batch_view_version - 1;
      co_schedule_poll (core);
    }
  else
    core->claim_batch_retry_at = core->now + journal_retry_interval;
  if (core->claim_batch_count == 0)
    core->claim_batch_retry_at = 0;
  start_next_batch (core);
}

/* ---- reading the journal ---- */

/* Record the claims and releases of ROW, a journal row.  A row that can't be
   decoded is counted.  */
static void
apply_journal_row (struct co_core *core, const struct co_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_claim_record record;
  uint64_t view_version;
  uint32_t count = 0;
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->body);
  ba_codec_u64 (&io, &view_version);
  ba_codec_count (&io, &count, CO_MAX_CLAIM_BATCH_COUNT);
  for (uint32_t i = 0; i < count && !io.failed; i++)
    {
      memset (&record, 0, sizeof record);
      claim_record_serialize (&io, &record);
      if (!io.failed)
        set_claim (core, record.idempotency_key,
                   record.released ? 0 : record.executor, record.request_id,
                   view_version, true);
    }
  if (!ba_codec_is_complete (&io))
    co_increment_counter (core, CO_COUNTER_INVALID_ROWS);
  talloc_free (scratch);
}

void
co_claim_journal_read_done (struct co_core *core,
                            const struct co_event_read_done *done)
{
  core->journal_read_pending = false;
  if (done->result != CO_STORE_OK)
    return;
  for (uint32_t i = 0; i < done->row_count; i++)
    apply_journal_row (core, &done->rows[i]);
  core->journal_read_version = core->journal_read_target_version;
}

/* Read the claims that owners have stored in the view of the last read and in
   later ones.  Rows that others store in the current view after the read don't
   matter: they are for keys that this member doesn't own.  */
static void
read_journal (struct co_core *core)
{
  struct co_action *action;

  if (core->journal_read_pending || core->now < core->journal_retry_at
      || core->claim_batch_count > 0)
    return;
  core->journal_read_pending = true;
  core->journal_read_target_version = core->view.version;
  core->journal_retry_at = core->now + journal_retry_interval;
  action = co_add_action (core, CO_ACTION_READ);
  action->u.read.op_id = co_store_op_new (core, CO_STORE_OP_JOURNAL_READ, 0);
  action->u.read.partition = co_outbox_strdup (core, "journal");
  action->u.read.after_sort_key
      = talloc_asprintf (core->outbox->mem, "%016" G_GINT64_MODIFIER "x",
                         core->journal_read_version);
}

void
co_claim_view_changed (struct co_core *core)
{
  /* The batch that is being written needs no action: its write fails if the
     view has changed since the batch was made.  */
  refuse_queued_claims (core);
}

/* ---- claims, at the executor ---- */

void
co_claim_acquire (struct co_core *core, struct co_request *request)
{
  uint64_t owner = co_claim_owner (core, request->idempotency_key);
  struct co_msg *message;

  if (owner == core->options.incarnation)
    {
      decide_claim (core, owner, request->id, request->idempotency_key);
      start_next_batch (core);
      return;
    }
  message = co_add_message (core, owner, CO_MSG_CLAIM);
  message->u.claim.request_id = request->id;
  message->u.claim.view_version = core->view.version;
  message->u.claim.idempotency_key
      = co_outbox_strdup (core, request->idempotency_key);
}

void
co_claim_release (struct co_core *core, const char *idempotency_key,
                  uint64_t request_id)
{
  uint64_t owner = co_claim_owner (core, idempotency_key);
  struct co_msg *message;

  if (owner == core->options.incarnation)
    {
      release_as_owner (core, owner, request_id, idempotency_key);
      return;
    }
  if (owner == 0)
    return;
  message = co_add_message (core, owner, CO_MSG_CLAIM_RELEASE);
  message->u.claim_release.request_id = request_id;
  message->u.claim_release.view_version = core->view.version;
  message->u.claim_release.idempotency_key
      = co_outbox_strdup (core, idempotency_key);
}

/* Send the member FROM what is known about the execution that it asks for,
   with the answer if it is cached.  A claim whose request was not executed is
   released, so that a repeated request can get it.  */
static void
send_fetch_reply (struct co_core *core, uint64_t from,
                  const struct co_msg_fetch_answer *fetch)
{
  struct co_execution *execution
      = co_execution_find (core, fetch->idempotency_key);
  struct co_msg *message = co_add_message (core, from, CO_MSG_FETCH_REPLY);

  message->u.fetch_reply.request_id = fetch->request_id;
  message->u.fetch_reply.state
      = execution ? execution->state : CO_EXECUTION_NONE;
  if (execution != NULL && execution->state == CO_EXECUTION_ANSWERED)
    {
      message->u.fetch_reply.http_status = execution->http_status;
      message->u.fetch_reply.headers
          = talloc_strdup (core->outbox->mem, execution->headers);
      message->u.fetch_reply.body = ba_bytes_copy (
          core->outbox->mem, execution->body.data, execution->body.len);
    }
  if (execution != NULL && execution->state == CO_EXECUTION_NOT_RUN)
    co_claim_release (core, fetch->idempotency_key, execution->request_id);
}

void
co_claim_handle_message (struct co_core *core, uint64_t from,
                         const struct co_msg *message)
{
  struct co_request *request;

  switch (message->type)
    {
    case CO_MSG_CLAIM:
      if (message->u.claim.view_version != core->view.version)
        send_claim_result (core, from, message->u.claim.request_id,
                           CO_CLAIM_UNAVAILABLE, 0);
      else
        decide_claim (core, from, message->u.claim.request_id,
                      message->u.claim.idempotency_key);
      start_next_batch (core);
      break;
    case CO_MSG_CLAIM_REPLY:
      request = co_request_find (core, message->u.claim_reply.request_id);
      if (request != NULL)
        co_request_claim_decided (core, request, message->u.claim_reply.result,
                                  message->u.claim_reply.executor);
      break;
    case CO_MSG_CLAIM_RELEASE:
      release_as_owner (core, from, message->u.claim_release.request_id,
                        message->u.claim_release.idempotency_key);
      start_next_batch (core);
      break;
    case CO_MSG_FETCH_ANSWER:
      send_fetch_reply (core, from, &message->u.fetch_answer);
      break;
    case CO_MSG_FETCH_REPLY:
      request = co_request_find (core, message->u.fetch_reply.request_id);
      if (request != NULL)
        co_request_fetch_done (core, request, &message->u.fetch_reply);
      break;
    default:
      break;
    }
}

void
co_claim_tick (struct co_core *core)
{
  expire_executions (core);
  expire_claims (core);
  if (core->phase != CO_PHASE_MEMBER && core->phase != CO_PHASE_LEAVING)
    return;
  if (core->claim_batch_count > 0 && !core->claim_batch_write_pending
      && core->now >= core->claim_batch_retry_at)
    write_batch (core);
  if (core->table_unreachable)
    refuse_queued_claims (core);
  if (core->journal_read_version != core->view.version)
    read_journal (core);
  start_next_batch (core);
}
