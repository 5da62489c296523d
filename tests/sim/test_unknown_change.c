/* What an entry host does with an entry of the log that it can't decode, such
   as one of a later version with a new type of change.  Later versions choose
   the encoding of their changes by it.  */

#include "co_core.h"

#include "dp_test.h"

#include <string.h>

enum
{
  MAX_ROWS = 4,
  TYPE_OFFSET = 3 /* of the change's type in an entry with a version below 128
                     and a token of one character */
};

static const char fleet_yaml[]
    = "name: test\n"
      "pools: [{name: p, min_available: 0}]\n"
      "teams: [{name: t, limit: 9}]\n"
      "queues: [{name: q, pool: p}]\n"
      "hosts:\n"
      "- {name: h1, address: 127.0.0.1:80, zone: a, rack: r, pool: p}\n";

/* A core that is the only member of its fleet, with a table service.  */
struct world
{
  struct co_core *core;
  co_time now;
  struct co_row view_row;
  struct co_row log[MAX_ROWS];
  uint32_t log_count;
};

static void step (struct world *world, const struct co_event *event);

/* Carry out ACTION on the table service at once.  */
static void
carry_out (struct world *world, const struct co_action *action)
{
  struct co_event reply = { 0 };
  uint64_t after = action->u.poll_after_log_version;

  switch (action->type)
    {
    case CO_ACTION_WRITE:
      if (strcmp (action->u.write.row.partition, "view") == 0)
        {
          world->view_row.version = action->u.write.row.version;
          world->view_row.body
              = ba_bytes_copy (world->core, action->u.write.row.body.data,
                               action->u.write.row.body.len);
        }
      reply.type = CO_EVENT_WRITE_DONE;
      reply.u.write_done.op_id = action->u.write.op_id;
      step (world, &reply);
      break;
    case CO_ACTION_READ:
      reply.type = CO_EVENT_READ_DONE;
      reply.u.read_done.op_id = action->u.read.op_id;
      step (world, &reply);
      break;
    case CO_ACTION_POLL:
      reply.type = CO_EVENT_POLL_DONE;
      reply.u.poll_done.sent_at = world->now;
      reply.u.poll_done.view_row = world->view_row;
      reply.u.poll_done.log = &world->log[after];
      reply.u.poll_done.log_count
          = after < world->log_count ? world->log_count - (uint32_t)after : 0;
      step (world, &reply);
      break;
    default:
      break;
    }
}

static void
step (struct world *world, const struct co_event *event)
{
  struct co_outbox *outbox = co_outbox_new (NULL);

  co_core_step (world->core, world->now, event, outbox);
  for (uint32_t i = 0; i < outbox->count; i++)
    carry_out (world, &outbox->actions[i]);
  talloc_free (outbox);
}

/* Let LENGTH pass.  */
static void
run (struct world *world, co_time length)
{
  const struct co_event tick = { .type = CO_EVENT_TICK };

  for (co_time end = world->now + length; world->now < end;
       world->now += 100 * CO_MILLISECOND)
    step (world, &tick);
}

/* Append CHANGE to the log and return its row.  */
static struct co_row *
append (struct world *world, const struct co_change *change)
{
  struct co_log_entry entry = { .version = world->log_count + 1,
                                .token = (char[]){ "0" },
                                .change = *change };
  struct co_row *row = &world->log[world->log_count++];

  entry.token[0] = (char)('0' + world->log_count);
  row->version = entry.version;
  row->body = ba_codec_encode (world->core, co_log_entry_serialize, &entry);
  return row;
}

static void
expect_status (struct world *world, uint64_t log_version, bool has_lease)
{
  struct co_status *status = co_core_summary (NULL, world->core, world->now);

  CU_ASSERT_EQUAL (status->log_version, log_version);
  CU_ASSERT_EQUAL (status->has_lease, has_lease);
  talloc_free (status);
}

/* Run a core with an applied fleet into WORLD.  */
static void
start (struct world *world)
{
  struct co_options options;
  struct co_change fleet = { .type = CO_CHANGE_FLEET };

  memset (world, 0, sizeof *world);
  co_options_init (&options);
  options.incarnation = 1;
  options.name = options.zone = "e";
  options.peer_address = options.admin_address = "127.0.0.1:1";
  world->core = co_core_new (NULL, &options, 0);
  world->now = CO_SECOND;
  fleet.fleet_yaml = (char *)fleet_yaml;
  append (world, &fleet);
  run (world, 5 * CO_SECOND);
  expect_status (world, 1, true);
}

/* Guards against an entry host that skips an entry that it can't decode and
   goes on with a state that differs from that of the others.  */
static void
test_unknown_type (void)
{
  struct world world;
  struct co_change change = { .type = CO_CHANGE_MAINTENANCE };
  struct co_row *row;

  start (&world);
  change.scope_name = (char[]){ "p" };
  row = append (&world, &change);
  CU_ASSERT_EQUAL (row->body.data[TYPE_OFFSET], CO_CHANGE_MAINTENANCE);
  row->body.data[TYPE_OFFSET] = CO_CHANGE_TYPE_COUNT;
  append (&world, &change);
  run (&world, 5 * CO_SECOND);
  expect_status (&world, 1, false);
  CU_ASSERT_TRUE (co_core_counter (world.core, CO_COUNTER_INVALID_ROWS) > 0);
  talloc_free (world.core);
}

/* Guards against an evacuation that stops the log of an entry host without
   evacuations.  */
static void
test_evacuation (void)
{
  struct world world;
  struct co_change change;

  start (&world);
  co_change_init_evacuation (world.core, &change, "a", true);
  CU_ASSERT_TRUE (change.type <= CO_CHANGE_MAINTENANCE);
  append (&world, &change);
  run (&world, 5 * CO_SECOND);
  expect_status (&world, 2, true);
  CU_ASSERT_EQUAL (co_core_counter (world.core, CO_COUNTER_INVALID_ROWS), 0);
  talloc_free (world.core);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "unknown type of change", test_unknown_type },
          { "evacuation", test_evacuation },
          { NULL, NULL } };

  return dp_test_main ("unknown changes", tests);
}
