#ifndef BA_ADDRESS_H
#define BA_ADDRESS_H

/* Socket addresses in text form: an IPv4 address and a port, such as
   "127.0.0.1:80".  */

#include <netinet/in.h>
#include <stdbool.h>

/* Parse TEXT into ADDRESS.  Return false when TEXT, which may be NULL, is not
   an IPv4 address followed by a port from 1 to 65535.  */
bool ba_address_parse (const char *text, struct sockaddr_in *address);

/* Return whether TEXT, which may be NULL, is a host and a port from 1 to
   65535, such as "host.example:80", "127.0.0.1:80" or "[::1]:80", so that it
   can be used in a URL.  */
bool ba_address_is_host_and_port (const char *text);

#endif
