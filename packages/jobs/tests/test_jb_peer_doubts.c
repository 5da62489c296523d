/* Test of the starts in doubt of other owners.  An entry that is missing leads
   to a task that runs twice after a takeover.  */

#include "dp_test.h"
#include "jb_backend.h"
#include "jb_peer_doubts.h"

#include <string.h>

#define TASK "0123456789abcdef.0.0.0"
#define NOW (10 * JB_SECOND)

enum
{
  MAX_LEASE_MS = 6000
};

static void
add (struct jb_peer_doubts *table, jb_time now, const char *pool,
     uint32_t generation, const char *task, uint32_t run)
{
  struct jb_msg_doubt entry
      = { { (char *)task, "i-1", run, 2 }, .generation = generation };
  struct jb_msg_doubts message
      = { .pool = (char *)pool, .count = 1, .entries = &entry };

  CU_ASSERT_EQUAL (jb_peer_doubts_add (table, now, &message), 0);
}

struct result
{
  uint32_t count;
  uint32_t run;
  jb_time sent_at;
};

static void
collect (void *data, const struct jb_peer_doubt *doubt)
{
  struct result *result = data;

  result->count++;
  result->run = doubt->entry.run;
  result->sent_at = doubt->sent_at;
}

static struct result
find (const struct jb_peer_doubts *table, const char *pool,
      uint32_t generation)
{
  struct result result = { 0 };

  jb_peer_doubts_visit (table, pool, generation, collect, &result);
  return result;
}

/* A later owner of the same pool must find the entry, and no other.  */
static void
test_pool_and_generation (void)
{
  struct jb_peer_doubts *table = jb_peer_doubts_new (NULL);

  add (table, NOW, "a", 3, TASK, 30001);
  CU_ASSERT_EQUAL (find (table, "a", 4).count, 1);
  CU_ASSERT_EQUAL (find (table, "a", 4).sent_at, NOW);
  CU_ASSERT_EQUAL (find (table, "a", 3).count, 0);
  CU_ASSERT_EQUAL (find (table, "b", 4).count, 0);
  talloc_free (table);
}

/* The newest message on a task counts, but a late one of a former owner must
   not replace what a later one has sent.  */
static void
test_replacement (void)
{
  struct jb_peer_doubts *table = jb_peer_doubts_new (NULL);

  add (table, NOW, "a", 3, TASK, 30001);
  add (table, NOW + JB_SECOND, "a", 3, TASK, 30002);
  CU_ASSERT_EQUAL (find (table, "a", 9).count, 1);
  CU_ASSERT_EQUAL (find (table, "a", 9).run, 30002);
  CU_ASSERT_EQUAL (find (table, "a", 9).sent_at, NOW + JB_SECOND);
  add (table, NOW, "a", 2, TASK, 20001);
  CU_ASSERT_EQUAL (find (table, "a", 9).run, 30002);
  add (table, NOW, "a", 4, TASK, 40001);
  CU_ASSERT_EQUAL (find (table, "a", 9).run, 40001);
  add (table, NOW, "b", 1, TASK, 10001);
  CU_ASSERT_EQUAL (jb_peer_doubts_count (table), 2);
  talloc_free (table);
}

static uint32_t freed_count;

static int
count_freed (char *string)
{
  (void)string;
  freed_count++;
  return 0;
}

static void
watch_task (void *data, const struct jb_peer_doubt *doubt)
{
  (void)data;
  talloc_set_destructor (doubt->entry.task, count_freed);
}

/* An entry that is there already, as several hosts pass it on, must not be
   freed and allocated again: the time for that makes event loops late.  */
static void
test_known_entry (void)
{
  struct jb_peer_doubts *table = jb_peer_doubts_new (NULL);
  size_t blocks;

  freed_count = 0;
  add (table, NOW, "a", 3, TASK, 30001);
  jb_peer_doubts_visit (table, "a", 9, watch_task, NULL);
  blocks = talloc_total_blocks (table);
  add (table, NOW, "a", 3, TASK, 30001);
  add (table, NOW - JB_MS, "a", 3, TASK, 30001);
  add (table, NOW + 2 * JB_SECOND, "a", 3, TASK, 30001);
  add (table, NOW, "a", 2, TASK, 20001);
  CU_ASSERT_EQUAL (freed_count, 0);
  CU_ASSERT_EQUAL (talloc_total_blocks (table), blocks);
  /* The time is still the latest one.  */
  CU_ASSERT_EQUAL (find (table, "a", 9).sent_at, NOW + 2 * JB_SECOND);
  talloc_free (table);
}

/* An entry that another host passes on must not last longer, nor replace a
   later start.  */
static void
test_age (void)
{
  struct jb_peer_doubts *table = jb_peer_doubts_new (NULL);
  struct jb_msg_doubt entry
      = { { TASK, "i-1", 30001, 1 }, .generation = 3, .age_ms = 2000 };
  struct jb_msg_doubts message
      = { .pool = "a", .count = 1, .entries = &entry };

  jb_peer_doubts_add (table, NOW, &message);
  CU_ASSERT_EQUAL (find (table, "a", 4).sent_at, NOW - 2 * JB_SECOND);
  add (table, NOW - JB_SECOND, "a", 3, TASK, 30002);
  jb_peer_doubts_add (table, NOW, &message);
  CU_ASSERT_EQUAL (find (table, "a", 4).run, 30002);
  talloc_free (table);
}

/* An entry must stay until its start and the lease that it grants are over,
   and no longer.  */
static void
test_expiry (void)
{
  struct jb_peer_doubts *table = jb_peer_doubts_new (NULL);
  jb_time until
      = NOW + JB_MAX_COMMAND_DELAY + jb_backend_lease_time (MAX_LEASE_MS);

  add (table, NOW, "a", 3, TASK, 30001);
  jb_peer_doubts_expire (table, until, MAX_LEASE_MS);
  CU_ASSERT_EQUAL (jb_peer_doubts_count (table), 1);
  jb_peer_doubts_expire (table, until + 2 * JB_SECOND, MAX_LEASE_MS);
  CU_ASSERT_EQUAL (jb_peer_doubts_count (table), 0);
  talloc_free (table);
}

/* The memory must be bounded whatever others send.  */
static void
test_bounded_size (void)
{
  struct jb_peer_doubts *table = jb_peer_doubts_new (NULL);
  struct jb_msg_doubt entry = { { "more", "i-1", 1, 1 }, .generation = 1 };
  struct jb_msg_doubts message
      = { .pool = "a", .count = 1, .entries = &entry };
  char name[32];

  for (uint32_t i = 0; i < JB_PEER_DOUBTS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "%u", i);
      add (table, NOW, "a", 1, name, 1);
    }
  CU_ASSERT_EQUAL (jb_peer_doubts_add (table, NOW, &message), 1);
  CU_ASSERT_EQUAL (jb_peer_doubts_count (table), JB_PEER_DOUBTS_MAX);
  add (table, NOW, "a", 2, "0", 20001);
  talloc_free (table);
}

/* The message must carry all that the next owner needs.  */
static void
test_message (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_msg_doubt entries[]
      = { { { TASK, "i-1", 30001, 1 }, 3, 0 },
          { { TASK "1", "i-2", 30002, 12 }, 4, 70 } };
  struct jb_msg message
      = { .type = JB_MSG_DOUBTS,
          .u.doubts = { .pool = "a", .count = 2, .entries = entries } };
  struct ba_bytes bytes = jb_msg_encode (mem, &message);
  struct jb_msg *decoded = jb_msg_decode (mem, bytes);

  CU_ASSERT_PTR_NOT_NULL_FATAL (decoded);
  if (decoded == NULL)
    return;
  CU_ASSERT_EQUAL (decoded->type, JB_MSG_DOUBTS);
  CU_ASSERT_STRING_EQUAL (decoded->u.doubts.pool, "a");
  CU_ASSERT_EQUAL_FATAL (decoded->u.doubts.count, 2);
  CU_ASSERT_STRING_EQUAL (decoded->u.doubts.entries[1].entry.task, TASK "1");
  CU_ASSERT_STRING_EQUAL (decoded->u.doubts.entries[1].entry.instance, "i-2");
  CU_ASSERT_EQUAL (decoded->u.doubts.entries[1].entry.run, 30002);
  CU_ASSERT_EQUAL (decoded->u.doubts.entries[1].entry.sent, 12);
  CU_ASSERT_EQUAL (decoded->u.doubts.entries[1].generation, 4);
  CU_ASSERT_EQUAL (decoded->u.doubts.entries[1].age_ms, 70);
  for (size_t len = 0; len < bytes.len; len++)
    CU_ASSERT_PTR_NULL (
        jb_msg_decode (mem, (struct ba_bytes){ bytes.data, len }));
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "entries belong to a pool and a generation",
            test_pool_and_generation },
          { "the newest entry of the last owner counts", test_replacement },
          { "a known entry costs no memory", test_known_entry },
          { "an entry that was passed on has an age", test_age },
          { "an entry is kept until its start is over", test_expiry },
          { "the table is bounded", test_bounded_size },
          { "a message carries all members", test_message },
          { NULL, NULL } };

  return dp_test_main ("peer doubts", tests);
}
