#ifndef CLI_COMMAND_H
#define CLI_COMMAND_H

/* Commands of the operators' program.  */

#include "dogwoodpulley.h"

enum cli_exit_status
{
  CLI_OK = 0,
  CLI_REFUSED = 1,
  CLI_USAGE = 2,
  CLI_CONFLICT = 3,
  CLI_UNREACHABLE = 4,
  CLI_UNKNOWN = 5,
  CLI_PENDING = 6,
  CLI_INTERRUPTED = 130
};

struct cli_options
{
  const char *servers;
  const char *token_file;
  const char *change_token;
  uint64_t base;
  bool json;
  bool no_wait;
  char **argv; /* the command and its arguments */
  int argc;
};

/* Run the command in OPTIONS and return the exit status.  */
int cli_run (const struct cli_options *options);

#endif
