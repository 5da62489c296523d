#ifndef SIM_INTERNAL_H
#define SIM_INTERNAL_H

/* The parts that the files of the simulation share: its state, its queue of
   scheduled items, and the functions that handle them.  */

#include "sim_world.h"

enum
{
  SIM_MAX_KEY_GENERATIONS = 64,   /* of each team's API key */
  SIM_MAX_ACCEPTED_CHANGES = 1024 /* recorded; later ones are not checked */
};

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
  SIM_ITEM_RANDOM_EVACUATION,
  SIM_ITEM_HOST_LIST,
  SIM_ITEM_CANCEL_LEAVE, /* a backend server is no longer leaving */
  SIM_ITEM_BACKEND_BOOT,
  SIM_ITEM_KILL,
  SIM_ITEM_FREEZE,
  SIM_ITEM_TABLE_OP /* an operation reaches the table service */
};

/* A scheduled item of the simulation.  */
struct sim_item
{
  co_time at;
  uint64_t order; /* of creation; breaks ties between equal times */
  enum sim_item_kind kind;
  uint32_t node;
  uint64_t incarnation;   /* of the core that it is for; 0: any */
  struct co_event *event; /* of SIM_ITEM_CORE_EVENT; owned by the item */
  void *data;      /* the sim_call, sim_run or table operation, by the kind */
  uint64_t number; /* a backend server, a time or a count, by the kind */
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
  uint32_t node; /* to which the caller returns with the option sticky */
  bool ended;
  int key_generation; /* of the team's API key */
  uint32_t runs;      /* on backend servers, of all attempts */
};

/* One attempt of a call at one node.  */
struct sim_attempt
{
  uint64_t id; /* request ID at the node */
  uint64_t incarnation;
  uint32_t node;
  struct sim_call *call;
  co_time started_at;
  bool has_final_answer; /* an answer or a refusal */
  uint32_t runs_sent;    /* to backend servers */
};

/* The run of an attempt on a backend server.  */
struct sim_run
{
  struct sim_attempt *attempt;
  uint64_t incarnation; /* of its node; 0: the node's connection broke */
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

/* An availability zone, by the committed log.  */
struct sim_zone
{
  bool evacuated;
  uint64_t version;    /* of the entry that evacuated it */
  co_time accepted_at; /* when an order to evacuate it was reported as accepted
                          since then; 0: none was */
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
  co_time last_message_arrival[SIM_MAX_NODES]; /* from each other node, not
                                                  counting duplicates */
  co_time last_table;                          /* unused */
  uint64_t log_version; /* of this incarnation after its last step */
  bool stopping;
};

/* An operator's change whose result has not been reported.  */
struct sim_pending_change
{
  char *token;
  struct co_change change;
  uint64_t change_id; /* as sent to the core */
  int key_team;       /* team whose API key is withdrawn, else -1 */
  int key_generation; /* of that key */
  int evacuated_zone; /* zone that is evacuated, else -1 */
};

struct sim_world
{
  struct sim_options options;
  GRand *random;
  co_time now;
  uint64_t next_order, next_id, next_incarnation, next_change_id;
  GSequence *queue; /* struct sim_item, sorted by time */
  struct sim_node nodes[SIM_MAX_NODES];
  GHashTable *rows; /* key -> struct co_row */
  co_time table_down_until;
  uint32_t write_replies_to_drop;
  struct sim_backend backends[SIM_MAX_BACKENDS];
  int backend_count;
  struct sim_zone zones[SIM_MAX_ZONES];
  GHashTable *attempts; /* id -> struct sim_attempt */
  GPtrArray *calls;
  GHashTable *changes; /* change ID -> struct sim_pending_change */
  uint32_t running[SIM_TEAM_COUNT];   /* requests on backend servers */
  int key_generation[SIM_TEAM_COUNT]; /* of each team's current API key */
  /* When the withdrawal of each generation was reported as accepted; 0: it was
     not.  */
  co_time key_withdrawn_at[SIM_TEAM_COUNT][SIM_MAX_KEY_GENERATIONS];
  uint64_t log_committed; /* version of the last committed entry */
  struct
  {
    uint64_t version;
    co_time at;
  } accepted_changes[SIM_MAX_ACCEPTED_CHANGES];
  uint32_t accepted_change_count;
  int64_t limits[SIM_TEAM_COUNT]; /* as operators last requested them */
  int64_t committed_limits[SIM_TEAM_COUNT]; /* by the committed log */
  char *violation;                          /* the first one, or NULL */
  struct sim_totals totals;
  bool settling; /* no more random requests, faults and changes */
  GArray *urgent_attempt_waits; /* co_time: since the attempt */
  GArray *urgent_call_waits;    /* co_time: since the caller's first attempt */
  GByteArray *record; /* session of node 0's first core, if recorded */
};

/* sim_world.c */

/* Return a new item of KIND for NODE that falls due at AT.  */
struct sim_item *sim_schedule (struct sim_world *world, co_time at,
                               enum sim_item_kind kind, uint32_t node);

/* Count a step of the quota transfer protocol.  Return the fault planned for
   it, or SIM_FAULT_NONE.  */
enum sim_fault_type sim_count_transfer_step (struct sim_world *world);

/* Carry out a planned fault, except SIM_FAULT_DROP and SIM_FAULT_DUPLICATE,
   which the caller applies to the message or reply.  */
void sim_inject_fault (struct sim_world *world, enum sim_fault_type fault,
                       uint32_t sender, uint32_t receiver);

/* Let the core of NODE handle EVENT, check it and carry out its actions.  */
void sim_step_node (struct sim_world *world, struct sim_node *node,
                    const struct co_event *event);

/* Return a random time of at least LOW and less than HIGH.  */
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

/* Count a violation and keep the text of the first one, which ends the
   simulation.  With the option count_violations_only, only count it.  */
void sim_report_violation (struct sim_world *world, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Check that NODE, which starts a request on BACKEND, an index, had not
   applied the evacuation of its zone before this step.  */
void sim_check_start (struct sim_world *world, const struct sim_node *node,
                      int backend);

/* Check the guarantees that concern a request which arrives at a backend
   server.  */
void sim_check_run_start (struct sim_world *world, const struct sim_run *run);

/* Check a newly committed entry of the log and apply it to the backend
   servers.  */
void sim_check_log_entry (struct sim_world *world,
                          const struct co_log_entry *entry);

/* Return the index of the zone that CHANGE evacuates or restores, or -1.  */
int sim_change_zone (const struct co_change *change);

/* Return the index of the zone that BACKEND, an index, is in.  */
int sim_backend_zone (const struct sim_world *world, int backend);

/* Check NODE's configuration and the invariants of its core after a step.  */
void sim_check_node (struct sim_world *world, struct sim_node *node);

/* Check a refusal of ATTEMPT for REASON: ATTEMPT must have no final answer
   yet and, if REASON says that it was not run, must not have been sent to a
   backend server.  */
void sim_check_refusal (struct sim_world *world,
                        const struct sim_attempt *attempt,
                        enum co_reason reason);

/* Check after settling that every attempt was answered or refused, unless its
   node was killed or restarted.  */
void sim_check_all_answered (struct sim_world *world);

/* sim_faults.c */

/* Inject a random fault, or make a random change as an operator, and schedule
   the next one.  */
void sim_random_fault (struct sim_world *world);
void sim_random_change (struct sim_world *world);

/* Evacuate or restore a random zone, and schedule the next time.  */
void sim_random_evacuation (struct sim_world *world);

/* sim_calls.c */

/* Return the hash of TEAM's API key of GENERATION, owned by MEM.  */
char *sim_key_hash (TALLOC_CTX *mem, int team, int generation);

/* Send a random new request and schedule the next one.  */
void sim_next_arrival (struct sim_world *world);

/* Send the next attempt of CALL, unless it has ended or its caller gives up.
 */
void sim_send_attempt (struct sim_world *world, struct sim_call *call);

/* Deliver the answer, or the refusal, of attempt ID to its caller.  */
void sim_receive_answer (struct sim_world *world, uint64_t id);
void sim_receive_refusal (struct sim_world *world, uint64_t id,
                          const struct co_action_refuse *refuse);

/* Carry out START, a core's action: schedule the sending of the request to its
   backend server.  */
void sim_start_run (struct sim_world *world, struct sim_node *node,
                    const struct co_action_start *start);

/* Handle SIM_ITEM_SEND_RUN: the backend server runs the request, or the node
   learns that it wasn't sent.  */
void sim_send_run (struct sim_world *world, struct sim_item *item);

/* Handle SIM_ITEM_RUN_END: the run ends on its backend server, and its node
   learns the result.  */
void sim_run_end (struct sim_world *world, struct sim_item *item);

#endif
