/* The cases of REPORT-2.md: cases NAME PROGRAM FOLDER RECORD.  FOLDER gets the
   settings and logs of the entry hosts, RECORD what was sent, answered and
   run.  The variable TROUBLE=0 leaves the disruption out.  Exits with 1 if the
   rule was broken, 0 if it held, and 2 if the case couldn't run.  */

#include "common.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOB_ID "5c0e7a21d94b36f8"
#define LABELS "\"a\",\"r1-1\""

/* Ask for job ID, at one node after the other, until it is shown in a final
   state, or for MS.  Return that state, to be freed, or NULL.  */
static char *
await_end (const char *id, int64_t ms)
{
  int64_t until = standin_now_ms () + ms;

  for (int i = 0; standin_now_ms () < until; i++)
    {
      unsigned status;
      char *state;

      standin_sleep_ms (1000);
      state = query (i % CASE_NODES, id, &status);
      if (strcmp (state, "completed") == 0 || strcmp (state, "failed") == 0
          || strcmp (state, "cancelled") == 0)
        return state;
      g_free (state);
      if (status == 410)
        return g_strdup ("410");
    }
  return NULL;
}

/* ---- a worker that starts again with another label ---- */

static int
run_labels (void)
{
  const char *body
      = "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"memMb\":256,\"estimateMs\":300,\"requires\":\"b\"}]}";
  char *state;
  bool done;

  if (!start_all (7, 0, LABELS, 0))
    return give_up ("the entry hosts are not ready");
  if (has_trouble ())
    standin_crash_worker (0, 1000, "\"b\",\"r1-1\"");
  else
    standin_add_worker ("casting-desk", "\"b\",\"r1-1\"", 16000, 65536);
  standin_sleep_ms (9000);
  if (!submit (0, JOB_ID, body))
    return give_up ("the job was not accepted");
  state = await_end (JOB_ID, 40000);
  done = g_strcmp0 (state, "completed") == 0;
  g_free (state);
  return finish (!done, "a job for which an idle worker has the label is done "
                        "within 40 s");
}

/* ---- crashes of the workers of a task ---- */

/* Return whether a run has ended as failed.  */
static bool
has_failed_run (void)
{
  bool failed = false;

  standin_lock ();
  for (guint i = 0; i < standin_runs ()->len; i++)
    {
      const struct run *run = g_ptr_array_index (standin_runs (), i);

      failed = failed || g_strcmp0 (run->how, "failed") == 0;
    }
  standin_unlock ();
  return failed;
}

/* Wait until TASK runs, and return the index of its worker, or -1.  */
static int
await_run (const char *task)
{
  for (int i = 0; i < 200; i++)
    {
      int worker = standin_find_running (task);

      if (worker >= 0)
        return worker;
      standin_sleep_ms (50);
    }
  return -1;
}

static int
run_crashes (void)
{
  enum
  {
    CRASHES = 4,
    RUN_MS = 3000, /* of each run, before its worker crashes */
    DOWN_MS = 1000
  };
  const char *task = JOB_ID ".0.0.0";
  const char *body
      = "{\"spec\":\"work=14000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"memMb\":256,\"estimateMs\":14000}]}";
  char *state;
  bool broken;

  if (!start_all (7, 0, LABELS, 0))
    return give_up ("the entry hosts are not ready");
  if (!submit (0, JOB_ID, body))
    return give_up ("the job was not accepted");
  for (int i = 0; has_trouble () && i < CRASHES; i++)
    {
      int worker = await_run (task);

      if (worker < 0)
        return give_up ("the task isn't started again");
      standin_sleep_ms (RUN_MS);
      if (standin_find_running (task) == worker)
        standin_crash_worker (worker, DOWN_MS, NULL);
    }
  state = await_end (JOB_ID, 50000);
  if (state == NULL)
    return give_up ("the job has not ended");
  broken = strcmp (state, "completed") != 0 && !has_failed_run ();
  g_free (state);
  return finish (broken, "a job of which no run has ended as failed isn't "
                         "shown as failed");
}

/* ---- a step that lists its predecessors more than once ---- */

static int
run_after (void)
{
  enum
  {
    STEPS = 3,
    REPEATS = 65 /* of the number of the step before */
  };
  GString *body = g_string_new ("{\"spec\":\"work=2000\",\"steps\":[{"
                                "\"count\":1,\"cpu\":500,\"memMb\":256,"
                                "\"estimateMs\":2000}");
  int64_t ended_ms = 0;
  int64_t begun_ms = 0;
  bool ran[STEPS] = { false };
  char *state;
  bool broken;

  for (int step = 1; step < STEPS; step++)
    {
      int repeats = has_trouble () && step == 1 ? REPEATS : 1;

      g_string_append (body, ",{\"count\":1,\"cpu\":500,\"memMb\":256,"
                             "\"estimateMs\":2000,\"after\":[");
      for (int i = 0; i < repeats; i++)
        g_string_append_printf (body, "%s%d", i > 0 ? "," : "", step - 1);
      g_string_append (body, "]}");
    }
  g_string_append (body, "]}");
  if (!start_all (3, 0, LABELS, 0))
    return give_up ("the entry hosts are not ready");
  if (!submit (0, JOB_ID, body->str))
    return finish (false, "the job was not accepted");
  state = await_end (JOB_ID, 30000);
  standin_sleep_ms (1000);
  standin_lock ();
  for (guint i = 0; i < standin_runs ()->len; i++)
    {
      const struct run *run = g_ptr_array_index (standin_runs (), i);
      int step = atoi (run->task + strlen (JOB_ID ".0."));

      ran[step] = ran[step] || g_strcmp0 (run->how, "done") == 0;
      if (step == 0)
        ended_ms = run->ended_ms;
      if (step == 1)
        begun_ms = run->begun_ms;
    }
  standin_unlock ();
  standin_note ("shown as %s; done: step 0 %s, step 1 %s, step 2 %s; step 1 "
                "began %d ms after the end of step 0",
                state != NULL ? state : "not ended", ran[0] ? "yes" : "no",
                ran[1] ? "yes" : "no", ran[2] ? "yes" : "no",
                (int)(begun_ms - ended_ms));
  broken = g_strcmp0 (state, "completed") == 0
           && (!ran[0] || !ran[1] || !ran[2] || begun_ms < ended_ms);
  g_free (state);
  g_string_free (body, TRUE);
  return finish (broken, "a job isn't shown as completed before all of its "
                         "tasks have ended as done");
}

/* ---- a spec with the character U+0000 ---- */

static int
run_spec (void)
{
  const char *sent = has_trouble () ? "booking 17\\u0000invoice 4, work=300"
                                    : "booking 17, invoice 4, work=300";
  gchar *body = g_strdup_printf (
      "{\"spec\":\"%s\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":256,"
      "\"estimateMs\":300}]}",
      sent);
  json_t *root = json_loads (body, JSON_ALLOW_NUL, NULL);
  const json_t *spec = json_object_get (root, "spec");
  const struct run *first = NULL;

  if (!start_all (3, 0, LABELS, 0))
    return give_up ("the entry hosts are not ready");
  if (!submit (0, JOB_ID, body))
    return finish (false, "the job was not accepted");
  for (int i = 0; i < 200 && first == NULL; i++)
    {
      standin_sleep_ms (50);
      standin_lock ();
      if (standin_runs ()->len > 0)
        first = g_ptr_array_index (standin_runs (), 0);
      standin_unlock ();
    }
  if (first == NULL)
    return give_up ("nothing was started");
  standin_note ("sent a spec of %zu bytes, the worker was told one of %zu",
                json_string_length (spec), first->spec_len);
  return finish (
      first->spec_len != json_string_length (spec)
          || memcmp (first->spec, json_string_value (spec), first->spec_len)
                 != 0,
      "the worker is told the spec that the client sent");
}

/* ---- a tenant whose tasks need more than a quarter of its cap ---- */

/* Return the longest time in which no task ran, from FROM_MS to TO_MS.  */
static int64_t
longest_pause (int64_t from_ms, int64_t to_ms)
{
  int64_t longest = 0;
  int64_t idle_since = from_ms;

  standin_lock ();
  /* The runs are in the order of their beginnings.  */
  for (guint i = 0; i < standin_runs ()->len; i++)
    {
      const struct run *run = g_ptr_array_index (standin_runs (), i);

      longest = MAX (longest, run->begun_ms - idle_since);
      idle_since
          = MAX (idle_since, run->ended_ms != 0 ? run->ended_ms : to_ms);
    }
  standin_unlock ();
  return MAX (longest, to_ms - idle_since);
}

static int
run_share (void)
{
  enum
  {
    WORKERS = 4, /* of each service */
    JOBS = 4 * CASE_QUEUES,
    CAP_CPU = 8000,
    FORMER_CAP_CPU = 80000,
    WAIT_MS = 40000
  };
  const char *body
      = "{\"spec\":\"work=1300 cpu=2400\",\"steps\":[{\"count\":1,"
        "\"cpu\":2400,\"memMb\":256,\"estimateMs\":1300}]}";
  int64_t handed_in_ms;
  int64_t pause;
  int done = 0;

  if (!start_four_queues (WORKERS, LABELS, FORMER_CAP_CPU))
    return give_up ("the entry hosts are not ready");
  if (has_trouble ())
    write_four_queues (9, CAP_CPU);
  standin_sleep_ms (6000);
  for (int i = 0; i < JOBS; i++)
    {
      gchar *id = g_strdup_printf ("cccccccccccc%04x", i);
      bool accepted = submit_to (case_prefixes[i % CASE_QUEUES],
                                 i % CASE_NODES, id, body);

      g_free (id);
      if (!accepted)
        return give_up ("a job was not accepted");
    }
  handed_in_ms = standin_now_ms ();
  while (done < JOBS && standin_now_ms () < handed_in_ms + WAIT_MS)
    {
      standin_sleep_ms (1000);
      done = 0;
      standin_lock ();
      for (guint i = 0; i < standin_runs ()->len; i++)
        {
          const struct run *run = g_ptr_array_index (standin_runs (), i);

          done += g_strcmp0 (run->how, "done") == 0;
        }
      standin_unlock ();
    }
  pause = longest_pause (handed_in_ms, standin_now_ms ());
  for (int i = 0; i < JOBS; i++)
    {
      gchar *path = g_strdup_printf ("%scccccccccccc%04x",
                                     case_prefixes[i % CASE_QUEUES], i);

      standin_call (i % CASE_NODES, "GET", path, CASE_KEY, NULL, 3000, NULL);
      g_free (path);
    }
  standin_note ("%d of %d jobs are done; nothing ran for %d ms on end", done,
                JOBS, (int)pause);
  return finish (done < JOBS && pause > 10000,
                 "jobs don't wait for 10 s while nothing runs and the cap "
                 "has room for one");
}

/* ---- the number of pending jobs ---- */

/* Return the lowest number of pending jobs that a node gives, or -1.  */
static int
lowest_pending (void)
{
  int lowest = INT32_MAX;

  for (int i = 0; i < CASE_NODES; i++)
    {
      char *answer;
      unsigned status
          = standin_call (i, "GET", "/q/", CASE_KEY, NULL, 3000, &answer);
      json_t *root = json_loads (answer, 0, NULL);

      lowest = MIN (lowest, (int)json_integer_value (
                                json_object_get (root, "pendingJobs")));
      json_decref (root);
      g_free (answer);
      if (status != 200)
        return -1;
    }
  return lowest;
}

/* Return the number of jobs with a name that begins with PREFIX of which a
   task has been started.  */
static int
count_begun (const char *prefix)
{
  GHashTable *begun
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int count;

  standin_lock ();
  for (guint i = 0; i < standin_runs ()->len; i++)
    {
      const struct run *run = g_ptr_array_index (standin_runs (), i);

      if (g_str_has_prefix (run->task, prefix))
        g_hash_table_add (begun, g_strndup (run->task, strlen (JOB_ID)));
    }
  standin_unlock ();
  count = (int)g_hash_table_size (begun);
  g_hash_table_destroy (begun);
  return count;
}

/* Check the numbers of pending jobs, of which JOBS were accepted long enough
   ago, with names that begin with PREFIX.  */
static int
finish_pending (int jobs, const char *prefix)
{
  int lowest = lowest_pending ();
  int begun = count_begun (prefix);

  if (lowest < 0)
    return give_up ("the number of pending jobs was not answered");
  standin_note ("%d jobs were accepted more than 5 s ago, %d of them have "
                "begun, the lowest pendingJobs is %d",
                jobs, begun, lowest);
  return finish (2 * lowest < jobs - begun,
                 "pendingJobs is half of the jobs that wait, or more");
}

/* Six workers are full, and the seventh refuses starts.  */
static int
run_refused (void)
{
  enum
  {
    WORKERS = 7,
    CORES = 16,
    JOBS = 20
  };
  static const char *const body
      = "{\"spec\":\"work=40000 cpu=1000\",\"steps\":[{\"count\":%d,"
        "\"cpu\":1000,\"memMb\":256,\"estimateMs\":10000}]}";

  if (!start_all (WORKERS, 0, LABELS, 0))
    return give_up ("the entry hosts are not ready");
  if (has_trouble ())
    standin_refuse_starts (0, true);
  for (int i = 0; i < WORKERS - 1 + JOBS; i++)
    {
      bool is_wide = i < WORKERS - 1;
      gchar *id = g_strdup_printf (
          "%s%04x", is_wide ? "aaaaaaaaaaaa" : "bbbbbbbbbbbb", i);
      gchar *text = g_strdup_printf (body, is_wide ? CORES : 1);
      bool accepted = submit (i % CASE_NODES, id, text);

      g_free (id);
      g_free (text);
      if (!accepted)
        return give_up ("a job was not accepted");
    }
  standin_sleep_ms (5200);
  return finish_pending (JOBS, "bbbbbbbbbbbb");
}

/* The queue gets another service while its jobs wait for room in the cap of
   their tenant.  */
static int
run_moved (void)
{
  enum
  {
    JOBS = 20,
    CAP_CPU = 2000
  };
  const char *body
      = "{\"spec\":\"work=60000 cpu=1000\",\"steps\":[{\"count\":1,"
        "\"cpu\":1000,\"memMb\":256,\"estimateMs\":20000}]}";

  if (!start_all (3, 3, LABELS, CAP_CPU))
    return give_up ("the entry hosts are not ready");
  for (int i = 0; i < JOBS; i++)
    {
      gchar *id = g_strdup_printf ("bbbbbbbbbbbb%04x", i);
      bool accepted = submit (i % CASE_NODES, id, body);

      g_free (id);
      if (!accepted)
        return give_up ("a job was not accepted");
    }
  standin_sleep_ms (2000);
  if (has_trouble ())
    write_configuration (9, "front-office", CAP_CPU);
  standin_sleep_ms (6000);
  return finish_pending (JOBS, "bbbbbbbbbbbb");
}

/* ---- a start that all who know of it forget ---- */

/* Return whether two runs of a task were there at the same time.  */
static bool
has_two_runs (void)
{
  const GPtrArray *runs;
  bool found = false;

  standin_lock ();
  runs = standin_runs ();
  for (guint i = 0; i < runs->len; i++)
    for (guint j = i + 1; j < runs->len; j++)
      {
        const struct run *a = g_ptr_array_index (runs, i);
        const struct run *b = g_ptr_array_index (runs, j);

        if (strcmp (a->task, b->task) != 0
            || (a->ended_ms != 0 && b->begun_ms >= a->ended_ms))
          continue;
        found = true;
        standin_note ("two runs of %s at the same time: %d and %d", a->task,
                      (int)a->number, (int)b->number);
      }
  standin_unlock ();
  return found;
}

/* Hand in a job while all workers leave starts unanswered for a moment.
   Return the index of the worker that has got the start of its task, which
   goes on leaving all orders unanswered, or -1.  */
static int
submit_unanswered (const char *body, int workers, int64_t late_ms)
{
  int worker = -1;

  for (int i = 0; i < workers; i++)
    standin_lose_answers (i, "/run-start", late_ms);
  if (!submit (0, JOB_ID, body))
    return -1;
  for (int i = 0; i < 2000 && worker < 0; i++)
    {
      worker = standin_find_losing ();
      g_usleep (500);
    }
  for (int i = 0; i < workers; i++)
    if (i == worker)
      standin_lose_answers (i, "", late_ms);
    else
      standin_keep_answers (i);
  return worker;
}

static int
run_forgotten (void)
{
  enum
  {
    WORKERS = 7,
    POWER_MS = 500,   /* without power */
    SILENT_MS = 5400, /* of the worker; at most 5.5 s */
    CRASH_MS = 7500,
    DOWN_MS = 1000,
    LATE_MS = 8600 /* of the start; 2 to 12 s */
  };
  const char *body
      = "{\"spec\":\"work=12000 cpu=16000\",\"steps\":[{\"count\":1,"
        "\"cpu\":16000,\"memMb\":256,\"estimateMs\":12000}]}";
  int64_t sent_ms;
  int worker = 0;

  if (!start_all (WORKERS, 0, LABELS, 0))
    return give_up ("the entry hosts are not ready");
  /* The clocks of the workers have to be above the longest lease.  */
  standin_sleep_ms (4000);
  if (has_trouble ())
    worker = submit_unanswered (body, WORKERS, LATE_MS);
  else if (!submit (0, JOB_ID, body))
    worker = -1;
  if (worker < 0)
    return give_up ("the job was not started");
  sent_ms = standin_now_ms ();
  if (has_trouble ())
    {
      for (int i = 0; i < CASE_NODES; i++)
        standin_signal_node (i, SIGKILL);
      standin_sleep_ms (POWER_MS);
      for (int i = 0; i < CASE_NODES; i++)
        standin_start_node (i);
      standin_sleep_ms (SILENT_MS - (standin_now_ms () - sent_ms));
      standin_keep_answers (worker);
      standin_sleep_ms (CRASH_MS - (standin_now_ms () - sent_ms));
      standin_crash_worker (worker, DOWN_MS, NULL);
    }
  standin_sleep_ms (20000 - (standin_now_ms () - sent_ms));
  return finish (has_two_runs (), "no two runs of a task at the same time");
}

/* ---- two starts of a task that its worker carries out after a crash ---- */

static int
run_both (void)
{
  enum
  {
    WORKERS = 7,
    CRASH_MS = 1000, /* after the second unanswered start */
    DOWN_MS = 1000,
    FIRST_LATE_MS = 3000,
    SECOND_LATE_MS = 2020
  };
  const char *task = JOB_ID ".0.0.0";
  const char *body
      = "{\"spec\":\"work=1000 cpu=1000 fails\",\"steps\":[{\"count\":1,"
        "\"cpu\":1000,\"memMb\":256,\"estimateMs\":1000}]}";
  int worker = 0;
  int lost = 0;

  if (!start_all (WORKERS, 0, LABELS, 0))
    return give_up ("the entry hosts are not ready");
  standin_sleep_ms (4000);
  if (has_trouble ())
    {
      worker = submit_unanswered (body, WORKERS, FIRST_LATE_MS);
      if (worker >= 0)
        standin_keep_answers (worker);
    }
  else if (!submit (0, JOB_ID, body))
    worker = -1;
  if (worker < 0)
    return give_up ("the job was not started");
  if (has_trouble ())
    {
      if (await_run (task) != worker)
        return give_up ("the start was not sent again");
      standin_lose_answers (worker, "/run-start", SECOND_LATE_MS);
      for (int i = 0; i < 300 && lost < 2; i++)
        {
          standin_sleep_ms (10);
          lost = standin_count_lost (worker);
        }
      standin_keep_answers (worker);
      if (lost < 2)
        return give_up ("no further start was sent");
      standin_sleep_ms (CRASH_MS);
      standin_crash_worker (worker, DOWN_MS, NULL);
    }
  standin_sleep_ms (8000);
  return finish (has_two_runs (), "no two runs of a task at the same time");
}

/* ---- a late start of a task that is done ---- */

/* Return whether a run of a task has begun after one that was done.  */
static bool
has_run_again (void)
{
  const GPtrArray *runs;
  bool found = false;

  standin_lock ();
  runs = standin_runs ();
  for (guint i = 0; i < runs->len; i++)
    for (guint j = 0; j < runs->len; j++)
      {
        const struct run *a = g_ptr_array_index (runs, i);
        const struct run *b = g_ptr_array_index (runs, j);

        if (strcmp (a->task, b->task) != 0 || g_strcmp0 (a->how, "done") != 0
            || b->begun_ms < a->ended_ms)
          continue;
        found = true;
        standin_note ("run %d of %s begins after run %d is done",
                      (int)b->number, a->task, (int)a->number);
      }
  standin_unlock ();
  return found;
}

static int
run_again (void)
{
  enum
  {
    WORKERS = 7,
    CRASH_MS = 2000, /* after the unanswered start */
    DOWN_MS = 1000,
    LATE_MS = 3000
  };
  const char *task = JOB_ID ".0.0.0";
  const char *body
      = "{\"spec\":\"work=1000 cpu=1000\",\"steps\":[{\"count\":1,"
        "\"cpu\":1000,\"memMb\":256,\"estimateMs\":1000}]}";
  int worker = 0;
  int64_t sent_ms;

  if (!start_all (WORKERS, 0, LABELS, 0))
    return give_up ("the entry hosts are not ready");
  standin_sleep_ms (4000);
  if (has_trouble ())
    {
      worker = submit_unanswered (body, WORKERS, LATE_MS);
      if (worker >= 0)
        standin_keep_answers (worker);
    }
  else if (!submit (0, JOB_ID, body))
    worker = -1;
  sent_ms = standin_now_ms ();
  if (worker < 0)
    return give_up ("the job was not started");
  if (has_trouble ())
    {
      if (await_run (task) != worker)
        return give_up ("the start was not sent again");
      standin_sleep_ms (CRASH_MS - (standin_now_ms () - sent_ms));
      standin_crash_worker (worker, DOWN_MS, NULL);
    }
  standin_sleep_ms (12000);
  return finish (has_run_again (), "no start of a task after it is done");
}

static void
end_at_once (int number)
{
  (void)number;
  standin_kill_nodes ();
  _Exit (2);
}

int
main (int count, char **arguments)
{
  static const struct
  {
    const char *name;
    int (*run) (void);
  } cases[] = { { "labels", run_labels }, { "crashes", run_crashes },
                { "share", run_share },   { "after", run_after },
                { "spec", run_spec },     { "refused", run_refused },
                { "moved", run_moved },   { "forgotten", run_forgotten },
                { "both", run_both },     { "again", run_again },
                { "mix", try_mix },       { "planner", try_planner } };

  if (count != 5)
    return 2;
  signal (SIGTERM, end_at_once);
  signal (SIGINT, end_at_once);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (strcmp (cases[i].name, arguments[1]) == 0)
      {
        standin_begin (arguments[2], arguments[3], arguments[4], CASE_NODES);
        return cases[i].run ();
      }
  return 2;
}
