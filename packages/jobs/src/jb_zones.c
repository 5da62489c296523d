#include "jb_zones.h"

#include <glib.h>
#include <string.h>

/* Share of a backend server's capacity that may be filled at once after its
   zone was taken back, and the time until all of it may be.  */
#define FIRST_FILL_PERMILLE 250
#define FULL_FILL_PERMILLE 1000
#define FILL_TIME (2000 * JB_MS)

struct jb_zones
{
  bool known;
  uint64_t version; /* all changes up to it are applied; 0: not read */
  uint64_t change;
  uint64_t update;
  GArray *zones; /* struct jb_zone, in the order of their first entry */
};

static int
zones_destroy (struct jb_zones *zones)
{
  g_array_free (zones->zones, TRUE);
  return 0;
}

struct jb_zones *
jb_zones_new (TALLOC_CTX *mem)
{
  struct jb_zones *zones = talloc_zero (mem, struct jb_zones);

  zones->zones = g_array_new (FALSE, TRUE, sizeof (struct jb_zone));
  talloc_set_destructor (zones, zones_destroy);
  return zones;
}

bool
jb_zones_are_known (const struct jb_zones *zones)
{
  return zones->known;
}

uint64_t
jb_zones_version (const struct jb_zones *zones)
{
  return zones->version;
}

uint32_t
jb_zones_count (const struct jb_zones *zones)
{
  return zones->zones->len;
}

static struct jb_zone *
zone_at (const struct jb_zones *zones, uint32_t index)
{
  return &g_array_index (zones->zones, struct jb_zone, index);
}

const struct jb_zone *
jb_zones_at (const struct jb_zones *zones, uint32_t index)
{
  return zone_at (zones, index);
}

static struct jb_zone *
find_zone (const struct jb_zones *zones, const char *name)
{
  for (guint i = 0; i < zones->zones->len; i++)
    if (strcmp (zone_at (zones, i)->entry.zone, name) == 0)
      return zone_at (zones, i);
  return NULL;
}

/* Make room for one more zone.  Return false if all are evacuated.  */
static bool
drop_oldest_restored (struct jb_zones *zones)
{
  guint oldest = zones->zones->len;

  for (guint i = 0; i < zones->zones->len; i++)
    if (!zone_at (zones, i)->entry.evacuated
        && (oldest == zones->zones->len
            || zone_at (zones, i)->entry.version
                   < zone_at (zones, oldest)->entry.version))
      oldest = i;
  if (oldest == zones->zones->len)
    return false;
  talloc_free (zone_at (zones, oldest)->entry.zone);
  g_array_remove_index (zones->zones, oldest);
  return true;
}

/* Return the zone NAME, added if it is new, or NULL if there is no room.  */
static struct jb_zone *
get_or_add_zone (struct jb_zones *zones, const char *name)
{
  struct jb_zone *zone = find_zone (zones, name);
  struct jb_zone added = { 0 };

  if (zone != NULL)
    return zone;
  if (zones->zones->len >= JB_ZONES_MAX_COUNT && !drop_oldest_restored (zones))
    return NULL;
  added.entry.zone = talloc_strdup (zones, name);
  g_array_append_val (zones->zones, added);
  return zone_at (zones, zones->zones->len - 1);
}

static void
set_state (struct jb_zones *zones, struct jb_zone *zone, jb_time now,
           bool evacuated, uint64_t version)
{
  zones->update++;
  zone->entry.version = version;
  if (zone->entry.evacuated == evacuated)
    return;
  zone->entry.evacuated = evacuated;
  zone->since = now;
  zone->restored_at = evacuated ? 0 : now;
  zone->change = ++zones->change;
}

bool
jb_zones_apply_change (struct jb_zones *zones, jb_time now,
                       const struct jb_zone_entry *entry)
{
  struct jb_zone *zone = find_zone (zones, entry->zone);

  /* The table shows all changes up to its version, so a zone that it lacks was
     not evacuated then.  */
  if (entry->version <= (zone != NULL ? zone->entry.version : zones->version))
    return false;
  if (zone == NULL)
    {
      zone = get_or_add_zone (zones, entry->zone);
      if (zone == NULL)
        return false;
      zone->since = now;
    }
  set_state (zones, zone, now, entry->evacuated, entry->version);
  return true;
}

static bool
contains (const struct jb_zone_entry *entries, uint32_t count,
          const char *zone)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (entries[i].zone, zone) == 0)
      return true;
  return false;
}

void
jb_zones_apply_reading (struct jb_zones *zones, jb_time now, uint64_t version,
                        const struct jb_zone_entry *entries, uint32_t count)
{
  zones->known = true;
  for (guint i = 0; i < zones->zones->len; i++)
    {
      struct jb_zone *zone = zone_at (zones, i);

      if (zone->entry.evacuated && zone->entry.version < version
          && !contains (entries, count, zone->entry.zone))
        set_state (zones, zone, now, false, version);
    }
  for (uint32_t i = 0; i < count; i++)
    jb_zones_apply_change (zones, now, &entries[i]);
  zones->version = MAX (zones->version, version);
}

void
jb_zones_apply_changes (struct jb_zones *zones, jb_time now, uint64_t version,
                        const struct jb_zone_entry *entries, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct jb_zone_entry entry = entries[i];

      if (!entry.evacuated && entry.version <= zones->version)
        entry.version = version;
      jb_zones_apply_change (zones, now, &entry);
    }
  if (zones->known)
    zones->version = MAX (zones->version, version);
}

void
jb_zones_merge (struct jb_zones *zones, jb_time now,
                const struct jb_zone_entry *entries, uint32_t count)
{
  zones->known = true;
  for (uint32_t i = 0; i < count; i++)
    jb_zones_apply_change (zones, now, &entries[i]);
}

bool
jb_zones_is_evacuated (const struct jb_zones *zones, const char *zone)
{
  const struct jb_zone *found = find_zone (zones, zone);

  return found != NULL && found->entry.evacuated;
}

bool
jb_zones_any_evacuated (const struct jb_zones *zones)
{
  for (guint i = 0; i < zones->zones->len; i++)
    if (zone_at (zones, i)->entry.evacuated)
      return true;
  return false;
}

jb_time
jb_zones_restored_at (const struct jb_zones *zones, const char *zone)
{
  const struct jb_zone *found = find_zone (zones, zone);

  return found != NULL ? found->restored_at : 0;
}

uint32_t
jb_zones_fill_permille (const struct jb_zones *zones, const char *zone,
                        jb_time now)
{
  jb_time restored_at = jb_zones_restored_at (zones, zone);

  if (restored_at == 0 || now >= restored_at + FILL_TIME)
    return FULL_FILL_PERMILLE;
  return (uint32_t)(FIRST_FILL_PERMILLE
                    + (FULL_FILL_PERMILLE - FIRST_FILL_PERMILLE)
                          * MAX (now - restored_at, 0) / FILL_TIME);
}

uint64_t
jb_zones_change (const struct jb_zones *zones)
{
  return zones->change;
}

uint64_t
jb_zones_update (const struct jb_zones *zones)
{
  return zones->update;
}

void
jb_zone_entry_serialize (struct ba_codec *io, struct jb_zone_entry *entry)
{
  ba_codec_required_str (io, &entry->zone);
  ba_codec_bool (io, &entry->evacuated);
  ba_codec_u64 (io, &entry->version);
}
