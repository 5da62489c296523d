#ifndef CO_EVENT_H
#define CO_EVENT_H

/* What the decision core is told (events) and what it decides (outcomes).

   Both are tagged unions with a msgpack encoding, so that a session can be
   recorded and replayed.  Pointers inside an event are borrowed for the
   duration of co_core_step; those inside an outcome are owned by its outbox.
 */

#include "ba_codec.h"
#include "co_msg.h"
#include "co_reason.h"
#include "co_types.h"

/* The result of an operation on the table service.  */
enum co_store_result
{
  CO_STORE_OK,
  CO_STORE_CONFLICT,    /* a condition did not hold; nothing was written */
  CO_STORE_UNREACHABLE, /* nothing can have been written or read */
  CO_STORE_UNKNOWN      /* the reply was lost: it may have been written */
};

/* A versioned row of the table service.  Version 0 means absent.  */
struct co_row
{
  char *partition;
  char *sort_key;
  uint64_t version;
  struct ba_bytes body;
};

struct co_event_request
{
  uint64_t request_id; /* driver's handle, unique in the process */
  char *queue;
  char *key_hash;        /* SHA-256 of the key in hex, or NULL */
  char *idempotency_key; /* caller's request identity, or NULL */
  bool idempotent;
  bool has_priority;
  uint32_t priority; /* enum cf_priority, when has_priority */
  co_time deadline;  /* absolute */
};

enum co_attempt_result
{
  CO_ATTEMPT_ANSWERED, /* the backend's whole answer was received */
  CO_ATTEMPT_NOT_SENT, /* no byte of the request was sent */
  CO_ATTEMPT_BROKEN,   /* sent, and no whole answer */
  CO_ATTEMPT_TIMED_OUT /* sent, and the deadline passed */
};

struct co_event_attempt_done
{
  uint64_t request_id;
  uint32_t result;      /* enum co_attempt_result */
  bool streamed;        /* the caller has received part of the answer */
  uint32_t http_status; /* HTTP status when answered */
  char *headers;        /* when answered, or NULL */
  bool has_whole_body;  /* body holds the whole answer body */
  struct ba_bytes body;
};

struct co_event_poll_done
{
  co_time sent_at; /* when the reads were sent */
  uint32_t result; /* enum co_store_result */
  struct co_row view_row;
  struct co_row *log; /* entries after the version asked for, in order */
  uint32_t log_count;
};

struct co_event_read_done
{
  uint64_t op_id;
  uint32_t result; /* enum co_store_result */
  struct co_row *rows;
  uint32_t row_count;
};

struct co_event_write_done
{
  uint64_t op_id;
  uint32_t result; /* enum co_store_result */
};

struct co_live_host
{
  char *name;
  bool leaving;
  uint64_t boot_id; /* changes with each boot */
};

struct co_event_host_list
{
  co_time requested_at; /* when the list was asked for */
  struct co_live_host *hosts;
  uint32_t host_count;
};

struct co_event_peer_message
{
  uint64_t sender; /* incarnation of the sender */
  struct co_msg message;
};

struct co_event_change
{
  uint64_t change_id;
  char *token; /* identity of the change: a repeat is not applied twice */
  struct co_change change;
};

enum co_event_type
{
  CO_EVENT_TICK,
  CO_EVENT_REQUEST,
  CO_EVENT_CALLER_GONE, /* the caller of a request went away */
  CO_EVENT_ATTEMPT_DONE,
  CO_EVENT_POLL_DONE,
  CO_EVENT_READ_DONE,
  CO_EVENT_WRITE_DONE,
  CO_EVENT_HOST_LIST,
  CO_EVENT_PEER_MESSAGE,
  CO_EVENT_CHANGE,
  CO_EVENT_STOP,
  CO_EVENT_TYPE_COUNT
};

struct co_event
{
  uint32_t type; /* enum co_event_type */
  union
  {
    struct co_event_request request;
    uint64_t caller_gone; /* request */
    struct co_event_attempt_done attempt_done;
    struct co_event_poll_done poll_done;
    struct co_event_read_done read_done;
    struct co_event_write_done write_done;
    struct co_event_host_list host_list;
    struct co_event_peer_message peer_message;
    struct co_event_change change;
  } u;
};

struct co_action_refuse
{
  uint64_t request_id;
  uint32_t reason;         /* enum co_reason */
  uint32_t retry_after_ms; /* when to come back; 0: it does not help */
};

struct co_action_start
{
  uint64_t request_id;
  char *host;
  char *address;
  co_time deadline;
  bool idempotent;
};

struct co_action_replay
{
  uint64_t request_id;
  uint32_t http_status;
  char *headers;
  struct ba_bytes body;
};

struct co_action_write
{
  uint64_t op_id;
  struct co_row row;              /* its version is the one to write */
  uint64_t expected_version;      /* version the row must have; 0: absent */
  uint64_t required_view_version; /* version the view must have; 0: any */
  uint32_t lifetime_s; /* seconds until the row may be dropped; 0: never */
};

struct co_action_read
{
  uint64_t op_id;
  char *partition;
  char *after_sort_key; /* rows whose sort key is greater */
};

struct co_action_send
{
  uint64_t recipient; /* incarnation */
  struct co_msg message;
};

struct co_action_change_done
{
  uint64_t change_id;
  uint32_t result; /* enum co_change_result */
  uint64_t version;
  char *detail;
};

struct co_action_reboot
{
  char *host;
  uint64_t boot_id; /* reboot only while this is the host's boot */
};

enum co_action_type
{
  CO_ACTION_REFUSE,
  CO_ACTION_START,
  CO_ACTION_REPLAY,
  CO_ACTION_FORGET, /* the request's answer was whole; nothing to send */
  CO_ACTION_WRITE,
  CO_ACTION_READ,
  CO_ACTION_POLL, /* read view and log now */
  CO_ACTION_SEND,
  CO_ACTION_VIEW_CHANGED, /* the members changed */
  CO_ACTION_REBOOT,       /* a drained host is to be rebooted */
  CO_ACTION_CHANGE_DONE,
  CO_ACTION_EVICTED,
  CO_ACTION_STOPPED,
  CO_ACTION_TYPE_COUNT
};

struct co_action
{
  uint32_t type; /* enum co_action_type */
  union
  {
    struct co_action_refuse refuse;
    struct co_action_start start;
    struct co_action_replay replay;
    uint64_t forget_request_id; /* request */
    struct co_action_write write;
    struct co_action_read read;
    uint64_t poll_after_log_version; /* log version already known */
    struct co_action_send send;
    struct co_view view;
    struct co_action_change_done change_done;
    struct co_action_reboot reboot;
  } u;
};

/* Code an event or an outcome in the direction of IO.  */
void co_event_serialize (struct ba_codec *io, struct co_event *event);
void co_action_serialize (struct ba_codec *io, struct co_action *outcome);

/* Outcomes of one or more steps, in order.  */
struct co_outbox
{
  TALLOC_CTX *mem; /* owner of everything the outcomes point to */
  struct co_action *actions;
  uint32_t count;
  uint32_t capacity;
};

/* Return a new empty outbox owned by MEM.  */
struct co_outbox *co_outbox_new (TALLOC_CTX *mem);

/* Append a zeroed outcome of TYPE and return it; valid until the next
   append.  */
struct co_action *co_outbox_append (struct co_outbox *box, uint32_t type);

#endif
