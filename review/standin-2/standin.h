#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

/* Stand-ins for the cases of REPORT-2.md: the platform's store, its list of
   machines, the workers and the clients, in one process, as PROTOCOL.md
   describes them.  Entry hosts run as processes of their own, with the command
   of the deploy file.  All addresses are in 127.NETWORK.0.0/16.

   All state is under one lock, which the functions below take themselves.  */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  MAX_NODES = 9,
  MAX_WORKERS = 64,
  CLIENT_PORT = 8340,
  READINESS_PORT = 8343,
  ADMIN_PORT = 8345,
  PLATFORM_PORT = 8344,
  WORKER_PORT = 8080
};

/* A run of a task, kept for ever, as a worker has seen it.  */
struct run
{
  char *task;
  int64_t number;
  char *spec;
  size_t spec_len;
  char *checkpoint;
  int worker;        /* index */
  int64_t born;      /* incarnation of the worker */
  int64_t begun_ms;  /* stand-in's clock */
  int64_t ended_ms;  /* 0: it runs */
  int64_t work_ms;   /* -1: lasts */
  int64_t saved_ms;  /* work that its checkpoint stands for */
  int64_t newest_ms; /* the same of the newest one that it has produced */
  bool saves;
  int64_t gang;        /* members, or 0 */
  int64_t together_ms; /* since when all members are there, or 0 */
  int64_t stop_at;     /* 0: not told to stop */
  bool fails;          /* at its end */
  const char *how;     /* NULL: it runs; "crashed": its worker crashed */
};

/* Start the platform, with COUNT nodes to come.  FOLDER gets their settings
   and logs, RECORD what happens.  Exits with 2 on failure.  */
void standin_begin (const char *program, const char *folder,
                    const char *record, int node_count);
/* End all nodes, and the platform.  */
void standin_end (void);

/* Write a line to the record.  */
void standin_note (const char *format, ...) G_GNUC_PRINTF (1, 2);
int64_t standin_now_ms (void);
int64_t standin_unix_ms (void);
void standin_sleep_ms (int64_t ms);

/* The operator writes the row KEY of the table "op".  */
void standin_write_operator_row (const char *key, const char *json);
/* Any writer writes the row KEY of the table "servers".  */
void standin_write_server_row (const char *key, const char *json);

/* Add a worker, return its index.  LABELS is the inside of a JSON list.  */
int standin_add_worker (const char *service, const char *labels, int64_t cpu,
                        int64_t memory_mb);
/* Worker INDEX crashes, and starts again under its id after DOWN_MS, with
   LABELS, or its former ones if that is NULL.  */
void standin_crash_worker (int index, int64_t down_ms, const char *labels);
/* The answers to orders at PATH, such as "/run-start", of worker INDEX are
   lost: they are carried out after DELAY_MS, and the connection closed.  */
void standin_lose_answers (int index, const char *path, int64_t delay_ms);
/* Return the index of a worker that has lost the answer to a start, or -1.  */
int standin_find_losing (void);
/* Return how many starts worker INDEX has left unanswered.  */
int standin_count_lost (int index);
/* Answer them again.  */
void standin_keep_answers (int index);
/* Worker INDEX refuses starts with 503, or no longer.  */
void standin_refuse_starts (int index, bool refuses);
const char *standin_worker_id (int index);
const char *standin_worker_labels (int index);
int standin_worker_count (void);

/* The runs so far.  The caller holds the lock.  */
void standin_lock (void);
void standin_unlock (void);
const GPtrArray *standin_runs (void);
/* Return the index of the worker on which TASK runs, or -1.  */
int standin_find_running (const char *task);

void standin_start_node (int index);
void standin_signal_node (int index, int number);
/* Return whether each node answers its readiness check within MS.  */
bool standin_await_ready (int64_t ms);
/* Kill all nodes.  For signal handlers.  */
void standin_kill_nodes (void);
/* Return the number of nodes whose processes have ended by themselves.  */
int standin_count_crashed_nodes (void);
/* The store does not answer node INDEX (silent), until it is reset.  */
void standin_cut_store (int index, bool cut);
/* Each answer of the store takes so much longer.  */
void standin_slow_store (int64_t ms);

/* Send a request to node INDEX.  Return the status, or 0 without an answer
   within TIMEOUT_MS.  The body of the answer, if ANSWER isn't NULL, is freed
   with g_free.  */
unsigned standin_call (int index, const char *method, const char *path,
                       const char *key, const char *body, int64_t timeout_ms,
                       char **answer);

#endif
