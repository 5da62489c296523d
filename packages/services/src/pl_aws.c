#include "pl_platform.h"

#include "ba_clock.h"
#include "ht_client.h"
#include "pl_table.h"

#include <glib.h>
#include <string.h>
#include <time.h>

/* Rows whose body is larger than a table item may conveniently be are kept in
   the object store under the digest of their bytes, and the row names the
   object.  An object is written before the row that names it, and never
   changed, so a row that can be read always has its body.  */

enum
{
  MAX_INLINE_BODY = 64 * 1024,
  MAX_ANSWER = 64 * 1024 * 1024,
  RING_CAPACITY = 4096,
  MAX_ROWS = 100000
};

struct aws
{
  struct pl_platform platform;
  struct ht_client *client;
  struct pl_aws_options options;
  char *credentials;
  char *sign_table;
  char *sign_objects;
};

enum step
{
  STEP_WRITE,
  STEP_WRITE_OBJECT, /* before the row */
  STEP_ROWS,
  STEP_POLL_VIEW,
  STEP_POLL_LOG,
  STEP_READ_OBJECT, /* a body that a row names */
  STEP_HOSTS,
  STEP_REBOOT
};

/* One exchange.  Owned by itself until its end.  */
struct job
{
  struct aws *aws;
  enum step step;
  enum step after_object; /* step whose rows wait for objects */
  GByteArray *answer;
  int64_t begun;                 /* ba_clock_now_us */
  struct co_action_write *write; /* STEP_WRITE and STEP_WRITE_OBJECT */
  char *reference;
  struct co_event *event; /* being filled in */
  char *partition;
  char *after;
  struct co_row *rows;
  char **references;
  uint32_t row_count;
  uint32_t next_object; /* STEP_READ_OBJECT */
};

static int
job_destroy (struct job *job)
{
  g_byte_array_free (job->answer, TRUE);
  return 0;
}

static struct job *
job_new (struct aws *aws, enum step step)
{
  struct job *job = talloc_zero (NULL, struct job);

  job->aws = aws;
  job->step = step;
  job->answer = g_byte_array_new ();
  job->begun = ba_clock_now_us ();
  talloc_set_destructor (job, job_destroy);
  return job;
}

static struct co_event *
event_new (uint32_t type)
{
  struct co_event *event = talloc_zero (NULL, struct co_event);

  event->type = type;
  return event;
}

static void job_done (struct ht_exchange *exchange, void *context,
                      enum ht_result result, unsigned status);

static bool
job_body (struct ht_exchange *exchange, void *context, const void *data,
          size_t len)
{
  struct job *job = context;

  (void)exchange;
  if (job->answer->len + len <= MAX_ANSWER)
    g_byte_array_append (job->answer, data, (guint)len);
  return true;
}

static const struct ht_client_handlers job_handlers
    = { .body = job_body, .done = job_done };

/* Submit REQUEST for JOB; when that is refused, JOB ends as not sent.  */
static void
submit (struct job *job, struct ht_request *request)
{
  struct aws *aws = job->aws;

  g_byte_array_set_size (job->answer, 0);
  request->timeout_ms = aws->options.settings->timeout_ms;
  if (!ht_client_submit (aws->client, request, &job_handlers, job))
    job_done (NULL, job, HT_RESULT_NOT_SENT, 0);
}

static void
submit_table (struct job *job, const struct pl_table_request *table, bool once)
{
  struct aws *aws = job->aws;
  struct ht_header headers[]
      = { { "Content-Type", "application/x-amz-json-1.0" },
          { "X-Amz-Target", table->target } };
  struct ht_request request = { .method = "POST" };

  request.url = aws->options.settings->table;
  request.headers = headers;
  request.header_count = G_N_ELEMENTS (headers);
  request.body = table->body;
  request.body_len = strlen (table->body);
  request.no_retry = once;
  request.sigv4 = aws->sign_table;
  request.credentials = aws->credentials;
  submit (job, &request);
}

static void
submit_object (struct job *job, const char *method, const char *name,
               struct ba_bytes body)
{
  struct aws *aws = job->aws;
  struct ht_request request = { .method = method };
  char *url = talloc_asprintf (job, "%s/dogwoodpulley/%s",
                               aws->options.settings->object_store, name);

  request.url = url;
  request.body = body.data;
  request.body_len = body.len;
  request.sigv4 = aws->sign_objects;
  request.credentials = aws->credentials;
  submit (job, &request);
}

/* ---- writes ---- */

static void
write_row (struct job *job)
{
  int64_t expires = 0;
  struct pl_table_request request;

  job->step = STEP_WRITE;
  if (job->write->lifetime_s != 0)
    expires = (int64_t)time (NULL) + job->write->lifetime_s;
  request = pl_table_write_request (job, job->write, job->reference, expires);
  submit_table (job, &request, true);
}

static void
begin_write (struct aws *aws, const struct co_action_write *write)
{
  struct job *job = job_new (aws, STEP_WRITE);
  struct ba_bytes body = write->row.body;

  job->write = talloc_memdup (job, write, sizeof *write);
  job->write->row.partition = talloc_strdup (job, write->row.partition);
  job->write->row.sort_key = talloc_strdup (job, write->row.sort_key);
  job->write->row.body = ba_bytes_copy (job, body.data, body.len);
  if (body.len > MAX_INLINE_BODY)
    {
      char *digest = g_compute_checksum_for_data (G_CHECKSUM_SHA256, body.data,
                                                  body.len);

      job->step = STEP_WRITE_OBJECT;
      job->reference = talloc_asprintf (job, "row/%s", digest);
      g_free (digest);
      submit_object (job, "PUT", job->reference, body);
    }
  else
    write_row (job);
}

static void
end_write (struct job *job, enum co_store_result result)
{
  struct co_event *event = event_new (CO_EVENT_WRITE_DONE);

  event->u.write_done.op_id = job->write->op_id;
  event->u.write_done.result = result;
  job->aws->options.emit (job->aws->options.context, event);
  talloc_free (job);
}

/* ---- reads ---- */

static void query (struct job *job, const char *partition, const char *after);

/* Go on from the view to the log: its entries are read after the view, so
   that together they are no older than the time at which the poll began.  */
static void
poll_log (struct job *job)
{
  if (job->row_count > 0)
    job->event->u.poll_done.view_row = job->rows[0];
  job->step = STEP_POLL_LOG;
  job->rows = NULL;
  job->references = NULL;
  job->row_count = 0;
  job->next_object = 0;
  query (job, "log", job->after);
}

/* Hand the rows of JOB on.  RESULT other than OK drops them.  */
static void
end_read (struct job *job, enum co_store_result result)
{
  struct aws *aws = job->aws;
  struct co_event *event = job->event;
  enum step step
      = job->step == STEP_READ_OBJECT ? job->after_object : job->step;
  struct co_row *rows
      = result == CO_STORE_OK ? talloc_steal (event, job->rows) : NULL;
  uint32_t count = result == CO_STORE_OK ? job->row_count : 0;

  if (step == STEP_POLL_VIEW && result == CO_STORE_OK)
    {
      poll_log (job);
      return;
    }
  if (step == STEP_ROWS)
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
  talloc_free (job);
}

/* Read the next body that is kept in the object store, or end.  */
static void
next_object (struct job *job)
{
  while (job->next_object < job->row_count
         && job->references[job->next_object] == NULL)
    job->next_object++;
  if (job->next_object == job->row_count)
    {
      end_read (job, CO_STORE_OK);
      return;
    }
  if (job->step != STEP_READ_OBJECT)
    {
      job->after_object = job->step;
      job->step = STEP_READ_OBJECT;
    }
  submit_object (job, "GET", job->references[job->next_object],
                 (struct ba_bytes){ NULL, 0 });
}

static bool
add_row (struct job *job, json_t *item)
{
  if (job->row_count == MAX_ROWS)
    return false;
  job->rows
      = talloc_realloc (job, job->rows, struct co_row, job->row_count + 1);
  memset (&job->rows[job->row_count], 0, sizeof *job->rows);
  job->references
      = talloc_realloc (job, job->references, char *, job->row_count + 1);
  if (!pl_table_parse_row (job->event, item, &job->rows[job->row_count],
                           &job->references[job->row_count]))
    return false;
  job->row_count++;
  return true;
}

/* Take a page of rows.  */
static void
take_rows (struct job *job)
{
  json_t *root = json_loadb ((const char *)job->answer->data, job->answer->len,
                             0, NULL);
  json_t *items = json_object_get (root, "Items");
  json_t *item = json_object_get (root, "Item");
  json_t *start = json_object_get (root, "LastEvaluatedKey");
  bool good = json_is_object (root)
              && (job->step == STEP_POLL_VIEW || json_is_array (items));
  struct pl_table_request request;
  size_t i;

  if (good && item != NULL)
    good = add_row (job, item);
  json_array_foreach (items, i, item)
  {
    if (good)
      good = add_row (job, item);
  }
  if (!good)
    end_read (job, CO_STORE_UNREACHABLE);
  else if (start != NULL)
    {
      request
          = pl_table_query_request (job, job->partition, job->after, start);
      submit_table (job, &request, false);
    }
  else
    next_object (job);
  json_decref (root);
}

static void
take_object (struct job *job)
{
  job->rows[job->next_object].body
      = ba_bytes_copy (job->event, job->answer->data, job->answer->len);
  job->next_object++;
  next_object (job);
}

static void
query (struct job *job, const char *partition, const char *after)
{
  struct pl_table_request request;

  job->partition = talloc_strdup (job, partition);
  job->after = talloc_strdup (job, after);
  request = pl_table_query_request (job, partition, after, NULL);
  submit_table (job, &request, false);
}

static void
begin_read (struct aws *aws, const struct co_action_read *read)
{
  struct job *job = job_new (aws, STEP_ROWS);

  job->event = event_new (CO_EVENT_READ_DONE);
  job->event->u.read_done.op_id = read->op_id;
  query (job, read->partition, read->after_sort_key);
}

static void
begin_poll (struct aws *aws, uint64_t after)
{
  struct job *job = job_new (aws, STEP_POLL_VIEW);
  struct pl_table_request request;

  job->event = event_new (CO_EVENT_POLL_DONE);
  job->event->u.poll_done.sent_at = job->begun;
  job->after = talloc_asprintf (job, "%016" G_GINT64_MODIFIER "x", after);
  request = pl_table_get_request (job, "view", "current");
  submit_table (job, &request, false);
}

/* ---- hosts ---- */

static void
take_hosts (struct job *job)
{
  json_t *root = json_loadb ((const char *)job->answer->data, job->answer->len,
                             0, NULL);
  json_t *list = json_object_get (root, "hosts");
  struct co_event *event;
  json_t *item;
  size_t i;

  /* An answer that makes no sense counts as none: the last list stays.  */
  if (!json_is_array (list))
    {
      json_decref (root);
      return;
    }
  event = event_new (CO_EVENT_HOST_LIST);
  event->u.host_list.requested_at = job->begun;
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
  job->aws->options.emit (job->aws->options.context, event);
}

static void
submit_host_list (struct job *job, const char *method, const char *path)
{
  struct ht_request request = { .method = method };
  char *url = talloc_asprintf (job, "%s%s",
                               job->aws->options.settings->host_list, path);

  request.url = url;
  submit (job, &request);
}

static void
list_hosts (struct pl_platform *platform)
{
  struct aws *aws = (struct aws *)platform;

  submit_host_list (job_new (aws, STEP_HOSTS), "GET", "/hosts");
}

static void
begin_reboot (struct aws *aws, const struct co_action_reboot *reboot)
{
  struct job *job = job_new (aws, STEP_REBOOT);
  char *path
      = talloc_asprintf (job, "/hosts/%s/reboot?boot=%" G_GUINT64_FORMAT,
                         reboot->host, reboot->boot_id);

  submit_host_list (job, "POST", path);
}

/* ---- ends ---- */

/* Return what the end of a write's exchange means.  */
static enum co_store_result
write_result (struct job *job, enum ht_result result, unsigned status)
{
  if (result == HT_RESULT_NOT_SENT)
    return CO_STORE_UNREACHABLE;
  if (result != HT_RESULT_COMPLETE)
    return CO_STORE_UNKNOWN;
  g_byte_array_append (job->answer, (const guint8 *)"", 1);
  return pl_table_parse_write_result (status, (const char *)job->answer->data);
}

static void
job_done (struct ht_exchange *exchange, void *context, enum ht_result result,
          unsigned status)
{
  struct job *job = context;
  bool good = result == HT_RESULT_COMPLETE && status >= 200 && status < 300;

  (void)exchange;
  switch (job->step)
    {
    case STEP_WRITE:
      end_write (job, write_result (job, result, status));
      break;
    case STEP_WRITE_OBJECT:
      /* Nothing was written to the table, whatever became of the object.  */
      if (good)
        write_row (job);
      else
        end_write (job, CO_STORE_UNREACHABLE);
      break;
    case STEP_ROWS:
    case STEP_POLL_VIEW:
    case STEP_POLL_LOG:
      if (good)
        take_rows (job);
      else
        end_read (job, CO_STORE_UNREACHABLE);
      break;
    case STEP_READ_OBJECT:
      if (good)
        take_object (job);
      else
        end_read (job, CO_STORE_UNREACHABLE);
      break;
    case STEP_HOSTS:
      if (good)
        take_hosts (job);
      talloc_free (job);
      break;
    case STEP_REBOOT:
      talloc_free (job);
      break;
    }
}

static void
aws_submit (struct pl_platform *platform, const struct co_action *outcome)
{
  struct aws *aws = (struct aws *)platform;

  switch (outcome->type)
    {
    case CO_ACTION_WRITE:
      begin_write (aws, &outcome->u.write);
      break;
    case CO_ACTION_READ:
      begin_read (aws, &outcome->u.read);
      break;
    case CO_ACTION_POLL:
      begin_poll (aws, outcome->u.poll_after_log_version);
      break;
    case CO_ACTION_REBOOT:
      begin_reboot (aws, &outcome->u.reboot);
      break;
    default:
      break;
    }
}

static void
aws_run (struct pl_platform *platform, void (*heartbeat) (void *),
         void *context)
{
  ht_client_run (((struct aws *)platform)->client, heartbeat, context);
}

static void
aws_stop (struct pl_platform *platform)
{
  ht_client_stop (((struct aws *)platform)->client);
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
  struct aws *aws = talloc_zero (mem, struct aws);
  struct ht_client_options client = { .ring_capacity = RING_CAPACITY };
  const char *region = options->settings->region;

  aws->platform.ops = &aws_ops;
  aws->options = *options;
  aws->client = ht_client_new (aws, &client);
  aws->credentials = talloc_asprintf (
      aws, "%s:%s", options->settings->access_key, options->secret_key);
  aws->sign_table = talloc_asprintf (aws, "aws:amz:%s:dynamodb", region);
  aws->sign_objects = talloc_asprintf (aws, "aws:amz:%s:s3", region);
  return &aws->platform;
}
