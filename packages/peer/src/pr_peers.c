#include "pr_peers.h"

struct pr_peers
{
  struct pr_options options;
  struct pr_link *link;
};

static enum pr_taken
take_message (void *context, uint64_t from, struct ba_bytes body)
{
  struct pr_peers *peers = context;
  struct co_event *event = talloc_zero (NULL, struct co_event);
  struct ba_io io;
  bool whole;

  event->type = CO_EVENT_PEER;
  event->u.peer.from = from;
  ba_io_reader (&io, event, body);
  co_msg_code (&io, &event->u.peer.message);
  whole = ba_io_ended (&io);
  if (whole && peers->options.emit (peers->options.context, event))
    return PR_TAKEN;
  talloc_free (event);
  return whole ? PR_FULL : PR_MALFORMED;
}

struct pr_peers *
pr_peers_new (TALLOC_CTX *mem, const struct pr_options *options,
              GError **error)
{
  struct pr_peers *peers = talloc_zero (mem, struct pr_peers);
  struct pr_link_options link = { .address = options->address,
                                  .secret = options->secret,
                                  .incarnation = options->incarnation,
                                  .emit = take_message,
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

  pr_link_send (peers->link, to, ba_io_encode (scratch, co_msg_code, &copy));
  talloc_free (scratch);
}

void
pr_peers_view (struct pr_peers *peers, const struct co_view *view)
{
  struct pr_member *members
      = talloc_array (NULL, struct pr_member, view->member_count + 1);

  for (uint32_t i = 0; i < view->member_count; i++)
    {
      members[i].incarnation = view->members[i].incarnation;
      members[i].address = view->members[i].peer_address;
    }
  pr_link_members (peers->link, members, view->member_count);
  talloc_free (members);
}

void
pr_peers_identity (struct pr_peers *peers, uint64_t incarnation)
{
  pr_link_identity (peers->link, incarnation);
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
