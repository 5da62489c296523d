#include "ba_codec.h"

#include <string.h>

void
ba_codec_init_writer (struct ba_codec *io)
{
  memset (io, 0, sizeof *io);
  msgpack_sbuffer_init (&io->sink);
  msgpack_packer_init (&io->packer, &io->sink, msgpack_sbuffer_write);
}

struct ba_bytes
ba_codec_finish (struct ba_codec *io, TALLOC_CTX *mem)
{
  struct ba_bytes bytes = ba_bytes_copy (mem, io->sink.data, io->sink.size);

  msgpack_sbuffer_destroy (&io->sink);
  return bytes;
}

void
ba_codec_init_reader (struct ba_codec *io, TALLOC_CTX *mem, struct ba_bytes in)
{
  memset (io, 0, sizeof *io);
  io->mem = mem;
  io->reading = true;
  io->in = in;
}

bool
ba_codec_is_complete (const struct ba_codec *io)
{
  return !io->failed && io->offset == io->in.len;
}

/* Return whether an object that starts with BYTE is of a kind that streams
   hold: nil, integers, strings and bytes.  The library allocates room for as
   many elements as an array or map claims to have before it looks for them. */
static bool
is_plain (uint8_t byte)
{
  return byte <= 0x7f                      /* positive fixint */
         || (byte >= 0xa0 && byte <= 0xbf) /* fixstr */
         || byte == 0xc0                   /* nil */
         || (byte >= 0xc4 && byte <= 0xc6) /* bin 8 to 32 */
         || (byte >= 0xcc && byte <= 0xd3) /* integers */
         || (byte >= 0xd9 && byte <= 0xdb) /* str 8 to 32 */
         || byte >= 0xe0;                  /* negative fixint */
}

/* Unpack the next object of a reader.  The caller destroys RESULT.  */
static bool
next_object (struct ba_codec *io, msgpack_unpacked *result)
{
  msgpack_unpack_return status;

  msgpack_unpacked_init (result);
  if (io->failed || io->offset >= io->in.len
      || !is_plain (io->in.data[io->offset]))
    {
      io->failed = true;
      return false;
    }
  status = msgpack_unpack_next (result, (const char *)io->in.data, io->in.len,
                                &io->offset);
  if (status != MSGPACK_UNPACK_SUCCESS)
    {
      io->failed = true;
      return false;
    }
  return true;
}

void
ba_codec_u64 (struct ba_codec *io, uint64_t *value)
{
  msgpack_unpacked result;

  if (!io->reading)
    {
      msgpack_pack_uint64 (&io->packer, *value);
      return;
    }
  *value = 0;
  if (next_object (io, &result))
    {
      if (result.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
        *value = result.data.via.u64;
      else
        io->failed = true;
    }
  msgpack_unpacked_destroy (&result);
}

void
ba_codec_i64 (struct ba_codec *io, int64_t *value)
{
  msgpack_unpacked result;

  if (!io->reading)
    {
      msgpack_pack_int64 (&io->packer, *value);
      return;
    }
  *value = 0;
  if (next_object (io, &result))
    {
      if (result.data.type == MSGPACK_OBJECT_POSITIVE_INTEGER
          && result.data.via.u64 <= INT64_MAX)
        *value = (int64_t)result.data.via.u64;
      else if (result.data.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
        *value = result.data.via.i64;
      else
        io->failed = true;
    }
  msgpack_unpacked_destroy (&result);
}

void
ba_codec_u32 (struct ba_codec *io, uint32_t *value)
{
  uint64_t wide = *value;

  ba_codec_u64 (io, &wide);
  if (wide > UINT32_MAX)
    {
      io->failed = true;
      wide = 0;
    }
  *value = (uint32_t)wide;
}

void
ba_codec_bool (struct ba_codec *io, bool *value)
{
  uint64_t wide = *value ? 1 : 0;

  ba_codec_u64 (io, &wide);
  if (wide > 1)
    io->failed = true;
  *value = wide == 1;
}

/* Return a copy of LEN bytes at TEXT; a NUL among them fails.  The library
   gives an empty string as a null pointer.  */
static char *
copy_text (struct ba_codec *io, const char *text, size_t len)
{
  if (len == 0)
    return talloc_strdup (io->mem, "");
  if (memchr (text, '\0', len) != NULL)
    {
      io->failed = true;
      return NULL;
    }
  return talloc_strndup (io->mem, text, len);
}

void
ba_codec_str (struct ba_codec *io, char **value)
{
  msgpack_unpacked result;

  if (!io->reading)
    {
      if (*value == NULL)
        msgpack_pack_nil (&io->packer);
      else
        msgpack_pack_str_with_body (&io->packer, *value, strlen (*value));
      return;
    }
  *value = NULL;
  if (next_object (io, &result))
    {
      const msgpack_object *o = &result.data;

      if (o->type == MSGPACK_OBJECT_STR)
        *value = copy_text (io, o->via.str.ptr, o->via.str.size);
      else if (o->type != MSGPACK_OBJECT_NIL)
        io->failed = true;
    }
  msgpack_unpacked_destroy (&result);
}

void
ba_codec_bytes (struct ba_codec *io, struct ba_bytes *value)
{
  msgpack_unpacked result;

  if (!io->reading)
    {
      msgpack_pack_bin_with_body (&io->packer, value->data, value->len);
      return;
    }
  *value = (struct ba_bytes){ NULL, 0 };
  if (next_object (io, &result))
    {
      const msgpack_object *o = &result.data;

      if (o->type == MSGPACK_OBJECT_BIN)
        *value = ba_bytes_copy (io->mem, o->via.bin.ptr, o->via.bin.size);
      else
        io->failed = true;
    }
  msgpack_unpacked_destroy (&result);
}

void
ba_codec_required_str (struct ba_codec *io, char **value)
{
  ba_codec_str (io, value);
  if (*value == NULL)
    io->failed = true;
}

void
ba_codec_enum (struct ba_codec *io, uint32_t *value, uint32_t limit)
{
  ba_codec_u32 (io, value);
  if (*value < limit)
    return;
  io->failed = true;
  *value = 0;
}

void
ba_codec_count (struct ba_codec *io, uint32_t *count, uint32_t maximum)
{
  ba_codec_u32 (io, count);
  if (io->reading
      && (io->failed || *count > maximum || *count > io->in.len - io->offset))
    {
      io->failed = true;
      *count = 0;
    }
}
