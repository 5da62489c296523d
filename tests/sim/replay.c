/* Replays a recorded session of a decision core, by a daemon or a simulation:
   replay FILE

   Exit status 0 if every step gives the recorded actions.  */

#include "co_session.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

int
main (int argc, char **argv)
{
  struct ba_bytes session;
  GError *error = NULL;
  gchar *data;
  gsize len;
  int64_t steps;

  if (argc != 2 || !g_file_get_contents (argv[1], &data, &len, &error))
    {
      fprintf (stderr, "%s\n", error ? error->message : "usage: replay FILE");
      return EXIT_FAILURE;
    }
  session.data = (uint8_t *)data;
  session.len = len;
  steps = co_session_replay (session, &error);
  if (steps < 0)
    {
      fprintf (stderr, "%s: %s\n", argv[1], error->message);
      return EXIT_FAILURE;
    }
  printf ("%s: %" PRId64 " steps give what was recorded\n", argv[1], steps);
  g_free (data);
  return EXIT_SUCCESS;
}
