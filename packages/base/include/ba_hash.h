#ifndef BA_HASH_H
#define BA_HASH_H

/* Hashing: rendezvous weights and key digests.  */

#include <stdint.h>
#include <talloc.h>

/* Return a 64-bit hash of TEXT mixed with SEED.  Equal on every process.  */
uint64_t ba_hash_str (const char *text, uint64_t seed);

/* Return the SHA-256 of TEXT as 64 lower-case hex digits, owned by MEM.  */
char *ba_hash_sha256_hex (TALLOC_CTX *mem, const char *text);

#endif
