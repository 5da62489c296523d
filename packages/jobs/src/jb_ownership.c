#include "jb_ownership.h"

#include <string.h>

/* Of one call to the store: so many times its last answer, within bounds.  A
   connection that has gone silent should not be waited for, and a store that
   is slow should not be asked again before it has answered.  */
#define TIMEOUT_FACTOR 4
#define SHORTEST_TIMEOUT_MS 800
#define LONGEST_TIMEOUT_MS 2400

/* Before a transaction that failed is sent again.  */
#define RETRY_PAUSE (60 * JB_MS)

/* A transaction without an answer is sent again when the store is back, unless
   it was sent within.  */
#define FRESH (150 * JB_MS)

/* Content of the owner row.  */
struct owner_row
{
  char *holder;
  uint64_t incarnation;
  uint32_t generation;
  uint64_t sequence; /* of the holder's transactions */
};

struct transaction
{
  struct transaction *next;
  struct jb_row *set; /* the first is the owner row */
  uint32_t set_count;
  struct jb_row *removed;
  uint32_t removed_count;
  uint64_t sequence;
  jb_ownership_committed *written;
  void *data;
};

/* One sending of a transaction.  */
struct attempt
{
  struct jb_ownership *duty;
  uint64_t sequence; /* of the transaction */
  uint32_t number;
};

struct jb_ownership
{
  struct jb_ownership_options options;
  enum jb_ownership_state phase;
  uint64_t row_version;
  uint64_t fence;
  uint32_t generation;
  uint64_t sequence;         /* of the last transaction made */
  struct transaction *first; /* being sent, or to be sent again */
  struct transaction *last;
  bool sent; /* the first is under way */
  jb_time sent_at;
  uint32_t attempts; /* sendings of transactions */
  bool doubtful;     /* the first was sent before, without an answer */
  bool verifying;
  jb_time retry_at;
  jb_time failing_since;
  jb_time confirmed;
  int64_t timeout_ms; /* of the next call */
};

static void
owner_row_code (struct ba_codec *io, struct owner_row *row)
{
  ba_codec_required_str (io, &row->holder);
  ba_codec_u64 (io, &row->incarnation);
  ba_codec_u32 (io, &row->generation);
  ba_codec_u64 (io, &row->sequence);
}

static bool
owner_row_decode (TALLOC_CTX *mem, struct ba_bytes value,
                  struct owner_row *row)
{
  struct ba_codec io;

  memset (row, 0, sizeof *row);
  ba_codec_init_reader (&io, mem, value);
  owner_row_code (&io, row);
  return ba_codec_is_complete (&io);
}

struct jb_ownership *
jb_ownership_new (TALLOC_CTX *mem, const struct jb_ownership_options *options)
{
  struct jb_ownership *duty = talloc_zero (mem, struct jb_ownership);

  duty->options = *options;
  duty->timeout_ms = SHORTEST_TIMEOUT_MS;
  duty->options.partition = talloc_strdup (duty, options->partition);
  duty->options.owner = talloc_strdup (duty, options->owner);
  return duty;
}

enum jb_ownership_state
jb_ownership_state (const struct jb_ownership *duty)
{
  return duty->phase;
}

uint64_t
jb_ownership_fence (const struct jb_ownership *duty)
{
  return duty->fence;
}

uint32_t
jb_ownership_generation (const struct jb_ownership *duty)
{
  return duty->generation;
}

bool
jb_ownership_has_pending_writes (const struct jb_ownership *duty)
{
  return duty->first != NULL;
}

jb_time
jb_ownership_failing_since (const struct jb_ownership *duty)
{
  return duty->failing_since;
}

jb_time
jb_ownership_confirmed_at (const struct jb_ownership *duty)
{
  return duty->confirmed;
}

static struct jb_row
owner_row (const struct jb_ownership *duty)
{
  struct jb_row row = { .table = JB_OWNERSHIP_TABLE,
                        .partition = duty->options.partition,
                        .key = JB_OWNERSHIP_KEY,
                        .version = duty->row_version };

  return row;
}

static struct ba_bytes
owner_value (struct jb_ownership *duty, TALLOC_CTX *mem, uint64_t sequence)
{
  struct owner_row row = { .holder = (char *)duty->options.owner,
                           .incarnation = duty->options.incarnation,
                           .generation = duty->generation,
                           .sequence = sequence };

  return ba_codec_encode (mem, owner_row_code, &row);
}

/* Return the owner row among the rows of REPLY, or NULL.  */
static const struct jb_row *
find_owner (const struct jb_ownership *duty, const struct jb_reply *reply)
{
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (strcmp (reply->rows[i].table, JB_OWNERSHIP_TABLE) == 0
        && strcmp (reply->rows[i].partition, duty->options.partition) == 0
        && strcmp (reply->rows[i].key, JB_OWNERSHIP_KEY) == 0)
      return &reply->rows[i];
  return NULL;
}

/* Return whether ROW was written by this claim, and its SEQUENCE.  */
static bool
is_ours (const struct jb_ownership *duty, const struct jb_row *row,
         uint64_t *sequence)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct owner_row owner;
  bool ours = row != NULL && row->version != 0
              && owner_row_decode (scratch, row->value, &owner)
              && owner.incarnation == duty->options.incarnation
              && owner.generation == duty->generation;

  if (ours)
    *sequence = owner.sequence;
  talloc_free (scratch);
  return ours;
}

static void
submit (struct jb_ownership *duty, jb_time now, struct jb_command *order,
        jb_reply_callback *done, void *data)
{
  order->timeout_ms = duty->timeout_ms;
  jb_driver_submit (duty->options.driver, duty, now, order, done, data);
}

/* Note how long the store took to answer, or that it did not.  */
static void
learn_timeout (struct jb_ownership *duty, jb_time took,
               enum jb_reply_result result)
{
  int64_t wanted = result == JB_RESULT_UNKNOWN ? 2 * duty->timeout_ms
                                               : TIMEOUT_FACTOR * took / JB_MS;

  duty->timeout_ms = CLAMP (wanted, SHORTEST_TIMEOUT_MS, LONGEST_TIMEOUT_MS);
}

static void
read_owner (struct jb_ownership *duty, jb_time now, jb_reply_callback *done)
{
  struct jb_command order
      = { .kind = JB_COMMAND_READ,
          .u.read = { JB_OWNERSHIP_TABLE, duty->options.partition, NULL } };

  jb_count_event (duty->options.driver, JB_COUNT_STORE_READS);
  submit (duty, now, &order, done, duty);
}

static void
depose (struct jb_ownership *duty, jb_time now)
{
  duty->phase = JB_OWNERSHIP_NONE;
  jb_count_event (duty->options.driver, JB_COUNT_OWNERSHIP_LOST);
  jb_log (duty->options.driver, JB_LEVEL_WARN, "duty-lost", "duty",
          duty->options.partition, "fence", jb_itoa ((int64_t)duty->fence),
          "reason", "another holder", NULL);
  duty->options.on_lost (duty->options.data, now);
}

/* ---- claiming ---- */

static void
claim_end (struct jb_ownership *duty, jb_time now, bool held)
{
  duty->phase = held ? JB_OWNERSHIP_HELD : JB_OWNERSHIP_NONE;
  if (held)
    {
      duty->fence = duty->row_version;
      duty->confirmed = now;
      duty->failing_since = 0;
      jb_count_event (duty->options.driver, JB_COUNT_OWNERSHIP_CLAIMED);
    }
  jb_log (duty->options.driver, JB_LEVEL_INFO,
          held ? "duty-taken" : "claim-failed", "duty",
          duty->options.partition, "fence",
          held ? jb_itoa ((int64_t)duty->fence) : NULL, "generation",
          jb_itoa (duty->generation), NULL);
  duty->options.on_claimed (duty->options.data, now, held);
}

/* The claim had no answer: see what became of it.  */
static void
claim_checked (void *data, jb_time now, jb_time sent,
               const struct jb_reply *reply)
{
  struct jb_ownership *duty = data;
  uint64_t sequence;

  (void)sent;
  if (reply->result != JB_RESULT_OK)
    {
      claim_end (duty, now, false);
      return;
    }
  if (!is_ours (duty, find_owner (duty, reply), &sequence))
    {
      claim_end (duty, now, false);
      return;
    }
  duty->row_version = find_owner (duty, reply)->version;
  claim_end (duty, now, true);
}

static void
claim_written (void *data, jb_time now, jb_time sent,
               const struct jb_reply *reply)
{
  struct jb_ownership *duty = data;

  (void)sent;
  if (reply->result == JB_RESULT_OK)
    {
      duty->row_version = reply->version;
      claim_end (duty, now, true);
    }
  else if (reply->result == JB_RESULT_UNKNOWN)
    read_owner (duty, now, claim_checked);
  else
    claim_end (duty, now, false);
}

static void
claim_read (void *data, jb_time now, jb_time sent,
            const struct jb_reply *reply)
{
  struct jb_ownership *duty = data;
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_row expected;
  struct jb_row set;
  struct jb_command order = { .kind = JB_COMMAND_WRITE };
  const struct jb_row *row;
  struct owner_row owner;

  learn_timeout (duty, now - sent, reply->result);
  if (reply->result != JB_RESULT_OK)
    {
      talloc_free (scratch);
      claim_end (duty, now, false);
      return;
    }
  row = find_owner (duty, reply);
  duty->row_version = row != NULL ? row->version : 0;
  duty->generation = 1;
  if (row != NULL && owner_row_decode (scratch, row->value, &owner))
    duty->generation = owner.generation + 1;
  expected = owner_row (duty);
  set = expected;
  set.value = owner_value (duty, scratch, 0);
  order.u.write.expected_rows = &expected;
  order.u.write.expected_count = 1;
  order.u.write.set_rows = &set;
  order.u.write.set_count = 1;
  jb_count_event (duty->options.driver, JB_COUNT_STORE_WRITES);
  submit (duty, now, &order, claim_written, duty);
  talloc_free (scratch);
}

void
jb_ownership_claim (struct jb_ownership *duty, jb_time now)
{
  g_assert (duty->phase == JB_OWNERSHIP_NONE);
  duty->phase = JB_OWNERSHIP_CLAIMING;
  duty->sequence = 0;
  read_owner (duty, now, claim_read);
}

/* ---- writing ---- */

static void send_first (struct jb_ownership *duty, jb_time now);

static void
finish_first (struct jb_ownership *duty, jb_time now, uint64_t version)
{
  struct transaction *done = duty->first;

  duty->row_version = version;
  duty->failing_since = 0;
  duty->doubtful = false;
  duty->first = done->next;
  if (duty->first == NULL)
    duty->last = NULL;
  if (done->written != NULL)
    done->written (done->data, now);
  talloc_free (done);
  if (duty->first != NULL && !duty->sent)
    send_first (duty, now);
}

static void
write_conflict (struct jb_ownership *duty, jb_time now,
                const struct jb_reply *reply)
{
  const struct jb_row *row = find_owner (duty, reply);
  uint64_t sequence = 0;

  if (is_ours (duty, row, &sequence) && duty->doubtful
      && sequence == duty->first->sequence)
    finish_first (duty, now, row->version);
  else
    depose (duty, now);
}

static void
write_done (void *data, jb_time now, jb_time sent,
            const struct jb_reply *reply)
{
  struct attempt attempt = *(struct attempt *)data;
  struct jb_ownership *duty = attempt.duty;

  talloc_free (data);
  /* What was sent again may be answered twice, and the first answer that
     settles it counts.  */
  if (duty->first == NULL || duty->first->sequence != attempt.sequence
      || (attempt.number != duty->attempts && reply->result != JB_RESULT_OK
          && reply->result != JB_RESULT_CONFLICT))
    return;
  duty->sent = false;
  learn_timeout (duty, now - sent, reply->result);
  if (reply->result == JB_RESULT_OK || reply->result == JB_RESULT_CONFLICT)
    duty->confirmed = sent;
  if (reply->result == JB_RESULT_OK)
    {
      jb_observe_latency (duty->options.driver, JB_HIST_STORE_WRITE,
                          now - sent);
      finish_first (duty, now, reply->version);
      return;
    }
  if (reply->result == JB_RESULT_CONFLICT)
    {
      write_conflict (duty, now, reply);
      return;
    }
  if (reply->result == JB_RESULT_UNKNOWN)
    {
      duty->doubtful = true;
      jb_count_event (duty->options.driver, JB_COUNT_STORE_WRITES_UNKNOWN);
    }
  if (duty->failing_since == 0)
    {
      duty->failing_since = sent;
      jb_log (duty->options.driver, JB_LEVEL_WARN, "store-write-failed",
              "duty", duty->options.partition, "outcome",
              reply->result == JB_RESULT_UNKNOWN ? "unknown" : "refused",
              NULL);
    }
  duty->retry_at = now + RETRY_PAUSE;
}

static void
send_first (struct jb_ownership *duty, jb_time now)
{
  struct transaction *first = duty->first;
  struct attempt *attempt = talloc_zero (duty, struct attempt);
  struct jb_row expected = owner_row (duty);
  struct jb_command order
      = { .kind = JB_COMMAND_WRITE,
          .u.write = { .expected_rows = &expected,
                       .expected_count = 1,
                       .set_rows = first->set,
                       .set_count = first->set_count,
                       .removed_rows = first->removed,
                       .removed_count = first->removed_count } };

  attempt->duty = duty;
  attempt->sequence = first->sequence;
  attempt->number = ++duty->attempts;
  duty->sent = true;
  duty->sent_at = now;
  duty->retry_at = JB_NEVER;
  jb_count_event (duty->options.driver, JB_COUNT_STORE_WRITES);
  submit (duty, now, &order, write_done, attempt);
}

static struct jb_row *
copy_rows (TALLOC_CTX *mem, const struct jb_row *rows, uint32_t count,
           uint32_t before)
{
  struct jb_row *copies
      = talloc_zero_array (mem, struct jb_row, before + count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      struct jb_row *copy = &copies[before + i];

      copy->table = talloc_strdup (copies, rows[i].table);
      copy->partition = talloc_strdup (copies, rows[i].partition);
      copy->key = talloc_strdup (copies, rows[i].key);
      copy->value
          = ba_bytes_copy (copies, rows[i].value.data, rows[i].value.len);
    }
  return copies;
}

void
jb_ownership_write (struct jb_ownership *duty, jb_time now,
                    const struct jb_row *set, uint32_t set_count,
                    const struct jb_row *removed, uint32_t removed_count,
                    jb_ownership_committed *written, void *data)
{
  struct transaction *t = talloc_zero (duty, struct transaction);

  g_assert (duty->phase == JB_OWNERSHIP_HELD
            && set_count + removed_count <= JB_OWNERSHIP_MAX_WRITE_ROWS);
  t->sequence = ++duty->sequence;
  t->set = copy_rows (t, set, set_count, 1);
  t->set[0] = owner_row (duty);
  t->set[0].value = owner_value (duty, t, t->sequence);
  t->set_count = set_count + 1;
  t->removed = copy_rows (t, removed, removed_count, 0);
  t->removed_count = removed_count;
  t->written = written;
  t->data = data;
  if (duty->last != NULL)
    duty->last->next = t;
  else
    duty->first = t;
  duty->last = t;
  if (duty->first == t && !duty->sent)
    send_first (duty, now);
}

/* ---- being the holder still ---- */

static void
verified (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct jb_ownership *duty = data;
  uint64_t sequence;

  duty->verifying = false;
  if (reply->result != JB_RESULT_OK)
    return;
  if (is_ours (duty, find_owner (duty, reply), &sequence))
    duty->confirmed = MAX (duty->confirmed, sent);
  else
    depose (duty, now);
}

void
jb_ownership_verify (struct jb_ownership *duty, jb_time now)
{
  if (duty->phase != JB_OWNERSHIP_HELD || duty->verifying || duty->sent)
    return;
  duty->verifying = true;
  read_owner (duty, now, verified);
}

jb_time
jb_ownership_run (struct jb_ownership *duty, jb_time now)
{
  jb_time back = jb_driver_store_recovered_at (duty->options.driver);

  if (duty->phase != JB_OWNERSHIP_HELD || duty->first == NULL)
    return JB_NEVER;
  /* What was on its way while the store was away has most likely gone, and its
     timeout may be far.  */
  if (duty->sent && back > duty->sent_at + FRESH)
    {
      duty->doubtful = true;
      send_first (duty, now);
    }
  if (duty->sent)
    return JB_NEVER;
  if (now >= duty->retry_at)
    {
      send_first (duty, now);
      return JB_NEVER;
    }
  return duty->retry_at;
}
