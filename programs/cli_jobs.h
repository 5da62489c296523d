#ifndef CLI_JOBS_H
#define CLI_JOBS_H

#include "cli_command.h"

/* Ask each server in OPTIONS for TOPIC, of the job ID unless that is NULL, and
   print what they answer.  Return the exit status: CLI_REFUSED when a job is
   asked for that none of them knows.  */
int cli_jobs_show (const struct cli_options *options, const char *topic,
                   const char *id);

#endif
