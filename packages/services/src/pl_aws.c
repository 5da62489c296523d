/* Platform driver for DynamoDB, S3 and a list of hosts over HTTP.

   The body of a row that is too large for a table item is kept in the object
   store, under the digest of its bytes as the key, and the row holds that key.
   An object is written before the row that refers to it and never changed, so
   a row that can be read always has its body.  */

#include "pl_platform.h"

#include "ba_clock.h"
#include "ht_client.h"
#include "pl_table.h"

#include <glib.h>
#include <string.h>
#include <time.h>

enum
{
  MAX_INLINE_BODY_BYTES = 64 * 1024, /* stored in the table item itself */
  MAX_RESPONSE_BYTES = 64 * 1024 * 1024,
  CLIENT_RING_CAPACITY = 4096,
  MAX_ROW_COUNT = 100000 /* of one read */
};

struct aws_driver
{
  struct pl_platform platform; /* must be first: pointers to it are cast */
  struct ht_client *client;
  struct pl_aws_options options;
  char *credentials; /* "ID:SECRET" to sign requests with */
  /* CURLOPT_AWS_SIGV4 provider strings.  */
  char *table_sigv4;
  char *object_store_sigv4;
};

enum operation_step
{
  STEP_WRITE_ROW,
  STEP_WRITE_OBJECT, /* before STEP_WRITE_ROW, for a large body */
  STEP_READ_ROWS,
  STEP_POLL_VIEW,
  STEP_POLL_LOG,    /* after STEP_POLL_VIEW */
  STEP_READ_OBJECT, /* after a step that has read rows */
  STEP_LIST_HOSTS,
  STEP_REBOOT
};

/* An operation of the driver.  It takes one or more HTTP exchanges, one after
   another.  It has no talloc parent and is freed when it ends.  */
struct operation
{
  struct aws_driver *aws;
  enum operation_step step;
  /* STEP_READ_OBJECT: the step that has read the rows.  */
  enum operation_step interrupted_step;
  GByteArray *response; /* body of the current exchange's response */
  int64_t start_time;   /* ba_clock_now_us */
  /* Of a write.  */
  struct co_action_write *write;
  char *object_key; /* of the object that holds the body, or NULL */
  /* Of a read or poll.  */
  struct co_event *event; /* to be emitted at the end */
  char *partition;
  char *after_sort_key; /* only rows with a greater sort key are read */
  struct co_row *rows;
  /* By row: the key of the object that holds its body, or NULL.  */
  char **object_keys;
  uint32_t row_count;
  uint32_t next_object_row; /* next row whose body may be in an object */
};

static int
operation_destroy (struct operation *operation)
{
  g_byte_array_free (operation->response, TRUE);
  return 0;
}

static struct operation *
operation_new (struct aws_driver *aws, enum operation_step step)
{
  struct operation *operation = talloc_zero (NULL, struct operation);

  operation->aws = aws;
  operation->step = step;
  operation->response = g_byte_array_new ();
  operation->start_time = ba_clock_now_us ();
  talloc_set_destructor (operation, operation_destroy);
  return operation;
}

static struct co_event *
event_new (uint32_t type)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);

  event->type = type;
  return event;
}

static void exchange_done (struct ht_exchange *exchange, void *context,
                           enum ht_result result, unsigned status);

/* Append LEN bytes of a response body to the operation CONTEXT.  */
static bool
append_response (struct ht_exchange *exchange, void *context, const void *data,
                 size_t len)
{
  struct operation *operation = context;

  (void)exchange;
  /* Limit the memory that a response takes: drop the data beyond it.  */
  if (operation->response->len + len <= MAX_RESPONSE_BYTES)
    g_byte_array_append (operation->response, data, (guint)len);
  return true;
}

static const struct ht_client_handlers exchange_handlers
    = { .body = append_response, .done = exchange_done };

static bool
is_read (enum operation_step step)
{
  return step == STEP_READ_ROWS || step == STEP_POLL_VIEW
         || step == STEP_POLL_LOG || step == STEP_READ_OBJECT
         || step == STEP_LIST_HOSTS;
}

/* Submit REQUEST for OPERATION.  If the HTTP client's queue is full, OPERATION
   continues as after a request that could not be sent.  */
static void
submit_request (struct operation *operation, struct ht_request *request)
{
  struct aws_driver *aws = operation->aws;

  g_byte_array_set_size (operation->response, 0);
  request->timeout_ms = aws->options.settings->timeout_ms;
  request->timeout_per_step = true;
  if (is_read (operation->step))
    request->idle_timeout_ms = request->timeout_ms;
  if (!ht_client_submit (aws->client, request, &exchange_handlers, operation))
    exchange_done (NULL, operation, HT_RESULT_NOT_SENT, 0);
}

/* Submit TABLE_REQUEST.  If SEND_ONCE, the HTTP client must not repeat it.  */
static void
submit_table_request (struct operation *operation,
                      const struct pl_table_request *table_request,
                      bool send_once)
{
  struct aws_driver *aws = operation->aws;
  struct ht_header headers[]
      = { { "Content-Type", "application/x-amz-json-1.0" },
          { "X-Amz-Target", table_request->target } };
  struct ht_request request = { .method = "POST" };

  request.url = aws->options.settings->table;
  request.headers = headers;
  request.header_count = G_N_ELEMENTS (headers);
  request.body = table_request->body;
  request.body_len = strlen (table_request->body);
  request.no_retry = send_once;
  request.sigv4 = aws->table_sigv4;
  request.credentials = aws->credentials;
  submit_request (operation, &request);
}

/* Submit a request with METHOD for the object NAME.  */
static void
submit_object_request (struct operation *operation, const char *method,
                       const char *name, struct ba_bytes body)
{
  struct aws_driver *aws = operation->aws;
  struct ht_request request = { .method = method };
  char *url = talloc_asprintf (operation, "%s/dogwoodpulley/%s",
                               aws->options.settings->object_store, name);

  request.url = url;
  request.body = body.data;
  request.body_len = body.len;
  request.sigv4 = aws->object_store_sigv4;
  request.credentials = aws->credentials;
  submit_request (operation, &request);
}

/* ---- writes ---- */

static void
write_row (struct operation *operation)
{
  int64_t expiry_time = 0;
  struct pl_table_request request;

  operation->step = STEP_WRITE_ROW;
  if (operation->write->lifetime_s != 0)
    expiry_time = (int64_t)time (NULL) + operation->write->lifetime_s;
  request = pl_table_write_request (operation, operation->write,
                                    operation->object_key, expiry_time);
  submit_table_request (operation, &request, true);
}

/* Start to carry out WRITE, which is copied.  If its body is large, first
   write the object that holds the body, then the row.  */
static void
start_write (struct aws_driver *aws, const struct co_action_write *write)
{
  struct operation *operation = operation_new (aws, STEP_WRITE_ROW);
  struct ba_bytes body = write->row.body;

  operation->write = talloc_memdup (operation, write, sizeof *write);
  operation->write->row.partition
      = talloc_strdup (operation, write->row.partition);
  operation->write->row.sort_key
      = talloc_strdup (operation, write->row.sort_key);
  operation->write->row.body = ba_bytes_copy (operation, body.data, body.len);
  if (body.len > MAX_INLINE_BODY_BYTES)
    {
      char *digest = g_compute_checksum_for_data (G_CHECKSUM_SHA256, body.data,
                                                  body.len);

      operation->step = STEP_WRITE_OBJECT;
      operation->object_key = talloc_asprintf (operation, "row/%s", digest);
      g_free (digest);
      submit_object_request (operation, "PUT", operation->object_key, body);
    }
  else
    write_row (operation);
}

/* Emit RESULT as that of the write, and free OPERATION.  */
static void
finish_write (struct operation *operation, enum co_store_result result)
{
  struct co_event *event = event_new (CO_EVENT_WRITE_DONE);

  event->u.write_done.op_id = operation->write->op_id;
  event->u.write_done.result = result;
  operation->aws->options.emit (operation->aws->options.context, event);
  talloc_free (operation);
}

/* ---- reads ---- */

static void query_rows (struct operation *operation, const char *partition,
                        const char *after_sort_key);

/* Continue a poll, which has read the row of the view, by reading the log.
   Both reads are consistent and sent after the start of the poll, so their
   results are at least as recent as that.  */
static void
poll_log (struct operation *operation)
{
  if (operation->row_count > 0)
    operation->event->u.poll_done.view_row = operation->rows[0];
  operation->step = STEP_POLL_LOG;
  operation->rows = NULL;
  operation->object_keys = NULL;
  operation->row_count = 0;
  operation->next_object_row = 0;
  query_rows (operation, "log", operation->after_sort_key);
}

/* Emit RESULT with the rows of OPERATION, and free it; or, after a poll has
   read the view, continue with the log.  Unless RESULT is CO_STORE_OK, the
   rows are dropped.  */
static void
finish_read (struct operation *operation, enum co_store_result result)
{
  struct aws_driver *aws = operation->aws;
  struct co_event *event = operation->event;
  enum operation_step step = operation->step == STEP_READ_OBJECT
                                 ? operation->interrupted_step
                                 : operation->step;
  struct co_row *rows
      = result == CO_STORE_OK ? talloc_steal (event, operation->rows) : NULL;
  uint32_t count = result == CO_STORE_OK ? operation->row_count : 0;

  if (step == STEP_POLL_VIEW && result == CO_STORE_OK)
    {
      poll_log (operation);
      return;
    }
  if (step == STEP_READ_ROWS)
    {
      event->u.read_done.result = result;
      event->u.read_done.rows = rows;
      event->u.read_done.row_count = count;
    }
  else
    {
      event->u.poll_done.result = result;
      event->u.poll_done.log = rows;
      event->u.poll_done.log_count = count;
    }
  aws->options.emit (aws->options.context, event);
  talloc_free (operation);
}

/* Request the next body that is kept in the object store.  When there is none
   left, finish the read.  */
static void
read_next_object (struct operation *operation)
{
  while (operation->next_object_row < operation->row_count
         && operation->object_keys[operation->next_object_row] == NULL)
    operation->next_object_row++;
  if (operation->next_object_row == operation->row_count)
    {
      finish_read (operation, CO_STORE_OK);
      return;
    }
  if (operation->step != STEP_READ_OBJECT)
    {
      operation->interrupted_step = operation->step;
      operation->step = STEP_READ_OBJECT;
    }
  submit_object_request (operation, "GET",
                         operation->object_keys[operation->next_object_row],
                         (struct ba_bytes){ NULL, 0 });
}

/* Append ITEM to the rows of OPERATION.  Return false when it is not valid or
   there would be more than MAX_ROW_COUNT rows.  */
static bool
append_row (struct operation *operation, json_t *item)
{
  if (operation->row_count == MAX_ROW_COUNT)
    return false;
  operation->rows = talloc_realloc (operation, operation->rows, struct co_row,
                                    operation->row_count + 1);
  memset (&operation->rows[operation->row_count], 0, sizeof *operation->rows);
  operation->object_keys = talloc_realloc (operation, operation->object_keys,
                                           char *, operation->row_count + 1);
  if (!pl_table_parse_row (operation->event, item,
                           &operation->rows[operation->row_count],
                           &operation->object_keys[operation->row_count]))
    return false;
  operation->row_count++;
  return true;
}

/* Append the rows of a response.  Then request the next page if there is one;
   otherwise request the bodies in the object store or finish the read.  */
static void
handle_rows_page (struct operation *operation)
{
  json_t *root = json_loadb ((const char *)operation->response->data,
                             operation->response->len, 0, NULL);
  json_t *items = json_object_get (root, "Items");
  json_t *item = json_object_get (root, "Item");
  json_t *next_key = json_object_get (root, "LastEvaluatedKey");
  bool valid = json_is_object (root)
               && (operation->step == STEP_POLL_VIEW || json_is_array (items));
  struct pl_table_request request;
  size_t i;

  if (valid && item != NULL)
    valid = append_row (operation, item);
  json_array_foreach (items, i, item)
  {
    if (valid)
      valid = append_row (operation, item);
  }
  if (!valid)
    finish_read (operation, CO_STORE_UNREACHABLE);
  else if (next_key != NULL)
    {
      request = pl_table_query_request (operation, operation->partition,
                                        operation->after_sort_key, next_key);
      submit_table_request (operation, &request, false);
    }
  else
    read_next_object (operation);
  json_decref (root);
}

/* Set the body of a row to the object that was read, and continue.  */
static void
handle_object (struct operation *operation)
{
  operation->rows[operation->next_object_row].body = ba_bytes_copy (
      operation->event, operation->response->data, operation->response->len);
  operation->next_object_row++;
  read_next_object (operation);
}

/* Request the rows of PARTITION whose sort key is greater than
   AFTER_SORT_KEY.  */
static void
query_rows (struct operation *operation, const char *partition,
            const char *after_sort_key)
{
  struct pl_table_request request;

  operation->partition = talloc_strdup (operation, partition);
  operation->after_sort_key = talloc_strdup (operation, after_sort_key);
  request
      = pl_table_query_request (operation, partition, after_sort_key, NULL);
  submit_table_request (operation, &request, false);
}

static void
start_read (struct aws_driver *aws, const struct co_action_read *read)
{
  struct operation *operation = operation_new (aws, STEP_READ_ROWS);

  operation->event = event_new (CO_EVENT_READ_DONE);
  operation->event->u.read_done.op_id = read->op_id;
  query_rows (operation, read->partition, read->after_sort_key);
}

/* Start to read the view and the entries of the log after version AFTER.  */
static void
start_poll (struct aws_driver *aws, uint64_t after_log_version)
{
  struct operation *operation = operation_new (aws, STEP_POLL_VIEW);
  struct pl_table_request request;

  operation->event = event_new (CO_EVENT_POLL_DONE);
  operation->event->u.poll_done.sent_at = operation->start_time;
  operation->after_sort_key = talloc_asprintf (
      operation, "%016" G_GINT64_MODIFIER "x", after_log_version);
  request = pl_table_get_request (operation, "view", "current");
  submit_table_request (operation, &request, false);
}

/* ---- hosts ---- */

/* Emit the list of hosts in a response.  Items without a name or state are
   skipped.  */
static void
handle_host_list (struct operation *operation)
{
  json_t *root = json_loadb ((const char *)operation->response->data,
                             operation->response->len, 0, NULL);
  json_t *list = json_object_get (root, "hosts");
  struct co_event *event;
  json_t *item;
  size_t i;

  /* Ignore an invalid response; the core keeps the last list.  */
  if (!json_is_array (list))
    {
      json_decref (root);
      return;
    }
  event = event_new (CO_EVENT_HOST_LIST);
  event->u.host_list.requested_at = operation->start_time;
  event->u.host_list.hosts = talloc_zero_array (event, struct co_live_host,
                                                json_array_size (list) + 1);
  json_array_foreach (list, i, item)
  {
    const char *name = json_string_value (json_object_get (item, "name"));
    const char *state = json_string_value (json_object_get (item, "state"));
    struct co_live_host *host
        = &event->u.host_list.hosts[event->u.host_list.host_count];

    if (name == NULL || state == NULL)
      continue;
    host->name = talloc_strdup (event, name);
    host->leaving = strcmp (state, "leaving") == 0;
    host->boot_id
        = (uint64_t)json_integer_value (json_object_get (item, "boot"));
    event->u.host_list.host_count++;
  }
  json_decref (root);
  operation->aws->options.emit (operation->aws->options.context, event);
}

/* Submit a request with METHOD for PATH of the host list service.  */
static void
submit_host_list_request (struct operation *operation, const char *method,
                          const char *path)
{
  struct ht_request request = { .method = method };
  char *url = talloc_asprintf (
      operation, "%s%s", operation->aws->options.settings->host_list, path);

  request.url = url;
  submit_request (operation, &request);
}

static void
list_hosts (struct pl_platform *platform)
{
  struct aws_driver *aws = (struct aws_driver *)platform;

  submit_host_list_request (operation_new (aws, STEP_LIST_HOSTS), "GET",
                            "/hosts");
}

/* Request the reboot of a host.  The service compares the boot ID with that of
   the host, so a repeated request doesn't reboot the host twice.  */
static void
start_reboot (struct aws_driver *aws, const struct co_action_reboot *reboot)
{
  struct operation *operation = operation_new (aws, STEP_REBOOT);
  char *path
      = talloc_asprintf (operation, "/hosts/%s/reboot?boot=%" G_GUINT64_FORMAT,
                         reboot->host, reboot->boot_id);

  submit_host_list_request (operation, "POST", path);
}

/* ---- ends of exchanges ---- */

/* Return the result of the write of OPERATION, whose exchange has ended with
   RESULT and, if it is complete, HTTP status STATUS.  */
static enum co_store_result
parse_write_result (struct operation *operation, enum ht_result result,
                    unsigned status)
{
  if (result == HT_RESULT_NOT_SENT)
    return CO_STORE_UNREACHABLE;
  if (result != HT_RESULT_COMPLETE)
    return CO_STORE_UNKNOWN;
  /* Terminate the body with a null byte.  */
  g_byte_array_append (operation->response, (const guint8 *)"", 1);
  return pl_table_parse_write_result (status,
                                      (const char *)operation->response->data);
}

/* Continue or finish the operation CONTEXT after an exchange has ended.
   EXCHANGE is NULL if it could not be submitted.  */
static void
exchange_done (struct ht_exchange *exchange, void *context,
               enum ht_result result, unsigned status)
{
  struct operation *operation = context;
  bool succeeded
      = result == HT_RESULT_COMPLETE && status >= 200 && status < 300;

  (void)exchange;
  switch (operation->step)
    {
    case STEP_WRITE_ROW:
      finish_write (operation, parse_write_result (operation, result, status));
      break;
    case STEP_WRITE_OBJECT:
      /* A row must not refer to an object that may not exist.  Nothing has
         been written to the table yet.  */
      if (succeeded)
        write_row (operation);
      else
        finish_write (operation, CO_STORE_UNREACHABLE);
      break;
    case STEP_READ_ROWS:
    case STEP_POLL_VIEW:
    case STEP_POLL_LOG:
      if (succeeded)
        handle_rows_page (operation);
      else
        finish_read (operation, CO_STORE_UNREACHABLE);
      break;
    case STEP_READ_OBJECT:
      if (succeeded)
        handle_object (operation);
      else
        finish_read (operation, CO_STORE_UNREACHABLE);
      break;
    case STEP_LIST_HOSTS:
      if (succeeded)
        handle_host_list (operation);
      talloc_free (operation);
      break;
    case STEP_REBOOT:
      talloc_free (operation);
      break;
    }
}

static void
aws_submit (struct pl_platform *platform, const struct co_action *action)
{
  struct aws_driver *aws = (struct aws_driver *)platform;

  switch (action->type)
    {
    case CO_ACTION_WRITE:
      start_write (aws, &action->u.write);
      break;
    case CO_ACTION_READ:
      start_read (aws, &action->u.read);
      break;
    case CO_ACTION_POLL:
      start_poll (aws, action->u.poll_after_log_version);
      break;
    case CO_ACTION_REBOOT:
      start_reboot (aws, &action->u.reboot);
      break;
    default:
      break;
    }
}

static void
aws_run (struct pl_platform *platform, void (*heartbeat) (void *),
         void *context)
{
  ht_client_run (((struct aws_driver *)platform)->client, heartbeat, context);
}

static void
aws_stop (struct pl_platform *platform)
{
  ht_client_stop (((struct aws_driver *)platform)->client);
}

static const struct pl_platform_ops aws_ops = {
  .submit = aws_submit,
  .list_hosts = list_hosts,
  .run = aws_run,
  .stop = aws_stop,
};

struct pl_platform *
pl_aws_new (TALLOC_CTX *mem, const struct pl_aws_options *options)
{
  struct aws_driver *aws = talloc_zero (mem, struct aws_driver);
  struct ht_client_options client = { .ring_capacity = CLIENT_RING_CAPACITY };
  const char *region = options->settings->region;

  aws->platform.ops = &aws_ops;
  aws->options = *options;
  aws->client = ht_client_new (aws, &client);
  aws->credentials = talloc_asprintf (
      aws, "%s:%s", options->settings->access_key, options->secret_key);
  aws->table_sigv4 = talloc_asprintf (aws, "aws:amz:%s:dynamodb", region);
  aws->object_store_sigv4 = talloc_asprintf (aws, "aws:amz:%s:s3", region);
  return &aws->platform;
}
