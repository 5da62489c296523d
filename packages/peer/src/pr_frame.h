#ifndef PR_FRAME_H
#define PR_FRAME_H

/* Frames of the connections between entry hosts.  A frame is the length of its
   body in four bytes, most significant first, followed by the body in
   msgpack.  */

#include "ba_bytes.h"

#include <glib.h>

enum
{
  PR_FRAME_HEADER_BYTES = 4,
  PR_MAX_MESSAGE_BYTES = 16 * 1024 * 1024,
  PR_MAX_HELLO_BYTES = 512, /* of a challenge or hello */
  PR_PROTOCOL_VERSION = 1,
  PR_NONCE_BYTES = 32,
  PR_DIGEST_BYTES = 32 /* SHA-256 */
};

/* Append a frame that holds BODY to OUT.  */
void pr_frame_append (GByteArray *out, struct ba_bytes body);

enum pr_frame_status
{
  PR_FRAME_INCOMPLETE, /* more bytes are needed */
  PR_FRAME_COMPLETE,
  PR_FRAME_TOO_LARGE
};

/* Parse the frame that starts at OFFSET of IN, whose body may have at most
   MAX_BODY_BYTES bytes.  If the frame is complete, set BODY to its body, which
   is borrowed from IN.  */
enum pr_frame_status pr_frame_parse (const GByteArray *in, size_t offset,
                                     size_t max_body_bytes,
                                     struct ba_bytes *body);

/* The first frame that the accepting side of a connection sends.  Its nonce
   names the process that sends it: another process may have been at its
   address when the opening side learnt the address.  A process of the previous
   version sends a nonce that names none.  */
struct pr_challenge
{
  uint32_t version; /* PR_PROTOCOL_VERSION */
  struct ba_bytes nonce;
};

/* The first frame that the opening side sends.  */
struct pr_hello
{
  uint32_t version;       /* PR_PROTOCOL_VERSION */
  uint64_t incarnation;   /* of the opening process */
  struct ba_bytes digest; /* see pr_compute_digest */
};

/* Encode CHALLENGE or HELLO as the body of a frame, owned by MEM, or decode it
   from the body IN, with parts owned by MEM.  A decoder returns whether IN is
   valid; the version is left for the caller to check.  */
struct ba_bytes pr_challenge_encode (TALLOC_CTX *mem,
                                     struct pr_challenge *challenge);
bool pr_challenge_decode (TALLOC_CTX *mem, struct ba_bytes in,
                          struct pr_challenge *challenge);
struct ba_bytes pr_hello_encode (TALLOC_CTX *mem, struct pr_hello *hello);
bool pr_hello_decode (TALLOC_CTX *mem, struct ba_bytes in,
                      struct pr_hello *hello);

/* Set NONCE, which has PR_NONCE_BYTES, to a new nonce that names the process
   with INCARNATION.  Return false if there are no random numbers.  */
bool pr_nonce_init (uint8_t *nonce, uint64_t incarnation);

/* Return whether NONCE names the process with INCARNATION, or none.  */
bool pr_nonce_may_be_of (struct ba_bytes nonce, uint64_t incarnation);

/* Return the HMAC-SHA-256 of NONCE and INCARNATION under SECRET, owned by MEM.
   It proves knowledge of SECRET.  */
struct ba_bytes pr_compute_digest (TALLOC_CTX *mem, const char *secret,
                                   struct ba_bytes nonce,
                                   uint64_t incarnation);

#endif
