/* Test of what an owner does with starts in doubt of former owners that other
   hosts pass on.  If it goes through all that it knows for each message, its
   event loop is late.  If it leaves one out, a task may run twice.

   Expected load: the same entries from each of nine coordinators.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"
#include "ignoring_driver.h"

#include <string.h>

#define NOW (60 * JB_SECOND)
#define TASK "0123456789abcdef.0.0.0"
#define OTHER_TASK "0123456789abcdef.0.0.1"

static const struct jb_bounds bounds = { .max_lease_ms = 6000 };

/* A pool that this host has just claimed, with one backend server.  */
struct fixture
{
  TALLOC_CTX *mem;
  struct jb_driver *driver;
  struct jb_peer_doubts *table;
  struct jb_pool *pool;
  struct jb_backend *backend;
  uint64_t last_command; /* number of the newest command */
  uint32_t logged;       /* lines that tell how many starts are in doubt */
};

static void
record_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  (void)command;
  ((struct fixture *)context)->last_command = number;
}

static void
count_log (void *context, enum jb_level level, const char *event,
           const struct jb_log_field *fields, uint32_t count)
{
  (void)level;
  (void)fields;
  (void)count;
  ((struct fixture *)context)->logged
      += strcmp (event, "starts-in-doubt") == 0;
}

static void
ignore_state (void *data, struct jb_pool *pool)
{
  (void)data;
  (void)pool;
}

static void
set_up (struct fixture *fixture)
{
  static const struct jb_driver_ops ops
      = { .submit = record_command, .log = count_log };
  struct jb_pool_options options = { .bounds = &bounds,
                                     .name = "p",
                                     .owner = "host",
                                     .incarnation = 1,
                                     .state_changed = ignore_state };
  struct jb_backend_entry entry = { .instance = "i-1",
                                    .address = "10.0.0.1:1",
                                    .zone = "a",
                                    .capacity = { 8000, 4000, 2 } };
  struct jb_reply reply = { .result = JB_RESULT_OK, .version = 7 };

  *fixture = (struct fixture){ .mem = talloc_new (NULL) };
  fixture->driver = jb_driver_new (fixture->mem, &ops, fixture);
  fixture->table = jb_peer_doubts_new (fixture->mem);
  options.driver = fixture->driver;
  options.peer_doubts = fixture->table;
  fixture->pool = jb_pool_new (fixture->mem, &options);
  jb_pool_claim (fixture->pool, NOW);
  jb_driver_receive_reply (fixture->driver, NOW, fixture->last_command,
                           &reply);
  jb_driver_receive_reply (fixture->driver, NOW, fixture->last_command,
                           &reply);
  CU_ASSERT_EQUAL (jb_ownership_generation (fixture->pool->ownership), 1);
  fixture->pool->stage = JB_STAGE_ACTIVE;
  fixture->backend = jb_backend_new (fixture->pool, &entry);
  jb_pool_add_backend (fixture->pool, fixture->backend);
}

/* Receive an entry of TASK, as the host does.  */
static void
receive (struct fixture *fixture, const char *task, uint32_t sent,
         int64_t age_ms)
{
  struct jb_msg_doubt entry = { { (char *)task, "i-1", 1, sent },
                                .generation = 0,
                                .age_ms = age_ms };
  struct jb_msg_doubts message
      = { .pool = "p", .count = 1, .entries = &entry };

  jb_peer_doubts_add (fixture->table, NOW, &message);
  jb_pool_handle_peer_doubts (fixture->pool, NOW, NOW, &message);
}

static uint32_t
count_doubts (const struct fixture *fixture)
{
  return jb_doubt_count (jb_pool_doubt_table (fixture->pool));
}

/* An end that is acknowledged while a start is in doubt lets the task run once
   more: the owner must know of it at once.  */
static void
test_new_entry (void)
{
  struct fixture fixture;

  set_up (&fixture);
  receive (&fixture, TASK, 1, 0);
  CU_ASSERT_EQUAL (count_doubts (&fixture), 1);
  CU_ASSERT_EQUAL (fixture.backend->doubt_count, 1);
  receive (&fixture, OTHER_TASK, 2, 0);
  CU_ASSERT_EQUAL (count_doubts (&fixture), 2);
  CU_ASSERT_EQUAL (fixture.backend->doubt_count, 2);
  CU_ASSERT_EQUAL (fixture.logged, 2);
  receive (&fixture, TASK, 2, 0);
  CU_ASSERT_EQUAL (
      jb_doubt_find (jb_pool_doubt_table (fixture.pool), TASK)->sent, 2);
  CU_ASSERT_EQUAL (fixture.backend->doubt_count, 2);
  talloc_free (fixture.mem);
}

/* The same entry from several coordinators must cause no work.  */
static void
test_same_entry (void)
{
  struct fixture fixture;

  set_up (&fixture);
  for (uint32_t i = 0; i < 9; i++)
    receive (&fixture, TASK, 2, 0);
  CU_ASSERT_EQUAL (count_doubts (&fixture), 1);
  CU_ASSERT_EQUAL (fixture.backend->doubt_count, 1);
  CU_ASSERT_EQUAL (fixture.logged, 1);
  talloc_free (fixture.mem);
}

/* A message must concern the tasks that it lists only: if a start that is no
   longer in doubt came back with it, its task would wait again.  */
static void
test_other_entries (void)
{
  struct fixture fixture;

  set_up (&fixture);
  receive (&fixture, TASK, 1, 0);
  jb_pool_run_listed (fixture.pool, fixture.backend, TASK, 1);
  CU_ASSERT_EQUAL (count_doubts (&fixture), 0);
  CU_ASSERT_EQUAL (fixture.backend->doubt_count, 0);
  receive (&fixture, OTHER_TASK, 1, 0);
  CU_ASSERT_EQUAL (count_doubts (&fixture), 1);
  CU_ASSERT_EQUAL (fixture.backend->doubt_count, 1);
  talloc_free (fixture.mem);
}

/* The list of a witness, which is asked until the takeover ends, must concern
   the tasks that it names only, too.  */
static void
test_list_of_witness (void)
{
  struct jb_doubt_entry entry = { TASK, "i-1", 1, 1 };
  struct jb_msg_starts list = { .pool = "p", .count = 1, .entries = &entry };
  struct fixture fixture;

  set_up (&fixture);
  receive (&fixture, OTHER_TASK, 1, 0);
  jb_pool_run_listed (fixture.pool, fixture.backend, OTHER_TASK, 1);
  fixture.logged = 0;
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT_TRUE (jb_pool_handle_left_starts (fixture.pool, NOW, &list));
  CU_ASSERT_EQUAL (count_doubts (&fixture), 1);
  CU_ASSERT_EQUAL (fixture.backend->doubt_count, 1);
  CU_ASSERT_EQUAL (fixture.logged, 1);
  talloc_free (fixture.mem);
}

/* A start that can't be carried out any more must not hold up its task.  */
static void
test_old_entry (void)
{
  struct fixture fixture;

  set_up (&fixture);
  receive (&fixture, TASK, 1, 59000);
  CU_ASSERT_EQUAL (count_doubts (&fixture), 0);
  CU_ASSERT_EQUAL (fixture.backend->doubt_count, 0);
  talloc_free (fixture.mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a new entry counts at once", test_new_entry },
          { "a known entry causes no work", test_same_entry },
          { "other entries don't come back", test_other_entries },
          { "a list of a witness, too", test_list_of_witness },
          { "an old entry does not count", test_old_entry },
          { NULL, NULL } };

  return dp_test_main ("starts in doubt that an owner is told", tests);
}
