#ifndef CLI_JOBS_H
#define CLI_JOBS_H

/* Views of jobs, pools and maintenance waves, collected from all entry
   hosts.  */

#include "cli_command.h"

/* Query each server in OPTIONS for the view TOPIC, restricted to the job with
   ID unless that is NULL, and print the responses.  Return an enum
   cli_exit_status: CLI_REFUSED when no server that answered knows the job,
   CLI_UNREACHABLE when none answered.  */
int cli_jobs_print_view (const struct cli_options *options, const char *topic,
                         const char *id);

#endif
