#ifndef SIM_INTERNAL_H
#define SIM_INTERNAL_H

#include "sim_world.h"

enum sim_kind
{
  SIM_TICK,
  SIM_EVENT,    /* an event for a core */
  SIM_SEND_RUN, /* a started request leaves its node */
  SIM_RUN_END,
  SIM_RESTART,
  SIM_THAW,
  SIM_ARRIVAL, /* a new request */
  SIM_RETRY,   /* a caller comes back */
  SIM_FAULT,
  SIM_OPERATE,
  SIM_HOST_LIST,
  SIM_STAY, /* a leaving worker stays after all */
  SIM_BOOT, /* a worker is back */
  SIM_KILL,
  SIM_FREEZE,
  SIM_TABLE_OP /* an operation reaches the table */
};

/* Something that happens at a time.  */
struct sim_item
{
  co_time at;
  uint64_t order; /* of creation, to break ties */
  enum sim_kind kind;
  uint32_t node;
  uint64_t incarnation;   /* the core it is for; 0: any */
  struct co_event *event; /* SIM_EVENT; owned by the item */
  void *data;
  uint64_t number;
};

/* A caller's request, over all its attempts.  */
struct sim_call
{
  uint64_t number;
  char *identity;
  int team, pool;
  bool idempotent, urgent;
  co_time arrived, give_up;
  uint32_t attempts;
  uint32_t node; /* of the first attempt */
  bool ended;
  int key; /* generation of the team's key */
  uint32_t runs;
};

/* One attempt at one node, known there by its id.  */
struct sim_attempt
{
  uint64_t id;
  uint64_t incarnation;
  uint32_t node;
  struct sim_call *call;
  co_time begun;
  bool final;    /* it has had its final answer */
  uint32_t sent; /* runs that it caused */
};

struct sim_run
{
  struct sim_attempt *attempt;
  uint64_t incarnation;
  uint32_t node;
  int worker, team;
  co_time deadline;
  bool running;
};

struct sim_worker
{
  char *name;
  int pool; /* by the log */
  uint32_t state;
  uint32_t running;
  bool fails;
  bool gone;
  uint64_t boot;
  co_time gone_since;
  co_time leaving_since; /* 0: it is not */
};

struct sim_node
{
  uint32_t index;
  struct co_core *core; /* NULL while down */
  uint64_t incarnation;
  bool frozen;
  co_time thaw_at;
  GQueue inbox; /* struct sim_item: what happened while frozen */
  co_time table_cut_until;
  co_time cut_until[SIM_NODES];
  co_time last_arrival[SIM_NODES]; /* of messages from each node */
  co_time last_table;
  uint64_t log_version; /* highest ever seen of this incarnation */
  bool stopping;
};

/* A change made by an operator.  */
struct sim_change_state
{
  char *token;
  struct co_change change;
  uint64_t op;
  int key_team; /* withdrawn key: its team, else -1 */
  int key;
};

struct sim_world
{
  struct sim_options options;
  GRand *random;
  co_time now;
  uint64_t next_order, next_id, next_incarnation, next_op;
  GSequence *queue;
  struct sim_node nodes[SIM_NODES];
  GHashTable *rows; /* key -> struct co_row */
  co_time table_down_until;
  uint32_t lose_replies;
  struct sim_worker workers[SIM_MAX_WORKERS];
  int worker_count;
  GHashTable *attempts; /* id -> struct sim_attempt */
  GPtrArray *calls;
  GHashTable *changes; /* op -> struct sim_change_state */
  uint32_t running[SIM_TEAMS];
  int key[SIM_TEAMS];                  /* present generation */
  co_time withdrawn_at[SIM_TEAMS][64]; /* when reported as accepted */
  uint64_t log_committed;
  struct
  {
    uint64_t version;
    co_time at;
  } accepted[1024]; /* changes reported as in force */
  uint32_t accepted_count;
  int64_t limits[SIM_TEAMS]; /* as the operators last wanted them */
  int64_t committed_limits[SIM_TEAMS];
  char *violation;
  struct sim_totals totals;
  bool settling;
  GArray *urgent_waits; /* co_time: since the attempt */
  GArray *call_waits;   /* co_time: since the caller's first attempt */
  GByteArray *record;
};

/* sim_world.c */
struct sim_item *sim_schedule (struct sim_world *world, co_time at,
                               enum sim_kind kind, uint32_t node);
enum sim_planned sim_next_step (struct sim_world *world);
void sim_planned_fault (struct sim_world *world, enum sim_planned fault,
                        uint32_t sender, uint32_t receiver);
void sim_step (struct sim_world *world, struct sim_node *node,
               const struct co_event *event);
co_time sim_random_time (struct sim_world *world, co_time low, co_time high);

/* sim_table.c */
void sim_table_submit (struct sim_world *world, struct sim_node *node,
                       const struct co_action *outcome);
void sim_table_arrive (struct sim_world *world, struct sim_item *item);
int64_t sim_ledger_total (struct sim_world *world, const char *resource);

/* sim_check.c */
void sim_broken (struct sim_world *world, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void sim_check_start (struct sim_world *world, const struct sim_run *run);
void sim_check_entry (struct sim_world *world,
                      const struct co_log_entry *entry);
void sim_check_node (struct sim_world *world, struct sim_node *node);
void sim_check_refusal (struct sim_world *world,
                        const struct sim_attempt *attempt,
                        enum co_reason reason);
void sim_check_end (struct sim_world *world);

/* sim_faults.c */
void sim_fault (struct sim_world *world);
void sim_operate (struct sim_world *world);

/* sim_calls.c */
char *sim_key_hash (TALLOC_CTX *mem, int team, int generation);
void sim_arrival (struct sim_world *world);
void sim_attempt (struct sim_world *world, struct sim_call *call);
void sim_answered (struct sim_world *world, uint64_t id);
void sim_refused (struct sim_world *world, uint64_t id,
                  const struct co_action_refuse *refuse);
void sim_send_run (struct sim_world *world, struct sim_item *item);
void sim_run_end (struct sim_world *world, struct sim_item *item);
void sim_start (struct sim_world *world, struct sim_node *node,
                const struct co_action_start *start);

#endif
