#include "sv_log.h"

#include "ba_ring.h"

#include <jansson.h>
#include <log4c.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  LINE_RING_CAPACITY = 16384,
  MAX_FIELD_COUNT = 24,  /* of one call of sv_log */
  MAX_LINE_WAIT_MS = 200 /* longest time between two heartbeats */
};

struct sv_log
{
  struct cf_log_settings settings;
  char *host;
  struct ba_ring *lines; /* of struct line */
  log4c_category_t *category;
  log4c_appender_t *appender;
  _Atomic bool stopping;
  _Atomic uint64_t lost_count; /* lines dropped because the ring was full */
};

/* A line to be written, a talloc chunk without parent that owns its text.  */
struct line
{
  enum cf_log_level level;
  char *text;
};

/* Both are indexed by enum cf_log_level.  */
static const int priority_of_level[]
    = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO,
        LOG4C_PRIORITY_DEBUG };
static const char *const level_names[] = { "error", "warn", "info", "debug" };

/* Layout for log4c: the message is the complete line.  */
static const char *
get_message (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

static const log4c_layout_type_t line_layout
    = { .name = "dogwoodpulley_line", .format = get_message };

/* Appender for log4c.  Its own stream appender writes the name of the appender
   before each line.  */
static int
write_message (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stdout);
}

static const log4c_appender_type_t line_appender
    = { .name = "dogwoodpulley_line", .append = write_message };

struct sv_log *
sv_log_new (TALLOC_CTX *mem, const struct cf_log_settings *settings,
            const char *host)
{
  struct sv_log *log = talloc_zero (mem, struct sv_log);
  log4c_layout_t *layout;

  log->settings = *settings;
  log->host = talloc_strdup (log, host);
  log->lines = ba_ring_new (log, LINE_RING_CAPACITY);
  log4c_init ();
  log4c_layout_type_set (&line_layout);
  layout = log4c_layout_get ("dogwoodpulley_line");
  log4c_layout_set_type (layout, &line_layout);
  log4c_appender_type_set (&line_appender);
  log->appender = log4c_appender_get ("dogwoodpulley_stdout");
  log4c_appender_set_type (log->appender, &line_appender);
  log4c_appender_set_layout (log->appender, layout);
  log->category = log4c_category_get ("dogwoodpulley");
  log4c_category_set_appender (log->category, log->appender);
  log4c_category_set_additivity (log->category, 0);
  log4c_category_set_priority (log->category,
                               priority_of_level[settings->level]);
  return log;
}

bool
sv_log_is_enabled (const struct sv_log *log, enum cf_log_level level)
{
  return level <= (enum cf_log_level)log->settings.level;
}

/* Write the current time in UTC to TEXT, as in 2001-02-03T04:05:06.789Z.  */
static void
format_current_time (char *text, size_t size)
{
  struct timespec now;
  struct tm parts;
  size_t used;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  used = strftime (text, size, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (text + used, size - used, ".%03ldZ", now.tv_nsec / 1000000);
}

/* Append NAME=VALUE to LINE and return LINE, which may have been reallocated.
   VALUE is quoted and escaped when it is empty or holds a character that would
   make the line ambiguous.  */
static char *
append_pair (char *line, const char *name, const char *value)
{
  if (*value != '\0' && strpbrk (value, " \"=\\\n\r\t") == NULL)
    return talloc_asprintf_append_buffer (line, " %s=%s", name, value);
  {
    char *escaped = g_strescape (value, NULL);

    line = talloc_asprintf_append_buffer (line, " %s=\"%s\"", name, escaped);
    g_free (escaped);
    return line;
  }
}

static char *
format_key_value_line (TALLOC_CTX *mem, const char *time, const char *level,
                       const char *host, const char *event,
                       const struct jb_log_field *fields, uint32_t count)
{
  char *line = talloc_asprintf (mem, "time=%s level=%s host=%s event=%s", time,
                                level, host, event);

  for (uint32_t i = 0; i < count; i++)
    if (fields[i].value != NULL)
      line = append_pair (line, fields[i].name, fields[i].value);
  return talloc_strdup_append_buffer (line, "\n");
}

static char *
format_json_line (TALLOC_CTX *mem, const char *time, const char *level,
                  const char *host, const char *event,
                  const struct jb_log_field *fields, uint32_t count)
{
  json_t *root = json_pack ("{s:s,s:s,s:s,s:s}", "time", time, "level", level,
                            "host", host, "event", event);
  char *text;
  char *line;

  for (uint32_t i = 0; i < count; i++)
    if (fields[i].value != NULL)
      json_object_set_new (root, fields[i].name,
                           json_string (fields[i].value));
  text = json_dumps (root, JSON_COMPACT | JSON_PRESERVE_ORDER);
  line = talloc_asprintf (mem, "%s\n", text);
  free (text);
  json_decref (root);
  return line;
}

void
sv_log_fields (struct sv_log *log, enum cf_log_level level, const char *event,
               const struct jb_log_field *fields, uint32_t count)
{
  struct line *line;
  char time[40];

  if (!sv_log_is_enabled (log, level))
    return;
  line = talloc_zero (NULL, struct line);
  line->level = level;
  format_current_time (time, sizeof time);
  if (log->settings.format == CF_LOG_JSON)
    line->text = format_json_line (line, time, level_names[level], log->host,
                                   event, fields, count);
  else
    line->text = format_key_value_line (line, time, level_names[level],
                                        log->host, event, fields, count);
  if (ba_ring_push (log->lines, line))
    return;
  atomic_fetch_add (&log->lost_count, 1);
  talloc_free (line);
}

void
sv_log (struct sv_log *log, enum cf_log_level level, const char *event, ...)
{
  struct jb_log_field fields[MAX_FIELD_COUNT];
  uint32_t count = 0;
  const char *name;
  va_list args;

  if (!sv_log_is_enabled (log, level))
    return;
  va_start (args, event);
  while (count < MAX_FIELD_COUNT
         && (name = va_arg (args, const char *)) != NULL)
    {
      fields[count].name = name;
      fields[count++].value = va_arg (args, const char *);
    }
  va_end (args);
  sv_log_fields (log, level, event, fields, count);
}

uint64_t
sv_log_lost_count (struct sv_log *log)
{
  return atomic_load (&log->lost_count);
}

static void
write_queued_lines (struct sv_log *log)
{
  struct line *line;

  ba_ring_reset_fd (log->lines);
  while ((line = ba_ring_pop (log->lines)) != NULL)
    {
      log4c_category_log (log->category, priority_of_level[line->level], "%s",
                          line->text);
      talloc_free (line);
    }
  fflush (stdout);
}

void
sv_log_run (void *data, void (*heartbeat) (void *), void *context)
{
  struct sv_log *log = data;
  struct pollfd poll_fd = { .fd = ba_ring_fd (log->lines), .events = POLLIN };

  while (!atomic_load (&log->stopping))
    {
      poll (&poll_fd, 1, MAX_LINE_WAIT_MS);
      heartbeat (context);
      write_queued_lines (log);
    }
  write_queued_lines (log);
}

void
sv_log_stop (void *data)
{
  struct sv_log *log = data;

  atomic_store (&log->stopping, true);
  ba_ring_wake (log->lines);
}
