/* Test of the requests for a newer configuration.

   Expected load: a version that a few of hundreds of hosts have at once, and
   copies that take seconds over the receiver's link.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "jb_catalog_fetch.h"

#define NOW (60 * JB_SECOND)

enum
{
  OWN_INCARNATION = 1,
  FIRST_MEMBER = 2 /* incarnation of the first other member */
};

static const struct jb_driver_ops driver_ops = { .submit = ignore_command,
                                                 .set_members = ignore_members,
                                                 .log = ignore_log };

static struct jb_members *
create_members (TALLOC_CTX *mem)
{
  struct jb_members_options options
      = { .driver = jb_driver_new (mem, &driver_ops, NULL),
          .name = "own",
          .address = "10.0.0.1:1",
          .zone = "a",
          .incarnation = OWN_INCARNATION };

  return jb_members_new (mem, 0, &options);
}

/* Let the member with INCARNATION report VERSION at NOW.  */
static void
report_version (struct jb_members *members, jb_time now, uint64_t incarnation,
                uint64_t version, bool stopping)
{
  char name[24];
  struct jb_msg_heartbeat heartbeat = { .name = name,
                                        .address = "10.0.0.2:1",
                                        .zone = "a",
                                        .stopping = stopping,
                                        .catalog_version = version };

  g_snprintf (name, sizeof name, "host-%u", (unsigned)incarnation);
  (void)jb_members_receive_heartbeat (members, now, now, incarnation,
                                      &heartbeat);
}

/* A copy takes longer than the time between two requests: however many members
   have the newer version, few copies are requested.  */
static void
test_copies_from_all_members (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_members *members = create_members (mem);
  struct jb_catalog_fetch fetch = { 0 };
  uint32_t requests = 0;
  jb_time first = 0;

  for (jb_time at = 0; at < 30 * JB_SECOND; at += 50 * JB_MS)
    {
      for (uint64_t i = 0; i < 30; i++)
        report_version (members, NOW + at, FIRST_MEMBER + i, 7, false);
      if (jb_catalog_fetch_choose (&fetch, NOW + at, members, OWN_INCARNATION,
                                   6)
          == NULL)
        continue;
      if (requests++ == 0)
        first = at;
    }
  CU_ASSERT_EQUAL (first, 400 * JB_MS);
  /* After 0.4, 1.4, 3.4, 7.4, 15.4 and 23.4 s.  */
  CU_ASSERT_EQUAL (requests, 6);
  talloc_free (mem);
}

/* Return the incarnation of the member that the host OWN, with version 6, asks
   at NOW, or 0 if it asks none.  */
static uint64_t
choose (struct jb_catalog_fetch *fetch, jb_time now,
        const struct jb_members *members, uint64_t own)
{
  const struct jb_member *member
      = jb_catalog_fetch_choose (fetch, now, members, own, 6);

  return member != NULL ? member->incarnation : 0;
}

static void
test_choice_of_member (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_members *members = create_members (mem);
  struct jb_catalog_fetch fetch = { 0 };

  report_version (members, NOW, FIRST_MEMBER, 7, false);
  report_version (members, NOW, FIRST_MEMBER + 1, 8, false);
  report_version (members, NOW, FIRST_MEMBER + 2, 8, true);
  report_version (members, NOW, FIRST_MEMBER + 3, 6, false);
  CU_ASSERT_EQUAL (choose (&fetch, NOW, members, OWN_INCARNATION), 0);
  CU_ASSERT_EQUAL (
      choose (&fetch, NOW + 400 * JB_MS, members, OWN_INCARNATION),
      FIRST_MEMBER + 1);
  report_version (members, NOW + JB_SECOND, FIRST_MEMBER + 1, 8, false);
  report_version (members, NOW + JB_SECOND, FIRST_MEMBER + 4, 8, false);
  CU_ASSERT_EQUAL (
      choose (&fetch, NOW + 1400 * JB_MS, members, OWN_INCARNATION),
      FIRST_MEMBER + 4);
  /* Nothing newer is known: the requests begin anew.  */
  CU_ASSERT_PTR_NULL (jb_catalog_fetch_choose (&fetch, NOW + 3400 * JB_MS,
                                               members, OWN_INCARNATION, 8));
  CU_ASSERT_EQUAL (fetch.request_count, 0);
  talloc_free (mem);
}

/* The requests of many hosts go to several members.  */
static void
test_spread (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_members *members = create_members (mem);
  uint32_t counts[6] = { 0 };

  for (uint64_t i = 0; i < G_N_ELEMENTS (counts); i++)
    report_version (members, NOW, FIRST_MEMBER + i, 7, false);
  for (uint64_t own = 1000; own < 1060; own++)
    {
      struct jb_catalog_fetch fetch = { 0 };
      uint64_t asked;

      CU_ASSERT_EQUAL (choose (&fetch, NOW, members, own), 0);
      asked = choose (&fetch, NOW + 400 * JB_MS, members, own);
      for (uint64_t i = 0; i < G_N_ELEMENTS (counts); i++)
        counts[i] += asked == FIRST_MEMBER + i;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    CU_ASSERT (counts[i] > 0 && counts[i] <= 20);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "copies of a configuration from all members at once",
            test_copies_from_all_members },
          { "the member that is asked", test_choice_of_member },
          { "the requests of many hosts are spread", test_spread },
          { NULL, NULL } };

  return dp_test_main ("requests for a configuration", tests);
}
