/* Entry hosts as processes of their own, with loads and faults drawn by
   chance: process_soak --seed 1 --runs 3, or a story for people: --demo.  */

#include "jw_soak.h"
#include "ps_live.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

struct arguments
{
  struct ps_options live;
  uint32_t seed;
  uint32_t runs;
  uint32_t minutes;
  bool stalls;
  bool demo;
  bool keep;
};

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "First seed (1)", 0 },
        { "runs", 'r', "N", 0, "Number of seeds (1)", 0 },
        { "minutes", 'm', "N", 0, "Go on with further seeds for so long", 0 },
        { "network", 'n', "N", 0, "Addresses in 127.N.0.0/16 (90)", 0 },
        { "program", 'p', "FILE", 0, "dogwoodpulleyd", 0 },
        { "directory", 'd', "DIR", 0, "Settings files and logs (run/soak)",
          0 },
        { "stalls", 't', NULL, 0, "One host is short of processor time", 0 },
        { "demo", 'D', NULL, 0, "Jobs while an entry host is killed", 0 },
        { "keep", 'k', NULL, 0, "After the demo, go on until interrupted", 0 },
        { 0 } };

static error_t
parse (int key, char *value, struct argp_state *state)
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
      arguments->live.network = (uint32_t)strtoul (value, NULL, 10);
      if (arguments->live.network < 1 || arguments->live.network > 254)
        argp_error (state, "--network takes 1 to 254");
      return 0;
    case 'p':
      arguments->live.program = value;
      return 0;
    case 'd':
      arguments->live.directory = value;
      return 0;
    case 't':
      arguments->stalls = true;
      return 0;
    case 'D':
      arguments->demo = true;
      return 0;
    case 'k':
      arguments->keep = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static struct ps_live *
open_live (const struct arguments *arguments)
{
  struct ps_live *live;

  g_mkdir_with_parents (arguments->live.directory, 0755);
  live = ps_live_new (NULL, &arguments->live);
  if (live == NULL)
    {
      fprintf (stderr, "process_soak: network %u is in use\n",
               arguments->live.network);
      exit (EXIT_FAILURE);
    }
  return live;
}

/* Logs of a seed that held are of no use.  */
static void
drop_logs (const struct arguments *arguments)
{
  for (uint32_t i = 0; i < JW_MAX_HOST_COUNT; i++)
    {
      char *log
          = g_strdup_printf ("%s/entry-%u.log", arguments->live.directory, i);

      unlink (log);
      g_free (log);
    }
}

/* Play SEED.  Return whether all promises were kept.  */
static bool
play_seed (const struct arguments *arguments, uint32_t seed)
{
  struct ps_live *live;
  struct jw_soak soak = { .seed = seed, .stall_one_host = arguments->stalls };
  uint32_t crashes;
  bool good;

  drop_logs (arguments);
  live = open_live (arguments);
  soak.external_hosts = ps_live_outside (live);
  soak.network_prefix = ps_live_network (live);
  soak.backend_port = ps_live_port (live);
  soak.on_world_change = (void (*) (void *, struct jw_world *))ps_live_world;
  soak.on_world_change_data = live;
  ps_live_lock (live);
  jw_soak_run (&soak);
  ps_live_unlock (live);
  crashes = ps_live_crashes (live);
  talloc_free (live);
  good = soak.violations == 0 && crashes == 0;
  printf ("seed %u: %u jobs, %u starts, %u broken, %u crashes%s%s\n", seed,
          soak.job_count, soak.task_starts, soak.violations, crashes,
          soak.violations > 0 ? ", first " : "", soak.first_violation);
  fflush (stdout);
  if (good)
    drop_logs (arguments);
  return good;
}

static int
play (const struct arguments *arguments)
{
  int64_t end
      = g_get_monotonic_time () + (int64_t)arguments->minutes * 60 * 1000000;
  uint32_t bad = 0;
  uint32_t runs = 0;

  while (runs < arguments->runs || g_get_monotonic_time () < end)
    {
      bad += !play_seed (arguments, arguments->seed + runs++);
      if (bad > 0)
        break; /* its logs stay */
    }
  printf ("%u runs from seed %u: %u with a broken promise\n", runs,
          arguments->seed, bad);
  return bad == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* ---- the demo ---- */

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
tell (struct jw_world *world, const char *what)
{
  uint32_t counts[JB_JOB_CANCELLED + 1] = { 0 };

  count_states (world, counts);
  printf ("%-44s %4u jobs: %4u completed, %3u running, %3u pending; "
          "%u starts\n",
          what, g_hash_table_size (world->jobs), counts[JB_JOB_COMPLETED],
          counts[JB_JOB_RUNNING], counts[JB_JOB_PENDING], world->task_starts);
  fflush (stdout);
}

static void
hand_in (struct jw_world *world, uint32_t count)
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
tell_story (struct jw_world *world)
{
  static const struct jw_job_options lasting = { .step_count = 1,
                                                 .tasks_per_step = 3,
                                                 .cpu_milli = 1000,
                                                 .duration_ms = 400,
                                                 .long_running = true,
                                                 .max_unavailable = 1 };
  int owner;

  jw_advance (world, 4 * JB_SECOND);
  jw_submit_job (world, &lasting);
  hand_in (world, 30);
  tell (world, "jobs of two queues and a lasting one");
  owner = MAX (jw_pool_owner (world, 0), 0);
  jw_host_kill (world, (uint32_t)owner);
  hand_in (world, 30);
  tell (world, "the entry host that holds pool 0 is killed");
  jw_host_start (world, (uint32_t)owner);
  jw_backend_crash (world, jw_find_backend (world, 1, 0), false);
  hand_in (world, 20);
  tell (world, "it is replaced; a backend server crashes");
  jw_start_wave (world, 2, 15000);
  hand_in (world, 20);
  tell (world, "every second host is due for maintenance");
  owner = MAX (jw_pool_owner (world, 1), 0);
  jw_host_stop (world, (uint32_t)owner);
  jw_advance (world, 3 * JB_SECOND);
  jw_host_start (world, (uint32_t)owner);
  jw_advance (world, 7 * JB_SECOND);
  tell (world, "the holder of pool 1 is stopped (SIGTERM)");
  printf ("maintenance wave: %s\n",
          world->wave_completed ? "completed" : "under way");
  jw_check_final_states (world);
}

static volatile sig_atomic_t interrupted;

static void
interrupt (int number)
{
  (void)number;
  interrupted = 1;
}

static void
go_on (const struct arguments *arguments, struct jw_world *world)
{
  printf ("entry hosts: http://127.%u.1.253:8080/q0/ID and on, key key-0, "
          "Host queues.example; metrics on port 8082\n",
          arguments->live.network);
  fflush (stdout);
  signal (SIGINT, interrupt);
  signal (SIGTERM, interrupt);
  while (!interrupted)
    jw_advance (world, 200 * JB_MS);
}

static int
demo (const struct arguments *arguments)
{
  struct ps_live *live = open_live (arguments);
  struct jw_options world_options = { .seed = arguments->seed,
                                      .hosts = 3,
                                      .pools = 2,
                                      .backends = 5,
                                      .backend_cpu_milli = 12000,
                                      .external_hosts = ps_live_outside (live),
                                      .network_prefix = ps_live_network (live),
                                      .backend_port = ps_live_port (live) };
  struct jw_world *world;
  uint32_t broken;

  ps_live_lock (live);
  world = jw_world_new (&world_options);
  ps_live_world (live, world);
  tell_story (world);
  broken = world->violations;
  if (broken > 0)
    printf ("first broken promise: %s\n", world->first_violation);
  if (arguments->keep)
    go_on (arguments, world);
  ps_live_world (live, NULL);
  jw_world_free (world);
  ps_live_unlock (live);
  broken += ps_live_crashes (live);
  talloc_free (live);
  printf ("demo of jobs: %u broken promises or crashes\n", broken);
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse, NULL,
          "Entry hosts as processes around an emulated platform." };
  struct arguments arguments
      = { .live = { .program = "build/programs/dogwoodpulleyd",
                    .directory = "run/soak",
                    .network = 90 },
          .seed = 1,
          .runs = 1 };

  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  return arguments.demo ? demo (&arguments) : play (&arguments);
}
