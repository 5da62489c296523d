/* Stand-in for the platform: a table service that speaks the part of the
   DynamoDB JSON protocol that dogwoodpulley uses, an object store, and a list
   of hosts.

   Switches, by POST /control?NAME=VALUE:
     down=1           close every connection without doing anything
     slow_ms=N        answer N milliseconds late
     lose=N           carry out the next N writes but don't answer them
     list_down=1      the host list does not answer
     host=H&state=S   set the state of a host: live, leaving or gone
     reboot_ms=N      how long a reboot takes  */

#include "standin_http.h"

#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  PAGE_ITEMS = 200
};

struct host
{
  char state[16];
  guint64 boot;
  gint64 back_at; /* while it reboots: when it is back */
};

static GMutex lock;
static GTree *rows;         /* "PARTITION\x01SORT" -> json_t item */
static GHashTable *objects; /* name -> GBytes */
static GTree *hosts;        /* name -> struct host */
static atomic_bool down, list_down;
static atomic_int slow_ms, lose, reboot_ms = 200;
static guint64 reads, writes;

static gint
compare (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

/* ---- the table ---- */

static const char *
attribute (json_t *item, const char *name, const char *type)
{
  const char *value = json_string_value (
      json_object_get (json_object_get (item, name), type));

  return value ? value : "";
}

static char *
row_key (json_t *key)
{
  return g_strdup_printf ("%s\x01%s", attribute (key, "pk", "S"),
                          attribute (key, "sk", "S"));
}

/* Return the row under KEY unless its time to live has passed.  */
static json_t *
find_row (const char *key)
{
  json_t *item = g_tree_lookup (rows, key);
  const char *ttl = attribute (item, "ttl", "N");

  if (item != NULL && *ttl != '\0' && atoll (ttl) < (long long)time (NULL))
    return NULL;
  return item;
}

/* Return whether the condition of OPERATION holds for ITEM.  */
static bool
condition_holds (json_t *operation, json_t *item)
{
  const char *text
      = json_string_value (json_object_get (operation, "ConditionExpression"));
  json_t *values = json_object_get (operation, "ExpressionAttributeValues");
  const char *name;
  json_t *value;

  if (text == NULL)
    return true;
  if (strcmp (text, "attribute_not_exists(pk)") == 0)
    return item == NULL;
  json_object_foreach (values, name, value)
  {
    if (item != NULL
        && strcmp (attribute (item, "ver", "N"),
                   json_string_value (json_object_get (value, "N")))
               == 0)
      return true;
  }
  return false;
}

static bool
put_allowed (json_t *put)
{
  char *key = row_key (json_object_get (put, "Item"));
  bool allowed = condition_holds (put, find_row (key));

  g_free (key);
  return allowed;
}

static void
put (json_t *operation)
{
  json_t *item = json_object_get (operation, "Item");

  g_tree_replace (rows, row_key (item), json_deep_copy (item));
}

static void
fail (struct standin_response *answer, const char *type, const char *extra)
{
  char *text = g_strdup_printf (
      "{\"__type\":\"com.amazonaws.dynamodb.v20120810#%s\"%s}", type, extra);

  standin_set_text (answer, 400, "application/x-amz-json-1.0", text);
  g_free (text);
}

static void
put_item (json_t *root, struct standin_response *answer)
{
  writes++;
  if (!put_allowed (root))
    {
      fail (answer, "ConditionalCheckFailedException", "");
      return;
    }
  put (root);
  standin_set_text (answer, 200, "application/x-amz-json-1.0", "{}");
}

static void
transact (json_t *root, struct standin_response *answer)
{
  json_t *items = json_object_get (root, "TransactItems");
  json_t *item;
  size_t i;
  bool allowed = true;

  writes++;
  json_array_foreach (items, i, item)
  {
    json_t *check = json_object_get (item, "ConditionCheck");
    json_t *write = json_object_get (item, "Put");

    if (check != NULL)
      {
        char *key = row_key (json_object_get (check, "Key"));

        allowed = allowed && condition_holds (check, find_row (key));
        g_free (key);
      }
    if (write != NULL)
      allowed = allowed && put_allowed (write);
  }
  if (!allowed)
    {
      fail (answer, "TransactionCanceledException",
            ",\"CancellationReasons\":[{\"Code\":\"ConditionalCheckFailed\"}"
            "]");
      return;
    }
  json_array_foreach (items, i, item)
  {
    if (json_object_get (item, "Put") != NULL)
      put (json_object_get (item, "Put"));
  }
  standin_set_text (answer, 200, "application/x-amz-json-1.0", "{}");
}

static void
answer_json (struct standin_response *answer, json_t *root)
{
  answer->status = 200;
  answer->content_type = "application/x-amz-json-1.0";
  answer->body = json_dumps (root, JSON_COMPACT);
  answer->body_len = strlen (answer->body);
  json_decref (root);
}

static void
get_item (json_t *root, struct standin_response *answer)
{
  char *key = row_key (json_object_get (root, "Key"));
  json_t *item = find_row (key);
  json_t *out = json_object ();

  reads++;
  if (item != NULL)
    json_object_set (out, "Item", item);
  answer_json (answer, out);
  g_free (key);
}

struct scan
{
  const char *partition;
  const char *after;
  json_t *items;
  json_t *last; /* set when the page is full */
};

static gboolean
scan_row (gpointer key, gpointer value, gpointer data)
{
  struct scan *scan = data;
  json_t *item = value;

  if (strcmp (attribute (item, "pk", "S"), scan->partition) != 0
      || strcmp (attribute (item, "sk", "S"), scan->after) <= 0
      || find_row (key) == NULL)
    return FALSE;
  json_array_append (scan->items, item);
  if (json_array_size (scan->items) < PAGE_ITEMS)
    return FALSE;
  scan->last = json_pack ("{s:O,s:O}", "pk", json_object_get (item, "pk"),
                          "sk", json_object_get (item, "sk"));
  return TRUE;
}

static void
query (json_t *root, struct standin_response *answer)
{
  json_t *values = json_object_get (root, "ExpressionAttributeValues");
  json_t *start = json_object_get (root, "ExclusiveStartKey");
  struct scan scan = { attribute (values, ":p", "S"),
                       attribute (values, ":s", "S"), json_array (), NULL };
  json_t *out = json_object ();

  reads++;
  if (start != NULL)
    scan.after = attribute (start, "sk", "S");
  g_tree_foreach (rows, scan_row, &scan);
  json_object_set_new (out, "Items", scan.items);
  if (scan.last != NULL)
    json_object_set_new (out, "LastEvaluatedKey", scan.last);
  answer_json (answer, out);
}

static void
serve_table (const struct standin_request *request,
             struct standin_response *answer)
{
  const char *target = standin_get_header (request, "X-Amz-Target");
  json_t *root = json_loads (request->body, 0, NULL);
  bool is_write = strstr (target, "Put") || strstr (target, "Transact");

  if (strstr (standin_get_header (request, "Authorization"),
              "AWS4-HMAC-SHA256")
      == NULL)
    fail (answer, "MissingAuthenticationTokenException", "");
  else if (strstr (target, "PutItem"))
    put_item (root, answer);
  else if (strstr (target, "TransactWriteItems"))
    transact (root, answer);
  else if (strstr (target, "GetItem"))
    get_item (root, answer);
  else if (strstr (target, "Query"))
    query (root, answer);
  else
    fail (answer, "UnknownOperationException", "");
  json_decref (root);
  if (is_write && atomic_load (&lose) > 0)
    {
      atomic_fetch_sub (&lose, 1);
      answer->close_connection = true;
    }
}

/* ---- objects ---- */

static void
serve_object (const struct standin_request *request,
              struct standin_response *answer)
{
  GBytes *bytes;
  gsize len;

  if (strcmp (request->method, "PUT") == 0)
    {
      g_hash_table_replace (objects, g_strdup (request->path),
                            g_bytes_new (request->body, request->body_len));
      standin_set_text (answer, 200, NULL, "");
      return;
    }
  bytes = g_hash_table_lookup (objects, request->path);
  if (bytes == NULL)
    {
      standin_set_text (answer, 404, "text/plain", "NoSuchKey");
      return;
    }
  answer->body = malloc (g_bytes_get_size (bytes) + 1);
  memcpy (answer->body, g_bytes_get_data (bytes, &len),
          g_bytes_get_size (bytes));
  answer->body_len = g_bytes_get_size (bytes);
}

/* ---- hosts ---- */

static struct host *
host_get (const char *name)
{
  struct host *host = g_tree_lookup (hosts, name);

  if (host != NULL)
    return host;
  host = g_new0 (struct host, 1);
  strcpy (host->state, "live");
  host->boot = 1;
  g_tree_insert (hosts, g_strdup (name), host);
  return host;
}

static gboolean
list_host (gpointer key, gpointer value, gpointer data)
{
  struct host *host = value;

  if (host->back_at != 0 && g_get_monotonic_time () >= host->back_at)
    {
      host->back_at = 0;
      host->boot++;
      strcpy (host->state, "live");
    }
  if (strcmp (host->state, "gone") != 0 && host->back_at == 0)
    json_array_append_new (data, json_pack ("{s:s,s:s,s:I}", "name", key,
                                            "state", host->state, "boot",
                                            (json_int_t)host->boot));
  return FALSE;
}

static void
serve_hosts (const struct standin_request *request,
             struct standin_response *answer)
{
  json_t *list = json_array ();
  char **parts = g_strsplit (request->path, "/", -1);

  if (atomic_load (&list_down))
    answer->close_connection = true;
  if (g_strv_length (parts) == 4 && strcmp (parts[3], "reboot") == 0)
    {
      struct host *host = host_get (parts[2]);

      /* Ordered again for a boot that has passed: nothing to do.  */
      if (host->back_at == 0
          && host->boot
                 == strtoull (standin_get_query (request, "boot"), NULL, 10))
        host->back_at = g_get_monotonic_time ()
                        + (gint64)atomic_load (&reboot_ms) * 1000;
    }
  g_tree_foreach (hosts, list_host, list);
  answer_json (answer, json_pack ("{s:o}", "hosts", list));
  g_strfreev (parts);
}

/* ---- control ---- */

static void
set_int (const struct standin_request *request, const char *name,
         atomic_int *value)
{
  const char *text = standin_get_query (request, name);

  if (*text != '\0')
    atomic_store (value, atoi (text));
}

static void
set_flag (const struct standin_request *request, const char *name,
          atomic_bool *value)
{
  const char *text = standin_get_query (request, name);

  if (*text != '\0')
    atomic_store (value, atoi (text) != 0);
}

static void
serve_control (const struct standin_request *request,
               struct standin_response *answer)
{
  const char *name = standin_get_query (request, "host");
  const char *state = standin_get_query (request, "state");
  char text[128];

  set_flag (request, "down", &down);
  set_flag (request, "list_down", &list_down);
  set_int (request, "slow_ms", &slow_ms);
  set_int (request, "lose", &lose);
  set_int (request, "reboot_ms", &reboot_ms);
  if (*name != '\0')
    {
      struct host *host = host_get (name);

      if (*state != '\0' && strlen (state) < sizeof host->state)
        strcpy (host->state, state);
    }
  snprintf (text, sizeof text,
            "{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
            "}\n",
            reads, writes);
  standin_set_text (answer, 200, "application/json", text);
}

static void
serve (const struct standin_request *request, struct standin_response *answer)
{
  bool control = strcmp (request->path, "/control") == 0;

  if (!control && atomic_load (&down))
    {
      answer->close_connection = true;
      return;
    }
  if (!control && atomic_load (&slow_ms) > 0)
    usleep ((useconds_t)atomic_load (&slow_ms) * 1000);
  g_mutex_lock (&lock);
  if (control)
    serve_control (request, answer);
  else if (strncmp (request->path, "/hosts", 6) == 0)
    serve_hosts (request, answer);
  else if (strcmp (request->method, "POST") == 0)
    serve_table (request, answer);
  else
    serve_object (request, answer);
  g_mutex_unlock (&lock);
}

static void
free_item (gpointer item)
{
  json_decref (item);
}

/* Usage: standin_platform ADDRESS [HOST ...]  */
int
main (int argc, char **argv)
{
  if (argc < 2)
    return EXIT_FAILURE;
  rows = g_tree_new_full (compare, NULL, g_free, free_item);
  objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                   (GDestroyNotify)g_bytes_unref);
  hosts = g_tree_new_full (compare, NULL, g_free, g_free);
  for (int i = 2; i < argc; i++)
    host_get (argv[i]);
  return standin_run_server (argv[1], serve);
}
