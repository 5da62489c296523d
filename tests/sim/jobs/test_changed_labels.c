/* Tests of backend servers that restart under their instance names with other
   labels, in virtual time.

   Expected load: a backend server of another kind now and then.  */

#include "jw_test.h"

enum
{
  SEEDS = 6,
  BACKENDS = 4
};

/* Time until an entry host has read the list of backend servers again.  */
#define LIST_TIME (2 * JB_SECOND)

/* Return a new simulation.  Half of its backend servers have label "a", the
   others none.  */
static struct jw_world *
create_world (uint32_t seed)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 3,
                                .pools = 1,
                                .backends = BACKENDS,
                                .backend_cpu_milli = 8000 };
  struct jw_world *world = jw_world_new (&options);

  for (uint32_t i = 0; i < BACKENDS / 2; i++)
    jw_find_backend (world, 0, i)->label = "a";
  jw_advance (world, 4 * JB_SECOND);
  return world;
}

/* Submit a job that requires LABEL.  */
static const char *
submit (struct jw_world *world, const char *label)
{
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 2,
                                .cpu_milli = 4000,
                                .duration_ms = 1000,
                                .required_label = label };

  return jw_submit_job (world, &job);
}

/* LOST: a job waits for a label that a backend server has had since its
   restart, also after a change of the owner, whose roster has the old one.  */
static void
test_new_label (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_world *world = create_world (seed);
      struct jw_backend *backend = jw_find_backend (world, 0, 0);

      submit (world, NULL); /* so that it is in the roster */
      jw_advance (world, JB_SECOND);
      backend->label = "b";
      jw_backend_restart (world, backend);
      jw_advance (world, LIST_TIME);
      submit (world, "b");
      jw_advance (world, 3 * JB_SECOND);
      jw_query_all_jobs (world);
      jw_advance (world, JB_SECOND);
      CU_ASSERT (jw_have_all_jobs_settled (world));
      jw_host_kill (world, (uint32_t)jw_pool_owner (world, 0));
      jw_advance (world, 8 * JB_SECOND);
      submit (world, "b");
      jw_advance (world, 5 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* ROUTE: a backend server that has lost a label still gets tasks that require
   it.  */
static void
test_lost_label (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_world *world = create_world (seed);
      struct jw_backend *backend = jw_find_backend (world, 0, 0);

      backend->label = "b";
      jw_backend_restart (world, backend);
      jw_advance (world, LIST_TIME);
      for (uint32_t i = 0; i < BACKENDS; i++)
        {
          submit (world, "a");
          jw_advance (world, 50 * JB_MS);
        }
      jw_advance (world, 8 * JB_SECOND);
      CU_ASSERT_EQUAL (backend->last_end_number, 0);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a label since the restart", test_new_label },
          { "a label until the restart", test_lost_label },
          { NULL, NULL } };

  return dp_test_main ("changed labels", tests);
}
