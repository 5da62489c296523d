#include "pr_link.h"

#include "ba_address.h"
#include "ba_ring.h"
#include "pr_frame.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <tevent.h>
#include <unistd.h>

enum
{
  RING_CAPACITY = 8192,
  MAX_PENDING_BYTES = 32 * 1024 * 1024, /* unsent, of one connection */
  READ_SIZE = 64 * 1024,
  RECONNECT_MS = 200,
  SILENCE_MS
  = 1000, /* without acknowledgement, before a connection is closed */
  HEARTBEAT_MS = 200,
  BACKLOG = 64
};

enum command_type
{
  COMMAND_SEND,
  COMMAND_MEMBERS,
  COMMAND_IDENTITY,
  COMMAND_STOP
};

struct command
{
  enum command_type type;
  uint64_t to;
  struct ba_bytes frame;
  struct pr_member *members;
  uint32_t member_count;
};

/* A connection that this process opened, to one member.  */
struct out_peer
{
  struct pr_link *peers;
  struct out_peer *next;
  uint64_t incarnation;
  struct sockaddr_in address;
  int fd; /* -1: not connected */
  struct tevent_fd *event;
  struct tevent_timer *retry;
  bool ready; /* the hello has been queued */
  GByteArray *in;
  GByteArray *out;
  size_t out_at;
};

/* A connection that another process opened.  */
struct in_peer
{
  struct pr_link *peers;
  int fd;
  struct tevent_fd *event;
  bool known; /* its hello was good */
  uint64_t incarnation;
  uint8_t nonce[PR_NONCE_BYTES];
  GByteArray *in;
};

struct pr_link
{
  struct pr_link_options options;
  struct tevent_context *events;
  struct ba_ring *commands;
  struct out_peer *outs;
  int listener;
  bool stopping;
  struct ba_counter counters[PR_COUNTER_COUNT];
};

static const struct ba_counter counter_names[PR_COUNTER_COUNT] = {
  [PR_COUNTER_SENT] = { "dogwoodpulley_peer_messages_total",
                        "direction=\"sent\"", "Messages between entry hosts" },
  [PR_COUNTER_RECEIVED]
  = { "dogwoodpulley_peer_messages_total", "direction=\"received\"",
      "Messages between entry hosts" },
  [PR_COUNTER_SENT_BYTES]
  = { "dogwoodpulley_peer_bytes_total", "direction=\"sent\"",
      "Bytes of messages between entry hosts" },
  [PR_COUNTER_RECEIVED_BYTES]
  = { "dogwoodpulley_peer_bytes_total", "direction=\"received\"",
      "Bytes of messages between entry hosts" },
  [PR_COUNTER_DROPPED] = { "dogwoodpulley_peer_dropped_total", NULL,
                           "Messages that could not be sent" },
  [PR_COUNTER_BAD_FRAME]
  = { "dogwoodpulley_peer_closed_total", "reason=\"bad-frame\"",
      "Connections closed because of what the other side sent" },
  [PR_COUNTER_BAD_SECRET]
  = { "dogwoodpulley_peer_closed_total", "reason=\"bad-secret\"",
      "Connections closed because of what the other side sent" },
  [PR_COUNTER_BAD_VERSION]
  = { "dogwoodpulley_peer_closed_total", "reason=\"bad-version\"",
      "Connections closed because of what the other side sent" },
  [PR_COUNTER_OVERSIZED]
  = { "dogwoodpulley_peer_closed_total", "reason=\"oversized\"",
      "Connections closed because of what the other side sent" },
};

static void
count (struct pr_link *peers, enum pr_counter counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&peers->counters[counter].value, amount,
                             memory_order_relaxed);
}

/* Read what is there.  Return false when the connection has ended.  */
static bool
read_some (int fd, GByteArray *in)
{
  guint old = in->len;
  ssize_t got;

  g_byte_array_set_size (in, old + READ_SIZE);
  got = read (fd, in->data + old, READ_SIZE);
  g_byte_array_set_size (in, old + (got > 0 ? (guint)got : 0));
  if (got < 0)
    return errno == EAGAIN || errno == EINTR;
  return got > 0;
}

/* ---- connections to others ---- */

static void out_connect (struct out_peer *out);

static void
out_retry (struct tevent_context *events, struct tevent_timer *timer,
           struct timeval now, void *data)
{
  struct out_peer *out = data;

  (void)events;
  (void)timer;
  (void)now;
  out->retry = NULL;
  out_connect (out);
}

/* Close the connection, dropping what waits, and try again later.  */
static void
out_close (struct out_peer *out)
{
  TALLOC_FREE (out->event);
  if (out->fd >= 0)
    close (out->fd);
  out->fd = -1;
  out->ready = false;
  g_byte_array_set_size (out->in, 0);
  g_byte_array_set_size (out->out, 0);
  out->out_at = 0;
  if (out->retry == NULL)
    out->retry = tevent_add_timer (
        out->peers->events, out,
        tevent_timeval_current_ofs (0, RECONNECT_MS * 1000), out_retry, out);
}

static void
out_write (struct out_peer *out)
{
  while (out->out_at < out->out->len)
    {
      ssize_t sent = send (out->fd, out->out->data + out->out_at,
                           out->out->len - out->out_at, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        break;
      if (sent < 0)
        {
          out_close (out);
          return;
        }
      out->out_at += (size_t)sent;
    }
  if (out->out_at == out->out->len)
    {
      g_byte_array_set_size (out->out, 0);
      out->out_at = 0;
      TEVENT_FD_NOT_WRITEABLE (out->event);
    }
  else
    TEVENT_FD_WRITEABLE (out->event);
}

/* Answer the other side's challenge.  */
static bool
out_hello (struct out_peer *out)
{
  TALLOC_CTX *scratch = talloc_new (out);
  struct pr_challenge challenge;
  struct pr_hello hello = { .version = PR_PROTOCOL_VERSION };
  struct ba_bytes body;
  enum pr_frame_status status
      = pr_frame_parse (out->in, 0, PR_MAX_HELLO_BYTES, &body);
  bool good = status != PR_FRAME_TOO_LARGE;

  if (status == PR_FRAME_COMPLETE)
    {
      good = pr_challenge_decode (scratch, body, &challenge)
             && challenge.version == PR_PROTOCOL_VERSION;
      if (good)
        {
          hello.incarnation = out->peers->options.incarnation;
          hello.digest
              = pr_compute_digest (scratch, out->peers->options.secret,
                                   challenge.nonce, hello.incarnation);
          pr_frame_append (out->out, pr_hello_encode (scratch, &hello));
          out->ready = true;
        }
      else
        count (out->peers, PR_COUNTER_BAD_VERSION, 1);
    }
  talloc_free (scratch);
  return good;
}

static void
out_event (struct tevent_context *events, struct tevent_fd *event,
           uint16_t flags, void *data)
{
  struct out_peer *out = data;

  (void)events;
  (void)event;
  if (flags & TEVENT_FD_READ)
    {
      bool open = read_some (out->fd, out->in);

      /* After the hello the other side has nothing to say.  */
      if (!open || (out->ready && out->in->len > PR_MAX_HELLO_BYTES)
          || (!out->ready && !out_hello (out)))
        {
          out_close (out);
          return;
        }
    }
  if (out->out->len > 0 || (flags & TEVENT_FD_WRITE))
    out_write (out);
}

static void
out_connect (struct out_peer *out)
{
  int one = 1;
  unsigned silence = SILENCE_MS;

  out->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (out->fd < 0)
    {
      out_close (out);
      return;
    }
  setsockopt (out->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  /* A connection may go silent without a reset.  */
  setsockopt (out->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence,
              sizeof silence);
  if (connect (out->fd, (struct sockaddr *)&out->address, sizeof out->address)
          < 0
      && errno != EINPROGRESS)
    {
      out_close (out);
      return;
    }
  out->event = tevent_add_fd (out->peers->events, out, out->fd, TEVENT_FD_READ,
                              out_event, out);
}

static int
out_destroy (struct out_peer *out)
{
  TALLOC_FREE (out->event);
  if (out->fd >= 0)
    close (out->fd);
  g_byte_array_free (out->in, TRUE);
  g_byte_array_free (out->out, TRUE);
  return 0;
}

static struct out_peer *
out_find (struct pr_link *peers, uint64_t incarnation)
{
  for (struct out_peer *out = peers->outs; out != NULL; out = out->next)
    if (out->incarnation == incarnation)
      return out;
  return NULL;
}

static void
out_add (struct pr_link *peers, const struct pr_member *member)
{
  struct sockaddr_in address;
  struct out_peer *out;

  if (!ba_address_parse (member->address, &address))
    return;
  out = talloc_zero (peers, struct out_peer);
  out->peers = peers;
  out->incarnation = member->incarnation;
  out->address = address;
  out->fd = -1;
  out->in = g_byte_array_new ();
  out->out = g_byte_array_new ();
  out->next = peers->outs;
  peers->outs = out;
  talloc_set_destructor (out, out_destroy);
  out_connect (out);
}

static bool
is_member (const struct command *command, uint64_t incarnation)
{
  for (uint32_t i = 0; i < command->member_count; i++)
    if (command->members[i].incarnation == incarnation)
      return true;
  return false;
}

/* Close connections to those who are not members and open missing ones.  */
static void
take_members (struct pr_link *peers, const struct command *command)
{
  struct out_peer **link = &peers->outs;

  while (*link != NULL)
    {
      struct out_peer *out = *link;

      if (is_member (command, out->incarnation))
        link = &out->next;
      else
        {
          *link = out->next;
          talloc_free (out);
        }
    }
  for (uint32_t i = 0; i < command->member_count; i++)
    if (command->members[i].incarnation != peers->options.incarnation
        && out_find (peers, command->members[i].incarnation) == NULL)
      out_add (peers, &command->members[i]);
}

static void
take_send (struct pr_link *peers, const struct command *command)
{
  struct out_peer *out = out_find (peers, command->to);

  if (out == NULL || !out->ready || out->out->len > MAX_PENDING_BYTES)
    {
      count (peers, PR_COUNTER_DROPPED, 1);
      return;
    }
  pr_frame_append (out->out, command->frame);
  count (peers, PR_COUNTER_SENT, 1);
  count (peers, PR_COUNTER_SENT_BYTES,
         command->frame.len + PR_FRAME_HEADER_BYTES);
  out_write (out);
}

/* ---- connections of others ---- */

static int
in_destroy (struct in_peer *in)
{
  TALLOC_FREE (in->event);
  close (in->fd);
  g_byte_array_free (in->in, TRUE);
  return 0;
}

static void
in_close (struct in_peer *in, enum pr_counter reason)
{
  if (reason != PR_COUNTER_COUNT)
    count (in->peers, reason, 1);
  talloc_free (in);
}

/* Take the hello.  Return PR_COUNTER_COUNT, or the reason to close.  */
static enum pr_counter
in_hello (struct in_peer *in, struct ba_bytes body)
{
  TALLOC_CTX *scratch = talloc_new (in);
  struct ba_bytes nonce = { in->nonce, sizeof in->nonce };
  struct pr_hello hello;
  enum pr_counter reason = PR_COUNTER_COUNT;

  if (!pr_hello_decode (scratch, body, &hello))
    reason = PR_COUNTER_BAD_FRAME;
  else if (hello.version != PR_PROTOCOL_VERSION)
    reason = PR_COUNTER_BAD_VERSION;
  else if (!ba_bytes_equal (hello.digest,
                            pr_compute_digest (scratch,
                                               in->peers->options.secret,
                                               nonce, hello.incarnation)))
    reason = PR_COUNTER_BAD_SECRET;
  else
    {
      in->known = true;
      in->incarnation = hello.incarnation;
    }
  talloc_free (scratch);
  return reason;
}

static bool
in_message (struct in_peer *in, struct ba_bytes body)
{
  const struct pr_link_options *options = &in->peers->options;
  enum pr_receive_result taken
      = options->on_message (options->context, in->incarnation, body);

  if (taken == PR_RECEIVE_MALFORMED)
    return false;
  count (in->peers, PR_COUNTER_RECEIVED, 1);
  count (in->peers, PR_COUNTER_RECEIVED_BYTES,
         body.len + PR_FRAME_HEADER_BYTES);
  if (taken == PR_RECEIVE_QUEUE_FULL)
    count (in->peers, PR_COUNTER_DROPPED, 1);
  return true;
}

/* Take the whole frames.  Return PR_COUNTER_COUNT, or the reason to close. */
static enum pr_counter
in_frames (struct in_peer *in)
{
  size_t at = 0;
  enum pr_counter reason = PR_COUNTER_COUNT;

  while (reason == PR_COUNTER_COUNT)
    {
      struct ba_bytes body;
      size_t maximum = in->known ? PR_MAX_FRAME_BYTES : PR_MAX_HELLO_BYTES;
      enum pr_frame_status status
          = pr_frame_parse (in->in, at, maximum, &body);

      if (status == PR_FRAME_INCOMPLETE)
        break;
      if (status == PR_FRAME_TOO_LARGE)
        return PR_COUNTER_OVERSIZED;
      at += PR_FRAME_HEADER_BYTES + body.len;
      if (!in->known)
        reason = in_hello (in, body);
      else if (!in_message (in, body))
        reason = PR_COUNTER_BAD_FRAME;
    }
  if (at > 0)
    g_byte_array_remove_range (in->in, 0, (guint)at);
  return reason;
}

static void
in_event (struct tevent_context *events, struct tevent_fd *event,
          uint16_t flags, void *data)
{
  struct in_peer *in = data;
  enum pr_counter reason;

  (void)events;
  (void)event;
  (void)flags;
  if (!read_some (in->fd, in->in))
    {
      in_close (in, PR_COUNTER_COUNT);
      return;
    }
  reason = in_frames (in);
  if (reason != PR_COUNTER_COUNT)
    in_close (in, reason);
}

static void
accept_event (struct tevent_context *events, struct tevent_fd *event,
              uint16_t flags, void *data)
{
  struct pr_link *peers = data;
  int fd = accept4 (peers->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct pr_challenge challenge = { .version = PR_PROTOCOL_VERSION };
  struct in_peer *in;
  GByteArray *frame;
  int one = 1;

  (void)event;
  (void)flags;
  if (fd < 0)
    return;
  in = talloc_zero (peers, struct in_peer);
  in->peers = peers;
  in->fd = fd;
  in->in = g_byte_array_new ();
  talloc_set_destructor (in, in_destroy);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  in->event = tevent_add_fd (events, in, fd, TEVENT_FD_READ, in_event, in);
  if (getrandom (in->nonce, sizeof in->nonce, 0) != sizeof in->nonce)
    {
      in_close (in, PR_COUNTER_COUNT);
      return;
    }
  challenge.nonce.data = in->nonce;
  challenge.nonce.len = sizeof in->nonce;
  frame = g_byte_array_new ();
  pr_frame_append (frame, pr_challenge_encode (in, &challenge));
  /* A new connection's buffer has room for so few bytes.  */
  if (send (fd, frame->data, frame->len, MSG_NOSIGNAL) != (ssize_t)frame->len)
    in_close (in, PR_COUNTER_COUNT);
  g_byte_array_free (frame, TRUE);
}

/* ---- commands ---- */

static void
take_identity (struct pr_link *peers, uint64_t incarnation)
{
  peers->options.incarnation = incarnation;
  /* The hello names the incarnation: say it anew.  */
  for (struct out_peer *out = peers->outs; out != NULL; out = out->next)
    out_close (out);
}

static void
command_event (struct tevent_context *events, struct tevent_fd *event,
               uint16_t flags, void *data)
{
  struct pr_link *peers = data;
  struct command *command;

  (void)events;
  (void)event;
  (void)flags;
  ba_ring_reset_fd (peers->commands);
  while ((command = ba_ring_pop (peers->commands)) != NULL)
    {
      switch (command->type)
        {
        case COMMAND_SEND:
          take_send (peers, command);
          break;
        case COMMAND_MEMBERS:
          take_members (peers, command);
          break;
        case COMMAND_IDENTITY:
          take_identity (peers, command->to);
          break;
        case COMMAND_STOP:
          peers->stopping = true;
          break;
        }
      talloc_free (command);
    }
}

static void
push (struct pr_link *peers, struct command *command)
{
  if (ba_ring_push (peers->commands, command))
    return;
  count (peers, PR_COUNTER_DROPPED, 1);
  talloc_free (command);
}

void
pr_link_send (struct pr_link *peers, uint64_t to, struct ba_bytes message)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->type = COMMAND_SEND;
  command->to = to;
  command->frame = ba_bytes_copy (command, message.data, message.len);
  push (peers, command);
}

void
pr_link_set_members (struct pr_link *peers, const struct pr_member *members,
                     uint32_t count)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->type = COMMAND_MEMBERS;
  command->members = talloc_array (command, struct pr_member, count + 1);
  command->member_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      command->members[i].incarnation = members[i].incarnation;
      command->members[i].address
          = talloc_strdup (command->members, members[i].address);
    }
  push (peers, command);
}

void
pr_link_set_incarnation (struct pr_link *peers, uint64_t incarnation)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->type = COMMAND_IDENTITY;
  command->to = incarnation;
  push (peers, command);
}

void
pr_link_stop (struct pr_link *peers)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->type = COMMAND_STOP;
  push (peers, command);
}

struct beat
{
  struct pr_link *peers;
  void (*heartbeat) (void *);
  void *context;
};

static void
beat_event (struct tevent_context *events, struct tevent_timer *timer,
            struct timeval now, void *data)
{
  struct beat *beat = data;

  (void)timer;
  (void)now;
  beat->heartbeat (beat->context);
  tevent_add_timer (events, beat->peers,
                    tevent_timeval_current_ofs (0, HEARTBEAT_MS * 1000),
                    beat_event, beat);
}

void
pr_link_run (struct pr_link *peers, void (*heartbeat) (void *), void *context)
{
  struct beat beat = { peers, heartbeat, context };

  tevent_add_timer (peers->events, peers, tevent_timeval_current (),
                    beat_event, &beat);
  while (!peers->stopping)
    tevent_loop_once (peers->events);
}

struct ba_counter *
pr_link_counters (struct pr_link *peers)
{
  return peers->counters;
}

static int
peers_destroy (struct pr_link *peers)
{
  if (peers->listener >= 0)
    close (peers->listener);
  return 0;
}

static bool
start_listening (struct pr_link *peers)
{
  struct sockaddr_in address;
  int one = 1;

  peers->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (peers->listener < 0
      || !ba_address_parse (peers->options.address, &address))
    return false;
  setsockopt (peers->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return bind (peers->listener, (struct sockaddr *)&address, sizeof address)
             == 0
         && listen (peers->listener, BACKLOG) == 0;
}

struct pr_link *
pr_link_new (TALLOC_CTX *mem, const struct pr_link_options *options,
             GError **error)
{
  struct pr_link *peers = talloc_zero (mem, struct pr_link);

  peers->options = *options;
  for (int i = 0; i < PR_COUNTER_COUNT; i++)
    {
      peers->counters[i].name = counter_names[i].name;
      peers->counters[i].labels = counter_names[i].labels;
      peers->counters[i].help = counter_names[i].help;
    }
  talloc_set_destructor (peers, peers_destroy);
  if (!start_listening (peers))
    {
      g_set_error (error, BA_ERROR, BA_ERROR_IO,
                   "can't listen for peers on %s: %s", options->address,
                   g_strerror (errno));
      talloc_free (peers);
      return NULL;
    }
  peers->commands = ba_ring_new (peers, RING_CAPACITY);
  peers->events = tevent_context_init (peers);
  tevent_add_fd (peers->events, peers, peers->listener, TEVENT_FD_READ,
                 accept_event, peers);
  tevent_add_fd (peers->events, peers, ba_ring_fd (peers->commands),
                 TEVENT_FD_READ, command_event, peers);
  return peers;
}
