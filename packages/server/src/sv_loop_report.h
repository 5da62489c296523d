#ifndef SV_LOOP_REPORT_H
#define SV_LOOP_REPORT_H

/* What the event loop logs about itself when it is late: iterations that take
   too long, events that wait too long, and events that are refused, with what
   took longest.  Used by the event loop alone, some thousand times a
   second.  */

#include "jb_msg.h"
#include "sv_event_queue.h"

/* An iteration of the event loop that takes longer is late, and so is an event
   that waits longer: meanwhile no answer is read, and no lease is extended. */
#define SV_LATE_TIME (250 * JB_MS)

/* Writes a log line with the COUNT FIELDS, as in struct jb_driver_ops.  */
typedef void sv_loop_log (void *context, enum jb_level level,
                          const char *event, const struct jb_log_field *fields,
                          uint32_t count);

/* An event that was processed.  */
struct sv_processed_event
{
  enum event_type type;
  enum jb_msg_type message; /* of an EVENT_PEER_MESSAGE */
  jb_time duration;         /* 0: there is none */
};

/* Initialized with the first two members, and zeros.  */
struct sv_loop_report
{
  sv_loop_log *log;
  void *context;
  /* Since the start of the iteration.  */
  jb_time start;
  uint32_t event_count;
  struct sv_processed_event slowest;
  /* Since the last line about events that waited too long.  */
  jb_time next_wait_line;
  jb_time longest_wait;
  enum event_type longest_wait_type;
  struct sv_processed_event slowest_since;
  /* About events that were refused.  */
  jb_time next_refusal_line;
  uint64_t refused[EVENT_CLASS_COUNT]; /* as last logged */
};

/* An iteration begins at the time START.  */
void sv_loop_report_begin (struct sv_loop_report *report, jb_time start);

/* EVENT was processed from START to END.  */
void sv_loop_report_event (struct sv_loop_report *report,
                           const struct event *event, jb_time start,
                           jb_time end);

/* The iteration ends at the time NOW, having processed its events until
   PROCESSED_AT.  Log what is to be logged:

   event-loop-late  the iteration is late
   events-delayed   events have waited longer than SV_LATE_TIME; at most once a
                    second
   events-refused   events of a class were refused; at most once a second

   Return whether the iteration is late.  */
bool sv_loop_report_end (struct sv_loop_report *report,
                         const struct sv_event_queue *queue,
                         jb_time processed_at, jb_time now);

#endif
