#include "pl_table.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static json_t *
text_attribute (const char *text)
{
  return json_pack ("{s:s}", "S", text);
}

static json_t *
number_attribute (uint64_t number)
{
  char text[32];

  snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, number);
  return json_pack ("{s:s}", "N", text);
}

static json_t *
binary_attribute (struct ba_bytes bytes)
{
  char *text = g_base64_encode (bytes.data, bytes.len);
  json_t *value = json_pack ("{s:s}", "B", text);

  g_free (text);
  return value;
}

static json_t *
primary_key (const char *partition, const char *sort_key)
{
  return json_pack ("{s:o,s:o}", "pk", text_attribute (partition), "sk",
                    text_attribute (sort_key));
}

/* Return the JSON text of ROOT, owned by MEM, and release ROOT.  */
static char *
dump_and_free (TALLOC_CTX *mem, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = talloc_strdup (mem, text);

  free (text);
  json_decref (root);
  return copy;
}

/* Return the parameters that PutItem and the Put of a transaction share.  */
static json_t *
put_parameters (const struct co_action_write *write, const char *object_key,
                int64_t expiry_time)
{
  json_t *item = primary_key (write->row.partition, write->row.sort_key);
  json_t *put;

  json_object_set_new (item, "ver", number_attribute (write->row.version));
  if (object_key != NULL)
    json_object_set_new (item, PL_OBJECT_KEY_ATTRIBUTE,
                         text_attribute (object_key));
  else
    json_object_set_new (item, "body", binary_attribute (write->row.body));
  if (expiry_time != 0)
    json_object_set_new (item, "ttl",
                         number_attribute ((uint64_t)expiry_time));
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
          json_pack ("{s:o}", ":v",
                     number_attribute (write->expected_version)));
    }
  return put;
}

/* Return the transaction item that makes the transaction fail unless the row
   of the view has VERSION.  */
static json_t *
view_version_check (uint64_t version)
{
  return json_pack ("{s:{s:s,s:o,s:s,s:{s:o}}}", "ConditionCheck", "TableName",
                    PL_TABLE_NAME, "Key", primary_key ("view", "current"),
                    "ConditionExpression", "ver = :g",
                    "ExpressionAttributeValues", ":g",
                    number_attribute (version));
}

struct pl_table_request
pl_table_write_request (TALLOC_CTX *mem, const struct co_action_write *write,
                        const char *object_key, int64_t expiry_time)
{
  struct pl_table_request request = { "DynamoDB_20120810.PutItem", NULL };
  json_t *put = put_parameters (write, object_key, expiry_time);

  if (write->required_view_version == 0)
    {
      request.body = dump_and_free (mem, put);
      return request;
    }
  request.target = "DynamoDB_20120810.TransactWriteItems";
  request.body = dump_and_free (
      mem, json_pack ("{s:[o,{s:o}]}", "TransactItems",
                      view_version_check (write->required_view_version), "Put",
                      put));
  return request;
}

struct pl_table_request
pl_table_get_request (TALLOC_CTX *mem, const char *partition,
                      const char *sort_key)
{
  struct pl_table_request request = { "DynamoDB_20120810.GetItem", NULL };

  request.body = dump_and_free (
      mem, json_pack ("{s:s,s:o,s:b}", "TableName", PL_TABLE_NAME, "Key",
                      primary_key (partition, sort_key), "ConsistentRead", 1));
  return request;
}

struct pl_table_request
pl_table_query_request (TALLOC_CTX *mem, const char *partition,
                        const char *after_sort_key, json_t *start_key)
{
  struct pl_table_request request = { "DynamoDB_20120810.Query", NULL };
  json_t *values = json_pack ("{s:o}", ":p", text_attribute (partition));
  json_t *query = json_pack ("{s:s,s:b}", "TableName", PL_TABLE_NAME,
                             "ConsistentRead", 1);

  /* DynamoDB rejects empty key values, so a query of all rows has no condition
     on the sort key.  */
  if (*after_sort_key != '\0')
    json_object_set_new (values, ":s", text_attribute (after_sort_key));
  json_object_set_new (query, "KeyConditionExpression",
                       json_string (*after_sort_key != '\0'
                                        ? "pk = :p AND sk > :s"
                                        : "pk = :p"));
  json_object_set_new (query, "ExpressionAttributeValues", values);
  if (start_key != NULL)
    json_object_set (query, "ExclusiveStartKey", start_key);
  request.body = dump_and_free (mem, query);
  return request;
}

/* Return whether the error response ROOT says that the transaction was
   cancelled because a condition failed.  Other causes, such as a conflict with
   a transaction in progress, are transient.  */
static bool
has_failed_condition (json_t *root)
{
  json_t *cancellation_reasons = json_object_get (root, "CancellationReasons");
  json_t *reason;
  size_t i;

  json_array_foreach (cancellation_reasons, i, reason)
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
    result = has_failed_condition (root) ? CO_STORE_CONFLICT
                                         : CO_STORE_UNREACHABLE;
  else if (type != NULL)
    result = CO_STORE_UNREACHABLE; /* throttled or invalid: not written */
  json_decref (root);
  return result;
}

/* Return the value of ITEM's attribute NAME, borrowed from ITEM, or NULL
   unless it has TYPE.  */
static const char *
attribute_value (json_t *item, const char *name, const char *type)
{
  return json_string_value (
      json_object_get (json_object_get (item, name), type));
}

bool
pl_table_parse_row (TALLOC_CTX *mem, json_t *item, struct co_row *row,
                    char **object_key)
{
  const char *partition = attribute_value (item, "pk", "S");
  const char *sort_key = attribute_value (item, "sk", "S");
  const char *version = attribute_value (item, "ver", "N");
  const char *body = attribute_value (item, "body", "B");
  const char *body_object_key
      = attribute_value (item, PL_OBJECT_KEY_ATTRIBUTE, "S");
  gsize len;
  guchar *data;

  if (partition == NULL || sort_key == NULL || version == NULL
      || (body == NULL && body_object_key == NULL))
    return false;
  row->partition = talloc_strdup (mem, partition);
  row->sort_key = talloc_strdup (mem, sort_key);
  row->version = strtoull (version, NULL, 10);
  *object_key = talloc_strdup (mem, body_object_key);
  if (body == NULL)
    return true;
  data = g_base64_decode (body, &len);
  row->body = ba_bytes_copy (mem, data, len);
  g_free (data);
  return true;
}
