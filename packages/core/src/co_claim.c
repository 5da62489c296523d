#include "co_internal.h"

#include <string.h>

/* At most once for requests with an identity.

   Before a non-idempotent request starts, its executor asks the owner of the
   identity for a claim.  The owner makes claims durable in groups: one
   journal row holds many, and its write succeeds only while the view is the
   owner's.  So the write that makes a claim durable also fences an owner that
   is no longer one, and a new owner that reads the journal after the view
   changed finds every claim that was ever granted.

   The executor remembers how each identity ended and keeps small answers, so
   that a repeat gets the same answer and never a second run.  */

enum
{
  MAX_RECORDS = 4096, /* waiting for the journal */
  SORT_SIZE = 3 * 17 + 1
};

static const co_time journal_retry = 300 * CO_MILLISECOND;

static void
free_kept (gpointer data)
{
  talloc_free (data);
}

void
co_claim_init (struct co_core *core)
{
  core->executions
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_kept);
  core->claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_kept);
  g_queue_init (&core->execution_order);
  g_queue_init (&core->claim_order);
  g_queue_init (&core->unwritten_claims);
}

/* ---- the executor's memory ---- */

struct co_execution *
co_execution_find (struct co_core *core, const char *identity)
{
  return g_hash_table_lookup (core->executions, identity);
}

static void
drop_kept_body (struct co_core *core, struct co_execution *kept)
{
  core->cached_answer_bytes -= kept->body.len;
  TALLOC_FREE (kept->body.data);
  kept->body.len = 0;
  TALLOC_FREE (kept->headers);
}

void
co_execution_set_state (struct co_core *core, const char *identity,
                        uint32_t state)
{
  struct co_execution *kept = co_execution_find (core, identity);

  if (kept == NULL)
    {
      kept = talloc_zero (core, struct co_execution);
      kept->idempotency_key = talloc_strdup (kept, identity);
      g_hash_table_insert (core->executions, kept->idempotency_key, kept);
      g_queue_push_tail (&core->execution_order, kept);
    }
  else
    drop_kept_body (core, kept);
  kept->state = state;
  /* Twice the owners' time: while a claim exists, its executor knows how it
     ended.  */
  kept->expires_at = core->now + 2 * core->options.claim_retention;
}

void
co_execution_store_answer (struct co_core *core, const char *identity,
                           const struct co_event_attempt_done *done)
{
  struct co_execution *kept;

  if (!done->has_whole_body || done->body.len > CO_MAX_CACHED_BODY_BYTES
      || core->cached_answer_bytes + done->body.len
             > core->options.max_cached_answer_bytes)
    {
      co_execution_set_state (core, identity, CO_EXECUTION_TOO_LARGE);
      return;
    }
  co_execution_set_state (core, identity, CO_EXECUTION_ANSWERED);
  kept = co_execution_find (core, identity);
  kept->http_status = done->http_status;
  kept->headers = talloc_strdup (kept, done->headers);
  kept->body = ba_bytes_copy (kept, done->body.data, done->body.len);
  core->cached_answer_bytes += done->body.len;
}

/* Forget identities whose time has passed.  The order is that of insertion;
   one that was set again later stays until it is at the head and due.  */
static void
expire_kept (struct co_core *core)
{
  struct co_execution *kept;

  while ((kept = g_queue_peek_head (&core->execution_order)) != NULL
         && kept->expires_at <= core->now
         && kept->state != CO_EXECUTION_RUNNING)
    {
      g_queue_pop_head (&core->execution_order);
      drop_kept_body (core, kept);
      g_hash_table_remove (core->executions, kept->idempotency_key);
    }
}

/* ---- the owner ---- */

static void
set_claim (struct co_core *core, const char *identity, uint64_t executor,
           uint64_t op, uint64_t view, bool durable)
{
  struct co_claim *claim = g_hash_table_lookup (core->claims, identity);

  if (claim == NULL)
    {
      claim = talloc_zero (core, struct co_claim);
      claim->idempotency_key = talloc_strdup (claim, identity);
      g_hash_table_insert (core->claims, claim->idempotency_key, claim);
      g_queue_push_tail (&core->claim_order, claim);
    }
  else if (claim->view_version > view)
    return;
  claim->executor = executor;
  claim->request_id = op;
  claim->view_version = view;
  claim->durable = durable;
  claim->expires_at = core->now + core->options.claim_retention;
}

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

static void
reply (struct co_core *core, uint64_t to, uint64_t op, uint32_t result,
       uint64_t executor)
{
  struct co_msg *m;

  if (to == core->options.incarnation)
    {
      struct co_request *request = co_request_find (core, op);

      if (request != NULL)
        co_request_claim_decided (core, request, result, executor);
      return;
    }
  m = co_add_message (core, to, CO_MSG_CLAIM_REPLY);
  m->u.claim_reply.request_id = op;
  m->u.claim_reply.result = result;
  m->u.claim_reply.executor = executor;
}

static void
push_record (struct co_core *core, const char *identity, uint64_t executor,
             bool released, uint64_t op)
{
  struct co_claim_record *record = talloc_zero (core, struct co_claim_record);

  record->idempotency_key = talloc_strdup (record, identity);
  record->executor = executor;
  record->released = released;
  record->request_id = op;
  g_queue_push_tail (&core->unwritten_claims, record);
}

static bool
journal_ready (const struct co_core *core)
{
  return core->journal_read_version == core->view.version
         && core->view.version > 0;
}

/* Decide a claim of IDENTITY for the member EXECUTOR.  */
static void
own_claim (struct co_core *core, uint64_t executor, uint64_t op,
           const char *identity)
{
  struct co_claim *claim = g_hash_table_lookup (core->claims, identity);

  if (!journal_ready (core) || core->table_unreachable
      || co_claim_owner (core, identity) != core->options.incarnation
      || core->unwritten_claims.length >= MAX_RECORDS)
    {
      reply (core, executor, op, CO_CLAIM_UNAVAILABLE, 0);
      return;
    }
  if (claim != NULL && claim->executor != 0 && claim->expires_at > core->now)
    {
      if (claim->executor != executor)
        reply (core, executor, op, CO_CLAIM_TAKEN, claim->executor);
      else if (claim->durable)
        {
          /* From now on only a release of OP counts; one of the request
             that claimed it before may still be on its way.  */
          claim->request_id = op;
          reply (core, executor, op, CO_CLAIM_GRANTED, executor);
        }
      else
        reply (core, executor, op, CO_CLAIM_UNAVAILABLE, 0);
      return;
    }
  set_claim (core, identity, executor, op, core->view.version, false);
  push_record (core, identity, executor, false, op);
}

static void
own_release (struct co_core *core, uint64_t executor, uint64_t op,
             const char *identity)
{
  struct co_claim *claim = g_hash_table_lookup (core->claims, identity);

  if (claim == NULL || claim->executor != executor || claim->request_id != op
      || !claim->durable || !journal_ready (core))
    return;
  set_claim (core, identity, 0, 0, core->view.version, true);
  push_record (core, identity, executor, true, 0);
  co_increment_counter (core, CO_COUNTER_CLAIM_RELEASES);
}

static void
record_code (struct ba_codec *io, struct co_claim_record *record)
{
  ba_codec_str (io, &record->idempotency_key);
  ba_codec_u64 (io, &record->executor);
  ba_codec_u64 (io, &record->request_id);
  ba_codec_bool (io, &record->released);
  if (record->idempotency_key == NULL)
    io->failed = true;
}

/* Send, or send again, the journal row of the present batch.  */
static void
send_batch (struct co_core *core)
{
  struct co_action *o = co_add_action (core, CO_ACTION_WRITE);
  struct ba_codec io;

  core->claim_batch_write_pending = true;
  o->u.write.op_id = co_store_op_new (core, CO_STORE_OP_JOURNAL_WRITE, 0);
  o->u.write.row.partition = co_outbox_strdup (core, "journal");
  o->u.write.row.sort_key = talloc_asprintf (
      core->outbox->mem,
      "%016" G_GINT64_MODIFIER "x/%016" G_GINT64_MODIFIER
      "x/%016" G_GINT64_MODIFIER "x",
      core->claim_batch_view_version, core->options.incarnation,
      core->claim_batch_sequence);
  o->u.write.row.version = 1;
  o->u.write.required_view_version = core->claim_batch_view_version;
  o->u.write.lifetime_s
      = (uint32_t)(2 * core->options.claim_retention / CO_SECOND);
  ba_codec_init_writer (&io);
  ba_codec_u64 (&io, &core->claim_batch_view_version);
  ba_codec_count (&io, &core->claim_batch_count, CO_MAX_CLAIM_BATCH_COUNT);
  for (uint32_t i = 0; i < core->claim_batch_count; i++)
    record_code (&io, core->claim_batch[i]);
  o->u.write.row.body = ba_codec_finish (&io, core->outbox->mem);
}

static void
next_batch (struct co_core *core)
{
  if (core->claim_batch_count > 0 || core->unwritten_claims.length == 0
      || !journal_ready (core))
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
  send_batch (core);
}

/* Answer the records of the present batch and drop it.  */
static void
end_batch (struct co_core *core, uint32_t result)
{
  struct co_claim_record **batch = core->claim_batch;
  uint32_t count = core->claim_batch_count;

  core->claim_batch = NULL;
  core->claim_batch_count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      struct co_claim_record *r = batch[i];
      struct co_claim *claim
          = g_hash_table_lookup (core->claims, r->idempotency_key);

      if (r->released)
        continue;
      if (claim != NULL && claim->executor == r->executor)
        {
          claim->durable = result == CO_CLAIM_GRANTED;
          if (result != CO_CLAIM_GRANTED)
            claim->executor = 0;
        }
      if (result == CO_CLAIM_GRANTED)
        co_increment_counter (core, CO_COUNTER_CLAIMS);
      reply (core, r->executor, r->request_id, result, r->executor);
    }
  for (uint32_t i = 0; i < count; i++)
    talloc_free (batch[i]);
  talloc_free (batch);
}

/* Refuse the records that wait for the journal.  Nothing of them is stored. */
static void
refuse_records (struct co_core *core)
{
  struct co_claim_record *r;

  while ((r = g_queue_pop_head (&core->unwritten_claims)) != NULL)
    {
      struct co_claim *claim
          = g_hash_table_lookup (core->claims, r->idempotency_key);

      if (!r->released && claim != NULL && claim->executor == r->executor)
        claim->executor = 0;
      if (!r->released)
        reply (core, r->executor, r->request_id, CO_CLAIM_UNAVAILABLE, 0);
      talloc_free (r);
    }
}

void
co_claim_journal_write_done (struct co_core *core, uint32_t result)
{
  core->claim_batch_write_pending = false;
  if (core->claim_batch_count == 0)
    return;
  if (result == CO_STORE_OK)
    end_batch (core, CO_CLAIM_GRANTED);
  else if (result == CO_STORE_UNREACHABLE && core->claim_batch_retry_at == 0)
    end_batch (core, CO_CLAIM_UNAVAILABLE);
  else if (result == CO_STORE_CONFLICT && core->claim_batch_retry_at == 0)
    {
      /* The view has changed: this member may no longer be the owner.  */
      end_batch (core, CO_CLAIM_UNAVAILABLE);
      co_schedule_poll (core);
    }
  else if (result == CO_STORE_CONFLICT)
    {
      /* An earlier try may have been stored: only the journal tells, and
         until it is read again nothing is granted.  */
      end_batch (core, CO_CLAIM_UNKNOWN);
      if (core->journal_read_version >= core->claim_batch_view_version)
        core->journal_read_version = core->claim_batch_view_version - 1;
      co_schedule_poll (core);
    }
  else
    core->claim_batch_retry_at = core->now + journal_retry;
  if (core->claim_batch_count == 0)
    core->claim_batch_retry_at = 0;
  next_batch (core);
}

/* ---- reading the journal ---- */

static void
take_journal_row (struct co_core *core, const struct co_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_claim_record record;
  uint64_t view;
  uint32_t count = 0;
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->body);
  ba_codec_u64 (&io, &view);
  ba_codec_count (&io, &count, CO_MAX_CLAIM_BATCH_COUNT);
  for (uint32_t i = 0; i < count && !io.failed; i++)
    {
      memset (&record, 0, sizeof record);
      record_code (&io, &record);
      if (!io.failed)
        set_claim (core, record.idempotency_key,
                   record.released ? 0 : record.executor, record.request_id,
                   view, true);
    }
  if (!ba_codec_is_complete (&io))
    co_increment_counter (core, CO_COUNTER_INVALID_ROWS);
  talloc_free (scratch);
}

void
co_claim_journal_read_done (struct co_core *core,
                            const struct co_event_read_done *rows)
{
  core->journal_read_pending = false;
  if (rows->result != CO_STORE_OK)
    return;
  for (uint32_t i = 0; i < rows->row_count; i++)
    take_journal_row (core, &rows->rows[i]);
  core->journal_read_version = core->journal_read_target_version;
}

/* Read what owners of earlier views have stored.  Rows of views that were
   read before are known; those of the present view are this member's own, or
   of identities that it does not own.  */
static void
read_journal (struct co_core *core)
{
  struct co_action *o;

  if (core->journal_read_pending || core->now < core->journal_retry_at
      || core->claim_batch_count > 0)
    return;
  core->journal_read_pending = true;
  core->journal_read_target_version = core->view.version;
  core->journal_retry_at = core->now + journal_retry;
  o = co_add_action (core, CO_ACTION_READ);
  o->u.read.op_id = co_store_op_new (core, CO_STORE_OP_JOURNAL_READ, 0);
  o->u.read.partition = co_outbox_strdup (core, "journal");
  o->u.read.after_sort_key
      = talloc_asprintf (core->outbox->mem, "%016" G_GINT64_MODIFIER "x",
                         core->journal_read_version);
}

void
co_claim_view_changed (struct co_core *core)
{
  /* The batch under way keeps its own view as guard.  */
  refuse_records (core);
}

/* ---- the executor's side of a claim ---- */

void
co_claim_acquire (struct co_core *core, struct co_request *request)
{
  uint64_t owner = co_claim_owner (core, request->idempotency_key);
  struct co_msg *m;

  if (owner == core->options.incarnation)
    {
      own_claim (core, owner, request->id, request->idempotency_key);
      next_batch (core);
      return;
    }
  m = co_add_message (core, owner, CO_MSG_CLAIM);
  m->u.claim.request_id = request->id;
  m->u.claim.view_version = core->view.version;
  m->u.claim.idempotency_key
      = co_outbox_strdup (core, request->idempotency_key);
}

/* Tell the owner that IDENTITY was claimed but not run.  */
void
co_claim_release (struct co_core *core, const char *identity, uint64_t op)
{
  uint64_t owner = co_claim_owner (core, identity);
  struct co_msg *m;

  if (owner == core->options.incarnation)
    {
      own_release (core, owner, op, identity);
      return;
    }
  if (owner == 0)
    return;
  m = co_add_message (core, owner, CO_MSG_CLAIM_RELEASE);
  m->u.claim_release.request_id = op;
  m->u.claim_release.view_version = core->view.version;
  m->u.claim_release.idempotency_key = co_outbox_strdup (core, identity);
}

static void
answer_fetch (struct co_core *core, uint64_t from,
              const struct co_msg_fetch_answer *fetch)
{
  struct co_execution *kept = co_execution_find (core, fetch->idempotency_key);
  struct co_msg *m = co_add_message (core, from, CO_MSG_FETCH_REPLY);

  m->u.fetch_reply.request_id = fetch->request_id;
  m->u.fetch_reply.state = kept ? kept->state : CO_EXECUTION_NONE;
  if (kept != NULL && kept->state == CO_EXECUTION_ANSWERED)
    {
      m->u.fetch_reply.http_status = kept->http_status;
      m->u.fetch_reply.headers
          = talloc_strdup (core->outbox->mem, kept->headers);
      m->u.fetch_reply.body
          = ba_bytes_copy (core->outbox->mem, kept->body.data, kept->body.len);
    }
  if (kept != NULL && kept->state == CO_EXECUTION_NOT_RUN)
    co_claim_release (core, fetch->idempotency_key, kept->request_id);
}

void
co_claim_handle_message (struct co_core *core, uint64_t from,
                         const struct co_msg *m)
{
  struct co_request *request;

  switch (m->type)
    {
    case CO_MSG_CLAIM:
      if (m->u.claim.view_version != core->view.version)
        reply (core, from, m->u.claim.request_id, CO_CLAIM_UNAVAILABLE, 0);
      else
        own_claim (core, from, m->u.claim.request_id,
                   m->u.claim.idempotency_key);
      next_batch (core);
      break;
    case CO_MSG_CLAIM_REPLY:
      request = co_request_find (core, m->u.claim_reply.request_id);
      if (request != NULL)
        co_request_claim_decided (core, request, m->u.claim_reply.result,
                                  m->u.claim_reply.executor);
      break;
    case CO_MSG_CLAIM_RELEASE:
      own_release (core, from, m->u.claim_release.request_id,
                   m->u.claim_release.idempotency_key);
      next_batch (core);
      break;
    case CO_MSG_FETCH_ANSWER:
      answer_fetch (core, from, &m->u.fetch_answer);
      break;
    case CO_MSG_FETCH_REPLY:
      request = co_request_find (core, m->u.fetch_reply.request_id);
      if (request != NULL)
        co_request_fetch_done (core, request, &m->u.fetch_reply);
      break;
    default:
      break;
    }
}

void
co_claim_tick (struct co_core *core)
{
  expire_kept (core);
  expire_claims (core);
  if (core->phase != CO_PHASE_MEMBER && core->phase != CO_PHASE_LEAVING)
    return;
  if (core->claim_batch_count > 0 && !core->claim_batch_write_pending
      && core->now >= core->claim_batch_retry_at)
    send_batch (core);
  if (core->table_unreachable)
    refuse_records (core);
  if (core->journal_read_version != core->view.version)
    read_journal (core);
  next_batch (core);
}
