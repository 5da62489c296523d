/* Tests of placement with lookahead (jb_reserve.h) in whole entry hosts, in
   virtual time.

   Expected load: a pool that is kept full by small tasks, and large tasks that
   need most of a backend server.  */

#include "jw_test.h"

enum
{
  SEEDS = 8,
  SOAK_SEEDS = 15,
  BACKEND_COUNT = 6,
  BACKEND_CPU_MILLI = 8000,
  LARGE_CPU_MILLI = 7000
};

static struct jw_world *
create_world (uint32_t seed, bool lookahead)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 3,
                                .pools = 1,
                                .backends = BACKEND_COUNT,
                                .backend_cpu_milli = BACKEND_CPU_MILLI,
                                .lookahead = lookahead };

  return jw_create_world (&options);
}

/* Submit small jobs that ask for about the whole pool for DURATION.  */
static void
submit_stream (struct jw_world *world, jb_time duration)
{
  jb_time end = world->now + duration;

  while (world->now < end)
    {
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 2,
                                    .cpu_milli = 1000,
                                    .duration_ms = 900 };

      jw_submit_job (world, &job);
      jw_advance (world, 40 * JB_MS);
    }
}

static const char *
submit_large (struct jw_world *world)
{
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 1,
                                .cpu_milli = LARGE_CPU_MILLI,
                                .duration_ms = 900 };

  return jw_submit_job (world, &job);
}

/* Return how long the large job ID waits for its start, at most 8 s, while the
   stream goes on.  */
static jb_time
wait_for_start (struct jw_world *world, const char *id)
{
  jb_time begun = world->now;

  while (!jw_find_job (world, id)->started
         && world->now < begun + 8 * JB_SECOND)
    submit_stream (world, 20 * JB_MS);
  return world->now - begun;
}

/* Return the mean wait of large jobs in a stream of small ones.  */
static jb_time
measure_wait (bool lookahead)
{
  jb_time sum = 0;

  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_world *world = create_world (seed, lookahead);
      const char *id;

      submit_stream (world, 2 * JB_SECOND);
      id = submit_large (world);
      sum += wait_for_start (world, id);
      CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_RESERVATIONS_MADE) > 0,
                       lookahead);
      jw_advance (world, 20 * JB_SECOND);
      jw_check_and_free (world);
    }
  return sum / SEEDS;
}

/* Small tasks that come later must not take the room of a large one until the
   stream ends.  */
static void
test_large_job_in_stream (void)
{
  jb_time without = measure_wait (false);
  jb_time with = measure_wait (true);

  printf ("large job in a stream waits %d ms, with lookahead %d ms ... ",
          (int)(without / JB_MS), (int)(with / JB_MS));
  CU_ASSERT (with < without);
}

/* Return a simulation in which the large job ID waits and a reservation was
   just made.  */
static struct jw_world *
create_reservation (uint32_t seed, const char **id)
{
  struct jw_world *world = create_world (seed, true);
  uint64_t made;

  submit_stream (world, 2 * JB_SECOND);
  *id = submit_large (world);
  made = jw_sum_counter (world, JB_COUNT_RESERVATIONS_MADE);
  for (int i = 0;
       i < 100 && jw_sum_counter (world, JB_COUNT_RESERVATIONS_MADE) == made;
       i++)
    submit_stream (world, 10 * JB_MS);
  CU_ASSERT (jw_sum_counter (world, JB_COUNT_RESERVATIONS_MADE) > made);
  return world;
}

/* The successor of an owner with reservations knows none of them.  It must
   neither start anything twice nor let the large job wait for ever, and must
   make reservations of its own once the pool is full again.  The backlog of
   the takeover ends first: what is late already goes after all jobs that can
   be on time, with or without a reservation.  */
static void
test_takeover (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      const char *id;
      struct jw_world *world = create_reservation (seed, &id);

      jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      CU_ASSERT (wait_for_start (world, id) < 8 * JB_SECOND);
      jw_advance (world, 5 * JB_SECOND);
      submit_stream (world, 2 * JB_SECOND);
      id = submit_large (world);
      CU_ASSERT (wait_for_start (world, id) < 8 * JB_SECOND);
      CU_ASSERT (jw_sum_counter (world, JB_COUNT_RESERVATIONS_MADE) > 0);
      jw_advance (world, 20 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* A reservation must not be kept on a backend server that is gone: its task
   would wait while there is room elsewhere.  All backend servers crash, so
   that the reserved one is among them; they return after 3 s.  */
static void
test_backend_leaves (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      const char *id;
      struct jw_world *world = create_reservation (seed, &id);
      guint count = world->backends->len;
      jb_time crashed_at = world->now;

      for (guint i = 0; i < count; i++)
        {
          struct jw_backend *backend = g_ptr_array_index (world->backends, i);

          if (backend->pool == 0 && backend->up)
            jw_backend_crash (world, backend, false);
        }
      while (!jw_find_job (world, id)->started
             && world->now < crashed_at + 10 * JB_SECOND)
        jw_advance (world, 20 * JB_MS);
      CU_ASSERT (world->now < crashed_at + 10 * JB_SECOND);
      CU_ASSERT (jw_sum_counter (world, JB_COUNT_RESERVATIONS_BROKEN) > 0);
      jw_advance (world, 25 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* Reservations must break no guarantee under random load and faults.  */
static void
test_soak (void)
{
  for (uint32_t seed = 1; seed <= SOAK_SEEDS; seed++)
    {
      struct jw_soak soak = { .seed = seed, .lookahead = true };

      jw_assert_soak (&soak);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a large job in a stream of small ones",
            test_large_job_in_stream },
          { "the owner is killed", test_takeover },
          { "backend servers crash", test_backend_leaves },
          { "random load and faults", test_soak },
          { NULL, NULL } };

  return dp_test_main ("placement with lookahead", tests);
}
