/* An entry host that owns nothing is killed and started again, while the store
   is slow and clients submit jobs through it.  */

#include "stage.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define HOST "queues.example"

enum
{
  ENTRIES = 7,
  WORKERS = 4,
  CLIENTS = 16,
  ROUNDS = 7,
  KILLS_PER_ROUND = 6,
  SLOWNESS = 37, /* times, for less than SLOW_LIMIT_MS at once */
  SLOW_LIMIT_MS = 4500,
  LIFE_MS = 450, /* from a start to the next kill */
  START_DELAY_MS = 50,
  CALM_MS = 4000,
  RETRY_MS = 20,
  TRIES = 5 /* of a client, the first one included */
};

static struct
{
  GMutex lock;
  GPtrArray *accepted; /* paths */
  int stop;
  int paused;
  int next_job;
  unsigned entry;
} traffic;

static json_t *
make_config (void)
{
  return json_pack (
      "{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:i,s:b}],s:[{s:s,s:[s],s:i,"
      "s:{s:i,s:i,s:i}}],s:[{s:s,s:b}],s:{s:i}}",
      "version", 3, "routes", "name", "check", "host", HOST, "pathPrefix",
      "/check/", "service", "desk-a", "priority", 0, "maxAttempts", 4,
      "stretch", 3.0, "targetLatencyMs", 600, "public", 0, "tenants", "name",
      "tenant-1", "apiKeys", "key-of-tenant-1", "weight", 10, "cap", "cpu", 0,
      "memMb", 0, "gpu", 0, "services", "name", "desk-a", "rejectsOverload", 1,
      "limits", "maxBodyBytes", 262144);
}

/* Submit one job after the other through the same entry host.  */
static gpointer
run_client (gpointer data)
{
  static const char job[]
      = "{\"spec\":\"cpu=100 ms=200\",\"steps\":[{\"count\":1,\"cpu\":100,"
        "\"memMb\":8,\"estimateMs\":200}]}";

  (void)data;
  while (!g_atomic_int_get (&traffic.stop))
    {
      char path[64];
      int status = 0;

      if (g_atomic_int_get (&traffic.paused))
        {
          stage_sleep (RETRY_MS);
          continue;
        }
      g_snprintf (path, sizeof path, "/check/%016x",
                  g_atomic_int_add (&traffic.next_job, 1));
      for (int i = 0; i < TRIES && status != 200; i++)
        {
          status = stage_call (traffic.entry, "POST", HOST, path, job, 3000,
                               NULL);
          if (status != 200)
            stage_sleep (RETRY_MS);
        }
      if (status != 200)
        continue;
      g_mutex_lock (&traffic.lock);
      g_ptr_array_add (traffic.accepted, g_strdup (path));
      g_mutex_unlock (&traffic.lock);
    }
  return NULL;
}

static void
run_round (bool has_trouble)
{
  int64_t start = stage_now ();

  g_atomic_int_set (&traffic.paused, 0);
  if (has_trouble)
    stage_set_store_slowness (SLOWNESS);
  for (int i = 0; has_trouble && i < KILLS_PER_ROUND; i++)
    {
      stage_signal_entry (traffic.entry, SIGKILL);
      stage_sleep (START_DELAY_MS);
      stage_start_entry (traffic.entry);
      stage_sleep (LIFE_MS + 30 * (i % 4));
    }
  while (stage_now () < start + SLOW_LIMIT_MS - 500)
    stage_sleep (50);
  if (has_trouble)
    stage_set_store_slowness (1);
  g_atomic_int_set (&traffic.paused, 1);
  stage_sleep (CALM_MS);
}

/* Return how many of the accepted jobs no entry host knows.  */
static unsigned
count_unknown (void)
{
  unsigned count = 0;

  for (guint i = 0; i < traffic.accepted->len; i++)
    {
      const char *path = g_ptr_array_index (traffic.accepted, i);
      char *state = stage_job_state (HOST, path);

      if (state != NULL && strcmp (state, "410") == 0)
        {
          count++;
          stage_note ("LOST: %s was accepted, and is answered with 410", path);
        }
      free (state);
    }
  return count;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  bool has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  GThread *clients[CLIENTS];
  unsigned unknown;
  int owner;

  if (argc != 3)
    return STAGE_CANNOT_RUN;
  traffic.accepted = g_ptr_array_new ();
  traffic.next_job = 4096;
  traffic.paused = 1;
  stage_open (argv[1], argv[2], ENTRIES);
  stage_configure (make_config ());
  for (int i = 0; i < WORKERS; i++)
    stage_add_worker ("desk-a", "kind-a,r1", 16000, 65536);
  stage_start_entries ();
  if (!stage_wait_ready (15000))
    return stage_close (STAGE_CANNOT_RUN);
  stage_sleep (3000);
  owner = stage_find_owner ("desk-a");
  if (owner < 0)
    return stage_close (STAGE_CANNOT_RUN);
  traffic.entry = owner == 1 ? 2 : 1;
  for (int i = 0; i < CLIENTS; i++)
    clients[i] = g_thread_new ("client", run_client, NULL);
  for (int i = 0; i < ROUNDS; i++)
    run_round (has_trouble);
  g_atomic_int_set (&traffic.stop, 1);
  for (int i = 0; i < CLIENTS; i++)
    g_thread_join (clients[i]);
  /* All entry hosts are in touch again.  */
  stage_sleep (CALM_MS);
  unknown = count_unknown ();
  stage_note ("%u jobs were accepted, %u of them are not known",
              traffic.accepted->len, unknown);
  return stage_close (unknown > 0 ? STAGE_BROKEN : STAGE_PASSED);
}
