/* Views of a host's ownerships and of the planner's maintenance waves; those
   of pools are in jb_pool_view.c.  */

#include "jb_view.h"

#include "jb_host_internal.h"
#include "jb_planner_internal.h"

#include <stdarg.h>

enum
{
  MAX_FIELDS = 16 /* per line */
};

const char *
jb_view_topic_name (enum jb_view_topic topic)
{
  static const char *const names[JB_VIEW_TOPIC_COUNT] = {
    "owners", "pools", "jobs", "job", "explain", "waves", "evacuations"
  };

  return names[topic];
}

void
jb_view_add (struct jb_view *view, const char *kind, ...)
{
  struct jb_view_line *line;
  const char *name;
  va_list args;

  view->lines = talloc_realloc (view->mem, view->lines, struct jb_view_line,
                                view->count + 1);
  line = &view->lines[view->count++];
  *line = (struct jb_view_line){ .kind = kind };
  line->fields = talloc_array (view->lines, struct jb_log_field, MAX_FIELDS);
  va_start (args, kind);
  while (line->count < MAX_FIELDS
         && (name = va_arg (args, const char *)) != NULL)
    {
      const char *value = va_arg (args, const char *);

      if (value == NULL)
        continue;
      line->fields[line->count].name = name;
      line->fields[line->count++].value = talloc_strdup (line->fields, value);
    }
  va_end (args);
}

static const char *
ownership_state_name (enum jb_ownership_state state)
{
  return state == JB_OWNERSHIP_HELD ? "held" : "claiming";
}

static void
view_ownerships (const struct jb_host *host, struct jb_view *view)
{
  for (guint i = 0; i < host->pools->len; i++)
    {
      const struct pool_slot *slot = g_ptr_array_index (host->pools, i);

      if (slot->pool != NULL)
        jb_view_add (
            view, "duty", "duty", jb_pool_partition (slot->pool), "state",
            ownership_state_name (jb_pool_ownership_state (slot->pool)),
            "fence", jb_itoa ((int64_t)jb_pool_fence (slot->pool)), NULL);
    }
  if (host->planner != NULL)
    jb_view_add (
        view, "duty", "duty", JB_PLANNER_PARTITION, "state",
        ownership_state_name (jb_ownership_state (host->planner->ownership)),
        "fence",
        jb_itoa ((int64_t)jb_ownership_fence (host->planner->ownership)),
        NULL);
}

void
jb_planner_view (const struct jb_planner *planner, jb_time now,
                 struct jb_view *view)
{
  for (guint i = 0; i < planner->waves->len; i++)
    {
      const struct wave *wave = g_ptr_array_index (planner->waves, i);

      jb_view_add (view, "wave", "wave", jb_itoa ((int64_t)wave->number),
                   "state",
                   wave->completed  ? "completed"
                   : wave->reported ? "running"
                                    : "found",
                   "done", jb_itoa (wave->maintained_hosts->len), "left",
                   jb_itoa (g_hash_table_size (wave->remaining_hosts)),
                   "at_once", jb_itoa (wave->max_hosts_at_once), "due_in_ms",
                   jb_itoa ((wave->due - now) / JB_MS), NULL);
    }
}

static void
view_evacuations (const struct jb_host *host, jb_time now,
                  struct jb_view *view)
{
  for (uint32_t i = 0; i < jb_zones_count (host->zones); i++)
    {
      const struct jb_zone *zone = jb_zones_at (host->zones, i);
      struct jb_pool_zone_runs runs
          = jb_host_count_zone_runs (host, zone->entry.zone);

      jb_view_add (view, "evacuation", "zone", zone->entry.zone, "state",
                   zone->entry.evacuated ? "evacuated" : "restored",
                   "since_ms", jb_itoa ((now - zone->since) / JB_MS),
                   "version", jb_itoa ((int64_t)zone->entry.version), "finite",
                   jb_itoa (runs.finite), "long_running",
                   jb_itoa (runs.long_running), NULL);
    }
}

void
jb_host_view (const struct jb_host *host, jb_time now,
              enum jb_view_topic topic, const char *id, struct jb_view *view)
{
  if (topic == JB_VIEW_OWNERS)
    view_ownerships (host, view);
  else if (topic == JB_VIEW_EVACUATIONS)
    view_evacuations (host, now, view);
  else if (topic == JB_VIEW_WAVES && host->planner != NULL)
    jb_planner_view (host->planner, now, view);
  else if (topic != JB_VIEW_WAVES)
    for (guint i = 0; i < host->pools->len; i++)
      {
        const struct pool_slot *slot = g_ptr_array_index (host->pools, i);

        if (slot->pool != NULL)
          jb_pool_view (slot->pool, now, topic, id, view);
      }
}
