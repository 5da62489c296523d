#ifndef SV_LOG_H
#define SV_LOG_H

/* Structured log: one line an event, as key=value or JSON.  Lines are written
   by a thread of their own, through log4c; any thread may log.  */

#include "cf_settings.h"
#include "jb_driver.h"

struct sv_log;

/* Return a new log owned by MEM.  There is one in a process.  */
struct sv_log *sv_log_new (TALLOC_CTX *mem,
                           const struct cf_log_settings *settings,
                           const char *host);

/* Log EVENT with pairs of names and values, ended by NULL.  A pair whose
   value is NULL is left out.  Secrets must not be passed.  */
void sv_log (struct sv_log *log, enum cf_log_level level, const char *event,
             ...) G_GNUC_NULL_TERMINATED;

/* As sv_log, for COUNT fields.  */
void sv_log_fields (struct sv_log *log, enum cf_log_level level,
                    const char *event, const struct jb_log_field *fields,
                    uint32_t count);

/* Return whether lines of LEVEL are written.  */
bool sv_log_is_enabled (const struct sv_log *log, enum cf_log_level level);

/* Return the number of lines lost because the ring was full.  */
uint64_t sv_log_lost_count (struct sv_log *log);

/* Duty of the log thread.  */
void sv_log_run (void *log, void (*heartbeat) (void *), void *context);
void sv_log_stop (void *log);

#endif
