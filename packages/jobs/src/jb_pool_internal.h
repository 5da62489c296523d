#ifndef JB_POOL_INTERNAL_H
#define JB_POOL_INTERNAL_H

/* State of the holder of a pool, shared by the files jb_pool*.c.  */

#include "jb_place.h"
#include "jb_pool.h"
#include "jb_rank.h"

#define JB_JOB_TABLE "job"

/* Rows of a job: its ID and one of these.  */
#define JB_KEY_SUFFIX_DESC ".d"
#define JB_KEY_SUFFIX_PROGRESS ".p"
#define JB_KEY_SUFFIX_END ".e"

/* A run that dies with the entry host that cares for it is lost so long after
   the last lease; a look at a backend server renews it.  Long enough for a
   successor to take over, and short enough that work on a dark host is soon
   done elsewhere.  */
#define JB_RUN_LEASE_MS 3500

/* An answered look is followed by the next within; it renews the lease.  */
#define JB_PROBE_WAIT_MS 500

/* Standing without confirmation.  */
#define JB_OWNERSHIP_VALIDITY (1800 * JB_MS)

enum jb_pool_stage
{
  JB_STAGE_NOT_OWNED, /* not held */
  JB_STAGE_LOADING,   /* reading the rows */
  JB_STAGE_SCANNING,  /* looking at all backend servers for what runs */
  JB_STAGE_ACTIVE
};

/* A client that waits until JOB's state is durable.  */
struct jb_waiter
{
  struct jb_waiter *next;
  uint64_t member;
  uint64_t call;
  uint32_t kind; /* enum jb_request_kind */
};

/* A request that came before the rows were read.  */
struct jb_deferred_request
{
  uint64_t member;
  struct jb_msg *message;
};

/* What is learnt of a queue's jobs.  */
struct jb_queue_stats
{
  int64_t mean_work; /* thousandths of cores times ms */
  double
      duration_ratio; /* how long tasks really take, against their estimate */
};

/* What an organisation uses of this pool.  */
struct jb_pool_org_usage
{
  char *org;
  struct jb_resources used;
  struct jb_resources wanted;
  struct jb_resources share; /* its share of the organisation's limit */
};

struct jb_pool
{
  struct jb_pool_options options;
  char *partition;
  struct jb_ownership *duty;
  enum jb_pool_stage stage;
  jb_time loading_since;
  jb_time scan_until; /* what a former holder started has lapsed by then */
  jb_time peer_confirmed_at; /* by peers */
  jb_time unix_origin;       /* Unix time of the clock's origin */
  bool first_start_observed; /* a task, since the claim */
  /* backend servers by instance */
  GHashTable *backends;
  bool roster_dirty; /* a successor does not know all of them yet */
  bool roster_write_in_flight;
  jb_time listed_at; /* sending time of the newest list taken in */
  struct jb_backend **usable_backends; /* fit for work, made by schedule */
  uint32_t usable_count;
  /* jobs by ID */
  GHashTable *jobs;
  GPtrArray *active_jobs;  /* those that have not ended, or still have runs */
  GHashTable *queue_stats; /* name -> struct jb_queue_stats */
  /* writing */
  GPtrArray *dirty_jobs; /* jobs */
  jb_time dirty_since;
  struct jb_write_batch *write_batch;
  bool schedule_due;
  jb_time next_schedule;
  jb_time next_sweep;
  /* limits of organisations */
  GHashTable *org_usages;    /* organisation -> struct jb_pool_org_usage */
  uint64_t reported_planner; /* fence of the newest planner that was told */
  uint64_t shares_planner;   /* fence of the one whose shares are kept to */
  uint64_t shares_serial;
  jb_time orphan_seen_at; /* runs that nobody wants were listed last then */
  bool quota_blocked;     /* a task waits for a larger share */
  jb_time usage_reported_at;
  jb_time next_usage_report;
  /* load */
  double arrived_work; /* work, what is older counts less */
  jb_time arrived_work_at;
  GPtrArray *deferred_requests; /* struct jb_deferred_request, that came before
                       the rows were read */
};

static inline jb_time
jb_pool_ownership_valid_until (const struct jb_pool *pool)
{
  return MAX (pool->peer_confirmed_at, jb_ownership_confirmed_at (pool->duty))
         + JB_OWNERSHIP_VALIDITY;
}

static inline bool
jb_pool_has_disabled (const struct jb_pool *pool, enum jb_safeguard mechanism)
{
  return (pool->options.bounds->disabled_safeguards & mechanism) != 0;
}

/* Return whether orders may be given.  */
static inline bool
jb_pool_may_command (const struct jb_pool *pool, jb_time now)
{
  return pool->stage >= JB_STAGE_SCANNING
         && jb_ownership_state (pool->duty) == JB_OWNERSHIP_HELD
         && now < jb_pool_ownership_valid_until (pool);
}

/* jb_pool_takeover.c */
void jb_pool_begin_takeover (struct jb_pool *pool, jb_time now);
void jb_pool_check_scan (struct jb_pool *pool, jb_time now);

/* jb_pool_roster.c */
void jb_pool_read_roster (struct jb_pool *pool, jb_time now,
                          jb_reply_callback *done);
bool jb_pool_load_roster (struct jb_pool *pool, jb_time now,
                          const struct jb_reply *reply);
/* Nothing can run on BACKEND any more.  */
void jb_pool_remove_from_roster (struct jb_pool *pool,
                                 struct jb_backend *backend);
void jb_pool_write_roster (struct jb_pool *pool, jb_time now);

/* jb_pool_store.c */
void jb_pool_mark_dirty (struct jb_pool *pool, struct jb_job *job,
                         jb_time now);
void jb_pool_write_dirty_jobs (struct jb_pool *pool, jb_time now);
/* When nothing waits to be written, all ends that were listed are durable.  */
void jb_pool_mark_ends_stored (struct jb_pool *pool, jb_time now);
jb_time jb_pool_write_due (const struct jb_pool *pool);

/* jb_pool_probe.c */
void jb_pool_send_probes (struct jb_pool *pool, jb_time now);
jb_time jb_pool_probe_due (const struct jb_pool *pool);
void jb_pool_lose_runs (struct jb_pool *pool, struct jb_backend *backend,
                        jb_time now, const char *reason);

/* jb_pool_schedule.c */
void jb_pool_schedule (struct jb_pool *pool, jb_time now);
void jb_pool_stop_run (struct jb_pool *pool, struct jb_task *task, jb_time now,
                       const char *reason);
void jb_pool_stop_orphan (struct jb_pool *pool, struct jb_backend *backend,
                          const char *task, uint32_t run, jb_time now);
void jb_pool_resend_stops (struct jb_pool *pool, jb_time now);
bool jb_pool_backend_is_usable (const struct jb_pool *pool,
                                const struct jb_backend *backend, jb_time now);
/* The start or stop of TASK has been settled, or its run is over: what hangs
   on it goes on.  */
void jb_pool_handle_run_update (struct jb_pool *pool, struct jb_task *task,
                                jb_time now);

/* jb_pool_quota.c */
bool jb_pool_org_has_quota (const struct jb_pool *pool, const char *org);
struct jb_pool_org_usage *jb_pool_org_usage (struct jb_pool *pool,
                                             const char *org);
/* Return whether a task of JOB with AMOUNT keeps its organisation's share.  */
bool jb_pool_within_share (struct jb_pool *pool, const struct jb_job *job,
                           const struct jb_resources *amount);
/* Return when the planner is to be told next.  */
jb_time jb_pool_usage_due (const struct jb_pool *pool);
/* Count anew what the organisations use.  */
void jb_pool_recount_usage (struct jb_pool *pool);

/* jb_pool_throttle.c */
void jb_pool_throttle_backend (struct jb_pool *pool,
                               struct jb_backend *backend, jb_time now);

/* jb_pool_advice.c */
/* Return whether GROUP may be started as far as advice goes, asking for it
   when that is missing.  */
bool jb_pool_advice_allows_start (struct jb_pool *pool,
                                  struct jb_task_group *group, jb_time now);
void jb_pool_discard_ticket (struct jb_task_group *group,
                             const struct jb_backend *backend);

/* jb_pool.c */
struct jb_queue_stats *jb_pool_queue_stats (struct jb_pool *pool,
                                            const char *name);
void jb_pool_add_job (struct jb_pool *pool, struct jb_job *job);
void jb_pool_end_job (struct jb_pool *pool, struct jb_job *job,
                      enum jb_job_state state, jb_time now,
                      const char *reason);
void jb_pool_answer_waiters (struct jb_pool *pool, struct jb_job *job,
                             jb_time now);
void jb_pool_open_due_occurrences (struct jb_pool *pool, struct jb_job *job,
                                   jb_time now);

/* jb_pool_evacuate.c */
/* Have lasting tasks of BACKEND run elsewhere, as far as they may be away.  */
void jb_pool_move_long_running (struct jb_pool *pool,
                                struct jb_backend *backend, jb_time now,
                                const char *reason);

#endif
