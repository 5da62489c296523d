/* Test of how a pool's owner treats backend servers of evacuated zones.

   Expected load: a third of a pool's backend servers in the zone, which come
   back cold.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"
#include "ignoring_driver.h"

#define NOW (60 * JB_SECOND)

static const struct jb_driver_ops driver_ops
    = { .submit = ignore_command, .log = ignore_log };

static const struct jb_bounds bounds = { .max_lease_ms = 6000 };

/* A pool with one backend server in zone "a" and one in zone "b", each with
   8 cores, which have answered their last probe before NOW.  */
struct fixture
{
  struct jb_zones *zones;
  struct jb_pool *pool;
  struct jb_backend *a;
  struct jb_backend *b;
};

static struct jb_backend *
add_backend (struct jb_pool *pool, const char *instance, const char *zone)
{
  struct jb_backend_entry entry = { .instance = instance,
                                    .address = "10.0.0.1:1",
                                    .zone = zone,
                                    .capacity = { 8000, 4000, 2 } };
  struct jb_backend *backend = jb_backend_new (pool, &entry);

  backend->listed = true;
  backend->probed = true;
  backend->in_roster = true;
  backend->clock_received_at = NOW - JB_SECOND;
  backend->probe_answered_at = NOW - JB_SECOND;
  jb_pool_add_backend (pool, backend);
  return backend;
}

static struct fixture
set_up (TALLOC_CTX *mem)
{
  struct fixture fixture = { .zones = jb_zones_new (mem) };
  struct jb_pool_options options
      = { .driver = jb_driver_new (mem, &driver_ops, NULL),
          .bounds = &bounds,
          .zones = fixture.zones,
          .name = "p",
          .owner = "host",
          .incarnation = 1 };

  fixture.pool = jb_pool_new (mem, &options);
  fixture.a = add_backend (fixture.pool, "i-a", "a");
  fixture.b = add_backend (fixture.pool, "i-b", "b");
  return fixture;
}

static void
apply (struct fixture *fixture, jb_time now, bool evacuated, uint64_t version)
{
  struct jb_zone_entry entry = { (char *)"a", evacuated, version };

  jb_zones_apply_change (fixture->zones, now, &entry);
}

/* An owner that starts tasks before its host has read the table could start
   them in an evacuated zone.  */
static void
test_unknown_table (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = set_up (mem);

  CU_ASSERT_FALSE (jb_pool_backend_is_usable (fixture.pool, fixture.b, NOW));
  jb_zones_apply_reading (fixture.zones, NOW, 1, NULL, 0);
  CU_ASSERT_TRUE (jb_pool_backend_is_usable (fixture.pool, fixture.b, NOW));
  talloc_free (mem);
}

/* Capacity of an evacuated zone must not be counted on for admission and
   moves, and its backend servers must not look idle to the planner.  */
static void
test_load (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = set_up (mem);
  struct jb_msg_load load;

  jb_zones_apply_reading (fixture.zones, NOW, 1, NULL, 0);
  jb_pool_get_load (fixture.pool, mem, NOW, &load);
  CU_ASSERT_EQUAL (load.capacity_cpu_milli, 16000);
  CU_ASSERT_EQUAL (load.idle_instance_count, 2);
  apply (&fixture, NOW, true, 2);
  jb_pool_get_load (fixture.pool, mem, NOW, &load);
  CU_ASSERT_EQUAL (load.capacity_cpu_milli, 8000);
  CU_ASSERT_EQUAL_FATAL (load.idle_instance_count, 1);
  CU_ASSERT_STRING_EQUAL (load.idle_instances[0], "i-b");
  talloc_free (mem);
}

/* A backend server may have gone while its zone was evacuated: it must answer
   a probe before anything is started there, and is cold then.  */
static void
test_restored_zone (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = set_up (mem);
  jb_time restored_at = NOW + 10 * JB_SECOND;

  jb_zones_apply_reading (fixture.zones, NOW, 1, NULL, 0);
  apply (&fixture, NOW, true, 2);
  CU_ASSERT_FALSE (jb_pool_backend_is_usable (fixture.pool, fixture.a, NOW));
  CU_ASSERT_FALSE (jb_pool_awaits_answer (fixture.pool, fixture.a));
  apply (&fixture, restored_at, false, 3);
  CU_ASSERT_TRUE (jb_pool_awaits_answer (fixture.pool, fixture.a));
  CU_ASSERT_FALSE (jb_pool_awaits_answer (fixture.pool, fixture.b));
  CU_ASSERT_FALSE (
      jb_pool_backend_is_usable (fixture.pool, fixture.a, restored_at));
  fixture.a->probe_answered_at = restored_at + 100 * JB_MS;
  CU_ASSERT_TRUE (
      jb_pool_backend_is_usable (fixture.pool, fixture.a, restored_at));
  jb_pool_limit_fill (fixture.pool, fixture.a, restored_at);
  jb_pool_limit_fill (fixture.pool, fixture.b, restored_at);
  CU_ASSERT_EQUAL (jb_backend_available (fixture.a).cpu_milli, 2000);
  CU_ASSERT_EQUAL (jb_backend_available (fixture.a).memory_mb, 1000);
  CU_ASSERT_EQUAL (jb_backend_available (fixture.b).cpu_milli, 8000);
  jb_pool_limit_fill (fixture.pool, fixture.a, restored_at + 2 * JB_SECOND);
  CU_ASSERT_EQUAL (jb_backend_available (fixture.a).cpu_milli, 8000);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "nothing is usable before the table is known",
            test_unknown_table },
          { "evacuated capacity is not reported", test_load },
          { "backend servers of a restored zone", test_restored_zone },
          { NULL, NULL } };

  return dp_test_main ("pool and evacuated zones", tests);
}
