#ifndef CO_TYPES_H
#define CO_TYPES_H

/* Types shared by the events, actions, messages and stored rows of the
   decision core.  */

#include "ba_codec.h"

/* A time or a duration in microseconds.  Times are read from a monotonic
   clock.  */
typedef int64_t co_time;

#define CO_MILLISECOND ((co_time)1000)
#define CO_SECOND ((co_time)1000000)

enum
{
  CO_MAX_MEMBER_COUNT = 16,        /* entry hosts in one view */
  CO_MAX_DEPARTED_COUNT = 64,      /* departed members not yet settled */
  CO_MAX_ARRAY_COUNT = 100000,     /* elements of any encoded array */
  CO_MAX_CACHED_BODY_BYTES = 65536 /* longest answer body that is cached */
};

/* One run of the process of an entry host.  */
struct co_member
{
  uint64_t incarnation; /* unique for each run of the process */
  char *name;
  char *zone;
  char *peer_address;
  char *admin_address;
};

/* How a member left the view.  */
enum co_departure
{
  CO_DEPARTED_EVICTED,  /* removed by the others after a timeout; may still
                           run */
  CO_DEPARTED_REPLACED, /* a new process has its address, so it has ended */
  CO_DEPARTED_GRACEFUL, /* left in a planned stop, with nothing running */
  CO_DEPARTURE_COUNT
};

/* A former member whose quota has not been settled in the ledger yet.  */
struct co_departed_member
{
  uint64_t incarnation;
  uint32_t departure; /* enum co_departure */
  char *peer_address;
};

/* The membership, which is stored in one row of the table service.

   `base' holds the members of the last confirmed view.  A view is confirmed
   by a write that makes `base' equal to its members, once a majority of the
   base knows the view or the leases of those that don't know it have expired.
   See docs/design.md, "Membership leases".  */
struct co_view
{
  uint64_t version;
  struct co_member *members; /* in the order in which they joined */
  uint32_t member_count;
  uint64_t *base; /* incarnations */
  uint32_t base_count;
  struct co_departed_member *departed;
  uint32_t departed_count;
};

/* Encode VIEW to IO or decode it from IO.  As with every function called
   *_serialize, the direction is that of IO; a failed decoding sets
   IO->failed, and what is decoded is owned by IO->mem.  */
void co_view_serialize (struct ba_codec *io, struct co_view *view);

/* Administrative state of a backend host.  */
enum co_host_state
{
  CO_HOST_ACTIVE,   /* takes work */
  CO_HOST_DRAINING, /* takes no new work; becomes CO_HOST_OUT when idle */
  CO_HOST_OUT,      /* drained */
  CO_HOST_MOVING,   /* takes no new work; changes pool when idle */
  CO_HOST_STATE_COUNT
};

/* Return the name of STATE, an enum co_host_state, as operators see it.
   Static.  */
const char *co_host_state_name (uint32_t state);

/* Value of co_change.cause for a host that load rebalancing moves to another
   pool.  It returns to its configured pool when the load of the other pool
   falls.  */
#define CO_CAUSE_REBALANCE UINT64_MAX

/* What a configuration change applies to.  */
enum co_change_type
{
  CO_CHANGE_FLEET,
  CO_CHANGE_HOST,
  CO_CHANGE_API_KEY,
  CO_CHANGE_MAINTENANCE,
  CO_CHANGE_TYPE_COUNT
};

/* State of a maintenance order: the hosts of its scope are drained, rebooted
   and put back, within the availability budgets of their pools.  */
enum co_order_state
{
  CO_ORDER_RUNNING,
  CO_ORDER_PAUSED,
  CO_ORDER_CANCELLED,
  CO_ORDER_STATE_COUNT
};

/* Which hosts a maintenance order covers: those of one pool, rack or
   zone.  */
enum co_scope
{
  CO_SCOPE_POOL,
  CO_SCOPE_RACK,
  CO_SCOPE_ZONE,
  CO_SCOPE_COUNT
};

/* One change of the configuration, the content of an entry of the change
   log.  Only the members listed under its type are set.  */
struct co_change
{
  uint32_t type; /* enum co_change_type */
  /* CO_CHANGE_FLEET */
  uint64_t expected_fleet_version; /* version that the change was made from;
                                      0: any */
  char *fleet_yaml;
  /* CO_CHANGE_HOST */
  char *host;
  uint32_t host_state;     /* enum co_host_state */
  char *pool;              /* CO_HOST_MOVING: target pool; CO_HOST_ACTIVE: pool
                              from now on, or NULL to keep it */
  uint64_t new_generation; /* generation of the host after the change;
                              0: any */
  uint64_t completed_order; /* maintenance order the host has completed, or
                               0 */
  uint64_t cause;           /* maintenance order that drains the host,
                               CO_CAUSE_REBALANCE, or 0 */
  /* CO_CHANGE_API_KEY */
  char *key_hash; /* SHA-256 of the key in hex */
  char *team;     /* NULL: revoke the key */
  /* CO_CHANGE_MAINTENANCE */
  uint64_t order_id;    /* 0: a new order */
  uint32_t order_state; /* enum co_order_state */
  uint32_t scope;       /* enum co_scope */
  char *scope_name;
};

/* Encode or decode CHANGE, like co_view_serialize.  */
void co_change_serialize (struct ba_codec *io, struct co_change *change);

/* The evacuation of an availability zone is a maintenance order with
   CO_SCOPE_ZONE and this prefix before the name of the zone, so that entry
   hosts of versions without evacuations decode it, keep it in their snapshots
   and find no host in its scope.  Names of zones contain no slash.  The zone
   is evacuated unless the state of the order is CO_ORDER_CANCELLED.  */
#define CO_EVACUATION_PREFIX "evacuate/"

/* Return the zone that a maintenance order with SCOPE and SCOPE_NAME
   evacuates, or NULL if the order is not an evacuation.  Borrowed from
   SCOPE_NAME.  */
const char *co_evacuation_zone (uint32_t scope, const char *scope_name);

/* Make CHANGE the evacuation of ZONE or, unless EVACUATED, the end of its
   evacuation.  The name in CHANGE is owned by MEM.  */
void co_change_init_evacuation (TALLOC_CTX *mem, struct co_change *change,
                                const char *zone, bool evacuated);

/* The result of a configuration change.  */
enum co_change_result
{
  CO_CHANGE_RESULT_OK,          /* committed; a majority has applied it */
  CO_CHANGE_RESULT_CONFLICT,    /* made from a state that has changed since */
  CO_CHANGE_RESULT_INVALID,     /* refused; the detail says why */
  CO_CHANGE_RESULT_UNAVAILABLE, /* not applied: platform unreachable */
  CO_CHANGE_RESULT_UNKNOWN,     /* the platform did not confirm the write;
                                   retry with the same token */
  CO_CHANGE_RESULT_PENDING,     /* committed, but not yet acknowledged by a
                                   majority */
  CO_CHANGE_RESULT_COUNT
};

/* Return the name of RESULT, an enum co_change_result, as operators see it.
   Static.  */
const char *co_change_result_name (uint32_t result);

/* An entry of the change log.  */
struct co_log_entry
{
  uint64_t version; /* position in the log, from 1 */
  char *token;      /* identifies the change; a repeat is not applied again */
  struct co_change change;
};

/* Encode or decode ENTRY, like co_view_serialize.  */
void co_log_entry_serialize (struct ba_codec *io, struct co_log_entry *entry);

#endif
