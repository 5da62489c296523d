#include "co_session.h"

#include <string.h>

static void
options_code (struct ba_codec *io, struct co_options *o)
{
  ba_codec_u64 (io, &o->incarnation);
  ba_codec_str (io, (char **)&o->name);
  ba_codec_str (io, (char **)&o->zone);
  ba_codec_str (io, (char **)&o->peer_address);
  ba_codec_str (io, (char **)&o->admin_address);
  ba_codec_u32 (io, &o->random_seed);
  ba_codec_u32 (io, &o->disabled);
  ba_codec_i64 (io, &o->lease_duration);
  ba_codec_i64 (io, &o->heartbeat_interval);
  ba_codec_i64 (io, &o->poll_interval);
  ba_codec_i64 (io, &o->eviction_timeout);
  ba_codec_i64 (io, &o->max_table_outage);
  ba_codec_i64 (io, &o->lame_duck_period);
  ba_codec_i64 (io, &o->max_time_to_deadline);
  ba_codec_i64 (io, &o->max_urgent_wait);
  ba_codec_i64 (io, &o->claim_retention);
  ba_codec_u64 (io, &o->snapshot_interval_entries);
  ba_codec_u32 (io, &o->max_request_count);
  ba_codec_u64 (io, &o->max_cached_answer_bytes);
}

struct ba_bytes
co_session_encode_start (TALLOC_CTX *mem, const struct co_options *options,
                         co_time now)
{
  struct co_options copy = *options;
  struct ba_codec io;

  ba_codec_init_writer (&io);
  options_code (&io, &copy);
  ba_codec_i64 (&io, &now);
  return ba_codec_finish (&io, mem);
}

static void
outcomes_code (struct ba_codec *io, const struct co_outbox *outbox)
{
  uint32_t count = outbox->count;

  ba_codec_u32 (io, &count);
  for (uint32_t i = 0; i < count; i++)
    {
      struct co_action copy = outbox->actions[i];

      co_action_serialize (io, &copy);
    }
}

struct ba_bytes
co_session_encode_step (TALLOC_CTX *mem, co_time now,
                        const struct co_event *event,
                        const struct co_outbox *outbox)
{
  struct co_event copy = *event;
  struct ba_codec io;

  ba_codec_init_writer (&io);
  ba_codec_i64 (&io, &now);
  co_event_serialize (&io, &copy);
  outcomes_code (&io, outbox);
  return ba_codec_finish (&io, mem);
}

/* Replay the next step.  Return whether it gave what was recorded.  */
static bool
replay_step (struct ba_codec *in, struct co_core *core, int64_t step,
             GError **error)
{
  TALLOC_CTX *scratch = talloc_new (core);
  struct co_outbox *outbox = co_outbox_new (scratch);
  struct co_event event = { 0 };
  struct ba_bytes given;
  struct ba_codec out;
  co_time now;
  bool same;

  in->mem = scratch;
  ba_codec_i64 (in, &now);
  co_event_serialize (in, &event);
  if (in->failed)
    {
      g_set_error (error, BA_ERROR, BA_ERROR_SYNTAX,
                   "step %" G_GINT64_FORMAT ": the recording is cut short or "
                   "damaged",
                   step);
      talloc_free (scratch);
      return false;
    }
  co_core_step (core, now, &event, outbox);
  ba_codec_init_writer (&out);
  outcomes_code (&out, outbox);
  given = ba_codec_finish (&out, scratch);
  same = given.len <= in->in.len - in->offset
         && memcmp (given.data, in->in.data + in->offset, given.len) == 0;
  in->offset += given.len;
  if (!same)
    g_set_error (error, BA_ERROR, BA_ERROR_VALUE,
                 "step %" G_GINT64_FORMAT " (event type %u): outcomes differ "
                 "from the recorded ones",
                 step, event.type);
  talloc_free (scratch);
  return same;
}

int64_t
co_session_replay (struct ba_bytes session, GError **error)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct co_options options = { 0 };
  struct co_core *core;
  struct ba_codec in;
  co_time now;
  int64_t steps = 0;

  ba_codec_init_reader (&in, mem, session);
  options_code (&in, &options);
  ba_codec_i64 (&in, &now);
  if (in.failed || options.name == NULL || options.zone == NULL
      || options.peer_address == NULL || options.admin_address == NULL)
    {
      g_set_error_literal (error, BA_ERROR, BA_ERROR_SYNTAX,
                           "the recording does not start with a core's "
                           "options");
      talloc_free (mem);
      return -1;
    }
  core = co_core_new (mem, &options, now);
  while (in.offset < session.len && steps >= 0)
    {
      if (replay_step (&in, core, steps, error))
        steps++;
      else
        steps = -1;
    }
  talloc_free (mem);
  return steps;
}
