#include "pl_table.h"

#include "dp_test.h"

#include <string.h>

static void
test_write_without_view_version (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct co_action_write write
      = { .row = { "log", "0001", 1, { (uint8_t *)"x", 1 } } };
  struct pl_table_request request
      = pl_table_write_request (mem, &write, NULL, 0);

  CU_ASSERT_STRING_EQUAL (request.target, "DynamoDB_20120810.PutItem");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (request.body, "\"attribute_not_exists(pk)\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (request.body, "\"body\":{\"B\":\"eA==\"}"));
  talloc_free (mem);
}

static void
test_write_with_view_version (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct co_action_write write
      = { .row = { "ledger/0", "current", 5, { NULL, 0 } },
          .expected_version = 4,
          .required_view_version = 9 };
  struct pl_table_request request
      = pl_table_write_request (mem, &write, "row/abc", 1234);

  CU_ASSERT_STRING_EQUAL (request.target,
                          "DynamoDB_20120810.TransactWriteItems");
  CU_ASSERT_PTR_NOT_NULL (strstr (request.body, "\":g\":{\"N\":\"9\"}"));
  CU_ASSERT_PTR_NOT_NULL (strstr (request.body, "\":v\":{\"N\":\"4\"}"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (request.body, "\"ref\":{\"S\":\"row/abc\"}"));
  CU_ASSERT_PTR_NOT_NULL (strstr (request.body, "\"ttl\":{\"N\":\"1234\"}"));
  talloc_free (mem);
}

static void
test_write_results (void)
{
  static const char conflict[]
      = "{\"__type\":\"x#ConditionalCheckFailedException\"}";
  static const char cancelled[]
      = "{\"__type\":\"x#TransactionCanceledException\","
        "\"CancellationReasons\":[{\"Code\":\"None\"},"
        "{\"Code\":\"ConditionalCheckFailed\"}]}";
  static const char busy[] = "{\"__type\":\"x#TransactionCanceledException\","
                             "\"CancellationReasons\":[{\"Code\":"
                             "\"TransactionConflict\"}]}";
  static const char throttled[]
      = "{\"__type\":\"x#ProvisionedThroughputExceededException\"}";

  CU_ASSERT_EQUAL (pl_table_parse_write_result (200, "{}"), CO_STORE_OK);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, conflict),
                   CO_STORE_CONFLICT);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, cancelled),
                   CO_STORE_CONFLICT);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, busy),
                   CO_STORE_UNREACHABLE);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, throttled),
                   CO_STORE_UNREACHABLE);
  /* These don't tell whether the row was written.  */
  CU_ASSERT_EQUAL (pl_table_parse_write_result (500, ""), CO_STORE_UNKNOWN);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, "<html>"),
                   CO_STORE_UNKNOWN);
}

static void
test_rows (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  json_t *good
      = json_pack ("{s:{s:s},s:{s:s},s:{s:s},s:{s:s}}", "pk", "S", "log", "sk",
                   "S", "01", "ver", "N", "7", "body", "B", "eA==");
  json_t *bad = json_pack ("{s:{s:s}}", "pk", "S", "log");
  struct co_row row = { 0 };
  char *object_key;

  CU_ASSERT_TRUE (pl_table_parse_row (mem, good, &row, &object_key));
  CU_ASSERT_EQUAL (row.version, 7);
  CU_ASSERT_TRUE (row.body.len == 1 && row.body.data[0] == 'x');
  CU_ASSERT_PTR_NULL (object_key);
  CU_ASSERT_FALSE (pl_table_parse_row (mem, bad, &row, &object_key));
  json_decref (good);
  json_decref (bad);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "write without view version", test_write_without_view_version },
          { "write with view version", test_write_with_view_version },
          { "write results", test_write_results },
          { "rows", test_rows },
          { NULL, NULL } };

  return dp_test_main ("pl_table", tests);
}
