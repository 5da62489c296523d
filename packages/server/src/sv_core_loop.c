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
  RING_CAPACITY = 65536,
  TICK_MS = 10,
  MAX_EVENTS_PER_TURN = 256,
  GAUGE_COUNT = 5
};

/* The ready flag is void when the decider has not renewed it for so long.  */
static const int64_t ready_lifetime = 1000000; /* microseconds */

struct message
{
  struct co_event *event; /* NULL: a question for the status */
  uint64_t call;
};

struct sv_core_loop
{
  struct sv_core_loop_options options;
  struct ba_ring *messages;
  struct co_core *core;
  FILE *record;
  _Atomic bool stopping;
  _Atomic bool ready;
  _Atomic int64_t ready_at;
  _Atomic uint64_t ring_full;
  struct ba_counter counters[CO_COUNTER_COUNT + CO_REASON_COUNT];
  struct ba_counter gauges[GAUGE_COUNT];
  bool rejoin; /* evicted: start over when nothing is left */
};

static const struct ba_counter gauge_infos[GAUGE_COUNT] = {
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

static void
write_record (struct sv_core_loop *d, struct ba_bytes bytes)
{
  if (d->record == NULL
      || fwrite (bytes.data, 1, bytes.len, d->record) == bytes.len)
    return;
  sv_log (d->options.log, CF_LOG_ERROR, "record-failed", "cause",
          g_strerror (errno), NULL);
  fclose (d->record);
  d->record = NULL;
}

/* Make a core with a new incarnation.  A recording holds the session of one
   core, so it starts anew.  */
static void
new_core (struct sv_core_loop *d)
{
  int64_t now = ba_clock_now_us ();
  struct ba_bytes start;

  talloc_free (d->core);
  d->options.core.incarnation = random_incarnation ();
  d->options.core.random_seed = (uint32_t)d->options.core.incarnation;
  d->core = co_core_new (d, &d->options.core, now);
  if (d->record != NULL)
    {
      rewind (d->record);
      if (ftruncate (fileno (d->record), 0) != 0)
        sv_log (d->options.log, CF_LOG_WARN, "record-not-truncated", NULL);
    }
  start = co_session_encode_start (d, &d->options.core, now);
  write_record (d, start);
  talloc_free (start.data);
}

static void
init_counters (struct sv_core_loop *d)
{
  for (int i = 0; i < CO_COUNTER_COUNT; i++)
    {
      const struct co_counter_info *info = co_counter_info (i);

      d->counters[i].name
          = talloc_asprintf (d, "dogwoodpulley_%s", info->name);
      d->counters[i].help = info->help;
    }
  for (int i = 0; i < CO_REASON_COUNT; i++)
    {
      struct ba_counter *c = &d->counters[CO_COUNTER_COUNT + i];

      c->name = "dogwoodpulley_refusals_total";
      c->labels
          = talloc_asprintf (d, "reason=\"%s\"", co_reason_info (i)->name);
      c->help = "Final answers that are not a backend's, by reason";
    }
  for (int i = 0; i < GAUGE_COUNT; i++)
    {
      d->gauges[i].name = gauge_infos[i].name;
      d->gauges[i].help = gauge_infos[i].help;
    }
}

static int
decider_destroy (struct sv_core_loop *d)
{
  if (d->record != NULL)
    fclose (d->record);
  return 0;
}

struct sv_core_loop *
sv_core_loop_new (TALLOC_CTX *mem, const struct sv_core_loop_options *options,
                  GError **error)
{
  struct sv_core_loop *d = talloc_zero (mem, struct sv_core_loop);

  d->options = *options;
  d->messages = ba_ring_new (d, RING_CAPACITY);
  init_counters (d);
  talloc_set_destructor (d, decider_destroy);
  if (options->record != NULL)
    {
      d->record = fopen (options->record, "w+be");
      if (d->record == NULL)
        {
          g_set_error (error, BA_ERROR, BA_ERROR_IO,
                       "can't write the recording %s: %s", options->record,
                       g_strerror (errno));
          talloc_free (d);
          return NULL;
        }
    }
  new_core (d);
  return d;
}

uint64_t
sv_core_loop_incarnation (const struct sv_core_loop *d)
{
  return d->options.core.incarnation;
}

static bool
push (struct sv_core_loop *d, struct co_event *event, uint64_t call)
{
  struct message *message = talloc_zero (NULL, struct message);

  message->event = event;
  message->call = call;
  if (ba_ring_push (d->messages, message))
    return true;
  talloc_free (message);
  atomic_fetch_add (&d->ring_full, 1);
  return false;
}

bool
sv_core_loop_push (struct sv_core_loop *d, struct co_event *event)
{
  return push (d, event, 0);
}

void
sv_core_loop_push_blocking (struct sv_core_loop *d, struct co_event *event)
{
  while (!push (d, event, 0) && !atomic_load (&d->stopping))
    g_usleep (1000);
}

bool
sv_core_loop_request_status (struct sv_core_loop *d, uint64_t call)
{
  return push (d, NULL, call);
}

bool
sv_core_loop_ready (struct sv_core_loop *d)
{
  return atomic_load (&d->ready)
         && ba_clock_now_us () - atomic_load (&d->ready_at) < ready_lifetime;
}

char *
sv_core_loop_metrics (struct sv_core_loop *d, TALLOC_CTX *mem)
{
  char *counters
      = ba_counter_format (mem, d->counters, G_N_ELEMENTS (d->counters));
  char *gauges;

  atomic_store (&d->gauges[4].value, atomic_load (&d->ring_full));
  gauges = ba_counter_format (mem, d->gauges, GAUGE_COUNT);
  return talloc_asprintf (mem, "%s%s", counters, gauges);
}

static void
carry_out (struct sv_core_loop *d, const struct co_action *o, co_time now)
{
  const struct sv_core_loop_handlers *effects = d->options.effects;
  void *context = d->options.context;

  switch (o->type)
    {
    case CO_ACTION_REFUSE:
      effects->refuse (context, &o->u.refuse);
      break;
    case CO_ACTION_START:
      effects->start (context, &o->u.start, now);
      break;
    case CO_ACTION_REPLAY:
      effects->replay (context, &o->u.replay);
      break;
    case CO_ACTION_FORGET:
      effects->forget (context, o->u.forget_request_id);
      break;
    case CO_ACTION_WRITE:
    case CO_ACTION_READ:
    case CO_ACTION_POLL:
    case CO_ACTION_REBOOT:
      effects->platform (context, o);
      break;
    case CO_ACTION_SEND:
      effects->send (context, &o->u.send);
      break;
    case CO_ACTION_VIEW_CHANGED:
      effects->view (context, &o->u.view);
      break;
    case CO_ACTION_CHANGE_DONE:
      effects->changed (context, &o->u.change_done);
      break;
    case CO_ACTION_EVICTED:
      sv_log (d->options.log, CF_LOG_WARN, "evicted", NULL);
      d->rejoin = true;
      break;
    case CO_ACTION_STOPPED:
      effects->stopped (context);
      break;
    default:
      break;
    }
}

static void
step (struct sv_core_loop *d, const struct co_event *event)
{
  struct co_outbox *outbox = co_outbox_new (NULL);
  int64_t now = ba_clock_now_us ();

  co_core_step (d->core, now, event, outbox);
  if (d->record != NULL)
    {
      struct ba_bytes bytes
          = co_session_encode_step (outbox, now, event, outbox);

      write_record (d, bytes);
    }
  for (uint32_t i = 0; i < outbox->count; i++)
    carry_out (d, &outbox->actions[i], now);
  talloc_free (outbox);
}

static void
take (struct sv_core_loop *d, struct message *message)
{
  if (message->event != NULL)
    step (d, message->event);
  else
    {
      struct co_status *status
          = co_core_status (NULL, d->core, ba_clock_now_us ());

      d->options.effects->status (d->options.context, message->call, status);
      talloc_free (status);
    }
  talloc_free (message->event);
  talloc_free (message);
}

/* Show the other threads what the core has counted.  */
static void
publish (struct sv_core_loop *d, int64_t now)
{
  struct co_status *status;

  for (int i = 0; i < CO_COUNTER_COUNT; i++)
    atomic_store_explicit (&d->counters[i].value, co_core_counter (d->core, i),
                           memory_order_relaxed);
  for (int i = 0; i < CO_REASON_COUNT; i++)
    atomic_store_explicit (&d->counters[CO_COUNTER_COUNT + i].value,
                           co_core_refusals (d->core, i),
                           memory_order_relaxed);
  atomic_store (&d->ready, co_core_is_ready (d->core, now));
  atomic_store (&d->ready_at, now);
  status = co_core_summary (d, d->core, now);
  atomic_store (&d->gauges[0].value, status->log_version);
  atomic_store (&d->gauges[1].value, status->view_version);
  atomic_store (&d->gauges[2].value, status->member_count);
  atomic_store (&d->gauges[3].value, status->has_lease);
  talloc_free (status);
}

static void
tick (struct sv_core_loop *d)
{
  struct co_event event = { .type = CO_EVENT_TICK };

  step (d, &event);
  if (d->rejoin && co_core_is_idle (d->core))
    {
      d->rejoin = false;
      new_core (d);
      d->options.effects->identity (d->options.context,
                                    d->options.core.incarnation);
    }
}

void
sv_core_loop_run (void *data, void (*heartbeat) (void *), void *context)
{
  struct sv_core_loop *d = data;
  struct pollfd p = { .fd = ba_ring_fd (d->messages), .events = POLLIN };
  int64_t next_tick = ba_clock_now_us ();

  while (!atomic_load (&d->stopping))
    {
      int64_t now = ba_clock_now_us ();
      int64_t wait = (next_tick - now + 999) / 1000;
      struct message *message;
      int taken = 0;

      if (wait > 0)
        poll (&p, 1, (int)wait);
      heartbeat (context);
      ba_ring_reset_fd (d->messages);
      while (taken++ < MAX_EVENTS_PER_TURN
             && (message = ba_ring_pop (d->messages)) != NULL)
        take (d, message);
      if (taken > MAX_EVENTS_PER_TURN)
        ba_ring_wake (d->messages);
      now = ba_clock_now_us ();
      if (now >= next_tick)
        {
          tick (d);
          publish (d, now);
          next_tick = now + TICK_MS * 1000;
        }
    }
}

void
sv_core_loop_stop (void *data)
{
  struct sv_core_loop *d = data;

  atomic_store (&d->stopping, true);
  ba_ring_wake (d->messages);
}
