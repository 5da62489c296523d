#include "sim_internal.h"

#include "co_inspect.h"

#include <string.h>

/* The fake table service.  An operation travels to the table, is carried out
   there at one instant, and its reply travels back; either may be lost.  */

/* In each direction.  */
static const co_time min_latency = CO_MILLISECOND;
static const co_time max_latency = 6 * CO_MILLISECOND;
/* After this time without a reply, a read fails as unreachable, and the result
   of a write is unknown.  */
static const co_time operation_timeout = 300 * CO_MILLISECOND;

enum
{
  LEDGER_SHARD_COUNT = 9 /* as in the decision core */
};

/* An operation in flight.  */
struct table_op
{
  struct co_action action; /* deep copy */
  co_time sent_at;
};

static char *
make_row_key (const char *partition, const char *sort_key)
{
  return g_strdup_printf ("%s\x01%s", partition, sort_key);
}

static struct co_row *
find_row (struct sim_world *world, const char *partition, const char *sort_key)
{
  char *key = make_row_key (partition, sort_key);
  struct co_row *row = g_hash_table_lookup (world->rows, key);

  g_free (key);
  return row;
}

/* Return the version of a row, or 0 if it doesn't exist.  */
static uint64_t
row_version (struct sim_world *world, const char *partition,
             const char *sort_key)
{
  struct co_row *row = find_row (world, partition, sort_key);

  return row ? row->version : 0;
}

static void
copy_row (TALLOC_CTX *mem, struct co_row *to, const struct co_row *from)
{
  to->partition = talloc_strdup (mem, from->partition);
  to->sort_key = talloc_strdup (mem, from->sort_key);
  to->version = from->version;
  to->body = ba_bytes_copy (mem, from->body.data, from->body.len);
}

static void
check_log_entry (struct sim_world *world, const struct co_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_log_entry entry = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->body);
  co_log_entry_serialize (&io, &entry);
  g_assert (ba_codec_is_complete (&io));
  sim_check_log_entry (world, &entry);
  talloc_free (scratch);
}

/* Write a row if its version and that of the view are the expected ones.  */
static enum co_store_result
write_row (struct sim_world *world, const struct co_action_write *write)
{
  struct co_row *row;

  world->totals.table_writes++;
  if (row_version (world, write->row.partition, write->row.sort_key)
          != write->expected_version
      || (write->required_view_version != 0
          && row_version (world, "view", "current")
                 != write->required_view_version))
    return CO_STORE_CONFLICT;
  row = talloc_zero (world, struct co_row);
  copy_row (row, row, &write->row);
  g_hash_table_replace (world->rows,
                        make_row_key (row->partition, row->sort_key), row);
  if (strcmp (row->partition, "log") == 0)
    check_log_entry (world, row);
  return CO_STORE_OK;
}

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  return strcmp (((const struct co_row *)a)->sort_key,
                 ((const struct co_row *)b)->sort_key);
}

/* Set ROWS to the rows of PARTITION with a sort key above AFTER, in order and
   owned by MEM.  Return their number.  */
static uint32_t
query_rows (struct sim_world *world, TALLOC_CTX *mem, const char *partition,
            const char *after, struct co_row **rows)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  *rows = NULL;
  world->totals.table_reads++;
  g_hash_table_iter_init (&iter, world->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct co_row *row = value;

      if (strcmp (row->partition, partition) != 0
          || strcmp (row->sort_key, after) <= 0)
        continue;
      *rows = talloc_realloc (mem, *rows, struct co_row, count + 1);
      copy_row (mem, &(*rows)[count++], row);
    }
  if (count > 1)
    qsort (*rows, count, sizeof **rows, compare_rows);
  return count;
}

static bool
is_reachable (const struct sim_world *world, const struct sim_node *node)
{
  return world->now >= world->table_down_until
         && world->now >= node->table_unreachable_until;
}

/* Return the event that reports RESULT to the core that sent OP.  The caller
   owns it.  */
static struct co_event *
make_reply_event (const struct table_op *op, enum co_store_result result)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);

  switch (op->action.type)
    {
    case CO_ACTION_WRITE:
      event->type = CO_EVENT_WRITE_DONE;
      event->u.write_done.op_id = op->action.u.write.op_id;
      event->u.write_done.result = result;
      break;
    case CO_ACTION_READ:
      event->type = CO_EVENT_READ_DONE;
      event->u.read_done.op_id = op->action.u.read.op_id;
      event->u.read_done.result = result;
      break;
    default:
      event->type = CO_EVENT_POLL_DONE;
      event->u.poll_done.sent_at = op->sent_at;
      event->u.poll_done.result = result;
      break;
    }
  return event;
}

static void
send_reply (struct sim_world *world, const struct sim_item *item,
            struct co_event *event, co_time at)
{
  struct sim_item *reply
      = sim_schedule (world, at, SIM_ITEM_CORE_EVENT, item->node);

  reply->incarnation = item->incarnation;
  reply->event = talloc_steal (reply, event);
}

static co_time
random_latency (struct sim_world *world)
{
  return sim_random_time (world, min_latency, max_latency);
}

void
sim_table_execute (struct sim_world *world, struct sim_item *item)
{
  struct table_op *op = item->data;
  struct sim_node *node = &world->nodes[item->node];
  bool is_write = op->action.type == CO_ACTION_WRITE;
  struct co_event *event;
  enum co_store_result result = CO_STORE_OK;

  if (!is_reachable (world, node))
    {
      /* The table became unreachable after the operation was sent.  The node
         can't know whether a write was carried out.  */
      event = make_reply_event (op, is_write ? CO_STORE_UNKNOWN
                                             : CO_STORE_UNREACHABLE);
      send_reply (world, item, event, world->now + operation_timeout);
      return;
    }
  if (is_write)
    result = write_row (world, &op->action.u.write);
  event = make_reply_event (op, result);
  if (op->action.type == CO_ACTION_READ)
    event->u.read_done.row_count = query_rows (
        world, event, op->action.u.read.partition,
        op->action.u.read.after_sort_key, &event->u.read_done.rows);
  else if (op->action.type == CO_ACTION_POLL)
    {
      struct co_row *view = find_row (world, "view", "current");
      char after[20];

      world->totals.table_reads++;
      if (view != NULL)
        copy_row (event, &event->u.poll_done.view_row, view);
      g_snprintf (after, sizeof after, "%016" G_GINT64_MODIFIER "x",
                  op->action.u.poll_after_log_version);
      event->u.poll_done.log_count
          = query_rows (world, event, "log", after, &event->u.poll_done.log);
    }
  if (is_write
      && strncmp (op->action.u.write.row.partition, "ledger/", 7) == 0)
    {
      enum sim_fault_type planned = sim_count_transfer_step (world);

      sim_inject_fault (world, planned, item->node, item->node);
      if (planned == SIM_FAULT_DROP)
        world->write_replies_to_drop++;
    }
  if (is_write && world->write_replies_to_drop > 0)
    {
      world->write_replies_to_drop--;
      world->totals.lost_replies++;
      event->u.write_done.result = CO_STORE_UNKNOWN;
      send_reply (world, item, event, world->now + operation_timeout);
      return;
    }
  send_reply (world, item, event, world->now + random_latency (world));
}

static void
copy_action (TALLOC_CTX *mem, struct co_action *to,
             const struct co_action *from)
{
  struct co_action source = *from;

  ba_codec_deep_copy (mem, co_action_serialize, &source, to);
}

void
sim_table_submit (struct sim_world *world, struct sim_node *node,
                  const struct co_action *action)
{
  struct table_op *op = talloc_zero (NULL, struct table_op);
  struct sim_item *item;
  co_time at = world->now + random_latency (world);

  copy_action (op, &op->action, action);
  op->sent_at = world->now;
  if (!is_reachable (world, node))
    {
      /* The node learns of this after one latency, whether its connection is
         refused or gets no response.  The scheduled item, without data, only
         tells send_reply which incarnation the reply is for.  */
      item = sim_schedule (world, world->now, SIM_ITEM_TABLE_OP, node->index);
      item->incarnation = node->incarnation;
      send_reply (world, item, make_reply_event (op, CO_STORE_UNREACHABLE),
                  world->now + random_latency (world));
      item->data = NULL;
      talloc_free (op);
      return;
    }
  item = sim_schedule (world, at, SIM_ITEM_TABLE_OP, node->index);
  item->incarnation = node->incarnation;
  item->data = talloc_steal (item, op);
}

int64_t
sim_ledger_total (struct sim_world *world, const char *resource)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  int64_t total = 0;

  for (int shard = 0; shard < LEDGER_SHARD_COUNT; shard++)
    {
      char *partition = talloc_asprintf (scratch, "ledger/%d", shard);
      struct co_row *row = find_row (world, partition, "current");

      if (row != NULL)
        total += co_ledger_row_total (row->body, resource);
    }
  talloc_free (scratch);
  return total;
}
