/* Tests of a link whose peers don't read, and of links between processes that
   follow one another at an address.

   Expected load: a message of some megabytes for each of dozens of peers,
   whose links are slow.  */

#include "dp_test.h"
#include "pr_frame.h"
#include "pr_link.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LINK_PORT = 19490,
  SENDER_INCARNATION = 101,
  FORMER_INCARNATION = 102,
  NEXT_INCARNATION = 103,
  /* Longer than the link waits before it connects again.  */
  RECONNECT_TIME_MS = 600,
  SETTLE_TIME_MS = 300,
  FIRST_PEER_PORT = 19500,
  PEER_COUNT = 24,
  RECEIVE_BUFFER_BYTES = 4096,
  LARGE_MESSAGE_BYTES = 3 * 1024 * 1024,
  MESSAGES_PER_PEER = 6,
  /* A quarter of the memory of a small host, 160 MB.  */
  MAX_BUFFERED_BYTES = 40 * 1024 * 1024,
  WAIT_MS = 5000
};

/* A process that accepts a connection.  */
struct peer
{
  int listener;
  int fd;     /* -1: not accepted yet */
  bool reads; /* what comes after the hello */
  GThread *thread;
};

static struct peer peers[PEER_COUNT]; /* only the last one reads */
static _Atomic int accepted_count;
static struct pr_link *link_under_test;

static void
ignore_heartbeat (void *context)
{
  (void)context;
}

static gpointer
run_link (gpointer data)
{
  pr_link_run (data, ignore_heartbeat, NULL);
  return NULL;
}

static enum pr_receive_result
ignore_message (void *context, uint64_t from, struct ba_bytes body)
{
  (void)context;
  (void)from;
  (void)body;
  return PR_RECEIVE_ACCEPTED;
}

static gpointer
accept_connection (gpointer data)
{
  struct peer *peer = data;
  static const uint8_t nonce[PR_NONCE_BYTES] = { 1 };
  struct pr_challenge challenge
      = { .version = PR_PROTOCOL_VERSION,
          .nonce = { (uint8_t *)nonce, sizeof nonce } };
  TALLOC_CTX *mem = talloc_new (NULL);
  GByteArray *out = g_byte_array_new ();
  char hello[PR_MAX_HELLO_BYTES];

  peer->fd = accept (peer->listener, NULL, NULL);
  pr_frame_append (out, pr_challenge_encode (mem, &challenge));
  if (write (peer->fd, out->data, out->len) == (ssize_t)out->len
      && read (peer->fd, hello, sizeof hello) > 0)
    atomic_fetch_add (&accepted_count, 1);
  while (peer->reads && read (peer->fd, hello, sizeof hello) > 0)
    ;
  g_byte_array_free (out, TRUE);
  talloc_free (mem);
  return NULL;
}

static void
start_peer (struct peer *peer, uint16_t port, bool reads)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int enable = 1;
  int size = RECEIVE_BUFFER_BYTES;

  peer->fd = -1;
  peer->reads = reads;
  peer->listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (peer->listener, SOL_SOCKET, SO_REUSEADDR, &enable,
              sizeof enable);
  setsockopt (peer->listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (
      bind (peer->listener, (struct sockaddr *)&address, sizeof address), 0);
  listen (peer->listener, 4);
  peer->thread = g_thread_new ("peer", accept_connection, peer);
}

static void
stop_peer (struct peer *peer)
{
  g_thread_join (peer->thread);
  close (peer->fd);
  close (peer->listener);
}

static uint64_t
counter_value (enum pr_counter counter)
{
  return atomic_load (&pr_link_counters (link_under_test)[counter].value);
}

/* Wait until the link has handled COUNT messages.  */
static void
wait_for_messages (uint64_t count)
{
  for (int i = 0;
       i < WAIT_MS
       && counter_value (PR_COUNTER_SENT) + counter_value (PR_COUNTER_DROPPED)
              < count;
       i++)
    g_usleep (1000);
}

static void
test_memory_of_slow_peers (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct pr_link_options options = { .address = "127.0.0.1:19490",
                                     .secret = "secret",
                                     .incarnation = 1,
                                     .on_message = ignore_message };
  struct pr_member members[PEER_COUNT];
  struct ba_bytes large
      = { talloc_zero_size (mem, LARGE_MESSAGE_BYTES), LARGE_MESSAGE_BYTES };
  struct ba_bytes small = { large.data, 100 };
  size_t buffered = 0;
  uint64_t dropped;
  GThread *thread;

  link_under_test = pr_link_new (mem, &options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (link_under_test);
  thread = g_thread_new ("link", run_link, link_under_test);
  for (unsigned i = 0; i < PEER_COUNT; i++)
    {
      start_peer (&peers[i], (uint16_t)(FIRST_PEER_PORT + i),
                  i == PEER_COUNT - 1);
      members[i].incarnation = 2 + i;
      members[i].address
          = talloc_asprintf (mem, "127.0.0.1:%u", FIRST_PEER_PORT + i);
    }
  pr_link_set_members (link_under_test, members, PEER_COUNT);
  for (int i = 0; i < WAIT_MS && atomic_load (&accepted_count) < PEER_COUNT;
       i++)
    g_usleep (1000);
  CU_ASSERT_EQUAL (atomic_load (&accepted_count), PEER_COUNT);
  for (unsigned i = 0; i < (PEER_COUNT - 1) * MESSAGES_PER_PEER; i++)
    {
      pr_link_send (link_under_test, 2 + i % (PEER_COUNT - 1), large);
      wait_for_messages (i + 1);
      buffered = MAX (buffered, pr_link_buffered_bytes (link_under_test));
    }
  CU_ASSERT (buffered > LARGE_MESSAGE_BYTES);
  CU_ASSERT (buffered <= MAX_BUFFERED_BYTES);
  /* What waits for slow peers does not hold back a heartbeat to another one.
   */
  dropped = counter_value (PR_COUNTER_DROPPED);
  CU_ASSERT (dropped > 0);
  pr_link_send (link_under_test, 1 + PEER_COUNT, small);
  wait_for_messages ((PEER_COUNT - 1) * MESSAGES_PER_PEER + 1);
  CU_ASSERT_EQUAL (counter_value (PR_COUNTER_DROPPED), dropped);
  pr_link_stop (link_under_test);
  g_thread_join (thread);
  talloc_free (mem);
  for (unsigned i = 0; i < PEER_COUNT; i++)
    stop_peer (&peers[i]);
}

/* A process with a link of its own.  */
struct process
{
  TALLOC_CTX *mem;
  struct pr_link *link;
  GThread *thread;
  _Atomic int received_count;
};

static enum pr_receive_result
count_message (void *context, uint64_t from, struct ba_bytes body)
{
  struct process *process = context;

  (void)from;
  (void)body;
  atomic_fetch_add (&process->received_count, 1);
  return PR_RECEIVE_ACCEPTED;
}

static void
start_process (struct process *process, const char *address,
               uint64_t incarnation)
{
  struct pr_link_options options = { .address = address,
                                     .secret = "secret",
                                     .incarnation = incarnation,
                                     .on_message = count_message,
                                     .context = process };

  process->mem = talloc_new (NULL);
  atomic_store (&process->received_count, 0);
  process->link = pr_link_new (process->mem, &options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (process->link);
  process->thread = g_thread_new ("process", run_link, process->link);
}

static void
stop_process (struct process *process)
{
  pr_link_stop (process->link);
  g_thread_join (process->thread);
  talloc_free (process->mem);
}

/* Send messages from SENDER to the process TO until RECEIVER has received one
   or LIMIT_MS have passed.  */
static void
send_until_received (struct process *sender, uint64_t to,
                     struct process *receiver, int limit_ms)
{
  uint8_t byte = 0;
  struct ba_bytes body = { &byte, 1 };

  for (int i = 0; i < limit_ms && atomic_load (&receiver->received_count) == 0;
       i++)
    {
      pr_link_send (sender->link, to, body);
      g_usleep (1000);
    }
}

/* Messages for a process reach the next one at its address, which takes
   replies to calls of the former process for replies to its own.  */
static void
test_message_for_former_process (void)
{
  struct process sender;
  struct process receiver;
  struct pr_member member = { FORMER_INCARNATION, "127.0.0.1:19492" };

  start_process (&sender, "127.0.0.1:19491", SENDER_INCARNATION);
  start_process (&receiver, member.address, FORMER_INCARNATION);
  pr_link_set_members (sender.link, &member, 1);
  send_until_received (&sender, FORMER_INCARNATION, &receiver, WAIT_MS);
  CU_ASSERT (atomic_load (&receiver.received_count) > 0);
  stop_process (&receiver);
  start_process (&receiver, member.address, NEXT_INCARNATION);
  send_until_received (&sender, FORMER_INCARNATION, &receiver,
                       RECONNECT_TIME_MS);
  CU_ASSERT_EQUAL (atomic_load (&receiver.received_count), 0);
  member.incarnation = NEXT_INCARNATION;
  pr_link_set_members (sender.link, &member, 1);
  send_until_received (&sender, NEXT_INCARNATION, &receiver, WAIT_MS);
  CU_ASSERT (atomic_load (&receiver.received_count) > 0);
  stop_process (&receiver);
  stop_process (&sender);
}

/* A process that has taken a new incarnation receives messages for its former
   one over connections that are still open.  */
static void
test_message_for_former_incarnation (void)
{
  struct process sender;
  struct process receiver;
  struct pr_member member = { FORMER_INCARNATION, "127.0.0.1:19492" };

  start_process (&sender, "127.0.0.1:19491", SENDER_INCARNATION);
  start_process (&receiver, member.address, FORMER_INCARNATION);
  pr_link_set_members (sender.link, &member, 1);
  send_until_received (&sender, FORMER_INCARNATION, &receiver, WAIT_MS);
  CU_ASSERT (atomic_load (&receiver.received_count) > 0);
  pr_link_set_incarnation (receiver.link, NEXT_INCARNATION);
  g_usleep (SETTLE_TIME_MS * 1000);
  atomic_store (&receiver.received_count, 0);
  send_until_received (&sender, FORMER_INCARNATION, &receiver,
                       RECONNECT_TIME_MS);
  CU_ASSERT_EQUAL (atomic_load (&receiver.received_count), 0);
  stop_process (&receiver);
  stop_process (&sender);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "memory exhausted by slow peers", test_memory_of_slow_peers },
          { "message for a former process", test_message_for_former_process },
          { "message for a former incarnation",
            test_message_for_former_incarnation },
          { NULL, NULL } };

  return dp_test_main ("pr_link", tests);
}
