#ifndef IGNORING_DRIVER_H
#define IGNORING_DRIVER_H

/* Functions of a driver that ignore what they are given, for tests of modules
   that need a driver.  */

#include "jb_driver.h"

static inline void
ignore_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  (void)context;
  (void)number;
  (void)command;
}

static inline void
ignore_message (void *context, uint64_t member, struct ba_bytes message)
{
  (void)context;
  (void)member;
  (void)message;
}

static inline void
ignore_members (void *context, const struct jb_member_address *members,
                uint32_t count)
{
  (void)context;
  (void)members;
  (void)count;
}

static inline void
ignore_log (void *context, enum jb_level level, const char *event,
            const struct jb_log_field *fields, uint32_t count)
{
  (void)context;
  (void)level;
  (void)event;
  (void)fields;
  (void)count;
}

#endif
