/* Quotas: the planner divides the organisations' resource limits among the
   pools, and the owners of the pools enforce the shares.  A new planner starts
   dividing when every pool has reported its usage and no share from its
   predecessor can arrive any more.  */

#include "jb_planner_internal.h"

#include "jb_quota.h"

#include <string.h>

/* To save messages, a share whose CPU and memory each grow by less than
   1 / MIN_CHANGE_DIVISOR of the limit is not sent unless tasks wait.  */
#define MIN_CHANGE_DIVISOR 100

/* Time after the claim during which shares from the predecessor may still
   arrive: if it may not know yet that it has lost its ownership, and if it is
   known to have released it or to have ended.  */
#define PREDECESSOR_VALIDITY (2100 * JB_MS)
#define PREDECESSOR_MESSAGE_DELAY (150 * JB_MS)

/* Time after which shares that were not acknowledged are sent again.  */
#define RESEND_INTERVAL (150 * JB_MS)

static struct pool_quota *
get_or_add_pool_quota (struct jb_planner *planner, const char *name)
{
  struct pool_quota *quota = g_hash_table_lookup (planner->quotas, name);

  if (quota == NULL)
    {
      quota = talloc_zero (planner, struct pool_quota);
      quota->name = talloc_strdup (quota, name);
      quota->orgs = g_hash_table_new (g_str_hash, g_str_equal);
      g_hash_table_insert (planner->quotas, quota->name, quota);
    }
  return quota;
}

static int
org_quota_destroy (struct org_quota *org_quota)
{
  g_array_free (org_quota->unacked_shares, TRUE);
  return 0;
}

static struct org_quota *
get_or_add_org_quota (struct pool_quota *quota, const char *org)
{
  struct org_quota *org_quota = g_hash_table_lookup (quota->orgs, org);

  if (org_quota == NULL)
    {
      org_quota = talloc_zero (quota, struct org_quota);
      org_quota->org = talloc_strdup (org_quota, org);
      org_quota->unacked_shares
          = g_array_new (FALSE, FALSE, sizeof (struct unacked_share));
      talloc_set_destructor (org_quota, org_quota_destroy);
      g_hash_table_insert (quota->orgs, org_quota->org, org_quota);
    }
  return org_quota;
}

/* Raise each dimension of RESOURCES to that of OTHER if that is larger.  */
static void
raise_to_maximum (struct jb_resources *resources,
                  const struct jb_resources *other)
{
  resources->cpu_milli = MAX (resources->cpu_milli, other->cpu_milli);
  resources->memory_mb = MAX (resources->memory_mb, other->memory_mb);
  resources->accelerators = MAX (resources->accelerators, other->accelerators);
}

/* Lower each dimension of RESOURCES to that of OTHER if that is smaller.  */
static void
lower_to_minimum (struct jb_resources *resources,
                  const struct jb_resources *other)
{
  resources->cpu_milli = MIN (resources->cpu_milli, other->cpu_milli);
  resources->memory_mb = MIN (resources->memory_mb, other->memory_mb);
  resources->accelerators = MIN (resources->accelerators, other->accelerators);
}

/* Compute the highest share that the pool's owner may have in force.  That is
   the maximum of the share that it reported, what the organisation uses, and
   all shares that were assigned and not acknowledged.  Shares up to
   ACKED_SERIAL were acknowledged.  */
static void
update_highest_share (struct org_quota *org_quota, uint64_t acked_serial)
{
  org_quota->highest_share = org_quota->reported_share;
  raise_to_maximum (&org_quota->highest_share, &org_quota->used);
  if (org_quota->is_unsent)
    raise_to_maximum (&org_quota->highest_share, &org_quota->assigned_share);
  for (guint i = org_quota->unacked_shares->len; i-- > 0;)
    {
      const struct unacked_share *unacked = &g_array_index (
          org_quota->unacked_shares, struct unacked_share, i);

      if (unacked->serial <= acked_serial)
        g_array_remove_index (org_quota->unacked_shares, i);
      else
        raise_to_maximum (&org_quota->highest_share, &unacked->share);
    }
}

void
jb_planner_check_predecessor (struct jb_planner *planner, jb_time now)
{
  const struct jb_planner_options *options = &planner->options;
  const char *name = jb_ownership_previous_owner (planner->ownership);
  uint64_t incarnation
      = jb_ownership_previous_incarnation (planner->ownership);
  const char *reason = NULL;

  if (planner->predecessor_ended_at != 0 || name == NULL)
    return;
  if (incarnation == options->incarnation)
    reason = "it was this process";
  else if (incarnation == options->released_incarnation)
    reason = "it released its ownership";
  else if (options->has_process_ended != NULL
           && options->has_process_ended (options->data, name, incarnation))
    reason = "its process has ended";
  if (reason == NULL)
    return;
  /* The process may have ended just before its successor answered, but the
     ownership was released before the claim.  */
  planner->predecessor_ended_at
      = incarnation == options->incarnation
                || incarnation == options->released_incarnation
            ? planner->claimed_at
            : now;
  jb_log (options->driver, JB_LEVEL_INFO, "predecessor-ended", "member", name,
          "reason", reason, "ms_since_claim",
          jb_itoa ((now - planner->claimed_at) / JB_MS), NULL);
}

/* Return whether shares from the predecessor may still arrive.  */
static bool
may_receive_predecessor_shares (const struct jb_planner *planner, jb_time now)
{
  if (jb_ownership_generation (planner->ownership) <= 1)
    return false;
  if (planner->predecessor_ended_at != 0
      && now >= planner->predecessor_ended_at + PREDECESSOR_MESSAGE_DELAY)
    return false;
  return now < planner->claimed_at + PREDECESSOR_VALIDITY;
}

/* Count and log that the limits are divided for the first time since the
   claim.  */
static void
record_first_division (struct jb_planner *planner, jb_time now)
{
  if (planner->quotas_divided)
    return;
  planner->quotas_divided = true;
  jb_count_event (planner->options.driver, planner->predecessor_ended_at != 0
                                               ? JB_COUNT_QUOTA_WAITS_SHORT
                                               : JB_COUNT_QUOTA_WAITS_FULL);
  jb_log (planner->options.driver, JB_LEVEL_INFO, "quotas-divided",
          "ms_since_claim", jb_itoa ((now - planner->claimed_at) / JB_MS),
          "predecessor",
          planner->predecessor_ended_at != 0 ? "ended" : "unknown", NULL);
}

/* Return whether the owner of every pool has reported the pool's usage.  */
static bool
all_pools_reported (const struct jb_planner *planner)
{
  const struct jb_catalog *catalog = *planner->options.catalog;

  for (uint32_t i = 0; i < catalog->pool_count; i++)
    {
      const struct pool_quota *quota
          = g_hash_table_lookup (planner->quotas, catalog->pools[i].name);

      if (quota == NULL || quota->fence == 0)
        return false;
    }
  return true;
}

static bool
differs_notably (int64_t a, int64_t b, int64_t limit)
{
  /* Multiplying the shares instead would overflow for JB_QUOTA_UNLIMITED.  */
  int64_t min_change = (limit + MIN_CHANGE_DIVISOR - 1) / MIN_CHANGE_DIVISOR;

  return a != b && (a > b ? a - b : b - a) >= min_change;
}

/* Return whether the new share of POOL is to replace the share that was
   assigned last: the two differ, and tasks wait for CPU or memory, the new one
   is smaller in a dimension, or its CPU or memory has grown notably.  */
static bool
is_worth_sending (const struct jb_quota_pool *pool,
                  const struct org_quota *org_quota,
                  const struct jb_resources *limit)
{
  const struct jb_resources *previous_share = &org_quota->assigned_share;
  bool has_waiting_tasks
      = pool->wanted.cpu_milli > 0 || pool->wanted.memory_mb > 0;

  if (memcmp (&pool->share, previous_share, sizeof *previous_share) == 0)
    return false;
  return has_waiting_tasks || !jb_resources_fit (previous_share, &pool->share)
         || differs_notably (pool->share.cpu_milli, previous_share->cpu_milli,
                             MAX (limit->cpu_milli, 1))
         || differs_notably (pool->share.memory_mb, previous_share->memory_mb,
                             MAX (limit->memory_mb, 1));
}

/* Divide the limit of ORG among the pools.  */
static void
divide_limit (struct jb_planner *planner, const struct jb_org *org,
              jb_time now)
{
  guint count = g_hash_table_size (planner->quotas);
  struct jb_quota_pool *pools = g_new0 (struct jb_quota_pool, count + 1);
  struct pool_quota **quotas = g_new0 (struct pool_quota *, count + 1);
  GHashTableIter iter;
  gpointer value;
  guint n = 0;

  g_hash_table_iter_init (&iter, planner->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct org_quota *org_quota = get_or_add_org_quota (value, org->name);

      quotas[n] = value;
      pools[n].used = org_quota->used;
      pools[n].wanted = org_quota->wanted;
      pools[n].current_share = org_quota->reported_share;
      pools[n].highest_share = org_quota->highest_share;
      pools[n].needed = org_quota->needed;
      pools[n].blocked_since = org_quota->blocked_since;
      n++;
    }
  jb_quota_divide (&org->limit, pools, n, now);
  for (guint i = 0; i < n; i++)
    {
      struct org_quota *org_quota
          = get_or_add_org_quota (quotas[i], org->name);

      if (!is_worth_sending (&pools[i], org_quota, &org->limit))
        continue;
      org_quota->assigned_share = pools[i].share;
      org_quota->is_unsent = true;
      raise_to_maximum (&org_quota->highest_share, &org_quota->assigned_share);
      raise_to_maximum (&org_quota->use_bound, &org_quota->assigned_share);
      quotas[i]->shares_changed = true;
    }
  g_free (pools);
  g_free (quotas);
}

static void
send_shares (struct jb_planner *planner, jb_time now, struct pool_quota *quota)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct jb_msg_shares shares = { .pool = quota->name, .fence = quota->fence };
  GHashTableIter iter;
  gpointer value;

  if (quota->shares_changed)
    quota->serial = ++planner->last_serial;
  quota->shares_changed = false;
  quota->sent_at = now;
  shares.planner_fence = jb_planner_fence (planner);
  shares.serial = quota->serial;
  shares.shares = talloc_zero_array (scratch, struct jb_msg_org_share,
                                     g_hash_table_size (quota->orgs) + 1);
  g_hash_table_iter_init (&iter, quota->orgs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct org_quota *org_quota = value;
      struct unacked_share unacked
          = { quota->serial, org_quota->assigned_share };

      shares.shares[shares.count++]
          = (struct jb_msg_org_share){ org_quota->org,
                                       org_quota->assigned_share };
      if (org_quota->is_unsent)
        g_array_append_val (org_quota->unacked_shares, unacked);
      org_quota->is_unsent = false;
    }
  planner->options.send_shares (planner->options.data, now, &shares);
  talloc_free (scratch);
}

void
jb_planner_run_quotas (struct jb_planner *planner, jb_time now)
{
  const struct jb_catalog *catalog = *planner->options.catalog;
  GHashTableIter iter;
  gpointer value;

  jb_planner_check_predecessor (planner, now);
  if (catalog == NULL || !all_pools_reported (planner)
      || may_receive_predecessor_shares (planner, now))
    return;
  record_first_division (planner, now);
  for (uint32_t i = 0; planner->usage_changed && i < catalog->org_count; i++)
    {
      const struct jb_resources *limit = &catalog->orgs[i].limit;

      if (limit->cpu_milli > 0 || limit->memory_mb > 0
          || limit->accelerators > 0)
        divide_limit (planner, &catalog->orgs[i], now);
    }
  planner->usage_changed = false;
  g_hash_table_iter_init (&iter, planner->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool_quota *quota = value;

      if (quota->shares_changed
          || (quota->serial > quota->acked_serial
              && now - quota->sent_at > RESEND_INTERVAL))
        send_shares (planner, now, quota);
    }
}

void
jb_planner_handle_usage (struct jb_planner *planner, jb_time now,
                         const struct jb_msg_usage *usage)
{
  struct pool_quota *quota = get_or_add_pool_quota (planner, usage->pool);
  GHashTableIter iter;
  gpointer value;

  if (usage->fence < quota->fence)
    return;
  if (usage->fence > quota->fence)
    {
      /* The pool has a new owner.  No shares are in force there yet, and its
         report includes everything that the previous owner may have left
         running: all tasks of the jobs that it has loaded.  The previous owner
         can't have used more than its share, and a share for the rest would be
         free for new starts as soon as the runs are known.  */
      quota->fence = usage->fence;
      quota->serial = 0;
      quota->acked_serial = 0;
      g_hash_table_iter_init (&iter, quota->orgs);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct org_quota *org_quota = value;

          org_quota->use_is_bounded = org_quota->last_report == quota->reports;
          raise_to_maximum (&org_quota->use_bound, &org_quota->highest_share);
          org_quota->assigned_share = (struct jb_resources){ 0 };
          org_quota->is_unsent = false;
          org_quota->needed = (struct jb_resources){ 0 };
          g_array_set_size (org_quota->unacked_shares, 0);
        }
    }
  /* The serial numbers of another planner are not comparable.  */
  quota->acked_serial
      = usage->planner_fence == jb_planner_fence (planner) ? usage->serial : 0;
  quota->reports++;
  for (uint32_t i = 0; i < usage->count; i++)
    {
      const struct jb_msg_org_usage *report = &usage->org_usages[i];
      struct org_quota *org_quota = get_or_add_org_quota (quota, report->org);

      if (!jb_resources_fit (&report->used, &org_quota->used))
        org_quota->blocked_since = now; /* it has started something */
      org_quota->used = report->used;
      /* Without a report it may have had no quota, and used anything.  */
      if (org_quota->last_report != quota->reports - 1)
        org_quota->use_is_bounded = false;
      org_quota->last_report = quota->reports;
      if (org_quota->use_is_bounded)
        lower_to_minimum (&org_quota->used, &org_quota->use_bound);
      org_quota->wanted = report->wanted;
      org_quota->reported_share = report->share;
    }
  g_hash_table_iter_init (&iter, quota->orgs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_highest_share (value, quota->acked_serial);
  planner->usage_changed = true;
}

/* Return what ORG needs for its next start according to NEEDS.  */
static struct jb_resources
find_need (const struct jb_msg_needs *needs, const char *org)
{
  for (uint32_t i = 0; i < needs->count; i++)
    if (strcmp (needs->needs[i].org, org) == 0)
      return needs->needs[i].needed;
  return (struct jb_resources){ 0 };
}

void
jb_planner_handle_needs (struct jb_planner *planner, jb_time now,
                         const struct jb_msg_needs *needs)
{
  static const struct jb_resources nothing;
  struct pool_quota *quota
      = g_hash_table_lookup (planner->quotas, needs->pool);
  GHashTableIter iter;
  gpointer value;

  if (quota == NULL || needs->fence != quota->fence)
    return;
  g_hash_table_iter_init (&iter, quota->orgs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct org_quota *org_quota = value;
      bool was_blocked = !jb_resources_fit (&org_quota->needed, &nothing);

      org_quota->needed = find_need (needs, org_quota->org);
      if (!was_blocked)
        org_quota->blocked_since = now;
    }
  planner->usage_changed = true;
}
