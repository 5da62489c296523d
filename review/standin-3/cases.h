#ifndef CASES_H
#define CASES_H

#include "stage.h"

/* Start the platform, the workers and the entry hosts.  Return whether the
   entry hosts are ready.  */
bool stage_open (struct stage *stage, unsigned host_count,
                 unsigned worker_count);
bool stage_put_config (struct stage *stage);

void stage_start_worker (struct stage *stage, unsigned index);
/* Start a worker again under the id that it had.  */
void stage_restart_worker (struct stage *stage, unsigned index);
void stage_crash_worker (struct stage *stage, unsigned index);
void stage_start_host (struct stage *stage, unsigned index);
void stage_signal_host (struct stage *stage, unsigned index, int number);

/* Return the index of the entry host that owns the pool, as the hosts' logs
   say, or -1.  */
int stage_find_owner (struct stage *stage);
void stage_silence_worker (struct stage *stage, unsigned index);

/* Create or remove the file NAME in the folder of the stage, which controls
   workers.  */
void stage_set_control (struct stage *stage, const char *name,
                        const char *content);
void stage_clear_control (struct stage *stage, const char *name);

/* Call entry host HOST as a client, and record it.  Return the status of the
   answer, 0 if there is none.  */
int stage_call (struct stage *stage, unsigned host, const char *method,
                const char *path, const char *body, char *response,
                size_t size, int timeout_ms);
/* Submit a job until it is accepted.  Return 200, or 0 if it never is.  */
int stage_submit (struct stage *stage, const char *path, const char *body);
/* Set STATE to the state of a job, or to "410".  Return false if no entry host
   answers.  */
bool stage_get_state (struct stage *stage, const char *path, char *state,
                      size_t size);

/* Play the case NAME.  Return 0 if the rule held, 1 if it was broken, and 2 if
   the case could not run.  */
int stage_play_case (struct stage *stage, const char *name, const char *record,
                     bool trouble);

#endif
