#ifndef CO_INSPECT_H
#define CO_INSPECT_H

/* Reads rows of the table service, for tests and tools.  */

#include "co_types.h"

/* Return the sum of the grants of RESOURCE ("t/TEAM" or "h/HOST") in the
   ledger row BODY; 0 if it has none or BODY can't be decoded.  */
int64_t co_ledger_row_total (struct ba_bytes body, const char *resource);

#endif
