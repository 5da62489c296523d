#ifndef SV_CORE_LOOP_H
#define SV_CORE_LOOP_H

/* The duty that owns the decision core: it feeds events to it, one at a time,
   and has the outcomes carried out.  */

#include "ba_counter.h"
#include "co_core.h"
#include "sv_log.h"

/* What carries out outcomes.  Called on the decider's thread; everything is
   borrowed.  */
struct sv_core_loop_handlers
{
  void (*refuse) (void *context, const struct co_action_refuse *refuse);
  void (*start) (void *context, const struct co_action_start *start,
                 co_time decided);
  void (*replay) (void *context, const struct co_action_replay *replay);
  void (*forget) (void *context, uint64_t request);
  void (*platform) (void *context, const struct co_action *outcome);
  void (*send) (void *context, const struct co_action_send *send);
  void (*view) (void *context, const struct co_view *view);
  void (*changed) (void *context, const struct co_action_change_done *changed);
  void (*status) (void *context, uint64_t call,
                  const struct co_status *status);
  void (*identity) (void *context, uint64_t incarnation);
  void (*stopped) (void *context);
};

struct sv_core_loop_options
{
  struct co_options core; /* the incarnation is chosen by the decider */
  const char *record;     /* file for the session, or NULL */
  struct sv_log *log;
  const struct sv_core_loop_handlers *effects;
  void *context;
};

struct sv_core_loop;

/* Return a new decider owned by MEM, or NULL with ERROR set.  */
struct sv_core_loop *
sv_core_loop_new (TALLOC_CTX *mem, const struct sv_core_loop_options *options,
                  GError **error);

/* Take over EVENT, a talloc chunk without parent.  Return false, leaving it,
   when the ring is full.  Any thread.  */
bool sv_core_loop_push (struct sv_core_loop *decider, struct co_event *event);

/* As sv_core_loop_push, for events that must not be lost: waits for room.  Not
   on the decider's own thread.  */
void sv_core_loop_push_blocking (struct sv_core_loop *decider,
                                 struct co_event *event);

/* Have the status reported to the `status' effect for CALL.  */
bool sv_core_loop_request_status (struct sv_core_loop *decider, uint64_t call);

/* Return the incarnation that the decider started with.  */
uint64_t sv_core_loop_incarnation (const struct sv_core_loop *decider);

/* Return whether the balancer may send callers here.  Any thread.  */
bool sv_core_loop_ready (struct sv_core_loop *decider);

/* Return the core's counters in the text exposition format.  Any thread.  */
char *sv_core_loop_metrics (struct sv_core_loop *decider, TALLOC_CTX *mem);

void sv_core_loop_run (void *decider, void (*heartbeat) (void *),
                       void *context);
void sv_core_loop_stop (void *decider);

#endif
