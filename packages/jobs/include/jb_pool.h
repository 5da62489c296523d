#ifndef JB_POOL_H
#define JB_POOL_H

/* The owner of one pool: it accepts the jobs of the pool, runs their tasks on
   the pool's backend servers under leases, records how they end, and keeps
   durable state in the store.

   It starts and stops tasks and extends leases only while its ownership is
   valid, that is for a short time after the store has confirmed it, or after
   the time up to which heartbeats show that no other host has claimed it.
   Otherwise it only sends probes, which extend no lease then.  */

#include "jb_ownership.h"
#include "jb_msg.h"
#include "jb_job.h"
#include "jb_peer_doubts.h"

struct jb_pool;

struct jb_pool_options
{
  struct jb_driver *driver;
  const struct jb_bounds *bounds; /* borrowed */
  /* Points to the current catalog, or to NULL before one is known.
     Borrowed.  */
  const struct jb_catalog *const *catalog;
  /* The evacuated zones, borrowed; NULL: there are none.  Nothing is started
     before the table is known.  */
  const struct jb_zones *zones;
  const char *name;     /* of the pool */
  const char *owner;    /* name of this host */
  uint64_t incarnation; /* of this host's process */
  /* The queues whose pool has been the same in all configurations that this
     process has applied, as hashes by jb_catalog_hash_assignment.  Borrowed;
     NULL: there are none.  */
  GHashTable *unmoved_queues;
  /* Send REPLY, borrowed, to a request of the member with incarnation
     MEMBER.  */
  void (*reply) (void *data, uint64_t member,
                 const struct jb_msg_reply *reply);
  /* Called when the claim succeeded or failed, or the ownership was lost or
     released.  It must not free POOL.  */
  void (*state_changed) (void *data, struct jb_pool *pool);
  /* Return whether the process of the host NAME with INCARNATION is known to
     have ended.  It is called again and again while that matters.  */
  bool (*has_process_ended) (void *data, const char *name,
                             uint64_t incarnation);
  /* Called when jb_pool_evacuate_backend would newly return true for the
     backend server INSTANCE.  */
  void (*evacuated) (void *data, jb_time now, struct jb_pool *pool,
                     const char *instance);
  /* The starts in doubt that this host has received or sent, borrowed, and
     how to send DOUBTS, borrowed, to all members; NULL: they are not sent.  */
  const struct jb_peer_doubts *peer_doubts;
  void (*send_doubts) (void *data, jb_time now,
                       const struct jb_msg_doubts *doubts);
  /* Return the incarnation of the member that should be the witness of POOL
     now, and set NAME to its name, borrowed; 0 if there is none.  NULL: there
     is never one, and the next two are not called.  */
  uint64_t (*choose_witness) (void *data, jb_time now, const char *pool,
                              const char **name);
  /* Send STARTS, borrowed, to the member WITNESS.  */
  void (*tell_starts) (void *data, uint64_t witness,
                       const struct jb_msg_starts *starts);
  /* Ask the member WITNESS, or all if it is 0, for the starts of owners of
     POOL before GENERATION.  One that is asked alone replies also if it keeps
     none.  */
  void (*query_starts) (void *data, jb_time now, const char *pool,
                        uint32_t generation, uint64_t witness);
  void *data;
};

/* Return a new pool, owned by MEM, whose partition this host has not claimed.
   OPTIONS and its strings are copied.  */
struct jb_pool *jb_pool_new (TALLOC_CTX *mem,
                             const struct jb_pool_options *options);

/* Return the store partition that holds the rows of POOL, or its name.
   Borrowed.  */
const char *jb_pool_partition (const struct jb_pool *pool);
const char *jb_pool_name (const struct jb_pool *pool);

/* Start claiming the partition of POOL.  options.state_changed is called when
   the claim has succeeded or failed.  */
void jb_pool_claim (struct jb_pool *pool, jb_time now);

/* Return whether this host owns POOL, is claiming it, or neither.  */
enum jb_ownership_state jb_pool_ownership_state (const struct jb_pool *pool);

/* Return whether the claim failed, or the ownership was lost or released: POOL
   is of no further use and should be freed.  */
bool jb_pool_has_ended (const struct jb_pool *pool);

/* Send the starts in doubt that are neither stored nor sent yet.  To be called
   before POOL is freed.  */
void jb_pool_send_all_doubts (struct jb_pool *pool, jb_time now);

/* Process MESSAGE, borrowed, with starts of former owners that could not be
   stored.  It arrived at ARRIVED_AT.  */
void jb_pool_handle_peer_doubts (struct jb_pool *pool, jb_time now,
                                 jb_time arrived_at,
                                 const struct jb_msg_doubts *message);

/* Process STARTS, borrowed, which a witness has kept of a former owner. Return
   false if they are not of one: this host may have lost the pool.  */
bool jb_pool_handle_left_starts (struct jb_pool *pool, jb_time now,
                                 const struct jb_msg_starts *starts);

/* Process the reply LEFT, borrowed, of the member FROM to a query for the
   starts of former owners.  */
void jb_pool_handle_starts_left (struct jb_pool *pool, jb_time now,
                                 uint64_t from,
                                 const struct jb_msg_starts_left *left);

/* The witness FROM keeps the list that KEPT, borrowed, names.  */
void jb_pool_handle_starts_kept (struct jb_pool *pool, jb_time now,
                                 uint64_t from,
                                 const struct jb_msg_starts *kept);

/* Return the fencing token that POOL's commands carry.  */
uint64_t jb_pool_fence (const struct jb_pool *pool);

/* Return since when this pool's writes to the store have failed, or 0 if the
   last one did not fail.  */
jb_time jb_pool_store_failing_since (const struct jb_pool *pool);

/* Return whether a successor could start tasks soon after this host has
   released POOL: no takeover is under way, a successor would not have to wait
   for a backend server that is silent, and no host is about to be removed that
   it would put into the roster again.  */
bool jb_pool_can_be_handed_over (const struct jb_pool *pool, jb_time now);

/* Release the ownership of POOL, and log REASON.  No commands are sent to
   backend servers afterwards; rows may still be written until POOL is freed.
   Requests that wait for a write are answered with JB_MSG_NOT_OWNER; those
   that wait for the pool's rows are dropped.  */
void jb_pool_release (struct jb_pool *pool, jb_time now, const char *reason);

/* Hand POOL over to a successor that is to come: send no more commands, store
   what has changed and what may run on silent backend servers, and release
   POOL with REASON as soon as that is stored, but after 150 ms at the latest.
   If POOL is being taken over, or its ownership is not valid, it is released
   at once.  */
void jb_pool_hand_over (struct jb_pool *pool, jb_time now, const char *reason);

/* Return whether POOL is being handed over.  It is still owned then.  */
bool jb_pool_is_handing_over (const struct jb_pool *pool);

/* Record that no other host has claimed the partition up to UNCLAIMED_UNTIL,
   as far as heartbeats show it (jb_members_unclaimed_until).  This extends the
   validity of the ownership.  Once the ownership has expired, only the store
   can confirm it again.  */
void jb_pool_confirm_ownership (struct jb_pool *pool, jb_time now,
                                jb_time unclaimed_until);

/* One page of the list of the backend servers of all pools.  */
struct jb_backend_page
{
  jb_time list_requested_at; /* when the first page was requested */
  bool first;
  bool last;
  const struct jb_backend_entry *entries;
  uint32_t count;
};

/* Process PAGE, which is borrowed.  Only a list that was received from its
   first page to its last one shows which backend servers are missing.  */
void jb_pool_handle_backend_page (struct jb_pool *pool, jb_time now,
                                  const struct jb_backend_page *page);

/* Process REQUEST, which is borrowed, of the member with incarnation MEMBER.
   The reply is passed to options.reply, at once or when the store has
   confirmed a write.  If there is none, the sender must send the request
   again: a request is dropped while the ownership is not valid, and while too
   many requests wait for the pool's rows to be read.  */
void jb_pool_handle_request (struct jb_pool *pool, jb_time now,
                             uint64_t member,
                             const struct jb_msg_request *request);

/* Evacuate the backend server INSTANCE so that its host can be removed: move
   its long-running tasks away, and start nothing there for a while.  A further
   call prolongs that.  Return whether nothing runs there, all ends of runs
   have been acknowledged, and no successor will expect runs there.  */
bool jb_pool_evacuate_backend (struct jb_pool *pool, jb_time now,
                               const char *instance);

/* Record that the host of the backend server INSTANCE has been removed from
   the pool, so that nothing is started there any more.  */
void jb_pool_handle_host_removed (struct jb_pool *pool, jb_time now,
                                  const char *instance);

/* Fill LOAD with the current load of POOL.  The array `idle_instances' is
   owned by MEM, the strings are borrowed from POOL.  */
void jb_pool_get_load (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                       struct jb_msg_load *load);

/* Number of tasks that run, or may run, in a zone.  */
struct jb_pool_zone_runs
{
  uint32_t finite;
  uint32_t long_running;
};

/* Return how many tasks of POOL run in ZONE.  */
struct jb_pool_zone_runs jb_pool_count_zone_runs (const struct jb_pool *pool,
                                                  const char *zone);

/* Set the Unix time of the driver clock's origin, in microseconds.  */
void jb_pool_set_unix_origin (struct jb_pool *pool, jb_time unix_origin);

/* If a report to the planner is due, fill USAGE and return true, else return
   false.  The array in USAGE is owned by MEM, its strings are borrowed from
   POOL.  Shares from a planner with a lower fence than PLANNER_FENCE are
   ignored after the report.  */
bool jb_pool_report_usage (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                           uint64_t planner_fence, struct jb_msg_usage *usage);

/* Fill NEEDS with what organisations need for their next start in addition to
   the usage that was reported last, and return true, or return false if
   nothing is needed now nor was at the last call.  Memory is owned as by
   jb_pool_report_usage.  */
bool jb_pool_report_needs (struct jb_pool *pool, TALLOC_CTX *mem,
                           struct jb_msg_needs *needs);

/* Process the shares of organisations' quotas that a planner assigned to POOL.
   SHARES is borrowed.  */
void jb_pool_handle_shares (struct jb_pool *pool, jb_time now,
                            const struct jb_msg_shares *shares);

/* Do everything that is due.  Return when to call this function next, or
   JB_NEVER if POOL is not owned.  */
jb_time jb_pool_run (struct jb_pool *pool, jb_time now);

#endif
