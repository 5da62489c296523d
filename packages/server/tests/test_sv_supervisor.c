/* Tests of the supervisor of threads.  They guard against threads that are not
   started or not stopped, and against a thread that is restarted forever
   although it returns at once.  */

#include "sv_supervisor.h"

#include "dp_test.h"

#include <glib.h>
#include <stdatomic.h>
#include <string.h>

struct test_thread
{
  _Atomic int start_count;
  _Atomic bool stop;
  bool returns_at_once; /* without having been told to stop */
};

static void
run_thread (void *context, void (*heartbeat) (void *), void *heartbeat_context)
{
  struct test_thread *thread = context;

  atomic_fetch_add (&thread->start_count, 1);
  while (!atomic_load (&thread->stop) && !thread->returns_at_once)
    {
      heartbeat (heartbeat_context);
      g_usleep (1000);
    }
}

static void
stop_thread (void *context)
{
  struct test_thread *thread = context;

  atomic_store (&thread->stop, true);
}

static void
test_start_and_stop (void)
{
  struct test_thread a = { 0 };
  struct test_thread b = { 0 };
  struct sv_supervisor *supervisor = sv_supervisor_new (NULL);

  sv_supervisor_add (supervisor, &(struct sv_thread_options){
                                     "a", run_thread, stop_thread, &a });
  sv_supervisor_add (supervisor, &(struct sv_thread_options){
                                     "b", run_thread, stop_thread, &b });
  sv_supervisor_start (supervisor);
  while (atomic_load (&a.start_count) + atomic_load (&b.start_count) < 2)
    g_usleep (1000);
  CU_ASSERT_PTR_NULL (sv_supervisor_check (supervisor));
  sv_supervisor_stop (supervisor);
  CU_ASSERT_EQUAL (atomic_load (&a.start_count), 1);
  CU_ASSERT_EQUAL (atomic_load (&b.start_count), 1);
  talloc_free (supervisor);
}

/* The supervisor names the thread when it has used up its restarts.  */
static void
test_restart_limit (void)
{
  struct test_thread thread = { .returns_at_once = true };
  struct sv_supervisor *supervisor = sv_supervisor_new (NULL);
  const char *failed = NULL;

  sv_supervisor_add (supervisor,
                     &(struct sv_thread_options){ "crash", run_thread,
                                                  stop_thread, &thread });
  sv_supervisor_start (supervisor);
  for (int i = 0; i < 5000 && failed == NULL; i++)
    {
      g_usleep (1000);
      failed = sv_supervisor_check (supervisor);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (failed);
  CU_ASSERT_STRING_EQUAL (failed, "crash");
  CU_ASSERT_EQUAL (atomic_load (&thread.start_count),
                   6); /* the start and 5 restarts */
  sv_supervisor_stop (supervisor);
  talloc_free (supervisor);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "all threads are started and stopped", test_start_and_stop },
          { "restarts of a thread are limited", test_restart_limit },
          { NULL, NULL } };

  return dp_test_main ("sv_supervisor", tests);
}
