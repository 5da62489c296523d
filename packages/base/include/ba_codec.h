#ifndef BA_CODEC_H
#define BA_CODEC_H

/* Serialization of structures with msgpack.

   One function per structure describes its encoding in both directions: it
   calls a ba_codec_* function for each member, which encodes the member if the
   codec is a writer, and decodes into it if the codec is a reader.

   A reader that finds a wrong type, a value out of range or the end of its
   input sets `failed', and stores zero in this and all later members, so that
   one check for errors at the end is enough.  Decoded strings and bytes are
   owned by the codec's talloc context.

   The encoding is a flat sequence of values, in which the number of elements
   of an array precedes the elements.  */

#include "ba_bytes.h"

#include <msgpack.h>

struct ba_codec
{
  TALLOC_CTX *mem;       /* owner of what a reader allocates */
  bool reading;          /* false: writer */
  bool failed;           /* a value could not be decoded; never reset */
  struct ba_bytes in;    /* input of a reader, borrowed */
  size_t offset;         /* position in IN of the next byte to decode */
  msgpack_sbuffer out;   /* output of a writer */
  msgpack_packer packer; /* appends to OUT */
};

/* Initialize a writer.  Release it with ba_codec_finish.  */
void ba_codec_init_writer (struct ba_codec *codec);

/* Return the encoded bytes, owned by MEM, and release the writer.  */
struct ba_bytes ba_codec_finish (struct ba_codec *codec, TALLOC_CTX *mem);

/* Initialize a reader of INPUT, which is borrowed while the reader is in use.
   What the reader allocates is owned by MEM.  */
void ba_codec_init_reader (struct ba_codec *codec, TALLOC_CTX *mem,
                           struct ba_bytes input);

/* Return whether a reader decoded its whole input without an error.  */
bool ba_codec_is_complete (const struct ba_codec *codec);

/* Encode *VALUE, or decode one value into it.  */
void ba_codec_u64 (struct ba_codec *codec, uint64_t *value);
void ba_codec_i64 (struct ba_codec *codec, int64_t *value);
void ba_codec_u32 (struct ba_codec *codec, uint32_t *value);
void ba_codec_bool (struct ba_codec *codec, bool *value);
/* A string may be NULL, which is decoded as NULL.  A string that contains a
   NUL byte can't be decoded.  */
void ba_codec_str (struct ba_codec *codec, char **value);
void ba_codec_bytes (struct ba_codec *codec, struct ba_bytes *value);

/* A string that must not be NULL.  */
void ba_codec_required_str (struct ba_codec *codec, char **value);

/* An unsigned value that must be less than LIMIT.  */
void ba_codec_enum (struct ba_codec *codec, uint32_t *value, uint32_t limit);

/* The number of elements of an array.  A reader fails when COUNT exceeds
   MAX_COUNT or the number of remaining bytes, so that a malicious count can't
   cause a large allocation.  */
void ba_codec_count (struct ba_codec *codec, uint32_t *count,
                     uint32_t max_count);

/* The array ITEMS of COUNT elements, each of which is passed to
   SERIALIZE_ITEM.  A reader allocates the array, zeroed, on its context.  */
#define ba_codec_array(codec, items, count, max_count, serialize_item)        \
  do                                                                          \
    {                                                                         \
      ba_codec_count ((codec), &(count), (max_count));                        \
      if ((codec)->reading)                                                   \
        (items) = (void *)_talloc_zero_array ((codec)->mem, sizeof *(items),  \
                                              (count) ? (count) : 1, #items); \
      for (uint32_t ba_i = 0; ba_i < (count) && !(codec)->failed; ba_i++)     \
        serialize_item ((codec), &(items)[ba_i]);                             \
    }                                                                         \
  while (0)

/* Return the encoding of the structure at VALUE, owned by MEM.  SERIALIZE is
   the function that describes the structure.  */
#define ba_codec_encode(mem, serialize, value)                                \
  ({                                                                          \
    struct ba_codec ba_out;                                                   \
    ba_codec_init_writer (&ba_out);                                           \
    serialize (&ba_out, (value));                                             \
    ba_codec_finish (&ba_out, (mem));                                         \
  })

/* Make the structure at TO a deep copy of that at FROM, by encoding and
   decoding it.  Its strings, bytes and arrays are owned by MEM.  */
#define ba_codec_deep_copy(mem, serialize, from, to)                          \
  do                                                                          \
    {                                                                         \
      struct ba_bytes ba_bytes = ba_codec_encode ((mem), serialize, (from));  \
      struct ba_codec ba_in;                                                  \
      ba_codec_init_reader (&ba_in, (mem), ba_bytes);                         \
      serialize (&ba_in, (to));                                               \
    }                                                                         \
  while (0)

#endif
