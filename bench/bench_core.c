/* Scaling benchmark of the decision core: processor time, memory and message
   sizes of one entry host for fleets of several sizes.

   Usage: bench_core

   Prints Markdown tables.  Times depend on the machine, so compare the ratios
   within one run; sizes and counts are exact.  */

#include "co_core.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  REQUEST_COUNT = 20000,
  SLOTS_PER_HOST = 8,
  /* Assumed for the traffic of heartbeats from one entry host.  */
  HEARTBEATS_PER_S = 5,
  PEER_COUNT = 8,
  IDLE_S = 5, /* virtual time without requests */
  IDLE_TICKS_PER_S = 100
};

struct fleet_size
{
  uint32_t host_count, pool_count, team_count, member_count;
};

/* Return the processor time in seconds that this process has used.  */
static double
cpu_seconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* Return the YAML of a fleet of SIZE, owned by MEM.  Each pool has the same
   number of hosts and one queue.  All of its hosts except 5 % and one more
   must stay available.  */
static char *
make_fleet_yaml (TALLOC_CTX *mem, const struct fleet_size *size)
{
  struct cf_fleet *fleet = talloc_zero (mem, struct cf_fleet);

  g_assert (size->pool_count > 0);

  fleet->name = "bench";
  fleet->pool_count = fleet->queue_count = size->pool_count;
  fleet->team_count = size->team_count;
  fleet->host_count = size->host_count;
  fleet->pools = talloc_zero_array (fleet, struct cf_pool, size->pool_count);
  fleet->queues = talloc_zero_array (fleet, struct cf_queue, size->pool_count);
  fleet->teams = talloc_zero_array (fleet, struct cf_team, size->team_count);
  fleet->hosts = talloc_zero_array (fleet, struct cf_host, size->host_count);
  for (uint32_t i = 0; i < size->pool_count; i++)
    {
      fleet->pools[i].name = talloc_asprintf (fleet, "pool%u", i);
      fleet->pools[i].min_available
          = size->host_count / size->pool_count
            - size->host_count / size->pool_count / 20 - 1;
      fleet->queues[i].name = talloc_asprintf (fleet, "queue%u", i);
      fleet->queues[i].pool = fleet->pools[i].name;
      fleet->queues[i].max_waiting = 1000;
    }
  for (uint32_t i = 0; i < size->team_count; i++)
    {
      fleet->teams[i].name = talloc_asprintf (fleet, "team%u", i);
      fleet->teams[i].share = 1 + i % 7;
      fleet->teams[i].limit = 100000;
    }
  for (uint32_t i = 0; i < size->host_count; i++)
    {
      struct cf_host *host = &fleet->hosts[i];

      host->name = talloc_asprintf (fleet, "host%05u", i);
      host->address = talloc_asprintf (fleet, "10.%u.%u.%u:9000", i / 65536,
                                       i / 256 % 256, i % 256);
      host->zone = talloc_asprintf (fleet, "zone%u", i % 29);
      host->rack = talloc_asprintf (fleet, "rack%u", i / 4);
      host->pool = fleet->pools[i % size->pool_count].name;
      host->cores = 16;
      host->memory_mb = 65536;
      host->slots = SLOTS_PER_HOST;
    }
  return cf_fleet_to_yaml (mem, fleet);
}

/* A core that is the only member of its fleet, with a platform whose table
   accepts every write and whose hosts reboot at once.  */
struct bench
{
  struct co_core *core;
  co_time now;
  uint64_t write_count;
  uint64_t reboot_count;
  struct co_live_host *live_hosts;
  uint32_t live_host_count;
  GHashTable *live_host_index; /* name -> index in live_hosts, plus 1 */
  uint64_t sent_bytes;         /* of messages, with their frame headers */
  struct co_row view_row;      /* the membership view last written */
};

static void handle_event (struct bench *bench, const struct co_event *event);

/* Return the encoded size of MESSAGE in bytes, with the 4 bytes of its frame
   header.  */
static uint64_t
message_size (const struct co_msg *message)
{
  struct co_msg copy = *message;
  struct ba_bytes bytes;
  struct ba_codec io;

  ba_codec_init_writer (&io);
  co_msg_serialize (&io, &copy);
  bytes = ba_codec_finish (&io, NULL);
  talloc_free (bytes.data);
  return bytes.len + 4;
}

/* Execute ACTION of the core at once, and pass the result to the core as an
   event.  */
static void
execute_action (struct bench *bench, const struct co_action *action)
{
  struct co_event reply = { 0 };
  uint32_t host;

  switch (action->type)
    {
    case CO_ACTION_WRITE:
      bench->write_count++;
      if (strcmp (action->u.write.row.partition, "view") == 0)
        {
          bench->view_row.version = action->u.write.row.version;
          bench->view_row.body
              = ba_bytes_copy (bench->core, action->u.write.row.body.data,
                               action->u.write.row.body.len);
        }
      reply.type = CO_EVENT_WRITE_DONE;
      reply.u.write_done.op_id = action->u.write.op_id;
      handle_event (bench, &reply);
      break;
    case CO_ACTION_READ:
      reply.type = CO_EVENT_READ_DONE;
      reply.u.read_done.op_id = action->u.read.op_id;
      handle_event (bench, &reply);
      break;
    case CO_ACTION_POLL:
      reply.type = CO_EVENT_POLL_DONE;
      reply.u.poll_done.sent_at = bench->now;
      reply.u.poll_done.view_row = bench->view_row;
      handle_event (bench, &reply);
      break;
    case CO_ACTION_SEND:
      bench->sent_bytes += message_size (&action->u.send.message);
      break;
    case CO_ACTION_REBOOT:
      bench->reboot_count++;
      host = GPOINTER_TO_UINT (
          g_hash_table_lookup (bench->live_host_index, action->u.reboot.host));
      bench->live_hosts[host - 1].boot_id++;
      break;
    default:
      break;
    }
}

/* Let the core handle EVENT, and execute the actions that it returns.  */
static void
handle_event (struct bench *bench, const struct co_event *event)
{
  struct co_outbox *outbox = co_outbox_new (NULL);

  co_core_step (bench->core, bench->now, event, outbox);
  for (uint32_t i = 0; i < outbox->count; i++)
    execute_action (bench, &outbox->actions[i]);
  talloc_free (outbox);
}

/* Advance the virtual time by STEP and let the core handle a tick.  */
static void
advance_and_tick (struct bench *bench, co_time step)
{
  struct co_event event = { .type = CO_EVENT_TICK };

  bench->now += step;
  handle_event (bench, &event);
}

static void
deliver_host_list (struct bench *bench)
{
  struct co_event event = { .type = CO_EVENT_HOST_LIST };

  event.u.host_list.requested_at = bench->now;
  event.u.host_list.hosts = bench->live_hosts;
  event.u.host_list.host_count = bench->live_host_count;
  handle_event (bench, &event);
}

static void
apply_change (struct bench *bench, const struct co_change *change,
              const char *token)
{
  struct co_event event = { .type = CO_EVENT_CHANGE };

  event.u.change.change_id = 1;
  event.u.change.token = (char *)token;
  event.u.change.change = *change;
  handle_event (bench, &event);
}

static void
init_live_hosts (struct bench *bench, const struct fleet_size *size)
{
  bench->live_hosts
      = talloc_zero_array (bench->core, struct co_live_host, size->host_count);
  bench->live_host_count = size->host_count;
  bench->live_host_index = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < size->host_count; i++)
    {
      bench->live_hosts[i].name = talloc_asprintf (bench->core, "host%05u", i);
      bench->live_hosts[i].boot_id = 1;
      g_hash_table_insert (bench->live_host_index, bench->live_hosts[i].name,
                           GUINT_TO_POINTER (i + 1));
    }
}

/* Set up BENCH with a fleet of SIZE whose hosts are all live, and an API key
   for each team.  Set *APPLY_S to the processor time in seconds that the core
   took to apply the fleet's configuration.  */
static void
start_bench (struct bench *bench, const struct fleet_size *size,
             double *apply_s)
{
  struct co_options options;
  struct co_change change = { .type = CO_CHANGE_FLEET };
  char *text;
  double started_s;

  memset (bench, 0, sizeof *bench);
  co_options_init (&options);
  options.incarnation = 1;
  options.name = options.zone = options.peer_address = options.admin_address
      = "bench";
  options.max_request_count = REQUEST_COUNT;
  bench->now = CO_SECOND;
  bench->core = co_core_new (NULL, &options, bench->now);
  for (int i = 0; i < 5; i++)
    advance_and_tick (bench, 500 * CO_MILLISECOND);
  text = make_fleet_yaml (NULL, size);
  change.fleet_yaml = text;
  started_s = cpu_seconds ();
  apply_change (bench, &change, "fleet");
  *apply_s = cpu_seconds () - started_s;
  talloc_free (text);
  for (uint32_t i = 0; i < size->team_count; i++)
    {
      struct co_change key = { .type = CO_CHANGE_API_KEY };
      char hash[65];
      char team[16];

      g_snprintf (hash, sizeof hash, "%064u", i);
      g_snprintf (team, sizeof team, "team%u", i);
      key.key_hash = hash;
      key.team = team;
      apply_change (bench, &key, hash);
    }
  init_live_hosts (bench, size);
  deliver_host_list (bench);
  for (int i = 0; i < 5; i++)
    advance_and_tick (bench, 500 * CO_MILLISECOND);
}

static void
free_bench (struct bench *bench)
{
  g_hash_table_destroy (bench->live_host_index);
  talloc_free (bench->core);
}

/* Return the mean processor time of a request in microseconds.  A request
   takes two steps of the core: its arrival and the end of its attempt.  */
static double
measure_request_us (struct bench *bench, const struct fleet_size *size)
{
  double started_s = cpu_seconds ();

  for (uint64_t i = 1; i <= REQUEST_COUNT; i++)
    {
      struct co_event event = { .type = CO_EVENT_REQUEST };
      struct co_event done = { .type = CO_EVENT_ATTEMPT_DONE };
      char queue[16];
      char key[65];

      g_snprintf (queue, sizeof queue, "queue%u",
                  (uint32_t)i % size->pool_count);
      g_snprintf (key, sizeof key, "%064u", (uint32_t)i % size->team_count);
      event.u.request.request_id = i;
      event.u.request.queue = queue;
      event.u.request.key_hash = key;
      event.u.request.idempotent = true;
      event.u.request.deadline = bench->now + CO_SECOND;
      handle_event (bench, &event);
      done.u.attempt_done.request_id = i;
      done.u.attempt_done.http_status = 200;
      handle_event (bench, &done);
    }
  return (cpu_seconds () - started_s) * 1e6 / REQUEST_COUNT;
}

/* Return the fraction of a processor that an entry host without requests uses,
   with a tick every 10 ms and a host list every second of virtual time.  */
static double
measure_idle_cpu_fraction (struct bench *bench)
{
  double started_s = cpu_seconds ();

  for (int i = 0; i < IDLE_S * IDLE_TICKS_PER_S; i++)
    {
      advance_and_tick (bench, CO_SECOND / IDLE_TICKS_PER_S);
      if (i % IDLE_TICKS_PER_S == 0)
        deliver_host_list (bench);
    }
  return (cpu_seconds () - started_s) / IDLE_S;
}

/* Return the processor time in seconds to do maintenance on every host.  The
   time to process the host lists isn't included.  Set *TICK_COUNT to the
   number of ticks that it took, with 200 ms of virtual time between ticks.  */
static double
measure_maintenance_s (struct bench *bench, const struct fleet_size *size,
                       uint64_t *tick_count)
{
  double started_s = cpu_seconds ();
  double host_list_s = 0;
  struct co_status *status;

  *tick_count = 0;
  for (uint32_t i = 0; i < size->pool_count; i++)
    {
      struct co_change change = { .type = CO_CHANGE_MAINTENANCE };
      char name[16];

      g_snprintf (name, sizeof name, "pool%u", i);
      change.scope = CO_SCOPE_POOL;
      change.scope_name = name;
      apply_change (bench, &change, name);
    }
  while (co_core_counter (bench->core, CO_COUNTER_HOSTS_MAINTAINED)
             < size->host_count
         && *tick_count < 100000)
    {
      double list_started_s = cpu_seconds ();

      deliver_host_list (bench);
      host_list_s += cpu_seconds () - list_started_s;
      advance_and_tick (bench, 200 * CO_MILLISECOND);
      (*tick_count)++;
    }
  status = co_core_summary (NULL, bench->core, bench->now);
  talloc_free (status);
  return cpu_seconds () - started_s - host_list_s;
}

/* Return the size in bytes of a heartbeat in which every team and pool has
   work and every team has requests running in four pools.  */
static uint64_t
measure_heartbeat_bytes (uint32_t teams, uint32_t pools)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct co_msg message = { .type = CO_MSG_HEARTBEAT };
  struct co_msg_heartbeat *heartbeat = &message.u.heartbeat;
  uint64_t bytes;

  heartbeat->view_version = heartbeat->log_version = 100000;
  heartbeat->team_count = teams;
  heartbeat->pool_count = pools;
  heartbeat->running_count = teams * 4;
  heartbeat->teams = talloc_zero_array (mem, struct co_usage, teams);
  heartbeat->pools = talloc_zero_array (mem, struct co_usage, pools);
  heartbeat->running
      = talloc_zero_array (mem, struct co_running_count, teams * 4);
  for (uint32_t i = 0; i < teams; i++)
    heartbeat->teams[i] = (struct co_usage){ "team-name", 100, 10, 200 };
  for (uint32_t i = 0; i < pools; i++)
    heartbeat->pools[i] = (struct co_usage){ "pool-name", 300, 30, 500 };
  for (uint32_t i = 0; i < teams * 4; i++)
    heartbeat->running[i]
        = (struct co_running_count){ i % pools, i % teams, 25 };
  bytes = message_size (&message);
  talloc_free (mem);
  return bytes;
}

int
main (void)
{
  static const struct fleet_size fleet_sizes[] = { { 50, 5, 6, 3 },
                                                   { 500, 10, 20, 3 },
                                                   { 5000, 20, 50, 3 },
                                                   { 23000, 26, 81, 3 } };
  double smallest_fleet_request_us = 0;

  printf ("| teams | pools | heartbeat bytes | KB/s to 8 peers, 5 per second "
          "|\n"
          "|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (fleet_sizes); i++)
    {
      uint64_t bytes = measure_heartbeat_bytes (fleet_sizes[i].team_count,
                                                fleet_sizes[i].pool_count);

      printf ("| %u | %u | %d | %.1f |\n", fleet_sizes[i].team_count,
              fleet_sizes[i].pool_count, (int)bytes,
              (double)bytes * HEARTBEATS_PER_S * PEER_COUNT / 1000);
    }
  printf ("\n");
  printf ("| hosts | pools | teams | apply s | request us | ratio | idle core "
          "%% | memory MB | maintain all: cpu s | ticks | table writes |\n");
  printf ("|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (fleet_sizes); i++)
    {
      const struct fleet_size *size = &fleet_sizes[i];
      struct bench bench;
      struct mallinfo2 memory_before = mallinfo2 ();
      struct mallinfo2 memory_after;
      double apply_s;
      double request_us;
      double idle_cpu_fraction;
      double maintenance_s;
      uint64_t tick_count;
      uint64_t writes_before;

      start_bench (&bench, size, &apply_s);
      memory_after = mallinfo2 ();
      request_us = measure_request_us (&bench, size);
      idle_cpu_fraction = measure_idle_cpu_fraction (&bench);
      writes_before = bench.write_count;
      maintenance_s = measure_maintenance_s (&bench, size, &tick_count);
      smallest_fleet_request_us
          = i == 0 ? request_us : smallest_fleet_request_us;
      printf ("| %u | %u | %u | %.3f | %.2f | %.2f | %.2f | %.1f | %.3f | "
              "%d | %d |\n",
              size->host_count, size->pool_count, size->team_count, apply_s,
              request_us, request_us / smallest_fleet_request_us,
              idle_cpu_fraction * 100,
              (double)(memory_after.uordblks + memory_after.hblkhd
                       - memory_before.uordblks - memory_before.hblkhd)
                  / 1e6,
              maintenance_s, (int)tick_count,
              (int)(bench.write_count - writes_before));
      fflush (stdout);
      free_bench (&bench);
    }
  return 0;
}
