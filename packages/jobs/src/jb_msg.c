#include "jb_msg.h"

/* Bounds on the sizes of decoded arrays.  */
enum
{
  MAX_OWNERSHIP_COUNT = 1000,
  MAX_MEMBER_COUNT = 10000,
  MAX_IDLE_INSTANCE_COUNT = 100000,
  MAX_ORG_COUNT = 10000,
  MAX_ZONE_COUNT = JB_ZONES_MAX_COUNT
};

static void
serialize_ownership (struct ba_codec *io, struct jb_msg_ownership *ownership)
{
  ba_codec_required_str (io, &ownership->partition);
  ba_codec_u64 (io, &ownership->fence);
}

static void
serialize_heartbeat_age (struct ba_codec *io,
                         struct jb_msg_heartbeat_age *peer)
{
  ba_codec_u64 (io, &peer->incarnation);
  ba_codec_i64 (io, &peer->age_ms);
}

static void
serialize_heartbeat (struct ba_codec *io, struct jb_msg_heartbeat *heartbeat)
{
  ba_codec_required_str (io, &heartbeat->name);
  ba_codec_required_str (io, &heartbeat->address);
  ba_codec_required_str (io, &heartbeat->zone);
  ba_codec_u32 (io, &heartbeat->cpu_share_milli);
  ba_codec_bool (io, &heartbeat->stopping);
  ba_codec_i64 (io, &heartbeat->store_answer_age_ms);
  ba_codec_bool (io, &heartbeat->store_reachable);
  ba_codec_u64 (io, &heartbeat->catalog_version);
  ba_codec_array (io, heartbeat->ownerships, heartbeat->ownership_count,
                  MAX_OWNERSHIP_COUNT, serialize_ownership);
  ba_codec_array (io, heartbeat->peers, heartbeat->peer_count,
                  MAX_MEMBER_COUNT, serialize_heartbeat_age);
}

static void
serialize_request (struct ba_codec *io, struct jb_msg_request *request)
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
serialize_reply (struct ba_codec *io, struct jb_msg_reply *reply)
{
  ba_codec_u64 (io, &reply->call);
  ba_codec_u32 (io, &reply->kind);
  ba_codec_u32 (io, &reply->state);
  ba_codec_u32 (io, &reply->pending);
  ba_codec_i64 (io, &reply->retry_after_ms);
}

static void
serialize_evacuate (struct ba_codec *io, struct jb_msg_evacuate *evacuate)
{
  ba_codec_required_str (io, &evacuate->pool);
  ba_codec_required_str (io, &evacuate->instance);
  ba_codec_bool (io, &evacuate->host_removed);
}

static void
serialize_evacuate_status (struct ba_codec *io,
                           struct jb_msg_evacuate_status *status)
{
  ba_codec_required_str (io, &status->pool);
  ba_codec_required_str (io, &status->instance);
  ba_codec_bool (io, &status->empty);
}

static void
serialize_load (struct ba_codec *io, struct jb_msg_load *load)
{
  ba_codec_required_str (io, &load->pool);
  ba_codec_i64 (io, &load->capacity_cpu_milli);
  ba_codec_i64 (io, &load->host_cpu_milli);
  ba_codec_i64 (io, &load->finite_cpu_milli);
  ba_codec_i64 (io, &load->waiting_cpu_milli);
  ba_codec_i64 (io, &load->long_running_cpu_milli);
  ba_codec_i64 (io, &load->unfinished_work_cpu_milli_ms);
  ba_codec_i64 (io, &load->arriving_cpu_milli);
  ba_codec_array (io, load->idle_instances, load->idle_instance_count,
                  MAX_IDLE_INSTANCE_COUNT, ba_codec_required_str);
}

static void
serialize_org_usage (struct ba_codec *io, struct jb_msg_org_usage *usage)
{
  ba_codec_required_str (io, &usage->org);
  jb_resources_serialize (io, &usage->used);
  jb_resources_serialize (io, &usage->wanted);
  jb_resources_serialize (io, &usage->share);
}

static void
serialize_usage (struct ba_codec *io, struct jb_msg_usage *usage)
{
  ba_codec_required_str (io, &usage->pool);
  ba_codec_u64 (io, &usage->fence);
  ba_codec_u64 (io, &usage->planner_fence);
  ba_codec_u64 (io, &usage->serial);
  ba_codec_array (io, usage->org_usages, usage->count, MAX_ORG_COUNT,
                  serialize_org_usage);
}

static void
serialize_org_need (struct ba_codec *io, struct jb_msg_org_need *need)
{
  ba_codec_required_str (io, &need->org);
  jb_resources_serialize (io, &need->needed);
}

static void
serialize_needs (struct ba_codec *io, struct jb_msg_needs *needs)
{
  ba_codec_required_str (io, &needs->pool);
  ba_codec_u64 (io, &needs->fence);
  ba_codec_array (io, needs->needs, needs->count, MAX_ORG_COUNT,
                  serialize_org_need);
}

static void
serialize_org_share (struct ba_codec *io, struct jb_msg_org_share *org_share)
{
  ba_codec_required_str (io, &org_share->org);
  jb_resources_serialize (io, &org_share->share);
}

static void
serialize_shares (struct ba_codec *io, struct jb_msg_shares *shares)
{
  ba_codec_required_str (io, &shares->pool);
  ba_codec_u64 (io, &shares->fence);
  ba_codec_u64 (io, &shares->planner_fence);
  ba_codec_u64 (io, &shares->serial);
  ba_codec_array (io, shares->shares, shares->count, MAX_ORG_COUNT,
                  serialize_org_share);
}

static void
serialize_doubt (struct ba_codec *io, struct jb_msg_doubt *doubt)
{
  jb_doubt_entry_serialize (io, &doubt->entry);
  ba_codec_u32 (io, &doubt->generation);
  ba_codec_i64 (io, &doubt->age_ms);
}

static void
serialize_doubts (struct ba_codec *io, struct jb_msg_doubts *doubts)
{
  ba_codec_required_str (io, &doubts->pool);
  ba_codec_array (io, doubts->entries, doubts->count, JB_MSG_MAX_DOUBTS,
                  serialize_doubt);
}

static void
serialize_starts (struct ba_codec *io, struct jb_msg_starts *starts)
{
  ba_codec_required_str (io, &starts->pool);
  ba_codec_u32 (io, &starts->generation);
  ba_codec_u64 (io, &starts->serial);
  ba_codec_bool (io, &starts->wants_reply);
  ba_codec_array (io, starts->entries, starts->count, JB_MSG_MAX_DOUBTS,
                  jb_doubt_entry_serialize);
  ba_codec_array (io, starts->grants, starts->grant_count, JB_MSG_MAX_GRANTS,
                  jb_open_grants_serialize);
}

void
jb_msg_serialize (struct ba_codec *io, struct jb_msg *message)
{
  ba_codec_enum (io, &message->type, JB_MSG_TYPE_COUNT);
  switch ((enum jb_msg_type)message->type)
    {
    case JB_MSG_HEARTBEAT:
      serialize_heartbeat (io, &message->u.heartbeat);
      break;
    case JB_MSG_REQUEST:
      serialize_request (io, &message->u.request);
      break;
    case JB_MSG_REPLY:
      serialize_reply (io, &message->u.reply);
      break;
    case JB_MSG_CATALOG:
      jb_catalog_serialize (io, &message->u.catalog);
      break;
    case JB_MSG_EVACUATE:
      serialize_evacuate (io, &message->u.evacuate);
      break;
    case JB_MSG_EVACUATE_STATUS:
      serialize_evacuate_status (io, &message->u.evacuate_status);
      break;
    case JB_MSG_POOL_LOAD:
      serialize_load (io, &message->u.load);
      break;
    case JB_MSG_HOST_ARRIVING:
      ba_codec_required_str (io, &message->u.host_arriving.pool);
      break;
    case JB_MSG_QUOTA_USAGE:
      serialize_usage (io, &message->u.usage);
      break;
    case JB_MSG_QUOTA_SHARES:
      serialize_shares (io, &message->u.shares);
      break;
    case JB_MSG_CATALOG_REQUEST:
      ba_codec_u64 (io, &message->u.catalog_request.own_version);
      break;
    case JB_MSG_ZONES:
      ba_codec_array (io, message->u.zones.zones, message->u.zones.count,
                      MAX_ZONE_COUNT, jb_zone_entry_serialize);
      break;
    case JB_MSG_PROCESS_QUERY:
    case JB_MSG_PROCESS_ENDED:
      ba_codec_required_str (io, &message->u.process.name);
      ba_codec_u64 (io, &message->u.process.incarnation);
      break;
    case JB_MSG_DOUBTS:
      serialize_doubts (io, &message->u.doubts);
      break;
    case JB_MSG_STARTS:
    case JB_MSG_STARTS_KEPT:
    case JB_MSG_STARTS_QUERY:
      serialize_starts (io, &message->u.starts);
      break;
    case JB_MSG_STARTS_LEFT:
      ba_codec_u32 (io, &message->u.starts_left.query_generation);
      ba_codec_bool (io, &message->u.starts_left.is_last);
      serialize_starts (io, &message->u.starts_left.starts);
      break;
    case JB_MSG_QUOTA_NEEDS:
      serialize_needs (io, &message->u.needs);
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

enum jb_msg_type
jb_msg_peek_type (struct ba_bytes bytes)
{
  struct ba_codec io;
  uint32_t type = 0;

  ba_codec_init_reader (&io, NULL, bytes);
  ba_codec_enum (&io, &type, JB_MSG_TYPE_COUNT);
  return io.failed ? JB_MSG_TYPE_COUNT : type;
}

const char *
jb_msg_type_name (enum jb_msg_type type)
{
  static const char *const names[]
      = { [JB_MSG_HEARTBEAT] = "heartbeat",
          [JB_MSG_REQUEST] = "request",
          [JB_MSG_REPLY] = "reply",
          [JB_MSG_CATALOG] = "catalog",
          [JB_MSG_EVACUATE] = "evacuate",
          [JB_MSG_EVACUATE_STATUS] = "evacuate-status",
          [JB_MSG_POOL_LOAD] = "pool-load",
          [JB_MSG_HOST_ARRIVING] = "host-arriving",
          [JB_MSG_QUOTA_USAGE] = "quota-usage",
          [JB_MSG_QUOTA_SHARES] = "quota-shares",
          [JB_MSG_CATALOG_REQUEST] = "catalog-request",
          [JB_MSG_ZONES] = "zones",
          [JB_MSG_PROCESS_QUERY] = "process-query",
          [JB_MSG_PROCESS_ENDED] = "process-ended",
          [JB_MSG_DOUBTS] = "doubts",
          [JB_MSG_STARTS] = "starts",
          [JB_MSG_STARTS_KEPT] = "starts-kept",
          [JB_MSG_STARTS_QUERY] = "starts-query",
          [JB_MSG_STARTS_LEFT] = "starts-left",
          [JB_MSG_QUOTA_NEEDS] = "quota-needs",
          [JB_MSG_TYPE_COUNT] = "unreadable" };

  return names[type];
}
