#include "ba_counter.h"

#include <inttypes.h>
#include <string.h>

char *
ba_counter_format (TALLOC_CTX *mem, struct ba_counter *counters, size_t count)
{
  char *text = talloc_strdup (mem, "");
  const char *previous = "";

  for (size_t i = 0; i < count; i++)
    {
      const struct ba_counter *c = &counters[i];

      if (strcmp (previous, c->name) != 0)
        text = talloc_asprintf_append_buffer (text,
                                              "# HELP %s %s\n# TYPE %s"
                                              " counter\n",
                                              c->name, c->help, c->name);
      previous = c->name;
      if (c->labels != NULL)
        text = talloc_asprintf_append_buffer (
            text, "%s{%s} %" PRIu64 "\n", c->name, c->labels,
            atomic_load_explicit (&c->value, memory_order_relaxed));
      else
        text = talloc_asprintf_append_buffer (
            text, "%s %" PRIu64 "\n", c->name,
            atomic_load_explicit (&c->value, memory_order_relaxed));
    }
  return text;
}
