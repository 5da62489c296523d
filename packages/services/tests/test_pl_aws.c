/* Test of the driver against a server that sends its answers slowly.

   Expected load: pages of a megabyte and large objects over slow links.  */

#include "dp_test.h"
#include "pl_platform.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PORT = 19560,
  PART_COUNT = 10,
  PART_INTERVAL_MS = 300,
  TIMEOUT_MS = 2000 /* less than the whole response takes */
};

static const char empty_page[] = "{\"Items\":[]}";
static int listening_fd;
static _Atomic int result = -1; /* enum co_store_result */

/* Read one request on each connection, and send an empty page in PART_COUNT
   parts: spaces and then the page itself.  */
static gpointer
serve (gpointer data)
{
  int fd;

  (void)data;
  while ((fd = accept (listening_fd, NULL, NULL)) >= 0)
    {
      char buffer[8192];
      g_autofree char *header = g_strdup_printf (
          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %zu\r\n"
          "\r\n",
          PART_COUNT + strlen (empty_page));
      bool open = read (fd, buffer, sizeof buffer) > 0
                  && send (fd, header, strlen (header), MSG_NOSIGNAL) > 0;

      for (int i = 0; open && i < PART_COUNT; i++)
        {
          open = send (fd, " ", 1, MSG_NOSIGNAL) > 0;
          g_usleep (PART_INTERVAL_MS * 1000);
        }
      if (open)
        (void)!send (fd, empty_page, strlen (empty_page), MSG_NOSIGNAL);
      close (fd);
    }
  return NULL;
}

static void
receive_event (void *context, struct co_event *event)
{
  (void)context;
  if (event->type == CO_EVENT_READ_DONE)
    atomic_store (&result, (int)event->u.read_done.result);
  talloc_free (event);
}

static void
ignore_heartbeat (void *context)
{
  (void)context;
}

static gpointer
run_driver (gpointer data)
{
  struct pl_platform *platform = data;

  platform->ops->run (platform, ignore_heartbeat, NULL);
  return NULL;
}

static void
test_large_page_given_up (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct cf_platform_settings settings
      = { .table = "http://127.0.0.1:19560/",
          .object_store = "http://127.0.0.1:19560",
          .region = "region",
          .access_key = "key",
          .timeout_ms = TIMEOUT_MS };
  struct pl_aws_options options = { .settings = &settings,
                                    .secret_key = "secret",
                                    .emit = receive_event };
  struct co_action action
      = { .type = CO_ACTION_READ,
          .u.read = { .op_id = 1, .partition = "p", .after_sort_key = "" } };
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (PORT) };
  struct pl_platform *platform = pl_aws_new (mem, &options);
  int enable = 1;
  GThread *server_thread;
  GThread *driver_thread;

  listening_fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listening_fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      bind (listening_fd, (struct sockaddr *)&address, sizeof address), 0);
  listen (listening_fd, 4);
  server_thread = g_thread_new ("server", serve, NULL);
  driver_thread = g_thread_new ("driver", run_driver, platform);
  platform->ops->submit (platform, &action);
  while (atomic_load (&result) < 0)
    g_usleep (1000);
  CU_ASSERT_EQUAL (atomic_load (&result), CO_STORE_OK);
  platform->ops->stop (platform);
  g_thread_join (driver_thread);
  shutdown (listening_fd, SHUT_RDWR);
  g_thread_join (server_thread);
  close (listening_fd);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a large page given up", test_large_page_given_up },
          { NULL, NULL } };

  return dp_test_main ("pl_aws", tests);
}
