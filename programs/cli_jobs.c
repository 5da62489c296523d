#include "cli_jobs.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

enum
{
  RESPONSE_TIMEOUT_MS = 2000
};

/* CURLOPT_WRITEFUNCTION: append to the GString CONTEXT.  */
static size_t
append_text (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

/* Return the JSON document at URL, to be released with json_decref.  Return
   NULL after printing an error.  */
static json_t *
fetch_json (const char *url)
{
  CURL *easy = curl_easy_init ();
  GString *text = g_string_new (NULL);
  json_t *root = NULL;
  long status = 0;
  CURLcode code;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)RESPONSE_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_text);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (code != CURLE_OK)
    fprintf (stderr, "dogwoodpulley: %s: %s\n", url,
             curl_easy_strerror (code));
  else if (status != 200)
    fprintf (stderr, "dogwoodpulley: %s: HTTP status %ld\n", url, status);
  else
    root = json_loads (text->str, 0, NULL);
  if (code == CURLE_OK && status == 200 && root == NULL)
    fprintf (stderr, "dogwoodpulley: %s: the response is not JSON\n", url);
  curl_easy_cleanup (easy);
  g_string_free (text, TRUE);
  return root;
}

/* Print each object in the array LINES as one line: its kind, its other fields
   and HOST, the name of the entry host that sent it.  */
static void
print_lines (const char *host, const json_t *lines)
{
  const json_t *line;
  size_t i;

  json_array_foreach (lines, i, line)
  {
    const char *name;
    json_t *value;

    printf ("%-8s", json_string_value (json_object_get (line, "kind")));
    json_object_foreach ((json_t *)line, name, value)
    {
      if (strcmp (name, "kind") != 0)
        printf (" %s=%s", name, json_string_value (value));
    }
    printf (" host=%s\n", host);
  }
}

int
cli_jobs_print_view (const struct cli_options *options, const char *topic,
                     const char *id)
{
  json_t *responses = json_array ();
  gchar **servers;
  bool found = false;

  if (options->servers == NULL)
    {
      fprintf (stderr, "dogwoodpulley: --server is needed\n");
      json_decref (responses);
      return CLI_USAGE;
    }
  servers = g_strsplit (options->servers, ",", -1);
  for (gchar **server = servers; *server != NULL; server++)
    {
      gchar *url
          = g_strdup_printf ("%s/view/%s%s%s", *server, topic,
                             id != NULL ? "/" : "", id != NULL ? id : "");
      json_t *root = fetch_json (url);

      if (root != NULL)
        json_array_append_new (responses, root);
      g_free (url);
    }
  g_strfreev (servers);
  for (size_t i = 0; i < json_array_size (responses); i++)
    {
      const json_t *root = json_array_get (responses, i);
      const json_t *lines = json_object_get (root, "lines");

      found = found || json_array_size (lines) > 0;
      if (!options->json)
        print_lines (json_string_value (json_object_get (root, "host")),
                     lines);
    }
  if (options->json)
    {
      json_dumpf (responses, stdout, JSON_INDENT (2));
      putchar ('\n');
    }
  if (json_array_size (responses) == 0)
    {
      json_decref (responses);
      return CLI_UNREACHABLE;
    }
  json_decref (responses);
  if (id != NULL && !found)
    fprintf (stderr, "dogwoodpulley: no entry host that answered knows %s\n",
             id);
  return id != NULL && !found ? CLI_REFUSED : CLI_OK;
}
