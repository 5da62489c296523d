#ifndef JW_SOAK_H
#define JW_SOAK_H

/* Worlds with loads and faults drawn by chance.  */

#include "jw_world.h"

struct jw_soak
{
  uint32_t seed;
  uint32_t off; /* enum jb_safeguard */
  bool stalls;  /* one host gets its processor time in pieces */
  bool verbose;
  const struct jw_outside *outside; /* as in struct jw_options */
  const char *network;
  uint32_t port;
  void (*made) (void *data, struct jw_world *world); /* NULL world: gone */
  void *made_for;
  /* results */
  uint32_t broken;
  uint32_t starts;
  uint32_t jobs;
  char first[256];
};

/* Play the world of SOAK's seed and fill in the results.  */
void jw_soak_run (struct jw_soak *soak);

#endif
