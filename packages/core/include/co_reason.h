#ifndef CO_REASON_H
#define CO_REASON_H

/* Reasons for giving a request a final answer that is not a backend server's
   answer.  */

#include <stdbool.h>
#include <stdint.h>

enum co_reason
{
  CO_REASON_NONE,
  CO_REASON_BAD_REQUEST,
  CO_REASON_BAD_DEADLINE,
  CO_REASON_BODY_TOO_LARGE,
  CO_REASON_UNKNOWN_QUEUE,
  CO_REASON_KEY_MISSING,
  CO_REASON_KEY_UNKNOWN,
  CO_REASON_LIMIT_ZERO,
  CO_REASON_QUEUE_FULL,
  CO_REASON_WAIT_TOO_LONG,
  CO_REASON_DEADLINE_PASSED,
  CO_REASON_NO_CONFIGURATION,
  CO_REASON_NO_LEASE, /* named "no-standing" in answers */
  CO_REASON_NO_HOST,
  CO_REASON_STOPPING,
  CO_REASON_OVERLOADED,
  CO_REASON_CONNECT_FAILED,
  CO_REASON_RETRY_BUDGET,
  CO_REASON_CLAIM_UNAVAILABLE,
  CO_REASON_DUPLICATE_RUNNING,
  CO_REASON_DUPLICATE_UNKNOWN,
  CO_REASON_DUPLICATE_TOO_LARGE,
  CO_REASON_BACKEND_BROKEN,
  CO_REASON_BACKEND_TIMEOUT,
  CO_REASON_ZONE_EVACUATED, /* like CO_REASON_NO_HOST */
  CO_REASON_COUNT
};

/* Whether the request has run, as far as a final answer can tell.  */
enum co_run_state
{
  CO_RUN_NOT_RUN, /* no byte of it can have reached a backend server */
  CO_RUN_UNKNOWN  /* it may have run */
};

struct co_reason_info
{
  const char *name;      /* stable name in answers, logs and counters */
  uint32_t http_status;  /* of the answer */
  enum co_run_state run; /* what the answer says about execution */
  bool retryable;        /* whether a later retry can succeed */
  const char *title;     /* one sentence for people */
};

/* Return the description of REASON.  Static.  */
const struct co_reason_info *co_reason_info (enum co_reason reason);

#endif
