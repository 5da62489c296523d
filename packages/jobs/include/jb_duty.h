#ifndef JB_DUTY_H
#define JB_DUTY_H

/* A duty that one entry host at a time carries out, and the rows that go with
   it.

   Its owner row, in the same part as its other rows, names the holder.  The
   row is rewritten by each of the holder's transactions and each names the
   version before, so a former holder's write fails, and so does a write of
   the holder's own that is carried out late.  The version of the claim is the
   fence of all orders that the holder gives.

   A transaction without an answer is sent again as it was: when it finds the
   row already changed by itself, it had been done.  */

#include "jb_out.h"

struct jb_duty;

enum jb_duty_phase
{
  JB_DUTY_FREE,     /* not held */
  JB_DUTY_CLAIMING, /* being claimed */
  JB_DUTY_HELD
};

struct jb_duty_options
{
  struct jb_out *out;
  const char *part;
  const char *holder; /* this host's name */
  uint64_t incarnation;
  /* The claim succeeded, or failed.  */
  void (*claimed) (void *data, jb_time now, bool held);
  /* Another holder was found; nothing more is written.  */
  void (*deposed) (void *data, jb_time now);
  void *data;
};

/* Return a new duty, free, owned by MEM.  */
struct jb_duty *jb_duty_new (TALLOC_CTX *mem,
                             const struct jb_duty_options *options);

/* Start claiming.  */
void jb_duty_claim (struct jb_duty *duty, jb_time now);

enum jb_duty_phase jb_duty_phase (const struct jb_duty *duty);

/* Return the fence of the holder's orders, and the number of claims so far. */
uint64_t jb_duty_fence (const struct jb_duty *duty);
uint32_t jb_duty_generation (const struct jb_duty *duty);

/* Called when a transaction is durable.  */
typedef void jb_duty_written (void *data, jb_time now);

/* Write SET and remove REMOVED rows, all of the duty's part, in order after
   what was written before.  At most JB_DUTY_MAX_ROWS together.  The rows are
   copied.  */
void jb_duty_write (struct jb_duty *duty, jb_time now,
                    const struct jb_row *set, uint32_t set_count,
                    const struct jb_row *removed, uint32_t removed_count,
                    jb_duty_written *written, void *data);

/* Return whether a transaction has not been answered yet.  */
bool jb_duty_writing (const struct jb_duty *duty);

/* Return since when transactions have failed, or 0 when the last one did
   not.  */
jb_time jb_duty_failing_since (const struct jb_duty *duty);

/* Return the time when the store last confirmed this holder: the sending time
   of the newest answered transaction.  */
jb_time jb_duty_confirmed (const struct jb_duty *duty);

/* Ask the store whether this host is still the holder.  */
void jb_duty_verify (struct jb_duty *duty, jb_time now);

/* Do what is due, and return when to be called next.  */
jb_time jb_duty_run (struct jb_duty *duty, jb_time now);

enum
{
  JB_DUTY_MAX_ROWS = 90
};

#define JB_DUTY_TABLE "duty"
#define JB_DUTY_KEY "owner"

#endif
