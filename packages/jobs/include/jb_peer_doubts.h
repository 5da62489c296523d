#ifndef JB_PEER_DOUBTS_H
#define JB_PEER_DOUBTS_H

/* Starts in doubt (jb_doubt.h) that the owners of pools could not store, as
   their messages have listed them.  Every host keeps them, those of its own
   pools too, because it may claim the pool next.  They are a hint: messages
   may be lost, and nothing waits for them.

   An entry is kept until its start can't have an effect any more.

   Changes of entries are numbered, so that a host which has got all up to a
   number can be told of the later ones only.

   Expected load: none while the store answers.  While it does not, a message
   of each owner every 40 ms, with a few entries; and on a host that has just
   started, all entries from each coordinator, thousands of them.  */

#include "jb_msg.h"

/* Largest number of entries that a table keeps.  Further ones are ignored.  */
#define JB_PEER_DOUBTS_MAX 20000

struct jb_peer_doubt
{
  char *pool;
  struct jb_doubt_entry entry;
  uint32_t generation; /* of the owner that has sent the start */
  jb_time sent_at;     /* upper bound of the time of the last start */
};

struct jb_peer_doubts;

/* Return a new table, owned by MEM.  */
struct jb_peer_doubts *jb_peer_doubts_new (TALLOC_CTX *mem);

/* Return the number of entries.  */
uint32_t jb_peer_doubts_count (const struct jb_peer_doubts *table);

/* Add copies of the entries of MESSAGE, received at NOW.  An entry replaces
   the one of the same task, unless that is of a later generation or of a later
   start.  One of the same content, and not much later, is not a change. Return
   how many were ignored because the table is full.  */
uint32_t jb_peer_doubts_add (struct jb_peer_doubts *table, jb_time now,
                             const struct jb_msg_doubts *message);

/* Remove the entries of starts that can't have an effect any more, if the
   longest lease is MAX_LEASE_MS.  To be called regularly.  */
void jb_peer_doubts_expire (struct jb_peer_doubts *table, jb_time now,
                            int64_t max_lease_ms);

/* Return the number of the last change, or 0 if there was none.  */
uint64_t jb_peer_doubts_last_change (const struct jb_peer_doubts *table);

/* Store in DOUBTS up to LIMIT entries, borrowed until the table changes, whose
   last changes came after the change AFTER, the oldest change first.  Return
   their number, and set AFTER to the last one's change.  */
uint32_t jb_peer_doubts_list_changes (const struct jb_peer_doubts *table,
                                      uint64_t *after,
                                      const struct jb_peer_doubt **doubts,
                                      uint32_t limit);

/* Call VISIT with DATA for each entry of POOL from a generation below
   GENERATION.  */
void jb_peer_doubts_visit (
    const struct jb_peer_doubts *table, const char *pool, uint32_t generation,
    void (*visit) (void *data, const struct jb_peer_doubt *doubt), void *data);

#endif
