#ifndef JW_SOAK_H
#define JW_SOAK_H

/* Simulations of the job scheduler with random load and random faults.  */

#include "jw_world.h"

struct jw_soak
{
  uint32_t seed;
  uint32_t disabled_safeguards;    /* enum jb_safeguard */
  bool lookahead;                  /* as in struct jw_options */
  bool no_overload_guard;          /* backend servers start what doesn't fit */
  bool stall_one_host;             /* again and again, as if it were short of
                                      processor time */
  bool restart_backends;           /* under their names, while commands to them
                                      are carried out late */
  enum jw_late_leases late_leases; /* while backend servers fall silent */
  bool move_queues;                /* to other pools, and submit jobs again */
  bool cut_groups;        /* of entry hosts, and then some backend servers */
  bool evacuate_zones;    /* and take them back, again and again */
  bool speculative_steps; /* in a third of the jobs */
  bool signal_series;     /* of all kinds to entry hosts, one upon another */
  bool slow_replies;      /* of backend servers, many of which are idle, and of
                             the store */
  bool late_hosts;        /* owners whose event loops are late, at the limit
                             of what they accept */
  uint32_t more_hosts;    /* entry hosts beyond the usual 3 to 6 */
  uint32_t small_hosts;   /* as in struct jw_options */
  bool verbose;
  /* These three as in struct jw_options.  */
  const struct jw_external_hosts *external_hosts;
  const char *network_prefix;
  uint32_t backend_port;
  /* Called with the simulation after it was created, and with NULL before it
     is freed.  NULL: not called.  */
  void (*on_world_change) (void *data, struct jw_world *world);
  void *on_world_change_data;
  /* Results.  */
  uint32_t violations;
  uint32_t task_starts;
  uint32_t job_count; /* submitted jobs */
  char first_violation[256];
};

/* Run the simulation of SOAK's seed and fill in the results.  */
void jw_soak_run (struct jw_soak *soak);

#endif
