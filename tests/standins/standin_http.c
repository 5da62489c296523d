#include "standin_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_CONNECTION_COUNT = 4000
};

/* The part of a request that has been received.  */
struct request_state
{
  bool begun;
  char *body; /* NUL-terminated, or NULL while nothing has arrived */
  size_t body_len;
};

static standin_handler *request_handler;

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
standin_set_text (struct standin_response *response, unsigned status,
                  const char *content_type, const char *text)
{
  response->status = status;
  response->content_type = content_type;
  response->body = strdup (text);
  response->body_len = strlen (text);
}

static enum MHD_Result
send_response (struct MHD_Connection *connection,
               struct standin_response *response)
{
  struct MHD_Response *mhd_response = response->mhd_response;
  enum MHD_Result result;

  if (response->close_connection)
    {
      free (response->body);
      return MHD_NO; /* MHD closes the connection */
    }
  if (mhd_response == NULL)
    mhd_response = MHD_create_response_from_buffer (
        response->body_len, response->body, MHD_RESPMEM_MUST_FREE);
  if (response->content_type != NULL)
    MHD_add_response_header (mhd_response, "Content-Type",
                             response->content_type);
  result = MHD_queue_response (connection, response->status, mhd_response);
  MHD_destroy_response (mhd_response);
  return result;
}

/* MHD access handler.  MHD calls it first without state, then for each part of
   the body, and at the end of the request with an upload length of 0.  */
static enum MHD_Result
handle_access (void *context, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *upload, size_t *upload_len, void **state_place)
{
  struct request_state *request_state = *state_place;
  struct standin_response response = { .status = 200 };
  struct standin_request request = { connection, method, url, "", 0 };

  (void)context;
  (void)version;
  if (request_state == NULL)
    {
      *state_place = calloc (1, sizeof *request_state);
      return MHD_YES;
    }
  if (*upload_len > 0)
    {
      request_state->body = realloc (
          request_state->body, request_state->body_len + *upload_len + 1);
      memcpy (request_state->body + request_state->body_len, upload,
              *upload_len);
      request_state->body_len += *upload_len;
      request_state->body[request_state->body_len] = '\0';
      *upload_len = 0;
      return MHD_YES;
    }
  if (request_state->body != NULL)
    request.body = request_state->body;
  request.body_len = request_state->body_len;
  request_handler (&request, &response);
  return send_response (connection, &response);
}

static void
free_request_state (void *context, struct MHD_Connection *connection,
                    void **state_place, enum MHD_RequestTerminationCode code)
{
  struct request_state *request_state = *state_place;

  (void)context;
  (void)connection;
  (void)code;
  if (request_state != NULL)
    free (request_state->body);
  free (request_state);
  *state_place = NULL;
}

/* MHD accept policy: a stand-in that listens on all addresses still serves
   only clients on this machine.  */
static enum MHD_Result
accept_loopback (void *context, const struct sockaddr *address, socklen_t len)
{
  const struct sockaddr_in *socket_address
      = (const struct sockaddr_in *)address;

  (void)context;
  (void)len;
  return ntohl (socket_address->sin_addr.s_addr) >> 24 == IN_LOOPBACKNET
             ? MHD_YES
             : MHD_NO;
}

struct MHD_Daemon *
standin_start_server (const char *address, standin_handler *handler)
{
  struct sockaddr_in socket_address = { .sin_family = AF_INET };
  const char *colon = strrchr (address, ':');
  char host[64] = "";

  request_handler = handler;
  if (colon == NULL || (size_t)(colon - address) >= sizeof host)
    return NULL;
  memcpy (host, address, (size_t)(colon - address));
  socket_address.sin_port
      = htons ((unsigned short)strtoul (colon + 1, NULL, 10));
  inet_pton (AF_INET, host, &socket_address.sin_addr);
  signal (SIGPIPE, SIG_IGN);
  return MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION
          | MHD_USE_POLL,
      0, accept_loopback, NULL, handle_access, NULL, MHD_OPTION_SOCK_ADDR,
      &socket_address, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)MAX_CONNECTION_COUNT, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_NOTIFY_COMPLETED, free_request_state, NULL, MHD_OPTION_END);
}

int
standin_run_server (const char *address, standin_handler *handler)
{
  sigset_t signals;
  int signal_number;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  if (standin_start_server (address, handler) == NULL)
    {
      fprintf (stderr, "stand-in can't listen on %s, exiting\n", address);
      return EXIT_FAILURE;
    }
  sigwait (&signals, &signal_number);
  return EXIT_SUCCESS;
}
