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
  FOLLOW_MS = 500,
  MAX_FAILURES = 20 /* looks in a row that nobody answers */
};

struct cli
{
  const struct cli_options *options;
  dp_client *client; /* NULL for commands that need none */
};

struct command
{
  const char *name;
  int arguments; /* after the name */
  bool needs_client;
  int (*run) (struct cli *cli, char **arguments);
};

/* ---- results ---- */

static int
status_of (enum dp_result result)
{
  static const int statuses[] = { [DP_OK] = CLI_OK,
                                  [DP_INVALID] = CLI_REFUSED,
                                  [DP_CONFLICT] = CLI_CONFLICT,
                                  [DP_UNREACHABLE] = CLI_UNREACHABLE,
                                  [DP_UNKNOWN] = CLI_UNKNOWN,
                                  [DP_PENDING] = CLI_PENDING };

  return statuses[result];
}

/* Print ERROR and free it.  */
static void
print_error (GError *error)
{
  fprintf (stderr, "dogwoodpulley: %s\n", error->message);
  g_error_free (error);
}

/* Report how a change ended.  */
static int
end_change (struct cli *cli, enum dp_result result, GError *error,
            const char *done)
{
  static const char *const words[] = { [DP_OK] = "ok",
                                       [DP_INVALID] = "invalid",
                                       [DP_CONFLICT] = "conflict",
                                       [DP_UNREACHABLE] = "unreachable",
                                       [DP_UNKNOWN] = "unknown",
                                       [DP_PENDING] = "pending" };

  if (cli->options->json)
    {
      json_t *root = json_pack ("{s:s,s:s}", "result", words[result], "token",
                                dp_client_change_token (cli->client));

      if (error != NULL)
        json_object_set_new (root, "detail", json_string (error->message));
      json_dumpf (root, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (root);
    }
  else if (result == DP_OK)
    printf ("%s\n", done);
  if (error != NULL)
    print_error (error);
  if (result == DP_UNKNOWN)
    fprintf (stderr, "dogwoodpulley: repeat with --token %s\n",
             dp_client_change_token (cli->client));
  return status_of (result);
}

/* ---- following ---- */

/* Return the status as JSON, or NULL.  */
static json_t *
read_status (struct cli *cli)
{
  char *text = dp_client_status (cli->client, NULL);
  json_t *root = text ? json_loads (text, 0, NULL) : NULL;

  free (text);
  return root;
}

static json_t *
find_named (json_t *list, const char *key, const char *name)
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

static const char *
member (json_t *object, const char *name)
{
  const char *value = json_string_value (json_object_get (object, name));

  return value ? value : "";
}

/* What a follower has seen last.  */
struct follow
{
  char last[64];
  int failures; /* in a row */
};

/* Wait between two looks.  Return false when the system has not answered for
   so long that following makes no sense.  */
static bool
wait_next (struct follow *follow, const json_t *root)
{
  follow->failures = root != NULL ? 0 : follow->failures + 1;
  if (follow->failures >= MAX_FAILURES)
    {
      fprintf (stderr, "dogwoodpulley: no entry host answers any more; the "
                       "change goes on\n");
      return false;
    }
  usleep (FOLLOW_MS * 1000);
  return true;
}

/* Print NOW when it is not what was printed last.  */
static void
show_progress (struct cli *cli, struct follow *follow, const char *now)
{
  if (strcmp (now, follow->last) != 0 && !cli->options->json)
    printf ("%s\n", now);
  fflush (stdout);
  g_strlcpy (follow->last, now, sizeof follow->last);
}

/* Follow a host until it is in STATE, printing each change.  */
static int
follow_host (struct cli *cli, const char *name, const char *state)
{
  struct follow follow = { "", 0 };
  bool going = !cli->options->no_wait;

  while (going)
    {
      json_t *root = read_status (cli);
      json_t *host
          = find_named (json_object_get (root, "hosts"), "name", name);
      char now[sizeof follow.last];

      snprintf (now, sizeof now, "%.24s: %s in pool %.16s", name,
                member (host, "state"), member (host, "pool"));
      if (host != NULL)
        show_progress (cli, &follow, now);
      going = strcmp (member (host, "state"), state) != 0;
      if (going && !wait_next (&follow, root))
        {
          json_decref (root);
          return CLI_UNREACHABLE;
        }
      json_decref (root);
    }
  return CLI_OK;
}

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

/* Follow a maintenance order until all hosts are done.  */
static int
follow_order (struct cli *cli, uint64_t order)
{
  struct follow follow = { "", 0 };
  bool going = !cli->options->no_wait;

  while (going)
    {
      json_t *root = read_status (cli);
      json_t *item = find_order (root, order);
      int done = (int)json_integer_value (json_object_get (item, "done"));
      int total = (int)json_integer_value (json_object_get (item, "total"));
      char now[sizeof follow.last];

      snprintf (now, sizeof now, "order %" PRIu64 ": %d of %d hosts", order,
                done, total);
      if (item != NULL)
        show_progress (cli, &follow, now);
      going = item == NULL
              || (done != total
                  && strcmp (member (item, "state"), "cancelled") != 0);
      if (going && !wait_next (&follow, root))
        {
          json_decref (root);
          return CLI_UNREACHABLE;
        }
      json_decref (root);
    }
  return CLI_OK;
}

/* ---- commands ---- */

/* Return the canonical text of the fleet in FILE, or NULL after printing what
   is wrong.  */
static char *
load_text (const char *file)
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
  char *text = load_text (arguments[0]);

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
  char *wanted = load_text (arguments[0]);
  char *present;

  if (wanted == NULL)
    return CLI_USAGE;
  present = dp_client_fleet (cli->client, NULL, &error);
  if (present == NULL && error->code == 3)
    {
      print_error (error);
      free (wanted);
      return CLI_UNREACHABLE;
    }
  g_clear_error (&error);
  cli_show_diff (present ? present : "", wanted);
  free (present);
  free (wanted);
  return CLI_OK;
}

static int
run_apply (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  char *text = load_text (arguments[0]);
  uint64_t version = 0;
  enum dp_result result;
  char done[80];

  if (text == NULL)
    return CLI_USAGE;
  result = dp_client_apply (cli->client, text, cli->options->base, &version,
                            &error);
  snprintf (done, sizeof done, "applied as version %" PRIu64, version);
  free (text);
  return end_change (cli, result, error, done);
}

/* Read the status and give it to SHOW.  */
static int
show_status (struct cli *cli, void (*show) (const char *status, bool json))
{
  GError *error = NULL;
  char *text = dp_client_status (cli->client, &error);

  if (text == NULL)
    {
      print_error (error);
      return CLI_UNREACHABLE;
    }
  show (text, cli->options->json);
  free (text);
  return CLI_OK;
}

static int
run_status (struct cli *cli, char **arguments)
{
  (void)arguments;
  return show_status (cli, cli_show_status);
}

static int
run_hosts (struct cli *cli, char **arguments)
{
  (void)arguments;
  return show_status (cli, cli_show_hosts);
}

static int
run_move (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  enum dp_result result
      = dp_client_move (cli->client, arguments[0], arguments[1], &error);
  int status = end_change (cli, result, error, "move accepted");

  return status == CLI_OK ? follow_host (cli, arguments[0], "active") : status;
}

static int
run_drain (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  enum dp_result result = dp_client_drain (cli->client, arguments[0], &error);
  int status = end_change (cli, result, error, "drain accepted");

  return status == CLI_OK ? follow_host (cli, arguments[0], "out") : status;
}

static int
run_activate (struct cli *cli, char **arguments)
{
  GError *error = NULL;
  enum dp_result result
      = dp_client_activate (cli->client, arguments[0], &error);

  return end_change (cli, result, error, "host is active");
}

static int
run_maintain (struct cli *cli, char **arguments)
{
  static const char *const words[][2] = { { "pause", "paused" },
                                          { "resume", "running" },
                                          { "cancel", "cancelled" } };
  GError *error = NULL;
  uint64_t order = 0;
  enum dp_result result;
  int status;

  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    if (strcmp (arguments[0], words[i][0]) == 0)
      {
        order = strtoull (arguments[1], NULL, 10);
        result = dp_client_order (cli->client, order, words[i][1], &error);
        return end_change (cli, result, error, words[i][1]);
      }
  result = dp_client_maintain (cli->client, arguments[0], arguments[1], &order,
                               &error);
  status = end_change (cli, result, error, "order accepted");
  return status == CLI_OK ? follow_order (cli, order) : status;
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
  return status_of (result);
}

/* Read a key from standard input, so that it stands in no process list.  */
static char *
read_key (char *buffer, size_t size)
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
    key = read_key (buffer, sizeof buffer);
  if (key == NULL || *key == '\0')
    {
      fprintf (stderr, "dogwoodpulley: key withdraw: no key given\n");
      return CLI_USAGE;
    }
  return end_change (cli, dp_client_withdraw_key (cli->client, key, &error),
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

/* What entry hosts with jobs show: the command names the topic.  */
static int
run_view (struct cli *cli, char **arguments)
{
  return cli_jobs_show (cli->options, cli->options->argv[0],
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
  { "explain", 1, false, run_view },
};

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static dp_client *
connect_client (const struct cli_options *options)
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
cli_run (const struct cli_options *options)
{
  const struct command *command = find_command (options->argv[0]);
  struct cli cli = { options, NULL };
  int status;

  if (command == NULL || options->argc - 1 != command->arguments)
    {
      fprintf (stderr,
               command == NULL
                   ? "dogwoodpulley: no command \"%s\"; see --help\n"
                   : "dogwoodpulley: %s: wrong number of arguments; see "
                     "--help\n",
               options->argv[0]);
      return CLI_USAGE;
    }
  if (command->needs_client)
    {
      cli.client = connect_client (options);
      if (cli.client == NULL)
        return CLI_USAGE;
    }
  status = command->run (&cli, options->argv + 1);
  if (cli.client != NULL)
    dp_client_free (cli.client);
  return status;
}
