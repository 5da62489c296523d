#ifndef STAGE_H
#define STAGE_H

/* A small deployment for the cases in this folder: the platform's store, its
   list of machines and the workers, served over HTTP on loopback addresses as
   the users' pages describe them, and entry hosts of the project as separate
   processes.  All functions may be called from any thread unless noted.  */

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  STAGE_PASSED = 0,
  STAGE_BROKEN = 1,
  STAGE_CANNOT_RUN = 2
};

/* One run of a task on a worker, as the worker has seen it.  Times are in
   milliseconds since stage_open.  */
struct stage_run
{
  char *task;
  char *worker;
  char *labels; /* of the worker at the start */
  int64_t run;
  int64_t started_at;
  int64_t ended_at; /* -1: it still runs */
  const char *how;  /* NULL: it still runs, or the worker crashed */
  bool acked;       /* its end was acknowledged */
};

struct stage_worker;

/* Open the stage with ENTRY_COUNT entry hosts that are not started yet.  What
   happens is written to "record.txt" in FOLDER.  PROGRAM is the path of
   dogwoodpulleyd.  Exit with STAGE_CANNOT_RUN on failure.  */
void stage_open (const char *folder, const char *program,
                 unsigned entry_count);

/* End all processes and servers, and record the verdict STATUS, which is
   returned.  */
int stage_close (int status);

/* Return the milliseconds since stage_open.  */
int64_t stage_now (void);
void stage_sleep (int64_t ms);

/* Write a line to the record, with the time.  */
void stage_note (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Add a worker of SERVICE with LABELS ("kind,rack").  */
struct stage_worker *stage_add_worker (const char *service, const char *labels,
                                       int64_t cpu, int64_t memory_mb);
/* WORKER crashes and starts again under its id after DOWN_MS, with LABELS.  */
void stage_restart_worker (struct stage_worker *worker, const char *labels,
                           int64_t down_ms);
/* WORKER crashes; after DOWN_MS another one, with another id, is at its
   address.  */
void stage_crash_worker (struct stage_worker *worker, int64_t down_ms);
/* Return the worker on which TASK runs now, or NULL.  */
struct stage_worker *stage_find_running (const char *task);

/* Write the configuration CONFIG, which is taken over, as the operator.  */
void stage_configure (json_t *config);

/* Let the platform's store leave all calls unanswered and undone, or serve
   calls again.  */
void stage_set_store_down (bool down);
/* Let the answers of the platform's store take FACTOR times as long.  */
void stage_set_store_slowness (int factor);

void stage_start_entries (void);
/* Send SIGNAL_NUMBER to entry host INDEX; it is not restarted.  */
void stage_signal_entry (unsigned index, int signal_number);
void stage_start_entry (unsigned index);
/* Wait until all entry hosts are ready, at most LIMIT_MS.  */
bool stage_wait_ready (int64_t limit_ms);

/* Send a call of a client to entry host INDEX, and return its status, or 0 if
   there was no answer within TIMEOUT_MS.  TEXT, which may be NULL, is set to
   the body, owned by the caller.  */
int stage_call (unsigned index, const char *method, const char *host,
                const char *path, const char *body, int64_t timeout_ms,
                char **text);
/* Submit BODY to PATH until it is accepted, at most LIMIT_MS.  Return whether
   it was.  */
bool stage_submit (const char *host, const char *path, const char *body,
                   int64_t limit_ms);
/* Return the state of the job at PATH, owned by the caller, "410", or NULL if
   no entry host has answered.  */
char *stage_job_state (const char *host, const char *path);

/* Return the index of the entry host that is named in the store as the owner
   of the pool of SERVICE, or -1.  */
int stage_find_owner (const char *service);

/* Send SIGTERM to entry host INDEX, and start it again when it has ended,
   after LIMIT_MS at the latest.  */
void stage_restart_entry (unsigned index, int64_t limit_ms);

/* Call VISIT for each run in the order of the starts.  */
void stage_foreach_run (void (*visit) (const struct stage_run *run,
                                       void *data),
                        void *data);
/* Return the number of violations of TWICE among the runs, and record each: a
   start beside another run of the task on a worker that is up, or after a run
   that has ended done and whose end was acknowledged.  */
unsigned stage_count_twice (void);

/* Largest number of bytes of a row in the store, as in the settings.  */
#define STAGE_ROW_BYTES 65536

/* Number of transactions that the store has refused because of a row that is
   too large.  */
unsigned stage_oversized_writes (void);

#endif
