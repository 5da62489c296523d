/* Test of what a coordinator passes on of the starts in doubt that it keeps.
   If it sends all of them whenever it hears a member again, the event loops of
   all hosts are late on days with many planned stops, which makes more members
   look silent.  If it leaves one out that a member doesn't have, a task may
   run twice after a takeover.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "jb_host.h"

#include <string.h>

#define HEARTBEAT_INTERVAL (200 * JB_MS)
#define RUN_INTERVAL (10 * JB_MS)
#define SILENCE (1500 * JB_MS)

/* A new process claims a pool no earlier than this after its start.  */
#define STARTUP_TIME (700 * JB_MS)

enum
{
  MAX_MEMBERS = 8,
  POOL_COUNT = 3,
  HOST_INCARNATION = 1,
  FIRST_MEMBER = 100,
  ENTRY_COUNT = 3000,
  ENTRIES_PER_MESSAGE = 100,
  /* Bound on what one call of the host's functions may send.  */
  MAX_ENTRIES_PER_CALL = 500
};

struct fixture
{
  struct jb_host *host;
  jb_time now;
  uint64_t incarnations[MAX_MEMBERS];
  bool is_silent[MAX_MEMBERS];
  uint32_t member_count;
  jb_time waited;       /* by each message, until it is processed */
  bool host_is_unheard; /* members report that they don't hear the host */
  uint32_t sent[MAX_MEMBERS]; /* entries */
  GHashTable *tasks;          /* names of those sent to the first member */
  int64_t youngest_ms;        /* of these */
  uint32_t sent_in_call;
  uint32_t most_in_call;
};

static void
record_message (void *context, uint64_t member, struct ba_bytes bytes)
{
  struct fixture *fixture = context;
  struct jb_msg *message = jb_msg_decode (NULL, bytes);

  CU_ASSERT_PTR_NOT_NULL_FATAL (message);
  if (message == NULL)
    return;
  for (uint32_t i = 0; i < fixture->member_count; i++)
    if (message->type == JB_MSG_DOUBTS && fixture->incarnations[i] == member)
      {
        const struct jb_msg_doubts *doubts = &message->u.doubts;

        fixture->sent[i] += doubts->count;
        fixture->sent_in_call += doubts->count;
        for (uint32_t j = 0; i == 0 && j < doubts->count; j++)
          {
            g_hash_table_add (fixture->tasks,
                              g_strdup (doubts->entries[j].entry.task));
            fixture->youngest_ms
                = MIN (fixture->youngest_ms, doubts->entries[j].age_ms);
          }
      }
  talloc_free (message);
}

static void
end_call (struct fixture *fixture)
{
  fixture->most_in_call = MAX (fixture->most_in_call, fixture->sent_in_call);
  fixture->sent_in_call = 0;
}

static void
receive (struct fixture *fixture, uint64_t from, const struct jb_msg *message)
{
  struct ba_bytes bytes = jb_msg_encode (NULL, message);

  CU_ASSERT (jb_host_receive_message (fixture->host, fixture->now,
                                      fixture->now - fixture->waited, from,
                                      bytes));
  end_call (fixture);
  talloc_free (bytes.data);
}

static void
run (struct fixture *fixture)
{
  (void)jb_host_run (fixture->host, fixture->now);
  end_call (fixture);
}

static void
receive_heartbeat (struct fixture *fixture, uint32_t member)
{
  struct jb_msg_heartbeat_age peer
      = { HOST_INCARNATION, fixture->host_is_unheard ? 10000 : 10 };
  char name[16];
  struct jb_msg message = { .type = JB_MSG_HEARTBEAT,
                            .u.heartbeat = { .name = name,
                                             .address = "10.0.0.2:1",
                                             .zone = "a",
                                             .store_reachable = true,
                                             .peers = &peer,
                                             .peer_count = 1 } };

  g_snprintf (name, sizeof name, "member-%u", member);
  receive (fixture, fixture->incarnations[member], &message);
  run (fixture);
}

/* Advance by DURATION, with heartbeats of the members that are not silent.  */
static void
advance (struct fixture *fixture, jb_time duration)
{
  for (jb_time i = 0; i < duration; i += RUN_INTERVAL)
    {
      for (uint32_t j = 0;
           i % HEARTBEAT_INTERVAL == 0 && j < fixture->member_count; j++)
        if (!fixture->is_silent[j])
          receive_heartbeat (fixture, j);
      fixture->now += RUN_INTERVAL;
      run (fixture);
    }
}

static void
forget_sent (struct fixture *fixture)
{
  memset (fixture->sent, 0, sizeof fixture->sent);
  fixture->most_in_call = 0;
  fixture->youngest_ms = G_MAXINT64;
  g_hash_table_remove_all (fixture->tasks);
}

/* Receive entries with the numbers from FIRST to END - 1, of a run with
   RUN_NUMBER.  */
static void
receive_doubts (struct fixture *fixture, uint32_t first, uint32_t end,
                uint32_t run_number)
{
  struct jb_msg_doubt entries[ENTRIES_PER_MESSAGE];
  char tasks[ENTRIES_PER_MESSAGE][32];

  for (uint32_t i = first; i < end; i += ENTRIES_PER_MESSAGE)
    {
      char pool[16];
      struct jb_msg message
          = { .type = JB_MSG_DOUBTS,
              .u.doubts = { .pool = pool,
                            .count = MIN (end - i, ENTRIES_PER_MESSAGE),
                            .entries = entries } };

      g_snprintf (pool, sizeof pool, "pool-%u",
                  i / ENTRIES_PER_MESSAGE % POOL_COUNT);
      for (uint32_t j = 0; j < message.u.doubts.count; j++)
        {
          g_snprintf (tasks[j], sizeof tasks[j], "%016x.0.0.0", i + j);
          entries[j]
              = (struct jb_msg_doubt){ { tasks[j], "i-1", run_number, 1 },
                                       .generation = 1 };
        }
      receive (fixture, FIRST_MEMBER + MAX_MEMBERS, &message);
    }
}

static void
receive_catalog (struct fixture *fixture)
{
  struct jb_pool_settings pools[POOL_COUNT] = { 0 };
  char names[POOL_COUNT][16];
  struct jb_msg message
      = { .type = JB_MSG_CATALOG,
          .u.catalog
          = { .version = 1, .pool_count = POOL_COUNT, .pools = pools } };

  for (uint32_t i = 0; i < POOL_COUNT; i++)
    {
      g_snprintf (names[i], sizeof names[i], "pool-%u", i);
      pools[i].name = names[i];
    }
  receive (fixture, FIRST_MEMBER, &message);
}

/* Set up a coordinator that has heard MEMBER_COUNT members for 3 s, and keeps
   ENTRY_COUNT entries then.  */
static void
set_up (struct fixture *fixture, uint32_t member_count)
{
  static const struct jb_driver_ops ops = { .submit = ignore_command,
                                            .send = record_message,
                                            .set_members = ignore_members,
                                            .log = ignore_log };
  struct jb_host_options options = { .name = "host",
                                     .zone = "a",
                                     .address = "10.0.0.1:1",
                                     .incarnation = HOST_INCARNATION,
                                     .bounds = { .max_lease_ms = 60000 } };

  *fixture = (struct fixture){ .now = 60 * JB_SECOND,
                               .member_count = member_count };
  fixture->tasks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < member_count; i++)
    fixture->incarnations[i] = FIRST_MEMBER + i;
  fixture->host = jb_host_new (NULL, fixture->now, &options, &ops, fixture);
  receive_catalog (fixture);
  advance (fixture, 3 * JB_SECOND);
  CU_ASSERT (jb_host_is_coordinator (fixture->host));
  receive_doubts (fixture, 0, ENTRY_COUNT, 1);
  forget_sent (fixture);
}

static void
tear_down (struct fixture *fixture)
{
  talloc_free (fixture->host);
  g_hash_table_destroy (fixture->tasks);
}

/* Let the first member be silent, and then alive for some time.  */
static void
interrupt (struct fixture *fixture)
{
  fixture->is_silent[0] = true;
  advance (fixture, SILENCE);
  fixture->is_silent[0] = false;
  advance (fixture, 3 * JB_SECOND);
}

/* A member that was cut off must get what it may have missed, and not the same
   again after each further interruption.  */
static void
test_interruptions (void)
{
  struct fixture fixture;

  set_up (&fixture, 2);
  interrupt (&fixture);
  CU_ASSERT_EQUAL (fixture.sent[0], ENTRY_COUNT);
  CU_ASSERT_EQUAL (g_hash_table_size (fixture.tasks), ENTRY_COUNT);
  forget_sent (&fixture);
  for (uint32_t i = 0; i < 5; i++)
    interrupt (&fixture);
  CU_ASSERT_EQUAL (fixture.sent[0], 0);
  CU_ASSERT_EQUAL (fixture.sent[1], 0);
  tear_down (&fixture);
}

/* After an interruption a member must get the entries that were added or that
   have changed meanwhile, and only these.  */
static void
test_changes (void)
{
  struct fixture fixture;

  set_up (&fixture, 2);
  interrupt (&fixture);
  forget_sent (&fixture);
  fixture.is_silent[0] = true;
  advance (&fixture, SILENCE);
  receive_doubts (&fixture, 0, 20, 1);
  receive_doubts (&fixture, 50, 60, 2);
  receive_doubts (&fixture, ENTRY_COUNT, ENTRY_COUNT + 30, 1);
  fixture.is_silent[0] = false;
  advance (&fixture, 3 * JB_SECOND);
  CU_ASSERT (g_hash_table_contains (fixture.tasks, "0000000000000032.0.0.0"));
  CU_ASSERT (g_hash_table_contains (fixture.tasks, "000000000000003b.0.0.0"));
  CU_ASSERT (g_hash_table_contains (fixture.tasks, "0000000000000bb8.0.0.0"));
  CU_ASSERT (g_hash_table_contains (fixture.tasks, "0000000000000bd5.0.0.0"));
  /* The first 20 have the same content, but a later time.  */
  CU_ASSERT (g_hash_table_contains (fixture.tasks, "0000000000000000.0.0.0"));
  CU_ASSERT_EQUAL (fixture.sent[0], 60);
  tear_down (&fixture);
}

/* What was sent may be lost if the member was cut off again before it has
   shown that it hears this host: it must be sent again.  */
static void
test_lost_relay (void)
{
  struct fixture fixture;

  set_up (&fixture, 2);
  fixture.host_is_unheard = true;
  interrupt (&fixture);
  fixture.host_is_unheard = false;
  forget_sent (&fixture);
  interrupt (&fixture);
  CU_ASSERT_EQUAL (g_hash_table_size (fixture.tasks), ENTRY_COUNT);
  CU_ASSERT_EQUAL (fixture.sent[0], ENTRY_COUNT);
  tear_down (&fixture);
}

/* A new process must get all entries once, before it may claim a pool, and in
   calls that don't hold up the event loop.  */
static void
test_new_process (void)
{
  struct fixture fixture;

  set_up (&fixture, 2);
  interrupt (&fixture);
  forget_sent (&fixture);
  fixture.incarnations[0] = FIRST_MEMBER + MAX_MEMBERS + 1;
  advance (&fixture, STARTUP_TIME);
  CU_ASSERT_EQUAL (g_hash_table_size (fixture.tasks), ENTRY_COUNT);
  advance (&fixture, 3 * JB_SECOND);
  CU_ASSERT_EQUAL (fixture.sent[0], ENTRY_COUNT);
  CU_ASSERT (fixture.most_in_call <= MAX_ENTRIES_PER_CALL);
  tear_down (&fixture);
}

/* If all members were silent, as when this host was cut off, each must get
   all, in calls that don't hold up the event loop.  */
static void
test_all_members (void)
{
  struct fixture fixture;

  set_up (&fixture, MAX_MEMBERS);
  for (uint32_t i = 0; i < MAX_MEMBERS; i++)
    fixture.is_silent[i] = true;
  advance (&fixture, SILENCE);
  for (uint32_t i = 0; i < MAX_MEMBERS; i++)
    fixture.is_silent[i] = false;
  advance (&fixture, 5 * JB_SECOND);
  for (uint32_t i = 0; i < MAX_MEMBERS; i++)
    CU_ASSERT_EQUAL (fixture.sent[i], ENTRY_COUNT);
  CU_ASSERT (fixture.most_in_call <= MAX_ENTRIES_PER_CALL);
  tear_down (&fixture);
}

/* Messages that wait for this host's event loop must not make it later: the
   members were not silent.  */
static void
test_late_event_loop (void)
{
  struct fixture fixture;

  set_up (&fixture, MAX_MEMBERS);
  /* Heartbeats that have arrived every 200 ms are processed 2 s later, within
     a moment.  */
  fixture.now += 2 * JB_SECOND;
  for (fixture.waited = 1800 * JB_MS; fixture.waited >= 0;
       fixture.waited -= HEARTBEAT_INTERVAL)
    for (uint32_t i = 0; i < MAX_MEMBERS; i++)
      receive_heartbeat (&fixture, i);
  fixture.waited = 0;
  advance (&fixture, JB_SECOND);
  for (uint32_t i = 0; i < MAX_MEMBERS; i++)
    CU_ASSERT_EQUAL (fixture.sent[i], 0);
  /* A silence that is only seen later must still count.  */
  fixture.is_silent[0] = true;
  advance (&fixture, SILENCE);
  fixture.is_silent[0] = false;
  fixture.waited = 900 * JB_MS;
  fixture.now += fixture.waited;
  receive_heartbeat (&fixture, 0);
  fixture.waited = 0;
  advance (&fixture, JB_SECOND);
  CU_ASSERT_EQUAL (fixture.sent[0], ENTRY_COUNT);
  CU_ASSERT_EQUAL (g_hash_table_size (fixture.tasks), ENTRY_COUNT);
  tear_down (&fixture);
}

/* An entry must not last longer because its message has waited for this host's
   event loop.  */
static void
test_age_of_late_message (void)
{
  struct fixture fixture;

  set_up (&fixture, 2);
  interrupt (&fixture);
  forget_sent (&fixture);
  fixture.waited = 3 * JB_SECOND;
  receive_doubts (&fixture, ENTRY_COUNT, ENTRY_COUNT + 30, 1);
  fixture.waited = 0;
  interrupt (&fixture);
  CU_ASSERT_EQUAL (fixture.sent[0], 30);
  CU_ASSERT (fixture.youngest_ms >= (3 * JB_SECOND + SILENCE) / JB_MS);
  tear_down (&fixture);
}

/* A new process must get all entries before it may claim a pool also if this
   host's event loop is slow, so that the host is run each 200 ms only: a start
   that the process has not heard of may be repeated.  */
static void
test_new_process_and_slow_loop (void)
{
  struct fixture fixture;

  set_up (&fixture, 2);
  interrupt (&fixture);
  forget_sent (&fixture);
  fixture.incarnations[0] = FIRST_MEMBER + MAX_MEMBERS + 1;
  for (jb_time waited = 0; waited <= STARTUP_TIME;
       waited += HEARTBEAT_INTERVAL)
    {
      receive_heartbeat (&fixture, 0);
      receive_heartbeat (&fixture, 1);
      fixture.now += HEARTBEAT_INTERVAL;
    }
  CU_ASSERT_EQUAL (g_hash_table_size (fixture.tasks), ENTRY_COUNT);
  tear_down (&fixture);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "further interruptions send nothing again", test_interruptions },
          { "an interruption sends what has changed", test_changes },
          { "what may be lost is sent again", test_lost_relay },
          { "a new process gets all once, in portions", test_new_process },
          { "a new process gets all in time from a slow host",
            test_new_process_and_slow_loop },
          { "all members get all, in portions", test_all_members },
          { "a late event loop sends nothing", test_late_event_loop },
          { "a late message makes no entry younger",
            test_age_of_late_message },
          { NULL, NULL } };

  return dp_test_main ("starts in doubt that are passed on", tests);
}
