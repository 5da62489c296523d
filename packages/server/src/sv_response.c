#include "sv_response.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const char *const run_state_names[]
    = { [CO_RUN_NOT_RUN] = "not-run", [CO_RUN_UNKNOWN] = "unknown" };

static char *
encode_problem (const struct co_reason_info *info, uint32_t retry_after_ms,
                const char *detail)
{
  json_t *root
      = json_pack ("{s:s,s:s,s:i,s:s,s:s}", "type", "about:blank", "title",
                   info->title, "status", (int)info->http_status, "reason",
                   info->name, "run", run_state_names[info->run]);
  char *text;

  if (detail != NULL)
    json_object_set_new (root, "detail", json_string (detail));
  if (retry_after_ms > 0)
    json_object_set_new (root, "retry_after_ms",
                         json_integer (retry_after_ms));
  text = json_dumps (root, JSON_COMPACT | JSON_PRESERVE_ORDER);
  json_decref (root);
  return text;
}

void
sv_response_send_problem (struct ht_server *server, uint64_t id,
                          enum co_reason reason, uint32_t retry_after_ms,
                          const char *detail)
{
  const struct co_reason_info *info = co_reason_info (reason);
  char *body = encode_problem (info, retry_after_ms, detail);
  char seconds[16];
  char milliseconds[16];
  struct ht_field fields[]
      = { { "Content-Type", "application/problem+json" },
          { "Dogwoodpulley-Reason", info->name },
          { "Dogwoodpulley-Run", run_state_names[info->run] },
          { "Retry-After", retry_after_ms > 0 ? seconds : NULL },
          { "Retry-After-Ms", retry_after_ms > 0 ? milliseconds : NULL } };

  snprintf (seconds, sizeof seconds, "%" PRIu32,
            (retry_after_ms + 999) / 1000);
  snprintf (milliseconds, sizeof milliseconds, "%" PRIu32, retry_after_ms);
  ht_call_respond (server, id, info->http_status, fields,
                   G_N_ELEMENTS (fields), body, strlen (body));
  free (body);
}

size_t
sv_response_parse_headers (TALLOC_CTX *mem, const char *lines,
                           struct ht_field **fields)
{
  size_t count = 0;
  char *copy = talloc_strdup (mem, lines ? lines : "");
  char *position = NULL;

  *fields = NULL;
  for (char *line = strtok_r (copy, "\n", &position); line != NULL;
       line = strtok_r (NULL, "\n", &position))
    {
      char *colon = strstr (line, ": ");

      if (colon == NULL)
        continue;
      *colon = '\0';
      *fields = talloc_realloc (mem, *fields, struct ht_field, count + 1);
      (*fields)[count].name = line;
      (*fields)[count].value = colon + 2;
      count++;
    }
  return count;
}
