#include "standin_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECTION_LIMIT = 4000
};

struct state
{
  bool begun;
  char *body;
  size_t len;
};

static standin_handler *serve_request;

const char *
standin_get_header (const struct standin_request *request, const char *name)
{
  const char *value = MHD_lookup_connection_value (request->connection,
                                                   MHD_HEADER_KIND, name);

  return value ? value : "";
}

const char *
standin_get_query (const struct standin_request *request, const char *name)
{
  const char *value = MHD_lookup_connection_value (
      request->connection, MHD_GET_ARGUMENT_KIND, name);

  return value ? value : "";
}

void
standin_set_text (struct standin_response *answer, unsigned status,
                  const char *type, const char *text)
{
  answer->status = status;
  answer->content_type = type;
  answer->body = strdup (text);
  answer->body_len = strlen (text);
}

static enum MHD_Result
queue (struct MHD_Connection *connection, struct standin_response *answer)
{
  struct MHD_Response *response = answer->mhd_response;
  enum MHD_Result result;

  if (answer->close_connection)
    {
      free (answer->body);
      return MHD_NO;
    }
  if (response == NULL)
    response = MHD_create_response_from_buffer (answer->body_len, answer->body,
                                                MHD_RESPMEM_MUST_FREE);
  if (answer->content_type != NULL)
    MHD_add_response_header (response, "Content-Type", answer->content_type);
  result = MHD_queue_response (connection, answer->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
take (void *context, struct MHD_Connection *connection, const char *url,
      const char *method, const char *version, const char *data,
      size_t *data_len, void **place)
{
  struct state *state = *place;
  struct standin_response answer = { .status = 200 };
  struct standin_request request = { connection, method, url, "", 0 };

  (void)context;
  (void)version;
  if (state == NULL)
    {
      *place = calloc (1, sizeof *state);
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      state->body = realloc (state->body, state->len + *data_len + 1);
      memcpy (state->body + state->len, data, *data_len);
      state->len += *data_len;
      state->body[state->len] = '\0';
      *data_len = 0;
      return MHD_YES;
    }
  if (state->body != NULL)
    request.body = state->body;
  request.body_len = state->len;
  serve_request (&request, &answer);
  return queue (connection, &answer);
}

static void
completed (void *context, struct MHD_Connection *connection, void **place,
           enum MHD_RequestTerminationCode code)
{
  struct state *state = *place;

  (void)context;
  (void)connection;
  (void)code;
  if (state != NULL)
    free (state->body);
  free (state);
  *place = NULL;
}

/* Stand-ins that listen on all addresses are for this machine only.  */
static enum MHD_Result
is_near (void *context, const struct sockaddr *address, socklen_t len)
{
  const struct sockaddr_in *in = (const struct sockaddr_in *)address;

  (void)context;
  (void)len;
  return ntohl (in->sin_addr.s_addr) >> 24 == IN_LOOPBACKNET ? MHD_YES
                                                             : MHD_NO;
}

struct MHD_Daemon *
standin_start_server (const char *address, standin_handler *handler)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  const char *colon = strrchr (address, ':');
  char host[64] = "";

  serve_request = handler;
  if (colon == NULL || (size_t)(colon - address) >= sizeof host)
    return NULL;
  memcpy (host, address, (size_t)(colon - address));
  in.sin_port = htons ((unsigned short)strtoul (colon + 1, NULL, 10));
  inet_pton (AF_INET, host, &in.sin_addr);
  signal (SIGPIPE, SIG_IGN);
  return MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION
          | MHD_USE_POLL,
      0, is_near, NULL, take, NULL, MHD_OPTION_SOCK_ADDR, &in,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTION_LIMIT,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      completed, NULL, MHD_OPTION_END);
}

int
standin_run_server (const char *address, standin_handler *handler)
{
  sigset_t set;
  int signal_number;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  if (standin_start_server (address, handler) == NULL)
    {
      fprintf (stderr, "can't listen on %s\n", address);
      return EXIT_FAILURE;
    }
  sigwait (&set, &signal_number);
  return EXIT_SUCCESS;
}
