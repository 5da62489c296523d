#include "pr_peers.h"

struct pr_peers
{
  struct pr_peers_options options;
  struct pr_link *link;
};

static enum pr_receive_result
receive_message (void *context, uint64_t from, struct ba_bytes body)
{
  struct pr_peers *peers = context;
  struct co_event *event = talloc_zero (NULL, struct co_event);
  struct ba_codec io;
  bool is_valid;

  event->type = CO_EVENT_PEER_MESSAGE;
  event->u.peer_message.sender = from;
  ba_codec_init_reader (&io, event, body);
  co_msg_serialize (&io, &event->u.peer_message.message);
  is_valid = ba_codec_is_complete (&io);
  if (is_valid && peers->options.on_event (peers->options.context, event))
    return PR_RECEIVE_ACCEPTED;
  talloc_free (event);
  return is_valid ? PR_RECEIVE_QUEUE_FULL : PR_RECEIVE_MALFORMED;
}

struct pr_peers *
pr_peers_new (TALLOC_CTX *mem, const struct pr_peers_options *options,
              GError **error)
{
  struct pr_peers *peers = talloc_zero (mem, struct pr_peers);
  struct pr_link_options link = { .address = options->address,
                                  .secret = options->secret,
                                  .incarnation = options->incarnation,
                                  .on_message = receive_message,
                                  .context = peers };

  peers->options = *options;
  peers->link = pr_link_new (peers, &link, error);
  if (peers->link == NULL)
    TALLOC_FREE (peers);
  return peers;
}

void
pr_peers_send (struct pr_peers *peers, uint64_t to,
               const struct co_msg *message)
{
  struct co_msg copy = *message;
  TALLOC_CTX *scratch = talloc_new (NULL);

  pr_link_send (peers->link, to,
                ba_codec_encode (scratch, co_msg_serialize, &copy));
  talloc_free (scratch);
}

void
pr_peers_set_view (struct pr_peers *peers, const struct co_view *view)
{
  struct pr_member *members
      = talloc_array (NULL, struct pr_member, view->member_count + 1);

  for (uint32_t i = 0; i < view->member_count; i++)
    {
      members[i].incarnation = view->members[i].incarnation;
      members[i].address = view->members[i].peer_address;
    }
  pr_link_set_members (peers->link, members, view->member_count);
  talloc_free (members);
}

void
pr_peers_set_incarnation (struct pr_peers *peers, uint64_t incarnation)
{
  pr_link_set_incarnation (peers->link, incarnation);
}

void
pr_peers_run (struct pr_peers *peers, void (*heartbeat) (void *),
              void *context)
{
  pr_link_run (peers->link, heartbeat, context);
}

void
pr_peers_stop (struct pr_peers *peers)
{
  pr_link_stop (peers->link);
}

struct ba_counter *
pr_peers_counters (struct pr_peers *peers)
{
  return pr_link_counters (peers->link);
}
