/* Quotas of organisations: the resources of this pool that they use, and the
   pool's shares of the quotas, which the planner assigns.  */

#include "jb_pool_internal.h"

/* Time between two reports to the planner: while a task waits for a larger
   share, while organisations with quotas use the pool, and otherwise.  */
#define REPORT_DELAY_BLOCKED (10 * JB_MS)
#define REPORT_DELAY_LIMITED (100 * JB_MS)
#define REPORT_DELAY_UNLIMITED (500 * JB_MS)

/* Orphaned runs count as ended when no probe has listed any for this time.  */
#define ORPHAN_QUIET_PERIOD (600 * JB_MS)

/* Return whether the active runs on all backend servers that answer are known,
   and orphaned runs have ended.  Runs on backend servers that don't answer are
   covered by the usage, which counts each task of a loaded job that is not
   done.  */
static bool
active_runs_are_known (const struct jb_pool *pool, jb_time now)
{
  if (pool->orphan_seen_at != 0
      && now - pool->orphan_seen_at < ORPHAN_QUIET_PERIOD)
    return false;
  return jb_pool_answering_are_probed (pool);
}

void
jb_pool_forget_copies (struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct jb_pool_org_usage *)value)->copies = (struct jb_resources){ 0 };
}

bool
jb_pool_org_has_quota (const struct jb_pool *pool, const char *org)
{
  const struct jb_catalog *catalog = *pool->options.catalog;
  const struct jb_org *settings;

  if (org == NULL || catalog == NULL)
    return false;
  settings = jb_catalog_find_org (catalog, org);
  return settings != NULL
         && (settings->limit.cpu_milli > 0 || settings->limit.memory_mb > 0
             || settings->limit.accelerators > 0);
}

struct jb_pool_org_usage *
jb_pool_get_org_usage (struct jb_pool *pool, const char *org)
{
  struct jb_pool_org_usage *org_usage
      = g_hash_table_lookup (pool->org_usages, org);

  if (org_usage == NULL)
    {
      org_usage = talloc_zero (pool, struct jb_pool_org_usage);
      org_usage->org = talloc_strdup (org_usage, org);
      g_hash_table_insert (pool->org_usages, org_usage->org, org_usage);
    }
  return org_usage;
}

struct jb_pool_org_usage *
jb_pool_get_job_usage (struct jb_pool *pool, struct jb_job *job)
{
  if (job->org_usage == NULL)
    job->org_usage = jb_pool_get_org_usage (pool, job->desc->org);
  return job->org_usage;
}

uint32_t
jb_pool_org_weight (const struct jb_pool *pool,
                    const struct jb_pool_org_usage *org_usage)
{
  const struct jb_catalog *catalog = *pool->options.catalog;
  const struct jb_org *org
      = catalog != NULL ? jb_catalog_find_org (catalog, org_usage->org) : NULL;

  return org != NULL ? MAX (org->weight, 1) : 1;
}

/* Return whether the organisation of ORG_USAGE has a quota.  The catalog is
   searched once for each version of it.  */
static bool
has_quota (const struct jb_pool *pool, struct jb_pool_org_usage *org_usage)
{
  const struct jb_catalog *catalog = *pool->options.catalog;

  if (catalog == NULL)
    return false;
  if (org_usage->quota_version == 0
      || org_usage->quota_version != catalog->version)
    {
      org_usage->has_quota = jb_pool_org_has_quota (pool, org_usage->org);
      org_usage->quota_version = catalog->version;
    }
  return org_usage->has_quota;
}

/* Return whether JOB's organisation stays within the pool's share of its quota
   if it uses RESOURCES in addition.  What tasks with starts in doubt use is
   left out if WITHOUT_DOUBT.  */
static bool
check_share (struct jb_pool *pool, struct jb_job *job,
             const struct jb_resources *resources, bool without_doubt)
{
  struct jb_pool_org_usage *org_usage;
  struct jb_resources sum;

  if (jb_pool_has_disabled (pool, JB_SAFEGUARD_QUOTA_SHARES)
      || job->desc->org == NULL)
    return true;
  org_usage = jb_pool_get_job_usage (pool, job);
  if (!has_quota (pool, org_usage))
    return true;
  sum = org_usage->used;
  if (without_doubt)
    jb_resources_subtract (&sum, &org_usage->in_doubt);
  jb_resources_add (&sum, resources);
  if (jb_resources_fit (&sum, &org_usage->share))
    return true;
  pool->quota_blocked = true;
  return false;
}

bool
jb_pool_check_share (struct jb_pool *pool, struct jb_job *job,
                     const struct jb_resources *resources)
{
  return check_share (pool, job, resources, false);
}

bool
jb_pool_check_share_in_doubt (struct jb_pool *pool, struct jb_job *job,
                              const struct jb_resources *resources)
{
  return check_share (pool, job, resources, true);
}

/* Return whether RESOURCES contain anything.  */
static bool
is_any (const struct jb_resources *resources)
{
  static const struct jb_resources nothing;

  return !jb_resources_fit (resources, &nothing);
}

void
jb_pool_note_need (struct jb_pool *pool, struct jb_job *job,
                   const struct jb_resources *resources)
{
  struct jb_pool_org_usage *org_usage = jb_pool_get_job_usage (pool, job);

  if (!is_any (&org_usage->needed))
    org_usage->needed = *resources;
}

void
jb_pool_forget_needs (struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct jb_pool_org_usage *)value)->needed = (struct jb_resources){ 0 };
}

bool
jb_pool_covers_demand (struct jb_pool *pool, struct jb_job *job)
{
  struct jb_pool_org_usage *org_usage = jb_pool_get_job_usage (pool, job);
  struct jb_resources sum = org_usage->used;

  jb_resources_add (&sum, &org_usage->wanted);
  return jb_pool_has_disabled (pool, JB_SAFEGUARD_QUOTA_SHARES)
         || !has_quota (pool, org_usage)
         || jb_resources_fit (&sum, &org_usage->share);
}

void
jb_pool_handle_shares (struct jb_pool *pool, jb_time now,
                       const struct jb_msg_shares *shares)
{
  if (shares->fence != jb_pool_fence (pool)
      || shares->planner_fence < pool->reported_planner_fence
      || (shares->planner_fence == pool->shares_planner_fence
          && shares->serial <= pool->shares_serial))
    return;
  pool->shares_planner_fence = shares->planner_fence;
  pool->shares_serial = shares->serial;
  for (uint32_t i = 0; i < shares->count; i++)
    {
      const struct jb_msg_org_share *org_share = &shares->shares[i];
      struct jb_pool_org_usage *org_usage;

      org_usage = jb_pool_get_org_usage (pool, org_share->org);
      org_usage->share = org_share->share;
      org_usage->is_reported = true;
      jb_log (pool->options.driver, JB_LEVEL_DEBUG, "quota-share-received",
              "pool", pool->options.name, "organisation", org_share->org,
              "cpu", jb_itoa (org_share->share.cpu_milli), "planner",
              jb_itoa ((int64_t)shares->planner_fence), "serial",
              jb_itoa ((int64_t)shares->serial), NULL);
    }
  pool->schedule_due = true;
  pool->next_usage_report = MIN (pool->next_usage_report, now);
}

jb_time
jb_pool_usage_report_due_at (const struct jb_pool *pool)
{
  if (pool->quota_blocked)
    return MIN (pool->next_usage_report,
                pool->usage_reported_at + REPORT_DELAY_BLOCKED);
  return pool->next_usage_report;
}

bool
jb_pool_report_usage (struct jb_pool *pool, TALLOC_CTX *mem, jb_time now,
                      uint64_t planner_fence, struct jb_msg_usage *usage)
{
  GHashTableIter iter;
  gpointer value;

  if (pool->stage < JB_STAGE_SCANNING)
    return false;
  /* The planner reserves the share of the previous owner until the first
     report.  The runs that the previous owner left are part of that share, so
     nothing is reported before they are known or have ended.  */
  if (pool->usage_reported_at == 0 && !active_runs_are_known (pool, now))
    return false;
  if (now < jb_pool_usage_report_due_at (pool))
    return false;
  pool->usage_reported_at = now;
  pool->reported_planner_fence
      = MAX (pool->reported_planner_fence, planner_fence);
  pool->quota_blocked = false;
  jb_pool_update_usage (pool);
  *usage = (struct jb_msg_usage){ .pool = (char *)pool->options.name,
                                  .fence = jb_pool_fence (pool),
                                  .planner_fence = pool->shares_planner_fence,
                                  .serial = pool->shares_serial };
  usage->org_usages = talloc_zero_array (
      mem, struct jb_msg_org_usage, g_hash_table_size (pool->org_usages) + 1);
  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_pool_org_usage *org_usage = value;

      if (org_usage->is_reported
          && jb_pool_org_has_quota (pool, org_usage->org))
        usage->org_usages[usage->count++]
            = (struct jb_msg_org_usage){ org_usage->org, org_usage->used,
                                         org_usage->wanted, org_usage->share };
    }
  pool->next_usage_report
      = now
        + (usage->count > 0 ? REPORT_DELAY_LIMITED : REPORT_DELAY_UNLIMITED);
  return true;
}

bool
jb_pool_report_needs (struct jb_pool *pool, TALLOC_CTX *mem,
                      struct jb_msg_needs *needs)
{
  bool had_any = pool->needs_reported;
  GHashTableIter iter;
  gpointer value;

  *needs = (struct jb_msg_needs){
    .pool = (char *)pool->options.name,
    .fence = jb_pool_fence (pool),
    .needs = talloc_zero_array (mem, struct jb_msg_org_need,
                                g_hash_table_size (pool->org_usages) + 1)
  };
  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_pool_org_usage *org_usage = value;

      if (is_any (&org_usage->needed))
        needs->needs[needs->count++]
            = (struct jb_msg_org_need){ org_usage->org, org_usage->needed };
    }
  pool->needs_reported = needs->count > 0;
  return had_any || needs->count > 0;
}
