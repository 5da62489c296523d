#ifndef PR_FRAME_H
#define PR_FRAME_H

/* Frames: a length of four bytes, most significant first, and as many bytes
   of msgpack.  */

#include "ba_bytes.h"

#include <glib.h>

enum
{
  PR_FRAME_HEADER_BYTES = 4,
  PR_MAX_FRAME_BYTES = 16 * 1024 * 1024,
  PR_MAX_HELLO_BYTES = 512,
  PR_PROTOCOL_VERSION = 1,
  PR_NONCE_BYTES = 32,
  PR_DIGEST_BYTES = 32
};

/* Append a frame that holds BODY to OUT.  */
void pr_frame_append (GByteArray *out, struct ba_bytes body);

enum pr_frame_status
{
  PR_FRAME_INCOMPLETE, /* more bytes are needed */
  PR_FRAME_COMPLETE,
  PR_FRAME_TOO_LARGE
};

/* Look at the frame that starts at OFFSET of IN.  When it is whole, BODY
   borrows its bytes.  */
enum pr_frame_status pr_frame_parse (const GByteArray *in, size_t offset,
                                     size_t maximum, struct ba_bytes *body);

/* The first frames of a connection.  */
struct pr_challenge
{
  uint32_t version;
  struct ba_bytes nonce;
};

struct pr_hello
{
  uint32_t version;
  uint64_t incarnation;
  struct ba_bytes digest;
};

struct ba_bytes pr_challenge_encode (TALLOC_CTX *mem,
                                     struct pr_challenge *challenge);
bool pr_challenge_decode (TALLOC_CTX *mem, struct ba_bytes in,
                          struct pr_challenge *challenge);
struct ba_bytes pr_hello_encode (TALLOC_CTX *mem, struct pr_hello *hello);
bool pr_hello_decode (TALLOC_CTX *mem, struct ba_bytes in,
                      struct pr_hello *hello);

/* Return the digest that proves knowledge of SECRET, owned by MEM.  */
struct ba_bytes pr_compute_digest (TALLOC_CTX *mem, const char *secret,
                                   struct ba_bytes nonce,
                                   uint64_t incarnation);

#endif
