#ifndef JB_PLANNER_INTERNAL_H
#define JB_PLANNER_INTERNAL_H

/* State of the planner, shared by jb_planner*.c and jb_view.c only.  */

#include "jb_commanded.h"
#include "jb_forecast.h"
#include "jb_planner.h"

/* Why the planner takes a host out of its pool.  */
enum host_purpose
{
  PURPOSE_NONE,
  PURPOSE_MAINTENANCE,
  PURPOSE_MOVE
};

/* Progress of taking a host out of its pool.  Later phases have larger
   values.  */
enum host_phase
{
  PHASE_NONE,
  PHASE_EVACUATING, /* the pool's owner evacuates the host */
  PHASE_COMMANDED,  /* the move or maintenance command is in flight */
  PHASE_AWAY        /* the command was executed; the host is not back yet */
};

/* What the planner knows about a host of the fleet.  */
struct fleet_host
{
  char *name;
  /* As listed.  */
  char *pool;
  char *instance; /* of its backend server, or NULL */
  char *rack;     /* or NULL */
  char *zone;     /* or NULL */
  enum jb_host_state state;
  jb_time listed_at; /* when the last list was requested that contains it */
  /* Progress of its move or maintenance.  */
  enum host_purpose purpose;
  enum host_phase phase;
  char *target_pool;         /* for a move */
  struct wave *wave;         /* for maintenance, else NULL */
  char *instance_at_command; /* `instance' when the command was executed */
  jb_time phase_started_at;
  bool command_unanswered; /* it may have been executed; send it again */
  jb_time evacuation_requested_at; /* last request to the pool's owner */
  jb_time empty_as_of; /* when the request was sent to which the pool's owner
                          replied that the host is empty; 0: no such reply */
  jb_time retry_at;    /* earliest time to choose it again */
  jb_time moved_at;    /* end of its last move; 0: none */
  jb_time idle_since;  /* 0: it is not idle */
};

/* A maintenance wave.  */
struct wave
{
  uint64_t number;
  jb_time seen_at; /* when this entry host first saw the request */
  jb_time due;     /* when it has to be completed */
  uint32_t max_hosts_at_once;
  GHashTable *remaining_hosts; /* names of the hosts yet to be maintained */
  GPtrArray *maintained_hosts; /* names of the others */
  bool progress_loaded;        /* jb_planner_restore_wave was done */
  bool completed;              /* its completion was reported to operators */
  bool reported;               /* its start was reported to operators */
  bool report_in_flight;
  jb_time next_report;
};

/* What the planner knows about a pool.  */
struct planner_pool
{
  char *name;
  jb_time load_received_at; /* 0: never */
  jb_time waiting_since;    /* since when all reports have had waiting tasks */
  struct jb_forecast_pool history; /* of its demand */
  uint32_t home_hosts;     /* number of its own hosts; others are borrowed */
  int64_t host_cpu_milli;  /* last known capacity of one host; 0: unknown */
  struct jb_msg_load load; /* last reported, without `idle_instances' */
  GHashTable *idle_instances; /* set of the last reported ones */
};

/* A quota share that was sent and not acknowledged.  */
struct unacked_share
{
  uint64_t serial;
  struct jb_resources share;
};

/* An organisation's quota in a pool.  */
struct org_quota
{
  char *org;
  struct jb_resources used;
  struct jb_resources wanted;
  struct jb_resources needed; /* for the next start; 0: it isn't blocked */
  jb_time blocked_since;      /* as in struct jb_quota_pool */
  struct jb_resources reported_share; /* by the pool's owner */
  struct jb_resources assigned_share; /* by this planner, last */
  struct jb_resources highest_share;  /* that the owner may have in force */
  /* The pool has had another owner since this planner's claim, which reported
     this quota, and all owners since have: no more can be used than the
     highest share that any of them may have had in force.  */
  bool use_is_bounded;
  struct jb_resources use_bound;
  uint64_t last_report;   /* number of the last one that contains it */
  bool is_unsent;         /* assigned_share was not sent yet */
  GArray *unacked_shares; /* struct unacked_share */
};

/* The quotas of all organisations in a pool.  */
struct pool_quota
{
  char *name;
  uint64_t fence;        /* of the pool's owner; 0: it has reported nothing */
  uint64_t reports;      /* number of reports, of all owners */
  uint64_t serial;       /* of the newest shares sent; 0: none */
  uint64_t acked_serial; /* of the shares that the owner has in force */
  bool shares_changed;   /* since they were last sent */
  jb_time sent_at;       /* when shares were last sent */
  GHashTable *orgs;      /* name -> struct org_quota */
};

struct jb_planner
{
  struct jb_planner_options options;
  struct jb_ownership *ownership;
  bool has_ended;
  bool rows_loaded;         /* the planner's rows were read from the store */
  jb_time claimed_at;       /* end of the claim */
  jb_time first_command_at; /* to a host; 0: none yet */
  /* When it became known that the predecessor sends nothing more; 0: it is
     not known.  */
  jb_time predecessor_ended_at;
  bool quotas_divided; /* since the claim */
  /* Up to when no other host has claimed the partition, as far as the
     heartbeats of members show; 0: they show nothing.  */
  jb_time unclaimed_until;
  GHashTable *hosts;              /* name -> struct fleet_host */
  struct jb_commanded *commanded; /* which hosts may have been commanded */
  GPtrArray *waves;               /* struct wave */
  GHashTable *pools;              /* name -> struct planner_pool */
  GHashTable *saved_waves; /* wave number -> GPtrArray of the names of its
                              maintained hosts, as read from the store */
  GHashTable *quotas;      /* pool name -> struct pool_quota */
  bool usage_changed;      /* since the limits were last divided */
  jb_time next_rebalance;
  bool pool_row_dirty;  /* the stored row about the pools is out of date */
  jb_time unix_origin;  /* Unix time of the driver clock's origin */
  uint64_t last_serial; /* of the shares sent to any pool */
  /* List of the hosts of the fleet, read page by page.  */
  bool list_in_flight;
  char *next_page;           /* token of the next page; NULL: the first one */
  jb_time list_requested_at; /* when the newest one was requested; 0: none */
  jb_time list_started_at;   /* when its first page was requested */
  jb_time complete_list_started_at; /* same of the last complete list */
};

/* ---- jb_planner.c ---- */

/* Return the pool NAME, borrowed.  Add it if it is new.  */
struct planner_pool *jb_planner_get_or_add_pool (struct jb_planner *planner,
                                                 const char *name);

/* Return whether the planner may send commands to hosts now: its rows are
   loaded and its ownership is valid.  If its predecessor did not store which
   hosts it commanded, the lease of a command has passed since the claim.  */
bool jb_planner_may_command (const struct jb_planner *planner, jb_time now);

/* Return whether no command of a predecessor to HOST keeps the planner from
   commanding it for PURPOSE now.  */
bool jb_planner_is_usable (const struct jb_planner *planner, jb_time now,
                           const struct fleet_host *host,
                           enum host_purpose purpose);

/* Return whether POOL is a standby pool, whose hosts are switched off.  */
bool jb_planner_is_standby (const struct jb_planner *planner,
                            const char *pool);

/* Return whether the last load report of HOST's pool lists HOST's backend
   server as idle.  */
bool jb_planner_is_idle (const struct jb_planner *planner,
                         const struct fleet_host *host);

/* Start evacuating HOST for PURPOSE.  The caller has set the host's
   `target_pool' for a move, its `wave' for maintenance.  */
void jb_planner_begin_evacuation (struct jb_planner *planner, jb_time now,
                                  struct fleet_host *host,
                                  enum host_purpose purpose);

/* Give up the move or maintenance of HOST, and don't choose HOST again before
   DELAY has passed.  */
void jb_planner_abandon_host (struct jb_planner *planner, jb_time now,
                              struct fleet_host *host, jb_time delay);

/* ---- jb_planner_zones.c ---- */

/* Return whether it is known which zones are evacuated.  */
bool jb_planner_knows_zones (const struct jb_planner *planner);

/* Return whether HOST is in an evacuated zone.  */
bool jb_planner_is_in_evacuated_zone (const struct jb_planner *planner,
                                      const struct fleet_host *host);

/* Give up the move of HOST, which is in an evacuated zone, unless a command to
   it was sent.  */
void jb_planner_abandon_move (struct jb_planner *planner, jb_time now,
                              struct fleet_host *host);

/* ---- jb_planner_quota.c ---- */

/* Find out whether the predecessor sends nothing more: it has released its
   ownership, its process has ended, or it was this process, whose earlier
   ownership has ended.  Otherwise it may not know yet that it has lost its
   ownership.  To be called from the claim on until that is known.  */
void jb_planner_check_predecessor (struct jb_planner *planner, jb_time now);

/* Divide the organisations' limits again if their usage has changed, and send
   the shares that have changed or were not acknowledged in time.  */
void jb_planner_run_quotas (struct jb_planner *planner, jb_time now);

/* ---- jb_planner_rebalance.c ---- */

/* If a rebalancing is due, decide which hosts to move to another pool, and
   start evacuating them.  */
void jb_planner_run_rebalance (struct jb_planner *planner, jb_time now);

/* Load the home hosts and the demand history of the pools from ROW, which a
   predecessor wrote.  */
void jb_planner_load_pool_row (struct jb_planner *planner,
                               const struct jb_row *row);

/* Table of the planner's rows: one for each wave, whose key is the wave's
   number, and one for all pools.  */
#define JB_PLANNER_TABLE "wave"

/* Key of the row with the pools' home hosts and demand history.  */
#define JB_PLANNER_POOL_ROW_KEY "homes"

/* ---- jb_planner_wave.c ---- */

/* Load the names of the hosts that predecessors maintained in a wave from ROW.
   They are applied by jb_planner_restore_wave.  */
void jb_planner_load_wave_row (struct jb_planner *planner,
                               const struct jb_row *row);

/* Report the waves to operators, and start evacuating hosts for them.  */
void jb_planner_run_waves (struct jb_planner *planner, jb_time now);

/* Record, also in the store, that the maintenance command to HOST for its wave
   was executed.  */
void jb_planner_record_maintained (struct jb_planner *planner, jb_time now,
                                   struct fleet_host *host);

/* Apply the progress of WAVE that was loaded from the store, if the rows have
   been loaded and that was not done yet.  */
void jb_planner_restore_wave (struct jb_planner *planner, struct wave *wave);

#endif
