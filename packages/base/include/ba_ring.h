#ifndef BA_RING_H
#define BA_RING_H

/* A bounded FIFO queue of pointers with many producer threads and one consumer
   thread.  It has a file descriptor that becomes readable when there are
   items.  */

#include <stdbool.h>
#include <talloc.h>

struct ba_ring;

/* Return a new ring owned by MEM.  It holds CAPACITY - 1 items; CAPACITY must
   be a power of two.  */
struct ba_ring *ba_ring_new (TALLOC_CTX *mem, unsigned capacity);

/* Return a new ring as ba_ring_new does, whose consumer is also that of OTHER:
   it uses the file descriptor of OTHER, which must outlive it.  */
struct ba_ring *ba_ring_new_beside (TALLOC_CTX *mem, unsigned capacity,
                                    const struct ba_ring *other);

/* Append ITEM and wake the consumer, which takes over ownership of the item.
   Return false when the ring is full; ITEM then remains the caller's.  May be
   called from any thread.  */
bool ba_ring_push (struct ba_ring *ring, void *item);

/* Remove and return the oldest item, or return NULL if there is none.  Called
   only by the consumer.  */
void *ba_ring_pop (struct ba_ring *ring);

/* Return the number of items.  When the consumer calls it, at least that many
   can be popped; for other threads it is an estimate.  */
unsigned ba_ring_count (const struct ba_ring *ring);

/* Return the file descriptor that the consumer polls for input.  It is owned
   by the ring, or by the one beside which it was made.  */
int ba_ring_fd (const struct ba_ring *ring);

/* Make the file descriptor unreadable until the next push or wake.  Called
   only by the consumer, before it pops all items: if it popped them first, an
   item pushed in between would not wake it.  */
void ba_ring_reset_fd (struct ba_ring *ring);

/* Wake the consumer without an item.  May be called from any thread.  */
void ba_ring_wake (struct ba_ring *ring);

#endif
