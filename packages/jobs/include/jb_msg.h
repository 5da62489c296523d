#ifndef JB_MSG_H
#define JB_MSG_H

/* Messages between entry hosts.  Any of them may be lost, late or doubled:
   requests are repeated until they are answered, and mean the same each time.

   JB_MSG_HEARTBEAT     sent to all, several times a second
   JB_MSG_REQUEST  a client's call, to the holder of the pool
   JB_MSG_REPLY    to a request
   JB_MSG_CATALOG  the configuration, to a host that has an older one
   JB_MSG_EVACUATE    the planner asks a pool's holder to empty a host
   JB_MSG_EVACUATE_STATUS  how far that is
   JB_MSG_POOL_LOAD     what a pool's holder tells the planner of its load
   JB_MSG_HOST_ARRIVING   a host is on its way to a pool
   JB_MSG_QUOTA_USAGE    what organisations with a limit use of a pool
   JB_MSG_QUOTA_SHARES   what they may use of it, from the planner  */

#include "jb_catalog.h"
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
  JB_MSG_TYPE_COUNT
};

struct jb_msg_ownership
{
  char *part;
  uint64_t fence; /* 0: it is being claimed */
};

/* How long ago another member was heard.  */
struct jb_msg_peer_age
{
  uint64_t incarnation;
  int64_t age_ms;
};

struct jb_msg_heartbeat
{
  char *name;
  char *address;
  char *zone;
  uint32_t
      cpu_share_milli; /* its share of one, in thousandths; 0: not known */
  bool stopping;
  int64_t
      store_answer_age_ms; /* since the store last answered; -1: it has not */
  bool store_reachable;    /* it answers */
  uint64_t catalog_version;
  uint32_t ownership_count;
  struct jb_msg_ownership *ownerships;
  uint32_t peer_count;
  struct jb_msg_peer_age *heard;
};

enum jb_request_kind
{
  JB_REQUEST_SUBMIT,
  JB_REQUEST_QUERY,
  JB_REQUEST_CANCEL,
  JB_REQUEST_PENDING_COUNT,
  JB_REQUEST_KIND_COUNT
};

struct jb_msg_request
{
  uint64_t call; /* of the sending host */
  uint32_t kind; /* enum jb_request_kind */
  char *pool;
  char *id;                 /* of the job, or NULL */
  char *queue;              /* of a JB_REQUEST_PENDING_COUNT, or NULL */
  struct jb_job_desc *desc; /* of a JB_REQUEST_SUBMIT, or NULL */
};

struct jb_msg_reply
{
  uint64_t call;
  uint32_t kind; /* enum jb_answer_kind; JB_MSG_NOT_OWNER: ask again */
  uint32_t state;
  uint32_t pending;
  int64_t retry_after_ms;
};

enum
{
  JB_MSG_NOT_OWNER = 1000 /* the sender does not hold the pool */
};

struct jb_msg_evacuate
{
  char *pool;
  char *instance; /* of the host's backend server */
  bool taken;     /* the host is gone: nothing is started there any more */
};

struct jb_msg_evacuate_status
{
  char *pool;
  char *instance;
  bool empty; /* nothing runs there, and nothing is started for a while */
};

/* Load of a pool, all in thousandths of cores.  */
struct jb_msg_load
{
  char *pool;
  int64_t capacity_cpu_milli;     /* of its sound backend servers */
  int64_t host_cpu_milli;         /* of one of them */
  int64_t running_cpu_milli;      /* what finite tasks use */
  int64_t waiting_cpu_milli;      /* what tasks wait for whose turn has come */
  int64_t long_running_cpu_milli; /* what lasting tasks use */
  int64_t
      waiting_work_cpu_milli_ms; /* times milliseconds, of all accepted work */
  int64_t arriving_cpu_milli; /* cores that the work handed in lately fills */
  uint32_t idle_count;
  char **idle; /* instances without any task */
};

struct jb_msg_host_arriving
{
  char *pool;
};

struct jb_msg_org_usage
{
  char *org;
  struct jb_resources used;   /* running, or possibly */
  struct jb_resources wanted; /* more, now */
  struct jb_resources limit;  /* the share that is kept to */
};

struct jb_msg_usage
{
  char *pool;
  uint64_t fence;   /* of the holder */
  uint64_t planner; /* that the newest shares taken in came from */
  uint64_t serial;  /* of these; 0: none */
  uint32_t count;
  struct jb_msg_org_usage *uses;
};

struct jb_msg_org_share
{
  char *org;
  struct jb_resources limit;
};

struct jb_msg_shares
{
  char *pool;
  uint64_t fence;   /* of the pool's holder that these are for */
  uint64_t planner; /* fence of the planner */
  uint64_t serial;  /* rises */
  uint32_t count;
  struct jb_msg_org_share *shares;
};

struct jb_msg
{
  uint32_t type; /* enum jb_msg_type */
  union
  {
    struct jb_msg_heartbeat beat;
    struct jb_msg_request request;
    struct jb_msg_reply reply;
    struct jb_catalog catalog;
    struct jb_msg_evacuate clear;
    struct jb_msg_evacuate_status cleared;
    struct jb_msg_load load;
    struct jb_msg_host_arriving coming;
    struct jb_msg_usage usage;
    struct jb_msg_shares shares;
  } u;
};

void jb_msg_serialize (struct ba_codec *io, struct jb_msg *message);

/* Return the encoding of MESSAGE, owned by MEM.  */
struct ba_bytes jb_msg_encode (TALLOC_CTX *mem, const struct jb_msg *message);

/* Return the message that BYTES hold, owned by MEM, or NULL.  */
struct jb_msg *jb_msg_decode (TALLOC_CTX *mem, struct ba_bytes bytes);

#endif
