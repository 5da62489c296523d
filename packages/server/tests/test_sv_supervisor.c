#include "sv_supervisor.h"

#include "dp_test.h"

#include <glib.h>
#include <stdatomic.h>
#include <string.h>

struct duty
{
  _Atomic int starts;
  _Atomic bool stop;
  bool crashes; /* returns unasked */
};

static void
run (void *context, void (*heartbeat) (void *), void *heartbeat_context)
{
  struct duty *duty = context;

  atomic_fetch_add (&duty->starts, 1);
  while (!atomic_load (&duty->stop) && !duty->crashes)
    {
      heartbeat (heartbeat_context);
      g_usleep (1000);
    }
}

static void
stop (void *context)
{
  struct duty *duty = context;

  atomic_store (&duty->stop, true);
}

static void
test_start_and_stop (void)
{
  struct duty a = { 0 };
  struct duty b = { 0 };
  struct sv_supervisor *s = sv_supervisor_new (NULL);

  sv_supervisor_add (s, &(struct sv_thread_options){ "a", run, stop, &a });
  sv_supervisor_add (s, &(struct sv_thread_options){ "b", run, stop, &b });
  sv_supervisor_start (s);
  while (atomic_load (&a.starts) + atomic_load (&b.starts) < 2)
    g_usleep (1000);
  CU_ASSERT_PTR_NULL (sv_supervisor_check (s));
  sv_supervisor_stop (s);
  CU_ASSERT_EQUAL (atomic_load (&a.starts), 1);
  CU_ASSERT_EQUAL (atomic_load (&b.starts), 1);
  talloc_free (s);
}

static void
test_restart_until_too_often (void)
{
  struct duty a = { .crashes = true };
  struct sv_supervisor *s = sv_supervisor_new (NULL);
  const char *failed = NULL;

  sv_supervisor_add (s, &(struct sv_thread_options){ "crash", run, stop, &a });
  sv_supervisor_start (s);
  for (int i = 0; i < 5000 && failed == NULL; i++)
    {
      g_usleep (1000);
      failed = sv_supervisor_check (s);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (failed);
  CU_ASSERT_STRING_EQUAL (failed, "crash");
  CU_ASSERT_EQUAL (atomic_load (&a.starts), 6);
  sv_supervisor_stop (s);
  talloc_free (s);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "start and stop", test_start_and_stop },
          { "restart until too often", test_restart_until_too_often },
          { NULL, NULL } };

  return dp_test_main ("sv_supervisor", tests);
}
