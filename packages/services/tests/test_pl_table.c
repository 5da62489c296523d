/* Tests of the DynamoDB requests and responses.  They guard against a write
   that lacks its condition, so that it overwrites a newer row or is made by an
   entry host that is no longer a member; a write that counts as failed
   although it may have been made; and a malformed row that is used.  */

#include "pl_table.h"

#include "dp_test.h"

#include <string.h>

/* A write of a new row is a PutItem that fails if the row exists.  */
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

/* A write that requires a version of the view is a transaction with conditions
   on both rows.  */
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
  static const char condition_failed[]
      = "{\"__type\":\"x#ConditionalCheckFailedException\"}";
  static const char condition_failed_in_transaction[]
      = "{\"__type\":\"x#TransactionCanceledException\","
        "\"CancellationReasons\":[{\"Code\":\"None\"},"
        "{\"Code\":\"ConditionalCheckFailed\"}]}";
  static const char transaction_conflict[]
      = "{\"__type\":\"x#TransactionCanceledException\","
        "\"CancellationReasons\":[{\"Code\":"
        "\"TransactionConflict\"}]}";
  static const char throttled[]
      = "{\"__type\":\"x#ProvisionedThroughputExceededException\"}";

  CU_ASSERT_EQUAL (pl_table_parse_write_result (200, "{}"), CO_STORE_OK);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, condition_failed),
                   CO_STORE_CONFLICT);
  CU_ASSERT_EQUAL (
      pl_table_parse_write_result (400, condition_failed_in_transaction),
      CO_STORE_CONFLICT);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, transaction_conflict),
                   CO_STORE_UNREACHABLE);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, throttled),
                   CO_STORE_UNREACHABLE);
  /* It is not known whether the row was written.  */
  CU_ASSERT_EQUAL (pl_table_parse_write_result (500, ""), CO_STORE_UNKNOWN);
  CU_ASSERT_EQUAL (pl_table_parse_write_result (400, "<html>"),
                   CO_STORE_UNKNOWN);
}

static void
test_rows (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  json_t *valid
      = json_pack ("{s:{s:s},s:{s:s},s:{s:s},s:{s:s}}", "pk", "S", "log", "sk",
                   "S", "01", "ver", "N", "7", "body", "B", "eA==");
  json_t *incomplete = json_pack ("{s:{s:s}}", "pk", "S", "log");
  struct co_row row = { 0 };
  char *object_key;

  CU_ASSERT_TRUE (pl_table_parse_row (mem, valid, &row, &object_key));
  CU_ASSERT_EQUAL (row.version, 7);
  CU_ASSERT_TRUE (row.body.len == 1 && row.body.data[0] == 'x');
  CU_ASSERT_PTR_NULL (object_key);
  CU_ASSERT_FALSE (pl_table_parse_row (mem, incomplete, &row, &object_key));
  json_decref (valid);
  json_decref (incomplete);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "new row is written only if it is absent",
            test_write_without_view_version },
          { "write is conditional on the view version",
            test_write_with_view_version },
          { "only a failed condition is a conflict", test_write_results },
          { "incomplete row is rejected", test_rows },
          { NULL, NULL } };

  return dp_test_main ("pl_table", tests);
}
