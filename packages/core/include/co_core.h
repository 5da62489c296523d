#ifndef CO_CORE_H
#define CO_CORE_H

/* The decision core of one entry host.

   The core decides everything and does nothing: it has no input or output,
   no clock, no threads and no log.  A driver gives it events with their
   times and carries out the outcomes.  The same events at the same times
   give the same outcomes.

   Broken invariants stop the process; everything else is an outcome.  */

#include "co_event.h"

#include "cf_fleet.h"

/* Mechanisms that tests and measurements can turn off.  */
enum co_disable_flag
{
  CO_DISABLE_LEASE = 1 << 0,  /* take work without proof of membership */
  CO_DISABLE_CLAIMS = 1 << 1, /* keep request identities in memory only */
  CO_DISABLE_QUOTA = 1 << 2,  /* start without a team's right */
  CO_DISABLE_RECLAIM_WAIT = 1
                            << 3, /* reclaim a dead member's rights at once */
  CO_DISABLE_TRANSFER_REPORTS
  = 1 << 4,                         /* reclaim without the members' reports */
  CO_DISABLE_FAIR_SHARES = 1 << 5,  /* first come, first served */
  CO_DISABLE_FLEET_SHARES = 1 << 6, /* shares of this entry host alone */
  CO_DISABLE_DRAIN_WAIT = 1 << 7, /* change a host without acknowledgements */
  CO_DISABLE_BUDGETS = 1 << 8,    /* ignore availability budgets */
  CO_DISABLE_BORROWING = 1 << 9,  /* static split of rights and slots */
  CO_DISABLE_EJECTION = 1 << 10,  /* never take a failing worker out */
  CO_DISABLE_EARLY_REFUSAL
  = 1 << 11, /* wait even when the deadline can't hold */
  CO_DISABLE_REBALANCING = 1 << 12, /* no moves between pools by load */
  CO_DISABLE_HYSTERESIS = 1 << 13   /* moves by the load of the moment */
};

struct co_options
{
  uint64_t incarnation;
  const char *name;
  const char *zone;
  const char *peer_address;
  const char *admin_address;
  uint32_t random_seed;         /* of the random numbers used for jitter */
  uint32_t disabled;            /* enum co_disable_flag */
  co_time lease_duration;       /* how long one proof of membership lasts */
  co_time heartbeat_interval;   /* between heartbeats */
  co_time poll_interval;        /* between reads of view and log */
  co_time eviction_timeout;     /* silence after which a member is taken out */
  co_time max_table_outage;     /* longest time without the table service that
                         heartbeats alone can prove membership */
  co_time lame_duck_period;     /* between failing the check and refusing */
  co_time max_time_to_deadline; /* longest time a request may run */
  co_time max_urgent_wait;      /* longest wait of an urgent request */
  co_time claim_retention;      /* how long an identity is remembered */
  uint64_t
      snapshot_interval_entries;    /* entries of the log between snapshots */
  uint32_t max_request_count;       /* held at once */
  uint64_t max_cached_answer_bytes; /* bytes of answers kept for repeats */
};

/* Set OPTIONS to the defaults; the caller fills in the identity.  */
void co_options_init (struct co_options *options);

struct co_core;

/* Return a new core owned by MEM.  The strings of OPTIONS are copied.  */
struct co_core *co_core_new (TALLOC_CTX *mem, const struct co_options *options,
                             co_time now);

/* Take EVENT at NOW and append what follows from it to OUTBOX.  NOW must not
   go back.  */
void co_core_step (struct co_core *core, co_time now,
                   const struct co_event *event, struct co_outbox *outbox);

/* Return whether the balancer may send callers here.  */
bool co_core_is_ready (const struct co_core *core, co_time now);

/* Assert every invariant that this core can check alone.  */
void co_core_check_invariants (const struct co_core *core);

/* Counters kept by the core, in the order of the names.  */
enum co_counter
{
  CO_COUNTER_REQUESTS,
  CO_COUNTER_STARTS,
  CO_COUNTER_ANSWERS,
  CO_COUNTER_REPLAYS,
  CO_COUNTER_RETRIES_NOT_SENT,
  CO_COUNTER_RETRIES_IDEMPOTENT,
  CO_COUNTER_WASTED_ANSWERS, /* answers whose caller had gone */
  CO_COUNTER_CLAIMS,
  CO_COUNTER_CLAIM_BATCHES,
  CO_COUNTER_CLAIM_RELEASES,
  CO_COUNTER_QUOTA_LENT,
  CO_COUNTER_QUOTA_RECEIVED,
  CO_COUNTER_QUOTA_REQUESTS,
  CO_COUNTER_SETTLEMENTS,
  CO_COUNTER_QUOTA_RETIRED,
  CO_COUNTER_LEASES_LOST,
  CO_COUNTER_EVICTIONS,
  CO_COUNTER_VIEW_CHANGES,
  CO_COUNTER_LOG_APPLIED,
  CO_COUNTER_WORKERS_EJECTED,
  CO_COUNTER_WORKER_TRIALS,
  CO_COUNTER_DRAINS_DONE,
  CO_COUNTER_MOVES_DONE,
  CO_COUNTER_HOSTS_MAINTAINED,
  CO_COUNTER_SNAPSHOTS,
  CO_COUNTER_INVALID_ROWS,
  CO_COUNTER_COUNT
};

struct co_counter_info
{
  const char *name; /* metric name */
  const char *help;
};

const struct co_counter_info *co_counter_info (enum co_counter counter);

/* Return the value of COUNTER, or of the refusals for REASON.  */
uint64_t co_core_counter (const struct co_core *core, enum co_counter counter);
uint64_t co_core_refusals (const struct co_core *core, enum co_reason reason);

/* A readable state of the core for operators and tests.  Names are borrowed
   from the core.  */
struct co_host_status
{
  const char *name;
  const char *pool;
  const char *target_pool; /* pool it moves to, or NULL */
  uint32_t state;          /* enum co_host_state */
  uint64_t generation;
  uint64_t completed_order;
  bool live;
  bool leaving;
  bool ejected;
  uint32_t running; /* from this entry host */
};

struct co_team_status
{
  const char *name;
  int64_t share, limit;
  uint32_t running; /* from this entry host */
  uint32_t waiting;
  uint32_t held_quota; /* rights */
};

struct co_maintenance_status
{
  uint64_t id;
  uint32_t state; /* enum co_order_state */
  uint32_t scope; /* enum co_scope */
  const char *scope_name;
  uint32_t total;
  uint32_t done;
};

struct co_status
{
  uint64_t log_version;
  uint64_t fleet_version;
  uint64_t view_version;
  uint32_t member_count;
  uint32_t departed_count;
  bool has_lease;
  bool stopping;
  const char *fleet_text; /* YAML in force, or NULL */
  struct co_host_status *hosts;
  uint32_t host_count;
  struct co_team_status *teams;
  uint32_t team_count;
  struct co_maintenance_status *orders;
  uint32_t order_count;
};

/* Return the state at NOW, owned by MEM.  */
struct co_status *co_core_status (TALLOC_CTX *mem, const struct co_core *core,
                                  co_time now);

/* As co_core_status, without the lists.  */
struct co_status *co_core_summary (TALLOC_CTX *mem, const struct co_core *core,
                                   co_time now);

/* Return whether no request is held and none can be running.  */
bool co_core_is_idle (const struct co_core *core);

#endif
