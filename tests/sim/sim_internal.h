#ifndef SIM_INTERNAL_H
#define SIM_INTERNAL_H

#include "sim_world.h"

enum sim_item_kind
{
  SIM_ITEM_TICK,
  SIM_ITEM_CORE_EVENT,
  SIM_ITEM_SEND_RUN, /* a started request leaves its node */
  SIM_ITEM_RUN_END,
  SIM_ITEM_RESTART,
  SIM_ITEM_UNFREEZE,
  SIM_ITEM_ARRIVAL, /* a new request */
  SIM_ITEM_RETRY,   /* by a caller */
  SIM_ITEM_RANDOM_FAULT,
  SIM_ITEM_RANDOM_CHANGE, /* by an operator */
  SIM_ITEM_HOST_LIST,
  SIM_ITEM_BACKEND_STAYS, /* it is no longer announced as leaving */
  SIM_ITEM_BACKEND_BOOT,
  SIM_ITEM_KILL,
  SIM_ITEM_FREEZE,
  SIM_ITEM_TABLE_OP /* an operation reaches the table service */
};

/* A scheduled item of the simulation.  */
struct sim_item
{
  co_time at;
  uint64_t order; /* of creation, to break ties */
  enum sim_item_kind kind;
  uint32_t node;
  uint64_t incarnation;   /* of the core that it is for; 0: any */
  struct co_event *event; /* of SIM_ITEM_CORE_EVENT; owned by the item */
  void *data;             /* these two depend on the kind */
  uint64_t number;
};

/* A request of a caller, over all its attempts.  */
struct sim_call
{
  uint64_t number;
  char *idempotency_key;
  int team, pool;
  bool idempotent, urgent;
  co_time arrived_at, gives_up_at;
  uint32_t attempts;
  uint32_t node; /* of the first attempt */
  bool ended;
  int key_generation; /* of the team's API key */
  uint32_t runs;
};

/* One attempt of a call at one node.  */
struct sim_attempt
{
  uint64_t id; /* request ID at the node */
  uint64_t incarnation;
  uint32_t node;
  struct sim_call *call;
  co_time started_at;
  bool has_final_answer;
  uint32_t runs_sent; /* to backend servers */
};

/* The run of an attempt on a backend server.  */
struct sim_run
{
  struct sim_attempt *attempt;
  uint64_t incarnation; /* of its node; 0: the connection to it broke */
  uint32_t node;
  int backend, team;
  co_time deadline;
  bool running;
};

/* A backend server and its host.  */
struct sim_backend
{
  char *name;
  int pool;       /* by the committed log */
  uint32_t state; /* enum co_host_state, by the committed log */
  uint32_t running;
  bool failing;
  bool down;
  uint64_t boot_id;
  co_time down_since;
  co_time leaving_since; /* 0: it is not leaving */
};

struct sim_node
{
  uint32_t index;
  struct co_core *core; /* NULL while it is down */
  uint64_t incarnation;
  bool frozen;
  co_time frozen_until;
  GQueue deferred_items; /* struct sim_item that fell due while frozen */
  co_time table_unreachable_until;
  co_time partitioned_until[SIM_MAX_NODES];    /* from each other node */
  co_time last_message_arrival[SIM_MAX_NODES]; /* from each other node */
  co_time last_table;                          /* unused */
  uint64_t log_version; /* highest one seen of this incarnation */
  bool stopping;
};

/* A change made by an operator that was not reported as done.  */
struct sim_pending_change
{
  char *token;
  struct co_change change;
  uint64_t op;
  int key_team; /* team whose API key is withdrawn, else -1 */
  int key;      /* its generation */
};

struct sim_world
{
  struct sim_options options;
  GRand *random;
  co_time now;
  uint64_t next_order, next_id, next_incarnation, next_op;
  GSequence *queue; /* struct sim_item, sorted by time */
  struct sim_node nodes[SIM_MAX_NODES];
  GHashTable *rows; /* key -> struct co_row */
  co_time table_down_until;
  uint32_t write_replies_to_drop;
  struct sim_backend backends[SIM_MAX_BACKENDS];
  int backend_count;
  GHashTable *attempts; /* id -> struct sim_attempt */
  GPtrArray *calls;
  GHashTable *changes; /* op -> struct sim_pending_change */
  uint32_t running[SIM_TEAM_COUNT];
  int key[SIM_TEAM_COUNT]; /* current generation of each API key */
  /* When the withdrawal of each generation was reported as accepted.  */
  co_time key_withdrawn_at[SIM_TEAM_COUNT][64];
  uint64_t log_committed; /* version of the last committed entry */
  struct
  {
    uint64_t version;
    co_time at;
  } accepted_changes[1024]; /* changes reported as in force */
  uint32_t accepted_change_count;
  int64_t limits[SIM_TEAM_COUNT]; /* as operators last requested them */
  int64_t committed_limits[SIM_TEAM_COUNT];
  char *violation; /* the first one, or NULL */
  struct sim_totals totals;
  bool settling;                /* load and faults have ended */
  GArray *urgent_attempt_waits; /* co_time: since the attempt */
  GArray *urgent_call_waits;    /* co_time: since the caller's first attempt */
  GByteArray *record;           /* the session so far */
};

/* sim_world.c */

/* Return a new item of KIND for NODE that falls due at AT.  */
struct sim_item *sim_schedule (struct sim_world *world, co_time at,
                               enum sim_item_kind kind, uint32_t node);

/* Count a step of the quota transfer protocol.  Return the fault planned
   there.  */
enum sim_fault_type sim_next_transfer_step (struct sim_world *world);

/* Carry out a planned fault, except SIM_FAULT_DROP and SIM_FAULT_DUPLICATE,
   which the caller applies to the message or reply.  */
void sim_inject_fault (struct sim_world *world, enum sim_fault_type fault,
                       uint32_t sender, uint32_t receiver);

/* Let the core of NODE handle EVENT, check it and carry out its actions.  */
void sim_step_node (struct sim_world *world, struct sim_node *node,
                    const struct co_event *event);

/* Return a random time from LOW up to HIGH.  */
co_time sim_random_time (struct sim_world *world, co_time low, co_time high);

/* sim_table.c */

/* Send the read, write or poll ACTION of NODE to the table service.  */
void sim_table_submit (struct sim_world *world, struct sim_node *node,
                       const struct co_action *action);

/* Carry out an operation that reaches the table service.  */
void sim_table_execute (struct sim_world *world, struct sim_item *item);

/* Return the sum of the quota of RESOURCE over all rows of the ledger.  */
int64_t sim_ledger_total (struct sim_world *world, const char *resource);

/* sim_check.c */

/* Count a violation.  The first one ends the simulation, unless violations are
   only counted.  */
void sim_report_violation (struct sim_world *world, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Check a request that arrives at a backend server.  */
void sim_check_run_start (struct sim_world *world, const struct sim_run *run);

/* Check a newly committed entry of the log and apply it to the backend
   servers.  */
void sim_check_log_entry (struct sim_world *world,
                          const struct co_log_entry *entry);

/* Check NODE after a step.  */
void sim_check_node (struct sim_world *world, struct sim_node *node);

/* Check a refusal of ATTEMPT.  */
void sim_check_refusal (struct sim_world *world,
                        const struct sim_attempt *attempt,
                        enum co_reason reason);

/* Check that every attempt was answered, after all has settled.  */
void sim_check_all_answered (struct sim_world *world);

/* sim_faults.c */

/* Inject a random fault, or make a random change as an operator, and schedule
   the next one.  */
void sim_random_fault (struct sim_world *world);
void sim_random_change (struct sim_world *world);

/* sim_calls.c */

/* Return the hash of TEAM's API key of GENERATION, owned by MEM.  */
char *sim_key_hash (TALLOC_CTX *mem, int team, int generation);

/* Generate a new request and schedule the next one.  */
void sim_next_arrival (struct sim_world *world);

/* Send the next attempt of CALL, unless its caller gives up.  */
void sim_send_attempt (struct sim_world *world, struct sim_call *call);

/* Take the answer, or the refusal, to the attempt with ID.  */
void sim_receive_answer (struct sim_world *world, uint64_t id);
void sim_receive_refusal (struct sim_world *world, uint64_t id,
                          const struct co_action_refuse *refuse);

/* A core starts a request: schedule its sending to the backend server.  */
void sim_start_run (struct sim_world *world, struct sim_node *node,
                    const struct co_action_start *start);

/* A started request leaves its node and reaches the backend server.  */
void sim_send_run (struct sim_world *world, struct sim_item *item);

/* A run ends on its backend server.  */
void sim_run_end (struct sim_world *world, struct sim_item *item);

#endif
