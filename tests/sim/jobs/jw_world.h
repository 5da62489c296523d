#ifndef JW_WORLD_H
#define JW_WORLD_H

/* A world in virtual time for the decisions on jobs: several entry hosts, a
   store, backend servers with leases on clocks of their own, a list of hosts,
   and clients that retry.  Faults are switched on by tests or drawn by
   chance; whatever breaks a promise is noted.  */

#include "jb_host.h"

#include <glib.h>

/* One way between any two.  */
#define JW_LATENCY (1500)

enum
{
  JW_MAX_HOSTS = 12,
  JW_MAX_POOLS = 6
};

/* Entry hosts that are processes of their own.  The world then goes on in real
   time, under a lock of whoever made it; only `wait' lets go of it.  */
struct jw_outside
{
  void *context;
  /* Let time pass until UNTIL or until something has arrived.  Return the
     time.  */
  jb_time (*wait) (void *context, jb_time until);
  void (*start) (void *context, uint32_t index);
  void (*signal) (void *context, uint32_t index, int number);
  /* Call entry host INDEX; jw_answer is called with NUMBER.  */
  void (*call) (void *context, uint64_t number, uint32_t index,
                const struct jb_call *call);
  /* The reply to the order NUMBER; its memory may be stolen.  */
  void (*reply) (void *context, uint64_t number, const struct jb_reply *reply);
};

struct jw_options
{
  uint32_t seed;
  uint32_t hosts;      /* entry hosts */
  uint32_t pools;      /* with one queue each, and a standby pool */
  uint32_t backends;   /* of each pool */
  int64_t backend_cpu; /* thousandths of a core */
  int64_t org_cap; /* of each organisation, thousandths of cores; 0: none */
  uint32_t off;    /* enum jb_safeguard */
  bool advised;    /* queues have a policy */
  bool overtaking; /* messages between hosts overtake each other */
  bool verbose;    /* print the hosts' log lines */
  const struct jw_outside *outside; /* NULL: entry hosts are in the world */
  const char *network; /* of the backend servers' addresses: "10.0.0" */
  uint32_t port;       /* of all of them */
};

struct jw_world;

/* Something that happens later.  DATA is a talloc chunk, freed after.  */
typedef void jw_happening (struct jw_world *world, void *data);

struct jw_host
{
  struct jw_world *world;
  uint32_t index;
  char name[16];
  struct jb_host *host; /* NULL: down, or outside */
  bool up;              /* outside */
  uint64_t incarnation;
  uint32_t life;       /* rises with each start */
  uint64_t run_serial; /* of the next turn */
  bool frozen;
  GQueue *held; /* what arrived while it was frozen */
  bool cut_store;
  bool cut_peers;
  bool cut_backends;
};

/* Chances in a thousand that an order to the store, or to a backend server,
   is not answered.  Half of those are carried out, some of them late.  */
struct jw_chances
{
  uint32_t store_lost;
  uint32_t backend_lost;
};

struct jw_task_run
{
  char *task;
  uint32_t run;
  jb_time since;
  struct jw_backend *backend;
  uint64_t end_serial;
  bool stopping;
};

struct jw_ended
{
  uint64_t number;
  char *task;
  uint32_t run;
  enum jb_run_outcome how;
};

struct jw_backend
{
  char *instance;
  char *address;
  char *host; /* of the fleet */
  uint32_t pool;
  bool up;
  bool dark;     /* up, and reached by nobody */
  bool unlisted; /* its entry has lapsed */
  bool draining;
  bool fails_all;
  bool hangs;
  int64_t born_ms;
  double rate; /* of its clock */
  jb_time clock_zero;
  uint64_t fence;
  int64_t until_ms;
  uint64_t lease_serial;
  uint64_t last_end;
  uint64_t acked;
  GPtrArray *runs;    /* struct jw_task_run */
  GPtrArray *ended;   /* struct jw_ended */
  GHashTable *barred; /* task -> highest run that ended or was stopped */
  GPtrArray *waiting; /* looks that wait for an end */
  int64_t used_cpu;
  jb_time ready_at;
};

/* What the checks know of a task.  */
struct jw_task
{
  uint32_t runs;     /* on backend servers that are up */
  bool done;         /* a run has ended so */
  bool done_noted;   /* and that was acknowledged */
  uint32_t failures; /* that were acknowledged */
  jb_time at_work;   /* since then; 0: it is not */
  jb_time away;      /* since then it is not at work */
  jb_time worked;    /* when it was last at work and not told to stop */
  jb_time ordered;   /* the last order that ended it */
};

struct jw_job
{
  struct jb_job_desc *desc;
  char *path;
  uint32_t pool;
  bool accepted;
  bool only_refused; /* every attempt was */
  bool cancel_sent;
  jb_time cancelled; /* when that was acknowledged; 0: it was not */
  bool hopeless;     /* one of its tasks always fails */
  bool started;
  uint32_t attempts;
  jb_time answered_at;
  enum jb_job_state state; /* as last shown */
  bool shown;
  bool gone; /* a host said that there is no such job */
};

struct jw_fleet_host
{
  char *name;
  uint32_t pool;
  enum jb_host_state state;
  struct jw_backend *backend;
  uint64_t token; /* of the last order */
  char *holder;
  jb_time ordered;
  bool maintained;
};

struct jw_world
{
  struct jw_options options;
  struct jw_chances chances;
  jb_time now;
  uint64_t serial;
  GSequence *events;
  GRand *random;
  struct jw_host hosts[JW_MAX_HOSTS];
  /* the store */
  bool store_down;
  GPtrArray *rows;           /* struct jw_row, in the order of their names */
  int writers[JW_MAX_POOLS]; /* hosts that last wrote to a pool's rows, or -1
                              */
  uint64_t version;
  struct jb_catalog *catalog;
  uint64_t catalog_row;
  struct jb_wave_entry wave;
  uint64_t wave_row; /* version; 0: there is none */
  bool wave_completed;
  GPtrArray *watches;  /* waiting for a change */
  GPtrArray *backends; /* struct jw_backend, those that have ended too */
  GPtrArray *fleet;    /* struct jw_fleet_host */
  GHashTable *tasks;   /* name -> struct jw_task */
  GHashTable *jobs;    /* ID -> struct jw_job */
  GHashTable *calls;   /* number -> struct jw_call */
  uint64_t last_call;
  uint32_t last_backend;
  uint32_t starts;
  bool late; /* the order that arrives was held up */
  bool sick; /* backend servers fail sound work: jobs may be shown as failed */
  uint32_t broken; /* promises */
  char first[256]; /* the first one */
};

struct jw_world *jw_world_new (const struct jw_options *options);
void jw_world_free (struct jw_world *world);

/* Let time pass.  */
void jw_run (struct jw_world *world, jb_time duration);
void jw_at (struct jw_world *world, jb_time when, jw_happening *happening,
            void *data);

/* Entry hosts.  */
void jw_host_start (struct jw_world *world, uint32_t index);
void jw_host_kill (struct jw_world *world, uint32_t index);
void jw_host_stop (struct jw_world *world, uint32_t index);
void jw_host_freeze (struct jw_world *world, uint32_t index, bool frozen);
/* Return the host that holds POOL, or -1.  */
int jw_holder (struct jw_world *world, uint32_t pool);

/* Hand in a job of STEPS one after the other, WIDTH tasks each, of CPU
   thousandths of a core and MS milliseconds.  Return its ID.  */
struct jw_job_options
{
  uint32_t pool;
  uint32_t steps;
  uint32_t width;
  int64_t cpu;
  int64_t ms;
  bool hopeless;
  bool lasts;
  uint32_t may_miss;
  bool gang;
  uint32_t times;
  int64_t interval_ms;
  const char *key; /* NULL: that of the first organisation */
};
const char *jw_submit (struct jw_world *world,
                       const struct jw_job_options *options);
void jw_cancel (struct jw_world *world, const char *id);
struct jw_job *jw_job (struct jw_world *world, const char *id);

/* Ask for the states of all jobs, and note promises that are broken.  */
void jw_ask_all (struct jw_world *world);
/* Return whether every accepted job that does not last was shown as ended.  */
bool jw_all_ended (struct jw_world *world);
/* Note every accepted job that has not ended as it should.  */
void jw_check_finished (struct jw_world *world);

/* Ask for maintenance of every second host of the fleet.  */
void jw_wave (struct jw_world *world, uint32_t at_once, int64_t within_ms);
/* Put a new version of the configuration in force.  */
void jw_configure (struct jw_world *world);

/* Backend servers.  */
struct jw_backend *jw_backend_of (struct jw_world *world, uint32_t pool,
                                  uint32_t index);
void jw_backend_crash (struct jw_world *world, struct jw_backend *backend,
                       bool gone);
uint32_t jw_running (struct jw_world *world, const char *id);

/* Inside the world.  */
void jw_host_turn (struct jw_host *host);
void jw_break (struct jw_world *world, const char *rule, const char *format,
               ...) G_GNUC_PRINTF (3, 4);
bool jw_chance (struct jw_world *world, uint32_t in_thousand);
void jw_submit_order (void *context, uint64_t number,
                      const struct jb_command *order);
void jw_answer (struct jw_world *world, uint64_t number,
                const struct jb_answer *answer);
void jw_reply (struct jw_host *host, uint32_t life, uint64_t number,
               jb_time when, struct jb_reply *reply);
void jw_store_order (struct jw_world *world, const struct jb_command *order,
                     struct jb_reply *reply);
void jw_store_init (struct jw_world *world);
void jw_backend_order (struct jw_world *world, const struct jb_command *order,
                       struct jb_reply *reply);
bool jw_backend_waits (struct jw_world *world, struct jw_host *host,
                       uint64_t number, const struct jb_command *order);
void jw_fleet_order (struct jw_world *world, const struct jb_command *order,
                     struct jb_reply *reply);
void jw_fleet_init (struct jw_world *world);
struct jw_backend *jw_backend_add (struct jw_world *world,
                                   struct jw_fleet_host *host);
void jw_check_start (struct jw_world *world, struct jw_backend *backend,
                     const struct jb_command *order);
void jw_check_end (struct jw_world *world, const struct jw_ended *ended,
                   bool noted);
bool jw_task_lasts (struct jw_world *world, const char *name);
struct jw_task *jw_task (struct jw_world *world, const char *name);
void jw_check_order (struct jw_world *world, struct jw_backend *backend,
                     const char *task);

#endif
