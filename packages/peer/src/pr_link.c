#include "pr_link.h"

#include "ba_address.h"
#include "ba_ring.h"
#include "pr_frame.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <tevent.h>
#include <unistd.h>

enum
{
  COMMAND_RING_CAPACITY = 8192,
  /* A message is dropped if it would make a send buffer that is not empty
     larger than this.  The part that was already sent counts, until the buffer
     is empty.  */
  MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024,
  /* The same for the send buffers of all connections together.  Messages up to
     the second size are not held back by what waits for others.  */
  MAX_BUFFERED_BYTES = 32 * 1024 * 1024,
  SMALL_MESSAGE_BYTES = 64 * 1024,
  READ_CHUNK_BYTES = 64 * 1024,
  RECONNECT_DELAY_MS = 200,
  UNACKED_TIMEOUT_MS = 1000, /* a connection is closed if sent data is not
                                acknowledged in this time */
  HEARTBEAT_CALL_INTERVAL_MS = 200,
  LISTEN_BACKLOG_COUNT = 64
};

/* Stands for no counter where the counter of a closed connection is expected:
   the connection stays open, or its end is not counted.  */
#define NO_COUNTER PR_COUNTER_COUNT

enum command_type
{
  COMMAND_SEND,
  COMMAND_SET_MEMBERS,
  COMMAND_SET_INCARNATION,
  COMMAND_STOP
};

/* A call from another thread, for the link's own thread.  */
struct command
{
  enum command_type type;
  /* SEND: incarnation of the recipient; SET_INCARNATION: the new one.  */
  uint64_t incarnation;
  struct ba_bytes body;      /* SEND */
  struct pr_member *members; /* SET_MEMBERS */
  uint32_t member_count;
};

/* A connection that this process opens to a member, to send messages.  */
struct out_connection
{
  struct pr_link *link;
  struct out_connection *next;
  uint64_t incarnation; /* of the member */
  struct sockaddr_in address;
  int fd; /* -1: not connected */
  struct tevent_fd *event;
  struct tevent_timer *reconnect_timer; /* or NULL */
  /* The hello was appended to `send_buffer'; messages may follow.  */
  bool hello_queued;
  GByteArray *received; /* bytes not yet parsed */
  GByteArray *send_buffer;
  size_t sent_bytes; /* at the start of `send_buffer' */
};

/* A connection that another process opened, to receive its messages.  */
struct in_connection
{
  struct pr_link *link;
  int fd;
  struct tevent_fd *event;
  uint64_t addressee;            /* incarnation that the challenge named */
  bool authenticated;            /* the hello was accepted */
  uint64_t incarnation;          /* of the other process, when authenticated */
  uint8_t nonce[PR_NONCE_BYTES]; /* sent in the challenge */
  GByteArray *received;          /* bytes not yet parsed */
};

struct pr_link
{
  struct pr_link_options options;
  struct tevent_context *events;
  struct ba_ring *commands;
  struct out_connection *out_connections;
  int listener;
  bool stopping;
  _Atomic size_t buffered_bytes; /* in the send buffers of all connections */
  struct ba_counter counters[PR_COUNTER_COUNT];
};

static const struct ba_counter counter_infos[PR_COUNTER_COUNT] = {
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
  [PR_COUNTER_FORMER_PROCESS]
  = { "dogwoodpulley_peer_closed_total", "reason=\"former-process\"",
      "Connections closed because of what the other side sent" },
};

static void
add_to_counter (struct pr_link *link, enum pr_counter counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&link->counters[counter].value, amount,
                             memory_order_relaxed);
}

/* Append to IN the bytes that can be read from FD, at most READ_CHUNK_BYTES.
   Return false if the connection has ended or failed.  */
static bool
read_available (int fd, GByteArray *in)
{
  guint old_len = in->len;
  ssize_t read_len;

  g_byte_array_set_size (in, old_len + READ_CHUNK_BYTES);
  read_len = read (fd, in->data + old_len, READ_CHUNK_BYTES);
  g_byte_array_set_size (in, old_len + (read_len > 0 ? (guint)read_len : 0));
  if (read_len < 0)
    return errno == EAGAIN || errno == EINTR;
  return read_len > 0;
}

/* ---- connections to other processes ---- */

static void out_connect (struct out_connection *out);

static void
out_retry (struct tevent_context *events, struct tevent_timer *timer,
           struct timeval now, void *data)
{
  struct out_connection *out = data;

  (void)events;
  (void)timer;
  (void)now;
  out->reconnect_timer = NULL;
  out_connect (out);
}

static void
clear_send_buffer (struct out_connection *out)
{
  atomic_fetch_sub (&out->link->buffered_bytes, out->send_buffer->len);
  g_byte_array_set_size (out->send_buffer, 0);
  out->sent_bytes = 0;
}

static void
append_frame (struct out_connection *out, struct ba_bytes body)
{
  guint old_len = out->send_buffer->len;

  pr_frame_append (out->send_buffer, body);
  atomic_fetch_add (&out->link->buffered_bytes,
                    out->send_buffer->len - old_len);
}

/* Close the connection, drop its unsent data, and connect again after
   RECONNECT_DELAY_MS.  */
static void
out_close (struct out_connection *out)
{
  TALLOC_FREE (out->event);
  if (out->fd >= 0)
    close (out->fd);
  out->fd = -1;
  out->hello_queued = false;
  g_byte_array_set_size (out->received, 0);
  clear_send_buffer (out);
  if (out->reconnect_timer == NULL)
    out->reconnect_timer = tevent_add_timer (
        out->link->events, out,
        tevent_timeval_current_ofs (0, RECONNECT_DELAY_MS * 1000), out_retry,
        out);
}

/* Send as much of the send buffer as the socket takes.  Continue when the
   socket becomes writable, or close the connection on an error.  */
static void
out_write (struct out_connection *out)
{
  while (out->sent_bytes < out->send_buffer->len)
    {
      ssize_t sent
          = send (out->fd, out->send_buffer->data + out->sent_bytes,
                  out->send_buffer->len - out->sent_bytes, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        break;
      if (sent < 0)
        {
          out_close (out);
          return;
        }
      out->sent_bytes += (size_t)sent;
    }
  if (out->sent_bytes == out->send_buffer->len)
    {
      clear_send_buffer (out);
      TEVENT_FD_NOT_WRITEABLE (out->event);
    }
  else
    TEVENT_FD_WRITEABLE (out->event);
}

/* If the challenge of the other side has arrived completely, answer it with a
   hello.  Return false if the challenge is not valid, or if it is not the
   member's: another process runs at its address now.  */
static bool
out_answer_challenge (struct out_connection *out)
{
  TALLOC_CTX *scratch = talloc_new (out);
  struct pr_challenge challenge;
  struct pr_hello hello = { .version = PR_PROTOCOL_VERSION };
  struct ba_bytes body;
  enum pr_frame_status status
      = pr_frame_parse (out->received, 0, PR_MAX_HELLO_BYTES, &body);
  bool is_valid = status != PR_FRAME_TOO_LARGE;

  if (status == PR_FRAME_COMPLETE)
    {
      is_valid = pr_challenge_decode (scratch, body, &challenge)
                 && challenge.version == PR_PROTOCOL_VERSION;
      if (!is_valid)
        add_to_counter (out->link, PR_COUNTER_BAD_VERSION, 1);
      else if (!pr_nonce_may_be_of (challenge.nonce, out->incarnation))
        {
          add_to_counter (out->link, PR_COUNTER_FORMER_PROCESS, 1);
          is_valid = false;
        }
      else
        {
          hello.incarnation = out->link->options.incarnation;
          hello.digest
              = pr_compute_digest (scratch, out->link->options.secret,
                                   challenge.nonce, hello.incarnation);
          append_frame (out, pr_hello_encode (scratch, &hello));
          out->hello_queued = true;
        }
    }
  talloc_free (scratch);
  return is_valid;
}

static void
out_event (struct tevent_context *events, struct tevent_fd *event,
           uint16_t flags, void *data)
{
  struct out_connection *out = data;

  (void)events;
  (void)event;
  if (flags & TEVENT_FD_READ)
    {
      bool open = read_available (out->fd, out->received);

      /* The other side has nothing to send after its challenge.  The
         connection is closed when all that it has sent exceeds
         PR_MAX_HELLO_BYTES.  */
      if (!open
          || (out->hello_queued && out->received->len > PR_MAX_HELLO_BYTES)
          || (!out->hello_queued && !out_answer_challenge (out)))
        {
          out_close (out);
          return;
        }
    }
  if (out->send_buffer->len > 0 || (flags & TEVENT_FD_WRITE))
    out_write (out);
}

static void
out_connect (struct out_connection *out)
{
  int one = 1;
  unsigned timeout_ms = UNACKED_TIMEOUT_MS;

  out->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (out->fd < 0)
    {
      out_close (out);
      return;
    }
  setsockopt (out->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  /* A host that has lost its network sends no reset, so close the connection
     when it no longer acknowledges data.  */
  setsockopt (out->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
  if (connect (out->fd, (struct sockaddr *)&out->address, sizeof out->address)
          < 0
      && errno != EINPROGRESS)
    {
      out_close (out);
      return;
    }
  out->event = tevent_add_fd (out->link->events, out, out->fd, TEVENT_FD_READ,
                              out_event, out);
}

static int
out_destroy (struct out_connection *out)
{
  TALLOC_FREE (out->event);
  if (out->fd >= 0)
    close (out->fd);
  clear_send_buffer (out);
  g_byte_array_free (out->received, TRUE);
  g_byte_array_free (out->send_buffer, TRUE);
  return 0;
}

static struct out_connection *
out_find (struct pr_link *link, uint64_t incarnation)
{
  for (struct out_connection *out = link->out_connections; out != NULL;
       out = out->next)
    if (out->incarnation == incarnation)
      return out;
  return NULL;
}

static void
out_add (struct pr_link *link, const struct pr_member *member)
{
  struct sockaddr_in address;
  struct out_connection *out;

  if (!ba_address_parse (member->address, &address))
    return;
  out = talloc_zero (link, struct out_connection);
  out->link = link;
  out->incarnation = member->incarnation;
  out->address = address;
  out->fd = -1;
  out->received = g_byte_array_new ();
  out->send_buffer = g_byte_array_new ();
  out->next = link->out_connections;
  link->out_connections = out;
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

/* Close the connections to processes that are no longer members, and open
   connections to new members.  */
static void
handle_set_members (struct pr_link *link, const struct command *command)
{
  struct out_connection **entry = &link->out_connections;

  while (*entry != NULL)
    {
      struct out_connection *out = *entry;

      if (is_member (command, out->incarnation))
        entry = &out->next;
      else
        {
          *entry = out->next;
          talloc_free (out);
        }
    }
  for (uint32_t i = 0; i < command->member_count; i++)
    if (command->members[i].incarnation != link->options.incarnation
        && out_find (link, command->members[i].incarnation) == NULL)
      out_add (link, &command->members[i]);
}

/* Return whether a message of LEN bytes may wait for OUT.  */
static bool
has_room (const struct out_connection *out, size_t len)
{
  size_t own = out->send_buffer->len;

  if (own > 0 && own + len > MAX_SEND_BUFFER_BYTES)
    return false;
  return len <= SMALL_MESSAGE_BYTES
         || atomic_load (&out->link->buffered_bytes) + len
                <= MAX_BUFFERED_BYTES;
}

static void
handle_send (struct pr_link *link, const struct command *command)
{
  struct out_connection *out = out_find (link, command->incarnation);

  if (out == NULL || !out->hello_queued || !has_room (out, command->body.len))
    {
      add_to_counter (link, PR_COUNTER_DROPPED, 1);
      return;
    }
  append_frame (out, command->body);
  add_to_counter (link, PR_COUNTER_SENT, 1);
  add_to_counter (link, PR_COUNTER_SENT_BYTES,
                  command->body.len + PR_FRAME_HEADER_BYTES);
  out_write (out);
}

/* ---- connections from other processes ---- */

static int
in_destroy (struct in_connection *in)
{
  TALLOC_FREE (in->event);
  close (in->fd);
  g_byte_array_free (in->received, TRUE);
  return 0;
}

/* Close IN and free it.  REASON is the counter to increment, or NO_COUNTER. */
static void
in_close (struct in_connection *in, enum pr_counter reason)
{
  if (reason != NO_COUNTER)
    add_to_counter (in->link, reason, 1);
  talloc_free (in);
}

/* Check the hello in BODY.  Return NO_COUNTER if it is accepted, else the
   counter of the reason for which the connection must be closed.  */
static enum pr_counter
in_handle_hello (struct in_connection *in, struct ba_bytes body)
{
  TALLOC_CTX *scratch = talloc_new (in);
  struct ba_bytes nonce = { in->nonce, sizeof in->nonce };
  struct pr_hello hello;
  enum pr_counter reason = NO_COUNTER;

  if (!pr_hello_decode (scratch, body, &hello))
    reason = PR_COUNTER_BAD_FRAME;
  else if (hello.version != PR_PROTOCOL_VERSION)
    reason = PR_COUNTER_BAD_VERSION;
  else if (!ba_bytes_equal (hello.digest,
                            pr_compute_digest (scratch,
                                               in->link->options.secret, nonce,
                                               hello.incarnation)))
    reason = PR_COUNTER_BAD_SECRET;
  else
    {
      in->authenticated = true;
      in->incarnation = hello.incarnation;
    }
  talloc_free (scratch);
  return reason;
}

/* Pass the message in BODY to the receiver.  Return false if the connection
   must be closed because BODY is malformed.  */
static bool
in_handle_message (struct in_connection *in, struct ba_bytes body)
{
  const struct pr_link_options *options = &in->link->options;
  enum pr_receive_result result
      = options->on_message (options->context, in->incarnation, body);

  if (result == PR_RECEIVE_MALFORMED)
    return false;
  add_to_counter (in->link, PR_COUNTER_RECEIVED, 1);
  add_to_counter (in->link, PR_COUNTER_RECEIVED_BYTES,
                  body.len + PR_FRAME_HEADER_BYTES);
  if (result == PR_RECEIVE_QUEUE_FULL)
    add_to_counter (in->link, PR_COUNTER_DROPPED, 1);
  return true;
}

/* Handle the complete frames that were received.  Return NO_COUNTER, or the
   counter of the reason for which the connection must be closed.  */
static enum pr_counter
in_handle_frames (struct in_connection *in)
{
  size_t offset = 0; /* of the next frame */
  enum pr_counter reason = NO_COUNTER;

  while (reason == NO_COUNTER)
    {
      struct ba_bytes body;
      size_t max_body_bytes
          = in->authenticated ? PR_MAX_MESSAGE_BYTES : PR_MAX_HELLO_BYTES;
      enum pr_frame_status status
          = pr_frame_parse (in->received, offset, max_body_bytes, &body);

      if (status == PR_FRAME_INCOMPLETE)
        break;
      if (status == PR_FRAME_TOO_LARGE)
        return PR_COUNTER_OVERSIZED;
      offset += PR_FRAME_HEADER_BYTES + body.len;
      if (!in->authenticated)
        reason = in_handle_hello (in, body);
      else if (!in_handle_message (in, body))
        reason = PR_COUNTER_BAD_FRAME;
    }
  if (offset > 0)
    g_byte_array_remove_range (in->received, 0, (guint)offset);
  return reason;
}

static void
in_event (struct tevent_context *events, struct tevent_fd *event,
          uint16_t flags, void *data)
{
  struct in_connection *in = data;
  enum pr_counter reason;

  (void)events;
  (void)event;
  (void)flags;
  if (!read_available (in->fd, in->received))
    {
      in_close (in, NO_COUNTER);
      return;
    }
  reason = in->addressee == in->link->options.incarnation
               ? in_handle_frames (in)
               : PR_COUNTER_FORMER_PROCESS;
  if (reason != NO_COUNTER)
    in_close (in, reason);
}

/* Accept a connection and send the challenge.  */
static void
accept_event (struct tevent_context *events, struct tevent_fd *event,
              uint16_t flags, void *data)
{
  struct pr_link *link = data;
  int fd = accept4 (link->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  struct pr_challenge challenge = { .version = PR_PROTOCOL_VERSION };
  struct in_connection *in;
  GByteArray *frame;
  int one = 1;

  (void)event;
  (void)flags;
  if (fd < 0)
    return;
  in = talloc_zero (link, struct in_connection);
  in->link = link;
  in->fd = fd;
  in->addressee = link->options.incarnation;
  in->received = g_byte_array_new ();
  talloc_set_destructor (in, in_destroy);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  in->event = tevent_add_fd (events, in, fd, TEVENT_FD_READ, in_event, in);
  if (!pr_nonce_init (in->nonce, in->addressee))
    {
      in_close (in, NO_COUNTER);
      return;
    }
  challenge.nonce.data = in->nonce;
  challenge.nonce.len = sizeof in->nonce;
  frame = g_byte_array_new ();
  pr_frame_append (frame, pr_challenge_encode (in, &challenge));
  /* The socket buffer of a new connection has room for the challenge.  */
  if (send (fd, frame->data, frame->len, MSG_NOSIGNAL) != (ssize_t)frame->len)
    in_close (in, NO_COUNTER);
  g_byte_array_free (frame, TRUE);
}

/* ---- commands ---- */

static void
handle_set_incarnation (struct pr_link *link, uint64_t incarnation)
{
  link->options.incarnation = incarnation;
  /* The incarnation is part of the hello, so every connection must be made
     anew.  */
  for (struct out_connection *out = link->out_connections; out != NULL;
       out = out->next)
    out_close (out);
}

static void
command_event (struct tevent_context *events, struct tevent_fd *event,
               uint16_t flags, void *data)
{
  struct pr_link *link = data;
  struct command *command;

  (void)events;
  (void)event;
  (void)flags;
  ba_ring_reset_fd (link->commands);
  while ((command = ba_ring_pop (link->commands)) != NULL)
    {
      switch (command->type)
        {
        case COMMAND_SEND:
          handle_send (link, command);
          break;
        case COMMAND_SET_MEMBERS:
          handle_set_members (link, command);
          break;
        case COMMAND_SET_INCARNATION:
          handle_set_incarnation (link, command->incarnation);
          break;
        case COMMAND_STOP:
          link->stopping = true;
          break;
        }
      talloc_free (command);
    }
}

static void
push_command (struct pr_link *link, struct command *command)
{
  if (ba_ring_push (link->commands, command))
    return;
  add_to_counter (link, PR_COUNTER_DROPPED, 1);
  talloc_free (command);
}

void
pr_link_send (struct pr_link *link, uint64_t to, struct ba_bytes message)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->type = COMMAND_SEND;
  command->incarnation = to;
  command->body = ba_bytes_copy (command, message.data, message.len);
  push_command (link, command);
}

void
pr_link_set_members (struct pr_link *link, const struct pr_member *members,
                     uint32_t count)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->type = COMMAND_SET_MEMBERS;
  command->members = talloc_array (command, struct pr_member, count + 1);
  command->member_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      command->members[i].incarnation = members[i].incarnation;
      command->members[i].address
          = talloc_strdup (command->members, members[i].address);
    }
  push_command (link, command);
}

void
pr_link_set_incarnation (struct pr_link *link, uint64_t incarnation)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->type = COMMAND_SET_INCARNATION;
  command->incarnation = incarnation;
  push_command (link, command);
}

void
pr_link_stop (struct pr_link *link)
{
  struct command *command = talloc_zero (NULL, struct command);

  command->type = COMMAND_STOP;
  push_command (link, command);
}

struct heartbeat_timer
{
  struct pr_link *link;
  void (*heartbeat) (void *);
  void *context;
};

/* Call the heartbeat function, and again after HEARTBEAT_CALL_INTERVAL_MS.  */
static void
heartbeat_event (struct tevent_context *events, struct tevent_timer *timer,
                 struct timeval now, void *data)
{
  struct heartbeat_timer *heartbeat_timer = data;

  (void)timer;
  (void)now;
  heartbeat_timer->heartbeat (heartbeat_timer->context);
  tevent_add_timer (
      events, heartbeat_timer->link,
      tevent_timeval_current_ofs (0, HEARTBEAT_CALL_INTERVAL_MS * 1000),
      heartbeat_event, heartbeat_timer);
}

void
pr_link_run (struct pr_link *link, void (*heartbeat) (void *), void *context)
{
  struct heartbeat_timer heartbeat_timer = { link, heartbeat, context };

  tevent_add_timer (link->events, link, tevent_timeval_current (),
                    heartbeat_event, &heartbeat_timer);
  while (!link->stopping)
    tevent_loop_once (link->events);
}

struct ba_counter *
pr_link_counters (struct pr_link *link)
{
  return link->counters;
}

size_t
pr_link_buffered_bytes (struct pr_link *link)
{
  return atomic_load (&link->buffered_bytes);
}

static int
link_destroy (struct pr_link *link)
{
  if (link->listener >= 0)
    close (link->listener);
  return 0;
}

static bool
start_listening (struct pr_link *link)
{
  struct sockaddr_in address;
  int one = 1;

  link->listener
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (link->listener < 0
      || !ba_address_parse (link->options.address, &address))
    return false;
  setsockopt (link->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  return bind (link->listener, (struct sockaddr *)&address, sizeof address)
             == 0
         && listen (link->listener, LISTEN_BACKLOG_COUNT) == 0;
}

struct pr_link *
pr_link_new (TALLOC_CTX *mem, const struct pr_link_options *options,
             GError **error)
{
  struct pr_link *link = talloc_zero (mem, struct pr_link);

  link->options = *options;
  for (int i = 0; i < PR_COUNTER_COUNT; i++)
    {
      link->counters[i].name = counter_infos[i].name;
      link->counters[i].labels = counter_infos[i].labels;
      link->counters[i].help = counter_infos[i].help;
    }
  talloc_set_destructor (link, link_destroy);
  if (!start_listening (link))
    {
      g_set_error (error, BA_ERROR, BA_ERROR_IO,
                   "can't listen for peers on %s: %s", options->address,
                   g_strerror (errno));
      talloc_free (link);
      return NULL;
    }
  link->commands = ba_ring_new (link, COMMAND_RING_CAPACITY);
  link->events = tevent_context_init (link);
  tevent_add_fd (link->events, link, link->listener, TEVENT_FD_READ,
                 accept_event, link);
  tevent_add_fd (link->events, link, ba_ring_fd (link->commands),
                 TEVENT_FD_READ, command_event, link);
  return link;
}
