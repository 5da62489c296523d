#ifndef JB_PLANNER_H
#define JB_PLANNER_H

/* The planner, which runs on the one entry host that owns the partition
   JB_PLANNER_PARTITION.  It carries out the maintenance waves that operators
   request, moves hosts between pools, and divides the organisations' resource
   limits among the pools.

   A host is taken out of a pool only after the pool's owner has replied that
   nothing runs there, or if it is switched off in a standby pool.  The pool's
   owner decides when long-running tasks may be interrupted.  Each command to a
   host carries the planner's fence.  Before a command, the planner stores the
   name of the host; a new planner waits only for the commands to the hosts
   that its predecessor has named (see jb_commanded.h).  */

#include "jb_msg.h"
#include "jb_ownership.h"

struct jb_planner;

struct jb_planner_options
{
  struct jb_driver *driver;
  const struct jb_bounds *bounds;          /* borrowed */
  const struct jb_catalog *const *catalog; /* borrowed */
  /* The evacuated zones, borrowed; NULL: there are none.  No host is chosen
     before the table is known.  */
  const struct jb_zones *zones;
  const char *owner;    /* this host's name */
  uint64_t incarnation; /* of this host's process */
  /* The process that is known to have released the planner's partition last;
     0: none is known.  */
  uint64_t released_incarnation;
  /* Return whether a process is known to have ended, as
     jb_members_has_process_ended does.  NULL: that is never known.  */
  bool (*has_process_ended) (void *data, const char *name,
                             uint64_t incarnation);
  /* Send EVACUATE, borrowed, to the owner of its pool.  The reply is passed to
     jb_planner_handle_evacuate_status, possibly during this call.  */
  void (*request_evacuation) (void *data, jb_time now,
                              const struct jb_msg_evacuate *evacuate);
  /* Tell the owner of POOL that a host will soon be up in it.  */
  void (*notify_arrival) (void *data, jb_time now, const char *pool);
  /* Send SHARES, borrowed, to the owner of their pool.  */
  void (*send_shares) (void *data, jb_time now,
                       const struct jb_msg_shares *shares);
  /* Called when the claim has succeeded or failed and when the ownership has
     ended.  It must not free the planner.  */
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

/* Return whether the claim failed, or the ownership was lost or released.  The
   caller then frees the planner.  */
bool jb_planner_has_ended (const struct jb_planner *planner);

/* Return the fencing token of the planner's commands.  */
uint64_t jb_planner_fence (const struct jb_planner *planner);

/* Record that no other host has claimed the partition up to UNCLAIMED_UNTIL,
   as far as heartbeats show it (jb_members_unclaimed_until).  This extends the
   validity of the ownership.  Once the ownership has expired, only the store
   can confirm it again.  */
void jb_planner_confirm_ownership (struct jb_planner *planner, jb_time now,
                                   jb_time unclaimed_until);

/* Release the ownership; REASON is logged.  No command is sent afterwards.  */
void jb_planner_release (struct jb_planner *planner, jb_time now,
                         const char *reason);

/* Add the maintenance wave ENTRY, which is copied.  SEEN_AT is when this host
   first saw the operators' request, from which the time for the wave counts.
   A wave with a known number is ignored.  */
void jb_planner_add_wave (struct jb_planner *planner, jb_time seen_at,
                          const struct jb_wave_entry *entry);

/* Process a message from the owner of a pool.  The message is borrowed.  */
void jb_planner_handle_evacuate_status (
    struct jb_planner *planner, jb_time now,
    const struct jb_msg_evacuate_status *status);
void jb_planner_handle_load (struct jb_planner *planner, jb_time now,
                             const struct jb_msg_load *load);
void jb_planner_handle_usage (struct jb_planner *planner, jb_time now,
                              const struct jb_msg_usage *usage);
void jb_planner_handle_needs (struct jb_planner *planner, jb_time now,
                              const struct jb_msg_needs *needs);

/* Set the Unix time of the driver clock's origin, in microseconds.  */
void jb_planner_set_unix_origin (struct jb_planner *planner,
                                 jb_time unix_origin);

/* Do everything that is due, and return the time of the next call, or JB_NEVER
   if this host does not own the planner's partition.  */
jb_time jb_planner_run (struct jb_planner *planner, jb_time now);

#endif
