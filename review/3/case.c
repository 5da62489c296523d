/* A queue's service changes between the acceptance of a job and the arrival of
   a repeated submission of the same job.  */

#include "stage.h"

#include <stdlib.h>
#include <string.h>

#define HOST "queues.example"
#define PATH "/book/5c0e7a21d94b36f8"
#define TASK "5c0e7a21d94b36f8.0.0.0"

static const char job[]
    = "{\"spec\":\"cpu=1000 ms=9000\",\"steps\":[{\"count\":2,\"cpu\":1000,"
      "\"memMb\":256,\"estimateMs\":9000}]}";

/* Return a configuration with VERSION, in which the queue belongs to SERVICE
   and has the target LATENCY_MS.  */
static json_t *
make_config (int version, const char *service, int latency_ms)
{
  return json_pack (
      "{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:i,s:b}],s:[{s:s,s:[s],s:i,"
      "s:{s:i,s:i,s:i}}],s:[{s:s,s:b},{s:s,s:b}],s:{s:i}}",
      "version", version, "routes", "name", "book", "host", HOST, "pathPrefix",
      "/book/", "service", service, "priority", 0, "maxAttempts", 4, "stretch",
      3.0, "targetLatencyMs", latency_ms, "public", 0, "tenants", "name",
      "tenant-1", "apiKeys", "key-of-tenant-1", "weight", 10, "cap", "cpu", 0,
      "memMb", 0, "gpu", 0, "services", "name", "desk-a", "rejectsOverload", 1,
      "name", "desk-b", "rejectsOverload", 1, "limits", "maxBodyBytes",
      262144);
}

static bool
wait_for_start (int64_t limit_ms)
{
  int64_t until = stage_now () + limit_ms;

  while (stage_now () < until)
    {
      if (stage_find_running (TASK) != NULL)
        return true;
      stage_sleep (50);
    }
  return false;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  bool has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;

  if (argc != 3)
    return STAGE_CANNOT_RUN;
  stage_open (argv[1], argv[2], 3);
  stage_configure (make_config (3, "desk-a", 600));
  for (int i = 0; i < 3; i++)
    stage_add_worker ("desk-a", "kind-a,r1", 16000, 65536);
  for (int i = 0; i < 3; i++)
    stage_add_worker ("desk-b", "kind-a,r2", 16000, 65536);
  stage_start_entries ();
  if (!stage_wait_ready (15000) || !stage_submit (HOST, PATH, job, 15000)
      || !wait_for_start (10000))
    return stage_close (STAGE_CANNOT_RUN);
  stage_configure (has_trouble ? make_config (5, "desk-b", 600)
                               : make_config (5, "desk-a", 700));
  /* In force within configApplyMs, 2 s.  */
  stage_sleep (2500);
  /* The same submission arrives again.  */
  stage_call (1, "POST", HOST, PATH, job, 3000, NULL);
  stage_sleep (12000);
  free (stage_job_state (HOST, PATH));
  return stage_close (stage_count_twice () > 0 ? STAGE_BROKEN : STAGE_PASSED);
}
