/* The zones that operators evacuate: applies what the store and coordinators
   tell of them, and passes them to members that can't reach the store.  */

#include "jb_host_internal.h"

/* Time between two messages with the zones while they don't change.  */
#define ZONE_MESSAGE_INTERVAL (2000 * JB_MS)

struct jb_pool_zone_runs
jb_host_count_zone_runs (const struct jb_host *host, const char *zone)
{
  struct jb_pool_zone_runs sum = { 0 };

  for (guint i = 0; i < host->pools->len; i++)
    {
      const struct pool_slot *slot = g_ptr_array_index (host->pools, i);
      struct jb_pool_zone_runs runs;

      if (!jb_host_slot_is_owned (slot))
        continue;
      runs = jb_pool_count_zone_runs (slot->pool, zone);
      sum.finite += runs.finite;
      sum.long_running += runs.long_running;
    }
  return sum;
}

/* Log and count the changes of zones that were not logged yet.  SOURCE says
   where they came from.  */
static void
log_changes (struct jb_host *host, const char *source)
{
  for (uint32_t i = 0; i < jb_zones_count (host->zones); i++)
    {
      const struct jb_zone *zone = jb_zones_at (host->zones, i);
      struct jb_pool_zone_runs runs;

      if (zone->change <= host->logged_zone_change)
        continue;
      runs = jb_host_count_zone_runs (host, zone->entry.zone);
      jb_count_event (host->driver, zone->entry.evacuated
                                        ? JB_COUNT_ZONES_EVACUATED
                                        : JB_COUNT_ZONES_RESTORED);
      jb_log (host->driver, JB_LEVEL_INFO,
              zone->entry.evacuated ? "zone-evacuated" : "zone-restored",
              "zone", zone->entry.zone, "version",
              jb_itoa ((int64_t)zone->entry.version), "source", source, "runs",
              jb_itoa (runs.finite + runs.long_running), NULL);
    }
  host->logged_zone_change = jb_zones_change (host->zones);
}

void
jb_host_cancel_zone_reading (struct jb_host *host)
{
  struct zone_reading *reading = &host->zone_reading;

  if (reading->zones != NULL)
    {
      for (guint i = 0; i < reading->zones->len; i++)
        talloc_free (
            g_array_index (reading->zones, struct jb_zone_entry, i).zone);
      g_array_free (reading->zones, TRUE);
    }
  talloc_free (reading->next_page);
  *reading = (struct zone_reading){ 0 };
}

bool
jb_host_read_zones (struct jb_host *host, jb_time now,
                    const struct jb_reply *reply)
{
  struct zone_reading *reading = &host->zone_reading;

  if (reading->zones == NULL)
    {
      reading->zones
          = g_array_new (FALSE, FALSE, sizeof (struct jb_zone_entry));
      reading->version = reply->version;
    }
  for (uint32_t i = 0; i < reply->zone_count; i++)
    {
      struct jb_zone_entry entry = reply->zones[i];

      entry.zone = talloc_strdup (host, entry.zone);
      g_array_append_val (reading->zones, entry);
    }
  TALLOC_FREE (reading->next_page);
  if (reply->next_page != NULL)
    {
      reading->next_page = talloc_strdup (host, reply->next_page);
      return false;
    }
  jb_zones_apply_reading (
      host->zones, now, reading->version,
      (const struct jb_zone_entry *)(void *)reading->zones->data,
      reading->zones->len);
  jb_host_cancel_zone_reading (host);
  log_changes (host, "store");
  return true;
}

void
jb_host_watch_zones (struct jb_host *host, jb_time now,
                     const struct jb_reply *reply, uint64_t version)
{
  jb_zones_apply_changes (host->zones, now, version, reply->zones,
                          reply->zone_count);
  log_changes (host, "store");
}

void
jb_host_handle_zones (struct jb_host *host, jb_time now,
                      const struct jb_msg_zones *zones)
{
  jb_zones_merge (host->zones, now, zones->zones, zones->count);
  log_changes (host, "peer");
}

/* Destination and content of a message with the zones.  */
struct zone_message
{
  struct jb_host *host;
  struct ba_bytes bytes;
};

static void
send_to_member (void *data, const struct jb_member *member)
{
  const struct zone_message *message = data;

  jb_driver_send (message->host->driver, member->incarnation, message->bytes);
}

void
jb_host_send_zones (struct jb_host *host, jb_time now)
{
  uint32_t count = jb_zones_count (host->zones);
  struct jb_msg message = { .type = JB_MSG_ZONES };
  struct zone_message data = { .host = host };
  uint64_t update = jb_zones_update (host->zones);

  if (count == 0
      || (update == host->sent_zone_update && now < host->next_zone_message)
      || !jb_zones_are_known (host->zones)
      || !jb_members_is_coordinator (host->members))
    return;
  host->sent_zone_update = update;
  host->next_zone_message = now + ZONE_MESSAGE_INTERVAL;
  message.u.zones.zones = talloc_array (NULL, struct jb_zone_entry, count);
  for (uint32_t i = 0; i < count; i++)
    message.u.zones.zones[message.u.zones.count++]
        = jb_zones_at (host->zones, i)->entry;
  data.bytes = jb_msg_encode (message.u.zones.zones, &message);
  jb_members_foreach_alive (host->members, now, send_to_member, &data);
  talloc_free (message.u.zones.zones);
}
