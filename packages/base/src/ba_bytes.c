#include "ba_bytes.h"

#include <string.h>

struct ba_bytes
ba_bytes_copy (TALLOC_CTX *mem, const void *data, size_t len)
{
  struct ba_bytes copy = { NULL, len };

  if (len > 0)
    copy.data = talloc_memdup (mem, data, len);
  return copy;
}

bool
ba_bytes_equal (struct ba_bytes a, struct ba_bytes b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}
