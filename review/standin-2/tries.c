/* Tries that found no fault: a mix of jobs of all kinds, and orders to
   machines, under random faults.  Not part of a case.  */

#include "common.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

struct mix_job
{
  gchar *id;
  int kind;
  bool accepted;
  bool cancelled;
  int tasks; /* of an occurrence */
  int times;
  int64_t first_ms;
  int64_t interval_ms;
};

static int
check_mix (GPtrArray *jobs)
{
  int violations = 0;
  const GPtrArray *runs;

  for (guint i = 0; i < jobs->len; i++)
    {
      struct mix_job *job = g_ptr_array_index (jobs, i);
      unsigned status;
      char *state;

      if (!job->accepted)
        continue;
      state = query (0, job->id, &status);
      if (!job->cancelled && job->kind != 4
          && strcmp (state, "completed") != 0)
        {
          violations++;
          standin_note ("VIOLATION: job %s of kind %d is %u %s", job->id,
                        job->kind, status, state);
        }
      g_free (state);
    }
  standin_lock ();
  runs = standin_runs ();
  for (guint i = 0; i < runs->len; i++)
    {
      const struct run *a = g_ptr_array_index (runs, i);

      for (guint j = i + 1; j < runs->len; j++)
        {
          const struct run *b = g_ptr_array_index (runs, j);

          if (strcmp (a->task, b->task) != 0)
            continue;
          if (a->ended_ms == 0 || b->begun_ms < a->ended_ms)
            {
              violations++;
              standin_note ("VIOLATION: two runs of %s at once", a->task);
            }
          else if (a->how != NULL && strcmp (a->how, "done") == 0)
            standin_note ("SEEN: %s is started after it was done", a->task);
        }
      for (guint j = 0; a->gang > 0 && j < runs->len; j++)
        {
          const struct run *b = g_ptr_array_index (runs, j);
          size_t len = (size_t)(strrchr (a->task, '.') - a->task) + 1;

          if (a->number == b->number && strncmp (a->task, b->task, len) == 0
              && a < b && a->saved_ms != b->saved_ms)
            {
              violations++;
              standin_note ("VIOLATION: %s and %s of one run begin with %d "
                            "and %d",
                            a->task, b->task, (int)a->saved_ms,
                            (int)b->saved_ms);
            }
        }
    }
  for (guint i = 0; i < jobs->len; i++)
    {
      struct mix_job *job = g_ptr_array_index (jobs, i);

      for (guint j = 0; job->times > 0 && j < runs->len; j++)
        {
          const struct run *a = g_ptr_array_index (runs, j);

          if (strncmp (a->task, job->id, 16) == 0
              && standin_unix_ms () - standin_now_ms () + a->begun_ms
                     < job->first_ms + atoi (a->task + 17) * job->interval_ms
                           - 250)
            {
              violations++;
              standin_note ("VIOLATION: %s begins early", a->task);
            }
        }
    }
  standin_unlock ();
  return violations;
}

int
try_mix (void)
{
  GRand *rand = g_rand_new_with_seed (
      (guint32)atoi (getenv ("SEED") != NULL ? getenv ("SEED") : "1"));
  GPtrArray *jobs = g_ptr_array_new ();
  int64_t until;
  int64_t next_fault = 0;
  int64_t restart_at[3] = { 0 };
  int64_t keep_at = 0;
  int64_t thaw_at[3] = { 0 };
  int64_t heal_at[3] = { 0 };
  int lost = -1;
  int violations;
  int count = 0;

  if (!start_all (8, 0, "\"a\",\"r1-1\"", 0))
    return give_up ("the entry hosts are not ready");
  standin_add_worker ("casting-desk", "\"b\",\"r1-2\"", 16000, 65536);
  standin_add_worker ("casting-desk", "\"b\",\"r1-3\"", 16000, 65536);
  until = standin_now_ms () + 55000;
  while (standin_now_ms () < until)
    {
      int64_t now = standin_now_ms ();
      struct mix_job *job = g_new0 (struct mix_job, 1);
      gchar *body = NULL;
      gchar *path;
      int work = g_rand_int_range (rand, 200, 7000);
      int width = g_rand_int_range (rand, 2, 6);

      job->id = g_strdup_printf ("%016x", 0x1000 + count++);
      job->kind = g_rand_int_range (rand, 0, 6);
      switch (job->kind)
        {
        case 0:
          body = g_strdup_printf (
              "{\"spec\":\"work=%d cpu=2000 gang=%d saves\",\"steps\":[{"
              "\"count\":%d,\"cpu\":2000,\"memMb\":256,\"estimateMs\":"
              "%d,\"gang\":true,\"checkpointing\":true}]}",
              work, width, width, work);
          break;
        case 1:
          job->times = 5;
          job->first_ms = standin_unix_ms () + 500;
          job->interval_ms = g_rand_int_range (rand, 200, 2000);
          body = g_strdup_printf (
              "{\"spec\":\"work=%d "
              "cpu=500\",\"times\":5,\"firstMs\":%" G_GINT64_FORMAT
              ",\"intervalMs\":%d,\"steps\":[{\"count\":2,"
              "\"cpu\":500,\"memMb\":256,\"estimateMs\":%d},{\"count\":1,"
              "\"cpu\":500,\"memMb\":256,\"estimateMs\":%d,\"after\":[0]}]"
              "}",
              work / 3, job->first_ms, (int)job->interval_ms, work / 3,
              work / 3);
          break;
        case 2:
          body = g_strdup_printf (
              "{\"spec\":\"work=%d cpu=1000\",\"steps\":[{\"count\":%d,"
              "\"cpu\":1000,\"memMb\":256,\"estimateMs\":%d,\"requires\":"
              "\"b\",\"antiAffinity\":1}]}",
              work, 2, work);
          break;
        case 3:
          body = g_strdup_printf (
              "{\"spec\":\"work=%d cpu=1000 saves\",\"steps\":[{\"count\":"
              "%d,\"cpu\":1000,\"memMb\":256,\"estimateMs\":%d,"
              "\"checkpointing\":true},{\"count\":%d,\"cpu\":1000,"
              "\"memMb\":256,\"estimateMs\":%d,\"after\":[0]}]}",
              work, width, work, width, work);
          break;
        case 4:
          body = g_strdup_printf (
              "{\"spec\":\"work=-1 cpu=500\",\"steps\":[{\"count\":%d,"
              "\"cpu\":500,\"memMb\":256,\"estimateMs\":500,"
              "\"longRunning\":true,\"antiAffinity\":1}]}",
              width);
          break;
        default:
          body = g_strdup_printf (
              "{\"spec\":\"work=%d cpu=4000 gang=2\",\"steps\":[{\"count\":"
              "2,\"cpu\":4000,\"memMb\":256,\"estimateMs\":%d,\"gang\":"
              "true,\"colocate\":true}]}",
              work / 2, work / 2);
          break;
        }
      job->accepted = submit (g_rand_int_range (rand, 0, 3), job->id, body);
      g_ptr_array_add (jobs, job);
      g_free (body);
      if (g_rand_int_range (rand, 0, 4) == 0)
        {
          struct mix_job *victim = g_ptr_array_index (
              jobs, g_rand_int_range (rand, 0, (gint32)jobs->len));

          path = g_strconcat ("/q/", victim->id, NULL);
          victim->cancelled = true;
          standin_call (g_rand_int_range (rand, 0, 3), "DELETE", path,
                        CASE_KEY, NULL, 3000, NULL);
          g_free (path);
        }
      for (int i = 0; i < 3; i++)
        if (restart_at[i] != 0 && now >= restart_at[i])
          {
            restart_at[i] = 0;
            standin_start_node (i);
          }
      for (int i = 0; i < 3; i++)
        {
          if (thaw_at[i] != 0 && now >= thaw_at[i])
            {
              standin_signal_node (i, SIGCONT);
              thaw_at[i] = 0;
            }
          if (heal_at[i] != 0 && now >= heal_at[i])
            {
              standin_cut_store (i, false);
              heal_at[i] = 0;
            }
        }
      if (keep_at != 0 && now >= keep_at)
        {
          standin_keep_answers (lost);
          keep_at = 0;
        }
      if (has_trouble () && now >= next_fault && now < until - 15000)
        {
          int what = g_rand_int_range (rand, 0, 8);
          int i = g_rand_int_range (rand, 0, 3);
          int w = g_rand_int_range (rand, 0, 10);

          next_fault = now + g_rand_int_range (rand, 300, 2500);
          if (what == 0 && restart_at[0] + restart_at[1] + restart_at[2] == 0)
            {
              standin_signal_node (i, g_rand_boolean (rand) ? 9 : 15);
              restart_at[i] = now + 7500;
            }
          else if (what == 1)
            standin_crash_worker (w, g_rand_int_range (rand, 200, 3000), NULL);
          else if (what == 4 && thaw_at[i] == 0 && restart_at[i] == 0)
            {
              standin_signal_node (i, SIGSTOP);
              thaw_at[i] = now + g_rand_int_range (rand, 500, 4000);
            }
          else if (what == 5 && heal_at[i] == 0)
            {
              standin_cut_store (i, true);
              heal_at[i] = now + g_rand_int_range (rand, 500, 5000);
            }
          else if (what == 6)
            standin_slow_store (g_rand_int_range (rand, 0, 240));
          else if (what == 2 && keep_at == 0)
            {
              lost = w;
              keep_at = now + 2000;
              standin_lose_answers (w, "/run-start",
                                    g_rand_int_range (rand, 2000, 9000));
            }
        }
      standin_sleep_ms (g_rand_int_range (rand, 50, 500));
      standin_count_crashed_nodes ();
    }
  standin_slow_store (0);
  for (int i = 0; i < 3; i++)
    {
      if (thaw_at[i] != 0)
        standin_signal_node (i, SIGCONT);
      if (heal_at[i] != 0)
        standin_cut_store (i, false);
      if (restart_at[i] != 0)
        standin_start_node (i);
    }
  for (guint i = 0; i < jobs->len; i++)
    {
      struct mix_job *job = g_ptr_array_index (jobs, i);
      gchar *path = g_strconcat ("/q/", job->id, NULL);

      if (job->kind == 4 && job->accepted && !job->cancelled)
        standin_call (0, "DELETE", path, CASE_KEY, NULL, 3000, NULL);
      g_free (path);
    }
  standin_sleep_ms (40000);
  violations = check_mix (jobs);
  violations += standin_count_crashed_nodes ();
  return finish (violations > 0, "mix");
}

int
try_planner (void)
{
  GRand *rand = g_rand_new_with_seed (
      (guint32)atoi (getenv ("SEED") != NULL ? getenv ("SEED") : "1"));
  int64_t until;
  int wave = 0;
  int64_t next_wave = 0;

  if (!start_all (6, 6, "\"a\",\"r1-1\"", 0))
    return give_up ("the entry hosts are not ready");
  until = standin_now_ms () + 80000;
  while (standin_now_ms () < until)
    {
      int i = g_rand_int_range (rand, 0, 3);
      gchar *id = g_strdup_printf ("%016x", g_rand_int (rand));
      gchar *body = g_strdup_printf (
          "{\"spec\":\"work=2000 cpu=4000\",\"steps\":[{\"count\":%d,"
          "\"cpu\":4000,\"memMb\":256,\"estimateMs\":2000}]}",
          g_rand_int_range (rand, 1, 40));

      if (standin_now_ms () >= next_wave)
        {
          GString *list = g_string_new (NULL);
          gchar *key = g_strdup_printf ("wave/%d", ++wave);

          for (int k = 0; k < 12; k++)
            if (g_rand_boolean (rand))
              g_string_append_printf (list, "%s\"m-%02d\"",
                                      list->len > 0 ? "," : "", k);
          g_string_prepend (list, "\"machines\":[");
          g_string_append_printf (
              list, "],\"wave\":%d,\"durationS\":15,\"cap\":2}", wave);
          g_string_prepend (list, "{");
          standin_write_operator_row (key, list->str);
          g_string_free (list, TRUE);
          g_free (key);
          next_wave = standin_now_ms () + 12000;
        }
      submit (i, id, body);
      g_free (id);
      g_free (body);
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          standin_signal_node (i, SIGSTOP);
          standin_sleep_ms (g_rand_int_range (rand, 500, 4500));
          standin_signal_node (i, SIGCONT);
          break;
        case 1:
          standin_cut_store (i, true);
          standin_sleep_ms (g_rand_int_range (rand, 500, 4500));
          standin_cut_store (i, false);
          break;
        case 2:
          standin_signal_node (i, g_rand_boolean (rand) ? 9 : 15);
          standin_sleep_ms (7000);
          standin_count_crashed_nodes ();
          standin_start_node (i);
          break;
        default:
          break;
        }
      standin_sleep_ms (g_rand_int_range (rand, 200, 2500));
    }
  return finish (standin_count_crashed_nodes () > 0, "planner");
}
