#ifndef JB_TYPES_H
#define JB_TYPES_H

/* Types that all of the package shares.  */

#include "ba_io.h"

#include <stdbool.h>
#include <stdint.h>

/* Microseconds of the driver's clock, which goes on while the machine is
   suspended.  */
typedef int64_t jb_time;

#define JB_MS ((jb_time)1000)
#define JB_SECOND (1000 * JB_MS)

/* A time that never comes.  */
#define JB_NEVER INT64_MAX

/* An amount of what a backend server has.  */
struct jb_amount
{
  int64_t cpu;          /* thousandths of a core */
  int64_t memory;       /* MB */
  int64_t accelerators; /* whole ones */
};

/* Return whether PART fits into WHOLE in each dimension.  */
static inline bool
jb_amount_fits (const struct jb_amount *part, const struct jb_amount *whole)
{
  return part->cpu <= whole->cpu && part->memory <= whole->memory
         && part->accelerators <= whole->accelerators;
}

static inline void
jb_amount_add (struct jb_amount *sum, const struct jb_amount *part)
{
  sum->cpu += part->cpu;
  sum->memory += part->memory;
  sum->accelerators += part->accelerators;
}

static inline void
jb_amount_subtract (struct jb_amount *sum, const struct jb_amount *part)
{
  sum->cpu -= part->cpu;
  sum->memory -= part->memory;
  sum->accelerators -= part->accelerators;
}

void jb_amount_code (struct ba_io *io, struct jb_amount *amount);

/* Mechanisms that tests switch off to see what breaks without them.  */
enum jb_off
{
  JB_OFF_ROSTER = 1 << 0,      /* successors wait for recorded backends */
  JB_OFF_FAILED_RUNS = 1 << 1, /* failures are counted by their runs */
  JB_OFF_OCCURRENCES = 1 << 2, /* unknown occurrences are opened */
  JB_OFF_SETTLE = 1 << 3,      /* a start without an answer is settled */
  JB_OFF_STORE_FIRST = 1 << 4, /* ends are stored before they are acked */
  JB_OFF_SHARES = 1 << 5,      /* holders keep to their shares of limits */
  JB_OFF_ORDER_LEASE = 1 << 6, /* a new planner waits before it orders */
  JB_OFF_BUDGET = 1 << 7,      /* lasting tasks move one after the other */
  JB_OFF_LEASE_END = 1 << 8    /* silent backends are waited for */
};

/* Durations and limits of the deployment.  */
struct jb_bounds
{
  int64_t longest_lease_ms;   /* a backend server shortens longer ones */
  int64_t stop_ms;            /* a stopped task ends within */
  int64_t gang_timeout_ms;    /* members of a gang wait for the others */
  int64_t notice_ms;          /* a task not at work so long counts as away */
  int64_t maintenance_ms;     /* a host is down for its maintenance */
  int64_t move_ms;            /* a host is away while it changes its pool */
  int64_t order_lease_ms;     /* two holders may not order a host within */
  int64_t harm_ms;            /* a tail above its target so long is harm */
  int64_t restore_ms;         /* resuming from a checkpoint takes */
  int64_t checkpoint_ms;      /* a checkpoint is made after so much work */
  int64_t status_ms;          /* the state of a job is shown so long */
  double remote_factor;       /* work away from its data takes times longer */
  uint32_t host_orders_per_s; /* of the whole fleet */
  uint32_t off;               /* enum jb_off; 0 but in tests */
};

#endif
