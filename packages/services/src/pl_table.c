#include "pl_table.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static json_t *
text_value (const char *text)
{
  return json_pack ("{s:s}", "S", text);
}

static json_t *
number_value (uint64_t number)
{
  char text[32];

  snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, number);
  return json_pack ("{s:s}", "N", text);
}

static json_t *
bytes_value (struct ba_bytes bytes)
{
  char *text = g_base64_encode (bytes.data, bytes.len);
  json_t *value = json_pack ("{s:s}", "B", text);

  g_free (text);
  return value;
}

static json_t *
key_value (const char *partition, const char *sort)
{
  return json_pack ("{s:o,s:o}", "pk", text_value (partition), "sk",
                    text_value (sort));
}

/* Give the text of ROOT, which is released, to MEM.  */
static char *
dump (TALLOC_CTX *mem, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = talloc_strdup (mem, text);

  free (text);
  json_decref (root);
  return copy;
}

/* Return the members that a PutItem and a Put of a transaction share.  */
static json_t *
put_members (const struct co_action_write *write, const char *reference,
             int64_t expires)
{
  json_t *item = key_value (write->row.partition, write->row.sort_key);
  json_t *put;

  json_object_set_new (item, "ver", number_value (write->row.version));
  if (reference != NULL)
    json_object_set_new (item, PL_OBJECT_KEY_ATTRIBUTE,
                         text_value (reference));
  else
    json_object_set_new (item, "body", bytes_value (write->row.body));
  if (expires != 0)
    json_object_set_new (item, "ttl", number_value ((uint64_t)expires));
  put = json_pack ("{s:s,s:o}", "TableName", PL_TABLE_NAME, "Item", item);
  if (write->expected_version == 0)
    json_object_set_new (put, "ConditionExpression",
                         json_string ("attribute_not_exists(pk)"));
  else
    {
      json_object_set_new (put, "ConditionExpression",
                           json_string ("ver = :v"));
      json_object_set_new (
          put, "ExpressionAttributeValues",
          json_pack ("{s:o}", ":v", number_value (write->expected_version)));
    }
  return put;
}

static json_t *
guard_check (uint64_t version)
{
  return json_pack ("{s:{s:s,s:o,s:s,s:{s:o}}}", "ConditionCheck", "TableName",
                    PL_TABLE_NAME, "Key", key_value ("view", "current"),
                    "ConditionExpression", "ver = :g",
                    "ExpressionAttributeValues", ":g", number_value (version));
}

struct pl_table_request
pl_table_write_request (TALLOC_CTX *mem, const struct co_action_write *write,
                        const char *reference, int64_t expires)
{
  struct pl_table_request request = { "DynamoDB_20120810.PutItem", NULL };
  json_t *put = put_members (write, reference, expires);

  if (write->required_view_version == 0)
    {
      request.body = dump (mem, put);
      return request;
    }
  request.target = "DynamoDB_20120810.TransactWriteItems";
  request.body = dump (
      mem, json_pack ("{s:[o,{s:o}]}", "TransactItems",
                      guard_check (write->required_view_version), "Put", put));
  return request;
}

struct pl_table_request
pl_table_get_request (TALLOC_CTX *mem, const char *partition, const char *sort)
{
  struct pl_table_request request = { "DynamoDB_20120810.GetItem", NULL };

  request.body = dump (
      mem, json_pack ("{s:s,s:o,s:b}", "TableName", PL_TABLE_NAME, "Key",
                      key_value (partition, sort), "ConsistentRead", 1));
  return request;
}

struct pl_table_request
pl_table_query_request (TALLOC_CTX *mem, const char *partition,
                        const char *after, json_t *start)
{
  struct pl_table_request request = { "DynamoDB_20120810.Query", NULL };
  json_t *values = json_pack ("{s:o}", ":p", text_value (partition));
  json_t *query = json_pack ("{s:s,s:b}", "TableName", PL_TABLE_NAME,
                             "ConsistentRead", 1);

  /* Key values must not be empty, so "all rows" has no second condition.  */
  if (*after != '\0')
    json_object_set_new (values, ":s", text_value (after));
  json_object_set_new (
      query, "KeyConditionExpression",
      json_string (*after != '\0' ? "pk = :p AND sk > :s" : "pk = :p"));
  json_object_set_new (query, "ExpressionAttributeValues", values);
  if (start != NULL)
    json_object_set (query, "ExclusiveStartKey", start);
  request.body = dump (mem, query);
  return request;
}

/* Return whether a cancelled transaction was cancelled by a condition.  Other
   causes, such as a conflict with a transaction under way, are passing.  */
static bool
condition_failed (json_t *root)
{
  json_t *reasons = json_object_get (root, "CancellationReasons");
  json_t *reason;
  size_t i;

  json_array_foreach (reasons, i, reason)
  {
    const char *code = json_string_value (json_object_get (reason, "Code"));

    if (code != NULL && strcmp (code, "ConditionalCheckFailed") == 0)
      return true;
  }
  return false;
}

enum co_store_result
pl_table_parse_write_result (unsigned status, const char *body)
{
  json_t *root;
  const char *type;
  enum co_store_result result = CO_STORE_UNKNOWN;

  if (status == 200)
    return CO_STORE_OK;
  if (status != 400)
    return CO_STORE_UNKNOWN;
  root = json_loads (body, 0, NULL);
  type = json_string_value (json_object_get (root, "__type"));
  if (type != NULL && strstr (type, "ConditionalCheckFailedException"))
    result = CO_STORE_CONFLICT;
  else if (type != NULL && strstr (type, "TransactionCanceledException"))
    result
        = condition_failed (root) ? CO_STORE_CONFLICT : CO_STORE_UNREACHABLE;
  else if (type != NULL)
    result = CO_STORE_UNREACHABLE; /* throttled or refused: not written */
  json_decref (root);
  return result;
}

static const char *
member (json_t *item, const char *name, const char *type)
{
  return json_string_value (
      json_object_get (json_object_get (item, name), type));
}

bool
pl_table_parse_row (TALLOC_CTX *mem, json_t *item, struct co_row *row,
                    char **reference)
{
  const char *partition = member (item, "pk", "S");
  const char *sort = member (item, "sk", "S");
  const char *version = member (item, "ver", "N");
  const char *body = member (item, "body", "B");
  const char *object = member (item, PL_OBJECT_KEY_ATTRIBUTE, "S");
  gsize len;
  guchar *data;

  if (partition == NULL || sort == NULL || version == NULL
      || (body == NULL && object == NULL))
    return false;
  row->partition = talloc_strdup (mem, partition);
  row->sort_key = talloc_strdup (mem, sort);
  row->version = strtoull (version, NULL, 10);
  *reference = talloc_strdup (mem, object);
  if (body == NULL)
    return true;
  data = g_base64_decode (body, &len);
  row->body = ba_bytes_copy (mem, data, len);
  g_free (data);
  return true;
}
