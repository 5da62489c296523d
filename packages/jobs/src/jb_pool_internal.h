#ifndef JB_POOL_INTERNAL_H
#define JB_POOL_INTERNAL_H

/* State of the holder of a pool, shared by the files jb_pool*.c.  */

#include "jb_place.h"
#include "jb_pool.h"
#include "jb_rank.h"

#define JB_JOB_TABLE "job"

/* Rows of a job: its ID and one of these.  */
#define JB_KEY_DESC ".d"
#define JB_KEY_PROGRESS ".p"
#define JB_KEY_END ".e"

/* A run that dies with the entry host that cares for it is lost so long after
   the last lease; a look at a backend server renews it.  Long enough for a
   successor to take over, and short enough that work on a dark host is soon
   done elsewhere.  */
#define JB_LEASE_MS 3500

/* An answered look is followed by the next within; it renews the lease.  */
#define JB_LOOK_WAIT_MS 500

/* Standing without confirmation.  */
#define JB_STANDING (1800 * JB_MS)

enum jb_pool_stage
{
  JB_STAGE_IDLE,     /* not held */
  JB_STAGE_LOADING,  /* reading the rows */
  JB_STAGE_SCANNING, /* looking at all backend servers for what runs */
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
struct jb_early
{
  uint64_t member;
  struct jb_msg *message;
};

/* What is learnt of a queue's jobs.  */
struct jb_queue_stats
{
  int64_t mean_work; /* thousandths of cores times ms */
  double stretch;    /* how long tasks really take, against their estimate */
};

/* What an organisation uses of this pool.  */
struct jb_pool_use
{
  char *org;
  struct jb_amount used;
  struct jb_amount wanted;
  struct jb_amount limit; /* its share of the organisation's limit */
};

struct jb_pool
{
  struct jb_pool_options options;
  char *part;
  struct jb_ownership *duty;
  enum jb_pool_stage stage;
  jb_time claimed;
  jb_time scan_until; /* what a former holder started has lapsed by then */
  jb_time confirmed;  /* by peers */
  jb_time wall;       /* Unix time of the clock's origin */
  bool started;       /* a task, since the claim */
  /* backend servers by instance */
  GHashTable *backends;
  bool roster_dirty; /* a successor does not know all of them yet */
  bool roster_writing;
  jb_time listed_at;          /* sending time of the newest list taken in */
  struct jb_backend **usable; /* fit for work, made by schedule */
  uint32_t usable_count;
  /* jobs by ID */
  GHashTable *jobs;
  GPtrArray *active;  /* those that have not ended, or still have runs */
  GHashTable *queues; /* name -> struct jb_queue_stats */
  /* writing */
  GPtrArray *dirty; /* jobs */
  jb_time dirty_since;
  struct jb_flush *flush;
  bool schedule_due;
  jb_time next_schedule;
  jb_time next_sweep;
  /* limits of organisations */
  GHashTable *uses;        /* organisation -> struct jb_pool_use */
  uint64_t told_planner;   /* fence of the newest planner that was told */
  uint64_t shares_planner; /* fence of the one whose shares are kept to */
  uint64_t shares_serial;
  jb_time foreign_at; /* runs that nobody wants were listed last then */
  bool cap_blocked;   /* a task waits for a larger share */
  jb_time usage_told;
  jb_time next_usage;
  /* load */
  double arrived; /* work, what is older counts less */
  jb_time arrived_at;
  GPtrArray *early; /* struct jb_early, that came before the rows were read */
};

static inline jb_time
jb_pool_standing_until (const struct jb_pool *pool)
{
  return MAX (pool->confirmed, jb_ownership_confirmed_at (pool->duty))
         + JB_STANDING;
}

static inline bool
jb_pool_is_off (const struct jb_pool *pool, enum jb_off mechanism)
{
  return (pool->options.bounds->off & mechanism) != 0;
}

/* Return whether orders may be given.  */
static inline bool
jb_pool_stands (const struct jb_pool *pool, jb_time now)
{
  return pool->stage >= JB_STAGE_SCANNING
         && jb_ownership_state (pool->duty) == JB_OWNERSHIP_HELD
         && now < jb_pool_standing_until (pool);
}

/* jb_pool_load.c */
void jb_pool_begin_loading (struct jb_pool *pool, jb_time now);
void jb_pool_scan_check (struct jb_pool *pool, jb_time now);

/* jb_pool_roster.c */
void jb_pool_read_roster (struct jb_pool *pool, jb_time now,
                          jb_reply_callback *done);
bool jb_pool_load_roster (struct jb_pool *pool, jb_time now,
                          const struct jb_reply *reply);
/* Nothing can run on BACKEND any more.  */
void jb_pool_off_record (struct jb_pool *pool, struct jb_backend *backend);
void jb_pool_write_roster (struct jb_pool *pool, jb_time now);

/* jb_pool_store.c */
void jb_pool_mark (struct jb_pool *pool, struct jb_job *job, jb_time now);
void jb_pool_flush (struct jb_pool *pool, jb_time now);
/* When nothing waits to be written, all ends that were listed are durable.  */
void jb_pool_settle_ends (struct jb_pool *pool, jb_time now);
jb_time jb_pool_flush_due (const struct jb_pool *pool);

/* jb_pool_look.c */
void jb_pool_look_all (struct jb_pool *pool, jb_time now);
jb_time jb_pool_look_due (const struct jb_pool *pool);
void jb_pool_lose_runs (struct jb_pool *pool, struct jb_backend *backend,
                        jb_time now, const char *reason);

/* jb_pool_start.c */
void jb_pool_schedule (struct jb_pool *pool, jb_time now);
void jb_pool_stop_run (struct jb_pool *pool, struct jb_task *task, jb_time now,
                       const char *reason);
void jb_pool_stop_foreign (struct jb_pool *pool, struct jb_backend *backend,
                           const char *task, uint32_t run, jb_time now);
void jb_pool_resend_stops (struct jb_pool *pool, jb_time now);
bool jb_pool_usable (const struct jb_pool *pool,
                     const struct jb_backend *backend, jb_time now);
/* The start or stop of TASK has been settled, or its run is over: what hangs
   on it goes on.  */
void jb_pool_run_over (struct jb_pool *pool, struct jb_task *task,
                       jb_time now);

/* jb_pool_caps.c */
bool jb_pool_is_limited (const struct jb_pool *pool, const char *org);
struct jb_pool_use *jb_pool_use (struct jb_pool *pool, const char *org);
/* Return whether a task of JOB with AMOUNT keeps its organisation's share.  */
bool jb_pool_may_use (struct jb_pool *pool, const struct jb_job *job,
                      const struct jb_amount *amount);
/* Return when the planner is to be told next.  */
jb_time jb_pool_usage_due (const struct jb_pool *pool);
/* Count anew what the organisations use.  */
void jb_pool_count_uses (struct jb_pool *pool);

/* jb_pool_pace.c */
void jb_pool_pace (struct jb_pool *pool, struct jb_backend *backend,
                   jb_time now);

/* jb_pool_advice.c */
/* Return whether GROUP may be started as far as advice goes, asking for it
   when that is missing.  */
bool jb_pool_has_advice (struct jb_pool *pool, struct jb_group *group,
                         jb_time now);
void jb_pool_ticket_refused (struct jb_group *group,
                             const struct jb_backend *backend);

/* jb_pool.c */
struct jb_queue_stats *jb_pool_queue (struct jb_pool *pool, const char *name);
void jb_pool_add_job (struct jb_pool *pool, struct jb_job *job);
void jb_pool_end_job (struct jb_pool *pool, struct jb_job *job,
                      enum jb_job_state state, jb_time now,
                      const char *reason);
void jb_pool_answer_waiters (struct jb_pool *pool, struct jb_job *job,
                             jb_time now);
void jb_pool_open_due (struct jb_pool *pool, struct jb_job *job, jb_time now);

/* jb_pool_clear.c */
/* Have lasting tasks of BACKEND run elsewhere, as far as they may be away.  */
void jb_pool_move_lasting (struct jb_pool *pool, struct jb_backend *backend,
                           jb_time now, const char *reason);

#endif
