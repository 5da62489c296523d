#ifndef HT_BODY_H
#define HT_BODY_H

/* The body of a request while it is received: blocks of a fixed size, so that
   a body that grows leaves nothing behind that it has outgrown, and takes
   little more than what has arrived of it.  */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

struct ht_body_block;

/* All members are private except LEN; all bytes 0: an empty body.  */
struct ht_body
{
  size_t len;                 /* bytes received */
  size_t capacity;            /* bytes allocated */
  struct ht_body_block *head; /* of a list */
  struct ht_body_block *tail;
};

/* Return the bytes that BODY occupies once LEN more bytes, of at most LEFT
   that may still come, are appended.  */
size_t ht_body_capacity_with (const struct ht_body *body, size_t len,
                              size_t left);

/* Append LEN bytes at DATA, of at most LEFT that may still come.  */
void ht_body_append (struct ht_body *body, const void *data, size_t len,
                     size_t left);

/* Make the bytes of BODY contiguous and return them, borrowed from it.  */
const uint8_t *ht_body_join (struct ht_body *body);

/* Free what BODY occupies, and empty it.  */
void ht_body_clear (struct ht_body *body);

#endif
