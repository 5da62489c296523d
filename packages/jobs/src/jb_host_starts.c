/* Starts that the owners of pools are about to send: this host keeps the last
   list of each owner that has chosen it as a witness, and tells a new owner of
   the pool.  After that it replies to none of former owners, so that these
   soon send nothing which the new owner doesn't know of.  If the new owner's
   first list arrives before its query, that one gets the list which is
   replaced.

   Expected load: for each pool up to 100 lists a second of some entries each,
   at one host.  */

#include "jb_host_internal.h"

#include "ba_hash.h"
#include "jb_backend.h"

#include <string.h>

/* How long after a reply a former owner may still send starts of lists that
   are refused (CONFIRMED_TIME of jb_pool_starts.c), and these lists take to
   arrive.  They are passed on to the new owner.  */
#define SETTLE_TIME (100 * JB_MS)

/* The last list for a pool.  */
struct kept_starts
{
  char *pool;
  struct jb_msg *message; /* NULL: none */
  jb_time kept_at;
  jb_time counted_at; /* from when the times of its grants count */
  /* Lists of generations below this are refused.  */
  uint32_t lowest_generation;
  uint32_t told_generation; /* of the owner that was sent it last; 0: none */
  uint64_t owner;           /* of the lowest generation; 0: it is this host */
  jb_time replied_at;       /* to a list, last; 0: never */
  jb_time settled_at;       /* when all lists that matter have arrived */
};

static struct kept_starts *
get_kept (struct jb_host *host, const char *pool)
{
  struct kept_starts *kept;

  for (guint i = 0; i < host->kept_starts->len; i++)
    {
      kept = g_ptr_array_index (host->kept_starts, i);
      if (strcmp (kept->pool, pool) == 0)
        return kept;
    }
  kept = talloc_zero (host, struct kept_starts);
  kept->pool = talloc_strdup (kept, pool);
  g_ptr_array_add (host->kept_starts, kept);
  return kept;
}

/* Return whether the start that was sent last of those in KEPT may have an
   effect.  */
static bool
is_current (const struct jb_host *host, const struct kept_starts *kept,
            jb_time now)
{
  return kept->message != NULL
         && now - kept->kept_at < JB_MAX_COMMAND_DELAY
                                      + jb_backend_lease_time (
                                          host->options.bounds.max_lease_ms);
}

static bool
is_newer (const struct jb_msg_starts *starts, const struct jb_msg_starts *than)
{
  return starts->generation > than->generation
         || (starts->generation == than->generation
             && starts->serial > than->serial);
}

static void
keep (struct kept_starts *kept, jb_time now,
      const struct jb_msg_starts *starts)
{
  struct jb_msg message = { .type = JB_MSG_STARTS, .u.starts = *starts };

  talloc_free (kept->message);
  kept->message = talloc_zero (kept, struct jb_msg);
  ba_codec_deep_copy (kept->message, jb_msg_serialize, &message,
                      kept->message);
  kept->kept_at = now;
  kept->counted_at = now;
  kept->told_generation = 0;
}

static void
send_message (struct jb_host *host, uint64_t to, const struct jb_msg *message)
{
  struct ba_bytes bytes = jb_msg_encode (NULL, message);

  jb_driver_send (host->driver, to, bytes);
  talloc_free (bytes.data);
}

/* Return the pool NAME if this host owns it, else NULL.  */
static struct jb_pool *
find_owned_pool (const struct jb_host *host, const char *name)
{
  struct pool_slot *slot = jb_host_find_slot (host, name);

  return slot != NULL && jb_host_slot_is_owned (slot) ? slot->pool : NULL;
}

/* Bring the times of the grants in KEPT up to NOW.  */
static void
shorten_grants (struct kept_starts *kept, jb_time now)
{
  struct jb_msg_starts *starts = &kept->message->u.starts;
  uint32_t age_ms = (uint32_t)((now - kept->counted_at) / JB_MS);

  kept->counted_at += age_ms * JB_MS;
  for (uint32_t i = 0; i < starts->grant_count; i++)
    starts->grants[i].remaining_ms
        -= MIN (starts->grants[i].remaining_ms, age_ms);
}

/* Return whether KEPT has a list that an owner with GENERATION needs.  */
static bool
has_list_for (const struct jb_host *host, const struct kept_starts *kept,
              jb_time now, uint32_t generation)
{
  return is_current (host, kept, now)
         && kept->message->u.starts.generation < generation;
}

/* Send the list in KEPT to the member TO, an owner with GENERATION, or that
   there is none.  */
static void
send_left (struct jb_host *host, jb_time now, uint64_t to,
           struct kept_starts *kept, uint32_t generation)
{
  struct jb_msg message
      = { .type = JB_MSG_STARTS_LEFT,
          .u.starts_left = { .query_generation = generation,
                             .is_last = now >= kept->settled_at,
                             .starts = { .pool = kept->pool } } };

  if (has_list_for (host, kept, now, generation))
    {
      shorten_grants (kept, now);
      message.u.starts_left.starts = kept->message->u.starts;
      kept->told_generation = generation;
    }
  send_message (host, to, &message);
}

/* Send STARTS, a list that is refused, to the owner of the pool of KEPT.  */
static void
pass_on (struct jb_host *host, const struct kept_starts *kept,
         const struct jb_msg_starts *starts)
{
  struct jb_msg message
      = { .type = JB_MSG_STARTS_LEFT,
          .u.starts_left = { .query_generation = kept->lowest_generation,
                             .starts = *starts } };

  send_message (host, kept->owner, &message);
}

/* The member OWNER, or 0 if it is this host, has claimed the pool of KEPT with
   GENERATION: refuse the lists of owners before.  */
static void
refuse_former_owners (struct kept_starts *kept, uint32_t generation,
                      uint64_t owner)
{
  if (generation <= kept->lowest_generation)
    return;
  kept->lowest_generation = generation;
  kept->owner = owner;
  if (kept->replied_at != 0)
    kept->settled_at = kept->replied_at + SETTLE_TIME;
}

void
jb_host_handle_starts (struct jb_host *host, jb_time now, uint64_t from,
                       const struct jb_msg_starts *starts)
{
  struct jb_pool *pool = find_owned_pool (host, starts->pool);
  struct kept_starts *kept = get_kept (host, starts->pool);
  struct jb_msg reply = { .type = JB_MSG_STARTS_KEPT,
                          .u.starts = { .pool = starts->pool,
                                        .generation = starts->generation,
                                        .serial = starts->serial } };

  if (pool != NULL && jb_pool_handle_left_starts (pool, now, starts))
    return;
  if (starts->generation < kept->lowest_generation)
    {
      if (kept->owner != 0 && now < kept->settled_at)
        pass_on (host, kept, starts);
      return;
    }
  refuse_former_owners (kept, starts->generation, from);
  if (kept->message == NULL || is_newer (starts, &kept->message->u.starts))
    {
      if (has_list_for (host, kept, now, starts->generation)
          && kept->told_generation < starts->generation)
        send_left (host, now, from, kept, starts->generation);
      keep (kept, now, starts);
    }
  if (!starts->wants_reply)
    return;
  kept->replied_at = now;
  send_message (host, from, &reply);
}

void
jb_host_handle_starts_query (struct jb_host *host, jb_time now, uint64_t from,
                             const struct jb_msg_starts *query)
{
  struct kept_starts *kept = get_kept (host, query->pool);

  refuse_former_owners (kept, query->generation, from);
  if (query->wants_reply || has_list_for (host, kept, now, query->generation))
    send_left (host, now, from, kept, query->generation);
}

void
jb_host_handle_starts_left (struct jb_host *host, jb_time now, uint64_t from,
                            const struct jb_msg_starts_left *left)
{
  struct jb_pool *pool = find_owned_pool (host, left->starts.pool);

  if (pool != NULL)
    jb_pool_handle_starts_left (pool, now, from, left);
}

void
jb_host_handle_starts_kept (struct jb_host *host, jb_time now, uint64_t from,
                            const struct jb_msg_starts *kept)
{
  struct jb_pool *pool = find_owned_pool (host, kept->pool);

  if (pool != NULL)
    jb_pool_handle_starts_kept (pool, now, from, kept);
}

void
jb_host_query_starts (void *data, jb_time now, const char *pool,
                      uint32_t generation, uint64_t witness)
{
  struct jb_host *host = data;
  struct jb_msg message = { .type = JB_MSG_STARTS_QUERY,
                            .u.starts = { .pool = (char *)pool,
                                          .generation = generation,
                                          .wants_reply = witness != 0 } };
  struct ba_bytes bytes;
  struct kept_starts *kept = get_kept (host, pool);
  struct pool_slot *slot = jb_host_find_slot (host, pool);

  if (witness != 0)
    {
      send_message (host, witness, &message);
      return;
    }
  bytes = jb_msg_encode (NULL, &message);
  jb_members_send_to_all (host->members, bytes);
  talloc_free (bytes.data);
  refuse_former_owners (kept, generation, 0);
  if (slot != NULL && slot->pool != NULL
      && has_list_for (host, kept, now, generation))
    {
      shorten_grants (kept, now);
      jb_pool_handle_left_starts (slot->pool, now, &kept->message->u.starts);
    }
}

/* ---- choice of the witness ---- */

struct choice
{
  const char *pool;
  const struct jb_member *best; /* or NULL */
};

static bool
is_better (const struct choice *choice, const struct jb_member *member,
           const struct jb_member *than)
{
  if (member->cpu_share_milli != than->cpu_share_milli)
    return member->cpu_share_milli > than->cpu_share_milli;
  return ba_hash_str (choice->pool, member->name_hash)
         < ba_hash_str (choice->pool, than->name_hash);
}

static void
consider_member (void *data, const struct jb_member *member)
{
  struct choice *choice = data;

  if (!member->stopping
      && (choice->best == NULL || is_better (choice, member, choice->best)))
    choice->best = member;
}

uint64_t
jb_host_choose_witness (void *data, jb_time now, const char *pool,
                        const char **name)
{
  struct jb_host *host = data;
  struct choice choice = { .pool = pool };

  jb_members_foreach_alive (host->members, now, consider_member, &choice);
  if (choice.best == NULL)
    return 0;
  *name = choice.best->name;
  return choice.best->incarnation;
}

void
jb_host_tell_starts (void *data, uint64_t witness,
                     const struct jb_msg_starts *starts)
{
  struct jb_msg message = { .type = JB_MSG_STARTS, .u.starts = *starts };

  send_message (data, witness, &message);
}
