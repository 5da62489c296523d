#ifndef JB_COMMAND_H
#define JB_COMMAND_H

/* The interface between the decisions and the outside world: commands, such as
   a store transaction or a start of a task, and their replies.  A driver
   carries out a command and hands back one reply with the same number, unless
   the command has been withdrawn.  */

#include "jb_catalog.h"
#include "jb_types.h"

enum jb_command_kind
{
  JB_COMMAND_WRITE,         /* commit a transaction on rows of one partition */
  JB_COMMAND_READ,          /* read rows of one partition of a table */
  JB_COMMAND_WATCH_CONFIG,  /* wait for configuration written by operators */
  JB_COMMAND_LIST_BACKENDS, /* list the entries of all backend servers */
  JB_COMMAND_REPORT_WAVE,   /* report a maintenance wave to operators */
  JB_COMMAND_START_TASK,
  JB_COMMAND_STOP_TASK,
  JB_COMMAND_PROBE, /* renew leases and list the runs of a backend server */
  JB_COMMAND_SET_SPEED,
  JB_COMMAND_GET_ADVICE, /* ask which backend servers may run a step */
  /* List hosts and their pools; `read.first_key' is the page, NULL for the
     first.  */
  JB_COMMAND_LIST_HOSTS,
  JB_COMMAND_MOVE_HOST,
  JB_COMMAND_MAINTAIN_HOST,
  JB_COMMAND_KIND_COUNT
};

/* A row of the store.  Version 0 means that the row does not exist.  */
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
  /* Rows whose versions must be current, else nothing is written.  */
  const struct jb_row *expected_rows;
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
  const char *first_key; /* or NULL for the start */
};

struct jb_command_watch_config
{
  /* Version already known; 0: return everything at once.  */
  uint64_t after_version;
  int64_t wait_ms; /* how long to wait for a new version */
};

/* The backend server that a command is sent to.  */
struct jb_backend_target
{
  const char *address;
  /* Another instance that answers at the address refuses the command.  */
  const char *instance;
  uint64_t fence; /* fencing token of the sender */
  bool new_connection;
};

struct jb_command_start_task
{
  const char *task;
  uint32_t run;
  const char *spec;       /* of the job, passed on unchanged */
  int64_t lease_until_ms; /* lease, by the backend server's clock */
  const char *checkpoint; /* to resume from, or NULL */
  const char *ticket;     /* from the policy service, or NULL */
};

struct jb_command_stop_task
{
  const char *task;
  uint32_t run;
};

struct jb_command_probe
{
  uint64_t acked_end; /* ends up to this number may be forgotten */
  /* Lease, by the backend server's clock; 0: not extended.  */
  int64_t lease_until_ms;
  int64_t wait_ms; /* how long to wait for an end; 0: answer at once */
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

/* A move of a host to another pool, or its maintenance.  */
struct jb_command_host
{
  const char *host;
  const char *target_pool; /* of a move */
  uint64_t wave;           /* of maintenance */
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
  struct jb_backend_target backend; /* of commands to backend servers */
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

/* The result of a command.  */
enum jb_reply_result
{
  JB_RESULT_OK,
  JB_RESULT_CONFLICT, /* a precondition did not hold; nothing was done */
  /* Nothing was done: overloaded, unhealthy or unreachable.  */
  JB_RESULT_REFUSED,
  /* Another instance answers at the address, or the requested history has been
     dropped.  */
  JB_RESULT_GONE,
  JB_RESULT_INVALID, /* the other side rejects the command as malformed */
  JB_RESULT_UNKNOWN  /* no answer: done, not done, or yet to be done */
};

/* Why a backend server or host rejected a command (JB_RESULT_CONFLICT).  */
enum jb_refusal
{
  JB_REFUSAL_NONE,
  JB_REFUSAL_FENCED,        /* it has seen a higher fencing token */
  JB_REFUSAL_STALE_RUN,     /* this run or a later one has ended there */
  JB_REFUSAL_LEASE_EXPIRED, /* the requested lease is already over */
  JB_REFUSAL_NO_CAPACITY,   /* not enough free resources */
  JB_REFUSAL_NO_TICKET,     /* the policy service did not allow it */
  JB_REFUSAL_HOST_NOT_UP,
  JB_REFUSAL_WRONG_WAVE, /* the host does not belong to that wave */
  JB_REFUSAL_OTHER
};

/* How a run ended.  */
enum jb_run_outcome
{
  JB_OUTCOME_DONE,
  JB_OUTCOME_FAILED,
  JB_OUTCOME_STOPPED,
  JB_OUTCOME_LEASE_EXPIRED,
  JB_OUTCOME_GANG_BROKEN, /* another member of the gang ended */
  /* Other members of the gang did not start in time.  */
  JB_OUTCOME_GANG_INCOMPLETE
};

/* A run that a backend server reports as active.  */
struct jb_active_run
{
  const char *task;
  uint32_t run;
  const char *checkpoint; /* newest one, or NULL */
  uint32_t ready_percent; /* warm-up progress; 100: ready */
  /* Of a service with a target its tail latency in milliseconds, of any other
     task the CPU that it uses, in thousandths of a core.  */
  int64_t usage;
};

/* The end of a run that a backend server reports.  */
struct jb_ended_run
{
  uint64_t number; /* counts up the ends on this backend server */
  const char *task;
  uint32_t run;
  enum jb_run_outcome outcome;
  const char *checkpoint; /* newest one, or NULL */
};

/* What a backend server publishes about itself.  */
struct jb_backend_entry
{
  const char *instance;
  const char *pool;
  const char *address;
  const char *zone;
  bool draining;
  /* While it drains: minimum time until it stops.  */
  int64_t drain_remaining_ms;
  struct jb_resources capacity;
  const char **labels;
  uint32_t label_count;
  /* Unix time of its start; a different one means that it has restarted.  */
  int64_t started_unix_ms;
  /* Remaining warm-up time, during which it is slow.  */
  int64_t warm_up_ms;
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

/* A maintenance wave as requested by an operator.  */
struct jb_wave_entry
{
  uint64_t wave;
  const char **hosts;
  uint32_t host_count;
  int64_t within_ms; /* time to complete the wave */
  uint32_t max_hosts_at_once;
};

/* Permission of the policy service for a step to run on the backend server
   `instance'.  */
struct jb_ticket
{
  const char *instance;
  const char *ticket;
};

/* A reply to a command.  Only the members that belong to the kind of command
   are set.  All pointers are borrowed for the duration of the call that hands
   over the reply, unless they are stolen from `mem'.  */
struct jb_reply
{
  TALLOC_CTX *mem; /* owner of everything below */
  enum jb_reply_result result;
  uint64_t version; /* of the store, after the command */
  /* Rows that were read, or the current rows of a transaction that failed with
     JB_RESULT_CONFLICT.  */
  struct jb_row *rows;
  uint32_t row_count;
  bool has_more_rows;
  /* Reply to JB_COMMAND_WATCH_CONFIG, _LIST_BACKENDS and _LIST_HOSTS.  */
  struct jb_catalog *catalog; /* or NULL when there is no new one */
  struct jb_wave_entry *waves;
  uint32_t wave_count;
  struct jb_backend_entry *backends;
  uint32_t backend_count;
  struct jb_host_entry *hosts;
  uint32_t host_count;
  const char *next_page; /* of hosts, or NULL on the last page */
  /* Reply of a backend server.  */
  enum jb_refusal refusal;
  int64_t backend_clock_ms;
  int64_t started_unix_ms; /* Unix time; 0: not reported */
  struct jb_active_run *active_runs;
  uint32_t active_run_count;
  struct jb_ended_run *ended_runs;
  uint32_t ended_run_count;
  /* Reply to JB_COMMAND_GET_ADVICE.  */
  struct jb_ticket *tickets;
  uint32_t ticket_count;
  int64_t tickets_valid_ms;
};

#endif
