#include "ps_clients.h"

#include "dp_socket.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CHECK_INTERVAL_MS = 1,
  HALF_SENT_INTERVAL = 3, /* each third client sends half of a request first */
  MAX_RESPONSE_BYTES = 4096
};

/* A request that was sent less than this before its connection ended may
   remain without an answer.  */
#define CUT_OFF_SLACK_US 200000

/* Time for answers after the last request.  */
#define LAST_ANSWER_TIME_US 1000000

/* Answered at once: there is no such queue.  */
static const char first_request[]
    = "GET /none HTTP/1.1\r\nHost: queues.example\r\n\r\n";
static const char first_half[] = "GET /q0/0123456789abcdef HTTP/1.1\r\n";
static const char second_half[]
    = "Host: queues.example\r\nX-Api-Key: key-0\r\n\r\n";

enum client_state
{
  CLIENT_BEGINNING, /* waits for the answer to its first request */
  CLIENT_IDLE,      /* the request is not sent whole */
  CLIENT_WAITING,   /* for the answer */
  CLIENT_DONE
};

struct client
{
  enum client_state state;
  int64_t send_at; /* the request, or its second half */
  int64_t sent_at;
  bool half_sent;
  char received[MAX_RESPONSE_BYTES];
  size_t received_len;
};

struct ps_clients
{
  uint32_t count;
  struct client *clients;
  struct pollfd *polls;
  int64_t end;
  struct ps_clients_result result;
  GThread *thread;
};

static void
finish_client (struct ps_clients *clients, uint32_t i)
{
  close (clients->polls[i].fd);
  clients->polls[i].fd = -1;
  clients->clients[i].state = CLIENT_DONE;
}

/* The connection of client I was still open, and its request not answered, at
   the time OPEN_AT.  */
static void
finish_unanswered (struct ps_clients *clients, uint32_t i, int64_t open_at)
{
  const struct client *client = &clients->clients[i];
  int64_t age = open_at - client->sent_at;

  if (client->state == CLIENT_WAITING && age > CUT_OFF_SLACK_US)
    {
      clients->result.unanswered++;
      clients->result.max_age_ms
          = MAX (clients->result.max_age_ms, age / 1000);
    }
  else
    clients->result.closed++;
  finish_client (clients, i);
}

/* Read what has arrived for client I, which was open at OPEN_AT.  */
static void
receive (struct ps_clients *clients, uint32_t i, int64_t open_at)
{
  struct client *client = &clients->clients[i];
  ssize_t count
      = recv (clients->polls[i].fd, client->received + client->received_len,
              sizeof client->received - 1 - client->received_len, 0);

  if (count <= 0)
    {
      finish_unanswered (clients, i, open_at);
      return;
    }
  client->received_len += (size_t)count;
  client->received[client->received_len] = '\0';
  if (dp_response_status (client->received, client->received_len) == 0)
    return;
  client->received_len = 0;
  if (client->state == CLIENT_BEGINNING)
    {
      client->state = CLIENT_IDLE;
      if (client->half_sent)
        dp_send_text (clients->polls[i].fd, first_half);
      return;
    }
  clients->result.answered++;
  finish_client (clients, i);
}

static void
send_request (struct ps_clients *clients, uint32_t i)
{
  struct client *client = &clients->clients[i];
  int fd = clients->polls[i].fd;

  if (!client->half_sent)
    dp_send_text (fd, first_half);
  dp_send_text (fd, second_half);
  client->sent_at = g_get_monotonic_time ();
  client->state = CLIENT_WAITING;
}

static gpointer
run_clients (gpointer data)
{
  struct ps_clients *clients = data;
  int64_t checked_at = g_get_monotonic_time ();

  while (checked_at < clients->end)
    {
      int64_t now;
      bool done = true;

      poll (clients->polls, clients->count, CHECK_INTERVAL_MS);
      now = g_get_monotonic_time ();
      for (uint32_t i = 0; i < clients->count; i++)
        {
          struct client *client = &clients->clients[i];

          if (client->state != CLIENT_DONE && clients->polls[i].revents != 0)
            receive (clients, i, checked_at);
          if (client->state == CLIENT_IDLE && now >= client->send_at)
            send_request (clients, i);
          done &= client->state == CLIENT_DONE;
        }
      if (done)
        break;
      checked_at = now;
    }
  for (uint32_t i = 0; i < clients->count; i++)
    if (clients->clients[i].state != CLIENT_DONE)
      finish_unanswered (clients, i, checked_at);
  return NULL;
}

struct ps_clients *
ps_clients_start (const struct sockaddr_in *address, uint32_t count,
                  int64_t delay_us, int64_t duration_us, uint32_t seed)
{
  struct ps_clients *clients = g_new0 (struct ps_clients, 1);
  GRand *rand = g_rand_new_with_seed (seed);
  int64_t now = g_get_monotonic_time ();

  clients->count = count;
  clients->clients = g_new0 (struct client, count);
  clients->polls = g_new0 (struct pollfd, count);
  for (uint32_t i = 0; i < count; i++)
    {
      clients->polls[i]
          = (struct pollfd){ .fd = dp_connect (address), .events = POLLIN };
      dp_send_text (clients->polls[i].fd, first_request);
      clients->clients[i].half_sent = i % HALF_SENT_INTERVAL == 0;
    }
  clients->end = now + delay_us + duration_us + LAST_ANSWER_TIME_US;
  for (uint32_t i = 0; i < count; i++)
    clients->clients[i].send_at
        = now + delay_us + g_rand_int_range (rand, 0, (gint32)duration_us);
  g_rand_free (rand);
  clients->thread = g_thread_new ("idle-clients", run_clients, clients);
  return clients;
}

struct ps_clients_result
ps_clients_finish (struct ps_clients *clients)
{
  struct ps_clients_result result;

  g_thread_join (clients->thread);
  result = clients->result;
  g_free (clients->clients);
  g_free (clients->polls);
  g_free (clients);
  return result;
}
