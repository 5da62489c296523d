#ifndef JB_PLANNER_INTERNAL_H
#define JB_PLANNER_INTERNAL_H

/* State of the planner, shared by jb_planner*.c and jb_view.c only.  */

#include "jb_forecast.h"
#include "jb_planner.h"

/* Why the planner takes a host out of its pool.  */
enum host_purpose
{
  PURPOSE_NONE,
  PURPOSE_MAINTENANCE,
  PURPOSE_MOVE
};

/* Progress of taking a host out of its pool.  */
enum host_phase
{
  PHASE_NONE,
  PHASE_EVACUATING, /* the pool's owner evacuates the host */
  PHASE_COMMANDED,  /* the command is in flight */
  PHASE_AWAY        /* the command was executed; the host is not back yet */
};

/* What the planner knows about a host of the fleet.  */
struct fleet_host
{
  char *name;
  char *pool;     /* as listed */
  char *instance; /* of its backend server, as listed; or NULL */
  char *rack;     /* or NULL */
  enum jb_host_state state;
  jb_time listed_at;
  enum host_purpose purpose;
  enum host_phase phase;
  char *target_pool; /* to move to */
  struct wave *wave; /* that maintains it now, or NULL */
  char *instance_at_command;
  jb_time phase_started_at;
  jb_time evacuation_requested_at; /* last request to the pool's owner */
  jb_time empty_as_of; /* when the request was sent that the pool's owner
                          answered with `empty'; 0: none */
  jb_time retry_at;    /* it is not chosen before */
  jb_time moved_at;    /* end of its last move */
  jb_time idle_since;  /* 0: it is not idle */
};

/* A maintenance wave.  */
struct wave
{
  uint64_t number;
  jb_time seen_at; /* when this host first saw the request */
  jb_time due;
  uint32_t max_hosts_at_once;
  GHashTable *remaining_hosts; /* names of hosts to be maintained */
  GPtrArray *maintained_hosts; /* names */
  bool progress_loaded;        /* what predecessors did is known */
  bool completed;              /* its completion was reported to operators */
  bool reported;               /* its start was reported to operators */
  bool report_in_flight;
  jb_time next_report;
};

/* What the planner knows about a pool.  */
struct planner_pool
{
  char *name;
  jb_time load_received_at;
  struct jb_forecast_pool history; /* of its demand */
  uint32_t home_hosts;             /* that belong to it; others are borrowed */
  int64_t host_cpu_milli;          /* capacity of one host, last known */
  struct jb_msg_load load;
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
  struct jb_resources reported_share; /* by the pool's owner */
  struct jb_resources assigned_share; /* by this planner, last */
  struct jb_resources highest_share;  /* that the owner may have in force */
  bool is_unsent;                     /* `assigned_share' was not sent yet */
  GArray *unacked_shares;             /* struct unacked_share */
};

/* The quotas of all organisations in a pool.  */
struct pool_quota
{
  char *name;
  uint64_t fence;  /* of the pool's owner; 0: it has reported nothing */
  uint64_t serial; /* of the newest shares sent */
  uint64_t acked_serial;
  bool shares_changed; /* and are to be sent */
  jb_time sent_at;
  GHashTable *orgs; /* name -> struct org_quota */
};

struct jb_planner
{
  struct jb_planner_options options;
  struct jb_ownership *ownership;
  bool has_ended;
  bool rows_loaded; /* the planner's rows were read from the store */
  jb_time claimed_at;
  jb_time confirmed_by_peer_at;
  GHashTable *hosts;       /* name -> struct fleet_host */
  GPtrArray *waves;        /* struct wave */
  GHashTable *pools;       /* name -> struct planner_pool */
  GHashTable *saved_waves; /* wave number -> GPtrArray of host names, as read
                              from the store */
  GHashTable *quotas;      /* pool name -> struct pool_quota */
  bool usage_changed;
  jb_time next_rebalance;
  bool pool_row_dirty; /* what is stored of the pools has changed */
  jb_time unix_origin; /* Unix time of the driver clock's origin */
  uint64_t last_serial;
  /* list of hosts */
  bool list_in_flight;
  char *next_page;
  jb_time next_list;
  jb_time list_started_at;          /* first page of the present list */
  jb_time complete_list_started_at; /* first page of the last complete list */
};

/* ---- jb_planner.c ---- */

/* Return the pool NAME, which is added if it is new.  */
struct planner_pool *jb_planner_get_or_add_pool (struct jb_planner *planner,
                                                 const char *name);

/* Return whether the planner may command hosts now.  */
bool jb_planner_may_command (const struct jb_planner *planner, jb_time now);

/* Start evacuating HOST for PURPOSE.  For a move its `target_pool' is set, for
   maintenance its `wave'.  */
void jb_planner_begin_evacuation (struct jb_planner *planner, jb_time now,
                                  struct fleet_host *host,
                                  enum host_purpose purpose);

/* Give up what was planned for HOST, and don't choose it again for DELAY.  */
void jb_planner_abandon_host (struct fleet_host *host, jb_time now,
                              jb_time delay);

/* ---- jb_planner_quota.c ---- */

/* Divide the organisations' limits again if usage has changed, and send shares
   that are new or were not acknowledged.  */
void jb_planner_run_quotas (struct jb_planner *planner, jb_time now);

/* ---- jb_planner_rebalance.c ---- */

/* Start moves of hosts between pools if a rebalancing is due.  */
void jb_planner_run_rebalance (struct jb_planner *planner, jb_time now);

/* Load what a predecessor stored of the pools.  */
void jb_planner_load_pool_row (struct jb_planner *planner,
                               const struct jb_row *row);

/* Key of the row with the pools' home hosts and demand history.  */
#define JB_PLANNER_POOL_ROW_KEY "homes"

/* ---- jb_planner_wave.c ---- */

/* Load which hosts a predecessor maintained in a wave.  */
void jb_planner_load_wave_row (struct jb_planner *planner,
                               const struct jb_row *row);

/* Report the waves to operators, and start taking out hosts for them.  */
void jb_planner_run_waves (struct jb_planner *planner, jb_time now);

/* Record that HOST has been taken for its maintenance.  */
void jb_planner_record_maintained (struct jb_planner *planner, jb_time now,
                                   struct fleet_host *host);

/* Apply the progress of WAVE that was loaded from the store, once.  */
void jb_planner_restore_wave (struct jb_planner *planner, struct wave *wave);

#endif
