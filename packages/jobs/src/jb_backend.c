#include "jb_backend.h"

#include <glib.h>
#include <string.h>

struct jb_backend *
jb_backend_new (TALLOC_CTX *mem, const struct jb_backend_entry *entry)
{
  struct jb_backend *backend = talloc_zero (mem, struct jb_backend);

  backend->lease = jb_lease_new (backend);
  backend->instance = talloc_strdup (backend, entry->instance);
  backend->address = talloc_strdup (backend, entry->address);
  backend->zone = talloc_strdup (backend, entry->zone);
  backend->labels = talloc_array (backend, char *, entry->label_count + 1);
  backend->label_count = entry->label_count;
  for (uint32_t i = 0; i < entry->label_count; i++)
    backend->labels[i] = talloc_strdup (backend->labels, entry->labels[i]);
  if (entry->label_count > 0)
    backend->rack = backend->labels[entry->label_count - 1];
  backend->capacity = entry->capacity;
  backend->started_unix_ms = entry->started_unix_ms;
  return backend;
}

void
jb_backend_update (struct jb_backend *backend,
                   const struct jb_backend_entry *entry, jb_time now)
{
  backend->listed = true;
  backend->capacity = entry->capacity;
  if (entry->draining && !backend->draining)
    backend->draining_since = now;
  backend->draining = entry->draining;
  if (strcmp (backend->address, entry->address) != 0)
    {
      talloc_free (backend->address);
      backend->address = talloc_strdup (backend, entry->address);
    }
}

void
jb_backend_record_clock (struct jb_backend *backend, jb_time now,
                         int64_t clock_ms)
{
  backend->clock_ms = clock_ms;
  backend->clock_received_at = now;
}

bool
jb_backend_is_other_clock (const struct jb_backend *backend, jb_time sent_at,
                           int64_t clock_ms)
{
  int64_t elapsed_ms = (sent_at - backend->clock_received_at) / JB_MS;

  /* The answer was given after the command was sent.  */
  if (elapsed_ms > 0)
    elapsed_ms = elapsed_ms * (100 - JB_MAX_CLOCK_DRIFT_PERCENT) / 100;
  return backend->clock_received_at != 0
         && clock_ms < backend->clock_ms + elapsed_ms - JB_LEASE_MARGIN_MS;
}

bool
jb_backend_has_restarted (const struct jb_backend *backend,
                          int64_t started_unix_ms)
{
  return started_unix_ms != 0 && backend->started_unix_ms != 0
         && started_unix_ms != backend->started_unix_ms;
}

void
jb_backend_expect_lease (struct jb_backend *backend, jb_time now,
                         int64_t lease_ms)
{
  jb_lease_confirm (backend->lease, now + jb_backend_lease_time (lease_ms));
}

void
jb_backend_expect_other_clock (struct jb_backend *backend, jb_time now,
                               int64_t max_lease_ms)
{
  jb_lease_lengthen (backend->lease, jb_backend_lease_time (max_lease_ms));
  jb_backend_expect_lease (backend, now, max_lease_ms);
}

int64_t
jb_backend_grant_lease (struct jb_backend *backend, jb_time now,
                        int64_t lease_ms, uint64_t *number)
{
  jb_time elapsed = now - backend->clock_received_at;
  int64_t left_ms = elapsed / JB_MS + lease_ms;

  /* A slow clock has fallen back since it was reported.  */
  *number = jb_lease_add_grant (backend->lease, now,
                                jb_backend_lease_time (left_ms) - elapsed);
  return backend->clock_ms + left_ms;
}

jb_time
jb_backend_leases_expire_at (const struct jb_backend *backend)
{
  return jb_lease_end (backend->lease, 0);
}

jb_time
jb_backend_lease_time (int64_t lease_ms)
{
  return (lease_ms + JB_LEASE_MARGIN_MS) * JB_MS * 100
         / (100 - JB_MAX_CLOCK_DRIFT_PERCENT);
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

struct jb_resources
jb_backend_available (const struct jb_backend *backend)
{
  struct jb_resources available = backend->capacity;

  jb_resources_subtract (&available, &backend->reserved);
  jb_resources_subtract (&available, &backend->withheld);
  return available;
}
