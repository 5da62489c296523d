#include "dogwoodpulley.h"

#include "ba_error.h"
#include "ba_hash.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  TIMEOUT_MS = 20000, /* longer than an entry host takes to decide */
  KEY_BYTES = 32,
  DIGEST_DIGITS = 64
};

struct dp_client
{
  char **servers; /* NULL-ended */
  char *token;
  char *next_change;
  char *last_change;
  CURL *easy;
};

static int
client_destroy (dp_client *client)
{
  g_strfreev (client->servers);
  curl_easy_cleanup (client->easy);
  return 0;
}

dp_client *
dp_client_new (const char *servers, const char *token)
{
  dp_client *client = talloc_zero (NULL, dp_client);

  client->servers = g_strsplit (servers, ",", -1);
  client->token = talloc_strdup (client, token);
  client->easy = curl_easy_init ();
  talloc_set_destructor (client, client_destroy);
  return client;
}

void
dp_client_free (dp_client *client)
{
  talloc_free (client);
}

void
dp_client_set_change_token (dp_client *client, const char *token)
{
  talloc_free (client->next_change);
  client->next_change = talloc_strdup (client, token);
}

const char *
dp_client_change_token (const dp_client *client)
{
  return client->last_change;
}

static size_t
append (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

/* Make one request to one server.  Return the HTTP status; 0 when the server
   can't be reached, -1 when it got the request and did not answer.  */
static long
ask_server (dp_client *client, const char *server, const char *path,
            const char *body, GString *answer)
{
  char *url = talloc_asprintf (client, "%s%s", server, path);
  char *authorization
      = talloc_asprintf (client, "Authorization: Bearer %s", client->token);
  struct curl_slist *headers = curl_slist_append (NULL, authorization);
  long status = 0;
  long sent = 0;
  CURLcode code;

  g_string_truncate (answer, 0);
  curl_easy_reset (client->easy);
  curl_easy_setopt (client->easy, CURLOPT_URL, url);
  curl_easy_setopt (client->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (client->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client->easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (client->easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (client->easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
  curl_easy_setopt (client->easy, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt (client->easy, CURLOPT_WRITEDATA, answer);
  if (body != NULL)
    curl_easy_setopt (client->easy, CURLOPT_POSTFIELDS, body);
  code = curl_easy_perform (client->easy);
  curl_easy_getinfo (client->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (client->easy, CURLINFO_REQUEST_SIZE, &sent);
  curl_slist_free_all (headers);
  talloc_free (authorization);
  talloc_free (url);
  if (code == CURLE_OK)
    return status;
  return sent > 0 ? -1 : 0;
}

/* Ask the servers in turn until one answers.  A change may be asked of
   several: its token keeps it from being applied twice.  */
static long
ask (dp_client *client, const char *path, const char *body, GString *answer)
{
  long last = 0;

  for (char **server = client->servers; *server != NULL; server++)
    {
      long status = ask_server (client, *server, path, body, answer);

      if (status > 0 && status != 503)
        return status;
      if (status != 0)
        last = status;
    }
  return last;
}

static char *
random_hex (TALLOC_CTX *mem, size_t bytes)
{
  unsigned char data[KEY_BYTES];
  char *text = talloc_zero_array (mem, char, 2 * bytes + 1);

  g_assert (bytes <= sizeof data);
  if (getrandom (data, bytes, 0) != (ssize_t)bytes)
    g_error ("no random bytes from the kernel");
  for (size_t i = 0; i < bytes; i++)
    snprintf (text + 2 * i, 3, "%02x", data[i]);
  return text;
}

static enum dp_result
result_of (long status)
{
  switch (status)
    {
    case 200:
      return DP_OK;
    case 202:
      return DP_PENDING;
    case 409:
      return DP_CONFLICT;
    case 503:
    case 0:
      return DP_UNREACHABLE;
    case 504:
    case -1:
      return DP_UNKNOWN;
    default:
      return DP_INVALID;
    }
}

/* Send the change in ROOT, which is released.  */
static enum dp_result
change (dp_client *client, json_t *root, uint64_t *version, GError **error)
{
  GString *answer = g_string_new (NULL);
  enum dp_result result;
  json_t *reply;
  const char *detail;
  char *body;
  long status;

  talloc_free (client->last_change);
  client->last_change
      = client->next_change ? client->next_change : random_hex (client, 16);
  client->next_change = NULL;
  json_object_set_new (root, "token", json_string (client->last_change));
  body = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  status = ask (client, "/v1/changes", body, answer);
  free (body);
  result = result_of (status);
  reply = json_loads (answer->str, 0, NULL);
  detail = json_string_value (json_object_get (reply, "detail"));
  if (version != NULL)
    *version
        = (uint64_t)json_integer_value (json_object_get (reply, "version"));
  if (result != DP_OK)
    g_set_error (error, BA_ERROR,
                 status <= 0 ? BA_ERROR_UNREACHABLE : BA_ERROR_VALUE, "%s",
                 detail        ? detail
                 : status == 0 ? "no entry host can be reached"
                               : "the entry host did not confirm the change");
  json_decref (reply);
  g_string_free (answer, TRUE);
  return result;
}

enum dp_result
dp_client_apply (dp_client *client, const char *text, uint64_t base,
                 uint64_t *version, GError **error)
{
  return change (client,
                 json_pack ("{s:s,s:s,s:I}", "type", "fleet", "text", text,
                            "base", (json_int_t)base),
                 version, error);
}

static enum dp_result
change_host (dp_client *client, const char *host, const char *state,
             const char *pool, GError **error)
{
  json_t *root = json_pack ("{s:s,s:s,s:s}", "type", "host", "host", host,
                            "state", state);

  if (pool != NULL)
    json_object_set_new (root, "pool", json_string (pool));
  return change (client, root, NULL, error);
}

enum dp_result
dp_client_drain (dp_client *client, const char *host, GError **error)
{
  return change_host (client, host, "draining", NULL, error);
}

enum dp_result
dp_client_activate (dp_client *client, const char *host, GError **error)
{
  return change_host (client, host, "active", NULL, error);
}

enum dp_result
dp_client_move (dp_client *client, const char *host, const char *pool,
                GError **error)
{
  return change_host (client, host, "moving", pool, error);
}

enum dp_result
dp_client_maintain (dp_client *client, const char *scope, const char *name,
                    uint64_t *order, GError **error)
{
  return change (client,
                 json_pack ("{s:s,s:s,s:s,s:s}", "type", "order", "state",
                            "running", "scope", scope, "scope_name", name),
                 order, error);
}

enum dp_result
dp_client_order (dp_client *client, uint64_t order, const char *state,
                 GError **error)
{
  return change (client,
                 json_pack ("{s:s,s:I,s:s}", "type", "order", "order",
                            (json_int_t)order, "state", state),
                 NULL, error);
}

enum dp_result
dp_client_grant_key (dp_client *client, const char *team, char **key,
                     GError **error)
{
  char *secret = random_hex (client, KEY_BYTES);
  char *digest = ba_hash_sha256_hex (client, secret);
  enum dp_result result = change (client,
                                  json_pack ("{s:s,s:s,s:s}", "type", "key",
                                             "key_hash", digest, "team", team),
                                  NULL, error);

  *key = result == DP_OK || result == DP_PENDING || result == DP_UNKNOWN
             ? strdup (secret)
             : NULL;
  memset (secret, 0, strlen (secret));
  talloc_free (secret);
  talloc_free (digest);
  return result;
}

static bool
is_digest (const char *text)
{
  return strlen (text) == DIGEST_DIGITS + strlen ("sha256:")
         && strncmp (text, "sha256:", strlen ("sha256:")) == 0;
}

enum dp_result
dp_client_withdraw_key (dp_client *client, const char *key, GError **error)
{
  char *digest = is_digest (key)
                     ? talloc_strdup (client, key + strlen ("sha256:"))
                     : ba_hash_sha256_hex (client, key);
  enum dp_result result = change (
      client, json_pack ("{s:s,s:s}", "type", "key", "key_hash", digest), NULL,
      error);

  talloc_free (digest);
  return result;
}

static char *
get (dp_client *client, const char *path, GError **error)
{
  GString *answer = g_string_new (NULL);
  long status = ask (client, path, NULL, answer);
  char *text = NULL;

  if (status == 200)
    text = strdup (answer->str);
  else if (status == 401)
    g_set_error_literal (error, BA_ERROR, BA_ERROR_VALUE,
                         "the operators' token is wrong");
  else
    g_set_error_literal (error, BA_ERROR, BA_ERROR_UNREACHABLE,
                         "no entry host can be reached");
  g_string_free (answer, TRUE);
  return text;
}

char *
dp_client_status (dp_client *client, GError **error)
{
  return get (client, "/v1/status", error);
}

char *
dp_client_counters (dp_client *client, GError **error)
{
  return get (client, "/metrics", error);
}

char *
dp_client_fleet (dp_client *client, uint64_t *version, GError **error)
{
  char *status = dp_client_status (client, error);
  json_t *root = status ? json_loads (status, 0, NULL) : NULL;
  const char *fleet = json_string_value (json_object_get (root, "fleet"));
  char *copy = fleet ? strdup (fleet) : NULL;

  if (version != NULL)
    *version = (uint64_t)json_integer_value (
        json_object_get (root, "fleet_version"));
  if (status != NULL && copy == NULL)
    g_set_error_literal (error, BA_ERROR, BA_ERROR_VALUE,
                         "no fleet has been applied");
  json_decref (root);
  free (status);
  return copy;
}
