#include "co_event.h"

#include <glib.h>
#include <string.h>

/* The msgpack encoding of events and actions, and the outbox.  Recorded
   sessions depend on the order of the fields.  */

static void
row_serialize (struct ba_codec *io, struct co_row *row)
{
  ba_codec_str (io, &row->partition);
  ba_codec_str (io, &row->sort_key);
  ba_codec_u64 (io, &row->version);
  ba_codec_bytes (io, &row->body);
}

static void
request_serialize (struct ba_codec *io, struct co_event_request *r)
{
  ba_codec_u64 (io, &r->request_id);
  ba_codec_str (io, &r->queue);
  ba_codec_str (io, &r->key_hash);
  ba_codec_str (io, &r->idempotency_key);
  ba_codec_bool (io, &r->idempotent);
  ba_codec_bool (io, &r->has_priority);
  ba_codec_u32 (io, &r->priority);
  ba_codec_i64 (io, &r->deadline);
  if (io->reading && r->queue == NULL)
    io->failed = true;
}

static void
attempt_done_serialize (struct ba_codec *io, struct co_event_attempt_done *d)
{
  ba_codec_u64 (io, &d->request_id);
  ba_codec_u32 (io, &d->result);
  ba_codec_bool (io, &d->streamed);
  ba_codec_u32 (io, &d->http_status);
  ba_codec_str (io, &d->headers);
  ba_codec_bool (io, &d->has_whole_body);
  ba_codec_bytes (io, &d->body);
}

static void
poll_done_serialize (struct ba_codec *io, struct co_event_poll_done *p)
{
  ba_codec_i64 (io, &p->sent_at);
  ba_codec_u32 (io, &p->result);
  row_serialize (io, &p->view_row);
  ba_codec_array (io, p->log, p->log_count, CO_MAX_ARRAY_COUNT, row_serialize);
}

static void
live_host_serialize (struct ba_codec *io, struct co_live_host *host)
{
  ba_codec_str (io, &host->name);
  ba_codec_bool (io, &host->leaving);
  ba_codec_u64 (io, &host->boot_id);
  if (io->reading && host->name == NULL)
    io->failed = true;
}

static void
change_event_serialize (struct ba_codec *io, struct co_event_change *c)
{
  ba_codec_u64 (io, &c->change_id);
  ba_codec_str (io, &c->token);
  co_change_serialize (io, &c->change);
  if (io->reading && c->token == NULL)
    io->failed = true;
}

void
co_event_serialize (struct ba_codec *io, struct co_event *event)
{
  ba_codec_u32 (io, &event->type);
  switch (event->type)
    {
    case CO_EVENT_TICK:
    case CO_EVENT_STOP:
      break;
    case CO_EVENT_REQUEST:
      request_serialize (io, &event->u.request);
      break;
    case CO_EVENT_CALLER_GONE:
      ba_codec_u64 (io, &event->u.caller_gone);
      break;
    case CO_EVENT_ATTEMPT_DONE:
      attempt_done_serialize (io, &event->u.attempt_done);
      break;
    case CO_EVENT_POLL_DONE:
      poll_done_serialize (io, &event->u.poll_done);
      break;
    case CO_EVENT_READ_DONE:
      ba_codec_u64 (io, &event->u.read_done.op_id);
      ba_codec_u32 (io, &event->u.read_done.result);
      ba_codec_array (io, event->u.read_done.rows,
                      event->u.read_done.row_count, CO_MAX_ARRAY_COUNT,
                      row_serialize);
      break;
    case CO_EVENT_WRITE_DONE:
      ba_codec_u64 (io, &event->u.write_done.op_id);
      ba_codec_u32 (io, &event->u.write_done.result);
      break;
    case CO_EVENT_HOST_LIST:
      ba_codec_i64 (io, &event->u.host_list.requested_at);
      ba_codec_array (io, event->u.host_list.hosts,
                      event->u.host_list.host_count, CO_MAX_ARRAY_COUNT,
                      live_host_serialize);
      break;
    case CO_EVENT_PEER_MESSAGE:
      ba_codec_u64 (io, &event->u.peer_message.sender);
      co_msg_serialize (io, &event->u.peer_message.message);
      break;
    case CO_EVENT_CHANGE:
      change_event_serialize (io, &event->u.change);
      break;
    default:
      io->failed = true;
      break;
    }
}

static void
start_serialize (struct ba_codec *io, struct co_action_start *s)
{
  ba_codec_u64 (io, &s->request_id);
  ba_codec_str (io, &s->host);
  ba_codec_str (io, &s->address);
  ba_codec_i64 (io, &s->deadline);
  ba_codec_bool (io, &s->idempotent);
}

static void
replay_serialize (struct ba_codec *io, struct co_action_replay *r)
{
  ba_codec_u64 (io, &r->request_id);
  ba_codec_u32 (io, &r->http_status);
  ba_codec_str (io, &r->headers);
  ba_codec_bytes (io, &r->body);
}

static void
write_serialize (struct ba_codec *io, struct co_action_write *w)
{
  ba_codec_u64 (io, &w->op_id);
  row_serialize (io, &w->row);
  ba_codec_u64 (io, &w->expected_version);
  ba_codec_u64 (io, &w->required_view_version);
  ba_codec_u32 (io, &w->lifetime_s);
}

static void
change_done_serialize (struct ba_codec *io, struct co_action_change_done *c)
{
  ba_codec_u64 (io, &c->change_id);
  ba_codec_u32 (io, &c->result);
  ba_codec_u64 (io, &c->version);
  ba_codec_str (io, &c->detail);
}

static void
zone_serialize (struct ba_codec *io, struct co_action_zone *z)
{
  ba_codec_str (io, &z->zone);
  ba_codec_bool (io, &z->evacuated);
  ba_codec_u64 (io, &z->log_version);
  ba_codec_u32 (io, &z->running);
}

void
co_action_serialize (struct ba_codec *io, struct co_action *action)
{
  ba_codec_u32 (io, &action->type);
  switch (action->type)
    {
    case CO_ACTION_REFUSE:
      ba_codec_u64 (io, &action->u.refuse.request_id);
      ba_codec_u32 (io, &action->u.refuse.reason);
      ba_codec_u32 (io, &action->u.refuse.retry_after_ms);
      break;
    case CO_ACTION_START:
      start_serialize (io, &action->u.start);
      break;
    case CO_ACTION_REPLAY:
      replay_serialize (io, &action->u.replay);
      break;
    case CO_ACTION_FORGET:
      ba_codec_u64 (io, &action->u.forget_request_id);
      break;
    case CO_ACTION_WRITE:
      write_serialize (io, &action->u.write);
      break;
    case CO_ACTION_READ:
      ba_codec_u64 (io, &action->u.read.op_id);
      ba_codec_str (io, &action->u.read.partition);
      ba_codec_str (io, &action->u.read.after_sort_key);
      break;
    case CO_ACTION_POLL:
      ba_codec_u64 (io, &action->u.poll_after_log_version);
      break;
    case CO_ACTION_SEND:
      ba_codec_u64 (io, &action->u.send.recipient);
      co_msg_serialize (io, &action->u.send.message);
      break;
    case CO_ACTION_VIEW_CHANGED:
      co_view_serialize (io, &action->u.view);
      break;
    case CO_ACTION_CHANGE_DONE:
      change_done_serialize (io, &action->u.change_done);
      break;
    case CO_ACTION_REBOOT:
      ba_codec_str (io, &action->u.reboot.host);
      ba_codec_u64 (io, &action->u.reboot.boot_id);
      break;
    case CO_ACTION_ZONE_CHANGED:
      zone_serialize (io, &action->u.zone);
      break;
    case CO_ACTION_EVICTED:
    case CO_ACTION_STOPPED:
      break;
    default:
      io->failed = true;
      break;
    }
}

struct co_outbox *
co_outbox_new (TALLOC_CTX *mem)
{
  struct co_outbox *box = talloc_zero (mem, struct co_outbox);

  box->mem = box;
  return box;
}

struct co_action *
co_outbox_append (struct co_outbox *box, uint32_t type)
{
  struct co_action *action;

  if (box->count == box->capacity)
    {
      box->capacity = box->capacity ? box->capacity * 2 : 8;
      box->actions = talloc_realloc (box, box->actions, struct co_action,
                                     box->capacity);
    }
  action = &box->actions[box->count++];
  memset (action, 0, sizeof *action);
  action->type = type;
  return action;
}
