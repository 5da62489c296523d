#include "jb_reserve.h"

#include <stdio.h>
#include <string.h>

/* How long the expected run time of a group's tasks is used before it is
   looked up again.  */
#define EXPECTATION_VALIDITY (250 * JB_MS)

enum
{
  MAX_GAP_MISSES = 16
};

/* The free capacity of a backend server in each step, by the expected ends of
   the runs there, without reservations.  It does not shrink from one step to
   the next.  */
struct room_over_time
{
  struct jb_resources steps[JB_RESERVE_STEPS];
};

/* A backend server with reservations, in this cycle.  */
struct reserved_backend
{
  struct jb_backend *backend;
  uint32_t counts[JB_RESERVE_MAX]; /* members of each reservation there */
  /* The room over time when there were TASK_COUNT tasks; in a cycle, tasks are
     only added.  */
  bool is_known;
  uint32_t task_count;
  struct room_over_time room;
};

/* A task that found no place beside the reservations in AHEAD.  */
struct gap_miss
{
  struct jb_place_miss miss;
  jb_time duration;
  uint32_t ahead;
};

struct jb_reserve
{
  struct jb_reserve_options options;
  struct jb_reserve_stats stats;
  struct jb_reservation *items[JB_RESERVE_MAX];
  uint32_t count;
  struct jb_backend *const *backends; /* usable in this cycle, borrowed */
  uint32_t backend_count;
  struct jb_backend **permitted; /* scratch space for as many */
  GArray *reserved;              /* struct reserved_backend */
  /* Backend server -> its position in `reserved', counted from 1.  */
  GHashTable *reserved_numbers;
  struct gap_miss misses[MAX_GAP_MISSES];
  uint32_t miss_count;
  /* The last plan.  */
  struct room_over_time *rooms; /* of each of `backends' */
  jb_time planned_at;           /* JB_NEVER: there was none */
  jb_time accounted_at;         /* of idle room */
  int64_t idle_cpu_milli;       /* since then */
};

static int
reserve_destroy (struct jb_reserve *reserve)
{
  g_array_free (reserve->reserved, TRUE);
  g_hash_table_destroy (reserve->reserved_numbers);
  return 0;
}

struct jb_reserve *
jb_reserve_new (TALLOC_CTX *mem, const struct jb_reserve_options *options)
{
  struct jb_reserve *reserve = talloc_zero (mem, struct jb_reserve);

  reserve->options = *options;
  reserve->planned_at = JB_NEVER;
  reserve->reserved
      = g_array_new (FALSE, TRUE, sizeof (struct reserved_backend));
  reserve->reserved_numbers = g_hash_table_new (g_direct_hash, g_direct_equal);
  talloc_set_destructor (reserve, reserve_destroy);
  return reserve;
}

uint32_t
jb_reserve_count (const struct jb_reserve *reserve)
{
  return reserve->count;
}

struct jb_reservation *
jb_reserve_get (struct jb_reserve *reserve, uint32_t index)
{
  return reserve->items[index];
}

const struct jb_reserve_stats *
jb_reserve_stats (const struct jb_reserve *reserve)
{
  return &reserve->stats;
}

const char *
jb_reserve_end_name (enum jb_reserve_end reason)
{
  static const char *const names[]
      = { [JB_RESERVE_STARTED] = "started",
          [JB_RESERVE_NO_DEMAND] = "the tasks no longer wait",
          [JB_RESERVE_BACKEND] = "a backend server is not usable any more",
          [JB_RESERVE_OVERTIME] = "not used in time" };

  return names[reason];
}

bool
jb_reserve_exceeds_weight (int64_t used_cpu_milli, int64_t capacity_cpu_milli,
                           uint32_t weight, uint64_t weight_sum,
                           bool others_wait)
{
  if (!others_wait || weight_sum == 0)
    return false;
  return (double)used_cpu_milli * (double)weight_sum
         > (double)capacity_cpu_milli * (double)weight;
}

/* ---- room over time ---- */

static const struct jb_duration *
expected_duration (struct jb_reserve *reserve, struct jb_task_group *group,
                   jb_time now)
{
  if (group->expected_until <= now)
    {
      group->expected = jb_duration_expect (
          reserve->options.durations, group->job->desc->queue, group->step,
          jb_task_group_step (group)->estimate_ms);
      group->expected_until = now + EXPECTATION_VALIDITY;
    }
  return &group->expected;
}

/* Return how long a task of GROUP takes room: a long-running one beyond the
   horizon.  */
static jb_time
placement_duration (struct jb_reserve *reserve, struct jb_task_group *group,
                    jb_time now)
{
  if (jb_task_group_step (group)->long_running)
    return JB_RESERVE_STEPS * JB_RESERVE_STEP;
  return expected_duration (reserve, group, now)->mean;
}

/* Return the step in which the run of TASK is expected to have ended, or
   JB_RESERVE_STEPS.  */
static uint32_t
end_step (struct jb_reserve *reserve, const struct jb_task *task, jb_time now)
{
  jb_time elapsed = task->started_at != 0 ? now - task->started_at : 0;
  jb_time remaining;

  if (jb_task_step (task)->long_running && task->state != JB_RUN_STOPPING)
    return JB_RESERVE_STEPS;
  remaining = jb_duration_remaining (
      expected_duration (reserve, task->group, now), elapsed);
  return (uint32_t)MIN ((remaining + JB_RESERVE_STEP - 1) / JB_RESERVE_STEP,
                        JB_RESERVE_STEPS);
}

static void
work_out_room (struct jb_reserve *reserve, const struct jb_backend *backend,
               jb_time now, struct room_over_time *room)
{
  memset (room, 0, sizeof *room);
  room->steps[0] = jb_backend_available (backend);
  for (const struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    {
      uint32_t step = end_step (reserve, task, now);
      struct jb_resources released = jb_place_required (task);

      if (step < JB_RESERVE_STEPS)
        jb_resources_add (&room->steps[step], &released);
    }
  for (uint32_t i = 1; i < JB_RESERVE_STEPS; i++)
    jb_resources_add (&room->steps[i], &room->steps[i - 1]);
}

/* Return the number of steps that DURATION takes, at least 1, at most to the
   horizon.  */
static uint32_t
steps_of (jb_time duration)
{
  return (uint32_t)CLAMP ((duration + JB_RESERVE_STEP - 1) / JB_RESERVE_STEP,
                          1, JB_RESERVE_STEPS);
}

/* Return whether RESERVATION takes room in step number STEP from NOW.  */
static bool
takes_room (const struct jb_reservation *reservation, uint32_t step,
            jb_time now)
{
  jb_time begin = now + (jb_time)step * JB_RESERVE_STEP;
  jb_time start = MAX (reservation->start, now);

  return start < begin + JB_RESERVE_STEP
         && begin < start + reservation->duration;
}

/* Return the room in step number STEP of ROOM that the reservations in the
   bit set AHEAD, as counted in RESERVED, leave.  */
static struct jb_resources
room_beside (const struct jb_reserve *reserve,
             const struct reserved_backend *reserved,
             const struct room_over_time *room, uint32_t step, uint32_t ahead,
             jb_time now)
{
  struct jb_resources result = room->steps[step];

  for (uint32_t i = 0; i < reserve->count; i++)
    if ((ahead & 1U << i) != 0 && reserved->counts[i] > 0
        && takes_room (reserve->items[i], step, now))
      {
        const struct jb_resources *required = &reserve->items[i]->required;

        result.cpu_milli -= reserved->counts[i] * required->cpu_milli;
        result.memory_mb -= reserved->counts[i] * required->memory_mb;
        result.accelerators -= reserved->counts[i] * required->accelerators;
      }
  return result;
}

/* ---- reserved backend servers ---- */

static struct reserved_backend *
find_reserved (const struct jb_reserve *reserve,
               const struct jb_backend *backend)
{
  gpointer number = g_hash_table_lookup (reserve->reserved_numbers, backend);

  if (number == NULL)
    return NULL;
  return &g_array_index (reserve->reserved, struct reserved_backend,
                         GPOINTER_TO_UINT (number) - 1);
}

static void
index_reserved (struct jb_reserve *reserve)
{
  g_array_set_size (reserve->reserved, 0);
  g_hash_table_remove_all (reserve->reserved_numbers);
  reserve->miss_count = 0;
  for (uint32_t i = 0; i < reserve->count; i++)
    for (uint32_t j = 0; j < reserve->items[i]->member_count; j++)
      {
        struct jb_backend *backend = reserve->items[i]->backends[j];
        struct reserved_backend *reserved = find_reserved (reserve, backend);

        if (reserved == NULL)
          {
            struct reserved_backend new = { .backend = backend };

            g_array_append_val (reserve->reserved, new);
            g_hash_table_insert (reserve->reserved_numbers, backend,
                                 GUINT_TO_POINTER (reserve->reserved->len));
            reserved
                = &g_array_index (reserve->reserved, struct reserved_backend,
                                  reserve->reserved->len - 1);
          }
        reserved->counts[i]++;
      }
}

static const struct room_over_time *
current_room (struct jb_reserve *reserve, struct reserved_backend *reserved,
              jb_time now)
{
  if (!reserved->is_known
      || reserved->task_count != reserved->backend->task_count)
    {
      work_out_room (reserve, reserved->backend, now, &reserved->room);
      reserved->task_count = reserved->backend->task_count;
      reserved->is_known = true;
    }
  return &reserved->room;
}

/* ---- ends of reservations ---- */

static void
end_reservation (struct jb_reserve *reserve, uint32_t index,
                 enum jb_reserve_end reason, jb_time now)
{
  struct jb_reservation *item = reserve->items[index];

  if (reason == JB_RESERVE_STARTED)
    reserve->stats.kept++;
  else if (reason == JB_RESERVE_NO_DEMAND)
    reserve->stats.withdrawn++;
  else
    reserve->stats.broken++;
  if (reason == JB_RESERVE_OVERTIME && item->group != NULL)
    item->group->no_reservation_until = now + JB_RESERVE_PAUSE;
  if (reserve->options.ended != NULL)
    reserve->options.ended (reserve->options.data, now, item, reason);
  talloc_free (item);
  reserve->count--;
  memmove (&reserve->items[index], &reserve->items[index + 1],
           (reserve->count - index) * sizeof (struct jb_reservation *));
  index_reserved (reserve);
}

/* Return whether the backend server of member number INDEX of ITEM is
   usable.  */
static bool
is_usable (const struct jb_reserve *reserve, const struct jb_reservation *item,
           uint32_t index)
{
  uint32_t *position = &item->positions[index];

  if (*position >= reserve->backend_count
      || reserve->backends[*position] != item->backends[index])
    {
      *position = 0;
      while (*position < reserve->backend_count
             && reserve->backends[*position] != item->backends[index])
        ++*position;
    }
  return *position < reserve->backend_count
         && item->backends[index]->incarnation == item->incarnations[index];
}

/* Return whether ITEM has become void, and set REASON.  */
static bool
is_void (const struct jb_reserve *reserve, const struct jb_reservation *item,
         jb_time now, enum jb_reserve_end *reason)
{
  const struct jb_task_group *group = item->group;

  *reason = JB_RESERVE_NO_DEMAND;
  if (group == NULL || !group->ready
      || group->done_count + group->active_runs >= group->task_count)
    return true;
  *reason = JB_RESERVE_BACKEND;
  for (uint32_t i = 0; i < item->member_count; i++)
    if (!is_usable (reserve, item, i))
      return true;
  *reason = JB_RESERVE_OVERTIME;
  return now > item->due + JB_RESERVE_MAX_OVERTIME;
}

/* Count the room that was held idle since the last cycle.  */
static void
account_idle (struct jb_reserve *reserve, jb_time now)
{
  if (reserve->accounted_at != 0 && reserve->count > 0)
    reserve->stats.idle_cpu_milli_ms
        += (uint64_t)(reserve->idle_cpu_milli * (now - reserve->accounted_at)
                      / JB_MS);
  reserve->accounted_at = now;
}

/* Return the processor that is free on the reserved backend servers, up to
   what is reserved there.  */
static int64_t
idle_cpu (const struct jb_reserve *reserve)
{
  int64_t sum = 0;

  for (guint i = 0; i < reserve->reserved->len; i++)
    {
      const struct reserved_backend *reserved
          = &g_array_index (reserve->reserved, struct reserved_backend, i);
      int64_t wanted = 0;

      for (uint32_t j = 0; j < reserve->count; j++)
        wanted += reserved->counts[j] * reserve->items[j]->required.cpu_milli;
      sum += CLAMP (jb_backend_available (reserved->backend).cpu_milli, 0,
                    wanted);
    }
  return sum;
}

void
jb_reserve_begin (struct jb_reserve *reserve,
                  struct jb_backend *const *backends, uint32_t count,
                  jb_time now)
{
  account_idle (reserve, now);
  reserve->backends = backends;
  reserve->backend_count = count;
  reserve->permitted = talloc_realloc (reserve, reserve->permitted,
                                       struct jb_backend *, MAX (count, 1));
  for (uint32_t i = 0; i < reserve->count; i++)
    reserve->items[i]->group = reserve->options.find_group (
        reserve->options.data, reserve->items[i]->job,
        reserve->items[i]->occurrence, reserve->items[i]->step);
  for (uint32_t i = reserve->count; i-- > 0;)
    {
      enum jb_reserve_end reason;

      if (is_void (reserve, reserve->items[i], now, &reason))
        end_reservation (reserve, i, reason, now);
    }
  index_reserved (reserve);
  reserve->idle_cpu_milli = idle_cpu (reserve);
}

bool
jb_reserve_has (const struct jb_reserve *reserve,
                const struct jb_task_group *group)
{
  for (uint32_t i = 0; i < reserve->count; i++)
    if (reserve->items[i]->group == group)
      return true;
  return false;
}

/* ---- choice of a backend server ---- */

/* Return the set of the reservations of other groups that go before a group
   with RANK.  */
static uint32_t
reservations_ahead (const struct jb_reserve *reserve,
                    const struct jb_task_group *group,
                    const struct jb_rank *rank)
{
  uint32_t ahead = 0;

  for (uint32_t i = 0; i < reserve->count; i++)
    if (reserve->items[i]->group != group
        && jb_rank_compare (&reserve->items[i]->rank, rank) <= 0)
      ahead |= 1U << i;
  return ahead;
}

/* Return whether a task that requires REQUIRED for DURATION fits on RESERVED
   beside the reservations in AHEAD.  */
static bool
fits_beside (struct jb_reserve *reserve, struct reserved_backend *reserved,
             const struct jb_resources *required, jb_time duration,
             uint32_t ahead, jb_time now)
{
  const struct room_over_time *room = current_room (reserve, reserved, now);
  uint32_t steps = steps_of (duration);

  for (uint32_t i = 0; i < steps; i++)
    {
      struct jb_resources left
          = room_beside (reserve, reserved, room, i, ahead, now);

      if (!jb_resources_fit (required, &left))
        return false;
    }
  return true;
}

static bool
is_gap_hopeless (const struct jb_reserve *reserve,
                 const struct jb_place_miss *wanted, jb_time duration,
                 uint32_t ahead)
{
  for (uint32_t i = 0; i < reserve->miss_count; i++)
    {
      const struct gap_miss *miss = &reserve->misses[i];

      if (jb_place_miss_covers (&miss->miss, &wanted->required, wanted->label)
          && miss->duration <= duration && (miss->ahead & ~ahead) == 0)
        return true;
    }
  return false;
}

/* Set `permitted' to the usable backend servers where a task that requires
   REQUIRED for DURATION may be placed beside the reservations in AHEAD.
   Return their number.  */
static uint32_t
list_permitted (struct jb_reserve *reserve,
                const struct jb_resources *required, jb_time duration,
                uint32_t ahead, jb_time now)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < reserve->backend_count; i++)
    {
      struct jb_backend *backend = reserve->backends[i];
      struct jb_resources available = jb_backend_available (backend);
      struct reserved_backend *reserved;

      if (!jb_resources_fit (required, &available))
        continue;
      reserved = find_reserved (reserve, backend);
      if (reserved == NULL
          || fits_beside (reserve, reserved, required, duration, ahead, now))
        reserve->permitted[count++] = backend;
    }
  return count;
}

struct jb_backend *
jb_reserve_choose (struct jb_reserve *reserve, const struct jb_task *task,
                   const struct jb_rank *rank, struct jb_place_room *room,
                   jb_time now)
{
  uint32_t ahead = reservations_ahead (reserve, task->group, rank);
  struct jb_place_miss wanted
      = { jb_place_required (task), jb_task_step (task)->required_label };
  struct jb_backend *backend;
  jb_time duration;
  uint32_t count;

  if (jb_place_is_hopeless (room, task))
    return NULL;
  if (ahead == 0)
    {
      backend = jb_place_choose_best_fit (task, reserve->backends,
                                          reserve->backend_count,
                                          task->last_failed_backend, now);
      if (backend == NULL)
        jb_place_has_room (room, task, reserve->backends,
                           reserve->backend_count);
      return backend;
    }
  duration = placement_duration (reserve, task->group, now);
  if (is_gap_hopeless (reserve, &wanted, duration, ahead))
    return NULL;
  count = list_permitted (reserve, &wanted.required, duration, ahead, now);
  backend = jb_place_choose_best_fit (task, reserve->permitted, count,
                                      task->last_failed_backend, now);
  /* What finds no room beside other tasks of a gang may find some after they
     were given up.  Without any permitted backend server with room, the search
     failed because of the size or the reservations, which apply to others as
     well.  */
  if (count == 0 && reserve->miss_count < MAX_GAP_MISSES
      && (!jb_task_step (task)->gang || task->index == 0))
    reserve->misses[reserve->miss_count++]
        = (struct gap_miss){ { wanted.required, NULL }, duration, ahead };
  return backend;
}

void
jb_reserve_task_started (struct jb_reserve *reserve,
                         const struct jb_task *task,
                         const struct jb_rank *rank, jb_time now)
{
  const struct jb_task_group *group = task->group;
  const struct reserved_backend *reserved
      = find_reserved (reserve, task->backend);
  uint32_t ahead = reservations_ahead (reserve, group, rank);

  for (uint32_t i = 0; reserved != NULL && i < reserve->count; i++)
    if ((ahead & 1U << i) != 0 && reserved->counts[i] > 0)
      {
        reserve->stats.in_gaps++;
        break;
      }
  for (uint32_t i = 0; i < reserve->count; i++)
    if (reserve->items[i]->group == group
        && ((reserved != NULL && reserved->counts[i] > 0)
            || group->done_count + group->active_runs >= group->task_count))
      {
        end_reservation (reserve, i, JB_RESERVE_STARTED, now);
        break;
      }
  reserve->idle_cpu_milli = idle_cpu (reserve);
}

/* ---- making and moving reservations ---- */

bool
jb_reserve_plan_due (const struct jb_reserve *reserve, jb_time now)
{
  return reserve->planned_at == JB_NEVER
         || now - reserve->planned_at >= JB_RESERVE_STEP;
}

/* What a reservation is searched for.  */
struct search
{
  const struct jb_task *task; /* first one that waits */
  struct jb_resources required;
  jb_time duration;
  uint32_t member_count;
  uint32_t beside; /* set of the reservations to keep clear of */
  /* Search only this reservation's backend servers; NULL: all.  */
  const struct jb_reservation *within;
};

/* A backend server that can be part of what is searched for.  */
struct search_row
{
  uint32_t index;
  /* With reservations there: how many members can be placed from each step on,
     for as long as they take.  Without, the room does not shrink.  */
  bool is_reserved;
  uint8_t counts[JB_RESERVE_STEPS];
};

/* Return how often REQUIRED fits into AVAILABLE, at most MOST times.  */
static uint32_t
count_fitting (const struct jb_resources *required,
               const struct jb_resources *available, uint32_t most)
{
  int64_t count = most;

  if (!jb_resources_fit (required, available))
    return 0;
  if (required->cpu_milli > 0)
    count = MIN (count, available->cpu_milli / required->cpu_milli);
  if (required->memory_mb > 0)
    count = MIN (count, available->memory_mb / required->memory_mb);
  if (required->accelerators > 0)
    count = MIN (count, available->accelerators / required->accelerators);
  return (uint32_t)count;
}

/* Return how many members one backend server may get.  */
static uint32_t
member_limit (const struct search *search)
{
  uint32_t limit = jb_task_step (search->task)->max_per_backend;

  return limit > 0 ? MIN (search->member_count, limit) : search->member_count;
}

/* Fill in ROW, except its index.  */
static void
fill_row (const struct jb_reserve *reserve, const struct search *search,
          struct search_row *row, jb_time now)
{
  const struct room_over_time *room = &reserve->rooms[row->index];
  const struct reserved_backend *reserved
      = find_reserved (reserve, reserve->backends[row->index]);
  uint32_t steps = steps_of (search->duration);

  row->is_reserved = reserved != NULL;
  if (reserved == NULL)
    return;
  for (uint32_t i = 0; i < JB_RESERVE_STEPS; i++)
    {
      struct jb_resources left
          = room_beside (reserve, reserved, room, i, search->beside, now);

      row->counts[i] = (uint8_t)count_fitting (&search->required, &left,
                                               member_limit (search));
    }
  for (uint32_t i = 0; i < JB_RESERVE_STEPS; i++)
    for (uint32_t j = i + 1; j < MIN (i + steps, JB_RESERVE_STEPS); j++)
      row->counts[i] = MIN (row->counts[i], row->counts[j]);
}

/* Return how many members can be placed on the backend server of ROW from step
   number STEP on.  */
static uint32_t
count_in_row (const struct jb_reserve *reserve, const struct search *search,
              const struct search_row *row, uint32_t step)
{
  if (row->is_reserved)
    return row->counts[step];
  return count_fitting (&search->required,
                        &reserve->rooms[row->index].steps[step],
                        member_limit (search));
}

/* Return whether the backend server with INDEX can be part of what SEARCH
   looks for.  */
static bool
is_candidate (const struct jb_reserve *reserve, const struct search *search,
              uint32_t index)
{
  struct jb_backend *backend = reserve->backends[index];

  if (search->within != NULL)
    {
      uint32_t i = 0;

      while (i < search->member_count
             && search->within->backends[i] != backend)
        i++;
      if (i == search->member_count)
        return false;
    }
  return jb_resources_fit (&search->required,
                           &reserve->rooms[index].steps[JB_RESERVE_STEPS - 1])
         && jb_place_is_allowed (search->task, backend);
}

/* Return by how much what SEARCH looks for leaves the backend server with
   INDEX free in step number STEP; the smallest is the best.  */
static double
leftover (const struct jb_reserve *reserve, const struct search *search,
          uint32_t index, uint32_t step)
{
  return jb_place_leftover (&search->required,
                            &reserve->rooms[index].steps[step],
                            &reserve->backends[index]->capacity);
}

/* Find the earliest step in which there is room for all members, and set
   FOUND to the indices of their backend servers.  Return the step, or
   JB_RESERVE_STEPS.  */
static uint32_t
find_step (const struct jb_reserve *reserve, const struct search *search,
           uint32_t found[JB_RESERVE_MAX_MEMBERS], jb_time now)
{
  struct search_row *rows = talloc_array (NULL, struct search_row,
                                          MAX (reserve->backend_count, 1));
  uint32_t row_count = 0;
  uint32_t total = 0;
  uint32_t step = 0;

  for (uint32_t i = 0; i < reserve->backend_count; i++)
    if (is_candidate (reserve, search, i))
      {
        rows[row_count].index = i;
        fill_row (reserve, search, &rows[row_count++], now);
      }
  for (; step < JB_RESERVE_STEPS; step++)
    {
      total = 0;
      for (uint32_t i = 0; i < row_count && total < search->member_count; i++)
        {
          uint32_t count = count_in_row (reserve, search, &rows[i], step);

          while (count-- > 0 && total < search->member_count)
            found[total++] = rows[i].index;
        }
      if (total == search->member_count)
        break;
    }
  for (uint32_t i = 0;
       step < JB_RESERVE_STEPS && search->member_count == 1 && i < row_count;
       i++)
    if (count_in_row (reserve, search, &rows[i], step) > 0
        && leftover (reserve, search, rows[i].index, step)
               < leftover (reserve, search, found[0], step))
      found[0] = rows[i].index;
  talloc_free (rows);
  return step;
}

static void
set_backends (const struct jb_reserve *reserve, struct jb_reservation *item,
              const uint32_t found[JB_RESERVE_MAX_MEMBERS])
{
  for (uint32_t i = 0; i < item->member_count; i++)
    {
      item->backends[i] = reserve->backends[found[i]];
      item->incarnations[i] = reserve->backends[found[i]]->incarnation;
      item->positions[i] = found[i];
    }
}

static const struct jb_task *
first_waiting_task (const struct jb_task_group *group)
{
  for (uint32_t i = 0; i < group->task_count; i++)
    if (group->tasks[i].state == JB_RUN_NONE && !group->tasks[i].done)
      return &group->tasks[i];
  return NULL;
}

/* Work out when there is room for ITEM, number INDEX, where it is, and move it
   if there is room earlier elsewhere.  */
static void
move_if_earlier (struct jb_reserve *reserve, uint32_t index, jb_time now)
{
  struct jb_reservation *item = reserve->items[index];
  struct search search = { .task = first_waiting_task (item->group),
                           .required = item->required,
                           .member_count = item->member_count,
                           .beside = (1U << index) - 1 };
  uint32_t found[JB_RESERVE_MAX_MEMBERS] = { 0 };
  uint32_t here;
  uint32_t elsewhere;

  if (search.task == NULL)
    return;
  item->duration = placement_duration (reserve, item->group, now);
  search.duration = item->duration;
  search.within = item;
  here = find_step (reserve, &search, found, now);
  search.within = NULL;
  elsewhere = find_step (reserve, &search, found, now);
  if (elsewhere < here)
    {
      set_backends (reserve, item, found);
      item->start = now + (jb_time)elsewhere * JB_RESERVE_STEP;
      reserve->stats.moved++;
      index_reserved (reserve);
    }
  else
    item->start = now + (jb_time)here * JB_RESERVE_STEP;
  item->due = MIN (item->due, item->start);
  if (elsewhere < here && reserve->options.reserved != NULL)
    reserve->options.reserved (reserve->options.data, now, item, true);
}

void
jb_reserve_plan (struct jb_reserve *reserve, jb_time now)
{
  reserve->planned_at = now;
  reserve->rooms
      = talloc_realloc (reserve, reserve->rooms, struct room_over_time,
                        MAX (reserve->backend_count, 1));
  for (uint32_t i = 0; i < reserve->backend_count; i++)
    work_out_room (reserve, reserve->backends[i], now, &reserve->rooms[i]);
  for (uint32_t i = 0; i < reserve->count; i++)
    move_if_earlier (reserve, i, now);
  reserve->idle_cpu_milli = idle_cpu (reserve);
}

bool
jb_reserve_make (struct jb_reserve *reserve, struct jb_task_group *group,
                 const struct jb_rank *rank, jb_time now)
{
  struct search search = { .task = first_waiting_task (group),
                           .beside = (1U << reserve->count) - 1 };
  uint32_t found[JB_RESERVE_MAX_MEMBERS] = { 0 };
  struct jb_reservation *item;
  uint32_t step;

  if (reserve->count >= JB_RESERVE_MAX || search.task == NULL)
    return false;
  search.required = jb_place_required (search.task);
  search.duration = placement_duration (reserve, group, now);
  search.member_count
      = jb_task_group_step (group)->gang ? group->task_count : 1;
  if (search.member_count > JB_RESERVE_MAX_MEMBERS)
    return false;
  /* All previous runs of a gang must end first.  */
  if (jb_task_group_step (group)->gang && group->active_runs > 0)
    return false;
  step = find_step (reserve, &search, found, now);
  /* What fits now waits for something else than room.  */
  if (step == 0 || step == JB_RESERVE_STEPS)
    return false;
  item = talloc_zero (reserve, struct jb_reservation);
  snprintf (item->job, sizeof item->job, "%s", group->job->desc->id);
  item->occurrence = group->occurrence;
  item->step = group->step;
  item->group = group;
  item->rank = *rank;
  item->required = search.required;
  item->duration = search.duration;
  item->member_count = search.member_count;
  item->backends
      = talloc_array (item, struct jb_backend *, item->member_count);
  item->incarnations = talloc_array (item, uint32_t, item->member_count);
  item->positions = talloc_array (item, uint32_t, item->member_count);
  set_backends (reserve, item, found);
  item->made_at = now;
  item->start = now + (jb_time)step * JB_RESERVE_STEP;
  item->due = item->start;
  reserve->items[reserve->count++] = item;
  reserve->stats.made++;
  index_reserved (reserve);
  reserve->idle_cpu_milli = idle_cpu (reserve);
  if (reserve->options.reserved != NULL)
    reserve->options.reserved (reserve->options.data, now, item, false);
  return true;
}
