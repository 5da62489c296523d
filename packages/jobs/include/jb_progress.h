#ifndef JB_PROGRESS_H
#define JB_PROGRESS_H

/* The rows that hold the progress of a job in the store.

   As a rule, that is one row.  The progress of a job with thousands of tasks
   is too large for a row.  It is then divided into one row for the
   occurrences, with the key of the only row, and one for each segment of
   tasks, of which only those that have changed are written.  A job whose
   progress was divided once stays divided.

   A job may have more rows than a transaction, and its owner may end before it
   has written all of them.  What a segment's row tells of an open occurrence
   only grows, so they may be written one after the other.  The row of the
   occurrences precedes them, since they tell nothing of dropped occurrences;
   the first time it follows them, since it replaces the only row.  Rows that
   aren't needed any more are removed last.

   Owners of previous versions write and read the only row.  They take a
   divided job for one without progress.  */

#include "jb_job.h"

/* A row of a job.  */
struct jb_progress_row
{
  char *key_suffix; /* follows the job's ID */
  struct ba_bytes value;
};

/* The rows that the next transaction writes.  */
struct jb_progress_rows
{
  uint32_t max_count;
  size_t max_bytes; /* no row is added to more than this */
  size_t max_row_bytes;
  uint32_t count;
  size_t bytes;
  uint32_t reduced_count;       /* number of them without long checkpoints */
  struct jb_progress_row *rows; /* max_count of them */
  /* With room for them, the suffixes of the keys of rows to be removed in this
     transaction or later.  They are owned by the array.  */
  GPtrArray *obsolete;
};

/* Return the largest value of a row that is written within BOUNDS.  The store
   takes values as text that is a third longer, and the limit may be meant for
   that.  */
size_t jb_progress_row_limit (const struct jb_bounds *bounds);

/* Add to ROWS those of JOB's progress that aren't stored yet.  Return false if
   there are more of them; what was added counts as stored.  Memory is owned by
   MEM.  */
bool jb_progress_collect (TALLOC_CTX *mem, struct jb_job *job,
                          struct jb_progress_rows *rows);

/* The rows that were collected last may not be stored: write all again.  */
void jb_progress_forget (struct jb_job *job);

/* JOB has ended: add the suffixes of the keys of its segments' rows to
   OBSOLETE.  */
void jb_progress_remove (struct jb_job *job, GPtrArray *obsolete);

/* Return whether KEY_SUFFIX is that of a segment's row.  */
bool jb_progress_is_segment (const char *key_suffix);

/* Apply the row of a segment with KEY_SUFFIX, which has VALUE, to JOB.  Return
   false when it is invalid.  */
bool jb_progress_load_segment (struct jb_job *job, const char *key_suffix,
                               struct ba_bytes value);

/* Free what is known of JOB's rows.  */
void jb_progress_free (struct jb_job *job);

#endif
