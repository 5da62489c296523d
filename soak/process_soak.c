/* Runs entry hosts as processes under random load and faults, for one seed
   after another: process_soak --seed 1 --runs 3

   Each seed mixes JW_DEFAULT_MIX kinds of fault and load, as jw_mix_kinds
   does, and every tenth has many entry hosts.

   Or plays a fixed scenario: process_soak --demo, process_soak --stops,
   process_soak --restarts, process_soak --idle

   Exit status 0 if there was neither a violation nor a crash.  After the first
   seed that fails, the program ends and leaves the logs in the directory.  */

#include "jw_mix.h"
#include "ps_clients.h"
#include "ps_harness.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

/* All kinds that entry hosts take without further settings.  */
#define PROCESS_KINDS                                                         \
  (JW_ALL_KINDS & ~(1U << JW_KIND_SMALL_HOSTS | 1U << JW_KIND_LOOKAHEAD))

enum
{
  /* These seeds have 24 to 39 entry hosts, each a process with dozens of
     threads, the others at most 14.  */
  MANY_HOSTS_INTERVAL = 10,
  MIN_MANY_HOSTS = 21, /* beyond the usual 3 to 6 */
  MAX_MANY_HOSTS = 34,
  STOP_COUNT = 6,
  JOBS_PER_STOP = 50,
  CLIENTS_PER_STOP = 60,
  /* They have had a first answer when the signal comes, and go on for somewhat
     longer than a stop may take.  */
  CLIENT_DELAY_MS = 600,
  CLIENT_DURATION_MS = 2200,
  RESTART_ROUNDS = 4,
  RESTARTED_BACKENDS = 3
};

/* How long restarted backend servers are cut off, and longest time until one
   of them runs a task.  */
#define RESTART_CUT_TIME (9 * JB_SECOND)
#define RESTART_START_LIMIT (5 * JB_SECOND)

/* Time for the jobs to end after the last fault, as in jw_soak.c.  */
#define RECOVERY_TIME (80 * JB_SECOND)

struct arguments
{
  struct ps_options harness;
  uint32_t seed;
  uint32_t runs;
  uint32_t minutes;
  bool stalls;
  bool plain;
  bool demo;
  bool stops;
  bool restarts;
  bool idle;
  bool keep;
  uint32_t hosts; /* of the fixed scenarios */
};

static const struct argp_option options[] = {
  { "seed", 's', "N", 0, "First seed (1)", 0 },
  { "runs", 'r', "N", 0, "Number of seeds (1)", 0 },
  { "minutes", 'm', "N", 0, "Continue with further seeds for N minutes", 0 },
  { "network", 'n', "N", 0, "Use addresses in 127.N.0.0/16 (90)", 0 },
  { "program", 'p', "FILE", 0,
    "Path of dogwoodpulleyd (build/programs/dogwoodpulleyd)", 0 },
  { "directory", 'd', "DIR", 0, "For settings files and logs (run/soak)", 0 },
  { "stalls", 't', NULL, 0, "Let one entry host stall again and again", 0 },
  { "plain", 'P', NULL, 0, "Mix no kinds, and run the usual 3 to 6 hosts", 0 },
  { "demo", 'D', NULL, 0, "Demonstrate jobs while entry hosts fail", 0 },
  { "stops", 'S', NULL, 0,
    "Stop entry hosts in turn, as planned, while the store is slow", 0 },
  { "restarts", 'R', NULL, 0,
    "Restart backend servers under their names and cut them off, and stop or "
    "kill the owner of their pool",
    0 },
  { "idle", 'i', NULL, 0, "Run entry hosts without load until interrupted",
    0 },
  { "hosts", 'h', "N", 0, "Entry hosts of a fixed scenario (3)", 0 },
  { "memory-mb", 'M', "N", 0, "limits.memoryMb of each entry host (260)", 0 },
  { "descriptors", 'F', "N", 0, "limits.maxFds of each entry host (4096)", 0 },
  { "keep", 'k', NULL, 0, "After the demo, run until interrupted", 0 },
  { 0 }
};

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->seed = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'r':
      arguments->runs = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'm':
      arguments->minutes = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'n':
      arguments->harness.network = (uint32_t)strtoul (value, NULL, 10);
      if (arguments->harness.network < 1 || arguments->harness.network > 254)
        argp_error (state, "--network takes 1 to 254");
      return 0;
    case 'p':
      arguments->harness.program = value;
      return 0;
    case 'd':
      arguments->harness.directory = value;
      return 0;
    case 't':
      arguments->stalls = true;
      return 0;
    case 'P':
      arguments->plain = true;
      return 0;
    case 'D':
      arguments->demo = true;
      return 0;
    case 'S':
      arguments->stops = true;
      return 0;
    case 'R':
      arguments->restarts = true;
      return 0;
    case 'i':
      arguments->idle = true;
      arguments->keep = true;
      return 0;
    case 'h':
      arguments->hosts = (uint32_t)strtoul (value, NULL, 10);
      if (arguments->hosts < 1 || arguments->hosts > JW_MAX_HOST_COUNT)
        argp_error (state, "--hosts takes 1 to %d", (int)JW_MAX_HOST_COUNT);
      return 0;
    case 'M':
      arguments->harness.memory_mb = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'F':
      arguments->harness.max_descriptors = (uint32_t)strtoul (value, NULL, 10);
      return 0;
    case 'k':
      arguments->keep = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static struct ps_harness *
open_harness (const struct arguments *arguments)
{
  struct ps_harness *harness;

  g_mkdir_with_parents (arguments->harness.directory, 0755);
  harness = ps_harness_new (NULL, &arguments->harness);
  if (harness == NULL)
    {
      fprintf (stderr,
               "process_soak: the port of network %u is in use; choose "
               "another one with --network\n",
               arguments->harness.network);
      exit (EXIT_FAILURE);
    }
  return harness;
}

/* Remove the logs of the entry hosts, which are kept only after a failure.  */
static void
remove_logs (const struct arguments *arguments)
{
  for (uint32_t i = 0; i < JW_MAX_HOST_COUNT; i++)
    {
      char *log = g_strdup_printf ("%s/entry-%u.log",
                                   arguments->harness.directory, i);

      unlink (log);
      g_free (log);
    }
}

static void
choose_kinds (struct jw_soak *soak)
{
  uint32_t range = MAX_MANY_HOSTS - MIN_MANY_HOSTS + 1;

  jw_mix_kinds (soak, PROCESS_KINDS, JW_DEFAULT_MIX);
  if (soak->seed % MANY_HOSTS_INTERVAL == 0)
    soak->more_hosts
        = MIN_MANY_HOSTS + soak->seed / MANY_HOSTS_INTERVAL % range;
}

/* Run the simulation of SEED.  Return whether there was neither a violation
   nor a crash.  */
static bool
run_seed (const struct arguments *arguments, uint32_t seed)
{
  struct ps_harness *harness;
  struct jw_soak soak = { .seed = seed, .stall_one_host = arguments->stalls };
  uint32_t crashes;
  char *kinds;
  bool passed;

  if (!arguments->plain)
    choose_kinds (&soak);
  kinds = jw_mix_describe (NULL, &soak);
  printf ("seed %u:%s\n", seed, kinds);
  fflush (stdout);
  remove_logs (arguments);
  harness = open_harness (arguments);
  soak.external_hosts = ps_harness_external_hosts (harness);
  soak.network_prefix = ps_harness_network_prefix (harness);
  soak.backend_port = ps_harness_backend_port (harness);
  soak.on_world_change
      = (void (*) (void *, struct jw_world *))ps_harness_set_world;
  soak.on_world_change_data = harness;
  ps_harness_lock (harness);
  jw_soak_run (&soak);
  ps_harness_unlock (harness);
  crashes = ps_harness_take_crash_count (harness);
  talloc_free (harness);
  passed = soak.violations == 0 && crashes == 0;
  printf ("seed %u:%s: %u jobs, %u task starts, %u violations, %u crashes"
          "%s%s\n",
          seed, kinds, soak.job_count, soak.task_starts, soak.violations,
          crashes, soak.violations > 0 ? ", first " : "",
          soak.first_violation);
  talloc_free (kinds);
  fflush (stdout);
  if (passed)
    remove_logs (arguments);
  return passed;
}

static int
run_seeds (const struct arguments *arguments)
{
  int64_t end
      = g_get_monotonic_time () + (int64_t)arguments->minutes * 60 * 1000000;
  uint32_t failed_runs = 0;
  uint32_t runs = 0;

  while (runs < arguments->runs || g_get_monotonic_time () < end)
    {
      failed_runs += !run_seed (arguments, arguments->seed + runs++);
      if (failed_runs > 0)
        break; /* keep the logs of the failed seed */
    }
  printf ("%u runs from seed %u: %u failed\n", runs, arguments->seed,
          failed_runs);
  return failed_runs == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* ---- the demo ---- */

/* Query all jobs and count them by the states that are known.  */
static void
count_states (struct jw_world *world, uint32_t counts[JB_JOB_CANCELLED + 1])
{
  GHashTableIter iter;
  gpointer value;

  jw_query_all_jobs (world);
  jw_advance (world, 500 * JB_MS);
  g_hash_table_iter_init (&iter, world->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jw_job *job = value;

      if (job->state_known)
        counts[job->state]++;
    }
}

static void
print_progress (struct jw_world *world, const char *situation)
{
  uint32_t counts[JB_JOB_CANCELLED + 1] = { 0 };

  count_states (world, counts);
  printf ("%-44s %4u jobs: %4u completed, %3u running, %3u pending; "
          "%u task starts\n",
          situation, g_hash_table_size (world->jobs), counts[JB_JOB_COMPLETED],
          counts[JB_JOB_RUNNING], counts[JB_JOB_PENDING], world->task_starts);
  fflush (stdout);
}

/* Submit COUNT jobs to all pools in turn; every fifth one is a gang.  */
static void
submit_jobs (struct jw_world *world, uint32_t count)
{
  static const struct jw_job_options work = {
    .step_count = 2, .tasks_per_step = 4, .cpu_milli = 1000, .duration_ms = 400
  };
  static const struct jw_job_options gang = { .step_count = 1,
                                              .tasks_per_step = 4,
                                              .cpu_milli = 1000,
                                              .duration_ms = 400,
                                              .gang = true };

  for (uint32_t i = 0; i < count; i++)
    {
      struct jw_job_options job = i % 5 == 4 ? gang : work;

      job.pool = i % world->options.pools;
      jw_submit_job (world, &job);
      jw_advance (world, 60 * JB_MS);
    }
}

static void
run_demo_scenario (struct jw_world *world)
{
  static const struct jw_job_options long_running_job
      = { .step_count = 1,
          .tasks_per_step = 3,
          .cpu_milli = 1000,
          .duration_ms = 400,
          .long_running = true,
          .max_unavailable = 1 };
  int owner;

  jw_advance (world, 4 * JB_SECOND);
  jw_submit_job (world, &long_running_job);
  submit_jobs (world, 30);
  print_progress (world, "jobs of two queues and a long-running one");
  owner = MAX (jw_pool_owner (world, 0), 0);
  jw_host_kill (world, (uint32_t)owner);
  submit_jobs (world, 30);
  print_progress (world, "the entry host that owns pool 0 is killed");
  jw_host_start (world, (uint32_t)owner);
  jw_backend_crash (world, jw_find_backend (world, 1, 0), false);
  submit_jobs (world, 20);
  print_progress (world, "it is restarted; a backend server crashes");
  jw_start_wave (world, 2, 15000);
  submit_jobs (world, 20);
  print_progress (world, "every second host is due for maintenance");
  owner = MAX (jw_pool_owner (world, 1), 0);
  jw_host_stop (world, (uint32_t)owner);
  jw_advance (world, 3 * JB_SECOND);
  jw_host_start (world, (uint32_t)owner);
  jw_advance (world, 7 * JB_SECOND);
  print_progress (world, "the owner of pool 1 is stopped (SIGTERM)");
  printf ("maintenance wave: %s\n",
          world->wave_completed ? "completed" : "under way");
  jw_check_final_states (world);
}

static volatile sig_atomic_t interrupted;

static void
handle_interrupt (int number)
{
  (void)number;
  interrupted = 1;
}

static void
run_until_interrupted (const struct arguments *arguments,
                       struct jw_world *world)
{
  printf ("entry hosts from http://127.%u.1.253:8080/q0/ID, API key key-0, "
          "Host queues.example; metrics on port 8082\n",
          arguments->harness.network);
  fflush (stdout);
  signal (SIGINT, handle_interrupt);
  signal (SIGTERM, handle_interrupt);
  while (!interrupted)
    jw_advance (world, 200 * JB_MS);
}

/* Report what the clients of entry host HOST have seen.  */
static void
check_clients (struct jw_world *world, uint32_t host,
               struct ps_clients_result result)
{
  printf ("stop of entry-%u: %u requests answered, %u closed, %u without an "
          "answer\n",
          host, result.answered, result.closed, result.unanswered);
  if (result.unanswered > 0)
    jw_report_violation (world, "LOST",
                         "entry-%u has stopped without an answer to %u "
                         "requests; after up to %d ms",
                         host, result.unanswered, (int)result.max_age_ms);
}

/* Wait until all jobs have ended, or for RECOVERY_TIME.  */
static void
wait_for_jobs (struct jw_world *world)
{
  jb_time recovered_by = world->now + RECOVERY_TIME;

  do
    {
      jw_query_all_jobs (world);
      jw_advance (world, JB_SECOND);
    }
  while (world->now < recovered_by && !jw_have_all_jobs_settled (world));
}

/* Stop all entry hosts in turn, every second one with a fraction of a core.  A
   submission takes about a second, so that each of them always has calls that
   wait, and clients keep connections open until the process is gone.  */
static void
run_stops_scenario (const struct arguments *arguments,
                    struct ps_harness *harness, struct jw_world *world)
{
  static const jb_time store_delay = 400 * JB_MS;

  jw_advance (world, 4 * JB_SECOND);
  world->store_delay = store_delay;
  for (uint32_t i = 0; i < STOP_COUNT; i++)
    {
      uint32_t host = i % world->options.hosts;
      struct sockaddr_in address = ps_harness_client_address (harness, host);
      struct ps_clients *clients = ps_clients_start (
          &address, CLIENTS_PER_STOP, CLIENT_DELAY_MS * JB_MS,
          CLIENT_DURATION_MS * JB_MS, arguments->seed + i);

      jw_advance (world, CLIENT_DELAY_MS * JB_MS);
      if (i % 2 != 0)
        ps_harness_set_slow_host (harness, host);
      jw_host_stop (world, host);
      submit_jobs (world, JOBS_PER_STOP);
      check_clients (world, host, ps_clients_finish (clients));
      ps_harness_set_slow_host (harness, JW_MAX_HOST_COUNT);
      jw_host_start (world, host);
      submit_jobs (world, JOBS_PER_STOP / 3);
    }
  world->store_delay = 0;
  wait_for_jobs (world);
  jw_check_final_states (world);
}

/* Restart up to RESTARTED_BACKENDS backend servers of the first pool, which
   may have lent some.  Return their number.  */
static uint32_t
restart_backends (struct jw_world *world, struct jw_backend **restarted)
{
  uint32_t count = 0;

  while (count < RESTARTED_BACKENDS
         && (restarted[count] = jw_find_backend (world, 0, count)) != NULL)
    jw_backend_restart (world, restarted[count++]);
  return count;
}

/* Submit a job of which some starts are meant for the former incarnations of
   the COUNT RESTARTED backend servers, and wait until one of them has a run.
   Return whether one has.  */
static bool
start_after_restart (struct jw_world *world, struct jw_backend **restarted,
                     uint32_t count)
{
  static const struct jw_job_options job = { .step_count = 1,
                                             .tasks_per_step = 8,
                                             .cpu_milli = 4000,
                                             .duration_ms = 12000 };
  jb_time limit = world->now + RESTART_START_LIMIT;
  guint runs = 0;

  jw_submit_job (world, &job);
  while (runs == 0 && world->now < limit)
    {
      jw_advance (world, JB_MS);
      for (uint32_t i = 0; i < count; i++)
        runs += restarted[i]->runs->len;
    }
  return runs > 0;
}

static void
set_unreachable (struct jw_backend **backends, uint32_t count,
                 bool unreachable)
{
  for (uint32_t i = 0; i < count; i++)
    backends[i]->unreachable = unreachable;
}

/* Let backend servers restart under their names and cut them off soon after,
   while the owner of their pool is stopped, or killed and started again.  */
static void
run_restarts_scenario (const struct arguments *arguments,
                       struct jw_world *world)
{
  GRand *random = g_rand_new_with_seed (arguments->seed);
  uint32_t hit_rounds = 0;

  jw_advance (world, 4 * JB_SECOND);
  for (uint32_t i = 0; i < RESTART_ROUNDS; i++)
    {
      struct jw_backend *restarted[RESTARTED_BACKENDS];
      jb_time cut_delay = g_rand_int_range (random, 5, 1400) * JB_MS;
      uint32_t count = restart_backends (world, restarted);
      uint32_t owner;

      hit_rounds += start_after_restart (world, restarted, count);
      jw_advance (world, cut_delay);
      set_unreachable (restarted, count, true);
      owner = (uint32_t)MAX (jw_pool_owner (world, 0), 0);
      if (i % 2 == 0)
        jw_host_stop (world, owner);
      else
        jw_host_kill (world, owner);
      jw_advance (world, g_rand_int_range (random, 50, 1000) * JB_MS);
      jw_host_start (world, owner);
      jw_advance (world, RESTART_CUT_TIME);
      set_unreachable (restarted, count, false);
      wait_for_jobs (world);
    }
  printf ("restarts: tasks ran on restarted backend servers in %u of %d "
          "rounds\n",
          hit_rounds, (int)RESTART_ROUNDS);
  g_rand_free (random);
  jw_check_final_states (world);
}

static int
run_scenario (const struct arguments *arguments)
{
  struct ps_harness *harness = open_harness (arguments);
  struct jw_options world_options
      = { .seed = arguments->seed,
          .hosts = arguments->hosts,
          .pools = 2,
          .backends = 5,
          .backend_cpu_milli = 12000,
          .external_hosts = ps_harness_external_hosts (harness),
          .network_prefix = ps_harness_network_prefix (harness),
          .backend_port = ps_harness_backend_port (harness) };
  struct jw_world *world;
  uint32_t failures;

  ps_harness_lock (harness);
  world = jw_world_new (&world_options);
  ps_harness_set_world (harness, world);
  if (arguments->stops)
    run_stops_scenario (arguments, harness, world);
  else if (arguments->restarts)
    run_restarts_scenario (arguments, world);
  else if (arguments->idle)
    jw_advance (world, 4 * JB_SECOND);
  else
    run_demo_scenario (world);
  failures = world->violations;
  if (failures > 0)
    printf ("first violation: %s\n", world->first_violation);
  if (arguments->keep)
    run_until_interrupted (arguments, world);
  ps_harness_set_world (harness, NULL);
  jw_world_free (world);
  ps_harness_unlock (harness);
  failures += ps_harness_take_crash_count (harness);
  talloc_free (harness);
  printf ("%s of jobs: %u violations or crashes\n",
          arguments->stops      ? "stops"
          : arguments->restarts ? "restarts"
          : arguments->idle     ? "idle"
                                : "demo",
          failures);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL,
          "Entry hosts as processes on a simulated platform." };
  struct arguments arguments
      = { .harness = { .program = "build/programs/dogwoodpulleyd",
                       .directory = "run/soak",
                       .network = 90,
                       .memory_mb = 260,
                       .max_descriptors = 4096 },
          .hosts = 3,
          .seed = 1,
          .runs = 1 };

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  return arguments.demo || arguments.stops || arguments.restarts
                 || arguments.idle
             ? run_scenario (&arguments)
             : run_seeds (&arguments);
}
