#ifndef BA_RING_H
#define BA_RING_H

/* A bounded queue of pointers from many threads to one, with a descriptor
   that becomes readable when something is there.  */

#include <stdbool.h>
#include <talloc.h>

struct ba_ring;

/* Return a new ring for CAPACITY - 1 pointers, owned by MEM.  CAPACITY is a
   power of two.  */
struct ba_ring *ba_ring_new (TALLOC_CTX *mem, unsigned capacity);

/* Append ITEM, whose ownership passes to the reader.  Return false, and leave
   it with the caller, when the ring is full.  Any thread.  */
bool ba_ring_push (struct ba_ring *ring, void *item);

/* Return the oldest item, or NULL when there is none.  Reader only.  */
void *ba_ring_pop (struct ba_ring *ring);

/* Return the descriptor to wait on for reading.  Owned by the ring.  */
int ba_ring_fd (const struct ba_ring *ring);

/* Reset the descriptor.  Call it before popping until NULL.  Reader only.  */
void ba_ring_reset_fd (struct ba_ring *ring);

/* Wake the reader without an item.  Any thread.  */
void ba_ring_wake (struct ba_ring *ring);

#endif
