#ifndef JB_POOL_INTERNAL_H
#define JB_POOL_INTERNAL_H

/* The state of a pool at its owner, and the functions that the files
   jb_pool*.c share.  */

#include "jb_doubt.h"
#include "jb_place.h"
#include "jb_pool.h"
#include "jb_rank.h"
#include "jb_start_window.h"
#include "jb_takeover.h"
#include "jb_reserve.h"

#define JB_JOB_TABLE "job"

/* Suffixes of the row keys of a job, which follow its ID: its description, its
   progress, and its final state, which replaces the other two.  */
#define JB_KEY_SUFFIX_DESC ".d"
#define JB_KEY_SUFFIX_PROGRESS ".p"
#define JB_KEY_SUFFIX_END ".e"

/* What an owner leaves to its successor (jb_pool_handover.c), and prefix of
   the keys of the rows that list starts in doubt.  */
#define JB_HANDOVER_TABLE "handover"
#define JB_KEY_PREFIX_DOUBTS "doubt."
/* Prefix of the keys of the rows that list the starts that are being sent
   (jb_pool_starts.c).  */
#define JB_KEY_PREFIX_STARTS "starts."
/* Key of the row with the witness of these starts, and those of former owners
   that have not told what they keep (jb_pool_witness.c).  */
#define JB_KEY_WITNESSES "witnesses"
/* Key of the row with the backend servers that may grant leases late
   (jb_pool_leases.c).  */
#define JB_KEY_LEASES "leases"
/* Key of the row that is there while backend servers restart under their names
   (jb_pool_restarts.c).  */
#define JB_KEY_RESTARTS "restarts"

/* Lease of the runs on a backend server, extended by grants (jb_pool_grant.c).
   If no owner of the pool grants one for this time, the runs end.  It is
   long enough for another host to take over the pool, and short enough that
   work on an unreachable backend server is soon started elsewhere.  */
#define JB_RUN_LEASE_MS 3500

/* Lease of a start where the runs have a lease already: long enough for its
   run to begin, and short since starts without an answer add up in the bound.
 */
#define JB_START_LEASE_MS 500

/* How long a backend server may delay its answer to a probe at most.  */
#define JB_PROBE_WAIT_MS 600

enum
{
  /* Number of consecutive unanswered probes after which a backend server
     counts as silent.  */
  JB_SILENT_AFTER_PROBES = 2
};

/* How long ownership is valid after its last confirmation.  */
#define JB_OWNERSHIP_VALIDITY (1800 * JB_MS)

enum
{
  /* After this number of starts of a task that were not answered, further ones
     are sent at intervals.  */
  JB_MAX_QUICK_STARTS = 6,
  /* There are this many fencing tokens for each version of an owner row, so
     that an owner can raise the one of a backend server.  */
  JB_FENCES_PER_VERSION = 1 << 16
};

enum jb_pool_stage
{
  JB_STAGE_NOT_OWNED,
  JB_STAGE_LOADING,  /* reading the pool's rows from the store */
  JB_STAGE_SCANNING, /* probing the backend servers for active runs */
  JB_STAGE_ACTIVE    /* all runs of previous owners are known or have ended */
};

/* A request that is answered once the state of a job is durable.  */
struct jb_waiter
{
  struct jb_waiter *next;
  uint64_t member; /* incarnation of the member that sent the request */
  uint64_t call;   /* number of the request on that member */
  uint32_t kind;   /* enum jb_request_kind */
};

/* A request that arrived before the rows were read.  */
struct jb_deferred_request
{
  uint64_t member; /* incarnation of the member that sent the request */
  struct jb_msg *message;
};

/* Statistics of the jobs of a queue.  */
struct jb_queue_stats
{
  int64_t mean_work;     /* thousandths of a core * ms */
  double duration_ratio; /* mean of actual to estimated run time of tasks */
  /* Accepted jobs of which no task has been started (jb_pool_sums.c).  */
  uint32_t pending_jobs;
};

/* What the active jobs of an organisation use and want, as in struct
   jb_job_demand.  */
struct jb_org_demand
{
  struct jb_resources used;
  struct jb_resources in_doubt;
  struct jb_resources wanted;
};

/* Resources of this pool that an organisation uses.  */
struct jb_pool_org_usage
{
  char *org;
  struct jb_resources used; /* by tasks that run or may run */
  /* Of that, by runs of previous owners that may be on silent backend servers
     beside others of the same tasks, until the scan has ended.  */
  struct jb_resources copies;
  /* Of `used', by tasks without a run that a start in doubt may give one.  */
  struct jb_resources in_doubt;
  struct jb_resources wanted; /* by tasks that are ready to start */
  /* In addition to `used', what the first start by rank needs that has room
     but not enough share; 0: none.  Of the last cycle.  */
  struct jb_resources needed;
  struct jb_resources share; /* the pool's share of the organisation's quota */
  /* The sum over the active jobs as far as they are counted.  The three above
     are taken from it by jb_pool_update_usage.  */
  struct jb_org_demand counted;
  uint32_t counted_jobs;
  /* It has had active jobs when the usage was updated, or a share: it is
     listed in reports to the planner, which reserves room for it until then.
   */
  bool is_reported;
  /* Whether it has a quota in the version of the catalog `quota_version'; 0:
     not looked up yet.  */
  bool has_quota;
  uint64_t quota_version;
  /* With lookahead: it uses more than its weight's share while others
     wait.  */
  bool exceeds_weight;
  bool over_share; /* as jb_share_compare decided last */
};

/* The state of placement with lookahead.  */
struct jb_pool_lookahead
{
  struct jb_duration_table *durations;
  struct jb_reserve *reserve;
  struct jb_reserve_stats counted; /* in the driver's metrics */
  struct jb_rank rank; /* of the group whose tasks are being started */
};

/* Sums over the active jobs as far as they are counted: of struct
   jb_job_demand, except what is kept for each organisation and queue.  */
struct jb_pool_sums
{
  unsigned __int128 unfinished_work; /* of 20,000 jobs it exceeds 64 bits */
  int64_t waiting_cpu_milli;
  int64_t waiting_weight;
  GPtrArray *changed_jobs;  /* struct jb_job: to be counted anew */
  GPtrArray *doubtful_jobs; /* struct jb_job: counted with starts in doubt */
  uint64_t recount_count;   /* how often a job was counted */
};

/* A group that waits to be started, and what its rank depends on.  */
struct jb_waiting_group
{
  struct jb_task_group *group;
  /* Without queue_mean_work and critical_path_ms, which depend on the
     statistics of the queue.  */
  struct jb_rank_input rank_input;
  int64_t critical_path_ms; /* by the estimates */
  const struct jb_queue_stats *queue_stats;
};

/* Groups that wait to be started and need the same.  */
struct jb_waiting_class
{
  struct jb_resources resources;       /* of each task */
  char *label;                         /* that is required, or NULL */
  struct jb_pool_org_usage *org_usage; /* borrowed; NULL: anonymous */
  bool best_effort;
  bool gang;
  bool needs_advice;
  bool has_doubts;     /* a task may have a start in doubt */
  bool is_loaded;      /* loaded_from_store of the jobs */
  bool may_copy;       /* jb_takeover_may_start_copies of the steps */
  GHashTable *classes; /* the pool's */
  GArray *groups;      /* struct jb_waiting_group, at least one */
};

/* What the predecessor has stored of a backend server that did not answer
   it.  */
struct jb_silent_backend
{
  char *instance;
  uint32_t task_count;
  char **tasks; /* names of those that may run there */
};

/* Why runs on a backend server were lost, all of them or only one.  */
enum jb_loss_cause
{
  JB_LOSS_START_UNANSWERED, /* its start: it was stopped and is not there */
  JB_LOSS_UNLISTED,         /* it was there and is not any more */
  JB_LOSS_LEASE_EXPIRED,    /* it does not answer */
  JB_LOSS_REPLACED,         /* another instance answers at its address */
  JB_LOSS_RESTARTED
};

struct jb_pool
{
  struct jb_pool_options options;
  char *partition;
  struct jb_ownership *ownership;
  enum jb_pool_stage stage;
  jb_time loading_since; /* when the claim succeeded */
  struct jb_takeover_predecessor predecessor;
  bool rows_read;       /* the roster and the jobs */
  bool handover_read;   /* what the predecessor left was read, if possible */
  bool settled_written; /* this owner has stored that it is settled */
  /* Backend servers that did not answer the predecessor when it handed the
     pool over, if it has.  */
  struct jb_silent_backend *silent;
  uint32_t silent_count;
  /* When this owner began to hand the pool over and sent its last command; 0:
     it has not.  Then why, and the row for its successor.  */
  jb_time handover_since;
  jb_time next_doubt_message; /* earliest time of the next one */
  jb_time next_query; /* of witnesses of former owners, during the takeover */
  char *handover_reason;
  struct ba_bytes handover_runs;
  bool handover_row_queued;
  /* When previous owners have certainly sent their last command.  */
  jb_time predecessor_until;
  /* When the leases of all runs that a previous owner started have certainly
     expired.  */
  jb_time scan_until;
  /* While backend servers are silent during the scan: whether something has
     changed since it was last checked which loaded jobs may be released, the
     earliest time of the next check, the number of jobs that wait, and when
     that was last logged.  */
  bool release_check_due;
  jb_time next_release_check;
  uint32_t waiting_jobs;
  uint32_t awaited_tasks; /* that wait, of jobs that may go on */
  jb_time wait_logged_at;
  /* Up to when no other host has claimed the pool, as far as the heartbeats of
     members show; 0: they show nothing.  */
  jb_time unclaimed_until;
  /* The queues of the pool, by the hash of their names, as of the version
     `queues_version' of the catalog (0: not determined yet), and the number of
     rows that hold them in the store.  */
  GHashTable *queues;
  uint64_t queues_version;
  uint32_t queue_row_count;
  uint32_t queue_writes_in_flight;
  jb_time unix_origin;       /* Unix time of the driver clock's origin */
  bool first_start_observed; /* the time to the first start was measured */
  /* Backend servers.  */
  GHashTable *backends; /* instance -> struct jb_backend */
  /* The backend servers in the order of that table, which is slow to go
     through, or empty if the table has changed.  */
  GPtrArray *backend_list;
  uint32_t last_incarnation; /* highest number of an incarnation of a backend
                                server */
  uint64_t last_fence;       /* highest fencing token of a backend server */
  jb_time restart_seen_at;   /* of any backend server */
  jb_time restarts_expected_until; /* see jb_pool_restarts.c */
  bool has_restarts_row;
  jb_time restarts_watched_until; /* see jb_pool_watch_for_restarts */
  /* When the next group of grants is due, and which was the last one.  */
  jb_time next_grants;
  uint32_t grant_group;
  GPtrArray *losses; /* struct jb_loss: those that crashed or may have */
  struct jb_given_up_table *given_up; /* NULL: no run was given up yet */
  bool roster_dirty;                  /* the stored roster is out of date */
  bool roster_write_in_flight;
  uint32_t roster_row_count; /* number of rows of the stored roster */
  /* Number of backend servers that were excluded from the roster, and of those
     that the stored roster lacks.  */
  uint64_t exclusions;
  uint64_t stored_exclusions;
  uint64_t list_number;      /* number of lists of which the first page came */
  jb_time list_requested_at; /* when the newest of them was requested */
  struct jb_backend **usable_backends; /* rebuilt in each scheduling cycle */
  uint32_t usable_count;
  GHashTable *empty_zones; /* changes (struct jb_zone) logged as empty */
  /* Jobs.  */
  GHashTable *jobs;        /* ID -> struct jb_job */
  GPtrArray *active_jobs;  /* struct jb_job: not ended, or with active runs */
  GHashTable *queue_stats; /* name -> struct jb_queue_stats */
  struct jb_pool_sums sums;
  GHashTable *waiting_classes; /* struct jb_waiting_class */
  /* Writes to the store.  */
  GPtrArray *dirty_jobs; /* struct jb_job: changes that are not written */
  jb_time dirty_since;   /* time of the first such change; 0: there is none */
  struct jb_write_batch *write_batch; /* in flight, or NULL */
  /* Keys of rows of JB_JOB_TABLE to be removed, the first of them by the batch
     in flight.  */
  GPtrArray *obsolete_keys;
  /* Number of batches that will contain one job only, because the store has
     refused a batch as invalid.  */
  uint32_t single_batches;
  /* Scheduling and periodic work.  */
  struct jb_start_window start_window;
  bool schedule_due;     /* something changed since the last cycle */
  jb_time next_schedule; /* earliest time of the next cycle */
  jb_time next_sweep;
  jb_time next_selection; /* when jobs are deferred again, see jb_select.h */
  bool share_applies;     /* a job was deferred in the last selection */
  /* Quotas of organisations.  */
  GHashTable *org_usages; /* organisation -> struct jb_pool_org_usage */
  uint64_t reported_planner_fence; /* highest fence of a planner that got a
                                      report */
  uint64_t shares_planner_fence; /* fence of the planner whose shares apply */
  uint64_t shares_serial;        /* serial number of these shares */
  /* When a probe last listed an orphaned run, which no job needs, or 0.  */
  jb_time orphan_seen_at;
  bool quota_blocked;        /* a task waits for a larger share */
  bool needs_reported;       /* the last jb_pool_report_needs had any */
  jb_time usage_reported_at; /* 0: never */
  jb_time next_usage_report;
  /* Load.  */
  /* Recently submitted work, decaying exponentially, as of arrived_work_at;
     thousandths of a core * ms.  */
  double arrived_work;
  jb_time arrived_work_at;
  GPtrArray *deferred_requests;        /* struct jb_deferred_request */
  struct jb_pool_lookahead *lookahead; /* NULL: it is switched off */
  struct jb_pool_doubts *doubts;
  struct jb_pool_starts *starts;
  struct jb_pool_witnesses *witnesses;
  struct jb_pool_leases *leases;
};

/* Return when the ownership of POOL expires unless it is confirmed again.  */
static inline jb_time
jb_pool_ownership_valid_until (const struct jb_pool *pool)
{
  return MAX (pool->unclaimed_until,
              jb_ownership_confirmed_at (pool->ownership))
         + JB_OWNERSHIP_VALIDITY;
}

/* Return whether a test has disabled SAFEGUARD.  */
static inline bool
jb_pool_has_disabled (const struct jb_pool *pool, enum jb_safeguard safeguard)
{
  return (pool->options.bounds->disabled_safeguards & safeguard) != 0;
}

/* Return whether POOL's owner may send commands to backend servers.  Probes
   that extend no lease are also sent while its ownership is not valid.  */
static inline bool
jb_pool_may_command (const struct jb_pool *pool, jb_time now)
{
  return pool->stage >= JB_STAGE_SCANNING && pool->handover_since == 0
         && jb_ownership_state (pool->ownership) == JB_OWNERSHIP_HELD
         && now < jb_pool_ownership_valid_until (pool);
}

/* Return the generation of the owner that numbered RUN.  */
static inline uint32_t
jb_pool_generation_of_run (uint32_t run)
{
  return (MAX (run, 1) - 1) / JB_RUN_NUMBERS_PER_OWNER + 1;
}

/* Return the highest fencing token that POOL's owner has used, or its first
   one.  */
static inline uint64_t
jb_pool_last_fence (const struct jb_pool *pool)
{
  return MAX (pool->last_fence,
              jb_ownership_fence (pool->ownership) * JB_FENCES_PER_VERSION);
}

/* Raise the fencing token of commands to BACKEND.  Once it has answered one of
   them, it refuses what was sent before, until it restarts.  The token stays
   below those of later owners, and rises by far less than is left between two
   writes of this one.  */
static inline void
jb_pool_raise_fence (struct jb_pool *pool, struct jb_backend *backend,
                     jb_time now)
{
  uint64_t version = jb_ownership_version (pool->ownership);

  pool->last_fence
      = CLAMP (jb_pool_last_fence (pool) + 1, version * JB_FENCES_PER_VERSION,
               (version + 1) * JB_FENCES_PER_VERSION - 1);
  backend->fence = pool->last_fence;
  backend->fence_raised_at = now;
  backend->open_acks = 0;
}

/* Return the fencing token of commands to BACKEND.  It rises with each owner
   of POOL and with each incarnation of a backend server, so that what was sent
   to a previous incarnation is refused in the next one, once that has seen the
   higher token.  */
static inline uint64_t
jb_pool_fence_at (const struct jb_pool *pool, const struct jb_backend *backend)
{
  return MAX (backend->fence,
              jb_ownership_fence (pool->ownership) * JB_FENCES_PER_VERSION);
}

/* Return the target of a command to BACKEND.  */
static inline struct jb_backend_target
jb_pool_target (const struct jb_pool *pool, const struct jb_backend *backend,
                bool new_connection)
{
  return (struct jb_backend_target){ .address = backend->address,
                                     .instance = backend->instance,
                                     .fence = jb_pool_fence_at (pool, backend),
                                     .new_connection = new_connection };
}

/* BACKEND has refused a command with the fencing token FENCE as stale.  Unless
   the command has only been overtaken by one with a higher token of this
   owner, find out whether there is another owner.  Return whether that is
   so.  */
static inline bool
jb_pool_check_refused_fence (struct jb_pool *pool,
                             const struct jb_backend *backend, uint64_t fence,
                             jb_time now)
{
  if (fence < jb_pool_fence_at (pool, backend))
    return false;
  jb_ownership_verify (pool->ownership, now);
  return true;
}

/* ---- jb_pool_takeover.c ---- */

/* Start loading the rows of POOL, whose claim succeeded.  */
void jb_pool_begin_takeover (struct jb_pool *pool, jb_time now);
/* During the takeover, ask for what the witnesses of former owners keep, if
   that is due.  */
void jb_pool_query_witnesses (struct jb_pool *pool, jb_time now);
/* Go on from JB_STAGE_SCANNING to JB_STAGE_ACTIVE if all backend servers in
   the roster were probed, or all runs of a previous owner have ended.  */
void jb_pool_finish_scan_if_complete (struct jb_pool *pool, jb_time now);
/* During the scan, release the loaded jobs of which nothing can be on a
   backend server that has not answered, so that their tasks may start, if a
   check is due.  Return when the next one is due, or JB_NEVER.  */
jb_time jb_pool_release_loaded_jobs (struct jb_pool *pool, jb_time now);
/* Return whether the scan waits for the answer of BACKEND.  */
bool jb_pool_awaits_backend (const struct jb_backend *backend);
/* Return whether the runs on all backend servers that answer are known.  */
bool jb_pool_answering_are_probed (const struct jb_pool *pool);
/* Return the names of the first backend servers that the scan waits for,
   separated by commas and owned by MEM, and set COUNT to the number of all of
   them.  */
char *jb_pool_list_awaited (const struct jb_pool *pool, TALLOC_CTX *mem,
                            uint32_t *count);

/* Go on with JB_STAGE_SCANNING if all rows have been read.  */
void jb_pool_finish_loading_if_complete (struct jb_pool *pool, jb_time now);
/* While this owner waits because of its predecessor, find out whether the
   predecessor's process has ended, and shorten the wait if so.  */
void jb_pool_check_predecessor (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_doubt.c ---- */

/* How long a start waits for its answer before it is stored as one in
   doubt.  */
#define JB_STORE_DOUBT_AFTER (25 * JB_MS)

/* A row of starts that is not stored after this time is taken for one that
   the store does not answer.  */
#define JB_STORE_SILENCE (100 * JB_MS)

enum
{
  JB_MAX_DOUBTS_PER_ROW = 500 /* about 30 KB */
};

/* The stored form of starts that are sent or in doubt.  */
struct jb_saved_doubts
{
  uint32_t count;
  struct jb_doubt_entry *doubts;
};

void jb_saved_doubts_serialize (struct ba_codec *io,
                                struct jb_saved_doubts *saved);

struct jb_pool_doubts *jb_pool_doubts_new (TALLOC_CTX *mem);
/* The start of the current run of TASK is about to be queued.  Return whether
   it must be stored before it is sent.  */
bool jb_pool_begin_start (struct jb_pool *pool, struct jb_task *task,
                          jb_time now);
/* The start of TASK that was queued, if one was, is being sent.  */
void jb_pool_note_start_sent (struct jb_pool *pool, struct jb_task *task,
                              jb_time now);
/* Return whether the start of TASK's current run waits, and none was sent.  */
bool jb_pool_is_start_unsent (const struct jb_pool *pool,
                              struct jb_task *task);
/* The start of TASK that was queued, if one was, won't be sent.  */
void jb_pool_cancel_start (struct jb_pool *pool, struct jb_task *task);
/* Return how many starts a row can list.  */
uint32_t jb_pool_doubts_per_row (const struct jb_pool *pool);
/* Read the starts that ROW lists, in memory of MEM: none, with an error
   logged, if it is invalid.  */
void jb_pool_read_saved_doubts (struct jb_pool *pool, TALLOC_CTX *mem,
                                const struct jb_row *row,
                                struct jb_saved_doubts *saved);
/* Add the starts of ENTRY, which a former owner has sent, not after SENT_AT.
   Return their entry, or NULL if they don't matter any more.  */
struct jb_doubt *jb_pool_add_left_start (struct jb_pool *pool,
                                         const struct jb_doubt_entry *entry,
                                         jb_time sent_at);
/* The start of run number RUN of TASK on BACKEND that was sent at SENT_AT has
   SUCCEEDED, was refused or was not sent.  */
void jb_pool_start_answered (struct jb_pool *pool, const char *task,
                             uint32_t run, struct jb_backend *backend,
                             jb_time sent_at, bool succeeded);
/* The command with that start has a result, which may be that it was not
   answered.  */
void jb_pool_start_returned (struct jb_pool *pool, const char *task,
                             uint32_t run, const struct jb_backend *backend,
                             jb_time sent_at);
/* That start was sent more than once, not after NOW, and one sending has
   SUCCEEDED.  */
void jb_pool_start_resent (struct jb_pool *pool, const char *task,
                           uint32_t run, const struct jb_backend *backend,
                           jb_time sent_at, jb_time now, bool succeeded);
/* Return the entry of TASK if a start of it is in doubt, else NULL.  */
struct jb_doubt *jb_pool_find_doubt (const struct jb_pool *pool,
                                     struct jb_task *task);
/* Return whether another start may be sent beside those of DOUBT.  */
bool jb_pool_may_repeat (const struct jb_doubt *doubt, jb_time now);
/* Return the backend server of the start of TASK that is in doubt, or NULL if
   TASK can't start there now.  */
struct jb_backend *jb_pool_choose_in_doubt (const struct jb_pool *pool,
                                            struct jb_task *task, jb_time now);
/* The backend server of TASK's current run has answered that the run can't be
   started there any more: TASK needs a higher number.  */
void jb_pool_close_run (struct jb_pool *pool, struct jb_task *task);
/* Return whether TASK may start with a higher number: none of its starts that
   are in doubt can be carried out beside that.  If not, raise the fencing
   token of their backend server, so that it may later.  */
bool jb_pool_try_renumber (struct jb_pool *pool, struct jb_task *task,
                           jb_time now);
/* BACKEND has listed run number RUN of TASK as active.  */
void jb_pool_run_listed (struct jb_pool *pool, struct jb_backend *backend,
                         const char *task, uint32_t run);
/* BACKEND has listed ENDED_RUN.  */
void jb_pool_end_listed (struct jb_pool *pool, struct jb_backend *backend,
                         const struct jb_ended_run *ended_run);
/* Return the number of the last end that may be acknowledged to BACKEND.  */
uint64_t jb_pool_ackable_end (const struct jb_backend *backend);
/* Return whether ends that BACKEND has reported must not be acknowledged
   although they are stored.  */
bool jb_pool_holds_ends (const struct jb_backend *backend);
/* The instance INSTANCE will not come back: it carries out nothing.  */
void jb_pool_drop_doubts (struct jb_pool *pool, const char *instance);
/* The same for all instances that were at ADDRESS, except INSTANCE.  */
void jb_pool_drop_doubts_at (struct jb_pool *pool, const char *address,
                             const char *instance);
/* Remove the entries of starts that can't be carried out any more.  */
void jb_pool_expire_doubts (struct jb_pool *pool, jb_time now);
/* Store the starts that were not answered, for a successor, and remove rows
   that list nothing any more.  Return when to call this next, or JB_NEVER.  */
jb_time jb_pool_write_doubts (struct jb_pool *pool, jb_time now);
/* Replace the rows by new ones that list all starts in doubt, also those in
   flight.  */
void jb_pool_write_all_doubts (struct jb_pool *pool, jb_time now);
/* Add the starts that ROW of a former owner lists.  */
void jb_pool_load_doubts (struct jb_pool *pool, const struct jb_row *row,
                          jb_time now);
/* Return a row value with the ages of the starts in doubt at NOW, when the
   last command was sent, owned by MEM.  */
struct ba_bytes jb_pool_encode_doubt_ages (const struct jb_pool *pool,
                                           TALLOC_CTX *mem, jb_time now);
/* Take up the ages that the predecessor has left in ROW, read at NOW.  */
void jb_pool_load_doubt_ages (struct jb_pool *pool, const struct jb_row *row,
                              jb_time now);
/* Return since when a row waits to be stored, or 0 if none does.  */
jb_time jb_pool_doubt_row_pending_since (const struct jb_pool *pool);
/* Return the table of the starts in doubt, borrowed.  */
struct jb_doubt_table *jb_pool_doubt_table (const struct jb_pool *pool);
/* Add the starts of ENTRY, which a former owner has sent, not after SENT_AT,
   and mark the task, after all rows were read.  Return whether that was new
   and is in doubt.  */
bool jb_pool_take_up_start (struct jb_pool *pool, jb_time now,
                            const struct jb_doubt_entry *entry,
                            jb_time sent_at);
/* Log how many tasks have starts in doubt, if any has.  */
void jb_pool_log_doubts (const struct jb_pool *pool);
/* All rows were read: mark the tasks with starts in doubt.  */
void jb_pool_mark_tasks_in_doubt (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_restarts.c ---- */

/* Return whether backend servers of POOL restart under their names.  */
bool jb_pool_restarts_occur (const struct jb_pool *pool, jb_time now);
/* A backend server has restarted under its name.  */
void jb_pool_note_restart (struct jb_pool *pool, jb_time now);
/* A former owner has stored that some do.  */
void jb_pool_load_restarts (struct jb_pool *pool, jb_time now);
/* Remove that row if none has restarted for a while.  */
void jb_pool_expire_restarts (struct jb_pool *pool, jb_time now);

/* Starts of a former owner may be carried out that nobody knows of any more,
   since the witness has ended as well.  Watch the backend servers that it may
   have sent them to, until they can't be carried out: one that restarts would
   do that until it has seen the fencing token of this owner.  */
void jb_pool_watch_for_restarts (struct jb_pool *pool, jb_time now);
bool jb_pool_is_watched (const struct jb_pool *pool,
                         const struct jb_backend *backend, jb_time now);

/* ---- jb_pool_starts.c ---- */

struct jb_pool_starts *jb_pool_starts_new (TALLOC_CTX *mem);
/* Send the start of the current run of TASK once it is stored, or at once if
   it need not be.  */
void jb_pool_queue_start (struct jb_pool *pool, struct jb_task *task,
                          jb_time now);
/* Return how many starts wait to be listed in a row.  */
uint32_t jb_pool_count_queued_starts (const struct jb_pool *pool);
/* Store the starts that wait, or without the store tell the other hosts of
   them and send them.  Return when to call this next, or JB_NEVER.  */
jb_time jb_pool_run_starts (struct jb_pool *pool, jb_time now);
/* Tell the other hosts again of the starts that wait, before they are sent
   without the store.  */
void jb_pool_repeat_queued_starts (struct jb_pool *pool);
/* Send none of the starts that wait.  */
void jb_pool_cancel_queued_starts (struct jb_pool *pool);
/* Remove the rows, if all starts in them are listed in other rows.  */
void jb_pool_remove_start_rows (struct jb_pool *pool, jb_time now);
/* Less may be open than the witness was told.  */
void jb_pool_note_list_changed (struct jb_pool *pool);
/* There is a long lease that no list has: the next one is sent as soon as
   possible, and earlier ones don't replace a row that has it.  */
void jb_pool_note_lease_unlisted (struct jb_pool *pool);
/* Return the number of the last list for the witness.  */
uint64_t jb_pool_list_serial (const struct jb_pool *pool);
/* Tell the witness of the grants that are about to be sent to the backend
   servers DUE.  */
void jb_pool_tell_grants (struct jb_pool *pool, jb_time now,
                          const GPtrArray *due);
/* All starts are stored elsewhere: let the witness forget them.  */
void jb_pool_forget_told_starts (struct jb_pool *pool, jb_time now);
/* Add the starts that ROW of a former owner lists.  */
void jb_pool_load_starts (struct jb_pool *pool, const struct jb_row *row,
                          jb_time now);

/* ---- jb_pool_witness.c ---- */

struct jb_pool_witnesses *jb_pool_witnesses_new (TALLOC_CTX *mem);
/* Choose the witness, or none unless IS_ALLOWED.  */
void jb_pool_update_witness (struct jb_pool *pool, jb_time now,
                             bool is_allowed);
/* Return the incarnation of the witness, or 0 if there is none.  */
uint64_t jb_pool_witness (const struct jb_pool *pool);
/* Return whether a successor would know which witness this owner has.  */
bool jb_pool_witness_is_stored (const struct jb_pool *pool);
/* Return whether the row has to be written.  */
bool jb_pool_witness_row_is_due (const struct jb_pool *pool);
/* Set ROW, with memory of MEM, to what is to be written, together with all
   starts that are listed in no other row.  */
void jb_pool_encode_witness_row (struct jb_pool *pool, TALLOC_CTX *mem,
                                 struct jb_row *row);
/* The last row that was encoded, if there was one, is stored.  */
void jb_pool_note_witness_stored (struct jb_pool *pool);
/* Await the witnesses that ROW of a former owner names.  */
void jb_pool_load_witnesses (struct jb_pool *pool, const struct jb_row *row);
/* Ask the witnesses that are awaited.  Return when to call this next, or
   JB_NEVER.  */
jb_time jb_pool_query_awaited_witnesses (struct jb_pool *pool, jb_time now);
/* Return whether a witness may keep starts of a former owner that this one
   does not know of.  */
bool jb_pool_awaits_witness (struct jb_pool *pool, jb_time now);
/* The takeover has ended: await none any more.  */
void jb_pool_forget_awaited_witnesses (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_leases.c ---- */

struct jb_pool_leases *jb_pool_leases_new (TALLOC_CTX *mem);
/* Store which backend servers may grant leases late, for a successor.  Return
   when to call this next, or JB_NEVER.  */
jb_time jb_pool_write_leases (struct jb_pool *pool, jb_time now);
/* The same before the pool is handed over: include the commands in flight. */
void jb_pool_write_last_leases (struct jb_pool *pool, jb_time now);
/* Add the backend servers that ROW of a former owner lists.  */
void jb_pool_load_leases (struct jb_pool *pool, const struct jb_row *row,
                          jb_time now);
/* Add the grants that LIST, which the witness of a former owner has kept,
   names.  */
void jb_pool_add_left_grants (struct jb_pool *pool, jb_time now,
                              const struct jb_msg_starts *list);
/* Set GRANTS, with room for LIMIT, to those that are not answered, those that
   are about to be sent to the backend servers DUE, which may be NULL, and
   those of former owners.  The names are borrowed.  Return their number.  */
uint32_t jb_pool_list_open_grants (struct jb_pool *pool, jb_time now,
                                   const GPtrArray *due,
                                   struct jb_open_grants *grants,
                                   uint32_t limit);
/* The scan is about to end: if a backend server is silent that may grant
   leases late, mark the tasks that may run there as awaited.  */
void jb_pool_hold_tasks (struct jb_pool *pool, jb_time now);
/* Let these tasks start once the backend servers have answered, are gone, or
   their leases have expired.  */
void jb_pool_release_held_tasks (struct jb_pool *pool, jb_time now);
/* Return whether BACKEND may have a lease that a successor of its owner
   wouldn't expect.  */
bool jb_pool_has_long_lease (const struct jb_backend *backend, jb_time now);
/* A backend server may have such a lease: pass that on soon.  */
void jb_pool_note_long_lease (struct jb_pool *pool);
/* BACKEND has answered for the first time, with CLOCK_MS as its clock: expect
   the lease that a former owner may have granted.  One that was meant for the
   previous incarnation of a young backend server is the longest possible.  */
void jb_pool_expect_left_lease (struct jb_pool *pool,
                                struct jb_backend *backend, jb_time now,
                                int64_t clock_ms);
/* Return whether tasks wait for BACKEND, or for any, after the scan.  */
bool jb_pool_is_held_backend (const struct jb_pool *pool,
                              const struct jb_backend *backend);
bool jb_pool_holds_tasks (const struct jb_pool *pool);

/* ---- jb_pool_peer_doubts.c ---- */

/* While the store does not answer, send the starts that were not answered and
   are not stored to the other hosts.  Return when to call this next, or
   JB_NEVER.  */
jb_time jb_pool_send_doubts (struct jb_pool *pool, jb_time now);
/* Send all of them again: the other hosts may not have received them.  */
void jb_pool_repeat_doubts (struct jb_pool *pool);
/* Add the starts of former owners that this host was sent.  */
void jb_pool_load_peer_doubts (struct jb_pool *pool);

/* ---- jb_pool_handover.c ---- */

/* Return the task NAME, or NULL if it belongs to no job that goes on.  Its
   occurrence is opened if necessary: the clock of the predecessor, which has
   started it, may be ahead.  */
struct jb_task *jb_pool_find_left_task (const struct jb_pool *pool,
                                        const char *name);

/* Read what the predecessor has left.  When that has been read, or could not
   be, jb_pool_finish_loading_if_complete is called.  */
void jb_pool_read_handover (struct jb_pool *pool, jb_time now);
/* Store once that no owner before this one can send commands any more, as soon
   as that is so.  A successor relies on it when this process has ended.  */
void jb_pool_write_settled (struct jb_pool *pool, jb_time now);

/* Return whether the predecessor has handed the pool over and stored what may
   run on each backend server that the scan waits for.  */
bool jb_pool_left_runs_are_known (const struct jb_pool *pool);
/* Mark the tasks that the predecessor has left on backend servers that the
   scan waits for, and no others, as awaited.  Return their number.  */
uint32_t jb_pool_mark_awaited_tasks (struct jb_pool *pool);
/* Write what remains to be written while the pool is handed over, and release
   it when that is done or takes too long.  Return when to call this next.  */
jb_time jb_pool_run_handover (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_roster.c ---- */

/* Read the roster from the store.  CALLBACK is called with POOL as its data
   and the reply.  */
void jb_pool_read_roster (struct jb_pool *pool, jb_time now,
                          jb_reply_callback *callback);
/* Add the backend servers of the roster rows in REPLY to POOL.  Return false,
   with an error logged, when a row is invalid.  */
bool jb_pool_load_roster (struct jb_pool *pool, jb_time now,
                          const struct jb_reply *reply);
/* Remove BACKEND, where nothing can run any more, from the roster.  */
void jb_pool_remove_from_roster (struct jb_pool *pool,
                                 struct jb_backend *backend);
/* Return whether the stored roster lacks BACKEND, so that a successor won't
   expect any runs there.  */
bool jb_pool_is_out_of_roster (const struct jb_pool *pool,
                               const struct jb_backend *backend);
/* Put BACKEND, which was removed but is still there, into the roster again. */
void jb_pool_return_to_roster (struct jb_pool *pool,
                               struct jb_backend *backend);
/* Write the roster if it is out of date.  */
void jb_pool_write_roster (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_store.c ---- */

/* Queue JOB to be written in one of the next batches.  */
void jb_pool_mark_dirty (struct jb_pool *pool, struct jb_job *job,
                         jb_time now);
/* Return the index of the job in DIRTY_JOBS, which must not be empty, that is
   to be written next: the first one for which clients wait, since it is new or
   has ended, else the first one.  */
guint jb_pool_find_next_write (const GPtrArray *dirty_jobs);
/* Write a batch of dirty jobs if one is due and none is in flight.  */
void jb_pool_write_dirty_jobs (struct jb_pool *pool, jb_time now);
/* Mark all processed ends of runs as stored if no change of a job waits to be
   written or is being written.  */
void jb_pool_mark_ends_stored (struct jb_pool *pool, jb_time now);
/* Remove the row with KEY, which is taken over, from JB_JOB_TABLE with or
   after the next batch.  */
void jb_pool_remove_row (struct jb_pool *pool, gchar *key);
/* Return when the next batch is due, or JB_NEVER if there is nothing to write
   or a batch is in flight.  */
jb_time jb_pool_write_due_at (const struct jb_pool *pool);

/* ---- jb_pool_queues.c ---- */

/* Return whether KEY is that of a row with queues.  */
bool jb_pool_is_queues_key (const char *key);
/* Add the queues in ROW, which was read from the store.  Return whether it is
   valid.  */
bool jb_pool_load_queues (struct jb_pool *pool, const struct jb_row *row);
/* Apply a new version of the catalog, once the rows have been read.  */
void jb_pool_update_queues (struct jb_pool *pool, jb_time now);
/* Return whether the queue NAME belongs to POOL.  */
bool jb_pool_has_queue (const struct jb_pool *pool, const char *name);
/* Return whether the queue NAME belongs to another pool and that is stored, so
   that no owner of POOL accepts a job of it without asking the others.  */
bool jb_pool_has_given_queue_up (const struct jb_pool *pool, const char *name);
/* Return whether another pool may know jobs of the queue NAME.  */
bool jb_pool_is_queue_new (const struct jb_pool *pool, jb_time now,
                           const char *name);

/* ---- jb_pool_probe.c ---- */

/* Return the name of OUTCOME, for log lines.  */
const char *jb_run_outcome_name (enum jb_run_outcome outcome);
/* Send the probes that are due.  Return when the next probe of a backend
   server is due, or JB_NEVER.  */
jb_time jb_pool_send_probes (struct jb_pool *pool, jb_time now);
/* Send BACKEND a probe that grants the full lease and is answered at once.  */
void jb_pool_send_grant (struct jb_pool *pool, struct jb_backend *backend,
                         jb_time now);
/* BACKEND may have restarted: probe it at once, and start nothing there
   before.  */
void jb_pool_suspect_restart (struct jb_pool *pool, struct jb_backend *backend,
                              jb_time now);

/* ---- jb_pool_grant.c ---- */

/* A lease that a command grants.  */
struct jb_grant
{
  uint64_t number; /* 0: none */
  jb_time sent_at; /* of the command */
  bool is_full;
};

/* Return a grant of the full lease to BACKEND, whose clock must be known, and
   set UNTIL_MS to its end by that clock.  */
struct jb_grant jb_pool_grant_full (struct jb_backend *backend, jb_time now,
                                    int64_t *until_ms);
/* Return the grant of a start on BACKEND, and set UNTIL_MS as above: a short
   one where the lease lasts, or while a full one has no answer.  */
struct jb_grant jb_pool_grant_start (struct jb_backend *backend, jb_time now,
                                     int64_t *until_ms);
/* REPLY is that to a command to BACKEND with GRANT, which may be none.  */
void jb_pool_note_result (struct jb_backend *backend, jb_time now,
                          const struct jb_grant *grant,
                          const struct jb_reply *reply);
/* Add the backend servers that are due for a grant now to DUE: those of a
   group each half a second, and those that are overdue.  Return when to call
   this next.  */
jb_time jb_pool_collect_due_grants (struct jb_pool *pool, jb_time now,
                                    GPtrArray *due);
/* Return how long a long poll of BACKEND that is sent at NOW should last:
   until shortly before the next grant to it is due.  */
int64_t jb_pool_poll_wait_ms (const struct jb_pool *pool,
                              const struct jb_backend *backend, jb_time now);
/* Send the grants that are due.  Return when to call this next, or JB_NEVER.
 */
jb_time jb_pool_send_grants (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_crash.c ---- */

/* Clear all runs on BACKEND, which have ended there without a report; after a
   restart, those that its answer processed at NOW doesn't list.  Count a crash
   for each of them, at once or when it shows, unless BACKEND was leaving as
   planned.  */
void jb_pool_clear_lost_runs (struct jb_pool *pool, struct jb_backend *backend,
                              jb_time now, enum jb_loss_cause cause);
/* The backend server INSTANCE is at ADDRESS: any other one that was silent
   there has crashed.  */
void jb_pool_confirm_losses (struct jb_pool *pool, const char *address,
                             const char *instance, jb_time now);
/* Attribute the crashes in which runs of TASK were lost to TASK: they no
   longer count against the other tasks that were lost in them.  */
void jb_pool_attribute_crashes (struct jb_pool *pool,
                                const struct jb_task *task, jb_time now);
/* The backend server INSTANCE answers and has not crashed.  */
void jb_pool_dismiss_losses (struct jb_pool *pool, const char *instance);
/* Forget silent backend servers for which no crash has shown in time.  */
void jb_pool_expire_losses (struct jb_pool *pool, jb_time now);

/* Return why runs were lost by CAUSE, for log lines.  */
const char *jb_pool_loss_cause_text (enum jb_loss_cause cause);

/* ---- jb_pool_given_up.c ---- */

/* Remember for some time that the current run of TASK is given up because of
   CAUSE.  The number of such runs is bounded: the oldest one is dropped.  */
void jb_pool_remember_given_up (struct jb_pool *pool,
                                const struct jb_task *task, jb_time now,
                                enum jb_loss_cause cause);
/* BACKEND lists run number RUN of the task with name TASK as active, or if
   OUTCOME is not NULL, as ended with that outcome.  Log and count it if the
   run was given up before.  */
void jb_pool_check_late_run (struct jb_pool *pool,
                             const struct jb_backend *backend,
                             const char *task, uint32_t run,
                             const enum jb_run_outcome *outcome, jb_time now);

/* ---- jb_pool_schedule.c ---- */

/* Return the task that REF identifies if its current run is RUN on BACKEND,
   else NULL: the state may have changed since a command was sent.  */
struct jb_task *jb_pool_find_run (const struct jb_pool *pool,
                                  const struct jb_task_ref *ref,
                                  const struct jb_backend *backend,
                                  uint32_t run);
/* Return whether another run of TASK than the current one was seen, and its
   lease may still keep it active.  */
bool jb_pool_may_have_other_run (const struct jb_pool *pool,
                                 const struct jb_task *task, jb_time now);
/* Send the start of the current run of TASK.  */
void jb_pool_send_start (struct jb_pool *pool, struct jb_task *task,
                         jb_time now);
/* Run a scheduling cycle if one is due.  */
void jb_pool_schedule (struct jb_pool *pool, jb_time now);
/* Stop the current run of TASK, or send the stop again.  REASON is logged.
   Nothing is done while the start of the run may still be answered.  */
void jb_pool_stop_run (struct jb_pool *pool, struct jb_task *task, jb_time now,
                       const char *reason);
/* Stop the run with number RUN of the task with name TASK on BACKEND, where no
   job needs it.  */
void jb_pool_stop_orphaned_run (struct jb_pool *pool,
                                struct jb_backend *backend, const char *task,
                                uint32_t run, jb_time now);
/* BACKEND does not list the current run of TASK, whose start was not answered:
   send the start again if that is possible now, or a stop if the task is not
   to start there any more.  */
void jb_pool_repeat_start (struct jb_pool *pool, struct jb_task *task,
                           jb_time now);
/* Send stops that were not answered in time again.  */
void jb_pool_resend_stops (struct jb_pool *pool, jb_time now);
/* Set the usable backend servers of POOL.  */
void jb_pool_collect_usable_backends (struct jb_pool *pool, jb_time now);
/* Return whether tasks may be started on BACKEND.  */
bool jb_pool_backend_is_usable (const struct jb_pool *pool,
                                const struct jb_backend *backend, jb_time now);
/* Remove the current run of TASK, which has ended or will never start, and
   update its job.  */
void jb_pool_clear_run (struct jb_pool *pool, struct jb_task *task,
                        jb_time now);
/* Update the job of TASK after a start of TASK was answered or a run of it
   ended: end the job if it is done or has failed too often, and stop the run
   if the job has ended already.  */
void jb_pool_handle_run_update (struct jb_pool *pool, struct jb_task *task,
                                jb_time now);

/* ---- jb_pool_lookahead.c ---- */

/* Begin a scheduling cycle.  Return whether lookahead is switched on.  Only
   then the other functions may be called, except jb_pool_record_duration.  */
bool jb_pool_lookahead_begin (struct jb_pool *pool, jb_time now);
/* Plan the reservations if that is due, after the tasks of a cycle have been
   started.  Return whether jb_pool_reserve should be called for the first
   groups that wait.  */
bool jb_pool_lookahead_plan (struct jb_pool *pool, jb_time now);
/* Return whether GROUP, which fits nowhere now, may have a reservation.  */
bool jb_pool_may_reserve (struct jb_pool *pool,
                          const struct jb_task_group *group, jb_time now);
/* Reserve room for GROUP, which has RANK.  Return whether there will be
   some.  */
bool jb_pool_reserve (struct jb_pool *pool, struct jb_task_group *group,
                      const struct jb_rank *rank, jb_time now);
/* Record how long the run of TASK, which has succeeded, has taken.  */
void jb_pool_record_duration (struct jb_pool *pool, const struct jb_task *task,
                              jb_time now);

/* ---- jb_pool_select.c ---- */

/* With shares, if it is time to: decide which jobs are deferred because the
   pool can't finish all of them on time.  The usage of the organisations must
   have been updated just before.  */
void jb_pool_select_jobs (struct jb_pool *pool, jb_time now);

/* ---- jb_pool_quota.c ---- */

/* Return whether ORG, which may be NULL, has a quota.  */
bool jb_pool_org_has_quota (const struct jb_pool *pool, const char *org);
/* Return the usage of ORG, borrowed from POOL.  It is created on first
   use.  */
struct jb_pool_org_usage *jb_pool_get_org_usage (struct jb_pool *pool,
                                                 const char *org);
/* Return the usage of JOB's organisation, which must not be NULL, borrowed
   from POOL.  */
struct jb_pool_org_usage *jb_pool_get_job_usage (struct jb_pool *pool,
                                                 struct jb_job *job);
/* Return the weight of the organisation of ORG_USAGE, at least 1, also if the
   catalog does not name it.  */
uint32_t jb_pool_org_weight (const struct jb_pool *pool,
                             const struct jb_pool_org_usage *org_usage);
/* Return whether JOB may use RESOURCES in addition, that is whether its
   organisation then stays within the pool's share of the organisation's quota.
   If not, the next report to the planner is sent sooner.  */
bool jb_pool_check_share (struct jb_pool *pool, struct jb_job *job,
                          const struct jb_resources *resources);
/* The same for a task of JOB with a start in doubt, or a gang with several.
   It counts as used already, but may exceed the share: an owner can learn of a
   start by its predecessor after it has given the share to other tasks.  So it
   must fit beside the tasks that run.  Others in doubt are left out: if they
   exceed the share together, some of them can start nevertheless.  */
bool jb_pool_check_share_in_doubt (struct jb_pool *pool, struct jb_job *job,
                                   const struct jb_resources *resources);
/* Note that a start by JOB has room and rank, but needs a larger share: one
   for RESOURCES in addition.  */
void jb_pool_note_need (struct jb_pool *pool, struct jb_job *job,
                        const struct jb_resources *resources);
/* Forget what was noted.  */
void jb_pool_forget_needs (struct jb_pool *pool);
/* Return whether JOB's organisation, which must not be NULL, stays within the
   pool's share of its quota even if all of its tasks that are ready start. The
   usage must have been updated just before.  */
bool jb_pool_covers_demand (struct jb_pool *pool, struct jb_job *job);
/* Return when the next report to the planner is due.  */
jb_time jb_pool_usage_report_due_at (const struct jb_pool *pool);
/* Forget the copies: all runs of previous owners have ended or are known.  */
void jb_pool_forget_copies (struct jb_pool *pool);

/* ---- jb_pool_sums.c ---- */

void jb_pool_sums_init (struct jb_pool *pool);
void jb_pool_sums_clear (struct jb_pool *pool);
/* Add JOB to the active jobs of POOL, or remove it from them if it is one.  */
void jb_pool_activate_job (struct jb_pool *pool, struct jb_job *job);
void jb_pool_deactivate_job (struct jb_pool *pool, struct jb_job *job);
/* Return the work that was accepted and is not done, in thousandths of a core
   times milliseconds, but at most JB_MAX_JOB_WORK.  */
int64_t jb_pool_unfinished_work (struct jb_pool *pool);
/* Return the CPU, in thousandths of a core, that the tasks of POOL want that
   are ready to start.  Best-effort tasks use what others leave; but if the
   pool HAS_NO_CAPACITY, each task counts for more than nothing, or the planner
   would take the pool for one where none waits.  */
int64_t jb_pool_waiting_cpu_milli (struct jb_pool *pool, bool has_no_capacity);
/* Return the number of accepted jobs of QUEUE of which no task has been
   started.  */
uint32_t jb_pool_count_pending (struct jb_pool *pool, const char *queue);
/* Count the jobs anew that have changed, and put their groups that wait into
   their classes.  */
void jb_pool_update_sums (struct jb_pool *pool);
/* The same, also for jobs with starts in doubt, and set what the organisations
   use and want.  */
void jb_pool_update_usage (struct jb_pool *pool);
/* For tests: return whether the sums are those of all active jobs, each
   counted as it is now unless it is marked as changed.  */
bool jb_pool_sums_are_exact (struct jb_pool *pool);

/* ---- jb_pool_waiting.c ---- */

void jb_pool_waiting_init (struct jb_pool *pool);
void jb_pool_waiting_clear (struct jb_pool *pool);
/* Put the groups of the active JOB, which has changed, into their classes.  */
void jb_pool_update_waiting (struct jb_pool *pool, const struct jb_job *job);
/* Remove the groups of JOB, which is not active any more, from theirs.  */
void jb_pool_remove_waiting (const struct jb_job *job);
/* Return the first group of CLASS, or the one with INDEX.  */
static inline struct jb_task_group *
jb_waiting_class_first (const struct jb_waiting_class *class)
{
  return g_array_index (class->groups, struct jb_waiting_group, 0).group;
}

static inline const struct jb_waiting_group *
jb_waiting_class_get (const struct jb_waiting_class *class, guint index)
{
  return &g_array_index (class->groups, struct jb_waiting_group, index);
}

/* Return the rank of WAITING at NOW, or that of GROUP, which need not wait. */
struct jb_rank jb_pool_rank_waiting (const struct jb_waiting_group *waiting,
                                     jb_time now);
struct jb_rank jb_pool_rank_group (struct jb_pool *pool,
                                   struct jb_task_group *group, jb_time now);
/* For tests: return whether the groups that wait, of jobs that are not marked
   as changed, are in classes, and no others.  */
bool jb_pool_waiting_is_exact (const struct jb_pool *pool);

/* ---- jb_pool_candidates.c ---- */

/* A task group that may be started.  */
struct jb_candidate
{
  struct jb_task_group *group;
  struct jb_rank rank;
};

/* Return a number below, equal to or above 0 if A goes before B, is B, or goes
   after it.  Those of equal rank go in the order of their jobs in the pool,
   and of their occurrences and steps.  */
int jb_candidate_compare (const struct jb_candidate *a,
                          const struct jb_candidate *b);
struct jb_candidates *jb_candidates_new (TALLOC_CTX *mem);
/* Add MEMBERS, COUNT groups of a class, which are copied.  Not to be called
   after jb_candidates_take.  */
void jb_candidates_add_class (struct jb_candidates *candidates,
                              const struct jb_candidate *members, guint count);
/* Return the first candidate that has not been returned, or NULL.  It is
   borrowed until the next call.  */
const struct jb_candidate *
jb_candidates_take (struct jb_candidates *candidates);
/* Remove all of the class of the candidate that was returned last.  */
void jb_candidates_drop_class (struct jb_candidates *candidates);

/* ---- jb_pool_throttle.c ---- */

/* Adjust the speed of the best-effort tasks on BACKEND to the tail latency of
   the services there.  */
void jb_pool_throttle_backend (struct jb_pool *pool,
                               struct jb_backend *backend, jb_time now);

/* ---- jb_pool_advice.c ---- */

/* Return whether GROUP needs no advice of the policy service, or has valid
   advice.  Else request advice; a scheduling cycle follows when it
   arrives.  */
bool jb_pool_ensure_advice (struct jb_pool *pool, struct jb_task_group *group,
                            jb_time now);
/* Discard the ticket of GROUP for BACKEND, which refused it.  */
void jb_pool_discard_ticket (struct jb_task_group *group,
                             const struct jb_backend *backend);

/* ---- jb_pool.c ---- */

/* Return the statistics of the queue NAME, borrowed from POOL.  They are
   created on first use.  */
struct jb_queue_stats *jb_pool_get_queue_stats (struct jb_pool *pool,
                                                const char *name);
/* Add BACKEND, which is new.  */
void jb_pool_add_backend (struct jb_pool *pool, struct jb_backend *backend);
/* Return all backend servers, borrowed from POOL until one is added or
   freed.  */
const GPtrArray *jb_pool_list_backends (struct jb_pool *pool);
/* Add JOB, which is new or was loaded from the store, to POOL.  Unless it has
   ended, it becomes active.  */
void jb_pool_add_job (struct jb_pool *pool, struct jb_job *job);
/* Set JOB to the final state STATE and stop its runs.  REASON, which may be
   NULL, is logged.  */
void jb_pool_end_job (struct jb_pool *pool, struct jb_job *job,
                      enum jb_job_state state, jb_time now,
                      const char *reason);
/* Stop owning the pool DATA, which another host has claimed.  */
void jb_pool_handle_ownership_lost (void *data, jb_time now);
/* Refuse JOB, which can't be stored and so wasn't accepted, and free it.  */
void jb_pool_refuse_job (struct jb_pool *pool, struct jb_job *job);
/* Answer the requests that wait for a state of JOB that is durable now.  */
void jb_pool_answer_waiters (struct jb_pool *pool, struct jb_job *job,
                             jb_time now);
/* Open the occurrences of JOB whose start time has come.  */
void jb_pool_open_due_occurrences (struct jb_pool *pool, struct jb_job *job,
                                   jb_time now);

/* ---- jb_pool_evacuate.c ---- */

/* Let tasks start again on backend servers that were evacuated for a command
   to their host that has not come.  */
void jb_pool_end_cordons (struct jb_pool *pool, jb_time now);

/* BACKEND has answered a probe sent at PROBE_SENT_AT.  If its host was
   reported as removed before that, the command to the host had been executed
   earlier, for a former planner, and has changed nothing this time: let tasks
   start there again.  */
void jb_pool_notice_host_kept (struct jb_pool *pool,
                               struct jb_backend *backend,
                               jb_time probe_sent_at);

/* Return whether the long-running TASK, which runs, may be stopped within its
   step's disruption budget.  */
bool jb_pool_may_move_long_running (const struct jb_pool *pool,
                                    const struct jb_task *task, jb_time now);

/* Stop the long-running tasks of BACKEND so that they start elsewhere, as far
   as their disruption budgets allow.  On a draining backend server the
   budgets don't apply.  REASON is logged.  */
void jb_pool_move_long_running (struct jb_pool *pool,
                                struct jb_backend *backend, jb_time now,
                                const char *reason);

/* ---- jb_pool_zones.c ---- */

/* Return whether BACKEND is in an evacuated zone.  */
bool jb_pool_is_in_evacuated_zone (const struct jb_pool *pool,
                                   const struct jb_backend *backend);
/* Return whether BACKEND's zone was taken back and BACKEND has not answered a
   probe since.  */
bool jb_pool_awaits_answer (const struct jb_pool *pool,
                            const struct jb_backend *backend);
/* Return whether tasks may be started in BACKEND's zone: the table of the
   zones is known, the zone is not evacuated, and BACKEND has answered a probe
   since it was taken back.  */
bool jb_pool_zone_is_usable (const struct jb_pool *pool,
                             const struct jb_backend *backend);
/* Set which part of BACKEND's capacity may not be filled now, because its zone
   was taken back a short time ago.  */
void jb_pool_limit_fill (const struct jb_pool *pool,
                         struct jb_backend *backend, jb_time now);
/* Stop the long-running tasks in evacuated zones that can be started elsewhere
   now, as their disruption budgets allow, and log which zones are empty.  */
void jb_pool_leave_zones (struct jb_pool *pool, jb_time now);

#endif
