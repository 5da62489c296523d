#ifndef JB_POOL_H
#define JB_POOL_H

/* The holder of one pool: accepts its jobs, has their tasks run on its backend
   servers under leases, takes note of how they end, and keeps what must last
   in the store.

   It gives orders only while it has standing: the store, or a peer that has
   heard it, confirmed it a short while ago.  */

#include "jb_ownership.h"
#include "jb_msg.h"
#include "jb_job.h"

struct jb_pool;

struct jb_pool_options
{
  struct jb_driver *driver;
  const struct jb_bounds *bounds;          /* borrowed */
  const struct jb_catalog *const *catalog; /* borrowed; never NULL inside */
  const char *name;
  const char *owner; /* this host's name */
  uint64_t incarnation;
  /* Answer a request.  */
  void (*reply) (void *data, uint64_t member,
                 const struct jb_msg_reply *reply);
  /* The claim succeeded or failed, or the duty was lost.  The pool must not
     be freed from here.  */
  void (*state_changed) (void *data, struct jb_pool *pool);
  void *data;
};

struct jb_pool *jb_pool_new (TALLOC_CTX *mem,
                             const struct jb_pool_options *options);

/* Return the part of the store that belongs to the pool NAME.  Borrowed.  */
const char *jb_pool_partition (const struct jb_pool *pool);
const char *jb_pool_name (const struct jb_pool *pool);

void jb_pool_claim (struct jb_pool *pool, jb_time now);

/* Return whether this host holds the pool, is claiming it, or neither.  */
enum jb_ownership_state jb_pool_ownership_state (const struct jb_pool *pool);

/* Return whether the pool was lost, released or not got: free it.  */
bool jb_pool_has_ended (const struct jb_pool *pool);

uint64_t jb_pool_fence (const struct jb_pool *pool);

/* Return since when the store has failed for this pool's writes, or 0.  */
jb_time jb_pool_store_failing_since (const struct jb_pool *pool);

/* Give the pool up: nothing is written or ordered after.  */
void jb_pool_release (struct jb_pool *pool, jb_time now, const char *reason);

/* A peer heard this holder at HEARD.  That extends its standing while the
   store does not answer; one that has lapsed comes back from the store only.
 */
void jb_pool_confirm_ownership (struct jb_pool *pool, jb_time now,
                                jb_time heard);

/* Take in a list of all backend servers.  */
void jb_pool_handle_backend_list (struct jb_pool *pool, jb_time now,
                                  jb_time listed_at,
                                  const struct jb_backend_entry *entries,
                                  uint32_t count);

/* Take in a request of MEMBER.  */
void jb_pool_handle_request (struct jb_pool *pool, jb_time now,
                             uint64_t member,
                             const struct jb_msg_request *request);

/* Empty the backend server INSTANCE, for a while, so that its host can be
   taken away.  Return whether nothing runs there.  */
bool jb_pool_evacuate_backend (struct jb_pool *pool, jb_time now,
                               const char *instance);

/* The host of the backend server INSTANCE has been taken away.  */
void jb_pool_handle_host_removed (struct jb_pool *pool, jb_time now,
                                  const char *instance);

/* Fill LOAD, its arrays owned by MEM.  */
void jb_pool_get_load (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                       struct jb_msg_load *load);

/* Note the time of day: that of the clock's origin, in microseconds.  */
void jb_pool_set_unix_origin (struct jb_pool *pool, jb_time origin);

/* Fill USAGE, its arrays owned by MEM, and return true when it is time to tell
   the planner, whose fence is PLANNER.  From then on shares of an earlier one
   count no more.  */
bool jb_pool_report_usage (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                           uint64_t planner, struct jb_msg_usage *usage);

/* Take in shares of organisations' limits.  */
void jb_pool_handle_shares (struct jb_pool *pool, jb_time now,
                            const struct jb_msg_shares *shares);

/* Do what is due, and return when to be called next.  */
jb_time jb_pool_run (struct jb_pool *pool, jb_time now);

#endif
