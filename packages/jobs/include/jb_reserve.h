#ifndef JB_RESERVE_H
#define JB_RESERVE_H

/* Reservations of room on backend servers for waiting tasks that fit nowhere
   now, and which tasks may be started beside them (backfill).

   Expected load: tasks of 0.7 to 1.8 s on 56 to 85 backend servers, most of a
   few cores and some as wide as a backend server.  In a full pool each end
   leaves a gap that only small tasks fit into, so large ones would wait until
   the surge is over.

   The room over time follows from the expected ends of the runs, for
   JB_RESERVE_STEPS steps of JB_RESERVE_STEP from now.  A reservation is for
   one task, or for all members of a gang.  Tasks that go after it in the order
   of the cycle are placed on its backend servers only where they fit beside it
   or are expected to end before it starts; tasks that go before it are not
   restricted.  Reservations are not stored: a successor makes its own.  */

#include "jb_place.h"
#include "jb_rank.h"

/* Resolution of the room over time, and time between two plans.  */
#define JB_RESERVE_STEP (50 * JB_MS)

/* A reservation is given up when it has not been used this long after its
   time.  Its group gets no other one for JB_RESERVE_PAUSE.  */
#define JB_RESERVE_MAX_OVERTIME (1000 * JB_MS)
#define JB_RESERVE_PAUSE (1000 * JB_MS)

enum
{
  JB_RESERVE_STEPS = 40, /* horizon of 2 s */
  JB_RESERVE_MAX = 4,    /* reservations at the same time, one a group */
  /* Larger gangs get no reservation.  */
  JB_RESERVE_MAX_MEMBERS = 64
};

/* Why a reservation ended.  */
enum jb_reserve_end
{
  JB_RESERVE_STARTED,   /* the task or the gang was started */
  JB_RESERVE_NO_DEMAND, /* the job has ended, or the tasks are no longer
                           waiting */
  JB_RESERVE_BACKEND,   /* a backend server is not usable any more */
  JB_RESERVE_OVERTIME   /* it was not used within JB_RESERVE_MAX_OVERTIME */
};

struct jb_reservation
{
  char job[JB_JOB_ID_DIGITS + 1];
  uint32_t occurrence;
  uint32_t step;
  /* Borrowed until the cycle ends.  */
  struct jb_task_group *group;
  /* Rank of `group' in this cycle, set by the caller after
     jb_reserve_begin.  */
  struct jb_rank rank;
  struct jb_resources required; /* by each member */
  jb_time duration;             /* expected, of each member */
  uint32_t member_count;        /* 1 unless it is for a gang */
  /* Where the members are to be placed, and the numbers of the incarnations of
     these backend servers.  */
  struct jb_backend **backends;
  uint32_t *incarnations;
  uint32_t *positions; /* where they were last found among the usable ones */
  jb_time made_at;
  jb_time start; /* when there is room, as expected now */
  jb_time due;   /* the earliest start that was ever expected */
};

struct jb_reserve_options
{
  struct jb_duration_table *durations; /* borrowed */
  /* Return the group of STEP in OCCURRENCE of the job with ID if that job has
     not ended, else NULL.  */
  struct jb_task_group *(*find_group) (void *data, const char *id,
                                       uint32_t occurrence, uint32_t step);
  /* Called when RESERVATION, which is borrowed, was made or moved, and when it
     ends.  NULL: not called.  */
  void (*reserved) (void *data, jb_time now,
                    const struct jb_reservation *reservation, bool moved);
  void (*ended) (void *data, jb_time now,
                 const struct jb_reservation *reservation,
                 enum jb_reserve_end reason);
  void *data;
};

struct jb_reserve_stats
{
  uint64_t made;
  uint64_t moved;
  uint64_t kept;      /* ended with JB_RESERVE_STARTED */
  uint64_t broken;    /* ended with JB_RESERVE_BACKEND or _OVERTIME */
  uint64_t withdrawn; /* ended with JB_RESERVE_NO_DEMAND */
  uint64_t in_gaps;   /* tasks placed on a backend server with a reservation
                         that goes before them */
  /* Room that was free and reserved, thousandths of a core * ms.  */
  uint64_t idle_cpu_milli_ms;
};

struct jb_reserve;

/* Return a new set of reservations, owned by MEM, with none.  OPTIONS is
   copied.  */
struct jb_reserve *jb_reserve_new (TALLOC_CTX *mem,
                                   const struct jb_reserve_options *options);

/* Begin a scheduling cycle in which the COUNT BACKENDS are usable, borrowed
   until the next call.  Give up the reservations that have become void.  */
void jb_reserve_begin (struct jb_reserve *reserve,
                       struct jb_backend *const *backends, uint32_t count,
                       jb_time now);

/* Return the number of reservations, or reservation number INDEX, borrowed
   until one is made or ends.  */
uint32_t jb_reserve_count (const struct jb_reserve *reserve);
struct jb_reservation *jb_reserve_get (struct jb_reserve *reserve,
                                       uint32_t index);

/* Return whether GROUP has a reservation.  */
bool jb_reserve_has (const struct jb_reserve *reserve,
                     const struct jb_task_group *group);

/* Return the best usable backend server to start TASK, whose group has RANK,
   on, beside all reservations that go before it, or NULL.  ROOM is that of
   this cycle.  */
struct jb_backend *jb_reserve_choose (struct jb_reserve *reserve,
                                      const struct jb_task *task,
                                      const struct jb_rank *rank,
                                      struct jb_place_room *room, jb_time now);

/* Record that TASK, whose group has RANK, has been assigned to a backend
   server.  If its group has a reservation there, or waits no longer, this ends
   the reservation.  */
void jb_reserve_task_started (struct jb_reserve *reserve,
                              const struct jb_task *task,
                              const struct jb_rank *rank, jb_time now);

/* Return whether it is time for jb_reserve_plan, to be called when the tasks
   of a cycle have been started.  */
bool jb_reserve_plan_due (const struct jb_reserve *reserve, jb_time now);

/* Work out the room over time, and move reservations for which there will be
   room earlier elsewhere.  */
void jb_reserve_plan (struct jb_reserve *reserve, jb_time now);

/* Make a reservation for GROUP, which has RANK and fits nowhere now.
   jb_reserve_plan must have been called since the last start.  Return false if
   there are JB_RESERVE_MAX reservations, or no room within the horizon.  */
bool jb_reserve_make (struct jb_reserve *reserve, struct jb_task_group *group,
                      const struct jb_rank *rank, jb_time now);

/* Return whether ORG, which uses USED_CPU_MILLI of a pool with
   CAPACITY_CPU_MILLI, uses more than the share of WEIGHT in WEIGHT_SUM, the
   weights of all organisations that use the pool or wait for it.  OTHERS_WAIT:
   tasks of another organisation wait.  */
bool jb_reserve_exceeds_weight (int64_t used_cpu_milli,
                                int64_t capacity_cpu_milli, uint32_t weight,
                                uint64_t weight_sum, bool others_wait);

/* Return what happened so far, borrowed from RESERVE.  */
const struct jb_reserve_stats *
jb_reserve_stats (const struct jb_reserve *reserve);

/* Return the name of REASON, a static string.  */
const char *jb_reserve_end_name (enum jb_reserve_end reason);

#endif
