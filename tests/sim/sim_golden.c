#include "sim_golden.h"

const struct sim_golden sim_golden_list[] = {
  { "requests", 11, 3 * CO_SECOND, CO_SECOND, false, false, 40 },
  { "operators", 12, 4 * CO_SECOND, 2 * CO_SECOND, false, true, 10 },
  { "faults", 14, 5 * CO_SECOND, 5 * CO_SECOND, true, true, 20 },
  { NULL, 0, 0, 0, false, false, 0 },
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
