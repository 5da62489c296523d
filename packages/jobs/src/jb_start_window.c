#include "jb_start_window.h"

#include <glib.h>

/* Bounds of the limit.  Without late starts it stays at the upper one.  */
#define MIN_LIMIT 8
#define MAX_LIMIT 256

uint32_t
jb_start_window_room (const struct jb_start_window *window)
{
  uint32_t limit = window->limit > 0 ? (uint32_t)window->limit : MAX_LIMIT;

  return limit > window->in_flight ? limit - window->in_flight : 0;
}

void
jb_start_window_add (struct jb_start_window *window)
{
  window->in_flight++;
}

void
jb_start_window_remove (struct jb_start_window *window, jb_time now,
                        jb_time sent_at, bool is_late)
{
  double limit = window->limit > 0 ? window->limit : MAX_LIMIT;

  if (!is_late)
    window->limit = MIN (limit + 1 / limit, MAX_LIMIT);
  else if (window->reduced_at == 0 || sent_at > window->reduced_at)
    {
      window->limit = MAX (MIN (limit, window->in_flight) / 2, MIN_LIMIT);
      window->reduced_at = now;
    }
  window->in_flight--;
}
