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
  core->kept
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_kept);
  core->claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_kept);
  g_queue_init (&core->kept_order);
  g_queue_init (&core->claim_order);
  g_queue_init (&core->records);
}

/* ---- the executor's memory ---- */

struct co_kept *
co_execution_find (struct co_core *core, const char *identity)
{
  return g_hash_table_lookup (core->kept, identity);
}

static void
drop_kept_body (struct co_core *core, struct co_kept *kept)
{
  core->kept_bytes -= kept->body.len;
  TALLOC_FREE (kept->body.data);
  kept->body.len = 0;
  TALLOC_FREE (kept->headers);
}

void
co_execution_set_state (struct co_core *core, const char *identity,
                        uint32_t state)
{
  struct co_kept *kept = co_execution_find (core, identity);

  if (kept == NULL)
    {
      kept = talloc_zero (core, struct co_kept);
      kept->identity = talloc_strdup (kept, identity);
      g_hash_table_insert (core->kept, kept->identity, kept);
      g_queue_push_tail (&core->kept_order, kept);
    }
  else
    drop_kept_body (core, kept);
  kept->kept = state;
  /* Twice the owners' time: while a claim exists, its executor knows how it
     ended.  */
  kept->until = core->now + 2 * core->options.retention;
}

void
co_execution_store_answer (struct co_core *core, const char *identity,
                           const struct co_event_done *done)
{
  struct co_kept *kept;

  if (!done->kept || done->body.len > CO_KEEP_BODY
      || core->kept_bytes + done->body.len > core->options.max_kept)
    {
      co_execution_set_state (core, identity, CO_KEPT_TOO_LARGE);
      return;
    }
  co_execution_set_state (core, identity, CO_KEPT_ANSWER);
  kept = co_execution_find (core, identity);
  kept->status = done->status;
  kept->headers = talloc_strdup (kept, done->headers);
  kept->body = ba_bytes_copy (kept, done->body.data, done->body.len);
  core->kept_bytes += done->body.len;
}

/* Forget identities whose time has passed.  The order is that of insertion;
   one that was set again later stays until it is at the head and due.  */
static void
expire_kept (struct co_core *core)
{
  struct co_kept *kept;

  while ((kept = g_queue_peek_head (&core->kept_order)) != NULL
         && kept->until <= core->now && kept->kept != CO_KEPT_RUNNING)
    {
      g_queue_pop_head (&core->kept_order);
      drop_kept_body (core, kept);
      g_hash_table_remove (core->kept, kept->identity);
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
      claim->identity = talloc_strdup (claim, identity);
      g_hash_table_insert (core->claims, claim->identity, claim);
      g_queue_push_tail (&core->claim_order, claim);
    }
  else if (claim->view > view)
    return;
  claim->executor = executor;
  claim->op = op;
  claim->view = view;
  claim->durable = durable;
  claim->until = core->now + core->options.retention;
}

static void
expire_claims (struct co_core *core)
{
  struct co_claim *claim;

  while ((claim = g_queue_peek_head (&core->claim_order)) != NULL
         && claim->until <= core->now)
    {
      g_queue_pop_head (&core->claim_order);
      g_hash_table_remove (core->claims, claim->identity);
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
  m = co_send (core, to, CO_MSG_CLAIMED);
  m->u.claimed.op = op;
  m->u.claimed.result = result;
  m->u.claimed.executor = executor;
}

static void
push_record (struct co_core *core, const char *identity, uint64_t executor,
             bool released, uint64_t op)
{
  struct co_record *record = talloc_zero (core, struct co_record);

  record->identity = talloc_strdup (record, identity);
  record->executor = executor;
  record->released = released;
  record->op = op;
  g_queue_push_tail (&core->records, record);
}

static bool
journal_ready (const struct co_core *core)
{
  return core->journal_view == core->view.version && core->view.version > 0;
}

/* Decide a claim of IDENTITY for the member EXECUTOR.  */
static void
own_claim (struct co_core *core, uint64_t executor, uint64_t op,
           const char *identity)
{
  struct co_claim *claim = g_hash_table_lookup (core->claims, identity);

  if (!journal_ready (core) || core->table_down
      || co_owner (core, identity) != core->options.incarnation
      || core->records.length >= MAX_RECORDS)
    {
      reply (core, executor, op, CO_CLAIM_UNAVAILABLE, 0);
      return;
    }
  if (claim != NULL && claim->executor != 0 && claim->until > core->now)
    {
      if (claim->executor != executor)
        reply (core, executor, op, CO_CLAIM_TAKEN, claim->executor);
      else if (claim->durable)
        {
          /* From now on only a release of OP counts; one of the request
             that claimed it before may still be on its way.  */
          claim->op = op;
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

  if (claim == NULL || claim->executor != executor || claim->op != op
      || !claim->durable || !journal_ready (core))
    return;
  set_claim (core, identity, 0, 0, core->view.version, true);
  push_record (core, identity, executor, true, 0);
  co_count (core, CO_COUNTER_RELEASES);
}

static void
record_code (struct ba_io *io, struct co_record *record)
{
  ba_io_str (io, &record->identity);
  ba_io_u64 (io, &record->executor);
  ba_io_u64 (io, &record->op);
  ba_io_bool (io, &record->released);
  if (record->identity == NULL)
    io->failed = true;
}

/* Send, or send again, the journal row of the present batch.  */
static void
send_batch (struct co_core *core)
{
  struct co_outcome *o = co_emit (core, CO_OUTCOME_WRITE);
  struct ba_io io;

  core->batch_sent = true;
  o->u.write.op = co_op_new (core, CO_OP_JOURNAL_WRITE, 0);
  o->u.write.row.partition = co_outbox_str (core, "journal");
  o->u.write.row.sort = talloc_asprintf (
      core->outbox->mem,
      "%016" G_GINT64_MODIFIER "x/%016" G_GINT64_MODIFIER
      "x/%016" G_GINT64_MODIFIER "x",
      core->batch_view, core->options.incarnation, core->batch_seq);
  o->u.write.row.version = 1;
  o->u.write.guard_version = core->batch_view;
  o->u.write.lifetime = (uint32_t)(2 * core->options.retention / CO_SECOND);
  ba_io_writer (&io);
  ba_io_u64 (&io, &core->batch_view);
  ba_io_count (&io, &core->batch_count, CO_CLAIM_BATCH);
  for (uint32_t i = 0; i < core->batch_count; i++)
    record_code (&io, core->batch[i]);
  o->u.write.row.body = ba_io_finish (&io, core->outbox->mem);
}

static void
next_batch (struct co_core *core)
{
  if (core->batch_count > 0 || core->records.length == 0
      || !journal_ready (core))
    return;
  core->batch = talloc_zero_array (core, struct co_record *, CO_CLAIM_BATCH);
  while (core->batch_count < CO_CLAIM_BATCH && core->records.length > 0)
    core->batch[core->batch_count++] = g_queue_pop_head (&core->records);
  core->batch_view = core->view.version;
  core->batch_seq++;
  co_count (core, CO_COUNTER_CLAIM_BATCHES);
  send_batch (core);
}

/* Answer the records of the present batch and drop it.  */
static void
end_batch (struct co_core *core, uint32_t result)
{
  struct co_record **batch = core->batch;
  uint32_t count = core->batch_count;

  core->batch = NULL;
  core->batch_count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      struct co_record *r = batch[i];
      struct co_claim *claim = g_hash_table_lookup (core->claims, r->identity);

      if (r->released)
        continue;
      if (claim != NULL && claim->executor == r->executor)
        {
          claim->durable = result == CO_CLAIM_GRANTED;
          if (result != CO_CLAIM_GRANTED)
            claim->executor = 0;
        }
      if (result == CO_CLAIM_GRANTED)
        co_count (core, CO_COUNTER_CLAIMS);
      reply (core, r->executor, r->op, result, r->executor);
    }
  for (uint32_t i = 0; i < count; i++)
    talloc_free (batch[i]);
  talloc_free (batch);
}

/* Refuse the records that wait for the journal.  Nothing of them is stored. */
static void
refuse_records (struct co_core *core)
{
  struct co_record *r;

  while ((r = g_queue_pop_head (&core->records)) != NULL)
    {
      struct co_claim *claim = g_hash_table_lookup (core->claims, r->identity);

      if (!r->released && claim != NULL && claim->executor == r->executor)
        claim->executor = 0;
      if (!r->released)
        reply (core, r->executor, r->op, CO_CLAIM_UNAVAILABLE, 0);
      talloc_free (r);
    }
}

void
co_claim_journal_write_done (struct co_core *core, uint32_t result)
{
  core->batch_sent = false;
  if (core->batch_count == 0)
    return;
  if (result == CO_STORE_OK)
    end_batch (core, CO_CLAIM_GRANTED);
  else if (result == CO_STORE_UNREACHABLE && core->batch_retry == 0)
    end_batch (core, CO_CLAIM_UNAVAILABLE);
  else if (result == CO_STORE_CONFLICT && core->batch_retry == 0)
    {
      /* The view has changed: this member may no longer be the owner.  */
      end_batch (core, CO_CLAIM_UNAVAILABLE);
      co_poll_now (core);
    }
  else if (result == CO_STORE_CONFLICT)
    {
      /* An earlier try may have been stored: only the journal tells, and
         until it is read again nothing is granted.  */
      end_batch (core, CO_CLAIM_UNKNOWN);
      if (core->journal_view >= core->batch_view)
        core->journal_view = core->batch_view - 1;
      co_poll_now (core);
    }
  else
    core->batch_retry = core->now + journal_retry;
  if (core->batch_count == 0)
    core->batch_retry = 0;
  next_batch (core);
}

/* ---- reading the journal ---- */

static void
take_journal_row (struct co_core *core, const struct co_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_record record;
  uint64_t view;
  uint32_t count = 0;
  struct ba_io io;

  ba_io_reader (&io, scratch, row->body);
  ba_io_u64 (&io, &view);
  ba_io_count (&io, &count, CO_CLAIM_BATCH);
  for (uint32_t i = 0; i < count && !io.failed; i++)
    {
      memset (&record, 0, sizeof record);
      record_code (&io, &record);
      if (!io.failed)
        set_claim (core, record.identity,
                   record.released ? 0 : record.executor, record.op, view,
                   true);
    }
  if (!ba_io_ended (&io))
    co_count (core, CO_COUNTER_BAD_ROWS);
  talloc_free (scratch);
}

void
co_claim_journal_read_done (struct co_core *core,
                            const struct co_event_rows *rows)
{
  core->journal_reading = false;
  if (rows->result != CO_STORE_OK)
    return;
  for (uint32_t i = 0; i < rows->row_count; i++)
    take_journal_row (core, &rows->rows[i]);
  core->journal_view = core->journal_reading_view;
}

/* Read what owners of earlier views have stored.  Rows of views that were
   read before are known; those of the present view are this member's own, or
   of identities that it does not own.  */
static void
read_journal (struct co_core *core)
{
  struct co_outcome *o;

  if (core->journal_reading || core->now < core->journal_retry
      || core->batch_count > 0)
    return;
  core->journal_reading = true;
  core->journal_reading_view = core->view.version;
  core->journal_retry = core->now + journal_retry;
  o = co_emit (core, CO_OUTCOME_READ);
  o->u.read.op = co_op_new (core, CO_OP_JOURNAL_READ, 0);
  o->u.read.partition = co_outbox_str (core, "journal");
  o->u.read.after = talloc_asprintf (
      core->outbox->mem, "%016" G_GINT64_MODIFIER "x", core->journal_view);
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
  uint64_t owner = co_owner (core, request->identity);
  struct co_msg *m;

  if (owner == core->options.incarnation)
    {
      own_claim (core, owner, request->id, request->identity);
      next_batch (core);
      return;
    }
  m = co_send (core, owner, CO_MSG_CLAIM);
  m->u.claim.op = request->id;
  m->u.claim.view_version = core->view.version;
  m->u.claim.identity = co_outbox_str (core, request->identity);
}

/* Tell the owner that IDENTITY was claimed but not run.  */
void
co_claim_release (struct co_core *core, const char *identity, uint64_t op)
{
  uint64_t owner = co_owner (core, identity);
  struct co_msg *m;

  if (owner == core->options.incarnation)
    {
      own_release (core, owner, op, identity);
      return;
    }
  if (owner == 0)
    return;
  m = co_send (core, owner, CO_MSG_RELEASE);
  m->u.release.op = op;
  m->u.release.view_version = core->view.version;
  m->u.release.identity = co_outbox_str (core, identity);
}

static void
answer_fetch (struct co_core *core, uint64_t from,
              const struct co_msg_fetch *fetch)
{
  struct co_kept *kept = co_execution_find (core, fetch->identity);
  struct co_msg *m = co_send (core, from, CO_MSG_ANSWER);

  m->u.answer.op = fetch->op;
  m->u.answer.kept = kept ? kept->kept : CO_KEPT_NONE;
  if (kept != NULL && kept->kept == CO_KEPT_ANSWER)
    {
      m->u.answer.status = kept->status;
      m->u.answer.headers = talloc_strdup (core->outbox->mem, kept->headers);
      m->u.answer.body
          = ba_bytes_copy (core->outbox->mem, kept->body.data, kept->body.len);
    }
  if (kept != NULL && kept->kept == CO_KEPT_NOT_RUN)
    co_claim_release (core, fetch->identity, kept->op);
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
        reply (core, from, m->u.claim.op, CO_CLAIM_UNAVAILABLE, 0);
      else
        own_claim (core, from, m->u.claim.op, m->u.claim.identity);
      next_batch (core);
      break;
    case CO_MSG_CLAIMED:
      request = co_request_find (core, m->u.claimed.op);
      if (request != NULL)
        co_request_claim_decided (core, request, m->u.claimed.result,
                                  m->u.claimed.executor);
      break;
    case CO_MSG_RELEASE:
      own_release (core, from, m->u.release.op, m->u.release.identity);
      next_batch (core);
      break;
    case CO_MSG_FETCH:
      answer_fetch (core, from, &m->u.fetch);
      break;
    case CO_MSG_ANSWER:
      request = co_request_find (core, m->u.answer.op);
      if (request != NULL)
        co_request_fetch_done (core, request, &m->u.answer);
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
  if (core->life != CO_LIFE_MEMBER && core->life != CO_LIFE_LEAVING)
    return;
  if (core->batch_count > 0 && !core->batch_sent
      && core->now >= core->batch_retry)
    send_batch (core);
  if (core->table_down)
    refuse_records (core);
  if (core->journal_view != core->view.version)
    read_journal (core);
  next_batch (core);
}
