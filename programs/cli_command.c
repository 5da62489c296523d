#include "cli_command.h"

#include "cf_settings.h"
#include "cli_jobs.h"
#include "cli_show.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  POLL_INTERVAL_MS = 500,
  MAX_CONSECUTIVE_FAILURES = 20 /* polls in a row without a response */
};

/* Context of the command that is run.  */
struct cli
{
  const struct cli_options *options;
  dp_client *client; /* NULL unless the command needs one */
};

struct command
{
  const char *name;
  int argument_count; /* number of arguments after the name */
  bool needs_client;
  int (*run) (struct cli *cli, char **arguments);
};

/* ---- results ---- */

/* Return the exit status for RESULT.  */
static int
exit_status_of (enum dp_result result)
{
  static const int exit_statuses[] = { [DP_OK] = CLI_OK,
                                       [DP_INVALID] = CLI_REFUSED,
                                       [DP_CONFLICT] = CLI_CONFLICT,
                                       [DP_UNREACHABLE] = CLI_UNREACHABLE,
                                       [DP_UNKNOWN] = CLI_UNKNOWN,
                                       [DP_PENDING] = CLI_PENDING };

  return exit_statuses[result];
}

/* Print ERROR and free it.  */
static void
print_error (GError *error)
{
  fprintf (stderr, "dogwoodpulley: %s\n", error->message);
  g_error_free (error);
}

/* Print the outcome of a change: SUCCESS_TEXT if RESULT is DP_OK, otherwise
   ERROR, which is freed.  Return the exit status.  */
static int
report_change (struct cli *cli, enum dp_result result, GError *error,
               const char *success_text)
{
  static const char *const result_names[] = { [DP_OK] = "ok",
                                              [DP_INVALID] = "invalid",
                                              [DP_CONFLICT] = "conflict",
                                              [DP_UNREACHABLE] = "unreachable",
                                              [DP_UNKNOWN] = "unknown",
                                              [DP_PENDING] = "pending" };

  if (cli->options->json)
    {
      json_t *root = json_pack ("{s:s,s:s}", "result", result_names[result],
                                "token", dp_client_change_token (cli->client));

      if (error != NULL)
        json_object_set_new (root, "detail", json_string (error->message));
      json_dumpf (root, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (root);
    }
  else if (result == DP_OK)
    printf ("%s\n", success_text);
  if (error != NULL)
    print_error (error);
  if (result == DP_UNKNOWN)
    fprintf (stderr, "dogwoodpulley: repeat with --token %s\n",
             dp_client_change_token (cli->client));
  return exit_status_of (result);
}

/* ---- waiting for a change to finish ---- */

/* Return the status of an entry host, to be released with json_decref, or NULL
   when none answers.  */
static json_t *
fetch_status (struct cli *cli)
{
  char *text = dp_client_status (cli->client, NULL);
  json_t *root = text ? json_loads (text, 0, NULL) : NULL;

  free (text);
  return root;
}

/* Return the object in LIST whose member KEY is the string NAME, or NULL.
   Borrowed.  */
static json_t *
find_by_string (json_t *list, const char *key, const char *name)
{
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    const char *value = json_string_value (json_object_get (item, key));

    if (value != NULL && strcmp (value, name) == 0)
      return item;
  }
  return NULL;
}

/* Return the string member NAME of OBJECT, or "" if it has none.  */
static const char *
get_string (json_t *object, const char *name)
{
  const char *value = json_string_value (json_object_get (object, name));

  return value ? value : "";
}

/* State of a wait for a change to finish.  */
struct progress
{
  char last_line[64];       /* the line printed last */
  int consecutive_failures; /* polls without a response */
};

/* Wait until the next poll.  ROOT is the result of the last poll.  Return
   false after MAX_CONSECUTIVE_FAILURES polls in a row without an answer.  */
static bool
wait_poll_interval (struct progress *progress, const json_t *root)
{
  progress->consecutive_failures
      = root != NULL ? 0 : progress->consecutive_failures + 1;
  if (progress->consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
    {
      fprintf (stderr, "dogwoodpulley: no entry host answers; stopped "
                       "waiting, but the change continues\n");
      return false;
    }
  usleep (POLL_INTERVAL_MS * 1000);
  return true;
}

/* Print LINE unless it equals the line printed last.  */
static void
print_progress (struct cli *cli, struct progress *progress, const char *line)
{
  if (strcmp (line, progress->last_line) != 0 && !cli->options->json)
    printf ("%s\n", line);
  fflush (stdout);
  g_strlcpy (progress->last_line, line, sizeof progress->last_line);
}

/* Wait until the host NAME is in STATE, printing each change of its state or
   pool.  With --no-wait, return at once.  Return an exit status.  */
static int
wait_for_host (struct cli *cli, const char *name, const char *state)
{
  struct progress progress = { "", 0 };
  bool waiting = !cli->options->no_wait;

  while (waiting)
    {
      json_t *root = fetch_status (cli);
      json_t *host
          = find_by_string (json_object_get (root, "hosts"), "name", name);
      char line[sizeof progress.last_line];

      snprintf (line, sizeof line, "%.24s: %s in pool %.16s", name,
                get_string (host, "state"), get_string (host, "pool"));
      if (host != NULL)
        print_progress (cli, &progress, line);
      waiting = strcmp (get_string (host, "state"), state) != 0;
      if (waiting && !wait_poll_interval (&progress, root))
        {
          json_decref (root);
          return CLI_UNREACHABLE;
        }
      json_decref (root);
    }
  return CLI_OK;
}

/* Return the maintenance order with the number ORDER in the status ROOT, or
   NULL.  Borrowed.  */
static json_t *
find_order (json_t *root, uint64_t order)
{
  json_t *item;
  size_t i;

  json_array_foreach (json_object_get (root, "orders"), i, item)
  {
    if ((uint64_t)json_integer_value (json_object_get (item, "order"))
        == order)
      return item;
  }
  return NULL;
}

/* Wait until all hosts of maintenance order ORDER are done or the order is
   cancelled, printing its progress.  With --no-wait, return at once.  Return
   an exit status.  */
static int
wait_for_order (struct cli *cli, uint64_t order)
{
  struct progress progress = { "", 0 };
  bool waiting = !cli->options->no_wait;

  while (waiting)
    {
      json_t *root = fetch_status (cli);
      json_t *item = find_order (root, order);
      int done = (int)json_integer_value (json_object_get (item, "done"));
      int total = (int)json_integer_value (json_object_get (item, "total"));
      char line[sizeof progress.last_line];

      snprintf (line, sizeof line, "order %" PRIu64 ": %d of %d hosts", order,
                done, total);
      if (item != NULL)
        print_progress (cli, &progress, line);
      waiting = item == NULL
                || (done != total
                    && strcmp (get_string (item, "state"), "cancelled") != 0);
      if (waiting && !wait_poll_interval (&progress, root))
        {
          json_decref (root);
          return CLI_UNREACHABLE;
        }
      json_decref (root);
    }
  return CLI_OK;
}

/* ---- commands ---- */

/* Return the fleet configuration in FILE as canonical YAML, to be released
   with free.  Return NULL after printing the errors.  */
static char *
load_fleet_yaml (const char *file)
{
  GError *error = NULL;
  dp_fleet *fleet = dp_fleet_load (file, &error);
  char *text = fleet ? dp_fleet_print (fleet, &error) : NULL;

  if (text == NULL)
    print_error (error);
  if (fleet != NULL)
    dp_fleet_free (fleet);
  return text;
}

static int
run_check (struct cli *cli, char **arguments)
{
  char *text = load_fleet_yaml (arguments[0]);

  if (text == NULL)
    return CLI_USAGE;
  if (cli->options->json)
    printf ("{\"result\":\"valid\"}\n");
  else
    printf ("%s: the configuration is valid\n", arguments[0]);
  free (text);
  return CLI_OK;
}

static int
run_diff (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  char *desired = load_fleet_yaml (arguments[0]);
  char *current;

  if (desired == NULL)
    return CLI_USAGE;
  current = dp_client_fleet (cli->client, NULL, &error);
  if (current == NULL && error->code == BA_ERROR_UNREACHABLE)
    {
      print_error (error);
      free (desired);
      return CLI_UNREACHABLE;
    }
  g_clear_error (&error);
  cli_show_diff (current ? current : "", desired);
  free (current);
  free (desired);
  return CLI_OK;
}

static int
run_apply (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  char *text = load_fleet_yaml (arguments[0]);
  uint64_t version = 0;
  enum dp_result result;
  char success_text[80];

  if (text == NULL)
    return CLI_USAGE;
  result = dp_client_apply (cli->client, text, cli->options->base, &version,
                            &error);
  snprintf (success_text, sizeof success_text, "applied as version %" PRIu64,
            version);
  free (text);
  return report_change (cli, result, error, success_text);
}

/* Fetch the status of an entry host and print it with PRINT.  Return an exit
   status.  */
static int
print_fetched_status (struct cli *cli,
                      void (*print) (const char *status, bool json))
{
  GError *error = NULL;
  char *text = dp_client_status (cli->client, &error);

  if (text == NULL)
    {
      print_error (error);
      return CLI_UNREACHABLE;
    }
  print (text, cli->options->json);
  free (text);
  return CLI_OK;
}

static int
run_status (struct cli *cli, char **arguments)
{
  (void)arguments;
  return print_fetched_status (cli, cli_show_status);
}

static int
run_hosts (struct cli *cli, char **arguments)
{
  (void)arguments;
  return print_fetched_status (cli, cli_show_hosts);
}

static int
run_move (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  enum dp_result result
      = dp_client_move (cli->client, arguments[0], arguments[1], &error);
  int status = report_change (cli, result, error, "move accepted");

  return status == CLI_OK ? wait_for_host (cli, arguments[0], "active")
                          : status;
}

static int
run_drain (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  enum dp_result result = dp_client_drain (cli->client, arguments[0], &error);
  int status = report_change (cli, result, error, "drain accepted");

  return status == CLI_OK ? wait_for_host (cli, arguments[0], "out") : status;
}

static int
run_activate (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  enum dp_result result
      = dp_client_activate (cli->client, arguments[0], &error);

  return report_change (cli, result, error, "host is active");
}

static int
run_zones (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  char *text = dp_client_zones (cli->client, &error);

  (void)arguments;
  if (text == NULL)
    {
      print_error (error);
      return CLI_UNREACHABLE;
    }
  cli_show_zones (text, cli->options->json);
  free (text);
  return CLI_OK;
}

static int
run_evacuate (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  enum dp_result result
      = dp_client_evacuate (cli->client, arguments[0], &error);

  return report_change (cli, result, error, "zone is evacuated");
}

static int
run_restore (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  enum dp_result result
      = dp_client_restore (cli->client, arguments[0], &error);

  return report_change (cli, result, error, "zone is in use");
}

static int
run_maintain (struct cli *cli, char **arguments)
{
  static const char *const actions[][2] = { { "pause", "paused" },
                                            { "resume", "running" },
                                            { "cancel", "cancelled" } };
  GError *error = NULL;
  uint64_t order = 0;
  enum dp_result result;
  int status;

  for (size_t i = 0; i < G_N_ELEMENTS (actions); i++)
    if (strcmp (arguments[0], actions[i][0]) == 0)
      {
        order = strtoull (arguments[1], NULL, 10);
        result = dp_client_order (cli->client, order, actions[i][1], &error);
        return report_change (cli, result, error, actions[i][1]);
      }
  result = dp_client_maintain (cli->client, arguments[0], arguments[1], &order,
                               &error);
  status = report_change (cli, result, error, "order accepted");
  return status == CLI_OK ? wait_for_order (cli, order) : status;
}

static int
grant_key (struct cli *cli, const char *team)
{
  GError *error = NULL;
  char *key = NULL;
  enum dp_result result
      = dp_client_grant_key (cli->client, team, &key, &error);

  if (key != NULL)
    {
      printf ("%s\n", key);
      memset (key, 0, strlen (key));
    }
  free (key);
  if (error != NULL)
    print_error (error);
  return exit_status_of (result);
}

/* Read a key from standard input: a key on the command line would be visible
   to other users in the list of processes.  Return BUFFER, which holds
   SIZE bytes, or NULL at the end of the input.  */
static char *
read_key_from_stdin (char *buffer, size_t size)
{
  if (fgets (buffer, (int)size, stdin) == NULL)
    return NULL;
  buffer[strcspn (buffer, "\r\n")] = '\0';
  return buffer;
}

static int
run_key (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  char buffer[256];
  char *key = arguments[1];

  if (strcmp (arguments[0], "grant") == 0)
    return grant_key (cli, arguments[1]);
  if (strcmp (arguments[0], "withdraw") != 0)
    {
      fprintf (stderr, "dogwoodpulley: key: expected grant or withdraw\n");
      return CLI_USAGE;
    }
  if (strcmp (key, "-") == 0)
    key = read_key_from_stdin (buffer, sizeof buffer);
  if (key == NULL || *key == '\0')
    {
      fprintf (stderr, "dogwoodpulley: key withdraw: no key given\n");
      return CLI_USAGE;
    }
  return report_change (cli, dp_client_withdraw_key (cli->client, key, &error),
                        error, "key withdrawn");
}

static int
run_counters (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  char *text = dp_client_counters (cli->client, &error);

  (void)arguments;
  if (text == NULL)
    {
      print_error (error);
      return CLI_UNREACHABLE;
    }
  fputs (text, stdout);
  free (text);
  return CLI_OK;
}

/* Print a view of jobs.  The name of the command is the topic of the view.  */
static int
run_view (struct cli *cli, char **arguments)
{
  return cli_jobs_print_view (cli->options, cli->options->argv[0],
                              cli->options->argc > 1 ? arguments[0] : NULL);
}

static const struct command commands[] = {
  { "check", 1, false, run_check },      { "diff", 1, true, run_diff },
  { "apply", 1, true, run_apply },       { "status", 0, true, run_status },
  { "hosts", 0, true, run_hosts },       { "move", 2, true, run_move },
  { "drain", 1, true, run_drain },       { "activate", 1, true, run_activate },
  { "maintain", 2, true, run_maintain }, { "key", 2, true, run_key },
  { "counters", 0, true, run_counters }, { "jobs", 0, false, run_view },
  { "pools", 0, false, run_view },       { "owners", 0, false, run_view },
  { "waves", 0, false, run_view },       { "job", 1, false, run_view },
  { "explain", 1, false, run_view },     { "evacuations", 0, false, run_view },
  { "explain", 1, false, run_view },     { "zones", 0, true, run_zones },
  { "evacuate", 1, true, run_evacuate }, { "restore", 1, true, run_restore },
};

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

/* Return a new client for the servers in OPTIONS, or NULL after printing an
   error.  */
static dp_client *
new_client (const struct cli_options *options)
{
  GError *error = NULL;
  char *token;
  dp_client *client;

  if (options->servers == NULL || options->token_file == NULL)
    {
      fprintf (stderr,
               "dogwoodpulley: --server and --token-file are needed\n");
      return NULL;
    }
  token = cf_settings_read_secret (NULL, options->token_file, &error);
  if (token == NULL)
    {
      print_error (error);
      return NULL;
    }
  client = dp_client_new (options->servers, token);
  talloc_free (token);
  if (options->change_token != NULL)
    dp_client_set_change_token (client, options->change_token);
  return client;
}

int
cli_run_command (const struct cli_options *options)
{
  const struct command *command = find_command (options->argv[0]);
  struct cli cli = { options, NULL };
  int status;

  if (command == NULL || options->argc - 1 != command->argument_count)
    {
      fprintf (stderr,
               command == NULL
                   ? "dogwoodpulley: unknown command \"%s\"; see --help\n"
                   : "dogwoodpulley: %s: wrong number of arguments; see "
                     "--help\n",
               options->argv[0]);
      return CLI_USAGE;
    }
  if (command->needs_client)
    {
      cli.client = new_client (options);
      if (cli.client == NULL)
        return CLI_USAGE;
    }
  status = command->run (&cli, options->argv + 1);
  if (cli.client != NULL)
    dp_client_free (cli.client);
  return status;
}
