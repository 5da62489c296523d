#include "co_types.h"

#include <glib.h>
#include <string.h>

/* Names of enum values, and the msgpack encoding of the types that are stored
   in the table service.  */

static const char *const host_state_names[CO_HOST_STATE_COUNT]
    = { "active", "draining", "out", "moving" };

static const char *const change_result_names[CO_CHANGE_RESULT_COUNT]
    = { "ok", "conflict", "invalid", "unavailable", "unknown", "pending" };

const char *
co_host_state_name (uint32_t state)
{
  g_assert (state < CO_HOST_STATE_COUNT);
  return host_state_names[state];
}

const char *
co_change_result_name (uint32_t result)
{
  g_assert (result < CO_CHANGE_RESULT_COUNT);
  return change_result_names[result];
}

const char *
co_evacuation_zone (uint32_t scope, const char *scope_name)
{
  if (scope != CO_SCOPE_ZONE || scope_name == NULL
      || !g_str_has_prefix (scope_name, CO_EVACUATION_PREFIX))
    return NULL;
  return scope_name + strlen (CO_EVACUATION_PREFIX);
}

void
co_change_init_evacuation (TALLOC_CTX *mem, struct co_change *change,
                           const char *zone, bool evacuated)
{
  memset (change, 0, sizeof *change);
  change->type = CO_CHANGE_MAINTENANCE;
  change->order_state = evacuated ? CO_ORDER_RUNNING : CO_ORDER_CANCELLED;
  change->scope = CO_SCOPE_ZONE;
  change->scope_name
      = talloc_asprintf (mem, "%s%s", CO_EVACUATION_PREFIX, zone);
}

static void
member_serialize (struct ba_codec *io, struct co_member *member)
{
  ba_codec_u64 (io, &member->incarnation);
  ba_codec_str (io, &member->name);
  ba_codec_str (io, &member->zone);
  ba_codec_str (io, &member->peer_address);
  ba_codec_str (io, &member->admin_address);
}

static void
departed_member_serialize (struct ba_codec *io,
                           struct co_departed_member *departed)
{
  ba_codec_u64 (io, &departed->incarnation);
  ba_codec_enum (io, &departed->departure, CO_DEPARTURE_COUNT);
  ba_codec_str (io, &departed->peer_address);
}

void
co_view_serialize (struct ba_codec *io, struct co_view *view)
{
  ba_codec_u64 (io, &view->version);
  ba_codec_array (io, view->members, view->member_count, CO_MAX_MEMBER_COUNT,
                  member_serialize);
  ba_codec_array (io, view->base, view->base_count,
                  CO_MAX_MEMBER_COUNT + CO_MAX_DEPARTED_COUNT, ba_codec_u64);
  ba_codec_array (io, view->departed, view->departed_count,
                  CO_MAX_DEPARTED_COUNT, departed_member_serialize);
}

void
co_change_serialize (struct ba_codec *io, struct co_change *change)
{
  ba_codec_enum (io, &change->type, CO_CHANGE_TYPE_COUNT);
  switch (change->type)
    {
    case CO_CHANGE_FLEET:
      ba_codec_u64 (io, &change->expected_fleet_version);
      ba_codec_str (io, &change->fleet_yaml);
      if (change->fleet_yaml == NULL)
        io->failed = true;
      break;
    case CO_CHANGE_HOST:
      ba_codec_str (io, &change->host);
      ba_codec_enum (io, &change->host_state, CO_HOST_STATE_COUNT);
      ba_codec_str (io, &change->pool);
      ba_codec_u64 (io, &change->new_generation);
      ba_codec_u64 (io, &change->completed_order);
      ba_codec_u64 (io, &change->cause);
      if (change->host == NULL)
        io->failed = true;
      break;
    case CO_CHANGE_API_KEY:
      ba_codec_str (io, &change->key_hash);
      ba_codec_str (io, &change->team);
      if (change->key_hash == NULL)
        io->failed = true;
      break;
    case CO_CHANGE_MAINTENANCE:
      ba_codec_u64 (io, &change->order_id);
      ba_codec_enum (io, &change->order_state, CO_ORDER_STATE_COUNT);
      ba_codec_enum (io, &change->scope, CO_SCOPE_COUNT);
      ba_codec_str (io, &change->scope_name);
      if (change->scope_name == NULL)
        io->failed = true;
      break;
    default:
      break;
    }
}

void
co_log_entry_serialize (struct ba_codec *io, struct co_log_entry *entry)
{
  ba_codec_u64 (io, &entry->version);
  ba_codec_str (io, &entry->token);
  co_change_serialize (io, &entry->change);
  if (entry->token == NULL)
    io->failed = true;
}
