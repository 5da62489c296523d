/* Which host claims a partition that nobody owns.

   Expected load: hosts differ fourfold in their share of a processor, and a
   pool of a hundred backend servers needs more than the smallest host has.  */

#include "dp_test.h"
#include "jb_members.h"

#define NOW (60 * JB_SECOND)

static void
ignore_message (void *context, uint64_t member, struct ba_bytes message)
{
  (void)context;
  (void)member;
  (void)message;
}

static void
ignore_members (void *context, const struct jb_member_address *members,
                uint32_t count)
{
  (void)context;
  (void)members;
  (void)count;
}

static void
ignore_log (void *context, enum jb_level level, const char *event,
            const struct jb_log_field *fields, uint32_t count)
{
  (void)context;
  (void)level;
  (void)event;
  (void)fields;
  (void)count;
}

/* Record the number of the newest command; the test replies later that the
   store holds no rows.  */
static void
record_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  uint64_t *last = context;

  (void)command;
  *last = number;
}

static const struct jb_driver_ops driver_ops = { .submit = record_command,
                                                 .send = ignore_message,
                                                 .members = ignore_members,
                                                 .log = ignore_log };

/* Return whether a host with the CPU share OWN_SHARE, in thousandths, that
   owns OWN_OWNERSHIPS partitions claims another one at once, if the only other
   host has OTHER_SHARE and owns OTHER_OWNERSHIPS.  */
static bool
claims (uint32_t own_share, uint32_t own_ownerships, uint32_t other_share,
        uint32_t other_ownerships)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  uint64_t last = 0;
  struct jb_driver *driver = jb_driver_new (mem, &driver_ops, &last);
  struct jb_members_options options = { .driver = driver,
                                        .name = "own",
                                        .address = "10.0.0.1:1",
                                        .zone = "a",
                                        .cpu_share_milli = own_share,
                                        .incarnation = 1 };
  struct jb_members *members = jb_members_new (mem, 0, &options);
  struct jb_msg_ownership held[] = { { "x", 1 }, { "y", 1 }, { "z", 1 } };
  struct jb_msg_heartbeat heartbeat = { .name = "other",
                                        .address = "10.0.0.2:1",
                                        .zone = "b",
                                        .cpu_share_milli = other_share,
                                        .store_reachable = true,
                                        .ownerships = held,
                                        .ownership_count = other_ownerships };
  struct jb_self_status self = { .store_reachable = true };
  struct jb_reply reply = { .result = JB_RESULT_OK };
  bool claim;

  jb_members_receive_heartbeat (members, NOW - 1, 2, &heartbeat);
  (void)jb_members_run (members, NOW - 1, &self);
  for (uint64_t number = 1; number <= last; number++)
    jb_driver_receive_reply (driver, NOW - 1, number, &reply);
  (void)jb_members_should_claim (members, NOW, "part", own_ownerships);
  claim
      = jb_members_should_claim (members, NOW + JB_MS, "part", own_ownerships);
  talloc_free (mem);
  return claim;
}

/* The host with the greater CPU share claims, whatever its name.  */
static void
test_cpu_share (void)
{
  CU_ASSERT (claims (500, 0, 120, 0));
  CU_ASSERT_FALSE (claims (120, 0, 500, 0));
}

/* Partitions that are already owned count: three on half a processor leave
   less per partition than one on a quarter.  */
static void
test_load (void)
{
  CU_ASSERT_FALSE (claims (500, 3, 250, 0));
  CU_ASSERT (claims (250, 0, 500, 3));
  CU_ASSERT_FALSE (claims (250, 1, 250, 0));
}

/* A host that doesn't report its share counts as a whole processor.  */
static void
test_unknown (void)
{
  CU_ASSERT_FALSE (claims (500, 0, 0, 0));
  CU_ASSERT (claims (0, 0, 500, 0));
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "the greater share of a processor", test_cpu_share },
          { "duties that are held count", test_load },
          { "a share that is not known", test_unknown },
          { NULL, NULL } };

  return dp_test_main ("members of jobs", tests);
}
