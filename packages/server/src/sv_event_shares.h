#ifndef SV_EVENT_SHARES_H
#define SV_EVENT_SHARES_H

/* Which class of events the event loop processes next.

   Each class that has events gets an equal part of the processing time, views
   a quarter of that: a peer message may take a hundred times as long as a
   call, so equal numbers of events would not do.  A class that was idle has
   saved nothing up, but goes before those that have been processed meanwhile:
   while each class gets less than its part, an event waits for one event of
   each other class at most, and one of a view for four.

   Load: up to some thousand events a second of each class, at 10 us to 100 ms
   of processing time each; views some times a minute.  Called once for each
   event by the event loop.  */

#include <stdbool.h>
#include <stdint.h>

enum event_class
{
  EVENT_CLASS_REPLY, /* to commands: they renew leases and report ends */
  EVENT_CLASS_CALL,  /* of clients */
  EVENT_CLASS_PEER,  /* messages of other hosts */
  EVENT_CLASS_VIEW,  /* for operators */
  EVENT_CLASS_COUNT
};

/* Initialized with zeros.  */
struct sv_event_shares
{
  /* Processing time that each class has been charged, and the lowest of those
     that had events at the last choice; in microseconds, weighted.  */
  int64_t charged_us[EVENT_CLASS_COUNT];
  int64_t clock_us;
};

/* Return the class of the next event among those that have events, as WAITING
   says, or EVENT_CLASS_COUNT if none has.  */
enum event_class sv_event_shares_choose (struct sv_event_shares *shares,
                                         const bool waiting[]);

/* Record that an event of CLASS took COST_US microseconds.  */
void sv_event_shares_charge (struct sv_event_shares *shares,
                             enum event_class class, int64_t cost_us);

#endif
