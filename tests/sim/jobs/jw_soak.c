/* Random load and random faults, followed by a recovery phase without faults,
   at whose end all jobs must have the right state.  */

#include "jw_soak.h"

#include <stdio.h>

/* Length of the phase with load and faults, and of the recovery phase.  */
#define FAULT_PHASE (25 * JB_SECOND)
#define RECOVERY_PHASE (80 * JB_SECOND)

/* With external hosts, in real time, the fault phase is shorter, and the
   recovery phase ends as soon as all jobs have settled and the maintenance
   wave has ended, but not before all injected faults are over.  */
#define EXTERNAL_FAULT_PHASE (12 * JB_SECOND)
#define EXTERNAL_MIN_RECOVERY_PHASE (12 * JB_SECOND)
#define QUERY_INTERVAL (2 * JB_SECOND)

/* A host that is short of processor time alternately stalls and runs.  These
   are the longest phases of each kind.  */
#define MAX_STALL_MS 1500
#define MAX_RUNNABLE_MS 400

/* While backend servers restart under their names, this share of the commands
   to them is not answered, and half of the commands that are carried out
   arrive up to MAX_DELAY_MS late.  A backend server is cut off before it
   restarts, for up to MAX_CUT_MS in all.  */
#define RESTART_LOSS_PERMILLE 100
#define RESTART_MAX_DELAY_MS 12000
#define MAX_RESTART_GAP_MS 1500
#define MAX_CUT_MS 5000

/* While leases are granted late, this share of them is, and backend servers
   fall silent for a time between these, one after another.  */
#define LATE_LEASE_PERMILLE 500
#define MIN_SILENCE_MS 1000
#define MAX_SILENCE_MS 9000
#define MAX_SILENCE_GAP_MS 6000

/* A quarter of the jobs then have one step that lasts longer by this factor,
   so that its tasks outlast their leases.  */
#define LATE_LEASE_DURATION_FACTOR 5

/* Longest time between two orders or removals.  Three quarters of the times
   are much shorter, so that one follows the other before it has taken
   effect.  */
#define MAX_ORDER_GAP_MS 12000
#define MAX_SHORT_ORDER_GAP_MS 800

/* A group of entry hosts is cut off for a time between these, and some backend
   servers a moment later.  */
#define MIN_GROUP_CUT_MS 1500
#define MAX_GROUP_CUT_MS 12000
#define MAX_GROUP_CUT_GAP_MS 4000
#define MAX_SILENCE_DELAY_MS 1500

/* Longest time between two moves of queues to other pools, and the number of
   jobs that are submitted again in between.  */
#define MAX_QUEUE_MOVE_GAP_MS 3000

/* Longest time between two signals to entry hosts.  */
#define MAX_SIGNAL_GAP_MS 1500

/* Longest additional time for a reply of a backend server, which is just in
   time for a start, and for one of the store, and longest time between two
   changes of both.  */
#define MAX_REPLY_DELAY_MS 295
#define MAX_STORE_DELAY_MS 200
#define MAX_REPLY_DELAY_GAP_MS 1500

/* Share of the commands to backend servers that are then sent twice.  */
#define RESEND_PERMILLE 20

/* Longest delay of an event in the event loop of an owner that is late, and
   longest time between two changes of it.  */
#define MAX_EVENT_DELAY_MS 1500
#define MAX_EVENT_DELAY_GAP_MS 1000

/* Clients then overestimate their tasks by this factor, so that the backlog is
   at the limit of what is accepted and room comes and goes.  */
#define OVERESTIMATE_FACTOR 30

enum
{
  BACKENDS = 4,       /* in each pool */
  MANY_BACKENDS = 12, /* so many that some are idle for long */
  REPEATS_PER_QUEUE_MOVE = 12,
  MAX_LONG_RUNNING_JOBS = 3,
  SILENT_BACKENDS_PER_GROUP_CUT = 3
};

/* The scheduled end of an injected fault.  */
struct recovery
{
  enum recovery_kind
  {
    RECOVER_HOST,
    RECOVER_FROZEN_HOST,
    RECOVER_STORE_LINK,
    RECOVER_PEER_LINKS,
    RECOVER_BACKEND_LINKS,
    RECOVER_STORE,
    RECOVER_STORE_REPLIES,
    RECOVER_BACKEND_REPLIES,
    RECOVER_BACKEND
  } kind;
  uint32_t index;
  struct jw_backend *backend;
};

static void
recover (struct jw_world *world, void *data)
{
  struct recovery *recovery = data;
  struct jw_host *host = &world->hosts[recovery->index];

  switch (recovery->kind)
    {
    case RECOVER_HOST:
      jw_host_start (world, recovery->index);
      break;
    case RECOVER_FROZEN_HOST:
      jw_host_set_frozen (world, recovery->index, false);
      break;
    case RECOVER_STORE_LINK:
      host->store_unreachable = false;
      break;
    case RECOVER_PEER_LINKS:
      host->peers_unreachable = false;
      break;
    case RECOVER_BACKEND_LINKS:
      host->backends_unreachable = false;
      break;
    case RECOVER_STORE:
      world->store_down = false;
      break;
    case RECOVER_STORE_REPLIES:
      world->loss_permille.store_commands = 0;
      break;
    case RECOVER_BACKEND_REPLIES:
      world->loss_permille.backend_commands = 0;
      break;
    case RECOVER_BACKEND:
      recovery->backend->unreachable = false;
      recovery->backend->unlisted = false;
      recovery->backend->fails_all_runs = false;
      break;
    }
}

static void
schedule_recovery (struct jw_world *world, enum recovery_kind kind,
                   uint32_t index, struct jw_backend *backend, int min_ms,
                   int max_ms)
{
  struct recovery *recovery = talloc_zero (NULL, struct recovery);

  recovery->kind = kind;
  recovery->index = index;
  recovery->backend = backend;
  jw_schedule (world,
               world->now
                   + g_rand_int_range (world->random, min_ms, max_ms) * JB_MS,
               recover, recovery);
}

/* A host that stalls again and again until UNTIL.  It has a random generator
   of its own, so that a seed gives the same other faults as without stalls.
 */
struct stall_cycle
{
  GRand *random;
  uint32_t index;
  bool stalled;
  jb_time until;
};

static int
stall_cycle_destroy (struct stall_cycle *cycle)
{
  g_rand_free (cycle->random);
  return 0;
}

static void
next_stall_phase (struct jw_world *world, void *data)
{
  struct stall_cycle *cycle = *(struct stall_cycle **)data;
  struct stall_cycle **next;
  int max_ms;

  cycle->stalled = !cycle->stalled && world->now < cycle->until;
  jw_host_set_frozen (world, cycle->index, cycle->stalled);
  if (world->now >= cycle->until)
    return;
  next = talloc (NULL, struct stall_cycle *);
  *next = cycle;
  max_ms = cycle->stalled ? MAX_STALL_MS : MAX_RUNNABLE_MS;
  jw_schedule (
      world, world->now + g_rand_int_range (cycle->random, 20, max_ms) * JB_MS,
      next_stall_phase, next);
}

static void
begin_stall_cycle (struct jw_world *world, uint32_t seed, jb_time until)
{
  struct stall_cycle *cycle = talloc_zero (world, struct stall_cycle);
  struct stall_cycle **first = talloc (NULL, struct stall_cycle *);

  cycle->random = g_rand_new_with_seed (seed);
  cycle->index = seed % world->options.hosts;
  cycle->until = until;
  talloc_set_destructor (cycle, stall_cycle_destroy);
  *first = cycle;
  jw_schedule (world, world->now, next_stall_phase, first);
}

/* Return a backend server drawn with RANDOM, or NULL.  The draws are
   statements of their own since the order in which arguments are evaluated
   depends on the architecture.  */
static struct jw_backend *
random_backend (struct jw_world *world, GRand *random)
{
  uint32_t index = (uint32_t)g_rand_int_range (
      random, 0, (gint32)world->options.backends);
  uint32_t pool
      = (uint32_t)g_rand_int_range (random, 0, (gint32)world->options.pools);

  return jw_find_backend (world, pool, index);
}

static void
restart_backend (struct jw_world *world, void *data)
{
  jw_backend_restart (world, *(struct jw_backend **)data);
}

static void
schedule_step (struct jw_world *world, jb_time delay,
               jw_event_handler *handler, void *pointer)
{
  void **chunk = talloc (NULL, void *);

  *chunk = pointer;
  jw_schedule (world, world->now + delay, handler, chunk);
}

/* Faults of one kind that follow one another until UNTIL.  They have a random
   generator of their own, so that a seed gives the same other faults as
   without them.  */
struct fault_cycle
{
  GRand *random;
  jb_time until;
};

static int
fault_cycle_destroy (struct fault_cycle *cycle)
{
  g_rand_free (cycle->random);
  return 0;
}

/* Begin a cycle whose steps are calls of NEXT, each of which schedules the
   following one.  */
static void
begin_fault_cycle (struct jw_world *world, uint32_t seed, jb_time until,
                   jw_event_handler *next)
{
  struct fault_cycle *cycle = talloc_zero (world, struct fault_cycle);

  cycle->random = g_rand_new_with_seed (seed);
  cycle->until = until;
  talloc_set_destructor (cycle, fault_cycle_destroy);
  schedule_step (world, 0, next, cycle);
}

static void
end_cut (struct jw_world *world, void *data)
{
  (void)world;
  (*(struct jw_backend **)data)->unreachable = false;
}

/* Restart a backend server, in half of the cases behind a cut.  */
static void
next_restart (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  struct jw_backend *backend;
  jb_time cut;

  if (world->now >= cycle->until)
    {
      world->loss_permille.backend_commands = 0;
      return;
    }
  world->loss_permille.backend_commands = RESTART_LOSS_PERMILLE;
  backend = random_backend (world, cycle->random);
  cut = g_rand_int_range (cycle->random, 100, MAX_CUT_MS) * JB_MS;
  if (backend != NULL && g_rand_boolean (cycle->random))
    {
      backend->unreachable = true;
      schedule_step (world, cut / 2, restart_backend, backend);
      schedule_step (world, cut, end_cut, backend);
    }
  else if (backend != NULL)
    jw_backend_restart (world, backend);
  schedule_step (
      world, g_rand_int_range (cycle->random, 50, MAX_RESTART_GAP_MS) * JB_MS,
      next_restart, cycle);
}

/* Let a backend server fall silent while leases are granted late.  */
static void
next_silence (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  struct jw_backend *backend;
  jb_time silence;
  jb_time gap;

  world->late_lease_permille
      = world->now < cycle->until ? LATE_LEASE_PERMILLE : 0;
  if (world->now >= cycle->until)
    return;
  backend = random_backend (world, cycle->random);
  silence = g_rand_int_range (cycle->random, MIN_SILENCE_MS, MAX_SILENCE_MS)
            * JB_MS;
  gap = g_rand_int_range (cycle->random, 50, MAX_SILENCE_GAP_MS) * JB_MS;
  if (backend != NULL)
    {
      backend->unreachable = true;
      schedule_step (world, silence, end_cut, backend);
    }
  schedule_step (world, gap, next_silence, cycle);
}

static void next_group_cut (struct jw_world *world, void *data);

static void
end_group_cut (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;

  jw_cut_group (world, 0, 0);
  schedule_step (world,
                 g_rand_int_range (cycle->random, 50, MAX_GROUP_CUT_GAP_MS)
                     * JB_MS,
                 next_group_cut, cycle);
}

static void
begin_silence (struct jw_world *world, void *data)
{
  (void)world;
  (*(struct jw_backend **)data)->unreachable = true;
}

/* Cut a group off that contains the owner of a pool.  */
static void
next_group_cut (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  uint32_t pool = (uint32_t)g_rand_int_range (cycle->random, 0,
                                              (gint32)world->options.pools);
  int owner = jw_pool_owner (world, pool);
  jb_time duration
      = g_rand_int_range (cycle->random, MIN_GROUP_CUT_MS, MAX_GROUP_CUT_MS)
        * JB_MS;
  uint32_t count = (uint32_t)g_rand_int_range (cycle->random, 1,
                                               (gint32)world->options.hosts);

  if (world->now >= cycle->until)
    return;
  jw_cut_group (world, (uint32_t)MAX (owner, 0), count);
  for (uint32_t i = 0; i < SILENT_BACKENDS_PER_GROUP_CUT; i++)
    {
      struct jw_backend *backend = random_backend (world, cycle->random);
      jb_time delay
          = g_rand_int_range (cycle->random, 0, MAX_SILENCE_DELAY_MS) * JB_MS;

      if (backend == NULL)
        continue;
      schedule_step (world, delay, begin_silence, backend);
      schedule_step (world, delay + duration * 2 / 3, end_cut, backend);
    }
  schedule_step (world, duration, end_group_cut, cycle);
}

static void
resubmit_random_job (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  guint skipped = (guint)g_rand_int_range (
      cycle->random, 0, (gint32)g_hash_table_size (world->jobs) + 1);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jw_job *job = value;

      if (skipped-- > 0)
        continue;
      if (job->accepted && !job->cancel_sent)
        jw_resubmit_job (world, job->desc->id);
      return;
    }
}

/* Move a queue to another pool, and submit jobs again before the next move. */
static void
next_queue_move (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  gint32 pools = (gint32)world->options.pools;
  uint32_t queue = (uint32_t)g_rand_int_range (cycle->random, 0, pools);
  uint32_t pool = (uint32_t)g_rand_int_range (cycle->random, 0, pools);
  int gap_ms = g_rand_int_range (cycle->random, 20, MAX_QUEUE_MOVE_GAP_MS);

  if (world->now >= cycle->until)
    return;
  jw_move_queue (world, queue, pool);
  for (int i = 0; i < REPEATS_PER_QUEUE_MOVE; i++)
    schedule_step (world, g_rand_int_range (cycle->random, 0, gap_ms) * JB_MS,
                   resubmit_random_job, cycle);
  schedule_step (world, gap_ms * JB_MS, next_queue_move, cycle);
}

/* Evacuate a zone, or take it back if it is evacuated.  In the end all are
   taken back.  */
static void
next_order (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  uint32_t zone = (uint32_t)g_rand_int_range (cycle->random, 0, JW_ZONE_COUNT);
  int max_gap_ms = g_rand_int_range (cycle->random, 0, 4) == 0
                       ? MAX_ORDER_GAP_MS
                       : MAX_SHORT_ORDER_GAP_MS;

  if (world->now >= cycle->until)
    {
      for (uint32_t i = 0; i < JW_ZONE_COUNT; i++)
        jw_restore_zone (world, i);
      return;
    }
  if (world->zones[zone].evacuated)
    jw_restore_zone (world, zone);
  else
    jw_evacuate_zone (world, zone);
  schedule_step (world,
                 g_rand_int_range (cycle->random, 0, max_gap_ms) * JB_MS,
                 next_order, cycle);
}

static uint32_t
random_below (struct jw_world *world, uint32_t limit)
{
  return (uint32_t)g_rand_int_range (world->random, 0, (gint32)limit);
}

/* Return the index of an entry host, more often of one that owns a pool.  */
static uint32_t
random_host (struct jw_world *world)
{
  int owner
      = jw_pool_owner (world, random_below (world, world->options.pools));

  if (owner >= 0 && jw_random_permille (world, 600))
    return (uint32_t)owner;
  return random_below (world, world->options.hosts);
}

static void
inject_host_fault (struct jw_world *world)
{
  uint32_t index = random_host (world);
  struct jw_host *host = &world->hosts[index];

  switch (random_below (world, 7))
    {
    case 0:
    case 1:
      jw_host_kill (world, index);
      schedule_recovery (world, RECOVER_HOST, index, NULL, 600, 3000);
      break;
    case 2:
      jw_host_stop (world, index);
      schedule_recovery (world, RECOVER_HOST, index, NULL, 2600, 4000);
      break;
    case 3:
      jw_host_set_frozen (world, index, true);
      schedule_recovery (world, RECOVER_FROZEN_HOST, index, NULL, 500, 5000);
      break;
    case 4:
      host->store_unreachable = true;
      schedule_recovery (world, RECOVER_STORE_LINK, index, NULL, 500, 6000);
      break;
    case 5:
      host->peers_unreachable = true;
      schedule_recovery (world, RECOVER_PEER_LINKS, index, NULL, 500, 6000);
      break;
    default:
      host->backends_unreachable = true;
      schedule_recovery (world, RECOVER_BACKEND_LINKS, index, NULL, 500, 5000);
      break;
    }
}

/* Send a signal to an entry host, perhaps one that is frozen or stopping.  */
static void
next_signal (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  uint32_t index = (uint32_t)g_rand_int_range (cycle->random, 0,
                                               (gint32)world->options.hosts);
  int gap_ms = g_rand_int_range (cycle->random, 5, MAX_SIGNAL_GAP_MS);

  if (world->now >= cycle->until)
    return;
  switch (g_rand_int_range (cycle->random, 0, 6))
    {
    case 0:
      jw_host_kill (world, index);
      schedule_recovery (world, RECOVER_HOST, index, NULL, 600, 3000);
      break;
    case 1:
      jw_host_stop (world, index);
      schedule_recovery (world, RECOVER_HOST, index, NULL, 2600, 4000);
      break;
    case 2:
    case 3:
      jw_host_set_frozen (world, index, true);
      schedule_recovery (world, RECOVER_FROZEN_HOST, index, NULL, 50, 4000);
      break;
    default:
      jw_host_reload (world, index);
      break;
    }
  schedule_step (world, gap_ms * JB_MS, next_signal, cycle);
}

/* Let the replies of backend servers and of the store take another time.  */
static void
next_reply_delay (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  bool is_over = world->now >= cycle->until;
  int backend_ms = g_rand_int_range (cycle->random, 0, MAX_REPLY_DELAY_MS);
  int store_ms = g_rand_int_range (cycle->random, 0, MAX_STORE_DELAY_MS);
  int gap_ms = g_rand_int_range (cycle->random, 50, MAX_REPLY_DELAY_GAP_MS);

  world->backend_reply_delay = is_over ? 0 : backend_ms * JB_MS;
  world->store_delay = is_over ? 0 : store_ms * JB_MS;
  world->resend_permille = is_over ? 0 : RESEND_PERMILLE;
  if (!is_over)
    schedule_step (world, gap_ms * JB_MS, next_reply_delay, cycle);
}

/* Let the event loop of the owner of a pool handle what arrives late, and
   those of the others in time.  */
static void
next_event_delay (struct jw_world *world, void *data)
{
  struct fault_cycle *cycle = *(struct fault_cycle **)data;
  uint32_t pool = (uint32_t)g_rand_int_range (cycle->random, 0,
                                              (gint32)world->options.pools);
  int delay_ms = g_rand_int_range (cycle->random, 0, MAX_EVENT_DELAY_MS);
  int gap_ms = g_rand_int_range (cycle->random, 50, MAX_EVENT_DELAY_GAP_MS);
  int owner = jw_pool_owner (world, pool);

  for (uint32_t i = 0; i < world->options.hosts; i++)
    world->hosts[i].event_delay = 0;
  if (world->now >= cycle->until)
    return;
  if (owner >= 0)
    world->hosts[owner].event_delay = delay_ms * JB_MS;
  schedule_step (world, gap_ms * JB_MS, next_event_delay, cycle);
}

static void
inject_backend_fault (struct jw_world *world)
{
  struct jw_backend *backend = random_backend (world, world->random);

  if (backend == NULL)
    return;
  switch (random_below (world, 5))
    {
    case 0:
      jw_backend_crash (world, backend, false);
      break;
    case 1:
    case 2:
      backend->unreachable = true;
      schedule_recovery (world, RECOVER_BACKEND, 0, backend, 1000, 7000);
      break;
    case 3:
      backend->unlisted = true;
      schedule_recovery (world, RECOVER_BACKEND, 0, backend, 1000, 6000);
      break;
    default:
      backend->fails_all_runs = true;
      world->backends_fail_runs = true;
      schedule_recovery (world, RECOVER_BACKEND, 0, backend, 500, 2000);
      break;
    }
}

static void
inject_global_fault (struct jw_world *world)
{
  switch (random_below (world, 4))
    {
    case 0:
      world->store_down = true;
      schedule_recovery (world, RECOVER_STORE, 0, NULL, 500, 5000);
      break;
    case 1:
      world->loss_permille.store_commands = 50 + random_below (world, 300);
      schedule_recovery (world, RECOVER_STORE_REPLIES, 0, NULL, 1000, 5000);
      break;
    case 2:
      world->loss_permille.backend_commands = 20 + random_below (world, 150);
      schedule_recovery (world, RECOVER_BACKEND_REPLIES, 0, NULL, 1000, 5000);
      break;
    default:
      for (uint32_t i = 0; i < world->options.hosts; i++)
        {
          jw_host_kill (world, i);
          schedule_recovery (world, RECOVER_HOST, i, NULL, 500, 1500);
        }
      break;
    }
}

/* Submit a random job, and perhaps cancel it.  */
static void
submit_random_job (struct jw_world *world, uint32_t *long_running_count,
                   const struct jw_soak *soak)
{
  struct jw_job_options job
      = { .pool = random_below (world, world->options.pools),
          .step_count = 1 + random_below (world, 3),
          .tasks_per_step = 1 + random_below (world, 5),
          .cpu_milli = 1000,
          .duration_ms = 200 + random_below (world, 1200) };
  const char *id;

  switch (random_below (world, 14))
    {
    case 0:
      job.always_fails = true;
      break;
    case 1:
      /* Long-running jobs never end, so there must be few of them to leave
         capacity for the others.  */
      if (++*long_running_count > MAX_LONG_RUNNING_JOBS)
        break;
      job.long_running = true;
      job.step_count = 1;
      job.tasks_per_step = 3;
      job.max_unavailable = 1;
      break;
    case 2:
      job.gang = true;
      job.step_count = 1;
      break;
    case 3:
      job.occurrence_count = 3;
      job.step_count = 1;
      job.interval_ms = 1500;
      break;
    default:
      break;
    }
  if (jw_random_permille (world, 300))
    job.api_key = "key-1";
  if (soak->late_hosts)
    job.estimate_ms = job.duration_ms * OVERESTIMATE_FACTOR;
  job.speculative = soak->speculative_steps && job.duration_ms % 3 == 0;
  if (soak->late_leases != JW_LATE_LEASES_NONE && job.duration_ms % 4 == 0)
    {
      job.step_count = 1;
      job.duration_ms *= LATE_LEASE_DURATION_FACTOR;
    }
  id = jw_submit_job (world, &job);
  if (jw_random_permille (world, 100) && !job.long_running)
    {
      jw_advance (world, random_below (world, 800) * JB_MS);
      jw_cancel_job (world, id);
    }
}

static bool
has_recovered (struct jw_world *world)
{
  return jw_have_all_jobs_settled (world)
         && (world->wave_version == 0 || world->wave_completed);
}

static void
run_recovery_phase (struct jw_world *world)
{
  jb_time end = world->now + RECOVERY_PHASE;

  if (world->options.external_hosts == NULL)
    {
      jw_advance (world, RECOVERY_PHASE);
      return;
    }
  jw_advance (world, EXTERNAL_MIN_RECOVERY_PHASE);
  while (world->now < end && !has_recovered (world))
    {
      jw_query_all_jobs (world);
      jw_advance (world, QUERY_INTERVAL);
    }
}

void
jw_soak_run (struct jw_soak *soak)
{
  struct jw_options options
      = { .seed = soak->seed,
          .hosts = 3 + soak->seed % 4 + soak->more_hosts,
          .small_hosts = soak->small_hosts,
          .pools = 2,
          .backends = soak->slow_replies ? MANY_BACKENDS : BACKENDS,
          .backend_cpu_milli = 12000,
          .no_overload_guard = soak->no_overload_guard,
          .org_cpu_limit_milli = soak->seed % 3 == 0 ? 26000 : 0,
          .disabled_safeguards = soak->disabled_safeguards,
          .lookahead = soak->lookahead,
          .max_delay_ms = soak->restart_backends ? RESTART_MAX_DELAY_MS : 0,
          .late_leases = soak->late_leases,
          .external_hosts = soak->external_hosts,
          .network_prefix = soak->network_prefix,
          .backend_port = soak->backend_port,
          .verbose = soak->verbose };
  struct jw_world *world = jw_world_new (&options);
  uint32_t long_running_count = 0;
  jb_time end;

  world->clients_give_up = soak->late_hosts;
  if (soak->on_world_change != NULL)
    soak->on_world_change (soak->on_world_change_data, world);
  jw_advance (world, 4 * JB_SECOND);
  end = world->now
        + (soak->external_hosts != NULL ? EXTERNAL_FAULT_PHASE : FAULT_PHASE);
  if (soak->seed % 2 == 0)
    jw_start_wave (world, 2, 20000);
  if (soak->stall_one_host)
    begin_stall_cycle (world, soak->seed, end);
  if (soak->restart_backends)
    begin_fault_cycle (world, soak->seed, end, next_restart);
  if (soak->late_leases != JW_LATE_LEASES_NONE)
    begin_fault_cycle (world, soak->seed, end, next_silence);
  if (soak->cut_groups)
    begin_fault_cycle (world, soak->seed, end, next_group_cut);
  if (soak->move_queues)
    begin_fault_cycle (world, soak->seed, end, next_queue_move);
  if (soak->evacuate_zones)
    begin_fault_cycle (world, soak->seed, end, next_order);
  if (soak->signal_series)
    begin_fault_cycle (world, soak->seed, end, next_signal);
  if (soak->slow_replies)
    begin_fault_cycle (world, soak->seed, end, next_reply_delay);
  if (soak->late_hosts)
    begin_fault_cycle (world, soak->seed, end, next_event_delay);
  while (world->now < end)
    {
      uint32_t kind = random_below (world, 100);

      if (kind < 70)
        submit_random_job (world, &long_running_count, soak);
      else if (kind < 86)
        inject_host_fault (world);
      else if (kind < 95)
        inject_backend_fault (world);
      else if (kind < 98)
        inject_global_fault (world);
      else
        jw_bump_catalog_version (world);
      jw_advance (world, random_below (world, 160) * JB_MS);
    }
  run_recovery_phase (world);
  jw_check_final_states (world);
  soak->violations = world->violations;
  soak->task_starts = world->task_starts;
  soak->job_count = g_hash_table_size (world->jobs);
  g_strlcpy (soak->first_violation, world->first_violation,
             sizeof soak->first_violation);
  if (soak->on_world_change != NULL)
    soak->on_world_change (soak->on_world_change_data, NULL);
  jw_world_free (world);
}
