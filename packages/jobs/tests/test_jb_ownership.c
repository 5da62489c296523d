/* Test of writes of a partition's owner.

   Expected load: replies arrive in batches.  The reply that shows that another
   host has claimed the partition may come just before replies to commands
   whose results the former owner would store.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "jb_ownership.h"

#define NOW (60 * JB_SECOND)

struct fixture
{
  struct jb_driver *driver;
  uint64_t last_command; /* number of the newest command */
  uint32_t writes;       /* number of write commands */
  uint32_t rows_set;     /* by the newest write command */
  uint32_t commits;
  uint32_t refusals;
  uint32_t losses;
  struct ba_bytes owner; /* owner row of the newest write */
};

static void
record_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  struct fixture *fixture = context;

  fixture->last_command = number;
  if (command->kind == JB_COMMAND_WRITE)
    {
      struct ba_bytes value = command->u.write.set_rows[0].value;

      fixture->writes++;
      fixture->rows_set = command->u.write.set_count;
      fixture->owner = ba_bytes_copy (fixture->driver, value.data, value.len);
    }
}

static const struct jb_driver_ops driver_ops
    = { .submit = record_command, .log = ignore_log };

static void
ignore_claim (void *data, jb_time now, bool held)
{
  (void)data;
  (void)now;
  (void)held;
}

static void
count_loss (void *data, jb_time now)
{
  (void)now;
  ((struct fixture *)data)->losses++;
}

static void
count_commit (void *data, jb_time now)
{
  (void)now;
  ((struct fixture *)data)->commits++;
}

static void
count_refusal (void *data, jb_time now)
{
  (void)now;
  ((struct fixture *)data)->refusals++;
}

/* Reply to the newest command with RESULT.  */
static void
reply (struct fixture *fixture, enum jb_reply_result result)
{
  struct jb_reply message = { .result = result, .version = 7 };

  jb_driver_receive_reply (fixture->driver, NOW, fixture->last_command,
                           &message);
}

static void
write_row_with_key (struct fixture *fixture, struct jb_ownership *ownership,
                    const char *key)
{
  struct jb_row row = { .table = "t", .partition = "p", .key = key };

  jb_ownership_write (ownership, NOW, &row, 1, NULL, 0, count_commit, fixture);
}

static void
write_row (struct fixture *fixture, struct jb_ownership *ownership)
{
  write_row_with_key (fixture, ownership, "k");
}

/* What an owner writes after it has lost the partition is dropped.  */
static void
test_write_after_loss (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { 0 };
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "host",
                                          .incarnation = 1,
                                          .on_claimed = ignore_claim,
                                          .on_lost = count_loss,
                                          .data = &fixture };
  struct jb_ownership *ownership;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  ownership = jb_ownership_new (mem, &options);
  jb_ownership_claim (ownership, NOW);
  reply (&fixture, JB_RESULT_OK); /* to the read: there is no row */
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (jb_ownership_state (ownership), JB_OWNERSHIP_HELD);
  write_row (&fixture, ownership);
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (fixture.commits, 1);
  write_row (&fixture, ownership);
  reply (&fixture, JB_RESULT_CONFLICT); /* and no row of this owner */
  CU_ASSERT_EQUAL (fixture.losses, 1);
  CU_ASSERT_EQUAL (jb_ownership_state (ownership), JB_OWNERSHIP_NONE);
  fixture.writes = 0;
  write_row (&fixture, ownership);
  CU_ASSERT_EQUAL (fixture.writes, 0);
  CU_ASSERT_EQUAL (fixture.commits, 1);
  talloc_free (mem);
}

/* A write that this host was too busy to send says nothing about the store,
   for which clients would be refused.  */
static void
test_write_not_sent (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { 0 };
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "host",
                                          .incarnation = 1,
                                          .on_claimed = ignore_claim,
                                          .on_lost = count_loss,
                                          .data = &fixture };
  struct jb_ownership *ownership;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  ownership = jb_ownership_new (mem, &options);
  jb_ownership_claim (ownership, NOW);
  reply (&fixture, JB_RESULT_OK);
  reply (&fixture, JB_RESULT_OK);
  write_row (&fixture, ownership);
  reply (&fixture, JB_RESULT_NOT_SENT);
  CU_ASSERT_EQUAL (jb_driver_store_failing_since (fixture.driver), 0);
  CU_ASSERT_EQUAL (jb_ownership_failing_since (ownership), 0);
  talloc_free (mem);
}

/* The store confirmed the claim at some time after it was sent, however late
   the reply is processed: another host may have claimed the partition since.
 */
static void
test_late_reply_to_claim (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { 0 };
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "host",
                                          .incarnation = 1,
                                          .on_claimed = ignore_claim,
                                          .on_lost = count_loss,
                                          .data = &fixture };
  struct jb_reply message = { .result = JB_RESULT_OK, .version = 7 };
  struct jb_ownership *ownership;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  ownership = jb_ownership_new (mem, &options);
  jb_ownership_claim (ownership, NOW);
  reply (&fixture, JB_RESULT_OK);
  jb_driver_receive_reply (fixture.driver, NOW + 2 * JB_SECOND,
                           fixture.last_command, &message);
  CU_ASSERT_EQUAL (jb_ownership_state (ownership), JB_OWNERSHIP_HELD);
  CU_ASSERT_EQUAL (jb_ownership_confirmed_at (ownership), NOW);
  talloc_free (mem);
}

/* A store that takes longer for a transaction than the owner waits before it
   sends it again: the answer to the first attempt counts, and the one to the
   second is no loss.  Without that, each transaction is asked for at least
   twice before an answer counts, and clients get none in time.  */
static void
test_slow_store (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { 0 };
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "host",
                                          .incarnation = 1,
                                          .on_claimed = ignore_claim,
                                          .on_lost = count_loss,
                                          .data = &fixture };
  struct jb_reply committed = { .result = JB_RESULT_OK, .version = 8 };
  struct jb_reply conflict = { .result = JB_RESULT_CONFLICT };
  struct jb_ownership *ownership;
  uint64_t first_attempt;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  ownership = jb_ownership_new (mem, &options);
  jb_ownership_claim (ownership, NOW);
  reply (&fixture, JB_RESULT_OK);
  reply (&fixture, JB_RESULT_OK);
  fixture.writes = 0;
  write_row (&fixture, ownership);
  first_attempt = fixture.last_command;
  jb_ownership_run (ownership, NOW + JB_SECOND);
  CU_ASSERT_EQUAL (fixture.writes, 2);
  CU_ASSERT_NOT_EQUAL (jb_driver_store_failing_since (fixture.driver), 0);
  jb_driver_receive_reply (fixture.driver, NOW + 1200 * JB_MS, first_attempt,
                           &committed);
  CU_ASSERT_EQUAL (fixture.commits, 1);
  CU_ASSERT_EQUAL (jb_ownership_failing_since (ownership), 0);
  jb_driver_receive_reply (fixture.driver, NOW + 2 * JB_SECOND,
                           fixture.last_command, &conflict);
  CU_ASSERT_EQUAL (fixture.losses, 0);
  CU_ASSERT_EQUAL (fixture.commits, 1);
  talloc_free (mem);
}

/* Transactions that wait while one is in flight are committed together, except
   where one changes the row of another: each takes as long as all of them, and
   a slow store would let clients wait for every one.  */
static void
test_merged_transactions (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { 0 };
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "host",
                                          .incarnation = 1,
                                          .on_claimed = ignore_claim,
                                          .on_lost = count_loss,
                                          .data = &fixture };
  struct jb_ownership *ownership;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  ownership = jb_ownership_new (mem, &options);
  jb_ownership_claim (ownership, NOW);
  reply (&fixture, JB_RESULT_OK);
  reply (&fixture, JB_RESULT_OK);
  fixture.writes = 0;
  write_row_with_key (&fixture, ownership, "a");
  write_row_with_key (&fixture, ownership, "a");
  write_row_with_key (&fixture, ownership, "b");
  write_row_with_key (&fixture, ownership, "c");
  write_row_with_key (&fixture, ownership, "b");
  CU_ASSERT_EQUAL (fixture.writes, 1);
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (fixture.writes, 2);
  CU_ASSERT_EQUAL (fixture.rows_set, 1 + 3); /* owner row, a, b and c */
  CU_ASSERT_EQUAL (fixture.commits, 1);
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (fixture.commits, 4);
  CU_ASSERT_EQUAL (fixture.writes, 3);
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (fixture.commits, 5);
  CU_ASSERT_FALSE (jb_ownership_has_pending_writes (ownership));
  talloc_free (mem);
}

/* Refuse the transaction that is in flight as invalid, until that counts.  */
static void
refuse_as_invalid (struct fixture *fixture, struct jb_ownership *ownership)
{
  for (int i = 0; i < 3; i++)
    {
      jb_ownership_run (ownership, NOW + 100 * JB_MS);
      reply (fixture, JB_RESULT_INVALID);
    }
}

/* A transaction that the store refuses as invalid, alone or merged with
   others, keeps none of the others from being committed, in their order.  */
static void
test_invalid_transaction (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { 0 };
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "host",
                                          .incarnation = 1,
                                          .on_claimed = ignore_claim,
                                          .on_lost = count_loss,
                                          .data = &fixture };
  struct jb_row row = { .table = "t", .partition = "p", .key = "c" };
  struct jb_ownership *ownership;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  ownership = jb_ownership_new (mem, &options);
  jb_ownership_claim (ownership, NOW);
  reply (&fixture, JB_RESULT_OK);
  reply (&fixture, JB_RESULT_OK);
  fixture.writes = 0;
  write_row_with_key (&fixture, ownership, "a");
  write_row_with_key (&fixture, ownership, "b");
  jb_ownership_write_unless_invalid (ownership, NOW, &row, 1, NULL, 0,
                                     count_commit, count_refusal, &fixture);
  write_row_with_key (&fixture, ownership, "d");
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (fixture.rows_set, 1 + 3);
  refuse_as_invalid (&fixture, ownership);
  CU_ASSERT_EQUAL (fixture.rows_set, 1 + 1); /* b */
  write_row_with_key (&fixture, ownership, "e");
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (fixture.commits, 2);
  CU_ASSERT_EQUAL (fixture.rows_set, 1 + 1); /* c */
  CU_ASSERT_EQUAL (fixture.refusals, 0);
  refuse_as_invalid (&fixture, ownership);
  CU_ASSERT_EQUAL (fixture.refusals, 1);
  CU_ASSERT_EQUAL (fixture.commits, 2);
  CU_ASSERT_EQUAL (fixture.rows_set, 1 + 1); /* d */
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (fixture.commits, 3);
  CU_ASSERT_EQUAL (fixture.writes, 10);
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (fixture.commits, 4);
  CU_ASSERT_EQUAL (fixture.losses, 0);
  CU_ASSERT_FALSE (jb_ownership_has_pending_writes (ownership));
  talloc_free (mem);
}

/* A successor asks whether the process has ended that the owner row names.  It
   must not ask about itself, nor about the owner of an earlier claim.  */
static void
test_previous_owner (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { 0 };
  struct jb_ownership_options options = { .partition = "p",
                                          .owner = "former",
                                          .incarnation = 11,
                                          .on_claimed = ignore_claim,
                                          .on_lost = count_loss,
                                          .data = &fixture };
  struct jb_row row = { .table = JB_OWNERSHIP_TABLE,
                        .partition = "p",
                        .key = JB_OWNERSHIP_KEY,
                        .version = 7 };
  struct jb_reply message
      = { .result = JB_RESULT_OK, .rows = &row, .row_count = 1 };
  struct jb_ownership *former;
  struct jb_ownership *successor;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  former = jb_ownership_new (mem, &options);
  jb_ownership_claim (former, NOW);
  reply (&fixture, JB_RESULT_OK); /* to the read: there is no row */
  row.value = fixture.owner;
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_PTR_NULL (jb_ownership_previous_owner (former));
  CU_ASSERT_EQUAL (jb_ownership_previous_incarnation (former), 0);
  options.owner = "host";
  options.incarnation = 12;
  successor = jb_ownership_new (mem, &options);
  jb_ownership_claim (successor, NOW);
  jb_driver_receive_reply (fixture.driver, NOW, fixture.last_command,
                           &message);
  reply (&fixture, JB_RESULT_OK);
  CU_ASSERT_EQUAL (jb_ownership_state (successor), JB_OWNERSHIP_HELD);
  CU_ASSERT_STRING_EQUAL (jb_ownership_previous_owner (successor), "former");
  CU_ASSERT_EQUAL (jb_ownership_previous_incarnation (successor), 11);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a write after the loss is dropped", test_write_after_loss },
          { "a write is not sent", test_write_not_sent },
          { "the reply to a claim is late", test_late_reply_to_claim },
          { "the store is slow", test_slow_store },
          { "waiting transactions are merged", test_merged_transactions },
          { "a transaction is invalid", test_invalid_transaction },
          { "the previous owner is known", test_previous_owner },
          { NULL, NULL } };

  return dp_test_main ("ownership of a partition", tests);
}
