#include "sv_connections.h"

#include "ba_counter.h"
#include "ba_memory.h"

#include <inttypes.h>
#include <stdio.h>

enum
{
  FIXED_FIELD_COUNT = 3,
  MAX_NUMBER_BYTES = 24
};

static void
check_server (struct sv_connections *connections, struct sv_log *log)
{
  struct jb_log_field fields[FIXED_FIELD_COUNT + HT_REJECTION_COUNT];
  char numbers[FIXED_FIELD_COUNT + HT_REJECTION_COUNT][MAX_NUMBER_BYTES];
  struct ht_server_usage usage;
  bool rejected = false;

  ht_server_close_overdue (*connections->server);
  ht_server_get_usage (*connections->server, &usage);
  snprintf (numbers[1], sizeof numbers[1], "%u", usage.connections);
  snprintf (numbers[2], sizeof numbers[2], "%zu", usage.body_bytes);
  fields[0] = (struct jb_log_field){ "server", connections->name };
  fields[1] = (struct jb_log_field){ "open", numbers[1] };
  fields[2] = (struct jb_log_field){ "body_bytes", numbers[2] };
  for (unsigned i = 0; i < HT_REJECTION_COUNT; i++)
    {
      uint64_t count = usage.rejections[i] - connections->logged[i];
      unsigned field = FIXED_FIELD_COUNT + i;

      rejected |= count > 0;
      connections->logged[i] = usage.rejections[i];
      snprintf (numbers[field], sizeof numbers[field], "%" PRIu64, count);
      fields[field]
          = (struct jb_log_field){ ht_rejection_name (i), numbers[field] };
    }
  if (rejected)
    sv_log_fields (log, CF_LOG_WARN, "clients-rejected", fields,
                   G_N_ELEMENTS (fields));
}

void
sv_connections_check (struct sv_connections *list, size_t count,
                      struct sv_log *log)
{
  for (size_t i = 0; i < count; i++)
    if (*list[i].server != NULL)
      check_server (&list[i], log);
  ba_memory_return_freed ();
}

char *
sv_connections_format_metrics (const struct sv_connections *list, size_t count,
                               TALLOC_CTX *mem)
{
  TALLOC_CTX *scratch = talloc_new (mem);
  size_t rejection_count = 0;
  size_t usage_count = 0;
  struct ba_counter *rejections = talloc_zero_array (
      scratch, struct ba_counter, count * HT_REJECTION_COUNT);
  char *usages = talloc_strdup (
      scratch, "# TYPE dogwoodpulley_request_body_bytes gauge\n");
  char *text;

  for (size_t i = 0; i < count; i++)
    {
      struct ht_server_usage usage;

      if (*list[i].server == NULL)
        continue;
      ht_server_get_usage (*list[i].server, &usage);
      usage_count++;
      usages = talloc_asprintf_append_buffer (
          usages, "dogwoodpulley_request_body_bytes{server=\"%s\"} %zu\n",
          list[i].name, usage.body_bytes);
      for (unsigned reason = 0; reason < HT_REJECTION_COUNT; reason++)
        {
          struct ba_counter *counter = &rejections[rejection_count++];

          counter->name = "dogwoodpulley_clients_rejected_total";
          counter->labels
              = talloc_asprintf (scratch, "server=\"%s\",reason=\"%s\"",
                                 list[i].name, ht_rejection_name (reason));
          counter->help = "Clients whose connection was closed or whose "
                          "request was refused because of a limit";
          counter->value = usage.rejections[reason];
        }
    }
  text = talloc_asprintf (
      mem, "%s%s", ba_counter_format (scratch, rejections, rejection_count),
      usage_count > 0 ? usages : "");
  talloc_free (scratch);
  return text;
}
