#ifndef BA_BYTES_H
#define BA_BYTES_H

/* A byte string with its length.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct ba_bytes
{
  uint8_t *data; /* NULL if empty; a copy's data is owned by the
                    context given to ba_bytes_copy */
  size_t len;    /* bytes */
};

/* Return a copy of the LEN bytes at DATA, owned by MEM.  */
struct ba_bytes ba_bytes_copy (TALLOC_CTX *mem, const void *data, size_t len);

/* Return whether A and B have the same length and contents.  */
bool ba_bytes_equal (struct ba_bytes a, struct ba_bytes b);

#endif
