#ifndef BA_HASH_H
#define BA_HASH_H

/* Hash functions: a fast one, for rendezvous hashing and sharding, and SHA-256
   for digests of API keys.  */

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Return a 64-bit hash of TEXT and SEED.  It is the same in every process, but
   not suitable for cryptography.  */
uint64_t ba_hash_str (const char *text, uint64_t seed);

/* As ba_hash_str, of the LEN bytes at DATA.  */
uint64_t ba_hash_bytes (const void *data, size_t len, uint64_t seed);

/* Return the SHA-256 digest of TEXT as 64 lower-case hexadecimal digits, owned
   by MEM.  */
char *ba_hash_sha256_hex (TALLOC_CTX *mem, const char *text);

#endif
