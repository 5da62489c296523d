#ifndef PL_PLATFORM_H
#define PL_PLATFORM_H

/* Driver for the services of the cloud platform: the transactional table, the
   object store and the list of live and leaving hosts.  It carries out the
   actions of the decision core that concern the platform and reports their
   results as events.  */

#include "cf_settings.h"
#include "co_event.h"

struct pl_platform;

/* Operations of a driver.  `submit' and `list_hosts' may be called on any
   thread and return at once.  Results arrive as events while `run' is
   executing or, when the queue of requests is full, before `submit' has
   returned.  */
struct pl_platform_ops
{
  /* Carry out ACTION, a write, read, poll or reboot; others are ignored.
     ACTION is borrowed for the duration of the call.  */
  void (*submit) (struct pl_platform *platform,
                  const struct co_action *action);
  /* Request the list of hosts, which arrives as CO_EVENT_HOST_LIST.  When the
     request fails, there is no event.  */
  void (*list_hosts) (struct pl_platform *platform);
  /* Carry out submitted operations until `stop' is called.  HEARTBEAT is
     called with CONTEXT regularly, to show that the thread is alive.  */
  void (*run) (struct pl_platform *platform, void (*heartbeat) (void *),
               void *context);
  /* Make `run' return.  Any thread.  */
  void (*stop) (struct pl_platform *platform);
};

struct pl_platform
{
  const struct pl_platform_ops *ops;
};

/* Receive EVENT, a talloc chunk without a parent, and take ownership of it.
   Called on any thread.  */
typedef void pl_event_sink (void *context, struct co_event *event);

struct pl_aws_options
{
  const struct cf_platform_settings *settings; /* must outlive the driver */
  const char *secret_key;                      /* copied */
  pl_event_sink *emit;
  void *context; /* passed to `emit' */
};

/* Return a new driver, owned by MEM, that speaks the DynamoDB JSON protocol,
   the S3 REST protocol and, for the list of hosts, JSON over HTTP.  */
struct pl_platform *pl_aws_new (TALLOC_CTX *mem,
                                const struct pl_aws_options *options);

#endif
