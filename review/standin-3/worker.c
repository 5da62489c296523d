/* A worker.  The `spec' of a job says what its tasks do: "work MS" ends done
   after that time, "last MS" is at work after that time and goes on, and "gang
   MS COUNT" works only together with the other members: with COUNT tasks of
   one run and one value of `checkpointed'.  A gang has a new value with each
   CHECKPOINT_MS of work, the same for all members.  */

#include "stage.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  MAX_RUNS = 64,
  CHECKPOINT_MS = 2000,
  GANG_TIMEOUT_MS = 3000
};

struct run
{
  char *task;
  int64_t run;
  bool lasts;
  int64_t started_at; /* by the worker's clock */
  int64_t work_ms;
  int64_t count;         /* of the members of its gang; 0: it is no member */
  char *carried;         /* value that it was started with, or "" */
  int64_t together_unix; /* since when all members are there; 0: they aren't */
  bool is_broken;        /* another member ended */
};

struct end
{
  int64_t number;
  char *task;
  int64_t run;
  const char *how;
  char *saved;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t ended = PTHREAD_COND_INITIALIZER;
static GPtrArray *runs;    /* struct run */
static GPtrArray *ends;    /* struct end, not acknowledged */
static GHashTable *closed; /* task -> highest run that was stopped or ended */
static int64_t last_number;
static int64_t until_ms; /* of all leases */
static int64_t fence;
static int64_t born;
static struct timespec origin;
static const struct stage_worker *self;
static struct stage *the_stage;

static int64_t
clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (now.tv_sec - origin.tv_sec) * 1000
         + (now.tv_nsec - origin.tv_nsec) / 1000000 + 1;
}

static void
close_run (const char *task, int64_t run)
{
  int64_t *old = g_hash_table_lookup (closed, task);
  int64_t *copy = g_new (int64_t, 1);

  *copy = MAX (old != NULL ? *old : 0, run);
  g_hash_table_insert (closed, g_strdup (task), copy);
}

static struct run *
find_run (const char *task, guint *index)
{
  for (guint i = 0; i < runs->len; i++)
    {
      struct run *run = g_ptr_array_index (runs, i);

      if (strcmp (run->task, task) == 0)
        {
          *index = i;
          return run;
        }
    }
  return NULL;
}

/* Return how much of the work of the gang of RUN is done.  */
static int64_t
gang_progress (const struct run *run)
{
  int64_t before = strtoll (run->carried, NULL, 16);

  return run->together_unix == 0
             ? before
             : before + stage_now_ms () - run->together_unix;
}

/* Return the newest value of RUN, owned by the caller.  */
static char *
saved_value (const struct run *run, bool at_stop)
{
  int64_t progress = gang_progress (run);

  if (run->count == 0 || run->together_unix == 0)
    return g_strdup (run->carried);
  if (!at_stop)
    progress -= progress % CHECKPOINT_MS;
  return MAX (progress, strtoll (run->carried, NULL, 16)) > 0
             ? g_strdup_printf ("%08llx", (long long)progress)
             : g_strdup ("");
}

static void
end_run (guint index, const char *how)
{
  struct run *run = g_ptr_array_index (runs, index);
  struct end *end = g_new0 (struct end, 1);

  end->number = ++last_number;
  end->task = run->task;
  end->run = run->run;
  end->how = how;
  end->saved = saved_value (run, strcmp (how, "stopped") == 0);
  g_ptr_array_add (ends, end);
  close_run (run->task, run->run);
  stage_note (the_stage->record,
              "worker %s: task %s run %lld ended %s, saved \"%s\"", self->id,
              run->task, (long long)run->run, how, end->saved);
  g_ptr_array_remove_index (runs, index);
  g_free (run);
  pthread_cond_broadcast (&ended);
}

static json_t *
base (void)
{
  return json_pack ("{s:I,s:I}", "clockMs", (json_int_t)clock_ms (), "born",
                    (json_int_t)born);
}

static unsigned
refuse (json_t *answer, const char *reason)
{
  json_object_set_new (answer, "reason", json_string (reason));
  return 409;
}

static int64_t
number (const json_t *request, const char *field)
{
  return json_integer_value (json_object_get (request, field));
}

/* Return whether the order is a stale one.  */
static bool
is_stale (const json_t *request)
{
  if (number (request, "fence") < fence)
    return true;
  fence = number (request, "fence");
  return false;
}

static void
extend (const json_t *request)
{
  int64_t until = number (request, "untilMs");

  until_ms = MAX (until_ms, MIN (until, clock_ms () + STAGE_HOLD_MAX_MS));
}

static unsigned
start (const json_t *request, json_t *answer)
{
  const char *task = json_string_value (json_object_get (request, "task"));
  const char *spec = json_string_value (json_object_get (request, "spec"));
  int64_t number_of_run = number (request, "run");
  int64_t *last = g_hash_table_lookup (closed, task);
  struct run *run;
  guint index;

  if (is_stale (request))
    return refuse (answer, "fence");
  run = find_run (task, &index);
  if (number (request, "untilMs") <= clock_ms ())
    return refuse (answer, "late");
  extend (request);
  if (run != NULL && run->run == number_of_run)
    return 200;
  if (run != NULL || (last != NULL && number_of_run <= *last))
    return refuse (answer, "old");
  if (runs->len >= MAX_RUNS)
    return refuse (answer, "room");
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->run = number_of_run;
  run->lasts = strncmp (spec, "last", 4) == 0;
  run->work_ms = atoll (spec + 5);
  if (strncmp (spec, "gang", 4) == 0)
    run->count = atoll (strchr (spec + 5, ' '));
  run->carried = g_strdup (
      json_string_value (json_object_get (request, "checkpointed")));
  if (run->carried == NULL)
    run->carried = g_strdup ("");
  run->started_at = clock_ms ();
  g_ptr_array_add (runs, run);
  stage_note (the_stage->record,
              "worker %s: task %s run %lld starts, checkpointed \"%s\", "
              "kind %s",
              self->id, task, (long long)number_of_run, run->carried,
              self->kind);
  return 200;
}

static unsigned
stop (const json_t *request, json_t *answer)
{
  const char *task = json_string_value (json_object_get (request, "task"));
  struct run *run;
  guint index;

  if (is_stale (request))
    return refuse (answer, "fence");
  run = find_run (task, &index);
  if (run != NULL && run->run <= number (request, "run"))
    end_run (index, "stopped");
  else
    close_run (task, number (request, "run"));
  return 200;
}

static unsigned
hold (const json_t *request, json_t *answer)
{
  int64_t wait_until
      = stage_now_ms () + MIN (number (request, "waitMs"), 2000);
  struct timespec end = { wait_until / 1000, wait_until % 1000 * 1000000 };
  json_t *running = json_array ();
  json_t *list = json_array ();

  if (is_stale (request))
    {
      json_decref (running);
      json_decref (list);
      return refuse (answer, "fence");
    }
  if (number (request, "untilMs") > 0)
    extend (request);
  while (ends->len > 0
         && ((struct end *)g_ptr_array_index (ends, 0))->number
                <= number (request, "ackedUpto"))
    g_ptr_array_remove_index (ends, 0);
  while (ends->len == 0 && stage_now_ms () < wait_until)
    pthread_cond_timedwait (&ended, &lock, &end);
  for (guint i = 0; i < runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (runs, i);
      int64_t progress = run->count > 0 ? gang_progress (run)
                                        : clock_ms () - run->started_at;
      int64_t percent = 100 * progress / MAX (run->work_ms, 1);
      char *saved = saved_value (run, false);

      json_array_append_new (
          running, json_pack ("[s,I,s,I,i]", run->task, (json_int_t)run->run,
                              saved, (json_int_t)MIN (percent, 100), 100));
      g_free (saved);
    }
  for (guint i = 0; i < MIN (ends->len, 500); i++)
    {
      const struct end *e = g_ptr_array_index (ends, i);

      json_array_append_new (
          list, json_pack ("[I,s,I,s,s]", (json_int_t)e->number, e->task,
                           (json_int_t)e->run, e->how, e->saved));
    }
  json_object_set_new (answer, "clockMs", json_integer (clock_ms ()));
  json_object_set_new (answer, "running", running);
  json_object_set_new (answer, "ended", list);
  return 200;
}

/* ---- cuts and late orders ---- */

/* The files in the folder of the stage that control workers: `late' has the
   delay, in milliseconds, of the next start; `cut-I' says that worker I
   reaches no entry host; and `order-I' holds an order that worker I carries
   out late.  */
static char *
control_file (const char *name)
{
  return g_strdup_printf ("%s/%s", the_stage->folder, name);
}

static char *
own_control_file (const char *name)
{
  return g_strdup_printf ("%s/%s-%u", the_stage->folder, name, self->index);
}

static bool
is_cut (void)
{
  char *path = own_control_file ("cut");
  bool cut = access (path, F_OK) == 0;

  g_free (path);
  return cut;
}

/* If the next start is to be carried out late, keep REQUEST for that and
   return true.  */
static bool
keep_order (json_t *request)
{
  char *late = control_file ("late");
  char *order = own_control_file ("order");
  gchar *delay = NULL;
  bool kept = g_file_get_contents (late, &delay, NULL, NULL);

  if (kept)
    {
      unlink (late);
      json_object_set_new (request, "due",
                           json_integer (stage_now_ms () + atoll (delay)));
      json_dump_file (request, order, 0);
      stage_note (the_stage->record,
                  "worker %s: the start of task %s run %lld gets no answer",
                  self->id,
                  json_string_value (json_object_get (request, "task")),
                  (long long)number (request, "run"));
    }
  g_free (delay);
  g_free (order);
  g_free (late);
  return kept;
}

/* Carry out the order that was kept for this worker, if it is due.  */
static void
carry_out_order (void)
{
  char *path = own_control_file ("order");
  json_t *request = json_load_file (path, 0, NULL);

  if (request != NULL && stage_now_ms () >= number (request, "due"))
    {
      json_t *answer = base ();

      unlink (path);
      stage_note (the_stage->record, "worker %s: a late order comes",
                  self->id);
      pthread_mutex_lock (&lock);
      start (request, answer);
      pthread_mutex_unlock (&lock);
      json_decref (answer);
    }
  json_decref (request);
  g_free (path);
}

static enum MHD_Result
handle (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *http_version, const char *upload,
        size_t *upload_size, void **context)
{
  GString *body = *context;
  const char *instance;
  unsigned status = 200;
  json_t *request;
  json_t *answer;
  char *text;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)data;
  (void)method;
  (void)http_version;
  if (body == NULL)
    {
      *context = g_string_new (NULL);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (body, upload, (gssize)*upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  request = json_loads (body->str, 0, NULL);
  if (is_cut () || (strcmp (url, "/run-start") == 0 && keep_order (request)))
    {
      json_decref (request);
      stage_sleep_ms (3000);
      return MHD_NO;
    }
  instance = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                          "X-Expect-Instance");
  pthread_mutex_lock (&lock);
  answer = base ();
  if (instance != NULL && strcmp (instance, self->id) != 0)
    status = 421;
  else if (strcmp (url, "/run-start") == 0)
    status = start (request, answer);
  else if (strcmp (url, "/run-stop") == 0)
    status = stop (request, answer);
  else if (strcmp (url, "/hold") == 0)
    status = hold (request, answer);
  else if (strcmp (url, "/pace") != 0 && strcmp (url, "/health") != 0)
    status = 404;
  pthread_mutex_unlock (&lock);
  text = json_dumps (answer, JSON_COMPACT);
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "X-Instance-Id", self->id);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  json_decref (answer);
  json_decref (request);
  return result;
}

static void
request_done (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  (void)data;
  (void)connection;
  (void)code;
  if (*context != NULL)
    g_string_free (*context, TRUE);
}

static void
beat (unsigned seq)
{
  char address[40];
  char machine[24];

  g_snprintf (machine, sizeof machine, "m-%u", self->index);
  g_snprintf (address, sizeof address, "127.%u.50.%u:%d", the_stage->network,
              self->index + 1, STAGE_WORKER_PORT);
  stage_put (the_stage, "servers", self->id,
             json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
                        "s:I,s:I,s:i,s:s}",
                        "service", self->service, "address", address, "zone",
                        "zone-a", "version", "v1", "slots", 8, "state",
                        "ready", "coldLeftMs", 0, "capacity", "cpu", 16000,
                        "memMb", 65536, "gpu", 0, "labels", self->kind, "r1",
                        "clockMs", (json_int_t)clock_ms (), "born",
                        (json_int_t)born, "seq", (int)seq, "machine",
                        machine));
}

/* Tell the others which members of gangs are here, and learn which gangs are
   complete or broken.  */
static void
report_gangs (void)
{
  json_t *members = json_array ();
  char address[40];
  char answer[16000];
  char *body;
  json_t *root;
  const json_t *item;
  size_t i;

  pthread_mutex_lock (&lock);
  for (guint j = 0; j < runs->len; j++)
    {
      const struct run *run = g_ptr_array_index (runs, j);

      if (run->count > 0)
        json_array_append_new (
            members, json_pack ("[s,I,s,I]", run->task, (json_int_t)run->run,
                                run->carried, (json_int_t)run->count));
    }
  pthread_mutex_unlock (&lock);
  if (json_array_size (members) == 0)
    {
      json_decref (members);
      return;
    }
  body = json_dumps (members, JSON_COMPACT);
  json_decref (members);
  g_snprintf (address, sizeof address, "127.%u.100.1:%d", the_stage->network,
              STAGE_STORE_PORT);
  stage_http (address, "POST", "/gang", NULL, body, answer, sizeof answer,
              200);
  free (body);
  root = json_loads (answer, 0, NULL);
  pthread_mutex_lock (&lock);
  json_array_foreach (root, i, item)
  {
    const char *task = json_string_value (json_array_get (item, 0));
    guint index;
    struct run *run = find_run (task, &index);

    if (run == NULL
        || run->run != json_integer_value (json_array_get (item, 1)))
      continue;
    run->together_unix = json_integer_value (json_array_get (item, 2));
    run->is_broken = json_is_true (json_array_get (item, 3));
  }
  pthread_mutex_unlock (&lock);
  json_decref (root);
}

/* Return how the run ends now, or NULL.  */
static const char *
find_end (const struct run *run)
{
  if (clock_ms () >= until_ms)
    return "lapsed";
  if (run->count > 0)
    return run->together_unix != 0 && gang_progress (run) >= run->work_ms
               ? "done"
           : run->is_broken ? "broken"
           : run->together_unix == 0
                   && clock_ms () - run->started_at >= GANG_TIMEOUT_MS
               ? "alone"
               : NULL;
  return !run->lasts && clock_ms () - run->started_at >= run->work_ms ? "done"
                                                                      : NULL;
}

/* End what is due, and report.  */
static void
work (void)
{
  int64_t next_beat = 0;

  for (unsigned seq = 1;;)
    {
      if (clock_ms () >= next_beat)
        {
          next_beat = clock_ms () + STAGE_BEAT_MS;
          beat (seq++);
        }
      stage_sleep_ms (5);
      report_gangs ();
      carry_out_order ();
      pthread_mutex_lock (&lock);
      for (guint i = runs->len; i-- > 0;)
        {
          const char *how = find_end (g_ptr_array_index (runs, i));

          if (how != NULL)
            end_run (i, how);
        }
      pthread_mutex_unlock (&lock);
    }
}

void
stage_run_worker (struct stage *stage, const struct stage_worker *worker)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (STAGE_WORKER_PORT) };
  char ip[32];

  the_stage = stage;
  self = worker;
  runs = g_ptr_array_new ();
  ends = g_ptr_array_new ();
  closed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  clock_gettime (CLOCK_MONOTONIC, &origin);
  born = stage_now_ms ();
  g_snprintf (ip, sizeof ip, "127.%u.50.%u", stage->network,
              worker->index + 1);
  inet_pton (AF_INET, ip, &address.sin_addr);
  if (MHD_start_daemon (
          MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
          STAGE_WORKER_PORT, NULL, NULL, handle, NULL, MHD_OPTION_SOCK_ADDR,
          &address, MHD_OPTION_NOTIFY_COMPLETED, request_done, NULL,
          MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END)
      == NULL)
    {
      stage_note (stage->record, "worker %s can't listen", worker->id);
      _exit (2);
    }
  work ();
}
