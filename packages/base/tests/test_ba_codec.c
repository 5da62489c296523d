#include "ba_codec.h"

#include "dp_test.h"

#include <string.h>

struct sample
{
  uint64_t wide;
  int64_t sign;
  uint32_t narrow;
  bool flag;
  char *text, *empty, *absent;
  struct ba_bytes bytes;
  uint64_t *list;
  uint32_t count;
};

static void
sample_code (struct ba_codec *io, struct sample *s)
{
  ba_codec_u64 (io, &s->wide);
  ba_codec_i64 (io, &s->sign);
  ba_codec_u32 (io, &s->narrow);
  ba_codec_bool (io, &s->flag);
  ba_codec_str (io, &s->text);
  ba_codec_str (io, &s->empty);
  ba_codec_str (io, &s->absent);
  ba_codec_bytes (io, &s->bytes);
  ba_codec_array (io, s->list, s->count, 10, ba_codec_u64);
}

static struct ba_bytes
encode_sample (TALLOC_CTX *mem)
{
  static uint64_t list[] = { 1, 2, UINT64_MAX };
  struct sample s
      = { UINT64_MAX, INT64_MIN, UINT32_MAX, true,
          "text",     "",        NULL,       { (uint8_t *)"\0\1", 2 },
          list,       3 };
  struct ba_codec io;

  ba_codec_init_writer (&io);
  sample_code (&io, &s);
  return ba_codec_finish (&io, mem);
}

static void
test_round_trip (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct ba_bytes bytes = encode_sample (mem);
  struct sample s = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, bytes);
  sample_code (&io, &s);
  CU_ASSERT_TRUE (ba_codec_is_complete (&io));
  CU_ASSERT_TRUE (s.wide == UINT64_MAX && s.sign == INT64_MIN);
  CU_ASSERT_TRUE (s.narrow == UINT32_MAX && s.flag);
  CU_ASSERT_STRING_EQUAL (s.text, "text");
  CU_ASSERT_PTR_NULL (s.absent);
  CU_ASSERT_TRUE (s.bytes.len == 2 && s.bytes.data[1] == 1);
  CU_ASSERT_TRUE (s.count == 3 && s.list[2] == UINT64_MAX);
  talloc_free (mem);
}

/* The library unpacks an empty string as a null pointer; it once came back as
   absent.  */
static void
test_empty_string (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct sample s = { 0 };
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, encode_sample (mem));
  sample_code (&io, &s);
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
      struct ba_codec io;

      ba_codec_init_reader (&io, mem, cut);
      sample_code (&io, &s);
      CU_ASSERT_FALSE (ba_codec_is_complete (&io));
    }
  talloc_free (mem);
}

static void
test_hostile_count (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  uint32_t count = UINT32_MAX;
  struct ba_bytes bytes;
  struct ba_codec io;

  ba_codec_init_writer (&io);
  ba_codec_u32 (&io, &count);
  bytes = ba_codec_finish (&io, mem);
  ba_codec_init_reader (&io, mem, bytes);
  ba_codec_count (&io, &count, UINT32_MAX);
  CU_ASSERT_TRUE (io.failed);
  CU_ASSERT_EQUAL (count, 0);
  talloc_free (mem);
}

/* Found by the fuzz corpus under the address sanitizer: an array that claims
   2^32 - 1 elements made the library ask for 64 GiB.  */
static void
test_huge_array (void)
{
  static uint8_t array[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x00 };
  static uint8_t map[] = { 0xdf, 0xff, 0xff, 0xff, 0xff, 0x00 };
  TALLOC_CTX *mem = talloc_new (NULL);
  uint64_t number;
  struct ba_codec io;

  ba_codec_init_reader (&io, mem, (struct ba_bytes){ array, sizeof array });
  ba_codec_u64 (&io, &number);
  CU_ASSERT_TRUE (io.failed);
  ba_codec_init_reader (&io, mem, (struct ba_bytes){ map, sizeof map });
  ba_codec_u64 (&io, &number);
  CU_ASSERT_TRUE (io.failed);
  talloc_free (mem);
}

static void
test_wrong_type (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  char *text = "not a number";
  uint64_t number = 7;
  struct ba_bytes bytes;
  struct ba_codec io;

  ba_codec_init_writer (&io);
  ba_codec_str (&io, &text);
  bytes = ba_codec_finish (&io, mem);
  ba_codec_init_reader (&io, mem, bytes);
  ba_codec_u64 (&io, &number);
  CU_ASSERT_TRUE (io.failed);
  CU_ASSERT_EQUAL (number, 0);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "round trip", test_round_trip },
          { "empty string", test_empty_string },
          { "every truncation fails", test_every_truncation_fails },
          { "hostile count", test_hostile_count },
          { "huge array", test_huge_array },
          { "wrong type", test_wrong_type },
          { NULL, NULL } };

  return dp_test_main ("ba_codec", tests);
}
