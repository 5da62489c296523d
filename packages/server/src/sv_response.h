#ifndef SV_RESPONSE_H
#define SV_RESPONSE_H

/* Final answers that are not a backend's: problem details (RFC 9457).  */

#include "co_reason.h"
#include "ht_server.h"

/* Answer the call ID with REASON.  DETAIL says more, or is NULL.  */
void sv_response_send_problem (struct ht_server *server, uint64_t id,
                               enum co_reason reason, uint32_t retry_after_ms,
                               const char *detail);

/* Split "NAME: VALUE" lines into fields owned by MEM.  Returns their
   number.  */
size_t sv_response_parse_headers (TALLOC_CTX *mem, const char *lines,
                                  struct ht_field **fields);

#endif
