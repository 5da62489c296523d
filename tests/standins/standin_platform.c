/* Stand-in for the platform in tests: a table service with the part of the
   DynamoDB JSON protocol that dogwoodpulley uses, an object store, and a list
   of hosts that can be rebooted.

   Usage: standin_platform IP:PORT [HOST ...]

   Each HOST starts in the state "live".  The request
   POST /control?NAME=VALUE&... sets the following switches, and returns the
   number of reads and writes of the table:

     down=0|1         close every connection without handling the request
     slow_ms=N        delay each response by N milliseconds
     lose=N           apply the next N writes of the table, but close the
                      connection instead of responding
     list_down=0|1    close connections that ask for the host list or for a
                      reboot, which still happens
     host=H&state=S   set the state of host H: live, leaving or gone
     reboot_ms=N      duration of a reboot, 200 by default  */

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
  MAX_PAGE_ITEM_COUNT = 200
};

struct host
{
  char state[16];
  guint64 boot_id;          /* counts up from 1 with each reboot */
  gint64 reboot_done_at_us; /* monotonic time; 0: not rebooting */
};

static GMutex state_lock;   /* guards everything below except the atomics */
static GTree *rows;         /* "PARTITION\x01SORT_KEY" -> json_t item */
static GHashTable *objects; /* name -> GBytes */
static GTree *hosts;        /* name -> struct host */
static atomic_bool platform_down, host_list_down;
static atomic_int response_delay_ms, remaining_reply_losses,
    reboot_time_ms = 200;
static guint64 read_count, write_count; /* requests to the table */

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

/* ---- table service ---- */

/* Return the value of the attribute NAME of ITEM, "" if ITEM has none of that
   name and TYPE: "S" for strings, "N" for numbers.  Borrowed.  */
static const char *
attribute_value (json_t *item, const char *name, const char *type)
{
  const char *value = json_string_value (
      json_object_get (json_object_get (item, name), type));

  return value ? value : "";
}

/* Return the key in rows for KEY, an item or its key attributes.  The caller
   frees it.  */
static char *
row_key (json_t *key)
{
  return g_strdup_printf ("%s\x01%s", attribute_value (key, "pk", "S"),
                          attribute_value (key, "sk", "S"));
}

/* Return the item stored under KEY, or NULL if there is none or its time to
   live has passed.  Borrowed.  */
static json_t *
find_row (const char *key)
{
  json_t *item = g_tree_lookup (rows, key);
  const char *ttl = attribute_value (item, "ttl", "N");

  if (item != NULL && *ttl != '\0' && atoll (ttl) < (long long)time (NULL))
    return NULL;
  return item;
}

/* Return whether the ConditionExpression of OPERATION holds for ITEM, which is
   NULL for a row that doesn't exist.  Any expression other than
   attribute_not_exists(pk) holds if the attribute "ver" equals one of the
   ExpressionAttributeValues.  */
static bool
condition_holds (json_t *operation, json_t *item)
{
  const char *expression
      = json_string_value (json_object_get (operation, "ConditionExpression"));
  json_t *values = json_object_get (operation, "ExpressionAttributeValues");
  const char *name;
  json_t *value;

  if (expression == NULL)
    return true;
  if (strcmp (expression, "attribute_not_exists(pk)") == 0)
    return item == NULL;
  json_object_foreach (values, name, value)
  {
    if (item != NULL
        && strcmp (attribute_value (item, "ver", "N"),
                   json_string_value (json_object_get (value, "N")))
               == 0)
      return true;
  }
  return false;
}

static bool
put_condition_holds (json_t *put)
{
  char *key = row_key (json_object_get (put, "Item"));
  bool conditions_hold = condition_holds (put, find_row (key));

  g_free (key);
  return conditions_hold;
}

static void
store_item (json_t *operation)
{
  json_t *item = json_object_get (operation, "Item");

  g_tree_replace (rows, row_key (item), json_deep_copy (item));
}

static void
respond_error (struct standin_response *response, const char *type,
               const char *extra_members)
{
  char *text = g_strdup_printf (
      "{\"__type\":\"com.amazonaws.dynamodb.v20120810#%s\"%s}", type,
      extra_members);

  standin_set_text (response, 400, "application/x-amz-json-1.0", text);
  g_free (text);
}

static void
handle_put_item (json_t *root, struct standin_response *response)
{
  write_count++;
  if (!put_condition_holds (root))
    {
      respond_error (response, "ConditionalCheckFailedException", "");
      return;
    }
  store_item (root);
  standin_set_text (response, 200, "application/x-amz-json-1.0", "{}");
}

static void
handle_transact_write_items (json_t *root, struct standin_response *response)
{
  json_t *items = json_object_get (root, "TransactItems");
  json_t *item;
  size_t i;
  bool conditions_hold = true;

  write_count++;
  json_array_foreach (items, i, item)
  {
    json_t *check = json_object_get (item, "ConditionCheck");
    json_t *write = json_object_get (item, "Put");

    if (check != NULL)
      {
        char *key = row_key (json_object_get (check, "Key"));

        conditions_hold
            = conditions_hold && condition_holds (check, find_row (key));
        g_free (key);
      }
    if (write != NULL)
      conditions_hold = conditions_hold && put_condition_holds (write);
  }
  if (!conditions_hold)
    {
      respond_error (
          response, "TransactionCanceledException",
          ",\"CancellationReasons\":[{\"Code\":\"ConditionalCheckFailed\"}"
          "]");
      return;
    }
  json_array_foreach (items, i, item)
  {
    if (json_object_get (item, "Put") != NULL)
      store_item (json_object_get (item, "Put"));
  }
  standin_set_text (response, 200, "application/x-amz-json-1.0", "{}");
}

static void
respond_json (struct standin_response *response, json_t *root)
{
  response->status = 200;
  response->content_type = "application/x-amz-json-1.0";
  response->body = json_dumps (root, JSON_COMPACT);
  response->body_len = strlen (response->body);
  json_decref (root);
}

static void
handle_get_item (json_t *root, struct standin_response *response)
{
  char *key = row_key (json_object_get (root, "Key"));
  json_t *item = find_row (key);
  json_t *result = json_object ();

  read_count++;
  if (item != NULL)
    json_object_set (result, "Item", item);
  respond_json (response, result);
  g_free (key);
}

/* A page of the result of a query.  */
struct page
{
  const char *partition;
  const char *after_sort_key; /* exclusive */
  json_t *items;
  json_t *last_key; /* of the last item if the page is full, else NULL */
};

/* GTree traversal function: add the row to the page DATA if it belongs there.
   Return TRUE, which stops the traversal, when the page is full.  */
static gboolean
append_row (gpointer key, gpointer value, gpointer data)
{
  struct page *page = data;
  json_t *item = value;

  if (strcmp (attribute_value (item, "pk", "S"), page->partition) != 0
      || strcmp (attribute_value (item, "sk", "S"), page->after_sort_key) <= 0
      || find_row (key) == NULL)
    return FALSE;
  json_array_append (page->items, item);
  if (json_array_size (page->items) < MAX_PAGE_ITEM_COUNT)
    return FALSE;
  page->last_key = json_pack ("{s:O,s:O}", "pk", json_object_get (item, "pk"),
                              "sk", json_object_get (item, "sk"));
  return TRUE;
}

static void
handle_query (json_t *root, struct standin_response *response)
{
  json_t *values = json_object_get (root, "ExpressionAttributeValues");
  json_t *start_key = json_object_get (root, "ExclusiveStartKey");
  struct page page
      = { attribute_value (values, ":p", "S"),
          attribute_value (values, ":s", "S"), json_array (), NULL };
  json_t *result = json_object ();

  read_count++;
  if (start_key != NULL)
    page.after_sort_key = attribute_value (start_key, "sk", "S");
  g_tree_foreach (rows, append_row, &page);
  json_object_set_new (result, "Items", page.items);
  if (page.last_key != NULL)
    json_object_set_new (result, "LastEvaluatedKey", page.last_key);
  respond_json (response, result);
}

static void
handle_table (const struct standin_request *request,
              struct standin_response *response)
{
  const char *operation = standin_get_header (request, "X-Amz-Target");
  json_t *root = json_loads (request->body, 0, NULL);
  bool is_write = strstr (operation, "Put") || strstr (operation, "Transact");

  if (strstr (standin_get_header (request, "Authorization"),
              "AWS4-HMAC-SHA256")
      == NULL)
    respond_error (response, "MissingAuthenticationTokenException", "");
  else if (strstr (operation, "PutItem"))
    handle_put_item (root, response);
  else if (strstr (operation, "TransactWriteItems"))
    handle_transact_write_items (root, response);
  else if (strstr (operation, "GetItem"))
    handle_get_item (root, response);
  else if (strstr (operation, "Query"))
    handle_query (root, response);
  else
    respond_error (response, "UnknownOperationException", "");
  json_decref (root);
  if (is_write && atomic_load (&remaining_reply_losses) > 0)
    {
      atomic_fetch_sub (&remaining_reply_losses, 1);
      response->close_connection = true;
    }
}

/* ---- object store ---- */

static void
handle_object (const struct standin_request *request,
               struct standin_response *response)
{
  GBytes *object;
  gsize len;

  if (strcmp (request->method, "PUT") == 0)
    {
      g_hash_table_replace (objects, g_strdup (request->path),
                            g_bytes_new (request->body, request->body_len));
      standin_set_text (response, 200, NULL, "");
      return;
    }
  object = g_hash_table_lookup (objects, request->path);
  if (object == NULL)
    {
      standin_set_text (response, 404, "text/plain", "NoSuchKey");
      return;
    }
  response->body = malloc (g_bytes_get_size (object) + 1);
  memcpy (response->body, g_bytes_get_data (object, &len),
          g_bytes_get_size (object));
  response->body_len = g_bytes_get_size (object);
}

/* ---- host list ---- */

static struct host *
get_or_add_host (const char *name)
{
  struct host *host = g_tree_lookup (hosts, name);

  if (host != NULL)
    return host;
  host = g_new0 (struct host, 1);
  strcpy (host->state, "live");
  host->boot_id = 1;
  g_tree_insert (hosts, g_strdup (name), host);
  return host;
}

/* GTree traversal function: complete the reboot of the host if it is due, and
   add the host to the JSON array DATA unless it is gone or rebooting.  */
static gboolean
append_host (gpointer key, gpointer value, gpointer data)
{
  struct host *host = value;

  if (host->reboot_done_at_us != 0
      && g_get_monotonic_time () >= host->reboot_done_at_us)
    {
      host->reboot_done_at_us = 0;
      host->boot_id++;
      strcpy (host->state, "live");
    }
  if (strcmp (host->state, "gone") != 0 && host->reboot_done_at_us == 0)
    json_array_append_new (data, json_pack ("{s:s,s:s,s:I}", "name", key,
                                            "state", host->state, "boot",
                                            (json_int_t)host->boot_id));
  return FALSE;
}

static void
handle_hosts (const struct standin_request *request,
              struct standin_response *response)
{
  json_t *list = json_array ();
  char **segments = g_strsplit (request->path, "/", -1);

  if (atomic_load (&host_list_down))
    response->close_connection = true;
  if (g_strv_length (segments) == 4 && strcmp (segments[3], "reboot") == 0)
    {
      struct host *host = get_or_add_host (segments[2]);

      /* Ignore a repeated request, which has the boot ID from before the
         reboot.  */
      if (host->reboot_done_at_us == 0
          && host->boot_id
                 == strtoull (standin_get_query (request, "boot"), NULL, 10))
        host->reboot_done_at_us
            = g_get_monotonic_time ()
              + (gint64)atomic_load (&reboot_time_ms) * 1000;
    }
  g_tree_foreach (hosts, append_host, list);
  respond_json (response, json_pack ("{s:o}", "hosts", list));
  g_strfreev (segments);
}

/* ---- switches ---- */

static void
set_int_switch (const struct standin_request *request, const char *name,
                atomic_int *value)
{
  const char *text = standin_get_query (request, name);

  if (*text != '\0')
    atomic_store (value, atoi (text));
}

static void
set_bool_switch (const struct standin_request *request, const char *name,
                 atomic_bool *value)
{
  const char *text = standin_get_query (request, name);

  if (*text != '\0')
    atomic_store (value, atoi (text) != 0);
}

static void
handle_control (const struct standin_request *request,
                struct standin_response *response)
{
  const char *name = standin_get_query (request, "host");
  const char *state = standin_get_query (request, "state");
  char text[128];

  set_bool_switch (request, "down", &platform_down);
  set_bool_switch (request, "list_down", &host_list_down);
  set_int_switch (request, "slow_ms", &response_delay_ms);
  set_int_switch (request, "lose", &remaining_reply_losses);
  set_int_switch (request, "reboot_ms", &reboot_time_ms);
  if (*name != '\0')
    {
      struct host *host = get_or_add_host (name);

      if (*state != '\0' && strlen (state) < sizeof host->state)
        strcpy (host->state, state);
    }
  snprintf (text, sizeof text,
            "{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
            "}\n",
            read_count, write_count);
  standin_set_text (response, 200, "application/json", text);
}

static void
handle_request (const struct standin_request *request,
                struct standin_response *response)
{
  bool is_control = strcmp (request->path, "/control") == 0;

  if (!is_control && atomic_load (&platform_down))
    {
      response->close_connection = true;
      return;
    }
  if (!is_control && atomic_load (&response_delay_ms) > 0)
    usleep ((useconds_t)atomic_load (&response_delay_ms) * 1000);
  g_mutex_lock (&state_lock);
  if (is_control)
    handle_control (request, response);
  else if (strncmp (request->path, "/hosts", 6) == 0)
    handle_hosts (request, response);
  else if (strcmp (request->method, "POST") == 0)
    handle_table (request, response);
  else
    handle_object (request, response);
  g_mutex_unlock (&state_lock);
}

static void
decref_item (gpointer item)
{
  json_decref (item);
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    return EXIT_FAILURE;
  rows = g_tree_new_full (compare_keys, NULL, g_free, decref_item);
  objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                   (GDestroyNotify)g_bytes_unref);
  hosts = g_tree_new_full (compare_keys, NULL, g_free, g_free);
  for (int i = 2; i < argc; i++)
    get_or_add_host (argv[i]);
  return standin_run_server (argv[1], handle_request);
}
