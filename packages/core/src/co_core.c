#include "co_internal.h"

#include <string.h>

/* Entry points of the decision core: creation, the dispatch of each event to
   the module that handles it, and the counters.  */

static const struct co_counter_info counter_infos[CO_COUNTER_COUNT] = {
  [CO_COUNTER_REQUESTS] = { "requests_total", "Requests taken from callers" },
  [CO_COUNTER_STARTS] = { "starts_total", "Requests sent to a host" },
  [CO_COUNTER_ANSWERS] = { "answers_total", "Whole answers of backends" },
  [CO_COUNTER_REPLAYS]
  = { "replays_total", "Answers given again for a repeated identity" },
  [CO_COUNTER_RETRIES_NOT_SENT]
  = { "retries_not_sent_total", "Starts repeated because nothing was sent" },
  [CO_COUNTER_RETRIES_IDEMPOTENT]
  = { "retries_idempotent_total", "Starts of idempotent requests repeated "
                                  "after a broken answer" },
  [CO_COUNTER_WASTED_ANSWERS]
  = { "wasted_total", "Answers whose caller had gone away" },
  [CO_COUNTER_CLAIMS] = { "claims_total", "Claims granted by this owner" },
  [CO_COUNTER_CLAIM_BATCHES]
  = { "claim_batches_total", "Journal rows written for claims" },
  [CO_COUNTER_CLAIM_RELEASES]
  = { "claim_releases_total", "Claims given back because nothing ran" },
  [CO_COUNTER_QUOTA_LENT]
  = { "rights_sent_total", "Rights lent to other members" },
  [CO_COUNTER_QUOTA_RECEIVED]
  = { "rights_received_total", "Rights received from other members" },
  [CO_COUNTER_QUOTA_REQUESTS]
  = { "rights_wants_total", "Requests for rights sent" },
  [CO_COUNTER_SETTLEMENTS]
  = { "settlements_total", "Ledger rows that took a departed member's rights "
                           "back" },
  [CO_COUNTER_QUOTA_RETIRED]
  = { "rights_burned_total", "Rights given up because a limit was lowered" },
  [CO_COUNTER_LEASES_LOST]
  = { "standing_lost_total", "Times that standing was lost" },
  [CO_COUNTER_EVICTIONS]
  = { "evictions_total", "Silent members that this one took out" },
  [CO_COUNTER_VIEW_CHANGES] = { "view_changes_total", "Views applied" },
  [CO_COUNTER_LOG_APPLIED]
  = { "log_applied_total", "Entries of the change log applied" },
  [CO_COUNTER_HOSTS_EJECTED]
  = { "workers_ejected_total", "Times a failing worker was taken out" },
  [CO_COUNTER_HOST_TRIALS]
  = { "worker_trials_total", "Times an ejected worker was tried again" },
  [CO_COUNTER_DRAINS_DONE] = { "drains_done_total", "Drains completed" },
  [CO_COUNTER_MOVES_DONE] = { "moves_done_total", "Moves completed" },
  [CO_COUNTER_HOSTS_MAINTAINED]
  = { "hosts_maintained_total", "Hosts put back after maintenance" },
  [CO_COUNTER_SNAPSHOTS]
  = { "snapshots_total", "Snapshots of the configuration written" },
  [CO_COUNTER_INVALID_ROWS]
  = { "bad_rows_total", "Rows of the table service that made no sense" },
  [CO_COUNTER_ZONES_EVACUATED]
  = { "zones_evacuated_total", "Times a zone was evacuated" },
  [CO_COUNTER_ZONES_RESTORED]
  = { "zones_restored_total", "Times an evacuated zone was restored" },
};

const struct co_counter_info *
co_counter_info (enum co_counter counter)
{
  g_assert (counter < CO_COUNTER_COUNT);
  return &counter_infos[counter];
}

uint64_t
co_core_counter (const struct co_core *core, enum co_counter counter)
{
  return core->counters[counter];
}

uint64_t
co_core_refusals (const struct co_core *core, enum co_reason reason)
{
  return core->refusals[reason];
}

void
co_increment_counter (struct co_core *core, enum co_counter counter)
{
  core->counters[counter]++;
}

struct co_action *
co_add_action (struct co_core *core, uint32_t type)
{
  return co_outbox_append (core->outbox, type);
}

struct co_msg *
co_add_message (struct co_core *core, uint64_t recipient, uint32_t type)
{
  struct co_action *action = co_add_action (core, CO_ACTION_SEND);

  action->u.send.recipient = recipient;
  action->u.send.message.type = type;
  return &action->u.send.message;
}

char *
co_outbox_strdup (struct co_core *core, const char *text)
{
  return talloc_strdup (core->outbox->mem, text);
}

uint64_t
co_store_op_new (struct co_core *core, uint32_t kind, int index)
{
  struct co_store_op *op = g_new0 (struct co_store_op, 1);

  op->id = ++core->last_op_id;
  op->kind = kind;
  op->index = index;
  g_hash_table_insert (core->store_ops, &op->id, op);
  return op->id;
}

void
co_options_init (struct co_options *options)
{
  memset (options, 0, sizeof *options);
  options->lease_duration = 3 * CO_SECOND;
  options->heartbeat_interval = 200 * CO_MILLISECOND;
  options->poll_interval = 500 * CO_MILLISECOND;
  options->eviction_timeout = 4 * CO_SECOND;
  options->max_table_outage = 900 * CO_SECOND;
  options->lame_duck_period = 2 * CO_SECOND;
  options->max_time_to_deadline = 30 * CO_SECOND;
  options->max_urgent_wait = 1500 * CO_MILLISECOND;
  options->claim_retention = 300 * CO_SECOND;
  options->snapshot_interval_entries = 256;
  options->max_request_count = 4096;
  options->max_cached_answer_bytes = 16 * 1024 * 1024;
}

static void
clear_queue (GQueue *queue)
{
  g_queue_clear (queue);
}

static int
core_destroy (struct co_core *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct co_request *)value)->timer = NULL;
  g_sequence_free (core->request_timers);
  g_array_free (core->orphaned_slots, TRUE);
  g_array_free (core->quotas_to_send, TRUE);
  g_hash_table_destroy (core->requests);
  g_hash_table_destroy (core->store_ops);
  g_hash_table_destroy (core->host_index);
  g_hash_table_destroy (core->pool_index);
  g_hash_table_destroy (core->team_index);
  g_hash_table_destroy (core->queue_index);
  g_hash_table_destroy (core->api_keys);
  g_hash_table_destroy (core->change_tokens);
  g_hash_table_destroy (core->live_hosts);
  g_hash_table_destroy (core->quota_index);
  g_hash_table_destroy (core->executions);
  g_hash_table_destroy (core->claims);
  for (int i = 0; i < CO_LEDGER_SHARD_COUNT; i++)
    g_hash_table_destroy (core->shards[i].resource_index);
  clear_queue (&core->execution_order);
  clear_queue (&core->claim_order);
  clear_queue (&core->unwritten_claims);
  clear_queue (&core->pending_changes);
  g_rand_free (core->random);
  return 0;
}

struct co_core *
co_core_new (TALLOC_CTX *mem, const struct co_options *options, co_time now)
{
  struct co_core *core = talloc_zero (mem, struct co_core);

  core->options = *options;
  core->options.name = talloc_strdup (core, options->name);
  core->options.zone = talloc_strdup (core, options->zone);
  core->options.peer_address = talloc_strdup (core, options->peer_address);
  core->options.admin_address = talloc_strdup (core, options->admin_address);
  core->random = g_rand_new_with_seed (options->random_seed);
  core->now = now;
  core->store_ops
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  co_fleet_init (core);
  co_view_init (core);
  core->quota_index = g_hash_table_new (g_str_hash, g_str_equal);
  core->quotas_to_send = g_array_new (FALSE, FALSE, sizeof (int));
  for (int i = 0; i < CO_LEDGER_SHARD_COUNT; i++)
    core->shards[i].resource_index
        = g_hash_table_new (g_str_hash, g_str_equal);
  co_dispatch_init (core);
  co_claim_init (core);
  g_queue_init (&core->pending_changes);
  talloc_set_destructor (core, core_destroy);
  return core;
}

/* Pass the result of a write of the table service to the module that asked for
   it.  The result of an unknown operation is ignored.  */
static void
handle_write_done (struct co_core *core,
                   const struct co_event_write_done *write)
{
  struct co_store_op *found
      = g_hash_table_lookup (core->store_ops, &write->op_id);
  struct co_store_op op;

  if (found == NULL)
    return;
  op = *found;
  g_hash_table_remove (core->store_ops, &write->op_id);
  switch (op.kind)
    {
    case CO_STORE_OP_VIEW_WRITE:
      co_view_write_done (core, write->result);
      break;
    case CO_STORE_OP_LOG_WRITE:
      co_change_write_done (core, write->result);
      break;
    case CO_STORE_OP_LEDGER_WRITE:
      co_ledger_write_done (core, op.index, write->result);
      break;
    case CO_STORE_OP_SNAPSHOT_WRITE:
      co_snapshot_write_done (core, write->result);
      break;
    case CO_STORE_OP_JOURNAL_WRITE:
      co_claim_journal_write_done (core, write->result);
      break;
    default:
      break;
    }
}

static void
handle_read_done (struct co_core *core, const struct co_event_read_done *done)
{
  struct co_store_op *found
      = g_hash_table_lookup (core->store_ops, &done->op_id);
  struct co_store_op op;

  if (found == NULL)
    return;
  op = *found;
  g_hash_table_remove (core->store_ops, &done->op_id);
  if (op.kind == CO_STORE_OP_LEDGER_READ)
    co_ledger_read_done (core, op.index, done);
  else if (op.kind == CO_STORE_OP_JOURNAL_READ)
    co_claim_journal_read_done (core, done);
  else if (op.kind == CO_STORE_OP_SNAPSHOT_READ)
    co_snapshot_read_done (core, done);
}

/* Handle a message from the process with the incarnation FROM.  Messages from
   processes that are not in the view are dropped, which fences departed
   members; only the view version in their heartbeats is noted.  */
static void
handle_peer_message (struct co_core *core, uint64_t from,
                     const struct co_msg *message)
{
  int peer_slot = co_peer_slot (core, from);

  if (message->type == CO_MSG_HEARTBEAT
      && message->u.heartbeat.view_version > core->view.version)
    co_schedule_poll (core);
  if (peer_slot != CO_NO_INDEX && message->type == CO_MSG_HEARTBEAT)
    co_heartbeat_note_view (core, peer_slot,
                            message->u.heartbeat.view_version);
  if (peer_slot == CO_NO_INDEX || !co_is_member (core, peer_slot))
    return;
  switch (message->type)
    {
    case CO_MSG_HEARTBEAT:
      co_heartbeat_receive (core, peer_slot, &message->u.heartbeat);
      co_ledger_note_versions (core, &message->u.heartbeat);
      break;
    case CO_MSG_TRANSFERS:
      co_quota_receive_transfers (core, peer_slot, &message->u.transfers);
      break;
    case CO_MSG_TRANSFERS_ACK:
      co_quota_receive_acks (core, peer_slot, &message->u.transfers);
      break;
    case CO_MSG_QUOTA_REQUEST:
      co_borrow_handle_request (core, peer_slot, &message->u.quota_request);
      break;
    case CO_MSG_TRANSFER_REPORT:
      co_ledger_receive_report (core, peer_slot, &message->u.transfer_report);
      break;
    case CO_MSG_LOG_FETCH:
      co_fleet_send_entries (core, from, message->u.log_fetch_after);
      break;
    case CO_MSG_LOG_ENTRIES:
      co_fleet_apply_entries (core, message->u.log_entries.items,
                              message->u.log_entries.count);
      break;
    default:
      co_claim_handle_message (core, from, message);
      break;
    }
}

static void
handle_tick (struct co_core *core)
{
  co_view_tick (core);
  co_dispatch_tick (core);
  co_claim_tick (core);
  co_change_tick (core);
  if (core->now < core->next_periodic_at)
    return;
  core->next_periodic_at = core->now + core->options.heartbeat_interval;
  co_host_readmit_tick (core);
  co_quota_queue_unacked (core);
  co_ledger_tick (core);
  co_reconcile_tick (core);
  co_snapshot_tick (core);
}

void
co_core_step (struct co_core *core, co_time now, const struct co_event *event,
              struct co_outbox *outbox)
{
  g_assert (now >= core->now);
  core->now = now;
  core->outbox = outbox;
  switch (event->type)
    {
    case CO_EVENT_TICK:
      handle_tick (core);
      break;
    case CO_EVENT_REQUEST:
      co_request_receive (core, &event->u.request);
      break;
    case CO_EVENT_CALLER_GONE:
      co_request_caller_gone (core, event->u.caller_gone);
      break;
    case CO_EVENT_ATTEMPT_DONE:
      co_request_attempt_done (core, &event->u.attempt_done);
      break;
    case CO_EVENT_POLL_DONE:
      co_view_poll_done (core, &event->u.poll_done);
      break;
    case CO_EVENT_READ_DONE:
      handle_read_done (core, &event->u.read_done);
      break;
    case CO_EVENT_WRITE_DONE:
      handle_write_done (core, &event->u.write_done);
      break;
    case CO_EVENT_HOST_LIST:
      co_fleet_update_live_hosts (core, &event->u.host_list);
      break;
    case CO_EVENT_PEER_MESSAGE:
      handle_peer_message (core, event->u.peer_message.sender,
                           &event->u.peer_message.message);
      break;
    case CO_EVENT_CHANGE:
      co_change_submit (core, &event->u.change);
      break;
    case CO_EVENT_STOP:
      co_begin_stop (core);
      break;
    default:
      break;
    }
  co_dispatch_pools (core);
  co_quota_send_transfers (core);
  core->outbox = NULL;
}

bool
co_core_is_ready (const struct co_core *core, co_time now)
{
  return core->phase == CO_PHASE_MEMBER && !core->stopping
         && core->fleet != NULL
         && now - core->now < core->options.lease_duration
         && co_has_lease (core);
}

void
co_core_check_invariants (const struct co_core *core)
{
  for (uint32_t i = 0; i < core->quota_count; i++)
    {
      const struct co_quota *quota = core->quotas[i];

      g_assert_cmpint (quota->in_use, >=, 0);
      if (!(core->options.disabled
            & (CO_DISABLE_QUOTA | CO_DISABLE_TRANSFER_REPORTS))
          && quota->granted_total >= 0)
        g_assert_cmpint (quota->in_use, <=, co_quota_held (quota));
    }
  for (uint32_t i = 0; i < core->pool_count; i++)
    {
      g_assert_cmpint (core->pools[i]->free_slots, >=, 0);
      g_assert_cmpint (core->pools[i]->held_slots, >=, 0);
    }
  g_assert_cmpuint (g_hash_table_size (core->executions), ==,
                    core->execution_order.length);
  g_assert_cmpuint (g_hash_table_size (core->claims), <=,
                    core->claim_order.length);
}
