#include "ht_body.h"

#include "dp_test.h"

#include <string.h>

enum
{
  LIMIT = 256 * 1024
};

/* Append LEN bytes that depend on their place in parts of PART bytes, and
   check that the body takes at most a block more than it holds.  */
static void
fill (struct ht_body *body, size_t len, size_t part)
{
  uint8_t *data = g_malloc (part);

  for (size_t sent = 0; sent < len; sent += part)
    {
      size_t expected;

      part = MIN (part, len - sent);
      for (size_t i = 0; i < part; i++)
        data[i] = (uint8_t)((sent + i) * 31 >> 3);
      expected = ht_body_capacity_with (body, part, LIMIT - sent);
      ht_body_append (body, data, part, LIMIT - sent);
      CU_ASSERT_EQUAL (body->capacity, expected);
      CU_ASSERT_TRUE (body->capacity <= LIMIT);
      CU_ASSERT_TRUE (body->capacity - body->len < 16 * 1024);
    }
  g_free (data);
}

/* A body is whole and in order, whatever the parts that it arrives in, and
   never takes more than its limit.  */
static void
test_parts (void)
{
  static const size_t parts[] = { 1, 7, 1024, 16 * 1024, 100 * 1000, LIMIT };
  static const size_t lengths[] = { 1, 1024, 1025, 20000, LIMIT - 1, LIMIT };

  for (size_t p = 0; p < G_N_ELEMENTS (parts); p++)
    for (size_t l = 0; l < G_N_ELEMENTS (lengths); l++)
      {
        struct ht_body body = { 0 };
        const uint8_t *data;
        size_t wrong = 0;

        fill (&body, lengths[l], parts[p]);
        data = ht_body_join (&body);
        CU_ASSERT_EQUAL (body.len, lengths[l]);
        for (size_t i = 0; i < lengths[l]; i++)
          wrong += data[i] != (uint8_t)(i * 31 >> 3);
        CU_ASSERT_EQUAL (wrong, 0);
        ht_body_clear (&body);
        CU_ASSERT_EQUAL (body.capacity, 0);
      }
}

/* A request without a body has none.  */
static void
test_empty (void)
{
  struct ht_body body = { 0 };

  CU_ASSERT_PTR_NULL (ht_body_join (&body));
  ht_body_clear (&body);
  CU_ASSERT_EQUAL (body.len, 0);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "parts", test_parts }, { "no body", test_empty }, { NULL, NULL } };

  return dp_test_main ("bodies of requests", tests);
}
