/* Placement policies compared: the waits of tasks in simulated pools, with
   the decisions of jb_place.h, jb_rank.h and jb_reserve.h on plain tables in
   virtual time.

   Prints a Markdown table of all scenarios and policies, means over SEEDS
   runs.  */

#include "dp_test.h"
#include "jb_reserve.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SEEDS = 6,
  MAX_BACKENDS = 64,
  CORE_MEMORY_MB = 4000,
  STRETCH_MILLI = 3000,
  MARGIN_MS = 1000
};

#define TICK (5 * JB_MS)
#define END_OF_RUN (30 * JB_SECOND)
#define SURGE_START (1 * JB_SECOND)
#define SURGE_END (6 * JB_SECOND)

enum order
{
  ORDER_RANK, /* today's: jb_rank.h */
  ORDER_ARRIVAL,
  ORDER_LARGEST
};

enum choice
{
  CHOICE_FULLEST, /* today's: the fullest processor */
  CHOICE_FIRST,
  CHOICE_BEST_FIT,
  CHOICE_LOOKAHEAD
};

struct policy
{
  const char *name;
  enum order order;
  enum choice choice;
};

static const struct policy policies[]
    = { { "today", ORDER_RANK, CHOICE_FULLEST },
        { "first fit", ORDER_ARRIVAL, CHOICE_FIRST },
        { "largest first", ORDER_LARGEST, CHOICE_FULLEST },
        { "best fit, today's order", ORDER_RANK, CHOICE_BEST_FIT },
        { "lookahead", ORDER_RANK, CHOICE_LOOKAHEAD } };

enum
{
  POLICY_TODAY = 0,
  POLICY_LOOKAHEAD = G_N_ELEMENTS (policies) - 1
};

struct sim;

struct scenario
{
  const char *name;
  uint32_t backends;
  int64_t backend_cores;
  /* Small tasks that are asked for in the surge, thousandths of the
     capacity.  */
  uint32_t small_load_milli;
  bool design_load;     /* sizes as in docs/hard-load.md */
  uint32_t large_jobs;  /* in the surge */
  bool large_gangs;     /* as wide as the pool, else as a backend server */
  bool wrong_by_ten;    /* declared times, of each queue the other way */
  double actual_factor; /* of all run times; 0: 1 */
  bool backend_leaves;  /* where the first reservation is made */
  bool takeover;        /* in the middle of the surge */
};

static const struct scenario scenarios[] = {
  { "stream and one large task", 12, 16, 1000, false, 1, false, false, 0,
    false, false },
  { "stream and ten large tasks", 12, 16, 900, false, 10, false, false, 0,
    false, false },
  { "gangs as wide as the pool", 6, 16, 900, false, 3, true, false, 0, false,
    false },
  { "declared times wrong by ten", 12, 16, 900, false, 10, false, true, 0,
    false, false },
  { "all ends late", 12, 16, 500, false, 10, false, false, 1.9, false, false },
  { "a backend server leaves", 12, 16, 900, false, 10, false, false, 0, true,
    false },
  { "takeover", 12, 16, 900, false, 10, false, false, 0, false, true },
  { "design load, one and a half times", 16, 64, 1500, true, 0, false, false,
    0, false, false },
  { "design load, five times", 16, 64, 5000, true, 0, false, false, 0, false,
    false },
};

struct job
{
  struct jb_job *job;
  bool large;
  jb_time arrival;
  jb_time *ends; /* of each task; 0: none yet */
  jb_time *waits;
  uint32_t started;
};

struct sim
{
  const struct scenario *scenario;
  const struct policy *policy;
  GRand *random;
  jb_time now;
  struct jb_backend *backends[MAX_BACKENDS];
  uint32_t backend_count;
  GPtrArray *jobs;    /* struct job, by arrival */
  guint arrived;      /* number of them that have arrived */
  GHashTable *by_id;  /* ID -> struct job */
  GPtrArray *running; /* struct jb_task */
  struct jb_duration_table *durations;
  struct jb_reserve *reserve;
  struct jb_reserve_stats stats; /* of former owners */
  bool left;                     /* the backend server has left */
};

struct result
{
  double small_wait_ms;
  double large_wait_ms;
  double large_p95_ms;
  double on_time; /* share of jobs */
  double large_on_time;
  double worth; /* on-time work relative to all work */
  double unfinished;
  double reservations;
  double kept;
  double in_gaps;
};

/* ---- jobs ---- */

static struct job *
add_job (struct sim *sim, jb_time arrival, uint32_t tasks, int64_t cpu_milli,
         int64_t duration_ms)
{
  struct job *added = talloc_zero (sim, struct job);
  struct jb_job_desc *desc = talloc_zero (added, struct jb_job_desc);
  uint32_t queue = (uint32_t)g_rand_int_range (sim->random, 0, 4);
  double error = g_rand_double_range (sim->random, 0.6, 1.6);

  desc->id = talloc_asprintf (desc, "%016x", sim->jobs->len);
  desc->queue = talloc_asprintf (desc, "queue-%u", queue);
  desc->step_count = 1;
  desc->steps = talloc_zero (desc, struct jb_step);
  desc->steps->task_count = tasks;
  desc->steps->resources
      = (struct jb_resources){ cpu_milli,
                               cpu_milli * CORE_MEMORY_MB / 1000
                                   * g_rand_int_range (sim->random, 30, 100)
                                   / 100,
                               0 };
  desc->steps->estimate_ms = (int64_t)((double)duration_ms * error);
  if (sim->scenario->wrong_by_ten)
    desc->steps->estimate_ms
        = queue % 2 == 0 ? duration_ms * 10 : MAX (duration_ms / 10, 1);
  added->job = jb_job_new (added, desc);
  added->job->received_at = arrival;
  added->job->stored = true;
  added->job->total_work = jb_job_desc_work (desc);
  added->job->due_at
      = arrival + (duration_ms * STRETCH_MILLI / 1000 + MARGIN_MS) * JB_MS;
  added->arrival = arrival;
  added->ends = talloc_zero_array (added, jb_time, tasks);
  added->waits = talloc_zero_array (added, jb_time, tasks);
  jb_job_open_next_occurrence (added->job);
  jb_job_update_ready_groups (added->job, 0);
  g_ptr_array_add (sim->jobs, added);
  g_hash_table_insert (sim->by_id, desc->id, added);
  return added;
}

static int64_t
pool_cores (const struct scenario *scenario)
{
  return scenario->backends * scenario->backend_cores;
}

/* Add a stream of jobs of small tasks.  */
static void
add_stream (struct sim *sim)
{
  const struct scenario *scenario = sim->scenario;
  double core_ms = (double)pool_cores (scenario)
                   * (double)(SURGE_END - SURGE_START) / (double)JB_MS
                   * scenario->small_load_milli / 1000;

  while (core_ms > 0)
    {
      uint32_t tasks = (uint32_t)g_rand_int_range (sim->random, 1, 16);
      int64_t cores = g_rand_int_range (sim->random, 1, 4);
      int64_t duration_ms = g_rand_int_range (sim->random, 700, 1800);
      jb_time arrival = SURGE_START
                        + (jb_time)(g_rand_double (sim->random)
                                    * (double)(SURGE_END - SURGE_START));

      if (scenario->design_load)
        {
          cores = g_rand_int_range (sim->random, 0, 6) == 0
                      ? g_rand_int_range (sim->random, 20, 41)
                      : g_rand_int_range (sim->random, 1, 8);
          tasks = (uint32_t)g_rand_int_range (sim->random, 1, 16);
        }
      add_job (sim, arrival, tasks, cores * 1000, duration_ms)->large
          = cores >= 20;
      core_ms -= (double)tasks * (double)cores * (double)duration_ms;
    }
}

static void
add_large_jobs (struct sim *sim)
{
  const struct scenario *scenario = sim->scenario;

  for (uint32_t i = 0; i < scenario->large_jobs; i++)
    {
      jb_time arrival
          = SURGE_START + JB_SECOND
            + (jb_time)(g_rand_double (sim->random) * (double)JB_SECOND * 3);
      struct job *added = add_job (
          sim, arrival, scenario->large_gangs ? scenario->backends : 1,
          (scenario->backend_cores - 2) * 1000,
          g_rand_int_range (sim->random, 700, 1800));

      added->large = true;
      added->job->desc->steps->gang = scenario->large_gangs;
    }
}

static int
compare_arrivals (gconstpointer a, gconstpointer b)
{
  const struct job *x = *(struct job *const *)a;
  const struct job *y = *(struct job *const *)b;

  return x->arrival < y->arrival ? -1 : x->arrival > y->arrival;
}

/* ---- the owner ---- */

static struct jb_task_group *
find_group (void *data, const char *id, uint32_t occurrence, uint32_t step)
{
  struct sim *sim = data;
  struct job *job = g_hash_table_lookup (sim->by_id, id);

  return job != NULL ? jb_job_find_group (job->job, occurrence, step) : NULL;
}

/* Begin without expected run times and reservations, as a new owner does.  */
static void
make_owner (struct sim *sim)
{
  struct jb_reserve_options options
      = { .find_group = find_group, .data = sim };

  if (sim->reserve != NULL)
    {
      sim->stats = *jb_reserve_stats (sim->reserve);
      talloc_free (sim->reserve);
      talloc_free (sim->durations);
    }
  sim->durations = jb_duration_new (sim);
  options.durations = sim->durations;
  sim->reserve = jb_reserve_new (sim, &options);
}

struct candidate
{
  struct jb_task_group *group;
  struct jb_rank rank;
  enum order order;
};

static struct jb_rank
rank_group (struct jb_task_group *group, jb_time now)
{
  struct jb_job *job = group->job;
  struct jb_rank_input input
      = { .total_work = job->total_work,
          .work_divisor = jb_rank_work_divisor (
              job->total_work / group->task_count
              * (int64_t)(group->task_count - group->done_count)),
          .queue_mean_work = 20000000,
          .critical_path_ms = jb_task_group_step (group)->estimate_ms,
          .received_at = job->received_at,
          .due_at = job->due_at };

  return jb_rank_compute (&input, now);
}

static int
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;
  int64_t by_size = jb_task_group_step (y->group)->resources.cpu_milli
                    - jb_task_group_step (x->group)->resources.cpu_milli;
  jb_time by_arrival = x->group->job->received_at - y->group->job->received_at;

  if (x->order == ORDER_RANK)
    return jb_rank_compare (&x->rank, &y->rank);
  if (x->order == ORDER_LARGEST && by_size != 0)
    return by_size < 0 ? -1 : 1;
  return by_arrival < 0 ? -1 : by_arrival > 0;
}

static struct jb_backend *
choose (struct sim *sim, const struct jb_task *task,
        const struct jb_rank *rank, struct jb_place_room *room)
{
  switch (sim->policy->choice)
    {
    case CHOICE_LOOKAHEAD:
      return jb_reserve_choose (sim->reserve, task, rank, room, sim->now);
    case CHOICE_FIRST:
      for (uint32_t i = 0; i < sim->backend_count; i++)
        if (jb_place_fits (task, sim->backends[i]))
          return sim->backends[i];
      return NULL;
    case CHOICE_BEST_FIT:
      return jb_place_choose_best_fit (task, sim->backends, sim->backend_count,
                                       NULL, sim->now);
    default:
      return jb_place_choose (task, sim->backends, sim->backend_count, NULL,
                              sim->now);
    }
}

static void
note_start (struct sim *sim, struct jb_task *task, const struct jb_rank *rank)
{
  struct job *job
      = g_hash_table_lookup (sim->by_id, task->group->job->desc->id);

  task->started_at = sim->now;
  g_ptr_array_add (sim->running, task);
  if (job->waits[task->index] == 0)
    job->waits[task->index] = MAX (sim->now - job->arrival, 1);
  if (sim->policy->choice == CHOICE_LOOKAHEAD)
    jb_reserve_task_started (sim->reserve, task, rank, sim->now);
}

/* Start the tasks of CANDIDATE that fit, or those of a gang if all fit.  */
static void
start_group (struct sim *sim, const struct candidate *candidate,
             struct jb_place_room *room)
{
  struct jb_task_group *group = candidate->group;
  bool gang = jb_task_group_step (group)->gang;
  struct jb_place_room room_of_gang;
  struct jb_task *placed[64];
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->task_count; i++)
    {
      struct jb_task *task = &group->tasks[i];
      struct jb_backend *backend;

      if (task->done || task->state != JB_RUN_NONE)
        continue;
      backend = choose (sim, task, &candidate->rank,
                        gang && count > 0 ? &room_of_gang : room);
      if (backend == NULL)
        break;
      if (count == 0)
        room_of_gang = *room;
      jb_task_assign (task, backend, JB_RUN_RUNNING);
      placed[count++] = task;
      if (!gang)
        note_start (sim, task, &candidate->rank);
    }
  if (!gang)
    return;
  if (count < group->task_count)
    {
      while (count-- > 0)
        jb_task_unassign (placed[count], sim->now);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    note_start (sim, placed[i], &candidate->rank);
}

static bool
is_waiting (const struct jb_task_group *group)
{
  return group->done_count + group->active_runs < group->task_count;
}

/* Return the groups that wait, in the order of the policy.  */
static GArray *
collect_candidates (struct sim *sim)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));

  for (guint i = 0; i < sim->arrived; i++)
    {
      struct job *job = g_ptr_array_index (sim->jobs, i);
      struct candidate candidate
          = { .group = jb_job_find_group (job->job, 0, 0),
              .order = sim->policy->order };

      if (!is_waiting (candidate.group))
        continue;
      candidate.rank = rank_group (candidate.group, sim->now);
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  return candidates;
}

static void
plan_reservations (struct sim *sim, const GArray *candidates)
{
  if (!jb_reserve_plan_due (sim->reserve, sim->now))
    return;
  jb_reserve_plan (sim->reserve, sim->now);
  for (guint i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);

      if (jb_reserve_count (sim->reserve) == JB_RESERVE_MAX)
        return;
      if (is_waiting (candidate->group)
          && candidate->group->no_reservation_until <= sim->now
          && !jb_reserve_has (sim->reserve, candidate->group))
        jb_reserve_make (sim->reserve, candidate->group, &candidate->rank,
                         sim->now);
    }
}

static void
schedule (struct sim *sim)
{
  bool lookahead = sim->policy->choice == CHOICE_LOOKAHEAD;
  struct jb_place_room room = { 0 };
  GArray *candidates;

  if (lookahead)
    {
      jb_reserve_begin (sim->reserve, sim->backends, sim->backend_count,
                        sim->now);
      for (uint32_t i = 0; i < jb_reserve_count (sim->reserve); i++)
        {
          struct jb_reservation *item = jb_reserve_get (sim->reserve, i);

          item->rank = rank_group (item->group, sim->now);
        }
    }
  candidates = collect_candidates (sim);
  for (guint i = 0; i < candidates->len; i++)
    start_group (sim, &g_array_index (candidates, struct candidate, i), &room);
  if (lookahead)
    plan_reservations (sim, candidates);
  g_array_free (candidates, TRUE);
}

/* ---- the pool ---- */

/* Return how long the run of TASK takes: the same with all policies.  */
static jb_time
actual_duration (const struct sim *sim, const struct jb_task *task)
{
  const struct job *job
      = g_hash_table_lookup (sim->by_id, task->group->job->desc->id);
  int64_t due_ms = (job->job->due_at - job->arrival) / JB_MS;
  double duration_ms
      = (double)(due_ms - MARGIN_MS) * 1000 / (double)STRETCH_MILLI;
  guint spread = g_str_hash (job->job->desc->id) % 7 + task->index * 5;
  double factor
      = sim->scenario->actual_factor > 0 ? sim->scenario->actual_factor : 1;

  return (jb_time)(duration_ms * factor * (0.85 + 0.03 * (spread % 11)))
         * JB_MS;
}

static void
end_runs (struct sim *sim)
{
  for (guint i = sim->running->len; i-- > 0;)
    {
      struct jb_task *task = g_ptr_array_index (sim->running, i);
      struct job *job
          = g_hash_table_lookup (sim->by_id, task->group->job->desc->id);

      if (sim->now < task->started_at + actual_duration (sim, task))
        continue;
      jb_duration_record (sim->durations, job->job->desc->queue, 0,
                          jb_task_step (task)->estimate_ms,
                          sim->now - task->started_at);
      jb_task_unassign (task, sim->now);
      jb_task_mark_done (task);
      job->ends[task->index] = sim->now;
      g_ptr_array_remove_index_fast (sim->running, i);
    }
}

/* Take the backend server of the first reservation, or without lookahead the
   first one, out of the pool.  Its runs start again elsewhere.  */
static void
remove_backend (struct sim *sim)
{
  struct jb_backend *backend = sim->backends[0];

  if (sim->policy->choice == CHOICE_LOOKAHEAD
      && jb_reserve_count (sim->reserve) > 0)
    backend = jb_reserve_get (sim->reserve, 0)->backends[0];
  sim->left = true;
  for (guint i = sim->running->len; i-- > 0;)
    {
      struct jb_task *task = g_ptr_array_index (sim->running, i);

      if (task->backend != backend)
        continue;
      jb_task_unassign (task, sim->now);
      g_ptr_array_remove_index_fast (sim->running, i);
    }
  for (uint32_t i = 0; i < sim->backend_count; i++)
    if (sim->backends[i] == backend)
      sim->backends[i] = sim->backends[--sim->backend_count];
}

static struct sim *
make_sim (const struct scenario *scenario, const struct policy *policy,
          uint32_t seed)
{
  struct sim *sim = talloc_zero (NULL, struct sim);

  sim->scenario = scenario;
  sim->policy = policy;
  sim->random = g_rand_new_with_seed (seed);
  sim->jobs = g_ptr_array_new ();
  sim->running = g_ptr_array_new ();
  sim->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  sim->backend_count = scenario->backends;
  for (uint32_t i = 0; i < scenario->backends; i++)
    {
      struct jb_backend_entry entry
          = { .instance = talloc_asprintf (sim, "i-%u", i),
              .address = "10.0.0.1:9000",
              .zone = "zone",
              .capacity = { scenario->backend_cores * 1000,
                            scenario->backend_cores * CORE_MEMORY_MB, 0 } };

      sim->backends[i] = jb_backend_new (sim, &entry);
      sim->backends[i]->incarnation = i + 1;
    }
  make_owner (sim);
  add_stream (sim);
  add_large_jobs (sim);
  g_ptr_array_sort (sim->jobs, compare_arrivals);
  return sim;
}

static void
free_sim (struct sim *sim)
{
  g_rand_free (sim->random);
  g_ptr_array_free (sim->jobs, TRUE);
  g_ptr_array_free (sim->running, TRUE);
  g_hash_table_destroy (sim->by_id);
  talloc_free (sim);
}

/* ---- results ---- */

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static double
mean (const GArray *values)
{
  double sum = 0;

  for (guint i = 0; i < values->len; i++)
    sum += g_array_index (values, double, i);
  return values->len > 0 ? sum / values->len : 0;
}

static void
add_result (struct sim *sim, struct result *result)
{
  GArray *small = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *large = g_array_new (FALSE, FALSE, sizeof (double));
  const struct jb_reserve_stats *stats = jb_reserve_stats (sim->reserve);
  uint32_t on_time = 0;
  uint32_t large_on_time = 0;
  uint32_t large_count = 0;
  double all_work = 0;
  double work = 0;

  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (sim->jobs, i);
      bool is_on_time = true;

      for (uint32_t j = 0; j < job->job->desc->steps->task_count; j++)
        {
          double wait_ms
              = (double)(job->waits[j] > 0 ? job->waits[j]
                                           : END_OF_RUN - job->arrival)
                / JB_MS;

          g_array_append_val (job->large ? large : small, wait_ms);
          is_on_time = is_on_time && job->ends[j] != 0
                       && job->ends[j] <= job->job->due_at;
          result->unfinished += (job->ends[j] == 0) / (double)SEEDS;
        }
      on_time += is_on_time;
      large_on_time += is_on_time && job->large;
      large_count += job->large;
      all_work += (double)job->job->total_work;
      work += is_on_time ? (double)job->job->total_work : 0;
    }
  g_array_sort (large, compare_doubles);
  result->small_wait_ms += mean (small) / SEEDS;
  result->large_wait_ms += mean (large) / SEEDS;
  if (large->len > 0)
    result->large_p95_ms
        += g_array_index (large, double, (large->len - 1) * 95 / 100) / SEEDS;
  result->on_time += (double)on_time / sim->jobs->len / SEEDS;
  result->large_on_time
      += (double)large_on_time / MAX (large_count, 1) / SEEDS;
  result->worth += work / all_work / SEEDS;
  result->reservations += (double)(stats->made + sim->stats.made) / SEEDS;
  result->kept += (double)(stats->kept + sim->stats.kept) / SEEDS;
  result->in_gaps += (double)(stats->in_gaps + sim->stats.in_gaps) / SEEDS;
  g_array_free (small, TRUE);
  g_array_free (large, TRUE);
}

static struct result
run (const struct scenario *scenario, const struct policy *policy)
{
  struct result result = { 0 };

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct sim *sim = make_sim (scenario, policy, seed);
      bool taken_over = false;

      for (sim->now = TICK; sim->now < END_OF_RUN; sim->now += TICK)
        {
          if (scenario->takeover && !taken_over
              && sim->now >= (SURGE_START + SURGE_END) / 2)
            {
              taken_over = true;
              make_owner (sim);
            }
          if (scenario->backend_leaves && !sim->left
              && sim->now >= (SURGE_START + SURGE_END) / 2)
            remove_backend (sim);
          end_runs (sim);
          while (sim->arrived < sim->jobs->len
                 && ((struct job *)g_ptr_array_index (sim->jobs, sim->arrived))
                            ->arrival
                        <= sim->now)
            sim->arrived++;
          schedule (sim);
        }
      add_result (sim, &result);
      free_sim (sim);
    }
  return result;
}

static struct result results[G_N_ELEMENTS (scenarios)]
                            [G_N_ELEMENTS (policies)];

static void
run_all (void)
{
  printf ("\n| scenario | policy | small wait, ms | large wait, ms | 95th "
          "percentile | on time | large on time | work on time | "
          "reservations | kept | in gaps |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (guint j = 0; j < G_N_ELEMENTS (policies); j++)
      {
        struct result *r = &results[i][j];

        *r = run (&scenarios[i], &policies[j]);
        printf ("| %s | %s | %.0f | %.0f | %.0f | %.3f | %.3f | %.3f | %.1f "
                "| %.1f | %.1f |\n",
                scenarios[i].name, policies[j].name, r->small_wait_ms,
                r->large_wait_ms, r->large_p95_ms, r->on_time,
                r->large_on_time, r->worth, r->reservations, r->kept,
                r->in_gaps);
      }
}

/* A reservation that is never given up, or that keeps out what must go first,
   leaves tasks that never run.  */
static void
test_all_done (void)
{
  run_all ();
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    CU_ASSERT_DOUBLE_EQUAL (results[i][POLICY_LOOKAHEAD].unfinished,
                            results[i][POLICY_TODAY].unfinished, 0.01);
}

/* Lookahead is there for large tasks: if they wait longer with it than today,
   or if it makes jobs late, it must stay off.  The last scenario is asked for
   five times what the pool holds; there it costs jobs on time, which the
   documentation says, and only a limit on that is checked.  */
static void
test_lookahead_helps (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      const struct result *today = &results[i][POLICY_TODAY];
      const struct result *lookahead = &results[i][POLICY_LOOKAHEAD];
      bool hopeless = scenarios[i].small_load_milli >= 5000;

      CU_ASSERT (lookahead->large_wait_ms < today->large_wait_ms);
      CU_ASSERT (lookahead->large_on_time >= today->large_on_time);
      CU_ASSERT (lookahead->on_time > today->on_time - (hopeless ? 0.05 : 0));
      CU_ASSERT (lookahead->worth > today->worth - (hopeless ? 0.03 : 0));
    }
}

/* Most reservations must be used: one that is made and given up has held room
   for nothing.  A few of them are broken by ends that come late.  */
static void
test_reservations_kept (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      const struct result *lookahead = &results[i][POLICY_LOOKAHEAD];

      CU_ASSERT (lookahead->reservations > 0);
      CU_ASSERT (lookahead->kept > 0.7 * lookahead->reservations);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "all tasks are done with each policy", test_all_done },
          { "lookahead shortens the waits of large tasks",
            test_lookahead_helps },
          { "most reservations are kept", test_reservations_kept },
          { NULL, NULL } };

  return dp_test_main ("placement policies", tests);
}
