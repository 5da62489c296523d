/* dogwoodpulleyd: the server process of an entry host.  */

#include "pf_platform.h"
#include "sv_request_server.h"
#include "sv_signals.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  EXIT_BAD_SETTINGS = 2,
  EXIT_CANNOT_START = 3
};

/* Read by jemalloc: return freed memory to the system after 1 s rather than
   10, so that what a crowd of clients has taken is soon free for others.  */
extern const char *malloc_conf;
const char *malloc_conf = "dirty_decay_ms:1000,muzzy_decay_ms:0";

const char *argp_program_version = "dogwoodpulleyd " DP_VERSION;

static const char doc[]
    = "Accept requests or jobs from callers and place them on hosts.\v"
      "Exit status: 0 after a planned stop, 2 when the settings are not "
      "valid, 3 when the process can't start, 70 when a duty (a supervised "
      "thread) failed and the process has to be replaced.";

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "YAML file with the settings", 0 },
        { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
        { "jobs", 'j', NULL, 0,
          "Accept jobs; the platform's settings file is given by the "
          "environment",
          0 },
        { "lookahead", 'l', NULL, 0,
          "With --jobs: reserve room for tasks that wait for it", 0 },
        { "shares", 'w', NULL, 0,
          "With --jobs: serve organisations by their weights in a full pool",
          0 },
        { 0 } };

struct arguments
{
  const char *settings;
  bool check;
  bool jobs;
  struct pf_job_options job_options;
};

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->settings = value;
      return 0;
    case 'c':
      arguments->check = true;
      return 0;
    case 'j':
      arguments->jobs = true;
      return 0;
    case 'l':
      arguments->job_options.lookahead = true;
      return 0;
    case 'w':
      arguments->job_options.shares = true;
      return 0;
    case ARGP_KEY_END:
      if (arguments->job_options.lookahead && !arguments->jobs)
        argp_error (state, "--lookahead needs --jobs");
      if (arguments->job_options.shares && !arguments->jobs)
        argp_error (state, "--shares needs --jobs");
      if (arguments->settings == NULL && !arguments->jobs)
        argp_error (state, "--settings FILE is needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = { options, parse_option, NULL, doc };

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };
  struct cf_settings *settings;
  struct sv_request_server *server;
  GError *error = NULL;
  TALLOC_CTX *mem;
  int status;

  sv_signals_block ();
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  if (arguments.jobs)
    return pf_serve_jobs (&arguments.job_options);
  mem = talloc_new (NULL);
  settings = cf_settings_load (mem, arguments.settings, &error);
  if (settings == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      return EXIT_BAD_SETTINGS;
    }
  if (arguments.check)
    {
      printf ("%s: the settings are valid\n", arguments.settings);
      return EXIT_SUCCESS;
    }
  server = sv_request_server_new (mem, settings, &error);
  if (server == NULL)
    {
      fprintf (stderr, "dogwoodpulleyd: %s\n", error->message);
      return EXIT_CANNOT_START;
    }
  status = sv_request_server_run (server);
  talloc_free (mem);
  return status;
}
