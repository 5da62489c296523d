#include "sv_core_loop.h"

#include "ba_clock.h"
#include "ba_ring.h"
#include "co_session.h"

#include <errno.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

enum
{
  MESSAGE_RING_CAPACITY = 65536,
  TICK_INTERVAL_MS = 10,
  MAX_EVENTS_PER_ITERATION = 256 /* between two checks for a tick */
};

/* Indices of the gauges.  */
enum gauge
{
  GAUGE_LOG_VERSION,
  GAUGE_VIEW_VERSION,
  GAUGE_MEMBERS,
  GAUGE_HAS_LEASE,
  GAUGE_RING_FULL,
  GAUGE_COUNT
};

/* The ready flag expires when the loop hasn't renewed it for this time, so
   that a loop that hangs counts as not ready.  */
static const int64_t ready_lifetime_us = 1000000;

/* An entry of the ring, a talloc chunk without parent.  */
struct message
{
  struct co_event *event; /* NULL: this is a status request */
  uint64_t status_call;   /* the call that requested the status */
};

struct sv_core_loop
{
  struct sv_core_loop_options options;
  struct ba_ring *messages; /* of struct message */
  struct co_core *core;
  FILE *record; /* recording of the session, or NULL */
  _Atomic bool stopping;
  _Atomic bool ready;
  _Atomic int64_t ready_updated_us;
  /* Messages refused because the ring was full.  */
  _Atomic uint64_t ring_full_count;
  /* The core's counters, then its refusals by reason.  */
  struct ba_counter counters[CO_COUNTER_COUNT + CO_REASON_COUNT];
  struct ba_counter gauges[GAUGE_COUNT];
  bool evicted; /* the core must be replaced once it is idle */
};

static const struct ba_counter gauge_descriptions[GAUGE_COUNT] = {
  { "dogwoodpulley_log_version", NULL, "Version of the configuration" },
  { "dogwoodpulley_view_version", NULL, "Version of the view" },
  { "dogwoodpulley_members", NULL, "Members in the view" },
  { "dogwoodpulley_standing", NULL, "1 while this host has standing" },
  { "dogwoodpulley_decider_ring_full", NULL,
    "Messages refused because the decider's ring was full" },
};

static uint64_t
random_incarnation (void)
{
  uint64_t incarnation = 0;

  while (incarnation == 0)
    if (getrandom (&incarnation, sizeof incarnation, 0)
        != (ssize_t)sizeof incarnation)
      incarnation = 0;
  return incarnation;
}

/* Append BYTES to the recording, if there is one.  End the recording when that
   fails.  */
static void
append_record (struct sv_core_loop *loop, struct ba_bytes bytes)
{
  if (loop->record == NULL
      || fwrite (bytes.data, 1, bytes.len, loop->record) == bytes.len)
    return;
  sv_log (loop->options.log, CF_LOG_ERROR, "record-failed", "cause",
          g_strerror (errno), NULL);
  fclose (loop->record);
  loop->record = NULL;
}

/* Replace the core, if there is one, by a new one with a new incarnation.  A
   recording holds the session of one core, so it is truncated.  */
static void
replace_core (struct sv_core_loop *loop)
{
  int64_t now = ba_clock_now_us ();
  struct ba_bytes start;

  talloc_free (loop->core);
  loop->options.core.incarnation = random_incarnation ();
  loop->options.core.random_seed = (uint32_t)loop->options.core.incarnation;
  loop->core = co_core_new (loop, &loop->options.core, now);
  if (loop->record != NULL)
    {
      rewind (loop->record);
      if (ftruncate (fileno (loop->record), 0) != 0)
        sv_log (loop->options.log, CF_LOG_WARN, "record-not-truncated", NULL);
    }
  start = co_session_encode_start (loop, &loop->options.core, now);
  append_record (loop, start);
  talloc_free (start.data);
}

static void
init_metrics (struct sv_core_loop *loop)
{
  for (int i = 0; i < CO_COUNTER_COUNT; i++)
    {
      const struct co_counter_info *info = co_counter_info (i);

      loop->counters[i].name
          = talloc_asprintf (loop, "dogwoodpulley_%s", info->name);
      loop->counters[i].help = info->help;
    }
  for (int i = 0; i < CO_REASON_COUNT; i++)
    {
      struct ba_counter *counter = &loop->counters[CO_COUNTER_COUNT + i];

      counter->name = "dogwoodpulley_refusals_total";
      counter->labels
          = talloc_asprintf (loop, "reason=\"%s\"", co_reason_info (i)->name);
      counter->help = "Final answers that are not a backend's, by reason";
    }
  for (int i = 0; i < GAUGE_COUNT; i++)
    {
      loop->gauges[i].name = gauge_descriptions[i].name;
      loop->gauges[i].help = gauge_descriptions[i].help;
    }
}

static int
core_loop_destroy (struct sv_core_loop *loop)
{
  if (loop->record != NULL)
    fclose (loop->record);
  return 0;
}

struct sv_core_loop *
sv_core_loop_new (TALLOC_CTX *mem, const struct sv_core_loop_options *options,
                  GError **error)
{
  struct sv_core_loop *loop = talloc_zero (mem, struct sv_core_loop);

  loop->options = *options;
  loop->messages = ba_ring_new (loop, MESSAGE_RING_CAPACITY);
  init_metrics (loop);
  talloc_set_destructor (loop, core_loop_destroy);
  if (options->record_file != NULL)
    {
      loop->record = fopen (options->record_file, "w+be");
      if (loop->record == NULL)
        {
          g_set_error (error, BA_ERROR, BA_ERROR_IO,
                       "can't write the session recording %s: %s",
                       options->record_file, g_strerror (errno));
          talloc_free (loop);
          return NULL;
        }
    }
  replace_core (loop);
  return loop;
}

uint64_t
sv_core_loop_incarnation (const struct sv_core_loop *loop)
{
  return loop->options.core.incarnation;
}

/* Queue EVENT, or a status request of CALL when EVENT is NULL.  Return false,
   leaving EVENT with the caller, when the ring is full.  */
static bool
push_message (struct sv_core_loop *loop, struct co_event *event, uint64_t call)
{
  struct message *message = talloc_zero (NULL, struct message);

  message->event = event;
  message->status_call = call;
  if (ba_ring_push (loop->messages, message))
    return true;
  talloc_free (message);
  atomic_fetch_add (&loop->ring_full_count, 1);
  return false;
}

bool
sv_core_loop_push (struct sv_core_loop *loop, struct co_event *event)
{
  return push_message (loop, event, 0);
}

void
sv_core_loop_push_blocking (struct sv_core_loop *loop, struct co_event *event)
{
  while (!push_message (loop, event, 0) && !atomic_load (&loop->stopping))
    g_usleep (1000);
}

bool
sv_core_loop_request_status (struct sv_core_loop *loop, uint64_t call)
{
  return push_message (loop, NULL, call);
}

bool
sv_core_loop_is_ready (struct sv_core_loop *loop)
{
  return atomic_load (&loop->ready)
         && ba_clock_now_us () - atomic_load (&loop->ready_updated_us)
                < ready_lifetime_us;
}

char *
sv_core_loop_format_metrics (struct sv_core_loop *loop, TALLOC_CTX *mem)
{
  char *counters
      = ba_counter_format (mem, loop->counters, G_N_ELEMENTS (loop->counters));
  char *gauges;

  atomic_store (&loop->gauges[GAUGE_RING_FULL].value,
                atomic_load (&loop->ring_full_count));
  gauges = ba_counter_format (mem, loop->gauges, GAUGE_COUNT);
  return talloc_asprintf (mem, "%s%s", counters, gauges);
}

static void
log_zone_change (struct sv_core_loop *loop, const struct co_action_zone *zone)
{
  char version[24];
  char running[16];

  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT,
              zone->log_version);
  g_snprintf (running, sizeof running, "%u", zone->running);
  sv_log (loop->options.log, CF_LOG_WARN,
          zone->evacuated ? "zone-evacuated" : "zone-restored", "zone",
          zone->zone, "version", version, "running", running, NULL);
}

static void
handle_action (struct sv_core_loop *loop, const struct co_action *action,
               co_time now)
{
  const struct sv_core_loop_handlers *handlers = loop->options.handlers;
  void *context = loop->options.context;

  switch (action->type)
    {
    case CO_ACTION_REFUSE:
      handlers->refuse_request (context, &action->u.refuse);
      break;
    case CO_ACTION_START:
      handlers->start_request (context, &action->u.start, now);
      break;
    case CO_ACTION_REPLAY:
      handlers->replay_answer (context, &action->u.replay);
      break;
    case CO_ACTION_FORGET:
      handlers->forget_request (context, action->u.forget_request_id);
      break;
    case CO_ACTION_WRITE:
    case CO_ACTION_READ:
    case CO_ACTION_POLL:
    case CO_ACTION_REBOOT:
      handlers->submit_to_platform (context, action);
      break;
    case CO_ACTION_SEND:
      handlers->send_to_peer (context, &action->u.send);
      break;
    case CO_ACTION_VIEW_CHANGED:
      handlers->view_changed (context, &action->u.view);
      break;
    case CO_ACTION_CHANGE_DONE:
      handlers->answer_change (context, &action->u.change_done);
      break;
    case CO_ACTION_ZONE_CHANGED:
      log_zone_change (loop, &action->u.zone);
      break;
    case CO_ACTION_EVICTED:
      sv_log (loop->options.log, CF_LOG_WARN, "evicted", NULL);
      loop->evicted = true;
      break;
    case CO_ACTION_STOPPED:
      handlers->stopped (context);
      break;
    default:
      break;
    }
}

static void
step_core (struct sv_core_loop *loop, const struct co_event *event)
{
  struct co_outbox *outbox = co_outbox_new (NULL);
  int64_t now = ba_clock_now_us ();

  co_core_step (loop->core, now, event, outbox);
  if (loop->record != NULL)
    {
      struct ba_bytes bytes
          = co_session_encode_step (outbox, now, event, outbox);

      append_record (loop, bytes);
    }
  for (uint32_t i = 0; i < outbox->count; i++)
    handle_action (loop, &outbox->actions[i], now);
  talloc_free (outbox);
}

static void
process_message (struct sv_core_loop *loop, struct message *message)
{
  if (message->event != NULL)
    step_core (loop, message->event);
  else
    {
      struct co_status *status
          = co_core_status (NULL, loop->core, ba_clock_now_us ());

      loop->options.handlers->answer_status (loop->options.context,
                                             message->status_call, status);
      talloc_free (status);
    }
  talloc_free (message->event);
  talloc_free (message);
}

/* Copy the metrics and the readiness of the core to where other threads read
   them.  */
static void
publish_state (struct sv_core_loop *loop, int64_t now)
{
  struct co_status *status;

  for (int i = 0; i < CO_COUNTER_COUNT; i++)
    atomic_store_explicit (&loop->counters[i].value,
                           co_core_counter (loop->core, i),
                           memory_order_relaxed);
  for (int i = 0; i < CO_REASON_COUNT; i++)
    atomic_store_explicit (&loop->counters[CO_COUNTER_COUNT + i].value,
                           co_core_refusals (loop->core, i),
                           memory_order_relaxed);
  atomic_store (&loop->ready, co_core_is_ready (loop->core, now));
  atomic_store (&loop->ready_updated_us, now);
  status = co_core_summary (loop, loop->core, now);
  atomic_store (&loop->gauges[GAUGE_LOG_VERSION].value, status->log_version);
  atomic_store (&loop->gauges[GAUGE_VIEW_VERSION].value, status->view_version);
  atomic_store (&loop->gauges[GAUGE_MEMBERS].value, status->member_count);
  atomic_store (&loop->gauges[GAUGE_HAS_LEASE].value, status->has_lease);
  talloc_free (status);
}

/* Tell the core that time has passed, and replace it if it was evicted and has
   become idle.  */
static void
handle_tick (struct sv_core_loop *loop)
{
  struct co_event event = { .type = CO_EVENT_TICK };

  step_core (loop, &event);
  if (loop->evicted && co_core_is_idle (loop->core))
    {
      loop->evicted = false;
      replace_core (loop);
      loop->options.handlers->incarnation_changed (
          loop->options.context, loop->options.core.incarnation);
    }
}

void
sv_core_loop_run (void *data, void (*heartbeat) (void *), void *context)
{
  struct sv_core_loop *loop = data;
  struct pollfd poll_fd
      = { .fd = ba_ring_fd (loop->messages), .events = POLLIN };
  int64_t next_tick = ba_clock_now_us ();

  while (!atomic_load (&loop->stopping))
    {
      int64_t now = ba_clock_now_us ();
      int64_t wait_ms = (next_tick - now + 999) / 1000;
      struct message *message;
      int processed = 0;

      if (wait_ms > 0)
        poll (&poll_fd, 1, (int)wait_ms);
      heartbeat (context);
      ba_ring_reset_fd (loop->messages);
      while (processed++ < MAX_EVENTS_PER_ITERATION
             && (message = ba_ring_pop (loop->messages)) != NULL)
        process_message (loop, message);
      if (processed > MAX_EVENTS_PER_ITERATION)
        ba_ring_wake (loop->messages); /* the ring may hold more messages, and
                                          its descriptor was reset */
      now = ba_clock_now_us ();
      if (now >= next_tick)
        {
          handle_tick (loop);
          publish_state (loop, now);
          next_tick = now + TICK_INTERVAL_MS * 1000;
        }
    }
}

void
sv_core_loop_stop (void *data)
{
  struct sv_core_loop *loop = data;

  atomic_store (&loop->stopping, true);
  ba_ring_wake (loop->messages);
}
