/* Starts the platform, workers and entry hosts, plays one case, and says
   whether the rule held: stage CASE RECORD.  Exits with 0 if it held, 1 if it
   was broken, and 2 if the case could not run.  With the variable TROUBLE set
   to 0, the disruption is left out.  */

#include "stage.h"
#include "cases.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

int64_t
stage_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
stage_sleep_ms (int64_t ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&time, NULL);
}

void
stage_note (int record, const char *format, ...)
{
  char line[1024];
  int64_t now = stage_now_ms ();
  int len
      = snprintf (line, sizeof line, "%lld.%03lld ",
                  (long long)(now / 1000 % 100000), (long long)(now % 1000));
  va_list arguments;

  va_start (arguments, format);
  len += vsnprintf (line + len, sizeof line - (size_t)len - 2, format,
                    arguments);
  va_end (arguments);
  len = MIN (len, (int)sizeof line - 2);
  line[len++] = '\n';
  if (write (record, line, (size_t)len) != len)
    _exit (2);
}

/* ---- requests ---- */

static int
open_connection (const char *address, int timeout_ms)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  char ip[40];
  const char *colon = strchr (address, ':');
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  g_strlcpy (ip, address, MIN (sizeof ip, (size_t)(colon - address + 1)));
  inet_pton (AF_INET, ip, &to.sin_addr);
  to.sin_port = htons ((uint16_t)atoi (colon + 1));
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Return the length of the whole response in TEXT, or 0 if it isn't known
   yet.  */
static size_t
response_length (const GString *text)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  gchar *head;
  gchar *lower;
  const char *field;
  size_t len = 0;

  if (end == NULL)
    return 0;
  head = g_strndup (text->str, (gsize)(end - text->str) + 2);
  lower = g_ascii_strdown (head, -1);
  field = strstr (lower, "\r\ncontent-length:");
  len = (size_t)(end - text->str) + 4
        + (field != NULL ? strtoul (field + 17, NULL, 10) : 0);
  g_free (head);
  g_free (lower);
  return len;
}

int
stage_http (const char *address, const char *method, const char *path,
            const char *headers, const char *body, char *response, size_t size,
            int timeout_ms)
{
  int64_t end = stage_now_ms () + timeout_ms;
  int fd = open_connection (address, timeout_ms);
  const char *content = body != NULL ? body : "";
  GString *text = g_string_new (NULL);
  int status = 0;
  size_t len = 0;

  if (response != NULL)
    *response = '\0';
  if (fd < 0)
    {
      g_string_free (text, TRUE);
      return 0;
    }
  g_string_printf (text,
                   "%s %s HTTP/1.1\r\n%s%s%sContent-Type: application/json\r\n"
                   "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                   method, path, headers != NULL ? "" : "Host: ",
                   headers != NULL ? headers : address,
                   headers != NULL ? "" : "\r\n", strlen (content), content);
  if (send (fd, text->str, text->len, MSG_NOSIGNAL) != (ssize_t)text->len)
    end = 0;
  g_string_truncate (text, 0);
  while (stage_now_ms () < end)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      char buffer[16384];
      ssize_t count;

      if (poll (&p, 1, (int)MAX (end - stage_now_ms (), 0)) <= 0)
        break;
      count = recv (fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        break;
      g_string_append_len (text, buffer, count);
      len = response_length (text);
      if (len > 0 && text->len >= len)
        {
          const char *content_start = strstr (text->str, "\r\n\r\n") + 4;

          status = atoi (text->str + 9);
          if (response != NULL)
            g_strlcpy (response, content_start, size);
          break;
        }
    }
  close (fd);
  g_string_free (text, TRUE);
  return status;
}

bool
stage_put (struct stage *stage, const char *table, const char *key,
           json_t *value)
{
  char address[40];
  char path[200];
  char *body = json_dumps (value, JSON_COMPACT);
  int status;

  g_snprintf (address, sizeof address, "127.%u.100.1:%d", stage->network,
              STAGE_STORE_PORT);
  g_snprintf (path, sizeof path, "/own/%s/%s", table, key);
  status = stage_http (address, "POST", path, NULL, body, NULL, 0, 1000);
  free (body);
  json_decref (value);
  return status == 200;
}

/* ---- processes ---- */

/* Fork a process that ends with this one.  */
static pid_t
fork_child (void)
{
  pid_t parent = getpid ();
  pid_t pid = fork ();

  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (2);
  signal (SIGPIPE, SIG_IGN);
  return 0;
}

void
stage_restart_worker (struct stage *stage, unsigned index)
{
  struct stage_worker *worker = &stage->workers[index];

  stage_note (stage->record, "worker %s comes up, kind %s", worker->id,
              worker->kind);
  worker->pid = fork_child ();
  if (worker->pid == 0)
    stage_run_worker (stage, worker);
}

void
stage_start_worker (struct stage *stage, unsigned index)
{
  struct stage_worker *worker = &stage->workers[index];

  worker->life++;
  g_snprintf (worker->id, sizeof worker->id, "i-%u-%u-%u", stage->network,
              worker->life, index);
  stage_restart_worker (stage, index);
}

static void
end_process (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

void
stage_crash_worker (struct stage *stage, unsigned index)
{
  stage_note (stage->record, "worker %s crashes", stage->workers[index].id);
  end_process (&stage->workers[index].pid);
}

void
stage_start_host (struct stage *stage, unsigned index)
{
  char path[120];
  char log[120];
  json_t *zones = json_pack ("{s:s}", "zone-a", "region-a");
  char ip[24];
  char http[40];
  char ready[40];
  char admin[40];
  char store[40];
  char seed[40];
  char name[24];
  json_t *settings;
  json_t *bounds;

  g_snprintf (name, sizeof name, "edge-%u", index + 1);
  g_snprintf (ip, sizeof ip, "127.%u.1.%u", stage->network, index + 1);
  g_snprintf (http, sizeof http, "%s:%d", ip, STAGE_CLIENT_PORT);
  g_snprintf (ready, sizeof ready, "%s:%d", ip, STAGE_CLIENT_PORT + 3);
  g_snprintf (admin, sizeof admin, "%s:%d", ip, STAGE_CLIENT_PORT + 5);
  g_snprintf (seed, sizeof seed, "127.%u.1.1:%d", stage->network,
              STAGE_CLIENT_PORT + 5);
  g_snprintf (store, sizeof store, "127.%u.100.1:%d", stage->network,
              STAGE_STORE_PORT);
  bounds = json_pack (
      "{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "contactMs", 3000,
      "ackMs", 4000, "graceS", 6, "holdMaxMs", STAGE_HOLD_MAX_MS, "stopMs",
      STAGE_STOP_MS, "gangTimeoutMs", 3000, "cancel_ms", 3000, "visible_ms",
      3000, "finish_s", 14, "status_s", 120, "leaseMs", 3000, "harmMs", 4000);
  json_object_set_new (bounds, "noticeMs", json_integer (4500));
  json_object_set_new (bounds, "moveS", json_real (1.5));
  json_object_set_new (bounds, "maintenanceS", json_integer (2));
  settings = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:o,s:{s:s,s:s,s:s},s:[i,i],s:["
                        "s],s:b,s:o,s:i,s:s}",
                        "nodeName", name, "role", "entry", "ip", ip, "zone",
                        "zone-a", "region", "region-a", "zones", zones,
                        "listen", "http", http, "readiness", ready, "admin",
                        admin, "portRange", 7000, 7015, "seeds", seed,
                        "bootstrap", (int)(stage->hosts[index] == 0), "bounds",
                        bounds, "heartbeatMs", STAGE_BEAT_MS, "orders", "rpc");
  json_object_set_new (settings, "limits",
                       json_pack ("{s:f,s:i,s:i,s:i}", "cpuShare", 0.25,
                                  "cores", 1, "memoryMb", 260, "maxFds",
                                  4100));
  json_object_set_new (settings, "platform",
                       json_pack ("{s:s,s:s,s:i,s:i,s:i,s:b}", "address",
                                  store, "form", "table", "writesPerS", 800,
                                  "readsPerS", 2000, "rowBytes", 65536,
                                  "across", 0));
  json_object_set_new (settings, "cloudApi",
                       json_pack ("{s:s,s:f,s:f}", "address", store,
                                  "ratePerS", 64.0, "dutyPerS", 64.0));
  g_snprintf (path, sizeof path, "%s/edge-%u.json", stage->folder, index + 1);
  g_snprintf (log, sizeof log, "%s/edge-%u.log", stage->folder, index + 1);
  json_dump_file (settings, path, JSON_INDENT (1));
  json_decref (settings);
  stage_note (stage->record, "entry host %s starts", name);
  stage->hosts[index] = fork_child ();
  if (stage->hosts[index] == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      setenv ("DOGWOODPULLEY_NODE_FILE", path, 1);
      signal (SIGPIPE, SIG_DFL);
      execl (stage->program, stage->program, "--jobs", NULL);
      _exit (2);
    }
}

void
stage_signal_host (struct stage *stage, unsigned index, int number)
{
  stage_note (stage->record, "entry host edge-%u gets signal %d", index + 1,
              number);
  kill (stage->hosts[index], number);
  if (number == SIGKILL)
    waitpid (stage->hosts[index], NULL, 0);
}

int
stage_find_owner (struct stage *stage)
{
  char newest[40] = "";
  int owner = -1;

  for (unsigned i = 0; i < stage->host_count; i++)
    {
      char path[120];
      char *line = NULL;
      size_t size = 0;
      FILE *file;

      g_snprintf (path, sizeof path, "%s/edge-%u.log", stage->folder, i + 1);
      file = fopen (path, "r");
      while (file != NULL && getline (&line, &size, file) > 0)
        {
          char time[40];

          if (strstr (line, "\"event\":\"duty-claimed\"") == NULL
              || strstr (line, "\"duty\":\"pool/desk\"") == NULL
              || sscanf (line, "{\"time\":\"%39[^\"]", time) != 1
              || strcmp (time, newest) <= 0)
            continue;
          g_strlcpy (newest, time, sizeof newest);
          owner = (int)i;
        }
      free (line);
      if (file != NULL)
        fclose (file);
    }
  return owner;
}

void
stage_silence_worker (struct stage *stage, unsigned index)
{
  stage_note (stage->record, "worker %s falls silent for good",
              stage->workers[index].id);
  kill (stage->workers[index].pid, SIGSTOP);
}

void
stage_set_control (struct stage *stage, const char *name, const char *content)
{
  gchar *path = g_strdup_printf ("%s/%s", stage->folder, name);

  stage_note (stage->record, "control: %s %s", name, content);
  g_file_set_contents (path, content, -1, NULL);
  g_free (path);
}

void
stage_clear_control (struct stage *stage, const char *name)
{
  gchar *path = g_strdup_printf ("%s/%s", stage->folder, name);

  stage_note (stage->record, "control: %s is over", name);
  unlink (path);
  g_free (path);
}

/* ---- clients ---- */

int
stage_call (struct stage *stage, unsigned host, const char *method,
            const char *path, const char *body, char *response, size_t size,
            int timeout_ms)
{
  char address[40];
  char headers[200];
  char answer[400];
  int status;

  g_snprintf (address, sizeof address, "127.%u.1.%u:%d", stage->network,
              host + 1, STAGE_CLIENT_PORT);
  g_snprintf (headers, sizeof headers,
              "Host: queues.example\r\nX-Api-Key: key-a\r\n"
              "X-Deadline-Ms: %d\r\n",
              timeout_ms);
  status = stage_http (address, method, path, headers, body, answer,
                       sizeof answer, timeout_ms);
  stage_note (stage->record, "client: %s %s at edge-%u -> %d %s", method, path,
              host + 1, status, answer);
  if (response != NULL)
    g_strlcpy (response, answer, size);
  return status;
}

int
stage_submit (struct stage *stage, const char *path, const char *body)
{
  for (unsigned i = 0; i < 40; i++)
    {
      int status = stage_call (stage, i % stage->host_count, "POST", path,
                               body, NULL, 0, 3000);

      if (status == 200)
        return status;
      stage_sleep_ms (250);
    }
  return 0;
}

bool
stage_get_state (struct stage *stage, const char *path, char *state,
                 size_t size)
{
  for (unsigned i = 0; i < 12; i++)
    {
      char answer[400];
      int status = stage_call (stage, i % stage->host_count, "GET", path, NULL,
                               answer, sizeof answer, 3000);
      json_t *root = json_loads (answer, 0, NULL);
      const char *name = json_string_value (json_object_get (root, "state"));

      if (status == 410)
        g_strlcpy (state, "410", size);
      else if (status == 200 && name != NULL)
        g_strlcpy (state, name, size);
      json_decref (root);
      if (status == 410 || (status == 200 && name != NULL))
        return true;
      stage_sleep_ms (250);
    }
  return false;
}

/* ---- the whole ---- */

static json_t *
route (const char *name, const char *prefix, int priority, int attempts)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f,s:b}", "name",
                    name, "host", "queues.example", "pathPrefix", prefix,
                    "kind", "unsafe", "timeoutMs", 3000, "targetLatencyMs",
                    600, "priority", priority, "service", "desk",
                    "maxAttempts", attempts, "stretch", 1.6, "public", 0);
}

bool
stage_put_config (struct stage *stage)
{
  return stage_put (
      stage, "op", "config",
      json_pack ("{s:i,s:[o,o],s:[{s:s,s:s,s:i,s:s,s:b,s:b,s:b}],"
                 "s:[{s:s,s:[s],s:i,s:i,s:{s:i,s:i,s:i}}],s:{s:i}}",
                 "version", 7, "routes", route ("quick", "/quick/", 0, 4),
                 route ("last", "/last/", 0, 3), "services", "name", "desk",
                 "healthPath", "/health", "maxConns", 64, "protocol", "h1",
                 "tls", 0, "rejectsOverload", 1, "standby", 0, "tenants",
                 "name", "team-a", "apiKeys", "key-a", "priority", 1, "weight",
                 50, "cap", "cpu", 0, "memMb", 0, "gpu", 0, "limits",
                 "maxBodyBytes", 262144));
}

static bool
wait_until_ready (struct stage *stage)
{
  for (unsigned i = 0; i < 100; i++)
    {
      unsigned ready = 0;

      for (unsigned j = 0; j < stage->host_count; j++)
        {
          char address[40];

          g_snprintf (address, sizeof address, "127.%u.1.%u:%d",
                      stage->network, j + 1, STAGE_CLIENT_PORT + 3);
          ready += stage_http (address, "GET", "/ready", NULL, NULL, NULL, 0,
                               500)
                   == 200;
        }
      if (ready == stage->host_count)
        return true;
      stage_sleep_ms (200);
    }
  return false;
}

static struct stage stage;

/* End all processes that were started.  */
static void
end_all (void)
{
  for (unsigned i = 0; i < stage.host_count; i++)
    {
      if (stage.hosts[i] > 0)
        kill (stage.hosts[i], SIGCONT);
      end_process (&stage.hosts[i]);
    }
  for (unsigned i = 0; i < stage.worker_count; i++)
    end_process (&stage.workers[i].pid);
  end_process (&stage.store);
}

static void
give_up (int number)
{
  (void)number;
  end_all ();
  _exit (2);
}

bool
stage_open (struct stage *s, unsigned host_count, unsigned worker_count)
{
  s->host_count = host_count;
  s->worker_count = worker_count;
  for (unsigned i = 0; i < worker_count; i++)
    {
      s->workers[i].index = i;
      s->workers[i].service = "desk";
      if (s->workers[i].kind == NULL)
        s->workers[i].kind = "a";
    }
  s->store = fork_child ();
  if (s->store == 0)
    stage_run_store (s);
  for (unsigned i = 0; i < 50 && !stage_put_config (s); i++)
    stage_sleep_ms (100);
  for (unsigned i = 0; i < worker_count; i++)
    stage_start_worker (s, i);
  for (unsigned i = 0; i < host_count; i++)
    stage_start_host (s, i);
  return wait_until_ready (s);
}

/* Return a network that no other stage uses while this process lives, or 0. */
static unsigned
choose_network (void)
{
  for (unsigned i = 0; i < 50; i++)
    {
      struct sockaddr_in address
          = { .sin_family = AF_INET, .sin_port = htons (STAGE_STORE_PORT) };
      unsigned char random = 0;
      char ip[32];
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      if (getrandom (&random, sizeof random, 0) != sizeof random)
        return 0;
      g_snprintf (ip, sizeof ip, "127.%u.200.1", 20 + random % 200);
      inet_pton (AF_INET, ip, &address.sin_addr);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
          && listen (fd, 1) == 0)
        return 20 + random % 200;
      close (fd);
    }
  return 0;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  const char *program = getenv ("PROGRAM");
  int result;

  if (argc != 3)
    return 2;
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, give_up);
  signal (SIGINT, give_up);
  stage.network = choose_network ();
  if (stage.network == 0)
    return 2;
  stage.program = program != NULL ? program : "target/programs/dogwoodpulleyd";
  g_strlcpy (stage.folder, "/tmp/stage-3-XXXXXX", sizeof stage.folder);
  stage.record = open (
      argv[2], O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
  if (stage.record < 0 || mkdtemp (stage.folder) == NULL)
    return 2;
  result = stage_play_case (&stage, argv[1], argv[2],
                            trouble == NULL || strcmp (trouble, "0") != 0);
  end_all ();
  if (getenv ("KEEP") == NULL)
    {
      gchar *command = g_strdup_printf ("rm -rf '%s'", stage.folder);

      if (system (command) != 0)
        result = 2;
      g_free (command);
    }
  else
    printf ("%s\n", stage.folder);
  printf ("%s\n", result == 0   ? "the rule held"
                  : result == 1 ? "the rule was broken"
                                : "the case could not run");
  return result;
}
