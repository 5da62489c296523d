#include "sv_supervisor.h"

#include "ba_clock.h"

#include <glib.h>
#include <stdatomic.h>

enum
{
  MAX_CHILDREN = 16,
  MAX_RESTARTS = 5 /* in RESTART_WINDOW */
};

static const int64_t restart_window = 60 * 1000000LL; /* microseconds */
static const int64_t longest_silence = 30 * 1000000LL;
static const int64_t pause_gap = 5 * 1000000LL; /* between two watches */

struct child
{
  struct sv_thread_options options;
  GThread *thread;
  _Atomic int64_t beat;  /* time of the last heartbeat */
  _Atomic bool returned; /* the run function has ended */
  unsigned restarts;
  int64_t window_start;
};

struct sv_supervisor
{
  struct child children[MAX_CHILDREN];
  unsigned count;
  int64_t last_watch;
};

static void
take_beat (void *context)
{
  struct child *child = context;

  atomic_store (&child->beat, ba_clock_now_us ());
}

static gpointer
child_main (gpointer data)
{
  struct child *child = data;

  child->options.run (child->options.context, take_beat, child);
  atomic_store (&child->returned, true);
  return NULL;
}

static void
start_child (struct child *child)
{
  atomic_store (&child->returned, false);
  take_beat (child);
  child->thread = g_thread_new (child->options.name, child_main, child);
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
  g_assert (supervisor->count < MAX_CHILDREN);
  supervisor->children[supervisor->count++].options = *options;
}

void
sv_supervisor_start (struct sv_supervisor *supervisor)
{
  for (unsigned i = 0; i < supervisor->count; i++)
    start_child (&supervisor->children[i]);
}

/* Start CHILD, which returned unasked, again.  Return false when that has
   happened too often.  */
static bool
restart (struct child *child, int64_t now)
{
  g_thread_join (child->thread);
  child->thread = NULL;
  if (now - child->window_start > restart_window)
    {
      child->window_start = now;
      child->restarts = 0;
    }
  if (++child->restarts > MAX_RESTARTS)
    return false;
  start_child (child);
  return true;
}

const char *
sv_supervisor_check (struct sv_supervisor *supervisor)
{
  int64_t now = ba_clock_now_us ();
  bool paused = now - supervisor->last_watch > pause_gap;

  supervisor->last_watch = now;
  for (unsigned i = 0; i < supervisor->count; i++)
    {
      struct child *child = &supervisor->children[i];

      /* After a pause of the whole process nobody's silence counts.  */
      if (paused)
        take_beat (child);
      if (atomic_load (&child->returned))
        {
          if (!restart (child, now))
            return child->options.name;
        }
      else if (now - atomic_load (&child->beat) > longest_silence)
        return child->options.name;
    }
  return NULL;
}

void
sv_supervisor_stop (struct sv_supervisor *supervisor)
{
  for (unsigned i = supervisor->count; i-- > 0;)
    {
      struct child *child = &supervisor->children[i];

      if (child->thread == NULL)
        continue;
      child->options.stop (child->options.context);
      g_thread_join (child->thread);
      child->thread = NULL;
    }
}
