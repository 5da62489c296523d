/* Test of a planner that takes over from another one: which hosts it commands
   when, and when it divides the organisations' limits.

   Expected load: a planner fails, or is cut off from the store, while it moves
   and maintains hosts.  Its successor has to go on at once, but must not
   command a host that the predecessor may have commanded, and must not assign
   what the predecessor's shares may still allow.  */

#include "dp_test.h"
#include "ignoring_driver.h"
#include "ignoring_planner.h"
#include "jb_commanded.h"
#include "jb_planner.h"

#include <string.h>

enum
{
  HOST_COUNT = 6,
  MAX_COMMANDS = 8192,
  MAX_ROWS = 16
};

#define NOW (60 * JB_SECOND)
#define STEP (10 * JB_MS)
#define LEASE (3 * JB_SECOND)

/* Rows of the planner's partition, shared by successive planners.  */
struct store
{
  TALLOC_CTX *mem;
  struct jb_row rows[MAX_ROWS];
  uint32_t count;
  uint64_t version;
};

/* A planner with its driver.  */
struct fixture
{
  struct store *store;
  struct jb_driver *driver;
  struct jb_planner *planner;
  struct jb_planner_options options;
  struct jb_bounds bounds;
  struct jb_pool_settings pool;
  struct jb_org org;
  struct jb_catalog catalog;
  const struct jb_catalog *current_catalog;
  jb_time now;
  struct jb_command commands[MAX_COMMANDS];
  uint64_t last_command;
  uint64_t replied;
  /* Behaviour of the store.  */
  bool store_away;          /* nothing reaches it */
  bool loses_write_replies; /* writes are executed and not answered */
  bool loses_host_replies;  /* so are commands to hosts */
  /* Observations.  */
  jb_time first_commanded_at[HOST_COUNT]; /* 0: never */
  uint32_t host_commands;
  jb_time shares_sent_at; /* 0: never */
  jb_time ended_from;     /* when the predecessor is known to have ended */
};

static struct jb_row *
find_row (struct store *store, const struct jb_row *name)
{
  for (uint32_t i = 0; i < store->count; i++)
    if (strcmp (store->rows[i].table, name->table) == 0
        && strcmp (store->rows[i].key, name->key) == 0)
      return &store->rows[i];
  return NULL;
}

static void
execute_write (struct store *store, const struct jb_command_write *write,
               struct jb_reply *reply)
{
  struct jb_row *row = find_row (store, &write->expected_rows[0]);

  if ((row != NULL ? row->version : 0) != write->expected_rows[0].version)
    {
      reply->result = JB_RESULT_CONFLICT;
      reply->rows = row;
      reply->row_count = row != NULL;
      return;
    }
  reply->version = ++store->version;
  for (uint32_t i = 0; i < write->set_count; i++)
    {
      const struct jb_row *set = &write->set_rows[i];

      row = find_row (store, set);
      if (row == NULL)
        {
          g_assert (store->count < MAX_ROWS);
          row = &store->rows[store->count++];
          row->table = talloc_strdup (store->mem, set->table);
          row->partition = JB_PLANNER_PARTITION;
          row->key = talloc_strdup (store->mem, set->key);
        }
      row->value = ba_bytes_copy (store->mem, set->value.data, set->value.len);
      row->version = store->version;
    }
}

static void
execute_read (struct store *store, const struct jb_command_read *read,
              TALLOC_CTX *mem, struct jb_reply *reply)
{
  reply->rows = talloc_array (mem, struct jb_row, MAX_ROWS);
  for (uint32_t i = 0; i < store->count; i++)
    if (strcmp (store->rows[i].table, read->table) == 0)
      reply->rows[reply->row_count++] = store->rows[i];
}

/* Record COMMAND.  A write is copied, since it is executed later.  */
static void
record_command (void *context, uint64_t number,
                const struct jb_command *command)
{
  struct fixture *fixture = context;
  struct jb_command *copy = &fixture->commands[number];

  g_assert (number < MAX_COMMANDS);
  *copy = *command;
  fixture->last_command = number;
  if (command->kind == JB_COMMAND_WRITE)
    {
      struct jb_row *rows
          = talloc_array (fixture->store->mem, struct jb_row, MAX_ROWS);

      for (uint32_t i = 0; i < command->u.write.set_count; i++)
        {
          rows[i] = command->u.write.set_rows[i];
          rows[i].table = talloc_strdup (rows, rows[i].table);
          rows[i].key = talloc_strdup (rows, rows[i].key);
          rows[i].value
              = ba_bytes_copy (rows, rows[i].value.data, rows[i].value.len);
        }
      copy->u.write.set_rows = rows;
      copy->u.write.expected_rows
          = talloc_memdup (rows, command->u.write.expected_rows,
                           sizeof *command->u.write.expected_rows);
    }
  if (command->kind == JB_COMMAND_MAINTAIN_HOST)
    {
      int index = command->u.host.host[strlen ("m-")] - '0';

      fixture->host_commands++;
      if (fixture->first_commanded_at[index] == 0)
        fixture->first_commanded_at[index] = fixture->now;
    }
}

static const struct jb_driver_ops driver_ops
    = { .submit = record_command, .log = ignore_log };

static void
record_shares (void *data, jb_time now, const struct jb_msg_shares *shares)
{
  struct fixture *fixture = data;

  (void)shares;
  if (fixture->shares_sent_at == 0)
    fixture->shares_sent_at = now;
}

static bool
has_process_ended (void *data, const char *name, uint64_t incarnation)
{
  const struct fixture *fixture = data;

  (void)name;
  (void)incarnation;
  return fixture->ended_from != 0 && fixture->now >= fixture->ended_from;
}

/* Reply to all commands that get a reply.  */
static void
reply_to_commands (struct fixture *fixture)
{
  while (fixture->replied < fixture->last_command)
    {
      const struct jb_command *command
          = &fixture->commands[++fixture->replied];
      TALLOC_CTX *mem = talloc_new (NULL);
      struct jb_reply reply = { .mem = mem, .result = JB_RESULT_OK };
      bool is_write = command->kind == JB_COMMAND_WRITE;
      bool is_host_command = command->kind == JB_COMMAND_MAINTAIN_HOST;

      if (fixture->store_away
          && (is_write || command->kind == JB_COMMAND_READ))
        reply.result = JB_RESULT_UNKNOWN;
      else if (is_write)
        execute_write (fixture->store, &command->u.write, &reply);
      else if (command->kind == JB_COMMAND_READ)
        execute_read (fixture->store, &command->u.read, mem, &reply);
      else if (command->kind == JB_COMMAND_LIST_HOSTS)
        {
          reply.hosts
              = talloc_zero_array (mem, struct jb_host_entry, HOST_COUNT);
          for (; reply.host_count < HOST_COUNT; reply.host_count++)
            reply.hosts[reply.host_count] = (struct jb_host_entry){
              .host = talloc_asprintf (mem, "m-%u", reply.host_count),
              .pool = "standby"
            };
        }
      if ((is_write && fixture->loses_write_replies)
          || (is_host_command && fixture->loses_host_replies))
        reply.result = JB_RESULT_UNKNOWN;
      jb_driver_receive_reply (fixture->driver, fixture->now, fixture->replied,
                               &reply);
      talloc_free (mem);
    }
}

static void
run_until (struct fixture *fixture, jb_time until)
{
  while (fixture->now < until)
    {
      fixture->now += STEP;
      (void)jb_planner_run (fixture->planner, fixture->now);
      reply_to_commands (fixture);
    }
}

/* Let a new planner, the process INCARNATION of host NAME, claim at NOW.  */
static struct fixture *
claim (struct store *store, const char *name, uint64_t incarnation,
       jb_time now)
{
  struct fixture *fixture = talloc_zero (store->mem, struct fixture);

  fixture->store = store;
  fixture->now = now;
  fixture->driver = jb_driver_new (store->mem, &driver_ops, fixture);
  fixture->bounds = (struct jb_bounds){ .maintenance_ms = 2000,
                                        .host_move_ms = 1500,
                                        .command_lease_ms = LEASE / JB_MS };
  fixture->pool.name = (char *)"standby";
  fixture->pool.standby = true;
  fixture->org.name = (char *)"org";
  fixture->org.limit.cpu_milli = 1000;
  fixture->catalog = (struct jb_catalog){ .pool_count = 1,
                                          .pools = &fixture->pool,
                                          .org_count = 1,
                                          .orgs = &fixture->org };
  fixture->current_catalog = &fixture->catalog;
  fixture->options
      = (struct jb_planner_options){ .driver = fixture->driver,
                                     .bounds = &fixture->bounds,
                                     .catalog = &fixture->current_catalog,
                                     .owner = name,
                                     .incarnation = incarnation,
                                     .has_process_ended = has_process_ended,
                                     .request_evacuation = ignore_evacuation,
                                     .notify_arrival = ignore_arrival,
                                     .send_shares = record_shares,
                                     .state_changed = ignore_state,
                                     .data = fixture };
  return fixture;
}

/* Claim with the options of FIXTURE, which the caller may have changed.  */
static void
start (struct fixture *fixture)
{
  fixture->planner = jb_planner_new (fixture->store->mem, &fixture->options);
  jb_planner_claim (fixture->planner, fixture->now);
  reply_to_commands (fixture);
}

/* Request the maintenance NUMBER of the hosts from FIRST to LAST, which is
   already late, so that all are chosen at once.  */
static void
add_wave (struct fixture *fixture, uint64_t number, uint32_t first,
          uint32_t last)
{
  const char *names[HOST_COUNT];
  struct jb_wave_entry wave = { .wave = number,
                                .hosts = names,
                                .within_ms = 10000,
                                .max_hosts_at_once = HOST_COUNT };

  for (uint32_t i = first; i <= last; i++)
    names[wave.host_count++]
        = talloc_asprintf (fixture->store->mem, "m-%u", i);
  jb_planner_add_wave (fixture->planner, fixture->now - 9 * JB_SECOND, &wave);
}

static void
init_store (struct store *store)
{
  memset (store, 0, sizeof *store);
  store->mem = talloc_new (NULL);
}

/* Only the hosts that the predecessor has named wait.  Without that, the
   successor would either command one within the lease of the predecessor's
   command, or leave all of them alone for 3 s.  */
static void
test_named_hosts_wait (void)
{
  struct store store;
  struct fixture *first;
  struct fixture *second;

  init_store (&store);
  first = claim (&store, "host-a", 1, NOW);
  start (first);
  add_wave (first, 1, 0, 1);
  run_until (first, NOW + 300 * JB_MS);
  CU_ASSERT (first->first_commanded_at[0] != 0);
  second = claim (&store, "host-b", 2, first->now);
  start (second);
  add_wave (second, 2, 0, 3);
  run_until (second, first->now + 6 * JB_SECOND);
  for (int i = 0; i < 2; i++)
    CU_ASSERT (second->first_commanded_at[i] >= first->now + LEASE);
  for (int i = 2; i < 4; i++)
    {
      CU_ASSERT (second->first_commanded_at[i] != 0);
      CU_ASSERT (second->first_commanded_at[i] < first->now + 200 * JB_MS);
    }
  talloc_free (store.mem);
}

/* A command that was not answered may be executed up to 10 s late, after a
   command of the successor with a higher fencing token.  */
static void
test_unanswered_command (void)
{
  struct store store;
  struct fixture *first;
  struct fixture *second;
  jb_time claimed_at;

  init_store (&store);
  first = claim (&store, "host-a", 1, NOW);
  start (first);
  first->loses_host_replies = true;
  add_wave (first, 1, 0, 0);
  run_until (first, NOW + 200 * JB_MS);
  CU_ASSERT (first->host_commands > 0);
  claimed_at = first->now;
  second = claim (&store, "host-b", 2, claimed_at);
  start (second);
  add_wave (second, 2, 0, 1);
  run_until (second, claimed_at + 16 * JB_SECOND);
  CU_ASSERT (second->first_commanded_at[0]
             >= claimed_at + JB_COMMANDED_LATE_EXECUTION + LEASE);
  CU_ASSERT (second->first_commanded_at[1] < claimed_at + 200 * JB_MS);
  talloc_free (store.mem);
}

/* A planner that is cut off from the store sends no command to a host whose
   name is not known to be stored, since its successor would not wait for that
   host.  It may still command hosts whose names are stored, until its
   ownership has expired.  */
static void
test_store_away (void)
{
  struct store store;
  struct fixture *fixture;
  uint32_t commands;

  init_store (&store);
  fixture = claim (&store, "host-a", 1, NOW);
  start (fixture);
  run_until (fixture, NOW + 300 * JB_MS);
  fixture->loses_host_replies = true;
  add_wave (fixture, 1, 0, 0);
  run_until (fixture, NOW + 600 * JB_MS);
  commands = fixture->host_commands;
  CU_ASSERT (commands > 0);
  fixture->store_away = true;
  add_wave (fixture, 2, 1, 1);
  run_until (fixture, NOW + JB_SECOND);
  CU_ASSERT (fixture->host_commands > commands);
  CU_ASSERT_EQUAL (fixture->first_commanded_at[1], 0);
  run_until (fixture, NOW + 2500 * JB_MS);
  commands = fixture->host_commands;
  run_until (fixture, NOW + 4 * JB_SECOND);
  CU_ASSERT_EQUAL (fixture->host_commands, commands);
  CU_ASSERT_EQUAL (fixture->first_commanded_at[1], 0);
  talloc_free (store.mem);
}

/* A write whose reply is lost counts only when a repetition shows that it was
   executed.  */
static void
test_lost_reply (void)
{
  struct store store;
  struct fixture *fixture;

  init_store (&store);
  fixture = claim (&store, "host-a", 1, NOW);
  start (fixture);
  run_until (fixture, NOW + 300 * JB_MS);
  fixture->loses_write_replies = true;
  add_wave (fixture, 1, 0, 0);
  run_until (fixture, NOW + 600 * JB_MS);
  CU_ASSERT_EQUAL (fixture->host_commands, 0);
  fixture->loses_write_replies = false;
  run_until (fixture, NOW + 800 * JB_MS);
  CU_ASSERT (fixture->host_commands > 0);
  talloc_free (store.mem);
}

/* A planner that has lost the partition and claimed it again has a successor's
   view of its own commands.  */
static void
test_regained (void)
{
  struct store store;
  struct fixture *first;
  struct fixture *second;
  struct fixture *third;
  jb_time claimed_at;

  init_store (&store);
  first = claim (&store, "host-a", 1, NOW);
  start (first);
  add_wave (first, 1, 0, 0);
  run_until (first, NOW + 200 * JB_MS);
  second = claim (&store, "host-b", 2, first->now);
  start (second);
  add_wave (second, 2, 1, 1);
  run_until (second, first->now + 200 * JB_MS);
  CU_ASSERT (second->first_commanded_at[1] != 0);
  claimed_at = second->now;
  third = claim (&store, "host-a", 1, claimed_at);
  start (third);
  add_wave (third, 3, 0, 2);
  run_until (third, claimed_at + 16 * JB_SECOND);
  for (int i = 0; i < 2; i++)
    CU_ASSERT (third->first_commanded_at[i] >= claimed_at + LEASE);
  CU_ASSERT (third->first_commanded_at[2] < claimed_at + 200 * JB_MS);
  talloc_free (store.mem);
}

/* Hosts wait for 3 s and the validity of the ownership after a planner of a
   previous version, which writes no rows.  */
static void
test_previous_version (void)
{
  struct store store;
  struct fixture *first;
  struct fixture *second;

  init_store (&store);
  first = claim (&store, "host-a", 1, NOW);
  start (first);
  /* It has claimed, but it never runs.  */
  second = claim (&store, "host-b", 2, NOW);
  start (second);
  add_wave (second, 1, 0, 1);
  run_until (second, NOW + 6 * JB_SECOND);
  CU_ASSERT (second->first_commanded_at[0] >= NOW + LEASE);
  CU_ASSERT (second->first_commanded_at[1] >= NOW + LEASE);
  talloc_free (store.mem);
}

/* Return how long after its claim a planner sends its first shares, whose
   predecessor with incarnation 1 is known to have ended ENDED_AFTER the claim,
   negative for never, and where the process RELEASED is known to have released
   the partition.  The planner's incarnation is OWN.  */
static jb_time
time_to_first_shares (jb_time ended_after, uint64_t released, uint64_t own)
{
  struct jb_msg_org_usage org_usage
      = { .org = (char *)"org", .wanted = { .cpu_milli = 500 } };
  struct jb_msg_usage usage = {
    .pool = (char *)"standby", .fence = 1, .count = 1, .org_usages = &org_usage
  };
  struct store store;
  struct fixture *first;
  struct fixture *second;
  jb_time result;

  init_store (&store);
  first = claim (&store, "host-a", 1, NOW);
  start (first);
  run_until (first, NOW + 100 * JB_MS);
  second = claim (&store, own == 1 ? "host-a" : "host-b", own, first->now);
  second->options.released_incarnation = released;
  second->ended_from = ended_after >= 0 ? first->now + ended_after : 0;
  start (second);
  jb_planner_handle_usage (second->planner, second->now, &usage);
  run_until (second, first->now + 4 * JB_SECOND);
  result = second->shares_sent_at - first->now;
  talloc_free (store.mem);
  return result;
}

/* Shares that the predecessor has sent may still arrive, and would let pools
   use more than the limit together with those of the successor.  */
static void
test_wait_for_shares (void)
{
  jb_time full = time_to_first_shares (-1, 0, 2);
  jb_time ended = time_to_first_shares (0, 0, 2);
  jb_time ended_later = time_to_first_shares (500 * JB_MS, 0, 2);
  jb_time released = time_to_first_shares (-1, 1, 2);
  jb_time regained = time_to_first_shares (-1, 0, 1);

  CU_ASSERT (full >= 2100 * JB_MS && full < 2200 * JB_MS);
  CU_ASSERT (ended >= 150 * JB_MS && ended < 200 * JB_MS);
  /* The process may have sent shares until shortly before that.  */
  CU_ASSERT (ended_later >= 650 * JB_MS && ended_later < 700 * JB_MS);
  CU_ASSERT (released >= 150 * JB_MS && released < 200 * JB_MS);
  CU_ASSERT (regained >= 150 * JB_MS && regained < 200 * JB_MS);
  /* Another process than the predecessor has released the partition: the
     predecessor claimed it without this host's knowledge.  */
  CU_ASSERT_EQUAL (time_to_first_shares (-1, 7, 2), full);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "only named hosts wait", test_named_hosts_wait },
          { "a command is not answered", test_unanswered_command },
          { "the store is away", test_store_away },
          { "the reply to the names is lost", test_lost_reply },
          { "a planner regains the ownership", test_regained },
          { "a predecessor without rows", test_previous_version },
          { "shares of the predecessor", test_wait_for_shares },
          { NULL, NULL } };

  return dp_test_main ("a planner takes over", tests);
}
