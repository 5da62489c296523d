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
  struct sim_options o;
  struct sim_totals totals;
  struct sim_world *world;
  char *violation;
  bool is_valid;

  sim_options_init (&o);
  o.seed = golden->seed;
  o.duration = golden->duration;
  o.settle_time = golden->settle_time;
  o.faults = golden->faults;
  o.operators = golden->operators;
  o.requests_per_s = golden->requests_per_s;
  o.recorded_session = session;
  o.session_mem = mem;
  world = sim_world_new (NULL, &o);
  is_valid = sim_run_until (world, CO_SECOND + o.duration);
  violation = sim_finish (NULL, world, &totals);
  talloc_free (violation);
  return is_valid;
}
