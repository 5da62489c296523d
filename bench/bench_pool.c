/* Scaling benchmark of the owner of a pool: processor time of its decisions
   with a long queue, for several numbers of waiting jobs and backend servers.

   Usage: bench_pool [JOBS BACKENDS]
          bench_pool lookahead [JOBS BACKENDS]
          bench_pool events

   The third form prints the processor time of single events for several
   numbers of active jobs.  The second form compares placement with and without
   lookahead (jb_reserve.h), for jobs of which some have tasks that need most
   of a backend server.  The column "ratio" is that of all processor time;
   compare "run, us" for the cycle.

   A pool with a simulated store and simulated backend servers, which are kept
   full, runs in virtual time.  As many tasks start a second at all sizes:
   their run time is proportional to the number of backend servers.  Prints a
   Markdown table.  Times depend on the machine, so compare the ratios within
   one run. The last column is a hash of all commands and replies of the owner
   and their times: two versions that decide alike have the same one.  */

#include "jb_pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* One-way latency of commands and their replies, in microseconds; a write
   takes STORE_LATENCY.  */
#define LATENCY ((jb_time)1500)
#define STORE_LATENCY (8 * JB_MS)
#define WARM_UP (2 * JB_SECOND)
#define MEASURED_TIME (3 * JB_SECOND)
/* So many that 10,000 jobs are stored.  */
#define EVENT_WARM_UP (5 * JB_SECOND)
/* Least time between two scheduling cycles.  */
#define CYCLE_INTERVAL (4 * JB_MS)
#define IDLE_CYCLE_INTERVAL (8 * JB_MS)
#define LIST_INTERVAL (1 * JB_SECOND)
#define LOAD_INTERVAL (200 * JB_MS)
/* Unix time of the driver clock's origin.  */
#define UNIX_ORIGIN (1700000000 * JB_SECOND)

enum
{
  ORG_COUNT = 4,
  QUEUE_COUNT = 4,
  RACK_COUNT = 10,
  MAX_STEPS = 3,
  MIN_TASKS = 6,
  MAX_TASKS = 10,
  /* Mean number of tasks of a job, and of those that a backend server runs at
     the same time.  */
  MEAN_TASKS_PER_JOB = 16,
  TASKS_PER_BACKEND = 8,
  BACKEND_CPU_MILLI = 8000,
  BACKEND_MEMORY_MB = 24000,
  /* Run time of a task per backend server: 320 starts a second.  */
  RUN_MS_PER_BACKEND = 25,
  /* One in so many steps has a special requirement.  */
  SPECIAL_STEP_PERIOD = 32,
  /* Thousandths of the capacity that the last organisation with a limit may
     use; the limits of the others are never reached.  */
  TIGHT_SHARE_MILLI = 150,
  SUBMISSIONS_PER_MS = 2,
  /* With large tasks, one in so many steps has them.  */
  LARGE_STEP_PERIOD = 12,
  LARGE_TASK_CPU_MILLI = 6000,
  /* 5,000 waiting tasks.  */
  LOOKAHEAD_JOBS = 5000 / MEAN_TASKS_PER_JOB,
  LOOKAHEAD_BACKENDS = 200,
  /* For single events: how often those are repeated that the load does not
     cause, and the estimate of a task, so short that 10,000 jobs are
     accepted.  */
  EVENT_BACKENDS = 20,
  EVENT_REPETITIONS = 50,
  EVENT_SUBMISSIONS_PER_MS = 10,
  EVENT_ESTIMATE_MS = 1,
  CLIENT = 1,       /* incarnation of the member that sends requests */
  PLANNER_FENCE = 1 /* fence of the planner that assigns shares */
};

/* What the processor time is measured of.  */
enum operation
{
  OPERATION_RUN, /* jb_pool_run: scheduling cycles, writes, probes, starts */
  OPERATION_SUBMIT,
  OPERATION_PROBE_REPLY,
  OPERATION_START_REPLY,
  OPERATION_WRITE_REPLY,
  OPERATION_REPORT, /* of load and usage, to the planner */
  OPERATION_COUNT,
  /* Single events, of which some are part of those above.  */
  EVENT_REFUSED_SUBMISSION = OPERATION_COUNT,
  EVENT_ACCEPTED_SUBMISSION,
  EVENT_USAGE_REPORT,
  EVENT_LOAD_REPORT,
  EVENT_IDLE_CYCLE, /* a scheduling cycle with nothing to start */
  /* jb_pool_run after an answer with ends of runs, 4 ms after the last one at
     the earliest: a cycle that starts tasks.  */
  EVENT_STARTING_CYCLE,
  EVENT_ONE_END, /* an answer to a probe with one end of a run */
  EVENT_PENDING_COUNT,
  EVENT_END
};

struct run
{
  char *task;
  uint32_t run;
  uint64_t end_number; /* 0: active */
};

struct backend
{
  char *instance;
  char *address;
  const char *labels[1];
  GPtrArray *runs;  /* struct run: active, or ended and not acknowledged */
  uint64_t ends;    /* number of the last end */
  uint64_t waiting; /* number of the probe that waits for an end; 0: none */
};

/* Something that happens at a time.  */
struct event
{
  jb_time at;
  uint64_t serial;
  uint64_t number; /* of the command to answer; 0: the end of a run */
  enum jb_command_kind kind;
  struct backend *backend;
  struct run *run;
  bool is_timeout; /* of a probe that waits for an end */
};

struct bench
{
  struct jb_pool *pool;
  struct jb_driver *driver;
  struct jb_bounds bounds;
  const struct jb_catalog *catalog;
  bool large_tasks; /* some steps have them */
  bool single_events;
  jb_time now;
  uint64_t serial;
  uint64_t version; /* of the store */
  uint64_t next_job;
  GSequence *events;
  GRand *random;
  GHashTable *backends; /* instance -> struct backend */
  struct jb_backend_entry *entries;
  uint32_t backend_count;
  uint32_t unfinished; /* accepted jobs that have not ended */
  bool refused;        /* the last submission was refused */
  bool has_ends;       /* an answer had some since the last scheduling cycle */
  jb_time cycle_at;    /* when the last one began, if ends caused it */
  uint64_t hash;
  uint32_t starts;
  bool measuring;
  uint64_t shares_serial;
  double seconds[EVENT_END];
  uint32_t counts[EVENT_END];
};

static double
cpu_seconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void
record (struct bench *bench, enum operation operation, double started)
{
  if (!bench->measuring)
    return;
  bench->seconds[operation] += cpu_seconds () - started;
  bench->counts[operation]++;
}

/* Add BYTES to the hash (FNV-1a).  */
static void
hash_bytes (struct bench *bench, const void *bytes, size_t length)
{
  const unsigned char *byte = bytes;

  for (size_t i = 0; i < length; i++)
    bench->hash = (bench->hash ^ byte[i]) * 1099511628211U;
}

static void
hash_number (struct bench *bench, int64_t number)
{
  hash_bytes (bench, &number, sizeof number);
}

/* ---- simulated store and backend servers ---- */

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->serial < y->serial ? -1 : 1;
}

static struct event *
add_event (struct bench *bench, jb_time at)
{
  struct event *event = talloc_zero (NULL, struct event);

  event->at = at;
  event->serial = ++bench->serial;
  g_sequence_insert_sorted (bench->events, event, compare_events, NULL);
  return event;
}

static struct event *
add_reply (struct bench *bench, jb_time at, uint64_t number,
           enum jb_command_kind kind, struct backend *backend)
{
  struct event *event = add_event (bench, at);

  event->number = number;
  event->kind = kind;
  event->backend = backend;
  return event;
}

static void
start_run (struct bench *bench, struct backend *backend,
           const struct jb_command_start_task *start)
{
  int64_t run_ms = RUN_MS_PER_BACKEND * (int64_t)bench->backend_count;
  /* The first runs end at any time, so that the load is even.  */
  double factor = bench->now < WARM_UP
                      ? g_rand_double (bench->random)
                      : g_rand_double_range (bench->random, 0.7, 1.3);
  struct run *run = talloc_zero (NULL, struct run);
  struct event *event;

  g_assert (backend != NULL);
  run->task = talloc_strdup (run, start->task);
  run->run = start->run;
  g_ptr_array_add (backend->runs, run);
  event
      = add_event (bench, bench->now + LATENCY
                              + (jb_time)(factor * (double)(run_ms * JB_MS)));
  event->backend = backend;
  event->run = run;
  bench->starts++;
}

static void
answer_waiting_probe (struct bench *bench, struct backend *backend)
{
  if (backend->waiting != 0)
    add_reply (bench, bench->now + LATENCY, backend->waiting, JB_COMMAND_PROBE,
               backend);
  backend->waiting = 0;
}

static void
end_run (struct bench *bench, const struct event *event)
{
  event->run->end_number = ++event->backend->ends;
  answer_waiting_probe (bench, event->backend);
}

static void
receive_probe (struct bench *bench, struct backend *backend, uint64_t number,
               const struct jb_command_probe *probe)
{
  bool has_ends = false;

  g_assert (backend != NULL);
  for (guint i = backend->runs->len; i-- > 0;)
    {
      struct run *run = g_ptr_array_index (backend->runs, i);

      if (run->end_number == 0)
        continue;
      if (run->end_number <= probe->acked_end)
        talloc_free (g_ptr_array_remove_index (backend->runs, i));
      else
        has_ends = true;
    }
  if (has_ends || probe->wait_ms == 0 || backend->waiting != 0)
    {
      add_reply (bench, bench->now + 2 * LATENCY, number, JB_COMMAND_PROBE,
                 backend);
      return;
    }
  backend->waiting = number;
  add_reply (bench, bench->now + LATENCY + probe->wait_ms * JB_MS, number,
             JB_COMMAND_PROBE, backend)
      ->is_timeout
      = true;
}

static void
submit_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  struct bench *bench = context;
  struct backend *backend
      = command->backend.instance != NULL
            ? g_hash_table_lookup (bench->backends, command->backend.instance)
            : NULL;

  hash_number (bench, bench->now);
  hash_number (bench, command->kind);
  if (backend != NULL)
    hash_bytes (bench, backend->instance, strlen (backend->instance));
  switch (command->kind)
    {
    case JB_COMMAND_START_TASK:
      hash_bytes (bench, command->u.start_task.task,
                  strlen (command->u.start_task.task));
      hash_number (bench, command->u.start_task.run);
      start_run (bench, backend, &command->u.start_task);
      add_reply (bench, bench->now + 2 * LATENCY, number, command->kind,
                 backend);
      break;
    case JB_COMMAND_PROBE:
      hash_number (bench, (int64_t)command->u.probe.acked_end);
      hash_number (bench, command->u.probe.lease_until_ms);
      hash_number (bench, command->u.probe.wait_ms);
      receive_probe (bench, backend, number, &command->u.probe);
      break;
    case JB_COMMAND_WRITE:
      hash_number (bench, command->u.write.set_count);
      hash_number (bench, command->u.write.removed_count);
      add_reply (bench, bench->now + STORE_LATENCY, number, command->kind,
                 NULL);
      break;
    default:
      add_reply (bench, bench->now + 2 * LATENCY, number, command->kind,
                 backend);
      break;
    }
}

/* Fill REPLY with what runs on BACKEND and with the ends there.  */
static void
list_runs (TALLOC_CTX *mem, const struct backend *backend,
           struct jb_reply *reply)
{
  reply->active_runs
      = talloc_zero_array (mem, struct jb_active_run, backend->runs->len + 1);
  reply->ended_runs
      = talloc_zero_array (mem, struct jb_ended_run, backend->runs->len + 1);
  for (guint i = 0; i < backend->runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (backend->runs, i);

      if (run->end_number == 0)
        reply->active_runs[reply->active_run_count++]
            = (struct jb_active_run){ .task = run->task, .run = run->run };
      else
        reply->ended_runs[reply->ended_run_count++]
            = (struct jb_ended_run){ .number = run->end_number,
                                     .task = run->task,
                                     .run = run->run,
                                     .outcome = JB_OUTCOME_DONE };
    }
}

static void
deliver_reply (struct bench *bench, const struct event *event)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_reply reply = { .mem = mem,
                            .version = ++bench->version,
                            .backend_clock_ms = bench->now / JB_MS };
  enum operation operation
      = event->kind == JB_COMMAND_PROBE        ? OPERATION_PROBE_REPLY
        : event->kind == JB_COMMAND_START_TASK ? OPERATION_START_REPLY
                                               : OPERATION_WRITE_REPLY;
  double started;

  if (event->kind == JB_COMMAND_PROBE)
    list_runs (mem, event->backend, &reply);
  started = cpu_seconds ();
  jb_driver_receive_reply (bench->driver, bench->now, event->number, &reply);
  record (bench, operation, started);
  bench->has_ends = bench->has_ends || reply.ended_run_count > 0;
  if (reply.ended_run_count == 1)
    record (bench, EVENT_ONE_END, started);
  talloc_free (mem);
}

static void
handle_event (struct bench *bench, const struct event *event)
{
  if (event->number == 0)
    end_run (bench, event);
  else if (!event->is_timeout)
    deliver_reply (bench, event);
  else if (event->backend->waiting == event->number)
    {
      event->backend->waiting = 0;
      deliver_reply (bench, event);
    }
}

static void
write_log (void *context, enum jb_level level, const char *event,
           const struct jb_log_field *fields, uint32_t count)
{
  struct bench *bench = context;

  (void)level;
  (void)fields;
  (void)count;
  if (strcmp (event, "job-ended") == 0)
    bench->unfinished--;
}

/* ---- clients and the planner ---- */

static void
receive_answer (void *data, uint64_t member, const struct jb_msg_reply *reply)
{
  struct bench *bench = data;

  (void)member;
  hash_number (bench, (int64_t)reply->call);
  hash_number (bench, reply->kind);
  if (reply->kind == JB_ANSWER_REFUSED)
    {
      bench->refused = true;
      bench->unfinished--;
    }
}

static void
ignore_state (void *data, struct jb_pool *pool)
{
  (void)data;
  (void)pool;
}

static void
ignore_evacuated (void *data, jb_time now, struct jb_pool *pool,
                  const char *instance)
{
  (void)data;
  (void)now;
  (void)pool;
  (void)instance;
}

/* Give STEP a requirement that few steps have.  */
static void
make_special (TALLOC_CTX *mem, GRand *random, struct jb_step *step)
{
  switch (g_rand_int_range (random, 0, 5))
    {
    case 0:
      step->gang = true;
      break;
    case 1:
      step->required_label = talloc_asprintf (
          mem, "rack%d", g_rand_int_range (random, 0, RACK_COUNT));
      break;
    case 2:
      step->max_per_backend = 1;
      break;
    case 3:
      step->best_effort = true;
      break;
    default:
      step->colocate = true;
      break;
    }
}

static struct jb_job_desc *
make_job (struct bench *bench, TALLOC_CTX *mem)
{
  static const int64_t cpu_milli[] = { 500, 1000, 1000, 1500 };
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  GRand *random = bench->random;

  desc->id
      = talloc_asprintf (desc, "%016llx", (unsigned long long)bench->next_job);
  desc->queue = talloc_asprintf (desc, "queue%d",
                                 g_rand_int_range (random, 0, QUEUE_COUNT));
  desc->org = talloc_asprintf (desc, "org%d",
                               g_rand_int_range (random, 0, ORG_COUNT));
  desc->spec = talloc_strdup (desc, "work");
  desc->step_count = (uint32_t)g_rand_int_range (random, 1, MAX_STEPS + 1);
  desc->steps = talloc_zero_array (desc, struct jb_step, desc->step_count);
  desc->received_unix_ms = (bench->now + UNIX_ORIGIN) / JB_MS;
  desc->max_attempts = 3;
  desc->stretch_milli = 3000;
  desc->due_margin_ms = 500;
  for (uint32_t i = 0; i < desc->step_count; i++)
    {
      struct jb_step *step = &desc->steps[i];

      step->task_count
          = (uint32_t)g_rand_int_range (random, MIN_TASKS, MAX_TASKS + 1);
      step->resources.cpu_milli
          = cpu_milli[g_rand_int_range (random, 0, G_N_ELEMENTS (cpu_milli))];
      step->resources.memory_mb = g_rand_int_range (random, 1, 5) * 1000;
      /* Half of the true run time, so that the backlog is accepted.  */
      step->estimate_ms = bench->single_events
                              ? EVENT_ESTIMATE_MS
                              : RUN_MS_PER_BACKEND * bench->backend_count / 2;
      if (i > 0 && g_rand_boolean (random))
        {
          step->predecessor_count = 1;
          step->predecessors = talloc_zero_array (desc, uint32_t, 1);
          step->predecessors[0] = i - 1;
        }
      if (g_rand_int_range (random, 0, SPECIAL_STEP_PERIOD) == 0)
        make_special (desc, random, step);
      if (bench->large_tasks
          && g_rand_int_range (random, 0, LARGE_STEP_PERIOD) == 0)
        step->resources.cpu_milli = LARGE_TASK_CPU_MILLI;
    }
  return desc;
}

static void
submit_job (struct bench *bench)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_msg_request request = { .call = ++bench->next_job,
                                    .kind = JB_REQUEST_SUBMIT,
                                    .pool = "pool",
                                    .desc = make_job (bench, mem) };
  double started;

  request.id = request.desc->id;
  request.queue = request.desc->queue;
  bench->unfinished++;
  bench->refused = false;
  started = cpu_seconds ();
  jb_pool_handle_request (bench->pool, bench->now, CLIENT, &request);
  record (bench, OPERATION_SUBMIT, started);
  record (bench,
          bench->refused ? EVENT_REFUSED_SUBMISSION
                         : EVENT_ACCEPTED_SUBMISSION,
          started);
  talloc_free (mem);
}

static void
list_backends (struct bench *bench)
{
  struct jb_backend_page page = { .list_requested_at = bench->now,
                                  .first = true,
                                  .last = true,
                                  .entries = bench->entries,
                                  .count = bench->backend_count };

  jb_pool_handle_backend_page (bench->pool, bench->now, &page);
}

/* Assign to all organisations shares that they never reach, and to the last
   one with a limit a tight one.  */
static void
assign_shares (struct bench *bench)
{
  struct jb_msg_org_share shares[ORG_COUNT - 1];
  struct jb_msg_shares message = { .pool = "pool",
                                   .fence = jb_pool_fence (bench->pool),
                                   .planner_fence = PLANNER_FENCE,
                                   .serial = ++bench->shares_serial,
                                   .count = ORG_COUNT - 1,
                                   .shares = shares };
  char names[ORG_COUNT][16];

  for (uint32_t i = 0; i < message.count; i++)
    {
      snprintf (names[i], sizeof names[i], "org%u", i);
      shares[i] = (struct jb_msg_org_share){
        .org = names[i], .share = { INT32_MAX, INT32_MAX, INT32_MAX }
      };
    }
  shares[ORG_COUNT - 2].share.cpu_milli = (int64_t)bench->backend_count
                                          * BACKEND_CPU_MILLI
                                          * TIGHT_SHARE_MILLI / 1000;
  jb_pool_handle_shares (bench->pool, bench->now, &message);
}

static void
report (struct bench *bench, bool load_due)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  double started = cpu_seconds ();
  struct jb_msg_usage usage;
  struct jb_msg_load load = { 0 };
  bool reported = jb_pool_report_usage (bench->pool, mem, bench->now,
                                        PLANNER_FENCE, &usage);

  if (reported)
    record (bench, EVENT_USAGE_REPORT, started);
  if (load_due)
    {
      double load_started = cpu_seconds ();

      jb_pool_get_load (bench->pool, mem, bench->now, &load);
      record (bench, EVENT_LOAD_REPORT, load_started);
    }
  if (reported || load_due)
    record (bench, OPERATION_REPORT, started);
  if (reported)
    for (uint32_t i = 0; i < usage.count; i++)
      {
        hash_number (bench, usage.org_usages[i].used.cpu_milli);
        hash_number (bench, usage.org_usages[i].wanted.cpu_milli);
      }
  hash_number (bench, load.waiting_cpu_milli);
  hash_number (bench, load.unfinished_work_cpu_milli_ms);
  talloc_free (mem);
}

/* ---- the benchmark ---- */

static struct jb_catalog *
make_catalog (TALLOC_CTX *mem)
{
  struct jb_catalog *catalog = talloc_zero (mem, struct jb_catalog);

  catalog->version = 1;
  catalog->org_count = ORG_COUNT;
  catalog->orgs = talloc_zero_array (catalog, struct jb_org, ORG_COUNT);
  for (uint32_t i = 0; i < ORG_COUNT; i++)
    {
      catalog->orgs[i].name = talloc_asprintf (catalog, "org%u", i);
      if (i < ORG_COUNT - 1)
        catalog->orgs[i].limit.cpu_milli = INT32_MAX;
    }
  catalog->queue_count = QUEUE_COUNT;
  catalog->queues = talloc_zero_array (catalog, struct jb_queue, QUEUE_COUNT);
  for (uint32_t i = 0; i < QUEUE_COUNT; i++)
    {
      catalog->queues[i].name = talloc_asprintf (catalog, "queue%u", i);
      catalog->queues[i].pool = talloc_strdup (catalog, "pool");
    }
  return catalog;
}

static void
make_backends (struct bench *bench)
{
  bench->entries = talloc_zero_array (bench, struct jb_backend_entry,
                                      bench->backend_count);
  for (uint32_t i = 0; i < bench->backend_count; i++)
    {
      struct backend *backend = talloc_zero (bench, struct backend);

      backend->instance = talloc_asprintf (backend, "i-%05u", i);
      backend->address
          = talloc_asprintf (backend, "10.0.%u.%u:9000", i / 256, i % 256);
      backend->labels[0] = talloc_asprintf (backend, "rack%u", i % RACK_COUNT);
      backend->runs = g_ptr_array_new ();
      g_hash_table_insert (bench->backends, backend->instance, backend);
      bench->entries[i]
          = (struct jb_backend_entry){ .instance = backend->instance,
                                       .pool = "pool",
                                       .address = backend->address,
                                       .zone = "zone",
                                       .capacity = { BACKEND_CPU_MILLI,
                                                     BACKEND_MEMORY_MB, 0 },
                                       .labels = backend->labels,
                                       .label_count = 1 };
    }
}

static struct bench *
make_bench (uint32_t backend_count)
{
  static const struct jb_driver_ops ops
      = { .submit = submit_command, .log = write_log };
  struct bench *bench = talloc_zero (NULL, struct bench);
  struct jb_pool_options options = { .bounds = &bench->bounds,
                                     .catalog = &bench->catalog,
                                     .name = "pool",
                                     .owner = "host",
                                     .incarnation = 1,
                                     .reply = receive_answer,
                                     .state_changed = ignore_state,
                                     .evacuated = ignore_evacuated,
                                     .data = bench };

  bench->now = JB_SECOND;
  bench->hash = 14695981039346656037U;
  bench->backend_count = backend_count;
  bench->events = g_sequence_new (NULL);
  bench->random = g_rand_new_with_seed (1);
  bench->backends = g_hash_table_new (g_str_hash, g_str_equal);
  bench->catalog = make_catalog (bench);
  make_backends (bench);
  bench->driver = jb_driver_new (bench, &ops, bench);
  options.driver = bench->driver;
  bench->pool = jb_pool_new (bench, &options);
  jb_pool_set_unix_origin (bench->pool, UNIX_ORIGIN);
  jb_pool_claim (bench->pool, bench->now);
  return bench;
}

static void
free_bench (struct bench *bench)
{
  GHashTableIter iter;
  gpointer value;

  talloc_free (bench->pool);
  g_hash_table_iter_init (&iter, bench->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GPtrArray *runs = ((struct backend *)value)->runs;

      for (guint i = 0; i < runs->len; i++)
        talloc_free (g_ptr_array_index (runs, i));
      g_ptr_array_free (runs, TRUE);
    }
  for (GSequenceIter *i = g_sequence_get_begin_iter (bench->events);
       !g_sequence_iter_is_end (i); i = g_sequence_iter_next (i))
    talloc_free (g_sequence_get (i));
  g_sequence_free (bench->events);
  g_hash_table_destroy (bench->backends);
  g_rand_free (bench->random);
  talloc_free (bench);
}

/* Handle the events that are due.  Return when the next one is.  */
static jb_time
handle_events (struct bench *bench)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (bench->events);
      struct event *event;

      if (g_sequence_iter_is_end (first))
        return JB_NEVER;
      event = g_sequence_get (first);
      if (event->at > bench->now)
        return event->at;
      g_sequence_remove (first);
      handle_event (bench, event);
      talloc_free (event);
    }
}

/* Advance BENCH to UNTIL, and keep JOB_COUNT jobs accepted that have not
   ended.  */
static void
advance (struct bench *bench, jb_time until, uint32_t job_count)
{
  jb_time next_list = bench->now;
  jb_time next_load = bench->now;
  bool shares_assigned = bench->measuring;
  uint32_t submissions
      = bench->single_events ? EVENT_SUBMISSIONS_PER_MS : SUBMISSIONS_PER_MS;

  while (bench->now < until)
    {
      jb_time next_event = handle_events (bench);
      jb_time next;
      double started;

      if (bench->now >= next_list
          && jb_pool_ownership_state (bench->pool) == JB_OWNERSHIP_HELD)
        {
          list_backends (bench);
          next_list = bench->now + LIST_INTERVAL;
          if (!shares_assigned)
            assign_shares (bench);
          shares_assigned = true;
        }
      bench->refused = false;
      for (uint32_t i = 0; i < submissions && shares_assigned
                           && !bench->refused && bench->unfinished < job_count;
           i++)
        submit_job (bench);
      report (bench, bench->now >= next_load);
      if (bench->now >= next_load)
        next_load = bench->now + LOAD_INTERVAL;
      started = cpu_seconds ();
      next = jb_pool_run (bench->pool, bench->now);
      record (bench, OPERATION_RUN, started);
      if (bench->has_ends && bench->now >= bench->cycle_at + CYCLE_INTERVAL)
        {
          record (bench, EVENT_STARTING_CYCLE, started);
          bench->has_ends = false;
          bench->cycle_at = bench->now;
        }
      next = MIN (next, next_event);
      bench->now = CLAMP (next, bench->now + 1, bench->now + JB_MS);
    }
}

/* What is measured: a pool with BACKEND_COUNT full backend servers and
   JOB_COUNT waiting jobs.  */
struct setup
{
  uint32_t job_count;
  uint32_t backend_count;
  bool large_tasks;
  bool lookahead;
};

/* Run the pool that SETUP describes, and print a row of the table.  Return the
   processor time of a second.  BASE is that of the first row, or 0.  */
static double
measure (const struct setup *setup, double base)
{
  struct bench *bench = make_bench (setup->backend_count);
  uint32_t job_count = setup->job_count;
  uint32_t backend_count = setup->backend_count;
  uint32_t jobs
      = job_count + backend_count * TASKS_PER_BACKEND / MEAN_TASKS_PER_JOB;
  double measured_s = (double)MEASURED_TIME / JB_SECOND;
  double total = 0;

  bench->large_tasks = setup->large_tasks;
  bench->bounds.lookahead = setup->lookahead;
  advance (bench, bench->now + WARM_UP, jobs);
  bench->measuring = true;
  bench->starts = 0;
  advance (bench, bench->now + MEASURED_TIME, jobs);
  for (uint32_t i = 0; i < OPERATION_COUNT; i++)
    total += bench->seconds[i] / measured_s;
  printf ("| %u | %u | %u | %.0f", job_count, backend_count, bench->unfinished,
          (double)bench->starts / measured_s);
  for (uint32_t i = 0; i < OPERATION_COUNT; i++)
    printf (" | %.1f", bench->seconds[i] * 1e6 / (bench->counts[i] + 1e-9));
  printf (" | %.2f | %.2f | %.2f | %016llx |\n",
          bench->seconds[OPERATION_RUN] * 100 / measured_s, total * 100,
          base > 0 ? total / base : 1, (unsigned long long)bench->hash);
  fflush (stdout);
  free_bench (bench);
  return total;
}

/* Compare placement with and without lookahead.  */
static void
measure_lookahead (uint32_t job_count, uint32_t backend_count)
{
  struct setup setup = { job_count, backend_count, true, false };
  double base = measure (&setup, 0);

  setup.lookahead = true;
  measure (&setup, base);
}

/* Submit a job that makes the backlog too long, so that all others are
   refused.  */
static void
fill_backlog (struct bench *bench)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_msg_request request = { .call = ++bench->next_job,
                                    .kind = JB_REQUEST_SUBMIT,
                                    .pool = "pool",
                                    .desc = make_job (bench, mem) };

  request.id = request.desc->id;
  request.queue = request.desc->queue;
  request.desc->priority = 1;
  request.desc->step_count = 1;
  request.desc->steps[0].task_count = bench->backend_count;
  request.desc->steps[0].resources.cpu_milli = BACKEND_CPU_MILLI;
  request.desc->steps[0].estimate_ms = 60000;
  bench->unfinished++;
  jb_pool_handle_request (bench->pool, bench->now, CLIENT, &request);
  talloc_free (mem);
}

static void
count_pending (struct bench *bench)
{
  struct jb_msg_request request = { .call = ++bench->next_job,
                                    .kind = JB_REQUEST_PENDING_COUNT,
                                    .pool = "pool",
                                    .id = "",
                                    .queue = "queue0" };
  double started = cpu_seconds ();

  jb_pool_handle_request (bench->pool, bench->now, CLIENT, &request);
  record (bench, EVENT_PENDING_COUNT, started);
}

/* Cause the events that the load does not cause: no reply is delivered
   meanwhile, so the backend servers remain full.  */
static void
cause_events (struct bench *bench)
{
  jb_pool_run (bench->pool, bench->now);
  for (uint32_t i = 0; i < EVENT_REPETITIONS; i++)
    {
      uint32_t starts = bench->starts;
      double started;

      assign_shares (bench);
      bench->now += IDLE_CYCLE_INTERVAL;
      started = cpu_seconds ();
      jb_pool_run (bench->pool, bench->now);
      if (bench->starts == starts)
        record (bench, EVENT_IDLE_CYCLE, started);
      count_pending (bench);
    }
  fill_backlog (bench);
  for (uint32_t i = 0; i < EVENT_REPETITIONS; i++)
    submit_job (bench);
}

/* Print a row with the processor time of single events with JOB_COUNT active
   jobs.  */
static void
measure_events (uint32_t job_count)
{
  struct bench *bench = make_bench (EVENT_BACKENDS);

  bench->single_events = true;
  /* Few requests may wait while the pool's rows are being read.  */
  advance (bench, bench->now + LIST_INTERVAL, 0);
  advance (bench, bench->now + EVENT_WARM_UP, job_count);
  bench->measuring = true;
  advance (bench, bench->now + MEASURED_TIME, job_count);
  printf ("| %u", bench->unfinished);
  cause_events (bench);
  for (uint32_t i = EVENT_REFUSED_SUBMISSION; i < EVENT_END; i++)
    {
      g_assert (bench->counts[i] > 0);
      printf (" | %.1f", bench->seconds[i] * 1e6 / bench->counts[i]);
    }
  printf (" | %016llx |\n", (unsigned long long)bench->hash);
  fflush (stdout);
  free_bench (bench);
}

static void
measure_all_events (void)
{
  static const uint32_t job_counts[] = { 10, 100, 1000, 10000 };

  printf ("| active jobs | refused submission, us | accepted submission, us | "
          "usage report, us | load report, us | scheduling cycle with nothing "
          "to start, us | scheduling cycle after ends, us | probe answer with "
          "one end, us | count of pending "
          "jobs, us | decisions |\n");
  printf ("|---|---|---|---|---|---|---|---|---|---|\n");
  for (uint32_t i = 0; i < G_N_ELEMENTS (job_counts); i++)
    measure_events (job_counts[i]);
}

int
main (int argc, char **argv)
{
  static const uint32_t job_counts[] = { 50, 200, 600 };
  static const uint32_t backend_counts[] = { 20, 80, 300 };
  double base = 0;

  if (argc == 2 && strcmp (argv[1], "events") == 0)
    {
      measure_all_events ();
      return 0;
    }
  printf (
      "| waiting jobs | backend servers | jobs not ended | starts/s | run, "
      "us | submission, us | probe reply, us | start reply, us | write "
      "reply, us | report, us | runs, %% of a core | all, %% of a core | "
      "ratio | decisions |\n");
  printf ("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  if (argc >= 2 && strcmp (argv[1], "lookahead") == 0)
    {
      if (argc == 4)
        measure_lookahead ((uint32_t)atoi (argv[2]), (uint32_t)atoi (argv[3]));
      else
        measure_lookahead (LOOKAHEAD_JOBS, LOOKAHEAD_BACKENDS);
      return 0;
    }
  if (argc == 3)
    {
      struct setup setup = { .job_count = (uint32_t)atoi (argv[1]),
                             .backend_count = (uint32_t)atoi (argv[2]) };

      measure (&setup, 0);
      return 0;
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (backend_counts); i++)
    for (uint32_t j = 0; j < G_N_ELEMENTS (job_counts); j++)
      {
        struct setup setup = { .job_count = job_counts[j],
                               .backend_count = backend_counts[i] };
        double total = measure (&setup, base);

        base = base > 0 ? base : total;
      }
  return 0;
}
