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
  CO_NONE = -1,         /* no index */
  CO_LOG_TAIL = 512,    /* entries kept for peers that are behind */
  CO_LEDGER_SHARDS = 9, /* shard 0: teams; the others: hosts by hash */
  CO_MEMBER_SLOTS = 80, /* members and departed, by slot */
  CO_LEVELS = 65,       /* free slots of a host, 0 to 64 */
  CO_ATTEMPTS = 3,      /* starts of one request at most */
  CO_CLAIM_BATCH = 256  /* claims in one journal row */
};

/* ---- rights ---- */

/* Rights of this member in one resource: a team's upper limit or a host's
   worker slots.  Members' totals are cumulative, so that a lost or repeated
   message never makes a right.  */
struct co_right
{
  char *name;      /* "t/TEAM" or "h/HOST" */
  bool slots;      /* of a host, else of a team */
  int owner;       /* index of the host or team, or CO_NONE */
  int shard;       /* ledger row */
  int64_t limit;   /* wanted total, from the configuration */
  int64_t total;   /* sum of all grants in the ledger; -1: not in it */
  int64_t grant;   /* of this member, from the ledger */
  int64_t burning; /* taken out of use while a ledger write is under way */
  int64_t in_use;
  int64_t net; /* sum of received less sum of sent */
  uint32_t sent[CO_MEMBER_SLOTS];
  uint32_t received[CO_MEMBER_SLOTS];
  uint64_t dirty[2]; /* bit set of slots whose `sent' is unacknowledged */
  bool queued;       /* on the list to send */
};

/* ---- fleet ---- */

struct co_host
{
  char *name;
  char *address;
  char *zone;
  char *rack;
  bool defined; /* in the current configuration */
  int pool;
  int target; /* pool it moves to, or CO_NONE */
  int home;   /* pool in the configuration */
  uint32_t state;
  uint64_t generation;
  uint64_t changed; /* log version of the last change of state */
  uint64_t maintained;
  uint64_t cause; /* order that drains it, CO_CAUSE_LENT, or 0 */
  int right;      /* its worker slots */
  bool live;
  bool leaving;
  uint64_t boot;
  uint64_t out_boot; /* boot at which it was drained */
  co_time reboot_at; /* when the next reboot may be ordered */
  uint32_t running;  /* from this entry host, lingering ones included */
  /* health */
  double failures; /* decaying average of 0 (answered) and 1 (failed) */
  uint32_t samples;
  co_time ejected_until; /* 0: in service */
  uint32_t ejections;    /* in a row */
  bool on_trial;
  /* list of hosts of one pool with equal free slots */
  int level; /* CO_NONE: on no list */
  int next, previous;
  /* what it adds to its pool's sums */
  int64_t counted_free, counted_held;
  bool counted;
  bool available; /* counts towards the pool's availability budget */
  int64_t counted_slots;
};

/* Waiting requests of one team in one pool.  See co_backlog_length.  */
struct co_line
{
  GQueue urgent;
  GQueue archive;
};

struct co_pool
{
  char *name;
  bool defined;
  int64_t min_available;
  bool spare;
  int levels[CO_LEVELS]; /* first host with that many free slots */
  int top;               /* no host has more free slots than this */
  int64_t free_slots;    /* of usable hosts, held by this member */
  int64_t held_slots;    /* of usable hosts */
  uint32_t usable;       /* usable hosts */
  uint32_t available;    /* hosts that count towards the budget */
  uint32_t ejected;      /* of those, taken out because they fail */
  int64_t capacity;      /* slots of the available hosts */
  double load;           /* decaying average of demand against capacity */
  co_time balanced_at;   /* last move by load */
  uint32_t waiting;
  uint32_t running;
  struct co_line *lines;           /* by team */
  uint32_t *own;                   /* running requests, by team */
  uint32_t *seen[CO_MEMBER_SLOTS]; /* the same at other members */
  double service_time;             /* decaying average, microseconds */
  double failures;                 /* decaying average over all hosts */
  double retry_budget;             /* retries that may be made now */
  co_time last_want;
  int64_t wants[CO_MEMBER_SLOTS]; /* slots asked for by other members */
  co_time want_until[CO_MEMBER_SLOTS];
  bool dirty; /* dispatch before the step ends */
};

struct co_team
{
  char *name;
  bool defined;
  int64_t share;
  int64_t limit;
  int right;
  uint32_t running;
  uint32_t waiting;
  co_time last_want;
  int64_t wants[CO_MEMBER_SLOTS];
  co_time want_until[CO_MEMBER_SLOTS];
};

struct co_queue
{
  char *name;
  bool defined;
  int pool;
  int open_team;
  uint32_t priority;
  int64_t max_waiting;
  uint32_t waiting;
};

struct co_order
{
  uint64_t order;
  uint32_t state;
  uint32_t scope;
  char *scope_name;
  uint64_t done_at; /* log version at which all its hosts were done, or 0 */
};

/* ---- members ---- */

struct co_peer
{
  uint64_t incarnation;
  bool member;      /* in the view, else departed */
  uint32_t how;     /* departed: enum co_departure */
  co_time since;    /* first seen in the view */
  co_time heard;    /* last heartbeat; 0: none */
  co_time fenced;   /* departed: when it can't have standing; 0: not known */
  uint32_t settled; /* departed: shards whose ledger row has settled it */
  uint64_t view_version; /* in its last heartbeat */
  uint64_t log_version;
  uint64_t seal_version; /* view version of its last report of seals */
  co_time seals_sent;    /* own slot: when this member last reported */
  struct co_seal *seals;
  uint32_t seal_count;
  struct co_msg_heartbeat *beat; /* last one, or NULL */
};

enum co_life
{
  CO_LIFE_JOINING,
  CO_LIFE_MEMBER,
  CO_LIFE_LEAVING,
  CO_LIFE_ENDED
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
  int host;  /* where it runs, or CO_NONE */
  int avoid; /* host of the last failed attempt, or CO_NONE */
  bool urgent;
  co_time start_by; /* when it is given up if it still waits */
  bool idempotent;
  bool gone; /* the caller went away */
  bool claimed;
  bool sent; /* an earlier attempt may have reached a backend server */
  uint32_t attempts;
  char *identity; /* "TEAM/IDENTITY", or NULL */
  co_time arrived;
  co_time started;
  co_time deadline;
  co_time step_by; /* when claiming or fetching is given up */
  co_time ask_at;  /* when the claim is asked for again */
  GList link;      /* in its line */
  GSequenceIter *timer;
};

/* Slot and right that stay taken by a request whose end is not known.  */
struct co_linger
{
  int host, team, pool;
  co_time until;
};

/* What is known of an identity that this member executes.  */
struct co_kept
{
  char *identity;
  uint32_t kept; /* enum co_kept_state */
  uint64_t op;   /* request that last claimed it here */
  co_time until;
  uint32_t status;
  char *headers;
  struct ba_bytes body;
};

/* A claim, as far as this member has read or written the journal.  */
struct co_claim
{
  char *identity;
  uint64_t executor; /* 0: released */
  uint64_t op;       /* the executor's request that was granted it */
  uint64_t view;     /* of the record it comes from */
  bool durable;
  co_time until;
};

/* A change of a claim that is to be made durable.  */
struct co_record
{
  char *identity;
  uint64_t executor;
  bool released;
  uint64_t op; /* of the executor, for the reply */
};

/* ---- operations under way ---- */

enum co_op_kind
{
  CO_OP_VIEW,
  CO_OP_LOG,
  CO_OP_LEDGER_READ,
  CO_OP_LEDGER_WRITE,
  CO_OP_JOURNAL_READ,
  CO_OP_JOURNAL_WRITE,
  CO_OP_SNAPSHOT_READ,
  CO_OP_SNAPSHOT_WRITE
};

struct co_op
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
  struct co_ledger *row;     /* last read, or NULL */
  GHashTable *index;         /* resource -> position + 1 in row */
  struct co_ledger *writing; /* to become `row' when its write is done */
  bool unsure;               /* the reply to that write was lost */
  bool checking;             /* a read is to tell what a conflict means */
  bool write_sent;           /* a write is under way */
  uint64_t guard;     /* view version that the write depends on; 0: any */
  uint64_t announced; /* highest version a peer has named */
  bool reading;
  co_time retry_at;
};

enum co_pending_state
{
  CO_PENDING_QUEUED,
  CO_PENDING_WRITING,
  CO_PENDING_CHECKING, /* the reply was lost: look in the log */
  CO_PENDING_ACKING
};

struct co_pending
{
  uint64_t op; /* driver's; 0: made by this core */
  uint32_t state;
  struct co_entry entry;
  bool unsure; /* an earlier write may have happened */
  co_time started;
  co_time retry_at;
};

struct co_core
{
  struct co_options options;
  GRand *random;
  co_time now;
  struct co_outbox *outbox; /* of the present step */
  uint64_t next_op;
  GHashTable *ops; /* id -> struct co_op */
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
  struct co_order *orders;
  uint32_t host_count, pool_count, team_count, queue_count, order_count;
  uint32_t team_space; /* length of the pools' arrays by team */
  GHashTable *host_index, *pool_index, *team_index, *queue_index;
  GHashTable *keys;                   /* hash -> team name */
  GHashTable *tokens;                 /* token -> version, of the tail */
  struct co_entry *tail[CO_LOG_TAIL]; /* by version modulo its length */
  GHashTable *live; /* name -> struct co_live_host, last host list */
  bool host_list_seen;
  co_time host_list_sent; /* when the last list was asked for */

  /* members (co_view.c) */
  enum co_life life;
  bool stopping;
  co_time stop_at;
  struct co_view view;
  bool view_loaded;
  uint64_t view_writing; /* op, or 0 */
  struct co_view *view_proposed;
  co_time view_since; /* when the present view was first seen */
  co_time view_retry;
  struct co_peer peers[CO_MEMBER_SLOTS];
  co_time table_read; /* when the last good read was sent; 0: never */
  bool table_down;
  bool had_standing;
  co_time next_poll, next_beat, next_duty, next_balance;

  /* rights (co_quota.c, co_ledger.c) */
  struct co_right **rights;
  uint32_t right_count;
  GHashTable *right_index;
  GArray *to_send; /* int: rights with dirty bits, once each */
  struct co_ledger_shard shards[CO_LEDGER_SHARDS];

  /* requests (co_dispatch.c) */
  GHashTable *requests; /* id -> struct co_request */
  GSequence *timers;    /* waiting, claiming and fetching, by time */
  GArray *lingers;

  /* claims (co_claim.c) */
  GHashTable *kept;  /* identity -> struct co_kept */
  GQueue kept_order; /* oldest first */
  uint64_t kept_bytes;
  GHashTable *claims;       /* identity -> struct co_claim */
  GQueue claim_order;       /* oldest first */
  GQueue records;           /* struct co_record: not yet written */
  struct co_record **batch; /* being written */
  uint32_t batch_count;
  uint64_t batch_view; /* view version that guards it */
  uint64_t batch_seq;
  bool batch_sent; /* its write is under way */
  co_time batch_retry;
  uint64_t journal_view; /* view version up to which the journal is read */
  bool journal_reading;
  uint64_t journal_reading_view; /* view version when the read was sent */
  co_time journal_retry;

  /* snapshots (co_snapshot.c) */
  bool snapshot_loaded;      /* looked for, at the start */
  uint64_t snapshot_version; /* of the row, as far as known */
  uint64_t snapshot_proposed;
  bool snapshot_reading, snapshot_writing;
  co_time snapshot_retry;

  /* changes (co_change.c) */
  GQueue pending;
};

/* co_core.c */
void co_count (struct co_core *core, enum co_counter counter);
struct co_outcome *co_emit (struct co_core *core, uint32_t type);
struct co_msg *co_send (struct co_core *core, uint64_t to, uint32_t type);
uint64_t co_op_new (struct co_core *core, uint32_t kind, int index);
char *co_outbox_str (struct co_core *core, const char *text);

/* co_fleet.c */
void co_fleet_init (struct co_core *core);
bool co_fleet_apply_configuration (struct co_core *core,
                                   const struct co_entry *entry);
bool co_fleet_apply_entry (struct co_core *core, const struct co_entry *entry);
void co_fleet_apply_rows (struct co_core *core, const struct co_row *rows,
                          uint32_t count);
void co_fleet_apply_entries (struct co_core *core,
                             const struct co_entry *entries, uint32_t count);
void co_fleet_send_entries (struct co_core *core, uint64_t from,
                            uint64_t after);
void co_fleet_update_live_hosts (struct co_core *core,
                                 const struct co_event_hosts *hosts);
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
void co_view_poll (struct co_core *core, const struct co_event_poll *poll);
void co_view_tick (struct co_core *core);
void co_view_written (struct co_core *core, uint32_t result);
bool co_standing (const struct co_core *core);
bool co_table_fresh (const struct co_core *core);
bool co_is_lead (const struct co_core *core);
int co_slot (const struct co_core *core, uint64_t incarnation);
bool co_is_member (const struct co_core *core, int slot);
uint64_t co_owner (const struct co_core *core, const char *identity);
void co_poll_now (struct co_core *core);
void co_stop (struct co_core *core);
bool co_view_confirmed (const struct co_core *core);
bool co_majority_acked (const struct co_core *core, uint64_t log_version);

/* co_beat.c */
void co_beat_send (struct co_core *core);
void co_beat_knows (struct co_core *core, int slot, uint64_t version);
void co_beat_take (struct co_core *core, int slot,
                   const struct co_msg_heartbeat *beat);

/* co_quota.c */
int co_quota_find_or_add (struct co_core *core, const char *prefix,
                          const char *name, bool slots);
int64_t co_quota_held (const struct co_right *right);
int64_t co_quota_unused (const struct co_right *right);
bool co_quota_is_usable (const struct co_core *core,
                         const struct co_right *right);
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
                               const struct co_msg_want *want);
void co_borrow_for_team (struct co_core *core, int team);
void co_borrow_for_pool (struct co_core *core, int pool);
void co_borrow_serve_team (struct co_core *core, int team);
void co_borrow_serve_pool (struct co_core *core, int pool);
void co_borrow_lend_all (struct co_core *core);

/* co_ledger.c */
void co_ledger_tick (struct co_core *core);
void co_ledger_read_done (struct co_core *core, int shard,
                          const struct co_event_rows *rows);
void co_ledger_write_done (struct co_core *core, int shard, uint32_t result);
void co_ledger_note_versions (struct co_core *core,
                              const struct co_msg_heartbeat *beat);
void co_ledger_receive_report (struct co_core *core, int slot,
                               const struct co_msg_seals *seals);
void co_ledger_serialize (struct ba_io *io, struct co_ledger *ledger);

/* co_claim.c */
void co_claim_init (struct co_core *core);
void co_claim_acquire (struct co_core *core, struct co_request *request);
void co_claim_handle_message (struct co_core *core, uint64_t from,
                              const struct co_msg *message);
void co_claim_journal_read_done (struct co_core *core,
                                 const struct co_event_rows *rows);
void co_claim_journal_write_done (struct co_core *core, uint32_t result);
void co_claim_tick (struct co_core *core);
void co_claim_view_changed (struct co_core *core);
struct co_kept *co_execution_find (struct co_core *core, const char *identity);
void co_execution_set_state (struct co_core *core, const char *identity,
                             uint32_t kept);
void co_execution_store_answer (struct co_core *core, const char *identity,
                                const struct co_event_done *done);
void co_claim_release (struct co_core *core, const char *identity,
                       uint64_t op);

/* co_dispatch.c */
uint32_t co_backlog_length (const struct co_line *line);
void co_dispatch_init (struct co_core *core);
void co_request_receive (struct co_core *core,
                         const struct co_event_request *r);
void co_request_caller_gone (struct co_core *core, uint64_t id);
void co_request_attempt_done (struct co_core *core,
                              const struct co_event_done *done);
void co_request_claim_decided (struct co_core *core,
                               struct co_request *request, uint32_t result,
                               uint64_t executor);
void co_request_fetch_done (struct co_core *core, struct co_request *request,
                            const struct co_msg_answer *answer);
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
void co_snapshot_rows (struct co_core *core, const struct co_event_rows *rows);
void co_snapshot_written (struct co_core *core, uint32_t result);
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
                             const struct co_order *order,
                             const struct co_host *host);

#endif
