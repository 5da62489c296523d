#ifndef JB_PLANNER_H
#define JB_PLANNER_H

/* The one entry host that gives orders on hosts: maintenance waves, and moves
   between pools.

   A host is taken away only when the holder of its pool has said that nothing
   runs there; the holder decides when its lasting tasks may be away.  The
   planner's fence goes with each order; a new planner waits until the former
   one's last order is old before it gives its first.  */

#include "jb_ownership.h"
#include "jb_msg.h"

struct jb_planner;

struct jb_planner_options
{
  struct jb_driver *driver;
  const struct jb_bounds *bounds;          /* borrowed */
  const struct jb_catalog *const *catalog; /* borrowed */
  const char *holder;
  uint64_t incarnation;
  bool released; /* the former planner is known to have given up */
  /* Ask the holder of CLEAR's pool.  */
  void (*clear) (void *data, jb_time now, const struct jb_msg_evacuate *clear);
  /* Tell the holder of POOL that a host is on its way to it.  */
  void (*coming) (void *data, jb_time now, const char *pool);
  /* Tell the holder of SHARES' pool.  */
  void (*shares) (void *data, jb_time now, const struct jb_msg_shares *shares);
  /* The claim succeeded or failed, or the duty was lost.  The planner must
     not be freed from here.  */
  void (*changed) (void *data);
  void *data;
};

#define JB_PLANNER_PARTITION "plan"

struct jb_planner *jb_planner_new (TALLOC_CTX *mem,
                                   const struct jb_planner_options *options);
void jb_planner_claim (struct jb_planner *planner, jb_time now);
bool jb_planner_is_owner (const struct jb_planner *planner);
bool jb_planner_has_ended (const struct jb_planner *planner);
uint64_t jb_planner_fence (const struct jb_planner *planner);
/* As jb_pool_confirm_ownership.  */
void jb_planner_confirm_ownership (struct jb_planner *planner, jb_time now,
                                   jb_time heard);
void jb_planner_release (struct jb_planner *planner, jb_time now,
                         const char *reason);

/* Take in a wave that an operator asked for, seen first at SEEN.  */
void jb_planner_add_wave (struct jb_planner *planner, jb_time seen,
                          const struct jb_wave_entry *wave);

/* Take in what the holder of a pool said.  */
void jb_planner_handle_evacuate_status (
    struct jb_planner *planner, jb_time now,
    const struct jb_msg_evacuate_status *cleared);
void jb_planner_handle_load (struct jb_planner *planner, jb_time now,
                             const struct jb_msg_load *load);

void jb_planner_handle_usage (struct jb_planner *planner, jb_time now,
                              const struct jb_msg_usage *usage);

/* Note the time of day: the Unix time of the clock's origin.  */
void jb_planner_set_unix_origin (struct jb_planner *planner, jb_time origin);

/* Do what is due, and return when to be called next.  */
jb_time jb_planner_run (struct jb_planner *planner, jb_time now);

#endif
