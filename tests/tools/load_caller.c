/* Load generator that behaves like the callers of a fleet: it sends each
   request to the entry hosts in turn, with the same Idempotency-Key, until it
   has a final response.

   Usage: load_caller OPTIONS...  (see --help)

   Prints one line for each request, with these fields:

     idempotency key
     outcome:
       answered  the response of a backend server
       refused   not run, with no advice to retry
       unknown   the entry hosts can't tell whether the request was run
       lost      no final response within --patience-ms
     HTTP status of the last response, 0: none
     reason of the last response, "-": none
     number of attempts
     duration in milliseconds
     number of interrupted attempts: those that failed after connecting  */

#include <argp.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  ATTEMPT_TIMEOUT_MS = 35000,
  RETRY_INTERVAL_MS = 50
};

struct options
{
  char **servers; /* URLs of the entry hosts, NULL-terminated */
  const char *queue;
  const char *api_key;
  const char *method;
  const char *prefix;         /* of the idempotency keys */
  const char *backend_action; /* value of Standin-Do, or NULL */
  int caller_count;
  int requests_per_caller;
  int pause_ms;          /* after each request of a caller */
  int retry_time_ms;     /* after which a request counts as lost */
  int deadline_ms;       /* sent as Deadline-Ms */
  bool use_health_check; /* skip entry hosts whose /healthz is not 200 */
};

static struct options options = { .queue = "confirm",
                                  .method = "POST",
                                  .prefix = "r",
                                  .caller_count = 4,
                                  .requests_per_caller = 50,
                                  .retry_time_ms = 60000,
                                  .deadline_ms = 10000 };
static atomic_int next_server_index;
static GMutex print_lock;

static const struct argp_option argp_options[]
    = { { "servers", 's', "URL,...", 0, "URLs of the entry hosts", 0 },
        { "queue", 'q', "NAME", 0, "Queue that gets the requests", 0 },
        { "key", 'k', "KEY", 0, "API key of the team", 0 },
        { "method", 'm', "METHOD", 0, "HTTP method", 0 },
        { "prefix", 'p', "TEXT", 0, "Prefix of the idempotency keys", 0 },
        { "do", 'd', "ACTION", 0,
          "Behaviour of the backend stand-in (header Standin-Do)", 0 },
        { "callers", 'c', "N", 0, "Number of concurrent callers", 0 },
        { "requests", 'r', "N", 0, "Requests of each caller", 0 },
        { "gap-ms", 'g', "N", 0,
          "Pause between requests of a caller, milliseconds", 0 },
        { "patience-ms", 'P', "N", 0,
          "Retry for this time until a request counts as lost, milliseconds",
          0 },
        { "balance", 'b', NULL, 0,
          "Skip entry hosts that fail their health check", 0 },
        { "deadline-ms", 'D', "N", 0,
          "Deadline sent with each request, milliseconds", 0 },
        { 0 } };

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 's':
      options.servers = g_strsplit (value, ",", -1);
      break;
    case 'q':
      options.queue = value;
      break;
    case 'k':
      options.api_key = value;
      break;
    case 'm':
      options.method = value;
      break;
    case 'p':
      options.prefix = value;
      break;
    case 'd':
      options.backend_action = value;
      break;
    case 'c':
      options.caller_count = atoi (value);
      break;
    case 'r':
      options.requests_per_caller = atoi (value);
      break;
    case 'g':
      options.pause_ms = atoi (value);
      break;
    case 'P':
      options.retry_time_ms = atoi (value);
      break;
    case 'b':
      options.use_health_check = true;
      break;
    case 'D':
      options.deadline_ms = atoi (value);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static const struct argp argp
    = { argp_options, parse_option, NULL,
        "Send requests, and retry each until it has a final response." };

struct response
{
  long status;         /* 0: no response */
  char run_status[32]; /* Dogwoodpulley-Run, "" if absent */
  char reason[48];     /* Dogwoodpulley-Reason, "" if absent */
  long retry_ms;       /* Retry-After-Ms, 0 if absent */
  bool interrupted;    /* failed after connecting */
};

/* libcurl header callback: stores the headers that struct response has members
   for.  */
static size_t
store_header (char *data, size_t size, size_t count, void *context)
{
  struct response *response = context;
  char *line = g_strndup (data, size * count);
  char *colon = strchr (line, ':');

  if (colon != NULL)
    {
      *colon = '\0';
      g_strstrip (colon + 1);
      if (g_ascii_strcasecmp (line, "Dogwoodpulley-Run") == 0)
        g_strlcpy (response->run_status, colon + 1,
                   sizeof response->run_status);
      else if (g_ascii_strcasecmp (line, "Dogwoodpulley-Reason") == 0)
        g_strlcpy (response->reason, colon + 1, sizeof response->reason);
      else if (g_ascii_strcasecmp (line, "Retry-After-Ms") == 0)
        response->retry_ms = atol (colon + 1);
    }
  g_free (line);
  return size * count;
}

static size_t
discard_body (char *data, size_t size, size_t count, void *context)
{
  (void)data;
  (void)context;
  return size * count;
}

static struct curl_slist *
make_headers (const char *idempotency_key)
{
  char *lines[] = {
    g_strdup_printf ("Idempotency-Key: %s", idempotency_key),
    g_strdup_printf ("Deadline-Ms: %d", options.deadline_ms),
    options.api_key
        ? g_strdup_printf ("Authorization: Bearer %s", options.api_key)
        : NULL,
    options.backend_action
        ? g_strdup_printf ("Standin-Do: %s", options.backend_action)
        : NULL,
  };
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");

  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      if (lines[i] != NULL)
        headers = curl_slist_append (headers, lines[i]);
      g_free (lines[i]);
    }
  return headers;
}

static bool
is_healthy (CURL *easy, const char *server)
{
  char *url = g_strdup_printf ("%s/healthz", server);
  long status = 0;

  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 500L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  g_free (url);
  return status == 200;
}

/* Return the next entry host in turn.  With use_health_check, return the first
   healthy one, as a load balancer would, or the last one tried if none is.  */
static const char *
choose_server (CURL *easy)
{
  guint server_count = g_strv_length (options.servers);
  const char *server = NULL;

  for (guint i = 0; i < server_count; i++)
    {
      server = options.servers[(guint)atomic_fetch_add (&next_server_index, 1)
                               % server_count];
      if (!options.use_health_check || is_healthy (easy, server))
        break;
    }
  return server;
}

/* Send one attempt of the request and store its outcome in RESPONSE.  libcurl
   may repeat it on a connection that the server closed; this is harmless,
   since the idempotency key is the same.  */
static void
send_attempt (CURL *easy, const char *server, const char *idempotency_key,
              struct response *response)
{
  char *url = g_strdup_printf ("%s/q/%s/work", server, options.queue);
  struct curl_slist *headers = make_headers (idempotency_key);
  CURLcode code;

  memset (response, 0, sizeof *response);
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)ATTEMPT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, store_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, response);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
  if (strcmp (options.method, "GET") != 0)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "{\"work\":1}");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options.method);
  code = curl_easy_perform (easy);
  if (code == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response->status);
  response->interrupted = code != CURLE_OK && code != CURLE_COULDNT_CONNECT;
  curl_slist_free_all (headers);
  g_free (url);
}

/* Return the outcome of a request whose last response is RESPONSE, or NULL if
   the caller must retry.  */
static const char *
final_outcome (const struct response *response)
{
  if (response->status == 0)
    return NULL;
  if (response->run_status[0] == '\0')
    return "answered";
  if (strcmp (response->reason, "duplicate-running") == 0)
    return NULL;
  if (strcmp (response->run_status, "unknown") == 0)
    return "unknown";
  return response->retry_ms > 0 ? NULL : "refused";
}

/* Send one request until it has a final response, and print its outcome.  */
static void
request_until_final (CURL *easy, const char *idempotency_key)
{
  gint64 started_at_us = g_get_monotonic_time ();
  gint64 give_up_at_us = started_at_us + (gint64)options.retry_time_ms * 1000;
  const char *outcome = NULL;
  struct response response = { 0 };
  int attempt_count = 0;
  int interrupted_count = 0;

  while (outcome == NULL && g_get_monotonic_time () < give_up_at_us)
    {
      send_attempt (easy, choose_server (easy), idempotency_key, &response);
      attempt_count++;
      interrupted_count += response.interrupted;
      outcome = final_outcome (&response);
      if (outcome == NULL)
        usleep ((useconds_t)(response.retry_ms > 0 ? response.retry_ms
                                                   : RETRY_INTERVAL_MS)
                * 1000);
    }
  g_mutex_lock (&print_lock);
  printf ("%s %s %ld %s %d %ld %d\n", idempotency_key,
          outcome ? outcome : "lost", response.status,
          response.reason[0] ? response.reason : "-", attempt_count,
          (long)((g_get_monotonic_time () - started_at_us) / 1000),
          interrupted_count);
  g_mutex_unlock (&print_lock);
}

/* Thread function of the caller with index DATA.  */
static gpointer
run_caller (gpointer data)
{
  int caller_index = GPOINTER_TO_INT (data);
  CURL *easy = curl_easy_init ();

  for (int i = 0; i < options.requests_per_caller; i++)
    {
      char *idempotency_key
          = g_strdup_printf ("%s-%d-%d", options.prefix, caller_index, i);

      request_until_final (easy, idempotency_key);
      g_free (idempotency_key);
      if (options.pause_ms > 0)
        usleep ((useconds_t)options.pause_ms * 1000);
    }
  curl_easy_cleanup (easy);
  return NULL;
}

int
main (int argc, char **argv)
{
  GThread **threads;

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  if (options.servers == NULL)
    return EXIT_FAILURE;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  threads = g_new0 (GThread *, options.caller_count);
  for (int i = 0; i < options.caller_count; i++)
    threads[i] = g_thread_new ("caller", run_caller, GINT_TO_POINTER (i));
  for (int i = 0; i < options.caller_count; i++)
    g_thread_join (threads[i]);
  return EXIT_SUCCESS;
}
