#ifndef JB_TYPES_H
#define JB_TYPES_H

/* Types that the whole package shares.  */

#include "ba_codec.h"

#include <stdbool.h>
#include <stdint.h>

/* A time or duration in microseconds of the driver's monotonic clock, which
   keeps running while the machine is suspended.  */
typedef int64_t jb_time;

#define JB_MS ((jb_time)1000)
#define JB_SECOND (1000 * JB_MS)

/* A time that never comes.  */
#define JB_NEVER INT64_MAX

/* An amount of the resources of a backend server.  */
struct jb_resources
{
  int64_t cpu_milli; /* thousandths of a core */
  int64_t memory_mb;
  int64_t accelerators; /* number of whole accelerators */
};

/* Return whether REQUIRED fits into AVAILABLE in every dimension.  */
static inline bool
jb_resources_fit (const struct jb_resources *required,
                  const struct jb_resources *available)
{
  return required->cpu_milli <= available->cpu_milli
         && required->memory_mb <= available->memory_mb
         && required->accelerators <= available->accelerators;
}

/* Add AMOUNT to SUM, or subtract it from SUM, in every dimension.  */
static inline void
jb_resources_add (struct jb_resources *sum, const struct jb_resources *amount)
{
  sum->cpu_milli += amount->cpu_milli;
  sum->memory_mb += amount->memory_mb;
  sum->accelerators += amount->accelerators;
}

static inline void
jb_resources_subtract (struct jb_resources *sum,
                       const struct jb_resources *amount)
{
  sum->cpu_milli -= amount->cpu_milli;
  sum->memory_mb -= amount->memory_mb;
  sum->accelerators -= amount->accelerators;
}

/* Write RESOURCES to IO or fill it in from IO, depending on IO's
   direction.  */
void jb_resources_serialize (struct ba_codec *io,
                             struct jb_resources *resources);

/* Safeguards that tests disable to check that faults are noticed without
   them.  */
enum jb_safeguard
{
  /* A new owner waits until it has probed the backend servers in the
     roster.  */
  JB_SAFEGUARD_ROSTER = 1 << 0,
  /* Failures are counted per run number, so each one counts once.  */
  JB_SAFEGUARD_FAILED_RUNS = 1 << 1,
  /* Occurrences that only a backend server reports are opened.  */
  JB_SAFEGUARD_OCCURRENCES = 1 << 2,
  /* A start without an answer is resolved before the task is started
     again.  */
  JB_SAFEGUARD_UNCONFIRMED_STARTS = 1 << 3,
  /* Ends of runs are stored before they are acknowledged.  */
  JB_SAFEGUARD_STORE_BEFORE_ACK = 1 << 4,
  /* Pool owners stay within their shares of the organisations' quotas.  */
  JB_SAFEGUARD_QUOTA_SHARES = 1 << 5,
  /* A new planner waits for the commands of its predecessor to expire.  */
  JB_SAFEGUARD_COMMAND_LEASE = 1 << 6,
  /* Long-running tasks are moved within the disruption budgets of their
     steps.  */
  JB_SAFEGUARD_DISRUPTION_BUDGET = 1 << 7,
  /* Runs on a backend server that doesn't answer count as active until their
     lease has expired.  */
  JB_SAFEGUARD_LEASE_EXPIRY = 1 << 8
};

/* Durations and limits of the deployment.  */
struct jb_bounds
{
  /* A backend server shortens leases that are longer.  */
  int64_t max_lease_ms;
  /* A task that is told to stop ends within this time.  */
  int64_t max_stop_ms;
  /* How long the members of a gang wait for the others.  */
  int64_t gang_timeout_ms;
  /* How long a task may be not ready before it counts as unavailable.  */
  int64_t unavailable_after_ms;
  /* How long a host is down for maintenance.  */
  int64_t maintenance_ms;
  /* How long a host is down while it changes its pool.  */
  int64_t host_move_ms;
  /* Commands of two different planners to a host are at least this far
     apart.  */
  int64_t command_lease_ms;
  /* How long the tail latency of a service may stay above its target.  */
  int64_t max_over_target_ms;
  /* How long it takes to resume a task from a checkpoint.  */
  int64_t checkpoint_restore_ms;
  /* How much work a task does between two checkpoints.  */
  int64_t checkpoint_interval_ms;
  /* How long the state of a job is available after its end.  */
  int64_t job_retention_ms;
  /* Factor by which a task runs longer away from its data.  */
  double remote_data_slowdown;
  /* Commands to hosts, in the whole fleet.  */
  uint32_t max_host_commands_per_s;
  /* Bit set of enum jb_safeguard; 0 except in tests.  */
  uint32_t disabled_safeguards;
};

#endif
