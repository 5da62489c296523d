#ifndef JB_DRIVER_H
#define JB_DRIVER_H

/* The way from the decisions to the outside, and back.  */

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
  JB_ANSWER_PENDING_COUNT, /* number of jobs that have not begun */
  JB_ANSWER_NO_JOB,        /* there is no such job */
  JB_ANSWER_NO_QUEUE,      /* there is no such queue */
  JB_ANSWER_BAD_KEY,       /* the key belongs to no organisation */
  JB_ANSWER_BAD_REQUEST,   /* not accepted: it makes no sense */
  JB_ANSWER_REFUSED,       /* not accepted, and it never runs: too much work */
  JB_ANSWER_UNAVAILABLE,   /* not accepted, and it never runs: for now */
  JB_ANSWER_UNKNOWN        /* it may have been accepted, or not */
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
  enum jb_job_state state;
  uint32_t pending;
  int64_t retry_after_ms; /* 0: not said */
  const char *reason;     /* for people, or NULL */
};

struct jb_log_field
{
  const char *name;
  const char *value; /* NULL: the field is left out */
};

struct jb_member_address
{
  uint64_t incarnation;
  const char *address;
};

/* What a driver does.  Everything is borrowed for the duration of a call.  */
struct jb_driver_ops
{
  void (*submit) (void *context, uint64_t number,
                  const struct jb_command *order);
  void (*send) (void *context, uint64_t member, struct ba_bytes message);
  void (*members) (void *context, const struct jb_member_address *members,
                   uint32_t count);
  void (*answer) (void *context, uint64_t call,
                  const struct jb_answer *answer);
  void (*log) (void *context, enum jb_level level, const char *event,
               const struct jb_log_field *fields, uint32_t count);
};

enum jb_counter
{
  JB_COUNT_ACCEPTED,
  JB_COUNT_SUBMITTED_AGAIN, /* handed in again */
  JB_COUNT_REFUSED,
  JB_COUNT_UNAVAILABLE,
  JB_COUNT_UNKNOWN,
  JB_COUNT_BAD_KEY,
  JB_COUNT_NO_QUEUE,
  JB_COUNT_BAD_REQUEST,
  JB_COUNT_COMPLETED,
  JB_COUNT_FAILED,
  JB_COUNT_CANCELLED,
  JB_COUNT_STARTS,
  JB_COUNT_START_NO_CAPACITY,
  JB_COUNT_START_STALE_RUN,
  JB_COUNT_START_LEASE_EXPIRED,
  JB_COUNT_START_FENCED,
  JB_COUNT_START_NO_TICKET,
  JB_COUNT_START_UNHEALTHY,
  JB_COUNT_START_UNKNOWN,
  JB_COUNT_END_DONE,
  JB_COUNT_END_FAILED,
  JB_COUNT_END_STOPPED,
  JB_COUNT_END_LEASE_EXPIRED,
  JB_COUNT_END_GANG_BROKEN,
  JB_COUNT_END_GANG_INCOMPLETE,
  JB_COUNT_END_VANISHED, /* runs that a backend server knows nothing of */
  JB_COUNT_PROBES_ANSWERED,
  JB_COUNT_PROBES_UNANSWERED, /* without an answer */
  JB_COUNT_STORE_WRITES,
  JB_COUNT_STORE_WRITES_UNKNOWN,
  JB_COUNT_STORE_READS,
  JB_COUNT_OWNERSHIP_CLAIMED,
  JB_COUNT_OWNERSHIP_LOST,
  JB_COUNT_OWNERSHIP_RELEASED,
  JB_COUNT_HOST_MOVES,
  JB_COUNT_HOST_MAINTENANCE,
  JB_COUNTER_COUNT
};

/* Latencies that are measured, in milliseconds.  */
enum jb_histogram
{
  JB_HIST_JOB_STORED,  /* handing in to stored */
  JB_HIST_JOB_STARTED, /* handing in to the first start */
  JB_HIST_JOB_DONE,    /* handing in to done */
  JB_HIST_STORE_WRITE, /* a transaction */
  JB_HIST_TASK_START,  /* a start of a task */
  JB_HIST_TAKEOVER,    /* from the claim to the first start */
  JB_HIST_COUNT
};

enum
{
  JB_HIST_BUCKET_COUNT = 14 /* upper bounds of 1, 2, 4 ... ms; the last: any */
};

struct jb_metrics
{
  uint64_t counters[JB_COUNTER_COUNT];
  uint64_t buckets[JB_HIST_COUNT][JB_HIST_BUCKET_COUNT];
  uint64_t sums_us[JB_HIST_COUNT];
};

struct jb_driver;

/* Called once with the reply to an order.  REPLY is borrowed.  SENT is the
   time when the order was submitted.  */
typedef void jb_reply_callback (void *data, jb_time now, jb_time sent,
                                const struct jb_reply *reply);

struct jb_driver *jb_driver_new (TALLOC_CTX *mem,
                                 const struct jb_driver_ops *effects,
                                 void *context);

/* Submit ORDER, borrowed.  DONE is called with the reply unless OWNER, a
   talloc chunk, is freed before.  */
void jb_driver_submit (struct jb_driver *out, TALLOC_CTX *owner, jb_time now,
                       const struct jb_command *order, jb_reply_callback *done,
                       void *data);

/* Hand over the reply to the order NUMBER.  */
void jb_driver_receive_reply (struct jb_driver *out, jb_time now,
                              uint64_t number, const struct jb_reply *reply);

/* Return since when no call to the store has succeeded although some were
   made, or 0 when the last one did.  */
jb_time jb_driver_store_failing_since (const struct jb_driver *out);

/* Return when the store first answered after it had last failed, or 0.  */
jb_time jb_driver_store_recovered_at (const struct jb_driver *out);

/* Return when the store last answered, or 0.  */
jb_time jb_driver_store_answered_at (const struct jb_driver *out);

void jb_driver_send (struct jb_driver *out, uint64_t member,
                     struct ba_bytes message);
void jb_driver_set_members (struct jb_driver *out,
                            const struct jb_member_address *members,
                            uint32_t count);
void jb_driver_answer_call (struct jb_driver *out, uint64_t call,
                            const struct jb_answer *answer);

/* Log EVENT with pairs of names and values, ended by NULL.  A pair whose value
   is NULL is left out; "" stands for an empty one.  */
void jb_log (struct jb_driver *out, enum jb_level level, const char *event,
             ...) G_GNUC_NULL_TERMINATED;

/* Return NUMBER as text that is good until the next eight calls.  */
const char *jb_itoa (int64_t number);

void jb_count_event (struct jb_driver *out, enum jb_counter counter);
void jb_observe_latency (struct jb_driver *out, enum jb_histogram histogram,
                         jb_time duration);
const struct jb_metrics *jb_driver_metrics (const struct jb_driver *out);

/* Return the name of a state of a job, static.  */
const char *jb_job_state_name (enum jb_job_state state);

/* Return metrics in the text exposition format, owned by MEM.  */
char *jb_metrics_format (TALLOC_CTX *mem, const struct jb_metrics *metrics);

#endif
