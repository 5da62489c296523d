#include "ba_counter.h"

#include <inttypes.h>
#include <string.h>

char *
ba_counter_format (TALLOC_CTX *mem, struct ba_counter *counters, size_t count)
{
  char *text = talloc_strdup (mem, "");
  const char *previous_name = "";

  for (size_t i = 0; i < count; i++)
    {
      const struct ba_counter *counter = &counters[i];

      if (strcmp (previous_name, counter->name) != 0)
        text = talloc_asprintf_append_buffer (text,
                                              "# HELP %s %s\n# TYPE %s"
                                              " counter\n",
                                              counter->name, counter->help,
                                              counter->name);
      previous_name = counter->name;
      if (counter->labels != NULL)
        text = talloc_asprintf_append_buffer (
            text, "%s{%s} %" PRIu64 "\n", counter->name, counter->labels,
            atomic_load_explicit (&counter->value, memory_order_relaxed));
      else
        text = talloc_asprintf_append_buffer (
            text, "%s %" PRIu64 "\n", counter->name,
            atomic_load_explicit (&counter->value, memory_order_relaxed));
    }
  return text;
}
