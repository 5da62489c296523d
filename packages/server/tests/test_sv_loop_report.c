/* Tests of the log lines about a late event loop.  They guard against a loop
   that is late without a trace of what took the time, and against floods of
   lines.  */

#include "sv_loop_report.h"

#include "dp_test.h"

#include <string.h>

/* The lines that were logged: "EVENT NAME=VALUE NAME=VALUE...\n" each.  */
static char *lines;

static void
record_line (void *context, enum jb_level level, const char *event,
             const struct jb_log_field *fields, uint32_t count)
{
  (void)context;
  (void)level;
  lines = talloc_strdup_append_buffer (lines, event);
  for (uint32_t i = 0; i < count; i++)
    if (fields[i].value != NULL)
      lines = talloc_asprintf_append_buffer (lines, " %s=%s", fields[i].name,
                                             fields[i].value);
  lines = talloc_strdup_append_buffer (lines, "\n");
}

static unsigned
count_lines (const char *event)
{
  unsigned count = 0;

  for (const char *p = lines; (p = strstr (p, event)) != NULL; p++)
    count++;
  return count;
}

/* Report an event of TYPE that came at RECEIVED_AT and was processed from
   START to END.  */
static void
report_event (struct sv_loop_report *report, enum event_type type,
              struct ba_bytes message, jb_time received_at, jb_time start,
              jb_time end)
{
  struct event event
      = { .type = type, .message = message, .received_at = received_at };

  sv_loop_report_event (report, &event, start, end);
}

static void
test_late_iteration (void)
{
  struct sv_loop_report report = { .log = record_line };
  struct sv_event_queue *queue = sv_event_queue_new (NULL);
  struct jb_msg message = { .type = JB_MSG_CATALOG_REQUEST };
  struct ba_bytes bytes = jb_msg_encode (queue, &message);
  struct ba_bytes none = { 0 };
  struct event *waiting = talloc_zero (NULL, struct event);

  lines = talloc_strdup (NULL, "");
  waiting->type = EVENT_CLIENT_CALL;
  sv_event_queue_push (queue, 0, waiting);
  sv_loop_report_begin (&report, 0);
  report_event (&report, EVENT_CLIENT_CALL, none, 0, 0, 10 * JB_MS);
  report_event (&report, EVENT_PEER_MESSAGE, bytes, 0, 10 * JB_MS,
                290 * JB_MS);
  report_event (&report, EVENT_COMMAND_REPLY, none, 290 * JB_MS, 290 * JB_MS,
                295 * JB_MS);
  CU_ASSERT_TRUE (
      sv_loop_report_end (&report, queue, 295 * JB_MS, 300 * JB_MS));
  CU_ASSERT_STRING_EQUAL (
      lines, "event-loop-late slowest=peer message=catalog-request "
             "slowest_ms=280 replies=0 calls=1 peers=0 ms=300 events=3 "
             "events_ms=295\n");
  /* Nothing of it is left for the next iteration.  */
  sv_loop_report_begin (&report, 300 * JB_MS);
  CU_ASSERT_FALSE (
      sv_loop_report_end (&report, queue, 300 * JB_MS, 301 * JB_MS));
  CU_ASSERT_EQUAL (count_lines ("event-loop-late"), 1);
  talloc_free (lines);
  talloc_free (queue);
}

/* Iterations are short, but a backlog keeps events waiting: no iteration is
   late, and only the wait shows it.  */
static void
test_delayed_events (void)
{
  struct sv_loop_report report = { .log = record_line };
  struct sv_event_queue *queue = sv_event_queue_new (NULL);
  struct ba_bytes none = { 0 };

  lines = talloc_strdup (NULL, "");
  for (jb_time now = 10 * JB_SECOND; now < 13 * JB_SECOND; now += 30 * JB_MS)
    {
      sv_loop_report_begin (&report, now);
      report_event (&report, EVENT_CLIENT_CALL, none, now - 2 * JB_SECOND, now,
                    now + 25 * JB_MS);
      CU_ASSERT_FALSE (sv_loop_report_end (&report, queue, now + 25 * JB_MS,
                                           now + 26 * JB_MS));
    }
  CU_ASSERT_EQUAL (count_lines ("events-delayed"), 3);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (lines, "events-delayed slowest=call slowest_ms=25 replies=0 "
                     "calls=0 peers=0 type=call waited_ms=2000\n"));
  talloc_free (lines);
  talloc_free (queue);
}

static void
test_refused_events (void)
{
  struct sv_loop_report report = { .log = record_line };
  struct sv_event_queue *queue = sv_event_queue_new (NULL);

  lines = talloc_strdup (NULL, "");
  for (jb_time now = 10 * JB_SECOND; now < 13 * JB_SECOND; now += 30 * JB_MS)
    {
      bool taken = true;

      while (taken)
        {
          struct event *event = talloc_zero (NULL, struct event);

          event->type = EVENT_PEER_MESSAGE;
          taken = sv_event_queue_push (queue, now, event);
        }
      sv_loop_report_begin (&report, now);
      sv_loop_report_end (&report, queue, now, now);
    }
  CU_ASSERT_EQUAL (count_lines ("events-refused"), 3);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (lines, "events-refused replies=0 calls=0 peers=16383 "
                     "class=peers count=1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines, "class=peers count=34\n"));
  talloc_free (lines);
  talloc_free (queue);
}

static void
test_unreadable_message (void)
{
  CU_ASSERT_EQUAL (jb_msg_peek_type ((struct ba_bytes){ 0 }),
                   JB_MSG_TYPE_COUNT);
  for (unsigned type = 0; type <= JB_MSG_TYPE_COUNT; type++)
    CU_ASSERT_PTR_NOT_NULL (jb_msg_type_name (type));
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late iteration", test_late_iteration },
          { "delayed events", test_delayed_events },
          { "refused events", test_refused_events },
          { "types of messages", test_unreadable_message },
          { NULL, NULL } };

  return dp_test_main ("sv_loop_report", tests);
}
