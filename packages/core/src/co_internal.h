#ifndef CO_INTERNAL_H
#define CO_INTERNAL_H

/* Structures shared by the files of the decision core.  Hosts, pools, teams,
   queues and rights live in tables that only grow; the other parts refer to
   them by index.  */

#include "co_core.h"

#include "ba_hash.h"

#include <glib.h>

enum
{
  CO_NO_INDEX = -1,             /* no index */
  CO_LOG_TAIL_COUNT = 512,      /* entries kept for peers that are behind */
  CO_LEDGER_SHARD_COUNT = 9,    /* shard 0: teams; the others: hosts by hash */
  CO_PEER_SLOT_COUNT = 80,      /* members and departed, by slot */
  CO_FREE_SLOT_LIST_COUNT = 65, /* free slots of a host, 0 to 64 */
  CO_MAX_ATTEMPT_COUNT = 3,     /* starts of one request at most */
  CO_MAX_CLAIM_BATCH_COUNT = 256 /* claims in one journal row */
};

/* ---- rights ---- */

/* Rights of this member in one resource: a team's upper limit or a host's
   worker slots.  Members' totals are cumulative, so that a lost or repeated
   message never makes a right.  */
struct co_quota
{
  char *name;            /* "t/TEAM" or "h/HOST" */
  bool is_host_slots;    /* of a host, else of a team */
  int owner;             /* index of the host or team, or CO_NO_INDEX */
  int shard;             /* ledger row */
  int64_t limit;         /* wanted total, from the configuration */
  int64_t granted_total; /* sum of all grants in the ledger; -1: not in it */
  int64_t own_grant;     /* of this member, from the ledger */
  int64_t retiring; /* taken out of use while a ledger write is under way */
  int64_t in_use;
  int64_t net_received; /* sum of received less sum of sent */
  uint32_t sent_total[CO_PEER_SLOT_COUNT];
  uint32_t received_total[CO_PEER_SLOT_COUNT];
  uint64_t unacked[2]; /* bit set of slots whose `sent' is unacknowledged */
  bool send_queued;    /* on the list to send */
};

/* ---- fleet ---- */

struct co_host
{
  char *name;
  char *address;
  char *zone;
  char *rack;
  bool configured; /* in the current configuration */
  int pool;
  int target_pool;     /* pool it moves to, or CO_NO_INDEX */
  int configured_pool; /* pool in the configuration */
  uint32_t state;
  uint64_t generation;
  uint64_t changed_at_version; /* log version of the last change of state */
  uint64_t completed_order;
  uint64_t cause; /* order that drains it, CO_CAUSE_REBALANCE, or 0 */
  int quota;      /* its worker slots */
  bool live;
  bool leaving;
  uint64_t boot_id;
  uint64_t drained_boot_id; /* boot at which it was drained */
  co_time reboot_at;        /* when the next reboot may be ordered */
  uint32_t running;         /* from this entry host, lingering ones included */
  /* health */
  double failure_rate; /* decaying average of 0 (answered) and 1 (failed) */
  uint32_t sample_count;
  co_time ejected_until;          /* 0: in service */
  uint32_t consecutive_ejections; /* in a row */
  bool on_trial;
  /* list of hosts of one pool with equal free slots */
  int free_slot_list; /* CO_NO_INDEX: on no list */
  int next_in_list, previous_in_list;
  /* what it adds to its pool's sums */
  int64_t counted_free_slots, counted_held_slots;
  bool counted_usable;
  bool counted_available; /* counts towards the pool's availability budget */
  int64_t counted_capacity;
};

/* Waiting requests of one team in one pool.  See co_backlog_length.  */
struct co_backlog
{
  GQueue urgent;
  GQueue archive;
};

struct co_pool
{
  char *name;
  bool configured;
  int64_t min_available;
  bool spare;
  int hosts_by_free_slots[CO_FREE_SLOT_LIST_COUNT]; /* first host with that
                                                     * many free slots
                                                     */
  int max_free_slots;       /* no host has more free slots than this */
  int64_t free_slots;       /* of usable hosts, held by this member */
  int64_t held_slots;       /* of usable hosts */
  uint32_t usable_hosts;    /* usable hosts */
  uint32_t available_hosts; /* hosts that count towards the budget */
  uint32_t ejected_hosts;   /* of those, taken out because they fail */
  int64_t capacity_slots;   /* slots of the available hosts */
  double load;              /* decaying average of demand against capacity */
  co_time rebalanced_at;    /* last move by load */
  uint32_t waiting;
  uint32_t running;
  struct co_backlog *backlogs;                /* by team */
  uint32_t *own_running;                      /* running requests, by team */
  uint32_t *peer_running[CO_PEER_SLOT_COUNT]; /* the same at other members */
  double mean_service_time; /* decaying average, microseconds */
  double failure_rate;      /* decaying average over all hosts */
  double retry_budget;      /* retries that may be made now */
  co_time quota_requested_at;
  int64_t requested_by_peer[CO_PEER_SLOT_COUNT]; /* slots asked for by other
                                                    members */
  co_time peer_request_expires_at[CO_PEER_SLOT_COUNT];
  bool needs_dispatch; /* dispatch before the step ends */
};

struct co_team
{
  char *name;
  bool configured;
  int64_t share;
  int64_t limit;
  int quota;
  uint32_t running;
  uint32_t waiting;
  co_time quota_requested_at;
  int64_t requested_by_peer[CO_PEER_SLOT_COUNT];
  co_time peer_request_expires_at[CO_PEER_SLOT_COUNT];
};

struct co_queue
{
  char *name;
  bool configured;
  int pool;
  int open_team;
  uint32_t priority;
  int64_t max_waiting;
  uint32_t waiting;
};

struct co_maintenance_order
{
  uint64_t id;
  uint32_t state;
  uint32_t scope;
  char *scope_name;
  uint64_t completed_at_version; /* log version at which all its hosts were
                                    done, or 0 */
};

/* ---- members ---- */

struct co_peer
{
  uint64_t incarnation;
  bool is_member;            /* in the view, else departed */
  uint32_t departure;        /* departed: enum co_departure */
  co_time first_seen;        /* first seen in the view */
  co_time last_heartbeat_at; /* last heartbeat; 0: none */
  co_time lease_expires_at;  /* departed: when it can't have standing; 0: not
                                known */
  uint32_t
      settled_shards;    /* departed: shards whose ledger row has settled it */
  uint64_t view_version; /* in its last heartbeat */
  uint64_t log_version;
  uint64_t report_view_version; /* view version of its last report of seals */
  co_time report_sent_at;       /* own slot: when this member last reported */
  struct co_transfer_balance *reported_balances;
  uint32_t reported_balance_count;
  struct co_msg_heartbeat *last_heartbeat; /* last one, or NULL */
};

enum co_membership_phase
{
  CO_PHASE_JOINING,
  CO_PHASE_MEMBER,
  CO_PHASE_LEAVING,
  CO_PHASE_ENDED
};

/* ---- requests ---- */

enum co_request_state
{
  CO_REQUEST_WAITING,
  CO_REQUEST_CLAIMING,
  CO_REQUEST_FETCHING, /* asking the executor of the same identity */
  CO_REQUEST_RUNNING
};

struct co_request
{
  uint64_t id;
  uint32_t state;
  int queue, pool, team;
  int host;       /* where it runs, or CO_NO_INDEX */
  int avoid_host; /* host of the last failed attempt, or CO_NO_INDEX */
  bool urgent;
  co_time latest_start; /* when it is given up if it still waits */
  bool idempotent;
  bool caller_gone; /* the caller went away */
  bool claimed;
  bool maybe_sent; /* an earlier attempt may have reached a backend server */
  uint32_t attempt_count;
  char *idempotency_key; /* "TEAM/IDENTITY", or NULL */
  co_time arrived_at;
  co_time started_at;
  co_time deadline;
  co_time state_deadline;  /* when claiming or fetching is given up */
  co_time claim_resend_at; /* when the claim is asked for again */
  GList backlog_link;      /* in its line */
  GSequenceIter *timer;
};

/* Slot and right that stay taken by a request whose end is not known.  */
struct co_orphaned_slot
{
  int host, team, pool;
  co_time occupied_until;
};

/* What is known of an identity that this member executes.  */
struct co_execution
{
  char *idempotency_key;
  uint32_t state;      /* enum co_execution_state */
  uint64_t request_id; /* request that last claimed it here */
  co_time expires_at;
  uint32_t http_status;
  char *headers;
  struct ba_bytes body;
};

/* A claim, as far as this member has read or written the journal.  */
struct co_claim
{
  char *idempotency_key;
  uint64_t executor;     /* 0: released */
  uint64_t request_id;   /* the executor's request that was granted it */
  uint64_t view_version; /* of the record it comes from */
  bool durable;
  co_time expires_at;
};

/* A change of a claim that is to be made durable.  */
struct co_claim_record
{
  char *idempotency_key;
  uint64_t executor;
  bool released;
  uint64_t request_id; /* of the executor, for the reply */
};

/* ---- operations under way ---- */

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

struct co_store_op
{
  uint64_t id;
  uint32_t kind;
  int index; /* shard, or slot of a journal's member */
};

/* A grant of one resource, as the ledger records it.  */
struct co_grant
{
  uint64_t incarnation;
  int64_t count;
};

struct co_ledger_item
{
  char *resource;
  struct co_grant *grants;
  uint32_t grant_count;
};

/* One row of the ledger.  */
struct co_ledger
{
  uint64_t version;
  struct co_ledger_item *items;
  uint32_t item_count;
  uint64_t *settled; /* departed members whose transfers are in the grants */
  uint32_t settled_count;
};

struct co_ledger_shard
{
  struct co_ledger *current_row;  /* last read, or NULL */
  GHashTable *resource_index;     /* resource -> position + 1 in row */
  struct co_ledger *pending_row;  /* to become `row' when its write is done */
  bool write_uncertain;           /* the reply to that write was lost */
  bool conflict_unresolved;       /* a read is to tell what a conflict means */
  bool write_pending;             /* a write is under way */
  uint64_t required_view_version; /* view version that the write depends on; 0:
                                     any */
  uint64_t announced_version;     /* highest version a peer has named */
  bool read_pending;
  co_time retry_at;
};

enum co_pending_change_state
{
  CO_PENDING_QUEUED,
  CO_PENDING_WRITING,
  CO_PENDING_CHECKING_LOG, /* the reply was lost: look in the log */
  CO_PENDING_AWAITING_ACKS
};

struct co_pending_change
{
  uint64_t change_id; /* driver's; 0: made by this core */
  uint32_t state;
  struct co_log_entry entry;
  bool write_uncertain; /* an earlier write may have happened */
  co_time started_at;
  co_time retry_at;
};

struct co_core
{
  struct co_options options;
  GRand *random;
  co_time now;
  struct co_outbox *outbox; /* of the present step */
  uint64_t last_op_id;
  GHashTable *store_ops; /* id -> struct co_store_op */
  uint64_t counters[CO_COUNTER_COUNT];
  uint64_t refusals[CO_REASON_COUNT];

  /* fleet (co_fleet.c) */
  uint64_t log_version;
  uint64_t fleet_version;
  char *fleet_text;
  struct cf_fleet *fleet; /* as applied, or NULL */
  struct co_host **hosts;
  struct co_pool **pools;
  struct co_team **teams;
  struct co_queue **queues;
  struct co_maintenance_order *orders;
  uint32_t host_count, pool_count, team_count, queue_count, order_count;
  uint32_t team_capacity; /* length of the pools' arrays by team */
  GHashTable *host_index, *pool_index, *team_index, *queue_index;
  GHashTable *api_keys;      /* hash -> team name */
  GHashTable *change_tokens; /* token -> version, of the tail */
  struct co_log_entry
      *log_tail[CO_LOG_TAIL_COUNT]; /* by version modulo its length */
  GHashTable *live_hosts; /* name -> struct co_live_host, last host list */
  bool host_list_seen;
  co_time host_list_requested_at; /* when the last list was asked for */

  /* members (co_view.c) */
  enum co_membership_phase phase;
  bool stopping;
  co_time stop_at;
  struct co_view view;
  bool view_loaded;
  uint64_t view_write_op_id; /* op, or 0 */
  struct co_view *proposed_view;
  co_time view_applied_at; /* when the present view was first seen */
  co_time view_retry_at;
  struct co_peer peers[CO_PEER_SLOT_COUNT];
  co_time table_read_at; /* when the last good read was sent; 0: never */
  bool table_unreachable;
  bool had_lease;
  co_time next_poll_at, next_heartbeat_at, next_periodic_at, next_rebalance_at;

  /* rights (co_quota.c, co_ledger.c) */
  struct co_quota **quotas;
  uint32_t quota_count;
  GHashTable *quota_index;
  GArray *quotas_to_send; /* int: rights with dirty bits, once each */
  struct co_ledger_shard shards[CO_LEDGER_SHARD_COUNT];

  /* requests (co_dispatch.c) */
  GHashTable *requests;      /* id -> struct co_request */
  GSequence *request_timers; /* waiting, claiming and fetching, by time */
  GArray *orphaned_slots;

  /* claims (co_claim.c) */
  GHashTable *executions; /* identity -> struct co_execution */
  GQueue execution_order; /* oldest first */
  uint64_t cached_answer_bytes;
  GHashTable *claims;      /* identity -> struct co_claim */
  GQueue claim_order;      /* oldest first */
  GQueue unwritten_claims; /* struct co_claim_record: not yet written */
  struct co_claim_record **claim_batch; /* being written */
  uint32_t claim_batch_count;
  uint64_t claim_batch_view_version; /* view version that guards it */
  uint64_t claim_batch_sequence;
  bool claim_batch_write_pending; /* its write is under way */
  co_time claim_batch_retry_at;
  uint64_t
      journal_read_version; /* view version up to which the journal is read */
  bool journal_read_pending;
  uint64_t
      journal_read_target_version; /* view version when the read was sent */
  co_time journal_retry_at;

  /* snapshots (co_snapshot.c) */
  bool snapshot_loaded;      /* looked for, at the start */
  uint64_t snapshot_version; /* of the row, as far as known */
  uint64_t snapshot_proposed_version;
  bool snapshot_read_pending, snapshot_write_pending;
  co_time snapshot_retry_at;

  /* changes (co_change.c) */
  GQueue pending_changes;
};

/* co_core.c */
void co_increment_counter (struct co_core *core, enum co_counter counter);
struct co_action *co_add_action (struct co_core *core, uint32_t type);
struct co_msg *co_add_message (struct co_core *core, uint64_t to,
                               uint32_t type);
uint64_t co_store_op_new (struct co_core *core, uint32_t kind, int index);
char *co_outbox_strdup (struct co_core *core, const char *text);

/* co_fleet.c */
void co_fleet_init (struct co_core *core);
bool co_fleet_apply_configuration (struct co_core *core,
                                   const struct co_log_entry *entry);
bool co_fleet_apply_entry (struct co_core *core,
                           const struct co_log_entry *entry);
void co_fleet_apply_rows (struct co_core *core, const struct co_row *rows,
                          uint32_t count);
void co_fleet_apply_entries (struct co_core *core,
                             const struct co_log_entry *entries,
                             uint32_t count);
void co_fleet_send_entries (struct co_core *core, uint64_t from,
                            uint64_t after);
void co_fleet_update_live_hosts (struct co_core *core,
                                 const struct co_event_host_list *hosts);
int co_find_index (GHashTable *index, const char *name);
bool co_host_list_fresh (const struct co_core *core);
bool co_host_is_available (const struct co_host *host);

/* co_worker.c */
void co_worker_remove_from_pool (struct co_core *core, int host);
void co_worker_refresh (struct co_core *core, int host);
int co_worker_select (struct co_core *core, int pool, int avoid);
void co_worker_record_result (struct co_core *core, int host, bool failed);
void co_worker_readmit_tick (struct co_core *core);
int64_t co_worker_free_slots (const struct co_core *core,
                              const struct co_host *host);

/* co_view.c */
void co_view_init (struct co_core *core);
void co_view_poll_done (struct co_core *core,
                        const struct co_event_poll_done *poll);
void co_view_tick (struct co_core *core);
void co_view_write_done (struct co_core *core, uint32_t result);
bool co_has_lease (const struct co_core *core);
bool co_table_read_is_recent (const struct co_core *core);
bool co_is_leader (const struct co_core *core);
int co_peer_slot (const struct co_core *core, uint64_t incarnation);
bool co_is_member (const struct co_core *core, int slot);
uint64_t co_claim_owner (const struct co_core *core, const char *identity);
void co_schedule_poll (struct co_core *core);
void co_begin_stop (struct co_core *core);
bool co_view_is_confirmed (const struct co_core *core);
bool co_majority_has_log_version (const struct co_core *core,
                                  uint64_t log_version);

/* co_heartbeat.c */
void co_heartbeat_send (struct co_core *core);
void co_heartbeat_note_view (struct co_core *core, int slot, uint64_t version);
void co_heartbeat_receive (struct co_core *core, int slot,
                           const struct co_msg_heartbeat *beat);

/* co_quota.c */
int co_quota_find_or_add (struct co_core *core, const char *prefix,
                          const char *name, bool slots);
int64_t co_quota_held (const struct co_quota *right);
int64_t co_quota_unused (const struct co_quota *right);
bool co_quota_is_usable (const struct co_core *core,
                         const struct co_quota *right);
void co_quota_acquire (struct co_core *core, int right);
void co_quota_release (struct co_core *core, int right);
void co_quota_lend (struct co_core *core, int right, int slot, int64_t count);
void co_quota_send_transfers (struct co_core *core);
void co_quota_queue_unacked (struct co_core *core);
void co_quota_receive_transfers (struct co_core *core, int slot,
                                 const struct co_msg_transfers *transfers);
void co_quota_transfers_acked (struct co_core *core, int slot,
                               const struct co_msg_transfers *transfers);
void co_quota_notify_changed (struct co_core *core, int right);
void co_quota_forget_peer (struct co_core *core, int right, int slot);

/* co_borrow.c */
void co_borrow_handle_request (struct co_core *core, int slot,
                               const struct co_msg_quota_request *want);
void co_borrow_for_team (struct co_core *core, int team);
void co_borrow_for_pool (struct co_core *core, int pool);
void co_borrow_serve_team (struct co_core *core, int team);
void co_borrow_serve_pool (struct co_core *core, int pool);
void co_borrow_lend_all (struct co_core *core);

/* co_ledger.c */
void co_ledger_tick (struct co_core *core);
void co_ledger_read_done (struct co_core *core, int shard,
                          const struct co_event_read_done *rows);
void co_ledger_write_done (struct co_core *core, int shard, uint32_t result);
void co_ledger_note_versions (struct co_core *core,
                              const struct co_msg_heartbeat *beat);
void co_ledger_receive_report (struct co_core *core, int slot,
                               const struct co_msg_transfer_report *seals);
void co_ledger_serialize (struct ba_codec *io, struct co_ledger *ledger);

/* co_claim.c */
void co_claim_init (struct co_core *core);
void co_claim_acquire (struct co_core *core, struct co_request *request);
void co_claim_handle_message (struct co_core *core, uint64_t from,
                              const struct co_msg *message);
void co_claim_journal_read_done (struct co_core *core,
                                 const struct co_event_read_done *rows);
void co_claim_journal_write_done (struct co_core *core, uint32_t result);
void co_claim_tick (struct co_core *core);
void co_claim_view_changed (struct co_core *core);
struct co_execution *co_execution_find (struct co_core *core,
                                        const char *identity);
void co_execution_set_state (struct co_core *core, const char *identity,
                             uint32_t kept);
void co_execution_store_answer (struct co_core *core, const char *identity,
                                const struct co_event_attempt_done *done);
void co_claim_release (struct co_core *core, const char *identity,
                       uint64_t op);

/* co_dispatch.c */
uint32_t co_backlog_length (const struct co_backlog *line);
void co_dispatch_init (struct co_core *core);
void co_request_receive (struct co_core *core,
                         const struct co_event_request *r);
void co_request_caller_gone (struct co_core *core, uint64_t id);
void co_request_attempt_done (struct co_core *core,
                              const struct co_event_attempt_done *done);
void co_request_claim_decided (struct co_core *core,
                               struct co_request *request, uint32_t result,
                               uint64_t executor);
void co_request_fetch_done (struct co_core *core, struct co_request *request,
                            const struct co_msg_fetch_reply *answer);
struct co_request *co_request_find (struct co_core *core, uint64_t id);
void co_dispatch_pools (struct co_core *core);
void co_dispatch_tick (struct co_core *core);
uint32_t co_team_running_in_fleet (const struct co_core *core,
                                   const struct co_pool *pool, int team);

/* co_admit.c */
enum co_reason co_admit (struct co_core *core,
                         const struct co_event_request *event,
                         struct co_request *request);
co_time co_estimate_wait (const struct co_core *core,
                          const struct co_request *request);
co_time co_latest_start (const struct co_core *core,
                         const struct co_request *request);
uint32_t co_retry_after_ms (struct co_core *core, enum co_reason reason,
                            co_time wait);

/* co_snapshot.c */
void co_snapshot_read (struct co_core *core);
void co_snapshot_read_done (struct co_core *core,
                            const struct co_event_read_done *rows);
void co_snapshot_write_done (struct co_core *core, uint32_t result);
void co_snapshot_tick (struct co_core *core);

/* co_change.c */
void co_change_submit (struct co_core *core,
                       const struct co_event_change *change);
void co_change_propose (struct co_core *core, const char *token,
                        const struct co_change *change);
void co_change_write_done (struct co_core *core, uint32_t result);
void co_change_tick (struct co_core *core);
void co_change_check_log (struct co_core *core);

/* co_reconcile.c */
void co_reconcile_tick (struct co_core *core);
void co_propose_move (struct co_core *core, int host, int pool,
                      uint64_t cause);
void co_rebalance_tick (struct co_core *core);
bool co_budget_allows_removal (const struct co_core *core,
                               const struct co_host *host);
bool co_order_includes_host (const struct co_core *core,
                             const struct co_maintenance_order *order,
                             const struct co_host *host);

#endif
