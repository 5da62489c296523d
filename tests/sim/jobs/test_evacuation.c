/* Evacuations of availability zones in the simulation, with the failures that
   may come between an order and its effect.  */

#include "jw_test.h"

#include "jb_view.h"

#include <string.h>

/* Within this time of an order nothing is started in the zone any more.  */
#define ORDER_TIME (5 * JB_SECOND)

enum
{
  EVACUATED = 1 /* index of the zone */
};

static struct jw_world *
create_world (uint32_t seed, uint32_t hosts, uint32_t disabled_safeguards)
{
  struct jw_options options = { .seed = seed,
                                .hosts = hosts,
                                .pools = 2,
                                .backends = 6,
                                .backend_cpu_milli = 8000,
                                .disabled_safeguards = disabled_safeguards };

  return jw_create_world (&options);
}

/* Submit a job with tasks of DURATION_MS to POOL.  */
static void
submit (struct jw_world *world, uint32_t pool, uint32_t tasks,
        int64_t duration_ms)
{
  struct jw_job_options job = { .pool = pool,
                                .step_count = 1,
                                .tasks_per_step = tasks,
                                .cpu_milli = 1000,
                                .duration_ms = duration_ms };

  jw_submit_job (world, &job);
}

/* Submit small jobs to both pools for DURATION.  */
static void
advance_with_load (struct jw_world *world, jb_time duration)
{
  jb_time end = world->now + duration;

  while (world->now < end)
    {
      submit (world, world->now / (100 * JB_MS) % 2, 4, 300);
      jw_advance (world, 100 * JB_MS);
    }
}

/* Tasks of a zone must not start there after an order, and must start there
   again after its removal.  */
static void
test_order_and_removal (void)
{
  struct jw_world *world = create_world (1, 3, 0);

  advance_with_load (world, JB_SECOND);
  jw_evacuate_zone (world, EVACUATED);
  advance_with_load (world, ORDER_TIME);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  advance_with_load (world, 5 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  jw_restore_zone (world, EVACUATED);
  jw_advance (world, 2 * JB_SECOND);
  submit (world, 0, 24, 1000);
  submit (world, 0, 24, 1000);
  jw_advance (world, 500 * JB_MS);
  CU_ASSERT (jw_count_running_in_zone (world, EVACUATED) > 0);
  jw_advance (world, 3 * JB_SECOND);
  jw_check_and_free (world);
}

/* The emulator's check must find starts in an evacuated zone.  */
static void
test_check (void)
{
  struct jw_world *world = create_world (1, 3, JB_SAFEGUARD_ZONES);

  jw_evacuate_zone (world, EVACUATED);
  advance_with_load (world, ORDER_TIME + JB_SECOND);
  CU_ASSERT (world->violations > 0);
  CU_ASSERT (g_str_has_prefix (world->first_violation, "EVAC"));
  jw_world_free (world);
}

/* Submit COUNT jobs with TASKS long-running tasks each to the first pool.  A
   backend server may hold one task of each job, and one task of each may be
   unavailable at a time.  */
static void
submit_long_running (struct jw_world *world, uint32_t count, uint32_t tasks)
{
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = tasks,
                                .cpu_milli = 1000,
                                .long_running = true,
                                .max_unavailable = 1 };

  for (uint32_t i = 0; i < count; i++)
    jw_submit_job (world, &job);
}

/* Return the number of running tasks in all zones.  */
static uint32_t
count_running (struct jw_world *world)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < JW_ZONE_COUNT; i++)
    count += jw_count_running_in_zone (world, i);
  return count;
}

/* Long-running tasks must leave the zone, one of each job after the other, so
   that no more are unavailable than their budget allows: the emulator checks
   AVAIL.  */
static void
test_long_running_tasks_leave (void)
{
  struct jw_world *world = create_world (2, 3, 0);

  submit_long_running (world, 6, 4);
  jw_advance (world, 3 * JB_SECOND);
  CU_ASSERT (jw_count_running_in_zone (world, EVACUATED) > 2);
  jw_evacuate_zone (world, EVACUATED);
  jw_advance (world, 30 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  CU_ASSERT_EQUAL (count_running (world), 24);
  jw_check_and_free (world);
}

/* Two tasks of a step in the zone must not be stopped together, although there
   is room for both.  */
static void
test_budget (void)
{
  uint32_t worlds_with_two = 0;

  for (uint32_t seed = 30; seed < 42; seed++)
    {
      struct jw_world *world = create_world (seed, 3, 0);
      uint32_t zone = seed % JW_ZONE_COUNT;

      submit_long_running (world, 1, 4);
      jw_advance (world, 3 * JB_SECOND);
      worlds_with_two += jw_count_running_in_zone (world, zone) == 2;
      jw_evacuate_zone (world, zone);
      jw_advance (world, 10 * JB_SECOND);
      CU_ASSERT_EQUAL (jw_count_running_in_zone (world, zone), 0);
      CU_ASSERT_EQUAL (count_running (world), 4);
      jw_check_and_free (world);
    }
  CU_ASSERT (worlds_with_two > 0);
}

/* A long-running task must stay while the other zones have no room for it:
   stopped, it would lose its place.  When other work has ended there, it must
   leave.  */
static void
test_full_zones (void)
{
  struct jw_world *world = create_world (3, 3, 0);
  uint32_t in_zone;

  submit_long_running (world, 4, 4);
  jw_advance (world, 2 * JB_SECOND);
  submit (world, 0, 32, 30000);
  jw_advance (world, JB_SECOND);
  CU_ASSERT_EQUAL (count_running (world), 48);
  in_zone = jw_count_running_in_zone (world, EVACUATED);
  jw_evacuate_zone (world, EVACUATED);
  for (int i = 0; i < 24; i++)
    {
      jw_advance (world, 500 * JB_MS);
      CU_ASSERT_EQUAL (count_running (world), 48);
    }
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), in_zone);
  jw_advance (world, 45 * JB_SECOND);
  CU_ASSERT_EQUAL (count_running (world), 16);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  jw_check_and_free (world);
}

/* The same when it isn't room that the others lack: each of the other backend
   servers holds a task of the same step already.  Finite work that waits
   meanwhile must not be forgotten.  */
static void
test_no_allowed_backend (void)
{
  struct jw_world *world = create_world (3, 3, 0);

  submit_long_running (world, 1, 6);
  jw_advance (world, 3 * JB_SECOND);
  jw_evacuate_zone (world, EVACUATED);
  jw_advance (world, 2 * JB_SECOND);
  submit (world, 0, 20, 1000);
  submit (world, 0, 20, 1000);
  jw_advance (world, 10 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 2);
  CU_ASSERT_EQUAL (count_running (world), 6);
  jw_check_and_free (world);
}

/* A job that fits on the backend servers of the zone only must wait until the
   zone is taken back.  Refused as too large for every backend server, its
   client would not come again.  */
static void
test_fits_evacuated_zone_only (void)
{
  struct jw_world *world = create_world (3, 3, 0);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 1,
                                .cpu_milli = 4000,
                                .duration_ms = 1000 };
  const struct jw_job *submitted;
  const char *id;

  for (uint32_t i = 0; i < 6; i++)
    {
      struct jw_backend *backend = jw_find_backend (world, 0, i);

      if (strcmp (backend->zone, jw_zone_name (EVACUATED)) != 0)
        jw_backend_set_capacity (world, backend, 2000);
    }
  jw_advance (world, 3 * JB_SECOND);
  jw_evacuate_zone (world, EVACUATED);
  jw_advance (world, ORDER_TIME);
  id = jw_submit_job (world, &job);
  jw_advance (world, 2 * JB_SECOND);
  submitted = jw_find_job (world, id);
  CU_ASSERT_TRUE (submitted->accepted);
  CU_ASSERT_FALSE (submitted->started);
  jw_restore_zone (world, EVACUATED);
  jw_advance (world, 5 * JB_SECOND);
  jw_query_all_jobs (world);
  jw_advance (world, JB_SECOND);
  CU_ASSERT_EQUAL (submitted->state, JB_JOB_COMPLETED);
  jw_check_and_free (world);
}

/* Two orders at once must both have an effect, and one removal only its
   own.  */
static void
test_two_orders (void)
{
  struct jw_world *world = create_world (4, 3, 0);

  jw_evacuate_zone (world, 0);
  jw_evacuate_zone (world, 1);
  advance_with_load (world, ORDER_TIME);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, 0), 0);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, 1), 0);
  CU_ASSERT (jw_count_running_in_zone (world, 2) > 0);
  jw_restore_zone (world, 0);
  advance_with_load (world, 5 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, 1), 0);
  jw_advance (world, 3 * JB_SECOND);
  jw_check_and_free (world);
}

/* The last of an order and its removal in quick succession must win.  */
static void
test_quick_succession (void)
{
  struct jw_world *world = create_world (5, 3, 0);

  for (int i = 0; i < 10; i++)
    {
      jw_evacuate_zone (world, EVACUATED);
      jw_advance (world, (i % 4) * 100 * JB_MS);
      jw_restore_zone (world, EVACUATED);
      jw_advance (world, (i % 3) * 100 * JB_MS);
    }
  jw_evacuate_zone (world, EVACUATED);
  advance_with_load (world, ORDER_TIME + JB_SECOND);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  jw_restore_zone (world, EVACUATED);
  jw_advance (world, 3 * JB_SECOND);
  submit (world, 0, 24, 1000);
  submit (world, 0, 24, 1000);
  jw_advance (world, 500 * JB_MS);
  CU_ASSERT (jw_count_running_in_zone (world, EVACUATED) > 0);
  jw_advance (world, 3 * JB_SECOND);
  jw_check_and_free (world);
}

/* Owners that are killed after the order, or before it took effect, must be
   followed by hosts that know the order: their complete reading has two pages,
   and the order is on the second one.  */
static void
test_order_during_takeover (void)
{
  for (uint32_t seed = 10; seed < 16; seed++)
    {
      struct jw_world *world = create_world (seed, 4, 0);
      int owner;

      advance_with_load (world, JB_SECOND);
      owner = jw_pool_owner (world, 0);
      CU_ASSERT_FATAL (owner >= 0);
      if (seed % 2 == 0)
        jw_evacuate_zone (world, EVACUATED);
      jw_host_kill (world, (uint32_t)owner);
      jw_advance (world, (seed % 3) * 300 * JB_MS);
      if (seed % 2 != 0)
        jw_evacuate_zone (world, EVACUATED);
      advance_with_load (world, ORDER_TIME);
      jw_host_start (world, (uint32_t)owner);
      advance_with_load (world, 2 * JB_SECOND);
      for (uint32_t i = 0; i < world->options.hosts; i++)
        jw_host_kill (world, i);
      jw_advance (world, 500 * JB_MS);
      for (uint32_t i = 0; i < world->options.hosts; i++)
        jw_host_start (world, i);
      advance_with_load (world, 6 * JB_SECOND);
      CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
      jw_advance (world, 5 * JB_SECOND);
      jw_check_and_free (world);
    }
}

static struct jb_view
get_view (struct jw_world *world, uint32_t host)
{
  struct jb_view view = { .mem = talloc_new (world) };

  jb_host_view (world->hosts[host].host, world->now, JB_VIEW_EVACUATIONS, NULL,
                &view);
  return view;
}

/* Return the value of field NAME of the first line of VIEW, or NULL.  */
static const char *
view_field (const struct jb_view *view, const char *name)
{
  for (uint32_t i = 0; view->count > 0 && i < view->lines[0].count; i++)
    if (strcmp (view->lines[0].fields[i].name, name) == 0)
      return view->lines[0].fields[i].value;
  return NULL;
}

/* A host that the store refuses must learn the order, and its removal, from a
   coordinator, and must not be set back by older copies.  */
static void
test_cut_off_host (void)
{
  struct jw_world *world = create_world (6, 4, 0);
  uint32_t cut_off = 3;
  struct jb_view view;

  world->hosts[cut_off].store_unreachable = true;
  jw_advance (world, 2 * JB_SECOND);
  jw_evacuate_zone (world, EVACUATED);
  jw_advance (world, 2 * JB_SECOND);
  view = get_view (world, cut_off);
  CU_ASSERT_EQUAL_FATAL (view.count, 1);
  CU_ASSERT_STRING_EQUAL (view_field (&view, "zone"),
                          jw_zone_name (EVACUATED));
  CU_ASSERT_STRING_EQUAL (view_field (&view, "state"), "evacuated");
  jw_restore_zone (world, EVACUATED);
  jw_advance (world, 2 * JB_SECOND);
  view = get_view (world, cut_off);
  CU_ASSERT_STRING_EQUAL (view_field (&view, "state"), "restored");
  jw_check_and_free (world);
}

/* An owner that is cut off from the store while peers still hear it must not
   start anything in the zone either.  */
static void
test_cut_off_owner (void)
{
  for (uint32_t seed = 20; seed < 26; seed++)
    {
      struct jw_world *world = create_world (seed, 4, 0);
      int owner = jw_pool_owner (world, 0);

      advance_with_load (world, JB_SECOND);
      world->hosts[owner].store_unreachable = true;
      jw_advance (world, (seed % 3) * 200 * JB_MS);
      jw_evacuate_zone (world, EVACUATED);
      advance_with_load (world, ORDER_TIME);
      CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
      world->hosts[owner].store_unreachable = false;
      advance_with_load (world, 5 * JB_SECOND);
      jw_advance (world, 5 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* While the store is away for all hosts, the order takes effect after its
   return, and work goes on.  */
static void
test_store_away (void)
{
  struct jw_world *world = create_world (7, 3, 0);

  advance_with_load (world, JB_SECOND);
  jw_evacuate_zone (world, EVACUATED);
  world->store_down = true;
  jw_advance (world, 3 * JB_SECOND);
  world->store_down = false;
  advance_with_load (world, ORDER_TIME);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  jw_advance (world, 8 * JB_SECOND);
  jw_check_and_free (world);
}

/* Hosts for which the store has no history must read everything again: an
   order and a removal that they have missed have no other trace.  */
static void
test_history_gone (void)
{
  struct jw_world *world = create_world (9, 3, 0);
  struct jb_view view;

  jw_evacuate_zone (world, 0);
  jw_advance (world, 2 * JB_SECOND);
  jw_restore_zone (world, 0);
  jw_evacuate_zone (world, EVACUATED);
  world->history_start = world->version;
  advance_with_load (world, ORDER_TIME);
  CU_ASSERT_EQUAL (jw_count_running_in_zone (world, EVACUATED), 0);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    {
      view = get_view (world, i);
      CU_ASSERT_EQUAL_FATAL (view.count, 2);
      CU_ASSERT_STRING_EQUAL (view_field (&view, "zone"), jw_zone_name (0));
      CU_ASSERT_STRING_EQUAL (view_field (&view, "state"), "restored");
    }
  jw_advance (world, 3 * JB_SECOND);
  jw_check_and_free (world);
}

/* A zone that loses power while it is evacuated is handled as any backend
   servers that crash: what ran there runs elsewhere.  */
static void
test_power_loss (void)
{
  struct jw_world *world = create_world (8, 3, 0);

  submit (world, 0, 24, 3000);
  submit (world, 0, 16, 3000);
  jw_advance (world, 500 * JB_MS);
  CU_ASSERT (jw_count_running_in_zone (world, EVACUATED) > 0);
  jw_evacuate_zone (world, EVACUATED);
  jw_advance (world, 800 * JB_MS);
  for (guint i = 0; i < world->backends->len; i++)
    {
      struct jw_backend *backend = g_ptr_array_index (world->backends, i);

      if (backend->up && backend->zone == jw_zone_name (EVACUATED))
        jw_backend_crash (world, backend, true);
    }
  advance_with_load (world, 5 * JB_SECOND);
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* The view of an owner counts what still runs in the zone, by kind.  */
static void
test_view (void)
{
  struct jw_world *world = create_world (3, 1, 0);
  struct jb_view view;

  submit_long_running (world, 1, 6);
  jw_advance (world, 3 * JB_SECOND);
  CU_ASSERT_EQUAL (get_view (world, 0).count, 0);
  jw_evacuate_zone (world, EVACUATED);
  jw_advance (world, 30 * JB_SECOND);
  view = get_view (world, 0);
  CU_ASSERT_EQUAL_FATAL (view.count, 1);
  CU_ASSERT_STRING_EQUAL (view_field (&view, "finite"), "0");
  CU_ASSERT_STRING_EQUAL (view_field (&view, "long_running"), "2");
  CU_ASSERT (atoi (view_field (&view, "since_ms")) > 25000);
  CU_ASSERT (atoi (view_field (&view, "version")) > 0);
  jw_world_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "nothing starts between an order and its removal",
            test_order_and_removal },
          { "the check finds starts without the safeguard", test_check },
          { "long-running tasks leave within their budget",
            test_long_running_tasks_leave },
          { "tasks of a step leave one after the other", test_budget },
          { "tasks stay while the other zones are full", test_full_zones },
          { "tasks stay without an allowed backend server",
            test_no_allowed_backend },
          { "a job fits on the zone's backend servers only",
            test_fits_evacuated_zone_only },
          { "two orders at once", test_two_orders },
          { "orders and removals in quick succession", test_quick_succession },
          { "orders during takeovers", test_order_during_takeover },
          { "a host that the store refuses learns from peers",
            test_cut_off_host },
          { "an owner that the store refuses", test_cut_off_owner },
          { "the store is away during an order", test_store_away },
          { "the history of the store is gone", test_history_gone },
          { "the zone loses power while it is evacuated", test_power_loss },
          { "what is left in a zone is shown", test_view },
          { NULL, NULL } };

  return dp_test_main ("evacuations of zones", tests);
}
