#ifndef JB_BACKEND_H
#define JB_BACKEND_H

/* One incarnation of a backend server, as the owner of its pool knows it: its
   capacity, its clock, the lease of the runs on it, and which ends of runs
   have been stored and acknowledged.

   A lease is a point in time on the backend server's own clock, which may run
   slow.  It applies to all runs there and is never shortened.  */

#include "jb_command.h"
#include "jb_lease.h"

struct jb_task;

enum
{
  /* How much slower than real time a backend server's clock may run.  */
  JB_MAX_CLOCK_DRIFT_PERCENT = 2,
  JB_LEASE_MARGIN_MS = 50 /* allowance for rounding and delivery */
};

struct jb_backend
{
  char *instance;
  char *address;
  char *zone;
  char *rack; /* last label, or NULL */
  char **labels;
  uint32_t label_count;
  /* Start of the incarnation that had them; 0: not reported.  */
  int64_t labelled_unix_ms;
  struct jb_resources capacity;
  struct jb_resources reserved;
  bool draining;
  jb_time draining_since; /* when it was first listed as draining */
  /* It is in the platform's list of backend servers, or has been missing from
     it only for a short time.  */
  bool listed;
  jb_time listed_at;    /* when a list that contains it was last received */
  uint64_t list_number; /* pool's number of the last list that contains it */
  /* When a list without it was first received; 0: the newest list contains
     it.  */
  jb_time missing_since;
  /* It is in the stored roster, so a new owner will know of it.  */
  bool in_roster;
  /* It is in the roster that the previous owner left, so that owner may have
     started tasks there.  */
  bool inherited;
  /* Nothing can run there, so it is left out of the roster.  */
  bool excluded_from_roster;
  uint64_t exclusion; /* pool's number of this exclusion, if it is excluded */
  int64_t started_unix_ms; /* Unix time of its start; 0: not reported */
  /* That of its previous incarnation; 0: there was none.  */
  int64_t former_started_unix_ms;
  /* Pool's number of its incarnation.  It may restart under its instance name;
     the number rises when the owner learns of that.  */
  uint32_t incarnation;
  /* Fencing token of commands.  It rises with the incarnation, and when
     commands sent before are to be refused; when it last rose.  */
  uint64_t fence;
  jb_time fence_raised_at;
  /* Commands with this token that acknowledge ends and were not answered.  */
  uint32_t open_acks;
  /* When it was last noticed to have restarted; 0: never.  What it has
     forgotten includes the fencing token of another owner.  */
  jb_time restart_seen_at;
  /* It has restarted, and no answer has shown yet that it refuses the commands
     of its previous incarnation.  */
  bool may_get_old_commands;
  /* Its own clock.  */
  int64_t clock_ms; /* time that it last reported */
  /* When that report was received; 0: there was none.  */
  jb_time clock_received_at;
  struct jb_lease *lease; /* upper bound */
  /* Grants of the full lease: when the latest one that was answered was sent,
     and the last one, 0: never; whether a probe with one has no answer yet,
     and whether neither the last one nor a command sent after it was answered.
   */
  jb_time granted_at;
  jb_time grant_sent_at;
  bool grant_in_flight;
  bool grant_open;
  /* Its group was due when it had not answered recently.  */
  bool grant_due;
  jb_time answered_at; /* when it last answered a command; 0: never */
  /* Probes.  */
  uint32_t probes_in_flight; /* probes without an answer yet */
  /* The state of a run is uncertain: one more probe may be sent while another
     is in flight.  */
  bool probe_urgent;
  /* Time on its own clock in the newest answer that was processed.  */
  int64_t probe_clock_ms;
  jb_time probe_sent_at;      /* when the last probe was sent */
  jb_time next_probe;         /* earliest time to send the next probe */
  uint32_t unanswered_probes; /* since the last answer, and when the last one
                                 of them was noticed */
  jb_time unanswered_at;
  /* When the newest probe listed an orphaned run, which no job needs here; 0:
     it listed none.  */
  jb_time orphan_seen_at;
  jb_time orphan_stopped_at; /* when orphaned runs were last told to stop */
  /* A probe that carried this owner's fencing token was answered.  */
  bool probed;
  /* Such an answer has listed all ends that were not acknowledged.  */
  bool ends_listed;
  /* The backend server numbers the ends of runs there in ascending order.
     These are the highest numbers of the ends that were processed, whose
     effects are durable, and that were acknowledged to the backend server.  */
  uint64_t processed_end;
  uint64_t stored_end;
  uint64_t acked_end;
  /* Number of tasks with a start in doubt here (jb_doubt.h), the lowest number
     of an end that must not be acknowledged because of one, 0: none, and when
     the last processed probe was sent.  */
  uint32_t doubt_count;
  uint64_t held_from;
  jb_time asked_at;
  /* Health.  */
  jb_time unhealthy_until; /* no starts until then, since it refused one */
  /* Number of different jobs that failed there since the last success.  */
  uint32_t consecutive_failed_jobs;
  const void *last_failed_job; /* compared only, never dereferenced */
  /* No starts until then, since too many jobs failed there in a row.  */
  jb_time suspect_until;
  uint32_t starts_in_flight; /* starts without an answer yet */
  /* When the first start was sent since it last answered anything; 0: none. */
  jb_time awaited_since;
  /* When an answer to a probe was last processed; 0: never.  */
  jb_time probe_answered_at;
  /* Part of its capacity that may not be filled yet, because its zone was
     taken back a short time ago.  */
  struct jb_resources withheld;
  /* No starts until then: it is being evacuated for a command to its host.  */
  jb_time cordoned_until;
  /* When the planner reported that its host was removed; 0: that is not the
     case, or an answer has shown that it is still there.  */
  jb_time removed_at;
  /* Tasks that have a run there, linked by next_on_backend.  */
  struct jb_task *tasks;
  uint32_t task_count;
  jb_time idle_since; /* since when it has no tasks, if it has none */
};

/* Return a new backend, owned by MEM, with a copy of ENTRY's data.  */
struct jb_backend *jb_backend_new (TALLOC_CTX *mem,
                                   const struct jb_backend_entry *entry);

/* Update BACKEND from the newer ENTRY that it published.  Return whether its
   labels have changed, or were not known of its incarnation.  */
bool jb_backend_update (struct jb_backend *backend,
                        const struct jb_backend_entry *entry, jb_time now);

/* Record CLOCK_MS, the backend server's own clock in an answer that was
   received at NOW.  */
void jb_backend_record_clock (struct jb_backend *backend, jb_time now,
                              int64_t clock_ms);

/* Return whether CLOCK_MS, the clock in the answer to a command that was sent
   at SENT_AT, can't be the clock that is known: BACKEND has restarted.  */
bool jb_backend_is_other_clock (const struct jb_backend *backend,
                                jb_time sent_at, int64_t clock_ms);

/* Return whether STARTED_UNIX_MS is known and differs from the known start
   time of BACKEND.  */
bool jb_backend_has_restarted (const struct jb_backend *backend,
                               int64_t started_unix_ms);

/* Record that BACKEND may have a lease of LEASE_MS from now.  */
void jb_backend_expect_lease (struct jb_backend *backend, jb_time now,
                              int64_t lease_ms);

/* BACKEND may have restarted: record that its lease, and each grant without an
   answer, may last as long as MAX_LEASE_MS on the clock of the new
   incarnation.  */
void jb_backend_expect_other_clock (struct jb_backend *backend, jb_time now,
                                    int64_t max_lease_ms);

/* Return the end of a lease of LEASE_MS from now, by the backend server's
   clock, record that this lease is being requested, and set NUMBER to the
   number of the grant.  The clock must be known.  */
int64_t jb_backend_grant_lease (struct jb_backend *backend, jb_time now,
                                int64_t lease_ms, uint64_t *number);

/* Return the time, by the driver's clock, after which every lease has expired,
   however late the grants without an answer are carried out, even on the
   slowest allowed clock.  */
jb_time jb_backend_leases_expire_at (const struct jb_backend *backend);

/* Return how long a lease of LEASE_MS, on a backend server's clock, lasts at
   most, with the usual margin.  */
jb_time jb_backend_lease_time (int64_t lease_ms);

/* Return whether BACKEND has LABEL, as far as is known of its incarnation, or
   LABEL is NULL.  */
bool jb_backend_has_label (const struct jb_backend *backend,
                           const char *label);

/* Return the capacity that is neither reserved nor withheld.  */
struct jb_resources jb_backend_available (const struct jb_backend *backend);

#endif
