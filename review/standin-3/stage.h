#ifndef STAGE_H
#define STAGE_H

/* Stand-ins of the platform and of workers, each in a process of its own, and
   what a case needs to start entry hosts and to call them.

   All addresses are loopback addresses of one network, 127.N.0.0/16:
   127.N.1.I entry host I, 127.N.100.1 the platform, 127.N.50.I worker I.  */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  STAGE_MAX_HOSTS = 8,
  STAGE_MAX_WORKERS = 16,
  STAGE_CLIENT_PORT = 8340,
  STAGE_STORE_PORT = 8344,
  STAGE_WORKER_PORT = 8000,
  /* Bounds of a small deployment, as in the settings of its processes.  */
  STAGE_HOLD_MAX_MS = 6000,
  STAGE_STOP_MS = 900,
  STAGE_BEAT_MS = 1500
};

struct stage_worker
{
  unsigned index;
  unsigned life; /* number of its lives */
  char id[40];
  const char *service;
  const char *kind; /* its first label */
  pid_t pid;        /* 0: it is down */
};

struct stage
{
  unsigned network;
  char folder[64]; /* temporary, for settings and logs */
  int record;      /* file that is appended to */
  const char *program;
  unsigned host_count;
  pid_t hosts[STAGE_MAX_HOSTS];
  pid_t store;
  unsigned worker_count;
  struct stage_worker workers[STAGE_MAX_WORKERS];
};

int64_t stage_now_ms (void); /* Unix time */
void stage_sleep_ms (int64_t ms);

/* Append a line to the record, with the time.  Any process.  */
void stage_note (int record, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Send a request to ADDRESS (HOST:PORT) and return the status of the response,
   or 0 when there is none within TIMEOUT_MS.  The body, up to SIZE bytes with
   the final NUL, goes to RESPONSE, which may be NULL.  */
int stage_http (const char *address, const char *method, const char *path,
                const char *headers, const char *body, char *response,
                size_t size, int timeout_ms);

/* The main functions of the processes of the platform and of a worker.  They
   don't return.  */
void stage_run_store (struct stage *stage);
void stage_run_worker (struct stage *stage, const struct stage_worker *worker);

/* Write the row KEY of the table `op' or `servers'.  */
bool stage_put (struct stage *stage, const char *table, const char *key,
                json_t *value);

#endif
