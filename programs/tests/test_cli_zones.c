/* The commands zones, evacuate and restore, against the admin server and the
   core of an entry host that is the only member of its fleet.  Its table
   service accepts every write.  */

#include "cli_command.h"

#include "sv_admin.h"

#include "ba_clock.h"
#include "dp_test.h"

#include <jansson.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char admin_address[] = "127.0.37.1:18081";
static const char admin_url[] = "http://127.0.37.1:18081";
/* Nothing listens there.  */
static const char admin_urls[]
    = "http://127.0.37.2:18081,http://127.0.37.1:18081";
static const char token[] = "secret";
static const char fleet_yaml[]
    = "name: test\n"
      "pools: [{name: p, min_available: 2}]\n"
      "teams: [{name: t, limit: 9}]\n"
      "queues: [{name: q, pool: p}]\n"
      "hosts:\n"
      "- {name: h1, address: 127.0.0.1:80, zone: a, rack: r, pool: p}\n"
      "- {name: h2, address: 127.0.0.2:80, zone: b, rack: r, pool: p}\n"
      "- {name: h3, address: 127.0.0.3:80, zone: b, rack: r, pool: p}\n";

enum
{
  JOIN_TIMEOUT_MS = 20000,
  JOIN_POLL_INTERVAL_MS = 20
};

/* The entry host.  */
struct site
{
  struct sv_core_loop *loop;
  struct sv_admin *admin;
  struct co_row view_row; /* as last written; used by the loop's thread */
  char *token_file;
};

static struct site site;

/* ---- the entry host ---- */

/* Carry out ACTION on the table service at once.  */
static void
submit_to_platform (void *context, const struct co_action *action)
{
  struct site *s = context;
  struct co_event *reply = talloc_zero (NULL, struct co_event);

  switch (action->type)
    {
    case CO_ACTION_WRITE:
      if (strcmp (action->u.write.row.partition, "view") == 0)
        {
          s->view_row.version = action->u.write.row.version;
          s->view_row.body
              = ba_bytes_copy (s->loop, action->u.write.row.body.data,
                               action->u.write.row.body.len);
        }
      reply->type = CO_EVENT_WRITE_DONE;
      reply->u.write_done.op_id = action->u.write.op_id;
      break;
    case CO_ACTION_READ:
      reply->type = CO_EVENT_READ_DONE;
      reply->u.read_done.op_id = action->u.read.op_id;
      break;
    case CO_ACTION_POLL:
      reply->type = CO_EVENT_POLL_DONE;
      reply->u.poll_done.sent_at = ba_clock_now_us ();
      reply->u.poll_done.view_row.version = s->view_row.version;
      reply->u.poll_done.view_row.body
          = ba_bytes_copy (reply, s->view_row.body.data, s->view_row.body.len);
      break;
    default:
      break;
    }
  g_assert (sv_core_loop_push (s->loop, reply));
}

static void
view_changed (void *context, const struct co_view *view)
{
  (void)context;
  (void)view;
}

static void
answer_change (void *context, const struct co_action_change_done *changed)
{
  (void)context;
  sv_admin_send_change_result (site.admin, changed);
}

static void
answer_status (void *context, uint64_t call, const struct co_status *status)
{
  (void)context;
  sv_admin_send_status (site.admin, call, status);
}

static const struct sv_core_loop_handlers handlers = {
  .submit_to_platform = submit_to_platform,
  .view_changed = view_changed,
  .answer_change = answer_change,
  .answer_status = answer_status,
};

static void
ignore_heartbeat (void *context)
{
  (void)context;
}

static gpointer
run_loop (gpointer loop)
{
  sv_core_loop_run (loop, ignore_heartbeat, NULL);
  return NULL;
}

/* Wait until the entry host has applied the fleet.  */
static void
apply_fleet (void)
{
  dp_client *client = dp_client_new (admin_url, token);
  enum dp_result result = DP_UNREACHABLE;

  for (int waited = 0; result != DP_OK && waited < JOIN_TIMEOUT_MS;
       waited += JOIN_POLL_INTERVAL_MS)
    {
      usleep (JOIN_POLL_INTERVAL_MS * 1000);
      result = dp_client_apply (client, fleet_yaml, 0, NULL, NULL);
    }
  g_assert (result == DP_OK);
  dp_client_free (client);
}

/* ---- the commands ---- */

/* Run the command NAME with ARGUMENT, which may be NULL, and store what it
   prints to the descriptor FD in *OUTPUT, to be released with g_free.  Return
   its exit status.  */
static int
run_command (const char *name, const char *argument, int fd, char **output)
{
  char *argv[] = { (char *)name, (char *)argument, NULL };
  struct cli_options options = { .servers = admin_urls,
                                 .token_file = site.token_file,
                                 .argv = argv,
                                 .argc = argument == NULL ? 1 : 2 };
  char *file = NULL;
  int capture = g_file_open_tmp (NULL, &file, NULL);
  int saved = dup (fd);
  int status;

  fflush (NULL);
  dup2 (capture, fd);
  status = cli_run_command (&options);
  fflush (NULL);
  dup2 (saved, fd);
  close (saved);
  close (capture);
  g_assert (g_file_get_contents (file, output, NULL, NULL));
  unlink (file);
  g_free (file);
  return status;
}

/* Assert that the command NAME with ARGUMENT ends with STATUS and prints a
   line with TEXT to FD.  */
static void
expect (const char *name, const char *argument, int status, int fd,
        const char *text)
{
  char *output;

  CU_ASSERT_EQUAL (run_command (name, argument, fd, &output), status);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, text));
  if (strstr (output, text) == NULL)
    printf ("expected \"%s\", printed: %s\n", text, output);
  g_free (output);
}

/* Guards against a zone that is not listed, or listed in the wrong state.  */
static void
test_order_and_removal (void)
{
  expect ("zones", NULL, CLI_OK, STDOUT_FILENO,
          "b                         2        0 in-use");
  expect ("evacuate", "b", CLI_OK, STDOUT_FILENO, "zone is evacuated\n");
  expect ("zones", NULL, CLI_OK, STDOUT_FILENO,
          "a                         1        0 in-use");
  expect ("zones", NULL, CLI_OK, STDOUT_FILENO,
          "b                         2        0 evacuated");
  /* A second operator orders the same.  */
  expect ("evacuate", "b", CLI_OK, STDOUT_FILENO, "zone is evacuated\n");
  expect ("restore", "b", CLI_OK, STDOUT_FILENO, "zone is in use\n");
  expect ("zones", NULL, CLI_OK, STDOUT_FILENO,
          "b                         2        0 in-use");
}

/* Guards against an order for a misspelt zone that is accepted, and against an
   error that doesn't name the zone.  */
static void
test_unknown_zone (void)
{
  expect ("evacuate", "nowhere", CLI_REFUSED, STDERR_FILENO,
          "no zone \"nowhere\"");
  expect ("restore", "nowhere", CLI_REFUSED, STDERR_FILENO,
          "no zone \"nowhere\"");
  expect ("evacuate", NULL, CLI_USAGE, STDERR_FILENO,
          "wrong number of arguments");
}

/* Guards against an evacuation that is made or ended as an ordinary
   maintenance order.  */
static void
test_not_a_maintenance_order (void)
{
  dp_client *client = dp_client_new (admin_url, token);
  GError *error = NULL;
  json_t *status;
  char *text;

  CU_ASSERT_EQUAL (
      dp_client_maintain (client, "zone", "evacuate/a", NULL, &error),
      DP_INVALID);
  g_clear_error (&error);
  CU_ASSERT_EQUAL (dp_client_evacuate (client, "b", &error), DP_OK);
  text = dp_client_status (client, NULL);
  status = json_loads (text, 0, NULL);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (status, "orders")), 0);
  for (uint64_t order = 1; order <= (uint64_t)json_integer_value (
                               json_object_get (status, "log_version"));
       order++)
    {
      CU_ASSERT_EQUAL (dp_client_order (client, order, "cancelled", &error),
                       DP_INVALID);
      g_clear_error (&error);
    }
  CU_ASSERT_EQUAL (dp_client_restore (client, "b", &error), DP_OK);
  json_decref (status);
  free (text);
  dp_client_free (client);
}

/* Guards against a count of requests that doesn't tell that entry hosts are
   missing from it.  */
static void
test_json (void)
{
  dp_client *client = dp_client_new (admin_urls, token);
  char *text = dp_client_zones (client, NULL);
  json_t *root = json_loads (text, 0, NULL);

  CU_ASSERT_EQUAL (json_array_size (json_object_get (root, "zones")), 2);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (root, "entry_hosts")),
                   1);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (root, "members")), 1);
  json_decref (root);
  free (text);
  dp_client_free (client);
  client = dp_client_new ("http://127.0.37.2:18081", token);
  CU_ASSERT_PTR_NULL (dp_client_zones (client, NULL));
  dp_client_free (client);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "order and removal", test_order_and_removal },
          { "unknown zone", test_unknown_zone },
          { "not a maintenance order", test_not_a_maintenance_order },
          { "JSON", test_json },
          { NULL, NULL } };
  struct cf_settings settings = { .name = (char *)"e",
                                  .zone = (char *)"a",
                                  .admin = (char *)admin_address };
  TALLOC_CTX *mem = talloc_new (NULL);
  struct sv_log *log = sv_log_new (mem, &settings.log, "e");
  struct sv_core_loop_options loop_options
      = { .log = log, .handlers = &handlers, .context = &site };
  struct sv_admin_options admin_options
      = { .settings = &settings, .token = token, .log = log };
  GThread *thread;
  int status;

  co_options_init (&loop_options.core);
  loop_options.core.name = "e";
  loop_options.core.zone = "a";
  loop_options.core.peer_address = "127.0.37.1:7000";
  loop_options.core.admin_address = admin_address;
  site.loop = sv_core_loop_new (mem, &loop_options, NULL);
  admin_options.core_loop = site.loop;
  site.admin = sv_admin_new (mem, &admin_options, NULL);
  g_assert (site.loop != NULL && site.admin != NULL);
  close (g_file_open_tmp (NULL, &site.token_file, NULL));
  g_assert (g_file_set_contents (site.token_file, token, -1, NULL));
  thread = g_thread_new ("loop", run_loop, site.loop);
  apply_fleet ();
  status = dp_test_main ("commands for zones", tests);
  sv_core_loop_stop (site.loop);
  g_thread_join (thread);
  unlink (site.token_file);
  g_free (site.token_file);
  talloc_free (site.admin);
  talloc_free (mem);
  return status;
}
