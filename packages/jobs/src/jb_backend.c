#include "jb_backend.h"

#include <glib.h>
#include <string.h>

struct jb_backend *
jb_backend_new (TALLOC_CTX *mem, const struct jb_backend_entry *entry)
{
  struct jb_backend *backend = talloc_zero (mem, struct jb_backend);

  backend->instance = talloc_strdup (backend, entry->instance);
  backend->address = talloc_strdup (backend, entry->address);
  backend->zone = talloc_strdup (backend, entry->zone);
  backend->labels = talloc_array (backend, char *, entry->label_count + 1);
  backend->label_count = entry->label_count;
  for (uint32_t i = 0; i < entry->label_count; i++)
    backend->labels[i] = talloc_strdup (backend->labels, entry->labels[i]);
  if (entry->label_count > 0)
    backend->rack = backend->labels[entry->label_count - 1];
  backend->room = entry->room;
  backend->born_ms = entry->born_ms;
  return backend;
}

void
jb_backend_update (struct jb_backend *backend,
                   const struct jb_backend_entry *entry, jb_time now)
{
  backend->listed = true;
  backend->room = entry->room;
  if (entry->draining && !backend->draining)
    backend->drain_from = now;
  backend->draining = entry->draining;
  if (strcmp (backend->address, entry->address) != 0)
    {
      talloc_free (backend->address);
      backend->address = talloc_strdup (backend, entry->address);
    }
}

void
jb_backend_clock (struct jb_backend *backend, jb_time now, int64_t clock_ms)
{
  backend->clock_ms = clock_ms;
  backend->clock_at = now;
}

bool
jb_backend_reborn (const struct jb_backend *backend, int64_t born_ms)
{
  return born_ms != 0 && backend->born_ms != 0 && born_ms != backend->born_ms;
}

int64_t
jb_backend_lease (struct jb_backend *backend, jb_time now, int64_t lease_ms)
{
  int64_t until
      = backend->clock_ms + (now - backend->clock_at) / JB_MS + lease_ms;

  backend->until_ms = MAX (backend->until_ms, until);
  backend->last_lease = now;
  return until;
}

jb_time
jb_backend_lapses_at (const struct jb_backend *backend)
{
  int64_t left = backend->until_ms - backend->clock_ms + JB_LEASE_MARGIN_MS;

  return backend->clock_at
         + MAX (left, 0) * JB_MS * 100 / (100 - JB_SLOW_CLOCK_PERCENT);
}

bool
jb_backend_lapsed (const struct jb_backend *backend, jb_time now)
{
  return now > jb_backend_lapses_at (backend);
}

bool
jb_backend_has_label (const struct jb_backend *backend, const char *label)
{
  if (label == NULL)
    return true;
  for (uint32_t i = 0; i < backend->label_count; i++)
    if (strcmp (backend->labels[i], label) == 0)
      return true;
  return false;
}

struct jb_amount
jb_backend_free (const struct jb_backend *backend)
{
  struct jb_amount left = backend->room;

  jb_amount_subtract (&left, &backend->used);
  return left;
}
