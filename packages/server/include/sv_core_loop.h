#ifndef SV_CORE_LOOP_H
#define SV_CORE_LOOP_H

/* The thread that runs the decision core (co_core.h).  It takes events from a
   ring, passes them to the core one at a time, and calls the handler of each
   action that the core decides on.  In log lines and metrics the thread is
   named `decider'.  */

#include "ba_counter.h"
#include "co_core.h"
#include "sv_log.h"

/* Handlers that carry out the core's actions.  They are called on the core
   loop's thread; pointers are borrowed for the call.  */
struct sv_core_loop_handlers
{
  void (*refuse_request) (void *context,
                          const struct co_action_refuse *refuse);
  /* NOW is the time of the step that decided the start.  */
  void (*start_request) (void *context, const struct co_action_start *start,
                         co_time now);
  void (*replay_answer) (void *context, const struct co_action_replay *replay);
  /* The core is done with REQUEST and has no answer to send.  */
  void (*forget_request) (void *context, uint64_t request);
  /* Submit a write, read, poll or reboot to the platform.  */
  void (*submit_to_platform) (void *context, const struct co_action *action);
  void (*send_to_peer) (void *context, const struct co_action_send *send);
  /* The members of the cluster, VIEW, have changed.  */
  void (*view_changed) (void *context, const struct co_view *view);
  void (*answer_change) (void *context,
                         const struct co_action_change_done *changed);
  /* Answer CALL, for which sv_core_loop_request_status was called.  */
  void (*answer_status) (void *context, uint64_t call,
                         const struct co_status *status);
  /* The evicted core was replaced by a new one with INCARNATION.  */
  void (*incarnation_changed) (void *context, uint64_t incarnation);
  /* A planned stop is complete: the core has nothing left to do.  */
  void (*stopped) (void *context);
};

struct sv_core_loop_options
{
  struct co_options core;  /* the loop sets incarnation and random seed */
  const char *record_file; /* file to record the session in, or NULL */
  struct sv_log *log;
  const struct sv_core_loop_handlers *handlers;
  void *context; /* passed to the handlers */
};

struct sv_core_loop;

/* Return a new core loop owned by MEM, or NULL with ERROR set.  */
struct sv_core_loop *
sv_core_loop_new (TALLOC_CTX *mem, const struct sv_core_loop_options *options,
                  GError **error);

/* Queue EVENT, a talloc chunk without parent, and take over its ownership.
   Return false, leaving EVENT with the caller, when the ring is full.  Any
   thread.  */
bool sv_core_loop_push (struct sv_core_loop *loop, struct co_event *event);

/* As sv_core_loop_push, for events that must not be lost: wait until there is
   room.  Only when the loop is told to stop meanwhile is EVENT lost.  Any
   thread but the loop's own.  */
void sv_core_loop_push_blocking (struct sv_core_loop *loop,
                                 struct co_event *event);

/* Request the status of the core for CALL; the handler `answer_status' is then
   called with both.  Return false when the ring is full.  Any thread.  */
bool sv_core_loop_request_status (struct sv_core_loop *loop, uint64_t call);

/* Return the incarnation of the core.  To be called only before the loop's
   thread is started.  */
uint64_t sv_core_loop_incarnation (const struct sv_core_loop *loop);

/* Return whether the load balancer may send clients here.  Any thread.  */
bool sv_core_loop_is_ready (struct sv_core_loop *loop);

/* Return the metrics of the core and of its loop in the text exposition
   format, owned by MEM.  Any thread.  */
char *sv_core_loop_format_metrics (struct sv_core_loop *loop, TALLOC_CTX *mem);

/* Thread functions for the supervisor.  DATA is a struct sv_core_loop.  */
void sv_core_loop_run (void *data, void (*heartbeat) (void *), void *context);
void sv_core_loop_stop (void *data);

#endif
