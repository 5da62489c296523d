/* Test of what the planner does about hosts of evacuated zones.

   Expected load: a third of the fleet is in the zone, while pools need more
   hosts and a maintenance wave is under way.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "ignoring_planner.h"
#include "jb_planner.h"

#include <string.h>

enum
{
  HOST_COUNT = 12,
  ZONE_COUNT = 3, /* host i is in zone i % ZONE_COUNT */
  MAX_COMMANDS = 4096
};

#define STEP (50 * JB_MS)

static const char *const zone_names[ZONE_COUNT] = { "a", "b", "c" };

struct fixture
{
  TALLOC_CTX *mem;
  struct jb_driver *driver;
  jb_time now;
  struct jb_zones *zones;
  struct jb_planner *planner;
  const char *pool; /* of all hosts */
  bool hosts_are_off;
  struct jb_command commands[MAX_COMMANDS];
  uint64_t last_command;
  uint64_t replied;
  struct ba_bytes owner;      /* value of the owner row */
  uint32_t taken[HOST_COUNT]; /* requests to evacuate the host, or commands to
                                 it if the hosts are off */
};

static uint32_t
host_index (const char *name)
{
  return (uint32_t)g_ascii_strtoull (name + 2, NULL, 10);
}

static void
record_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  struct fixture *fixture = context;

  g_assert (number < MAX_COMMANDS);
  if (command->kind == JB_COMMAND_WRITE)
    for (uint32_t i = 0; i < command->u.write.set_count; i++)
      if (strcmp (command->u.write.set_rows[i].table, JB_OWNERSHIP_TABLE) == 0)
        {
          struct ba_bytes value = command->u.write.set_rows[i].value;

          fixture->owner = ba_bytes_copy (fixture->mem, value.data, value.len);
        }
  if (command->kind == JB_COMMAND_MOVE_HOST)
    fixture->taken[host_index (command->u.host.host)]++;
  fixture->commands[number] = *command;
  fixture->last_command = number;
}

static const struct jb_driver_ops driver_ops
    = { .submit = record_command, .log = ignore_log };

static void
record_evacuation (void *data, jb_time now,
                   const struct jb_msg_evacuate *evacuate)
{
  struct fixture *fixture = data;

  (void)now;
  if (!evacuate->host_removed)
    fixture->taken[host_index (evacuate->instance)]++;
}

/* Fill in the list of the hosts.  One more host is in the pool "busy", which
   grows to a multiple of its own hosts only.  */
static void
list_hosts (const struct fixture *fixture, struct jb_reply *reply)
{
  reply->hosts
      = talloc_zero_array (reply->mem, struct jb_host_entry, HOST_COUNT + 1);
  for (; reply->host_count < HOST_COUNT; reply->host_count++)
    {
      char *name = talloc_asprintf (reply->mem, "m-%u", reply->host_count);

      reply->hosts[reply->host_count] = (struct jb_host_entry){
        .host = name,
        .pool = fixture->pool,
        .instance = fixture->hosts_are_off ? NULL : name,
        .zone = zone_names[reply->host_count % ZONE_COUNT]
      };
    }
  reply->hosts[reply->host_count++] = (struct jb_host_entry){
    .host = "busy-0", .pool = "busy", .instance = "busy-0", .zone = "c"
  };
}

static void
reply_to_commands (struct fixture *fixture)
{
  while (fixture->replied < fixture->last_command)
    {
      uint64_t number = ++fixture->replied;
      TALLOC_CTX *mem = talloc_new (NULL);
      struct jb_reply reply
          = { .mem = mem, .result = JB_RESULT_OK, .version = number };
      struct jb_row owner = { .table = JB_OWNERSHIP_TABLE,
                              .partition = JB_PLANNER_PARTITION,
                              .key = JB_OWNERSHIP_KEY,
                              .version = number,
                              .value = fixture->owner };

      if (fixture->commands[number].kind == JB_COMMAND_READ
          && fixture->owner.data != NULL
          && strcmp (fixture->commands[number].u.read.table,
                     JB_OWNERSHIP_TABLE)
                 == 0)
        {
          reply.rows = &owner;
          reply.row_count = 1;
        }
      else if (fixture->commands[number].kind == JB_COMMAND_LIST_HOSTS)
        list_hosts (fixture, &reply);
      jb_driver_receive_reply (fixture->driver, fixture->now, number, &reply);
      talloc_free (mem);
    }
}

static struct jb_bounds bounds = { .maintenance_ms = 2000,
                                   .host_move_ms = 1500,
                                   .command_lease_ms = 3000 };
static struct jb_pool_settings pools[]
    = { { .name = (char *)"standby", .standby = true },
        { .name = (char *)"busy" } };
static const struct jb_catalog catalog = { .pool_count = 2, .pools = pools };
static const struct jb_catalog *current_catalog = &catalog;

/* Set up FIXTURE with a planner that owns its partition, and with HOST_COUNT
   hosts in POOL, which are off if it is the standby pool.  */
static void
set_up (struct fixture *fixture, const char *pool, bool zones_known)
{
  struct jb_planner_options options
      = { .bounds = &bounds,
          .catalog = &current_catalog,
          .owner = "host",
          .incarnation = 1,
          .request_evacuation = record_evacuation,
          .notify_arrival = ignore_arrival,
          .state_changed = ignore_state,
          .data = fixture };

  memset (fixture, 0, sizeof *fixture);
  fixture->mem = talloc_new (NULL);
  fixture->now = 60 * JB_SECOND;
  fixture->pool = pool;
  fixture->hosts_are_off = strcmp (pool, "standby") == 0;
  fixture->zones = jb_zones_new (fixture->mem);
  if (zones_known)
    jb_zones_apply_reading (fixture->zones, fixture->now, 1, NULL, 0);
  fixture->driver = jb_driver_new (fixture->mem, &driver_ops, fixture);
  options.driver = fixture->driver;
  options.zones = fixture->zones;
  fixture->planner = jb_planner_new (fixture->mem, &options);
  jb_planner_claim (fixture->planner, fixture->now);
  reply_to_commands (fixture);
}

static void
order (struct fixture *fixture, const char *zone, bool evacuated,
       uint64_t version)
{
  struct jb_zone_entry entry = { (char *)zone, evacuated, version };

  jb_zones_apply_change (fixture->zones, fixture->now, &entry);
}

/* Run the planner for DURATION.  The pool "busy" wants CPU_MILLI.  */
static void
run (struct fixture *fixture, jb_time duration, int64_t cpu_milli)
{
  jb_time end = fixture->now + duration;

  while (fixture->now < end)
    {
      struct jb_msg_load load = { .pool = (char *)"busy",
                                  .capacity_cpu_milli = 8000,
                                  .host_cpu_milli = 8000,
                                  .finite_cpu_milli = 8000,
                                  .waiting_cpu_milli = cpu_milli };

      fixture->now += STEP;
      jb_planner_handle_load (fixture->planner, fixture->now, &load);
      (void)jb_planner_run (fixture->planner, fixture->now);
      reply_to_commands (fixture);
    }
}

/* Return how many hosts of ZONE were taken.  */
static uint32_t
count_taken (const struct fixture *fixture, uint32_t zone)
{
  uint32_t count = 0;

  for (uint32_t i = zone; i < HOST_COUNT; i += ZONE_COUNT)
    count += fixture->taken[i] > 0;
  return count;
}

/* A host of an evacuated zone that moves to a pool in need is of no use there:
   other hosts must be sent instead.  The table must be known before any host
   is chosen.  */
static void
test_moves (void)
{
  struct fixture fixture;

  set_up (&fixture, "standby", false);
  run (&fixture, 500 * JB_MS, 16000);
  CU_ASSERT_EQUAL (count_taken (&fixture, 0) + count_taken (&fixture, 1)
                       + count_taken (&fixture, 2),
                   0);
  jb_zones_apply_reading (fixture.zones, fixture.now, 1, NULL, 0);
  for (uint32_t i = 0; i < ZONE_COUNT; i++)
    order (&fixture, zone_names[i], true, 2 + i);
  run (&fixture, 2 * JB_SECOND, 200000);
  CU_ASSERT_EQUAL (count_taken (&fixture, 0) + count_taken (&fixture, 1)
                       + count_taken (&fixture, 2),
                   0);
  order (&fixture, "b", false, 10);
  run (&fixture, 2 * JB_SECOND, 200000);
  CU_ASSERT_EQUAL (count_taken (&fixture, 0), 0);
  CU_ASSERT (count_taken (&fixture, 1) > 0);
  CU_ASSERT_EQUAL (count_taken (&fixture, 2), 0);
  talloc_free (fixture.mem);
}

/* Start a wave over all hosts.  Their number is limited by the pool alone:
   only a quarter of its hosts may be away.  */
static void
start_wave (struct fixture *fixture)
{
  const char *names[HOST_COUNT];
  struct jb_wave_entry wave = { .wave = 1,
                                .hosts = names,
                                .host_count = HOST_COUNT,
                                .within_ms = 600000,
                                .max_hosts_at_once = HOST_COUNT };

  for (uint32_t i = 0; i < HOST_COUNT; i++)
    names[i] = talloc_asprintf (fixture->mem, "m-%u", i);
  jb_planner_add_wave (fixture->planner, fixture->now, &wave);
}

/* A wave must take the hosts of the evacuated zone first, and must not take as
   many others out of the pool as if the zone were there.  */
static void
test_wave (void)
{
  struct fixture fixture;

  set_up (&fixture, "empty", true);
  order (&fixture, "b", true, 2);
  start_wave (&fixture);
  run (&fixture, JB_SECOND, 0);
  CU_ASSERT_EQUAL (count_taken (&fixture, 0), 0);
  CU_ASSERT_EQUAL (count_taken (&fixture, 1), HOST_COUNT / ZONE_COUNT);
  CU_ASSERT_EQUAL (count_taken (&fixture, 2), 0);
  talloc_free (fixture.mem);
}

/* Without an evacuation, a wave takes a quarter of the hosts.  */
static void
test_wave_without_order (void)
{
  struct fixture fixture;

  set_up (&fixture, "empty", true);
  start_wave (&fixture);
  run (&fixture, JB_SECOND, 0);
  CU_ASSERT_EQUAL (count_taken (&fixture, 0) + count_taken (&fixture, 1)
                       + count_taken (&fixture, 2),
                   HOST_COUNT / 4);
  talloc_free (fixture.mem);
}

/* A command to a host of the zone must wait for the owner's answer that the
   host is empty.  */
static void
test_wave_waits_for_owner (void)
{
  struct fixture fixture;
  uint32_t commands = 0;

  set_up (&fixture, "empty", true);
  order (&fixture, "b", true, 2);
  start_wave (&fixture);
  run (&fixture, JB_SECOND, 0);
  for (uint64_t i = 1; i <= fixture.last_command; i++)
    commands += fixture.commands[i].kind == JB_COMMAND_MAINTAIN_HOST;
  CU_ASSERT_EQUAL (commands, 0);
  talloc_free (fixture.mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "hosts of evacuated zones are not moved", test_moves },
          { "a wave takes hosts of an evacuated zone first", test_wave },
          { "a wave without an evacuation", test_wave_without_order },
          { "a wave waits for the owner of the pool",
            test_wave_waits_for_owner },
          { NULL, NULL } };

  return dp_test_main ("planner and evacuated zones", tests);
}
