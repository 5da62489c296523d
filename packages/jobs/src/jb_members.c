/* Membership: heartbeats between the entry hosts, their rows in the store, and
   the choice of the host that claims a partition without an owner.  The rows
   let hosts find each other, and show which silent hosts still run.

   The COORDINATOR_COUNT hosts that come first in an order which all hosts
   compute alike are coordinators.  They exchange heartbeats with every host,
   so they know which hosts are alive, and only they claim partitions.  Owners
   exchange heartbeats with every host too: while the store does not answer, an
   owner goes on only as long as the others hear it.  All other hosts exchange
   heartbeats with the coordinators and owners only, so what an ordinary host
   sends and receives does not grow with the fleet.

   Each host orders the hosts that it hears.  An ordinary host doesn't hear the
   hosts that could replace a lost coordinator, so it relies on the others: the
   heartbeats of coordinators list those that they count among the
   coordinators, and a host that is listed acts as one.  A host that hears
   nobody sends its heartbeats to all known members, so that hosts which have
   lost all coordinators at once find each other and choose new ones.  */

#include "jb_members.h"

#include "ba_hash.h"
#include "jb_handover.h"

#include <string.h>

/* A member is considered dead when its last heartbeat is older than this,
   which is five heartbeat intervals.  */
#define MAX_HEARTBEAT_AGE (1000 * JB_MS)

/* A member has been alive since the end of its last silence that was longer
   than this.  An overloaded host receives heartbeats late, which must not look
   like the silence of others.  */
#define MAX_INTERRUPTION (3000 * JB_MS)

/* Time between two heartbeats.  Those from and to an ordinary host are only
   sent every second time.  */
#define HEARTBEAT_INTERVAL (200 * JB_MS)

enum
{
  COORDINATOR_COUNT = 9
};

/* A partition whose last owner this host does not hear is not vacant while a
   peer has received that owner's heartbeat within this time.  */
#define MAX_PEER_HEARTBEAT_AGE_MS 700

/* Time after its start before a host claims partitions whose owner it does not
   know, so that it has heard the heartbeats of the others.  */
#define STARTUP_CLAIM_DELAY (700 * JB_MS)

/* For this time after its start a host reads the rows often and sends its
   heartbeats to all known members, because hosts that start together don't
   know each other yet.  */
#define STARTUP_PERIOD (2000 * JB_MS)

/* The first candidate claims a vacant partition at once, and each further one
   this much later than the one before it.  */
#define CLAIM_DELAY_PER_RANK (400 * JB_MS)

/* Share of a processor, in thousandths, that a host without a report of its
   share is assumed to have.  */
#define DEFAULT_CPU_SHARE_MILLI 1000

/* Time between two writes of this host's row in the store.  */
#define RENEW_INTERVAL (1500 * JB_MS)

/* Time between two reads of the rows of all hosts: after the start, normally,
   and while at most half of the known hosts are alive or no other host is
   known.  */
#define READ_INTERVAL_STARTUP (300 * JB_MS)
#define READ_INTERVAL (5000 * JB_MS)
#define READ_INTERVAL_MINORITY (1000 * JB_MS)
/* The same on an ordinary host, which only needs the addresses in case that it
   loses all coordinators.  */
#define READ_INTERVAL_ORDINARY (20 * JB_SECOND)

/* A host whose row has not changed for this long does not reach the store.  */
#define MAX_ROW_AGE (4000 * JB_MS)

/* A member is removed if, at the last read of the rows, it had sent no
   heartbeat and not renewed its row for this long.  */
#define REMOVE_SILENT_AFTER (20 * JB_SECOND)

#define STORE_TIMEOUT_MS 800 /* of a call to the store */

#define MEMBER_TABLE "member"

enum
{
  /* A query about a process is sent at most this often: a host of a previous
     version never replies.  */
  MAX_PROCESS_QUERIES = 20,
  /* Number of processes that are remembered as asked about: more than
     partitions that one host claims at a time.  */
  MAX_FORMER_PROCESSES = 256
};

/* A process of another host that may have ended.  */
struct former_process
{
  char *name;
  uint64_t incarnation;
  uint32_t queries_sent;
  bool ended;
};

/* What is known about the ownership of a partition.  */
struct partition_state
{
  char *partition;
  uint64_t owner;       /* incarnation of the last known owner; 0: none */
  uint64_t fence;       /* of the last known owner */
  jb_time vacant_since; /* since when is_vacant has been true; 0: it is not */
};

struct jb_members
{
  struct jb_members_options options;
  jb_time started_at;
  GPtrArray *all_members;      /* struct jb_member */
  GHashTable *partitions;      /* partition -> struct partition_state */
  GPtrArray *former_processes; /* struct former_process, the oldest first */
  bool is_coordinator;
  uint32_t heartbeats_sent;
  jb_time next_heartbeat;
  jb_time next_renewal;
  jb_time next_read;
  jb_time last_read_at; /* when the rows were last received; 0: never */
  bool renewal_in_flight;
  bool read_in_flight;
  jb_time own_row_renewed_at; /* when the last renewal that succeeded was sent;
                                 0: none has */
};

/* Content of a host's row in the store; the key is the host's name.  */
struct member_row
{
  uint64_t incarnation;
  char *address;
  char *zone;
};

static void
serialize_member_row (struct ba_codec *io, struct member_row *row)
{
  ba_codec_u64 (io, &row->incarnation);
  ba_codec_required_str (io, &row->address);
  ba_codec_required_str (io, &row->zone);
}

static int
members_destroy (struct jb_members *members)
{
  g_ptr_array_free (members->all_members, TRUE);
  g_hash_table_destroy (members->partitions);
  g_ptr_array_free (members->former_processes, TRUE);
  return 0;
}

struct jb_members *
jb_members_new (TALLOC_CTX *mem, jb_time now,
                const struct jb_members_options *options)
{
  struct jb_members *members = talloc_zero (mem, struct jb_members);

  members->options = *options;
  members->options.name = talloc_strdup (members, options->name);
  members->options.address = talloc_strdup (members, options->address);
  members->options.zone = talloc_strdup (members, options->zone);
  members->started_at = now;
  members->all_members = g_ptr_array_new ();
  members->partitions = g_hash_table_new (g_str_hash, g_str_equal);
  members->former_processes = g_ptr_array_new ();
  talloc_set_destructor (members, members_destroy);
  return members;
}

const struct jb_member *
jb_members_find (const struct jb_members *members, uint64_t incarnation)
{
  for (guint i = 0; i < members->all_members->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all_members, i);

      if (member->incarnation == incarnation)
        return member;
    }
  return NULL;
}

bool
jb_member_is_alive (const struct jb_member *member, jb_time now)
{
  return member->last_heartbeat_at != 0
         && now - member->last_heartbeat_at < MAX_HEARTBEAT_AGE;
}

/* Tell the driver which members to connect to.  */
static void
update_connections (struct jb_members *members)
{
  guint count = members->all_members->len;
  struct jb_member_address *addresses
      = talloc_array (NULL, struct jb_member_address, count + 1);

  for (guint i = 0; i < count; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all_members, i);

      addresses[i].incarnation = member->incarnation;
      addresses[i].address = member->address;
    }
  jb_driver_set_members (members->options.driver, addresses, count);
  talloc_free (addresses);
}

static void
remove_member (struct jb_members *members, struct jb_member *member,
               const char *reason)
{
  jb_log (members->options.driver, JB_LEVEL_INFO, "member-removed", "member",
          member->name, "reason", reason, NULL);
  g_ptr_array_remove (members->all_members, member);
  talloc_free (member);
}

/* Return the member with INCARNATION.  If it is new, add it, and remove the
   members with other incarnations of the host NAME.  */
static struct jb_member *
get_or_add_member (struct jb_members *members, uint64_t incarnation,
                   const char *name, const char *address, const char *zone)
{
  struct jb_member *member
      = (struct jb_member *)jb_members_find (members, incarnation);

  if (member != NULL)
    return member;
  for (guint i = members->all_members->len; i-- > 0;)
    {
      struct jb_member *old = g_ptr_array_index (members->all_members, i);

      if (strcmp (old->name, name) == 0)
        remove_member (members, old,
                       "a newer process with its name was found");
    }
  member = talloc_zero (members, struct jb_member);
  member->incarnation = incarnation;
  member->name = talloc_strdup (member, name);
  member->name_hash = ba_hash_str (name, 0);
  member->address = talloc_strdup (member, address);
  member->zone = talloc_strdup (member, zone);
  g_ptr_array_add (members->all_members, member);
  jb_log (members->options.driver, JB_LEVEL_INFO, "member-added", "member",
          name, "address", address, NULL);
  update_connections (members);
  return member;
}

static struct partition_state *
get_or_add_partition (struct jb_members *members, const char *partition)
{
  struct partition_state *partition_state
      = g_hash_table_lookup (members->partitions, partition);

  if (partition_state == NULL)
    {
      partition_state = talloc_zero (members, struct partition_state);
      partition_state->partition = talloc_strdup (partition_state, partition);
      g_hash_table_insert (members->partitions, partition_state->partition,
                           partition_state);
    }
  return partition_state;
}

static void
record_owner (struct jb_members *members, uint64_t owner,
              const struct jb_msg_ownership *ownership)
{
  struct partition_state *partition_state
      = get_or_add_partition (members, ownership->partition);

  if (ownership->fence == 0 || ownership->fence < partition_state->fence)
    return;
  partition_state->owner = owner;
  partition_state->fence = ownership->fence;
}

/* ---- processes that have ended ---- */

static void
send_process (struct jb_members *members, uint64_t to, enum jb_msg_type type,
              const char *name, uint64_t incarnation)
{
  struct jb_msg message
      = { .type = type, .u.process = { (char *)name, incarnation } };
  struct ba_bytes bytes = jb_msg_encode (NULL, &message);

  jb_driver_send (members->options.driver, to, bytes);
  talloc_free (bytes.data);
}

/* Ask MEMBER whether FORMER has ended if it can tell and did not reply yet. */
static void
query_former_process (struct jb_members *members,
                      const struct jb_member *member,
                      struct former_process *former)
{
  if (former->ended || former->queries_sent >= MAX_PROCESS_QUERIES
      || member->incarnation == former->incarnation
      || strcmp (member->name, former->name) != 0)
    return;
  former->queries_sent++;
  send_process (members, member->incarnation, JB_MSG_PROCESS_QUERY,
                former->name, former->incarnation);
}

static struct former_process *
find_former_process (const struct jb_members *members, const char *name,
                     uint64_t incarnation)
{
  for (guint i = 0; i < members->former_processes->len; i++)
    {
      struct former_process *former
          = g_ptr_array_index (members->former_processes, i);

      if (former->incarnation == incarnation
          && strcmp (former->name, name) == 0)
        return former;
    }
  return NULL;
}

bool
jb_members_has_process_ended (struct jb_members *members, const char *name,
                              uint64_t incarnation)
{
  struct former_process *former;

  if (strcmp (name, members->options.name) == 0)
    return incarnation != members->options.incarnation;
  former = find_former_process (members, name, incarnation);
  if (former != NULL)
    return former->ended;
  if (members->former_processes->len == MAX_FORMER_PROCESSES)
    talloc_free (g_ptr_array_remove_index (members->former_processes, 0));
  former = talloc_zero (members, struct former_process);
  former->name = talloc_strdup (former, name);
  former->incarnation = incarnation;
  g_ptr_array_add (members->former_processes, former);
  for (guint i = 0; i < members->all_members->len; i++)
    query_former_process (members, g_ptr_array_index (members->all_members, i),
                          former);
  return false;
}

void
jb_members_receive_process_query (struct jb_members *members, uint64_t from,
                                  const struct jb_msg_process *process)
{
  if (strcmp (process->name, members->options.name) == 0
      && process->incarnation != members->options.incarnation)
    send_process (members, from, JB_MSG_PROCESS_ENDED, process->name,
                  process->incarnation);
}

void
jb_members_receive_process_ended (struct jb_members *members,
                                  const struct jb_msg_process *process)
{
  struct former_process *former
      = find_former_process (members, process->name, process->incarnation);

  if (former == NULL || former->ended)
    return;
  former->ended = true;
  jb_log (members->options.driver, JB_LEVEL_INFO, "process-ended", "member",
          former->name, "queries", jb_itoa (former->queries_sent), NULL);
}

/* ---- processing of heartbeats ---- */

bool
jb_members_receive_heartbeat (struct jb_members *members, jb_time now,
                              jb_time arrived_at, uint64_t from,
                              const struct jb_msg_heartbeat *heartbeat)
{
  struct jb_member *member;
  bool was_silent;

  if (from == members->options.incarnation)
    return false;
  member = get_or_add_member (members, from, heartbeat->name,
                              heartbeat->address, heartbeat->zone);
  if (!jb_member_is_alive (member, now))
    jb_log (members->options.driver, JB_LEVEL_INFO, "member-alive", "member",
            member->name, NULL);
  if (member->last_heartbeat_at == 0
      || now - member->last_heartbeat_at > MAX_INTERRUPTION)
    member->alive_since = now;
  was_silent = member->last_heartbeat_at == 0
               || arrived_at - member->last_arrival_at >= MAX_HEARTBEAT_AGE;
  member->last_heartbeat_at = now;
  member->last_arrival_at = arrived_at;
  member->cpu_share_milli = heartbeat->cpu_share_milli;
  member->stopping = heartbeat->stopping;
  member->store_answered_at
      = heartbeat->store_answer_age_ms >= 0
            ? arrived_at - heartbeat->store_answer_age_ms * JB_MS
            : 0;
  member->store_reachable = heartbeat->store_reachable;
  member->catalog_version = heartbeat->catalog_version;
  TALLOC_FREE (member->ownerships);
  TALLOC_FREE (member->peers);
  member->ownership_count = heartbeat->ownership_count;
  member->ownerships = talloc_array (member, struct jb_msg_ownership,
                                     heartbeat->ownership_count + 1);
  for (uint32_t i = 0; i < heartbeat->ownership_count; i++)
    {
      member->ownerships[i].partition = talloc_strdup (
          member->ownerships, heartbeat->ownerships[i].partition);
      member->ownerships[i].fence = heartbeat->ownerships[i].fence;
      record_owner (members, from, &heartbeat->ownerships[i]);
    }
  member->peer_count = heartbeat->peer_count;
  member->peers
      = talloc_memdup (member, heartbeat->peers,
                       heartbeat->peer_count * sizeof *heartbeat->peers);
  for (guint i = 0; i < members->former_processes->len; i++)
    query_former_process (members, member,
                          g_ptr_array_index (members->former_processes, i));
  return was_silent;
}

/* ---- coordinators ---- */

/* A host in the order of coordinators.  */
struct coordinator_rank
{
  struct jb_member *member; /* NULL: this host */
  bool usable;              /* it reaches the store and is not stopping */
  uint32_t cpu_share_milli;
  uint64_t name_hash;
};

/* Hosts that can claim partitions come first, then those with the larger share
   of a processor, since heartbeats of the whole fleet take processor time.  */
static int
compare_coordinators (const void *a, const void *b)
{
  const struct coordinator_rank *x = a;
  const struct coordinator_rank *y = b;

  if (x->usable != y->usable)
    return x->usable ? -1 : 1;
  if (x->cpu_share_milli != y->cpu_share_milli)
    return x->cpu_share_milli > y->cpu_share_milli ? -1 : 1;
  return x->name_hash < y->name_hash ? -1 : x->name_hash > y->name_hash;
}

/* Return whether the last heartbeat of MEMBER lists the member with
   INCARNATION.  */
static bool
lists_peer (const struct jb_member *member, uint64_t incarnation)
{
  for (uint32_t i = 0; i < member->peer_count; i++)
    if (member->peers[i].incarnation == incarnation)
      return true;
  return false;
}

/* Determine which of the live hosts are coordinators.  This host, whose state
   is STATUS, is one if it is among the first of those that it hears, and
   another coordinator lists it.  That is not needed if it hears no other
   coordinator, or if the fleet is so small that all hosts are coordinators. */
static void
choose_coordinators (struct jb_members *members, jb_time now,
                     const struct jb_self_status *status)
{
  struct coordinator_rank *ranks = talloc_array (
      NULL, struct coordinator_rank, members->all_members->len + 1);
  uint32_t count = 1;
  bool is_first = false;
  bool is_listed = members->all_members->len < COORDINATOR_COUNT;
  bool has_other = false;

  ranks[0] = (struct coordinator_rank){
    NULL, status->store_reachable && !status->stopping,
    members->options.cpu_share_milli, ba_hash_str (members->options.name, 0)
  };
  for (guint i = 0; i < members->all_members->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all_members, i);

      member->is_coordinator = false;
      if (jb_member_is_alive (member, now))
        ranks[count++] = (struct coordinator_rank){
          member, member->store_reachable && !member->stopping,
          member->cpu_share_milli, member->name_hash
        };
    }
  qsort (ranks, count, sizeof *ranks, compare_coordinators);
  for (uint32_t i = 0; i < MIN (count, COORDINATOR_COUNT); i++)
    {
      struct jb_member *member = ranks[i].member;

      if (member == NULL)
        {
          is_first = true;
          continue;
        }
      member->is_coordinator = true;
      has_other = true;
      is_listed
          = is_listed || lists_peer (member, members->options.incarnation);
    }
  talloc_free (ranks);
  if (members->is_coordinator != (is_first && (is_listed || !has_other)))
    {
      members->is_coordinator = !members->is_coordinator;
      jb_log (members->options.driver, JB_LEVEL_INFO, "coordinator-changed",
              "coordinator", members->is_coordinator ? "yes" : "no", "alive",
              jb_itoa (count - 1), "known",
              jb_itoa (members->all_members->len), NULL);
    }
}

/* ---- heartbeats ---- */

/* Return whether heartbeats report when MEMBER was last heard: others rely on
   that for coordinators and for owners.  */
static bool
is_reported (const struct jb_member *member, jb_time now)
{
  return jb_member_is_alive (member, now)
         && (member->is_coordinator || member->ownership_count > 0);
}

static struct ba_bytes
encode_heartbeat (struct jb_members *members, TALLOC_CTX *mem, jb_time now,
                  const struct jb_self_status *status)
{
  struct jb_msg message = { .type = JB_MSG_HEARTBEAT };
  struct jb_msg_heartbeat *heartbeat = &message.u.heartbeat;

  heartbeat->name = (char *)members->options.name;
  heartbeat->address = (char *)members->options.address;
  heartbeat->zone = (char *)members->options.zone;
  heartbeat->cpu_share_milli = members->options.cpu_share_milli;
  heartbeat->stopping = status->stopping;
  heartbeat->store_answer_age_ms = status->store_answer_age_ms;
  heartbeat->store_reachable = status->store_reachable;
  heartbeat->catalog_version = status->catalog_version;
  heartbeat->ownerships = (struct jb_msg_ownership *)status->ownerships;
  heartbeat->ownership_count = status->ownership_count;
  heartbeat->peers = talloc_array (mem, struct jb_msg_heartbeat_age,
                                   members->all_members->len + 1);
  for (guint i = 0; i < members->all_members->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all_members, i);

      if (is_reported (member, now))
        heartbeat->peers[heartbeat->peer_count++]
            = (struct jb_msg_heartbeat_age){
                member->incarnation, (now - member->last_arrival_at) / JB_MS
              };
    }
  return jb_msg_encode (mem, &message);
}

/* Return whether this host, whose state is STATUS, sends its heartbeats to
   coordinators and owners only.  */
static bool
is_ordinary (const struct jb_members *members, jb_time now,
             const struct jb_self_status *status)
{
  return !members->is_coordinator && status->ownership_count == 0
         && now - members->started_at >= STARTUP_PERIOD
         && jb_members_count_alive (members, now) > 0;
}

/* Send this host's heartbeat to coordinators and owners, and to all others too
   if TO_ALL, unless it is an ordinary host.  */
static void
send_heartbeat (struct jb_members *members, jb_time now,
                const struct jb_self_status *status, bool to_all)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ba_bytes bytes = encode_heartbeat (members, scratch, now, status);

  to_all = to_all && !is_ordinary (members, now, status);
  for (guint i = 0; i < members->all_members->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all_members, i);

      if (to_all || member->is_coordinator || member->ownership_count > 0)
        jb_driver_send (members->options.driver, member->incarnation, bytes);
    }
  talloc_free (scratch);
  for (uint32_t i = 0; i < status->ownership_count; i++)
    record_owner (members, members->options.incarnation,
                  &status->ownerships[i]);
}

void
jb_members_send_heartbeat (struct jb_members *members, jb_time now,
                           const struct jb_self_status *status)
{
  choose_coordinators (members, now, status);
  send_heartbeat (members, now, status, true);
  members->heartbeats_sent = 0;
  members->next_heartbeat = now + HEARTBEAT_INTERVAL;
}

/* ---- rows ---- */

static void
row_renewed (void *data, jb_time now, jb_time sent_at,
             const struct jb_reply *reply)
{
  struct jb_members *members = data;

  (void)now;
  members->renewal_in_flight = false;
  if (reply->result == JB_RESULT_OK)
    members->own_row_renewed_at = sent_at;
}

static void
renew_row (struct jb_members *members, jb_time now)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct member_row row_content
      = { members->options.incarnation, (char *)members->options.address,
          (char *)members->options.zone };
  struct jb_row row = { .table = MEMBER_TABLE,
                        .partition = "",
                        .key = members->options.name };
  struct jb_command command
      = { .kind = JB_COMMAND_WRITE,
          .timeout_ms = STORE_TIMEOUT_MS,
          .u.write = { .set_rows = &row, .set_count = 1 } };

  row.value = ba_codec_encode (scratch, serialize_member_row, &row_content);
  members->renewal_in_flight = true;
  members->next_renewal = now + RENEW_INTERVAL;
  jb_count_event (members->options.driver, JB_COUNT_STORE_WRITES);
  jb_driver_submit (members->options.driver, members, now, &command,
                    row_renewed, members);
  talloc_free (scratch);
}

static void
process_row (struct jb_members *members, jb_time now, const struct jb_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct member_row row_content = { 0 };
  struct jb_member *member = NULL;
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->value);
  serialize_member_row (&io, &row_content);
  if (!ba_codec_is_complete (&io))
    jb_log (members->options.driver, JB_LEVEL_WARN, "row-unreadable", "table",
            MEMBER_TABLE, "key", row->key, NULL);
  else if (strcmp (row->key, members->options.name) != 0)
    member = get_or_add_member (members, row_content.incarnation, row->key,
                                row_content.address, row_content.zone);
  if (member != NULL && member->row_version != row->version)
    {
      member->row_version = row->version;
      member->row_changed_at = now;
    }
  talloc_free (scratch);
}

static void
remove_silent_members (struct jb_members *members)
{
  for (guint i = members->all_members->len; i-- > 0;)
    {
      struct jb_member *member = g_ptr_array_index (members->all_members, i);
      jb_time last_seen
          = MAX (member->last_heartbeat_at, member->row_changed_at);

      if (members->last_read_at - last_seen > REMOVE_SILENT_AFTER)
        remove_member (members, member, "silent, and its row is not renewed");
    }
}

static void read_rows (struct jb_members *members, jb_time now,
                       const char *first_key);

static void
rows_read (void *data, jb_time now, jb_time sent_at,
           const struct jb_reply *reply)
{
  struct jb_members *members = data;

  (void)sent_at;
  members->read_in_flight = false;
  if (reply->result != JB_RESULT_OK)
    return;
  for (uint32_t i = 0; i < reply->row_count; i++)
    process_row (members, now, &reply->rows[i]);
  if (reply->next_page != NULL)
    read_rows (members, now, reply->next_page);
  else
    {
      members->last_read_at = now;
      remove_silent_members (members);
    }
}

/* Read the rows of all hosts from FIRST_KEY on, or all of them if it is
   NULL.  */
static void
read_rows (struct jb_members *members, jb_time now, const char *first_key)
{
  struct jb_command command = { .kind = JB_COMMAND_READ,
                                .timeout_ms = STORE_TIMEOUT_MS,
                                .u.read = { MEMBER_TABLE, "", first_key } };

  members->read_in_flight = true;
  jb_count_event (members->options.driver, JB_COUNT_STORE_READS);
  jb_driver_submit (members->options.driver, members, now, &command, rows_read,
                    members);
}

/* Return whether this host may be in a minority partition of the network: at
   most half of the known hosts, counting this one, are alive.  The rows in the
   store then decide whether the silent ones still run and reach the
   store.  */
static bool
is_minority (const struct jb_members *members, jb_time now)
{
  /* An ordinary host hears only the coordinators and owners.  */
  if (!members->is_coordinator && jb_members_count_alive (members, now) > 0)
    return false;
  return 2 * (jb_members_count_alive (members, now) + 1)
         <= members->all_members->len + 1;
}

static jb_time
read_interval (const struct jb_members *members, jb_time now)
{
  if (now - members->started_at < STARTUP_PERIOD)
    return READ_INTERVAL_STARTUP;
  if (is_minority (members, now) || members->all_members->len == 0)
    return READ_INTERVAL_MINORITY;
  return members->is_coordinator ? READ_INTERVAL : READ_INTERVAL_ORDINARY;
}

jb_time
jb_members_run (struct jb_members *members, jb_time now,
                const struct jb_self_status *status)
{
  if (now >= members->next_heartbeat)
    {
      choose_coordinators (members, now, status);
      send_heartbeat (members, now, status,
                      ++members->heartbeats_sent % 2 == 0);
      members->next_heartbeat
          = now
            + (is_ordinary (members, now, status) ? 2 * HEARTBEAT_INTERVAL
                                                  : HEARTBEAT_INTERVAL);
    }
  if (!members->renewal_in_flight && !status->stopping
      && now >= members->next_renewal)
    renew_row (members, now);
  if (!members->read_in_flight && now >= members->next_read)
    {
      members->next_read = now + read_interval (members, now);
      read_rows (members, now, NULL);
    }
  return MIN (members->next_heartbeat,
              MIN (members->next_renewal, members->next_read));
}

/* ---- queries ---- */

void
jb_members_foreach_alive (const struct jb_members *members, jb_time now,
                          void (*visit) (void *data,
                                         const struct jb_member *member),
                          void *data)
{
  for (guint i = 0; i < members->all_members->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all_members, i);

      if (jb_member_is_alive (member, now))
        visit (data, member);
    }
}

void
jb_members_send_to_all (const struct jb_members *members,
                        struct ba_bytes bytes)
{
  for (guint i = 0; i < members->all_members->len; i++)
    {
      const struct jb_member *member
          = g_ptr_array_index (members->all_members, i);

      jb_driver_send (members->options.driver, member->incarnation, bytes);
    }
}

bool
jb_members_is_coordinator (const struct jb_members *members)
{
  return members->is_coordinator;
}

static void
count_member (void *data, const struct jb_member *member)
{
  (void)member;
  ++*(uint32_t *)data;
}

uint32_t
jb_members_count_alive (const struct jb_members *members, jb_time now)
{
  uint32_t count = 0;

  jb_members_foreach_alive (members, now, count_member, &count);
  return count;
}

/* Return the fence that MEMBER's last heartbeat reports for PARTITION, or 0 if
   it does not own it.  */
static uint64_t
reported_fence (const struct jb_member *member, const char *partition)
{
  for (uint32_t i = 0; i < member->ownership_count; i++)
    if (strcmp (member->ownerships[i].partition, partition) == 0)
      return member->ownerships[i].fence;
  return 0;
}

const struct jb_member *
jb_members_find_owner (struct jb_members *members, jb_time now,
                       const char *partition)
{
  const struct jb_member *best = NULL;
  uint64_t best_fence = 0;

  for (guint i = 0; i < members->all_members->len; i++)
    {
      const struct jb_member *member
          = g_ptr_array_index (members->all_members, i);
      uint64_t fence = reported_fence (member, partition);

      if (fence > best_fence && jb_member_is_alive (member, now))
        {
          best = member;
          best_fence = fence;
        }
    }
  return best;
}

uint64_t
jb_members_last_owner (struct jb_members *members, const char *partition)
{
  return get_or_add_partition (members, partition)->owner;
}

uint64_t
jb_members_owner_fence (struct jb_members *members, const char *partition)
{
  return get_or_add_partition (members, partition)->fence;
}

uint64_t
jb_members_superseding_fence (const struct jb_members *members, jb_time now,
                              const char *partition, uint64_t fence)
{
  for (guint i = 0; i < members->all_members->len; i++)
    {
      const struct jb_member *member
          = g_ptr_array_index (members->all_members, i);
      uint64_t other = reported_fence (member, partition);

      if (other > fence && jb_member_is_alive (member, now))
        return other;
    }
  return 0;
}

/* Return when MEMBER last received a heartbeat of this host, as its last
   heartbeat reports, or 0 if it reports none.  */
static jb_time
last_heard_by (const struct jb_members *members,
               const struct jb_member *member)
{
  for (uint32_t i = 0; i < member->peer_count; i++)
    if (member->peers[i].incarnation == members->options.incarnation)
      return member->last_arrival_at - member->peers[i].age_ms * JB_MS;
  return 0;
}

/* Compare two times, the later one first.  */
static int
compare_times (const void *a, const void *b)
{
  jb_time x = *(const jb_time *)a;
  jb_time y = *(const jb_time *)b;

  return x > y ? -1 : x < y;
}

jb_time
jb_members_unclaimed_until (const struct jb_members *members)
{
  guint count = members->all_members->len;
  jb_time *heard_at = talloc_array (NULL, jb_time, count + 1);
  jb_time by_all;
  jb_time by_most;

  for (guint i = 0; i < count; i++)
    heard_at[i]
        = last_heard_by (members, g_ptr_array_index (members->all_members, i));
  qsort (heard_at, count, sizeof *heard_at, compare_times);
  by_all = count > 0 ? heard_at[count - 1] : 0;
  /* Together with this host, COUNT / 2 (rounded up) others are most.  */
  by_most = count > 0 ? heard_at[(count + 1) / 2 - 1] : 0;
  talloc_free (heard_at);
  if (members->own_row_renewed_at == 0)
    return by_all;
  return MAX (by_all,
              MIN (by_most, members->own_row_renewed_at + MAX_ROW_AGE));
}

/* ---- choice of the host that claims a partition ---- */

/* Return whether a live member has recently received a heartbeat of the member
   with INCARNATION.  */
static bool
is_heard_by_peer (const struct jb_members *members, jb_time now,
                  uint64_t incarnation)
{
  for (guint i = 0; i < members->all_members->len; i++)
    {
      const struct jb_member *member
          = g_ptr_array_index (members->all_members, i);

      if (!jb_member_is_alive (member, now))
        continue;
      for (uint32_t j = 0; j < member->peer_count; j++)
        if (member->peers[j].incarnation == incarnation
            && member->peers[j].age_ms < MAX_PEER_HEARTBEAT_AGE_MS)
          return true;
    }
  return false;
}

/* Return whether the store shows that the silent members have stopped or don't
   reach the store: the rows were read recently, and none of these members
   renews its row.  */
static bool
silent_rows_are_stale (const struct jb_members *members, jb_time now)
{
  if (members->last_read_at == 0
      || now - members->last_read_at > 2 * READ_INTERVAL_MINORITY)
    return false;
  for (guint i = 0; i < members->all_members->len; i++)
    {
      const struct jb_member *member
          = g_ptr_array_index (members->all_members, i);

      if (!jb_member_is_alive (member, now)
          && now - MAX (member->row_changed_at, member->last_heartbeat_at)
                 < MAX_ROW_AGE)
        return false;
    }
  return true;
}

/* Return the share of a processor, in thousandths, for each partition on a
   host that has CPU_SHARE_MILLI of a processor, owns OWNERSHIP_COUNT
   partitions and claims one more.  */
static double
cpu_share_per_ownership (uint32_t cpu_share_milli, uint32_t ownership_count)
{
  return (double)(cpu_share_milli > 0 ? cpu_share_milli
                                      : DEFAULT_CPU_SHARE_MILLI)
         / (ownership_count + 1.0);
}

/* Return how many hosts come before this one as candidates for PARTITION.
   Candidates are coordinators that are alive, not stopping, and reach the
   store.  Hosts that would have a larger share of a processor for each
   partition come first; among equals, the order is that of a hash that all
   hosts compute alike.  The share matters because managing a pool of a hundred
   backend servers needs more processor time than the smallest hosts have, and
   an owner whose status probes are late considers healthy servers lost.  */
static uint32_t
claim_rank (const struct jb_members *members, jb_time now,
            const char *partition, uint32_t own_count)
{
  uint64_t seed = ba_hash_str (partition, 0);
  uint64_t own_hash = ba_hash_str (members->options.name, seed);
  double own_share
      = cpu_share_per_ownership (members->options.cpu_share_milli, own_count);
  uint32_t rank = 0;

  for (guint i = 0; i < members->all_members->len; i++)
    {
      const struct jb_member *member
          = g_ptr_array_index (members->all_members, i);
      double share = cpu_share_per_ownership (member->cpu_share_milli,
                                              member->ownership_count);

      if (!jb_member_is_alive (member, now) || !member->is_coordinator
          || member->stopping || !member->store_reachable)
        continue;
      if (share > own_share
          || (!(share < own_share)
              && ba_hash_str (member->name, seed) < own_hash))
        rank++;
    }
  return rank;
}

/* Return whether a live member is claiming PARTITION.  */
static bool
is_being_claimed (const struct jb_members *members, jb_time now,
                  const char *partition)
{
  for (guint i = 0; i < members->all_members->len; i++)
    {
      const struct jb_member *member
          = g_ptr_array_index (members->all_members, i);

      for (uint32_t j = 0; j < member->ownership_count; j++)
        if (member->ownerships[j].fence == 0
            && jb_member_is_alive (member, now)
            && strcmp (member->ownerships[j].partition, partition) == 0)
          return true;
    }
  return false;
}

/* Return whether the partition has no owner and no host is claiming it, as far
   as this host can tell.  */
static bool
is_vacant (struct jb_members *members, jb_time now,
           struct partition_state *partition_state)
{
  const struct jb_member *last_owner;

  if (jb_members_find_owner (members, now, partition_state->partition) != NULL
      || is_being_claimed (members, now, partition_state->partition))
    return false;
  last_owner = jb_members_find (members, partition_state->owner);
  if (last_owner != NULL && jb_member_is_alive (last_owner, now))
    return true; /* the last owner is alive and no longer reports it */
  if (partition_state->owner == members->options.incarnation)
    return true;
  if (now - members->started_at < STARTUP_CLAIM_DELAY
      || members->last_read_at == 0)
    return false;
  if (partition_state->owner != 0
      && is_heard_by_peer (members, now, partition_state->owner))
    return false;
  return !is_minority (members, now) || silent_rows_are_stale (members, now);
}

bool
jb_members_has_owner_released (struct jb_members *members, jb_time now,
                               const char *partition)
{
  struct partition_state *partition_state
      = get_or_add_partition (members, partition);
  const struct jb_member *last_owner
      = jb_members_find (members, partition_state->owner);

  if (jb_members_find_owner (members, now, partition) != NULL)
    return false;
  return partition_state->owner == members->options.incarnation
         || (last_owner != NULL && jb_member_is_alive (last_owner, now));
}

bool
jb_members_should_claim (struct jb_members *members, jb_time now,
                         const char *partition, uint32_t own_count)
{
  struct partition_state *partition_state
      = get_or_add_partition (members, partition);

  if (!members->is_coordinator || !is_vacant (members, now, partition_state))
    {
      partition_state->vacant_since = 0;
      return false;
    }
  if (partition_state->vacant_since == 0)
    partition_state->vacant_since = now;
  return now - partition_state->vacant_since
         >= claim_rank (members, now, partition, own_count)
                * CLAIM_DELAY_PER_RANK;
}

/* ---- handing a pool over ---- */

/* Return whether one of the COUNT OWNERSHIPS is only being claimed.  */
static bool
has_claim (const struct jb_msg_ownership *ownerships, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (ownerships[i].fence == 0)
      return true;
  return false;
}

const char *
jb_members_find_successor (const struct jb_members *members, jb_time now,
                           const struct jb_self_status *self,
                           jb_time last_handover_at)
{
  struct jb_handover_host own
      = { .name = members->options.name,
          .cpu_share_milli = members->options.cpu_share_milli,
          .ownership_count = self->ownership_count,
          .is_claiming = has_claim (self->ownerships, self->ownership_count),
          .may_claim = self->store_reachable && !self->stopping };
  struct jb_handover_host *hosts = talloc_array (
      NULL, struct jb_handover_host, members->all_members->len + 1);
  const struct jb_handover_host *successor;
  const char *name;
  uint32_t count = 0;

  for (guint i = 0; i < members->all_members->len; i++)
    {
      const struct jb_member *member
          = g_ptr_array_index (members->all_members, i);

      if (!jb_member_is_alive (member, now))
        continue;
      hosts[count++] = (struct jb_handover_host){
        .name = member->name,
        .cpu_share_milli = member->cpu_share_milli,
        .ownership_count = member->ownership_count,
        .is_claiming = has_claim (member->ownerships, member->ownership_count),
        .may_claim = member->is_coordinator && member->store_reachable
                     && !member->stopping
                     && member->catalog_version >= self->catalog_version,
        .alive_since = member->alive_since
      };
    }
  successor = jb_handover_choose (&own, hosts, count, last_handover_at, now);
  name = successor != NULL ? successor->name : NULL;
  talloc_free (hosts);
  return name;
}
