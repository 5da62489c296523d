#include "co_msg.h"

/* The msgpack encoding of the messages between entry hosts.  All members must
   encode the fields in the same order.  */

static void
usage_serialize (struct ba_codec *io, struct co_usage *usage)
{
  ba_codec_required_str (io, &usage->name);
  ba_codec_u32 (io, &usage->running);
  ba_codec_u32 (io, &usage->waiting);
  ba_codec_u32 (io, &usage->held_quota);
}

static void
running_count_serialize (struct ba_codec *io, struct co_running_count *running)
{
  ba_codec_u32 (io, &running->pool_position);
  ba_codec_u32 (io, &running->team_position);
  ba_codec_u32 (io, &running->count);
}

static void
drain_status_serialize (struct ba_codec *io, struct co_drain_status *drain)
{
  ba_codec_required_str (io, &drain->host);
  ba_codec_u32 (io, &drain->running);
}

static void
heartbeat_serialize (struct ba_codec *io, struct co_msg_heartbeat *m)
{
  ba_codec_u64 (io, &m->view_version);
  ba_codec_u64 (io, &m->log_version);
  ba_codec_bool (io, &m->stopping);
  ba_codec_array (io, m->teams, m->team_count, CO_MAX_ARRAY_COUNT,
                  usage_serialize);
  ba_codec_array (io, m->pools, m->pool_count, CO_MAX_ARRAY_COUNT,
                  usage_serialize);
  ba_codec_array (io, m->running, m->running_count, CO_MAX_ARRAY_COUNT,
                  running_count_serialize);
  ba_codec_array (io, m->drains, m->drain_count, CO_MAX_ARRAY_COUNT,
                  drain_status_serialize);
  ba_codec_array (io, m->ledger_versions, m->ledger_version_count,
                  CO_MAX_ARRAY_COUNT, ba_codec_u64);
}

static void
quota_transfer_serialize (struct ba_codec *io,
                          struct co_quota_transfer *transfer)
{
  ba_codec_required_str (io, &transfer->resource);
  ba_codec_u32 (io, &transfer->total_sent);
}

static void
transfer_balance_serialize (struct ba_codec *io,
                            struct co_transfer_balance *balance)
{
  ba_codec_u64 (io, &balance->departed_incarnation);
  ba_codec_required_str (io, &balance->resource);
  ba_codec_i64 (io, &balance->net_received);
}

static void
fetch_reply_serialize (struct ba_codec *io, struct co_msg_fetch_reply *reply)
{
  ba_codec_u64 (io, &reply->request_id);
  ba_codec_u32 (io, &reply->state);
  ba_codec_u32 (io, &reply->http_status);
  ba_codec_str (io, &reply->headers);
  ba_codec_bytes (io, &reply->body);
  if (io->reading && reply->state >= CO_EXECUTION_STATE_COUNT)
    io->failed = true;
}

static void
claim_serialize (struct ba_codec *io, struct co_msg_claim *claim)
{
  ba_codec_u64 (io, &claim->request_id);
  ba_codec_u64 (io, &claim->view_version);
  ba_codec_required_str (io, &claim->idempotency_key);
}

static void
claim_reply_serialize (struct ba_codec *io, struct co_msg_claim_reply *reply)
{
  ba_codec_u64 (io, &reply->request_id);
  ba_codec_u32 (io, &reply->result);
  ba_codec_u64 (io, &reply->executor);
  if (io->reading && reply->result >= CO_CLAIM_RESULT_COUNT)
    io->failed = true;
}

void
co_msg_serialize (struct ba_codec *io, struct co_msg *message)
{
  ba_codec_u32 (io, &message->type);
  switch (message->type)
    {
    case CO_MSG_HEARTBEAT:
      heartbeat_serialize (io, &message->u.heartbeat);
      break;
    case CO_MSG_TRANSFERS:
    case CO_MSG_TRANSFERS_ACK:
      ba_codec_array (io, message->u.transfers.items,
                      message->u.transfers.count, CO_MAX_ARRAY_COUNT,
                      quota_transfer_serialize);
      break;
    case CO_MSG_QUOTA_REQUEST:
      ba_codec_bool (io, &message->u.quota_request.for_pool);
      ba_codec_required_str (io, &message->u.quota_request.name);
      ba_codec_u32 (io, &message->u.quota_request.count);
      break;
    case CO_MSG_TRANSFER_REPORT:
      ba_codec_u64 (io, &message->u.transfer_report.view_version);
      ba_codec_array (io, message->u.transfer_report.items,
                      message->u.transfer_report.count, CO_MAX_ARRAY_COUNT,
                      transfer_balance_serialize);
      break;
    case CO_MSG_CLAIM:
      claim_serialize (io, &message->u.claim);
      break;
    case CO_MSG_CLAIM_RELEASE:
      claim_serialize (io, &message->u.claim_release);
      break;
    case CO_MSG_CLAIM_REPLY:
      claim_reply_serialize (io, &message->u.claim_reply);
      break;
    case CO_MSG_FETCH_ANSWER:
      ba_codec_u64 (io, &message->u.fetch_answer.request_id);
      ba_codec_required_str (io, &message->u.fetch_answer.idempotency_key);
      break;
    case CO_MSG_FETCH_REPLY:
      fetch_reply_serialize (io, &message->u.fetch_reply);
      break;
    case CO_MSG_LOG_FETCH:
      ba_codec_u64 (io, &message->u.log_fetch_after);
      break;
    case CO_MSG_LOG_ENTRIES:
      ba_codec_array (io, message->u.log_entries.items,
                      message->u.log_entries.count, CO_MAX_ARRAY_COUNT,
                      co_log_entry_serialize);
      break;
    default:
      io->failed = true;
      break;
    }
}
