#ifndef CO_EVENT_H
#define CO_EVENT_H

/* Inputs of the decision core (events) and its decisions (actions).

   Both are tagged unions with a msgpack encoding, so that a session can be
   recorded and replayed.  Pointers inside an event are borrowed for the
   duration of co_core_step.  Those inside an action are owned by its outbox,
   or borrowed from the event or the core: actions must be used or encoded
   before the event is freed and before the next step.  */

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

/* A request arrived from a caller.  */
struct co_event_request
{
  uint64_t request_id; /* chosen by the driver, unique in the process */
  char *queue;
  char *key_hash;        /* SHA-256 of the API key in hex, or NULL */
  char *idempotency_key; /* chosen by the caller, or NULL */
  bool idempotent;       /* running it twice does no harm */
  bool has_priority;
  uint32_t priority; /* enum cf_priority, when has_priority */
  co_time deadline;  /* absolute */
};

/* How one attempt at running a request on a backend server ended.  */
enum co_attempt_result
{
  CO_ATTEMPT_ANSWERED, /* the backend's whole answer was received */
  CO_ATTEMPT_NOT_SENT, /* no byte of the request was sent */
  CO_ATTEMPT_BROKEN,   /* sent, but no whole answer was received */
  CO_ATTEMPT_TIMED_OUT /* sent, and the deadline passed */
};

/* An attempt that CO_ACTION_START asked for has ended.  */
struct co_event_attempt_done
{
  uint64_t request_id;
  uint32_t result;      /* enum co_attempt_result */
  bool streamed;        /* the caller has received part of the answer */
  uint32_t http_status; /* when answered */
  char *headers;        /* "NAME: VALUE" lines when answered, or NULL */
  bool has_whole_body;  /* body holds the whole body of the answer */
  struct ba_bytes body;
};

/* The reads that CO_ACTION_POLL asked for are done.  */
struct co_event_poll_done
{
  co_time sent_at; /* when the reads were sent */
  uint32_t result; /* enum co_store_result */
  struct co_row view_row;
  struct co_row *log; /* log rows after the requested version, in order */
  uint32_t log_count;
};

/* The read of CO_ACTION_READ is done.  */
struct co_event_read_done
{
  uint64_t op_id;
  uint32_t result; /* enum co_store_result */
  struct co_row *rows;
  uint32_t row_count;
};

/* The write of CO_ACTION_WRITE is done.  */
struct co_event_write_done
{
  uint64_t op_id;
  uint32_t result; /* enum co_store_result */
};

/* A backend host in the platform's list of live hosts.  */
struct co_live_host
{
  char *name;
  bool leaving;     /* the platform is about to remove it */
  uint64_t boot_id; /* changes with each boot */
};

/* The platform's list of live hosts was read.  */
struct co_event_host_list
{
  co_time requested_at;
  struct co_live_host *hosts;
  uint32_t host_count;
};

/* Another entry host sent a message.  */
struct co_event_peer_message
{
  uint64_t sender; /* incarnation */
  struct co_msg message;
};

/* An operator submitted a configuration change.  */
struct co_event_change
{
  uint64_t change_id; /* chosen by the driver, for the reply */
  char *token; /* identifies the change: a repeat is not applied again */
  struct co_change change;
};

enum co_event_type
{
  CO_EVENT_TICK, /* time has passed */
  CO_EVENT_REQUEST,
  CO_EVENT_CALLER_GONE, /* the caller of a request disconnected */
  CO_EVENT_ATTEMPT_DONE,
  CO_EVENT_POLL_DONE,
  CO_EVENT_READ_DONE,
  CO_EVENT_WRITE_DONE,
  CO_EVENT_HOST_LIST,
  CO_EVENT_PEER_MESSAGE,
  CO_EVENT_CHANGE,
  CO_EVENT_STOP, /* a planned stop of this entry host begins */
  CO_EVENT_TYPE_COUNT
};

struct co_event
{
  uint32_t type; /* enum co_event_type */
  union
  {
    struct co_event_request request;
    uint64_t caller_gone; /* request id */
    struct co_event_attempt_done attempt_done;
    struct co_event_poll_done poll_done;
    struct co_event_read_done read_done;
    struct co_event_write_done write_done;
    struct co_event_host_list host_list;
    struct co_event_peer_message peer_message;
    struct co_event_change change;
  } u;
};

/* Answer a request with a refusal.  */
struct co_action_refuse
{
  uint64_t request_id;
  uint32_t reason;         /* enum co_reason */
  uint32_t retry_after_ms; /* delay before a retry; 0: a retry can't help */
};

/* Send a request to a backend server and report the result with
   CO_EVENT_ATTEMPT_DONE.  */
struct co_action_start
{
  uint64_t request_id;
  char *host;
  char *address;
  co_time deadline;
  bool idempotent;
};

/* Answer a request with the cached answer of an earlier one that had the same
   idempotency key.  */
struct co_action_replay
{
  uint64_t request_id;
  uint32_t http_status;
  char *headers; /* "NAME: VALUE" lines, or NULL */
  struct ba_bytes body;
};

/* Write a row of the table service, atomically with its conditions, and
   report the result with CO_EVENT_WRITE_DONE.  */
struct co_action_write
{
  uint64_t op_id;
  struct co_row row;              /* with the version to store */
  uint64_t expected_version;      /* of the stored row; 0: absent */
  uint64_t required_view_version; /* of the stored view; 0: any */
  uint32_t lifetime_s; /* seconds until the row may be dropped; 0: never */
};

/* Read rows of the table service and report them with
   CO_EVENT_READ_DONE.  */
struct co_action_read
{
  uint64_t op_id;
  char *partition;
  char *after_sort_key; /* read the rows whose sort key is greater; "": all */
};

/* Send a message to another entry host.  It may get lost.  */
struct co_action_send
{
  uint64_t recipient; /* incarnation */
  struct co_msg message;
};

/* Report the result of CO_EVENT_CHANGE to the operator.  */
struct co_action_change_done
{
  uint64_t change_id;
  uint32_t result;  /* enum co_change_result */
  uint64_t version; /* of its log entry, if known; 0: none */
  char *detail;     /* for people, or NULL */
};

/* Have the platform reboot a drained host.  */
struct co_action_reboot
{
  char *host;
  uint64_t boot_id; /* reboot only if this is still the host's boot */
};

/* The evacuation of a zone began or ended on this entry host.  */
struct co_action_zone
{
  char *zone;
  bool evacuated;
  uint64_t log_version; /* of the change, or of the snapshot that held it */
  uint32_t running;     /* requests of this entry host on hosts of the zone */
};

enum co_action_type
{
  CO_ACTION_REFUSE,
  CO_ACTION_START,
  CO_ACTION_REPLAY,
  CO_ACTION_FORGET, /* the request has ended; there is nothing to send */
  CO_ACTION_WRITE,
  CO_ACTION_READ,
  CO_ACTION_POLL, /* read view and log, then report CO_EVENT_POLL_DONE */
  CO_ACTION_SEND,
  CO_ACTION_VIEW_CHANGED, /* the membership changed */
  CO_ACTION_REBOOT,
  CO_ACTION_CHANGE_DONE,
  CO_ACTION_EVICTED, /* the others removed this member from the view */
  CO_ACTION_STOPPED, /* the planned stop is complete */
  CO_ACTION_ZONE_CHANGED,
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
    uint64_t forget_request_id;
    struct co_action_write write;
    struct co_action_read read;
    uint64_t poll_after_log_version; /* log version already applied */
    struct co_action_send send;
    struct co_view view;
    struct co_action_change_done change_done;
    struct co_action_reboot reboot;
    struct co_action_zone zone;
  } u;
};

/* Encode an event or an action to IO, or decode it from IO, like
   co_view_serialize.  */
void co_event_serialize (struct ba_codec *io, struct co_event *event);
void co_action_serialize (struct ba_codec *io, struct co_action *action);

/* Actions of one or more steps, in order.  */
struct co_outbox
{
  TALLOC_CTX *mem; /* owner of what the actions point to, unless borrowed */
  struct co_action *actions;
  uint32_t count;
  uint32_t capacity; /* allocated elements of actions */
};

/* Return a new empty outbox owned by MEM.  */
struct co_outbox *co_outbox_new (TALLOC_CTX *mem);

/* Append a zeroed action of TYPE, an enum co_action_type, to BOX and return
   it.  The result is valid until the next call.  */
struct co_action *co_outbox_append (struct co_outbox *box, uint32_t type);

#endif
