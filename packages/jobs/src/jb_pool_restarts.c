/* Whether backend servers of a pool restart under their names: then a task
   with a start in doubt gets no higher run number (jb_pool_doubt.c).  A row
   tells a successor, so that the first restart that it sees itself is not the
   first for it.

   Expected load: a row each RESTART_MEMORY at most.  */

#include "jb_pool_internal.h"

/* How long after a backend server has restarted under its instance name others
   are expected to do so.  */
#define RESTART_MEMORY (60 * JB_SECOND)

#define RESTARTS_ROW(pool)                                                    \
  ((struct jb_row){ .table = JB_HANDOVER_TABLE,                               \
                    .partition = (pool)->partition,                           \
                    .key = JB_KEY_RESTARTS })

bool
jb_pool_restarts_occur (const struct jb_pool *pool, jb_time now)
{
  return now < pool->restarts_expected_until;
}

void
jb_pool_note_restart (struct jb_pool *pool, jb_time now)
{
  struct jb_row row = RESTARTS_ROW (pool);

  pool->restart_seen_at = now;
  pool->restarts_expected_until = now + RESTART_MEMORY;
  if (pool->has_restarts_row)
    return;
  pool->has_restarts_row = true;
  jb_ownership_write (pool->ownership, now, &row, 1, NULL, 0, NULL, NULL);
}

void
jb_pool_load_restarts (struct jb_pool *pool, jb_time now)
{
  pool->restarts_expected_until = now + RESTART_MEMORY;
  pool->has_restarts_row = true;
}

void
jb_pool_expire_restarts (struct jb_pool *pool, jb_time now)
{
  struct jb_row row = RESTARTS_ROW (pool);

  if (!pool->has_restarts_row || jb_pool_restarts_occur (pool, now))
    return;
  pool->has_restarts_row = false;
  jb_ownership_write (pool->ownership, now, NULL, 0, &row, 1, NULL, NULL);
}

void
jb_pool_watch_for_restarts (struct jb_pool *pool, jb_time now)
{
  jb_time until = MAX (now, pool->predecessor_until) + JB_MAX_COMMAND_DELAY;
  bool is_new = now >= pool->restarts_watched_until;

  pool->restarts_watched_until = MAX (pool->restarts_watched_until, until);
  if (!is_new)
    return;
  jb_log (pool->options.driver, JB_LEVEL_WARN, "restarts-watched", "pool",
          pool->options.name, "reason", "starts may be forgotten", "for_ms",
          jb_itoa ((pool->restarts_watched_until - now) / JB_MS), NULL);
}

bool
jb_pool_is_watched (const struct jb_pool *pool,
                    const struct jb_backend *backend, jb_time now)
{
  return backend->inherited && now < pool->restarts_watched_until;
}
