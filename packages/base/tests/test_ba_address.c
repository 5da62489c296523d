#include "ba_address.h"

#include "dp_test.h"

#include <arpa/inet.h>

static void
test_valid_addresses (void)
{
  struct sockaddr_in address;

  CU_ASSERT_TRUE (ba_address_parse ("127.0.0.1:8080", &address));
  CU_ASSERT_EQUAL (ntohs (address.sin_port), 8080);
  CU_ASSERT_EQUAL (ntohl (address.sin_addr.s_addr), 0x7f000001);
  CU_ASSERT_TRUE (ba_address_parse ("10.1.2.3:65535", &address));
}

static void
test_invalid_addresses (void)
{
  static const char *const texts[] = {
    "",         "127.0.0.1",       "127.0.0.1:",    "127.0.0.1:0",
    "1.2.3:80", "127.0.0.1:65536", "127.0.0.1:80x", "127.0.0.1:-1",
    "host:80",  "127.0.0.1: 80",   ":80",           "1234567890123456789:80"
  };
  struct sockaddr_in address;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    CU_ASSERT_FALSE (ba_address_parse (texts[i], &address));
  CU_ASSERT_FALSE (ba_address_parse (NULL, &address));
}

/* A host and port from outside are used in URLs: anything else in them would
   change the path or the request.  */
static void
test_hosts_and_ports (void)
{
  static const char *const valid[]
      = { "host:80", "a-b.example:1", "127.0.0.1:65535", "[::1]:80" };
  static const char *const invalid[]
      = { "",        "host",      "host:",
          "host:0",  ":80",       "host:70000",
          "host:-1", "a/b:80",    "u@host:80",
          "h:80/x",  "h\r\nx:80", "[::1]",
          "[]:80",   "[::1:80",   "::1:80",
          "h:80 ",   "h:+80",     "h h:80",
          "h?q:80",  "h#q:80",    "h:99999999999999999999" };

  for (size_t i = 0; i < sizeof valid / sizeof valid[0]; i++)
    CU_ASSERT_TRUE (ba_address_is_host_and_port (valid[i]));
  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    CU_ASSERT_FALSE (ba_address_is_host_and_port (invalid[i]));
  CU_ASSERT_FALSE (ba_address_is_host_and_port (NULL));
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "valid addresses are parsed", test_valid_addresses },
          { "invalid addresses are refused", test_invalid_addresses },
          { "only hosts and ports are accepted for URLs",
            test_hosts_and_ports },
          { NULL, NULL } };

  return dp_test_main ("ba_address", tests);
}
