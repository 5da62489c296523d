#ifndef PL_PLATFORM_H
#define PL_PLATFORM_H

/* The platform's services: the transactional table, the object store and the
   list of live and leaving hosts.

   A driver takes the outcomes of the decision core that concern the platform
   and reports what became of them as events.  */

#include "cf_settings.h"
#include "co_event.h"

struct pl_platform;

/* What a driver can do.  */
struct pl_platform_ops
{
  /* Carry out OUTCOME: a write, read, poll or reboot.  Borrowed.  */
  void (*submit) (struct pl_platform *platform,
                  const struct co_action *outcome);
  /* Ask for the list of hosts.  */
  void (*list_hosts) (struct pl_platform *platform);
  /* Serve until stopped, calling HEARTBEAT now and then.  */
  void (*run) (struct pl_platform *platform, void (*heartbeat) (void *),
               void *context);
  void (*stop) (struct pl_platform *platform);
};

struct pl_platform
{
  const struct pl_platform_ops *ops;
};

/* Take over EVENT, a talloc chunk without parent.  Called on any thread.  */
typedef void pl_event_sink (void *context, struct co_event *event);

struct pl_aws_options
{
  const struct cf_platform_settings *settings; /* borrowed */
  const char *secret_key;
  pl_event_sink *emit;
  void *context;
};

/* Return a driver for the DynamoDB JSON protocol, the S3 REST protocol and a
   host list as JSON over HTTP, owned by MEM.  */
struct pl_platform *pl_aws_new (TALLOC_CTX *mem,
                                const struct pl_aws_options *options);

#endif
