#include "dp_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_RESPONSE_BYTES = 4096
};

struct sockaddr_in
dp_choose_address (char *text, size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *)&address, len) != 0)
    abort ();
  getsockname (fd, (struct sockaddr *)&address, &len);
  close (fd);
  snprintf (text, size, "127.0.0.1:%u", ntohs (address.sin_port));
  return address;
}

int
dp_connect (const struct sockaddr_in *address)
{
  struct timeval timeout = { .tv_sec = DP_RECEIVE_TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) == 0)
    return fd;
  perror ("connect");
  close (fd);
  return -1;
}

void
dp_send_text (int fd, const char *text)
{
  size_t len = strlen (text);

  while (len > 0)
    {
      ssize_t count = send (fd, text, len, MSG_NOSIGNAL);

      if (count <= 0)
        return;
      text += count;
      len -= (size_t)count;
    }
}

bool
dp_receive_text (int fd, const char *text)
{
  char buffer[MAX_RESPONSE_BYTES];
  size_t len = 0;

  while (len < sizeof buffer - 1)
    {
      ssize_t count = recv (fd, buffer + len, sizeof buffer - 1 - len, 0);

      if (count <= 0)
        return false;
      len += (size_t)count;
      buffer[len] = '\0';
      if (strstr (buffer, text) != NULL)
        return true;
    }
  return false;
}

unsigned
dp_response_status (const char *text, size_t len)
{
  static const char field[] = "\r\ncontent-length:";
  const char *end = strstr (text, "\r\n\r\n");
  const char *announced = strcasestr (text, field);
  unsigned status = 0;

  if (end == NULL || announced == NULL || announced > end
      || (size_t)(text + len - end) - strlen ("\r\n\r\n")
             < strtoul (announced + strlen (field), NULL, 10))
    return 0;
  return sscanf (text, "HTTP/1.1 %u", &status) == 1 ? status : 0;
}

unsigned
dp_receive_response (int fd)
{
  char buffer[MAX_RESPONSE_BYTES] = "";
  size_t len = 0;
  unsigned status = 0;

  while (status == 0 && len < sizeof buffer - 1)
    {
      ssize_t count = recv (fd, buffer + len, sizeof buffer - 1 - len, 0);

      if (count <= 0)
        return 0;
      len += (size_t)count;
      buffer[len] = '\0';
      status = dp_response_status (buffer, len);
    }
  return status;
}

bool
dp_is_closed (int fd)
{
  char buffer[MAX_RESPONSE_BYTES];
  ssize_t count;

  while ((count = recv (fd, buffer, sizeof buffer, 0)) > 0)
    ;
  return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}
