#include "pr_peers.h"

#include "dp_test.h"
#include "pr_frame.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Tests of the peers of one process, which run on a thread of their own.  The
   other side is a raw socket.  */

static const char address[] = "127.0.0.1:39471";
static const char secret[] = "the secret";
static struct pr_peers *peers;
static GThread *thread;
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
  thread = g_thread_new ("peers", run_peers, peers);
}

static void
stop_peers (void)
{
  pr_peers_stop (peers);
  g_thread_join (thread);
  talloc_free (peers);
}

static int
connect_raw (void)
{
  struct sockaddr_in in = { .sin_family = AF_INET, .sin_port = htons (39471) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, "127.0.0.1", &in.sin_addr);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&in, sizeof in), 0);
  return fd;
}

/* Read the challenge from FD and return its nonce, owned by MEM.  */
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

/* Wait for the other side.  Return whether it closes the connection.  */
static bool
is_closed (int fd)
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
test_good_peer (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  int fd;

  start_peers ();
  fd = connect_raw ();
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
  fd = connect_raw ();
  send_hello (mem, fd, "another secret", PR_PROTOCOL_VERSION);
  CU_ASSERT_TRUE (is_closed (fd));
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
  fd = connect_raw ();
  send_hello (mem, fd, secret, PR_PROTOCOL_VERSION + 1);
  CU_ASSERT_TRUE (is_closed (fd));
  CU_ASSERT_EQUAL (counter_value (PR_COUNTER_BAD_VERSION), 1);
  close (fd);
  stop_peers ();
  talloc_free (mem);
}

static void
test_bad_frames (void)
{
  static const uint8_t huge[] = { 0xff, 0xff, 0xff, 0xff };
  TALLOC_CTX *mem = talloc_new (NULL);
  int fd;

  start_peers ();
  fd = connect_raw ();
  send_hello (mem, fd, secret, PR_PROTOCOL_VERSION);
  send_frame (fd, ba_bytes_copy (mem, "\xc1garbage", 8));
  CU_ASSERT_TRUE (is_closed (fd));
  CU_ASSERT_EQUAL (counter_value (PR_COUNTER_BAD_FRAME), 1);
  close (fd);
  fd = connect_raw ();
  read_nonce (mem, fd);
  CU_ASSERT_EQUAL (write (fd, huge, sizeof huge), (ssize_t)sizeof huge);
  CU_ASSERT_TRUE (is_closed (fd));
  CU_ASSERT_EQUAL (counter_value (PR_COUNTER_OVERSIZED), 1);
  close (fd);
  stop_peers ();
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "good peer", test_good_peer },
          { "wrong secret", test_wrong_secret },
          { "wrong version", test_wrong_version },
          { "bad frames", test_bad_frames },
          { NULL, NULL } };

  return dp_test_main ("pr_peers", tests);
}
