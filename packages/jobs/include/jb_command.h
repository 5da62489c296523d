#ifndef JB_COMMAND_H
#define JB_COMMAND_H

/* What the decisions ask of the outside (orders) and what they are told of it
   (replies).  A driver carries out an order and hands back one reply with the
   same number, unless the order has been withdrawn.  */

#include "jb_catalog.h"
#include "jb_types.h"

enum jb_command_kind
{
  JB_COMMAND_WRITE,         /* a transaction on rows of one part */
  JB_COMMAND_READ,          /* rows of one part of a table */
  JB_COMMAND_WATCH_CONFIG,  /* what operators have written */
  JB_COMMAND_LIST_BACKENDS, /* what backend servers say of themselves */
  JB_COMMAND_REPORT_WAVE,   /* tell operators of a maintenance wave */
  JB_COMMAND_START_TASK,    /* of a task on a backend server */
  JB_COMMAND_STOP_TASK,
  JB_COMMAND_PROBE, /* extend the lease of a backend server and look at it */
  JB_COMMAND_SET_SPEED,
  JB_COMMAND_GET_ADVICE, /* which backend servers may run a step */
  JB_COMMAND_LIST_HOSTS, /* hosts and their pools */
  JB_COMMAND_MOVE_HOST,
  JB_COMMAND_MAINTAIN_HOST,
  JB_COMMAND_KIND_COUNT
};

/* A row of the store.  Version 0 means that it does not exist.  */
struct jb_row
{
  const char *table;
  const char *partition;
  const char *key;
  uint64_t version;
  struct ba_bytes value;
};

struct jb_command_write
{
  const struct jb_row *expected_rows; /* by their versions */
  uint32_t expected_count;
  const struct jb_row *set_rows;
  uint32_t set_count;
  const struct jb_row *removed_rows;
  uint32_t removed_count;
};

struct jb_command_read
{
  const char *table;
  const char *partition;
  const char *first_key; /* first key, or NULL */
};

struct jb_command_watch_config
{
  uint64_t after_version; /* version; 0: all that there is, at once */
  int64_t wait_ms;
};

/* Where an order to a backend server goes.  */
struct jb_backend_target
{
  const char *address;
  const char *instance; /* other lives at the address refuse it */
  uint64_t fence;
  bool new_connection; /* over a new connection */
};

struct jb_command_start_task
{
  const char *task;
  uint32_t run;
  const char *spec;
  int64_t lease_until_ms; /* lease, by the backend server's clock */
  const char *checkpoint; /* or NULL */
  const char *ticket;     /* or NULL */
};

struct jb_command_stop_task
{
  const char *task;
  uint32_t run;
};

struct jb_command_probe
{
  uint64_t acked_end;     /* ends up to this number may be forgotten */
  int64_t lease_until_ms; /* lease; 0: not extended */
  int64_t wait_ms;        /* for an end; 0: answer at once */
};

struct jb_command_set_speed
{
  const char *task;
  uint32_t run;
  uint32_t speed_percent;
};

struct jb_command_get_advice
{
  const char *step; /* ID.OCCURRENCE.STEP */
  const char *const *backends;
  uint32_t backend_count;
};

struct jb_command_host
{
  const char *host;
  const char *target_pool; /* to move to */
  uint64_t wave;           /* whose maintenance it is */
  const char *owner;
  uint64_t fence;
};

struct jb_command_report_wave
{
  uint64_t wave;
  bool completed;
};

struct jb_command
{
  enum jb_command_kind kind;
  int64_t timeout_ms;
  struct jb_backend_target backend; /* of orders to backend servers */
  union
  {
    struct jb_command_write write;
    struct jb_command_read read;
    struct jb_command_watch_config watch_config;
    struct jb_command_start_task start_task;
    struct jb_command_stop_task stop_task;
    struct jb_command_probe probe;
    struct jb_command_set_speed set_speed;
    struct jb_command_get_advice get_advice;
    struct jb_command_host host;
    struct jb_command_report_wave report_wave;
  } u;
};

enum jb_reply_result
{
  JB_RESULT_OK,
  JB_RESULT_CONFLICT, /* a condition did not hold; nothing was done */
  JB_RESULT_REFUSED,  /* nothing was done: too busy, ill, or never reached */
  JB_RESULT_GONE,    /* another life at the address, or history that is gone */
  JB_RESULT_INVALID, /* the order makes no sense to the other side */
  JB_RESULT_UNKNOWN  /* no answer: done, not done, or done later */
};

/* Why a backend server did not start a task (JB_RESULT_CONFLICT).  */
enum jb_refusal
{
  JB_REFUSAL_NONE,
  JB_REFUSAL_FENCED,        /* it has seen a higher fence */
  JB_REFUSAL_STALE_RUN,     /* this run or a higher one has ended there */
  JB_REFUSAL_LEASE_EXPIRED, /* the lease is over */
  JB_REFUSAL_NO_CAPACITY,   /* it does not fit */
  JB_REFUSAL_NO_TICKET,     /* the policy does not allow it */
  JB_REFUSAL_HOST_NOT_UP,   /* of a host: it is not up */
  JB_REFUSAL_WRONG_WAVE,    /* of a host: it is not of that wave */
  JB_REFUSAL_OTHER
};

enum jb_run_outcome
{
  JB_OUTCOME_DONE,
  JB_OUTCOME_FAILED,
  JB_OUTCOME_STOPPED,
  JB_OUTCOME_LEASE_EXPIRED,
  JB_OUTCOME_GANG_BROKEN,    /* another member of the gang ended */
  JB_OUTCOME_GANG_INCOMPLETE /* the other members did not come */
};

/* A task that runs on a backend server.  */
struct jb_active_run
{
  const char *task;
  uint32_t run;
  const char *checkpoint; /* or NULL */
  uint32_t ready_percent; /* at work: 100 */
  int64_t usage; /* of a lasting task with a target its tail in ms, of another
                    the thousandths of cores that it uses */
};

struct jb_ended_run
{
  uint64_t number;
  const char *task;
  uint32_t run;
  enum jb_run_outcome outcome;
  const char *checkpoint; /* or NULL */
};

/* What a backend server says of itself.  */
struct jb_backend_entry
{
  const char *instance;
  const char *pool;
  const char *address;
  const char *zone;
  bool draining;
  int64_t drain_remaining_ms; /* while it drains, at least so long */
  struct jb_resources capacity;
  const char **labels;
  uint32_t label_count;
  int64_t started_unix_ms; /* Unix time; another one is another life */
  int64_t warm_up_ms;      /* it is slow for so long */
};

enum jb_host_state
{
  JB_HOST_UP,
  JB_HOST_MOVING,
  JB_HOST_MAINTENANCE,
  JB_HOST_DOWN
};

struct jb_host_entry
{
  const char *host;
  const char *pool;
  const char *instance; /* of its backend server, or NULL */
  enum jb_host_state state;
  const char *rack; /* or NULL */
};

/* A maintenance wave as the operator asked for it.  */
struct jb_wave_entry
{
  uint64_t wave;
  const char **hosts;
  uint32_t host_count;
  int64_t within_ms;
  uint32_t max_hosts_at_once;
};

struct jb_ticket
{
  const char *instance;
  const char *ticket;
};

/* All pointers are borrowed for the duration of the call that hands the reply
   over, unless they are stolen from `mem'.  */
struct jb_reply
{
  TALLOC_CTX *mem; /* owner of what is below */
  enum jb_reply_result result;
  uint64_t version; /* of the store */
  /* rows, of a read or of a transaction whose conditions did not hold */
  struct jb_row *rows;
  uint32_t row_count;
  bool has_more_rows;
  /* operators' writings */
  struct jb_catalog *catalog; /* or NULL: none that is new */
  struct jb_wave_entry *waves;
  uint32_t wave_count;
  struct jb_backend_entry *backends;
  uint32_t backend_count;
  struct jb_host_entry *hosts;
  uint32_t host_count;
  const char *next_page; /* of hosts, or NULL */
  /* of a backend server */
  enum jb_refusal refusal;
  int64_t backend_clock_ms;
  int64_t started_unix_ms; /* 0: not said */
  struct jb_active_run *active_runs;
  uint32_t active_run_count;
  struct jb_ended_run *ended_runs;
  uint32_t ended_run_count;
  /* of advice */
  struct jb_ticket *tickets;
  uint32_t ticket_count;
  int64_t tickets_valid_ms;
};

#endif
