#ifndef JB_CATALOG_H
#define JB_CATALOG_H

/* The configuration that is in force: queues, organisations and pools.  */

#include "jb_types.h"

#include <glib.h>

struct jb_queue
{
  char *name;
  char *host;        /* of the URL, without a port */
  char *path_prefix; /* of the path, ends before the job's ID */
  char *pool;
  uint32_t priority; /* 0 comes first */
  uint32_t max_attempts;
  uint32_t stretch_milli; /* objective: the chain's length times this */
  int64_t due_margin_ms;  /* and this much more */
  int64_t timeout_ms;
  bool allows_anonymous; /* no key is needed */
  bool needs_advice; /* a policy says which backend servers may run a step */
  int64_t advice_valid_ms;
};

struct jb_org
{
  char *name;
  char **keys;
  uint32_t key_count;
  uint32_t weight;
  struct jb_resources limit; /* upper limit over all pools; 0: none */
};

struct jb_pool_settings
{
  char *name;
  bool rejects_overload; /* its backend servers reject what does not fit */
  bool standby;          /* its hosts are off and cost nothing */
};

struct jb_catalog
{
  uint64_t version;
  uint32_t queue_count;
  struct jb_queue *queues;
  uint32_t org_count;
  struct jb_org *orgs;
  uint32_t pool_count;
  struct jb_pool_settings *pools;
  int64_t max_body_bytes; /* bytes of a request */
  GHashTable *keys;       /* key -> org; made by jb_catalog_index_keys */
};

void jb_catalog_serialize (struct ba_codec *io, struct jb_catalog *catalog);

/* Make the index of keys.  It goes with CATALOG, a talloc chunk.  */
void jb_catalog_index_keys (struct jb_catalog *catalog);

/* Return the queue of HOST, which may end with a port, that has the longest
   prefix of PATH; NULL when there is none.  Borrowed.  */
const struct jb_queue *
jb_catalog_match_queue (const struct jb_catalog *catalog, const char *host,
                        const char *path);

/* Return the queue NAME, or NULL.  Borrowed.  */
const struct jb_queue *jb_catalog_find_queue (const struct jb_catalog *catalog,
                                              const char *name);

/* Return the organisation that KEY, which may be NULL, belongs to, or NULL.
   Borrowed.  */
const struct jb_org *
jb_catalog_find_org_by_key (const struct jb_catalog *catalog, const char *key);

/* Return the organisation NAME, or NULL.  Borrowed.  */
const struct jb_org *jb_catalog_find_org (const struct jb_catalog *catalog,
                                          const char *name);

/* Return the pool NAME, or NULL.  Borrowed.  */
const struct jb_pool_settings *
jb_catalog_find_pool (const struct jb_catalog *catalog, const char *name);

#endif
