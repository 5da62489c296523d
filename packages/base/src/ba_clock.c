#include "ba_clock.h"

#include <glib.h>
#include <time.h>

int64_t
ba_clock_now_us (void)
{
  struct timespec now;
  int status = clock_gettime (CLOCK_BOOTTIME, &now);

  g_assert (status == 0);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}
