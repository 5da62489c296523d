#ifndef SV_RESPONSE_H
#define SV_RESPONSE_H

/* Helpers for HTTP responses to clients.  */

#include "co_reason.h"
#include "ht_server.h"

/* Answer the call ID of SERVER with problem details (RFC 9457): why the
   request has no answer of a backend server, and whether it may have run.
   RETRY_AFTER_MS says when to try again; 0 leaves it out.  DETAIL is one more
   sentence, or NULL.  */
void sv_response_send_problem (struct ht_server *server, uint64_t id,
                               enum co_reason reason, uint32_t retry_after_ms,
                               const char *detail);

/* Split LINES of the form "NAME: VALUE" into header fields.  LINES may be
   NULL. Set FIELDS to them, owned by MEM, and return their number.  */
size_t sv_response_parse_headers (TALLOC_CTX *mem, const char *lines,
                                  struct ht_field **fields);

#endif
