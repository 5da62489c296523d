#include "pr_peers.h"

#include "dp_test.h"
#include "pr_frame.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Tests of the connections that a process accepts from its peers.  They guard
   against two failures: messages are accepted from a process that doesn't know
   the shared secret or has another protocol version; and a malformed frame or
   a huge length makes the receiver fail or allocate too much memory.  The
   peers run on a thread of their own, and the test connects to them with a
   plain socket.  */

static const char address[] = "127.0.0.1:19471";
static const char secret[] = "the secret";
static struct pr_peers *peers;
static GThread *peers_thread;
static _Atomic int received_count;
static uint64_t last_sender;

static bool
count_event (void *context, struct co_event *event)
{
  (void)context;
  last_sender = event->u.peer_message.sender;
  talloc_free (event);
  atomic_fetch_add (&received_count, 1);
  return true;
}

static void
ignore_heartbeat (void *context)
{
  (void)context;
}

static gpointer
run_peers (gpointer data)
{
  pr_peers_run (data, ignore_heartbeat, NULL);
  return NULL;
}

static void
start_peers (void)
{
  struct pr_peers_options options = { .address = address,
                                      .secret = secret,
                                      .incarnation = 1,
                                      .on_event = count_event };

  peers = pr_peers_new (NULL, &options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (peers);
  atomic_store (&received_count, 0);
  peers_thread = g_thread_new ("peers", run_peers, peers);
}

static void
stop_peers (void)
{
  pr_peers_stop (peers);
  g_thread_join (peers_thread);
  talloc_free (peers);
}

static int
connect_to_peers (void)
{
  struct sockaddr_in in = { .sin_family = AF_INET, .sin_port = htons (19471) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &in.sin_addr);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&in, sizeof in), 0);
  return fd;
}

/* Read the challenge from FD byte by byte, so that nothing after it is
   consumed, and return its nonce, owned by MEM.  */
static struct ba_bytes
read_nonce (TALLOC_CTX *mem, int fd)
{
  GByteArray *in = g_byte_array_new ();
  struct pr_challenge challenge = { 0 };
  struct ba_bytes body;

  for (;;)
    {
      guint8 byte;

      if (read (fd, &byte, 1) != 1)
        break;
      g_byte_array_append (in, &byte, 1);
      if (pr_frame_parse (in, 0, PR_MAX_HELLO_BYTES, &body)
          == PR_FRAME_COMPLETE)
        {
          CU_ASSERT_TRUE (pr_challenge_decode (mem, body, &challenge));
          break;
        }
    }
  g_byte_array_free (in, TRUE);
  return challenge.nonce;
}

static void
send_frame (int fd, struct ba_bytes body)
{
  GByteArray *out = g_byte_array_new ();

  pr_frame_append (out, body);
  CU_ASSERT_EQUAL (write (fd, out->data, out->len), (ssize_t)out->len);
  g_byte_array_free (out, TRUE);
}

static void
send_hello (TALLOC_CTX *mem, int fd, const char *key, uint32_t version)
{
  struct pr_hello hello = { .version = version, .incarnation = 42 };

  hello.digest = pr_compute_digest (mem, key, read_nonce (mem, fd), 42);
  send_frame (fd, pr_hello_encode (mem, &hello));
}

/* Wait until the other side sends a byte or closes the connection.  Return
   whether it closes the connection.  */
static bool
wait_for_close (int fd)
{
  char byte;

  return read (fd, &byte, 1) <= 0;
}

static struct ba_bytes
encode_message (TALLOC_CTX *mem)
{
  struct co_msg message = { .type = CO_MSG_LOG_FETCH, .u.log_fetch_after = 5 };
  struct ba_codec io;

  ba_codec_init_writer (&io);
  co_msg_serialize (&io, &message);
  return ba_codec_finish (&io, mem);
}

static uint64_t
counter_value (enum pr_counter counter)
{
  return atomic_load (&pr_peers_counters (peers)[counter].value);
}

static void
test_authenticated_peer (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  int fd;

  start_peers ();
  fd = connect_to_peers ();
  send_hello (mem, fd, secret, PR_PROTOCOL_VERSION);
  send_frame (fd, encode_message (mem));
  for (int i = 0; i < 500 && atomic_load (&received_count) == 0; i++)
    g_usleep (10000);
  CU_ASSERT_EQUAL (atomic_load (&received_count), 1);
  CU_ASSERT_EQUAL (last_sender, 42);
  close (fd);
  stop_peers ();
  talloc_free (mem);
}

static void
test_wrong_secret (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  int fd;

  start_peers ();
  fd = connect_to_peers ();
  send_hello (mem, fd, "another secret", PR_PROTOCOL_VERSION);
  CU_ASSERT_TRUE (wait_for_close (fd));
  CU_ASSERT_EQUAL (counter_value (PR_COUNTER_BAD_SECRET), 1);
  close (fd);
  stop_peers ();
  talloc_free (mem);
}

static void
test_wrong_version (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  int fd;

  start_peers ();
  fd = connect_to_peers ();
  send_hello (mem, fd, secret, PR_PROTOCOL_VERSION + 1);
  CU_ASSERT_TRUE (wait_for_close (fd));
  CU_ASSERT_EQUAL (counter_value (PR_COUNTER_BAD_VERSION), 1);
  close (fd);
  stop_peers ();
  talloc_free (mem);
}

/* A body that is no message, and a length that exceeds the maximum.  */
static void
test_bad_frames (void)
{
  static const uint8_t huge_length[] = { 0xff, 0xff, 0xff, 0xff };
  TALLOC_CTX *mem = talloc_new (NULL);
  int fd;

  start_peers ();
  fd = connect_to_peers ();
  send_hello (mem, fd, secret, PR_PROTOCOL_VERSION);
  send_frame (fd, ba_bytes_copy (mem, "\xc1garbage", 8));
  CU_ASSERT_TRUE (wait_for_close (fd));
  CU_ASSERT_EQUAL (counter_value (PR_COUNTER_BAD_FRAME), 1);
  close (fd);
  fd = connect_to_peers ();
  read_nonce (mem, fd);
  CU_ASSERT_EQUAL (write (fd, huge_length, sizeof huge_length),
                   (ssize_t)sizeof huge_length);
  CU_ASSERT_TRUE (wait_for_close (fd));
  CU_ASSERT_EQUAL (counter_value (PR_COUNTER_OVERSIZED), 1);
  close (fd);
  stop_peers ();
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "message of an authenticated peer is received",
            test_authenticated_peer },
          { "wrong secret closes the connection", test_wrong_secret },
          { "wrong version closes the connection", test_wrong_version },
          { "bad frames close the connection", test_bad_frames },
          { NULL, NULL } };

  return dp_test_main ("pr_peers", tests);
}
