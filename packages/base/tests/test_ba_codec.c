#include "ba_codec.h"

#include "dp_test.h"

#include <string.h>

struct sample
{
  uint64_t u64;
  int64_t i64;
  uint32_t u32;
  bool flag;
  char *text, *empty, *absent;
  struct ba_bytes bytes;
  uint64_t *list;
  uint32_t count;
};

static void
serialize_sample (struct ba_codec *codec, struct sample *s)
{
  ba_codec_u64 (codec, &s->u64);
  ba_codec_i64 (codec, &s->i64);
  ba_codec_u32 (codec, &s->u32);
  ba_codec_bool (codec, &s->flag);
  ba_codec_str (codec, &s->text);
  ba_codec_str (codec, &s->empty);
  ba_codec_str (codec, &s->absent);
  ba_codec_bytes (codec, &s->bytes);
  ba_codec_array (codec, s->list, s->count, 10, ba_codec_u64);
}

static struct ba_bytes
encode_sample (TALLOC_CTX *mem)
{
  static uint64_t list[] = { 1, 2, UINT64_MAX };
  struct sample s
      = { UINT64_MAX, INT64_MIN, UINT32_MAX, true,
          "text",     "",        NULL,       { (uint8_t *)"\0\1", 2 },
          list,       3 };
  struct ba_codec codec;

  ba_codec_init_writer (&codec);
  serialize_sample (&codec, &s);
  return ba_codec_finish (&codec, mem);
}

static void
test_round_trip (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct ba_bytes bytes = encode_sample (mem);
  struct sample s = { 0 };
  struct ba_codec codec;

  ba_codec_init_reader (&codec, mem, bytes);
  serialize_sample (&codec, &s);
  CU_ASSERT_TRUE (ba_codec_is_complete (&codec));
  CU_ASSERT_TRUE (s.u64 == UINT64_MAX && s.i64 == INT64_MIN);
  CU_ASSERT_TRUE (s.u32 == UINT32_MAX && s.flag);
  CU_ASSERT_STRING_EQUAL (s.text, "text");
  CU_ASSERT_PTR_NULL (s.absent);
  CU_ASSERT_TRUE (s.bytes.len == 2 && s.bytes.data[1] == 1);
  CU_ASSERT_TRUE (s.count == 3 && s.list[2] == UINT64_MAX);
  talloc_free (mem);
}

/* The msgpack library decodes an empty string as a null pointer, which must
   not turn it into an absent string.  */
static void
test_empty_string (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct sample s = { 0 };
  struct ba_codec codec;

  ba_codec_init_reader (&codec, mem, encode_sample (mem));
  serialize_sample (&codec, &s);
  CU_ASSERT_PTR_NOT_NULL (s.empty);
  if (s.empty != NULL)
    CU_ASSERT_STRING_EQUAL (s.empty, "");
  talloc_free (mem);
}

static void
test_every_truncation_fails (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct ba_bytes bytes = encode_sample (mem);

  for (size_t len = 0; len < bytes.len; len++)
    {
      struct ba_bytes cut = { bytes.data, len };
      struct sample s = { 0 };
      struct ba_codec codec;

      ba_codec_init_reader (&codec, mem, cut);
      serialize_sample (&codec, &s);
      CU_ASSERT_FALSE (ba_codec_is_complete (&codec));
    }
  talloc_free (mem);
}

static void
test_excessive_count (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  uint32_t count = UINT32_MAX;
  struct ba_bytes bytes;
  struct ba_codec codec;

  ba_codec_init_writer (&codec);
  ba_codec_u32 (&codec, &count);
  bytes = ba_codec_finish (&codec, mem);
  ba_codec_init_reader (&codec, mem, bytes);
  ba_codec_count (&codec, &count, UINT32_MAX);
  CU_ASSERT_TRUE (codec.failed);
  CU_ASSERT_EQUAL (count, 0);
  talloc_free (mem);
}

/* The msgpack library allocates room for all elements that an array or map
   claims to have before it reads them: 64 GiB for an array of 2^32 - 1
   elements.  */
static void
test_array_and_map_are_refused (void)
{
  static uint8_t array[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x00 };
  static uint8_t map[] = { 0xdf, 0xff, 0xff, 0xff, 0xff, 0x00 };
  TALLOC_CTX *mem = talloc_new (NULL);
  uint64_t number;
  struct ba_codec codec;

  ba_codec_init_reader (&codec, mem, (struct ba_bytes){ array, sizeof array });
  ba_codec_u64 (&codec, &number);
  CU_ASSERT_TRUE (codec.failed);
  ba_codec_init_reader (&codec, mem, (struct ba_bytes){ map, sizeof map });
  ba_codec_u64 (&codec, &number);
  CU_ASSERT_TRUE (codec.failed);
  talloc_free (mem);
}

static void
test_wrong_type (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  char *text = "not a number";
  uint64_t number = 7;
  struct ba_bytes bytes;
  struct ba_codec codec;

  ba_codec_init_writer (&codec);
  ba_codec_str (&codec, &text);
  bytes = ba_codec_finish (&codec, mem);
  ba_codec_init_reader (&codec, mem, bytes);
  ba_codec_u64 (&codec, &number);
  CU_ASSERT_TRUE (codec.failed);
  CU_ASSERT_EQUAL (number, 0);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "round trip", test_round_trip },
          { "empty string is not decoded as NULL", test_empty_string },
          { "every truncation fails", test_every_truncation_fails },
          { "count that exceeds the input is refused", test_excessive_count },
          { "arrays and maps are refused", test_array_and_map_are_refused },
          { "wrong type is refused", test_wrong_type },
          { NULL, NULL } };

  return dp_test_main ("ba_codec", tests);
}
