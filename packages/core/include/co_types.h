#ifndef CO_TYPES_H
#define CO_TYPES_H

/* Values shared by the decision core's events, messages and rows.  */

#include "ba_codec.h"

/* Microseconds on a clock that never goes back.  */
typedef int64_t co_time;

#define CO_MILLISECOND ((co_time)1000)
#define CO_SECOND ((co_time)1000000)

enum
{
  CO_MAX_MEMBER_COUNT = 16,        /* entry hosts in one view */
  CO_MAX_DEPARTED_COUNT = 64,      /* former members not yet settled */
  CO_MAX_ARRAY_COUNT = 100000,     /* elements of any coded list */
  CO_MAX_CACHED_BODY_BYTES = 65536 /* bytes of an answer kept for repeats */
};

/* One entry host, for the time of one run of its process.  */
struct co_member
{
  uint64_t incarnation; /* unique for each run */
  char *name;
  char *zone;
  char *peer_address;
  char *admin_address;
};

/* How a member departed.  */
enum co_departure
{
  CO_DEPARTED_EVICTED,  /* taken out by others; it may still be alive */
  CO_DEPARTED_REPLACED, /* its address is taken by a new process: it is dead */
  CO_DEPARTED_GRACEFUL, /* it left with nothing running */
  CO_DEPARTURE_COUNT
};

/* A former member whose rights have not been settled in the ledger.  */
struct co_departed_member
{
  uint64_t incarnation;
  uint32_t departure; /* enum co_departure */
  char *peer_address;
};

/* The members, as recorded in the table service.

   `base' holds the members of the last confirmed view.  A view is confirmed,
   by a write that makes `base' equal to its members, once a majority of the
   base knows it.  See docs/design.md, "Standing".  */
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

void co_view_serialize (struct ba_codec *io, struct co_view *view);

/* What operators want of a host.  */
enum co_host_state
{
  CO_HOST_ACTIVE,   /* takes work */
  CO_HOST_DRAINING, /* takes no new work; becomes out when idle */
  CO_HOST_OUT,      /* drained */
  CO_HOST_MOVING,   /* takes no new work; changes pool when idle */
  CO_HOST_STATE_COUNT
};

/* Return the word for STATE.  Static.  */
const char *co_host_state_name (uint32_t state);

/* As the cause of a host's change: it is lent to a pool by load.  */
#define CO_CAUSE_REBALANCE UINT64_MAX

enum co_change_type
{
  CO_CHANGE_FLEET,
  CO_CHANGE_HOST,
  CO_CHANGE_API_KEY,
  CO_CHANGE_MAINTENANCE,
  CO_CHANGE_TYPE_COUNT
};

/* State of a maintenance order.  */
enum co_order_state
{
  CO_ORDER_RUNNING,
  CO_ORDER_PAUSED,
  CO_ORDER_CANCELLED,
  CO_ORDER_STATE_COUNT
};

enum co_scope
{
  CO_SCOPE_POOL,
  CO_SCOPE_RACK,
  CO_SCOPE_ZONE,
  CO_SCOPE_COUNT
};

/* One change of the configuration: an entry of the change log.  */
struct co_change
{
  uint32_t type; /* enum co_change_type */
  /* CO_CHANGE_FLEET */
  uint64_t expected_fleet_version; /* fleet version it was made from; 0: any */
  char *fleet_yaml;                /* YAML */
  /* CO_CHANGE_HOST */
  char *host;
  uint32_t host_state; /* enum co_host_state */
  char *pool;          /* CO_HOST_MOVING: target; CO_HOST_ACTIVE: NULL keeps */
  uint64_t new_generation;  /* the host must have; 0: any */
  uint64_t completed_order; /* order the host has completed, or 0 */
  uint64_t cause;           /* order that drains the host, or 0 */
  /* CO_CHANGE_API_KEY */
  char *key_hash;
  char *team; /* NULL withdraws */
  /* CO_CHANGE_MAINTENANCE */
  uint64_t order_id; /* 0: a new order */
  uint32_t order_state;
  uint32_t scope; /* enum co_scope */
  char *scope_name;
};

void co_change_serialize (struct ba_codec *io, struct co_change *change);

enum co_change_result
{
  CO_CHANGE_RESULT_OK,       /* committed and in force as promised */
  CO_CHANGE_RESULT_CONFLICT, /* made from a state that is no longer current */
  CO_CHANGE_RESULT_INVALID,  /* refused: the detail says why */
  CO_CHANGE_RESULT_UNAVAILABLE, /* not applied: the platform can't be reached
                                 */
  CO_CHANGE_RESULT_UNKNOWN, /* the platform did not confirm; repeat the token
                             */
  CO_CHANGE_RESULT_PENDING, /* committed, not yet acknowledged by a majority */
  CO_CHANGE_RESULT_COUNT
};

/* Return the word for RESULT.  Static.  */
const char *co_change_result_name (uint32_t result);

/* An entry of the change log.  Its version is its position.  */
struct co_log_entry
{
  uint64_t version;
  char *token;
  struct co_change change;
};

void co_log_entry_serialize (struct ba_codec *io, struct co_log_entry *entry);

#endif
