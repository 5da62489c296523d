/* dogwoodpulley: the operators' command-line program.  */

#include "dogwoodpulley.h"

#include "cf_settings.h"
#include "cli_command.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "dogwoodpulley " DP_VERSION;

static const char doc[]
    = "Configure, inspect and maintain a running fleet.\v"
      "Commands:\n"
      "  check FILE               check a fleet configuration\n"
      "  diff FILE                compare it with the current one\n"
      "  apply FILE               make it the current one\n"
      "  status                   show the state of an entry host and the "
      "fleet\n"
      "  hosts                    list the hosts\n"
      "  move HOST POOL           move a host to another pool\n"
      "  drain HOST               take a host out of use\n"
      "  activate HOST            put a host back, or end its move\n"
      "  zones                    list the availability zones\n"
      "  evacuate ZONE            start no more requests in a zone\n"
      "  restore ZONE             take an evacuated zone back into use\n"
      "  maintain SCOPE NAME      reboot all hosts of a pool, rack or zone\n"
      "  maintain pause|resume|cancel ORDER\n"
      "  key grant TEAM           grant a new key and print it, once\n"
      "  key withdraw KEY|-       withdraw a key, or sha256:DIGEST; - reads "
      "it\n"
      "  counters                 print the counters of an entry host\n"
      "Views of jobs, for which all entry hosts are queried:\n"
      "  owners                   owner of each duty: the pools and the "
      "planner\n"
      "  pools                    pools, their backend servers and load\n"
      "  jobs                     jobs that have not ended\n"
      "  job ID                   a job and its steps\n"
      "  explain ID               the same, and why its tasks are waiting\n"
      "  waves                    maintenance waves\n"
      "  evacuations              evacuated zones, and what still runs there\n"
      "\n"
      "Exit status: 0 done; 1 refused; 2 the command or file is not valid; "
      "3 conflict with another change; 4 unreachable, nothing changed; "
      "5 not confirmed: repeat with the printed --token; "
      "6 committed, not yet acknowledged by a majority; 130 interrupted while "
      "waiting.\n"
      "\n"
      "The environment gives defaults: DOGWOODPULLEY_SERVER and "
      "DOGWOODPULLEY_TOKEN_FILE.";

static const struct argp_option options[]
    = { { "server", 's', "URL[,URL...]", 0,
          "Admin addresses of entry hosts, tried in turn", 0 },
        { "token-file", 't', "FILE", 0, "File with the operators' token", 0 },
        { "output", 'o', "text|json", 0, "Output format", 0 },
        { "token", 'T', "TOKEN", 0,
          "Identity of the change; repeats one that was not confirmed", 0 },
        { "base", 'b', "VERSION", 0,
          "apply: fail unless this is the current fleet version", 0 },
        { "no-wait", 'n', NULL, 0,
          "Don't wait for drains, moves and orders to finish", 0 },
        { 0 } };

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct cli_options *cli_options = state->input;

  switch (key)
    {
    case 's':
      cli_options->servers = value;
      return 0;
    case 't':
      cli_options->token_file = value;
      return 0;
    case 'o':
      if (strcmp (value, "json") != 0 && strcmp (value, "text") != 0)
        argp_error (state, "--output: expected text or json");
      cli_options->json = strcmp (value, "json") == 0;
      return 0;
    case 'T':
      cli_options->change_token = value;
      return 0;
    case 'b':
      cli_options->base = strtoull (value, NULL, 10);
      return 0;
    case 'n':
      cli_options->no_wait = true;
      return 0;
    case ARGP_KEY_ARGS:
      cli_options->argv = state->argv + state->next;
      cli_options->argc = state->argc - state->next;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "a command is needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp
    = { options, parse_option, "COMMAND [ARGUMENT...]", doc };

static void
handle_sigint (int signal)
{
  (void)signal;
  /* This ends only the wait: a submitted change is still carried out.  */
  _Exit (CLI_INTERRUPTED);
}

int
main (int argc, char **argv)
{
  struct cli_options cli_options = { 0 };

  argp_err_exit_status = CLI_USAGE;
  cli_options.servers = getenv ("DOGWOODPULLEY_SERVER");
  cli_options.token_file = getenv ("DOGWOODPULLEY_TOKEN_FILE");
  argp_parse (&argp, argc, argv, 0, NULL, &cli_options);
  signal (SIGINT, handle_sigint);
  return cli_run_command (&cli_options);
}
