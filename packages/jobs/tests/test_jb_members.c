/* Who claims a duty that nobody holds.

   Load that this answers: hosts differ fourfold in their share of a processor,
   and a pool of a hundred backend servers needs more than the least has.  */

#include "dp_test.h"
#include "jb_members.h"

#define LATER (60 * JB_SECOND)

static void
send_nothing (void *context, uint64_t member, struct ba_bytes message)
{
  (void)context;
  (void)member;
  (void)message;
}

static void
reach_nobody (void *context, const struct jb_member_address *members,
              uint32_t count)
{
  (void)context;
  (void)members;
  (void)count;
}

static void
log_nothing (void *context, enum jb_level level, const char *event,
             const struct jb_log_field *fields, uint32_t count)
{
  (void)context;
  (void)level;
  (void)event;
  (void)fields;
  (void)count;
}

/* The store holds no rows.  */
static void
submit_empty (void *context, uint64_t number, const struct jb_command *order)
{
  uint64_t *last = context;

  (void)order;
  *last = number;
}

static const struct jb_driver_ops effects = { .submit = submit_empty,
                                              .send = send_nothing,
                                              .members = reach_nobody,
                                              .log = log_nothing };

/* Return whether a host with the share OWN and LOAD duties claims a part at
   once, beside one with the share OTHER and as many duties as DUTIES.  */
static bool
claims (uint32_t own, uint32_t load, uint32_t other, uint32_t duties)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  uint64_t last = 0;
  struct jb_driver *out = jb_driver_new (mem, &effects, &last);
  struct jb_members_options options = { .driver = out,
                                        .name = "own",
                                        .address = "10.0.0.1:1",
                                        .zone = "a",
                                        .cpu_share_milli = own,
                                        .incarnation = 1 };
  struct jb_members *members = jb_members_new (mem, 0, &options);
  struct jb_msg_ownership held[] = { { "x", 1 }, { "y", 1 }, { "z", 1 } };
  struct jb_msg_heartbeat beat = { .name = "other",
                                   .address = "10.0.0.2:1",
                                   .zone = "b",
                                   .cpu_share_milli = other,
                                   .store_reachable = true,
                                   .ownerships = held,
                                   .ownership_count = duties };
  struct jb_self_status self = { .store_reachable = true };
  struct jb_reply reply = { .result = JB_RESULT_OK };
  bool claim;

  jb_members_receive_heartbeat (members, LATER - 1, 2, &beat);
  (void)jb_members_run (members, LATER - 1, &self);
  for (uint64_t number = 1; number <= last; number++)
    jb_driver_receive_reply (out, LATER - 1, number, &reply);
  (void)jb_members_should_claim (members, LATER, "part", load);
  claim = jb_members_should_claim (members, LATER + JB_MS, "part", load);
  talloc_free (mem);
  return claim;
}

/* The host with the greater share goes first, whatever its name.  */
static void
test_processor (void)
{
  CU_ASSERT (claims (500, 0, 120, 0));
  CU_ASSERT_FALSE (claims (120, 0, 500, 0));
}

/* What it holds already counts: three duties on half a processor leave less
   than one on a quarter.  */
static void
test_load (void)
{
  CU_ASSERT_FALSE (claims (500, 3, 250, 0));
  CU_ASSERT (claims (250, 0, 500, 3));
  CU_ASSERT_FALSE (claims (250, 1, 250, 0));
}

/* One that does not say counts as a whole processor.  */
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
      = { { "the greater share of a processor", test_processor },
          { "duties that are held count", test_load },
          { "a share that is not known", test_unknown },
          { NULL, NULL } };

  return dp_test_main ("members of jobs", tests);
}
