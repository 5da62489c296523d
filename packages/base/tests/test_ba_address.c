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

int
main (void)
{
  static const struct dp_test tests[]
      = { { "valid addresses are parsed", test_valid_addresses },
          { "invalid addresses are refused", test_invalid_addresses },
          { NULL, NULL } };

  return dp_test_main ("ba_address", tests);
}
