#ifndef JB_POOL_H
#define JB_POOL_H

/* The owner of one pool: it accepts the jobs of the pool, runs their tasks on
   the pool's backend servers under leases, records how they end, and keeps
   durable state in the store.

   It sends commands only while its ownership is valid, that is while the
   store, or a peer that received its heartbeat, confirmed it a short time
   ago.  */

#include "jb_ownership.h"
#include "jb_msg.h"
#include "jb_job.h"

struct jb_pool;

struct jb_pool_options
{
  struct jb_driver *driver;
  const struct jb_bounds *bounds; /* borrowed */
  /* Borrowed; the inner pointer may be NULL.  */
  const struct jb_catalog *const *catalog;
  const char *name;
  const char *owner; /* name of this host */
  uint64_t incarnation;
  /* Send REPLY, borrowed, to a request of the member with incarnation
     MEMBER.  */
  void (*reply) (void *data, uint64_t member,
                 const struct jb_msg_reply *reply);
  /* Called when the claim succeeded or failed, or ownership was lost.  The
     pool must not be freed from here.  */
  void (*state_changed) (void *data, struct jb_pool *pool);
  void *data;
};

/* Return a new pool, not owned yet.  OPTIONS is copied.  The pool is owned by
   MEM.  */
struct jb_pool *jb_pool_new (TALLOC_CTX *mem,
                             const struct jb_pool_options *options);

/* Return the store partition that holds the rows of POOL, or its name.
   Borrowed.  */
const char *jb_pool_partition (const struct jb_pool *pool);
const char *jb_pool_name (const struct jb_pool *pool);

/* Start claiming ownership of POOL; options.state_changed tells the
   outcome.  */
void jb_pool_claim (struct jb_pool *pool, jb_time now);

/* Return whether this host owns POOL, is claiming it, or neither.  */
enum jb_ownership_state jb_pool_ownership_state (const struct jb_pool *pool);

/* Return whether the claim failed, or the ownership was lost or released: POOL
   is to be freed.  */
bool jb_pool_has_ended (const struct jb_pool *pool);

/* Return the fencing token of POOL's commands.  */
uint64_t jb_pool_fence (const struct jb_pool *pool);

/* Return since when this pool's writes to the store have failed, or 0.  */
jb_time jb_pool_store_failing_since (const struct jb_pool *pool);

/* Give up ownership for REASON, which is logged: nothing is written or
   commanded afterwards.  */
void jb_pool_release (struct jb_pool *pool, jb_time now, const char *reason);

/* A peer received a heartbeat of this host at HEARD_AT, or never if it is 0.
   This extends the validity of the ownership while the store does not answer.
   Once the ownership has expired, only the store can confirm it again.  */
void jb_pool_confirm_ownership (struct jb_pool *pool, jb_time now,
                                jb_time heard_at);

/* Process the complete list, COUNT ENTRIES, of the backend servers of all
   pools.  It was requested at LISTED_AT.  */
void jb_pool_handle_backend_list (struct jb_pool *pool, jb_time now,
                                  jb_time listed_at,
                                  const struct jb_backend_entry *entries,
                                  uint32_t count);

/* Process REQUEST, which is borrowed, of the member with incarnation MEMBER.
   It is answered through options.reply, later if it must wait for the store.
   It is dropped, and has to be sent again, if too many wait already or the
   ownership is not valid at present.  */
void jb_pool_handle_request (struct jb_pool *pool, jb_time now,
                             uint64_t member,
                             const struct jb_msg_request *request);

/* Evacuate the backend server INSTANCE so that its host can be removed: for a
   while nothing is started there.  Return whether nothing runs there.  */
bool jb_pool_evacuate_backend (struct jb_pool *pool, jb_time now,
                               const char *instance);

/* Record that the host of the backend server INSTANCE has been removed:
   nothing is started there any more.  */
void jb_pool_handle_host_removed (struct jb_pool *pool, jb_time now,
                                  const char *instance);

/* Fill LOAD with the present load of POOL.  The array `idle' is owned by MEM,
   the strings are borrowed from POOL.  */
void jb_pool_get_load (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                       struct jb_msg_load *load);

/* Set the Unix time of the driver clock's origin, in microseconds.  */
void jb_pool_set_unix_origin (struct jb_pool *pool, jb_time unix_origin);

/* If a report to the planner is due, fill USAGE, its arrays owned by MEM, and
   return true.  PLANNER is the planner's fence; after the report, shares from
   planners with a lower one are ignored.  */
bool jb_pool_report_usage (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                           uint64_t planner, struct jb_msg_usage *usage);

/* Process shares of organisations' quotas that the planner sent.  */
void jb_pool_handle_shares (struct jb_pool *pool, jb_time now,
                            const struct jb_msg_shares *shares);

/* Do everything that is due, and return when to be called next.  */
jb_time jb_pool_run (struct jb_pool *pool, jb_time now);

#endif
