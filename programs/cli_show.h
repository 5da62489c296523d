#ifndef CLI_SHOW_H
#define CLI_SHOW_H

/* Output of fleet configurations and of the status of entry hosts.  */

#include <stdbool.h>

/* Print the lines that differ between two texts: those only in CURRENT after a
   '-', those only in DESIRED after a '+'.  */
void cli_show_diff (const char *current, const char *desired);

/* Print STATUS, the JSON text of dp_client_status: as tables, or unchanged if
   JSON.  */
void cli_show_status (const char *status, bool json);

/* Print the hosts in STATUS, one per line, or as a JSON array if JSON.  */
void cli_show_hosts (const char *status, bool json);

/* Print ZONES, the JSON text of dp_client_zones: as a table, or unchanged if
   JSON.  */
void cli_show_zones (const char *zones, bool json);

#endif
