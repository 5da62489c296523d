#ifndef CLI_COMMAND_H
#define CLI_COMMAND_H

/* Commands of dogwoodpulley, the operators' command-line program.  */

#include "dogwoodpulley.h"

/* Exit statuses of the program.  */
enum cli_exit_status
{
  CLI_OK = 0,
  CLI_REFUSED = 1,     /* the change is not allowed, or the job unknown */
  CLI_USAGE = 2,       /* the command line or a file is not valid */
  CLI_CONFLICT = 3,    /* another change came first */
  CLI_UNREACHABLE = 4, /* no entry host answered; nothing was changed, unless
                          the program was waiting for a change to finish */
  CLI_UNKNOWN = 5,     /* the change was not confirmed; it can be repeated with
                          the same token */
  CLI_PENDING = 6,     /* committed, but not yet acknowledged by a majority of
                          the entry hosts */
  CLI_INTERRUPTED = 130 /* SIGINT */
};

struct cli_options
{
  const char *servers;      /* admin URLs with commas between them, or NULL */
  const char *token_file;   /* file with the operators' token, or NULL */
  const char *change_token; /* identity of the change; NULL: a random one */
  uint64_t base;            /* fleet version that `apply' requires; 0: any */
  bool json;                /* print JSON instead of text */
  bool no_wait;             /* don't wait for a change to finish */
  char **argv;              /* the command and its arguments */
  int argc;
};

/* Run the command in OPTIONS.  Return an enum cli_exit_status.  */
int cli_run_command (const struct cli_options *options);

#endif
