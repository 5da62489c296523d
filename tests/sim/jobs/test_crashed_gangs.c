/* Tests of gangs whose backend servers crash, in virtual time.  */

#include "jw_test.h"

/* All members of a gang run on one backend server, which crashes soon after
   their start.  There are fewer backend servers than members, so the members
   must be able to start beside each other again.  */
static void
test_gang_larger_than_pool (void)
{
  struct jw_options options = {
    .seed = 1, .hosts = 3, .pools = 1, .backends = 2, .backend_cpu_milli = 8000
  };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 5,
                                .cpu_milli = 1000,
                                .duration_ms = 1200,
                                .gang = true };
  struct jw_backend *backend;

  jw_submit_job (world, &job);
  jw_advance (world, 100 * JB_MS);
  for (uint32_t i = 0; i < options.backends; i++)
    {
      backend = jw_find_backend (world, 0, i);
      if (backend != NULL && backend->runs->len > 0)
        jw_backend_restart (world, backend);
    }
  jw_advance (world, 30 * JB_SECOND);
  jw_check_and_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a gang with more members than backend servers",
            test_gang_larger_than_pool },
          { NULL, NULL } };

  return dp_test_main ("gangs and crashes", tests);
}
