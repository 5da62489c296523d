#ifndef JW_WORLD_H
#define JW_WORLD_H

/* A simulation of the environment of the job scheduler in virtual time:
   several entry hosts, a store, backend servers that run tasks under leases
   measured on clocks of their own, a list of the fleet's hosts, and clients
   that retry.  Tests inject faults directly or at random; every violation of
   a guarantee is counted.  With external hosts (struct jw_external_hosts), the
   entry hosts are processes and the time is real.  */

#include "jb_host.h"

#include <glib.h>

/* One-way latency of messages between entry hosts, and of commands and their
   replies except those of the store, which is slower.  Calls of clients and
   their answers arrive at once.  */
#define JW_ONE_WAY_LATENCY_US (1500)

enum
{
  JW_MAX_HOST_COUNT = 64,
  JW_MAX_POOL_COUNT = 6,
  JW_ZONE_COUNT = 3,
  JW_MAX_ROW_BYTES = 8192, /* an eighth of the limit of the platform */
  JW_MAX_ATTEMPTS = 3,     /* failed runs after which a task has failed */
  /* A task may be given up after this number of crashes of backend servers
     where it was running.  */
  JW_MIN_CRASHES_TO_GIVE_UP = 2,
  /* After this number of them it may be started less than this often.  */
  JW_MAX_CRASHES = 3,
  JW_MAX_STARTS_AFTER_CRASHES = 3
};

/* The longest lease of a backend server unless a test sets another one.  */
#define JW_MAX_LEASE_MS 6000

/* Share of a processor, in thousandths, and bandwidth of the link of a large
   and of a small entry host (jw_options.small_hosts).  */
#define JW_LARGE_CPU_SHARE_MILLI (500)
#define JW_LARGE_LINK_BYTES_PER_S (25000000)
#define JW_SMALL_CPU_SHARE_MILLI (120)
#define JW_SMALL_LINK_BYTES_PER_S (1250000)

/* Operations on entry hosts that run as separate processes.  The simulation
   then advances in real time, under a lock held by its creator; only
   wait_until releases that lock.  */
struct jw_external_hosts
{
  void *context;
  /* Wait until UNTIL or until a request or an answer has arrived.  Return the
     current time.  */
  jb_time (*wait_until) (void *context, jb_time until);
  void (*start_host) (void *context, uint32_t index);
  /* Send a signal such as SIGTERM to the process of entry host INDEX.  */
  void (*signal_host) (void *context, uint32_t index, int signal_number);
  /* Send CALL to entry host INDEX.  Its answer is passed to
     jw_receive_answer with NUMBER.  */
  void (*send_call) (void *context, uint64_t number, uint32_t index,
                     const struct jb_call *call);
  /* Deliver the reply to command NUMBER.  The callee may steal its memory.  */
  void (*deliver_reply) (void *context, uint64_t number,
                         const struct jb_reply *reply);
};

/* What becomes of a share of the leases that entry hosts grant to backend
   servers, with probes and starts.  */
enum jw_late_leases
{
  JW_LATE_LEASES_NONE, /* all are granted in time */
  /* Some of the commands are not answered, and are carried out late, even
     while the backend server does not answer.  Either they last until the time
     on the backend server's clock that they ask for, or their time counts from
     their arrival.  */
  JW_LATE_LEASES_UNTIL,
  JW_LATE_LEASES_FROM_ARRIVAL
};

struct jw_options
{
  uint32_t seed;
  uint32_t hosts; /* number of entry hosts */
  /* The last of the hosts are small and the others large.  0: all have an
     unknown share of a processor and links without a limit.  */
  uint32_t small_hosts;
  /* Bit set of the indices of hosts that neither write nor read the names of
     commanded hosts, nor understand queries about processes, like the previous
     version.  Hosts from index 32 on are always of this version.  */
  uint32_t previous_version_hosts;
  uint32_t pools;            /* with one queue each; a standby pool is added */
  uint32_t backends;         /* in each pool */
  int64_t backend_cpu_milli; /* thousandths of a core */
  int64_t org_cpu_limit_milli;  /* of each organisation; 0: no limit */
  uint32_t disabled_safeguards; /* enum jb_safeguard */
  bool lookahead;               /* as in struct jb_bounds */
  bool no_overload_guard;       /* backend servers start what doesn't fit */
  bool needs_advice;            /* task starts need tickets from a policy */
  bool reorder_messages;        /* between entry hosts */
  /* A message for a process that has been replaced reaches the next one on its
     host, as those of hosts of the previous version always do.  */
  bool unbound_links;
  int64_t max_delay_ms; /* of a command that is carried out late; 0: 6000 */
  int64_t max_lease_ms; /* longest lease of a backend server; 0:
                           JW_MAX_LEASE_MS */
  enum jw_late_leases late_leases; /* while jw_world.late_lease_permille is
                                      not 0 */
  bool verbose;                    /* print the log lines of entry hosts */
  /* NULL: entry hosts are part of the simulation.  */
  const struct jw_external_hosts *external_hosts;
  /* First three bytes of backend server addresses, such as "10.0.0".  */
  const char *network_prefix;
  uint32_t backend_port; /* of all backend servers */
};

struct jw_world;

/* Handles a scheduled event.  DATA is a talloc chunk that is freed
   afterwards.  */
typedef void jw_event_handler (struct jw_world *world, void *data);

struct jw_host
{
  struct jw_world *world;
  uint32_t index;
  char name[16];
  struct jb_host *host; /* NULL when it is down or external */
  bool up;              /* external hosts only */
  jb_time frozen_at;    /* when it was last frozen; 0: never */
  uint64_t incarnation;
  uint32_t epoch; /* incremented at each start and kill; what was sent to an
                     earlier epoch is dropped */
  uint64_t last_call;       /* number of the last call sent to this process */
  uint64_t next_run_serial; /* of the last scheduled run; earlier ones are
                               void */
  bool frozen;
  GQueue *held; /* unused */
  bool store_unreachable;
  bool peers_unreachable;
  /* It is cut off from the store and from the hosts outside of the group, but
     not from the others of the group.  */
  bool in_cut_group;
  /* When the store last refused it, or it did not run.  Kept only since the
     first order to evacuate a zone.  */
  jb_time disturbed_at;
  bool backends_unreachable;
  /* It is too busy to send commands to backend servers before their timeout
     has passed.  */
  bool too_busy;
  /* How late its event loop handles the messages, replies and calls that
     arrive.  Its periodic work is done in time.  Not for external hosts.  */
  jb_time event_delay;
  jb_time last_handled_at; /* of the last event that waits, or waited */
  /* Bandwidth of its link in each direction; 0: unlimited.  Only messages
     between entry hosts and the store's answers with a configuration take time
     on it, one after the other.  */
  int64_t link_bytes_per_s;
  jb_time link_in_free_at;
  /* Number of the read whose reply is on the link, and so doesn't time out; 0:
     none.  */
  uint64_t arriving_reply;
  jb_time link_out_free_at;
  /* Messages between entry hosts.  */
  uint64_t sent_messages;
  uint64_t sent_bytes;
  uint64_t received_bytes;
};

/* Chances in a thousand that a command to the store, to a backend server or to
   a host of the fleet is not answered.  Half of these commands are lost; of
   the others, half are carried out late.  */
struct jw_loss_permille
{
  uint32_t store_commands;
  uint32_t backend_commands;
  uint32_t host_commands;
};

/* A command to a backend server that a test delays.  With
   jw_options.late_leases its lease, if it asks for one, is granted late.  */
struct jw_delayed_command
{
  enum jb_command_kind kind;
  bool with_lease;           /* only a command that asks for a lease */
  struct jw_backend *target; /* only a command to this one, unless NULL */
  jb_time delay;             /* 0: none is delayed */
  /* It is carried out in time, and its answer is lost.  What is delayed is a
     second sending by the HTTP client, whose answer arrives.  */
  bool is_resent;
  struct jw_backend *backend; /* of the last one that was delayed, or NULL */
  jb_time delivered_at;       /* when that one is carried out */
};

struct jw_task_run
{
  char *task;
  uint32_t run; /* number of this run of the task */
  jb_time started_at;
  struct jw_backend *backend;
  uint64_t end_serial; /* of the last scheduled end; earlier ones are void */
  bool stopping;
};

struct jw_ended_run
{
  uint64_t number; /* counts the ended runs of the backend server */
  char *task;
  uint32_t run;
  enum jb_run_outcome outcome;
  jb_time ended_at;
};

struct jw_backend
{
  char *instance;
  char *address;
  char *host; /* name of its host in the fleet */
  const char *zone;
  const char *label; /* NULL: none */
  uint32_t pool;
  bool up;
  jb_time ended_at; /* when it went down */
  bool unreachable; /* although it is up */
  bool unlisted;    /* its entry in the store has expired */
  bool draining;
  bool fails_all_runs;
  bool hangs; /* its runs never end by themselves */
  int64_t started_unix_ms;
  double clock_rate; /* relative to virtual time */
  jb_time clock_origin;
  uint64_t fencing_token;
  int64_t lease_until_ms; /* on its own clock */
  uint64_t lease_serial;  /* unused */
  jb_time lapsed_at;      /* when the lease last expired; 0: never */
  uint64_t last_end_number;
  uint64_t acked;          /* unused */
  GPtrArray *runs;         /* struct jw_task_run */
  GPtrArray *ended_runs;   /* struct jw_ended_run, not acknowledged */
  GHashTable *closed_runs; /* task -> highest run that ended or was stopped */
  GPtrArray *waiting_probes; /* answered when a run ends */
  int64_t cpu_milli;         /* capacity, thousandths of a core */
  int64_t former_cpu_milli;  /* before the last change of the capacity */
  jb_time capacity_changed_at;
  int64_t used_cpu_milli; /* not read, and not added to at a start */
  jb_time ready_at;       /* unused */
};

/* State of a task as the checks see it.  */
struct jw_task
{
  uint32_t active_runs;    /* on backend servers that are up */
  bool done;               /* a run completed it */
  bool done_acked;         /* and a pool owner acknowledged its end */
  uint32_t acked_failures; /* failed runs that a pool owner acknowledged */
  jb_time last_started_at;
  uint32_t crashes;              /* of backend servers where it was running */
  uint32_t starts_after_crashes; /* since JW_MAX_CRASHES of them */
  jb_time ready_at;          /* time from which its run is ready; 0: no run */
  jb_time unready_since;     /* end of its last run */
  jb_time last_ready_at;     /* end of its last run that was ready and not told
                                to stop */
  jb_time stop_requested_at; /* last time that a ready run was told to stop */
};

struct jw_job
{
  struct jb_job_desc *desc;
  char *path;
  uint32_t pool;
  bool accepted;
  bool only_refused; /* every submission that was answered was refused */
  uint32_t open_submissions; /* whose answers the client waits for */
  bool cancel_sent;
  jb_time cancelled_at;    /* when an entry host acknowledged it; 0: not yet */
  bool always_fails;       /* its tasks always fail */
  bool crashes_backends;   /* its first task crashes its backend servers */
  bool started;            /* a backend server has started one of its tasks */
  uint32_t retries;        /* of the submission or of the cancellation */
  jb_time answered_at;     /* last answer of an entry host to its client */
  enum jb_job_state state; /* as last reported to the client */
  bool state_known;
  bool not_found; /* an entry host answered that there is no such job */
};

struct jw_fleet_host
{
  char *name;
  const char *zone;
  uint32_t pool;
  enum jb_host_state state;
  struct jw_backend *backend;
  /* Address of a backend server that crashed here, which the next one has as
     well; NULL: the next one has a new address.  */
  char *kept_address;
  uint64_t last_fencing_token; /* of the last command on this host */
  char *last_planner;          /* planner that sent the command */
  jb_time last_command_at;
  bool maintained; /* in the maintenance wave */
};

/* A zone that has or had an order to evacuate it.  */
struct jw_zone
{
  const char *name;
  bool evacuated;
  uint64_t version;   /* of the store, of the last change */
  jb_time ordered_at; /* when the order was written */
};

struct jw_world
{
  struct jw_options options;
  struct jw_loss_permille loss_permille;
  jb_time now;
  uint64_t serial;   /* last one given to an event or to the end of a run */
  GSequence *events; /* scheduled ones, sorted by time */
  GRand *random;
  struct jw_host hosts[JW_MAX_HOST_COUNT];
  bool store_down;
  /* The store refuses writes of the row with this key as invalid; NULL: of
     none.  */
  const char *refused_key;
  uint32_t refused_writes; /* number of them */
  jb_time store_delay; /* of a command to the store, and again of its reply */
  jb_time backend_reply_delay; /* of the replies of backend servers */
  GPtrArray *rows;             /* struct jw_row, sorted by name */
  /* Index of the entry host that last wrote rows of each pool, or -1.  */
  int last_writers[JW_MAX_POOL_COUNT];
  uint64_t version; /* of the last write to the store */
  struct jb_catalog *catalog;
  uint64_t catalog_version; /* store version of its last change */
  struct jb_wave_entry wave;
  uint64_t wave_version; /* store version of its last change; 0: no wave */
  bool wave_completed;
  struct jw_zone zones[JW_ZONE_COUNT];
  /* The store no longer has the changes after versions below this one.  */
  uint64_t history_start;
  jb_time store_refused_at; /* when the store last refused any host; 0: never,
                               or before the first order */
  bool watches_disturbances;
  GPtrArray *watches;    /* unused */
  GPtrArray *backends;   /* struct jw_backend, including those that ended */
  GPtrArray *fleet;      /* struct jw_fleet_host */
  GHashTable *tasks;     /* name -> struct jw_task */
  GHashTable *jobs;      /* ID -> struct jw_job */
  GHashTable *calls;     /* jw_call_key -> struct jw_call */
  uint32_t last_backend; /* number of the last backend server added */
  uint32_t task_starts;
  uint32_t starts_after_done; /* of tasks that a run had completed, whether an
                                 entry host knew it or not */
  bool delivering_delayed_command;
  bool clients_give_up; /* they don't repeat refused submissions */
  /* Chance in a thousand that a lease is granted late, with a random generator
     of its own, so that a seed gives the same other faults as without.  */
  uint32_t late_lease_permille;
  GRand *late_lease_random;
  /* The same for a command to a backend server that the HTTP client sends a
     second time since the answer to the first one was lost.  */
  uint32_t resend_permille;
  GRand *resend_random;
  bool delivering_late_lease;
  /* The entry host that sent the command being delivered, and when.  */
  const struct jw_host *sender;
  jb_time command_sent_at;
  /* The next command to a backend server of this kind is not answered, and is
     carried out after this delay.  */
  struct jw_delayed_command delayed_command;
  /* Backend servers have failed tasks that would otherwise complete, so jobs
     may be reported as failed.  */
  bool backends_fail_runs;
  uint32_t violations;
  uint32_t one_violations; /* those of ONE */
  char first_violation[256];
};

/* Create a simulation and start all entry hosts.  Free it with
   jw_world_free.  */
struct jw_world *jw_world_new (const struct jw_options *options);
void jw_world_free (struct jw_world *world);

/* Advance the time by DURATION and handle the events that fall due.  With
   external hosts, this takes that time.  */
void jw_advance (struct jw_world *world, jb_time duration);

/* Schedule a call of HANDLER with DATA at WHEN, or at the current time if WHEN
   has passed.  Takes ownership of DATA, a talloc chunk.  */
void jw_schedule (struct jw_world *world, jb_time when,
                  jw_event_handler *handler, void *data);

/* ---- entry hosts ---- */

void jw_host_start (struct jw_world *world, uint32_t index);
void jw_host_kill (struct jw_world *world, uint32_t index);
/* Stop an entry host gracefully.  Its process ends by itself, and is killed
   2.5 s later at the latest.  Clients keep using it until it has ended, and a
   call of theirs that is cut off then is a violation, unless the host was
   frozen meanwhile.  */
void jw_host_stop (struct jw_world *world, uint32_t index);
void jw_host_set_frozen (struct jw_world *world, uint32_t index, bool frozen);

/* Send SIGHUP to an entry host if it is external.  */
void jw_host_reload (struct jw_world *world, uint32_t index);
/* Cut the COUNT entry hosts from index FIRST on, which wraps around, off
   together.  COUNT 0 ends the cut.  */
void jw_cut_group (struct jw_world *world, uint32_t first, uint32_t count);
/* Return the index of the entry host that owns POOL, or -1.  Of external
   hosts, it is the one that last wrote rows of POOL.  */
int jw_pool_owner (struct jw_world *world, uint32_t pool);
/* Return the index of the entry host that is the planner, or -1.  */
int jw_find_planner (const struct jw_world *world);

/* ---- the store ---- */

/* Return whether the stored roster of any pool lists INSTANCE.  */
bool jw_is_in_roster (const struct jw_world *world, const char *instance);

/* Return the number of rows of TABLE whose keys begin with PREFIX.  */
uint32_t jw_count_rows (const struct jw_world *world, const char *table,
                        const char *prefix);

/* ---- clients ---- */

struct jw_job_options
{
  uint32_t pool;
  uint32_t step_count; /* each step depends on the one before */
  uint32_t tasks_per_step;
  int64_t cpu_milli;   /* of each task, thousandths of a core */
  int64_t duration_ms; /* of each task */
  int64_t estimate_ms; /* what its client says of that; 0: the same */
  bool always_fails;
  bool crashes_backends; /* the first task crashes each backend server that
                            starts it */
  bool long_running;
  bool best_effort; /* its tasks use what others leave */
  uint32_t max_unavailable;
  bool gang;
  const char *required_label; /* of the backend servers; NULL: none */
  bool
      speculative; /* copies of a task of the first step may run in parallel */
  uint32_t occurrence_count; /* of a scheduled job, else 0 */
  int64_t interval_ms;       /* between occurrences */
  const char *api_key;       /* NULL: that of the first organisation */
};

/* Submit a job at a random entry host, with retries.  Return its ID, owned by
   WORLD.  */
const char *jw_submit_job (struct jw_world *world,
                           const struct jw_job_options *options);
void jw_cancel_job (struct jw_world *world, const char *id);
/* Submit job ID again at a random entry host, as a client whose first
   submission is still on its way would.  */
void jw_resubmit_job (struct jw_world *world, const char *id);
/* Return the job with ID, owned by WORLD, or NULL.  */
struct jw_job *jw_find_job (struct jw_world *world, const char *id);

/* Send queries for the states of all accepted jobs.  The answers, which arrive
   as the time advances, are checked.  */
void jw_query_all_jobs (struct jw_world *world);

/* Return whether every accepted job that is not being cancelled was last
   reported as ended or, if it is long-running, has all its tasks running.  */
bool jw_have_all_jobs_settled (struct jw_world *world);

/* Query all jobs, advance the time by 3 s, and report a violation for every
   accepted job whose final state is wrong.  */
void jw_check_final_states (struct jw_world *world);

/* ---- operators ---- */

/* Start a maintenance wave over every second host of the fleet, with at most
   MAX_HOSTS_AT_ONCE down at a time, to be completed within WITHIN_MS.  */
void jw_start_wave (struct jw_world *world, uint32_t max_hosts_at_once,
                    int64_t within_ms);

/* Write the order to evacuate the zone with index ZONE, or remove it.  */
void jw_evacuate_zone (struct jw_world *world, uint32_t zone);
void jw_restore_zone (struct jw_world *world, uint32_t zone);

/* Return the name of the zone with index ZONE.  */
const char *jw_zone_name (uint32_t zone);

/* Return the number of tasks that run in the zone with index ZONE.  */
uint32_t jw_count_running_in_zone (struct jw_world *world, uint32_t zone);

/* Publish the same catalog as a new version.  */
void jw_bump_catalog_version (struct jw_world *world);

/* Publish a new version of the catalog in which queue INDEX belongs to POOL.
 */
void jw_move_queue (struct jw_world *world, uint32_t index, uint32_t pool);

/* Publish a new version of the catalog with COUNT more queues of the first
   pool.  */
void jw_add_queues (struct jw_world *world, uint32_t count);

/* ---- backend servers ---- */

/* Return backend server INDEX of those in POOL that are up, or NULL.  */
struct jw_backend *jw_find_backend (struct jw_world *world, uint32_t pool,
                                    uint32_t index);

/* Return whether JOB may be given up because of crashed backend servers.  */
bool jw_may_give_up_job (struct jw_world *world, const struct jw_job *job);

/* Crash BACKEND.  Unless PERMANENTLY, its host returns after 3 s with a new
   one.  */
void jw_backend_crash (struct jw_world *world, struct jw_backend *backend,
                       bool permanently);

/* Restart BACKEND under its instance name, at the same address: its runs and
   all that it knew are gone, and its clock and the numbers of its ends start
   anew.  */
void jw_backend_restart (struct jw_world *world, struct jw_backend *backend);

/* Crash BACKEND if it is up.  Its host returns after 3 s with a new one at the
   same address.  */
void jw_backend_crash_in_place (struct jw_world *world,
                                struct jw_backend *backend);

/* Change the capacity of BACKEND to CPU_MILLI thousandths of a core.  */
void jw_backend_set_capacity (struct jw_world *world,
                              struct jw_backend *backend, int64_t cpu_milli);

/* Return the number of tasks of job ID that run on backend servers.  */
uint32_t jw_count_running_tasks (struct jw_world *world, const char *id);

/* ---- internal to the simulation ---- */

/* Let HOST, which is part of the simulation and up, do the work that is due,
   and schedule its next run.  */
void jw_host_run (struct jw_host *host);

/* Return when the event loop of HOST handles an event that arrives now, after
   those that arrived before.  */
jb_time jw_host_handling_time (struct jw_host *host);

/* Whether HOST is one of the options' previous_version_hosts.  */
bool jw_host_is_previous_version (const struct jw_host *host);

/* Count a violation of RULE and keep the text of the first one.  The rules:

   UNASKED  a task starts that no job has, with a specification other than its
            job's, or after its job was cancelled
   REFUSED  a task of a job starts all of whose submissions were refused
   TWICE    a task has two runs at once, or starts again after it was done and
            that end is acknowledged, before the start or later, without the
            lease having expired in between; tasks of speculative steps
            are exempt
   ROUTE    a task starts on a backend server without the label that it
   requires ORDER    a task starts before the preceding steps are done BUDGET
   a task starts again after JW_MAX_ATTEMPTS failures, or
            JW_MAX_STARTS_AFTER_CRASHES times after JW_MAX_CRASHES backend
            servers have crashed under it
   QUOTA    a task starts above its organisation's limit
   TICKET   a task starts without the ticket that it needs
   AVAIL    too many tasks of a step are unavailable at once
   LOST     a call is cut off by a planned stop; an accepted job is unknown,
   fails wrongly, doesn't complete or, if it is long-running, doesn't run all
   its tasks MIXED    a job or a wave is reported as completed before it is ONE
   a host gets a command of a planner too soon after one of another planner, or
   with a stale fencing token LIMIT    too many hosts are in maintenance at
   once, or a task starts on a backend server without room, except for a while
   after its capacity has become smaller EVAC     a task is sent to a backend
   server of an evacuated zone, later than 5 s after the order by a host that
   could know of it MESSAGE  a message between entry hosts can't be decoded
   ANSWER   a client gets an answer of an unexpected kind  */
void jw_report_violation (struct jw_world *world, const char *rule,
                          const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Print what happens at BACKEND if the options ask for that, with the sender
   of the command that is being delivered, if IS_COMMAND.  */
void jw_trace_backend (const struct jw_world *world,
                       const struct jw_backend *backend, bool is_command,
                       const char *format, ...) G_GNUC_PRINTF (4, 5);

/* Return true with a chance of PERMILLE in a thousand.  */
bool jw_random_permille (struct jw_world *world, uint32_t permille);

/* Reserve HOST's link, in the direction whose next free time is FREE_AT, for
   BYTES that arrive there at WHEN.  Return when the last of them has
   passed.  */
jb_time jw_reserve_link (const struct jw_host *host, jb_time *free_at,
                         jb_time when, size_t bytes);

/* Send a command of an entry host, the struct jw_host CONTEXT.  COMMAND is
   copied.  */
void jw_submit_command (void *context, uint64_t number,
                        const struct jb_command *command);

/* Return the key of the call with NUMBER to the current process of HOST.  Each
   process numbers its calls from 1.  External hosts get the key as number.  */
uint64_t jw_call_key (const struct jw_host *host, uint64_t number);

/* Return whether a client waits for the answer to a call to HOST.  */
bool jw_has_calls (struct jw_world *world, const struct jw_host *host);

/* Report a violation for each call to HOST, which is ending as planned, that a
   client still waits for.  */
void jw_check_calls_answered (struct jw_world *world,
                              const struct jw_host *host);

/* Deliver ANSWER to the client that made the call with KEY.  If it no longer
   waits, the answer is ignored.  */
void jw_receive_answer (struct jw_world *world, uint64_t key,
                        const struct jb_answer *answer);

/* Deliver REPLY to HOST at WHEN unless HOST has left EPOCH by then.  Takes
   ownership of REPLY's memory.  */
void jw_schedule_reply (struct jw_host *host, uint32_t epoch, uint64_t number,
                        jb_time when, struct jb_reply *reply);

/* Carry out a command at the store, at a backend server, or on the fleet's
   hosts, and fill in REPLY.  The result JB_RESULT_UNKNOWN means that no reply
   is sent.  */
void jw_store_execute (struct jw_world *world,
                       const struct jb_command *command,
                       struct jb_reply *reply);
void jw_backend_execute (struct jw_world *world,
                         const struct jb_command *command,
                         struct jb_reply *reply);
/* Return the time on the clock of BACKEND, which drifts.  */
int64_t jw_backend_clock_ms (const struct jw_backend *backend, jb_time now);
/* Return the backend server that TARGET's address leads to, or NULL.  */
struct jw_backend *jw_find_target (struct jw_world *world,
                                   const struct jb_backend_target *target);
void jw_fleet_execute (struct jw_world *world,
                       const struct jb_command *command,
                       struct jb_reply *reply);

/* Keep a probe that waits for a run to end until one ends or its time is up,
   and answer it then.  Return false if the caller must execute it at once.  */
bool jw_backend_defer_probe (struct jw_world *world, struct jw_host *host,
                             uint64_t number,
                             const struct jb_command *command);

/* From now on, keep when entry hosts were disturbed.  */
void jw_watch_disturbances (struct jw_world *world);

void jw_store_init (struct jw_world *world);
void jw_fleet_init (struct jw_world *world);

/* Start a new backend server on HOST.  It is owned by WORLD.  */
struct jw_backend *jw_backend_add (struct jw_world *world,
                                   struct jw_fleet_host *host);

/* Check that the start COMMAND, which HOST is sending, is not for a backend
   server of an evacuated zone.  */
void jw_check_evacuation (struct jw_world *world, const struct jw_host *host,
                          const struct jb_command *command);

/* Check the guarantees that concern the start of a task.  */
void jw_check_task_start (struct jw_world *world, struct jw_backend *backend,
                          const struct jb_command *command);

/* Record the end of a run on BACKEND, when it ends and again with ACKED when a
   pool owner has acknowledged it.  */
void jw_check_run_end (struct jw_world *world,
                       const struct jw_backend *backend,
                       const struct jw_ended_run *ended, bool acked);
bool jw_task_is_long_running (struct jw_world *world, const char *name);

/* Return the state of task NAME, which is created at first use.  */
struct jw_task *jw_get_task (struct jw_world *world, const char *name);

/* Check that stopping task NAME on BACKEND keeps its step within its limit on
   unavailable tasks.  */
void jw_check_disruption (struct jw_world *world, struct jw_backend *backend,
                          const char *name);

#endif
