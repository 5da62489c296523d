#ifndef JB_TYPES_H
#define JB_TYPES_H

/* Types shared by the whole package: times, amounts of resources, and the
   durations and limits of the deployment.  */

#include "ba_codec.h"

#include <stdbool.h>
#include <stdint.h>

/* A time or duration in microseconds of the driver's monotonic clock, which
   keeps running while the machine is suspended.  */
typedef int64_t jb_time;

#define JB_MS ((jb_time)1000)
#define JB_SECOND (1000 * JB_MS)

/* Later than any other time.  */
#define JB_NEVER INT64_MAX

/* Bounds on numbers from outside the process.  They are far above all real
   ones, and small enough that sums and products of them fit into 64 bits.  */

/* One dimension of the resources of a task or a backend server.  */
#define JB_MAX_AMOUNT INT64_C (100000000)
/* The duration of a task, a time limit: 115 days.  */
#define JB_MAX_DURATION_MS INT64_C (10000000000)
/* The clock of a backend server, the interval of a schedule: 317 years.  */
#define JB_MAX_CLOCK_MS INT64_C (10000000000000)
/* Unix time: the end of the year 9999.  */
#define JB_MAX_UNIX_MS INT64_C (253402300799999)
/* The numbers of a task's runs, which owners of the pool assign
   (JB_RUN_NUMBERS_PER_OWNER), and of the ends of runs on one backend
   server.  */
#define JB_MAX_RUN INT32_MAX
#define JB_MAX_END_NUMBER (INT64_MAX / 2)

/* An amount of resources, such as the capacity of a backend server or what a
   task requires.  */
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

/* Encode RESOURCES to IO, or decode them from IO if it is a reader.  */
void jb_resources_serialize (struct ba_codec *io,
                             struct jb_resources *resources);

/* Safeguards that tests disable, to check that the faults which a safeguard
   prevents are detected.  */
enum jb_safeguard
{
  /* A new pool owner starts no task before it has probed the backend servers
     in the roster, the stored list of those that may have runs.  */
  JB_SAFEGUARD_ROSTER = 1 << 0,
  /* Failures are counted per run number, so that a failure that is reported
     twice counts once.  */
  JB_SAFEGUARD_FAILED_RUNS = 1 << 1,
  /* An occurrence of a job that only a backend server's report mentions is
     opened.  */
  JB_SAFEGUARD_OCCURRENCES = 1 << 2,
  /* Whether a start that was not answered took place is found out before the
     task is started again.  */
  JB_SAFEGUARD_UNCONFIRMED_STARTS = 1 << 3,
  /* Ends of runs are stored before they are acknowledged.  */
  JB_SAFEGUARD_STORE_BEFORE_ACK = 1 << 4,
  /* A pool's owner starts no task that would exceed the pool's share of the
     organisation's quota.  */
  JB_SAFEGUARD_QUOTA_SHARES = 1 << 5,
  /* A new planner with a predecessor sends no command to a host before the
     lease of a command has passed since its claim.  */
  JB_SAFEGUARD_COMMAND_LEASE = 1 << 6,
  /* Long-running tasks are moved within the disruption budgets of their
     steps.  */
  JB_SAFEGUARD_DISRUPTION_BUDGET = 1 << 7,
  /* Runs on a backend server that doesn't answer count as active until their
     lease has expired.  */
  JB_SAFEGUARD_LEASE_EXPIRY = 1 << 8,
  /* Nothing is started on backend servers of an evacuated zone.  */
  JB_SAFEGUARD_ZONES = 1 << 10,
  /* A planner sends commands only to hosts whose names are stored, so that its
     successor waits for the lease of these commands.  */
  JB_SAFEGUARD_COMMANDED_ROWS = 1 << 9,
  /* A new pool owner uses only what the owner just before it has left about
     runs, not what an earlier one has.  */
  JB_SAFEGUARD_HANDOVER_GENERATION = 1 << 12,
  /* A run counts as the only one of its task only if it was listed after the
     last command of a former owner.  */
  JB_SAFEGUARD_LISTED_AFTER_COMMANDS = 1 << 13,
  /* A task with a start that may still be carried out starts nowhere else.  */
  JB_SAFEGUARD_DOUBT = 1 << 14
};

/* Durations and limits of the deployment.  */
struct jb_bounds
{
  /* Longest lease of a run; a backend server shortens longer ones to this.  */
  int64_t max_lease_ms;
  /* Longest time that a task takes to end after it was told to stop.  */
  int64_t max_stop_ms;
  /* How long a started member of a gang waits for the others to start.  */
  int64_t gang_timeout_ms;
  /* How long a task may be not ready before it counts as unavailable.  */
  int64_t unavailable_after_ms;
  /* How long a host is down for maintenance.  */
  int64_t maintenance_ms;
  /* How long a host is down while it moves to another pool.  */
  int64_t host_move_ms;
  /* Lease of a planner's command to a host: commands of two different planners
     to a host must be at least this far apart.  */
  int64_t command_lease_ms;
  /* How long the tail latency of a service may stay above its target.  */
  int64_t max_over_target_ms;
  /* How long it takes to resume a task from a checkpoint.  */
  int64_t checkpoint_restore_ms;
  /* How much work a task does between two checkpoints.  */
  int64_t checkpoint_interval_ms;
  /* How long the state of a job can be queried after its end.  */
  int64_t job_retention_ms;
  /* Factor by which a task takes longer on a backend server that doesn't hold
     its data.  */
  double remote_data_slowdown;
  /* Within this time of the order to evacuate a zone, tasks stop being
     started there.  */
  int64_t zone_evacuation_ms;
  /* Commands to hosts that the whole fleet accepts per second.  */
  uint32_t max_host_commands_per_s;
  /* Largest value of a row that the store accepts, in bytes; 0: 65536.  */
  uint32_t max_row_bytes;
  /* Placement considers what is waiting and what will end soon
     (jb_reserve.h).  */
  bool lookahead;
  /* Organisations that use more than their weights' shares of a full pool are
     served after the others (jb_share.h).  */
  bool shares;
  /* Bit set of enum jb_safeguard; 0 except in tests.  */
  uint32_t disabled_safeguards;
  /* For tests: whether a pool's owner checks its sums over the active jobs
     whenever it uses them, and aborts if they are wrong.  */
  bool check_sums;
};

#endif
