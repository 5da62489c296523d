#ifndef SV_RESPONSE_H
#define SV_RESPONSE_H

/* Helpers for HTTP responses to clients.  */

#include "co_reason.h"
#include "ht_server.h"

/* Answer the call ID of SERVER with problem details (RFC 9457): REASON, for
   which there is no answer from a backend server, and whether the request may
   have run.  RETRY_AFTER_MS is the time after which the client may retry; 0
   leaves it out.  DETAIL is a sentence that explains this case, or NULL.  */
void sv_response_send_problem (struct ht_server *server, uint64_t id,
                               enum co_reason reason, uint32_t retry_after_ms,
                               const char *detail);

/* Parse LINES of the form "NAME: VALUE", or NULL, into header fields.  Set
   FIELDS to an array of them, owned by MEM, and return their number.  */
size_t sv_response_parse_headers (TALLOC_CTX *mem, const char *lines,
                                  struct ht_field **fields);

#endif
