#include "co_msg.h"

static void
usage_code (struct ba_codec *io, struct co_usage *usage)
{
  ba_codec_required_str (io, &usage->name);
  ba_codec_u32 (io, &usage->running);
  ba_codec_u32 (io, &usage->waiting);
  ba_codec_u32 (io, &usage->held_quota);
}

static void
running_code (struct ba_codec *io, struct co_running_count *running)
{
  ba_codec_u32 (io, &running->pool_position);
  ba_codec_u32 (io, &running->team_position);
  ba_codec_u32 (io, &running->count);
}

static void
drain_code (struct ba_codec *io, struct co_drain_status *drain)
{
  ba_codec_required_str (io, &drain->host);
  ba_codec_u32 (io, &drain->running);
}

static void
heartbeat_code (struct ba_codec *io, struct co_msg_heartbeat *m)
{
  ba_codec_u64 (io, &m->view_version);
  ba_codec_u64 (io, &m->log_version);
  ba_codec_bool (io, &m->stopping);
  ba_codec_array (io, m->teams, m->team_count, CO_MAX_ARRAY_COUNT, usage_code);
  ba_codec_array (io, m->pools, m->pool_count, CO_MAX_ARRAY_COUNT, usage_code);
  ba_codec_array (io, m->running, m->running_count, CO_MAX_ARRAY_COUNT,
                  running_code);
  ba_codec_array (io, m->drains, m->drain_count, CO_MAX_ARRAY_COUNT,
                  drain_code);
  ba_codec_array (io, m->ledger_versions, m->ledger_version_count,
                  CO_MAX_ARRAY_COUNT, ba_codec_u64);
}

static void
transfer_code (struct ba_codec *io, struct co_quota_transfer *transfer)
{
  ba_codec_required_str (io, &transfer->resource);
  ba_codec_u32 (io, &transfer->total_sent);
}

static void
seal_code (struct ba_codec *io, struct co_transfer_balance *seal)
{
  ba_codec_u64 (io, &seal->departed_incarnation);
  ba_codec_required_str (io, &seal->resource);
  ba_codec_i64 (io, &seal->net_received);
}

static void
answer_code (struct ba_codec *io, struct co_msg_fetch_reply *answer)
{
  ba_codec_u64 (io, &answer->request_id);
  ba_codec_u32 (io, &answer->state);
  ba_codec_u32 (io, &answer->http_status);
  ba_codec_str (io, &answer->headers);
  ba_codec_bytes (io, &answer->body);
  if (io->reading && answer->state >= CO_EXECUTION_STATE_COUNT)
    io->failed = true;
}

static void
claim_code (struct ba_codec *io, struct co_msg_claim *claim)
{
  ba_codec_u64 (io, &claim->request_id);
  ba_codec_u64 (io, &claim->view_version);
  ba_codec_required_str (io, &claim->idempotency_key);
}

static void
claimed_code (struct ba_codec *io, struct co_msg_claim_reply *claimed)
{
  ba_codec_u64 (io, &claimed->request_id);
  ba_codec_u32 (io, &claimed->result);
  ba_codec_u64 (io, &claimed->executor);
  if (io->reading && claimed->result >= CO_CLAIM_RESULT_COUNT)
    io->failed = true;
}

void
co_msg_serialize (struct ba_codec *io, struct co_msg *m)
{
  ba_codec_u32 (io, &m->type);
  switch (m->type)
    {
    case CO_MSG_HEARTBEAT:
      heartbeat_code (io, &m->u.heartbeat);
      break;
    case CO_MSG_TRANSFERS:
    case CO_MSG_TRANSFERS_ACK:
      ba_codec_array (io, m->u.transfers.items, m->u.transfers.count,
                      CO_MAX_ARRAY_COUNT, transfer_code);
      break;
    case CO_MSG_QUOTA_REQUEST:
      ba_codec_bool (io, &m->u.quota_request.for_pool);
      ba_codec_required_str (io, &m->u.quota_request.name);
      ba_codec_u32 (io, &m->u.quota_request.count);
      break;
    case CO_MSG_TRANSFER_REPORT:
      ba_codec_u64 (io, &m->u.transfer_report.view_version);
      ba_codec_array (io, m->u.transfer_report.items,
                      m->u.transfer_report.count, CO_MAX_ARRAY_COUNT,
                      seal_code);
      break;
    case CO_MSG_CLAIM:
      claim_code (io, &m->u.claim);
      break;
    case CO_MSG_CLAIM_RELEASE:
      claim_code (io, &m->u.claim_release);
      break;
    case CO_MSG_CLAIM_REPLY:
      claimed_code (io, &m->u.claim_reply);
      break;
    case CO_MSG_FETCH_ANSWER:
      ba_codec_u64 (io, &m->u.fetch_answer.request_id);
      ba_codec_required_str (io, &m->u.fetch_answer.idempotency_key);
      break;
    case CO_MSG_FETCH_REPLY:
      answer_code (io, &m->u.fetch_reply);
      break;
    case CO_MSG_LOG_FETCH:
      ba_codec_u64 (io, &m->u.log_fetch_after);
      break;
    case CO_MSG_LOG_ENTRIES:
      ba_codec_array (io, m->u.log_entries.items, m->u.log_entries.count,
                      CO_MAX_ARRAY_COUNT, co_log_entry_serialize);
      break;
    default:
      io->failed = true;
      break;
    }
}
