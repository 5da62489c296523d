#ifndef JB_MSG_H
#define JB_MSG_H

/* Messages between entry hosts.  A message may be lost, delayed or duplicated.
   Requests are therefore idempotent and repeated until they are answered;
   reports are repeated at intervals.

   JB_MSG_HEARTBEAT        state of a host, several times a second: of
                           coordinators and owners to all members, of the
                           others to the coordinators (see jb_members.c)
   JB_MSG_REQUEST          a client's call, to the owner of the pool
   JB_MSG_REPLY            the reply to a JB_MSG_REQUEST
   JB_MSG_CATALOG          the configuration, to a host that has requested it
   JB_MSG_EVACUATE         the planner asks a pool's owner to evacuate a host
   JB_MSG_EVACUATE_STATUS  the reply: whether the host is empty; sent again
                           when it has become empty
   JB_MSG_POOL_LOAD        load of a pool, from its owner to the planner
   JB_MSG_HOST_ARRIVING    a host is moving to a pool, from the planner to the
                           pool's owner
   JB_MSG_QUOTA_USAGE      what the organisations with a quota use of a pool,
                           from its owner to the planner
   JB_MSG_QUOTA_SHARES     the organisations' shares of a pool, from the
                           planner to the pool's owner
   JB_MSG_CATALOG_REQUEST  asks for a newer configuration (see
                           jb_catalog_fetch.h)
   JB_MSG_ZONES            the evacuated zones, from coordinators to all
                           members while there are any
   JB_MSG_PROCESS_QUERY    asks the host with a name whether a former process
                           with that name has ended (see
                           jb_members_has_process_ended)
   JB_MSG_PROCESS_ENDED    the reply to a JB_MSG_PROCESS_QUERY; none is sent if
                           the process has not ended
   JB_MSG_DOUBTS           starts in doubt of a pool that its owner can't
                           store, to all members, and once from coordinators
                           to a member that was not alive
   JB_MSG_STARTS           starts and leases of a pool that its owner is about
                           to send, or has sent and that were not answered, to
                           its witness
   JB_MSG_STARTS_KEPT      the reply of a witness, without a list
   JB_MSG_STARTS_QUERY     asks for the starts of former owners, from a new
                           owner of the pool to all members, without a list
   JB_MSG_STARTS_LEFT      the reply to that: the last list of a former owner;
                           if there is none, it is sent only if the query
                           wants a reply
   JB_MSG_QUOTA_NEEDS      what organisations need for their next start in a
                           pool, from its owner to the planner before a
                           JB_MSG_QUOTA_USAGE  */

#include "jb_catalog.h"
#include "jb_doubt.h"
#include "jb_job_desc.h"
#include "jb_driver.h"

enum jb_msg_type
{
  JB_MSG_HEARTBEAT,
  JB_MSG_REQUEST,
  JB_MSG_REPLY,
  JB_MSG_CATALOG,
  JB_MSG_EVACUATE,
  JB_MSG_EVACUATE_STATUS,
  JB_MSG_POOL_LOAD,
  JB_MSG_HOST_ARRIVING,
  JB_MSG_QUOTA_USAGE,
  JB_MSG_QUOTA_SHARES,
  JB_MSG_CATALOG_REQUEST,
  JB_MSG_ZONES,
  JB_MSG_PROCESS_QUERY,
  JB_MSG_PROCESS_ENDED,
  JB_MSG_DOUBTS,
  JB_MSG_STARTS,
  JB_MSG_STARTS_KEPT,
  JB_MSG_STARTS_QUERY,
  JB_MSG_STARTS_LEFT,
  JB_MSG_QUOTA_NEEDS,
  JB_MSG_TYPE_COUNT
};

/* A partition of the store that the sender owns or is claiming.  */
struct jb_msg_ownership
{
  char *partition;
  uint64_t fence; /* fencing token; 0: it is being claimed */
};

/* How long ago the sender received the last heartbeat of another member.  */
struct jb_msg_heartbeat_age
{
  uint64_t incarnation; /* of the other member */
  int64_t age_ms;
};

struct jb_msg_heartbeat
{
  char *name;
  char *address;
  char *zone;
  uint32_t cpu_share_milli; /* of one processor, in thousandths; 0: unknown */
  bool stopping;
  int64_t store_answer_age_ms; /* since the store last answered the sender;
                                  negative: it never has */
  bool store_reachable;        /* the store answers the sender */
  uint64_t catalog_version;
  uint32_t ownership_count;
  struct jb_msg_ownership *ownerships;
  uint32_t peer_count;
  /* Live coordinators and owners that the sender hears.  */
  struct jb_msg_heartbeat_age *peers;
};

enum jb_request_kind
{
  JB_REQUEST_SUBMIT,
  JB_REQUEST_QUERY, /* state of a job */
  JB_REQUEST_CANCEL,
  JB_REQUEST_PENDING_COUNT, /* number of jobs that have not started */
  /* As JB_REQUEST_SUBMIT, but a job that the pool doesn't know is not
     accepted: JB_ANSWER_NO_JOB, once the pool's owner accepts no job of the
     queue any more, else JB_MSG_NOT_OWNER.  Without `desc'.  */
  JB_REQUEST_SUBMIT_KNOWN,
  JB_REQUEST_SUBMIT_SEARCHED, /* a job that no other pool knows */
  JB_REQUEST_KIND_COUNT
};

struct jb_msg_request
{
  uint64_t call; /* number, unique among those of all processes of the sending
                    host */
  uint32_t kind; /* enum jb_request_kind */
  char *pool;
  char *id;                 /* of the job, or NULL */
  char *queue;              /* name */
  struct jb_job_desc *desc; /* for JB_REQUEST_SUBMIT, else NULL */
};

/* Reply to a request.  The members after `kind' are as in struct
   jb_answer.  */
struct jb_msg_reply
{
  uint64_t call; /* of the request */
  uint32_t kind; /* enum jb_answer_kind, or JB_MSG_NOT_OWNER */
  uint32_t state;
  uint32_t pending;
  int64_t retry_after_ms;
};

enum
{
  /* Kind of a reply: the sender does not own the pool, and the request has to
     be sent to the pool's owner.  Larger than any enum jb_answer_kind.  */
  JB_MSG_NOT_OWNER = 1000
};

/* Why a request is not handled, in `state' of a JB_MSG_NOT_OWNER.  A host of
   the previous version takes all for the first.  In that of a
   JB_ANSWER_PENDING_COUNT JB_MSG_REASON_SEARCH_POOLS says that other pools may
   have jobs of the queue as well.  */
enum jb_msg_not_owner_reason
{
  JB_MSG_REASON_NOT_OWNER,
  /* Of a JB_REQUEST_SUBMIT: the queue has not belonged to the pool for long,
     so another pool may know the job.  All others have to be asked for it,
     with JB_REQUEST_SUBMIT_KNOWN, before it is submitted with
     JB_REQUEST_SUBMIT_SEARCHED.  */
  JB_MSG_REASON_SEARCH_POOLS
};

struct jb_msg_evacuate
{
  char *pool;
  char *instance; /* of the host's backend server */
  /* False: evacuate the host, and reply whether it is empty.  True: the host
     was taken out of the pool, nothing must be started there any more, and no
     reply is sent.  */
  bool host_removed;
};

struct jb_msg_evacuate_status
{
  char *pool;
  char *instance; /* as in the request */
  bool empty;     /* nothing runs there, and nothing is started for a while */
};

/* Load of a pool.  CPU amounts are in thousandths of a core.  What tasks use
   or want does not include best-effort tasks.  */
struct jb_msg_load
{
  char *pool;
  int64_t capacity_cpu_milli;     /* of its reachable backend servers */
  int64_t host_cpu_milli;         /* of the largest of them */
  int64_t finite_cpu_milli;       /* used by tasks that end by themselves */
  int64_t waiting_cpu_milli;      /* wanted by tasks that are ready to start */
  int64_t long_running_cpu_milli; /* used by tasks that run until cancelled */
  /* Estimate of the accepted work that is not done yet, in thousandths of a
     core times milliseconds.  */
  int64_t unfinished_work_cpu_milli_ms;
  /* CPU that would be busy all the time if work kept being submitted as fast
     as recently.  */
  int64_t arriving_cpu_milli;
  uint32_t idle_instance_count;
  char **idle_instances; /* of the usable backend servers without a task */
};

struct jb_msg_host_arriving
{
  char *pool; /* that the host is moving to */
};

/* What an organisation uses of a pool.  */
struct jb_msg_org_usage
{
  char *org;
  struct jb_resources used;   /* by tasks that run or may run */
  struct jb_resources wanted; /* by tasks that are ready to start */
  struct jb_resources share;  /* share in force at the pool's owner */
};

/* Report of a pool's owner to the planner, which also acknowledges the shares
   in force.  */
struct jb_msg_usage
{
  char *pool;
  uint64_t fence;         /* of the pool's owner */
  uint64_t planner_fence; /* of the planner that sent the shares in force */
  uint64_t serial;        /* serial number of these shares; 0: none */
  uint32_t count;
  struct jb_msg_org_usage *org_usages;
};

struct jb_msg_org_need
{
  char *org;
  struct jb_resources needed;
};

/* What organisations need for a start that only their shares prevent.  Those
   that are not listed need nothing.  */
struct jb_msg_needs
{
  char *pool;
  uint64_t fence; /* of the pool's owner */
  uint32_t count;
  struct jb_msg_org_need *needs;
};

struct jb_msg_org_share
{
  char *org;
  struct jb_resources share;
};

struct jb_msg_shares
{
  char *pool;
  uint64_t fence; /* of the pool's owner; another owner ignores the shares */
  uint64_t planner_fence;
  uint64_t serial; /* increases with each change of shares by a planner */
  uint32_t count;
  struct jb_msg_org_share *shares;
};

struct jb_msg_catalog_request
{
  uint64_t own_version; /* of the sender; 0: it has no configuration */
};

/* The table of the sender, which it knows.  */
struct jb_msg_zones
{
  uint32_t count;
  struct jb_zone_entry *zones;
};

/* A process of an entry host.  */
struct jb_msg_process
{
  char *name; /* of the host */
  uint64_t incarnation;
};

enum
{
  JB_MSG_MAX_DOUBTS = 500, /* in one message, about 30 KB */
  JB_MSG_MAX_GRANTS = 1000 /* about 20 KB */
};

struct jb_msg_doubt
{
  struct jb_doubt_entry entry;
  uint32_t generation; /* of the owner that has sent the start */
  int64_t age_ms;      /* since the last start was sent, not more */
};

struct jb_msg_doubts
{
  char *pool;
  uint32_t count;
  struct jb_msg_doubt *entries;
};

struct jb_msg_starts
{
  char *pool;
  uint32_t generation; /* of the owner */
  uint64_t serial;     /* rises with each list of an owner */
  bool wants_reply;
  uint32_t count;
  struct jb_doubt_entry *entries; /* at most JB_MSG_MAX_DOUBTS */
  uint32_t grant_count;
  struct jb_open_grants *grants; /* at most JB_MSG_MAX_GRANTS */
};

struct jb_msg_starts_left
{
  uint32_t query_generation;   /* of the owner that has asked */
  bool is_last;                /* no former owner sends starts any more because
                                  of what this host has replied to it */
  struct jb_msg_starts starts; /* generation 0: there is no list */
};

struct jb_msg
{
  uint32_t type; /* enum jb_msg_type */
  union
  {
    struct jb_msg_heartbeat heartbeat;
    struct jb_msg_request request;
    struct jb_msg_reply reply;
    struct jb_catalog catalog;
    struct jb_msg_evacuate evacuate;
    struct jb_msg_evacuate_status evacuate_status;
    struct jb_msg_load load;
    struct jb_msg_host_arriving host_arriving;
    struct jb_msg_usage usage;
    struct jb_msg_shares shares;
    struct jb_msg_catalog_request catalog_request;
    struct jb_msg_zones zones;
    struct jb_msg_process process;
    struct jb_msg_doubts doubts;
    struct jb_msg_starts starts;
    struct jb_msg_starts_left starts_left;
    struct jb_msg_needs needs;
  } u;
};

/* Encode MESSAGE to IO, or decode it from IO if it is a reader.  What is
   decoded is owned by the memory context of IO.  */
void jb_msg_serialize (struct ba_codec *io, struct jb_msg *message);

/* Return the encoding of MESSAGE, owned by MEM.  */
struct ba_bytes jb_msg_encode (TALLOC_CTX *mem, const struct jb_msg *message);

/* Return the message that BYTES encode, owned by MEM, or NULL if they are not
   a valid encoding.  */
struct jb_msg *jb_msg_decode (TALLOC_CTX *mem, struct ba_bytes bytes);

/* Return the type of the message that BYTES encode, without decoding the rest,
   or JB_MSG_TYPE_COUNT if it is not valid.  */
enum jb_msg_type jb_msg_peek_type (struct ba_bytes bytes);

/* Return the name of TYPE in logs, a static string; that of JB_MSG_TYPE_COUNT
   is "unreadable".  */
const char *jb_msg_type_name (enum jb_msg_type type);

#endif
