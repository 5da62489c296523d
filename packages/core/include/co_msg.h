#ifndef CO_MSG_H
#define CO_MSG_H

/* Messages between the decision cores of the entry hosts.  */

#include "co_types.h"

/* Use of one team or pool at one entry host.  */
struct co_usage
{
  char *name;
  uint32_t running;
  uint32_t waiting;
  uint32_t held_quota; /* rights held: running and free */
};

/* Requests that one team runs in one pool from one entry host.  Both are named
   by their place in the lists of the same heartbeat, which spares most of its
   bytes.  */
struct co_running_count
{
  uint32_t pool_position;
  uint32_t team_position;
  uint32_t count;
};

/* Requests running at a host that takes no new work.  */
struct co_drain_status
{
  char *host;
  uint32_t running;
};

struct co_msg_heartbeat
{
  uint64_t view_version;
  uint64_t log_version; /* applied */
  bool stopping;
  struct co_usage *teams;
  uint32_t team_count;
  struct co_usage *pools;
  uint32_t pool_count;
  struct co_running_count *running;
  uint32_t running_count;
  struct co_drain_status *drains;
  uint32_t drain_count;
  uint64_t *ledger_versions; /* versions of the ledger rows, by shard */
  uint32_t ledger_version_count;
};

/* Total of the rights of one resource ever sent to the receiver.  */
struct co_quota_transfer
{
  char *resource;
  uint32_t total_sent;
};

struct co_msg_transfers
{
  struct co_quota_transfer *items;
  uint32_t count;
};

/* A need for rights: of a team, or of worker slots in a pool.  */
struct co_msg_quota_request
{
  bool for_pool; /* name is a pool */
  char *name;
  uint32_t count;
};

/* What a member has received from and sent to a departed one, net.  */
struct co_transfer_balance
{
  uint64_t departed_incarnation;
  char *resource;
  int64_t net_received;
};

struct co_msg_transfer_report
{
  uint64_t view_version;
  struct co_transfer_balance *items;
  uint32_t count;
};

struct co_msg_claim
{
  uint64_t request_id;
  uint64_t view_version;
  char *idempotency_key;
};

enum co_claim_result
{
  CO_CLAIM_GRANTED,
  CO_CLAIM_TAKEN,       /* `executor' holds the claim */
  CO_CLAIM_UNAVAILABLE, /* not stored; nothing is claimed */
  CO_CLAIM_UNKNOWN,     /* it may be stored */
  CO_CLAIM_RESULT_COUNT
};

struct co_msg_claim_reply
{
  uint64_t request_id;
  uint32_t result; /* enum co_claim_result */
  uint64_t executor;
};

struct co_msg_fetch_answer
{
  uint64_t request_id;
  char *idempotency_key;
};

enum co_execution_state
{
  CO_EXECUTION_NONE,    /* nothing known of the identity */
  CO_EXECUTION_NOT_RUN, /* refused before it was sent */
  CO_EXECUTION_RUNNING,
  CO_EXECUTION_UNKNOWN, /* ended without a whole answer */
  CO_EXECUTION_TOO_LARGE,
  CO_EXECUTION_ANSWERED,
  CO_EXECUTION_STATE_COUNT
};

struct co_msg_fetch_reply
{
  uint64_t request_id;
  uint32_t state; /* enum co_execution_state */
  uint32_t http_status;
  char *headers;
  struct ba_bytes body;
};

struct co_msg_log_entries
{
  struct co_log_entry *items;
  uint32_t count;
};

enum co_msg_type
{
  CO_MSG_HEARTBEAT,
  CO_MSG_TRANSFERS,
  CO_MSG_TRANSFERS_ACK, /* the totals, returned to their sender */
  CO_MSG_QUOTA_REQUEST,
  CO_MSG_TRANSFER_REPORT,
  CO_MSG_CLAIM,
  CO_MSG_CLAIM_REPLY,
  CO_MSG_CLAIM_RELEASE, /* the executor gives a claim back: it was not run */
  CO_MSG_FETCH_ANSWER,
  CO_MSG_FETCH_REPLY,
  CO_MSG_LOG_FETCH, /* send entries after a version */
  CO_MSG_LOG_ENTRIES,
  CO_MSG_TYPE_COUNT
};

struct co_msg
{
  uint32_t type; /* enum co_msg_type */
  union
  {
    struct co_msg_heartbeat heartbeat;
    struct co_msg_transfers transfers;
    struct co_msg_quota_request quota_request;
    struct co_msg_transfer_report transfer_report;
    struct co_msg_claim claim;
    struct co_msg_claim_reply claim_reply;
    struct co_msg_claim claim_release; /* op: of the claim given back */
    struct co_msg_fetch_answer fetch_answer;
    struct co_msg_fetch_reply fetch_reply;
    uint64_t log_fetch_after;
    struct co_msg_log_entries log_entries;
  } u;
};

void co_msg_serialize (struct ba_codec *io, struct co_msg *message);

#endif
