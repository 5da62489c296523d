#ifndef CO_CORE_H
#define CO_CORE_H

/* The decision core of one entry host.

   The core makes every decision and has no side effects: it does no input or
   output and has no clock, no threads and no log.  A driver passes it events
   with their times and carries out the actions that it returns.  With the same
   options, the same events at the same times give the same actions.

   A broken invariant aborts the process; every other failure is reported by
   an action.  A core has no lock: its calls must not overlap.  */

#include "co_event.h"

#include "cf_fleet.h"

/* Bits of co_options.disabled: mechanisms that tests and measurements can turn
   off.  */
enum co_disable_flag
{
  CO_DISABLE_LEASE = 1 << 0,            /* take work without a lease */
  CO_DISABLE_CLAIMS = 1 << 1,           /* keep idempotency keys in memory
                                           only */
  CO_DISABLE_QUOTA = 1 << 2,            /* start requests without quota */
  CO_DISABLE_RECLAIM_WAIT = 1 << 3,     /* reclaim a departed member's quota
                                           at once */
  CO_DISABLE_TRANSFER_REPORTS = 1 << 4, /* reclaim a departed member's quota
                                           without the members' reports */
  CO_DISABLE_FAIR_SHARES = 1 << 5,      /* start requests in order of
                                           arrival */
  CO_DISABLE_FLEET_SHARES = 1 << 6,     /* fair shares of this entry host's
                                           requests alone */
  CO_DISABLE_DRAIN_WAIT = 1 << 7,       /* complete drains without
                                           acknowledgements */
  CO_DISABLE_BUDGETS = 1 << 8,          /* ignore availability budgets */
  CO_DISABLE_BORROWING = 1 << 9,        /* never borrow quota */
  CO_DISABLE_EJECTION = 1 << 10,        /* keep failing hosts in use */
  CO_DISABLE_EARLY_REFUSAL = 1 << 11,   /* queue requests that can't meet
                                           their deadline */
  CO_DISABLE_REBALANCING = 1 << 12,     /* don't move hosts between pools by
                                           load */
  CO_DISABLE_HYSTERESIS = 1 << 13,      /* move hosts by the momentary load,
                                           without a pause between moves */
  CO_DISABLE_EVACUATIONS = 1 << 14      /* ignore evacuations of zones, as
                                           earlier versions do */
};

struct co_options
{
  uint64_t incarnation; /* unique for each core */
  const char *name;
  const char *zone;
  const char *peer_address;
  const char *admin_address;
  uint32_t random_seed;       /* for the jitter of retry delays */
  uint32_t disabled;          /* enum co_disable_flag */
  co_time lease_duration;     /* of the membership lease, counted from the read
                                 or heartbeats that renew it */
  co_time heartbeat_interval; /* between heartbeats to the other members */
  co_time poll_interval;      /* between reads of the view and the log */
  co_time eviction_timeout;   /* silence after which a member is evicted */
  co_time max_table_outage;   /* longest time without the table service during
                                 which heartbeats alone renew the lease */
  co_time lame_duck_period;   /* in a planned stop, from failing the health
                                 check to refusing requests */
  co_time max_time_to_deadline; /* longest time from the arrival of a request
                                   to its deadline; a later deadline is
                                   brought forward */
  co_time max_urgent_wait;      /* longest wait of an urgent request */
  co_time claim_retention;      /* how long the owner of a key remembers a
                                   claim */
  uint64_t snapshot_interval_entries; /* log entries between snapshots */
  uint32_t max_request_count;         /* requests held at once */
  uint64_t max_cached_answer_bytes;   /* total size of the bodies of cached
                                         answers */
};

/* Set OPTIONS to the defaults.  The incarnation, the name, the zone, the
   addresses and the random seed are left for the caller to fill in.  */
void co_options_init (struct co_options *options);

struct co_core;

/* Return a new core owned by MEM that starts at NOW.  The strings of OPTIONS
   are copied.  */
struct co_core *co_core_new (TALLOC_CTX *mem, const struct co_options *options,
                             co_time now);

/* Handle EVENT at the time NOW and append the resulting actions to OUTBOX.
   NOW must not be earlier than in the previous step.  */
void co_core_step (struct co_core *core, co_time now,
                   const struct co_event *event, struct co_outbox *outbox);

/* Return whether the load balancer may send requests to this entry host at
   NOW.  */
bool co_core_is_ready (const struct co_core *core, co_time now);

/* Assert every invariant that this core can check alone.  */
void co_core_check_invariants (const struct co_core *core);

/* Counters of the core.  Their metric names and meanings are in
   co_counter_info.  */
enum co_counter
{
  CO_COUNTER_REQUESTS,
  CO_COUNTER_STARTS,
  CO_COUNTER_ANSWERS,
  CO_COUNTER_REPLAYS,
  CO_COUNTER_RETRIES_NOT_SENT,
  CO_COUNTER_RETRIES_IDEMPOTENT,
  CO_COUNTER_WASTED_ANSWERS,
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
  CO_COUNTER_HOSTS_EJECTED,
  CO_COUNTER_HOST_TRIALS,
  CO_COUNTER_DRAINS_DONE,
  CO_COUNTER_MOVES_DONE,
  CO_COUNTER_HOSTS_MAINTAINED,
  CO_COUNTER_SNAPSHOTS,
  CO_COUNTER_INVALID_ROWS,
  CO_COUNTER_ZONES_EVACUATED,
  CO_COUNTER_ZONES_RESTORED,
  CO_COUNTER_COUNT
};

struct co_counter_info
{
  const char *name; /* metric name without the program's prefix */
  const char *help;
};

/* Return the description of COUNTER.  Static.  */
const struct co_counter_info *co_counter_info (enum co_counter counter);

/* Return the value of COUNTER, or the number of refusals for REASON, since the
   core was created.  */
uint64_t co_core_counter (const struct co_core *core, enum co_counter counter);
uint64_t co_core_refusals (const struct co_core *core, enum co_reason reason);

/* State of the core for operators and tests.  Names are borrowed from the
   core and valid until its next step.  */
struct co_host_status
{
  const char *name;
  const char *pool;
  const char *target_pool;  /* pool that it moves to, or NULL */
  uint32_t state;           /* enum co_host_state */
  uint64_t generation;      /* number of changes of its state */
  uint64_t completed_order; /* last maintenance order completed, or 0 */
  bool live;                /* in the platform's host list */
  bool leaving;             /* about to be removed by the platform */
  bool ejected;             /* out of use for a while because it fails */
  uint32_t running;         /* requests from this entry host */
};

struct co_zone_status
{
  const char *name;
  uint32_t host_count; /* configured hosts */
  uint32_t running;    /* requests from this entry host */
  bool evacuated;      /* nothing new is started there */
};

struct co_team_status
{
  const char *name;
  int64_t share;       /* weight in the division of a full pool */
  int64_t limit;       /* most requests that may run in the fleet */
  uint32_t running;    /* from this entry host */
  uint32_t waiting;    /* on this entry host */
  uint32_t held_quota; /* units of the limit that this entry host holds */
};

struct co_maintenance_status
{
  uint64_t id;
  uint32_t state; /* enum co_order_state */
  uint32_t scope; /* enum co_scope */
  const char *scope_name;
  uint32_t total; /* hosts in its scope */
  uint32_t done;  /* hosts that have completed it */
};

struct co_status
{
  uint64_t log_version;
  uint64_t fleet_version;
  uint64_t view_version;
  uint32_t member_count;
  uint32_t departed_count; /* departed members not yet settled */
  bool has_lease;
  bool stopping;
  const char *fleet_yaml; /* YAML in force, or NULL */
  struct co_host_status *hosts;
  uint32_t host_count;
  struct co_zone_status *zones; /* sorted by name */
  uint32_t zone_count;
  struct co_team_status *teams;
  uint32_t team_count;
  struct co_maintenance_status *orders;
  uint32_t order_count;
};

/* Return the state at NOW, owned by MEM.  */
struct co_status *co_core_status (TALLOC_CTX *mem, const struct co_core *core,
                                  co_time now);

/* Like co_core_status, but without the lists of hosts, zones, teams and
   maintenance orders.  */
struct co_status *co_core_summary (TALLOC_CTX *mem, const struct co_core *core,
                                   co_time now);

/* Return whether the core holds no request and none of its requests can still
   be running on a backend server.  */
bool co_core_is_idle (const struct co_core *core);

#endif
