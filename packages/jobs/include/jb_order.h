#ifndef JB_ORDER_H
#define JB_ORDER_H

/* What the decisions ask of the outside (orders) and what they are told of it
   (replies).  A driver carries out an order and hands back one reply with the
   same number, unless the order has been withdrawn.  */

#include "jb_catalog.h"
#include "jb_types.h"

enum jb_order_kind
{
  JB_ORDER_WRITE,         /* a transaction on rows of one part */
  JB_ORDER_READ,          /* rows of one part of a table */
  JB_ORDER_WATCH,         /* what operators have written */
  JB_ORDER_LIST_BACKENDS, /* what backend servers say of themselves */
  JB_ORDER_REPORT_WAVE,   /* tell operators of a maintenance wave */
  JB_ORDER_START,         /* of a task on a backend server */
  JB_ORDER_STOP,
  JB_ORDER_HOLD, /* extend the lease of a backend server and look at it */
  JB_ORDER_PACE,
  JB_ORDER_ADVISE,     /* which backend servers may run a step */
  JB_ORDER_LIST_HOSTS, /* hosts and their pools */
  JB_ORDER_MOVE_HOST,
  JB_ORDER_MAINTAIN_HOST,
  JB_ORDER_KINDS
};

/* A row of the store.  Version 0 means that it does not exist.  */
struct jb_row
{
  const char *table;
  const char *part;
  const char *key;
  uint64_t version;
  struct ba_bytes value;
};

struct jb_order_write
{
  const struct jb_row *expected; /* by their versions */
  uint32_t expected_count;
  const struct jb_row *set;
  uint32_t set_count;
  const struct jb_row *removed;
  uint32_t removed_count;
};

struct jb_order_read
{
  const char *table;
  const char *part;
  const char *from; /* first key, or NULL */
};

struct jb_order_watch
{
  uint64_t after; /* version; 0: all that there is, at once */
  int64_t wait_ms;
};

/* Where an order to a backend server goes.  */
struct jb_target
{
  const char *address;
  const char *instance; /* other lives at the address refuse it */
  uint64_t fence;
  bool fresh; /* over a new connection */
};

struct jb_order_start
{
  const char *task;
  uint32_t run;
  const char *spec;
  int64_t until_ms;       /* lease, by the backend server's clock */
  const char *checkpoint; /* or NULL */
  const char *ticket;     /* or NULL */
};

struct jb_order_stop
{
  const char *task;
  uint32_t run;
};

struct jb_order_hold
{
  uint64_t acked;   /* ends up to this number may be forgotten */
  int64_t until_ms; /* lease; 0: not extended */
  int64_t wait_ms;  /* for an end; 0: answer at once */
};

struct jb_order_pace
{
  const char *task;
  uint32_t run;
  uint32_t percent;
};

struct jb_order_advise
{
  const char *step; /* ID.OCCURRENCE.STEP */
  const char *const *backends;
  uint32_t backend_count;
};

struct jb_order_host
{
  const char *host;
  const char *pool; /* to move to */
  uint64_t wave;    /* whose maintenance it is */
  const char *holder;
  uint64_t fence;
};

struct jb_order_report
{
  uint64_t wave;
  bool completed;
};

struct jb_order
{
  enum jb_order_kind kind;
  int64_t timeout_ms;
  struct jb_target target; /* of orders to backend servers */
  union
  {
    struct jb_order_write write;
    struct jb_order_read read;
    struct jb_order_watch watch;
    struct jb_order_start start;
    struct jb_order_stop stop;
    struct jb_order_hold hold;
    struct jb_order_pace pace;
    struct jb_order_advise advise;
    struct jb_order_host host;
    struct jb_order_report report;
  } u;
};

enum jb_result
{
  JB_OK,
  JB_CONFLICT, /* a condition did not hold; nothing was done */
  JB_REFUSED,  /* nothing was done: too busy, ill, or never reached */
  JB_GONE,     /* another life at the address, or history that is gone */
  JB_INVALID,  /* the order makes no sense to the other side */
  JB_UNKNOWN   /* no answer: done, not done, or done later */
};

/* Why a backend server did not start a task (JB_CONFLICT).  */
enum jb_refusal
{
  JB_REFUSAL_NONE,
  JB_REFUSAL_FENCE,  /* it has seen a higher fence */
  JB_REFUSAL_OLD,    /* this run or a higher one has ended there */
  JB_REFUSAL_LATE,   /* the lease is over */
  JB_REFUSAL_ROOM,   /* it does not fit */
  JB_REFUSAL_TICKET, /* the policy does not allow it */
  JB_REFUSAL_BUSY,   /* of a host: it is not up */
  JB_REFUSAL_WAVE,   /* of a host: it is not of that wave */
  JB_REFUSAL_OTHER
};

enum jb_ending
{
  JB_ENDING_DONE,
  JB_ENDING_FAILED,
  JB_ENDING_STOPPED,
  JB_ENDING_LAPSED,
  JB_ENDING_BROKEN, /* another member of the gang ended */
  JB_ENDING_ALONE   /* the other members did not come */
};

/* A task that runs on a backend server.  */
struct jb_running
{
  const char *task;
  uint32_t run;
  const char *checkpoint; /* or NULL */
  uint32_t percent;       /* at work: 100 */
  int64_t usage; /* of a lasting task with a target its tail in ms, of another
                    the thousandths of cores that it uses */
};

struct jb_ended
{
  uint64_t number;
  const char *task;
  uint32_t run;
  enum jb_ending how;
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
  int64_t remaining_ms; /* while it drains, at least so long */
  struct jb_amount room;
  const char **labels;
  uint32_t label_count;
  int64_t born_ms; /* Unix time; another one is another life */
  int64_t cold_ms; /* it is slow for so long */
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
  uint32_t at_once;
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
  enum jb_result result;
  uint64_t version; /* of the store */
  /* rows, of a read or of a transaction whose conditions did not hold */
  struct jb_row *rows;
  uint32_t row_count;
  bool more;
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
  int64_t clock_ms;
  int64_t born_ms; /* 0: not said */
  struct jb_running *running;
  uint32_t running_count;
  struct jb_ended *ended;
  uint32_t ended_count;
  /* of advice */
  struct jb_ticket *tickets;
  uint32_t ticket_count;
  int64_t valid_ms;
};

#endif
