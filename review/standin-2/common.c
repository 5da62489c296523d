#include "common.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CASE_HOST "pule25.example"

const char *const case_services[CASE_QUEUES]
    = { "casting-desk", "booking-desk", "scheduling-desk", "accounts-desk" };

const char *const case_prefixes[CASE_QUEUES]
    = { "/cast/", "/book/", "/avail/", "/invoice/" };

bool
has_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

int
give_up (const char *reason)
{
  standin_note ("the case can't run: %s", reason);
  fprintf (stderr, "the case can't run: %s\n", reason);
  standin_end ();
  return 2;
}

int
finish (bool broken, const char *what)
{
  bool crashed = standin_count_crashed_nodes () > 0;

  if (crashed)
    standin_note ("a process has ended by itself");
  standin_note ("%s: %s", broken ? "BROKEN" : "held", what);
  printf ("%s: %s\n", broken ? "BROKEN" : "held", what);
  standin_end ();
  return broken ? 1 : 0;
}

/* Append to TEXT the route NAME with PREFIX to SERVICE.  */
static void
append_route (GString *text, const char *name, const char *prefix,
              const char *service)
{
  g_string_append_printf (
      text,
      "%s{\"name\":\"%s\",\"host\":\"" CASE_HOST "\",\"pathPrefix\":\"%s\","
      "\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":600,"
      "\"priority\":0,\"service\":\"%s\",\"maxAttempts\":4,\"stretch\":1.6,"
      "\"public\":false}",
      text->str[text->len - 1] == '}' ? "," : "", name, prefix, service);
}

static void
append_service (GString *text, const char *name)
{
  g_string_append_printf (
      text,
      "%s{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":64,"
      "\"rejectsOverload\":true,\"standby\":false}",
      text->str[text->len - 1] == '}' ? "," : "", name);
}

/* Complete and write the configuration TEXT, which is freed.  */
static void
finish_configuration (GString *text, int cap_cpu)
{
  g_string_append_printf (
      text,
      "],\"tenants\":[{\"name\":\"t-castings\",\"apiKeys\":[\"" CASE_KEY
      "\"],\"weight\":1,\"cap\":{\"cpu\":%d,\"memMb\":0,\"gpu\":0}}],"
      "\"limits\":{\"maxBodyBytes\":262144}}",
      cap_cpu);
  standin_write_operator_row ("config", text->str);
  g_string_free (text, TRUE);
}

void
write_configuration (int version, const char *service, int cap_cpu)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"version\":%d,\"routes\":[", version);
  append_route (text, "r-cast", "/q/", service);
  g_string_append (text, "],\"services\":[");
  append_service (text, "casting-desk");
  append_service (text, "front-office");
  finish_configuration (text, cap_cpu);
}

void
write_four_queues (int version, int cap_cpu)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"version\":%d,\"routes\":[", version);
  for (int i = 0; i < CASE_QUEUES; i++)
    append_route (text, case_services[i], case_prefixes[i], case_services[i]);
  g_string_append (text, "],\"services\":[");
  for (int i = 0; i < CASE_QUEUES; i++)
    append_service (text, case_services[i]);
  finish_configuration (text, cap_cpu);
}

/* Start CASE_NODES entry hosts.  Return whether they serve.  */
static bool
start_nodes (void)
{
  for (int i = 0; i < CASE_NODES; i++)
    standin_start_node (i);
  if (!standin_await_ready (15000))
    return false;
  standin_sleep_ms (3000);
  return true;
}

bool
start_four_queues (int workers, const char *labels, int cap_cpu)
{
  write_four_queues (7, cap_cpu);
  for (int i = 0; i < CASE_QUEUES * workers; i++)
    standin_add_worker (case_services[i % CASE_QUEUES], labels, 16000, 65536);
  return start_nodes ();
}

bool
start_all (int workers, int spare, const char *labels, int cap_cpu)
{
  write_configuration (7, "casting-desk", cap_cpu);
  for (int i = 0; i < workers; i++)
    standin_add_worker ("casting-desk", labels, 16000, 65536);
  for (int i = 0; i < spare; i++)
    standin_add_worker ("front-office", labels, 16000, 65536);
  return start_nodes ();
}

bool
submit (int index, const char *id, const char *body)
{
  return submit_to ("/q/", index, id, body);
}

bool
submit_to (const char *prefix, int index, const char *id, const char *body)
{
  gchar *path = g_strconcat (prefix, id, NULL);
  bool accepted = false;

  for (int i = 0; i < 8 && !accepted; i++)
    {
      accepted = standin_call ((index + i) % CASE_NODES, "POST", path,
                               CASE_KEY, body, 3000, NULL)
                 == 200;
      if (!accepted)
        standin_sleep_ms (500);
    }
  g_free (path);
  return accepted;
}

char *
query (int index, const char *id, unsigned *status)
{
  gchar *path = g_strconcat ("/q/", id, NULL);
  char *answer;
  json_t *root;
  const char *state;
  char *copy;

  *status = standin_call (index, "GET", path, CASE_KEY, NULL, 3000, &answer);
  root = json_loads (answer, 0, NULL);
  state = json_string_value (json_object_get (root, "state"));
  copy = g_strdup (state != NULL ? state : "");
  json_decref (root);
  g_free (answer);
  g_free (path);
  return copy;
}
