/* Stand-in for backend servers: runs what it is sent and keeps count.

   Usage: standin_backend NAME ADDRESS SERVICE_MS

   The request header Standin-Do asks for trouble: close-before, close-after
   (run it, then close without an answer), cut (close in mid-body), status-N,
   size-N, chunked-N, sleep-N (milliseconds).  GET /standin/runs lists how
   often each request identity was run, and the most that ran at once.  */

#include "standin_http.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static GMutex lock;
static GHashTable *runs; /* identity -> count */
static unsigned total, running, most;
static const char *name;
static unsigned service_ms;

/* Return N when WISH is PREFIX followed by a number N, else -1.  */
static long
wish_number (const char *wish, const char *prefix)
{
  if (strncmp (wish, prefix, strlen (prefix)) != 0)
    return -1;
  return atol (wish + strlen (prefix));
}

static void
begin_run (const char *identity)
{
  g_mutex_lock (&lock);
  total++;
  running++;
  if (running > most)
    most = running;
  if (*identity != '\0')
    {
      gpointer count = g_hash_table_lookup (runs, identity);

      g_hash_table_replace (runs, g_strdup (identity),
                            GUINT_TO_POINTER (GPOINTER_TO_UINT (count) + 1));
    }
  g_mutex_unlock (&lock);
}

static void
end_run (void)
{
  g_mutex_lock (&lock);
  running--;
  g_mutex_unlock (&lock);
}

static void
list_runs (struct standin_response *answer)
{
  json_t *list = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer count;
  json_t *root;

  g_mutex_lock (&lock);
  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &key, &count))
    json_object_set_new (list, key, json_integer (GPOINTER_TO_UINT (count)));
  root = json_pack ("{s:s,s:i,s:i,s:o}", "host", name, "total", (int)total,
                    "most", (int)most, "runs", list);
  g_mutex_unlock (&lock);
  answer->status = 200;
  answer->content_type = "application/json";
  answer->body = json_dumps (root, JSON_COMPACT);
  answer->body_len = strlen (answer->body);
  json_decref (root);
}

struct source
{
  size_t size;
  size_t cut_at; /* end with an error there; 0: never */
};

/* Content reader: the letters of the alphabet over and over.  */
static ssize_t
read_source (void *context, uint64_t position, char *buffer, size_t max)
{
  struct source *source = context;
  size_t left;

  if (source->cut_at != 0 && position >= source->cut_at)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (position >= source->size)
    return MHD_CONTENT_READER_END_OF_STREAM;
  left = source->size - position;
  if (left > max)
    left = max;
  for (size_t i = 0; i < left; i++)
    buffer[i] = (char)('a' + (position + i) % 26);
  return (ssize_t)left;
}

static void
answer_large (struct standin_response *answer, size_t size, bool chunked,
              bool cut)
{
  struct source *source = calloc (1, sizeof *source);

  source->size = size;
  source->cut_at = cut ? size / 2 + 1 : 0;
  answer->status = 200;
  answer->content_type = "application/octet-stream";
  answer->mhd_response = MHD_create_response_from_callback (
      chunked ? MHD_SIZE_UNKNOWN : size, 65536, read_source, source, free);
}

static void
answer_small (const struct standin_request *request,
              struct standin_response *answer, unsigned status)
{
  json_t *root
      = json_pack ("{s:s,s:s,s:s,s:i}", "host", name, "path", request->path,
                   "identity", standin_get_header (request, "Idempotency-Key"),
                   "body", (int)request->body_len);

  answer->status = status;
  answer->content_type = "application/json";
  answer->body = json_dumps (root, JSON_COMPACT);
  answer->body_len = strlen (answer->body);
  json_decref (root);
}

static void
serve (const struct standin_request *request, struct standin_response *answer)
{
  const char *wish = standin_get_header (request, "Standin-Do");
  long number;

  if (strcmp (request->path, "/standin/runs") == 0)
    {
      list_runs (answer);
      return;
    }
  if (strcmp (wish, "close-before") == 0)
    {
      answer->close_connection = true;
      return;
    }
  begin_run (standin_get_header (request, "Idempotency-Key"));
  number = wish_number (wish, "sleep-");
  usleep ((number >= 0 ? (useconds_t)number : service_ms) * 1000);
  if (strcmp (wish, "close-after") == 0)
    answer->close_connection = true;
  else if (strcmp (wish, "cut") == 0)
    answer_large (answer, 1000000, false, true);
  else if ((number = wish_number (wish, "size-")) >= 0)
    answer_large (answer, (size_t)number, false, false);
  else if ((number = wish_number (wish, "chunked-")) >= 0)
    answer_large (answer, (size_t)number, true, false);
  else if ((number = wish_number (wish, "status-")) >= 0)
    answer_small (request, answer, (unsigned)number);
  else
    answer_small (request, answer, 200);
  end_run ();
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    return EXIT_FAILURE;
  name = argv[1];
  service_ms = (unsigned)atoi (argv[3]);
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return standin_run_server (argv[2], serve);
}
