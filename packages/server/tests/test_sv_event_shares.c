/* Tests of the choice of the next event.  They guard against a class of events
   that waits while the event loop processes a flood of another one.  */

#include "sv_event_shares.h"

#include "dp_test.h"

#include <glib.h>

enum
{
  RUN_TIME_US = 20 * 1000 * 1000
};

/* The load of one class: an event each INTERVAL_US, 0 for a backlog without
   end, each of which takes COST_US; COST_US 0 stands for no events.  */
struct load
{
  int64_t interval_us;
  int64_t cost_us;
};

struct outcome
{
  int64_t used_us;
  int64_t longest_wait_us;
  unsigned count;
};

/* Let an event loop that does nothing else process LOADS for RUN_TIME_US.  */
static void
replay (const struct load loads[EVENT_CLASS_COUNT],
        struct outcome outcomes[EVENT_CLASS_COUNT])
{
  struct sv_event_shares shares = { 0 };
  int64_t now = 0;

  while (now < RUN_TIME_US)
    {
      bool waiting[EVENT_CLASS_COUNT];
      enum event_class class;
      int64_t wait_us;

      /* Event I of a class arrives at the time (I + 1) * its interval.  */
      for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
        waiting[i] = loads[i].cost_us > 0
                     && (outcomes[i].count + 1) * loads[i].interval_us <= now;
      class = sv_event_shares_choose (&shares, waiting);
      if (class == EVENT_CLASS_COUNT)
        {
          now += 100;
          continue;
        }
      wait_us = now - (outcomes[class].count + 1) * loads[class].interval_us;
      outcomes[class].longest_wait_us
          = MAX (outcomes[class].longest_wait_us, wait_us);
      outcomes[class].count++;
      outcomes[class].used_us += loads[class].cost_us;
      now += loads[class].cost_us;
      sv_event_shares_charge (&shares, class, loads[class].cost_us);
    }
}

/* An iteration of 64 peer messages of 82 ms each kept calls waiting for five
   seconds.  */
static void
test_calls_beside_slow_messages (void)
{
  const struct load loads[EVENT_CLASS_COUNT]
      = { [EVENT_CLASS_CALL] = { 10 * 1000, 1000 },
          [EVENT_CLASS_PEER] = { 0, 82 * 1000 } };
  struct outcome outcomes[EVENT_CLASS_COUNT] = { { 0 } };

  replay (loads, outcomes);
  CU_ASSERT_TRUE (outcomes[EVENT_CLASS_CALL].longest_wait_us <= 83 * 1000);
  CU_ASSERT_TRUE (outcomes[EVENT_CLASS_CALL].count > 1900);
}

/* Hosts whose heartbeats wait behind calls seem to be dead after a second.  */
static void
test_heartbeats_beside_flood_of_calls (void)
{
  const struct load loads[EVENT_CLASS_COUNT]
      = { [EVENT_CLASS_REPLY] = { 5 * 1000, 1000 },
          [EVENT_CLASS_CALL] = { 0, 2000 },
          [EVENT_CLASS_PEER] = { 4 * 1000, 100 } };
  struct outcome outcomes[EVENT_CLASS_COUNT] = { { 0 } };

  replay (loads, outcomes);
  CU_ASSERT_TRUE (outcomes[EVENT_CLASS_PEER].longest_wait_us <= 3100);
  CU_ASSERT_TRUE (outcomes[EVENT_CLASS_REPLY].longest_wait_us <= 2200);
}

/* While all classes have more than can be processed, each gets its part of the
   time, whatever its events cost.  */
static void
test_all_backlogged (void)
{
  const struct load loads[EVENT_CLASS_COUNT]
      = { [EVENT_CLASS_REPLY] = { 0, 300 },
          [EVENT_CLASS_CALL] = { 0, 20 },
          [EVENT_CLASS_PEER] = { 0, 20 * 1000 },
          [EVENT_CLASS_VIEW] = { 0, 5000 } };
  struct outcome outcomes[EVENT_CLASS_COUNT] = { { 0 } };

  replay (loads, outcomes);
  for (unsigned i = 0; i < EVENT_CLASS_VIEW; i++)
    {
      int64_t part_us = RUN_TIME_US / 13 * 4;

      CU_ASSERT_TRUE (ABS (outcomes[i].used_us - part_us) < part_us / 20);
    }
  CU_ASSERT_TRUE (ABS (outcomes[EVENT_CLASS_VIEW].used_us - RUN_TIME_US / 13)
                  < RUN_TIME_US / 200);
}

/* A class without events for a long time must not then keep the others waiting
   for as long.  */
static void
test_idle_class_saves_nothing (void)
{
  struct sv_event_shares shares = { 0 };
  bool waiting[EVENT_CLASS_COUNT] = { [EVENT_CLASS_CALL] = true };
  unsigned calls = 0;

  for (unsigned i = 0; i < 10000; i++)
    sv_event_shares_charge (&shares, sv_event_shares_choose (&shares, waiting),
                            1000);
  waiting[EVENT_CLASS_PEER] = true;
  for (unsigned i = 0; i < 100; i++)
    {
      enum event_class class = sv_event_shares_choose (&shares, waiting);

      calls += class == EVENT_CLASS_CALL;
      sv_event_shares_charge (&shares, class, 1000);
    }
  CU_ASSERT_TRUE (calls >= 49);
}

/* Events that take less than the clock's resolution must not go first for
   ever.  */
static void
test_events_without_cost (void)
{
  struct sv_event_shares shares = { 0 };
  const bool waiting[EVENT_CLASS_COUNT]
      = { [EVENT_CLASS_REPLY] = true, [EVENT_CLASS_PEER] = true };
  unsigned peers = 0;

  for (unsigned i = 0; i < 100; i++)
    {
      enum event_class class = sv_event_shares_choose (&shares, waiting);

      peers += class == EVENT_CLASS_PEER;
      sv_event_shares_charge (&shares, class, 0);
    }
  CU_ASSERT_EQUAL (peers, 50);
}

static void
test_nothing_waits (void)
{
  struct sv_event_shares shares = { 0 };
  const bool waiting[EVENT_CLASS_COUNT] = { false };

  CU_ASSERT_EQUAL (sv_event_shares_choose (&shares, waiting),
                   EVENT_CLASS_COUNT);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "calls beside slow peer messages",
            test_calls_beside_slow_messages },
          { "heartbeats beside a flood of calls",
            test_heartbeats_beside_flood_of_calls },
          { "all classes have a backlog", test_all_backlogged },
          { "an idle class saves nothing up", test_idle_class_saves_nothing },
          { "events too short to measure", test_events_without_cost },
          { "nothing waits", test_nothing_waits },
          { NULL, NULL } };

  return dp_test_main ("sv_event_shares", tests);
}
