#ifndef JB_PLANNER_INTERNAL_H
#define JB_PLANNER_INTERNAL_H

/* State of the planner, shared by the files jb_planner*.c.  */

#include "jb_planner.h"
#include "jb_forecast.h"

/* What the planner wants with a host.  */
enum host_purpose
{
  PURPOSE_NONE,
  PURPOSE_MAINTENANCE,
  PURPOSE_MOVE
};

/* How far that is.  */
enum host_step
{
  STEP_IDLE,
  STEP_EVACUATING, /* the holder of its pool empties it */
  STEP_ORDERED,    /* the order is under way */
  STEP_AWAY        /* it was carried out; the host is not back yet */
};

struct host
{
  char *name;
  char *pool;     /* as listed */
  char *instance; /* of its backend server, as listed; or NULL */
  char *rack;     /* or NULL */
  enum jb_host_state state;
  jb_time listed_at;
  enum host_purpose aim;
  enum host_step step;
  char *target;       /* pool to move to */
  struct wave *wave;  /* whose maintenance it is */
  char *old_instance; /* when the order was given */
  jb_time since;      /* of the step */
  jb_time asked;      /* the holder was asked last */
  jb_time empty_at;   /* when an answer that it is empty was asked for */
  jb_time retry_at;   /* not tried before */
  jb_time moved_at;   /* its last move was seen to end */
  jb_time idle_since; /* 0: it is not idle */
};

struct wave
{
  uint64_t number;
  jb_time seen;
  jb_time due;
  uint32_t max_hosts_at_once;
  GHashTable *remaining_hosts; /* names of hosts without their maintenance */
  GPtrArray *maintained_hosts; /* names */
  bool loaded;                 /* what was done before is known */
  bool completed;              /* operators have been told */
  bool reported;               /* that it runs */
  bool reporting;
  jb_time next_report;
};

struct planner_pool
{
  char *name;
  jb_time at;
  struct jb_forecast_pool turn;
  uint32_t home;    /* hosts that it had first */
  int64_t host_cpu; /* of one of them */
  struct jb_msg_load load;
};

struct unacked_share
{
  uint64_t serial;
  struct jb_resources limit;
};

/* What an organisation uses of a pool.  */
struct org_quota
{
  char *org;
  struct jb_resources used;
  struct jb_resources wanted;
  struct jb_resources limit;         /* as the holder last said */
  struct jb_resources sent;          /* share that it was sent last */
  struct jb_resources highest_share; /* share that it may have by now */
  bool unsent;                       /* `sent' is still to be sent */
  GArray *under_way; /* struct unacked_share, not acknowledged */
};

struct pool_quota
{
  char *name;
  uint64_t fence;  /* of the holder; 0: it has said nothing */
  uint64_t serial; /* of the newest shares sent */
  uint64_t acked;
  bool changed; /* shares are to be sent */
  jb_time sent_at;
  GHashTable *orgs; /* name -> struct org_quota */
};

struct jb_planner
{
  struct jb_planner_options options;
  struct jb_ownership *ownership;
  bool over;
  bool loaded; /* its rows have been read */
  jb_time claimed;
  jb_time confirmed;
  GHashTable *hosts; /* name -> struct host */
  GPtrArray *waves;
  GHashTable *loads;  /* pool -> struct planner_pool */
  GHashTable *saved;  /* wave number -> GPtrArray of names, of the rows */
  GHashTable *usages; /* pool -> struct pool_quota */
  bool usage_new;
  jb_time next_moves;
  bool homes_dirty; /* what is kept of the pools has changed */
  jb_time wall;     /* Unix time of the clock's origin */
  uint64_t last_serial;
  bool listing;
  char *next_page;
  jb_time next_list;
  jb_time list_sent;  /* the first page of the list that is being read */
  jb_time list_whole; /* that of the newest list that was read to its end */
};

/* jb_planner.c */
struct planner_pool *jb_planner_get_pool (struct jb_planner *planner,
                                          const char *name);
bool jb_planner_may_command (const struct jb_planner *planner, jb_time now);
void jb_planner_begin_evacuation (struct jb_planner *planner, jb_time now,
                                  struct host *host, enum host_purpose aim);
void jb_planner_abandon_host (struct host *host, jb_time now, jb_time pause);

/* jb_planner_quota.c */
void jb_planner_run_quotas (struct jb_planner *planner, jb_time now);

/* jb_planner_rebalance.c */
void jb_planner_run_rebalance (struct jb_planner *planner, jb_time now);
void jb_planner_load_pool_row (struct jb_planner *planner,
                               const struct jb_row *row);

#define JB_PLANNER_POOL_ROW_KEY "homes"

/* jb_planner_wave.c */
void jb_planner_load_wave_row (struct jb_planner *planner,
                               const struct jb_row *row);
void jb_planner_run_waves (struct jb_planner *planner, jb_time now);
void jb_planner_record_maintained (struct jb_planner *planner, jb_time now,
                                   struct host *host);
void jb_planner_restore_wave (struct jb_planner *planner, struct wave *wave);

#endif
