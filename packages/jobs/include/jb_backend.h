#ifndef JB_BACKEND_H
#define JB_BACKEND_H

/* One life of a backend server, as the owner of its pool knows it: its room,
   its clock, the lease of what runs there, and how far its ends are known.

   A lease is a time on the backend server's own clock, which may be slow.  It
   holds for all that runs there and is never shortened.  */

#include "jb_command.h"

struct jb_task;

enum
{
  JB_MAX_CLOCK_LAG_PERCENT = 2, /* a backend server's clock may lose so much */
  JB_LEASE_MARGIN_MS = 50       /* of rounding and delivery */
};

struct jb_backend
{
  char *instance;
  char *address;
  char *zone;
  char *rack; /* last label, or NULL */
  char **labels;
  uint32_t label_count;
  struct jb_resources capacity;
  struct jb_resources reserved;
  bool draining;
  jb_time draining_since; /* when it was first seen draining */
  bool listed;            /* in the list, as far as that is believed */
  jb_time listed_at;      /* when a list last had it */
  jb_time missing_since;  /* the first list without it; 0: the newest has it */
  bool in_roster;         /* a successor will know of it */
  bool off_roster; /* nothing can run there: it is taken off the record */
  int64_t started_unix_ms; /* Unix time of its start; 0: not said */
  /* clock */
  int64_t clock_ms; /* what it said */
  jb_time
      clock_received_at; /* when that was received; 0: it has said nothing */
  int64_t
      lease_until_ms; /* highest lease that was asked for, answered or not */
  /* looks */
  uint32_t probes_in_flight; /* looks without an answer */
  bool probe_urgent;         /* a run is to be settled: one more is worth it */
  int64_t probe_clock_ms;    /* its clock at the newest look taken in */
  jb_time next_probe;
  jb_time lease_sent_at;      /* when the last order with a lease was sent */
  uint32_t unanswered_probes; /* orders in a row without an answer */
  jb_time orphan_seen_at;     /* the newest look listed a run that nobody wants
                             here;     0: it did not */
  jb_time orphan_stopped_at;  /* when such runs were last told to stop */
  bool probed; /* a look was answered under this owner's fence */
  /* ends */
  uint64_t listed_end; /* highest number taken in */
  uint64_t stored_end; /* up to here what they changed is durable */
  uint64_t acked_end;  /* up to here it was told so */
  /* trust */
  jb_time unhealthy_until;          /* it turned a start away */
  uint32_t consecutive_failed_jobs; /* jobs that failed in a row */
  const void *last_failed_job;      /* the last of them; compared only */
  jb_time suspect_until;
  uint32_t starts_in_flight; /* starts without an answer */
  /* being emptied for an order on its host */
  jb_time cordoned_until;
  /* tasks with a run here */
  struct jb_task *tasks;
  uint32_t task_count;
  jb_time idle_since;
};

/* Return a new backend for ENTRY, owned by MEM.  */
struct jb_backend *jb_backend_new (TALLOC_CTX *mem,
                                   const struct jb_backend_entry *entry);

/* Note what its own entry says now.  */
void jb_backend_update (struct jb_backend *backend,
                        const struct jb_backend_entry *entry, jb_time now);

/* Note the clock that an answer carried.  */
void jb_backend_record_clock (struct jb_backend *backend, jb_time now,
                              int64_t clock_ms);

/* Return whether BORN_MS, which may be 0, tells of another life than the one
   known.  */
bool jb_backend_has_restarted (const struct jb_backend *backend,
                               int64_t born_ms);

/* Return the end of a lease of LEASE_MS from now, and note that it is asked
   for.  The clock must be known.  */
int64_t jb_backend_grant_lease (struct jb_backend *backend, jb_time now,
                                int64_t lease_ms);

/* Return whether every lease that was ever asked for has surely passed.  */
bool jb_backend_leases_expired (const struct jb_backend *backend, jb_time now);

/* Return the time when jb_backend_leases_expired becomes true.  */
jb_time jb_backend_leases_expire_at (const struct jb_backend *backend);

/* Return whether it has LABEL, or LABEL is NULL.  */
bool jb_backend_has_label (const struct jb_backend *backend,
                           const char *label);

/* Return what is left of its room.  */
struct jb_resources jb_backend_available (const struct jb_backend *backend);

#endif
