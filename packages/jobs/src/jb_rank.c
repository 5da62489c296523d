#include "jb_rank.h"

#include <glib.h>
#include <math.h>

/* Value of a job by the users' rules: a constant plus a part that is
   proportional to the job's work relative to the mean of its queue, up to a
   maximum.  */
#define VALUE_BASE 0.3
#define VALUE_PER_RELATIVE_WORK 0.7
#define MAX_VALUE 4.0

/* A late job is of some value until this multiple of the time between its
   submission and its due time has passed since its submission.  */
#define LATE_LIMIT_FACTOR 3

/* The value of a job is divided by its remaining work to this power: with 1
   large jobs would starve, and with 0 the remaining work would not count.  */
#define REMAINING_WORK_EXPONENT 0.8

double
jb_rank_value (int64_t work, int64_t mean_work)
{
  double relative_work = mean_work > 0 ? (double)work / (double)mean_work : 1;

  return MIN (VALUE_BASE + VALUE_PER_RELATIVE_WORK * relative_work, MAX_VALUE);
}

double
jb_rank_work_divisor (int64_t remaining_work)
{
  return pow ((double)MAX (remaining_work, 1), REMAINING_WORK_EXPONENT);
}

struct jb_rank
jb_rank_compute (const struct jb_rank_input *input, jb_time now)
{
  struct jb_rank rank
      = { .priority = input->priority, .received_at = input->received_at };
  jb_time expected_end = now + input->critical_path_ms * JB_MS;
  jb_time worthless_at
      = input->received_at
        + LATE_LIMIT_FACTOR * (input->due_at - input->received_at);

  rank.value_density
      = jb_rank_value (input->total_work, input->queue_mean_work)
        / input->work_divisor;
  rank.latest_start = input->due_at - input->critical_path_ms * JB_MS;
  if (input->best_effort)
    rank.class = JB_RANK_BEST_EFFORT;
  else if (input->long_running)
    rank.class = JB_RANK_LONG_RUNNING;
  else if (expected_end <= input->due_at)
    rank.class = input->deferred ? JB_RANK_DEFERRED : JB_RANK_ON_TIME;
  else if (expected_end <= worthless_at)
    rank.class = JB_RANK_LATE;
  else
    rank.class = JB_RANK_OVERDUE;
  return rank;
}

int
jb_rank_compare (const struct jb_rank *a, const struct jb_rank *b)
{
  /* Long-running tasks go first, whatever their priority: they are due at
     once.  */
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
