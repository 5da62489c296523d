/* dogwoodpulley: the operators' command.  */

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
    = "Drive a running dogwoodpulley.\v"
      "Commands:\n"
      "  check FILE               check a fleet configuration\n"
      "  diff FILE                compare it with the one in force\n"
      "  apply FILE               put it in force\n"
      "  status                   show the state of the system\n"
      "  hosts                    list the hosts\n"
      "  move HOST POOL           move a host to another pool\n"
      "  drain HOST               take a host out of use\n"
      "  activate HOST            put a host back, or end its move\n"
      "  maintain SCOPE NAME      reboot all hosts of a pool, rack or zone\n"
      "  maintain pause|resume|cancel ORDER\n"
      "  key grant TEAM           grant a new key and print it, once\n"
      "  key withdraw KEY|-       withdraw a key, or sha256:DIGEST; - reads "
      "it\n"
      "  counters                 print the counters of an entry host\n"
      "Of entry hosts with jobs, all of which are asked:\n"
      "  owners                   who holds which duty\n"
      "  pools                    pools, their backend servers and load\n"
      "  jobs                     jobs that have not ended\n"
      "  job ID                   a job and its steps\n"
      "  explain ID               the same, and why its tasks wait\n"
      "  waves                    maintenance\n"
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
        { "output", 'o', "text|json", 0, "Form of the output", 0 },
        { "token", 'T', "TOKEN", 0,
          "Identity of the change, to repeat one that was not confirmed", 0 },
        { "base", 'b', "VERSION", 0,
          "apply: fail unless this fleet version is in force", 0 },
        { "no-wait", 'n', NULL, 0, "Don't follow drains, moves and orders",
          0 },
        { 0 } };

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct cli_options *o = state->input;

  switch (key)
    {
    case 's':
      o->servers = value;
      return 0;
    case 't':
      o->token_file = value;
      return 0;
    case 'o':
      if (strcmp (value, "json") != 0 && strcmp (value, "text") != 0)
        argp_error (state, "--output: expected text or json");
      o->json = strcmp (value, "json") == 0;
      return 0;
    case 'T':
      o->change_token = value;
      return 0;
    case 'b':
      o->base = strtoull (value, NULL, 10);
      return 0;
    case 'n':
      o->no_wait = true;
      return 0;
    case ARGP_KEY_ARGS:
      o->argv = state->argv + state->next;
      o->argc = state->argc - state->next;
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
interrupted (int signal)
{
  (void)signal;
  /* The change goes on without us: only the watching ends.  */
  _Exit (CLI_INTERRUPTED);
}

int
main (int argc, char **argv)
{
  struct cli_options o = { 0 };

  argp_err_exit_status = CLI_USAGE;
  o.servers = getenv ("DOGWOODPULLEY_SERVER");
  o.token_file = getenv ("DOGWOODPULLEY_TOKEN_FILE");
  argp_parse (&argp, argc, argv, 0, NULL, &o);
  signal (SIGINT, interrupted);
  return cli_run (&o);
}
