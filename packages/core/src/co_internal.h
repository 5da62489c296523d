#ifndef CO_INTERNAL_H
#define CO_INTERNAL_H

/* Structures and functions shared by the files of the decision core.

   Hosts, pools, teams, queues and quotas are kept in tables that only grow;
   everything else refers to them by index.  A `peer slot' is the index of a
   member or departed member in the table of peers; a `slot' alone is a worker
   slot of a host.

   Functions tell the driver what to do by appending actions to the outbox of
   the current step.  */

#include "co_core.h"

#include "ba_hash.h"

#include <glib.h>

enum
{
  CO_NO_INDEX = -1,
  CO_LOG_TAIL_COUNT = 512,      /* entries kept for peers that are behind, and
                                   to recognise repeated changes */
  CO_LEDGER_SHARD_COUNT = 9,    /* shard 0: teams; the others: hosts by hash */
  CO_PEER_SLOT_COUNT = 80,      /* members and departed members together */
  CO_FREE_SLOT_LIST_COUNT = 65, /* one list for each number of free slots of a
                                   host, 0 to 64; more count as 64 */
  CO_MAX_ATTEMPT_COUNT = 3,     /* starts of one request */
  CO_MAX_CLAIM_BATCH_COUNT = 256, /* records in one journal row */
  CO_MIN_RESOURCE_NAME_BYTES = 3  /* "t/" or "h/" and one character */
};

/* ---- quota ---- */

/* This member's quota of one resource, in units.  The resource is a team's
   upper limit on running requests or the worker slots of a host; a unit lets
   one request run.  This member holds own_grant + net_received - retiring
   units.

   The totals lent to and borrowed from other members are cumulative, so that
   a lost or repeated message never creates a unit.  */
struct co_quota
{
  char *name;            /* "t/TEAM" or "h/HOST" */
  bool is_host_slots;    /* else a team's limit */
  int owner;             /* index of the host or team, or CO_NO_INDEX */
  int shard;             /* ledger shard that holds its grants */
  int64_t limit;         /* units to grant in all, from the configuration */
  int64_t granted_total; /* sum of all grants in the ledger; -1: not in it */
  int64_t own_grant;     /* units granted to this member in the ledger */
  int64_t retiring;      /* units that a ledger write in flight gives up; they
                            can't be used meanwhile */
  int64_t in_use;        /* units acquired */
  int64_t net_received;  /* sum of received_total less that of sent_total */
  uint32_t sent_total[CO_PEER_SLOT_COUNT];
  uint32_t received_total[CO_PEER_SLOT_COUNT];
  uint64_t unacked[2]; /* bit set of the peer slots that have not acknowledged
                          their sent_total */
  bool send_queued;    /* in co_core.quotas_to_send */
};

/* ---- fleet ---- */

/* A backend host.  */
struct co_host
{
  char *name;
  char *address;
  char *zone;
  char *rack;
  bool configured;     /* in the current configuration */
  bool zone_evacuated; /* its zone is evacuated */
  int pool;            /* index of the pool that it is in */
  int target_pool;     /* index of the pool that it moves to, or CO_NO_INDEX */
  int configured_pool; /* index of the pool in the configuration */
  uint32_t state;      /* enum co_host_state */
  uint64_t generation; /* number of changes of its state */
  uint64_t changed_at_version; /* log version of the last change of state */
  uint64_t completed_order;    /* last maintenance order completed, or 0 */
  uint64_t cause; /* maintenance order that drains it, CO_CAUSE_REBALANCE, or
                     0 */
  int quota;      /* index of the quota of its worker slots */
  bool live;      /* in the last host list */
  bool leaving;   /* about to be removed by the platform */
  uint64_t boot_id;
  uint64_t drained_boot_id; /* boot_id when its drain was completed */
  co_time reboot_at;        /* earliest time of the next reboot action */
  uint32_t running;         /* requests from this entry host, with orphaned
                               slots */
  /* health */
  double failure_rate;   /* decaying average of 0 (answered) and 1 (failed) */
  uint32_t sample_count; /* results since the average was reset */
  co_time ejected_until; /* 0: not ejected */
  uint32_t consecutive_ejections;
  bool on_trial; /* back from an ejection, with one request at a time */
  /* doubly linked list of the hosts of one pool with equally many free
     slots */
  int free_slot_list; /* number of free slots, or CO_NO_INDEX: on no list */
  int next_in_list, previous_in_list;
  /* this host's part in the sums of its pool */
  int64_t counted_free_slots, counted_held_slots;
  bool counted_usable;
  bool counted_available; /* counts towards the pool's availability budget */
  bool counted_evacuated; /* would, if its zone were not evacuated */
  int64_t counted_capacity;
};

/* Waiting requests of one team in one pool.  Each queue is in order of
   arrival, except that requests to be retried go to its head.  See
   co_backlog_length.  */
struct co_backlog
{
  GQueue urgent;
  GQueue archive;
};

struct co_pool
{
  char *name;
  bool configured;       /* in the current configuration */
  int64_t min_available; /* availability budget, in hosts */
  bool spare;            /* its hosts may be moved to overloaded pools */
  int hosts_by_free_slots[CO_FREE_SLOT_LIST_COUNT]; /* first host of each
                                                       list */
  int max_free_slots;       /* upper bound on the free slots of its hosts */
  int64_t free_slots;       /* requests that this member may start now on the
                               usable hosts */
  int64_t held_slots;       /* of usable hosts, held by this member */
  uint32_t usable_hosts;    /* take work and are not ejected */
  uint32_t available_hosts; /* count towards the availability budget */
  uint32_t ejected_hosts;   /* of the available ones */
  uint32_t evacuated_hosts; /* not available only because their zone is
                               evacuated */
  int64_t capacity_slots;   /* configured slots of the available hosts */
  double load;              /* decaying average of demand divided by
                               capacity */
  co_time rebalanced_at;    /* when the last loan of a host to it, or return
                               of a host from it, was proposed */
  uint32_t waiting;
  uint32_t running;
  struct co_backlog *backlogs;                /* by team */
  uint32_t *own_running;                      /* requests by team, of this
                                                 member */
  uint32_t *peer_running[CO_PEER_SLOT_COUNT]; /* requests by team, of each
                                                 other member */
  double mean_service_time_us;                /* decaying average */
  double failure_rate; /* decaying average over all hosts */
  double retry_budget; /* number of retries that are allowed now */
  co_time quota_requested_at;
  int64_t requested_by_peer[CO_PEER_SLOT_COUNT]; /* slots that each peer
                                                    still asks for */
  co_time peer_request_expires_at[CO_PEER_SLOT_COUNT];
  bool needs_dispatch; /* to be dispatched before the step ends */
};

struct co_team
{
  char *name;
  bool configured; /* in the current configuration */
  int64_t share;   /* weight in the division of a full pool */
  int64_t limit;   /* most requests that may run in the fleet */
  int quota;       /* index of the quota of its limit */
  uint32_t running;
  uint32_t waiting;
  co_time quota_requested_at;
  int64_t requested_by_peer[CO_PEER_SLOT_COUNT]; /* units that each peer
                                                    still asks for */
  co_time peer_request_expires_at[CO_PEER_SLOT_COUNT];
};

struct co_queue
{
  char *name;
  bool configured; /* in the current configuration */
  int pool;
  int open_team;       /* team of requests without a key, or CO_NO_INDEX */
  uint32_t priority;   /* enum cf_priority, of requests that don't state one */
  int64_t max_waiting; /* waiting requests that the teams share */
  uint32_t waiting;
};

struct co_maintenance_order
{
  uint64_t id;    /* log version of the entry that created it */
  uint32_t state; /* enum co_order_state */
  uint32_t scope; /* enum co_scope */
  char *scope_name;
  uint64_t completed_at_version; /* log version at which all its hosts had
                                    completed it, or 0 */
};

/* ---- membership ---- */

/* What this member knows about a member or a departed member.  It has a peer
   slot for itself as well.  */
struct co_peer
{
  uint64_t incarnation; /* 0: the peer slot is free */
  bool is_member;       /* in the view, else departed */
  uint32_t departure;   /* departed: enum co_departure */
  co_time first_seen;
  co_time last_heartbeat_at; /* 0: none */
  co_time lease_expires_at;  /* departed: time from which on it can't have a
                                lease; 0: not known */
  uint32_t settled_shards; /* departed: bit set of the ledger shards that have
                              settled it */
  uint64_t view_version;   /* highest view that it is known to have */
  uint64_t log_version;    /* in its last heartbeat */
  uint64_t report_view_version; /* view version of its last transfer report */
  co_time report_sent_at;       /* own peer slot: when the last report was
                                   sent */
  struct co_transfer_balance *reported_balances;
  uint32_t reported_balance_count;
  struct co_msg_heartbeat *last_heartbeat; /* or NULL */
};

/* Stages of a process as a member of the view, in order.  */
enum co_membership_phase
{
  CO_PHASE_JOINING, /* not in the view yet */
  CO_PHASE_MEMBER,
  CO_PHASE_LEAVING, /* stopping, with nothing running, but still in the view */
  CO_PHASE_ENDED    /* evicted, or the planned stop is complete */
};

/* ---- requests ---- */

enum co_request_state
{
  CO_REQUEST_WAITING,  /* in a backlog */
  CO_REQUEST_CLAIMING, /* waits for the claim of its idempotency key */
  CO_REQUEST_FETCHING, /* asks the holder of the claim for its answer */
  CO_REQUEST_RUNNING   /* sent to a host */
};

struct co_request
{
  uint64_t id;
  uint32_t state; /* enum co_request_state */
  int queue, pool, team;
  int host;       /* whose slot it holds, or CO_NO_INDEX */
  int avoid_host; /* host of the last failed attempt, or CO_NO_INDEX */
  bool urgent;
  co_time latest_start; /* if it still waits then, it is refused */
  bool idempotent;
  bool caller_gone;
  bool claimed;    /* this member holds the claim of its idempotency key */
  bool maybe_sent; /* an earlier attempt may have reached a backend server */
  uint32_t attempt_count;
  char *idempotency_key; /* "TEAM/KEY", or NULL */
  co_time arrived_at;
  co_time started_at;
  co_time deadline;
  co_time state_deadline;  /* when claiming or fetching times out */
  co_time claim_resend_at; /* when the claim is requested again */
  GList backlog_link;
  GSequenceIter *timer; /* in co_core.request_timers, or NULL */
};

/* A worker slot and a unit of team quota that stay occupied after a broken
   attempt: the backend server may still be running the request.  */
struct co_orphaned_slot
{
  int host, team, pool;
  co_time occupied_until; /* deadline of the request */
};

/* State and cached answer of a request with an idempotency key that this
   member executes.  */
struct co_execution
{
  char *idempotency_key;
  uint32_t state;      /* enum co_execution_state */
  uint64_t request_id; /* request with the key that was last started here */
  co_time expires_at;
  uint32_t http_status;
  char *headers;
  struct ba_bytes body;
};

/* A claim, the right of one executor to run the request with an idempotency
   key, as far as this member knows it from the journal and its own
   decisions.  */
struct co_claim
{
  char *idempotency_key;
  uint64_t executor;     /* incarnation; 0: nobody holds it */
  uint64_t request_id;   /* the executor's request that holds it */
  uint64_t view_version; /* view in which it was decided */
  bool durable;          /* stored in the journal */
  co_time expires_at;
};

/* A claim or a release, as written to the journal.  */
struct co_claim_record
{
  char *idempotency_key;
  uint64_t executor;
  bool released;
  uint64_t request_id; /* the executor's, for the reply */
};

/* ---- operations in flight ---- */

enum co_store_op_kind
{
  CO_STORE_OP_VIEW_WRITE,
  CO_STORE_OP_LOG_WRITE,
  CO_STORE_OP_LEDGER_READ,
  CO_STORE_OP_LEDGER_WRITE,
  CO_STORE_OP_JOURNAL_READ,
  CO_STORE_OP_JOURNAL_WRITE,
  CO_STORE_OP_SNAPSHOT_READ,
  CO_STORE_OP_SNAPSHOT_WRITE
};

/* A read or write of the table service in flight.  */
struct co_store_op
{
  uint64_t id;
  uint32_t kind; /* enum co_store_op_kind */
  int index;     /* ledger shard, else 0 */
};

/* Units of one resource that the ledger grants to one member.  */
struct co_grant
{
  uint64_t incarnation;
  int64_t count;
};

/* The grants of one resource.  */
struct co_ledger_item
{
  char *resource; /* "t/TEAM" or "h/HOST" */
  struct co_grant *grants;
  uint32_t grant_count;
};

/* One row of the ledger.  */
struct co_ledger_row
{
  uint64_t version;
  struct co_ledger_item *items;
  uint32_t item_count;
  uint64_t *settled; /* departed members whose transfers the grants
                        include */
  uint32_t settled_count;
};

/* This member's copy of one ledger row, and its writes of the row.  */
struct co_ledger_shard
{
  struct co_ledger_row *current_row; /* last read, or NULL */
  GHashTable *resource_index;        /* resource -> position + 1 in that row */
  struct co_ledger_row *pending_row; /* being written; replaces current_row
                                    when the write is done */
  bool write_uncertain;              /* the reply to that write was lost */
  bool conflict_unresolved; /* that write met a conflict, whose cause the
                               next read shows */
  bool write_pending;
  uint64_t required_view_version; /* condition of the write; 0: none */
  uint64_t announced_version;     /* highest one known or assumed to exist; if
                                     it is newer than current_row, the row is
                                     read again */
  bool read_pending;
  co_time retry_at;
};

enum co_pending_change_state
{
  CO_PENDING_QUEUED,
  CO_PENDING_WRITING,
  CO_PENDING_CHECKING_LOG, /* the next log read shows whether the write
                              happened */
  CO_PENDING_AWAITING_ACKS
};

/* A configuration change in progress.  */
struct co_pending_change
{
  uint64_t change_id; /* the driver's; 0: made by this core */
  uint32_t state;     /* enum co_pending_change_state */
  struct co_log_entry entry;
  bool write_uncertain; /* an earlier write of it may have happened */
  co_time started_at;
  co_time retry_at;
};

struct co_core
{
  struct co_options options;
  GRand *random;
  co_time now;              /* of the current step */
  struct co_outbox *outbox; /* of the current step, or NULL */
  uint64_t last_op_id;
  GHashTable *store_ops; /* id -> struct co_store_op */
  uint64_t counters[CO_COUNTER_COUNT];
  uint64_t refusals[CO_REASON_COUNT];

  /* configuration (co_fleet.c) */
  uint64_t log_version; /* last log entry applied */
  uint64_t fleet_version;
  char *fleet_yaml;       /* the fleet in force, or NULL */
  struct cf_fleet *fleet; /* as applied, or NULL */
  struct co_host **hosts;
  struct co_pool **pools;
  struct co_team **teams;
  struct co_queue **queues;
  struct co_maintenance_order *orders;
  uint32_t host_count, pool_count, team_count, queue_count, order_count;
  uint32_t team_capacity; /* length of the pools' arrays by team */
  /* name -> index + 1 */
  GHashTable *host_index, *pool_index, *team_index, *queue_index;
  GHashTable *api_keys;      /* hash -> team name */
  GHashTable *change_tokens; /* token -> version, of recent changes */
  struct co_log_entry *log_tail[CO_LOG_TAIL_COUNT]; /* by version modulo its
                                                       length */
  GHashTable *live_hosts; /* name -> struct co_live_host, last host list */
  bool host_list_seen;
  co_time host_list_requested_at;

  /* membership (co_view.c) */
  enum co_membership_phase phase;
  bool stopping;
  co_time stop_at; /* when stopping: end of the lame duck period; when
                      leaving: when that began */
  struct co_view view;
  bool view_loaded;
  uint64_t view_write_op_id;     /* 0: none in flight */
  struct co_view *proposed_view; /* being written */
  co_time view_applied_at;
  co_time view_retry_at;
  struct co_peer peers[CO_PEER_SLOT_COUNT];
  co_time table_read_at;  /* when the last successful poll was sent;
                             0: never */
  bool table_unreachable; /* the last poll or snapshot read failed */
  bool had_lease;         /* at the last tick */
  /* next_periodic_at: of the tasks that don't run on every tick */
  co_time next_poll_at, next_heartbeat_at, next_periodic_at, next_rebalance_at;

  /* quota (co_quota.c, co_ledger.c) */
  struct co_quota **quotas;
  uint32_t quota_count;
  GHashTable *quota_index; /* name -> index + 1 */
  GArray *quotas_to_send;  /* int: indices of the quotas whose transfers are
                              sent at the end of the step, once each */
  struct co_ledger_shard shards[CO_LEDGER_SHARD_COUNT];

  /* requests (co_dispatch.c) */
  GHashTable *requests;      /* id -> struct co_request */
  GSequence *request_timers; /* waiting, claiming and fetching requests, by
                                time */
  GArray *orphaned_slots;    /* struct co_orphaned_slot */

  /* claims (co_claim.c) */
  GHashTable *executions; /* idempotency key -> struct co_execution */
  GQueue execution_order; /* oldest first */
  uint64_t cached_answer_bytes;
  GHashTable *claims;      /* idempotency key -> struct co_claim */
  GQueue claim_order;      /* oldest first */
  GQueue unwritten_claims; /* struct co_claim_record */
  struct co_claim_record **claim_batch; /* being written, or NULL */
  uint32_t claim_batch_count;
  uint64_t claim_batch_view_version; /* view version that the write requires */
  uint64_t claim_batch_sequence;     /* makes the sort key of its row unique */
  bool claim_batch_write_pending;
  co_time claim_batch_retry_at;  /* 0 unless an earlier write of the batch may
                                    have been stored */
  uint64_t journal_read_version; /* view version up to which the journal
                                    has been read */
  bool journal_read_pending;
  uint64_t journal_read_target_version; /* view version when the read was
                                           sent */
  co_time journal_retry_at;

  /* snapshots (co_snapshot.c) */
  bool snapshot_loaded;               /* the row was read, or found absent */
  uint64_t snapshot_version;          /* of the stored row, as last known */
  uint64_t snapshot_proposed_version; /* being written */
  bool snapshot_read_pending, snapshot_write_pending;
  co_time snapshot_retry_at;

  /* changes of the configuration (co_change.c) */
  GQueue pending_changes; /* struct co_pending_change, oldest first */
};

/* co_core.c */

void co_increment_counter (struct co_core *core, enum co_counter counter);

/* Append a zeroed action of TYPE to the current step's outbox and return it.
   Valid until the next action is added.  */
struct co_action *co_add_action (struct co_core *core, uint32_t type);

/* Append an action that sends a zeroed message of TYPE to the member with the
   incarnation RECIPIENT, and return the message.  Valid until the next action
   is added.  */
struct co_msg *co_add_message (struct co_core *core, uint64_t recipient,
                               uint32_t type);

/* Record a new operation on the table service and return its id, for the
   action that asks for it.  KIND is an enum co_store_op_kind; INDEX is the
   ledger shard that it is about, else 0.  */
uint64_t co_store_op_new (struct co_core *core, uint32_t kind, int index);

/* Return a copy of TEXT owned by the current step's outbox.  */
char *co_outbox_strdup (struct co_core *core, const char *text);

/* co_fleet.c */

void co_fleet_init (struct co_core *core);

/* Put the fleet configuration of ENTRY in force.  Return false, changing
   nothing, if its YAML can't be parsed.  */
bool co_fleet_apply_configuration (struct co_core *core,
                                   const struct co_log_entry *entry);

/* Apply ENTRY if its version is the next one of the log; return whether it is.
   An entry whose change can't be applied is counted and has no other effect,
   on all members alike.  */
bool co_fleet_apply_entry (struct co_core *core,
                           const struct co_log_entry *entry);

/* Apply log entries that were read from the table or received from a peer, in
   order, skipping those already applied.  A row that can't be decoded is
   counted.  */
void co_fleet_apply_rows (struct co_core *core, const struct co_row *rows,
                          uint32_t count);
void co_fleet_apply_entries (struct co_core *core,
                             const struct co_log_entry *entries,
                             uint32_t count);

/* Send the log entries after the version AFTER to the member with the
   incarnation RECIPIENT, unless there are none or more of them than the log
   tail can hold.  */
void co_fleet_send_entries (struct co_core *core, uint64_t recipient,
                            uint64_t after);

/* Replace the list of live hosts by HOSTS, unless one that was requested later
   has arrived already.  */
void co_fleet_update_live_hosts (struct co_core *core,
                                 const struct co_event_host_list *hosts);

/* Return the position that INDEX, a table from names to positions plus 1,
   holds for NAME, or CO_NO_INDEX if it holds none or NAME is NULL.  */
int co_find_index (GHashTable *index, const char *name);

/* Return whether the list of live hosts is recent enough to check availability
   budgets against.  */
bool co_host_list_is_recent (const struct co_core *core);

/* Return whether HOST is configured, active, live, not about to be removed by
   the platform and in no evacuated zone, so that it counts towards its pool's
   availability budget.  An ejected host counts as well.  */
bool co_host_is_available (const struct co_host *host);

/* Return whether HOST would be available if its zone were not evacuated.  */
bool co_host_is_in_service (const struct co_host *host);

/* co_host.c */

/* Take the host at INDEX off its list and out of the sums of its pool.  This
   must precede any change of the host's pool or ejection, because it needs the
   old values; co_host_refresh puts the host back.  A host that is on no list
   and counted in no sum is left as it is.  */
void co_host_remove_from_pool (struct co_core *core, int index);

/* Recompute what the host at INDEX adds to the sums of its pool, and put it on
   the list for its number of free slots.  */
void co_host_refresh (struct co_core *core, int index);

/* Return the index of the host with the most free slots in the pool at
   POOL_INDEX, or CO_NO_INDEX if no host has one.  The host AVOID is returned
   only when there is no other; CO_NO_INDEX avoids none.  */
int co_host_select (struct co_core *core, int pool_index, int avoid);

/* Add the result of an attempt on the host at INDEX to the failure rates of
   the host and its pool.  A failure may eject the host; a success on trial
   ends the trial and resets the host's failure rate.  */
void co_host_record_result (struct co_core *core, int index, bool failed);

/* Put the hosts whose ejection has ended back in service, on trial.  */
void co_host_readmit_tick (struct co_core *core);

/* Return how many requests this member may start on HOST now; it may be
   negative.  A host on trial gets one request at a time.  */
int64_t co_host_free_slots (const struct co_core *core,
                            const struct co_host *host);

/* co_zone.c */

/* Return whether one of the COUNT maintenance orders in ORDERS evacuates
   ZONE.  */
bool co_zone_is_evacuated (const struct co_maintenance_order *orders,
                           uint32_t count, const char *zone);

/* Bring the hosts up to date with the evacuations, after these or the zones of
   hosts have changed.  */
void co_zone_update_hosts (struct co_core *core);

/* Count the begin or the end, by its state, of the evacuation ORDER, and
   report it to the driver.  LOG_VERSION is that of the change or snapshot.  */
void co_zone_report (struct co_core *core,
                     const struct co_maintenance_order *order,
                     uint64_t log_version);

/* If CHANGE orders or ends an evacuation, have it change the order for the
   zone that exists already, if there is one.  */
void co_zone_resolve_order (const struct co_core *core,
                            struct co_change *change);

/* Check CHANGE, which orders or ends an evacuation: there must be hosts in its
   zone, or an order for it.  Return an enum co_change_result, and set *DETAIL
   unless it is CO_CHANGE_RESULT_OK.  */
uint32_t co_zone_check_change (struct co_core *core,
                               const struct co_change *change, char **detail);

/* Return REASON, or CO_REASON_ZONE_EVACUATED if POOL has no host to start
   requests on because of evacuations.  */
enum co_reason co_zone_refusal_reason (const struct co_pool *pool,
                                       enum co_reason reason);

/* co_view.c */

void co_view_init (struct co_core *core);

/* Handle the result of a poll: the view row and new log entries.  */
void co_view_poll_done (struct co_core *core,
                        const struct co_event_poll_done *poll);

/* Take the steps of membership that are due: polls, heartbeats, evictions, the
   confirmation of the view, and leaving it in a planned stop.  */
void co_view_tick (struct co_core *core);

/* Handle the result of a write of the view, an enum co_store_result.  */
void co_view_write_done (struct co_core *core, uint32_t result);

/* Return whether this member has a membership lease now.  */
bool co_has_lease (const struct co_core *core);

/* Return whether the last successful poll of the table was sent no longer ago
   than the lease duration.  */
bool co_table_read_is_recent (const struct co_core *core);

/* Return whether this member is the leader: the first one in the view.  */
bool co_is_leader (const struct co_core *core);

/* Return the peer slot of the member or departed member INCARNATION, or
   CO_NO_INDEX.  */
int co_peer_slot (const struct co_core *core, uint64_t incarnation);

/* Return whether the process at PEER_SLOT, which may be CO_NO_INDEX, is in the
   view.  */
bool co_is_member (const struct co_core *core, int peer_slot);

/* Return the incarnation of the member that owns IDEMPOTENCY_KEY and decides
   its claims; 0 if the view has no members.  */
uint64_t co_claim_owner (const struct co_core *core,
                         const char *idempotency_key);

/* Have the next tick poll the table.  */
void co_schedule_poll (struct co_core *core);

/* Begin a planned stop.  */
void co_begin_stop (struct co_core *core);

/* Return whether the current view is confirmed, that is, its base equals its
   members.  */
bool co_view_is_confirmed (const struct co_core *core);

/* Return whether majorities of the members and of the base have applied the
   log up to LOG_VERSION.  */
bool co_majority_has_log_version (const struct co_core *core,
                                  uint64_t log_version);

/* co_heartbeat.c */

/* Send a heartbeat to every other member.  */
void co_heartbeat_send (struct co_core *core);

/* Record that the process at PEER_SLOT, a member or a departed one, knows the
   view VERSION.  A departed member that knows a view without itself starts
   no more requests.  */
void co_heartbeat_note_view (struct co_core *core, int peer_slot,
                             uint64_t version);

/* Handle a heartbeat from the member at PEER_SLOT.  */
void co_heartbeat_receive (struct co_core *core, int peer_slot,
                           const struct co_msg_heartbeat *heartbeat);

/* co_quota.c */

/* Return the index of the quota called PREFIX/NAME, which is added if there is
   none.  IS_HOST_SLOTS tells whether it counts a host's worker slots or a
   team's requests.  */
int co_quota_find_or_add (struct co_core *core, const char *prefix,
                          const char *name, bool is_host_slots);

/* Return the units of QUOTA that this member holds, in use or not.  */
int64_t co_quota_held (const struct co_quota *quota);

/* Return the units of QUOTA that this member holds and doesn't use.  */
int64_t co_quota_unused (const struct co_quota *quota);

/* Return whether units of QUOTA may be acquired.  They may not before the
   quota is in the ledger, nor while the ledger grants more than the configured
   limit: members have to retire the surplus first.  */
bool co_quota_is_usable (const struct co_core *core,
                         const struct co_quota *quota);

/* Begin or end the use of one unit of the quota at INDEX.  To acquire a unit,
   this member must hold an unused one.  */
void co_quota_acquire (struct co_core *core, int index);
void co_quota_release (struct co_core *core, int index);

/* Lend COUNT unused units of the quota at INDEX to the member at
   PEER_SLOT.  */
void co_quota_lend (struct co_core *core, int index, int peer_slot,
                    int64_t count);

/* Send the transfers that are queued and empty the queue.  Transfers that
   are not acknowledged are queued again by co_quota_queue_unacked.  */
void co_quota_send_transfers (struct co_core *core);

/* Queue the transfers that have not been acknowledged.  */
void co_quota_queue_unacked (struct co_core *core);

/* Add what the member at PEER_SLOT has lent since its last message, and
   acknowledge TRANSFERS by returning them.  Totals that are not greater than
   the known ones come from repeated or delayed messages and add nothing.  */
void co_quota_receive_transfers (struct co_core *core, int peer_slot,
                                 const struct co_msg_transfers *transfers);

/* Handle the acknowledgement of TRANSFERS by the member at PEER_SLOT.  The
   acknowledgement of an older total leaves the current one unacknowledged.  */
void co_quota_receive_acks (struct co_core *core, int peer_slot,
                            const struct co_msg_transfers *transfers);

/* Update what depends on this member's balance of the quota at INDEX, after
   the balance has changed: the host, and the pools to dispatch.  */
void co_quota_notify_changed (struct co_core *core, int index);

/* Drop the totals of the quota at INDEX that were exchanged with the departed
   member at PEER_SLOT, because the grants in the ledger now include them.  */
void co_quota_forget_peer (struct co_core *core, int index, int peer_slot);

/* co_borrow.c */

/* Handle REQUEST of the member at peer slot BORROWER: lend what can be lent
   now and remember the rest for a short time.  It replaces that member's
   earlier request for the same team or pool.  */
void co_borrow_handle_request (struct co_core *core, int borrower,
                               const struct co_msg_quota_request *request);

/* If the team at INDEX has more requests waiting than unused units of quota,
   or the pool at INDEX more than free slots, ask another member for the
   difference, at most once per quota_request_interval.  */
void co_borrow_for_team (struct co_core *core, int index);
void co_borrow_for_pool (struct co_core *core, int index);

/* Serve the remembered requests of other members for the team or pool at
   INDEX, after a unit or slot was released.  */
void co_borrow_serve_team (struct co_core *core, int index);
void co_borrow_serve_pool (struct co_core *core, int index);

/* Lend all unused quota to the other members, in about equal parts, before
   this member leaves the view.  */
void co_borrow_lend_all (struct co_core *core);

/* co_ledger.c */

/* Report transfers, and read and write the rows of the ledger as needed.  */
void co_ledger_tick (struct co_core *core);

/* Handle the result of reading or writing the row of SHARD.  An absent row
   counts as an empty row of version 0.  RESULT is an enum co_store_result.  */
void co_ledger_read_done (struct co_core *core, int shard,
                          const struct co_event_read_done *done);
void co_ledger_write_done (struct co_core *core, int shard, uint32_t result);

/* Note the versions of ledger rows that the sender of HEARTBEAT has, so that
   rows with newer versions are read.  */
void co_ledger_note_versions (struct co_core *core,
                              const struct co_msg_heartbeat *heartbeat);

/* As the leader, store REPORT of the member at PEER_SLOT if it is the member's
   first one for the current view.  */
void co_ledger_receive_report (struct co_core *core, int peer_slot,
                               const struct co_msg_transfer_report *report);

/* Encode or decode a row of the ledger.  */
void co_ledger_row_serialize (struct ba_codec *io, struct co_ledger_row *row);

/* co_claim.c */

void co_claim_init (struct co_core *core);

/* Ask the owner of REQUEST's idempotency key for the claim.  Asking again is
   harmless.  The result goes to co_request_claim_decided.  If this member is
   the owner, that may happen before the return, so REQUEST may be freed.  */
void co_claim_acquire (struct co_core *core, struct co_request *request);

/* Handle a message about claims or cached answers from the member FROM.  */
void co_claim_handle_message (struct co_core *core, uint64_t from,
                              const struct co_msg *message);

/* Handle the result of reading the journal, or of writing the current batch
   of claims to it.  RESULT is an enum co_store_result.  */
void co_claim_journal_read_done (struct co_core *core,
                                 const struct co_event_read_done *done);
void co_claim_journal_write_done (struct co_core *core, uint32_t result);

/* Forget what has expired.  As a member, also repeat a journal write whose
   result is unknown, refuse the queued claims while the table is unreachable,
   and read the journal if the view has changed since it was read.  */
void co_claim_tick (struct co_core *core);

/* Refuse the claims whose write has not begun, because this member may not own
   their keys in the new view.  */
void co_claim_view_changed (struct co_core *core);

/* Return what this member knows about its execution of the request with
   IDEMPOTENCY_KEY, or NULL.  Valid until the execution expires.  */
struct co_execution *co_execution_find (struct co_core *core,
                                        const char *idempotency_key);

/* Record that this member's execution for IDEMPOTENCY_KEY is in STATE, an enum
   co_execution_state, and drop its cached answer.  The execution is added if
   it is not known.  */
void co_execution_set_state (struct co_core *core, const char *idempotency_key,
                             uint32_t state);

/* Record that the execution for IDEMPOTENCY_KEY was answered with DONE.  The
   answer is copied if it is whole and small enough and there is room for it;
   otherwise the state becomes CO_EXECUTION_TOO_LARGE.  */
void co_execution_cache_answer (struct co_core *core,
                                const char *idempotency_key,
                                const struct co_event_attempt_done *done);

/* Tell the owner of IDEMPOTENCY_KEY that this member's request REQUEST_ID,
   which holds the claim, was not run.  */
void co_claim_release (struct co_core *core, const char *idempotency_key,
                       uint64_t request_id);

/* co_dispatch.c */

/* Return the number of requests in BACKLOG, of either priority.  */
uint32_t co_backlog_length (const struct co_backlog *backlog);

void co_dispatch_init (struct co_core *core);

/* Handle a new request: refuse it, answer it from an earlier execution, or put
   it in its team's backlog.  */
void co_request_receive (struct co_core *core,
                         const struct co_event_request *event);

/* Handle the disconnection of the caller of request ID.  A waiting request
   ends now, and one that is being claimed ends once its claim is decided.  A
   running request goes on, and its answer is dropped.  */
void co_request_caller_gone (struct co_core *core, uint64_t id);

/* Handle the end of an attempt: answer or refuse the request, or retry it.  */
void co_request_attempt_done (struct co_core *core,
                              const struct co_event_attempt_done *done);

/* Handle the decision on REQUEST's claim, which may free REQUEST.  RESULT is
   an enum co_claim_result; EXECUTOR is the incarnation that holds the
   claim.  */
void co_request_claim_decided (struct co_core *core,
                               struct co_request *request, uint32_t result,
                               uint64_t executor);

/* Handle REPLY of the executor that holds the claim of REQUEST's idempotency
   key: give REQUEST its final answer and free it.  */
void co_request_fetch_done (struct co_core *core, struct co_request *request,
                            const struct co_msg_fetch_reply *reply);

/* Return the request that the driver knows as ID, or NULL if it has ended.  */
struct co_request *co_request_find (struct co_core *core, uint64_t id);

/* Dispatch the pools that are marked needs_dispatch, until none is.  */
void co_dispatch_pools (struct co_core *core);

/* Release orphaned slots whose deadline has passed, handle the requests whose
   timers are due, and mark the pools with waiting requests for dispatch.
   Without a lease, refuse all waiting requests.  */
void co_dispatch_tick (struct co_core *core);

/* Return the number of requests that TEAM runs in POOL, from this entry host
   and, by their last heartbeats, from the others.  */
uint32_t co_team_running_in_fleet (const struct co_core *core,
                                   const struct co_pool *pool, int team);

/* co_admit.c */

/* Decide whether the request of EVENT may wait for a start, and fill in the
   queue, pool, team and urgency of REQUEST, whose deadline is set.  Return
   CO_REASON_NONE, or the reason to refuse it.  */
enum co_reason co_admit (struct co_core *core,
                         const struct co_event_request *event,
                         struct co_request *request);

/* Return how long REQUEST is expected to wait for its start.  */
co_time co_estimate_wait (const struct co_core *core,
                          const struct co_request *request);

/* Return the latest time at which REQUEST may start; a request that still
   waits then is refused.  */
co_time co_latest_start (const struct co_core *core,
                         const struct co_request *request);

/* Return the number of milliseconds after which a caller that was refused for
   REASON should retry, or 0 if a retry can't help.  WAIT is the expected wait.
   Jitter is added so that callers don't retry together.  */
uint32_t co_retry_after_ms (struct co_core *core, enum co_reason reason,
                            co_time wait);

/* co_snapshot.c */

/* Read the snapshot row, unless a read of it is in flight.  */
void co_snapshot_read (struct co_core *core);

/* Handle the result of reading or writing the snapshot.  RESULT is an enum
   co_store_result.  */
void co_snapshot_read_done (struct co_core *core,
                            const struct co_event_read_done *done);
void co_snapshot_write_done (struct co_core *core, uint32_t result);

/* As the leader, write a snapshot if the log has grown enough.  */
void co_snapshot_tick (struct co_core *core);

/* co_change.c */

/* Handle a change that an operator submitted.  */
void co_change_submit (struct co_core *core,
                       const struct co_event_change *event);

/* Queue a copy of CHANGE as one of the leader's own, which is not reported to
   the driver, unless a change with the same TOKEN is pending.  */
void co_change_propose (struct co_core *core, const char *token,
                        const struct co_change *change);

/* Handle RESULT, an enum co_store_result, of the write of a log entry.  */
void co_change_write_done (struct co_core *core, uint32_t result);

/* Advance every pending change and start the next one.  */
void co_change_tick (struct co_core *core);

/* After the log was read, find out whether a write whose reply was lost or
   that met a conflict has happened.  */
void co_change_check_log (struct co_core *core);

/* co_reconcile.c */

/* As the leader, take the next steps of drains, moves, maintenance orders and
   rebalancing.  */
void co_reconcile_tick (struct co_core *core);

/* Propose to move the host at index HOST to the pool at index POOL.  CAUSE is
   as in struct co_change.  */
void co_propose_move (struct co_core *core, int host, int pool,
                      uint64_t cause);

/* As the leader, update the load of every pool that is not spare, and propose
   to lend one host to the pool or to return one where needed.  Does nothing
   until the update interval has passed.  */
void co_rebalance_tick (struct co_core *core);

/* Return whether HOST may be removed from service: the pool's other available
   hosts must meet its availability budget.  */
bool co_budget_allows_removal (const struct co_core *core,
                               const struct co_host *host);

/* Return whether HOST is configured and in the pool, rack or zone of
   ORDER.  */
bool co_order_includes_host (const struct co_core *core,
                             const struct co_maintenance_order *order,
                             const struct co_host *host);

#endif
