#include "sim_golden.h"

const struct sim_golden sim_golden_list[] = {
  { .name = "requests",
    .seed = 11,
    .duration = 3 * CO_SECOND,
    .settle_time = CO_SECOND,
    .requests_per_s = 40 },
  { .name = "operators",
    .seed = 12,
    .duration = 4 * CO_SECOND,
    .settle_time = 2 * CO_SECOND,
    .operators = true,
    .requests_per_s = 10 },
  { .name = "faults",
    .seed = 14,
    .duration = 5 * CO_SECOND,
    .settle_time = 5 * CO_SECOND,
    .faults = true,
    .operators = true,
    .requests_per_s = 20 },
  { .name = NULL },
};

bool
sim_golden_record (TALLOC_CTX *mem, const struct sim_golden *golden,
                   struct ba_bytes *session)
{
  struct sim_options options;
  struct sim_totals totals;
  struct sim_world *world;
  char *violation;
  bool passed;

  sim_options_init (&options);
  options.seed = golden->seed;
  options.duration = golden->duration;
  options.settle_time = golden->settle_time;
  options.faults = golden->faults;
  options.operators = golden->operators;
  options.requests_per_s = golden->requests_per_s;
  options.recorded_session = session;
  options.session_mem = mem;
  world = sim_world_new (NULL, &options);
  passed = sim_run_until (world, CO_SECOND + options.duration);
  violation = sim_finish (NULL, world, &totals);
  talloc_free (violation);
  return passed;
}
