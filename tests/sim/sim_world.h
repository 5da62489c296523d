#ifndef SIM_WORLD_H
#define SIM_WORLD_H

/* Several decision cores in virtual time with small fakes at their
   interfaces: a table service, a network, workers and callers.  Everything
   follows from the seed.  The world knows the truth, and checks every promise
   against it as things happen.  */

#include "co_core.h"

#include <glib.h>

enum
{
  SIM_NODES = 5,
  SIM_MAX_WORKERS = 64,
  SIM_TEAMS = 4,
  SIM_POOLS = 2
};

/* A fault placed at one step of the exchange of rights: the sending of a
   message about rights, or a write of the ledger.  */
enum sim_planned
{
  SIM_PLAN_NONE,
  SIM_PLAN_DROP,      /* the message is lost, or the write's reply */
  SIM_PLAN_REPEAT,    /* the message comes again, much later */
  SIM_PLAN_KILL,      /* the sender dies just after sending */
  SIM_PLAN_KILL_PEER, /* the receiver dies just before receiving */
  SIM_PLAN_FREEZE,    /* the sender stops for longer than others wait */
  SIM_PLAN_CUT,       /* the two lose each other for a while */
  SIM_PLANS
};

struct sim_plan
{
  uint32_t step;
  enum sim_planned fault;
};

enum
{
  SIM_MAX_PLAN = 2
};

struct sim_options
{
  struct sim_plan plan[SIM_MAX_PLAN];
  bool tolerate;  /* count broken promises instead of stopping */
  co_time settle; /* after the duration */
  uint32_t seed;
  uint32_t off;     /* enum co_disable_flag: mechanisms to turn off */
  uint32_t nodes;   /* at most SIM_NODES */
  co_time duration; /* of load and faults; then it settles */
  bool faults;
  bool load;
  bool operators;
  double rate;             /* requests a second over all nodes */
  bool uneven;             /* most requests reach one node */
  bool sticky;             /* callers come back to the same node */
  struct ba_bytes *record; /* of node 0's first core, or NULL */
  TALLOC_CTX *record_mem;
  struct co_options core; /* times and sizes; identity is filled in */
  int hosts_per_pool;
  int slots;
  bool spare; /* pool1 lends hosts to pool0 */
  int64_t limits[SIM_TEAMS];
  int64_t shares[SIM_TEAMS];
  int64_t min_available;
  co_time service; /* mean running time */
  int idempotent_percent;
};

struct sim_totals
{
  uint64_t requests; /* by callers, repeats not counted */
  uint64_t attempts;
  uint64_t answered;
  uint64_t refused; /* final */
  uint64_t unknown;
  uint64_t given_up; /* by the caller's patience */
  uint64_t runs;
  uint64_t wasted; /* runs whose answer nobody got */
  uint64_t faults;
  uint64_t kills, freezes, cuts, outages, lost_replies, duplicates, drops;
  uint64_t changes, changes_ok;
  uint64_t drains, moves;
  uint64_t table_reads, table_writes;
  uint64_t steps;          /* of the exchange of rights */
  uint64_t broken;         /* promises, when tolerated */
  uint64_t failed_answers; /* answers with a status of 500 or more */
  uint64_t messages, message_bytes;
  uint64_t reasons[CO_REASON_COUNT];
};

struct sim_world;

/* Set OPTIONS to a small fleet with faults.  */
void sim_options_init (struct sim_options *options);

/* Run a world to its end.  Return NULL, or what promise was broken, owned by
   MEM.  TOTALS is filled in.  */
char *sim_run (TALLOC_CTX *mem, const struct sim_options *options,
               struct sim_totals *totals);

/* As sim_run, for a world that is at the end of its load.  */
char *sim_settle (TALLOC_CTX *mem, struct sim_world *world,
                  struct sim_totals *totals);

/* ---- stepwise use, for measurements ---- */

struct sim_world *sim_new (TALLOC_CTX *mem, const struct sim_options *options);

/* Go on until the virtual time UNTIL.  Return false once a promise is
   broken.  */
bool sim_until (struct sim_world *world, co_time until);

const char *sim_violation (const struct sim_world *world);
struct sim_totals *sim_totals (struct sim_world *world);
co_time sim_now (const struct sim_world *world);

/* Return the COUNT times that urgent requests waited for their start, sorted:
   from the attempt that started, or with SINCE_FIRST from the caller's first.
   Borrowed.  */
const co_time *sim_urgent_waits (struct sim_world *world, bool since_first,
                                 uint32_t *count);

/* Requests of TEAM that are running on workers now, over the whole fleet.  */
uint32_t sim_running (const struct sim_world *world, int team);

/* Hosts that are in POOL now, by the log.  */
int sim_hosts_in (const struct sim_world *world, int pool);

/* The core of node I, or NULL while it is down.  */
struct co_core *sim_core (struct sim_world *world, uint32_t i);

/* Send one request of TEAM to node I.  REPEAT makes the caller come back.  */
void sim_request (struct sim_world *world, uint32_t i, int team, int pool,
                  bool idempotent, bool urgent, co_time patience);

/* Make a change through node I.  */
void sim_change (struct sim_world *world, uint32_t i,
                 const struct co_change *change);

/* Return the fleet as YAML with the limits of WORLD, owned by MEM.  */
char *sim_fleet (TALLOC_CTX *mem, const struct sim_world *world);

void sim_kill (struct sim_world *world, uint32_t i, co_time back_after);
void sim_freeze (struct sim_world *world, uint32_t i, co_time length);
void sim_cut (struct sim_world *world, uint32_t a, uint32_t b, co_time length);
void sim_cut_table (struct sim_world *world, uint32_t i, co_time length);
void sim_table_down (struct sim_world *world, co_time length);
void sim_lose_replies (struct sim_world *world, uint32_t count);
void sim_stop (struct sim_world *world, uint32_t i);
void sim_worker_fails (struct sim_world *world, int worker, bool fails);
void sim_worker_gone (struct sim_world *world, int worker, co_time length);
void sim_worker_leaves (struct sim_world *world, int worker, co_time length);
void sim_set_limit (struct sim_world *world, int team, int64_t limit);

#endif
