/* Reservations of room for waiting tasks, and backfill beside them.  */

#include "dp_test.h"
#include "jb_reserve.h"

#include <string.h>

enum
{
  BACKEND_COUNT = 3,
  MAX_JOBS = 16
};

struct fixture
{
  struct jb_duration_table *durations;
  struct jb_reserve *reserve;
  struct jb_backend *backends[BACKEND_COUNT];
  uint32_t usable; /* number of them that are */
  struct jb_job *jobs[MAX_JOBS];
  uint32_t job_count;
  jb_time now;
  /* What the callbacks reported.  */
  uint32_t moves;
  uint32_t ends;
  enum jb_reserve_end last_reason;
};

static struct jb_task_group *
find_group (void *data, const char *id, uint32_t occurrence, uint32_t step)
{
  struct fixture *fixture = data;

  for (uint32_t i = 0; i < fixture->job_count; i++)
    if (strcmp (fixture->jobs[i]->desc->id, id) == 0
        && fixture->jobs[i]->ended_at == 0)
      return jb_job_find_group (fixture->jobs[i], occurrence, step);
  return NULL;
}

static void
handle_reserved (void *data, jb_time now,
                 const struct jb_reservation *reservation, bool moved)
{
  struct fixture *fixture = data;

  (void)now;
  (void)reservation;
  fixture->moves += moved;
}

static void
handle_ended (void *data, jb_time now,
              const struct jb_reservation *reservation,
              enum jb_reserve_end reason)
{
  struct fixture *fixture = data;

  (void)now;
  (void)reservation;
  fixture->ends++;
  fixture->last_reason = reason;
}

/* Return a fixture with empty backend servers of 8 cores.  */
static struct fixture *
make_fixture (void)
{
  struct fixture *fixture = talloc_zero (NULL, struct fixture);
  struct jb_reserve_options options = { .find_group = find_group,
                                        .reserved = handle_reserved,
                                        .ended = handle_ended,
                                        .data = fixture };

  fixture->now = 10 * JB_SECOND;
  fixture->durations = jb_duration_new (fixture);
  options.durations = fixture->durations;
  fixture->reserve = jb_reserve_new (fixture, &options);
  fixture->usable = BACKEND_COUNT;
  for (uint32_t i = 0; i < BACKEND_COUNT; i++)
    {
      struct jb_backend_entry entry
          = { .instance = talloc_asprintf (fixture, "i-%u", i),
              .address = "10.0.0.1:9000",
              .zone = "zone",
              .capacity = { 8000, 16000, 0 } };

      fixture->backends[i] = jb_backend_new (fixture, &entry);
      fixture->backends[i]->incarnation = i + 1;
    }
  return fixture;
}

/* Return the group of a new job of TASK_COUNT tasks that each ask for
   CPU_MILLI for DURATION_MS.  */
static struct jb_task_group *
add_job (struct fixture *fixture, uint32_t task_count, int64_t cpu_milli,
         int64_t duration_ms)
{
  struct jb_job_desc *desc = talloc_zero (fixture, struct jb_job_desc);
  struct jb_job *job;

  desc->id = talloc_asprintf (desc, "%016x", fixture->job_count);
  desc->queue = talloc_strdup (desc, "queue");
  desc->step_count = 1;
  desc->steps = talloc_zero (desc, struct jb_step);
  desc->steps->task_count = task_count;
  desc->steps->resources = (struct jb_resources){ cpu_milli, 100, 0 };
  desc->steps->estimate_ms = duration_ms;
  job = jb_job_new (fixture, desc);
  jb_job_open_next_occurrence (job);
  jb_job_update_ready_groups (job, 0);
  fixture->jobs[fixture->job_count++] = job;
  return jb_job_find_group (job, 0, 0);
}

/* Run a task of CPU_MILLI on backend server INDEX that has REMAINING_MS to go.
   Return it.  */
static struct jb_task *
run_task (struct fixture *fixture, uint32_t index, int64_t cpu_milli,
          int64_t remaining_ms)
{
  struct jb_task *task = add_job (fixture, 1, cpu_milli, remaining_ms)->tasks;

  jb_task_assign (task, fixture->backends[index], JB_RUN_RUNNING);
  task->started_at = fixture->now;
  return task;
}

static void
begin (struct fixture *fixture)
{
  jb_reserve_begin (fixture->reserve, fixture->backends, fixture->usable,
                    fixture->now);
}

/* Return a rank, a lower number going first.  */
static struct jb_rank
rank_number (int64_t number)
{
  return (struct jb_rank){ .class = JB_RANK_ON_TIME, .latest_start = number };
}

static bool
make (struct fixture *fixture, struct jb_task_group *group, int64_t rank)
{
  struct jb_rank value = rank_number (rank);

  begin (fixture);
  jb_reserve_plan (fixture->reserve, fixture->now);
  return jb_reserve_make (fixture->reserve, group, &value, fixture->now);
}

static struct jb_backend *
choose (struct fixture *fixture, const struct jb_task *task, int64_t rank)
{
  struct jb_place_room room = { 0 };
  struct jb_rank value = rank_number (rank);

  begin (fixture);
  return jb_reserve_choose (fixture->reserve, task, &value, &room,
                            fixture->now);
}

/* Run two tasks of 4 cores on each backend server, which end one after the
   other.  */
static void
fill (struct fixture *fixture)
{
  run_task (fixture, 0, 4000, 200);
  run_task (fixture, 0, 4000, 1500);
  run_task (fixture, 1, 4000, 300);
  run_task (fixture, 1, 4000, 500);
  run_task (fixture, 2, 4000, 700);
  run_task (fixture, 2, 4000, 1700);
}

/* Small tasks that come later must not take the room that a large one waits
   for, but must use it as long as they end in time, or beside it.  Tasks that
   go before it must not be held up.  */
static void
test_backfill (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *large = add_job (fixture, 1, 7000, 1000);
  struct jb_task_group *brief = add_job (fixture, 1, 2000, 150);
  struct jb_task_group *longer = add_job (fixture, 1, 2000, 900);
  struct jb_task_group *thin = add_job (fixture, 1, 1000, 900);
  struct jb_task *first_end;
  struct jb_reservation *reservation;

  run_task (fixture, 0, 8000, 1500);
  first_end = run_task (fixture, 1, 4000, 300);
  run_task (fixture, 1, 4000, 500);
  run_task (fixture, 2, 8000, 1700);
  CU_ASSERT_TRUE_FATAL (make (fixture, large, 10));
  reservation = jb_reserve_get (fixture->reserve, 0);
  CU_ASSERT_PTR_EQUAL (reservation->backends[0], fixture->backends[1]);
  CU_ASSERT_EQUAL (reservation->start, fixture->now + 500 * JB_MS);
  /* The first end leaves a gap until the reservation.  */
  fixture->now += 300 * JB_MS;
  jb_task_unassign (first_end, fixture->now);
  CU_ASSERT_PTR_EQUAL (choose (fixture, brief->tasks, 20),
                       fixture->backends[1]);
  CU_ASSERT_PTR_NULL (choose (fixture, longer->tasks, 20));
  CU_ASSERT_PTR_EQUAL (choose (fixture, thin->tasks, 20),
                       fixture->backends[1]);
  CU_ASSERT_PTR_EQUAL (choose (fixture, longer->tasks, 5),
                       fixture->backends[1]);
  /* What is placed there counts when the next one is.  */
  jb_task_assign (thin->tasks, fixture->backends[1], JB_RUN_STARTING);
  CU_ASSERT_PTR_NULL (
      choose (fixture, add_job (fixture, 1, 1000, 900)->tasks, 20));
  talloc_free (fixture);
}

/* A task that was found to have no place must not make shorter or smaller ones
   that have one seem hopeless in the same cycle.  */
static void
test_misses (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *large = add_job (fixture, 1, 8000, 1000);
  struct jb_task_group *longer = add_job (fixture, 1, 2000, 900);
  struct jb_task_group *brief = add_job (fixture, 1, 2000, 150);
  struct jb_rank behind = rank_number (20);
  struct jb_rank before = rank_number (5);
  struct jb_place_room room = { 0 };

  fixture->usable = 1;
  run_task (fixture, 0, 4000, 500);
  CU_ASSERT_TRUE_FATAL (make (fixture, large, 10));
  begin (fixture);
  CU_ASSERT_PTR_NULL (jb_reserve_choose (fixture->reserve, longer->tasks,
                                         &behind, &room, fixture->now));
  CU_ASSERT_PTR_NOT_NULL (jb_reserve_choose (fixture->reserve, brief->tasks,
                                             &behind, &room, fixture->now));
  CU_ASSERT_PTR_NOT_NULL (jb_reserve_choose (fixture->reserve, longer->tasks,
                                             &before, &room, fixture->now));
  CU_ASSERT_PTR_NULL (jb_reserve_choose (fixture->reserve, longer->tasks,
                                         &behind, &room, fixture->now));
  talloc_free (fixture);
}

/* Members of a gang that had reservations one by one would hold room that none
   of them can use.  */
static void
test_gang (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *gang = add_job (fixture, 4, 4000, 500);
  struct jb_task_group *too_large = add_job (fixture, 7, 4000, 500);
  struct jb_reservation *reservation;

  gang->job->desc->steps->gang = true;
  too_large->job->desc->steps->gang = true;
  fill (fixture);
  CU_ASSERT_FALSE (make (fixture, too_large, 10));
  CU_ASSERT_EQUAL (jb_reserve_count (fixture->reserve), 0);
  /* 4 of the 6 places are free after 700 ms.  */
  CU_ASSERT_TRUE_FATAL (make (fixture, gang, 10));
  reservation = jb_reserve_get (fixture->reserve, 0);
  CU_ASSERT_EQUAL (reservation->member_count, 4);
  CU_ASSERT_EQUAL (reservation->start, fixture->now + 700 * JB_MS);
  talloc_free (fixture);
}

/* A long-running task has no run time.  Its reservation must take room up to
   the horizon, also after a plan, or another one is made for the same
   place.  */
static void
test_long_running (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *service = add_job (fixture, 1, 6000, 0);
  struct jb_task_group *other = add_job (fixture, 1, 6000, 500);

  service->job->desc->steps->long_running = true;
  fixture->usable = 1;
  run_task (fixture, 0, 8000, 500);
  CU_ASSERT_TRUE_FATAL (make (fixture, service, 10));
  begin (fixture);
  jb_reserve_plan (fixture->reserve, fixture->now);
  CU_ASSERT_EQUAL (jb_reserve_get (fixture->reserve, 0)->duration,
                   JB_RESERVE_STEPS * JB_RESERVE_STEP);
  CU_ASSERT_FALSE (make (fixture, other, 20));
  /* It never ends by itself, so nothing is expected to be free.  */
  jb_task_assign (service->tasks, fixture->backends[0], JB_RUN_RUNNING);
  CU_ASSERT_FALSE (make (fixture, other, 20));
  talloc_free (fixture);
}

/* Some runs of a gang may still end while its other members wait: all of them
   must have ended before it can use a reservation.  */
static void
test_gang_with_runs (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *gang = add_job (fixture, 2, 4000, 500);

  gang->job->desc->steps->gang = true;
  fill (fixture);
  jb_task_assign (&gang->tasks[0], fixture->backends[0], JB_RUN_RUNNING);
  CU_ASSERT_FALSE (make (fixture, gang, 10));
  jb_task_unassign (&gang->tasks[0], fixture->now);
  CU_ASSERT_TRUE (make (fixture, gang, 10));
  talloc_free (fixture);
}

/* A reservation that stays where runs end late, while another backend server
   becomes free, would let its task wait longer than without it.  */
static void
test_moved (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *large = add_job (fixture, 1, 8000, 1000);
  struct jb_task *early = run_task (fixture, 0, 8000, 1500);

  run_task (fixture, 1, 8000, 500);
  fixture->usable = 2;
  CU_ASSERT_TRUE_FATAL (make (fixture, large, 10));
  CU_ASSERT_PTR_EQUAL (jb_reserve_get (fixture->reserve, 0)->backends[0],
                       fixture->backends[1]);
  /* The run on the first one turns out to end within 100 ms.  */
  early->started_at = fixture->now - 1450 * JB_MS;
  early->group->expected_until = 0;
  for (int i = 0; i < 20; i++)
    jb_duration_record (fixture->durations, "queue", 0, 1000, 1000 * JB_MS);
  begin (fixture);
  jb_reserve_plan (fixture->reserve, fixture->now);
  CU_ASSERT_EQUAL (fixture->moves, 1);
  CU_ASSERT_PTR_EQUAL (jb_reserve_get (fixture->reserve, 0)->backends[0],
                       fixture->backends[0]);
  CU_ASSERT (jb_reserve_get (fixture->reserve, 0)->due
             < fixture->now + 200 * JB_MS);
  talloc_free (fixture);
}

/* A reservation on a backend server that is cordoned, silent, draining,
   evacuated or gone, none of which are usable, or that has restarted, would
   hold a place that never comes.  */
static void
test_backend_leaves (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *large = add_job (fixture, 1, 8000, 1000);

  run_task (fixture, 0, 8000, 1000);
  run_task (fixture, 1, 8000, 500);
  fixture->usable = 2;
  CU_ASSERT_TRUE_FATAL (make (fixture, large, 10));
  fixture->usable = 1;
  begin (fixture);
  CU_ASSERT_EQUAL (fixture->ends, 1);
  CU_ASSERT_EQUAL (fixture->last_reason, JB_RESERVE_BACKEND);
  /* It gets another one at once.  */
  CU_ASSERT_TRUE_FATAL (make (fixture, large, 10));
  CU_ASSERT_PTR_EQUAL (jb_reserve_get (fixture->reserve, 0)->backends[0],
                       fixture->backends[0]);
  fixture->backends[0]->incarnation = 7;
  begin (fixture);
  CU_ASSERT_EQUAL (fixture->ends, 2);
  CU_ASSERT_EQUAL (jb_reserve_stats (fixture->reserve)->broken, 2);
  CU_ASSERT_EQUAL (jb_reserve_count (fixture->reserve), 0);
  talloc_free (fixture);
}

/* Room must not be held for a job that has ended or that has started
   elsewhere.  */
static void
test_demand_ends (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *large = add_job (fixture, 1, 8000, 1000);
  struct jb_task_group *other = add_job (fixture, 1, 8000, 1000);
  struct jb_rank rank = rank_number (10);

  run_task (fixture, 0, 8000, 400);
  run_task (fixture, 1, 8000, 500);
  /* What fits now needs no reservation.  */
  CU_ASSERT_FALSE (make (fixture, large, 10));
  fixture->usable = 2;
  CU_ASSERT_TRUE_FATAL (make (fixture, large, 10));
  CU_ASSERT_TRUE (jb_reserve_has (fixture->reserve, large));
  large->job->ended_at = fixture->now;
  begin (fixture);
  CU_ASSERT_EQUAL (fixture->last_reason, JB_RESERVE_NO_DEMAND);
  CU_ASSERT_TRUE_FATAL (make (fixture, other, 10));
  jb_task_assign (other->tasks, fixture->backends[2], JB_RUN_STARTING);
  jb_reserve_task_started (fixture->reserve, other->tasks, &rank,
                           fixture->now);
  CU_ASSERT_EQUAL (fixture->last_reason, JB_RESERVE_STARTED);
  CU_ASSERT_EQUAL (jb_reserve_stats (fixture->reserve)->kept, 1);
  CU_ASSERT_EQUAL (jb_reserve_stats (fixture->reserve)->withdrawn, 1);
  talloc_free (fixture);
}

/* When all ends are late, room must not be held for ever: the reservation is
   given up a second after its time, however often its start is worked out
   anew, and its group pauses.  */
static void
test_all_ends_late (void)
{
  struct fixture *fixture = make_fixture ();
  struct jb_task_group *large = add_job (fixture, 1, 8000, 1000);
  jb_time begun = fixture->now;

  for (uint32_t i = 0; i < BACKEND_COUNT; i++)
    run_task (fixture, i, 5000, 500);
  CU_ASSERT_TRUE_FATAL (make (fixture, large, 10));
  while (fixture->ends == 0 && fixture->now < begun + 10 * JB_SECOND)
    {
      fixture->now += 20 * JB_MS;
      begin (fixture);
      if (jb_reserve_plan_due (fixture->reserve, fixture->now))
        jb_reserve_plan (fixture->reserve, fixture->now);
    }
  CU_ASSERT_EQUAL (fixture->last_reason, JB_RESERVE_OVERTIME);
  CU_ASSERT (fixture->now <= begun + 1600 * JB_MS);
  CU_ASSERT (large->no_reservation_until > fixture->now);
  CU_ASSERT_EQUAL (jb_reserve_stats (fixture->reserve)->broken, 1);
  /* 3 cores were free on the reserved backend server.  */
  CU_ASSERT (jb_reserve_stats (fixture->reserve)->idle_cpu_milli_ms
             > 3000 * 1400UL);
  talloc_free (fixture);
}

/* More reservations than the limit would hold too much room idle, and two for
   the same place would break one of them.  */
static void
test_limit (void)
{
  struct fixture *fixture = make_fixture ();

  fill (fixture);
  for (int64_t i = 0; i < JB_RESERVE_MAX; i++)
    CU_ASSERT_TRUE (make (fixture, add_job (fixture, 1, 4000, 1000), 10 + i));
  CU_ASSERT_FALSE (make (fixture, add_job (fixture, 1, 4000, 1000), 20));
  for (uint32_t i = 1; i < JB_RESERVE_MAX; i++)
    CU_ASSERT (jb_reserve_get (fixture->reserve, i)->start
               > jb_reserve_get (fixture->reserve, i - 1)->start);
  talloc_free (fixture);
}

/* A flood by one organisation must not hold the room of the others, but may
   use what nobody else waits for.  */
static void
test_weight (void)
{
  CU_ASSERT_TRUE (jb_reserve_exceeds_weight (6000, 10000, 1, 2, true));
  CU_ASSERT_FALSE (jb_reserve_exceeds_weight (6000, 10000, 1, 2, false));
  CU_ASSERT_FALSE (jb_reserve_exceeds_weight (6000, 10000, 3, 4, true));
  CU_ASSERT_FALSE (jb_reserve_exceeds_weight (0, 10000, 1, 2, true));
  CU_ASSERT_FALSE (jb_reserve_exceeds_weight (6000, 10000, 0, 0, true));
}

/* A task that needs much of one resource must go where that one is left over,
   or what is left on two backend servers is of no use.  */
static void
test_best_fit (void)
{
  struct jb_resources capacity = { 8000, 16000, 0 };
  struct jb_resources required = { 1000, 8000, 0 };
  struct jb_resources much_memory = { 2000, 9000, 0 };
  struct jb_resources much_of_both = { 4000, 16000, 0 };

  CU_ASSERT (jb_place_leftover (&required, &much_memory, &capacity)
             < jb_place_leftover (&required, &much_of_both, &capacity));
  CU_ASSERT_DOUBLE_EQUAL (jb_place_leftover (&required, &required, &capacity),
                          0, 1e-9);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "tasks beside a reservation", test_backfill },
          { "tasks that found no place", test_misses },
          { "gangs reserve for all members or not at all", test_gang },
          { "a gang whose previous runs have not ended", test_gang_with_runs },
          { "long-running tasks", test_long_running },
          { "reservations move to earlier room", test_moved },
          { "a backend server leaves", test_backend_leaves },
          { "demand ends", test_demand_ends },
          { "all ends are late", test_all_ends_late },
          { "the number of reservations is limited", test_limit },
          { "organisations above their weight's share", test_weight },
          { "best fit on several resources", test_best_fit },
          { NULL, NULL } };

  return dp_test_main ("reservations", tests);
}
