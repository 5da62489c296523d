#include "ht_admission.h"

#include "dp_test.h"

#include <string.h>

/* Each test plays a pattern of clients against the decisions alone, in virtual
   time.  */

enum
{
  MAX_CONNECTIONS = 20,
  CROWD = 50,
  MAX_BODY_BYTES = 100 * 1000
};

#define SECOND (G_GINT64_CONSTANT (1000000))

static const struct ht_admission_options options
    = { .max_connections = MAX_CONNECTIONS,
        .max_body_bytes = MAX_BODY_BYTES,
        .idle_timeout_us = 60 * SECOND,
        .header_timeout_us = 10 * SECOND,
        .body_timeout_us = 30 * SECOND,
        .discard_timeout_us = 2 * SECOND,
        .stalled_after_us = 1 * SECOND };

/* Of the running test.  */
static struct ht_admission *admission;
static struct ht_admitted clients[CROWD];
static int64_t now;
static unsigned rejections[HT_REJECTION_COUNT];

static void
set_up (void)
{
  talloc_free (admission);
  admission = ht_admission_new (NULL, &options);
  now = 1000 * SECOND;
  memset (rejections, 0, sizeof rejections);
}

/* Close all that have to go, as the server does after each change.  */
static void
close_victims (void)
{
  enum ht_rejection reason;

  while (ht_admission_next_victim (admission, now, &reason) != NULL)
    rejections[reason]++;
}

static void
open_client (struct ht_admitted *client)
{
  ht_admission_open (admission, client, now);
  close_victims ();
}

static void
enter (struct ht_admitted *client, enum ht_connection_state state)
{
  ht_admission_enter (admission, client, state, now);
  close_victims ();
}

static void
set_body (struct ht_admitted *client, size_t bytes)
{
  ht_admission_set_body (admission, client, bytes);
  close_victims ();
}

/* Let CLIENT send a request of BYTES, and return whether it gets its response.
   It needs 20 ms in all.  */
static bool
call (struct ht_admitted *client, size_t bytes)
{
  bool refused;

  enter (client, HT_CONNECTION_HEADER);
  enter (client, HT_CONNECTION_BODY);
  now += 10 * 1000;
  set_body (client, bytes);
  refused = !ht_admission_may_wait (admission, client);
  enter (client, HT_CONNECTION_WAITING);
  now += 10 * 1000;
  set_body (client, 0);
  enter (client, HT_CONNECTION_IDLE);
  return !refused && client->state == HT_CONNECTION_IDLE;
}

/* Clients that stop short of the end of a body leave no connection to others:
   a crowd that takes all of them, first at once and then one each 50 ms.  */
static void
test_crowd_takes_all_connections (void)
{
  struct ht_admitted ordinary;

  set_up ();
  for (int i = 0; i < CROWD; i++)
    {
      open_client (&clients[i]);
      enter (&clients[i], HT_CONNECTION_HEADER);
    }
  CU_ASSERT_EQUAL (ht_admission_count (admission), MAX_CONNECTIONS);
  CU_ASSERT_EQUAL (rejections[HT_REJECTION_CONNECTIONS],
                   CROWD - MAX_CONNECTIONS);
  CU_ASSERT_EQUAL (clients[0].state, HT_CONNECTION_CLOSING);
  for (int i = 0; i < CROWD; i++)
    {
      ht_admission_close (admission, &clients[i]);
      open_client (&clients[i]);
      open_client (&ordinary);
      CU_ASSERT_TRUE (call (&ordinary, 100));
      ht_admission_close (admission, &ordinary);
      now += SECOND / 20;
    }
}

/* A crowd grows its bodies piece by piece: they stay within the memory for
   bodies, and an ordinary request is still served.  */
static void
test_crowd_holds_bodies (void)
{
  struct ht_admitted ordinary;

  set_up ();
  for (int i = 0; i < MAX_CONNECTIONS - 1; i++)
    {
      open_client (&clients[i]);
      enter (&clients[i], HT_CONNECTION_HEADER);
      enter (&clients[i], HT_CONNECTION_BODY);
    }
  for (size_t bytes = 1000; bytes <= 10000; bytes += 1000)
    for (int i = 0; i < MAX_CONNECTIONS - 1; i++)
      {
        set_body (&clients[i], bytes);
        CU_ASSERT_TRUE (ht_admission_body_bytes (admission) <= MAX_BODY_BYTES);
      }
  CU_ASSERT_TRUE (rejections[HT_REJECTION_MEMORY] > 0);
  open_client (&ordinary);
  CU_ASSERT_TRUE (call (&ordinary, 10000));
}

/* Whole bodies whose requests wait for their responses don't take all of the
   memory: the others are refused, and a request without a body is served.  */
static void
test_crowd_waits_with_bodies (void)
{
  unsigned refused = 0;
  struct ht_admitted ordinary;

  set_up ();
  for (int i = 0; i < MAX_CONNECTIONS - 1; i++)
    {
      open_client (&clients[i]);
      enter (&clients[i], HT_CONNECTION_BODY);
      set_body (&clients[i], 10000);
      if (!ht_admission_may_wait (admission, &clients[i]))
        {
          refused++;
          set_body (&clients[i], 0);
        }
      enter (&clients[i], HT_CONNECTION_WAITING);
    }
  CU_ASSERT_EQUAL (refused, MAX_CONNECTIONS - 1 - 2);
  CU_ASSERT_EQUAL (rejections[HT_REJECTION_MEMORY], 0);
  open_client (&ordinary);
  CU_ASSERT_TRUE (call (&ordinary, 0));
}

/* A connection whose request waits for its response is never closed, even if
   all others wait, too.  */
static void
test_waiting_is_kept (void)
{
  set_up ();
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    {
      open_client (&clients[i]);
      enter (&clients[i], HT_CONNECTION_WAITING);
    }
  now += 100 * SECOND;
  open_client (&clients[MAX_CONNECTIONS]);
  CU_ASSERT_EQUAL (clients[MAX_CONNECTIONS].state, HT_CONNECTION_CLOSING);
  CU_ASSERT_PTR_NULL (ht_admission_next_overdue (admission, now));
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    CU_ASSERT_EQUAL (clients[i].state, HT_CONNECTION_WAITING);
}

/* A request that was held back for more than a second goes before a connection
   that has been idle for longer, a fresh one after it.  */
static void
test_stalled_before_idle (void)
{
  set_up ();
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    {
      open_client (&clients[i]);
      if (i < MAX_CONNECTIONS - 2)
        CU_ASSERT_TRUE (call (&clients[i], 0));
    }
  open_client (&clients[MAX_CONNECTIONS]);
  CU_ASSERT_EQUAL (clients[0].state, HT_CONNECTION_CLOSING);
  now += 2 * SECOND;
  open_client (&clients[MAX_CONNECTIONS + 1]);
  CU_ASSERT_EQUAL (clients[MAX_CONNECTIONS - 2].state, HT_CONNECTION_CLOSING);
  CU_ASSERT_EQUAL (clients[1].state, HT_CONNECTION_IDLE);
}

/* The time for a header and for a body is one for the whole of it: bytes that
   arrive don't begin it anew.  */
static void
test_deadlines (void)
{
  set_up ();
  for (int i = 0; i < 5; i++)
    open_client (&clients[i]);
  enter (&clients[1], HT_CONNECTION_HEADER);
  enter (&clients[2], HT_CONNECTION_BODY);
  enter (&clients[3], HT_CONNECTION_DISCARDING);
  CU_ASSERT_TRUE (call (&clients[4], 0));
  CU_ASSERT_PTR_NULL (ht_admission_next_overdue (admission, now));
  now += 2 * SECOND;
  CU_ASSERT_PTR_EQUAL (ht_admission_next_overdue (admission, now),
                       &clients[3]);
  for (size_t bytes = 1; now < 1009 * SECOND; now += SECOND)
    set_body (&clients[2], bytes++);
  CU_ASSERT_PTR_NULL (ht_admission_next_overdue (admission, now));
  now = 1010 * SECOND;
  CU_ASSERT_PTR_EQUAL (ht_admission_next_overdue (admission, now),
                       &clients[1]);
  CU_ASSERT_PTR_NULL (ht_admission_next_overdue (admission, now));
  now = 1030 * SECOND;
  CU_ASSERT_PTR_EQUAL (ht_admission_next_overdue (admission, now),
                       &clients[2]);
  now = 1061 * SECOND;
  CU_ASSERT_PTR_NOT_NULL (ht_admission_next_overdue (admission, now));
  CU_ASSERT_PTR_NOT_NULL (ht_admission_next_overdue (admission, now));
  CU_ASSERT_PTR_NULL (ht_admission_next_overdue (admission, now));
  CU_ASSERT_EQUAL (ht_admission_count (admission), 0);
  CU_ASSERT_EQUAL (ht_admission_body_bytes (admission), 0);
}

/* A connection that is to be closed counts once: what its client still sends,
   and its end, change nothing.  */
static void
test_closing_counts_once (void)
{
  set_up ();
  for (int i = 0; i <= MAX_CONNECTIONS; i++)
    {
      open_client (&clients[i]);
      set_body (&clients[i], 100);
    }
  CU_ASSERT_EQUAL (clients[0].state, HT_CONNECTION_CLOSING);
  set_body (&clients[0], 200);
  enter (&clients[0], HT_CONNECTION_WAITING);
  CU_ASSERT_EQUAL (clients[0].state, HT_CONNECTION_CLOSING);
  for (int i = 0; i <= MAX_CONNECTIONS; i++)
    ht_admission_close (admission, &clients[i]);
  CU_ASSERT_EQUAL (ht_admission_count (admission), 0);
  CU_ASSERT_EQUAL (ht_admission_body_bytes (admission), 0);
}

/* The memory is divided so that connections leave room for bodies.  */
static void
test_division (void)
{
  struct ht_admission_options divided;

  ht_admission_divide (&divided, 1000 * 1000, 1000, 100, 5000);
  CU_ASSERT_EQUAL (divided.max_connections, 100);
  CU_ASSERT_EQUAL (divided.max_body_bytes, 900 * 1000);
  ht_admission_divide (&divided, 1000 * 1000, 1000, 5000, 5000);
  CU_ASSERT_EQUAL (divided.max_connections, 750);
  CU_ASSERT_EQUAL (divided.max_body_bytes, 250 * 1000);
  ht_admission_divide (&divided, 1000, 1000, 10, 5000);
  CU_ASSERT_EQUAL (divided.max_connections, 1);
  CU_ASSERT_EQUAL (divided.max_body_bytes, 20 * 1000);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "a crowd takes all connections", test_crowd_takes_all_connections },
    { "a crowd holds bodies", test_crowd_holds_bodies },
    { "a crowd waits with bodies", test_crowd_waits_with_bodies },
    { "waiting connections are kept", test_waiting_is_kept },
    { "stalled before idle", test_stalled_before_idle },
    { "deadlines", test_deadlines },
    { "closing counts once", test_closing_counts_once },
    { "division of the memory", test_division },
    { NULL, NULL },
  };
  int status = dp_test_main ("admission of connections", tests);

  talloc_free (admission);
  return status;
}
