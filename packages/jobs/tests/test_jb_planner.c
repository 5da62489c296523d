/* Test of when the planner lists the hosts of the fleet.

   Expected load: on a large fleet, moves and maintenance of many hosts follow
   each other without a pause.  A host that has returned is of no use before a
   list shows it.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "ignoring_planner.h"
#include "jb_planner.h"

enum
{
  HOST_COUNT = 40,
  MAX_COMMANDS = 4096
};

#define STEP (50 * JB_MS)

/* The commands without a reply, and the state of the fleet, all of whose hosts
   are switched off in a standby pool.  */
struct fixture
{
  struct jb_driver *driver;
  jb_time now;
  struct jb_command commands[MAX_COMMANDS];
  uint64_t last_command;
  uint64_t replied; /* number of the last one with a reply */
  jb_time listed_at;
  uint32_t executed;     /* number of executed commands to hosts */
  struct ba_bytes owner; /* value of the owner row */
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

static char *
host_name (TALLOC_CTX *mem, uint32_t index)
{
  return talloc_asprintf (mem, "m-%u", index);
}

/* Reply to all commands, but to at most one command to a host, so that these
   are executed one after the other.  */
static void
reply_to_commands (struct fixture *fixture)
{
  bool executed = false;

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

      if (fixture->commands[number].kind == JB_COMMAND_MAINTAIN_HOST)
        {
          if (executed)
            {
              fixture->replied--;
              talloc_free (mem);
              return;
            }
          executed = true;
          fixture->executed++;
        }
      else if (fixture->commands[number].kind == JB_COMMAND_READ
               && fixture->owner.data != NULL)
        {
          reply.rows = &owner;
          reply.row_count = 1;
        }
      else if (fixture->commands[number].kind == JB_COMMAND_LIST_HOSTS)
        {
          fixture->listed_at = fixture->now;
          reply.hosts
              = talloc_zero_array (mem, struct jb_host_entry, HOST_COUNT);
          for (; reply.host_count < HOST_COUNT; reply.host_count++)
            reply.hosts[reply.host_count] = (struct jb_host_entry){
              .host = host_name (mem, reply.host_count), .pool = "standby"
            };
        }
      jb_driver_receive_reply (fixture->driver, fixture->now, number, &reply);
      talloc_free (mem);
    }
}

/* While a command to a host is executed every 50 ms, the hosts are listed when
   the first one should have returned, with a quarter of a second to
   spare.  */
static void
test_list_during_commands (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct fixture fixture = { .now = 60 * JB_SECOND };
  struct jb_bounds bounds = { .maintenance_ms = 2000,
                              .host_move_ms = 1500,
                              .command_lease_ms = 3000 };
  struct jb_pool_settings pool
      = { .name = (char *)"standby", .standby = true };
  struct jb_catalog catalog = { .pool_count = 1, .pools = &pool };
  const struct jb_catalog *current = &catalog;
  struct jb_planner_options options
      = { .bounds = &bounds,
          .catalog = &current,
          .owner = "host",
          .incarnation = 1,
          .request_evacuation = ignore_evacuation,
          .notify_arrival = ignore_arrival,
          .state_changed = ignore_state };
  const char *names[HOST_COUNT];
  struct jb_wave_entry wave = { .wave = 1,
                                .hosts = names,
                                .host_count = HOST_COUNT,
                                .within_ms = 10000,
                                .max_hosts_at_once = HOST_COUNT };
  struct jb_planner *planner;
  jb_time first_executed_at = 0;

  fixture.driver = jb_driver_new (mem, &driver_ops, &fixture);
  options.driver = fixture.driver;
  planner = jb_planner_new (mem, &options);
  for (uint32_t i = 0; i < HOST_COUNT; i++)
    names[i] = host_name (mem, i);
  jb_planner_claim (planner, fixture.now);
  reply_to_commands (&fixture);
  /* Late enough for all hosts to be chosen, whatever is away.  */
  jb_planner_add_wave (planner, fixture.now - 9 * JB_SECOND, &wave);
  while (first_executed_at == 0
         || fixture.now < first_executed_at + 2300 * JB_MS)
    {
      fixture.now += STEP;
      (void)jb_planner_run (planner, fixture.now);
      reply_to_commands (&fixture);
      if (first_executed_at == 0 && fixture.executed > 0)
        first_executed_at = fixture.now;
    }
  CU_ASSERT (fixture.executed >= HOST_COUNT / 2 - 1);
  CU_ASSERT (fixture.listed_at > first_executed_at);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "hosts are listed during many commands",
            test_list_during_commands },
          { NULL, NULL } };

  return dp_test_main ("planner", tests);
}
