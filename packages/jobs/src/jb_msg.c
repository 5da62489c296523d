#include "jb_msg.h"

enum
{
  MAX_DUTIES = 1000,
  MAX_MEMBERS = 10000,
  MAX_IDLE = 100000,
  MAX_ORGS = 10000
};

static void
duty_code (struct ba_codec *io, struct jb_msg_ownership *duty)
{
  ba_codec_required_str (io, &duty->part);
  ba_codec_u64 (io, &duty->fence);
}

static void
heard_code (struct ba_codec *io, struct jb_msg_peer_age *heard)
{
  ba_codec_u64 (io, &heard->incarnation);
  ba_codec_i64 (io, &heard->age_ms);
}

static void
beat_code (struct ba_codec *io, struct jb_msg_heartbeat *beat)
{
  ba_codec_required_str (io, &beat->name);
  ba_codec_required_str (io, &beat->address);
  ba_codec_required_str (io, &beat->zone);
  ba_codec_u32 (io, &beat->cpu_share_milli);
  ba_codec_bool (io, &beat->stopping);
  ba_codec_i64 (io, &beat->store_answer_age_ms);
  ba_codec_bool (io, &beat->store_reachable);
  ba_codec_u64 (io, &beat->catalog_version);
  ba_codec_array (io, beat->ownerships, beat->ownership_count, MAX_DUTIES,
                  duty_code);
  ba_codec_array (io, beat->heard, beat->peer_count, MAX_MEMBERS, heard_code);
}

static void
request_code (struct ba_codec *io, struct jb_msg_request *request)
{
  bool has_desc = request->desc != NULL;

  ba_codec_u64 (io, &request->call);
  ba_codec_enum (io, &request->kind, JB_REQUEST_KIND_COUNT);
  ba_codec_required_str (io, &request->pool);
  ba_codec_str (io, &request->id);
  ba_codec_str (io, &request->queue);
  ba_codec_bool (io, &has_desc);
  if (io->reading && has_desc)
    request->desc = talloc_zero (io->mem, struct jb_job_desc);
  if (request->desc != NULL)
    jb_job_desc_serialize (io, request->desc);
}

static void
reply_code (struct ba_codec *io, struct jb_msg_reply *reply)
{
  ba_codec_u64 (io, &reply->call);
  ba_codec_u32 (io, &reply->kind);
  ba_codec_u32 (io, &reply->state);
  ba_codec_u32 (io, &reply->pending);
  ba_codec_i64 (io, &reply->retry_after_ms);
}

static void
clear_code (struct ba_codec *io, struct jb_msg_evacuate *clear)
{
  ba_codec_required_str (io, &clear->pool);
  ba_codec_required_str (io, &clear->instance);
  ba_codec_bool (io, &clear->taken);
}

static void
cleared_code (struct ba_codec *io, struct jb_msg_evacuate_status *cleared)
{
  ba_codec_required_str (io, &cleared->pool);
  ba_codec_required_str (io, &cleared->instance);
  ba_codec_bool (io, &cleared->empty);
}

static void
load_code (struct ba_codec *io, struct jb_msg_load *load)
{
  ba_codec_required_str (io, &load->pool);
  ba_codec_i64 (io, &load->capacity_cpu_milli);
  ba_codec_i64 (io, &load->host_cpu_milli);
  ba_codec_i64 (io, &load->running_cpu_milli);
  ba_codec_i64 (io, &load->waiting_cpu_milli);
  ba_codec_i64 (io, &load->long_running_cpu_milli);
  ba_codec_i64 (io, &load->waiting_work_cpu_milli_ms);
  ba_codec_i64 (io, &load->arriving_cpu_milli);
  ba_codec_array (io, load->idle, load->idle_count, MAX_IDLE,
                  ba_codec_required_str);
}

static void
use_code (struct ba_codec *io, struct jb_msg_org_usage *use)
{
  ba_codec_required_str (io, &use->org);
  jb_resources_serialize (io, &use->used);
  jb_resources_serialize (io, &use->wanted);
  jb_resources_serialize (io, &use->limit);
}

static void
usage_code (struct ba_codec *io, struct jb_msg_usage *usage)
{
  ba_codec_required_str (io, &usage->pool);
  ba_codec_u64 (io, &usage->fence);
  ba_codec_u64 (io, &usage->planner);
  ba_codec_u64 (io, &usage->serial);
  ba_codec_array (io, usage->uses, usage->count, MAX_ORGS, use_code);
}

static void
share_code (struct ba_codec *io, struct jb_msg_org_share *share)
{
  ba_codec_required_str (io, &share->org);
  jb_resources_serialize (io, &share->limit);
}

static void
shares_code (struct ba_codec *io, struct jb_msg_shares *shares)
{
  ba_codec_required_str (io, &shares->pool);
  ba_codec_u64 (io, &shares->fence);
  ba_codec_u64 (io, &shares->planner);
  ba_codec_u64 (io, &shares->serial);
  ba_codec_array (io, shares->shares, shares->count, MAX_ORGS, share_code);
}

void
jb_msg_serialize (struct ba_codec *io, struct jb_msg *message)
{
  ba_codec_enum (io, &message->type, JB_MSG_TYPE_COUNT);
  switch ((enum jb_msg_type)message->type)
    {
    case JB_MSG_HEARTBEAT:
      beat_code (io, &message->u.beat);
      break;
    case JB_MSG_REQUEST:
      request_code (io, &message->u.request);
      break;
    case JB_MSG_REPLY:
      reply_code (io, &message->u.reply);
      break;
    case JB_MSG_CATALOG:
      jb_catalog_serialize (io, &message->u.catalog);
      break;
    case JB_MSG_EVACUATE:
      clear_code (io, &message->u.clear);
      break;
    case JB_MSG_EVACUATE_STATUS:
      cleared_code (io, &message->u.cleared);
      break;
    case JB_MSG_POOL_LOAD:
      load_code (io, &message->u.load);
      break;
    case JB_MSG_HOST_ARRIVING:
      ba_codec_required_str (io, &message->u.coming.pool);
      break;
    case JB_MSG_QUOTA_USAGE:
      usage_code (io, &message->u.usage);
      break;
    case JB_MSG_QUOTA_SHARES:
      shares_code (io, &message->u.shares);
      break;
    case JB_MSG_TYPE_COUNT:
      break;
    }
}

struct ba_bytes
jb_msg_encode (TALLOC_CTX *mem, const struct jb_msg *message)
{
  struct jb_msg copy = *message;

  return ba_codec_encode (mem, jb_msg_serialize, &copy);
}

struct jb_msg *
jb_msg_decode (TALLOC_CTX *mem, struct ba_bytes bytes)
{
  struct jb_msg *message = talloc_zero (mem, struct jb_msg);
  struct ba_codec io;

  ba_codec_init_reader (&io, message, bytes);
  jb_msg_serialize (&io, message);
  if (!ba_codec_is_complete (&io))
    TALLOC_FREE (message);
  return message;
}
