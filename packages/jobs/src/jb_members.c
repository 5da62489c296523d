#include "jb_members.h"

#include "ba_hash.h"

#include <string.h>

/* A member that is not heard for so long is taken for dead: five beats. */
#define SILENCE (1000 * JB_MS)

/* Between two beats.  */
#define BEAT_PERIOD (200 * JB_MS)

/* Another member heard it within: it lives.  */
#define HEARD_BY_OTHER_MS 700

/* After the start, before a duty that nobody is known to hold is claimed.  */
#define SETTLING (700 * JB_MS)

/* The next best candidate waits so much longer.  */
#define CANDIDATE_STEP (400 * JB_MS)

/* Taken for a host's share of a processor, in thousandths, when it does not
   say.  */
#define WHOLE_PROCESSOR 1000

/* Between two writings of this host's row, and two readings of all rows.  */
#define RENEW_PERIOD (1500 * JB_MS)
#define READ_PERIOD (5000 * JB_MS)
#define READ_PERIOD_FEW (1000 * JB_MS)

/* A row that has not changed for so long: its host does not reach the store.
 */
#define QUIET (4000 * JB_MS)

/* A member that is silent for so long is forgotten.  */
#define FORGET (20 * JB_SECOND)

#define STORE_TIMEOUT_MS 800

#define MEMBER_TABLE "member"

/* What is remembered of a duty.  */
struct holding
{
  char *part;
  uint64_t holder; /* incarnation that last said it holds it */
  uint64_t fence;
  jb_time vacant_since; /* 0: it is held */
};

struct jb_members
{
  struct jb_members_options options;
  jb_time started;
  GPtrArray *all;       /* struct jb_member */
  GHashTable *holdings; /* part -> struct holding */
  jb_time next_beat;
  jb_time next_renewal;
  jb_time next_read;
  jb_time last_read; /* answered */
  bool renewing;
  bool reading;
  uint64_t own_row_version;
};

struct member_row
{
  uint64_t incarnation;
  char *address;
  char *zone;
};

static void
member_row_code (struct ba_codec *io, struct member_row *row)
{
  ba_codec_u64 (io, &row->incarnation);
  ba_codec_required_str (io, &row->address);
  ba_codec_required_str (io, &row->zone);
}

static int
members_destroy (struct jb_members *members)
{
  g_ptr_array_free (members->all, TRUE);
  g_hash_table_destroy (members->holdings);
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
  members->started = now;
  members->all = g_ptr_array_new ();
  members->holdings = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (members, members_destroy);
  return members;
}

const struct jb_member *
jb_members_find (const struct jb_members *members, uint64_t incarnation)
{
  for (guint i = 0; i < members->all->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all, i);

      if (member->incarnation == incarnation)
        return member;
    }
  return NULL;
}

bool
jb_member_is_alive (const struct jb_member *member, jb_time now)
{
  return member->heard != 0 && now - member->heard < SILENCE;
}

/* Tell the driver whom to connect to.  */
static void
connect_all (struct jb_members *members)
{
  guint count = members->all->len;
  struct jb_member_address *addresses
      = talloc_array (NULL, struct jb_member_address, count + 1);

  for (guint i = 0; i < count; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all, i);

      addresses[i].incarnation = member->incarnation;
      addresses[i].address = member->address;
    }
  jb_driver_set_members (members->options.driver, addresses, count);
  talloc_free (addresses);
}

static void
forget (struct jb_members *members, struct jb_member *member,
        const char *reason)
{
  jb_log (members->options.driver, JB_LEVEL_INFO, "member-gone", "member",
          member->name, "reason", reason, NULL);
  g_ptr_array_remove (members->all, member);
  talloc_free (member);
}

/* Return the member INCARNATION, making it when it is new.  An older
   incarnation of NAME goes.  */
static struct jb_member *
admit (struct jb_members *members, uint64_t incarnation, const char *name,
       const char *address, const char *zone)
{
  struct jb_member *member
      = (struct jb_member *)jb_members_find (members, incarnation);

  if (member != NULL)
    return member;
  for (guint i = members->all->len; i-- > 0;)
    {
      struct jb_member *old = g_ptr_array_index (members->all, i);

      if (strcmp (old->name, name) == 0)
        forget (members, old, "a newer process has its name");
    }
  member = talloc_zero (members, struct jb_member);
  member->incarnation = incarnation;
  member->name = talloc_strdup (member, name);
  member->address = talloc_strdup (member, address);
  member->zone = talloc_strdup (member, zone);
  g_ptr_array_add (members->all, member);
  jb_log (members->options.driver, JB_LEVEL_INFO, "member-found", "member",
          name, "address", address, NULL);
  connect_all (members);
  return member;
}

static struct holding *
get_holding (struct jb_members *members, const char *part)
{
  struct holding *holding = g_hash_table_lookup (members->holdings, part);

  if (holding == NULL)
    {
      holding = talloc_zero (members, struct holding);
      holding->part = talloc_strdup (holding, part);
      g_hash_table_insert (members->holdings, holding->part, holding);
    }
  return holding;
}

static void
note_holder (struct jb_members *members, uint64_t holder,
             const struct jb_msg_ownership *duty)
{
  struct holding *holding = get_holding (members, duty->part);

  if (duty->fence == 0 || duty->fence < holding->fence)
    return;
  holding->holder = holder;
  holding->fence = duty->fence;
}

void
jb_members_receive_heartbeat (struct jb_members *members, jb_time now,
                              uint64_t from,
                              const struct jb_msg_heartbeat *beat)
{
  struct jb_member *member;

  if (from == members->options.incarnation)
    return;
  member = admit (members, from, beat->name, beat->address, beat->zone);
  if (!jb_member_is_alive (member, now))
    jb_log (members->options.driver, JB_LEVEL_INFO, "member-heard", "member",
            member->name, NULL);
  member->heard = now;
  member->cpu_share_milli = beat->cpu_share_milli;
  member->stopping = beat->stopping;
  member->store_heard = beat->store_answer_age_ms >= 0
                            ? now - beat->store_answer_age_ms * JB_MS
                            : 0;
  member->store_reachable = beat->store_reachable;
  member->catalog_version = beat->catalog_version;
  TALLOC_FREE (member->ownerships);
  TALLOC_FREE (member->others);
  member->ownership_count = beat->ownership_count;
  member->ownerships = talloc_array (member, struct jb_msg_ownership,
                                     beat->ownership_count + 1);
  for (uint32_t i = 0; i < beat->ownership_count; i++)
    {
      member->ownerships[i].part
          = talloc_strdup (member->ownerships, beat->ownerships[i].part);
      member->ownerships[i].fence = beat->ownerships[i].fence;
      note_holder (members, from, &beat->ownerships[i]);
    }
  member->peer_count = beat->peer_count;
  member->others = talloc_memdup (member, beat->heard,
                                  beat->peer_count * sizeof *beat->heard);
}

static void
send_beat (struct jb_members *members, jb_time now,
           const struct jb_self_status *self)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_msg message = { .type = JB_MSG_HEARTBEAT };
  struct jb_msg_heartbeat *beat = &message.u.beat;
  struct ba_bytes bytes;

  beat->name = (char *)members->options.name;
  beat->address = (char *)members->options.address;
  beat->zone = (char *)members->options.zone;
  beat->cpu_share_milli = members->options.cpu_share_milli;
  beat->stopping = self->stopping;
  beat->store_answer_age_ms = self->store_answer_age_ms;
  beat->store_reachable = self->store_reachable;
  beat->catalog_version = self->catalog_version;
  beat->ownerships = (struct jb_msg_ownership *)self->ownerships;
  beat->ownership_count = self->ownership_count;
  beat->heard
      = talloc_array (scratch, struct jb_msg_peer_age, members->all->len + 1);
  for (guint i = 0; i < members->all->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all, i);

      if (jb_member_is_alive (member, now))
        beat->heard[beat->peer_count++]
            = (struct jb_msg_peer_age){ member->incarnation,
                                        (now - member->heard) / JB_MS };
    }
  bytes = jb_msg_encode (scratch, &message);
  for (guint i = 0; i < members->all->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all, i);

      jb_driver_send (members->options.driver, member->incarnation, bytes);
    }
  talloc_free (scratch);
  for (uint32_t i = 0; i < self->ownership_count; i++)
    note_holder (members, members->options.incarnation, &self->ownerships[i]);
}

void
jb_members_send_heartbeat (struct jb_members *members, jb_time now,
                           const struct jb_self_status *self)
{
  send_beat (members, now, self);
  members->next_beat = now + BEAT_PERIOD;
}

/* ---- rows ---- */

static void
renewed (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct jb_members *members = data;

  (void)now;
  (void)sent;
  members->renewing = false;
  if (reply->result == JB_RESULT_OK)
    members->own_row_version = reply->version;
}

static void
renew (struct jb_members *members, jb_time now)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct member_row content
      = { members->options.incarnation, (char *)members->options.address,
          (char *)members->options.zone };
  struct jb_row row = { .table = MEMBER_TABLE,
                        .partition = "",
                        .key = members->options.name };
  struct jb_command order
      = { .kind = JB_COMMAND_WRITE,
          .timeout_ms = STORE_TIMEOUT_MS,
          .u.write = { .set_rows = &row, .set_count = 1 } };

  row.value = ba_codec_encode (scratch, member_row_code, &content);
  members->renewing = true;
  members->next_renewal = now + RENEW_PERIOD;
  jb_count_event (members->options.driver, JB_COUNT_STORE_WRITES);
  jb_driver_submit (members->options.driver, members, now, &order, renewed,
                    members);
  talloc_free (scratch);
}

static void
take_row (struct jb_members *members, jb_time now, const struct jb_row *row)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct member_row content = { 0 };
  struct jb_member *member = NULL;
  struct ba_codec io;

  ba_codec_init_reader (&io, scratch, row->value);
  member_row_code (&io, &content);
  if (!ba_codec_is_complete (&io))
    jb_log (members->options.driver, JB_LEVEL_WARN, "row-unreadable", "table",
            MEMBER_TABLE, "key", row->key, NULL);
  else if (strcmp (row->key, members->options.name) != 0)
    member = admit (members, content.incarnation, row->key, content.address,
                    content.zone);
  if (member != NULL && member->row_version != row->version)
    {
      member->row_version = row->version;
      member->row_changed = now;
    }
  talloc_free (scratch);
}

static void
rows_read (void *data, jb_time now, jb_time sent, const struct jb_reply *reply)
{
  struct jb_members *members = data;

  (void)sent;
  members->reading = false;
  if (reply->result != JB_RESULT_OK)
    return;
  members->last_read = now;
  for (uint32_t i = 0; i < reply->row_count; i++)
    take_row (members, now, &reply->rows[i]);
}

static void
read_rows (struct jb_members *members, jb_time now)
{
  struct jb_command order = { .kind = JB_COMMAND_READ,
                              .timeout_ms = STORE_TIMEOUT_MS,
                              .u.read = { MEMBER_TABLE, "", NULL } };

  members->reading = true;
  jb_count_event (members->options.driver, JB_COUNT_STORE_READS);
  jb_driver_submit (members->options.driver, members, now, &order, rows_read,
                    members);
}

/* Return whether so many known members are silent that the store is asked
   whether they live.  */
static bool
is_minority (const struct jb_members *members, jb_time now)
{
  return 2 * (jb_members_count_alive (members, now) + 1)
         <= members->all->len + 1;
}

static void
forget_silent (struct jb_members *members, jb_time now)
{
  for (guint i = members->all->len; i-- > 0;)
    {
      struct jb_member *member = g_ptr_array_index (members->all, i);
      jb_time last = MAX (member->heard, member->row_changed);

      if (now - last > FORGET)
        forget (members, member, "silent");
    }
}

jb_time
jb_members_run (struct jb_members *members, jb_time now,
                const struct jb_self_status *self)
{
  if (now >= members->next_beat)
    {
      forget_silent (members, now);
      jb_members_send_heartbeat (members, now, self);
    }
  if (!members->renewing && !self->stopping && now >= members->next_renewal)
    renew (members, now);
  if (!members->reading && now >= members->next_read)
    {
      members->next_read
          = now
            + (is_minority (members, now) || members->all->len == 0
                   ? READ_PERIOD_FEW
                   : READ_PERIOD);
      read_rows (members, now);
    }
  return MIN (members->next_beat,
              MIN (members->next_renewal, members->next_read));
}

/* ---- questions ---- */

void
jb_members_foreach_alive (const struct jb_members *members, jb_time now,
                          void (*visit) (void *, const struct jb_member *),
                          void *data)
{
  for (guint i = 0; i < members->all->len; i++)
    {
      struct jb_member *member = g_ptr_array_index (members->all, i);

      if (jb_member_is_alive (member, now))
        visit (data, member);
    }
}

static void
count_live (void *data, const struct jb_member *member)
{
  (void)member;
  ++*(uint32_t *)data;
}

uint32_t
jb_members_count_alive (const struct jb_members *members, jb_time now)
{
  uint32_t count = 0;

  jb_members_foreach_alive (members, now, count_live, &count);
  return count;
}

static uint64_t
held_fence (const struct jb_member *member, const char *part)
{
  for (uint32_t i = 0; i < member->ownership_count; i++)
    if (strcmp (member->ownerships[i].part, part) == 0)
      return member->ownerships[i].fence;
  return 0;
}

const struct jb_member *
jb_members_find_owner (struct jb_members *members, jb_time now,
                       const char *part)
{
  const struct jb_member *best = NULL;
  uint64_t best_fence = 0;

  for (guint i = 0; i < members->all->len; i++)
    {
      const struct jb_member *member = g_ptr_array_index (members->all, i);
      uint64_t fence = held_fence (member, part);

      if (fence > best_fence && jb_member_is_alive (member, now))
        {
          best = member;
          best_fence = fence;
        }
    }
  return best;
}

uint64_t
jb_members_owner_fence (struct jb_members *members, const char *part)
{
  return get_holding (members, part)->fence;
}

uint64_t
jb_members_superseding_fence (const struct jb_members *members, jb_time now,
                              const char *part, uint64_t fence)
{
  for (guint i = 0; i < members->all->len; i++)
    {
      const struct jb_member *member = g_ptr_array_index (members->all, i);
      uint64_t other = held_fence (member, part);

      if (other > fence && jb_member_is_alive (member, now))
        return other;
    }
  return 0;
}

jb_time
jb_members_last_heard_by_peer (const struct jb_members *members)
{
  jb_time latest = 0;

  for (guint i = 0; i < members->all->len; i++)
    {
      const struct jb_member *member = g_ptr_array_index (members->all, i);

      for (uint32_t j = 0; j < member->peer_count; j++)
        if (member->others[j].incarnation == members->options.incarnation)
          latest
              = MAX (latest, member->heard - member->others[j].age_ms * JB_MS);
    }
  return latest;
}

/* ---- who takes a duty that is free ---- */

/* Return whether a live member has heard INCARNATION lately.  */
static bool
heard_elsewhere (const struct jb_members *members, jb_time now,
                 uint64_t incarnation)
{
  for (guint i = 0; i < members->all->len; i++)
    {
      const struct jb_member *member = g_ptr_array_index (members->all, i);

      if (!jb_member_is_alive (member, now))
        continue;
      for (uint32_t j = 0; j < member->peer_count; j++)
        if (member->others[j].incarnation == incarnation
            && member->others[j].age_ms < HEARD_BY_OTHER_MS)
          return true;
    }
  return false;
}

/* Return whether no silent member renews its row.  */
static bool
silent_are_quiet (const struct jb_members *members, jb_time now)
{
  if (members->last_read == 0
      || now - members->last_read > 2 * READ_PERIOD_FEW)
    return false;
  for (guint i = 0; i < members->all->len; i++)
    {
      const struct jb_member *member = g_ptr_array_index (members->all, i);

      if (!jb_member_is_alive (member, now)
          && now - MAX (member->row_changed, member->heard) < QUIET)
        return false;
    }
  return true;
}

/* Return how much of a processor each duty would have on a host with the share
   PROCESSOR that takes one more than it has.  */
static double
share_per_duty (uint32_t processor, uint32_t duties)
{
  return (double)(processor > 0 ? processor : WHOLE_PROCESSOR)
         / (duties + 1.0);
}

/* Return how many live candidates come before this host for PART: those where
   a duty has more of a processor, then by a hash that is equal everywhere.
   A pool of a hundred backend servers needs more than the least of hosts has,
   and one that is late with its looks takes sound servers for lost.  */
static uint32_t
candidate_rank (const struct jb_members *members, jb_time now,
                const char *part, uint32_t load)
{
  uint64_t seed = ba_hash_str (part, 0);
  uint64_t own = ba_hash_str (members->options.name, seed);
  double own_share = share_per_duty (members->options.cpu_share_milli, load);
  uint32_t rank = 0;

  for (guint i = 0; i < members->all->len; i++)
    {
      const struct jb_member *member = g_ptr_array_index (members->all, i);
      double share
          = share_per_duty (member->cpu_share_milli, member->ownership_count);

      if (!jb_member_is_alive (member, now) || member->stopping
          || !member->store_reachable)
        continue;
      if (share > own_share
          || (!(share < own_share) && ba_hash_str (member->name, seed) < own))
        rank++;
    }
  return rank;
}

/* Return whether a live member is claiming PART.  */
static bool
is_being_claimed (const struct jb_members *members, jb_time now,
                  const char *part)
{
  for (guint i = 0; i < members->all->len; i++)
    {
      const struct jb_member *member = g_ptr_array_index (members->all, i);

      for (uint32_t j = 0; j < member->ownership_count; j++)
        if (member->ownerships[j].fence == 0
            && jb_member_is_alive (member, now)
            && strcmp (member->ownerships[j].part, part) == 0)
          return true;
    }
  return false;
}

/* Return whether PART is held by nobody as far as this host can tell.  */
static bool
is_vacant (struct jb_members *members, jb_time now, struct holding *holding)
{
  const struct jb_member *last;

  if (jb_members_find_owner (members, now, holding->part) != NULL
      || is_being_claimed (members, now, holding->part))
    return false;
  last = jb_members_find (members, holding->holder);
  if (last != NULL && jb_member_is_alive (last, now))
    return true; /* it lives, and says that it holds it no more */
  if (holding->holder == members->options.incarnation)
    return true;
  if (now - members->started < SETTLING || members->last_read == 0)
    return false;
  if (holding->holder != 0 && heard_elsewhere (members, now, holding->holder))
    return false;
  return !is_minority (members, now) || silent_are_quiet (members, now);
}

bool
jb_members_owner_released (struct jb_members *members, jb_time now,
                           const char *part)
{
  struct holding *holding = get_holding (members, part);
  const struct jb_member *last = jb_members_find (members, holding->holder);

  if (jb_members_find_owner (members, now, part) != NULL)
    return false;
  return holding->holder == members->options.incarnation
         || (last != NULL && jb_member_is_alive (last, now));
}

bool
jb_members_should_claim (struct jb_members *members, jb_time now,
                         const char *part, uint32_t load)
{
  struct holding *holding = get_holding (members, part);

  if (!is_vacant (members, now, holding))
    {
      holding->vacant_since = 0;
      return false;
    }
  if (holding->vacant_since == 0)
    holding->vacant_since = now;
  return now - holding->vacant_since
         >= candidate_rank (members, now, part, load) * CANDIDATE_STEP;
}
