#ifndef JB_TYPES_H
#define JB_TYPES_H

/* Types that all of the package shares.  */

#include "ba_codec.h"

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
struct jb_resources
{
  int64_t cpu_milli;    /* thousandths of a core */
  int64_t memory_mb;    /* MB */
  int64_t accelerators; /* whole ones */
};

/* Return whether PART fits into WHOLE in each dimension.  */
static inline bool
jb_resources_fit (const struct jb_resources *part,
                  const struct jb_resources *whole)
{
  return part->cpu_milli <= whole->cpu_milli
         && part->memory_mb <= whole->memory_mb
         && part->accelerators <= whole->accelerators;
}

static inline void
jb_resources_add (struct jb_resources *sum, const struct jb_resources *part)
{
  sum->cpu_milli += part->cpu_milli;
  sum->memory_mb += part->memory_mb;
  sum->accelerators += part->accelerators;
}

static inline void
jb_resources_subtract (struct jb_resources *sum,
                       const struct jb_resources *part)
{
  sum->cpu_milli -= part->cpu_milli;
  sum->memory_mb -= part->memory_mb;
  sum->accelerators -= part->accelerators;
}

void jb_resources_serialize (struct ba_codec *io, struct jb_resources *amount);

/* Mechanisms that tests switch off to see what breaks without them.  */
enum jb_safeguard
{
  JB_SAFEGUARD_ROSTER = 1 << 0, /* successors wait for recorded backends */
  JB_SAFEGUARD_FAILED_RUNS = 1 << 1, /* failures are counted by their runs */
  JB_SAFEGUARD_OCCURRENCES = 1 << 2, /* unknown occurrences are opened */
  JB_SAFEGUARD_UNCONFIRMED_STARTS
  = 1 << 3, /* a start without an answer is settled */
  JB_SAFEGUARD_STORE_BEFORE_ACK
  = 1 << 4, /* ends are stored before they are acked */
  JB_SAFEGUARD_QUOTA_SHARES
  = 1 << 5, /* holders keep to their shares of limits */
  JB_SAFEGUARD_COMMAND_LEASE = 1
                               << 6, /* a new planner waits before it orders */
  JB_SAFEGUARD_DISRUPTION_BUDGET
  = 1 << 7, /* lasting tasks move one after the other */
  JB_SAFEGUARD_LEASE_EXPIRY = 1 << 8 /* silent backends are waited for */
};

/* Durations and limits of the deployment.  */
struct jb_bounds
{
  int64_t max_lease_ms;         /* a backend server shortens longer ones */
  int64_t max_stop_ms;          /* a stopped task ends within */
  int64_t gang_timeout_ms;      /* members of a gang wait for the others */
  int64_t unavailable_after_ms; /* a task not at work so long counts as away */
  int64_t maintenance_ms;       /* a host is down for its maintenance */
  int64_t host_move_ms;         /* a host is away while it changes its pool */
  int64_t command_lease_ms;     /* two holders may not order a host within */
  int64_t max_over_target_ms;   /* a tail above its target so long is harm */
  int64_t checkpoint_restore_ms;  /* resuming from a checkpoint takes */
  int64_t checkpoint_interval_ms; /* a checkpoint is made after so much work */
  int64_t job_retention_ms;       /* the state of a job is shown so long */
  double remote_data_slowdown; /* work away from its data takes times longer */
  uint32_t max_host_commands_per_s; /* of the whole fleet */
  uint32_t disabled_safeguards;     /* enum jb_safeguard; 0 but in tests */
};

#endif
