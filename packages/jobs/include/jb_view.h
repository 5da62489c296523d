#ifndef JB_VIEW_H
#define JB_VIEW_H

/* The state of a host as it is shown to operators: lines of fields, each with
   a name and a value.  */

#include "jb_host.h"
#include "jb_planner.h"
#include "jb_pool.h"

struct jb_view_line
{
  const char *kind; /* "duty", "pool", "job", "step", "reason", "wave" or
                       "evacuation" */
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
  JB_VIEW_OWNERS,  /* partitions that this host owns or is claiming */
  JB_VIEW_POOLS,   /* pools that this host owns or is claiming */
  JB_VIEW_JOBS,    /* jobs of these pools, until they and their runs ended */
  JB_VIEW_JOB,     /* one job and its steps */
  JB_VIEW_EXPLAIN, /* JB_VIEW_JOB, and why the job's tasks wait */
  JB_VIEW_WAVES,   /* maintenance waves, if this host is the planner */
  JB_VIEW_EVACUATIONS, /* zones that are or were evacuated */
  JB_VIEW_TOPIC_COUNT
};

/* Return the name of TOPIC that operators type, a static string.  */
const char *jb_view_topic_name (enum jb_view_topic topic);

/* Add to VIEW a line of KIND, a static string, with fields given as pairs of a
   name and a value, ended by NULL.  Names must be static strings, values are
   copied.  A field whose value is NULL is left out, and fields after the 16th
   are dropped.  */
void jb_view_add (struct jb_view *view, const char *kind,
                  ...) G_GNUC_NULL_TERMINATED;

/* Add to VIEW the lines about TOPIC.  ID is the ID of the job for JB_VIEW_JOB
   and JB_VIEW_EXPLAIN, else NULL.  */
void jb_host_view (const struct jb_host *host, jb_time now,
                   enum jb_view_topic topic, const char *id,
                   struct jb_view *view);

/* Add to VIEW the lines about a pool that this host owns or is claiming, or
   about the planner's waves.  */
void jb_pool_view (struct jb_pool *pool, jb_time now, enum jb_view_topic topic,
                   const char *id, struct jb_view *view);
void jb_planner_view (const struct jb_planner *planner, jb_time now,
                      struct jb_view *view);

#endif
