#include "co_reason.h"

#include <glib.h>

/* What answers, logs and counters say for each reason.  */

static const struct co_reason_info reasons[CO_REASON_COUNT] = {
  [CO_REASON_NONE] = { "none", 500, CO_RUN_UNKNOWN, false, "No reason" },
  [CO_REASON_BAD_REQUEST]
  = { "bad-request", 400, CO_RUN_NOT_RUN, false,
      "A header or the path of the request is not valid" },
  [CO_REASON_BAD_DEADLINE]
  = { "bad-deadline", 400, CO_RUN_NOT_RUN, false,
      "The deadline is not a number of milliseconds in the allowed range" },
  [CO_REASON_BODY_TOO_LARGE]
  = { "body-too-large", 413, CO_RUN_NOT_RUN, false,
      "The request body exceeds the configured size" },
  [CO_REASON_UNKNOWN_QUEUE]
  = { "unknown-queue", 404, CO_RUN_NOT_RUN, false, "No queue has this name" },
  [CO_REASON_KEY_MISSING]
  = { "key-missing", 401, CO_RUN_NOT_RUN, false,
      "The queue is not open to all and the request has no key" },
  [CO_REASON_KEY_UNKNOWN] = { "key-unknown", 403, CO_RUN_NOT_RUN, false,
                              "The key belongs to no team" },
  [CO_REASON_LIMIT_ZERO]
  = { "limit-zero", 403, CO_RUN_NOT_RUN, false,
      "The upper limit of the team is zero: its work can never run" },
  [CO_REASON_QUEUE_FULL] = { "queue-full", 429, CO_RUN_NOT_RUN, true,
                             "Too many requests wait on this queue" },
  [CO_REASON_WAIT_TOO_LONG]
  = { "wait-too-long", 503, CO_RUN_NOT_RUN, true,
      "The expected wait exceeds the deadline of the request" },
  [CO_REASON_DEADLINE_PASSED]
  = { "deadline-passed", 504, CO_RUN_NOT_RUN, true,
      "The deadline passed before the request could start" },
  [CO_REASON_NO_CONFIGURATION]
  = { "no-configuration", 503, CO_RUN_NOT_RUN, true,
      "This entry host has not loaded a fleet configuration" },
  [CO_REASON_NO_LEASE]
  = { "no-standing", 503, CO_RUN_NOT_RUN, true,
      "This entry host can't prove that its state is current" },
  [CO_REASON_NO_HOST] = { "no-host", 503, CO_RUN_NOT_RUN, true,
                          "No host of the pool can take work" },
  [CO_REASON_STOPPING]
  = { "stopping", 503, CO_RUN_NOT_RUN, true, "This entry host is stopping" },
  [CO_REASON_OVERLOADED] = { "overloaded", 503, CO_RUN_NOT_RUN, true,
                             "This entry host holds too many requests" },
  [CO_REASON_CONNECT_FAILED]
  = { "connect-failed", 502, CO_RUN_NOT_RUN, true,
      "No connection to a backend server could be made" },
  [CO_REASON_RETRY_BUDGET] = { "retry-budget", 503, CO_RUN_NOT_RUN, true,
                               "The retry budget of the pool is used up" },
  [CO_REASON_CLAIM_UNAVAILABLE]
  = { "claim-unavailable", 503, CO_RUN_NOT_RUN, true,
      "The claim that makes the request run at most once can't be stored" },
  [CO_REASON_DUPLICATE_RUNNING]
  = { "duplicate-running", 409, CO_RUN_UNKNOWN, true,
      "A request with this identity is running" },
  [CO_REASON_DUPLICATE_UNKNOWN]
  = { "duplicate-unknown", 409, CO_RUN_UNKNOWN, false,
      "A request with this identity was started and its outcome is unknown" },
  [CO_REASON_DUPLICATE_TOO_LARGE]
  = { "duplicate-too-large", 409, CO_RUN_UNKNOWN, false,
      "A request with this identity has run; its answer was not kept" },
  [CO_REASON_BACKEND_BROKEN]
  = { "backend-broken", 502, CO_RUN_UNKNOWN, false,
      "The backend server failed after the request was sent" },
  [CO_REASON_BACKEND_TIMEOUT]
  = { "backend-timeout", 504, CO_RUN_UNKNOWN, false,
      "The deadline passed while the request was running" },
  [CO_REASON_ZONE_EVACUATED]
  = { "zone-evacuated", 503, CO_RUN_NOT_RUN, true,
      "All hosts of the pool that could take work are in evacuated zones" },
};

const struct co_reason_info *
co_reason_info (enum co_reason reason)
{
  g_assert (reason < CO_REASON_COUNT);
  return &reasons[reason];
}
