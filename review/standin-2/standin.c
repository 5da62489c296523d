#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Figures of the small deployment rangmanch-ops.  */
enum
{
  HEARTBEAT_MS = 1500,
  STORE_MS = 4,
  HOLD_MAX_MS = 6000,
  STOP_MS = 100, /* of at most stopMs */
  MOVE_MS = 1500,
  MAINTENANCE_MS = 2000,
  CHECKPOINT_MS = 2000,
  RESTORE_MS = 250,
  GANG_TIMEOUT_MS = 3000,
  TICK_MS = 5,
  LATE_MS = 2000, /* of other orders than starts that are carried out late */
  UNANSWERED_MS = 3000, /* no sender waits for longer */
  MAX_LISTED_ENDS = 500
};

struct row
{
  char *table;
  char *part;
  char *key;
  char *value; /* base64 */
  uint64_t version;
  bool deleted;
};

struct ended
{
  int64_t number;
  struct run *run;
};

struct worker
{
  int index;
  char *id;
  char *ip;
  char *service;
  char *zone;
  char *labels;
  char *machine;
  int64_t cpu;
  int64_t memory_mb;
  bool up;
  bool moving;       /* its machine does, or is in upkeep */
  const char *state; /* of its machine */
  int64_t back_at;
  char *next_labels; /* after a crash */
  char *next_service;
  bool new_id;
  int64_t life; /* counts its starts */
  int64_t born;
  int64_t started_ms;
  int64_t lease_until; /* by its clock */
  int64_t fence;
  int64_t seq;
  int64_t next_beat;
  int64_t last_end;
  GPtrArray *running;
  GPtrArray *ended;
  GHashTable *closed;  /* task -> highest run that was stopped or ended */
  GHashTable *upkeeps; /* set of the waves for which it had its upkeep */
  int64_t upkeep_wave;
  int64_t order_fence;
  char *order_holder;
  int64_t order_at;
  char *lost_path;
  int64_t lost_delay_ms;
  bool has_lost; /* a start */
  int lost_count;
  bool refuses; /* starts, with 503: it is unhealthy */
  struct MHD_Daemon *daemon;
};

static pthread_mutex_t the_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t the_change = PTHREAD_COND_INITIALIZER;
static GPtrArray *the_rows;
static uint64_t the_version;
static struct worker the_workers[MAX_WORKERS];
static int the_worker_count;
static GPtrArray *the_runs;
static struct MHD_Daemon *the_platform;
static pthread_t the_ticker;
static bool the_end;
static FILE *the_record;
static const char *the_program;
static char *the_folder;
static int the_network;
static int the_node_count;
static pid_t the_pids[MAX_NODES];
static bool the_signalled[MAX_NODES];
static int the_crashed_nodes;
static bool the_store_cut[MAX_NODES];
static int64_t the_store_delay_ms;
static int64_t the_start_ms;

int64_t
standin_now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
standin_unix_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
standin_sleep_ms (int64_t ms)
{
  g_usleep ((gulong)(ms > 0 ? ms : 0) * 1000);
}

void
standin_lock (void)
{
  pthread_mutex_lock (&the_lock);
}

void
standin_unlock (void)
{
  pthread_mutex_unlock (&the_lock);
}

void
standin_note (const char *format, ...)
{
  va_list arguments;

  if (the_record == NULL)
    return;
  flockfile (the_record);
  fprintf (the_record, "%8.3f ",
           (double)(standin_now_ms () - the_start_ms) / 1000);
  va_start (arguments, format);
  vfprintf (the_record, format, arguments);
  va_end (arguments);
  fputc ('\n', the_record);
  fflush (the_record);
  funlockfile (the_record);
}

/* ---- the store ---- */

static struct row *
find_row (const char *table, const char *part, const char *key)
{
  for (guint i = 0; i < the_rows->len; i++)
    {
      struct row *row = g_ptr_array_index (the_rows, i);

      if (strcmp (row->key, key) == 0 && strcmp (row->table, table) == 0
          && strcmp (row->part, part) == 0)
        return row;
    }
  return NULL;
}

static void
set_row (const char *table, const char *part, const char *key,
         const char *value, uint64_t version)
{
  struct row *row = find_row (table, part, key);

  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->table = g_strdup (table);
      row->part = g_strdup (part);
      row->key = g_strdup (key);
      g_ptr_array_add (the_rows, row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->version = version;
  row->deleted = value == NULL;
}

static void
set_json_row (const char *table, const char *key, const char *json)
{
  gchar *value = g_base64_encode ((const guchar *)json, strlen (json));

  set_row (table, "", key, value, ++the_version);
  pthread_cond_broadcast (&the_change);
  g_free (value);
}

static json_t *
encode_row (const struct row *row)
{
  json_t *json
      = json_pack ("{s:s,s:s,s:s,s:I}", "table", row->table, "part", row->part,
                   "key", row->key, "ver", (json_int_t)row->version);

  if (row->deleted)
    json_object_set_new (json, "deleted", json_true ());
  else
    json_object_set_new (json, "value", json_string (row->value));
  return json;
}

static const char *
text_of (const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text != NULL ? text : "";
}

static json_t *
store_answer (void)
{
  return json_pack ("{s:I,s:I}", "ver", (json_int_t)the_version, "nowMs",
                    (json_int_t)(standin_now_ms () - the_start_ms));
}

static void check_wave (const char *key, const char *value, gsize len);

static json_t *
transact (const json_t *root, unsigned *status)
{
  const json_t *expected = json_object_get (root, "expectedRevision");
  const json_t *set = json_object_get (root, "setKeys");
  const json_t *removed = json_object_get (root, "remove");
  json_t *conflicts = json_array ();
  json_t *answer;
  bool holds = true;
  json_t *item;
  size_t i;

  json_array_foreach (expected, i, item)
  {
    const struct row *row
        = find_row (text_of (item, "table"), text_of (item, "part"),
                    text_of (item, "key"));
    uint64_t version = row != NULL && !row->deleted ? row->version : 0;

    if (version
        != (uint64_t)json_integer_value (json_object_get (item, "ver")))
      holds = false;
    if (version != 0)
      json_array_append_new (conflicts, encode_row (row));
  }
  *status = holds ? 200 : 412;
  if (holds)
    {
      the_version++;
      json_array_foreach (set, i, item)
      {
        set_row (text_of (item, "table"), text_of (item, "part"),
                 text_of (item, "key"), text_of (item, "value"), the_version);
        if (strcmp (text_of (item, "table"), "status") == 0)
          {
            gsize len;
            guchar *text = g_base64_decode (text_of (item, "value"), &len);

            standin_note ("status/%s is set to %.*s", text_of (item, "key"),
                          (int)len, (char *)text);
            check_wave (text_of (item, "key"), (char *)text, len);
            g_free (text);
          }
      }
      json_array_foreach (removed, i, item)
      {
        set_row (text_of (item, "table"), text_of (item, "part"),
                 text_of (item, "key"), NULL, the_version);
      }
      pthread_cond_broadcast (&the_change);
    }
  answer = store_answer ();
  if (!holds)
    json_object_set (answer, "rows", conflicts);
  json_decref (conflicts);
  return answer;
}

static const char *
query_value (struct MHD_Connection *connection, const char *name)
{
  const char *value
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return value != NULL ? value : "";
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct row *const *)a)->key,
                 (*(struct row *const *)b)->key);
}

static gint
compare_versions (gconstpointer a, gconstpointer b)
{
  const struct row *x = *(struct row *const *)a;
  const struct row *y = *(struct row *const *)b;

  return (x->version > y->version) - (x->version < y->version);
}

static json_t *
get_rows (struct MHD_Connection *connection)
{
  const char *table = query_value (connection, "table");
  const char *part = query_value (connection, "part");
  const char *from = query_value (connection, "from");
  const char *to = query_value (connection, "to");
  GPtrArray *found = g_ptr_array_new ();
  json_t *rows = json_array ();
  json_t *answer = store_answer ();
  guint limit = (guint)atoi (query_value (connection, "limit"));

  if (limit == 0 || limit > 500)
    limit = 500;
  for (guint i = 0; i < the_rows->len; i++)
    {
      struct row *row = g_ptr_array_index (the_rows, i);

      if (!row->deleted && strcmp (row->table, table) == 0
          && strcmp (row->part, part) == 0 && strcmp (row->key, from) >= 0
          && (*to == '\0' || strcmp (row->key, to) < 0))
        g_ptr_array_add (found, row);
    }
  g_ptr_array_sort (found, compare_keys);
  for (guint i = 0; i < found->len && i < limit; i++)
    json_array_append_new (rows, encode_row (g_ptr_array_index (found, i)));
  json_object_set_new (answer, "rows", rows);
  json_object_set_new (answer, "hasMore", json_boolean (found->len > limit));
  g_ptr_array_free (found, TRUE);
  return answer;
}

static json_t *
feed_rows (struct MHD_Connection *connection)
{
  const char *table = query_value (connection, "table");
  uint64_t after
      = g_ascii_strtoull (query_value (connection, "after"), NULL, 10);
  int64_t until
      = standin_now_ms () + atoll (query_value (connection, "waitMs"));
  GPtrArray *found = g_ptr_array_new ();
  json_t *rows = json_array ();
  json_t *answer;

  for (;;)
    {
      struct timespec t;

      for (guint i = 0; i < the_rows->len; i++)
        {
          struct row *row = g_ptr_array_index (the_rows, i);

          if (row->version > after && strcmp (row->table, table) == 0)
            g_ptr_array_add (found, row);
        }
      if (found->len > 0 || standin_now_ms () >= until || the_end)
        break;
      clock_gettime (CLOCK_REALTIME, &t);
      t.tv_nsec += 20000000;
      if (t.tv_nsec >= 1000000000)
        {
          t.tv_sec++;
          t.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&the_change, &the_lock, &t);
    }
  g_ptr_array_sort (found, compare_versions);
  answer = store_answer ();
  for (guint i = 0; i < found->len; i++)
    json_array_append_new (rows, encode_row (g_ptr_array_index (found, i)));
  json_object_set_new (answer, "rows", rows);
  g_ptr_array_free (found, TRUE);
  return answer;
}

static json_t *
get_parts (struct MHD_Connection *connection)
{
  const char *table = query_value (connection, "table");
  GHashTable *parts = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *list = json_array ();
  json_t *answer = store_answer ();
  GHashTableIter iter;
  gpointer key;

  for (guint i = 0; i < the_rows->len; i++)
    {
      struct row *row = g_ptr_array_index (the_rows, i);

      if (!row->deleted && strcmp (row->table, table) == 0)
        g_hash_table_add (parts, row->part);
    }
  g_hash_table_iter_init (&iter, parts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    json_array_append_new (list, json_string (key));
  json_object_set_new (answer, "parts", list);
  g_hash_table_destroy (parts);
  return answer;
}

/* ---- workers ---- */

static int64_t
worker_clock (const struct worker *w)
{
  return standin_now_ms () - w->started_ms + 1000;
}

static void
beat (struct worker *w)
{
  gchar *json = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
      "\"capacity\":{\"cpu\":%" G_GINT64_FORMAT ",\"memMb\":%" G_GINT64_FORMAT
      ",\"gpu\":0},\"labels\":[%s],\"clockMs\":%" G_GINT64_FORMAT
      ",\"born\":%" G_GINT64_FORMAT ",\"seq\":%" G_GINT64_FORMAT "}",
      w->service, w->ip, (int)WORKER_PORT, w->zone, w->cpu, w->memory_mb,
      w->labels, worker_clock (w), w->born, ++w->seq);

  set_json_row ("servers", w->id, json);
  g_free (json);
  w->next_beat = standin_now_ms () + HEARTBEAT_MS;
}

static int64_t
closed_run (const struct worker *w, const char *task)
{
  int64_t *number = g_hash_table_lookup (w->closed, task);

  return number != NULL ? *number : 0;
}

static void
close_run (struct worker *w, const char *task, int64_t number)
{
  if (number > closed_run (w, task))
    g_hash_table_replace (w->closed, g_strdup (task),
                          g_memdup2 (&number, sizeof number));
}

static struct run *
find_run (const struct worker *w, const char *task)
{
  for (guint i = 0; i < w->running->len; i++)
    {
      struct run *run = g_ptr_array_index (w->running, i);

      if (strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

static void
end_run (struct worker *w, struct run *run, const char *how)
{
  struct ended *ended = g_new0 (struct ended, 1);

  run->ended_ms = standin_now_ms ();
  run->how = how;
  ended->number = ++w->last_end;
  ended->run = run;
  g_ptr_array_remove (w->running, run);
  g_ptr_array_add (w->ended, ended);
  close_run (w, run->task, run->number);
  standin_note ("%s: run %" G_GINT64_FORMAT " of %s ends: %s", w->id,
                run->number, run->task, how);
  pthread_cond_broadcast (&the_change);
}

/* The other members of the gang of RUN, which has ended.  */
static void break_gang (const struct run *run);

/* End all runs without a word: the worker is gone.  */
static void
drop_runs (struct worker *w, const char *how)
{
  while (w->running->len > 0)
    {
      struct run *run = g_ptr_array_index (w->running, 0);

      run->ended_ms = standin_now_ms ();
      run->how = how;
      standin_note ("%s: run %" G_GINT64_FORMAT " of %s is gone: %s", w->id,
                    run->number, run->task, how);
      g_ptr_array_remove_index (w->running, 0);
      break_gang (run);
    }
}

/* Return whether RUN and OTHER are members of one run of a gang.  */
static bool
is_same_gang (const struct run *run, const struct run *other)
{
  size_t len = (size_t)(strrchr (run->task, '.') - run->task) + 1;

  return run->gang > 0 && run != other && run->number == other->number
         && strncmp (run->task, other->task, len) == 0;
}

static void
break_gang (const struct run *run)
{
  for (int i = 0; run->gang > 0 && i < the_worker_count; i++)
    for (guint j = 0;
         the_workers[i].running != NULL && j < the_workers[i].running->len;
         j++)
      {
        struct run *other = g_ptr_array_index (the_workers[i].running, j);

        if (!is_same_gang (run, other))
          continue;
        end_run (&the_workers[i], other, "broken");
        j = (guint)-1;
      }
}

/* Return how many members of the gang of RUN are there, itself included.  */
static int64_t
count_members (const struct run *run)
{
  int64_t count = 1;

  for (int i = 0; i < the_worker_count; i++)
    for (guint j = 0;
         the_workers[i].running != NULL && j < the_workers[i].running->len;
         j++)
      count
          += is_same_gang (run, g_ptr_array_index (the_workers[i].running, j));
  return count;
}

/* Return for how long RUN has worked, with what it began with.  */
static int64_t
worked_ms (const struct run *run)
{
  int64_t since = run->gang > 0 ? run->together_ms : run->begun_ms;

  if (run->gang > 0 && run->together_ms == 0)
    return run->saved_ms;
  if (run->saved_ms > 0)
    since += RESTORE_MS;
  return run->saved_ms + MAX (standin_now_ms () - since, 0);
}

/* Let RUN produce the checkpoint of its work so far.  */
static void
save (struct run *run, int64_t work_ms)
{
  if (!run->saves || work_ms <= run->newest_ms)
    return;
  run->newest_ms = work_ms;
  g_free (run->checkpoint);
  run->checkpoint = g_strdup_printf ("cp-%" G_GINT64_FORMAT, work_ms);
}

static int64_t
run_percent (const struct run *run)
{
  int64_t done = standin_now_ms () - run->begun_ms;

  if (run->work_ms < 0)
    return MIN (done / 5, 100);
  return CLAMP (100 * worked_ms (run) / MAX (run->work_ms, 1), 0, 99);
}

static json_t *
worker_answer (const struct worker *w)
{
  return json_pack ("{s:I,s:I}", "clockMs", (json_int_t)worker_clock (w),
                    "born", (json_int_t)w->born);
}

static json_t *
refuse (const struct worker *w, const char *reason, unsigned *status)
{
  json_t *answer = worker_answer (w);

  json_object_set_new (answer, "reason", json_string (reason));
  *status = 409;
  return answer;
}

static void
extend_lease (struct worker *w, const json_t *root)
{
  const json_t *until = json_object_get (root, "untilMs");

  if (json_is_integer (until))
    w->lease_until
        = MAX (w->lease_until, MIN (json_integer_value (until),
                                    worker_clock (w) + HOLD_MAX_MS));
}

/* Return the number that follows NAME in SPEC, or OTHERWISE.  */
static int64_t
spec_number (const char *spec, const char *name, int64_t otherwise)
{
  const char *found = strstr (spec, name);

  return found != NULL ? atoll (found + strlen (name)) : otherwise;
}

static json_t *
start_run (struct worker *w, const json_t *root, unsigned *status)
{
  const char *task = text_of (root, "task");
  const json_t *spec_value = json_object_get (root, "spec");
  int64_t number = json_integer_value (json_object_get (root, "run"));
  struct run *run = find_run (w, task);
  int64_t used = 0;
  gchar *shown;

  extend_lease (w, root);
  if (run != NULL && run->number == number)
    return worker_answer (w);
  if (number <= closed_run (w, task) || (run != NULL && number < run->number))
    return refuse (w, "old", status);
  if (w->lease_until <= worker_clock (w))
    return refuse (w, "late", status);
  for (guint i = 0; i < w->running->len; i++)
    used += spec_number (
        ((struct run *)g_ptr_array_index (w->running, i))->spec, "cpu=", 1000);
  if (used + spec_number (text_of (root, "spec"), "cpu=", 1000) > w->cpu)
    return refuse (w, "room", status);
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->number = number;
  run->spec_len = json_string_length (spec_value);
  run->spec = g_memdup2 (json_string_value (spec_value), run->spec_len + 1);
  run->checkpoint = g_strdup (text_of (root, "checkpointed"));
  run->worker = w->index;
  run->born = w->born;
  run->begun_ms = standin_now_ms ();
  run->work_ms = spec_number (run->spec, "work=", 500);
  run->fails = strstr (run->spec, "fails") != NULL;
  run->saves = strstr (run->spec, "saves") != NULL;
  run->gang = spec_number (run->spec, "gang=", 0);
  if (g_str_has_prefix (run->checkpoint, "cp-"))
    run->saved_ms = atoll (run->checkpoint + 3);
  run->newest_ms = run->saved_ms;
  g_ptr_array_add (w->running, run);
  g_ptr_array_add (the_runs, run);
  shown = json_dumps (spec_value, JSON_ENCODE_ANY);
  standin_note ("%s: run %" G_GINT64_FORMAT " of %s begins, labels [%s], "
                "checkpoint %s, spec %.80s",
                w->id, number, task, w->labels, run->checkpoint, shown);
  free (shown);
  return worker_answer (w);
}

static json_t *
stop_run (struct worker *w, const json_t *root, unsigned *status)
{
  const char *task = text_of (root, "task");
  int64_t number = json_integer_value (json_object_get (root, "run"));
  struct run *run = find_run (w, task);

  (void)status;
  if (run != NULL && run->number == number && run->stop_at == 0)
    run->stop_at = standin_now_ms () + STOP_MS;
  if (run == NULL || run->number != number)
    close_run (w, task, number);
  standin_note ("%s: run %" G_GINT64_FORMAT " of %s is told to stop", w->id,
                number, task);
  return worker_answer (w);
}

static json_t *
hold (struct worker *w, const json_t *root, unsigned *status)
{
  int64_t acked = json_integer_value (json_object_get (root, "ackedUpto"));
  int64_t wait = json_integer_value (json_object_get (root, "waitMs"));
  int64_t until = standin_now_ms () + MIN (wait, 2000);
  int64_t life = w->life;
  int64_t last_end;
  json_t *running = json_array ();
  json_t *ended = json_array ();
  json_t *answer;

  extend_lease (w, root);
  while (w->ended->len > 0
         && ((struct ended *)g_ptr_array_index (w->ended, 0))->number <= acked)
    g_free (g_ptr_array_remove_index (w->ended, 0));
  last_end = w->last_end;
  while (w->ended->len == 0 && last_end == w->last_end && w->life == life
         && w->up && standin_now_ms () < until && !the_end)
    {
      struct timespec t;

      clock_gettime (CLOCK_REALTIME, &t);
      t.tv_nsec += 10000000;
      if (t.tv_nsec >= 1000000000)
        {
          t.tv_sec++;
          t.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&the_change, &the_lock, &t);
    }
  if (!w->up || w->life != life)
    *status = 0;
  for (guint i = 0; i < w->running->len; i++)
    {
      const struct run *run = g_ptr_array_index (w->running, i);

      json_array_append_new (
          running,
          json_pack ("[s,I,s,I,i]", run->task, (json_int_t)run->number,
                     run->checkpoint, (json_int_t)run_percent (run), 500));
    }
  for (guint i = 0; i < w->ended->len && i < MAX_LISTED_ENDS; i++)
    {
      const struct ended *end = g_ptr_array_index (w->ended, i);

      json_array_append_new (
          ended, json_pack ("[I,s,I,s,s]", (json_int_t)end->number,
                            end->run->task, (json_int_t)end->run->number,
                            end->run->how, end->run->checkpoint));
    }
  answer = worker_answer (w);
  json_object_set_new (answer, "running", running);
  json_object_set_new (answer, "ended", ended);
  return answer;
}

/* Carry out the order at PATH.  */
static json_t *
execute_order (struct worker *w, const char *path, const char *instance,
               const json_t *root, unsigned *status)
{
  int64_t fence = json_integer_value (json_object_get (root, "fence"));

  *status = 200;
  if (instance != NULL && strcmp (instance, w->id) != 0)
    {
      *status = 421;
      return worker_answer (w);
    }
  if (strcmp (path, "/health") == 0)
    return worker_answer (w);
  if (fence < w->fence)
    return refuse (w, "fence", status);
  w->fence = fence;
  if (strcmp (path, "/run-start") == 0 && w->refuses)
    {
      standin_note ("%s: a start of %s is refused with 503", w->id,
                    text_of (root, "task"));
      *status = 503;
      return worker_answer (w);
    }
  if (strcmp (path, "/run-start") == 0)
    return start_run (w, root, status);
  if (strcmp (path, "/run-stop") == 0)
    return stop_run (w, root, status);
  if (strcmp (path, "/hold") == 0)
    return hold (w, root, status);
  if (strcmp (path, "/pace") == 0)
    return worker_answer (w);
  *status = 404;
  return json_object ();
}

static void
tick_worker (struct worker *w, int64_t now)
{
  if (!w->up)
    return;
  if (w->running->len > 0 && worker_clock (w) > w->lease_until)
    while (w->running->len > 0)
      {
        struct run *run = g_ptr_array_index (w->running, 0);

        end_run (w, run, "lapsed");
        break_gang (run);
      }
  for (guint i = w->running->len; i-- > 0;)
    {
      struct run *run = g_ptr_array_index (w->running, i);

      if (run->ended_ms != 0)
        continue;
      if (run->gang > 0 && run->together_ms == 0
          && count_members (run) == run->gang)
        run->together_ms = now;
      save (run, worked_ms (run) / CHECKPOINT_MS * CHECKPOINT_MS);
      if (run->stop_at != 0 && now >= run->stop_at)
        {
          save (run, worked_ms (run));
          end_run (w, run, "stopped");
          break_gang (run);
        }
      else if (run->gang > 0 && run->together_ms == 0)
        {
          if (now >= run->begun_ms + GANG_TIMEOUT_MS)
            end_run (w, run, "alone");
        }
      else if (run->stop_at == 0 && run->work_ms >= 0
               && worked_ms (run) >= run->work_ms)
        {
          end_run (w, run, run->fails ? "failed" : "done");
          if (run->fails)
            break_gang (run);
        }
      i = MIN (i, w->running->len);
    }
  if (now >= w->next_beat)
    beat (w);
}

/* ---- machines ---- */

static struct worker *
find_machine (const char *machine)
{
  for (int i = 0; i < the_worker_count; i++)
    if (strcmp (the_workers[i].machine, machine) == 0)
      return &the_workers[i];
  return NULL;
}

static void
check_wave (const char *key, const char *value, gsize len)
{
  int wave = g_str_has_prefix (key, "wave/") ? atoi (key + 5) : 0;
  const struct row *row = find_row ("op", "", key);
  gsize text_len;
  guchar *text;
  json_t *json;
  json_t *item;
  size_t i;

  if (wave == 0 || row == NULL
      || g_strstr_len (value, (gssize)len, "completed") == NULL)
    return;
  text = g_base64_decode (row->value, &text_len);
  json = json_loadb ((char *)text, text_len, 0, NULL);
  json_array_foreach (json_object_get (json, "machines"), i, item)
  {
    const struct worker *w = find_machine (json_string_value (item));

    if (w != NULL
        && (w->upkeeps == NULL
            || !g_hash_table_contains (w->upkeeps, GINT_TO_POINTER (wave))))
      standin_note ("VIOLATION: MIXED: wave %d is completed, %s had no upkeep",
                    wave, w->machine);
  }
  json_decref (json);
  g_free (text);
}

static json_t *
list_machines (void)
{
  json_t *machines = json_array ();

  for (int i = 0; i < the_worker_count; i++)
    {
      const struct worker *w = &the_workers[i];
      gchar *text = g_strdup_printf (
          "{\"machine\":\"%s\",\"pool\":\"%s\",\"state\":\"%s\",\"zone\":"
          "\"%s\",\"labels\":[%s],\"capacity\":{\"cpu\":%" G_GINT64_FORMAT
          ",\"memMb\":%" G_GINT64_FORMAT ",\"gpu\":0},\"id\":\"%s\"}",
          w->machine, w->service, w->state, w->zone, w->labels, w->cpu,
          w->memory_mb, w->moving ? "" : w->id);

      json_array_append_new (machines, json_loads (text, 0, NULL));
      g_free (text);
    }
  return json_pack ("{s:o,s:n}", "machines", machines, "nextToken");
}

/* Check the rule ONE for an order to W.  */
static void
check_order (struct worker *w, const char *holder, int64_t fence)
{
  int64_t now = standin_now_ms ();

  if (fence < w->order_fence)
    standin_note ("VIOLATION: ONE: %s gets fence %d of %s after %d of %s",
                  w->machine, (int)fence, holder, (int)w->order_fence,
                  w->order_holder);
  if (w->order_holder != NULL && strcmp (holder, w->order_holder) != 0
      && (fence == w->order_fence || now - w->order_at < 3000))
    standin_note ("VIOLATION: ONE: %s is ordered by %s %d ms after %s",
                  w->machine, holder, (int)(now - w->order_at),
                  w->order_holder);
  w->order_fence = MAX (w->order_fence, fence);
  w->order_holder = g_strdup (holder);
  w->order_at = now;
}

static json_t *
command_machine (const char *path, const json_t *root, const char *holder,
                 const char *fence, unsigned *status)
{
  struct worker *w = find_machine (text_of (root, "machine"));
  bool is_move = strcmp (path, "/machine-move") == 0;
  const char *pool = text_of (root, "pool");

  *status = 200;
  if (w == NULL)
    {
      *status = 400;
      return json_object ();
    }
  if (w->upkeeps == NULL)
    w->upkeeps = g_hash_table_new (NULL, NULL);
  if (!is_move
      && g_hash_table_contains (w->upkeeps,
                                GINT_TO_POINTER ((gint)json_integer_value (
                                    json_object_get (root, "wave")))))
    return json_object ();
  if (is_move
      && strcmp (w->next_service != NULL ? w->next_service : w->service, pool)
             == 0)
    return json_object ();
  if (!w->up || w->moving)
    {
      *status = 409;
      return json_pack ("{s:s}", "reason", "busy");
    }
  check_order (w, holder != NULL ? holder : "",
               fence != NULL ? atoll (fence) : 0);
  if (!is_move)
    {
      int64_t wave = json_integer_value (json_object_get (root, "wave"));
      int down = 0;

      for (int i = 0; i < the_worker_count; i++)
        down += the_workers[i].upkeep_wave == wave
                && strcmp (the_workers[i].state, "upkeep") == 0;
      standin_note ("upkeep of %s for wave %d beside %d others", w->machine,
                    (int)wave, down);
      w->upkeep_wave = wave;
      g_hash_table_add (w->upkeeps, GINT_TO_POINTER ((gint)wave));
    }
  standin_note ("%s of %s is told to %s by %s with fence %s", w->machine,
                w->id, is_move ? pool : "have its upkeep",
                holder != NULL ? holder : "", fence != NULL ? fence : "");
  drop_runs (w, "moved");
  w->up = false;
  w->moving = true;
  w->life++;
  w->state = is_move ? "moving" : "upkeep";
  w->new_id = true;
  w->next_service = is_move ? g_strdup (pool) : NULL;
  w->back_at = standin_now_ms () + (is_move ? MOVE_MS : MAINTENANCE_MS);
  set_row ("servers", "", w->id, NULL, ++the_version);
  pthread_cond_broadcast (&the_change);
  return json_object ();
}

/* ---- HTTP ---- */

struct body
{
  GByteArray *bytes;
};

static void
request_ended (void *context, struct MHD_Connection *connection, void **state,
               enum MHD_RequestTerminationCode code)
{
  struct body *body = *state;

  (void)context;
  (void)connection;
  (void)code;
  if (body == NULL)
    return;
  g_byte_array_free (body->bytes, TRUE);
  g_free (body);
  *state = NULL;
}

static const char *
header_value (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
}

/* Return the index of the node that sent the request, by its address, or
   -1.  */
static int
find_sender (struct MHD_Connection *connection)
{
  const struct sockaddr_in *from
      = (const void *)MHD_get_connection_info (
            connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
            ->client_addr;
  const char *host = header_value (connection, "Host");
  unsigned a, b;

  (void)from;
  /* Each node is told an address of its own for the platform.  */
  if (host != NULL && sscanf (host, "127.%u.3.%u", &a, &b) == 2)
    return (int)b - 1;
  return -1;
}

static json_t *
execute_platform_call (struct MHD_Connection *connection, const char *path,
                       const json_t *root, unsigned *status)
{
  *status = 200;
  if (strcmp (path, "/rows-tx") == 0)
    return transact (root, status);
  if (strcmp (path, "/rows-get") == 0)
    return get_rows (connection);
  if (strcmp (path, "/rows-feed") == 0)
    return feed_rows (connection);
  if (strcmp (path, "/rows-parts") == 0)
    return get_parts (connection);
  if (strcmp (path, "/machines") == 0)
    return list_machines ();
  if (g_str_has_prefix (path, "/machine-"))
    return command_machine (
        path, root, header_value (connection, "X-Lease-Holder"),
        header_value (connection, "X-Fencing-Token"), status);
  *status = 404;
  return json_object ();
}

/* An order that is carried out late.  */
struct late_order
{
  struct worker *w;
  char *path;
  char *instance;
  json_t *root;
  int64_t delay_ms;
};

static void *
execute_late (void *data)
{
  struct late_order *order = data;
  unsigned status;

  standin_sleep_ms (order->delay_ms);
  standin_lock ();
  /* What reaches no process waits for the next one.  */
  while (!order->w->up && !the_end)
    {
      standin_unlock ();
      standin_sleep_ms (1);
      standin_lock ();
    }
  if (!the_end)
    {
      if (strcmp (order->path, "/run-start") == 0)
        standin_note ("%s: the late order %s is carried out", order->w->id,
                      order->path);
      json_object_del (order->root, "waitMs");
      json_decref (execute_order (order->w, order->path, order->instance,
                                  order->root, &status));
    }
  standin_unlock ();
  json_decref (order->root);
  g_free (order->path);
  g_free (order->instance);
  g_free (order);
  return NULL;
}

static bool
loses_answer (const struct worker *w, const char *path)
{
  return w->lost_path != NULL
         && (strcmp (path, w->lost_path) == 0 || *w->lost_path == '\0');
}

/* Carry out the order ROOT, which is taken over, late.  Return when W has
   crashed, or its sender has given up long ago.  The caller holds the lock. */
static void
leave_unanswered (struct worker *w, const char *path, const char *instance,
                  json_t *root)
{
  struct late_order *order = g_new0 (struct late_order, 1);
  int64_t until = standin_now_ms () + UNANSWERED_MS;
  int64_t life = w->life;
  pthread_t thread;

  order->w = w;
  order->path = g_strdup (path);
  order->instance = g_strdup (instance);
  order->root = root;
  order->delay_ms
      = strcmp (path, "/run-start") == 0 ? w->lost_delay_ms : LATE_MS;
  if (strcmp (path, "/run-start") == 0)
    {
      w->has_lost = true;
      w->lost_count++;
      standin_note ("%s: %s of %s gets no answer, it is carried out after "
                    "%" G_GINT64_FORMAT " ms",
                    w->id, path, text_of (root, "task"), order->delay_ms);
    }
  pthread_create (&thread, NULL, execute_late, order);
  pthread_detach (thread);
  while (w->life == life && standin_now_ms () < until && !the_end)
    {
      standin_unlock ();
      standin_sleep_ms (10);
      standin_lock ();
    }
}

static enum MHD_Result
handle (void *context, struct MHD_Connection *connection, const char *path,
        const char *method, const char *version, const char *data,
        size_t *data_len, void **state)
{
  struct worker *w = context;
  struct body *body = *state;
  struct MHD_Response *response;
  enum MHD_Result result;
  unsigned status = 200;
  json_t *root;
  json_t *answer;
  char *text;
  int sender;

  (void)method;
  (void)version;
  if (body == NULL)
    {
      body = g_new0 (struct body, 1);
      body->bytes = g_byte_array_new ();
      *state = body;
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      g_byte_array_append (body->bytes, (const guint8 *)data,
                           (guint)*data_len);
      *data_len = 0;
      return MHD_YES;
    }
  sender = find_sender (connection);
  root = json_loadb ((const char *)body->bytes->data, body->bytes->len,
                     JSON_ALLOW_NUL, NULL);
  if (w == NULL)
    standin_sleep_ms (STORE_MS + the_store_delay_ms);
  standin_lock ();
  if (w == NULL)
    while (sender >= 0 && sender < MAX_NODES && the_store_cut[sender]
           && !the_end)
      {
        standin_unlock ();
        standin_sleep_ms (20);
        standin_lock ();
      }
  if (w != NULL && !w->up)
    {
      standin_unlock ();
      json_decref (root);
      return MHD_NO;
    }
  if (w != NULL && loses_answer (w, path))
    {
      leave_unanswered (w, path,
                        header_value (connection, "X-Expect-Instance"), root);
      standin_unlock ();
      return MHD_NO;
    }
  if (w != NULL)
    answer = execute_order (w, path,
                            header_value (connection, "X-Expect-Instance"),
                            root, &status);
  else
    answer = execute_platform_call (connection, path, root, &status);
  standin_unlock ();
  json_decref (root);
  if (status == 0)
    {
      json_decref (answer);
      return MHD_NO;
    }
  text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  if (w != NULL)
    MHD_add_response_header (response, "X-Instance-Id", w->id);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static struct MHD_Daemon *
listen_on (const char *ip, int port, struct worker *w)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  address.sin_addr.s_addr = inet_addr (ip);
  return MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD
                               | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL,
                           0, NULL, NULL, handle, w, MHD_OPTION_SOCK_ADDR,
                           &address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
                           MHD_OPTION_NOTIFY_COMPLETED, request_ended, NULL,
                           MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)262144,
                           MHD_OPTION_END);
}

/* ---- the life of workers ---- */

/* The worker W begins a life.  */
static void
start_worker (struct worker *w)
{
  if (w->new_id)
    {
      g_free (w->id);
      w->id = g_strdup_printf ("i-%02d-%d", w->index, (int)w->life);
    }
  w->new_id = false;
  if (w->next_service != NULL)
    {
      g_free (w->service);
      w->service = w->next_service;
      w->next_service = NULL;
    }
  if (w->next_labels != NULL)
    {
      g_free (w->labels);
      w->labels = w->next_labels;
      w->next_labels = NULL;
    }
  w->life++;
  w->born = standin_unix_ms ();
  w->started_ms = standin_now_ms ();
  w->lease_until = 0;
  w->fence = 0;
  w->seq = 0;
  w->last_end = 0;
  w->running = g_ptr_array_new ();
  w->ended = g_ptr_array_new ();
  w->closed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  w->moving = false;
  w->state = "up";
  w->back_at = 0;
  w->up = true;
  standin_note ("%s of %s starts, labels [%s]", w->id, w->service, w->labels);
  beat (w);
}

int
standin_add_worker (const char *service, const char *labels, int64_t cpu,
                    int64_t memory_mb)
{
  struct worker *w = &the_workers[the_worker_count];

  w->index = the_worker_count;
  w->id = g_strdup_printf ("i-%02d", w->index);
  w->ip = g_strdup_printf ("127.%d.2.%d", the_network, w->index + 1);
  w->service = g_strdup (service);
  w->zone = g_strdup_printf ("guj-west-%c", 'a' + w->index % 3);
  w->labels = g_strdup (labels);
  w->machine = g_strdup_printf ("m-%02d", w->index);
  w->cpu = cpu;
  w->memory_mb = memory_mb;
  w->daemon = listen_on (w->ip, WORKER_PORT, w);
  if (w->daemon == NULL)
    {
      fprintf (stderr, "can't listen on %s\n", w->ip);
      exit (2);
    }
  standin_lock ();
  the_worker_count++;
  start_worker (w);
  standin_unlock ();
  return w->index;
}

void
standin_crash_worker (int index, int64_t down_ms, const char *labels)
{
  struct worker *w = &the_workers[index];
  struct MHD_Daemon *daemon;

  standin_lock ();
  standin_note ("%s crashes, down for %" G_GINT64_FORMAT " ms", w->id,
                down_ms);
  w->up = false;
  w->life++;
  w->state = "down";
  drop_runs (w, "crashed");
  if (labels != NULL)
    w->next_labels = g_strdup (labels);
  w->back_at = standin_now_ms () + down_ms;
  daemon = w->daemon;
  w->daemon = NULL;
  pthread_cond_broadcast (&the_change);
  standin_unlock ();
  MHD_stop_daemon (daemon);
}

void
standin_lose_answers (int index, const char *path, int64_t delay_ms)
{
  standin_lock ();
  the_workers[index].lost_path = g_strdup (path);
  the_workers[index].lost_delay_ms = delay_ms;
  standin_unlock ();
}

int
standin_find_losing (void)
{
  int found = -1;

  standin_lock ();
  for (int i = 0; i < the_worker_count; i++)
    if (the_workers[i].has_lost)
      found = i;
  standin_unlock ();
  return found;
}

int
standin_count_lost (int index)
{
  return the_workers[index].lost_count;
}

void
standin_keep_answers (int index)
{
  standin_lock ();
  g_free (the_workers[index].lost_path);
  the_workers[index].lost_path = NULL;
  standin_unlock ();
}

void
standin_refuse_starts (int index, bool refuses)
{
  standin_lock ();
  the_workers[index].refuses = refuses;
  standin_note ("%s %s", the_workers[index].id,
                refuses ? "is unhealthy, and refuses starts with 503"
                        : "is healthy again");
  standin_unlock ();
}

const char *
standin_worker_id (int index)
{
  return the_workers[index].id;
}

const char *
standin_worker_labels (int index)
{
  return the_workers[index].labels;
}

int
standin_worker_count (void)
{
  return the_worker_count;
}

const GPtrArray *
standin_runs (void)
{
  return the_runs;
}

int
standin_find_running (const char *task)
{
  int found = -1;

  standin_lock ();
  for (int i = 0; i < the_worker_count; i++)
    if (the_workers[i].up && find_run (&the_workers[i], task) != NULL)
      found = i;
  standin_unlock ();
  return found;
}

static void *
run_ticker (void *data)
{
  (void)data;
  while (!the_end)
    {
      int64_t now = standin_now_ms ();

      standin_lock ();
      for (int i = 0; i < the_worker_count; i++)
        {
          struct worker *w = &the_workers[i];

          if (!w->up && w->back_at != 0 && now >= w->back_at)
            {
              if (w->daemon == NULL)
                w->daemon = listen_on (w->ip, WORKER_PORT, w);
              if (w->daemon != NULL)
                start_worker (w);
            }
          tick_worker (w, now);
          /* Three heartbeat intervals of silence.  */
          if (!w->up && !w->moving && now > w->next_beat + 2 * HEARTBEAT_MS)
            {
              const struct row *row = find_row ("servers", "", w->id);

              if (row != NULL && !row->deleted)
                set_row ("servers", "", w->id, NULL, ++the_version);
            }
        }
      standin_unlock ();
      standin_sleep_ms (TICK_MS);
    }
  return NULL;
}

void
standin_write_operator_row (const char *key, const char *json)
{
  standin_lock ();
  set_json_row ("op", key, json);
  standin_note ("op/%s is written: %.600s", key, json);
  standin_unlock ();
}

void
standin_write_server_row (const char *key, const char *json)
{
  standin_lock ();
  set_json_row ("servers", key, json);
  standin_note ("servers/%s is written by another writer: %.200s", key, json);
  standin_unlock ();
}

/* ---- nodes ---- */

static const char *const settings_format
    = "{\"nodeName\":\"edge-%d\",\"role\":\"entry\",\"machineClass\":\"edge\","
      "\"serves\":[\"edge\",\"control\"],\"ip\":\"127.%d.1.%d\","
      "\"zone\":\"guj-west-%c\",\"region\":\"guj-west\","
      "\"zones\":{\"guj-west-a\":\"guj-west\",\"guj-west-b\":\"guj-west\","
      "\"guj-west-c\":\"guj-west\"},"
      "\"listen\":{\"http\":\"127.%d.1.%d:8340\","
      "\"readiness\":\"127.%d.1.%d:8343\",\"admin\":\"127.%d.1.%d:8345\"},"
      "\"portRange\":[7000,7015],\"seeds\":[],\"bootstrap\":true,"
      "\"inTolerance\":false,\"limits\":{\"cpuShare\":0.25,\"cores\":1,"
      "\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},"
      "\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
      "\"heartbeatMs\":1500,\"contracts\":[\"base\",\"drain\",\"config\","
      "\"cost\",\"recover\",\"sched\",\"tenants\",\"quota\",\"platform\","
      "\"advice\",\"upkeep\",\"sharing\"],"
      "\"faultTolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
      "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,"
      "\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":6,"
      "\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,"
      "\"maxSkewMs\":5000,\"revokeStrict\":false,\"revokeMs\":5000,"
      "\"quotaWindowS\":5,\"quotaOverage\":0.1,\"quotaSlack\":20,"
      "\"recoveryS\":12,\"holdMaxMs\":6000,\"stopMs\":900,"
      "\"gangTimeoutMs\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,"
      "\"early_ms\":250,\"finish_s\":14,\"status_s\":120,"
      "\"remoteFactor\":1.5,\"checkpointS\":2,\"restoreMs\":250,"
      "\"noticeMs\":4500,\"moveS\":1.5,\"maintenanceS\":2,"
      "\"fencingEnforced\":false,\"leaseMs\":3000,\"thawMs\":300,"
      "\"paceMs\":100,\"harmMs\":4000},\"orders\":\"rpc\","
      "\"platform\":{\"address\":\"127.%d.3.%d:8344\",\"form\":\"table\","
      "\"writesPerS\":800,\"readsPerS\":2000,\"txMs\":8.0,"
      "\"partitionWritesS\":150,\"rowBytes\":65536,\"across\":false,"
      "\"historyS\":20,\"blobBytes\":8388608,\"blobMs\":25.0,"
      "\"blobMbS\":80.0},\"cloudApi\":{\"address\":\"127.%d.3.%d:8344\","
      "\"ratePerS\":64.0,\"duties\":[],\"dutyPerS\":64.0}}";

void
standin_start_node (int index)
{
  int n = the_network;
  int k = index + 1;
  gchar *settings = g_strdup_printf (settings_format, k, n, k, 'a' + index % 3,
                                     n, k, n, k, n, k, n, k, n, k);
  gchar *file = g_strdup_printf ("%s/edge-%d.json", the_folder, k);
  gchar *log = g_strdup_printf ("%s/edge-%d.log", the_folder, k);
  gchar *variable = g_strconcat ("DOGWOODPULLEY_NODE_FILE=", file, NULL);
  char *arguments[] = { (char *)the_program, "--jobs", NULL };
  char *environment[] = { variable, NULL };
  posix_spawn_file_actions_t actions;

  g_file_set_contents (file, settings, -1, NULL);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  the_signalled[index] = false;
  if (posix_spawn (&the_pids[index], the_program, &actions, NULL, arguments,
                   environment)
      != 0)
    {
      fprintf (stderr, "can't start %s\n", the_program);
      exit (2);
    }
  posix_spawn_file_actions_destroy (&actions);
  standin_note ("edge-%d is started", k);
  g_free (settings);
  g_free (file);
  g_free (log);
  g_free (variable);
}

void
standin_signal_node (int index, int number)
{
  int status;

  if (the_pids[index] == 0)
    return;
  standin_note ("edge-%d gets signal %d", index + 1, number);
  the_signalled[index]
      = the_signalled[index] || number == SIGKILL || number == SIGTERM;
  kill (the_pids[index], number);
  if (number != SIGKILL)
    return;
  waitpid (the_pids[index], &status, 0);
  the_pids[index] = 0;
}

void
standin_kill_nodes (void)
{
  for (int i = 0; i < MAX_NODES; i++)
    if (the_pids[i] != 0)
      kill (the_pids[i], SIGKILL);
}

int
standin_count_crashed_nodes (void)
{
  for (int i = 0; i < the_node_count; i++)
    {
      int status;

      if (the_pids[i] == 0
          || waitpid (the_pids[i], &status, WNOHANG) != the_pids[i])
        continue;
      standin_note ("edge-%d has ended with wait status %d", i + 1, status);
      the_pids[i] = 0;
      the_crashed_nodes += !the_signalled[i];
    }
  return the_crashed_nodes;
}

void
standin_cut_store (int index, bool cut)
{
  standin_note ("the store %s edge-%d",
                cut ? "does not answer" : "answers again", index + 1);
  the_store_cut[index] = cut;
}

void
standin_slow_store (int64_t ms)
{
  standin_note ("answers of the store take %" G_GINT64_FORMAT " ms more", ms);
  the_store_delay_ms = ms;
}

/* ---- clients ---- */

static unsigned
call_port (int index, int port, const char *method, const char *path,
           const char *key, const char *body, int64_t timeout_ms,
           char **answer)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  gchar *ip = g_strdup_printf ("127.%d.1.%d", the_network, index + 1);
  int64_t until = standin_now_ms () + timeout_ms;
  GString *text = g_string_new (NULL);
  GByteArray *received = g_byte_array_new ();
  unsigned status = 0;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool open;

  address.sin_addr.s_addr = inet_addr (ip);
  g_string_printf (text,
                   "%s %s HTTP/1.1\r\nHost: pule25.example\r\n"
                   "X-Deadline-Ms: %" G_GINT64_FORMAT "\r\n"
                   "Connection: close\r\n",
                   method, path, timeout_ms);
  if (key != NULL)
    g_string_append_printf (text, "X-Api-Key: %s\r\n", key);
  if (body != NULL)
    g_string_append_printf (text,
                            "Content-Type: application/json\r\n"
                            "Content-Length: %zu\r\n",
                            strlen (body));
  g_string_append (text, "\r\n");
  if (body != NULL)
    g_string_append (text, body);
  open
      = connect (fd, (struct sockaddr *)&address, sizeof address) == 0
        && send (fd, text->str, text->len, MSG_NOSIGNAL) == (ssize_t)text->len;
  while (open)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      guint8 part[4096];
      int64_t left = until - standin_now_ms ();
      ssize_t count;

      if (left <= 0 || poll (&p, 1, (int)left) <= 0)
        break;
      count = recv (fd, part, sizeof part, 0);
      if (count > 0)
        g_byte_array_append (received, part, (guint)count);
      else
        open = false;
    }
  close (fd);
  g_byte_array_append (received, (const guint8 *)"", 1);
  if (!open && received->len > 13)
    sscanf ((const char *)received->data, "HTTP/1.1 %u", &status);
  if (answer != NULL)
    {
      const char *end = strstr ((const char *)received->data, "\r\n\r\n");

      *answer = g_strdup (status != 0 && end != NULL ? end + 4 : "");
    }
  g_byte_array_free (received, TRUE);
  g_string_free (text, TRUE);
  g_free (ip);
  return status;
}

unsigned
standin_call (int index, const char *method, const char *path, const char *key,
              const char *body, int64_t timeout_ms, char **answer)
{
  char *received = NULL;
  unsigned status;

  standin_note ("client: %s %s to edge-%d %.300s", method, path, index + 1,
                body != NULL ? body : "");
  status = call_port (index, CLIENT_PORT, method, path, key, body, timeout_ms,
                      &received);
  standin_note ("client: edge-%d answers %s %s with %u %.200s", index + 1,
                method, path, status, received);
  if (answer != NULL)
    *answer = received;
  else
    g_free (received);
  return status;
}

bool
standin_await_ready (int64_t ms)
{
  int64_t until = standin_now_ms () + ms;

  for (int i = 0; i < the_node_count; i++)
    while (the_pids[i] != 0
           && call_port (i, READINESS_PORT, "GET", "/ready", NULL, NULL, 1000,
                         NULL)
                  != 200)
      {
        if (standin_now_ms () >= until)
          return false;
        standin_sleep_ms (50);
      }
  return true;
}

/* ---- begin and end ---- */

/* Return whether no other stand-in uses NETWORK.  The socket stays open.  */
static bool
take_network (int network)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (PLATFORM_PORT) };
  gchar *ip = g_strdup_printf ("127.%d.4.1", network);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool taken;

  address.sin_addr.s_addr = inet_addr (ip);
  taken = bind (fd, (struct sockaddr *)&address, sizeof address) == 0
          && listen (fd, 1) == 0;
  if (!taken)
    close (fd);
  g_free (ip);
  return taken;
}

void
standin_begin (const char *program, const char *folder, const char *record,
               int node_count)
{
  the_start_ms = standin_now_ms ();
  the_program = program;
  the_folder = g_strdup (folder);
  the_record = fopen (record, "w");
  the_node_count = node_count;
  the_rows = g_ptr_array_new ();
  the_runs = g_ptr_array_new ();
  signal (SIGPIPE, SIG_IGN);
  if (access (program, X_OK) != 0 || the_record == NULL)
    {
      fprintf (stderr, "%s or %s is missing\n", program, record);
      exit (2);
    }
  /* Each node has an address of its own for the platform, so the stand-in
     listens on all of them.  */
  for (int i = 0; i < 100 && the_platform == NULL; i++)
    {
      gchar *ip;

      the_network = 100 + ((int)getpid () + i) % 100;
      if (!take_network (the_network))
        continue;
      ip = g_strdup_printf ("127.%d.3.1", the_network);
      the_platform = listen_on (ip, PLATFORM_PORT, NULL);
      g_free (ip);
    }
  if (the_platform == NULL)
    exit (2);
  for (int i = 1; i < node_count; i++)
    {
      gchar *ip = g_strdup_printf ("127.%d.3.%d", the_network, i + 1);

      if (listen_on (ip, PLATFORM_PORT, NULL) == NULL)
        exit (2);
      g_free (ip);
    }
  pthread_create (&the_ticker, NULL, run_ticker, NULL);
}

void
standin_end (void)
{
  for (int i = 0; i < MAX_NODES; i++)
    if (the_pids[i] != 0)
      {
        kill (the_pids[i], SIGCONT);
        standin_signal_node (i, SIGKILL);
      }
  the_end = true;
  pthread_join (the_ticker, NULL);
  fclose (the_record);
  the_record = NULL;
}
