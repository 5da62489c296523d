#include "ba_hash.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
ba_hash_str (const char *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (text, strlen (text), seed);
}

uint64_t
ba_hash_bytes (const void *data, size_t len, uint64_t seed)
{
  return XXH3_64bits_withSeed (data, len, seed);
}

char *
ba_hash_sha256_hex (TALLOC_CTX *mem, const char *text)
{
  char *hex = g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);
  char *copy = talloc_strdup (mem, hex);

  g_free (hex);
  return copy;
}
