/* The cases.  */

#include "cases.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Set WORKER to the index of the worker of the newest run of TASK in the
   record, and return its number, or 0 if there is none.  */
static int
find_run (const char *record, const char *task, unsigned *worker)
{
  char *line = NULL;
  size_t size = 0;
  int found = 0;
  FILE *file = fopen (record, "r");

  while (file != NULL && getline (&line, &size, file) > 0)
    {
      char id[64];
      char name[64];
      int run;

      if (sscanf (line, "%*s worker %63[^:]: task %63s run %d starts", id,
                  name, &run)
              != 3
          || strcmp (name, task) != 0 || run <= found)
        continue;
      found = run;
      *worker = (unsigned)atoi (strrchr (id, '-') + 1);
    }
  free (line);
  if (file != NULL)
    fclose (file);
  return found;
}

/* Wait for a run of TASK above RUN.  Return its number, or 0.  */
static int
await_run (const char *record, const char *task, int run, unsigned *worker,
           int64_t timeout_ms)
{
  int64_t end = stage_now_ms () + timeout_ms;
  int found;

  do
    {
      found = find_run (record, task, worker);
      if (found > run)
        return found;
      stage_sleep_ms (20);
    }
  while (stage_now_ms () < end);
  return 0;
}

/* ---- crashes while a task that lasts comes up ---- */

/* The worker of one task crashes three times, each time while that comes up,
   and is back a second later.  */
static int
play_crashes (struct stage *stage, const char *record, bool trouble)
{
  enum
  {
    CRASHES = 3,
    COME_UP_MS = 2000
  };
  const char *path = "/last/00000000000000a1";
  const char *task = "00000000000000a1.0.0.0";
  char state[20] = "";
  unsigned worker = 0;
  int run = 0;

  if (!stage_open (stage, 3, 7)
      || stage_submit (
             stage, path,
             "{\"spec\":\"last 2000\",\"steps\":[{\"count\":3,\"cpu\":1000,"
             "\"memMb\":500,\"longRunning\":true,\"antiAffinity\":1,"
             "\"mayMiss\":1}]}")
             != 200)
    return 2;
  for (unsigned i = 0; i < CRASHES; i++)
    {
      int next = trouble || i == 0
                     ? await_run (record, task, run, &worker, 20000)
                     : run;

      if (next == 0)
        break;
      run = next;
      stage_sleep_ms (COME_UP_MS / 4);
      if (trouble)
        stage_crash_worker (stage, worker);
      stage_sleep_ms (1000);
      if (trouble)
        stage_start_worker (stage, worker);
    }
  for (unsigned i = 0; i < 20; i++)
    {
      stage_sleep_ms (500);
      if (!stage_get_state (stage, path, state, sizeof state))
        return 2;
      if (strcmp (state, "failed") == 0)
        return 1;
    }
  return strcmp (state, "running") == 0 ? 0 : 2;
}

/* ---- a gang that has checkpoints ---- */

/* Return how many runs of TASK after run FIRST ended alone, as the record
   says.  */
static int
count_alone (const char *record, const char *job, int first)
{
  char *line = NULL;
  size_t size = 0;
  int count = 0;
  FILE *file = fopen (record, "r");

  while (file != NULL && getline (&line, &size, file) > 0)
    {
      char name[64];
      char how[20];
      int run;

      count += sscanf (line,
                       "%*s worker %*[^:]: task %63s run %d ended %19[a-z]",
                       name, &run, how)
                   == 3
               && strncmp (name, job, strlen (job)) == 0 && run > first
               && strcmp (how, "alone") == 0;
    }
  free (line);
  if (file != NULL)
    fclose (file);
  return count;
}

/* One of seven workers crashes while forty gangs of six members run, and is
   back a second later.  */
static int
play_gangs (struct stage *stage, const char *record, bool trouble)
{
  enum
  {
    GANGS = 40
  };
  int settled[GANGS];
  unsigned worker = 0;
  int alone = 0;
  unsigned completed = 0;

  if (!stage_open (stage, 3, 7))
    return 2;
  for (unsigned i = 0; i < GANGS; i++)
    {
      char path[40];

      g_snprintf (path, sizeof path, "/quick/b2%014u", i);
      if (stage_submit (
              stage, path,
              "{\"spec\":\"gang 9000 6\",\"steps\":[{\"count\":6,\"cpu\":400,"
              "\"memMb\":500,\"estimateMs\":9000,\"gang\":true,"
              "\"checkpointing\":true,\"antiAffinity\":1}]}")
          != 200)
        return 2;
      stage_sleep_ms (40);
    }
  stage_sleep_ms (4000);
  if (trouble)
    stage_crash_worker (stage, 0);
  stage_sleep_ms (1000);
  if (trouble)
    stage_start_worker (stage, 0);
  /* What starts from now on has no disruption near.  */
  stage_sleep_ms (4000);
  for (unsigned i = 0; i < GANGS; i++)
    {
      char task[40];

      g_snprintf (task, sizeof task, "b2%014u.0.0.0", i);
      settled[i] = find_run (record, task, &worker);
      stage_note (stage->record, "%s: runs above %d have no disruption near",
                  task, settled[i]);
    }
  stage_sleep_ms (20000);
  for (unsigned i = 0; i < GANGS; i++)
    {
      char path[40];
      char state[20] = "";

      g_snprintf (path, sizeof path, "/quick/b2%014u", i);
      if (!stage_get_state (stage, path, state, sizeof state))
        return 2;
      completed += strcmp (state, "completed") == 0;
      alone += count_alone (record, path + strlen ("/quick/"), settled[i]);
    }
  stage_note (stage->record,
              "%u of %u jobs are completed, and %d runs ended alone with no "
              "disruption near",
              completed, (unsigned)GANGS, alone);
  if (alone > 0)
    return 1;
  return completed == GANGS ? 0 : 2;
}

/* ---- a worker that comes back as another kind ---- */

/* Return how many starts the record has on workers of kind "a".  */
static int
count_on_other_kind (const char *record)
{
  char *line = NULL;
  size_t size = 0;
  int count = 0;
  FILE *file = fopen (record, "r");

  while (file != NULL && getline (&line, &size, file) > 0)
    count += strstr (line, " starts, ") != NULL
             && strstr (line, "kind a") != NULL;
  free (line);
  if (file != NULL)
    fclose (file);
  return count;
}

/* Jobs that require kind "b" come every half second.  Three of four workers of
   that kind crash, one every 4 s, and are back 0.3 s later, under the ids that
   they had, as workers of kind "a".  */
static int
play_kinds (struct stage *stage, const char *record, bool trouble)
{
  enum
  {
    JOBS = 40
  };
  unsigned completed = 0;
  int wrong;

  for (unsigned i = 0; i < 4; i++)
    stage->workers[i].kind = "b";
  if (!stage_open (stage, 3, 7))
    return 2;
  for (unsigned i = 0; i < JOBS; i++)
    {
      char path[40];

      g_snprintf (path, sizeof path, "/quick/c3%014u", i);
      if (stage_submit (
              stage, path,
              "{\"spec\":\"work 40\",\"steps\":[{\"count\":4,\"cpu\":500,"
              "\"memMb\":200,\"estimateMs\":40,\"requires\":\"b\","
              "\"antiAffinity\":1}]}")
          != 200)
        return 2;
      if (!trouble || i % 8 != 7 || i / 8 >= 3)
        {
          stage_sleep_ms (500);
          continue;
        }
      stage_sleep_ms (150);
      stage_crash_worker (stage, i / 8);
      stage_sleep_ms (300);
      stage->workers[i / 8].kind = "a";
      stage_restart_worker (stage, i / 8);
      stage_sleep_ms (400);
    }
  stage_sleep_ms (3000);
  for (unsigned i = 0; i < JOBS; i++)
    {
      char path[40];
      char state[20] = "";

      g_snprintf (path, sizeof path, "/quick/c3%014u", i);
      if (!stage_get_state (stage, path, state, sizeof state))
        return 2;
      completed += strcmp (state, "completed") == 0;
    }
  wrong = count_on_other_kind (record);
  stage_note (stage->record,
              "%u of %u jobs are completed; %d starts of tasks that require b "
              "came to workers of kind a",
              completed, (unsigned)JOBS, wrong);
  return wrong > 0 ? 1 : completed == JOBS ? 0 : 2;
}

/* ---- a worker that falls silent, and then the owner's end ---- */

/* Return how many tasks of JOB run, as the record says.  */
static int
count_running (const char *record, const char *job)
{
  char *line = NULL;
  size_t size = 0;
  int count = 0;
  FILE *file = fopen (record, "r");

  while (file != NULL && getline (&line, &size, file) > 0)
    if (strstr (line, job) != NULL && strstr (line, ": task ") != NULL)
      count += strstr (line, " starts, ") != NULL ? 1
               : strstr (line, " ended ") != NULL ? -1
                                                  : 0;
  free (line);
  if (file != NULL)
    fclose (file);
  return count;
}

/* An idle worker falls silent for good.  Then a job comes that is the last of
   the traffic, and KILLS times, 8 s apart, the entry host that owns the pool
   is killed.  */
static int
play_silence (struct stage *stage, const char *record, bool trouble)
{
  enum
  {
    KILLS = 1,
    FINISH_MS = 14000
  };
  const char *path = "/quick/00000000000000d4";
  const char *job = "00000000000000d4";
  unsigned kills = 0;
  int64_t begun;
  int64_t idle_since = 0;

  if (!stage_open (stage, 3, 7))
    return 2;
  stage_sleep_ms (3000);
  if (trouble)
    stage_silence_worker (stage, 0);
  if (stage_submit (stage, path,
                    "{\"spec\":\"work 1000\",\"steps\":[{\"count\":7,"
                    "\"cpu\":1000,\"memMb\":500,\"estimateMs\":1000,"
                    "\"antiAffinity\":1}]}")
      != 200)
    return 2;
  begun = stage_now_ms ();
  while (stage_now_ms () < begun + FINISH_MS + 10000)
    {
      char state[20] = "";
      int64_t now = stage_now_ms ();

      if (trouble && kills < KILLS && now > begun + 8000 * (kills + 1))
        {
          int owner = stage_find_owner (stage);

          if (owner < 0)
            return 2;
          kills++;
          stage_signal_host (stage, (unsigned)owner, SIGKILL);
          stage_sleep_ms (500);
          stage_start_host (stage, (unsigned)owner);
        }
      if (!stage_get_state (stage, path, state, sizeof state))
        return 2;
      if (strcmp (state, "completed") == 0)
        return 0;
      if (count_running (record, job) > 0 || now < begun + FINISH_MS)
        idle_since = 0;
      else if (idle_since == 0)
        idle_since = now;
      else if (now - idle_since > 3000)
        {
          stage_note (stage->record,
                      "%d s after the end of the traffic the job is %s, and "
                      "nothing of it has run for 3 s",
                      (int)((now - begun) / 1000), state);
          return 1;
        }
      stage_sleep_ms (250);
    }
  return 0;
}

/* ---- a late start after a restart that nobody has seen ---- */

/* Return the index of the worker that has left a start unanswered, or -1.  */
static int
find_unanswered (const char *record)
{
  char *line = NULL;
  size_t size = 0;
  int index = -1;
  FILE *file = fopen (record, "r");

  while (file != NULL && getline (&line, &size, file) > 0)
    {
      char id[64];

      if (strstr (line, "gets no answer") != NULL
          && sscanf (line, "%*s worker %63[^:]:", id) == 1)
        index = atoi (strrchr (id, '-') + 1);
    }
  free (line);
  if (file != NULL)
    fclose (file);
  return index;
}

/* Return the largest number of runs of TASK at the same time, as the record
   says.  */
static int
count_at_once (const char *record, const char *task)
{
  char *line = NULL;
  size_t size = 0;
  int count = 0;
  int most = 0;
  FILE *file = fopen (record, "r");

  while (file != NULL && getline (&line, &size, file) > 0)
    {
      char name[64];

      if (sscanf (line, "%*s worker %*[^:]: task %63s run", name) != 1
          || strcmp (name, task) != 0)
        continue;
      count += strstr (line, " starts, ") != NULL ? 1
               : strstr (line, " ended ") != NULL ? -1
                                                  : 0;
      most = MAX (most, count);
    }
  free (line);
  if (file != NULL)
    fclose (file);
  return most;
}

/* A start gets no answer, and is carried out 11 s later.  Its worker, which
   has been up for 15 s, crashes at once, and is back 7.6 s later under its id,
   but cut off from the entry hosts for 9.5 s.  */
static int
play_unseen (struct stage *stage, const char *record, bool trouble)
{
  const char *path = "/quick/00000000000000e5";
  const char *task = "00000000000000e5.0.0.0";
  char state[20] = "";
  char cut[20];
  int64_t begun;
  int worker = -1;
  int most;

  if (!stage_open (stage, 3, 7))
    return 2;
  stage_sleep_ms (15000);
  if (trouble)
    stage_set_control (stage, "late", "11000");
  if (stage_submit (stage, path,
                    "{\"spec\":\"work 18000\",\"steps\":[{\"count\":1,"
                    "\"cpu\":1000,\"memMb\":500,\"estimateMs\":18000}]}")
      != 200)
    return 2;
  begun = stage_now_ms ();
  while (trouble && worker < 0 && stage_now_ms () < begun + 5000)
    {
      stage_sleep_ms (20);
      worker = find_unanswered (record);
    }
  if (trouble && worker < 0)
    return 2;
  if (trouble)
    {
      stage_crash_worker (stage, (unsigned)worker);
      g_snprintf (cut, sizeof cut, "cut-%d", worker);
      stage_sleep_ms (begun + 7600 - stage_now_ms ());
      stage_set_control (stage, cut, "");
      stage_restart_worker (stage, (unsigned)worker);
      stage_sleep_ms (9500);
      stage_clear_control (stage, cut);
    }
  for (unsigned i = 0; i < 120 && strcmp (state, "completed") != 0; i++)
    {
      stage_sleep_ms (500);
      if (!stage_get_state (stage, path, state, sizeof state))
        return 2;
    }
  most = count_at_once (record, task);
  stage_note (stage->record, "the job is %s; runs of the task at once: %d",
              state, most);
  return most > 1 ? 1 : strcmp (state, "completed") == 0 ? 0 : 2;
}

int
stage_play_case (struct stage *stage, const char *name, const char *record,
                 bool trouble)
{
  if (strcmp (name, "unseen") == 0)
    return play_unseen (stage, record, trouble);
  if (strcmp (name, "silence") == 0)
    return play_silence (stage, record, trouble);
  if (strcmp (name, "kinds") == 0)
    return play_kinds (stage, record, trouble);
  if (strcmp (name, "gangs") == 0)
    return play_gangs (stage, record, trouble);
  if (strcmp (name, "crashes") == 0)
    return play_crashes (stage, record, trouble);
  return 2;
}
