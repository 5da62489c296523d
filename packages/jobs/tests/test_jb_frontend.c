/* Test of the answers to submissions that were forwarded more than once.

   Expected load: owners whose event loops are late by more than the time after
   which a request is forwarded again, while room comes and goes, so that one
   copy of a request is refused and the next one accepted; takeovers of pools
   while requests are on their way.

   A client that is told that its job was refused submits another one, so the
   job must not run.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "jb_frontend.h"

#include <string.h>

#define NOW (60 * JB_SECOND)
#define RESEND_INTERVAL (500 * JB_MS)
#define POLL_INTERVAL (20 * JB_MS)

enum
{
  OWN = 1,
  FIRST_OWNER = 2,
  SECOND_OWNER = 3,
  CALL = 7,
  DEADLINE_MS = 3000,
  RETRY_AFTER_MS = 1234,
  MAX_COPIES = 200
};

/* A request that the front end has forwarded.  */
struct copy
{
  uint64_t owner;
  uint64_t call;
  uint32_t kind;
};

struct fixture
{
  TALLOC_CTX *mem;
  struct jb_driver *driver;
  struct jb_members *members;
  struct jb_frontend *frontend;
  struct jb_bounds bounds;
  const struct jb_catalog *catalog;
  jb_time now;
  bool owns_pool;     /* this host owns all pools */
  uint32_t own_reply; /* to the requests that this host handles, or
                         NO_REPLY */
  struct copy copies[MAX_COPIES];
  uint32_t copy_count;
  uint32_t answer_count;
  struct jb_answer answer; /* the last one */
};

#define NO_REPLY UINT32_MAX

static void
record_copy (struct fixture *fixture, uint64_t owner,
             const struct jb_msg_request *request)
{
  CU_ASSERT_FATAL (fixture->copy_count < MAX_COPIES);
  fixture->copies[fixture->copy_count++]
      = (struct copy){ owner, request->call, request->kind };
}

static void
record_message (void *context, uint64_t member, struct ba_bytes bytes)
{
  struct jb_msg *message = jb_msg_decode (NULL, bytes);

  CU_ASSERT_PTR_NOT_NULL_FATAL (message);
  if (message != NULL && message->type == JB_MSG_REQUEST)
    record_copy (context, member, &message->u.request);
  talloc_free (message);
}

static void
record_answer (void *context, uint64_t call, const struct jb_answer *answer)
{
  struct fixture *fixture = context;

  CU_ASSERT_EQUAL (call, CALL);
  fixture->answer_count++;
  fixture->answer = *answer;
}

static const struct jb_driver_ops driver_ops = { .submit = ignore_command,
                                                 .send = record_message,
                                                 .set_members = ignore_members,
                                                 .answer = record_answer,
                                                 .log = ignore_log };

static bool
owns_pool (void *data, const char *name)
{
  const struct fixture *fixture = data;

  (void)name;
  return fixture->owns_pool;
}

/* Reply KIND to the request CALL.  */
static void
reply_to (struct fixture *fixture, uint64_t call, uint32_t kind,
          uint32_t state)
{
  struct jb_msg_reply reply = { .call = call, .kind = kind, .state = state };

  if (kind == JB_ANSWER_REFUSED || kind == JB_ANSWER_UNAVAILABLE)
    reply.retry_after_ms = RETRY_AFTER_MS;
  jb_frontend_receive_reply (fixture->frontend, fixture->now, &reply);
}

/* Reply KIND to the copy INDEX.  */
static void
reply (struct fixture *fixture, uint32_t index, uint32_t kind)
{
  CU_ASSERT_FATAL (index < fixture->copy_count);
  reply_to (fixture, fixture->copies[index].call, kind, 0);
}

static void
handle_local (void *data, jb_time now, const struct jb_msg_request *request)
{
  struct fixture *fixture = data;

  (void)now;
  record_copy (fixture, OWN, request);
  if (fixture->own_reply != NO_REPLY)
    reply_to (fixture, request->call, fixture->own_reply, 0);
}

static struct jb_catalog *
create_catalog (TALLOC_CTX *mem)
{
  struct jb_catalog *catalog = talloc_zero (mem, struct jb_catalog);

  catalog->version = 1;
  catalog->pool_count = 2;
  catalog->pools = talloc_zero_array (catalog, struct jb_pool_settings, 2);
  catalog->pools[0].name = "pool-0";
  catalog->pools[1].name = "pool-1";
  catalog->queue_count = 1;
  catalog->queues = talloc_zero_array (catalog, struct jb_queue, 1);
  catalog->queues[0] = (struct jb_queue){ .name = "queue",
                                          .host = "queues.example",
                                          .path_prefix = "/q/",
                                          .pool = "pool-0",
                                          .allows_anonymous = true };
  jb_catalog_index_keys (catalog);
  return catalog;
}

/* Let OWNER report that it owns both pools since the claim with FENCE, or if
   that is 0, that it owns none.  */
static void
set_owner (struct fixture *fixture, uint64_t owner, uint64_t fence)
{
  struct jb_msg_ownership owned[]
      = { { "pool/pool-0", fence }, { "pool/pool-1", fence } };
  struct jb_msg_heartbeat heartbeat
      = { .name = owner == FIRST_OWNER ? "first" : "second",
          .address = "10.0.0.2:1",
          .zone = "zone",
          .store_reachable = true,
          .ownerships = owned,
          .ownership_count = fence != 0 ? G_N_ELEMENTS (owned) : 0 };

  (void)jb_members_receive_heartbeat (fixture->members, fixture->now,
                                      fixture->now, owner, &heartbeat);
}

static void
set_up (struct fixture *fixture)
{
  struct jb_members_options members = {
    .name = "own", .address = "10.0.0.1:1", .zone = "zone", .incarnation = OWN
  };
  struct jb_frontend_options frontend = { .incarnation = OWN,
                                          .catalog = &fixture->catalog,
                                          .bounds = &fixture->bounds,
                                          .owns_pool = owns_pool,
                                          .handle_local = handle_local,
                                          .data = fixture };

  memset (fixture, 0, sizeof *fixture);
  fixture->mem = talloc_new (NULL);
  fixture->now = NOW;
  fixture->bounds.max_row_bytes = 8192;
  fixture->own_reply = NO_REPLY;
  fixture->catalog = create_catalog (fixture->mem);
  fixture->driver = jb_driver_new (fixture->mem, &driver_ops, fixture);
  members.driver = fixture->driver;
  fixture->members = jb_members_new (fixture->mem, NOW, &members);
  frontend.driver = fixture->driver;
  frontend.members = fixture->members;
  fixture->frontend = jb_frontend_new (fixture->mem, &frontend);
  set_owner (fixture, FIRST_OWNER, 1);
}

static void
tear_down (struct fixture *fixture)
{
  talloc_free (fixture->mem);
}

/* Make a call of KIND about a job.  */
static void
make_call (struct fixture *fixture, enum jb_call_kind kind)
{
  struct jb_step step = { .task_count = 1,
                          .resources = { .cpu_milli = 1000, .memory_mb = 1 },
                          .estimate_ms = 1000 };
  struct jb_job_desc desc = { .spec = "spec", .step_count = 1 };
  struct jb_call call = { .kind = kind,
                          .host = "queues.example",
                          .path = "/q/0123456789abcdef",
                          .deadline_ms = DEADLINE_MS };

  desc.steps = &step;
  if (kind == JB_CALL_SUBMIT)
    call.desc = &desc;
  jb_frontend_receive_call (fixture->frontend, fixture->now, CALL, &call);
}

/* Let DURATION pass.  The host that owns the pools with FENCE sends heartbeats
   meanwhile, unless that is 0.  */
static void
wait_for (struct fixture *fixture, jb_time duration, uint64_t owner,
          uint64_t fence)
{
  for (jb_time end = fixture->now + duration; fixture->now < end;)
    {
      fixture->now += POLL_INTERVAL;
      if (fence != 0)
        set_owner (fixture, owner, fence);
      jb_frontend_run (fixture->frontend, fixture->now);
    }
}

/* Submit a job, and let its owner be late by so much that COUNT copies are
   sent.  */
static void
submit_copies (struct fixture *fixture, uint32_t count)
{
  make_call (fixture, JB_CALL_SUBMIT);
  if (count > 1)
    wait_for (fixture, (count - 1) * RESEND_INTERVAL, FIRST_OWNER, 1);
  CU_ASSERT_EQUAL_FATAL (fixture->copy_count, count);
  CU_ASSERT_EQUAL (fixture->answer_count, 0);
}

static void
assert_answer (const struct fixture *fixture, enum jb_answer_kind kind)
{
  CU_ASSERT_EQUAL (fixture->answer_count, 1);
  CU_ASSERT_EQUAL (fixture->answer.kind, kind);
}

/* The refusal of a request that was sent once is passed on at once.  */
static void
test_refused_once (void)
{
  static const enum jb_answer_kind kinds[]
      = { JB_ANSWER_REFUSED, JB_ANSWER_UNAVAILABLE };

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      struct fixture fixture;

      set_up (&fixture);
      submit_copies (&fixture, 1);
      reply (&fixture, 0, kinds[i]);
      assert_answer (&fixture, kinds[i]);
      CU_ASSERT_EQUAL (fixture.answer.retry_after_ms, RETRY_AFTER_MS);
      tear_down (&fixture);
    }
}

/* A client was told that its job was refused, or that the store was away, and
   the owner accepted the second copy 16 ms later.  */
static void
test_second_copy_accepted (void)
{
  static const enum jb_answer_kind kinds[]
      = { JB_ANSWER_REFUSED, JB_ANSWER_UNAVAILABLE };

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      struct fixture fixture;

      set_up (&fixture);
      submit_copies (&fixture, 2);
      reply (&fixture, 0, kinds[i]);
      CU_ASSERT_EQUAL (fixture.answer_count, 0);
      reply (&fixture, 1, JB_ANSWER_ACCEPTED);
      assert_answer (&fixture, JB_ANSWER_ACCEPTED);
      tear_down (&fixture);
    }
}

/* A refusal of all copies is true, and is not held.  */
static void
test_all_copies_refused (void)
{
  struct fixture fixture;

  set_up (&fixture);
  submit_copies (&fixture, 3);
  reply (&fixture, 0, JB_ANSWER_REFUSED);
  reply (&fixture, 2, JB_ANSWER_UNAVAILABLE);
  CU_ASSERT_EQUAL (fixture.answer_count, 0);
  reply (&fixture, 1, JB_ANSWER_REFUSED);
  assert_answer (&fixture, JB_ANSWER_REFUSED);
  CU_ASSERT_EQUAL (fixture.answer.retry_after_ms, RETRY_AFTER_MS);
  tear_down (&fixture);
}

/* A copy without a reply may have been accepted.  No further copy is sent once
   one was refused: it could be accepted, too.  */
static void
test_copy_without_reply (void)
{
  struct fixture fixture;

  set_up (&fixture);
  submit_copies (&fixture, 2);
  reply (&fixture, 1, JB_ANSWER_REFUSED);
  wait_for (&fixture, DEADLINE_MS * JB_MS, FIRST_OWNER, 1);
  assert_answer (&fixture, JB_ANSWER_UNKNOWN);
  CU_ASSERT_EQUAL (fixture.copy_count, 2);
  tear_down (&fixture);
}

/* A reply that arrives twice says nothing about the other copy.  */
static void
test_duplicated_refusal (void)
{
  struct fixture fixture;

  set_up (&fixture);
  submit_copies (&fixture, 2);
  reply (&fixture, 0, JB_ANSWER_REFUSED);
  reply (&fixture, 0, JB_ANSWER_REFUSED);
  CU_ASSERT_EQUAL (fixture.answer_count, 0);
  reply (&fixture, 1, JB_ANSWER_REFUSED);
  assert_answer (&fixture, JB_ANSWER_REFUSED);
  tear_down (&fixture);
}

/* The next owner refuses a copy while the former one, which lives, has not
   replied to its own and may have accepted it.  */
static void
test_refused_by_next_owner (void)
{
  static const enum jb_answer_kind kinds[]
      = { JB_ANSWER_REFUSED, JB_ANSWER_UNAVAILABLE };

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      struct fixture fixture;

      set_up (&fixture);
      submit_copies (&fixture, 1);
      set_owner (&fixture, FIRST_OWNER, 0);
      wait_for (&fixture, POLL_INTERVAL, SECOND_OWNER, 2);
      CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 2);
      CU_ASSERT_EQUAL (fixture.copies[1].owner, SECOND_OWNER);
      reply (&fixture, 1, kinds[i]);
      CU_ASSERT_EQUAL (fixture.answer_count, 0);
      reply (&fixture, 0, JB_ANSWER_ACCEPTED);
      assert_answer (&fixture, JB_ANSWER_ACCEPTED);
      tear_down (&fixture);
    }
}

/* The former owner replies that it does not own the pool, so it has not
   accepted its copy since the next one's claim, and the next owner knows what
   was accepted before: its refusal is passed on.  */
static void
test_former_owner_replies (void)
{
  struct fixture fixture;

  set_up (&fixture);
  submit_copies (&fixture, 1);
  set_owner (&fixture, FIRST_OWNER, 0);
  wait_for (&fixture, POLL_INTERVAL, SECOND_OWNER, 2);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 2);
  reply (&fixture, 1, JB_ANSWER_REFUSED);
  reply (&fixture, 0, JB_MSG_NOT_OWNER);
  assert_answer (&fixture, JB_ANSWER_REFUSED);
  CU_ASSERT_EQUAL (fixture.copy_count, 2);
  tear_down (&fixture);
}

/* The former owner refuses its copy late, after the next one, which may be
   writing the job, has released the pool.  */
static void
test_late_refusal_of_former_owner (void)
{
  struct fixture fixture;

  set_up (&fixture);
  submit_copies (&fixture, 1);
  set_owner (&fixture, FIRST_OWNER, 0);
  wait_for (&fixture, POLL_INTERVAL, SECOND_OWNER, 2);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 2);
  reply (&fixture, 1, JB_MSG_NOT_OWNER);
  reply (&fixture, 0, JB_ANSWER_REFUSED);
  CU_ASSERT_EQUAL (fixture.answer_count, 0);
  wait_for (&fixture, POLL_INTERVAL, SECOND_OWNER, 3);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 3);
  reply (&fixture, 2, JB_ANSWER_ACCEPTED);
  assert_answer (&fixture, JB_ANSWER_ACCEPTED);
  tear_down (&fixture);
}

/* An owner that releases its pool may be writing the job.  What it tells with
   JB_MSG_NOT_OWNER is not a refusal, so the next owner is asked, also if a
   copy was refused before.  */
static void
test_owner_released (void)
{
  struct fixture fixture;

  set_up (&fixture);
  submit_copies (&fixture, 2);
  reply (&fixture, 0, JB_ANSWER_REFUSED);
  set_owner (&fixture, FIRST_OWNER, 0);
  set_owner (&fixture, SECOND_OWNER, 2);
  reply (&fixture, 1, JB_MSG_NOT_OWNER);
  CU_ASSERT_EQUAL (fixture.answer_count, 0);
  wait_for (&fixture, POLL_INTERVAL, SECOND_OWNER, 2);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 3);
  CU_ASSERT_EQUAL (fixture.copies[2].owner, SECOND_OWNER);
  reply (&fixture, 2, JB_ANSWER_REFUSED);
  assert_answer (&fixture, JB_ANSWER_REFUSED);
  tear_down (&fixture);
}

/* Begin a search for the job of two copies, of which the second has told that
   another pool may know it.  No other pool knows it.  */
static void
search_pools (struct fixture *fixture)
{
  set_up (fixture);
  submit_copies (fixture, 2);
  reply_to (fixture, fixture->copies[1].call, JB_MSG_NOT_OWNER,
            JB_MSG_REASON_SEARCH_POOLS);
  CU_ASSERT_EQUAL_FATAL (fixture->copy_count, 3);
  CU_ASSERT_EQUAL (fixture->copies[2].kind, JB_REQUEST_SUBMIT_KNOWN);
}

/* The first copy, of a request that was replaced by others, is accepted
   late.  */
static void
test_copy_of_replaced_request (void)
{
  struct fixture fixture;

  search_pools (&fixture);
  reply (&fixture, 0, JB_ANSWER_ACCEPTED);
  assert_answer (&fixture, JB_ANSWER_ACCEPTED);
  tear_down (&fixture);

  search_pools (&fixture);
  reply (&fixture, 2, JB_ANSWER_NO_JOB);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 4);
  CU_ASSERT_EQUAL (fixture.copies[3].kind, JB_REQUEST_SUBMIT_SEARCHED);
  reply (&fixture, 3, JB_ANSWER_REFUSED);
  CU_ASSERT_EQUAL (fixture.answer_count, 0);
  reply (&fixture, 0, JB_ANSWER_ACCEPTED);
  assert_answer (&fixture, JB_ANSWER_ACCEPTED);
  tear_down (&fixture);
}

/* A refusal of a request that was replaced is not the answer, since the
   request that replaced it may be accepted.  */
static void
test_refusal_of_replaced_request (void)
{
  struct fixture fixture;

  search_pools (&fixture);
  reply (&fixture, 0, JB_ANSWER_REFUSED);
  CU_ASSERT_EQUAL (fixture.answer_count, 0);
  reply (&fixture, 2, JB_ANSWER_NO_JOB);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 4);
  reply (&fixture, 3, JB_ANSWER_REFUSED);
  assert_answer (&fixture, JB_ANSWER_REFUSED);
  tear_down (&fixture);
}

/* The owner may be this host itself, whose reply arrives while the request is
   forwarded.  */
static void
test_own_pool (void)
{
  struct fixture fixture;

  set_up (&fixture);
  fixture.owns_pool = true;
  fixture.own_reply = JB_ANSWER_REFUSED;
  make_call (&fixture, JB_CALL_SUBMIT);
  assert_answer (&fixture, JB_ANSWER_REFUSED);
  CU_ASSERT_EQUAL (fixture.answer.retry_after_ms, RETRY_AFTER_MS);
  tear_down (&fixture);

  /* The first copy was kept until the pool's rows are read.  */
  set_up (&fixture);
  fixture.owns_pool = true;
  make_call (&fixture, JB_CALL_SUBMIT);
  fixture.own_reply = JB_ANSWER_REFUSED;
  wait_for (&fixture, RESEND_INTERVAL, FIRST_OWNER, 0);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 2);
  CU_ASSERT_EQUAL (fixture.answer_count, 0);
  reply (&fixture, 0, JB_ANSWER_ACCEPTED);
  assert_answer (&fixture, JB_ANSWER_ACCEPTED);
  tear_down (&fixture);
}

/* An owner that hands its pool over was sent the same request after each event
   that its host handled, dozens of times in some milliseconds.  */
static void
test_own_pool_handed_over (void)
{
  struct fixture fixture;

  set_up (&fixture);
  fixture.owns_pool = true;
  fixture.own_reply = JB_MSG_NOT_OWNER;
  make_call (&fixture, JB_CALL_SUBMIT);
  for (uint32_t i = 0; i < 10; i++)
    jb_frontend_run (fixture.frontend, fixture.now);
  CU_ASSERT_EQUAL (fixture.copy_count, 1);
  wait_for (&fixture, 5 * POLL_INTERVAL, FIRST_OWNER, 0);
  CU_ASSERT_EQUAL (fixture.copy_count, 6);
  /* Another owner is asked at once.  */
  fixture.owns_pool = false;
  set_owner (&fixture, SECOND_OWNER, 2);
  jb_frontend_run (fixture.frontend, fixture.now);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 7);
  CU_ASSERT_EQUAL (fixture.copies[6].owner, SECOND_OWNER);
  tear_down (&fixture);
}

/* The reply to any copy of a query or cancellation is its answer.  */
static void
test_copies_of_other_calls (void)
{
  struct fixture fixture;

  set_up (&fixture);
  make_call (&fixture, JB_CALL_CANCEL);
  wait_for (&fixture, RESEND_INTERVAL, FIRST_OWNER, 1);
  CU_ASSERT_EQUAL_FATAL (fixture.copy_count, 2);
  reply (&fixture, 0, JB_ANSWER_CANCELLED);
  assert_answer (&fixture, JB_ANSWER_CANCELLED);
  tear_down (&fixture);

  set_up (&fixture);
  make_call (&fixture, JB_CALL_QUERY);
  wait_for (&fixture, RESEND_INTERVAL, FIRST_OWNER, 1);
  reply (&fixture, 0, JB_ANSWER_JOB_STATE);
  assert_answer (&fixture, JB_ANSWER_JOB_STATE);
  tear_down (&fixture);
}

/* Reply to the copy INDEX that PENDING jobs have not started, and whether
   other pools may have some, too.  */
static void
reply_count (struct fixture *fixture, uint32_t index, uint32_t pending,
             bool others_may_have)
{
  struct jb_msg_reply reply
      = { .kind = JB_ANSWER_PENDING_COUNT,
          .state = others_may_have ? JB_MSG_REASON_SEARCH_POOLS : 0,
          .pending = pending };

  CU_ASSERT_FATAL (index < fixture->copy_count);
  reply.call = fixture->copies[index].call;
  jb_frontend_receive_reply (fixture->frontend, fixture->now, &reply);
}

static void
ask_for_count (struct fixture *fixture)
{
  struct jb_call call = { .kind = JB_CALL_QUERY,
                          .host = "queues.example",
                          .path = "/q/",
                          .deadline_ms = DEADLINE_MS };

  jb_frontend_receive_call (fixture->frontend, fixture->now, CALL, &call);
  CU_ASSERT_EQUAL_FATAL (fixture->copy_count, 1);
}

/* The jobs that wait at the former pool of a queue were not counted.  */
static void
test_count_of_moved_queue (void)
{
  struct fixture fixture;

  set_up (&fixture);
  ask_for_count (&fixture);
  reply_count (&fixture, 0, 3, true);
  CU_ASSERT_EQUAL (fixture.answer_count, 0);
  reply_count (&fixture, 1, 20, true);
  assert_answer (&fixture, JB_ANSWER_PENDING_COUNT);
  CU_ASSERT_EQUAL (fixture.answer.pending, 23);
  tear_down (&fixture);
  set_up (&fixture);
  ask_for_count (&fixture);
  reply_count (&fixture, 0, 3, false);
  assert_answer (&fixture, JB_ANSWER_PENDING_COUNT);
  CU_ASSERT_EQUAL (fixture.answer.pending, 3);
  tear_down (&fixture);
}

/* The owner of the former pool does not answer.  */
static void
test_partial_count (void)
{
  struct fixture fixture;

  set_up (&fixture);
  ask_for_count (&fixture);
  reply_count (&fixture, 0, 3, true);
  wait_for (&fixture, (DEADLINE_MS + 100) * JB_MS, FIRST_OWNER, 1);
  assert_answer (&fixture, JB_ANSWER_PENDING_COUNT);
  CU_ASSERT_EQUAL (fixture.answer.pending, 3);
  tear_down (&fixture);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "refused once", test_refused_once },
    { "second copy accepted", test_second_copy_accepted },
    { "all copies refused", test_all_copies_refused },
    { "copy without a reply", test_copy_without_reply },
    { "duplicated refusal", test_duplicated_refusal },
    { "refused by the next owner", test_refused_by_next_owner },
    { "former owner replies", test_former_owner_replies },
    { "late refusal of the former owner", test_late_refusal_of_former_owner },
    { "owner released its pool", test_owner_released },
    { "copy of a replaced request", test_copy_of_replaced_request },
    { "refusal of a replaced request", test_refusal_of_replaced_request },
    { "own pool", test_own_pool },
    { "own pool handed over", test_own_pool_handed_over },
    { "copies of other calls", test_copies_of_other_calls },
    { "count of a moved queue", test_count_of_moved_queue },
    { "partial count", test_partial_count },
    { NULL, NULL }
  };

  return dp_test_main ("frontend", tests);
}
