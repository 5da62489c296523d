#include "sv_stop.h"

#include "dp_test.h"
#include "jb_host.h"

/* Each test plays a course of a stop against the decision alone, in virtual
   time.  Fails if a stop ends while clients are connected, or is so late that
   the process is killed.  */

#define REQUESTED_AT (1000 * JB_SECOND)
#define GRACE (6 * JB_SECOND)
#define STEP (20 * JB_MS)

static const struct sv_stop stop
    = { .requested_at = REQUESTED_AT, .grace = GRACE };

static struct sv_stop_state state;
static jb_time now;
static jb_time given_up_at; /* 0: not */

/* Let the host stop after HOST_STOPPED, and the last client go after
   LAST_CLIENT, or when all calls are given up if that is earlier and the
   client lets go then.  Return the time after which the stop ends.  */
static jb_time
play (jb_time host_stopped, jb_time last_client, bool lets_go)
{
  enum sv_stop_action action = SV_STOP_SERVE;

  given_up_at = 0;
  for (now = REQUESTED_AT; action != SV_STOP_END; now += STEP)
    {
      enum sv_stop_action before = action;
      bool gone
          = now >= REQUESTED_AT + last_client || (lets_go && given_up_at != 0);

      state.host_stopped = now >= REQUESTED_AT + host_stopped;
      state.host_stopped_at = REQUESTED_AT + host_stopped;
      state.connections = gone ? 0 : 1;
      action = sv_stop_decide (&stop, now, &state);
      /* What was refused is not served again.  */
      CU_ASSERT_TRUE_FATAL (action >= before);
      if (action == SV_STOP_GIVE_UP && given_up_at == 0)
        given_up_at = now;
      CU_ASSERT_TRUE (action != SV_STOP_REFUSE || state.host_stopped);
    }
  return now - STEP - REQUESTED_AT;
}

/* Without clients, a stop ends as soon as the balancer has noticed it and the
   host is idle.  */
static void
test_end_without_clients (void)
{
  jb_time drained = jb_host_drain_time (GRACE);

  state = (struct sv_stop_state){ 0 };
  CU_ASSERT_EQUAL (play (drained, 0, true), drained);
  CU_ASSERT_EQUAL (play (3 * JB_SECOND, 0, true), 3 * JB_SECOND);
  CU_ASSERT_EQUAL (given_up_at, 0);
}

/* A client that is still connected when the host is idle is waited for, far
   longer than a fixed time for responses to leave.  */
static void
test_connected_client (void)
{
  state = (struct sv_stop_state){ 0 };
  CU_ASSERT_EQUAL (play (2200 * JB_MS, 4 * JB_SECOND, true), 4 * JB_SECOND);
  CU_ASSERT_EQUAL (given_up_at, 0);
}

/* A client that sends only half of its request, and an event loop that is
   late, are given up in time before the process is killed.  */
static void
test_give_up (void)
{
  state = (struct sv_stop_state){ 0 };
  CU_ASSERT_TRUE (play (2200 * JB_MS, 60 * JB_SECOND, true) < GRACE);
  CU_ASSERT_NOT_EQUAL (given_up_at, 0);
  CU_ASSERT_TRUE (play (60 * JB_SECOND, 0, true) < GRACE);
  CU_ASSERT_NOT_EQUAL (given_up_at, 0);
  CU_ASSERT_TRUE (play (60 * JB_SECOND, 60 * JB_SECOND, false) < GRACE);
  CU_ASSERT_TRUE (now - given_up_at >= 200 * JB_MS);
}

/* Bytes to other entry hosts are waited for, but not for ever: one of the
   hosts may be unreachable.  */
static void
test_peer_bytes (void)
{
  jb_time end;

  state = (struct sv_stop_state){ .peer_bytes = 100 };
  end = play (3 * JB_SECOND, 0, true);
  CU_ASSERT_TRUE (end > 3 * JB_SECOND);
  CU_ASSERT_TRUE (end <= 3500 * JB_MS);
}

/* Without a grace period, the process ends at once.  */
static void
test_no_grace (void)
{
  struct sv_stop at_once = { .requested_at = REQUESTED_AT };

  state = (struct sv_stop_state){ .connections = 1 };
  CU_ASSERT_EQUAL (sv_stop_decide (&at_once, REQUESTED_AT, &state),
                   SV_STOP_END);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "end without clients", test_end_without_clients },
    { "a client that is still connected", test_connected_client },
    { "what is given up", test_give_up },
    { "bytes to other hosts", test_peer_bytes },
    { "no grace period", test_no_grace },
    { NULL, NULL },
  };

  return dp_test_main ("planned stop", tests);
}
