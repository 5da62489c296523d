#include "jb_backend.h"

#include <glib.h>
#include <string.h>

/* Take over the labels of ENTRY.  */
static void
set_labels (struct jb_backend *backend, const struct jb_backend_entry *entry)
{
  char **labels = talloc_array (backend, char *, entry->label_count + 1);

  for (uint32_t i = 0; i < entry->label_count; i++)
    labels[i] = talloc_strdup (labels, entry->labels[i]);
  talloc_free (backend->labels);
  backend->labels = labels;
  backend->label_count = entry->label_count;
  backend->rack
      = entry->label_count > 0 ? labels[entry->label_count - 1] : NULL;
  backend->labelled_unix_ms = entry->started_unix_ms;
}

/* Return whether ENTRY has other labels than BACKEND, or is of another
   incarnation than those.  */
static bool
has_other_labels (const struct jb_backend *backend,
                  const struct jb_backend_entry *entry)
{
  bool differs = entry->label_count != backend->label_count
                 || entry->started_unix_ms != backend->labelled_unix_ms;

  for (uint32_t i = 0; i < entry->label_count && !differs; i++)
    differs = strcmp (entry->labels[i], backend->labels[i]) != 0;
  return differs;
}

struct jb_backend *
jb_backend_new (TALLOC_CTX *mem, const struct jb_backend_entry *entry)
{
  struct jb_backend *backend = talloc_zero (mem, struct jb_backend);

  backend->lease = jb_lease_new (backend);
  backend->instance = talloc_strdup (backend, entry->instance);
  backend->address = talloc_strdup (backend, entry->address);
  backend->zone = talloc_strdup (backend, entry->zone);
  set_labels (backend, entry);
  backend->capacity = entry->capacity;
  backend->started_unix_ms = entry->started_unix_ms;
  return backend;
}

bool
jb_backend_update (struct jb_backend *backend,
                   const struct jb_backend_entry *entry, jb_time now)
{
  /* That of a former incarnation may be listed for a while.  */
  bool is_relabelled = (entry->started_unix_ms == 0
                        || entry->started_unix_ms >= backend->started_unix_ms)
                       && has_other_labels (backend, entry);

  backend->listed = true;
  backend->capacity = entry->capacity;
  if (entry->draining && !backend->draining)
    backend->draining_since = now;
  backend->draining = entry->draining;
  if (is_relabelled)
    set_labels (backend, entry);
  if (strcmp (backend->address, entry->address) != 0)
    {
      talloc_free (backend->address);
      backend->address = talloc_strdup (backend, entry->address);
    }
  return is_relabelled;
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
  /* The next incarnation may have other ones.  */
  if (backend->labelled_unix_ms != 0
      && backend->labelled_unix_ms < backend->started_unix_ms)
    return false;
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
