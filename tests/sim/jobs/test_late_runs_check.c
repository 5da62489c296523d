/* Tests of the emulator's check of runs that backend servers start late, after
   their job was cancelled.  The entry hosts are stubs that stop nothing.  */

#include "jw_test.h"

#include <stdio.h>

/* Longest time that such a run may last: the checks' bound for finding it and
   for stopping it, and the interval between two checks.  */
#define MAX_LATE_RUN_TIME (3540 * JB_MS)

/* Time at which the simulation begins; 0 would mean that a job was never
   cancelled.  */
#define FIRST_TIME (1000 * JB_SECOND)

static jb_time
wait_until (void *context, jb_time until)
{
  (void)context;
  return MAX (until, FIRST_TIME);
}

static void
start_host (void *context, uint32_t index)
{
  (void)context;
  (void)index;
}

static void
signal_host (void *context, uint32_t index, int signal_number)
{
  (void)context;
  (void)index;
  (void)signal_number;
}

static void
send_call (void *context, uint64_t number, uint32_t index,
           const struct jb_call *call)
{
  (void)context;
  (void)number;
  (void)index;
  (void)call;
}

static void
deliver_reply (void *context, uint64_t number, const struct jb_reply *reply)
{
  (void)context;
  (void)number;
  (void)reply;
}

static const struct jw_external_hosts stub_hosts
    = { .wait_until = wait_until,
        .start_host = start_host,
        .signal_host = signal_host,
        .send_call = send_call,
        .deliver_reply = deliver_reply };

/* A cancelled job and a backend server.  */
struct scene
{
  struct jw_world *world;
  struct jw_backend *backend;
  char task[64];
};

static void
execute (const struct scene *scene, struct jb_command *command)
{
  struct jb_reply reply = { 0 };

  command->backend
      = (struct jb_backend_target){ .address = scene->backend->address,
                                    .instance = scene->backend->instance };
  jw_backend_execute (scene->world, command, &reply);
  CU_ASSERT_EQUAL (reply.result, JB_RESULT_OK);
}

/* Create SCENE and start the task of the cancelled job, LATE or not, with a
   lease that outlasts the longest time of a late run.  */
static void
create_scene (struct scene *scene, jb_time cancelled_ago, bool late)
{
  const struct jw_options options = { .seed = 1,
                                      .hosts = 1,
                                      .pools = 1,
                                      .backends = 1,
                                      .backend_cpu_milli = 8000,
                                      .external_hosts = &stub_hosts };
  const struct jw_job_options job = { .step_count = 1,
                                      .tasks_per_step = 1,
                                      .cpu_milli = 1000,
                                      .duration_ms = 20000 };
  struct jb_command start = { .kind = JB_COMMAND_START_TASK };
  struct jw_job *cancelled;
  const char *id;

  scene->world = jw_world_new (&options);
  scene->world->last_writers[0] = 0;
  scene->backend = jw_find_backend (scene->world, 0, 0);
  id = jw_submit_job (scene->world, &job);
  cancelled = jw_find_job (scene->world, id);
  cancelled->cancelled_at = scene->world->now;
  snprintf (scene->task, sizeof scene->task, "%s.0.0.0", id);
  jw_advance (scene->world, cancelled_ago);
  start.u.start_task = (struct jb_command_start_task){
    .task = scene->task,
    .run = 1,
    .spec = cancelled->desc->spec,
    .lease_until_ms = INT64_MAX,
  };
  scene->world->delivering_delayed_command = late;
  execute (scene, &start);
  scene->world->delivering_delayed_command = false;
  CU_ASSERT_EQUAL (scene->backend->runs->len, 1);
}

/* Assert that WORLD has seen COUNT violations, UNASKED if any, and free it. */
static void
assert_unasked_and_free (struct jw_world *world, uint32_t count)
{
  CU_ASSERT_EQUAL (world->violations, count);
  if (count > 0)
    CU_ASSERT (g_str_has_prefix (world->first_violation, "UNASKED"));
  jw_world_free (world);
}

/* A late run that nobody stops must be reported, within its bound.  */
static void
test_late_run_not_stopped (void)
{
  struct scene scene;

  create_scene (&scene, 10 * JB_SECOND, true);
  CU_ASSERT_EQUAL (scene.world->violations, 0);
  jw_advance (scene.world, MAX_LATE_RUN_TIME);
  assert_unasked_and_free (scene.world, 1);
}

/* A start that is not late must be reported at once, and not within the time
   that the cancellation may take.  */
static void
test_start_in_time (void)
{
  struct scene scene;

  create_scene (&scene, 3001 * JB_MS, false);
  assert_unasked_and_free (scene.world, 1);
  create_scene (&scene, 3000 * JB_MS, false);
  assert_unasked_and_free (scene.world, 0);
}

/* A late run that is stopped in time must not be reported.  */
static void
test_late_run_stopped (void)
{
  struct scene scene;
  struct jb_command stop = { .kind = JB_COMMAND_STOP_TASK };

  create_scene (&scene, 10 * JB_SECOND, true);
  jw_advance (scene.world, 3 * JB_SECOND);
  stop.u.stop_task
      = (struct jb_command_stop_task){ .task = scene.task, .run = 1 };
  execute (&scene, &stop);
  jw_advance (scene.world, 3 * JB_SECOND);
  assert_unasked_and_free (scene.world, 0);
}

/* The bound counts from the end of a cut, and is not dropped for it.  */
static void
test_late_run_behind_cut (void)
{
  struct scene scene;

  create_scene (&scene, 10 * JB_SECOND, true);
  scene.backend->unreachable = true;
  jw_advance (scene.world, JB_SECOND);
  scene.backend->unreachable = false;
  jw_advance (scene.world, MAX_LATE_RUN_TIME - JB_SECOND);
  CU_ASSERT_EQUAL (scene.world->violations, 0);
  jw_advance (scene.world, JB_SECOND);
  assert_unasked_and_free (scene.world, 1);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late run that is not stopped", test_late_run_not_stopped },
          { "a start that is not late", test_start_in_time },
          { "a late run that is stopped", test_late_run_stopped },
          { "a late run behind a cut", test_late_run_behind_cut },
          { NULL, NULL } };

  return dp_test_main ("the check of late runs", tests);
}
