#ifndef SIM_WORLD_H
#define SIM_WORLD_H

/* A simulation of entry hosts in virtual time: several decision cores
   (co_core.h), here called nodes, with small fakes at their interfaces: a
   table service, a network, backend servers and callers.  The same options
   and seed give the same run.  The simulation sees the state of all parts, so
   that it can check the guarantees at each event.  */

#include "co_core.h"

#include <glib.h>

enum
{
  SIM_MAX_NODES = 5,
  SIM_MAX_BACKENDS = 64,
  SIM_TEAM_COUNT = 4,
  SIM_POOL_COUNT = 2,
  SIM_MAX_ZONES = 4
};

/* A fault at one step of the quota transfer protocol: when a message about
   quota is sent, or when the ledger is written.  At a write, the node that
   writes is both sender and receiver.  */
enum sim_fault_type
{
  SIM_FAULT_NONE,
  SIM_FAULT_DROP,        /* the message, or the reply to the write, is lost */
  SIM_FAULT_DUPLICATE,   /* the message arrives again, up to 2 s later */
  SIM_FAULT_KILL_SENDER, /* just after it sent the message */
  SIM_FAULT_KILL_RECEIVER, /* just before the message arrives */
  SIM_FAULT_FREEZE_SENDER, /* for longer than the eviction timeout */
  SIM_FAULT_PARTITION,     /* sender and receiver can't reach each other */
  SIM_FAULT_TYPE_COUNT
};

struct sim_fault_plan
{
  uint32_t step; /* of the quota transfer protocol, counted from 1 */
  enum sim_fault_type fault;
};

enum
{
  SIM_MAX_PLANNED_FAULTS = 2
};

struct sim_options
{
  struct sim_fault_plan planned_faults[SIM_MAX_PLANNED_FAULTS];
  bool count_violations_only; /* don't stop at the first violation */
  co_time settle_time;        /* how long it runs on after duration */
  uint32_t seed;
  uint32_t disabled;     /* mechanisms: flags of enum co_disable_flag */
  uint32_t nodes;        /* number of nodes, at most SIM_MAX_NODES */
  co_time duration;      /* of random requests, faults and changes */
  bool faults;           /* inject random faults */
  bool load;             /* generate random requests */
  bool operators;        /* make random changes of the configuration */
  double requests_per_s; /* sent to all nodes together; mean over time */
  bool skewed_load;      /* at least 80 % of requests reach node 0 */
  bool sticky;           /* callers retry at the node they tried first */
  /* Unless NULL, sim_finish sets it to the recorded session of node 0's first
     core, owned by session_mem.  */
  struct ba_bytes *recorded_session;
  TALLOC_CTX *session_mem;
  /* Times and sizes of each core.  The simulation fills in its identity,
     random seed and disabled mechanisms.  */
  struct co_options core;
  int hosts_per_pool;
  int slots_per_host;
  int zones;        /* of hosts in turn, named z0, z1 ...; 0 means one, z */
  bool evacuations; /* evacuate and restore random zones */
  uint32_t nodes_without_evacuations; /* bit set of the nodes that ignore
                                         evacuations, like earlier versions */
  bool pool1_lends_hosts;             /* to pool0 */
  int64_t limits[SIM_TEAM_COUNT];     /* of requests that run at once */
  int64_t shares[SIM_TEAM_COUNT];
  int64_t min_available;     /* availability budget of each pool, in hosts */
  co_time mean_service_time; /* of runs that are not slow (sim_calls.c) */
  int idempotent_percent;    /* of random requests */
};

struct sim_totals
{
  uint64_t requests; /* by callers, retries not counted */
  uint64_t attempts; /* including retries */
  /* Requests by outcome.  */
  uint64_t answered;
  uint64_t refused;     /* and not retried */
  uint64_t unknown;     /* it isn't known whether the request ran */
  uint64_t given_up;    /* not answered within the caller's patience */
  uint64_t runs;        /* on backend servers */
  uint64_t wasted_runs; /* whose answer came after the request had ended */
  uint64_t faults;
  /* Outages are of the table service, lost replies are to its writes, and
     duplicates and drops are of messages between nodes.  */
  uint64_t kills, freezes, partitions, outages, lost_replies, duplicates,
      drops;
  uint64_t changes, changes_accepted; /* of the configuration */
  uint64_t drains, moves;
  uint64_t evacuations, restorations; /* of zones, in the committed log */
  uint64_t table_reads, table_writes;
  uint64_t transfer_steps; /* of the quota transfer protocol */
  uint64_t violations;
  uint64_t failed_answers; /* answers with a status of 500 or more */
  uint64_t messages, message_bytes;
  uint64_t reasons[CO_REASON_COUNT]; /* refused attempts by reason */
};

struct sim_world;

/* Set OPTIONS to a small fleet with random load, faults and changes.  */
void sim_options_init (struct sim_options *options);

/* Run a simulation to its end.  Return NULL, or a description of the first
   violation, owned by MEM.  TOTALS is filled in.  */
char *sim_run (TALLOC_CTX *mem, const struct sim_options *options,
               struct sim_totals *totals);

/* Stop random requests, faults and changes, end an outage of the table, and
   let WORLD settle.  With the option faults, messages and connections are
   still lost.  Make the final checks, unless there was a violation, and free
   WORLD.  Return and fill in TOTALS as sim_run does.  */
char *sim_finish (TALLOC_CTX *mem, struct sim_world *world,
                  struct sim_totals *totals);

/* ---- stepwise use, for measurements ---- */

/* Return a new simulation, owned by MEM, in which all nodes have joined.  */
struct sim_world *sim_world_new (TALLOC_CTX *mem,
                                 const struct sim_options *options);

/* Run until the virtual time UNTIL.  Return false once there was a
   violation.  */
bool sim_run_until (struct sim_world *world, co_time until);

/* Return the first violation, or NULL.  */
const char *sim_violation (const struct sim_world *world);
struct sim_totals *sim_totals (struct sim_world *world);
co_time sim_now (const struct sim_world *world);

/* Return how long each urgent request waited until it was sent to a backend
   server, in ascending order, and set COUNT to their number.  A wait begins at
   the attempt that was sent or, with SINCE_FIRST, at the caller's first
   attempt.  The array is borrowed until WORLD runs on.  */
const co_time *sim_urgent_waits (struct sim_world *world, bool since_first,
                                 uint32_t *count);

/* Return the number of requests of TEAM that run on backend servers now.  */
uint32_t sim_running_count (const struct sim_world *world, int team);

/* Return the number of hosts that are in POOL now, by the committed log.  */
int sim_pool_host_count (const struct sim_world *world, int pool);

/* Return the core of node I, borrowed, or NULL while the node is down.  */
struct co_core *sim_node_core (struct sim_world *world, uint32_t i);

/* Send one request of TEAM for POOL to node I.  Its caller retries until it
   gets an answer or a refusal that doesn't ask for a retry, or until PATIENCE
   has passed.  */
void sim_send_request (struct sim_world *world, uint32_t i, int team, int pool,
                       bool idempotent, bool urgent, co_time patience);

/* Make a configuration change through node I.  CHANGE is copied.  */
void sim_send_change (struct sim_world *world, uint32_t i,
                      const struct co_change *change);

/* Evacuate the zone with index ZONE, or end its evacuation, through node I. */
void sim_set_evacuated (struct sim_world *world, uint32_t i, int zone,
                        bool evacuated);

/* Return the fleet as YAML with the limits of WORLD, owned by MEM.  */
char *sim_fleet_yaml (TALLOC_CTX *mem, const struct sim_world *world);

/* ---- faults ---- */

/* Kill node I.  It restarts after RESTART_DELAY, or never if that is negative.
 */
void sim_kill_node (struct sim_world *world, uint32_t i,
                    co_time restart_delay);
/* Freeze node I for LENGTH; it handles what arrives in that time afterwards.
 */
void sim_freeze_node (struct sim_world *world, uint32_t i, co_time length);
/* Drop all messages between nodes A and B for LENGTH.  */
void sim_partition_nodes (struct sim_world *world, uint32_t a, uint32_t b,
                          co_time length);
/* Keep node I from reaching the table service for LENGTH.  */
void sim_partition_table (struct sim_world *world, uint32_t i, co_time length);
/* Make the table service unreachable for all nodes for LENGTH.  */
void sim_table_outage (struct sim_world *world, co_time length);
/* Drop the replies to the next COUNT writes that the table carries out.  */
void sim_drop_write_replies (struct sim_world *world, uint32_t count);
/* Stop node I gracefully.  It restarts some time after the stop is complete.
 */
void sim_stop_node (struct sim_world *world, uint32_t i);
/* Set whether a backend server answers all requests with status 500.  */
void sim_backend_set_failing (struct sim_world *world, int backend,
                              bool failing);
/* Crash a backend server; it boots again after LENGTH.  */
void sim_backend_crash (struct sim_world *world, int backend, co_time length);
/* Mark a backend server as leaving in the host list for LENGTH.  It still
   answers requests.  */
void sim_backend_announce_leave (struct sim_world *world, int backend,
                                 co_time length);
/* Change TEAM's limit by a new fleet configuration, through a random node.  */
void sim_set_limit (struct sim_world *world, int team, int64_t limit);

#endif
