#ifndef JW_MIX_H
#define JW_MIX_H

/* Kinds of fault, of load and of deployment that a simulation can have beside
   the usual ones, mixed by its seed.  */

#include "jw_soak.h"

enum jw_kind
{
  JW_KIND_RESTARTS,
  JW_KIND_LATE_GRANTS_UNTIL,
  JW_KIND_LATE_GRANTS_FROM_ARRIVAL,
  JW_KIND_STALLS,
  JW_KIND_EVACUATIONS,
  JW_KIND_GROUP_CUTS,
  JW_KIND_QUEUE_MOVES,
  JW_KIND_NO_GUARD,
  JW_KIND_SMALL_HOSTS,
  JW_KIND_MORE_HOSTS,
  JW_KIND_SPECULATIVE,
  JW_KIND_LOOKAHEAD,
  JW_KIND_SIGNALS,
  JW_KIND_SLOW_REPLIES,
  JW_KIND_COUNT
};

/* Usual number of kinds in one run.  With 5 of 13, each pair was in an eighth
   of all runs: the fault of two kinds in the incident "commands that outlive
   their target" then showed in 7 of 200 runs, with 3 kinds in none.  */
#define JW_DEFAULT_MIX 5

/* Set of all kinds; the kind K is bit K.  */
#define JW_ALL_KINDS ((1U << JW_KIND_COUNT) - 1)

/* Let SOAK have COUNT kinds of the set ALLOWED, at least 2: the pair with the
   number of its seed modulo the number of pairs, and others that the seed
   draws.  So as many successive seeds as there are pairs play each pair.  The
   two kinds of late grants exclude each other.  */
void jw_mix_kinds (struct jw_soak *soak, uint32_t allowed, uint32_t count);

/* Return the number of pairs of the kinds in ALLOWED.  */
uint32_t jw_mix_pair_count (uint32_t allowed);

/* Return the options of soak_jobs that choose what SOAK plays, such as
   " --restarts --stalls", owned by MEM.  */
char *jw_mix_describe (TALLOC_CTX *mem, const struct jw_soak *soak);

#endif
