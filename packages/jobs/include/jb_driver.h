#ifndef JB_DRIVER_H
#define JB_DRIVER_H

/* The interface between the decision logic of a host and its driver, which
   does all input and output: it executes commands, sends messages to peers,
   answers clients and writes log lines.  A handle of the driver also counts
   the metrics, and keeps track of the commands in flight and of whether the
   store answers.  */

#include "jb_command.h"

enum jb_level
{
  JB_LEVEL_ERROR,
  JB_LEVEL_WARN,
  JB_LEVEL_INFO,
  JB_LEVEL_DEBUG
};

/* The final answer to a client's call.  */
enum jb_answer_kind
{
  JB_ANSWER_ACCEPTED,
  JB_ANSWER_JOB_STATE,
  JB_ANSWER_CANCELLED,
  JB_ANSWER_PENDING_COUNT, /* number of jobs that have not started */
  JB_ANSWER_NO_JOB,        /* there is no such job */
  JB_ANSWER_NO_QUEUE,      /* there is no such queue */
  JB_ANSWER_BAD_KEY,       /* the API key belongs to no organisation */
  JB_ANSWER_BAD_REQUEST,   /* the request is invalid and was not carried out */
  JB_ANSWER_REFUSED,       /* overload: the job was not accepted and will
                              never run */
  JB_ANSWER_UNAVAILABLE,   /* temporary failure: the request was not carried
                              out and won't be later */
  JB_ANSWER_UNKNOWN        /* the request may have been carried out, or may
                              still be */
};

enum jb_job_state
{
  JB_JOB_PENDING,
  JB_JOB_RUNNING,
  JB_JOB_COMPLETED,
  JB_JOB_FAILED,
  JB_JOB_CANCELLED
};

struct jb_answer
{
  enum jb_answer_kind kind;
  enum jb_job_state state; /* of a JB_ANSWER_JOB_STATE */
  uint32_t pending;        /* of a JB_ANSWER_PENDING_COUNT */
  int64_t retry_after_ms;  /* 0: not specified */
  const char *reason;      /* readable text, or NULL */
};

/* A field of a log line, or of a line of struct jb_view.  */
struct jb_log_field
{
  const char *name;
  const char *value; /* NULL: the field is left out */
};

/* An entry host to connect to.  */
struct jb_member_address
{
  uint64_t incarnation;
  const char *address;
};

/* The functions that a driver implements.  All arguments are borrowed for the
   duration of the call; CONTEXT is that of jb_driver_new.  */
struct jb_driver_ops
{
  /* Start executing COMMAND.  Its reply is passed to jb_driver_receive_reply
     with the same NUMBER.  */
  void (*submit) (void *context, uint64_t number,
                  const struct jb_command *command);
  /* Send MESSAGE to the member with incarnation MEMBER.  It may be lost.  */
  void (*send) (void *context, uint64_t member, struct ba_bytes message);
  /* Keep connections to the COUNT MEMBERS and to no others.  */
  void (*set_members) (void *context, const struct jb_member_address *members,
                       uint32_t count);
  /* Answer the client's call with the number CALL.  */
  void (*answer) (void *context, uint64_t call,
                  const struct jb_answer *answer);
  /* Write a log line with the COUNT FIELDS.  */
  void (*log) (void *context, enum jb_level level, const char *event,
               const struct jb_log_field *fields, uint32_t count);
};

enum jb_counter
{
  /* Submitted jobs, by outcome.  */
  JB_COUNT_ACCEPTED,
  JB_COUNT_SUBMITTED_AGAIN, /* the ID is that of a job accepted before */
  JB_COUNT_REFUSED,
  JB_COUNT_UNAVAILABLE,
  JB_COUNT_UNKNOWN,
  JB_COUNT_BAD_KEY,
  JB_COUNT_NO_QUEUE,
  JB_COUNT_BAD_REQUEST,
  /* Requests that were forwarded again, since no reply came in time or the
     pool's owner changed.  */
  JB_COUNT_CALLS_REPEATED,
  /* Jobs that ended.  */
  JB_COUNT_COMPLETED,
  JB_COUNT_FAILED,
  JB_COUNT_CANCELLED,
  /* Starts of tasks, by outcome: JB_COUNT_STARTS for success, the others as
     enum jb_refusal and enum jb_reply_result.  */
  JB_COUNT_STARTS,
  JB_COUNT_START_NO_CAPACITY,
  JB_COUNT_START_STALE_RUN,
  JB_COUNT_START_LEASE_EXPIRED,
  JB_COUNT_START_FENCED,
  JB_COUNT_START_NO_TICKET,
  JB_COUNT_START_UNHEALTHY,
  JB_COUNT_START_NOT_SENT,
  JB_COUNT_START_UNKNOWN,
  JB_COUNT_STARTS_REPEATED, /* sent again after no answer */
  /* Runs of tasks that ended, as enum jb_run_outcome.  */
  JB_COUNT_END_DONE,
  JB_COUNT_END_FAILED,
  JB_COUNT_END_STOPPED,
  JB_COUNT_END_LEASE_EXPIRED,
  JB_COUNT_END_GANG_BROKEN,
  JB_COUNT_END_GANG_INCOMPLETE,
  JB_COUNT_END_VANISHED, /* the backend server no longer knows the run */
  /* Status probes of backend servers.  */
  JB_COUNT_PROBES_ANSWERED,
  JB_COUNT_PROBES_UNANSWERED,
  JB_COUNT_PROBES_NOT_SENT,
  /* Backend servers that are known to have crashed while they had runs.  */
  JB_COUNT_BACKENDS_CRASHED,
  /* Runs that this owner had given up and a backend server listed later, in
     its next incarnation or in the same; and those that it forgot too early to
     notice that.  */
  JB_COUNT_LATE_RUNS_RESTARTED,
  JB_COUNT_LATE_RUNS_SAME,
  JB_COUNT_GIVEN_UP_RUNS_DROPPED,
  /* Calls to the store.  */
  JB_COUNT_STORE_WRITES,         /* writes that were sent, answered or not */
  JB_COUNT_STORE_WRITES_UNKNOWN, /* writes that were not answered */
  JB_COUNT_STORE_READS,
  /* The configuration: reads that were refused or not answered in time, and
     copies that were sent to other hosts.  */
  JB_COUNT_CATALOG_READS_FAILED,
  JB_COUNT_CATALOGS_SENT,
  /* Messages with starts in doubt that could not be stored.  */
  JB_COUNT_DOUBT_MESSAGES_SENT,
  /* Changes of the partitions that this host owns.  */
  JB_COUNT_OWNERSHIP_CLAIMED,
  JB_COUNT_OWNERSHIP_LOST, /* to another host */
  JB_COUNT_OWNERSHIP_RELEASED,
  /* Commands to hosts of the fleet that were executed.  */
  JB_COUNT_HOST_MOVES,
  JB_COUNT_HOST_MAINTENANCE,
  /* Orders of operators on zones that this host has learned.  */
  JB_COUNT_ZONES_EVACUATED,
  JB_COUNT_ZONES_RESTORED,
  /* Rows with the names of hosts that the planner may command: their writes,
     and the names that new planners have read from predecessors' rows.  */
  JB_COUNT_COMMANDED_WRITES,
  JB_COUNT_COMMANDED_INHERITED,
  /* New planners that waited for quota shares of a predecessor: for messages
     only, since it was known to have ended, or as long as it may be valid.  */
  JB_COUNT_QUOTA_WAITS_SHORT,
  JB_COUNT_QUOTA_WAITS_FULL,
  /* Tasks that a new owner started while a former owner's run may be
     active.  */
  JB_COUNT_COPIES_STARTED,
  /* Loaded jobs that a new owner released after the scan, and during it.  */
  JB_COUNT_LOADED_JOBS_RELEASED,
  JB_COUNT_LOADED_JOBS_RELEASED_EARLY,
  /* Placement with lookahead: reservations, tasks that were placed on backend
     servers with reservations that go before them, and room held idle.  */
  JB_COUNT_RESERVATIONS_MADE,
  JB_COUNT_RESERVATIONS_KEPT,
  JB_COUNT_RESERVATIONS_BROKEN,
  JB_COUNT_RESERVATIONS_WITHDRAWN, /* the tasks no longer wait */
  JB_COUNT_PLACED_IN_GAPS,
  JB_COUNT_RESERVED_IDLE_CORE_MS,
  /* Jobs that were deferred because of their organisations' shares.  */
  JB_COUNT_JOBS_DEFERRED,
  /* Entries of lists and answers that can't be used, counted each time that
     they are read.  */
  JB_COUNT_ENTRIES_SKIPPED,
  JB_COUNTER_COUNT
};

/* Latencies of which a histogram is kept.  */
enum jb_histogram
{
  JB_HIST_JOB_STORED,  /* from a job's submission until it is stored */
  JB_HIST_JOB_STARTED, /* from a job's submission to its first start */
  JB_HIST_JOB_DONE,    /* from a job's submission until it is done */
  JB_HIST_STORE_WRITE, /* of a transaction */
  JB_HIST_TASK_START,  /* of a task's start */
  JB_HIST_TAKEOVER,    /* from the claim of a pool to the first start there */
  /* From the claim of the planner's partition to its first command.  */
  JB_HIST_PLANNER_TAKEOVER,
  JB_HIST_COUNT
};

enum
{
  /* The upper bounds of the buckets are 1, 2, 4 ... 4096 ms; the last bucket
     has none.  */
  JB_HIST_BUCKET_COUNT = 14
};

/* The values of all metrics since the start.  The buckets are not
   cumulative.  */
struct jb_metrics
{
  uint64_t counters[JB_COUNTER_COUNT];
  uint64_t buckets[JB_HIST_COUNT][JB_HIST_BUCKET_COUNT];
  uint64_t sums_us[JB_HIST_COUNT];
};

/* A handle of a driver.  */
struct jb_driver;

/* Called once with the reply to a command.  REPLY is borrowed.  SENT_AT is
   when the command was submitted.  */
typedef void jb_reply_callback (void *data, jb_time now, jb_time sent_at,
                                const struct jb_reply *reply);

/* Return a new handle owned by MEM.  OPS is borrowed; its functions are called
   with CONTEXT.  */
struct jb_driver *jb_driver_new (TALLOC_CTX *mem,
                                 const struct jb_driver_ops *ops,
                                 void *context);

/* Submit COMMAND, which is borrowed during this call.  CALLBACK is called with
   DATA and the reply, unless OWNER, a talloc chunk, is freed before.  */
void jb_driver_submit (struct jb_driver *driver, TALLOC_CTX *owner,
                       jb_time now, const struct jb_command *command,
                       jb_reply_callback *callback, void *data);

/* Pass REPLY, which is borrowed, to the callback of the command with NUMBER.
   Ignore it if the command's owner was freed.  */
void jb_driver_receive_reply (struct jb_driver *driver, jb_time now,
                              uint64_t number, const struct jb_reply *reply);

/* Record that a call to the store has not been answered in the expected time,
   although its answer is still awaited.  */
void jb_driver_report_store_silence (struct jb_driver *driver, jb_time now);

/* Return when the store calls began to fail: the time of the first failure
   since the store last answered, or 0 if the last call was answered.  */
jb_time jb_driver_store_failing_since (const struct jb_driver *driver);

/* Return when the store last answered again after calls had failed, or 0 if it
   never did.  */
jb_time jb_driver_store_recovered_at (const struct jb_driver *driver);

/* Return when the store last answered, or 0 if it never did.  */
jb_time jb_driver_store_answered_at (const struct jb_driver *driver);

/* Call the function `send', `set_members' or `answer' of the driver's
   struct jb_driver_ops.  */
void jb_driver_send (struct jb_driver *driver, uint64_t member,
                     struct ba_bytes message);
void jb_driver_set_members (struct jb_driver *driver,
                            const struct jb_member_address *members,
                            uint32_t count);
void jb_driver_answer_call (struct jb_driver *driver, uint64_t call,
                            const struct jb_answer *answer);

/* Log EVENT with fields given as pairs of a name and a value, both strings,
   ended by NULL.  A field whose value is NULL is left out; use "" for an empty
   value.  Fields after the 24th are dropped.  */
void jb_log (struct jb_driver *driver, enum jb_level level, const char *event,
             ...) G_GNUC_NULL_TERMINATED;

/* Return NUMBER as decimal text, in a buffer of the calling thread that is
   overwritten by the thread's eighth call after this one.  */
const char *jb_itoa (int64_t number);

/* Increment COUNTER, or add NUMBER to it.  */
void jb_count_event (struct jb_driver *driver, enum jb_counter counter);
void jb_count_events (struct jb_driver *driver, enum jb_counter counter,
                      uint64_t number);

/* Add DURATION to HISTOGRAM; a negative one counts as 0.  */
void jb_observe_latency (struct jb_driver *driver, enum jb_histogram histogram,
                         jb_time duration);

/* Return the metrics, borrowed from DRIVER.  */
const struct jb_metrics *jb_driver_metrics (const struct jb_driver *driver);

/* Return the name of STATE, a static string.  */
const char *jb_job_state_name (enum jb_job_state state);

/* Return METRICS in the Prometheus text format, owned by MEM.  */
char *jb_metrics_format (TALLOC_CTX *mem, const struct jb_metrics *metrics);

#endif
