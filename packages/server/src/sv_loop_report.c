#include "sv_loop_report.h"

/* Time between two log lines about events that wait or are refused.  */
#define LINE_INTERVAL (1 * JB_SECOND)

static const char *const type_names[]
    = { [EVENT_CLIENT_CALL] = "call",  [EVENT_COMMAND_REPLY] = "reply",
        [EVENT_PEER_MESSAGE] = "peer", [EVENT_VIEW_REQUEST] = "view",
        [EVENT_STOP] = "stop",         [EVENT_NEW_BOUNDS] = "bounds" };

void
sv_loop_report_begin (struct sv_loop_report *report, jb_time start)
{
  report->start = start;
  report->event_count = 0;
  report->slowest = (struct sv_processed_event){ 0 };
}

void
sv_loop_report_event (struct sv_loop_report *report, const struct event *event,
                      jb_time start, jb_time end)
{
  jb_time wait = start - event->received_at;
  struct sv_processed_event processed
      = { .type = event->type, .duration = end - start };

  report->event_count++;
  if (wait > report->longest_wait)
    {
      report->longest_wait = wait;
      report->longest_wait_type = event->type;
    }
  if (processed.duration <= report->slowest.duration
      && processed.duration <= report->slowest_since.duration)
    return;
  if (event->type == EVENT_PEER_MESSAGE)
    processed.message = jb_msg_peek_type (event->message);
  if (processed.duration > report->slowest.duration)
    report->slowest = processed;
  if (processed.duration > report->slowest_since.duration)
    report->slowest_since = processed;
}

enum
{
  COMMON_FIELD_COUNT = 6
};

/* Set FIELDS to what all lines have: the event that took longest, and how many
   events wait.  */
static void
set_common_fields (struct jb_log_field fields[COMMON_FIELD_COUNT],
                   const struct sv_processed_event *slowest,
                   const struct sv_event_queue *queue)
{
  bool any = slowest->duration > 0;

  fields[0] = (struct jb_log_field){ "slowest",
                                     any ? type_names[slowest->type] : NULL };
  fields[1] = (struct jb_log_field){ "message",
                                     any && slowest->type == EVENT_PEER_MESSAGE
                                         ? jb_msg_type_name (slowest->message)
                                         : NULL };
  fields[2] = (struct jb_log_field){ "slowest_ms",
                                     any ? jb_itoa (slowest->duration / JB_MS)
                                         : NULL };
  for (unsigned i = EVENT_CLASS_REPLY; i <= EVENT_CLASS_PEER; i++)
    fields[3 + i]
        = (struct jb_log_field){ sv_event_class_name (i),
                                 jb_itoa (sv_event_queue_count (queue, i)) };
}

static void
log_late_iteration (const struct sv_loop_report *report,
                    const struct sv_event_queue *queue, jb_time processed_at,
                    jb_time now)
{
  struct jb_log_field fields[COMMON_FIELD_COUNT + 3];

  set_common_fields (fields, &report->slowest, queue);
  fields[COMMON_FIELD_COUNT]
      = (struct jb_log_field){ "ms", jb_itoa ((now - report->start) / JB_MS) };
  fields[COMMON_FIELD_COUNT + 1]
      = (struct jb_log_field){ "events", jb_itoa (report->event_count) };
  fields[COMMON_FIELD_COUNT + 2] = (struct jb_log_field){
    "events_ms", jb_itoa ((processed_at - report->start) / JB_MS)
  };
  report->log (report->context, JB_LEVEL_WARN, "event-loop-late", fields,
               G_N_ELEMENTS (fields));
}

static void
log_delayed_events (struct sv_loop_report *report,
                    const struct sv_event_queue *queue, jb_time now)
{
  struct jb_log_field fields[COMMON_FIELD_COUNT + 2];

  if (report->longest_wait < SV_LATE_TIME || now < report->next_wait_line)
    return;
  set_common_fields (fields, &report->slowest_since, queue);
  fields[COMMON_FIELD_COUNT]
      = (struct jb_log_field){ "type", type_names[report->longest_wait_type] };
  fields[COMMON_FIELD_COUNT + 1]
      = (struct jb_log_field){ "waited_ms",
                               jb_itoa (report->longest_wait / JB_MS) };
  report->log (report->context, JB_LEVEL_WARN, "events-delayed", fields,
               G_N_ELEMENTS (fields));
  report->next_wait_line = now + LINE_INTERVAL;
  report->longest_wait = 0;
  report->slowest_since = (struct sv_processed_event){ 0 };
}

/* The event loop logs what other threads have refused, so that the limit of
   lines needs no lock.  */
static void
log_refused_events (struct sv_loop_report *report,
                    const struct sv_event_queue *queue, jb_time now)
{
  bool logged = false;

  if (now < report->next_refusal_line)
    return;
  for (unsigned i = 0; i < EVENT_CLASS_COUNT; i++)
    {
      uint64_t count = sv_event_queue_refused (queue, i);
      struct jb_log_field fields[COMMON_FIELD_COUNT + 2];

      if (count == report->refused[i])
        continue;
      set_common_fields (fields, &report->slowest_since, queue);
      fields[COMMON_FIELD_COUNT]
          = (struct jb_log_field){ "class", sv_event_class_name (i) };
      fields[COMMON_FIELD_COUNT + 1] = (struct jb_log_field){
        "count", jb_itoa ((int64_t)(count - report->refused[i]))
      };
      report->log (report->context, JB_LEVEL_WARN, "events-refused", fields,
                   G_N_ELEMENTS (fields));
      report->refused[i] = count;
      logged = true;
    }
  if (logged)
    report->next_refusal_line = now + LINE_INTERVAL;
}

bool
sv_loop_report_end (struct sv_loop_report *report,
                    const struct sv_event_queue *queue, jb_time processed_at,
                    jb_time now)
{
  bool is_late = now - report->start >= SV_LATE_TIME;

  if (is_late)
    log_late_iteration (report, queue, processed_at, now);
  log_refused_events (report, queue, now);
  log_delayed_events (report, queue, now);
  return is_late;
}
