#ifndef JB_PLANNER_H
#define JB_PLANNER_H

/* The planner: the one entry host that owns the partition JB_PLANNER_PARTITION
   and commands hosts.  It carries out maintenance waves, moves hosts between
   pools, and divides the organisations' resource limits among the pools.

   A host is taken out of a pool only after the pool's owner has said that
   nothing runs there; that owner decides when its long-running tasks may be
   interrupted.  Each command carries the planner's fence.  A new planner gives
   its first command only after the lease of its predecessor's last command is
   over.  */

#include "jb_msg.h"
#include "jb_ownership.h"

struct jb_planner;

struct jb_planner_options
{
  struct jb_driver *driver;
  const struct jb_bounds *bounds;          /* borrowed */
  const struct jb_catalog *const *catalog; /* borrowed */
  const char *owner;                       /* this host's name */
  uint64_t incarnation;                    /* of this host's process */
  bool predecessor_released; /* the former planner is known to have released
                                its ownership */
  /* Pass EVACUATE, borrowed, to the owner of its pool.  */
  void (*request_evacuation) (void *data, jb_time now,
                              const struct jb_msg_evacuate *evacuate);
  /* Tell the owner of POOL that a host is moving to it.  */
  void (*notify_arrival) (void *data, jb_time now, const char *pool);
  /* Pass SHARES, borrowed, to the owner of their pool.  */
  void (*send_shares) (void *data, jb_time now,
                       const struct jb_msg_shares *shares);
  /* The claim succeeded or failed, or the ownership ended.  The planner must
     not be freed by this function.  */
  void (*state_changed) (void *data);
  void *data;
};

/* The planner's partition of the store.  */
#define JB_PLANNER_PARTITION "plan"

/* Return a new planner, owned by MEM, that has not claimed its partition.  */
struct jb_planner *jb_planner_new (TALLOC_CTX *mem,
                                   const struct jb_planner_options *options);

/* Start claiming the planner's partition.  */
void jb_planner_claim (struct jb_planner *planner, jb_time now);

/* Return whether this host owns the planner's partition.  */
bool jb_planner_is_owner (const struct jb_planner *planner);

/* Return whether the claim failed, or the ownership was lost or released: the
   planner is to be freed.  */
bool jb_planner_has_ended (const struct jb_planner *planner);

/* Return the fencing token of the planner's commands.  */
uint64_t jb_planner_fence (const struct jb_planner *planner);

/* A peer received a heartbeat of this host at HEARD_AT, or never if it is 0.
   This extends the validity of the ownership while the store does not answer.
   Once the ownership has expired, only the store can confirm it again.  */
void jb_planner_confirm_ownership (struct jb_planner *planner, jb_time now,
                                   jb_time heard_at);

/* Give up the ownership; REASON is logged.  No command is sent afterwards.  */
void jb_planner_release (struct jb_planner *planner, jb_time now,
                         const char *reason);

/* Add the maintenance wave ENTRY, which is copied, that operators requested
   and this host first saw at SEEN_AT.  A wave that is known is ignored.  */
void jb_planner_add_wave (struct jb_planner *planner, jb_time seen_at,
                          const struct jb_wave_entry *entry);

/* Process a message of the owner of a pool.  It is borrowed.  */
void jb_planner_handle_evacuate_status (
    struct jb_planner *planner, jb_time now,
    const struct jb_msg_evacuate_status *status);
void jb_planner_handle_load (struct jb_planner *planner, jb_time now,
                             const struct jb_msg_load *load);
void jb_planner_handle_usage (struct jb_planner *planner, jb_time now,
                              const struct jb_msg_usage *usage);

/* Set the Unix time of the driver clock's origin, in microseconds.  */
void jb_planner_set_unix_origin (struct jb_planner *planner,
                                 jb_time unix_origin);

/* Do everything that is due, and return when to be called next.  */
jb_time jb_planner_run (struct jb_planner *planner, jb_time now);

#endif
