/* Slopes of the decision core: what one entry host's processor time, memory
   and messages come to as the fleet grows.  Times are ratios within one run;
   sizes are exact.

   Usage: bench_core  */

#include "co_core.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  REQUESTS = 20000,
  SLOTS = 8
};

struct fleet_size
{
  uint32_t hosts, pools, teams, members;
};

static double
cpu_seconds (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static char *
fleet_text (TALLOC_CTX *mem, const struct fleet_size *size)
{
  struct cf_fleet *f = talloc_zero (mem, struct cf_fleet);

  g_assert (size->pools > 0);

  f->name = "bench";
  f->pool_count = f->queue_count = size->pools;
  f->team_count = size->teams;
  f->host_count = size->hosts;
  f->pools = talloc_zero_array (f, struct cf_pool, size->pools);
  f->queues = talloc_zero_array (f, struct cf_queue, size->pools);
  f->teams = talloc_zero_array (f, struct cf_team, size->teams);
  f->hosts = talloc_zero_array (f, struct cf_host, size->hosts);
  for (uint32_t i = 0; i < size->pools; i++)
    {
      f->pools[i].name = talloc_asprintf (f, "pool%u", i);
      f->pools[i].min_available
          = size->hosts / size->pools - size->hosts / size->pools / 20 - 1;
      f->queues[i].name = talloc_asprintf (f, "queue%u", i);
      f->queues[i].pool = f->pools[i].name;
      f->queues[i].max_waiting = 1000;
    }
  for (uint32_t i = 0; i < size->teams; i++)
    {
      f->teams[i].name = talloc_asprintf (f, "team%u", i);
      f->teams[i].share = 1 + i % 7;
      f->teams[i].limit = 100000;
    }
  for (uint32_t i = 0; i < size->hosts; i++)
    {
      struct cf_host *h = &f->hosts[i];

      h->name = talloc_asprintf (f, "host%05u", i);
      h->address = talloc_asprintf (f, "10.%u.%u.%u:9000", i / 65536,
                                    i / 256 % 256, i % 256);
      h->zone = talloc_asprintf (f, "zone%u", i % 29);
      h->rack = talloc_asprintf (f, "rack%u", i / 4);
      h->pool = f->pools[i % size->pools].name;
      h->cores = 16;
      h->memory_mb = 65536;
      h->slots = SLOTS;
    }
  return cf_fleet_to_yaml (mem, f);
}

/* A core that is the only member, with a table that agrees to everything.  */
struct bench
{
  struct co_core *core;
  co_time now;
  uint64_t writes;
  uint64_t reboots;
  struct co_live_host *live;
  uint32_t live_count;
  GHashTable *live_index;
  uint64_t send_bytes;
  struct co_row view;
};

static void give (struct bench *b, const struct co_event *event);

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

static void
carry_out (struct bench *b, const struct co_action *o)
{
  struct co_event reply = { 0 };
  uint32_t host;

  switch (o->type)
    {
    case CO_ACTION_WRITE:
      b->writes++;
      if (strcmp (o->u.write.row.partition, "view") == 0)
        {
          b->view.version = o->u.write.row.version;
          b->view.body = ba_bytes_copy (b->core, o->u.write.row.body.data,
                                        o->u.write.row.body.len);
        }
      reply.type = CO_EVENT_WRITE_DONE;
      reply.u.write_done.op_id = o->u.write.op_id;
      give (b, &reply);
      break;
    case CO_ACTION_READ:
      reply.type = CO_EVENT_READ_DONE;
      reply.u.read_done.op_id = o->u.read.op_id;
      give (b, &reply);
      break;
    case CO_ACTION_POLL:
      reply.type = CO_EVENT_POLL_DONE;
      reply.u.poll_done.sent_at = b->now;
      reply.u.poll_done.view_row = b->view;
      give (b, &reply);
      break;
    case CO_ACTION_SEND:
      b->send_bytes += message_size (&o->u.send.message);
      break;
    case CO_ACTION_REBOOT:
      b->reboots++;
      host = GPOINTER_TO_UINT (
          g_hash_table_lookup (b->live_index, o->u.reboot.host));
      b->live[host - 1].boot_id++;
      break;
    default:
      break;
    }
}

static void
give (struct bench *b, const struct co_event *event)
{
  struct co_outbox *outbox = co_outbox_new (NULL);

  co_core_step (b->core, b->now, event, outbox);
  for (uint32_t i = 0; i < outbox->count; i++)
    carry_out (b, &outbox->actions[i]);
  talloc_free (outbox);
}

static void
tick (struct bench *b, co_time by)
{
  struct co_event event = { .type = CO_EVENT_TICK };

  b->now += by;
  give (b, &event);
}

static void
send_hosts (struct bench *b)
{
  struct co_event event = { .type = CO_EVENT_HOST_LIST };

  event.u.host_list.requested_at = b->now;
  event.u.host_list.hosts = b->live;
  event.u.host_list.host_count = b->live_count;
  give (b, &event);
}

static void
change (struct bench *b, const struct co_change *c, const char *token)
{
  struct co_event event = { .type = CO_EVENT_CHANGE };

  event.u.change.change_id = 1;
  event.u.change.token = (char *)token;
  event.u.change.change = *c;
  give (b, &event);
}

static void
fill_live (struct bench *b, const struct fleet_size *size)
{
  b->live = talloc_zero_array (b->core, struct co_live_host, size->hosts);
  b->live_count = size->hosts;
  b->live_index = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < size->hosts; i++)
    {
      b->live[i].name = talloc_asprintf (b->core, "host%05u", i);
      b->live[i].boot_id = 1;
      g_hash_table_insert (b->live_index, b->live[i].name,
                           GUINT_TO_POINTER (i + 1));
    }
}

static void
begin (struct bench *b, const struct fleet_size *size, double *apply_s)
{
  struct co_options options;
  struct co_change c = { .type = CO_CHANGE_FLEET };
  char *text;
  double started;

  memset (b, 0, sizeof *b);
  co_options_init (&options);
  options.incarnation = 1;
  options.name = options.zone = options.peer_address = options.admin_address
      = "bench";
  options.max_request_count = REQUESTS;
  b->now = CO_SECOND;
  b->core = co_core_new (NULL, &options, b->now);
  for (int i = 0; i < 5; i++)
    tick (b, 500 * CO_MILLISECOND);
  text = fleet_text (NULL, size);
  c.fleet_yaml = text;
  started = cpu_seconds ();
  change (b, &c, "fleet");
  *apply_s = cpu_seconds () - started;
  talloc_free (text);
  for (uint32_t i = 0; i < size->teams; i++)
    {
      struct co_change key = { .type = CO_CHANGE_API_KEY };
      char hash[65];
      char team[16];

      g_snprintf (hash, sizeof hash, "%064u", i);
      g_snprintf (team, sizeof team, "team%u", i);
      key.key_hash = hash;
      key.team = team;
      change (b, &key, hash);
    }
  fill_live (b, size);
  send_hosts (b);
  for (int i = 0; i < 5; i++)
    tick (b, 500 * CO_MILLISECOND);
}

static void
end (struct bench *b)
{
  g_hash_table_destroy (b->live_index);
  talloc_free (b->core);
}

/* Microseconds of processor time for one request, from its arrival to the
   end: two steps.  */
static double
request_cost (struct bench *b, const struct fleet_size *size)
{
  double started = cpu_seconds ();

  for (uint64_t i = 1; i <= REQUESTS; i++)
    {
      struct co_event event = { .type = CO_EVENT_REQUEST };
      struct co_event done = { .type = CO_EVENT_ATTEMPT_DONE };
      char queue[16];
      char key[65];

      g_snprintf (queue, sizeof queue, "queue%u", (uint32_t)i % size->pools);
      g_snprintf (key, sizeof key, "%064u", (uint32_t)i % size->teams);
      event.u.request.request_id = i;
      event.u.request.queue = queue;
      event.u.request.key_hash = key;
      event.u.request.idempotent = true;
      event.u.request.deadline = b->now + CO_SECOND;
      give (b, &event);
      done.u.attempt_done.request_id = i;
      done.u.attempt_done.http_status = 200;
      give (b, &done);
    }
  return (cpu_seconds () - started) * 1e6 / REQUESTS;
}

/* Part of a core that ticks every 10 ms and host lists every second take.  */
static double
idle_cost (struct bench *b)
{
  double started = cpu_seconds ();

  for (int i = 0; i < 500; i++)
    {
      tick (b, 10 * CO_MILLISECOND);
      if (i % 100 == 0)
        send_hosts (b);
    }
  return (cpu_seconds () - started) / 5;
}

/* Seconds of processor time to maintain every host, with hosts that reboot at
   once.  */
static double
maintenance_cost (struct bench *b, const struct fleet_size *size,
                  uint64_t *ticks)
{
  double started = cpu_seconds ();
  double listing = 0;
  struct co_status *status;

  *ticks = 0;
  for (uint32_t i = 0; i < size->pools; i++)
    {
      struct co_change order = { .type = CO_CHANGE_MAINTENANCE };
      char name[16];

      g_snprintf (name, sizeof name, "pool%u", i);
      order.scope = CO_SCOPE_POOL;
      order.scope_name = name;
      change (b, &order, name);
    }
  while (co_core_counter (b->core, CO_COUNTER_HOSTS_MAINTAINED) < size->hosts
         && *ticks < 100000)
    {
      double before = cpu_seconds ();

      send_hosts (b);
      listing += cpu_seconds () - before;
      tick (b, 200 * CO_MILLISECOND);
      (*ticks)++;
    }
  status = co_core_summary (NULL, b->core, b->now);
  talloc_free (status);
  return cpu_seconds () - started - listing;
}

/* Bytes of a heartbeat in which every team and pool has work, and every team
   runs in four pools.  */
static uint64_t
heartbeat_bytes (uint32_t teams, uint32_t pools)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct co_msg m = { .type = CO_MSG_HEARTBEAT };
  struct co_msg_heartbeat *beat = &m.u.heartbeat;
  uint64_t bytes;

  beat->view_version = beat->log_version = 100000;
  beat->team_count = teams;
  beat->pool_count = pools;
  beat->running_count = teams * 4;
  beat->teams = talloc_zero_array (mem, struct co_usage, teams);
  beat->pools = talloc_zero_array (mem, struct co_usage, pools);
  beat->running = talloc_zero_array (mem, struct co_running_count, teams * 4);
  for (uint32_t i = 0; i < teams; i++)
    beat->teams[i] = (struct co_usage){ "team-name", 100, 10, 200 };
  for (uint32_t i = 0; i < pools; i++)
    beat->pools[i] = (struct co_usage){ "pool-name", 300, 30, 500 };
  for (uint32_t i = 0; i < teams * 4; i++)
    beat->running[i] = (struct co_running_count){ i % pools, i % teams, 25 };
  bytes = message_size (&m);
  talloc_free (mem);
  return bytes;
}

int
main (void)
{
  static const struct fleet_size sizes[] = { { 50, 5, 6, 3 },
                                             { 500, 10, 20, 3 },
                                             { 5000, 20, 50, 3 },
                                             { 23000, 26, 81, 3 } };
  double base = 0;

  printf ("| teams | pools | heartbeat bytes | KB/s to 8 peers, 5 a second |\n"
          "|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      uint64_t bytes = heartbeat_bytes (sizes[i].teams, sizes[i].pools);

      printf ("| %u | %u | %d | %.1f |\n", sizes[i].teams, sizes[i].pools,
              (int)bytes, (double)bytes * 5 * 8 / 1000);
    }
  printf ("\n");
  printf ("| hosts | pools | teams | apply s | request us | ratio | idle core "
          "%% | memory MB | maintain all: cpu s | ticks | table writes |\n");
  printf ("|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      const struct fleet_size *s = &sizes[i];
      struct bench b;
      struct mallinfo2 before = mallinfo2 ();
      struct mallinfo2 after;
      double apply_s;
      double request;
      double idle;
      double maintain;
      uint64_t ticks;
      uint64_t writes;

      begin (&b, s, &apply_s);
      after = mallinfo2 ();
      request = request_cost (&b, s);
      idle = idle_cost (&b);
      writes = b.writes;
      maintain = maintenance_cost (&b, s, &ticks);
      base = i == 0 ? request : base;
      printf ("| %u | %u | %u | %.3f | %.2f | %.2f | %.2f | %.1f | %.3f | "
              "%d | %d |\n",
              s->hosts, s->pools, s->teams, apply_s, request, request / base,
              idle * 100,
              (double)(after.uordblks + after.hblkhd - before.uordblks
                       - before.hblkhd)
                  / 1e6,
              maintain, (int)ticks, (int)(b.writes - writes));
      fflush (stdout);
      end (&b);
    }
  return 0;
}
