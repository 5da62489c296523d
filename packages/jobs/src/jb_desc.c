#include "jb_desc.h"

#include <glib.h>
#include <string.h>

static void
step_code (struct ba_io *io, struct jb_step *step)
{
  ba_io_u32 (io, &step->count);
  jb_amount_code (io, &step->amount);
  ba_io_i64 (io, &step->estimate_ms);
  ba_io_array (io, step->after, step->after_count, JB_MAX_STEPS, ba_io_u32);
  ba_io_bool (io, &step->checkpoints);
  ba_io_bool (io, &step->gang);
  ba_io_bool (io, &step->colocate);
  ba_io_str (io, &step->requires);
  ba_io_str (io, &step->near);
  ba_io_u32 (io, &step->apart);
  ba_io_bool (io, &step->speculative);
  ba_io_bool (io, &step->lasts);
  ba_io_str (io, &step->image);
  ba_io_i64 (io, &step->target_ms);
  ba_io_bool (io, &step->fills);
  ba_io_u32 (io, &step->may_miss);
}

void
jb_desc_code (struct ba_io *io, struct jb_desc *desc)
{
  ba_io_name (io, &desc->id);
  ba_io_name (io, &desc->queue);
  ba_io_str (io, &desc->org);
  ba_io_name (io, &desc->spec);
  ba_io_array (io, desc->steps, desc->step_count, JB_MAX_STEPS, step_code);
  ba_io_u32 (io, &desc->times);
  ba_io_i64 (io, &desc->first_ms);
  ba_io_i64 (io, &desc->interval_ms);
  ba_io_i64 (io, &desc->received_ms);
  ba_io_u32 (io, &desc->priority);
  ba_io_u32 (io, &desc->max_attempts);
  ba_io_u32 (io, &desc->stretch_milli);
  ba_io_i64 (io, &desc->target_ms);
  ba_io_bool (io, &desc->advised);
}

bool
jb_desc_is_id (const char *id)
{
  return strlen (id) == JB_ID_LEN
         && strspn (id, "0123456789abcdefABCDEF") == JB_ID_LEN;
}

static const char *
check_step (const struct jb_step *step, uint32_t number)
{
  if (step->count == 0 || step->count > JB_MAX_TASKS)
    return "a step has no tasks, or too many";
  if (step->amount.cpu < 0 || step->amount.memory < 0
      || step->amount.accelerators < 0)
    return "a step asks for a negative amount";
  if (step->estimate_ms < 0)
    return "a step has a negative estimate";
  for (uint32_t i = 0; i < step->after_count; i++)
    if (step->after[i] >= number)
      return "a step waits for one that is not before it";
  return NULL;
}

const char *
jb_desc_check (const struct jb_desc *desc)
{
  if (!jb_desc_is_id (desc->id))
    return "the job's ID is not 16 hexadecimal digits";
  if (strlen (desc->spec) > JB_MAX_SPEC)
    return "the specification is too long";
  if (desc->step_count == 0 || desc->step_count > JB_MAX_STEPS)
    return "the job has no steps, or too many";
  if (desc->times > JB_MAX_TIMES || (desc->times > 1 && desc->interval_ms < 0))
    return "the schedule makes no sense";
  for (uint32_t i = 0; i < desc->step_count; i++)
    {
      const char *wrong = check_step (&desc->steps[i], i);

      if (wrong != NULL)
        return wrong;
    }
  return NULL;
}

int64_t
jb_step_work (const struct jb_step *step)
{
  return step->lasts ? 0 : step->count * step->amount.cpu * step->estimate_ms;
}

int64_t
jb_desc_work (const struct jb_desc *desc)
{
  int64_t work = 0;

  for (uint32_t i = 0; i < desc->step_count; i++)
    work += jb_step_work (&desc->steps[i]);
  return work;
}

static bool
waits_for (const struct jb_step *step, uint32_t other)
{
  for (uint32_t i = 0; i < step->after_count; i++)
    if (step->after[i] == other)
      return true;
  return false;
}

int64_t
jb_desc_chain (const struct jb_desc *desc, uint32_t step)
{
  int64_t longest[JB_MAX_STEPS] = { 0 };

  for (uint32_t i = desc->step_count; i-- > step;)
    {
      int64_t rest = 0;

      for (uint32_t j = i + 1; j < desc->step_count; j++)
        if (waits_for (&desc->steps[j], i))
          rest = MAX (rest, longest[j]);
      longest[i] = rest + desc->steps[i].estimate_ms;
    }
  return longest[step];
}

int64_t
jb_desc_longest (const struct jb_desc *desc)
{
  int64_t longest = 0;

  for (uint32_t i = 0; i < desc->step_count; i++)
    if (desc->steps[i].after_count == 0)
      longest = MAX (longest, jb_desc_chain (desc, i));
  return longest;
}

bool
jb_desc_lasts (const struct jb_desc *desc)
{
  for (uint32_t i = 0; i < desc->step_count; i++)
    if (desc->steps[i].lasts)
      return true;
  return false;
}
