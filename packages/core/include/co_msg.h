#ifndef CO_MSG_H
#define CO_MSG_H

/* Messages between the decision cores of the entry hosts.  */

#include "co_types.h"

/* What one entry host uses of one team's limit or of one pool's slots.  */
struct co_usage
{
  char *name; /* of the team or pool */
  uint32_t running;
  uint32_t waiting;
  uint32_t held_quota; /* units of quota held: in use and free */
};

/* Number of requests that one team runs in one pool from one entry host.  The
   pool and the team are named by their positions in the lists of the same
   heartbeat, which makes the heartbeat much smaller than names would.  */
struct co_running_count
{
  uint32_t pool_position;
  uint32_t team_position;
  uint32_t count;
};

/* Requests of one entry host that run on a host that takes no new work.  */
struct co_drain_status
{
  char *host;
  uint32_t running;
};

/* State of the sender, sent to every other member at a fixed interval, and
   earlier when others need to learn of a change soon.  */
struct co_msg_heartbeat
{
  uint64_t view_version;
  uint64_t log_version; /* last log entry that the sender has applied */
  bool stopping;
  struct co_usage *teams;
  uint32_t team_count;
  struct co_usage *pools;
  uint32_t pool_count;
  struct co_running_count *running;
  uint32_t running_count;
  struct co_drain_status *drains;
  uint32_t drain_count;
  uint64_t *ledger_versions; /* of the ledger rows, by shard */
  uint32_t ledger_version_count;
};

/* Units of the quota of one resource that the sender has ever lent to the
   receiver.  */
struct co_quota_transfer
{
  char *resource; /* "t/TEAM" or "h/HOST" */
  uint32_t total_sent;
};

struct co_msg_transfers
{
  struct co_quota_transfer *items;
  uint32_t count;
};

/* The sender asks to borrow quota: units of a team's limit, or of worker
   slots in a pool.  */
struct co_msg_quota_request
{
  bool for_pool; /* NAME is a pool, else a team */
  char *name;
  uint32_t count; /* units asked for */
};

/* Units of the quota of one resource that the sender has received from a
   departed member, less those that it has sent to it.  */
struct co_transfer_balance
{
  uint64_t departed_incarnation;
  char *resource; /* "t/TEAM" or "h/HOST" */
  int64_t net_received;
};

/* Everything that the sender has exchanged with departed members, for the
   leader to settle in the ledger.  */
struct co_msg_transfer_report
{
  uint64_t view_version;
  struct co_transfer_balance *items;
  uint32_t count;
};

/* The sender, the executor of a request, asks the owner of the request's
   idempotency key for the claim that lets the request run, or gives that claim
   back.  */
struct co_msg_claim
{
  uint64_t request_id; /* the executor's */
  uint64_t view_version;
  char *idempotency_key;
};

enum co_claim_result
{
  CO_CLAIM_GRANTED,
  CO_CLAIM_TAKEN,       /* another member, `executor', holds the claim */
  CO_CLAIM_UNAVAILABLE, /* not stored; nothing is claimed */
  CO_CLAIM_UNKNOWN,     /* the claim may have been stored */
  CO_CLAIM_RESULT_COUNT
};

/* The owner's answer to a claim.  */
struct co_msg_claim_reply
{
  uint64_t request_id; /* as in the claim */
  uint32_t result;     /* enum co_claim_result */
  uint64_t executor;   /* incarnation of the holder of the claim */
};

/* The sender asks the executor that holds a claim how the request ended.  */
struct co_msg_fetch_answer
{
  uint64_t request_id; /* the sender's, for the reply */
  char *idempotency_key;
};

/* What an executor knows about the request with a given idempotency key.  */
enum co_execution_state
{
  CO_EXECUTION_NONE,    /* nothing is known of the key */
  CO_EXECUTION_NOT_RUN, /* its request was not sent to a host */
  CO_EXECUTION_RUNNING,
  CO_EXECUTION_UNKNOWN,   /* ended without a whole answer */
  CO_EXECUTION_TOO_LARGE, /* answered; the answer was too large to cache, or
                             the cache was full */
  CO_EXECUTION_ANSWERED,  /* answered; the answer is cached */
  CO_EXECUTION_STATE_COUNT
};

/* The reply to co_msg_fetch_answer.  */
struct co_msg_fetch_reply
{
  uint64_t request_id; /* as in the question */
  uint32_t state;      /* enum co_execution_state */
  uint32_t http_status;
  char *headers; /* "NAME: VALUE" lines, or NULL */
  struct ba_bytes body;
};

/* Entries of the change log, in order.  */
struct co_msg_log_entries
{
  struct co_log_entry *items;
  uint32_t count;
};

enum co_msg_type
{
  CO_MSG_HEARTBEAT,
  CO_MSG_TRANSFERS,     /* totals of quota lent; repeated until acknowledged */
  CO_MSG_TRANSFERS_ACK, /* the received totals, returned to their sender */
  CO_MSG_QUOTA_REQUEST,
  CO_MSG_TRANSFER_REPORT,
  CO_MSG_CLAIM,
  CO_MSG_CLAIM_REPLY,
  CO_MSG_CLAIM_RELEASE, /* gives a claim back: the request was not run */
  CO_MSG_FETCH_ANSWER,
  CO_MSG_FETCH_REPLY,
  CO_MSG_LOG_FETCH, /* asks for the log entries after a version */
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
    struct co_msg_claim claim_release;
    struct co_msg_fetch_answer fetch_answer;
    struct co_msg_fetch_reply fetch_reply;
    uint64_t log_fetch_after; /* log version that the sender has */
    struct co_msg_log_entries log_entries;
  } u;
};

/* Encode MESSAGE to IO, or decode it from IO, like co_view_serialize.  */
void co_msg_serialize (struct ba_codec *io, struct co_msg *message);

#endif
