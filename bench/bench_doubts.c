/* Scaling benchmark of the starts in doubt that entry hosts tell each other:
   processor time of the events of a coordinator, for several numbers of
   entries that it keeps.

   Usage: bench_doubts

   A host with simulated members and without a store runs in virtual time.
   Prints a Markdown table.  Times depend on the machine, so compare the ratios
   within one run; bytes are exact.  */

#include "jb_host.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define SILENCE (1500 * JB_MS)
#define HEARTBEAT_INTERVAL (200 * JB_MS)

enum
{
  POOL_COUNT = 26,
  MEMBER_COUNT = 8,
  HOST_INCARNATION = 1,
  FIRST_MEMBER = 100,
  ENTRIES_PER_MESSAGE = 100,
  MESSAGES = 20,
  HEARTBEATS = 20, /* of each member, while it is alive */
  /* Calls of jb_host_run after the silence.  */
  RUNS = 400
};

struct bench
{
  struct jb_host *host;
  jb_time now;
  uint32_t count; /* of entries */
  uint64_t sent_bytes;
  double longest_s;
  double total_s;
};

static double
cpu_seconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* ---- driver ---- */

static void
ignore_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  (void)context;
  (void)number;
  (void)command;
}

static void
count_message (void *context, uint64_t member, struct ba_bytes message)
{
  struct bench *bench = context;

  (void)member;
  bench->sent_bytes += message.len;
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
ignore_log (void *context, enum jb_level level, const char *event,
            const struct jb_log_field *fields, uint32_t count)
{
  (void)context;
  (void)level;
  (void)event;
  (void)fields;
  (void)count;
}

/* ---- events ---- */

static void
reset (struct bench *bench)
{
  bench->longest_s = 0;
  bench->total_s = 0;
  bench->sent_bytes = 0;
}

static void
record (struct bench *bench, double started)
{
  double seconds = cpu_seconds () - started;

  bench->total_s += seconds;
  bench->longest_s = MAX (bench->longest_s, seconds);
}

static void
receive (struct bench *bench, uint64_t from, const struct jb_msg *message)
{
  struct ba_bytes bytes = jb_msg_encode (NULL, message);
  double started = cpu_seconds ();

  (void)jb_host_receive_message (bench->host, bench->now, bench->now, from,
                                 bytes);
  record (bench, started);
  talloc_free (bytes.data);
}

static void
run (struct bench *bench)
{
  double started = cpu_seconds ();

  (void)jb_host_run (bench->host, bench->now);
  record (bench, started);
}

static void
receive_heartbeats (struct bench *bench)
{
  struct jb_msg_heartbeat_age peer = { HOST_INCARNATION, 10 };

  for (uint32_t i = 0; i < MEMBER_COUNT; i++)
    {
      char name[16];
      struct jb_msg message = { .type = JB_MSG_HEARTBEAT,
                                .u.heartbeat = { .name = name,
                                                 .address = "10.0.0.2:1",
                                                 .zone = "a",
                                                 .store_reachable = true,
                                                 .peers = &peer,
                                                 .peer_count = 1 } };

      g_snprintf (name, sizeof name, "member-%u", i);
      receive (bench, FIRST_MEMBER + i, &message);
    }
}

/* Receive COUNT entries from FIRST on, all of one pool.  */
static void
receive_doubts (struct bench *bench, uint32_t first, uint32_t count,
                uint32_t run_number)
{
  struct jb_msg_doubt entries[ENTRIES_PER_MESSAGE];
  char tasks[ENTRIES_PER_MESSAGE][32];
  char pool[16];
  struct jb_msg message
      = { .type = JB_MSG_DOUBTS,
          .u.doubts = { .pool = pool, .count = count, .entries = entries } };

  g_snprintf (pool, sizeof pool, "pool-%u",
              first / ENTRIES_PER_MESSAGE % POOL_COUNT);
  for (uint32_t i = 0; i < count; i++)
    {
      g_snprintf (tasks[i], sizeof tasks[i], "%016x.0.0.0", first + i);
      entries[i]
          = (struct jb_msg_doubt){ { tasks[i], "i-00017", run_number, 1 },
                                   .generation = 1 };
    }
  receive (bench, FIRST_MEMBER, &message);
}

/* Receive MESSAGES messages with entries that are there already, with
   RUN_NUMBER.  Return the time for each.  */
static double
measure_messages (struct bench *bench, uint32_t run_number)
{
  uint32_t size = MIN (bench->count, ENTRIES_PER_MESSAGE);

  reset (bench);
  for (uint32_t i = 0; i < MESSAGES; i++)
    {
      uint32_t first = i * ENTRIES_PER_MESSAGE % bench->count;

      receive_doubts (bench, first, MIN (size, bench->count - first),
                      run_number);
    }
  return bench->total_s / MESSAGES;
}

/* Let all members be alive for a while.  Return the time of a heartbeat.  */
static double
measure_live_members (struct bench *bench)
{
  double total_s = 0;

  for (uint32_t i = 0; i < HEARTBEATS; i++)
    {
      bench->now += HEARTBEAT_INTERVAL;
      reset (bench);
      receive_heartbeats (bench);
      total_s += bench->total_s;
      run (bench);
    }
  return total_s / HEARTBEATS / MEMBER_COUNT;
}

/* Let all members be silent, and print the time of the longest call and of all
   calls, and the bytes, that this leads to.  */
static void
measure_silence (struct bench *bench)
{
  bench->now += SILENCE;
  run (bench);
  reset (bench);
  receive_heartbeats (bench);
  for (uint32_t i = 0; i < RUNS; i++)
    {
      run (bench);
      bench->now += 10 * JB_MS;
      if (i % 20 == 19)
        receive_heartbeats (bench);
    }
  printf (" | %.1f | %.2f | %.1f", bench->longest_s * 1e6,
          bench->total_s * 1e3, (double)bench->sent_bytes / 1e3);
}

static void
send_catalog (struct bench *bench)
{
  struct jb_pool_settings pools[POOL_COUNT] = { 0 };
  char names[POOL_COUNT][16];
  struct jb_msg message
      = { .type = JB_MSG_CATALOG,
          .u.catalog
          = { .version = 1, .pool_count = POOL_COUNT, .pools = pools } };

  for (uint32_t i = 0; i < POOL_COUNT; i++)
    {
      g_snprintf (names[i], sizeof names[i], "pool-%u", i);
      pools[i].name = names[i];
    }
  receive (bench, FIRST_MEMBER, &message);
}

static void
measure (uint32_t count)
{
  static const struct jb_driver_ops ops = { .submit = ignore_command,
                                            .send = count_message,
                                            .set_members = ignore_members,
                                            .log = ignore_log };
  struct bench bench = { .now = 60 * JB_SECOND, .count = count };
  struct jb_host_options options = { .name = "host",
                                     .zone = "a",
                                     .address = "10.0.0.1:1",
                                     .incarnation = HOST_INCARNATION,
                                     .bounds = { .max_lease_ms = 60000 } };
  double known_s;
  double changed_s;
  double live_s;

  bench.host = jb_host_new (NULL, bench.now, &options, &ops, &bench);
  send_catalog (&bench);
  (void)measure_live_members (&bench);
  for (uint32_t i = 0; i < count; i += ENTRIES_PER_MESSAGE)
    receive_doubts (&bench, i, MIN (count - i, ENTRIES_PER_MESSAGE), 1);
  changed_s = measure_messages (&bench, 2);
  known_s = measure_messages (&bench, 2);
  live_s = measure_live_members (&bench);
  printf ("| %u | %.1f | %.1f | %.2f", count, changed_s * 1e6, known_s * 1e6,
          live_s * 1e6);
  measure_silence (&bench);
  (void)measure_live_members (&bench);
  measure_silence (&bench);
  bench.now += 90 * JB_SECOND;
  reset (&bench);
  run (&bench);
  printf (" | %.1f |\n", bench.total_s * 1e6);
  fflush (stdout);
  talloc_free (bench.host);
}

int
main (void)
{
  static const uint32_t counts[] = { 10, 100, 1000, 10000 };

  printf ("| starts in doubt | message that changes, us | message without "
          "change, us | heartbeat, us | after a silence: longest call, us | "
          "all calls, ms | sent, kB | second silence: longest call, us | all "
          "calls, ms | sent, kB | expiry, us |\n"
          "|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (uint32_t i = 0; i < G_N_ELEMENTS (counts); i++)
    measure (counts[i]);
  return 0;
}
