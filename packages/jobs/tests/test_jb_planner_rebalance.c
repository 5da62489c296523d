/* Test of the hosts that the planner counts when it moves hosts to the pools
   that need them.

   Expected load: a pool reports its load 200 ms apart, and an evacuation takes
   up to some seconds, so several rebalancings fall into one evacuation.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "ignoring_planner.h"
#include "jb_planner.h"

enum
{
  HOST_COUNT = 8,
  HOME_HOSTS = 4, /* of each of the two pools */
  HOST_CPU_MILLI = 12000,
  MAX_COMMANDS = 4096
};

#define STEP (50 * JB_MS)

/* A fleet of two pools, and the hosts whose evacuation was requested.  */
struct fixture
{
  struct jb_driver *driver;
  jb_time now;
  struct jb_command commands[MAX_COMMANDS];
  uint64_t last_command;
  uint64_t replied;      /* number of the last one with a reply */
  uint32_t lists;        /* number of complete lists */
  struct ba_bytes owner; /* value of the owner row */
  uint32_t first_hosts;  /* number of hosts in the first pool */
  uint32_t evacuations;  /* number of hosts that are to be evacuated */
  bool evacuated[HOST_COUNT];
};

static void
record_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  struct fixture *fixture = context;

  g_assert (number < MAX_COMMANDS);
  if (command->kind == JB_COMMAND_WRITE)
    {
      struct ba_bytes value = command->u.write.set_rows[0].value;

      fixture->owner = ba_bytes_copy (fixture->driver, value.data, value.len);
    }
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
  int index = atoi (evacuate->instance + strlen ("b-"));

  (void)now;
  fixture->evacuations += !fixture->evacuated[index];
  fixture->evacuated[index] = true;
}

static void
list_hosts (struct fixture *fixture, struct jb_reply *reply)
{
  fixture->lists++;
  reply->hosts
      = talloc_zero_array (reply->mem, struct jb_host_entry, HOST_COUNT);
  for (uint32_t i = 0; i < HOST_COUNT; i++)
    reply->hosts[reply->host_count++] = (struct jb_host_entry){
      .host = talloc_asprintf (reply->mem, "m-%u", i),
      .pool = i < fixture->first_hosts ? "first" : "second",
      .instance = talloc_asprintf (reply->mem, "b-%u", i)
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
          && fixture->owner.data != NULL)
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

/* Report that COUNT hosts of POOL are idle, from the one with index FIRST on,
   and that tasks wait for WAITING_CPU_MILLI.  */
static void
report_load (const struct fixture *fixture, struct jb_planner *planner,
             const char *pool, uint32_t first, uint32_t count,
             int64_t waiting_cpu_milli)
{
  char *idle[HOST_COUNT];
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_msg_load load
      = { .pool = (char *)pool,
          .capacity_cpu_milli = (int64_t)count * HOST_CPU_MILLI,
          .host_cpu_milli = HOST_CPU_MILLI,
          .waiting_cpu_milli = waiting_cpu_milli,
          .idle_instances = idle };

  for (uint32_t i = first; i < first + count; i++)
    idle[load.idle_instance_count++] = talloc_asprintf (mem, "b-%u", i);
  jb_planner_handle_load (planner, fixture->now, &load);
  talloc_free (mem);
}

/* Advance the time by DURATION.  Tasks of the second pool wait for
   WAITING_CPU_MILLI; the first pool is idle.  */
static void
run_planner (struct fixture *fixture, struct jb_planner *planner,
             jb_time duration, int64_t waiting_cpu_milli)
{
  for (jb_time end = fixture->now + duration; fixture->now < end;)
    {
      fixture->now += STEP;
      report_load (fixture, planner, "first", 0, fixture->first_hosts, 0);
      report_load (fixture, planner, "second", fixture->first_hosts,
                   HOST_COUNT - fixture->first_hosts, waiting_cpu_milli);
      (void)jb_planner_run (planner, fixture->now);
      reply_to_commands (fixture);
    }
}

/* A pool must not give away its home hosts, down to the last one, because
   those that are being evacuated count as if they stayed.  */
static void
test_leaving_hosts (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture
      = { .now = 60 * JB_SECOND, .first_hosts = HOME_HOSTS };
  struct jb_bounds bounds = { .maintenance_ms = 2000,
                              .host_move_ms = 1500,
                              .command_lease_ms = 3000 };
  struct jb_pool_settings pools[2]
      = { { .name = (char *)"first" }, { .name = (char *)"second" } };
  struct jb_catalog catalog = { .pool_count = 2, .pools = pools };
  const struct jb_catalog *current = &catalog;
  struct jb_planner_options options
      = { .bounds = &bounds,
          .catalog = &current,
          .owner = "host",
          .incarnation = 1,
          .request_evacuation = record_evacuation,
          .notify_arrival = ignore_arrival,
          .state_changed = ignore_state,
          .data = &fixture };
  struct jb_planner *planner;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  planner = jb_planner_new (mem, &options);
  jb_planner_claim (planner, fixture.now);
  reply_to_commands (&fixture);
  run_planner (&fixture, planner, 6 * JB_SECOND, 0);
  CU_ASSERT_EQUAL (fixture.evacuations, 0);
  /* The first pool has borrowed two hosts, and must return no more.  */
  fixture.first_hosts = HOME_HOSTS + 2;
  fixture.lists = 0;
  while (fixture.lists == 0)
    run_planner (&fixture, planner, STEP, 0);
  run_planner (&fixture, planner, 2 * JB_SECOND, 20 * HOST_CPU_MILLI);
  CU_ASSERT_EQUAL (fixture.evacuations, 2);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "hosts that leave a pool don't count as its own",
            test_leaving_hosts },
          { NULL, NULL } };

  return dp_test_main ("planner_rebalance", tests);
}
