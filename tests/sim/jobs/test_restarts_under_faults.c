/* Tests of backend servers that restart under their instance names again and
   again, while commands to them are carried out up to 12 s late, under random
   load and faults in virtual time.  */

#include "jw_test.h"

/* Random faults and late commands.  */
static void
test_restarts_under_random_faults (void)
{
  for (uint32_t seed = 1; seed <= 12; seed++)
    {
      struct jw_soak soak = { .seed = seed, .restart_backends = true };

      jw_assert_soak (&soak);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "restarts under random faults",
            test_restarts_under_random_faults },
          { NULL, NULL } };

  return dp_test_main ("restarts under random faults", tests);
}
