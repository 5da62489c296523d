#ifndef JB_VIEW_H
#define JB_VIEW_H

/* The state of a host as shown to operators: lines of names and values.  */

#include "jb_host.h"
#include "jb_planner.h"
#include "jb_pool.h"

struct jb_view_line
{
  const char *kind; /* "duty", "pool", "job", "step", "reason" or "wave" */
  struct jb_log_field *fields;
  uint32_t count;
};

struct jb_view
{
  TALLOC_CTX *mem; /* owner of everything below */
  struct jb_view_line *lines;
  uint32_t count;
};

enum jb_view_topic
{
  JB_VIEW_OWNERS,  /* ownerships of this host */
  JB_VIEW_POOLS,   /* pools owned by this host, their capacity and load */
  JB_VIEW_JOBS,    /* jobs of these pools that have not ended */
  JB_VIEW_JOB,     /* one job and its steps */
  JB_VIEW_EXPLAIN, /* the same, and why its tasks wait */
  JB_VIEW_WAVES,   /* maintenance waves, on the planner's host */
  JB_VIEW_TOPIC_COUNT
};

/* Return the name of TOPIC as operators type it, static.  */
const char *jb_view_topic_name (enum jb_view_topic topic);

/* Add to VIEW a line of KIND, a static string, with pairs of names and values,
   ended by NULL.  Names must be static, values are copied.  A pair whose value
   is NULL is left out, and pairs after the 16th are dropped.  */
void jb_view_add (struct jb_view *view, const char *kind,
                  ...) G_GNUC_NULL_TERMINATED;

/* Add to VIEW what HOST knows about TOPIC.  ID is the ID of the job, or
   NULL.  */
void jb_host_view (const struct jb_host *host, jb_time now,
                   enum jb_view_topic topic, const char *id,
                   struct jb_view *view);

/* The same for a pool that is owned or being claimed, and for the planner.  */
void jb_pool_view (struct jb_pool *pool, jb_time now, enum jb_view_topic topic,
                   const char *id, struct jb_view *view);
void jb_planner_view (const struct jb_planner *planner, jb_time now,
                      struct jb_view *view);

#endif
