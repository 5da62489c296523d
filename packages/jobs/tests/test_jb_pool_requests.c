/* Test of the requests that wait at an owner when it no longer owns the pool.

   Expected load: takeovers while jobs are being written and while the rows of
   the pool are being read.  A front end that gets no reply can't tell whether
   the job was accepted.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"
#include "ignoring_driver.h"

#include <string.h>

enum
{
  MEMBER = 2,
  WRITTEN_CALL = 10,
  DEFERRED_CALL = 11
};

struct fixture
{
  TALLOC_CTX *mem;
  struct jb_pool *pool;
  uint32_t reply_count;
  bool was_replied[2]; /* to WRITTEN_CALL and to DEFERRED_CALL */
};

static const struct jb_driver_ops driver_ops = { .submit = ignore_command,
                                                 .send = ignore_message,
                                                 .set_members = ignore_members,
                                                 .log = ignore_log };

static void
record_reply (void *data, uint64_t member, const struct jb_msg_reply *reply)
{
  struct fixture *fixture = data;

  CU_ASSERT_EQUAL (member, MEMBER);
  CU_ASSERT_EQUAL (reply->kind, JB_MSG_NOT_OWNER);
  CU_ASSERT_FATAL (reply->call == WRITTEN_CALL
                   || reply->call == DEFERRED_CALL);
  fixture->reply_count++;
  fixture->was_replied[reply->call - WRITTEN_CALL] = true;
}

static void
ignore_change (void *data, struct jb_pool *pool)
{
  (void)data;
  (void)pool;
}

/* A pool with a job that is being written, and with a request that waits for
   the rows.  */
static void
set_up (struct fixture *fixture)
{
  struct jb_pool_options options = { .name = "pool-0",
                                     .owner = "host",
                                     .incarnation = 1,
                                     .reply = record_reply,
                                     .state_changed = ignore_change,
                                     .data = fixture };
  struct jb_msg message
      = { .type = JB_MSG_REQUEST,
          .u.request = { .call = DEFERRED_CALL, .pool = "pool-0" } };
  struct jb_deferred_request *deferred;
  struct jb_job_desc *desc;
  struct jb_job *job;

  memset (fixture, 0, sizeof *fixture);
  fixture->mem = talloc_new (NULL);
  options.driver = jb_driver_new (fixture->mem, &driver_ops, fixture);
  fixture->pool = jb_pool_new (fixture->mem, &options);
  desc = talloc_zero (fixture->pool, struct jb_job_desc);
  desc->id = talloc_strdup (desc, "0123456789abcdef");
  job = jb_job_new (fixture->pool, desc);
  job->waiters = talloc_zero (job, struct jb_waiter);
  job->waiters->member = MEMBER;
  job->waiters->call = WRITTEN_CALL;
  g_hash_table_insert (fixture->pool->jobs, job->desc->id, job);
  deferred = talloc_zero (fixture->pool, struct jb_deferred_request);
  deferred->member = MEMBER;
  deferred->message
      = jb_msg_decode (deferred, jb_msg_encode (deferred, &message));
  g_ptr_array_add (fixture->pool->deferred_requests, deferred);
}

static void
assert_dismissed (struct fixture *fixture)
{
  CU_ASSERT_EQUAL (fixture->reply_count, 2);
  CU_ASSERT (fixture->was_replied[0]);
  CU_ASSERT (fixture->was_replied[1]);
  CU_ASSERT_EQUAL (fixture->pool->deferred_requests->len, 0);
  talloc_free (fixture->mem);
}

/* Requests that waited for the rows were dropped without a reply.  */
static void
test_release (void)
{
  struct fixture fixture;

  set_up (&fixture);
  jb_pool_release (fixture.pool, JB_SECOND, "test");
  assert_dismissed (&fixture);
}

/* No request was replied to when another host had taken the pool.  */
static void
test_ownership_lost (void)
{
  struct fixture fixture;

  set_up (&fixture);
  jb_pool_handle_ownership_lost (fixture.pool, JB_SECOND);
  assert_dismissed (&fixture);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "release", test_release },
          { "ownership lost", test_ownership_lost },
          { NULL, NULL } };

  return dp_test_main ("pool requests", tests);
}
