#include "jb_rank.h"

#include <glib.h>
#include <math.h>

/* A job's worth: a part that is the same for all, and one for its work
   against the mean, up to a limit.  From the users' rules.  */
#define WORTH_BASE 0.3
#define WORTH_WORK 0.7
#define WORTH_LIMIT 4.0

/* Up to so many times its objective a late job earns something.  */
#define LATE_FACTOR 3

/* Exponent of the room that a job takes: 1 would leave large jobs behind, and
   0 ignores the room.  */
#define ROOM_EXPONENT 0.8

double
jb_rank_value (int64_t work, int64_t mean_work)
{
  double relative = mean_work > 0 ? (double)work / (double)mean_work : 1;

  return MIN (WORTH_BASE + WORTH_WORK * relative, WORTH_LIMIT);
}

struct jb_rank
jb_rank_compute (const struct jb_rank_input *input, jb_time now)
{
  struct jb_rank rank
      = { .priority = input->priority, .received_at = input->received_at };
  double room = (double)MAX (input->remaining_work, 1);
  jb_time finish = now + input->critical_path_ms * JB_MS;
  jb_time late_limit = input->received_at
                       + LATE_FACTOR * (input->due_at - input->received_at);

  rank.value_density
      = jb_rank_value (input->total_work, input->queue_mean_work)
        / pow (room, ROOM_EXPONENT);
  rank.latest_start = input->due_at - input->critical_path_ms * JB_MS;
  if (input->best_effort)
    rank.class = JB_RANK_BEST_EFFORT;
  else if (input->long_running)
    rank.class = JB_RANK_LONG_RUNNING;
  else if (finish <= input->due_at)
    rank.class = JB_RANK_ON_TIME;
  else if (finish <= late_limit)
    rank.class = JB_RANK_LATE;
  else
    rank.class = JB_RANK_OVERDUE;
  return rank;
}

int
jb_rank_compare (const struct jb_rank *a, const struct jb_rank *b)
{
  /* Lasting work is owed at once whatever its priority.  */
  if ((a->class == JB_RANK_LONG_RUNNING) != (b->class == JB_RANK_LONG_RUNNING))
    return a->class == JB_RANK_LONG_RUNNING ? -1 : 1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->class != b->class)
    return a->class < b->class ? -1 : 1;
  if (a->class == JB_RANK_ON_TIME && a->latest_start != b->latest_start)
    return a->latest_start < b->latest_start ? -1 : 1;
  if (a->value_density != b->value_density)
    return a->value_density > b->value_density ? -1 : 1;
  if (a->received_at != b->received_at)
    return a->received_at < b->received_at ? -1 : 1;
  return 0;
}
