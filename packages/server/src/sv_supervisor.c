#include "sv_supervisor.h"

#include "ba_clock.h"

#include <glib.h>
#include <stdatomic.h>

enum
{
  MAX_THREAD_COUNT = 16,
  MAX_RESTART_COUNT = 5 /* of one thread in restart_window_us */
};

static const int64_t restart_window_us = 60 * 1000000LL;
static const int64_t heartbeat_timeout_us = 30 * 1000000LL;

/* A longer time between two checks means that the whole process was paused. */
static const int64_t max_check_interval_us = 5 * 1000000LL;

struct supervised_thread
{
  struct sv_thread_options options;
  GThread *handle; /* NULL: not running */
  _Atomic int64_t last_heartbeat_us;
  _Atomic bool returned;  /* the main function has returned */
  unsigned restart_count; /* since window_start_us */
  int64_t window_start_us;
};

struct sv_supervisor
{
  struct supervised_thread threads[MAX_THREAD_COUNT];
  unsigned count; /* of threads */
  int64_t last_check_us;
};

static void
record_heartbeat (void *context)
{
  struct supervised_thread *thread = context;

  atomic_store (&thread->last_heartbeat_us, ba_clock_now_us ());
}

static gpointer
run_thread (gpointer data)
{
  struct supervised_thread *thread = data;

  thread->options.run (thread->options.context, record_heartbeat, thread);
  atomic_store (&thread->returned, true);
  return NULL;
}

static void
start_thread (struct supervised_thread *thread)
{
  atomic_store (&thread->returned, false);
  record_heartbeat (thread);
  thread->handle = g_thread_new (thread->options.name, run_thread, thread);
}

struct sv_supervisor *
sv_supervisor_new (TALLOC_CTX *mem)
{
  return talloc_zero (mem, struct sv_supervisor);
}

void
sv_supervisor_add (struct sv_supervisor *supervisor,
                   const struct sv_thread_options *options)
{
  g_assert (supervisor->count < MAX_THREAD_COUNT);
  supervisor->threads[supervisor->count++].options = *options;
}

void
sv_supervisor_start (struct sv_supervisor *supervisor)
{
  for (unsigned i = 0; i < supervisor->count; i++)
    start_thread (&supervisor->threads[i]);
}

/* Start THREAD again after its main function has returned.  Return false,
   without starting it, when it has been restarted too often.  */
static bool
restart_thread (struct supervised_thread *thread, int64_t now)
{
  g_thread_join (thread->handle);
  thread->handle = NULL;
  if (now - thread->window_start_us > restart_window_us)
    {
      thread->window_start_us = now;
      thread->restart_count = 0;
    }
  if (++thread->restart_count > MAX_RESTART_COUNT)
    return false;
  start_thread (thread);
  return true;
}

const char *
sv_supervisor_check (struct sv_supervisor *supervisor)
{
  int64_t now = ba_clock_now_us ();
  bool paused = now - supervisor->last_check_us > max_check_interval_us;

  supervisor->last_check_us = now;
  for (unsigned i = 0; i < supervisor->count; i++)
    {
      struct supervised_thread *thread = &supervisor->threads[i];

      /* No thread could send a heartbeat while the process was paused.  */
      if (paused)
        record_heartbeat (thread);
      if (atomic_load (&thread->returned))
        {
          if (!restart_thread (thread, now))
            return thread->options.name;
        }
      else if (now - atomic_load (&thread->last_heartbeat_us)
               > heartbeat_timeout_us)
        return thread->options.name;
    }
  return NULL;
}

void
sv_supervisor_stop (struct sv_supervisor *supervisor)
{
  for (unsigned i = supervisor->count; i-- > 0;)
    {
      struct supervised_thread *thread = &supervisor->threads[i];

      if (thread->handle == NULL)
        continue;
      thread->options.stop (thread->options.context);
      g_thread_join (thread->handle);
      thread->handle = NULL;
    }
}
