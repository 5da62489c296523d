#ifndef DP_SOCKET_H
#define DP_SOCKET_H

/* HTTP clients of tests, over sockets of their own, so that a test can stop
   within a request and see how a connection ends.  No function waits longer
   than DP_RECEIVE_TIMEOUT_S, which only keeps a test from hanging.  */

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
  DP_RECEIVE_TIMEOUT_S = 30
};

/* Return a loopback address with a port that is free, and write it as IP:PORT
   to TEXT, which has SIZE bytes.  */
struct sockaddr_in dp_choose_address (char *text, size_t size);

/* Return a new connection to ADDRESS, which the caller closes, or -1 after an
   error message; nothing is received over that.  */
int dp_connect (const struct sockaddr_in *address);

/* Send all of TEXT, or as much as the server takes before it closes the
   connection.  */
void dp_send_text (int fd, const char *text);

/* Read what the server sends until TEXT is in it.  Return false when it closes
   the connection before, or sends nothing.  */
bool dp_receive_text (int fd, const char *text);

/* Return the status of the response in TEXT, LEN bytes that end with a null
   byte, or 0 while it is not complete.  Its length must be announced.  */
unsigned dp_response_status (const char *text, size_t len);

/* Read a response whose length is announced, and what follows its header to
   the end of that length.  Return its status, or 0 when the connection ends
   before.  */
unsigned dp_receive_response (int fd);

/* Return whether the server has closed the connection, also by a reset, and
   skip what it has sent before.  */
bool dp_is_closed (int fd);

#endif
