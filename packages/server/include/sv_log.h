#ifndef SV_LOG_H
#define SV_LOG_H

/* Structured log: one line for each event, as key=value pairs or as JSON.  Any
   thread may log; a thread of its own writes the lines to the standard output
   through log4c.  */

#include "cf_settings.h"
#include "jb_driver.h"

struct sv_log;

/* Return a new log owned by MEM.  HOST, the name of this entry host, is part
   of each line.  A process can have only one log.  */
struct sv_log *sv_log_new (TALLOC_CTX *mem,
                           const struct cf_log_settings *settings,
                           const char *host);

/* Log EVENT at LEVEL with fields given as pairs of name and value, ended by
   NULL.  A field whose value is NULL is left out, and so are all fields after
   the first 24.  Secrets must not be passed.  The line is dropped when the
   ring to the log thread is full.  Any thread.  */
void sv_log (struct sv_log *log, enum cf_log_level level, const char *event,
             ...) G_GNUC_NULL_TERMINATED;

/* As sv_log, for COUNT FIELDS, without the limit of 24.  */
void sv_log_fields (struct sv_log *log, enum cf_log_level level,
                    const char *event, const struct jb_log_field *fields,
                    uint32_t count);

/* Return whether lines of LEVEL are written.  Any thread.  */
bool sv_log_is_enabled (const struct sv_log *log, enum cf_log_level level);

/* Return the number of lines dropped because the ring was full.  Any
   thread.  */
uint64_t sv_log_lost_count (struct sv_log *log);

/* Thread functions for the supervisor.  DATA is a struct sv_log.  */
void sv_log_run (void *data, void (*heartbeat) (void *), void *context);
void sv_log_stop (void *data);

#endif
