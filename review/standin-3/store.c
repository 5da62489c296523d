/* The platform's store, with the list of machines beside it.  It loses nothing
   that it has answered, and answers at once.  */

#include "stage.h"

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <arpa/inet.h>
#include <unistd.h>

enum
{
  MAX_ROWS_PER_ANSWER = 500,
  MAX_BYTES_PER_ANSWER = 1000000
};

struct row
{
  char *table;
  char *part;
  char *key;
  char *value; /* base64; NULL: deleted */
  int64_t ver;
  int64_t beat_at; /* of a worker's entry */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GPtrArray *rows; /* struct row, sorted by table, part and key */
static int64_t version;
static struct stage *the_stage;

static int
compare (const struct row *row, const char *table, const char *part,
         const char *key)
{
  int order = strcmp (row->table, table);

  if (order == 0)
    order = strcmp (row->part, part);
  return order != 0 ? order : strcmp (row->key, key);
}

/* Return the index of the first row that is not before the given one.  */
static guint
find (const char *table, const char *part, const char *key)
{
  guint low = 0;
  guint high = rows->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;

      if (compare (g_ptr_array_index (rows, middle), table, part, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct row *
get (const char *table, const char *part, const char *key)
{
  guint index = find (table, part, key);

  return index < rows->len
                 && compare (g_ptr_array_index (rows, index), table, part, key)
                        == 0
             ? g_ptr_array_index (rows, index)
             : NULL;
}

/* Set a row to VALUE, NULL to delete it, with VERSION.  */
static struct row *
put (const char *table, const char *part, const char *key, const char *value)
{
  struct row *row = get (table, part, key);

  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      row->table = g_strdup (table);
      row->part = g_strdup (part);
      row->key = g_strdup (key);
      g_ptr_array_insert (rows, (gint)find (table, part, key), row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->ver = version;
  return row;
}

static json_t *
encode_row (const struct row *row)
{
  json_t *json
      = json_pack ("{s:s,s:s,s:s,s:I}", "table", row->table, "part", row->part,
                   "key", row->key, "ver", (json_int_t)row->ver);

  if (row->value != NULL)
    json_object_set_new (json, "value", json_string (row->value));
  else
    json_object_set_new (json, "deleted", json_true ());
  return json;
}

static json_t *
answer_base (void)
{
  return json_pack ("{s:I,s:I}", "ver", (json_int_t)version, "nowMs",
                    (json_int_t)stage_now_ms ());
}

static const char *
text (const json_t *object, const char *field)
{
  const char *value = json_string_value (json_object_get (object, field));

  return value != NULL ? value : "";
}

static unsigned
handle_tx (const json_t *request, json_t **answer)
{
  json_t *current = json_array ();
  bool holds = true;
  const json_t *item;
  size_t i;

  json_array_foreach (json_object_get (request, "expectedRevision"), i, item)
  {
    struct row *row
        = get (text (item, "table"), text (item, "part"), text (item, "key"));
    bool exists = row != NULL && row->value != NULL;
    int64_t ver = exists ? row->ver : 0;

    if (exists)
      json_array_append_new (current, encode_row (row));
    holds = holds && ver == json_integer_value (json_object_get (item, "ver"));
  }
  *answer = answer_base ();
  if (!holds)
    {
      json_object_set_new (*answer, "rows", current);
      return 412;
    }
  json_decref (current);
  version++;
  json_array_foreach (json_object_get (request, "setKeys"), i, item)
  {
    put (text (item, "table"), text (item, "part"), text (item, "key"),
         text (item, "value"));
  }
  json_array_foreach (json_object_get (request, "remove"), i, item)
  {
    if (get (text (item, "table"), text (item, "part"), text (item, "key"))
        != NULL)
      put (text (item, "table"), text (item, "part"), text (item, "key"),
           NULL);
  }
  json_object_set_new (*answer, "ver", json_integer (version));
  pthread_cond_broadcast (&changed);
  return 200;
}

static const char *
query (struct MHD_Connection *connection, const char *name)
{
  const char *value
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return value != NULL ? value : "";
}

static json_t *
handle_get (struct MHD_Connection *connection)
{
  const char *table = query (connection, "table");
  const char *part = query (connection, "part");
  const char *to = query (connection, "to");
  int64_t limit = atoll (query (connection, "limit"));
  json_t *answer = answer_base ();
  json_t *list = json_array ();
  size_t bytes = 0;
  bool more = false;

  if (limit <= 0 || limit > MAX_ROWS_PER_ANSWER)
    limit = MAX_ROWS_PER_ANSWER;
  for (guint i = find (table, part, query (connection, "from"));
       i < rows->len && !more; i++)
    {
      const struct row *row = g_ptr_array_index (rows, i);

      if (strcmp (row->table, table) != 0 || strcmp (row->part, part) != 0
          || (*to != '\0' && strcmp (row->key, to) >= 0))
        break;
      if (row->value == NULL)
        continue;
      bytes += strlen (row->value) + 100;
      more = (int64_t)json_array_size (list) >= limit
             || bytes > MAX_BYTES_PER_ANSWER;
      if (!more)
        json_array_append_new (list, encode_row (row));
    }
  json_object_set_new (answer, "rows", list);
  json_object_set_new (answer, "hasMore", json_boolean (more));
  return answer;
}

static gint
compare_versions (gconstpointer a, gconstpointer b)
{
  const struct row *x = *(struct row *const *)a;
  const struct row *y = *(struct row *const *)b;

  return (x->ver > y->ver) - (x->ver < y->ver);
}

static json_t *
handle_feed (struct MHD_Connection *connection)
{
  const char *table = query (connection, "table");
  int64_t after = atoll (query (connection, "after"));
  int64_t until = stage_now_ms () + atoll (query (connection, "waitMs"));
  GPtrArray *found = g_ptr_array_new ();
  json_t *answer;
  json_t *list = json_array ();

  for (;;)
    {
      struct timespec end = { until / 1000, until % 1000 * 1000000 };

      for (guint i = find (table, "", ""); i < rows->len; i++)
        {
          struct row *row = g_ptr_array_index (rows, i);

          if (strcmp (row->table, table) != 0)
            break;
          if (row->ver > after)
            g_ptr_array_add (found, row);
        }
      if (found->len > 0 || stage_now_ms () >= until)
        break;
      pthread_cond_timedwait (&changed, &lock, &end);
    }
  g_ptr_array_sort (found, compare_versions);
  for (guint i = 0; i < found->len; i++)
    json_array_append_new (list, encode_row (g_ptr_array_index (found, i)));
  g_ptr_array_free (found, TRUE);
  answer = answer_base ();
  json_object_set_new (answer, "rows", list);
  return answer;
}

/* A worker's report about itself, or the operator's write: the path is
   /own/TABLE/KEY, the body the value.  */
static unsigned
handle_own (const char *path, const char *body)
{
  gchar **parts = g_strsplit (path, "/", 4);
  gchar *value = g_base64_encode ((const guchar *)body, strlen (body));

  version++;
  put (parts[2], "", parts[3], value)->beat_at = stage_now_ms ();
  pthread_cond_broadcast (&changed);
  g_free (value);
  g_strfreev (parts);
  return 200;
}

/* The machines are the workers' entries: worker I runs on machine m-I.  */
static json_t *
handle_machines (void)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < the_stage->worker_count; i++)
    {
      const struct stage_worker *worker = &the_stage->workers[i];
      char name[24];
      json_t *item;

      g_snprintf (name, sizeof name, "m-%u", i);
      item
          = json_pack ("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i},s:s}",
                       "machine", name, "pool", worker->service, "state", "up",
                       "zone", "zone-a", "labels", "a", "r1", "capacity",
                       "cpu", 16000, "memMb", 65536, "gpu", 0, "id", "");
      for (guint j = find ("servers", "", ""); j < rows->len; j++)
        {
          const struct row *row = g_ptr_array_index (rows, j);

          if (strcmp (row->table, "servers") != 0)
            break;
          if (row->value != NULL
              && (unsigned)atoi (strrchr (row->key, '-') + 1) == i)
            json_object_set_new (item, "id", json_string (row->key));
        }
      json_array_append_new (list, item);
    }
  return json_pack ("{s:o,s:n}", "machines", list, "nextToken");
}

/* ---- gangs ---- */

/* A member of a run of a gang, as its worker has last reported it.  */
struct member
{
  char *task;
  char *gang; /* the step, the run and the value that they were started with */
  int64_t run;
  int64_t seen_at;
};

/* A run of a gang that has been complete.  */
struct gang
{
  int64_t together_at;
  bool is_broken;
};

enum
{
  MEMBER_TIMEOUT_MS = 250 /* without a report */
};

static GPtrArray *members;
static GHashTable *gangs; /* name -> struct gang */

static int64_t
count_members (const char *gang, int64_t now)
{
  int64_t count = 0;

  for (guint i = 0; i < members->len; i++)
    {
      const struct member *member = g_ptr_array_index (members, i);

      count += strcmp (member->gang, gang) == 0
               && now - member->seen_at < MEMBER_TIMEOUT_MS;
    }
  return count;
}

static void
note_member (const char *task, const char *gang, int64_t run, int64_t now)
{
  struct member *member = NULL;

  for (guint i = 0; i < members->len; i++)
    {
      struct member *other = g_ptr_array_index (members, i);

      if (strcmp (other->task, task) == 0 && other->run == run
          && strcmp (other->gang, gang) == 0)
        member = other;
    }
  if (member == NULL)
    {
      member = g_new0 (struct member, 1);
      member->task = g_strdup (task);
      member->gang = g_strdup (gang);
      member->run = run;
      g_ptr_array_add (members, member);
    }
  member->seen_at = now;
}

/* The members of gangs that a worker runs: answer for each since when its gang
   is complete, and whether that is broken.  */
static json_t *
handle_gang (const json_t *request)
{
  int64_t now = stage_now_ms ();
  json_t *answer = json_array ();
  const json_t *item;
  size_t i;

  json_array_foreach (request, i, item)
  {
    const char *task = json_string_value (json_array_get (item, 0));
    int64_t run = json_integer_value (json_array_get (item, 1));
    int64_t count = json_integer_value (json_array_get (item, 3));
    gchar *name = g_strdup_printf (
        "%.*s/%lld/%s", (int)(strrchr (task, '.') - task), task,
        (long long)run, json_string_value (json_array_get (item, 2)));
    struct gang *gang = g_hash_table_lookup (gangs, name);

    note_member (task, name, run, now);
    if (gang == NULL && count_members (name, now) >= count)
      {
        gang = g_new0 (struct gang, 1);
        gang->together_at = now;
        g_hash_table_insert (gangs, g_strdup (name), gang);
      }
    else if (gang != NULL && count_members (name, now) < count)
      gang->is_broken = true;
    json_array_append_new (
        answer, json_pack ("[s,I,I,b]", task, (json_int_t)run,
                           (json_int_t)(gang != NULL ? gang->together_at : 0),
                           (int)(gang != NULL && gang->is_broken)));
    g_free (name);
  }
  return answer;
}

static enum MHD_Result
respond (struct MHD_Connection *connection, unsigned status, json_t *answer)
{
  char *body
      = answer != NULL ? json_dumps (answer, JSON_COMPACT) : strdup ("{}");
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (body), body, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", "application/json");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  if (answer != NULL)
    json_decref (answer);
  return result;
}

static enum MHD_Result
handle (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *http_version, const char *upload,
        size_t *upload_size, void **context)
{
  GString *body = *context;
  json_t *request;
  json_t *answer = NULL;
  unsigned status = 200;

  (void)data;
  (void)method;
  (void)http_version;
  if (body == NULL)
    {
      *context = g_string_new (NULL);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (body, upload, (gssize)*upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  request = json_loads (body->str, 0, NULL);
  pthread_mutex_lock (&lock);
  if (strcmp (url, "/rows-tx") == 0)
    status = handle_tx (request, &answer);
  else if (strcmp (url, "/rows-get") == 0)
    answer = handle_get (connection);
  else if (strcmp (url, "/rows-feed") == 0)
    answer = handle_feed (connection);
  else if (strncmp (url, "/own/", 5) == 0)
    status = handle_own (url, body->str);
  else if (strcmp (url, "/gang") == 0)
    answer = handle_gang (request);
  else if (strcmp (url, "/machines") == 0)
    answer = handle_machines ();
  else if (strncmp (url, "/machine-", 9) == 0)
    {
      answer = json_pack ("{s:s}", "reason", "busy");
      status = 409;
    }
  else
    status = 404;
  pthread_mutex_unlock (&lock);
  json_decref (request);
  return respond (connection, status, answer);
}

static void
request_done (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  (void)data;
  (void)connection;
  (void)code;
  if (*context != NULL)
    g_string_free (*context, TRUE);
}

void
stage_run_store (struct stage *stage)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (STAGE_STORE_PORT) };
  char ip[32];

  the_stage = stage;
  rows = g_ptr_array_new ();
  members = g_ptr_array_new ();
  gangs = g_hash_table_new (g_str_hash, g_str_equal);
  g_snprintf (ip, sizeof ip, "127.%u.100.1", stage->network);
  inet_pton (AF_INET, ip, &address.sin_addr);
  if (MHD_start_daemon (
          MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
          STAGE_STORE_PORT, NULL, NULL, handle, NULL, MHD_OPTION_SOCK_ADDR,
          &address, MHD_OPTION_NOTIFY_COMPLETED, request_done, NULL,
          MHD_OPTION_END)
      == NULL)
    _exit (2);
  for (;;)
    {
      int64_t now;

      stage_sleep_ms (100);
      pthread_mutex_lock (&lock);
      now = stage_now_ms ();
      for (guint i = 0; i < rows->len; i++)
        {
          struct row *row = g_ptr_array_index (rows, i);

          if (strcmp (row->table, "servers") == 0 && row->value != NULL
              && now - row->beat_at > 3 * STAGE_BEAT_MS)
            {
              version++;
              put ("servers", "", row->key, NULL);
              pthread_cond_broadcast (&changed);
            }
        }
      pthread_mutex_unlock (&lock);
    }
}
