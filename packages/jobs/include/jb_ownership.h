#ifndef JB_OWNERSHIP_H
#define JB_OWNERSHIP_H

/* A duty that one entry host at a time carries out, and the rows that go with
   it.

   Its owner row, in the same part as its other rows, names the holder.  The
   row is rewritten by each of the holder's transactions and each names the
   version before, so a former holder's write fails, and so does a write of
   the holder's own that is carried out late.  The version of the claim is the
   fence of all orders that the holder gives.

   A transaction without an answer is sent again as it was: when it finds the
   row already changed by itself, it had been done.  */

#include "jb_driver.h"

struct jb_ownership;

enum jb_ownership_state
{
  JB_OWNERSHIP_NONE,     /* not held */
  JB_OWNERSHIP_CLAIMING, /* being claimed */
  JB_OWNERSHIP_HELD
};

struct jb_ownership_options
{
  struct jb_driver *driver;
  const char *partition;
  const char *owner; /* this host's name */
  uint64_t incarnation;
  /* The claim succeeded, or failed.  */
  void (*on_claimed) (void *data, jb_time now, bool held);
  /* Another holder was found; nothing more is written.  */
  void (*on_lost) (void *data, jb_time now);
  void *data;
};

/* Return a new duty, free, owned by MEM.  */
struct jb_ownership *
jb_ownership_new (TALLOC_CTX *mem, const struct jb_ownership_options *options);

/* Start claiming.  */
void jb_ownership_claim (struct jb_ownership *duty, jb_time now);

enum jb_ownership_state jb_ownership_state (const struct jb_ownership *duty);

/* Return the fence of the holder's orders, and the number of claims so far. */
uint64_t jb_ownership_fence (const struct jb_ownership *duty);
uint32_t jb_ownership_generation (const struct jb_ownership *duty);

/* Called when a transaction is durable.  */
typedef void jb_ownership_committed (void *data, jb_time now);

/* Write SET and remove REMOVED rows, all of the duty's part, in order after
   what was written before.  At most JB_OWNERSHIP_MAX_WRITE_ROWS together.  The
   rows are copied.  */
void jb_ownership_write (struct jb_ownership *duty, jb_time now,
                         const struct jb_row *set, uint32_t set_count,
                         const struct jb_row *removed, uint32_t removed_count,
                         jb_ownership_committed *written, void *data);

/* Return whether a transaction has not been answered yet.  */
bool jb_ownership_has_pending_writes (const struct jb_ownership *duty);

/* Return since when transactions have failed, or 0 when the last one did
   not.  */
jb_time jb_ownership_failing_since (const struct jb_ownership *duty);

/* Return the time when the store last confirmed this holder: the sending time
   of the newest answered transaction.  */
jb_time jb_ownership_confirmed_at (const struct jb_ownership *duty);

/* Ask the store whether this host is still the holder.  */
void jb_ownership_verify (struct jb_ownership *duty, jb_time now);

/* Do what is due, and return when to be called next.  */
jb_time jb_ownership_run (struct jb_ownership *duty, jb_time now);

enum
{
  JB_OWNERSHIP_MAX_WRITE_ROWS = 90
};

#define JB_OWNERSHIP_TABLE "duty"
#define JB_OWNERSHIP_KEY "owner"

#endif
