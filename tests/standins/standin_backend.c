/* Stand-in for a backend server in tests: answers HTTP requests and counts how
   often each of them was run.

   Usage: standin_backend NAME IP:PORT SERVICE_TIME_MS

   A request takes SERVICE_TIME_MS milliseconds.  Its header Standin-Do selects
   another behaviour:

     close-before   close the connection without running the request
     close-after    run the request, then close the connection without a
                    response
     cut            close the connection in the middle of the response body
     status-N       respond with HTTP status N
     size-N         respond with a body of N bytes
     chunked-N      respond with a body of N bytes in chunked transfer encoding
     sleep-N        take N milliseconds

   GET /standin/runs returns a JSON object: the number of runs ("total"), the
   number of runs for each Idempotency-Key ("runs"), and the largest number of
   requests that ran at the same time ("most").  */

#include "standin_http.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  CUT_BODY_BYTES = 1000000, /* Content-Length of a body that is cut off */
  BODY_BLOCK_BYTES = 65536  /* that MHD reads at a time */
};

static GMutex stats_lock;      /* guards the counts of runs */
static GHashTable *run_counts; /* Idempotency-Key -> number of runs */
static unsigned run_total, running_count, max_running_count;
static const char *backend_name;
static unsigned service_time_ms;

/* Return the number N if ACTION is PREFIX followed by N, else -1.  */
static long
action_argument (const char *action, const char *prefix)
{
  if (strncmp (action, prefix, strlen (prefix)) != 0)
    return -1;
  return atol (action + strlen (prefix));
}

static void
record_run_start (const char *idempotency_key)
{
  g_mutex_lock (&stats_lock);
  run_total++;
  running_count++;
  if (running_count > max_running_count)
    max_running_count = running_count;
  if (*idempotency_key != '\0')
    {
      gpointer count = g_hash_table_lookup (run_counts, idempotency_key);

      g_hash_table_replace (run_counts, g_strdup (idempotency_key),
                            GUINT_TO_POINTER (GPOINTER_TO_UINT (count) + 1));
    }
  g_mutex_unlock (&stats_lock);
}

static void
record_run_end (void)
{
  g_mutex_lock (&stats_lock);
  running_count--;
  g_mutex_unlock (&stats_lock);
}

static void
respond_with_runs (struct standin_response *response)
{
  json_t *counts = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer count;
  json_t *root;

  g_mutex_lock (&stats_lock);
  g_hash_table_iter_init (&iter, run_counts);
  while (g_hash_table_iter_next (&iter, &key, &count))
    json_object_set_new (counts, key, json_integer (GPOINTER_TO_UINT (count)));
  root = json_pack ("{s:s,s:i,s:i,s:o}", "host", backend_name, "total",
                    (int)run_total, "most", (int)max_running_count, "runs",
                    counts);
  g_mutex_unlock (&stats_lock);
  response->status = 200;
  response->content_type = "application/json";
  response->body = json_dumps (root, JSON_COMPACT);
  response->body_len = strlen (response->body);
  json_decref (root);
}

struct generated_body
{
  size_t size;
  size_t abort_at; /* offset at which to close the connection, 0: never */
};

/* MHD content reader: generates a body that repeats the letters a to z.  */
static ssize_t
read_generated_body (void *context, uint64_t position, char *buffer,
                     size_t buffer_size)
{
  struct generated_body *generated_body = context;
  size_t len;

  if (generated_body->abort_at != 0 && position >= generated_body->abort_at)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (position >= generated_body->size)
    return MHD_CONTENT_READER_END_OF_STREAM;
  len = generated_body->size - position;
  if (len > buffer_size)
    len = buffer_size;
  for (size_t i = 0; i < len; i++)
    buffer[i] = (char)('a' + (position + i) % 26);
  return (ssize_t)len;
}

static void
respond_with_generated_body (struct standin_response *response, size_t size,
                             bool chunked, bool abort_midway)
{
  struct generated_body *generated_body = calloc (1, sizeof *generated_body);

  generated_body->size = size;
  generated_body->abort_at = abort_midway ? size / 2 + 1 : 0;
  response->status = 200;
  response->content_type = "application/octet-stream";
  response->mhd_response = MHD_create_response_from_callback (
      chunked ? MHD_SIZE_UNKNOWN : size, BODY_BLOCK_BYTES, read_generated_body,
      generated_body, free);
}

/* Respond with a JSON object that describes REQUEST.  */
static void
respond_with_summary (const struct standin_request *request,
                      struct standin_response *response, unsigned status)
{
  json_t *root = json_pack ("{s:s,s:s,s:s,s:i}", "host", backend_name, "path",
                            request->path, "identity",
                            standin_get_header (request, "Idempotency-Key"),
                            "body", (int)request->body_len);

  response->status = status;
  response->content_type = "application/json";
  response->body = json_dumps (root, JSON_COMPACT);
  response->body_len = strlen (response->body);
  json_decref (root);
}

static void
handle_request (const struct standin_request *request,
                struct standin_response *response)
{
  const char *action = standin_get_header (request, "Standin-Do");
  long argument;

  if (strcmp (request->path, "/standin/runs") == 0)
    {
      respond_with_runs (response);
      return;
    }
  if (strcmp (action, "close-before") == 0)
    {
      response->close_connection = true;
      return;
    }
  record_run_start (standin_get_header (request, "Idempotency-Key"));
  argument = action_argument (action, "sleep-");
  usleep ((argument >= 0 ? (useconds_t)argument : service_time_ms) * 1000);
  if (strcmp (action, "close-after") == 0)
    response->close_connection = true;
  else if (strcmp (action, "cut") == 0)
    respond_with_generated_body (response, CUT_BODY_BYTES, false, true);
  else if ((argument = action_argument (action, "size-")) >= 0)
    respond_with_generated_body (response, (size_t)argument, false, false);
  else if ((argument = action_argument (action, "chunked-")) >= 0)
    respond_with_generated_body (response, (size_t)argument, true, false);
  else if ((argument = action_argument (action, "status-")) >= 0)
    respond_with_summary (request, response, (unsigned)argument);
  else
    respond_with_summary (request, response, 200);
  record_run_end ();
}

int
main (int argc, char **argv)
{
  if (argc != 4)
    return EXIT_FAILURE;
  backend_name = argv[1];
  service_time_ms = (unsigned)atoi (argv[3]);
  run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return standin_run_server (argv[2], handle_request);
}
