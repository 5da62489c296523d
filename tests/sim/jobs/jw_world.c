/* The simulation's queue of events, its entry hosts, and the replies and
   messages that they receive.  */

#include "jw_world.h"

#include <signal.h>
#include <stdarg.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* A stopped entry host is killed after this time.  */
#define HOST_STOP_TIMEOUT (2500 * JB_MS)

/* How often it is checked whether a stopped host has no calls left.  */
#define STOP_CHECK_INTERVAL (20 * JB_MS)

/* How often a reply to a frozen entry host is tried again.  */
#define FROZEN_RETRY_INTERVAL (50 * JB_MS)

struct event
{
  jb_time when;
  uint64_t serial; /* breaks ties between equal times */
  jw_event_handler *handler;
  void *data;
};

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)data;
  if (x->when != y->when)
    return x->when < y->when ? -1 : 1;
  return x->serial < y->serial ? -1 : x->serial > y->serial;
}

void
jw_schedule (struct jw_world *world, jb_time when, jw_event_handler *handler,
             void *data)
{
  struct event *event = g_new0 (struct event, 1);

  event->when = MAX (when, world->now);
  event->serial = ++world->serial;
  event->handler = handler;
  event->data = talloc_steal (world, data);
  g_sequence_insert_sorted (world->events, event, compare_events, NULL);
}

/* Return the time of the next event, or JB_NEVER.  */
static jb_time
next_event_time (const struct jw_world *world)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->events);

  if (g_sequence_iter_is_end (first))
    return JB_NEVER;
  return ((const struct event *)g_sequence_get (first))->when;
}

static void
handle_next_event (struct jw_world *world)
{
  GSequenceIter *first = g_sequence_get_begin_iter (world->events);
  struct event *event = g_sequence_get (first);

  g_sequence_remove (first);
  world->now = MAX (world->now, event->when);
  event->handler (world, event->data);
  talloc_free (event->data);
  g_free (event);
}

void
jw_advance (struct jw_world *world, jb_time duration)
{
  const struct jw_external_hosts *external_hosts
      = world->options.external_hosts;
  jb_time end = world->now + duration;

  while (external_hosts != NULL && world->now < end)
    {
      jb_time now = external_hosts->wait_until (
          external_hosts->context, MIN (next_event_time (world), end));

      world->now = MAX (world->now, now);
      while (next_event_time (world) <= world->now)
        handle_next_event (world);
    }
  while (next_event_time (world) <= end)
    handle_next_event (world);
  world->now = MAX (world->now, end);
}

void
jw_report_violation (struct jw_world *world, const char *rule,
                     const char *format, ...)
{
  char text[200];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  world->one_violations += strcmp (rule, "ONE") == 0;
  if (world->violations++ == 0)
    snprintf (world->first_violation, sizeof world->first_violation,
              "%s at %.3f s: %s", rule, (double)world->now / 1e6, text);
  if (world->options.verbose)
    printf ("%9.3f VIOLATION %s: %s\n", (double)world->now / 1e6, rule, text);
}

void
jw_trace_backend (const struct jw_world *world,
                  const struct jw_backend *backend, bool is_command,
                  const char *format, ...)
{
  char text[200];
  va_list args;

  if (!world->options.verbose)
    return;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  printf ("%9.3f %s born=%" PRId64 " %s", (double)world->now / 1e6,
          backend->instance, backend->started_unix_ms, text);
  if (is_command && world->sender != NULL)
    printf (" (%s at %.3f%s)", world->sender->name,
            (double)world->command_sent_at / 1e6,
            world->delivering_delayed_command ? ", late" : "");
  printf ("\n");
}

bool
jw_random_permille (struct jw_world *world, uint32_t permille)
{
  return permille > 0
         && g_rand_int_range (world->random, 0, 1000) < (gint32)permille;
}

/* ---- scheduled runs of entry hosts ---- */

struct scheduled_run
{
  struct jw_host *host;
  uint64_t serial;
};

static void
run_if_still_scheduled (struct jw_world *world, void *data)
{
  struct scheduled_run *scheduled = data;

  (void)world;
  if (scheduled->host->host != NULL
      && scheduled->host->next_run_serial == scheduled->serial
      && !scheduled->host->frozen)
    jw_host_run (scheduled->host);
}

void
jw_host_run (struct jw_host *host)
{
  struct jw_world *world = host->world;
  struct scheduled_run *scheduled;
  jb_time next;

  jb_host_set_unix_origin (host->host, 0);
  next = jb_host_run (host->host, world->now);
  scheduled = talloc_zero (NULL, struct scheduled_run);
  scheduled->host = host;
  scheduled->serial = ++host->next_run_serial;
  jw_schedule (world, MIN (next, world->now + JB_SECOND),
               run_if_still_scheduled, scheduled);
}

jb_time
jw_host_handling_time (struct jw_host *host)
{
  jb_time when = host->world->now + host->event_delay;

  host->last_handled_at = MAX (host->last_handled_at, when);
  return host->last_handled_at;
}

/* ---- replies ---- */

struct pending_reply
{
  struct jw_host *host;
  uint32_t epoch;
  uint64_t number;
  struct jb_reply reply;
  bool queued; /* its turn in the host's event loop is known */
};

static void postpone_reply (struct jw_world *world,
                            const struct pending_reply *pending, jb_time when);

static void
deliver_reply (struct jw_world *world, void *data)
{
  struct pending_reply *pending = data;
  struct jw_host *host = pending->host;
  jb_time when;
  const struct jw_external_hosts *external_hosts
      = world->options.external_hosts;

  if (external_hosts != NULL)
    {
      external_hosts->deliver_reply (external_hosts->context, pending->number,
                                     &pending->reply);
      return;
    }
  if (host->host == NULL || host->epoch != pending->epoch
      || (host->arriving_reply == pending->number
          && pending->reply.result == JB_RESULT_UNKNOWN))
    return;
  if (host->frozen)
    {
      /* The host reads it once it is no longer frozen.  */
      postpone_reply (world, pending, world->now + FROZEN_RETRY_INTERVAL);
      return;
    }
  when = pending->queued ? world->now : jw_host_handling_time (host);
  if (when > world->now)
    {
      pending->queued = true;
      postpone_reply (world, pending, when);
      return;
    }
  jb_host_receive_reply (host->host, world->now, pending->number,
                         &pending->reply);
  jw_host_run (host);
}

/* Schedule PENDING again, at WHEN.  */
static void
postpone_reply (struct jw_world *world, const struct pending_reply *pending,
                jb_time when)
{
  struct pending_reply *later = talloc_memdup (NULL, pending, sizeof *pending);

  talloc_steal (later, pending->reply.mem);
  jw_schedule (world, when, deliver_reply, later);
}

void
jw_schedule_reply (struct jw_host *host, uint32_t epoch, uint64_t number,
                   jb_time when, struct jb_reply *reply)
{
  struct pending_reply *data = talloc_zero (NULL, struct pending_reply);

  data->host = host;
  data->epoch = epoch;
  data->number = number;
  data->reply = *reply;
  talloc_steal (data, reply->mem);
  jw_schedule (host->world, when, deliver_reply, data);
}

/* ---- messages between entry hosts ---- */

struct peer_message
{
  struct jw_host *to;
  uint32_t epoch;
  uint64_t from;
  struct ba_bytes body;
  jb_time arrived_at; /* 0: it has not; then its turn in the host's event loop
                         is known */
};

/* Return whether BODY is a message that a host of the previous version can't
   decode.  */
static bool
is_new_message (struct ba_bytes body)
{
  struct jb_msg *message = jb_msg_decode (NULL, body);
  bool is_new = message != NULL
                && (message->type == JB_MSG_PROCESS_QUERY
                    || message->type == JB_MSG_PROCESS_ENDED
                    || message->type == JB_MSG_DOUBTS);

  talloc_free (message);
  return is_new;
}

bool
jw_host_is_previous_version (const struct jw_host *host)
{
  const uint32_t mask = host->world->options.previous_version_hosts;

  return host->index < 32 && (mask >> host->index & 1) != 0;
}

static void
deliver_message (struct jw_world *world, void *data)
{
  struct peer_message *message = data;
  jb_time when;

  if (message->to->host == NULL || message->to->epoch != message->epoch
      || message->to->frozen || message->to->peers_unreachable)
    return;
  if (jw_host_is_previous_version (message->to)
      && is_new_message (message->body))
    return;
  when = message->arrived_at != 0 ? world->now
                                  : jw_host_handling_time (message->to);
  if (message->arrived_at == 0)
    message->arrived_at = world->now;
  if (when > world->now)
    {
      struct peer_message *later
          = talloc_memdup (NULL, message, sizeof *message);

      talloc_steal (later, message->body.data);
      jw_schedule (world, when, deliver_message, later);
      return;
    }
  message->to->received_bytes += message->body.len;
  if (!jb_host_receive_message (message->to->host, world->now,
                                message->arrived_at, message->from,
                                message->body))
    jw_report_violation (world, "MESSAGE", "a message can't be decoded");
  jw_host_run (message->to);
}

jb_time
jw_reserve_link (const struct jw_host *host, jb_time *free_at, jb_time when,
                 size_t bytes)
{
  if (host->link_bytes_per_s == 0)
    return when;
  *free_at = MAX (when, *free_at)
             + (jb_time)bytes * JB_SECOND / host->link_bytes_per_s;
  return *free_at;
}

/* Return whether a message of FROM to the process MEMBER reaches TO.  */
static bool
reaches (const struct jw_host *from, uint64_t member, const struct jw_host *to)
{
  bool is_unbound = from->world->options.unbound_links
                    || jw_host_is_previous_version (from);

  return to->host != NULL && to->in_cut_group == from->in_cut_group
         && (to->incarnation == member
             || (is_unbound && to->incarnation >> 32 == member >> 32));
}

static void
send_message (void *context, uint64_t member, struct ba_bytes body)
{
  struct jw_host *host = context;
  struct jw_world *world = host->world;
  jb_time sent_at;

  host->sent_messages++;
  host->sent_bytes += body.len;
  sent_at
      = jw_reserve_link (host, &host->link_out_free_at, world->now, body.len);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    {
      struct jw_host *to = &world->hosts[i];
      struct peer_message *message;

      if (!reaches (host, member, to) || host->peers_unreachable)
        continue;
      message = talloc_zero (NULL, struct peer_message);
      message->to = to;
      message->epoch = to->epoch;
      message->from = host->incarnation;
      message->body = ba_bytes_copy (message, body.data, body.len);
      jw_schedule (world,
                   jw_reserve_link (to, &to->link_in_free_at,
                                    sent_at + JW_ONE_WAY_LATENCY_US, body.len)
                       + (world->options.reorder_messages ? g_rand_int_range (
                              world->random, 0, JW_ONE_WAY_LATENCY_US)
                                                          : 0),
                   deliver_message, message);
    }
}

static void
ignore_members (void *context, const struct jb_member_address *members,
                uint32_t count)
{
  (void)context;
  (void)members;
  (void)count;
}

static void
write_log (void *context, enum jb_level level, const char *event,
           const struct jb_log_field *fields, uint32_t count)
{
  struct jw_host *host = context;

  if (!host->world->options.verbose)
    return;
  (void)level;
  printf ("%9.3f %s %s", (double)host->world->now / 1e6, host->name, event);
  for (uint32_t i = 0; i < count; i++)
    printf (" %s=%s", fields[i].name, fields[i].value);
  printf ("\n");
}

static void
deliver_answer (void *context, uint64_t number, const struct jb_answer *answer)
{
  const struct jw_host *host = context;

  jw_receive_answer (host->world, jw_call_key (host, number), answer);
}

static const struct jb_driver_ops driver_ops = { .submit = jw_submit_command,
                                                 .send = send_message,
                                                 .set_members = ignore_members,
                                                 .answer = deliver_answer,
                                                 .log = write_log };

/* ---- entry hosts ---- */

void
jw_host_start (struct jw_world *world, uint32_t index)
{
  struct jw_host *host = &world->hosts[index];
  struct jb_host_options options
      = { .name = host->name,
          .zone = "zone",
          .address = host->name,
          .bounds
          = { .max_lease_ms = world->options.max_lease_ms,
              .max_stop_ms = 500,
              .gang_timeout_ms = 3000,
              .unavailable_after_ms = 4500,
              .maintenance_ms = 2000,
              .host_move_ms = 1500,
              .command_lease_ms = 3000,
              .max_over_target_ms = 4000,
              .job_retention_ms = 120000,
              .remote_data_slowdown = 1.5,
              .max_host_commands_per_s = 64,
              .max_row_bytes = JW_MAX_ROW_BYTES,
              .lookahead = world->options.lookahead,
              .disabled_safeguards = world->options.disabled_safeguards,
              .check_sums = true } };

  if (host->host != NULL || host->up)
    return;
  host->epoch++;
  host->last_call = 0;
  host->disturbed_at = world->now;
  host->last_handled_at = 0;
  host->frozen = false;
  host->link_in_free_at = 0;
  host->arriving_reply = 0;
  host->link_out_free_at = 0;
  if (world->options.small_hosts > 0)
    {
      bool is_small
          = index >= world->options.hosts - world->options.small_hosts;

      options.cpu_share_milli
          = is_small ? JW_SMALL_CPU_SHARE_MILLI : JW_LARGE_CPU_SHARE_MILLI;
      host->link_bytes_per_s
          = is_small ? JW_SMALL_LINK_BYTES_PER_S : JW_LARGE_LINK_BYTES_PER_S;
    }
  if (world->options.external_hosts != NULL)
    {
      host->up = true;
      world->options.external_hosts->start_host (
          world->options.external_hosts->context, index);
      return;
    }
  host->incarnation = ((uint64_t)index << 32) + host->epoch + 1;
  options.incarnation = host->incarnation;
  host->host = jb_host_new (world, world->now, &options, &driver_ops, host);
  jw_host_run (host);
}

/* External hosts are killed, stopped and frozen by signals.  */
static void
send_signal (const struct jw_host *host, int signal_number)
{
  const struct jw_external_hosts *external_hosts
      = host->world->options.external_hosts;

  if (external_hosts != NULL && host->up)
    external_hosts->signal_host (external_hosts->context, host->index,
                                 signal_number);
}

void
jw_host_kill (struct jw_world *world, uint32_t index)
{
  struct jw_host *host = &world->hosts[index];

  send_signal (host, SIGKILL);
  host->up = false;
  TALLOC_FREE (host->host);
  host->epoch++;
}

/* A planned stop.  */
struct pending_exit
{
  struct jw_host *host;
  uint32_t epoch;
  jb_time begun_at;
};

/* End the process of a host that has stopped, or has no more time to.  */
static void
exit_after_stop (struct jw_world *world, void *data)
{
  struct pending_exit *pending = data;
  struct jw_host *host = pending->host;
  bool is_late = world->now - pending->begun_at >= HOST_STOP_TIMEOUT;
  struct pending_exit *next;

  if (host->epoch != pending->epoch)
    return;
  if (is_late
      || (host->host != NULL && !host->frozen
          && jb_host_has_stopped (host->host) && !jw_has_calls (world, host)))
    {
      if (host->host != NULL && host->frozen_at < pending->begun_at)
        jw_check_calls_answered (world, host);
      jw_host_kill (world, host->index);
      return;
    }
  next = talloc_memdup (NULL, pending, sizeof *pending);
  jw_schedule (world, world->now + STOP_CHECK_INTERVAL, exit_after_stop, next);
}

void
jw_host_stop (struct jw_world *world, uint32_t index)
{
  struct jw_host *host = &world->hosts[index];
  struct pending_exit *pending;

  if ((host->host == NULL && !host->up) || host->frozen)
    return;
  send_signal (host, SIGTERM);
  if (host->host != NULL)
    {
      jb_host_stop (host->host, world->now, HOST_STOP_TIMEOUT);
      jw_host_run (host);
    }
  pending = talloc_zero (NULL, struct pending_exit);
  pending->host = host;
  pending->epoch = host->epoch;
  pending->begun_at = world->now;
  jw_schedule (world, world->now + STOP_CHECK_INTERVAL, exit_after_stop,
               pending);
}

void
jw_host_set_frozen (struct jw_world *world, uint32_t index, bool frozen)
{
  struct jw_host *host = &world->hosts[index];

  host->frozen = frozen;
  if (frozen)
    host->frozen_at = world->now;
  send_signal (host, frozen ? SIGSTOP : SIGCONT);
  if (!frozen && host->host != NULL)
    jw_host_run (host);
}

void
jw_host_reload (struct jw_world *world, uint32_t index)
{
  send_signal (&world->hosts[index], SIGHUP);
}

void
jw_cut_group (struct jw_world *world, uint32_t first, uint32_t count)
{
  uint32_t host_count = world->options.hosts;

  for (uint32_t i = 0; i < host_count; i++)
    world->hosts[(first + i) % host_count].in_cut_group = i < count;
}

int
jw_pool_owner (struct jw_world *world, uint32_t pool)
{
  char name[16];

  if (world->options.external_hosts != NULL)
    return world->last_writers[pool];
  snprintf (name, sizeof name, "pool-%u", pool);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    if (world->hosts[i].host != NULL
        && jb_host_owns_pool (world->hosts[i].host, name))
      return (int)i;
  return -1;
}

int
jw_find_planner (const struct jw_world *world)
{
  for (uint32_t i = 0; i < world->options.hosts; i++)
    if (world->hosts[i].host != NULL
        && jb_host_is_planner (world->hosts[i].host))
      return (int)i;
  return -1;
}

static void
create_catalog (struct jw_world *world)
{
  struct jb_catalog *catalog = talloc_zero (world, struct jb_catalog);
  uint32_t pools = world->options.pools;

  catalog->version = 1;
  catalog->queue_count = pools;
  catalog->queues = talloc_zero_array (catalog, struct jb_queue, pools);
  catalog->pool_count = pools + 1;
  catalog->pools
      = talloc_zero_array (catalog, struct jb_pool_settings, pools + 1);
  for (uint32_t i = 0; i <= pools; i++)
    {
      catalog->pools[i].name = talloc_asprintf (catalog, "pool-%u", i);
      catalog->pools[i].rejects_overload = !world->options.no_overload_guard;
      catalog->pools[i].standby = i == pools;
      if (i == pools)
        continue;
      catalog->queues[i] = (struct jb_queue){
        .name = talloc_asprintf (catalog, "queue-%u", i),
        .host = talloc_strdup (catalog, "queues.example"),
        .path_prefix = talloc_asprintf (catalog, "/q%u/", i),
        .pool = catalog->pools[i].name,
        .max_attempts = JW_MAX_ATTEMPTS,
        .stretch_milli = 1600,
        .due_margin_ms = 600,
        .needs_advice = world->options.needs_advice
      };
    }
  catalog->org_count = 2;
  catalog->orgs = talloc_zero_array (catalog, struct jb_org, 2);
  for (uint32_t i = 0; i < 2; i++)
    {
      catalog->orgs[i].name = talloc_asprintf (catalog, "org-%u", i);
      catalog->orgs[i].keys = talloc_zero_array (catalog, char *, 1);
      catalog->orgs[i].keys[0] = talloc_asprintf (catalog, "key-%u", i);
      catalog->orgs[i].key_count = 1;
      catalog->orgs[i].weight = 1;
      catalog->orgs[i].limit.cpu_milli = world->options.org_cpu_limit_milli;
    }
  world->catalog = catalog;
}

void
jw_bump_catalog_version (struct jw_world *world)
{
  world->catalog->version++;
  world->catalog_version = ++world->version;
}

void
jw_move_queue (struct jw_world *world, uint32_t index, uint32_t pool)
{
  world->catalog->queues[index].pool = world->catalog->pools[pool].name;
  jw_bump_catalog_version (world);
}

void
jw_add_queues (struct jw_world *world, uint32_t count)
{
  struct jb_catalog *catalog = world->catalog;
  uint32_t old_count = catalog->queue_count;

  catalog->queue_count += count;
  catalog->queues = talloc_realloc (catalog, catalog->queues, struct jb_queue,
                                    catalog->queue_count);
  for (uint32_t i = old_count; i < catalog->queue_count; i++)
    {
      catalog->queues[i] = catalog->queues[0];
      catalog->queues[i].name = talloc_asprintf (catalog, "queue-%u", i);
      catalog->queues[i].path_prefix = talloc_asprintf (catalog, "/q%u/", i);
    }
  jw_bump_catalog_version (world);
}

struct jw_world *
jw_world_new (const struct jw_options *options)
{
  struct jw_world *world = talloc_zero (NULL, struct jw_world);

  world->options = *options;
  if (options->max_lease_ms == 0)
    world->options.max_lease_ms = JW_MAX_LEASE_MS;
  world->now = 1000 * JB_SECOND;
  if (options->external_hosts != NULL)
    world->now = options->external_hosts->wait_until (
        options->external_hosts->context, 0);
  for (uint32_t i = 0; i < JW_MAX_POOL_COUNT; i++)
    world->last_writers[i] = -1;
  world->events = g_sequence_new (NULL);
  world->random = g_rand_new_with_seed (options->seed);
  world->late_lease_random = g_rand_new_with_seed (options->seed);
  world->resend_random = g_rand_new_with_seed (options->seed);
  world->tasks = g_hash_table_new (g_str_hash, g_str_equal);
  world->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  world->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  world->backends = g_ptr_array_new ();
  world->fleet = g_ptr_array_new ();
  create_catalog (world);
  jw_store_init (world);
  jw_fleet_init (world);
  for (uint32_t i = 0; i < options->hosts; i++)
    {
      struct jw_host *host = &world->hosts[i];

      host->world = world;
      host->index = i;
      snprintf (host->name, sizeof host->name, "host-%u", i);
      jw_host_start (world, i);
    }
  return world;
}

void
jw_world_free (struct jw_world *world)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (world->events);

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    g_free (g_sequence_get (iter));
  g_sequence_free (world->events);
  for (uint32_t i = 0; i < world->options.hosts; i++)
    {
      send_signal (&world->hosts[i], SIGKILL);
      TALLOC_FREE (world->hosts[i].host);
    }
  for (guint i = 0; i < world->backends->len; i++)
    {
      struct jw_backend *backend = g_ptr_array_index (world->backends, i);

      g_ptr_array_free (backend->runs, TRUE);
      g_ptr_array_free (backend->ended_runs, TRUE);
      g_ptr_array_free (backend->waiting_probes, TRUE);
      g_hash_table_destroy (backend->closed_runs);
    }
  g_ptr_array_free (world->backends, TRUE);
  g_ptr_array_free (world->fleet, TRUE);
  g_ptr_array_free (world->rows, TRUE);
  g_hash_table_destroy (world->tasks);
  g_hash_table_destroy (world->jobs);
  g_hash_table_destroy (world->calls);
  g_rand_free (world->random);
  g_rand_free (world->late_lease_random);
  g_rand_free (world->resend_random);
  talloc_free (world);
}
