#include "ba_memory.h"

#include <stddef.h>

/* jemalloc's; NULL in programs that aren't linked with it.  */
extern int mallctl (const char *name, void *old, size_t *old_len, void *new,
                    size_t new_len) __attribute__ ((weak));

void
ba_memory_return_freed (void)
{
  /* 4096 stands for all arenas (MALLCTL_ARENAS_ALL).  */
  if (mallctl != NULL)
    mallctl ("arena.4096.decay", NULL, NULL, NULL, 0);
}
