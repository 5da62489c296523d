/* Tests of starts that nobody knows of any more, since all entry hosts were
   killed, in virtual time.  */

#include "jw_test.h"

enum
{
  SEEDS = 6,
  PHASES = 5, /* of the restart between two lists of backend servers */
  HOSTS = 3
};

#define PHASE_INTERVAL (200 * JB_MS)

/* How late the start is carried out, and for how long its backend server
   answers nothing.  */
#define START_DELAY (10 * JB_SECOND)
#define SILENCE_TIME (5400 * JB_MS)

/* How long the entry hosts are down.  */
#define DOWN_TIME (500 * JB_MS)

/* How long before the late start its backend server restarts.  */
#define RESTART_LEAD (700 * JB_MS)

/* Two runs at the same time: the next owner has started the task elsewhere,
   and doesn't notice in time that a backend server without tasks has
   restarted, which no longer refuses the start.  */
static void
test_restart_before_forgotten_start (void)
{
  for (uint32_t i = 0; i < SEEDS * PHASES; i++)
    {
      struct jw_options options = { .seed = 1 + i / PHASES,
                                    .hosts = HOSTS,
                                    .pools = 1,
                                    .backends = 6,
                                    .backend_cpu_milli = 8000 };
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 8000,
                                    .duration_ms = 16000 };
      struct jw_world *world = jw_create_world (&options);
      struct jw_backend *backend;
      jb_time sent_at;

      jw_advance (world, i % PHASES * PHASE_INTERVAL);
      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                         .delay = START_DELAY };
      jw_submit_job (world, &job);
      for (int ms = 0; ms < 1000 && world->delayed_command.backend == NULL;
           ms++)
        jw_advance (world, JB_MS);
      backend = world->delayed_command.backend;
      CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      sent_at = world->now;
      backend->unreachable = true;
      for (uint32_t j = 0; j < HOSTS; j++)
        jw_host_kill (world, j);
      jw_advance (world, DOWN_TIME);
      for (uint32_t j = 0; j < HOSTS; j++)
        jw_host_start (world, j);
      jw_advance (world, sent_at + SILENCE_TIME - world->now);
      backend->unreachable = false;
      jw_advance (world, sent_at + START_DELAY - RESTART_LEAD - world->now);
      jw_backend_restart (world, backend);
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a restart before a forgotten start",
            test_restart_before_forgotten_start },
          { NULL, NULL } };

  return dp_test_main ("forgotten starts", tests);
}
