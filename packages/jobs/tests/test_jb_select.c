/* Tests of the shares of organisations in a full pool.

   Expected load: nine organisations together ask for nine tenths of a pool,
   and a tenth one of the same weight sends five times what the pool holds for
   a few seconds.  Baseline in the same run: all jobs by when they are due.  */

#include "dp_test.h"
#include "jb_select.h"
#include "jb_share.h"

#include <glib.h>
#include <stdlib.h>

enum
{
  ORG_COUNT = 10,
  FLOODING_ORG = 9,
  CAPACITY_CPU_MILLI = 100000,
  JOB_CPU_MILLI = 1000, /* while a job runs */
  JOB_DURATION_MS = 1000,
  STEP_MS = 50,
  LOAD_MS = 5000,
  MAX_JOBS = 10000
};

/* A job is due this long after it was submitted.  */
#define JOB_TIME (2500 * JB_MS)

struct job
{
  uint32_t org;
  jb_time due_at;
  int64_t done_ms; /* of JOB_DURATION_MS */
  bool ended;
  bool deferred; /* see jb_select.h */
};

struct simulation
{
  uint32_t count;
  struct job jobs[MAX_JOBS];
};

static void
submit (struct simulation *simulation, uint32_t org, uint32_t count,
        jb_time now)
{
  for (uint32_t i = 0; i < count; i++)
    {
      g_assert (simulation->count < MAX_JOBS);
      simulation->jobs[simulation->count++]
          = (struct job){ .org = org, .due_at = now + JOB_TIME };
    }
}

/* Defer jobs as a pool's owner does.  */
static void
select_jobs (struct simulation *simulation, jb_time now)
{
  struct jb_resources capacity = { .cpu_milli = CAPACITY_CPU_MILLI };
  struct jb_share_org orgs[ORG_COUNT] = { 0 };
  struct jb_select_job *entries = g_new (struct jb_select_job, MAX_JOBS);
  uint32_t *indices = g_new (uint32_t, MAX_JOBS);
  uint32_t count = 0;

  for (uint32_t i = 0; i < ORG_COUNT; i++)
    orgs[i].weight = 1;
  for (uint32_t i = 0; i < simulation->count; i++)
    {
      const struct job *job = &simulation->jobs[i];

      if (!job->ended && job->done_ms > 0)
        orgs[job->org].used.cpu_milli += JOB_CPU_MILLI;
      else if (!job->ended)
        orgs[job->org].wanted.cpu_milli += JOB_CPU_MILLI;
    }
  jb_share_compare (orgs, ORG_COUNT, &capacity);
  for (uint32_t i = 0; i < simulation->count; i++)
    {
      struct job *job = &simulation->jobs[i];

      job->deferred = false;
      if (job->ended || now >= job->due_at)
        continue;
      indices[count] = i;
      entries[count++]
          = (struct jb_select_job){ .due_at = job->due_at,
                                    .remaining_work
                                    = (JOB_DURATION_MS - job->done_ms)
                                      * (int64_t)JOB_CPU_MILLI,
                                    .value = 1,
                                    .over_share = orgs[job->org].over_share };
    }
  jb_select_on_time (entries, count, CAPACITY_CPU_MILLI, now);
  for (uint32_t i = 0; i < count; i++)
    simulation->jobs[indices[i]].deferred = entries[i].deferred;
  g_free (entries);
  g_free (indices);
}

/* Running jobs first, then those that can be on time, then the deferred ones,
   then the late ones; each by when they are due.  */
static int
compare_jobs (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct job *x = *(struct job *const *)a;
  const struct job *y = *(struct job *const *)b;
  jb_time latest = *(const jb_time *)data + JOB_DURATION_MS * JB_MS;
  int class_x = x->done_ms > 0       ? 0
                : x->due_at < latest ? 3
                : x->deferred        ? 2
                                     : 1;
  int class_y = y->done_ms > 0       ? 0
                : y->due_at < latest ? 3
                : y->deferred        ? 2
                                     : 1;

  if (class_x != class_y)
    return class_x - class_y;
  return x->due_at < y->due_at ? -1 : x->due_at > y->due_at;
}

/* Return the part of the jobs of the organisations from FIRST to LAST that end
   on time.  */
static double
run (uint32_t first, uint32_t last, bool shares)
{
  struct simulation *simulation = g_new0 (struct simulation, 1);
  GPtrArray *order = g_ptr_array_new ();
  uint32_t total = 0;
  uint32_t on_time = 0;

  for (jb_time now = 0; now < 2 * LOAD_MS * JB_MS; now += STEP_MS * JB_MS)
    {
      uint32_t slots = CAPACITY_CPU_MILLI / JOB_CPU_MILLI;

      /* Half a job a step is a tenth of the pool.  */
      for (uint32_t org = 0; org < FLOODING_ORG && now < LOAD_MS * JB_MS;
           org++)
        submit (simulation, org, (now / JB_MS / STEP_MS + org) % 2, now);
      if (now < LOAD_MS * JB_MS)
        submit (simulation, FLOODING_ORG, 25, now);
      if (shares)
        select_jobs (simulation, now);
      g_ptr_array_set_size (order, 0);
      for (uint32_t i = 0; i < simulation->count; i++)
        if (!simulation->jobs[i].ended)
          g_ptr_array_add (order, &simulation->jobs[i]);
      g_ptr_array_sort_with_data (order, compare_jobs, &now);
      for (uint32_t i = 0; i < MIN (order->len, slots); i++)
        {
          struct job *job = g_ptr_array_index (order, i);

          job->done_ms += STEP_MS;
          job->ended = job->done_ms >= JOB_DURATION_MS;
          if (job->ended && job->org >= first && job->org <= last
              && now + STEP_MS * JB_MS <= job->due_at)
            on_time++;
        }
    }
  for (uint32_t i = 0; i < simulation->count; i++)
    total
        += simulation->jobs[i].org >= first && simulation->jobs[i].org <= last;
  g_ptr_array_free (order, TRUE);
  g_free (simulation);
  return (double)on_time / (double)total;
}

/* A flood of one organisation makes the jobs of all others late.  */
static void
test_flood (void)
{
  double without = run (0, FLOODING_ORG - 1, false);
  double with = run (0, FLOODING_ORG - 1, true);

  printf ("on time beside the flood: %.2f without shares, %.2f with; of the "
          "flood %.2f, %.2f\n",
          without, with, run (FLOODING_ORG, FLOODING_ORG, false),
          run (FLOODING_ORG, FLOODING_ORG, true));
  CU_ASSERT (without < 0.5);
  CU_ASSERT (with > 0.9);
}

/* A pool that can finish everything on time defers nothing, whoever uses more
   than its share: an idle share goes to those that want it.  */
static void
test_work_conserving (void)
{
  struct jb_select_job jobs[20] = { 0 };

  for (uint32_t i = 0; i < 20; i++)
    {
      jobs[i] = (struct jb_select_job){ .due_at = JOB_TIME,
                                        .remaining_work = 10000000,
                                        .value = 1,
                                        .over_share = true };
    }
  CU_ASSERT_EQUAL (jb_select_on_time (jobs, 20, CAPACITY_CPU_MILLI, 0), 0);
  CU_ASSERT_EQUAL (jb_select_on_time (jobs, 20, CAPACITY_CPU_MILLI / 2, 0), 9);
}

/* Jobs of organisations within their shares are not deferred, nor are those of
   a higher priority before those of a lower one.  */
static void
test_who_is_deferred (void)
{
  struct jb_select_job jobs[3] = { { .priority = 1,
                                     .due_at = JB_SECOND,
                                     .remaining_work = 100000,
                                     .value = 1,
                                     .over_share = true },
                                   { .priority = 0,
                                     .due_at = JB_SECOND,
                                     .remaining_work = 900000,
                                     .value = 1,
                                     .over_share = true },
                                   { .priority = 1,
                                     .due_at = JB_SECOND,
                                     .remaining_work = 900000,
                                     .value = 1 } };

  CU_ASSERT_EQUAL (jb_select_on_time (jobs, 3, 2050, 0), 1);
  CU_ASSERT_TRUE (jobs[0].deferred);
  CU_ASSERT_EQUAL (jb_select_on_time (jobs, 3, 100, 0), 2);
  CU_ASSERT_FALSE (jobs[2].deferred);
}

/* The share is that of the scarcest resource, by weight, among those that use
   or want something; nobody is over it while nobody else is short.  */
static void
test_dominant_shares (void)
{
  struct jb_resources capacity = { 100, 1000, 0 };
  struct jb_share_org orgs[4]
      = { { .weight = 3, .used = { 30, 100, 0 }, .wanted = { 1, 1, 0 } },
          { .weight = 1, .used = { 5, 600, 0 }, .wanted = { 1, 1, 0 } },
          { .weight = 1, .used = { 5, 0, 0 }, .wanted = { 1, 1, 0 } },
          { .weight = 100 } };

  jb_share_compare (orgs, 4, &capacity);
  CU_ASSERT_FALSE (orgs[0].over_share);
  CU_ASSERT_TRUE (orgs[1].over_share);
  CU_ASSERT_FALSE (orgs[2].over_share);
  orgs[0].wanted = (struct jb_resources){ 0 };
  orgs[2].wanted = (struct jb_resources){ 0 };
  jb_share_compare (orgs, 4, &capacity);
  CU_ASSERT_FALSE (orgs[1].over_share);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a flood of one organisation", test_flood },
          { "nothing is deferred without need", test_work_conserving },
          { "who is deferred", test_who_is_deferred },
          { "dominant shares", test_dominant_shares },
          { NULL, NULL } };

  return dp_test_main ("shares of organisations", tests);
}
