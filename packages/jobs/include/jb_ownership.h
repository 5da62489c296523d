#ifndef JB_OWNERSHIP_H
#define JB_OWNERSHIP_H

/* Exclusive ownership of a partition of the store, and transactions on the
   partition's rows.  A partition stands for a responsibility that one entry
   host has at a time: managing a pool, or planning.  Log lines and metrics
   call it a duty.

   The partition's owner row names its owner.  Each transaction of the owner
   rewrites this row, on condition that it still has the version that the
   owner's previous transaction gave it.  So the writes of a previous owner
   fail, and so does a delayed duplicate of one of the owner's own writes.  The
   version that the claim gave the row is the fencing token of all commands
   that the owner sends; it is called the fence.

   A transaction that was not answered is sent again unchanged.  If it then
   fails and the row holds its sequence number, an earlier attempt was
   executed.  */

#include "jb_driver.h"

struct jb_ownership;

enum jb_ownership_state
{
  JB_OWNERSHIP_NONE, /* never claimed, the claim failed, or lost */
  JB_OWNERSHIP_CLAIMING,
  JB_OWNERSHIP_HELD
};

struct jb_ownership_options
{
  struct jb_driver *driver; /* borrowed */
  const char *partition;
  const char *owner;    /* this host's name */
  uint64_t incarnation; /* of this host's process */
  /* Called once at the end of each claim; HELD tells whether it succeeded.  */
  void (*on_claimed) (void *data, jb_time now, bool held);
  /* Called when the owner row is found not to be this claim's any more, as a
     rule because another host has claimed the partition.  Nothing is written
     after that.  */
  void (*on_lost) (void *data, jb_time now);
  void *data;
};

/* Return a new ownership in state JB_OWNERSHIP_NONE, owned by MEM.  The
   strings of OPTIONS are copied.  */
struct jb_ownership *
jb_ownership_new (TALLOC_CTX *mem, const struct jb_ownership_options *options);

/* Start claiming the partition: read its owner row and write this host into
   it.  The state must be JB_OWNERSHIP_NONE.  */
void jb_ownership_claim (struct jb_ownership *ownership, jb_time now);

enum jb_ownership_state
jb_ownership_state (const struct jb_ownership *ownership);

/* Return the fencing token of this owner's commands.  It is valid in state
   JB_OWNERSHIP_HELD.  */
uint64_t jb_ownership_fence (const struct jb_ownership *ownership);

/* Return the version of the owner row that this owner wrote last, as far as
   known: not below its fencing token, and below that of any later owner.  */
uint64_t jb_ownership_version (const struct jb_ownership *ownership);

/* Return how often the partition has been claimed, by any host, including the
   current claim.  */
uint32_t jb_ownership_generation (const struct jb_ownership *ownership);

/* Return the name of the host that owned the partition before the current
   claim, borrowed, or NULL if none did, and the incarnation of its process, or
   0.  They are those of the owner row that the claim has read, so they are
   those of this process if it has lost the partition and claimed it again.
   They are valid in state JB_OWNERSHIP_HELD.  */
const char *jb_ownership_previous_owner (const struct jb_ownership *ownership);
uint64_t
jb_ownership_previous_incarnation (const struct jb_ownership *ownership);

/* Called when a transaction is durable.  */
typedef void jb_ownership_commit_callback (void *data, jb_time now);

/* Queue a transaction that writes the SET rows and deletes the REMOVED rows,
   all of this partition, at most JB_OWNERSHIP_MAX_WRITE_ROWS together.
   Transactions are executed in the order of these calls.  The rows are copied.
   COMMITTED, which may be NULL, is called with DATA when the transaction is
   durable, which may never happen if the ownership is lost.  Unless the state
   is JB_OWNERSHIP_HELD, the transaction is dropped: the replies to several
   commands may be processed between the loss and the end of the owner.  */
void jb_ownership_write (struct jb_ownership *ownership, jb_time now,
                         const struct jb_row *set, uint32_t set_count,
                         const struct jb_row *removed, uint32_t removed_count,
                         jb_ownership_commit_callback *committed, void *data);

/* As jb_ownership_write.  If the store refuses the transaction as invalid
   several times, it is dropped, and REFUSED called with DATA: otherwise all
   later ones would wait for it.  */
void jb_ownership_write_unless_invalid (
    struct jb_ownership *ownership, jb_time now, const struct jb_row *set,
    uint32_t set_count, const struct jb_row *removed, uint32_t removed_count,
    jb_ownership_commit_callback *committed,
    jb_ownership_commit_callback *refused, void *data);

/* Return whether a queued transaction is not yet known to be durable.  */
bool jb_ownership_has_pending_writes (const struct jb_ownership *ownership);

/* Return the sending time of the first attempt that has failed since the last
   successful transaction, or 0 if none has.  */
jb_time jb_ownership_failing_since (const struct jb_ownership *ownership);

/* Return when the store last confirmed this owner: the time at which the
   newest answered transaction or verification was sent, or the last command of
   the claim.  */
jb_time jb_ownership_confirmed_at (const struct jb_ownership *ownership);

/* Ask the store whether this host is still the owner, unless a question or a
   transaction is in flight already.  */
void jb_ownership_verify (struct jb_ownership *ownership, jb_time now);

/* Send a transaction again if that is due: after a failure, or if it is in
   flight since before the store answered again.  Return the time of the next
   call, or JB_NEVER.  */
jb_time jb_ownership_run (struct jb_ownership *ownership, jb_time now);

enum
{
  JB_OWNERSHIP_MAX_WRITE_ROWS = 90 /* rows per transaction */
};

/* Table and key of the owner row.  */
#define JB_OWNERSHIP_TABLE "duty"
#define JB_OWNERSHIP_KEY "owner"

#endif
