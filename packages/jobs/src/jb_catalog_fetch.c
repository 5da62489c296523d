#include "jb_catalog_fetch.h"

#include "ba_hash.h"

/* How long a host has time to read a new version from the store before it asks
   a peer.  */
#define FIRST_REQUEST_DELAY (400 * JB_MS)

/* Time between the first two requests.  It doubles with each further one.  */
#define RETRY_DELAY (1000 * JB_MS)

enum
{
  MAX_RETRY_DELAY_DOUBLINGS = 3
};

/* The best member so far in a pass over the live members.  */
struct candidate
{
  const struct jb_catalog_fetch *fetch;
  uint64_t own_incarnation;
  uint64_t version; /* at least this one is sought */
  const struct jb_member *member;
  bool avoid; /* `member' is stopping or was asked last */
  uint64_t hash;
};

static void
consider_member (void *data, const struct jb_member *member)
{
  struct candidate *best = data;
  bool avoid = member->stopping || member->incarnation == best->fetch->asked;
  uint64_t hash;

  if (member->catalog_version < best->version)
    return;
  hash = ba_hash_str (member->name, best->own_incarnation);
  if (best->member != NULL && member->catalog_version == best->version
      && (avoid != best->avoid ? avoid : hash <= best->hash))
    return;
  best->version = member->catalog_version;
  best->member = member;
  best->avoid = avoid;
  best->hash = hash;
}

const struct jb_member *
jb_catalog_fetch_choose (struct jb_catalog_fetch *fetch, jb_time now,
                         const struct jb_members *members,
                         uint64_t own_incarnation, uint64_t own_version)
{
  struct candidate best = { .fetch = fetch,
                            .own_incarnation = own_incarnation,
                            .version = own_version + 1 };

  if (now < fetch->next_request)
    return NULL;
  jb_members_foreach_alive (members, now, consider_member, &best);
  if (best.member == NULL)
    {
      *fetch = (struct jb_catalog_fetch){ 0 };
      return NULL;
    }
  if (fetch->outdated_since == 0)
    {
      fetch->outdated_since = now;
      fetch->next_request = now + FIRST_REQUEST_DELAY;
      return NULL;
    }
  fetch->next_request = now
                        + (RETRY_DELAY << MIN (fetch->request_count,
                                               MAX_RETRY_DELAY_DOUBLINGS));
  fetch->request_count++;
  fetch->asked = best.member->incarnation;
  return best.member;
}
