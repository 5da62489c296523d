/* Orders of entry hosts on their way to the store, to backend servers and to
   the list of hosts; some are lost, and some of those carried out late.  */

#include "jw_world.h"

#include <stdio.h>

/* One way to the store, which takes its time.  */
#define STORE_LATENCY (4 * JB_MS)

struct order
{
  struct jw_host *host;
  uint32_t life;
  uint64_t number;
  struct jb_command order;
  bool answered; /* its answer reaches the host */
  bool late;     /* it was held up */
};

static struct jb_row *
copy_rows (TALLOC_CTX *mem, const struct jb_row *rows, uint32_t count)
{
  struct jb_row *copies = talloc_array (mem, struct jb_row, count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      copies[i] = rows[i];
      copies[i].table = talloc_strdup (copies, rows[i].table);
      copies[i].partition = talloc_strdup (copies, rows[i].partition);
      copies[i].key = talloc_strdup (copies, rows[i].key);
      copies[i].value
          = ba_bytes_copy (copies, rows[i].value.data, rows[i].value.len);
    }
  return copies;
}

static void
copy_order (struct order *to, const struct jb_command *from)
{
  struct jb_command *order = &to->order;

  *order = *from;
  order->backend.address = talloc_strdup (to, from->backend.address);
  order->backend.instance = talloc_strdup (to, from->backend.instance);
  switch (from->kind)
    {
    case JB_COMMAND_WRITE:
      order->u.write.expected_rows = copy_rows (
          to, from->u.write.expected_rows, from->u.write.expected_count);
      order->u.write.set_rows
          = copy_rows (to, from->u.write.set_rows, from->u.write.set_count);
      order->u.write.removed_rows = copy_rows (to, from->u.write.removed_rows,
                                               from->u.write.removed_count);
      break;
    case JB_COMMAND_READ:
    case JB_COMMAND_LIST_HOSTS:
    case JB_COMMAND_LIST_BACKENDS:
      order->u.read.table = talloc_strdup (to, from->u.read.table);
      order->u.read.partition = talloc_strdup (to, from->u.read.partition);
      order->u.read.first_key = talloc_strdup (to, from->u.read.first_key);
      break;
    case JB_COMMAND_START_TASK:
      order->u.start_task.task = talloc_strdup (to, from->u.start_task.task);
      order->u.start_task.spec = talloc_strdup (to, from->u.start_task.spec);
      order->u.start_task.checkpoint
          = talloc_strdup (to, from->u.start_task.checkpoint);
      order->u.start_task.ticket
          = talloc_strdup (to, from->u.start_task.ticket);
      break;
    case JB_COMMAND_STOP_TASK:
      order->u.stop_task.task = talloc_strdup (to, from->u.stop_task.task);
      break;
    case JB_COMMAND_GET_ADVICE:
      {
        const char **names = talloc_array (
            to, const char *, from->u.get_advice.backend_count + 1);

        for (uint32_t i = 0; i < from->u.get_advice.backend_count; i++)
          names[i] = talloc_strdup (to, from->u.get_advice.backends[i]);
        order->u.get_advice.backends = names;
        order->u.get_advice.step = talloc_strdup (to, from->u.get_advice.step);
        break;
      }
    case JB_COMMAND_SET_SPEED:
      order->u.set_speed.task = talloc_strdup (to, from->u.set_speed.task);
      break;
    case JB_COMMAND_MOVE_HOST:
    case JB_COMMAND_MAINTAIN_HOST:
      order->u.host.host = talloc_strdup (to, from->u.host.host);
      order->u.host.target_pool = talloc_strdup (to, from->u.host.target_pool);
      order->u.host.owner = talloc_strdup (to, from->u.host.owner);
      break;
    default:
      break;
    }
}

static bool
is_store_order (enum jb_command_kind kind)
{
  return kind <= JB_COMMAND_REPORT_WAVE;
}

static bool
is_backend_order (enum jb_command_kind kind)
{
  return kind >= JB_COMMAND_START_TASK && kind <= JB_COMMAND_SET_SPEED;
}

static void
order_arrives (struct jw_world *world, void *data)
{
  struct order *order = data;
  struct jb_reply reply = { 0 };
  jb_time back = world->now + JW_LATENCY;

  if (order->order.kind == JB_COMMAND_PROBE && order->answered
      && jw_backend_waits (world, order->host, order->number, &order->order))
    return;
  world->late = order->late;
  reply.mem = talloc_new (NULL);
  if (is_store_order (order->order.kind))
    {
      jw_store_order (world, &order->order, &reply);
      back = world->now + STORE_LATENCY;
      if (order->order.kind == JB_COMMAND_WATCH_CONFIG && reply.row_count == 0
          && order->order.u.watch_config.after_version != 0)
        back = world->now + order->order.u.watch_config.wait_ms * JB_MS / 4;
    }
  else if (is_backend_order (order->order.kind))
    jw_backend_order (world, &order->order, &reply);
  else
    jw_fleet_order (world, &order->order, &reply);
  if (order->answered && reply.result != JB_RESULT_UNKNOWN)
    jw_reply (order->host, order->life, order->number, back, &reply);
  else
    talloc_free (reply.mem);
}

/* Outside, who writes to a pool's rows is taken for its holder.  */
static void
note_writer (struct jw_host *host, const struct jb_command *order)
{
  const char *part = NULL;
  unsigned pool;

  if (order->kind == JB_COMMAND_WRITE && order->u.write.set_count > 0)
    part = order->u.write.set_rows[0].partition;
  if (part != NULL && sscanf (part, "pool/pool-%u", &pool) == 1
      && pool < JW_MAX_POOLS)
    host->world->writers[pool] = (int)host->index;
}

void
jw_submit_order (void *context, uint64_t number, const struct jb_command *from)
{
  struct jw_host *host = context;
  struct jw_world *world = host->world;
  bool to_store = is_store_order (from->kind);
  bool cut = to_store ? host->cut_store || world->store_down
                      : is_backend_order (from->kind) && host->cut_backends;
  uint32_t chance = to_store ? world->chances.store_lost
                    : is_backend_order (from->kind)
                        ? world->chances.backend_lost
                        : 0;
  struct order *order = talloc_zero (NULL, struct order);
  struct jb_reply lost = { .result = JB_RESULT_UNKNOWN };
  jb_time arrival = world->now + (to_store ? STORE_LATENCY : JW_LATENCY);

  note_writer (host, from);
  order->host = host;
  order->life = host->life;
  order->number = number;
  order->answered = !cut && !jw_chance (world, chance);
  copy_order (order, from);
  /* Whatever happens, silence ends with the order's time.  An answer that
     came before makes this one void.  */
  lost.mem = talloc_new (NULL);
  jw_reply (host, host->life, number, world->now + from->timeout_ms * JB_MS,
            &lost);
  if (!order->answered && (cut || jw_chance (world, 500)))
    {
      talloc_free (order);
      return;
    }
  /* Some of what is not answered is carried out late.  */
  if (!order->answered && jw_chance (world, 500))
    {
      arrival += g_rand_int_range (world->random, 500, 6000) * JB_MS;
      order->late = true;
    }
  jw_at (world, arrival, order_arrives, order);
}
