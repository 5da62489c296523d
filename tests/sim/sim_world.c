#include "sim_internal.h"

#include "co_session.h"

#include <string.h>

/* The simulation: its clock, its nodes and the network between them.  */

static const co_time tick_interval = 20 * CO_MILLISECOND;
static const co_time host_list_interval = 500 * CO_MILLISECOND;
/* From the start until all nodes have joined.  */
static const co_time join_time = 1200 * CO_MILLISECOND;
/* From then until the first random request, fault and change.  */
static const co_time load_delay = CO_SECOND;
static const co_time min_message_latency = 300; /* microseconds */
static const co_time max_message_latency = 2 * CO_MILLISECOND;
/* Longest additional delay of a duplicate message.  */
static const co_time max_duplicate_delay = 2 * CO_SECOND;
/* From a node's eviction or planned stop to its restart: time for its running
   requests to end.  */
static const co_time process_exit_time = 4 * CO_SECOND;
static const co_time backend_reboot_time = 700 * CO_MILLISECOND;

enum
{
  DUPLICATED_MESSAGE_PERMILLE = 20,
  DROPPED_MESSAGE_PERMILLE = 10
};

void
sim_options_init (struct sim_options *options)
{
  memset (options, 0, sizeof *options);
  options->seed = 1;
  options->nodes = 3;
  options->duration = 30 * CO_SECOND;
  options->settle_time = 40 * CO_SECOND;
  options->faults = true;
  options->load = true;
  options->operators = true;
  options->requests_per_s = 60;
  options->hosts_per_pool = 5;
  options->slots_per_host = 2;
  options->min_available = 3;
  options->mean_service_time = 80 * CO_MILLISECOND;
  options->idempotent_percent = 30;
  for (int i = 0; i < SIM_TEAM_COUNT; i++)
    {
      options->limits[i] = 2 + 2 * i;
      options->shares[i] = 1 + i;
    }
  co_options_init (&options->core);
  options->core.lease_duration = CO_SECOND;
  options->core.heartbeat_interval = 100 * CO_MILLISECOND;
  options->core.poll_interval = 200 * CO_MILLISECOND;
  options->core.eviction_timeout = 1500 * CO_MILLISECOND;
  options->core.max_table_outage = 15 * CO_SECOND;
  options->core.lame_duck_period = 300 * CO_MILLISECOND;
  options->core.max_time_to_deadline = 3 * CO_SECOND;
  options->core.claim_retention = 120 * CO_SECOND;
  options->core.snapshot_interval_entries = 8;
}

co_time
sim_random_time (struct sim_world *world, co_time low, co_time high)
{
  return low + (co_time)(g_rand_double (world->random) * (double)(high - low));
}

/* ---- the queue of scheduled items ---- */

static gint
compare_items (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct sim_item *x = a;
  const struct sim_item *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

struct sim_item *
sim_schedule (struct sim_world *world, co_time at, enum sim_item_kind kind,
              uint32_t node)
{
  struct sim_item *item = talloc_zero (world, struct sim_item);

  item->at = at;
  item->order = ++world->next_order;
  item->kind = kind;
  item->node = node;
  g_sequence_insert_sorted (world->queue, item, compare_items, NULL);
  return item;
}

/* ---- the network ---- */

enum sim_fault_type
sim_count_transfer_step (struct sim_world *world)
{
  uint32_t step = (uint32_t)++world->totals.transfer_steps;

  for (int i = 0; i < SIM_MAX_PLANNED_FAULTS; i++)
    if (world->options.planned_faults[i].fault != SIM_FAULT_NONE
        && world->options.planned_faults[i].step == step)
      return world->options.planned_faults[i].fault;
  return SIM_FAULT_NONE;
}

/* Kills and freezes are scheduled items, because the node's current step must
   end first.  */
void
sim_inject_fault (struct sim_world *world, enum sim_fault_type fault,
                  uint32_t sender, uint32_t receiver)
{
  static const co_time restart_delay = 2500 * CO_MILLISECOND;
  static const co_time fault_length = 2500 * CO_MILLISECOND;
  struct sim_item *item;

  switch (fault)
    {
    case SIM_FAULT_KILL_SENDER:
    case SIM_FAULT_KILL_RECEIVER:
      item = sim_schedule (world, world->now, SIM_ITEM_KILL,
                           fault == SIM_FAULT_KILL_SENDER ? sender : receiver);
      item->number = (uint64_t)restart_delay;
      break;
    case SIM_FAULT_FREEZE_SENDER:
      item = sim_schedule (world, world->now, SIM_ITEM_FREEZE, sender);
      item->number = (uint64_t)fault_length;
      break;
    case SIM_FAULT_PARTITION:
      sim_partition_nodes (world, sender, receiver, fault_length);
      break;
    default:
      break;
    }
}

static bool
is_about_quota (const struct co_msg *message)
{
  return message->type == CO_MSG_TRANSFERS
         || message->type == CO_MSG_TRANSFERS_ACK
         || message->type == CO_MSG_QUOTA_REQUEST
         || message->type == CO_MSG_TRANSFER_REPORT;
}

/* Send MESSAGE from NODE to the node whose incarnation is TO; if there is
   none, drop it.  Messages between two nodes keep their order, except for
   duplicates, which arrive later.  */
static void
send_message (struct sim_world *world, struct sim_node *node, uint64_t to,
              const struct co_msg *message)
{
  struct co_msg source = *message;
  struct ba_bytes bytes;
  struct ba_codec io;
  uint32_t target = SIM_MAX_NODES;
  int copies = 1;
  enum sim_fault_type planned = SIM_FAULT_NONE;

  for (uint32_t i = 0; i < world->options.nodes; i++)
    if (world->nodes[i].core != NULL && world->nodes[i].incarnation == to)
      target = i;
  if (target == SIM_MAX_NODES || world->now < node->partitioned_until[target])
    return;
  if (is_about_quota (message))
    planned = sim_count_transfer_step (world);
  sim_inject_fault (world, planned, node->index, target);
  if (planned == SIM_FAULT_DROP)
    return;
  if (planned == SIM_FAULT_DUPLICATE)
    copies = 2;
  ba_codec_init_writer (&io);
  co_msg_serialize (&io, &source);
  bytes = ba_codec_finish (&io, NULL);
  world->totals.messages++;
  world->totals.message_bytes += bytes.len;
  if (world->options.faults)
    {
      if (g_rand_int_range (world->random, 0, 1000)
          < DUPLICATED_MESSAGE_PERMILLE)
        copies = 2;
      else if (g_rand_int_range (world->random, 0, 1000)
               < DROPPED_MESSAGE_PERMILLE)
        copies = 0;
    }
  for (int c = 0; c < copies; c++)
    {
      co_time at = world->now
                   + sim_random_time (world, min_message_latency,
                                      max_message_latency);
      struct sim_item *item;

      if (c == 0
          && at < world->nodes[target].last_message_arrival[node->index])
        at = world->nodes[target].last_message_arrival[node->index];
      if (c == 0)
        world->nodes[target].last_message_arrival[node->index] = at;
      else
        {
          at += sim_random_time (world, 0, max_duplicate_delay);
          world->totals.duplicates++;
        }
      item = sim_schedule (world, at, SIM_ITEM_CORE_EVENT, target);
      item->incarnation = to;
      item->event = talloc_zero (item, struct co_event);
      item->event->type = CO_EVENT_PEER_MESSAGE;
      item->event->u.peer_message.sender = node->incarnation;
      ba_codec_init_reader (&io, item->event, bytes);
      co_msg_serialize (&io, &item->event->u.peer_message.message);
      g_assert (ba_codec_is_complete (&io));
    }
  if (copies == 0)
    world->totals.drops++;
  talloc_free (bytes.data);
}

/* ---- nodes ---- */

static void
start_core (struct sim_world *world, struct sim_node *node)
{
  struct co_options options = world->options.core;
  char name[16];
  char address[32];
  struct sim_item *item;

  node->incarnation = ++world->next_incarnation;
  node->log_version = 0;
  node->stopping = false;
  node->frozen = false;
  g_snprintf (name, sizeof name, "node%u", node->index);
  g_snprintf (address, sizeof address, "10.0.0.%u:1", node->index + 1);
  options.incarnation = node->incarnation;
  options.name = name;
  options.zone = "z";
  options.peer_address = address;
  options.admin_address = address;
  options.random_seed = world->options.seed + (uint32_t)node->incarnation;
  options.disabled = world->options.disabled;
  if (world->options.nodes_without_evacuations & 1u << node->index)
    options.disabled |= CO_DISABLE_EVACUATIONS;
  node->core = co_core_new (world, &options, world->now);
  if (node->incarnation == 1 && world->options.recorded_session != NULL)
    {
      struct ba_bytes start
          = co_session_encode_start (world, &options, world->now);

      g_byte_array_append (world->record, start.data, (guint)start.len);
    }
  item = sim_schedule (world, world->now, SIM_ITEM_TICK, node->index);
  item->incarnation = node->incarnation;
}

static void
handle_change_done (struct sim_world *world,
                    const struct co_action_change_done *changed)
{
  struct sim_pending_change *pending
      = g_hash_table_lookup (world->changes, &changed->change_id);

  if (pending == NULL)
    return;
  if (changed->result == CO_CHANGE_RESULT_OK)
    {
      world->totals.changes_accepted++;
      if (world->accepted_change_count
          < G_N_ELEMENTS (world->accepted_changes))
        {
          world->accepted_changes[world->accepted_change_count].version
              = changed->version;
          world->accepted_changes[world->accepted_change_count++].at
              = world->now;
        }
      if (pending->evacuated_zone >= 0)
        {
          struct sim_zone *zone = &world->zones[pending->evacuated_zone];

          if (zone->evacuated && changed->version >= zone->version
              && zone->accepted_at == 0)
            zone->accepted_at = world->now;
        }
      if (pending->key_team >= 0)
        world->key_withdrawn_at[pending->key_team][pending->key_generation]
            = world->now;
    }
  g_hash_table_remove (world->changes, &changed->change_id);
}

static void
perform_action (struct sim_world *world, struct sim_node *node,
                const struct co_action *action)
{
  struct sim_item *item;

  switch (action->type)
    {
    case CO_ACTION_REFUSE:
      sim_receive_refusal (world, action->u.refuse.request_id,
                           &action->u.refuse);
      break;
    case CO_ACTION_START:
      sim_start_run (world, node, &action->u.start);
      break;
    case CO_ACTION_REPLAY:
      sim_receive_answer (world, action->u.replay.request_id);
      break;
    case CO_ACTION_WRITE:
    case CO_ACTION_READ:
    case CO_ACTION_POLL:
      sim_table_submit (world, node, action);
      break;
    case CO_ACTION_SEND:
      send_message (world, node, action->u.send.recipient,
                    &action->u.send.message);
      break;
    case CO_ACTION_CHANGE_DONE:
      handle_change_done (world, &action->u.change_done);
      break;
    case CO_ACTION_REBOOT:
      for (int i = 0; i < world->backend_count; i++)
        if (strcmp (world->backends[i].name, action->u.reboot.host) == 0
            && world->backends[i].boot_id == action->u.reboot.boot_id)
          sim_backend_crash (world, i, backend_reboot_time);
      break;
    case CO_ACTION_EVICTED:
    case CO_ACTION_STOPPED:
      item = sim_schedule (world, world->now + process_exit_time,
                           SIM_ITEM_RESTART, node->index);
      item->incarnation = node->incarnation;
      break;
    default:
      break;
    }
}

void
sim_step_node (struct sim_world *world, struct sim_node *node,
               const struct co_event *event)
{
  struct co_outbox *outbox = co_outbox_new (NULL);

  if (event->type == CO_EVENT_ATTEMPT_DONE
      && event->u.attempt_done.result == CO_ATTEMPT_ANSWERED)
    sim_receive_answer (world, event->u.attempt_done.request_id);
  co_core_step (node->core, world->now, event, outbox);
  if (node->incarnation == 1 && world->options.recorded_session != NULL)
    {
      struct ba_bytes step
          = co_session_encode_step (outbox, world->now, event, outbox);

      g_byte_array_append (world->record, step.data, (guint)step.len);
    }
  sim_check_node (world, node);
  for (uint32_t i = 0; i < outbox->count; i++)
    perform_action (world, node, &outbox->actions[i]);
  talloc_free (outbox);
}

/* Handle an item for a node, or drop it if its incarnation has ended.  While
   the node is frozen, the item is deferred.  */
static void
handle_node_item (struct sim_world *world, struct sim_item *item)
{
  struct sim_node *node = &world->nodes[item->node];
  struct co_event tick_event = { .type = CO_EVENT_TICK };

  if (node->core == NULL || node->incarnation != item->incarnation)
    {
      talloc_free (item);
      return;
    }
  if (node->frozen)
    {
      g_queue_push_tail (&node->deferred_items, item);
      return;
    }
  switch (item->kind)
    {
    case SIM_ITEM_TICK:
      sim_step_node (world, node, &tick_event);
      if (node->core != NULL)
        sim_schedule (world, world->now + tick_interval, SIM_ITEM_TICK,
                      node->index)
            ->incarnation
            = node->incarnation;
      break;
    case SIM_ITEM_SEND_RUN:
      sim_send_run (world, item);
      break;
    default:
      sim_step_node (world, node, item->event);
      break;
    }
  talloc_free (item);
}

static void
unfreeze_node (struct sim_world *world, struct sim_item *unfreeze_item)
{
  struct sim_node *node = &world->nodes[unfreeze_item->node];
  GQueue deferred_items = node->deferred_items;
  struct sim_item *item;

  if (node->core == NULL || node->incarnation != unfreeze_item->incarnation)
    return;
  node->frozen = false;
  g_queue_init (&node->deferred_items);
  while ((item = g_queue_pop_head (&deferred_items)) != NULL)
    handle_node_item (world, item);
}

static void
send_host_list (struct sim_world *world)
{
  for (uint32_t n = 0; n < world->options.nodes; n++)
    {
      struct sim_item *item;
      struct co_event *event;

      /* Nodes poll the list, so a frozen one doesn't get it later either.  */
      if (world->nodes[n].core == NULL || world->nodes[n].frozen)
        continue;
      item = sim_schedule (world, world->now, SIM_ITEM_CORE_EVENT, n);
      item->incarnation = world->nodes[n].incarnation;
      event = talloc_zero (item, struct co_event);
      item->event = event;
      event->type = CO_EVENT_HOST_LIST;
      event->u.host_list.requested_at = world->now;
      event->u.host_list.hosts = talloc_zero_array (event, struct co_live_host,
                                                    world->backend_count);
      for (int i = 0; i < world->backend_count; i++)
        if (!world->backends[i].down)
          {
            struct co_live_host *host
                = &event->u.host_list.hosts[event->u.host_list.host_count++];

            host->name = talloc_strdup (event, world->backends[i].name);
            host->boot_id = world->backends[i].boot_id;
            host->leaving = world->backends[i].leaving_since != 0;
          }
    }
  sim_schedule (world, world->now + host_list_interval, SIM_ITEM_HOST_LIST, 0);
}

static void
restart_node (struct sim_world *world, const struct sim_item *item)
{
  struct sim_node *node = &world->nodes[item->node];

  if (item->incarnation != 0)
    {
      if (node->core == NULL || node->incarnation != item->incarnation)
        return;
      talloc_free (node->core);
      node->core = NULL;
    }
  if (node->core == NULL)
    start_core (world, node);
}

static void
handle_item (struct sim_world *world, struct sim_item *item)
{
  switch (item->kind)
    {
    case SIM_ITEM_TICK:
    case SIM_ITEM_CORE_EVENT:
    case SIM_ITEM_SEND_RUN:
      handle_node_item (world, item);
      return;
    case SIM_ITEM_TABLE_OP:
      /* Without data, the operation did not reach the table service.  */
      if (item->data != NULL)
        sim_table_execute (world, item);
      break;
    case SIM_ITEM_RUN_END:
      sim_run_end (world, item);
      break;
    case SIM_ITEM_RESTART:
      restart_node (world, item);
      break;
    case SIM_ITEM_UNFREEZE:
      unfreeze_node (world, item);
      break;
    case SIM_ITEM_ARRIVAL:
      sim_next_arrival (world);
      break;
    case SIM_ITEM_RETRY:
      if (((struct sim_call *)item->data)->attempts == item->number)
        sim_send_attempt (world, item->data);
      break;
    case SIM_ITEM_RANDOM_FAULT:
      sim_random_fault (world);
      break;
    case SIM_ITEM_RANDOM_CHANGE:
      sim_random_change (world);
      break;
    case SIM_ITEM_RANDOM_EVACUATION:
      sim_random_evacuation (world);
      break;
    case SIM_ITEM_HOST_LIST:
      send_host_list (world);
      break;
    case SIM_ITEM_CANCEL_LEAVE:
      world->backends[item->number].leaving_since = 0;
      break;
    case SIM_ITEM_KILL:
      sim_kill_node (world, item->node, (co_time)item->number);
      break;
    case SIM_ITEM_FREEZE:
      sim_freeze_node (world, item->node, (co_time)item->number);
      break;
    case SIM_ITEM_BACKEND_BOOT:
      world->backends[item->number].down = false;
      world->backends[item->number].boot_id++;
      break;
    }
  talloc_free (item);
}

bool
sim_run_until (struct sim_world *world, co_time until)
{
  while (world->violation == NULL && !g_sequence_is_empty (world->queue))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->queue);
      struct sim_item *item = g_sequence_get (first);

      if (item->at > until)
        break;
      g_sequence_remove (first);
      world->now = item->at;
      handle_item (world, item);
    }
  if (world->violation == NULL)
    world->now = until;
  return world->violation == NULL;
}

/* ---- construction ---- */

char *
sim_fleet_yaml (TALLOC_CTX *mem, const struct sim_world *world)
{
  struct cf_fleet *fleet = talloc_zero (NULL, struct cf_fleet);
  const struct sim_options *options = &world->options;
  char *text;

  fleet->name = "sim";
  fleet->pool_count = fleet->queue_count = SIM_POOL_COUNT;
  fleet->team_count = SIM_TEAM_COUNT;
  fleet->host_count = (uint32_t)world->backend_count;
  fleet->pools = talloc_zero_array (fleet, struct cf_pool, SIM_POOL_COUNT);
  fleet->queues = talloc_zero_array (fleet, struct cf_queue, SIM_POOL_COUNT);
  fleet->teams = talloc_zero_array (fleet, struct cf_team, SIM_TEAM_COUNT);
  fleet->hosts = talloc_zero_array (fleet, struct cf_host, fleet->host_count);
  for (int i = 0; i < SIM_POOL_COUNT; i++)
    {
      fleet->pools[i].name = talloc_asprintf (fleet, "pool%d", i);
      fleet->pools[i].min_available = options->min_available;
      fleet->pools[i].spare = i == 1 && options->pool1_lends_hosts;
      fleet->queues[i].name = talloc_asprintf (fleet, "queue%d", i);
      fleet->queues[i].pool = fleet->pools[i].name;
      fleet->queues[i].max_waiting = 200;
    }
  for (int i = 0; i < SIM_TEAM_COUNT; i++)
    {
      fleet->teams[i].name = talloc_asprintf (fleet, "team%d", i);
      fleet->teams[i].share = options->shares[i];
      fleet->teams[i].limit = world->limits[i];
    }
  for (int i = 0; i < world->backend_count; i++)
    {
      struct cf_host *host = &fleet->hosts[i];

      host->name = world->backends[i].name;
      host->address = talloc_asprintf (fleet, "10.1.0.%d:1", i + 1);
      host->zone
          = options->zones == 0
                ? "z"
                : talloc_asprintf (fleet, "z%d", sim_backend_zone (world, i));
      host->rack = talloc_asprintf (fleet, "r%d", i / 4);
      host->pool = fleet->pools[i / options->hosts_per_pool].name;
      host->cores = host->memory_mb = 1;
      host->slots = options->slots_per_host;
    }
  text = cf_fleet_to_yaml (mem, fleet);
  talloc_free (fleet);
  return text;
}

static int
world_destroy (struct sim_world *world)
{
  g_sequence_free (world->queue);
  g_hash_table_destroy (world->rows);
  g_hash_table_destroy (world->attempts);
  g_hash_table_destroy (world->changes);
  g_ptr_array_free (world->calls, TRUE);
  g_byte_array_free (world->record, TRUE);
  g_array_free (world->urgent_attempt_waits, TRUE);
  g_array_free (world->urgent_call_waits, TRUE);
  g_rand_free (world->random);
  for (uint32_t i = 0; i < SIM_MAX_NODES; i++)
    g_queue_clear (&world->nodes[i].deferred_items);
  return 0;
}

/* Send the first changes: the fleet and an API key for each team.  */
static void
apply_initial_fleet (struct sim_world *world)
{
  TALLOC_CTX *scratch = talloc_new (world);
  struct co_change change = { .type = CO_CHANGE_FLEET };

  change.fleet_yaml = sim_fleet_yaml (scratch, world);
  sim_send_change (world, 0, &change);
  for (int i = 0; i < SIM_TEAM_COUNT; i++)
    {
      struct co_change key = { .type = CO_CHANGE_API_KEY };

      key.key_hash = sim_key_hash (scratch, i, 0);
      key.team = talloc_asprintf (scratch, "team%d", i);
      sim_send_change (world, 0, &key);
    }
  talloc_free (scratch);
}

struct sim_world *
sim_world_new (TALLOC_CTX *mem, const struct sim_options *options)
{
  struct sim_world *world = talloc_zero (mem, struct sim_world);

  world->options = *options;
  world->random = g_rand_new_with_seed (options->seed);
  world->queue = g_sequence_new (NULL);
  world->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  world->changes = g_hash_table_new (g_int64_hash, g_int64_equal);
  world->calls = g_ptr_array_new ();
  world->record = g_byte_array_new ();
  world->urgent_attempt_waits = g_array_new (FALSE, FALSE, sizeof (co_time));
  world->urgent_call_waits = g_array_new (FALSE, FALSE, sizeof (co_time));
  talloc_set_destructor (world, world_destroy);
  world->now = CO_SECOND;
  world->backend_count = SIM_POOL_COUNT * options->hosts_per_pool;
  g_assert (world->backend_count <= SIM_MAX_BACKENDS);
  for (int i = 0; i < world->backend_count; i++)
    {
      world->backends[i].name = talloc_asprintf (world, "host%02d", i);
      world->backends[i].pool = i / options->hosts_per_pool;
      world->backends[i].boot_id = 1;
    }
  for (int i = 0; i < SIM_TEAM_COUNT; i++)
    world->limits[i] = options->limits[i];
  for (uint32_t i = 0; i < options->nodes; i++)
    {
      world->nodes[i].index = i;
      g_queue_init (&world->nodes[i].deferred_items);
      start_core (world, &world->nodes[i]);
    }
  /* All nodes must have joined before the first fleet is applied.  */
  sim_run_until (world, world->now + join_time);
  apply_initial_fleet (world);
  send_host_list (world);
  if (options->load)
    sim_schedule (world, world->now + load_delay, SIM_ITEM_ARRIVAL, 0);
  if (options->faults)
    sim_schedule (world, world->now + load_delay, SIM_ITEM_RANDOM_FAULT, 0);
  if (options->operators)
    sim_schedule (world, world->now + load_delay, SIM_ITEM_RANDOM_CHANGE, 0);
  if (options->evacuations)
    sim_schedule (world, world->now + load_delay, SIM_ITEM_RANDOM_EVACUATION,
                  0);
  return world;
}

const char *
sim_violation (const struct sim_world *world)
{
  return world->violation;
}

struct sim_totals *
sim_totals (struct sim_world *world)
{
  return &world->totals;
}

co_time
sim_now (const struct sim_world *world)
{
  return world->now;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  co_time x = *(const co_time *)a;
  co_time y = *(const co_time *)b;

  return x < y ? -1 : x > y;
}

const co_time *
sim_urgent_waits (struct sim_world *world, bool since_first, uint32_t *count)
{
  GArray *waits
      = since_first ? world->urgent_call_waits : world->urgent_attempt_waits;

  g_array_sort (waits, compare_times);
  *count = waits->len;
  return (const co_time *)(void *)waits->data;
}

uint32_t
sim_running_count (const struct sim_world *world, int team)
{
  return world->running[team];
}

int
sim_pool_host_count (const struct sim_world *world, int pool)
{
  int count = 0;

  for (int i = 0; i < world->backend_count; i++)
    count += world->backends[i].pool == pool;
  return count;
}

struct co_core *
sim_node_core (struct sim_world *world, uint32_t i)
{
  return world->nodes[i].core;
}

/* Check after settling that the quota held by all nodes adds up to each team's
   limit, so that none was lost.  */
static void
check_quota (struct sim_world *world)
{
  int64_t held[SIM_TEAM_COUNT] = { 0 };

  for (uint32_t i = 0; i < world->options.nodes; i++)
    {
      struct co_status *status
          = co_core_status (NULL, world->nodes[i].core, world->now);

      if (!status->has_lease)
        sim_report_violation (world,
                              "lease: node %u has no lease after settling", i);
      if (status->departed_count > 0)
        sim_report_violation (
            world, "quota: %u departed members have unsettled quota",
            status->departed_count);
      for (uint32_t t = 0; t < status->team_count; t++)
        held[t] += status->teams[t].held_quota;
      talloc_free (status);
    }
  for (int t = 0; t < SIM_TEAM_COUNT; t++)
    if (held[t] != world->committed_limits[t])
      sim_report_violation (
          world, "quota: team%d has %d of its limit of %d after settling", t,
          (int)held[t], (int)world->committed_limits[t]);
}

/* Check that all nodes have the same state, whether they started from the log,
   from a snapshot or from peers.  */
static void
check_same_state (struct sim_world *world)
{
  struct co_status *first
      = co_core_status (NULL, world->nodes[0].core, world->now);

  for (uint32_t n = 1; n < world->options.nodes; n++)
    {
      struct co_status *status
          = co_core_status (NULL, world->nodes[n].core, world->now);

      if (status->log_version != first->log_version
          || g_strcmp0 (status->fleet_yaml, first->fleet_yaml) != 0
          || status->order_count != first->order_count)
        sim_report_violation (world, "state: node %u differs from node 0", n);
      for (uint32_t h = 0; h < status->host_count && h < first->host_count;
           h++)
        if (status->hosts[h].state != first->hosts[h].state
            || status->hosts[h].generation != first->hosts[h].generation
            || status->hosts[h].completed_order
                   != first->hosts[h].completed_order
            || strcmp (status->hosts[h].pool, first->hosts[h].pool) != 0)
          sim_report_violation (world, "state: %s differs on node %u",
                                status->hosts[h].name, n);
      talloc_free (status);
    }
  talloc_free (first);
}

char *
sim_finish (TALLOC_CTX *mem, struct sim_world *world,
            struct sim_totals *totals)
{
  const struct sim_options *options = &world->options;
  char *violation;

  world->settling = true;
  world->table_down_until = 0;
  world->write_replies_to_drop = 0;
  sim_run_until (world, world->now + options->settle_time);
  if (world->violation == NULL)
    {
      sim_check_all_answered (world);
      check_quota (world);
      check_same_state (world);
    }
  *totals = world->totals;
  if (options->recorded_session != NULL)
    *options->recorded_session = ba_bytes_copy (
        options->session_mem, world->record->data, world->record->len);
  violation = talloc_strdup (mem, world->violation);
  talloc_free (world);
  return violation;
}

char *
sim_run (TALLOC_CTX *mem, const struct sim_options *options,
         struct sim_totals *totals)
{
  struct sim_world *world = sim_world_new (NULL, options);

  sim_run_until (world, world->now + options->duration);
  return sim_finish (mem, world, totals);
}
