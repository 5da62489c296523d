#include "pr_frame.h"

#include "ba_codec.h"

#include <string.h>
#include <sys/random.h>

/* Marks a nonce that names a process.  The incarnation of the process follows,
   most significant byte first, then random bytes.  */
static const uint8_t nonce_mark[] = { 'd', 'p', '-', 'n', 'o', 'n', 'c', 'e' };

enum
{
  NONCE_RANDOM_OFFSET = sizeof nonce_mark + sizeof (guint64)
};

void
pr_frame_append (GByteArray *out, struct ba_bytes body)
{
  guint32 length = GUINT32_TO_BE ((guint32)body.len);

  g_byte_array_append (out, (const guint8 *)&length, sizeof length);
  g_byte_array_append (out, body.data, (guint)body.len);
}

enum pr_frame_status
pr_frame_parse (const GByteArray *in, size_t offset, size_t max_body_bytes,
                struct ba_bytes *body)
{
  guint32 length;

  if (in->len - offset < PR_FRAME_HEADER_BYTES)
    return PR_FRAME_INCOMPLETE;
  memcpy (&length, in->data + offset, sizeof length);
  length = GUINT32_FROM_BE (length);
  if (length > max_body_bytes)
    return PR_FRAME_TOO_LARGE;
  if (in->len - offset - PR_FRAME_HEADER_BYTES < length)
    return PR_FRAME_INCOMPLETE;
  body->data = in->data + offset + PR_FRAME_HEADER_BYTES;
  body->len = length;
  return PR_FRAME_COMPLETE;
}

static void
challenge_serialize (struct ba_codec *io, struct pr_challenge *challenge)
{
  ba_codec_u32 (io, &challenge->version);
  ba_codec_bytes (io, &challenge->nonce);
}

static void
hello_serialize (struct ba_codec *io, struct pr_hello *hello)
{
  ba_codec_u32 (io, &hello->version);
  ba_codec_u64 (io, &hello->incarnation);
  ba_codec_bytes (io, &hello->digest);
}

struct ba_bytes
pr_challenge_encode (TALLOC_CTX *mem, struct pr_challenge *challenge)
{
  return ba_codec_encode (mem, challenge_serialize, challenge);
}

bool
pr_challenge_decode (TALLOC_CTX *mem, struct ba_bytes in,
                     struct pr_challenge *challenge)
{
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, in);
  challenge_serialize (&io, challenge);
  return ba_codec_is_complete (&io) && challenge->nonce.len == PR_NONCE_BYTES;
}

struct ba_bytes
pr_hello_encode (TALLOC_CTX *mem, struct pr_hello *hello)
{
  return ba_codec_encode (mem, hello_serialize, hello);
}

bool
pr_hello_decode (TALLOC_CTX *mem, struct ba_bytes in, struct pr_hello *hello)
{
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, in);
  hello_serialize (&io, hello);
  return ba_codec_is_complete (&io) && hello->digest.len == PR_DIGEST_BYTES;
}

bool
pr_nonce_init (uint8_t *nonce, uint64_t incarnation)
{
  const size_t random_bytes = PR_NONCE_BYTES - NONCE_RANDOM_OFFSET;
  guint64 number = GUINT64_TO_BE (incarnation);

  memcpy (nonce, nonce_mark, sizeof nonce_mark);
  memcpy (nonce + sizeof nonce_mark, &number, sizeof number);
  return getrandom (nonce + NONCE_RANDOM_OFFSET, random_bytes, 0)
         == (ssize_t)random_bytes;
}

bool
pr_nonce_may_be_of (struct ba_bytes nonce, uint64_t incarnation)
{
  guint64 number = GUINT64_TO_BE (incarnation);

  return memcmp (nonce.data, nonce_mark, sizeof nonce_mark) != 0
         || memcmp (nonce.data + sizeof nonce_mark, &number, sizeof number)
                == 0;
}

struct ba_bytes
pr_compute_digest (TALLOC_CTX *mem, const char *secret, struct ba_bytes nonce,
                   uint64_t incarnation)
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)secret,
                            strlen (secret));
  guint64 number = GUINT64_TO_BE (incarnation);
  guint8 digest[PR_DIGEST_BYTES];
  gsize len = sizeof digest;

  g_hmac_update (hmac, nonce.data, (gssize)nonce.len);
  g_hmac_update (hmac, (const guchar *)&number, sizeof number);
  g_hmac_get_digest (hmac, digest, &len);
  g_hmac_unref (hmac);
  return ba_bytes_copy (mem, digest, len);
}
