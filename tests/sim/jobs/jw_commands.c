/* Delivers commands of entry hosts to the store, to backend servers and to the
   fleet's hosts.  Some get no reply, as struct jw_loss_permille describes.  */

#include "jw_world.h"

#include "jb_commanded.h"

#include <stdio.h>
#include <string.h>

/* Latency of a command to the store, and of its reply.  */
#define STORE_LATENCY (4 * JB_MS)

/* Delay of a command that is carried out late.  */
#define MIN_DELAY_MS 500
#define DEFAULT_MAX_DELAY_MS 6000

/* Delay of a lease that is granted late.  */
#define MIN_LEASE_DELAY_MS 2000
#define MAX_LEASE_DELAY_MS 12000

/* The HTTP client sends a command again when the connection is closed.  */
#define MAX_RESEND_DELAY_MS 1000

enum
{
  STORE_BYTES_PER_QUEUE = 270 /* in the store's answer with a configuration */
};

struct in_flight_command
{
  struct jw_host *host;
  uint32_t epoch;
  uint64_t number;
  struct jb_command command;
  bool gets_reply;
  bool delayed;
  bool has_late_lease;
  bool resent;      /* the second sending of a command */
  int64_t lease_ms; /* time left of a late lease when it was sent */
  jb_time sent_at;
};

/* Return when the store's REPLY, which is sent at WHEN, has reached the host
   of IN_FLIGHT, or JB_NEVER if the host gives up before its first part.  */
static jb_time
transfer_store_reply (struct in_flight_command *in_flight, jb_time when,
                      const struct jb_reply *reply)
{
  struct jw_host *host = in_flight->host;

  if (reply->catalog == NULL || host->link_bytes_per_s == 0)
    return when;
  if (host->link_in_free_at
      > in_flight->sent_at + in_flight->command.timeout_ms * JB_MS)
    return JB_NEVER;
  if (jb_command_is_read (in_flight->command.kind))
    host->arriving_reply = in_flight->number;
  return jw_reserve_link (host, &host->link_in_free_at, when,
                          (size_t)reply->catalog->queue_count
                              * STORE_BYTES_PER_QUEUE);
}

static struct jb_row *
copy_rows (TALLOC_CTX *mem, const struct jb_row *rows, uint32_t count)
{
  struct jb_row *copies = talloc_array (mem, struct jb_row, count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      copies[i] = rows[i];
      copies[i].table = talloc_strdup (copies, rows[i].table);
      copies[i].partition = talloc_strdup (copies, rows[i].partition);
      copies[i].key = talloc_strdup (copies, rows[i].key);
      copies[i].value
          = ba_bytes_copy (copies, rows[i].value.data, rows[i].value.len);
    }
  return copies;
}

static void
copy_command (struct in_flight_command *to, const struct jb_command *from)
{
  struct jb_command *command = &to->command;

  *command = *from;
  command->backend.address = talloc_strdup (to, from->backend.address);
  command->backend.instance = talloc_strdup (to, from->backend.instance);
  switch (from->kind)
    {
    case JB_COMMAND_WRITE:
      command->u.write.expected_rows = copy_rows (
          to, from->u.write.expected_rows, from->u.write.expected_count);
      command->u.write.set_rows
          = copy_rows (to, from->u.write.set_rows, from->u.write.set_count);
      command->u.write.removed_rows = copy_rows (
          to, from->u.write.removed_rows, from->u.write.removed_count);
      break;
    case JB_COMMAND_WATCH_CONFIG:
      command->u.watch_config.first_key
          = talloc_strdup (to, from->u.watch_config.first_key);
      break;
    case JB_COMMAND_READ:
    case JB_COMMAND_LIST_HOSTS:
    case JB_COMMAND_LIST_BACKENDS:
      command->u.read.table = talloc_strdup (to, from->u.read.table);
      command->u.read.partition = talloc_strdup (to, from->u.read.partition);
      command->u.read.first_key = talloc_strdup (to, from->u.read.first_key);
      break;
    case JB_COMMAND_START_TASK:
      command->u.start_task.task = talloc_strdup (to, from->u.start_task.task);
      command->u.start_task.spec = talloc_strdup (to, from->u.start_task.spec);
      command->u.start_task.checkpoint
          = talloc_strdup (to, from->u.start_task.checkpoint);
      command->u.start_task.ticket
          = talloc_strdup (to, from->u.start_task.ticket);
      break;
    case JB_COMMAND_STOP_TASK:
      command->u.stop_task.task = talloc_strdup (to, from->u.stop_task.task);
      break;
    case JB_COMMAND_GET_ADVICE:
      {
        const char **names = talloc_array (
            to, const char *, from->u.get_advice.backend_count + 1);

        for (uint32_t i = 0; i < from->u.get_advice.backend_count; i++)
          names[i] = talloc_strdup (to, from->u.get_advice.backends[i]);
        command->u.get_advice.backends = names;
        command->u.get_advice.step
            = talloc_strdup (to, from->u.get_advice.step);
        break;
      }
    case JB_COMMAND_SET_SPEED:
      command->u.set_speed.task = talloc_strdup (to, from->u.set_speed.task);
      break;
    case JB_COMMAND_MOVE_HOST:
    case JB_COMMAND_MAINTAIN_HOST:
      command->u.host.host = talloc_strdup (to, from->u.host.host);
      command->u.host.target_pool
          = talloc_strdup (to, from->u.host.target_pool);
      command->u.host.owner = talloc_strdup (to, from->u.host.owner);
      break;
    default:
      break;
    }
}

/* Leave out what a host of the previous version would not write or read.  */
static void
remove_new_rows (struct in_flight_command *in_flight)
{
  struct jb_command *command = &in_flight->command;
  uint32_t count = 0;

  if (!jw_host_is_previous_version (in_flight->host))
    return;
  if (command->kind == JB_COMMAND_READ
      && strcmp (command->u.read.table, JB_COMMANDED_TABLE) == 0)
    command->u.read.table = "";
  if (command->kind != JB_COMMAND_WRITE)
    return;
  for (uint32_t i = 0; i < command->u.write.set_count; i++)
    {
      struct jb_row *rows = (struct jb_row *)command->u.write.set_rows;

      if (strcmp (rows[i].table, JB_COMMANDED_TABLE) != 0)
        rows[count++] = rows[i];
    }
  command->u.write.set_count = count;
}

static bool
is_store_command (enum jb_command_kind kind)
{
  return kind <= JB_COMMAND_REPORT_WAVE;
}

static bool
is_backend_command (enum jb_command_kind kind)
{
  return kind >= JB_COMMAND_START_TASK && kind <= JB_COMMAND_SET_SPEED;
}

/* Return the lease that COMMAND asks for, or NULL.  */
static int64_t *
find_lease (struct jb_command *command)
{
  if (command->kind == JB_COMMAND_START_TASK)
    return &command->u.start_task.lease_until_ms;
  if (command->kind == JB_COMMAND_PROBE && command->u.probe.lease_until_ms > 0)
    return &command->u.probe.lease_until_ms;
  return NULL;
}

/* Let the late lease of IN_FLIGHT, which arrives, count from its arrival.  */
static void
count_lease_from_arrival (struct jw_world *world,
                          struct in_flight_command *in_flight)
{
  const struct jw_backend *backend
      = jw_find_target (world, &in_flight->command.backend);

  if (backend != NULL)
    *find_lease (&in_flight->command)
        = jw_backend_clock_ms (backend, world->now) + in_flight->lease_ms;
}

static void
deliver_command (struct jw_world *world, void *data)
{
  struct in_flight_command *in_flight = data;
  struct jb_reply reply = { 0 };
  jb_time reply_at = world->now + JW_ONE_WAY_LATENCY_US;

  world->sender = in_flight->host;
  world->command_sent_at = in_flight->sent_at;
  if (in_flight->command.kind == JB_COMMAND_PROBE && in_flight->gets_reply
      && jw_backend_defer_probe (world, in_flight->host, in_flight->number,
                                 &in_flight->command))
    return;
  world->delivering_delayed_command = in_flight->delayed;
  world->delivering_late_lease = in_flight->has_late_lease;
  if (in_flight->has_late_lease
      && world->options.late_leases == JW_LATE_LEASES_FROM_ARRIVAL)
    count_lease_from_arrival (world, in_flight);
  reply.mem = talloc_new (NULL);
  if (is_store_command (in_flight->command.kind))
    {
      jw_store_execute (world, &in_flight->command, &reply);
      reply_at = world->now + STORE_LATENCY + world->store_delay;
      /* Watches are answered after a quarter of their waiting time, except for
         the first one.  */
      if (in_flight->command.kind == JB_COMMAND_WATCH_CONFIG
          && reply.row_count == 0
          && in_flight->command.u.watch_config.after_version != 0)
        reply_at = world->now
                   + in_flight->command.u.watch_config.wait_ms * JB_MS / 4;
      /* A reply that is lost takes no time on the link, and times out.  */
      if (in_flight->gets_reply)
        reply_at = transfer_store_reply (in_flight, reply_at, &reply);
    }
  else if (is_backend_command (in_flight->command.kind))
    {
      jw_backend_execute (world, &in_flight->command, &reply);
      reply_at += world->backend_reply_delay;
    }
  else
    jw_fleet_execute (world, &in_flight->command, &reply);
  reply.resent = in_flight->resent;
  if (in_flight->gets_reply && reply.result != JB_RESULT_UNKNOWN
      && reply_at != JB_NEVER)
    jw_schedule_reply (in_flight->host, in_flight->epoch, in_flight->number,
                       reply_at, &reply);
  else
    talloc_free (reply.mem);
}

/* External hosts can't be asked which pools they own, so the last one that
   wrote rows of a pool is assumed to own it.  */
static void
record_writer (struct jw_host *host, const struct jb_command *command)
{
  const char *partition = NULL;
  unsigned pool;

  if (command->kind == JB_COMMAND_WRITE && command->u.write.set_count > 0)
    partition = command->u.write.set_rows[0].partition;
  if (partition != NULL && sscanf (partition, "pool/pool-%u", &pool) == 1
      && pool < JW_MAX_POOL_COUNT)
    host->world->last_writers[pool] = (int)host->index;
}

/* The lease that IN_FLIGHT asks for, which lasts until LEASE_UNTIL_MS on the
   clock of BACKEND, will be granted late.  */
static void
mark_late_lease (const struct jw_world *world,
                 struct in_flight_command *in_flight,
                 const struct jw_backend *backend, int64_t lease_until_ms)
{
  in_flight->lease_ms
      = lease_until_ms - jw_backend_clock_ms (backend, world->now);
  in_flight->gets_reply = false;
  in_flight->delayed = true;
  in_flight->has_late_lease = true;
}

/* Return how long after COMMAND the HTTP client sends it again since the
   answer to the first sending is lost, or 0 if it does not.  */
static jb_time
choose_resend_delay (struct jw_world *world, const struct jb_command *command)
{
  struct jw_delayed_command *delayed = &world->delayed_command;
  jb_time delay = delayed->delay;

  if (delayed->is_resent && delay != 0 && command->kind == delayed->kind)
    {
      delayed->delay = 0;
      delayed->backend = jw_find_target (world, &command->backend);
      delayed->delivered_at = world->now + JW_ONE_WAY_LATENCY_US + delay;
      return delay;
    }
  if (world->resend_permille == 0 || !is_backend_command (command->kind)
      || g_rand_int_range (world->resend_random, 0, 1000)
             >= (gint32)world->resend_permille)
    return 0;
  return g_rand_int_range (world->resend_random, 1, MAX_RESEND_DELAY_MS)
         * JB_MS;
}

/* Let IN_FLIGHT arrive at ARRIVAL without an answer, and again after DELAY
   with one.  */
static void
send_twice (struct jw_world *world, struct in_flight_command *in_flight,
            jb_time arrival, jb_time delay)
{
  struct in_flight_command *first
      = talloc_zero (NULL, struct in_flight_command);

  *first = *in_flight;
  copy_command (first, &in_flight->command);
  first->gets_reply = false;
  in_flight->resent = true;
  jw_schedule (world, arrival, deliver_command, first);
  jw_schedule (world, arrival + delay, deliver_command, in_flight);
}

/* Delay IN_FLIGHT, which would arrive at ARRIVAL, if it is the command that a
   test delays.  Return whether it was.  */
static bool
delay_for_test (struct jw_world *world, struct in_flight_command *in_flight,
                jb_time arrival)
{
  struct jw_delayed_command *delayed = &world->delayed_command;
  const int64_t *lease_until_ms = find_lease (&in_flight->command);

  if (delayed->delay == 0 || delayed->is_resent
      || in_flight->command.kind != delayed->kind
      || (delayed->with_lease && lease_until_ms == NULL)
      || (delayed->target != NULL
          && jw_find_target (world, &in_flight->command.backend)
                 != delayed->target))
    return false;
  in_flight->gets_reply = false;
  in_flight->delayed = true;
  if (world->options.late_leases != JW_LATE_LEASES_NONE
      && lease_until_ms != NULL)
    mark_late_lease (world, in_flight,
                     jw_find_target (world, &in_flight->command.backend),
                     *lease_until_ms);
  delayed->delivered_at = arrival + delayed->delay;
  jw_schedule (world, delayed->delivered_at, deliver_command, in_flight);
  delayed->backend = jw_find_target (world, &in_flight->command.backend);
  delayed->delay = 0;
  return true;
}

/* Let the lease that IN_FLIGHT asks for, if any, be granted late at random.
   Return whether it will be.  */
static bool
delay_lease (struct jw_world *world, struct in_flight_command *in_flight)
{
  const struct jw_backend *backend;
  const int64_t *lease_until_ms;
  jb_time delay;

  if (world->options.late_leases == JW_LATE_LEASES_NONE
      || world->late_lease_permille == 0)
    return false;
  lease_until_ms = find_lease (&in_flight->command);
  if (lease_until_ms == NULL)
    return false;
  backend = jw_find_target (world, &in_flight->command.backend);
  if (backend == NULL || backend->unreachable
      || g_rand_int_range (world->late_lease_random, 0, 1000)
             >= (gint32)world->late_lease_permille)
    return false;
  delay = g_rand_int_range (world->late_lease_random, MIN_LEASE_DELAY_MS,
                            MAX_LEASE_DELAY_MS)
          * JB_MS;
  mark_late_lease (world, in_flight, backend, *lease_until_ms);
  jw_schedule (world, world->now + delay, deliver_command, in_flight);
  return true;
}

void
jw_submit_command (void *context, uint64_t number,
                   const struct jb_command *command)
{
  struct jw_host *host = context;
  struct jw_world *world = host->world;
  bool to_store = is_store_command (command->kind);
  bool unreachable = to_store ? host->store_unreachable || host->in_cut_group
                                    || world->store_down
                              : is_backend_command (command->kind)
                                    && host->backends_unreachable;
  uint32_t loss_permille = to_store ? world->loss_permille.store_commands
                           : is_backend_command (command->kind)
                               ? world->loss_permille.backend_commands
                           : command->kind == JB_COMMAND_MOVE_HOST
                                   || command->kind == JB_COMMAND_MAINTAIN_HOST
                               ? world->loss_permille.host_commands
                               : 0;
  struct in_flight_command *in_flight
      = talloc_zero (NULL, struct in_flight_command);
  struct jb_reply timed_out = { .result = JB_RESULT_UNKNOWN };
  jb_time resend_delay = choose_resend_delay (world, command);
  jb_time arrival = world->now
                    + (to_store ? STORE_LATENCY + world->store_delay
                                : JW_ONE_WAY_LATENCY_US);

  record_writer (host, command);
  if (command->kind == JB_COMMAND_START_TASK)
    jw_check_evacuation (world, host, command);
  in_flight->host = host;
  in_flight->epoch = host->epoch;
  in_flight->number = number;
  in_flight->sent_at = world->now;
  if (host->too_busy && is_backend_command (command->kind))
    {
      timed_out.mem = talloc_new (NULL);
      timed_out.result = JB_RESULT_NOT_SENT;
      jw_schedule_reply (host, host->epoch, number,
                         world->now + command->timeout_ms * JB_MS, &timed_out);
      talloc_free (in_flight);
      return;
    }
  in_flight->gets_reply
      = !unreachable && !jw_random_permille (world, loss_permille);
  copy_command (in_flight, command);
  remove_new_rows (in_flight);
  /* The host gets this reply when the command's timeout has passed, which
     begins anew with each sending; it ignores the reply if another one came
     first.  */
  timed_out.mem = talloc_new (NULL);
  jw_schedule_reply (host, host->epoch, number,
                     world->now + resend_delay + command->timeout_ms * JB_MS,
                     &timed_out);
  if (resend_delay > 0 && in_flight->gets_reply)
    {
      send_twice (world, in_flight, arrival, resend_delay);
      return;
    }
  if (delay_for_test (world, in_flight, arrival))
    return;
  if (!unreachable && delay_lease (world, in_flight))
    return;
  /* Commands to an unreachable destination are lost.  So are half of the other
     commands without a reply; half of the rest is carried out late.  */
  if (!in_flight->gets_reply
      && (unreachable || jw_random_permille (world, 500)))
    {
      talloc_free (in_flight);
      return;
    }
  if (!in_flight->gets_reply && jw_random_permille (world, 500))
    {
      int64_t max_delay_ms = world->options.max_delay_ms > 0
                                 ? world->options.max_delay_ms
                                 : DEFAULT_MAX_DELAY_MS;

      arrival += g_rand_int_range (world->random, MIN_DELAY_MS,
                                   (gint32)max_delay_ms)
                 * JB_MS;
      in_flight->delayed = true;
    }
  jw_schedule (world, arrival, deliver_command, in_flight);
}
