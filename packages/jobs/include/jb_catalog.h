#ifndef JB_CATALOG_H
#define JB_CATALOG_H

/* The catalog: the operators' configuration of queues, organisations and pools
   that is in force on this host.  */

#include "jb_types.h"

#include <glib.h>

struct jb_queue
{
  char *name;
  char *host;        /* of the queue's URL, without a port */
  char *path_prefix; /* of the queue's URL; a job's ID follows it */
  char *pool;        /* where its jobs run */
  uint32_t priority; /* 0 is the highest */
  uint32_t max_attempts;
  /* A job is due `stretch_milli' thousandths of its critical path plus
     `due_margin_ms' after it was submitted.  */
  uint32_t stretch_milli;
  int64_t due_margin_ms;
  int64_t timeout_ms;
  bool allows_anonymous; /* requests need no API key */
  bool needs_advice; /* a policy service says which backend servers may run a
                        step */
  int64_t advice_valid_ms;
};

struct jb_org
{
  char *name;
  char **keys; /* API keys */
  uint32_t key_count;
  uint32_t weight;
  struct jb_resources limit; /* over all pools; 0 in a dimension: unlimited */
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
  int64_t max_body_bytes; /* of a request */
  GHashTable *org_by_key; /* API key -> struct jb_org; borrowed from `orgs',
                             made by jb_catalog_index_keys */
};

/* Read CATALOG from or write it to IO.  Strings and arrays that are read are
   owned by the memory context of IO.  */
void jb_catalog_serialize (struct ba_codec *io, struct jb_catalog *catalog);

/* Make the index of API keys.  It is freed with CATALOG, which must be a
   talloc chunk.  */
void jb_catalog_index_keys (struct jb_catalog *catalog);

/* Return the queue of HOST with the longest path prefix of PATH, or NULL if
   there is none.  HOST may end with a port, and may be NULL.  The result is
   borrowed from CATALOG.  */
const struct jb_queue *
jb_catalog_match_queue (const struct jb_catalog *catalog, const char *host,
                        const char *path);

/* Return the queue NAME, borrowed from CATALOG, or NULL.  */
const struct jb_queue *jb_catalog_find_queue (const struct jb_catalog *catalog,
                                              const char *name);

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
