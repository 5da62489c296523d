#ifndef JB_CATALOG_H
#define JB_CATALOG_H

/* The catalog: the operators' configuration of queues, organisations and
   pools.  A host applies a new version as a whole.  */

#include "jb_types.h"

#include <glib.h>

struct jb_queue
{
  char *name;
  char *host;        /* of the queue's URL, without a port */
  char *path_prefix; /* of the queue's URL; a job's ID follows it */
  char *pool;        /* name of the pool where its jobs run */
  uint32_t priority; /* 0 is the highest */
  /* A job fails when one of its tasks has failed this often; 0: no limit.  */
  uint32_t max_attempts;
  /* A job is due this long after it was submitted: the length of its critical
     path times stretch_milli / 1000, plus due_margin_ms.  */
  uint32_t stretch_milli;
  int64_t due_margin_ms;
  int64_t timeout_ms;    /* as configured; not enforced */
  bool allows_anonymous; /* requests need no API key */
  bool needs_advice; /* the policy service decides which backend servers may
                        run a step */
  int64_t advice_valid_ms; /* how long such a decision is valid */
};

struct jb_org
{
  char *name;
  char **keys; /* API keys */
  uint32_t key_count;
  uint32_t weight;           /* for its share of a full pool, see jb_share.h */
  struct jb_resources limit; /* of all pools together; 0: unlimited */
};

struct jb_pool_settings
{
  char *name;
  bool rejects_overload; /* its backend servers refuse a task that does not fit
                            into their free resources */
  bool standby;          /* its hosts are switched off and cost nothing */
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
  int64_t max_body_bytes; /* of a request */
  /* API key -> struct jb_org, borrowed from `orgs'.  Filled by
     jb_catalog_index_keys, not serialized.  */
  GHashTable *org_by_key;
};

/* Encode CATALOG to IO, or decode it from IO if it is a reader.  Decoded
   strings and arrays are owned by the memory context of IO.  */
void jb_catalog_serialize (struct ba_codec *io, struct jb_catalog *catalog);

/* Fill `org_by_key', which jb_catalog_find_org_by_key needs.  The table is
   freed with CATALOG, which must be a talloc chunk.  */
void jb_catalog_index_keys (struct jb_catalog *catalog);

/* Return the queue that a request to PATH on HOST addresses, borrowed from
   CATALOG, or NULL if there is none.  Of the queues whose host is HOST and
   whose path prefix is a prefix of PATH, this is the one with the longest
   prefix.  HOST may end with a port; if it is NULL, no queue matches.  */
const struct jb_queue *
jb_catalog_match_queue (const struct jb_catalog *catalog, const char *host,
                        const char *path);

/* Return the queue NAME, borrowed from CATALOG, or NULL.  */
const struct jb_queue *jb_catalog_find_queue (const struct jb_catalog *catalog,
                                              const char *name);

/* Return a hash of the name of QUEUE and of the pool that it belongs to.  */
uint64_t jb_catalog_hash_assignment (const struct jb_queue *queue);

/* Return the organisation that the API key KEY, which may be NULL, belongs to,
   borrowed from CATALOG, or NULL.  */
const struct jb_org *
jb_catalog_find_org_by_key (const struct jb_catalog *catalog, const char *key);

/* Return the organisation NAME, borrowed from CATALOG, or NULL.  */
const struct jb_org *jb_catalog_find_org (const struct jb_catalog *catalog,
                                          const char *name);

/* Return the pool NAME, borrowed from CATALOG, or NULL.  */
const struct jb_pool_settings *
jb_catalog_find_pool (const struct jb_catalog *catalog, const char *name);

#endif
