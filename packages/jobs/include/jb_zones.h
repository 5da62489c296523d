#ifndef JB_ZONES_H
#define JB_ZONES_H

/* The availability zones that operators have evacuated, or had evacuated and
   took back.

   Expected load: a few dozen zones, orders that follow each other within
   milliseconds, and news of the same order from the store and from several
   peers, late, repeated and out of order.  A change with a higher version of
   the store wins over one with a lower version, whatever arrives first.  */

#include "jb_types.h"

enum
{
  /* Zones that are kept.  Zones that were taken back are dropped first.  An
     order for one more evacuated zone is not kept.  */
  JB_ZONES_MAX_COUNT = 256
};

/* State of a zone as of a version of the store.  */
struct jb_zone_entry
{
  char *zone;
  bool evacuated; /* false: the order was removed */
  uint64_t version;
};

/* A zone of the table.  */
struct jb_zone
{
  struct jb_zone_entry entry;
  jb_time since; /* when this host learned the present state */
  /* When this host learned that the zone was taken back, after it had known of
     its evacuation; 0: that is not the case.  */
  jb_time restored_at;
  /* Number of the change (jb_zones_change) of the present state; 0: the zone
     was never evacuated as far as this host knows.  */
  uint64_t change;
};

struct jb_zones;

/* Return a new table, owned by MEM, that is not known.  */
struct jb_zones *jb_zones_new (TALLOC_CTX *mem);

/* Return whether the table is known: it was read completely, or a peer has
   sent its own.  */
bool jb_zones_are_known (const struct jb_zones *zones);

/* Return the version of the store of which the table shows all changes, or 0
   if this host has not read it completely.  */
uint64_t jb_zones_version (const struct jb_zones *zones);

/* Apply a complete reading, begun when the store had VERSION, that found the
   COUNT ENTRIES, which are borrowed.  Zones that it lacks are restored as of
   VERSION.  */
void jb_zones_apply_reading (struct jb_zones *zones, jb_time now,
                             uint64_t version,
                             const struct jb_zone_entry *entries,
                             uint32_t count);

/* Apply the change ENTRY, which is borrowed.  Return false if it is not newer
   than what is known, or can't be kept.  */
bool jb_zones_apply_change (struct jb_zones *zones, jb_time now,
                            const struct jb_zone_entry *entry);

/* Apply the COUNT ENTRIES, which are borrowed: all changes that the store has
   made after the version of the table, up to VERSION.  A removal with a
   version that can't be that of a change since then, such as that of the
   removed row, counts as of VERSION.  */
void jb_zones_apply_changes (struct jb_zones *zones, jb_time now,
                             uint64_t version,
                             const struct jb_zone_entry *entries,
                             uint32_t count);

/* Apply the COUNT ENTRIES, which are borrowed, of a peer that knows the
   table.  */
void jb_zones_merge (struct jb_zones *zones, jb_time now,
                     const struct jb_zone_entry *entries, uint32_t count);

/* Return whether ZONE is evacuated.  */
bool jb_zones_is_evacuated (const struct jb_zones *zones, const char *zone);

/* Return whether any zone is evacuated.  */
bool jb_zones_any_evacuated (const struct jb_zones *zones);

/* Return when this host learned that ZONE was taken back, or 0 if it has not
   known of an evacuation of ZONE that has ended.  */
jb_time jb_zones_restored_at (const struct jb_zones *zones, const char *zone);

/* Return which share of the capacity of a backend server of ZONE may be
   filled, in thousandths.  It grows after ZONE was taken back, since its
   backend servers may be cold.  */
uint32_t jb_zones_fill_permille (const struct jb_zones *zones,
                                 const char *zone, jb_time now);

/* Return the number of zones in the table, and the one at INDEX, borrowed
   until the table changes.  */
uint32_t jb_zones_count (const struct jb_zones *zones);
const struct jb_zone *jb_zones_at (const struct jb_zones *zones,
                                   uint32_t index);

/* Return a number that rises when a zone is evacuated or taken back.  */
uint64_t jb_zones_change (const struct jb_zones *zones);

/* Return a number that rises with each entry that was applied.  */
uint64_t jb_zones_update (const struct jb_zones *zones);

/* Encode ENTRY to IO, or decode it from IO if it is a reader.  */
void jb_zone_entry_serialize (struct ba_codec *io,
                              struct jb_zone_entry *entry);

#endif
