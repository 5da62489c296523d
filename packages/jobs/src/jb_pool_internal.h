#ifndef JB_POOL_INTERNAL_H
#define JB_POOL_INTERNAL_H

/* State of the owner of a pool, shared by the files jb_pool*.c.  */

#include "jb_place.h"
#include "jb_pool.h"
#include "jb_rank.h"

#define JB_JOB_TABLE "job"

/* The rows of a job: the key is its ID and one of these suffixes.  */
#define JB_KEY_SUFFIX_DESC ".d"
#define JB_KEY_SUFFIX_PROGRESS ".p"
#define JB_KEY_SUFFIX_END ".e"

/* Lease of the runs on a backend server, extended by each probe.  If the entry
   host that manages the runs fails, they end when this time has passed.  It is
   long enough for another host to take over, and short enough that work on an
   unreachable backend server is soon started elsewhere.  */
#define JB_RUN_LEASE_MS 3500

/* How long a backend server may delay its answer to a probe.  The next probe
   follows the answer and renews the lease.  */
#define JB_PROBE_WAIT_MS 500

/* How long ownership is valid after its last confirmation.  */
#define JB_OWNERSHIP_VALIDITY (1800 * JB_MS)

enum jb_pool_stage
{
  JB_STAGE_NOT_OWNED,
  JB_STAGE_LOADING,  /* reading the rows */
  JB_STAGE_SCANNING, /* probing all backend servers for active runs */
  JB_STAGE_ACTIVE
};

/* A client that waits until the state of a job is durable.  */
struct jb_waiter
{
  struct jb_waiter *next;
  uint64_t member;
  uint64_t call;
  uint32_t kind; /* enum jb_request_kind */
};

/* A request that arrived before the rows were read.  */
struct jb_deferred_request
{
  uint64_t member;
  struct jb_msg *message;
};

/* Statistics of the jobs of a queue.  */
struct jb_queue_stats
{
  int64_t mean_work;     /* thousandths of a core * ms */
  double duration_ratio; /* mean of actual to estimated run time of tasks */
};

/* Resources of this pool that an organisation uses.  */
struct jb_pool_org_usage
{
  char *org;
  struct jb_resources used;
  struct jb_resources wanted;
  struct jb_resources share; /* the pool's share of the organisation's quota */
};

struct jb_pool
{
  struct jb_pool_options options;
  char *partition;
  struct jb_ownership *ownership;
  enum jb_pool_stage stage;
  jb_time loading_since;
  /* The time at which the leases of all runs that a previous owner started
     have certainly expired.  */
  jb_time scan_until;
  jb_time confirmed_by_peer_at; /* confirmation of ownership by a peer */
  jb_time unix_origin;          /* Unix time of the clock's origin */
  bool first_start_observed;    /* a task was started since the claim */
  /* Backend servers by instance.  */
  GHashTable *backends;
  bool roster_dirty; /* the stored roster is out of date */
  bool roster_write_in_flight;
  jb_time listed_at; /* when the newest processed list was requested */
  struct jb_backend **usable_backends; /* made at each scheduling cycle */
  uint32_t usable_count;
  /* Jobs by ID.  */
  GHashTable *jobs;
  GPtrArray *active_jobs;  /* not ended, or with active runs */
  GHashTable *queue_stats; /* name -> struct jb_queue_stats */
  /* Writes to the store.  */
  GPtrArray *dirty_jobs; /* struct jb_job */
  jb_time dirty_since;
  struct jb_write_batch *write_batch;
  bool schedule_due;
  jb_time next_schedule;
  jb_time next_sweep;
  /* Quotas of organisations.  */
  GHashTable *org_usages; /* organisation -> struct jb_pool_org_usage */
  uint64_t reported_planner_fence; /* highest fence of a planner that got a
                                      report */
  uint64_t shares_planner_fence; /* fence of the planner whose shares apply */
  uint64_t shares_serial;
  /* When a probe last listed a run that no job needs.  */
  jb_time orphan_seen_at;
  bool quota_blocked; /* a task waits for a larger share */
  jb_time usage_reported_at;
  jb_time next_usage_report;
  /* Load.  */
  double arrived_work; /* recently submitted work, decaying exponentially */
  jb_time arrived_work_at;
  GPtrArray *deferred_requests; /* struct jb_deferred_request */
};

/* Return when ownership expires unless it is confirmed again.  */
static inline jb_time
jb_pool_ownership_valid_until (const struct jb_pool *pool)
{
  return MAX (pool->confirmed_by_peer_at,
              jb_ownership_confirmed_at (pool->ownership))
         + JB_OWNERSHIP_VALIDITY;
}

/* Return whether a test has disabled SAFEGUARD.  */
static inline bool
jb_pool_has_disabled (const struct jb_pool *pool, enum jb_safeguard safeguard)
{
  return (pool->options.bounds->disabled_safeguards & safeguard) != 0;
}

/* Return whether commands may be sent.  */
static inline bool
jb_pool_may_command (const struct jb_pool *pool, jb_time now)
{
  return pool->stage >= JB_STAGE_SCANNING
         && jb_ownership_state (pool->ownership) == JB_OWNERSHIP_HELD
         && now < jb_pool_ownership_valid_until (pool);
}

/* ---- jb_pool_takeover.c ---- */

/* Start loading the rows after the claim of the pool succeeded.  */
void jb_pool_begin_takeover (struct jb_pool *pool, jb_time now);
/* End the stage JB_STAGE_SCANNING once all backend servers in the roster were
   probed, or the runs of a previous owner have ended.  */
void jb_pool_finish_scan_if_complete (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_roster.c ---- */

/* Submit the read of the roster; CALLBACK gets the reply, with POOL as its
   data.  */
void jb_pool_read_roster (struct jb_pool *pool, jb_time now,
                          jb_reply_callback *callback);
/* Add the backend servers of the roster rows in REPLY to POOL.  Return false
   when a row is invalid.  */
bool jb_pool_load_roster (struct jb_pool *pool, jb_time now,
                          const struct jb_reply *reply);
/* Take BACKEND, where nothing can run any more, off the roster.  */
void jb_pool_remove_from_roster (struct jb_pool *pool,
                                 struct jb_backend *backend);
/* Write the roster if it is out of date.  */
void jb_pool_write_roster (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_store.c ---- */

/* Queue JOB to be written.  */
void jb_pool_mark_dirty (struct jb_pool *pool, struct jb_job *job,
                         jb_time now);
/* Write a batch of dirty jobs if one is due and none is in flight.  */
void jb_pool_write_dirty_jobs (struct jb_pool *pool, jb_time now);
/* Mark all ends that were processed as stored if nothing waits to be
   written.  */
void jb_pool_mark_ends_stored (struct jb_pool *pool, jb_time now);
/* Return when the next batch is due, or JB_NEVER.  */
jb_time jb_pool_write_due_at (const struct jb_pool *pool);

/* ---- jb_pool_probe.c ---- */

/* Send the probes that are due.  */
void jb_pool_send_probes (struct jb_pool *pool, jb_time now);
/* Return when the next probe is due, or JB_NEVER.  */
jb_time jb_pool_probe_due_at (const struct jb_pool *pool);
/* Clear all runs on BACKEND, which are lost for REASON.  */
void jb_pool_clear_lost_runs (struct jb_pool *pool, struct jb_backend *backend,
                              jb_time now, const char *reason);

/* ---- jb_pool_schedule.c ---- */

/* Run a scheduling cycle if one is due.  */
void jb_pool_schedule (struct jb_pool *pool, jb_time now);
/* Stop the current run of TASK, or send the stop again.  REASON is logged.  A
   run whose start has not been answered is left alone.  */
void jb_pool_stop_run (struct jb_pool *pool, struct jb_task *task, jb_time now,
                       const char *reason);
/* Stop RUN of TASK on BACKEND, which no job needs there.  */
void jb_pool_stop_orphaned_run (struct jb_pool *pool,
                                struct jb_backend *backend, const char *task,
                                uint32_t run, jb_time now);
/* Send stops again that were not answered in time.  */
void jb_pool_resend_stops (struct jb_pool *pool, jb_time now);
/* Return whether tasks may be started on BACKEND.  */
bool jb_pool_backend_is_usable (const struct jb_pool *pool,
                                const struct jb_backend *backend, jb_time now);
/* Continue after a start or stop of TASK was answered, or its run ended: end
   its job if that is due.  */
void jb_pool_handle_run_update (struct jb_pool *pool, struct jb_task *task,
                                jb_time now);

/* ---- jb_pool_quota.c ---- */

/* Return whether ORG, which may be NULL, has a quota.  */
bool jb_pool_org_has_quota (const struct jb_pool *pool, const char *org);
/* Return the usage of ORG, which is created on first use.  */
struct jb_pool_org_usage *jb_pool_get_org_usage (struct jb_pool *pool,
                                                 const char *org);
/* Return whether RESOURCES more for a task of JOB stay within the pool's share
   of its organisation's quota.  */
bool jb_pool_check_share (struct jb_pool *pool, const struct jb_job *job,
                          const struct jb_resources *resources);
/* Return when the next report to the planner is due.  */
jb_time jb_pool_usage_report_due_at (const struct jb_pool *pool);
/* Recompute what the organisations use.  */
void jb_pool_recount_usage (struct jb_pool *pool);

/* ---- jb_pool_throttle.c ---- */

/* Adjust the speed of the best-effort tasks on BACKEND.  */
void jb_pool_throttle_backend (struct jb_pool *pool,
                               struct jb_backend *backend, jb_time now);

/* ---- jb_pool_advice.c ---- */

/* Return whether GROUP may be started as far as the policy service is
   concerned.  Its advice is requested when it is missing.  */
bool jb_pool_ensure_advice (struct jb_pool *pool, struct jb_task_group *group,
                            jb_time now);
/* Discard the ticket for BACKEND, which refused it.  */
void jb_pool_discard_ticket (struct jb_task_group *group,
                             const struct jb_backend *backend);

/* ---- jb_pool.c ---- */

/* Return the statistics of the queue NAME, which are created on first use.  */
struct jb_queue_stats *jb_pool_get_queue_stats (struct jb_pool *pool,
                                                const char *name);
/* Add JOB, which is new or was loaded from the store.  */
void jb_pool_add_job (struct jb_pool *pool, struct jb_job *job);
/* Move JOB to the final state STATE and stop its runs.  REASON, which may be
   NULL, is logged.  */
void jb_pool_end_job (struct jb_pool *pool, struct jb_job *job,
                      enum jb_job_state state, jb_time now,
                      const char *reason);
/* Answer the clients that wait for a state of JOB that is durable now.  */
void jb_pool_answer_waiters (struct jb_pool *pool, struct jb_job *job,
                             jb_time now);
/* Open the occurrences of JOB whose start time has come.  */
void jb_pool_open_due_occurrences (struct jb_pool *pool, struct jb_job *job,
                                   jb_time now);

/* ---- jb_pool_evacuate.c ---- */

/* Stop the long-running tasks of BACKEND so that they start elsewhere, as far
   as their disruption budgets allow.  */
void jb_pool_move_long_running (struct jb_pool *pool,
                                struct jb_backend *backend, jb_time now,
                                const char *reason);

#endif
