#include "jb_ownership.h"

#include <string.h>

/* The timeout of a call to the store is this multiple of the latency of the
   last answer, within bounds.  It is short, so that a call over a dead
   connection is repeated soon, but long enough for a slow store to answer.  */
#define TIMEOUT_LATENCY_FACTOR 4
#define MIN_TIMEOUT_MS 800
#define MAX_TIMEOUT_MS 2400

/* A transaction that is not answered within the timeout is sent again, but an
   answer to the earlier attempt is awaited for this long: a store that takes a
   second for each transaction would otherwise be asked for each of them twice
   or more before an answer counts.  */
#define WRITE_ANSWER_TIMEOUT_MS MAX_TIMEOUT_MS

/* Delay before a transaction that failed is sent again.  */
#define RETRY_DELAY (60 * JB_MS)

/* When the store answers again after a failure, a transaction that is still in
   flight is sent again if it was sent more than this long before.  */
#define MIN_AGE_TO_RESEND (150 * JB_MS)

/* Content of the owner row in the store.  */
struct owner_row
{
  char *owner;
  uint64_t incarnation;
  uint32_t generation;
  uint64_t sequence; /* number of the owner's last transaction */
};

enum
{
  /* Transactions are merged up to this number of bytes in their rows.  One may
     have 1 MB, as text that is a third longer than its content.  */
  MAX_MERGED_BYTES = 600000,
  /* A transaction counts as invalid after this number of answers that say so:
     a single one could come from something before the store.  */
  INVALID_ANSWERS = 3
};

/* A queued transaction.  */
struct transaction
{
  struct transaction *next;   /* in the queue */
  struct transaction *merged; /* list of those that became part of this one,
                                 linked by `next', in their order */
  struct jb_row *set;         /* rows to write; the first is the owner row */
  uint32_t set_count;
  struct jb_row *removed; /* rows to delete */
  uint32_t removed_count;
  uint64_t sequence; /* number since the claim, from 1 */
  jb_ownership_commit_callback *committed;
  jb_ownership_commit_callback *refused; /* NULL: it is sent again */
  void *data;                            /* for `committed' and `refused' */
  /* What it was queued with, before others became part of it, and that it must
     stay so, because the store has refused them together.  */
  struct jb_row own_owner_row;
  uint64_t own_sequence;
  uint32_t own_set_count;
  uint32_t own_removed_count;
  bool is_separate;
  uint32_t invalid_answers; /* since it consists of the same transactions */
};

/* One attempt to execute a transaction.  */
struct attempt
{
  struct jb_ownership *ownership;
  uint64_t sequence; /* of the transaction */
  uint32_t number;   /* value of `attempts' in struct jb_ownership */
};

struct jb_ownership
{
  struct jb_ownership_options options;
  enum jb_ownership_state state;
  uint64_t row_version; /* of the owner row, last known */
  uint64_t fence;       /* version that the claim gave the owner row */
  uint32_t generation;  /* number of claims, including this one */
  char *previous_owner; /* name; NULL: none */
  uint64_t previous_incarnation;
  uint64_t sequence;         /* number of the last queued transaction */
  struct transaction *first; /* of the queue; the only one that is sent */
  struct transaction *last;
  bool first_in_flight; /* `first' was sent, at `sent_at' */
  jb_time sent_at;
  jb_time resend_at;     /* when to send it again without an answer */
  uint32_t attempts;     /* number of attempts to execute transactions */
  bool may_be_committed; /* an attempt at `first' was not answered */
  bool verification_in_flight;
  jb_time retry_at; /* when to send `first' again, if it is not in flight */
  jb_time failing_since; /* see jb_ownership_failing_since */
  jb_time confirmed_at;  /* see jb_ownership_confirmed_at */
  int64_t timeout_ms;    /* of the next call to the store */
};

static void
serialize_owner_row (struct ba_codec *io, struct owner_row *row)
{
  ba_codec_required_str (io, &row->owner);
  ba_codec_u64 (io, &row->incarnation);
  ba_codec_u32 (io, &row->generation);
  ba_codec_u64 (io, &row->sequence);
}

static bool
decode_owner_row (TALLOC_CTX *mem, struct ba_bytes value,
                  struct owner_row *row)
{
  struct ba_codec io;

  memset (row, 0, sizeof *row);
  ba_codec_init_reader (&io, mem, value);
  serialize_owner_row (&io, row);
  return ba_codec_is_complete (&io);
}

struct jb_ownership *
jb_ownership_new (TALLOC_CTX *mem, const struct jb_ownership_options *options)
{
  struct jb_ownership *ownership = talloc_zero (mem, struct jb_ownership);

  ownership->options = *options;
  ownership->timeout_ms = MIN_TIMEOUT_MS;
  ownership->options.partition = talloc_strdup (ownership, options->partition);
  ownership->options.owner = talloc_strdup (ownership, options->owner);
  return ownership;
}

enum jb_ownership_state
jb_ownership_state (const struct jb_ownership *ownership)
{
  return ownership->state;
}

uint64_t
jb_ownership_fence (const struct jb_ownership *ownership)
{
  return ownership->fence;
}

uint64_t
jb_ownership_version (const struct jb_ownership *ownership)
{
  return ownership->row_version;
}

uint32_t
jb_ownership_generation (const struct jb_ownership *ownership)
{
  return ownership->generation;
}

const char *
jb_ownership_previous_owner (const struct jb_ownership *ownership)
{
  return ownership->previous_owner;
}

uint64_t
jb_ownership_previous_incarnation (const struct jb_ownership *ownership)
{
  return ownership->previous_incarnation;
}

bool
jb_ownership_has_pending_writes (const struct jb_ownership *ownership)
{
  return ownership->first != NULL;
}

jb_time
jb_ownership_failing_since (const struct jb_ownership *ownership)
{
  return ownership->failing_since;
}

jb_time
jb_ownership_confirmed_at (const struct jb_ownership *ownership)
{
  return ownership->confirmed_at;
}

static struct jb_row
current_owner_row (const struct jb_ownership *ownership)
{
  struct jb_row row = { .table = JB_OWNERSHIP_TABLE,
                        .partition = ownership->options.partition,
                        .key = JB_OWNERSHIP_KEY,
                        .version = ownership->row_version };

  return row;
}

static struct ba_bytes
encode_owner_row (struct jb_ownership *ownership, TALLOC_CTX *mem,
                  uint64_t sequence)
{
  struct owner_row row = { .owner = (char *)ownership->options.owner,
                           .incarnation = ownership->options.incarnation,
                           .generation = ownership->generation,
                           .sequence = sequence };

  return ba_codec_encode (mem, serialize_owner_row, &row);
}

/* Return the owner row among the rows of REPLY, borrowed, or NULL.  */
static const struct jb_row *
find_owner_row (const struct jb_ownership *ownership,
                const struct jb_reply *reply)
{
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (strcmp (reply->rows[i].table, JB_OWNERSHIP_TABLE) == 0
        && strcmp (reply->rows[i].partition, ownership->options.partition) == 0
        && strcmp (reply->rows[i].key, JB_OWNERSHIP_KEY) == 0)
      return &reply->rows[i];
  return NULL;
}

/* Return whether the owner row ROW, which may be NULL, was written under this
   claim.  If so, set SEQUENCE to the number of the transaction that wrote
   it.  */
static bool
is_own_row (const struct jb_ownership *ownership, const struct jb_row *row,
            uint64_t *sequence)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct owner_row owner;
  bool is_own = row != NULL && row->version != 0
                && decode_owner_row (scratch, row->value, &owner)
                && owner.incarnation == ownership->options.incarnation
                && owner.generation == ownership->generation;

  if (is_own)
    *sequence = owner.sequence;
  talloc_free (scratch);
  return is_own;
}

static void
submit_command (struct jb_ownership *ownership, jb_time now,
                struct jb_command *command, jb_reply_callback *callback,
                void *data)
{
  command->timeout_ms = ownership->timeout_ms;
  jb_driver_submit (ownership->options.driver, ownership, now, command,
                    callback, data);
}

/* Set the timeout of the next call: a multiple of the LATENCY of the last
   answer, or twice the last timeout if RESULT says that none came.  */
static void
adapt_timeout (struct jb_ownership *ownership, jb_time latency,
               enum jb_reply_result result)
{
  int64_t timeout_ms = result == JB_RESULT_UNKNOWN
                           ? 2 * ownership->timeout_ms
                           : TIMEOUT_LATENCY_FACTOR * latency / JB_MS;

  ownership->timeout_ms = CLAMP (timeout_ms, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
}

static void
read_owner_row (struct jb_ownership *ownership, jb_time now,
                jb_reply_callback *callback)
{
  struct jb_command command
      = { .kind = JB_COMMAND_READ,
          .u.read
          = { JB_OWNERSHIP_TABLE, ownership->options.partition, NULL } };

  jb_count_event (ownership->options.driver, JB_COUNT_STORE_READS);
  submit_command (ownership, now, &command, callback, ownership);
}

static void
lose_ownership (struct jb_ownership *ownership, jb_time now)
{
  ownership->state = JB_OWNERSHIP_NONE;
  jb_count_event (ownership->options.driver, JB_COUNT_OWNERSHIP_LOST);
  jb_log (ownership->options.driver, JB_LEVEL_WARN, "duty-lost", "duty",
          ownership->options.partition, "fence",
          jb_itoa ((int64_t)ownership->fence), "reason",
          "another host owns it", NULL);
  ownership->options.on_lost (ownership->options.data, now);
}

/* ---- claiming ---- */

/* The claim, of which the last command was sent at SENT_AT, has succeeded if
   HELD.  */
static void
finish_claim (struct jb_ownership *ownership, jb_time now, jb_time sent_at,
              bool held)
{
  ownership->state = held ? JB_OWNERSHIP_HELD : JB_OWNERSHIP_NONE;
  if (held)
    {
      ownership->fence = ownership->row_version;
      ownership->confirmed_at = sent_at;
      ownership->failing_since = 0;
      jb_count_event (ownership->options.driver, JB_COUNT_OWNERSHIP_CLAIMED);
    }
  jb_log (ownership->options.driver, JB_LEVEL_INFO,
          held ? "duty-claimed" : "duty-claim-failed", "duty",
          ownership->options.partition, "fence",
          held ? jb_itoa ((int64_t)ownership->fence) : NULL, "generation",
          jb_itoa (ownership->generation), NULL);
  ownership->options.on_claimed (ownership->options.data, now, held);
}

/* The claim's write was not answered, and the owner row has been read to find
   out whether it was executed.  */
static void
claim_verified (void *data, jb_time now, jb_time sent_at,
                const struct jb_reply *reply)
{
  struct jb_ownership *ownership = data;
  uint64_t sequence;

  if (reply->result != JB_RESULT_OK)
    {
      finish_claim (ownership, now, sent_at, false);
      return;
    }
  if (!is_own_row (ownership, find_owner_row (ownership, reply), &sequence))
    {
      finish_claim (ownership, now, sent_at, false);
      return;
    }
  ownership->row_version = find_owner_row (ownership, reply)->version;
  finish_claim (ownership, now, sent_at, true);
}

static void
claim_written (void *data, jb_time now, jb_time sent_at,
               const struct jb_reply *reply)
{
  struct jb_ownership *ownership = data;

  if (reply->result == JB_RESULT_OK)
    {
      ownership->row_version = reply->version;
      finish_claim (ownership, now, sent_at, true);
    }
  else if (reply->result == JB_RESULT_UNKNOWN)
    read_owner_row (ownership, now, claim_verified);
  else
    finish_claim (ownership, now, sent_at, false);
}

static void
claim_read (void *data, jb_time now, jb_time sent_at,
            const struct jb_reply *reply)
{
  struct jb_ownership *ownership = data;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_row expected;
  struct jb_row set;
  struct jb_command command = { .kind = JB_COMMAND_WRITE };
  const struct jb_row *row;
  struct owner_row owner;

  adapt_timeout (ownership, now - sent_at, reply->result);
  if (reply->result != JB_RESULT_OK)
    {
      talloc_free (scratch);
      finish_claim (ownership, now, sent_at, false);
      return;
    }
  row = find_owner_row (ownership, reply);
  ownership->row_version = row != NULL ? row->version : 0;
  ownership->generation = 1;
  TALLOC_FREE (ownership->previous_owner);
  ownership->previous_incarnation = 0;
  if (row != NULL && decode_owner_row (scratch, row->value, &owner))
    {
      ownership->generation = owner.generation + 1;
      ownership->previous_owner = talloc_strdup (ownership, owner.owner);
      ownership->previous_incarnation = owner.incarnation;
    }
  expected = current_owner_row (ownership);
  set = expected;
  set.value = encode_owner_row (ownership, scratch, 0);
  command.u.write.expected_rows = &expected;
  command.u.write.expected_count = 1;
  command.u.write.set_rows = &set;
  command.u.write.set_count = 1;
  jb_count_event (ownership->options.driver, JB_COUNT_STORE_WRITES);
  submit_command (ownership, now, &command, claim_written, ownership);
  talloc_free (scratch);
}

void
jb_ownership_claim (struct jb_ownership *ownership, jb_time now)
{
  g_assert (ownership->state == JB_OWNERSHIP_NONE);
  ownership->state = JB_OWNERSHIP_CLAIMING;
  ownership->sequence = 0;
  read_owner_row (ownership, now, claim_read);
}

/* ---- writing ---- */

static bool handle_invalid (struct jb_ownership *ownership, jb_time now);
static void merge_waiting (struct jb_ownership *ownership);
static void send_first (struct jb_ownership *ownership, jb_time now);

/* Remove the first transaction from the queue, because it was committed and
   gave the owner row VERSION, and send the next one.  */
static void
finish_first (struct jb_ownership *ownership, jb_time now, uint64_t version)
{
  struct transaction *finished = ownership->first;

  ownership->row_version = version;
  ownership->failing_since = 0;
  ownership->may_be_committed = false;
  ownership->first = finished->next;
  if (ownership->first == NULL)
    ownership->last = NULL;
  if (finished->committed != NULL)
    finished->committed (finished->data, now);
  for (struct transaction *t = finished->merged; t != NULL; t = t->next)
    if (t->committed != NULL)
      t->committed (t->data, now);
  talloc_free (finished);
  if (ownership->first != NULL && !ownership->first_in_flight)
    {
      merge_waiting (ownership);
      send_first (ownership, now);
    }
}

/* The owner row did not have the expected version: either an earlier attempt
   at the first transaction was committed, or the ownership is lost.  */
static void
handle_conflict (struct jb_ownership *ownership, jb_time now,
                 const struct jb_reply *reply)
{
  const struct jb_row *row = find_owner_row (ownership, reply);
  uint64_t sequence = 0;

  if (is_own_row (ownership, row, &sequence) && ownership->may_be_committed
      && sequence == ownership->first->sequence)
    finish_first (ownership, now, row->version);
  else
    lose_ownership (ownership, now);
}

/* Record that the first transaction, sent at SENT_AT, was refused, or not
   answered and so possibly committed if IS_UNKNOWN.  */
static void
record_failure (struct jb_ownership *ownership, jb_time sent_at,
                bool is_unknown)
{
  if (is_unknown)
    {
      ownership->may_be_committed = true;
      jb_count_event (ownership->options.driver,
                      JB_COUNT_STORE_WRITES_UNKNOWN);
    }
  if (ownership->failing_since != 0)
    return;
  ownership->failing_since = sent_at;
  jb_log (ownership->options.driver, JB_LEVEL_WARN, "store-write-failed",
          "duty", ownership->options.partition, "outcome",
          is_unknown ? "unknown" : "refused", NULL);
}

static void
write_replied (void *data, jb_time now, jb_time sent_at,
               const struct jb_reply *reply)
{
  struct attempt attempt = *(struct attempt *)data;
  struct jb_ownership *ownership = attempt.ownership;

  talloc_free (data);
  /* A transaction that was sent again may be answered twice.  The first
     conclusive answer counts; a failure counts only for the last attempt.  */
  if (ownership->first == NULL
      || ownership->first->sequence != attempt.sequence
      || (attempt.number != ownership->attempts
          && reply->result != JB_RESULT_OK
          && reply->result != JB_RESULT_CONFLICT))
    return;
  ownership->first_in_flight = false;
  adapt_timeout (ownership, now - sent_at, reply->result);
  if (reply->result == JB_RESULT_OK || reply->result == JB_RESULT_CONFLICT)
    ownership->confirmed_at = MAX (ownership->confirmed_at, sent_at);
  if (reply->result == JB_RESULT_OK)
    {
      jb_observe_latency (ownership->options.driver, JB_HIST_STORE_WRITE,
                          now - sent_at);
      finish_first (ownership, now, reply->version);
      return;
    }
  if (reply->result == JB_RESULT_CONFLICT)
    {
      handle_conflict (ownership, now, reply);
      return;
    }
  if (reply->result == JB_RESULT_INVALID && handle_invalid (ownership, now))
    return;
  /* A write that was not sent says nothing about the store.  */
  if (reply->result != JB_RESULT_NOT_SENT)
    record_failure (ownership, sent_at, reply->result == JB_RESULT_UNKNOWN);
  ownership->retry_at = now + RETRY_DELAY;
}

static size_t
count_bytes (const struct transaction *transaction)
{
  size_t bytes = 0;

  for (uint32_t i = 0; i < transaction->set_count; i++)
    bytes += transaction->set[i].value.len;
  return bytes;
}

/* Return whether one of the COUNT ROWS has the key of ROW.  */
static bool
contains_key (const struct jb_row *rows, uint32_t count,
              const struct jb_row *row)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (rows[i].key, row->key) == 0
        && strcmp (rows[i].table, row->table) == 0)
      return true;
  return false;
}

/* Return whether A and B, which both begin with the owner row, change the same
   row otherwise.  */
static bool
have_common_rows (const struct transaction *a, const struct transaction *b)
{
  for (uint32_t i = 1; i < b->set_count; i++)
    if (contains_key (a->set, a->set_count, &b->set[i])
        || contains_key (a->removed, a->removed_count, &b->set[i]))
      return true;
  for (uint32_t i = 0; i < b->removed_count; i++)
    if (contains_key (a->set, a->set_count, &b->removed[i])
        || contains_key (a->removed, a->removed_count, &b->removed[i]))
      return true;
  return false;
}

/* Append the COUNT ROWS, owned by MEM, to the array *TO of *TO_COUNT rows.  */
static void
append_rows (TALLOC_CTX *mem, struct jb_row **to, uint32_t *to_count,
             const struct jb_row *rows, uint32_t count)
{
  *to = talloc_realloc (mem, *to, struct jb_row, *to_count + count + 1);
  for (uint32_t i = 0; i < count; i++)
    (*to)[(*to_count)++] = rows[i];
}

/* Make the transactions that wait behind the first one part of it, as far as
   they fit.  The store commits them one after the other, and each takes as
   long as one with more rows.  No attempt at the first one may have been made:
   one that may be committed must be sent again unchanged.  */
static void
merge_waiting (struct jb_ownership *ownership)
{
  struct transaction *first = ownership->first;
  struct transaction **merged_end = &first->merged;
  size_t bytes = count_bytes (first);

  while (first->next != NULL && !first->is_separate)
    {
      struct transaction *next = first->next;

      bytes += count_bytes (next);
      if (next->is_separate
          || first->set_count + first->removed_count + next->set_count
                     + next->removed_count
                 > JB_OWNERSHIP_MAX_WRITE_ROWS + 2
          || bytes > MAX_MERGED_BYTES || have_common_rows (first, next))
        break;
      first->next = next->next;
      next->next = NULL;
      talloc_steal (first, next);
      *merged_end = next;
      merged_end = &next->next;
      first->sequence = next->sequence;
      first->set[0] = next->set[0];
      append_rows (first, &first->set, &first->set_count, next->set + 1,
                   next->set_count - 1);
      append_rows (first, &first->removed, &first->removed_count,
                   next->removed, next->removed_count);
    }
  if (first->next == NULL)
    ownership->last = first;
}

static void
send_first (struct jb_ownership *ownership, jb_time now)
{
  struct transaction *first = ownership->first;
  struct attempt *attempt = talloc_zero (ownership, struct attempt);
  struct jb_row expected = current_owner_row (ownership);
  struct jb_command command
      = { .kind = JB_COMMAND_WRITE,
          .u.write = { .expected_rows = &expected,
                       .expected_count = 1,
                       .set_rows = first->set,
                       .set_count = first->set_count,
                       .removed_rows = first->removed,
                       .removed_count = first->removed_count } };

  attempt->ownership = ownership;
  attempt->sequence = first->sequence;
  attempt->number = ++ownership->attempts;
  ownership->first_in_flight = true;
  ownership->sent_at = now;
  ownership->resend_at = now + ownership->timeout_ms * JB_MS;
  ownership->retry_at = JB_NEVER;
  jb_count_event (ownership->options.driver, JB_COUNT_STORE_WRITES);
  command.timeout_ms = WRITE_ANSWER_TIMEOUT_MS;
  jb_driver_submit (ownership->options.driver, ownership, now, &command,
                    write_replied, attempt);
}

/* Undo merge_waiting: the transactions that became part of the first one
   follow it again.  */
static void
separate_first (struct jb_ownership *ownership)
{
  struct transaction *first = ownership->first;
  struct transaction *last = first;

  first->sequence = first->own_sequence;
  first->set[0] = first->own_owner_row;
  first->set_count = first->own_set_count;
  first->removed_count = first->own_removed_count;
  first->is_separate = true;
  first->invalid_answers = 0;
  for (struct transaction *t = first->merged; t != NULL; t = t->next)
    {
      talloc_steal (ownership, t);
      t->is_separate = true;
      last = t;
    }
  last->next = first->next;
  first->next = first->merged;
  first->merged = NULL;
  if (last->next == NULL)
    ownership->last = last;
}

/* The store has refused the first transaction as invalid.  Return false if it
   has to be sent again nevertheless.  */
static bool
handle_invalid (struct jb_ownership *ownership, jb_time now)
{
  struct transaction *refused = ownership->first;
  bool is_merged = refused->merged != NULL;

  if ((!is_merged && refused->refused == NULL)
      || ++refused->invalid_answers < INVALID_ANSWERS)
    return false;
  jb_log (ownership->options.driver, JB_LEVEL_ERROR, "store-write-invalid",
          "duty", ownership->options.partition, "rows",
          jb_itoa (refused->set_count + refused->removed_count), "first",
          refused->set_count > 1 ? refused->set[1].key : NULL, "bytes",
          jb_itoa ((int64_t)count_bytes (refused)), "action",
          is_merged ? "its parts are sent separately" : "it is dropped", NULL);
  if (is_merged)
    separate_first (ownership);
  else
    {
      ownership->first = refused->next;
      if (ownership->first == NULL)
        ownership->last = NULL;
      refused->refused (refused->data, now);
      talloc_free (refused);
    }
  ownership->may_be_committed = false;
  if (ownership->first != NULL && !ownership->first_in_flight)
    {
      merge_waiting (ownership);
      send_first (ownership, now);
    }
  return true;
}

/* Return a zeroed array, owned by MEM, with copies of the COUNT ROWS from
   index SKIPPED on.  */
static struct jb_row *
copy_rows (TALLOC_CTX *mem, const struct jb_row *rows, uint32_t count,
           uint32_t skipped)
{
  struct jb_row *copies
      = talloc_zero_array (mem, struct jb_row, skipped + count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      struct jb_row *copy = &copies[skipped + i];

      copy->table = talloc_strdup (copies, rows[i].table);
      copy->partition = talloc_strdup (copies, rows[i].partition);
      copy->key = talloc_strdup (copies, rows[i].key);
      copy->value
          = ba_bytes_copy (copies, rows[i].value.data, rows[i].value.len);
    }
  return copies;
}

void
jb_ownership_write (struct jb_ownership *ownership, jb_time now,
                    const struct jb_row *set, uint32_t set_count,
                    const struct jb_row *removed, uint32_t removed_count,
                    jb_ownership_commit_callback *committed, void *data)
{
  jb_ownership_write_unless_invalid (ownership, now, set, set_count, removed,
                                     removed_count, committed, NULL, data);
}

void
jb_ownership_write_unless_invalid (
    struct jb_ownership *ownership, jb_time now, const struct jb_row *set,
    uint32_t set_count, const struct jb_row *removed, uint32_t removed_count,
    jb_ownership_commit_callback *committed,
    jb_ownership_commit_callback *refused, void *data)
{
  struct transaction *transaction;

  g_assert (set_count + removed_count <= JB_OWNERSHIP_MAX_WRITE_ROWS);
  if (ownership->state != JB_OWNERSHIP_HELD)
    {
      jb_log (ownership->options.driver, JB_LEVEL_INFO, "write-dropped",
              "duty", ownership->options.partition, "reason",
              "another host owns it", NULL);
      return;
    }
  transaction = talloc_zero (ownership, struct transaction);
  transaction->sequence = ++ownership->sequence;
  transaction->set = copy_rows (transaction, set, set_count, 1);
  transaction->set[0] = current_owner_row (ownership);
  transaction->set[0].value
      = encode_owner_row (ownership, transaction, transaction->sequence);
  transaction->set_count = set_count + 1;
  transaction->removed = copy_rows (transaction, removed, removed_count, 0);
  transaction->removed_count = removed_count;
  transaction->committed = committed;
  transaction->refused = refused;
  transaction->data = data;
  transaction->own_owner_row = transaction->set[0];
  transaction->own_sequence = transaction->sequence;
  transaction->own_set_count = transaction->set_count;
  transaction->own_removed_count = transaction->removed_count;
  if (ownership->last != NULL)
    ownership->last->next = transaction;
  else
    ownership->first = transaction;
  ownership->last = transaction;
  if (ownership->first == transaction && !ownership->first_in_flight)
    send_first (ownership, now);
}

/* ---- verification ---- */

static void
verification_replied (void *data, jb_time now, jb_time sent_at,
                      const struct jb_reply *reply)
{
  struct jb_ownership *ownership = data;
  uint64_t sequence;

  ownership->verification_in_flight = false;
  if (reply->result != JB_RESULT_OK)
    return;
  if (is_own_row (ownership, find_owner_row (ownership, reply), &sequence))
    ownership->confirmed_at = MAX (ownership->confirmed_at, sent_at);
  else
    lose_ownership (ownership, now);
}

void
jb_ownership_verify (struct jb_ownership *ownership, jb_time now)
{
  if (ownership->state != JB_OWNERSHIP_HELD
      || ownership->verification_in_flight || ownership->first_in_flight)
    return;
  ownership->verification_in_flight = true;
  read_owner_row (ownership, now, verification_replied);
}

jb_time
jb_ownership_run (struct jb_ownership *ownership, jb_time now)
{
  jb_time recovered_at
      = jb_driver_store_recovered_at (ownership->options.driver);

  if (ownership->state != JB_OWNERSHIP_HELD || ownership->first == NULL)
    return JB_NEVER;
  /* A transaction that was in flight while the store did not answer is
     probably lost.  Send it again without waiting for its timeout, which may
     be long.  */
  if (ownership->first_in_flight
      && recovered_at > ownership->sent_at + MIN_AGE_TO_RESEND)
    {
      ownership->may_be_committed = true;
      send_first (ownership, now);
    }
  if (ownership->first_in_flight && now >= ownership->resend_at)
    {
      record_failure (ownership, ownership->sent_at, true);
      jb_driver_report_store_silence (ownership->options.driver, now);
      adapt_timeout (ownership, 0, JB_RESULT_UNKNOWN);
      send_first (ownership, now);
    }
  else if (!ownership->first_in_flight && now >= ownership->retry_at)
    send_first (ownership, now);
  return ownership->first_in_flight ? ownership->resend_at
                                    : ownership->retry_at;
}
