#include "ba_address.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Of the name of a host or an IPv4 address, and of an IPv6 address.  */
#define HOST_CHARACTERS                                                       \
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._"
#define IPV6_CHARACTERS "0123456789abcdefABCDEF:."

enum
{
  MAX_PORT = 65535
};

/* Return the port at TEXT, or 0 when TEXT is not a port from 1 to 65535.  */
static uint16_t
parse_port (const char *text)
{
  char *end;
  long port;

  if (!isdigit ((unsigned char)text[0]))
    return 0;
  port = strtol (text, &end, 10);
  return *end == '\0' && port <= MAX_PORT ? (uint16_t)port : 0;
}

bool
ba_address_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = text ? strrchr (text, ':') : NULL;
  char host[INET_ADDRSTRLEN];
  uint16_t port;

  memset (address, 0, sizeof *address);
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  port = parse_port (colon + 1);
  if (port == 0)
    return false;
  address->sin_family = AF_INET;
  address->sin_port = htons (port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

bool
ba_address_is_host_and_port (const char *text)
{
  const char *colon = text != NULL ? strrchr (text, ':') : NULL;
  size_t len = colon != NULL ? (size_t)(colon - text) : 0;

  if (len == 0 || parse_port (colon + 1) == 0)
    return false;
  if (text[0] == '[')
    return len > 2 && strspn (text + 1, IPV6_CHARACTERS) == len - 2
           && text[len - 1] == ']';
  return strspn (text, HOST_CHARACTERS) == len;
}
