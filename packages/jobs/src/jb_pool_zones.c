/* What a pool's owner does while availability zones are evacuated: it starts
   nothing there, and moves long-running tasks to other zones as far as their
   disruption budgets and the room there allow.  Finite tasks are left to
   finish.  */

#include "jb_pool_internal.h"

#include "jb_crash.h"

#include <string.h>

bool
jb_pool_is_in_evacuated_zone (const struct jb_pool *pool,
                              const struct jb_backend *backend)
{
  return pool->options.zones != NULL
         && !jb_pool_has_disabled (pool, JB_SAFEGUARD_ZONES)
         && jb_zones_is_evacuated (pool->options.zones, backend->zone);
}

bool
jb_pool_awaits_answer (const struct jb_pool *pool,
                       const struct jb_backend *backend)
{
  return pool->options.zones != NULL && backend->listed
         && backend->probe_answered_at
                < jb_zones_restored_at (pool->options.zones, backend->zone);
}

bool
jb_pool_zone_is_usable (const struct jb_pool *pool,
                        const struct jb_backend *backend)
{
  const struct jb_zones *zones = pool->options.zones;

  if (zones == NULL || jb_pool_has_disabled (pool, JB_SAFEGUARD_ZONES))
    return true;
  return jb_zones_are_known (zones)
         && !jb_zones_is_evacuated (zones, backend->zone)
         && !jb_pool_awaits_answer (pool, backend);
}

void
jb_pool_limit_fill (const struct jb_pool *pool, struct jb_backend *backend,
                    jb_time now)
{
  int64_t permille
      = pool->options.zones != NULL
            ? jb_zones_fill_permille (pool->options.zones, backend->zone, now)
            : 1000;
  int64_t withheld = 1000 - permille;

  backend->withheld = (struct jb_resources){
    .cpu_milli = backend->capacity.cpu_milli * withheld / 1000,
    .memory_mb = backend->capacity.memory_mb * withheld / 1000,
    .accelerators = backend->capacity.accelerators * withheld / 1000
  };
}

struct jb_pool_zone_runs
jb_pool_count_zone_runs (const struct jb_pool *pool, const char *zone)
{
  struct jb_pool_zone_runs runs = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (strcmp (backend->zone, zone) != 0)
        continue;
      for (const struct jb_task *task = backend->tasks; task != NULL;
           task = task->next_on_backend)
        if (jb_task_step (task)->long_running)
          runs.long_running++;
        else
          runs.finite++;
    }
  return runs;
}

/* ---- moving long-running tasks away ---- */

/* What is free on a usable backend server, beside the tasks that were counted
   there in this sweep.  */
struct room
{
  struct jb_backend *backend;
  struct jb_resources available;
  bool closed; /* nothing more is counted there in this sweep */
};

struct rooms
{
  struct room *rooms;
  uint32_t count;
};

/* Return the room on the usable backend servers, owned by MEM.  */
static struct rooms
collect_rooms (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now)
{
  struct rooms rooms = { 0 };

  jb_pool_collect_usable_backends (pool, now);
  rooms.rooms = talloc_zero_array (mem, struct room, pool->usable_count + 1);
  for (; rooms.count < pool->usable_count; rooms.count++)
    {
      struct jb_backend *backend = pool->usable_backends[rooms.count];

      rooms.rooms[rooms.count].backend = backend;
      rooms.rooms[rooms.count].available = jb_backend_available (backend);
    }
  return rooms;
}

/* Count TASK on a backend server that has room for it.  Return whether there
   is one.  */
static bool
take_room (struct rooms *rooms, const struct jb_task *task, jb_time now)
{
  const struct jb_step *step = jb_task_step (task);
  struct jb_resources required = step->resources;

  if (step->best_effort)
    required.cpu_milli = 0;
  for (uint32_t i = 0; i < rooms->count; i++)
    {
      struct room *room = &rooms->rooms[i];

      if (room->closed || !jb_resources_fit (&required, &room->available)
          || !jb_place_is_allowed (task, room->backend)
          || jb_crash_keeps_apart (task, room->backend, now))
        continue;
      jb_resources_subtract (&room->available, &required);
      /* The tasks that are counted here are not among those that the limit of
         a backend server is compared with.  */
      room->closed = step->max_per_backend > 0;
      return true;
    }
  return false;
}

/* Take the room of the long-running tasks that have no run or whose run ends,
   which start before any other task.  */
static void
take_room_of_waiting_tasks (const struct jb_pool *pool, struct rooms *rooms,
                            jb_time now)
{
  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      const struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      for (guint j = 0; job->ended_at == 0 && j < job->groups->len; j++)
        {
          const struct jb_task_group *group
              = g_ptr_array_index (job->groups, j);

          if (!group->ready || !jb_task_group_step (group)->long_running)
            continue;
          for (uint32_t k = 0; k < group->task_count; k++)
            if (group->tasks[k].state == JB_RUN_NONE
                || group->tasks[k].state == JB_RUN_STOPPING)
              take_room (rooms, &group->tasks[k], now);
        }
    }
}

/* Return whether TASK, and all other members of its gang in evacuated zones,
   can be started elsewhere now.  */
static bool
has_room_elsewhere (const struct jb_pool *pool, struct rooms *rooms,
                    struct jb_task *task, jb_time now)
{
  struct jb_task_group *group = task->group;

  if (!jb_task_step (task)->gang)
    return take_room (rooms, task, now);
  for (uint32_t i = 0; i < group->task_count; i++)
    if (group->tasks[i].backend != NULL
        && jb_pool_is_in_evacuated_zone (pool, group->tasks[i].backend)
        && !take_room (rooms, &group->tasks[i], now))
      return false;
  return true;
}

static void
move_from_backend (struct jb_pool *pool, struct jb_backend *backend,
                   struct rooms *rooms, jb_time now)
{
  for (struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    {
      if (!jb_task_step (task)->long_running || task->state != JB_RUN_RUNNING
          || !jb_pool_may_move_long_running (pool, task, now)
          || !jb_pool_ensure_advice (pool, task->group, now)
          || !has_room_elsewhere (pool, rooms, task, now))
        continue;
      jb_pool_stop_run (pool, task, now, "its zone is being evacuated");
    }
}

/* ---- log ---- */

static bool
has_starts_in_flight (const struct jb_pool *pool, const char *zone)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (backend->starts_in_flight > 0 && strcmp (backend->zone, zone) == 0)
        return true;
    }
  return false;
}

/* Log once for each evacuation when nothing runs in the zone any more.  */
static void
log_empty_zones (struct jb_pool *pool, jb_time now)
{
  const struct jb_zones *zones = pool->options.zones;

  for (uint32_t i = 0; i < jb_zones_count (zones); i++)
    {
      const struct jb_zone *zone = jb_zones_at (zones, i);
      struct jb_pool_zone_runs runs;
      uint64_t *change;

      if (!zone->entry.evacuated
          || g_hash_table_contains (pool->empty_zones, &zone->change))
        continue;
      runs = jb_pool_count_zone_runs (pool, zone->entry.zone);
      if (runs.finite > 0 || runs.long_running > 0
          || has_starts_in_flight (pool, zone->entry.zone))
        continue;
      change = g_new (uint64_t, 1);
      *change = zone->change;
      g_hash_table_add (pool->empty_zones, change);
      jb_log (pool->options.driver, JB_LEVEL_INFO, "zone-empty", "zone",
              zone->entry.zone, "pool", pool->options.name, "ms",
              jb_itoa ((now - zone->since) / JB_MS), NULL);
    }
}

void
jb_pool_leave_zones (struct jb_pool *pool, jb_time now)
{
  TALLOC_CTX *scratch;
  const GPtrArray *backends;
  struct rooms rooms = { 0 };

  if (pool->options.zones == NULL
      || !jb_zones_any_evacuated (pool->options.zones)
      || !jb_pool_may_command (pool, now))
    return;
  log_empty_zones (pool, now);
  scratch = talloc_new (NULL);
  backends = jb_pool_list_backends (pool);
  for (guint i = 0; i < backends->len; i++)
    {
      struct jb_backend *backend = g_ptr_array_index (backends, i);

      if (backend->task_count == 0
          || !jb_pool_is_in_evacuated_zone (pool, backend))
        continue;
      if (rooms.rooms == NULL)
        {
          rooms = collect_rooms (pool, scratch, now);
          take_room_of_waiting_tasks (pool, &rooms, now);
        }
      move_from_backend (pool, backend, &rooms, now);
    }
  talloc_free (scratch);
}
