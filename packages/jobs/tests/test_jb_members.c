/* Test of which host claims a partition that has no owner, and of which one
   gets a pool from its owner.

   Expected load: the shares of a processor that hosts have differ by a factor
   of four, and managing a pool of a hundred backend servers needs more than
   the smallest host has.  If such a host claims the pool, or a host that owns
   many partitions claims another one, its status probes are late and it
   considers healthy backend servers lost.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "jb_members.h"

#define NOW (60 * JB_SECOND)

/* Record the number of the newest command.  The test later replies to all of
   them that the store has no rows.  */
static void
record_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  uint64_t *last = context;

  (void)command;
  *last = number;
}

static const struct jb_driver_ops driver_ops = { .submit = record_command,
                                                 .send = ignore_message,
                                                 .set_members = ignore_members,
                                                 .log = ignore_log };

/* Return whether this host claims a vacant partition at once.  It has
   OWN_SHARE thousandths of a processor and owns OWN_OWNERSHIPS partitions; the
   only other host has OTHER_SHARE and owns OTHER_OWNERSHIPS, at most 3.  A
   share of 0 is not reported.  */
static bool
claims_at_once (uint32_t own_share, uint32_t own_ownerships,
                uint32_t other_share, uint32_t other_ownerships)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  uint64_t last = 0;
  struct jb_driver *driver = jb_driver_new (mem, &driver_ops, &last);
  struct jb_members_options options = { .driver = driver,
                                        .name = "own",
                                        .address = "10.0.0.1:1",
                                        .zone = "a",
                                        .cpu_share_milli = own_share,
                                        .incarnation = 1 };
  struct jb_members *members = jb_members_new (mem, 0, &options);
  struct jb_msg_ownership held[] = { { "x", 1 }, { "y", 1 }, { "z", 1 } };
  struct jb_msg_heartbeat heartbeat = { .name = "other",
                                        .address = "10.0.0.2:1",
                                        .zone = "b",
                                        .cpu_share_milli = other_share,
                                        .store_reachable = true,
                                        .ownerships = held,
                                        .ownership_count = other_ownerships };
  struct jb_self_status self = { .store_reachable = true };
  struct jb_reply reply = { .result = JB_RESULT_OK };
  bool claim;

  (void)jb_members_receive_heartbeat (members, NOW - 1, NOW - 1, 2,
                                      &heartbeat);
  (void)jb_members_run (members, NOW - 1, &self);
  for (uint64_t number = 1; number <= last; number++)
    jb_driver_receive_reply (driver, NOW - 1, number, &reply);
  (void)jb_members_should_claim (members, NOW, "part", own_ownerships);
  claim
      = jb_members_should_claim (members, NOW + JB_MS, "part", own_ownerships);
  talloc_free (mem);
  return claim;
}

/* Return whether this host, which owns a pool, hands it over at NOW to the
   only other host, a larger one that has sent a heartbeat every 200 ms for 5 s
   except in the SILENCE that ended 1 s before.  */
static bool
hands_over_after (jb_time silence)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  uint64_t last = 0;
  struct jb_driver *driver = jb_driver_new (mem, &driver_ops, &last);
  struct jb_members_options options = { .driver = driver,
                                        .name = "own",
                                        .address = "10.0.0.1:1",
                                        .zone = "a",
                                        .cpu_share_milli = 120,
                                        .incarnation = 1 };
  struct jb_members *members = jb_members_new (mem, 0, &options);
  struct jb_msg_heartbeat heartbeat = { .name = "other",
                                        .address = "10.0.0.2:1",
                                        .zone = "b",
                                        .cpu_share_milli = 500,
                                        .store_reachable = true,
                                        .catalog_version = 7 };
  struct jb_msg_ownership held = { "x", 1 };
  struct jb_self_status self = { .store_reachable = true,
                                 .catalog_version = 7,
                                 .ownerships = &held,
                                 .ownership_count = 1 };
  jb_time silence_end = NOW - JB_SECOND;
  bool result;

  for (jb_time when = NOW - 5 * JB_SECOND; when <= NOW; when += 200 * JB_MS)
    if (when >= silence_end || when <= silence_end - silence)
      (void)jb_members_receive_heartbeat (members, when, when, 2, &heartbeat);
  (void)jb_members_run (members, NOW, &self);
  result = jb_members_find_successor (members, NOW, &self, 0) != NULL;
  talloc_free (mem);
  return result;
}

/* A host that is short of processor time receives heartbeats late, and does
   not take that for a silence of their sender.  */
static void
test_silence_before_handover (void)
{
  CU_ASSERT (hands_over_after (0));
  CU_ASSERT (hands_over_after (2 * JB_SECOND));
  CU_ASSERT_FALSE (hands_over_after (3200 * JB_MS));
}

/* The host with the larger share of a processor claims, whichever comes first
   in the order of the hashed names.  */
static void
test_cpu_share (void)
{
  CU_ASSERT (claims_at_once (500, 0, 120, 0));
  CU_ASSERT_FALSE (claims_at_once (120, 0, 500, 0));
}

/* The share counts per partition: half a processor for four partitions is less
   than a quarter for one.  */
static void
test_share_per_partition (void)
{
  CU_ASSERT_FALSE (claims_at_once (500, 3, 250, 0));
  CU_ASSERT (claims_at_once (250, 0, 500, 3));
  CU_ASSERT_FALSE (claims_at_once (250, 1, 250, 0));
}

/* A host that doesn't report its share is taken to have a whole processor.  */
static void
test_unreported_share (void)
{
  CU_ASSERT_FALSE (claims_at_once (500, 0, 0, 0));
  CU_ASSERT (claims_at_once (0, 0, 500, 0));
}

/* Messages that a host sent to others.  */
struct sent_messages
{
  struct jb_driver *driver;
  uint32_t queries; /* JB_MSG_PROCESS_QUERY */
  uint32_t ends;    /* JB_MSG_PROCESS_ENDED */
  uint64_t to;      /* of the last of these */
};

static void
record_message (void *context, uint64_t member, struct ba_bytes bytes)
{
  struct sent_messages *sent = context;
  struct jb_msg *message = jb_msg_decode (NULL, bytes);

  if (message->type == JB_MSG_PROCESS_QUERY)
    sent->queries++;
  else if (message->type == JB_MSG_PROCESS_ENDED)
    sent->ends++;
  if (message->type == JB_MSG_PROCESS_QUERY
      || message->type == JB_MSG_PROCESS_ENDED)
    sent->to = member;
  talloc_free (message);
}

static void
ignore_submit (void *context, uint64_t number,
               const struct jb_command *command)
{
  (void)context;
  (void)number;
  (void)command;
}

static const struct jb_driver_ops recording_ops
    = { .submit = ignore_submit,
        .send = record_message,
        .set_members = ignore_members,
        .log = ignore_log };

static struct jb_members *
new_recording_members (TALLOC_CTX *mem, struct sent_messages *sent)
{
  struct jb_members_options options = {
    .name = "own", .address = "10.0.0.1:1", .zone = "a", .incarnation = 1
  };

  sent->driver = jb_driver_new (mem, &recording_ops, sent);
  options.driver = sent->driver;
  return jb_members_new (mem, 0, &options);
}

/* A process that this host hears may be older than the one that it asks about,
   whose messages are lost or late.  Taking the younger one, which owns a
   partition, for ended would let two owners act at the same time.  */
static void
test_ended_process (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct sent_messages sent = { 0 };
  struct jb_members *members = new_recording_members (mem, &sent);
  struct jb_msg_heartbeat heartbeat
      = { .name = "other", .address = "10.0.0.2:1", .zone = "b" };
  struct jb_msg_process process = { (char *)"other", 7 };

  (void)jb_members_receive_heartbeat (members, NOW, NOW, 5, &heartbeat);
  CU_ASSERT_FALSE (jb_members_has_process_ended (members, "other", 7));
  CU_ASSERT_EQUAL (sent.queries, 1);
  CU_ASSERT_EQUAL (sent.to, 5);
  CU_ASSERT_FALSE (jb_members_has_process_ended (members, "other", 7));
  CU_ASSERT_EQUAL (sent.queries, 1);
  (void)jb_members_receive_heartbeat (members, NOW + 200 * JB_MS,
                                      NOW + 200 * JB_MS, 5, &heartbeat);
  CU_ASSERT_EQUAL (sent.queries, 2);
  CU_ASSERT_FALSE (jb_members_has_process_ended (members, "other", 7));
  /* The process itself is not asked.  */
  (void)jb_members_receive_heartbeat (members, NOW + 400 * JB_MS,
                                      NOW + 400 * JB_MS, 7, &heartbeat);
  CU_ASSERT_EQUAL (sent.queries, 2);
  jb_members_receive_process_ended (members, &process);
  CU_ASSERT (jb_members_has_process_ended (members, "other", 7));
  CU_ASSERT_FALSE (jb_members_has_process_ended (members, "other", 5));
  CU_ASSERT_FALSE (jb_members_has_process_ended (members, "third", 7));
  talloc_free (mem);
}

/* Only the host with the name replies, and not about its own process.  */
static void
test_process_query (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct sent_messages sent = { 0 };
  struct jb_members *members = new_recording_members (mem, &sent);
  struct jb_msg_process former = { (char *)"own", 9 };
  struct jb_msg_process current = { (char *)"own", 1 };
  struct jb_msg_process other = { (char *)"other", 9 };

  jb_members_receive_process_query (members, 5, &current);
  jb_members_receive_process_query (members, 5, &other);
  CU_ASSERT_EQUAL (sent.ends, 0);
  jb_members_receive_process_query (members, 5, &former);
  CU_ASSERT_EQUAL (sent.ends, 1);
  CU_ASSERT_EQUAL (sent.to, 5);
  CU_ASSERT (jb_members_has_process_ended (members, "own", 9));
  CU_ASSERT_FALSE (jb_members_has_process_ended (members, "own", 1));
  talloc_free (mem);
}

/* A host of a previous version never replies.  It must not get messages that
   it can't read for as long as the fleet runs.  */
static void
test_process_query_without_reply (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct sent_messages sent = { 0 };
  struct jb_members *members = new_recording_members (mem, &sent);
  struct jb_msg_heartbeat heartbeat
      = { .name = "other", .address = "10.0.0.2:1", .zone = "b" };

  CU_ASSERT_FALSE (jb_members_has_process_ended (members, "other", 7));
  CU_ASSERT_EQUAL (sent.queries, 0);
  for (int i = 0; i < 1000; i++)
    (void)jb_members_receive_heartbeat (members, NOW + i * 200 * JB_MS,
                                        NOW + i * 200 * JB_MS, 5, &heartbeat);
  CU_ASSERT (sent.queries > 0 && sent.queries <= 20);
  talloc_free (mem);
}

/* Let the members with the incarnations 2 to 1 + COUNT report at NOW that they
   received a heartbeat of this host AGES_MS before; a negative age: that they
   don't hear it.  */
static void
report_ages (struct jb_members *members, const int64_t *ages_ms, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      char name[16];
      struct jb_msg_heartbeat_age own = { 1, ages_ms[i] };
      struct jb_msg_heartbeat heartbeat = { .name = name,
                                            .address = "10.0.0.2:1",
                                            .zone = "b",
                                            .peer_count = ages_ms[i] >= 0,
                                            .peers = &own };

      g_snprintf (name, sizeof name, "host-%zu", i);
      (void)jb_members_receive_heartbeat (members, NOW, NOW, 2 + i,
                                          &heartbeat);
    }
}

/* Two owners: those that hear an owner may be cut off with it, so the others
   have to be counted.  */
static void
test_unclaimed_until (void)
{
  static const int64_t heard_by_all[] = { 100, 300, 200, 0 };
  static const int64_t heard_by_most[] = { 100, -1, 200, 300 };
  static const int64_t heard_by_two[] = { 100, -1, 200, -1 };
  static const int64_t heard_by_one[] = { -1, -1, 200, -1 };
  TALLOC_CTX *mem = talloc_new (NULL);
  uint64_t last = 0;
  struct jb_driver *driver = jb_driver_new (mem, &driver_ops, &last);
  struct jb_members_options options = { .driver = driver,
                                        .name = "own",
                                        .address = "10.0.0.1:1",
                                        .zone = "a",
                                        .incarnation = 1 };
  struct jb_members *members = jb_members_new (mem, 0, &options);
  struct jb_self_status self = { .store_reachable = true };
  struct jb_reply reply = { .result = JB_RESULT_OK };
  const jb_time renewed_at = NOW - 5 * JB_SECOND;

  CU_ASSERT_EQUAL (jb_members_unclaimed_until (members), 0);
  report_ages (members, heard_by_all, G_N_ELEMENTS (heard_by_all));
  CU_ASSERT_EQUAL (jb_members_unclaimed_until (members), NOW - 300 * JB_MS);
  /* Without a row in the store, nothing holds a minority back.  */
  report_ages (members, heard_by_most, G_N_ELEMENTS (heard_by_most));
  CU_ASSERT_EQUAL (jb_members_unclaimed_until (members), 0);
  (void)jb_members_run (members, renewed_at, &self);
  for (uint64_t number = 1; number <= last; number++)
    jb_driver_receive_reply (driver, renewed_at, number, &reply);
  CU_ASSERT_EQUAL (jb_members_unclaimed_until (members),
                   renewed_at + 4 * JB_SECOND);
  report_ages (members, heard_by_two, G_N_ELEMENTS (heard_by_two));
  CU_ASSERT_EQUAL (jb_members_unclaimed_until (members),
                   renewed_at + 4 * JB_SECOND);
  report_ages (members, heard_by_one, G_N_ELEMENTS (heard_by_one));
  CU_ASSERT_EQUAL (jb_members_unclaimed_until (members), 0);
  talloc_free (mem);
}

/* Keep the last heartbeat that was sent in CONTEXT, a struct jb_msg *.  */
static void
keep_heartbeat (void *context, uint64_t member, struct ba_bytes message)
{
  struct jb_msg **last = context;
  struct jb_msg *decoded = jb_msg_decode (NULL, message);

  (void)member;
  if (decoded != NULL && decoded->type == JB_MSG_HEARTBEAT)
    {
      talloc_free (*last);
      *last = talloc_steal (NULL, decoded);
    }
  else
    talloc_free (decoded);
}

/* A heartbeat that has waited in this host proves nothing about the time
   since: an owner without the store would go on for that long while others
   claim its pools, and send starts of which the other hosts have not heard.
   But the wait is no silence of its sender.  */
static void
test_heartbeat_that_waited (void)
{
  static const struct jb_driver_ops ops = { .submit = ignore_command,
                                            .send = keep_heartbeat,
                                            .set_members = ignore_members,
                                            .log = ignore_log };
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_msg *sent = NULL;
  struct jb_driver *driver = jb_driver_new (mem, &ops, &sent);
  struct jb_members_options options = { .driver = driver,
                                        .name = "own",
                                        .address = "10.0.0.1:1",
                                        .zone = "a",
                                        .incarnation = 1 };
  struct jb_members *members = jb_members_new (mem, NOW, &options);
  struct jb_msg_heartbeat_age own = { 1, 100 };
  struct jb_msg_ownership owned = { (char *)"pool/x", 3 };
  struct jb_msg_heartbeat heartbeat = { .name = "other",
                                        .address = "10.0.0.2:1",
                                        .zone = "b",
                                        .store_reachable = true,
                                        .store_answer_age_ms = 30,
                                        .ownerships = &owned,
                                        .ownership_count = 1,
                                        .peer_count = 1,
                                        .peers = &own };
  struct jb_self_status self = { .store_reachable = true };

  (void)jb_members_receive_heartbeat (members, NOW, NOW - 2000 * JB_MS, 2,
                                      &heartbeat);
  CU_ASSERT_TRUE (
      jb_member_is_alive (jb_members_find (members, 2), NOW + 900 * JB_MS));
  CU_ASSERT_EQUAL (jb_members_unclaimed_until (members), NOW - 2100 * JB_MS);
  CU_ASSERT_EQUAL (jb_members_find (members, 2)->store_answered_at,
                   NOW - 2030 * JB_MS);
  jb_members_send_heartbeat (members, NOW + 50 * JB_MS, &self);
  CU_ASSERT (sent != NULL && sent->u.heartbeat.peer_count == 1
             && sent->u.heartbeat.peers[0].age_ms == 2050);
  talloc_free (sent);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "the host with the larger CPU share claims", test_cpu_share },
          { "the CPU share is divided by the partitions owned",
            test_share_per_partition },
          { "a host without a reported CPU share counts as one processor",
            test_unreported_share },
          { "a late host hands its pool over", test_silence_before_handover },
          { "up to when no other host has claimed", test_unclaimed_until },
          { "a heartbeat that has waited", test_heartbeat_that_waited },
          { "the end of a former process", test_ended_process },
          { "a query about a former process", test_process_query },
          { "a query without a reply", test_process_query_without_reply },
          { NULL, NULL } };

  return dp_test_main ("choice of the claiming host", tests);
}
