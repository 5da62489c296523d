#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

/* What the cases share: a small deployment with the figures of rangmanch-ops,
   and one queue, "/q/".  */

#include "standin.h"

#define CASE_KEY "key-castings"

enum
{
  CASE_NODES = 3,
  CASE_QUEUES = 4 /* of write_four_queues */
};

extern const char *const case_services[CASE_QUEUES];
extern const char *const case_prefixes[CASE_QUEUES];

/* Return whether the disruption is to be made: TROUBLE=0 leaves it out.  */
bool has_trouble (void);

/* The case can't run, because of REASON: end all, and return 2.  */
int give_up (const char *reason);

/* End all, and return 1 if the rule was BROKEN, else 0.  WHAT says what the
   rule asks.  */
int finish (bool broken, const char *what);

/* Write the configuration VERSION, in which SERVICE runs the queue.  CAP_CPU
   limits its tenant; 0: no limit.  */
void write_configuration (int version, const char *service, int cap_cpu);

/* The same with four queues, each run by a service of its own.  */
void write_four_queues (int version, int cap_cpu);
bool start_four_queues (int workers, const char *labels, int cap_cpu);

/* Start CASE_NODES entry hosts, WORKERS workers of casting-desk and SPARE ones
   of front-office, all with the LABELS.  Return whether they serve.  */
bool start_all (int workers, int spare, const char *labels, int cap_cpu);

/* Hand in job ID with BODY at node INDEX, and again at the next ones until it
   is accepted.  Return whether it was.  */
bool submit (int index, const char *id, const char *body);
/* The same for the queue with PREFIX.  */
bool submit_to (const char *prefix, int index, const char *id,
                const char *body);

/* Return the state of job ID, as node INDEX shows it, to be freed, or "" if it
   shows none.  */
char *query (int index, const char *id, unsigned *status);

/* Tries that found no fault; the variable SEED chooses one.  */
int try_mix (void);
int try_planner (void);

#endif
