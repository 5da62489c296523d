#include "ba_codec.h"

#include <string.h>

void
ba_codec_init_writer (struct ba_codec *codec)
{
  memset (codec, 0, sizeof *codec);
  msgpack_sbuffer_init (&codec->out);
  msgpack_packer_init (&codec->packer, &codec->out, msgpack_sbuffer_write);
}

struct ba_bytes
ba_codec_finish (struct ba_codec *codec, TALLOC_CTX *mem)
{
  struct ba_bytes bytes
      = ba_bytes_copy (mem, codec->out.data, codec->out.size);

  msgpack_sbuffer_destroy (&codec->out);
  return bytes;
}

void
ba_codec_init_reader (struct ba_codec *codec, TALLOC_CTX *mem,
                      struct ba_bytes input)
{
  memset (codec, 0, sizeof *codec);
  codec->mem = mem;
  codec->reading = true;
  codec->in = input;
}

bool
ba_codec_is_complete (const struct ba_codec *codec)
{
  return !codec->failed && codec->offset == codec->in.len;
}

/* Return whether BYTE is the first byte of an object of a type that occurs in
   the encoding: nil, an integer, a string or bytes.  Arrays and maps must not
   reach the msgpack library, because it allocates room for the claimed number
   of elements before it looks for them.  */
static bool
is_supported_type (uint8_t byte)
{
  return byte <= 0x7f                      /* positive fixint */
         || (byte >= 0xa0 && byte <= 0xbf) /* fixstr */
         || byte == 0xc0                   /* nil */
         || (byte >= 0xc4 && byte <= 0xc6) /* bin 8 to 32 */
         || (byte >= 0xcc && byte <= 0xd3) /* integers */
         || (byte >= 0xd9 && byte <= 0xdb) /* str 8 to 32 */
         || byte >= 0xe0;                  /* negative fixint */
}

/* Decode the next object into RESULT.  Return false and set `failed' when
   there is no valid one.  The caller has to destroy RESULT in both cases.  */
static bool
decode_object (struct ba_codec *codec, msgpack_unpacked *result)
{
  msgpack_unpack_return status;

  msgpack_unpacked_init (result);
  if (codec->failed || codec->offset >= codec->in.len
      || !is_supported_type (codec->in.data[codec->offset]))
    {
      codec->failed = true;
      return false;
    }
  status = msgpack_unpack_next (result, (const char *)codec->in.data,
                                codec->in.len, &codec->offset);
  if (status != MSGPACK_UNPACK_SUCCESS)
    {
      codec->failed = true;
      return false;
    }
  return true;
}

void
ba_codec_u64 (struct ba_codec *codec, uint64_t *value)
{
  msgpack_unpacked result;

  if (!codec->reading)
    {
      msgpack_pack_uint64 (&codec->packer, *value);
      return;
    }
  *value = 0;
  if (decode_object (codec, &result))
    {
      if (result.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
        *value = result.data.via.u64;
      else
        codec->failed = true;
    }
  msgpack_unpacked_destroy (&result);
}

void
ba_codec_i64 (struct ba_codec *codec, int64_t *value)
{
  msgpack_unpacked result;

  if (!codec->reading)
    {
      msgpack_pack_int64 (&codec->packer, *value);
      return;
    }
  *value = 0;
  if (decode_object (codec, &result))
    {
      if (result.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER
          && result.data.via.u64 <= INT64_MAX)
        *value = (int64_t)result.data.via.u64;
      else if (result.data.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
        *value = result.data.via.i64;
      else
        codec->failed = true;
    }
  msgpack_unpacked_destroy (&result);
}

void
ba_codec_u32 (struct ba_codec *codec, uint32_t *value)
{
  uint64_t wide_value = *value;

  ba_codec_u64 (codec, &wide_value);
  if (wide_value > UINT32_MAX)
    {
      codec->failed = true;
      wide_value = 0;
    }
  *value = (uint32_t)wide_value;
}

void
ba_codec_bool (struct ba_codec *codec, bool *value)
{
  uint64_t wide_value = *value ? 1 : 0;

  ba_codec_u64 (codec, &wide_value);
  if (wide_value > 1)
    codec->failed = true;
  *value = wide_value == 1;
}

/* Return a copy of the LEN bytes at TEXT as a string.  Fail if they contain a
   NUL.  TEXT is not used if LEN is 0, because the msgpack library decodes an
   empty string as a null pointer.  */
static char *
copy_text (struct ba_codec *codec, const char *text, size_t len)
{
  if (len == 0)
    return talloc_strdup (codec->mem, "");
  if (memchr (text, '\0', len) != NULL)
    {
      codec->failed = true;
      return NULL;
    }
  return talloc_strndup (codec->mem, text, len);
}

void
ba_codec_str (struct ba_codec *codec, char **value)
{
  msgpack_unpacked result;

  if (!codec->reading)
    {
      if (*value == NULL)
        msgpack_pack_nil (&codec->packer);
      else
        msgpack_pack_str_with_body (&codec->packer, *value, strlen (*value));
      return;
    }
  *value = NULL;
  if (decode_object (codec, &result))
    {
      const msgpack_object *object = &result.data;

      if (object->type == MSGPACK_OBJECT_STR)
        *value = copy_text (codec, object->via.str.ptr, object->via.str.size);
      else if (object->type != MSGPACK_OBJECT_NIL)
        codec->failed = true;
    }
  msgpack_unpacked_destroy (&result);
}

void
ba_codec_bytes (struct ba_codec *codec, struct ba_bytes *value)
{
  msgpack_unpacked result;

  if (!codec->reading)
    {
      msgpack_pack_bin_with_body (&codec->packer, value->data, value->len);
      return;
    }
  *value = (struct ba_bytes){ NULL, 0 };
  if (decode_object (codec, &result))
    {
      const msgpack_object *object = &result.data;

      if (object->type == MSGPACK_OBJECT_BIN)
        *value = ba_bytes_copy (codec->mem, object->via.bin.ptr,
                                object->via.bin.size);
      else
        codec->failed = true;
    }
  msgpack_unpacked_destroy (&result);
}

void
ba_codec_required_str (struct ba_codec *codec, char **value)
{
  ba_codec_str (codec, value);
  if (*value == NULL)
    codec->failed = true;
}

void
ba_codec_enum (struct ba_codec *codec, uint32_t *value, uint32_t limit)
{
  ba_codec_u32 (codec, value);
  if (*value < limit)
    return;
  codec->failed = true;
  *value = 0;
}

void
ba_codec_count (struct ba_codec *codec, uint32_t *count, uint32_t max_count)
{
  ba_codec_u32 (codec, count);
  if (codec->reading
      && (codec->failed || *count > max_count
          || *count > codec->in.len - codec->offset))
    {
      codec->failed = true;
      *count = 0;
    }
}
