#include "jb_catalog.h"

#include "ba_hash.h"

#include <string.h>

/* Bounds on the sizes of decoded arrays.  */
enum
{
  MAX_QUEUE_COUNT = 100000,
  MAX_ORG_COUNT = 10000,
  MAX_KEY_COUNT_PER_ORG = 1000,
  MAX_POOL_COUNT = 1000
};

void
jb_resources_serialize (struct ba_codec *io, struct jb_resources *resources)
{
  ba_codec_i64 (io, &resources->cpu_milli);
  ba_codec_i64 (io, &resources->memory_mb);
  ba_codec_i64 (io, &resources->accelerators);
}

static void
serialize_queue (struct ba_codec *io, struct jb_queue *queue)
{
  ba_codec_required_str (io, &queue->name);
  ba_codec_required_str (io, &queue->host);
  ba_codec_required_str (io, &queue->path_prefix);
  ba_codec_required_str (io, &queue->pool);
  ba_codec_u32 (io, &queue->priority);
  ba_codec_u32 (io, &queue->max_attempts);
  ba_codec_u32 (io, &queue->stretch_milli);
  ba_codec_i64 (io, &queue->due_margin_ms);
  ba_codec_i64 (io, &queue->timeout_ms);
  ba_codec_bool (io, &queue->allows_anonymous);
  ba_codec_bool (io, &queue->needs_advice);
  ba_codec_i64 (io, &queue->advice_valid_ms);
}

static void
serialize_org (struct ba_codec *io, struct jb_org *org)
{
  ba_codec_required_str (io, &org->name);
  ba_codec_array (io, org->keys, org->key_count, MAX_KEY_COUNT_PER_ORG,
                  ba_codec_required_str);
  ba_codec_u32 (io, &org->weight);
  jb_resources_serialize (io, &org->limit);
}

static void
serialize_pool (struct ba_codec *io, struct jb_pool_settings *pool)
{
  ba_codec_required_str (io, &pool->name);
  ba_codec_bool (io, &pool->rejects_overload);
  ba_codec_bool (io, &pool->standby);
}

void
jb_catalog_serialize (struct ba_codec *io, struct jb_catalog *catalog)
{
  ba_codec_u64 (io, &catalog->version);
  ba_codec_array (io, catalog->queues, catalog->queue_count, MAX_QUEUE_COUNT,
                  serialize_queue);
  ba_codec_array (io, catalog->orgs, catalog->org_count, MAX_ORG_COUNT,
                  serialize_org);
  ba_codec_array (io, catalog->pools, catalog->pool_count, MAX_POOL_COUNT,
                  serialize_pool);
  ba_codec_i64 (io, &catalog->max_body_bytes);
}

static int
free_key_index (GHashTable **index_holder)
{
  g_hash_table_destroy (*index_holder);
  return 0;
}

void
jb_catalog_index_keys (struct jb_catalog *catalog)
{
  GHashTable **index_holder = talloc (catalog, GHashTable *);

  catalog->org_by_key = g_hash_table_new (g_str_hash, g_str_equal);
  *index_holder = catalog->org_by_key;
  talloc_set_destructor (index_holder, free_key_index);
  for (uint32_t i = 0; i < catalog->org_count; i++)
    for (uint32_t j = 0; j < catalog->orgs[i].key_count; j++)
      g_hash_table_insert (catalog->org_by_key, catalog->orgs[i].keys[j],
                           &catalog->orgs[i]);
}

/* Return whether HOST, without a port at its end, equals NAME.  Case is
   ignored.  */
static bool
host_matches (const char *host, const char *name)
{
  size_t len = strlen (name);

  return g_ascii_strncasecmp (host, name, len) == 0
         && (host[len] == '\0' || host[len] == ':');
}

const struct jb_queue *
jb_catalog_match_queue (const struct jb_catalog *catalog, const char *host,
                        const char *path)
{
  const struct jb_queue *best = NULL;
  size_t best_len = 0;

  if (host == NULL)
    return NULL;
  for (uint32_t i = 0; i < catalog->queue_count; i++)
    {
      const struct jb_queue *queue = &catalog->queues[i];
      size_t len = strlen (queue->path_prefix);

      if ((best != NULL && len <= best_len)
          || strncmp (path, queue->path_prefix, len) != 0
          || !host_matches (host, queue->host))
        continue;
      best = queue;
      best_len = len;
    }
  return best;
}

const struct jb_queue *
jb_catalog_find_queue (const struct jb_catalog *catalog, const char *name)
{
  for (uint32_t i = 0; i < catalog->queue_count; i++)
    if (strcmp (catalog->queues[i].name, name) == 0)
      return &catalog->queues[i];
  return NULL;
}

uint64_t
jb_catalog_hash_assignment (const struct jb_queue *queue)
{
  return ba_hash_str (queue->name, ba_hash_str (queue->pool, 0));
}

const struct jb_org *
jb_catalog_find_org_by_key (const struct jb_catalog *catalog, const char *key)
{
  if (key == NULL)
    return NULL;
  return g_hash_table_lookup (catalog->org_by_key, key);
}

const struct jb_org *
jb_catalog_find_org (const struct jb_catalog *catalog, const char *name)
{
  for (uint32_t i = 0; i < catalog->org_count; i++)
    if (strcmp (catalog->orgs[i].name, name) == 0)
      return &catalog->orgs[i];
  return NULL;
}

const struct jb_pool_settings *
jb_catalog_find_pool (const struct jb_catalog *catalog, const char *name)
{
  for (uint32_t i = 0; i < catalog->pool_count; i++)
    if (strcmp (catalog->pools[i].name, name) == 0)
      return &catalog->pools[i];
  return NULL;
}
