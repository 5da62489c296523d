/* Test of the table of the evacuated zones.

   Expected load: news of an order and of its removal from the store and from
   several peers, late, repeated and out of order.  */

#include "dp_test.h"
#include "jb_msg.h"
#include "jb_zones.h"

#include <stdio.h>

#define NOW (60 * JB_SECOND)

static struct jb_zone_entry
ordered (const char *zone, uint64_t version)
{
  return (struct jb_zone_entry){ (char *)zone, true, version };
}

static struct jb_zone_entry
removed (const char *zone, uint64_t version)
{
  return (struct jb_zone_entry){ (char *)zone, false, version };
}

static void
apply (struct jb_zones *zones, jb_time now, struct jb_zone_entry entry)
{
  jb_zones_apply_change (zones, now, &entry);
}

/* An owner that starts tasks before its host has read the table would start
   them in an evacuated zone.  */
static void
test_known_after_reading (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);

  CU_ASSERT_FALSE (jb_zones_are_known (zones));
  jb_zones_apply_changes (zones, NOW, 5, NULL, 0);
  CU_ASSERT_EQUAL (jb_zones_version (zones), 0);
  jb_zones_apply_reading (zones, NOW, 7, NULL, 0);
  CU_ASSERT_TRUE (jb_zones_are_known (zones));
  CU_ASSERT_EQUAL (jb_zones_version (zones), 7);
  CU_ASSERT_EQUAL (jb_zones_count (zones), 0);
  talloc_free (zones);
}

/* A host whose watch failed while the order was removed must not keep the zone
   evacuated for ever, and one that missed the order must learn it.  */
static void
test_reading_replaces_missed_changes (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);
  struct jb_zone_entry entries[] = { ordered ("b", 9) };

  apply (zones, NOW, ordered ("a", 4));
  jb_zones_apply_reading (zones, NOW, 10, entries, 1);
  CU_ASSERT_FALSE (jb_zones_is_evacuated (zones, "a"));
  CU_ASSERT_TRUE (jb_zones_is_evacuated (zones, "b"));
  talloc_free (zones);
}

/* A change that is newer than the beginning of a reading, but was learned from
   a peer before its end, must not be undone by that reading.  */
static void
test_reading_keeps_newer_changes (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);
  struct jb_zone_entry old[] = { ordered ("b", 3) };

  apply (zones, NOW, ordered ("a", 12));
  apply (zones, NOW, removed ("b", 11));
  jb_zones_apply_reading (zones, NOW, 10, old, 1);
  CU_ASSERT_TRUE (jb_zones_is_evacuated (zones, "a"));
  CU_ASSERT_FALSE (jb_zones_is_evacuated (zones, "b"));
  talloc_free (zones);
}

/* A copy of the order that is still on its way from a peer when the order is
   removed must not evacuate the zone again: neither if the removal was seen,
   nor if it happened before this host read the table.  */
static void
test_late_copy_after_removal (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);
  struct jb_zone_entry late[] = { ordered ("a", 4), ordered ("b", 6) };

  jb_zones_apply_reading (zones, NOW, 7, NULL, 0);
  jb_zones_merge (zones, NOW, late, 2);
  CU_ASSERT_EQUAL (jb_zones_count (zones), 0);
  apply (zones, NOW, ordered ("a", 8));
  apply (zones, NOW, removed ("a", 9));
  late[0].version = 8;
  jb_zones_merge (zones, NOW, late, 2);
  CU_ASSERT_FALSE (jb_zones_is_evacuated (zones, "a"));
  talloc_free (zones);
}

/* Order, removal and order again in quick succession, received in any order
   and repeatedly, leave the state of the highest version.  */
static void
test_highest_version_wins (void)
{
  static const uint8_t orders[6][3]
      = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 },
          { 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };
  const struct jb_zone_entry changes[]
      = { ordered ("a", 2), removed ("a", 3), ordered ("a", 4) };

  for (int i = 0; i < 6; i++)
    {
      struct jb_zones *zones = jb_zones_new (NULL);

      for (int j = 0; j < 6; j++)
        apply (zones, NOW, changes[orders[i][j % 3]]);
      CU_ASSERT_TRUE (jb_zones_is_evacuated (zones, "a"));
      CU_ASSERT_EQUAL (jb_zones_at (zones, 0)->entry.version, 4);
      talloc_free (zones);
    }
}

/* A removal that is listed with the version of the row that was removed must
   still have an effect, or the zone would stay empty for ever.  */
static void
test_removal_with_old_version (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);
  struct jb_zone_entry entry = ordered ("a", 4);

  jb_zones_apply_reading (zones, NOW, 6, &entry, 1);
  entry = removed ("a", 4);
  jb_zones_apply_changes (zones, NOW, 9, &entry, 1);
  CU_ASSERT_FALSE (jb_zones_is_evacuated (zones, "a"));
  CU_ASSERT_EQUAL (jb_zones_version (zones), 9);
  entry = ordered ("a", 4);
  jb_zones_merge (zones, NOW, &entry, 1);
  CU_ASSERT_FALSE (jb_zones_is_evacuated (zones, "a"));
  entry = ordered ("a", 10);
  jb_zones_apply_changes (zones, NOW, 10, &entry, 1);
  CU_ASSERT_TRUE (jb_zones_is_evacuated (zones, "a"));
  talloc_free (zones);
}

/* Two orders at once must not replace each other.  */
static void
test_zones_are_independent (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);

  apply (zones, NOW, ordered ("a", 2));
  apply (zones, NOW, ordered ("b", 3));
  apply (zones, NOW, removed ("a", 4));
  CU_ASSERT_FALSE (jb_zones_is_evacuated (zones, "a"));
  CU_ASSERT_TRUE (jb_zones_is_evacuated (zones, "b"));
  CU_ASSERT_FALSE (jb_zones_is_evacuated (zones, "c"));
  talloc_free (zones);
}

/* All cold backend servers of a zone that is taken back must not be filled at
   once.  Zones that were never evacuated have no limit.  */
static void
test_share_after_restoration (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);

  apply (zones, NOW, ordered ("a", 2));
  CU_ASSERT_EQUAL (jb_zones_restored_at (zones, "a"), 0);
  apply (zones, NOW + JB_SECOND, removed ("a", 3));
  apply (zones, NOW + JB_SECOND, removed ("b", 4));
  CU_ASSERT_EQUAL (jb_zones_restored_at (zones, "a"), NOW + JB_SECOND);
  CU_ASSERT_EQUAL (jb_zones_fill_permille (zones, "a", NOW + JB_SECOND), 250);
  CU_ASSERT_EQUAL (jb_zones_fill_permille (zones, "a", NOW + 2 * JB_SECOND),
                   625);
  CU_ASSERT_EQUAL (jb_zones_fill_permille (zones, "a", NOW + 3 * JB_SECOND),
                   1000);
  CU_ASSERT_EQUAL (jb_zones_fill_permille (zones, "b", NOW + JB_SECOND), 1000);
  CU_ASSERT_EQUAL (jb_zones_fill_permille (zones, "c", NOW + JB_SECOND), 1000);
  talloc_free (zones);
}

/* A repeated order must not restart the time since it is known, and only real
   changes count as such for the log.  */
static void
test_repeated_order_is_no_change (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);

  apply (zones, NOW, ordered ("a", 2));
  CU_ASSERT_EQUAL (jb_zones_change (zones), 1);
  apply (zones, NOW + JB_SECOND, ordered ("a", 5));
  CU_ASSERT_EQUAL (jb_zones_change (zones), 1);
  CU_ASSERT_EQUAL (jb_zones_at (zones, 0)->since, NOW);
  CU_ASSERT_EQUAL (jb_zones_at (zones, 0)->entry.version, 5);
  talloc_free (zones);
}

/* Orders for very many zones must not use memory without a bound, and must not
   displace orders that are in force.  */
static void
test_bounded_size (void)
{
  struct jb_zones *zones = jb_zones_new (NULL);
  char name[16];

  for (uint32_t i = 0; i < JB_ZONES_MAX_COUNT; i++)
    {
      snprintf (name, sizeof name, "z-%u", i);
      apply (zones, NOW, ordered (name, i + 1));
    }
  apply (zones, NOW, ordered ("more", 1000));
  CU_ASSERT_FALSE (jb_zones_is_evacuated (zones, "more"));
  apply (zones, NOW, removed ("z-7", 1001));
  apply (zones, NOW, ordered ("more", 1002));
  CU_ASSERT_TRUE (jb_zones_is_evacuated (zones, "more"));
  CU_ASSERT_TRUE (jb_zones_is_evacuated (zones, "z-0"));
  CU_ASSERT_EQUAL (jb_zones_count (zones), JB_ZONES_MAX_COUNT);
  talloc_free (zones);
}

/* The message between hosts must carry all that the receiver compares.  */
static void
test_message (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_zone_entry entries[] = { ordered ("a", 5), removed ("b", 6) };
  struct jb_msg message
      = { .type = JB_MSG_ZONES, .u.zones = { .count = 2, .zones = entries } };
  struct jb_msg *decoded = jb_msg_decode (mem, jb_msg_encode (mem, &message));

  CU_ASSERT_PTR_NOT_NULL_FATAL (decoded);
  if (decoded == NULL)
    return;
  CU_ASSERT_EQUAL (decoded->type, JB_MSG_ZONES);
  CU_ASSERT_EQUAL_FATAL (decoded->u.zones.count, 2);
  CU_ASSERT_STRING_EQUAL (decoded->u.zones.zones[0].zone, "a");
  CU_ASSERT_TRUE (decoded->u.zones.zones[0].evacuated);
  CU_ASSERT_FALSE (decoded->u.zones.zones[1].evacuated);
  CU_ASSERT_EQUAL (decoded->u.zones.zones[1].version, 6);
  talloc_free (mem);
}

/* A host of a version that doesn't know a type of message must drop the
   message, as a host of the previous version does with JB_MSG_ZONES.  */
static void
test_unknown_message (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  uint8_t unknown[] = { JB_MSG_TYPE_COUNT, 0x90 };
  struct ba_bytes bytes = { unknown, sizeof unknown };

  CU_ASSERT_PTR_NULL (jb_msg_decode (mem, bytes));
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "a table is known after a complete reading", test_known_after_reading },
    { "a reading makes up for missed changes",
      test_reading_replaces_missed_changes },
    { "a reading keeps changes that are newer",
      test_reading_keeps_newer_changes },
    { "a late copy of a removed order is ignored",
      test_late_copy_after_removal },
    { "the highest version wins", test_highest_version_wins },
    { "a removal with the version of the removed row",
      test_removal_with_old_version },
    { "orders of two zones are independent", test_zones_are_independent },
    { "the share grows after a zone was taken back",
      test_share_after_restoration },
    { "a repeated order is no change", test_repeated_order_is_no_change },
    { "the table is bounded", test_bounded_size },
    { "the message carries the table", test_message },
    { "an unknown type of message is dropped", test_unknown_message },
    { NULL, NULL }
  };

  return dp_test_main ("evacuated zones", tests);
}
