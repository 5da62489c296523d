#include "sim_internal.h"

#include <string.h>

/* Faults and operators' changes, either random or requested by a test.  */

/* Time between two random faults, and between two random changes.  */
static const co_time min_random_interval = 300 * CO_MILLISECOND;
static const co_time max_random_interval = 2 * CO_SECOND;

void
sim_kill_node (struct sim_world *world, uint32_t i, co_time restart_delay)
{
  struct sim_node *node = &world->nodes[i];
  struct sim_item *item;

  if (node->core == NULL)
    return;
  talloc_free (node->core);
  node->core = NULL;
  node->frozen = false;
  while ((item = g_queue_pop_head (&node->deferred_items)) != NULL)
    talloc_free (item);
  world->totals.kills++;
  if (restart_delay >= 0)
    sim_schedule (world, world->now + restart_delay, SIM_ITEM_RESTART, i);
}

void
sim_freeze_node (struct sim_world *world, uint32_t i, co_time length)
{
  struct sim_node *node = &world->nodes[i];
  struct sim_item *item;

  if (node->core == NULL || node->frozen)
    return;
  node->frozen = true;
  node->frozen_until = world->now + length;
  item = sim_schedule (world, node->frozen_until, SIM_ITEM_UNFREEZE, i);
  item->incarnation = node->incarnation;
  world->totals.freezes++;
}

void
sim_partition_nodes (struct sim_world *world, uint32_t a, uint32_t b,
                     co_time length)
{
  world->nodes[a].partitioned_until[b] = world->now + length;
  world->nodes[b].partitioned_until[a] = world->now + length;
  world->totals.partitions++;
}

void
sim_partition_table (struct sim_world *world, uint32_t i, co_time length)
{
  world->nodes[i].table_unreachable_until = world->now + length;
  world->totals.partitions++;
}

void
sim_table_outage (struct sim_world *world, co_time length)
{
  world->table_down_until = world->now + length;
  world->totals.outages++;
}

void
sim_drop_write_replies (struct sim_world *world, uint32_t count)
{
  world->write_replies_to_drop += count;
}

void
sim_stop_node (struct sim_world *world, uint32_t i)
{
  struct sim_item *item
      = sim_schedule (world, world->now, SIM_ITEM_CORE_EVENT, i);

  world->nodes[i].stopping = true;
  item->incarnation = world->nodes[i].incarnation;
  item->event = talloc_zero (item, struct co_event);
  item->event->type = CO_EVENT_STOP;
}

void
sim_backend_set_failing (struct sim_world *world, int backend, bool failing)
{
  world->backends[backend].failing = failing;
}

void
sim_backend_crash (struct sim_world *world, int backend, co_time length)
{
  struct sim_backend *crashed = &world->backends[backend];
  struct sim_item *item;

  if (crashed->down)
    return;
  crashed->down = true;
  crashed->down_since = world->now;
  item = sim_schedule (world, world->now + length, SIM_ITEM_BACKEND_BOOT, 0);
  item->number = (uint64_t)backend;
}

void
sim_backend_announce_leave (struct sim_world *world, int backend,
                            co_time length)
{
  struct sim_item *item;

  if (world->backends[backend].leaving_since != 0)
    return;
  world->backends[backend].leaving_since = world->now;
  item = sim_schedule (world, world->now + length, SIM_ITEM_CANCEL_LEAVE, 0);
  item->number = (uint64_t)backend;
}

static uint32_t
random_node (struct sim_world *world)
{
  return (uint32_t)g_rand_int_range (world->random, 0,
                                     (gint32)world->options.nodes);
}

static int
random_backend (struct sim_world *world)
{
  return g_rand_int_range (world->random, 0, world->backend_count);
}

/* Cut a random node off from all others, and perhaps from the table too.  */
static void
isolate_node (struct sim_world *world)
{
  uint32_t i = random_node (world);
  co_time length
      = sim_random_time (world, 300 * CO_MILLISECOND, 6 * CO_SECOND);

  for (uint32_t j = 0; j < world->options.nodes; j++)
    if (j != i)
      sim_partition_nodes (world, i, j, length);
  if (g_rand_boolean (world->random))
    sim_partition_table (world, i, length);
}

void
sim_random_fault (struct sim_world *world)
{
  uint32_t i = random_node (world);
  co_time length;
  bool failing;

  if (world->settling)
    return;
  world->totals.faults++;
  switch (g_rand_int_range (world->random, 0, 13))
    {
    case 0:
    case 1:
      sim_kill_node (
          world, i,
          sim_random_time (world, 300 * CO_MILLISECOND, 3 * CO_SECOND));
      break;
    case 2:
    case 3:
      sim_freeze_node (
          world, i,
          sim_random_time (world, 50 * CO_MILLISECOND, 4 * CO_SECOND));
      break;
    case 4:
      length = sim_random_time (world, 300 * CO_MILLISECOND, 5 * CO_SECOND);
      sim_partition_nodes (world, i, random_node (world), length);
      break;
    case 5:
      isolate_node (world);
      break;
    case 6:
      sim_partition_table (
          world, i,
          sim_random_time (world, 300 * CO_MILLISECOND, 6 * CO_SECOND));
      break;
    case 7:
      sim_table_outage (
          world, sim_random_time (world, 300 * CO_MILLISECOND, 6 * CO_SECOND));
      break;
    case 8:
      sim_drop_write_replies (
          world, (uint32_t)g_rand_int_range (world->random, 1, 6));
      break;
    case 9:
      length = sim_random_time (world, CO_SECOND, 5 * CO_SECOND);
      sim_backend_crash (world, random_backend (world), length);
      break;
    case 11:
      length = sim_random_time (world, CO_SECOND, 8 * CO_SECOND);
      sim_backend_announce_leave (world, random_backend (world), length);
      break;
    case 10:
      failing = g_rand_boolean (world->random);
      sim_backend_set_failing (world, random_backend (world), failing);
      break;
    default:
      if (world->nodes[i].core != NULL && !world->nodes[i].frozen)
        sim_stop_node (world, i);
      break;
    }
  sim_schedule (
      world,
      world->now
          + sim_random_time (world, min_random_interval, max_random_interval),
      SIM_ITEM_RANDOM_FAULT, 0);
}

/* ---- operators ---- */

/* Send CHANGE, identified by TOKEN, to node I.  Return its record, owned by
   WORLD.  */
static struct sim_pending_change *
submit_change (struct sim_world *world, uint32_t i, const char *token,
               const struct co_change *change)
{
  struct sim_pending_change *pending
      = talloc_zero (world, struct sim_pending_change);
  struct sim_item *item
      = sim_schedule (world, world->now, SIM_ITEM_CORE_EVENT, i);
  struct co_event *event = talloc_zero (item, struct co_event);

  pending->change_id = ++world->next_change_id;
  pending->token = talloc_strdup (pending, token);
  pending->change = *change;
  pending->change.fleet_yaml = talloc_strdup (pending, change->fleet_yaml);
  pending->change.host = talloc_strdup (pending, change->host);
  pending->change.pool = talloc_strdup (pending, change->pool);
  pending->change.key_hash = talloc_strdup (pending, change->key_hash);
  pending->change.team = talloc_strdup (pending, change->team);
  pending->change.scope_name = talloc_strdup (pending, change->scope_name);
  pending->key_team = -1;
  pending->evacuated_zone = change->order_state == CO_ORDER_CANCELLED
                                ? -1
                                : sim_change_zone (change);
  g_hash_table_insert (world->changes, &pending->change_id, pending);
  item->incarnation = world->nodes[i].incarnation;
  item->event = event;
  event->type = CO_EVENT_CHANGE;
  event->u.change.change_id = pending->change_id;
  event->u.change.token = talloc_strdup (event, token);
  event->u.change.change = pending->change;
  world->totals.changes++;
  return pending;
}

void
sim_send_change (struct sim_world *world, uint32_t i,
                 const struct co_change *change)
{
  char token[32];

  g_snprintf (token, sizeof token, "op%d", (int)world->next_change_id + 1);
  submit_change (world, i, token, change);
}

void
sim_set_limit (struct sim_world *world, int team, int64_t limit)
{
  struct co_change change = { .type = CO_CHANGE_FLEET };
  char *text;

  world->limits[team] = limit;
  text = sim_fleet_yaml (world, world);
  change.fleet_yaml = text;
  sim_send_change (world, random_node (world), &change);
  talloc_free (text);
}

/* Withdraw the current API key of a random team and grant it the next one,
   unless it has had SIM_MAX_KEY_GENERATIONS keys.  */
static void
rotate_key (struct sim_world *world)
{
  int team = g_rand_int_range (world->random, 0, SIM_TEAM_COUNT);
  TALLOC_CTX *scratch = talloc_new (world);
  struct co_change change = { .type = CO_CHANGE_API_KEY };
  struct sim_pending_change *pending;
  char token[32];
  char name[16];

  if (world->key_generation[team] + 1
      >= (int)G_N_ELEMENTS (world->key_withdrawn_at[team]))
    {
      talloc_free (scratch);
      return;
    }
  g_snprintf (token, sizeof token, "withdraw%d-%d", team,
              world->key_generation[team]);
  change.key_hash = sim_key_hash (scratch, team, world->key_generation[team]);
  pending = submit_change (world, random_node (world), token, &change);
  pending->key_team = team;
  pending->key_generation = world->key_generation[team];
  world->key_generation[team]++;
  g_snprintf (token, sizeof token, "grant%d-%d", team,
              world->key_generation[team]);
  g_snprintf (name, sizeof name, "team%d", team);
  change.key_hash = sim_key_hash (scratch, team, world->key_generation[team]);
  change.team = name;
  submit_change (world, random_node (world), token, &change);
  talloc_free (scratch);
}

/* Drain, move or activate a random host.  */
static void
change_host (struct sim_world *world)
{
  static const uint32_t states[]
      = { CO_HOST_DRAINING, CO_HOST_MOVING, CO_HOST_ACTIVE, CO_HOST_ACTIVE };
  struct sim_backend *backend = &world->backends[random_backend (world)];
  struct co_change change = { .type = CO_CHANGE_HOST };
  char pool[16];

  change.host = backend->name;
  change.host_state
      = states[g_rand_int_range (world->random, 0, G_N_ELEMENTS (states))];
  g_snprintf (pool, sizeof pool, "pool%d", 1 - backend->pool);
  if (change.host_state == CO_HOST_MOVING)
    change.pool = pool;
  sim_send_change (world, random_node (world), &change);
  /* A second operator may request the same change at another node.  */
  if (g_rand_boolean (world->random))
    sim_send_change (world, random_node (world), &change);
}

static void
request_maintenance (struct sim_world *world)
{
  struct co_change change = { .type = CO_CHANGE_MAINTENANCE };
  char name[16];

  g_snprintf (name, sizeof name, "pool%d",
              g_rand_int_range (world->random, 0, SIM_POOL_COUNT));
  change.scope = CO_SCOPE_POOL;
  change.scope_name = name;
  sim_send_change (world, random_node (world), &change);
}

void
sim_set_evacuated (struct sim_world *world, uint32_t i, int zone,
                   bool evacuated)
{
  struct co_change change;
  char name[16];

  g_snprintf (name, sizeof name, "z%d", zone);
  co_change_init_evacuation (world, &change, name, evacuated);
  sim_send_change (world, i, &change);
  talloc_free (change.scope_name);
}

void
sim_random_evacuation (struct sim_world *world)
{
  int zone = g_rand_int_range (world->random, 0, world->options.zones);
  bool evacuated = g_rand_boolean (world->random);

  if (world->settling)
    return;
  sim_set_evacuated (world, random_node (world), zone, evacuated);
  /* A second operator may order the same or the opposite at another node, and
     one operator both in quick succession.  */
  if (g_rand_boolean (world->random))
    {
      evacuated = g_rand_boolean (world->random);
      sim_set_evacuated (world, random_node (world), zone, evacuated);
    }
  sim_schedule (
      world,
      world->now
          + sim_random_time (world, min_random_interval, max_random_interval),
      SIM_ITEM_RANDOM_EVACUATION, 0);
}

void
sim_random_change (struct sim_world *world)
{
  int limit;

  if (world->settling)
    return;
  switch (g_rand_int_range (world->random, 0, 7))
    {
    case 0:
    case 1:
      limit = g_rand_int_range (world->random, 1, 9);
      sim_set_limit (
          world, g_rand_int_range (world->random, 0, SIM_TEAM_COUNT), limit);
      break;
    case 2:
      rotate_key (world);
      break;
    case 3:
      request_maintenance (world);
      break;
    default:
      change_host (world);
      break;
    }
  sim_schedule (
      world,
      world->now
          + sim_random_time (world, min_random_interval, max_random_interval),
      SIM_ITEM_RANDOM_CHANGE, 0);
}
