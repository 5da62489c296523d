#include "co_session.h"

#include <string.h>

/* Encoding and replay of recorded sessions.  A change of the encoded
   fields makes older recordings unreadable.  */

static void
options_serialize (struct ba_codec *io, struct co_options *options)
{
  ba_codec_u64 (io, &options->incarnation);
  ba_codec_str (io, (char **)&options->name);
  ba_codec_str (io, (char **)&options->zone);
  ba_codec_str (io, (char **)&options->peer_address);
  ba_codec_str (io, (char **)&options->admin_address);
  ba_codec_u32 (io, &options->random_seed);
  ba_codec_u32 (io, &options->disabled);
  ba_codec_i64 (io, &options->lease_duration);
  ba_codec_i64 (io, &options->heartbeat_interval);
  ba_codec_i64 (io, &options->poll_interval);
  ba_codec_i64 (io, &options->eviction_timeout);
  ba_codec_i64 (io, &options->max_table_outage);
  ba_codec_i64 (io, &options->lame_duck_period);
  ba_codec_i64 (io, &options->max_time_to_deadline);
  ba_codec_i64 (io, &options->max_urgent_wait);
  ba_codec_i64 (io, &options->claim_retention);
  ba_codec_u64 (io, &options->snapshot_interval_entries);
  ba_codec_u32 (io, &options->max_request_count);
  ba_codec_u64 (io, &options->max_cached_answer_bytes);
}

struct ba_bytes
co_session_encode_start (TALLOC_CTX *mem, const struct co_options *options,
                         co_time now)
{
  struct co_options copy = *options;
  struct ba_codec io;

  ba_codec_init_writer (&io);
  options_serialize (&io, &copy);
  ba_codec_i64 (&io, &now);
  return ba_codec_finish (&io, mem);
}

static void
actions_serialize (struct ba_codec *io, const struct co_outbox *outbox)
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
  actions_serialize (&io, outbox);
  return ba_codec_finish (&io, mem);
}

/* Replay the next step of IN, number STEP, with CORE.  Return whether its
   actions equal the recorded ones; if not, or if the record can't be decoded,
   set ERROR.  */
static bool
replay_step (struct ba_codec *in, struct co_core *core, int64_t step,
             GError **error)
{
  TALLOC_CTX *scratch = talloc_new (core);
  struct co_outbox *outbox = co_outbox_new (scratch);
  struct co_event event = { 0 };
  struct ba_bytes replayed;
  struct ba_codec out;
  co_time now;
  bool is_same;

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
  actions_serialize (&out, outbox);
  replayed = ba_codec_finish (&out, scratch);
  is_same
      = replayed.len <= in->in.len - in->offset
        && memcmp (replayed.data, in->in.data + in->offset, replayed.len) == 0;
  in->offset += replayed.len;
  if (!is_same)
    g_set_error (error, BA_ERROR, BA_ERROR_VALUE,
                 "step %" G_GINT64_FORMAT " (event type %u): actions differ "
                 "from the recorded ones",
                 step, event.type);
  talloc_free (scratch);
  return is_same;
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
  options_serialize (&in, &options);
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
