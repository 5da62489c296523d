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
  REQUEST_TIMEOUT_MS = 20000, /* longer than an entry host takes to confirm a
                                 change or to report that it can't */
  KEY_BYTES = 32,             /* of randomness in an API key */
  TOKEN_BYTES = 16,           /* of randomness in a change token */
  DIGEST_HEX_DIGITS = 64
};

struct dp_client
{
  char **servers;          /* admin URLs, then NULL */
  char *operator_token;    /* sent with each request to authorize it */
  char *next_change_token; /* token for the next change; NULL: a random one */
  char *last_change_token; /* token of the last change, or NULL */
  CURL *easy;
};

static int
client_destructor (dp_client *client)
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
  client->operator_token = talloc_strdup (client, token);
  client->easy = curl_easy_init ();
  talloc_set_destructor (client, client_destructor);
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
  talloc_free (client->next_change_token);
  client->next_change_token = talloc_strdup (client, token);
}

const char *
dp_client_change_token (const dp_client *client)
{
  return client->last_change_token;
}

/* CURLOPT_WRITEFUNCTION: append to the GString CONTEXT.  */
static size_t
append_text (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

/* Send a request to SERVER: a POST of BODY, or a GET if BODY is NULL.  Store
   the body of the response in RESPONSE.  Return the HTTP status, 0 if the
   request was not sent, or -1 if at least part of it was sent, but there was
   no complete response.  */
static long
request_from_server (dp_client *client, const char *server, const char *path,
                     const char *body, GString *response)
{
  char *url = talloc_asprintf (client, "%s%s", server, path);
  char *authorization = talloc_asprintf (client, "Authorization: Bearer %s",
                                         client->operator_token);
  struct curl_slist *headers = curl_slist_append (NULL, authorization);
  long status = 0;
  long bytes_sent = 0;
  CURLcode code;

  g_string_truncate (response, 0);
  curl_easy_reset (client->easy);
  curl_easy_setopt (client->easy, CURLOPT_URL, url);
  curl_easy_setopt (client->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (client->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client->easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (client->easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (client->easy, CURLOPT_TIMEOUT_MS,
                    (long)REQUEST_TIMEOUT_MS);
  curl_easy_setopt (client->easy, CURLOPT_WRITEFUNCTION, append_text);
  curl_easy_setopt (client->easy, CURLOPT_WRITEDATA, response);
  if (body != NULL)
    curl_easy_setopt (client->easy, CURLOPT_POSTFIELDS, body);
  code = curl_easy_perform (client->easy);
  curl_easy_getinfo (client->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (client->easy, CURLINFO_REQUEST_SIZE, &bytes_sent);
  curl_slist_free_all (headers);
  talloc_free (authorization);
  talloc_free (url);
  if (code == CURLE_OK)
    return status;
  return bytes_sent > 0 ? -1 : 0;
}

/* Send a request to one server after another until one responds with a status
   other than 503, and return that status.  If none does, return the last
   result of request_from_server that is not 0, or 0 if the request was sent to
   no server.  A change may reach several servers in this way; its token
   prevents it from being applied twice.  */
static long
request_from_any_server (dp_client *client, const char *path, const char *body,
                         GString *response)
{
  long last_status = 0;

  for (char **server = client->servers; *server != NULL; server++)
    {
      long status
          = request_from_server (client, *server, path, body, response);

      if (status > 0 && status != 503)
        return status;
      if (status != 0)
        last_status = status;
    }
  return last_status;
}

/* Return BYTES random bytes as hexadecimal digits, owned by MEM.  */
static char *
random_hex (TALLOC_CTX *mem, size_t bytes)
{
  unsigned char data[KEY_BYTES];
  char *text = talloc_zero_array (mem, char, 2 * bytes + 1);

  g_assert (bytes <= sizeof data);
  if (getrandom (data, bytes, 0) != (ssize_t)bytes)
    g_error ("can't get random bytes from the kernel");
  for (size_t i = 0; i < bytes; i++)
    snprintf (text + 2 * i, 3, "%02x", data[i]);
  return text;
}

/* Return the outcome of a change for which request_from_any_server returned
   STATUS.  */
static enum dp_result
result_of_status (long status)
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

/* Send the change in ROOT, and release ROOT.  Unless VERSION is NULL, set it
   to the version in the response, or to 0 if there is none.  */
static enum dp_result
send_change (dp_client *client, json_t *root, uint64_t *version,
             GError **error)
{
  GString *response = g_string_new (NULL);
  enum dp_result result;
  json_t *reply;
  const char *detail;
  char *body;
  long status;

  talloc_free (client->last_change_token);
  client->last_change_token = client->next_change_token
                                  ? client->next_change_token
                                  : random_hex (client, TOKEN_BYTES);
  client->next_change_token = NULL;
  json_object_set_new (root, "token", json_string (client->last_change_token));
  body = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  status = request_from_any_server (client, "/v1/changes", body, response);
  free (body);
  result = result_of_status (status);
  reply = json_loads (response->str, 0, NULL);
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
  g_string_free (response, TRUE);
  return result;
}

enum dp_result
dp_client_apply (dp_client *client, const char *text, uint64_t base,
                 uint64_t *version, GError **error)
{
  return send_change (client,
                      json_pack ("{s:s,s:s,s:I}", "type", "fleet", "text",
                                 text, "base", (json_int_t)base),
                      version, error);
}

/* Send the change of HOST to STATE, with the target POOL unless that is
   NULL.  */
static enum dp_result
send_host_change (dp_client *client, const char *host, const char *state,
                  const char *pool, GError **error)
{
  json_t *root = json_pack ("{s:s,s:s,s:s}", "type", "host", "host", host,
                            "state", state);

  if (pool != NULL)
    json_object_set_new (root, "pool", json_string (pool));
  return send_change (client, root, NULL, error);
}

enum dp_result
dp_client_drain (dp_client *client, const char *host, GError **error)
{
  return send_host_change (client, host, "draining", NULL, error);
}

enum dp_result
dp_client_activate (dp_client *client, const char *host, GError **error)
{
  return send_host_change (client, host, "active", NULL, error);
}

enum dp_result
dp_client_move (dp_client *client, const char *host, const char *pool,
                GError **error)
{
  return send_host_change (client, host, "moving", pool, error);
}

enum dp_result
dp_client_maintain (dp_client *client, const char *scope, const char *name,
                    uint64_t *order, GError **error)
{
  return send_change (client,
                      json_pack ("{s:s,s:s,s:s,s:s}", "type", "order", "state",
                                 "running", "scope", scope, "scope_name",
                                 name),
                      order, error);
}

enum dp_result
dp_client_order (dp_client *client, uint64_t order, const char *state,
                 GError **error)
{
  return send_change (client,
                      json_pack ("{s:s,s:I,s:s}", "type", "order", "order",
                                 (json_int_t)order, "state", state),
                      NULL, error);
}

/* Send the change of ZONE to STATE.  */
static enum dp_result
send_zone_change (dp_client *client, const char *zone, const char *state,
                  GError **error)
{
  return send_change (client,
                      json_pack ("{s:s,s:s,s:s}", "type", "zone", "zone", zone,
                                 "state", state),
                      NULL, error);
}

enum dp_result
dp_client_evacuate (dp_client *client, const char *zone, GError **error)
{
  return send_zone_change (client, zone, "evacuated", error);
}

enum dp_result
dp_client_restore (dp_client *client, const char *zone, GError **error)
{
  return send_zone_change (client, zone, "restored", error);
}

enum dp_result
dp_client_grant_key (dp_client *client, const char *team, char **key,
                     GError **error)
{
  char *secret = random_hex (client, KEY_BYTES);
  char *digest = ba_hash_sha256_hex (client, secret);
  enum dp_result result
      = send_change (client,
                     json_pack ("{s:s,s:s,s:s}", "type", "key", "key_hash",
                                digest, "team", team),
                     NULL, error);

  *key = result == DP_OK || result == DP_PENDING || result == DP_UNKNOWN
             ? strdup (secret)
             : NULL;
  memset (secret, 0, strlen (secret));
  talloc_free (secret);
  talloc_free (digest);
  return result;
}

/* Return whether TEXT has the form "sha256:DIGEST".  */
static bool
is_digest (const char *text)
{
  return strlen (text) == DIGEST_HEX_DIGITS + strlen ("sha256:")
         && strncmp (text, "sha256:", strlen ("sha256:")) == 0;
}

enum dp_result
dp_client_withdraw_key (dp_client *client, const char *key, GError **error)
{
  char *digest = is_digest (key)
                     ? talloc_strdup (client, key + strlen ("sha256:"))
                     : ba_hash_sha256_hex (client, key);
  enum dp_result result = send_change (
      client, json_pack ("{s:s,s:s}", "type", "key", "key_hash", digest), NULL,
      error);

  talloc_free (digest);
  return result;
}

/* Set ERROR for a GET to which no entry host responded, or the last one with
   STATUS.  */
static void
set_fetch_error (long status, GError **error)
{
  if (status == 401)
    g_set_error_literal (error, BA_ERROR, BA_ERROR_VALUE,
                         "the operators' token is wrong");
  else
    g_set_error_literal (error, BA_ERROR, BA_ERROR_UNREACHABLE,
                         "no entry host can be reached");
}

/* Return the body of the response to a GET of PATH, to be released with free,
   or NULL with ERROR set.  */
static char *
fetch_text (dp_client *client, const char *path, GError **error)
{
  GString *response = g_string_new (NULL);
  long status = request_from_any_server (client, path, NULL, response);
  char *text = NULL;

  if (status == 200)
    text = strdup (response->str);
  else
    set_fetch_error (status, error);
  g_string_free (response, TRUE);
  return text;
}

char *
dp_client_status (dp_client *client, GError **error)
{
  return fetch_text (client, "/v1/status", error);
}

char *
dp_client_counters (dp_client *client, GError **error)
{
  return fetch_text (client, "/metrics", error);
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

/* Add the running requests in ADDED, the zones of another entry host, to those
   of the zones with the same names in ZONES.  */
static void
add_running (json_t *zones, json_t *added)
{
  json_t *zone;
  json_t *other;
  size_t i;
  size_t j;

  json_array_foreach (zones, i, zone) json_array_foreach (added, j, other)
  {
    if (json_equal (json_object_get (zone, "name"),
                    json_object_get (other, "name")))
      json_object_set_new (
          zone, "running",
          json_integer (
              json_integer_value (json_object_get (zone, "running"))
              + json_integer_value (json_object_get (other, "running"))));
  }
}

char *
dp_client_zones (dp_client *client, GError **error)
{
  GString *response = g_string_new (NULL);
  json_t *result = NULL;
  int responded = 0;
  long last_status = 0;
  char *text = NULL;

  for (char **server = client->servers; *server != NULL; server++)
    {
      long status = request_from_server (client, *server, "/v1/status", NULL,
                                         response);
      json_t *root
          = status == 200 ? json_loads (response->str, 0, NULL) : NULL;
      json_t *zones = json_object_get (root, "zones");

      if (status != 0)
        last_status = status;
      /* Entry hosts of versions without evacuations list no zones.  */
      if (json_is_array (zones))
        {
          responded++;
          if (result == NULL)
            result = json_pack ("{s:O,s:O}", "zones", zones, "members",
                                json_object_get (root, "members"));
          else
            add_running (json_object_get (result, "zones"), zones);
        }
      json_decref (root);
    }
  if (result != NULL)
    {
      json_object_set_new (result, "entry_hosts", json_integer (responded));
      text = json_dumps (result, JSON_COMPACT);
    }
  else if (last_status == 200)
    g_set_error_literal (error, BA_ERROR, BA_ERROR_VALUE,
                         "the entry hosts are of a version without zones");
  else
    set_fetch_error (last_status, error);
  json_decref (result);
  g_string_free (response, TRUE);
  return text;
}
