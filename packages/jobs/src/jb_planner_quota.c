/* Upper limits of organisations over all pools: the planner divides them, and
   the holders of pools keep to their shares.  A planner that is new divides
   nothing before every pool has said what it uses.  */

#include "jb_planner_internal.h"

#include "jb_quota.h"

#include <string.h>

/* A share that changes by less than one part in so many of the limit is not
   worth a message, unless tasks wait.  */
#define CHANGE_PART 100

/* A former planner that was not heard to give up stands so long after the
   claim; the last shares of one that was are under way so long.  */
#define STANDING_WAIT (2100 * JB_MS)
#define RELEASED_WAIT (150 * JB_MS)

/* Shares that were sent are sent again until they are acknowledged.  */
#define REPEAT_PERIOD (150 * JB_MS)

static struct pool_quota *
get_usage (struct jb_planner *planner, const char *name)
{
  struct pool_quota *usage = g_hash_table_lookup (planner->usages, name);

  if (usage == NULL)
    {
      usage = talloc_zero (planner, struct pool_quota);
      usage->name = talloc_strdup (usage, name);
      usage->orgs = g_hash_table_new (g_str_hash, g_str_equal);
      g_hash_table_insert (planner->usages, usage->name, usage);
    }
  return usage;
}

static int
org_destroy (struct org_quota *entry)
{
  g_array_free (entry->under_way, TRUE);
  return 0;
}

static struct org_quota *
get_org (struct pool_quota *usage, const char *org)
{
  struct org_quota *entry = g_hash_table_lookup (usage->orgs, org);

  if (entry == NULL)
    {
      entry = talloc_zero (usage, struct org_quota);
      entry->org = talloc_strdup (entry, org);
      entry->under_way
          = g_array_new (FALSE, FALSE, sizeof (struct unacked_share));
      talloc_set_destructor (entry, org_destroy);
      g_hash_table_insert (usage->orgs, entry->org, entry);
    }
  return entry;
}

static void
raise_to (struct jb_resources *amount, const struct jb_resources *other)
{
  amount->cpu_milli = MAX (amount->cpu_milli, other->cpu_milli);
  amount->memory_mb = MAX (amount->memory_mb, other->memory_mb);
  amount->accelerators = MAX (amount->accelerators, other->accelerators);
}

/* Work out the highest share that the pool may have by now: the one that it
   named, what it uses, or any that is under way.  */
static void
set_highest (struct org_quota *entry, uint64_t acked)
{
  entry->highest_share = entry->limit;
  raise_to (&entry->highest_share, &entry->used);
  if (entry->unsent)
    raise_to (&entry->highest_share, &entry->sent);
  for (guint i = entry->under_way->len; i-- > 0;)
    {
      const struct unacked_share *sent
          = &g_array_index (entry->under_way, struct unacked_share, i);

      if (sent->serial <= acked)
        g_array_remove_index (entry->under_way, i);
      else
        raise_to (&entry->highest_share, &sent->limit);
    }
}

/* Return how long after the claim the former planner may still give shares. */
static jb_time
former_shares (const struct jb_planner *planner)
{
  if (jb_ownership_generation (planner->ownership) <= 1)
    return 0;
  return planner->options.released ? RELEASED_WAIT : STANDING_WAIT;
}

/* Return whether every pool has said what it uses.  */
static bool
all_known (const struct jb_planner *planner)
{
  const struct jb_catalog *catalog = *planner->options.catalog;

  for (uint32_t i = 0; i < catalog->pool_count; i++)
    {
      const struct pool_quota *usage
          = g_hash_table_lookup (planner->usages, catalog->pools[i].name);

      if (usage == NULL || usage->fence == 0)
        return false;
    }
  return true;
}

static bool
differs (int64_t a, int64_t b, int64_t cap)
{
  /* A share without limit is too large to be multiplied.  */
  int64_t least = (cap + CHANGE_PART - 1) / CHANGE_PART;

  return a != b && (a > b ? a - b : b - a) >= least;
}

/* Return whether SHARE is worth telling a pool that has or was sent OLD.  */
static bool
is_worth_telling (const struct jb_quota_pool *pool,
                  const struct org_quota *entry,
                  const struct jb_resources *cap)
{
  const struct jb_resources *old = &entry->sent;
  bool wants = pool->wanted.cpu_milli > 0 || pool->wanted.memory_mb > 0;

  if (memcmp (&pool->share, old, sizeof *old) == 0)
    return false;
  return wants || !jb_resources_fit (old, &pool->share)
         || differs (pool->share.cpu_milli, old->cpu_milli,
                     MAX (cap->cpu_milli, 1))
         || differs (pool->share.memory_mb, old->memory_mb,
                     MAX (cap->memory_mb, 1));
}

/* Divide the limit of ORG.  */
static void
divide (struct jb_planner *planner, const struct jb_org *org)
{
  guint count = g_hash_table_size (planner->usages);
  struct jb_quota_pool *pools = g_new0 (struct jb_quota_pool, count + 1);
  struct pool_quota **usages = g_new0 (struct pool_quota *, count + 1);
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, planner->usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct org_quota *entry = get_org (value, org->name);

      usages[n] = value;
      pools[n].used = entry->used;
      pools[n].wanted = entry->wanted;
      pools[n].limit = entry->limit;
      pools[n].highest_share = entry->highest_share;
      n++;
    }
  jb_quota_divide (&org->limit, pools, n);
  for (guint i = 0; i < n; i++)
    {
      struct org_quota *entry = get_org (usages[i], org->name);

      if (!is_worth_telling (&pools[i], entry, &org->limit))
        continue;
      entry->sent = pools[i].share;
      entry->unsent = true;
      raise_to (&entry->highest_share, &entry->sent);
      usages[i]->changed = true;
    }
  g_free (pools);
  g_free (usages);
}

static void
send_shares (struct jb_planner *planner, jb_time now, struct pool_quota *usage)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_msg_shares shares = { .pool = usage->name, .fence = usage->fence };
  GHashTableIter iter;
  gpointer value;

  if (usage->changed)
    usage->serial = ++planner->last_serial;
  usage->changed = false;
  usage->sent_at = now;
  shares.planner = jb_planner_fence (planner);
  shares.serial = usage->serial;
  shares.shares = talloc_zero_array (scratch, struct jb_msg_org_share,
                                     g_hash_table_size (usage->orgs) + 1);
  g_hash_table_iter_init (&iter, usage->orgs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct org_quota *entry = value;
      struct unacked_share sent = { usage->serial, entry->sent };

      shares.shares[shares.count++]
          = (struct jb_msg_org_share){ entry->org, entry->sent };
      if (entry->unsent)
        g_array_append_val (entry->under_way, sent);
      entry->unsent = false;
    }
  planner->options.shares (planner->options.data, now, &shares);
  talloc_free (scratch);
}

void
jb_planner_run_quotas (struct jb_planner *planner, jb_time now)
{
  const struct jb_catalog *catalog = *planner->options.catalog;
  GHashTableIter iter;
  gpointer value;

  if (catalog == NULL || !all_known (planner)
      || now < planner->claimed + former_shares (planner))
    return;
  for (uint32_t i = 0; planner->usage_new && i < catalog->org_count; i++)
    {
      const struct jb_resources *cap = &catalog->orgs[i].limit;

      if (cap->cpu_milli > 0 || cap->memory_mb > 0 || cap->accelerators > 0)
        divide (planner, &catalog->orgs[i]);
    }
  planner->usage_new = false;
  g_hash_table_iter_init (&iter, planner->usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool_quota *usage = value;

      if (usage->changed
          || (usage->serial > usage->acked
              && now - usage->sent_at > REPEAT_PERIOD))
        send_shares (planner, now, usage);
    }
}

void
jb_planner_handle_usage (struct jb_planner *planner, jb_time now,
                         const struct jb_msg_usage *message)
{
  struct pool_quota *usage = get_usage (planner, message->pool);
  GHashTableIter iter;
  gpointer value;

  if (message->fence < usage->fence)
    return;
  if (message->fence > usage->fence)
    {
      /* Another holder: it has no shares yet, and what it sees running is all
         that the former one can have left.  */
      usage->fence = message->fence;
      usage->serial = 0;
      usage->acked = 0;
      g_hash_table_iter_init (&iter, usage->orgs);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct org_quota *entry = value;

          entry->sent = (struct jb_resources){ 0 };
          entry->unsent = false;
          g_array_set_size (entry->under_way, 0);
        }
    }
  /* Serials of a former planner say nothing.  */
  usage->acked
      = message->planner == jb_planner_fence (planner) ? message->serial : 0;
  for (uint32_t i = 0; i < message->count; i++)
    {
      const struct jb_msg_org_usage *use = &message->uses[i];
      struct org_quota *entry = get_org (usage, use->org);

      entry->used = use->used;
      entry->wanted = use->wanted;
      entry->limit = use->limit;
    }
  g_hash_table_iter_init (&iter, usage->orgs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    set_highest (value, usage->acked);
  planner->usage_new = true;
  (void)now;
}
