#ifndef JB_COMMAND_H
#define JB_COMMAND_H

/* Commands by which a host acts on the outside world, such as a transaction on
   the store or the start of a task, and the replies to them.  The driver (see
   jb_driver.h) executes each command and delivers one reply with the command's
   number.  */

#include "jb_catalog.h"
#include "jb_types.h"
#include "jb_zones.h"

enum jb_command_kind
{
  /* Commands to the store.  The kinds up to JB_COMMAND_REPORT_WAVE are those
     whose replies show whether the store answers.  */
  JB_COMMAND_WRITE,         /* commit a transaction on rows of one partition */
  JB_COMMAND_READ,          /* read rows of one partition of a table */
  JB_COMMAND_WATCH_CONFIG,  /* wait for configuration written by operators */
  JB_COMMAND_LIST_BACKENDS, /* list the entries of all backend servers */
  JB_COMMAND_REPORT_WAVE,   /* report a maintenance wave to operators */
  /* Commands to a backend server.  */
  JB_COMMAND_START_TASK,
  JB_COMMAND_STOP_TASK,
  JB_COMMAND_PROBE, /* renew leases and list the runs of a backend server */
  JB_COMMAND_SET_SPEED,
  /* Ask the policy service which backend servers may run a step.  */
  JB_COMMAND_GET_ADVICE,
  /* List the hosts of the fleet and their pools.  `u.read.first_key' is the
     token of the page to list, NULL for the first page.  */
  JB_COMMAND_LIST_HOSTS,
  /* Commands to a host of the fleet.  */
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
  /* Rows that must still have the given versions, or nothing is written.  */
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
  const char *first_key; /* where to start; NULL: at the first row */
};

struct jb_command_watch_config
{
  /* Newest version that is known; only later changes are returned.  0: return
     everything, without waiting.  */
  uint64_t after_version;
  int64_t wait_ms; /* maximum time to wait for a change */
  /* Where the page starts when everything is returned; NULL: the first
     one.  */
  const char *first_key;
};

/* The backend server that a command is sent to.  */
struct jb_backend_target
{
  const char *address;
  /* Instance that the command is meant for; another instance that answers at
     the address refuses it.  */
  const char *instance;
  uint64_t fence;      /* fencing token of the sender */
  bool new_connection; /* don't reuse an idle connection */
};

struct jb_command_start_task
{
  const char *task;
  uint32_t run;
  const char *spec;       /* job specification, passed on unchanged */
  int64_t lease_until_ms; /* end of the lease, on the backend server's clock */
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
  /* Number of the last acknowledged end of a run; the backend server may
     forget the ends up to it.  */
  uint64_t acked_end;
  /* New end of the leases, on the backend server's clock; 0: not extended.  */
  int64_t lease_until_ms;
  /* Maximum time to wait for the end of a run; 0: answer at once.  */
  int64_t wait_ms;
};

struct jb_command_set_speed
{
  const char *task;
  uint32_t run;
  uint32_t speed_percent; /* 100: full speed */
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
  const char *target_pool; /* for a move */
  uint64_t wave;           /* for maintenance: number of the wave */
  const char *owner;       /* name of the planner's host */
  uint64_t fence;          /* fencing token of the planner */
};

struct jb_command_report_wave
{
  uint64_t wave;  /* number */
  bool completed; /* false: started */
};

struct jb_command
{
  enum jb_command_kind kind;
  /* Time for the complete reply; for a read (jb_command_is_read), time until
     the first part of the reply.  */
  int64_t timeout_ms;
  struct jb_backend_target backend; /* for commands to backend servers */
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

enum
{
  /* The reply to a read is given up when no further part has arrived for this
     long.  The time that the whole of it takes depends on its size and on the
     host's link.  */
  JB_READ_IDLE_TIMEOUT_MS = 800
};

/* Return whether a command of KIND only reads, so that its reply may be
   large.  */
static inline bool
jb_command_is_read (enum jb_command_kind kind)
{
  return kind == JB_COMMAND_READ || kind == JB_COMMAND_WATCH_CONFIG
         || kind == JB_COMMAND_LIST_BACKENDS || kind == JB_COMMAND_LIST_HOSTS;
}

/* The result of a command.  */
enum jb_reply_result
{
  JB_RESULT_OK,
  JB_RESULT_CONFLICT, /* a precondition did not hold; nothing was done */
  /* Nothing was done: overloaded, unhealthy or unreachable.  */
  JB_RESULT_REFUSED,
  /* This host was too busy to send the command in time.  That says nothing
     about the other side.  */
  JB_RESULT_NOT_SENT,
  /* Another instance answers at the address, or the store no longer has the
     changes that were asked for.  */
  JB_RESULT_GONE,
  JB_RESULT_INVALID, /* the other side rejects the command as malformed */
  /* No answer: the command may have been executed, and may still be.  */
  JB_RESULT_UNKNOWN
};

/* Why a backend server or a host of the fleet answered JB_RESULT_CONFLICT.  */
enum jb_refusal
{
  JB_REFUSAL_NONE,
  JB_REFUSAL_FENCED,        /* it has seen a higher fencing token */
  JB_REFUSAL_STALE_RUN,     /* this run or a later one has ended there */
  JB_REFUSAL_LEASE_EXPIRED, /* the requested lease is already over */
  JB_REFUSAL_NO_CAPACITY,   /* not enough free resources */
  JB_REFUSAL_NO_TICKET,     /* no valid ticket of the policy service */
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
  JB_OUTCOME_GANG_BROKEN,    /* another member of the gang ended */
  JB_OUTCOME_GANG_INCOMPLETE /* the other members did not start in time */
};

/* A run that a backend server reports as active.  */
struct jb_active_run
{
  const char *task;
  uint32_t run;
  const char *checkpoint; /* newest one, or NULL */
  uint32_t ready_percent; /* warm-up progress; 100: ready */
  /* For a service with a latency target: its tail latency in milliseconds.
     For any other task: the CPU that it uses, in thousandths of a core.  */
  int64_t usage;
};

/* The end of a run that a backend server reports.  */
struct jb_ended_run
{
  uint64_t number; /* consecutive number on this backend server */
  const char *task;
  uint32_t run;
  enum jb_run_outcome outcome;
  const char *checkpoint; /* newest one, or NULL */
};

enum
{
  JB_MAX_LABELS_PER_BACKEND = 100
};

/* What a backend server publishes about itself.  Its numbers are within the
   bounds of jb_types.h.  */
struct jb_backend_entry
{
  const char *instance;
  const char *pool;
  const char *address;
  const char *zone;
  bool draining;
  /* While it is draining: minimum time until it stops.  */
  int64_t drain_remaining_ms;
  struct jb_resources capacity;
  const char **labels;
  uint32_t label_count;
  /* Unix time of its start; it has restarted when this changes.  */
  int64_t started_unix_ms;
  /* Remaining time of its warm-up, during which it is slow.  */
  int64_t warm_up_ms;
};

enum jb_host_state
{
  JB_HOST_UP,
  JB_HOST_MOVING,
  JB_HOST_MAINTENANCE,
  JB_HOST_DOWN
};

/* A host of the fleet, as listed by JB_COMMAND_LIST_HOSTS.  */
struct jb_host_entry
{
  const char *host;
  const char *pool;
  const char *instance; /* of its backend server, or NULL */
  enum jb_host_state state;
  const char *rack; /* or NULL */
  const char *zone; /* or NULL */
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

/* Permission of the policy service for a step to run on a backend server.  */
struct jb_ticket
{
  const char *instance; /* of the backend server */
  const char *ticket;   /* opaque token to send with the start */
};

/* A reply to a command.  Only the members that belong to the kind of command
   are set.  A callback that receives the reply borrows all pointers for the
   duration of the call, unless it moves them away from `mem' with
   talloc_steal.  */
struct jb_reply
{
  TALLOC_CTX *mem; /* owner of everything below */
  enum jb_reply_result result;
  /* Of a command without an answer: milliseconds from the command to the
     sending of its request, or -1 if it was not sent, and from then until no
     answer was expected any more.  */
  int64_t sent_after_ms;
  int64_t awaited_ms;
  /* Reply to a command to the store.  */
  uint64_t version; /* of the store, after the command */
  /* Rows that were read, or, after JB_RESULT_CONFLICT, the current state of
     the rows whose versions were expected.  */
  struct jb_row *rows;
  uint32_t row_count;
  /* Where the next page of rows, backend servers or hosts starts, for
     jb_command_read.first_key; NULL: this is the last page.  */
  const char *next_page;
  /* Reply to JB_COMMAND_WATCH_CONFIG, _LIST_BACKENDS and _LIST_HOSTS.  */
  struct jb_catalog *catalog; /* or NULL when there is no new one */
  struct jb_wave_entry *waves;
  uint32_t wave_count;
  struct jb_zone_entry *zones; /* orders, and removals of orders */
  uint32_t zone_count;
  uint64_t last_row_version; /* highest version of a row that was returned */
  struct jb_backend_entry *backends;
  uint32_t backend_count;
  struct jb_host_entry *hosts;
  uint32_t host_count;
  /* The command was sent more than once, and this is the reply to the last
     sending.  The others may have been carried out, or may still be.  */
  bool resent;
  /* Reply of a backend server.  */
  enum jb_refusal refusal;
  int64_t backend_clock_ms; /* backend server's clock; leases refer to it */
  int64_t started_unix_ms;  /* Unix time; 0: not reported */
  struct jb_active_run *active_runs;
  uint32_t active_run_count;
  struct jb_ended_run *ended_runs;
  uint32_t ended_run_count;
  bool more_ended_runs; /* there may be more, after those that are listed */
  /* Reply to JB_COMMAND_GET_ADVICE.  */
  struct jb_ticket *tickets;
  uint32_t ticket_count;
  int64_t tickets_valid_ms;
  /* Entries that were left out because they can't be used: their number, and
     the key of the first, NULL if it is not known.  */
  uint32_t skipped_count;
  const char *skipped_key;
};

#endif
