#ifndef BA_CODEC_H
#define BA_CODEC_H

/* One description of a structure serves both directions of its msgpack
   encoding: each ba_codec_* call packs the value it is given when the stream
   is a writer, and fills it in when the stream is a reader.

   A reader that meets a wrong type, a value out of range or the end of its
   input sets `failed' and leaves every later value zero, so callers check
   once at the end.  Strings and bytes read are owned by the stream's context.

   The stream is a flat sequence: counts precede their elements.  */

#include "ba_bytes.h"

#include <msgpack.h>

struct ba_codec
{
  TALLOC_CTX *mem;      /* owner of what a reader allocates */
  bool reading;         /* direction */
  bool failed;          /* sticky */
  struct ba_bytes in;   /* borrowed input of a reader */
  size_t offset;        /* next unread byte */
  msgpack_sbuffer sink; /* output of a writer */
  msgpack_packer packer;
};

/* Start writing.  End with ba_codec_finish.  */
void ba_codec_init_writer (struct ba_codec *io);

/* Take what was written as bytes owned by MEM and release the writer.  */
struct ba_bytes ba_codec_finish (struct ba_codec *io, TALLOC_CTX *mem);

/* Start reading IN, which is borrowed until the reader is no longer used.  */
void ba_codec_init_reader (struct ba_codec *io, TALLOC_CTX *mem,
                           struct ba_bytes in);

/* Return whether a reader consumed its whole input without failing.  */
bool ba_codec_is_complete (const struct ba_codec *io);

void ba_codec_u64 (struct ba_codec *io, uint64_t *value);
void ba_codec_i64 (struct ba_codec *io, int64_t *value);
void ba_codec_u32 (struct ba_codec *io, uint32_t *value);
void ba_codec_bool (struct ba_codec *io, bool *value);
/* A string may be NULL; it is read back as NULL.  */
void ba_codec_str (struct ba_codec *io, char **value);
void ba_codec_bytes (struct ba_codec *io, struct ba_bytes *value);

/* A string that must be present.  */
void ba_codec_required_str (struct ba_codec *io, char **value);

/* A value that must be below LIMIT.  */
void ba_codec_enum (struct ba_codec *io, uint32_t *value, uint32_t limit);

/* Code an element count.  A reader fails when COUNT exceeds MAXIMUM or the
   bytes that remain, so a hostile count never causes a large allocation.  */
void ba_codec_count (struct ba_codec *io, uint32_t *count, uint32_t maximum);

/* Code a counted array.  A reader allocates it, zeroed, on its context.  */
#define ba_codec_array(io, items, count, maximum, visit)                      \
  do                                                                          \
    {                                                                         \
      ba_codec_count ((io), &(count), (maximum));                             \
      if ((io)->reading)                                                      \
        (items) = (void *)_talloc_zero_array ((io)->mem, sizeof *(items),     \
                                              (count) ? (count) : 1, #items); \
      for (uint32_t ba_i = 0; ba_i < (count) && !(io)->failed; ba_i++)        \
        visit ((io), &(items)[ba_i]);                                         \
    }                                                                         \
  while (0)

/* Return the encoding of the structure VALUE points to, owned by MEM.  CODE is
   the function that describes it.  */
#define ba_codec_encode(mem, code, value)                                     \
  ({                                                                          \
    struct ba_codec ba_out;                                                   \
    ba_codec_init_writer (&ba_out);                                           \
    code (&ba_out, (value));                                                  \
    ba_codec_finish (&ba_out, (mem));                                         \
  })

/* Make TO a deep copy of FROM, owned by MEM, by way of the encoding.  */
#define ba_codec_deep_copy(mem, code, from, to)                               \
  do                                                                          \
    {                                                                         \
      struct ba_bytes ba_bytes = ba_codec_encode ((mem), code, (from));       \
      struct ba_codec ba_in;                                                  \
      ba_codec_init_reader (&ba_in, (mem), ba_bytes);                         \
      code (&ba_in, (to));                                                    \
    }                                                                         \
  while (0)

#endif
