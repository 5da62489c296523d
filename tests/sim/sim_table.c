#include "sim_internal.h"

#include "co_inspect.h"

#include <string.h>

/* The fake table service.  An operation travels to it, takes effect there at
   one instant, and its reply travels back; either way may fail.  */

static const co_time shortest_trip = CO_MILLISECOND;
static const co_time longest_trip = 6 * CO_MILLISECOND;
static const co_time timeout = 300 * CO_MILLISECOND;

/* An operation under way.  */
struct table_op
{
  struct co_action outcome; /* deep copy */
  co_time sent;
};

static char *
key_of (const char *partition, const char *sort)
{
  return g_strdup_printf ("%s\x01%s", partition, sort);
}

static struct co_row *
find (struct sim_world *world, const char *partition, const char *sort)
{
  char *key = key_of (partition, sort);
  struct co_row *row = g_hash_table_lookup (world->rows, key);

  g_free (key);
  return row;
}

static uint64_t
version_of (struct sim_world *world, const char *partition, const char *sort)
{
  struct co_row *row = find (world, partition, sort);

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
note_entry (struct sim_world *world, const struct co_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct co_log_entry entry = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->body);
  co_log_entry_serialize (&io, &entry);
  g_assert (ba_codec_is_complete (&io));
  sim_check_entry (world, &entry);
  talloc_free (scratch);
}

static enum co_store_result
write_row (struct sim_world *world, const struct co_action_write *write)
{
  struct co_row *row;

  world->totals.table_writes++;
  if (version_of (world, write->row.partition, write->row.sort_key)
          != write->expected_version
      || (write->required_view_version != 0
          && version_of (world, "view", "current")
                 != write->required_view_version))
    return CO_STORE_CONFLICT;
  row = talloc_zero (world, struct co_row);
  copy_row (row, row, &write->row);
  g_hash_table_replace (world->rows, key_of (row->partition, row->sort_key),
                        row);
  if (strcmp (row->partition, "log") == 0)
    note_entry (world, row);
  return CO_STORE_OK;
}

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  return strcmp (((const struct co_row *)a)->sort_key,
                 ((const struct co_row *)b)->sort_key);
}

static uint32_t
query (struct sim_world *world, TALLOC_CTX *mem, const char *partition,
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
         && world->now >= node->table_cut_until;
}

/* Make the event that tells what became of OP.  */
static struct co_event *
reply_event (const struct table_op *op, enum co_store_result result)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);

  switch (op->outcome.type)
    {
    case CO_ACTION_WRITE:
      event->type = CO_EVENT_WRITE_DONE;
      event->u.write_done.op_id = op->outcome.u.write.op_id;
      event->u.write_done.result = result;
      break;
    case CO_ACTION_READ:
      event->type = CO_EVENT_READ_DONE;
      event->u.read_done.op_id = op->outcome.u.read.op_id;
      event->u.read_done.result = result;
      break;
    default:
      event->type = CO_EVENT_POLL_DONE;
      event->u.poll_done.sent_at = op->sent;
      event->u.poll_done.result = result;
      break;
    }
  return event;
}

static void
send_reply (struct sim_world *world, const struct sim_item *item,
            struct co_event *event, co_time at)
{
  struct sim_item *reply = sim_schedule (world, at, SIM_EVENT, item->node);

  reply->incarnation = item->incarnation;
  reply->event = talloc_steal (reply, event);
}

static co_time
trip (struct sim_world *world)
{
  return sim_random_time (world, shortest_trip, longest_trip);
}

/* An operation reaches the table.  */
void
sim_table_arrive (struct sim_world *world, struct sim_item *item)
{
  struct table_op *op = item->data;
  struct sim_node *node = &world->nodes[item->node];
  bool is_write = op->outcome.type == CO_ACTION_WRITE;
  struct co_event *event;
  enum co_store_result result = CO_STORE_OK;

  if (!is_reachable (world, node))
    {
      /* It was on its way when the way broke: nobody knows.  */
      event = reply_event (op,
                           is_write ? CO_STORE_UNKNOWN : CO_STORE_UNREACHABLE);
      send_reply (world, item, event, world->now + timeout);
      return;
    }
  if (is_write)
    result = write_row (world, &op->outcome.u.write);
  event = reply_event (op, result);
  if (op->outcome.type == CO_ACTION_READ)
    event->u.read_done.row_count
        = query (world, event, op->outcome.u.read.partition,
                 op->outcome.u.read.after_sort_key, &event->u.read_done.rows);
  else if (op->outcome.type == CO_ACTION_POLL)
    {
      struct co_row *view = find (world, "view", "current");
      char after[20];

      world->totals.table_reads++;
      if (view != NULL)
        copy_row (event, &event->u.poll_done.view_row, view);
      g_snprintf (after, sizeof after, "%016" G_GINT64_MODIFIER "x",
                  op->outcome.u.poll_after_log_version);
      event->u.poll_done.log_count
          = query (world, event, "log", after, &event->u.poll_done.log);
    }
  if (is_write
      && strncmp (op->outcome.u.write.row.partition, "ledger/", 7) == 0)
    {
      enum sim_planned planned = sim_next_step (world);

      sim_planned_fault (world, planned, item->node, item->node);
      if (planned == SIM_PLAN_DROP)
        world->lose_replies++;
    }
  if (is_write && world->lose_replies > 0)
    {
      world->lose_replies--;
      world->totals.lost_replies++;
      event->u.write_done.result = CO_STORE_UNKNOWN;
      send_reply (world, item, event, world->now + timeout);
      return;
    }
  send_reply (world, item, event, world->now + trip (world));
}

static void
copy_outcome (TALLOC_CTX *mem, struct co_action *to,
              const struct co_action *from)
{
  struct co_action source = *from;

  ba_codec_deep_copy (mem, co_action_serialize, &source, to);
}

void
sim_table_submit (struct sim_world *world, struct sim_node *node,
                  const struct co_action *outcome)
{
  struct table_op *op = talloc_zero (NULL, struct table_op);
  struct sim_item *item;
  co_time at = world->now + trip (world);

  copy_outcome (op, &op->outcome, outcome);
  op->sent = world->now;
  if (!is_reachable (world, node))
    {
      /* Refused connections and silent ones.  */
      item = sim_schedule (world, world->now, SIM_TABLE_OP, node->index);
      item->incarnation = node->incarnation;
      send_reply (world, item, reply_event (op, CO_STORE_UNREACHABLE),
                  world->now + trip (world));
      item->data = NULL;
      talloc_free (op);
      return;
    }
  item = sim_schedule (world, at, SIM_TABLE_OP, node->index);
  item->incarnation = node->incarnation;
  item->data = talloc_steal (item, op);
}

/* The sum of the grants of RESOURCE in the ledger, or 0.  */
int64_t
sim_ledger_total (struct sim_world *world, const char *resource)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  int64_t total = 0;

  for (int shard = 0; shard < 9; shard++)
    {
      char *partition = talloc_asprintf (scratch, "ledger/%d", shard);
      struct co_row *row = find (world, partition, "current");

      if (row != NULL)
        total += co_ledger_row_total (row->body, resource);
    }
  talloc_free (scratch);
  return total;
}
