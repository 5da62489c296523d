#include "jb_job_desc.h"

#include <glib.h>
#include <string.h>

static void
serialize_step (struct ba_codec *io, struct jb_step *step)
{
  ba_codec_u32 (io, &step->task_count);
  jb_resources_serialize (io, &step->resources);
  ba_codec_i64 (io, &step->estimate_ms);
  ba_codec_array (io, step->predecessors, step->predecessor_count,
                  JB_MAX_STEPS_PER_JOB, ba_codec_u32);
  ba_codec_bool (io, &step->can_checkpoint);
  ba_codec_bool (io, &step->gang);
  ba_codec_bool (io, &step->colocate);
  ba_codec_str (io, &step->required_label);
  ba_codec_str (io, &step->data_rack);
  ba_codec_u32 (io, &step->max_per_backend);
  ba_codec_bool (io, &step->speculative);
  ba_codec_bool (io, &step->long_running);
  ba_codec_str (io, &step->image);
  ba_codec_i64 (io, &step->tail_target_ms);
  ba_codec_bool (io, &step->best_effort);
  ba_codec_u32 (io, &step->max_unavailable);
}

void
jb_job_desc_serialize (struct ba_codec *io, struct jb_job_desc *desc)
{
  ba_codec_required_str (io, &desc->id);
  ba_codec_required_str (io, &desc->queue);
  ba_codec_str (io, &desc->org);
  ba_codec_required_str (io, &desc->spec);
  ba_codec_array (io, desc->steps, desc->step_count, JB_MAX_STEPS_PER_JOB,
                  serialize_step);
  ba_codec_u32 (io, &desc->scheduled_occurrences);
  ba_codec_i64 (io, &desc->first_unix_ms);
  ba_codec_i64 (io, &desc->interval_ms);
  ba_codec_i64 (io, &desc->received_unix_ms);
  ba_codec_u32 (io, &desc->priority);
  ba_codec_u32 (io, &desc->max_attempts);
  ba_codec_u32 (io, &desc->stretch_milli);
  ba_codec_i64 (io, &desc->due_margin_ms);
  ba_codec_bool (io, &desc->needs_advice);
}

bool
jb_job_id_is_valid (const char *id)
{
  return strlen (id) == JB_JOB_ID_DIGITS
         && strspn (id, "0123456789abcdefABCDEF") == JB_JOB_ID_DIGITS;
}

static bool
is_amount (int64_t amount)
{
  return amount >= 0 && amount <= JB_MAX_AMOUNT;
}

/* Return NULL when STEP, which has the index NUMBER, is valid, else an error
   message.  */
static const char *
check_step (const struct jb_step *step, uint32_t number)
{
  if (step->task_count == 0 || step->task_count > JB_MAX_TASKS_PER_STEP)
    return "a step has no tasks, or too many";
  if (!is_amount (step->resources.cpu_milli)
      || !is_amount (step->resources.memory_mb)
      || !is_amount (step->resources.accelerators))
    return "a step asks for a negative amount, or for too much";
  if (step->estimate_ms < 0 || step->estimate_ms > JB_MAX_DURATION_MS)
    return "a step has a negative estimate, or one that is too long";
  if (step->tail_target_ms < 0 || step->tail_target_ms > JB_MAX_DURATION_MS)
    return "a step has a negative target, or one that is too long";
  if (step->predecessor_count > JB_MAX_STEPS_PER_JOB)
    return "a step waits for too many others";
  for (uint32_t i = 0; i < step->predecessor_count; i++)
    if (step->predecessors[i] >= number)
      return "a step waits for one that is not before it";
  return NULL;
}

const char *
jb_job_desc_check (const struct jb_job_desc *desc)
{
  if (!jb_job_id_is_valid (desc->id))
    return "the job's ID is not 16 hexadecimal digits";
  if (strlen (desc->spec) > JB_MAX_SPEC_BYTES)
    return "the specification is too long";
  if (desc->step_count == 0 || desc->step_count > JB_MAX_STEPS_PER_JOB)
    return "the job has no steps, or too many";
  if (desc->scheduled_occurrences > JB_MAX_OCCURRENCES
      || desc->first_unix_ms < 0 || desc->first_unix_ms > JB_MAX_UNIX_MS
      || desc->interval_ms < 0 || desc->interval_ms > JB_MAX_CLOCK_MS)
    return "the schedule makes no sense";
  for (uint32_t i = 0; i < desc->step_count; i++)
    {
      const char *error = check_step (&desc->steps[i], i);

      if (error != NULL)
        return error;
    }
  if (jb_job_desc_work (desc) > JB_MAX_JOB_WORK)
    return "the work of all tasks together is too much";
  return NULL;
}

int64_t
jb_step_work (const struct jb_step *step)
{
  int64_t work;

  if (step->long_running)
    return 0;
  return __builtin_mul_overflow (step->resources.cpu_milli, step->estimate_ms,
                                 &work)
                 || __builtin_mul_overflow (work, step->task_count, &work)
             ? INT64_MAX
             : work;
}

int64_t
jb_job_desc_work (const struct jb_job_desc *desc)
{
  int64_t work = 0;

  for (uint32_t i = 0; i < desc->step_count; i++)
    if (__builtin_add_overflow (work, jb_step_work (&desc->steps[i]), &work))
      return INT64_MAX;
  return work;
}

/* Return whether STEP directly depends on the step with index OTHER.  */
static bool
depends_on (const struct jb_step *step, uint32_t other)
{
  for (uint32_t i = 0; i < step->predecessor_count; i++)
    if (step->predecessors[i] == other)
      return true;
  return false;
}

int64_t
jb_job_desc_critical_path_from_step_ms (const struct jb_job_desc *desc,
                                        uint32_t step)
{
  int64_t path_ms[JB_MAX_STEPS_PER_JOB] = { 0 };

  for (uint32_t i = desc->step_count; i-- > step;)
    {
      int64_t rest_ms = 0;

      for (uint32_t j = i + 1; j < desc->step_count; j++)
        if (depends_on (&desc->steps[j], i))
          rest_ms = MAX (rest_ms, path_ms[j]);
      path_ms[i] = rest_ms + desc->steps[i].estimate_ms;
    }
  return path_ms[step];
}

int64_t
jb_job_desc_critical_path_ms (const struct jb_job_desc *desc)
{
  int64_t longest_ms = 0;

  for (uint32_t i = 0; i < desc->step_count; i++)
    if (desc->steps[i].predecessor_count == 0)
      longest_ms
          = MAX (longest_ms, jb_job_desc_critical_path_from_step_ms (desc, i));
  return longest_ms;
}

bool
jb_job_desc_is_long_running (const struct jb_job_desc *desc)
{
  for (uint32_t i = 0; i < desc->step_count; i++)
    if (desc->steps[i].long_running)
      return true;
  return false;
}
