/* Records the golden sessions that test_golden replays, one file for each:
   record_golden DIRECTORY  */

#include "sim_golden.h"

#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  TALLOC_CTX *mem = talloc_new (NULL);

  if (argc != 2)
    return EXIT_FAILURE;
  for (const struct sim_golden *g = sim_golden_list; g->name != NULL; g++)
    {
      struct ba_bytes session;
      char *file = talloc_asprintf (mem, "%s/%s.session", argv[1], g->name);

      if (!sim_golden_record (mem, g, &session)
          || !g_file_set_contents (file, (const char *)session.data,
                                   (gssize)session.len, NULL))
        return EXIT_FAILURE;
      printf ("%s: %zu bytes\n", file, session.len);
    }
  talloc_free (mem);
  return EXIT_SUCCESS;
}
